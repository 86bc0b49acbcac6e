#include "libgooseberrydrum/director_private.h"

#include <stdlib.h>

const char *const gbd_director_rule_strings[GBD_DIRECTOR_RULE_COUNT]
    = { "not_ready",   "no_route",    "no_server", "placed",
        "same",        "moved",       "cookie",    "no_cookie",
        "server_gone", "server_down", "evacuated", "no_room" };

static void route_subsequent (const gbd_director_t *director,
                              const gbd_packet_t *packet, gbd_time_t now,
                              gbd_director_decision_t *decision);
static bool has_failed_after_removal (const gbd_pool_server_t *server,
                                      gbd_time_t now);
static bool is_terminated (const gbd_director_t *director,
                           const gbd_pool_server_t *server, gbd_time_t now);
static bool is_copy (const gbd_tracked_flow_t *flow,
                     const gbd_packet_t *packet, gbd_time_t now);
static uint32_t count_failures (const gbd_tracked_flow_t *flow,
                                const gbd_packet_t *packet,
                                const gbd_pool_load_t *load, gbd_time_t now);
static bool is_down (const gbd_director_t *director,
                     const gbd_packet_t *packet,
                     const gbd_director_decision_t *decision, gbd_time_t now);

gbd_director_t *
gbd_director_new (const gbd_director_settings_t *settings)
{
  gbd_director_t *director = calloc (1, sizeof *director);
  if (!director)
    return NULL;
  director->settings = *settings;
  director->cold_sent_at = GBD_TIME_NEVER;
  director->pool = gbd_pool_new ();
  director->room = gbd_room_new ();
  if (director->room)
    director->admission = gbd_admission_new (director->room);
  if (director->pool && director->admission)
    director->tracker = gbd_flow_tracker_new (director->pool, director->room,
                                              settings->flow_capacity);
  if (director->tracker)
    return director;
  gbd_director_delete (director);
  return NULL;
}

void
gbd_director_delete (gbd_director_t *director)
{
  if (!director)
    return;
  gbd_flow_tracker_delete (director->tracker);
  gbd_admission_delete (director->admission);
  gbd_room_delete (director->room);
  gbd_pool_delete (director->pool);
  gbd_routes_delete (director->routes);
  free (director);
}

void
gbd_director_set_key (gbd_director_t *director, uint64_t key)
{
  director->key = key;
  director->has_key = true;
}

gbd_status_t
gbd_director_set_routes (gbd_director_t *director, gbd_routes_t *routes)
{
  if (director->routes
      && gbd_routes_get_version (routes)
             <= gbd_routes_get_version (director->routes))
    {
      gbd_routes_delete (routes);
      return GBD_ERROR_STALE;
    }
  gbd_routes_delete (director->routes);
  director->routes = routes;
  gbd_room_set_routes (director->room, routes);
  gbd_flow_tracker_update_routes (director->tracker);
  gbd_admission_update_routes (director->admission);
  gbd_flow_tracker_set_idle_timeout (director->tracker,
                                     gbd_routes_get_idle_timeout (routes));
  return GBD_OK;
}

void
gbd_director_set_group (gbd_director_t *director,
                        const gbd_group_view_t *group)
{
  director->group = *group;
}

const gbd_group_view_t *
gbd_director_get_group (const gbd_director_t *director)
{
  return &director->group;
}

gbd_evacuations_t *
gbd_director_get_evacuations (gbd_director_t *director)
{
  return &director->evacuations;
}

const gbd_evacuations_t *
gbd_director_peek_evacuations (const gbd_director_t *director)
{
  return &director->evacuations;
}

void
gbd_director_hold_openings (gbd_director_t *director, gbd_time_t until)
{
  director->hold_end = until;
}

void
gbd_director_detect_pauses (gbd_director_t *director)
{
  director->detects_pauses = true;
}

gbd_pool_t *
gbd_director_get_pool (gbd_director_t *director)
{
  return director->pool;
}

const gbd_pool_t *
gbd_director_peek_pool (const gbd_director_t *director)
{
  return director->pool;
}

const gbd_room_t *
gbd_director_peek_room (const gbd_director_t *director)
{
  return director->room;
}

const gbd_admission_control_t *
gbd_director_peek_admission (const gbd_director_t *director)
{
  return director->admission;
}

