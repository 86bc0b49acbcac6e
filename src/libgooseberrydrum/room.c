#include "gooseberrydrum/room.h"

#include <stdlib.h>
#include <string.h>

#define BUCKET_TIME (100 * GBD_MILLISECOND)
#define BUCKETS ((uint32_t)(GBD_ROOM_WINDOW / BUCKET_TIME))
#define THOUSAND 1000u
#define USUAL_WEIGHT 8 /* a new sample's share of the usual size: 1/8 */
#define WAIT_WEIGHT 16 /* the same for the wait */
#define INDEX_SIZE_MIN 16
/* The work is a low percentile of the response times: a shorter one counts 16
   times as much as a longer one. */
#define WORK_FALL_WEIGHT 8
#define WORK_RISE_WEIGHT 128

typedef struct
{
  gbd_time_t start;
  gbd_room_rate_t rate;
} bucket_t;

typedef struct
{
  gbd_room_service_t public;
  gbd_time_t short_until;
  gbd_time_t limited_at; /* last flow reset at the connection limit */
  bucket_t buckets[BUCKETS];
} service_t;

typedef enum
{
  ROUTE_FREE,
  ROUTE_FORMER, /* no longer configured; flows may still refer to it */
  ROUTE_CONFIGURED
} route_state_t;

typedef struct
{
  uint64_t key;
  uint32_t usual_bytes;
  uint8_t service;
  uint8_t class;
  uint8_t state;            /* route_state_t */
  gbd_time_t last_usual_at; /* last response that was not short */
} route_t;

struct gbd_room
{
  uint32_t service_count;
  service_t services[GBD_ROOM_SERVICES_MAX];
  uint32_t route_count; /* entries of routes in use, including free ones */
  uint32_t route_capacity;
  route_t *routes;
  /* Handles of routes by their key, open addressing with linear probing; at
     most half of it is used. */
  uint32_t index_size; /* a power of two */
  gbd_room_route_t *index;
};

static uint64_t get_key (const gbd_address_t *address,
                         gbd_service_id_t service);
static uint32_t find_slot (const gbd_room_t *room, uint64_t key);
static gbd_room_route_t find_key (const gbd_room_t *room, uint64_t key);
static void reserve_routes (gbd_room_t *room, const gbd_routes_t *routes);
static void build_index (gbd_room_t *room);
static uint32_t count_unknown (const gbd_room_t *room,
                               const gbd_routes_t *routes);
static void release_former_routes (gbd_room_t *room);
static const route_t *get_configured (const gbd_room_t *room,
                                      gbd_room_route_t route);
static const service_t *find_service (const gbd_room_t *room,
                                      gbd_service_id_t id);
static void add_route (gbd_room_t *room, const gbd_route_t *route,
                       gbd_service_id_t service_id, uint32_t *free_from);
static gbd_room_route_t allocate_route (gbd_room_t *room, uint32_t *free_from);
static service_t *add_service (gbd_room_t *room, gbd_service_id_t id);
static uint32_t add_class (gbd_room_service_t *service,
                           const gbd_route_t *route);
static uint64_t get_classes_id (const gbd_room_service_t *service);
static void keep_evidence (service_t *service, const service_t *old);
static bool is_short_response (route_t *route, uint32_t bytes, gbd_time_t now);
static void count (service_t *service, uint32_t class, bool is_short,
                   gbd_time_t now);
static void check_shortage (service_t *service, gbd_time_t now);
static bool has_wait (const gbd_room_service_t *service);
static void learn_times (gbd_room_service_t *service, gbd_room_class_t *class,
                         gbd_time_t duration, bool is_room_short);
static gbd_room_rate_t get_rate (const service_t *service, gbd_time_t duration,
                                 gbd_time_t now);

gbd_room_t *
gbd_room_new (void)
{
  return calloc (1, sizeof (gbd_room_t));
}

void
gbd_room_delete (gbd_room_t *room)
{
  if (!room)
    return;
  free (room->routes);
  free (room->index);
  free (room);
}

void
gbd_room_set_routes (gbd_room_t *room, const gbd_routes_t *routes)
{
  service_t *old = malloc (sizeof room->services);
  uint32_t old_count = old ? room->service_count : 0;
  if (old)
    memcpy (old, room->services, sizeof room->services);
  room->service_count = 0;
  release_former_routes (room);
  reserve_routes (room, routes);
  uint32_t free_from = 0;
  uint32_t route_count = gbd_routes_get_count (routes);
  for (uint32_t i = 0; i < route_count; i++)
    {
      const gbd_route_t *route = gbd_routes_get (routes, i);
      for (uint32_t j = 0; j < route->target_count; j++)
        add_route (room, route, route->targets[j].service, &free_from);
    }
  for (uint32_t i = 0; i < room->service_count; i++)
    {
      gbd_room_service_t *service = &room->services[i].public;
      service->classes_id = get_classes_id (service);
      for (uint32_t j = 0; j < old_count; j++)
        if (old[j].public.id == service->id)
          keep_evidence (&room->services[i], &old[j]);
    }
  free (old);
}

