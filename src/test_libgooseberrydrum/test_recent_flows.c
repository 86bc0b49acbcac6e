#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gooseberrydrum/recent_flows.h"

#define START (1000 * GBD_SECOND)

static void
count_falls_to_zero_without_new_flows (void **state)
{
  (void)state;
  gbd_recent_flows_t recent = { 0 };
  assert_true (gbd_recent_flows_get (&recent, START) == 0);
  gbd_recent_flows_add (&recent, START);
  gbd_recent_flows_add (&recent, START);
  assert_true (gbd_recent_flows_get (&recent, START) == 2);
  assert_true (
      gbd_recent_flows_get (&recent, START + GBD_RECENT_FLOWS_TIME / 2) == 1);
  assert_true (gbd_recent_flows_get (&recent, START + GBD_RECENT_FLOWS_TIME)
               == 0);
}

/* The count approaches the number of new flows in GBD_RECENT_FLOWS_TIME, and
   falls by one in the time between two of them. */
static void
count_follows_the_rate (void **state)
{
  (void)state;
  for (uint32_t rate = 1; rate <= 1000; rate *= 10)
    {
      gbd_recent_flows_t recent = { 0 };
      for (uint32_t i = 0; i < 20 * rate; i++)
        gbd_recent_flows_add (&recent, START + i * GBD_SECOND / rate);
      double count = gbd_recent_flows_get (&recent, START + 20 * GBD_SECOND);
      assert_true (count <= rate);
      assert_true (count > rate - 1.001);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (count_falls_to_zero_without_new_flows),
    cmocka_unit_test (count_follows_the_rate),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
