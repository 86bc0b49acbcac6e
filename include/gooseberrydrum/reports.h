/** @file reports.h
 *  Exchange of what instances have observed of backend servers.
 *
 *  An instance collects a report for each server of which it has observed
 *  something unusual: a packet or probe without a response, a response of a
 *  server that was suspected, a failed request.  With nothing unusual there is
 *  nothing to report.  What others report goes into peer_evidence.h and
 *  failing.h.
 *
 *  Reports may be lost, late, repeated or false:
 *
 *  - One about an earlier process of a server, or about an unknown server, has
 *    no effect.
 *  - One older than GBD_REPORTS_AGE_MAX has no effect.
 *  - The batches of an origin carry an increasing number; one whose number is
 *    not higher than the last has no effect.
 *  - An instance that is cut off, or short of processor time, finds that most
 *    servers do not respond.  Once an origin has reported more than
 *    1 / GBD_REPORTS_SILENT_DIVISOR of the listed servers as silent within
 *    GBD_REPORTS_WINDOW, its reports of silence are ignored for this time.
 *  - Failed requests are believed, but their count is limited, and a server is
 *    only avoided for more of them than the median server has.
 *
 *  Load pattern: 42 of 120 servers fall silent in front of 94 instances, which
 *  report some hundred packets within a second; a third of the servers answer
 *  with errors for minutes.
 *
 *  Times are those of the caller's monotonic clock.
 */
#ifndef GOOSEBERRYDRUM_REPORTS_H
#define GOOSEBERRYDRUM_REPORTS_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/pool.h"

GBD_BEGIN_DECLS

/** A packet is reported 200 ms after its transmission and a probe 300 ms after
 *  its start; the rest allows for the exchange. */
#define GBD_REPORTS_AGE_MAX GBD_SECOND
#define GBD_REPORTS_WINDOW GBD_SECOND
#define GBD_REPORTS_SILENT_DIVISOR 2
/** Largest number of failed requests that a report states. */
#define GBD_REPORTS_FAILED_MAX 1000

/** What one instance has observed of one backend server. */
typedef struct
{
  gbd_backend_id_t server;
  int64_t start_time_ms; /**< of its process, as in gbd_pool_entry_t */
  gbd_unreported_t observed;
} gbd_report_t;

/** Who has sent a batch of reports. */
typedef struct
{
  uint64_t origin;    /**< identifies one start of an instance; not 0 */
  gbd_zone_id_t zone; /**< its availability zone */
  uint64_t number;    /**< of the batch */
} gbd_report_origin_t;

/** Collect the next report and mark it as sent.
 *  @param position 0 for the first one; advanced by this function
 *  @return false if there are no more. */
bool gbd_reports_collect (gbd_pool_t *pool, uint32_t *position,
                          gbd_report_t *report);

/** What is known of the origins.  Their number is bounded; for more of them,
 *  the one that has reported least recently is forgotten. */
typedef struct gbd_reports gbd_reports_t;

/** @param origin identifies this instance, whose own reports are ignored
 *  @param zone its zone
 *  @return NULL if memory is exhausted. */
gbd_reports_t *gbd_reports_new (uint64_t origin, gbd_zone_id_t zone);
void gbd_reports_delete (gbd_reports_t *reports);

/** Accept a batch.
 *  @return false if it is a repetition or of this instance itself. */
bool gbd_reports_accept (gbd_reports_t *reports,
                         const gbd_report_origin_t *origin, gbd_time_t now);

/** Apply one report of the batch that was accepted last.
 *  @return GBD_ERROR_NOT_FOUND for an unknown server or an earlier process of
 *  it; GBD_ERROR_STALE if it is too old; GBD_ERROR_RANGE if it is in the
 *  future or states too many failed requests; GBD_ERROR_CONFLICT
 *  if reports of silence by this origin are ignored. */
gbd_status_t gbd_reports_apply (gbd_reports_t *reports, gbd_pool_t *pool,
                                const gbd_report_t *report, gbd_time_t now);

GBD_END_DECLS
#endif
