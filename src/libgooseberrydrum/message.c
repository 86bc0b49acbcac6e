#include "gooseberrydrum/message.h"
#include "message_private.h"

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

/** Bounded output buffer of the packer.  After a failed write, all later
 *  writes fail too. */
typedef struct
{
  msgpack_sbuffer buffer;
  bool has_failed;
} output_t;

/** Pack the body of a message: the entries after the sender.
 *  @return false if the message exceeds a bound. */
typedef bool (*body_packer_t) (msgpack_packer *packer,
                               const gbd_message_t *message);

typedef struct
{
  size_t entries;
  body_packer_t pack;
} encoding_t;

static bool pack_hello (msgpack_packer *packer, const gbd_message_t *message);
static bool pack_heartbeat (msgpack_packer *packer,
                            const gbd_message_t *message);
static bool pack_table (msgpack_packer *packer, const gbd_message_t *message);
static bool pack_table_request (msgpack_packer *packer,
                                const gbd_message_t *message);
static bool pack_flows (msgpack_packer *packer, const gbd_message_t *message);
static bool pack_flows_end (msgpack_packer *packer,
                            const gbd_message_t *message);
static bool pack_copy_request (msgpack_packer *packer,
                               const gbd_message_t *message);
static bool pack_config (msgpack_packer *packer, const gbd_message_t *message);
static bool pack_load (msgpack_packer *packer, const gbd_message_t *message);
static void pack_acks (msgpack_packer *packer,
                       const gbd_heartbeat_ack_t *entries, size_t count);
static void pack_progress (msgpack_packer *packer,
                           const gbd_progress_t *progress, size_t count);
static void append_id (msgpack_packer *packer, uint64_t id);
static void pack_text (msgpack_packer *packer, const char *text);
static bool pack_bytes (msgpack_packer *packer, const uint8_t *bytes,
                        size_t length);
static int output_write (void *data, const char *bytes, size_t length);
static void write_length (char *bytes, size_t length);

static const encoding_t encodings[GBD_MESSAGE_TYPE_COUNT] = {
  [GBD_MESSAGE_HELLO] = { HELLO_ENTRIES, pack_hello },
  [GBD_MESSAGE_HEARTBEAT] = { HEARTBEAT_ENTRIES, pack_heartbeat },
  [GBD_MESSAGE_TABLE] = { TABLE_ENTRIES, pack_table },
  [GBD_MESSAGE_TABLE_REQUEST] = { TABLE_REQUEST_ENTRIES, pack_table_request },
  [GBD_MESSAGE_FLOWS] = { FLOWS_ENTRIES, pack_flows },
  [GBD_MESSAGE_FLOWS_END] = { FLOWS_END_ENTRIES, pack_flows_end },
  [GBD_MESSAGE_COPY_REQUEST] = { COPY_REQUEST_ENTRIES, pack_copy_request },
  [GBD_MESSAGE_CONFIG] = { CONFIG_ENTRIES, pack_config },
  [GBD_MESSAGE_LOAD] = { LOAD_ENTRIES, pack_load },
};

void
gbd_message_clear (gbd_message_t *message)
{
  switch (message->type)
    {
    case GBD_MESSAGE_HEARTBEAT:
      free (message->body.heartbeat.progress);
      break;
    case GBD_MESSAGE_TABLE:
      free (message->body.table.bytes);
      break;
    case GBD_MESSAGE_FLOWS:
      free (message->body.flows.entries);
      break;
    case GBD_MESSAGE_CONFIG:
      free (message->body.config.bytes);
      break;
    case GBD_MESSAGE_LOAD:
      free (message->body.load.entries);
      break;
    default:
      break;
    }
  memset (message, 0, sizeof *message);
}

