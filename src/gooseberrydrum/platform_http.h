/** @file platform_http.h
 *  One HTTP exchange with the platform on a connection of its own.
 */
#ifndef PROGRAM_PLATFORM_HTTP_H
#define PROGRAM_PLATFORM_HTTP_H

#include <libwebsockets.h>

#include "gooseberrydrum/types.h"

/** How far an exchange came. */
typedef enum
{
  GBD_HTTP_ANSWERED,
  GBD_HTTP_NOT_SENT, /**< the request surely did not arrive whole */
  GBD_HTTP_CUT       /**< it may have arrived; no whole answer did */
} gbd_http_outcome_t;

typedef struct
{
  gbd_http_outcome_t outcome;
  int status;       /**< of HTTP, if answered */
  const char *body; /**< not terminated */
  size_t length;
} gbd_http_answer_t;

typedef void (*gbd_http_done_t) (void *data, const gbd_http_answer_t *answer);

typedef struct gbd_http gbd_http_t;
typedef struct gbd_http_call gbd_http_call_t;

/** Client of one address, on a vhost of its own.
 *  @return NULL when the vhost cannot be made. */
gbd_http_t *gbd_http_new (struct lws_context *context,
                          const gbd_address_t *address);

/** Send "Authorization: Bearer TOKEN" with each request.
 *  @param token kept, not copied; NULL for none */
void gbd_http_set_token (gbd_http_t *http, const char *token);

/** All calls must have ended or been cancelled. */
void gbd_http_delete (gbd_http_t *http);

/** Start an exchange.
 *  @param method "GET", "PUT" or "DELETE"
 *  @param body   owned by the call from here on; NULL for none
 *  @return NULL when it failed at once; `done` is not called then, and never
 *  before this function returns. */
gbd_http_call_t *gbd_http_start (gbd_http_t *http, const char *method,
                                 const char *path, char *body,
                                 gbd_http_done_t done, void *data);

/** Close the connection; `done` is not called.
 *  @return GBD_HTTP_NOT_SENT or GBD_HTTP_CUT */
gbd_http_outcome_t gbd_http_cancel (gbd_http_call_t *call);

/** Exchanges under way. */
uint32_t gbd_http_get_open_count (const gbd_http_t *http);
uint64_t gbd_http_get_bytes_sent (const gbd_http_t *http);
uint64_t gbd_http_get_bytes_received (const gbd_http_t *http);

#endif
