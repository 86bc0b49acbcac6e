/** @file table.h
 *  The bucket table of one service: a sequence of versions that is stored as
 *  one object of the platform and extended by conditional update.
 *
 *  Version v+1 is written only when every instance that handles packets has
 *  confirmed version v or must know by its own clock that its lease has
 *  expired.  So the instances that hold a lease have version v or v+1, and
 *  every step below is safe between these two.
 *
 *  A bucket that moves from backend server x to y takes these phases:
 *
 *    phase      opening packet        later packet of an unknown flow
 *    STABLE     x, no registration    x
 *    ANNOUNCED  replicas register x   first replica; unregistered means x
 *    ACTIVE     replicas register y   first replica; unregistered means x
 *    SETTLING   as ACTIVE; members exchange their flows that are not on y
 *    INVERTED   replicas register y   exception list, else y
 *    STABLE     y, no registration    exception list, else y
 *
 *  A registration names the backend server of one flow of a moving bucket; the
 *  replicas of the bucket store it.  An exception names the backend server of
 *  an open flow that is not on the target of its bucket; all members store it.
 *
 *  An opening packet passes along the chain of replicas.  The table version of
 *  the first replica decides between x and y, so a retransmitted opening
 *  packet reaches the same backend server on every path.  While a bucket is
 *  ANNOUNCED, ACTIVE or SETTLING its target may change (the bucket then
 *  returns to ANNOUNCED or ACTIVE), because registrations name the backend
 *  server.
 *
 *  A roster change has its own steps, never in the same version as a bucket
 *  step: JOINING (register with the replicas of both rosters, look up at those
 *  of the current one), SWITCHED (register with the replicas of both, look up
 *  at those of the next one), SETTLED (only the new roster applies).
 */
#ifndef GOOSEBERRYDRUM_TABLE_H
#define GOOSEBERRYDRUM_TABLE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

typedef enum
{
  GBD_BUCKET_STABLE,
  GBD_BUCKET_ANNOUNCED,
  GBD_BUCKET_ACTIVE,
  GBD_BUCKET_SETTLING,
  GBD_BUCKET_INVERTED
} gbd_bucket_phase_t;

/** One bucket.  `from` and `to` are equal while it is STABLE.  Either is
 *  GBD_SLOT_NONE if no backend server is available for the bucket; its packets
 *  are then dropped (GBD_DROP_NO_BACKEND). */
typedef struct
{
  gbd_slot_t from; /**< backend server of unregistered flows */
  gbd_slot_t to;   /**< backend server of new flows once ACTIVE */
  uint8_t phase;   /**< gbd_bucket_phase_t */
} gbd_bucket_t;

/** State of a backend server. */
typedef enum
{
  GBD_BACKEND_READY,    /**< accepts new flows */
  GBD_BACKEND_DRAINING, /**< keeps its flows, accepts no new ones */
  GBD_BACKEND_GONE      /**< removed; packets of its flows are answered with
                             a reset */
} gbd_backend_state_t;

/** One backend server of the service.  Its slot is not reused while a bucket,
 *  registration or exception may refer to it. */
typedef struct
{
  gbd_backend_id_t id;
  gbd_address_t address; /**< address of its decapsulating socket */
  gbd_zone_id_t zone;
  uint8_t state; /**< gbd_backend_state_t */
} gbd_backend_t;

/** One member of the roster: an instance that must confirm each version. */
typedef struct
{
  gbd_instance_id_t id;
  gbd_zone_id_t zone;
} gbd_member_t;

typedef enum
{
  GBD_ROSTER_SETTLED, /**< only the current roster applies */
  GBD_ROSTER_JOINING, /**< register with the replicas of both rosters, look up
                           at the current replicas */
  GBD_ROSTER_SWITCHED /**< register with the replicas of both rosters, look up
                           at the next replicas */
} gbd_roster_phase_t;

/** One version of one service's table. */
typedef struct
{
  gbd_service_id_t service;
  uint64_t version;    /**< 1 for the first; incremented by each step */
  uint64_t generation; /**< generation of the accepted configuration that the
                            table implements */
  uint8_t roster_phase;
  uint8_t roster_count;
  uint8_t next_count; /**< 0 while GBD_ROSTER_SETTLED */
  gbd_member_t roster[GBD_ROSTER_MAX];
  gbd_member_t next[GBD_ROSTER_MAX];
  uint32_t backend_count;
  gbd_backend_t *backends;
  uint32_t bucket_count; /**< a power of two */
  gbd_bucket_t *buckets;
} gbd_table_t;

