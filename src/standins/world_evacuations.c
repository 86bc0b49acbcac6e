#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "standins/world.h"

#define STARTUP_PERIOD (3 * GBD_SECOND) /* time before the first order */
#define RETRY_INTERVAL (250 * GBD_MILLISECOND)
/* Most evacuations last longer than WORLD_EVACUATION_LIMIT, so that it is
   checked; the others end before it. */
#define SHORT_SHARE 0.25
#define SHORT_MIN_MS 100
#define SHORT_MAX_MS 3000
#define LONG_MIN_MS 8000
#define LONG_MAX_MS 16000
#define PAUSE_MIN_MS 200
#define PAUSE_MAX_MS 3000
/* Share of the orders that are given although another zone is evacuated, after
   which no zone may be left. */
#define SECOND_ZONE_SHARE 0.25
/* Relays are the first instances; see scripts/soak. */
#define RELAYS 3
/* How much the bound is stretched while only some instances reach the store.
 */
#define RELAY_CUT_MAX (15 * GBD_SECOND)
#define NOT_FOUND 404

/* The last zone has no servers. */
static const char *const zones[WORLD_ZONES] = { "a", "b", "c" };

static void change_order (world_t *world, uint32_t zone, gbd_time_t now);
static void write_order (world_t *world, uint32_t zone);
static gbd_time_t get_reach_time (const world_t *world, uint32_t instance,
                                  gbd_time_t since);
static gbd_time_t get_start_time (const world_t *world, uint32_t instance,
                                  gbd_time_t now);
static bool may_apply (const world_t *world, uint32_t zone, uint32_t instance,
                       gbd_time_t now);
static gbd_time_t draw_ms (world_t *world, int min, int max);

void
world_evacuations_start (world_t *world, uint32_t seed, gbd_time_t now)
{
  /* Own random numbers: the faults of a seed stay the same. */
  world->evacuations.random = g_rand_new_with_seed (seed);
  for (uint32_t i = 0; i < WORLD_ZONES; i++)
    world->evacuations.orders[i].due
        = now + STARTUP_PERIOD + draw_ms (world, PAUSE_MIN_MS, PAUSE_MAX_MS);
}

const char *
world_server_zone (const world_t *world, uint32_t index)
{
  /* Each service needs servers in both zones if one can be evacuated. */
  return zones[world->evacuations.random ? index / 2 % 2 : index % 2];
}

void
world_evacuations_tick (world_t *world, gbd_time_t now)
{
  for (uint32_t i = 0; world->evacuations.random && i < WORLD_ZONES; i++)
    {
      world_evacuation_t *order = &world->evacuations.orders[i];
      if (now >= world->faults_end_at)
        order->is_wanted = false;
      else if (now >= order->due)
        change_order (world, i, now);
      if (now >= order->retry_at
          && (order->is_wanted ? !order->acknowledged_at : order->is_present))
        write_order (world, i);
      for (uint32_t j = 0; order->acknowledged_at && j < world->instance_count;
           j++)
        {
          if (order->bound_at[j]
              || now - get_reach_time (world, j, order->acknowledged_at)
                     <= WORLD_EVACUATION_LIMIT
              || now - get_start_time (world, j, now)
                     <= WORLD_EVACUATION_LIMIT)
            continue;
          order->bound_at[j] = now;
          world->evacuations.checked++;
        }
    }
}

void
world_evacuations_write_again (world_t *world)
{
  for (uint32_t i = 0; world->evacuations.random && i < WORLD_ZONES; i++)
    {
      world_evacuation_t *order = &world->evacuations.orders[i];
      order->is_present = order->is_wanted || order->ended_at;
      if (order->is_present)
        write_order (world, i);
    }
}

void
world_evacuations_check_opening (world_t *world, uint32_t server,
                                 uint32_t instance, gbd_time_t now)
{
  for (uint32_t i = 0; world->evacuations.random && i < WORLD_ZONES; i++)
    {
      const world_evacuation_t *order = &world->evacuations.orders[i];
      if (!order->acknowledged_at || instance >= world->instance_count
          || strcmp (zones[i], world_server_zone (world, server)) != 0)
        continue;
      gbd_time_t start = get_start_time (world, instance, now);
      gbd_time_t since = MAX (
          get_reach_time (world, instance, order->acknowledged_at), start);
      if (order->bound_at[instance] && start < order->bound_at[instance])
        world_report_violation (
            world, WORLD_OPENING_AT_EVACUATED, now,
            "zone %s, %s, instance %u, %.3f s after the order", zones[i],
            world->servers[server].name, instance + 1,
            (double)(now - order->acknowledged_at) / GBD_SECOND);
      else
        world->evacuations.latest
            = MAX (world->evacuations.latest, now - since);
    }
}

