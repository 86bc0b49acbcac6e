#include "libgooseberrydrum/room_routes.h"

#include <stdlib.h>
#include <string.h>

#define INDEX_SIZE_MIN 16

static uint64_t get_key (const gbd_address_t *address,
                         gbd_service_id_t service);
static uint32_t find_slot (const gbd_room_routes_t *table, uint64_t key);
static void release_former (gbd_room_routes_t *table);
static void reserve (gbd_room_routes_t *table, uint32_t count);
static uint32_t count_needed (const gbd_room_routes_t *table,
                              const gbd_routes_t *routes);
static void build_index (gbd_room_routes_t *table);
static gbd_room_route_t allocate_entry (gbd_room_routes_t *table);

void
gbd_room_routes_clear (gbd_room_routes_t *table)
{
  free (table->entries);
  free (table->index);
  *table = (gbd_room_routes_t){ .count = 0 };
}

void
gbd_room_routes_prepare (gbd_room_routes_t *table, const gbd_routes_t *routes)
{
  release_former (table);
  reserve (table, count_needed (table, routes));
  table->free_from = 0;
}

gbd_room_route_entry_t *
gbd_room_routes_add (gbd_room_routes_t *table, const gbd_address_t *address,
                     gbd_service_id_t service)
{
  if (table->index_size == 0)
    return NULL;
  uint64_t key = get_key (address, service);
  uint32_t slot = find_slot (table, key);
  if (table->index[slot] == GBD_ROOM_ROUTE_NONE)
    {
      gbd_room_route_t added = allocate_entry (table);
      if (added == GBD_ROOM_ROUTE_NONE)
        return NULL;
      table->entries[added]
          = (gbd_room_route_entry_t){ .key = key,
                                      .last_usual_at = GBD_TIME_NEVER };
      table->index[slot] = added;
    }
  gbd_room_route_entry_t *entry = &table->entries[table->index[slot]];
  entry->state = GBD_ROOM_ROUTE_CONFIGURED;
  return entry;
}

gbd_room_route_t
gbd_room_routes_find (const gbd_room_routes_t *table,
                      const gbd_address_t *address, gbd_service_id_t service)
{
  if (table->index_size == 0)
    return GBD_ROOM_ROUTE_NONE;
  return table->index[find_slot (table, get_key (address, service))];
}

bool
gbd_room_routes_is_configured (const gbd_room_routes_t *table,
                               gbd_room_route_t route)
{
  return route < table->count
         && table->entries[route].state == GBD_ROOM_ROUTE_CONFIGURED;
}

static uint64_t
get_key (const gbd_address_t *address, gbd_service_id_t service)
{
  uint64_t parts[sizeof address->ip / sizeof (uint64_t)];
  memcpy (parts, address->ip, sizeof parts);
  return gbd_rendezvous_weight (
      parts[0] ^ service,
      parts[1] ^ ((uint64_t)address->family << 16 | address->port));
}

/* Returns the slot of the index that has a key, or the empty one where it
   belongs. */
static uint32_t
find_slot (const gbd_room_routes_t *table, uint64_t key)
{
  uint32_t slot = (uint32_t)key & (table->index_size - 1);
  while (table->index[slot] != GBD_ROOM_ROUTE_NONE
         && table->entries[table->index[slot]].key != key)
    slot = (slot + 1) & (table->index_size - 1);
  return slot;
}

/* Frees former routes, and makes the configured ones former. */
static void
release_former (gbd_room_routes_t *table)
{
  for (uint32_t i = 0; i < table->count; i++)
    table->entries[i].state
        = table->entries[i].state == GBD_ROOM_ROUTE_CONFIGURED
              ? GBD_ROOM_ROUTE_FORMER
              : GBD_ROOM_ROUTE_FREE;
  build_index (table);
}

static void
reserve (gbd_room_routes_t *table, uint32_t count)
{
  if (count > GBD_ROOM_ROUTES_MAX)
    count = GBD_ROOM_ROUTES_MAX;
  if (count <= table->capacity)
    return;
  uint32_t index_size = INDEX_SIZE_MIN;
  while (index_size < 2 * count)
    index_size *= 2;
  gbd_room_route_t *index = malloc (index_size * sizeof *index);
  gbd_room_route_entry_t *resized
      = realloc (table->entries, count * sizeof *resized);
  if (resized)
    table->entries = resized;
  if (!resized || !index)
    {
      free (index);
      return;
    }
  free (table->index);
  table->index = index;
  table->index_size = index_size;
  table->capacity = count;
  build_index (table);
}

/* Returns the number of entries for the former routes and the new ones. */
static uint32_t
count_needed (const gbd_room_routes_t *table, const gbd_routes_t *routes)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < table->count; i++)
    count += table->entries[i].state != GBD_ROOM_ROUTE_FREE;
  for (uint32_t i = 0; i < gbd_routes_get_count (routes); i++)
    {
      const gbd_route_t *route = gbd_routes_get (routes, i);
      for (uint32_t j = 0; j < route->target_count; j++)
        count += gbd_room_routes_find (table, &route->address,
                                       route->targets[j].service)
                 == GBD_ROOM_ROUTE_NONE;
    }
  return count;
}

static void
build_index (gbd_room_routes_t *table)
{
  for (uint32_t i = 0; i < table->index_size; i++)
    table->index[i] = GBD_ROOM_ROUTE_NONE;
  for (uint32_t i = 0; i < table->count; i++)
    if (table->entries[i].state != GBD_ROOM_ROUTE_FREE)
      table->index[find_slot (table, table->entries[i].key)]
          = (gbd_room_route_t)i;
}

/* Returns a free entry, or GBD_ROOM_ROUTE_NONE. */
static gbd_room_route_t
allocate_entry (gbd_room_routes_t *table)
{
  while (table->free_from < table->count
         && table->entries[table->free_from].state != GBD_ROOM_ROUTE_FREE)
    table->free_from++;
  if (table->free_from == table->capacity)
    return GBD_ROOM_ROUTE_NONE;
  if (table->free_from == table->count)
    table->count++;
  return (gbd_room_route_t)table->free_from++;
}
