#include "gooseberrydrum/accepted.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>

#define SHA256_TEXT_BYTES (2 * EVP_MAX_MD_SIZE + 1)

static bool is_entry_valid (const json_t *entry);
static uint64_t get_generation (const json_t *entry);
static bool format_sha256 (const json_t *list, char *text);
static json_t *make_history_entry (uint64_t generation,
                                   const gbd_change_t *change,
                                   const json_t *list);
static json_t *append_to_history (const json_t *accepted, json_t *entry);

bool
gbd_accepted_is_valid (const json_t *accepted)
{
  if (!is_entry_valid (accepted))
    return false;
  const json_t *history = json_object_get (accepted, "history");
  if (json_array_size (history) == 0)
    return false;
  size_t index;
  json_t *entry;
  uint64_t previous = 0;
  json_array_foreach ((json_t *)history, index, entry)
  {
    const char *list = json_string_value (json_object_get (entry, "list"));
    if (!is_entry_valid (entry) || !list || get_generation (entry) <= previous)
      return false;
    previous = get_generation (entry);
  }
  return previous == get_generation (accepted);
}

uint64_t
gbd_accepted_get_generation (const json_t *accepted)
{
  return accepted ? get_generation (accepted) : 0;
}

const json_t *
gbd_accepted_get_list (const json_t *accepted, gbd_list_t list)
{
  return json_object_get (accepted, gbd_list_strings[list]);
}

const json_t *
gbd_accepted_find_change (const json_t *accepted, const char *change)
{
  size_t index;
  json_t *entry;
  json_array_foreach (json_object_get (accepted, "history"), index, entry)
  {
    const char *id = json_string_value (json_object_get (entry, "change"));
    if (id && strcmp (id, change) == 0)
      return entry;
  }
  return NULL;
}

const json_t *
gbd_accepted_find_generation (const json_t *accepted, uint64_t generation)
{
  size_t index;
  json_t *entry;
  json_array_foreach (json_object_get (accepted, "history"), index, entry)
  {
    if (get_generation (entry) == generation)
      return entry;
  }
  return NULL;
}

const json_t *
gbd_accepted_find_newest_after (const json_t *accepted, gbd_list_t list,
                                uint64_t generation, bool *is_history_complete)
{
  const json_t *found = NULL;
  size_t index;
  json_t *entry;
  json_t *history = json_object_get (accepted, "history");
  json_array_foreach (history, index, entry)
  {
    const char *name = json_string_value (json_object_get (entry, "list"));
    if (get_generation (entry) > generation && name
        && strcmp (name, gbd_list_strings[list]) == 0)
      found = entry;
  }
  /* Generations are consecutive.  So changes are missing from the history if
     its oldest entry is later than `generation` + 1. */
  *is_history_complete
      = json_array_size (history) == 0
        || get_generation (json_array_get (history, 0)) <= generation + 1;
  return found;
}

json_t *
gbd_accepted_make_next (const json_t *accepted, const gbd_change_t *change,
                        const json_t *list)
{
  uint64_t generation = gbd_accepted_get_generation (accepted) + 1;
  json_t *lists[GBD_LIST_COUNT];
  for (int i = 0; i < GBD_LIST_COUNT; i++)
    lists[i] = json_incref (
        (json_t *)gbd_accepted_get_list (accepted, (gbd_list_t)i));
  json_decref (lists[change->list]);
  lists[change->list] = json_copy ((json_t *)list);
  json_object_del (lists[change->list], "generation");

  json_t *entry = make_history_entry (generation, change, lists[change->list]);
  json_t *history = append_to_history (accepted, entry);
  /* json_pack takes ownership of the history and of both lists.  The "*" in
     its format omits a list that is NULL. */
  return json_pack (
      "{s:I, s:s, s:s, s:s, s:o*, s:o*, s:o}", "generation",
      (json_int_t)generation, "change", change->change, "author",
      change->author, "at", change->at, gbd_list_strings[GBD_LIST_CUSTOMERS],
      lists[GBD_LIST_CUSTOMERS], gbd_list_strings[GBD_LIST_PLANS],
      lists[GBD_LIST_PLANS], "history", history);
}