const gbd_routes_t *
gbd_director_get_routes (const gbd_director_t *director)
{
  return director->routes;
}

bool
gbd_director_is_ready (const gbd_director_t *director)
{
  return director->has_key && director->routes
         && (gbd_pool_is_synced (director->pool)
             || gbd_pool_get_count (director->pool) > 0);
}

void
gbd_director_route (const gbd_director_t *director, const gbd_packet_t *packet,
                    gbd_time_t now, gbd_director_decision_t *decision)
{
  *decision = (gbd_director_decision_t){
    .kind = GBD_ACTION_BACKEND,
    .server = GBD_POOL_NONE,
    .previous = GBD_POOL_NONE,
    .route = GBD_ROOM_ROUTE_NONE,
    .hash = gbd_flow_hash (&packet->flow, director->key),
  };
  if (director->routes)
    decision->version = gbd_routes_get_version (director->routes);
  if (!gbd_director_is_ready (director))
    gbd_director_decide_drop (decision, GBD_DIRECTOR_RULE_NOT_READY,
                              GBD_DROP_NOT_JOINED);
  else if (packet->kind == GBD_PACKET_OPENING)
    gbd_director_route_opening (director, packet, now, decision);
  else
    route_subsequent (director, packet, now, decision);
}

const gbd_tracked_flow_t *
gbd_director_find_flow (const gbd_director_t *director, const gbd_flow_t *flow)
{
  return gbd_flow_tracker_find (director->tracker,
                                gbd_flow_hash (flow, director->key));
}

void
gbd_director_route_next (const gbd_director_t *director,
                         const gbd_flow_t *flow,
                         const gbd_tracked_flow_t *tracked, gbd_time_t now,
                         gbd_director_decision_t *decision)
{
  gbd_fingerprint_t fingerprint
      = gbd_pool_peek (director->pool, tracked->server)->fingerprint;
  gbd_packet_t packet = {
    .kind = GBD_PACKET_ESTABLISHED,
    .flow = *flow,
    .sequence = tracked->sequence,
    .acknowledgment = tracked->acknowledgment,
    .cookie = gbd_cookie_encode (director->key, flow, fingerprint),
  };
  gbd_director_route (director, &packet, now, decision);
}

gbd_flow_observation_t
gbd_director_commit (gbd_director_t *director, const gbd_packet_t *packet,
                     const gbd_director_decision_t *decision, gbd_time_t now)
{
  director->rules[decision->rule]++;
  bool is_admitted = decision->kind == GBD_ACTION_BACKEND;
  if (is_admitted || decision->rule == GBD_DIRECTOR_RULE_NO_ROOM)
    gbd_admission_record (director->admission, decision->route,
                          &packet->flow.caller, is_admitted, now);
  if (decision->rule == GBD_DIRECTOR_RULE_EVACUATED
      && decision->kind == GBD_ACTION_RESET)
    director->evacuation_resets++;
  if (packet->kind == GBD_PACKET_OPENING)
    gbd_director_record_opening (director, decision, now);
  if (decision->kind != GBD_ACTION_BACKEND)
    {
      if (decision->rule == GBD_DIRECTOR_RULE_SERVER_REMOVED
          || decision->rule == GBD_DIRECTOR_RULE_SERVER_DOWN)
        {
          gbd_flow_tracker_remove (director->tracker, decision->hash);
          gbd_suspicion_record_reset (
              &gbd_pool_get (director->pool, decision->server)->load.suspicion,
              now);
        }
      return (gbd_flow_observation_t){ .is_newly_suspected = false };
    }
  return gbd_flow_tracker_record (director->tracker, packet, decision->hash,
                                  decision->server, now);
}

bool
gbd_director_has_sent_to_cold (const gbd_director_t *director)
{
  return director->cold_sent_at != GBD_TIME_NEVER;
}

void
gbd_director_record_transmission (gbd_director_t *director, gbd_time_t now)
{
  uint32_t capacity = gbd_pool_get_capacity (director->pool);
  for (uint32_t i = 0; i < capacity; i++)
    {
      gbd_warm_up_t *warm_up
          = &gbd_pool_get (director->pool, (gbd_pool_handle_t)i)->warm_up;
      if (warm_up->sent_at >= director->cold_sent_at)
        gbd_warm_up_record_sent (warm_up, now);
    }
  director->cold_sent_at = GBD_TIME_NEVER;
}

