#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "gooseberrydrum/balance.h"

#define SERVERS 14
#define BASE 10000

typedef struct
{
  gbd_balance_t *balance;
  gbd_table_t *table;
  gbd_backend_t backends[SERVERS];
  uint16_t configured[SERVERS];
  uint16_t weights[SERVERS];
  gbd_time_t now;
} fixture_t;

static fixture_t *
setup (void)
{
  static fixture_t fixture;
  memset (&fixture, 0, sizeof fixture);
  gbd_member_t member = { 1, 1 };
  for (uint32_t i = 0; i < SERVERS; i++)
    {
      fixture.backends[i].id = i + 1;
      fixture.configured[i] = BASE;
    }
  fixture.now = 100 * GBD_SECOND;
  fixture.table
      = gbd_table_new (1, 256, fixture.backends, SERVERS, &member, 1);
  fixture.balance = gbd_balance_new ();
  assert_non_null (fixture.table);
  assert_non_null (fixture.balance);
  gbd_balance_compute_weights (fixture.balance, fixture.backends,
                               fixture.configured, SERVERS, 100, fixture.now,
                               fixture.weights);
  return &fixture;
}

static void
teardown (fixture_t *fixture)
{
  gbd_balance_delete (fixture->balance);
  gbd_table_delete (fixture->table);
}

/* Report the same load from all instances for all servers, except for the
   server in slot `outlier`, for which they report `outlier_open`. */
static void
report (fixture_t *fixture, gbd_slot_t outlier, uint32_t open,
        uint32_t outlier_open)
{
  for (gbd_instance_id_t from = 1; from <= 8; from++)
    for (gbd_slot_t slot = 0; slot < SERVERS; slot++)
      {
        gbd_load_entry_t entry
            = { .slot = slot,
                .open_flows = slot == outlier ? outlier_open : open };
        assert_int_equal (gbd_balance_receive (fixture->balance,
                                               fixture->table, from, &entry, 1,
                                               fixture->now),
                          GBD_OK);
      }
}

static void
decide (fixture_t *fixture, uint8_t percent, gbd_time_t elapsed)
{
  fixture->now += elapsed;
  gbd_balance_compute_weights (fixture->balance, fixture->backends,
                               fixture->configured, SERVERS, percent,
                               fixture->now, fixture->weights);
}

static void
weight_of_a_loaded_server_falls_in_bounded_steps (void **state)
{
  (void)state;
  fixture_t *fixture = setup ();
  report (fixture, 3, 10, 100);
  decide (fixture, 100, GBD_BALANCE_ADJUST_INTERVAL);
  assert_int_equal (fixture->weights[3],
                    BASE * (100 - GBD_BALANCE_STEP_MAX_PERCENT) / 100);
  /* Further calls before the next adjustment do not change the weight. */
  decide (fixture, 100, 0);
  decide (fixture, 100, GBD_SECOND);
  assert_int_equal (fixture->weights[3],
                    BASE * (100 - GBD_BALANCE_STEP_MAX_PERCENT) / 100);
  for (int i = 0; i < 50; i++)
    decide (fixture, 100, GBD_BALANCE_ADJUST_INTERVAL);
  assert_int_equal (fixture->weights[3],
                    BASE * GBD_BALANCE_FACTOR_MIN_PERCENT / 100);
  teardown (fixture);
}

static void
small_deviation_or_disabled_balance_keeps_weights (void **state)
{
  (void)state;
  fixture_t *fixture = setup ();
  report (fixture, 3, 100, 108);
  decide (fixture, 100, GBD_BALANCE_ADJUST_INTERVAL);
  assert_int_equal (fixture->weights[3], BASE);
  report (fixture, 3, 100, 150);
  decide (fixture, 0, GBD_BALANCE_ADJUST_INTERVAL);
  assert_int_equal (fixture->weights[3], BASE);
  teardown (fixture);
}

/* Without reports, or with too little load to compare servers, weights stay
   unchanged. */
static void
idle_service_keeps_its_weights (void **state)
{
  (void)state;
  fixture_t *fixture = setup ();
  decide (fixture, 100, GBD_BALANCE_ADJUST_INTERVAL);
  report (fixture, 3, 0, 1);
  decide (fixture, 100, GBD_BALANCE_ADJUST_INTERVAL);
  for (int i = 0; i < SERVERS; i++)
    assert_int_equal (fixture->weights[i], BASE);
  teardown (fixture);
}