uint8_t *
gbd_message_encode (const gbd_message_t *message, size_t *length)
{
  if (message->type == 0 || message->type >= GBD_MESSAGE_TYPE_COUNT)
    return NULL;

  static const char prefix[LENGTH_PREFIX];
  const encoding_t *encoding = &encodings[message->type];
  output_t output = { .has_failed = false };
  msgpack_packer packer;
  msgpack_sbuffer_init (&output.buffer);
  msgpack_packer_init (&packer, &output, output_write);

  output_write (&output, prefix, sizeof prefix);
  msgpack_pack_array (&packer, encoding->entries);
  msgpack_pack_uint8 (&packer, message->type);
  msgpack_pack_uint64 (&packer, message->from);
  if (!encoding->pack (&packer, message) || output.has_failed)
    {
      msgpack_sbuffer_destroy (&output.buffer);
      return NULL;
    }

  *length = output.buffer.size;
  write_length (output.buffer.data, *length - LENGTH_PREFIX);
  return (uint8_t *)msgpack_sbuffer_release (&output.buffer);
}

static bool
pack_hello (msgpack_packer *packer, const gbd_message_t *message)
{
  char listen[GBD_ADDRESS_TEXT_MAX];
  gbd_address_format (&message->body.hello.listen, listen);

  msgpack_pack_uint8 (packer, message->body.hello.version_min);
  msgpack_pack_uint8 (packer, message->body.hello.version_max);
  msgpack_pack_uint32 (packer, message->body.hello.zone);
  pack_text (packer, message->body.hello.name);
  pack_text (packer, listen);
  return true;
}

static bool
pack_heartbeat (msgpack_packer *packer, const gbd_message_t *message)
{
  size_t ack_count = message->body.heartbeat.ack_count;
  size_t progress_count = message->body.heartbeat.progress_count;
  if (ack_count > GBD_INCARNATIONS_MAX || progress_count > GBD_SERVICES_MAX)
    return false;

  unsigned flags = 0;
  if (message->body.heartbeat.leaving)
    flags |= HEARTBEAT_LEAVING;
  if (message->body.heartbeat.watching)
    flags |= HEARTBEAT_WATCHING;

  msgpack_pack_uint64 (packer, message->body.heartbeat.sequence);
  msgpack_pack_uint32 (packer, flags);
  msgpack_pack_uint32 (packer, message->body.heartbeat.platform_age_ms);
  msgpack_pack_uint32 (packer, message->body.heartbeat.loss_free_ms);
  msgpack_pack_uint64 (packer, message->body.heartbeat.generation);
  pack_acks (packer, message->body.heartbeat.acks, ack_count);
  pack_progress (packer, message->body.heartbeat.progress, progress_count);
  return true;
}

static bool
pack_table (msgpack_packer *packer, const gbd_message_t *message)
{
  msgpack_pack_uint64 (packer, message->body.table.service);
  msgpack_pack_uint64 (packer, message->body.table.version);
  msgpack_pack_uint64 (packer, message->body.table.base);
  return pack_bytes (packer, message->body.table.bytes,
                     message->body.table.length);
}

static bool
pack_table_request (msgpack_packer *packer, const gbd_message_t *message)
{
  msgpack_pack_uint64 (packer, message->body.table_request.service);
  msgpack_pack_uint64 (packer, message->body.table_request.version);
  return true;
}

static bool
pack_flows (msgpack_packer *packer, const gbd_message_t *message)
{
  const gbd_flow_entry_t *entries = message->body.flows.entries;
  size_t count = message->body.flows.count;
  if (count > GBD_FLOWS_MAX)
    return false;

  msgpack_pack_uint64 (packer, message->body.flows.service);
  msgpack_pack_uint64 (packer, message->body.flows.version);
  msgpack_pack_uint8 (packer, message->body.flows.kind);
  msgpack_pack_bin (packer, count * ID_LENGTH);
  for (size_t i = 0; i < count; i++)
    append_id (packer, entries[i].hash);
  msgpack_pack_array (packer, count);
  for (size_t i = 0; i < count; i++)
    msgpack_pack_uint16 (packer, entries[i].slot);
  return true;
}

static bool
pack_flows_end (msgpack_packer *packer, const gbd_message_t *message)
{
  msgpack_pack_uint64 (packer, message->body.flows_end.service);
  msgpack_pack_uint64 (packer, message->body.flows_end.version);
  msgpack_pack_uint8 (packer, message->body.flows_end.kind);
  return true;
}

