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

/* Instances with links between them, in one clock. */
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
} world_t;

static gbd_instance_id_t
id_of (int node)
{
  return (gbd_instance_id_t)100 + (gbd_instance_id_t)node;
}

static gbd_zone_id_t
zone_of (int node)
{
  return (gbd_zone_id_t)(1 + node / 2);
}

static void
introduce (world_t *world, int a, int b)
{
  gbd_membership_add_peer (world->nodes[a], id_of (b), zone_of (b), "peer",
                           world->now);
}

static int
set_up (void **state)
{
  world_t *world = calloc (1, sizeof *world);
  gbd_member_t members[NODES];
  world->now = 1000 * GBD_SECOND;
  world->delay = 5 * GBD_MILLISECOND;
  world->queue = calloc (QUEUE_MAX, sizeof *world->queue);
  for (int i = 0; i < NODES; i++)
    {
      gbd_membership_settings_t settings
          = { .self = id_of (i), .zone = zone_of (i) };
      world->nodes[i] = gbd_membership_new (&settings, world->now);
      world->versions[i] = 1;
      members[i] = (gbd_member_t){ id_of (i), zone_of (i) };
    }
  for (int a = 0; a < NODES; a++)
    for (int b = 0; b < NODES; b++)
      if (a != b)
        introduce (world, a, b);
  world->table = gbd_table_new (SERVICE, 1, NULL, 0, members, NODES);
  *state = world;
  return 0;
}

static int
tear_down (void **state)
{
  world_t *world = *state;
  for (int i = 0; i < NODES; i++)
    gbd_membership_delete (world->nodes[i]);
  gbd_table_delete (world->table);
  free (world->queue);
  free (world);
  return 0;
}

static void
send_heartbeat (world_t *world, int from)
{
  gbd_message_t message = { 0 };
  gbd_membership_make_heartbeat (world->nodes[from], world->now, &message);
  message.body.heartbeat.progress_count = 1;
  for (int to = 0; to < NODES; to++)
    {
      if (to == from || world->is_cut[from][to])
        continue;
      assert_true (world->queued < QUEUE_MAX);
      delivery_t *delivery = &world->queue[world->queued++];
      delivery->to = to;
      delivery->at = world->now + world->delay;
      delivery->message = message;
      delivery->progress
          = (gbd_progress_t){ .service = SERVICE,
                              .version = world->versions[from] };
    }
}

/* Deliver what has arrived, in order, but to paused instances. */
static void
deliver (world_t *world)
{
  int kept = 0;
  for (int i = 0; i < world->queued; i++)
    {
      delivery_t *delivery = &world->queue[i];
      if (delivery->at > world->now || world->is_paused[delivery->to])
        {
          world->queue[kept++] = *delivery;
          continue;
        }
      delivery->message.body.heartbeat.progress = &delivery->progress;
      gbd_membership_receive (world->nodes[delivery->to], &delivery->message,
                              world->now);
    }
  world->queued = kept;
}

static void
run (world_t *world, gbd_time_t duration)
{
  for (gbd_time_t end = world->now + duration; world->now < end;)
    {
      world->now += TICK;
      deliver (world);
      for (int i = 0; i < NODES; i++)
        if (!world->is_paused[i]
            && gbd_membership_is_due (world->nodes[i], world->now))
          send_heartbeat (world, i);
    }
}

static void
cut (world_t *world, int a, int b, bool is_cut)
{
  world->is_cut[a][b] = is_cut;
  world->is_cut[b][a] = is_cut;
}

/* Cut the first instances from the rest. */
static void
split (world_t *world, int size, bool is_cut)
{
  for (int a = 0; a < size; a++)
    for (int b = size; b < NODES; b++)
      cut (world, a, b, is_cut);
}

static gbd_touch_t
touch_of (const world_t *world, int node)
{
  return gbd_membership_get_touch (world->nodes[node], world->table,
                                   world->now);
}

