#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>

#include "platform/echo_header.h"
#include "share/udp.h"
#include "standins/world.h"

#define FIRST_RETRANSMISSION (200 * GBD_MILLISECOND)
#define SECOND_RETRANSMISSION (600 * GBD_MILLISECOND)
#define OPENING_TIMEOUT (1400 * GBD_MILLISECOND)
#define RETRY_INTERVAL_MIN (200 * GBD_MILLISECOND)
#define RETRY_INTERVAL_MAX (1600 * GBD_MILLISECOND)
#define REQUEST_TIMEOUT (3 * GBD_SECOND)
#define PAUSE_MAX_US 400000 /* longest pause between two requests */
#define BURST_CHECK_INTERVAL (50 * GBD_MILLISECOND)
#define PORT_FIRST 2000
#define SOCKET_BUFFER (1 << 20)
#define NO_SERVER WORLD_SERVERS_MAX

static void receive (world_t *world, int fd, uint32_t caller, gbd_time_t now);
static world_flow_t *find_flow (world_t *world, uint32_t caller,
                                uint16_t port);
static void handle_packet (world_t *world, world_flow_t *flow,
                           const echo_header_t *header, const uint8_t *data,
                           gbd_time_t now);
static void handle_reset (world_t *world, world_flow_t *flow,
                          bool is_from_server, uint32_t instance,
                          gbd_time_t now);
static void begin_request (world_t *world, world_flow_t *flow, gbd_time_t now);
static void open_flow (world_t *world, world_flow_t *flow, gbd_time_t now);
static void send_request (world_t *world, world_flow_t *flow, gbd_time_t now);
static void end_request (world_t *world, world_flow_t *flow, bool is_served,
                         gbd_time_t now);
static void retry_request (world_t *world, world_flow_t *flow, bool is_not_run,
                           gbd_time_t now);
static void send_packet (world_t *world, const world_flow_t *flow,
                         uint8_t flags, uint32_t acknowledgment,
                         const uint8_t *data, uint16_t length, gbd_time_t now);
static void tick_flow (world_t *world, world_flow_t *flow, gbd_time_t now);

bool
world_callers_start (world_t *world)
{
  for (uint32_t i = 0; i < WORLD_CALLERS; i++)
    {
      gbd_address_t address = world_address (1, i, world->port);
      world->caller_fds[i] = gbd_udp_listen (&address, SOCKET_BUFFER);
      if (world->caller_fds[i] < 0)
        return false;
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (world->flows); i++)
    {
      world_flow_t *flow = &world->flows[i];
      flow->caller = i % WORLD_CALLERS;
      flow->route = i % 8 == 7 ? 2 : i % 2;
      if (i >= WORLD_FLOWS || (world->bursts.random && flow->route == 0))
        flow->route = i % 4 == 2 ? WORLD_URGENT_ROUTE : 0;
      flow->is_long = i % 3 != 0;
      flow->is_non_idempotent = flow->route == WORLD_NON_IDEMPOTENT_ROUTE
                                || flow->route == WORLD_URGENT_ROUTE;
      flow->server = NO_SERVER;
    }
  return true;
}

void
world_callers_poll (world_t *world)
{
  for (uint32_t i = 0; i < WORLD_CALLERS; i++)
    world_poll (world, world->caller_fds[i], i, receive);
}

void
world_callers_tick (world_t *world, gbd_time_t now)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (world->flows); i++)
    {
      if (now >= world->flows[i].due)
        tick_flow (world, &world->flows[i], now);
    }
}

static void
receive (world_t *world, int fd, uint32_t caller, gbd_time_t now)
{
  uint8_t bytes[ECHO_PACKET_MAX];
  struct sockaddr_storage name;
  socklen_t name_length = sizeof name;
  ssize_t length = recvfrom (fd, bytes, sizeof bytes, MSG_DONTWAIT,
                             (struct sockaddr *)&name, &name_length);
  echo_header_t header;
  bool is_checksum_valid;
  const uint8_t *data = length > 0 ? echo_packet_parse (
                            bytes, (size_t)length, &header, &is_checksum_valid)
                                   : NULL;
  if (!data)
    return;
  world_flow_t *flow = find_flow (world, caller, header.to.port);
  if (!flow)
    return;
  if (header.flags & GBD_ECHO_FLAG_RST)
    {
      gbd_address_t from;
      gbd_udp_from_sockaddr (&name, &from);
      handle_reset (world, flow, is_checksum_valid, from.ip[3] - 1u, now);
    }
  else if (!is_checksum_valid)
    world_report_violation (world, WORLD_CHANGED_PACKET, now, "at caller %u",
                            caller);
  else
    handle_packet (world, flow, &header, data, now);
}

