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
#define NO_FAULTS                                                             \
  "{\"down\":false,\"slow_ms\":0,\"lose_answers\":0,\"stale_reads\":false}"
#define EDITED "edited.json" /* customers.json with one address changed */

/* One run of a command, its output, and the accepted generation after it. */
typedef struct
{
  const char *switches;
  gbd_list_t list;
  const char *action;
  const char *file;
  const char *with;
  int64_t generation;
  gbd_exit_t exit;
  const char *text; /* expected part of the output */
  uint64_t accepted;
} row_t;

#define FROM_FILE GBD_GENERATION_FROM_FILE

static const row_t rows[] = {
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "get", NULL, NULL, FROM_FILE, GBD_EXIT_OK,
    "{\n  \"customers\": []\n}", 0 },
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "history", NULL, NULL, FROM_FILE,
    GBD_EXIT_OK, "", 0 },
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "check", CUSTOMERS, PLANS, FROM_FILE,
    GBD_EXIT_OK, "the list is valid", 0 },
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "check", CUSTOMERS, CASA_PLANS, FROM_FILE,
    GBD_EXIT_REFUSED, "there is no plan \"field-service\"", 0 },
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "apply", CUSTOMERS, NULL, FROM_FILE,
    GBD_EXIT_REFUSED, "there is no plan \"listings\"", 0 },
  { NO_FAULTS, GBD_LIST_PLANS, "apply", PLANS, NULL, FROM_FILE, GBD_EXIT_OK,
    "accepted: generation 1", 1 },
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "apply", CUSTOMERS, NULL, FROM_FILE,
    GBD_EXIT_OK, "accepted: generation 2", 2 },
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "apply", CUSTOMERS, NULL, FROM_FILE,
    GBD_EXIT_OK, "nothing to change", 2 },
  { NO_FAULTS, GBD_LIST_PLANS, "apply", CASA_PLANS, NULL, 1, GBD_EXIT_REFUSED,
    "customers list, line 25, customers[1].plan: there is no plan", 2 },
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "get", NULL, NULL, FROM_FILE, GBD_EXIT_OK,
    "\"generation\": 2", 2 },
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "diff", EDITED, NULL, FROM_FILE,
    GBD_EXIT_OK,
    "- customer casa-lampiao service acervo address 10.1.0.2:443\n"
    "+ customer casa-lampiao service acervo address 10.1.0.7:443\n",
    2 },
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "apply", EDITED, NULL, FROM_FILE,
    GBD_EXIT_CONFLICT, "is based on generation 0", 2 },
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "apply", EDITED, NULL, 7, GBD_EXIT_CONFLICT,
    "but the platform has 2", 2 },
  { "{\"down\":true}", GBD_LIST_CUSTOMERS, "apply", EDITED, NULL, 2,
    GBD_EXIT_UNAVAILABLE, "nothing changed", 2 },
  { "{\"down\":true}", GBD_LIST_CUSTOMERS, "get", NULL, NULL, FROM_FILE,
    GBD_EXIT_UNAVAILABLE, "cannot be read", 2 },
  { "{\"down\":false,\"lose_answers\":1}", GBD_LIST_CUSTOMERS, "apply", EDITED,
    NULL, 2, GBD_EXIT_OK, "accepted: generation 3", 3 },
  /* Responses are lost, and stale reads hide the effect of the writes. */
  { "{\"lose_answers\":9,\"stale_reads\":true}", GBD_LIST_CUSTOMERS, "apply",
    CUSTOMERS, NULL, 3, GBD_EXIT_OK, "accepted: generation 4", 4 },
  { NO_FAULTS, GBD_LIST_CUSTOMERS, "history", NULL, NULL, FROM_FILE,
    GBD_EXIT_OK, "customers  change-16  ana", 4 },
  { NO_FAULTS, GBD_LIST_PLANS, "apply", "/no/such/file", NULL, FROM_FILE,
    GBD_EXIT_USAGE, "specify a readable file", 4 },
};

typedef struct
{
  fixture_t platform_fixture;
  char *folder;
  char *edited;
} command_fixture_t;

static gbd_time_t
iterate (void *data)
{
  fixture_t *fixture = data;
  fixture_step (fixture);
  return fixture->now;
}

