#include "engine_state.h"

#include <stdlib.h>
#include <string.h>

/* Context for the removal of stale registrations and exceptions. */
typedef struct
{
  const gbd_engine_t *engine;
  const gbd_table_t *previous; /* NULL for the first table */
  const gbd_table_t *table;
  const uint8_t *keeps_registrations; /* per bucket: 1 to keep them, else 0 */
} removal_t;

/* Context for storing the exceptions of buckets that become INVERTED. */
typedef struct
{
  gbd_engine_t *engine;
  uint16_t index;
  const gbd_table_t *table;
  gbd_time_t now;
  bool is_complete; /* false when an exception could not be stored */
} inversion_t;

static bool reserve_slots (gbd_engine_service_t *service, uint32_t count);
static void record_draining (gbd_engine_service_t *service,
                             const gbd_table_t *table, gbd_time_t now);
static void advance_slot_epochs (gbd_engine_service_t *service,
                                 const gbd_table_t *table);
static bool has_new_backend (const gbd_table_t *previous,
                             const gbd_table_t *table, gbd_slot_t slot);
static bool is_stale_registration (void *data,
                                   const gbd_registered_flow_t *flow);
static bool is_stale_exception (void *data, const gbd_registered_flow_t *flow);
static void find_buckets_with_registrations (const gbd_engine_t *engine,
                                             const gbd_table_t *table,
                                             uint8_t *keeps_registrations);
static bool store_exceptions (gbd_engine_t *engine, uint16_t index,
                              const gbd_table_t *previous,
                              const gbd_table_t *table, gbd_time_t now);
static bool has_settling_bucket (const gbd_table_t *table);
static bool is_closed (const inversion_t *inversion, gbd_flow_hash_t hash);
static void store_exception (void *data, const gbd_flow_entry_t *entry);

gbd_status_t
gbd_engine_apply_table (gbd_engine_t *engine, uint16_t index,
                        const gbd_table_t *table, gbd_time_t now)
{
  gbd_engine_service_t *service = &engine->services[index];
  uint8_t *keeps_registrations = malloc (table->bucket_count);
  if (!keeps_registrations || !reserve_slots (service, table->backend_count))
    {
      free (keeps_registrations);
      return GBD_ERROR_MEMORY;
    }
  if (!store_exceptions (engine, index, service->table, table, now))
    {
      free (keeps_registrations);
      return GBD_ERROR_MEMORY;
    }

  find_buckets_with_registrations (engine, table, keeps_registrations);
  removal_t removal = { engine, service->table, table, keeps_registrations };
  if (service->registered)
    gbd_registry_sweep (service->registered, &service->registered_cursor,
                        UINT32_MAX, is_stale_registration, &removal);
  if (service->exceptions)
    {
      gbd_registry_sweep (service->exceptions, &service->exception_cursor,
                          UINT32_MAX, is_stale_exception, &removal);
      gbd_registry_clear_flag (service->exceptions, GBD_REGISTERED_BROADCAST);
    }
  record_draining (service, table, now);
  advance_slot_epochs (service, table);
  free (keeps_registrations);
  return GBD_OK;
}

static bool
reserve_slots (gbd_engine_service_t *service, uint32_t count)
{
  if (count <= service->slot_count)
    return true;
  uint16_t *slot_epochs
      = realloc (service->slot_epochs, count * sizeof *slot_epochs);
  if (!slot_epochs)
    return false;
  service->slot_epochs = slot_epochs;
  gbd_backend_load_t *loads = realloc (service->loads, count * sizeof *loads);
  if (!loads)
    return false;
  service->loads = loads;
  gbd_time_t *draining_at
      = realloc (service->draining_at, count * sizeof *draining_at);
  if (!draining_at)
    return false;
  service->draining_at = draining_at;

  uint32_t added = count - service->slot_count;
  memset (slot_epochs + service->slot_count, 0, added * sizeof *slot_epochs);
  memset (loads + service->slot_count, 0, added * sizeof *loads);
  service->slot_count = count;
  return true;
}

