/** @file endpoint.h
 *  One simulated backend server.  It implements the part of TCP that the
 *  callers' stand-in can observe and sends at most one packet in response to
 *  each packet.
 */
#ifndef STANDINS_ENDPOINT_H
#define STANDINS_ENDPOINT_H

#include "standins/tcp_packet.h"

typedef struct
{
  uint64_t connections; /**< opened so far */
  uint64_t served;      /**< connections that carried a request */
  uint64_t unknown;     /**< packets of unknown connections */
  uint64_t refused;     /**< opening packets that were reset while load
                             was shed */
  uint64_t bytes;       /**< received, with headers */
} endpoint_counts_t;

typedef struct endpoint endpoint_t;

/** Create a backend server.
 *  @param service,uid at most GBD_NAME_MAX bytes */
endpoint_t *endpoint_new (const char *service, const char *uid);
void endpoint_delete (endpoint_t *endpoint);

const char *endpoint_get_uid (const endpoint_t *endpoint);
const endpoint_counts_t *endpoint_get_counts (const endpoint_t *endpoint);

/** Set whether load is shed: opening packets of new connections are reset. */
void endpoint_set_shedding (endpoint_t *endpoint, bool is_shedding);

/** Set the time until which opening packets get no response, as from a server
 *  that is starting. */
void endpoint_set_unresponsive_until (endpoint_t *endpoint, gbd_time_t until);

/** Handle one packet.
 *  @param response room for TCP_PACKET_LENGTH_MAX bytes
 *  @return length of the response in bytes, or 0 if there is none. */
size_t endpoint_handle_packet (endpoint_t *endpoint, const uint8_t *bytes,
                               size_t length, gbd_time_t now,
                               uint8_t *response);

#endif
