#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "gooseberrydrum/message.h"

/* Bytes of a literal and their count; the literal may contain NUL bytes. */
#define BYTES(text) (const uint8_t *)(text), sizeof (text) - 1

typedef struct
{
  const char *label;
  const uint8_t *bytes;
  size_t length;
  gbd_status_t status;
} decode_case_t;

#define LISTEN                                                                \
  "\xac"                                                                      \
  "127.0.0.1:80"
#define NAME                                                                  \
  "\xa1"                                                                      \
  "n"

static const decode_case_t decode_cases[] = {
  /* Valid messages; each malformed one below differs from one of them in one
     respect. */
  { "table request", BYTES ("\x94\x04\x01\x02\x03"), GBD_OK },
  { "hello", BYTES ("\x97\x01\x01\x01\x01\x07" NAME LISTEN), GBD_OK },
  { "heartbeat",
    BYTES ("\x9b\x02\x01\x05\x03\x01\x01\x01"
           "\xc4\x08"
           "12345678"
           "\x92\x01\x02"
           "\xc4\x00"
           "\x90"),
    GBD_OK },
  { "flows",
    BYTES ("\x97\x05\x01\x02\x03\x00\xc4\x08"
           "12345678"
           "\x91\x01"),
    GBD_OK },
  { "load", BYTES ("\x97\x09\x01\x02\x03\x00\x00\x94\x01\x02\x03\x04"),
    GBD_OK },
  { "table", BYTES ("\x96\x03\x01\x02\x03\x00\xc4\x01x"), GBD_OK },
  { "trailing entries",
    BYTES ("\x97\x04\x01\x02\x03\x91\x90\xc0\xcb"
           "12345678"),
    GBD_OK },
  { "unknown type", BYTES ("\x93\x0a\x01\xc0"), GBD_ERROR_NOT_FOUND },
  { "large unknown type",
    BYTES ("\x92\xcf\xff\xff\xff\xff\xff\xff\xff\xff\x01"),
    GBD_ERROR_NOT_FOUND },

  { "no bytes", BYTES (""), GBD_ERROR_FORMAT },
  { "not an array", BYTES ("\x04"), GBD_ERROR_FORMAT },
  { "empty array", BYTES ("\x90"), GBD_ERROR_FORMAT },
  { "no sender", BYTES ("\x91\x04"), GBD_ERROR_FORMAT },
  { "sender zero", BYTES ("\x94\x04\x00\x02\x03"), GBD_ERROR_FORMAT },
  { "type zero", BYTES ("\x94\x00\x01\x02\x03"), GBD_ERROR_FORMAT },
  { "type not a number", BYTES ("\x94\xa1x\x01\x02\x03"), GBD_ERROR_FORMAT },
  { "negative type", BYTES ("\x94\xff\x01\x02\x03"), GBD_ERROR_FORMAT },
  { "too few entries", BYTES ("\x93\x04\x01\x02"), GBD_ERROR_FORMAT },
  { "bytes after the end", BYTES ("\x94\x04\x01\x02\x03\x00"),
    GBD_ERROR_FORMAT },
  { "two values", BYTES ("\x94\x04\x01\x02\x03\x94\x04\x01\x02\x03"),
    GBD_ERROR_FORMAT },
  { "array of 2^32 - 1", BYTES ("\xdd\xff\xff\xff\xff\x04\x01"),
    GBD_ERROR_FORMAT },
  { "inner array of 2^32 - 1",
    BYTES ("\x95\x04\x01\x02\x03\xdd\xff\xff\xff"
           "\xff"),
    GBD_ERROR_FORMAT },
  { "map", BYTES ("\x95\x04\x01\x02\x03\x81\x01\x02"), GBD_ERROR_FORMAT },
  { "map of 2^32 - 1", BYTES ("\xdf\xff\xff\xff\xff\x01"), GBD_ERROR_FORMAT },
  { "extension", BYTES ("\x95\x04\x01\x02\x03\xd4\x01x"), GBD_ERROR_FORMAT },
  { "extension of 2^32 - 1",
    BYTES ("\x95\x04\x01\x02\x03\xc9\xff\xff\xff\xff"
           "\x01"),
    GBD_ERROR_FORMAT },
  { "reserved byte", BYTES ("\x95\x04\x01\x02\x03\xc1"), GBD_ERROR_FORMAT },
  { "binary past the end", BYTES ("\x95\x04\x01\x02\x03\xc6\xff\xff\xff\xff"),
    GBD_ERROR_FORMAT },
  { "too deep",
    BYTES ("\x95\x04\x01\x02\x03\x91\x91\x91\x91\x91\x91\x91\x91"
           "\x90"),
    GBD_ERROR_FORMAT },

  { "hello without name", BYTES ("\x97\x01\x01\x01\x01\x07\xa0" LISTEN),
    GBD_ERROR_FORMAT },
  { "hello with a newline",
    BYTES ("\x97\x01\x01\x01\x01\x07\xa2"
           "a\n" LISTEN),
    GBD_ERROR_FORMAT },
  { "hello with a NUL",
    BYTES ("\x97\x01\x01\x01\x01\x07\xa2"
           "a\0" LISTEN),
    GBD_ERROR_FORMAT },
  { "hello with a long name",
    BYTES ("\x97\x01\x01\x01\x01\x07\xd9\x40"
           "012345678901234567890123456789012345678901234567890123456789012"
           "3" LISTEN),
    GBD_ERROR_FORMAT },
  { "hello without address", BYTES ("\x97\x01\x01\x01\x01\x07" NAME "\xa1x"),
    GBD_ERROR_FORMAT },
  { "hello with an empty version range",
    BYTES ("\x97\x01\x01\x02\x01\x07" NAME LISTEN), GBD_ERROR_FORMAT },
  { "hello of version 256",
    BYTES ("\x97\x01\x01\x01\xcd\x01\x00\x07" NAME LISTEN), GBD_ERROR_FORMAT },
  { "truncated acknowledgement identifiers",
    BYTES ("\x9b\x02\x01\x05\x03\x01\x01\x01\xc4\x07"
           "1234567"
           "\x92\x01\x02\xc4\x00\x90"),
    GBD_ERROR_FORMAT },
  { "acknowledgement numbers missing",
    BYTES ("\x9b\x02\x01\x05\x03\x01\x01\x01\xc4\x08"
           "12345678"
           "\x91\x01\xc4\x00\x90"),
    GBD_ERROR_FORMAT },
  { "acknowledgement age too large",
    BYTES ("\x9b\x02\x01\x05\x03\x01\x01\x01\xc4\x08"
           "12345678"
           "\x92\x01\xcf\x00\x00\x00\x01\x00\x00\x00"
           "\x00\xc4\x00\x90"),
    GBD_ERROR_FORMAT },
  { "flows of unknown kind", BYTES ("\x97\x05\x01\x02\x03\x06\xc4\x00\x90"),
    GBD_ERROR_FORMAT },
  { "flow slot too large",
    BYTES ("\x97\x05\x01\x02\x03\x00\xc4\x08"
           "12345678"
           "\x91\xce\x00\x01\x00\x00"),
    GBD_ERROR_FORMAT },
  { "flow slot not a number",
    BYTES ("\x97\x05\x01\x02\x03\x00\xc4\x08"
           "12345678"
           "\x91\xc0"),
    GBD_ERROR_FORMAT },
  { "truncated load entry",
    BYTES ("\x97\x09\x01\x02\x03\x00\x00\x93\x01\x02\x03"), GBD_ERROR_FORMAT },
  { "load slot too large",
    BYTES ("\x97\x09\x01\x02\x03\x00\x00\x94"
           "\xce\x00\x01\x00\x00\x02\x03\x04"),
    GBD_ERROR_FORMAT },
  { "empty table", BYTES ("\x96\x03\x01\x02\x03\x00\xc4\x00"),
    GBD_ERROR_FORMAT },
  { "table as text", BYTES ("\x96\x03\x01\x02\x03\x00\xa1x"),
    GBD_ERROR_FORMAT },
  { "empty configuration", BYTES ("\x94\x08\x01\x02\xc4\x00"),
    GBD_ERROR_FORMAT },
};

