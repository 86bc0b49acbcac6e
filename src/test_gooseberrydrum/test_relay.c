#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gooseberrydrum/platform_client.h"
#include "gooseberrydrum/platform_private.h"
#include "free_address.h"
#include "gooseberrydrum/relay.h"
#include "gooseberrydrum/relay_api.h"
#include "gooseberrydrum/relay_codec.h"
#include "gooseberrydrum/sources.h"

#define KIND "servers"
#define STEP (100 * GBD_MILLISECOND)
#define LOOP_COUNT_MAX 400

static struct lws_context *context;
static gbd_relay_t *relay;
static gbd_platform_t *reader;
static gbd_platform_t *second_client; /* client of a second relay, or NULL */
static gbd_platform_watch_t *watch;
static gbd_time_t now;
static json_t *view; /* objects that the reader received, by name */
static uint32_t confirmations;
static uint32_t failures;
static uint32_t received_removal_grace_ms;
static uint64_t received_hint;
static bool is_list_connected;
static json_t *rejection; /* body of the last rejection, or NULL */

static int
set_up (void **state)
{
  (void)state;
  struct lws_context_creation_info info
      = { .port = CONTEXT_PORT_NO_LISTEN,
          .options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS };
  const char *error = NULL;
  lws_set_log_level (0, NULL);
  gbd_address_t address = choose_free_address ();
  context = lws_create_context (&info);
  relay = gbd_relay_new (context, &address, KIND, &error);
  gbd_platform_settings_t settings = { .platform = address,
                                       .platform_api = &gbd_platform_api_relay,
                                       .call_timeout_ms = 500,
                                       .watch_wait_ms = 1000,
                                       .random_seed = 3 };
  reader = gbd_platform_new (context, &settings);
  now = 1000 * GBD_SECOND;
  view = json_object ();
  confirmations = 0;
  failures = 0;
  received_removal_grace_ms = 0;
  received_hint = 0;
  return relay && reader ? 0 : -1;
}

static int
tear_down (void **state)
{
  (void)state;
  gbd_platform_delete (reader);
  gbd_relay_delete (relay);
  lws_context_destroy (context);
  json_decref (view);
  json_decref (rejection);
  rejection = NULL;
  return 0;
}

static void
record_reset (void *data)
{
  (void)data;
  json_object_clear (view);
}

static void
record_change (void *data, const char *name, uint64_t version, json_t *value)
{
  (void)data;
  (void)version;
  if (value)
    json_object_set (view, name, value);
  else
    json_object_del (view, name);
}

static void
record_confirmed (void *data, gbd_time_t requested_at)
{
  (void)data;
  (void)requested_at;
  confirmations++;
}

static void
record_failed (void *data, gbd_time_t at)
{
  (void)data;
  (void)at;
  failures++;
}

static void
record_relay_metadata (void *data, uint32_t removal_grace_ms, uint64_t hint,
                       bool is_connected)
{
  (void)data;
  is_list_connected = is_connected;
  received_removal_grace_ms = removal_grace_ms;
  received_hint = hint;
}

static void
record_rejected (void *data, const json_t *body)
{
  (void)data;
  json_decref (rejection);
  rejection = json_deep_copy (body);
}

static const gbd_platform_watch_callbacks_t callbacks
    = { .reset = record_reset,
        .changed = record_change,
        .confirmed = record_confirmed,
        .rejected = record_rejected,
        .failed = record_failed,
        .relay_metadata = record_relay_metadata };

static void
run_loop_once (void)
{
  lws_cancel_service (context);
  lws_service (context, 0);
  usleep (1000);
  now += STEP / 20;
  gbd_platform_tick (reader, now);
  if (second_client)
    gbd_platform_tick (second_client, now);
}

static void
run_until_count (const uint32_t *counter, uint32_t count)
{
  for (int i = 0; i < LOOP_COUNT_MAX && *counter < count; i++)
    run_loop_once ();
  assert_true (*counter >= count);
}

/* Runs the loop for less time than a long poll lasts. */
static void
run_loop_during_long_poll (void)
{
  for (int i = 0; i < 40; i++)
    run_loop_once ();
}

