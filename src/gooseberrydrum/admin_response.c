#include "admin_response.h"

#include <stdlib.h>
#include <string.h>

#define HEADERS_LENGTH_MAX 1024            /* bytes */
#define WRITE_LENGTH_MAX ((size_t)1 << 14) /* bytes */

static bool set_body (gbd_admin_response_t *response, const void *content,
                      size_t length);

void
gbd_admin_response_set_text (gbd_admin_response_t *response, char *text)
{
  if (!text || !set_body (response, text, strlen (text)))
    gbd_admin_response_fail (response, HTTP_STATUS_INTERNAL_SERVER_ERROR,
                             "out of memory", "raise the memory limit");
  else
    {
      response->status = HTTP_STATUS_OK;
      response->content_type = "text/plain; version=0.0.4";
    }
  free (text);
}

void
gbd_admin_response_set_json (gbd_admin_response_t *response, json_t *object)
{
  char *text = object ? json_dumps (object, JSON_INDENT (2)) : NULL;
  json_decref (object);
  gbd_admin_response_set_text (response, text);
  response->content_type = "application/json";
}

void
gbd_admin_response_set_bytes (gbd_admin_response_t *response,
                              const void *bytes, size_t length)
{
  if (!set_body (response, bytes, length))
    {
      gbd_admin_response_fail (response, HTTP_STATUS_INTERNAL_SERVER_ERROR,
                               "out of memory", "raise the memory limit");
      return;
    }
  response->status = HTTP_STATUS_OK;
  response->content_type = "application/msgpack";
}

void
gbd_admin_response_fail (gbd_admin_response_t *response, unsigned status,
                         const char *error, const char *remedy)
{
  json_t *object = json_pack ("{s:s, s:s}", "error", error, "remedy", remedy);
  char *text = object ? json_dumps (object, 0) : NULL;
  json_decref (object);
  /* If memory for the body is exhausted, only the status is sent. */
  if (!text || !set_body (response, text, strlen (text)))
    response->length = 0;
  free (text);
  response->status = status;
  response->content_type = "application/json";
}

int
gbd_admin_response_start (gbd_admin_response_t *response, struct lws *wsi)
{
  uint8_t buffer[LWS_PRE + HEADERS_LENGTH_MAX];
  uint8_t *start = buffer + LWS_PRE;
  uint8_t *position = start;
  uint8_t *end = buffer + sizeof buffer - 1;
  static const uint8_t no_store[] = "no-store";
  static const uint8_t bearer[] = "Bearer";

  if (lws_add_http_common_headers (wsi, response->status,
                                   response->content_type, response->length,
                                   &position, end)
      || lws_add_http_header_by_token (wsi, WSI_TOKEN_HTTP_CACHE_CONTROL,
                                       no_store, sizeof no_store - 1,
                                       &position, end))
    return -1;
  if (response->status == HTTP_STATUS_UNAUTHORIZED
      && lws_add_http_header_by_token (wsi, WSI_TOKEN_HTTP_WWW_AUTHENTICATE,
                                       bearer, sizeof bearer - 1, &position,
                                       end))
    return -1;
  if (lws_finalize_write_http_header (wsi, start, &position, end))
    return -1;
  /* The time-out covers the complete response and so bounds how long a slow
     reader can keep its memory allocated. */
  lws_set_timeout (wsi, PENDING_TIMEOUT_HTTP_CONTENT,
                   GBD_ADMIN_RESPONSE_TIMEOUT_S);
  lws_callback_on_writable (wsi);
  return 0;
}

int
gbd_admin_response_write (gbd_admin_response_t *response, struct lws *wsi)
{
  size_t remaining = response->length - response->sent;
  size_t length = remaining < WRITE_LENGTH_MAX ? remaining : WRITE_LENGTH_MAX;
  bool is_last = length == remaining;
  if (length > 0)
    {
      uint8_t *bytes = (uint8_t *)response->body + LWS_PRE + response->sent;
      int written = lws_write (
          wsi, bytes, length, is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
      if (written < (int)length)
        return -1;
      response->sent += length;
    }
  if (!is_last)
    {
      lws_callback_on_writable (wsi);
      return 0;
    }
  return lws_http_transaction_completed (wsi) ? -1 : 0;
}

void
gbd_admin_response_clear (gbd_admin_response_t *response)
{
  free (response->body);
  memset (response, 0, sizeof *response);
}

static bool
set_body (gbd_admin_response_t *response, const void *content, size_t length)
{
  char *body = malloc (LWS_PRE + length);
  if (!body)
    return false;
  memcpy (body + LWS_PRE, content, length);
  free (response->body);
  response->body = body;
  response->length = length;
  response->sent = 0;
  return true;
}
