/** @file balance.h
 *  Weights of a service's backend servers, derived from the load that the
 *  instances of the group measured.
 *
 *  Only the coordinator computes weights.  The table distributes the result,
 *  so that all instances use the same weights.  What a server or the platform
 *  reports about the server only bounds its weight from above: it can neither
 *  take a server that passes traffic out of service, nor raise its weight
 *  beyond what its measured load permits.  Weights change slowly, in bounded
 *  steps and only outside a dead band, so that late reports cannot make them
 *  oscillate.
 */
#ifndef GOOSEBERRYDRUM_BALANCE_H
#define GOOSEBERRYDRUM_BALANCE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/message.h"
#include "gooseberrydrum/table.h"

GBD_BEGIN_DECLS

/** Time between two load reports of an instance. */
#define GBD_BALANCE_REPORT_INTERVAL (5 * GBD_SECOND)
/** Time between two adjustments of a service's weights. */
#define GBD_BALANCE_ADJUST_INTERVAL (10 * GBD_SECOND)
/** Duration of the slow start of a new server, and its number of steps. */
#define GBD_BALANCE_SLOW_START_TIME (40 * GBD_SECOND)
#define GBD_BALANCE_SLOW_START_STEPS 4
/** Deviation from the mean load below which a server counts as balanced. */
#define GBD_BALANCE_DEAD_BAND_PERCENT 10
/** Largest change, in one adjustment, of the factor by which a configured
 *  weight is multiplied; relative to the factor. */
#define GBD_BALANCE_STEP_MAX_PERCENT 20
/** Bounds of the factor by which a configured weight is multiplied. */
#define GBD_BALANCE_FACTOR_MIN_PERCENT 25
#define GBD_BALANCE_FACTOR_MAX_PERCENT 200
/** Open flows that a server can hold. */
#define GBD_BALANCE_SERVER_FLOWS_MAX 2000

/** Maximum number of buckets moved for balance in one version of a table. */
#define GBD_BALANCE_MOVE_MAX 64

typedef struct gbd_balance gbd_balance_t;

/** Create the load state of one service.
 *  @return NULL when memory is short. */
gbd_balance_t *gbd_balance_new (void);
void gbd_balance_delete (gbd_balance_t *balance);

/** Process the report of one instance.  Servers without an entry in the report
 *  keep the load that the instance reported last.
 *  @param table the table whose slots the report refers to
 *  @return GBD_OK; GBD_ERROR_RANGE, without any effect, for a slot that the
 *  table does not have; GBD_ERROR_MEMORY. */
gbd_status_t gbd_balance_receive (gbd_balance_t *balance,
                                  const gbd_table_t *table,
                                  gbd_instance_id_t from,
                                  const gbd_load_entry_t *entries,
                                  uint32_t count, gbd_time_t now);

/** Remove the reports of an instance that has left. */
void gbd_balance_remove (gbd_balance_t *balance, gbd_instance_id_t from);

/** Continue from the weights of the previous coordinator, by deriving the
 *  factors from the shares of the servers in the current table.  Has no effect
 *  after an earlier call of this function or of gbd_balance_compute_weights().
 *  @param configured weights as for gbd_balance_compute_weights() */
void gbd_balance_restore (gbd_balance_t *balance, const gbd_table_t *table,
                          const gbd_backend_t *backends,
                          const uint16_t *configured, uint32_t count,
                          gbd_time_t now);

/** Compute the weights of the desired servers.  The same inputs at the same
 *  time give the same weights; repeated calls between two adjustments do not
 *  change them.
 *  @param backends   desired servers
 *  @param configured weights that the platform lists, 0 for draining servers
 *  @param percent    the plan's balance_percent; 0 disables the adjustment by
 *                    load
 *  @param weights    set to one weight per server; 0 only where the configured
 *                    weight is 0 */
void gbd_balance_compute_weights (gbd_balance_t *balance,
                                  const gbd_backend_t *backends,
                                  const uint16_t *configured, uint32_t count,
                                  uint8_t percent, gbd_time_t now,
                                  uint16_t *weights);

/** Load of one server, summed over the newest reports of all instances. */
typedef struct
{
  uint32_t new_flows; /**< per report interval */
  uint32_t open_flows;
  uint32_t kilobytes;      /**< per report interval */
  uint16_t factor_percent; /**< applied to the configured weight */
} gbd_balance_info_t;

/** @return GBD_ERROR_NOT_FOUND for an unknown server. */
gbd_status_t gbd_balance_get (const gbd_balance_t *balance,
                              gbd_backend_id_t id, gbd_balance_info_t *info);

GBD_END_DECLS
#endif
