#include "engine_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

const char *const gbd_rule_strings[GBD_RULE_COUNT]
    = { "none",        "bad-packet", "no-service",   "not-joined",
        "cached",      "registered", "exception",    "bucket",
        "open-keeper", "ask-keeper", "out-of-touch", "incomplete",
        "limit",       "gone" };

static uint16_t assign_service_index (gbd_engine_t *engine,
                                      gbd_service_id_t id);
static void remove_missing_services (gbd_engine_t *engine);
static void queue_local_flows (gbd_engine_t *engine, gbd_instance_id_t to);
static void queue_local_flows_of (gbd_engine_t *engine, gbd_instance_id_t to,
                                  uint16_t index,
                                  const gbd_registry_t *registry,
                                  gbd_flows_kind_t kind);
static bool reserve_updates (gbd_engine_t *engine, uint32_t count);

gbd_engine_t *
gbd_engine_new (const gbd_engine_settings_t *settings)
{
  assert (settings->policy && settings->self);
  gbd_engine_t *engine = calloc (1, sizeof *engine);
  if (!engine)
    return NULL;

  engine->has_majority = true;
  engine->majority_until = INT64_MAX;
  engine->settings = *settings;
  engine->services = calloc (GBD_SERVICES_MAX, sizeof *engine->services);
  engine->cache = gbd_flow_cache_new (settings->cache_capacity);
  if (!engine->services || !engine->cache
      || !reserve_updates (engine, GBD_FLOW_UPDATES_INITIAL))
    {
      gbd_engine_delete (engine);
      return NULL;
    }
  engine->hint_limiter.refilled_at = GBD_TIME_NEVER;
  engine->hint_limiter.threshold = 2;
  return engine;
}

void
gbd_engine_delete (gbd_engine_t *engine)
{
  if (!engine)
    return;
  for (uint32_t i = 0; engine->services && i < engine->service_count; i++)
    {
      gbd_engine_service_t *service = &engine->services[i];
      gbd_table_delete (service->table);
      gbd_registry_delete (service->registered);
      gbd_registry_delete (service->exceptions);
      free (service->slot_epochs);
      free (service->loads);
      free (service->draining_at);
    }
  gbd_flow_cache_delete (engine->cache);
  free (engine->services);
  free (engine->service_indexes);
  free (engine->updates);
  free (engine);
}

gbd_status_t
gbd_engine_set_catalog (gbd_engine_t *engine, const gbd_catalog_t *catalog)
{
  uint32_t count = gbd_catalog_get_service_count (catalog);
  if (count > GBD_SERVICES_MAX)
    return GBD_ERROR_RANGE;
  uint16_t *service_indexes = calloc (count + 1, sizeof *service_indexes);
  if (!service_indexes)
    return GBD_ERROR_MEMORY;

  for (uint32_t i = 0; i < engine->service_count; i++)
    engine->services[i].handle
        = gbd_catalog_find_service (catalog, engine->services[i].id);
  remove_missing_services (engine);
  for (gbd_service_handle_t handle = 0; handle < count; handle++)
    {
      const gbd_service_info_t *info
          = gbd_catalog_get_service (catalog, handle);
      const gbd_plan_t *plan = gbd_catalog_get_plan (catalog, info->plan);
      uint16_t index = assign_service_index (engine, info->id);
      engine->services[index].handle = handle;
      engine->services[index].customer = info->customer;
      service_indexes[handle] = index;
      gbd_flow_cache_set_idle_limit (engine->cache, index,
                                     plan->idle_limit_s * 1000);
    }
  free (engine->service_indexes);
  engine->service_indexes = service_indexes;
  engine->catalog = catalog;
  return GBD_OK;
}

gbd_status_t
gbd_engine_set_table (gbd_engine_t *engine, gbd_table_t *table, gbd_time_t now)
{
  gbd_status_t status = GBD_OK;
  uint16_t index = gbd_engine_find_index (engine, table->service);
  if (index == UINT16_MAX)
    {
      status = GBD_ERROR_NOT_FOUND;
      goto reject;
    }
  gbd_engine_service_t *service = &engine->services[index];
  if (service->table && table->version <= service->table->version)
    {
      status = GBD_ERROR_STALE;
      goto reject;
    }
  status = gbd_engine_apply_table (engine, index, table, now);
  if (status != GBD_OK)
    goto reject;
  gbd_table_delete (service->table);
  service->table = table;
  return GBD_OK;

reject:
  gbd_table_delete (table);
  return status;
}

