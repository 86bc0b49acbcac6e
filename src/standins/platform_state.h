/** @file platform_state.h
 *  Objects of the stand-in for the platform, without rate limits and injected
 *  faults.
 */
#ifndef STANDINS_PLATFORM_STATE_H
#define STANDINS_PLATFORM_STATE_H

#include <jansson.h>

#include "gooseberrydrum/types.h"

typedef struct
{
  char *kind;
  char *name;
  uint64_t version;
  json_t *value; /**< NULL once deleted */
} platform_object_t;

typedef struct platform_state platform_state_t;

/** Create an empty state.
 *  @param deleted_max number of deleted objects that watches can still see */
platform_state_t *platform_state_new (uint32_t deleted_max);
void platform_state_delete (platform_state_t *state);

/** Make a read-only copy that shares the values of the objects. */
platform_state_t *platform_state_copy (const platform_state_t *state);

/** Write an object.
 *  @param value owned by the state; NULL deletes the object
 *  @return the new version of both the object and the state. */
uint64_t platform_state_write (platform_state_t *state, const char *kind,
                               const char *name, json_t *value);

/** Find an object.
 *  @return NULL if it does not exist or was deleted. */
const platform_object_t *platform_state_find (const platform_state_t *state,
                                              const char *kind,
                                              const char *name);

/** Collect the objects of a kind that changed after a version, oldest change
 *  first.
 *  @param with_deleted whether to include deleted objects, with value null
 *  @return a new array of {"name", "version", "value"}. */
json_t *platform_state_collect (const platform_state_t *state,
                                const char *kind, uint64_t since,
                                bool with_deleted);

/** Get the version of the newest change. */
uint64_t platform_state_get_version (const platform_state_t *state);

/** Compact the history: discard all changes made up to now; the objects
 *  stay. */
void platform_state_compact (platform_state_t *state);

/** Get the version of the newest change that was discarded by compaction. */
uint64_t platform_state_get_compacted_version (const platform_state_t *state);

/** Get the number of objects, including the deleted ones that are kept. */
uint32_t platform_state_get_count (const platform_state_t *state);

#endif
