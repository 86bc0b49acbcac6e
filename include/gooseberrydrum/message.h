/** @file message.h
 *  Messages between the instances of a spray group, sent in order over one
 *  TCP link a pair; and the shim before packets passed between instances.
 *
 *  On the wire a message is a 4-byte big-endian length and a msgpack array
 *  whose first entry is the type.  Entries past the ones known are ignored,
 *  so that two releases can run side by side.
 */
#ifndef GOOSEBERRYDRUM_MESSAGE_H
#define GOOSEBERRYDRUM_MESSAGE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/table.h"

GBD_BEGIN_DECLS

#define GBD_MESSAGE_VERSION 1
#define GBD_MESSAGE_LENGTH_MAX ((size_t)1 << 20)
#define GBD_SERVICES_MAX 4096 /**< services of one group */
#define GBD_LIVES_MAX 64
/** Most flows of one message. */
#define GBD_FLOWS_MAX 512

typedef enum
{
  GBD_MESSAGE_HELLO = 1, /**< first on a link, both ways */
  GBD_MESSAGE_HEARTBEAT, /**< every heartbeat interval and on each change */
  GBD_MESSAGE_TABLE,     /**< one packed table, whole or difference */
  GBD_MESSAGE_WANT,      /**< ask for a table above a version */
  GBD_MESSAGE_FLOWS,     /**< flows with their backend servers */
  GBD_MESSAGE_FLOWS_END, /**< all flows asked for have been sent */
  GBD_MESSAGE_COPY,      /**< ask a keeper for a service's registrations */
  GBD_MESSAGE_CONFIG,    /**< the accepted lists of a generation */
  GBD_MESSAGE_LOAD       /**< load counts of backend servers, limit use */
} gbd_message_type_t;
#define GBD_MESSAGE_TYPE_COUNT 10

/** Why flows are told. */
typedef enum
{
  GBD_FLOWS_REGISTERED, /**< copies of registrations for a keeper */
  GBD_FLOWS_EXCEPTION,  /**< flows that stay behind when a bucket inverts */
  GBD_FLOWS_LEARNED,    /**< spares the receiver a detour; may be lost */
  GBD_FLOWS_CORRECTION, /**< the receiver's registration is wrong */
  GBD_FLOWS_CLOSED,     /**< the caller has closed these */
  GBD_FLOWS_PART        /**< the sender's share of the exceptions, by
                             rendezvous hash; the rest follows */
} gbd_flows_kind_t;

typedef struct
{
  gbd_flow_hash_t hash;
  gbd_slot_t slot;
} gbd_flow_entry_t;

/** Progress of one service at the sender. */
typedef struct
{
  gbd_service_id_t service;
  uint64_t version;  /**< in force at the sender */
  uint64_t complete; /**< registrations copied and exceptions received for
                          this version; equals version when nothing is due */
} gbd_progress_t;

