#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>

#include "gooseberrydrum/counters.h"

static const gbd_counter_info_t drops
    = { "drops_total", "Packets dropped.", GBD_COUNTER_MONOTONIC, "cause",
        "limit" };

static void
metrics_are_grouped_and_escaped (void **state)
{
  (void)state;
  gbd_counters_t *counters = gbd_counters_new ();
  gbd_counter_info_t escaped = drops;
  escaped.value = "a\\b\"c\nd";
  gbd_counter_info_t flows
      = { "flows", "Flows open.", GBD_COUNTER_GAUGE, NULL, NULL };
  gbd_counter_t first = gbd_counters_add (counters, &drops);
  gbd_counter_t open = gbd_counters_add (counters, &flows);
  gbd_counter_t second = gbd_counters_add (counters, &escaped);
  gbd_counters_increase (counters, first, 2);
  gbd_counters_increase (counters, first, 3);
  gbd_counters_set (counters, open, UINT64_MAX);
  gbd_counters_increase (counters, second, 1);

  char *text = gbd_counters_format (counters);
  assert_string_equal (text, "# HELP drops_total Packets dropped.\n"
                             "# TYPE drops_total counter\n"
                             "drops_total{cause=\"limit\"} 5\n"
                             "drops_total{cause=\"a\\\\b\\\"c\\nd\"} 1\n"
                             "# HELP flows Flows open.\n"
                             "# TYPE flows gauge\n"
                             "flows 18446744073709551615\n");
  free (text);
  gbd_counters_delete (counters);
}

static void
counters_are_added_once_up_to_a_limit (void **state)
{
  (void)state;
  gbd_counters_t *counters = gbd_counters_new ();
  gbd_counter_t first = gbd_counters_add (counters, &drops);
  assert_int_equal (gbd_counters_add (counters, &drops), first);
  for (int i = 0; i < GBD_COUNTERS_MAX - 1; i++)
    {
      char value[16];
      gbd_counter_info_t info = drops;
      snprintf (value, sizeof value, "%d", i);
      info.value = value;
      assert_true (gbd_counters_add (counters, &info) != GBD_COUNTER_NONE);
    }
  gbd_counter_info_t info = drops;
  info.value = "one more";
  gbd_counter_t none = gbd_counters_add (counters, &info);
  assert_true (none == GBD_COUNTER_NONE);
  gbd_counters_increase (counters, none, 1);
  gbd_counters_set (counters, none, 1);
  assert_int_equal (gbd_counters_get (counters, none), 0);
  gbd_counters_delete (counters);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (metrics_are_grouped_and_escaped),
    cmocka_unit_test (counters_are_added_once_up_to_a_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
