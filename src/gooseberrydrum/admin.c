#include "admin.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/err.h>
#include <openssl/ssl.h>

#include "admin_response.h"

#define TOKEN_LENGTH_MAX 128 /* characters */
#define FLOW_LENGTH_MAX ((size_t)2 * GBD_ADDRESS_TEXT_MAX + 8)
#define IDLE_TIMEOUT_S 5 /* keep-alive connection without a request */

/** User data of the vhost.  It is freed with the vhost and not with the
 *  server, because lws_vhost_destroy() is asynchronous. */
typedef struct
{
  gbd_admin_t *admin; /* NULL after gbd_admin_delete() */
  char host[GBD_ADDRESS_TEXT_MAX];
  char host_and_port[GBD_ADDRESS_TEXT_MAX]; /* name of the vhost */
} vhost_user_t;

struct gbd_admin
{
  struct lws_vhost *vhost;
  vhost_user_t *vhost_user;
  SSL_CTX *tls; /* owned by the vhost; NULL for plain HTTP */
  const char *certificate;
  const char *key;
  gbd_admin_callbacks_t callbacks;
  void *data;
  bool is_public;
  char token[TOKEN_LENGTH_MAX + 1]; /* zero-padded; empty for none */
  uint32_t responses;               /* concurrent responses */
};

/** Handler of one path. */
typedef struct
{
  const char *path;
  void (*respond) (gbd_admin_t *admin, struct lws *wsi,
                   gbd_admin_response_t *response);
  bool is_public; /* available on a public server */
} route_t;

static int handle_callback (struct lws *wsi, enum lws_callback_reasons reason,
                            void *user, void *in, size_t length);
static int handle_request (gbd_admin_t *admin, struct lws *wsi,
                           gbd_admin_response_t *response, const char *path);
static void respond (gbd_admin_t *admin, struct lws *wsi,
                     gbd_admin_response_t *response, const char *path);
static void respond_counters (gbd_admin_t *admin, struct lws *wsi,
                              gbd_admin_response_t *response);
static void respond_status (gbd_admin_t *admin, struct lws *wsi,
                            gbd_admin_response_t *response);
static void respond_dump (gbd_admin_t *admin, struct lws *wsi,
                          gbd_admin_response_t *response);
static void respond_explain (gbd_admin_t *admin, struct lws *wsi,
                             gbd_admin_response_t *response);
static void respond_ready (gbd_admin_t *admin, struct lws *wsi,
                           gbd_admin_response_t *response);
static bool is_authorized (const gbd_admin_t *admin, struct lws *wsi);
static bool load_files (const gbd_admin_t *admin, SSL_CTX *context);
static struct lws_vhost *make_vhost (struct lws_context *context,
                                     const gbd_admin_settings_t *settings,
                                     vhost_user_t *vhost_user);
static void free_vhost_user (struct lws_vhost *vhost, void *vhost_user);

static const struct lws_protocols protocols[] = {
  { "gooseberrydrum-admin", handle_callback, sizeof (gbd_admin_response_t), 0,
    0, NULL, 0 },
  { NULL, NULL, 0, 0, 0, NULL, 0 },
};

static const route_t routes[] = {
  { "/counters", respond_counters, false },
  { "/status", respond_status, false },
  { "/dump", respond_dump, false },
  { "/explain", respond_explain, false },
  { "/ready", respond_ready, true },
  { "/metrics", respond_counters, true },
};

gbd_admin_t *
gbd_admin_new (struct lws_context *context,
               const gbd_admin_settings_t *settings,
               const gbd_admin_callbacks_t *callbacks, void *data,
               const char **error)
{
  const char *token = settings->token ? settings->token : "";
  if (strlen (token) > TOKEN_LENGTH_MAX)
    {
      *error = "the admin token is longer than 128 characters; shorten it";
      return NULL;
    }
  if (!token[0] && !settings->is_public
      && !gbd_address_is_loopback (&settings->listen))
    {
      *error = "the admin address is not a loopback address; set an admin "
               "token";
      return NULL;
    }

  gbd_admin_t *admin = calloc (1, sizeof *admin);
  vhost_user_t *vhost_user = calloc (1, sizeof *vhost_user);
  if (!admin || !vhost_user)
    {
      *error = "out of memory for the admin server; raise the memory limit";
      goto fail;
    }
  admin->vhost_user = vhost_user;
  admin->callbacks = *callbacks;
  admin->data = data;
  admin->is_public = settings->is_public;
  admin->certificate = settings->certificate;
  admin->key = settings->key;
  snprintf (admin->token, sizeof admin->token, "%s", token);
  vhost_user->admin = admin;
  admin->vhost = make_vhost (context, settings, vhost_user);
  bool is_tls_as_configured = !settings->certificate || admin->tls;
  if (admin->vhost && is_tls_as_configured)
    return admin;
  if (admin->vhost)
    {
      /* libwebsockets creates the vhost without TLS if it cannot load the
         files. */
      vhost_user->admin = NULL;
      lws_vhost_destroy (admin->vhost);
    }
  /* libwebsockets has called the finalizer, which frees the user data. */
  vhost_user = NULL;
  *error = "cannot listen for operators; choose a free address of this "
           "instance with --admin-listen, and check the certificate files";

fail:
  free (vhost_user);
  free (admin);
  return NULL;
}

