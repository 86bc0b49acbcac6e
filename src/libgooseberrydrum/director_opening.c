/* Decisions on opening packets. */
#include "libgooseberrydrum/director_private.h"

static void decide_without_route (const gbd_director_t *director,
                                  gbd_director_decision_t *decision);
static gbd_placement_t make_placement (const gbd_director_t *director,
                                       const gbd_route_t *route,
                                       gbd_flow_hash_t hash, gbd_time_t now);
static void choose_server (const gbd_director_t *director,
                           const gbd_packet_t *packet,
                           const gbd_tracked_flow_t *flow,
                           gbd_placement_t *placement, gbd_time_t now,
                           gbd_director_decision_t *decision);
static void decide_on_duplicate (const gbd_director_t *director,
                                 const gbd_tracked_flow_t *flow,
                                 gbd_time_t now,
                                 gbd_director_decision_t *decision);
static bool may_be_stale (const gbd_director_t *director, gbd_time_t now);
static bool is_held (const gbd_director_t *director, gbd_time_t now);
static bool is_evacuated (const gbd_director_t *director,
                          gbd_pool_handle_t server);
static bool is_limited_server (const gbd_director_t *director,
                               const gbd_pool_server_t *server,
                               gbd_time_t now);
static bool accepts_duplicate (const gbd_director_t *director,
                               gbd_pool_handle_t handle, gbd_time_t now);
static void decide_without_server (const gbd_director_t *director,
                                   const gbd_packet_t *packet,
                                   const gbd_placement_t *placement,
                                   bool is_tracked, gbd_time_t now,
                                   gbd_director_decision_t *decision);

void
gbd_director_route_opening (const gbd_director_t *director,
                            const gbd_packet_t *packet, gbd_time_t now,
                            gbd_director_decision_t *decision)
{
  const gbd_route_t *route
      = gbd_routes_find (director->routes, &packet->flow.service);
  if (!route)
    {
      decide_without_route (director, decision);
      return;
    }
  if (is_held (director, now))
    {
      gbd_director_decide_drop (decision, GBD_DIRECTOR_RULE_NOT_READY,
                                GBD_DROP_UNCERTAIN);
      return;
    }
  gbd_placement_t placement
      = make_placement (director, route, decision->hash, now);
  const gbd_tracked_flow_t *flow
      = gbd_flow_tracker_find (director->tracker, decision->hash);
  choose_server (director, packet, flow, &placement, now, decision);
  if (decision->kind == GBD_ACTION_DROP)
    return;
  if (decision->server == GBD_POOL_NONE)
    {
      decision->is_limited = placement.warm_up.is_limited
                             && gbd_pool_is_synced (director->pool);
      decide_without_server (director, packet, &placement, flow != NULL, now,
                             decision);
      return;
    }
  /* The first transmission of a copy, and the packets of a tracked flow, may
     have been forwarded, so that a reset might end an open flow. */
  if (!flow && packet->acknowledgment == 0)
    decision->route = gbd_room_find_route (
        director->room, &packet->flow.service, placement.service);
  if (!gbd_admission_admits (director->admission, decision->route,
                             &packet->flow.caller, now))
    {
      decision->server = GBD_POOL_NONE;
      if (may_be_stale (director, now))
        gbd_director_decide_drop (decision, GBD_DIRECTOR_RULE_NO_ROOM,
                                  GBD_DROP_UNCERTAIN);
      else
        gbd_director_decide_reset (decision, GBD_DIRECTOR_RULE_NO_ROOM);
      return;
    }
  const gbd_pool_server_t *server
      = gbd_pool_peek (director->pool, decision->server);
  decision->is_to_cold = is_limited_server (director, server, now);
  decision->cookie
      = gbd_cookie_encode (director->key, &packet->flow, server->fingerprint);
}

void
gbd_director_record_opening (gbd_director_t *director,
                             const gbd_director_decision_t *decision,
                             gbd_time_t now)
{
  if (decision->kind == GBD_ACTION_BACKEND)
    gbd_warm_up_record_sent (
        &gbd_pool_get (director->pool, decision->server)->warm_up, now);
  if (decision->kind == GBD_ACTION_BACKEND && decision->is_to_cold)
    {
      director->cold_packets++;
      if (director->cold_sent_at == GBD_TIME_NEVER)
        director->cold_sent_at = now;
    }
  if (decision->is_limited && decision->kind == GBD_ACTION_RESET)
    director->cold_resets++;
  else if (decision->is_limited && decision->kind == GBD_ACTION_DROP)
    director->cold_drops++;
}

static void
decide_without_route (const gbd_director_t *director,
                      gbd_director_decision_t *decision)
{
  /* While the platform is unreachable, a route may exist that this instance
     has not received yet. */
  if (gbd_pool_is_platform_unreachable (director->pool))
    gbd_director_decide_drop (decision, GBD_DIRECTOR_RULE_NO_ROUTE,
                              GBD_DROP_NO_SERVICE);
  else
    gbd_director_decide_reset (decision, GBD_DIRECTOR_RULE_NO_ROUTE);
}

static gbd_placement_t
make_placement (const gbd_director_t *director, const gbd_route_t *route,
                gbd_flow_hash_t hash, gbd_time_t now)
{
  gbd_service_id_t service = gbd_route_choose (route, hash);
  return (gbd_placement_t){
    .service = service,
    .zone = director->settings.zone,
    .hash = hash,
    .avoid = GBD_POOL_NONE,
    .group = director->group,
    .is_idempotent = route->is_idempotent,
    .has_both_kinds = gbd_routes_has_both_kinds (director->routes, service),
    .is_room_short = gbd_room_is_short (director->room, service, now),
    .was_room_short = gbd_room_was_short (director->room, service, now),
    .evacuations = &director->evacuations,
    .warm_up = gbd_director_get_warm_up (director, service, now),
  };
}

