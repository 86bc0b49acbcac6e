/** @file endpoint.h
 *  One backend server of the stand-in: as much of TCP as callers can tell
 *  from a real one, packet by packet.
 */
#ifndef STANDINS_ENDPOINT_H
#define STANDINS_ENDPOINT_H

#include "standins/inner.h"

typedef struct
{
  uint64_t connections; /**< opened so far */
  uint64_t served;      /**< connections that a request came on */
  uint64_t unknown;     /**< packets of connections that it does not have */
  uint64_t refused;     /**< opening packets reset while shedding load */
  uint64_t bytes;       /**< of the packets received */
} endpoint_counts_t;

typedef struct endpoint endpoint_t;

/** @param service,uid at most GBD_NAME_MAX bytes */
endpoint_t *endpoint_new (const char *service, const char *uid);
void endpoint_delete (endpoint_t *endpoint);

const char *endpoint_get_uid (const endpoint_t *endpoint);
const endpoint_counts_t *endpoint_get_counts (const endpoint_t *endpoint);

/** While shedding, opening packets of new connections are reset. */
void endpoint_set_shedding (endpoint_t *endpoint, bool is_shedding);

/** Until then opening packets are left unanswered. */
void endpoint_set_cold_until (endpoint_t *endpoint, gbd_time_t until);

/** Handle one packet.
 *  @param answer at least INNER_LENGTH_MAX
 *  @return bytes of the answer, or 0 when there is none. */
size_t endpoint_handle (endpoint_t *endpoint, const uint8_t *bytes,
                        size_t length, gbd_time_t now, uint8_t *answer);

#endif
