#include "gooseberrydrum/flow_tracker.h"

#include <stdlib.h>

/* After a longer time between two ticks, the process was paused, and packets
   of flows that seem to have ended may still be in the socket's buffer. */
#define TICK_MAX (250 * GBD_MILLISECOND)
#define WAYS 4 /* associativity: number of entries in a set */

struct gbd_flow_tracker
{
  gbd_pool_t *pool;
  gbd_room_t *room;
  uint32_t capacity;
  uint32_t count;
  gbd_time_t last_response_at;
  gbd_time_t ticked_at;
  gbd_time_t idle_timeout;
  gbd_response_time_t response_time; /* of all backend servers */
  gbd_tracked_flow_t flows[];
};

static gbd_time_t get_response_timeout (const gbd_flow_tracker_t *tracker,
                                        gbd_time_t now);
static gbd_tracked_flow_t *find_entry (gbd_flow_tracker_t *tracker,
                                       gbd_flow_hash_t hash);
static gbd_tracked_flow_t *allocate_entry (gbd_flow_tracker_t *tracker,
                                           gbd_flow_hash_t hash);
static void release_entry (gbd_flow_tracker_t *tracker,
                           gbd_tracked_flow_t *flow);
static void set_waiting (gbd_flow_tracker_t *tracker, gbd_tracked_flow_t *flow,
                         bool is_waiting);
static bool has_request (const gbd_tracked_flow_t *flow);
static void check_limit (gbd_flow_tracker_t *tracker, gbd_tracked_flow_t *flow,
                         gbd_time_t now);
static void record_silence (gbd_flow_tracker_t *tracker,
                            gbd_pool_handle_t handle, gbd_time_t now);
static void record_opening (gbd_flow_tracker_t *tracker,
                            gbd_tracked_flow_t *flow,
                            const gbd_packet_t *packet,
                            gbd_pool_handle_t server, gbd_time_t now,
                            gbd_flow_observation_t *observation);
static void record_subsequent (gbd_flow_tracker_t *tracker,
                               gbd_tracked_flow_t *flow,
                               const gbd_packet_t *packet, gbd_time_t now,
                               gbd_flow_observation_t *observation);
static void record_refusal (gbd_flow_tracker_t *tracker,
                            const gbd_tracked_flow_t *flow, gbd_time_t now);
static void record_response_size (gbd_flow_tracker_t *tracker,
                                  const gbd_tracked_flow_t *flow,
                                  uint32_t bytes, gbd_time_t duration,
                                  gbd_time_t now);
static void record_retransmission (gbd_flow_tracker_t *tracker,
                                   const gbd_tracked_flow_t *flow,
                                   gbd_time_t now,
                                   gbd_flow_observation_t *observation);

gbd_flow_tracker_t *
gbd_flow_tracker_new (gbd_pool_t *pool, gbd_room_t *room, uint32_t capacity)
{
  gbd_flow_tracker_t *tracker
      = calloc (1, sizeof *tracker + capacity * sizeof tracker->flows[0]);
  if (!tracker)
    return NULL;
  tracker->pool = pool;
  tracker->room = room;
  tracker->capacity = capacity;
  gbd_flow_tracker_set_idle_timeout (tracker, 0);
  return tracker;
}

void
gbd_flow_tracker_delete (gbd_flow_tracker_t *tracker)
{
  free (tracker);
}

void
gbd_flow_tracker_set_idle_timeout (gbd_flow_tracker_t *tracker,
                                   gbd_time_t idle_timeout)
{
  tracker->idle_timeout
      = idle_timeout ? idle_timeout : GBD_FLOW_TRACKER_IDLE_TIMEOUT_DEFAULT;
}

void
gbd_flow_tracker_update_routes (gbd_flow_tracker_t *tracker)
{
  for (uint32_t i = 0; i < tracker->capacity; i++)
    if (!gbd_room_is_configured (tracker->room, tracker->flows[i].route))
      tracker->flows[i].route = GBD_ROOM_ROUTE_NONE;
}

const gbd_tracked_flow_t *
gbd_flow_tracker_find (const gbd_flow_tracker_t *tracker, gbd_flow_hash_t hash)
{
  uint32_t base = (uint32_t)hash & (tracker->capacity - WAYS);
  for (uint32_t i = 0; i < WAYS; i++)
    {
      const gbd_tracked_flow_t *flow = &tracker->flows[base + i];
      if (flow->phase != GBD_FLOW_UNUSED && flow->hash == hash)
        return flow;
    }
  return NULL;
}

