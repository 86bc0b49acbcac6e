#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "share/udp.h"
#include "standins/world.h"

#define PROBE_INTERVAL (500 * GBD_MILLISECOND)
/* Consecutive failed probes after which an instance leaves the rotation. */
#define FAILED_PROBES_MAX 2
#define RESPONSE_LENGTH 512

static const char request[] = "GET /ready HTTP/1.1\r\nHost: a\r\n"
                              "Connection: close\r\n\r\n";

static void start_probe (world_instance_t *instance);
static void read_probe (world_t *world, int fd, uint32_t index,
                        gbd_time_t now);
static void end_probe (world_instance_t *instance, bool is_ready);

bool
world_fabric_start (world_t *world, const char *pid_folder)
{
  for (uint32_t i = 0; i < world->instance_count; i++)
    {
      world_instance_t *instance = &world->instances[i];
      instance->packets = world_address (2, i, world->port);
      instance->ready = world_address (2, i, (uint16_t)(world->port + 1));
      instance->probe_fd = -1;
      instance->failed_probes = FAILED_PROBES_MAX;
      snprintf (instance->pid_file, sizeof instance->pid_file, "%s/%u.pid",
                pid_folder, i + 1);
    }
  return true;
}

void
world_fabric_poll (world_t *world, gbd_time_t now)
{
  bool is_due = now >= world->next_probe_at;
  if (is_due)
    world->next_probe_at = now + PROBE_INTERVAL;
  for (uint32_t i = 0; i < world->instance_count; i++)
    {
      world_instance_t *instance = &world->instances[i];
      if (is_due && instance->probe_fd >= 0)
        end_probe (instance, false);
      if (is_due)
        start_probe (instance);
      world_poll (world, instance->probe_fd, i, read_probe);
    }
}

const world_instance_t *
world_fabric_choose (const world_t *world, uint32_t hash)
{
  uint32_t ready[WORLD_INSTANCES_MAX] = { 0 };
  uint32_t count = 0;
  assert (world->instance_count > 0);
  for (uint32_t i = 0; i < world->instance_count; i++)
    {
      if (world->instances[i].is_in_rotation)
        ready[count++] = i;
    }
  if (count == 0 || count * 2 < world->instance_count)
    return &world->instances[hash % world->instance_count];
  return &world->instances[ready[hash % count]];
}

bool
world_is_undisturbed (const world_t *world, uint32_t instance, gbd_time_t now)
{
  gbd_time_t platform_disturbed_until
      = MAX (world->platform_disturbed_at, world->platform_fault_until);
  return now - world->instances[instance].disturbed_at > WORLD_RESYNC_LIMIT
         && now - platform_disturbed_until > WORLD_RESYNC_LIMIT
         && now - world->loss_until > WORLD_RESYNC_LIMIT;
}

static void
start_probe (world_instance_t *instance)
{
  struct sockaddr_storage name;
  socklen_t length = gbd_udp_to_sockaddr (&instance->ready, &name);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  instance->probe_fd = fd;
  if (fd < 0)
    return;
  if (connect (fd, (const struct sockaddr *)&name, length) < 0
      && errno != EINPROGRESS)
    {
      end_probe (instance, false);
      return;
    }
  /* A connection over loopback succeeds or fails at once. */
  if (send (fd, request, strlen (request), MSG_NOSIGNAL) < 0)
    end_probe (instance, false);
}

static void
read_probe (world_t *world, int fd, uint32_t index, gbd_time_t now)
{
  (void)now;
  char response[RESPONSE_LENGTH];
  world_instance_t *instance = &world->instances[index];
  if (instance->probe_fd != fd)
    return;
  ssize_t length = recv (fd, response, sizeof response - 1, MSG_DONTWAIT);
  if (length < 0 && errno == EAGAIN)
    return;
  static const char success[] = "HTTP/1.1 200";
  end_probe (instance,
             length >= (ssize_t)strlen (success)
                 && memcmp (response, success, strlen (success)) == 0);
}

static void
end_probe (world_instance_t *instance, bool is_ready)
{
  close (instance->probe_fd);
  instance->probe_fd = -1;
  instance->failed_probes = is_ready ? 0 : instance->failed_probes + 1;
  instance->is_in_rotation = instance->failed_probes < FAILED_PROBES_MAX;
}