void
gbd_admin_delete (gbd_admin_t *admin)
{
  if (!admin)
    return;
  admin->vhost_user->admin = NULL;
  lws_vhost_destroy (admin->vhost);
  free (admin);
}

gbd_status_t
gbd_admin_reload (gbd_admin_t *admin)
{
  if (!admin->tls)
    return GBD_OK;
  /* Load into a temporary context first, so that invalid files do not change
     the context in use. */
  SSL_CTX *temporary = SSL_CTX_new (TLS_server_method ());
  bool is_loaded = temporary && load_files (admin, temporary)
                   && load_files (admin, admin->tls);
  SSL_CTX_free (temporary);
  ERR_clear_error ();
  return is_loaded ? GBD_OK : GBD_ERROR_FORMAT;
}

gbd_status_t
gbd_flow_parse (const char *text, gbd_flow_t *flow)
{
  char caller[GBD_ADDRESS_TEXT_MAX];
  const char *dash = strchr (text, '-');
  size_t length = dash ? (size_t)(dash - text) : 0;
  if (!dash || length >= sizeof caller)
    return GBD_ERROR_FORMAT;
  memcpy (caller, text, length);
  caller[length] = '\0';
  if (gbd_address_parse (caller, &flow->caller) != GBD_OK
      || gbd_address_parse (dash + 1, &flow->service) != GBD_OK
      || flow->caller.family != flow->service.family)
    return GBD_ERROR_FORMAT;
  return GBD_OK;
}

static int
handle_callback (struct lws *wsi, enum lws_callback_reasons reason, void *user,
                 void *in, size_t length)
{
  (void)length;
  gbd_admin_response_t *response = user;
  struct lws_vhost *vhost = lws_get_vhost (wsi);
  const vhost_user_t *vhost_user = vhost ? lws_vhost_user (vhost) : NULL;
  gbd_admin_t *admin = vhost_user ? vhost_user->admin : NULL;
  switch (reason)
    {
    case LWS_CALLBACK_OPENSSL_LOAD_EXTRA_SERVER_VERIFY_CERTS:
      if (!admin)
        return -1;
      admin->tls = user;
      SSL_CTX_set_min_proto_version (admin->tls, TLS1_2_VERSION);
      return 0;
    case LWS_CALLBACK_HTTP:
      return admin ? handle_request (admin, wsi, response, in) : -1;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return gbd_admin_response_write (response, wsi);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
    case LWS_CALLBACK_HTTP_BODY:
      return 0;
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
      if (response && response->is_counted && admin)
        admin->responses--;
      if (response)
        gbd_admin_response_clear (response);
      return 0;
    default:
      return 0;
    }
}

static int
handle_request (gbd_admin_t *admin, struct lws *wsi,
                gbd_admin_response_t *response, const char *path)
{
  /* The connection may have served an earlier request, whose response was
     counted. */
  bool was_counted = response->is_counted;
  gbd_admin_response_clear (response);
  response->is_counted = was_counted;
  if (!was_counted && admin->responses == GBD_ADMIN_RESPONSES_MAX)
    gbd_admin_response_fail (response, HTTP_STATUS_SERVICE_UNAVAILABLE,
                             "too many requests at one time", "try again");
  else
    {
      if (!was_counted)
        admin->responses++;
      response->is_counted = true;
      respond (admin, wsi, response, path);
    }
  return gbd_admin_response_start (response, wsi);
}

static void
respond (gbd_admin_t *admin, struct lws *wsi, gbd_admin_response_t *response,
         const char *path)
{
  if (!is_authorized (admin, wsi))
    {
      gbd_admin_response_fail (response, HTTP_STATUS_UNAUTHORIZED,
                               "the admin token is missing or wrong",
                               "send Authorization: Bearer TOKEN");
      return;
    }
  if (lws_hdr_total_length (wsi, WSI_TOKEN_GET_URI) <= 0)
    {
      gbd_admin_response_fail (
          response, HTTP_STATUS_METHOD_NOT_ALLOWED,
          "the admin interface is read-only",
          "use GET; to make changes, apply a changed list");
      return;
    }
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    {
      if ((routes[i].is_public || !admin->is_public)
          && strcmp (routes[i].path, path) == 0)
        {
          routes[i].respond (admin, wsi, response);
          return;
        }
    }
  gbd_admin_response_fail (response, HTTP_STATUS_NOT_FOUND, "no such path",
                           admin->is_public
                               ? "use /ready or /metrics"
                               : "use /counters, /status, /dump or "
                                 "/explain?flow=");
}

