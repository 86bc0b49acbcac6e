/** @file warm_up.h
 *  Limits the opening packets that backend servers get while they are cold.
 *
 *  A backend server that has just started is slower for some seconds.  Load
 *  pattern: all servers of an availability zone start, or the zone returns
 *  after an evacuation, while there is load; each instance sees free slots and
 *  sends its flows there.
 *
 *  The limit applies to all instances together, without messages.  A hash of
 *  instance and server selects few instances for each cold server, and each of
 *  them leaves more than a second between two opening packets.  The design
 * note docs/design/cold-servers.md states why the limit holds.
 *
 *  Rates are packets per second, times are microseconds.  Rate and duration
 *  are those of the configuration (routes.h), overshoot and slack those of the
 *  platform; the size of the group is that of group_view.h.
 */
#ifndef GOOSEBERRYDRUM_WARM_UP_H
#define GOOSEBERRYDRUM_WARM_UP_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/routes.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Interval between two opening packets of one instance to one cold server:
 *  the second of the limit, and 1 % for clocks of different rates. */
#define GBD_WARM_UP_INTERVAL (1010 * GBD_MILLISECOND)
/** Upper bound of the number of instances before the first view of the group.
 */
#define GBD_WARM_UP_GROUP_UNKNOWN 300
/** How long the larger of two bounds applies after the group has shrunk. */
#define GBD_WARM_UP_GROUP_HOLD (10 * GBD_SECOND)
/** Highest values of the settings. */
#define GBD_WARM_UP_OVERSHOOT_MAX 1000
#define GBD_WARM_UP_SLACK_MAX 1000000

/** Zero-initialized: no limit. */
typedef struct
{
  gbd_instance_id_t instance; /**< hash of the instance's name */
  double overshoot; /**< factor on the stated rate; below 1: no limit */
  double slack;     /**< packets allowed in addition */
} gbd_warm_up_settings_t;

/** Upper bound of the number of instances.  Zero-initialized: not started. */
typedef struct
{
  uint32_t bound;
  uint32_t previous; /**< larger bound that still applies; 0: none */
  gbd_time_t previous_until;
  gbd_time_t started_at;
  bool is_started;
} gbd_warm_up_group_t;

/** Take the size of the group; called at the start and about ten times a
 *  second.
 *  @param total instances of the group; 0 (not known) keeps the bound */
void gbd_warm_up_group_update (gbd_warm_up_group_t *group, uint32_t total,
                               gbd_time_t now);
/** @return an upper bound of the number of instances. */
uint32_t gbd_warm_up_group_get_bound (const gbd_warm_up_group_t *group,
                                      gbd_time_t now);

/** What this instance may send to each cold server of one service.
 *  Zero-initialized: no limit. */
typedef struct
{
  bool is_limited;
  bool is_starting;     /**< the instance has run for less than an interval */
  gbd_time_t duration;  /**< how long a server is cold after its start */
  uint32_t budget;      /**< packets per second from all instances together */
  uint32_t group_bound; /**< bound of the number of instances */
  double share;         /**< part of the cold servers that get packets from
                             this instance, up to 1 */
  gbd_time_t interval;  /**< least time between two packets to one server */
  gbd_instance_id_t instance;
} gbd_warm_up_share_t;

gbd_warm_up_share_t
gbd_warm_up_get_share (const gbd_warm_up_settings_t *settings,
                       const gbd_warm_up_limits_t *limits,
                       const gbd_warm_up_group_t *group, gbd_time_t now);

/** @return the largest mean of a Poisson distribution, by a bound in closed
 *  form, whose value exceeds the budget with a probability below 1e-5. */
double gbd_warm_up_get_mean (uint32_t budget);

/** State of one backend server at this instance.  Must be initialized. */
typedef struct
{
  gbd_time_t assumed_start_at; /**< latest time at which it may have started
                                    before its entry said so; GBD_TIME_NEVER:
                                    none */
  gbd_time_t sent_at; /**< last opening packet; GBD_TIME_NEVER: none */
} gbd_warm_up_t;

void gbd_warm_up_init (gbd_warm_up_t *warm_up);

/** Whether this instance is one of those that may send to a server while it is
 *  cold. */
bool gbd_warm_up_takes_part (const gbd_warm_up_share_t *share,
                             gbd_backend_id_t server);
/** Whether an opening packet may be sent to a cold server now. */
bool gbd_warm_up_allows (const gbd_warm_up_share_t *share,
                         const gbd_warm_up_t *warm_up, gbd_backend_id_t server,
                         gbd_time_t now);
/** Record that an opening packet was sent, also a retransmission or a
 *  duplicate.
 *  @param now a time at which the packet had left the process */
void gbd_warm_up_record_sent (gbd_warm_up_t *warm_up, gbd_time_t now);

GBD_END_DECLS
#endif
