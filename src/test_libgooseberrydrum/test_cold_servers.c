/* Cold backend servers at instances: placement, director and pool. */
#include "director_fixture.h"

#include <stdlib.h>

#define RATE 10.0
#define OVERSHOOT 1.5
#define SLACK 5.0
#define BUDGET 20
#define WARM_UP (4 * GBD_SECOND)
#define HASH_BEFORE 0x456d04f9863e838eu

static gbd_routes_t *
make_limited_routes (uint64_t version, double rate)
{
  gbd_routes_t *routes = make_routes (version, "web");
  gbd_warm_up_limits_t limits
      = { .duration = WARM_UP, .rate = rate, .name = "web" };
  assert_int_equal (
      gbd_routes_set_warm_up (routes, gbd_id_from_name ("web"), &limits),
      GBD_OK);
  return routes;
}

static gbd_director_t *
make_limited_director (const char *zone, gbd_instance_id_t instance,
                       double overshoot, double rate)
{
  gbd_director_settings_t settings
      = { .zone = gbd_zone_from_name (zone),
          .flow_capacity = FLOWS,
          .warm_up
          = { .instance = instance, .overshoot = overshoot, .slack = SLACK } };
  gbd_director_t *director = gbd_director_new (&settings);
  assert_non_null (director);
  gbd_director_set_key (director, KEY);
  assert_int_equal (
      gbd_director_set_routes (director, make_limited_routes (1, rate)),
      GBD_OK);
  return director;
}

static void
list_servers (gbd_director_t *director, uint32_t count, const char *zones,
              gbd_time_t warm_at)
{
  gbd_pool_t *pool = gbd_director_get_pool (director);
  gbd_pool_begin_listing (pool);
  for (uint32_t i = 0; i < count; i++)
    {
      char zone[2] = { zones[i % strlen (zones)] };
      gbd_pool_entry_t entry = make_entry (i + 1, "web", zone);
      entry.warm_at = warm_at;
      put_entry (director, &entry, START);
    }
  gbd_pool_end_listing (pool, START);
}

/* Runs the periodic work of a process that is not paused. */
static void
run_ticks (gbd_director_t *director, gbd_time_t from, gbd_time_t to)
{
  for (gbd_time_t now = from; now <= to; now += 100 * GBD_MILLISECOND)
    gbd_director_tick (director, now);
}

/* Feeds opening packets, copies, duplicates and removals to a director, and
   returns a hash of its decisions. */
static uint64_t
hash_decisions (double overshoot, double rate)
{
  gbd_director_t *director = make_limited_director ("a", 7, overshoot, rate);
  list_servers (director, 6, "ab", START + WARM_UP);
  uint64_t hash = 1;
  gbd_time_t now = START;
  for (uint32_t i = 0; i < 2000; i++, now += 2 * GBD_MILLISECOND)
    {
      if (i % 50 == 0)
        gbd_director_tick (director, now);
      gbd_packet_t packet
          = make_packet (GBD_PACKET_OPENING, (uint16_t)(1000 + i / 3));
      packet.acknowledgment = i % 3 == 2;
      gbd_director_decision_t decision = route_packet (director, &packet, now);
      hash = gbd_rendezvous_weight (hash, decision.server)
             ^ (uint64_t)(decision.kind << 8 | decision.rule);
      assert_false (gbd_director_has_sent_to_cold (director));
      if (i % 400 == 399)
        gbd_pool_remove (gbd_director_get_pool (director), 1 + i / 400, now);
    }
  gbd_director_stats_t stats;
  gbd_director_get_stats (director, &stats);
  assert_int_equal (stats.cold_packets + stats.cold_resets + stats.cold_drops,
                    0);
  gbd_director_delete (director);
  return hash;
}

/* Guards against other decisions at deployments without a figure.  The
   expected hash was computed with the sources before the limit existed. */