/* No report can set a weight to 0; only a configured weight of 0 does. */
static void
reports_never_reduce_a_weight_to_zero (void **state)
{
  (void)state;
  fixture_t *fixture = setup ();
  for (int i = 0; i < 50; i++)
    {
      report (fixture, 3, 5000, 50000);
      decide (fixture, 100, GBD_BALANCE_ADJUST_INTERVAL);
    }
  for (int i = 0; i < SERVERS; i++)
    assert_true (fixture->weights[i] > 0);
  fixture->configured[5] = 0;
  decide (fixture, 100, 0);
  assert_int_equal (fixture->weights[5], 0);
  teardown (fixture);
}

static void
new_server_has_a_slow_start (void **state)
{
  (void)state;
  fixture_t *fixture = setup ();
  fixture->backends[7].id = 99;
  decide (fixture, 100, GBD_SECOND);
  assert_int_equal (fixture->weights[7], BASE / GBD_BALANCE_SLOW_START_STEPS);
  uint16_t previous = fixture->weights[7];
  for (int i = 1; i < GBD_BALANCE_SLOW_START_STEPS; i++)
    {
      decide (fixture, 100,
              GBD_BALANCE_SLOW_START_TIME / GBD_BALANCE_SLOW_START_STEPS);
      assert_true (fixture->weights[7] > previous);
      previous = fixture->weights[7];
    }
  assert_int_equal (previous, BASE);
  teardown (fixture);
}

static void
full_server_keeps_a_small_weight (void **state)
{
  (void)state;
  fixture_t *fixture = setup ();
  report (fixture, 2, 225, 249);
  decide (fixture, 0, 0);
  assert_in_range (fixture->weights[2], 1, BASE / 10);
  assert_true (fixture->weights[2] < fixture->weights[1]);
  teardown (fixture);
}

static void
report_with_unknown_slot_has_no_effect (void **state)
{
  (void)state;
  fixture_t *fixture = setup ();
  gbd_load_entry_t entries[] = { { .slot = 0, .open_flows = 9 },
                                 { .slot = SERVERS, .open_flows = 9 } };
  assert_int_equal (gbd_balance_receive (fixture->balance, fixture->table, 1,
                                         entries, 2, fixture->now),
                    GBD_ERROR_RANGE);
  gbd_balance_info_t info;
  assert_int_equal (gbd_balance_get (fixture->balance, 1, &info), GBD_OK);
  assert_int_equal (info.open_flows, 0);
  teardown (fixture);
}

/* A new coordinator keeps the shares of the current table, and moves no bucket
   before it has received reports itself. */
static void
new_coordinator_keeps_the_shares (void **state)
{
  (void)state;
  fixture_t *fixture = setup ();
  uint32_t moved_count = 0;
  uint32_t count = 0;
  for (uint32_t i = 0; i < fixture->table->bucket_count; i++)
    {
      gbd_bucket_t *bucket = &fixture->table->buckets[i];
      if (bucket->to != 3)
        continue;
      if (++count % 2 == 0)
        {
          bucket->from = bucket->to = 4;
          moved_count++;
        }
    }
  assert_true (moved_count > 0);
  gbd_balance_t *next = gbd_balance_new ();
  gbd_balance_restore (next, fixture->table, fixture->backends,
                       fixture->configured, SERVERS, fixture->now);
  gbd_balance_compute_weights (next, fixture->backends, fixture->configured,
                               SERVERS, 100, fixture->now, fixture->weights);
  assert_true (fixture->weights[3] < BASE * 6 / 10);
  assert_true (fixture->weights[4] > BASE * 14 / 10);
  gbd_slot_t targets[256];
  assert_int_equal (
      gbd_table_plan (fixture->table, fixture->weights, 256, targets), 0);
  /* After the first decision, gbd_balance_restore() has no effect. */
  gbd_balance_restore (fixture->balance, fixture->table, fixture->backends,
                       fixture->configured, SERVERS, fixture->now);
  decide (fixture, 100, 0);
  assert_int_equal (fixture->weights[3], BASE);
  gbd_balance_delete (next);
  teardown (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (weight_of_a_loaded_server_falls_in_bounded_steps),
    cmocka_unit_test (small_deviation_or_disabled_balance_keeps_weights),
    cmocka_unit_test (idle_service_keeps_its_weights),
    cmocka_unit_test (reports_never_reduce_a_weight_to_zero),
    cmocka_unit_test (new_server_has_a_slow_start),
    cmocka_unit_test (full_server_keeps_a_small_weight),
    cmocka_unit_test (new_coordinator_keeps_the_shares),
    cmocka_unit_test (report_with_unknown_slot_has_no_effect),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
