#include "engine_state.h"

#include <stdlib.h>

static bool merge_entry (gbd_engine_t *engine, uint16_t index,
                         gbd_flows_kind_t kind, const gbd_flow_entry_t *entry,
                         gbd_time_t now);
static bool merge_into_registry (const gbd_engine_t *engine,
                                 gbd_registry_t **registry,
                                 const gbd_flow_entry_t *entry,
                                 gbd_time_t now);
static void mark_broadcast (const gbd_engine_service_t *service,
                            gbd_flow_hash_t hash);
static void apply_hint (gbd_engine_t *engine, uint16_t index,
                        const gbd_flow_entry_t *entry, gbd_time_t now);
static bool apply_correction (gbd_engine_t *engine, uint16_t index,
                              const gbd_flow_entry_t *entry, gbd_time_t now);
static void close_flow (gbd_engine_t *engine, uint16_t index,
                        gbd_flow_hash_t hash, gbd_time_t now);
static void visit_registry (const gbd_registry_t *registry,
                            gbd_flow_visit_t visit, void *data);
static bool may_be_reopened_elsewhere (const gbd_table_t *table,
                                       const gbd_cached_flow_t *flow);
static bool is_off_target (const gbd_table_t *table, gbd_flow_hash_t hash,
                           gbd_slot_t slot);
static bool is_entry_off_target (const gbd_registered_flow_t *flow,
                                 const gbd_table_t *table, gbd_time_t now);
static void visit_entry (const gbd_registered_flow_t *flow,
                         gbd_flow_visit_t visit, void *data);
static int compare_updates (const void *a, const void *b);

gbd_status_t
gbd_engine_merge (gbd_engine_t *engine, gbd_service_id_t service,
                  gbd_flows_kind_t kind, const gbd_flow_entry_t *entries,
                  uint32_t count, gbd_time_t now)
{
  uint16_t index = gbd_engine_find_index (engine, service);
  if (index == UINT16_MAX)
    return GBD_ERROR_NOT_FOUND;
  for (uint32_t i = 0; i < count; i++)
    if (!merge_entry (engine, index, kind, &entries[i], now))
      return GBD_ERROR_MEMORY;
  return GBD_OK;
}

void
gbd_engine_visit_registrations (const gbd_engine_t *engine,
                                gbd_service_id_t service,
                                gbd_flow_visit_t visit, void *data)
{
  uint16_t index = gbd_engine_find_index (engine, service);
  if (index != UINT16_MAX)
    visit_registry (engine->services[index].registered, visit, data);
}

void
gbd_engine_visit_stored_exceptions (const gbd_engine_t *engine,
                                    gbd_service_id_t service,
                                    gbd_flow_visit_t visit, void *data)
{
  uint16_t index = gbd_engine_find_index (engine, service);
  if (index != UINT16_MAX)
    visit_registry (engine->services[index].exceptions, visit, data);
}

bool
gbd_engine_has_broadcast_exception (const gbd_engine_t *engine,
                                    gbd_service_id_t service,
                                    gbd_flow_hash_t hash)
{
  uint16_t index = gbd_engine_find_index (engine, service);
  if (index == UINT16_MAX)
    return false;
  const gbd_registered_flow_t *flow
      = gbd_registry_find (engine->services[index].exceptions, hash);
  return flow && (flow->flags & GBD_REGISTERED_BROADCAST);
}

void
gbd_engine_visit_off_target_flows (const gbd_engine_t *engine,
                                   gbd_service_id_t service, gbd_time_t now,
                                   gbd_flow_visit_t visit, void *data)
{
  uint16_t index = gbd_engine_find_index (engine, service);
  if (index == UINT16_MAX || !engine->services[index].table)
    return;
  gbd_engine_visit_off_target_of_table (
      engine, index, engine->services[index].table, now, visit, data);
}

