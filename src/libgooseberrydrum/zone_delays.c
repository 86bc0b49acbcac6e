#include "gooseberrydrum/zone_delays.h"

#define AVERAGE_SHIFT 3 /* a new sample has the weight 1/8 */
#define COST_UNIT 1000  /* cost of the processing time of one request */
/* An opening packet and a request, each with its response, against the former
   alone, which the set-up time contains. */
#define ROUND_TRIPS 2

static uint32_t find_zone (const gbd_zone_delays_t *delays,
                           gbd_zone_id_t zone);

void
gbd_zone_delays_add (gbd_zone_delays_t *delays, gbd_zone_id_t zone,
                     gbd_time_t setup_time)
{
  uint32_t index = find_zone (delays, zone);
  if (index == GBD_ZONE_DELAYS_MAX || setup_time <= 0)
    return;
  if (index == delays->count)
    {
      delays->count++;
      delays->zones[index].zone = zone;
      delays->zones[index].setup_time = setup_time;
      return;
    }
  gbd_time_t *average = &delays->zones[index].setup_time;
  *average += (setup_time - *average) / (1 << AVERAGE_SHIFT);
}

gbd_time_t
gbd_zone_delays_get (const gbd_zone_delays_t *delays, gbd_zone_id_t zone)
{
  uint32_t index = find_zone (delays, zone);
  return index < delays->count ? delays->zones[index].setup_time : 0;
}

gbd_time_t
gbd_zone_delays_get_round_trip (const gbd_zone_delays_t *delays,
                                gbd_zone_id_t local_zone, gbd_zone_id_t zone)
{
  gbd_time_t local = gbd_zone_delays_get (delays, local_zone);
  gbd_time_t other = gbd_zone_delays_get (delays, zone);
  return local && other > local ? other - local : 0;
}

uint64_t
gbd_zone_delays_get_cost (const gbd_zone_delays_t *delays,
                          gbd_zone_id_t local_zone, gbd_zone_id_t zone,
                          gbd_time_t response_time)
{
  gbd_time_t local = gbd_zone_delays_get (delays, local_zone);
  gbd_time_t other = gbd_zone_delays_get (delays, zone);
  if (zone == local_zone)
    return 0;
  if (!local || !other || response_time <= local)
    return GBD_ZONE_DELAYS_COST_MIN;
  gbd_time_t delay
      = ROUND_TRIPS
        * gbd_zone_delays_get_round_trip (delays, local_zone, zone);
  uint64_t cost = (uint64_t)(delay * COST_UNIT / (response_time - local));
  if (cost < GBD_ZONE_DELAYS_COST_MIN)
    return GBD_ZONE_DELAYS_COST_MIN;
  return cost < GBD_ZONE_DELAYS_COST_MAX ? cost : GBD_ZONE_DELAYS_COST_MAX;
}

/* Returns the index of a zone, or the number of observed zones if it is not
   among them. */
static uint32_t
find_zone (const gbd_zone_delays_t *delays, gbd_zone_id_t zone)
{
  uint32_t index = 0;
  while (index < delays->count && delays->zones[index].zone != zone)
    index++;
  return index;
}
