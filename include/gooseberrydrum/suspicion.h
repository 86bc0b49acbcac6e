/** @file suspicion.h
 *  Passive failure detection of one backend server, from the packets of its
 *  flows.
 *
 *  Responses go from the backend server directly to the caller, so an instance
 *  sees only the caller's packets.  A retransmitted opening packet or
 *  retransmitted data indicates a missing response, an advancing
 *  acknowledgment number a response.
 *
 *  The detector covers a backend server that stops responding (crash, hang,
 *  network partition) while its entry in the platform is still "ready".  The
 *  first missing response excludes it from placement until a trial flow gets a
 *  response; the interval between trial flows doubles.  On a link with packet
 *  loss, a response to any later flow clears the suspicion, so packet loss
 *  does not exclude all backend servers of a service.
 *
 *  A probe, which is a TCP connection to the address of a suspected backend
 *  server, distinguishes a process that has stopped or an unreachable machine
 *  from one that is slow or behind a lossy link.
 *
 *  A backend server whose entry is removed is probed as well.  Its entry may
 *  have expired because its heartbeats were written late, while it serves its
 *  flows.
 */
#ifndef GOOSEBERRYDRUM_SUSPICION_H
#define GOOSEBERRYDRUM_SUSPICION_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Interval before the first trial flow.  A caller retransmits an opening
 *  packet after 200 ms, so the result of an earlier trial would not be known
 *  sooner. */
#define GBD_SUSPICION_FIRST_TRIAL (200 * GBD_MILLISECOND)
/** Longest interval between trial flows; bounds the time during which a
 *  recovered backend server gets no new flows from this instance. */
#define GBD_SUSPICION_LONGEST_TRIAL (1600 * GBD_MILLISECOND)

/** Time-out of a probe: several round trips between availability zones, and
 *  less than the time of a caller's second retransmission of data (600 ms). */
#define GBD_SUSPICION_PROBE_TIMEOUT (300 * GBD_MILLISECOND)
/** How long a probe result is valid: two of the longest intervals between
 *  probes, that is until the next probe but one. */
#define GBD_SUSPICION_PROBE_VALIDITY (2 * GBD_SUSPICION_LONGEST_TRIAL)

typedef enum
{
  GBD_PROBE_NONE,       /**< no valid result */
  GBD_PROBE_ACCEPTED,   /**< the connection was accepted */
  GBD_PROBE_REFUSED,    /**< the host is up, but the process has stopped */
  GBD_PROBE_NO_RESPONSE /**< no reply within the time-out, or an error other
                             than a refusal */
} gbd_probe_result_t;
#define GBD_PROBE_COUNT 4
extern const char *const gbd_probe_strings[GBD_PROBE_COUNT];

/** Evidence about one backend server.  Zero-initialized: not suspected. */
typedef struct
{
  gbd_time_t last_response_at;
  gbd_time_t trial_due;      /**< if suspected: time of the next trial
                                  flow */
  gbd_time_t trial_interval; /**< interval after the next trial flow */
  uint32_t unanswered;       /**< missing responses since the last response;
                                  0: not suspected */
  gbd_time_t probe_due;      /**< if suspected: time of the next probe */
  gbd_time_t probe_interval; /**< interval after the next probe */
  gbd_time_t probed_at;      /**< start of the last probe with a result */
  uint8_t probe;             /**< gbd_probe_result_t of the last probe that
                                  had a result */
  uint32_t probe_count;      /**< consecutive probes whose result was
                                  `probe` */
  gbd_time_t failed_at;      /**< last missing response, reset of its flows, or
                                  response that ended the suspicion; 0: none */
  bool is_removed;           /**< the platform no longer lists it */
  gbd_time_t refused_at;     /**< last time at which its last probe was
                                  refused; 0: never */
} gbd_suspicion_t;

/** Record a response to a packet. */
void gbd_suspicion_record_response (gbd_suspicion_t *suspicion,
                                    gbd_time_t now);

/** Record that a packet got no response in time.  Has no effect if a
 *  response arrived after the packet was sent.
 *  @return whether the backend server has become suspected by this failure. */
bool gbd_suspicion_record_failure (gbd_suspicion_t *suspicion,
                                   gbd_time_t sent_at, gbd_time_t now);

/** Record that a request got no response while its caller sent nothing
 * further: the server has reset it, or the caller has given up.  This breaks
 * the record of the server, but is too weak to suspect it. */
void gbd_suspicion_record_silence (gbd_suspicion_t *suspicion, gbd_time_t now);

/** Record that the entry of the backend server was removed, or listed again.
 */
void gbd_suspicion_record_removal (gbd_suspicion_t *suspicion, gbd_time_t now);
void gbd_suspicion_record_listing (gbd_suspicion_t *suspicion);

/** Record that a flow of the backend server was reset because the server has
 *  stopped or does not respond. */
void gbd_suspicion_record_reset (gbd_suspicion_t *suspicion, gbd_time_t now);

bool gbd_suspicion_is_suspected (const gbd_suspicion_t *suspicion);

/** Whether the backend server is suspected, or has failed or recovered within
 *  a time. */
bool gbd_suspicion_has_failed (const gbd_suspicion_t *suspicion,
                               gbd_time_t within, gbd_time_t now);

bool gbd_suspicion_is_probe_due (const gbd_suspicion_t *suspicion,
                                 gbd_time_t now);
void gbd_suspicion_begin_probe (gbd_suspicion_t *suspicion, gbd_time_t now);
/** Record the result of a probe.  Has no effect if a flow got a response after
 *  the probe was started.
 *  @return whether the result differs from that of the previous probe. */
bool gbd_suspicion_record_probe (gbd_suspicion_t *suspicion,
                                 gbd_probe_result_t result,
                                 gbd_time_t began_at, gbd_time_t now);
/** @return the result of the last probe while it is valid, else
 *  GBD_PROBE_NONE. */
gbd_probe_result_t gbd_suspicion_get_probe (const gbd_suspicion_t *suspicion,
                                            gbd_time_t now);

/** @return number of missing responses and unanswered probes. */
uint32_t gbd_suspicion_count_failures (const gbd_suspicion_t *suspicion,
                                       gbd_time_t now);

/** Whether a new flow may be sent to the backend server: it is not suspected,
 *  or a trial is due and the last probe result is neither REFUSED nor
 *  NO_RESPONSE. */
bool gbd_suspicion_accepts_flow (const gbd_suspicion_t *suspicion,
                                 gbd_time_t now);

/** Whether a trial flow has been due for GBD_SUSPICION_LONGEST_TRIAL: no flow
 *  whose loss does less harm has come by for it.  False while the last probe
 *  failed. */
bool gbd_suspicion_is_trial_overdue (const gbd_suspicion_t *suspicion,
                                     gbd_time_t now);

/** Record a new flow; while the backend server is suspected, this flow is the
 *  trial flow. */
void gbd_suspicion_record_placement (gbd_suspicion_t *suspicion,
                                     gbd_time_t now);

GBD_END_DECLS
#endif
