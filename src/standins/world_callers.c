#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>

#include "platform/echo_header.h"
#include "share/udp.h"
#include "standins/world.h"

#define FIRST_COPY (200 * GBD_MILLISECOND)
#define SECOND_COPY (600 * GBD_MILLISECOND)
#define OPENING_TIME (1400 * GBD_MILLISECOND)
#define REPEAT_FIRST (200 * GBD_MILLISECOND)
#define REPEAT_LONGEST (1600 * GBD_MILLISECOND)
#define REQUEST_TIME (3 * GBD_SECOND) /* a caller's patience */
#define PAUSE_US 400000               /* at most, between two requests */
#define FIRST_PORT 2000
#define SOCKET_BUFFER (1 << 20)
#define NO_SERVER WORLD_SERVERS_MAX

static void receive (world_t *world, int fd, uint32_t caller, gbd_time_t now);
static world_flow_t *find_flow (world_t *world, uint32_t caller,
                                uint16_t port);
static void handle (world_t *world, world_flow_t *flow,
                    const echo_header_t *header, const uint8_t *data,
                    gbd_time_t now);
static void take_reset (world_t *world, world_flow_t *flow, bool is_own,
                        gbd_time_t now);
static void begin_request (world_t *world, world_flow_t *flow, gbd_time_t now);
static void open_flow (world_t *world, world_flow_t *flow, gbd_time_t now);
static void ask (world_t *world, world_flow_t *flow, gbd_time_t now);
static void end_request (world_t *world, world_flow_t *flow, bool is_served,
                         gbd_time_t now);
static void try_again (world_t *world, world_flow_t *flow, gbd_time_t now);
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
  for (uint32_t i = 0; i < WORLD_FLOWS; i++)
    {
      world_flow_t *flow = &world->flows[i];
      flow->caller = i % WORLD_CALLERS;
      flow->route = i % 8 == 7 ? 2 : i % 2;
      flow->is_long = i % 3 != 0;
      flow->is_unsafe = flow->route == WORLD_UNSAFE_ROUTE;
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
  for (uint32_t i = 0; i < WORLD_FLOWS; i++)
    {
      if (now >= world->flows[i].due)
        tick_flow (world, &world->flows[i], now);
    }
}

static void
receive (world_t *world, int fd, uint32_t caller, gbd_time_t now)
{
  uint8_t bytes[ECHO_PACKET_MAX];
  ssize_t length = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
  echo_header_t header;
  bool is_genuine;
  const uint8_t *data
      = length > 0 ? echo_read (bytes, (size_t)length, &header, &is_genuine)
                   : NULL;
  if (!data)
    return;
  world_flow_t *flow = find_flow (world, caller, header.to.port);
  if (!flow)
    return;
  if (header.flags & GBD_ECHO_FLAG_RST)
    take_reset (world, flow, is_genuine, now);
  else if (!is_genuine)
    world_breach (world, WORLD_CHANGED_PACKET, now, "at caller %u", caller);
  else
    handle (world, flow, &header, data, now);
}

static world_flow_t *
find_flow (world_t *world, uint32_t caller, uint16_t port)
{
  for (uint32_t i = 0; i < WORLD_FLOWS; i++)
    {
      world_flow_t *flow = &world->flows[i];
      if (flow->state != FLOW_FREE && flow->caller == caller
          && flow->port == port)
        return flow;
    }
  return NULL;
}

static void
handle (world_t *world, world_flow_t *flow, const echo_header_t *header,
        const uint8_t *data, gbd_time_t now)
{
  flow->cookie = header->cookie;
  if (flow->state == FLOW_OPENING && (header->flags & GBD_ECHO_FLAG_SYN))
    {
      flow->server = header->sequence >> 24;
      flow->acknowledgment = header->sequence + 1;
      flow->opened_at = now;
      ask (world, flow, now);
      return;
    }
  if (flow->state != FLOW_ASKING || header->length != sizeof (uint64_t)
      || memcmp (data, &flow->request, sizeof flow->request) != 0)
    return;
  flow->acknowledgment = header->sequence + header->length;
  flow->sequence += sizeof (uint64_t);
  bool is_closing = header->flags & GBD_ECHO_FLAG_FIN || !flow->is_long;
  send_packet (world, flow,
               is_closing ? GBD_ECHO_FLAG_ACK | GBD_ECHO_FLAG_FIN
                          : GBD_ECHO_FLAG_ACK,
               flow->acknowledgment, NULL, 0, now);
  end_request (world, flow, true, now);
  flow->state = is_closing ? FLOW_FREE : FLOW_IDLE;
}

/* A reset with sum 0 is an instance's own: it may end no flow whose server
   lives, and refuse none that has a route. */