static void
apply_change (const char *name, uint64_t version, const char *value)
{
  json_t *object = value ? json_string (value) : NULL;
  gbd_relay_apply (relay, name, version, object);
  json_decref (object);
}

static void
reader_receives_the_list_and_later_changes (void **state)
{
  (void)state;
  apply_change ("a", 5, "one");
  apply_change ("b", 6, "two");
  gbd_relay_publish (relay, 10, 0, now);
  watch = gbd_platform_watch_new (reader, KIND, "", now, &callbacks, NULL);
  run_until_count (&confirmations, 1);
  assert_int_equal (json_object_size (view), 2);
  assert_int_equal (gbd_platform_watch_get_version (watch), 10);

  /* The reader waits at the relay until something changes. */
  run_loop_during_long_poll ();
  uint32_t before = confirmations;
  apply_change ("a", 5, NULL);
  apply_change ("c", 11, "three");
  gbd_relay_publish (relay, 12, 700, now);
  run_until_count (&confirmations, before + 1);
  assert_null (json_object_get (view, "a"));
  assert_non_null (json_object_get (view, "c"));
  assert_int_equal (received_removal_grace_ms, 700);
  assert_int_equal (gbd_platform_watch_get_version (watch), 12);
}

static void
waiting_reader_is_rejected_when_the_relay_loses_the_platform (void **state)
{
  (void)state;
  apply_change ("a", 5, "one");
  gbd_relay_publish (relay, 10, 0, now);
  watch = gbd_platform_watch_new (reader, KIND, "", now, &callbacks, NULL);
  run_until_count (&confirmations, 1);
  run_loop_during_long_poll ();
  assert_int_equal (failures, 0);
  gbd_relay_disconnect (relay);
  run_until_count (&failures, 1);
  /* The objects that were read are kept. */
  assert_int_equal (json_object_size (view), 1);
}

/* Found by soak seed 3: for 25 s, flows were sent to the service of old
   routes, because the connection of the watch on routes stopped delivering
   without an error.  A relay's hint must reach a waiting reader at once. */
static void
waiting_reader_is_notified_of_newer_routes (void **state)
{
  (void)state;
  apply_change ("a", 5, "one");
  gbd_relay_set_hint (relay, 7);
  gbd_relay_publish (relay, 10, 0, now);
  watch = gbd_platform_watch_new (reader, KIND, "", now, &callbacks, NULL);
  run_until_count (&confirmations, 1);
  assert_int_equal (received_hint, 7);
  run_loop_during_long_poll ();
  uint32_t before = confirmations;
  gbd_relay_set_hint (relay, 11);
  run_until_count (&confirmations, before + 1);
  assert_int_equal (received_hint, 11);
  assert_int_equal (json_object_size (view), 1);
}

/* Instances start at the same time, and a reader has read a higher version
   from the platform than the relay that it switches to. */
static void
reader_ahead_of_a_relay_waits (void **state)
{
  (void)state;
  const char *error = NULL;
  gbd_address_t address = choose_free_address ();
  gbd_relay_t *lagging_relay = gbd_relay_new (context, &address, KIND, &error);
  gbd_platform_settings_t settings = { .platform = address,
                                       .platform_api = &gbd_platform_api_relay,
                                       .call_timeout_ms = 500,
                                       .watch_wait_ms = 1000,
                                       .random_seed = 3 };
  second_client = gbd_platform_new (context, &settings);
  apply_change ("a", 5, "one");
  gbd_relay_publish (relay, 12, 0, now);
  gbd_relay_publish (lagging_relay, 11, 0, now);
  watch = gbd_platform_watch_new (reader, KIND, "", now, &callbacks, NULL);
  run_until_count (&confirmations, 1);
  gbd_platform_watch_move (watch, second_client, true);
  run_loop_during_long_poll ();
  assert_int_equal (failures, 0);
  json_t *value = json_string ("two");
  gbd_relay_apply (lagging_relay, "b", 13, value);
  json_decref (value);
  uint32_t before = confirmations;
  gbd_relay_publish (lagging_relay, 13, 0, now);
  run_until_count (&confirmations, before + 1);
  assert_int_equal (failures, 0);
  assert_non_null (json_object_get (view, "b"));
  gbd_platform_delete (second_client);
  second_client = NULL;
  gbd_relay_delete (lagging_relay);
}

