#include "standins/platform_store.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gooseberrydrum/retry.h"
#include "standins/platform_state.h"

const char *const platform_verb_strings[PLATFORM_VERB_COUNT]
    = { "get", "list", "watch", "put", "delete" };

struct platform_store
{
  platform_state_t *current_state;
  platform_state_t *saved_copy; /* NULL unless "save_copy" was set */
  uint32_t era;
  platform_state_t *stale_snapshot; /* NULL unless "stale_reads" is set */
  /* For reads with allow_stale; NULL before the first of them. */
  platform_state_t *replica;
  gbd_time_t replica_copied_at;
  uint32_t lag_ms;
  gbd_time_t now;
  bool is_limiting_writes;
  bool is_limiting_reads;
  gbd_token_bucket_t writes;
  gbd_token_bucket_t reads;
  bool is_down;
  bool is_closing_watches;
  bool is_replaying_watches;
  uint32_t truncate_responses;
  uint32_t slow_ms;
  uint32_t drop_responses;
  json_t *calls;             /* kind -> verb -> count */
  json_t *stale_read_counts; /* kind -> count of reads with allow_stale */
  json_t *refused;           /* status -> count */
};

typedef void (*handler_t) (platform_store_t *, const platform_request_t *,
                           platform_reply_t *);

static void handle_get (platform_store_t *store, const platform_request_t *,
                        platform_reply_t *reply);
static void handle_list (platform_store_t *store, const platform_request_t *,
                         platform_reply_t *reply);
static void handle_watch (platform_store_t *store, const platform_request_t *,
                          platform_reply_t *reply);
static void handle_put (platform_store_t *store, const platform_request_t *,
                        platform_reply_t *reply);
static void handle_delete (platform_store_t *store, const platform_request_t *,
                           platform_reply_t *reply);
static bool is_write (const platform_request_t *request);
static bool is_rate_exceeded (platform_store_t *store,
                              const platform_request_t *request,
                              gbd_time_t now);
static bool check_version (platform_store_t *store,
                           const platform_request_t *request,
                           platform_reply_t *reply);
static const platform_state_t *
get_read_state (platform_store_t *store, const platform_request_t *request);
static void replace_snapshot (platform_store_t *store,
                              platform_state_t **snapshot, bool is_set);
static void restore_copy (platform_store_t *store);
static void increment_count (json_t *counts, const char *key);
static void count_call (platform_store_t *store,
                        const platform_request_t *request);

static const handler_t handlers[PLATFORM_VERB_COUNT]
    = { handle_get, handle_list, handle_watch, handle_put, handle_delete };

platform_store_t *
platform_store_new (uint32_t writes_per_second, uint32_t reads_per_second,
                    gbd_time_t now)
{
  platform_store_t *store = g_new0 (platform_store_t, 1);
  store->current_state = platform_state_new (PLATFORM_DELETED_MAX);
  store->era = 1;
  store->calls = json_object ();
  store->stale_read_counts = json_object ();
  store->refused = json_object ();
  store->is_limiting_writes = writes_per_second > 0;
  store->is_limiting_reads = reads_per_second > 0;
  gbd_token_bucket_init (&store->writes, writes_per_second,
                         MAX (writes_per_second, 1), now);
  gbd_token_bucket_init (&store->reads, reads_per_second,
                         MAX (reads_per_second, 1), now);
  return store;
}

void
platform_store_delete (platform_store_t *store)
{
  if (!store)
    return;
  platform_state_delete (store->current_state);
  platform_state_delete (store->saved_copy);
  platform_state_delete (store->stale_snapshot);
  platform_state_delete (store->replica);
  json_decref (store->calls);
  json_decref (store->stale_read_counts);
  json_decref (store->refused);
  g_free (store);
}

gbd_status_t
platform_store_load (platform_store_t *store, const json_t *objects)
{
  if (!json_is_object (objects))
    return GBD_ERROR_FORMAT;
  const char *key;
  json_t *value;
  json_object_foreach ((json_t *)objects, key, value)
  {
    const char *slash = strchr (key, '/');
    if (!slash || slash == key || !slash[1])
      return GBD_ERROR_FORMAT;
    char *kind = g_strndup (key, (gsize)(slash - key));
    platform_store_write (store, kind, slash + 1, json_incref (value));
    g_free (kind);
  }
  return GBD_OK;
}

uint64_t
platform_store_write (platform_store_t *store, const char *kind,
                      const char *name, json_t *value)
{
  return platform_state_write (store->current_state, kind, name, value);
}

const json_t *
platform_store_find (const platform_store_t *store, const char *kind,
                     const char *name)
{
  const platform_object_t *object
      = platform_state_find (store->current_state, kind, name);
  return object ? object->value : NULL;
}

