#include "engine_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Places that one call of gbd_engine_expire examines. */
#define EXPIRE_CACHE_PLACES 8192u
#define EXPIRE_REGISTRY_PLACES 2048u

/* Time without a packet after which a closed flow leaves the cache. */
#define CLOSED_LINGER_MS GBD_REGISTRY_LINGER_MS

static void expire_cache (gbd_engine_t *engine, gbd_time_t now);
static bool is_over (void *data, const gbd_registered_flow_t *flow);

gbd_cached_flow_t *
gbd_engine_find_cached (const gbd_engine_t *engine, uint16_t index,
                        gbd_flow_hash_t hash)
{
  gbd_cached_flow_t *flow = gbd_flow_cache_find (engine->cache, hash, index);
  if (!flow || flow->slot == GBD_SLOT_NONE)
    return flow;

  const gbd_engine_service_t *service = &engine->services[index];
  bool is_same_life = flow->slot < service->slot_count
                      && flow->life == service->lives[flow->slot];
  return is_same_life ? flow : NULL;
}

gbd_cached_flow_t *
gbd_engine_cache (gbd_engine_t *engine, uint16_t index, gbd_flow_hash_t hash,
                  gbd_slot_t slot, gbd_time_t now)
{
  gbd_cached_flow_t former;
  gbd_cached_flow_t *flow
      = gbd_flow_cache_insert (engine->cache, hash, index, now, &former);
  if (former.flags & GBD_CACHED_USED)
    gbd_engine_end_cached (engine, &former, GBD_FLOW_END_IDLE, now);

  const gbd_engine_service_t *service = &engine->services[index];
  uint16_t life = slot < service->slot_count ? service->lives[slot] : 0;
  bool is_other = flow->slot != GBD_SLOT_NONE
                  && (flow->slot != slot || flow->life != life);
  if (is_other)
    {
      gbd_engine_end_cached (engine, flow, GBD_FLOW_END_IDLE, now);
      flow->flags = GBD_CACHED_USED;
      flow->packets = 0;
    }
  flow->slot = slot;
  flow->life = life;
  return flow;
}

void
gbd_engine_end_cached (gbd_engine_t *engine, gbd_cached_flow_t *flow,
                       gbd_flow_end_t end, gbd_time_t now)
{
  gbd_engine_service_t *service = &engine->services[flow->service];
  if ((flow->flags & GBD_CACHED_OPENED) && flow->slot < service->slot_count
      && service->lives[flow->slot] == flow->life)
    service->loads[flow->slot].open_flows--;
  if ((flow->flags & GBD_CACHED_ADMITTED) && engine->admission)
    engine->admission->ended (engine->admission_data, service->customer, end,
                              now);
  flow->flags &= (uint8_t) ~(GBD_CACHED_OPENED | GBD_CACHED_ADMITTED);
}

bool
gbd_engine_is_cached_over (const gbd_engine_t *engine,
                           const gbd_cached_flow_t *flow, gbd_time_t now)
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
                            EXPIRE_REGISTRY_PLACES, is_over, &now);
      if (service->exceptions)
        gbd_registry_sweep (service->exceptions, &service->exception_cursor,
                            EXPIRE_REGISTRY_PLACES, is_over, &now);
    }
}

void
gbd_engine_forget_service (gbd_engine_t *engine, uint16_t index)
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
  free (service->lives);
  free (service->loads);
  free (service->draining_at);
  memset (service, 0, sizeof *service);
  service->handle = GBD_SERVICE_NONE;
}

static void
expire_cache (gbd_engine_t *engine, gbd_time_t now)
{
  uint32_t capacity = gbd_flow_cache_get_capacity (engine->cache);
  uint32_t places
      = capacity < EXPIRE_CACHE_PLACES ? capacity : EXPIRE_CACHE_PLACES;
  for (uint32_t i = 0; i < places; i++)
    {
      uint32_t index = engine->expire_cursor++ & (capacity - 1);
      gbd_cached_flow_t *flow = gbd_flow_cache_at (engine->cache, index);
      if (!(flow->flags & GBD_CACHED_USED))
        continue;
      if (!gbd_engine_is_cached_over (engine, flow, now))
        continue;
      gbd_engine_end_cached (engine, flow, GBD_FLOW_END_IDLE, now);
      gbd_flow_cache_remove (engine->cache, flow);
    }
}

static bool
is_over (void *data, const gbd_registered_flow_t *flow)
{
  return gbd_registry_is_over (flow, *(const gbd_time_t *)data);
}
