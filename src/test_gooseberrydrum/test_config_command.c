#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "gooseberrydrum/config_command.h"
#include "platform/adapter.h"

#define ROUTE(NAME, PORT, MORE)                                               \
  "{'name':'" NAME "','host':'198.18.0.1','path_prefix':'/" PORT              \
  "/','route_type':'upload'" MORE "}"
#define WEB ",'backend':'web'"
#define R1 ROUTE ("r-1", "443", WEB)
#define CONFIG(ROUTES, MORE) "{'version':7,'routes':[" ROUTES "]" MORE "}"

/* One configuration, and the findings in their order, each as "SEVERITY RULE
   KIND NAME", joined by commas. */
typedef struct
{
  const char *label;
  const char *text;
  const char *against; /* NULL: none */
  const char *findings;
  gbd_exit_t status;
} check_case_t;

static const check_case_t check_cases[] = {
  { "valid", CONFIG (R1, ""), NULL, "", GBD_EXIT_OK },
  { "whole object of the platform",
    "{'meta':{'name':'main','mod_revision':3},'spec':" CONFIG (R1, "") "}",
    NULL, "", GBD_EXIT_OK },
  { "no JSON", "{'version':7,", NULL, "error bad_json file FILE",
    GBD_EXIT_USAGE },
  { "list of objects", "{'meta':{'name':'main'},'items':[]}", NULL,
    "error bad_object file FILE", GBD_EXIT_USAGE },
  { "object without a configuration", "{'meta':{'name':'main'}}", NULL,
    "error bad_version configuration ,error bad_routes configuration ",
    GBD_EXIT_USAGE },
  { "not an object", "[]", NULL,
    "error bad_version configuration ,error bad_routes configuration ",
    GBD_EXIT_USAGE },
  { "version of another type", "{'version':'7','routes':[]}", NULL,
    "error bad_version configuration ", GBD_EXIT_USAGE },

  /* all errors, not only the first */
  { "several errors in one route",
    CONFIG ("{'name':'r-1','host':'example','path_prefix':'/1/',"
            "'priority':1001,'target_latency_ms':-1,'timeout_ms':'1'}",
            ""),
    NULL,
    "error bad_address route r-1,error bad_targets route r-1,"
    "error bad_number route r-1,error bad_number route r-1,"
    "error bad_number route r-1",
    GBD_EXIT_USAGE },
  { "errors in several routes and services",
    CONFIG (ROUTE ("r-1", "0x", WEB) "," ROUTE ("r-2", "2", ""),
            ",'backends':[{'name':'web','warmup_s':601,'warmup_per_s':-1},"
            "{'warmup_s':1}]"),
    NULL,
    "error bad_address route r-1,error bad_targets route r-2,"
    "error bad_number service web,error bad_number service web,"
    "error bad_service_name service backends[1]",
    GBD_EXIT_USAGE },
  { "two invalid weights",
    CONFIG (ROUTE ("r-1", "443",
                   ",'weighted_backends':[{'backend':'web','weight':-1},"
                   "{'weight':1}]"),
            ""),
    NULL, "error bad_targets route r-1,error bad_targets route r-1",
    GBD_EXIT_USAGE },
  { "route without a name",
    CONFIG ("{'host':'198.18.0.1','path_prefix':'/443/'}", ""), NULL,
    "error bad_targets route 198.18.0.1:443", GBD_EXIT_USAGE },
  { "route that is no object", CONFIG ("7", ""), NULL,
    "error bad_address route routes[0],error bad_targets route routes[0]",
    GBD_EXIT_USAGE },

  /* entries that can never match */
  { "address of another route", CONFIG (R1 "," ROUTE ("r-2", "443", WEB), ""),
    NULL, "error shared_address route r-2", GBD_EXIT_USAGE },
  { "address of a route with another error",
    CONFIG (ROUTE ("r-1", "443", WEB ",'priority':-1") "," ROUTE ("r-2", "443",
                                                                  WEB),
            ""),
    NULL, "error bad_number route r-1,error shared_address route r-2",
    GBD_EXIT_USAGE },
  { "service without a route",
    CONFIG (R1, ",'backends':[{'name':'web'},{'name':'mail'}]"), NULL,
    "warning unused_service service mail", GBD_EXIT_FAILED },
  { "weight of 0",
    CONFIG (ROUTE ("r-1", "443",
                   ",'weighted_backends':[{'backend':'web','weight':9},"
                   "{'backend':'mail','weight':0}]"),
            ",'backends':[{'name':'mail'}]"),
    NULL, "warning zero_weight route r-1,warning unused_service service mail",
    GBD_EXIT_FAILED },
  { "no weight above 0",
    CONFIG (ROUTE ("r-1", "443",
                   ",'weighted_backends':[{'backend':'web','weight':0},"
                   "{'backend':'mail','weight':0}]"),
            ",'backends':[{'name':'web'}]"),
    NULL, "warning no_weight route r-1", GBD_EXIT_FAILED },
  { "service listed twice",
    CONFIG (R1, ",'backends':[{'name':'web'},{'name':'web'}]"), NULL,
    "warning repeated_service service web", GBD_EXIT_FAILED },

  /* limits that contradict each other */
  { "goal above the time limit",
    CONFIG (ROUTE ("r-1", "443",
                   WEB ",'target_latency_ms':2001,'timeout_ms':2000"),
            ""),
    NULL, "warning goal_above_limit route r-1", GBD_EXIT_FAILED },
  { "goal at the time limit",
    CONFIG (ROUTE ("r-1", "443",
                   WEB ",'target_latency_ms':2000,'timeout_ms':2000"),
            ""),
    NULL, "", GBD_EXIT_OK },
  { "goal without a time limit",
    CONFIG (ROUTE ("r-1", "443", WEB ",'target_latency_ms':2000"), ""), NULL,
    "", GBD_EXIT_OK },
  { "idle time-out below a time limit",
    CONFIG (ROUTE ("r-1", "443", WEB ",'timeout_ms':2000"),
            ",'limits':{'idle_timeout_ms':1999}"),
    NULL, "warning idle_timeout_too_short route r-1", GBD_EXIT_FAILED },
  { "idle time-out at the time limit",
    CONFIG (ROUTE ("r-1", "443", WEB ",'timeout_ms':2000"),
            ",'limits':{'idle_timeout_ms':2000}"),
    NULL, "", GBD_EXIT_OK },
  { "warm-up rate without a time",
    CONFIG (R1, ",'backends':[{'name':'web','warmup_per_s':5}]"), NULL,
    "warning warm_up_rate_without_time service web", GBD_EXIT_FAILED },
  { "warm-up rate with a time",
    CONFIG (R1, ",'backends':[{'name':'web','warmup_per_s':5,'warmup_s':2}]"),
    NULL, "", GBD_EXIT_OK },

  /* values that instances ignore */
  { "ignored values",
    CONFIG ("{'name':'r-1','host':'198.18.0.1','path_prefix':'/443/',"
            "'route_type':'uplod','backend':'web','weighted_backends':[]}",
            ",'backends':{},'limits':{'idle_timeout_ms':0}"),
    NULL,
    "warning ignored_value route r-1,warning ignored_value route r-1,"
    "warning ignored_value configuration ,"
    "warning ignored_value configuration ",
    GBD_EXIT_FAILED },

  /* differences */
  { "the version in force", CONFIG (R1, ""), CONFIG (R1, ""), "",
    GBD_EXIT_OK },
  { "higher version, otherwise equal", CONFIG (R1, ""),
    "{'version':6,'routes':[" R1 "]}", "", GBD_EXIT_OK },
  { "added, removed and changed",
    CONFIG (
        ROUTE ("r-1", "443", WEB ",'priority':2") "," ROUTE ("r-3", "3", WEB),
        ",'backends':[{'name':'web','warmup_s':2.0}],"
        "'limits':{'idle_timeout_ms':9000,'x':1}"),
    "{'version':6,'routes':[" ROUTE (
        "r-2", "2",
        WEB) "," R1 "],"
             "'backends':[{'name':'web','warmup_s':2},{'name':'mail'}],"
             "'limits':{'idle_timeout_ms':8000,'x':1}}",
    "difference changed configuration ,difference removed route r-2,"
    "difference changed route r-1,difference added route r-3,"
    "difference removed service mail",
    GBD_EXIT_OK },
  { "equal version with a difference", CONFIG (R1, ""), CONFIG ("", ""),
    "difference added route r-1,error version_not_higher configuration ",
    GBD_EXIT_USAGE },
  { "lower version", CONFIG (R1, ""), "{'version':8,'routes':[" R1 "]}",
    "error version_not_higher configuration ", GBD_EXIT_USAGE },
  { "errors in the configuration in force", CONFIG (R1, ""), "{}",
    "error bad_comparison file FILE", GBD_EXIT_USAGE },
};

