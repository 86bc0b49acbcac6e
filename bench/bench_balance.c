/* Measures how evenly policies balance skewed load over the backend servers.
   Prints one JSON row for each policy and service: the ratio of the load of
   the busiest server to the mean load of the servers, for open flows and for
   transferred bytes, averaged over the second half of the run.

   - modulo: flow hash modulo the number of servers that take new flows
   - kept: modulo for new flows; an open flow stays on its server
   - rendezvous: the server with the highest rendezvous hash among those that
     take new flows
   - table: buckets, with the weights that the platform specifies
   - balance: buckets, with weights computed in every round from the loads of
     all servers
   - thinned: balance, but in most rounds a load that has hardly changed is not
     reported

   Under modulo and rendezvous, which keep no state, an open flow breaks when
   its server changes; such flows are counted.  Under all other policies an
   open flow stays on its server.

   usage: bench_balance [SEED [PERCENT]] */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gooseberrydrum/coordinator.h"
#include "gooseberrydrum/load.h"

#define SERVERS_MAX 16u
#define INSTANCES 8u
#define REPORT_RECEIVERS 2u
#define BUCKETS 2048u
#define BASE_WEIGHT 10000
#define RUN_SECONDS 1800u
#define FLOWS_MAX 65536u
#define ROUND_SECONDS (GBD_BALANCE_REPORT_INTERVAL / GBD_SECOND)

/* Class of flows with the same arrival rate, mean lifetime and bandwidths. */
typedef struct
{
  double flows_per_second;
  /* In seconds; lifetimes are exponentially distributed. */
  double mean_lifetime;
  double bandwidth; /* of a flow that is not heavy, in KiB per second */
  double heavy_fraction;
  double heavy_bandwidth; /* of a heavy flow, in KiB per second */
} flow_class_t;

typedef struct
{
  const char *name;
  uint32_t servers;
  flow_class_t classes[2];
  /* Second in which a burst of new flows starts; 0 for none. */
  uint32_t burst_at;
  uint32_t burst_seconds;
  double burst_factor;
  uint32_t draining_servers; /* number that drain from drain_at to drain_end */
  uint32_t drain_at;
  uint32_t drain_end;
} scenario_t;

typedef struct
{
  uint64_t hash;
  uint32_t ends_at;
  uint32_t server;
  uint32_t bandwidth; /* bytes per second */
} flow_t;

typedef struct
{
  uint64_t random;
  const scenario_t *scenario;
  uint32_t flow_count;
  flow_t *flows;
  gbd_backend_t backends[SERVERS_MAX];
  uint16_t base_weights[SERVERS_MAX];
  uint16_t weights[SERVERS_MAX];
  gbd_table_t *table;
  gbd_balance_t *balance;
  uint64_t round_bytes[INSTANCES][SERVERS_MAX];
  uint32_t smoothed[INSTANCES][SERVERS_MAX];
  uint32_t opened[INSTANCES][SERVERS_MAX];
  gbd_load_entry_t reported[INSTANCES][SERVERS_MAX];
  uint64_t rounds;
  uint64_t control_bytes;
  uint64_t moved_buckets;
  uint64_t opened_flows;
  uint64_t broken;
  double open_imbalance;
  double bytes_imbalance;
  uint32_t samples;
} run_t;

typedef struct
{
  const char *name;
  uint32_t (*choose) (const run_t *run, uint64_t hash);
  bool is_stateless;
  bool has_table;
  bool is_balanced;
  bool is_filtered; /* loads that have hardly changed are not reported */
} policy_t;

static uint32_t choose_modulo (const run_t *run, uint64_t hash);
static uint32_t choose_rendezvous (const run_t *run, uint64_t hash);
static uint32_t choose_bucket (const run_t *run, uint64_t hash);
static void measure (const policy_t *policy, const scenario_t *scenario,
                     uint64_t seed, uint8_t percent);
static void set_states (run_t *run, uint32_t second);
static void break_flows (run_t *run, const policy_t *policy);
static void open_flows (run_t *run, const policy_t *policy, uint32_t second);
static void open_flow (run_t *run, const policy_t *policy,
                       const flow_class_t *flow_class, uint32_t second);
static void add_traffic (run_t *run, uint32_t second);
static void step_table (run_t *run);
static void report_loads (run_t *run, const policy_t *policy, uint32_t second);
static void sample (run_t *run);
static uint64_t next_random (run_t *run);
static double next_fraction (run_t *run);
static uint64_t mix_bits (uint64_t number);

