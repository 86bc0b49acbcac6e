#include "gooseberrydrum/sources.h"

#include <string.h>

void
gbd_sources_init (gbd_sources_t *sources, uint32_t count, uint32_t first)
{
  memset (sources, 0, sizeof *sources);
  sources->count = count;
  sources->current = first;
  for (uint32_t i = 0; i < count; i++)
    sources->sources[i].backoff = GBD_SOURCES_INITIAL_BACKOFF;
}

void
gbd_sources_record_success (gbd_sources_t *sources)
{
  gbd_source_t *source = &sources->sources[sources->current];
  source->retry_at = 0;
  source->backoff = GBD_SOURCES_INITIAL_BACKOFF;
}

bool
gbd_sources_fail_over (gbd_sources_t *sources, gbd_time_t now)
{
  gbd_source_t *failed = &sources->sources[sources->current];
  failed->retry_at = now + failed->backoff;
  failed->backoff *= 2;
  if (failed->backoff > GBD_SOURCES_MAX_BACKOFF)
    failed->backoff = GBD_SOURCES_MAX_BACKOFF;

  uint32_t earliest = 0;
  for (uint32_t i = 0; i < sources->count; i++)
    {
      if (sources->sources[i].retry_at <= now)
        {
          sources->current = i;
          return true;
        }
      if (sources->sources[i].retry_at < sources->sources[earliest].retry_at)
        earliest = i;
    }
  sources->current = earliest;
  return false;
}

bool
gbd_sources_fail_back (gbd_sources_t *sources, gbd_time_t now)
{
  for (uint32_t i = 0; i < sources->current; i++)
    {
      if (sources->sources[i].retry_at > now)
        continue;
      sources->current = i;
      return true;
    }
  return false;
}
