#include "cookie_serve.h"

#include <string.h>

#include <glib.h>

#include "gooseberrydrum/position.h"
#include "relay_api.h"

/* Wait of a relay's long poll for backend servers.  A relay must detect within
   about a second that it has lost the platform, because its readers rely on
   the relay. */
#define RELAY_SERVERS_WATCH_WAIT_MS 1000
/* Wait of a relay's long poll for routes; longer, because readers do not get
   the routes from the relay. */
#define RELAY_ROUTES_WATCH_WAIT_MS 3000
/* Wait of the long poll for routes of an instance that reads the backend
   servers from a relay. */
#define READER_ROUTES_WATCH_WAIT_MS 25000
/* Wait of a reader's long poll at a relay.  A reader abandons a relay that
   does not respond within READER_SERVERS_WATCH_WAIT_MS + RELAY_TIMEOUT_MS. */
#define READER_SERVERS_WATCH_WAIT_MS 1000
#define RELAY_TIMEOUT_MS 500
/* An instance whose process is running accepts a connection within a round
   trip, at most 24 ms between regions, however busy it is.  Measured from the
   first tick after the request. */
#define RELAY_CONNECT_TIMEOUT_MS 40
/* A relay that has started together with its readers reads the list first, and
   then sends it to all of them. */
#define RELAY_LIST_TIMEOUT_MS 2000
/* Pause of the circuit breaker of a relay; short, so that announcements reach
   a relay that has restarted. */
#define RELAY_BREAKER_PAUSE_MS 100
/* Longest pause between two requests to the platform while they fail. */
#define SERVERS_MAX_BACKOFF_MS 1000
/* Largest difference between two estimates of the end of a warm-up that are
   considered equal.  An entry is up to one heartbeat interval (about a second)
   old. */
#define WARM_UP_TOLERANCE (1500 * GBD_MILLISECOND)
/* A longer time between two ticks means that the process was paused.  On a
   slow machine, ticks are delayed by less. */
#define PROCESS_PAUSE_MIN (700 * GBD_MILLISECOND)

static gbd_platform_t *open_relay (const gbd_cookie_serve_t *serve,
                                   const gbd_address_t *address);
static void request_list_from_holder (gbd_cookie_serve_t *serve,
                                      gbd_time_t now);
static bool start_peer_server (gbd_cookie_serve_t *serve, const char **error);
static void documents_received (void *data, const json_t *documents);
static void evacuations_received (void *data, const json_t *set,
                                  gbd_time_t requested_at);
static void fill_listing (void *data);
static void refresh_watches (gbd_cookie_serve_t *serve);
static uint32_t find_relays (const gbd_cookie_serve_t *serve,
                             gbd_address_t *relays);
static void sort_relays (const gbd_cookie_serve_t *serve,
                         gbd_address_t *relays, uint32_t count);
static void servers_reset (void *data);
static void server_changed (void *data, const char *name, uint64_t version,
                            json_t *value);
static void servers_confirmed (void *data, gbd_time_t requested_at);
static void accept_outdated_list (gbd_cookie_serve_t *serve,
                                  const gbd_platform_watch_t *watch,
                                  gbd_time_t now);
static void servers_restored (void *data, uint64_t position, uint32_t era);
static void servers_rejected (void *data, const json_t *body);
static void servers_failed (void *data, gbd_time_t now);
static void servers_relay_metadata (void *data, uint32_t removal_grace_ms,
                                    uint64_t hint, bool is_connected);
static void start_list_reset (void *data);
static void start_list_changed (void *data, const char *name, uint64_t version,
                                json_t *value);
static void start_list_confirmed (void *data, gbd_time_t requested_at);
static void start_list_failed (void *data, gbd_time_t now);
static void start_list_metadata (void *data, uint32_t removal_grace_ms,
                                 uint64_t hint, bool is_connected);
static void set_routes_watch_wait (gbd_cookie_serve_t *serve, gbd_time_t now);
static void relay_change (gbd_cookie_serve_t *serve, const char *name,
                          uint64_t version, const gbd_pool_entry_t *entry,
                          gbd_time_t now);
static bool is_warming_up (const gbd_cookie_serve_t *serve,
                           const gbd_pool_entry_t *entry);
