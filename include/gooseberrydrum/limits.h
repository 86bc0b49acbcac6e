/** @file limits.h
 *  A customer's plan, shared over the instances of a group by demand.
 *
 *  Every instance reports, once a round, what its customers asked for and
 *  what it has added to their open flows.  The share of an instance follows
 *  from the newest reports of all members, silent ones included: what a
 *  silent member may still admit stays reserved for it, so that a partition
 *  does not multiply a limit.
 *
 *  Open flows are summed from counters that only grow.  A flow may end at
 *  another instance than the one that admitted it; that one then sees it go
 *  idle, one idle limit later.  Ends seen elsewhere are therefore counted at
 *  once, and taken back when they turn up as idle at their opener.
 */
#ifndef GOOSEBERRYDRUM_LIMITS_H
#define GOOSEBERRYDRUM_LIMITS_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/engine.h"

GBD_BEGIN_DECLS

/** Time between two reports. */
#define GBD_LIMITS_ROUND GBD_SECOND
/** New flows that may come at once, as a part of a second's share. */
#define GBD_LIMITS_BURST_PERCENT 25

typedef struct gbd_limits gbd_limits_t;

/** @return NULL when memory is short. */
gbd_limits_t *gbd_limits_new (gbd_instance_id_t self, gbd_time_t now);
void gbd_limits_delete (gbd_limits_t *limits);

/** Take the customers and plans of a catalog; counts of customers that stay
 *  are kept.  @return GBD_ERROR_MEMORY, the former staying in force. */
gbd_status_t gbd_limits_set_catalog (gbd_limits_t *limits,
                                     const gbd_catalog_t *catalog);

/** Take the members among which limits are shared, this instance included.
 */
void gbd_limits_set_members (gbd_limits_t *limits,
                             const gbd_instance_id_t *members, uint32_t count);

/** Admission for gbd_engine_set_admission(); its data is the gbd_limits_t.
 */
extern const gbd_admission_t gbd_limits_admission;

/** What one instance reports of one customer. */
typedef struct
{
  uint64_t customer; /**< gbd_limits_customer_id() */
  uint32_t demand;   /**< new flows asked for in the last round */
  int32_t open;      /**< added to the customer's open flows so far */
} gbd_limits_report_t;

/** Identifier of a customer in reports. */
uint64_t gbd_limits_customer_id (const char *name);

/** Take in a report of another member. */
void gbd_limits_receive (gbd_limits_t *limits, gbd_instance_id_t from,
                         const gbd_limits_report_t *report);

typedef void (*gbd_limits_visit_t) (void *data,
                                    const gbd_limits_report_t *report);

/** End the round if it is due: visit a report of each customer whose numbers
 *  changed since it was last reported, of all after a change of members, and
 *  of each now and then.  @return whether it was due. */
bool gbd_limits_end_round (gbd_limits_t *limits, gbd_time_t now,
                           gbd_limits_visit_t visit, void *data);

/** What the limits of one customer are at this instance now. */
typedef struct
{
  uint32_t share_per_second; /**< new flows that this instance may admit */
  uint32_t open_flows;       /**< of the group, as known here */
  uint32_t open_left;        /**< that this instance may add this round */
  uint64_t admitted;
  uint64_t refused;
} gbd_limits_info_t;

/** @return GBD_ERROR_NOT_FOUND for an unknown index. */
gbd_status_t gbd_limits_get (const gbd_limits_t *limits, uint32_t customer,
                             gbd_limits_info_t *info);

GBD_END_DECLS
#endif