static void
decisions_without_a_figure_are_the_same_as_before (void **state)
{
  (void)state;
  assert_int_equal (hash_decisions (0, 0), HASH_BEFORE);
  assert_int_equal (hash_decisions (0, RATE), HASH_BEFORE);
  assert_int_equal (hash_decisions (OVERSHOOT, 0), HASH_BEFORE);
}

/* Finds an instance that takes part for server 1. */
static gbd_director_t *
make_participant (double rate)
{
  for (gbd_instance_id_t instance = 1;; instance++)
    {
      gbd_director_t *director
          = make_limited_director ("a", instance, OVERSHOOT, rate);
      gbd_warm_up_share_t share
          = gbd_director_get_warm_up (director, gbd_id_from_name ("web"), 0);
      if (gbd_warm_up_takes_part (&share, 1))
        return director;
      gbd_director_delete (director);
    }
}

/* Guards against a caller that waits for its time-out, and against a reset of
   a flow that may be opening. */
static void
packet_without_budget_is_reset_and_its_copy_dropped (void **state)
{
  (void)state;
  gbd_director_t *director = make_participant (RATE);
  list_servers (director, 1, "a", START + WARM_UP);
  gbd_director_tick (director, START);
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  /* The instance may have sent a packet just before it was restarted. */
  gbd_director_decision_t decision = route_packet (director, &packet, START);
  assert_int_equal (decision.kind, GBD_ACTION_RESET);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_NO_SERVER);

  gbd_time_t now = START + GBD_WARM_UP_INTERVAL;
  run_ticks (director, START, now);
  decision = route_packet (director, &packet, now);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_PLACED);
  assert_true (decision.is_to_cold);
  now += 100 * GBD_MILLISECOND;
  decision = route_packet (director, &packet, now);
  assert_int_equal (decision.kind, GBD_ACTION_DROP);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_SAME);
  packet.acknowledgment = 1;
  decision = route_packet (director, &packet, now);
  assert_int_equal (decision.kind, GBD_ACTION_DROP);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_NO_SERVER);
  /* Another instance may have forwarded the first transmission. */
  packet = make_packet (GBD_PACKET_OPENING, 2);
  packet.acknowledgment = 2;
  assert_int_equal (route_packet (director, &packet, now).kind,
                    GBD_ACTION_DROP);
  packet.acknowledgment = 0;
  assert_int_equal (route_packet (director, &packet, now).kind,
                    GBD_ACTION_RESET);
  gbd_director_stats_t stats;
  gbd_director_get_stats (director, &stats);
  assert_int_equal (stats.cold_packets, 1);
  assert_int_equal (stats.cold_resets, 2);
  assert_int_equal (stats.cold_drops, 3);
  gbd_director_delete (director);
}

/* Guards against a reset of an open flow by a late duplicate of its opening
   packet. */
static void
late_duplicate_of_an_open_flow_is_dropped (void **state)
{
  (void)state;
  gbd_director_t *director = make_participant (RATE);
  list_servers (director, 1, "a", START + WARM_UP);
  gbd_director_tick (director, START);
  gbd_time_t now = START + GBD_WARM_UP_INTERVAL;
  open_flow (director, 1, now);
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  assert_int_equal (
      route_packet (director, &packet, now + GBD_SECOND / 2).kind,
      GBD_ACTION_DROP);
  gbd_director_delete (director);
}

/* Guards against a duplicate that is not counted: it starts the interval
   again. */
static void
duplicate_counts (void **state)
{
  (void)state;
  gbd_director_t *director = make_participant (RATE);
  list_servers (director, 1, "a", START + WARM_UP);
  gbd_director_tick (director, START);
  gbd_time_t now = START + GBD_WARM_UP_INTERVAL;
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  route_packet (director, &packet, now);
  now += GBD_WARM_UP_INTERVAL;
  gbd_director_decision_t decision = route_packet (director, &packet, now);
  assert_int_equal (decision.kind, GBD_ACTION_BACKEND);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_SAME);
  packet = make_packet (GBD_PACKET_OPENING, 2);
  run_ticks (director, START, now + GBD_SECOND);
  assert_int_equal (route_packet (director, &packet, now + GBD_SECOND).kind,
                    GBD_ACTION_RESET);
  gbd_director_delete (director);
}

