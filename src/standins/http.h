/** @file http.h
 *  One blocking HTTP/1.1 call, as the stand-ins make them to the platform's.
 */
#ifndef STANDINS_HTTP_H
#define STANDINS_HTTP_H

#include "gooseberrydrum/types.h"

#define HTTP_ANSWER_MAX ((size_t)8 << 20) /**< bytes of headers and body */

/** Call a server.
 *  @param body    sent as JSON, or NULL for none
 *  @param answer  set to the NUL-terminated body, to be freed with g_free();
 *                 NULL if the caller does not want it
 *  @return HTTP status; 0 when there was no whole answer in time, in which
 *  case a change may have been made or not. */
int http_call (const gbd_address_t *server, const char *method,
               const char *path, const char *body, int timeout_ms,
               char **answer);

/** Read an answer that was received whole or in part.
 *  @param body,body_length set to the body inside the bytes
 *  @return HTTP status; 0 if it is not whole or malformed. */
int http_parse (const char *bytes, size_t length, const char **body,
                size_t *body_length);

#endif
