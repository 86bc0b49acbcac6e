/** @file platform_store.h
 *  Objects of the stand-in of the platform, in memory: versions, conditional
 *  updates, watches, limits, and switches that bring about faults.
 *
 *  Versions come from one counter for all kinds.
 */
#ifndef STANDINS_PLATFORM_STORE_H
#define STANDINS_PLATFORM_STORE_H

#include <jansson.h>

#include "gooseberrydrum/types.h"

/** Largest value of an object in bytes. */
#define PLATFORM_VALUE_MAX 1048576
/** Deleted objects that a watch can still learn of; with an older `since` it
 *  gets 410. */
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
  uint64_t version; /**< put, delete: the one to replace; watch: since */
  uint32_t wait_ms; /**< watch */
  bool may_lag;     /**< a read that a copy may answer which lags behind;
                         counts for no rate */
  char after[2 * GBD_NAME_MAX + 2]; /**< list: the page after this name */
  const char *body;                 /**< put */
  size_t body_length;
} platform_request_t;

/** Bits of platform_reply_t.flags. */
#define PLATFORM_REPLY_WAIT 1 /**< watch: ask again later or after a write */
#define PLATFORM_REPLY_LOST 2 /**< cut the connection, send nothing */
#define PLATFORM_REPLY_GARBLED 4 /**< send half of the text */

typedef struct
{
  int status; /**< of HTTP */
  int flags;
  json_t *body;         /**< owned; may be NULL */
  gbd_time_t answer_at; /**< hold the answer back until then */
} platform_reply_t;

typedef struct platform_store platform_store_t;

/** @param writes_per_second,reads_per_second 0: no limit */
platform_store_t *platform_store_new (uint32_t writes_per_second,
                                      uint32_t reads_per_second,
                                      gbd_time_t now);
void platform_store_delete (platform_store_t *store);

/** Put every member "kind/name": value of an object.
 *  @return GBD_ERROR_FORMAT, with a part possibly loaded, when it is not such
 *  an object. */
gbd_status_t platform_store_load (platform_store_t *store,
                                  const json_t *objects);

/** Write an object whatever its version, the limits and the switches.
 *  @param value owned by the store; NULL deletes
 *  @return its version */
uint64_t platform_store_write (platform_store_t *store, const char *kind,
                               const char *name, json_t *value);

/** Present value of an object, borrowed, or NULL. */
const json_t *platform_store_find (const platform_store_t *store,
                                   const char *kind, const char *name);

/** Handle one call and count it. */
void platform_store_handle (platform_store_t *store,
                            const platform_request_t *request, gbd_time_t now,
                            platform_reply_t *reply);

/** Look again at a watch that waits; not counted as a call.
 *  @param deadline when it is answered without changes */
void platform_store_poll (platform_store_t *store,
                          const platform_request_t *request,
                          gbd_time_t deadline, gbd_time_t now,
                          platform_reply_t *reply);

/** Set the switches that an object names:
 *  "down": bool           answer 503 to everything
 *  "slow_ms": N           hold every answer back
 *  "lose_answers": N      let the next N writes take effect, but cut their
 *                         connections
 *  "stale_reads": bool    reads and watches see the state of the moment at
 *                         which this was set
 *  "cut_watches": bool    cut the connections of watches that wait
 *  "replay_watches": bool answers of watches repeat all older changes
 *  "garble_answers": N    cut the text of the next N answers in the middle
 *  "lag_ms": N            reads that may lag see a copy up to so old
 *  "forget_history": bool watches from before this was set get 410
 *  @return GBD_ERROR_FORMAT, nothing changed, for anything else. */
gbd_status_t platform_store_set_switches (platform_store_t *store,
                                          const json_t *switches);

/** Counts of calls by kind and verb, refusals by status, and reads that might
 *  lag by kind ("lagging"; they count as calls too); owned by caller. */
json_t *platform_store_get_stats (const platform_store_t *store);

#endif
