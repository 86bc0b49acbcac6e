#define _GNU_SOURCE /* NOLINT: the C library's name, for accept4 */
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "share/udp.h"
#include "standins/world.h"

#define BACKLOG 64
#define READ_BYTES 65536

static void accept_one (world_t *world, int fd, uint32_t instance,
                        gbd_time_t now);
static void pass (world_t *world, int fd, uint32_t index, gbd_time_t now);
static uint32_t add_half (world_t *world, const world_half_t *half);
static void close_pair (world_t *world, uint32_t index);
static world_half_t *half_at (world_t *world, uint32_t index);

bool
world_proxies_start (world_t *world)
{
  world->halves = g_array_new (FALSE, TRUE, sizeof (world_half_t));
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
    world_poll (world, world->proxies[i].listen_fd, i, accept_one);
  for (uint32_t i = 0; i < world->halves->len; i++)
    {
      const world_half_t *half = half_at (world, i);
      if (half->fd >= 0 && !half->is_silenced)
        world_poll (world, half->fd, i, pass);
    }
}

void
world_proxy_set (world_t *world, uint32_t instance, world_proxy_mode_t mode,
                 gbd_time_t until)
{
  world->proxies[instance].mode = mode;
  world->proxies[instance].until = until;
  for (uint32_t i = 0; i < world->halves->len; i++)
    {
      world_half_t *half = half_at (world, i);
      if (half->fd < 0 || half->instance != instance)
        continue;
      if (mode == PROXY_RESET)
        close_pair (world, i);
      else if (mode == PROXY_SILENT
               || (mode == PROXY_ONE_WAY && !half->is_from_instance))
        half->is_silenced = true;
    }
}

void
world_proxies_tick (world_t *world, gbd_time_t now)
{
  for (uint32_t i = 0; i < world->instance_count; i++)
    {
      world_proxy_t *proxy = &world->proxies[i];
      if (proxy->mode == PROXY_PASS || now < proxy->until)
        continue;
      proxy->mode = PROXY_PASS;
      world->instances[i].disturbed_at = now;
    }
}

static void
accept_one (world_t *world, int fd, uint32_t instance, gbd_time_t now)
{
  (void)now;
  int inner = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (inner < 0)
    return;
  world_proxy_mode_t mode = world->proxies[instance].mode;
  if (mode == PROXY_RESET)
    {
      close (inner);
      return;
    }
  struct sockaddr_storage name;
  socklen_t length = gbd_udp_to_sockaddr (&world->platform, &name);
  int outer = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (outer < 0
      || (connect (outer, (const struct sockaddr *)&name, length) < 0
          && errno != EINPROGRESS))
    {
      if (outer >= 0)
        close (outer);
      close (inner);
      return;
    }
  world_half_t from = { .fd = inner,
                        .instance = instance,
                        .is_from_instance = true,
                        .is_silenced = mode == PROXY_SILENT };
  world_half_t to = { .fd = outer,
                      .instance = instance,
                      .is_silenced = mode != PROXY_PASS };
  uint32_t first = add_half (world, &from);
  uint32_t second = add_half (world, &to);
  half_at (world, first)->peer = second;
  half_at (world, second)->peer = first;
}

static void
pass (world_t *world, int fd, uint32_t index, gbd_time_t now)
{
  (void)now;
  static uint8_t bytes[READ_BYTES];
  const world_half_t *half = half_at (world, index);
  if (half->fd != fd || half->is_silenced)
    return;
  ssize_t length = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (length < 0 && errno == EAGAIN)
    return;
  int other = half_at (world, half->peer)->fd;
  /* A peer that does not read is cut; its client calls again. */
  if (length <= 0
      || send (other, bytes, (size_t)length, MSG_NOSIGNAL | MSG_DONTWAIT)
             != length)
    close_pair (world, index);
}

static uint32_t
add_half (world_t *world, const world_half_t *half)
{
  for (uint32_t i = 0; i < world->halves->len; i++)
    {
      if (half_at (world, i)->fd >= 0)
        continue;
      *half_at (world, i) = *half;
      return i;
    }
  g_array_append_vals (world->halves, half, 1);
  return world->halves->len - 1;
}

static void
close_pair (world_t *world, uint32_t index)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  uint32_t pair[2] = { index, half_at (world, index)->peer };
  for (int i = 0; i < 2; i++)
    {
      world_half_t *half = half_at (world, pair[i]);
      if (half->fd < 0)
        continue;
      setsockopt (half->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (half->fd);
      half->fd = -1;
    }
}

static world_half_t *
half_at (world_t *world, uint32_t index)
{
  return &g_array_index (world->halves, world_half_t, index);
}
