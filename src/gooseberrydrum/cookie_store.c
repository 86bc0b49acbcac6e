#include "cookie_serve.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "platform/adapter.h"

/* A connection may stop delivering without a reset.  A watch on it is
   abandoned after WATCH_WAIT_MS + CALL_TIMEOUT_MS, so that the instance
   reconnects and applies a change in a few seconds. */
#define WATCH_WAIT_MS 4000
/* Changes that occur within this time are read in one response.  The delay for
   backend servers is a tenth of the shortest limit on draining.  The delay for
   routes, whose changes occur in series, is a third of the limit on
   configuration changes. */
#define SERVERS_BATCH_DELAY_MS 300
#define ROUTES_BATCH_DELAY_MS 1000
/* Longest pause between two requests for routes while they fail.  The watch on
   backend servers retries more often, and its first success ends this
   pause. */
#define ROUTES_MAX_BACKOFF_MS 4000
#define CALL_TIMEOUT_MS 1000
/* A working watch on routes lags behind a relay by at most its batch delay. */
#define STALE_ROUTES_TIMEOUT ((ROUTES_BATCH_DELAY_MS + 200) * GBD_MILLISECOND)
#define KEY_BACKOFF_FIRST (50 * GBD_MILLISECOND)
#define DOCUMENT_BACKOFF_FIRST (100 * GBD_MILLISECOND)
#define BACKOFF_LONGEST GBD_SECOND /* of key and documents */
#define KEY_KIND "gooseberrydrum"
#define KEY_NAME "cookie-key"
#define KEY_FIELD "key" /* 16 hexadecimal digits */
#define KEY_TEXT_SIZE 17
#define HEX_BASE 16

static uint64_t get_document_version (const json_t *document);
static void request_key (gbd_cookie_serve_t *serve, gbd_time_t now);
static void handle_key_response (void *data, gbd_status_t status,
                                 uint64_t version, json_t *value);
static void set_document (gbd_cookie_serve_t *serve, const char *kind,
                          const char *name, uint64_t version,
                          const json_t *value);
static void create_key (gbd_cookie_serve_t *serve, gbd_time_t now);
static void put_key (gbd_cookie_serve_t *serve, uint64_t key, uint64_t version,
                     gbd_time_t now, gbd_platform_done_t done);
static void handle_restored_key (void *data, gbd_status_t status,
                                 uint64_t version, json_t *value);
static void handle_key (gbd_cookie_serve_t *serve, uint64_t version,
                        json_t *value, const char *source, gbd_time_t now);
static void install_routes (gbd_cookie_serve_t *serve, uint64_t version,
                            json_t *value, const char *source, gbd_time_t now);
static void log_failure (gbd_cookie_serve_t *serve, gbd_event_t event,
                         const char *kind, gbd_status_t status,
                         gbd_time_t now);
static void request_document (gbd_cookie_serve_t *serve, gbd_time_t now);
static void handle_document (void *data, gbd_status_t status, uint64_t version,
                             json_t *value);
static void routes_changed (void *data, const char *name, uint64_t version,
                            json_t *value);
static void routes_confirmed (void *data, gbd_time_t requested_at);
static void routes_failed (void *data, gbd_time_t now);
static void routes_restored (void *data, uint64_t position, uint32_t era);

static const gbd_platform_watch_callbacks_t routes_callbacks = {
  .changed = routes_changed,
  .confirmed = routes_confirmed,
  .failed = routes_failed,
  .restored = routes_restored,
};

gbd_platform_t *
gbd_cookie_store_open (gbd_cookie_serve_t *serve, uint32_t max_backoff_ms,
                       bool allow_stale_first_list)
{
  gbd_platform_settings_t settings = {
    .platform = serve->settings->platform,
    .platform_api = serve->platform_api,
    .call_timeout_ms = CALL_TIMEOUT_MS,
    .attempts = 1,
    .watch_wait_ms = WATCH_WAIT_MS,
    .watch_pause_ms = SERVERS_BATCH_DELAY_MS,
    .max_backoff_ms = max_backoff_ms,
    .allow_stale_first_list = allow_stale_first_list,
    .random_seed = serve->random_value,
  };
  return gbd_platform_new (serve->context, &settings);
}