gbd_warm_up_share_t
gbd_director_get_warm_up (const gbd_director_t *director,
                          gbd_service_id_t service, gbd_time_t now)
{
  if (!director->routes || director->settings.warm_up.overshoot < 1)
    return (gbd_warm_up_share_t){ .is_limited = false };
  gbd_warm_up_limits_t limits
      = gbd_routes_get_warm_up (director->routes, service);
  return gbd_warm_up_get_share (&director->settings.warm_up, &limits,
                                &director->warm_up_group, now);
}

void
gbd_director_tick (gbd_director_t *director, gbd_time_t now)
{
  if (director->ticked_at
      && now - director->ticked_at > GBD_DIRECTOR_STALE_DELAY)
    director->stale_until = now + GBD_DIRECTOR_STALE_DELAY;
  director->ticked_at = now;
  gbd_warm_up_group_update (&director->warm_up_group, director->group.total,
                            now);
  gbd_flow_tracker_tick (director->tracker, now);
  gbd_admission_tick (director->admission, now);
  gbd_pool_tick (director->pool, now);
  gbd_evacuations_tick (&director->evacuations, now);
}

void
gbd_director_get_stats (const gbd_director_t *director,
                        gbd_director_stats_t *stats)
{
  for (int i = 0; i < GBD_DIRECTOR_RULE_COUNT; i++)
    stats->rules[i] = director->rules[i];
  stats->evacuation_resets = director->evacuation_resets;
  stats->cold_packets = director->cold_packets;
  stats->cold_resets = director->cold_resets;
  stats->cold_drops = director->cold_drops;
  stats->tracked_flows = gbd_flow_tracker_get_count (director->tracker);
}

void
gbd_director_decide_drop (gbd_director_decision_t *decision,
                          gbd_director_rule_t rule, gbd_drop_t cause)
{
  decision->kind = GBD_ACTION_DROP;
  decision->rule = rule;
  decision->drop = cause;
}

void
gbd_director_decide_reset (gbd_director_decision_t *decision,
                           gbd_director_rule_t rule)
{
  decision->kind = GBD_ACTION_RESET;
  decision->rule = rule;
}

static void
route_subsequent (const gbd_director_t *director, const gbd_packet_t *packet,
                  gbd_time_t now, gbd_director_decision_t *decision)
{
  gbd_fingerprint_t fingerprint
      = gbd_cookie_decode (director->key, &packet->flow, packet->cookie);
  decision->server = gbd_pool_find (director->pool, fingerprint);
  decision->cookie = packet->cookie;
  decision->rule = GBD_DIRECTOR_RULE_COOKIE;
  if (decision->server == GBD_POOL_NONE)
    {
      gbd_director_decide_drop (decision, GBD_DIRECTOR_RULE_NO_COOKIE,
                                GBD_DROP_UNCERTAIN);
      return;
    }
  const gbd_pool_server_t *server
      = gbd_pool_peek (director->pool, decision->server);
  if (packet->is_reset)
    return;
  if (is_terminated (director, server, now))
    gbd_director_decide_reset (decision, GBD_DIRECTOR_RULE_SERVER_REMOVED);
  else if (is_down (director, packet, decision, now))
    gbd_director_decide_reset (decision, GBD_DIRECTOR_RULE_SERVER_DOWN);
}

/* Whether responses of a backend server that is no longer listed are missing,
   enough of them to consider it stopped. */
static bool
has_failed_after_removal (const gbd_pool_server_t *server, gbd_time_t now)
{
  const gbd_suspicion_t *suspicion = &server->load.suspicion;
  if (server->entry.backend.state == GBD_BACKEND_DRAINING)
    return gbd_suspicion_count_failures (suspicion, now)
           >= GBD_DIRECTOR_FAILURES_DRAINED;
  return suspicion->unanswered >= GBD_DIRECTOR_FAILURES_REMOVED;
}

/* Whether a backend server is no longer listed and is considered stopped, so
   that a reset should make its callers open another flow at once. */
