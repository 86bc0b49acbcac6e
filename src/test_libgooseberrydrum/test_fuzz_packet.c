#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "sample_packets.h"

#include "fuzz_packet.c" /* NOLINT(bugprone-suspicious-include) */

#define RANDOM_INPUTS 50000
#define MUTATED_INPUTS 150000
#define MUTATIONS_MAX 4

static uint64_t random_state;

/* Marsaglia's xorshift generator; the corpus is the same on every run. */
static uint32_t
next_random (uint32_t below)
{
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (uint32_t)(random_state >> 32) % below;
}

static void
random_bytes_are_parsed_safely (void **state)
{
  (void)state;
  random_state = 20261203;
  for (int i = 0; i < RANDOM_INPUTS; i++)
    {
      uint8_t bytes[SAMPLE_LENGTH_MAX];
      size_t length = next_random (sizeof bytes);
      for (size_t j = 0; j < length; j++)
        bytes[j] = (uint8_t)next_random (256);
      if (length && i % 2)
        bytes[0] = (uint8_t)(i % 4 == 1 ? 0x45 : 0x60);
      sample_fix_checksum (bytes, length);
      LLVMFuzzerTestOneInput (bytes, length);
    }
}

static size_t
mutate (uint8_t *bytes, size_t length)
{
  uint32_t at = next_random ((uint32_t)length);
  switch (next_random (5))
    {
    case 0:
      bytes[at] ^= (uint8_t)(1 << next_random (8));
      return length;
    case 1:
      bytes[at] = (uint8_t)next_random (256);
      return length;
    case 2:
      return at + 1;
    case 3:
      /* Keeps the length field plausible, so that later checks are reached. */
      bytes[bytes[0] >> 4 == 4 ? 3 : 5] = (uint8_t)next_random (100);
      return length;
    default:
      return length + next_random (SAMPLE_LENGTH_MAX - (uint32_t)length);
    }
}

static void
mutated_packets_are_parsed_safely (void **state)
{
  (void)state;
  uint32_t accepted = 0;
  random_state = 3122026;
  for (int i = 0; i < MUTATED_INPUTS; i++)
    {
      sample_t sample = *samples[i % SAMPLE_COUNT];
      uint32_t count = 1 + next_random (MUTATIONS_MAX);
      for (uint32_t j = 0; j < count; j++)
        sample.length = mutate (sample.bytes, sample.length);
      if (next_random (8))
        sample_fix_checksum (sample.bytes, sample.length);
      LLVMFuzzerTestOneInput (sample.bytes, sample.length);
      gbd_packet_t packet;
      accepted += gbd_packet_parse (sample.bytes, sample.length, &packet)
                  == GBD_DROP_NONE;
    }
  /* The corpus must reach checks after the first one. */
  assert_true (accepted > MUTATED_INPUTS / 20);
  assert_true (accepted < MUTATED_INPUTS / 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (random_bytes_are_parsed_safely),
    cmocka_unit_test (mutated_packets_are_parsed_safely),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
