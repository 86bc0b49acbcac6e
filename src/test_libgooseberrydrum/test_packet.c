#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "sample_packets.h"

#define IPV4_BITS 160
#define UNCHANGED (-1) /* leaves this byte unchanged */

/** A valid packet with up to three bytes or its length changed. */
typedef struct
{
  const sample_t *sample;
  const char *label;
  int length_change;
  int at[3];
  int value[3];
  gbd_drop_t expected;
} malformed_packet_t;

/* clang-format off */
static const malformed_packet_t malformed[] = {
  { &sample_ipv4, "empty packet", -44, { UNCHANGED, UNCHANGED, UNCHANGED }, { 0 }, GBD_DROP_TRUNCATED },
  { &sample_ipv4, "truncated header", -25, { UNCHANGED, UNCHANGED, UNCHANGED }, { 0 }, GBD_DROP_TRUNCATED },
  { &sample_ipv4, "one byte short", -1, { UNCHANGED, UNCHANGED, UNCHANGED }, { 0 }, GBD_DROP_TRUNCATED },
  { &sample_ipv4, "one byte too many", 1, { UNCHANGED, UNCHANGED, UNCHANGED }, { 0 }, GBD_DROP_BAD_LENGTH },
  { &sample_ipv4, "version 5", 0, { 0, UNCHANGED, UNCHANGED }, { 0x55 }, GBD_DROP_BAD_VERSION },
  { &sample_ipv4, "header of 16 bytes", 0, { 0, UNCHANGED, UNCHANGED }, { 0x44 }, GBD_DROP_BAD_LENGTH },
  { &sample_ipv4, "header past the packet", 0, { 0, UNCHANGED, UNCHANGED }, { 0x4f }, GBD_DROP_BAD_LENGTH },
  { &sample_ipv4, "IP header short by one byte", -25, { 3, UNCHANGED, UNCHANGED }, { 19 }, GBD_DROP_TRUNCATED },
  { &sample_ipv4, "truncated TCP header", -5, { 3, UNCHANGED, UNCHANGED }, { 39 }, GBD_DROP_TRUNCATED },
  { &sample_ipv4, "more fragments", 0, { 6, UNCHANGED, UNCHANGED }, { 0x20 }, GBD_DROP_FRAGMENT },
  { &sample_ipv4, "fragment offset", 0, { 7, UNCHANGED, UNCHANGED }, { 1 }, GBD_DROP_FRAGMENT },
  { &sample_ipv4, "UDP", 0, { 9, UNCHANGED, UNCHANGED }, { 17 }, GBD_DROP_PROTOCOL },
  { &sample_ipv4, "ICMPv6 in IPv4", 0, { 9, UNCHANGED, UNCHANGED }, { 58 }, GBD_DROP_PROTOCOL },
  { &sample_ipv4, "TCP header of 16 bytes", 0, { 32, UNCHANGED, UNCHANGED }, { 0x40 }, GBD_DROP_BAD_LENGTH },
  { &sample_ipv4, "TCP header past the packet", 0, { 32, UNCHANGED, UNCHANGED }, { 0x70 }, GBD_DROP_BAD_LENGTH },
  { &sample_ipv4, "TCP option of 1 byte", 0, { 41, UNCHANGED, UNCHANGED }, { 1 }, GBD_DROP_BAD_LENGTH },
  { &sample_ipv4, "TCP option past the header", 0, { 41, UNCHANGED, UNCHANGED }, { 5 }, GBD_DROP_BAD_LENGTH },
  { &sample_ipv4, "no flags", 0, { 33, UNCHANGED, UNCHANGED }, { 0 }, GBD_DROP_BAD_FLAGS },
  { &sample_ipv4, "SYN and FIN", 0, { 33, UNCHANGED, UNCHANGED }, { 3 }, GBD_DROP_BAD_FLAGS },
  { &sample_ipv4, "SYN and RST", 0, { 33, UNCHANGED, UNCHANGED }, { 6 }, GBD_DROP_BAD_FLAGS },
  { &sample_ipv4, "FIN and RST", 0, { 33, UNCHANGED, UNCHANGED }, { 0x15 }, GBD_DROP_BAD_FLAGS },
  { &sample_ipv4, "FIN, PSH and URG", 0, { 33, UNCHANGED, UNCHANGED }, { 0x29 }, GBD_DROP_BAD_FLAGS },
  { &sample_ipv4, "loose source route", 0, { 0, 20, 21 }, { 0x46, 131, 4 }, GBD_DROP_PROTOCOL },
  { &sample_ipv4, "IP option past the header", 0, { 0, 20, 21 }, { 0x46, 7, 5 }, GBD_DROP_BAD_LENGTH },
  { &sample_ipv6, "truncated header", -33, { UNCHANGED, UNCHANGED, UNCHANGED }, { 0 }, GBD_DROP_TRUNCATED },
  { &sample_ipv6, "one byte short", -1, { UNCHANGED, UNCHANGED, UNCHANGED }, { 0 }, GBD_DROP_TRUNCATED },
  { &sample_ipv6, "one byte too many", 1, { UNCHANGED, UNCHANGED, UNCHANGED }, { 0 }, GBD_DROP_BAD_LENGTH },
  { &sample_ipv6, "fragment header", 0, { 6, UNCHANGED, UNCHANGED }, { 44 }, GBD_DROP_FRAGMENT },
  { &sample_ipv6, "fragment after options", 0, { 40, UNCHANGED, UNCHANGED }, { 44 }, GBD_DROP_FRAGMENT },
  { &sample_ipv6, "routing header", 0, { 6, UNCHANGED, UNCHANGED }, { 43 }, GBD_DROP_PROTOCOL },
  { &sample_ipv6, "hop-by-hop after options", 0, { 40, UNCHANGED, UNCHANGED }, { 0 }, GBD_DROP_PROTOCOL },
  { &sample_ipv6, "UDP", 0, { 6, UNCHANGED, UNCHANGED }, { 17 }, GBD_DROP_PROTOCOL },
  { &sample_ipv6, "ICMP in IPv6", 0, { 40, UNCHANGED, UNCHANGED }, { 1 }, GBD_DROP_PROTOCOL },
  { &sample_ipv6, "options past the packet", 0, { 41, UNCHANGED, UNCHANGED }, { 4 }, GBD_DROP_BAD_LENGTH },
  { &sample_ipv6, "truncated options", -28, { 5, UNCHANGED, UNCHANGED }, { 4 }, GBD_DROP_TRUNCATED },
  { &sample_ipv6, "truncated TCP header", -13, { 5, UNCHANGED, UNCHANGED }, { 19 }, GBD_DROP_TRUNCATED },
  { &sample_icmp, "echo request", 0, { 20, UNCHANGED, UNCHANGED }, { 8 }, GBD_DROP_PROTOCOL },
  { &sample_icmp, "redirect", 0, { 20, UNCHANGED, UNCHANGED }, { 5 }, GBD_DROP_PROTOCOL },
  { &sample_icmp, "no quote", -28, { 3, UNCHANGED, UNCHANGED }, { 28 }, GBD_DROP_TRUNCATED },
  { &sample_icmp, "truncated message", -29, { 3, UNCHANGED, UNCHANGED }, { 27 }, GBD_DROP_TRUNCATED },
  { &sample_icmp, "7 bytes of TCP", -1, { 3, UNCHANGED, UNCHANGED }, { 55 }, GBD_DROP_TRUNCATED },
  { &sample_icmp, "quote of UDP", 0, { 37, UNCHANGED, UNCHANGED }, { 17 }, GBD_DROP_PROTOCOL },
  { &sample_icmp, "quote of a later fragment", 0, { 35, UNCHANGED, UNCHANGED }, { 1 }, GBD_DROP_FRAGMENT },
  { &sample_icmp, "quote of version 0", 0, { 28, UNCHANGED, UNCHANGED }, { 0x05 }, GBD_DROP_BAD_VERSION },
  { &sample_icmp, "quote too short for TCP", 0, { 30, 31, UNCHANGED }, { 0, 39 }, GBD_DROP_BAD_LENGTH },
  { &sample_icmp, "sent to another service", 0, { 19, UNCHANGED, UNCHANGED }, { 2 }, GBD_DROP_PROTOCOL },
  { &sample_icmpv6, "echo request", 0, { 40, UNCHANGED, UNCHANGED }, { 128 }, GBD_DROP_PROTOCOL },
  { &sample_icmpv6, "type 0", 0, { 40, UNCHANGED, UNCHANGED }, { 0 }, GBD_DROP_PROTOCOL },
  { &sample_icmpv6, "7 bytes of TCP", -1, { 5, UNCHANGED, UNCHANGED }, { 55 }, GBD_DROP_TRUNCATED },
  { &sample_icmpv6, "quote of a fragment", 0, { 54, UNCHANGED, UNCHANGED }, { 44 }, GBD_DROP_FRAGMENT },
  { &sample_icmpv6, "truncated options of the quote", 0, { 54, 89, UNCHANGED }, { 60, 9 }, GBD_DROP_TRUNCATED },
  { &sample_icmpv6, "sent to another service", 0, { 39, UNCHANGED, UNCHANGED }, { 2 }, GBD_DROP_PROTOCOL },
};
/* clang-format on */