/* The process is frozen between decision and transmission.  Guards against two
   packets within a second on the wire. */
static void
interval_starts_at_the_transmission (void **state)
{
  (void)state;
  gbd_director_t *director = make_participant (RATE);
  list_servers (director, 1, "a", START + WARM_UP);
  gbd_director_tick (director, START);
  gbd_time_t now = START + GBD_WARM_UP_INTERVAL;
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  route_packet (director, &packet, now);
  assert_true (gbd_director_has_sent_to_cold (director));
  gbd_time_t sent_at = now + 900 * GBD_MILLISECOND;
  gbd_director_record_transmission (director, sent_at);
  assert_false (gbd_director_has_sent_to_cold (director));
  packet = make_packet (GBD_PACKET_OPENING, 2);
  run_ticks (director, sent_at, sent_at + GBD_SECOND);
  assert_int_equal (
      route_packet (director, &packet, sent_at + GBD_SECOND).kind,
      GBD_ACTION_RESET);
  assert_int_equal (
      route_packet (director, &packet, sent_at + GBD_WARM_UP_INTERVAL).kind,
      GBD_ACTION_BACKEND);
  gbd_director_delete (director);
}

/* Guards against a server that has restarted before its entry says so, and
   against servers that count as cold because the instance has just started. */
static void
server_that_may_have_restarted_is_cold (void **state)
{
  (void)state;
  gbd_director_t *director = make_limited_director ("a", 1, OVERSHOOT, RATE);
  gbd_pool_t *pool = gbd_director_get_pool (director);
  list_servers (director, 4, "a", 0);
  gbd_time_t now = START + GBD_SECOND;
  for (gbd_pool_handle_t i = 0; i < 4; i++)
    assert_false (gbd_pool_is_cold (gbd_pool_peek (pool, i), WARM_UP, now));

  gbd_pool_entry_t entry = make_entry (5, "web", "a"); /* listed later */
  put_entry (director, &entry, now);
  gbd_pool_remove (pool, 1, now); /* removed, then listed again */
  assert_true (gbd_pool_is_cold (gbd_pool_peek (pool, 0), WARM_UP, now));
  entry = make_entry (1, "web", "a");
  put_entry (director, &entry, now);
  entry = make_entry (2, "web", "a"); /* restarted under its identifier */
  entry.start_time_ms = 2;
  put_entry (director, &entry, now);
  gbd_suspicion_t *suspicion = &gbd_pool_get (pool, 2)->load.suspicion;
  gbd_suspicion_record_failure (suspicion, now, now);
  gbd_suspicion_record_probe (suspicion, GBD_PROBE_REFUSED, now, now);
  assert_true (gbd_pool_is_cold (gbd_pool_peek (pool, 2), WARM_UP, now));
  gbd_suspicion_record_response (suspicion, now);
  gbd_time_t end = now + WARM_UP;
  for (gbd_pool_handle_t i = 0; i < 5; i++)
    {
      const gbd_pool_server_t *server = gbd_pool_peek (pool, i);
      assert_int_equal (gbd_pool_is_cold (server, WARM_UP, end - 1), i != 3);
      assert_false (gbd_pool_is_cold (server, WARM_UP, end));
    }
  gbd_director_delete (director);
}

/* Guards against flows on cold servers while warm ones have free slots, and
   against a queue at warm ones while a cold one has budget. */
