#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "platform/echo_header.h"
#include "share/udp.h"
#include "standins/http.h"
#include "standins/world.h"

#define CALL_TIMEOUT_MS 300
#define PROCESSING_TIME_MIN (2 * GBD_MILLISECOND)
#define PROCESSING_TIME_SPREAD_US 20000
#define SERVER_NUMBER_FIRST 0x1000000u
#define SLOTS 2
#define BACKLOG 16
/* The entry of a crashed server expires after three missed heartbeats, which
   are sent every second. */
#define ENTRY_EXPIRY_TIME (3 * GBD_SECOND)
#define SOCKET_BUFFER (1 << 20)

/* One flow at a backend server. */
typedef struct
{
  uint32_t sequence; /* sequence number of the server's next packet */
  uint32_t next_caller_sequence;
  uint32_t cookie;
  bool is_open;
  uint64_t request; /* number of the newest request */
  uint16_t response_length;
  gbd_time_t respond_at; /* end of the request; 0 if that is drawn */
} server_flow_t;

static const char *const service_names[] = { "web", "mail" };

static int open_listener (const gbd_address_t *address);
static void accept_connection (world_t *world, int fd, uint32_t index,
                               gbd_time_t now);
static void receive (world_t *world, int fd, uint32_t index, gbd_time_t now);
static gbd_time_t get_arrival_time (struct msghdr *message);
static void handle_packet (world_t *world, uint32_t index,
                           const echo_header_t *header, const uint8_t *data,
                           uint32_t instance, gbd_time_t now);
static void check_opening (world_t *world, const world_server_t *server,
                           const echo_header_t *header, uint32_t instance,
                           gbd_time_t now);
static void take_request (world_t *world, uint32_t index, server_flow_t *flow,
                          gbd_time_t now);
static void execute_request (world_t *world, uint64_t request, uint32_t server,
                             gbd_time_t now);
static void send_response (world_t *world, const echo_header_t *header,
                           server_flow_t *flow, uint8_t flags,
                           const uint8_t *data, uint16_t length,
                           gbd_time_t now);
static uint64_t flow_key (const echo_header_t *header);
static bool write_object (world_t *world, const char *kind, const char *name,
                          const json_t *value);
static void remove_server (world_t *world, world_server_t *server);

bool
world_server_add (world_t *world, uint32_t service, gbd_time_t now)
{
  uint32_t index = 0;
  while (index < WORLD_SERVERS_MAX
         && world->servers[index].state != SERVER_FREE)
    index++;
  if (index == WORLD_SERVERS_MAX)
    return false;
  world_server_t *server = &world->servers[index];
  gbd_address_t address = world_address (4, index, world->port);
  memset (server, 0, sizeof *server);
  server->fd = gbd_udp_listen (&address, SOCKET_BUFFER);
  server->listen_fd = open_listener (&address);
  if (server->fd < 0 || server->listen_fd < 0)
    return false;
  server->service = service;
  server->id = world->object_format->format_server_name (
      SERVER_NUMBER_FIRST + world->next_server++, server->name,
      sizeof server->name);
  server->flows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  server->state = SERVER_READY;
  server->disturbed_at = now;
  world_cold_start_server (world, server, now);
  world->server_count = MAX (world->server_count, index + 1);
  return world_server_write (world, server);
}

bool
world_server_write (world_t *world, world_server_t *server)
{
  char address[GBD_ADDRESS_TEXT_MAX];
  uint32_t index = (uint32_t)(server - world->servers);
  gbd_address_t server_address = world_address (4, index, world->port);
  gbd_address_format (&server_address, address);
  bool is_ready
      = server->state == SERVER_READY || server->state == SERVER_CRASHED;
  world_server_description_t description
      = { .service = service_names[server->service],
          .address = address,
          .zone = world_server_zone (world, index),
          .slots = SLOTS,
          .warm_up_ms = world_cold_get_remaining_ms (server),
          .writes = ++server->writes,
          .is_ready = is_ready };
  json_t *value = world->object_format->describe_server (&description);
  bool is_written = write_object (world, world->object_format->servers_kind,
                                  server->name, value);
  json_decref (value);
  return is_written;
}

void
world_servers_write_again (world_t *world)
{
  for (uint32_t i = 0; i < world->server_count; i++)
    {
      world_server_t *server = &world->servers[i];
      if (server->state == SERVER_READY || server->state == SERVER_DRAINING)
        world_server_write (world, server);
    }
}

