#include "gooseberrydrum/lists_diff.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Size of the buffer for an attribute.  The longest one has three names, an
   address and the words between them. */
#define ATTRIBUTE_BYTES_MAX 512

static json_t *flatten_list (gbd_list_t list, const json_t *root);
static void flatten_customer (json_t *attributes, const json_t *entry);
static void flatten_plan (json_t *attributes, const json_t *entry);
static void add_attribute (json_t *attributes, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
static json_t *subtract (json_t *attributes, const json_t *others);
static const char *get_text (const json_t *entry, const char *key);

gbd_status_t
gbd_lists_diff (gbd_list_t list, const json_t *before, const json_t *after,
                json_t **removed, json_t **added)
{
  json_t *old_attributes = flatten_list (list, before);
  json_t *new_attributes = flatten_list (list, after);
  *removed = subtract (old_attributes, new_attributes);
  *added = subtract (new_attributes, old_attributes);
  json_decref (old_attributes);
  json_decref (new_attributes);
  if (*removed && *added)
    return GBD_OK;
  json_decref (*removed);
  json_decref (*added);
  *removed = *added = NULL;
  return GBD_ERROR_MEMORY;
}

/* @return an object whose keys are the attributes of the list, in the order of
   the list. */
static json_t *
flatten_list (gbd_list_t list, const json_t *root)
{
  json_t *attributes = json_object ();
  size_t index;
  json_t *entry;
  json_array_foreach (json_object_get (root, gbd_list_strings[list]), index,
                      entry)
  {
    if (list == GBD_LIST_CUSTOMERS)
      flatten_customer (attributes, entry);
    else
      flatten_plan (attributes, entry);
  }
  return attributes;
}

static void
flatten_customer (json_t *attributes, const json_t *entry)
{
  const char *name = get_text (entry, "name");
  add_attribute (attributes, "customer %s plan %s", name,
                 get_text (entry, "plan"));
  size_t index;
  json_t *service;
  json_array_foreach (json_object_get (entry, "services"), index, service)
  {
    size_t position;
    json_t *address;
    json_array_foreach (json_object_get (service, "addresses"), position,
                        address)
    {
      add_attribute (attributes, "customer %s service %s address %s", name,
                     get_text (service, "service"),
                     json_string_value (address));
    }
  }
}

static void
flatten_plan (json_t *attributes, const json_t *entry)
{
  const char *name = get_text (entry, "name");
  const char *key;
  json_t *value;
  json_object_foreach ((json_t *)entry, key, value)
  {
    if (json_is_integer (value))
      add_attribute (attributes, "plan %s %s %" JSON_INTEGER_FORMAT, name, key,
                     json_integer_value (value));
  }
  size_t index;
  json_array_foreach (json_object_get (entry, "services"), index, value)
  {
    add_attribute (attributes, "plan %s service %s", name,
                   json_string_value (value));
  }
}

static void
add_attribute (json_t *attributes, const char *format, ...)
{
  char text[ATTRIBUTE_BYTES_MAX];
  va_list arguments;
  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  json_object_set_new (attributes, text, json_true ());
}

static json_t *
subtract (json_t *attributes, const json_t *others)
{
  json_t *difference = json_array ();
  const char *attribute;
  json_t *value;
  json_object_foreach (attributes, attribute, value)
  {
    if (!json_object_get (others, attribute))
      json_array_append_new (difference, json_string (attribute));
  }
  return difference;
}

static const char *
get_text (const json_t *entry, const char *key)
{
  return json_string_value (json_object_get (entry, key));
}
