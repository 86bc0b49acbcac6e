#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include <stdlib.h>

#include "free_address.h"
#include "gooseberrydrum/relay.h"
#include "gooseberrydrum/relay_api.h"
#include "gooseberrydrum/relay_members.h"
#include "gooseberrydrum/retry.h"

#define KIND "servers"
#define NOW (1000 * GBD_SECOND)
#define GROUP 300
#define ZONES 3
#define PEER 0
#define MEMBER_BYTES_MAX 60
#define GROWTH_BYTES_MAX 10
#define MUTATED_INPUTS 20000
#define MUTATIONS_MAX 4

static gbd_address_t
make_address (uint32_t number)
{
  gbd_address_t address = { .family = 4, .port = 65000 };
  address.ip[0] = 210;
  address.ip[1] = 111;
  address.ip[2] = (uint8_t)(100 + number / 100);
  address.ip[3] = (uint8_t)(100 + number % 100);
  return address;
}

/* A relay of a group of 300 that has run long enough.  The relay is the first
   member; the others are its readers. */
static gbd_members_t *
make_group (void)
{
  gbd_address_t self = make_address (0);
  gbd_members_t *members
      = gbd_members_new (&self, "eu-central-1a", 0, NOW - 10 * GBD_SECOND);
  for (uint32_t i = 1; i < GROUP; i++)
    {
      char zone[GBD_NAME_MAX + 1];
      gbd_address_t address = make_address (i);
      snprintf (zone, sizeof zone, "eu-central-1%c", (char)('a' + i % ZONES));
      gbd_members_record (members, &address, zone, NOW - GBD_SECOND);
    }
  return members;
}

/* Bytes between zones are billed. */
static void
members_message_is_small_and_complete (void **state)
{
  (void)state;
  gbd_members_t *members = make_group ();
  gbd_address_t self = make_address (GROUP);
  gbd_members_t *peer = gbd_members_new (&self, "eu-central-1a", 1, NOW);
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  gbd_relay_pack_members (members, NOW, &buffer);
  print_message ("%zu bytes for %d members\n", buffer.size, GROUP);
  assert_true (buffer.size < (size_t)MEMBER_BYTES_MAX * GROUP);
  assert_true (
      gbd_relay_merge_members (peer, PEER, buffer.data, buffer.size, NOW));
  gbd_address_t address = make_address (7);
  gbd_group_view_t view;
  assert_true (gbd_members_get_view (peer, &address, &view, NOW));
  assert_int_equal (view.total, GROUP + 1);
  assert_int_equal (view.zone_count, GROUP / ZONES);
  assert_int_equal (view.zone_rank, 7 / ZONES);
  /* The age, one second, was sent too. */
  gbd_time_t end = NOW + GBD_MEMBERS_VALIDITY - GBD_SECOND;
  assert_false (gbd_members_get_view (peer, &address, &view, end));
  msgpack_sbuffer_destroy (&buffer);
  gbd_members_delete (members);
  gbd_members_delete (peer);
}

/* The port is open to other programs of the network: any bytes must leave a
   valid table. */
static void
mutated_messages_do_no_harm (void **state)
{
  (void)state;
  gbd_members_t *members = make_group ();
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  gbd_relay_pack_members (members, NOW, &buffer);
  gbd_address_t self = make_address (GROUP);
  gbd_members_t *peer = gbd_members_new (&self, "a", 1, NOW);
  uint64_t random = 5;
  char *bytes = malloc (buffer.size);
  for (int i = 0; i < MUTATED_INPUTS; i++)
    {
      size_t length = 200 + gbd_random_next (&random) % 200;
      memcpy (bytes, buffer.data, length);
      /* One array header for a short list, so that the rest may be valid. */
      bytes[3] = (char)0x9f;
      for (int j = 0; j < 1 + i % MUTATIONS_MAX; j++)
        bytes[gbd_random_next (&random) % length]
            = (char)gbd_random_next (&random);
      gbd_relay_merge_members (peer, PEER, bytes, length, NOW);
      gbd_group_view_t view;
      assert_true (gbd_members_get_view (peer, &self, &view, NOW));
      assert_in_range (view.zone_count, 1, view.total);
      assert_true (view.zone_rank < view.zone_count);
    }
  free (bytes);
  msgpack_sbuffer_destroy (&buffer);
  gbd_members_delete (members);
  gbd_members_delete (peer);
}

typedef struct
{
  const char *label;
  const char *message;
  bool is_merged;
  uint32_t total; /* including the relay itself */
} message_case_t;

