#include "relay_codec.h"

#include <string.h>

#include "libgooseberrydrum/msgpack_scan.h"

/* Values in one message: about eleven for each of 60,000 backend servers. */
#define VALUES_MAX ((size_t)1 << 20)

static json_t *to_json (const msgpack_object *object);
static json_t *array_to_json (const msgpack_object_array *array);

bool
gbd_relay_pack (msgpack_packer *packer, const json_t *value)
{
  size_t index;
  json_t *entry;
  switch (value ? json_typeof (value) : JSON_NULL)
    {
    case JSON_ARRAY:
      msgpack_pack_array (packer, json_array_size (value));
      json_array_foreach (value, index, entry)
      {
        if (!gbd_relay_pack (packer, entry))
          return false;
      }
      return true;
    case JSON_STRING:
      msgpack_pack_str_with_body (packer, json_string_value (value),
                                  json_string_length (value));
      return true;
    case JSON_INTEGER:
      msgpack_pack_int64 (packer, json_integer_value (value));
      return true;
    case JSON_TRUE:
      msgpack_pack_true (packer);
      return true;
    case JSON_FALSE:
      msgpack_pack_false (packer);
      return true;
    case JSON_NULL:
      msgpack_pack_nil (packer);
      return true;
    default:
      return false;
    }
}

json_t *
gbd_relay_unpack (const void *bytes, size_t length)
{
  if (!gbd_msgpack_scan (bytes, length, VALUES_MAX))
    return NULL;
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  json_t *value = NULL;
  if (msgpack_unpack_next (&unpacked, bytes, length, NULL)
      == MSGPACK_UNPACK_SUCCESS)
    value = to_json (&unpacked.data);
  msgpack_unpacked_destroy (&unpacked);
  return value;
}

/* Returns NULL for a value that JSON or this protocol cannot represent. */
static json_t *
to_json (const msgpack_object *object)
{
  switch (object->type)
    {
    case MSGPACK_OBJECT_ARRAY:
      return array_to_json (&object->via.array);
    case MSGPACK_OBJECT_STR:
      /* The pointer of an empty string may be NULL. */
      return json_stringn (object->via.str.size ? object->via.str.ptr : "",
                           object->via.str.size);
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
      return object->via.u64 <= INT64_MAX
                 ? json_integer ((json_int_t)object->via.u64)
                 : NULL;
    case MSGPACK_OBJECT_NEGATIVE_INTEGER:
      return json_integer (object->via.i64);
    case MSGPACK_OBJECT_BOOLEAN:
      return json_boolean (object->via.boolean);
    case MSGPACK_OBJECT_NIL:
      return json_null ();
    default:
      return NULL;
    }
}

static json_t *
array_to_json (const msgpack_object_array *array)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; list && i < array->size; i++)
    {
      json_t *entry = to_json (&array->ptr[i]);
      if (entry && json_array_append_new (list, entry) == 0)
        continue;
      json_decref (list);
      return NULL;
    }
  return list;
}
