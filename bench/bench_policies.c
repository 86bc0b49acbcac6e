/* Compares the policies under one seeded trace and the same changes: a drain,
   a new backend server, a planned replacement of an instance, and a crash of
   an instance, in ten simulated minutes.  Prints one JSON row for each
   policy. */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "group.h"

#define INSTANCES 8
#define SERVERS 14
/* Values at full scale; a run divides them by its argument SCALE. */
#define FULL_NEW_FLOWS_PER_SECOND 24000
#define FULL_HINTS_PER_SECOND 100
/* Capacity for the flows that an instance sees in 120 s at 24,000 new flows
   per second. */
#define FULL_CACHE_FLOWS 2097152
#define FULL_CACHE_FLOWS_SMALL 524288
#define FULL_REGISTRY_FLOWS 262144

#define TICK (10 * GBD_MILLISECOND)
#define TICKS_PER_SECOND 100
/* Times of the changes in seconds. */
#define DRAIN_AT 60
#define ADD_SERVER_AT 200
#define REPLACE_AT 340
#define REMOVE_AT 350
#define CRASH_AT 500
#define CRASH_DETECTED_AT 501
#define END_AT 660

#define SHORT_GAP_TICKS 8
#define LONG_GAP_TICKS (10 * TICKS_PER_SECOND)
#define LONG_MEAN_PACKETS 30
#define LONG_PER_THOUSAND 30
#define OPEN_RETRY_TICKS TICKS_PER_SECOND
#define RETRY_TICKS 30
#define ATTEMPTS_MAX 8

/* One flow of the trace, in the list of the tick at which its next packet is
   sent. */
typedef struct
{
  gbd_backend_id_t server;
  uint32_t next;
  uint16_t packets_left;
  uint8_t attempts;
  uint8_t is_open : 1;
  uint8_t is_broken : 1;
  uint8_t is_long : 1;
} trace_flow_t;

typedef struct
{
  uint64_t packets;
  uint64_t detoured;
} packet_share_t;

typedef struct
{
  group_t group;
  uint64_t arrivals; /* random number state for the arrivals of flows */
  uint64_t seed;
  bool is_drain_only;
  uint32_t scale;
  uint32_t tick;
  uint32_t *ticks; /* first flow of each tick, UINT32_MAX for none */
  trace_flow_t *flows;
  uint32_t flow_count;
  uint32_t flow_capacity;
  uint32_t open[GROUP_SERVERS];
  uint64_t broken;
  uint64_t broken_planned;
  packet_share_t steady;
  packet_share_t after_drain;
  packet_share_t all;
  uint64_t detoured_bytes;
  double imbalance_sum;
  uint32_t imbalance_count;
  uint64_t registrations_max;
  uint64_t exceptions_max;
  uint64_t evictions;
} run_t;

typedef struct
{
  const char *name;
  const gbd_policy_t *policy;
  bool is_replicated;
  uint32_t idle_limit_s;
  bool is_drain_only;
  uint32_t cache_flows; /* at full scale */
} row_t;

static void run_row (const row_t *row, uint32_t scale, uint64_t seed);
static uint32_t round_up_to_power_of_two (uint32_t count);
static void run_tick (run_t *run);
static void apply_changes (run_t *run, uint32_t second);
static void add_flows (run_t *run);
static void schedule (run_t *run, uint32_t flow, uint32_t delay);
static void send_packet (run_t *run, uint32_t index);
static void deliver_flow (run_t *run, trace_flow_t *flow,
                          const delivery_t *delivery);
static void break_flow (run_t *run, trace_flow_t *flow);
static uint32_t choose_instance (const run_t *run, uint32_t index);
static uint64_t draw_random (const run_t *run, uint32_t index,
                             uint64_t purpose);
static gbd_packet_t make_packet (const run_t *run, uint32_t index);
static void sample (run_t *run);
static void print_row (const run_t *run, const row_t *row, uint64_t seed);
static double get_share (const packet_share_t *share);