static char *
replace_quotes (const char *text)
{
  return g_strdelimit (g_strdup (text), "'", '"');
}

static char *
write_file (const char *directory, const char *name, const char *text)
{
  char *path = g_build_filename (directory, name, NULL);
  char *quoted = replace_quotes (text);
  assert_true (g_file_set_contents (path, quoted, -1, NULL));
  g_free (quoted);
  return path;
}

/* Runs a command.  Returns what it prints. */
static char *
run (const gbd_config_options_t *options, gbd_exit_t expected)
{
  char *text = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&text, &length);
  gbd_exit_t status = gbd_config_command_check (options, out);
  fclose (out);
  if (status != expected)
    print_message ("%s", text);
  assert_int_equal (status, expected);
  return text;
}

/* Returns the findings of a JSON report in the form of check_case_t. */
static char *
summarize (const char *report)
{
  GString *summary = g_string_new (NULL);
  json_t *root = json_loads (report, 0, NULL);
  size_t index;
  json_t *finding;
  assert_non_null (root);
  json_array_foreach (json_object_get (root, "findings"), index, finding)
  {
    const char *severity, *rule, *kind, *name, *cause, *remedy;
    assert_int_equal (json_unpack (finding, "{s:s, s:s, s:s, s:s, s:s, s:s}",
                                   "severity", &severity, "rule", &rule,
                                   "kind", &kind, "name", &name, "cause",
                                   &cause, "remedy", &remedy),
                      0);
    assert_true (cause[0] && remedy[0]);
    g_string_append_printf (summary, "%s%s %s %s %s", index ? "," : "",
                            severity, rule, kind,
                            strcmp (kind, "file") == 0 ? "FILE" : name);
  }
  json_decref (root);
  return g_string_free (summary, FALSE);
}

