#include "standins/platform_server.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#define HEADER_BYTES 1024
#define ERA_TEXT_BYTES 16
/* Limit for reading a body: one byte more than the largest value, so that a
   body that is too long is detected. */
#define BODY_MAX (PLATFORM_VALUE_MAX + 1)
#define APIS_MAX 2

typedef enum
{
  CALL_READING,
  CALL_WAITING, /* a watch that has no changes yet */
  CALL_READY    /* the reply is known, but may not be due yet */
} call_state_t;

/* One request on one connection. */
typedef struct
{
  platform_server_t *server;
  struct lws *wsi;
  call_state_t state;
  platform_request_t request;
  char *path;
  platform_method_t method;
  const platform_server_api_t *api; /* NULL if no API has the path's prefix */
  char *text;                       /* decoded body of the request, or NULL */
  GByteArray *body;
  gbd_time_t deadline;
  platform_reply_t reply;
} call_t;

struct platform_server
{
  struct lws_vhost *vhost;
  platform_store_t *store;
  gbd_time_t now;
  const platform_server_api_t *apis[APIS_MAX];
  unsigned api_count;
  uint32_t page_items;
  GList *calls; /* call_t that have no response yet */
  struct lws_protocols protocols[2];
};

static int handle_event (struct lws *wsi, enum lws_callback_reasons reason,
                         void *user, void *in, size_t length);
static int start_call (platform_server_t *server, call_t *call,
                       struct lws *wsi);
static void run_call (call_t *call);
static void end_call (call_t *call);
static bool decode_request (call_t *call);
static bool find_method (int method, platform_method_t *found);
static void set_fault_switches (call_t *call);
static void update_call (call_t *call);
static bool is_closed_by_client (struct lws *wsi);
static int write_reply (call_t *call);
static int write_body (struct lws *wsi, const char *text, size_t length);

platform_server_t *
platform_server_new (struct lws_context *context, const gbd_address_t *listen,
                     platform_store_t *store, gbd_time_t now)
{
  platform_server_t *server = g_new0 (platform_server_t, 1);
  server->store = store;
  server->now = now;
  server->apis[server->api_count++] = &platform_server_api_native;
  server->page_items = PLATFORM_PAGE_ITEMS;
  server->protocols[0] = (struct lws_protocols){
    .name = "platform",
    .callback = handle_event,
    .per_session_data_size = sizeof (call_t),
    .user = server,
  };

  char text[GBD_ADDRESS_TEXT_MAX];
  gbd_address_format (listen, text);
  *strrchr (text, ':') = '\0';
  g_strdelimit (text, "[]", ' ');

  struct lws_context_creation_info info = { 0 };
  info.vhost_name = "platform";
  info.port = listen->port;
  info.iface = g_strstrip (text);
  info.protocols = server->protocols;
  if (listen->family == 4)
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
  server->vhost = lws_create_vhost (context, &info);
  if (!server->vhost)
    {
      g_free (server);
      return NULL;
    }
  return server;
}

void
platform_server_add_api (platform_server_t *server,
                         const platform_server_api_t *api, uint32_t page_items)
{
  server->apis[server->api_count++] = api;
  server->page_items = page_items;
}

void
platform_server_delete (platform_server_t *server)
{
  if (!server)
    return;
  g_list_free (server->calls);
  g_free (server);
}

void
platform_server_tick (platform_server_t *server, gbd_time_t now)
{
  server->now = now;
  GList *next;
  for (GList *item = server->calls; item; item = next)
    {
      next = item->next;
      update_call (item->data);
    }
}

uint16_t
platform_server_get_port (const platform_server_t *server)
{
  return (uint16_t)lws_get_vhost_listen_port (server->vhost);
}

uint32_t
platform_server_get_pending_count (const platform_server_t *server)
{
  uint32_t pending_count = 0;
  for (GList *item = server->calls; item; item = item->next)
    {
      const call_t *call = item->data;
      pending_count += call->state == CALL_WAITING
                       || (call->state == CALL_READY
                           && server->now < call->reply.respond_at);
    }
  return pending_count;
}

static int
handle_event (struct lws *wsi, enum lws_callback_reasons reason, void *user,
              void *in, size_t length)
{
  call_t *call = user;
  switch (reason)
    {
    case LWS_CALLBACK_HTTP:
      return start_call (lws_get_protocol (wsi)->user, call, wsi);
    case LWS_CALLBACK_HTTP_BODY:
      length = MIN (length, BODY_MAX - call->body->len);
      g_byte_array_append (call->body, in, (guint)length);
      return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      run_call (call);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return write_reply (call);
    case LWS_CALLBACK_CLOSED_HTTP:
      if (call && call->server)
        end_call (call);
      return 0;
    default:
      return lws_callback_http_dummy (wsi, reason, user, in, length);
    }
}

static int
start_call (platform_server_t *server, call_t *call, struct lws *wsi)
{
  char *path;
  int length;
  platform_method_t method;
  if (!find_method (lws_http_get_uri_and_method (wsi, &path, &length),
                    &method))
    return -1;

  memset (call, 0, sizeof *call);
  call->server = server;
  call->wsi = wsi;
  call->path = g_strndup (path, (gsize)length);
  call->method = method;
  call->body = g_byte_array_new ();
  server->calls = g_list_prepend (server->calls, call);

  lws_set_timeout (wsi, NO_PENDING_TIMEOUT, 0);
  if (method == PLATFORM_METHOD_GET || method == PLATFORM_METHOD_DELETE)
    run_call (call);
  return 0;
}