static void
take_reset (world_t *world, world_flow_t *flow, bool is_own_server,
            gbd_time_t now)
{
  if (!is_own_server && flow->state == FLOW_OPENING && flow->route < 2)
    world_breach (world, WORLD_OPENING_RESET, now, "caller %u route %u",
                  flow->caller, flow->route);
  if (!is_own_server && flow->state != FLOW_OPENING
      && flow->server < world->server_count)
    {
      const world_server_t *server = &world->servers[flow->server];
      if (server->state == SERVER_READY || server->state == SERVER_DRAINING)
        {
          uint64_t key = (uint64_t)(flow->caller + 1) << 32
                         | (uint64_t)flow->port << 16 | (1000u + flow->route);
          if (g_hash_table_contains (server->flows, &key))
            world_breach (world, WORLD_LIVING_FLOW_RESET, now,
                          "caller %u port %u at %s", flow->caller, flow->port,
                          server->name);
        }
    }
  if (flow->state == FLOW_IDLE)
    flow->state = FLOW_FREE;
  else
    try_again (world, flow, now);
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
      if (now - flow->asked_at >= OPENING_TIME)
        try_again (world, flow, now);
      else
        {
          flow->copies++;
          send_packet (world, flow, GBD_ECHO_FLAG_SYN, flow->copies, NULL, 0,
                       now);
          flow->due = flow->asked_at
                      + (flow->copies == 1 ? SECOND_COPY : OPENING_TIME);
        }
      return;
    case FLOW_ASKING:
      if (now - flow->first_asked_at >= REQUEST_TIME)
        {
          end_request (world, flow, false, now);
          flow->state = FLOW_FREE;
          return;
        }
      send_packet (world, flow, GBD_ECHO_FLAG_ACK, flow->acknowledgment,
                   (const uint8_t *)&flow->request, sizeof flow->request, now);
      flow->due = now + flow->interval;
      flow->interval = MIN (flow->interval * 2, REPEAT_LONGEST);
      return;
    default:
      return;
    }
}

static void
begin_request (world_t *world, world_flow_t *flow, gbd_time_t now)
{
  if (flow->route == 2 && world->third_service < 0)
    {
      flow->due = now + GBD_SECOND;
      return;
    }
  flow->request = ++world->next_request;
  flow->first_asked_at = now;
  if (flow->is_unsafe)
    g_hash_table_add (world->unsafe, (gpointer)flow->request);
  if (flow->state == FLOW_IDLE)
    ask (world, flow, now);
  else
    open_flow (world, flow, now);
}

static void
open_flow (world_t *world, world_flow_t *flow, gbd_time_t now)
{
  flow->state = FLOW_OPENING;
  flow->port = (uint16_t)(FIRST_PORT + world->next_port++ % 60000);
  flow->sequence = g_rand_int (world->random);
  flow->server = NO_SERVER;
  flow->cookie = 0;
  flow->copies = 0;
  flow->asked_at = now;
  flow->due = now + FIRST_COPY;
  send_packet (world, flow, GBD_ECHO_FLAG_SYN, 0, NULL, 0, now);
  flow->sequence++;
}

static void
ask (world_t *world, world_flow_t *flow, gbd_time_t now)
{
  flow->state = FLOW_ASKING;
  flow->interval = 2 * REPEAT_FIRST;
  flow->due = now + REPEAT_FIRST;
  send_packet (world, flow, GBD_ECHO_FLAG_ACK, flow->acknowledgment,
               (const uint8_t *)&flow->request, sizeof flow->request, now);
}

static void
try_again (world_t *world, world_flow_t *flow, gbd_time_t now)
{
  /* What may have run is not asked again if it must not run twice. */
  bool may_repeat = !flow->is_unsafe || flow->state == FLOW_OPENING;
  if (may_repeat && now - flow->first_asked_at < REQUEST_TIME)
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
  bool is_late
      = flow->first_asked_at - world->faults_end_at > WORLD_RECOVERY_TIME
        && flow->route < 2;
  world_series_note_request (world, is_served, now - flow->first_asked_at);
  world->asked++;
  world->served += is_served;
  world->failed += !is_served;
  world->late_asked += is_late;
  world->late_served += is_late && is_served;
  flow->due = now + g_rand_int_range (world->random, PAUSE_US / 4, PAUSE_US);
}

static void
send_packet (world_t *world, const world_flow_t *flow, uint8_t flags,
             uint32_t acknowledgment, const uint8_t *data, uint16_t length,
             gbd_time_t now)
{
  uint8_t bytes[ECHO_PACKET_MAX];
  bool is_copy = flags & GBD_ECHO_FLAG_SYN && acknowledgment > 0;
  echo_header_t header = { .from = world_address (1, flow->caller, flow->port),
                           .to = { .family = 4,
                                   .port = (uint16_t)(1000 + flow->route),
                                   .ip = { 198, 18, 0, 1 } },
                           .flags = flags,
                           .sequence = flow->sequence - is_copy,
                           .acknowledgment = acknowledgment,
                           .cookie = flow->cookie,
                           .length = length };
  size_t size = echo_write (&header, data, bytes);
  uint32_t hash = (uint32_t)gbd_rendezvous (
      (uint64_t)flow->caller << 16 | flow->port, flow->route);
  const world_instance_t *instance = world_fabric_choose (world, hash);
  world_send (world, &instance->packets, bytes, size, now);
}