static const policy_t policies[] = {
  { "modulo", choose_modulo, true, false, false, false },
  { "kept", choose_modulo, false, false, false, false },
  { "rendezvous", choose_rendezvous, true, false, false, false },
  { "table", choose_bucket, false, true, false, false },
  { "balance", choose_bucket, false, true, true, false },
  { "thinned", choose_bucket, false, true, true, true },
};

static const scenario_t scenarios[] = {
  /* Large uploads to few servers. */
  { .name = "readings",
    .servers = 4,
    .classes = { { 10, 60, 20, 0.1, 400 } },
    .draining_servers = 1,
    .drain_at = 600,
    .drain_end = 720 },
  /* Long-lived feeds of handsets and short bookings; five servers are
     replaced. */
  { .name = "dispatch",
    .servers = 14,
    .classes = { { 5, 1800, 0.2, 0, 0 }, { 100, 2, 2, 0, 0 } },
    .draining_servers = 5,
    .drain_at = 600,
    .drain_end = 720 },
  /* Feeds, and a burst of queue notices while half of the servers drain. */
  { .name = "visitas",
    .servers = 14,
    .classes = { { 5, 900, 0.2, 0, 0 }, { 10, 30, 4, 0, 0 } },
    .burst_at = 620,
    .burst_seconds = 90,
    .burst_factor = 8,
    .draining_servers = 7,
    .drain_at = 600,
    .drain_end = 720 },
};

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  uint8_t percent = argc > 2 ? (uint8_t)atoi (argv[2]) : 50;
  for (size_t s = 0; s < sizeof scenarios / sizeof scenarios[0]; s++)
    for (size_t p = 0; p < sizeof policies / sizeof policies[0]; p++)
      measure (&policies[p], &scenarios[s], seed, percent);
  return 0;
}

static void
measure (const policy_t *policy, const scenario_t *scenario, uint64_t seed,
         uint8_t percent)
{
  run_t *run = calloc (1, sizeof *run);
  run->flows = calloc (FLOWS_MAX, sizeof *run->flows);
  run->random = mix_bits (seed);
  run->scenario = scenario;
  run->balance = gbd_balance_new ();
  for (uint32_t i = 0; i < scenario->servers; i++)
    run->backends[i].id = mix_bits (i + 1);

  for (uint32_t second = 0; second < RUN_SECONDS; second++)
    {
      set_states (run, second);
      if (policy->is_balanced && second % ROUND_SECONDS == 0)
        gbd_balance_compute_weights (
            run->balance, run->backends, run->base_weights, scenario->servers,
            percent, second * GBD_SECOND, run->weights);
      if (policy->has_table)
        step_table (run);
      if (policy->is_stateless)
        break_flows (run, policy);
      open_flows (run, policy, second);
      add_traffic (run, second);
      if (second % ROUND_SECONDS != ROUND_SECONDS - 1)
        continue;
      if (second >= RUN_SECONDS / 2)
        sample (run);
      report_loads (run, policy, second);
    }
  printf (
      "{\"policy\":\"%s\",\"service\":\"%s\",\"servers\":%u,"
      "\"open_imbalance\":%.3f,\"bytes_imbalance\":%.3f,"
      "\"buckets_moved\":%llu,\"flows\":%llu,\"broken\":%llu,"
      "\"control_bytes_per_second\":%.1f}\n",
      policy->name, scenario->name, scenario->servers,
      run->open_imbalance / run->samples, run->bytes_imbalance / run->samples,
      (unsigned long long)run->moved_buckets,
      (unsigned long long)run->opened_flows, (unsigned long long)run->broken,
      (double)run->control_bytes / RUN_SECONDS / INSTANCES);
  gbd_balance_delete (run->balance);
  gbd_table_delete (run->table);
  free (run->flows);
  free (run);
}

static uint32_t
choose_modulo (const run_t *run, uint64_t hash)
{
  uint32_t ready[SERVERS_MAX] = { 0 };
  uint32_t count = 0;
  for (uint32_t i = 0; i < run->scenario->servers; i++)
    {
      if (run->base_weights[i])
        ready[count++] = i;
    }
  return count ? ready[hash % count] : 0;
}