bool
gbd_cookie_store_start (gbd_cookie_serve_t *serve, const char **error)
{
  bool is_native = strcmp (serve->settings->platform_form, "own") == 0;
  serve->platform_api
      = is_native ? &gbd_platform_api_native : &gbd_platform_api_objects;
  gbd_time_t now = serve->started_at;
  /* A relay's hint tells its readers whether the routes of a stale read are
     the latest.  Without relays the next request, which follows at once, is
     not a stale read. */
  serve->platform = gbd_cookie_store_open (
      serve, ROUTES_MAX_BACKOFF_MS, !gbd_cookie_servers_is_relay (serve));
  *error = "cannot create the platform client; raise the memory limit";
  if (!serve->platform)
    return false;
  serve->routes_watch = gbd_platform_watch_new (
      serve->platform, serve->platform_api->routes_kind, "", now,
      &routes_callbacks, serve);
  gbd_platform_watch_set_pause (serve->routes_watch, ROUTES_BATCH_DELAY_MS);
  if (!gbd_cookie_servers_start (serve, error))
    return false;
  gbd_backoff_init (&serve->key_backoff, KEY_BACKOFF_FIRST, BACKOFF_LONGEST,
                    serve->random_value);
  gbd_backoff_init (&serve->document_backoff, DOCUMENT_BACKOFF_FIRST,
                    BACKOFF_LONGEST, serve->random_value);
  /* At the first start there is no key yet, and the relays create it. */
  serve->key_retry_at = now + GBD_START_KEY_CREATION_DELAY;
  if (serve->relay || !serve->settings->first_start)
    request_key (serve, now);
  return true;
}

void
gbd_cookie_store_tick (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_platform_tick (serve->platform, now);
  if (!serve->has_key && !serve->is_key_requested
      && now >= serve->key_retry_at)
    request_key (serve, now);
  request_document (serve, now);
  if (serve->routes_stale_since
      && now - serve->routes_stale_since > STALE_ROUTES_TIMEOUT)
    {
      serve->routes_stale_since = 0;
      gbd_platform_watch_refresh (serve->routes_watch);
    }
}

void
gbd_cookie_routes_check_version (gbd_cookie_serve_t *serve, uint64_t version,
                                 gbd_time_t now)
{
  if (version <= serve->routes_object_version)
    serve->routes_stale_since = 0;
  else if (!serve->routes_stale_since)
    serve->routes_stale_since = now;
}

void
gbd_cookie_store_add_documents (gbd_cookie_serve_t *serve,
                                const json_t *documents)
{
  const gbd_platform_api_t *api = serve->platform_api;
  gbd_time_t now = serve->clock (NULL);
  char *routes_path
      = g_strconcat (api->routes_kind, "/", api->routes_name, NULL);
  const json_t *key = json_object_get (documents, KEY_KIND "/" KEY_NAME);
  const json_t *routes = json_object_get (documents, routes_path);
  g_free (routes_path);
  if (key && !serve->has_key)
    handle_key (serve, get_document_version (key),
                json_object_get (key, "value"), "relay", now);
  if (routes && get_document_version (routes) > serve->routes_object_version)
    install_routes (serve, get_document_version (routes),
                    json_object_get (routes, "value"), "relay", now);
}

void
gbd_cookie_store_restore_key (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  serve->is_key_restored = false;
  if (serve->has_key)
    put_key (serve, serve->key, 0, now, handle_restored_key);
}

/* If the platform has another key, the group's key replaces it once. */
static void
handle_restored_key (void *data, gbd_status_t status, uint64_t version,
                     json_t *value)
{
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = serve->clock (NULL);
  const char *text = json_string_value (json_object_get (value, KEY_FIELD));
  if (status == GBD_OK)
    return;
  if (status != GBD_ERROR_CONFLICT)
    {
      log_failure (serve, GBD_EVENT_PLATFORM_LOST, KEY_KIND, status, now);
      return;
    }
  if (serve->is_key_restored
      || (text && strtoull (text, NULL, HEX_BASE) == serve->key))
    return;
  serve->is_key_restored = true;
  gbd_cookie_log_bad_object (serve, KEY_KIND, KEY_NAME, version,
                             "it is not the key that the group uses", now);
  put_key (serve, serve->key, version, now, handle_restored_key);
}

