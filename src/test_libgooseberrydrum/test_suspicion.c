#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gooseberrydrum/suspicion.h"

#define START (1000 * GBD_SECOND)

/* A backend server does not respond for 6 s while 20 new flows arrive a
   second. */
static void
trial_interval_grows_while_a_server_does_not_respond (void **state)
{
  (void)state;
  gbd_suspicion_t suspicion = { 0 };
  uint32_t placed = 0;
  for (gbd_time_t now = START; now < START + 6 * GBD_SECOND;
       now += 50 * GBD_MILLISECOND)
    {
      if (!gbd_suspicion_accepts_flow (&suspicion, now))
        continue;
      gbd_suspicion_record_placement (&suspicion, now);
      gbd_suspicion_record_failure (&suspicion, now,
                                    now + 200 * GBD_MILLISECOND);
      placed++;
    }
  assert_in_range (placed, 4, 8);
}

static void
response_clears_suspicion_and_outdates_earlier_packets (void **state)
{
  (void)state;
  gbd_suspicion_t suspicion = { 0 };
  assert_true (gbd_suspicion_record_failure (&suspicion, START, START + 1));
  assert_false (gbd_suspicion_record_failure (&suspicion, START, START + 2));
  assert_true (gbd_suspicion_is_suspected (&suspicion));
  gbd_suspicion_record_response (&suspicion, START + 10);
  assert_true (gbd_suspicion_accepts_flow (&suspicion, START + 10));
  /* The packet was lost: a later one got a response. */
  assert_false (
      gbd_suspicion_record_failure (&suspicion, START + 9, START + 20));
  assert_false (gbd_suspicion_is_suspected (&suspicion));
  assert_true (
      gbd_suspicion_record_failure (&suspicion, START + 11, START + 20));
}

static void
trial_interval_is_bounded (void **state)
{
  (void)state;
  gbd_suspicion_t suspicion = { 0 };
  gbd_time_t now = START;
  gbd_suspicion_record_failure (&suspicion, now, now);
  for (int i = 0; i < 20; i++)
    {
      now += GBD_SUSPICION_LONGEST_TRIAL;
      assert_true (gbd_suspicion_accepts_flow (&suspicion, now));
      gbd_suspicion_record_placement (&suspicion, now);
      assert_false (gbd_suspicion_accepts_flow (&suspicion, now));
    }
}

/* A backend server is stopped for 6 s while its entry stays listed, and then
   restarts. */
static void
refused_probes_block_trials_until_a_probe_is_accepted (void **state)
{
  (void)state;
  gbd_suspicion_t suspicion = { 0 };
  gbd_time_t recovery_time = START + 6 * GBD_SECOND;
  gbd_time_t now = START;
  uint32_t probes = 0;
  uint32_t placed = 0;
  gbd_suspicion_record_failure (&suspicion, START, START);
  for (; now < recovery_time + GBD_SUSPICION_LONGEST_TRIAL;
       now += 50 * GBD_MILLISECOND)
    {
      if (gbd_suspicion_is_probe_due (&suspicion, now))
        {
          gbd_suspicion_begin_probe (&suspicion, now);
          gbd_suspicion_record_probe (&suspicion,
                                      now < recovery_time ? GBD_PROBE_REFUSED
                                                          : GBD_PROBE_ACCEPTED,
                                      now, now);
          probes++;
        }
      if (!gbd_suspicion_accepts_flow (&suspicion, now))
        continue;
      assert_true (now >= recovery_time);
      gbd_suspicion_record_placement (&suspicion, now);
      placed++;
    }
  assert_true (placed > 0);
  /* Probes after 0.2, 0.4 and 0.8 s, then every 1.6 s. */
  assert_in_range (probes, 5, 9);
}

static void
flow_response_overrides_an_earlier_probe (void **state)
{
  (void)state;
  gbd_suspicion_t suspicion = { 0 };
  gbd_suspicion_record_failure (&suspicion, START, START);
  gbd_suspicion_record_response (&suspicion, START + 10);
  assert_false (gbd_suspicion_record_probe (&suspicion, GBD_PROBE_REFUSED,
                                            START + 5, START + 20));
  gbd_suspicion_record_failure (&suspicion, START + 30, START + 40);
  assert_false (gbd_suspicion_record_probe (&suspicion, GBD_PROBE_NO_RESPONSE,
                                            START + 5, START + 50));
  assert_true (gbd_suspicion_record_probe (&suspicion, GBD_PROBE_NO_RESPONSE,
                                           START + 40, START + 50));
  assert_int_equal (gbd_suspicion_get_probe (&suspicion, START + 50),
                    GBD_PROBE_NO_RESPONSE);
  /* A probe result expires after GBD_SUSPICION_PROBE_VALIDITY, and a response
     of the server clears it. */
  assert_int_equal (gbd_suspicion_get_probe (
                        &suspicion, START + 41 + GBD_SUSPICION_PROBE_VALIDITY),
                    GBD_PROBE_NONE);
  gbd_suspicion_record_response (&suspicion, START + 60);
  assert_int_equal (gbd_suspicion_get_probe (&suspicion, START + 60),
                    GBD_PROBE_NONE);
}

