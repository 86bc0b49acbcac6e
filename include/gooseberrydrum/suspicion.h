/** @file suspicion.h
 *  Whether a backend server answers, judged by what its flows show.
 *
 *  Answers go from the backend server straight to the caller.  An instance
 *  sees only the caller's side: an opening packet or data that the caller
 *  repeats was not answered in time; an acknowledgment that advances was.
 *
 *  Answers the load pattern of a backend server that falls silent (crash,
 *  freeze, cut) while its entry in the platform still says "ready": the first
 *  unanswered flow takes it out of placement, until a trial flow, at doubling
 *  intervals, is answered.  On a link that loses packets an answer to any
 *  later flow clears the suspicion, so a lossy link empties no service.
 *
 *  What a suspected one says to a connection to its own address, a probe,
 *  tells a process that has ended, or a machine that is gone, from one that is
 *  slow or behind a link that loses packets.
 */
#ifndef GOOSEBERRYDRUM_SUSPICION_H
#define GOOSEBERRYDRUM_SUSPICION_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** First interval until a trial: a caller repeats an opening packet after
 *  200 ms, so an earlier trial could not have been judged. */
#define GBD_SUSPICION_FIRST_TRIAL (200 * GBD_MILLISECOND)
/** Longest interval between trials; bounds how long a backend server that
 *  answers again gets no new flows from this instance. */
#define GBD_SUSPICION_LONGEST_TRIAL (1600 * GBD_MILLISECOND)

/** How long a probe waits: some round trips between availability zones, and
 *  over before a caller repeats its data for the second time (600 ms). */
#define GBD_SUSPICION_PROBE_TIMEOUT (300 * GBD_MILLISECOND)
/** How long what a probe showed counts: until the next but one. */
#define GBD_SUSPICION_PROBE_VALIDITY (2 * GBD_SUSPICION_LONGEST_TRIAL)

/** What a probe showed. */
typedef enum
{
  GBD_PROBE_NONE,       /**< nothing, or it is too long ago */
  GBD_PROBE_ACCEPTED,   /**< somebody listens there */
  GBD_PROBE_REFUSED,    /**< the machine answers, the process has ended */
  GBD_PROBE_NO_RESPONSE /**< nobody answers */
} gbd_probe_result_t;
#define GBD_PROBE_COUNT 4
extern const char *const gbd_probe_strings[GBD_PROBE_COUNT];

/** Evidence about one backend server; all zero knows nothing. */
typedef struct
{
  gbd_time_t last_response_at; /**< newest sign that it answers */
  gbd_time_t trial_due;        /**< while suspected */
  gbd_time_t trial_interval;   /**< to the trial after the next one */
  uint32_t unanswered;         /**< since the last answer; 0: not suspected */
  gbd_time_t probe_due;        /**< while suspected */
  gbd_time_t probe_interval;   /**< to the probe after the next one */
  gbd_time_t probed_at; /**< when the newest probe with a result began */
  uint8_t probe;        /**< gbd_probe_result_t of it */
  uint32_t probe_count; /**< that showed it without another between */
} gbd_suspicion_t;

/** Something sent to the backend server was answered. */
void gbd_suspicion_record_response (gbd_suspicion_t *suspicion,
                                    gbd_time_t now);

/** Something was not answered in time.  Without effect if anything was
 *  answered since it was sent.
 *  @return whether this made the backend server suspected. */
bool gbd_suspicion_record_failure (gbd_suspicion_t *suspicion,
                                   gbd_time_t sent_at, gbd_time_t now);

bool gbd_suspicion_is_suspected (const gbd_suspicion_t *suspicion);

/** Whether a probe is due. */
bool gbd_suspicion_is_probe_due (const gbd_suspicion_t *suspicion,
                                 gbd_time_t now);
/** A probe begins. */
void gbd_suspicion_begin_probe (gbd_suspicion_t *suspicion, gbd_time_t now);
/** A probe that began at a time has ended.  Without effect if a flow was
 *  answered since.
 *  @return whether it showed something else than the one before. */
bool gbd_suspicion_record_probe (gbd_suspicion_t *suspicion,
                                 gbd_probe_result_t result,
                                 gbd_time_t began_at, gbd_time_t now);
/** What the newest probe showed, while that counts. */
gbd_probe_result_t gbd_suspicion_get_probe (const gbd_suspicion_t *suspicion,
                                            gbd_time_t now);

/** Signs that it is silent: flows left unanswered, and probes. */
uint32_t gbd_suspicion_count_failures (const gbd_suspicion_t *suspicion,
                                       gbd_time_t now);

/** Whether a new flow may go there: not suspected, or a trial is due and the
 *  probe did not show that it would be in vain. */
bool gbd_suspicion_accepts_flow (const gbd_suspicion_t *suspicion,
                                 gbd_time_t now);

/** A new flow goes there; while suspected this is the trial. */
void gbd_suspicion_record_placement (gbd_suspicion_t *suspicion,
                                     gbd_time_t now);

GBD_END_DECLS
#endif