static bool is_unchanged (const gbd_cookie_serve_t *serve,
                          const gbd_pool_entry_t *entry);
static void remove_server (gbd_cookie_serve_t *serve, const char *name,
                           uint64_t version, const char *cause,
                           gbd_time_t now);
static void log_source (gbd_cookie_serve_t *serve, gbd_event_t event,
                        gbd_time_t now);

static const gbd_platform_watch_callbacks_t start_callbacks = {
  .reset = start_list_reset,
  .changed = start_list_changed,
  .confirmed = start_list_confirmed,
  .failed = start_list_failed,
  .relay_metadata = start_list_metadata,
  .documents = documents_received,
  .group_view = gbd_cookie_members_receive,
  .evacuations = evacuations_received,
};

static const gbd_platform_watch_callbacks_t servers_callbacks = {
  .reset = servers_reset,
  .changed = server_changed,
  .confirmed = servers_confirmed,
  .rejected = servers_rejected,
  .failed = servers_failed,
  .relay_metadata = servers_relay_metadata,
  .documents = documents_received,
  .group_view = gbd_cookie_members_receive,
  .evacuations = evacuations_received,
  .restored = servers_restored,
};

bool
gbd_cookie_servers_start (gbd_cookie_serve_t *serve, const char **error)
{
  gbd_time_t now = serve->started_at;
  gbd_address_t relays[GBD_ADDRESS_LIST_MAX];
  bool is_relay = gbd_cookie_servers_is_relay (serve);
  uint32_t relay_count = find_relays (serve, relays);
  uint32_t platform_index = is_relay ? 0 : relay_count;
  if (!is_relay && serve->settings->relay_listen.family
      && !start_peer_server (serve, error))
    return false;
  gbd_cookie_holders_init (serve);
  gbd_sources_init (&serve->sources, relay_count + 1, platform_index,
                    serve->settings->first_start, serve->random_value, now);
  /* The first list of a relay must not be a stale read, because it is served
     to readers.  Another instance uses a stale list only until its next
     request, which follows at once. */
  serve->servers_platform
      = gbd_cookie_store_open (serve, SERVERS_MAX_BACKOFF_MS, !is_relay);
  serve->clients[platform_index] = serve->servers_platform;
  *error = "cannot create the platform client; raise the memory limit";
  if (!serve->servers_platform)
    return false;
  for (uint32_t i = 0; i < relay_count; i++)
    {
      gbd_platform_t *client = open_relay (serve, &relays[i]);
      *error = "cannot create the client of a relay; raise the memory limit";
      if (!client)
        return false;
      serve->clients[is_relay ? i + 1 : i] = client;
    }
  if (is_relay)
    {
      serve->relay
          = gbd_relay_new (serve->context, &serve->settings->relay_listen,
                           serve->platform_api->servers_kind, error);
      if (!serve->relay)
        return false;
      gbd_relay_set_holder_callback (serve->relay, gbd_cookie_holder_seen,
                                     serve);
    }
  if (!gbd_cookie_members_start (serve, error))
    return false;
  serve->servers_watch = gbd_platform_watch_new (
      serve->clients[serve->sources.current],
      serve->platform_api->servers_kind, "", now, &servers_callbacks, serve);
  if (relay_count > 0 && !serve->settings->first_start)
    {
      serve->start_source = is_relay ? 1 : 0;
      serve->start_watch = gbd_platform_watch_new (
          serve->clients[serve->start_source],
          serve->platform_api->servers_kind, "", now, &start_callbacks, serve);
    }
  if (is_relay)
    gbd_platform_watch_set_wait (serve->servers_watch,
                                 RELAY_SERVERS_WATCH_WAIT_MS);
  set_routes_watch_wait (serve, now);
  return gbd_cookie_evacuations_start (serve, error);
}

