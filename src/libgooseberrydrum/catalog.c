#include "gooseberrydrum/catalog.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL /* optimize XXH3 for the constant length of the key */
#include <xxhash.h>

#define INITIAL_CAPACITY 64

/* Entry of the hash table by address; empty while `service` is
   GBD_SERVICE_NONE. */
typedef struct
{
  gbd_address_t address;
  gbd_service_handle_t service;
} address_entry_t;

/* `addresses` and `ids` are hash tables, by service address and by service
   identifier.  They use open addressing with linear probing and are at most
   half full. */
struct gbd_catalog
{
  uint64_t generation;
  gbd_plan_t *plans;
  uint32_t plan_count;
  gbd_customer_info_t *customers;
  uint32_t customer_count;
  gbd_service_info_t *services;
  uint32_t service_count;
  address_entry_t *addresses;
  uint32_t address_count;
  uint32_t address_capacity;
  gbd_service_handle_t *ids;
  uint32_t id_capacity;
};

static void *reserve_element (void *elements, uint32_t count, size_t size);
static uint32_t hash_address (const gbd_address_t *address);
static address_entry_t *find_address_entry (address_entry_t *entries,
                                            uint32_t capacity,
                                            const gbd_address_t *address);
static bool reserve_addresses (gbd_catalog_t *catalog);
static gbd_service_handle_t *find_id_entry (const gbd_service_info_t *services,
                                            gbd_service_handle_t *ids,
                                            uint32_t capacity,
                                            gbd_service_id_t id);
static bool reserve_ids (gbd_catalog_t *catalog);
static void copy_name (char *to, const char *from);

gbd_catalog_t *
gbd_catalog_new (uint64_t generation)
{
  gbd_catalog_t *catalog = calloc (1, sizeof *catalog);
  if (!catalog)
    return NULL;

  catalog->generation = generation;
  if (!reserve_addresses (catalog) || !reserve_ids (catalog))
    {
      gbd_catalog_delete (catalog);
      return NULL;
    }
  return catalog;
}

void
gbd_catalog_delete (gbd_catalog_t *catalog)
{
  if (!catalog)
    return;
  free (catalog->plans);
  free (catalog->customers);
  free (catalog->services);
  free (catalog->addresses);
  free (catalog->ids);
  free (catalog);
}

uint32_t
gbd_catalog_add_plan (gbd_catalog_t *catalog, const gbd_plan_t *plan)
{
  gbd_plan_t *plans
      = reserve_element (catalog->plans, catalog->plan_count, sizeof *plans);
  if (!plans)
    return UINT32_MAX;

  catalog->plans = plans;
  plans[catalog->plan_count] = *plan;
  return catalog->plan_count++;
}

uint32_t
gbd_catalog_add_customer (gbd_catalog_t *catalog, const char *name,
                          uint32_t plan)
{
  assert (plan < catalog->plan_count);
  gbd_customer_info_t *customers = reserve_element (
      catalog->customers, catalog->customer_count, sizeof *customers);
  if (!customers)
    return UINT32_MAX;

  catalog->customers = customers;
  gbd_customer_info_t *customer = &customers[catalog->customer_count];
  copy_name (customer->name, name);
  customer->plan = plan;
  return catalog->customer_count++;
}

gbd_service_handle_t
gbd_catalog_add_service (gbd_catalog_t *catalog, const char *name,
                         uint32_t customer)
{
  assert (customer < catalog->customer_count);
  gbd_service_info_t *services = reserve_element (
      catalog->services, catalog->service_count, sizeof *services);
  if (!services)
    return GBD_SERVICE_NONE;
  catalog->services = services;
  if (!reserve_ids (catalog))
    return GBD_SERVICE_NONE;

  gbd_service_info_t *service = &services[catalog->service_count];
  copy_name (service->name, name);
  service->id = gbd_id_from_name (service->name);
  service->customer = customer;
  service->plan = catalog->customers[customer].plan;
  *find_id_entry (services, catalog->ids, catalog->id_capacity, service->id)
      = catalog->service_count;
  return catalog->service_count++;
}

gbd_status_t
gbd_catalog_add_address (gbd_catalog_t *catalog, const gbd_address_t *address,
                         gbd_service_handle_t service)
{
  assert (service < catalog->service_count);
  if (!reserve_addresses (catalog))
    return GBD_ERROR_MEMORY;

  address_entry_t *entry = find_address_entry (
      catalog->addresses, catalog->address_capacity, address);
  if (entry->service != GBD_SERVICE_NONE)
    return GBD_ERROR_CONFLICT;
  entry->address = *address;
  entry->service = service;
  catalog->address_count++;
  return GBD_OK;
}

uint64_t
gbd_catalog_get_generation (const gbd_catalog_t *catalog)
{
  return catalog->generation;
}

uint32_t
gbd_catalog_get_service_count (const gbd_catalog_t *catalog)
{
  return catalog->service_count;
}

uint32_t
gbd_catalog_get_customer_count (const gbd_catalog_t *catalog)
{
  return catalog->customer_count;
}

uint32_t
gbd_catalog_get_address_count (const gbd_catalog_t *catalog)
{
  return catalog->address_count;
}

