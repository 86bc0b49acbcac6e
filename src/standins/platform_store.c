#include "standins/platform_store.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gooseberrydrum/retry.h"

const char *const platform_verb_strings[PLATFORM_VERB_COUNT]
    = { "get", "list", "watch", "put", "delete" };

typedef struct
{
  char *kind;
  char *name;
  uint64_t version;
  json_t *value; /* NULL once deleted */
} object_t;

/* One state of all objects; the second one serves stale reads. */
typedef struct
{
  GHashTable *objects; /* "kind/name" -> object_t */
  uint64_t version;    /* newest change */
  uint64_t forgotten;  /* newest deletion that is no longer known */
} state_t;

struct platform_store
{
  state_t now;
  state_t stale;   /* objects NULL unless reads are stale */
  GQueue *deleted; /* keys of deleted objects, oldest first */
  bool is_limiting_writes;
  bool is_limiting_reads;
  gbd_token_bucket_t writes;
  gbd_token_bucket_t reads;
  bool is_down;
  bool is_cutting_watches;
  bool is_replaying_watches;
  uint32_t garble_answers;
  uint32_t slow_ms;
  uint32_t lose_answers;
  json_t *calls;   /* kind -> verb -> count */
  json_t *refused; /* status -> count */
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
static bool is_over_rate (platform_store_t *store,
                          const platform_request_t *request, gbd_time_t now);
static bool is_version_right (platform_store_t *store,
                              const platform_request_t *request,
                              platform_reply_t *reply);
static void forget_oldest_deletion (platform_store_t *store);
static json_t *collect (const state_t *state, const char *kind, uint64_t since,
                        bool with_deleted);
static const state_t *get_read_state (const platform_store_t *store);
static void set_stale (platform_store_t *store, bool is_stale);
static void count (json_t *counts, const char *key);
static void count_call (platform_store_t *store,
                        const platform_request_t *request);
static char *make_key (const char *kind, const char *name);
static object_t *object_new (const char *kind, const char *name,
                             uint64_t version, json_t *value);
static void object_delete (gpointer data);

static const handler_t handlers[PLATFORM_VERB_COUNT]
    = { handle_get, handle_list, handle_watch, handle_put, handle_delete };

platform_store_t *
platform_store_new (uint32_t writes_per_second, uint32_t reads_per_second,
                    gbd_time_t now)
{
  platform_store_t *store = g_new0 (platform_store_t, 1);
  store->now.objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_delete);
  store->deleted = g_queue_new ();
  store->calls = json_object ();
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
  set_stale (store, false);
  g_hash_table_destroy (store->now.objects);
  g_queue_free_full (store->deleted, g_free);
  json_decref (store->calls);
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
  uint64_t version = ++store->now.version;
  g_hash_table_replace (store->now.objects, make_key (kind, name),
                        object_new (kind, name, version, value));
  if (!value)
    {
      g_queue_push_tail (store->deleted, make_key (kind, name));
      if (g_queue_get_length (store->deleted) > PLATFORM_DELETED_MAX)
        forget_oldest_deletion (store);
    }
  return version;
}

const json_t *
platform_store_find (const platform_store_t *store, const char *kind,
                     const char *name)
{
  char *key = make_key (kind, name);
  const object_t *object = g_hash_table_lookup (store->now.objects, key);
  g_free (key);
  return object ? object->value : NULL;
}

void
platform_store_handle (platform_store_t *store,
                       const platform_request_t *request, gbd_time_t now,
                       platform_reply_t *reply)
{
  memset (reply, 0, sizeof *reply);
  reply->answer_at = now + store->slow_ms * GBD_MILLISECOND;
  count_call (store, request);
  if (store->is_down)
    reply->status = 503;
  else if (is_over_rate (store, request, now))
    reply->status = 429;
  else
    handlers[request->verb](store, request, reply);

  if (reply->flags & PLATFORM_REPLY_WAIT)
    {
      if (store->is_cutting_watches)
        reply->flags = PLATFORM_REPLY_LOST;
      return;
    }
  if (store->garble_answers > 0)
    {
      store->garble_answers--;
      reply->flags |= PLATFORM_REPLY_GARBLED;
    }
  if (reply->status == 200)
    {
      if (is_write (request) && store->lose_answers > 0)
        {
          store->lose_answers--;
          reply->flags |= PLATFORM_REPLY_LOST;
        }
      return;
    }
  char status[16];
  g_snprintf (status, sizeof status, "%d", reply->status);
  count (store->refused, status);
}