const gbd_table_t *
gbd_engine_get_table (const gbd_engine_t *engine, gbd_service_id_t service)
{
  uint16_t index = gbd_engine_find_index (engine, service);
  return index == UINT16_MAX ? NULL : engine->services[index].table;
}

const gbd_catalog_t *
gbd_engine_get_catalog (const gbd_engine_t *engine)
{
  return engine->catalog;
}

void
gbd_engine_set_lease (gbd_engine_t *engine, gbd_lease_t lease)
{
  gbd_engine_set_lease_until (engine, lease, INT64_MAX);
}

void
gbd_engine_set_lease_until (gbd_engine_t *engine, gbd_lease_t lease,
                            gbd_time_t until)
{
  engine->lease = lease;
  engine->lease_until = until;
}

void
gbd_engine_set_majority_until (gbd_engine_t *engine, bool has_majority,
                               gbd_time_t until)
{
  engine->has_majority = has_majority;
  engine->majority_until = until;
}

bool
gbd_engine_has_majority (const gbd_engine_t *engine, gbd_time_t now)
{
  return engine->has_majority && now <= engine->majority_until;
}

gbd_lease_t
gbd_engine_get_lease (const gbd_engine_t *engine, gbd_time_t now)
{
  return now <= engine->lease_until ? engine->lease : GBD_LEASE_NONE;
}

void
gbd_engine_set_joined (gbd_engine_t *engine, bool is_joined)
{
  engine->is_joined = is_joined;
}

void
gbd_engine_set_reachable (gbd_engine_t *engine, const gbd_member_t *reachable,
                          uint32_t count)
{
  assert (count <= GBD_INCARNATIONS_MAX);
  gbd_instance_id_t newly_reachable[GBD_INCARNATIONS_MAX];
  uint32_t newly_reachable_count = 0;
  for (uint32_t i = 0; i < count; i++)
    if (reachable[i].id != engine->settings.self
        && !gbd_engine_is_reachable (engine, reachable[i].id))
      newly_reachable[newly_reachable_count++] = reachable[i].id;

  if (count)
    memcpy (engine->reachable, reachable, count * sizeof *reachable);
  engine->reachable_count = count;
  for (uint32_t i = 0; i < newly_reachable_count; i++)
    queue_local_flows (engine, newly_reachable[i]);
}

void
gbd_engine_set_complete (gbd_engine_t *engine, gbd_service_id_t service,
                         bool is_complete)
{
  uint16_t index = gbd_engine_find_index (engine, service);
  if (index != UINT16_MAX)
    engine->services[index].is_complete = is_complete;
}

void
gbd_engine_set_authoritative (gbd_engine_t *engine, gbd_service_id_t service,
                              bool is_authoritative)
{
  uint16_t index = gbd_engine_find_index (engine, service);
  if (index != UINT16_MAX)
    engine->services[index].is_not_authoritative = !is_authoritative;
}

void
gbd_engine_set_admission (gbd_engine_t *engine,
                          const gbd_admission_t *admission, void *data)
{
  engine->admission = admission;
  engine->admission_data = data;
}

void
gbd_engine_get_load (const gbd_engine_t *engine, gbd_service_id_t service,
                     gbd_slot_t slot, gbd_backend_load_t *load)
{
  memset (load, 0, sizeof *load);
  uint16_t index = gbd_engine_find_index (engine, service);
  if (index != UINT16_MAX && slot < engine->services[index].slot_count)
    *load = engine->services[index].loads[slot];
}

void
gbd_engine_get_stats (const gbd_engine_t *engine, gbd_engine_stats_t *stats)
{
  *stats = engine->stats;
  stats->cached_flows = gbd_flow_cache_get_count (engine->cache);
  stats->evictions = gbd_flow_cache_get_evictions (engine->cache);
  stats->loss_free_since = gbd_flow_cache_get_loss_free_since (engine->cache);
  stats->bytes = sizeof *engine + GBD_SERVICES_MAX * sizeof *engine->services
                 + engine->update_capacity * sizeof *engine->updates
                 + (uint64_t)gbd_flow_cache_get_capacity (engine->cache)
                       * sizeof (gbd_cached_flow_t);
  for (uint32_t i = 0; i < engine->service_count; i++)
    {
      const gbd_engine_service_t *service = &engine->services[i];
      stats->registrations += gbd_registry_get_count (service->registered);
      stats->exceptions += gbd_registry_get_count (service->exceptions);
      stats->bytes
          += ((uint64_t)gbd_registry_get_capacity (service->registered)
              + gbd_registry_get_capacity (service->exceptions))
             * sizeof (gbd_registered_flow_t);
    }
}

