#include "libgooseberrydrum/room_routes.h"

#include <stdlib.h>
#include <string.h>

#define BUCKET_TIME (100 * GBD_MILLISECOND)
#define BUCKETS ((uint32_t)(GBD_ROOM_WINDOW / BUCKET_TIME))
#define THOUSAND 1000u
#define USUAL_WEIGHT 8 /* a new sample's share of the usual size: 1/8 */
#define WAIT_WEIGHT 16 /* the same for the wait */
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
  bool is_narrow;        /* only few servers refuse requests */
  gbd_time_t limited_at; /* last flow reset at the connection limit */
  bucket_t buckets[BUCKETS];
} service_t;

struct gbd_room
{
  uint32_t service_count;
  service_t services[GBD_ROOM_SERVICES_MAX];
  gbd_room_routes_t routes;
};

static const service_t *find_service (const gbd_room_t *room,
                                      gbd_service_id_t id);
static void add_route (gbd_room_t *room, const gbd_route_t *route,
                       gbd_service_id_t service_id);
static service_t *add_service (gbd_room_t *room, gbd_service_id_t id);
static uint32_t add_class (gbd_room_service_t *service,
                           const gbd_route_t *route);
static uint64_t get_classes_id (const gbd_room_service_t *service);
static void keep_evidence (service_t *service, const service_t *old);
static uint32_t limit_bytes (uint32_t bytes);
static bool is_short_size (const gbd_room_route_entry_t *route, uint32_t bytes,
                           gbd_time_t now);
static bool is_short_response (gbd_room_route_entry_t *route, uint32_t bytes,
                               gbd_time_t now);
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
  gbd_room_routes_clear (&room->routes);
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
  gbd_room_routes_prepare (&room->routes, routes);
  uint32_t route_count = gbd_routes_get_count (routes);
  for (uint32_t i = 0; i < route_count; i++)
    {
      const gbd_route_t *route = gbd_routes_get (routes, i);
      for (uint32_t j = 0; j < route->target_count; j++)
        add_route (room, route, route->targets[j].service);
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
  gbd_room_route_t route
      = gbd_room_routes_find (&room->routes, address, service);
  return gbd_room_is_configured (room, route) ? route : GBD_ROOM_ROUTE_NONE;
}

bool
gbd_room_is_configured (const gbd_room_t *room, gbd_room_route_t route)
{
  return gbd_room_routes_is_configured (&room->routes, route);
}

bool
gbd_room_record_response (gbd_room_t *room, gbd_room_route_t route,
                          uint32_t bytes, gbd_time_t duration, gbd_time_t now)
{
  if (!gbd_room_is_configured (room, route))
    return false;
  gbd_room_route_entry_t *entry = &room->routes.entries[route];
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

bool
gbd_room_is_short_size (const gbd_room_t *room, gbd_room_route_t route,
                        uint32_t bytes, gbd_time_t now)
{
  return gbd_room_is_configured (room, route)
         && is_short_size (&room->routes.entries[route], limit_bytes (bytes),
                           now);
}

void
gbd_room_record_limited_flow (gbd_room_t *room, gbd_room_route_t route,
                              gbd_time_t now)
{
  if (!gbd_room_is_configured (room, route))
    return;
  service_t *service = &room->services[room->routes.entries[route].service];
  service->public.limited_flows++;
  count (service, room->routes.entries[route].class, true, now);
  service->limited_at = now;
  check_shortage (service, now);
}

bool
gbd_room_is_short (const gbd_room_t *room, gbd_service_id_t service,
                   gbd_time_t now)
{
  const service_t *found = find_service (room, service);
  return found && now < found->short_until && !found->is_narrow;
}

void
gbd_room_set_narrow (gbd_room_t *room, gbd_room_route_t route, bool is_narrow,
                     gbd_time_t now)
{
  service_t *service = &room->services[room->routes.entries[route].service];
  if (now >= service->short_until || service->is_narrow)
    service->is_narrow = is_narrow;
}

bool
gbd_room_has_wait (const gbd_room_t *room, uint32_t index)
{
  return has_wait (&room->services[index].public);
}

bool
gbd_room_was_short (const gbd_room_t *room, gbd_service_id_t service,
                    gbd_time_t now)
{
  const service_t *found = find_service (room, service);
  return found && now < found->short_until + GBD_ROOM_SPREAD_TIME
         && found->short_until > 0;
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
  return room->routes.entries[route].service;
}

uint32_t
gbd_room_get_class_index (const gbd_room_t *room, gbd_room_route_t route)
{
  return room->routes.entries[route].class;
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
  return room->routes.entries[route].usual_bytes;
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
           gbd_service_id_t service_id)
{
  service_t *service = add_service (room, service_id);
  if (!service)
    return;
  gbd_room_route_entry_t *entry
      = gbd_room_routes_add (&room->routes, &route->address, service_id);
  if (!entry)
    return;
  entry->service = (uint8_t)(service - room->services);
  entry->class = (uint8_t)add_class (&service->public, route);
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

static uint32_t
limit_bytes (uint32_t bytes)
{
  return bytes < GBD_ROOM_RESPONSE_BYTES_MAX ? bytes
                                             : GBD_ROOM_RESPONSE_BYTES_MAX;
}

static bool
is_short_size (const gbd_room_route_entry_t *route, uint32_t bytes,
               gbd_time_t now)
{
  return bytes * GBD_ROOM_SHORT_DIVISOR < route->usual_bytes
         && now - route->last_usual_at < GBD_ROOM_USUAL_VALIDITY;
}

static bool
is_short_response (gbd_room_route_entry_t *route, uint32_t bytes,
                   gbd_time_t now)
{
  bytes = limit_bytes (bytes);
  if (is_short_size (route, bytes, now))
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
