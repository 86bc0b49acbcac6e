#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "standins/tcp_packet.h"

static void
built_packets_are_parsed_by_the_product (void **state)
{
  (void)state;
  static const char *const pairs[][2] = {
    { "10.0.0.9:1025", "192.0.2.1:80" },
    { "[2001:db8::9]:1025", "[2001:db8::1]:80" },
  };
  static const size_t lengths[] = { 0, 1, 64, 1400 };
  uint8_t payload[1400];
  memset (payload, 7, sizeof payload);
  for (size_t i = 0; i < 2; i++)
    {
      gbd_address_t from;
      gbd_address_t to;
      gbd_address_parse (pairs[i][0], &from);
      gbd_address_parse (pairs[i][1], &to);
      for (size_t j = 0; j < sizeof lengths / sizeof lengths[0]; j++)
        {
          uint8_t bytes[TCP_PACKET_LENGTH_MAX];
          gbd_packet_t packet;
          tcp_segment_t segment;
          size_t length = tcp_packet_build (&from, &to, 5, 6, TCP_PACKET_ACK,
                                            payload, lengths[j], bytes);
          assert_int_equal (gbd_packet_parse (bytes, length, &packet),
                            GBD_DROP_NONE);
          assert_true (gbd_address_is_equal (&packet.flow.caller, &from));
          assert_true (gbd_address_is_equal (&packet.flow.service, &to));
          assert_true (tcp_packet_parse (bytes, length, &segment));
          assert_int_equal (segment.sequence, 5);
          assert_int_equal (segment.acknowledgment, 6);
          assert_int_equal (segment.flags, TCP_PACKET_ACK);
          assert_int_equal (segment.payload_length, lengths[j]);
          assert_memory_equal (segment.payload, payload, lengths[j]);

          /* The checksum over a segment with a valid checksum is 0. */
          size_t addresses = i ? 32 : 8;
          size_t header = i ? 40 : 20;
          uint32_t pseudo = 6 + (uint32_t)(length - header);
          pseudo += (uint16_t)~gbd_checksum (bytes + header - addresses,
                                             addresses, 0);
          assert_int_equal (
              gbd_checksum (bytes + header, length - header, pseudo), 0);
        }
    }
}

static void
oversized_payloads_are_rejected (void **state)
{
  (void)state;
  gbd_address_t from = { .family = 6, .port = 1 };
  uint8_t payload[TCP_PACKET_LENGTH_MAX] = { 0 };
  uint8_t bytes[TCP_PACKET_LENGTH_MAX];
  assert_int_equal (tcp_packet_build (&from, &from, 0, 0, TCP_PACKET_ACK,
                                      payload, TCP_PACKET_LENGTH_MAX - 60,
                                      bytes),
                    TCP_PACKET_LENGTH_MAX);
  assert_int_equal (tcp_packet_build (&from, &from, 0, 0, TCP_PACKET_ACK,
                                      payload, TCP_PACKET_LENGTH_MAX - 59,
                                      bytes),
                    0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (built_packets_are_parsed_by_the_product),
    cmocka_unit_test (oversized_payloads_are_rejected),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
