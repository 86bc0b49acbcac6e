#include "cookie_serve.h"

#include <string.h>

#include <glib.h>

/* A connection may stop delivering without a reset.  A watch on it is
   abandoned after its wait and CALL_TIMEOUT_MS: 2 s at a relay, 3 s at another
   instance, which leaves time for retries within the 5 s in which every
   instance must apply an evacuation. */
#define RELAY_WAIT_MS 1000
#define OTHER_WAIT_MS 2000
#define CALL_TIMEOUT_MS 1000
#define MAX_BACKOFF_MS 1000
/* A relay whose watch has not been confirmed for this time, longer than an
   abandoned request takes, does not know the set. */
#define CONFIRMATION_VALIDITY (3 * GBD_SECOND)
/* Time for which a relay may not know the set before its readers watch for
   themselves: a relay that starts knows it some tenths of a second later. */
#define UNKNOWN_SET_TIMEOUT GBD_SECOND
/* Longest time for which opening packets are dropped after a pause of the
   process, until a source has confirmed the set: if no relay has responded
   after UNKNOWN_SET_TIMEOUT, the platform is asked.  The rest is for a
   retry. */
#define HOLD_TIME (2 * GBD_SECOND)

struct gbd_cookie_evacuations
{
  gbd_platform_t *platform;
  gbd_platform_watch_t *watch; /* NULL while relays supply the set */
  GHashTable *names;           /* names of the objects that watch reported */
  gbd_evacuations_t reported;  /* the set at the last report of a change */
  GHashTable *checked;      /* names of evacuated zones that were compared with
                               those of the backend servers */
  gbd_time_t confirmed_at;  /* last response to watch since the last pause
                              of the process; GBD_TIME_NEVER: none */
  gbd_time_t received_at;   /* last set of any source; 0: none */
  gbd_time_t unknown_since; /* time since which relays have not known the
                               set, or have not sent it since a pause of the
                               process; 0: they have */
  gbd_time_t last_tick_at;
  gbd_time_t resumed_at; /* end of the last pause of the process; 0: none */
  bool is_watch_failing; /* the failure was logged */
  bool is_full;          /* that zones were left out was logged */
};

static bool is_watch_needed (const gbd_cookie_serve_t *serve, gbd_time_t now);
static void detect_pause (gbd_cookie_serve_t *serve, gbd_time_t now);
static void objects_reset (void *data);
static void object_changed (void *data, const char *name, uint64_t version,
                            json_t *value);
static void objects_confirmed (void *data, gbd_time_t requested_at);
static void objects_failed (void *data, gbd_time_t now);
static bool is_valid_set (const json_t *set);
static void apply (gbd_cookie_serve_t *serve, uint64_t position,
                   const char *const *names, uint32_t count, gbd_time_t now);
static void report_changes (gbd_cookie_serve_t *serve, gbd_time_t now);
static void report_differences (gbd_cookie_serve_t *serve, gbd_event_t event,
                                const gbd_evacuations_t *set,
                                const gbd_evacuations_t *other,
                                gbd_time_t now);
static void check_names (gbd_cookie_serve_t *serve, gbd_time_t now);
static void check_name (gbd_cookie_serve_t *serve,
                        const gbd_evacuation_t *evacuation, gbd_time_t now);
static uint32_t count_servers (const gbd_cookie_serve_t *serve,
                               gbd_zone_id_t zone);
static json_t *list_server_zones (const gbd_cookie_serve_t *serve);
static void publish (gbd_cookie_serve_t *serve, gbd_time_t now);
static json_t *list_zones (const gbd_evacuations_t *set);

static const gbd_platform_watch_callbacks_t callbacks = {
  .reset = objects_reset,
  .changed = object_changed,
  .confirmed = objects_confirmed,
  .failed = objects_failed,
};

bool
gbd_cookie_evacuations_start (gbd_cookie_serve_t *serve, const char **error)
{
  if (!serve->settings->zone_evacuation)
    return true;
  gbd_cookie_evacuations_t *state = g_new0 (gbd_cookie_evacuations_t, 1);
  bool is_relay = gbd_cookie_servers_is_relay (serve);
  gbd_platform_settings_t settings = {
    .platform = serve->settings->platform,
    .platform_api = serve->platform_api,
    .call_timeout_ms = CALL_TIMEOUT_MS,
    .attempts = 1,
    .watch_wait_ms = is_relay ? RELAY_WAIT_MS : OTHER_WAIT_MS,
    .max_backoff_ms = MAX_BACKOFF_MS,
    .allow_stale_first_list = !is_relay,
    .random_seed = serve->random_value,
  };
  serve->evacuations = state;
  state->confirmed_at = GBD_TIME_NEVER;
  state->names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  state->checked
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  state->platform = gbd_platform_new (serve->context, &settings);
  *error = "cannot create the platform client; raise the memory limit";
  if (!state->platform)
    return false;
  gbd_director_detect_pauses (serve->director);
  gbd_cookie_evacuations_tick (serve, serve->started_at);
  return true;
}