void
gbd_cookie_servers_tick (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  if (serve->last_tick_at && now - serve->last_tick_at > PROCESS_PAUSE_MIN)
    refresh_watches (serve);
  serve->last_tick_at = now;
  if (serve->is_next_holder_due || serve->is_holder_due)
    request_list_from_holder (serve, now);
  gbd_cookie_holders_tick (serve, now);
  for (uint32_t i = 0; i < serve->sources.count; i++)
    gbd_platform_tick (serve->clients[i], now);
  if (serve->holder_client)
    gbd_platform_tick (serve->holder_client, now);
  gbd_cookie_members_tick (serve, now);
  gbd_cookie_evacuations_tick (serve, now);
  if (serve->relay)
    gbd_relay_tick (serve->relay, now);
  if (serve->peer_server)
    gbd_relay_tick (serve->peer_server, now);
}

void
gbd_cookie_servers_stop (gbd_cookie_serve_t *serve)
{
  gbd_cookie_evacuations_stop (serve);
  gbd_platform_watch_delete (serve->start_watch);
  gbd_platform_watch_delete (serve->servers_watch);
  gbd_cookie_members_stop (serve);
  gbd_relay_delete (serve->relay);
  gbd_relay_delete (serve->peer_server);
  gbd_platform_delete (serve->holder_client);
  for (uint32_t i = 0; i < serve->sources.count; i++)
    gbd_platform_delete (serve->clients[i]);
}

bool
gbd_cookie_servers_use_platform (const gbd_cookie_serve_t *serve)
{
  return serve->clients[serve->sources.current] == serve->servers_platform;
}

bool
gbd_cookie_servers_is_relay (const gbd_cookie_serve_t *serve)
{
  const gbd_settings_t *settings = serve->settings;
  for (uint32_t i = 0; i < settings->relays.count; i++)
    {
      if (gbd_address_is_equal (&settings->relays.addresses[i],
                                &settings->relay_listen))
        return true;
    }
  return false;
}

bool
gbd_cookie_servers_have_relays (const gbd_cookie_serve_t *serve)
{
  return serve->sources.count > 1;
}

void
gbd_cookie_log_bad_object (gbd_cookie_serve_t *serve, const char *kind,
                           const char *name, uint64_t version,
                           const char *problem, gbd_time_t now)
{
  gbd_event_log_emit (serve->event_log, GBD_EVENT_BAD_OBJECT, now,
                      json_pack ("{s:s, s:s, s:I, s:s}", "kind", kind,
                                 "object", name, "version",
                                 (json_int_t)version, "cause", problem));
}

/* Requests the list from the holder that was seen last, or, if no relay has a
   list, from the next holder that this relay knows.  Not called from
   callbacks, because it deletes the client of the previous one. */
static void
request_list_from_holder (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_address_t address = serve->holder;
  bool is_announced = serve->is_holder_due;
  serve->is_next_holder_due = false;
  serve->is_holder_due = false;
  if (serve->list_version
      || (!is_announced
          && !(serve->relay
               && gbd_relay_next_holder (serve->relay, &address, now))))
    return;
  serve->holder_asked_at = now;
  gbd_platform_t *client = open_relay (serve, &address);
  if (!client)
    return;
  char text[GBD_ADDRESS_TEXT_MAX];
  gbd_address_format (&address, text);
  gbd_event_log_emit (serve->event_log, GBD_EVENT_READER_ASKED, now,
                      json_pack ("{s:s}", "reader", text));
  gbd_platform_t *previous = serve->holder_client;
  serve->holder_client = client;
  if (!serve->start_watch)
    serve->start_watch
        = gbd_platform_watch_new (client, serve->platform_api->servers_kind,
                                  "", now, &start_callbacks, serve);
  gbd_platform_watch_move (serve->start_watch, client, true);
  gbd_platform_watch_refresh (serve->start_watch);
  if (previous && serve->document_client == previous)
    serve->is_document_requested = false;
  gbd_platform_delete (previous);
}

static gbd_platform_t *
open_relay (const gbd_cookie_serve_t *serve, const gbd_address_t *address)
{
  gbd_platform_settings_t settings = {
    .platform = *address,
    .platform_api = &gbd_platform_api_relay,
    .call_timeout_ms = RELAY_TIMEOUT_MS,
    .connect_timeout_ms = RELAY_CONNECT_TIMEOUT_MS,
    .list_timeout_ms = RELAY_LIST_TIMEOUT_MS,
    .attempts = 1,
    .watch_wait_ms = READER_SERVERS_WATCH_WAIT_MS,
    .breaker_pause_ms = RELAY_BREAKER_PAUSE_MS,
    .watch_argument = serve->relay_argument,
    .random_seed = serve->random_value,
  };
  return gbd_platform_new (serve->context, &settings);
}

