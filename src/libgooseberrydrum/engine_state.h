/** @file engine_state.h
 *  Internal state of an engine, shared by its source files.
 */
#ifndef LIBGOOSEBERRYDRUM_ENGINE_STATE_H
#define LIBGOOSEBERRYDRUM_ENGINE_STATE_H

#include "flow_cache.h"
#include "gooseberrydrum/engine.h"
#include "registry.h"

/** Initial capacity of the queue of flow updates, which
 *  gbd_engine_take_updates() empties. */
#define GBD_FLOW_UPDATES_INITIAL 8192u

/** State of one service.  Its index stays the same when the catalog is
 *  replaced. */
typedef struct
{
  gbd_service_id_t id;         /**< 0 while the entry is free */
  gbd_service_handle_t handle; /**< in the current catalog */
  uint32_t customer;
  bool is_complete; /**< all registrations and exceptions have been copied */
  bool is_not_authoritative; /**< this instance, as a replica, may not
                                  report "not registered" */
  gbd_table_t *table;
  gbd_registry_t *registered; /**< NULL until the first registration */
  gbd_registry_t *exceptions; /**< NULL until the first exception */
  uint32_t registered_cursor; /**< registry entry to examine next in a sweep */
  uint32_t exception_cursor;  /**< registry entry to examine next in a sweep */
  uint32_t slot_count;   /**< entries of slot_epochs, loads and draining_at */
  uint16_t *slot_epochs; /**< incremented when a slot gets another backend
                              server */
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
  uint8_t kind; /**< gbd_flows_kind_t */
} gbd_flow_update_t;

/** Token bucket that limits the rate of flow hints.  The number of packets
 *  after which a hint is sent for a flow adapts to the demand. */
typedef struct
{
  int64_t tokens; /**< millionths of a hint */
  gbd_time_t refilled_at;
  uint16_t threshold; /**< packets */
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

/** Find the index of a service by identifier; UINT16_MAX if there is none. */
uint16_t gbd_engine_find_index (const gbd_engine_t *engine,
                                gbd_service_id_t id);

/** Lease of this instance at the given time. */
gbd_lease_t gbd_engine_get_lease (const gbd_engine_t *engine, gbd_time_t now);

/** Whether this instance belongs to a majority at the given time; otherwise
 *  it must not register flows. */
bool gbd_engine_has_majority (const gbd_engine_t *engine, gbd_time_t now);

/** Whether an instance is reachable now. */
bool gbd_engine_is_reachable (const gbd_engine_t *engine,
                              gbd_instance_id_t id);

/** State of a slot's backend server; GBD_BACKEND_GONE when the table has no
 *  such slot. */
gbd_backend_state_t gbd_engine_get_slot_state (const gbd_table_t *table,
                                               gbd_slot_t slot);

/** Find a cached flow; NULL if there is none or its slot has been assigned to
 *  another backend server since. */
gbd_cached_flow_t *gbd_engine_find_cached (const gbd_engine_t *engine,
                                           uint16_t index,
                                           gbd_flow_hash_t hash);

/** Cache the backend server of a flow; updates the counters for the flow
 *  that it replaces. */
gbd_cached_flow_t *gbd_engine_cache_flow (gbd_engine_t *engine, uint16_t index,
                                          gbd_flow_hash_t hash,
                                          gbd_slot_t slot, gbd_time_t now);

/** Update the counters for the end of a cached flow; its cache entry
 *  remains. */
void gbd_engine_end_cached_flow (gbd_engine_t *engine, gbd_cached_flow_t *flow,
                                 gbd_flow_end_t end, gbd_time_t now);

/** Whether a cached flow is idle past its limit, or closed and past its
 *  linger time. */
bool gbd_engine_is_cached_flow_expired (const gbd_engine_t *engine,
                                        const gbd_cached_flow_t *flow,
                                        gbd_time_t now);

/** List the off-target flows known here: open flows that are not on the
 *  target of their bucket, which is SETTLING in the table.  Exceptions that an
 *  instance has broadcast are left out. */
void gbd_engine_visit_off_target (const gbd_engine_t *engine, uint16_t index,
                                  const gbd_table_t *table, gbd_time_t now,
                                  gbd_flow_visit_t visit, void *data);

/** Mark an exception as closed and queue the update for every reachable
 *  instance. */
void gbd_engine_close_exception (gbd_engine_t *engine, uint16_t index,
                                 gbd_flow_hash_t hash, gbd_time_t now);

/** Return the registry, after creating it if it does not exist.
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

/** Adapt registrations, exceptions and slot epochs to a table that is about
 *  to be installed. */
gbd_status_t gbd_engine_apply_table (gbd_engine_t *engine, uint16_t index,
                                     const gbd_table_t *table, gbd_time_t now);

#endif
