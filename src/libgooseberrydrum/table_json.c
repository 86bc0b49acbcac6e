#include "table_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define ID_DIGITS 16

static json_t *id_to_json (uint64_t id);
static void append_value (json_t **array, json_t *value);
static json_t *roster_to_json (const gbd_member_t *members, uint8_t count);
static json_t *backends_to_json (const gbd_table_t *table);
static json_t *phases_to_json (const gbd_table_t *table);
static json_t *slots_to_json (const gbd_table_t *table, bool is_to);
static json_t *slot_to_json (gbd_slot_t slot);
static char *dump_bounded (const json_t *root);
static gbd_table_t *table_from_json (const json_t *root);
static bool read_header (const json_t *root, gbd_table_t *table);
static bool read_id (const json_t *value, uint64_t *id);
static bool read_number (const json_t *value, uint64_t max, uint64_t *number);
static bool read_roster (const json_t *value, gbd_member_t *members,
                         uint8_t *count);
static bool read_backends (const json_t *value, gbd_table_t *table);
static bool read_backend (const json_t *value, gbd_backend_t *backend);
static bool read_buckets (const json_t *root, gbd_table_t *table);
static bool read_slot (const json_t *value, gbd_slot_t *slot);

/* Form of the JSON text:

   { "service": ID, "version": N, "generation": N, "roster_phase": N,
     "roster": [[ID, ZONE], ..], "next": [[ID, ZONE], ..],
     "backends": [[ID, "ADDRESS:PORT", ZONE, STATE], ..],
     "phases": one digit per bucket,
     "from": one slot per bucket, null for none,
     "to": one slot for each bucket that is not STABLE } */
char *
gbd_table_to_json (const gbd_table_t *table)
{
  /* json_pack releases its arguments on failure, too.  */
  json_t *root = json_pack (
      "{s:o, s:I, s:I, s:i, s:o, s:o, s:o, s:o, s:o, s:o}", "service",
      id_to_json (table->service), "version", (json_int_t)table->version,
      "generation", (json_int_t)table->generation, "roster_phase",
      (int)table->roster_phase, "roster",
      roster_to_json (table->roster, table->roster_count), "next",
      roster_to_json (table->next, table->next_count), "backends",
      backends_to_json (table), "phases", phases_to_json (table), "from",
      slots_to_json (table, false), "to", slots_to_json (table, true));
  if (!root)
    return NULL;
  char *text = dump_bounded (root);
  json_decref (root);
  return text;
}

gbd_table_t *
gbd_table_from_json (const char *text, size_t length)
{
  if (length > GBD_TABLE_ENCODED_SIZE_MAX)
    return NULL;
  json_t *root = json_loadb (text, length, JSON_REJECT_DUPLICATES, NULL);
  if (!root)
    return NULL;
  gbd_table_t *table = table_from_json (root);
  json_decref (root);
  return table;
}

static json_t *
id_to_json (uint64_t id)
{
  char text[ID_DIGITS + 1];
  snprintf (text, sizeof text, "%016llx", (unsigned long long)id);
  return json_string (text);
}

/* Appends a value and takes ownership of it.  On failure the array becomes
   NULL, so that no incomplete list is written.  */
static void
append_value (json_t **array, json_t *value)
{
  if (json_array_append_new (*array, value) == 0)
    return;
  json_decref (*array);
  *array = NULL;
}

static json_t *
roster_to_json (const gbd_member_t *members, uint8_t count)
{
  json_t *array = json_array ();
  for (uint8_t i = 0; i < count; i++)
    append_value (&array, json_pack ("[o, I]", id_to_json (members[i].id),
                                     (json_int_t)members[i].zone));
  return array;
}

static json_t *
backends_to_json (const gbd_table_t *table)
{
  json_t *array = json_array ();
  for (uint32_t i = 0; i < table->backend_count; i++)
    {
      const gbd_backend_t *backend = &table->backends[i];
      char address[GBD_ADDRESS_TEXT_MAX];
      gbd_address_format (&backend->address, address);
      append_value (
          &array, json_pack ("[o, s, I, i]", id_to_json (backend->id), address,
                             (json_int_t)backend->zone, (int)backend->state));
    }
  return array;
}

static json_t *
phases_to_json (const gbd_table_t *table)
{
  char *digits = malloc (table->bucket_count);
  if (!digits)
    return NULL;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    digits[i] = (char)('0' + table->buckets[i].phase);
  json_t *text = json_stringn (digits, table->bucket_count);
  free (digits);
  return text;
}

static json_t *
slots_to_json (const gbd_table_t *table, bool is_to)
{
  json_t *array = json_array ();
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      const gbd_bucket_t *bucket = &table->buckets[i];
      if (!is_to)
        append_value (&array, slot_to_json (bucket->from));
      else if (bucket->phase != GBD_BUCKET_STABLE)
        append_value (&array, slot_to_json (bucket->to));
    }
  return array;
}

static json_t *
slot_to_json (gbd_slot_t slot)
{
  return slot == GBD_SLOT_NONE ? json_null () : json_integer (slot);
}

