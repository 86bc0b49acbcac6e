#include "gooseberrydrum/reports.h"

#include <stdlib.h>
#include <string.h>

#define ORIGINS 512
#define WAYS 4 /* associativity: number of entries in a set */
/* Servers are counted in a bitmap by their handle, so that one that is
   reported again counts once; two may share a bit. */
#define BITMAP_WORDS 8
#define WORD_BITS 64

/* One start of an instance that has sent reports. */
typedef struct
{
  gbd_report_origin_t last; /* last batch; origin 0: unused */
  gbd_time_t received_at;
  gbd_time_t window_start;
  gbd_time_t ignored_until; /* reports of silence */
  uint64_t silent[BITMAP_WORDS];
} origin_t;

struct gbd_reports
{
  uint64_t self;
  gbd_zone_id_t zone;
  origin_t *current; /* of the batch that was accepted last */
  origin_t origins[ORIGINS];
};

static origin_t *find_origin (gbd_reports_t *reports, uint64_t id);
static gbd_status_t check (const gbd_pool_t *pool, const gbd_report_t *report,
                           gbd_pool_handle_t handle, gbd_time_t now);
static bool is_credible (origin_t *origin, const gbd_pool_t *pool,
                         gbd_pool_handle_t handle, gbd_time_t now);
static uint32_t count_silent (const origin_t *origin);
static gbd_time_t get_latest (const gbd_unreported_t *observed);

bool
gbd_reports_collect (gbd_pool_t *pool, uint32_t *position,
                     gbd_report_t *report)
{
  while (*position < gbd_pool_get_capacity (pool))
    {
      gbd_pool_server_t *server
          = gbd_pool_get (pool, (gbd_pool_handle_t)(*position)++);
      gbd_unreported_t *unreported = &server->load.unreported;
      bool is_due = server->is_used
                    && (get_latest (unreported) > 0
                        || unreported->failed_requests > 0);
      if (!is_due)
        continue;
      *report = (gbd_report_t){ .server = server->entry.backend.id,
                                .start_time_ms = server->entry.start_time_ms,
                                .observed = *unreported };
      *unreported = (gbd_unreported_t){ .failed_requests = 0 };
      return true;
    }
  gbd_pool_end_reporting (pool);
  return false;
}

gbd_reports_t *
gbd_reports_new (uint64_t origin, gbd_zone_id_t zone)
{
  gbd_reports_t *reports = calloc (1, sizeof *reports);
  if (!reports)
    return NULL;
  reports->self = origin;
  reports->zone = zone;
  return reports;
}

void
gbd_reports_delete (gbd_reports_t *reports)
{
  free (reports);
}

bool
gbd_reports_accept (gbd_reports_t *reports, const gbd_report_origin_t *origin,
                    gbd_time_t now)
{
  reports->current = NULL;
  if (!origin->origin || origin->origin == reports->self)
    return false;
  origin_t *found = find_origin (reports, origin->origin);
  if (found->last.origin != origin->origin)
    *found = (origin_t){ .window_start = now };
  else if (origin->number <= found->last.number)
    return false;
  found->last = *origin;
  found->received_at = now;
  reports->current = found;
  return true;
}

