#include "list_check.h"

#include <stdio.h>
#include <string.h>

static bool is_name (const char *text);

void
gbd_list_check_fields (gbd_list_check_t *check, json_t *entry,
                       const gbd_list_field_t *fields, size_t field_count)
{
  if (!json_is_object (entry))
    {
      gbd_list_errors_add (check->errors, &check->location,
                           "write fields between { and }", "not an object");
      return;
    }
  for (size_t i = 0; i < field_count; i++)
    {
      json_t *value = json_object_get (entry, fields[i].name);
      gbd_list_location_push_key (&check->location, fields[i].name);
      if (value)
        fields[i].check (check, &fields[i], value);
      else if (!fields[i].is_optional)
        gbd_list_errors_add (check->errors, &check->location,
                             "add it; docs/OPERATIONS.md lists the fields",
                             "the field is missing");
      gbd_list_location_pop (&check->location);
    }

  const char *key;
  json_t *value;
  json_object_foreach (entry, key, value)
  {
    bool is_known_field = false;
    for (size_t i = 0; i < field_count; i++)
      is_known_field = is_known_field || strcmp (key, fields[i].name) == 0;
    if (is_known_field)
      continue;
    gbd_list_location_push_key (&check->location, key);
    gbd_list_errors_add (check->errors, &check->location,
                         "remove it or correct its name; docs/OPERATIONS.md "
                         "lists the fields",
                         "unknown field");
    gbd_list_location_pop (&check->location);
  }
}

void
gbd_list_check_entries (gbd_list_check_t *check, json_t *array,
                        const gbd_list_field_t *fields, size_t field_count,
                        void (*begin) (gbd_list_check_t *, json_t *entry))
{
  if (!json_is_array (array))
    {
      gbd_list_errors_add (check->errors, &check->location,
                           "write entries between [ and ]", "not an array");
      return;
    }
  size_t index;
  json_t *entry;
  json_array_foreach (array, index, entry)
  {
    gbd_list_location_push_index (&check->location, index);
    begin (check, entry);
    gbd_list_check_fields (check, entry, fields, field_count);
    gbd_list_location_pop (&check->location);
  }
}

void
gbd_list_check_number (gbd_list_check_t *check, const gbd_list_field_t *field,
                       json_t *value)
{
  json_int_t number = json_integer_value (value);
  if (json_is_integer (value) && number >= field->minimum
      && number <= field->maximum)
    return;
  char remedy[GBD_LIST_TEXT_MAX];
  snprintf (remedy, sizeof remedy,
            "write a whole number from %" JSON_INTEGER_FORMAT
            " to %" JSON_INTEGER_FORMAT,
            field->minimum, field->maximum);
  gbd_list_errors_add (check->errors, &check->location, remedy, "%s",
                       json_is_integer (value) ? "out of range"
                                               : "not a whole number");
}

const char *
gbd_list_read_name (gbd_list_check_t *check, json_t *value)
{
  const char *text = json_string_value (value);
  if (text && is_name (text))
    return text;
  gbd_list_errors_add (check->errors, &check->location,
                       "use 1 to 63 lower-case letters, digits or inner "
                       "hyphens",
                       "\"%s\" is not a valid name", text ? text : "");
  return NULL;
}

const char *
gbd_list_get_text (const json_t *entry, const char *key)
{
  return json_string_value (json_object_get (entry, key));
}

static bool
is_name (const char *text)
{
  size_t length = strlen (text);
  if (length == 0 || length > GBD_NAME_MAX)
    return false;
  if (text[0] == '-' || text[length - 1] == '-')
    return false;
  return strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-") == length;
}