void
platform_store_poll (platform_store_t *store,
                     const platform_request_t *request, gbd_time_t deadline,
                     gbd_time_t now, platform_reply_t *reply)
{
  memset (reply, 0, sizeof *reply);
  reply->answer_at = now + store->slow_ms * GBD_MILLISECOND;
  if (store->is_cutting_watches)
    {
      reply->flags = PLATFORM_REPLY_LOST;
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
  reply->body
      = json_pack ("{s:I, s:[]}", "version",
                   (json_int_t)get_read_state (store)->version, "changes");
}

gbd_status_t
platform_store_set_switches (platform_store_t *store, const json_t *switches)
{
  int down = store->is_down;
  int stale = store->stale.objects != NULL;
  int cut = store->is_cutting_watches;
  int replay = store->is_replaying_watches;
  json_int_t slow_ms = store->slow_ms;
  json_int_t lose = store->lose_answers;
  json_int_t garble = store->garble_answers;
  json_error_t error;
  int failed = json_unpack_ex (
      (json_t *)switches, &error, JSON_STRICT,
      "{s?b, s?I, s?I, s?b, s?b, s?b, s?I}", "down", &down, "slow_ms",
      &slow_ms, "lose_answers", &lose, "stale_reads", &stale, "cut_watches",
      &cut, "replay_watches", &replay, "garble_answers", &garble);
  if (failed || slow_ms < 0 || slow_ms > UINT32_MAX || lose < 0
      || lose > UINT32_MAX || garble < 0 || garble > UINT32_MAX)
    return GBD_ERROR_FORMAT;
  store->is_down = down;
  store->is_cutting_watches = cut;
  store->is_replaying_watches = replay;
  store->garble_answers = (uint32_t)garble;
  store->slow_ms = (uint32_t)slow_ms;
  store->lose_answers = (uint32_t)lose;
  if ((store->stale.objects != NULL) != (stale != 0))
    set_stale (store, stale);
  return GBD_OK;
}

json_t *
platform_store_get_stats (const platform_store_t *store)
{
  return json_pack ("{s:O, s:O, s:I, s:I}", "calls", store->calls, "refused",
                    store->refused, "version", (json_int_t)store->now.version,
                    "objects",
                    (json_int_t)g_hash_table_size (store->now.objects));
}

static void
handle_get (platform_store_t *store, const platform_request_t *request,
            platform_reply_t *reply)
{
  char *key = make_key (request->kind, request->name);
  const object_t *object
      = g_hash_table_lookup (get_read_state (store)->objects, key);
  g_free (key);
  if (!object || !object->value)
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
  const state_t *state = get_read_state (store);
  reply->status = 200;
  reply->body = json_pack ("{s:I, s:o}", "version", (json_int_t)state->version,
                           "items", collect (state, request->kind, 0, false));
}

static void
handle_watch (platform_store_t *store, const platform_request_t *request,
              platform_reply_t *reply)
{
  const state_t *state = get_read_state (store);
  if (request->version < state->forgotten)
    {
      reply->status = 410;
      return;
    }
  json_t *changes = collect (state, request->kind, request->version, true);
  if (json_array_size (changes) == 0)
    {
      json_decref (changes);
      reply->flags = PLATFORM_REPLY_WAIT;
      return;
    }
  if (store->is_replaying_watches)
    {
      json_decref (changes);
      changes = collect (state, request->kind, 0, true);
    }
  reply->status = 200;
  reply->body = json_pack ("{s:I, s:o}", "version", (json_int_t)state->version,
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
  if (!is_version_right (store, request, reply))
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
  if (!is_version_right (store, request, reply))
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
is_over_rate (platform_store_t *store, const platform_request_t *request,
              gbd_time_t now)
{
  if (is_write (request))
    return store->is_limiting_writes
           && !gbd_token_bucket_take (&store->writes, now);
  return store->is_limiting_reads
         && !gbd_token_bucket_take (&store->reads, now);
}

static bool
is_version_right (platform_store_t *store, const platform_request_t *request,
                  platform_reply_t *reply)
{
  char *key = make_key (request->kind, request->name);
  const object_t *object = g_hash_table_lookup (store->now.objects, key);
  g_free (key);
  bool exists = object && object->value;
  uint64_t version = exists ? object->version : 0;
  if (request->version == version)
    return true;
  reply->status = 409;
  reply->body = json_pack ("{s:I, s:O?}", "version", (json_int_t)version,
                           "value", exists ? object->value : NULL);
  if (!exists && reply->body)
    json_object_set_new (reply->body, "value", json_null ());
  return false;
}

static void
forget_oldest_deletion (platform_store_t *store)
{
  char *key = g_queue_pop_head (store->deleted);
  const object_t *object = g_hash_table_lookup (store->now.objects, key);
  /* It may have been created again since. */
  if (object && !object->value)
    {
      store->now.forgotten = MAX (store->now.forgotten, object->version);
      g_hash_table_remove (store->now.objects, key);
    }
  g_free (key);
}

static gint
compare_versions (gconstpointer a, gconstpointer b)
{
  uint64_t first = (*(object_t *const *)a)->version;
  uint64_t second = (*(object_t *const *)b)->version;
  return first < second ? -1 : first > second;
}

static json_t *
collect (const state_t *state, const char *kind, uint64_t since,
         bool with_deleted)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer data;
  g_hash_table_iter_init (&iter, state->objects);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      object_t *object = data;
      if (object->version > since && strcmp (object->kind, kind) == 0
          && (object->value || with_deleted))
        g_ptr_array_add (found, object);
    }
  g_ptr_array_sort (found, compare_versions);

  json_t *items = json_array ();
  for (guint i = 0; i < found->len; i++)
    {
      object_t *object = g_ptr_array_index (found, i);
      json_t *value
          = object->value ? json_incref (object->value) : json_null ();
      json_array_append_new (
          items, json_pack ("{s:s, s:I, s:o}", "name", object->name, "version",
                            (json_int_t)object->version, "value", value));
    }
  g_ptr_array_free (found, TRUE);
  return items;
}

static const state_t *
get_read_state (const platform_store_t *store)
{
  return store->stale.objects ? &store->stale : &store->now;
}

static void
set_stale (platform_store_t *store, bool is_stale)
{
  if (store->stale.objects)
    g_hash_table_destroy (store->stale.objects);
  store->stale = (state_t){ 0 };
  if (!is_stale)
    return;
  store->stale = store->now;
  store->stale.objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_delete);
  GHashTableIter iter;
  gpointer key;
  gpointer data;
  g_hash_table_iter_init (&iter, store->now.objects);
  while (g_hash_table_iter_next (&iter, &key, &data))
    {
      const object_t *object = data;
      g_hash_table_insert (store->stale.objects, g_strdup (key),
                           object_new (object->kind, object->name,
                                       object->version,
                                       json_incref (object->value)));
    }
}

static void
count (json_t *counts, const char *key)
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
  count (verbs, platform_verb_strings[request->verb]);
}

static char *
make_key (const char *kind, const char *name)
{
  return g_strconcat (kind, "/", name, NULL);
}

static object_t *
object_new (const char *kind, const char *name, uint64_t version,
            json_t *value)
{
  object_t *object = g_new0 (object_t, 1);
  object->kind = g_strdup (kind);
  object->name = g_strdup (name);
  object->version = version;
  object->value = value;
  return object;
}

static void
object_delete (gpointer data)
{
  object_t *object = data;
  g_free (object->kind);
  g_free (object->name);
  json_decref (object->value);
  g_free (object);
}
