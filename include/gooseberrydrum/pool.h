/** @file pool.h
 *  Backend servers that the platform lists, and those removed from its list
 *  recently.
 *
 *  Entries may expire while the platform is unreachable, although their
 *  backend servers are running.  Therefore an entry that is missing after an
 *  outage is removed only when the platform has been reachable again for
 *  GBD_POOL_REMOVAL_GRACE.
 */
#ifndef GOOSEBERRYDRUM_POOL_H
#define GOOSEBERRYDRUM_POOL_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/cookie.h"
#include "gooseberrydrum/failing.h"
#include "gooseberrydrum/peer_evidence.h"
#include "gooseberrydrum/recent_flows.h"
#include "gooseberrydrum/response_time.h"
#include "gooseberrydrum/subset.h"
#include "gooseberrydrum/suspicion.h"
#include "gooseberrydrum/table.h"
#include "gooseberrydrum/warm_up.h"
#include "gooseberrydrum/zone_delays.h"

GBD_BEGIN_DECLS

/** Time within which running backend servers write their entries again after
 *  an outage of the platform (platform contract). */
#define GBD_POOL_REMOVAL_GRACE (2 * GBD_SECOND)

/** How long packets of existing flows are still forwarded to a backend server
 *  after its entry was removed: the longest duration of a flow (platform
 *  limit). */
#define GBD_POOL_RETENTION_TIME (60 * GBD_SECOND)

/** Entry of one backend server in the platform. */
typedef struct
{
  gbd_backend_t backend; /**< identifier, address, zone and state */
  gbd_service_id_t service;
  uint32_t slots;        /**< requests processed concurrently, at least 1 */
  int64_t start_time_ms; /**< time of day of its start; 0 if unknown */
  gbd_time_t warm_at; /**< end of the backend server's warm-up, during which it
                           is slower; 0 if none */
  char name[GBD_NAME_MAX + 1];
  char zone_name[GBD_NAME_MAX + 1]; /**< empty if only its hash is known */
} gbd_pool_entry_t;

/** What this instance has observed of one backend server and not reported to
 *  other instances yet (reports.h).  Times are 0 if there is nothing to
 *  report. */
typedef struct
{
  gbd_time_t silent_at; /**< first transmission of the latest packet without a
                             response */
  gbd_time_t unreachable_at; /**< start of the latest probe without a
                                  response */
  gbd_time_t heard_at;       /**< latest response, if the server was suspected
                                  or reported */
  uint32_t failed_requests;  /**< as in failing.h */
} gbd_unreported_t;

/** What this instance has observed of one backend server. */
typedef struct
{
  gbd_suspicion_t suspicion;
  gbd_peer_evidence_t peer_evidence; /**< what others have observed */
  gbd_failing_t failing;             /**< this instance and others */
  gbd_unreported_t unreported;
  gbd_response_time_t response_time;
  gbd_recent_flows_t recent_flows;
  uint32_t waiting;    /**< flows waiting for a response */
  uint32_t open;       /**< flows established through this instance */
  uint64_t placed;     /**< new flows sent to it */
  uint64_t unanswered; /**< new flows whose opening packet was retransmitted */
} gbd_pool_load_t;

typedef struct
{
  gbd_pool_entry_t entry;
  gbd_pool_load_t load;
  gbd_warm_up_t warm_up;
  gbd_fingerprint_t fingerprint;
  gbd_subset_position_t position; /**< as of the last tick */
  bool is_used;
  bool is_listed;
  gbd_time_t listed_at;   /**< when it was first listed, listed again after a
                               removal, or listed with another start time */
  gbd_time_t removed_at;  /**< when its entry was removed; GBD_TIME_NEVER while
                               it is listed or in the removal grace period */
  gbd_time_t removal_due; /**< time of a pending removal; GBD_TIME_NEVER:
                               none */
  gbd_time_t superseded_at; /**< when a listed backend server with a later
                               start time took over its address, so this one
                               has stopped; GBD_TIME_NEVER: not superseded */
} gbd_pool_server_t;

typedef struct gbd_pool gbd_pool_t;
typedef uint16_t gbd_pool_handle_t;
#define GBD_POOL_NONE ((gbd_pool_handle_t)0xffff)

gbd_pool_t *gbd_pool_new (void);
void gbd_pool_delete (gbd_pool_t *pool);

/** Insert or update an entry.  If the backend server has restarted under its
 *  identifier, its suspicion is cleared.  Listed backend servers at the same
 *  address with an earlier start time are marked as superseded.
 *  @return GBD_ERROR_MEMORY if the pool holds GBD_BACKENDS_MAX entries or if
 *  memory is exhausted; GBD_ERROR_CONFLICT if another listed backend server
 *  has the same fingerprint; the entry of the other one is kept. */
gbd_status_t gbd_pool_put (gbd_pool_t *pool, const gbd_pool_entry_t *entry,
                           gbd_time_t now);

