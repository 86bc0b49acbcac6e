/** @file platform_client.h
 *  Client of the platform's object store: HTTP with JSON, on libwebsockets.
 *
 *  Every call has a time-out.  Retries use exponential back-off with jitter
 *  and are limited by a retry budget.  A circuit breaker stops calls after a
 *  run of failures.
 */
#ifndef PROGRAM_PLATFORM_CLIENT_H
#define PROGRAM_PLATFORM_CLIENT_H

#include <libwebsockets.h>
#include <jansson.h>

#include "platform_api.h"

/** Settings of a client. */
typedef struct
{
  gbd_address_t platform;
  const gbd_platform_api_t *platform_api; /**< NULL for the native API */
  uint32_t call_timeout_ms;               /**< 2000 if 0 */
  uint32_t connect_timeout_ms; /**< abandon a call whose connection is not
                                    established by then; 0: only by
                                    call_timeout_ms */
  uint32_t list_timeout_ms;    /**< of a listing, counted from the last bytes
                                    received; call_timeout_ms if 0 */
  uint32_t attempts;           /**< at a read; 4 if 0 */
  uint32_t watch_wait_ms;      /**< longest wait of a long poll */
  uint32_t watch_pause_ms;    /**< pause after a response with changes, so that
                                   the next one carries more of them; 0: none */
  uint32_t max_backoff_ms;    /**< longest back-off; 1000 if 0 */
  uint32_t breaker_pause_ms;  /**< longest pause of the circuit breaker;
                                   max_backoff_ms if 0 */
  const char *watch_argument; /**< appended to the query of each request of a
                                   watch, such as "from=10.0.0.1:80"; not
                                   copied, so it may change; NULL or "":
                                   none */
  bool allow_stale_first_list; /**< allow a stale read for the first listing of
                                a watch; its next response contains the
                                changes since then */
  uint64_t random_seed;        /**< for the jitter of the back-off */
} gbd_platform_settings_t;

/** Client of one server of the platform. */
typedef struct gbd_platform gbd_platform_t;

/** @return NULL when libwebsockets cannot create a vhost. */
gbd_platform_t *gbd_platform_new (struct lws_context *context,
                                  const gbd_platform_settings_t *settings);

/** Delete a client.  Its calls and watches end without a callback.  Must not
 *  be called from a callback of the client. */
void gbd_platform_delete (gbd_platform_t *platform);

/** Reports the outcome of one call.
 *  @param status  GBD_OK; GBD_ERROR_NOT_FOUND; GBD_ERROR_CONFLICT with the
 *                 current version and value; GBD_ERROR_UNAVAILABLE when the
 *                 call had no effect; GBD_ERROR_UNKNOWN when a write may have
 *                 taken effect, also after a malformed response;
 *                 GBD_ERROR_FORMAT for a malformed response to a read;
 *                 GBD_ERROR_RANGE for a value over the platform's limit;
 *                 GBD_ERROR_STALE for a version older than one seen before
 *  @param version of the object
 *  @param value   valid during the callback; NULL if there is none */
typedef void (*gbd_platform_done_t) (void *data, gbd_status_t status,
                                     uint64_t version, json_t *value);

/** Read an object; failed attempts are retried within the retry budget.
 *  @param allow_stale allow a stale read from a replica that is seconds behind
 */
void gbd_platform_get (gbd_platform_t *platform, const char *kind,
                       const char *name, bool allow_stale, gbd_time_t now,
                       gbd_platform_done_t done, void *data);

/** Update an object on condition of its version (compare-and-swap).  Not
 *  retried, because a failed attempt may have taken effect.
 *  @param version expected current version; 0 if the object must not exist */
void gbd_platform_put (gbd_platform_t *platform, const char *kind,
                       const char *name, uint64_t version, json_t *value,
                       gbd_time_t now, gbd_platform_done_t done, void *data);

/** Delete an object on condition of its version.  Not retried, because a
 *  failed attempt may have taken effect. */
void gbd_platform_remove (gbd_platform_t *platform, const char *kind,
                          const char *name, uint64_t version, gbd_time_t now,
                          gbd_platform_done_t done, void *data);

/** Callbacks of a watch.  A watch starts with a full listing: `reset`, then
 *  `changed` for each object.  After an interruption it resumes at its last
 *  version, or lists everything again if the platform no longer stores the
 *  changes since then. */
