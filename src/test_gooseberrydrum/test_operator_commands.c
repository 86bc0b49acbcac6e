#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "gooseberrydrum/accepted.h"
#include "gooseberrydrum/admin.h"
#include "gooseberrydrum/admin_command.h"
#include "gooseberrydrum/predict_command.h"
#include "gooseberrydrum/table.h"
#include "free_address.h"
#include "platform_fixture.h"

#define TOKEN "0123456789abcdef"
#define INSTANCES 2
#define SERVERS 4
#define BUCKETS 64

/* A stand-in for the platform and the admin servers of two instances, run by
   one loop. */
typedef struct
{
  fixture_t fixture;
  gbd_address_t addresses[INSTANCES];
  gbd_admin_t *admins[INSTANCES];
  int generations[INSTANCES];
  FILE *stream;
  char *text; /* output of the last command */
  size_t size;
} environment_t;

static environment_t environment;

static char *
get_counters (void *data)
{
  (void)data;
  return strdup ("counters");
}

static json_t *
get_status (void *data)
{
  const int *generation = data;
  return json_pack ("{s:i, s:s, s:b}", "generation", *generation, "touch",
                    "full", "joined", 1);
}

static json_t *
get_explanation (void *data, const gbd_flow_t *flow)
{
  (void)data;
  return flow->service.port == 443 ? json_pack ("{s:s}", "because", "bucket")
                                   : NULL;
}

static const gbd_admin_callbacks_t callbacks
    = { get_counters, get_status, get_status, get_explanation };

static gbd_time_t
iterate (void *data)
{
  (void)data;
  lws_cancel_service (environment.fixture.context);
  lws_service (environment.fixture.context, 0);
  return environment.fixture.now;
}

static gbd_client_t
start_command (void)
{
  free (environment.text);
  environment.text = NULL;
  environment.stream = open_memstream (&environment.text, &environment.size);
  return (gbd_client_t){ .context = environment.fixture.context,
                         .iterate = iterate,
                         .out = environment.stream,
                         .err = environment.stream };
}

static void
expect_result (gbd_exit_t result, gbd_exit_t expected, const char *text)
{
  fclose (environment.stream);
  print_message ("%s", environment.text);
  assert_int_equal (result, expected);
  assert_non_null (strstr (environment.text, text));
}

static void
list_instance (const char *name, const char *group, const gbd_address_t *admin)
{
  char text[GBD_ADDRESS_TEXT_MAX] = "";
  if (admin)
    gbd_address_format (admin, text);
  char *value = g_strdup_printf (
      "{\"group\":\"%s\",\"state\":\"live\",\"admin\":\"%s\"}", group, text);
  fixture_write (&environment.fixture, "instances", name, value);
  g_free (value);
}

static json_t *
accept_example (json_t *accepted, gbd_list_t list)
{
  char *path
      = g_strdup_printf (GBD_EXAMPLES "/%s.json", gbd_list_strings[list]);
  json_t *value = json_load_file (path, 0, NULL);
  gbd_change_t change = { list, gbd_list_strings[list], "ana", "now" };
  json_t *next = gbd_accepted_make_next (accepted, &change, value);
  assert_non_null (next);
  json_decref (value);
  json_decref (accepted);
  g_free (path);
  return next;
}

static void
write_table (void)
{
  gbd_backend_t servers[SERVERS] = { 0 };
  gbd_member_t members[] = { { 1, 1 }, { 2, 2 } };
  for (uint32_t i = 0; i < SERVERS; i++)
    {
      char name[GBD_NAME_MAX];
      g_snprintf (name, sizeof name, "visitas-%u", i);
      servers[i].id = gbd_id_from_name (name);
      gbd_address_parse ("127.0.0.1:9000", &servers[i].address);
      servers[i].address.port = (uint16_t)(9000 + i);
    }
  gbd_table_t *table = gbd_table_new (gbd_id_from_name ("visitas"), BUCKETS,
                                      servers, SERVERS, members, INSTANCES);
  table->version = 1;
  char *text = gbd_table_to_json (table);
  fixture_write (&environment.fixture, "tables", "main.visitas", text);
  free (text);
  gbd_table_delete (table);
}

static int
set_up (void **state)
{
  (void)state;
  memset (&environment, 0, sizeof environment);
  fixture_open (&environment.fixture, 0);
  for (int i = 0; i < INSTANCES; i++)
    {
      const char *error;
      environment.addresses[i] = choose_free_address ();
      environment.generations[i] = 2;
      gbd_admin_settings_t settings
          = { .listen = environment.addresses[i], .token = TOKEN };
      environment.admins[i]
          = gbd_admin_new (environment.fixture.context, &settings, &callbacks,
                           &environment.generations[i], &error);
      assert_non_null (environment.admins[i]);
    }
  json_t *accepted = accept_example (NULL, GBD_LIST_PLANS);
  accepted = accept_example (accepted, GBD_LIST_CUSTOMERS);
  char *text = json_dumps (accepted, 0);
  fixture_write (&environment.fixture, "accepted", "main", text);
  free (text);
  json_decref (accepted);
  fixture_write (&environment.fixture, "endpoints", "visitas-1",
                 "{\"service\":\"visitas\"}");
  write_table ();
  list_instance ("one", "main", &environment.addresses[0]);
  list_instance ("two", "main", &environment.addresses[1]);
  list_instance ("other", "canary", NULL);
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  free (environment.text);
  for (int i = 0; i < INSTANCES; i++)
    gbd_admin_delete (environment.admins[i]);
  fixture_close (&environment.fixture);
  return 0;
}

