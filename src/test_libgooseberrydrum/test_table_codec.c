#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "gooseberrydrum/table.h"

static gbd_table_t *
make_small_table (void)
{
  gbd_backend_t backends[3] = { 0 };
  for (int i = 0; i < 3; i++)
    {
      backends[i].id = 0xfedcba9876543210U + (uint64_t)i;
      backends[i].zone = 0xfffffff0U + (uint32_t)i;
      gbd_address_parse (i ? "10.0.0.1:80" : "[2001:db8::1]:65535",
                         &backends[i].address);
    }
  const gbd_member_t roster[] = { { UINT64_MAX, 1 }, { 2, UINT32_MAX } };
  gbd_table_t *table = gbd_table_new (UINT64_MAX, 4, backends, 3, roster, 2);
  table->version = 41;
  table->generation = INT64_MAX;
  table->buckets[1] = (gbd_bucket_t){ 0, 2, GBD_BUCKET_ACTIVE };
  table->buckets[2]
      = (gbd_bucket_t){ GBD_SLOT_NONE, GBD_SLOT_NONE, GBD_BUCKET_STABLE };
  table->buckets[3] = (gbd_bucket_t){ 1, GBD_SLOT_NONE, GBD_BUCKET_ANNOUNCED };
  return table;
}

/* Returns the JSON text of a table with one part replaced.  */
static char *
make_changed_text (const char *part, const char *replacement)
{
  gbd_table_t *table = make_small_table ();
  char *text = gbd_table_to_json (table);
  gbd_table_delete (table);
  char *position = strstr (text, part);
  assert_non_null (position);
  size_t size = strlen (text) + strlen (replacement) + 1;
  char *changed = malloc (size);
  snprintf (changed, size, "%.*s%s%s", (int)(position - text), text,
            replacement, position + strlen (part));
  free (text);
  return changed;
}

static void
json_matches_the_documented_form (void **state)
{
  (void)state;
  gbd_table_t *table = make_small_table ();
  table->buckets[0] = (gbd_bucket_t){ 1, 1, GBD_BUCKET_STABLE };
  char *text = gbd_table_to_json (table);
  assert_string_equal (
      text,
      "{\"service\":\"ffffffffffffffff\",\"version\":41,"
      "\"generation\":9223372036854775807,\"roster_phase\":0,"
      "\"roster\":[[\"ffffffffffffffff\",1],"
      "[\"0000000000000002\",4294967295]],\"next\":[],"
      "\"backends\":[[\"fedcba9876543210\",\"[2001:db8::1]:65535\","
      "4294967280,0],[\"fedcba9876543211\",\"10.0.0.1:80\",4294967281,0],"
      "[\"fedcba9876543212\",\"10.0.0.1:80\",4294967282,0]],"
      "\"phases\":\"0201\",\"from\":[1,0,null,1],\"to\":[2,null]}");
  gbd_table_t *decoded = gbd_table_from_json (text, strlen (text));
  assert_non_null (decoded);
  assert_int_equal (decoded->buckets[1].to, 2);
  assert_int_equal (decoded->buckets[3].to, GBD_SLOT_NONE);
  gbd_table_delete (decoded);
  gbd_table_delete (table);
  free (text);
}

