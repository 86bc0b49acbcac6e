#include "relay_api.h"

#include <string.h>

#include <glib.h>

#include "relay_codec.h"

/* Positions in a message. */
enum
{
  POSITION_SCHEMA,
  POSITION_TYPE,
  POSITION_VERSION, /* or the number of readers, in a rejection */
  POSITION_REMOVAL_GRACE,
  POSITION_HINT,
  POSITION_IS_CONNECTED,
  POSITION_OBJECTS,
  POSITION_DOCUMENTS
};
#define POSITION_TEXT POSITION_REMOVAL_GRACE      /* in a document */
#define POSITION_HAS_NEWER POSITION_REMOVAL_GRACE /* in a rejection */

/* Positions in the compact form of an entry. */
enum
{
  FIELD_ID,
  FIELD_ADDRESS,
  FIELD_SERVICE,
  FIELD_ZONE,
  FIELD_STATE,
  FIELD_SLOTS,
  FIELD_START_TIME,
  FIELD_WARM_UP
};

static void make_list (const char *kind, const char *after, bool allow_stale,
                       gbd_platform_request_t *request);
static void make_watch (const char *kind, uint64_t version, uint32_t wait_ms,
                        bool allow_stale, gbd_platform_request_t *request);
static void make_get (const char *kind, const char *name, bool allow_stale,
                      gbd_platform_request_t *request);
static json_t *parse (const char *body, size_t length);
static json_t *translate (json_t *body);
static json_t *translate_objects (const json_t *body, const char *key,
                                  size_t optional_position);
static json_t *translate_documents (const json_t *body);
static json_t *translate_document (const json_t *body);
static json_int_t get_integer (const json_t *array, size_t position);
static gbd_status_t read_server (const char *name, const json_t *value,
                                 gbd_time_t now, gbd_pool_entry_t *entry,
                                 const char **problem);

const gbd_platform_api_t gbd_platform_api_relay = {
  .name = "relay",
  .list = make_list,
  .watch = make_watch,
  .get = make_get,
  .parse = parse,
  .translate = translate,
  .read_server = read_server,
};

json_t *
gbd_relay_describe_server (const gbd_pool_entry_t *entry, gbd_time_t now)
{
  char address[GBD_ADDRESS_TEXT_MAX];
  gbd_address_format (&entry->backend.address, address);
  gbd_time_t warm_up = entry->warm_at > now ? entry->warm_at - now : 0;
  return json_pack ("[I, s, I, I, i, I, I, I]", (json_int_t)entry->backend.id,
                    address, (json_int_t)entry->service,
                    (json_int_t)entry->backend.zone,
                    entry->backend.state == GBD_BACKEND_DRAINING,
                    (json_int_t)entry->slots, (json_int_t)entry->start_time_ms,
                    (json_int_t)(warm_up / GBD_MILLISECOND));
}

static void
make_list (const char *kind, const char *after, bool allow_stale,
           gbd_platform_request_t *request)
{
  /* A relay sends all objects in one response. */
  (void)after;
  (void)allow_stale;
  gbd_platform_set_request (request, "GET", GBD_RELAY_PREFIX, kind, NULL,
                            NULL);
}

static void
make_watch (const char *kind, uint64_t version, uint32_t wait_ms,
            bool allow_stale, gbd_platform_request_t *request)
{
  (void)allow_stale;
  gbd_platform_set_watch_request (request, GBD_RELAY_PREFIX, kind, version,
                                  wait_ms);
}

static void
make_get (const char *kind, const char *name, bool allow_stale,
          gbd_platform_request_t *request)
{
  (void)allow_stale;
  gbd_platform_set_request (request, "GET", GBD_RELAY_PREFIX, kind, name,
                            NULL);
}

static json_t *
parse (const char *body, size_t length)
{
  return gbd_relay_unpack (body, length);
}

static json_t *
translate (json_t *body)
{
  json_t *native = NULL;
  bool is_message = get_integer (body, POSITION_SCHEMA) >= GBD_RELAY_SCHEMA;
  switch (is_message ? get_integer (body, POSITION_TYPE) : -1)
    {
    case GBD_RELAY_LISTING:
      native
          = translate_objects (body, "items", GBD_RELAY_LISTING_EVACUATIONS);
      break;
    case GBD_RELAY_CHANGES:
      native
          = translate_objects (body, "changes", GBD_RELAY_CHANGES_EVACUATIONS);
      break;
    case GBD_RELAY_DOCUMENT:
      native = translate_document (body);
      break;
    case GBD_RELAY_REJECTION:
      native = json_pack (
          "{s:I, s:b, s:O?, s:O*}", "readers",
          get_integer (body, POSITION_VERSION), "newer",
          json_is_true (json_array_get (body, POSITION_HAS_NEWER)),
          "evacuations",
          json_array_get (body, GBD_RELAY_REJECTION_EVACUATIONS), "view",
          json_array_get (body, GBD_RELAY_REJECTION_VIEW));
      break;
    default:
      break;
    }
  json_decref (body);
  return native;
}

