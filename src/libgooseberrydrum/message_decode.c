#include "gooseberrydrum/message.h"
#include "message_private.h"
#include "msgpack_scan.h"

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#define VALUES_MAX 32768 /* largest number of msgpack values in a message */

/** Sequential reader of the entries of a message.  The first entry that is
 *  missing or has a wrong type makes the entire message malformed. */
typedef struct
{
  const msgpack_object *entries;
  uint32_t count;
  uint32_t next;
  gbd_status_t status;
} reader_t;

/** Read the body of a message: the entries after the sender.  All allocated
 *  memory is stored in the message at once, so that it is freed with the
 *  message if the reader fails later. */
typedef void (*body_reader_t) (reader_t *reader, gbd_message_t *message);

/** Identifiers of a list and the numbers that belong to them. */
typedef struct
{
  const uint8_t *ids;
  const msgpack_object *numbers;
  size_t count;
} id_list_t;

static gbd_status_t decode_object (const msgpack_object *object,
                                   gbd_message_t *message);
static void read_hello (reader_t *reader, gbd_message_t *message);
static void read_heartbeat (reader_t *reader, gbd_message_t *message);
static void read_acks (reader_t *reader, gbd_message_t *message);
static void read_progress (reader_t *reader, gbd_message_t *message);
static void read_table (reader_t *reader, gbd_message_t *message);
static void read_table_request (reader_t *reader, gbd_message_t *message);
static void read_flows (reader_t *reader, gbd_message_t *message);
static void read_flows_end (reader_t *reader, gbd_message_t *message);
static void read_copy_request (reader_t *reader, gbd_message_t *message);
static void read_config (reader_t *reader, gbd_message_t *message);
static void read_load (reader_t *reader, gbd_message_t *message);
static const msgpack_object *next_entry (reader_t *reader,
                                         msgpack_object_type type);
static uint64_t next_number (reader_t *reader, uint64_t maximum);
static void next_text (reader_t *reader, char *text, size_t size);
static uint8_t *next_bytes (reader_t *reader, uint32_t *length);
static id_list_t next_list (reader_t *reader, size_t numbers_per_id,
                            size_t count_max);
static const msgpack_object *next_numbers (reader_t *reader, size_t *count);
static void *allocate (reader_t *reader, size_t count, size_t size);
static void fail (reader_t *reader, gbd_status_t status);
static uint64_t read_id (const id_list_t *list, size_t index);

static const body_reader_t body_readers[GBD_MESSAGE_TYPE_COUNT] = {
  [GBD_MESSAGE_HELLO] = read_hello,
  [GBD_MESSAGE_HEARTBEAT] = read_heartbeat,
  [GBD_MESSAGE_TABLE] = read_table,
  [GBD_MESSAGE_TABLE_REQUEST] = read_table_request,
  [GBD_MESSAGE_FLOWS] = read_flows,
  [GBD_MESSAGE_FLOWS_END] = read_flows_end,
  [GBD_MESSAGE_COPY_REQUEST] = read_copy_request,
  [GBD_MESSAGE_CONFIG] = read_config,
  [GBD_MESSAGE_LOAD] = read_load,
};

gbd_status_t
gbd_message_decode (const uint8_t *bytes, size_t length,
                    gbd_message_t *message)
{
  memset (message, 0, sizeof *message);
  if (length > GBD_MESSAGE_LENGTH_MAX
      || !gbd_msgpack_scan (bytes, length, VALUES_MAX))
    return GBD_ERROR_FORMAT;

  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  size_t offset = 0;
  msgpack_unpack_return result
      = msgpack_unpack_next (&unpacked, (const char *)bytes, length, &offset);
  gbd_status_t status = GBD_ERROR_FORMAT;
  if (result == MSGPACK_UNPACK_NOMEM_ERROR)
    status = GBD_ERROR_MEMORY;
  else if (result == MSGPACK_UNPACK_SUCCESS && offset == length)
    status = decode_object (&unpacked.data, message);
  msgpack_unpacked_destroy (&unpacked);
  return status;
}

