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
    writers += gbd_start_may_create_key (i < RELAYS, true, uptime);
  assert_int_equal (writers, RELAYS);
  /* The relays are gone. */
  assert_true (gbd_start_may_create_key (false, true, uptime + 1));
  assert_true (gbd_start_may_create_key (false, false, 0));
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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (list_of_a_connected_relay_is_used),
    cmocka_unit_test (outdated_list_is_used_only_until_the_platform_responds),
    cmocka_unit_test (only_relays_create_the_key_at_first),
    cmocka_unit_test (relays_are_asked_when_the_platform_is_late),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
