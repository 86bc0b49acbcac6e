/** @file object.h
 *  Blocking access to objects of the platform's stand-in.
 */
#ifndef STANDINS_OBJECT_H
#define STANDINS_OBJECT_H

#include <jansson.h>

#include "gooseberrydrum/types.h"

/** Read an object.
 *  @param version set to the version of the object; may be NULL
 *  @return a new reference, or NULL if the object does not exist or cannot be
 *  read. */
json_t *object_get (const gbd_address_t *platform, const char *kind,
                    const char *name, uint64_t *version);

/** Write an object regardless of its current version.  The call is repeated
 *  for a few seconds while the platform is down or its rate limit is exceeded,
 *  or if another writer changes the object first.
 *  @return whether the object was written. */
bool object_put (const gbd_address_t *platform, const char *kind,
                 const char *name, const json_t *value);

#endif