static uint64_t
get_document_version (const json_t *document)
{
  return (uint64_t)json_integer_value (json_object_get (document, "version"));
}

static void
request_key (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  serve->is_key_requested = true;
  /* A stale read is safe: the key never changes after it was created, and it
     is created only on the condition that none exists. */
  gbd_platform_get (serve->servers_platform, KEY_KIND, KEY_NAME, true, now,
                    handle_key_response, serve);
}

/* Handles the response to a read or to the creation of a key.  The key that
   the platform holds is used, whichever instance created it. */
static void
handle_key_response (void *data, gbd_status_t status, uint64_t version,
                     json_t *value)
{
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = serve->clock (NULL);
  serve->is_key_requested = false;
  if (serve->has_key)
    return;
  if (status == GBD_OK || status == GBD_ERROR_CONFLICT)
    handle_key (serve, version, value, "platform", now);
  else if (status != GBD_ERROR_NOT_FOUND)
    log_failure (serve, GBD_EVENT_PLATFORM_LOST, KEY_KIND, status, now);
  else if (gbd_start_may_create_key (serve->relay,
                                     serve->settings->first_start,
                                     gbd_cookie_servers_have_relays (serve),
                                     now - serve->started_at))
    create_key (serve, now);
  if (!serve->has_key)
    serve->key_retry_at = now + gbd_backoff_next (&serve->key_backoff);
}

static void
handle_key (gbd_cookie_serve_t *serve, uint64_t version, json_t *value,
            const char *source, gbd_time_t now)
{
  const char *text = json_string_value (json_object_get (value, KEY_FIELD));
  if (!text)
    {
      gbd_cookie_log_bad_object (serve, KEY_KIND, KEY_NAME, version,
                                 "the field \"key\" is missing", now);
      return;
    }
  serve->key = strtoull (text, NULL, HEX_BASE);
  gbd_director_set_key (serve->director, serve->key);
  serve->has_key = true;
  set_document (serve, KEY_KIND, KEY_NAME, version, value);
  gbd_event_log_emit (serve->event_log, GBD_EVENT_KEY_KNOWN, now,
                      json_pack ("{s:I, s:s}", "version", (json_int_t)version,
                                 "source", source));
}

/* Serves a document to other instances. */
static void
set_document (gbd_cookie_serve_t *serve, const char *kind, const char *name,
              uint64_t version, const json_t *value)
{
  gbd_relay_t *server = serve->relay ? serve->relay : serve->peer_server;
  if (server)
    gbd_relay_set_document (server, kind, name, version, value);
}

static void
create_key (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  serve->is_key_requested = true;
  put_key (serve, serve->random_value, 0, now, handle_key_response);
}

static void
put_key (gbd_cookie_serve_t *serve, uint64_t key, uint64_t version,
         gbd_time_t now, gbd_platform_done_t done)
{
  char text[KEY_TEXT_SIZE];
  snprintf (text, sizeof text, "%016" PRIx64, key);
  json_t *object = json_pack ("{s:s}", KEY_FIELD, text);
  gbd_platform_put (serve->servers_platform, KEY_KIND, KEY_NAME, version,
                    object, now, done, serve);
  json_decref (object);
}

/* Requests the key, or else the routes, from the next relay if this instance
   lacks them.  Routes may be outdated; the watch on the platform replaces
   them. */
static void
request_document (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  bool has_routes = gbd_director_get_routes (serve->director)
                    || gbd_platform_watch_is_responding (serve->routes_watch);
  if ((serve->has_key && has_routes) || serve->is_document_requested
      || now < serve->document_due
      || !gbd_start_may_ask_relays (serve->settings->first_start,
                                    now - serve->started_at)
      || !gbd_cookie_servers_have_relays (serve))
    return;
  serve->document_source = (serve->document_source + 1) % serve->sources.count;
  if (serve->document_source == serve->sources.platform)
    serve->document_source
        = (serve->document_source + 1) % serve->sources.count;
  gbd_platform_t *client = serve->clients[serve->document_source];
  if (serve->holder_client && serve->document_backoff.attempts % 2 == 1)
    client = serve->holder_client;
  serve->document_client = client;
  serve->is_document_requested = true;
  gbd_platform_get (
      client, serve->has_key ? serve->platform_api->routes_kind : KEY_KIND,
      serve->has_key ? serve->platform_api->routes_name : KEY_NAME, false, now,
      handle_document, serve);
}

