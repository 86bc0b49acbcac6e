#include "gooseberrydrum/routes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16

typedef struct
{
  gbd_service_id_t service;
  gbd_warm_up_limits_t warm_up;
  char name[GBD_NAME_MAX + 1]; /* empty if not stated */
  bool has_idempotent;         /* routes */
  bool has_other;
} service_t;

struct gbd_routes
{
  uint64_t version;
  gbd_time_t idle_timeout;
  uint32_t count;
  uint32_t capacity;
  gbd_route_t *routes; /* sorted by address */
  uint32_t service_count;
  service_t *services; /* sorted by identifier */
};

static int compare_addresses (const gbd_address_t *a, const gbd_address_t *b);
static uint32_t find_lower_bound (const gbd_routes_t *routes,
                                  const gbd_address_t *address);
static bool matches_at (const gbd_routes_t *routes, uint32_t index,
                        const gbd_address_t *address);
static bool find_service_index (const gbd_routes_t *routes,
                                gbd_service_id_t service, uint32_t *index);
static const service_t *find_service (const gbd_routes_t *routes,
                                      gbd_service_id_t service);
static service_t *add_service (gbd_routes_t *routes, gbd_service_id_t service);
static gbd_status_t record_kind (gbd_routes_t *routes,
                                 const gbd_route_t *route);

gbd_routes_t *
gbd_routes_new (uint64_t version)
{
  gbd_routes_t *routes = calloc (1, sizeof *routes);
  if (routes)
    routes->version = version;
  return routes;
}

void
gbd_routes_delete (gbd_routes_t *routes)
{
  if (!routes)
    return;
  free (routes->routes);
  free (routes->services);
  free (routes);
}

gbd_status_t
gbd_routes_add (gbd_routes_t *routes, const gbd_route_t *route)
{
  if (route->target_count == 0 || route->target_count > GBD_ROUTE_TARGETS_MAX)
    return GBD_ERROR_RANGE;
  uint32_t index = find_lower_bound (routes, &route->address);
  if (matches_at (routes, index, &route->address))
    return GBD_ERROR_CONFLICT;
  gbd_status_t status = record_kind (routes, route);
  if (status != GBD_OK)
    return status;
  if (routes->count == routes->capacity)
    {
      uint32_t capacity
          = routes->capacity ? routes->capacity * 2 : INITIAL_CAPACITY;
      gbd_route_t *resized
          = realloc (routes->routes, capacity * sizeof *routes->routes);
      if (!resized)
        return GBD_ERROR_MEMORY;
      routes->routes = resized;
      routes->capacity = capacity;
    }
  memmove (&routes->routes[index + 1], &routes->routes[index],
           (routes->count - index) * sizeof *routes->routes);
  routes->routes[index] = *route;
  routes->count++;
  return GBD_OK;
}

const gbd_route_t *
gbd_routes_find (const gbd_routes_t *routes, const gbd_address_t *address)
{
  uint32_t index = find_lower_bound (routes, address);
  return matches_at (routes, index, address) ? &routes->routes[index] : NULL;
}

bool
gbd_routes_has_both_kinds (const gbd_routes_t *routes,
                           gbd_service_id_t service)
{
  const service_t *entry = find_service (routes, service);
  return entry && entry->has_idempotent && entry->has_other;
}

gbd_service_id_t
gbd_route_choose (const gbd_route_t *route, gbd_flow_hash_t hash)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < route->target_count; i++)
    total += route->targets[i].weight;
  uint64_t remainder = total ? hash % total : 0;
  for (uint32_t i = 0; i < route->target_count; i++)
    {
      if (remainder < route->targets[i].weight)
        return route->targets[i].service;
      remainder -= route->targets[i].weight;
    }
  return route->targets[0].service;
}

void
gbd_routes_set_idle_timeout (gbd_routes_t *routes, gbd_time_t idle_timeout)
{
  routes->idle_timeout = idle_timeout;
}

gbd_time_t
gbd_routes_get_idle_timeout (const gbd_routes_t *routes)
{
  return routes->idle_timeout;
}

