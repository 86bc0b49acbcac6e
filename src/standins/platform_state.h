/** @file platform_state.h
 *  The objects of the stand-in of the platform, without limits or faults.
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

/** @param deleted_max deleted objects that are remembered */
platform_state_t *platform_state_new (uint32_t deleted_max);
void platform_state_delete (platform_state_t *state);

/** Copy to read from; the values are shared. */
platform_state_t *platform_state_copy (const platform_state_t *state);

/** Write an object.  @param value owned by the state; NULL deletes
 *  @return the new version, of object and state */
uint64_t platform_state_write (platform_state_t *state, const char *kind,
                               const char *name, json_t *value);

/** @return the object, or NULL if there is none or it was deleted. */
const platform_object_t *platform_state_find (const platform_state_t *state,
                                              const char *kind,
                                              const char *name);

/** Objects of a kind that changed after a version, oldest change first, as
 *  an array of {"name", "version", "value"}; owned by the caller. */
json_t *platform_state_collect (const platform_state_t *state,
                                const char *kind, uint64_t since,
                                bool with_deleted);

/** Version of the newest change. */
uint64_t platform_state_get_version (const platform_state_t *state);

/** Forget all changes made until now; the objects stay. */
void platform_state_forget (platform_state_t *state);

/** Version of the newest change that is no longer remembered. */
uint64_t platform_state_get_forgotten (const platform_state_t *state);

/** Objects, deleted ones that are remembered included. */
uint32_t platform_state_get_count (const platform_state_t *state);

#endif
