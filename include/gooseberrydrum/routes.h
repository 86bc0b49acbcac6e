/** @file routes.h
 *  Maps destination addresses to services: one accepted configuration, in the
 *  form that the cookie policy uses.
 */
#ifndef GOOSEBERRYDRUM_ROUTES_H
#define GOOSEBERRYDRUM_ROUTES_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

#define GBD_ROUTE_TARGETS_MAX 8 /**< services that share one address */

/** A service that gets a share of the new flows of an address. */
typedef struct
{
  gbd_service_id_t service;
  uint32_t weight;
} gbd_route_target_t;

/** Route of one address of a customer. */
typedef struct
{
  gbd_address_t address;
  bool is_idempotent; /**< callers may retry its requests after any failure */
  uint32_t priority;  /**< 0 is the most urgent */
  gbd_time_t response_goal; /**< time within which callers want a response; 0:
                                 not stated */
  gbd_time_t time_limit;    /**< time after which callers give up; 0: not
                                 stated */
  uint32_t target_count;
  gbd_route_target_t targets[GBD_ROUTE_TARGETS_MAX];
} gbd_route_t;

/** Highest values that a configuration may state. */
#define GBD_ROUTE_PRIORITY_MAX 1000
#define GBD_ROUTE_TIME_MAX (86400 * GBD_SECOND)
#define GBD_WARM_UP_TIME_MAX (600 * GBD_SECOND)
#define GBD_WARM_UP_RATE_MAX 1e6

/** What a backend server of one service bears after its start.
 *  Zero-initialized: not stated. */
typedef struct
{
  gbd_time_t duration; /**< time for which a server is cold */
  double rate; /**< requests per second that a cold server bears; 0: no limit
                    is stated */
  char name[GBD_NAME_MAX + 1]; /**< name of the service, for reports */
} gbd_warm_up_limits_t;

typedef struct gbd_routes gbd_routes_t;

/** @param version version of the accepted configuration; each newer
 *  configuration has a higher one */
gbd_routes_t *gbd_routes_new (uint64_t version);
void gbd_routes_delete (gbd_routes_t *routes);

/** Add a route.
 *  @return GBD_OK; GBD_ERROR_CONFLICT if the address already has a route;
 *  GBD_ERROR_RANGE if there are no targets or too many; GBD_ERROR_MEMORY. */
gbd_status_t gbd_routes_add (gbd_routes_t *routes, const gbd_route_t *route);

/** @return NULL if the address has no route. */
const gbd_route_t *gbd_routes_find (const gbd_routes_t *routes,
                                    const gbd_address_t *address);

/** Whether a service has routes that are idempotent and routes that are not.
 *  Targets of weight 0 do not count. */
bool gbd_routes_has_both_kinds (const gbd_routes_t *routes,
                                gbd_service_id_t service);

/** Choose the service of a new flow by weight; equal hashes give equal
 *  services. */
gbd_service_id_t gbd_route_choose (const gbd_route_t *route,
                                   gbd_flow_hash_t hash);

/** Set the time after which an idle flow may be discarded, as the
 *  configuration states it. */
void gbd_routes_set_idle_timeout (gbd_routes_t *routes,
                                  gbd_time_t idle_timeout);
/** @return 0 if the configuration does not state it. */
gbd_time_t gbd_routes_get_idle_timeout (const gbd_routes_t *routes);

/** Set the name of a service, for reports.
 *  @param name truncated to GBD_NAME_MAX bytes
 *  @return GBD_ERROR_MEMORY if memory is exhausted. */
gbd_status_t gbd_routes_set_service_name (gbd_routes_t *routes,
                                          const char *name);
/** @return NULL if it is not known. */
const char *gbd_routes_get_service_name (const gbd_routes_t *routes,
                                         gbd_service_id_t service);

/** Set what cold backend servers of a service bear.
 *  @return GBD_ERROR_RANGE for values above the limits; GBD_ERROR_MEMORY. */
gbd_status_t gbd_routes_set_warm_up (gbd_routes_t *routes,
                                     gbd_service_id_t service,
                                     const gbd_warm_up_limits_t *limits);
/** @return zeros if the configuration states nothing for the service. */
gbd_warm_up_limits_t gbd_routes_get_warm_up (const gbd_routes_t *routes,
                                             gbd_service_id_t service);

uint64_t gbd_routes_get_version (const gbd_routes_t *routes);
uint32_t gbd_routes_get_count (const gbd_routes_t *routes);
/** @param index below gbd_routes_get_count(); the order is that of the
 *  addresses */
const gbd_route_t *gbd_routes_get (const gbd_routes_t *routes, uint32_t index);

GBD_END_DECLS
#endif