static bool
is_silent (const world_t *world, int observer, int node)
{
  gbd_peer_info_t info;
  assert_true (gbd_membership_find_peer (world->nodes[observer], id_of (node),
                                         world->now, &info));
  return info.is_silent;
}

static bool
is_heard (const world_t *world, int observer, int node)
{
  gbd_peer_info_t info;
  assert_true (gbd_membership_find_peer (world->nodes[observer], id_of (node),
                                         world->now, &info));
  return info.is_heard;
}

static void
group_in_touch_needs_no_platform (void **state)
{
  world_t *world = *state;
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_NONE);
  run (world, GBD_SECOND);
  for (int i = 0; i < 100; i++)
    {
      run (world, 5 * TICK);
      for (int node = 0; node < NODES; node++)
        {
          assert_int_equal (touch_of (world, node), GBD_TOUCH_FULL);
          for (int other = 0; other < NODES; other++)
            if (other != node)
              assert_false (is_silent (world, node, other));
        }
    }
}

static void
partition_by_sizes (void **state)
{
  world_t *world = *state;
  static const struct
  {
    int size; /* of the first side */
    gbd_touch_t first;
    gbd_touch_t second;
  } rows[] = {
    { 1, GBD_TOUCH_NONE, GBD_TOUCH_FULL }, /* one instance alone */
    { 2, GBD_TOUCH_ZONE, GBD_TOUCH_FULL }, /* one zone */
    { 3, GBD_TOUCH_NONE, GBD_TOUCH_FULL }, /* a zone and a half */
    { 4, GBD_TOUCH_ZONE, GBD_TOUCH_ZONE }, /* halves */
    { 5, GBD_TOUCH_FULL, GBD_TOUCH_NONE },
    { 6, GBD_TOUCH_FULL, GBD_TOUCH_ZONE },
  };
  for (size_t row = 0; row < sizeof rows / sizeof rows[0]; row++)
    {
      run (world, 2 * GBD_SECOND);
      split (world, rows[row].size, true);
      run (world, 2 * GBD_SECOND);
      for (int i = 0; i < NODES; i++)
        assert_int_equal (touch_of (world, i), i < rows[row].size
                                                   ? rows[row].first
                                                   : rows[row].second);
      assert_true (is_silent (world, 0, NODES - 1));
      assert_true (is_silent (world, NODES - 1, 0));
      split (world, rows[row].size, false);
    }
}

static void
zone_of_one_instance_is_no_side (void **state)
{
  world_t *world = *state;
  world->table->roster[1] = world->table->roster[--world->table->roster_count];
  split (world, 2, true);
  run (world, 2 * GBD_SECOND);
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_NONE);
  assert_int_equal (touch_of (world, 1), GBD_TOUCH_NONE); /* no member */
}

/* The rule that the coordinator builds on: whoever is silent to others has
   lost its trust before. */
static void
touch_ends_before_silence (void **state)
{
  world_t *world = *state;
  for (int offset = 0; offset < 20; offset++)
    {
      run (world, 2 * GBD_SECOND + offset * TICK);
      split (world, 2, true);
      bool has_zone_ended = false;
      for (int i = 0; i < 200; i++)
        {
          run (world, TICK);
          if (is_silent (world, 7, 0))
            {
              assert_int_not_equal (touch_of (world, 0), GBD_TOUCH_FULL);
              has_zone_ended = true;
            }
          /* The other side still counts as heard: not yet a zone apart. */
          if (is_heard (world, 0, 7))
            assert_int_not_equal (touch_of (world, 0), GBD_TOUCH_ZONE);
        }
      assert_true (has_zone_ended);
      split (world, 2, false);
    }
}

static void
paused_instance_is_out_of_touch_when_it_wakes (void **state)
{
  world_t *world = *state;
  run (world, 2 * GBD_SECOND);
  world->is_paused[0] = true;
  run (world, 3 * GBD_SECOND);
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_NONE);
  assert_true (is_silent (world, 7, 0));
  /* Nobody is silent to it, as their words wait unread. */
  assert_false (is_silent (world, 0, 7));

  world->is_paused[0] = false;
  deliver (world);
  assert_int_not_equal (touch_of (world, 0), GBD_TOUCH_FULL);
  run (world, 90 * GBD_MILLISECOND);
  assert_false (is_silent (world, 0, 7));
  run (world, GBD_SECOND);
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_FULL);
  assert_false (is_silent (world, 7, 0));
}

