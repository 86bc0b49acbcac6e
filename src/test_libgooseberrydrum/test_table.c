#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "gooseberrydrum/table.h"

#define BUCKETS 1024
#define SERVERS_MAX 20

static const gbd_member_t roster[]
    = { { 11, 1 }, { 12, 1 }, { 21, 2 }, { 22, 2 }, { 31, 3 }, { 41, 4 } };
#define ROSTER_COUNT 6

static gbd_table_t *
make_table (uint32_t servers)
{
  gbd_backend_t backends[SERVERS_MAX] = { 0 };
  for (uint32_t i = 0; i < servers; i++)
    backends[i] = (gbd_backend_t){ .id = 1000 + i, .zone = 1 + i % 4 };
  return gbd_table_new (7, BUCKETS, backends, servers, roster, ROSTER_COUNT);
}

static void
count_buckets (const gbd_table_t *table, uint32_t *counts)
{
  memset (counts, 0, SERVERS_MAX * sizeof *counts);
  for (uint32_t i = 0; i < table->bucket_count; i++)
    counts[table->buckets[i].to]++;
}

static void
apply_targets (gbd_table_t *table, const gbd_slot_t *targets)
{
  for (uint32_t i = 0; i < table->bucket_count; i++)
    table->buckets[i].from = table->buckets[i].to = targets[i];
}

static void
new_table_is_balanced (void **state)
{
  (void)state;
  for (uint32_t servers = 1; servers <= SERVERS_MAX; servers++)
    {
      gbd_table_t *table = make_table (servers);
      uint32_t counts[SERVERS_MAX];
      count_buckets (table, counts);
      for (uint32_t i = 0; i < servers; i++)
        assert_true (counts[i] * servers * 100 <= BUCKETS * 105);
      gbd_table_delete (table);
    }
}

static void
bucket_index_is_the_high_bits_of_the_hash (void **state)
{
  (void)state;
  gbd_table_t *table = make_table (3);
  assert_int_equal (gbd_table_bucket_of (table, 0), 0);
  assert_int_equal (gbd_table_bucket_of (table, UINT64_MAX), BUCKETS - 1);
  assert_int_equal (gbd_table_bucket_of (table, (uint64_t)1 << 54), 1);
  table->bucket_count = 1;
  assert_int_equal (gbd_table_bucket_of (table, UINT64_MAX), 0);
  gbd_table_delete (table);
}