static void
handle_document (void *data, gbd_status_t status, uint64_t version,
                 json_t *value)
{
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = serve->clock (NULL);
  serve->is_document_requested = false;
  if (status != GBD_OK || !value)
    {
      /* A relay that is starting too has no documents yet. */
      if (status != GBD_ERROR_NOT_FOUND)
        log_failure (serve, GBD_EVENT_RELAY_LOST,
                     serve->has_key ? serve->platform_api->routes_kind
                                    : KEY_KIND,
                     status, now);
      serve->document_due = now + gbd_backoff_next (&serve->document_backoff);
      return;
    }
  if (json_object_get (value, KEY_FIELD) && !serve->has_key)
    handle_key (serve, version, value, "relay", now);
  else if (!json_object_get (value, KEY_FIELD))
    install_routes (serve, version, value, "relay", now);
}

static void
routes_changed (void *data, const char *name, uint64_t version, json_t *value)
{
  gbd_cookie_serve_t *serve = data;
  if (value && strcmp (name, serve->platform_api->routes_name) == 0)
    install_routes (serve, version, value, "platform", serve->clock (NULL));
}

static void
install_routes (gbd_cookie_serve_t *serve, uint64_t version, json_t *value,
                const char *source, gbd_time_t now)
{
  const char *problem = NULL;
  gbd_routes_t *routes = serve->platform_api->read_routes (value, &problem);
  if (!routes)
    {
      gbd_event_log_emit (serve->event_log, GBD_EVENT_BAD_ROUTES, now,
                          json_pack ("{s:I, s:s}", "object_version",
                                     (json_int_t)version, "cause", problem));
      return;
    }
  uint64_t route_version = gbd_routes_get_version (routes);
  uint32_t count = gbd_routes_get_count (routes);
  serve->routes_object_version = MAX (serve->routes_object_version, version);
  serve->routes_stale_since = 0;
  const gbd_routes_t *installed = gbd_director_get_routes (serve->director);
  /* A restored store may have older routes. */
  bool is_older
      = installed && gbd_routes_get_version (installed) > route_version;
  if (version == serve->routes_object_version && !is_older)
    set_document (serve, serve->platform_api->routes_kind,
                  serve->platform_api->routes_name, version, value);
  if (serve->relay && version == serve->routes_object_version)
    gbd_relay_set_hint (serve->relay, version);
  if (gbd_director_set_routes (serve->director, routes) != GBD_OK)
    return;
  serve->routes_read_at = now;
  gbd_event_log_emit (serve->event_log, GBD_EVENT_ROUTES, now,
                      json_pack ("{s:I, s:I, s:i, s:s}", "version",
                                 (json_int_t)route_version, "object_version",
                                 (json_int_t)version, "routes", (int)count,
                                 "source", source));
}

static void
routes_confirmed (void *data, gbd_time_t requested_at)
{
  (void)requested_at;
  gbd_cookie_serve_t *serve = data;
  serve->is_routes_watch_failing = false;
}

static void
routes_failed (void *data, gbd_time_t now)
{
  gbd_cookie_serve_t *serve = data;
  if (serve->is_routes_watch_failing)
    return;
  serve->is_routes_watch_failing = true;
  gbd_event_log_emit (
      serve->event_log, GBD_EVENT_PLATFORM_LOST, now,
      json_pack ("{s:s}", "watch", serve->platform_api->routes_kind));
}

/* The watch on backend servers reports the restore when it sees it too. */
static void
routes_restored (void *data, uint64_t position, uint32_t era)
{
  (void)position;
  (void)era;
  gbd_cookie_serve_t *serve = data;
  if (gbd_cookie_servers_use_platform (serve))
    gbd_platform_watch_refresh (serve->servers_watch);
}

static void
log_failure (gbd_cookie_serve_t *serve, gbd_event_t event, const char *kind,
             gbd_status_t status, gbd_time_t now)
{
  gbd_event_log_emit (serve->event_log, event, now,
                      json_pack ("{s:s, s:s}", "watch", kind, "cause",
                                 gbd_status_strings[status]));
}
