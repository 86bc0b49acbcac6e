/** @file engine_state.h
 *  What an engine holds; shared by the sources that make up the engine.
 */
#ifndef LIBGOOSEBERRYDRUM_ENGINE_STATE_H
#define LIBGOOSEBERRYDRUM_ENGINE_STATE_H

#include "flow_cache.h"
#include "gooseberrydrum/engine.h"
#include "registry.h"

/** Flows queued for other instances between two calls that take them. */
#define GBD_TOLD_MAX 8192u

/** State of one service; the index outlives catalogs. */
typedef struct
{
  gbd_service_id_t id;  /**< 0 while the place is free */
  gbd_service_t handle; /**< in the catalog in force */
  uint32_t customer;
  bool is_complete;
  bool is_claimless; /**< a keeper may not say "not registered" */
  gbd_table_t *table;
  gbd_registry_t *registered; /**< NULL until the first one */
  gbd_registry_t *exceptions; /**< NULL until the first one */
  uint32_t registered_cursor;
  uint32_t exception_cursor;
  uint32_t slot_count; /**< entries of lives and loads */
  uint16_t *lives;     /**< grows when a slot gets another backend server */
  gbd_backend_load_t *loads;
  gbd_time_t *draining_at; /**< of each slot that drains */
} gbd_engine_service_t;

/** One flow to be told to another instance. */
typedef struct
{
  gbd_instance_id_t to;
  gbd_flow_entry_t entry;
  uint16_t service;
  uint8_t kind; /**< gbd_flows_kind_t */
} gbd_told_t;

/** Token bucket of LEARNED and CLOSED entries; the threshold of packets from
 *  which a flow is worth an entry follows the demand. */
typedef struct
{
  int64_t tokens; /**< millionths of an entry */
  gbd_time_t refilled_at;
  uint16_t threshold;
} gbd_teaching_t;

struct gbd_engine
{
  gbd_engine_settings_t settings;
  const gbd_catalog_t *catalog;
  uint16_t *index_of; /**< service index of each handle of the catalog */
  uint32_t service_count;
  gbd_engine_service_t *services; /**< GBD_SERVICES_MAX places */
  gbd_flow_cache_t *cache;
  gbd_touch_t touch;
  gbd_time_t touch_until;
  bool has_majority;
  gbd_time_t majority_until;
  bool is_joined;
  gbd_member_t live[GBD_LIVES_MAX];
  uint32_t live_count;
  const gbd_admission_t *admission;
  void *admission_data;
  gbd_teaching_t teaching;
  uint32_t told_count;
  uint32_t told_capacity;
  gbd_told_t *told;
  uint32_t expire_cursor;
  gbd_engine_stats_t stats;
};

/** Index of a service by identifier, or UINT16_MAX. */
uint16_t gbd_engine_find_index (const gbd_engine_t *engine,
                                gbd_service_id_t id);

/** How far this instance may speak at a time. */
gbd_touch_t gbd_engine_get_touch (const gbd_engine_t *engine, gbd_time_t now);

/** Whether this instance may register flows at a time. */
bool gbd_engine_has_majority (const gbd_engine_t *engine, gbd_time_t now);

/** Whether an instance is heard now. */
bool gbd_engine_is_live (const gbd_engine_t *engine, gbd_instance_id_t id);

/** State of a service's slot; GONE when the table does not have it. */
gbd_backend_state_t gbd_engine_get_slot_state (const gbd_table_t *table,
                                               gbd_slot_t slot);

/** Cached flow of this life of its slot, or NULL. */
gbd_cached_flow_t *gbd_engine_find_cached (const gbd_engine_t *engine,
                                           uint16_t index,
                                           gbd_flow_hash_t hash);

/** Cache a fact in a place of its own; accounts for what gives way. */
gbd_cached_flow_t *gbd_engine_cache (gbd_engine_t *engine, uint16_t index,
                                     gbd_flow_hash_t hash, gbd_slot_t slot,
                                     gbd_time_t now);

/** Account for the end of a cached flow; the place stays. */
void gbd_engine_end_cached (gbd_engine_t *engine, gbd_cached_flow_t *flow,
                            gbd_flow_end_t end, gbd_time_t now);

/** Whether a cached flow is idle past the limit, or closed and lingered. */
bool gbd_engine_is_cached_over (const gbd_engine_t *engine,
                                const gbd_cached_flow_t *flow, gbd_time_t now);

/** List the flows known here that are not on the target of buckets which
 *  settle in a table; not those that another instance has told. */
void gbd_engine_visit_behind (const gbd_engine_t *engine, uint16_t index,
                              const gbd_table_t *table, gbd_time_t now,
                              gbd_flow_visit_t visit, void *data);

/** Close an exception here and tell every live instance. */
void gbd_engine_close_exception (gbd_engine_t *engine, uint16_t index,
                                 gbd_flow_hash_t hash, gbd_time_t now);

/** Registry to write to, made when it is missing; NULL if memory is short. */
gbd_registry_t *gbd_engine_need_registry (const gbd_engine_t *engine,
                                          gbd_registry_t **registry);

/** Queue a flow for another instance; lost when the queue is full. */
void gbd_engine_tell (gbd_engine_t *engine, gbd_instance_id_t to,
                      uint16_t index, gbd_flows_kind_t kind,
                      gbd_flow_hash_t hash, gbd_slot_t slot);

/** Remove all that a service holds about flows. */
void gbd_engine_forget_service (gbd_engine_t *engine, uint16_t index);

/** Adjust registrations, exceptions and lives to a table that takes force. */
gbd_status_t gbd_engine_adopt_table (gbd_engine_t *engine, uint16_t index,
                                     const gbd_table_t *table, gbd_time_t now);

#endif
