#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "gooseberrydrum/limits.h"

#define MEMBERS 9
#define LIMIT 4000
#define OPEN_LIMIT 20000
#define IDLE_S 16
#define STEP (10 * GBD_MILLISECOND)

/* Limiters that report to each other.  is_partitioned selects one of two
   partitions between which no reports pass. */
typedef struct
{
  gbd_limits_t *limits[MEMBERS];
  bool is_running[MEMBERS];
  bool is_partitioned[MEMBERS];
  uint32_t demand[MEMBERS];   /* new flows requested per second */
  uint64_t admitted[MEMBERS]; /* in the current run */
  gbd_catalog_t *catalog;
  gbd_time_t now;
  uint32_t sender;
} fixture_t;

static void
deliver (void *data, const gbd_limits_report_t *report)
{
  fixture_t *fixture = data;
  uint32_t from = fixture->sender;
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      if (fixture->is_running[i] && i != from
          && fixture->is_partitioned[i] == fixture->is_partitioned[from])
        gbd_limits_receive (fixture->limits[i], from + 1, report);
    }
}

static void
set_members (fixture_t *fixture, uint32_t first, uint32_t last)
{
  gbd_instance_id_t members[MEMBERS];
  for (uint32_t i = first; i < last; i++)
    members[i - first] = i + 1;
  for (uint32_t i = first; i < last; i++)
    gbd_limits_set_members (fixture->limits[i], members, last - first);
}

static uint64_t
run (fixture_t *fixture, uint32_t seconds)
{
  memset (fixture->admitted, 0, sizeof fixture->admitted);
  gbd_time_t end = fixture->now + seconds * GBD_SECOND;
  for (; fixture->now < end; fixture->now += STEP)
    for (uint32_t i = 0; i < MEMBERS; i++)
      {
        if (!fixture->is_running[i])
          continue;
        fixture->sender = i;
        gbd_limits_end_round (fixture->limits[i], fixture->now, deliver,
                              fixture);
        uint32_t demand = fixture->demand[i] / 100;
        for (uint32_t flow = 0; flow < demand; flow++)
          {
            fixture->admitted[i] += gbd_limits_admission.admits (
                fixture->limits[i], 0, fixture->now);
            gbd_limits_admission.opened (fixture->limits[i], 0, fixture->now);
          }
      }
  uint64_t total = 0;
  for (uint32_t i = 0; i < MEMBERS; i++)
    total += fixture->admitted[i];
  return total;
}

static fixture_t *
setup (uint32_t open_limit)
{
  static fixture_t fixture;
  memset (&fixture, 0, sizeof fixture);
  fixture.now = 50 * GBD_SECOND;
  fixture.catalog = gbd_catalog_new (1);
  gbd_plan_t plan = {
    .name = "plan",
    .open_flows = open_limit,
    .new_flows_per_second = LIMIT,
    .idle_limit_s = IDLE_S,
  };
  gbd_catalog_add_plan (fixture.catalog, &plan);
  gbd_catalog_add_customer (fixture.catalog, "maji-laini", 0);
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      fixture.limits[i] = gbd_limits_new (i + 1, fixture.now);
      assert_non_null (fixture.limits[i]);
      gbd_limits_set_catalog (fixture.limits[i], fixture.catalog);
      fixture.is_running[i] = i < 8;
    }
  set_members (&fixture, 0, 8);
  return &fixture;
}

static void
teardown (fixture_t *fixture)
{
  for (uint32_t i = 0; i < MEMBERS; i++)
    gbd_limits_delete (fixture->limits[i]);
  gbd_catalog_delete (fixture->catalog);
}

static void
set_demand (fixture_t *fixture, uint32_t each)
{
  for (uint32_t i = 0; i < MEMBERS; i++)
    fixture->demand[i] = each;
}

/* Check that the flows admitted in 10 s are within 10% of the limit. */
static void
check_rate (uint64_t admitted)
{
  assert_in_range (admitted, LIMIT * 10 * 9 / 10, LIMIT * 10 * 11 / 10);
}

static void
rate_holds_for_even_and_skewed_demand (void **state)
{
  (void)state;
  fixture_t *fixture = setup (100000000);
  set_demand (fixture, 1000);
  check_rate (run (fixture, 10));
  set_demand (fixture, 100);
  fixture->demand[3] = 20000;
  check_rate (run (fixture, 10));
  teardown (fixture);
}

static void
demand_under_the_limit_is_admitted (void **state)
{
  (void)state;
  fixture_t *fixture = setup (100000000);
  set_demand (fixture, 100);
  fixture->demand[0] = 2000;
  run (fixture, 3);
  assert_int_equal (run (fixture, 10), (2000 + 7 * 100) * 10);
  teardown (fixture);
}