void
gbd_cookie_evacuations_stop (gbd_cookie_serve_t *serve)
{
  gbd_cookie_evacuations_t *state = serve->evacuations;
  if (!state)
    return;
  serve->evacuations = NULL;
  gbd_platform_watch_delete (state->watch);
  gbd_platform_delete (state->platform);
  g_hash_table_destroy (state->names);
  g_hash_table_destroy (state->checked);
  g_free (state);
}

void
gbd_cookie_evacuations_tick (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_cookie_evacuations_t *state = serve->evacuations;
  if (!state)
    return;
  detect_pause (serve, now);
  bool is_needed = is_watch_needed (serve, now);
  if (is_needed && !state->watch)
    state->watch = gbd_platform_watch_new (
        state->platform, serve->platform_api->evacuations_kind, "", now,
        &callbacks, serve);
  else if (!is_needed && state->watch)
    {
      gbd_platform_watch_delete (state->watch);
      state->watch = NULL;
      state->is_watch_failing = false;
    }
  gbd_platform_tick (state->platform, now);
  gbd_evacuations_tick (gbd_director_get_evacuations (serve->director), now);
  report_changes (serve, now);
  check_names (serve, now);
  publish (serve, now);
}

void
gbd_cookie_evacuations_receive (gbd_cookie_serve_t *serve, const json_t *set)
{
  gbd_cookie_evacuations_t *state = serve->evacuations;
  gbd_time_t now = serve->clock (NULL);
  if (!state)
    return;
  if (!is_valid_set (set))
    {
      if (!state->unknown_since)
        state->unknown_since = now;
      return;
    }
  state->unknown_since = 0;
  const char *names[GBD_EVACUATIONS_MAX];
  uint32_t count = 0;
  size_t index;
  json_t *name;
  json_array_foreach (json_array_get (set, 1), index, name)
  {
    if (count < GBD_EVACUATIONS_MAX)
      names[count++] = json_string_value (name);
  }
  apply (serve, (uint64_t)json_integer_value (json_array_get (set, 0)), names,
         count, now);
}

bool
gbd_cookie_evacuations_confirm (gbd_cookie_serve_t *serve,
                                gbd_time_t requested_at)
{
  const gbd_cookie_evacuations_t *state = serve->evacuations;
  if (!state)
    return true;
  if (requested_at < state->resumed_at)
    return false;
  if (!state->unknown_since)
    gbd_director_hold_openings (serve->director, 0);
  return true;
}

void
gbd_cookie_evacuations_add_status (gbd_cookie_serve_t *serve, json_t *status)
{
  const gbd_cookie_evacuations_t *state = serve->evacuations;
  if (!state)
    return;
  gbd_time_t now = serve->clock (NULL);
  const gbd_evacuations_t *set
      = gbd_director_peek_evacuations (serve->director);
  json_object_set_new (status, "evacuations_known",
                       json_boolean (set->is_known));
  json_object_set_new (status, "evacuated_zones", list_zones (set));
  json_object_set_new (status, "evacuations_from",
                       json_string (state->watch ? "platform" : "relay"));
  if (state->received_at)
    json_object_set_new (status, "evacuations_age_ms",
                         json_integer ((json_int_t)((now - state->received_at)
                                                    / GBD_MILLISECOND)));
}

void
gbd_cookie_evacuations_explain (const gbd_cookie_serve_t *serve,
                                json_t *fields)
{
  const gbd_evacuations_t *set
      = gbd_director_peek_evacuations (serve->director);
  if (set->count > 0)
    json_object_set_new (fields, "evacuated_zones", list_zones (set));
}

void
gbd_cookie_evacuations_get_calls (const gbd_cookie_serve_t *serve,
                                  gbd_platform_stats_t *stats)
{
  memset (stats, 0, sizeof *stats);
  if (serve->evacuations)
    gbd_platform_get_stats (serve->evacuations->platform, stats);
}

/* Whether this instance reads the set from the platform itself.  While the
   relays cannot reach the platform either, their readers leave it alone until
   it has responded to a request for the backend servers. */
static bool
is_watch_needed (const gbd_cookie_serve_t *serve, gbd_time_t now)
{
  const gbd_cookie_evacuations_t *state = serve->evacuations;
  if (gbd_cookie_servers_is_relay (serve)
      || !gbd_cookie_servers_have_relays (serve))
    return true;
  bool is_unknown = state->unknown_since
                    && now - state->unknown_since > UNKNOWN_SET_TIMEOUT;
  return !serve->sources.is_paced
         && (gbd_cookie_servers_use_platform (serve) || is_unknown);
}

