#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "gooseberrydrum/membership.h"

#define NODES 8 /* two in each of four zones */
#define TICK (10 * GBD_MILLISECOND)
#define QUEUE_MAX 4096
#define SERVICE 7

typedef struct
{
  int to;
  gbd_time_t at;
  gbd_message_t message;
  gbd_progress_t progress;
} delivery_t;

/* Simulated instances with links between them and a common clock. */
typedef struct
{
  gbd_time_t now;
  gbd_membership_t *nodes[NODES];
  uint64_t versions[NODES];
  bool is_paused[NODES];
  bool is_cut[NODES][NODES]; /* from, to */
  gbd_time_t delay;
  delivery_t *queue;
  int queued;
  gbd_table_t *table;
} cluster_t;

static gbd_instance_id_t
get_instance_id (int node)
{
  return (gbd_instance_id_t)100 + (gbd_instance_id_t)node;
}

static gbd_zone_id_t
get_zone (int node)
{
  return (gbd_zone_id_t)(1 + node / 2);
}

static void
add_peer (cluster_t *cluster, int a, int b)
{
  gbd_membership_add_peer (cluster->nodes[a], get_instance_id (b),
                           get_zone (b), "peer", cluster->now);
}

static int
set_up (void **state)
{
  cluster_t *cluster = calloc (1, sizeof *cluster);
  gbd_member_t members[NODES];
  cluster->now = 1000 * GBD_SECOND;
  cluster->delay = 5 * GBD_MILLISECOND;
  cluster->queue = calloc (QUEUE_MAX, sizeof *cluster->queue);
  for (int i = 0; i < NODES; i++)
    {
      gbd_membership_settings_t settings
          = { .self = get_instance_id (i), .zone = get_zone (i) };
      cluster->nodes[i] = gbd_membership_new (&settings, cluster->now);
      cluster->versions[i] = 1;
      members[i] = (gbd_member_t){ get_instance_id (i), get_zone (i) };
    }
  for (int a = 0; a < NODES; a++)
    for (int b = 0; b < NODES; b++)
      if (a != b)
        add_peer (cluster, a, b);
  cluster->table = gbd_table_new (SERVICE, 1, NULL, 0, members, NODES);
  *state = cluster;
  return 0;
}

static int
tear_down (void **state)
{
  cluster_t *cluster = *state;
  for (int i = 0; i < NODES; i++)
    gbd_membership_delete (cluster->nodes[i]);
  gbd_table_delete (cluster->table);
  free (cluster->queue);
  free (cluster);
  return 0;
}

static void
send_heartbeat (cluster_t *cluster, int from)
{
  gbd_message_t message = { 0 };
  gbd_membership_make_heartbeat (cluster->nodes[from], cluster->now, &message);
  message.body.heartbeat.progress_count = 1;
  for (int to = 0; to < NODES; to++)
    {
      if (to == from || cluster->is_cut[from][to])
        continue;
      assert_true (cluster->queued < QUEUE_MAX);
      delivery_t *delivery = &cluster->queue[cluster->queued++];
      delivery->to = to;
      delivery->at = cluster->now + cluster->delay;
      delivery->message = message;
      delivery->progress
          = (gbd_progress_t){ .service = SERVICE,
                              .version = cluster->versions[from] };
    }
}

/* Deliver the messages that are due, in order.  Messages to paused instances
   stay queued. */
static void
deliver (cluster_t *cluster)
{
  int kept = 0;
  for (int i = 0; i < cluster->queued; i++)
    {
      delivery_t *delivery = &cluster->queue[i];
      if (delivery->at > cluster->now || cluster->is_paused[delivery->to])
        {
          cluster->queue[kept++] = *delivery;
          continue;
        }
      delivery->message.body.heartbeat.progress = &delivery->progress;
      gbd_membership_receive (cluster->nodes[delivery->to], &delivery->message,
                              cluster->now);
    }
  cluster->queued = kept;
}

static void
run (cluster_t *cluster, gbd_time_t duration)
{
  for (gbd_time_t end = cluster->now + duration; cluster->now < end;)
    {
      cluster->now += TICK;
      deliver (cluster);
      for (int i = 0; i < NODES; i++)
        if (!cluster->is_paused[i]
            && gbd_membership_is_due (cluster->nodes[i], cluster->now))
          send_heartbeat (cluster, i);
    }
}

static void
set_link_cut (cluster_t *cluster, int a, int b, bool is_cut)
{
  cluster->is_cut[a][b] = is_cut;
  cluster->is_cut[b][a] = is_cut;
}

/* Partition the first `size` instances from the rest, or heal the
   partition. */
