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
#define GBD_FLOW_WATCH_WAIT (500 * GBD_MILLISECOND)
/** What is repeated sooner was not waited for: callers repeat after 200 ms at
 *  the earliest (the platform's contract), less what the path varies. */
#define GBD_FLOW_WATCH_REPEAT (150 * GBD_MILLISECOND)
/** Flows are forgotten after this time without a packet (the shortest idle
 *  limit on the site sheets). */
#define GBD_FLOW_WATCH_IDLE (12 * GBD_SECOND)

typedef enum
{
  GBD_FLOW_FREE,
  GBD_FLOW_OPENING, /**< an opening packet passed, no later one yet */
  GBD_FLOW_OPEN
} gbd_flow_phase_t;

/** One flow. */
typedef struct
{
  gbd_flow_hash_t hash;
  gbd_time_t sent_at; /**< first sending of the newest packet that wants an
                           answer */
  gbd_time_t newest_at;
  gbd_time_t answered_at;  /**< newest sign that the backend server answers
                                this flow, or when it was first seen */
  uint32_t sequence;       /**< of that packet */
  uint32_t acknowledgment; /**< newest that the caller sent */
  gbd_pool_handle_t server;
  uint8_t phase; /**< gbd_flow_phase_t */
  bool is_waiting;
} gbd_watched_flow_t;

typedef struct gbd_flow_watch gbd_flow_watch_t;

/** @param capacity flows, a power of two */
gbd_flow_watch_t *gbd_flow_watch_new (gbd_pool_t *pool, uint32_t capacity);
void gbd_flow_watch_delete (gbd_flow_watch_t *watch);

/** @return NULL if the flow is not known. */
const gbd_watched_flow_t *gbd_flow_watch_find (const gbd_flow_watch_t *watch,
                                               gbd_flow_hash_t hash);

/** What a packet showed. */
typedef struct
{
  bool is_unanswered;      /**< it repeats what was not answered */
  bool is_silent_now;      /**< its backend server became suspected by it */
  gbd_time_t silent_time;  /**< of is_unanswered: since the first sending */
  bool is_heard_now;       /**< its backend server was suspected until now */
  bool is_opened;          /**< first packet after the opening one */
  gbd_time_t opening_time; /**< of is_opened: since the opening packet */
} gbd_flow_signs_t;

/** A packet went to a backend server: update its suspicion and load. */
gbd_flow_signs_t gbd_flow_watch_note (gbd_flow_watch_t *watch,
                                      const gbd_packet_t *packet,
                                      gbd_flow_hash_t hash,
                                      gbd_pool_handle_t server,
                                      gbd_time_t now);

/** A flow has ended. */
void gbd_flow_watch_forget (gbd_flow_watch_t *watch, gbd_flow_hash_t hash);

/** Newest sign that any backend server answers; 0: none yet. */
gbd_time_t gbd_flow_watch_get_answered_at (const gbd_flow_watch_t *watch);

/** Clear what is due. */
void gbd_flow_watch_tick (gbd_flow_watch_t *watch, gbd_time_t now);

uint32_t gbd_flow_watch_get_count (const gbd_flow_watch_t *watch);

GBD_END_DECLS
#endif
