/** @file platform_private.h
 *  What calls and watches of the platform client have in common.
 */
#ifndef PROGRAM_PLATFORM_PRIVATE_H
#define PROGRAM_PLATFORM_PRIVATE_H

#include <glib.h>

#include "gooseberrydrum/retry.h"
#include "platform_client.h"
#include "platform_http.h"

#define GBD_PLATFORM_BACKOFF_FIRST (50 * GBD_MILLISECOND)
#define GBD_PLATFORM_BACKOFF_LONGEST GBD_SECOND
/** Of a watch that has listed: what it knows still holds, and all instances
 *  begin to try again at the same moment. */
#define GBD_PLATFORM_BACKOFF_LISTED (250 * GBD_MILLISECOND)

struct gbd_platform
{
  gbd_platform_settings_t settings;
  gbd_http_t *http;
  gbd_time_t now; /* as last passed in */
  gbd_breaker_t breaker;
  gbd_retry_budget_t budget;
  uint64_t seeds;     /* of the jitter, one a call */
  GPtrArray *calls;   /* of call_t */
  GPtrArray *watches; /* of gbd_platform_watch_t */
  GHashTable *seen;   /* "kind/name" -> newest version, a uint64_t */
  gbd_platform_stats_t stats;
};

/** What an answer says.  @param value owned by the caller */
typedef struct
{
  gbd_status_t status;
  bool is_failure; /**< of the platform: counts for the circuit breaker */
  uint64_t version;
  json_t *body; /**< owned; NULL if there is none */
} gbd_platform_result_t;

/** Read an answer, count it and report it to the circuit breaker. */
void gbd_platform_judge (gbd_platform_t *platform,
                         const gbd_http_answer_t *answer, bool is_write,
                         gbd_platform_result_t *result);

/** Start one exchange if the circuit breaker lets it.
 *  @param body owned by this function
 *  @return NULL, with the failure reported, when it did not start. */
gbd_http_call_t *gbd_platform_start (gbd_platform_t *platform,
                                     const char *method, const char *path,
                                     char *body, gbd_http_done_t done,
                                     void *data);

/** Whether the retry budget has one left; spends it and counts. */
bool gbd_platform_spend_retry (gbd_platform_t *platform);

/** Drop an exchange that took too long, as a failure.
 *  @return the status of the call it belonged to */
gbd_status_t gbd_platform_time_out (gbd_platform_t *platform,
                                    gbd_http_call_t *http_call, bool is_write);

/** Note a version of an object.
 *  @return false if a newer one has been seen before. */
bool gbd_platform_note_version (gbd_platform_t *platform, const char *kind,
                                const char *name, uint64_t version);

void gbd_platform_watch_tick (gbd_platform_watch_t *watch);
void gbd_platform_watch_free (gbd_platform_watch_t *watch);

#endif
