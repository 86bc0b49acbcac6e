/** @file room.h
 *  Whether the backend servers of a service have room for its requests, as one
 *  instance sees it.
 *
 *  Load pattern: callers send more requests than the slots and queues of the
 *  servers hold.  A full server responds at once that it has not run the
 *  request.  An instance cannot read responses, but it sees by how many bytes
 *  the caller's acknowledgment advances: such a response is much shorter than
 *  the others of its route.  A server at its connection limit resets a flow;
 *  the flow then ends after its first opening packet.
 *
 *  Sizes are bytes, times gbd_time_t.  The evidence is kept per service and
 *  class.  A class is a set of routes of one service with equal priority,
 *  response-time goal and kind.  The table of routes holds all configured
 *  routes, since most of many routes have no traffic, and nothing tells which
 *  ones have.  Its memory is in proportion to the largest number of routes so
 *  far.  The other tables have a fixed size; what does not fit gives no
 *  evidence.
 */
#ifndef GOOSEBERRYDRUM_ROOM_H
#define GOOSEBERRYDRUM_ROOM_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/routes.h"

GBD_BEGIN_DECLS

#define GBD_ROOM_SERVICES_MAX 32
#define GBD_ROOM_CLASSES_MAX 8 /**< classes of one service */

/** A response is short if it has less than the usual bytes of its route
 *  divided by this. */
#define GBD_ROOM_SHORT_DIVISOR 4
/** More bytes of a response do not count: callers acknowledge every second
 *  packet of up to 1,200 bytes (platform contract), so more of them are
 *  several acknowledgments in one. */
#define GBD_ROOM_RESPONSE_BYTES_MAX 2400
/** A route that had only short responses for this time has these as its usual
 *  ones.  Full servers complete some requests of a route in this time. */
#define GBD_ROOM_USUAL_VALIDITY (10 * GBD_SECOND)
/** Time over which responses are counted. */
#define GBD_ROOM_WINDOW GBD_SECOND
/** Share of short responses, in thousandths, from which a service is short of
 *  room, and their least number. */
#define GBD_ROOM_SHORT_MIN 20
#define GBD_ROOM_SHORT_COUNT_MIN 2
/** The same for a service that already is short of room.  They are lower,
 *  because admission control keeps the share near 3 %, which is less than two
 *  responses a second at an instance with few flows. */
#define GBD_ROOM_STAY_SHORT_MIN 10
#define GBD_ROOM_STAY_SHORT_COUNT_MIN 1
/** The same while requests hardly wait for slots: their mean wait is less than
 *  their work divided by GBD_ROOM_WAIT_DIVISOR.  Short responses now and then
 *  are natural ones of a route then, as servers with a full queue delay
 *  others.  A higher share is evidence all the same, as short responses come
 *  before those of requests that waited. */
#define GBD_ROOM_SURE_MIN 150
#define GBD_ROOM_SURE_COUNT_MIN 8
#define GBD_ROOM_WAIT_DIVISOR 2
/** Responses of a service, without short ones, after which its work is known.
 */
#define GBD_ROOM_WORK_RESPONSES_MIN 100
/** How long a service stays short of room after the last such second. */
#define GBD_ROOM_HOLD_TIME (3 * GBD_SECOND)
/** How long placement goes on dividing the servers among the instances after
 *  that.  With the division the shortage itself ends, while the demand that
 *  caused it goes on; without it the shortage would return every few seconds.
 */
#define GBD_ROOM_SPREAD_TIME (30 * GBD_SECOND)

typedef struct gbd_room gbd_room_t;

/** Identifies a route's share of one service; stable while it is configured.
 */
typedef uint16_t gbd_room_route_t;
#define GBD_ROOM_ROUTE_NONE ((gbd_room_route_t)0xffff)
#define GBD_ROOM_ROUTES_MAX GBD_ROOM_ROUTE_NONE

/** A class of a service, and what was observed of it. */
typedef struct
{
  uint32_t priority;        /**< 0 is the most urgent */
  gbd_time_t response_goal; /**< 0: not stated */
  bool is_idempotent;
  gbd_time_t work; /**< response time without waiting; 0: not known */
  uint64_t responses;
  uint64_t short_responses; /**< including flows without a response */
} gbd_room_class_t;

