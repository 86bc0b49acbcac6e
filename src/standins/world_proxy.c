#define _GNU_SOURCE /* NOLINT: the C library's name, for accept4 */
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "share/udp.h"
#include "standins/world.h"

#define BACKLOG 64
#define READ_BYTES 65536

static void accept_connection (world_t *world, int fd, uint32_t instance,
                               gbd_time_t now);
static void forward (world_t *world, int fd, uint32_t index, gbd_time_t now);
static uint32_t add_proxy_socket (world_t *world,
                                  const world_proxy_socket_t *proxy_socket);
static void close_connection_pair (world_t *world, uint32_t index);
static world_proxy_socket_t *get_proxy_socket (world_t *world, uint32_t index);

bool
world_proxies_start (world_t *world)
{
  world->proxy_sockets
      = g_array_new (FALSE, TRUE, sizeof (world_proxy_socket_t));
  for (uint32_t i = 0; i < world->instance_count; i++)
    {
      gbd_address_t address = world_address (3, i, world->port);
      struct sockaddr_storage name;
      socklen_t length = gbd_udp_to_sockaddr (&address, &name);
      int on = 1;
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      world->proxies[i].listen_fd = fd;
      if (fd < 0 || bind (fd, (const struct sockaddr *)&name, length) < 0
          || listen (fd, BACKLOG) < 0)
        return false;
    }
  return true;
}

void
world_proxies_poll (world_t *world)
{
  for (uint32_t i = 0; i < world->instance_count; i++)
    world_poll (world, world->proxies[i].listen_fd, i, accept_connection);
  for (uint32_t i = 0; i < world->proxy_sockets->len; i++)
    {
      const world_proxy_socket_t *proxy_socket = get_proxy_socket (world, i);
      if (proxy_socket->fd >= 0 && !proxy_socket->is_blocked)
        world_poll (world, proxy_socket->fd, i, forward);
    }
}

void
world_proxy_set (world_t *world, uint32_t instance, world_proxy_mode_t mode,
                 gbd_time_t until)
{
  world->proxies[instance].mode = mode;
  world->proxies[instance].until = until;
  for (uint32_t i = 0; i < world->proxy_sockets->len; i++)
    {
      world_proxy_socket_t *proxy_socket = get_proxy_socket (world, i);
      if (proxy_socket->fd < 0 || proxy_socket->instance != instance)
        continue;
      if (mode == PROXY_RESET)
        close_connection_pair (world, i);
      else if (mode == PROXY_BLACKHOLE
               || (mode == PROXY_REQUESTS_ONLY
                   && !proxy_socket->is_from_instance))
        proxy_socket->is_blocked = true;
    }
}

void
world_proxies_tick (world_t *world, gbd_time_t now)
{
  for (uint32_t i = 0; i < world->instance_count; i++)
    {
      world_proxy_t *proxy = &world->proxies[i];
      if (proxy->mode == PROXY_FORWARD || now < proxy->until)
        continue;
      proxy->mode = PROXY_FORWARD;
      world->instances[i].disturbed_at = now;
    }
}

static void
accept_connection (world_t *world, int fd, uint32_t instance, gbd_time_t now)
{
  (void)now;
  int instance_fd = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (instance_fd < 0)
    return;
  world_proxy_mode_t mode = world->proxies[instance].mode;
  if (mode == PROXY_RESET)
    {
      close (instance_fd);
      return;
    }
  struct sockaddr_storage name;
  socklen_t length = gbd_udp_to_sockaddr (&world->platform, &name);
  int platform_fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (platform_fd < 0
      || (connect (platform_fd, (const struct sockaddr *)&name, length) < 0
          && errno != EINPROGRESS))
    {
      if (platform_fd >= 0)
        close (platform_fd);
      close (instance_fd);
      return;
    }
  world_proxy_socket_t from = { .fd = instance_fd,
                                .instance = instance,
                                .is_from_instance = true,
                                .is_blocked = mode == PROXY_BLACKHOLE };
  world_proxy_socket_t to = { .fd = platform_fd,
                              .instance = instance,
                              .is_blocked = mode != PROXY_FORWARD };
  uint32_t first = add_proxy_socket (world, &from);
  uint32_t second = add_proxy_socket (world, &to);
  get_proxy_socket (world, first)->peer = second;
  get_proxy_socket (world, second)->peer = first;
}

static void
forward (world_t *world, int fd, uint32_t index, gbd_time_t now)
{
  (void)now;
  static uint8_t bytes[READ_BYTES];
  const world_proxy_socket_t *proxy_socket = get_proxy_socket (world, index);
  if (proxy_socket->fd != fd || proxy_socket->is_blocked)
    return;
  ssize_t length = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (length < 0 && errno == EAGAIN)
    return;
  int peer_fd = get_proxy_socket (world, proxy_socket->peer)->fd;
  /* If the socket buffer of the receiver is full, the connection is closed;
     the client connects again. */
  if (length <= 0
      || send (peer_fd, bytes, (size_t)length, MSG_NOSIGNAL | MSG_DONTWAIT)
             != length)
    close_connection_pair (world, index);
}

static uint32_t
add_proxy_socket (world_t *world, const world_proxy_socket_t *proxy_socket)
{
  for (uint32_t i = 0; i < world->proxy_sockets->len; i++)
    {
      if (get_proxy_socket (world, i)->fd >= 0)
        continue;
      *get_proxy_socket (world, i) = *proxy_socket;
      return i;
    }
  g_array_append_vals (world->proxy_sockets, proxy_socket, 1);
  return world->proxy_sockets->len - 1;
}

static void
close_connection_pair (world_t *world, uint32_t index)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  uint32_t pair[2] = { index, get_proxy_socket (world, index)->peer };
  for (int i = 0; i < 2; i++)
    {
      world_proxy_socket_t *proxy_socket = get_proxy_socket (world, pair[i]);
      if (proxy_socket->fd < 0)
        continue;
      setsockopt (proxy_socket->fd, SOL_SOCKET, SO_LINGER, &reset,
                  sizeof reset);
      close (proxy_socket->fd);
      proxy_socket->fd = -1;
    }
}

static world_proxy_socket_t *
get_proxy_socket (world_t *world, uint32_t index)
{
  return &g_array_index (world->proxy_sockets, world_proxy_socket_t, index);
}
