#include "gooseberrydrum/recent_flows.h"

void
gbd_recent_flows_add (gbd_recent_flows_t *recent, gbd_time_t now)
{
  recent->count = gbd_recent_flows_get (recent, now) + 1;
  recent->added_at = now;
}

double
gbd_recent_flows_get (const gbd_recent_flows_t *recent, gbd_time_t now)
{
  gbd_time_t age = now - recent->added_at;
  if (age >= GBD_RECENT_FLOWS_TIME)
    return 0;
  return recent->count * (1 - (double)age / GBD_RECENT_FLOWS_TIME);
}