static void
set_partition (cluster_t *cluster, int size, bool is_cut)
{
  for (int a = 0; a < size; a++)
    for (int b = size; b < NODES; b++)
      set_link_cut (cluster, a, b, is_cut);
}

static gbd_lease_t
get_lease (const cluster_t *cluster, int node)
{
  return gbd_membership_get_lease (cluster->nodes[node], cluster->table,
                                   cluster->now);
}

static bool
is_failed (const cluster_t *cluster, int observer, int node)
{
  gbd_peer_info_t info;
  assert_true (gbd_membership_find_peer (
      cluster->nodes[observer], get_instance_id (node), cluster->now, &info));
  return info.is_failed;
}

static bool
is_reachable (const cluster_t *cluster, int observer, int node)
{
  gbd_peer_info_t info;
  assert_true (gbd_membership_find_peer (
      cluster->nodes[observer], get_instance_id (node), cluster->now, &info));
  return info.is_reachable;
}

static void
connected_group_holds_leases_without_platform (void **state)
{
  cluster_t *cluster = *state;
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_NONE);
  run (cluster, GBD_SECOND);
  for (int i = 0; i < 100; i++)
    {
      run (cluster, 5 * TICK);
      for (int node = 0; node < NODES; node++)
        {
          assert_int_equal (get_lease (cluster, node), GBD_LEASE_FULL);
          for (int other = 0; other < NODES; other++)
            if (other != node)
              assert_false (is_failed (cluster, node, other));
        }
    }
}

static void
partition_by_sizes (void **state)
{
  cluster_t *cluster = *state;
  static const struct
  {
    int size; /* number of instances in the first partition */
    gbd_lease_t first;
    gbd_lease_t second;
  } rows[] = {
    { 1, GBD_LEASE_NONE, GBD_LEASE_FULL }, /* a single instance */
    { 2, GBD_LEASE_ZONE, GBD_LEASE_FULL }, /* one zone */
    { 3, GBD_LEASE_NONE, GBD_LEASE_FULL }, /* a zone and a half */
    { 4, GBD_LEASE_ZONE, GBD_LEASE_ZONE }, /* halves */
    { 5, GBD_LEASE_FULL, GBD_LEASE_NONE },
    { 6, GBD_LEASE_FULL, GBD_LEASE_ZONE },
  };
  for (size_t row = 0; row < sizeof rows / sizeof rows[0]; row++)
    {
      run (cluster, 2 * GBD_SECOND);
      set_partition (cluster, rows[row].size, true);
      run (cluster, 2 * GBD_SECOND);
      for (int i = 0; i < NODES; i++)
        assert_int_equal (get_lease (cluster, i), i < rows[row].size
                                                      ? rows[row].first
                                                      : rows[row].second);
      assert_true (is_failed (cluster, 0, NODES - 1));
      assert_true (is_failed (cluster, NODES - 1, 0));
      set_partition (cluster, rows[row].size, false);
    }
}

static void
zone_of_one_instance_gets_no_zone_lease (void **state)
{
  cluster_t *cluster = *state;
  cluster->table->roster[1]
      = cluster->table->roster[--cluster->table->roster_count];
  set_partition (cluster, 2, true);
  run (cluster, 2 * GBD_SECOND);
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_NONE);
  assert_int_equal (get_lease (cluster, 1), GBD_LEASE_NONE); /* not a member */
}

/* The coordinator depends on this order: when a member is considered failed,
   its lease has already expired. */
static void
lease_expires_before_failure_is_detected (void **state)
{
  cluster_t *cluster = *state;
  for (int offset = 0; offset < 20; offset++)
    {
      run (cluster, 2 * GBD_SECOND + offset * TICK);
      set_partition (cluster, 2, true);
      bool has_zone_failed = false;
      for (int i = 0; i < 200; i++)
        {
          run (cluster, TICK);
          if (is_failed (cluster, 7, 0))
            {
              assert_int_not_equal (get_lease (cluster, 0), GBD_LEASE_FULL);
              has_zone_failed = true;
            }
          /* While the other partition still counts as reachable, the zone does
             not count as partitioned yet. */
          if (is_reachable (cluster, 0, 7))
            assert_int_not_equal (get_lease (cluster, 0), GBD_LEASE_ZONE);
        }
      assert_true (has_zone_failed);
      set_partition (cluster, 2, false);
    }
}

