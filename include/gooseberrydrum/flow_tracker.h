/** @file flow_tracker.h
 *  Tracks the flows that pass through this instance, to detect from their
 *  packets whether their backend servers respond.
 *
 *  The table of tracked flows has a fixed size.  Eviction of a flow loses only
 *  health evidence, not the flow itself, because packets find their backend
 *  server by their cookie.
 */
#ifndef GOOSEBERRYDRUM_FLOW_TRACKER_H
#define GOOSEBERRYDRUM_FLOW_TRACKER_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/pool.h"
#include "gooseberrydrum/room.h"

GBD_BEGIN_DECLS

/** A flow stops counting as waiting when it has had no packet for this many
 *  average response times of the tracked flows: by then the backend server has
 *  responded, although this instance does not see the response, or the caller
 *  has given up. */
#define GBD_FLOW_TRACKER_RESPONSE_TIMES 8
/** The least such time, used until response times are known: a caller whose
 *  packet was lost has retransmitted it twice by then (platform contract). */
#define GBD_FLOW_TRACKER_RESPONSE_TIMEOUT_MIN (600 * GBD_MILLISECOND)
/** Retransmissions sooner than this after the first transmission are ignored.
 *  Callers retransmit after 200 ms at the earliest (platform contract); the
 *  difference allows for jitter on the path. */
#define GBD_FLOW_TRACKER_RETRANSMIT_MIN (150 * GBD_MILLISECOND)
/** Flows without packets are removed after this time if the configuration does
 *  not state an idle time-out: the longest duration of a flow. */
#define GBD_FLOW_TRACKER_IDLE_TIMEOUT_DEFAULT GBD_POOL_RETENTION_TIME
/** A flow that has had neither a second packet nor a copy of its opening
 *  packet for this time was reset by its backend server, if this one responds
 *  to others.  Callers send a copy after 200 ms if there is no response
 *  (platform contract); the rest allows for jitter on the path. */
#define GBD_FLOW_TRACKER_LIMITED_MIN (400 * GBD_MILLISECOND)

typedef enum
{
  GBD_FLOW_UNUSED,
  GBD_FLOW_OPENING, /**< only opening packets seen so far */
  GBD_FLOW_ESTABLISHED
} gbd_flow_phase_t;

/** State of one tracked flow. */
typedef struct
{
  gbd_flow_hash_t hash;
  gbd_time_t sent_at; /**< first transmission of the last packet that expects a
                           response */
  gbd_time_t last_packet_at;
  gbd_time_t last_response_at; /**< last sign of a response from the backend
                                    server, or when the flow was first seen */
  uint32_t sequence;           /**< sequence number of the packet sent at
                                    sent_at */
  uint32_t next_sequence;      /**< sequence number after the last packet */
  uint32_t acknowledgment;     /**< highest acknowledgment number sent by the
                                    caller */
  gbd_pool_handle_t server;
  gbd_room_route_t route;
  uint8_t phase; /**< gbd_flow_phase_t */
  bool is_waiting;
  bool is_limited; /**< counted as reset by a backend server at its connection
                        limit */
} gbd_tracked_flow_t;

typedef struct gbd_flow_tracker gbd_flow_tracker_t;

/** @param room gets the evidence of full backend servers
 *  @param capacity number of flows, a power of two */
gbd_flow_tracker_t *gbd_flow_tracker_new (gbd_pool_t *pool, gbd_room_t *room,
                                          uint32_t capacity);
void gbd_flow_tracker_delete (gbd_flow_tracker_t *tracker);

/** Forget the handles of routes that are no longer configured; called after
 *  each gbd_room_set_routes(), which may reuse them at its next call. */
void gbd_flow_tracker_update_routes (gbd_flow_tracker_t *tracker);

/** Set the time after which flows without packets are removed; 0 sets the
 *  default. */
void gbd_flow_tracker_set_idle_timeout (gbd_flow_tracker_t *tracker,
                                        gbd_time_t idle_timeout);

/** @return NULL if the flow is not tracked. */
const gbd_tracked_flow_t *
gbd_flow_tracker_find (const gbd_flow_tracker_t *tracker,
                       gbd_flow_hash_t hash);

/** What one packet shows about its backend server. */
typedef struct
{
  bool is_retransmitted;   /**< retransmission of a packet that had no
                                response */
  bool is_newly_suspected; /**< the packet made its backend server suspected */
  gbd_time_t unanswered_time; /**< if is_retransmitted: time since the first
                                   transmission */
  bool has_recovered;         /**< its backend server was suspected and has
                                   responded */
  bool is_established;        /**< first packet after the opening packet */
  gbd_time_t setup_time;      /**< if is_established: time since the opening
                                   packet */
} gbd_flow_observation_t;

/** Record a packet sent to a backend server; updates the suspicion and load of
 *  this server. */
gbd_flow_observation_t gbd_flow_tracker_record (gbd_flow_tracker_t *tracker,
                                                const gbd_packet_t *packet,
                                                gbd_flow_hash_t hash,
                                                gbd_pool_handle_t server,
                                                gbd_time_t now);

/** Remove a flow that has ended, if it is tracked. */
void gbd_flow_tracker_remove (gbd_flow_tracker_t *tracker,
                              gbd_flow_hash_t hash);

/** @return time of the last response of any backend server; 0 if none. */
gbd_time_t
gbd_flow_tracker_get_last_response_time (const gbd_flow_tracker_t *tracker);

/** Remove idle flows; end the waiting of flows whose response time-out is
 *  over. */
void gbd_flow_tracker_tick (gbd_flow_tracker_t *tracker, gbd_time_t now);

uint32_t gbd_flow_tracker_get_count (const gbd_flow_tracker_t *tracker);

GBD_END_DECLS
#endif