void
world_servers_expire_entries (world_t *world)
{
  for (uint32_t number = 0; number < world->next_server; number++)
    {
      char name[GBD_NAME_MAX + 1];
      bool is_in_use = false;
      world->object_format->format_server_name (SERVER_NUMBER_FIRST + number,
                                                name, sizeof name);
      for (uint32_t i = 0; i < world->server_count; i++)
        is_in_use = is_in_use
                    || (world->servers[i].state != SERVER_FREE
                        && strcmp (world->servers[i].name, name) == 0);
      if (!is_in_use)
        write_object (world, world->object_format->servers_kind, name, NULL);
    }
}

int
world_object_write (world_t *world, const char *kind, const char *name,
                    const json_t *value)
{
  char path[256];
  char *response_text = NULL;
  snprintf (path, sizeof path, "/v1/%s/%s", kind, name);
  json_int_t version = 0;
  if (http_call (&world->platform, "GET", path, NULL, CALL_TIMEOUT_MS,
                 &response_text)
          == 200
      && response_text)
    {
      json_t *object = json_loads (response_text, 0, NULL);
      version = json_integer_value (json_object_get (object, "version"));
      json_decref (object);
    }
  g_free (response_text);
  snprintf (path, sizeof path, "/v1/%s/%s?version=%" JSON_INTEGER_FORMAT, kind,
            name, version);
  char *body = value ? json_dumps (value, JSON_COMPACT) : NULL;
  int status = http_call (&world->platform, value ? "PUT" : "DELETE", path,
                          body, CALL_TIMEOUT_MS, NULL);
  free (body);
  return status;
}

bool
world_routes_write (world_t *world, gbd_time_t now)
{
  world_route_description_t routes[WORLD_ROUTES];
  uint32_t count = 0;
  for (int i = 0; i < WORLD_ROUTES; i++)
    {
      int32_t service = world_route_service (world, (uint32_t)i);
      if (service < 0)
        continue;
      routes[count++]
          = (world_route_description_t){ .ip = "198.18.0.1",
                                         .port = 1000 + (uint32_t)i,
                                         .service = service_names[service],
                                         .is_idempotent
                                         = i != WORLD_NON_IDEMPOTENT_ROUTE
                                           && i != WORLD_URGENT_ROUTE };
      if (world->bursts.random)
        routes[count - 1].priority = i == WORLD_URGENT_ROUTE ? 1 : 2;
    }
  const world_object_format_t *object_format = world->object_format;
  world_services_description_t services
      = { .names = service_names,
          .count = G_N_ELEMENTS (service_names),
          .warm_up_s = WORLD_WARM_UP / GBD_SECOND,
          .warm_up_rate = WORLD_WARM_UP_RATE };
  json_t *value = object_format->describe_routes (world->routes_version + 1,
                                                  routes, count);
  if (world->cold.random && object_format->add_services)
    object_format->add_services (value, &services);
  bool is_written = write_object (world, object_format->routes_kind,
                                  object_format->routes_name, value);
  json_decref (value);
  if (is_written)
    {
      world->routes_version++;
      world->routes_written_at = now;
    }
  return is_written;
}

int32_t
world_route_service (const world_t *world, uint32_t route)
{
  if (route == WORLD_URGENT_ROUTE)
    return world->bursts.random ? 0 : -1;
  return route < 2 ? (int32_t)route : world->third_service;
}

void
world_server_crash (world_server_t *server, gbd_time_t now)
{
  server->state = SERVER_CRASHED;
  server->due = now + ENTRY_EXPIRY_TIME;
  close (server->listen_fd);
  server->listen_fd = -1;
}

void
world_servers_poll (world_t *world)
{
  for (uint32_t i = 0; i < world->server_count; i++)
    {
      world_server_state_t state = world->servers[i].state;
      if (state == SERVER_READY || state == SERVER_DRAINING)
        {
          world_poll (world, world->servers[i].fd, i, receive);
          world_poll (world, world->servers[i].listen_fd, i,
                      accept_connection);
        }
    }
}

void
world_servers_tick (world_t *world, gbd_time_t now)
{
  for (uint32_t i = 0; i < world->server_count; i++)
    {
      world_server_t *server = &world->servers[i];
      if (!server->due || now < server->due
          || now < world->platform_fault_until)
        continue;
      if (server->state == SERVER_DRAINING || server->state == SERVER_CRASHED)
        remove_server (world, server);
      else if (server->state == SERVER_REMOVED)
        server->state = SERVER_FREE;
    }
}

static int
open_listener (const gbd_address_t *address)
{
  struct sockaddr_storage name;
  socklen_t length = gbd_udp_to_sockaddr (address, &name);
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd >= 0 && bind (fd, (const struct sockaddr *)&name, length) == 0
      && listen (fd, BACKLOG) == 0)
    return fd;
  if (fd >= 0)
    close (fd);
  return -1;
}

/* Accepts and closes a connection: a connect probe only checks that the server
   accepts it. */