static bool
is_terminated (const gbd_director_t *director, const gbd_pool_server_t *server,
               gbd_time_t now)
{
  if (server->is_listed || gbd_pool_is_platform_unreachable (director->pool))
    return false;
  const gbd_suspicion_t *suspicion = &server->load.suspicion;
  gbd_probe_result_t probe = gbd_suspicion_get_probe (suspicion, now);
  bool is_running = suspicion->last_response_at > server->removed_at
                    || probe == GBD_PROBE_ACCEPTED;
  bool is_confirmed
      = probe == GBD_PROBE_REFUSED || has_failed_after_removal (server, now);
  if (!is_confirmed && is_running)
    return false;
  gbd_time_t delay = is_confirmed ? GBD_DIRECTOR_CONFIRMED_RESET_DELAY
                                  : GBD_DIRECTOR_UNCONFIRMED_RESET_DELAY;
  return now - server->removed_at >= delay;
}

/* Whether the backend server has certainly lost a flow, or does not respond
   and the caller may retry its request at another backend server.
   Always false for a flow that is not tracked, or that had a response after
   the evidence was collected: it may be a flow of a backend server that has
   returned since. */
static bool
is_down (const gbd_director_t *director, const gbd_packet_t *packet,
         const gbd_director_decision_t *decision, gbd_time_t now)
{
  const gbd_pool_server_t *server
      = gbd_pool_peek (director->pool, decision->server);
  const gbd_suspicion_t *suspicion = &server->load.suspicion;
  gbd_probe_result_t probe = gbd_suspicion_get_probe (suspicion, now);
  bool has_stopped = probe == GBD_PROBE_REFUSED;
  gbd_time_t evidence_time = suspicion->probed_at;
  if (server->superseded_at != GBD_TIME_NEVER
      && gbd_suspicion_is_suspected (suspicion))
    {
      has_stopped = true;
      evidence_time = server->superseded_at;
    }
  const gbd_peer_evidence_t *peers = &server->load.peer_evidence;
  bool is_unreachable = probe == GBD_PROBE_NO_RESPONSE;
  if (!has_stopped && !is_unreachable)
    {
      is_unreachable = gbd_peer_evidence_is_unreachable (
          peers, suspicion->last_response_at, now);
      evidence_time = peers->unreachable_at;
    }
  if (!has_stopped && (!is_unreachable || peers->heard_at >= evidence_time))
    return false;
  const gbd_tracked_flow_t *flow
      = gbd_flow_tracker_find (director->tracker, decision->hash);
  if (!flow || flow->phase != GBD_FLOW_ESTABLISHED
      || flow->server != decision->server
      || (int32_t)(packet->acknowledgment - flow->acknowledgment) > 0)
    return false;
  bool has_response_since = flow->last_response_at >= evidence_time;
  if (has_stopped)
    return !has_response_since;
  /* A flow that was first seen after the probe has had no response if this is
     a copy of its first packet here. */
  if (has_response_since
      && (!is_copy (flow, packet, now)
          || flow->last_response_at > flow->sent_at))
    return false;
  /* The backend server may still process a request that it has received, so
     only idempotent requests may be retried.  Responses of other backend
     servers since the probe rule out a fault of this instance. */
  const gbd_route_t *route
      = gbd_routes_find (director->routes, &packet->flow.service);
  return route && route->is_idempotent
         && count_failures (flow, packet, &server->load, now)
                >= GBD_DIRECTOR_FAILURES_LISTED
         && gbd_flow_tracker_get_last_response_time (director->tracker)
                >= evidence_time;
}

/* Whether a packet is the copy of a request without a response. */
static bool
is_copy (const gbd_tracked_flow_t *flow, const gbd_packet_t *packet,
         gbd_time_t now)
{
  return packet->payload_length > 0 && packet->sequence == flow->sequence
         && now - flow->sent_at >= GBD_FLOW_TRACKER_RETRANSMIT_MIN;
}

/* Counts the missing responses of a backend server.  Those that others have
   reported count only if one is missing on this flow: reports alone reset
   nothing. */
static uint32_t
count_failures (const gbd_tracked_flow_t *flow, const gbd_packet_t *packet,
                const gbd_pool_load_t *load, gbd_time_t now)
{
  const gbd_suspicion_t *suspicion = &load->suspicion;
  uint32_t count = gbd_suspicion_count_failures (suspicion, now);
  if (!is_copy (flow, packet, now))
    return count;
  return count + 1
         + gbd_peer_evidence_count_failures (&load->peer_evidence,
                                             suspicion->last_response_at, now);
}