static void
paused_instance_has_no_lease_when_it_resumes (void **state)
{
  cluster_t *cluster = *state;
  run (cluster, 2 * GBD_SECOND);
  cluster->is_paused[0] = true;
  run (cluster, 3 * GBD_SECOND);
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_NONE);
  assert_true (is_failed (cluster, 7, 0));
  /* The paused instance must not consider peers failed before it has read
     their queued heartbeats. */
  assert_false (is_failed (cluster, 0, 7));

  cluster->is_paused[0] = false;
  deliver (cluster);
  assert_int_not_equal (get_lease (cluster, 0), GBD_LEASE_FULL);
  run (cluster, 90 * GBD_MILLISECOND);
  assert_false (is_failed (cluster, 0, 7));
  run (cluster, GBD_SECOND);
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_FULL);
  assert_false (is_failed (cluster, 7, 0));
}

static void
resumed_instance_detects_a_failed_peer (void **state)
{
  cluster_t *cluster = *state;
  run (cluster, 2 * GBD_SECOND);
  cluster->is_paused[0] = true;
  cluster->is_paused[7] = true;
  run (cluster, 3 * GBD_SECOND);
  cluster->is_paused[0] = false;
  run (cluster, 900 * GBD_MILLISECOND);
  assert_false (is_failed (cluster, 0, 7));
  run (cluster, 200 * GBD_MILLISECOND);
  assert_true (is_failed (cluster, 0, 7));
  assert_false (is_failed (cluster, 0, 6));
}

static void
loss_of_one_link_does_not_fail_a_peer (void **state)
{
  cluster_t *cluster = *state;
  run (cluster, GBD_SECOND);
  set_link_cut (cluster, 0, 7, true);
  run (cluster, 3 * GBD_SECOND);
  assert_false (is_reachable (cluster, 0, 7));
  assert_false (is_failed (cluster, 0, 7));
  assert_false (is_failed (cluster, 7, 0));
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_FULL);
  /* Then the other peers lose their links to instance 7 as well. */
  for (int i = 1; i < 7; i++)
    set_link_cut (cluster, i, 7, true);
  run (cluster, 3 * GBD_SECOND);
  assert_true (is_failed (cluster, 0, 7));
}

static void
one_way_link_does_not_extend_the_lease (void **state)
{
  cluster_t *cluster = *state;
  run (cluster, GBD_SECOND);
  /* Instance 0 receives from all others, but nothing from it arrives. */
  for (int i = 1; i < NODES; i++)
    cluster->is_cut[0][i] = true;
  run (cluster, 3 * GBD_SECOND);
  assert_true (is_reachable (cluster, 0, 7));
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_NONE);
  assert_true (is_failed (cluster, 7, 0));
}

static void
delay_shortens_the_lease (void **state)
{
  cluster_t *cluster = *state;
  /* Acknowledged heartbeats are 600 to 800 ms old. */
  cluster->delay = 300 * GBD_MILLISECOND;
  run (cluster, 5 * GBD_SECOND);
  assert_true (is_reachable (cluster, 0, 7));
  /* Acknowledged heartbeats are older than the lease time-out. */
  cluster->delay = 400 * GBD_MILLISECOND;
  run (cluster, 5 * GBD_SECOND);
  assert_true (is_reachable (cluster, 0, 7));
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_NONE);
}

static void
peer_with_a_newer_table_does_not_extend_the_lease (void **state)
{
  cluster_t *cluster = *state;
  run (cluster, GBD_SECOND);
  for (int i = 1; i < NODES; i++)
    cluster->versions[i] = 2;
  /* Acknowledgements that the peers sent under version 1 extend the lease
     until they are older than the lease time-out. */
  run (cluster, 300 * GBD_MILLISECOND);
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_FULL);
  run (cluster, 700 * GBD_MILLISECOND);
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_ZONE);
  cluster->table->version = 2;
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_FULL);
  cluster->table->version = 3;
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_FULL);
}

static void
lease_needs_a_majority_of_both_rosters (void **state)
{
  cluster_t *cluster = *state;
  run (cluster, GBD_SECOND);
  set_partition (cluster, 3, true);
  run (cluster, 2 * GBD_SECOND);
  assert_int_equal (get_lease (cluster, 7), GBD_LEASE_FULL);
  cluster->table->roster_phase = GBD_ROSTER_JOINING;
  /* Three members of the next roster are in the other partition. */
  cluster->table->next_count = 4;
  memcpy (cluster->table->next, cluster->table->roster,
          4 * sizeof cluster->table->next[0]);
  assert_int_equal (get_lease (cluster, 7), GBD_LEASE_NONE);
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_NONE);
}

