/** @file table.h
 *  The bucket table of one service: a chain of versions, kept as one object
 *  of the platform and extended by conditional update.
 *
 *  Version v+1 is written only when every instance that handles packets has
 *  confirmed version v or must know by its own clock that it is out of touch.
 *  So instances hold v or v+1, and every step below is safe between the two.
 *
 *  A bucket that moves from backend server x to y takes these phases:
 *
 *    phase      opening packet        unknown later packet
 *    STABLE     x, no registration    x
 *    ANNOUNCED  keepers register x    first keeper; unregistered means x
 *    ACTIVE     keepers register y    first keeper; unregistered means x
 *    SETTLING   as ACTIVE; members exchange their flows that are not on y
 *    INVERTED   keepers register y    exception list, else y
 *    STABLE     y, no registration    exception list, else y
 *
 *  The first keeper's version decides between x and y, so a repeated opening
 *  packet reaches one backend server whichever instances it passes.
 *  While a bucket is ANNOUNCED, ACTIVE or SETTLING its target may change
 *  (back to ANNOUNCED or ACTIVE): registrations name the backend server.
 *
 *  A roster change has its own steps, never in one version with a bucket
 *  step: JOINING (register with old and new keepers, ask the old), SWITCHED
 *  (register with both, ask the new), then the new roster alone.
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

/** One bucket; stable means from == to.  GBD_SLOT_NONE stands in either
 *  place when no backend server could take the bucket: such flows are
 *  dropped (GBD_DROP_NO_BACKEND). */
typedef struct
{
  gbd_slot_t from; /**< backend server of unregistered flows */
  gbd_slot_t to;   /**< backend server of new flows once ACTIVE */
  uint8_t phase;   /**< gbd_bucket_phase_t */
} gbd_bucket_t;

/** How a backend server takes part. */
typedef enum
{
  GBD_BACKEND_READY,    /**< takes new flows */
  GBD_BACKEND_DRAINING, /**< keeps its flows, takes no new ones */
  GBD_BACKEND_GONE      /**< its flows are reset to their callers */
} gbd_backend_state_t;

/** One backend server of the service; its slot never changes hands while a
 *  bucket, registration or exception may name it. */
typedef struct
{
  gbd_backend_id_t id;
  gbd_address_t address; /**< where its decapsulating socket listens */
  gbd_zone_id_t zone;
  uint8_t state; /**< gbd_backend_state_t */
} gbd_backend_t;

/** One member of the roster: an instance whose confirmation is awaited. */
typedef struct
{
  gbd_instance_id_t id;
  gbd_zone_id_t zone;
} gbd_member_t;

typedef enum
{
  GBD_ROSTER_SETTLED, /**< only roster counts */
  GBD_ROSTER_JOINING, /**< register with both, ask the present keepers */
  GBD_ROSTER_SWITCHED /**< register with both, ask the next keepers */
} gbd_roster_phase_t;

/** One version of one service's table. */
typedef struct
{
  gbd_service_id_t service;
  uint64_t version;    /**< 1 for the first; grows by one a step */
  uint64_t generation; /**< accepted configuration it was made from */
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

/** Keepers of one bucket, in the order an opening packet visits them. */
#define GBD_KEEPERS_MAX 4
typedef struct
{
  uint8_t count;
  gbd_instance_id_t chain[GBD_KEEPERS_MAX];
  gbd_instance_id_t lookup[2]; /**< where unknown packets ask, 0 if none */
} gbd_keepers_t;

/** New table with every bucket stable, spread over the ready backend servers
 *  by rendezvous hash.
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

/** Whether registrations decide for flows of this bucket. */
bool gbd_bucket_is_ambiguous (const gbd_bucket_t *bucket);

/** Whether opening packets of this bucket are registered. */
bool gbd_bucket_is_registering (const gbd_bucket_t *bucket);

/** Backend server of a new flow in this bucket. */
gbd_slot_t gbd_bucket_open_slot (const gbd_bucket_t *bucket);

/** Backend server of a flow that has neither registration nor exception. */
gbd_slot_t gbd_bucket_default_slot (const gbd_bucket_t *bucket);

/** Keepers of a bucket: the two highest of the roster by rendezvous hash,
 * the second in another zone than the first where there is one.  During a
 * roster change the chain holds the keepers of both rosters, those in both
 * first. */
void gbd_table_keepers (const gbd_table_t *table, uint32_t bucket,
                        gbd_keepers_t *keepers);

bool gbd_table_has_member (const gbd_table_t *table, gbd_instance_id_t id);

/** Slot of a backend server, or GBD_SLOT_NONE. */
gbd_slot_t gbd_table_find_backend (const gbd_table_t *table,
                                   gbd_backend_id_t id);

/** Choose targets for all buckets with the fewest moves.
 *  @param table   present table, with new backend servers already in it
 *  @param weights one a slot, 0 to 65535; 0 takes no new flow
 *  @param move_max most buckets to move for balance alone; buckets on a
 *                  backend server of weight 0 always move
 *                  A table whose backend servers are all within 1/64 of
 *                  their share is left as it is; only STABLE buckets move
 *                  for balance.
 *  @param targets set: one slot a bucket (GBD_SLOT_NONE if no weight is
 * left)
 *  @return buckets whose target differs from the present one. */
uint32_t gbd_table_plan (const gbd_table_t *table, const uint16_t *weights,
                         uint32_t move_max, gbd_slot_t *targets);

/** Bytes of the text or binary form of one table, at most. */
#define GBD_TABLE_TEXT_MAX ((size_t)1 << 20)

/** Text form for the platform's object (JSON).
 *  @return malloc'd text, or NULL when memory is short or the text passes
 *  GBD_TABLE_TEXT_MAX. */
char *gbd_table_to_json (const gbd_table_t *table);

/** Read the text form, checking every bound.
 *  @return NULL on text that is not a table. */
gbd_table_t *gbd_table_from_json (const char *text, size_t length);

/** Binary form for peers (msgpack): whole, or the difference from another
 *  version of the same service.
 *  @param base NULL for the whole table
 *  @param length set to the bytes of the result
 *  @return malloc'd bytes or NULL. */
uint8_t *gbd_table_pack (const gbd_table_t *table, const gbd_table_t *base,
                         size_t *length);

/** Read the binary form.
 *  @param base the version the difference was made from; ignored for a whole
 *  @return NULL when the bytes do not decode, or base is missing, is another
 *  version or has another content. */
gbd_table_t *gbd_table_unpack (const uint8_t *bytes, size_t length,
                               const gbd_table_t *base);

GBD_END_DECLS
#endif
