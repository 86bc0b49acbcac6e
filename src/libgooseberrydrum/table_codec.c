/* Binary encoding of tables: a flat msgpack array.

   [ kind, service, version, generation, roster phase, roster, next roster,
     backend servers, buckets, base version, digest of the base ]

   Lists are byte strings of records in network byte order.  A delta has
   nil in place of the backend servers when they equal those of the base,
   and lists only the buckets that differ.  */
#include "table_private.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>
#include <xxhash.h>

#include "msgpack_scan.h"

enum
{
  FIELD_KIND,
  FIELD_SERVICE,
  FIELD_VERSION,
  FIELD_GENERATION,
  FIELD_ROSTER_PHASE,
  FIELD_ROSTER,
  FIELD_NEXT,
  FIELD_BACKENDS,
  FIELD_BUCKETS,
  FIELD_BASE_VERSION,
  FIELD_BASE_DIGEST,
  FIELD_COUNT
};

enum
{
  KIND_FULL,
  KIND_DELTA
};

/* Largest number of msgpack values that is accepted in an encoded table; more
   than needed, as later releases may add fields. */
#define VALUES_MAX 1024

/* Sizes of the records in bytes. */
#define MEMBER_SIZE 12    /* id, zone */
#define BACKEND_SIZE 32   /* id, zone, state, family, port, address */
#define BUCKET_SIZE 5     /* `phase`, `from`, `to` */
#define CHANGE_SIZE_MAX 7 /* index, `phase`; `from` and `to` if changed */
/* Flag in the phase of a changed bucket: `from` and `to` follow the phase. */
#define CHANGE_HAS_SLOTS 0x80

/* Byte string that is written or read sequentially, and the current
   position.  */
typedef struct
{
  uint8_t *bytes;
  size_t length;
  size_t offset;
} cursor_t;

/* Output buffer, and whether a write to it has failed.  */
typedef struct
{
  msgpack_sbuffer buffer;
  bool has_failed;
} output_t;

static int write_output (void *data, const char *bytes, size_t length);
static void write_number (cursor_t *cursor, uint64_t number, size_t size);
static uint64_t read_number (cursor_t *cursor, size_t size);
static void pack_cursor (msgpack_packer *packer, const cursor_t *cursor);
static void pack_roster (msgpack_packer *packer, const gbd_member_t *members,
                         uint8_t count);
static bool pack_backends (msgpack_packer *packer, const gbd_table_t *table);
static bool pack_buckets (msgpack_packer *packer, const gbd_table_t *table);
static bool pack_changes (msgpack_packer *packer, const gbd_table_t *table,
                          const gbd_table_t *base);
static bool has_equal_backends (const gbd_table_t *a, const gbd_table_t *b);
static bool compute_digest (const gbd_table_t *table, uint64_t *digest);
static gbd_table_t *unpack_fields (const msgpack_object *fields,
                                   const gbd_table_t *base);
static gbd_table_t *allocate_full_table (const msgpack_object *fields);
static gbd_table_t *copy_delta_base (const msgpack_object *fields,
                                     const gbd_table_t *base);
static bool read_header (const msgpack_object *fields, gbd_table_t *table);
static bool read_roster (const msgpack_object *field, gbd_member_t *members,
                         uint8_t *count);
static bool read_backends (const msgpack_object *field, gbd_table_t *table);
static bool read_buckets (const msgpack_object *field, gbd_table_t *table);
static bool read_changes (const msgpack_object *field, gbd_table_t *table);
static bool is_number (const msgpack_object *field);
static bool open_records (const msgpack_object *field, size_t record_size,
                          size_t record_max, cursor_t *cursor);

