/** @file packet.h
 *  Parser of IPv4 and IPv6 packets that carry TCP or an ICMP error, and the
 *  TCP reset for a rejected packet.
 *
 *  Lengths, header sizes, options and fragmentation are validated before any
 *  field is used.  An invalid packet is dropped with the reason of the first
 *  check that failed.
 */
#ifndef GOOSEBERRYDRUM_PACKET_H
#define GOOSEBERRYDRUM_PACKET_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Reason for dropping a packet; each has a counter. */
typedef enum
{
  GBD_DROP_NONE,
  GBD_DROP_TRUNCATED,    /**< shorter than its headers state */
  GBD_DROP_BAD_VERSION,  /**< neither IPv4 nor IPv6 */
  GBD_DROP_BAD_LENGTH,   /**< inconsistent length fields */
  GBD_DROP_BAD_CHECKSUM, /**< wrong IPv4 header checksum */
  GBD_DROP_FRAGMENT,     /**< a fragment of a packet */
  GBD_DROP_PROTOCOL,     /**< neither TCP nor an ICMP error */
  GBD_DROP_BAD_FLAGS,    /**< invalid combination of TCP flags */
  GBD_DROP_NO_SERVICE,   /**< no customer has this address and port */
  GBD_DROP_NO_BACKEND,   /**< the service has no backend server that accepts
                              the flow */
  GBD_DROP_ISOLATION,    /**< the final isolation check before sending
                              failed */
  GBD_DROP_UNCERTAIN,    /**< the destination of the flow is not known
                              reliably */
  GBD_DROP_HOP_LIMIT,    /**< forwarded between instances too often */
  GBD_DROP_LIMIT,        /**< a limit of the customer's plan is reached; no
                              reset is sent, because an earlier packet of the
                              flow may have been forwarded */
  GBD_DROP_NOT_JOINED,   /**< this instance is not a member of its group yet */
  GBD_DROP_BAD_SHIM,     /**< malformed or unauthenticated peer datagram */
  GBD_DROP_SEND          /**< the socket rejected the packet */
} gbd_drop_t;
#define GBD_DROP_COUNT 17

/** Metric label of each gbd_drop_t. */
extern const char *const gbd_drop_strings[GBD_DROP_COUNT];

/** Role of a packet in its flow. */
typedef enum
{
  GBD_PACKET_OPENING,     /**< SYN without ACK */
  GBD_PACKET_ESTABLISHED, /**< neither opens nor closes the flow */
  GBD_PACKET_CLOSING,     /**< FIN or RST from the caller */
  GBD_PACKET_ICMP         /**< an ICMP error that quotes the flow */
} gbd_packet_kind_t;

/** Fields of a packet that routing decisions depend on. */
typedef struct
{
  gbd_packet_kind_t kind;
  gbd_flow_t flow;         /**< always in the direction from caller to
                                service */
  uint32_t sequence;       /**< TCP sequence number, host byte order */
  uint32_t acknowledgment; /**< TCP acknowledgment number if has_ack is set */
  bool is_reset;           /**< the caller resets the flow */
  bool has_ack;            /**< the acknowledgment number is valid */
  uint16_t payload_length; /**< bytes of TCP payload */
  uint16_t length;         /**< bytes of the packet with its headers */
  uint32_t cookie;         /**< routing cookie; 0 if the packet format has
                                none */
} gbd_packet_t;

/** Parse one IP packet.
 *
 *  An ICMP error (IPv4 types 3, 11 and 12; IPv6 types 1 to 4) quotes a packet
 *  sent from the service to the caller, so the addresses of its flow are
 *  swapped.
 *  @param bytes the packet, starting with its IP header
 *  @param length bytes available; trailing bytes after the IP packet are
 *  GBD_DROP_BAD_LENGTH
 *  @param packet set only if GBD_DROP_NONE is returned
 *  @return GBD_DROP_NONE or the reason of the first check that failed. */
gbd_drop_t gbd_packet_parse (const uint8_t *bytes, size_t length,
                             gbd_packet_t *packet);

#define GBD_RESET_LENGTH_MAX 60 /**< IPv6 header and TCP header */

/** Build the TCP reset that responds to a packet, from service to caller.  An
 *  opening packet gets an RST with an ACK of its sequence number + 1, a later
 *  one an RST with the sequence number that its caller expects (RFC 9293,
 *  section 3.10.7.1).
 *  @param packet an opening packet, or one with has_ack
 *  @param bytes at least GBD_RESET_LENGTH_MAX
 *  @return bytes written. */
size_t gbd_packet_build_reset (const gbd_packet_t *packet, uint8_t *bytes);

/** Internet checksum (RFC 1071) of a buffer, added to a partial sum.
 *  @return the folded and inverted sum in host byte order. */
uint16_t gbd_checksum (const uint8_t *bytes, size_t length, uint32_t sum);

/** Keyed hash of a flow.
 *  @param key secret, taken from the group's key */
gbd_flow_hash_t gbd_flow_hash (const gbd_flow_t *flow, uint64_t key);

GBD_END_DECLS
#endif