int
main (int argc, char **argv)
{
  uint32_t scale = 64;
  uint64_t seed = 1;
  const char *only = NULL;
  int option;
  while ((option = getopt (argc, argv, "s:r:p:")) != -1)
    switch (option)
      {
      case 's':
        scale = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'r':
        seed = strtoull (optarg, NULL, 10);
        break;
      case 'p':
        only = optarg;
        break;
      default:
        fprintf (stderr, "usage: bench_policies [-s SCALE] [-r SEED]"
                         " [-p POLICY]\n");
        return 2;
      }
  static const row_t rows[] = {
    { "modulo", &gbd_policy_modulo, false, 120, false, FULL_CACHE_FLOWS },
    { "rendezvous", &gbd_policy_rendezvous, false, 120, false,
      FULL_CACHE_FLOWS },
    { "cached", &gbd_policy_cached, false, 120, false, FULL_CACHE_FLOWS },
    { "replicated", &gbd_policy_cached, true, 120, false, FULL_CACHE_FLOWS },
    { "keepers", &gbd_policy_replicas, false, 120, false, FULL_CACHE_FLOWS },
    { "keepers", &gbd_policy_replicas, false, 120, true, FULL_CACHE_FLOWS },
    { "keepers", &gbd_policy_replicas, false, 3600, true, FULL_CACHE_FLOWS },
    { "keepers", &gbd_policy_replicas, false, 120, false,
      FULL_CACHE_FLOWS_SMALL },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    if (!only || strcmp (only, rows[i].name) == 0)
      run_row (&rows[i], scale ? scale : 1, seed);
  return 0;
}

static void
run_row (const row_t *row, uint32_t scale, uint64_t seed)
{
  static run_t run;
  memset (&run, 0, sizeof run);
  run.scale = scale;
  run.seed = seed;
  run.arrivals = seed;
  run.is_drain_only = row->is_drain_only;
  uint32_t ticks = END_AT * TICKS_PER_SECOND;
  run.ticks = malloc (ticks * sizeof *run.ticks);
  memset (run.ticks, 0xff, ticks * sizeof *run.ticks);
  group_settings_t settings
      = { .policy = row->policy,
          .is_replicated = row->is_replicated,
          .idle_limit_s = row->idle_limit_s,
          .hints_per_second = (FULL_HINTS_PER_SECOND + scale - 1) / scale,
          .cache_capacity
          = round_up_to_power_of_two (row->cache_flows / scale),
          .registry_capacity = FULL_REGISTRY_FLOWS / scale };
  group_open (&run.group, &settings, seed, INSTANCES, SERVERS);
  for (run.tick = 0; run.tick < ticks; run.tick++)
    run_tick (&run);
  print_row (&run, row, seed);
  group_close (&run.group);
  free (run.ticks);
  free (run.flows);
}

static uint32_t
round_up_to_power_of_two (uint32_t count)
{
  uint32_t power = 16;
  while (power < count)
    power *= 2;
  return power;
}

static void
run_tick (run_t *run)
{
  run->group.now = GBD_SECOND + (gbd_time_t)run->tick * TICK;
  if (run->tick % TICKS_PER_SECOND == 0)
    {
      apply_changes (run, run->tick / TICKS_PER_SECOND);
      sample (run);
    }
  if (run->tick % (GROUP_CONTROL_INTERVAL / TICK) == 0)
    group_control (&run->group);
  add_flows (run);
  uint32_t index = run->ticks[run->tick];
  while (index != UINT32_MAX)
    {
      uint32_t next = run->flows[index].next;
      send_packet (run, index);
      index = next;
    }
}

static void
apply_changes (run_t *run, uint32_t second)
{
  group_t *group = &run->group;
  if (run->is_drain_only && second != DRAIN_AT)
    return;
  switch (second)
    {
    case DRAIN_AT:
      group_drain (group, 3);
      break;
    case ADD_SERVER_AT:
      group_add_server (group);
      break;
    case REPLACE_AT:
      group_add_instance (group, INSTANCES);
      group_leave (group, 2);
      break;
    case CRASH_AT:
      group_crash (group, 5);
      break;
    default:
      break;
    }
}

static void
add_flows (run_t *run)
{
  /* The fractional part of the flows per tick is the probability of one more
     flow. */
  uint64_t per_tick_scaled = FULL_NEW_FLOWS_PER_SECOND / TICKS_PER_SECOND;
  uint32_t count = (uint32_t)(per_tick_scaled / run->scale);
  if (group_random (&run->arrivals) % run->scale
      < per_tick_scaled % run->scale)
    count++;
  while (count--)
    {
      if (run->flow_count == run->flow_capacity)
        {
          run->flow_capacity = run->flow_capacity * 2 + 1024;
          run->flows
              = realloc (run->flows, run->flow_capacity * sizeof *run->flows);
        }
      trace_flow_t *flow = &run->flows[run->flow_count];
      memset (flow, 0, sizeof *flow);
      uint64_t random = group_random (&run->arrivals);
      flow->is_long = random % 1000 < LONG_PER_THOUSAND;
      flow->packets_left = (uint16_t)(5 + (random >> 20) % 6);
      if (flow->is_long)
        flow->packets_left
            = (uint16_t)(10 + (random >> 20) % (2 * LONG_MEAN_PACKETS - 20));
      schedule (run, run->flow_count++, 0);
    }
}

static void
schedule (run_t *run, uint32_t flow, uint32_t delay)
{
  uint32_t due_tick = run->tick + delay;
  if (due_tick >= END_AT * TICKS_PER_SECOND)
    return;
  run->flows[flow].next = run->ticks[due_tick];
  run->ticks[due_tick] = flow;
}

static void
send_packet (run_t *run, uint32_t index)
{
  trace_flow_t *flow = &run->flows[index];
  gbd_packet_t packet = make_packet (run, index);
  delivery_t delivery
      = group_deliver (&run->group, choose_instance (run, index), &packet);

  packet_share_t *window = run->tick < DRAIN_AT * TICKS_PER_SECOND
                               ? &run->steady
                               : &run->after_drain;
  window->packets++;
  run->all.packets++;
  if (delivery.hops)
    {
      window->detoured++;
      run->all.detoured++;
      run->detoured_bytes += (uint64_t)packet.length * delivery.hops;
    }

  if (delivery.kind == GBD_ACTION_BACKEND)
    {
      deliver_flow (run, flow, &delivery);
      flow->packets_left--;
      flow->attempts = 0;
      uint64_t random = draw_random (run, index, 1);
      uint32_t range = 2 * (flow->is_long ? LONG_GAP_TICKS : SHORT_GAP_TICKS);
      if (flow->packets_left && !flow->is_broken)
        schedule (run, index, 1 + (uint32_t)(random % range));
      else if (flow->is_open)
        {
          run->open[flow->server - 1000]--;
          flow->is_open = 0;
        }
      return;
    }
  if (++flow->attempts < ATTEMPTS_MAX)
    schedule (run, index, flow->is_open ? RETRY_TICKS : OPEN_RETRY_TICKS);
  else
    break_flow (run, flow);
}

static void
deliver_flow (run_t *run, trace_flow_t *flow, const delivery_t *delivery)
{
  if (!flow->server)
    {
      flow->server = delivery->server;
      flow->is_open = 1;
      run->open[flow->server - 1000]++;
    }
  else if (flow->server != delivery->server)
    break_flow (run, flow);
}

static void
break_flow (run_t *run, trace_flow_t *flow)
{
  if (flow->is_broken)
    return;
  flow->is_broken = 1;
  run->broken++;
  if (run->tick < CRASH_AT * TICKS_PER_SECOND)
    run->broken_planned++;
  if (flow->is_open)
    run->open[flow->server - 1000]--;
  flow->is_open = 0;
}

/* The fabric chooses at random among the instances, except those whose removal
   or crash it has detected. */
static uint32_t
choose_instance (const run_t *run, uint32_t index)
{
  uint32_t second = run->tick / TICKS_PER_SECOND;
  for (uint64_t attempt = 2;; attempt++)
    {
      uint32_t instance
          = (uint32_t)(draw_random (run, index, attempt) % (INSTANCES + 1));
      bool is_before = run->is_drain_only || second < REPLACE_AT;
      bool is_excluded
          = (instance == INSTANCES && is_before)
            || (instance == 2 && !run->is_drain_only && second >= REMOVE_AT)
            || (instance == 5 && !run->is_drain_only
                && second >= CRASH_DETECTED_AT);
      if (!is_excluded)
        return instance;
    }
}

/* Returns a random number that depends only on the packet and the purpose, so
   that all policies get the same trace. */
static uint64_t
draw_random (const run_t *run, uint32_t index, uint64_t purpose)
{
  const trace_flow_t *flow = &run->flows[index];
  uint64_t state = run->seed + ((uint64_t)index << 24)
                   + ((uint64_t)flow->packets_left << 12)
                   + ((uint64_t)flow->attempts << 8) + purpose;
  state = group_random (&state);
  return group_random (&state);
}

static gbd_packet_t
make_packet (const run_t *run, uint32_t index)
{
  const trace_flow_t *flow = &run->flows[index];
  gbd_packet_t packet = { .kind = GBD_PACKET_ESTABLISHED,
                          .sequence = index * 2654435761u,
                          .length = 400 };
  if (!flow->is_open)
    {
      packet.kind = GBD_PACKET_OPENING;
      packet.length = 60;
    }
  else if (flow->packets_left == 1)
    {
      packet.kind = GBD_PACKET_CLOSING;
      packet.length = 40;
    }
  packet.flow.service = run->group.address;
  packet.flow.caller.family = 4;
  packet.flow.caller.port = (uint16_t)(1024 + index % 60000);
  uint32_t ip = 0x0b000000u + index / 60000;
  memcpy (packet.flow.caller.ip, &ip, sizeof ip);
  return packet;
}

/* Measures the ratio of the largest to the mean number of open flows of the
   ready backend servers, and the peaks of the engine statistics. */
static void
sample (run_t *run)
{
  const group_t *group = &run->group;
  uint32_t ready = 0;
  uint32_t sum = 0;
  uint32_t flows_max = 0;
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      if (group->servers[i].state != GBD_BACKEND_READY)
        continue;
      ready++;
      sum += run->open[i];
      flows_max = run->open[i] > flows_max ? run->open[i] : flows_max;
    }
  if (run->tick >= DRAIN_AT * TICKS_PER_SECOND && sum)
    {
      run->imbalance_sum += (double)flows_max * ready / sum;
      run->imbalance_count++;
    }
  run->evictions = 0;
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    {
      if (!group->engines[i])
        continue;
      gbd_engine_stats_t stats;
      gbd_engine_get_stats (group->engines[i], &stats);
      run->evictions += stats.evictions;
      if (stats.registrations > run->registrations_max)
        run->registrations_max = stats.registrations;
      if (stats.exceptions > run->exceptions_max)
        run->exceptions_max = stats.exceptions;
    }
}