gbd_room_route_t
gbd_room_find_route (const gbd_room_t *room, const gbd_address_t *address,
                     gbd_service_id_t service)
{
  gbd_room_route_t route = find_key (room, get_key (address, service));
  return gbd_room_is_configured (room, route) ? route : GBD_ROOM_ROUTE_NONE;
}

bool
gbd_room_is_configured (const gbd_room_t *room, gbd_room_route_t route)
{
  return get_configured (room, route) != NULL;
}

bool
gbd_room_record_response (gbd_room_t *room, gbd_room_route_t route,
                          uint32_t bytes, gbd_time_t duration, gbd_time_t now)
{
  if (!get_configured (room, route))
    return false;
  route_t *entry = &room->routes[route];
  service_t *service = &room->services[entry->service];
  bool is_short = is_short_response (entry, bytes, now);
  if (!is_short)
    learn_times (&service->public, &service->public.classes[entry->class],
                 duration, now < service->short_until);
  count (service, entry->class, is_short, now);
  if (is_short)
    check_shortage (service, now);
  return is_short;
}

void
gbd_room_record_limited_flow (gbd_room_t *room, gbd_room_route_t route,
                              gbd_time_t now)
{
  if (!get_configured (room, route))
    return;
  service_t *service = &room->services[room->routes[route].service];
  service->public.limited_flows++;
  count (service, room->routes[route].class, true, now);
  service->limited_at = now;
  check_shortage (service, now);
}

bool
gbd_room_is_short (const gbd_room_t *room, gbd_service_id_t service,
                   gbd_time_t now)
{
  const service_t *found = find_service (room, service);
  return found && now < found->short_until;
}

bool
gbd_room_has_wait (const gbd_room_t *room, uint32_t index)
{
  return has_wait (&room->services[index].public);
}

uint32_t
gbd_room_get_service_count (const gbd_room_t *room)
{
  return room->service_count;
}

const gbd_room_service_t *
gbd_room_get_service (const gbd_room_t *room, uint32_t index)
{
  return &room->services[index].public;
}

uint32_t
gbd_room_get_service_index (const gbd_room_t *room, gbd_room_route_t route)
{
  return room->routes[route].service;
}

uint32_t
gbd_room_get_class_index (const gbd_room_t *room, gbd_room_route_t route)
{
  return room->routes[route].class;
}

gbd_room_rate_t
gbd_room_get_rate (const gbd_room_t *room, uint32_t index, gbd_time_t duration,
                   gbd_time_t now)
{
  return get_rate (&room->services[index], duration, now);
}

uint32_t
gbd_room_get_usual_bytes (const gbd_room_t *room, gbd_room_route_t route)
{
  return room->routes[route].usual_bytes;
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
find_slot (const gbd_room_t *room, uint64_t key)
{
  uint32_t slot = (uint32_t)key & (room->index_size - 1);
  while (room->index[slot] != GBD_ROOM_ROUTE_NONE
         && room->routes[room->index[slot]].key != key)
    slot = (slot + 1) & (room->index_size - 1);
  return slot;
}

static gbd_room_route_t
find_key (const gbd_room_t *room, uint64_t key)
{
  return room->index_size ? room->index[find_slot (room, key)]
                          : GBD_ROOM_ROUTE_NONE;
}

/* Makes space for routes that are not in the table.  If memory is exhausted,
   the table stays as it is. */
static void
reserve_routes (gbd_room_t *room, const gbd_routes_t *routes)
{
  uint32_t count = count_unknown (room, routes);
  for (uint32_t i = 0; i < room->route_count; i++)
    count += room->routes[i].state == ROUTE_FORMER;
  if (count > GBD_ROOM_ROUTES_MAX)
    count = GBD_ROOM_ROUTES_MAX;
  if (count <= room->route_capacity)
    return;
  uint32_t index_size = INDEX_SIZE_MIN;
  while (index_size < 2 * count)
    index_size *= 2;
  gbd_room_route_t *index = malloc (index_size * sizeof *index);
  route_t *resized = realloc (room->routes, count * sizeof *resized);
  if (resized)
    room->routes = resized;
  if (!resized || !index)
    {
      free (index);
      return;
    }
  free (room->index);
  room->index = index;
  room->index_size = index_size;
  room->route_capacity = count;
  build_index (room);
}

static void
build_index (gbd_room_t *room)
{
  for (uint32_t i = 0; i < room->index_size; i++)
    room->index[i] = GBD_ROOM_ROUTE_NONE;
  for (uint32_t i = 0; i < room->route_count; i++)
    if (room->routes[i].state != ROUTE_FREE)
      room->index[find_slot (room, room->routes[i].key)] = (gbd_room_route_t)i;
}

/* Returns the number of routes' shares that have no entry. */
static uint32_t
count_unknown (const gbd_room_t *room, const gbd_routes_t *routes)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < gbd_routes_get_count (routes); i++)
    {
      const gbd_route_t *route = gbd_routes_get (routes, i);
      for (uint32_t j = 0; j < route->target_count; j++)
        count += find_key (room, get_key (&route->address,
                                          route->targets[j].service))
                 == GBD_ROOM_ROUTE_NONE;
    }
  return count;
}