uint8_t *
gbd_table_pack (const gbd_table_t *table, const gbd_table_t *base,
                size_t *length)
{
  if (base
      && (base->service != table->service
          || base->bucket_count != table->bucket_count))
    base = NULL;
  uint64_t digest = 0;
  if (base && !compute_digest (base, &digest))
    return NULL;

  output_t output = { .has_failed = false };
  msgpack_packer packer;
  msgpack_sbuffer_init (&output.buffer);
  msgpack_packer_init (&packer, &output, write_output);
  msgpack_pack_array (&packer, FIELD_COUNT);
  msgpack_pack_uint8 (&packer, base ? KIND_DELTA : KIND_FULL);
  msgpack_pack_uint64 (&packer, table->service);
  msgpack_pack_uint64 (&packer, table->version);
  msgpack_pack_uint64 (&packer, table->generation);
  msgpack_pack_uint8 (&packer, table->roster_phase);
  pack_roster (&packer, table->roster, table->roster_count);
  pack_roster (&packer, table->next, table->next_count);

  bool is_packed = true;
  if (base && has_equal_backends (table, base))
    msgpack_pack_nil (&packer);
  else
    is_packed = pack_backends (&packer, table);
  is_packed = is_packed
              && (base ? pack_changes (&packer, table, base)
                       : pack_buckets (&packer, table));
  msgpack_pack_uint64 (&packer, base ? base->version : 0);
  msgpack_pack_uint64 (&packer, digest);
  if (!is_packed || output.has_failed)
    {
      msgpack_sbuffer_destroy (&output.buffer);
      return NULL;
    }
  *length = output.buffer.size;
  return (uint8_t *)msgpack_sbuffer_release (&output.buffer);
}

gbd_table_t *
gbd_table_unpack (const uint8_t *bytes, size_t length, const gbd_table_t *base)
{
  if (length > GBD_TABLE_ENCODED_SIZE_MAX
      || !gbd_msgpack_scan (bytes, length, VALUES_MAX))
    return NULL;

  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  gbd_table_t *table = NULL;
  size_t offset = 0;
  if (msgpack_unpack_next (&unpacked, (const char *)bytes, length, &offset)
          == MSGPACK_UNPACK_SUCCESS
      && unpacked.data.type == MSGPACK_OBJECT_ARRAY
      && unpacked.data.via.array.size >= FIELD_COUNT)
    table = unpack_fields (unpacked.data.via.array.ptr, base);
  msgpack_unpacked_destroy (&unpacked);

  if (table && !gbd_table_is_valid (table))
    {
      gbd_table_delete (table);
      table = NULL;
    }
  return table;
}

static int
write_output (void *data, const char *bytes, size_t length)
{
  output_t *output = data;
  if (msgpack_sbuffer_write (&output->buffer, bytes, length) != 0)
    output->has_failed = true;
  return output->has_failed ? -1 : 0;
}

static void
write_number (cursor_t *cursor, uint64_t number, size_t size)
{
  assert (cursor->offset + size <= cursor->length);
  for (size_t i = size; i > 0; i--)
    cursor->bytes[cursor->offset++] = (uint8_t)(number >> (8 * (i - 1)));
}

static uint64_t
read_number (cursor_t *cursor, size_t size)
{
  assert (cursor->offset + size <= cursor->length);
  uint64_t number = 0;
  for (size_t i = 0; i < size; i++)
    number = number << 8 | cursor->bytes[cursor->offset++];
  return number;
}

static void
pack_cursor (msgpack_packer *packer, const cursor_t *cursor)
{
  msgpack_pack_bin (packer, cursor->offset);
  msgpack_pack_bin_body (packer, cursor->bytes, cursor->offset);
}

static void
pack_roster (msgpack_packer *packer, const gbd_member_t *members,
             uint8_t count)
{
  uint8_t bytes[GBD_ROSTER_MAX * MEMBER_SIZE];
  cursor_t cursor = { bytes, sizeof bytes, 0 };
  for (uint8_t i = 0; i < count; i++)
    {
      write_number (&cursor, members[i].id, 8);
      write_number (&cursor, members[i].zone, 4);
    }
  pack_cursor (packer, &cursor);
}

static bool
pack_backends (msgpack_packer *packer, const gbd_table_t *table)
{
  cursor_t cursor = { .length = (size_t)table->backend_count * BACKEND_SIZE };
  cursor.bytes = malloc (cursor.length + 1);
  if (!cursor.bytes)
    return false;
  for (uint32_t i = 0; i < table->backend_count; i++)
    {
      const gbd_backend_t *backend = &table->backends[i];
      write_number (&cursor, backend->id, 8);
      write_number (&cursor, backend->zone, 4);
      write_number (&cursor, backend->state, 1);
      write_number (&cursor, backend->address.family, 1);
      write_number (&cursor, backend->address.port, 2);
      memcpy (cursor.bytes + cursor.offset, backend->address.ip, 16);
      cursor.offset += 16;
    }
  pack_cursor (packer, &cursor);
  free (cursor.bytes);
  return true;
}

