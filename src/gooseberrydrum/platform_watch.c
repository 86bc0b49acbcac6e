#include "platform_private.h"

#include <string.h>

#include "gooseberrydrum/position.h"

/* Limit for a page of a listing that keeps arriving. */
#define LISTING_TIME_MAX (10 * GBD_SECOND)

struct gbd_platform_watch
{
  gbd_platform_t *platform;
  char *kind;
  char *prefix;
  gbd_platform_watch_callbacks_t callbacks;
  void *data;
  bool is_listed;       /* the current listing is complete */
  char *after;          /* last name of the previous page; NULL: first page */
  uint32_t listing_era; /* era of the first page of the current listing */
  uint64_t oldest_page_version; /* lowest version among the pages of the
                                   current listing */
  bool has_listed_before;       /* at least one listing was completed */
  bool allow_stale;             /* the latest request allows a stale read */
  bool allow_stale_polls;       /* long polls allow stale reads */
  uint64_t version; /* all changes up to this version were reported */
  GHashTable *reported_versions; /* name -> version, as uint64_t */
  gbd_http_call_t *http_call;
  gbd_time_t requested_at;
  gbd_time_t unconnected_since; /* for gbd_platform_is_connect_late() */
  gbd_time_t timeout_at;
  size_t received; /* bytes of the response to a listing at the last tick */
  gbd_time_t retry_at;
  bool is_retry;   /* the last attempt failed, or a refresh was requested */
  bool is_refresh; /* a refresh was requested; no response has arrived since */
  uint32_t wait_ms;  /* 0: the client's setting */
  uint32_t pause_ms; /* 0: the client's setting */
  bool has_moved; /* the watch moved to another client; its first request there
                     has no back-off */
  gbd_backoff_t backoff;
  bool is_reporting; /* inside a callback, which defers the deletion */
  bool is_deleted;
};

static void send_request (gbd_platform_watch_t *watch);
static void extend_timeout (gbd_platform_watch_t *watch);
static void receive_response (void *data, const gbd_http_response_t *response);
static bool check_era (gbd_platform_watch_t *watch,
                       const gbd_platform_result_t *result);
static void apply_response (gbd_platform_watch_t *watch,
                            const gbd_platform_result_t *result);
static void report_view (gbd_platform_watch_t *watch,
                         const gbd_platform_result_t *result);
static void report_page (gbd_platform_watch_t *watch,
                         const gbd_platform_result_t *result, json_t *items);
static void report_items (gbd_platform_watch_t *watch, json_t *items);
static void report_item (gbd_platform_watch_t *watch, json_t *item);
static void end_retries (gbd_platform_watch_t *watch);
static void init_backoff (gbd_platform_watch_t *watch, gbd_time_t first);
static void back_off (gbd_platform_watch_t *watch);
static void restart_listing (gbd_platform_watch_t *watch);
static bool is_unreported (gbd_platform_watch_t *watch, const char *name,
                           uint64_t version, bool is_deletion);

gbd_platform_watch_t *
gbd_platform_watch_new (gbd_platform_t *platform, const char *kind,
                        const char *prefix, gbd_time_t now,
                        const gbd_platform_watch_callbacks_t *callbacks,
                        void *data)
{
  gbd_platform_watch_t *watch = g_new0 (gbd_platform_watch_t, 1);
  platform->now = MAX (platform->now, now);
  watch->platform = platform;
  watch->kind = g_strdup (kind);
  watch->prefix = g_strdup (prefix);
  watch->callbacks = *callbacks;
  watch->data = data;
  watch->requested_at = GBD_TIME_NEVER;
  watch->reported_versions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  init_backoff (watch, GBD_PLATFORM_BACKOFF_FIRST);
  g_ptr_array_add (platform->watches, watch);
  send_request (watch);
  return watch;
}

void
gbd_platform_watch_delete (gbd_platform_watch_t *watch)
{
  if (!watch || watch->is_deleted)
    return;
  g_ptr_array_remove (watch->platform->watches, watch);
  watch->is_deleted = true;
  if (!watch->is_reporting)
    gbd_platform_watch_free (watch);
}

void
gbd_platform_watch_move (gbd_platform_watch_t *watch, gbd_platform_t *platform,
                         bool is_immediate)
{
  if (watch->platform == platform)
    return;
  if (watch->http_call)
    gbd_http_cancel (watch->http_call);
  watch->http_call = NULL;
  g_ptr_array_remove (watch->platform->watches, watch);
  platform->now = MAX (platform->now, watch->platform->now);
  watch->platform = platform;
  g_ptr_array_add (platform->watches, watch);
  watch->has_moved = is_immediate;
  /* Two servers may split a listing into pages at different names. */
  if (!watch->is_listed)
    restart_listing (watch);
}