typedef struct
{
  /** A full listing starts; discard all known objects.  May be NULL. */
  void (*reset) (void *data);
  /** An object was created or changed, or deleted if `value` is NULL. */
  void (*changed) (void *data, const char *name, uint64_t version,
                   json_t *value);
  /** A response arrived, and all objects and changes up to its version have
   *  been reported.  May be NULL.
   *  @param requested_at when the request was sent */
  void (*confirmed) (void *data, gbd_time_t requested_at);
  /** The server refused a request with a body; `failed` follows.  May be
   *  NULL. */
  void (*rejected) (void *data, const json_t *body);
  /** An attempt got no usable response.  Called for each failed attempt until
   *  the next `confirmed`.  May be NULL. */
  void (*failed) (void *data, gbd_time_t now);
  /** Called before the changes of a response are reported, with metadata that
   *  only relays send.  May be NULL.
   *  @param removal_grace_ms rest of the removal grace period, in which
   *  missing entries may reappear
   *  @param hint             as in gbd_relay_set_hint; 0 if the response is
   *  not from a relay
   *  @param is_connected     false if the response is a listing of a relay
   * that cannot reach the platform; it may be outdated */
  void (*relay_metadata) (void *data, uint32_t removal_grace_ms, uint64_t hint,
                          bool is_connected);
  /** The response contains documents besides the objects, as only listings of
   *  relays do; called before the objects are reported.  May be NULL.
   *  @param documents {"KIND/NAME": {version, value}} */
  void (*documents) (void *data, const json_t *documents);
  /** A response or a rejection of a relay contains the view of the group;
   * called before the other callbacks of the response.  May be NULL.
   *  @param view as in relay_codec.h; not NULL, may be null or malformed */
  void (*group_view) (void *data, const json_t *view);
  /** A relay has sent the set of evacuated zones; called after
   *  relay_metadata.  May be NULL.
   *  @param set [position, [zone name, ...]]; JSON null if the relay does not
   *  know it
   *  @param requested_at as for `confirmed` */
  void (*evacuations) (void *data, const json_t *set, gbd_time_t requested_at);
  /** The store was restored from an older copy, as the response of a platform
   *  or a relay shows; what the store has now follows, as a listing or as
   *  changes, and then `confirmed`.  May be NULL.
   *  @param position last position before that
   *  @param era      new era of the store */
  void (*restored) (void *data, uint64_t position, uint32_t era);
  /** The platform no longer stores the changes since the last response.  May
   *  be NULL.
   *  @return true to list everything again, which also happens without this
   *  callback; false to fail the attempt, so that another client may resume
   *  the watch. */
  bool (*compacted) (void *data);
} gbd_platform_watch_callbacks_t;

/** A watch: one long poll after another, and the back-off between retries. */
typedef struct gbd_platform_watch gbd_platform_watch_t;

/** Watch the objects of a kind whose names start with a prefix.
 *  @param prefix "" for all objects; the client filters the names */
gbd_platform_watch_t *
gbd_platform_watch_new (gbd_platform_t *platform, const char *kind,
                        const char *prefix, gbd_time_t now,
                        const gbd_platform_watch_callbacks_t *callbacks,
                        void *data);
void gbd_platform_watch_delete (gbd_platform_watch_t *watch);

/** Resume a watch with another client, whose server must use the same
 *  sequence of versions.  May be called from a callback of the watch.
 *  @param is_immediate send a request at once, without any back-off */
void gbd_platform_watch_move (gbd_platform_watch_t *watch,
                              gbd_platform_t *platform, bool is_immediate);

/** Replace the callbacks.  May be called from a callback of the watch. */
void gbd_platform_watch_set_callbacks (
    gbd_platform_watch_t *watch,
    const gbd_platform_watch_callbacks_t *callbacks);

/** Set the longest wait of a long poll, in place of the client's setting. */
void gbd_platform_watch_set_wait (gbd_platform_watch_t *watch,
                                  uint32_t wait_ms);

/** Allow stale reads for long polls and their retries.  Only for a user that
 *  detects by other means that the watch is behind and then calls
 *  gbd_platform_watch_refresh(); the request of a refresh is never a stale
 *  read. */
void gbd_platform_watch_set_allow_stale (gbd_platform_watch_t *watch,
                                         bool allow_stale);

/** Set the pause after a response with changes, in place of the client's
 *  setting. */
void gbd_platform_watch_set_pause (gbd_platform_watch_t *watch,
                                   uint32_t pause_ms);

/** Abandon a long poll or a pause and send a request at the next tick, also
 *  while the circuit breaker is open.  Use it if the response may never
 *  arrive, or if the platform is known to respond to other clients.  If the
 *  request fails, the back-off continues from its last delay.  A retry or a
 *  listing in progress is not abandoned: it is not a long poll, and it times
 *  out soon unless its response is arriving. */
void gbd_platform_watch_refresh (gbd_platform_watch_t *watch);

/** List everything again with the next request, which is sent without a pause.
 *  May be called from a callback of the watch. */
void gbd_platform_watch_relist (gbd_platform_watch_t *watch);

/** Whether a listing is complete, or the response to it has begun. */
bool gbd_platform_watch_is_responding (const gbd_platform_watch_t *watch);

/** @return the version up to which all changes have been reported. */
uint64_t gbd_platform_watch_get_version (const gbd_platform_watch_t *watch);

/** Run the time-outs and retries that are due; call about ten times a
 *  second. */
void gbd_platform_tick (gbd_platform_t *platform, gbd_time_t now);

/** Counters of a client since its creation. */
typedef struct
{
  uint64_t calls;
  uint64_t failures;
  uint64_t retries;
  uint64_t retries_refused; /**< retries that the retry budget did not allow */
  uint64_t bytes_sent;
  uint64_t bytes_received;
  bool is_breaker_open; /**< the circuit breaker rejects calls */
} gbd_platform_stats_t;

void gbd_platform_get_stats (const gbd_platform_t *platform,
                             gbd_platform_stats_t *stats);

#endif
