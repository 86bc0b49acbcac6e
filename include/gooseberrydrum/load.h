/** @file load.h
 *  What one instance reports to the others of its group, and what it makes of
 *  their reports: the use of each customer's limits, once a second to all;
 *  the load of each backend server, every GBD_BALANCE_ROUND to the instances
 *  that watch the platform.
 *
 *  A report of load leaves out the backend servers whose numbers are near
 *  those last reported.
 */
#ifndef GOOSEBERRYDRUM_LOAD_H
#define GOOSEBERRYDRUM_LOAD_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/balance.h"
#include "gooseberrydrum/limits.h"

GBD_BEGIN_DECLS

/** A number that changed by less is left out of a report. */
#define GBD_LOAD_CHANGE_PERCENT 10
/** Smaller changes are left out whatever part they are. */
#define GBD_LOAD_CHANGE_FLOWS_MIN 4
#define GBD_LOAD_CHANGE_KILOBYTES_MIN 16
/** Every so many rounds a report names all backend servers. */
#define GBD_LOAD_FULL_ROUNDS 12

/** Send a message to a peer; it stays the caller's. */
typedef void (*gbd_load_send_t) (void *data, gbd_instance_id_t to,
                                 const gbd_message_t *message);

typedef struct gbd_load gbd_load_t;

/** Count what the engine admits from now on.
 *  @param engine stays the caller's and outlives the load
 *  @return NULL when memory is short. */
gbd_load_t *gbd_load_new (gbd_instance_id_t self, gbd_engine_t *engine,
                          gbd_load_send_t send, void *data, gbd_time_t now);
void gbd_load_delete (gbd_load_t *load);

/** Take the customers, plans and services of the catalog that the engine
 *  has in force; call it right after gbd_engine_set_catalog(). */
gbd_status_t gbd_load_set_catalog (gbd_load_t *load,
                                   const gbd_catalog_t *catalog);

/** An instance that reports are sent to. */
typedef struct
{
  gbd_instance_id_t id;
  bool is_watching;
} gbd_load_peer_t;

/** End the rounds that are due, and send what they report.  Limits are
 *  shared by the rosters of the engine's tables.
 *  @param is_watching whether this instance watches the platform */
void gbd_load_tick (gbd_load_t *load, bool is_watching,
                    const gbd_load_peer_t *peers, uint32_t count,
                    gbd_time_t now);

/** Take in a GBD_MESSAGE_LOAD.
 *  @return GBD_ERROR_NOT_FOUND for a customer or service that is unknown
 *  here; GBD_ERROR_RANGE for a slot that the table does not have. */
gbd_status_t gbd_load_receive (gbd_load_t *load, const gbd_message_t *message,
                               gbd_time_t now);

/** Weights of a service's backend servers; every watching instance calls
 *  it, so that a new coordinator goes on from the same state.
 *  @param weights the platform's weights; replaced by the decided ones */
void gbd_load_decide (gbd_load_t *load, gbd_service_id_t service,
                      const gbd_backend_t *backends, uint32_t count,
                      gbd_time_t now, uint16_t *weights);

/** Whether a report may leave the entry out: each number is near the one
 *  last reported. */
bool gbd_load_is_near (const gbd_load_entry_t *entry,
                       const gbd_load_entry_t *reported);

const gbd_limits_t *gbd_load_get_limits (const gbd_load_t *load);

/** Load of a backend server over the group, as reported here.
 *  @return GBD_ERROR_NOT_FOUND where no load is collected. */
gbd_status_t gbd_load_get_backend (const gbd_load_t *load,
                                   gbd_service_id_t service,
                                   gbd_backend_id_t backend,
                                   gbd_balance_info_t *info);

GBD_END_DECLS
#endif