/* Guards against a trial flow that counts as overdue when a backend server has
   just returned: it would be a request that must not run twice. */
static void
trial_is_not_overdue_right_after_the_return (void **state)
{
  (void)state;
  gbd_suspicion_t suspicion = { 0 };
  assert_false (gbd_suspicion_is_trial_overdue (&suspicion, START));
  gbd_suspicion_record_failure (&suspicion, START, START);
  gbd_time_t now = START + 10 * GBD_SECOND;
  gbd_suspicion_record_probe (&suspicion, GBD_PROBE_REFUSED, now, now);
  now += GBD_SECOND;
  assert_true (
      gbd_suspicion_record_probe (&suspicion, GBD_PROBE_ACCEPTED, now, now));
  assert_true (gbd_suspicion_accepts_flow (&suspicion, now));
  assert_false (gbd_suspicion_is_trial_overdue (&suspicion, now));
  now += GBD_SUSPICION_LONGEST_TRIAL;
  assert_true (gbd_suspicion_is_trial_overdue (&suspicion, now));
  /* A trial flow was sent. */
  gbd_suspicion_record_placement (&suspicion, now);
  assert_false (gbd_suspicion_is_trial_overdue (&suspicion, now));
}

/* Guards against a record that counts as unbroken while a server is suspected,
   or right after it has recovered from a long failure. */
static void
record_is_broken_until_some_time_after_the_recovery (void **state)
{
  (void)state;
  gbd_suspicion_t suspicion = { 0 };
  assert_false (gbd_suspicion_has_failed (&suspicion, GBD_SECOND, 1));
  gbd_suspicion_record_failure (&suspicion, START, START);
  gbd_time_t now = START + 20 * GBD_SECOND;
  assert_true (gbd_suspicion_has_failed (&suspicion, GBD_SECOND, now));
  gbd_suspicion_record_response (&suspicion, now);
  assert_true (
      gbd_suspicion_has_failed (&suspicion, GBD_SECOND, now + GBD_SECOND - 1));
  gbd_suspicion_record_response (&suspicion, now + GBD_SECOND / 2);
  assert_false (
      gbd_suspicion_has_failed (&suspicion, GBD_SECOND, now + GBD_SECOND));
  gbd_suspicion_record_reset (&suspicion, now + 2 * GBD_SECOND);
  assert_true (
      gbd_suspicion_has_failed (&suspicion, GBD_SECOND, now + 2 * GBD_SECOND));
}

/* The process is paused longer than the result of a probe is valid.  Guards
   against a server that was down, and counts as waiting for a trial flow that
   was not possible. */
static void
trial_is_not_overdue_after_a_pause_while_a_server_is_down (void **state)
{
  (void)state;
  static const gbd_probe_result_t results[]
      = { GBD_PROBE_REFUSED, GBD_PROBE_NO_RESPONSE };
  for (size_t i = 0; i < sizeof results / sizeof results[0]; i++)
    {
      gbd_suspicion_t suspicion = { 0 };
      gbd_suspicion_record_failure (&suspicion, START, START);
      gbd_suspicion_begin_probe (&suspicion, START);
      gbd_suspicion_record_probe (&suspicion, results[i], START, START + 1);
      gbd_time_t now = START + 2 * GBD_SUSPICION_PROBE_VALIDITY;
      assert_false (gbd_suspicion_is_trial_overdue (&suspicion, now));
      gbd_suspicion_begin_probe (&suspicion, now);
      gbd_suspicion_record_probe (&suspicion, GBD_PROBE_ACCEPTED, now, now);
      now += GBD_SUSPICION_LONGEST_TRIAL;
      assert_false (gbd_suspicion_is_trial_overdue (&suspicion, now - 1));
      assert_true (gbd_suspicion_is_trial_overdue (&suspicion, now));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (trial_interval_grows_while_a_server_does_not_respond),
    cmocka_unit_test (refused_probes_block_trials_until_a_probe_is_accepted),
    cmocka_unit_test (flow_response_overrides_an_earlier_probe),
    cmocka_unit_test (response_clears_suspicion_and_outdates_earlier_packets),
    cmocka_unit_test (trial_interval_is_bounded),
    cmocka_unit_test (trial_is_not_overdue_right_after_the_return),
    cmocka_unit_test (
        trial_is_not_overdue_after_a_pause_while_a_server_is_down),
    cmocka_unit_test (record_is_broken_until_some_time_after_the_recovery),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