static bool
start_peer_server (gbd_cookie_serve_t *serve, const char **error)
{
  serve->peer_server
      = gbd_relay_new (serve->context, &serve->settings->relay_listen,
                       serve->platform_api->servers_kind, error);
  if (!serve->peer_server)
    return false;
  gbd_relay_set_fill (serve->peer_server, fill_listing, serve);
  gbd_relay_set_holder_callback (serve->peer_server, gbd_cookie_holder_seen,
                                 serve);
  return true;
}

static void
documents_received (void *data, const json_t *documents)
{
  gbd_cookie_store_add_documents (data, documents);
}

static void
evacuations_received (void *data, const json_t *set, gbd_time_t requested_at)
{
  gbd_cookie_serve_t *serve = data;
  gbd_cookie_evacuations_receive (serve, set);
  if (serve->is_list_outdated)
    return;
  bool is_current = gbd_cookie_evacuations_confirm (serve, requested_at);
  if (!is_current && serve->servers_watch)
    gbd_platform_watch_refresh (serve->servers_watch);
}

/* The list of an instance that is not a relay may be outdated: only relays
   read from the platform all the time. */
static void
fill_listing (void *data)
{
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = serve->clock (NULL);
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  uint64_t version = serve->list_version;
  uint32_t capacity = gbd_pool_get_capacity (pool);
  if (!gbd_pool_is_synced (pool) || serve->is_listing || !version)
    return; /* an incomplete list */
  for (uint32_t i = 0; i < capacity; i++)
    {
      const gbd_pool_server_t *server
          = gbd_pool_peek (pool, (gbd_pool_handle_t)i);
      if (!server->is_used || !server->is_listed)
        continue;
      json_t *description = gbd_relay_describe_server (&server->entry, now);
      gbd_relay_apply (serve->peer_server, server->entry.name, version,
                       description);
      json_decref (description);
    }
  gbd_relay_publish_outdated (serve->peer_server, version, now);
}

/* Called when the process was paused.  Responses to its pending requests may
   be lost, and the data that it relays may be old. */
static void
refresh_watches (gbd_cookie_serve_t *serve)
{
  if (serve->relay)
    gbd_relay_disconnect (serve->relay);
  gbd_platform_watch_refresh (serve->servers_watch);
  gbd_platform_watch_refresh (serve->routes_watch);
}

/* Lists the relays other than this instance, in the order in which it uses
   them.
   @return number of relays in the list. */
static uint32_t
find_relays (const gbd_cookie_serve_t *serve, gbd_address_t *relays)
{
  const gbd_settings_t *settings = serve->settings;
  uint32_t count = 0;
  for (uint32_t i = 0; i < settings->relays.count; i++)
    {
      const gbd_address_t *address = &settings->relays.addresses[i];
      if (!gbd_address_is_equal (address, &settings->relay_listen))
        relays[count++] = *address;
    }
  sort_relays (serve, relays, count);
  return count;
}

/* Orders relays by rendezvous hash, so that readers spread over them. */
static void
sort_relays (const gbd_cookie_serve_t *serve, gbd_address_t *relays,
             uint32_t count)
{
  uint64_t self = gbd_id_from_name (serve->settings->name);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t best = i;
      for (uint32_t j = i + 1; j < count; j++)
        {
          char text[2][GBD_ADDRESS_TEXT_MAX];
          gbd_address_format (&relays[best], text[0]);
          gbd_address_format (&relays[j], text[1]);
          if (gbd_rendezvous_weight (gbd_id_from_name (text[1]), self)
              > gbd_rendezvous_weight (gbd_id_from_name (text[0]), self))
            best = j;
        }
      gbd_address_t chosen = relays[best];
      relays[best] = relays[i];
      relays[i] = chosen;
    }
}

static void
servers_reset (void *data)
{
  gbd_cookie_serve_t *serve = data;
  serve->is_listing = true;
  serve->listing_count++;
  if (serve->relay)
    gbd_relay_begin_listing (serve->relay);
  gbd_pool_begin_listing (gbd_director_get_pool (serve->director));
}

