/** @file flow_cache.h
 *  The flows that one instance knows, in a fixed number of places.
 *
 *  A flow may stand in two sets of eight places.  When both are full, one of
 *  their flows moves to its own other set; when these are full as well one
 * flow gives way: a pending or closed one first, then one idle past its
 * service's limit, then the one seen least recently.  Only the last is an
 * eviction.
 */
#ifndef LIBGOOSEBERRYDRUM_FLOW_CACHE_H
#define LIBGOOSEBERRYDRUM_FLOW_CACHE_H

#include "gooseberrydrum/message.h"

/** Flags of a cached flow. */
#define GBD_CACHED_USED 1u      /**< the place holds a flow */
#define GBD_CACHED_OPENED 2u    /**< this instance opened it */
#define GBD_CACHED_CLOSED 4u    /**< the caller sent FIN or RST */
#define GBD_CACHED_SEQUENCE 8u  /**< sequence is that of the opening packet */
#define GBD_CACHED_ADMITTED 16u /**< the limits count it here */
#define GBD_CACHED_LATER 32u    /**< a packet after the opening one was seen */

/** One flow; slot is GBD_SLOT_NONE while its opening packet was passed to a
 *  keeper and the answer is not known here. */
typedef struct
{
  gbd_flow_hash_t hash;
  uint32_t seen_ms; /**< last packet, modulo 2^32 ms */
  uint16_t service; /**< index of the engine */
  gbd_slot_t slot;
  uint16_t life;     /**< life of the slot */
  uint16_t sequence; /**< low bits, to tell a repeated opening packet */
  uint16_t packets;  /**< stops at its maximum */
  uint8_t flags;
} gbd_cached_flow_t;

typedef struct gbd_flow_cache gbd_flow_cache_t;

/** @param capacity flows, a power of two, at least 16
 *  @return NULL when memory is short. */
gbd_flow_cache_t *gbd_flow_cache_new (uint32_t capacity);
void gbd_flow_cache_delete (gbd_flow_cache_t *cache);

/** Idle limit of a service, for the choice of what gives way. */
void gbd_flow_cache_set_idle_limit (gbd_flow_cache_t *cache, uint16_t service,
                                    uint32_t idle_ms);

/** @return the flow or NULL. */
gbd_cached_flow_t *gbd_flow_cache_find (const gbd_flow_cache_t *cache,
                                        gbd_flow_hash_t hash,
                                        uint16_t service);

/** Load the places that may hold flows into the processor's caches: most of
 *  the cost of a search is waiting for memory, and a batch waits once. */
void gbd_flow_cache_prefetch (const gbd_flow_cache_t *cache,
                              const gbd_flow_hash_t *hashes, uint32_t count);

/** Find a flow or make a place for it, without an allocation.  Pointers to
 *  other flows are not valid afterwards.
 *  @param former set to the flow that gave way; flags 0 if none did */
gbd_cached_flow_t *gbd_flow_cache_insert (gbd_flow_cache_t *cache,
                                          gbd_flow_hash_t hash,
                                          uint16_t service, gbd_time_t now,
                                          gbd_cached_flow_t *former);

void gbd_flow_cache_remove (gbd_flow_cache_t *cache, gbd_cached_flow_t *flow);

/** Whether a flow had no packet for its service's idle limit. */
bool gbd_flow_cache_is_idle (const gbd_flow_cache_t *cache,
                             const gbd_cached_flow_t *flow, gbd_time_t now);

/** Milliseconds since the last packet of a flow. */
uint32_t gbd_flow_cache_get_age_ms (const gbd_cached_flow_t *flow,
                                    gbd_time_t now);

/** Place by place access, for sweeps; the flow may be unused.
 *  @param index below the capacity */
gbd_cached_flow_t *gbd_flow_cache_at (const gbd_flow_cache_t *cache,
                                      uint32_t index);
uint32_t gbd_flow_cache_get_capacity (const gbd_flow_cache_t *cache);
uint32_t gbd_flow_cache_get_count (const gbd_flow_cache_t *cache);
uint64_t gbd_flow_cache_get_evictions (const gbd_flow_cache_t *cache);

/** Time of the last eviction, GBD_TIME_NEVER if there was none. */
gbd_time_t gbd_flow_cache_get_covered_since (const gbd_flow_cache_t *cache);

#endif
