#include "cookie_serve.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "loop.h"
#include "platform/adapter.h"

/* Below the shortest time after which libwebsockets gives up an answer; a
   watch costs one call each time. */
#define WATCH_WAIT_MS 10000
#define CALL_TIMEOUT_MS 2000
#define KEY_KIND "gooseberrydrum"
#define KEY_NAME "cookie-key"
#define KEY_FIELD "key" /* 16 hexadecimal digits */
#define KEY_TEXT_SIZE 17
#define HEX 16

static void ask_key (gbd_cookie_serve_t *serve, gbd_time_t now);
static void take_key (void *data, gbd_status_t status, uint64_t version,
                      json_t *value);
static void servers_reset (void *data);
static void server_changed (void *data, const char *name, uint64_t version,
                            json_t *value);
static void servers_confirmed (void *data, gbd_time_t asked_at);
static void servers_failed (void *data, gbd_time_t now);
static void remove_server (gbd_cookie_serve_t *serve, const char *name,
                           uint64_t version, const char *cause,
                           gbd_time_t now);
static void routes_changed (void *data, const char *name, uint64_t version,
                            json_t *value);
static void routes_confirmed (void *data, gbd_time_t asked_at);
static void routes_failed (void *data, gbd_time_t now);
static void log_bad_object (gbd_cookie_serve_t *serve, const char *kind,
                            const char *name, uint64_t version,
                            const char *wrong, gbd_time_t now);

static const gbd_platform_watch_callbacks_t servers_callbacks = {
  .reset = servers_reset,
  .changed = server_changed,
  .confirmed = servers_confirmed,
  .failed = servers_failed,
};

static const gbd_platform_watch_callbacks_t routes_callbacks = {
  .changed = routes_changed,
  .confirmed = routes_confirmed,
  .failed = routes_failed,
};

bool
gbd_cookie_store_start (gbd_cookie_serve_t *serve, const char **error)
{
  bool is_own = strcmp (serve->settings->platform_form, "own") == 0;
  serve->dialect
      = is_own ? &gbd_platform_dialect_own : &gbd_platform_dialect_objects;
  gbd_platform_settings_t settings = {
    .platform = serve->settings->platform,
    .dialect = serve->dialect,
    .call_timeout_ms = CALL_TIMEOUT_MS,
    .watch_wait_ms = WATCH_WAIT_MS,
    .random_seed = serve->random,
  };
  gbd_time_t now = serve->started_at;
  serve->platform = gbd_platform_new (serve->context, &settings);
  *error = "the platform client does not start; raise the memory limit";
  if (!serve->platform)
    return false;
  serve->routes_watch
      = gbd_platform_watch_new (serve->platform, serve->dialect->routes_kind,
                                "", now, &routes_callbacks, serve);
  serve->servers_watch
      = gbd_platform_watch_new (serve->platform, serve->dialect->servers_kind,
                                "", now, &servers_callbacks, serve);
  ask_key (serve, now);
  return true;
}

void
gbd_cookie_store_tick (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  if (!serve->has_key && !serve->is_key_asked)
    ask_key (serve, now);
}

static void
ask_key (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  serve->is_key_asked = true;
  gbd_platform_get (serve->platform, KEY_KIND, KEY_NAME, now, take_key, serve);
}

/* Outcome of a read, or of the proposal of a key: the key that the platform
   holds counts, whoever was first to write it. */
static void
take_key (void *data, gbd_status_t status, uint64_t version, json_t *value)
{
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = gbd_loop_now (NULL);
  const char *text = json_string_value (json_object_get (value, KEY_FIELD));
  serve->is_key_asked = false;
  if (status == GBD_ERROR_NOT_FOUND)
    {
      char proposal[KEY_TEXT_SIZE];
      snprintf (proposal, sizeof proposal, "%016" PRIx64, serve->random);
      json_t *object = json_pack ("{s:s}", KEY_FIELD, proposal);
      serve->is_key_asked = true;
      gbd_platform_put (serve->platform, KEY_KIND, KEY_NAME, 0, object, now,
                        take_key, serve);
      json_decref (object);
      return;
    }
  if ((status != GBD_OK && status != GBD_ERROR_CONFLICT) || !text)
    {
      if (status == GBD_OK)
        log_bad_object (serve, KEY_KIND, KEY_NAME, version, "no key", now);
      return;
    }
  gbd_director_set_key (serve->director, strtoull (text, NULL, HEX));
  serve->has_key = true;
  if (gbd_journal_admits (serve->journal, GBD_EVENT_KEY_KNOWN, now))
    gbd_journal_write (serve->journal, GBD_EVENT_KEY_KNOWN,
                       json_pack ("{s:I}", "version", (json_int_t)version));
}

static void
servers_reset (void *data)
{
  gbd_cookie_serve_t *serve = data;
  serve->is_listing = true;
  gbd_pool_begin_listing (gbd_director_get_pool (serve->director));
}