static void
platform_confirmation_extends_leases_directly_and_through_a_peer (void **state)
{
  cluster_t *cluster = *state;
  run (cluster, GBD_SECOND);
  assert_true (
      gbd_membership_get_platform_age (cluster->nodes[0], cluster->now)
      > 1000 * GBD_SECOND);
  /* 0 and 1 are partitioned from the rest; only 1 reaches the platform. */
  set_partition (cluster, 2, true);
  run (cluster, 2 * GBD_SECOND);
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_ZONE);
  for (int i = 0; i < 20; i++)
    {
      gbd_membership_confirm_platform (cluster->nodes[1],
                                       cluster->now - 20 * GBD_MILLISECOND);
      run (cluster, 100 * GBD_MILLISECOND);
      assert_int_equal (get_lease (cluster, 1), GBD_LEASE_FULL);
    }
  assert_int_equal (get_lease (cluster, 0), GBD_LEASE_FULL);
  cluster->versions[1] = 2;
  gbd_time_t requested_at = cluster->now;
  gbd_membership_confirm_platform (cluster->nodes[1], requested_at);
  run (cluster, 700 * GBD_MILLISECOND);
  assert_int_equal (get_lease (cluster, 0),
                    GBD_LEASE_ZONE); /* 0 holds version 1 */
  gbd_time_t age
      = gbd_membership_get_platform_age (cluster->nodes[0], cluster->now);
  assert_true (age >= cluster->now - requested_at);
  gbd_membership_confirm_platform (cluster->nodes[1],
                                   requested_at - GBD_SECOND);
  assert_int_equal (
      gbd_membership_get_platform_age (cluster->nodes[1], cluster->now),
      cluster->now - requested_at);
}

static void
delay_does_not_reduce_the_platform_age (void **state)
{
  cluster_t *cluster = *state;
  cluster->delay = 200 * GBD_MILLISECOND;
  run (cluster, GBD_SECOND);
  gbd_time_t requested_at = cluster->now;
  gbd_membership_confirm_platform (cluster->nodes[1], requested_at);
  for (int i = 0; i < 150; i++)
    {
      run (cluster, TICK);
      assert_true (
          gbd_membership_get_platform_age (cluster->nodes[0], cluster->now)
          >= cluster->now - requested_at);
    }
}

static void
late_and_duplicate_heartbeats_are_ignored (void **state)
{
  cluster_t *cluster = *state;
  run (cluster, GBD_SECOND);
  gbd_message_t old = { 0 };
  gbd_membership_make_heartbeat (cluster->nodes[1], cluster->now, &old);
  old.body.heartbeat.progress_count = 0;
  old.body.heartbeat.leaving = true;
  run (cluster, GBD_SECOND);
  gbd_peer_info_t before, after;
  gbd_membership_find_peer (cluster->nodes[0], get_instance_id (1),
                            cluster->now, &before);
  assert_false (before.is_leaving);
  for (int i = 0; i < 3; i++)
    gbd_membership_receive (cluster->nodes[0], &old, cluster->now);
  gbd_membership_find_peer (cluster->nodes[0], get_instance_id (1),
                            cluster->now, &after);
  assert_memory_equal (&before, &after, sizeof before);
}

static void
acknowledgement_of_an_unsent_heartbeat_is_ignored (void **state)
{
  cluster_t *cluster = *state;
  gbd_message_t message = { .type = GBD_MESSAGE_HEARTBEAT };
  gbd_progress_t progress = { .service = SERVICE, .version = 1 };
  message.body.heartbeat.sequence = 1;
  message.body.heartbeat.ack_count = 1;
  message.body.heartbeat.progress_count = 1;
  message.body.heartbeat.progress = &progress;
  static const uint64_t sequences[] = { 0, 1, UINT64_MAX };
  for (int i = 0; i < 3; i++)
    {
      message.body.heartbeat.acks[0]
          = (gbd_heartbeat_ack_t){ .id = get_instance_id (0),
                                   .sequence = sequences[i] };
      for (int from = 1; from < NODES; from++)
        {
          message.from = get_instance_id (from);
          gbd_membership_receive (cluster->nodes[0], &message, cluster->now);
        }
      message.body.heartbeat.sequence++;
      assert_int_equal (get_lease (cluster, 0), GBD_LEASE_NONE);
    }
}

static void
unknown_sender_is_ignored (void **state)
{
  cluster_t *cluster = *state;
  gbd_message_t message = { .type = GBD_MESSAGE_HEARTBEAT, .from = 999 };
  message.body.heartbeat.sequence = 1;
  gbd_membership_receive (cluster->nodes[0], &message, cluster->now);
  assert_int_equal (gbd_membership_get_peer_count (cluster->nodes[0]),
                    NODES - 1);
  /* An instance is not its own peer. */
  add_peer (cluster, 0, 0);
  assert_int_equal (gbd_membership_get_peer_count (cluster->nodes[0]),
                    NODES - 1);
}