/** A service, and what was observed of it. */
typedef struct
{
  gbd_service_id_t id;
  uint64_t classes_id; /**< changes with the attributes of the classes */
  uint32_t class_count;
  gbd_room_class_t classes[GBD_ROOM_CLASSES_MAX];
  gbd_time_t wait;             /**< mean time that requests wait for a slot */
  gbd_time_t last_response_at; /**< GBD_TIME_NEVER: none */
  uint64_t limited_flows;      /**< flows without a response at a server at its
                                    connection limit */
} gbd_room_service_t;

/** Responses within some time. */
typedef struct
{
  uint32_t total;
  uint32_t short_count;
} gbd_room_rate_t;

/** @return NULL if memory is exhausted. */
gbd_room_t *gbd_room_new (void);
void gbd_room_delete (gbd_room_t *room);

/** Set the routes.  Routes that stay keep their handle and their usual size;
 *  services whose classes stay the same keep their evidence.
 *  Handles of routes that are removed are not reused before the next call;
 *  until then, who stores handles must drop those that are no longer
 *  configured.  If memory is exhausted, routes that are new may be left out.
 */
void gbd_room_set_routes (gbd_room_t *room, const gbd_routes_t *routes);

/** Find the share of a route that goes to a service.
 *  @return GBD_ROOM_ROUTE_NONE if it is not known. */
gbd_room_route_t gbd_room_find_route (const gbd_room_t *room,
                                      const gbd_address_t *address,
                                      gbd_service_id_t service);

/** @param route any value
 *  @return false for a former route and GBD_ROOM_ROUTE_NONE. */
bool gbd_room_is_configured (const gbd_room_t *room, gbd_room_route_t route);

/** Record the first sign of the response to a request.
 *  @param route GBD_ROOM_ROUTE_NONE is ignored
 *  @param bytes by how much the acknowledgment number advanced
 *  @param duration time since the request
 *  @return whether the response is short. */
bool gbd_room_record_response (gbd_room_t *room, gbd_room_route_t route,
                               uint32_t bytes, gbd_time_t duration,
                               gbd_time_t now);

/** Whether gbd_room_record_response() would take a response for short.
 *  @param route as there */
bool gbd_room_is_short_size (const gbd_room_t *room, gbd_room_route_t route,
                             uint32_t bytes, gbd_time_t now);

/** Record that a server at its connection limit has reset a flow. */
void gbd_room_record_limited_flow (gbd_room_t *room, gbd_room_route_t route,
                                   gbd_time_t now);

/** Set whether only few servers of a service refuse requests: they fail, or
 *  are full while others have room.  The service then is not short of room.
 *  Has no effect while it is, as admission control makes refusals rare.
 *  @param route a configured route of the service */
void gbd_room_set_narrow (gbd_room_t *room, gbd_room_route_t route,
                          bool is_narrow, gbd_time_t now);

/** Whether a service is short of room. */
bool gbd_room_is_short (const gbd_room_t *room, gbd_service_id_t service,
                        gbd_time_t now);

/** Whether requests of a service wait for slots; true if this is not known.
 *  @param index of the service */
bool gbd_room_has_wait (const gbd_room_t *room, uint32_t index);

/** Whether a service is short of room, or was within GBD_ROOM_SPREAD_TIME.
 *  Few servers that refuse requests are enough. */
bool gbd_room_was_short (const gbd_room_t *room, gbd_service_id_t service,
                         gbd_time_t now);

/** @return number of services, whose indices are below it. */
uint32_t gbd_room_get_service_count (const gbd_room_t *room);
const gbd_room_service_t *gbd_room_get_service (const gbd_room_t *room,
                                                uint32_t index);
/** @return index of the service of a route; it is below
 *  GBD_ROOM_SERVICES_MAX. */
uint32_t gbd_room_get_service_index (const gbd_room_t *room,
                                     gbd_room_route_t route);
/** @return index of the class of a route within its service. */
uint32_t gbd_room_get_class_index (const gbd_room_t *room,
                                   gbd_room_route_t route);

/** @return the responses of a service within the given time, at most
 *  GBD_ROOM_WINDOW. */
gbd_room_rate_t gbd_room_get_rate (const gbd_room_t *room, uint32_t index,
                                   gbd_time_t duration, gbd_time_t now);

/** @return usual first acknowledged bytes of a route; 0: not known. */
uint32_t gbd_room_get_usual_bytes (const gbd_room_t *room,
                                   gbd_room_route_t route);

GBD_END_DECLS
#endif
