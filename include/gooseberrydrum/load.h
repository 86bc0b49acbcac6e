/** @file load.h
 *  Sends and processes the periodic reports between the instances of a group:
 *  the use of each customer's limits, every GBD_LIMITS_REPORT_INTERVAL to all
 *  instances, and the load of each backend server, every
 *  GBD_BALANCE_REPORT_INTERVAL to the instances that watch the platform.
 *
 *  A load report omits the backend servers whose numbers are close to those
 *  reported last.
 */
#ifndef GOOSEBERRYDRUM_LOAD_H
#define GOOSEBERRYDRUM_LOAD_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/balance.h"
#include "gooseberrydrum/limits.h"

GBD_BEGIN_DECLS

/** Smallest relative change of a backend server's load that is reported. */
#define GBD_LOAD_CHANGE_PERCENT 10
/** Smallest absolute changes of a backend server's load that are reported. */
#define GBD_LOAD_CHANGE_FLOWS_MIN 4
#define GBD_LOAD_CHANGE_KILOBYTES_MIN 16
/** Number of rounds after which a report lists all backend servers again. */
#define GBD_LOAD_FULL_ROUNDS 12

/** Send a message to a peer.  The caller keeps ownership of the message. */
typedef void (*gbd_load_send_t) (void *data, gbd_instance_id_t to,
                                 const gbd_message_t *message);

typedef struct gbd_load gbd_load_t;

/** Create the load state of an instance and make it the engine's admission
 *  control.
 *  @param engine stays owned by the caller and must outlive the load state
 *  @return NULL when memory is short. */
gbd_load_t *gbd_load_new (gbd_instance_id_t self, gbd_engine_t *engine,
                          gbd_load_send_t send, void *data, gbd_time_t now);
void gbd_load_delete (gbd_load_t *load);

/** Use the customers, plans and services of the catalog that the engine has
 *  installed.  To be called right after gbd_engine_set_catalog().
 *  @return GBD_OK or GBD_ERROR_MEMORY. */
gbd_status_t gbd_load_set_catalog (gbd_load_t *load,
                                   const gbd_catalog_t *catalog);

/** Peer that receives reports. */
typedef struct
{
  gbd_instance_id_t id;
  bool is_watching; /**< watches the platform and receives load reports */
} gbd_load_peer_t;

/** End the rounds that are due and send their reports.  Limits are shared
 *  among all members of the rosters in the engine's tables.
 *  @param is_watching whether this instance watches the platform */
void gbd_load_tick (gbd_load_t *load, bool is_watching,
                    const gbd_load_peer_t *peers, uint32_t count,
                    gbd_time_t now);

/** Process a GBD_MESSAGE_LOAD.
 *  @return GBD_OK; GBD_ERROR_NOT_FOUND for an unknown service;
 *  GBD_ERROR_RANGE for a slot that the table does not have;
 *  GBD_ERROR_MEMORY. */
gbd_status_t gbd_load_receive (gbd_load_t *load, const gbd_message_t *message,
                               gbd_time_t now);

/** Compute the weights of a service's backend servers.  Every instance that
 *  watches the platform calls it, so that a new coordinator continues from
 *  the same state.
 *  @param weights configured weights; replaced by the computed ones */
void gbd_load_compute_weights (gbd_load_t *load, gbd_service_id_t service,
                               const gbd_backend_t *backends, uint32_t count,
                               gbd_time_t now, uint16_t *weights);

/** Whether a report may omit the entry because each number is close to the
 *  one reported last. */
bool gbd_load_is_similar (const gbd_load_entry_t *entry,
                          const gbd_load_entry_t *reported);

const gbd_limits_t *gbd_load_get_limits (const gbd_load_t *load);

/** Get the load that the whole group puts on a backend server, from the
 *  reports that this instance has received.
 *  @return GBD_ERROR_NOT_FOUND if this instance has no load data for the
 *  service or the backend server. */
gbd_status_t gbd_load_get_backend (const gbd_load_t *load,
                                   gbd_service_id_t service,
                                   gbd_backend_id_t backend,
                                   gbd_balance_info_t *info);

GBD_END_DECLS
#endif