static json_t *
translate_objects (const json_t *body, const char *key,
                   size_t optional_position)
{
  json_t *list = json_array ();
  size_t index;
  json_t *object;
  json_array_foreach (json_array_get (body, POSITION_OBJECTS), index, object)
  {
    json_array_append_new (list,
                           json_pack ("{s:O?, s:O?, s:O?}", "name",
                                      json_array_get (object, 0), "version",
                                      json_array_get (object, 1), "value",
                                      json_array_get (object, 2)));
  }
  return json_pack (
      "{s:I, s:I, s:I, s:b, s:o, s:o, s:O?, s:O*}", "version",
      get_integer (body, POSITION_VERSION), "settling_ms",
      get_integer (body, POSITION_REMOVAL_GRACE), "hint",
      get_integer (body, POSITION_HINT), "connected",
      json_is_true (json_array_get (body, POSITION_IS_CONNECTED)), key, list,
      "documents", translate_documents (body), "evacuations",
      json_array_get (body, optional_position), "view",
      json_array_get (body, optional_position + 1));
}

/* Returns the documents of a listing as {"KIND/NAME": {version, value}};
   malformed ones are left out. */
static json_t *
translate_documents (const json_t *body)
{
  json_t *documents = json_object ();
  size_t index;
  json_t *entry;
  json_array_foreach (json_array_get (body, POSITION_DOCUMENTS), index, entry)
  {
    const char *path = json_string_value (json_array_get (entry, 0));
    const char *text = json_string_value (json_array_get (entry, 2));
    json_t *value = text ? json_loads (text, JSON_DECODE_ANY, NULL) : NULL;
    if (path && value && json_is_integer (json_array_get (entry, 1)))
      json_object_set_new (documents, path,
                           json_pack ("{s:O, s:O}", "version",
                                      json_array_get (entry, 1), "value",
                                      value));
    json_decref (value);
  }
  return documents;
}

static json_t *
translate_document (const json_t *body)
{
  const char *text = json_string_value (json_array_get (body, POSITION_TEXT));
  json_t *value = text ? json_loads (text, JSON_DECODE_ANY, NULL) : NULL;
  if (!value)
    return NULL;
  return json_pack ("{s:I, s:o}", "version",
                    get_integer (body, POSITION_VERSION), "value", value);
}

/* Returns -1 if there is no integer at the position. */
static json_int_t
get_integer (const json_t *array, size_t position)
{
  const json_t *value = json_array_get (array, position);
  return json_is_integer (value) ? json_integer_value (value) : -1;
}

static gbd_status_t
read_server (const char *name, const json_t *value, gbd_time_t now,
             gbd_pool_entry_t *entry, const char **problem)
{
  const char *address
      = json_string_value (json_array_get (value, FIELD_ADDRESS));
  json_int_t slots = get_integer (value, FIELD_SLOTS);
  json_int_t warm_up_ms = get_integer (value, FIELD_WARM_UP);
  memset (entry, 0, sizeof *entry);
  *problem = "the address is not an IP address with a port";
  if (!address
      || gbd_address_parse (address, &entry->backend.address) != GBD_OK)
    return GBD_ERROR_FORMAT;
  *problem = "identifier, service, zone or state is not an integer";
  if (!json_is_integer (json_array_get (value, FIELD_ID))
      || !json_is_integer (json_array_get (value, FIELD_SERVICE))
      || !json_is_integer (json_array_get (value, FIELD_ZONE))
      || !json_is_integer (json_array_get (value, FIELD_STATE)))
    return GBD_ERROR_FORMAT;
  *problem = "the number of slots is not a positive integer";
  if (slots <= 0 || slots > UINT32_MAX)
    return GBD_ERROR_FORMAT;
  entry->backend.id = (gbd_backend_id_t)get_integer (value, FIELD_ID);
  entry->backend.zone = (gbd_zone_id_t)get_integer (value, FIELD_ZONE);
  entry->backend.state = get_integer (value, FIELD_STATE) == 0
                             ? GBD_BACKEND_READY
                             : GBD_BACKEND_DRAINING;
  entry->service = (gbd_service_id_t)get_integer (value, FIELD_SERVICE);
  entry->slots = (uint32_t)slots;
  entry->start_time_ms = MAX (0, get_integer (value, FIELD_START_TIME));
  entry->warm_at = warm_up_ms > 0 ? now + warm_up_ms * GBD_MILLISECOND : 0;
  g_strlcpy (entry->name, name, sizeof entry->name);
  return GBD_OK;
}
