/** @file engine_state.h
 *  Internal state of an engine, shared by its source files.
 */
#ifndef LIBGOOSEBERRYDRUM_ENGINE_STATE_H
#define LIBGOOSEBERRYDRUM_ENGINE_STATE_H

#include "flow_cache.h"
#include "gooseberrydrum/engine.h"
#include "registry.h"

/** Initial capacity, in flow updates, of the queue that
 *  gbd_engine_take_updates() empties.  The queue grows only for the flows that
 *  an instance has missed during a partition. */
#define GBD_FLOW_UPDATES_INITIAL 8192u

/** State of one service.  The index of a service in `services` stays the same
 *  when the catalog is replaced. */
typedef struct
{
  gbd_service_id_t id;         /**< 0 while the entry is free */
  gbd_service_handle_t handle; /**< of the service in the current catalog */
  uint32_t customer;
  bool is_complete; /**< this instance has copied all registrations and
                         exceptions of the service */
  bool is_not_authoritative; /**< this instance, as a replica, may not
                                  report "not registered" */
  gbd_table_t *table;
  gbd_registry_t *registered; /**< NULL until the first registration */
  gbd_registry_t *exceptions; /**< NULL until the first exception */
  uint32_t registered_cursor; /**< entry of `registered` to examine next */
  uint32_t exception_cursor;  /**< entry of `exceptions` to examine next */
  uint32_t slot_count;   /**< entries of slot_epochs, loads and draining_at */
  uint16_t *slot_epochs; /**< per slot; incremented when the slot gets another
                              backend server */
  gbd_backend_load_t *loads;
  gbd_time_t *draining_at; /**< time at which each draining slot began to
                                drain */
} gbd_engine_service_t;

/** Flow entry queued for another instance. */
typedef struct
{
  gbd_instance_id_t to;
  gbd_flow_entry_t entry;
  uint16_t service;
  uint8_t kind; /**< a gbd_flows_kind_t */
} gbd_flow_update_t;

/** Token bucket that limits the rate of flow hints.  A hint is sent for a flow
 *  after a number of packets that adapts to the tokens left. */
typedef struct
{
  int64_t tokens; /**< each worth a millionth of a hint */
  gbd_time_t refilled_at;
  uint16_t threshold; /**< packets of a flow before a hint */
} gbd_hint_limiter_t;

struct gbd_engine
{
  gbd_engine_settings_t settings;
  const gbd_catalog_t *catalog;
  /** For each service handle of the catalog, its index in `services`. */
  uint16_t *service_indexes;
  uint32_t service_count;
  gbd_engine_service_t *services; /**< GBD_SERVICES_MAX entries */
  gbd_flow_cache_t *cache;
  gbd_lease_t lease;
  gbd_time_t lease_until;
  bool has_majority;
  gbd_time_t majority_until;
  bool is_joined;
  gbd_member_t reachable[GBD_INCARNATIONS_MAX];
  uint32_t reachable_count;
  const gbd_admission_t *admission;
  void *admission_data;
  gbd_hint_limiter_t hint_limiter;
  uint32_t update_count;
  uint32_t update_capacity;
  gbd_flow_update_t *updates;
  uint32_t expire_cursor;
  gbd_engine_stats_t stats;
};

/** Find the index in `services` of the service with an identifier; UINT16_MAX
 *  if there is none. */
uint16_t gbd_engine_find_index (const gbd_engine_t *engine,
                                gbd_service_id_t id);

/** Get the lease that this instance holds at a time. */
gbd_lease_t gbd_engine_get_lease (const gbd_engine_t *engine, gbd_time_t now);

/** Whether this instance belongs to a majority at a time.  Without a majority
 *  it must not register flows of moving buckets. */
bool gbd_engine_has_majority (const gbd_engine_t *engine, gbd_time_t now);

/** Whether an instance is reachable from this one. */
bool gbd_engine_is_reachable (const gbd_engine_t *engine,
                              gbd_instance_id_t id);

/** Get the state of the backend server of a slot; GBD_BACKEND_GONE if the
 *  table does not have the slot. */
gbd_backend_state_t gbd_engine_get_slot_state (const gbd_table_t *table,
                                               gbd_slot_t slot);

/** Find a flow in the flow cache; NULL if it is not cached, or if its slot has
 *  got another backend server since it was cached. */
gbd_cached_flow_t *gbd_engine_find_cached (const gbd_engine_t *engine,
                                           uint16_t index,
                                           gbd_flow_hash_t hash);

/** Cache the slot of a flow.  If another flow is replaced in the flow cache,
 *  the counters of open flows are updated for its end. */
gbd_cached_flow_t *gbd_engine_cache_flow (gbd_engine_t *engine, uint16_t index,
                                          gbd_flow_hash_t hash,
                                          gbd_slot_t slot, gbd_time_t now);

/** Update the counters of open flows for the end of a cached flow; the flow
 *  stays in the flow cache. */
void gbd_engine_end_cached_flow (gbd_engine_t *engine, gbd_cached_flow_t *flow,
                                 gbd_flow_end_t end, gbd_time_t now);

/** Whether a cached flow has been idle for longer than its service allows, or
 *  is closed and its linger time is over. */
bool gbd_engine_is_cached_flow_expired (const gbd_engine_t *engine,
                                        const gbd_cached_flow_t *flow,
                                        gbd_time_t now);

/** Visit the off-target flows that this instance knows: open flows of buckets
 *  that are SETTLING in the table, which are not on their bucket's target.
 *  Exceptions that were already broadcast are left out. */
void gbd_engine_visit_off_target_of_table (const gbd_engine_t *engine,
                                           uint16_t index,
                                           const gbd_table_t *table,
                                           gbd_time_t now,
                                           gbd_flow_visit_t visit, void *data);

/** Mark the exception of a flow as closed and queue a flow update about it for
 *  every reachable instance. */
void gbd_engine_close_exception (gbd_engine_t *engine, uint16_t index,
                                 gbd_flow_hash_t hash, gbd_time_t now);

/** Return the registry at `*registry`, after creating it if it is NULL.
 *  @return NULL when memory is short. */
gbd_registry_t *gbd_engine_ensure_registry (const gbd_engine_t *engine,
                                            gbd_registry_t **registry);

/** Queue a flow update for another instance; it is discarded when the queue
 *  is full. */
void gbd_engine_queue_update (gbd_engine_t *engine, gbd_instance_id_t to,
                              uint16_t index, gbd_flows_kind_t kind,
                              gbd_flow_hash_t hash, gbd_slot_t slot);

/** Remove a service with its table, flows and registrations. */
void gbd_engine_remove_service (gbd_engine_t *engine, uint16_t index);

/** Adapt the registrations, exceptions and slot epochs of a service to a table
 *  that is about to be installed. */
gbd_status_t gbd_engine_apply_table (gbd_engine_t *engine, uint16_t index,
                                     const gbd_table_t *table, gbd_time_t now);

#endif