static void
accept_connection (world_t *world, int fd, uint32_t index, gbd_time_t now)
{
  (void)world;
  (void)index;
  (void)now;
  int connection_fd = accept (fd, NULL, NULL);
  if (connection_fd >= 0)
    close (connection_fd);
}

static void
receive (world_t *world, int fd, uint32_t index, gbd_time_t now)
{
  uint8_t bytes[ECHO_SERVER_ID_LENGTH + ECHO_PACKET_MAX];
  struct sockaddr_storage name;
  char control[CMSG_SPACE (sizeof (struct timeval))];
  struct iovec part = { .iov_base = bytes, .iov_len = sizeof bytes };
  struct msghdr message = { .msg_name = &name,
                            .msg_namelen = sizeof name,
                            .msg_iov = &part,
                            .msg_iovlen = 1,
                            .msg_control = control,
                            .msg_controllen = sizeof control };
  ssize_t length = recvmsg (fd, &message, MSG_DONTWAIT);
  if (length < ECHO_SERVER_ID_LENGTH)
    return;
  if (now < world->loss_until && world_draw_random (world) < world->loss)
    return;
  gbd_address_t from;
  gbd_udp_from_sockaddr (&name, &from);
  uint64_t id = 0;
  for (int i = 0; i < ECHO_SERVER_ID_LENGTH; i++)
    id = id << 8 | bytes[i];
  world_server_t *server = &world->servers[index];
  if (id != server->id)
    return;
  echo_header_t header;
  bool is_checksum_valid;
  const uint8_t *data = echo_packet_parse (
      bytes + ECHO_SERVER_ID_LENGTH, (size_t)length - ECHO_SERVER_ID_LENGTH,
      &header, &is_checksum_valid);
  if (!data || !is_checksum_valid)
    {
      world_report_violation (world, WORLD_CHANGED_PACKET, now, "at %s",
                              server->name);
      return;
    }
  uint32_t instance = from.ip[3] - 1u;
  if (header.flags & GBD_ECHO_FLAG_SYN)
    world_cold_check_opening (world, server, instance,
                              get_arrival_time (&message), now);
  handle_packet (world, index, &header, data, instance, now);
}

/* Returns when the kernel received a packet, in its real time, since this
   process may read it later. */
static gbd_time_t
get_arrival_time (struct msghdr *message)
{
  const struct cmsghdr *header = CMSG_FIRSTHDR (message);
  struct timeval time;
  if (!header || header->cmsg_type != SCM_TIMESTAMP)
    return g_get_real_time ();
  memcpy (&time, CMSG_DATA (header), sizeof time);
  return (gbd_time_t)time.tv_sec * GBD_SECOND + time.tv_usec;
}

static void
handle_packet (world_t *world, uint32_t index, const echo_header_t *header,
               const uint8_t *data, uint32_t instance, gbd_time_t now)
{
  world_server_t *server = &world->servers[index];
  uint64_t key = flow_key (header);
  server_flow_t *flow = g_hash_table_lookup (server->flows, &key);
  if (header->flags & GBD_ECHO_FLAG_SYN)
    {
      check_opening (world, server, header, instance, now);
      if (!flow || flow->next_caller_sequence != header->sequence + 1)
        {
          flow = g_new0 (server_flow_t, 1);
          flow->sequence = index << 24 | (g_rand_int (world->random) >> 8);
          flow->next_caller_sequence = header->sequence + 1;
          g_hash_table_replace (server->flows, g_memdup2 (&key, sizeof key),
                                flow);
        }
      flow->cookie = header->cookie;
      send_response (world, header, flow,
                     GBD_ECHO_FLAG_SYN | GBD_ECHO_FLAG_ACK, NULL, 0, now);
      return;
    }
  if (!flow)
    {
      server_flow_t unknown_flow = { .cookie = header->cookie };
      send_response (world, header, &unknown_flow, GBD_ECHO_FLAG_RST, NULL, 0,
                     now);
      return;
    }
  flow->cookie = header->cookie;
  if (!flow->is_open && header->acknowledgment != flow->sequence + 1)
    return;
  if (!flow->is_open)
    flow->sequence++;
  flow->is_open = true;
  if (header->length == sizeof (uint64_t))
    {
      uint64_t request;
      memcpy (&request, data, sizeof request);
      if (header->sequence == flow->next_caller_sequence)
        {
          flow->next_caller_sequence += header->length;
          flow->request = request;
          flow->response_length = header->length;
          take_request (world, index, flow, now);
          flow->sequence += flow->response_length;
        }
      else if (request != flow->request || now < flow->respond_at)
        return;
      uint8_t flags = GBD_ECHO_FLAG_ACK;
      if (server->state == SERVER_DRAINING)
        flags |= GBD_ECHO_FLAG_FIN;
      uint8_t response[WORLD_RESPONSE_LENGTH] = { 0 };
      memcpy (response, data, header->length);
      send_response (world, header, flow, flags, response,
                     flow->response_length, now);
    }
  if (header->flags & (GBD_ECHO_FLAG_FIN | GBD_ECHO_FLAG_RST))
    g_hash_table_remove (server->flows, &key);
}