static void
respond_counters (gbd_admin_t *admin, struct lws *wsi,
                  gbd_admin_response_t *response)
{
  (void)wsi;
  gbd_admin_response_set_text (response,
                               admin->callbacks.counters (admin->data));
}

static void
respond_status (gbd_admin_t *admin, struct lws *wsi,
                gbd_admin_response_t *response)
{
  (void)wsi;
  gbd_admin_response_set_json (response,
                               admin->callbacks.status (admin->data));
}

static void
respond_dump (gbd_admin_t *admin, struct lws *wsi,
              gbd_admin_response_t *response)
{
  (void)wsi;
  gbd_admin_response_set_json (response, admin->callbacks.dump (admin->data));
}

static void
respond_explain (gbd_admin_t *admin, struct lws *wsi,
                 gbd_admin_response_t *response)
{
  char text[FLOW_LENGTH_MAX] = "";
  gbd_flow_t flow;
  const char *argument
      = lws_get_urlarg_by_name (wsi, "flow=", text, sizeof text);
  if (!argument || gbd_flow_parse (argument, &flow) != GBD_OK)
    {
      gbd_admin_response_fail (
          response, HTTP_STATUS_BAD_REQUEST, "the flow is missing or invalid",
          "use /explain?flow=CALLER-SERVICE, as 10.0.0.1:1234-10.1.0.1:443");
      return;
    }
  json_t *explanation = admin->callbacks.explain (admin->data, &flow);
  if (!explanation)
    gbd_admin_response_fail (response, HTTP_STATUS_NOT_FOUND,
                             "no service has this address",
                             "compare it with `gooseberrydrum customers get`");
  else
    gbd_admin_response_set_json (response, explanation);
}

static void
respond_ready (gbd_admin_t *admin, struct lws *wsi,
               gbd_admin_response_t *response)
{
  (void)wsi;
  bool (*is_ready) (void *) = admin->callbacks.is_ready;
  if (is_ready && !is_ready (admin->data))
    gbd_admin_response_fail (response, HTTP_STATUS_SERVICE_UNAVAILABLE,
                             "this instance does not accept packets now",
                             "send them to another instance");
  else
    gbd_admin_response_set_json (response, json_pack ("{s:b}", "ready", 1));
}

/* Compares zero-padded buffers in constant time, so that the duration does not
   reveal the token. */
static bool
is_authorized (const gbd_admin_t *admin, struct lws *wsi)
{
  static const char scheme[] = "Bearer ";
  char header[sizeof scheme + TOKEN_LENGTH_MAX] = "";
  char expected[sizeof scheme + TOKEN_LENGTH_MAX] = "";
  if (!admin->token[0])
    return true;
  snprintf (expected, sizeof expected, "%s%s", scheme, admin->token);
  int length = lws_hdr_copy (wsi, header, sizeof header,
                             WSI_TOKEN_HTTP_AUTHORIZATION);
  return length > 0
         && lws_timingsafe_bcmp (header, expected, sizeof header) == 0;
}

static bool
load_files (const gbd_admin_t *admin, SSL_CTX *context)
{
  return SSL_CTX_use_certificate_chain_file (context, admin->certificate) == 1
         && SSL_CTX_use_PrivateKey_file (context, admin->key, SSL_FILETYPE_PEM)
                == 1
         && SSL_CTX_check_private_key (context) == 1;
}

static struct lws_vhost *
make_vhost (struct lws_context *context, const gbd_admin_settings_t *settings,
            vhost_user_t *vhost_user)
{
  const gbd_address_t *listen = &settings->listen;
  inet_ntop (listen->family == 6 ? AF_INET6 : AF_INET, listen->ip,
             vhost_user->host, sizeof vhost_user->host);
  gbd_address_format (listen, vhost_user->host_and_port);
  struct lws_context_creation_info info = {
    .vhost_name = vhost_user->host_and_port,
    .iface = vhost_user->host,
    .port = listen->port,
    .protocols = protocols,
    .user = vhost_user,
    .finalize = free_vhost_user,
    .finalize_arg = vhost_user,
    .timeout_secs = IDLE_TIMEOUT_S,
    .keepalive_timeout = IDLE_TIMEOUT_S,
    .alpn = "http/1.1",
    .ssl_cert_filepath = settings->certificate,
    .ssl_private_key_filepath = settings->key,
    .options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND,
  };
  if (listen->family == 4)
    info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
  if (settings->certificate)
    info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
  return lws_create_vhost (context, &info);
}

static void
free_vhost_user (struct lws_vhost *vhost, void *vhost_user)
{
  (void)vhost;
  free (vhost_user);
}