static void
warm_servers_come_first_while_they_have_free_slots (void **state)
{
  (void)state;
  gbd_director_t *director = make_participant (RATE);
  gbd_pool_t *pool = gbd_director_get_pool (director);
  list_servers (director, 2, "ab", 0);
  gbd_pool_entry_t entry = make_entry (1, "web", "a");
  entry.warm_at = START + WARM_UP;
  put_entry (director, &entry, START);
  gbd_director_tick (director, START);
  gbd_time_t now = START + GBD_WARM_UP_INTERVAL;
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  gbd_director_decision_t decision;
  gbd_director_route (director, &packet, now, &decision);
  assert_int_equal (get_backend_id (director, &decision), 2);
  gbd_pool_get (pool, 1)->load.waiting = 2;
  gbd_director_route (director, &packet, now, &decision);
  assert_int_equal (get_backend_id (director, &decision), 1);
  /* One of two instances knows half of the flows. */
  gbd_pool_get (pool, 1)->load.waiting = 1;
  gbd_director_set_group (director, &(gbd_group_view_t){ .total = 2 });
  gbd_director_route (director, &packet, now, &decision);
  assert_int_equal (get_backend_id (director, &decision), 1);
  gbd_director_delete (director);
}

/* Windows outlast a shortage.  Guards against cold servers that get flows for
   as long, although warm ones have free slots again. */
static void
warm_servers_come_first_after_a_shortage (void **state)
{
  (void)state;
  gbd_director_t *director = make_participant (RATE);
  list_servers (director, 2, "ab", 0);
  gbd_director_tick (director, START);
  gbd_time_t now = make_room_short (director, START);
  gbd_pool_entry_t entry = make_entry (1, "web", "a");
  entry.warm_at = now + GBD_ROOM_SPREAD_TIME;
  put_entry (director, &entry, now);
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  gbd_director_decision_t decision;
  now += GBD_ROOM_HOLD_TIME - GBD_SECOND;
  gbd_director_route (director, &packet, now, &decision);
  assert_int_equal (get_backend_id (director, &decision), 1);
  now += 2 * GBD_SECOND;
  assert_true (gbd_room_was_short (gbd_director_peek_room (director),
                                   gbd_id_from_name ("web"), now));
  gbd_director_route (director, &packet, now, &decision);
  assert_int_equal (get_backend_id (director, &decision), 2);
  gbd_director_delete (director);
}

#define ZONES 3
#define INSTANCES 9
#define SERVERS 30
#define FLOW_TIME (50 * GBD_MILLISECOND)
#define STEP (GBD_MILLISECOND / 2)
#define RING 128 /* flows in progress at one instance, at most */

typedef struct
{
  gbd_packet_t packet;
  gbd_time_t end;
} busy_flow_t;

/* Instances in three zones, and what happened to their flows. */
typedef struct
{
  gbd_director_t *directors[INSTANCES];
  busy_flow_t flows[INSTANCES][RING];
  uint32_t flow_heads[INSTANCES];
  uint32_t flow_tails[INSTANCES];
  bool is_cold[SERVERS]; /* until warm_at */
  gbd_time_t warm_at;
  gbd_time_t *cold_times[SERVERS]; /* opening packets while cold */
  uint32_t cold_counts[SERVERS];
  uint32_t late_counts[SERVERS]; /* opening packets after warm_at */
  uint32_t resets;
  uint32_t drops;
  uint32_t placed;
  uint32_t max_waiting; /* at a warm server */
  uint32_t next_port;
  uint64_t random;
} group_of_instances_t;

#define COLD_TIMES_MAX 4000

