/* Compares methods of placing new flows under one replayed load.  Each
   instance sees only its own flows.  A backend server has two slots and a
   queue of eight requests; a request to another zone also has the delay
   between the zones.  Prints one JSON row for each method and load, and rows
   with the processor time of one choice and of numbering a changed list. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "gooseberrydrum/placement.h"

#define ZONES 4
#define SERVERS 14
#define INSTANCES 9
#define SLOTS 2
#define QUEUE 8
#define REQUESTS 60000
#define SERVICE_TIME_MS 32.0 /* mean service time of the site majilaini-lb */
#define CROSS_ZONE_MS 14.0   /* four zone crossings of 3.5 ms each */
#define CHOICES 20000        /* of which the processor time is measured */
#define TICKS 200
#define LATENCY_TARGET_MS 200.0
#define RATE_PER_MS 0.375 /* new flows of the service dispatch, all zones */

/* Zones of the backend servers and instances of the site majilaini-lb. */
static const int server_zones[SERVERS]
    = { 0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 3, 3, 3 };
static const int instance_zones[INSTANCES] = { 0, 0, 0, 1, 1, 2, 2, 3, 3 };

typedef struct
{
  /* End times of the requests at the server, in any order. */
  double ends[SLOTS + QUEUE];
  int count;
  int accepted;
} server_t;

typedef struct
{
  gbd_pool_t *pool; /* backend servers as the instance sees them */
  int zone;
} instance_t;

typedef struct
{
  const char *name;
  int (*choose) (instance_t *instance, uint64_t hash);
} method_t;

/* Request that a server has accepted. */
typedef struct
{
  double end;
  int instance;
  int server;
} running_t;

static int choose_hash (instance_t *instance, uint64_t hash);
static int choose_zone_hash (instance_t *instance, uint64_t hash);
static int choose_better_of_two (instance_t *instance, uint64_t hash);
static int choose_least_cost (instance_t *instance, uint64_t hash);
static void measure_time (uint32_t server_count);
static gbd_pool_entry_t make_measured_entry (uint32_t index);
static double get_processor_time_ns (void);
static void run (const method_t *method, double load);
static double serve (server_t *server, double now);
static void complete_requests (instance_t *instances, running_t *running,
                               int *count, double now);
static void make_instances (instance_t *instances);
static uint32_t get_pending (const instance_t *instance, int server);
static int compare (const void *a, const void *b);
static double get_random_fraction (void);

static const method_t methods[] = {
  { "hash", choose_hash },
  { "hash of own zone", choose_zone_hash },
  { "two choices", choose_better_of_two },
  { "least cost", choose_least_cost },
};

static uint64_t random_state;

int
main (void)
{
  static const double loads[] = { 1.0, 1.7, 2.2 };
  for (size_t l = 0; l < sizeof loads / sizeof loads[0]; l++)
    {
      for (size_t w = 0; w < sizeof methods / sizeof methods[0]; w++)
        run (&methods[w], loads[l]);
    }
  measure_time (120);
  measure_time (GBD_BACKENDS_MAX);
  return EXIT_SUCCESS;
}

static int
choose_hash (instance_t *instance, uint64_t hash)
{
  (void)instance;
  return (int)(hash % SERVERS);
}

static int
choose_zone_hash (instance_t *instance, uint64_t hash)
{
  int zone_servers[SERVERS] = { 0 };
  int count = 0;
  for (int i = 0; i < SERVERS; i++)
    {
      if (server_zones[i] == instance->zone)
        zone_servers[count++] = i;
    }
  return zone_servers[hash % (uint64_t)count];
}

static int
choose_better_of_two (instance_t *instance, uint64_t hash)
{
  int first = choose_zone_hash (instance, hash);
  int second = choose_zone_hash (instance, hash >> 32);
  return get_pending (instance, first) <= get_pending (instance, second)
             ? first
             : second;
}

static int
choose_least_cost (instance_t *instance, uint64_t hash)
{
  gbd_placement_t placement = { .service = 1,
                                .zone = (gbd_zone_id_t)instance->zone + 1,
                                .hash = hash,
                                .avoid = GBD_POOL_NONE };
  return gbd_placement_choose (instance->pool, &placement, 0);
}

static void
measure_time (uint32_t server_count)
{
  gbd_pool_t *pool = gbd_pool_new ();
  for (uint32_t i = 0; i < server_count; i++)
    {
      gbd_pool_entry_t entry = make_measured_entry (i);
      gbd_pool_put (pool, &entry, 0);
    }
  gbd_pool_tick (pool, 0);
  gbd_placement_t placements[3];
  for (int i = 0; i < 3; i++)
    placements[i] = (gbd_placement_t){ .service = 1,
                                       .zone = 1,
                                       .avoid = GBD_POOL_NONE,
                                       .group = { 76, 19, 7 },
                                       .was_room_short = i == 1,
                                       .has_both_kinds = i == 2 };
  double times[3];
  for (int i = 0; i < 3; i++)
    {
      double start = get_processor_time_ns ();
      for (uint32_t k = 0; k < CHOICES; k++)
        {
          placements[i].hash = k;
          gbd_placement_choose (pool, &placements[i], GBD_SECOND);
        }
      times[i] = (get_processor_time_ns () - start) / CHOICES;
    }
  double start = get_processor_time_ns ();
  for (uint32_t k = 0; k < TICKS; k++)
    {
      gbd_pool_entry_t entry = make_measured_entry (0);
      entry.backend.state = k % 2 ? GBD_BACKEND_READY : GBD_BACKEND_DRAINING;
      gbd_pool_put (pool, &entry, 0);
      gbd_pool_tick (pool, 0);
    }
  printf ("{\"servers\":%u,\"choice_ns\":%.0f,\"windows_ns\":%.0f,"
          "\"records_ns\":%.0f,\"changed_tick_ns\":%.0f}\n",
          server_count, times[0], times[1], times[2],
          (get_processor_time_ns () - start) / TICKS);
  gbd_pool_delete (pool);
}

