#include "gooseberrydrum/response_time.h"

#define EXCESS_UNIT 1000 /* the response time of the peers */

void
gbd_response_time_add (gbd_response_time_t *estimate, gbd_time_t duration,
                       gbd_time_t now)
{
  if (now - estimate->updated_at > GBD_RESPONSE_TIME_VALIDITY)
    estimate->count = 0;
  estimate->updated_at = now;
  if (estimate->count == 0)
    estimate->average = duration;
  else
    estimate->average
        += (duration - estimate->average) / (1 << GBD_RESPONSE_TIME_SHIFT);
  if (estimate->count < GBD_RESPONSE_TIME_SAMPLES_MIN)
    estimate->count++;
}

gbd_time_t
gbd_response_time_get (const gbd_response_time_t *estimate, gbd_time_t now)
{
  if (estimate->count < GBD_RESPONSE_TIME_SAMPLES_MIN
      || now - estimate->updated_at > GBD_RESPONSE_TIME_VALIDITY)
    return 0;
  return estimate->average;
}

void
gbd_peer_response_time_add (gbd_peer_response_time_t *peers,
                            gbd_time_t estimate)
{
  if (estimate <= 0)
    return;
  peers->inverse_sum += 1.0 / (double)estimate;
  peers->count++;
}

gbd_time_t
gbd_peer_response_time_get (const gbd_peer_response_time_t *peers)
{
  return peers->count ? (gbd_time_t)(peers->count / peers->inverse_sum) : 0;
}

uint64_t
gbd_response_time_get_excess (const gbd_peer_response_time_t *peers,
                              gbd_time_t estimate)
{
  if (peers->count < 2 || estimate <= 0)
    return 0;
  double ratio = (double)estimate * peers->inverse_sum / peers->count;
  if (ratio <= GBD_RESPONSE_TIME_SLOW_FACTOR)
    return 0;
  return (uint64_t)((ratio - 1) * EXCESS_UNIT);
}
