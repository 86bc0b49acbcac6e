/** @file platform_server_api.h
 *  Object APIs that the stand-in for the platform serves over HTTP: request
 *  decoders and response encoders.
 */
#ifndef STANDINS_PLATFORM_SERVER_API_H
#define STANDINS_PLATFORM_SERVER_API_H

#include <libwebsockets.h>

#include "standins/platform_store.h"

typedef enum
{
  PLATFORM_METHOD_GET,
  PLATFORM_METHOD_POST,
  PLATFORM_METHOD_PUT,
  PLATFORM_METHOD_DELETE
} platform_method_t;

/** HTTP request with its complete body. */
typedef struct
{
  platform_method_t method;
  const char *path; /**< without the API's prefix */
  struct lws *wsi;  /**< connection; has the query arguments */
  const char *body;
  size_t body_length;
} platform_http_request_t;

typedef struct
{
  const char *prefix; /**< prefix of the paths that this API serves */
  /** Decodes a request.
   *  @param text set to the text that request->body points to, to be freed
   *              with free(), unless it is http_request->body
   *  @return false if the request is malformed. */
  bool (*decode_request) (const platform_http_request_t *http_request,
                          platform_request_t *request, char **text);
  /** Converts a reply of the store to the format of this API.  NULL if the
   *  API has the store's own format.
   *  @param page_items largest number of items in a page of a listing */
  void (*encode_reply) (const platform_request_t *request, uint32_t page_items,
                        platform_reply_t *reply);
} platform_server_api_t;

/** The product's native API: /v1/KIND[/NAME]. */
extern const platform_server_api_t platform_server_api_native;

/** Parse the path "KIND" or "KIND/NAME".
 *  @return false if a part is missing or too long. */
bool platform_server_api_parse_target (const char *path,
                                       platform_request_t *request);

/** Get the number in a query argument; 0 if there is no such argument.
 *  @param name with the equals sign, as "since=" */
uint64_t platform_server_api_get_number (struct lws *wsi, const char *name);
bool platform_server_api_has_argument (struct lws *wsi, const char *name);

#endif
