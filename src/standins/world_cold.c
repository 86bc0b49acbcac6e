#include <inttypes.h>
#include <stdio.h>
#include <sys/socket.h>

#include "standins/world.h"

#define START_MIN_MS 800 /* time between two starts */
#define START_MAX_MS 3000
/* More servers are not started; faults remove some. */
#define SERVICE_SERVERS_MAX 12

void
world_cold_start (world_t *world, uint32_t seed, gbd_time_t now)
{
  /* Own random numbers: the faults of a seed stay the same. */
  world->cold.random = g_rand_new_with_seed (seed);
  world->cold.due = now + 2 * WORLD_WARM_UP;
}

void
world_cold_tick (world_t *world, gbd_time_t now)
{
  if (!world->cold.random || now < world->cold.due
      || now >= world->faults_end_at)
    return;
  world->cold.due
      = now
        + g_rand_int_range (world->cold.random, START_MIN_MS, START_MAX_MS + 1)
              * GBD_MILLISECOND;
  uint32_t counts[2] = { 0 };
  for (uint32_t i = 0; i < world->server_count; i++)
    counts[world->servers[i].service]
        += world->servers[i].state != SERVER_FREE;
  uint32_t service = counts[1] < counts[0];
  if (counts[service] < SERVICE_SERVERS_MAX
      && now >= world->platform_fault_until)
    world_server_add (world, service, now);
}

void
world_cold_start_server (world_t *world, world_server_t *server,
                         gbd_time_t now)
{
  int on = 1;
  if (!world->cold.random || now == world->started_at)
    return;
  setsockopt (server->fd, SOL_SOCKET, SO_TIMESTAMP, &on, sizeof on);
  server->warm_at = now + WORLD_WARM_UP;
  world->cold.starts++;
}

uint32_t
world_cold_get_remaining_ms (const world_server_t *server)
{
  gbd_time_t remaining = server->warm_at - g_get_monotonic_time ();
  return (uint32_t)(MAX (remaining, 0) / GBD_MILLISECOND);
}

void
world_cold_check_opening (world_t *world, world_server_t *server,
                          uint32_t instance, gbd_time_t arrived_at,
                          gbd_time_t now)
{
  if (now >= server->warm_at)
    return;
  world->cold.openings++;
  gbd_time_t *oldest
      = &server->openings[server->opening_count++ % WORLD_WARM_UP_BUDGET];
  if (*oldest && arrived_at - *oldest < GBD_SECOND)
    world_report_violation (
        world, WORLD_COLD_BUDGET, now,
        "%s, instance %u: %u opening packets in %.3f s, cold for %.3f s more",
        server->name, instance + 1, WORLD_WARM_UP_BUDGET + 1u,
        (double)(arrived_at - *oldest) / GBD_SECOND,
        (double)(server->warm_at - now) / GBD_SECOND);
  *oldest = arrived_at;
}

bool
world_cold_may_be_cold (const world_t *world, const world_server_t *server,
                        gbd_time_t now)
{
  /* Servers are listed again after a restore, and cold then. */
  gbd_time_t listed_at = MAX (server->disturbed_at, world->cold.restored_at);
  return world->cold.random
         && now - listed_at <= WORLD_WARM_UP + WORLD_RESYNC_LIMIT;
}

void
world_cold_print (const world_t *world)
{
  if (world->cold.random)
    printf (",\"cold_starts\":%" PRIu64 ",\"cold_openings\":%" PRIu64,
            world->cold.starts, world->cold.openings);
}
