#include "gooseberrydrum/placement.h"

#define COST_UNIT 1000u /* cost of the processing time of one request */
/* Cost of one pending flow at a server with one slot, divided by the number of
   its slots; balances the load while slots are free. */
#define SPREAD_COST 200u
/* Cost of a recent flow at a server with free slots, and its limit, at which
   an unequal distribution is accepted in place of a queue. */
#define RECENT_FLOW_COST 30
#define RECENT_FLOWS_COST_MAX 200u
/* Exceeds all other costs, so that the class of a candidate always decides. */
#define CLASS_COST ((uint64_t)1 << 32)
/* Bits of the hash that break ties; less than any relevant difference of
   costs. */
#define TIE_BREAK_MASK 0x3fu

/* Classes of candidates, in order of preference. */
typedef enum
{
  CLASS_HEALTHY,     /* not suspected, or a trial flow is due */
  CLASS_COLD,        /* cold, while warm ones have free slots */
  CLASS_SUSPECTED,   /* suspected, and no trial flow is due yet */
  CLASS_AVOIDED,     /* did not respond to this flow */
  CLASS_LAST_RESORT, /* its entry was removed recently, or another backend
                        server has its address */
  CLASS_NONE         /* accepts no new flows */
} class_t;

/* What this instance has observed, the same for all candidates. */
typedef struct
{
  const gbd_zone_delays_t *zone_delays;
  bool prefers_proven; /* servers with an unbroken record are preferred */
  bool has_windows; /* servers in the windows of this instance are preferred */
  gbd_peer_response_time_t peers;
  bool has_free_warm; /* a warm server has free slots; only known where a
                         limit for cold servers is in force */
} observations_t;

static class_t classify (const gbd_pool_server_t *server,
                         gbd_pool_handle_t handle,
                         const gbd_placement_t *placement, gbd_time_t now);
static bool spares_requests (const gbd_placement_t *placement);
static bool is_proven (const gbd_pool_server_t *server, gbd_time_t now);
static bool prefers_proven (const gbd_pool_t *pool,
                            const gbd_placement_t *placement, gbd_time_t now);
static bool has_free_warm_server (const gbd_pool_t *pool,
                                  const gbd_placement_t *placement,
                                  gbd_time_t now);
static class_t limit_cold (const gbd_pool_server_t *server, class_t class,
                           const gbd_placement_t *placement,
                           const observations_t *observations, gbd_time_t now);
static void find_peers (const gbd_pool_t *pool,
                        const gbd_placement_t *placement, gbd_time_t now,
                        observations_t *observations);
static gbd_time_t get_response_time (const gbd_pool_server_t *server,
                                     const gbd_placement_t *placement,
                                     const observations_t *observations,
                                     gbd_time_t now);
static uint64_t compute_recent_cost (const gbd_pool_server_t *server,
                                     gbd_time_t now);
static uint64_t compute_cost (const gbd_pool_server_t *server,
                              const gbd_placement_t *placement,
                              const observations_t *observations,
                              gbd_time_t now);

gbd_pool_handle_t
gbd_placement_choose (const gbd_pool_t *pool, const gbd_placement_t *placement,
                      gbd_time_t now)
{
  gbd_pool_handle_t best = GBD_POOL_NONE;
  uint64_t best_cost = UINT64_MAX;
  uint32_t capacity = gbd_pool_get_capacity (pool);
  observations_t observations
      = { .zone_delays = gbd_pool_peek_zone_delays (pool),
          .prefers_proven = prefers_proven (pool, placement, now),
          .has_windows = placement->was_room_short
                         && gbd_subset_has_windows (&placement->group) };
  find_peers (pool, placement, now, &observations);
  if (placement->warm_up.is_limited && !placement->is_room_short)
    observations.has_free_warm = has_free_warm_server (pool, placement, now);
  for (uint32_t i = 0; i < capacity; i++)
    {
      gbd_pool_handle_t handle = (gbd_pool_handle_t)i;
      const gbd_pool_server_t *server = gbd_pool_peek (pool, handle);
      if (!server->is_used || server->entry.service != placement->service)
        continue;
      class_t class = limit_cold (server,
                                  classify (server, handle, placement, now),
                                  placement, &observations, now);
      if (class == CLASS_NONE)
        continue;
      uint64_t cost = class * CLASS_COST
                      + compute_cost (server, placement, &observations, now);
      if (cost < best_cost)
        {
          best = handle;
          best_cost = cost;
        }
    }
  return best;
}