/* The set may have changed during a pause of the process.  A relay does not
   pass it on until its watch has been confirmed. */
static void
detect_pause (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_cookie_evacuations_t *state = serve->evacuations;
  bool was_paused = state->last_tick_at
                    && now - state->last_tick_at > GBD_DIRECTOR_PAUSE_MIN;
  state->last_tick_at = now;
  if (!was_paused)
    return;
  state->confirmed_at = GBD_TIME_NEVER;
  state->resumed_at = now;
  state->unknown_since = now;
  if (state->watch)
    gbd_platform_watch_refresh (state->watch);
  if (gbd_director_peek_evacuations (serve->director)->is_known)
    gbd_director_hold_openings (serve->director, now + HOLD_TIME);
}

static void
objects_reset (void *data)
{
  const gbd_cookie_serve_t *serve = data;
  g_hash_table_remove_all (serve->evacuations->names);
}

/* The existence of an object is the order; its value is not read. */
static void
object_changed (void *data, const char *name, uint64_t version, json_t *value)
{
  gbd_cookie_serve_t *serve = data;
  if (!value)
    g_hash_table_remove (serve->evacuations->names, name);
  else if (name[0] && strlen (name) <= GBD_NAME_MAX)
    g_hash_table_add (serve->evacuations->names, g_strdup (name));
  else
    gbd_cookie_log_bad_object (
        serve, serve->platform_api->evacuations_kind, name, version,
        "the name is empty or over 63 bytes long", serve->clock (NULL));
}

static void
objects_confirmed (void *data, gbd_time_t requested_at)
{
  gbd_cookie_serve_t *serve = data;
  gbd_cookie_evacuations_t *state = serve->evacuations;
  gbd_time_t now = serve->clock (NULL);
  if (!state->watch)
    return;
  state->is_watch_failing = false;
  guint count = 0;
  gpointer *names = g_hash_table_get_keys_as_array (state->names, &count);
  /* A response may have been waiting to be read during a pause. */
  bool is_current = requested_at >= state->resumed_at;
  if (is_current)
    state->confirmed_at = now;
  apply (serve, gbd_platform_watch_get_version (state->watch),
         (const char *const *)names, count, now);
  g_free (names);
  if (is_current)
    gbd_director_hold_openings (serve->director, 0);
  else
    gbd_platform_watch_refresh (state->watch);
}

static void
objects_failed (void *data, gbd_time_t now)
{
  gbd_cookie_serve_t *serve = data;
  if (serve->evacuations->is_watch_failing)
    return;
  serve->evacuations->is_watch_failing = true;
  gbd_event_log_emit (serve->event_log, GBD_EVENT_PLATFORM_LOST, now,
                      json_pack ("{s:s, s:s}", "watch",
                                 serve->platform_api->evacuations_kind,
                                 "source", "platform"));
}

/* Whether a value is [position, [zone name, ...]]. */
static bool
is_valid_set (const json_t *set)
{
  const json_t *position = json_array_get (set, 0);
  const json_t *zones = json_array_get (set, 1);
  if (!json_is_integer (position) || json_integer_value (position) < 0
      || !json_is_array (zones))
    return false;
  size_t index;
  json_t *name;
  json_array_foreach (zones, index, name)
  {
    if (!json_is_string (name))
      return false;
  }
  return true;
}

static void
apply (gbd_cookie_serve_t *serve, uint64_t position, const char *const *names,
       uint32_t count, gbd_time_t now)
{
  gbd_status_t status
      = gbd_evacuations_update (gbd_director_get_evacuations (serve->director),
                                position, names, count, now);
  if (status != GBD_ERROR_STALE)
    serve->evacuations->received_at = now;
  gbd_cookie_set_relay_argument (serve);
  bool was_full = serve->evacuations->is_full;
  if (status != GBD_ERROR_STALE)
    serve->evacuations->is_full = status == GBD_ERROR_MEMORY;
  if (serve->evacuations->is_full && !was_full)
    gbd_cookie_log_bad_object (serve, serve->platform_api->evacuations_kind,
                               "", position, gbd_status_strings[status], now);
  report_changes (serve, now);
  publish (serve, now);
}

static void
report_changes (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_cookie_evacuations_t *state = serve->evacuations;
  const gbd_evacuations_t *set
      = gbd_director_peek_evacuations (serve->director);
  if (gbd_evacuations_are_equal (set, &state->reported))
    return;
  report_differences (serve, GBD_EVENT_ZONE_EVACUATED, set, &state->reported,
                      now);
  report_differences (serve, GBD_EVENT_ZONE_RETURNED, &state->reported, set,
                      now);
  state->reported = *set;
}

