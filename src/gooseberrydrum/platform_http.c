#include "platform_http.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Longer responses are abandoned, to limit the use of memory. */
#define RESPONSE_BYTES_MAX (64u << 20)
#define READ_BYTES 65536
/* With these values, TCP keep-alive takes 3 s to detect a connection that was
   lost without a reset.  Without keep-alive, a long poll would detect the loss
   only at its time-out. */
#define KEEPALIVE_TIME_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define LENGTH_TEXT_BYTES 24
#define NUMBER_TEXT_BYTES 24
#define DECIMAL_BASE 10

struct gbd_http
{
  struct lws_context *context;
  struct lws_vhost *vhost;
  char host[GBD_ADDRESS_TEXT_MAX];
  int port;
  const char *token;         /* NULL for none */
  const char *number_header; /* NULL for none */
  uint32_t open_count;
  uint64_t bytes_sent;
  uint64_t bytes_received;
};

struct gbd_http_call
{
  gbd_http_t *http;
  struct lws *wsi;
  char *body;
  size_t body_length;
  GByteArray *response;
  int status;
  uint64_t number; /* of the number header */
  bool is_starting;
  bool has_failed; /* the call failed while is_starting was set */
  bool is_sent;    /* the request may have been sent completely */
  gbd_http_done_t done;
  void *data;
};

static int handle_event (struct lws *wsi, enum lws_callback_reasons reason,
                         void *user, void *in, size_t length);
static int handle_cancelled (struct lws *wsi, enum lws_callback_reasons reason,
                             void *in, size_t length);
static int add_headers (gbd_http_call_t *call, struct lws *wsi,
                        unsigned char **at, size_t length);
static void read_number_header (gbd_http_call_t *call, struct lws *wsi);
static int send_body (gbd_http_call_t *call, struct lws *wsi);
static int read_response (struct lws *wsi);
static int append_response (gbd_http_call_t *call, const char *bytes,
                            size_t length);
static void finish (gbd_http_call_t *call, gbd_http_outcome_t outcome);
static void finish_interrupted (gbd_http_call_t *call);
static void call_free (gbd_http_call_t *call);

/* Static, because a vhost may be freed after its gbd_http_t. */
static const struct lws_protocols protocols[] = {
  { .name = "platform-client",
    .callback = handle_event,
    .rx_buffer_size = READ_BYTES },
  { .name = NULL },
};

gbd_http_t *
gbd_http_new (struct lws_context *context, const gbd_address_t *address)
{
  gbd_http_t *http = g_new0 (gbd_http_t, 1);
  struct lws_context_creation_info info = { 0 };
  info.vhost_name = "platform-client";
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = protocols;
  info.ka_time = KEEPALIVE_TIME_S;
  info.ka_interval = KEEPALIVE_INTERVAL_S;
  info.ka_probes = KEEPALIVE_PROBES;
  http->context = context;
  http->vhost = lws_create_vhost (context, &info);
  if (!http->vhost)
    {
      g_free (http);
      return NULL;
    }
  char text[GBD_ADDRESS_TEXT_MAX];
  gbd_address_format (address, text);
  *strrchr (text, ':') = '\0';
  g_strdelimit (text, "[]", ' ');
  g_strlcpy (http->host, g_strstrip (text), sizeof http->host);
  http->port = address->port;
  return http;
}

void
gbd_http_set_token (gbd_http_t *http, const char *token)
{
  http->token = token;
}

void
gbd_http_set_number_header (gbd_http_t *http, const char *name)
{
  http->number_header = name;
}

void
gbd_http_delete (gbd_http_t *http)
{
  if (!http)
    return;
  lws_vhost_destroy (http->vhost);
  g_free (http);
}

gbd_http_call_t *
gbd_http_start (gbd_http_t *http, const char *method, const char *path,
                char *body, gbd_http_done_t done, void *data)
{
  gbd_http_call_t *call = g_new0 (gbd_http_call_t, 1);
  call->http = http;
  http->open_count++;
  call->body = body;
  call->body_length = body ? strlen (body) : 0;
  call->response = g_byte_array_new ();
  call->done = done;
  call->data = data;
  call->is_starting = true;

  struct lws_client_connect_info info = { 0 };
  info.context = http->context;
  info.vhost = http->vhost;
  info.address = http->host;
  info.host = http->host;
  info.origin = http->host;
  info.port = http->port;
  info.path = path;
  info.method = method;
  info.alpn = "http/1.1";
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  info.local_protocol_name = protocols[0].name;
  info.userdata = call;
  struct lws *wsi = lws_client_connect_via_info (&info);
  call->is_starting = false;
  if (!wsi || call->has_failed)
    {
      call_free (call);
      return NULL;
    }
  call->wsi = wsi;
  return call;
}