/* Guards against a fault that operators learn of only from the instances, and
   against reports that name another entry than the faulty one. */
static void
findings_are_as_expected (void **state)
{
  const char *directory = *state;
  for (size_t i = 0; i < sizeof check_cases / sizeof check_cases[0]; i++)
    {
      const check_case_t *row = &check_cases[i];
      print_message ("%s\n", row->label);
      char *file = write_file (directory, "new.json", row->text);
      char *against = row->against
                          ? write_file (directory, "old.json", row->against)
                          : NULL;
      const gbd_config_options_t options
          = { .file = file, .against = against, .is_json = true };
      char *report = run (&options, row->status);
      char *summary = summarize (report);
      assert_string_equal (summary, row->findings);
      g_free (summary);
      free (report);
      g_free (file);
      g_free (against);
    }
}

/* Guards against output that hides what to do, and against control characters
   of a name that reach the terminal. */
static void
text_names_entry_cause_and_remedy (void **state)
{
  char *file = write_file (
      *state, "new.json",
      CONFIG (ROUTE ("a\\u001bb", "443", WEB ",'timeout_ms':2000"), ""));
  char *against = write_file (
      *state, "old.json",
      "{'version':6,'routes':[" ROUTE ("a\\u001bb", "443", WEB) "]}");
  const gbd_config_options_t options = { .file = file, .against = against };
  char *report = run (&options, GBD_EXIT_OK);
  assert_string_equal (report,
                       "difference: route a?b: timeout_ms: not stated before, "
                       "2000 now; send the configuration only if this is "
                       "intended\n"
                       "errors: 0, warnings: 0, differences: 1\n");
  free (report);
  g_free (file);
  g_free (against);
}

/* Guards against a missing file that counts as a valid configuration, and
   against a report that is lost for a name that is no UTF-8. */
static void
missing_file_is_an_error (void **state)
{
  char *file = g_build_filename (*state, "missing\xff.json", NULL);
  const gbd_config_options_t options = { .file = file, .is_json = true };
  char *report = run (&options, GBD_EXIT_USAGE);
  char *summary = summarize (report);
  assert_string_equal (summary, "error unreadable_file file FILE");
  g_free (summary);
  free (report);
  g_free (file);
}

static uint32_t
next_random (uint32_t *random)
{
  *random = *random * 1664525u + 1013904223u;
  return *random >> 8;
}

