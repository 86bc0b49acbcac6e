#include <inttypes.h>
#include <stdio.h>

#include "standins/world.h"

#define STARTUP_PERIOD (3 * GBD_SECOND) /* time before the first burst */
#define PAUSE_MIN_MS 500
#define PAUSE_MAX_MS 4000
#define BURST_MIN_MS 2000
#define BURST_MAX_MS 6000
#define SLOTS 2
/* Two servers, the fewest that faults leave, bear the callers without a burst;
   five do not bear those of a burst. */
#define WORK_MIN_MS 8
#define WORK_MAX_MS 22

static int draw_ms (world_t *world, int min, int max);

void
world_bursts_start (world_t *world, uint32_t seed, gbd_time_t now)
{
  /* Own random numbers: the faults of a seed stay the same. */
  world->bursts.random = g_rand_new_with_seed (seed);
  world->bursts.due
      = now + STARTUP_PERIOD
        + draw_ms (world, PAUSE_MIN_MS, PAUSE_MAX_MS) * GBD_MILLISECOND;
}

void
world_bursts_tick (world_t *world, gbd_time_t now)
{
  world_bursts_t *bursts = &world->bursts;
  bool is_over = now >= world->faults_end_at;
  if (!bursts->random || (is_over && !bursts->is_active)
      || (!is_over && now < bursts->due))
    return;
  bursts->is_active = !bursts->is_active && !is_over;
  int length = bursts->is_active ? draw_ms (world, BURST_MIN_MS, BURST_MAX_MS)
                                 : draw_ms (world, PAUSE_MIN_MS, PAUSE_MAX_MS);
  bursts->due = now + length * GBD_MILLISECOND;
  fprintf (stderr, "%.3f fault: burst %s\n",
           (double)(now - world->started_at) / GBD_SECOND,
           bursts->is_active ? "begins" : "ends");
}

gbd_time_t
world_bursts_take_request (world_t *world, world_server_t *server,
                           gbd_time_t now)
{
  gbd_time_t *ends = server->busy_until;
  uint32_t first = 0; /* entry with the earliest end */
  uint32_t count = 0;
  for (uint32_t i = 0; i < WORLD_SERVER_ROOM; i++)
    {
      count += ends[i] > now;
      if (ends[i] < ends[first])
        first = i;
    }
  if (count == WORLD_SERVER_ROOM)
    {
      world->bursts.full_responses++;
      world->bursts.last_full_at = now;
      return 0;
    }
  /* Each slot is taken by the request with the SLOTS-th latest end. */
  gbd_time_t latest = 0;
  gbd_time_t second = 0;
  for (uint32_t i = 0; i < WORLD_SERVER_ROOM; i++)
    {
      second = MAX (second, MIN (latest, ends[i]));
      latest = MAX (latest, ends[i]);
    }
  G_STATIC_ASSERT (SLOTS == 2);
  ends[first] = MAX (now, second)
                + draw_ms (world, WORK_MIN_MS, WORK_MAX_MS) * GBD_MILLISECOND;
  return ends[first];
}

void
world_bursts_record_request (world_t *world, const world_flow_t *flow,
                             bool is_served)
{
  if (!flow->is_in_burst || world_route_service (world, flow->route) != 0)
    return;
  uint32_t index = flow->route == WORLD_URGENT_ROUTE ? 0 : 1;
  world->bursts.ended[index]++;
  world->bursts.served[index] += is_served;
}

bool
world_bursts_may_refuse (const world_t *world, uint32_t service,
                         gbd_time_t now)
{
  return world->bursts.last_full_at && service == 0
         && now - world->bursts.last_full_at <= WORLD_ROOM_LIMIT;
}

void
world_bursts_print (const world_t *world)
{
  const world_bursts_t *bursts = &world->bursts;
  if (!bursts->random)
    return;
  for (uint32_t i = 0; i < WORLD_PRIORITIES; i++)
    printf (",\"burst_asked_priority_%u\":%" PRIu64
            ",\"burst_served_share_priority_%u\":%.4f",
            (unsigned)i + 1, bursts->ended[i], (unsigned)i + 1,
            (double)bursts->served[i] / (double)MAX (bursts->ended[i], 1));
  printf (",\"full_responses\":%" PRIu64 ",\"refused\":%" PRIu64,
          bursts->full_responses, bursts->refused);
}

static int
draw_ms (world_t *world, int min, int max)
{
  return g_rand_int_range (world->bursts.random, min, max + 1);
}
