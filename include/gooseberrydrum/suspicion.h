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

/** Evidence about one backend server; all zero knows nothing. */
typedef struct
{
  gbd_time_t answered_at;    /**< newest sign that it answers */
  gbd_time_t trial_due;      /**< while suspected */
  gbd_time_t trial_interval; /**< to the trial after the next one */
  uint32_t unanswered;       /**< since the last answer; 0: not suspected */
} gbd_suspicion_t;

/** Something sent to the backend server was answered. */
void gbd_suspicion_answered (gbd_suspicion_t *suspicion, gbd_time_t now);

/** Something was not answered in time.  Without effect if anything was
 *  answered since it was sent.
 *  @return whether this made the backend server suspected. */
bool gbd_suspicion_unanswered (gbd_suspicion_t *suspicion, gbd_time_t sent_at,
                               gbd_time_t now);

bool gbd_suspicion_is_suspected (const gbd_suspicion_t *suspicion);

/** Whether a new flow may go there: not suspected, or a trial is due. */
bool gbd_suspicion_admits (const gbd_suspicion_t *suspicion, gbd_time_t now);

/** A new flow goes there; while suspected this is the trial. */
void gbd_suspicion_placed (gbd_suspicion_t *suspicion, gbd_time_t now);

GBD_END_DECLS
#endif
