#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>

#include "gooseberrydrum/retry.h"
#include "gooseberrydrum/relay_api.h"
#include "gooseberrydrum/relay_codec.h"

#define NOW (1000 * GBD_SECOND)
#define MUTATED_INPUTS 100000
#define MUTATIONS_MAX 4
#define DEPTH_TOO_HIGH 1000

static json_t *
pack_and_unpack (const json_t *value)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  json_t *copy = NULL;
  if (gbd_relay_pack (&packer, value))
    copy = gbd_relay_unpack (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return copy;
}

static const char *const valid_values[] = {
  "[]",
  "null",
  "true",
  "false",
  "\"\"",
  "0",
  "-1",
  "9223372036854775807",
  "-9223372036854775808",
  "[1,\"a\",null,[true,[]]]",
};

static void
values_survive_the_codec (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof valid_values / sizeof valid_values[0]; i++)
    {
      json_t *value = json_loads (valid_values[i], JSON_DECODE_ANY, NULL);
      json_t *copy = pack_and_unpack (value);
      print_message ("%s\n", valid_values[i]);
      assert_true (json_equal (value, copy));
      json_decref (value);
      json_decref (copy);
    }
}

static void
other_values_are_refused (void **state)
{
  (void)state;
  static const char *const values[] = { "{}", "1.5", "[1,{}]" };
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      json_t *value = json_loads (values[i], JSON_DECODE_ANY, NULL);
      assert_null (pack_and_unpack (value));
      json_decref (value);
    }
}

static gbd_pool_entry_t
make_entry (void)
{
  gbd_pool_entry_t entry = { .service = UINT64_MAX,
                             .slots = 2,
                             .start_time_ms = 1700000000001,
                             .warm_at = NOW + 250 * GBD_MILLISECOND,
                             .name = "i-7f3a91c2" };
  entry.backend.id = UINT64_C (0x8000000000000001);
  entry.backend.zone = UINT32_MAX;
  entry.backend.state = GBD_BACKEND_DRAINING;
  gbd_address_parse ("10.128.0.9:8080", &entry.backend.address);
  return entry;
}

static void
entry_survives_its_compact_form (void **state)
{
  (void)state;
  gbd_pool_entry_t entry = make_entry ();
  gbd_pool_entry_t copy;
  const char *problem = NULL;
  json_t *description = gbd_relay_describe_server (&entry, NOW);
  json_t *received = pack_and_unpack (description);
  assert_int_equal (gbd_platform_api_relay.read_server (entry.name, received,
                                                        NOW, &copy, &problem),
                    GBD_OK);
  assert_int_equal (copy.backend.id, entry.backend.id);
  assert_int_equal (copy.backend.zone, entry.backend.zone);
  assert_int_equal (copy.backend.state, entry.backend.state);
  assert_true (
      gbd_address_is_equal (&copy.backend.address, &entry.backend.address));
  assert_int_equal (copy.service, entry.service);
  assert_int_equal (copy.slots, entry.slots);
  assert_int_equal (copy.start_time_ms, entry.start_time_ms);
  assert_int_equal (copy.warm_at, entry.warm_at);
  assert_string_equal (copy.name, entry.name);
  json_decref (received);
  json_decref (description);
}

/* A later schema appends entries; a reader of this one ignores them. */
static void
additional_fields_are_ignored (void **state)
{
  (void)state;
  gbd_pool_entry_t entry = make_entry ();
  gbd_pool_entry_t copy;
  const char *problem = NULL;
  json_t *description = gbd_relay_describe_server (&entry, NOW);
  json_array_append_new (description, json_string ("new"));
  assert_int_equal (gbd_platform_api_relay.read_server (
                        entry.name, description, NOW, &copy, &problem),
                    GBD_OK);
  json_decref (description);
}

static void
missing_fields_are_refused (void **state)
{
  (void)state;
  gbd_pool_entry_t entry = make_entry ();
  json_t *description = gbd_relay_describe_server (&entry, NOW);
  /* The start time and the warm-up may be missing. */
  for (size_t length = json_array_size (description) - 2; length-- > 0;)
    {
      gbd_pool_entry_t copy;
      const char *problem = NULL;
      while (json_array_size (description) > length)
        json_array_remove (description, length);
      assert_int_equal (gbd_platform_api_relay.read_server (
                            entry.name, description, NOW, &copy, &problem),
                        GBD_ERROR_FORMAT);
      assert_non_null (problem);
    }
  json_decref (description);
}

static void
deep_nesting_is_refused (void **state)
{
  (void)state;
  uint8_t bytes[DEPTH_TOO_HIGH];
  memset (bytes, 0x91, sizeof bytes - 1); /* array of one entry */
  bytes[sizeof bytes - 1] = 0xc0;         /* nil */
  assert_null (gbd_relay_unpack (bytes, sizeof bytes));
}

/* Passes a message through everything that a reader does with it. */
static void
read_message (const uint8_t *bytes, size_t length)
{
  const gbd_platform_api_t *api = &gbd_platform_api_relay;
  json_t *native = api->translate (api->parse ((const char *)bytes, length));
  size_t index;
  json_t *item;
  json_array_foreach (json_object_get (native, "items"), index, item)
  {
    gbd_pool_entry_t entry;
    const char *problem = NULL;
    api->read_server ("name", json_object_get (item, "value"), NOW, &entry,
                      &problem);
  }
  json_decref (native);
}

/* Mutations of a valid listing, the same on every run.  The sanitizers report
   an access out of bounds. */
static void
malformed_messages_are_handled (void **state)
{
  (void)state;
  gbd_pool_entry_t entry = make_entry ();
  json_t *message = json_pack (
      "[i, i, i, i, i, b, [[s, i, o]]]", GBD_RELAY_SCHEMA, GBD_RELAY_LISTING,
      10, 0, 7, 1, entry.name, 5, gbd_relay_describe_server (&entry, NOW));
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  assert_true (gbd_relay_pack (&packer, message));
  /* Unlike cmocka's assertions, this one tells the linter that it holds. */
  g_assert (buffer.size > 0);
  read_message ((const uint8_t *)buffer.data, buffer.size);
  for (size_t length = 0; length < buffer.size; length++)
    assert_null (gbd_relay_unpack (buffer.data, length));
  uint64_t random = 20261204;
  for (int i = 0; i < MUTATED_INPUTS; i++)
    {
      /* Allocated at its exact length, so that an overread is reported. */
      uint8_t *bytes = g_memdup2 (buffer.data, buffer.size);
      uint64_t mutations = 1 + gbd_random_next (&random) % MUTATIONS_MAX;
      for (uint64_t j = 0; j < mutations; j++)
        bytes[gbd_random_next (&random) % buffer.size]
            = (uint8_t)gbd_random_next (&random);
      read_message (bytes, buffer.size);
      g_free (bytes);
    }
  msgpack_sbuffer_destroy (&buffer);
  json_decref (message);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (values_survive_the_codec),
    cmocka_unit_test (other_values_are_refused),
    cmocka_unit_test (entry_survives_its_compact_form),
    cmocka_unit_test (additional_fields_are_ignored),
    cmocka_unit_test (missing_fields_are_refused),
    cmocka_unit_test (deep_nesting_is_refused),
    cmocka_unit_test (malformed_messages_are_handled),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