/* Opens one flow at an instance. */
static void
open_one (group_of_instances_t *group, uint32_t index, gbd_time_t now)
{
  gbd_director_t *director = group->directors[index];
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 0);
  packet.flow.caller.port = (uint16_t)(1024 + group->next_port % 60000);
  packet.flow.caller.ip[2] = (uint8_t)(group->next_port++ / 60000);
  gbd_director_decision_t decision = route_packet (director, &packet, now);
  group->resets += decision.kind == GBD_ACTION_RESET;
  group->drops += decision.kind == GBD_ACTION_DROP;
  if (decision.kind != GBD_ACTION_BACKEND)
    return;
  group->placed++;
  size_t server = (size_t)get_backend_id (director, &decision) - 1;
  if (now >= group->warm_at)
    group->late_counts[server]++;
  else if (group->is_cold[server]
           && group->cold_counts[server] < COLD_TIMES_MAX)
    group->cold_times[server][group->cold_counts[server]++] = now;
  uint32_t waiting = 0;
  for (uint32_t i = 0; i < INSTANCES; i++)
    waiting += gbd_pool_get (gbd_director_get_pool (group->directors[i]),
                             decision.server)
                   ->load.waiting;
  if (!group->is_cold[server] && waiting > group->max_waiting)
    group->max_waiting = waiting;
  packet.kind = GBD_PACKET_CLOSING;
  packet.cookie = decision.cookie;
  packet.sequence++;
  group->flows[index][group->flow_tails[index]++ % RING]
      = (busy_flow_t){ packet, now + FLOW_TIME };
  assert_true (group->flow_tails[index] - group->flow_heads[index] < RING);
}

static void
end_flows (group_of_instances_t *group, uint32_t index, gbd_time_t now)
{
  while (group->flow_heads[index] < group->flow_tails[index])
    {
      busy_flow_t *flow
          = &group->flows[index][group->flow_heads[index] % RING];
      if (flow->end > now)
        return;
      route_packet (group->directors[index], &flow->packet, now);
      group->flow_heads[index]++;
    }
}

/* Runs a group for a time with a rate of new flows, in per mille of one flow
   a step. */
static void
run_group (group_of_instances_t *group, uint32_t rate, gbd_time_t from,
           gbd_time_t duration)
{
  for (gbd_time_t now = from; now < from + duration; now += STEP)
    {
      for (uint32_t i = 0; i < INSTANCES; i++)
        {
          end_flows (group, i, now);
          if ((now - START) % (100 * GBD_MILLISECOND) == 0)
            gbd_director_tick (group->directors[i], now);
        }
      group->random = gbd_rendezvous_weight (group->random, 1);
      if (group->random % 1000 < rate)
        open_one (group, (uint32_t)(group->random >> 32) % INSTANCES, now);
    }
}

/* Makes a group that has known its size for a while.
   @param cold_zones zones whose servers are cold until warm_at */
static group_of_instances_t *
make_group (const char *cold_zones, gbd_time_t warm_at)
{
  static const char *const zones[ZONES] = { "a", "b", "c" };
  group_of_instances_t *group = calloc (1, sizeof *group);
  assert_non_null (group);
  group->warm_at = warm_at;
  for (uint32_t i = 0; i < SERVERS; i++)
    {
      group->is_cold[i] = strstr (cold_zones, zones[i % ZONES]);
      group->cold_times[i] = calloc (COLD_TIMES_MAX, sizeof (gbd_time_t));
      assert_non_null (group->cold_times[i]);
    }
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "entry-%u", i);
      gbd_director_t *director = make_limited_director (
          zones[i % ZONES], gbd_id_from_name (name), OVERSHOOT, RATE);
      group->directors[i] = director;
      list_servers (director, SERVERS, "abc", 0);
      for (uint32_t j = 0; j < SERVERS; j++)
        {
          if (!strstr (cold_zones, zones[j % ZONES]))
            continue;
          gbd_pool_entry_t entry = make_entry (j + 1, "web", zones[j % ZONES]);
          entry.warm_at = warm_at;
          put_entry (director, &entry, START);
        }
      gbd_group_view_t view = { .total = INSTANCES,
                                .zone_count = INSTANCES / ZONES,
                                .zone_rank = i / ZONES };
      gbd_director_set_group (director, &view);
      run_ticks (director, START - 20 * GBD_SECOND,
                 START - 100 * GBD_MILLISECOND);
    }
  return group;
}

