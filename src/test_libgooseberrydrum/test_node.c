#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "test_libgooseberrydrum/group.h"

#define NODES 6
#define SERVERS 7
#define FLOWS 120
#define SEED 20261203

/* A fault or a change that `begin` injects and `heal` reverts. */
typedef struct
{
  const char *name;
  void (*begin) (group_t *group);
  void (*heal) (group_t *group);
} fault_t;

static void
no_action (group_t *group)
{
  (void)group;
}

static uint32_t
pick_instance (group_t *group)
{
  return group_random_node (group);
}

static void
crash_instance (group_t *group)
{
  group_crash_node (group, pick_instance (group));
}

static void
replace_instance (group_t *group)
{
  group_leave_node (group, pick_instance (group));
  group_start_node (group);
}

/* Index of a server that is READY, or GROUP_SERVERS. */
static uint32_t
pick_server (group_t *group)
{
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      if (group->servers[i].state == GBD_BACKEND_READY)
        return i;
    }
  return GROUP_SERVERS;
}

static void
drain_server (group_t *group)
{
  group_drain_server (group, pick_server (group));
}

static void
add_server (group_t *group)
{
  group_add_server (group);
}

static void
kill_server (group_t *group)
{
  group_kill_server (group, pick_server (group));
}

/* Drain a server and return as soon as the table that announces the moves was
   written, before the instances have installed it. */
static void
drain_until_announced (group_t *group)
{
  uint64_t version = group->object_version;
  group_drain_server (group, pick_server (group));
  for (int i = 0; i < 100 && group->object_version == version; i++)
    group_run (group, 10);
}

static void
partition_zone (group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    {
      if (i % 4 == 1)
        {
          group->nodes[i].partition = 1;
          group->nodes[i].reaches_platform = false;
        }
    }
}

static void
heal_partition (group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    {
      group->nodes[i].partition = 0;
      group->nodes[i].reaches_platform = true;
    }
  for (uint32_t i = NODES; i < group->node_count; i++)
    if (group->nodes[i].is_alive)
      group_link_node (group, i);
}

/* Cut the links between two partitions of different sizes that both still
   reach the platform. */
static void
split_unevenly (group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    group->nodes[i].partition = i % 4 == 1;
}

/* Cut the links between two halves that both still reach the platform. */
static void
split_in_halves (group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    group->nodes[i].partition = i % 2;
}

static void
platform_down (group_t *group)
{
  group_set_platform_down (group, true);
}

static void
platform_up (group_t *group)
{
  group_set_platform_down (group, false);
}

static void
lose_responses (group_t *group)
{
  group->loses_responses = true;
}

static void
deliver_responses (group_t *group)
{
  group->loses_responses = false;
}

static void
delay_and_duplicate_messages (group_t *group)
{
  group->duplicate_percent = 20;
  group->delayed_percent = 20;
}

static void
deliver_messages_normally (group_t *group)
{
  group->duplicate_percent = 0;
  group->delayed_percent = 0;
}

static void
pause_node (group_t *group)
{
  group->nodes[pick_instance (group)].is_paused = true;
}

static void
resume_nodes (group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    group->nodes[i].is_paused = false;
}

static const fault_t faults[] = {
  { "instance crash", crash_instance, no_action },
  { "instance replaced", replace_instance, no_action },
  { "drain", drain_server, no_action },
  { "server joins", add_server, no_action },
  { "server dies", kill_server, no_action },
  { "drain just announced", drain_until_announced, no_action },
  { "zone partitioned", partition_zone, heal_partition },
  { "links split unevenly", split_unevenly, heal_partition },
  { "links split in halves", split_in_halves, heal_partition },
  { "platform down", platform_down, platform_up },
  { "responses lost", lose_responses, deliver_responses },
  { "messages late and repeated", delay_and_duplicate_messages,
    deliver_messages_normally },
  { "instance paused", pause_node, resume_nodes },
};
#define FAULT_COUNT (sizeof faults / sizeof faults[0])

/* Send traffic: per round one new flow, whose opening packet is retransmitted
   through a second instance, and eight later packets of random flows. */
static void
send_traffic (group_t *group, uint32_t rounds)
{
  for (uint32_t round = 0; round < rounds; round++)
    {
      uint32_t opened = group->flow_count;
      if (opened < GROUP_FLOWS - 8)
        {
          uint32_t flow = group_open (group);
          if (flow < GROUP_FLOWS)
            group_retransmit_opening (group, flow, group_random_node (group));
        }
      for (int i = 0; i < 8; i++)
        {
          uint32_t flow = group_random (group, group->flow_count);
          if (group->flows[flow].server)
            group_send_packet (group, flow, group_random_node (group));
        }
      group_run (group, 100);
    }
}

static bool
is_server_gone (const group_t *group, gbd_backend_id_t id)
{
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      if (group->servers[i].id == id)
        return group->servers[i].state == GBD_BACKEND_GONE;
    }
  return true;
}

/* Whether all flows still reach their servers and the group has converged.
   Prints the counts if not. */
static bool
are_flows_intact (group_t *group, const char *first, const char *second)
{
  uint32_t unreachable_flows = 0;
  for (uint32_t i = 0; i < group->flow_count; i++)
    {
      const group_flow_t *flow = &group->flows[i];
      if (!flow->server || is_server_gone (group, flow->server))
        continue;
      unreachable_flows += !group_send_packet_retrying (group, i, 40);
    }
  bool is_converged = group_is_converged (group);
  if (!unreachable_flows && !group->misrouted_packets
      && !group->duplicate_servers && !group->version_decreases
      && !group->draining_server_flows && is_converged)
    return true;
  print_error ("%s, then %s: unreachable flows %u, misrouted packets %u, "
               "duplicate servers %u, version decreases %u, converged %d, "
               "new flows on draining servers %u\n",
               first, second, unreachable_flows, group->misrouted_packets,
               group->duplicate_servers, group->version_decreases,
               is_converged, group->draining_server_flows);
  return false;
}

