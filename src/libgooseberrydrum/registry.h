/** @file registry.h
 *  A bounded set of facts "this flow is on this backend server" of one
 *  service: its registrations, or its exceptions.
 *
 *  Facts merge by union.  Should two copies name different slots for a flow,
 *  the lower slot wins, so that merging is commutative, associative and
 *  idempotent; a correction replaces.  A closed flow stays for a while, as
 *  the other side may still send and the caller still acknowledge.
 */
#ifndef LIBGOOSEBERRYDRUM_REGISTRY_H
#define LIBGOOSEBERRYDRUM_REGISTRY_H

#include "gooseberrydrum/message.h"

#define GBD_REGISTERED_USED 1u
#define GBD_REGISTERED_CLOSED 2u
#define GBD_REGISTERED_LOCAL 4u /**< opened here while out of full touch */
#define GBD_REGISTERED_TOLD                                                   \
  8u /**< told by another instance to all others                              \
          under the table in force */

/** Time without a packet after which a closed flow is forgotten. */
#define GBD_REGISTRY_LINGER_MS 60000u

typedef struct
{
  gbd_flow_hash_t hash;
  uint32_t seen_ms; /**< last packet or merge, modulo 2^32 ms */
  gbd_slot_t slot;
  uint8_t flags;
} gbd_registered_flow_t;

typedef struct gbd_registry gbd_registry_t;

/** @param bound most flows held; the memory is reserved at once
 *  @return NULL when memory is short. */
gbd_registry_t *gbd_registry_new (uint32_t bound);
void gbd_registry_delete (gbd_registry_t *registry);

/** @return the flow or NULL; valid until the next change.  NULL is an empty
 *  registry. */
gbd_registered_flow_t *gbd_registry_find (const gbd_registry_t *registry,
                                          gbd_flow_hash_t hash);

/** Merge one fact by union.
 *  @return GBD_ERROR_MEMORY at the bound. */
gbd_status_t gbd_registry_merge (gbd_registry_t *registry,
                                 gbd_flow_hash_t hash, gbd_slot_t slot,
                                 gbd_time_t now);

/** Set a fact, replacing a former one; the flow is open afterwards.
 *  @return GBD_ERROR_MEMORY at the bound. */
gbd_status_t gbd_registry_set (gbd_registry_t *registry, gbd_flow_hash_t hash,
                               gbd_slot_t slot, gbd_time_t now);

/** Note that the caller has closed a flow, if it is held. */
void gbd_registry_close (gbd_registry_t *registry, gbd_flow_hash_t hash,
                         gbd_time_t now);

/** Note a packet of a flow. */
void gbd_registry_touch (gbd_registered_flow_t *flow, gbd_time_t now);

/** Remove flows for which the function says so; examines a bounded number of
 *  places.
 *  @param cursor place to go on from, kept by the caller
 *  @param places most places to examine */
void gbd_registry_sweep (gbd_registry_t *registry, uint32_t *cursor,
                         uint32_t places,
                         bool (*is_due) (void *data,
                                         const gbd_registered_flow_t *flow),
                         void *data);

/** Clear a flag of all flows. */
void gbd_registry_clear_flag (gbd_registry_t *registry, uint8_t flag);

/** Whether a closed flow has had no packet for the linger time. */
bool gbd_registry_is_over (const gbd_registered_flow_t *flow, gbd_time_t now);

/** Whether a flow is held or could be added; NULL is an empty registry. */
bool gbd_registry_has_room (const gbd_registry_t *registry,
                            gbd_flow_hash_t hash);

/** Place by place access; the flow may be unused. */
const gbd_registered_flow_t *gbd_registry_at (const gbd_registry_t *registry,
                                              uint32_t index);
uint32_t gbd_registry_get_capacity (const gbd_registry_t *registry);
uint32_t gbd_registry_get_count (const gbd_registry_t *registry);

#endif
