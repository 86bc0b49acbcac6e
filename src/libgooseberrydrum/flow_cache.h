/** @file flow_cache.h
 *  Flow cache of one instance, with a fixed number of entries.
 *
 *  Each flow maps to two sets of eight entries.  When both are full, one of
 *  their flows is moved to its other set.  If those sets are full as well,
 *  one flow is replaced: a pending or closed one first, then one that is
 *  idle past the limit of its service, then the least recently used one.
 *  Only the last case is an eviction. */
#ifndef LIBGOOSEBERRYDRUM_FLOW_CACHE_H
#define LIBGOOSEBERRYDRUM_FLOW_CACHE_H

#include "gooseberrydrum/message.h"

/** Flags of a cached flow. */
#define GBD_CACHED_USED 1u     /**< the entry holds a flow */
#define GBD_CACHED_OPENED 2u   /**< this instance opened the flow */
#define GBD_CACHED_CLOSED 4u   /**< the caller sent FIN or RST */
#define GBD_CACHED_SEQUENCE 8u /**< `sequence` is set */
/** This instance counts the flow against the plan of its customer. */
#define GBD_CACHED_ADMITTED 16u
/** This instance has forwarded a packet of the flow that is not an opening
 *  packet. */
#define GBD_CACHED_ESTABLISHED 32u

/** One cached flow.  `slot` is GBD_SLOT_NONE if the opening packet was passed
 *  to a replica and this instance does not know which slot the replica
 *  chose. */
typedef struct
{
  gbd_flow_hash_t hash;
  uint32_t seen_ms; /**< time of the last packet, modulo 2^32 ms */
  uint16_t service; /**< index of the service in the engine */
  gbd_slot_t slot;
  uint16_t slot_epoch; /**< epoch of the slot when the flow was cached */
  uint16_t sequence;   /**< low bits of the opening packet's sequence
                            number, to recognize retransmissions */
  uint16_t packets;    /**< packets forwarded; stops at UINT16_MAX */
  uint8_t flags;
} gbd_cached_flow_t;

typedef struct gbd_flow_cache gbd_flow_cache_t;

/** Create an empty flow cache.
 *  @param capacity number of flows, a power of two, at least 16
 *  @return NULL when memory is short. */
gbd_flow_cache_t *gbd_flow_cache_new (uint32_t capacity);
void gbd_flow_cache_delete (gbd_flow_cache_t *cache);

/** Set the idle limit of a service: a flow that has been idle for longer is
 *  replaced before other open flows. */
void gbd_flow_cache_set_idle_limit (gbd_flow_cache_t *cache, uint16_t service,
                                    uint32_t idle_ms);

/** Find a flow.
 *  @return NULL if it is not cached. */
gbd_cached_flow_t *gbd_flow_cache_find (const gbd_flow_cache_t *cache,
                                        gbd_flow_hash_t hash,
                                        uint16_t service);

/** Prefetch the entries that may hold the flows with the given hashes.  Most
 *  of the cost of a search is memory latency, which a batch of prefetches
 *  incurs only once. */
void gbd_flow_cache_prefetch (const gbd_flow_cache_t *cache,
                              const gbd_flow_hash_t *hashes, uint32_t count);

/** Find or insert a flow, without an allocation.  Pointers to other flows are
 *  invalid afterwards.
 *  @param replaced set to the flow that was replaced; its flags are 0 if no
 *  flow was replaced */
gbd_cached_flow_t *gbd_flow_cache_insert (gbd_flow_cache_t *cache,
                                          gbd_flow_hash_t hash,
                                          uint16_t service, gbd_time_t now,
                                          gbd_cached_flow_t *replaced);

void gbd_flow_cache_remove (gbd_flow_cache_t *cache, gbd_cached_flow_t *flow);

/** Whether the last packet of a flow is older than the idle limit of its
 *  service. */
bool gbd_flow_cache_is_idle (const gbd_flow_cache_t *cache,
                             const gbd_cached_flow_t *flow, gbd_time_t now);

/** Milliseconds since the last packet of a flow. */
uint32_t gbd_flow_cache_get_age_ms (const gbd_cached_flow_t *flow,
                                    gbd_time_t now);

/** Get an entry by index, for sweeps over all entries; the entry may be free.
 *  @param index below the capacity */
gbd_cached_flow_t *gbd_flow_cache_at (const gbd_flow_cache_t *cache,
                                      uint32_t index);
uint32_t gbd_flow_cache_get_capacity (const gbd_flow_cache_t *cache);
uint32_t gbd_flow_cache_get_count (const gbd_flow_cache_t *cache);
uint64_t gbd_flow_cache_get_evictions (const gbd_flow_cache_t *cache);

/** Time of the last eviction; GBD_TIME_NEVER if there was none. */
gbd_time_t gbd_flow_cache_get_loss_free_since (const gbd_flow_cache_t *cache);

#endif