static void
new_incarnation_is_a_new_peer (void **state)
{
  cluster_t *cluster = *state;
  run (cluster, GBD_SECOND);
  gbd_membership_add_peer (cluster->nodes[0], 900, 1, "peer", cluster->now);
  gbd_message_t message = { .type = GBD_MESSAGE_HEARTBEAT, .from = 900 };
  message.body.heartbeat.sequence = 1; /* starts again at 1 */
  gbd_membership_receive (cluster->nodes[0], &message, cluster->now);
  gbd_peer_info_t info;
  assert_true (
      gbd_membership_find_peer (cluster->nodes[0], 900, cluster->now, &info));
  assert_true (info.is_reachable);
  gbd_membership_remove_peer (cluster->nodes[0], get_instance_id (1));
  gbd_membership_remove_peer (cluster->nodes[0], get_instance_id (1));
  assert_false (gbd_membership_find_peer (
      cluster->nodes[0], get_instance_id (1), cluster->now, &info));
  assert_true (gbd_membership_find_peer (
      cluster->nodes[0], get_instance_id (7), cluster->now, &info));
}

static void
full_list_replaces_only_unreachable_peers (void **state)
{
  cluster_t *cluster = *state;
  gbd_membership_t *node = cluster->nodes[0];
  for (uint32_t i = NODES - 1; i < GBD_INCARNATIONS_MAX; i++)
    gbd_membership_add_peer (node, 1000 + i, 1, "peer", cluster->now);
  gbd_peer_info_t info;
  gbd_membership_add_peer (node, 5000, 1, "peer", cluster->now);
  assert_false (gbd_membership_find_peer (node, 5000, cluster->now, &info));
  gbd_membership_add_peer (node, 5000, 1, "peer", cluster->now + GBD_SECOND);
  assert_true (gbd_membership_find_peer (node, 5000, cluster->now, &info));
  assert_int_equal (gbd_membership_get_peer_count (node),
                    GBD_INCARNATIONS_MAX);
}

static void
progress_is_stored_per_service (void **state)
{
  cluster_t *cluster = *state;
  gbd_progress_t entries[]
      = { { 30, 3, 2 }, { 10, 1, 1 }, { 20, 2, 2 }, { 30, 4, 4 } };
  gbd_message_t message
      = { .type = GBD_MESSAGE_HEARTBEAT, .from = get_instance_id (1) };
  message.body.heartbeat.progress = entries;
  message.body.heartbeat.progress_count = 3;
  message.body.heartbeat.sequence = 1;
  gbd_membership_receive (cluster->nodes[0], &message, cluster->now);
  message.body.heartbeat.progress = entries + 3;
  message.body.heartbeat.progress_count = 1;
  message.body.heartbeat.sequence = 2;
  gbd_membership_receive (cluster->nodes[0], &message, cluster->now);
  static const uint64_t versions[] = { 0, 1, 2, 4 };
  for (uint64_t i = 0; i < 4; i++)
    {
      gbd_progress_t progress = { 0 };
      assert_int_equal (gbd_membership_get_progress (cluster->nodes[0],
                                                     get_instance_id (1),
                                                     10 * i, &progress),
                        i > 0);
      assert_int_equal (progress.version, versions[i]);
    }
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (connected_group_holds_leases_without_platform),
    TEST (partition_by_sizes),
    TEST (zone_of_one_instance_gets_no_zone_lease),
    TEST (lease_expires_before_failure_is_detected),
    TEST (paused_instance_has_no_lease_when_it_resumes),
    TEST (resumed_instance_detects_a_failed_peer),
    TEST (loss_of_one_link_does_not_fail_a_peer),
    TEST (one_way_link_does_not_extend_the_lease),
    TEST (delay_shortens_the_lease),
    TEST (peer_with_a_newer_table_does_not_extend_the_lease),
    TEST (lease_needs_a_majority_of_both_rosters),
    TEST (platform_confirmation_extends_leases_directly_and_through_a_peer),
    TEST (delay_does_not_reduce_the_platform_age),
    TEST (late_and_duplicate_heartbeats_are_ignored),
    TEST (acknowledgement_of_an_unsent_heartbeat_is_ignored),
    TEST (unknown_sender_is_ignored),
    TEST (new_incarnation_is_a_new_peer),
    TEST (full_list_replaces_only_unreachable_peers),
    TEST (progress_is_stored_per_service),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