static gbd_pool_entry_t
make_measured_entry (uint32_t index)
{
  return (gbd_pool_entry_t){
    .backend = { .id = gbd_rendezvous_weight (index + 1, 3),
                 .address = { .family = 4, .port = (uint16_t)(index + 1) },
                 .zone = index % ZONES + 1,
                 .state = GBD_BACKEND_READY },
    .service = 1,
    .slots = SLOTS,
    .start_time_ms = 1,
  };
}

static double
get_processor_time_ns (void)
{
  struct timespec time;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec * 1e9 + (double)time.tv_nsec;
}

static void
run (const method_t *method, double load)
{
  static double times[REQUESTS];
  static running_t running[INSTANCES * SERVERS * (SLOTS + QUEUE)];
  server_t servers[SERVERS];
  instance_t instances[INSTANCES];
  int running_count = 0;
  int shed = 0;
  int late = 0;
  int served_count = 0;
  double now = 0;
  random_state = 1;
  memset (servers, 0, sizeof servers);
  make_instances (instances);
  for (int i = 0; i < REQUESTS; i++)
    {
      now += -log (1.0 - get_random_fraction ()) / (RATE_PER_MS * load);
      complete_requests (instances, running, &running_count, now);
      int zone = (int)(get_random_fraction () * ZONES);
      int index = (int)(get_random_fraction () * INSTANCES);
      while (instance_zones[index] != zone)
        index = (index + 1) % INSTANCES;
      instance_t *instance = &instances[index];
      int chosen = method->choose (instance,
                                   gbd_rendezvous_weight ((uint64_t)i + 1, 7));
      double end = serve (&servers[chosen], now);
      if (end < 0)
        {
          shed++;
          continue;
        }
      servers[chosen].accepted++;
      gbd_pool_get (instance->pool, (gbd_pool_handle_t)chosen)->load.waiting++;
      running[running_count++] = (running_t){ end, index, chosen };
      double time
          = end - now + (server_zones[chosen] == zone ? 0 : CROSS_ZONE_MS);
      times[served_count++] = time;
      late += time > LATENCY_TARGET_MS;
    }
  int accepted_max = 0;
  int total = 0;
  for (int i = 0; i < SERVERS; i++)
    {
      accepted_max = servers[i].accepted > accepted_max ? servers[i].accepted
                                                        : accepted_max;
      total += servers[i].accepted;
    }
  qsort (times, (size_t)served_count, sizeof times[0], compare);
  printf ("{\"way\":\"%s\",\"load\":%.1f,\"p50_ms\":%.1f,\"p99_ms\":%.1f,"
          "\"late\":%.4f,\"shed\":%.4f,\"busiest_over_mean\":%.3f}\n",
          method->name, load, times[served_count / 2],
          times[served_count * 99 / 100], (double)late / REQUESTS,
          (double)shed / REQUESTS, (double)accepted_max * SERVERS / total);
  for (int i = 0; i < INSTANCES; i++)
    gbd_pool_delete (instances[i].pool);
}

/* Returns the end time of a request that arrives now, or a negative value if
   the queue is full. */
static double
serve (server_t *server, double now)
{
  int remaining = 0;
  for (int i = 0; i < server->count; i++)
    {
      if (server->ends[i] > now)
        server->ends[remaining++] = server->ends[i];
    }
  server->count = remaining;
  if (server->count == SLOTS + QUEUE)
    return -1;
  qsort (server->ends, (size_t)server->count, sizeof server->ends[0], compare);
  double start
      = server->count < SLOTS ? now : server->ends[server->count - SLOTS];
  double end = start - log (1.0 - get_random_fraction ()) * SERVICE_TIME_MS;
  server->ends[server->count++] = end;
  return end;
}

static void
complete_requests (instance_t *instances, running_t *running, int *count,
                   double now)
{
  int remaining = 0;
  for (int i = 0; i < *count; i++)
    {
      if (running[i].end > now)
        {
          running[remaining++] = running[i];
          continue;
        }
      gbd_pool_t *pool = instances[running[i].instance].pool;
      gbd_pool_get (pool, (gbd_pool_handle_t)running[i].server)
          ->load.waiting--;
    }
  *count = remaining;
}

static void
make_instances (instance_t *instances)
{
  for (int i = 0; i < INSTANCES; i++)
    {
      instances[i].zone = instance_zones[i];
      instances[i].pool = gbd_pool_new ();
      for (int s = 0; s < SERVERS; s++)
        {
          gbd_pool_entry_t entry
              = { .backend = { .id = (gbd_backend_id_t)s + 1,
                               .zone = (gbd_zone_id_t)server_zones[s] + 1,
                               .state = GBD_BACKEND_READY },
                  .service = 1,
                  .slots = SLOTS };
          gbd_pool_put (instances[i].pool, &entry, 0);
        }
    }
}

static uint32_t
get_pending (const instance_t *instance, int server)
{
  return gbd_pool_peek (instance->pool, (gbd_pool_handle_t)server)
      ->load.waiting;
}

static int
compare (const void *a, const void *b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;
  return first < second ? -1 : first > second;
}

/* Returns a uniformly distributed random number in [0, 1). */
static double
get_random_fraction (void)
{
  random_state = gbd_rendezvous_weight (random_state, 11);
  return (double)(random_state >> 11) / (double)((uint64_t)1 << 53);
}
