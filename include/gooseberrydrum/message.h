/** @file message.h
 *  Messages between the instances of a group, sent in order over one TCP link
 *  per pair of instances, and the shim header of packets that one instance
 *  forwards to another.
 *
 *  On the wire a message is a 4-byte big-endian length and a msgpack array
 *  whose first entry is the type.  A receiver ignores entries beyond those
 *  that it knows, so that two releases can run in one group.
 */
#ifndef GOOSEBERRYDRUM_MESSAGE_H
#define GOOSEBERRYDRUM_MESSAGE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/table.h"

GBD_BEGIN_DECLS

#define GBD_MESSAGE_VERSION 1
#define GBD_MESSAGE_LENGTH_MAX ((size_t)1 << 20)
#define GBD_SERVICES_MAX 4096   /**< services of one group */
#define GBD_INCARNATIONS_MAX 64 /**< incarnations that an instance tracks */
#define GBD_FLOWS_MAX 512       /**< flows of one message */

typedef enum
{
  GBD_MESSAGE_HELLO = 1, /**< first message on a link, both ways */
  GBD_MESSAGE_HEARTBEAT, /**< every heartbeat interval and on each change */
  GBD_MESSAGE_TABLE,     /**< one packed table, full or as delta */
  /** Request a newer table, or with service 0 newer accepted lists. */
  GBD_MESSAGE_TABLE_REQUEST,
  GBD_MESSAGE_FLOWS,        /**< flows with their backend servers */
  GBD_MESSAGE_FLOWS_END,    /**< end of a transfer of flows */
  GBD_MESSAGE_COPY_REQUEST, /**< request the registrations and exceptions of
                                 a service */
  GBD_MESSAGE_CONFIG,       /**< the accepted lists of a generation */
  GBD_MESSAGE_LOAD          /**< load of backend servers, or use of a
                                 customer's limits */
} gbd_message_type_t;
#define GBD_MESSAGE_TYPE_COUNT 10

/** Kind of the flows in one message. */
typedef enum
{
  GBD_FLOWS_REGISTERED, /**< registrations, copied to a replica */
  GBD_FLOWS_EXCEPTION,  /**< flows that stay on their old backend server when
                             their bucket becomes INVERTED */
  /** Flows that the receiver can then route without asking a replica.  These
   *  messages may be lost. */
  GBD_FLOWS_HINT,
  GBD_FLOWS_CORRECTION, /**< replace incorrect registrations of the receiver */
  GBD_FLOWS_CLOSED,     /**< flows that the caller has closed */
  /** Exceptions that rendezvous hashing assigns to the sender for
   *  broadcasting.  A second round broadcasts those that no member has sent.
   */
  GBD_FLOWS_SHARE
} gbd_flows_kind_t;

typedef struct
{
  gbd_flow_hash_t hash;
  gbd_slot_t slot;
} gbd_flow_entry_t;

/** Progress of the sender with one service. */
typedef struct
{
  gbd_service_id_t service;
  uint64_t version; /**< current version at the sender */
  /** Version for which the sender has all registrations and exceptions; equals
   *  `version` unless some are missing. */
  uint64_t complete;
} gbd_progress_t;

/** Acknowledgement of the heartbeats of another instance. */
typedef struct
{
  gbd_instance_id_t id;
  uint64_t sequence; /**< newest heartbeat received; 0 if the instance is not
                          reachable from the sender */
  uint32_t age_ms;   /**< milliseconds since the newest heartbeat was
                          received */
} gbd_heartbeat_ack_t;

