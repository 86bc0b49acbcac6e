#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gooseberrydrum/position.h"

static void
position_without_an_era_is_the_revision (void **state)
{
  (void)state;
  assert_true (gbd_position_make (0, 764) == 764);
  assert_int_equal (gbd_position_get_era (764), 0);
}

/* The store is restored: revisions go back, positions do not. */
static void
positions_of_a_later_era_are_higher (void **state)
{
  (void)state;
  uint64_t before = gbd_position_make (3, GBD_POSITION_REVISION_MAX);
  uint64_t restored = gbd_position_make (4, 1);
  assert_true (restored > before);
  assert_int_equal (gbd_position_get_era (restored), 4);
  assert_int_equal (gbd_position_get_revision (restored), 1);
  assert_true (gbd_position_make (4, 2) > restored);
}

static void
positions_are_positive_json_integers (void **state)
{
  (void)state;
  uint64_t highest = gbd_position_make (UINT64_MAX, UINT64_MAX);
  assert_true (highest <= INT64_MAX);
  assert_int_equal (gbd_position_get_era (highest), GBD_POSITION_ERA_MAX);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (position_without_an_era_is_the_revision),
    cmocka_unit_test (positions_of_a_later_era_are_higher),
    cmocka_unit_test (positions_are_positive_json_integers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
