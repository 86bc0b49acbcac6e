/** @file packet_codec.h
 *  Packet formats: each is a table of functions that read and write packets.
 */
#ifndef GOOSEBERRYDRUM_PACKET_CODEC_H
#define GOOSEBERRYDRUM_PACKET_CODEC_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/packet.h"

GBD_BEGIN_DECLS

/** Maximum length of the prefix of a datagram to a backend server, in bytes.
 */
#define GBD_PREFIX_LENGTH_MAX 16

typedef struct
{
  const char *name;
  /** See gbd_packet_parse(). */
  gbd_drop_t (*parse) (const uint8_t *bytes, size_t length,
                       gbd_packet_t *packet);
  /** See gbd_packet_build_reset(). */
  size_t (*build_reset) (const gbd_packet_t *packet, uint8_t *bytes);
  /** Write a routing cookie into a parsed packet.  NULL if the format has no
   *  field for a cookie and so does not support the cookie policy. */
  void (*set_cookie) (uint8_t *bytes, uint32_t cookie);
  /** Bytes that write_prefix() puts before the packet in a datagram to a
   *  backend server; 0: none. */
  size_t prefix_length;
  void (*write_prefix) (gbd_backend_id_t backend, uint8_t *prefix);
} gbd_packet_codec_t;

/** IPv4 and IPv6 packets with TCP; see packet.h. */
extern const gbd_packet_codec_t gbd_packet_codec_ip;

GBD_END_DECLS
#endif
