/** @file admin_response.h
 *  HTTP response of the admin server, written in parts as the client reads.
 */
#ifndef PROGRAM_ADMIN_RESPONSE_H
#define PROGRAM_ADMIN_RESPONSE_H

#include "admin.h"

typedef struct
{
  char *body; /**< LWS_PRE reserved bytes, then the content; malloc'd */
  size_t length;
  size_t sent;
  unsigned status;
  const char *content_type;
  bool is_counted; /**< included in the number of concurrent responses */
} gbd_admin_response_t;

/** Set the content and take ownership of it.  NULL sets an error response
 *  with status 500. */
void gbd_admin_response_set_text (gbd_admin_response_t *response, char *text);
void gbd_admin_response_set_json (gbd_admin_response_t *response,
                                  json_t *object);

/** Set binary content, which is copied. */
void gbd_admin_response_set_bytes (gbd_admin_response_t *response,
                                   const void *bytes, size_t length);

/** Set an error response. */
void gbd_admin_response_fail (gbd_admin_response_t *response, unsigned status,
                              const char *error, const char *remedy);

/** Write the headers.
 *  @return the value for the libwebsockets callback to return */
int gbd_admin_response_start (gbd_admin_response_t *response, struct lws *wsi);

/** Write the next part of the body.
 *  @return the value for the libwebsockets callback to return */
int gbd_admin_response_write (gbd_admin_response_t *response, struct lws *wsi);

/** Free the content and set all members to zero. */
void gbd_admin_response_clear (gbd_admin_response_t *response);

#endif