static world_flow_t *
find_flow (world_t *world, uint32_t caller, uint16_t port)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (world->flows); i++)
    {
      world_flow_t *flow = &world->flows[i];
      if (flow->state != FLOW_FREE && flow->caller == caller
          && flow->port == port)
        return flow;
    }
  return NULL;
}

static void
handle_packet (world_t *world, world_flow_t *flow, const echo_header_t *header,
               const uint8_t *data, gbd_time_t now)
{
  flow->cookie = header->cookie;
  if (flow->state == FLOW_OPENING && (header->flags & GBD_ECHO_FLAG_SYN))
    {
      flow->server = header->sequence >> 24;
      flow->acknowledgment = header->sequence + 1;
      flow->opened_at = now;
      send_request (world, flow, now);
      return;
    }
  if (flow->state != FLOW_REQUESTING || header->length < sizeof (uint64_t)
      || memcmp (data, &flow->request, sizeof flow->request) != 0)
    return;
  flow->acknowledgment = header->sequence + header->length;
  flow->sequence += sizeof (uint64_t);
  bool is_full = header->length == WORLD_FULL_RESPONSE_LENGTH;
  bool is_closing
      = header->flags & GBD_ECHO_FLAG_FIN || !flow->is_long || is_full;
  send_packet (world, flow,
               is_closing ? GBD_ECHO_FLAG_ACK | GBD_ECHO_FLAG_FIN
                          : GBD_ECHO_FLAG_ACK,
               flow->acknowledgment, NULL, 0, now);
  if (is_full)
    {
      flow->refusals++;
      retry_request (world, flow, true, now);
      return;
    }
  end_request (world, flow, true, now);
  flow->state = is_closing ? FLOW_FREE : FLOW_IDLE;
}

/* A reset without a valid checksum was sent by an instance.  It must neither
   end a flow whose backend server is running nor refuse a flow that has a
   route. */
static void
handle_reset (world_t *world, world_flow_t *flow, bool is_from_server,
              uint32_t instance, gbd_time_t now)
{
  uint32_t service = (uint32_t)world_route_service (world, flow->route);
  if (!is_from_server && flow->state == FLOW_OPENING && flow->route != 2
      && !world_evacuations_may_refuse (world, service, instance, now)
      && !world_bursts_may_refuse (world, service, now))
    world_report_violation (world, WORLD_OPENING_RESET, now,
                            "caller %u route %u instance %u", flow->caller,
                            flow->route, instance + 1);
  if (!is_from_server && flow->state != FLOW_OPENING
      && flow->server < world->server_count)
    {
      const world_server_t *server = &world->servers[flow->server];
      if (server->state == SERVER_READY || server->state == SERVER_DRAINING)
        {
          uint64_t key = (uint64_t)(flow->caller + 1) << 32
                         | (uint64_t)flow->port << 16 | (1000u + flow->route);
          if (g_hash_table_contains (server->flows, &key))
            world_report_violation (world, WORLD_OPEN_FLOW_RESET, now,
                                    "caller %u port %u at %s", flow->caller,
                                    flow->port, server->name);
        }
    }
  bool is_refused = !is_from_server && flow->state == FLOW_OPENING;
  flow->refusals += is_refused;
  world->bursts.refused += is_refused;
  if (flow->state == FLOW_IDLE)
    flow->state = FLOW_FREE;
  else
    retry_request (world, flow, flow->state == FLOW_OPENING, now);
}

static void
tick_flow (world_t *world, world_flow_t *flow, gbd_time_t now)
{
  switch (flow->state)
    {
    case FLOW_FREE:
    case FLOW_IDLE:
      begin_request (world, flow, now);
      return;
    case FLOW_OPENING:
      if (now - flow->opening_sent_at >= OPENING_TIMEOUT)
        retry_request (world, flow, true, now);
      else
        {
          flow->retransmissions++;
          send_packet (world, flow, GBD_ECHO_FLAG_SYN, flow->retransmissions,
                       NULL, 0, now);
          flow->due = flow->opening_sent_at
                      + (flow->retransmissions == 1 ? SECOND_RETRANSMISSION
                                                    : OPENING_TIMEOUT);
        }
      return;
    case FLOW_REQUESTING:
      if (now - flow->request_started_at >= REQUEST_TIMEOUT)
        {
          end_request (world, flow, false, now);
          flow->state = FLOW_FREE;
          return;
        }
      send_packet (world, flow, GBD_ECHO_FLAG_ACK, flow->acknowledgment,
                   (const uint8_t *)&flow->request, sizeof flow->request, now);
      flow->due = now + flow->interval;
      flow->interval = MIN (flow->interval * 2, RETRY_INTERVAL_MAX);
      return;
    default:
      return;
    }
}