typedef struct
{
  const char *label;
  bool has_since;
  uint64_t since;
  unsigned status;
  const char *substring; /* expected in the response */
} response_case_t;

static const response_case_t response_cases[] = {
  { "listing", false, 0, 200, "\"items\":[{\"name\":\"b\"" },
  { "no changes", true, 20, 200, "\"changes\":[]" },
  { "one deletion", true, 10, 200,
    "{\"name\":\"a\",\"version\":5,\"value\":null}" },
  { "a reader ahead of the relay", true, 21, 200, "{\"version\":21," },
  { "no changes for a reader ahead", true, 21, 200, "\"changes\":[]" },
  { "older than the retained deletions", true, 9, 410, "\"readers\":0" },
};

/* Returns a response as the reader's client sees it. */
static char *
format_response (const uint64_t *since, unsigned *status)
{
  const gbd_platform_api_t *api = &gbd_platform_api_relay;
  const GByteArray *body
      = gbd_relay_build_response (relay, since, false, NULL, status);
  json_t *native
      = api->translate (api->parse ((const char *)body->data, body->len));
  assert_non_null (native);
  char *text = json_dumps (native, JSON_COMPACT);
  json_decref (native);
  return text;
}

static void
response_depends_on_the_reader_version (void **state)
{
  (void)state;
  unsigned status;
  free (format_response (NULL, &status));
  assert_int_equal (status, 503);
  apply_change ("a", 5, "one");
  apply_change ("b", 6, "two");
  gbd_relay_publish (relay, 10, 0, now);
  apply_change ("a", 5, NULL);
  gbd_relay_publish (relay, 20, 0, now);
  for (size_t i = 0; i < sizeof response_cases / sizeof response_cases[0]; i++)
    {
      const response_case_t *row = &response_cases[i];
      print_message ("%s\n", row->label);
      char *text
          = format_response (row->has_since ? &row->since : NULL, &status);
      assert_int_equal (status, row->status);
      assert_non_null (strstr (text, row->substring));
      free (text);
    }
}

static void
new_listing_deletes_missing_objects (void **state)
{
  (void)state;
  unsigned status;
  uint64_t since = 10;
  apply_change ("a", 5, "one");
  apply_change ("b", 6, "two");
  gbd_relay_publish (relay, 10, 0, now);
  gbd_relay_begin_listing (relay);
  apply_change ("b", 6, "two");
  gbd_relay_publish (relay, 30, 0, now);
  char *text = format_response (&since, &status);
  assert_non_null (strstr (text, "\"name\":\"a\",\"version\":5,"
                                 "\"value\":null"));
  free (text);
  /* Deletions expire; readers with older versions must list again. */
  gbd_relay_publish (relay, 31, 0, now + GBD_RELAY_DELETION_RETENTION);
  text = format_response (&since, &status);
  assert_int_equal (status, 410);
  free (text);
}

/* The platform has discarded its history, and the relay lists all objects
   again. */
static void
new_listing_reports_only_changed_objects (void **state)
{
  (void)state;
  unsigned status;
  uint64_t since = 10;
  apply_change ("a", 5, "one");
  apply_change ("b", 6, "two");
  gbd_relay_publish (relay, 10, 0, now);
  gbd_relay_begin_listing (relay);
  apply_change ("a", 5, "one");
  apply_change ("b", 27, "three");
  gbd_relay_publish (relay, 30, 0, now);
  char *text = format_response (&since, &status);
  assert_null (strstr (text, "\"a\""));
  assert_non_null (strstr (text, "\"name\":\"b\",\"version\":27"));
  free (text);
}

/* All instances have started together, and the relay reads its first list
   while its readers already request it.  They must neither be rejected, as
   they would then read the list from the platform, nor wait forever. */
