#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "gooseberrydrum/config_check.h"

#define SUMMARY_BYTES 1024

static const gbd_config_names_t names = {
  .version = "version",
  .routes = "routes",
  .services = "services",
  .response_goal = "goal",
  .time_limit = "limit",
  .idle_timeout = "idle",
  .warm_up_time = "warm_up",
  .warm_up_rate = "warm_up_rate",
};

/* A configuration with one route to two services and one listed service. */
typedef struct
{
  const char *label;
  gbd_time_t goal, limit, idle_timeout;
  uint32_t weights[2];
  const char *service;
  gbd_warm_up_limits_t warm_up;
  const char *rules; /* expected, each followed by a space */
} limits_case_t;

static const limits_case_t limits_cases[] = {
  { "nothing stated", 0, 0, 0, { 1, 1 }, "web", { 0 }, "" },
  { "consistent", 5, 5, 5, { 1, 1 }, "web", { .duration = 1, .rate = 1 }, "" },
  { "goal above limit", 6, 5, 0, { 1, 1 }, "web", { 0 }, "goal_above_limit " },
  { "goal without limit", 6, 0, 0, { 1, 1 }, "web", { 0 }, "" },
  { "idle time-out below limit",
    0,
    5,
    4,
    { 1, 1 },
    "web",
    { 0 },
    "idle_timeout_too_short " },
  { "all at once",
    6,
    5,
    4,
    { 0, 1 },
    "web",
    { .rate = 1 },
    "goal_above_limit idle_timeout_too_short zero_weight unused_service "
    "warm_up_rate_without_time " },
  { "only weights of 0",
    0,
    0,
    0,
    { 0, 0 },
    "mail",
    { 0 },
    "no_weight unused_service " },
  { "unknown service", 0, 0, 0, { 1, 1 }, "old", { 0 }, "unused_service " },
};

static void
summarize (const gbd_findings_t *findings, char *summary)
{
  summary[0] = '\0';
  for (uint32_t i = 0; i < gbd_findings_get_count (findings); i++)
    {
      const gbd_finding_t *finding = gbd_findings_get (findings, i);
      size_t length = strlen (summary);
      snprintf (summary + length, SUMMARY_BYTES - length, "%s ",
                finding->rule);
      assert_true (finding->cause[0] && finding->remedy[0]);
    }
}

/* Guards against contradicting limits that pass, and against warnings about
   limits that are equal or not stated. */
static void
contradictions_and_useless_entries_are_found (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof limits_cases / sizeof limits_cases[0]; i++)
    {
      const limits_case_t *row = &limits_cases[i];
      char summary[SUMMARY_BYTES];
      print_message ("%s\n", row->label);
      gbd_config_t *config = gbd_config_new (NULL, &names, 1, 1);
      gbd_findings_t *findings = gbd_findings_new ();
      config->idle_timeout = row->idle_timeout;
      config->route_count = 1;
      config->routes[0] = (gbd_config_route_t){
        .name = "r-1",
        .route
        = { .response_goal = row->goal,
            .time_limit = row->limit,
            .target_count = 2,
            .targets = { { gbd_id_from_name ("web"), row->weights[0] },
                         { gbd_id_from_name ("mail"), row->weights[1] } } },
        .target_names = { "web", "mail" },
      };
      config->service_count = 1;
      config->services[0].warm_up = row->warm_up;
      strcpy (config->services[0].name, row->service);
      gbd_config_check (config, findings);
      summarize (findings, summary);
      assert_string_equal (summary, row->rules);
      assert_int_equal (gbd_findings_count (findings, GBD_FINDING_WARNING),
                        gbd_findings_get_count (findings));
      gbd_findings_delete (findings);
      gbd_config_delete (config);
    }
}

/* Two versions of one route, and the cause of the difference. */
typedef struct
{
  const char *label;
  const char *before;
  const char *now;
  const char *cause; /* NULL: no difference */
} field_case_t;

static const field_case_t field_cases[] = {
  { "equal", "{\"a\":1}", "{\"a\":1}", NULL },
  { "equal numbers", "{\"a\":2}", "{\"a\":2.0}", NULL },
  { "equal in another order", "{\"a\":1,\"b\":2}", "{\"b\":2,\"a\":1}", NULL },
  { "changed", "{\"a\":0.1}", "{\"a\":\"x\"}", "a: 0.1 before, \"x\" now" },
  { "added", "{}", "{\"a\":[1]}", "a: not stated before, [1] now" },
  { "removed", "{\"a\":1}", "{}", "a: 1 before, not stated now" },
  { "nested", "{\"a\":{\"b\":1,\"c\":2}}", "{\"a\":{\"b\":1,\"c\":3}}",
    "a.c: 2 before, 3 now" },
  { "name of the list of routes", "{\"routes\":1}", "{\"routes\":2}",
    "routes: 1 before, 2 now" },
};

static gbd_config_t *
make_config (uint64_t version, const json_t *fields)
{
  gbd_config_t *config = gbd_config_new (NULL, &names, 1, 0);
  config->version = version;
  config->route_count = 1;
  strcpy (config->routes[0].name, "r-1");
  config->routes[0].fields = fields;
  return config;
}

/* Guards against a changed field that is not reported, and against reports
   about another spelling of the same value. */
static void
changed_fields_are_named (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof field_cases / sizeof field_cases[0]; i++)
    {
      const field_case_t *row = &field_cases[i];
      print_message ("%s\n", row->label);
      json_t *before = json_loads (row->before, 0, NULL);
      json_t *now = json_loads (row->now, 0, NULL);
      gbd_config_t *in_force = make_config (1, before);
      gbd_config_t *config = make_config (2, now);
      gbd_findings_t *findings = gbd_findings_new ();
      gbd_config_compare (in_force, config, findings);
      assert_int_equal (gbd_findings_get_count (findings), row->cause ? 1 : 0);
      if (row->cause)
        assert_string_equal (gbd_findings_get (findings, 0)->cause,
                             row->cause);
      gbd_findings_delete (findings);
      gbd_config_delete (in_force);
      gbd_config_delete (config);
      json_decref (before);
      json_decref (now);
    }
}

/* Guards against findings that are lost when the list grows. */
static void
many_findings_are_kept_in_order (void **state)
{
  (void)state;
  const gbd_finding_subject_t subject = { "route", "r-1" };
  gbd_findings_t *findings = gbd_findings_new ();
  for (int i = 0; i < 1000; i++)
    gbd_findings_add (findings,
                      i % 2 ? GBD_FINDING_ERROR : GBD_FINDING_WARNING, "rule",
                      &subject, "remedy", "%d", i);
  assert_int_equal (gbd_findings_get_count (findings), 1000);
  assert_int_equal (gbd_findings_count (findings, GBD_FINDING_ERROR), 500);
  assert_string_equal (gbd_findings_get (findings, 999)->cause, "999");
  assert_true (gbd_findings_is_complete (findings));
  gbd_findings_delete (findings);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (contradictions_and_useless_entries_are_found),
    cmocka_unit_test (changed_fields_are_named),
    cmocka_unit_test (many_findings_are_kept_in_order),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