void
platform_store_handle (platform_store_t *store,
                       const platform_request_t *request, gbd_time_t now,
                       platform_reply_t *reply)
{
  memset (reply, 0, sizeof *reply);
  store->now = now;
  reply->respond_at = now + store->slow_ms * GBD_MILLISECOND;
  count_call (store, request);
  if (store->is_down)
    reply->status = 503;
  else if (is_rate_exceeded (store, request, now))
    reply->status = 429;
  else
    handlers[request->verb](store, request, reply);

  if (reply->flags & PLATFORM_REPLY_WAIT)
    {
      if (store->is_closing_watches)
        reply->flags = PLATFORM_REPLY_DROPPED;
      return;
    }
  if (store->truncate_responses > 0)
    {
      store->truncate_responses--;
      reply->flags |= PLATFORM_REPLY_TRUNCATED;
    }
  if (reply->status == 200)
    {
      if (is_write (request) && store->drop_responses > 0)
        {
          store->drop_responses--;
          reply->flags |= PLATFORM_REPLY_DROPPED;
        }
      return;
    }
  char status[16];
  g_snprintf (status, sizeof status, "%d", reply->status);
  increment_count (store->refused, status);
}

void
platform_store_poll (platform_store_t *store,
                     const platform_request_t *request, gbd_time_t deadline,
                     gbd_time_t now, platform_reply_t *reply)
{
  memset (reply, 0, sizeof *reply);
  store->now = now;
  reply->respond_at = now + store->slow_ms * GBD_MILLISECOND;
  if (store->is_closing_watches)
    {
      reply->flags = PLATFORM_REPLY_DROPPED;
      return;
    }
  if (store->is_down)
    {
      reply->status = 503;
      return;
    }
  handle_watch (store, request, reply);
  if (!(reply->flags & PLATFORM_REPLY_WAIT) || now < deadline)
    return;
  reply->flags = 0;
  reply->status = 200;
  reply->body = json_pack (
      "{s:I, s:[]}", "version",
      (json_int_t)platform_state_get_version (get_read_state (store, request)),
      "changes");
}

gbd_status_t
platform_store_set_switches (platform_store_t *store, const json_t *switches)
{
  int down = store->is_down;
  int stale_reads = store->stale_snapshot != NULL;
  int close_watches = store->is_closing_watches;
  int replay = store->is_replaying_watches;
  int compact = 0;
  int save_copy = 0;
  int is_restored = 0;
  json_int_t lag_ms = store->lag_ms;
  json_int_t slow_ms = store->slow_ms;
  json_int_t drop_count = store->drop_responses;
  json_int_t truncate_count = store->truncate_responses;
  json_error_t error;
  int failed = json_unpack_ex (
      (json_t *)switches, &error, JSON_STRICT,
      "{s?b, s?I, s?I, s?b, s?b, s?b, s?I, s?I, s?b, s?b, s?b}", "down", &down,
      "slow_ms", &slow_ms, "lose_answers", &drop_count, "stale_reads",
      &stale_reads, "cut_watches", &close_watches, "replay_watches", &replay,
      "garble_answers", &truncate_count, "lag_ms", &lag_ms, "forget_history",
      &compact, "save_copy", &save_copy, "restore", &is_restored);
  if (failed || slow_ms < 0 || slow_ms > UINT32_MAX || drop_count < 0
      || drop_count > UINT32_MAX || truncate_count < 0
      || truncate_count > UINT32_MAX || lag_ms < 0 || lag_ms > UINT32_MAX)
    return GBD_ERROR_FORMAT;
  store->is_down = down;
  store->is_closing_watches = close_watches;
  store->is_replaying_watches = replay;
  store->truncate_responses = (uint32_t)truncate_count;
  store->slow_ms = (uint32_t)slow_ms;
  store->drop_responses = (uint32_t)drop_count;
  store->lag_ms = (uint32_t)lag_ms;
  if (compact)
    platform_state_compact (store->current_state);
  if (save_copy)
    replace_snapshot (store, &store->saved_copy, true);
  if (is_restored && store->saved_copy)
    restore_copy (store);
  if ((store->stale_snapshot != NULL) != (stale_reads != 0))
    replace_snapshot (store, &store->stale_snapshot, stale_reads);
  return GBD_OK;
}

uint32_t
platform_store_get_era (const platform_store_t *store)
{
  return store->era;
}

json_t *
platform_store_get_stats (const platform_store_t *store)
{
  return json_pack (
      "{s:O, s:O, s:O, s:I, s:I}", "calls", store->calls, "lagging",
      store->stale_read_counts, "refused", store->refused, "version",
      (json_int_t)platform_state_get_version (store->current_state), "objects",
      (json_int_t)platform_state_get_count (store->current_state));
}

static void
handle_get (platform_store_t *store, const platform_request_t *request,
            platform_reply_t *reply)
{
  const platform_object_t *object = platform_state_find (
      get_read_state (store, request), request->kind, request->name);
  if (!object)
    {
      reply->status = 404;
      return;
    }
  reply->status = 200;
  reply->body
      = json_pack ("{s:I, s:O}", "version", (json_int_t)object->version,
                   "value", object->value);
}