gbd_flow_observation_t
gbd_flow_tracker_record (gbd_flow_tracker_t *tracker,
                         const gbd_packet_t *packet, gbd_flow_hash_t hash,
                         gbd_pool_handle_t server, gbd_time_t now)
{
  gbd_tracked_flow_t *flow = find_entry (tracker, hash);
  bool is_new = !flow;
  if (is_new)
    {
      flow = allocate_entry (tracker, hash);
      flow->server = server;
      flow->route = GBD_ROOM_ROUTE_NONE;
      flow->sequence = packet->sequence;
      flow->next_sequence = packet->sequence + packet->payload_length;
      flow->acknowledgment = packet->acknowledgment;
      flow->sent_at = now;
      flow->last_response_at = now;
    }
  /* Routes may have been installed after the first packet of a flow. */
  if (flow->route == GBD_ROOM_ROUTE_NONE)
    flow->route = gbd_room_find_route (
        tracker->room, &packet->flow.service,
        gbd_pool_peek (tracker->pool, server)->entry.service);
  gbd_flow_observation_t observation = { .is_newly_suspected = false };
  flow->last_packet_at = now;
  if (packet->kind == GBD_PACKET_OPENING)
    record_opening (tracker, flow, packet, server, now, &observation);
  else if (flow->phase == GBD_FLOW_UNUSED)
    {
      /* Another instance forwarded the opening packet of this flow, or its
         entry has been released since. */
      flow->phase = GBD_FLOW_ESTABLISHED;
      gbd_pool_get (tracker->pool, server)->load.open++;
    }
  else
    record_subsequent (tracker, flow, packet, now, &observation);
  if (packet->kind == GBD_PACKET_CLOSING)
    release_entry (tracker, flow);
  return observation;
}

void
gbd_flow_tracker_remove (gbd_flow_tracker_t *tracker, gbd_flow_hash_t hash)
{
  gbd_tracked_flow_t *flow = find_entry (tracker, hash);
  if (flow)
    release_entry (tracker, flow);
}

gbd_time_t
gbd_flow_tracker_get_last_response_time (const gbd_flow_tracker_t *tracker)
{
  return tracker->last_response_at;
}

void
gbd_flow_tracker_tick (gbd_flow_tracker_t *tracker, gbd_time_t now)
{
  gbd_time_t response_timeout = get_response_timeout (tracker, now);
  bool was_paused = now - tracker->ticked_at > TICK_MAX;
  tracker->ticked_at = now;
  for (uint32_t i = 0; i < tracker->capacity; i++)
    {
      gbd_tracked_flow_t *flow = &tracker->flows[i];
      if (flow->phase == GBD_FLOW_UNUSED)
        continue;
      if (!was_paused)
        check_limit (tracker, flow, now);
      if (now - flow->last_packet_at > tracker->idle_timeout)
        release_entry (tracker, flow);
      else if (flow->is_waiting
               && now - flow->last_packet_at > response_timeout)
        {
          set_waiting (tracker, flow, false);
          if (has_request (flow) && !was_paused)
            record_silence (tracker, flow->server, now);
        }
    }
}

uint32_t
gbd_flow_tracker_get_count (const gbd_flow_tracker_t *tracker)
{
  return tracker->count;
}

static gbd_time_t
get_response_timeout (const gbd_flow_tracker_t *tracker, gbd_time_t now)
{
  gbd_time_t timeout = GBD_FLOW_TRACKER_RESPONSE_TIMES
                       * gbd_response_time_get (&tracker->response_time, now);
  return timeout > GBD_FLOW_TRACKER_RESPONSE_TIMEOUT_MIN
             ? timeout
             : GBD_FLOW_TRACKER_RESPONSE_TIMEOUT_MIN;
}

static gbd_tracked_flow_t *
find_entry (gbd_flow_tracker_t *tracker, gbd_flow_hash_t hash)
{
  return (gbd_tracked_flow_t *)gbd_flow_tracker_find (tracker, hash);
}

/* Returns an unused entry of the set to which the hash maps, after evicting
   the least recently used flow if the set is full. */