static const message_case_t message_cases[] = {
  { "valid", "[1,4,[[\"10.0.0.1:1\",\"a\",0],[\"[::1]:1\",\"\",9]]]", true,
    3 },
  { "entries of a later schema",
    "[2,4,[[\"10.0.0.1:1\",\"a\",0,true]],\"new\"]", true, 2 },
  { "no members", "[1,4,[]]", true, 1 },
  { "another type", "[1,2,[[\"10.0.0.1:1\",\"a\",0]]]", false, 1 },
  { "no list", "[1,4,null]", false, 1 },
  { "not an array", "\"members\"", false, 1 },
  { "no address", "[1,4,[[null,\"a\",0],[\"10.0.0.1:1\",\"a\",0]]]", true, 2 },
  { "bad address", "[1,4,[[\"10.0.0.1\",\"a\",0]]]", true, 1 },
  { "zone is no text", "[1,4,[[\"10.0.0.1:1\",1,0]]]", true, 1 },
  { "negative age", "[1,4,[[\"10.0.0.1:1\",\"a\",-1]]]", true, 1 },
  { "too old", "[1,4,[[\"10.0.0.1:1\",\"a\",5000]]]", true, 1 },
  { "entry is no array", "[1,4,[7]]", true, 1 },
};

/* A malformed member must not hide the others. */
static void
malformed_members_are_left_out (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof message_cases / sizeof message_cases[0]; i++)
    {
      const message_case_t *row = &message_cases[i];
      print_message ("%s\n", row->label);
      gbd_address_t self = make_address (0);
      gbd_members_t *members = gbd_members_new (&self, "a", 1, NOW);
      msgpack_sbuffer buffer;
      msgpack_packer packer;
      msgpack_sbuffer_init (&buffer);
      msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
      json_t *message = json_loads (row->message, JSON_DECODE_ANY, NULL);
      assert_true (gbd_relay_pack (&packer, message));
      assert_int_equal (gbd_relay_merge_members (members, PEER, buffer.data,
                                                 buffer.size, NOW),
                        row->is_merged);
      gbd_group_view_t view;
      assert_true (gbd_members_get_view (members, &self, &view, NOW));
      assert_int_equal (view.total, row->total);
      json_decref (message);
      msgpack_sbuffer_destroy (&buffer);
      gbd_members_delete (members);
    }
}

typedef struct
{
  const char *text;
  bool is_valid;
} view_case_t;

static const view_case_t view_cases[] = {
  { "[9,3,2,true]", true },
  { "[9,3,2,true,1]", true },
  { "null", false },
  { "[9,3,2]", true }, /* not complete */
  { "[9,3]", false },
  { "[9,3,-2,true]", false },
  { "[9,\"3\",2,true]", false },
  { "[5000000000,3,2,true]", false },
};

static void
views_are_checked (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof view_cases / sizeof view_cases[0]; i++)
    {
      print_message ("%s\n", view_cases[i].text);
      gbd_group_view_t view;
      bool is_complete;
      json_t *value = json_loads (view_cases[i].text, JSON_DECODE_ANY, NULL);
      assert_int_equal (gbd_relay_read_view (value, &view, &is_complete),
                        view_cases[i].is_valid);
      json_decref (value);
    }
  gbd_group_view_t view;
  bool is_complete;
  assert_false (gbd_relay_read_view (NULL, &view, &is_complete));
}

/* A relay and the bodies of its responses. */
typedef struct
{
  struct lws_context *context;
  gbd_relay_t *relay;
} relay_t;

static relay_t
make_relay (void)
{
  struct lws_context_creation_info info
      = { .port = CONTEXT_PORT_NO_LISTEN,
          .options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS };
  const char *error = NULL;
  gbd_address_t address = choose_free_address ();
  lws_set_log_level (0, NULL);
  relay_t relay = { .context = lws_create_context (&info) };
  relay.relay = gbd_relay_new (relay.context, &address, KIND, &error);
  assert_non_null (relay.relay);
  gbd_relay_tick (relay.relay, NOW);
  gbd_relay_publish (relay.relay, 10, 0, NOW);
  return relay;
}

static void
delete_relay (relay_t *relay)
{
  gbd_relay_delete (relay->relay);
  lws_context_destroy (relay->context);
}

static json_t *
read_response (relay_t *relay, const uint64_t *since,
               const gbd_address_t *reader)
{
  unsigned status;
  const GByteArray *body
      = gbd_relay_build_response (relay->relay, since, false, reader, &status);
  json_t *message = gbd_relay_unpack (body->data, body->len);
  assert_non_null (message);
  return message;
}