/* Frees the entries of routes that were removed by the call before this one,
   and marks the others as former ones until they are added again. */
static void
release_former_routes (gbd_room_t *room)
{
  for (uint32_t i = 0; i < room->route_count; i++)
    if (room->routes[i].state != ROUTE_FREE)
      room->routes[i].state--;
  build_index (room);
}

/* Returns NULL if a route is not configured. */
static const route_t *
get_configured (const gbd_room_t *room, gbd_room_route_t route)
{
  return route < room->route_count
                 && room->routes[route].state == ROUTE_CONFIGURED
             ? &room->routes[route]
             : NULL;
}

static const service_t *
find_service (const gbd_room_t *room, gbd_service_id_t id)
{
  for (uint32_t i = 0; i < room->service_count; i++)
    if (room->services[i].public.id == id)
      return &room->services[i];
  return NULL;
}

static void
add_route (gbd_room_t *room, const gbd_route_t *route,
           gbd_service_id_t service_id, uint32_t *free_from)
{
  if (room->index_size == 0)
    return;
  service_t *service = add_service (room, service_id);
  if (!service)
    return;
  uint64_t key = get_key (&route->address, service_id);
  uint32_t slot = find_slot (room, key);
  if (room->index[slot] == GBD_ROOM_ROUTE_NONE)
    {
      gbd_room_route_t added = allocate_route (room, free_from);
      if (added == GBD_ROOM_ROUTE_NONE)
        return;
      room->routes[added]
          = (route_t){ .key = key, .last_usual_at = GBD_TIME_NEVER };
      room->index[slot] = added;
    }
  route_t *entry = &room->routes[room->index[slot]];
  entry->state = ROUTE_CONFIGURED;
  entry->service = (uint8_t)(service - room->services);
  entry->class = (uint8_t)add_class (&service->public, route);
}

/* Returns a free entry, or GBD_ROOM_ROUTE_NONE.
   @param free_from entries below it are in use */
static gbd_room_route_t
allocate_route (gbd_room_t *room, uint32_t *free_from)
{
  while (*free_from < room->route_count
         && room->routes[*free_from].state != ROUTE_FREE)
    (*free_from)++;
  if (*free_from == room->route_capacity)
    return GBD_ROOM_ROUTE_NONE;
  if (*free_from == room->route_count)
    room->route_count++;
  return (gbd_room_route_t)(*free_from)++;
}

static service_t *
add_service (gbd_room_t *room, gbd_service_id_t id)
{
  service_t *service = (service_t *)find_service (room, id);
  if (service || room->service_count == GBD_ROOM_SERVICES_MAX)
    return service;
  service = &room->services[room->service_count++];
  *service = (service_t){ .public
                          = { .id = id, .last_response_at = GBD_TIME_NEVER },
                          .limited_at = GBD_TIME_NEVER };
  return service;
}

/* Returns the index of the class of a route.  If there are too many classes,
   it is the one with the nearest priority. */
static uint32_t
add_class (gbd_room_service_t *service, const gbd_route_t *route)
{
  uint32_t nearest = 0;
  uint32_t least = UINT32_MAX;
  for (uint32_t i = 0; i < service->class_count; i++)
    {
      const gbd_room_class_t *class = &service->classes[i];
      if (class->priority == route->priority
          && class->response_goal == route->response_goal
          && class->is_idempotent == route->is_idempotent)
        return i;
      uint32_t distance = class->priority > route->priority
                              ? class->priority - route->priority
                              : route->priority - class->priority;
      if (distance < least)
        nearest = i;
      if (distance < least)
        least = distance;
    }
  if (service->class_count == GBD_ROOM_CLASSES_MAX)
    return nearest;
  service->classes[service->class_count]
      = (gbd_room_class_t){ .priority = route->priority,
                            .response_goal = route->response_goal,
                            .is_idempotent = route->is_idempotent };
  return service->class_count++;
}