gbd_status_t
gbd_routes_set_warm_up (gbd_routes_t *routes, gbd_service_id_t service,
                        const gbd_warm_up_limits_t *limits)
{
  if (!(limits->rate >= 0 && limits->rate <= GBD_WARM_UP_RATE_MAX)
      || limits->duration < 0 || limits->duration > GBD_WARM_UP_TIME_MAX)
    return GBD_ERROR_RANGE;
  service_t *entry = add_service (routes, service);
  if (!entry)
    return GBD_ERROR_MEMORY;
  entry->warm_up = *limits;
  return GBD_OK;
}

gbd_warm_up_limits_t
gbd_routes_get_warm_up (const gbd_routes_t *routes, gbd_service_id_t service)
{
  const service_t *entry = find_service (routes, service);
  return entry ? entry->warm_up : (gbd_warm_up_limits_t){ .duration = 0 };
}

gbd_status_t
gbd_routes_set_service_name (gbd_routes_t *routes, const char *name)
{
  service_t *entry = add_service (routes, gbd_id_from_name (name));
  if (!entry)
    return GBD_ERROR_MEMORY;
  snprintf (entry->name, sizeof entry->name, "%s", name);
  return GBD_OK;
}

const char *
gbd_routes_get_service_name (const gbd_routes_t *routes,
                             gbd_service_id_t service)
{
  const service_t *entry = find_service (routes, service);
  return entry && entry->name[0] ? entry->name : NULL;
}

uint64_t
gbd_routes_get_version (const gbd_routes_t *routes)
{
  return routes->version;
}

uint32_t
gbd_routes_get_count (const gbd_routes_t *routes)
{
  return routes->count;
}

const gbd_route_t *
gbd_routes_get (const gbd_routes_t *routes, uint32_t index)
{
  return &routes->routes[index];
}

static int
compare_addresses (const gbd_address_t *a, const gbd_address_t *b)
{
  if (a->family != b->family)
    return a->family < b->family ? -1 : 1;
  int order = memcmp (a->ip, b->ip, sizeof a->ip);
  if (order)
    return order;
  return (int)a->port - (int)b->port;
}

/* Returns the index of the first route whose address is not less than the
   given one. */
static uint32_t
find_lower_bound (const gbd_routes_t *routes, const gbd_address_t *address)
{
  uint32_t low = 0;
  uint32_t high = routes->count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (compare_addresses (&routes->routes[middle].address, address) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
matches_at (const gbd_routes_t *routes, uint32_t index,
            const gbd_address_t *address)
{
  return index < routes->count
         && compare_addresses (&routes->routes[index].address, address) == 0;
}

/* Returns whether a service is known.
   @param index its index, or where it is to be inserted */
static bool
find_service_index (const gbd_routes_t *routes, gbd_service_id_t service,
                    uint32_t *index)
{
  uint32_t low = 0;
  uint32_t high = routes->service_count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (routes->services[middle].service < service)
        low = middle + 1;
      else
        high = middle;
    }
  *index = low;
  return low < routes->service_count
         && routes->services[low].service == service;
}

/* Returns NULL if the service is not known. */
static const service_t *
find_service (const gbd_routes_t *routes, gbd_service_id_t service)
{
  uint32_t index;
  return find_service_index (routes, service, &index)
             ? &routes->services[index]
             : NULL;
}

/* Returns the entry of a service, added if it is not known yet; NULL if memory
   is exhausted. */
static service_t *
add_service (gbd_routes_t *routes, gbd_service_id_t service)
{
  uint32_t index;
  if (find_service_index (routes, service, &index))
    return &routes->services[index];
  uint32_t count = routes->service_count;
  service_t *resized
      = realloc (routes->services, (count + 1) * sizeof *routes->services);
  if (!resized)
    return NULL;
  routes->services = resized;
  memmove (&resized[index + 1], &resized[index],
           (count - index) * sizeof *resized);
  resized[index] = (service_t){ .service = service };
  routes->service_count++;
  return &resized[index];
}

static gbd_status_t
record_kind (gbd_routes_t *routes, const gbd_route_t *route)
{
  for (uint32_t i = 0; i < route->target_count; i++)
    {
      if (route->targets[i].weight == 0)
        continue;
      service_t *entry = add_service (routes, route->targets[i].service);
      if (!entry)
        return GBD_ERROR_MEMORY;
      entry->has_idempotent |= route->is_idempotent;
      entry->has_other |= !route->is_idempotent;
    }
  return GBD_OK;
}
