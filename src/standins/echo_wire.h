/** @file echo_wire.h
 *  Packets with a routing cookie as their two ends write and read them.
 */
#ifndef STANDINS_ECHO_WIRE_H
#define STANDINS_ECHO_WIRE_H

#include "gooseberrydrum/types.h"

#define ECHO_PACKET_MAX 1232 /**< bytes of a packet */
#define ECHO_PREFIX 8        /**< bytes before a packet to a server */

typedef struct
{
  gbd_address_t from;
  gbd_address_t to;
  uint8_t flags; /**< of platform/echo_header.h */
  uint32_t sequence;
  uint32_t acknowledgment; /**< of a SYN: its repetitions */
  uint32_t cookie;
  uint16_t length; /**< of the data */
} echo_header_t;

/** Write a packet with its sum.  @return its bytes. */
size_t echo_write (const echo_header_t *header, const uint8_t *data,
                   uint8_t *bytes);

/** Read a packet.
 *  @param is_genuine set to whether the sum is that of its sender
 *  @return the data, or NULL if the packet is malformed. */
const uint8_t *echo_read (const uint8_t *bytes, size_t length,
                          echo_header_t *header, bool *is_genuine);

#endif