static void
wakened_instance_still_notices_who_is_gone (void **state)
{
  world_t *world = *state;
  run (world, 2 * GBD_SECOND);
  world->is_paused[0] = true;
  world->is_paused[7] = true;
  run (world, 3 * GBD_SECOND);
  world->is_paused[0] = false;
  run (world, 900 * GBD_MILLISECOND);
  assert_false (is_silent (world, 0, 7));
  run (world, 200 * GBD_MILLISECOND);
  assert_true (is_silent (world, 0, 7));
  assert_false (is_silent (world, 0, 6));
}

static void
cut_of_one_link_silences_nobody (void **state)
{
  world_t *world = *state;
  run (world, GBD_SECOND);
  cut (world, 0, 7, true);
  run (world, 3 * GBD_SECOND);
  assert_false (is_heard (world, 0, 7));
  assert_false (is_silent (world, 0, 7));
  assert_false (is_silent (world, 7, 0));
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_FULL);
  /* The witnesses lose it as well. */
  for (int i = 1; i < 7; i++)
    cut (world, i, 7, true);
  run (world, 3 * GBD_SECOND);
  assert_true (is_silent (world, 0, 7));
}

static void
one_way_link_gives_no_trust (void **state)
{
  world_t *world = *state;
  run (world, GBD_SECOND);
  for (int i = 1; i < NODES; i++)
    world->is_cut[0][i] = true; /* 0 hears all, none hears 0 */
  run (world, 3 * GBD_SECOND);
  assert_true (is_heard (world, 0, 7));
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_NONE);
  assert_true (is_silent (world, 7, 0));
}

static void
delay_shortens_trust (void **state)
{
  world_t *world = *state;
  world->delay = 300 * GBD_MILLISECOND; /* an answer is 600 to 800 ms old */
  run (world, 5 * GBD_SECOND);
  assert_true (is_heard (world, 0, 7));
  world->delay = 400 * GBD_MILLISECOND; /* older than the touch time-out */
  run (world, 5 * GBD_SECOND);
  assert_true (is_heard (world, 0, 7));
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_NONE);
}

static void
peer_with_a_newer_table_gives_no_trust (void **state)
{
  world_t *world = *state;
  run (world, GBD_SECOND);
  for (int i = 1; i < NODES; i++)
    world->versions[i] = 2;
  /* What they said before still counts for its time. */
  run (world, 300 * GBD_MILLISECOND);
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_FULL);
  run (world, 700 * GBD_MILLISECOND);
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_ZONE);
  world->table->version = 2;
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_FULL);
  world->table->version = 3;
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_FULL);
}

static void
touch_needs_the_majority_of_both_rosters (void **state)
{
  world_t *world = *state;
  run (world, GBD_SECOND);
  split (world, 3, true);
  run (world, 2 * GBD_SECOND);
  assert_int_equal (touch_of (world, 7), GBD_TOUCH_FULL);
  world->table->roster_phase = GBD_ROSTER_JOINING;
  world->table->next_count = 4; /* three of them on the other side */
  memcpy (world->table->next, world->table->roster,
          4 * sizeof world->table->next[0]);
  assert_int_equal (touch_of (world, 7), GBD_TOUCH_NONE);
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_NONE);
}