static gbd_drop_t
parse_sample (const sample_t *sample, gbd_packet_t *packet)
{
  uint8_t bytes[SAMPLE_LENGTH_MAX];
  memcpy (bytes, sample->bytes, sample->length);
  sample_fix_checksum (bytes, sample->length);
  return gbd_packet_parse (bytes, sample->length, packet);
}

static void
malformed_packets_are_dropped_with_the_expected_reason (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    {
      const malformed_packet_t *row = &malformed[i];
      uint8_t bytes[SAMPLE_LENGTH_MAX] = { 0 };
      size_t length = row->sample->length;
      length += (size_t)row->length_change;
      memcpy (bytes, row->sample->bytes, row->sample->length);
      for (int j = 0; j < 3; j++)
        {
          if (row->at[j] != UNCHANGED)
            bytes[row->at[j]] = (uint8_t)row->value[j];
        }
      sample_fix_checksum (bytes, row->sample->length);

      gbd_packet_t packet;
      gbd_drop_t drop = gbd_packet_parse (bytes, length, &packet);
      if (drop != row->expected)
        fail_msg ("%s, %s: %s in place of %s", row->sample->name, row->label,
                  gbd_drop_strings[drop], gbd_drop_strings[row->expected]);
    }
}

static void
any_flipped_bit_of_an_ipv4_header_is_rejected (void **state)
{
  (void)state;
  uint8_t bytes[SAMPLE_LENGTH_MAX];
  memcpy (bytes, sample_ipv4.bytes, sizeof bytes);
  sample_fix_checksum (bytes, sample_ipv4.length);
  for (size_t bit = 0; bit < IPV4_BITS; bit++)
    {
      gbd_packet_t packet;
      bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
      assert_int_not_equal (
          gbd_packet_parse (bytes, sample_ipv4.length, &packet),
          GBD_DROP_NONE);
      bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
}

static void
valid_packets_are_parsed (void **state)
{
  (void)state;
  static const struct
  {
    const sample_t *sample;
    gbd_packet_kind_t kind;
    const char *caller;
    const char *service;
    uint32_t sequence;
    uint16_t payload;
  } rows[] = {
    { &sample_ipv4, GBD_PACKET_OPENING, "10.0.0.9:1025", "192.0.2.1:80",
      0x01020304, 0 },
    { &sample_ipv6, GBD_PACKET_ESTABLISHED, "[2001:db8::9]:1025",
      "[2001:db8::1]:80", 0x01020304, 4 },
    { &sample_icmp, GBD_PACKET_ICMP, "10.0.0.9:1025", "192.0.2.1:80",
      0x09090909, 0 },
    { &sample_icmpv6, GBD_PACKET_ICMP, "[2001:db8::9]:1025",
      "[2001:db8::1]:80", 0x09090909, 0 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      gbd_packet_t packet;
      char text[GBD_ADDRESS_TEXT_MAX];
      assert_int_equal (parse_sample (rows[i].sample, &packet), GBD_DROP_NONE);
      assert_int_equal (packet.kind, rows[i].kind);
      gbd_address_format (&packet.flow.caller, text);
      assert_string_equal (text, rows[i].caller);
      gbd_address_format (&packet.flow.service, text);
      assert_string_equal (text, rows[i].service);
      assert_int_equal (packet.sequence, rows[i].sequence);
      assert_int_equal (packet.payload_length, rows[i].payload);
      assert_int_equal (packet.length, rows[i].sample->length);
    }
}

static void
packet_kind_follows_the_tcp_flags (void **state)
{
  (void)state;
  static const struct
  {
    uint8_t flags;
    gbd_packet_kind_t kind;
  } rows[] = {
    { 0x02, GBD_PACKET_OPENING },     /* SYN */
    { 0xc2, GBD_PACKET_OPENING },     /* SYN, ECE, CWR */
    { 0x12, GBD_PACKET_ESTABLISHED }, /* SYN and ACK */
    { 0x10, GBD_PACKET_ESTABLISHED }, /* ACK */
    { 0x11, GBD_PACKET_CLOSING },     /* FIN and ACK */
    { 0x04, GBD_PACKET_CLOSING },     /* RST */
    { 0x14, GBD_PACKET_CLOSING },     /* RST and ACK */
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      gbd_packet_t packet;
      sample_t sample = sample_ipv4;
      sample.bytes[33] = rows[i].flags;
      assert_int_equal (parse_sample (&sample, &packet), GBD_DROP_NONE);
      assert_int_equal (packet.kind, rows[i].kind);
    }
}

static void
icmp_error_may_quote_a_first_fragment (void **state)
{
  (void)state;
  sample_t sample = sample_icmp;
  gbd_packet_t packet;
  sample.bytes[34] = 0x20;
  assert_int_equal (parse_sample (&sample, &packet), GBD_DROP_NONE);
}

static void
icmpv6_quote_of_ipv4_is_rejected (void **state)
{
  (void)state;
  sample_t sample = sample_icmpv6;
  gbd_packet_t packet;
  memcpy (sample.bytes + 48, sample_icmp.bytes + 28, 28);
  assert_int_equal (parse_sample (&sample, &packet), GBD_DROP_PROTOCOL);
}

static void
reset_matches_the_opening_packet (void **state)
{
  (void)state;
  sample_t ipv6 = sample_ipv6;
  ipv6.bytes[61] = 2;
  const sample_t *const rows[] = { &sample_ipv4, &ipv6 };
  for (size_t i = 0; i < 2; i++)
    {
      gbd_packet_t packet;
      gbd_packet_t reset;
      uint8_t bytes[GBD_RESET_LENGTH_MAX];
      assert_int_equal (parse_sample (rows[i], &packet), GBD_DROP_NONE);
      size_t length = gbd_packet_build_reset (&packet, bytes);
      size_t header = length - 20;

      assert_int_equal (gbd_packet_parse (bytes, length, &reset),
                        GBD_DROP_NONE);
      assert_true (
          gbd_address_is_equal (&reset.flow.caller, &packet.flow.service));
      assert_true (
          gbd_address_is_equal (&reset.flow.service, &packet.flow.caller));
      assert_int_equal (bytes[header + 13], 0x14);
      static const uint8_t acknowledged[] = { 1, 2, 3, 5 };
      assert_memory_equal (bytes + header + 8, acknowledged, 4);

      /* The checksum over a segment that includes its checksum is zero. */
      size_t addresses = header == 20 ? 8 : 32;
      uint32_t pseudo = 6 + 20;
      pseudo += (uint16_t)~gbd_checksum (bytes + header - addresses, addresses,
                                         0);
      assert_int_equal (gbd_checksum (bytes + header, 20, pseudo), 0);
    }
}

static void
checksum_matches_rfc_1071 (void **state)
{
  (void)state;
  /* The example of RFC 1071, section 3. */
  static const uint8_t bytes[]
      = { 0x00, 0x01, 0xf2, 0x03, 0xf4, 0xf5, 0xf6, 0xf7 };
  assert_int_equal (gbd_checksum (bytes, 8, 0), (uint16_t)~0xddf2);
  assert_int_equal (gbd_checksum (bytes, 7, 0), (uint16_t)~0xdcfb);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (malformed_packets_are_dropped_with_the_expected_reason),
    cmocka_unit_test (any_flipped_bit_of_an_ipv4_header_is_rejected),
    cmocka_unit_test (valid_packets_are_parsed),
    cmocka_unit_test (packet_kind_follows_the_tcp_flags),
    cmocka_unit_test (icmp_error_may_quote_a_first_fragment),
    cmocka_unit_test (icmpv6_quote_of_ipv4_is_rejected),
    cmocka_unit_test (reset_matches_the_opening_packet),
    cmocka_unit_test (checksum_matches_rfc_1071),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