static void
command_fixture_open (command_fixture_t *fixture)
{
  fixture_open (&fixture->platform_fixture, 0);
  gbd_platform_settings_t settings
      = { .platform = fixture->platform_fixture.address };
  fixture->platform_fixture.platform
      = gbd_platform_new (fixture->platform_fixture.context, &settings);

  fixture->folder = g_dir_make_tmp ("lists-XXXXXX", NULL);
  fixture->edited = g_build_filename (fixture->folder, EDITED, NULL);
  char *text;
  assert_true (g_file_get_contents (CUSTOMERS, &text, NULL, NULL));
  char **parts = g_strsplit (text, "10.1.0.2:443", 2);
  char *edited = g_strjoinv ("10.1.0.7:443", parts);
  assert_true (g_file_set_contents (fixture->edited, edited, -1, NULL));
  g_strfreev (parts);
  g_free (edited);
  g_free (text);
}

static void
command_fixture_close (command_fixture_t *fixture)
{
  g_remove (fixture->edited);
  g_rmdir (fixture->folder);
  g_free (fixture->edited);
  g_free (fixture->folder);
  fixture_close (&fixture->platform_fixture);
}

/* Run one command; *text is set to its output on both streams. */
static gbd_exit_t
run (command_fixture_t *fixture, const row_t *row, const char *change,
     bool is_json, char **text)
{
  size_t size;
  FILE *stream = open_memstream (text, &size);
  bool is_edited = row->file && strcmp (row->file, EDITED) == 0;
  gbd_lists_options_t options = {
    .list = row->list,
    .action = row->action,
    .file = is_edited ? fixture->edited : row->file,
    .with = row->with,
    .group = "main",
    .author = "ana",
    .change = change,
    .at = "now",
    .generation = row->generation,
    .is_json = is_json,
  };
  gbd_lists_environment_t environment = {
    .platform = fixture->platform_fixture.platform,
    .iterate = iterate,
    .data = &fixture->platform_fixture,
    .out = stream,
    .err = stream,
  };
  gbd_exit_t result = gbd_lists_command (&options, &environment);
  fclose (stream);
  return result;
}

static void
commands_match_the_accepted_generation (void **state)
{
  (void)state;
  command_fixture_t fixture;
  command_fixture_open (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char change[32];
      char *text;
      g_snprintf (change, sizeof change, "change-%zu", i);
      fixture_set_switches (&fixture.platform_fixture, rows[i].switches);
      gbd_exit_t result = run (&fixture, &rows[i], change, false, &text);
      print_message ("row %zu: %s", i, text);
      assert_int_equal (result, rows[i].exit);
      assert_non_null (strstr (text, rows[i].text));
      json_t *accepted = fixture_read (&fixture.platform_fixture,
                                       GBD_ACCEPTED_KIND, "main");
      assert_int_equal (gbd_accepted_get_generation (accepted),
                        rows[i].accepted);
      json_decref (accepted);
      free (text);
    }
  command_fixture_close (&fixture);
}

static void
lost_response_gives_an_unknown_result (void **state)
{
  (void)state;
  static const row_t row = { .list = GBD_LIST_PLANS,
                             .action = "apply",
                             .file = PLANS,
                             .generation = FROM_FILE };
  command_fixture_t fixture;
  char *text;
  command_fixture_open (&fixture);
  fixture_set_switches (&fixture.platform_fixture, "{\"lose_answers\":1}");
  fixture.platform_fixture.is_down_after_write = true;
  gbd_exit_t result = run (&fixture, &row, "own", true, &text);
  assert_int_equal (result, GBD_EXIT_UNKNOWN);
  assert_non_null (strstr (text, "\"result\": \"unknown\""));
  assert_non_null (strstr (text, "plans history"));
  free (text);
  command_fixture_close (&fixture);
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
      command_fixture_t fixture;
      char *text;
      command_fixture_open (&fixture);
      fixture_write (&fixture.platform_fixture, GBD_ACCEPTED_KIND, "main",
                     "{}");
      assert_int_equal (run (&fixture, &commands[i], "own", false, &text),
                        GBD_EXIT_FAILED);
      assert_non_null (strstr (text, "damaged"));
      free (text);
      command_fixture_close (&fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (commands_match_the_accepted_generation),
    cmocka_unit_test (lost_response_gives_an_unknown_result),
    cmocka_unit_test (damaged_object_is_reported),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