static void
print_row (const run_t *run, const row_t *row, uint64_t seed)
{
  const group_t *group = &run->group;
  double entry;
  double message;
  group_get_encoded_sizes (&entry, &message);
  double instance_seconds = (double)INSTANCES * (END_AT - DRAIN_AT);
  double flows = ((double)group->flow_entries * entry * run->scale
                  + (double)group->flow_messages * message)
                 / instance_seconds;
  double heartbeats
      = (double)group->heartbeat_bytes / ((double)INSTANCES * END_AT);
  double tables = (double)group->table_bytes / instance_seconds;
  printf (
      "{\"bench\":\"policies\",\"policy\":\"%s\",\"idle_limit_s\":%u,"
      "\"changes\":\"%s\",\"cache_flows\":%u,"
      "\"scale\":%u,\"seed\":%llu,\"flows\":%u,\"broken\":%llu,"
      "\"broken_planned\":%llu,\"imbalance\":%.3f,"
      "\"detoured_share\":%.4f,\"detoured_bytes\":%llu,"
      "\"detoured_share_10min_after_drain\":%.4f,"
      "\"steady_detoured_share\":%.4f,\"control_bytes_per_s\":%.0f,"
      "\"flow_bytes_per_s\":%.0f,\"heartbeat_bytes_per_s\":%.0f,"
      "\"table_bytes_per_s\":%.0f,\"registrations\":%llu,"
      "\"exceptions\":%llu,\"evictions\":%llu,\"table_version\":%llu}\n",
      row->name, row->idle_limit_s, row->is_drain_only ? "drain" : "all",
      row->cache_flows, run->scale, (unsigned long long)seed, run->flow_count,
      (unsigned long long)run->broken, (unsigned long long)run->broken_planned,
      run->imbalance_count ? run->imbalance_sum / run->imbalance_count : 0.0,
      get_share (&run->all), (unsigned long long)run->detoured_bytes,
      get_share (&run->after_drain), get_share (&run->steady),
      flows + heartbeats + tables, flows, heartbeats, tables,
      (unsigned long long)run->registrations_max * run->scale,
      (unsigned long long)run->exceptions_max * run->scale,
      (unsigned long long)run->evictions * run->scale,
      (unsigned long long)group->newest->version);
  fflush (stdout);
}

static double
get_share (const packet_share_t *share)
{
  return share->packets ? (double)share->detoured / (double)share->packets
                        : 0.0;
}
