/* Packing of the messages of a relay; see relay_codec.h. */
#include "relay_private.h"

#include <string.h>

#include "relay_members.h"

static unsigned find_status (const gbd_relay_t *relay, const uint64_t *since);
static void pack_objects (const gbd_relay_t *relay, const uint64_t *since,
                          bool with_documents, msgpack_sbuffer *buffer);
static void append_view (gbd_relay_t *relay, const gbd_address_t *address);
static void pack_documents (const gbd_relay_t *relay, bool with_documents,
                            msgpack_sbuffer *buffer);
static size_t count_optional_entries (const gbd_relay_t *relay);
static void pack_evacuations (const gbd_relay_t *relay,
                              msgpack_packer *packer);
static void pack_rejection (const gbd_relay_t *relay, msgpack_sbuffer *buffer);
static bool is_included (const gbd_relay_object_t *object,
                         const uint64_t *since);
static void pack_text (msgpack_packer *packer, const char *text);
static GBytes *take_bytes (msgpack_sbuffer *buffer);

const GByteArray *
gbd_relay_build_response (gbd_relay_t *relay, const uint64_t *since,
                          bool with_documents, const gbd_address_t *address,
                          unsigned *status)
{
  gbd_relay_cached_response_t *cached = &relay->cached_response;
  with_documents = with_documents && !relay->is_connected;
  bool is_cached = cached->is_valid && cached->has_since == (since != NULL)
                   && cached->with_documents == with_documents
                   && (!since || cached->since == *since);
  if (!is_cached)
    {
      msgpack_sbuffer buffer;
      msgpack_sbuffer_init (&buffer);
      cached->status = find_status (relay, since);
      if (cached->status == HTTP_STATUS_OK)
        pack_objects (relay, since, with_documents, &buffer);
      else
        pack_rejection (relay, &buffer);
      g_byte_array_set_size (cached->body, 0);
      g_byte_array_append (cached->body, (const guint8 *)buffer.data,
                           (guint)buffer.size);
      msgpack_sbuffer_destroy (&buffer);
      cached->shared_length = cached->body->len;
      cached->has_since = since != NULL;
      cached->with_documents = with_documents;
      cached->since = since ? *since : 0;
      /* Whether a reader with a newer version exists changes with time. */
      cached->is_valid = cached->status == HTTP_STATUS_OK;
    }
  append_view (relay, address);
  *status = cached->status;
  return cached->body;
}

GBytes *
gbd_relay_pack_value (const json_t *value)
{
  GBytes *bytes = NULL;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  if (gbd_relay_pack (&packer, value))
    bytes = take_bytes (&buffer);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

gbd_relay_document_t *
gbd_relay_pack_document (const char *path, uint64_t version, const char *text)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  gbd_relay_document_t *document = g_new0 (gbd_relay_document_t, 1);
  msgpack_sbuffer_init (&buffer);
  gbd_relay_pack_document_message (version, text, &buffer);
  document->message = take_bytes (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, GBD_RELAY_OBJECT_LENGTH);
  pack_text (&packer, path);
  msgpack_pack_uint64 (&packer, version);
  pack_text (&packer, text);
  document->entry = take_bytes (&buffer);
  msgpack_sbuffer_destroy (&buffer);
  return document;
}

void
gbd_relay_pack_document_message (uint64_t version, const char *text,
                                 msgpack_sbuffer *buffer)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, GBD_RELAY_DOCUMENT_LENGTH);
  msgpack_pack_int (&packer, GBD_RELAY_SCHEMA);
  msgpack_pack_int (&packer, GBD_RELAY_DOCUMENT);
  msgpack_pack_uint64 (&packer, version);
  pack_text (&packer, text);
}

static unsigned
find_status (const gbd_relay_t *relay, const uint64_t *since)
{
  if (!since)
    return relay->version ? HTTP_STATUS_OK : HTTP_STATUS_SERVICE_UNAVAILABLE;
  if (!relay->is_connected)
    return HTTP_STATUS_SERVICE_UNAVAILABLE;
  return *since < relay->compacted_version ? HTTP_STATUS_GONE : HTTP_STATUS_OK;
}