static void
decode_accepts_valid_and_refuses_malformed_messages (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof decode_cases / sizeof decode_cases[0]; i++)
    {
      const decode_case_t *c = &decode_cases[i];
      /* A separate allocation lets AddressSanitizer detect reads past its end.
         The additional byte avoids an allocation of size 0. */
      uint8_t *bytes = malloc (c->length + 1);
      assert_non_null (bytes);
      memcpy (bytes, c->bytes, c->length);
      gbd_message_t message;
      gbd_status_t status = gbd_message_decode (bytes, c->length, &message);
      if (status != c->status)
        print_error ("case \"%s\"\n", c->label);
      assert_int_equal (status, c->status);
      if (status == GBD_OK)
        gbd_message_clear (&message);
      free (bytes);
    }
}

static void
write_u32 (uint8_t *bytes, uint32_t number)
{
  for (int i = 0; i < 4; i++)
    bytes[i] = (uint8_t)(number >> (24 - 8 * i));
}

/* Lists at and above the bound of their elements, and one above the bound of
   msgpack values. */
static void
decode_bounds_lists (void **state)
{
  (void)state;
  static const struct
  {
    size_t count;
    gbd_status_t status;
  } cases[] = { { GBD_FLOWS_MAX, GBD_OK },
                { GBD_FLOWS_MAX + 1, GBD_ERROR_FORMAT },
                { 40000, GBD_ERROR_FORMAT } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      size_t count = cases[i].count;
      size_t ids = count * 8;
      size_t length = 7 + 4 + ids + 1 + 4 + count;
      uint8_t *bytes = calloc (1, length);
      assert_non_null (bytes);
      memcpy (bytes, "\x97\x05\x01\x02\x03\x00\xc6", 7);
      write_u32 (bytes + 7, (uint32_t)ids);
      bytes[11 + ids] = 0xdd;
      write_u32 (bytes + 12 + ids, (uint32_t)count);
      memset (bytes + 16 + ids, 1, count);
      gbd_message_t message;
      assert_int_equal (gbd_message_decode (bytes, length, &message),
                        cases[i].status);
      if (cases[i].status == GBD_OK)
        {
          assert_int_equal (message.body.flows.count, count);
          gbd_message_clear (&message);
        }
      free (bytes);
    }
}

