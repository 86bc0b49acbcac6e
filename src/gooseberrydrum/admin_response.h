/** @file admin_response.h
 *  One HTTP response of the admin server, sent as fast as it is read.
 */
#ifndef PROGRAM_ADMIN_RESPONSE_H
#define PROGRAM_ADMIN_RESPONSE_H

#include "admin.h"

typedef struct
{
  char *body; /**< LWS_PRE bytes, then the content; malloc'd */
  size_t length;
  size_t sent;
  unsigned status;
  const char *content_type;
  bool is_counted; /**< among the responses under way */
} gbd_admin_response_t;

/** Set the content; the text or object is taken over.  NULL makes it an
 *  error of the server. */
void gbd_admin_response_set_text (gbd_admin_response_t *response, char *text);
void gbd_admin_response_set_json (gbd_admin_response_t *response,
                                  json_t *object);

/** Make it an error that names the remedy. */
void gbd_admin_response_fail (gbd_admin_response_t *response, unsigned status,
                              const char *error, const char *remedy);

/** Send the headers.  @return what the callback returns. */
int gbd_admin_response_start (gbd_admin_response_t *response, struct lws *wsi);

/** Send the next part.  @return what the callback returns. */
int gbd_admin_response_write (gbd_admin_response_t *response, struct lws *wsi);

/** Free the content and set all to zero. */
void gbd_admin_response_clear (gbd_admin_response_t *response);

#endif