gbd_status_t
gbd_reports_apply (gbd_reports_t *reports, gbd_pool_t *pool,
                   const gbd_report_t *report, gbd_time_t now)
{
  origin_t *origin = reports->current;
  gbd_pool_handle_t handle
      = gbd_pool_find (pool, gbd_cookie_fingerprint (report->server));
  gbd_status_t status = check (pool, report, handle, now);
  if (!origin || status != GBD_OK)
    return origin ? status : GBD_ERROR_NOT_FOUND;
  const gbd_unreported_t *observed = &report->observed;
  gbd_pool_load_t *load = &gbd_pool_get (pool, handle)->load;
  gbd_peer_evidence_t *evidence = &load->peer_evidence;
  gbd_peer_t peer = { .origin = origin->last.origin,
                      .origin_zone = origin->last.zone,
                      .zone = reports->zone };
  if (observed->failed_requests > 0)
    gbd_pool_record_failed_requests (pool, handle, observed->failed_requests,
                                     false, now);
  if (observed->heard_at > 0)
    gbd_peer_evidence_add_response (evidence, &peer, observed->heard_at);
  if (observed->silent_at == 0 && observed->unreachable_at == 0)
    return GBD_OK;
  if (!is_credible (origin, pool, handle, now))
    return GBD_ERROR_CONFLICT;
  if (observed->silent_at > 0)
    gbd_peer_evidence_add_silence (evidence, &peer, false, observed->silent_at,
                                   now);
  if (observed->unreachable_at > 0)
    gbd_peer_evidence_add_silence (evidence, &peer, true,
                                   observed->unreachable_at, now);
  return GBD_OK;
}

/* Returns the entry of an origin, or the one to be replaced by it. */
static origin_t *
find_origin (gbd_reports_t *reports, uint64_t id)
{
  uint32_t base = (uint32_t)id & (ORIGINS - WAYS);
  origin_t *oldest = &reports->origins[base];
  for (uint32_t i = 0; i < WAYS; i++)
    {
      origin_t *origin = &reports->origins[base + i];
      if (origin->last.origin == id)
        return origin;
      if (origin->received_at < oldest->received_at)
        oldest = origin;
    }
  return oldest;
}

static gbd_status_t
check (const gbd_pool_t *pool, const gbd_report_t *report,
       gbd_pool_handle_t handle, gbd_time_t now)
{
  const gbd_unreported_t *observed = &report->observed;
  if (observed->failed_requests > GBD_REPORTS_FAILED_MAX
      || get_latest (observed) > now)
    return GBD_ERROR_RANGE;
  if (handle == GBD_POOL_NONE)
    return GBD_ERROR_NOT_FOUND;
  const gbd_pool_server_t *server = gbd_pool_peek (pool, handle);
  if (server->entry.backend.id != report->server
      || server->entry.start_time_ms != report->start_time_ms)
    return GBD_ERROR_NOT_FOUND;
  bool has_times = get_latest (observed) > 0;
  return has_times && now - get_latest (observed) > GBD_REPORTS_AGE_MAX
             ? GBD_ERROR_STALE
             : GBD_OK;
}

/* Counts a server as reported silent by an origin, and checks whether it has
   reported too many. */
static bool
is_credible (origin_t *origin, const gbd_pool_t *pool,
             gbd_pool_handle_t handle, gbd_time_t now)
{
  if (now - origin->window_start >= GBD_REPORTS_WINDOW)
    {
      origin->window_start = now;
      memset (origin->silent, 0, sizeof origin->silent);
    }
  uint32_t bit = handle % (BITMAP_WORDS * WORD_BITS);
  origin->silent[bit / WORD_BITS] |= (uint64_t)1 << (bit % WORD_BITS);
  uint32_t limit = gbd_pool_get_count (pool) / GBD_REPORTS_SILENT_DIVISOR;
  if (limit >= BITMAP_WORDS * WORD_BITS)
    limit = BITMAP_WORDS * WORD_BITS / GBD_REPORTS_SILENT_DIVISOR;
  if (count_silent (origin) > limit)
    origin->ignored_until = now + GBD_REPORTS_WINDOW;
  return now >= origin->ignored_until;
}

static uint32_t
count_silent (const origin_t *origin)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < BITMAP_WORDS; i++)
    count += (uint32_t)__builtin_popcountll (origin->silent[i]);
  return count;
}

static gbd_time_t
get_latest (const gbd_unreported_t *observed)
{
  gbd_time_t latest = observed->silent_at;
  if (observed->unreachable_at > latest)
    latest = observed->unreachable_at;
  return observed->heard_at > latest ? observed->heard_at : latest;
}