/** Maximum number of replicas of a bucket: two of each roster during a roster
 *  change. */
#define GBD_REPLICAS_MAX 4

/** Replicas of one bucket, in the order in which an opening packet visits
 *  them. */
typedef struct
{
  uint8_t count;
  gbd_instance_id_t chain[GBD_REPLICAS_MAX];
  gbd_instance_id_t lookup[2]; /**< replicas at which unknown flows are
                                    looked up, 0 if none */
} gbd_replicas_t;

/** Create a table with every bucket STABLE, spread over the ready backend
 *  servers by rendezvous hash.
 *  @param bucket_count power of two, 1 to GBD_BUCKETS_MAX
 *  @return NULL when memory is short. */
gbd_table_t *gbd_table_new (gbd_service_id_t service, uint32_t bucket_count,
                            const gbd_backend_t *backends,
                            uint32_t backend_count, const gbd_member_t *roster,
                            uint8_t roster_count);

gbd_table_t *gbd_table_copy (const gbd_table_t *table);
void gbd_table_delete (gbd_table_t *table);

/** Bucket index of a flow: the highest bits of its hash. */
uint32_t gbd_table_bucket_of (const gbd_table_t *table, gbd_flow_hash_t hash);

/** Whether unknown flows of this bucket need a lookup: registrations decide
 *  their backend server. */
bool gbd_bucket_needs_lookup (const gbd_bucket_t *bucket);

/** Whether opening packets of this bucket are registered. */
bool gbd_bucket_is_registering (const gbd_bucket_t *bucket);

/** Backend server of a new flow in this bucket. */
gbd_slot_t gbd_bucket_new_flow_slot (const gbd_bucket_t *bucket);

/** Backend server of a flow that has neither registration nor exception. */
gbd_slot_t gbd_bucket_default_slot (const gbd_bucket_t *bucket);

/** Compute the replicas of a bucket: the two members of the roster with the
 *  highest rendezvous weights, the second in another zone than the first if
 *  possible.  During a roster change the chain holds the replicas of the
 *  current and of the next roster; instances that are replicas in both come
 *  first. */
void gbd_table_get_replicas (const gbd_table_t *table, uint32_t bucket,
                             gbd_replicas_t *replicas);

bool gbd_table_has_member (const gbd_table_t *table, gbd_instance_id_t id);

/** Slot of a backend server, or GBD_SLOT_NONE. */
gbd_slot_t gbd_table_find_backend (const gbd_table_t *table,
                                   gbd_backend_id_t id);

/** Choose targets for all buckets with the fewest moves.
 *  A table whose backend servers are all within 1/64 of their share is not
 *  rebalanced; only STABLE buckets move for balance.  When memory is short no
 *  target changes.
 *  @param table current table, which includes the new backend servers
 *  @param weights one per slot, 0 to 65535; 0 receives no new flow
 *  @param move_max maximum number of buckets to move for balance; it does not
 *  limit the moves from backend servers of weight 0
 *  @param targets set to one slot per bucket, GBD_SLOT_NONE if all weights
 *  are 0
 *  @return number of buckets whose target differs from the current one. */
uint32_t gbd_table_plan (const gbd_table_t *table, const uint16_t *weights,
                         uint32_t move_max, gbd_slot_t *targets);

/** Largest text or binary form of one table, in bytes. */
#define GBD_TABLE_ENCODED_SIZE_MAX ((size_t)1 << 20)

/** Encode a table as JSON, for the platform's object.
 *  @return malloc'd text, or NULL when memory is short or the text is longer
 *  than GBD_TABLE_ENCODED_SIZE_MAX. */
char *gbd_table_to_json (const gbd_table_t *table);

/** Decode the JSON form and validate every field.
 *  @return NULL on text that is not a valid table. */
gbd_table_t *gbd_table_from_json (const char *text, size_t length);

/** Encode a table for peers (msgpack), in full or as a delta against another
 *  version of the same service.
 *  @param base base version of the delta; NULL for the full table
 *  @param length set to the length of the result in bytes
 *  @return malloc'd bytes, or NULL when memory is short. */
uint8_t *gbd_table_pack (const gbd_table_t *table, const gbd_table_t *base,
                         size_t *length);

/** Decode the binary form.
 *  @param base base version of a delta; ignored for a full table
 *  @return NULL when the bytes are malformed, when the decoded table is
 *  invalid, or when the base of a delta is missing or differs in version or
 *  content from the one against which the delta was encoded. */
gbd_table_t *gbd_table_unpack (const uint8_t *bytes, size_t length,
                               const gbd_table_t *base);

GBD_END_DECLS
#endif
