/** @file platform_http.h
 *  HTTP requests to the platform, each on its own connection.
 */
#ifndef PROGRAM_PLATFORM_HTTP_H
#define PROGRAM_PLATFORM_HTTP_H

#include <libwebsockets.h>

#include "gooseberrydrum/types.h"

/** How an HTTP call ended. */
typedef enum
{
  GBD_HTTP_COMPLETED,  /**< a complete response arrived */
  GBD_HTTP_NOT_SENT,   /**< the request was not sent completely */
  GBD_HTTP_INTERRUPTED /**< the request may have arrived, but no complete
                            response did */
} gbd_http_outcome_t;

/** Response to a call, valid during the callback. */
typedef struct
{
  gbd_http_outcome_t outcome;
  int status;       /**< HTTP status, for GBD_HTTP_COMPLETED */
  const char *body; /**< not terminated by a NUL */
  size_t length;    /**< bytes of the body */
  uint64_t number;  /**< value of the header of gbd_http_set_number_header();
                         0 if it is missing or not a number */
} gbd_http_response_t;

/** Reports the end of a call. */
typedef void (*gbd_http_done_t) (void *data,
                                 const gbd_http_response_t *response);

/** HTTP client of one server address. */
typedef struct gbd_http gbd_http_t;
typedef struct gbd_http_call gbd_http_call_t;

/** Create a client for one address, with its own vhost of libwebsockets.
 *  @return NULL when the vhost cannot be created. */
gbd_http_t *gbd_http_new (struct lws_context *context,
                          const gbd_address_t *address);

/** Send "Authorization: Bearer TOKEN" with each request.
 *  @param token not copied, must outlive the client; NULL for none */
void gbd_http_set_token (gbd_http_t *http, const char *token);

/** Read a number from a header of each response.
 *  @param name in lower case, with its colon; not copied */
void gbd_http_set_number_header (gbd_http_t *http, const char *name);

/** Delete a client; all its calls must have ended or been cancelled. */
void gbd_http_delete (gbd_http_t *http);

/** Start a call.
 *  @param method "GET", "PUT" or "DELETE"
 *  @param body   owned by this function (g_free); NULL for none
 *  @param done   called when the call ends, never before this function returns
 *  @return NULL when the call failed at once; `done` is not called then. */
gbd_http_call_t *gbd_http_start (gbd_http_t *http, const char *method,
                                 const char *path, char *body,
                                 gbd_http_done_t done, void *data);

/** Cancel a call and close its connection; `done` is not called.
 *  @return GBD_HTTP_NOT_SENT or GBD_HTTP_INTERRUPTED */
gbd_http_outcome_t gbd_http_cancel (gbd_http_call_t *call);

/** Whether the connection of a call is established and its request may have
 *  been sent. */
bool gbd_http_is_sent (const gbd_http_call_t *call);

/** @return number of bytes of the response's body received so far. */
size_t gbd_http_get_response_length (const gbd_http_call_t *call);

/** Whether the response has begun. */
bool gbd_http_is_responding (const gbd_http_call_t *call);

/** Number of calls in progress. */
uint32_t gbd_http_get_open_count (const gbd_http_t *http);

/** Total bytes of the request bodies that were sent, and of the response
 *  bodies that were received. */
uint64_t gbd_http_get_bytes_sent (const gbd_http_t *http);
uint64_t gbd_http_get_bytes_received (const gbd_http_t *http);

#endif