/* Logs an event for each zone of one set that the other one lacks. */
static void
report_differences (gbd_cookie_serve_t *serve, gbd_event_t event,
                    const gbd_evacuations_t *set,
                    const gbd_evacuations_t *other, gbd_time_t now)
{
  const gbd_evacuations_t *current
      = gbd_director_peek_evacuations (serve->director);
  for (uint32_t i = 0; i < set->count; i++)
    {
      const gbd_evacuation_t *evacuation = &set->zones[i];
      if (gbd_evacuations_contain (other, evacuation->zone))
        continue;
      g_hash_table_remove (serve->evacuations->checked, evacuation->name);
      gbd_event_log_emit (
          serve->event_log, event, now,
          json_pack ("{s:s, s:I, s:i}", "zone", evacuation->name, "position",
                     (json_int_t)current->position, "servers",
                     (int)count_servers (serve, evacuation->zone)));
    }
}

/* Compares the names of evacuated zones with those of the backend servers,
   once for each, when the list of backend servers is complete. */
static void
check_names (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  const gbd_evacuations_t *set
      = gbd_director_peek_evacuations (serve->director);
  if (!gbd_pool_is_synced (gbd_director_peek_pool (serve->director)))
    return;
  for (uint32_t i = 0; i < set->count; i++)
    {
      if (!g_hash_table_contains (serve->evacuations->checked,
                                  set->zones[i].name))
        check_name (serve, &set->zones[i], now);
    }
}

/* Only entries read from the platform contain the names of zones, so a reader
   of a relay leaves the warning to the relay. */
static void
check_name (gbd_cookie_serve_t *serve, const gbd_evacuation_t *evacuation,
            gbd_time_t now)
{
  bool is_unknown = count_servers (serve, evacuation->zone) == 0;
  json_t *zones = is_unknown ? list_server_zones (serve) : NULL;
  if (is_unknown && json_array_size (zones) == 0)
    {
      json_decref (zones);
      return;
    }
  g_hash_table_add (serve->evacuations->checked, g_strdup (evacuation->name));
  if (is_unknown)
    gbd_event_log_emit (serve->event_log, GBD_EVENT_UNKNOWN_ZONE, now,
                        json_pack ("{s:s, s:o}", "zone", evacuation->name,
                                   "server_zones", zones));
}

static uint32_t
count_servers (const gbd_cookie_serve_t *serve, gbd_zone_id_t zone)
{
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  uint32_t capacity = gbd_pool_get_capacity (pool);
  uint32_t count = 0;
  for (uint32_t i = 0; i < capacity; i++)
    {
      const gbd_pool_server_t *server
          = gbd_pool_peek (pool, (gbd_pool_handle_t)i);
      count += server->is_used && server->is_listed
               && server->entry.backend.zone == zone;
    }
  return count;
}

/* Returns the names of the zones that have backend servers, as far as they are
   known. */
static json_t *
list_server_zones (const gbd_cookie_serve_t *serve)
{
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  uint32_t capacity = gbd_pool_get_capacity (pool);
  json_t *found = json_object ();
  for (uint32_t i = 0; i < capacity; i++)
    {
      const gbd_pool_server_t *server
          = gbd_pool_peek (pool, (gbd_pool_handle_t)i);
      if (server->is_used && server->is_listed && server->entry.zone_name[0])
        json_object_set_new (found, server->entry.zone_name, json_true ());
    }
  json_t *zones = json_array ();
  const char *name;
  json_t *value;
  json_object_foreach (found, name, value)
  {
    json_array_append_new (zones, json_string (name));
  }
  json_decref (found);
  return zones;
}

/* Passes the set on to other instances. */
static void
publish (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  const gbd_cookie_evacuations_t *state = serve->evacuations;
  const gbd_evacuations_t *set
      = gbd_director_peek_evacuations (serve->director);
  gbd_relay_t *server = serve->relay ? serve->relay : serve->peer_server;
  if (!server)
    return;
  /* While the platform serves the backend servers to this relay but not the
     evacuations, its readers must watch these themselves. */
  bool is_outdated = serve->relay && gbd_cookie_servers_use_platform (serve)
                     && !gbd_pool_is_platform_unreachable (
                         gbd_director_peek_pool (serve->director))
                     && now - state->confirmed_at > CONFIRMATION_VALIDITY;
  gbd_relay_set_evacuations (server,
                             set->is_known && !is_outdated ? set : NULL);
}

static json_t *
list_zones (const gbd_evacuations_t *set)
{
  json_t *zones = json_array ();
  for (uint32_t i = 0; i < set->count; i++)
    json_array_append_new (zones, json_string (set->zones[i].name));
  return zones;
}
