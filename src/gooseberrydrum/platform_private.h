/** @file platform_private.h
 *  Shared internals of the calls and the watches of the platform client.
 */
#ifndef PROGRAM_PLATFORM_PRIVATE_H
#define PROGRAM_PLATFORM_PRIVATE_H

#include <glib.h>

#include "gooseberrydrum/retry.h"
#include "platform_client.h"
#include "platform_http.h"

#define GBD_PLATFORM_BACKOFF_FIRST (50 * GBD_MILLISECOND)
#define GBD_PLATFORM_BACKOFF_LONGEST GBD_SECOND
/** First back-off of a watch after its first full listing.  It is longer than
 *  before that listing, because the listing remains usable, and because an
 *  outage makes all instances retry at the same time. */
#define GBD_PLATFORM_BACKOFF_LISTED (250 * GBD_MILLISECOND)

struct gbd_platform
{
  gbd_platform_settings_t settings;
  gbd_http_t *http;
  gbd_time_t now; /* latest time that was passed to a function of the client */
  gbd_breaker_t breaker;
  gbd_retry_budget_t budget;
  uint32_t era;                /* highest era of a response */
  uint64_t next_seed;          /* for the jitter of the next call or watch */
  GPtrArray *calls;            /* elements are call_t */
  GPtrArray *watches;          /* elements are gbd_platform_watch_t */
  GHashTable *newest_versions; /* "kind/name" -> newest version seen, as
                                  uint64_t */
  gbd_platform_stats_t stats;
};

/** A decoded response. */
typedef struct
{
  gbd_status_t status;
  bool is_failure;  /**< counts as a failure for the circuit breaker */
  uint64_t version; /**< a position if the API has eras */
  uint32_t era; /**< era of the store, also in a response without a version;
                     0 if the API has none */
  json_t *body; /**< owned by the caller; NULL if there is none */
} gbd_platform_result_t;

/** Decode a response, count failures, and report the outcome to the circuit
 *  breaker. */
void gbd_platform_evaluate_response (gbd_platform_t *platform,
                                     const gbd_http_response_t *response,
                                     bool is_write,
                                     gbd_platform_result_t *result);

/** Start one HTTP call if the circuit breaker allows it.
 *  @param body owned by this function
 *  @return NULL if the call did not start; a failure to start is counted and
 *  reported to the circuit breaker. */
gbd_http_call_t *gbd_platform_start (gbd_platform_t *platform,
                                     const char *method, const char *path,
                                     char *body, gbd_http_done_t done,
                                     void *data);

/** Whether a call has not connected within the connect time-out; call at each
 *  tick.  The time is measured from the first tick of the call, because a call
 *  may start long after the last tick.
 *  @param unconnected_since 0 when the call starts */
bool gbd_platform_is_connect_late (const gbd_platform_t *platform,
                                   const gbd_http_call_t *http_call,
                                   gbd_time_t *unconnected_since);

/** Charge one retry to the retry budget and count it.
 *  @return false when the budget is used up. */
bool gbd_platform_spend_retry (gbd_platform_t *platform);

/** Cancel an HTTP call that has timed out, and count it as a failure.
 *  @return status to report for the read or write */
gbd_status_t gbd_platform_cancel_timed_out (gbd_platform_t *platform,
                                            gbd_http_call_t *http_call,
                                            bool is_write);

/** The version of a request for a position. */
uint64_t gbd_platform_get_request_version (const gbd_platform_t *platform,
                                           uint64_t position);

/** Record a version of an object.
 *  @return false if a newer version has been seen before. */
bool gbd_platform_record_version (gbd_platform_t *platform, const char *kind,
                                  const char *name, uint64_t version);

void gbd_platform_watch_tick (gbd_platform_watch_t *watch);
void gbd_platform_watch_free (gbd_platform_watch_t *watch);

#endif
