/** @file limits.h
 *  Divides the limits of each customer's plan among the instances of a group
 *  by demand.
 *
 *  Once per round, every instance reports the demand of each customer and the
 *  number that it has added to the customer's open flows.  The share of an
 *  instance follows from the newest reports of all members, including failed
 *  ones: the share that a failed member may still admit stays reserved for
 *  it, so that a partition does not multiply a limit.
 *
 *  Open flows are computed from counters that only grow.  A flow may close at
 *  another instance than the one that admitted it; the admitting instance then
 *  sees it expire one idle limit later.  A flow that closes at another
 *  instance is therefore subtracted at once, and added back one idle limit
 *  later, when the instance that opened it subtracts it as idle.
 */
#ifndef GOOSEBERRYDRUM_LIMITS_H
#define GOOSEBERRYDRUM_LIMITS_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/engine.h"

GBD_BEGIN_DECLS

/** Duration of a round, the time between two reports of an instance. */
#define GBD_LIMITS_REPORT_INTERVAL GBD_SECOND
/** Burst size of new flows, relative to the instance's share of new flows per
 *  second. */
#define GBD_LIMITS_BURST_PERCENT 25

typedef struct gbd_limits gbd_limits_t;

/** @return NULL when memory is short. */
gbd_limits_t *gbd_limits_new (gbd_instance_id_t self, gbd_time_t now);
void gbd_limits_delete (gbd_limits_t *limits);

/** Use the customers and plans of a catalog.  Customers that are in the
 *  previous catalog as well keep their counters.
 *  @return GBD_OK; GBD_ERROR_MEMORY, and the previous catalog stays
 *  installed. */
gbd_status_t gbd_limits_set_catalog (gbd_limits_t *limits,
                                     const gbd_catalog_t *catalog);

/** Set the members among which limits are shared; they include this instance.
 */
void gbd_limits_set_members (gbd_limits_t *limits,
                             const gbd_instance_id_t *members, uint32_t count);

/** Admission control for gbd_engine_set_admission(); its data parameter is
 *  the gbd_limits_t. */
extern const gbd_admission_t gbd_limits_admission;

/** Report of one instance on one customer. */
typedef struct
{
  uint64_t customer; /**< gbd_limits_customer_id() */
  uint32_t demand;   /**< new flows requested in the last round */
  int32_t open;      /**< number that the instance has added to the customer's
                          open flows; negative if it has subtracted more than
                          it added */
} gbd_limits_report_t;

/** Identifier of a customer in reports, hashed from its name. */
uint64_t gbd_limits_customer_id (const char *name);

/** Process a report of another member.  Ignores unknown customers and
 *  instances that are not members. */
void gbd_limits_receive (gbd_limits_t *limits, gbd_instance_id_t from,
                         const gbd_limits_report_t *report);

typedef void (*gbd_limits_visit_t) (void *data,
                                    const gbd_limits_report_t *report);

/** End the round if it is due, and visit the reports to be sent.  A customer
 *  is reported when its numbers have changed since its last report, after a
 *  change of members, and every 30 rounds, for members that missed the
 *  customer's last report.
 *  @return whether the round was due. */
bool gbd_limits_end_round (gbd_limits_t *limits, gbd_time_t now,
                           gbd_limits_visit_t visit, void *data);

/** Current limits of one customer at this instance. */
typedef struct
{
  uint32_t share_per_second; /**< new flows per second that this instance may
                                  admit */
  uint32_t open_flows;       /**< open flows of the group, as far as this
                                  instance knows */
  /** Open flows that this instance may still add in this round. */
  uint32_t open_flows_left;
  uint64_t admitted;
  uint64_t refused;
} gbd_limits_info_t;

/** @return GBD_ERROR_NOT_FOUND for an unknown index. */
gbd_status_t gbd_limits_get (const gbd_limits_t *limits, uint32_t customer,
                             gbd_limits_info_t *info);

GBD_END_DECLS
#endif