gbd_http_outcome_t
gbd_http_cancel (gbd_http_call_t *call)
{
  gbd_http_outcome_t outcome
      = call->is_sent ? GBD_HTTP_INTERRUPTED : GBD_HTTP_NOT_SENT;
  lws_set_wsi_user (call->wsi, NULL);
  lws_set_timeout (call->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  call_free (call);
  return outcome;
}

bool
gbd_http_is_sent (const gbd_http_call_t *call)
{
  return call->is_sent;
}

size_t
gbd_http_get_response_length (const gbd_http_call_t *call)
{
  return call->response->len;
}

bool
gbd_http_is_responding (const gbd_http_call_t *call)
{
  return call->status != 0;
}

uint32_t
gbd_http_get_open_count (const gbd_http_t *http)
{
  return http->open_count;
}

uint64_t
gbd_http_get_bytes_sent (const gbd_http_t *http)
{
  return http->bytes_sent;
}

uint64_t
gbd_http_get_bytes_received (const gbd_http_t *http)
{
  return http->bytes_received;
}

static int
handle_event (struct lws *wsi, enum lws_callback_reasons reason, void *user,
              void *in, size_t length)
{
  gbd_http_call_t *call = user;
  if (!call)
    return handle_cancelled (wsi, reason, in, length);
  switch (reason)
    {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return add_headers (call, wsi, in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return send_body (call, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      call->status = (int)lws_http_client_http_response (wsi);
      read_number_header (call, wsi);
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return read_response (wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      return append_response (call, in, length);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      lws_set_wsi_user (wsi, NULL);
      finish (call, GBD_HTTP_COMPLETED);
      return -1; /* close: each connection serves one call */
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
      lws_set_wsi_user (wsi, NULL);
      finish_interrupted (call);
      return 0;
    default:
      return lws_callback_http_dummy (wsi, reason, user, in, length);
    }
}

/* Close the connection of a cancelled call at its next event.  Unread data
   would otherwise wake up the event loop again and again. */
static int
handle_cancelled (struct lws *wsi, enum lws_callback_reasons reason, void *in,
                  size_t length)
{
  switch (reason)
    {
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      return -1;
    default:
      return lws_callback_http_dummy (wsi, reason, NULL, in, length);
    }
}

static int
add_headers (gbd_http_call_t *call, struct lws *wsi, unsigned char **at,
             size_t length)
{
  unsigned char *start = *at;
  if (call->http->token)
    {
      char *value = g_strdup_printf ("Bearer %s", call->http->token);
      int refused = lws_add_http_header_by_token (
          wsi, WSI_TOKEN_HTTP_AUTHORIZATION, (const unsigned char *)value,
          (int)strlen (value), at, start + length);
      g_free (value);
      if (refused)
        return -1;
    }
  if (!call->body)
    {
      call->is_sent = true;
      return 0;
    }
  static const char type[] = "application/json";
  char text[LENGTH_TEXT_BYTES];
  int digits = g_snprintf (text, sizeof text, "%zu", call->body_length);
  if (lws_add_http_header_by_token (wsi, WSI_TOKEN_HTTP_CONTENT_TYPE,
                                    (const unsigned char *)type,
                                    (int)strlen (type), at, start + length)
      || lws_add_http_header_by_token (wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
                                       (const unsigned char *)text, digits, at,
                                       start + length))
    return -1;
  lws_client_http_body_pending (wsi, 1);
  lws_callback_on_writable (wsi);
  return 0;
}

static void
read_number_header (gbd_http_call_t *call, struct lws *wsi)
{
  char text[NUMBER_TEXT_BYTES];
  const char *name = call->http->number_header;
  if (!name
      || lws_hdr_custom_copy (wsi, text, sizeof text, name, (int)strlen (name))
             <= 0)
    return;
  char *end;
  uint64_t number = strtoull (text, &end, DECIMAL_BASE);
  if (*end == '\0')
    call->number = number;
}

static int
send_body (gbd_http_call_t *call, struct lws *wsi)
{
  if (!call->body || call->is_sent)
    return 0;
  size_t length = call->body_length;
  unsigned char *buffer = g_malloc (LWS_PRE + length);
  memcpy (buffer + LWS_PRE, call->body, length);
  /* Even a failed write may have sent the complete body. */
  call->is_sent = true;
  lws_client_http_body_pending (wsi, 0);
  int written
      = lws_write (wsi, buffer + LWS_PRE, length, LWS_WRITE_HTTP_FINAL);
  g_free (buffer);
  if (written < (int)length)
    return -1;
  call->http->bytes_sent += length;
  return 0;
}

static int
read_response (struct lws *wsi)
{
  char buffer[LWS_PRE + READ_BYTES];
  char *at = buffer + LWS_PRE;
  int length = READ_BYTES;
  return lws_http_client_read (wsi, &at, &length) < 0 ? -1 : 0;
}

static int
append_response (gbd_http_call_t *call, const char *bytes, size_t length)
{
  call->http->bytes_received += length;
  if (call->response->len + length > RESPONSE_BYTES_MAX)
    return -1;
  g_byte_array_append (call->response, (const guint8 *)bytes, (guint)length);
  return 0;
}

static void
finish_interrupted (gbd_http_call_t *call)
{
  if (call->is_starting)
    call->has_failed = true;
  else
    finish (call, call->is_sent ? GBD_HTTP_INTERRUPTED : GBD_HTTP_NOT_SENT);
}

static void
finish (gbd_http_call_t *call, gbd_http_outcome_t outcome)
{
  gbd_http_response_t response
      = { outcome, call->status, (const char *)call->response->data,
          call->response->len, call->number };
  call->done (call->data, &response);
  call_free (call);
}

static void
call_free (gbd_http_call_t *call)
{
  call->http->open_count--;
  g_free (call->body);
  g_byte_array_free (call->response, TRUE);
  g_free (call);
}
