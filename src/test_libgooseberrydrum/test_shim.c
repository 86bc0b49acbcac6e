#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "gooseberrydrum/message.h"

#define PACKET_LENGTH 120
#define AUTHENTICATED_BITS ((size_t)(GBD_SHIM_LENGTH + 96) * 8)

static const uint8_t key[16] = "sixteen byte key";
static const gbd_shim_t shim
    = { GBD_SHIM_LOOKUP, 3, 0x1234, 0x0102030405060708, UINT64_MAX - 1 };

static void
make_datagram (uint8_t *bytes, size_t packet_length)
{
  for (size_t i = 0; i < packet_length; i++)
    bytes[GBD_SHIM_LENGTH + i] = (uint8_t)(i * 7);
  gbd_shim_encode (&shim, key, bytes + GBD_SHIM_LENGTH, packet_length, bytes);
}

static void
decoding_inverts_encoding (void **state)
{
  (void)state;
  static const size_t lengths[] = { 0, 1, 40, 95, 96, 97, 1500, 65000 };
  static uint8_t bytes[GBD_SHIM_LENGTH + 65000];
  for (size_t i = 0; i < sizeof lengths / sizeof lengths[0]; i++)
    {
      gbd_shim_t decoded = { 0 };
      make_datagram (bytes, lengths[i]);
      assert_int_equal (
          gbd_shim_decode (bytes, GBD_SHIM_LENGTH + lengths[i], key, &decoded),
          GBD_OK);
      assert_int_equal (decoded.kind, shim.kind);
      assert_int_equal (decoded.hops, shim.hops);
      assert_int_equal (decoded.slot, shim.slot);
      assert_true (decoded.origin == shim.origin);
      assert_true (decoded.version == shim.version);
    }
}

static void
any_flipped_bit_is_rejected (void **state)
{
  (void)state;
  uint8_t bytes[GBD_SHIM_LENGTH + PACKET_LENGTH];
  make_datagram (bytes, PACKET_LENGTH);
  for (size_t bit = 0; bit < AUTHENTICATED_BITS; bit++)
    {
      gbd_shim_t decoded;
      bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
      assert_int_equal (gbd_shim_decode (bytes, sizeof bytes, key, &decoded),
                        GBD_ERROR_FORMAT);
      bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
}

static void
any_other_length_is_rejected (void **state)
{
  (void)state;
  uint8_t bytes[GBD_SHIM_LENGTH + PACKET_LENGTH + 1] = { 0 };
  make_datagram (bytes, PACKET_LENGTH);
  for (size_t length = 0; length <= sizeof bytes; length++)
    {
      gbd_shim_t decoded;
      gbd_status_t expected = length == GBD_SHIM_LENGTH + PACKET_LENGTH
                                  ? GBD_OK
                                  : GBD_ERROR_FORMAT;
      assert_int_equal (gbd_shim_decode (bytes, length, key, &decoded),
                        expected);
    }
}

static void
another_key_is_rejected (void **state)
{
  (void)state;
  uint8_t bytes[GBD_SHIM_LENGTH + PACKET_LENGTH];
  uint8_t other[16];
  make_datagram (bytes, PACKET_LENGTH);
  for (size_t i = 0; i < sizeof other; i++)
    {
      gbd_shim_t decoded;
      memcpy (other, key, sizeof other);
      other[i] ^= 0x80;
      assert_int_equal (gbd_shim_decode (bytes, sizeof bytes, other, &decoded),
                        GBD_ERROR_FORMAT);
    }
}

static void
unknown_kinds_are_rejected (void **state)
{
  (void)state;
  static const uint8_t kinds[] = { 0, GBD_SHIM_RELAY + 1, 255 };
  for (size_t i = 0; i < sizeof kinds; i++)
    {
      uint8_t bytes[GBD_SHIM_LENGTH] = { 0 };
      gbd_shim_t decoded;
      gbd_shim_t invalid = shim;
      invalid.kind = kinds[i];
      gbd_shim_encode (&invalid, key, bytes, 0, bytes);
      assert_int_equal (gbd_shim_decode (bytes, sizeof bytes, key, &decoded),
                        GBD_ERROR_FORMAT);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (decoding_inverts_encoding),
    cmocka_unit_test (any_flipped_bit_is_rejected),
    cmocka_unit_test (any_other_length_is_rejected),
    cmocka_unit_test (another_key_is_rejected),
    cmocka_unit_test (unknown_kinds_are_rejected),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