typedef struct
{
  uint8_t type; /**< gbd_message_type_t */
  gbd_instance_id_t from;
  union
  {
    struct
    {
      uint8_t version_min;
      uint8_t version_max;
      gbd_zone_id_t zone;
      char name[GBD_NAME_MAX + 1];
      gbd_address_t listen; /**< address at which the sender accepts links */
    } hello;
    struct
    {
      uint64_t sequence;
      bool leaving;
      bool watching;            /**< holds watches on the platform */
      uint32_t platform_age_ms; /**< time since the platform confirmed the
                                     newest tables to the sender itself;
                                     UINT32_MAX if never */
      /** Time since the group last lost an open flow; UINT32_MAX if never. */
      uint32_t loss_free_ms;
      uint64_t generation; /**< current accepted configuration */
      uint16_t ack_count;
      gbd_heartbeat_ack_t acks[GBD_INCARNATIONS_MAX];
      uint16_t progress_count;
      gbd_progress_t *progress; /**< owned by the message; lists all services,
                                     or none, as in most heartbeats */
    } heartbeat;
    struct
    {
      gbd_service_id_t service;
      uint64_t version;
      uint64_t base; /**< version that the delta was made from; 0 for a
                          full table */
      uint32_t length;
      uint8_t *bytes; /**< owned by the message */
    } table;
    struct
    {
      gbd_service_id_t service;
      uint64_t version; /**< newest version or generation that the sender
                             has; 0 if none */
    } table_request;
    struct
    {
      gbd_service_id_t service;
      uint64_t version; /**< table version of the sender; in an exchange of
                             exceptions the hash of the SETTLING buckets,
                             which identifies the exchange */
      uint8_t kind;     /**< gbd_flows_kind_t */
      uint16_t count;
      gbd_flow_entry_t *entries; /**< owned by the message */
    } flows;
    struct
    {
      gbd_service_id_t service;
      uint64_t version;
      uint8_t kind; /**< REGISTERED, SHARE or EXCEPTION */
    } flows_end;
    struct
    {
      gbd_service_id_t service;
      uint64_t version;
    } copy_request;
    struct
    {
      uint64_t generation;
      uint32_t length;
      uint8_t *bytes; /**< owned by the message */
    } config;
    struct
    {
      gbd_service_id_t service;
      uint64_t round; /**< number of the report; grows by one */
      uint16_t count; /**< 0 in a report on a customer, see
                           gbd_limits_report_t; service then holds the
                           customer's identifier */
      struct gbd_load_entry *entries; /**< owned by the message */
      uint32_t new_flows;  /**< of a customer: gbd_limits_report_t.demand */
      uint32_t open_flows; /**< of a customer: gbd_limits_report_t.open */
    } load;
  } body;
} gbd_message_t;

/** Load that one instance put on one backend server in one round. */
typedef struct gbd_load_entry
{
  gbd_slot_t slot;
  uint32_t new_flows;
  uint32_t open_flows;
  uint32_t kilobytes;
} gbd_load_entry_t;

/** Free the memory that the message owns, but not the message itself. */
void gbd_message_clear (gbd_message_t *message);

/** Encode a message with its length prefix.
 *  @return malloc'd bytes; NULL when memory is short or a bound is exceeded.
 */
uint8_t *gbd_message_encode (const gbd_message_t *message, size_t *length);

/** Decode the bytes after the length prefix.
 *  @return GBD_OK; GBD_ERROR_FORMAT for bytes that are malformed, exceed a
 *  bound or are nested too deeply; GBD_ERROR_NOT_FOUND for an unknown type,
 *  which the caller skips; GBD_ERROR_MEMORY.  The caller clears the message
 *  after GBD_OK. */
gbd_status_t gbd_message_decode (const uint8_t *bytes, size_t length,
                                 gbd_message_t *message);

/** Purpose of a packet that one instance forwards to another. */
typedef enum
{
  GBD_SHIM_OPEN = 1, /**< register at all replicas, then deliver */
  GBD_SHIM_LOOKUP,   /**< deliver to the server that the flow's registration
                          names; without one, to the removed server in `slot`,
                          or else to the bucket's default server */
  GBD_SHIM_RELAY     /**< process as if it came from the fabric */
} gbd_shim_kind_t;

/** Header before a packet that one instance forwards to another. */
typedef struct
{
  uint8_t kind;             /**< gbd_shim_kind_t */
  uint8_t hops;             /**< number of instances passed so far */
  gbd_slot_t slot;          /**< for GBD_SHIM_OPEN, the slot chosen by the
                                 first replica; GBD_SLOT_NONE until it has
                                 chosen */
  gbd_instance_id_t origin; /**< instance that received the packet from the
                                 fabric */
  uint64_t version;         /**< table version of the sender */
} gbd_shim_t;

#define GBD_SHIM_LENGTH 32
#define GBD_HOPS_MAX 6

/** Write a shim header, authenticated together with the packet's first bytes
 *  by SipHash-2-4 with the group's key.
 *  @param bytes at least GBD_SHIM_LENGTH bytes, directly before the packet */
void gbd_shim_encode (const gbd_shim_t *shim, const uint8_t key[16],
                      const uint8_t *packet, size_t packet_length,
                      uint8_t *bytes);

/** Read and verify a shim header.
 *  @return GBD_OK or GBD_ERROR_FORMAT. */
gbd_status_t gbd_shim_decode (const uint8_t *bytes, size_t length,
                              const uint8_t key[16], gbd_shim_t *shim);

GBD_END_DECLS
#endif
