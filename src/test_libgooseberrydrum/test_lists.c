#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <jansson.h>

#include "gooseberrydrum/lists.h"

#define PLAN(name, services)                                                  \
  "{\"name\": \"" name "\", \"services\": [" services "],\n"                  \
  " \"open_flows\": 400000, \"new_flows_per_second\": 20000,\n"               \
  " \"idle_limit_s\": 7200, \"balance_percent\": 20}"
#define PLANS                                                                 \
  "{\"plans\": [\n" PLAN ("listings", "\"visitas\", \"acervo\"") "\n]}"
#define SERVICE(name, addresses)                                              \
  "{\"service\": \"" name "\", \"addresses\": [" addresses "]}"
#define CUSTOMER(name, services)                                              \
  "{\"name\": \"" name "\", \"plan\": \"listings\",\n"                        \
  " \"services\": [" services "]}"
#define VISITAS SERVICE ("visitas", "\"10.1.0.1:443\"")
#define NUMBERS(flows, rate, idle, balance)                                   \
  "{\"plans\": [{\"name\": \"a\", \"services\": [],\n\"open_flows\": " flows  \
  ",\n\"new_flows_per_second\": " rate ",\n\"idle_limit_s\": " idle           \
  ",\n\"balance_percent\": " balance "}]}"

/* Valid and invalid lists, and the error messages, one on each line. */
typedef struct
{
  const char *customers;
  const char *plans;
  const char *messages;
} row_t;