static json_t *
make_value (uint32_t *random)
{
  static const char *const values[] = {
    "null",    "true",           "0",         "1",    "-1",      "1e300",
    "2.5",     "4294967296",     "9e18",      "\"\"", "\"web\"", "\"/443/\"",
    "\"/1/\"", "\"198.18.0.1\"", "\"::1\"",   "[]",   "{}",      "[7]",
    "601",     "86400001",       "\"upload\""
  };
  const size_t count = sizeof values / sizeof values[0];
  return json_loads (values[next_random (random) % count], JSON_DECODE_ANY,
                     NULL);
}

/* Changes one random place below a value: replaces, removes or repeats it. */
static void
mutate (json_t *value, uint32_t *random)
{
  size_t size = json_is_object (value) ? json_object_size (value)
                                       : json_array_size (value);
  if (size == 0)
    return;
  size_t index = next_random (random) % size;
  void *iterator = json_object_iter (value);
  for (size_t i = 0; iterator && i < index; i++)
    iterator = json_object_iter_next (value, iterator);
  json_t *child = iterator ? json_object_iter_value (iterator)
                           : json_array_get (value, index);
  uint32_t choice = next_random (random) % 12;
  if ((json_is_object (child) || json_is_array (child)) && choice < 10)
    mutate (child, random);
  else if (iterator && choice % 4 == 0)
    json_object_del (value, json_object_iter_key (iterator));
  else if (iterator)
    json_object_iter_set_new (value, iterator, make_value (random));
  else if (choice % 3 == 0)
    json_array_remove (value, index);
  else if (choice % 3 == 1)
    json_array_append_new (value, json_deep_copy (child));
  else
    json_array_set_new (value, index, make_value (random));
}

/* Guards against a check that accepts what instances reject, and the
   reverse. */
static void
check_and_instances_accept_the_same (void **state)
{
  (void)state;
  char *text = replace_quotes (
      CONFIG (ROUTE ("r-1", "443",
                     WEB ",'priority':1,'target_latency_ms':500,"
                         "'timeout_ms':2500") "," ROUTE ("r-2", "2",
                                                         ",'weighted_backends'"
                                                         ":[{'backend':'web',"
                                                         "'weight':9},"
                                                         "{'backend':'mail',"
                                                         "'weight':1}]"),
              ",'backends':[{'name':'web','warmup_s':2,'warmup_per_s':12.5},"
              "{'name':'mail'}],'limits':{'idle_timeout_ms':9000}"));
  uint32_t random = 20261204;
  uint32_t accepted = 0;
  uint32_t rejected = 0;
  uint32_t several = 0; /* rejected with more than one error */
  for (int round = 0; round < 30000; round++)
    {
      json_t *value = json_loads (text, 0, NULL);
      for (int change = 0; change < 1 + round % 4; change++)
        mutate (value, &random);
      const char *problem = NULL;
      gbd_findings_t *findings = gbd_findings_new ();
      gbd_routes_t *routes
          = gbd_platform_api_objects.read_routes (value, &problem);
      gbd_config_t *config
          = gbd_platform_api_objects.read_config (value, findings);
      assert_non_null (config);
      uint32_t errors = gbd_findings_count (findings, GBD_FINDING_ERROR);
      if ((routes != NULL) != (errors == 0))
        {
          char *dump = json_dumps (value, 0);
          fail_msg ("%u errors, instances %s: %s", errors,
                    routes ? "accept" : "reject", dump);
        }
      gbd_config_check (config, findings);
      assert_int_equal (gbd_findings_count (findings, GBD_FINDING_ERROR),
                        errors);
      accepted += routes != NULL;
      rejected += routes == NULL;
      several += errors > 1;
      gbd_routes_delete (routes);
      gbd_config_delete (config);
      gbd_findings_delete (findings);
      json_decref (value);
    }
  print_message ("accepted %u, rejected %u, several errors %u\n", accepted,
                 rejected, several);
  assert_true (accepted > 3000 && rejected > 3000 && several > 1000);
  g_free (text);
}

static int
create_directory (void **state)
{
  *state = g_dir_make_tmp ("config-XXXXXX", NULL);
  return *state ? 0 : -1;
}

static int
remove_directory (void **state)
{
  static const char *const names[] = { "new.json", "old.json" };
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      char *path = g_build_filename (*state, names[i], NULL);
      g_unlink (path);
      g_free (path);
    }
  g_rmdir (*state);
  g_free (*state);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (findings_are_as_expected),
    cmocka_unit_test (text_names_entry_cause_and_remedy),
    cmocka_unit_test (missing_file_is_an_error),
    cmocka_unit_test (check_and_instances_accept_the_same),
  };
  return cmocka_run_group_tests (tests, create_directory, remove_directory);
}
