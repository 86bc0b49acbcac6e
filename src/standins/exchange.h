/** @file exchange.h
 *  Payloads that the stand-ins exchange: requests of the callers and
 *  responses of the backend servers.
 */
#ifndef STANDINS_EXCHANGE_H
#define STANDINS_EXCHANGE_H

#include "gooseberrydrum/types.h"

#define EXCHANGE_REQUEST_MIN 12 /**< bytes of the shortest request */
#define EXCHANGE_RESPONSE_LENGTH (16 + 2 * (GBD_NAME_MAX + 1))

/** Response: identifies the request and the backend server that handled it. */
typedef struct
{
  uint32_t id;       /**< id of the request */
  uint64_t checksum; /**< of the request's bytes */
  char service[GBD_NAME_MAX + 1];
  char uid[GBD_NAME_MAX + 1];
} exchange_response_t;

/** Write a request.  Its bytes are unique for the flow and id.
 *  @param length bytes to write, at least EXCHANGE_REQUEST_MIN */
void exchange_build_request (uint32_t flow, uint32_t id, uint8_t *bytes,
                             size_t length);

/** Read the id of a request.
 *  @return false if the bytes are not a request. */
bool exchange_parse_request (const uint8_t *bytes, size_t length,
                             uint32_t *id);

uint64_t exchange_checksum (const uint8_t *bytes, size_t length);

/** Write a response.
 *  @param bytes room for EXCHANGE_RESPONSE_LENGTH bytes */
void exchange_build_response (const exchange_response_t *response,
                              uint8_t *bytes);

bool exchange_parse_response (const uint8_t *bytes, size_t length,
                              exchange_response_t *response);

/** Get the initial sequence number that an endpoint uses for a flow.  It
 *  depends on the endpoint, so that the flow checker detects a flow that two
 *  endpoints have accepted.
 *  @param flow hash of the flow from gbd_flow_hash() without a key */
uint32_t exchange_get_initial_sequence (const char *uid, uint64_t flow);

#endif
