/** @file registry.h
 *  A bounded hash table from flows to the slots of their backend servers: the
 *  registrations or the exceptions of one service.
 *
 *  Entries merge by union.  If two copies name different slots for a flow,
 *  the lower slot wins, so that merging is commutative, associative and
 *  idempotent; a correction replaces an entry.  A closed flow remains for
 *  GBD_REGISTRY_LINGER_MS, because the backend server may still send data that
 *  the caller acknowledges.
 */
#ifndef LIBGOOSEBERRYDRUM_REGISTRY_H
#define LIBGOOSEBERRYDRUM_REGISTRY_H

#include "gooseberrydrum/message.h"

#define GBD_REGISTERED_USED 1u
#define GBD_REGISTERED_CLOSED 2u
/** Flag: this instance opened the flow without a full lease. */
#define GBD_REGISTERED_LOCAL 4u
/** Flag: the exception was sent to all members, by this or another instance,
 *  under the current table version. */
#define GBD_REGISTERED_BROADCAST 8u

/** Time without a packet after which a closed flow is removed. */
#define GBD_REGISTRY_LINGER_MS 60000u

typedef struct
{
  gbd_flow_hash_t hash;
  uint32_t seen_ms; /**< time of the last packet or merge, modulo 2^32 ms */
  gbd_slot_t slot;
  uint8_t flags;
} gbd_registered_flow_t;

typedef struct gbd_registry gbd_registry_t;

/** @param flow_count_max most flows stored; the memory is allocated at once
 *  @return NULL when memory is short. */
gbd_registry_t *gbd_registry_new (uint32_t flow_count_max);
void gbd_registry_delete (gbd_registry_t *registry);

/** Find a flow.  A NULL registry is empty.
 *  @return the flow, valid until the next change, or NULL if it is not
 *  stored. */
gbd_registered_flow_t *gbd_registry_find (const gbd_registry_t *registry,
                                          gbd_flow_hash_t hash);

/** Merge one entry by union.
 *  @return GBD_ERROR_MEMORY when the registry is full. */
gbd_status_t gbd_registry_merge (gbd_registry_t *registry,
                                 gbd_flow_hash_t hash, gbd_slot_t slot,
                                 gbd_time_t now);

/** Set the slot of a flow, replacing any previous one; the flow is open
 *  afterwards.
 *  @return GBD_ERROR_MEMORY when the registry is full. */
gbd_status_t gbd_registry_set (gbd_registry_t *registry, gbd_flow_hash_t hash,
                               gbd_slot_t slot, gbd_time_t now);

/** Mark a flow as closed by its caller, if it is stored. */
void gbd_registry_close (gbd_registry_t *registry, gbd_flow_hash_t hash,
                         gbd_time_t now);

/** Update the time of a flow's last packet. */
void gbd_registry_refresh (gbd_registered_flow_t *flow, gbd_time_t now);

/** Remove the flows for which is_removable returns true.  Examines a bounded
 *  number of entries.
 *  @param cursor index to continue from, kept by the caller
 *  @param entry_count_max most entries to examine */
void gbd_registry_sweep (
    gbd_registry_t *registry, uint32_t *cursor, uint32_t entry_count_max,
    bool (*is_removable) (void *data, const gbd_registered_flow_t *flow),
    void *data);

/** Clear a flag in the entries of all flows. */
void gbd_registry_clear_flag (gbd_registry_t *registry, uint8_t flag);

/** Whether a flow is closed and no packet of it was recorded for
 *  GBD_REGISTRY_LINGER_MS. */
bool gbd_registry_is_expired (const gbd_registered_flow_t *flow,
                              gbd_time_t now);

/** Whether a flow is stored or can be added; a NULL registry is empty. */
bool gbd_registry_has_capacity (const gbd_registry_t *registry,
                                gbd_flow_hash_t hash);

/** Access an entry by index; it may be unused. */
const gbd_registered_flow_t *gbd_registry_at (const gbd_registry_t *registry,
                                              uint32_t index);
uint32_t gbd_registry_get_capacity (const gbd_registry_t *registry);
uint32_t gbd_registry_get_count (const gbd_registry_t *registry);

#endif