static const row_t rows[] = {
  { "{\"customers\": [\n" CUSTOMER ("casa", VISITAS) "]}", PLANS, "" },
  { NULL, NULL, "" },
  { NULL, NUMBERS ("1", "1", "1", "0"), "" },
  { NULL, NUMBERS ("100000000", "10000000", "604800", "100"), "" },
  { "{\"customers\": [\n" CUSTOMER ("casa", VISITAS) ",\n" CUSTOMER (
        "maji",
        "\n" SERVICE ("acervo", "\"10.1.0.9:443\",\n \"10.1.0.1:443\"")) "]}",
    PLANS,
    "customers list, line 7, customers[1].services[0].addresses[1]: "
    "\"10.1.0.1:443\" already belongs to service \"visitas\"; assign each "
    "address and port to one service, once\n" },
  { "{\"customers\": [\n" CUSTOMER (
        "casa", SERVICE ("visitas", "\"[2001:db8::1]:443\"") ",\n" SERVICE (
                    "acervo", "\"[2001:DB8:0::1]:443\"")) "]}",
    PLANS,
    "customers list, line 4, customers[0].services[1].addresses[0]: "
    "\"[2001:DB8:0::1]:443\" already belongs to service \"visitas\"; assign "
    "each address and port to one service, once\n" },
  { "{\"customers\": [\n" CUSTOMER ("casa", VISITAS) ",\n" CUSTOMER (
        "maji", "\n" SERVICE ("visitas", "\"10.2.0.1:443\"")) "]}",
    PLANS,
    "customers list, line 6, customers[1].services[0].service: service "
    "\"visitas\" already belongs to customer \"casa\"; assign each service to "
    "one customer, once\n" },
  { "{\"customers\": [\n" CUSTOMER ("casa", VISITAS) ",\n" CUSTOMER ("casa",
                                                                     "") "]}",
    PLANS,
    "customers list, line 4, customers[1].name: two customers have the name "
    "\"casa\"; rename one of them or merge their services\n" },
  { "{\"customers\": [\n" CUSTOMER ("casa", VISITAS) "]}", NULL,
    "customers list, line 2, customers[0].plan: there is no plan "
    "\"listings\"; add it to the plans list first or specify another\n" },
  { "{\"customers\": [\n" CUSTOMER (
        "casa", SERVICE ("dispatch", "\"10.1.0.1:443\"")) "]}",
    PLANS,
    "customers list, line 3, customers[0].services[0].service: plan "
    "\"listings\" does not allow service \"dispatch\"; add it to the plan's "
    "services first or specify another service\n" },
  { "{\"customers\": [\n" CUSTOMER ("casa", SERVICE ("visitas", "")) "]}",
    PLANS,
    "customers list, line 3, customers[0].services[0].addresses: no "
    "addresses; write at least one address between [ and ]\n" },
  { "{\"customers\": [\n" CUSTOMER (
        "casa", SERVICE ("visitas", "\n\"casa.example:443\",\n7,\n"
                                    "\"[::ffff:10.1.0.1]:443\"")) "]}",
    PLANS,
    "customers list, line 4, customers[0].services[0].addresses[0]: "
    "\"casa.example:443\" is not an IP address with a port; write "
    "\"10.1.0.1:443\" or \"[2001:db8::1]:443\"\n"
    "customers list, line 5, customers[0].services[0].addresses[1]: \"\" is "
    "not an IP address with a port; write \"10.1.0.1:443\" or "
    "\"[2001:db8::1]:443\"\n"
    "customers list, line 6, customers[0].services[0].addresses[2]: "
    "\"[::ffff:10.1.0.1]:443\" is an IPv4 address written as IPv6; write it "
    "as "
    "IPv4, such as \"10.1.0.1:443\"\n" },
  { "{\"customers\": [\n{\"name\": \"Casa\",\n \"colour\": 1,\n "
    "\"services\": []}]}",
    PLANS,
    "customers list, line 2, customers[0].name: \"Casa\" is not a valid name; "
    "use 1 to 63 lower-case letters, digits or inner hyphens\n"
    "customers list, line 2, customers[0].plan: the field is missing; add it; "
    "docs/OPERATIONS.md lists the fields\n"
    "customers list, line 3, customers[0].colour: unknown field; "
    "remove it or correct its name; docs/OPERATIONS.md lists the fields\n" },
  { "{\"customers\": {}}", "[]",
    "customers list, line 1, customers: not an array; write entries between "
    "[ and ]\n"
    "plans list, line 1, whole list: not an object; write fields between { "
    "and }\n" },
  { "{\"customers\": [\n1]}", NULL,
    "customers list, line 2, customers[0]: not an object; write fields "
    "between { and }\n" },
  { "{\"customers\":\n[}", "{\"plans\": [],\n \"plans\": []}",
    "customers list, line 2, whole list: unexpected token near '}'; correct "
    "the JSON at or before this line\n"
    "plans list, line 2, whole list: duplicate object key near '\"plans\"'; "
    "correct the JSON at or before this line\n" },
  { NULL, NUMBERS ("0", "10000001", "0", "-1"),
    "plans list, line 2, plans[0].open_flows: out of range; write a whole "
    "number from 1 to 100000000\n"
    "plans list, line 3, plans[0].new_flows_per_second: out of range; write a "
    "whole number from 1 to 10000000\n"
    "plans list, line 4, plans[0].idle_limit_s: out of range; write a whole "
    "number from 1 to 604800\n"
    "plans list, line 5, plans[0].balance_percent: out of range; write a "
    "whole number from 0 to 100\n" },
  { NULL, NUMBERS ("100000001", "0", "604801", "101"),
    "plans list, line 2, plans[0].open_flows: out of range; write a whole "
    "number from 1 to 100000000\n"
    "plans list, line 3, plans[0].new_flows_per_second: out of range; write a "
    "whole number from 1 to 10000000\n"
    "plans list, line 4, plans[0].idle_limit_s: out of range; write a whole "
    "number from 1 to 604800\n"
    "plans list, line 5, plans[0].balance_percent: out of range; write a "
    "whole number from 0 to 100\n" },
  { NULL, NUMBERS ("1.5", "\"1\"", "1", "null"),
    "plans list, line 2, plans[0].open_flows: not a whole number; write a "
    "whole number from 1 to 100000000\n"
    "plans list, line 3, plans[0].new_flows_per_second: not a whole number; "
    "write a whole number from 1 to 10000000\n"
    "plans list, line 5, plans[0].balance_percent: not a whole number; write "
    "a whole number from 0 to 100\n" },
  { NULL,
    "{\"plans\": [\n" PLAN ("a", "\"v\", \"v\"") ",\n" PLAN ("a",
                                                             "\"-x\"") "]}",
    "plans list, line 2, plans[0].services[1]: the plan lists service \"v\" "
    "twice; remove one of them\n"
    "plans list, line 5, plans[1].name: two plans have the name \"a\"; rename "
    "one of them or remove it\n"
    "plans list, line 5, plans[1].services[0]: \"-x\" is not a valid name; "
    "use 1 to 63 lower-case letters, digits or inner hyphens\n" },
};

static void
format_messages (const gbd_list_errors_t *errors, char *text, size_t size)
{
  text[0] = '\0';
  for (uint32_t i = 0; i < gbd_list_errors_get_count (errors); i++)
    {
      char line[GBD_LIST_ERROR_TEXT_MAX];
      gbd_list_error_format (gbd_list_errors_get (errors, i), line);
      size_t used = strlen (text);
      snprintf (text + used, size - used, "%s\n", line);
    }
}

static void
invalid_lists_are_refused_with_line_field_and_remedy (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      char messages[8192];
      gbd_list_errors_t *errors = gbd_list_errors_new ();
      gbd_catalog_t *catalog;
      gbd_status_t status = gbd_lists_to_catalog (
          rows[i].customers, rows[i].plans, 1, errors, &catalog);
      format_messages (errors, messages, sizeof messages);
      assert_string_equal (messages, rows[i].messages);
      bool is_valid = rows[i].messages[0] == '\0';
      assert_int_equal (status, is_valid ? GBD_OK : GBD_ERROR_FORMAT);
      assert_int_equal (catalog != NULL, is_valid);
      if (catalog)
        gbd_catalog_delete (catalog);
      gbd_list_errors_delete (errors);
    }
}