/** What the sender heard from another instance. */
typedef struct
{
  gbd_instance_id_t id;
  uint64_t sequence; /**< newest heartbeat received; 0 if silent */
  uint32_t age_ms;   /**< since it was received */
} gbd_heard_t;

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
      gbd_address_t listen; /**< where the sender accepts links */
    } hello;
    struct
    {
      uint64_t sequence;
      bool leaving;
      bool watching;            /**< holds watches on the platform */
      uint32_t platform_age_ms; /**< since the platform confirmed the newest
                                     tables to the sender itself;
                                     UINT32_MAX if never */
      uint32_t covered_ms;      /**< flow cache has lost no open flow for */
      uint64_t generation;      /**< accepted configuration in force */
      uint16_t heard_count;
      gbd_heard_t heard[GBD_LIVES_MAX];
      uint16_t progress_count;
      gbd_progress_t *progress; /**< owned by the message; only services that
                                     changed since the last full one */
    } heartbeat;
    struct
    {
      gbd_service_id_t service;
      uint64_t version;
      uint64_t base; /**< 0 for a whole table */
      uint32_t length;
      uint8_t *bytes; /**< owned by the message */
    } table;
    struct
    {
      gbd_service_id_t service;
      uint64_t version; /**< newest the sender has; 0 if none */
    } want;
    struct
    {
      gbd_service_id_t service;
      uint64_t version; /**< table version of the sender; in an exchange of
                             exceptions the hash of the SETTLING buckets */
      uint8_t kind;     /**< gbd_flows_kind_t */
      uint16_t count;
      gbd_flow_entry_t *entries; /**< owned by the message */
    } flows;
    struct
    {
      gbd_service_id_t service;
      uint64_t version;
      uint8_t kind; /**< REGISTERED or EXCEPTION */
    } flows_end;
    struct
    {
      gbd_service_id_t service;
      uint64_t version;
    } copy;
    struct
    {
      uint64_t generation;
      uint32_t length;
      uint8_t *bytes; /**< owned by the message */
    } config;
    struct
    {
      gbd_service_id_t service;
      uint64_t round; /**< grows by one a report */
      uint16_t count;
      struct gbd_load_entry *entries; /**< owned by the message */
      uint32_t new_flows;             /**< opened since the last round */
      uint32_t open_flows;            /**< first seen by the sender and open */
    } load;
  } body;
} gbd_message_t;

/** Load of one backend server as one instance saw it in one round. */
typedef struct gbd_load_entry
{
  gbd_slot_t slot;
  uint32_t new_flows;
  uint32_t open_flows;
  uint32_t kilobytes;
} gbd_load_entry_t;

/** Free what the message owns, not the message itself. */
void gbd_message_clear (gbd_message_t *message);

/** Encode with the length prefix.
 *  @return malloc'd bytes; NULL when memory is short or a bound is passed.
 */
uint8_t *gbd_message_encode (const gbd_message_t *message, size_t *length);

/** Decode the bytes after the length prefix.
 *  @return GBD_OK; GBD_ERROR_FORMAT for anything malformed, out of bounds or
 *  deeper than the format; an unknown type is GBD_ERROR_NOT_FOUND and is
 *  to be skipped.  The caller clears the message after GBD_OK. */
gbd_status_t gbd_message_decode (const uint8_t *bytes, size_t length,
                                 gbd_message_t *message);

/** Purpose of a packet passed between instances. */
typedef enum
{
  GBD_SHIM_OPEN = 1, /**< register along the chain, then deliver */
  GBD_SHIM_LOOKUP,   /**< deliver by registration, or to the default */
  GBD_SHIM_RELAY     /**< handle as if it came from the fabric */
} gbd_shim_kind_t;

/** Header before a packet that one instance passes to another. */
typedef struct
{
  uint8_t kind;             /**< gbd_shim_kind_t */
  uint8_t hops;             /**< instances passed so far */
  gbd_slot_t slot;          /**< OPEN: decided by the first keeper;
                                 GBD_SLOT_NONE before */
  gbd_instance_id_t origin; /**< where the fabric delivered it */
  uint64_t version;         /**< table version of the sender */
} gbd_shim_t;

#define GBD_SHIM_LENGTH 32
#define GBD_HOPS_MAX 6

/** Write a shim, authenticated together with the packet's first bytes by the
 *  group's key (SipHash-2-4).
 *  @param bytes at least GBD_SHIM_LENGTH, directly before the packet */
void gbd_shim_encode (const gbd_shim_t *shim, const uint8_t key[16],
                      const uint8_t *packet, size_t packet_length,
                      uint8_t *bytes);

/** Read and check a shim.
 *  @return GBD_OK or GBD_ERROR_FORMAT. */
gbd_status_t gbd_shim_decode (const uint8_t *bytes, size_t length,
                              const uint8_t key[16], gbd_shim_t *shim);

GBD_END_DECLS
#endif
