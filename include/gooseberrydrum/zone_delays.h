/** @file zone_delays.h
 *  How much later a flow is set up if its backend server is in another
 *  availability zone, from the flows that pass through this instance.
 *
 *  Load pattern: the servers of the local zone are busy, or some of them have
 *  failed, and a flow is placed either in their queues or in another zone.
 *  Zones may be 0.2 or 60 ms apart, and a request may take 1 or 500 ms, so
 *  neither is better at every deployment.
 */
#ifndef GOOSEBERRYDRUM_ZONE_DELAYS_H
#define GOOSEBERRYDRUM_ZONE_DELAYS_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Zones beyond this number are treated as not observed. */
#define GBD_ZONE_DELAYS_MAX 16
/** Least cost of another zone, in thousandths of the processing time of one
 *  request, also used for a zone that is not observed yet.  A flow stays in
 * its zone unless it would wait for a whole request there, because an instance
 *  places most flows of its zone's servers, and so knows their load better. */
#define GBD_ZONE_DELAYS_COST_MIN 1000
/** Highest cost of a zone. */
#define GBD_ZONE_DELAYS_COST_MAX 100000

/** Zero-initialized: nothing is observed. */
typedef struct
{
  uint32_t count;
  struct
  {
    gbd_zone_id_t zone;
    gbd_time_t setup_time; /**< moving average */
  } zones[GBD_ZONE_DELAYS_MAX];
} gbd_zone_delays_t;

/** Add a sample.
 *  @param setup_time time from an opening packet to the next packet of its
 *  flow, which is not affected by queues of requests */
void gbd_zone_delays_add (gbd_zone_delays_t *delays, gbd_zone_id_t zone,
                          gbd_time_t setup_time);

/** @return average set-up time; 0 if the zone is not observed. */
gbd_time_t gbd_zone_delays_get (const gbd_zone_delays_t *delays,
                                gbd_zone_id_t zone);

/** @return the additional delay of one round trip to another zone; 0 if it is
 *  not known. */
gbd_time_t gbd_zone_delays_get_round_trip (const gbd_zone_delays_t *delays,
                                           gbd_zone_id_t local_zone,
                                           gbd_zone_id_t zone);

/** Cost of a flow in another zone: the delay of its opening packet and of its
 *  first request, each with its response.
 *  @param local_zone    zone of this instance
 *  @param response_time time in which a request gets its response in the local
 *  zone; 0 if not known
 *  @return thousandths of the processing time of one request */
uint64_t gbd_zone_delays_get_cost (const gbd_zone_delays_t *delays,
                                   gbd_zone_id_t local_zone,
                                   gbd_zone_id_t zone,
                                   gbd_time_t response_time);

GBD_END_DECLS
#endif
