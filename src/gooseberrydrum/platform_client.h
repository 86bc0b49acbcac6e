/** @file platform_client.h
 *  The platform's object API over HTTP and JSON, by libwebsockets.
 *
 *  Every call has a time-out; retries take jittered exponential backoff and
 *  a retry budget; a circuit breaker stops calls while most fail.
 */
#ifndef PROGRAM_PLATFORM_CLIENT_H
#define PROGRAM_PLATFORM_CLIENT_H

#include <libwebsockets.h>
#include <jansson.h>

#include "platform_dialect.h"

typedef struct
{
  gbd_address_t platform;
  const gbd_platform_dialect_t *dialect; /**< NULL for the own API */
  uint32_t call_timeout_ms;              /**< 2000 unless set */
  uint32_t watch_wait_ms;                /**< longest wait of one watch call */
  uint32_t watch_pause_ms;   /**< after an answer with changes, so that more of
                                  them come in one; 0: none */
  uint32_t longest_pause_ms; /**< between two tries; 1000 unless set */
  bool first_list_may_lag;   /**< of each watch; what has changed since comes
                                  with its next answer */
  uint64_t random_seed;      /**< of the jitter */
} gbd_platform_settings_t;

typedef struct gbd_platform gbd_platform_t;

gbd_platform_t *gbd_platform_new (struct lws_context *context,
                                  const gbd_platform_settings_t *settings);
/** Calls and watches under way end without a report.  Not to be called from a
 *  report. */
void gbd_platform_delete (gbd_platform_t *platform);

/** Outcome of one call.
 *  @param status  GBD_OK; GBD_ERROR_NOT_FOUND; GBD_ERROR_CONFLICT with the
 *                 present version and value; GBD_ERROR_UNAVAILABLE when it
 *                 surely had no effect; GBD_ERROR_UNKNOWN when a write may
 *                 have had one, also after garbage; GBD_ERROR_FORMAT for
 *                 garbage as the answer of a read; GBD_ERROR_RANGE for a
 *                 value over the platform's limit; GBD_ERROR_STALE for a
 *                 version older than one already seen
 *  @param version of the object
 *  @param value   borrowed for the call; NULL if there is none */
typedef void (*gbd_platform_done_t) (void *data, gbd_status_t status,
                                     uint64_t version, json_t *value);

/** One attempt to read an object, retried within the budget.
 *  @param may_lag a copy that is seconds behind may answer */
void gbd_platform_get (gbd_platform_t *platform, const char *kind,
                       const char *name, bool may_lag, gbd_time_t now,
                       gbd_platform_done_t done, void *data);

/** One conditional update; never retried here, for its effect may be unknown.
 *  @param version the version it replaces; 0 if it must not exist */
void gbd_platform_put (gbd_platform_t *platform, const char *kind,
                       const char *name, uint64_t version, json_t *value,
                       gbd_time_t now, gbd_platform_done_t done, void *data);

void gbd_platform_remove (gbd_platform_t *platform, const char *kind,
                          const char *name, uint64_t version, gbd_time_t now,
                          gbd_platform_done_t done, void *data);

/** What a watch reports.  First a full listing: `listed` once with all names,
 *  then `changed` for each; after a cut the watch resumes where it was, or
 *  lists again if the platform no longer knows. */
typedef struct
{
  void (*reset) (void *data); /**< a full listing starts: forget names */
  void (*changed) (void *data, const char *name, uint64_t version,
                   json_t *value); /**< value NULL: deleted */
  /** The platform answered; everything up to now was reported.
   *  @param asked_at when the answered request was sent */
  void (*confirmed) (void *data, gbd_time_t asked_at);
  /** The platform did not answer, or not usefully; may be NULL.  Each
   *  attempt until the next `confirmed` is reported. */
  void (*failed) (void *data, gbd_time_t now);
  /** Before changes are reported: what a relay says besides; may be NULL.
   *  @param settling_ms for how much longer missing entries may come back
   *  @param hint        as gbd_relay_set_hint; 0 from others */
  void (*advised) (void *data, uint32_t settling_ms, uint64_t hint);
  /** The changes since the last answer are no longer known there; may be
   *  NULL.
   *  @return whether to list all again; false fails the watch, which another
   *  client may then resume. */
  bool (*forgotten) (void *data);
} gbd_platform_watch_callbacks_t;

typedef struct gbd_platform_watch gbd_platform_watch_t;

/** Watch all objects of a kind whose name starts with a prefix ("" for all;
 *  the filter is applied here). */
gbd_platform_watch_t *
gbd_platform_watch_new (gbd_platform_t *platform, const char *kind,
                        const char *prefix, gbd_time_t now,
                        const gbd_platform_watch_callbacks_t *callbacks,
                        void *data);
void gbd_platform_watch_delete (gbd_platform_watch_t *watch);

/** Go on with the same watch at another client, whose versions are of the
 *  same origin; also from a report of the watch.
 *  @param asks_now ask it at once, not after the pause of a failure */
void gbd_platform_watch_move (gbd_platform_watch_t *watch,
                              gbd_platform_t *platform, bool asks_now);

/** Longest wait of one call, instead of the client's. */
void gbd_platform_watch_set_wait (gbd_platform_watch_t *watch,
                                  uint32_t wait_ms);

/** Let a copy that is seconds behind answer calls that wait for changes; for
 *  a watch whose user hears by other means when it is behind, and then asks
 *  for a refresh, which no copy answers. */
void gbd_platform_watch_set_lag (gbd_platform_watch_t *watch, bool may_lag);

/** Pause after an answer with changes, instead of the client's. */
void gbd_platform_watch_set_pause (gbd_platform_watch_t *watch,
                                   uint32_t pause_ms);

/** Ask again at once, whatever pause is under way: the answer that is awaited
 *  may never come, or the platform is known to answer others.  Should that
 *  fail, the pauses go on as they were.  A call that does not wait for changes
 *  is left alone: its time-out is short. */
void gbd_platform_watch_refresh (gbd_platform_watch_t *watch);

/** Version up to which everything was reported. */
uint64_t gbd_platform_watch_get_version (const gbd_platform_watch_t *watch);

/** Start retries and time-outs that are due; call about ten times a second. */
void gbd_platform_tick (gbd_platform_t *platform, gbd_time_t now);

typedef struct
{
  uint64_t calls;
  uint64_t failures;
  uint64_t retries;
  uint64_t retries_refused; /**< by the budget */
  uint64_t bytes_sent;
  uint64_t bytes_received;
  bool is_open; /**< the circuit breaker stops calls now */
} gbd_platform_stats_t;

void gbd_platform_get_stats (const gbd_platform_t *platform,
                             gbd_platform_stats_t *stats);

#endif