static bool
pack_buckets (msgpack_packer *packer, const gbd_table_t *table)
{
  cursor_t cursor = { .length = (size_t)table->bucket_count * BUCKET_SIZE };
  cursor.bytes = malloc (cursor.length);
  if (!cursor.bytes)
    return false;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      write_number (&cursor, table->buckets[i].phase, 1);
      write_number (&cursor, table->buckets[i].from, 2);
      write_number (&cursor, table->buckets[i].to, 2);
    }
  pack_cursor (packer, &cursor);
  free (cursor.bytes);
  return true;
}

static bool
pack_changes (msgpack_packer *packer, const gbd_table_t *table,
              const gbd_table_t *base)
{
  cursor_t cursor
      = { .length = (size_t)table->bucket_count * CHANGE_SIZE_MAX };
  cursor.bytes = malloc (cursor.length);
  if (!cursor.bytes)
    return false;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      const gbd_bucket_t *bucket = &table->buckets[i];
      const gbd_bucket_t *previous = &base->buckets[i];
      bool has_slots
          = bucket->from != previous->from || bucket->to != previous->to;
      if (!has_slots && bucket->phase == previous->phase)
        continue;
      write_number (&cursor, i, 2);
      write_number (&cursor,
                    bucket->phase | (has_slots ? CHANGE_HAS_SLOTS : 0U), 1);
      if (!has_slots)
        continue;
      write_number (&cursor, bucket->from, 2);
      write_number (&cursor, bucket->to, 2);
    }
  pack_cursor (packer, &cursor);
  free (cursor.bytes);
  return true;
}

static bool
has_equal_backends (const gbd_table_t *a, const gbd_table_t *b)
{
  if (a->backend_count != b->backend_count)
    return false;
  for (uint32_t i = 0; i < a->backend_count; i++)
    {
      const gbd_backend_t *x = &a->backends[i];
      const gbd_backend_t *y = &b->backends[i];
      if (x->id != y->id || x->zone != y->zone || x->state != y->state
          || !gbd_address_is_equal (&x->address, &y->address))
        return false;
    }
  return true;
}

static bool
compute_digest (const gbd_table_t *table, uint64_t *digest)
{
  size_t length;
  uint8_t *bytes = gbd_table_pack (table, NULL, &length);
  if (!bytes)
    return false;
  *digest = XXH3_64bits (bytes, length);
  free (bytes);
  return true;
}

static gbd_table_t *
unpack_fields (const msgpack_object *fields, const gbd_table_t *base)
{
  if (!is_number (&fields[FIELD_KIND]))
    return NULL;
  uint64_t kind = fields[FIELD_KIND].via.u64;
  gbd_table_t *table = NULL;
  if (kind == KIND_FULL)
    table = allocate_full_table (fields);
  else if (kind == KIND_DELTA && base)
    table = copy_delta_base (fields, base);
  if (!table)
    return NULL;

  bool is_full = kind == KIND_FULL;
  bool has_backends = fields[FIELD_BACKENDS].type != MSGPACK_OBJECT_NIL;
  if (read_header (fields, table)
      && ((!is_full && !has_backends)
          || read_backends (&fields[FIELD_BACKENDS], table))
      && (is_full ? read_buckets (&fields[FIELD_BUCKETS], table)
                  : read_changes (&fields[FIELD_BUCKETS], table)))
    return table;
  gbd_table_delete (table);
  return NULL;
}

static gbd_table_t *
allocate_full_table (const msgpack_object *fields)
{
  const msgpack_object *buckets = &fields[FIELD_BUCKETS];
  if (buckets->type != MSGPACK_OBJECT_BIN
      || buckets->via.bin.size % BUCKET_SIZE != 0
      || !gbd_table_is_bucket_count (buckets->via.bin.size / BUCKET_SIZE))
    return NULL;
  return gbd_table_allocate (buckets->via.bin.size / BUCKET_SIZE, 0);
}

static gbd_table_t *
copy_delta_base (const msgpack_object *fields, const gbd_table_t *base)
{
  uint64_t digest;
  if (!is_number (&fields[FIELD_SERVICE])
      || !is_number (&fields[FIELD_BASE_VERSION])
      || !is_number (&fields[FIELD_BASE_DIGEST])
      || fields[FIELD_SERVICE].via.u64 != base->service
      || fields[FIELD_BASE_VERSION].via.u64 != base->version
      || !compute_digest (base, &digest)
      || fields[FIELD_BASE_DIGEST].via.u64 != digest)
    return NULL;
  return gbd_table_copy (base);
}