static void
begin_request (world_t *world, world_flow_t *flow, gbd_time_t now)
{
  bool is_of_burst = flow >= &world->flows[WORLD_FLOWS];
  if (is_of_burst && !world->bursts.is_active)
    {
      flow->due
          = world->bursts.random ? now + BURST_CHECK_INTERVAL : G_MAXINT64;
      return;
    }
  if (world_route_service (world, flow->route) < 0)
    {
      flow->due = now + GBD_SECOND;
      return;
    }
  flow->is_in_burst = world->bursts.is_active;
  flow->request = ++world->next_request;
  flow->request_started_at = now;
  flow->refusals = 0;
  if (flow->is_non_idempotent)
    g_hash_table_add (world->non_idempotent_requests, (gpointer)flow->request);
  if (flow->state == FLOW_IDLE)
    send_request (world, flow, now);
  else
    open_flow (world, flow, now);
}

static void
open_flow (world_t *world, world_flow_t *flow, gbd_time_t now)
{
  flow->state = FLOW_OPENING;
  flow->port = (uint16_t)(PORT_FIRST + world->next_port++ % 60000);
  flow->sequence = g_rand_int (world->random);
  flow->server = NO_SERVER;
  flow->cookie = 0;
  flow->retransmissions = 0;
  flow->opening_sent_at = now;
  flow->due = now + FIRST_RETRANSMISSION;
  send_packet (world, flow, GBD_ECHO_FLAG_SYN, 0, NULL, 0, now);
  flow->sequence++;
}

static void
send_request (world_t *world, world_flow_t *flow, gbd_time_t now)
{
  flow->state = FLOW_REQUESTING;
  flow->interval = 2 * RETRY_INTERVAL_MIN;
  flow->due = now + RETRY_INTERVAL_MIN;
  send_packet (world, flow, GBD_ECHO_FLAG_ACK, flow->acknowledgment,
               (const uint8_t *)&flow->request, sizeof flow->request, now);
}

static void
retry_request (world_t *world, world_flow_t *flow, bool is_not_run,
               gbd_time_t now)
{
  /* A non-idempotent request that may have been executed is not repeated. */
  bool may_retry = !flow->is_non_idempotent || is_not_run;
  if (world->has_refusals && flow->refusals > WORLD_RETRIES)
    may_retry = false;
  if (may_retry && now - flow->request_started_at < REQUEST_TIMEOUT)
    {
      open_flow (world, flow, now);
      return;
    }
  end_request (world, flow, false, now);
  flow->state = FLOW_FREE;
}

static void
end_request (world_t *world, world_flow_t *flow, bool is_served,
             gbd_time_t now)
{
  bool is_after_recovery
      = flow->request_started_at - world->faults_end_at > WORLD_RECOVERY_LIMIT
        && flow->route != 2;
  world_series_record_request (world, is_served,
                               now - flow->request_started_at);
  world->requests_ended++;
  world->served += is_served;
  world->failed += !is_served;
  world->failed_refused
      += !is_served && world->has_refusals && flow->refusals > WORLD_RETRIES;
  world_bursts_record_request (world, flow, is_served);
  world->requests_after_recovery += is_after_recovery;
  world->served_after_recovery += is_after_recovery && is_served;
  flow->due
      = now + g_rand_int_range (world->random, PAUSE_MAX_US / 4, PAUSE_MAX_US);
}

static void
send_packet (world_t *world, const world_flow_t *flow, uint8_t flags,
             uint32_t acknowledgment, const uint8_t *data, uint16_t length,
             gbd_time_t now)
{
  uint8_t bytes[ECHO_PACKET_MAX];
  bool is_retransmission = flags & GBD_ECHO_FLAG_SYN && acknowledgment > 0;
  echo_header_t header = { .from = world_address (1, flow->caller, flow->port),
                           .to = { .family = 4,
                                   .port = (uint16_t)(1000 + flow->route),
                                   .ip = { 198, 18, 0, 1 } },
                           .flags = flags,
                           .sequence = flow->sequence - is_retransmission,
                           .acknowledgment = acknowledgment,
                           .cookie = flow->cookie,
                           .length = length };
  size_t size = echo_packet_build (&header, data, bytes);
  uint32_t hash = (uint32_t)gbd_rendezvous_weight (
      (uint64_t)flow->caller << 16 | flow->port, flow->route);
  const world_instance_t *instance = world_fabric_choose (world, hash);
  world_send (world, &instance->packets, bytes, size, now);
}