static void
listing_waits_for_the_first_list (void **state)
{
  (void)state;
  gbd_relay_tick (relay, now);
  watch = gbd_platform_watch_new (reader, KIND, "", now, &callbacks, NULL);
  run_loop_during_long_poll ();
  gbd_relay_set_hint (relay, 7);
  run_loop_during_long_poll ();
  assert_int_equal (failures, 0);
  apply_change ("a", 5, "one");
  gbd_relay_publish (relay, 10, 0, now);
  run_until_count (&confirmations, 1);
  assert_int_equal (json_object_size (view), 1);
  assert_true (is_list_connected);
}

static void
listing_is_rejected_if_no_list_arrives (void **state)
{
  (void)state;
  gbd_relay_tick (relay, now);
  watch = gbd_platform_watch_new (reader, KIND, "", now, &callbacks, NULL);
  run_loop_during_long_poll ();
  gbd_relay_tick (relay, now + GBD_RELAY_LISTING_WAIT);
  run_until_count (&failures, 1);
  assert_int_equal (confirmations, 0);
}

/* An instance that starts while the platform is unreachable must get the list
   that the relay has, and learn that it may be outdated. */
static void
listing_is_sent_while_the_platform_is_unreachable (void **state)
{
  (void)state;
  apply_change ("a", 5, "one");
  gbd_relay_publish (relay, 10, 0, now);
  gbd_relay_disconnect (relay);
  watch = gbd_platform_watch_new (reader, KIND, "", now, &callbacks, NULL);
  run_until_count (&confirmations, 1);
  assert_int_equal (json_object_size (view), 1);
  assert_false (is_list_connected);
  assert_int_equal (gbd_platform_watch_get_version (watch), 10);
  /* Changes are not sent. */
  run_until_count (&failures, 1);
  assert_non_null (rejection);
}

static bool is_document_done;

static void
record_document (void *data, gbd_status_t status, uint64_t version,
                 json_t *value)
{
  is_document_done = true;
  assert_int_equal (status, GBD_OK);
  assert_int_equal (version, 3);
  assert_true (json_equal (value, data));
}

/* A reader whose version is higher has read from the platform meanwhile, so
   the platform serves some instances and other readers may try it. */
static void
rejection_reports_a_reader_with_a_newer_version (void **state)
{
  (void)state;
  const char *error = NULL;
  gbd_address_t address = choose_free_address ();
  gbd_relay_t *lagging_relay = gbd_relay_new (context, &address, KIND, &error);
  gbd_platform_settings_t settings = reader->settings;
  settings.platform = address;
  second_client = gbd_platform_new (context, &settings);
  apply_change ("a", 5, "one");
  gbd_relay_publish (relay, 12, 0, now);
  watch = gbd_platform_watch_new (reader, KIND, "", now, &callbacks, NULL);
  run_until_count (&confirmations, 1);
  for (uint64_t version = 12; version >= 11; version--)
    {
      gbd_relay_publish (lagging_relay, version, 0, now);
      gbd_relay_disconnect (lagging_relay);
      for (int i = 0; i < 2; i++)
        {
          gbd_relay_tick (lagging_relay, now + i * GBD_NEWER_READERS_DELAY);
          gbd_platform_watch_move (watch, second_client, true);
          run_until_count (&failures, failures + 1);
          assert_int_equal (
              json_is_true (json_object_get (rejection, "newer")),
              version < 12 && i == 1);
          gbd_platform_watch_move (watch, reader, true);
          run_until_count (&confirmations, confirmations + 1);
        }
    }
  gbd_platform_delete (second_client);
  second_client = NULL;
  gbd_relay_delete (lagging_relay);
}

static void
document_is_read_by_its_name (void **state)
{
  (void)state;
  json_t *value = json_pack ("{s:s, s:[i, i]}", "key", "1f", "list", 1, 2);
  gbd_relay_set_document (relay, "mine", "cookie-key", 3, value);
  is_document_done = false;
  gbd_platform_get (reader, "mine", "cookie-key", false, now, record_document,
                    value);
  for (int i = 0; i < LOOP_COUNT_MAX && !is_document_done; i++)
    run_loop_once ();
  assert_true (is_document_done);
  json_decref (value);
}