static gbd_status_t
decode_object (const msgpack_object *object, gbd_message_t *message)
{
  if (object->type != MSGPACK_OBJECT_ARRAY)
    return GBD_ERROR_FORMAT;

  reader_t reader = { .entries = object->via.array.ptr,
                      .count = object->via.array.size,
                      .status = GBD_OK };
  uint64_t type = next_number (&reader, UINT64_MAX);
  message->from = next_number (&reader, UINT64_MAX);
  if (type == 0 || message->from == 0)
    fail (&reader, GBD_ERROR_FORMAT);
  if (reader.status != GBD_OK)
    return reader.status;
  if (type >= GBD_MESSAGE_TYPE_COUNT)
    return GBD_ERROR_NOT_FOUND;

  message->type = (uint8_t)type;
  body_readers[type](&reader, message);
  if (reader.status != GBD_OK)
    gbd_message_clear (message);
  return reader.status;
}

static void
read_hello (reader_t *reader, gbd_message_t *message)
{
  char listen[GBD_ADDRESS_TEXT_MAX];
  message->body.hello.version_min = (uint8_t)next_number (reader, UINT8_MAX);
  message->body.hello.version_max = (uint8_t)next_number (reader, UINT8_MAX);
  message->body.hello.zone = (gbd_zone_id_t)next_number (reader, UINT32_MAX);
  next_text (reader, message->body.hello.name,
             sizeof message->body.hello.name);
  next_text (reader, listen, sizeof listen);
  if (reader->status != GBD_OK)
    return;

  bool is_valid
      = message->body.hello.version_min <= message->body.hello.version_max
        && gbd_address_parse (listen, &message->body.hello.listen) == GBD_OK;
  if (!is_valid)
    fail (reader, GBD_ERROR_FORMAT);
}

static void
read_heartbeat (reader_t *reader, gbd_message_t *message)
{
  message->body.heartbeat.sequence = next_number (reader, UINT64_MAX);
  uint64_t flags = next_number (reader, UINT32_MAX);
  message->body.heartbeat.leaving = (flags & HEARTBEAT_LEAVING) != 0;
  message->body.heartbeat.watching = (flags & HEARTBEAT_WATCHING) != 0;
  message->body.heartbeat.platform_age_ms
      = (uint32_t)next_number (reader, UINT32_MAX);
  message->body.heartbeat.loss_free_ms
      = (uint32_t)next_number (reader, UINT32_MAX);
  message->body.heartbeat.generation = next_number (reader, UINT64_MAX);
  read_acks (reader, message);
  read_progress (reader, message);
}

static void
read_acks (reader_t *reader, gbd_message_t *message)
{
  id_list_t list = next_list (reader, ACK_NUMBERS, GBD_INCARNATIONS_MAX);
  for (size_t i = 0; i < list.count; i++)
    {
      const msgpack_object *numbers = &list.numbers[i * ACK_NUMBERS];
      gbd_heartbeat_ack_t *ack = &message->body.heartbeat.acks[i];
      if (numbers[1].via.u64 > UINT32_MAX)
        {
          fail (reader, GBD_ERROR_FORMAT);
          return;
        }
      ack->id = read_id (&list, i);
      ack->sequence = numbers[0].via.u64;
      ack->age_ms = (uint32_t)numbers[1].via.u64;
    }
  message->body.heartbeat.ack_count = (uint16_t)list.count;
}

static void
read_progress (reader_t *reader, gbd_message_t *message)
{
  id_list_t list = next_list (reader, PROGRESS_NUMBERS, GBD_SERVICES_MAX);
  gbd_progress_t *progress = allocate (reader, list.count, sizeof *progress);
  if (!progress)
    return;

  for (size_t i = 0; i < list.count; i++)
    {
      const msgpack_object *numbers = &list.numbers[i * PROGRESS_NUMBERS];
      progress[i].service = read_id (&list, i);
      progress[i].version = numbers[0].via.u64;
      progress[i].complete = numbers[0].via.u64 - numbers[1].via.u64;
    }
  message->body.heartbeat.progress = progress;
  message->body.heartbeat.progress_count = (uint16_t)list.count;
}