void
gbd_engine_visit_off_target_of_table (const gbd_engine_t *engine,
                                      uint16_t index, const gbd_table_t *table,
                                      gbd_time_t now, gbd_flow_visit_t visit,
                                      void *data)
{
  const gbd_engine_service_t *service = &engine->services[index];
  uint32_t capacity = gbd_flow_cache_get_capacity (engine->cache);
  for (uint32_t i = 0; i < capacity; i++)
    {
      const gbd_cached_flow_t *flow = gbd_flow_cache_at (engine->cache, i);
      if (!(flow->flags & GBD_CACHED_USED) || flow->service != index
          || gbd_engine_is_cached_flow_expired (engine, flow, now)
          || gbd_engine_find_cached (engine, index, flow->hash) != flow
          || !is_off_target (table, flow->hash, flow->slot)
          || may_be_reopened_elsewhere (table, flow)
          || gbd_registry_find (service->exceptions, flow->hash))
        continue;
      gbd_flow_entry_t entry = { flow->hash, flow->slot };
      visit (data, &entry);
    }
  for (uint32_t i = 0; i < gbd_registry_get_capacity (service->registered);
       i++)
    {
      const gbd_registered_flow_t *flow
          = gbd_registry_at (service->registered, i);
      if (is_entry_off_target (flow, table, now)
          && !gbd_registry_find (service->exceptions, flow->hash))
        visit_entry (flow, visit, data);
    }
  for (uint32_t i = 0; i < gbd_registry_get_capacity (service->exceptions);
       i++)
    {
      const gbd_registered_flow_t *flow
          = gbd_registry_at (service->exceptions, i);
      if (is_entry_off_target (flow, table, now)
          && !(flow->flags & GBD_REGISTERED_BROADCAST))
        visit_entry (flow, visit, data);
    }
}

void
gbd_engine_take_updates (gbd_engine_t *engine, gbd_flow_update_visit_t visit,
                         void *data)
{
  if (engine->update_count == 0)
    return;
  qsort (engine->updates, engine->update_count, sizeof *engine->updates,
         compare_updates);
  gbd_flow_entry_t entries[GBD_FLOWS_MAX];
  uint32_t next = 0;
  while (next < engine->update_count)
    {
      const gbd_flow_update_t *first = &engine->updates[next];
      uint32_t count = 0;
      while (next < engine->update_count && count < GBD_FLOWS_MAX
             && compare_updates (first, &engine->updates[next]) == 0)
        entries[count++] = engine->updates[next++].entry;
      visit (data, first->to, engine->services[first->service].id,
             (gbd_flows_kind_t)first->kind, entries, count);
    }
  engine->update_count = 0;
}

gbd_registry_t *
gbd_engine_ensure_registry (const gbd_engine_t *engine,
                            gbd_registry_t **registry)
{
  if (!*registry)
    *registry = gbd_registry_new (engine->settings.registry_capacity);
  return *registry;
}

void
gbd_engine_close_exception (gbd_engine_t *engine, uint16_t index,
                            gbd_flow_hash_t hash, gbd_time_t now)
{
  const gbd_registry_t *exceptions = engine->services[index].exceptions;
  const gbd_registered_flow_t *flow = gbd_registry_find (exceptions, hash);
  if (!flow || (flow->flags & GBD_REGISTERED_CLOSED))
    return;
  gbd_registry_close (engine->services[index].exceptions, hash, now);
  for (uint32_t i = 0; i < engine->reachable_count; i++)
    if (engine->reachable[i].id != engine->settings.self)
      gbd_engine_queue_update (engine, engine->reachable[i].id, index,
                               GBD_FLOWS_CLOSED, hash, flow->slot);
}

/* Applies one flow update from another instance.  Returns false if a registry
   is full or memory is short. */
static bool
merge_entry (gbd_engine_t *engine, uint16_t index, gbd_flows_kind_t kind,
             const gbd_flow_entry_t *entry, gbd_time_t now)
{
  gbd_engine_service_t *service = &engine->services[index];
  switch (kind)
    {
    case GBD_FLOWS_REGISTERED:
      return merge_into_registry (engine, &service->registered, entry, now);
    case GBD_FLOWS_EXCEPTION:
      return merge_into_registry (engine, &service->exceptions, entry, now);
    case GBD_FLOWS_SHARE:
      if (!merge_into_registry (engine, &service->exceptions, entry, now))
        return false;
      mark_broadcast (service, entry->hash);
      return true;
    case GBD_FLOWS_HINT:
      apply_hint (engine, index, entry, now);
      return true;
    case GBD_FLOWS_CORRECTION:
      return apply_correction (engine, index, entry, now);
    case GBD_FLOWS_CLOSED:
      close_flow (engine, index, entry->hash, now);
      return true;
    }
  return true;
}

static bool
merge_into_registry (const gbd_engine_t *engine, gbd_registry_t **registry,
                     const gbd_flow_entry_t *entry, gbd_time_t now)
{
  return gbd_engine_ensure_registry (engine, registry)
         && gbd_registry_merge (*registry, entry->hash, entry->slot, now)
                == GBD_OK;
}