static void
server_changed (void *data, const char *name, uint64_t version, json_t *value)
{
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = gbd_loop_now (NULL);
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  gbd_pool_entry_t entry;
  const char *wrong = NULL;
  if (!value)
    {
      remove_server (serve, name, version, "deleted", now);
      return;
    }
  if (serve->dialect->read_server (name, value, now, &entry, &wrong) != GBD_OK)
    {
      log_bad_object (serve, serve->dialect->servers_kind, name, version,
                      wrong, now);
      remove_server (serve, name, version, wrong, now);
      return;
    }
  gbd_status_t status = gbd_pool_put (pool, &entry, now);
  if (status != GBD_OK)
    {
      log_bad_object (serve, serve->dialect->servers_kind, name, version,
                      gbd_status_strings[status], now);
      return;
    }
  if (gbd_journal_admits (serve->journal, GBD_EVENT_SERVER_LISTED, now))
    gbd_journal_write (serve->journal, GBD_EVENT_SERVER_LISTED,
                       json_pack ("{s:s, s:I, s:s, s:b}", "server", name,
                                  "version", (json_int_t)version, "state",
                                  entry.backend.state == GBD_BACKEND_READY
                                      ? "ready"
                                      : "draining",
                                  "cold", entry.warm_at != 0));
}

static void
remove_server (gbd_cookie_serve_t *serve, const char *name, uint64_t version,
               const char *cause, gbd_time_t now)
{
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  uint32_t room = gbd_pool_get_room (pool);
  for (uint32_t i = 0; i < room; i++)
    {
      const gbd_pool_server_t *server
          = gbd_pool_peek (pool, (gbd_pool_handle_t)i);
      if (!server->is_used || strcmp (server->entry.name, name) != 0)
        continue;
      gbd_pool_remove (pool, server->entry.backend.id, now);
      if (gbd_journal_admits (serve->journal, GBD_EVENT_SERVER_REMOVED, now))
        gbd_journal_write (serve->journal, GBD_EVENT_SERVER_REMOVED,
                           json_pack ("{s:s, s:I, s:s, s:b}", "server", name,
                                      "version", (json_int_t)version, "cause",
                                      cause, "deferred", server->is_listed));
    }
}

static void
servers_confirmed (void *data, gbd_time_t asked_at)
{
  (void)asked_at;
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = gbd_loop_now (NULL);
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  bool was_away = gbd_pool_is_away (pool);
  gbd_pool_set_away (pool, false, now);
  if (serve->is_listing)
    gbd_pool_end_listing (pool, now);
  serve->is_listing = false;
  if (was_away
      && gbd_journal_admits (serve->journal, GBD_EVENT_PLATFORM_FOUND, now))
    gbd_journal_write (
        serve->journal, GBD_EVENT_PLATFORM_FOUND,
        json_pack ("{s:I}", "away_ms",
                   (json_int_t)((now - serve->lost_at) / GBD_MILLISECOND)));
}

static void
servers_failed (void *data, gbd_time_t now)
{
  gbd_cookie_serve_t *serve = data;
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  if (gbd_pool_is_away (pool))
    return;
  gbd_pool_set_away (pool, true, now);
  serve->lost_at = now;
  if (gbd_journal_admits (serve->journal, GBD_EVENT_PLATFORM_LOST, now))
    gbd_journal_write (
        serve->journal, GBD_EVENT_PLATFORM_LOST,
        json_pack ("{s:s}", "watch", serve->dialect->servers_kind));
}

static void
routes_changed (void *data, const char *name, uint64_t version, json_t *value)
{
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = gbd_loop_now (NULL);
  if (!value || strcmp (name, serve->dialect->routes_name) != 0)
    return;
  const char *wrong = NULL;
  gbd_routes_t *routes = serve->dialect->read_routes (value, &wrong);
  if (!routes)
    {
      if (gbd_journal_admits (serve->journal, GBD_EVENT_BAD_ROUTES, now))
        gbd_journal_write (serve->journal, GBD_EVENT_BAD_ROUTES,
                           json_pack ("{s:I, s:s}", "object_version",
                                      (json_int_t)version, "cause", wrong));
      return;
    }
  uint64_t route_version = gbd_routes_get_version (routes);
  uint32_t count = gbd_routes_get_count (routes);
  if (gbd_director_set_routes (serve->director, routes) != GBD_OK)
    return;
  serve->routes_at = now;
  if (gbd_journal_admits (serve->journal, GBD_EVENT_ROUTES, now))
    gbd_journal_write (serve->journal, GBD_EVENT_ROUTES,
                       json_pack ("{s:I, s:I, s:i}", "version",
                                  (json_int_t)route_version, "object_version",
                                  (json_int_t)version, "routes", (int)count));
}

static void
routes_confirmed (void *data, gbd_time_t asked_at)
{
  (void)asked_at;
  gbd_cookie_serve_t *serve = data;
  serve->is_routes_lost = false;
}

static void
routes_failed (void *data, gbd_time_t now)
{
  gbd_cookie_serve_t *serve = data;
  if (serve->is_routes_lost)
    return;
  serve->is_routes_lost = true;
  if (gbd_journal_admits (serve->journal, GBD_EVENT_PLATFORM_LOST, now))
    gbd_journal_write (
        serve->journal, GBD_EVENT_PLATFORM_LOST,
        json_pack ("{s:s}", "watch", serve->dialect->routes_kind));
}

static void
log_bad_object (gbd_cookie_serve_t *serve, const char *kind, const char *name,
                uint64_t version, const char *wrong, gbd_time_t now)
{
  if (gbd_journal_admits (serve->journal, GBD_EVENT_BAD_OBJECT, now))
    gbd_journal_write (serve->journal, GBD_EVENT_BAD_OBJECT,
                       json_pack ("{s:s, s:s, s:I, s:s}", "kind", kind,
                                  "object", name, "version",
                                  (json_int_t)version, "cause", wrong));
}