static char *
dump_bounded (const json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  if (text && strlen (text) > GBD_TABLE_ENCODED_SIZE_MAX)
    {
      free (text);
      return NULL;
    }
  return text;
}

static gbd_table_t *
table_from_json (const json_t *root)
{
  const json_t *phases = json_object_get (root, "phases");
  const json_t *backends = json_object_get (root, "backends");
  size_t bucket_count = json_string_length (phases);
  size_t backend_count = json_array_size (backends);
  if (!gbd_table_is_bucket_count (bucket_count)
      || backend_count > GBD_BACKENDS_MAX)
    return NULL;

  gbd_table_t *table
      = gbd_table_allocate ((uint32_t)bucket_count, (uint32_t)backend_count);
  if (!table)
    return NULL;
  if (read_header (root, table) && read_backends (backends, table)
      && read_buckets (root, table) && gbd_table_is_valid (table))
    return table;
  gbd_table_delete (table);
  return NULL;
}

static bool
read_header (const json_t *root, gbd_table_t *table)
{
  uint64_t phase;
  if (!read_id (json_object_get (root, "service"), &table->service)
      || !read_number (json_object_get (root, "version"), INT64_MAX,
                       &table->version)
      || !read_number (json_object_get (root, "generation"), INT64_MAX,
                       &table->generation)
      || !read_number (json_object_get (root, "roster_phase"), UINT8_MAX,
                       &phase))
    return false;
  table->roster_phase = (uint8_t)phase;
  return read_roster (json_object_get (root, "roster"), table->roster,
                      &table->roster_count)
         && read_roster (json_object_get (root, "next"), table->next,
                         &table->next_count);
}

static bool
read_id (const json_t *value, uint64_t *id)
{
  if (json_string_length (value) != ID_DIGITS)
    return false;
  const char *text = json_string_value (value);
  if (strspn (text, "0123456789abcdef") != ID_DIGITS)
    return false;
  *id = strtoull (text, NULL, 16);
  return true;
}

static bool
read_number (const json_t *value, uint64_t max, uint64_t *number)
{
  if (!json_is_integer (value) || json_integer_value (value) < 0
      || (uint64_t)json_integer_value (value) > max)
    return false;
  *number = (uint64_t)json_integer_value (value);
  return true;
}

static bool
read_roster (const json_t *value, gbd_member_t *members, uint8_t *count)
{
  if (!json_is_array (value) || json_array_size (value) > GBD_ROSTER_MAX)
    return false;
  *count = (uint8_t)json_array_size (value);
  for (uint8_t i = 0; i < *count; i++)
    {
      const json_t *member = json_array_get (value, i);
      uint64_t zone;
      if (!read_id (json_array_get (member, 0), &members[i].id)
          || !read_number (json_array_get (member, 1), UINT32_MAX, &zone))
        return false;
      members[i].zone = (gbd_zone_id_t)zone;
    }
  return true;
}

static bool
read_backends (const json_t *value, gbd_table_t *table)
{
  if (!json_is_array (value))
    return false;
  for (uint32_t i = 0; i < table->backend_count; i++)
    if (!read_backend (json_array_get (value, i), &table->backends[i]))
      return false;
  return true;
}

static bool
read_backend (const json_t *value, gbd_backend_t *backend)
{
  uint64_t zone, state;
  const char *address = json_string_value (json_array_get (value, 1));
  if (!address || gbd_address_parse (address, &backend->address) != GBD_OK
      || !read_id (json_array_get (value, 0), &backend->id)
      || !read_number (json_array_get (value, 2), UINT32_MAX, &zone)
      || !read_number (json_array_get (value, 3), UINT8_MAX, &state))
    return false;
  backend->zone = (gbd_zone_id_t)zone;
  backend->state = (uint8_t)state;
  return true;
}

static bool
read_buckets (const json_t *root, gbd_table_t *table)
{
  const char *phases = json_string_value (json_object_get (root, "phases"));
  const json_t *from = json_object_get (root, "from");
  const json_t *to = json_object_get (root, "to");
  if (json_array_size (from) != table->bucket_count || !json_is_array (to))
    return false;

  size_t moving_count = 0;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      gbd_bucket_t *bucket = &table->buckets[i];
      if (phases[i] < '0' || phases[i] > '9'
          || !read_slot (json_array_get (from, i), &bucket->from))
        return false;
      bucket->phase = (uint8_t)(phases[i] - '0');
      bucket->to = bucket->from;
      if (bucket->phase != GBD_BUCKET_STABLE
          && !read_slot (json_array_get (to, moving_count++), &bucket->to))
        return false;
    }
  return json_array_size (to) == moving_count;
}

static bool
read_slot (const json_t *value, gbd_slot_t *slot)
{
  uint64_t number;
  *slot = GBD_SLOT_NONE;
  if (json_is_null (value))
    return true;
  if (!read_number (value, GBD_BACKENDS_MAX - 1, &number))
    return false;
  *slot = (gbd_slot_t)number;
  return true;
}