static void
run_call (call_t *call)
{
  platform_server_t *server = call->server;
  call->state = CALL_READY;
  if (strcmp (call->path, "/switch") == 0
      && call->method == PLATFORM_METHOD_PUT)
    set_fault_switches (call);
  else if (strcmp (call->path, "/stats") == 0)
    {
      call->reply.status = 200;
      call->reply.body = platform_store_get_stats (server->store);
    }
  else if (!decode_request (call))
    call->reply.status = 400;
  else
    platform_store_handle (server->store, &call->request, server->now,
                           &call->reply);
  call->deadline = server->now + call->request.wait_ms * GBD_MILLISECOND;
  if (call->reply.flags & PLATFORM_REPLY_WAIT)
    call->state = CALL_WAITING;
  /* Watches may wait for the change that this call made. */
  platform_server_tick (server, server->now);
}

static void
end_call (call_t *call)
{
  call->server->calls = g_list_remove (call->server->calls, call);
  call->server = NULL;
  g_free (call->path);
  free (call->text);
  g_byte_array_free (call->body, TRUE);
  json_decref (call->reply.body);
}

/* The API is selected by the prefix of the path. */
static bool
decode_request (call_t *call)
{
  platform_server_t *server = call->server;
  for (unsigned i = 0; i < server->api_count; i++)
    {
      const platform_server_api_t *api = server->apis[i];
      if (!g_str_has_prefix (call->path, api->prefix))
        continue;
      call->api = api;
      platform_http_request_t http_request = {
        .method = call->method,
        .path = call->path + strlen (api->prefix),
        .wsi = call->wsi,
        .body = (const char *)call->body->data,
        .body_length = call->body->len,
      };
      return api->decode_request (&http_request, &call->request, &call->text);
    }
  return false;
}

static bool
find_method (int method, platform_method_t *found)
{
  static const int methods[] = { [PLATFORM_METHOD_GET] = LWSHUMETH_GET,
                                 [PLATFORM_METHOD_POST] = LWSHUMETH_POST,
                                 [PLATFORM_METHOD_PUT] = LWSHUMETH_PUT,
                                 [PLATFORM_METHOD_DELETE] = LWSHUMETH_DELETE };
  for (unsigned i = 0; i < G_N_ELEMENTS (methods); i++)
    {
      *found = (platform_method_t)i;
      if (methods[i] == method)
        return true;
    }
  return false;
}

static void
set_fault_switches (call_t *call)
{
  json_t *switches
      = json_loadb ((const char *)call->body->data, call->body->len, 0, NULL);
  gbd_status_t status
      = platform_store_set_switches (call->server->store, switches);
  json_decref (switches);
  call->reply.status = status == GBD_OK ? 200 : 400;
}

static void
update_call (call_t *call)
{
  platform_server_t *server = call->server;
  if (call->state == CALL_WAITING && is_closed_by_client (call->wsi))
    {
      lws_set_timeout (call->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
      return;
    }
  if (call->state == CALL_WAITING)
    {
      platform_store_poll (server->store, &call->request, call->deadline,
                           server->now, &call->reply);
      if (!(call->reply.flags & PLATFORM_REPLY_WAIT))
        call->state = CALL_READY;
    }
  if (call->state != CALL_READY || server->now < call->reply.respond_at)
    return;
  if (call->reply.flags & PLATFORM_REPLY_DROPPED)
    lws_set_timeout (call->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  else
    lws_callback_on_writable (call->wsi);
}

/* Whether the client has closed the connection while its watch waits.  The
   event loop does not read from the connection until the response is written:
   it would not detect the close, and the unread end of the stream would wake
   it repeatedly. */
static bool
is_closed_by_client (struct lws *wsi)
{
  char byte;
  return recv (lws_get_socket_fd (wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT)
         == 0;
}

static int
write_reply (call_t *call)
{
  if (!call->server || call->state != CALL_READY
      || call->server->now < call->reply.respond_at
      || call->reply.flags & PLATFORM_REPLY_DROPPED)
    return 0;

  struct lws *wsi = call->wsi;
  if (call->api && call->api->encode_reply)
    call->api->encode_reply (&call->request, call->server->page_items,
                             &call->reply);
  char *text = call->reply.body ? json_dumps (call->reply.body, JSON_COMPACT)
                                : g_strdup ("{}");
  size_t length = strlen (text);
  if (call->reply.flags & PLATFORM_REPLY_TRUNCATED)
    length /= 2;
  int status = call->reply.status;
  char era[ERA_TEXT_BYTES];
  int era_length = g_snprintf (era, sizeof era, "%u",
                               platform_store_get_era (call->server->store));
  end_call (call);

  unsigned char header[LWS_PRE + HEADER_BYTES];
  unsigned char *start = header + LWS_PRE;
  unsigned char *position = start;
  unsigned char *end = header + sizeof header - 1;
  int result = -1;
  if (lws_add_http_common_headers (wsi, (unsigned int)status,
                                   "application/json", length, &position, end)
      || lws_add_http_header_by_name (
          wsi, (const unsigned char *)"store-era:", (const unsigned char *)era,
          era_length, &position, end)
      || lws_finalize_write_http_header (wsi, start, &position, end)
      || write_body (wsi, text, length))
    goto out;
  result = lws_http_transaction_completed (wsi) ? -1 : 0;

out:
  free (text);
  return result;
}

static int
write_body (struct lws *wsi, const char *text, size_t length)
{
  unsigned char *buffer = g_malloc (LWS_PRE + length);
  memcpy (buffer + LWS_PRE, text, length);
  int written
      = lws_write (wsi, buffer + LWS_PRE, length, LWS_WRITE_HTTP_FINAL);
  g_free (buffer);
  return written < (int)length;
}