static void
lists_over_the_limit_are_refused (void **state)
{
  (void)state;
  /* Lengths of both texts, and the number of errors.  Trailing spaces count
     towards the length. */
  static const size_t lengths[][3] = { { GBD_LISTS_BYTES_MAX + 1, 20, 1 },
                                       { 20, GBD_LISTS_BYTES_MAX + 1, 1 },
                                       { GBD_LISTS_BYTES_MAX - 20, 20, 0 },
                                       { GBD_LISTS_BYTES_MAX - 20, 21, 1 } };
  for (size_t i = 0; i < sizeof lengths / sizeof lengths[0]; i++)
    {
      char *customers = malloc (lengths[i][0] + 1);
      char *plans = malloc (lengths[i][1] + 1);
      snprintf (customers, lengths[i][0] + 1, "%-*s", (int)lengths[i][0],
                "{\"customers\":[]}");
      snprintf (plans, lengths[i][1] + 1, "%-*s", (int)lengths[i][1],
                "{\"plans\":[]}");
      gbd_list_errors_t *errors = gbd_list_errors_new ();
      gbd_lists_check (customers, plans, errors);
      assert_int_equal (gbd_list_errors_get_count (errors), lengths[i][2]);
      gbd_list_errors_delete (errors);
      free (customers);
      free (plans);
    }
}

static void
errors_beyond_the_maximum_are_counted (void **state)
{
  (void)state;
  char text[8192] = "{\"customers\":[";
  for (int i = 0; i < GBD_LIST_ERRORS_MAX + 5; i++)
    strcat (text, i ? ",1" : "1");
  strcat (text, "]}");
  gbd_list_errors_t *errors = gbd_list_errors_new ();
  assert_int_equal (gbd_lists_check (text, NULL, errors), GBD_ERROR_FORMAT);
  assert_int_equal (gbd_list_errors_get_count (errors), GBD_LIST_ERRORS_MAX);
  assert_int_equal (gbd_list_errors_get_omitted (errors), 5);
  gbd_list_errors_delete (errors);
}

static char *
read_example (const char *name)
{
  char path[1024];
  snprintf (path, sizeof path, "%s/%s", GBD_EXAMPLES, name);
  json_t *list = json_load_file (path, JSON_REJECT_DUPLICATES, NULL);
  assert_non_null (list);
  char *text = json_dumps (list, 0);
  json_decref (list);
  return text;
}

static void
examples_convert_to_a_catalog (void **state)
{
  (void)state;
  static const char *const folders[] = { "", "casa-lampiao/", "maji-laini/" };
  static const uint32_t address_counts[] = { 8, 4, 4 };
  for (size_t i = 0; i < 3; i++)
    {
      char name[64];
      snprintf (name, sizeof name, "%scustomers.json", folders[i]);
      char *customers = read_example (name);
      snprintf (name, sizeof name, "%splans.json", folders[i]);
      char *plans = read_example (name);
      gbd_list_errors_t *errors = gbd_list_errors_new ();
      gbd_catalog_t *catalog;
      assert_int_equal (
          gbd_lists_to_catalog (customers, plans, 7, errors, &catalog),
          GBD_OK);
      assert_int_equal (gbd_catalog_get_generation (catalog), 7);
      assert_int_equal (gbd_catalog_get_address_count (catalog),
                        address_counts[i]);
      gbd_catalog_delete (catalog);
      gbd_list_errors_delete (errors);
      free (customers);
      free (plans);
    }
}

static void
catalog_holds_the_values_of_the_lists (void **state)
{
  (void)state;
  char *customers = read_example ("customers.json");
  char *plans = read_example ("plans.json");
  gbd_list_errors_t *errors = gbd_list_errors_new ();
  gbd_catalog_t *catalog;
  gbd_address_t address;
  assert_int_equal (
      gbd_lists_to_catalog (customers, plans, 1, errors, &catalog), GBD_OK);
  gbd_address_parse ("[2001:db8:2::2]:443", &address);
  gbd_service_handle_t service = gbd_catalog_find (catalog, &address);
  assert_int_not_equal (service, GBD_SERVICE_NONE);
  const gbd_service_info_t *info = gbd_catalog_get_service (catalog, service);
  assert_string_equal (info->name, "readings");
  assert_string_equal (
      gbd_catalog_get_customer (catalog, info->customer)->name, "maji-laini");
  const gbd_plan_t *plan = gbd_catalog_get_plan (catalog, info->plan);
  assert_string_equal (plan->name, "field-service");
  assert_int_equal (plan->open_flows, 400000);
  assert_int_equal (plan->new_flows_per_second, 20000);
  assert_int_equal (plan->idle_limit_s, 7200);
  assert_int_equal (plan->balance_percent, 80);
  gbd_catalog_delete (catalog);
  gbd_list_errors_delete (errors);
  free (customers);
  free (plans);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (invalid_lists_are_refused_with_line_field_and_remedy),
    cmocka_unit_test (lists_over_the_limit_are_refused),
    cmocka_unit_test (errors_beyond_the_maximum_are_counted),
    cmocka_unit_test (examples_convert_to_a_catalog),
    cmocka_unit_test (catalog_holds_the_values_of_the_lists),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