static void
response_of_one_instance_is_printed (void **state)
{
  (void)state;
  static const struct
  {
    const char *token;
    const char *path;
    gbd_exit_t exit;
    const char *text;
  } rows[] = {
    { TOKEN, "/status", GBD_EXIT_OK, "\"generation\": 2" },
    { TOKEN, "/dump", GBD_EXIT_OK, "\"touch\": \"full\"" },
    { TOKEN, "/explain?flow=10.0.0.1:9-10.1.0.1:443", GBD_EXIT_OK, "bucket" },
    { TOKEN, "/explain?flow=10.0.0.1:9-10.1.0.1:444", GBD_EXIT_REFUSED,
      "no service" },
    { TOKEN, "/explain?flow=nonsense", GBD_EXIT_REFUSED, "CALLER-SERVICE" },
    { "wrong-token-0000", "/status", GBD_EXIT_REFUSED, "token" },
    { NULL, "/status", GBD_EXIT_REFUSED, "token" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      gbd_client_t client = start_command ();
      expect_result (gbd_admin_command_show (&client,
                                             &environment.addresses[0],
                                             rows[i].token, rows[i].path),
                     rows[i].exit, rows[i].text);
    }
  gbd_client_t client = start_command ();
  gbd_address_t unused_address = choose_free_address ();
  expect_result (
      gbd_admin_command_show (&client, &unused_address, TOKEN, "/status"),
      GBD_EXIT_UNAVAILABLE, "does not respond");
}

static void
group_status_reports_lagging_instances (void **state)
{
  (void)state;
  gbd_client_t client = start_command ();
  expect_result (gbd_admin_command_group (
                     &client, &environment.fixture.address, TOKEN, "main"),
                 GBD_EXIT_OK, "\"in_force_everywhere\": true");
  assert_null (strstr (environment.text, "other"));

  environment.generations[1] = 1;
  client = start_command ();
  expect_result (gbd_admin_command_group (
                     &client, &environment.fixture.address, TOKEN, "main"),
                 GBD_EXIT_FAILED, "\"lags\": true");

  environment.generations[1] = 2;
  list_instance ("two", "main", NULL);
  client = start_command ();
  expect_result (gbd_admin_command_group (
                     &client, &environment.fixture.address, TOKEN, "main"),
                 GBD_EXIT_FAILED, "start it with --admin-listen");
  fixture_set_switches (&environment.fixture, "{\"down\":true}");
  client = start_command ();
  expect_result (gbd_admin_command_group (
                     &client, &environment.fixture.address, TOKEN, "main"),
                 GBD_EXIT_UNAVAILABLE, "does not respond");
}

static void
effect_of_list_changes_is_predicted (void **state)
{
  (void)state;
  gbd_predict_options_t options
      = { environment.fixture.address, "main", 400, true };
  gbd_client_t client = start_command ();
  expect_result (gbd_predict_command_list (&client, &options,
                                           GBD_LIST_CUSTOMERS,
                                           GBD_EXAMPLES "/customers.json"),
                 GBD_EXIT_OK, "\"changes\": 0");
  client = start_command ();
  expect_result (gbd_predict_command_list (&client, &options, GBD_LIST_PLANS,
                                           GBD_EXAMPLES
                                           "/casa-lampiao/plans.json"),
                 GBD_EXIT_REFUSED, "there is no plan");

  char *text;
  char *path = g_build_filename (g_get_tmp_dir (), "predict-XXXXXX", NULL);
  close (g_mkstemp (path));
  g_file_get_contents (GBD_EXAMPLES "/customers.json", &text, NULL, NULL);
  char **parts = g_strsplit (text, "10.1.0.2:443", 2);
  char *edited = g_strjoinv ("10.1.0.7:443", parts);
  g_file_set_contents (path, edited, -1, NULL);
  client = start_command ();
  expect_result (
      gbd_predict_command_list (&client, &options, GBD_LIST_CUSTOMERS, path),
      GBD_EXIT_OK, "\"effect\": \"address removed\"");
  assert_non_null (strstr (environment.text, "\"changes\": 2"));
  assert_non_null (strstr (environment.text, "\"open flows end\": true"));
  g_remove (path);
  g_strfreev (parts);
  g_free (edited);
  g_free (text);
  g_free (path);
}

static void
effect_of_server_changes_is_predicted (void **state)
{
  (void)state;
  gbd_predict_options_t options
      = { environment.fixture.address, "main", 400, true };
  gbd_client_t client = start_command ();
  expect_result (gbd_predict_command_drain (&client, &options, "visitas-1"),
                 GBD_EXIT_OK, "\"buckets moved\": 16");
  assert_non_null (strstr (environment.text, "\"buckets after\": 0"));
  client = start_command ();
  expect_result (
      gbd_predict_command_add (&client, &options, "visitas-9", "visitas"),
      GBD_EXIT_OK, "\"comes to rest\": true");
  client = start_command ();
  expect_result (gbd_predict_command_drain (&client, &options, "visitas-8"),
                 GBD_EXIT_REFUSED, "no backend server");
  client = start_command ();
  expect_result (
      gbd_predict_command_add (&client, &options, "visitas-9", "acervo"),
      GBD_EXIT_REFUSED, "has no table");
  fixture_set_switches (&environment.fixture, "{\"down\":true}");
  client = start_command ();
  expect_result (gbd_predict_command_drain (&client, &options, "visitas-1"),
                 GBD_EXIT_UNAVAILABLE, "try again");
  assert_null (strstr (environment.text, "no backend server"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (response_of_one_instance_is_printed,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (group_status_reports_lagging_instances,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (effect_of_list_changes_is_predicted,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (effect_of_server_changes_is_predicted,
                                     set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