static class_t
classify (const gbd_pool_server_t *server, gbd_pool_handle_t handle,
          const gbd_placement_t *placement, gbd_time_t now)
{
  if (server->entry.backend.state != GBD_BACKEND_READY
      || gbd_evacuations_contain (placement->evacuations,
                                  server->entry.backend.zone))
    return CLASS_NONE;
  if (!server->is_listed)
    return now - server->removed_at < GBD_PLACEMENT_LAST_RESORT
               ? CLASS_LAST_RESORT
               : CLASS_NONE;
  if (server->superseded_at != GBD_TIME_NEVER)
    return CLASS_LAST_RESORT;
  if (handle == placement->avoid)
    return CLASS_AVOIDED;
  const gbd_suspicion_t *suspicion = &server->load.suspicion;
  if (gbd_peer_evidence_is_silent (&server->load.peer_evidence,
                                   suspicion->last_response_at, now))
    return CLASS_SUSPECTED;
  /* Trial flows are repeatable requests as long as there are any. */
  if (!gbd_suspicion_accepts_flow (suspicion, now)
      || (spares_requests (placement) && gbd_suspicion_is_suspected (suspicion)
          && !gbd_suspicion_is_trial_overdue (suspicion, now)))
    return CLASS_SUSPECTED;
  return CLASS_HEALTHY;
}

/* Whether the request must not run twice while others of its service may. */
static bool
spares_requests (const gbd_placement_t *placement)
{
  return placement->has_both_kinds && !placement->is_idempotent;
}

/* Whether a backend server has an unbroken record.  A trial flow that is
   overdue is sent in the same way as to a proven server, because the server
   would get none otherwise. */
static bool
is_proven (const gbd_pool_server_t *server, gbd_time_t now)
{
  const gbd_suspicion_t *suspicion = &server->load.suspicion;
  if (gbd_suspicion_is_trial_overdue (suspicion, now))
    return true;
  /* INT64_MAX: a listing is under way, or the platform is unreachable. */
  bool is_removal_pending = server->removal_due != GBD_TIME_NEVER
                            && server->removal_due != INT64_MAX;
  return !is_removal_pending && server->entry.warm_at <= now
         && !server->load.failing.is_failing
         && now - server->listed_at >= GBD_PLACEMENT_RECORD_TIME
         && !gbd_suspicion_has_failed (suspicion, GBD_PLACEMENT_RECORD_TIME,
                                       now)
         && !gbd_peer_evidence_has_failed (&server->load.peer_evidence,
                                           GBD_PLACEMENT_RECORD_TIME, now);
}

static bool
prefers_proven (const gbd_pool_t *pool, const gbd_placement_t *placement,
                gbd_time_t now)
{
  if (!spares_requests (placement))
    return false;
  uint64_t slots = 0;
  uint64_t proven_slots = 0;
  uint32_t capacity = gbd_pool_get_capacity (pool);
  for (uint32_t i = 0; i < capacity; i++)
    {
      gbd_pool_handle_t handle = (gbd_pool_handle_t)i;
      const gbd_pool_server_t *server = gbd_pool_peek (pool, handle);
      if (!server->is_used || server->entry.service != placement->service
          || classify (server, handle, placement, now) != CLASS_HEALTHY)
        continue;
      slots += server->entry.slots;
      if (is_proven (server, now))
        proven_slots += server->entry.slots;
    }
  return proven_slots > 0
         && proven_slots * GBD_PLACEMENT_PROVEN_PART_MIN >= slots;
}

/* Whether warm servers have free slots.  Each instance knows only its own
   flows, so if the number of instances is known, the others are taken to have
   as many. */
static bool
has_free_warm_server (const gbd_pool_t *pool, const gbd_placement_t *placement,
                      gbd_time_t now)
{
  uint64_t instances = placement->group.total ? placement->group.total : 1;
  uint64_t slots = 0;
  uint64_t waiting = 0;
  bool has_free = false;
  uint32_t capacity = gbd_pool_get_capacity (pool);
  for (uint32_t i = 0; i < capacity; i++)
    {
      gbd_pool_handle_t handle = (gbd_pool_handle_t)i;
      const gbd_pool_server_t *server = gbd_pool_peek (pool, handle);
      if (!server->is_used || server->entry.service != placement->service
          || classify (server, handle, placement, now) != CLASS_HEALTHY
          || gbd_pool_is_cold (server, placement->warm_up.duration, now))
        continue;
      slots += server->entry.slots;
      waiting += server->load.waiting;
      has_free |= server->load.waiting < server->entry.slots;
    }
  return has_free && waiting * instances < slots;
}