static uint32_t
choose_rendezvous (const run_t *run, uint64_t hash)
{
  uint32_t best = 0;
  uint64_t highest = 0;
  for (uint32_t i = 0; i < run->scenario->servers; i++)
    {
      uint64_t value
          = run->base_weights[i] ? mix_bits (hash ^ run->backends[i].id) : 0;
      if (value <= highest)
        continue;
      highest = value;
      best = i;
    }
  return best;
}

static uint32_t
choose_bucket (const run_t *run, uint64_t hash)
{
  uint32_t bucket = gbd_table_bucket_of (run->table, hash);
  gbd_slot_t slot = gbd_bucket_new_flow_slot (&run->table->buckets[bucket]);
  gbd_backend_id_t id = run->table->backends[slot].id;
  for (uint32_t i = 0; i < run->scenario->servers; i++)
    {
      if (run->backends[i].id == id)
        return i;
    }
  return 0;
}

static void
set_states (run_t *run, uint32_t second)
{
  const scenario_t *scenario = run->scenario;
  bool is_drain_period
      = second >= scenario->drain_at && second < scenario->drain_end;
  for (uint32_t i = 0; i < scenario->servers; i++)
    {
      bool is_draining = is_drain_period && i < scenario->draining_servers;
      run->backends[i].state
          = is_draining ? GBD_BACKEND_DRAINING : GBD_BACKEND_READY;
      run->base_weights[i] = is_draining ? 0 : BASE_WEIGHT;
      if (!run->rounds || is_draining)
        run->weights[i] = run->base_weights[i];
      if (!is_draining && run->weights[i] == 0)
        run->weights[i] = BASE_WEIGHT;
    }
}

static void
break_flows (run_t *run, const policy_t *policy)
{
  for (uint32_t i = 0; i < run->flow_count; i++)
    {
      uint32_t server = policy->choose (run, run->flows[i].hash);
      if (server == run->flows[i].server)
        continue;
      /* The caller opens the flow again, at the new server. */
      run->flows[i].server = server;
      run->broken++;
    }
}

static void
open_flows (run_t *run, const policy_t *policy, uint32_t second)
{
  const scenario_t *scenario = run->scenario;
  for (uint32_t k = 0; k < 2; k++)
    {
      double rate = scenario->classes[k].flows_per_second;
      if (second >= scenario->burst_at
          && second < scenario->burst_at + scenario->burst_seconds)
        rate *= scenario->burst_factor;
      uint32_t count = (uint32_t)(rate + next_fraction (run));
      for (uint32_t i = 0; i < count; i++)
        open_flow (run, policy, &scenario->classes[k], second);
    }
}

static void
open_flow (run_t *run, const policy_t *policy, const flow_class_t *flow_class,
           uint32_t second)
{
  /* Every policy draws the same number of random values for each flow, so
     that all policies get the same flows. */
  uint64_t hash = next_random (run);
  double lifetime
      = -log (1 - next_fraction (run)) * flow_class->mean_lifetime + 1;
  double rate = next_fraction (run) < flow_class->heavy_fraction
                    ? flow_class->heavy_bandwidth
                    : flow_class->bandwidth;
  if (run->flow_count == FLOWS_MAX)
    {
      fprintf (stderr, "bench_balance: raise FLOWS_MAX\n");
      exit (1);
    }
  flow_t *flow = &run->flows[run->flow_count++];
  flow->hash = hash;
  flow->ends_at = second + (uint32_t)lifetime;
  flow->server = policy->choose (run, hash);
  flow->bandwidth = (uint32_t)(rate * 1024);
  run->opened_flows++;
  run->opened[hash % INSTANCES][flow->server]++;
}

/* The fabric spreads the packets of a flow evenly over all instances. */
static void
add_traffic (run_t *run, uint32_t second)
{
  uint32_t remaining = 0;
  for (uint32_t i = 0; i < run->flow_count; i++)
    {
      const flow_t *flow = &run->flows[i];
      for (uint32_t n = 0; n < INSTANCES; n++)
        run->round_bytes[n][flow->server] += flow->bandwidth / INSTANCES;
      if (flow->ends_at > second)
        run->flows[remaining++] = *flow;
    }
  run->flow_count = remaining;
}

