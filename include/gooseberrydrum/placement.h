/** @file placement.h
 *  Which backend server takes a new flow.
 *
 *  Answers two load patterns.  With slots free, a flow stays in its own zone:
 *  an opening packet and a request that cross zones pay the zones' delay, and
 *  a zone that is cut off serves itself.  In a burst, when the slots of the
 *  own zone have flows waiting, new flows go where they wait least, which is
 *  another zone as soon as that wait exceeds the delay between zones.
 *  Suspected backend servers get trial flows only, unless no other is left.
 *  When many fall silent at once, a repeated opening packet prefers one that
 *  has answered of late: a second choice in vain costs its caller 0.4 s more.
 */
#ifndef GOOSEBERRYDRUM_PLACEMENT_H
#define GOOSEBERRYDRUM_PLACEMENT_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/pool.h"

GBD_BEGIN_DECLS

/** Cost of another zone, in thousandths of the time that one request takes:
 *  four crossings of about 5 ms against 15 to 20 ms of work (site sheets). */
#define GBD_PLACEMENT_ZONE_COST 1000
/** Cost of a backend server that is not warm: it takes up to 1.6 times as
 *  long (site sheets). */
#define GBD_PLACEMENT_WARM_UP_COST 600
/** Cost, for a repeated opening packet, of a backend server that has answered
 *  nothing for GBD_PLACEMENT_RESPONSE_WINDOW: above that of another zone,
 * below that of a full queue. */
#define GBD_PLACEMENT_NO_RESPONSE_COST 3000
/** An instance of the grown sites hears some fifteen of 150 backend servers a
 *  second (site sheets: 20 requests a second and instance). */
#define GBD_PLACEMENT_RESPONSE_WINDOW GBD_SECOND
/** For how long an entry that was removed without draining may still stand
 *  in for a service with no other: below every drain bound of the sites. */
#define GBD_PLACEMENT_LAST_RESORT (2 * GBD_SECOND)

/** What a choice depends on besides the pool. */
typedef struct
{
  gbd_service_id_t service;
  gbd_zone_id_t zone;      /**< of this instance */
  gbd_flow_hash_t hash;    /**< breaks ties alike at all instances */
  gbd_pool_handle_t avoid; /**< did not answer this flow, or GBD_POOL_NONE */
} gbd_placement_t;

/** Choose without effect.
 *  @return GBD_POOL_NONE if no backend server of the service can take a
 *  flow. */
gbd_pool_handle_t gbd_placement_choose (const gbd_pool_t *pool,
                                        const gbd_placement_t *placement,
                                        gbd_time_t now);

GBD_END_DECLS
#endif
