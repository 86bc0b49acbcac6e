#include "gooseberrydrum/failing.h"

#include <math.h>

bool
gbd_failing_add (gbd_failing_t *failing, uint32_t count, gbd_time_t now)
{
  double before = gbd_failing_get_count (failing, now);
  failing->count = fmin (before + count, GBD_FAILING_COUNT_MAX);
  failing->added_at = now;
  return before <= GBD_FAILING_COUNT_MAX - 1;
}

double
gbd_failing_get_count (const gbd_failing_t *failing, gbd_time_t now)
{
  if (failing->count == 0)
    return 0;
  return failing->count
         * exp (-(double)(now - failing->added_at)
                / (double)GBD_FAILING_DECAY_TIME);
}

void
gbd_failing_update (gbd_failing_t *failing, double median, gbd_time_t now)
{
  double count = gbd_failing_get_count (failing, now);
  double minimum = failing->is_failing ? GBD_FAILING_STAY_COUNT_MIN
                                       : GBD_FAILING_COUNT_MIN;
  bool was_failing = failing->is_failing;
  failing->is_failing = count >= minimum + GBD_FAILING_MEDIAN_FACTOR * median;
  failing->has_changed ^= failing->is_failing != was_failing;
}

bool
gbd_failing_take_change (gbd_failing_t *failing)
{
  bool has_changed = failing->has_changed;
  failing->has_changed = false;
  return has_changed;
}