static void
encode_rejects_messages_over_the_bounds (void **state)
{
  (void)state;
  static uint8_t content[GBD_MESSAGE_LENGTH_MAX + 1];
  gbd_message_t messages[] = {
    { .type = 0, .from = 1 },
    { .type = GBD_MESSAGE_TYPE_COUNT, .from = 1 },
    { .type = GBD_MESSAGE_HEARTBEAT,
      .from = 1,
      .body.heartbeat.ack_count = GBD_INCARNATIONS_MAX + 1 },
    { .type = GBD_MESSAGE_HEARTBEAT,
      .from = 1,
      .body.heartbeat.progress_count = GBD_SERVICES_MAX + 1 },
    { .type = GBD_MESSAGE_FLOWS,
      .from = 1,
      .body.flows.count = GBD_FLOWS_MAX + 1 },
    { .type = GBD_MESSAGE_LOAD,
      .from = 1,
      .body.load.count = GBD_BACKENDS_MAX + 1 },
    { .type = GBD_MESSAGE_TABLE, .from = 1 },
    { .type = GBD_MESSAGE_TABLE,
      .from = 1,
      .body.table = { .length = GBD_MESSAGE_LENGTH_MAX, .bytes = content } },
    { .type = GBD_MESSAGE_CONFIG,
      .from = 1,
      .body.config
      = { .length = GBD_MESSAGE_LENGTH_MAX + 1, .bytes = content } },
  };
  for (size_t i = 0; i < sizeof messages / sizeof messages[0]; i++)
    {
      size_t length;
      assert_null (gbd_message_encode (&messages[i], &length));
    }
}

static void
heartbeat_is_compact (void **state)
{
  (void)state;
  gbd_progress_t progress[4];
  gbd_message_t message
      = { .type = GBD_MESSAGE_HEARTBEAT, .from = gbd_id_from_name ("sender") };
  message.body.heartbeat.sequence = 60000;
  message.body.heartbeat.platform_age_ms = 250;
  message.body.heartbeat.loss_free_ms = 100000;
  message.body.heartbeat.generation = 1000;
  message.body.heartbeat.ack_count = 8;
  for (uint64_t i = 0; i < 8; i++)
    message.body.heartbeat.acks[i]
        = (gbd_heartbeat_ack_t){ gbd_rendezvous_weight (i, 1), 60000 + i,
                                 250 };
  message.body.heartbeat.progress_count = 4;
  message.body.heartbeat.progress = progress;
  for (uint64_t i = 0; i < 4; i++)
    progress[i]
        = (gbd_progress_t){ gbd_rendezvous_weight (i, 2), 60000, 60000 };

  size_t length;
  uint8_t *bytes = gbd_message_encode (&message, &length);
  assert_non_null (bytes);
  assert_in_range (length, 100, 199);
  free (bytes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (decode_accepts_valid_and_refuses_malformed_messages),
    cmocka_unit_test (decode_bounds_lists),
    cmocka_unit_test (encode_rejects_messages_over_the_bounds),
    cmocka_unit_test (heartbeat_is_compact),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
