#include "standins/tcp_packet.h"

#include <string.h>

#include "gooseberrydrum/bytes.h"

#define IPV4_HEADER 20
#define IPV6_HEADER 40
#define TCP_HEADER 20
#define PROTOCOL_TCP 6
#define HOP_LIMIT 64
#define WINDOW 65535

static uint32_t sum_words (const uint8_t *bytes, size_t length);
static uint16_t fold_checksum (uint32_t sum);

size_t
tcp_packet_build (const gbd_address_t *from, const gbd_address_t *to,
                  uint32_t sequence, uint32_t acknowledgment, uint8_t flags,
                  const void *payload, size_t payload_length, uint8_t *bytes)
{
  bool is_ipv6 = from->family == 6;
  size_t ip_length = is_ipv6 ? IPV6_HEADER : IPV4_HEADER;
  size_t address_length = is_ipv6 ? 16 : 4;
  size_t tcp_length = TCP_HEADER + payload_length;
  size_t length = ip_length + tcp_length;
  if (length > TCP_PACKET_LENGTH_MAX)
    return 0;

  memset (bytes, 0, ip_length + TCP_HEADER);
  if (is_ipv6)
    {
      bytes[0] = 0x60;
      gbd_put16 (bytes + 4, (uint32_t)tcp_length);
      bytes[6] = PROTOCOL_TCP;
      bytes[7] = HOP_LIMIT;
      memcpy (bytes + 8, from->ip, 16);
      memcpy (bytes + 24, to->ip, 16);
    }
  else
    {
      bytes[0] = 0x45;
      gbd_put16 (bytes + 2, (uint32_t)length);
      bytes[6] = 0x40; /* do not fragment */
      bytes[8] = HOP_LIMIT;
      bytes[9] = PROTOCOL_TCP;
      memcpy (bytes + 12, from->ip, 4);
      memcpy (bytes + 16, to->ip, 4);
      gbd_put16 (bytes + 10, fold_checksum (sum_words (bytes, IPV4_HEADER)));
    }

  uint8_t *tcp = bytes + ip_length;
  gbd_put16 (tcp, from->port);
  gbd_put16 (tcp + 2, to->port);
  gbd_put32 (tcp + 4, sequence);
  gbd_put32 (tcp + 8, acknowledgment);
  tcp[12] = (TCP_HEADER / 4) << 4;
  tcp[13] = flags;
  gbd_put16 (tcp + 14, WINDOW);
  if (payload_length)
    memcpy (tcp + TCP_HEADER, payload, payload_length);

  uint32_t sum = PROTOCOL_TCP + (uint32_t)tcp_length;
  sum += sum_words (from->ip, address_length)
         + sum_words (to->ip, address_length);
  sum += sum_words (tcp, tcp_length);
  gbd_put16 (tcp + 16, fold_checksum (sum));
  return length;
}

bool
tcp_packet_parse (const uint8_t *bytes, size_t length, tcp_segment_t *segment)
{
  gbd_packet_t packet;
  if (gbd_packet_parse (bytes, length, &packet) != GBD_DROP_NONE
      || packet.kind == GBD_PACKET_ICMP)
    return false;
  bool has_no_options
      = bytes[0] == 0x45 || (bytes[0] >> 4 == 6 && bytes[6] == PROTOCOL_TCP);
  if (!has_no_options)
    return false;

  const uint8_t *tcp = bytes + (bytes[0] == 0x45 ? IPV4_HEADER : IPV6_HEADER);
  segment->from = packet.flow.caller;
  segment->to = packet.flow.service;
  segment->flags = tcp[13];
  segment->sequence = packet.sequence;
  segment->acknowledgment = gbd_get32 (tcp + 8);
  segment->payload_length = packet.payload_length;
  segment->payload = bytes + length - packet.payload_length;
  return true;
}

static uint32_t
sum_words (const uint8_t *bytes, size_t length)
{
  uint32_t sum = 0;
  for (size_t i = 0; i + 1 < length; i += 2)
    sum += (uint32_t)bytes[i] << 8 | bytes[i + 1];
  if (length & 1)
    sum += (uint32_t)bytes[length - 1] << 8;
  return sum;
}

static uint16_t
fold_checksum (uint32_t sum)
{
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return (uint16_t)~sum;
}
