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

/* A failure or a change, brought about at once; undone by its `heal`. */
typedef struct
{
  const char *name;
  void (*begin) (group_t *group);
  void (*heal) (group_t *group);
} fault_t;

static void
nothing (group_t *group)
{
  (void)group;
}

static uint32_t
pick_node (group_t *group)
{
  return group_any_node (group);
}

static void
crash (group_t *group)
{
  group_crash_node (group, pick_node (group));
}

static void
replace (group_t *group)
{
  group_leave_node (group, pick_node (group));
  group_start_node (group);
}

/* A server that can still drain or die, or GROUP_SERVERS. */
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
drain (group_t *group)
{
  group_drain_server (group, pick_server (group));
}

static void
join (group_t *group)
{
  group_add_server (group);
}

static void
kill_server (group_t *group)
{
  group_kill_server (group, pick_server (group));
}

/* A change whose table is announced but not yet in force. */
static void
change_in_mid_announce (group_t *group)
{
  uint64_t version = group->object_version;
  group_drain_server (group, pick_server (group));
  for (int i = 0; i < 100 && group->object_version == version; i++)
    group_run (group, 10);
}

static void
cut_zone (group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    {
      if (i % 4 == 1)
        {
          group->nodes[i].side = 1;
          group->nodes[i].has_platform = false;
        }
    }
}

static void
heal_zone (group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    {
      group->nodes[i].side = 0;
      group->nodes[i].has_platform = true;
    }
  for (uint32_t i = NODES; i < group->node_count; i++)
    if (group->nodes[i].is_alive)
      group_link_node (group, i);
}

/* The links are cut, but both parts still reach the platform. */
static void
split_unevenly (group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    group->nodes[i].side = i % 4 == 1;
}

