#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gooseberrydrum/retry.h"

#define NOW (50 * GBD_SECOND)
#define PAUSE GBD_SECOND
#define TRIAL_TIMEOUT (2 * GBD_SECOND)

/* One event at the breaker and the resulting state. */
typedef struct
{
  enum
  {
    REQUEST,
    SUCCEED,
    FAIL
  } event;
  gbd_time_t after; /* time since the previous row */
  bool is_allowed;  /* expected result of REQUEST */
  gbd_breaker_state_t state;
} row_t;

static const row_t rows[] = {
  { REQUEST, 0, true, GBD_BREAKER_CLOSED },
  { FAIL, 0, false, GBD_BREAKER_CLOSED },
  { SUCCEED, 0, false, GBD_BREAKER_CLOSED },
  { FAIL, 0, false, GBD_BREAKER_CLOSED },
  { FAIL, 0, false, GBD_BREAKER_CLOSED },
  { FAIL, 0, false, GBD_BREAKER_OPEN },
  { REQUEST, 0, false, GBD_BREAKER_OPEN },
  { FAIL, 0, false, GBD_BREAKER_OPEN }, /* a call from before the pause */
  { REQUEST, PAUSE, true, GBD_BREAKER_HALF_OPEN },
  { REQUEST, 0, false, GBD_BREAKER_HALF_OPEN },
  { FAIL, 0, false, GBD_BREAKER_OPEN },
  { REQUEST, PAUSE / 2, false, GBD_BREAKER_OPEN },
  { REQUEST, 2 * PAUSE, true, GBD_BREAKER_HALF_OPEN },
  { REQUEST, TRIAL_TIMEOUT - 1, false, GBD_BREAKER_HALF_OPEN },
  { REQUEST, 1, true, GBD_BREAKER_HALF_OPEN }, /* the trial had no result */
  { SUCCEED, 0, false, GBD_BREAKER_CLOSED },
  { FAIL, 0, false, GBD_BREAKER_CLOSED },
  { REQUEST, 0, true, GBD_BREAKER_CLOSED },
};

static void
breaker_state_transitions (void **state)
{
  (void)state;
  gbd_breaker_t breaker;
  gbd_time_t now = NOW;
  gbd_breaker_init (&breaker, 3, PAUSE, 8 * PAUSE, TRIAL_TIMEOUT, 1);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const row_t *row = &rows[i];
      now += row->after;
      print_message ("row %zu\n", i);
      if (row->event == REQUEST)
        assert_int_equal (gbd_breaker_allow (&breaker, now), row->is_allowed);
      else
        gbd_breaker_report (&breaker, row->event == SUCCEED, now);
      assert_int_equal (gbd_breaker_get_state (&breaker, now), row->state);
    }
}

static void
bucket_refills_at_its_rate (void **state)
{
  (void)state;
  gbd_token_bucket_t bucket;
  gbd_token_bucket_init (&bucket, 10, 2, NOW);
  assert_true (gbd_token_bucket_take (&bucket, NOW));
  assert_true (gbd_token_bucket_take (&bucket, NOW));
  assert_false (gbd_token_bucket_take (&bucket, NOW));
  assert_false (gbd_token_bucket_take (&bucket, NOW + 99999));
  assert_true (gbd_token_bucket_take (&bucket, NOW + 100000));
  assert_false (gbd_token_bucket_take (&bucket, NOW + 100000));
  assert_true (gbd_token_bucket_take (&bucket, INT64_MAX));
  assert_true (gbd_token_bucket_take (&bucket, INT64_MAX));
  assert_false (gbd_token_bucket_take (&bucket, 0));
}

static void
budget_allows_one_retry_in_ten_calls (void **state)
{
  (void)state;
  gbd_retry_budget_t budget;
  gbd_retry_budget_init (&budget, GBD_RETRY_COST, 0, NOW);
  assert_true (gbd_retry_budget_spend (&budget, NOW)); /* free retry */
  assert_true (gbd_retry_budget_spend (&budget, NOW)); /* tokens of the full
                                                          budget */
  uint32_t retries = 0;
  for (int i = 0; i < 100; i++)
    {
      gbd_retry_budget_earn (&budget);
      retries += gbd_retry_budget_spend (&budget, NOW);
    }
  assert_int_equal (retries, 10);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (breaker_state_transitions),
    cmocka_unit_test (bucket_refills_at_its_rate),
    cmocka_unit_test (budget_allows_one_retry_in_ten_calls),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