bool
world_evacuations_may_refuse (const world_t *world, uint32_t service,
                              uint32_t instance, gbd_time_t now)
{
  if (!world->has_refusals || instance >= world->instance_count)
    return false;
  for (uint32_t i = 0; i < world->server_count; i++)
    {
      const world_server_t *server = &world->servers[i];
      uint32_t zone = 0;
      while (strcmp (zones[zone], world_server_zone (world, i)) != 0)
        zone++;
      if (server->state == SERVER_READY && server->service == service
          && now - server->disturbed_at > WORLD_RESYNC_LIMIT
          && !world_cold_may_be_cold (world, server, now)
          && !may_apply (world, zone, instance, now))
        return false;
    }
  return true;
}

void
world_evacuations_print (const world_t *world)
{
  if (world->evacuations.random)
    printf (",\"evacuations_checked\":%" PRIu64
            ",\"evacuations_latest_s\":%.3f",
            world->evacuations.checked,
            (double)world->evacuations.latest / GBD_SECOND);
}

static void
change_order (world_t *world, uint32_t zone, gbd_time_t now)
{
  world_evacuation_t *order = &world->evacuations.orders[zone];
  /* Zones with servers come first in the table. */
  bool is_other_evacuated = zone < 2 && may_apply (world, 1 - zone, 0, now);
  bool may_begin
      = !is_other_evacuated
        || (world->has_faults && !world->is_planned
            && g_rand_double (world->evacuations.random) < SECOND_ZONE_SHARE);
  order->is_wanted = !order->is_wanted && may_begin;
  if (!order->is_wanted)
    order->due = now + draw_ms (world, PAUSE_MIN_MS, PAUSE_MAX_MS);
  else if (g_rand_double (world->evacuations.random) < SHORT_SHARE)
    order->due = now + draw_ms (world, SHORT_MIN_MS, SHORT_MAX_MS);
  else
    order->due = now + draw_ms (world, LONG_MIN_MS, LONG_MAX_MS);
  order->retry_at = now;
  if (order->is_wanted || order->is_present)
    fprintf (stderr, "%.3f fault: zone %s %s\n",
             (double)(now - world->started_at) / GBD_SECOND, zones[zone],
             order->is_wanted ? "evacuated" : "released");
}

/* Brings the object of a zone into line with the order.  An object whose write
   was not acknowledged may exist or not: the bound does not apply then, and a
   refusal is allowed. */
static void
write_order (world_t *world, uint32_t zone)
{
  world_evacuation_t *order = &world->evacuations.orders[zone];
  json_t *value = order->is_wanted ? json_object () : NULL;
  if (!order->is_wanted)
    order->acknowledged_at = 0;
  order->is_present = true;
  int status = world_object_write (world, "evacuations", zones[zone], value);
  gbd_time_t now = g_get_monotonic_time ();
  json_decref (value);
  order->retry_at = now + RETRY_INTERVAL;
  if (order->is_wanted && status != 200)
    order->acknowledged_at = 0;
  else if (order->is_wanted && !order->acknowledged_at)
    order->acknowledged_at = now;
  else if (!order->is_wanted && (status == 200 || status == NOT_FOUND))
    {
      order->is_present = false;
      order->ended_at = now;
    }
  if (!order->acknowledged_at)
    memset (order->bound_at, 0, sizeof order->bound_at);
}

/* The time from which the bound of an instance counts: since a write was
   acknowledged, or since the instance reaches the store again after a fault.
   Relays count as well, as the instance may read from them.  A store that is
   slow, lags, closes watches or drops its history is reached. */
static gbd_time_t
get_reach_time (const world_t *world, uint32_t instance, gbd_time_t since)
{
  gbd_time_t time = MAX (since, world->instances[instance].disturbed_at);
  time = MAX (time, world->proxies[instance].until);
  time = MAX (time, world->platform_away_until);
  for (uint32_t i = 0; i < MIN (RELAYS, world->instance_count); i++)
    time = MAX (time, MIN (world->proxies[i].until, since + RELAY_CUT_MAX));
  return time;
}

/* When the process of an instance was started: its PID file is written then.
 */
static gbd_time_t
get_start_time (const world_t *world, uint32_t instance, gbd_time_t now)
{
  struct stat status;
  if (stat (world->instances[instance].pid_file, &status) != 0)
    return now;
  return now
         - (g_get_real_time () - (gbd_time_t)status.st_mtim.tv_sec * GBD_SECOND
            - status.st_mtim.tv_nsec / 1000);
}

/* Whether an instance may believe that a zone is evacuated.  A restore of the
   store may bring back an order that has ended, until it is deleted again. */
static bool
may_apply (const world_t *world, uint32_t zone, uint32_t instance,
           gbd_time_t now)
{
  const world_evacuation_t *order = &world->evacuations.orders[zone];
  return order->is_wanted || order->is_present
         || (order->ended_at
             && (now - get_reach_time (world, instance, order->ended_at)
                     <= WORLD_EVACUATION_LIMIT
                 || now < world->platform_fault_until));
}

static gbd_time_t
draw_ms (world_t *world, int min, int max)
{
  return g_rand_int_range (world->evacuations.random, min, max + 1)
         * GBD_MILLISECOND;
}