static void
split_in_halves (group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    group->nodes[i].side = i % 2;
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
lose_answers (group_t *group)
{
  group->loses_answers = true;
}

static void
keep_answers (group_t *group)
{
  group->loses_answers = false;
}

static void
disturb_messages (group_t *group)
{
  group->repeat_percent = 20;
  group->late_percent = 20;
}

static void
calm_messages (group_t *group)
{
  group->repeat_percent = 0;
  group->late_percent = 0;
}

static void
pause_node (group_t *group)
{
  group->nodes[pick_node (group)].is_paused = true;
}

static void
resume_nodes (group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    group->nodes[i].is_paused = false;
}

static const fault_t faults[] = {
  { "instance crash", crash, nothing },
  { "instance replaced", replace, nothing },
  { "drain", drain, nothing },
  { "server joins", join, nothing },
  { "server dies", kill_server, nothing },
  { "change in mid-announce", change_in_mid_announce, nothing },
  { "zone cut off", cut_zone, heal_zone },
  { "links split unevenly", split_unevenly, heal_zone },
  { "links split in halves", split_in_halves, heal_zone },
  { "platform down", platform_down, platform_up },
  { "answers lost", lose_answers, keep_answers },
  { "messages late and repeated", disturb_messages, calm_messages },
  { "instance paused", pause_node, resume_nodes },
};
#define FAULT_COUNT (sizeof faults / sizeof faults[0])

/* Traffic of one moment: new flows, repeated opening packets at two
   instances, and later packets at any. */
static void
exercise (group_t *group, uint32_t rounds)
{
  for (uint32_t round = 0; round < rounds; round++)
    {
      uint32_t opened = group->flow_count;
      if (opened < GROUP_FLOWS - 8)
        {
          uint32_t flow = group_open (group);
          if (flow < GROUP_FLOWS)
            group_open_again (group, flow, group_any_node (group));
        }
      for (int i = 0; i < 8; i++)
        {
          uint32_t flow = group_random (group, group->flow_count);
          if (group->flows[flow].server)
            group_send (group, flow, group_any_node (group));
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

/* Whether all held; prints what did not. */
static bool
is_promise_kept (group_t *group, const char *first, const char *second)
{
  uint32_t stuck = 0;
  for (uint32_t i = 0; i < group->flow_count; i++)
    {
      const group_flow_t *flow = &group->flows[i];
      if (!flow->server || is_server_gone (group, flow->server))
        continue;
      stuck += !group_send_retrying (group, i, 40);
    }
  bool is_converged = group_is_converged (group);
  if (!stuck && !group->wrong_server && !group->second_server
      && !group->fallen_version && !group->work_while_draining && is_converged)
    return true;
  print_error ("%s, then %s: stuck %u, wrong %u, second %u, fallen %u, "
               "converged %d, work while draining %u\n",
               first, second, stuck, group->wrong_server, group->second_server,
               group->fallen_version, is_converged,
               group->work_while_draining);
  return false;
}

static bool
run_pair (const fault_t *first, const fault_t *second, uint32_t seed)
{
  group_t *group = group_new (NODES, SERVERS, GBD_CUT_OFF_KNOWN, seed);
  assert_non_null (group);
  for (int i = 0; i < FLOWS; i++)
    assert_true (group_open (group) < GROUP_FLOWS);
  /* Every instance has seen most flows by now, as with any fabric that
     sprays. */
  for (uint32_t flow = 0; flow < group->flow_count; flow++)
    for (int i = 0; i < 4; i++)
      group_send (group, flow, group_any_node (group));

  first->begin (group);
  exercise (group, 3);
  second->begin (group);
  exercise (group, 50);
  first->heal (group);
  second->heal (group);
  exercise (group, 50);
  bool is_kept = is_promise_kept (group, first->name, second->name);
  group_delete (group);
  return is_kept;
}

static void
each_fault_with_each_other (void **state)
{
  (void)state;
  uint32_t broken = 0;
  for (size_t i = 0; i < FAULT_COUNT; i++)
    for (size_t j = 0; j < FAULT_COUNT; j++)
      broken += !run_pair (&faults[i], &faults[j],
                           (uint32_t)(SEED + i * FAULT_COUNT + j));
  assert_int_equal (broken, 0);
}

/* After a drain the moved buckets become stable again, and no registration
   is left. */
static void
drain_ends_without_registrations (void **state)
{
  (void)state;
  group_t *group = group_new (NODES, SERVERS, GBD_CUT_OFF_KNOWN, SEED);
  assert_non_null (group);
  for (int i = 0; i < FLOWS; i++)
    assert_true (group_open (group) < GROUP_FLOWS);
  group_drain_server (group, 2);
  exercise (group, 300);
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
  assert_true (is_promise_kept (group, "drain", "nothing"));
  group_delete (group);
}

/* An opening packet whose answer was lost is repeated one second later at
   another instance, while a drain begins in between. */
static void
repeated_opening_meets_a_drain (void **state)
{
  (void)state;
  for (uint32_t moment = 0; moment < 1000; moment += 100)
    {
      group_t *group = group_new (NODES, SERVERS, GBD_CUT_OFF_KNOWN, SEED);
      assert_non_null (group);
      for (int i = 0; i < FLOWS; i++)
        assert_true (group_open (group) < GROUP_FLOWS);
      group_run (group, moment);
      group_drain_server (group, 3);
      group_run (group, 1000 - moment);
      for (uint32_t flow = 0; flow < FLOWS; flow++)
        group_open_again (group, flow, group_any_node (group));
      group_run (group, 2000);
      for (uint32_t flow = 0; flow < FLOWS; flow++)
        group_open_again (group, flow, group_any_node (group));
      assert_int_equal (group->second_server, 0);
      exercise (group, 20);
      assert_int_equal (group->work_while_draining, 0);
      group_delete (group);
    }
}

/* An instance that starts cut off from its group, but not from the platform,
   cannot take the silence of all others for their end. */
static void
stranger_cannot_take_the_roster_over (void **state)
{
  (void)state;
  group_t *group = group_new (NODES, SERVERS, GBD_CUT_OFF_KNOWN, SEED);
  assert_non_null (group);
  group->nodes[group->node_count].side = 1;
  uint32_t stranger = group_start_node (group);
  uint64_t version = group->object_version;
  group_run (group, 15000);
  assert_int_equal (group->object_version, version);
  const gbd_table_t *table = group_table (group, 0);
  assert_int_equal (table->roster_count, NODES);
  assert_false (gbd_table_has_member (table, group->nodes[stranger].id));

  group->nodes[stranger].side = 0;
  group_link_node (group, stranger);
  group_run (group, 5000);
  assert_true (gbd_node_is_joined (group->nodes[stranger].node));
  assert_true (group_is_converged (group));
  group_delete (group);
}

/* With two numbers and perhaps a seed, run that pair of faults alone. */
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
      return run_pair (&faults[i], &faults[j], seed) ? 0 : 1;
    }
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (drain_ends_without_registrations),
    cmocka_unit_test (repeated_opening_meets_a_drain),
    cmocka_unit_test (stranger_cannot_take_the_roster_over),
    cmocka_unit_test (each_fault_with_each_other),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
