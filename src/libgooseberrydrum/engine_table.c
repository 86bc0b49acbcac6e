#include "engine_state.h"

#include <stdlib.h>
#include <string.h>

/* What the removal of stale facts depends on. */
typedef struct
{
  const gbd_engine_t *engine;
  const gbd_table_t *former; /* may be NULL */
  const gbd_table_t *table;
  const uint8_t *keeps; /* for each bucket, whether registrations stay */
} adoption_t;

/* The flows that stay behind when buckets invert. */
typedef struct
{
  gbd_engine_t *engine;
  uint16_t index;
  const gbd_table_t *table;
  gbd_time_t now;
  bool is_kept;
} inversion_t;

static bool reserve_slots (gbd_engine_service_t *service, uint32_t count);
static void note_draining (gbd_engine_service_t *service,
                           const gbd_table_t *table, gbd_time_t now);
static void count_lives (gbd_engine_service_t *service,
                         const gbd_table_t *table);
static bool is_new_life (const gbd_table_t *former, const gbd_table_t *table,
                         gbd_slot_t slot);
static bool is_stale_registration (void *data,
                                   const gbd_registered_flow_t *flow);
static bool is_stale_exception (void *data, const gbd_registered_flow_t *flow);
static void find_kept_buckets (const gbd_engine_t *engine,
                               const gbd_table_t *table, uint8_t *keeps);
static bool keep_exceptions (gbd_engine_t *engine, uint16_t index,
                             const gbd_table_t *settling,
                             const gbd_table_t *table, gbd_time_t now);
static bool has_settling (const gbd_table_t *table);
static bool is_closed (const inversion_t *inversion, gbd_flow_hash_t hash);
static void keep_exception (void *data, const gbd_flow_entry_t *entry);

gbd_status_t
gbd_engine_adopt_table (gbd_engine_t *engine, uint16_t index,
                        const gbd_table_t *table, gbd_time_t now)
{
  gbd_engine_service_t *service = &engine->services[index];
  uint8_t *keeps = malloc (table->bucket_count);
  if (!keeps || !reserve_slots (service, table->backend_count))
    {
      free (keeps);
      return GBD_ERROR_MEMORY;
    }
  if (!keep_exceptions (engine, index, service->table, table, now))
    {
      free (keeps);
      return GBD_ERROR_MEMORY;
    }

  find_kept_buckets (engine, table, keeps);
  adoption_t adoption = { engine, service->table, table, keeps };
  if (service->registered)
    gbd_registry_sweep (service->registered, &service->registered_cursor,
                        UINT32_MAX, is_stale_registration, &adoption);
  if (service->exceptions)
    {
      gbd_registry_sweep (service->exceptions, &service->exception_cursor,
                          UINT32_MAX, is_stale_exception, &adoption);
      gbd_registry_clear_flag (service->exceptions, GBD_REGISTERED_TOLD);
    }
  note_draining (service, table, now);
  count_lives (service, table);
  free (keeps);
  return GBD_OK;
}

static bool
reserve_slots (gbd_engine_service_t *service, uint32_t count)
{
  if (count <= service->slot_count)
    return true;
  uint16_t *lives = realloc (service->lives, count * sizeof *lives);
  if (!lives)
    return false;
  service->lives = lives;
  gbd_backend_load_t *loads = realloc (service->loads, count * sizeof *loads);
  if (!loads)
    return false;
  service->loads = loads;
  gbd_time_t *draining_at
      = realloc (service->draining_at, count * sizeof *draining_at);
  if (!draining_at)
    return false;
  service->draining_at = draining_at;

  uint32_t fresh = count - service->slot_count;
  memset (lives + service->slot_count, 0, fresh * sizeof *lives);
  memset (loads + service->slot_count, 0, fresh * sizeof *loads);
  service->slot_count = count;
  return true;
}

static void
note_draining (gbd_engine_service_t *service, const gbd_table_t *table,
               gbd_time_t now)
{
  for (uint32_t slot = 0; slot < table->backend_count; slot++)
    {
      bool was_draining
          = service->table && slot < service->table->backend_count
            && service->table->backends[slot].state == GBD_BACKEND_DRAINING
            && !is_new_life (service->table, table, (gbd_slot_t)slot);
      if (!was_draining)
        service->draining_at[slot] = now;
    }
}