static void
server_changed (void *data, const char *name, uint64_t version, json_t *value)
{
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = serve->clock (NULL);
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  gbd_pool_entry_t entry;
  const char *problem = NULL;
  gbd_status_t status = GBD_ERROR_NOT_FOUND;
  const gbd_platform_api_t *api
      = json_is_array (value) ? &gbd_platform_api_relay : serve->platform_api;
  bool is_suspect = false;
  if (value)
    status = api->read_server (name, value, now, &entry, &problem);
  if (status == GBD_OK && serve->is_restoring)
    is_suspect = gbd_pool_correct_restored (pool, &entry);
  if (serve->relay)
    relay_change (serve, name, version, status == GBD_OK ? &entry : NULL, now);
  if (!value)
    {
      remove_server (serve, name, version, "deleted", now);
      return;
    }
  if (status != GBD_OK)
    {
      gbd_cookie_log_bad_object (serve, serve->platform_api->servers_kind,
                                 name, version, problem, now);
      remove_server (serve, name, version, problem, now);
      return;
    }
  status = gbd_pool_put (pool, &entry, now);
  if (status != GBD_OK)
    {
      gbd_cookie_log_bad_object (serve, serve->platform_api->servers_kind,
                                 name, version, gbd_status_strings[status],
                                 now);
      return;
    }
  if (is_suspect)
    gbd_pool_suspect (pool, entry.backend.id, now);
  gbd_event_log_emit (serve->event_log, GBD_EVENT_SERVER_LISTED, now,
                      json_pack ("{s:s, s:I, s:s, s:b}", "server", name,
                                 "version", (json_int_t)version, "state",
                                 entry.backend.state == GBD_BACKEND_READY
                                     ? "ready"
                                     : "draining",
                                 "cold", entry.warm_at != 0));
}

/* Passes an entry on to readers.
   @param entry NULL: deleted or invalid */
static void
relay_change (gbd_cookie_serve_t *serve, const char *name, uint64_t version,
              const gbd_pool_entry_t *entry, gbd_time_t now)
{
  bool is_known = entry && is_unchanged (serve, entry);
  if (is_known && !is_warming_up (serve, entry))
    return;
  json_t *description = entry ? gbd_relay_describe_server (entry, now) : NULL;
  /* A reader that starts later would otherwise count the warm-up from its own
     start. */
  if (is_known)
    gbd_relay_refresh (serve->relay, name, description);
  else
    gbd_relay_apply (serve->relay, name, version, description);
  json_decref (description);
}

/* Whether an entry, or the previous one of the same server, states a warm-up.
 */
static bool
is_warming_up (const gbd_cookie_serve_t *serve, const gbd_pool_entry_t *entry)
{
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  gbd_pool_handle_t handle
      = gbd_pool_find (pool, gbd_cookie_fingerprint (entry->backend.id));
  return entry->warm_at != 0
         || (handle != GBD_POOL_NONE
             && gbd_pool_peek (pool, handle)->entry.warm_at != 0);
}

/* Whether an entry contains nothing new for readers.  The remaining warm-up
   time changes with each heartbeat, but readers can compute it themselves. */
static bool
is_unchanged (const gbd_cookie_serve_t *serve, const gbd_pool_entry_t *entry)
{
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  gbd_pool_handle_t handle
      = gbd_pool_find (pool, gbd_cookie_fingerprint (entry->backend.id));
  if (serve->is_listing || handle == GBD_POOL_NONE)
    return false;
  const gbd_pool_server_t *server = gbd_pool_peek (pool, handle);
  const gbd_pool_entry_t *current = &server->entry;
  gbd_time_t difference = current->warm_at > entry->warm_at
                              ? current->warm_at - entry->warm_at
                              : entry->warm_at - current->warm_at;
  return server->is_listed && server->removal_due == GBD_TIME_NEVER
         && current->backend.id == entry->backend.id
         && current->backend.zone == entry->backend.zone
         && current->backend.state == entry->backend.state
         && gbd_address_is_equal (&current->backend.address,
                                  &entry->backend.address)
         && current->service == entry->service
         && current->slots == entry->slots
         && current->start_time_ms == entry->start_time_ms
         && (difference < WARM_UP_TOLERANCE || entry->warm_at == 0);
}

