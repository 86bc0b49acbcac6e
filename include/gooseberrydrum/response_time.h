/** @file response_time.h
 *  Estimate of how long a backend server takes to respond, from the packets of
 *  its flows, and whether it is slow beside its peers.
 *
 *  Load pattern: some backend servers of a service work several times slower
 *  than the others for seconds, while their entries are ready and every
 *  request gets a response.  Flows that wait there show this late, and each
 *  instance sees only its own.  A server is compared with the other servers of
 *  its service, so a burst that slows all of them makes none of them slow.
 */
#ifndef GOOSEBERRYDRUM_RESPONSE_TIME_H
#define GOOSEBERRYDRUM_RESPONSE_TIME_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Binary logarithm of the number of samples over which the moving average
 *  extends: the weight of a new one is a quarter. */
#define GBD_RESPONSE_TIME_SHIFT 2
/** Samples from which an estimate is used. */
#define GBD_RESPONSE_TIME_SAMPLES_MIN 3
/** An estimate without a new sample is discarded after this time, so that a
 *  backend server that has recovered gets flows again. */
#define GBD_RESPONSE_TIME_VALIDITY GBD_SECOND
/** A backend server is slow if its estimate exceeds that of its peers by this
 *  factor.  Requests differ in their work by less. */
#define GBD_RESPONSE_TIME_SLOW_FACTOR 2

/** Zero-initialized: no estimate. */
typedef struct
{
  gbd_time_t average;
  gbd_time_t updated_at;
  uint32_t count; /**< samples, up to GBD_RESPONSE_TIME_SAMPLES_MIN */
} gbd_response_time_t;

/** Add a sample.
 *  @param duration time from a request to the sign of its response */
void gbd_response_time_add (gbd_response_time_t *estimate, gbd_time_t duration,
                            gbd_time_t now);

/** @return the estimate; 0 if there is none. */
gbd_time_t gbd_response_time_get (const gbd_response_time_t *estimate,
                                  gbd_time_t now);

/** Estimate of the peers of a service: the harmonic mean, on which a few slow
 *  servers have little influence.  Zero-initialized: empty. */
typedef struct
{
  double inverse_sum; /**< sum of the inverse estimates, in 1 / gbd_time_t */
  uint32_t count;
} gbd_peer_response_time_t;

/** Include the estimate of a server; 0 is left out. */
void gbd_peer_response_time_add (gbd_peer_response_time_t *peers,
                                 gbd_time_t estimate);

/** @return the response time of the peers; 0 if it is not known. */
gbd_time_t gbd_peer_response_time_get (const gbd_peer_response_time_t *peers);

/** @return how much longer a server takes than its peers, in thousandths of
 *  their time; 0 if it is not slow, or if either is not known. */
uint64_t gbd_response_time_get_excess (const gbd_peer_response_time_t *peers,
                                       gbd_time_t estimate);

GBD_END_DECLS
#endif