static bool
run_fault_pair (const fault_t *first, const fault_t *second, uint32_t seed)
{
  group_t *group = group_new (NODES, SERVERS, GBD_PARTITION_KNOWN, seed);
  assert_non_null (group);
  for (int i = 0; i < FLOWS; i++)
    assert_true (group_open (group) < GROUP_FLOWS);
  /* Let every instance see most flows, as with a fabric that spreads packets
     over the group. */
  for (uint32_t flow = 0; flow < group->flow_count; flow++)
    for (int i = 0; i < 4; i++)
      group_send_packet (group, flow, group_random_node (group));

  first->begin (group);
  send_traffic (group, 3);
  second->begin (group);
  send_traffic (group, 50);
  first->heal (group);
  second->heal (group);
  send_traffic (group, 50);
  bool is_intact = are_flows_intact (group, first->name, second->name);
  group_delete (group);
  return is_intact;
}

static void
each_pair_of_faults_keeps_flows_intact (void **state)
{
  (void)state;
  uint32_t failed_pairs = 0;
  for (size_t i = 0; i < FAULT_COUNT; i++)
    for (size_t j = 0; j < FAULT_COUNT; j++)
      failed_pairs += !run_fault_pair (&faults[i], &faults[j],
                                       (uint32_t)(SEED + i * FAULT_COUNT + j));
  assert_int_equal (failed_pairs, 0);
}

/* After a drain, all buckets must become STABLE again, and no registrations
   may remain. */
static void
drain_ends_without_registrations (void **state)
{
  (void)state;
  group_t *group = group_new (NODES, SERVERS, GBD_PARTITION_KNOWN, SEED);
  assert_non_null (group);
  for (int i = 0; i < FLOWS; i++)
    assert_true (group_open (group) < GROUP_FLOWS);
  group_drain_server (group, 2);
  send_traffic (group, 300);
  for (uint32_t i = 0; i < NODES; i++)
    {
      const gbd_table_t *table = group_table (group, i);
      for (uint32_t b = 0; b < table->bucket_count; b++)
        {
          assert_int_equal (table->buckets[b].phase, GBD_BUCKET_STABLE);
          assert_int_not_equal (table->buckets[b].to, 2);
        }
      gbd_engine_stats_t stats;
      gbd_engine_get_stats (group->nodes[i].engine, &stats);
      assert_int_equal (stats.registrations, 0);
    }
  assert_true (are_flows_intact (group, "drain", "nothing"));
  group_delete (group);
}

/* The response to an opening packet is lost, a drain begins, and the caller
   retransmits the packet one second later through another instance.  It must
   reach the same server. */
static void
retransmitted_opening_during_a_drain (void **state)
{
  (void)state;
  for (uint32_t drain_ms = 0; drain_ms < 1000; drain_ms += 100)
    {
      group_t *group = group_new (NODES, SERVERS, GBD_PARTITION_KNOWN, SEED);
      assert_non_null (group);
      for (int i = 0; i < FLOWS; i++)
        assert_true (group_open (group) < GROUP_FLOWS);
      group_run (group, drain_ms);
      group_drain_server (group, 3);
      group_run (group, 1000 - drain_ms);
      for (uint32_t flow = 0; flow < FLOWS; flow++)
        group_retransmit_opening (group, flow, group_random_node (group));
      group_run (group, 2000);
      for (uint32_t flow = 0; flow < FLOWS; flow++)
        group_retransmit_opening (group, flow, group_random_node (group));
      assert_int_equal (group->duplicate_servers, 0);
      send_traffic (group, 20);
      assert_int_equal (group->draining_server_flows, 0);
      group_delete (group);
    }
}

/* An instance that is partitioned from its group since its start, but reaches
   the platform, must not treat all other members as failed and replace the
   roster. */
static void
partitioned_instance_cannot_replace_the_roster (void **state)
{
  (void)state;
  group_t *group = group_new (NODES, SERVERS, GBD_PARTITION_KNOWN, SEED);
  assert_non_null (group);
  group->nodes[group->node_count].partition = 1;
  uint32_t partitioned = group_start_node (group);
  uint64_t version = group->object_version;
  group_run (group, 15000);
  assert_int_equal (group->object_version, version);
  const gbd_table_t *table = group_table (group, 0);
  assert_int_equal (table->roster_count, NODES);
  assert_false (gbd_table_has_member (table, group->nodes[partitioned].id));

  group->nodes[partitioned].partition = 0;
  group_link_node (group, partitioned);
  group_run (group, 5000);
  assert_true (gbd_node_is_joined (group->nodes[partitioned].node));
  assert_true (group_is_converged (group));
  group_delete (group);
}

/* With arguments FIRST SECOND [SEED], run only that pair of faults. */
int
main (int argc, char **argv)
{
  if (argc >= 3)
    {
      uint32_t i = (uint32_t)atoi (argv[1]) % FAULT_COUNT;
      uint32_t j = (uint32_t)atoi (argv[2]) % FAULT_COUNT;
      uint32_t seed = SEED + i * (uint32_t)FAULT_COUNT + j;
      if (argc > 3)
        seed = (uint32_t)strtoul (argv[3], NULL, 10);
      return run_fault_pair (&faults[i], &faults[j], seed) ? 0 : 1;
    }
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (drain_ends_without_registrations),
    cmocka_unit_test (retransmitted_opening_during_a_drain),
    cmocka_unit_test (partitioned_instance_cannot_replace_the_roster),
    cmocka_unit_test (each_pair_of_faults_keeps_flows_intact),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