static void
read_table (reader_t *reader, gbd_message_t *message)
{
  message->body.table.service = next_number (reader, UINT64_MAX);
  message->body.table.version = next_number (reader, UINT64_MAX);
  message->body.table.base = next_number (reader, UINT64_MAX);
  message->body.table.bytes = next_bytes (reader, &message->body.table.length);
}

static void
read_table_request (reader_t *reader, gbd_message_t *message)
{
  message->body.table_request.service = next_number (reader, UINT64_MAX);
  message->body.table_request.version = next_number (reader, UINT64_MAX);
}

static void
read_flows (reader_t *reader, gbd_message_t *message)
{
  message->body.flows.service = next_number (reader, UINT64_MAX);
  message->body.flows.version = next_number (reader, UINT64_MAX);
  message->body.flows.kind = (uint8_t)next_number (reader, GBD_FLOWS_SHARE);
  id_list_t list = next_list (reader, 1, GBD_FLOWS_MAX);
  gbd_flow_entry_t *entries = allocate (reader, list.count, sizeof *entries);
  if (!entries)
    return;

  message->body.flows.entries = entries;
  message->body.flows.count = (uint16_t)list.count;
  for (size_t i = 0; i < list.count; i++)
    {
      entries[i].hash = read_id (&list, i);
      entries[i].slot = (gbd_slot_t)list.numbers[i].via.u64;
      if (list.numbers[i].via.u64 > UINT16_MAX)
        fail (reader, GBD_ERROR_FORMAT);
    }
}

static void
read_flows_end (reader_t *reader, gbd_message_t *message)
{
  message->body.flows_end.service = next_number (reader, UINT64_MAX);
  message->body.flows_end.version = next_number (reader, UINT64_MAX);
  message->body.flows_end.kind
      = (uint8_t)next_number (reader, GBD_FLOWS_SHARE);
}

static void
read_copy_request (reader_t *reader, gbd_message_t *message)
{
  message->body.copy_request.service = next_number (reader, UINT64_MAX);
  message->body.copy_request.version = next_number (reader, UINT64_MAX);
}

static void
read_config (reader_t *reader, gbd_message_t *message)
{
  message->body.config.generation = next_number (reader, UINT64_MAX);
  message->body.config.bytes
      = next_bytes (reader, &message->body.config.length);
}

static void
read_load (reader_t *reader, gbd_message_t *message)
{
  message->body.load.service = next_number (reader, UINT64_MAX);
  message->body.load.round = next_number (reader, UINT64_MAX);
  message->body.load.new_flows = (uint32_t)next_number (reader, UINT32_MAX);
  message->body.load.open_flows = (uint32_t)next_number (reader, UINT32_MAX);
  size_t count;
  const msgpack_object *numbers = next_numbers (reader, &count);
  if (count % LOAD_NUMBERS != 0 || count / LOAD_NUMBERS > GBD_BACKENDS_MAX)
    fail (reader, GBD_ERROR_FORMAT);
  gbd_load_entry_t *entries
      = allocate (reader, count / LOAD_NUMBERS, sizeof *entries);
  if (!entries)
    return;

  message->body.load.entries = entries;
  message->body.load.count = (uint16_t)(count / LOAD_NUMBERS);
  for (size_t i = 0; i < count; i++)
    {
      if (numbers[i].via.u64 > (i % LOAD_NUMBERS ? UINT32_MAX : UINT16_MAX))
        fail (reader, GBD_ERROR_FORMAT);
    }
  for (size_t i = 0; i < count / LOAD_NUMBERS; i++, numbers += LOAD_NUMBERS)
    {
      entries[i].slot = (gbd_slot_t)numbers[0].via.u64;
      entries[i].new_flows = (uint32_t)numbers[1].via.u64;
      entries[i].open_flows = (uint32_t)numbers[2].via.u64;
      entries[i].kilobytes = (uint32_t)numbers[3].via.u64;
    }
}

/* Read the next entry.  If the entry is missing or has another type, the
   message becomes malformed and NULL is returned. */
