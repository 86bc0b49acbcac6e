#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fuzz_message.c" /* NOLINT(bugprone-suspicious-include) */

#define INPUT_LENGTH_MAX 512
#define RANDOM_INPUTS 50000
#define MUTATED_INPUTS 200000
#define MUTATIONS_MAX 4
#define PREFIX_LENGTH 4

typedef struct
{
  uint8_t bytes[INPUT_LENGTH_MAX];
  size_t length;
} input_t;

static uint64_t random_state;
static input_t seeds[GBD_MESSAGE_TYPE_COUNT]; /* one per type; 0 is unused */

/* Marsaglia's xorshift generator, which gives the same corpus on every run. */
static uint32_t
next_random (uint32_t below)
{
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (uint32_t)(random_state >> 32) % below;
}

static void
fill_body (gbd_message_t *message)
{
  static uint8_t content[] = "content";
  static gbd_progress_t progress[2] = { { 1, 300, 300 }, { 2, 5, 4 } };
  static gbd_flow_entry_t flows[3] = { { 7, 1 }, { 8, 0xffff }, { 9, 300 } };
  static gbd_load_entry_t loads[2] = { { 1, 2, 3, 4 }, { 500, 6, 70000, 8 } };
  switch (message->type)
    {
    case GBD_MESSAGE_HELLO:
      message->body.hello.version_max = 1;
      strcpy (message->body.hello.name, "entry-1");
      gbd_address_parse ("10.0.0.1:7000", &message->body.hello.listen);
      return;
    case GBD_MESSAGE_HEARTBEAT:
      message->body.heartbeat.ack_count = 2;
      message->body.heartbeat.acks[1].sequence = 100000;
      message->body.heartbeat.progress_count = 2;
      message->body.heartbeat.progress = progress;
      return;
    case GBD_MESSAGE_TABLE:
      message->body.table.bytes = content;
      message->body.table.length = sizeof content;
      return;
    case GBD_MESSAGE_FLOWS:
      message->body.flows.entries = flows;
      message->body.flows.count = 3;
      return;
    case GBD_MESSAGE_CONFIG:
      message->body.config.bytes = content;
      message->body.config.length = sizeof content;
      return;
    case GBD_MESSAGE_LOAD:
      message->body.load.entries = loads;
      message->body.load.count = 2;
      return;
    default:
      return;
    }
}

static int
make_seeds (void **state)
{
  (void)state;
  for (uint8_t type = 1; type < GBD_MESSAGE_TYPE_COUNT; type++)
    {
      gbd_message_t message = { .type = type, .from = 0x1122334455667788 };
      fill_body (&message);
      size_t length;
      uint8_t *bytes = gbd_message_encode (&message, &length);
      if (!bytes || length - PREFIX_LENGTH > INPUT_LENGTH_MAX)
        return -1;
      seeds[type].length = length - PREFIX_LENGTH;
      memcpy (seeds[type].bytes, bytes + PREFIX_LENGTH, seeds[type].length);
      free (bytes);
    }
  return 0;
}

static void
random_bytes_are_decoded_or_refused (void **state)
{
  (void)state;
  random_state = 20261203;
  for (int i = 0; i < RANDOM_INPUTS; i++)
    {
      uint8_t bytes[INPUT_LENGTH_MAX] = { 0 };
      size_t length = next_random (sizeof bytes);
      for (size_t j = 0; j < length; j++)
        bytes[j] = (uint8_t)next_random (256);
      if (length > 2 && i % 2)
        {
          bytes[0] = (uint8_t)(0x90 + next_random (16));
          bytes[1] = (uint8_t)next_random (GBD_MESSAGE_TYPE_COUNT + 1);
        }
      LLVMFuzzerTestOneInput (bytes, length);
    }
}

static void
mutate (input_t *input)
{
  /* First bytes of arrays, strings, binary strings, numbers and rejected
     types. */
  static const uint8_t first_bytes[]
      = { 0x90, 0x9f, 0xa0, 0xbf, 0xc0, 0xc1, 0xc4, 0xc5, 0xc6, 0xc7, 0xc9,
          0xcb, 0xcc, 0xcd, 0xce, 0xcf, 0xd3, 0xd4, 0xdc, 0xdd, 0xde, 0xdf };
  uint32_t at = next_random ((uint32_t)input->length);
  switch (next_random (5))
    {
    case 0:
      input->bytes[at] ^= (uint8_t)(1 << next_random (8));
      return;
    case 1:
      input->bytes[at] = (uint8_t)next_random (256);
      return;
    case 2:
      input->bytes[at] = first_bytes[next_random (sizeof first_bytes)];
      return;
    case 3:
      input->length = at + 1;
      return;
    default:
      if (input->length < INPUT_LENGTH_MAX)
        {
          memmove (input->bytes + at + 1, input->bytes + at,
                   input->length - at);
          input->length++;
        }
      return;
    }
}

static void
mutated_messages_are_decoded_or_refused (void **state)
{
  (void)state;
  uint32_t accepted = 0;
  random_state = 3122026;
  for (int i = 0; i < MUTATED_INPUTS; i++)
    {
      input_t input = seeds[1 + i % (GBD_MESSAGE_TYPE_COUNT - 1)];
      uint32_t count = 1 + next_random (MUTATIONS_MAX);
      for (uint32_t j = 0; j < count; j++)
        mutate (&input);
      LLVMFuzzerTestOneInput (input.bytes, input.length);
      gbd_message_t message;
      if (gbd_message_decode (input.bytes, input.length, &message) == GBD_OK)
        {
          accepted++;
          gbd_message_clear (&message);
        }
    }
  /* The corpus must contain both inputs that pass all checks and inputs that
     are rejected. */
  assert_true (accepted > MUTATED_INPUTS / 20);
  assert_true (accepted < MUTATED_INPUTS / 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (random_bytes_are_decoded_or_refused),
    cmocka_unit_test (mutated_messages_are_decoded_or_refused),
  };
  return cmocka_run_group_tests (tests, make_seeds, NULL);
}