char *
gbd_accepted_format_list (const json_t *accepted, gbd_list_t list)
{
  const json_t *current = gbd_accepted_get_list (accepted, list);
  json_t *copy = json_copy ((json_t *)current);
  json_t *generation
      = json_integer ((json_int_t)gbd_accepted_get_generation (accepted));
  char *text = NULL;
  if (copy && json_object_set (copy, "generation", generation) == 0)
    text = json_dumps (copy, JSON_INDENT (2));
  json_decref (generation);
  json_decref (copy);
  return text;
}

gbd_status_t
gbd_accepted_to_catalog (const json_t *accepted, gbd_catalog_t **catalog)
{
  *catalog = NULL;
  if (!gbd_accepted_is_valid (accepted))
    return GBD_ERROR_FORMAT;
  const json_t *customers
      = gbd_accepted_get_list (accepted, GBD_LIST_CUSTOMERS);
  const json_t *plans = gbd_accepted_get_list (accepted, GBD_LIST_PLANS);
  char *customers_text
      = customers ? json_dumps (customers, JSON_COMPACT) : NULL;
  char *plans_text = plans ? json_dumps (plans, JSON_COMPACT) : NULL;
  gbd_list_errors_t *errors = gbd_list_errors_new ();
  gbd_status_t status = GBD_ERROR_MEMORY;
  if (errors && !customers == !customers_text && !plans == !plans_text)
    status = gbd_lists_to_catalog (customers_text, plans_text,
                                   get_generation (accepted), errors, catalog);
  gbd_list_errors_delete (errors);
  free (customers_text);
  free (plans_text);
  return status;
}

static bool
is_entry_valid (const json_t *entry)
{
  return json_integer_value (json_object_get (entry, "generation")) > 0
         && json_is_string (json_object_get (entry, "change"))
         && json_is_string (json_object_get (entry, "author"))
         && json_is_string (json_object_get (entry, "at"));
}

static uint64_t
get_generation (const json_t *entry)
{
  return (uint64_t)json_integer_value (json_object_get (entry, "generation"));
}

static bool
format_sha256 (const json_t *list, char *text)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned length = 0;
  char *canonical = json_dumps (list, JSON_COMPACT | JSON_SORT_KEYS);
  bool is_hashed = canonical
                   && EVP_Digest (canonical, strlen (canonical), digest,
                                  &length, EVP_sha256 (), NULL);
  free (canonical);
  text[0] = '\0';
  for (unsigned i = 0; i < length; i++)
    snprintf (text + 2 * (size_t)i, 3, "%02x", digest[i]);
  return is_hashed;
}

static json_t *
make_history_entry (uint64_t generation, const gbd_change_t *change,
                    const json_t *list)
{
  char sha[SHA256_TEXT_BYTES];
  if (!format_sha256 (list, sha))
    return NULL;
  return json_pack ("{s:I, s:s, s:s, s:s, s:s, s:s}", "generation",
                    (json_int_t)generation, "change", change->change, "author",
                    change->author, "at", change->at, "list",
                    gbd_list_strings[change->list], "sha", sha);
}

/* Return a shallow copy of the history of `accepted` with an entry appended,
   limited to the newest GBD_ACCEPTED_HISTORY_MAX entries; NULL when memory is
   short.  Takes ownership of `entry`. */
static json_t *
append_to_history (const json_t *accepted, json_t *entry)
{
  json_t *old = json_object_get (accepted, "history");
  json_t *history = old ? json_copy (old) : json_array ();
  if (!history || !entry || json_array_append (history, entry))
    {
      json_decref (history);
      json_decref (entry);
      return NULL;
    }
  json_decref (entry);
  while (json_array_size (history) > GBD_ACCEPTED_HISTORY_MAX)
    json_array_remove (history, 0);
  return history;
}