static void
handle_list (platform_store_t *store, const platform_request_t *request,
             platform_reply_t *reply)
{
  const platform_state_t *state = get_read_state (store, request);
  reply->status = 200;
  reply->body = json_pack (
      "{s:I, s:o}", "version", (json_int_t)platform_state_get_version (state),
      "items", platform_state_collect (state, request->kind, 0, false));
}

static void
handle_watch (platform_store_t *store, const platform_request_t *request,
              platform_reply_t *reply)
{
  const platform_state_t *state = get_read_state (store, request);
  if (request->version < platform_state_get_compacted_version (state)
      || (!request->allow_stale
          && request->version > platform_state_get_version (state)))
    {
      reply->status = 410;
      return;
    }
  json_t *changes
      = platform_state_collect (state, request->kind, request->version, true);
  if (json_array_size (changes) == 0)
    {
      json_decref (changes);
      reply->flags = PLATFORM_REPLY_WAIT;
      return;
    }
  if (store->is_replaying_watches)
    {
      json_decref (changes);
      changes = platform_state_collect (state, request->kind, 0, true);
    }
  reply->status = 200;
  reply->body = json_pack ("{s:I, s:o}", "version",
                           (json_int_t)platform_state_get_version (state),
                           "changes", changes);
}

static void
handle_put (platform_store_t *store, const platform_request_t *request,
            platform_reply_t *reply)
{
  if (request->body_length > PLATFORM_VALUE_MAX)
    {
      reply->status = 413;
      return;
    }
  json_t *value = json_loadb (request->body, request->body_length,
                              JSON_DECODE_ANY, NULL);
  if (!value || json_is_null (value))
    {
      json_decref (value);
      reply->status = 400;
      return;
    }
  if (!check_version (store, request, reply))
    {
      json_decref (value);
      return;
    }
  uint64_t version
      = platform_store_write (store, request->kind, request->name, value);
  reply->status = 200;
  reply->body = json_pack ("{s:I}", "version", (json_int_t)version);
}

static void
handle_delete (platform_store_t *store, const platform_request_t *request,
               platform_reply_t *reply)
{
  if (!check_version (store, request, reply))
    return;
  if (request->version == 0)
    {
      reply->status = 404;
      return;
    }
  uint64_t version
      = platform_store_write (store, request->kind, request->name, NULL);
  reply->status = 200;
  reply->body = json_pack ("{s:I}", "version", (json_int_t)version);
}

static bool
is_write (const platform_request_t *request)
{
  return request->verb == PLATFORM_PUT || request->verb == PLATFORM_DELETE;
}

static bool
is_rate_exceeded (platform_store_t *store, const platform_request_t *request,
                  gbd_time_t now)
{
  if (request->allow_stale)
    return false;
  if (is_write (request))
    return store->is_limiting_writes
           && !gbd_token_bucket_take (&store->writes, now);
  return store->is_limiting_reads
         && !gbd_token_bucket_take (&store->reads, now);
}

static bool
check_version (platform_store_t *store, const platform_request_t *request,
               platform_reply_t *reply)
{
  const platform_object_t *object = platform_state_find (
      store->current_state, request->kind, request->name);
  uint64_t version = object ? object->version : 0;
  if (request->version == version)
    return true;
  reply->status = 409;
  json_t *value = object ? json_incref (object->value) : json_null ();
  reply->body = json_pack ("{s:I, s:o}", "version", (json_int_t)version,
                           "value", value);
  return false;
}

static const platform_state_t *
get_read_state (platform_store_t *store, const platform_request_t *request)
{
  if (store->stale_snapshot)
    return store->stale_snapshot;
  if (!request->allow_stale || store->lag_ms == 0)
    return store->current_state;
  if (!store->replica
      || store->now - store->replica_copied_at
             >= store->lag_ms * GBD_MILLISECOND)
    {
      replace_snapshot (store, &store->replica, true);
      store->replica_copied_at = store->now;
    }
  return store->replica;
}

static void
replace_snapshot (platform_store_t *store, platform_state_t **snapshot,
                  bool is_set)
{
  platform_state_delete (*snapshot);
  *snapshot = is_set ? platform_state_copy (store->current_state) : NULL;
}

static void
restore_copy (platform_store_t *store)
{
  platform_state_delete (store->current_state);
  store->current_state = platform_state_copy (store->saved_copy);
  replace_snapshot (store, &store->replica, false);
  store->era++;
}

static void
increment_count (json_t *counts, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (counts, key));
  json_object_set_new (counts, key, json_integer (value + 1));
}

static void
count_call (platform_store_t *store, const platform_request_t *request)
{
  json_t *verbs = json_object_get (store->calls, request->kind);
  if (!verbs)
    {
      verbs = json_object ();
      json_object_set_new (store->calls, request->kind, verbs);
    }
  increment_count (verbs, platform_verb_strings[request->verb]);
  if (request->allow_stale)
    increment_count (store->stale_read_counts, request->kind);
}