static gbd_tracked_flow_t *
allocate_entry (gbd_flow_tracker_t *tracker, gbd_flow_hash_t hash)
{
  uint32_t base = (uint32_t)hash & (tracker->capacity - WAYS);
  gbd_tracked_flow_t *oldest = &tracker->flows[base];
  for (uint32_t i = 0; i < WAYS; i++)
    {
      gbd_tracked_flow_t *flow = &tracker->flows[base + i];
      if (flow->phase == GBD_FLOW_UNUSED)
        {
          oldest = flow;
          break;
        }
      if (flow->last_packet_at < oldest->last_packet_at)
        oldest = flow;
    }
  if (oldest->phase != GBD_FLOW_UNUSED)
    release_entry (tracker, oldest);
  *oldest = (gbd_tracked_flow_t){ .hash = hash };
  tracker->count++;
  return oldest;
}

static void
release_entry (gbd_flow_tracker_t *tracker, gbd_tracked_flow_t *flow)
{
  gbd_pool_server_t *server = gbd_pool_get (tracker->pool, flow->server);
  set_waiting (tracker, flow, false);
  if (flow->phase == GBD_FLOW_ESTABLISHED && server->load.open > 0)
    server->load.open--;
  flow->phase = GBD_FLOW_UNUSED;
  tracker->count--;
}

static void
set_waiting (gbd_flow_tracker_t *tracker, gbd_tracked_flow_t *flow,
             bool is_waiting)
{
  gbd_pool_server_t *server = gbd_pool_get (tracker->pool, flow->server);
  if (flow->is_waiting == is_waiting)
    return;
  flow->is_waiting = is_waiting;
  if (is_waiting)
    server->load.waiting++;
  else if (server->load.waiting > 0)
    server->load.waiting--;
}

/* Whether a request was sent on a flow since its last response.  A new flow
   counts as waiting already before its first request. */
static bool
has_request (const gbd_tracked_flow_t *flow)
{
  return flow->phase == GBD_FLOW_ESTABLISHED
         && flow->sent_at >= flow->last_response_at;
}

/* Detects that a backend server at its connection limit has reset a flow. */
static void
check_limit (gbd_flow_tracker_t *tracker, gbd_tracked_flow_t *flow,
             gbd_time_t now)
{
  if (flow->phase != GBD_FLOW_OPENING || flow->is_limited
      || flow->acknowledgment > 0
      || now - flow->last_packet_at < GBD_FLOW_TRACKER_LIMITED_MIN)
    return;
  const gbd_suspicion_t *suspicion
      = &gbd_pool_peek (tracker->pool, flow->server)->load.suspicion;
  flow->is_limited = true;
  if (gbd_suspicion_is_suspected (suspicion)
      || suspicion->last_response_at <= flow->sent_at)
    return;
  record_refusal (tracker, flow, now);
  gbd_room_record_limited_flow (tracker->room, flow->route, now);
}

/* Records that a request got no response while its caller sent nothing
   further. */
static void
record_silence (gbd_flow_tracker_t *tracker, gbd_pool_handle_t handle,
                gbd_time_t now)
{
  gbd_suspicion_t *suspicion
      = &gbd_pool_get (tracker->pool, handle)->load.suspicion;
  gbd_suspicion_record_silence (suspicion, now);
  if (!gbd_suspicion_is_suspected (suspicion))
    gbd_pool_record_failed_requests (tracker->pool, handle, 1, true, now);
}

static void
record_opening (gbd_flow_tracker_t *tracker, gbd_tracked_flow_t *flow,
                const gbd_packet_t *packet, gbd_pool_handle_t server,
                gbd_time_t now, gbd_flow_observation_t *observation)
{
  bool is_retransmission = flow->phase == GBD_FLOW_OPENING
                           && flow->sequence == packet->sequence
                           && packet->acknowledgment > flow->acknowledgment;
  if (is_retransmission)
    record_retransmission (tracker, flow, now, observation);
  gbd_pool_server_t *new_server = gbd_pool_get (tracker->pool, server);
  gbd_pool_server_t *old_server = gbd_pool_get (tracker->pool, flow->server);
  if (is_retransmission)
    old_server->load.unanswered++;
  if (flow->phase == GBD_FLOW_ESTABLISHED && old_server->load.open > 0)
    old_server->load.open--;

  set_waiting (tracker, flow, false);
  if (flow->phase != GBD_FLOW_OPENING || flow->server != server)
    {
      gbd_suspicion_record_placement (&new_server->load.suspicion, now);
      gbd_recent_flows_add (&new_server->load.recent_flows, now);
      new_server->load.placed++;
    }
  flow->server = server;
  flow->phase = GBD_FLOW_OPENING;
  flow->is_limited = false;
  flow->sequence = packet->sequence;
  flow->acknowledgment = packet->acknowledgment;
  flow->sent_at = now;
  set_waiting (tracker, flow, true);
}