void
gbd_platform_watch_set_callbacks (
    gbd_platform_watch_t *watch,
    const gbd_platform_watch_callbacks_t *callbacks)
{
  watch->callbacks = *callbacks;
}

void
gbd_platform_watch_set_wait (gbd_platform_watch_t *watch, uint32_t wait_ms)
{
  watch->wait_ms = wait_ms;
}

void
gbd_platform_watch_set_pause (gbd_platform_watch_t *watch, uint32_t pause_ms)
{
  watch->pause_ms = pause_ms;
}

void
gbd_platform_watch_set_allow_stale (gbd_platform_watch_t *watch,
                                    bool allow_stale)
{
  watch->allow_stale_polls = allow_stale;
}

void
gbd_platform_watch_refresh (gbd_platform_watch_t *watch)
{
  if (watch->http_call && (watch->is_retry || !watch->is_listed))
    return;
  if (watch->http_call)
    gbd_http_cancel (watch->http_call);
  watch->http_call = NULL;
  watch->is_retry = true;
  watch->is_refresh = true;
  watch->retry_at = watch->platform->now;
  gbd_breaker_report (&watch->platform->breaker, true, watch->platform->now);
}

void
gbd_platform_watch_relist (gbd_platform_watch_t *watch)
{
  restart_listing (watch);
  watch->retry_at = 0;
}

bool
gbd_platform_watch_is_responding (const gbd_platform_watch_t *watch)
{
  return watch->has_listed_before
         || (watch->http_call && gbd_http_is_responding (watch->http_call));
}

uint64_t
gbd_platform_watch_get_version (const gbd_platform_watch_t *watch)
{
  return watch->version;
}

void
gbd_platform_watch_free (gbd_platform_watch_t *watch)
{
  if (watch->http_call)
    gbd_http_cancel (watch->http_call);
  g_hash_table_destroy (watch->reported_versions);
  g_free (watch->kind);
  g_free (watch->after);
  g_free (watch->prefix);
  g_free (watch);
}

void
gbd_platform_watch_tick (gbd_platform_watch_t *watch)
{
  gbd_platform_t *platform = watch->platform;
  if (watch->http_call)
    {
      extend_timeout (watch);
      if (platform->now < watch->timeout_at
          && !gbd_platform_is_connect_late (platform, watch->http_call,
                                            &watch->unconnected_since))
        return;
      gbd_platform_cancel_timed_out (platform, watch->http_call, false);
      watch->http_call = NULL;
      back_off (watch);
      return;
    }
  if (platform->now < watch->retry_at)
    return;
  if (watch->is_retry && !gbd_platform_spend_retry (platform))
    {
      back_off (watch);
      return;
    }
  send_request (watch);
}

static void
send_request (gbd_platform_watch_t *watch)
{
  gbd_platform_t *platform = watch->platform;
  /* A retry does not wait for changes: it may be the trial call of the circuit
     breaker, which rejects all other calls until the response arrives. */
  bool is_long_poll = watch->is_listed && !watch->is_retry;
  uint32_t longest_ms
      = watch->wait_ms ? watch->wait_ms : platform->settings.watch_wait_ms;
  uint32_t wait_ms = is_long_poll ? longest_ms : 0;
  const gbd_platform_api_t *platform_api = platform->settings.platform_api;
  gbd_platform_request_t request = { 0 };
  watch->allow_stale = watch->is_listed
                           ? watch->allow_stale_polls && !watch->is_refresh
                           : !watch->has_listed_before
                                 && platform->settings.allow_stale_first_list;
  if (watch->is_listed)
    platform_api->watch (
        watch->kind,
        gbd_platform_get_request_version (platform, watch->version), wait_ms,
        watch->allow_stale, &request);
  else
    platform_api->list (watch->kind, watch->after, watch->allow_stale,
                        &request);
  if (platform->settings.watch_argument
      && platform->settings.watch_argument[0])
    {
      char *path = request.path;
      request.path = g_strconcat (path, strchr (path, '?') ? "&" : "?",
                                  platform->settings.watch_argument, NULL);
      g_free (path);
    }
  uint32_t timeout_ms = watch->is_listed
                            ? wait_ms + platform->settings.call_timeout_ms
                            : platform->settings.list_timeout_ms;
  watch->has_moved = false;
  watch->requested_at = platform->now;
  watch->unconnected_since = 0;
  watch->received = 0;
  watch->timeout_at = platform->now + timeout_ms * GBD_MILLISECOND;
  gbd_retry_budget_earn (&platform->budget);
  watch->http_call = gbd_platform_start (
      platform, request.method, request.path, NULL, receive_response, watch);
  g_free (request.path);
  if (!watch->http_call)
    back_off (watch);
}

