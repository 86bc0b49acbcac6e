/** @file platform_form.h
 *  The forms in which the stand-in of the platform is spoken to over HTTP.
 */
#ifndef STANDINS_PLATFORM_FORM_H
#define STANDINS_PLATFORM_FORM_H

#include <libwebsockets.h>

#include "standins/platform_store.h"

typedef enum
{
  PLATFORM_METHOD_GET,
  PLATFORM_METHOD_POST,
  PLATFORM_METHOD_PUT,
  PLATFORM_METHOD_DELETE
} platform_method_t;

/** One HTTP request, its body received. */
typedef struct
{
  platform_method_t method;
  const char *path; /**< below the form's prefix */
  struct lws *wsi;  /**< for the arguments */
  const char *body;
  size_t body_length;
} platform_message_t;

typedef struct
{
  const char *prefix; /**< of its paths */
  /** Read a request.
   *  @param text set to what request->body points to, to be freed with
   *              free(), where it is not the message's
   *  @return false for one that is malformed. */
  bool (*read) (const platform_message_t *message, platform_request_t *request,
                char **text);
  /** Turn the store's reply into this form.
   *  @param page_items most items of a page of a listing
   *  NULL: replies have the store's form. */
  void (*write) (const platform_request_t *request, uint32_t page_items,
                 platform_reply_t *reply);
} platform_form_t;

/** The product's own API: /v1/KIND[/NAME]. */
extern const platform_form_t platform_form_own;

/** "KIND" or "KIND/NAME" of a path.
 *  @return false when a part is missing or too long. */
bool platform_form_read_target (const char *path, platform_request_t *request);

/** Number of an argument "NAME="; 0 without one. */
uint64_t platform_form_get_number (struct lws *wsi, const char *name);
bool platform_form_has_argument (struct lws *wsi, const char *name);

#endif