/* Returns the class of a candidate in view of the limit for cold servers. */
static class_t
limit_cold (const gbd_pool_server_t *server, class_t class,
            const gbd_placement_t *placement,
            const observations_t *observations, gbd_time_t now)
{
  const gbd_warm_up_share_t *share = &placement->warm_up;
  if (!share->is_limited || class == CLASS_NONE
      || !gbd_pool_is_cold (server, share->duration, now))
    return class;
  if (!gbd_warm_up_allows (share, &server->warm_up, server->entry.backend.id,
                           now))
    return CLASS_NONE;
  return class == CLASS_HEALTHY && observations->has_free_warm ? CLASS_COLD
                                                               : class;
}

static void
find_peers (const gbd_pool_t *pool, const gbd_placement_t *placement,
            gbd_time_t now, observations_t *observations)
{
  uint32_t capacity = gbd_pool_get_capacity (pool);
  for (uint32_t i = 0; i < capacity; i++)
    {
      const gbd_pool_server_t *server
          = gbd_pool_peek (pool, (gbd_pool_handle_t)i);
      if (server->is_used && server->is_listed
          && server->entry.service == placement->service)
        gbd_peer_response_time_add (
            &observations->peers,
            get_response_time (server, placement, observations, now));
    }
}

/* Returns the response time of a backend server as if it were in the local
   zone, or 0. */
static gbd_time_t
get_response_time (const gbd_pool_server_t *server,
                   const gbd_placement_t *placement,
                   const observations_t *observations, gbd_time_t now)
{
  gbd_time_t response_time
      = gbd_response_time_get (&server->load.response_time, now);
  gbd_time_t delay = gbd_zone_delays_get_round_trip (
      observations->zone_delays, placement->zone, server->entry.backend.zone);
  return response_time > delay ? response_time - delay : 0;
}

/* Spreads flows over servers with free slots, also if the flows of some of
   them never wait. */
static uint64_t
compute_recent_cost (const gbd_pool_server_t *server, gbd_time_t now)
{
  uint64_t cost
      = (uint64_t)(gbd_recent_flows_get (&server->load.recent_flows, now)
                   * RECENT_FLOW_COST);
  return cost < RECENT_FLOWS_COST_MAX ? cost : RECENT_FLOWS_COST_MAX;
}

static uint64_t
compute_cost (const gbd_pool_server_t *server,
              const gbd_placement_t *placement,
              const observations_t *observations, gbd_time_t now)
{
  uint64_t slots = server->entry.slots;
  uint64_t pending_count = server->load.waiting;
  bool is_outside
      = observations->has_windows
        && !gbd_subset_contains (&placement->group, &server->position);
  if (observations->has_windows && !is_outside)
    pending_count = gbd_subset_estimate_pending (
        &placement->group, &server->position, server->load.waiting);
  uint64_t queued = pending_count + 1 > slots ? pending_count + 1 - slots : 0;
  uint64_t cost
      = queued * COST_UNIT / slots + pending_count * SPREAD_COST / slots;
  if (queued == 0)
    cost += compute_recent_cost (server, now);
  cost += gbd_zone_delays_get_cost (
      observations->zone_delays, placement->zone, server->entry.backend.zone,
      gbd_peer_response_time_get (&observations->peers));
  cost += gbd_response_time_get_excess (
      &observations->peers,
      get_response_time (server, placement, observations, now));
  if (placement->avoid != GBD_POOL_NONE
      && now - server->load.suspicion.last_response_at
             > GBD_PLACEMENT_RESPONSE_WINDOW)
    cost += GBD_PLACEMENT_NO_RESPONSE_COST;
  if (is_outside)
    cost += GBD_PLACEMENT_OUTSIDE_COST;
  if (server->load.failing.is_failing)
    cost += GBD_PLACEMENT_FAILING_COST;
  if (observations->prefers_proven && !is_proven (server, now))
    cost += GBD_PLACEMENT_UNPROVEN_COST;
  uint64_t tie
      = gbd_rendezvous_weight (server->entry.backend.id, placement->hash)
        & TIE_BREAK_MASK;
  return cost + tie;
}
