/** @file http.h
 *  Blocking HTTP/1.1 client of the stand-ins.
 */
#ifndef STANDINS_HTTP_H
#define STANDINS_HTTP_H

#include "gooseberrydrum/types.h"

/** Largest response with headers, in bytes. */
#define HTTP_RESPONSE_MAX ((size_t)8 << 20)

/** Send a request and wait for the response.
 *  @param body     sent as JSON, or NULL for none
 *  @param response set to the NUL-terminated body, to be freed with g_free();
 *                  NULL if the body is not needed
 *  @return HTTP status; 0 if no complete response arrived in time, in which
 *  case it is unknown whether the server has made a change. */
int http_call (const gbd_address_t *server, const char *method,
               const char *path, const char *body, int timeout_ms,
               char **response);

/** Parse a response that may still be incomplete.
 *  @param body,body_length set to the body inside the bytes
 *  @return HTTP status; 0 if the response is incomplete or malformed. */
int http_parse_response (const char *bytes, size_t length, const char **body,
                         size_t *body_length);

#endif
