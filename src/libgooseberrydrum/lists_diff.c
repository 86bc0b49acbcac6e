#include "gooseberrydrum/lists_diff.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Over the longest fact: three names, an address and the words between. */
#define FACT_MAX 512

static json_t *list_facts (gbd_list_t list, const json_t *root);
static void add_customer (json_t *facts, const json_t *entry);
static void add_plan (json_t *facts, const json_t *entry);
static void add_fact (json_t *facts, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
static json_t *subtract (json_t *facts, const json_t *others);
static const char *get_text (const json_t *entry, const char *key);

gbd_status_t
gbd_lists_diff (gbd_list_t list, const json_t *before, const json_t *after,
                json_t **removed, json_t **added)
{
  json_t *old_facts = list_facts (list, before);
  json_t *new_facts = list_facts (list, after);
  *removed = subtract (old_facts, new_facts);
  *added = subtract (new_facts, old_facts);
  json_decref (old_facts);
  json_decref (new_facts);
  if (*removed && *added)
    return GBD_OK;
  json_decref (*removed);
  json_decref (*added);
  *removed = *added = NULL;
  return GBD_ERROR_MEMORY;
}

/* Object whose keys are the facts; it keeps their order. */
static json_t *
list_facts (gbd_list_t list, const json_t *root)
{
  json_t *facts = json_object ();
  size_t index;
  json_t *entry;
  json_array_foreach (json_object_get (root, gbd_list_strings[list]), index,
                      entry)
  {
    if (list == GBD_LIST_CUSTOMERS)
      add_customer (facts, entry);
    else
      add_plan (facts, entry);
  }
  return facts;
}

static void
add_customer (json_t *facts, const json_t *entry)
{
  const char *name = get_text (entry, "name");
  add_fact (facts, "customer %s plan %s", name, get_text (entry, "plan"));
  size_t index;
  json_t *service;
  json_array_foreach (json_object_get (entry, "services"), index, service)
  {
    size_t position;
    json_t *address;
    json_array_foreach (json_object_get (service, "addresses"), position,
                        address)
    {
      add_fact (facts, "customer %s service %s address %s", name,
                get_text (service, "service"), json_string_value (address));
    }
  }
}

static void
add_plan (json_t *facts, const json_t *entry)
{
  const char *name = get_text (entry, "name");
  const char *key;
  json_t *value;
  json_object_foreach ((json_t *)entry, key, value)
  {
    if (json_is_integer (value))
      add_fact (facts, "plan %s %s %" JSON_INTEGER_FORMAT, name, key,
                json_integer_value (value));
  }
  size_t index;
  json_array_foreach (json_object_get (entry, "services"), index, value)
  {
    add_fact (facts, "plan %s service %s", name, json_string_value (value));
  }
}

static void
add_fact (json_t *facts, const char *format, ...)
{
  char text[FACT_MAX];
  va_list arguments;
  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  json_object_set_new (facts, text, json_true ());
}

static json_t *
subtract (json_t *facts, const json_t *others)
{
  json_t *left = json_array ();
  const char *fact;
  json_t *value;
  json_object_foreach (facts, fact, value)
  {
    if (!json_object_get (others, fact))
      json_array_append_new (left, json_string (fact));
  }
  return left;
}

static const char *
get_text (const json_t *entry, const char *key)
{
  return json_string_value (json_object_get (entry, key));
}
