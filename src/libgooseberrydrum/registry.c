#include "registry.h"

#include <assert.h>
#include <stdlib.h>

/* Open addressing with linear probing, at most three quarters full. */
struct gbd_registry
{
  uint32_t flow_count_max;
  uint32_t capacity;
  uint32_t count;
  gbd_registered_flow_t *flows;
};

static_assert (sizeof (gbd_registered_flow_t) == 16, "16 bytes per flow");

static gbd_registered_flow_t *find_flow_entry (const gbd_registry_t *registry,
                                               gbd_flow_hash_t hash);
static gbd_registered_flow_t *add (gbd_registry_t *registry,
                                   gbd_flow_hash_t hash, gbd_slot_t slot,
                                   gbd_time_t now);
static void remove_at (gbd_registry_t *registry, uint32_t index);
static uint32_t to_milliseconds (gbd_time_t now);

gbd_registry_t *
gbd_registry_new (uint32_t flow_count_max)
{
  assert (flow_count_max >= 1 && flow_count_max <= (uint32_t)1 << 30);
  gbd_registry_t *registry = calloc (1, sizeof *registry);
  if (!registry)
    return NULL;

  registry->flow_count_max = flow_count_max;
  registry->capacity = 4;
  while ((uint64_t)registry->capacity * 3 / 4 < flow_count_max)
    registry->capacity *= 2;
  registry->flows = calloc (registry->capacity, sizeof *registry->flows);
  if (!registry->flows)
    {
      free (registry);
      return NULL;
    }
  return registry;
}

void
gbd_registry_delete (gbd_registry_t *registry)
{
  if (!registry)
    return;
  free (registry->flows);
  free (registry);
}

gbd_registered_flow_t *
gbd_registry_find (const gbd_registry_t *registry, gbd_flow_hash_t hash)
{
  if (!registry || registry->count == 0)
    return NULL;
  gbd_registered_flow_t *flow = find_flow_entry (registry, hash);
  return flow->flags & GBD_REGISTERED_USED ? flow : NULL;
}

gbd_status_t
gbd_registry_merge (gbd_registry_t *registry, gbd_flow_hash_t hash,
                    gbd_slot_t slot, gbd_time_t now)
{
  gbd_registered_flow_t *flow = find_flow_entry (registry, hash);
  if (!(flow->flags & GBD_REGISTERED_USED))
    return add (registry, hash, slot, now) ? GBD_OK : GBD_ERROR_MEMORY;

  if (slot < flow->slot)
    flow->slot = slot;
  return GBD_OK;
}

gbd_status_t
gbd_registry_set (gbd_registry_t *registry, gbd_flow_hash_t hash,
                  gbd_slot_t slot, gbd_time_t now)
{
  gbd_registered_flow_t *flow = find_flow_entry (registry, hash);
  if (!(flow->flags & GBD_REGISTERED_USED))
    return add (registry, hash, slot, now) ? GBD_OK : GBD_ERROR_MEMORY;

  flow->slot = slot;
  flow->flags &= (uint8_t)~GBD_REGISTERED_CLOSED;
  gbd_registry_refresh (flow, now);
  return GBD_OK;
}

void
gbd_registry_close (gbd_registry_t *registry, gbd_flow_hash_t hash,
                    gbd_time_t now)
{
  gbd_registered_flow_t *flow = gbd_registry_find (registry, hash);
  if (!flow)
    return;
  flow->flags |= GBD_REGISTERED_CLOSED;
  gbd_registry_refresh (flow, now);
}

void
gbd_registry_refresh (gbd_registered_flow_t *flow, gbd_time_t now)
{
  flow->seen_ms = to_milliseconds (now);
}

void
gbd_registry_sweep (gbd_registry_t *registry, uint32_t *cursor,
                    uint32_t entry_count_max,
                    bool (*is_removable) (void *data,
                                          const gbd_registered_flow_t *flow),
                    void *data)
{
  if (entry_count_max > registry->capacity)
    entry_count_max = registry->capacity;
  uint32_t examined = 0;
  while (examined < entry_count_max && registry->count)
    {
      uint32_t index = *cursor & (registry->capacity - 1);
      const gbd_registered_flow_t *flow = &registry->flows[index];
      /* A removal may move a later flow to this index, so this index is
         examined again. */
      if ((flow->flags & GBD_REGISTERED_USED) && is_removable (data, flow))
        {
          remove_at (registry, index);
          continue;
        }
      *cursor = index + 1;
      examined++;
    }
}

void
gbd_registry_clear_flag (gbd_registry_t *registry, uint8_t flag)
{
  for (uint32_t i = 0; i < registry->capacity; i++)
    registry->flows[i].flags &= (uint8_t)~flag;
}

bool
gbd_registry_is_expired (const gbd_registered_flow_t *flow, gbd_time_t now)
{
  return (flow->flags & GBD_REGISTERED_CLOSED)
         && to_milliseconds (now) - flow->seen_ms > GBD_REGISTRY_LINGER_MS;
}

bool
gbd_registry_has_capacity (const gbd_registry_t *registry,
                           gbd_flow_hash_t hash)
{
  return !registry || registry->count < registry->flow_count_max
         || gbd_registry_find (registry, hash);
}

const gbd_registered_flow_t *
gbd_registry_at (const gbd_registry_t *registry, uint32_t index)
{
  assert (index < registry->capacity);
  return &registry->flows[index];
}

uint32_t
gbd_registry_get_capacity (const gbd_registry_t *registry)
{
  return registry ? registry->capacity : 0;
}

uint32_t
gbd_registry_get_count (const gbd_registry_t *registry)
{
  return registry ? registry->count : 0;
}

/* Returns the entry of a flow, or the free entry at which it would be
   inserted. */
static gbd_registered_flow_t *
find_flow_entry (const gbd_registry_t *registry, gbd_flow_hash_t hash)
{
  uint32_t mask = registry->capacity - 1;
  uint32_t i = (uint32_t)(hash >> 32) & mask;
  while ((registry->flows[i].flags & GBD_REGISTERED_USED)
         && registry->flows[i].hash != hash)
    i = (i + 1) & mask;
  return &registry->flows[i];
}

static gbd_registered_flow_t *
add (gbd_registry_t *registry, gbd_flow_hash_t hash, gbd_slot_t slot,
     gbd_time_t now)
{
  if (registry->count >= registry->flow_count_max)
    return NULL;
  gbd_registered_flow_t *flow = find_flow_entry (registry, hash);
  *flow = (gbd_registered_flow_t){ .hash = hash,
                                   .seen_ms = to_milliseconds (now),
                                   .slot = slot,
                                   .flags = GBD_REGISTERED_USED };
  registry->count++;
  return flow;
}

/* Closes the gap by moving back each later flow whose probe sequence
   includes the gap. */
static void
remove_at (gbd_registry_t *registry, uint32_t index)
{
  uint32_t mask = registry->capacity - 1;
  uint32_t gap = index;
  for (uint32_t i = (gap + 1) & mask;
       registry->flows[i].flags & GBD_REGISTERED_USED; i = (i + 1) & mask)
    {
      uint32_t home_index = (uint32_t)(registry->flows[i].hash >> 32) & mask;
      if (((i - home_index) & mask) < ((i - gap) & mask))
        continue;
      registry->flows[gap] = registry->flows[i];
      gap = i;
    }
  registry->flows[gap].flags = 0;
  registry->count--;
}

static uint32_t
to_milliseconds (gbd_time_t now)
{
  return (uint32_t)(uint64_t)(now / GBD_MILLISECOND);
}
