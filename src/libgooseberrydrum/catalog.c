#include "gooseberrydrum/catalog.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL /* the length is known when the hash is compiled */
#include <xxhash.h>

#define FIRST_CAPACITY 64

/* One place of the address hash; free while service is GBD_SERVICE_NONE. */
typedef struct
{
  gbd_address_t address;
  gbd_service_t service;
} address_place_t;

/* Both hashes are open addressing with linear probing, at most half full. */
struct gbd_catalog
{
  uint64_t generation;
  gbd_plan_t *plans;
  uint32_t plan_count;
  gbd_customer_info_t *customers;
  uint32_t customer_count;
  gbd_service_info_t *services;
  uint32_t service_count;
  address_place_t *addresses;
  uint32_t address_count;
  uint32_t address_capacity;
  gbd_service_t *ids;
  uint32_t id_capacity;
};

static void *grow (void *entries, uint32_t count, size_t size);
static uint32_t address_hash (const gbd_address_t *address);
static address_place_t *probe_address (address_place_t *places,
                                       uint32_t capacity,
                                       const gbd_address_t *address);
static bool reserve_addresses (gbd_catalog_t *catalog);
static gbd_service_t *probe_id (const gbd_service_info_t *services,
                                gbd_service_t *ids, uint32_t capacity,
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
      = grow (catalog->plans, catalog->plan_count, sizeof *plans);
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
  gbd_customer_info_t *customers
      = grow (catalog->customers, catalog->customer_count, sizeof *customers);
  if (!customers)
    return UINT32_MAX;

  catalog->customers = customers;
  gbd_customer_info_t *customer = &customers[catalog->customer_count];
  copy_name (customer->name, name);
  customer->plan = plan;
  return catalog->customer_count++;
}

gbd_service_t
gbd_catalog_add_service (gbd_catalog_t *catalog, const char *name,
                         uint32_t customer)
{
  assert (customer < catalog->customer_count);
  gbd_service_info_t *services
      = grow (catalog->services, catalog->service_count, sizeof *services);
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
  *probe_id (services, catalog->ids, catalog->id_capacity, service->id)
      = catalog->service_count;
  return catalog->service_count++;
}

gbd_status_t
gbd_catalog_add_address (gbd_catalog_t *catalog, const gbd_address_t *address,
                         gbd_service_t service)
{
  assert (service < catalog->service_count);
  if (!reserve_addresses (catalog))
    return GBD_ERROR_MEMORY;

  address_place_t *place
      = probe_address (catalog->addresses, catalog->address_capacity, address);
  if (place->service != GBD_SERVICE_NONE)
    return GBD_ERROR_CONFLICT;
  place->address = *address;
  place->service = service;
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
gbd_catalog_get_service (const gbd_catalog_t *catalog, gbd_service_t service)
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

gbd_service_t
gbd_catalog_find (const gbd_catalog_t *catalog, const gbd_address_t *address)
{
  return probe_address (catalog->addresses, catalog->address_capacity, address)
      ->service;
}

gbd_service_t
gbd_catalog_find_service (const gbd_catalog_t *catalog, gbd_service_id_t id)
{
  return *probe_id (catalog->services, catalog->ids, catalog->id_capacity, id);
}

/* Room for one more entry; capacities are powers of two. */
static void *
grow (void *entries, uint32_t count, size_t size)
{
  bool is_full = count == 0 || (count & (count - 1)) == 0;
  if (!is_full)
    return entries;
  return realloc (entries, (count ? 2 * (size_t)count : 1) * size);
}

static uint32_t
address_hash (const gbd_address_t *address)
{
  /* Field by field, as the struct has padding. */
  uint64_t words[3] = { 0, 0, 0 };
  memcpy (words, address->ip, sizeof address->ip);
  words[2] = ((uint64_t)address->family << 16) | address->port;
  return (uint32_t)XXH3_64bits (words, sizeof words);
}

/* The place of an address, or the free one where it belongs. */
static address_place_t *
probe_address (address_place_t *places, uint32_t capacity,
               const gbd_address_t *address)
{
  uint32_t i = address_hash (address) & (capacity - 1);
  while (places[i].service != GBD_SERVICE_NONE
         && !gbd_address_is_equal (&places[i].address, address))
    i = (i + 1) & (capacity - 1);
  return &places[i];
}

static bool
reserve_addresses (gbd_catalog_t *catalog)
{
  uint32_t capacity = catalog->address_capacity;
  if (capacity && 2 * (catalog->address_count + 1) <= capacity)
    return true;

  uint32_t wider = capacity ? 2 * capacity : FIRST_CAPACITY;
  address_place_t *places = calloc (wider, sizeof *places);
  if (!places)
    return false;
  for (uint32_t i = 0; i < wider; i++)
    places[i].service = GBD_SERVICE_NONE;
  for (uint32_t i = 0; i < capacity; i++)
    if (catalog->addresses[i].service != GBD_SERVICE_NONE)
      *probe_address (places, wider, &catalog->addresses[i].address)
          = catalog->addresses[i];
  free (catalog->addresses);
  catalog->addresses = places;
  catalog->address_capacity = wider;
  return true;
}

/* The place of an identifier, or the free one where it belongs. */
static gbd_service_t *
probe_id (const gbd_service_info_t *services, gbd_service_t *ids,
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

  uint32_t wider = capacity ? 2 * capacity : FIRST_CAPACITY;
  gbd_service_t *ids = malloc (wider * sizeof *ids);
  if (!ids)
    return false;
  for (uint32_t i = 0; i < wider; i++)
    ids[i] = GBD_SERVICE_NONE;
  for (gbd_service_t service = 0; service < catalog->service_count; service++)
    *probe_id (catalog->services, ids, wider, catalog->services[service].id)
        = service;
  free (catalog->ids);
  catalog->ids = ids;
  catalog->id_capacity = wider;
  return true;
}

static void
copy_name (char *to, const char *from)
{
  size_t length = strnlen (from, GBD_NAME_MAX);
  memcpy (to, from, length);
  to[length] = '\0';
}