static void
remove_server (gbd_cookie_serve_t *serve, const char *name, uint64_t version,
               const char *cause, gbd_time_t now)
{
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  uint32_t capacity = gbd_pool_get_capacity (pool);
  for (uint32_t i = 0; i < capacity; i++)
    {
      const gbd_pool_server_t *server
          = gbd_pool_peek (pool, (gbd_pool_handle_t)i);
      if (!server->is_used || strcmp (server->entry.name, name) != 0)
        continue;
      gbd_pool_remove (pool, server->entry.backend.id, now);
      gbd_event_log_emit (serve->event_log, GBD_EVENT_SERVER_REMOVED, now,
                          json_pack ("{s:s, s:I, s:s, s:b}", "server", name,
                                     "version", (json_int_t)version, "cause",
                                     cause, "deferred", server->is_listed));
    }
}

static void
servers_confirmed (void *data, gbd_time_t requested_at)
{
  (void)requested_at;
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = serve->clock (NULL);
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  bool was_unreachable = gbd_pool_is_platform_unreachable (pool);
  gbd_platform_watch_delete (serve->start_watch);
  serve->start_watch = NULL;
  gbd_sources_record_success (&serve->sources, now);
  if (serve->is_list_outdated)
    {
      accept_outdated_list (serve, serve->servers_watch, now);
      return;
    }
  /* An outdated list contains entries that were deleted before its version,
     but not yet removed by the instance that sent it. */
  if (serve->is_base_outdated && !serve->is_listing)
    {
      gbd_platform_watch_relist (serve->servers_watch);
      return;
    }
  serve->is_base_outdated = false;
  serve->list_version = gbd_platform_watch_get_version (serve->servers_watch);
  /* An instance that starts does not know whether the platform was unreachable
     just before. */
  if (!serve->servers_confirmed_at)
    gbd_pool_extend_removal_grace (pool, now + GBD_POOL_REMOVAL_GRACE);
  serve->servers_confirmed_at = now;
  serve->is_restoring = false;
  gbd_pool_set_platform_unreachable (pool, false, now);
  if (serve->is_listing)
    gbd_pool_end_listing (pool, now);
  serve->is_listing = false;
  if (was_unreachable)
    {
      log_source (serve, GBD_EVENT_PLATFORM_FOUND, now);
      /* A reader of a relay learns from its hint whether there are newer
         routes. */
      if (gbd_cookie_servers_use_platform (serve))
        gbd_platform_watch_refresh (serve->routes_watch);
    }
  if (serve->relay && gbd_cookie_servers_use_platform (serve))
    gbd_relay_publish (
        serve->relay, gbd_platform_watch_get_version (serve->servers_watch),
        (uint32_t)(gbd_pool_get_removal_grace (pool, now) / GBD_MILLISECOND),
        now);
  if (gbd_sources_fail_back (&serve->sources, now))
    gbd_platform_watch_move (serve->servers_watch,
                             serve->clients[serve->sources.current], true);
  set_routes_watch_wait (serve, now);
}

/* The relay cannot reach the platform.  Its list is used until the next
   response; nothing is removed or reset because of it. */
static void
accept_outdated_list (gbd_cookie_serve_t *serve,
                      const gbd_platform_watch_t *watch, gbd_time_t now)
{
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  if (!gbd_pool_is_platform_unreachable (pool))
    serve->unreachable_since = now;
  gbd_pool_set_platform_unreachable (pool, true, now);
  gbd_pool_end_listing (pool, now);
  serve->is_listing = false;
  serve->is_base_outdated = watch == serve->servers_watch;
  serve->list_version = gbd_platform_watch_get_version (watch);
  if (serve->relay)
    gbd_relay_publish_outdated (serve->relay,
                                gbd_platform_watch_get_version (watch), now);
  gbd_event_log_emit (
      serve->event_log, GBD_EVENT_LIST_OUTDATED, now,
      json_pack ("{s:i}", "servers", (int)gbd_pool_get_count (pool)));
}

/* The platform was restored from an older copy: nothing is removed or reset
   because of it until backend servers have had time to write their entries
   again. */
