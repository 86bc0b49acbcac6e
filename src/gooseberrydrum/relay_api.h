/** @file relay_api.h
 *  Object API of a relay, for the clients of its readers, and the compact form
 *  in which a relay passes on the entry of a backend server.
 *
 *  An entry is an array of integers and one string: identifier, address,
 *  service, zone, state (0 ready, 1 draining), slots, start time in ms of the
 *  time of day, remaining warm-up in ms.  Identifiers are those of the
 *  library, as signed integers.
 */
#ifndef PROGRAM_RELAY_API_H
#define PROGRAM_RELAY_API_H

#include "platform_api.h"

/** Path prefix of this version of the protocol. */
#define GBD_RELAY_PREFIX "/v3/"

/** Reads only; the kinds are those of the platform that the relay reads. */
extern const gbd_platform_api_t gbd_platform_api_relay;

/** Convert an entry to its compact form.
 *  @return owned by the caller. */
json_t *gbd_relay_describe_server (const gbd_pool_entry_t *entry,
                                   gbd_time_t now);

#endif
