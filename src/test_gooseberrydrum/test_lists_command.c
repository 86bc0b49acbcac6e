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

#include "gooseberrydrum/lists_command.h"
#include "platform_fixture.h"

#define CUSTOMERS GBD_EXAMPLES "/customers.json"
#define PLANS GBD_EXAMPLES "/plans.json"
#define CASA_PLANS GBD_EXAMPLES "/casa-lampiao/plans.json"
#define NO_FAULT                                                              \
  "{\"down\":false,\"slow_ms\":0,\"lose_answers\":0,\"stale_reads\":false}"
#define EDITED "edited.json" /* customers.json with one address changed */

/* One run of a command, and the accepted generation after it. */
typedef struct
{
  const char *switches;
  gbd_list_t list;
  const char *action;
  const char *file;
  const char *with;
  int64_t generation;
  gbd_exit_t exit;
  const char *text; /* part of what it prints */
  uint64_t accepted;
} row_t;

#define FROM_FILE GBD_GENERATION_FROM_FILE

static const row_t rows[] = {
  { NO_FAULT, GBD_LIST_CUSTOMERS, "get", NULL, NULL, FROM_FILE, GBD_EXIT_OK,
    "{\n  \"customers\": []\n}", 0 },
  { NO_FAULT, GBD_LIST_CUSTOMERS, "history", NULL, NULL, FROM_FILE,
    GBD_EXIT_OK, "", 0 },
  { NO_FAULT, GBD_LIST_CUSTOMERS, "check", CUSTOMERS, PLANS, FROM_FILE,
    GBD_EXIT_OK, "breaks no rule", 0 },
  { NO_FAULT, GBD_LIST_CUSTOMERS, "check", CUSTOMERS, CASA_PLANS, FROM_FILE,
    GBD_EXIT_REFUSED, "there is no plan \"field-service\"", 0 },
  { NO_FAULT, GBD_LIST_CUSTOMERS, "apply", CUSTOMERS, NULL, FROM_FILE,
    GBD_EXIT_REFUSED, "there is no plan \"listings\"", 0 },
  { NO_FAULT, GBD_LIST_PLANS, "apply", PLANS, NULL, FROM_FILE, GBD_EXIT_OK,
    "accepted: generation 1", 1 },
  { NO_FAULT, GBD_LIST_CUSTOMERS, "apply", CUSTOMERS, NULL, FROM_FILE,
    GBD_EXIT_OK, "accepted: generation 2", 2 },
  { NO_FAULT, GBD_LIST_CUSTOMERS, "apply", CUSTOMERS, NULL, FROM_FILE,
    GBD_EXIT_OK, "nothing to change", 2 },
  { NO_FAULT, GBD_LIST_PLANS, "apply", CASA_PLANS, NULL, 1, GBD_EXIT_REFUSED,
    "customers list, line 25, customers[1].plan: there is no plan", 2 },
  { NO_FAULT, GBD_LIST_CUSTOMERS, "get", NULL, NULL, FROM_FILE, GBD_EXIT_OK,
    "\"generation\": 2", 2 },
  { NO_FAULT, GBD_LIST_CUSTOMERS, "diff", EDITED, NULL, FROM_FILE, GBD_EXIT_OK,
    "- customer casa-lampiao service acervo address 10.1.0.2:443\n"
    "+ customer casa-lampiao service acervo address 10.1.0.7:443\n",
    2 },
  { NO_FAULT, GBD_LIST_CUSTOMERS, "apply", EDITED, NULL, FROM_FILE,
    GBD_EXIT_CONFLICT, "starts from generation 0", 2 },
  { NO_FAULT, GBD_LIST_CUSTOMERS, "apply", EDITED, NULL, 7, GBD_EXIT_CONFLICT,
    "but the platform has 2", 2 },
  { "{\"down\":true}", GBD_LIST_CUSTOMERS, "apply", EDITED, NULL, 2,
    GBD_EXIT_UNAVAILABLE, "nothing changed", 2 },
  { "{\"down\":true}", GBD_LIST_CUSTOMERS, "get", NULL, NULL, FROM_FILE,
    GBD_EXIT_UNAVAILABLE, "cannot be read", 2 },
  { "{\"down\":false,\"lose_answers\":1}", GBD_LIST_CUSTOMERS, "apply", EDITED,
    NULL, 2, GBD_EXIT_OK, "accepted: generation 3", 3 },
  /* Answers are lost, and a copy that lags hides their effect. */
  { "{\"lose_answers\":9,\"stale_reads\":true}", GBD_LIST_CUSTOMERS, "apply",
    CUSTOMERS, NULL, 3, GBD_EXIT_OK, "accepted: generation 4", 4 },
  { NO_FAULT, GBD_LIST_CUSTOMERS, "history", NULL, NULL, FROM_FILE,
    GBD_EXIT_OK, "customers  change-16  ana", 4 },
  { NO_FAULT, GBD_LIST_PLANS, "apply", "/no/such/file", NULL, FROM_FILE,
    GBD_EXIT_USAGE, "name a file that can be read", 4 },
};

