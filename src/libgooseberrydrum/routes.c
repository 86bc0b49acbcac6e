#include "gooseberrydrum/routes.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_ROOM 16

struct gbd_routes
{
  uint64_t version;
  uint32_t count;
  uint32_t room;
  gbd_route_t *routes; /* sorted by address */
};

static int compare (const gbd_address_t *a, const gbd_address_t *b);
static uint32_t find_place (const gbd_routes_t *routes,
                            const gbd_address_t *address);
static bool matches_at (const gbd_routes_t *routes, uint32_t place,
                        const gbd_address_t *address);

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
  free (routes);
}

gbd_status_t
gbd_routes_add (gbd_routes_t *routes, const gbd_route_t *route)
{
  if (route->target_count == 0 || route->target_count > GBD_ROUTE_TARGETS_MAX)
    return GBD_ERROR_RANGE;
  uint32_t place = find_place (routes, &route->address);
  if (matches_at (routes, place, &route->address))
    return GBD_ERROR_CONFLICT;
  if (routes->count == routes->room)
    {
      uint32_t room = routes->room ? routes->room * 2 : FIRST_ROOM;
      gbd_route_t *grown
          = realloc (routes->routes, room * sizeof *routes->routes);
      if (!grown)
        return GBD_ERROR_MEMORY;
      routes->routes = grown;
      routes->room = room;
    }
  memmove (&routes->routes[place + 1], &routes->routes[place],
           (routes->count - place) * sizeof *routes->routes);
  routes->routes[place] = *route;
  routes->count++;
  return GBD_OK;
}

const gbd_route_t *
gbd_routes_find (const gbd_routes_t *routes, const gbd_address_t *address)
{
  uint32_t place = find_place (routes, address);
  return matches_at (routes, place, address) ? &routes->routes[place] : NULL;
}

gbd_service_id_t
gbd_route_choose (const gbd_route_t *route, gbd_flow_hash_t hash)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < route->target_count; i++)
    total += route->targets[i].weight;
  uint64_t at = total ? hash % total : 0;
  for (uint32_t i = 0; i < route->target_count; i++)
    {
      if (at < route->targets[i].weight)
        return route->targets[i].service;
      at -= route->targets[i].weight;
    }
  return route->targets[0].service;
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

static int
compare (const gbd_address_t *a, const gbd_address_t *b)
{
  if (a->family != b->family)
    return a->family < b->family ? -1 : 1;
  int order = memcmp (a->ip, b->ip, sizeof a->ip);
  if (order)
    return order;
  return (int)a->port - (int)b->port;
}

/* First place whose address is not below the given one. */
static uint32_t
find_place (const gbd_routes_t *routes, const gbd_address_t *address)
{
  uint32_t low = 0;
  uint32_t high = routes->count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (compare (&routes->routes[middle].address, address) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
matches_at (const gbd_routes_t *routes, uint32_t place,
            const gbd_address_t *address)
{
  return place < routes->count
         && compare (&routes->routes[place].address, address) == 0;
}
