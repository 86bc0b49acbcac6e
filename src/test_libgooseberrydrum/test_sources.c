#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gooseberrydrum/sources.h"

#define START (1000 * GBD_SECOND)
#define PLATFORM 2
#define RANDOM_SEED 7
/* Pause between two rounds of a reader through its sources while all fail. */
#define ROUND_PAUSE GBD_SECOND

/* Two relays and the platform, after the first response of a relay. */
static gbd_sources_t
make_sources (uint64_t random_seed)
{
  gbd_sources_t sources;
  gbd_sources_init (&sources, 3, PLATFORM, true, random_seed, START);
  gbd_sources_record_success (&sources, START);
  return sources;
}

/* All instances of a group start for the first time.  The relays start last,
   and must not be left for the platform. */
static void
platform_is_left_out_at_the_first_start (void **state)
{
  (void)state;
  gbd_sources_t sources;
  gbd_sources_init (&sources, 3, PLATFORM, true, RANDOM_SEED, START);
  assert_int_equal (sources.current, 0);
  gbd_time_t end = START + GBD_SOURCES_FIRST_START_DELAY;
  for (gbd_time_t now = START; now < end; now += 10 * GBD_MILLISECOND)
    {
      gbd_sources_fail_over (&sources, now);
      assert_int_not_equal (sources.current, PLATFORM);
    }
  assert_true (gbd_sources_fail_over (&sources, end));
  assert_int_equal (sources.current, PLATFORM);
}

/* At any other start the relays may have been stopped too. */
static void
reader_moves_from_the_platform_to_a_relay (void **state)
{
  (void)state;
  gbd_sources_t sources;
  gbd_sources_init (&sources, 3, PLATFORM, false, RANDOM_SEED, START);
  assert_int_equal (sources.current, PLATFORM);
  gbd_sources_record_success (&sources, START);
  assert_true (gbd_sources_fail_back (&sources, START));
  assert_int_equal (sources.current, 0);
  gbd_sources_record_success (&sources, START);
  assert_false (gbd_sources_fail_back (&sources, START));
}

/* The relays were stopped too and start a little later than their readers.
   Hundreds of readers must not each make further requests to the platform. */
static void
readers_wait_for_relays_that_start_later (void **state)
{
  (void)state;
  gbd_sources_t sources;
  gbd_sources_init (&sources, 3, PLATFORM, false, RANDOM_SEED, START);
  gbd_sources_record_success (&sources, START);
  gbd_sources_fail_back (&sources, START);
  gbd_time_t end = START + GBD_SOURCES_RELAY_START_TIME;
  for (gbd_time_t now = START; now < end; now += 10 * GBD_MILLISECOND)
    {
      gbd_sources_fail_over (&sources, now);
      assert_int_not_equal (sources.current, PLATFORM);
      assert_true (gbd_sources_are_relays_starting (&sources, now));
    }
  assert_false (gbd_sources_are_relays_starting (&sources, end));
  assert_true (gbd_sources_fail_over (&sources, end));
  assert_int_equal (sources.current, PLATFORM);
  /* Later on, the platform follows at once when the relays fail. */
  gbd_sources_record_success (&sources, end);
  end += GBD_SOURCES_MAX_BACKOFF;
  gbd_sources_fail_back (&sources, end);
  assert_true (gbd_sources_fail_over (&sources, end));
  assert_true (gbd_sources_fail_over (&sources, end));
  assert_int_equal (sources.current, PLATFORM);
}

/* A relay reads from the platform, its most preferred source, at once. */
static void
relay_starts_at_the_platform (void **state)
{
  (void)state;
  gbd_sources_t sources;
  gbd_sources_init (&sources, 3, 0, true, RANDOM_SEED, START);
  assert_int_equal (sources.current, 0);
  assert_true (gbd_sources_fail_over (&sources, START));
  assert_true (gbd_sources_fail_over (&sources, START));
  assert_false (gbd_sources_fail_over (&sources, START));
  assert_int_equal (sources.current, 0);
}

/* The relays fail one after the other, then the platform. */
static void
each_source_is_tried_before_backing_off (void **state)
{
  (void)state;
  gbd_sources_t sources = make_sources (RANDOM_SEED);
  assert_true (gbd_sources_fail_over (&sources, START));
  assert_int_equal (sources.current, 1);
  assert_true (gbd_sources_fail_over (&sources, START));
  assert_int_equal (sources.current, PLATFORM);
  assert_false (gbd_sources_fail_over (&sources, START));
}

static void
failed_relay_is_retried_after_its_backoff (void **state)
{
  (void)state;
  gbd_sources_t sources = make_sources (RANDOM_SEED);
  gbd_time_t now = START;
  gbd_sources_fail_over (&sources, now);
  gbd_sources_fail_over (&sources, now);
  gbd_sources_record_success (&sources, now);
  assert_int_equal (sources.current, PLATFORM);
  assert_false (
      gbd_sources_fail_back (&sources, now + GBD_SOURCES_INITIAL_BACKOFF - 1));
  assert_true (
      gbd_sources_fail_back (&sources, now + GBD_SOURCES_INITIAL_BACKOFF));
  assert_int_equal (sources.current, 0);
  gbd_sources_record_success (&sources, now);
  assert_false (
      gbd_sources_fail_back (&sources, now + GBD_SOURCES_INITIAL_BACKOFF));
}