/* Each reader gets its own rank, although the rest of the body is cached. */
static void
responses_contain_the_view_of_the_reader (void **state)
{
  (void)state;
  static const uint64_t since = 10;
  static const uint64_t *const versions[] = { NULL, &since };
  static const size_t positions[]
      = { GBD_RELAY_LISTING_VIEW, GBD_RELAY_CHANGES_VIEW };
  static const size_t evacuations[]
      = { GBD_RELAY_LISTING_EVACUATIONS, GBD_RELAY_CHANGES_EVACUATIONS };
  relay_t relay = make_relay ();
  gbd_members_t *members = make_group ();
  gbd_relay_set_members (relay.relay, members);
  for (uint32_t i = 0; i < 20; i++)
    {
      size_t kind = i / 10;
      gbd_address_t reader = make_address (i);
      json_t *message = read_response (&relay, versions[kind], &reader);
      gbd_group_view_t view;
      bool is_complete;
      assert_true (json_is_null (json_array_get (message, evacuations[kind])));
      assert_true (gbd_relay_read_view (
          json_array_get (message, positions[kind]), &view, &is_complete));
      assert_int_equal (view.total, GROUP);
      assert_int_equal (view.zone_count, GROUP / ZONES);
      assert_int_equal (view.zone_rank, i / ZONES);
      assert_true (is_complete);
      json_decref (message);
    }
  json_t *message = read_response (&relay, NULL, NULL);
  assert_true (
      json_is_null (json_array_get (message, GBD_RELAY_LISTING_VIEW)));
  json_decref (message);
  /* In an outage of the platform readers get rejections only. */
  gbd_relay_disconnect (relay.relay);
  gbd_address_t reader = make_address (5);
  message = read_response (&relay, &since, &reader);
  gbd_group_view_t view;
  bool is_complete;
  assert_true (
      gbd_relay_read_view (json_array_get (message, GBD_RELAY_REJECTION_VIEW),
                           &view, &is_complete));
  assert_int_equal (view.total, GROUP);
  json_decref (message);
  delete_relay (&relay);
  gbd_members_delete (members);
}

/* Each reader gets a response each second, and bytes between zones are
   billed. */
static void
changes_grow_by_few_bytes (void **state)
{
  (void)state;
  static const uint64_t since = 10;
  relay_t relay = make_relay ();
  gbd_address_t reader = make_address (GROUP - 1);
  unsigned status;
  guint before
      = gbd_relay_build_response (relay.relay, &since, false, &reader, &status)
            ->len;
  gbd_members_t *members = make_group ();
  gbd_relay_set_members (relay.relay, members);
  gbd_relay_publish (relay.relay, 10, 0, NOW);
  guint after
      = gbd_relay_build_response (relay.relay, &since, false, &reader, &status)
            ->len;
  print_message ("%u bytes, %u with the view\n", before, after);
  assert_true (after > before);
  assert_true (after - before < GROWTH_BYTES_MAX);
  delete_relay (&relay);
  gbd_members_delete (members);
}

/* Without the setting, the messages are those of the releases before. */
static void
responses_without_members_are_unchanged (void **state)
{
  (void)state;
  static const uint64_t since = 10;
  relay_t relay = make_relay ();
  gbd_address_t reader = make_address (1);
  json_t *message = read_response (&relay, NULL, &reader);
  assert_int_equal (json_array_size (message), GBD_RELAY_LISTING_LENGTH);
  json_decref (message);
  message = read_response (&relay, &since, &reader);
  assert_int_equal (json_array_size (message), GBD_RELAY_CHANGES_LENGTH);
  json_decref (message);
  gbd_relay_disconnect (relay.relay);
  message = read_response (&relay, &since, &reader);
  assert_int_equal (json_array_size (message), GBD_RELAY_REJECTION_LENGTH);
  json_decref (message);
  delete_relay (&relay);
}

/* A reader of an earlier release ignores the entries that it does not know. */
static void
translation_keeps_the_objects (void **state)
{
  (void)state;
  const gbd_platform_api_t *api = &gbd_platform_api_relay;
  relay_t relay = make_relay ();
  gbd_members_t *members = make_group ();
  gbd_relay_set_members (relay.relay, members);
  json_t *value = json_string ("one");
  gbd_relay_apply (relay.relay, "a", 11, value);
  gbd_relay_publish (relay.relay, 12, 700, NOW);
  gbd_address_t reader = make_address (4);
  json_t *native = api->translate (read_response (&relay, NULL, &reader));
  assert_int_equal (json_array_size (json_object_get (native, "items")), 1);
  assert_int_equal (
      json_integer_value (json_object_get (native, "settling_ms")), 700);
  assert_int_equal (json_array_size (json_object_get (native, "view")),
                    GBD_RELAY_VIEW_LENGTH);
  json_decref (native);
  json_decref (value);
  delete_relay (&relay);
  gbd_members_delete (members);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (members_message_is_small_and_complete),
    cmocka_unit_test (mutated_messages_do_no_harm),
    cmocka_unit_test (malformed_members_are_left_out),
    cmocka_unit_test (views_are_checked),
    cmocka_unit_test (responses_contain_the_view_of_the_reader),
    cmocka_unit_test (changes_grow_by_few_bytes),
    cmocka_unit_test (responses_without_members_are_unchanged),
    cmocka_unit_test (translation_keeps_the_objects),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