static const msgpack_object *
next_entry (reader_t *reader, msgpack_object_type type)
{
  if (reader->status != GBD_OK)
    return NULL;
  if (reader->next >= reader->count
      || reader->entries[reader->next].type != type)
    {
      fail (reader, GBD_ERROR_FORMAT);
      return NULL;
    }
  return &reader->entries[reader->next++];
}

static uint64_t
next_number (reader_t *reader, uint64_t maximum)
{
  const msgpack_object *entry
      = next_entry (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);
  if (!entry)
    return 0;
  if (entry->via.u64 > maximum)
    {
      fail (reader, GBD_ERROR_FORMAT);
      return 0;
    }
  return entry->via.u64;
}

/* Read a name.  Only printable characters are accepted, because names are
   written to logs. */
static void
next_text (reader_t *reader, char *text, size_t size)
{
  const msgpack_object *entry = next_entry (reader, MSGPACK_OBJECT_STR);
  if (!entry)
    return;
  size_t length = entry->via.str.size;
  bool is_valid = length > 0 && length < size;
  for (size_t i = 0; is_valid && i < length; i++)
    is_valid = entry->via.str.ptr[i] > ' ' && entry->via.str.ptr[i] <= '~';
  if (!is_valid)
    {
      fail (reader, GBD_ERROR_FORMAT);
      return;
    }
  memcpy (text, entry->via.str.ptr, length);
  text[length] = '\0';
}

static uint8_t *
next_bytes (reader_t *reader, uint32_t *length)
{
  const msgpack_object *entry = next_entry (reader, MSGPACK_OBJECT_BIN);
  if (entry && entry->via.bin.size == 0)
    fail (reader, GBD_ERROR_FORMAT);
  uint8_t *bytes = entry ? allocate (reader, entry->via.bin.size, 1) : NULL;
  if (!bytes)
    return NULL;
  *length = entry->via.bin.size;
  memcpy (bytes, entry->via.bin.ptr, *length);
  return bytes;
}

/* Read a list.  Returns an empty list if the encoded list is malformed or too
   long. */
static id_list_t
next_list (reader_t *reader, size_t numbers_per_id, size_t count_max)
{
  static const id_list_t empty;
  const msgpack_object *ids = next_entry (reader, MSGPACK_OBJECT_BIN);
  size_t number_count;
  id_list_t list = { .numbers = next_numbers (reader, &number_count) };
  if (!ids || reader->status != GBD_OK)
    return empty;

  list.ids = (const uint8_t *)ids->via.bin.ptr;
  list.count = ids->via.bin.size / ID_LENGTH;
  if (ids->via.bin.size % ID_LENGTH != 0 || list.count > count_max
      || number_count != list.count * numbers_per_id)
    {
      fail (reader, GBD_ERROR_FORMAT);
      return empty;
    }
  return list;
}

static const msgpack_object *
next_numbers (reader_t *reader, size_t *count)
{
  *count = 0;
  const msgpack_object *entry = next_entry (reader, MSGPACK_OBJECT_ARRAY);
  if (!entry)
    return NULL;
  for (uint32_t i = 0; i < entry->via.array.size; i++)
    {
      if (entry->via.array.ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        {
          fail (reader, GBD_ERROR_FORMAT);
          return NULL;
        }
    }
  *count = entry->via.array.size;
  return entry->via.array.ptr;
}

/* Allocate zeroed memory.  Returns NULL when memory is short, when the size is
   0 and after an earlier failure of the reader. */
static void *
allocate (reader_t *reader, size_t count, size_t size)
{
  if (reader->status != GBD_OK || count == 0)
    return NULL;
  void *memory = calloc (count, size);
  if (!memory)
    fail (reader, GBD_ERROR_MEMORY);
  return memory;
}

static void
fail (reader_t *reader, gbd_status_t status)
{
  if (reader->status == GBD_OK)
    reader->status = status;
}

static uint64_t
read_id (const id_list_t *list, size_t index)
{
  const uint8_t *bytes = list->ids + index * ID_LENGTH;
  uint64_t id = 0;
  for (size_t i = 0; i < ID_LENGTH; i++)
    id = id << 8 | bytes[i];
  return id;
}
