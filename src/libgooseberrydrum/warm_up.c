#include "gooseberrydrum/warm_up.h"

#include <math.h>

/* Margin of the bound in standard deviations.  The exact tail at 5 is up to
   1.4e-5, for budgets from 3 to 7. */
#define MARGIN 5.3
/* Instances that may have joined since the view was taken, as a fraction. */
#define GROUP_MARGIN_DIVISOR 2
/* Distinguishes this use of the hash from others. */
#define HASH_SALT 0x7761726d2d757000u
#define HASH_BITS 53 /* bits that a double represents exactly */

static double get_fraction (gbd_instance_id_t instance,
                            gbd_backend_id_t server);

void
gbd_warm_up_group_update (gbd_warm_up_group_t *group, uint32_t total,
                          gbd_time_t now)
{
  if (!group->is_started)
    *group = (gbd_warm_up_group_t){ .bound = GBD_WARM_UP_GROUP_UNKNOWN,
                                    .started_at = now,
                                    .is_started = true };
  if (total == 0)
    return;
  uint64_t bound = (uint64_t)total
                   + (total + GROUP_MARGIN_DIVISOR - 1) / GROUP_MARGIN_DIVISOR;
  uint32_t new_bound = bound < UINT32_MAX ? (uint32_t)bound : UINT32_MAX;
  if (new_bound < group->bound)
    {
      group->previous = gbd_warm_up_group_get_bound (group, now);
      group->previous_until = now + GBD_WARM_UP_GROUP_HOLD;
    }
  group->bound = new_bound;
}

uint32_t
gbd_warm_up_group_get_bound (const gbd_warm_up_group_t *group, gbd_time_t now)
{
  if (!group->is_started)
    return GBD_WARM_UP_GROUP_UNKNOWN;
  return group->previous > group->bound && now < group->previous_until
             ? group->previous
             : group->bound;
}

gbd_warm_up_share_t
gbd_warm_up_get_share (const gbd_warm_up_settings_t *settings,
                       const gbd_warm_up_limits_t *limits,
                       const gbd_warm_up_group_t *group, gbd_time_t now)
{
  if (!(settings->overshoot >= 1) || !(limits->rate > 0))
    return (gbd_warm_up_share_t){ .is_limited = false };
  double budget = floor (limits->rate * settings->overshoot + settings->slack);
  gbd_warm_up_share_t share = {
    .is_limited = true,
    .is_starting
    = !group->is_started || now - group->started_at < GBD_WARM_UP_INTERVAL,
    .duration = limits->duration,
    .budget = budget < UINT32_MAX ? (uint32_t)budget : UINT32_MAX,
    .group_bound = gbd_warm_up_group_get_bound (group, now),
    .interval = GBD_WARM_UP_INTERVAL,
    .instance = settings->instance,
  };
  double mean = gbd_warm_up_get_mean (share.budget);
  share.share = mean / share.group_bound;
  if (share.share < 1)
    return share;
  /* One microsecond more, so that an interval is never rounded down. */
  share.interval = GBD_WARM_UP_INTERVAL / (gbd_time_t)share.share + 1;
  share.share = 1;
  return share;
}

/* Solves mean + MARGIN * sqrt (mean) + 1 = budget. */
double
gbd_warm_up_get_mean (uint32_t budget)
{
  if (budget <= 1)
    return 0;
  double root
      = (sqrt (MARGIN * MARGIN + 4.0 * ((double)budget - 1)) - MARGIN) / 2;
  return root * root;
}

void
gbd_warm_up_init (gbd_warm_up_t *warm_up)
{
  *warm_up = (gbd_warm_up_t){ .assumed_start_at = GBD_TIME_NEVER,
                              .sent_at = GBD_TIME_NEVER };
}

bool
gbd_warm_up_takes_part (const gbd_warm_up_share_t *share,
                        gbd_backend_id_t server)
{
  return get_fraction (share->instance, server) < share->share;
}

bool
gbd_warm_up_allows (const gbd_warm_up_share_t *share,
                    const gbd_warm_up_t *warm_up, gbd_backend_id_t server,
                    gbd_time_t now)
{
  if (!share->is_limited)
    return true;
  return !share->is_starting && now - warm_up->sent_at >= share->interval
         && gbd_warm_up_takes_part (share, server);
}

void
gbd_warm_up_record_sent (gbd_warm_up_t *warm_up, gbd_time_t now)
{
  if (now > warm_up->sent_at)
    warm_up->sent_at = now;
}

/* Returns a hash from 0 to less than 1. */
static double
get_fraction (gbd_instance_id_t instance, gbd_backend_id_t server)
{
  uint64_t weight = gbd_rendezvous_weight (server, instance ^ HASH_SALT);
  return ldexp ((double)(weight >> (64 - HASH_BITS)), -HASH_BITS);
}
