#include "standins/instance_list.h"

#include <string.h>

#include <glib.h>

typedef struct
{
  gbd_address_t address;
  bool is_static;
  bool is_listed;
  /* Time of the newest update that listed the instance. */
  gbd_time_t listed_at;
} entry_t;

struct instance_list
{
  char *group;
  gbd_time_t lag;
  GArray *entries; /* entry_t */
};

static bool parse_live_instance (const instance_list_t *list,
                                 const json_t *item, gbd_address_t *address);
static entry_t *find_entry (instance_list_t *list,
                            const gbd_address_t *address);
static entry_t *get_entry (const instance_list_t *list, uint32_t index);

instance_list_t *
instance_list_new (const char *group, gbd_time_t lag)
{
  instance_list_t *list = g_new0 (instance_list_t, 1);
  list->group = g_strdup (group);
  list->lag = lag;
  list->entries = g_array_new (FALSE, TRUE, sizeof (entry_t));
  return list;
}

void
instance_list_delete (instance_list_t *list)
{
  if (!list)
    return;
  g_array_free (list->entries, TRUE);
  g_free (list->group);
  g_free (list);
}

void
instance_list_add_static (instance_list_t *list, const gbd_address_t *address)
{
  entry_t entry = { .address = *address, .is_static = true };
  g_array_append_val (list->entries, entry);
}

bool
instance_list_update (instance_list_t *list, const json_t *response,
                      gbd_time_t now)
{
  const json_t *items = json_object_get (response, "items");
  if (!json_is_array (items))
    return false;
  for (uint32_t i = 0; i < list->entries->len; i++)
    get_entry (list, i)->is_listed = false;

  size_t index;
  json_t *item;
  json_array_foreach (items, index, item)
  {
    gbd_address_t address;
    if (!parse_live_instance (list, item, &address))
      continue;
    entry_t *entry = find_entry (list, &address);
    if (!entry)
      {
        instance_list_add_static (list, &address);
        entry = get_entry (list, list->entries->len - 1);
        entry->is_static = false;
      }
    entry->is_listed = true;
    entry->listed_at = now;
  }
  return true;
}

uint32_t
instance_list_count (instance_list_t *list, gbd_time_t now)
{
  for (uint32_t i = list->entries->len; i-- > 0;)
    {
      const entry_t *entry = get_entry (list, i);
      bool is_kept = entry->is_static || entry->is_listed
                     || now - entry->listed_at < list->lag;
      if (!is_kept)
        g_array_remove_index_fast (list->entries, i);
    }
  return list->entries->len;
}

const gbd_address_t *
instance_list_get (const instance_list_t *list, uint32_t index)
{
  return &get_entry (list, index)->address;
}

static bool
parse_live_instance (const instance_list_t *list, const json_t *item,
                     gbd_address_t *address)
{
  const json_t *value = json_object_get (item, "value");
  const char *group = json_string_value (json_object_get (value, "group"));
  const char *state = json_string_value (json_object_get (value, "state"));
  const char *address_text
      = json_string_value (json_object_get (value, "data"));
  return group && state && address_text && strcmp (group, list->group) == 0
         && strcmp (state, "live") == 0
         && gbd_address_parse (address_text, address) == GBD_OK;
}

static entry_t *
find_entry (instance_list_t *list, const gbd_address_t *address)
{
  for (uint32_t i = 0; i < list->entries->len; i++)
    {
      if (gbd_address_is_equal (&get_entry (list, i)->address, address))
        return get_entry (list, i);
    }
  return NULL;
}

static entry_t *
get_entry (const instance_list_t *list, uint32_t index)
{
  return &g_array_index (list->entries, entry_t, index);
}