/* Lists from the relay and waits there, with further arguments. */
static void
wait_with_argument (const char *argument)
{
  gbd_platform_settings_t settings = reader->settings;
  settings.watch_argument = argument;
  apply_change ("a", 5, "one");
  gbd_relay_publish (relay, 10, 0, now);
  gbd_relay_tick (relay, now);
  second_client = gbd_platform_new (context, &settings);
  gbd_platform_watch_new (second_client, KIND, "", now, &callbacks, NULL);
  run_until_count (&confirmations, 1);
  run_loop_during_long_poll ();
  gbd_platform_delete (second_client);
  second_client = NULL;
}

/* Guards against a relay that starts without the platform and finds none of
   the readers that have the list, since it does not understand the address by
   which they name themselves. */
static void
waiting_reader_is_a_holder (void **state)
{
  (void)state;
  gbd_address_t holder;
  char text[GBD_ADDRESS_TEXT_MAX];
  assert_false (gbd_relay_next_holder (relay, &holder, now));
  wait_with_argument ("from=[2001:db8::7]:7000&zone=a");
  assert_true (gbd_relay_next_holder (relay, &holder, now));
  gbd_address_format (&holder, text);
  assert_string_equal (text, "[2001:db8::7]:7000");
}

/* Guards against a reader that learns of an evacuation with its next response
   only: an argument longer than the buffer hides those that follow it. */
static void
longest_zone_name_does_not_delay_an_evacuation (void **state)
{
  (void)state;
  gbd_evacuations_t set = { 0 };
  const char *zones[] = { "b" };
  gbd_evacuations_update (&set, 7, zones, 1, now);
  gbd_relay_set_evacuations (relay, &set);
  char zone[GBD_NAME_MAX + 1];
  memset (zone, 'z', GBD_NAME_MAX);
  zone[GBD_NAME_MAX] = '\0';
  char *argument
      = g_strdup_printf ("from=127.0.0.1:7000&zone=%s&evacuations=6", zone);
  wait_with_argument (argument);
  g_free (argument);
  assert_true (confirmations >= 2);
}

/* Guards against a message whose number of entries does not fit its content,
   because it was packed before the members were set. */
static void
members_change_a_packed_response (void **state)
{
  (void)state;
  const uint64_t since = 10;
  gbd_address_t self;
  unsigned status;
  gbd_address_parse ("127.0.0.1:7000", &self);
  gbd_members_t *members = gbd_members_new (&self, "a", 0, now);
  apply_change ("a", 5, "one");
  gbd_relay_publish (relay, since, 0, now);
  gbd_relay_tick (relay, now);
  gbd_relay_build_response (relay, &since, false, &self, &status);
  gbd_relay_set_members (relay, members);
  const GByteArray *body
      = gbd_relay_build_response (relay, &since, false, &self, &status);
  json_t *message = gbd_relay_unpack (body->data, body->len);
  assert_int_equal (json_array_size (message), GBD_RELAY_CHANGES_LENGTH + 2);
  json_decref (message);
  gbd_relay_set_members (relay, NULL);
  gbd_members_delete (members);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        reader_receives_the_list_and_later_changes, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        waiting_reader_is_rejected_when_the_relay_loses_the_platform, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (
        waiting_reader_is_notified_of_newer_routes, set_up, tear_down),
    cmocka_unit_test_setup_teardown (reader_ahead_of_a_relay_waits, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (response_depends_on_the_reader_version,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (new_listing_reports_only_changed_objects,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (new_listing_deletes_missing_objects,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (listing_waits_for_the_first_list, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (listing_is_rejected_if_no_list_arrives,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        listing_is_sent_while_the_platform_is_unreachable, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        rejection_reports_a_reader_with_a_newer_version, set_up, tear_down),
    cmocka_unit_test_setup_teardown (waiting_reader_is_a_holder, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (
        longest_zone_name_does_not_delay_an_evacuation, set_up, tear_down),
    cmocka_unit_test_setup_teardown (members_change_a_packed_response, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (document_is_read_by_its_name, set_up,
                                     tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