/** Correct an entry of a store that was restored from an older copy: a backend
 *  server that was draining does not become ready again.  If its entry was
 *  removed, it may have ended, so gbd_pool_suspect() should follow
 *  gbd_pool_put().
 *  @return whether its entry was removed. */
bool gbd_pool_correct_restored (const gbd_pool_t *pool,
                                gbd_pool_entry_t *entry);

/** Record that a packet of this instance had no response.
 *  @param sent_at its first transmission
 *  @return whether the backend server has become suspected by this failure. */
bool gbd_pool_record_failure (gbd_pool_t *pool, gbd_pool_handle_t handle,
                              gbd_time_t sent_at, gbd_time_t now);

/** Record requests that failed although the backend server responds to others
 *  (failing.h).
 *  @param is_news whether other instances should know */
void gbd_pool_record_failed_requests (gbd_pool_t *pool,
                                      gbd_pool_handle_t handle, uint32_t count,
                                      bool is_news, gbd_time_t now);

/** Whether at least half of the servers of a service have failed requests
 *  recently.  If not, those that fail requests are not full, or others have
 *  room. */
bool gbd_pool_fails_widely (const gbd_pool_t *pool, gbd_service_id_t service,
                            gbd_time_t now);

/** Record that this instance has received a sign of a response.
 *  @return whether the backend server was suspected. */
bool gbd_pool_record_sign (gbd_pool_t *pool, gbd_pool_handle_t handle,
                           gbd_time_t now);

/** Record that a probe of this instance had no response. */
void gbd_pool_record_unreachable (gbd_pool_t *pool, gbd_pool_handle_t handle,
                                  gbd_time_t began_at);

/** Whether something was observed that other instances should know. */
bool gbd_pool_has_unreported (const gbd_pool_t *pool);
/** Set that everything was reported; called after `unreported` of all
 *  backend servers was cleared. */
void gbd_pool_end_reporting (gbd_pool_t *pool);

/** Make a backend server suspected, so that it gets trial flows only until it
 *  responds. */
void gbd_pool_suspect (gbd_pool_t *pool, gbd_backend_id_t id, gbd_time_t now);

/** Remove an entry that was deleted, or replaced by an invalid one.  The
 *  removal is deferred while the platform is unreachable and during the
 *  removal grace period. */
void gbd_pool_remove (gbd_pool_t *pool, gbd_backend_id_t id, gbd_time_t now);

/** Mark the start and the end of a full listing.  Entries that are not put
 *  between the two calls are removed, as by gbd_pool_remove(). */
void gbd_pool_begin_listing (gbd_pool_t *pool);
void gbd_pool_end_listing (gbd_pool_t *pool, gbd_time_t now);

/** Record whether the platform is unreachable. */
void gbd_pool_set_platform_unreachable (gbd_pool_t *pool,
                                        bool is_platform_unreachable,
                                        gbd_time_t now);

/** Extend the removal grace period; called with the end of the period that a
 *  relay reports. */
void gbd_pool_extend_removal_grace (gbd_pool_t *pool, gbd_time_t until);
/** @return remaining time of the removal grace period; 0 if it is over. */
gbd_time_t gbd_pool_get_removal_grace (const gbd_pool_t *pool, gbd_time_t now);

/** Carry out removals that are due; delete entries whose retention time is
 *  over; number the ready servers (subset.h) if the list has changed; decide
 *  which servers are failing (failing.h). */
void gbd_pool_tick (gbd_pool_t *pool, gbd_time_t now);

/** Whether a full listing was applied. */
bool gbd_pool_is_synced (const gbd_pool_t *pool);
/** Whether the platform is unreachable. */
bool gbd_pool_is_platform_unreachable (const gbd_pool_t *pool);

/** Whether a backend server counts as cold for the limit of warm_up.h: by its
 *  entry, or because it may have restarted before its entry says so.
 *  @param duration how long a server of its service is cold after its start */
bool gbd_pool_is_cold (const gbd_pool_server_t *server, gbd_time_t duration,
                       gbd_time_t now);

/** @return the backend server with a fingerprint, listed or removed, or
 *  GBD_POOL_NONE. */
gbd_pool_handle_t gbd_pool_find (const gbd_pool_t *pool,
                                 gbd_fingerprint_t fingerprint);

/** @return the exclusive upper bound of handles.  Unused handles below it have
 *  is_used false. */
uint32_t gbd_pool_get_capacity (const gbd_pool_t *pool);
gbd_pool_server_t *gbd_pool_get (gbd_pool_t *pool, gbd_pool_handle_t handle);
const gbd_pool_server_t *gbd_pool_peek (const gbd_pool_t *pool,
                                        gbd_pool_handle_t handle);

/** What this instance has observed of the availability zones. */
gbd_zone_delays_t *gbd_pool_get_zone_delays (gbd_pool_t *pool);
const gbd_zone_delays_t *gbd_pool_peek_zone_delays (const gbd_pool_t *pool);

/** @return number of listed backend servers. */
uint32_t gbd_pool_get_count (const gbd_pool_t *pool);

GBD_END_DECLS
#endif