const gbd_service_info_t *
gbd_catalog_get_service (const gbd_catalog_t *catalog,
                         gbd_service_handle_t service)
{
  assert (service < catalog->service_count);
  return &catalog->services[service];
}

const gbd_customer_info_t *
gbd_catalog_get_customer (const gbd_catalog_t *catalog, uint32_t customer)
{
  assert (customer < catalog->customer_count);
  return &catalog->customers[customer];
}

const gbd_plan_t *
gbd_catalog_get_plan (const gbd_catalog_t *catalog, uint32_t plan)
{
  assert (plan < catalog->plan_count);
  return &catalog->plans[plan];
}

bool
gbd_catalog_get_address (const gbd_catalog_t *catalog, uint32_t *index,
                         gbd_address_t *address)
{
  for (; *index < catalog->address_capacity; (*index)++)
    {
      if (catalog->addresses[*index].service == GBD_SERVICE_NONE)
        continue;
      *address = catalog->addresses[*index].address;
      return true;
    }
  return false;
}

gbd_service_handle_t
gbd_catalog_find (const gbd_catalog_t *catalog, const gbd_address_t *address)
{
  return find_address_entry (catalog->addresses, catalog->address_capacity,
                             address)
      ->service;
}

gbd_service_handle_t
gbd_catalog_find_service (const gbd_catalog_t *catalog, gbd_service_id_t id)
{
  return *find_id_entry (catalog->services, catalog->ids, catalog->id_capacity,
                         id);
}

/* Return the array with capacity for one more element; NULL when memory is
   short.  The capacity is `count` rounded up to a power of two, so the array
   is full when `count` is a power of two. */
static void *
reserve_element (void *elements, uint32_t count, size_t size)
{
  bool is_full = count == 0 || (count & (count - 1)) == 0;
  if (!is_full)
    return elements;
  return realloc (elements, (count ? 2 * (size_t)count : 1) * size);
}

static uint32_t
hash_address (const gbd_address_t *address)
{
  /* Hash a copy of the members, because the padding bytes of the structure
     are undefined. */
  uint64_t words[3] = { 0, 0, 0 };
  memcpy (words, address->ip, sizeof address->ip);
  words[2] = ((uint64_t)address->family << 16) | address->port;
  return (uint32_t)XXH3_64bits (words, sizeof words);
}

/* Find the entry of an address, or the empty entry at which to insert it. */
static address_entry_t *
find_address_entry (address_entry_t *entries, uint32_t capacity,
                    const gbd_address_t *address)
{
  uint32_t i = hash_address (address) & (capacity - 1);
  while (entries[i].service != GBD_SERVICE_NONE
         && !gbd_address_is_equal (&entries[i].address, address))
    i = (i + 1) & (capacity - 1);
  return &entries[i];
}

static bool
reserve_addresses (gbd_catalog_t *catalog)
{
  uint32_t capacity = catalog->address_capacity;
  if (capacity && 2 * (catalog->address_count + 1) <= capacity)
    return true;

  uint32_t new_capacity = capacity ? 2 * capacity : INITIAL_CAPACITY;
  address_entry_t *entries = calloc (new_capacity, sizeof *entries);
  if (!entries)
    return false;
  for (uint32_t i = 0; i < new_capacity; i++)
    entries[i].service = GBD_SERVICE_NONE;
  for (uint32_t i = 0; i < capacity; i++)
    if (catalog->addresses[i].service != GBD_SERVICE_NONE)
      *find_address_entry (entries, new_capacity,
                           &catalog->addresses[i].address)
          = catalog->addresses[i];
  free (catalog->addresses);
  catalog->addresses = entries;
  catalog->address_capacity = new_capacity;
  return true;
}

/* Find the entry of a service identifier, or the empty entry at which to
   insert it. */
static gbd_service_handle_t *
find_id_entry (const gbd_service_info_t *services, gbd_service_handle_t *ids,
               uint32_t capacity, gbd_service_id_t id)
{
  uint32_t i = (uint32_t)id & (capacity - 1);
  while (ids[i] != GBD_SERVICE_NONE && services[ids[i]].id != id)
    i = (i + 1) & (capacity - 1);
  return &ids[i];
}

static bool
reserve_ids (gbd_catalog_t *catalog)
{
  uint32_t capacity = catalog->id_capacity;
  if (capacity && 2 * (catalog->service_count + 1) <= capacity)
    return true;

  uint32_t new_capacity = capacity ? 2 * capacity : INITIAL_CAPACITY;
  gbd_service_handle_t *ids = malloc (new_capacity * sizeof *ids);
  if (!ids)
    return false;
  for (uint32_t i = 0; i < new_capacity; i++)
    ids[i] = GBD_SERVICE_NONE;
  for (gbd_service_handle_t service = 0; service < catalog->service_count;
       service++)
    *find_id_entry (catalog->services, ids, new_capacity,
                    catalog->services[service].id)
        = service;
  free (catalog->ids);
  catalog->ids = ids;
  catalog->id_capacity = new_capacity;
  return true;
}

static void
copy_name (char *to, const char *from)
{
  size_t length = strnlen (from, GBD_NAME_MAX);
  memcpy (to, from, length);
  to[length] = '\0';
}
