#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>

#include "gooseberrydrum/warm_up.h"

#define START (1000 * GBD_SECOND)
#define TAIL_MAX 1e-5

static const gbd_warm_up_settings_t settings
    = { .instance = 77, .overshoot = 1.5, .slack = 5 };

/* Probability that a Poisson value exceeds a budget. */
static double
get_tail (double mean, uint32_t budget)
{
  double sum = 0;
  for (uint32_t i = budget + 1; i < budget + 2000; i++)
    sum += exp (i * log (mean) - mean - lgamma (i + 1.0));
  return sum;
}

/* Guards against a mean with which more instances than the budget allows take
   part too often. */
static void
participants_rarely_exceed_the_budget (void **state)
{
  (void)state;
  assert_true (gbd_warm_up_get_mean (0) <= 0);
  assert_true (gbd_warm_up_get_mean (1) <= 0);
  for (uint32_t budget = 2; budget <= 2000; budget++)
    {
      double mean = gbd_warm_up_get_mean (budget);
      assert_true (mean > 0);
      assert_true (get_tail (mean, budget) < TAIL_MAX);
    }
}

static gbd_warm_up_share_t
get_share (double rate, uint32_t total, gbd_time_t now)
{
  gbd_warm_up_limits_t limits
      = { .duration = 2 * GBD_SECOND, .rate = rate, .name = "" };
  gbd_warm_up_group_t group = { .bound = 0 };
  gbd_warm_up_group_update (&group, 0, START);
  gbd_warm_up_group_update (&group, total, START);
  return gbd_warm_up_get_share (&settings, &limits, &group, now);
}

/* Guards against a limit at deployments that state no figure. */
static void
no_figure_means_no_limit (void **state)
{
  (void)state;
  gbd_time_t now = START + GBD_MILLISECOND;
  assert_false (get_share (0, 9, now).is_limited);
  static const gbd_warm_up_settings_t absent = { .instance = 77 };
  gbd_warm_up_limits_t limits
      = { .duration = 2 * GBD_SECOND, .rate = 10, .name = "" };
  gbd_warm_up_group_t group = { .bound = 0 };
  gbd_warm_up_share_t share
      = gbd_warm_up_get_share (&absent, &limits, &group, now);
  assert_false (share.is_limited);
  gbd_warm_up_t server;
  gbd_warm_up_init (&server);
  assert_true (gbd_warm_up_allows (&share, &server, 1, now));
}

static void
budget_has_overshoot_and_slack (void **state)
{
  (void)state;
  gbd_warm_up_share_t share = get_share (10.5, 9, START + 20 * GBD_SECOND);
  assert_int_equal (share.budget, 20); /* 10.5 * 1.5 + 5 = 20.75 */
  assert_int_equal (share.group_bound, 14);
  assert_true (share.share > 0.4 && share.share < 0.5);
  /* With a high rate all instances take part, with several packets a second.
   */
  share = get_share (1000, 9, START + 20 * GBD_SECOND);
  assert_true (share.share >= 1);
  assert_true (GBD_SECOND / share.interval * 14 <= 1505);
  assert_true (GBD_SECOND / share.interval * 14 > 1000);
}

/* Guards against more than one packet in a sliding second, and against a
   second one right after a restart of the instance. */
static void
intervals_slide (void **state)
{
  (void)state;
  gbd_warm_up_share_t share = get_share (1000, 600, START + GBD_SECOND / 2);
  assert_true (share.is_starting);
  gbd_warm_up_t server;
  gbd_warm_up_init (&server);
  share.share = 1;
  assert_false (
      gbd_warm_up_allows (&share, &server, 1, START + GBD_SECOND / 2));
  share.is_starting = false;
  gbd_time_t now = START + 900 * GBD_MILLISECOND;
  assert_true (gbd_warm_up_allows (&share, &server, 1, now));
  gbd_warm_up_record_sent (&server, now);
  assert_false (gbd_warm_up_allows (&share, &server, 1, now + GBD_SECOND));
  assert_true (gbd_warm_up_allows (&share, &server, 1, now + share.interval));
  /* The packet left the process later than it was decided on. */
  gbd_warm_up_record_sent (&server, now + GBD_SECOND);
  assert_false (gbd_warm_up_allows (&share, &server, 1, now + share.interval));
}

/* Guards against a burst when the view shrinks although the instances still
   run, and against a loss of the bound with the view. */
static void
larger_group_applies_for_ten_seconds (void **state)
{
  (void)state;
  gbd_warm_up_group_t group = { .bound = 0 };
  assert_int_equal (gbd_warm_up_group_get_bound (&group, START), 300);
  gbd_warm_up_group_update (&group, 0, START);
  assert_int_equal (gbd_warm_up_group_get_bound (&group, START), 300);
  gbd_warm_up_group_update (&group, 9, START);
  assert_int_equal (gbd_warm_up_group_get_bound (&group, START), 300);
  gbd_time_t now = START + GBD_WARM_UP_GROUP_HOLD;
  assert_int_equal (gbd_warm_up_group_get_bound (&group, now), 14);
  gbd_warm_up_group_update (&group, 76, now);
  assert_int_equal (gbd_warm_up_group_get_bound (&group, now), 114);
  gbd_warm_up_group_update (&group, 0, now);
  assert_int_equal (gbd_warm_up_group_get_bound (&group, now), 114);
  gbd_warm_up_group_update (&group, 60, now);
  gbd_warm_up_group_update (&group, 50, now + 9 * GBD_SECOND);
  gbd_warm_up_group_update (&group, 50, now + 18 * GBD_SECOND);
  assert_int_equal (
      gbd_warm_up_group_get_bound (&group, now + 18 * GBD_SECOND), 114);
  assert_int_equal (
      gbd_warm_up_group_get_bound (&group, now + 19 * GBD_SECOND), 75);
}

/* Guards against a choice of participants that depends on more than the bound:
   those with a larger one must be among those with a smaller one. */
static void
participants_are_nested (void **state)
{
  (void)state;
  uint32_t counts[2] = { 0 };
  gbd_warm_up_share_t few = get_share (10, 300, START + 20 * GBD_SECOND);
  gbd_warm_up_share_t many = get_share (10, 60, START + 20 * GBD_SECOND);
  for (gbd_backend_id_t server = 1; server <= 20000; server++)
    {
      bool takes_part = gbd_warm_up_takes_part (&few, server);
      counts[0] += takes_part;
      counts[1] += gbd_warm_up_takes_part (&many, server);
      assert_true (!takes_part || gbd_warm_up_takes_part (&many, server));
    }
  assert_true (fabs (counts[0] - few.share * 20000) < 100);
  assert_true (fabs (counts[1] - many.share * 20000) < 200);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (participants_rarely_exceed_the_budget),
    cmocka_unit_test (no_figure_means_no_limit),
    cmocka_unit_test (budget_has_overshoot_and_slack),
    cmocka_unit_test (intervals_slide),
    cmocka_unit_test (larger_group_applies_for_ten_seconds),
    cmocka_unit_test (participants_are_nested),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