static uint64_t
get_classes_id (const gbd_room_service_t *service)
{
  uint64_t id = service->class_count;
  for (uint32_t i = 0; i < service->class_count; i++)
    {
      const gbd_room_class_t *class = &service->classes[i];
      id = gbd_rendezvous_weight (id, class->priority);
      id = gbd_rendezvous_weight (id, (uint64_t) class->response_goal);
      id = gbd_rendezvous_weight (id, class->is_idempotent);
    }
  return id;
}

static void
keep_evidence (service_t *service, const service_t *old)
{
  if (service->public.classes_id == old->public.classes_id)
    *service = *old;
}

static bool
is_short_response (route_t *route, uint32_t bytes, gbd_time_t now)
{
  if (bytes > GBD_ROOM_RESPONSE_BYTES_MAX)
    bytes = GBD_ROOM_RESPONSE_BYTES_MAX;
  if (bytes * GBD_ROOM_SHORT_DIVISOR < route->usual_bytes
      && now - route->last_usual_at < GBD_ROOM_USUAL_VALIDITY)
    return true;
  bool is_replaced = bytes * GBD_ROOM_SHORT_DIVISOR < route->usual_bytes
                     || bytes > route->usual_bytes * GBD_ROOM_SHORT_DIVISOR;
  if (is_replaced)
    route->usual_bytes = bytes;
  else
    route->usual_bytes
        = (route->usual_bytes * (USUAL_WEIGHT - 1) + bytes) / USUAL_WEIGHT;
  route->last_usual_at = now;
  return false;
}

static void
count (service_t *service, uint32_t class, bool is_short, gbd_time_t now)
{
  bucket_t *bucket = &service->buckets[(now / BUCKET_TIME) % BUCKETS];
  gbd_time_t start = now - now % BUCKET_TIME;
  if (bucket->start != start)
    *bucket = (bucket_t){ .start = start };
  bucket->rate.total++;
  service->public.last_response_at = now;
  service->public.classes[class].responses++;
  if (!is_short)
    return;
  bucket->rate.short_count++;
  service->public.classes[class].short_responses++;
}

/* Checks after a short response whether the service is short of room. */
static void
check_shortage (service_t *service, gbd_time_t now)
{
  gbd_room_rate_t rate = get_rate (service, GBD_ROOM_WINDOW, now);
  bool was_short = now < service->short_until;
  uint32_t count_min
      = was_short ? GBD_ROOM_STAY_SHORT_COUNT_MIN : GBD_ROOM_SHORT_COUNT_MIN;
  uint32_t share_min
      = was_short ? GBD_ROOM_STAY_SHORT_MIN : GBD_ROOM_SHORT_MIN;
  if (!has_wait (&service->public)
      && now - service->limited_at >= GBD_ROOM_WINDOW)
    {
      count_min = GBD_ROOM_SURE_COUNT_MIN;
      share_min = GBD_ROOM_SURE_MIN;
    }
  if (rate.short_count >= count_min
      && rate.short_count * THOUSAND >= rate.total * share_min)
    service->short_until = now + GBD_ROOM_HOLD_TIME;
}

/* Whether requests of a service wait for slots; true if this is not known. */
static bool
has_wait (const gbd_room_service_t *service)
{
  uint64_t learned = 0;
  gbd_time_t least = 0;
  for (uint32_t i = 0; i < service->class_count; i++)
    {
      gbd_time_t work = service->classes[i].work;
      if (work > 0 && (least == 0 || work < least))
        least = work;
      learned += service->classes[i].responses
                 - service->classes[i].short_responses;
    }
  return learned < GBD_ROOM_WORK_RESPONSES_MIN
         || service->wait * GBD_ROOM_WAIT_DIVISOR >= least;
}

static void
learn_times (gbd_room_service_t *service, gbd_room_class_t *class,
             gbd_time_t duration, bool is_room_short)
{
  if (class->work == 0)
    class->work = duration;
  gbd_time_t difference = duration - class->work;
  /* In a long shortage nearly all requests wait, which is not work. */
  if (difference < 0)
    class->work += difference / WORK_FALL_WEIGHT;
  else if (!is_room_short)
    class->work += difference / WORK_RISE_WEIGHT;
  gbd_time_t wait = duration > class->work ? duration - class->work : 0;
  service->wait += (wait - service->wait) / WAIT_WEIGHT;
}

static gbd_room_rate_t
get_rate (const service_t *service, gbd_time_t duration, gbd_time_t now)
{
  gbd_room_rate_t rate = { .total = 0 };
  for (uint32_t i = 0; i < BUCKETS; i++)
    {
      const bucket_t *bucket = &service->buckets[i];
      if (now - bucket->start >= duration)
        continue;
      rate.total += bucket->rate.total;
      rate.short_count += bucket->rate.short_count;
    }
  return rate;
}