static void
check_opening (world_t *world, const world_server_t *server,
               const echo_header_t *header, uint32_t instance, gbd_time_t now)
{
  uint32_t route = header->to.port - 1000u;
  bool is_undisturbed = instance < world->instance_count
                        && world_is_undisturbed (world, instance, now);
  if (route != 2
      && world_route_service (world, route) != (int32_t)server->service)
    world_report_violation (world, WORLD_WRONG_SERVICE, now, "route %u at %s",
                            route, server->name);
  if (route == 2 && is_undisturbed
      && now - world->routes_written_at > WORLD_ROUTES_LIMIT
      && world->third_service != (int32_t)server->service)
    world_report_violation (world, WORLD_OLDER_ROUTES, now,
                            "version %" PRIu64 ", instance %u, %s",
                            world->routes_version, instance + 1, server->name);
  world_evacuations_check_opening (world, (uint32_t)(server - world->servers),
                                   instance, now);
  if (server->drained_at && is_undisturbed
      && now - server->drained_at > WORLD_DRAIN_LIMIT)
    world_report_violation (world, WORLD_FLOW_AT_DRAINING, now,
                            "%s, instance %u, %.3f s after its entry",
                            server->name, instance + 1,
                            (double)(now - server->drained_at) / GBD_SECOND);
}

/* Runs the newest request of a flow, unless the server is full. */
static void
take_request (world_t *world, uint32_t index, server_flow_t *flow,
              gbd_time_t now)
{
  world_server_t *server = &world->servers[index];
  bool is_limited = world->bursts.random && server->service == 0;
  if (is_limited)
    {
      flow->respond_at = world_bursts_take_request (world, server, now);
      flow->response_length = flow->respond_at ? WORLD_RESPONSE_LENGTH
                                               : WORLD_FULL_RESPONSE_LENGTH;
    }
  if (!is_limited || flow->respond_at)
    execute_request (world, flow->request, index, now);
  if (!flow->respond_at && is_limited)
    flow->respond_at = now;
}

static void
execute_request (world_t *world, uint64_t request, uint32_t server,
                 gbd_time_t now)
{
  uintptr_t execution_count = (uintptr_t)g_hash_table_lookup (
      world->execution_counts, (gpointer)request);
  g_hash_table_insert (world->execution_counts, (gpointer)request,
                       (gpointer)(execution_count + 1));
  if (execution_count > 0
      && g_hash_table_contains (world->non_idempotent_requests,
                                (gpointer)request))
    world_report_violation (world, WORLD_REPEATED_REQUEST, now,
                            "request %" PRIu64 " at %s", request,
                            world->servers[server].name);
}

static void
send_response (world_t *world, const echo_header_t *header,
               server_flow_t *flow, uint8_t flags, const uint8_t *data,
               uint16_t length, gbd_time_t now)
{
  uint8_t bytes[ECHO_PACKET_MAX];
  echo_header_t response_header
      = { .from = header->to,
          .to = header->from,
          .flags = flags,
          .sequence = flow->sequence - length,
          .acknowledgment = flow->next_caller_sequence,
          .cookie = flow->cookie,
          .length = length };
  size_t size = echo_packet_build (&response_header, data, bytes);
  gbd_address_t to = header->from;
  to.port = world->port;
  gbd_time_t processing_time
      = length && flow->respond_at ? MAX (flow->respond_at - now, 0)
        : length                   ? PROCESSING_TIME_MIN
                       + g_rand_int_range (world->random, 0,
                                           PROCESSING_TIME_SPREAD_US)
                 : 0;
  world_send (world, &to, bytes, size, now + processing_time);
}

static uint64_t
flow_key (const echo_header_t *header)
{
  return (uint64_t)header->from.ip[3] << 32 | (uint64_t)header->from.port << 16
         | header->to.port;
}

static bool
write_object (world_t *world, const char *kind, const char *name,
              const json_t *value)
{
  return world_object_write (world, kind, name, value) == 200;
}

static void
remove_server (world_t *world, world_server_t *server)
{
  if (!write_object (world, world->object_format->servers_kind, server->name,
                     NULL))
    return;
  close (server->fd);
  server->fd = -1;
  if (server->listen_fd >= 0)
    close (server->listen_fd);
  server->listen_fd = -1;
  server->state = SERVER_FREE;
  server->due = 0;
  g_hash_table_destroy (server->flows);
  server->flows = NULL;
}
