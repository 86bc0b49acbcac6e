#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gooseberrydrum/suspicion.h"

#define START (1000 * GBD_SECOND)

/* Load: a backend server is silent for 6 s under 20 new flows a second. */
static void
trials_of_a_silent_server_grow_rare (void **state)
{
  (void)state;
  gbd_suspicion_t suspicion = { 0 };
  uint32_t placed = 0;
  for (gbd_time_t now = START; now < START + 6 * GBD_SECOND;
       now += 50 * GBD_MILLISECOND)
    {
      if (!gbd_suspicion_admits (&suspicion, now))
        continue;
      gbd_suspicion_placed (&suspicion, now);
      gbd_suspicion_unanswered (&suspicion, now, now + 200 * GBD_MILLISECOND);
      placed++;
    }
  assert_in_range (placed, 4, 8);
}

static void
an_answer_clears_and_an_older_sending_does_not_count (void **state)
{
  (void)state;
  gbd_suspicion_t suspicion = { 0 };
  assert_true (gbd_suspicion_unanswered (&suspicion, START, START + 1));
  assert_false (gbd_suspicion_unanswered (&suspicion, START, START + 2));
  assert_true (gbd_suspicion_is_suspected (&suspicion));
  gbd_suspicion_answered (&suspicion, START + 10);
  assert_true (gbd_suspicion_admits (&suspicion, START + 10));
  /* Lost, not unanswered: something sent later was answered. */
  assert_false (gbd_suspicion_unanswered (&suspicion, START + 9, START + 20));
  assert_false (gbd_suspicion_is_suspected (&suspicion));
  assert_true (gbd_suspicion_unanswered (&suspicion, START + 11, START + 20));
}

static void
a_trial_is_due_at_the_latest_after_the_longest_interval (void **state)
{
  (void)state;
  gbd_suspicion_t suspicion = { 0 };
  gbd_time_t now = START;
  gbd_suspicion_unanswered (&suspicion, now, now);
  for (int i = 0; i < 20; i++)
    {
      now += GBD_SUSPICION_LONGEST_TRIAL;
      assert_true (gbd_suspicion_admits (&suspicion, now));
      gbd_suspicion_placed (&suspicion, now);
      assert_false (gbd_suspicion_admits (&suspicion, now));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (trials_of_a_silent_server_grow_rare),
    cmocka_unit_test (an_answer_clears_and_an_older_sending_does_not_count),
    cmocka_unit_test (a_trial_is_due_at_the_latest_after_the_longest_interval),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