/* Records that an exception was broadcast, so that this instance does not
   broadcast it again.  While a bucket is SETTLING, an instance sends each of
   its exceptions to all members.  If that fails, the version is superseded,
   and the new table clears the flag. */
static void
mark_broadcast (const gbd_engine_service_t *service, gbd_flow_hash_t hash)
{
  const gbd_table_t *table = service->table;
  if (!table
      || table->buckets[gbd_table_bucket_of (table, hash)].phase
             != GBD_BUCKET_SETTLING)
    return;
  gbd_registry_find (service->exceptions, hash)->flags
      |= GBD_REGISTERED_BROADCAST;
}

static void
apply_hint (gbd_engine_t *engine, uint16_t index,
            const gbd_flow_entry_t *entry, gbd_time_t now)
{
  const gbd_cached_flow_t *flow
      = gbd_engine_find_cached (engine, index, entry->hash);
  bool is_known = flow && flow->slot != GBD_SLOT_NONE;
  if (!is_known && entry->slot < engine->services[index].slot_count)
    gbd_engine_cache_flow (engine, index, entry->hash, entry->slot, now);
}

static bool
apply_correction (gbd_engine_t *engine, uint16_t index,
                  const gbd_flow_entry_t *entry, gbd_time_t now)
{
  gbd_engine_service_t *service = &engine->services[index];
  if (entry->slot < service->slot_count
      && gbd_flow_cache_find (engine->cache, entry->hash, index))
    gbd_engine_cache_flow (engine, index, entry->hash, entry->slot, now);
  gbd_registry_t *registry
      = gbd_engine_ensure_registry (engine, &service->registered);
  return registry
         && gbd_registry_set (registry, entry->hash, entry->slot, now)
                == GBD_OK;
}

static void
close_flow (gbd_engine_t *engine, uint16_t index, gbd_flow_hash_t hash,
            gbd_time_t now)
{
  gbd_registry_close (engine->services[index].registered, hash, now);
  gbd_registry_close (engine->services[index].exceptions, hash, now);
  gbd_cached_flow_t *flow = gbd_engine_find_cached (engine, index, hash);
  if (!flow)
    return;
  gbd_engine_end_cached_flow (engine, flow, GBD_FLOW_END_IDLE, now);
  flow->flags |= GBD_CACHED_CLOSED;
}

static void
visit_registry (const gbd_registry_t *registry, gbd_flow_visit_t visit,
                void *data)
{
  for (uint32_t i = 0; i < gbd_registry_get_capacity (registry); i++)
    {
      const gbd_registered_flow_t *flow = gbd_registry_at (registry, i);
      if (flow->flags & GBD_REGISTERED_USED)
        visit_entry (flow, visit, data);
    }
}

/* Whether a flow may have been opened again at another backend server: its own
   is GONE, and this instance has forwarded only opening packets of the
   flow. */
static bool
may_be_reopened_elsewhere (const gbd_table_t *table,
                           const gbd_cached_flow_t *flow)
{
  return !(flow->flags & GBD_CACHED_ESTABLISHED)
         && gbd_engine_get_slot_state (table, flow->slot) == GBD_BACKEND_GONE;
}

static bool
is_off_target (const gbd_table_t *table, gbd_flow_hash_t hash, gbd_slot_t slot)
{
  const gbd_bucket_t *bucket
      = &table->buckets[gbd_table_bucket_of (table, hash)];
  return bucket->phase == GBD_BUCKET_SETTLING && slot != GBD_SLOT_NONE
         && slot != bucket->to && slot < table->backend_count;
}

static bool
is_entry_off_target (const gbd_registered_flow_t *flow,
                     const gbd_table_t *table, gbd_time_t now)
{
  return (flow->flags & GBD_REGISTERED_USED)
         && !gbd_registry_is_expired (flow, now)
         && is_off_target (table, flow->hash, flow->slot);
}

static void
visit_entry (const gbd_registered_flow_t *flow, gbd_flow_visit_t visit,
             void *data)
{
  gbd_flow_entry_t entry = { flow->hash, flow->slot };
  visit (data, &entry);
}

static int
compare_updates (const void *a, const void *b)
{
  const gbd_flow_update_t *left = a;
  const gbd_flow_update_t *right = b;
  if (left->to != right->to)
    return left->to < right->to ? -1 : 1;
  if (left->service != right->service)
    return left->service < right->service ? -1 : 1;
  return (int)left->kind - (int)right->kind;
}