static void
servers_restored (void *data, uint64_t position, uint32_t era)
{
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = serve->clock (NULL);
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  gbd_event_log_emit (
      serve->event_log, GBD_EVENT_RESTORED, now,
      json_pack ("{s:i, s:I, s:i, s:i}", "era_before",
                 (int)gbd_position_get_era (position), "revision_before",
                 (json_int_t)gbd_position_get_revision (position), "era",
                 (int)era, "servers", (int)gbd_pool_get_count (pool)));
  serve->is_restoring = true;
  if (!gbd_pool_is_platform_unreachable (pool))
    serve->unreachable_since = now;
  gbd_pool_set_platform_unreachable (pool, true, now);
  gbd_platform_watch_refresh (serve->routes_watch);
  if (serve->relay)
    gbd_cookie_store_restore_key (serve, now);
}

static void
servers_rejected (void *data, const json_t *body)
{
  gbd_cookie_serve_t *serve = data;
  const json_t *readers = json_object_get (body, "readers");
  if (!gbd_cookie_servers_use_platform (serve))
    gbd_cookie_evacuations_receive (serve,
                                    json_object_get (body, "evacuations"));
  if (gbd_cookie_servers_use_platform (serve) || !json_is_integer (readers))
    return;
  serve->is_relay_rejecting = true;
  gbd_sources_record_rejection (
      &serve->sources, (uint32_t)json_integer_value (readers),
      json_is_true (json_object_get (body, "newer")), serve->clock (NULL));
}

static void
servers_failed (void *data, gbd_time_t now)
{
  gbd_cookie_serve_t *serve = data;
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  if (!serve->servers_watch)
    return; /* its first request has failed at once */
  log_source (serve,
              gbd_cookie_servers_use_platform (serve) ? GBD_EVENT_PLATFORM_LOST
                                                      : GBD_EVENT_RELAY_LOST,
              now);
  bool was_at_relay = !gbd_cookie_servers_use_platform (serve);
  if (was_at_relay && !serve->is_relay_rejecting)
    serve->announcements[serve->sources.current].is_unanswered = true;
  serve->is_relay_rejecting = false;
  if (serve->relay)
    gbd_relay_disconnect (serve->relay);
  bool has_next = gbd_sources_fail_over (&serve->sources, now);
  set_routes_watch_wait (serve, now);
  /* Without a relay, no hint reports that the routes are stale.  A watch that
     is failing retries by itself, with pauses that limit the load on the
     platform. */
  if (was_at_relay && gbd_cookie_servers_use_platform (serve)
      && !serve->is_routes_watch_failing)
    gbd_platform_watch_refresh (serve->routes_watch);
  gbd_platform_watch_move (serve->servers_watch,
                           serve->clients[serve->sources.current], has_next);
  if (has_next || gbd_pool_is_platform_unreachable (pool)
      || gbd_sources_are_relays_starting (&serve->sources, now))
    return;
  gbd_pool_set_platform_unreachable (pool, true, now);
  serve->unreachable_since = now;
}

static void
servers_relay_metadata (void *data, uint32_t removal_grace_ms, uint64_t hint,
                        bool is_connected)
{
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = serve->clock (NULL);
  serve->is_list_outdated = !is_connected;
  gbd_pool_extend_removal_grace (gbd_director_get_pool (serve->director),
                                 now + removal_grace_ms * GBD_MILLISECOND);
  gbd_cookie_routes_check_version (serve, hint, now);
}

static void
start_list_metadata (void *data, uint32_t removal_grace_ms, uint64_t hint,
                     bool is_connected)
{
  gbd_cookie_serve_t *serve = data;
  serve->start_list = gbd_start_choose_list (!is_connected, serve->is_listing);
  gbd_event_log_emit (
      serve->event_log, GBD_EVENT_START_LIST, serve->clock (NULL),
      json_pack ("{s:s, s:b, s:b}", "list",
                 gbd_start_list_strings[serve->start_list], "connected",
                 is_connected, "listing", serve->is_listing));
  if (serve->start_list != GBD_START_LIST_IGNORED)
    servers_relay_metadata (data, removal_grace_ms, hint, is_connected);
}

static void
start_list_reset (void *data)
{
  const gbd_cookie_serve_t *serve = data;
  if (serve->start_list != GBD_START_LIST_IGNORED)
    servers_reset (data);
}