static bool
read_header (const msgpack_object *fields, gbd_table_t *table)
{
  for (int i = FIELD_SERVICE; i <= FIELD_ROSTER_PHASE; i++)
    if (!is_number (&fields[i]))
      return false;
  if (fields[FIELD_ROSTER_PHASE].via.u64 > GBD_ROSTER_SWITCHED)
    return false;
  table->service = fields[FIELD_SERVICE].via.u64;
  table->version = fields[FIELD_VERSION].via.u64;
  table->generation = fields[FIELD_GENERATION].via.u64;
  table->roster_phase = (uint8_t)fields[FIELD_ROSTER_PHASE].via.u64;
  return read_roster (&fields[FIELD_ROSTER], table->roster,
                      &table->roster_count)
         && read_roster (&fields[FIELD_NEXT], table->next, &table->next_count);
}

static bool
read_roster (const msgpack_object *field, gbd_member_t *members,
             uint8_t *count)
{
  cursor_t cursor;
  if (!open_records (field, MEMBER_SIZE, GBD_ROSTER_MAX, &cursor))
    return false;
  memset (members, 0, GBD_ROSTER_MAX * sizeof *members);
  *count = (uint8_t)(cursor.length / MEMBER_SIZE);
  for (uint8_t i = 0; i < *count; i++)
    {
      members[i].id = read_number (&cursor, 8);
      members[i].zone = (gbd_zone_id_t)read_number (&cursor, 4);
    }
  return true;
}

static bool
read_backends (const msgpack_object *field, gbd_table_t *table)
{
  cursor_t cursor;
  if (!open_records (field, BACKEND_SIZE, GBD_BACKENDS_MAX, &cursor)
      || !gbd_table_resize_backends (table,
                                     (uint32_t)(cursor.length / BACKEND_SIZE)))
    return false;
  for (uint32_t i = 0; i < table->backend_count; i++)
    {
      gbd_backend_t *backend = &table->backends[i];
      backend->id = read_number (&cursor, 8);
      backend->zone = (gbd_zone_id_t)read_number (&cursor, 4);
      backend->state = (uint8_t)read_number (&cursor, 1);
      backend->address.family = (uint8_t)read_number (&cursor, 1);
      backend->address.port = (uint16_t)read_number (&cursor, 2);
      memcpy (backend->address.ip, cursor.bytes + cursor.offset, 16);
      cursor.offset += 16;
    }
  return true;
}

static bool
read_buckets (const msgpack_object *field, gbd_table_t *table)
{
  cursor_t cursor;
  if (!open_records (field, BUCKET_SIZE, table->bucket_count, &cursor)
      || cursor.length != (size_t)table->bucket_count * BUCKET_SIZE)
    return false;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      gbd_bucket_t *bucket = &table->buckets[i];
      bucket->phase = (uint8_t)read_number (&cursor, 1);
      bucket->from = (gbd_slot_t)read_number (&cursor, 2);
      bucket->to = (gbd_slot_t)read_number (&cursor, 2);
    }
  return true;
}

static bool
read_changes (const msgpack_object *field, gbd_table_t *table)
{
  cursor_t cursor;
  if (!open_records (field, 1, GBD_TABLE_ENCODED_SIZE_MAX, &cursor))
    return false;
  while (cursor.offset < cursor.length)
    {
      if (cursor.length - cursor.offset < 3)
        return false;
      uint64_t index = read_number (&cursor, 2);
      uint64_t phase = read_number (&cursor, 1);
      if (index >= table->bucket_count)
        return false;
      gbd_bucket_t *bucket = &table->buckets[index];
      bucket->phase = (uint8_t)(phase & ~(uint64_t)CHANGE_HAS_SLOTS);
      if (!(phase & CHANGE_HAS_SLOTS))
        continue;
      if (cursor.length - cursor.offset < 4)
        return false;
      bucket->from = (gbd_slot_t)read_number (&cursor, 2);
      bucket->to = (gbd_slot_t)read_number (&cursor, 2);
    }
  return true;
}

static bool
is_number (const msgpack_object *field)
{
  return field->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool
open_records (const msgpack_object *field, size_t record_size,
              size_t record_max, cursor_t *cursor)
{
  if (field->type != MSGPACK_OBJECT_BIN
      || field->via.bin.size % record_size != 0
      || field->via.bin.size / record_size > record_max)
    return false;
  *cursor = (cursor_t){ .bytes = (uint8_t *)field->via.bin.ptr,
                        .length = field->via.bin.size };
  return true;
}