static void
rate_holds_after_join_and_failure (void **state)
{
  (void)state;
  fixture_t *fixture = setup (100000000);
  set_demand (fixture, 1000);
  run (fixture, 5);
  fixture->is_running[8] = true;
  set_members (fixture, 0, 9);
  check_rate (run (fixture, 10));
  fixture->is_running[0] = false;
  /* The failed member leaves the roster after two seconds. */
  run (fixture, 2);
  set_members (fixture, 1, 9);
  check_rate (run (fixture, 10));
  teardown (fixture);
}

static void
partition_does_not_multiply_the_limit (void **state)
{
  (void)state;
  fixture_t *fixture = setup (100000000);
  set_demand (fixture, 1000);
  run (fixture, 5);
  for (uint32_t i = 0; i < 4; i++)
    fixture->is_partitioned[i] = true;
  check_rate (run (fixture, 10));
  teardown (fixture);
}

static void
open_flow_limit_holds_and_frees_closed_flows (void **state)
{
  (void)state;
  fixture_t *fixture = setup (OPEN_LIMIT);
  set_demand (fixture, 1000);
  uint64_t admitted = run (fixture, 20);
  assert_in_range (admitted, OPEN_LIMIT * 9 / 10, OPEN_LIMIT * 11 / 10);
  /* Half of the flows close at the instance that opened them, half at
     another. */
  for (int i = 0; i < 1000; i++)
    {
      gbd_limits_admission.ended (fixture->limits[1], 0, GBD_FLOW_END_CLOSED,
                                  fixture->now);
      gbd_limits_admission.ended (fixture->limits[2], 0,
                                  GBD_FLOW_END_ELSEWHERE, fixture->now);
    }
  admitted = run (fixture, 10);
  assert_in_range (admitted, 1800, 2200);
  teardown (fixture);
}

/* A flow closes at another instance and later expires at the instance that
   opened it.  It must be subtracted only once. */
static void
remote_close_is_counted_once (void **state)
{
  (void)state;
  fixture_t *fixture = setup (OPEN_LIMIT);
  set_demand (fixture, 100);
  run (fixture, 10);
  set_demand (fixture, 0);
  run (fixture, 4);
  gbd_limits_info_t info;
  gbd_limits_get (fixture->limits[5], 0, &info);
  uint32_t before = info.open_flows;
  assert_int_equal (before, 8000);
  for (int i = 0; i < 500; i++)
    gbd_limits_admission.ended (fixture->limits[2], 0, GBD_FLOW_END_ELSEWHERE,
                                fixture->now);
  run (fixture, 2);
  gbd_limits_get (fixture->limits[5], 0, &info);
  assert_int_equal (info.open_flows, before - 500);
  run (fixture, IDLE_S + 4);
  for (int i = 0; i < 500; i++)
    gbd_limits_admission.ended (fixture->limits[1], 0, GBD_FLOW_END_IDLE,
                                fixture->now);
  run (fixture, 2);
  gbd_limits_get (fixture->limits[5], 0, &info);
  assert_int_equal (info.open_flows, before - 500);
  teardown (fixture);
}

/* A member that joins must receive the number of open flows even if it does
   not change, and flows that were opened by a member that has left must still
   count. */
static void
open_flows_are_kept_when_members_change (void **state)
{
  (void)state;
  fixture_t *fixture = setup (OPEN_LIMIT);
  for (uint32_t i = 0; i < 8; i++)
    fixture->demand[i] = 400;
  run (fixture, 4);
  for (uint32_t i = 0; i < 8; i++)
    fixture->demand[i] = 0;
  run (fixture, 3);
  gbd_limits_info_t before;
  gbd_limits_get (fixture->limits[4], 0, &before);
  assert_true (before.open_flows > OPEN_LIMIT / 2);

  fixture->is_running[8] = true;
  set_members (fixture, 0, 9);
  run (fixture, 2);
  gbd_limits_info_t info;
  gbd_limits_get (fixture->limits[8], 0, &info);
  assert_int_equal (info.open_flows, before.open_flows);

  fixture->is_running[0] = false;
  set_members (fixture, 1, 9);
  run (fixture, 2);
  for (uint32_t i = 1; i < 9; i++)
    {
      gbd_limits_get (fixture->limits[i], 0, &info);
      assert_int_equal (info.open_flows, before.open_flows);
    }
  run (fixture, IDLE_S);
  gbd_limits_get (fixture->limits[1], 0, &info);
  assert_true (info.open_flows < before.open_flows);
  teardown (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (rate_holds_for_even_and_skewed_demand),
    cmocka_unit_test (demand_under_the_limit_is_admitted),
    cmocka_unit_test (rate_holds_after_join_and_failure),
    cmocka_unit_test (partition_does_not_multiply_the_limit),
    cmocka_unit_test (open_flow_limit_holds_and_frees_closed_flows),
    cmocka_unit_test (open_flows_are_kept_when_members_change),
    cmocka_unit_test (remote_close_is_counted_once),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
