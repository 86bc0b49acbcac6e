/** @file platform_store.h
 *  In-memory object store of the stand-in for the platform, with versions,
 *  conditional updates, watches, rate limits, and switches that inject faults.
 *
 *  All kinds share one version counter.
 */
#ifndef STANDINS_PLATFORM_STORE_H
#define STANDINS_PLATFORM_STORE_H

#include <jansson.h>

#include "gooseberrydrum/types.h"

/** Largest value of an object in bytes. */
#define PLATFORM_VALUE_MAX 1048576
/** Number of deleted objects that watches can still see; a watch from an older
 *  version gets status 410. */
#define PLATFORM_DELETED_MAX 1024

typedef enum
{
  PLATFORM_GET,
  PLATFORM_LIST,
  PLATFORM_WATCH,
  PLATFORM_PUT,
  PLATFORM_DELETE
} platform_verb_t;
#define PLATFORM_VERB_COUNT 5
extern const char *const platform_verb_strings[PLATFORM_VERB_COUNT];

typedef struct
{
  platform_verb_t verb;
  char kind[GBD_NAME_MAX + 1];
  char name[2 * GBD_NAME_MAX + 2];
  uint64_t version; /**< put, delete: version to replace; watch: version to
                         start after */
  uint32_t wait_ms; /**< watch: longest time to wait for a change */
  /** Whether a replica that is behind may respond to this read; such a read is
   *  not rate limited. */
  bool allow_stale;
  char after[2 * GBD_NAME_MAX + 2]; /**< list: page starts after this name */
  const char *body;                 /**< put: the new value as JSON */
  size_t body_length;
} platform_request_t;

/* Bits of platform_reply_t.flags. */
/** The watch has no changes yet; poll it later or after a write. */
#define PLATFORM_REPLY_WAIT 1
#define PLATFORM_REPLY_DROPPED 2   /**< close without a response */
#define PLATFORM_REPLY_TRUNCATED 4 /**< send only half of the body */

typedef struct
{
  int status; /**< HTTP status; 0 while a watch waits */
  int flags;
  json_t *body;          /**< owned; may be NULL */
  gbd_time_t respond_at; /**< time at which the response is sent */
} platform_reply_t;

typedef struct platform_store platform_store_t;

/** Create an empty store.
 *  @param writes_per_second,reads_per_second rate limits; 0 for none */
platform_store_t *platform_store_new (uint32_t writes_per_second,
                                      uint32_t reads_per_second,
                                      gbd_time_t now);
void platform_store_delete (platform_store_t *store);

/** Load objects from a JSON object with members "kind/name": value.
 *  @return GBD_ERROR_FORMAT if the JSON object has another form; some objects
 *  may have been loaded in this case. */
gbd_status_t platform_store_load (platform_store_t *store,
                                  const json_t *objects);

/** Write an object regardless of its version, the rate limits and the fault
 *  switches.
 *  @param value owned by the store; NULL deletes the object
 *  @return the new version. */
uint64_t platform_store_write (platform_store_t *store, const char *kind,
                               const char *name, json_t *value);

/** Get the current value of an object.
 *  @return a borrowed reference, or NULL if the object does not exist. */
const json_t *platform_store_find (const platform_store_t *store,
                                   const char *kind, const char *name);

/** Handle one call and count it. */
void platform_store_handle (platform_store_t *store,
                            const platform_request_t *request, gbd_time_t now,
                            platform_reply_t *reply);

/** Poll a watch that waits; not counted as a call.
 *  @param deadline time at which the watch ends without changes */
void platform_store_poll (platform_store_t *store,
                          const platform_request_t *request,
                          gbd_time_t deadline, gbd_time_t now,
                          platform_reply_t *reply);

/** Set the fault switches that are members of an object:
 *  "down": bool           respond with status 503 to every call
 *  "slow_ms": N           delay every response by N ms
 *  "lose_answers": N      apply the next N writes, but close their connections
 *                         without a response
 *  "stale_reads": bool    reads and watches see the state at the time when
 *                         this switch was set
 *  "cut_watches": bool    close the connections of watches that wait
 *  "replay_watches": bool responses to watches repeat all older changes
 *  "garble_answers": N    truncate the bodies of the next N responses
 *  "lag_ms": N            reads with allow_stale see a replica that is up to
 *                         N ms behind
 *  "forget_history": bool compact the history: watches from an older version
 *                         get status 410
 *  "save_copy": bool      keep a copy of the present state
 *  "restore": bool        restore the state from this copy: versions go back,
 *                         and the era rises by one
 *  @return GBD_ERROR_FORMAT, with nothing changed, for any other member, type
 *  or number below 0 or above UINT32_MAX. */
gbd_status_t platform_store_set_switches (platform_store_t *store,
                                          const json_t *switches);

/** The era of the store: 1, and one more after each restore. */
uint32_t platform_store_get_era (const platform_store_t *store);

/** Get counts: calls by kind and verb, refused calls by status, and reads with
 *  allow_stale by kind ("lagging"; these count as calls too).
 *  @return a new reference. */
json_t *platform_store_get_stats (const platform_store_t *store);

#endif