/* Flows of a slot's former backend server are not flows of its next one. */
static void
count_lives (gbd_engine_service_t *service, const gbd_table_t *table)
{
  if (!service->table)
    return;
  for (uint32_t slot = 0; slot < service->table->backend_count; slot++)
    if (is_new_life (service->table, table, (gbd_slot_t)slot))
      {
        service->lives[slot]++;
        memset (&service->loads[slot], 0, sizeof service->loads[slot]);
      }
}

static bool
is_new_life (const gbd_table_t *former, const gbd_table_t *table,
             gbd_slot_t slot)
{
  if (!former || slot >= former->backend_count)
    return false;
  return slot >= table->backend_count
         || former->backends[slot].id != table->backends[slot].id;
}

static bool
is_stale_registration (void *data, const gbd_registered_flow_t *flow)
{
  const adoption_t *adoption = data;
  if (is_new_life (adoption->former, adoption->table, flow->slot))
    return true;
  if (flow->flags & GBD_REGISTERED_LOCAL)
    return adoption->engine->touch == GBD_TOUCH_FULL
           && adoption->table
                      ->buckets[gbd_table_bucket_of (adoption->table,
                                                     flow->hash)]
                      .phase
                  == GBD_BUCKET_STABLE;
  return !adoption->keeps[gbd_table_bucket_of (adoption->table, flow->hash)];
}

static bool
is_stale_exception (void *data, const gbd_registered_flow_t *flow)
{
  const adoption_t *adoption = data;
  return is_new_life (adoption->former, adoption->table, flow->slot);
}

/* Registrations stay while their bucket moves and this instance is one of its
   keepers; those of others could miss that a flow ended and came again. */
static void
find_kept_buckets (const gbd_engine_t *engine, const gbd_table_t *table,
                   uint8_t *keeps)
{
  for (uint32_t bucket = 0; bucket < table->bucket_count; bucket++)
    {
      keeps[bucket] = 0;
      if (table->buckets[bucket].phase == GBD_BUCKET_STABLE)
        continue;
      gbd_keepers_t keepers;
      gbd_table_keepers (table, bucket, &keepers);
      for (uint8_t i = 0; i < keepers.count; i++)
        if (keepers.chain[i] == engine->settings.self)
          keeps[bucket] = 1;
    }
}

/* What this instance learns while a bucket settles holds for itself, too.
   False when memory or the bound is short. */
static bool
keep_exceptions (gbd_engine_t *engine, uint16_t index,
                 const gbd_table_t *settling, const gbd_table_t *table,
                 gbd_time_t now)
{
  if (!settling || settling->bucket_count != table->bucket_count
      || !has_settling (settling))
    return true;
  if (!gbd_engine_need_registry (engine, &engine->services[index].exceptions))
    return false;
  inversion_t inversion = { engine, index, table, now, true };
  gbd_engine_visit_behind (engine, index, settling, now, keep_exception,
                           &inversion);
  return inversion.is_kept;
}

static bool
has_settling (const gbd_table_t *table)
{
  for (uint32_t bucket = 0; bucket < table->bucket_count; bucket++)
    if (table->buckets[bucket].phase == GBD_BUCKET_SETTLING)
      return true;
  return false;
}

static void
keep_exception (void *data, const gbd_flow_entry_t *entry)
{
  inversion_t *inversion = data;
  gbd_engine_t *engine = inversion->engine;
  gbd_engine_service_t *service = &engine->services[inversion->index];
  const gbd_table_t *table = inversion->table;
  uint8_t phase
      = table->buckets[gbd_table_bucket_of (table, entry->hash)].phase;
  if (phase != GBD_BUCKET_INVERTED)
    return;
  if (gbd_registry_merge (service->exceptions, entry->hash, entry->slot,
                          inversion->now)
      != GBD_OK)
    inversion->is_kept = false;
  else if (is_closed (inversion, entry->hash))
    gbd_engine_close_exception (engine, inversion->index, entry->hash,
                                inversion->now);
}

static bool
is_closed (const inversion_t *inversion, gbd_flow_hash_t hash)
{
  const gbd_cached_flow_t *cached
      = gbd_engine_find_cached (inversion->engine, inversion->index, hash);
  const gbd_registered_flow_t *registered = gbd_registry_find (
      inversion->engine->services[inversion->index].registered, hash);
  return (cached && (cached->flags & GBD_CACHED_CLOSED))
         || (registered && (registered->flags & GBD_REGISTERED_CLOSED));
}
