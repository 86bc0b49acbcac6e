/** @file peer_evidence.h
 *  What other instances have reported about one backend server: packets
 *  without a response, responses, and probes without a response.
 *
 *  Load pattern: a quarter of the servers of a service stop responding at
 *  once in front of dozens of instances, each of which sees a small part of a
 *  server's flows.  Without the reports each loses flows of its own before it
 *  avoids the server, and a caller's next attempt reaches an instance that has
 *  not lost any yet.
 *
 *  Reports exclude a server from placement for a short time.  A response
 *  received by this instance, or reported by another one, ends this if it is
 *  later than the packets that had none.  Reports alone never reset a flow;
 *  they add to what this instance has observed itself (director.h).
 *
 *  Instances of one availability zone may reach a server that those of another
 *  cannot.  If a server responds to some zone after another has reported it,
 *  reports of the latter are ignored for GBD_PEER_EVIDENCE_DISTRUST, except by
 *  instances of that zone.
 */
#ifndef GOOSEBERRYDRUM_PEER_EVIDENCE_H
#define GOOSEBERRYDRUM_PEER_EVIDENCE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** How long the reports of two instances count: until an instance that
 *  suspects the server has probed or tried it again. */
#define GBD_PEER_EVIDENCE_VALIDITY (1600 * GBD_MILLISECOND)
/** How long the report of a single instance counts: by then others have
 *  observed the server too, if it has many flows. */
#define GBD_PEER_EVIDENCE_SINGLE_VALIDITY (400 * GBD_MILLISECOND)
/** How long the report of a probe counts for the flows that are open at the
 *  server: two of the longest intervals between probes. */
#define GBD_PEER_EVIDENCE_PROBE_VALIDITY (3200 * GBD_MILLISECOND)
/** How long reports of a zone are ignored after another zone has received a
 *  response of the server. */
#define GBD_PEER_EVIDENCE_DISTRUST (2 * GBD_SECOND)

/** Zero-initialized: nothing was reported. */
typedef struct
{
  gbd_time_t silent_at;      /**< when the latest packet without a response was
                                  first sent; 0: none */
  gbd_time_t reported_at;    /**< when that was reported */
  gbd_time_t heard_at;       /**< latest reported response; 0: none */
  gbd_time_t unreachable_at; /**< start of the latest probe without a response
                                  in the local zone; 0: none */
  uint64_t origin;           /**< instance that has reported last */
  gbd_zone_id_t origin_zone;
  gbd_zone_id_t distrusted_zone;
  gbd_time_t distrusted_until;
  uint32_t count;       /**< reports since the last response */
  bool is_confirmed;    /**< they are of two instances or more */
  gbd_time_t failed_at; /**< last report that was confirmed; 0: none */
} gbd_peer_evidence_t;

/** Who reports, and who receives the report. */
typedef struct
{
  uint64_t origin;           /**< identifies the reporting instance */
  gbd_zone_id_t origin_zone; /**< its availability zone */
  gbd_zone_id_t zone;        /**< zone of this instance */
} gbd_peer_t;

/** Record that a packet or probe of another instance had no response.
 *  @param sent_at its first transmission */
void gbd_peer_evidence_add_silence (gbd_peer_evidence_t *evidence,
                                    const gbd_peer_t *peer, bool is_probe,
                                    gbd_time_t sent_at, gbd_time_t now);

/** Record that another instance has received a response. */
void gbd_peer_evidence_add_response (gbd_peer_evidence_t *evidence,
                                     const gbd_peer_t *peer,
                                     gbd_time_t heard_at);

/** Record that this instance has received a response.
 *  @return whether the server was reported, so that others should know. */
bool gbd_peer_evidence_end (gbd_peer_evidence_t *evidence, gbd_time_t now);

/** Whether the server is excluded by reports.
 *  @param last_response_at last response that this instance has received */
bool gbd_peer_evidence_is_silent (const gbd_peer_evidence_t *evidence,
                                  gbd_time_t last_response_at, gbd_time_t now);

/** Whether probes of instances in the local zone get no response: two
 *  instances at least have reported the server, and no response has come
 *  since.
 *  @param last_response_at as above */
bool gbd_peer_evidence_is_unreachable (const gbd_peer_evidence_t *evidence,
                                       gbd_time_t last_response_at,
                                       gbd_time_t now);

/** @return the number of reports since the last response. */
uint32_t gbd_peer_evidence_count_failures (const gbd_peer_evidence_t *evidence,
                                           gbd_time_t last_response_at,
                                           gbd_time_t now);

/** Whether two instances have reported the server within a time. */
bool gbd_peer_evidence_has_failed (const gbd_peer_evidence_t *evidence,
                                   gbd_time_t within, gbd_time_t now);

GBD_END_DECLS
#endif
