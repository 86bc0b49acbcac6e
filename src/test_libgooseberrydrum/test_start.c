#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gooseberrydrum/start.h"

#define INSTANCES 300
#define RELAYS 3

static void
list_of_a_connected_relay_is_used (void **state)
{
  (void)state;
  assert_int_equal (gbd_start_choose_list (false, false), GBD_START_LIST_USED);
  assert_int_equal (gbd_start_choose_list (false, true), GBD_START_LIST_USED);
}

/* The relay is cut off from the platform, which this instance can reach. */
static void
outdated_list_is_used_only_until_the_platform_responds (void **state)
{
  (void)state;
  assert_int_equal (gbd_start_choose_list (true, false),
                    GBD_START_LIST_PROVISIONAL);
  assert_int_equal (gbd_start_choose_list (true, true),
                    GBD_START_LIST_IGNORED);
}

/* All instances of a new group start together and find no key. */
static void
only_relays_create_the_key_at_first (void **state)
{
  (void)state;
  uint32_t writers = 0;
  gbd_time_t uptime = GBD_START_KEY_CREATION_DELAY - 1;
  for (uint32_t i = 0; i < INSTANCES; i++)
    writers += gbd_start_may_create_key (i < RELAYS, true, true, uptime);
  assert_int_equal (writers, RELAYS);
  /* The relays are gone. */
  assert_true (gbd_start_may_create_key (false, true, true, uptime + 1));
  assert_true (gbd_start_may_create_key (false, true, false, 0));
}

/* A relay restarts just after the store was restored from a copy without the
   key, which the other relays write again. */
static void
restarted_relay_leaves_the_key_to_the_group (void **state)
{
  (void)state;
  assert_false (gbd_start_may_create_key (true, false, true,
                                          GBD_START_KEY_CREATION_DELAY - 1));
  assert_true (gbd_start_may_create_key (true, false, true,
                                         GBD_START_KEY_CREATION_DELAY));
}

static void
relays_are_asked_when_the_platform_is_late (void **state)
{
  (void)state;
  assert_false (
      gbd_start_may_ask_relays (false, GBD_START_DOCUMENT_DELAY - 1));
  assert_true (gbd_start_may_ask_relays (false, GBD_START_DOCUMENT_DELAY));
  assert_true (gbd_start_may_ask_relays (true, 0));
}

/* The relays are killed while the platform is unreachable, and start again 0.5
   s later.  A holder that stops 0.35 s after that must have announced itself.
 */
static void
holder_announces_itself_to_relays_that_restart (void **state)
{
  (void)state;
  gbd_time_t killed = 100 * GBD_SECOND;
  gbd_time_t started = killed + 500 * GBD_MILLISECOND;
  gbd_time_t stopped = started + 350 * GBD_MILLISECOND;
  gbd_time_t announced_at = killed - GBD_MILLISECOND;
  bool has_responded = true;
  uint32_t heard = 0;
  for (gbd_time_t now = killed; now < stopped; now += 20 * GBD_MILLISECOND)
    {
      assert_false (
          gbd_start_may_announce (false, false, 3, GBD_TIME_NEVER, now));
      if (!gbd_start_may_announce (true, has_responded, 3, announced_at, now))
        continue;
      announced_at = now;
      has_responded = now >= started;
      heard += has_responded;
    }
  assert_true (heard >= 1);
}

/* The readers of one relay announce themselves during an outage of 6 s. */
static void
announcements_do_not_grow_with_the_group (void **state)
{
  (void)state;
  for (uint32_t readers = 1; readers <= 1000; readers *= 10)
    {
      uint32_t count = 0;
      gbd_time_t announced_at = GBD_TIME_NEVER;
      for (gbd_time_t now = 0; now < 6 * GBD_SECOND;
           now += 100 * GBD_MILLISECOND)
        {
          if (!gbd_start_may_announce (true, true, readers, announced_at, now))
            continue;
          announced_at = now;
          count += readers;
        }
      assert_true (count
                   <= readers + 6 * GBD_SECOND / GBD_START_ANNOUNCE_SPACING);
    }
}

/* Hundreds of holders announce themselves to an instance that starts. */
static void
one_holder_is_asked_at_a_time (void **state)
{
  (void)state;
  uint32_t asked = 0;
  gbd_time_t asked_at = GBD_TIME_NEVER;
  for (gbd_time_t now = 0; now < GBD_SECOND; now += GBD_SECOND / INSTANCES)
    {
      assert_false (gbd_start_may_ask_holder (true, asked_at, now));
      if (!gbd_start_may_ask_holder (false, asked_at, now))
        continue;
      asked_at = now;
      asked++;
    }
  assert_in_range (asked, 2, GBD_SECOND / GBD_START_HOLDER_TIMEOUT + 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (list_of_a_connected_relay_is_used),
    cmocka_unit_test (outdated_list_is_used_only_until_the_platform_responds),
    cmocka_unit_test (only_relays_create_the_key_at_first),
    cmocka_unit_test (restarted_relay_leaves_the_key_to_the_group),
    cmocka_unit_test (relays_are_asked_when_the_platform_is_late),
    cmocka_unit_test (holder_announces_itself_to_relays_that_restart),
    cmocka_unit_test (announcements_do_not_grow_with_the_group),
    cmocka_unit_test (one_holder_is_asked_at_a_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
