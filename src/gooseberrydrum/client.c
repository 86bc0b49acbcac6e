#include "client.h"

#include <stdlib.h>

#include <glib.h>

#include "platform_http.h"

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503
/* Interval at which time-outs are checked. */
#define TICK_US (20 * LWS_US_PER_MS)

/* Event loop with a periodic timer, so that time-outs are checked even without
   events. */
typedef struct
{
  lws_sorted_usec_list_t timer;
  struct lws_context *context;
} loop_t;

typedef struct
{
  bool is_done;
  gbd_status_t status;
  json_t *value;
} response_t;

static gbd_time_t iterate (void *data);
static void restart_timer (lws_sorted_usec_list_t *timer);
static void receive_response (void *data, const gbd_http_response_t *http);

bool
gbd_client_open (gbd_client_t *client)
{
  struct lws_context_creation_info info = { 0 };
  lws_set_log_level (0, NULL);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  loop_t *loop = g_new0 (loop_t, 1);
  loop->context = lws_create_context (&info);
  *client = (gbd_client_t){ .context = loop->context,
                            .iterate = iterate,
                            .data = loop,
                            .out = stdout,
                            .err = stderr };
  if (loop->context)
    {
      restart_timer (&loop->timer);
      return true;
    }
  fprintf (stderr,
           "cannot create the event loop; raise the limit of open files\n");
  g_free (loop);
  client->data = NULL;
  return false;
}

void
gbd_client_close (gbd_client_t *client)
{
  loop_t *loop = client->data;
  if (!loop)
    return;
  lws_sul_cancel (&loop->timer);
  lws_context_destroy (loop->context);
  g_free (loop);
}

gbd_status_t
gbd_client_get (const gbd_client_t *client, const gbd_address_t *address,
                const char *token, const char *path, json_t **value)
{
  response_t response = { .status = GBD_ERROR_UNAVAILABLE };
  *value = NULL;
  gbd_http_t *http = gbd_http_new (client->context, address);
  if (!http)
    return GBD_ERROR_MEMORY;
  gbd_http_set_token (http, token && token[0] ? token : NULL);
  gbd_time_t deadline = client->iterate (client->data) + GBD_CLIENT_TIMEOUT;
  gbd_http_call_t *call
      = gbd_http_start (http, "GET", path, NULL, receive_response, &response);
  while (call && !response.is_done
         && client->iterate (client->data) < deadline)
    continue;
  if (call && !response.is_done)
    gbd_http_cancel (call);
  gbd_http_delete (http);
  *value = response.value;
  return response.status;
}

bool
gbd_client_parse_address (const gbd_client_t *client, const char *option,
                          const char *text, gbd_address_t *address)
{
  if (text && gbd_address_parse (text, address) == GBD_OK)
    return true;
  fprintf (client->err,
           "%s %s: specify an IP address and port such as 127.0.0.1:7480\n",
           option, text ? text : "(not set)");
  return false;
}

void
gbd_client_print_json (const gbd_client_t *client, const json_t *value)
{
  char *text = json_dumps (value, JSON_INDENT (2) | JSON_ENCODE_ANY);
  fprintf (client->out, "%s\n", text ? text : "out of memory");
  free (text);
}

static gbd_time_t
iterate (void *data)
{
  loop_t *loop = data;
  lws_service (loop->context, 0);
  return g_get_monotonic_time ();
}

static void
restart_timer (lws_sorted_usec_list_t *timer)
{
  loop_t *loop = lws_container_of (timer, loop_t, timer);
  lws_sul_schedule (loop->context, 0, timer, restart_timer, TICK_US);
}

static void
receive_response (void *data, const gbd_http_response_t *http)
{
  response_t *response = data;
  response->is_done = true;
  if (http->outcome != GBD_HTTP_COMPLETED)
    return;
  response->value
      = json_loadb (http->body, http->length,
                    JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, NULL);
  if (http->status == HTTP_NOT_FOUND)
    response->status = GBD_ERROR_NOT_FOUND;
  else if (http->status == HTTP_OK && response->value)
    response->status = GBD_OK;
  else if (http->status != HTTP_UNAVAILABLE)
    response->status = GBD_ERROR_FORMAT;
}
