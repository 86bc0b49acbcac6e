#include "standins/platform_state.h"

#include <string.h>

#include <glib.h>

struct platform_state
{
  GHashTable *objects; /* "kind/name" -> platform_object_t */
  uint64_t version;
  uint64_t compacted_version;
  GQueue *deleted; /* keys of deleted objects, oldest first */
  uint32_t deleted_max;
};

static void compact_oldest_deletion (platform_state_t *state);
static gint compare_versions (gconstpointer a, gconstpointer b);
static char *make_key (const char *kind, const char *name);
static platform_object_t *object_new (const char *kind, const char *name,
                                      uint64_t version, json_t *value);
static void object_delete (gpointer data);

platform_state_t *
platform_state_new (uint32_t deleted_max)
{
  platform_state_t *state = g_new0 (platform_state_t, 1);
  state->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_delete);
  state->deleted = g_queue_new ();
  state->deleted_max = deleted_max;
  return state;
}

void
platform_state_delete (platform_state_t *state)
{
  if (!state)
    return;
  g_hash_table_destroy (state->objects);
  g_queue_free_full (state->deleted, g_free);
  g_free (state);
}

platform_state_t *
platform_state_copy (const platform_state_t *state)
{
  platform_state_t *copy = platform_state_new (state->deleted_max);
  copy->version = state->version;
  copy->compacted_version = state->compacted_version;
  GHashTableIter iter;
  gpointer key;
  gpointer data;
  g_hash_table_iter_init (&iter, state->objects);
  while (g_hash_table_iter_next (&iter, &key, &data))
    {
      const platform_object_t *object = data;
      g_hash_table_insert (copy->objects, g_strdup (key),
                           object_new (object->kind, object->name,
                                       object->version,
                                       json_incref (object->value)));
    }
  return copy;
}

uint64_t
platform_state_write (platform_state_t *state, const char *kind,
                      const char *name, json_t *value)
{
  uint64_t version = ++state->version;
  g_hash_table_replace (state->objects, make_key (kind, name),
                        object_new (kind, name, version, value));
  if (!value)
    g_queue_push_tail (state->deleted, make_key (kind, name));
  if (g_queue_get_length (state->deleted) > state->deleted_max)
    compact_oldest_deletion (state);
  return version;
}

const platform_object_t *
platform_state_find (const platform_state_t *state, const char *kind,
                     const char *name)
{
  char *key = make_key (kind, name);
  const platform_object_t *object = g_hash_table_lookup (state->objects, key);
  g_free (key);
  return object && object->value ? object : NULL;
}

json_t *
platform_state_collect (const platform_state_t *state, const char *kind,
                        uint64_t since, bool with_deleted)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer data;
  g_hash_table_iter_init (&iter, state->objects);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      platform_object_t *object = data;
      if (object->version > since && strcmp (object->kind, kind) == 0
          && (object->value || with_deleted))
        g_ptr_array_add (found, object);
    }
  g_ptr_array_sort (found, compare_versions);

  json_t *items = json_array ();
  for (guint i = 0; i < found->len; i++)
    {
      platform_object_t *object = g_ptr_array_index (found, i);
      json_t *value
          = object->value ? json_incref (object->value) : json_null ();
      json_array_append_new (
          items, json_pack ("{s:s, s:I, s:o}", "name", object->name, "version",
                            (json_int_t)object->version, "value", value));
    }
  g_ptr_array_free (found, TRUE);
  return items;
}

uint64_t
platform_state_get_version (const platform_state_t *state)
{
  return state->version;
}

void
platform_state_compact (platform_state_t *state)
{
  state->compacted_version = state->version;
}

uint64_t
platform_state_get_compacted_version (const platform_state_t *state)
{
  return state->compacted_version;
}

uint32_t
platform_state_get_count (const platform_state_t *state)
{
  return g_hash_table_size (state->objects);
}

static void
compact_oldest_deletion (platform_state_t *state)
{
  char *key = g_queue_pop_head (state->deleted);
  const platform_object_t *object = g_hash_table_lookup (state->objects, key);
  /* The object may have been created again after its deletion. */
  if (object && !object->value)
    {
      state->compacted_version
          = MAX (state->compacted_version, object->version);
      g_hash_table_remove (state->objects, key);
    }
  g_free (key);
}

static gint
compare_versions (gconstpointer a, gconstpointer b)
{
  uint64_t first = (*(platform_object_t *const *)a)->version;
  uint64_t second = (*(platform_object_t *const *)b)->version;
  return first < second ? -1 : first > second;
}

static char *
make_key (const char *kind, const char *name)
{
  return g_strconcat (kind, "/", name, NULL);
}

static platform_object_t *
object_new (const char *kind, const char *name, uint64_t version,
            json_t *value)
{
  platform_object_t *object = g_new0 (platform_object_t, 1);
  object->kind = g_strdup (kind);
  object->name = g_strdup (name);
  object->version = version;
  object->value = value;
  return object;
}

static void
object_delete (gpointer data)
{
  platform_object_t *object = data;
  g_free (object->kind);
  g_free (object->name);
  json_decref (object->value);
  g_free (object);
}
