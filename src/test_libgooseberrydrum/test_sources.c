#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gooseberrydrum/sources.h"

#define START (1000 * GBD_SECOND)

/* Two relays and the platform, which is the first source read. */
static gbd_sources_t
make_sources (void)
{
  gbd_sources_t sources;
  gbd_sources_init (&sources, 3, 2);
  return sources;
}

static void
reader_moves_from_the_platform_to_a_relay (void **state)
{
  (void)state;
  gbd_sources_t sources = make_sources ();
  assert_int_equal (sources.current, 2);
  gbd_sources_record_success (&sources);
  assert_true (gbd_sources_fail_back (&sources, START));
  assert_int_equal (sources.current, 0);
  gbd_sources_record_success (&sources);
  assert_false (gbd_sources_fail_back (&sources, START));
}

/* The relays fail one after the other, then the platform. */
static void
each_source_is_tried_before_backing_off (void **state)
{
  (void)state;
  gbd_sources_t sources = make_sources ();
  gbd_sources_fail_back (&sources, START);
  assert_true (gbd_sources_fail_over (&sources, START));
  assert_int_equal (sources.current, 1);
  assert_true (gbd_sources_fail_over (&sources, START));
  assert_int_equal (sources.current, 2);
  assert_false (gbd_sources_fail_over (&sources, START));
}

static void
failed_relay_is_retried_after_its_backoff (void **state)
{
  (void)state;
  gbd_sources_t sources = make_sources ();
  gbd_time_t now = START;
  gbd_sources_fail_back (&sources, now);
  gbd_sources_fail_over (&sources, now);
  gbd_sources_fail_over (&sources, now);
  gbd_sources_record_success (&sources);
  assert_int_equal (sources.current, 2);
  assert_false (
      gbd_sources_fail_back (&sources, now + GBD_SOURCES_INITIAL_BACKOFF - 1));
  assert_true (
      gbd_sources_fail_back (&sources, now + GBD_SOURCES_INITIAL_BACKOFF));
  assert_int_equal (sources.current, 0);
}

static void
backoff_doubles_up_to_the_limit (void **state)
{
  (void)state;
  gbd_sources_t sources;
  gbd_sources_init (&sources, 1, 0);
  gbd_time_t now = START;
  gbd_time_t previous = 0;
  for (int i = 0; i < 10; i++)
    {
      assert_false (gbd_sources_fail_over (&sources, now));
      gbd_time_t backoff = sources.sources[0].retry_at - now;
      assert_true (backoff >= previous && backoff <= GBD_SOURCES_MAX_BACKOFF);
      previous = backoff;
      now += backoff;
    }
  assert_int_equal (previous, GBD_SOURCES_MAX_BACKOFF);
  gbd_sources_record_success (&sources);
  gbd_sources_fail_over (&sources, now);
  assert_int_equal (sources.sources[0].retry_at - now,
                    GBD_SOURCES_INITIAL_BACKOFF);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (reader_moves_from_the_platform_to_a_relay),
    cmocka_unit_test (each_source_is_tried_before_backing_off),
    cmocka_unit_test (failed_relay_is_retried_after_its_backoff),
    cmocka_unit_test (backoff_doubles_up_to_the_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
