/** @file inner.h
 *  IP packets that the stand-ins of callers and backend servers exchange.
 */
#ifndef STANDINS_INNER_H
#define STANDINS_INNER_H

#include "gooseberrydrum/packet.h"

#define INNER_LENGTH_MAX 1500

/** Build an IPv4 or IPv6 packet with a TCP segment and right checksums.
 *  @param from,to  addresses of the same family
 *  @param flags    TCP flags byte
 *  @param bytes    at least INNER_LENGTH_MAX
 *  @return bytes written; 0 when the payload does not fit. */
size_t inner_build (const gbd_address_t *from, const gbd_address_t *to,
                    uint32_t sequence, uint32_t acknowledgment, uint8_t flags,
                    const void *payload, size_t payload_length,
                    uint8_t *bytes);

/** A TCP segment that inner_build() could have made. */
typedef struct
{
  gbd_address_t from;
  gbd_address_t to;
  uint8_t flags;
  uint32_t sequence;
  uint32_t acknowledgment;
  const uint8_t *payload; /**< inside the bytes that were read */
  size_t payload_length;
} inner_segment_t;

/** Read one packet.
 *  @return false for anything but a well-formed TCP packet without IP options
 *  or extension headers. */
bool inner_read (const uint8_t *bytes, size_t length,
                 inner_segment_t *segment);

#define INNER_FIN 0x01
#define INNER_SYN 0x02
#define INNER_RST 0x04
#define INNER_PSH 0x08
#define INNER_ACK 0x10

#endif
