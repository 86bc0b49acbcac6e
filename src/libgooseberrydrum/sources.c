#include "gooseberrydrum/sources.h"

#include <string.h>

#include "gooseberrydrum/retry.h"

static bool is_due (const gbd_sources_t *sources, uint32_t index,
                    gbd_time_t now);
static gbd_time_t get_due_time (const gbd_sources_t *sources, uint32_t index);
static gbd_time_t draw_time (gbd_sources_t *sources, gbd_time_t limit);

void
gbd_sources_init (gbd_sources_t *sources, uint32_t count, uint32_t platform,
                  bool is_first_start, uint64_t random_seed, gbd_time_t now)
{
  memset (sources, 0, sizeof *sources);
  sources->count = count;
  sources->platform = platform;
  sources->random = random_seed;
  sources->current = is_first_start ? 0 : platform;
  if (platform != 0 && is_first_start)
    sources->platform_due = now + GBD_SOURCES_FIRST_START_DELAY;
  for (uint32_t i = 0; i < count; i++)
    sources->sources[i].backoff = GBD_SOURCES_INITIAL_BACKOFF;
}

void
gbd_sources_record_success (gbd_sources_t *sources, gbd_time_t now)
{
  gbd_source_t *source = &sources->sources[sources->current];
  source->retry_at = 0;
  source->backoff = GBD_SOURCES_INITIAL_BACKOFF;
  sources->is_paced = false;
  sources->platform_due = 0;
  if (sources->current == sources->platform)
    {
      sources->platform_served_at = now;
      if (!sources->has_responded && sources->platform != 0)
        sources->platform_due = now + GBD_SOURCES_RELAY_START_TIME;
    }
  sources->has_responded = true;
}

void
gbd_sources_record_rejection (gbd_sources_t *sources, uint32_t reader_count,
                              bool has_newer_reader, gbd_time_t now)
{
  if (sources->platform == 0 || sources->current == sources->platform)
    return;
  sources->rejected_at = now;
  sources->probe_interval
      = (reader_count ? reader_count : 1) * GBD_SOURCES_PROBE_SPACING;
  bool is_served
      = sources->platform_served_at
        && now - sources->platform_served_at < GBD_SOURCES_REJECTION_VALIDITY;
  if (has_newer_reader || is_served)
    {
      sources->is_paced = false;
      sources->platform_due = 0;
      return;
    }
  if (sources->is_paced)
    return;
  sources->is_paced = true;
  sources->platform_due
      = now + draw_time (sources, 2 * sources->probe_interval);
}

bool
gbd_sources_fail_over (gbd_sources_t *sources, gbd_time_t now)
{
  gbd_source_t *failed = &sources->sources[sources->current];
  failed->retry_at = now + failed->backoff;
  failed->backoff *= 2;
  if (failed->backoff > GBD_SOURCES_MAX_BACKOFF)
    failed->backoff = GBD_SOURCES_MAX_BACKOFF;

  if (sources->is_paced
      && now - sources->rejected_at > GBD_SOURCES_REJECTION_VALIDITY)
    {
      sources->is_paced = false;
      sources->platform_due = 0;
    }
  if (sources->is_paced && sources->current == sources->platform)
    sources->platform_due = now + sources->probe_interval / 2
                            + draw_time (sources, sources->probe_interval);

  /* The caller retries the selected source after a backoff of its own, so the
     platform must not be selected while it is left out. */
  uint32_t earliest = 0;
  for (uint32_t i = 0; i < sources->count; i++)
    {
      if (is_due (sources, i, now))
        {
          sources->current = i;
          return true;
        }
      bool is_left_out = i == sources->platform && now < sources->platform_due;
      if (!is_left_out
          && get_due_time (sources, i) < get_due_time (sources, earliest))
        earliest = i;
    }
  sources->current = earliest;
  return false;
}

bool
gbd_sources_are_relays_starting (const gbd_sources_t *sources, gbd_time_t now)
{
  return !sources->is_paced && now < sources->platform_due;
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

void
gbd_newer_readers_record (gbd_newer_readers_t *readers, gbd_time_t now)
{
  readers->seen_at = now;
  if (!readers->since)
    readers->since = now;
}

void
gbd_newer_readers_reset (gbd_newer_readers_t *readers)
{
  readers->since = 0;
}

bool
gbd_newer_readers_are_reported (const gbd_newer_readers_t *readers,
                                gbd_time_t now)
{
  return readers->since && now - readers->since >= GBD_NEWER_READERS_DELAY
         && now - readers->seen_at < GBD_NEWER_READERS_VALIDITY;
}

static bool
is_due (const gbd_sources_t *sources, uint32_t index, gbd_time_t now)
{
  return get_due_time (sources, index) <= now;
}

static gbd_time_t
get_due_time (const gbd_sources_t *sources, uint32_t index)
{
  gbd_time_t retry_at = sources->sources[index].retry_at;
  bool is_later
      = index == sources->platform && sources->platform_due > retry_at;
  return is_later ? sources->platform_due : retry_at;
}

/* Draws a time from 0 to below a limit. */
static gbd_time_t
draw_time (gbd_sources_t *sources, gbd_time_t limit)
{
  return (gbd_time_t)(gbd_random_next (&sources->random) % (uint64_t)limit);
}