static void
record_draining (gbd_engine_service_t *service, const gbd_table_t *table,
                 gbd_time_t now)
{
  for (uint32_t slot = 0; slot < table->backend_count; slot++)
    {
      bool was_draining
          = service->table && slot < service->table->backend_count
            && service->table->backends[slot].state == GBD_BACKEND_DRAINING
            && !has_new_backend (service->table, table, (gbd_slot_t)slot);
      if (!was_draining)
        service->draining_at[slot] = now;
    }
}

/* Increments the epoch of each slot that gets another backend server, so that
   cached flows of the previous one are not sent to the new one. */
static void
advance_slot_epochs (gbd_engine_service_t *service, const gbd_table_t *table)
{
  if (!service->table)
    return;
  for (uint32_t slot = 0; slot < service->table->backend_count; slot++)
    if (has_new_backend (service->table, table, (gbd_slot_t)slot))
      {
        service->slot_epochs[slot]++;
        memset (&service->loads[slot], 0, sizeof service->loads[slot]);
      }
}

static bool
has_new_backend (const gbd_table_t *previous, const gbd_table_t *table,
                 gbd_slot_t slot)
{
  if (!previous || slot >= previous->backend_count)
    return false;
  return slot >= table->backend_count
         || previous->backends[slot].id != table->backends[slot].id;
}

static bool
is_stale_registration (void *data, const gbd_registered_flow_t *flow)
{
  const removal_t *removal = data;
  if (has_new_backend (removal->previous, removal->table, flow->slot))
    return true;
  if (flow->flags & GBD_REGISTERED_LOCAL)
    return removal->engine->lease == GBD_LEASE_FULL
           && removal->table
                      ->buckets[gbd_table_bucket_of (removal->table,
                                                     flow->hash)]
                      .phase
                  == GBD_BUCKET_STABLE;
  return !removal->keeps_registrations[gbd_table_bucket_of (removal->table,
                                                            flow->hash)];
}

static bool
is_stale_exception (void *data, const gbd_registered_flow_t *flow)
{
  const removal_t *removal = data;
  return has_new_backend (removal->previous, removal->table, flow->slot);
}

/* Finds the buckets whose registrations this instance keeps: buckets that are
   not STABLE and of which it is a replica.  An instance that is not a replica
   might miss that a flow has ended and was opened again. */
static void
find_buckets_with_registrations (const gbd_engine_t *engine,
                                 const gbd_table_t *table,
                                 uint8_t *keeps_registrations)
{
  for (uint32_t bucket = 0; bucket < table->bucket_count; bucket++)
    {
      keeps_registrations[bucket] = 0;
      if (table->buckets[bucket].phase == GBD_BUCKET_STABLE)
        continue;
      gbd_replicas_t replicas;
      gbd_table_get_replicas (table, bucket, &replicas);
      for (uint8_t i = 0; i < replicas.count; i++)
        if (replicas.chain[i] == engine->settings.self)
          keeps_registrations[bucket] = 1;
    }
}

/* When buckets become INVERTED, stores the off-target flows of this instance
   as exceptions.  The other members have already received these flows.
   Returns false if memory is short or the registry is full. */
static bool
store_exceptions (gbd_engine_t *engine, uint16_t index,
                  const gbd_table_t *previous, const gbd_table_t *table,
                  gbd_time_t now)
{
  if (!previous || previous->bucket_count != table->bucket_count
      || !has_settling_bucket (previous))
    return true;
  if (!gbd_engine_ensure_registry (engine,
                                   &engine->services[index].exceptions))
    return false;
  inversion_t inversion = { engine, index, table, now, true };
  gbd_engine_visit_off_target_of_table (engine, index, previous, now,
                                        store_exception, &inversion);
  return inversion.is_complete;
}

static bool
has_settling_bucket (const gbd_table_t *table)
{
  for (uint32_t bucket = 0; bucket < table->bucket_count; bucket++)
    if (table->buckets[bucket].phase == GBD_BUCKET_SETTLING)
      return true;
  return false;
}

static void
store_exception (void *data, const gbd_flow_entry_t *entry)
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
    inversion->is_complete = false;
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
