#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "gooseberrydrum/subset.h"

#define SERVERS_MAX 130
#define INSTANCES_MAX 80

static bool
contains (uint32_t instance_count, uint32_t rank, uint32_t number,
          uint32_t server_count)
{
  gbd_group_view_t group = { .total = instance_count,
                             .zone_count = instance_count,
                             .zone_rank = rank };
  gbd_subset_position_t position
      = { .number = (uint16_t)number, .count = (uint16_t)server_count };
  return gbd_subset_contains (&group, &position);
}

/* Guards against windows that leave servers out or load some of them more: a
   server in no window gets flows only when others are full.  The starts of the
   windows are rounded, so the numbers of windows differ by a few. */
static void
servers_are_in_nearly_the_same_number_of_windows (void **state)
{
  (void)state;
  for (uint32_t instances = 2; instances <= INSTANCES_MAX; instances++)
    {
      for (uint32_t servers = 1; servers <= SERVERS_MAX; servers++)
        {
          uint32_t size = gbd_subset_get_size (servers, instances);
          uint32_t least = UINT32_MAX;
          uint32_t most = 0;
          for (uint32_t number = 0; number < servers; number++)
            {
              uint32_t windows = 0;
              for (uint32_t rank = 0; rank < instances; rank++)
                windows += contains (instances, rank, number, servers);
              least = windows < least ? windows : least;
              most = windows > most ? windows : most;
            }
          assert_true (least >= 1);
          /* A window starts at most once in each server / instance distance:
             rounding moves each of its ends by less than one server. */
          uint32_t starts = (instances + servers - 1) / servers;
          assert_true (most - least <= 2 * starts);
          assert_true (most * servers
                       <= instances * size + 2 * starts * servers);
        }
    }
}

/* Guards against a window of another size than stated, also around the end. */
static void
window_has_twice_the_share_of_an_instance (void **state)
{
  (void)state;
  assert_int_equal (gbd_subset_get_size (40, 25), 4);
  assert_int_equal (gbd_subset_get_size (30, 19), 4);
  assert_int_equal (gbd_subset_get_size (30, 300), 2);
  assert_int_equal (gbd_subset_get_size (1, 9), 1);
  assert_int_equal (gbd_subset_get_size (4096, 2), 4096);
  for (uint32_t rank = 0; rank < 25; rank++)
    {
      uint32_t size = 0;
      for (uint32_t number = 0; number < 40; number++)
        size += contains (25, rank, number, 40);
      assert_int_equal (size, 4);
    }
  assert_true (contains (25, 24, 38, 40));
  assert_true (contains (25, 24, 39, 40));
  assert_true (contains (25, 24, 1, 40));
  assert_false (contains (25, 24, 2, 40));
}

/* Guards against windows from a view that is missing or wrong. */
static void
unusable_views_have_no_windows (void **state)
{
  (void)state;
  gbd_group_view_t group = { .total = 0 };
  assert_false (gbd_subset_has_windows (&group));
  group = (gbd_group_view_t){ .total = 9, .zone_count = 1 };
  assert_false (gbd_subset_has_windows (&group));
  group = (gbd_group_view_t){ .total = 9, .zone_count = 3, .zone_rank = 3 };
  assert_false (gbd_subset_has_windows (&group));
  group.zone_rank = 2;
  assert_true (gbd_subset_has_windows (&group));
  gbd_subset_position_t position = { .count = 0 };
  assert_false (gbd_subset_contains (&group, &position));
}

/* Guards against numbers that depend on the order of arrival, which differs
   between instances, or that mix services and zones. */
static void
members_are_numbered_by_identifier (void **state)
{
  (void)state;
  gbd_subset_member_t members[] = {
    { .service = 1, .zone = 1, .id = 9, .handle = 0 },
    { .service = 1, .zone = 2, .id = 3, .handle = 1 },
    { .service = 1, .zone = 1, .id = 4, .handle = 2 },
    { .service = 2, .zone = 1, .id = 5, .handle = 3 },
    { .service = 1, .zone = 1, .id = UINT64_MAX, .handle = 4 },
  };
  static const gbd_subset_position_t expected[]
      = { { 1, 3 }, { 0, 1 }, { 0, 3 }, { 0, 1 }, { 2, 3 } };
  gbd_subset_number (members, 5);
  for (uint32_t i = 0; i < 5; i++)
    {
      const gbd_subset_position_t *wanted = &expected[members[i].handle];
      assert_int_equal (members[i].position.number, wanted->number);
      assert_int_equal (members[i].position.count, wanted->count);
    }
  gbd_subset_number (members, 0);
}

/* Guards against an estimate that leaves the other instances out: the windows
   of two, or of more if there are more instances than servers, have a server.
 */
static void
pending_flows_of_other_instances_are_estimated (void **state)
{
  (void)state;
  static const struct
  {
    uint32_t instances;
    uint16_t servers;
    uint64_t expected; /* from three flows */
  } cases[] = { { 2, 7, 6 },    { 20, 40, 6 },  { 19, 30, 7 },
                { 20, 10, 12 }, { 75, 30, 15 }, { 3, 1, 9 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      gbd_group_view_t group
          = { .total = cases[i].instances, .zone_count = cases[i].instances };
      gbd_subset_position_t position = { .count = cases[i].servers };
      assert_int_equal (gbd_subset_estimate_pending (&group, &position, 3),
                        cases[i].expected);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (servers_are_in_nearly_the_same_number_of_windows),
    cmocka_unit_test (window_has_twice_the_share_of_an_instance),
    cmocka_unit_test (unusable_views_have_no_windows),
    cmocka_unit_test (members_are_numbered_by_identifier),
    cmocka_unit_test (pending_flows_of_other_instances_are_estimated),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
