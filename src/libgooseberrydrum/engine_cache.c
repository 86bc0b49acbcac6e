#include "engine_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Maximum number of entries of the flow cache, and of each registry, that one
   call of gbd_engine_expire examines. */
#define EXPIRE_CACHE_ENTRIES_MAX 8192u
#define EXPIRE_REGISTRY_ENTRIES_MAX 2048u

/* Time without a packet after which a closed flow is removed from the flow
   cache. */
#define CLOSED_LINGER_MS GBD_REGISTRY_LINGER_MS

static void expire_cache (gbd_engine_t *engine, gbd_time_t now);
static bool is_expired (void *data, const gbd_registered_flow_t *flow);

gbd_cached_flow_t *
gbd_engine_find_cached (const gbd_engine_t *engine, uint16_t index,
                        gbd_flow_hash_t hash)
{
  gbd_cached_flow_t *flow = gbd_flow_cache_find (engine->cache, hash, index);
  if (!flow || flow->slot == GBD_SLOT_NONE)
    return flow;

  const gbd_engine_service_t *service = &engine->services[index];
  bool is_current_epoch
      = flow->slot < service->slot_count
        && flow->slot_epoch == service->slot_epochs[flow->slot];
  return is_current_epoch ? flow : NULL;
}

gbd_cached_flow_t *
gbd_engine_cache_flow (gbd_engine_t *engine, uint16_t index,
                       gbd_flow_hash_t hash, gbd_slot_t slot, gbd_time_t now)
{
  gbd_cached_flow_t replaced;
  gbd_cached_flow_t *flow
      = gbd_flow_cache_insert (engine->cache, hash, index, now, &replaced);
  if (replaced.flags & GBD_CACHED_USED)
    gbd_engine_end_cached_flow (engine, &replaced, GBD_FLOW_END_IDLE, now);

  const gbd_engine_service_t *service = &engine->services[index];
  uint16_t slot_epoch
      = slot < service->slot_count ? service->slot_epochs[slot] : 0;
  bool has_changed = flow->slot != GBD_SLOT_NONE
                     && (flow->slot != slot || flow->slot_epoch != slot_epoch);
  if (has_changed)
    {
      gbd_engine_end_cached_flow (engine, flow, GBD_FLOW_END_IDLE, now);
      flow->flags = GBD_CACHED_USED;
      flow->packets = 0;
    }
  flow->slot = slot;
  flow->slot_epoch = slot_epoch;
  return flow;
}

void
gbd_engine_end_cached_flow (gbd_engine_t *engine, gbd_cached_flow_t *flow,
                            gbd_flow_end_t end, gbd_time_t now)
{
  gbd_engine_service_t *service = &engine->services[flow->service];
  if ((flow->flags & GBD_CACHED_OPENED) && flow->slot < service->slot_count
      && service->slot_epochs[flow->slot] == flow->slot_epoch)
    service->loads[flow->slot].open_flows--;
  if ((flow->flags & GBD_CACHED_ADMITTED) && engine->admission)
    engine->admission->ended (engine->admission_data, service->customer, end,
                              now);
  flow->flags &= (uint8_t) ~(GBD_CACHED_OPENED | GBD_CACHED_ADMITTED);
}

bool
gbd_engine_is_cached_flow_expired (const gbd_engine_t *engine,
                                   const gbd_cached_flow_t *flow,
                                   gbd_time_t now)
{
  bool is_lingering
      = gbd_flow_cache_get_age_ms (flow, now) <= CLOSED_LINGER_MS;
  return gbd_flow_cache_is_idle (engine->cache, flow, now)
         || ((flow->flags & GBD_CACHED_CLOSED) && !is_lingering);
}

void
gbd_engine_expire (gbd_engine_t *engine, gbd_time_t now)
{
  expire_cache (engine, now);
  for (uint32_t i = 0; i < engine->service_count; i++)
    {
      gbd_engine_service_t *service = &engine->services[i];
      if (service->registered)
        gbd_registry_sweep (service->registered, &service->registered_cursor,
                            EXPIRE_REGISTRY_ENTRIES_MAX, is_expired, &now);
      if (service->exceptions)
        gbd_registry_sweep (service->exceptions, &service->exception_cursor,
                            EXPIRE_REGISTRY_ENTRIES_MAX, is_expired, &now);
    }
}

void
gbd_engine_remove_service (gbd_engine_t *engine, uint16_t index)
{
  uint32_t capacity = gbd_flow_cache_get_capacity (engine->cache);
  for (uint32_t i = 0; i < capacity; i++)
    {
      gbd_cached_flow_t *flow = gbd_flow_cache_at (engine->cache, i);
      if ((flow->flags & GBD_CACHED_USED) && flow->service == index)
        gbd_flow_cache_remove (engine->cache, flow);
    }

  gbd_engine_service_t *service = &engine->services[index];
  gbd_table_delete (service->table);
  gbd_registry_delete (service->registered);
  gbd_registry_delete (service->exceptions);
  free (service->slot_epochs);
  free (service->loads);
  free (service->draining_at);
  memset (service, 0, sizeof *service);
  service->handle = GBD_SERVICE_NONE;
}

static void
expire_cache (gbd_engine_t *engine, gbd_time_t now)
{
  uint32_t capacity = gbd_flow_cache_get_capacity (engine->cache);
  uint32_t entries = capacity < EXPIRE_CACHE_ENTRIES_MAX
                         ? capacity
                         : EXPIRE_CACHE_ENTRIES_MAX;
  for (uint32_t i = 0; i < entries; i++)
    {
      uint32_t index = engine->expire_cursor++ & (capacity - 1);
      gbd_cached_flow_t *flow = gbd_flow_cache_at (engine->cache, index);
      if (!(flow->flags & GBD_CACHED_USED))
        continue;
      if (!gbd_engine_is_cached_flow_expired (engine, flow, now))
        continue;
      gbd_engine_end_cached_flow (engine, flow, GBD_FLOW_END_IDLE, now);
      gbd_flow_cache_remove (engine->cache, flow);
    }
}

static bool
is_expired (void *data, const gbd_registered_flow_t *flow)
{
  return gbd_registry_is_expired (flow, *(const gbd_time_t *)data);
}
