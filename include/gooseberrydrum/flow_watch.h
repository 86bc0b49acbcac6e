/** @file flow_watch.h
 *  The flows that pass this instance, as far as their packets tell whether
 *  their backend servers answer.
 *
 *  A bounded table; what it loses costs evidence, never a flow: packets find
 *  their backend server by their cookie.
 */
#ifndef GOOSEBERRYDRUM_FLOW_WATCH_H
#define GOOSEBERRYDRUM_FLOW_WATCH_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/pool.h"

GBD_BEGIN_DECLS

/** A flow counts as waiting for at most this long after its newest packet:
 *  then its answer has come unseen, or its caller gave up (longest time of
 *  work on the site sheets, 230 ms, and a wait in the queue). */
#define GBD_FLOW_TRACKER_RESPONSE_TIMEOUT (500 * GBD_MILLISECOND)
/** What is repeated sooner was not waited for: callers repeat after 200 ms at
 *  the earliest (the platform's contract), less what the path varies. */
#define GBD_FLOW_TRACKER_RETRANSMIT_MIN (150 * GBD_MILLISECOND)
/** Flows are forgotten after this time without a packet (the shortest idle
 *  limit on the site sheets). */
#define GBD_FLOW_TRACKER_IDLE_TIMEOUT (12 * GBD_SECOND)

typedef enum
{
  GBD_FLOW_UNUSED,
  GBD_FLOW_OPENING, /**< an opening packet passed, no later one yet */
  GBD_FLOW_ESTABLISHED
} gbd_flow_phase_t;

/** One flow. */
typedef struct
{
  gbd_flow_hash_t hash;
  gbd_time_t sent_at; /**< first sending of the newest packet that wants an
                           answer */
  gbd_time_t last_packet_at;
  gbd_time_t last_response_at; /**< newest sign that the backend server answers
                               this flow, or when it was first seen */
  uint32_t sequence;           /**< of that packet */
  uint32_t acknowledgment;     /**< newest that the caller sent */
  gbd_pool_handle_t server;
  uint8_t phase; /**< gbd_flow_phase_t */
  bool is_waiting;
} gbd_tracked_flow_t;

typedef struct gbd_flow_tracker gbd_flow_tracker_t;

/** @param capacity flows, a power of two */
gbd_flow_tracker_t *gbd_flow_tracker_new (gbd_pool_t *pool, uint32_t capacity);
void gbd_flow_tracker_delete (gbd_flow_tracker_t *watch);

/** @return NULL if the flow is not known. */
const gbd_tracked_flow_t *
gbd_flow_tracker_find (const gbd_flow_tracker_t *watch, gbd_flow_hash_t hash);

/** What a packet showed. */
typedef struct
{
  bool is_retransmitted;   /**< it repeats what was not answered */
  bool is_newly_suspected; /**< its backend server became suspected by it */
  gbd_time_t
      unanswered_time;   /**< of is_retransmitted: since the first sending */
  bool has_recovered;    /**< its backend server was suspected until now */
  bool is_established;   /**< first packet after the opening one */
  gbd_time_t setup_time; /**< of is_established: since the opening packet */
} gbd_flow_observation_t;

/** A packet went to a backend server: update its suspicion and load. */
gbd_flow_observation_t gbd_flow_tracker_record (gbd_flow_tracker_t *watch,
                                                const gbd_packet_t *packet,
                                                gbd_flow_hash_t hash,
                                                gbd_pool_handle_t server,
                                                gbd_time_t now);

/** A flow has ended. */
void gbd_flow_tracker_remove (gbd_flow_tracker_t *watch, gbd_flow_hash_t hash);

/** Newest sign that any backend server answers; 0: none yet. */
gbd_time_t
gbd_flow_tracker_get_last_response_time (const gbd_flow_tracker_t *watch);

/** Clear what is due. */
void gbd_flow_tracker_tick (gbd_flow_tracker_t *watch, gbd_time_t now);

uint32_t gbd_flow_tracker_get_count (const gbd_flow_tracker_t *watch);

GBD_END_DECLS
#endif
