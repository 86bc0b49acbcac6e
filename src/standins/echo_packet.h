/** @file echo_packet.h
 *  Builder and parser of packets in the format "echo", which carry a routing
 *  cookie, for the stand-ins for callers and backend servers.
 */
#ifndef STANDINS_ECHO_PACKET_H
#define STANDINS_ECHO_PACKET_H

#include "gooseberrydrum/types.h"

#define ECHO_PACKET_MAX 1232 /**< bytes of the largest packet */
/** Length in bytes of the server identifier that precedes a packet to a
 *  backend server. */
#define ECHO_SERVER_ID_LENGTH 8

typedef struct
{
  gbd_address_t from;
  gbd_address_t to;
  uint8_t flags; /**< GBD_ECHO_FLAG_* */
  uint32_t sequence;
  /** In a SYN: number of its earlier transmissions. */
  uint32_t acknowledgment;
  uint32_t cookie;
  uint16_t length; /**< bytes of data */
} echo_header_t;

/** Write a packet with its checksum.
 *  @return length of the packet in bytes. */
size_t echo_packet_build (const echo_header_t *header, const uint8_t *data,
                          uint8_t *bytes);

/** Read a packet.
 *  @param is_checksum_valid set to whether the packet, apart from its cookie,
 *                           is unchanged since a caller or backend server
 *                           sent it
 *  @return the data, or NULL if the packet is malformed. */
const uint8_t *echo_packet_parse (const uint8_t *bytes, size_t length,
                                  echo_header_t *header,
                                  bool *is_checksum_valid);

#endif