static void
backoff_doubles_up_to_the_limit (void **state)
{
  (void)state;
  gbd_sources_t sources;
  gbd_sources_init (&sources, 1, 0, false, RANDOM_SEED, START);
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
  gbd_sources_record_success (&sources, now);
  gbd_sources_fail_over (&sources, now);
  assert_int_equal (sources.sources[0].retry_at - now,
                    GBD_SOURCES_INITIAL_BACKOFF);
}

/* Lets a reader make one round through its sources, all of which fail.
   @param reader_count that the relays report; 0: they do not respond
   @return number of attempts at the platform. */
static uint32_t
fail_round (gbd_sources_t *sources, uint32_t reader_count, bool is_newer,
            gbd_time_t now)
{
  uint32_t attempts = 0;
  bool has_next = true;
  while (has_next)
    {
      attempts += sources->current == PLATFORM;
      if (sources->current != PLATFORM && reader_count)
        gbd_sources_record_rejection (sources, reader_count, is_newer, now);
      has_next = gbd_sources_fail_over (sources, now);
    }
  return attempts;
}

/* Replays an outage of the platform.
   @return number of attempts at the platform by all readers. */
static uint32_t
replay_outage (uint32_t readers, bool do_relays_respond, gbd_time_t duration)
{
  uint32_t attempts = 0;
  for (uint32_t reader = 0; reader < readers; reader++)
    {
      gbd_sources_t sources = make_sources (reader);
      gbd_sources_record_success (&sources, START);
      gbd_time_t end = START + duration;
      for (gbd_time_t now = START; now < end; now += ROUND_PAUSE)
        attempts += fail_round (&sources, do_relays_respond ? readers : 0,
                                false, now);
    }
  return attempts;
}

/* The calls of a group during an outage do not grow with the group. */
static void
readers_of_rejected_relays_share_their_attempts (void **state)
{
  (void)state;
  static const uint32_t groups[] = { 10, 100, 1000 };
  gbd_time_t duration = 10 * GBD_SECOND;
  for (size_t i = 0; i < sizeof groups / sizeof groups[0]; i++)
    {
      uint32_t paced = replay_outage (groups[i], true, duration);
      uint32_t alone = replay_outage (groups[i], false, duration);
      print_message ("%u readers: %u attempts, %u without a relay\n",
                     groups[i], paced, alone);
      /* One attempt for each spacing; twice as many are allowed for chance. */
      assert_true (paced <= 2 * duration / GBD_SOURCES_PROBE_SPACING);
      assert_true (paced > 0);
      assert_true (alone >= groups[i]);
    }
}

/* The platform rejects the relays only.  The first reader that succeeds shows
   it to the relays, and all readers follow at their next attempt. */
static void
readers_follow_one_that_the_platform_serves (void **state)
{
  (void)state;
  gbd_sources_t sources = make_sources (RANDOM_SEED);
  assert_int_equal (fail_round (&sources, 1000, false, START), 0);
  gbd_time_t now = START + GBD_SOURCES_MAX_BACKOFF;
  assert_int_equal (fail_round (&sources, 1000, true, now), 1);
}

/* This reader polls the relays again and again, to return to them; their
   rejections must not keep it from the platform. */
static void
reader_that_the_platform_serves_is_not_paced (void **state)
{
  (void)state;
  gbd_sources_t sources = make_sources (RANDOM_SEED);
  gbd_sources_fail_over (&sources, START);
  gbd_sources_fail_over (&sources, START);
  gbd_sources_record_success (&sources, START);
  gbd_time_t now = START + GBD_SOURCES_INITIAL_BACKOFF;
  assert_true (gbd_sources_fail_back (&sources, now));
  gbd_sources_record_rejection (&sources, 1000, false, now);
  assert_true (gbd_sources_fail_over (&sources, now));
  gbd_sources_record_rejection (&sources, 1000, false, now);
  assert_true (gbd_sources_fail_over (&sources, now));
  assert_int_equal (sources.current, PLATFORM);
}

/* A reader that is cut off from its relays must look for itself. */
static void
rejections_apply_for_a_limited_time (void **state)
{
  (void)state;
  gbd_sources_t sources = make_sources (RANDOM_SEED);
  assert_int_equal (fail_round (&sources, 1000, false, START), 0);
  gbd_time_t now = START + GBD_SOURCES_REJECTION_VALIDITY + 1;
  assert_int_equal (fail_round (&sources, 0, false, now), 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (platform_is_left_out_at_the_first_start),
    cmocka_unit_test (reader_moves_from_the_platform_to_a_relay),
    cmocka_unit_test (readers_wait_for_relays_that_start_later),
    cmocka_unit_test (relay_starts_at_the_platform),
    cmocka_unit_test (each_source_is_tried_before_backing_off),
    cmocka_unit_test (failed_relay_is_retried_after_its_backoff),
    cmocka_unit_test (backoff_doubles_up_to_the_limit),
    cmocka_unit_test (readers_of_rejected_relays_share_their_attempts),
    cmocka_unit_test (readers_follow_one_that_the_platform_serves),
    cmocka_unit_test (reader_that_the_platform_serves_is_not_paced),
    cmocka_unit_test (rejections_apply_for_a_limited_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