static void
invalid_json_is_rejected (void **state)
{
  (void)state;
  static const struct
  {
    const char *label;
    const char *part;
    const char *replacement;
  } rows[] = {
    { "service of zero", "\"ffffffffffffffff\",\"version", //
      "\"0000000000000000\",\"version" },
    { "short service", "\"ffffffffffffffff\",\"version", //
      "\"ffff\",\"version" },
    { "service not hexadecimal", "\"ffffffffffffffff\",\"version",
      "\"fffffffffffffffg\",\"version" },
    { "version zero", ":41,", ":0," },
    { "negative version", ":41,", ":-41," },
    { "version as text", ":41,", ":\"41\"," },
    { "version as real", ":41,", ":41.5," },
    { "version too large", ":41,", ":9223372036854775808," },
    { "version missing", "\"version\":41,", "" },
    { "version twice", ":41,", ":41,\"version\":42," },
    { "roster phase unknown", "phase\":0", "phase\":3" },
    { "roster phase without next", "phase\":0", "phase\":1" },
    { "next while settled", "\"next\":[]",
      "\"next\":[[\"0000000000000003\",1]]" },
    { "next missing", "\"next\":[],", "" },
    { "member of id zero", "\"0000000000000002\"", "\"0000000000000000\"" },
    { "member twice", "\"0000000000000002\"", "\"ffffffffffffffff\"" },
    { "zone too large", "4294967295", "4294967296" },
    { "member not a list", "[\"0000000000000002\",4294967295]", "7" },
    { "backend server twice", "fedcba9876543212", "fedcba9876543211" },
    { "backend server of id zero", "fedcba9876543212", "0000000000000000" },
    { "address without port", "10.0.0.1:80", "10.0.0.1" },
    { "state unknown", "4294967282,0", "4294967282,3" },
    { "slot beyond the list", ",null,1],\"to\"", ",null,3],\"to\"" },
    { "target beyond the list", "\"to\":[2", "\"to\":[3" },
    { "negative slot", "\"to\":[2", "\"to\":[-1" },
    { "slot as text", "\"to\":[2", "\"to\":[\"2\"" },
    { "target missing", "\"to\":[2,null]", "\"to\":[2]" },
    { "one target too many", "\"to\":[2,null]", "\"to\":[2,null,1]" },
    { "target list missing", ",\"to\":[2,null]", "" },
    { "phase unknown", "0201", "0501" },
    { "phase not a digit", "0201", "0x01" },
    { "three buckets", "0201", "020" },
    { "no buckets", "0201", "" },
    { "from too short", ",null,1],\"to\"", ",null],\"to\"" },
    { "nothing", "{", "" },
    { "list in place of object", "{", "[{" },
    { "bytes after the end", "\"to\":[2,null]}", "\"to\":[2,null]}}" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      char *text = make_changed_text (rows[i].part, rows[i].replacement);
      gbd_table_t *table = gbd_table_from_json (text, strlen (text));
      if (table)
        fail_msg ("%s was accepted: %s", rows[i].label, text);
      free (text);
    }
}

static void
json_size_is_limited (void **state)
{
  (void)state;
  char *text = malloc (GBD_TABLE_ENCODED_SIZE_MAX + 2);
  memset (text, ' ', GBD_TABLE_ENCODED_SIZE_MAX + 2);
  gbd_table_t *table = make_small_table ();
  char *json = gbd_table_to_json (table);
  text[snprintf (text, GBD_TABLE_ENCODED_SIZE_MAX, "%s", json)] = ' ';
  gbd_table_t *decoded
      = gbd_table_from_json (text, GBD_TABLE_ENCODED_SIZE_MAX);
  assert_non_null (decoded);
  gbd_table_delete (decoded);
  assert_null (gbd_table_from_json (text, GBD_TABLE_ENCODED_SIZE_MAX + 1));
  memset (text, '[', GBD_TABLE_ENCODED_SIZE_MAX);
  assert_null (gbd_table_from_json (text, GBD_TABLE_ENCODED_SIZE_MAX));
  assert_null (gbd_table_from_json ("", 0));
  free (text);
  free (json);
  gbd_table_delete (table);
}

static void
json_of_the_largest_table_fits (void **state)
{
  (void)state;
  gbd_table_t *small = make_small_table ();
  gbd_backend_t *backends = calloc (GBD_BACKENDS_MAX, sizeof *backends);
  for (uint32_t i = 0; i < GBD_BACKENDS_MAX; i++)
    {
      backends[i] = small->backends[1];
      backends[i].id = 1 + i;
    }
  gbd_table_t *table
      = gbd_table_new (1, GBD_BUCKETS_MAX, backends, GBD_BACKENDS_MAX,
                       small->roster, small->roster_count);
  char *text = gbd_table_to_json (table);
  assert_non_null (text);
  gbd_table_t *decoded = gbd_table_from_json (text, strlen (text));
  assert_non_null (decoded);
  assert_int_equal (decoded->bucket_count, GBD_BUCKETS_MAX);
  gbd_table_delete (decoded);
  free (text);
  gbd_table_delete (table);
  gbd_table_delete (small);
  free (backends);
}

static void
truncated_bytes_are_rejected (void **state)
{
  (void)state;
  gbd_table_t *base = make_small_table ();
  gbd_table_t *table = gbd_table_copy (base);
  table->version++;
  table->buckets[1].phase = GBD_BUCKET_SETTLING;
  for (int is_full = 0; is_full < 2; is_full++)
    {
      size_t length;
      uint8_t *bytes = gbd_table_pack (table, is_full ? NULL : base, &length);
      for (size_t truncated_length = 0; truncated_length < length;
           truncated_length++)
        {
          /* A separate allocation lets AddressSanitizer detect reads past its
             end, that is, more than one byte past the truncated data: the
             additional byte avoids an allocation of size 0. */
          uint8_t *part = malloc (truncated_length + 1);
          memcpy (part, bytes, truncated_length);
          assert_null (gbd_table_unpack (part, truncated_length, base));
          free (part);
        }
      gbd_table_t *decoded = gbd_table_unpack (bytes, length, base);
      assert_non_null (decoded);
      gbd_table_delete (decoded);
      free (bytes);
    }
  gbd_table_delete (base);
  gbd_table_delete (table);
}

static void
malformed_bytes_are_rejected (void **state)
{
  (void)state;
  static const struct
  {
    const char *label;
    const char *bytes;
    size_t length;
  } rows[] = {
    { "nothing", "", 0 },
    { "nil", "\xc0", 1 },
    { "reserved byte", "\xc1", 1 },
    { "empty array", "\x90", 1 },
    { "array of 2^32-1", "\xdd\xff\xff\xff\xff", 5 },
    { "map of 2^32-1", "\xdf\xff\xff\xff\xff", 5 },
    { "byte string of 2^32-1", "\xc6\xff\xff\xff\xff", 5 },
    { "extension of 2^32-1", "\xc9\xff\xff\xff\xff\x01", 6 },
    { "array in arrays", "\x91\x91\x91\x91\x91\x91\x91\xc0", 8 },
    { "eleven nils", "\x9b\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0", 12 },
  };
  gbd_table_t *base = make_small_table ();
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    if (gbd_table_unpack ((const uint8_t *)rows[i].bytes, rows[i].length,
                          base))
      fail_msg ("%s was accepted", rows[i].label);
  gbd_table_delete (base);
}

static void
delta_requires_its_own_base (void **state)
{
  (void)state;
  static const char *const cases[]
      = { "missing",      "other version", "other service",
          "other bucket", "other roster",  "other state" };
  gbd_table_t *base = make_small_table ();
  gbd_table_t *table = gbd_table_copy (base);
  table->version++;
  size_t length;
  uint8_t *bytes = gbd_table_pack (table, base, &length);
  for (int i = 0; i < 6; i++)
    {
      gbd_table_t *other = gbd_table_copy (base);
      other->version += i == 1;
      other->service -= i == 2;
      other->buckets[3].from -= i == 3;
      other->roster[1].zone -= i == 4;
      other->backends[2].state = i == 5 ? GBD_BACKEND_GONE : 0;
      gbd_table_t *decoded
          = gbd_table_unpack (bytes, length, i ? other : NULL);
      if (decoded)
        fail_msg ("applied to %s", cases[i]);
      gbd_table_delete (other);
    }
  free (bytes);
  gbd_table_delete (base);
  gbd_table_delete (table);
}

static void
delta_beyond_the_last_bucket_is_rejected (void **state)
{
  (void)state;
  gbd_table_t *base = make_small_table ();
  gbd_table_t *table = gbd_table_copy (base);
  table->version++;
  table->buckets[3].phase = GBD_BUCKET_ACTIVE;
  size_t length;
  uint8_t *bytes = gbd_table_pack (table, base, &length);
  static const uint8_t change[] = { 0xc4, 3, 0, 3, GBD_BUCKET_ACTIVE };
  uint8_t *position = bytes;
  while (memcmp (position, change, sizeof change) != 0)
    {
      position++;
      assert_true (position + sizeof change <= bytes + length);
    }
  gbd_table_t *decoded = gbd_table_unpack (bytes, length, base);
  assert_non_null (decoded);
  gbd_table_delete (decoded);
  position[3] = 4;
  assert_null (gbd_table_unpack (bytes, length, base));
  free (bytes);
  gbd_table_delete (base);
  gbd_table_delete (table);
}

static void
delta_is_small (void **state)
{
  (void)state;
  gbd_table_t *small = make_small_table ();
  gbd_table_t *base
      = gbd_table_new (1, 1024, small->backends, 3, small->roster, 2);
  gbd_table_t *table = gbd_table_copy (base);
  table->version++;
  for (int i = 0; i < 64; i++)
    table->buckets[i].phase = GBD_BUCKET_ANNOUNCED;
  size_t length;
  uint8_t *bytes = gbd_table_pack (table, base, &length);
  assert_in_range (length, 64 * 3, 64 * 3 + 120);
  free (bytes);
  gbd_table_delete (base);
  gbd_table_delete (table);
  gbd_table_delete (small);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (json_matches_the_documented_form),
    cmocka_unit_test (invalid_json_is_rejected),
    cmocka_unit_test (json_size_is_limited),
    cmocka_unit_test (json_of_the_largest_table_fits),
    cmocka_unit_test (truncated_bytes_are_rejected),
    cmocka_unit_test (malformed_bytes_are_rejected),
    cmocka_unit_test (delta_requires_its_own_base),
    cmocka_unit_test (delta_beyond_the_last_bucket_is_rejected),
    cmocka_unit_test (delta_is_small),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