typedef struct
{
  fixture_t fixture;
  char *folder;
  char *edited;
} setting_t;

static gbd_time_t
turn (void *data)
{
  fixture_t *fixture = data;
  fixture_step (fixture);
  return fixture->now;
}

static void
setting_open (setting_t *setting)
{
  fixture_open (&setting->fixture, 0);
  gbd_platform_settings_t settings = { .platform = setting->fixture.address };
  setting->fixture.platform
      = gbd_platform_new (setting->fixture.context, &settings);

  setting->folder = g_dir_make_tmp ("lists-XXXXXX", NULL);
  setting->edited = g_build_filename (setting->folder, EDITED, NULL);
  char *text;
  assert_true (g_file_get_contents (CUSTOMERS, &text, NULL, NULL));
  char **parts = g_strsplit (text, "10.1.0.2:443", 2);
  char *edited = g_strjoinv ("10.1.0.7:443", parts);
  assert_true (g_file_set_contents (setting->edited, edited, -1, NULL));
  g_strfreev (parts);
  g_free (edited);
  g_free (text);
}

static void
setting_close (setting_t *setting)
{
  g_remove (setting->edited);
  g_rmdir (setting->folder);
  g_free (setting->edited);
  g_free (setting->folder);
  fixture_close (&setting->fixture);
}

/* Run one command; *text is what it printed on both streams. */
static gbd_exit_t
run (setting_t *setting, const row_t *row, const char *change, bool is_json,
     char **text)
{
  size_t size;
  FILE *stream = open_memstream (text, &size);
  bool is_edited = row->file && strcmp (row->file, EDITED) == 0;
  gbd_lists_options_t options = {
    .list = row->list,
    .action = row->action,
    .file = is_edited ? setting->edited : row->file,
    .with = row->with,
    .group = "main",
    .author = "ana",
    .change = change,
    .at = "now",
    .generation = row->generation,
    .is_json = is_json,
  };
  gbd_lists_environment_t environment = {
    .platform = setting->fixture.platform,
    .turn = turn,
    .data = &setting->fixture,
    .out = stream,
    .err = stream,
  };
  gbd_exit_t result = gbd_lists_command (&options, &environment);
  fclose (stream);
  return result;
}

static void
commands_of_the_table_tell_the_truth (void **state)
{
  (void)state;
  setting_t setting;
  setting_open (&setting);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char change[32];
      char *text;
      g_snprintf (change, sizeof change, "change-%zu", i);
      fixture_switch (&setting.fixture, rows[i].switches);
      gbd_exit_t result = run (&setting, &rows[i], change, false, &text);
      print_message ("row %zu: %s", i, text);
      assert_int_equal (result, rows[i].exit);
      assert_non_null (strstr (text, rows[i].text));
      json_t *accepted
          = fixture_read (&setting.fixture, GBD_ACCEPTED_KIND, "main");
      assert_int_equal (gbd_accepted_get_generation (accepted),
                        rows[i].accepted);
      json_decref (accepted);
      free (text);
    }
  setting_close (&setting);
}

static void
answer_that_never_comes_is_not_known (void **state)
{
  (void)state;
  static const row_t row = { .list = GBD_LIST_PLANS,
                             .action = "apply",
                             .file = PLANS,
                             .generation = FROM_FILE };
  setting_t setting;
  char *text;
  setting_open (&setting);
  fixture_switch (&setting.fixture, "{\"lose_answers\":1}");
  setting.fixture.is_down_after_write = true;
  gbd_exit_t result = run (&setting, &row, "own", true, &text);
  assert_int_equal (result, GBD_EXIT_UNKNOWN);
  assert_non_null (strstr (text, "\"result\": \"unknown\""));
  assert_non_null (strstr (text, "plans history"));
  free (text);
  setting_close (&setting);
}

static void
damaged_object_is_reported (void **state)
{
  (void)state;
  static const row_t commands[] = {
    { .list = GBD_LIST_PLANS, .action = "get", .generation = FROM_FILE },
    { .list = GBD_LIST_PLANS,
      .action = "apply",
      .file = PLANS,
      .generation = FROM_FILE },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      setting_t setting;
      char *text;
      setting_open (&setting);
      fixture_write (&setting.fixture, GBD_ACCEPTED_KIND, "main", "{}");
      assert_int_equal (run (&setting, &commands[i], "own", false, &text),
                        GBD_EXIT_FAILED);
      assert_non_null (strstr (text, "damaged"));
      free (text);
      setting_close (&setting);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (commands_of_the_table_tell_the_truth),
    cmocka_unit_test (answer_that_never_comes_is_not_known),
    cmocka_unit_test (damaged_object_is_reported),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