static void
step_table (run_t *run)
{
  gbd_member_t members[INSTANCES];
  gbd_confirmation_t confirmations[INSTANCES];
  uint64_t version = run->table ? run->table->version : 0;
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      members[i] = (gbd_member_t){ i + 1, i / 2 + 1 };
      confirmations[i]
          = (gbd_confirmation_t){ i + 1, false, version, version };
    }
  gbd_coordinator_input_t input = {
    .service = 1,
    .members = members,
    .member_count = INSTANCES,
    .confirmations = confirmations,
    .confirmation_count = INSTANCES,
    .backends = run->backends,
    .backend_count = run->scenario->servers,
    .weights = run->weights,
    .bucket_count = BUCKETS,
    .move_max = GBD_BALANCE_MOVE_MAX,
    .is_loss_free = true,
    .generation = 1,
  };
  gbd_table_t *next;
  if (gbd_coordinator_step (run->table, &input, &next) != GBD_STEP_READY)
    return;
  for (uint32_t i = 0; run->table && i < BUCKETS; i++)
    {
      if (next->buckets[i].to != run->table->buckets[i].to)
        run->moved_buckets++;
    }
  gbd_table_delete (run->table);
  run->table = next;
}

static void
report_loads (run_t *run, const policy_t *policy, uint32_t second)
{
  uint32_t open[INSTANCES][SERVERS_MAX] = { 0 };
  for (uint32_t i = 0; i < run->flow_count; i++)
    open[run->flows[i].hash % INSTANCES][run->flows[i].server]++;
  bool is_full
      = !policy->is_filtered || run->rounds % GBD_LOAD_FULL_ROUNDS == 0;
  for (uint32_t n = 0; n < INSTANCES && policy->is_balanced; n++)
    {
      gbd_load_entry_t entries[SERVERS_MAX];
      gbd_message_t message = { .type = GBD_MESSAGE_LOAD, .from = n + 1 };
      uint16_t count = 0;
      for (uint32_t i = 0; i < run->scenario->servers; i++)
        {
          uint32_t kilobytes = (uint32_t)(run->round_bytes[n][i] / 1024);
          run->smoothed[n][i] = (run->smoothed[n][i] + kilobytes + 1) / 2;
          gbd_load_entry_t entry = {
            .slot = gbd_table_find_backend (run->table, run->backends[i].id),
            .new_flows = run->opened[n][i],
            .open_flows = open[n][i],
            .kilobytes = run->smoothed[n][i],
          };
          if (!is_full && gbd_load_is_similar (&entry, &run->reported[n][i]))
            continue;
          run->reported[n][i] = entry;
          entries[count++] = entry;
        }
      message.body.load.service = mix_bits (1);
      message.body.load.round = run->rounds;
      message.body.load.count = count;
      message.body.load.entries = entries;
      size_t length = 0;
      if (count)
        free (gbd_message_encode (&message, &length));
      run->control_bytes += length * REPORT_RECEIVERS;
      gbd_balance_receive (run->balance, run->table, n + 1, entries, count,
                           second * GBD_SECOND);
    }
  run->rounds++;
  memset (run->round_bytes, 0, sizeof run->round_bytes);
  memset (run->opened, 0, sizeof run->opened);
}

static void
sample (run_t *run)
{
  double open[SERVERS_MAX] = { 0 };
  double bytes[SERVERS_MAX] = { 0 };
  double open_sum = 0;
  double open_max = 0;
  double bytes_sum = 0;
  double bytes_max = 0;
  for (uint32_t i = 0; i < run->flow_count; i++)
    open[run->flows[i].server]++;
  for (uint32_t i = 0; i < run->scenario->servers; i++)
    {
      for (uint32_t n = 0; n < INSTANCES; n++)
        bytes[i] += (double)run->round_bytes[n][i];
      open_sum += open[i];
      bytes_sum += bytes[i];
      open_max = fmax (open_max, open[i]);
      bytes_max = fmax (bytes_max, bytes[i]);
    }
  run->open_imbalance += open_max * run->scenario->servers / open_sum;
  run->bytes_imbalance += bytes_max * run->scenario->servers / bytes_sum;
  run->samples++;
}

static uint64_t
next_random (run_t *run)
{
  run->random += UINT64_C (0x9e3779b97f4a7c15);
  return mix_bits (run->random);
}

static double
next_fraction (run_t *run)
{
  return (double)(next_random (run) >> 11) / (double)(UINT64_C (1) << 53);
}

/* Finalizer of splitmix64. */
static uint64_t
mix_bits (uint64_t number)
{
  number = (number ^ (number >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  number = (number ^ (number >> 27)) * UINT64_C (0x94d049bb133111eb);
  return number ^ (number >> 31);
}