static void
phases_select_the_documented_slots (void **state)
{
  (void)state;
  static const struct
  {
    uint8_t phase;
    bool needs_lookup;
    bool is_registering;
    gbd_slot_t new_flow_slot;
    gbd_slot_t default_slot;
  } rows[] = {
    { GBD_BUCKET_STABLE, false, false, 2, 2 },
    { GBD_BUCKET_ANNOUNCED, true, true, 1, 1 },
    { GBD_BUCKET_ACTIVE, true, true, 2, 1 },
    { GBD_BUCKET_SETTLING, true, true, 2, 1 },
    { GBD_BUCKET_INVERTED, false, true, 2, 2 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      gbd_bucket_t bucket = { .from = 1, .to = 2, .phase = rows[i].phase };
      assert_int_equal (gbd_bucket_needs_lookup (&bucket),
                        rows[i].needs_lookup);
      assert_int_equal (gbd_bucket_is_registering (&bucket),
                        rows[i].is_registering);
      assert_int_equal (gbd_bucket_new_flow_slot (&bucket),
                        rows[i].new_flow_slot);
      assert_int_equal (gbd_bucket_default_slot (&bucket),
                        rows[i].default_slot);
    }
}

static gbd_zone_id_t
get_zone (gbd_instance_id_t id)
{
  return (gbd_zone_id_t)(id / 10);
}

static void
replicas_are_in_two_zones (void **state)
{
  (void)state;
  gbd_table_t *table = make_table (3);
  uint32_t first_counts[50] = { 0 };
  for (uint32_t i = 0; i < BUCKETS; i++)
    {
      gbd_replicas_t replicas;
      gbd_table_get_replicas (table, i, &replicas);
      assert_int_equal (replicas.count, 2);
      assert_int_not_equal (get_zone (replicas.chain[0]),
                            get_zone (replicas.chain[1]));
      assert_memory_equal (replicas.lookup, replicas.chain,
                           sizeof replicas.lookup);
      first_counts[replicas.chain[0]]++;
    }
  for (int i = 0; i < ROSTER_COUNT; i++)
    assert_in_range (first_counts[roster[i].id], BUCKETS / 12, BUCKETS / 3);
  gbd_table_delete (table);
}

static void
replicas_of_a_small_roster (void **state)
{
  (void)state;
  gbd_table_t *table = make_table (3);
  gbd_replicas_t replicas;
  table->roster_count = 2; /* both in the same zone */
  gbd_table_get_replicas (table, 0, &replicas);
  assert_int_equal (replicas.count, 2);
  table->roster_count = 1;
  gbd_table_get_replicas (table, 0, &replicas);
  assert_int_equal (replicas.count, 1);
  assert_int_equal (replicas.chain[0], 11);
  assert_int_equal (replicas.lookup[0], 11);
  assert_int_equal (replicas.lookup[1], 0);
  table->roster_count = 0;
  gbd_table_get_replicas (table, 0, &replicas);
  assert_int_equal (replicas.count, 0);
  gbd_table_delete (table);
}

static int
count_id (const gbd_instance_id_t *ids, int count, gbd_instance_id_t id)
{
  int matches = 0;
  for (int i = 0; i < count; i++)
    matches += ids[i] == id;
  return matches;
}

static void
replicas_of_both_rosters_during_a_change (void **state)
{
  (void)state;
  static const struct
  {
    gbd_member_t next[ROSTER_COUNT];
    uint8_t next_count;
    bool differs_by_one_member;
  } rows[] = {
    { { { 12, 1 }, { 21, 2 }, { 22, 2 }, { 31, 3 }, { 41, 4 } }, 5, true },
    { { { 11, 1 }, { 12, 1 }, { 21, 2 }, { 22, 2 }, { 31, 3 } }, 5, true },
    { { { 51, 5 }, { 12, 1 }, { 21, 2 }, { 22, 2 }, { 31, 3 }, { 41, 4 } },
      6,
      false },
    { { { 51, 5 }, { 61, 6 } }, 2, false },
    { { { 51, 5 } }, 1, false },
  };
  for (size_t row = 0; row < sizeof rows / sizeof rows[0]; row++)
    {
      gbd_table_t *current = make_table (3);
      gbd_table_t *change = gbd_table_copy (current);
      gbd_table_t *next = gbd_table_copy (current);
      memcpy (next->roster, rows[row].next, sizeof rows[row].next);
      memcpy (change->next, rows[row].next, sizeof rows[row].next);
      next->roster_count = change->next_count = rows[row].next_count;
      for (uint32_t i = 0; i < 2 * BUCKETS; i++)
        {
          gbd_replicas_t current_replicas, next_replicas, changing_replicas;
          bool is_switched = i >= BUCKETS;
          change->roster_phase
              = is_switched ? GBD_ROSTER_SWITCHED : GBD_ROSTER_JOINING;
          gbd_table_get_replicas (current, i % BUCKETS, &current_replicas);
          gbd_table_get_replicas (next, i % BUCKETS, &next_replicas);
          gbd_table_get_replicas (change, i % BUCKETS, &changing_replicas);
          assert_memory_equal (changing_replicas.lookup,
                               is_switched ? next_replicas.lookup
                                           : current_replicas.lookup,
                               sizeof changing_replicas.lookup);
          for (int k = 0; k < current_replicas.count; k++)
            assert_int_equal (count_id (changing_replicas.chain,
                                        changing_replicas.count,
                                        current_replicas.chain[k]),
                              1);
          for (int k = 0; k < next_replicas.count; k++)
            assert_int_equal (count_id (changing_replicas.chain,
                                        changing_replicas.count,
                                        next_replicas.chain[k]),
                              1);
          /* Rosters that differ by one member share a replica, which is
             the first one in the chain.  */
          if (rows[row].differs_by_one_member)
            {
              assert_int_equal (count_id (current_replicas.chain,
                                          current_replicas.count,
                                          changing_replicas.chain[0]),
                                1);
              assert_int_equal (count_id (next_replicas.chain,
                                          next_replicas.count,
                                          changing_replicas.chain[0]),
                                1);
            }
        }
      gbd_table_delete (current);
      gbd_table_delete (change);
      gbd_table_delete (next);
    }
}

static void
plan_moves_as_few_buckets_as_possible (void **state)
{
  (void)state;
  static const struct
  {
    const char *label;
    uint16_t weights[4];
    uint32_t move_max;
    uint32_t moves_min;
    uint32_t moves_max;
  } rows[] = {
    { "nothing changed", { 100, 100, 100, 100 }, BUCKETS, 0, 0 },
    { "weights scaled equally", { 7, 7, 7, 7 }, BUCKETS, 0, 0 },
    { "nearly equal weights", { 1000, 1004, 996, 1000 }, BUCKETS, 0, 0 },
    { "one server leaves", { 100, 0, 100, 100 }, 0, 256, 256 },
    { "two servers leave", { 0, 100, 0, 100 }, BUCKETS, 512, 512 },
    { "no server is left", { 0, 0, 0, 0 }, 0, BUCKETS, BUCKETS },
    { "lower share, limited moves", { 50, 100, 100, 100 }, 16, 16, 16 },
    { "lower share", { 50, 100, 100, 100 }, BUCKETS, 109, 111 },
    { "lower share, no moves allowed", { 50, 100, 100, 100 }, 0, 0, 0 },
    { "highest weights", { 65535, 65535, 65535, 65535 }, BUCKETS, 0, 0 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      gbd_table_t *table = make_table (4);
      gbd_slot_t targets[BUCKETS];
      uint32_t moves
          = gbd_table_plan (table, rows[i].weights, rows[i].move_max, targets);
      if (moves < rows[i].moves_min || moves > rows[i].moves_max)
        fail_msg ("%s: %u moves", rows[i].label, moves);
      for (int j = 0; j < BUCKETS; j++)
        assert_true (targets[j] == GBD_SLOT_NONE
                     || rows[i].weights[targets[j]] > 0);
      apply_targets (table, targets);
      if (rows[i].move_max == BUCKETS)
        assert_int_equal (
            gbd_table_plan (table, rows[i].weights, BUCKETS, targets), 0);
      gbd_table_delete (table);
    }
}

static void
plan_assigns_a_new_server_its_share (void **state)
{
  (void)state;
  gbd_table_t *table = make_table (SERVERS_MAX);
  uint16_t weights[SERVERS_MAX];
  gbd_slot_t targets[BUCKETS];
  for (int i = 0; i < SERVERS_MAX; i++)
    weights[i] = i < SERVERS_MAX - 1;
  gbd_table_plan (table, weights, 0, targets);
  apply_targets (table, targets);
  weights[SERVERS_MAX - 1] = 1;
  uint32_t moves = gbd_table_plan (table, weights, BUCKETS, targets);
  assert_in_range (moves, BUCKETS / SERVERS_MAX, BUCKETS / SERVERS_MAX + 1);
  for (int i = 0; i < BUCKETS; i++)
    assert_true (targets[i] == table->buckets[i].to
                 || targets[i] == SERVERS_MAX - 1);
  gbd_table_delete (table);
}

static void
plan_leaves_the_remainder_bucket_in_place (void **state)
{
  (void)state;
  gbd_table_t *table = make_table (3);
  table->bucket_count = 8;
  for (int offset = 0; offset < 3; offset++)
    {
      uint16_t weights[3] = { 1, 1, 1 };
      gbd_slot_t targets[8];
      for (gbd_slot_t i = 0; i < 8; i++)
        table->buckets[i].to = i < 6 ? i % 3 : (i - 6 + offset) % 3;
      assert_int_equal (gbd_table_plan (table, weights, 8, targets), 0);
    }
  gbd_table_delete (table);
}

static void
plan_does_not_balance_moving_buckets (void **state)
{
  (void)state;
  gbd_table_t *table = make_table (4);
  for (int i = 0; i < BUCKETS; i++)
    {
      table->buckets[i].from = 1;
      table->buckets[i].to = 0;
      table->buckets[i].phase = GBD_BUCKET_ACTIVE;
    }
  const uint16_t equal_weights[4] = { 1, 1, 1, 1 };
  const uint16_t drained_weights[4] = { 0, 1, 1, 1 };
  gbd_slot_t targets[BUCKETS];
  assert_int_equal (gbd_table_plan (table, equal_weights, BUCKETS, targets),
                    0);
  assert_int_equal (gbd_table_plan (table, drained_weights, 0, targets),
                    BUCKETS);
  uint32_t returned = 0;
  for (int i = 0; i < BUCKETS; i++)
    returned += targets[i] == 1;
  assert_in_range (returned, BUCKETS / 3, BUCKETS / 3 + 1);
  gbd_table_delete (table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (new_table_is_balanced),
    cmocka_unit_test (bucket_index_is_the_high_bits_of_the_hash),
    cmocka_unit_test (phases_select_the_documented_slots),
    cmocka_unit_test (replicas_are_in_two_zones),
    cmocka_unit_test (replicas_of_a_small_roster),
    cmocka_unit_test (replicas_of_both_rosters_during_a_change),
    cmocka_unit_test (plan_moves_as_few_buckets_as_possible),
    cmocka_unit_test (plan_assigns_a_new_server_its_share),
    cmocka_unit_test (plan_leaves_the_remainder_bucket_in_place),
    cmocka_unit_test (plan_does_not_balance_moving_buckets),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
