/** @file balance.h
 *  Weights of a service's backend servers from the load that the instances
 *  of the group saw pass.
 *
 *  Only the coordinator decides; the table carries the result to all, so
 *  every instance has the same.  What a server or the platform says of itself
 *  bounds a weight from above; it cannot take a server out that passes
 *  traffic, nor raise one over its load.  Weights move slowly, in bounded
 *  steps and outside a dead band, so that a report that lags cannot make them
 *  swing.
 */
#ifndef GOOSEBERRYDRUM_BALANCE_H
#define GOOSEBERRYDRUM_BALANCE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/message.h"
#include "gooseberrydrum/table.h"

GBD_BEGIN_DECLS

#define GBD_BALANCE_ROUND (5 * GBD_SECOND)   /**< between two reports */
#define GBD_BALANCE_ADJUST (10 * GBD_SECOND) /**< between two adjustments */
#define GBD_BALANCE_RAMP (40 * GBD_SECOND)   /**< a new server's way up */
#define GBD_BALANCE_RAMP_STEPS 4
#define GBD_BALANCE_DEAD_BAND_PERCENT 10
#define GBD_BALANCE_STEP_MAX_PERCENT 20 /**< of a weight in one adjustment */
#define GBD_BALANCE_FACTOR_MIN_PERCENT 25
#define GBD_BALANCE_FACTOR_MAX_PERCENT 200
#define GBD_BALANCE_FULL_FLOWS 2000 /**< open flows that a server holds */

/** Buckets moved for balance in one version of a table. */
#define GBD_BALANCE_MOVE_MAX 64

typedef struct gbd_balance gbd_balance_t;

/** State of one service.  @return NULL when memory is short. */
gbd_balance_t *gbd_balance_new (void);
void gbd_balance_delete (gbd_balance_t *balance);

/** Take in one instance's report; entries it leaves out did not change.
 *  @param table the table whose slots the report names
 *  @return GBD_ERROR_RANGE for a slot that the table does not have. */
gbd_status_t gbd_balance_receive (gbd_balance_t *balance,
                                  const gbd_table_t *table,
                                  gbd_instance_id_t from,
                                  const gbd_load_entry_t *entries,
                                  uint32_t count, gbd_time_t now);

/** Forget an instance that has left. */
void gbd_balance_remove (gbd_balance_t *balance, gbd_instance_id_t from);

/** Begin where the former coordinator left: factors follow from the shares
 *  of the table in force.  No effect after the first decision.
 *  @param base as for gbd_balance_decide() */
void gbd_balance_adopt (gbd_balance_t *balance, const gbd_table_t *table,
                        const gbd_backend_t *backends, const uint16_t *base,
                        uint32_t count, gbd_time_t now);

/** Weights of the wanted servers.
 *  @param backends wanted servers
 *  @param base     the platform's weights, 0 for servers that drain
 *  @param percent  the plan's balance_percent: 0 keeps to the base weights
 *  @param weights  set, one a server; 0 only where the base is 0
 *  The same inputs at the same time give the same weights; repeated calls
 *  between two adjustments do not change them. */
void gbd_balance_decide (gbd_balance_t *balance, const gbd_backend_t *backends,
                         const uint16_t *base, uint32_t count, uint8_t percent,
                         gbd_time_t now, uint16_t *weights);

/** Load of one server over the group, newest reports together. */
typedef struct
{
  uint32_t new_flows; /**< of a round */
  uint32_t open_flows;
  uint32_t kilobytes; /**< of a round */
  uint16_t factor_percent;
} gbd_balance_info_t;

/** @return GBD_ERROR_NOT_FOUND for an unknown server. */
gbd_status_t gbd_balance_get (const gbd_balance_t *balance,
                              gbd_backend_id_t id, gbd_balance_info_t *info);

GBD_END_DECLS
#endif