static void
delete_group (group_of_instances_t *group)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    gbd_director_delete (group->directors[i]);
  for (uint32_t i = 0; i < SERVERS; i++)
    free (group->cold_times[i]);
  free (group);
}

/* The most opening packets of one cold server in any second. */
static uint32_t
find_maximum (const group_of_instances_t *group)
{
  uint32_t maximum = 0;
  for (uint32_t i = 0; i < SERVERS; i++)
    {
      uint32_t first = 0;
      for (uint32_t last = 0; last < group->cold_counts[i]; last++)
        {
          const gbd_time_t *times = group->cold_times[i];
          while (times[last] - times[first] > GBD_SECOND)
            first++;
          if (last - first + 1 > maximum)
            maximum = last - first + 1;
        }
    }
  return maximum;
}

/* Zone c returns with ten cold servers while the 40 slots of the other zones
   are all needed.  Guards against a burst at the cold servers or the others,
   and against resets. */
static void
returning_zone_is_filled_along_the_ramp (void **state)
{
  (void)state;
  gbd_time_t warm_at = START + WARM_UP;
  group_of_instances_t *group = make_group ("c", warm_at);
  /* 820 flows a second of 50 ms each: 41 slots. */
  run_group (group, 410, START, WARM_UP);
  uint32_t on_cold = 0;
  for (uint32_t i = 0; i < SERVERS; i++)
    on_cold += group->cold_counts[i];
  print_message ("on cold %u, maximum %u, resets %u, drops %u, waiting %u\n",
                 on_cold, find_maximum (group), group->resets, group->drops,
                 group->max_waiting);
  assert_in_range (find_maximum (group), 1, BUDGET);
  assert_int_equal (group->resets + group->drops, 0);
  /* At least one packet a second for each of the ten servers. */
  assert_true (on_cold >= 10 * WARM_UP / GBD_SECOND);
  assert_true (group->max_waiting <= 2 + 8); /* slots and queue */

  /* Once warm, the zone takes the flows of its callers. */
  run_group (group, 410, warm_at, GBD_SECOND);
  uint32_t late = 0;
  for (uint32_t i = 0; i < SERVERS; i++)
    late += group->is_cold[i] ? group->late_counts[i] : 0;
  assert_in_range (late, 820 / 4, 820 / 2);
  assert_int_equal (group->resets + group->drops, 0);
  delete_group (group);
}

/* All servers start at once under load.  Guards against an excess at any
   server, and against a group that serves nothing. */
static void
cold_group_serves_within_the_limit (void **state)
{
  (void)state;
  gbd_time_t warm_at = START + WARM_UP;
  group_of_instances_t *group = make_group ("abc", warm_at);
  run_group (group, 900, START, WARM_UP);
  print_message ("placed %u, maximum %u, resets %u\n", group->placed,
                 find_maximum (group), group->resets);
  assert_in_range (find_maximum (group), 1, BUDGET);
  assert_int_equal (group->drops, 0);
  assert_true (group->resets > 0);
  /* The expected number of participants is 9 * 6 / 14 for each server. */
  assert_true (group->placed >= 60 * WARM_UP / GBD_SECOND);
  delete_group (group);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (decisions_without_a_figure_are_the_same_as_before),
    cmocka_unit_test (packet_without_budget_is_reset_and_its_copy_dropped),
    cmocka_unit_test (late_duplicate_of_an_open_flow_is_dropped),
    cmocka_unit_test (duplicate_counts),
    cmocka_unit_test (interval_starts_at_the_transmission),
    cmocka_unit_test (server_that_may_have_restarted_is_cold),
    cmocka_unit_test (warm_servers_come_first_while_they_have_free_slots),
    cmocka_unit_test (warm_servers_come_first_after_a_shortage),
    cmocka_unit_test (returning_zone_is_filled_along_the_ramp),
    cmocka_unit_test (cold_group_serves_within_the_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