static void
pack_objects (const gbd_relay_t *relay, const uint64_t *since,
              bool with_documents, msgpack_sbuffer *buffer)
{
  GHashTableIter iterator;
  gpointer name;
  gpointer data;
  size_t count = 0;
  g_hash_table_iter_init (&iterator, relay->objects);
  while (g_hash_table_iter_next (&iterator, NULL, &data))
    count += is_included (data, since);

  msgpack_packer packer;
  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (
      &packer, (since ? GBD_RELAY_CHANGES_LENGTH : GBD_RELAY_LISTING_LENGTH)
                   + count_optional_entries (relay));
  msgpack_pack_int (&packer, GBD_RELAY_SCHEMA);
  msgpack_pack_int (&packer, since ? GBD_RELAY_CHANGES : GBD_RELAY_LISTING);
  msgpack_pack_uint64 (&packer,
                       since ? MAX (*since, relay->version) : relay->version);
  msgpack_pack_uint32 (&packer, relay->removal_grace_ms);
  msgpack_pack_uint64 (&packer, relay->hint);
  gbd_relay_pack (&packer, relay->is_connected ? json_true () : json_false ());
  msgpack_pack_array (&packer, count);
  g_hash_table_iter_init (&iterator, relay->objects);
  while (g_hash_table_iter_next (&iterator, &name, &data))
    {
      const gbd_relay_object_t *object = data;
      if (!is_included (object, since))
        continue;
      msgpack_pack_array (&packer, GBD_RELAY_OBJECT_LENGTH);
      pack_text (&packer, name);
      msgpack_pack_uint64 (&packer, object->version);
      gsize length = 0;
      const void *value
          = object->value ? g_bytes_get_data (object->value, &length) : NULL;
      if (value)
        msgpack_sbuffer_write (buffer, value, length);
      else
        msgpack_pack_nil (&packer);
    }
  if (!since)
    pack_documents (relay, with_documents, buffer);
  pack_evacuations (relay, &packer);
}

/* Appends the view of one reader to the response, of which the rest is the
   same for all readers of a version. */
static void
append_view (gbd_relay_t *relay, const gbd_address_t *address)
{
  gbd_relay_cached_response_t *cached = &relay->cached_response;
  const gbd_address_t unknown = { 0 };
  g_byte_array_set_size (cached->body, cached->shared_length);
  if (!relay->members)
    return;
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  gbd_relay_pack_view (relay->members, address ? address : &unknown,
                       relay->now, &buffer);
  g_byte_array_append (cached->body, (const guint8 *)buffer.data,
                       (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

static void
pack_documents (const gbd_relay_t *relay, bool with_documents,
                msgpack_sbuffer *buffer)
{
  GHashTableIter iterator;
  gpointer data;
  msgpack_packer packer;
  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (
      &packer, with_documents ? g_hash_table_size (relay->documents) : 0);
  if (!with_documents)
    return;
  g_hash_table_iter_init (&iterator, relay->documents);
  while (g_hash_table_iter_next (&iterator, NULL, &data))
    {
      const gbd_relay_document_t *document = data;
      gsize length;
      const void *bytes = g_bytes_get_data (document->entry, &length);
      msgpack_sbuffer_write (buffer, bytes, length);
    }
}

/* Returns the number of entries that this relay appends to a message:
   evacuations, and the view of the group. */
static size_t
count_optional_entries (const gbd_relay_t *relay)
{
  if (relay->members)
    return 2;
  return relay->sends_evacuations ? 1 : 0;
}

static void
pack_evacuations (const gbd_relay_t *relay, msgpack_packer *packer)
{
  const gbd_evacuations_t *evacuations = &relay->evacuations;
  if (!relay->sends_evacuations && !relay->members)
    return;
  if (!relay->sends_evacuations || !evacuations->is_known)
    {
      msgpack_pack_nil (packer);
      return;
    }
  msgpack_pack_array (packer, 2);
  msgpack_pack_uint64 (packer, evacuations->position);
  msgpack_pack_array (packer, evacuations->count);
  for (uint32_t i = 0; i < evacuations->count; i++)
    pack_text (packer, evacuations->zones[i].name);
}

static void
pack_rejection (const gbd_relay_t *relay, msgpack_sbuffer *buffer)
{
  msgpack_packer packer;
  bool has_newer_reader
      = gbd_newer_readers_are_reported (&relay->newer_readers, relay->now);
  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, GBD_RELAY_REJECTION_LENGTH
                                   + count_optional_entries (relay));
  msgpack_pack_int (&packer, GBD_RELAY_SCHEMA);
  msgpack_pack_int (&packer, GBD_RELAY_REJECTION);
  msgpack_pack_uint32 (&packer, relay->reader_count);
  gbd_relay_pack (&packer, has_newer_reader ? json_true () : json_false ());
  pack_evacuations (relay, &packer);
}

static bool
is_included (const gbd_relay_object_t *object, const uint64_t *since)
{
  return since ? object->published_version > *since
               : object->value && object->published_version;
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  msgpack_pack_str_with_body (packer, text, strlen (text));
}

/* Returns the content of a buffer, which is then empty. */
static GBytes *
take_bytes (msgpack_sbuffer *buffer)
{
  GBytes *bytes = g_bytes_new (buffer->data, buffer->size);
  msgpack_sbuffer_destroy (buffer);
  msgpack_sbuffer_init (buffer);
  return bytes;
}