static void
platform_gives_touch_directly_and_through_a_peer (void **state)
{
  world_t *world = *state;
  run (world, GBD_SECOND);
  assert_true (gbd_membership_get_platform_age (world->nodes[0], world->now)
               > 1000 * GBD_SECOND);
  /* 0 and 1 alone; only 1 reaches the platform. */
  split (world, 2, true);
  run (world, 2 * GBD_SECOND);
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_ZONE);
  for (int i = 0; i < 20; i++)
    {
      gbd_membership_confirm_platform (world->nodes[1],
                                       world->now - 20 * GBD_MILLISECOND);
      run (world, 100 * GBD_MILLISECOND);
      assert_int_equal (touch_of (world, 1), GBD_TOUCH_FULL);
    }
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_FULL);
  world->versions[1] = 2;
  gbd_time_t asked_at = world->now;
  gbd_membership_confirm_platform (world->nodes[1], asked_at);
  run (world, 700 * GBD_MILLISECOND);
  assert_int_equal (touch_of (world, 0), GBD_TOUCH_ZONE); /* has version 1 */
  gbd_time_t age
      = gbd_membership_get_platform_age (world->nodes[0], world->now);
  assert_true (age >= world->now - asked_at);
  gbd_membership_confirm_platform (world->nodes[1], asked_at - GBD_SECOND);
  assert_int_equal (
      gbd_membership_get_platform_age (world->nodes[1], world->now),
      world->now - asked_at);
}

static void
platform_word_is_not_younger_for_delay (void **state)
{
  world_t *world = *state;
  world->delay = 200 * GBD_MILLISECOND;
  run (world, GBD_SECOND);
  gbd_time_t asked_at = world->now;
  gbd_membership_confirm_platform (world->nodes[1], asked_at);
  for (int i = 0; i < 150; i++)
    {
      run (world, TICK);
      assert_true (
          gbd_membership_get_platform_age (world->nodes[0], world->now)
          >= world->now - asked_at);
    }
}

static void
late_and_repeated_heartbeats_change_nothing (void **state)
{
  world_t *world = *state;
  run (world, GBD_SECOND);
  gbd_message_t old = { 0 };
  gbd_membership_make_heartbeat (world->nodes[1], world->now, &old);
  old.body.heartbeat.progress_count = 0;
  old.body.heartbeat.leaving = true;
  run (world, GBD_SECOND);
  gbd_peer_info_t before, after;
  gbd_membership_find_peer (world->nodes[0], id_of (1), world->now, &before);
  assert_false (before.is_leaving);
  for (int i = 0; i < 3; i++)
    gbd_membership_receive (world->nodes[0], &old, world->now);
  gbd_membership_find_peer (world->nodes[0], id_of (1), world->now, &after);
  assert_memory_equal (&before, &after, sizeof before);
}

static void
acknowledgment_of_what_was_not_sent_gives_no_trust (void **state)
{
  world_t *world = *state;
  gbd_message_t message = { .type = GBD_MESSAGE_HEARTBEAT };
  gbd_progress_t progress = { .service = SERVICE, .version = 1 };
  message.body.heartbeat.sequence = 1;
  message.body.heartbeat.heard_count = 1;
  message.body.heartbeat.progress_count = 1;
  message.body.heartbeat.progress = &progress;
  static const uint64_t sequences[] = { 0, 1, UINT64_MAX };
  for (int i = 0; i < 3; i++)
    {
      message.body.heartbeat.heard[0]
          = (gbd_heard_t){ .id = id_of (0), .sequence = sequences[i] };
      for (int from = 1; from < NODES; from++)
        {
          message.from = id_of (from);
          gbd_membership_receive (world->nodes[0], &message, world->now);
        }
      message.body.heartbeat.sequence++;
      assert_int_equal (touch_of (world, 0), GBD_TOUCH_NONE);
    }
}

static void
unknown_sender_is_ignored (void **state)
{
  world_t *world = *state;
  gbd_message_t message = { .type = GBD_MESSAGE_HEARTBEAT, .from = 999 };
  message.body.heartbeat.sequence = 1;
  gbd_membership_receive (world->nodes[0], &message, world->now);
  assert_int_equal (gbd_membership_get_peer_count (world->nodes[0]),
                    NODES - 1);
  /* An instance is not its own peer. */
  introduce (world, 0, 0);
  assert_int_equal (gbd_membership_get_peer_count (world->nodes[0]),
                    NODES - 1);
}