static void
start_list_changed (void *data, const char *name, uint64_t version,
                    json_t *value)
{
  const gbd_cookie_serve_t *serve = data;
  if (serve->start_list != GBD_START_LIST_IGNORED)
    server_changed (data, name, version, value);
}

static void
start_list_confirmed (void *data, gbd_time_t requested_at)
{
  gbd_cookie_serve_t *serve = data;
  if (serve->start_list != GBD_START_LIST_USED)
    {
      /* The request to the platform goes on. */
      if (serve->start_list == GBD_START_LIST_PROVISIONAL)
        accept_outdated_list (serve, serve->start_watch, serve->clock (NULL));
      serve->is_list_outdated = false;
      gbd_platform_watch_delete (serve->start_watch);
      serve->start_watch = NULL;
      return;
    }
  gbd_platform_watch_delete (serve->servers_watch);
  serve->servers_watch = serve->start_watch;
  serve->start_watch = NULL;
  gbd_platform_watch_set_callbacks (serve->servers_watch, &servers_callbacks);
  if (serve->relay)
    gbd_platform_watch_set_wait (serve->servers_watch,
                                 RELAY_SERVERS_WATCH_WAIT_MS);
  serve->sources.current = serve->start_source;
  servers_confirmed (data, requested_at);
}

static void
start_list_failed (void *data, gbd_time_t now)
{
  gbd_cookie_serve_t *serve = data;
  if (!serve->start_watch)
    return; /* its first request has failed at once */
  uint32_t count = serve->sources.count;
  if (!gbd_cookie_servers_have_relays (serve))
    {
      serve->is_next_holder_due = true;
      return;
    }
  uint32_t next = (serve->start_source + 1) % count;
  if (next == serve->sources.platform)
    next = (next + 1) % count;
  bool is_round_over = next <= serve->start_source;
  if (is_round_over)
    gbd_event_log_emit (serve->event_log, GBD_EVENT_RELAY_LOST, now,
                        json_pack ("{s:s, s:s, s:s}", "watch",
                                   serve->platform_api->servers_kind, "source",
                                   "relay", "cause", "no list at a start"));
  serve->is_next_holder_due = is_round_over;
  serve->start_source = next;
  gbd_platform_watch_move (serve->start_watch, serve->clients[next],
                           !is_round_over);
}

/* A reader of a relay learns from its hint if its own watch on the routes is
   unresponsive or served by a stale replica, so this watch may have a long
   wait.  At a start the relay is expected to respond soon.  Other instances
   use a short wait. */
static void
set_routes_watch_wait (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  const gbd_sources_t *sources = &serve->sources;
  bool is_reader
      = !serve->relay && gbd_cookie_servers_have_relays (serve)
        && (!gbd_cookie_servers_use_platform (serve) || !sources->has_responded
            || gbd_sources_are_relays_starting (sources, now));
  uint32_t wait_ms = is_reader ? READER_ROUTES_WATCH_WAIT_MS : 0;
  if (serve->relay)
    wait_ms = RELAY_ROUTES_WATCH_WAIT_MS;
  gbd_platform_watch_set_wait (serve->routes_watch, wait_ms);
  gbd_platform_watch_set_allow_stale (serve->routes_watch, is_reader);
}

static void
log_source (gbd_cookie_serve_t *serve, gbd_event_t event, gbd_time_t now)
{
  if (!gbd_event_log_admit (serve->event_log, event, now))
    return;
  json_t *fields = json_pack (
      "{s:s, s:s}", "watch", serve->platform_api->servers_kind, "source",
      gbd_cookie_servers_use_platform (serve) ? "platform" : "relay");
  if (event == GBD_EVENT_RELAY_LOST)
    json_object_set_new (fields, "cause",
                         json_string (serve->is_relay_rejecting
                                          ? "platform unreachable"
                                          : "no response"));
  if (event == GBD_EVENT_PLATFORM_FOUND)
    json_object_set_new (
        fields, "away_ms",
        json_integer (
            (json_int_t)((now - serve->unreachable_since) / GBD_MILLISECOND)));
  gbd_event_log_write (serve->event_log, event, fields);
}
