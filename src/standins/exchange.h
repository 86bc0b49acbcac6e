/** @file exchange.h
 *  Requests of the callers' stand-in and answers of the backend servers'.
 */
#ifndef STANDINS_EXCHANGE_H
#define STANDINS_EXCHANGE_H

#include "gooseberrydrum/types.h"

#define EXCHANGE_REQUEST_MIN 12 /**< bytes of the shortest request */
#define EXCHANGE_ANSWER_LENGTH (16 + 2 * (GBD_NAME_MAX + 1))

/** What an answer says of the request and of who answered. */
typedef struct
{
  uint32_t id;       /**< of the request */
  uint64_t checksum; /**< of the request's bytes */
  char service[GBD_NAME_MAX + 1];
  char uid[GBD_NAME_MAX + 1];
} exchange_answer_t;

/** Write a request that no other flow and id share.
 *  @param length bytes to write, at least EXCHANGE_REQUEST_MIN */
void exchange_build_request (uint32_t flow, uint32_t id, uint8_t *bytes,
                             size_t length);

/** Read the id of a request.  @return false if it is none. */
bool exchange_read_request (const uint8_t *bytes, size_t length, uint32_t *id);

uint64_t exchange_checksum (const uint8_t *bytes, size_t length);

/** @param bytes at least EXCHANGE_ANSWER_LENGTH */
void exchange_build_answer (const exchange_answer_t *answer, uint8_t *bytes);

bool exchange_read_answer (const uint8_t *bytes, size_t length,
                           exchange_answer_t *answer);

/** Sequence number that an endpoint starts its side of a flow with; two
 *  endpoints never answer one flow with the same.
 *  @param flow gbd_flow_hash() without a key */
uint32_t exchange_server_start (const char *uid, uint64_t flow);

#endif