/* Chooses the backend server, or drops a duplicate.
   @param flow tracked flow of the same addresses, or NULL
   @param placement gets the backend server to avoid */
static void
choose_server (const gbd_director_t *director, const gbd_packet_t *packet,
               const gbd_tracked_flow_t *flow, gbd_placement_t *placement,
               gbd_time_t now, gbd_director_decision_t *decision)
{
  bool is_tracked = flow && flow->phase == GBD_FLOW_OPENING
                    && flow->sequence == packet->sequence;
  /* Opening packets count their retransmissions in the acknowledgment
     field. */
  bool is_retransmission
      = is_tracked && packet->acknowledgment > flow->acknowledgment;
  bool is_moved = is_retransmission
                  || (is_tracked && is_evacuated (director, flow->server));
  if (is_tracked && !is_moved)
    {
      decide_on_duplicate (director, flow, now, decision);
      return;
    }
  if (is_moved)
    placement->avoid = flow->server;
  decision->rule
      = is_moved ? GBD_DIRECTOR_RULE_MOVED : GBD_DIRECTOR_RULE_PLACED;
  decision->server = gbd_placement_choose (director->pool, placement, now);
  decision->previous = placement->avoid;
}

/* Sends a duplicate of an opening packet to the backend server of the first
   one, or drops it. */
static void
decide_on_duplicate (const gbd_director_t *director,
                     const gbd_tracked_flow_t *flow, gbd_time_t now,
                     gbd_director_decision_t *decision)
{
  decision->rule = GBD_DIRECTOR_RULE_SAME;
  decision->server = flow->server;
  if (accepts_duplicate (director, flow->server, now))
    return;
  gbd_director_decide_drop (decision, GBD_DIRECTOR_RULE_SAME,
                            GBD_DROP_UNCERTAIN);
  decision->is_limited = true;
}

/* Whether opening packets may have waited for so long that a copy has opened
   their flow elsewhere. */
static bool
may_be_stale (const gbd_director_t *director, gbd_time_t now)
{
  return director->ticked_at
         && (now < director->stale_until
             || now - director->ticked_at > GBD_DIRECTOR_STALE_DELAY);
}

/* Whether the evacuated zones may have changed while the process was
   paused. */
static bool
is_held (const gbd_director_t *director, gbd_time_t now)
{
  return now < director->hold_end
         || (director->detects_pauses && director->ticked_at
             && now - director->ticked_at > GBD_DIRECTOR_PAUSE_MIN);
}

static bool
is_evacuated (const gbd_director_t *director, gbd_pool_handle_t server)
{
  return gbd_evacuations_contain (
      &director->evacuations,
      gbd_pool_peek (director->pool, server)->entry.backend.zone);
}

/* Whether the limit for cold servers applies to a server now. */
static bool
is_limited_server (const gbd_director_t *director,
                   const gbd_pool_server_t *server, gbd_time_t now)
{
  gbd_warm_up_share_t share
      = gbd_director_get_warm_up (director, server->entry.service, now);
  return share.is_limited && gbd_pool_is_cold (server, share.duration, now);
}

/* Whether a duplicate of an opening packet may follow the first one. */
static bool
accepts_duplicate (const gbd_director_t *director, gbd_pool_handle_t handle,
                   gbd_time_t now)
{
  const gbd_pool_server_t *server = gbd_pool_peek (director->pool, handle);
  gbd_warm_up_share_t share
      = gbd_director_get_warm_up (director, server->entry.service, now);
  return !share.is_limited || !gbd_pool_is_cold (server, share.duration, now)
         || gbd_warm_up_allows (&share, &server->warm_up,
                                server->entry.backend.id, now);
}

/* Decides on an opening packet that no backend server can accept.  While zones
   are evacuated or cold servers limited, a copy is dropped: its first
   transmission may have been forwarded, and its flow may be opening or open.
   @param is_tracked whether a flow of the same addresses is tracked */
static void
decide_without_server (const gbd_director_t *director,
                       const gbd_packet_t *packet,
                       const gbd_placement_t *placement, bool is_tracked,
                       gbd_time_t now, gbd_director_decision_t *decision)
{
  gbd_placement_t unrestricted = *placement;
  unrestricted.evacuations = NULL;
  bool may_be_forwarded = is_tracked || packet->acknowledgment > 0
                          || may_be_stale (director, now);
  bool is_evacuated_only
      = placement->evacuations->count > 0
        && gbd_placement_choose (director->pool, &unrestricted, now)
               != GBD_POOL_NONE;
  gbd_director_rule_t rule = is_evacuated_only ? GBD_DIRECTOR_RULE_EVACUATED
                                               : GBD_DIRECTOR_RULE_NO_SERVER;
  if (!gbd_pool_is_synced (director->pool))
    gbd_director_decide_drop (decision, GBD_DIRECTOR_RULE_NOT_READY,
                              GBD_DROP_NOT_JOINED);
  else if (may_be_forwarded && (is_evacuated_only || decision->is_limited))
    gbd_director_decide_drop (decision, rule, GBD_DROP_UNCERTAIN);
  else
    gbd_director_decide_reset (decision, rule);
}