static void
new_life_is_a_new_peer (void **state)
{
  world_t *world = *state;
  run (world, GBD_SECOND);
  gbd_membership_add_peer (world->nodes[0], 900, 1, "peer", world->now);
  gbd_message_t message = { .type = GBD_MESSAGE_HEARTBEAT, .from = 900 };
  message.body.heartbeat.sequence = 1; /* counts anew */
  gbd_membership_receive (world->nodes[0], &message, world->now);
  gbd_peer_info_t info;
  assert_true (
      gbd_membership_find_peer (world->nodes[0], 900, world->now, &info));
  assert_true (info.is_heard);
  gbd_membership_remove_peer (world->nodes[0], id_of (1));
  gbd_membership_remove_peer (world->nodes[0], id_of (1));
  assert_false (gbd_membership_find_peer (world->nodes[0], id_of (1),
                                          world->now, &info));
  assert_true (gbd_membership_find_peer (world->nodes[0], id_of (7),
                                         world->now, &info));
}

static void
full_list_makes_room_only_for_who_is_silent (void **state)
{
  world_t *world = *state;
  gbd_membership_t *node = world->nodes[0];
  for (uint32_t i = NODES - 1; i < GBD_LIVES_MAX; i++)
    gbd_membership_add_peer (node, 1000 + i, 1, "peer", world->now);
  gbd_peer_info_t info;
  gbd_membership_add_peer (node, 5000, 1, "peer", world->now);
  assert_false (gbd_membership_find_peer (node, 5000, world->now, &info));
  gbd_membership_add_peer (node, 5000, 1, "peer", world->now + GBD_SECOND);
  assert_true (gbd_membership_find_peer (node, 5000, world->now, &info));
  assert_int_equal (gbd_membership_get_peer_count (node), GBD_LIVES_MAX);
}

static void
progress_is_kept_by_service (void **state)
{
  world_t *world = *state;
  gbd_progress_t entries[]
      = { { 30, 3, 2 }, { 10, 1, 1 }, { 20, 2, 2 }, { 30, 4, 4 } };
  gbd_message_t message = { .type = GBD_MESSAGE_HEARTBEAT, .from = id_of (1) };
  message.body.heartbeat.progress = entries;
  message.body.heartbeat.progress_count = 3;
  message.body.heartbeat.sequence = 1;
  gbd_membership_receive (world->nodes[0], &message, world->now);
  message.body.heartbeat.progress = entries + 3;
  message.body.heartbeat.progress_count = 1;
  message.body.heartbeat.sequence = 2;
  gbd_membership_receive (world->nodes[0], &message, world->now);
  static const uint64_t versions[] = { 0, 1, 2, 4 };
  for (uint64_t i = 0; i < 4; i++)
    {
      gbd_progress_t progress = { 0 };
      assert_int_equal (gbd_membership_get_progress (
                            world->nodes[0], id_of (1), 10 * i, &progress),
                        i > 0);
      assert_int_equal (progress.version, versions[i]);
    }
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (group_in_touch_needs_no_platform),
    TEST (partition_by_sizes),
    TEST (zone_of_one_instance_is_no_side),
    TEST (touch_ends_before_silence),
    TEST (paused_instance_is_out_of_touch_when_it_wakes),
    TEST (wakened_instance_still_notices_who_is_gone),
    TEST (cut_of_one_link_silences_nobody),
    TEST (one_way_link_gives_no_trust),
    TEST (delay_shortens_trust),
    TEST (peer_with_a_newer_table_gives_no_trust),
    TEST (touch_needs_the_majority_of_both_rosters),
    TEST (platform_gives_touch_directly_and_through_a_peer),
    TEST (platform_word_is_not_younger_for_delay),
    TEST (late_and_repeated_heartbeats_change_nothing),
    TEST (acknowledgment_of_what_was_not_sent_gives_no_trust),
    TEST (unknown_sender_is_ignored),
    TEST (new_life_is_a_new_peer),
    TEST (full_list_makes_room_only_for_who_is_silent),
    TEST (progress_is_kept_by_service),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
