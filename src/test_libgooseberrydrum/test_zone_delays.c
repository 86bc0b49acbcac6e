#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gooseberrydrum/zone_delays.h"

#define LOCAL 1
#define OTHER 2
#define MS GBD_MILLISECOND

static gbd_zone_delays_t
observe (gbd_time_t local, gbd_time_t other)
{
  gbd_zone_delays_t delays = { 0 };
  gbd_zone_delays_add (&delays, LOCAL, local);
  gbd_zone_delays_add (&delays, OTHER, other);
  return delays;
}

static void
least_cost_holds_until_both_zones_and_requests_are_observed (void **state)
{
  (void)state;
  gbd_zone_delays_t delays = { 0 };
  assert_int_equal (gbd_zone_delays_get_cost (&delays, LOCAL, LOCAL, 0), 0);
  assert_int_equal (gbd_zone_delays_get_cost (&delays, LOCAL, OTHER, 30 * MS),
                    GBD_ZONE_DELAYS_COST_MIN);
  gbd_zone_delays_add (&delays, LOCAL, 6 * MS);
  assert_int_equal (gbd_zone_delays_get_cost (&delays, LOCAL, OTHER, 30 * MS),
                    GBD_ZONE_DELAYS_COST_MIN);
  gbd_zone_delays_add (&delays, OTHER, 36 * MS);
  assert_int_equal (gbd_zone_delays_get_cost (&delays, LOCAL, OTHER, 0),
                    GBD_ZONE_DELAYS_COST_MIN);
  assert_int_not_equal (
      gbd_zone_delays_get_cost (&delays, LOCAL, OTHER, 30 * MS),
      GBD_ZONE_DELAYS_COST_MIN);
}

typedef struct
{
  const char *label;
  gbd_time_t local; /* set-up time in the local zone */
  gbd_time_t other;
  gbd_time_t response_time;
  uint64_t cost; /* two round trips over the processing time, in thousandths */
} cost_case_t;

static const cost_case_t cost_cases[] = {
  { "as long as two requests", 6 * MS, 26 * MS, 26 * MS, 2000 },
  { "near zones, long requests", 6 * MS, 7 * MS, 506 * MS,
    GBD_ZONE_DELAYS_COST_MIN },
  { "far zones, short requests", 6 * MS, 126 * MS, 8 * MS,
    GBD_ZONE_DELAYS_COST_MAX },
  { "far zones, long requests", 6 * MS, 126 * MS, 166 * MS, 1500 },
  { "no farther than the local zone", 6 * MS, 5 * MS, 26 * MS,
    GBD_ZONE_DELAYS_COST_MIN },
};

static void
cost_is_the_delay_in_processing_times (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cost_cases / sizeof cost_cases[0]; i++)
    {
      const cost_case_t *cost_case = &cost_cases[i];
      gbd_zone_delays_t delays = observe (cost_case->local, cost_case->other);
      uint64_t cost = gbd_zone_delays_get_cost (&delays, LOCAL, OTHER,
                                                cost_case->response_time);
      if (cost != cost_case->cost)
        fail_msg ("%s: %llu", cost_case->label, (unsigned long long)cost);
    }
}

/* The path between two zones changes. */
static void
average_follows_a_change (void **state)
{
  (void)state;
  gbd_zone_delays_t delays = observe (6 * MS, 16 * MS);
  gbd_zone_delays_add (&delays, OTHER, 400 * MS);
  assert_true (gbd_zone_delays_get (&delays, OTHER) < 70 * MS);
  for (int i = 0; i < 60; i++)
    gbd_zone_delays_add (&delays, OTHER, 40 * MS);
  assert_in_range (gbd_zone_delays_get (&delays, OTHER), 39 * MS, 41 * MS);
  assert_int_equal (gbd_zone_delays_get (&delays, LOCAL), 6 * MS);
}

static void
zones_beyond_the_limit_are_not_observed (void **state)
{
  (void)state;
  gbd_zone_delays_t delays = { 0 };
  for (gbd_zone_id_t zone = 1; zone <= 2 * GBD_ZONE_DELAYS_MAX; zone++)
    gbd_zone_delays_add (&delays, zone, 6 * MS);
  assert_int_equal (gbd_zone_delays_get (&delays, GBD_ZONE_DELAYS_MAX),
                    6 * MS);
  assert_int_equal (gbd_zone_delays_get (&delays, GBD_ZONE_DELAYS_MAX + 1), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        least_cost_holds_until_both_zones_and_requests_are_observed),
    cmocka_unit_test (cost_is_the_delay_in_processing_times),
    cmocka_unit_test (average_follows_a_change),
    cmocka_unit_test (zones_beyond_the_limit_are_not_observed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