/* A listing is not abandoned while its response arrives: when many instances
   list at once, the platform's link may need longer than any sensible time-out
   for all of them, and to begin again would only add to its load. */
static void
extend_timeout (gbd_platform_watch_t *watch)
{
  gbd_platform_t *platform = watch->platform;
  size_t received = gbd_http_get_response_length (watch->http_call);
  if (watch->is_listed || received == watch->received)
    return;
  watch->received = received;
  watch->timeout_at = MIN (
      platform->now + platform->settings.list_timeout_ms * GBD_MILLISECOND,
      watch->requested_at + LISTING_TIME_MAX);
}

static void
receive_response (void *data, const gbd_http_response_t *response)
{
  gbd_platform_watch_t *watch = data;
  gbd_platform_result_t result;
  watch->http_call = NULL;
  gbd_platform_evaluate_response (watch->platform, response, false, &result);

  watch->is_reporting = true;
  apply_response (watch, &result);
  watch->is_reporting = false;
  json_decref (result.body);
  if (watch->is_deleted)
    {
      gbd_platform_watch_free (watch);
      return;
    }
  /* At most one request in each tick, however fast the responses arrive,
     except for the pages of a listing. */
  if (watch->has_moved
      || (!watch->is_retry
          && (watch->after
              || (watch->requested_at < watch->platform->now
                  && watch->platform->now >= watch->retry_at))))
    send_request (watch);
}

/* Reports that the store was restored.  A list of the platform itself is then
   requested again: the changes since a position of an earlier era are not
   complete.  A relay has compared the two lists.
   @return whether the response must not be applied. */
static bool
check_era (gbd_platform_watch_t *watch, const gbd_platform_result_t *result)
{
  bool has_eras = watch->platform->settings.platform_api->era_header;
  uint32_t era
      = has_eras ? result->era : gbd_position_get_era (result->version);
  if (!watch->is_listed)
    {
      if (!watch->after || era <= watch->listing_era)
        return false;
      restart_listing (watch);
      end_retries (watch);
      watch->retry_at = 0;
      return true;
    }
  if (era <= gbd_position_get_era (watch->version))
    return false;
  if (watch->callbacks.restored)
    watch->callbacks.restored (watch->data, watch->version, era);
  if (!has_eras)
    return false;
  end_retries (watch);
  gbd_platform_watch_relist (watch);
  if (result->is_failure)
    back_off (watch);
  return true;
}

static void
apply_response (gbd_platform_watch_t *watch,
                const gbd_platform_result_t *result)
{
  if (check_era (watch, result))
    return;
  if (result->status == GBD_ERROR_STALE)
    {
      /* The platform no longer stores the changes since the last version. */
      if (!watch->callbacks.compacted
          || watch->callbacks.compacted (watch->data))
        restart_listing (watch);
      else
        back_off (watch);
      return;
    }
  json_t *items
      = json_object_get (result->body, watch->is_listed ? "changes" : "items");
  uint32_t pause_ms = watch->pause_ms
                          ? watch->pause_ms
                          : watch->platform->settings.watch_pause_ms;
  gbd_time_t pause_end = watch->platform->now + pause_ms * GBD_MILLISECOND;
  if (result->status == GBD_OK && watch->allow_stale
      && result->version < watch->version)
    {
      /* The replica does not have any unreported changes yet. */
      end_retries (watch);
      watch->retry_at = pause_end;
      if (watch->callbacks.confirmed)
        watch->callbacks.confirmed (watch->data, watch->requested_at);
      return;
    }
  /* A version older than the reported one is a stale read that was not
     allowed. */
  if (result->status != GBD_OK || !json_is_array (items)
      || result->version < watch->version)
    {
      report_view (watch, result);
      if (result->is_failure && result->body && watch->callbacks.rejected)
        watch->callbacks.rejected (watch->data, result->body);
      back_off (watch);
      return;
    }
  end_retries (watch);
  watch->retry_at = 0;
  /* There is no pause after a stale listing, so that the changes it lacks
     arrive immediately. */
  if (json_array_size (items) > 0 && (watch->is_listed || !watch->allow_stale))
    watch->retry_at = pause_end;
  report_view (watch, result);
  if (watch->callbacks.relay_metadata)
    watch->callbacks.relay_metadata (
        watch->data,
        (uint32_t)json_integer_value (
            json_object_get (result->body, "settling_ms")),
        (uint64_t)json_integer_value (json_object_get (result->body, "hint")),
        !json_is_false (json_object_get (result->body, "connected")));
  const json_t *documents = json_object_get (result->body, "documents");
  if (watch->callbacks.documents && json_object_size (documents) > 0)
    watch->callbacks.documents (watch->data, documents);
  const json_t *evacuations = json_object_get (result->body, "evacuations");
  if (watch->callbacks.evacuations && evacuations)
    watch->callbacks.evacuations (watch->data, evacuations,
                                  watch->requested_at);
  if (!watch->is_listed)
    report_page (watch, result, items);
  else
    {
      report_items (watch, items);
      watch->version = result->version;
    }
  if (!watch->is_deleted && watch->is_listed && watch->callbacks.confirmed)
    watch->callbacks.confirmed (watch->data, watch->requested_at);
}

