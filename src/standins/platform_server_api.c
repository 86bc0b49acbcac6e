#include "standins/platform_server_api.h"

#include <string.h>

#include <glib.h>

#define NUMBER_BYTES 64
#define WAIT_MS_MAX 60000

static bool decode_native (const platform_http_request_t *http_request,
                           platform_request_t *request, char **text);

const platform_server_api_t platform_server_api_native
    = { .prefix = "/v1/", .decode_request = decode_native };

bool
platform_server_api_parse_target (const char *path,
                                  platform_request_t *request)
{
  const char *slash = strchr (path, '/');
  size_t length = slash ? (size_t)(slash - path) : strlen (path);
  if (length == 0 || length >= sizeof request->kind)
    return false;
  memcpy (request->kind, path, length);
  request->kind[length] = '\0';
  if (!slash)
    return true;
  if (!slash[1] || strlen (slash + 1) >= sizeof request->name)
    return false;
  g_strlcpy (request->name, slash + 1, sizeof request->name);
  return true;
}

uint64_t
platform_server_api_get_number (struct lws *wsi, const char *name)
{
  char text[NUMBER_BYTES];
  const char *value = lws_get_urlarg_by_name (wsi, name, text, sizeof text);
  return value ? g_ascii_strtoull (value, NULL, 10) : 0;
}

bool
platform_server_api_has_argument (struct lws *wsi, const char *name)
{
  char text[NUMBER_BYTES];
  return lws_get_urlarg_by_name (wsi, name, text, sizeof text) != NULL;
}

static bool
decode_native (const platform_http_request_t *http_request,
               platform_request_t *request, char **text)
{
  struct lws *wsi = http_request->wsi;
  bool is_get = http_request->method == PLATFORM_METHOD_GET;
  (void)text;
  if (http_request->method == PLATFORM_METHOD_POST
      || !platform_server_api_parse_target (http_request->path, request)
      || (!is_get && !request->name[0]))
    return false;
  request->version
      = platform_server_api_get_number (wsi, is_get ? "since=" : "version=");
  request->wait_ms = (uint32_t)MIN (
      platform_server_api_get_number (wsi, "wait_ms="), WAIT_MS_MAX);
  request->body = http_request->body;
  request->body_length = http_request->body_length;
  if (http_request->method == PLATFORM_METHOD_PUT)
    request->verb = PLATFORM_PUT;
  else if (http_request->method == PLATFORM_METHOD_DELETE)
    request->verb = PLATFORM_DELETE;
  else if (request->name[0])
    request->verb = PLATFORM_GET;
  else
    request->verb = platform_server_api_has_argument (wsi, "since=")
                        ? PLATFORM_WATCH
                        : PLATFORM_LIST;
  return true;
}