static void
record_subsequent (gbd_flow_tracker_t *tracker, gbd_tracked_flow_t *flow,
                   const gbd_packet_t *packet, gbd_time_t now,
                   gbd_flow_observation_t *observation)
{
  gbd_pool_server_t *server = gbd_pool_get (tracker->pool, flow->server);
  bool is_established_now = flow->phase == GBD_FLOW_OPENING;
  bool has_advanced
      = is_established_now
        || (int32_t)(packet->acknowledgment - flow->acknowledgment) > 0;
  if (is_established_now)
    {
      flow->phase = GBD_FLOW_ESTABLISHED;
      server->load.open++;
      observation->is_established = true;
      observation->setup_time = now - flow->sent_at;
      /* After a retransmission, the response may be to the first copy. */
      if (flow->acknowledgment == 0)
        gbd_zone_delays_add (gbd_pool_get_zone_delays (tracker->pool),
                             server->entry.backend.zone,
                             observation->setup_time);
    }
  if (has_advanced)
    {
      observation->has_recovered
          = gbd_pool_record_sign (tracker->pool, flow->server, now);
      uint32_t advance = packet->acknowledgment - flow->acknowledgment;
      flow->acknowledgment = packet->acknowledgment;
      flow->last_response_at = now;
      tracker->last_response_at = now;
      if (!is_established_now && flow->is_waiting)
        {
          gbd_time_t duration = now - flow->sent_at;
          /* If packets passed through another instance, the acknowledgment
             covers the responses to their requests as well. */
          if (packet->sequence == flow->next_sequence)
            record_response_size (tracker, flow, advance, duration, now);
          gbd_response_time_add (&server->load.response_time, duration, now);
          gbd_response_time_add (&tracker->response_time, duration, now);
        }
      if (!is_established_now)
        set_waiting (tracker, flow, false);
    }
  flow->next_sequence = packet->sequence + packet->payload_length;
  if (packet->payload_length == 0)
    return;
  bool is_retransmission
      = !is_established_now && packet->sequence == flow->sequence;
  set_waiting (tracker, flow, true);
  if (is_retransmission)
    {
      if (!has_advanced)
        record_retransmission (tracker, flow, now, observation);
      return;
    }
  flow->sequence = packet->sequence;
  flow->sent_at = now;
}

/* Records that a server has failed or refused a request.  While its service is
   short of room, this says nothing about the server, so it is not reported. */
static void
record_refusal (gbd_flow_tracker_t *tracker, const gbd_tracked_flow_t *flow,
                gbd_time_t now)
{
  gbd_service_id_t service
      = gbd_pool_peek (tracker->pool, flow->server)->entry.service;
  bool is_room_short = gbd_room_is_short (tracker->room, service, now);
  gbd_pool_record_failed_requests (tracker->pool, flow->server, 1,
                                   !is_room_short, now);
  if (flow->route != GBD_ROOM_ROUTE_NONE && !is_room_short)
    gbd_room_set_narrow (tracker->room, flow->route,
                         !gbd_pool_fails_widely (tracker->pool, service, now),
                         now);
}

/* Records the size of a response.  Short responses of a failing server say
   nothing about the room of its service. */
static void
record_response_size (gbd_flow_tracker_t *tracker,
                      const gbd_tracked_flow_t *flow, uint32_t bytes,
                      gbd_time_t duration, gbd_time_t now)
{
  const gbd_pool_server_t *server
      = gbd_pool_peek (tracker->pool, flow->server);
  bool is_short
      = gbd_room_is_short_size (tracker->room, flow->route, bytes, now);
  if (is_short)
    record_refusal (tracker, flow, now);
  if (!is_short || !server->load.failing.is_failing)
    gbd_room_record_response (tracker->room, flow->route, bytes, duration,
                              now);
}

static void
record_retransmission (gbd_flow_tracker_t *tracker,
                       const gbd_tracked_flow_t *flow, gbd_time_t now,
                       gbd_flow_observation_t *observation)
{
  observation->unanswered_time = now - flow->sent_at;
  observation->is_retransmitted
      = observation->unanswered_time >= GBD_FLOW_TRACKER_RETRANSMIT_MIN;
  observation->is_newly_suspected
      = observation->is_retransmitted
        && gbd_pool_record_failure (tracker->pool, flow->server, flow->sent_at,
                                    now);
}
