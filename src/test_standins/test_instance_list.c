#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "standins/instance_list.h"

#define LAG (500 * GBD_MILLISECOND)

#define ITEM(name, group, state, port)                                        \
  "{\"name\":\"" name "\",\"version\":1,\"value\":{\"zone\":\"z\","           \
  "\"group\":\"" group "\",\"state\":\"" state "\","                          \
  "\"peer\":\"127.0.0.1:1\",\"data\":\"127.0.0.1:" port "\"}}"
#define LIST(items) "{\"version\":9,\"items\":[" items "]}"

static bool
update (instance_list_t *list, const char *text, gbd_time_t now)
{
  json_t *response = json_loads (text, 0, NULL);
  bool is_applied = instance_list_update (list, response, now);
  json_decref (response);
  return is_applied;
}

static void
only_live_instances_of_the_group_are_used (void **state)
{
  (void)state;
  instance_list_t *list = instance_list_new ("g", LAG);
  assert_true (
      update (list,
              LIST (ITEM ("a", "g", "live", "11") "," ITEM (
                  "b", "g", "leaving",
                  "12") "," ITEM ("c", "h", "live",
                                  "13") "," ITEM ("d", "g", "live",
                                                  "x") ",{\"value\":7}"),
              0));
  assert_int_equal (instance_list_count (list, 0), 1);
  assert_int_equal (instance_list_get (list, 0)->port, 11);
  instance_list_delete (list);
}

static void
instances_that_left_are_used_until_the_lag_has_passed (void **state)
{
  (void)state;
  instance_list_t *list = instance_list_new ("g", LAG);
  gbd_address_t fixed = { .family = 4, .port = 99 };
  instance_list_add_static (list, &fixed);
  update (
      list,
      LIST (ITEM ("a", "g", "live", "11") "," ITEM ("b", "g", "live", "12")),
      0);
  update (list, LIST (ITEM ("b", "g", "leaving", "12")), 100);
  assert_int_equal (instance_list_count (list, LAG - 1), 3);
  assert_int_equal (instance_list_count (list, LAG), 1);
  assert_int_equal (instance_list_get (list, 0)->port, 99);
  instance_list_delete (list);
}

static void
invalid_response_leaves_the_list_unchanged (void **state)
{
  (void)state;
  instance_list_t *list = instance_list_new ("g", LAG);
  update (list, LIST (ITEM ("a", "g", "live", "11")), 0);
  assert_false (update (list, "{\"error\":\"down\"}", 1));
  assert_false (instance_list_update (list, NULL, 1));
  assert_int_equal (instance_list_count (list, 10 * LAG), 1);
  instance_list_delete (list);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (only_live_instances_of_the_group_are_used),
    cmocka_unit_test (instances_that_left_are_used_until_the_lag_has_passed),
    cmocka_unit_test (invalid_response_leaves_the_list_unchanged),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