static bool
pack_copy_request (msgpack_packer *packer, const gbd_message_t *message)
{
  msgpack_pack_uint64 (packer, message->body.copy_request.service);
  msgpack_pack_uint64 (packer, message->body.copy_request.version);
  return true;
}

static bool
pack_config (msgpack_packer *packer, const gbd_message_t *message)
{
  msgpack_pack_uint64 (packer, message->body.config.generation);
  return pack_bytes (packer, message->body.config.bytes,
                     message->body.config.length);
}

static bool
pack_load (msgpack_packer *packer, const gbd_message_t *message)
{
  const gbd_load_entry_t *entries = message->body.load.entries;
  size_t count = message->body.load.count;
  if (count > GBD_BACKENDS_MAX)
    return false;

  msgpack_pack_uint64 (packer, message->body.load.service);
  msgpack_pack_uint64 (packer, message->body.load.round);
  msgpack_pack_uint32 (packer, message->body.load.new_flows);
  msgpack_pack_uint32 (packer, message->body.load.open_flows);
  msgpack_pack_array (packer, count * LOAD_NUMBERS);
  for (size_t i = 0; i < count; i++)
    {
      msgpack_pack_uint16 (packer, entries[i].slot);
      msgpack_pack_uint32 (packer, entries[i].new_flows);
      msgpack_pack_uint32 (packer, entries[i].open_flows);
      msgpack_pack_uint32 (packer, entries[i].kilobytes);
    }
  return true;
}

static void
pack_acks (msgpack_packer *packer, const gbd_heartbeat_ack_t *entries,
           size_t count)
{
  msgpack_pack_bin (packer, count * ID_LENGTH);
  for (size_t i = 0; i < count; i++)
    append_id (packer, entries[i].id);
  msgpack_pack_array (packer, count * ACK_NUMBERS);
  for (size_t i = 0; i < count; i++)
    {
      msgpack_pack_uint64 (packer, entries[i].sequence);
      msgpack_pack_uint32 (packer, entries[i].age_ms);
    }
}

static void
pack_progress (msgpack_packer *packer, const gbd_progress_t *progress,
               size_t count)
{
  msgpack_pack_bin (packer, count * ID_LENGTH);
  for (size_t i = 0; i < count; i++)
    append_id (packer, progress[i].service);
  msgpack_pack_array (packer, count * PROGRESS_NUMBERS);
  for (size_t i = 0; i < count; i++)
    {
      /* The difference is 0, which takes one byte, unless copies are
         missing. */
      msgpack_pack_uint64 (packer, progress[i].version);
      msgpack_pack_uint64 (packer, progress[i].version - progress[i].complete);
    }
}

static void
append_id (msgpack_packer *packer, uint64_t id)
{
  uint8_t bytes[ID_LENGTH];
  for (size_t i = 0; i < ID_LENGTH; i++)
    bytes[i] = (uint8_t)(id >> (8 * (ID_LENGTH - 1 - i)));
  msgpack_pack_bin_body (packer, bytes, sizeof bytes);
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  size_t length = strlen (text);
  msgpack_pack_str (packer, length);
  msgpack_pack_str_body (packer, text, length);
}

/* Pack a table or a configuration.  Empty bytes are rejected, as they are
   neither. */
static bool
pack_bytes (msgpack_packer *packer, const uint8_t *bytes, size_t length)
{
  if (length == 0 || length > GBD_MESSAGE_LENGTH_MAX)
    return false;
  msgpack_pack_bin (packer, length);
  msgpack_pack_bin_body (packer, bytes, length);
  return true;
}

static int
output_write (void *data, const char *bytes, size_t length)
{
  output_t *output = data;
  size_t available
      = LENGTH_PREFIX + GBD_MESSAGE_LENGTH_MAX - output->buffer.size;
  if (length > available
      || msgpack_sbuffer_write (&output->buffer, bytes, length) != 0)
    output->has_failed = true;
  return output->has_failed ? -1 : 0;
}

static void
write_length (char *bytes, size_t length)
{
  for (size_t i = 0; i < LENGTH_PREFIX; i++)
    bytes[i] = (char)(length >> (8 * (LENGTH_PREFIX - 1 - i)));
}