uint16_t
gbd_engine_find_index (const gbd_engine_t *engine, gbd_service_id_t id)
{
  if (!engine->catalog)
    return UINT16_MAX;
  gbd_service_handle_t handle = gbd_catalog_find_service (engine->catalog, id);
  return handle == GBD_SERVICE_NONE ? UINT16_MAX
                                    : engine->service_indexes[handle];
}

bool
gbd_engine_is_reachable (const gbd_engine_t *engine, gbd_instance_id_t id)
{
  for (uint32_t i = 0; i < engine->reachable_count; i++)
    if (engine->reachable[i].id == id)
      return true;
  return false;
}

gbd_backend_state_t
gbd_engine_get_slot_state (const gbd_table_t *table, gbd_slot_t slot)
{
  if (slot >= table->backend_count)
    return GBD_BACKEND_GONE;
  return (gbd_backend_state_t)table->backends[slot].state;
}

void
gbd_engine_queue_update (gbd_engine_t *engine, gbd_instance_id_t to,
                         uint16_t index, gbd_flows_kind_t kind,
                         gbd_flow_hash_t hash, gbd_slot_t slot)
{
  if (engine->update_count >= engine->update_capacity)
    return;
  gbd_flow_update_t *update = &engine->updates[engine->update_count++];
  update->to = to;
  update->entry.hash = hash;
  update->entry.slot = slot;
  update->service = index;
  update->kind = (uint8_t)kind;
}

/* Returns the index of a service in `services`; a service without an index
   gets a free one.  There are as many indexes as a catalog may have
   services. */
static uint16_t
assign_service_index (gbd_engine_t *engine, gbd_service_id_t id)
{
  uint16_t free_index = UINT16_MAX;
  for (uint32_t i = 0; i < engine->service_count; i++)
    {
      if (engine->services[i].id == id)
        return (uint16_t)i;
      if (engine->services[i].id == 0 && free_index == UINT16_MAX)
        free_index = (uint16_t)i;
    }
  if (free_index == UINT16_MAX)
    free_index = (uint16_t)engine->service_count++;
  assert (free_index < GBD_SERVICES_MAX);
  engine->services[free_index].id = id;
  return free_index;
}

static void
remove_missing_services (gbd_engine_t *engine)
{
  for (uint32_t i = 0; i < engine->service_count; i++)
    if (engine->services[i].id
        && engine->services[i].handle == GBD_SERVICE_NONE)
      gbd_engine_remove_service (engine, (uint16_t)i);
}

/* Queues flow updates for an instance that has become reachable again: it has
   missed the flows that were opened on this side of a partition. */
static void
queue_local_flows (gbd_engine_t *engine, gbd_instance_id_t to)
{
  for (uint32_t i = 0; i < engine->service_count; i++)
    {
      const gbd_engine_service_t *service = &engine->services[i];
      queue_local_flows_of (engine, to, (uint16_t)i, service->registered,
                            GBD_FLOWS_REGISTERED);
      queue_local_flows_of (engine, to, (uint16_t)i, service->exceptions,
                            GBD_FLOWS_EXCEPTION);
    }
}

static void
queue_local_flows_of (gbd_engine_t *engine, gbd_instance_id_t to,
                      uint16_t index, const gbd_registry_t *registry,
                      gbd_flows_kind_t kind)
{
  for (uint32_t i = 0; i < gbd_registry_get_capacity (registry); i++)
    {
      const gbd_registered_flow_t *flow = gbd_registry_at (registry, i);
      uint8_t flags = flow->flags;
      if (!(flags & GBD_REGISTERED_USED) || !(flags & GBD_REGISTERED_LOCAL)
          || (flags & GBD_REGISTERED_CLOSED))
        continue;
      if (!reserve_updates (engine, engine->update_count + 1))
        return;
      gbd_engine_queue_update (engine, to, index, kind, flow->hash,
                               flow->slot);
    }
}

static bool
reserve_updates (gbd_engine_t *engine, uint32_t count)
{
  if (count <= engine->update_capacity)
    return true;
  uint32_t capacity = engine->update_capacity ? 2 * engine->update_capacity
                                              : GBD_FLOW_UPDATES_INITIAL;
  gbd_flow_update_t *updates
      = realloc (engine->updates, capacity * sizeof *updates);
  if (!updates)
    return false;
  engine->updates = updates;
  engine->update_capacity = capacity;
  return true;
}
