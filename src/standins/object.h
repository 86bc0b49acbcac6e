/** @file object.h
 *  Objects of the platform's stand-in, read and written by blocking calls.
 */
#ifndef STANDINS_OBJECT_H
#define STANDINS_OBJECT_H

#include <jansson.h>

#include "gooseberrydrum/types.h"

/** Read an object.
 *  @param version set to its version unless NULL
 *  @return a new reference, or NULL if there is none. */
json_t *object_get (const gbd_address_t *platform, const char *kind,
                    const char *name, uint64_t *version);

/** Write an object over whatever version there is, trying for a few seconds
 *  while the platform is down, over its rate, or another writer is first. */
bool object_put (const gbd_address_t *platform, const char *kind,
                 const char *name, const json_t *value);

#endif
