/** @file packet.h
 *  Reading of IPv4 and IPv6 packets that carry TCP or an ICMP error, and the
 *  answer to a refused opening packet.
 *
 *  Every packet is checked before anything is taken from it: lengths, header
 *  sizes, options, fragments.  What fails is dropped with one cause.
 */
#ifndef GOOSEBERRYDRUM_PACKET_H
#define GOOSEBERRYDRUM_PACKET_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Why a packet went nowhere; each has a counter. */
typedef enum
{
  GBD_DROP_NONE,
  GBD_DROP_TRUNCATED,    /**< shorter than its headers say */
  GBD_DROP_BAD_VERSION,  /**< neither IPv4 nor IPv6 */
  GBD_DROP_BAD_LENGTH,   /**< lengths that contradict each other */
  GBD_DROP_BAD_CHECKSUM, /**< IPv4 header checksum */
  GBD_DROP_FRAGMENT,     /**< a fragment of a packet */
  GBD_DROP_PROTOCOL,     /**< neither TCP nor an ICMP error */
  GBD_DROP_BAD_FLAGS,    /**< TCP flags that no sender may combine */
  GBD_DROP_NO_SERVICE,   /**< no customer has this address and port */
  GBD_DROP_NO_BACKEND,   /**< the service has no backend server to take it */
  GBD_DROP_ISOLATION,    /**< the last check before sending failed */
  GBD_DROP_UNCERTAIN,    /**< this instance may not answer for the flow */
  GBD_DROP_HOP_LIMIT,    /**< passed between instances too often */
  GBD_DROP_LIMIT,        /**< over the plan; silent as a packet may have
                              passed already */
  GBD_DROP_NOT_JOINED,   /**< this instance is not in force yet */
  GBD_DROP_BAD_SHIM,     /**< malformed or unauthenticated peer datagram */
  GBD_DROP_SEND          /**< the socket refused it */
} gbd_drop_t;
#define GBD_DROP_COUNT 17

/** Counter label of each gbd_drop_t. */
extern const char *const gbd_drop_strings[GBD_DROP_COUNT];

/** Role of a packet for its flow. */
typedef enum
{
  GBD_PACKET_OPENING, /**< SYN without ACK */
  GBD_PACKET_MIDDLE,  /**< neither opens nor ends the flow */
  GBD_PACKET_CLOSING, /**< FIN or RST from the caller */
  GBD_PACKET_ICMP     /**< an ICMP error that quotes the flow */
} gbd_packet_kind_t;

/** What the decisions need of one packet. */
typedef struct
{
  gbd_packet_kind_t kind;
  gbd_flow_t flow;         /**< always in the direction caller to service */
  uint32_t sequence;       /**< TCP sequence number, host byte order */
  uint32_t acknowledgment; /**< TCP acknowledgment number; see has_ack */
  bool is_reset;           /**< the caller resets the flow */
  bool has_ack;            /**< the acknowledgment number counts */
  uint16_t payload_length; /**< bytes of TCP payload */
  uint16_t length;         /**< bytes of the whole packet */
  uint32_t cookie;         /**< routing cookie; 0 if the format has none */
} gbd_packet_t;

/** Read one IP packet.
 *  @param bytes  the packet from its IP header on
 *  @param length bytes available; trailing bytes past the IP length are
 *                GBD_DROP_BAD_LENGTH
 *  @param packet set only on GBD_DROP_NONE
 *  @return GBD_DROP_NONE or the first check that failed.
 *  An ICMP error (IPv4 types 3, 11, 12; IPv6 types 1 to 4) quotes a packet
 *  that went from the service to the caller: the flow is turned round. */
gbd_drop_t gbd_packet_parse (const uint8_t *bytes, size_t length,
                             gbd_packet_t *packet);

#define GBD_RESET_LENGTH_MAX 60 /**< IPv6 header and TCP header */

/** Build the TCP reset that answers a packet, from service to caller: for an
 *  opening packet RST with ACK of sequence + 1, for a later one RST with the
 *  sequence number that its caller expects (RFC 9293, section 3.10.7.1).
 *  @param packet opening, or with has_ack
 *  @param bytes at least GBD_RESET_LENGTH_MAX
 *  @return bytes written. */
size_t gbd_packet_build_reset (const gbd_packet_t *packet, uint8_t *bytes);

/** Internet checksum (RFC 1071) over bytes, added to a partial sum.
 *  @return the folded, inverted sum in host byte order. */
uint16_t gbd_checksum (const uint8_t *bytes, size_t length, uint32_t sum);

/** Keyed hash of a flow; secret from the group's key. */
gbd_flow_hash_t gbd_flow_hash (const gbd_flow_t *flow, uint64_t key);

GBD_END_DECLS
#endif