static void
report_view (gbd_platform_watch_t *watch, const gbd_platform_result_t *result)
{
  const json_t *view = json_object_get (result->body, "view");
  if (view && watch->callbacks.group_view)
    watch->callbacks.group_view (watch->data, view);
}

static void
report_page (gbd_platform_watch_t *watch, const gbd_platform_result_t *result,
             json_t *items)
{
  if (!watch->after)
    {
      g_hash_table_remove_all (watch->reported_versions);
      watch->oldest_page_version = result->version;
      watch->listing_era = result->era;
      if (watch->callbacks.reset)
        watch->callbacks.reset (watch->data);
    }
  /* Pages may come from replicas with different versions. */
  watch->oldest_page_version
      = MIN (watch->oldest_page_version, result->version);
  report_items (watch, items);
  json_t *last = json_array_get (items, json_array_size (items) - 1);
  const char *name = json_string_value (json_object_get (last, "name"));
  g_free (watch->after);
  watch->after = NULL;
  if (name && json_is_true (json_object_get (result->body, "more")))
    {
      watch->after = g_strdup (name);
      return;
    }
  /* Changes made between two pages are newer than the oldest page, so the
     next request returns them. */
  if (!watch->has_listed_before)
    init_backoff (watch, GBD_PLATFORM_BACKOFF_LISTED);
  watch->is_listed = true;
  watch->has_listed_before = true;
  watch->version = watch->oldest_page_version;
}

static void
report_items (gbd_platform_watch_t *watch, json_t *items)
{
  size_t index;
  json_t *item;
  json_array_foreach (items, index, item)
  {
    if (!watch->is_deleted)
      report_item (watch, item);
  }
}

static void
report_item (gbd_platform_watch_t *watch, json_t *item)
{
  const char *name = json_string_value (json_object_get (item, "name"));
  json_t *value = json_object_get (item, "value");
  uint64_t version
      = (uint64_t)json_integer_value (json_object_get (item, "version"));
  if (!name || !value || !g_str_has_prefix (name, watch->prefix)
      || !is_unreported (watch, name, version, json_is_null (value)))
    return;
  if (json_is_null (value))
    {
      value = NULL;
      g_hash_table_remove (watch->reported_versions, name);
    }
  watch->callbacks.changed (watch->data, name, version, value);
}

static void
end_retries (gbd_platform_watch_t *watch)
{
  watch->is_retry = false;
  watch->is_refresh = false;
  gbd_backoff_reset (&watch->backoff);
}

static void
init_backoff (gbd_platform_watch_t *watch, gbd_time_t first)
{
  gbd_platform_t *platform = watch->platform;
  gbd_backoff_init (&watch->backoff, first,
                    platform->settings.max_backoff_ms * GBD_MILLISECOND,
                    platform->next_seed++);
}

static void
back_off (gbd_platform_watch_t *watch)
{
  watch->is_retry = true;
  watch->retry_at = watch->platform->now + gbd_backoff_next (&watch->backoff);
  if (!watch->is_deleted && watch->callbacks.failed)
    watch->callbacks.failed (watch->data, watch->platform->now);
  if (watch->has_moved && !watch->is_reporting)
    send_request (watch);
}

static void
restart_listing (gbd_platform_watch_t *watch)
{
  watch->is_listed = false;
  g_free (watch->after);
  watch->after = NULL;
}

/* Whether a change has not been reported yet; the platform may replay changes.
   A deletion may have the same version as the change before it; the deletion
   is new if its object has been reported in that version or an older one, and
   has not been deleted since. */
static bool
is_unreported (gbd_platform_watch_t *watch, const char *name, uint64_t version,
               bool is_deletion)
{
  const uint64_t *reported_version
      = g_hash_table_lookup (watch->reported_versions, name);
  if (is_deletion)
    return reported_version && *reported_version <= version;
  if (watch->is_listed && version <= watch->version)
    return false;
  if (reported_version && *reported_version >= version)
    return false;
  uint64_t *copy = g_new (uint64_t, 1);
  *copy = version;
  g_hash_table_replace (watch->reported_versions, g_strdup (name), copy);
  return true;
}
