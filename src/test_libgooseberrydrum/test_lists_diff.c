#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "gooseberrydrum/lists_diff.h"

/* Two lists and the attributes that differ, as compact JSON. */
typedef struct
{
  gbd_list_t list;
  const char *before;
  const char *after;
  const char *removed;
  const char *added;
} row_t;

#define CUSTOMER(plan, addresses)                                             \
  "{\"customers\":[{\"name\":\"c\",\"plan\":\"" plan "\",\"services\":[{"     \
  "\"service\":\"s\",\"addresses\":[" addresses "]}]}]}"
#define PLAN(services, flows)                                                 \
  "{\"plans\":[{\"name\":\"p\",\"services\":[" services                       \
  "],\"open_flows\":" flows "}]}"

static const row_t rows[] = {
  { GBD_LIST_CUSTOMERS, NULL, NULL, "[]", "[]" },
  { GBD_LIST_CUSTOMERS, CUSTOMER ("p", "\"a\",\"b\""),
    CUSTOMER ("p", "\"b\",\"a\""), "[]", "[]" },
  { GBD_LIST_CUSTOMERS, CUSTOMER ("p", "\"a\""), CUSTOMER ("q", "\"b\""),
    "[\"customer c plan p\",\"customer c service s address a\"]",
    "[\"customer c plan q\",\"customer c service s address b\"]" },
  { GBD_LIST_CUSTOMERS, NULL, CUSTOMER ("p", "\"a\""), "[]",
    "[\"customer c plan p\",\"customer c service s address a\"]" },
  { GBD_LIST_PLANS, PLAN ("\"s\"", "1"), PLAN ("\"s\",\"t\"", "2"),
    "[\"plan p open_flows 1\"]",
    "[\"plan p open_flows 2\",\"plan p service t\"]" },
  { GBD_LIST_PLANS, PLAN ("\"s\"", "1"), NULL,
    "[\"plan p open_flows 1\",\"plan p service s\"]", "[]" },
};

static void
diff_lists_each_changed_attribute (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      json_t *before
          = rows[i].before ? json_loads (rows[i].before, 0, NULL) : NULL;
      json_t *after
          = rows[i].after ? json_loads (rows[i].after, 0, NULL) : NULL;
      json_t *attributes[2];
      assert_int_equal (gbd_lists_diff (rows[i].list, before, after,
                                        &attributes[0], &attributes[1]),
                        GBD_OK);
      const char *expected[2] = { rows[i].removed, rows[i].added };
      for (int side = 0; side < 2; side++)
        {
          char *text = json_dumps (attributes[side], JSON_COMPACT);
          assert_string_equal (text, expected[side]);
          free (text);
          json_decref (attributes[side]);
        }
      json_decref (before);
      json_decref (after);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (diff_lists_each_changed_attribute),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
