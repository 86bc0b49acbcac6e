/** @file tcp_packet.h
 *  Builder and parser of IP packets with TCP segments, for the stand-ins for
 *  callers and backend servers.
 */
#ifndef STANDINS_TCP_PACKET_H
#define STANDINS_TCP_PACKET_H

#include "gooseberrydrum/packet.h"

#define TCP_PACKET_LENGTH_MAX 1500

/** Build an IPv4 or IPv6 packet with a TCP segment and valid checksums.
 *  @param from,to  addresses of the same family
 *  @param flags    TCP flags byte
 *  @param bytes    room for TCP_PACKET_LENGTH_MAX bytes
 *  @return number of bytes written; 0 if the payload does not fit. */
size_t tcp_packet_build (const gbd_address_t *from, const gbd_address_t *to,
                         uint32_t sequence, uint32_t acknowledgment,
                         uint8_t flags, const void *payload,
                         size_t payload_length, uint8_t *bytes);

/** Parsed TCP segment. */
typedef struct
{
  gbd_address_t from;
  gbd_address_t to;
  uint8_t flags;
  uint32_t sequence;
  uint32_t acknowledgment;
  const uint8_t *payload; /**< points into the bytes that were parsed */
  size_t payload_length;
} tcp_segment_t;

/** Parse one packet.
 *  @return false unless it is a well-formed TCP packet without IP options or
 *  extension headers. */
bool tcp_packet_parse (const uint8_t *bytes, size_t length,
                       tcp_segment_t *segment);

#define TCP_PACKET_FIN 0x01
#define TCP_PACKET_SYN 0x02
#define TCP_PACKET_RST 0x04
#define TCP_PACKET_PSH 0x08
#define TCP_PACKET_ACK 0x10

#endif
