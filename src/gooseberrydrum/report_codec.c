#include "report_codec.h"

#include <string.h>

#include <jansson.h>
#include <msgpack.h>
#include <xxhash.h>

#include "relay_codec.h"

#define TAG_LENGTH sizeof (uint64_t)
#define NO_AGE (-1)
#define MESSAGE_LENGTH 3
#define BATCH_LENGTH 4
#define REPORT_LENGTH 6

enum
{
  MESSAGE_SCHEMA,
  MESSAGE_IS_FORWARDED,
  MESSAGE_BATCHES
};
enum
{
  BATCH_ORIGIN,
  BATCH_ZONE,
  BATCH_NUMBER,
  BATCH_REPORTS
};
enum
{
  REPORT_SERVER,
  REPORT_START_TIME,
  REPORT_SILENT_AGE,
  REPORT_UNREACHABLE_AGE,
  REPORT_HEARD_AGE,
  REPORT_FAILED_REQUESTS
};

static uint32_t count_fitting (const gbd_report_batch_t *batches,
                               uint32_t count, gbd_time_t now);
static void pack_message (const gbd_report_batch_t *batches, uint32_t count,
                          bool is_forwarded, gbd_time_t now,
                          msgpack_sbuffer *buffer);
static void pack_batch (msgpack_packer *packer,
                        const gbd_report_batch_t *batch, gbd_time_t now);
static void pack_age (msgpack_packer *packer, gbd_time_t time, gbd_time_t now);
static uint64_t compute_tag (const uint8_t *bytes, size_t length,
                             uint64_t key);
static bool read_batch (const json_t *value, gbd_time_t now,
                        gbd_report_batch_t *batch);
static bool read_report (const json_t *value, gbd_time_t now,
                         gbd_report_t *report);
static bool read_integer (const json_t *array, size_t position,
                          json_int_t minimum, json_int_t maximum,
                          json_int_t *number);
static bool read_time (const json_t *array, size_t position, gbd_time_t now,
                       gbd_time_t *time);

size_t
gbd_report_encode (const gbd_report_batch_t *batches, uint32_t *count,
                   bool is_forwarded, uint64_t key, gbd_time_t now,
                   uint8_t *bytes)
{
  *count = count_fitting (batches, *count, now);
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  pack_message (batches, *count, is_forwarded, now, &buffer);
  size_t length = 0;
  if (buffer.data && buffer.size + TAG_LENGTH <= GBD_REPORT_DATAGRAM_MAX)
    {
      length = buffer.size + TAG_LENGTH;
      memcpy (bytes + TAG_LENGTH, buffer.data, buffer.size);
      uint64_t tag
          = compute_tag (bytes + TAG_LENGTH, length - TAG_LENGTH, key);
      memcpy (bytes, &tag, TAG_LENGTH);
    }
  msgpack_sbuffer_destroy (&buffer);
  return length;
}

gbd_status_t
gbd_report_decode (const uint8_t *bytes, size_t length, uint64_t key,
                   gbd_time_t now, gbd_report_callback_t callback, void *data)
{
  uint64_t tag;
  if (length <= TAG_LENGTH)
    return GBD_ERROR_FORMAT;
  memcpy (&tag, bytes, TAG_LENGTH);
  if (tag != compute_tag (bytes + TAG_LENGTH, length - TAG_LENGTH, key))
    return GBD_ERROR_FORMAT;
  json_t *message = gbd_relay_unpack (bytes + TAG_LENGTH, length - TAG_LENGTH);
  const json_t *batches = json_array_get (message, MESSAGE_BATCHES);
  const json_t *forwarded = json_array_get (message, MESSAGE_IS_FORWARDED);
  json_int_t schema;
  bool is_valid = read_integer (message, MESSAGE_SCHEMA, GBD_REPORT_SCHEMA,
                                INT64_MAX, &schema)
                  && json_is_boolean (forwarded) && json_is_array (batches);
  for (size_t i = 0; is_valid && i < json_array_size (batches); i++)
    {
      gbd_report_batch_t batch;
      is_valid = read_batch (json_array_get (batches, i), now, &batch);
      if (is_valid)
        callback (data, &batch, json_is_true (forwarded));
    }
  json_decref (message);
  return is_valid ? GBD_OK : GBD_ERROR_FORMAT;
}

/* Returns how many batches fit into a datagram, at least one. */
static uint32_t
count_fitting (const gbd_report_batch_t *batches, uint32_t count,
               gbd_time_t now)
{
  size_t length = 0;
  uint32_t fitting = 0;
  while (fitting < count)
    {
      msgpack_sbuffer buffer;
      msgpack_sbuffer_init (&buffer);
      pack_message (&batches[fitting], 1, true, now, &buffer);
      length += buffer.size;
      msgpack_sbuffer_destroy (&buffer);
      if (fitting > 0 && length + TAG_LENGTH > GBD_REPORT_DATAGRAM_MAX)
        break;
      fitting++;
    }
  return fitting;
}

static void
pack_message (const gbd_report_batch_t *batches, uint32_t count,
              bool is_forwarded, gbd_time_t now, msgpack_sbuffer *buffer)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, MESSAGE_LENGTH);
  msgpack_pack_int (&packer, GBD_REPORT_SCHEMA);
  if (is_forwarded)
    msgpack_pack_true (&packer);
  else
    msgpack_pack_false (&packer);
  msgpack_pack_array (&packer, count);
  for (uint32_t i = 0; i < count; i++)
    pack_batch (&packer, &batches[i], now);
}

static void
pack_batch (msgpack_packer *packer, const gbd_report_batch_t *batch,
            gbd_time_t now)
{
  msgpack_pack_array (packer, BATCH_LENGTH);
  msgpack_pack_int64 (packer, (int64_t)batch->origin.origin);
  msgpack_pack_uint32 (packer, batch->origin.zone);
  msgpack_pack_uint64 (packer, batch->origin.number);
  msgpack_pack_array (packer, batch->count);
  for (uint32_t i = 0; i < batch->count; i++)
    {
      const gbd_report_t *report = &batch->reports[i];
      msgpack_pack_array (packer, REPORT_LENGTH);
      msgpack_pack_int64 (packer, (int64_t)report->server);
      msgpack_pack_int64 (packer, report->start_time_ms);
      pack_age (packer, report->observed.silent_at, now);
      pack_age (packer, report->observed.unreachable_at, now);
      pack_age (packer, report->observed.heard_at, now);
      msgpack_pack_uint32 (packer, report->observed.failed_requests);
    }
}

static void
pack_age (msgpack_packer *packer, gbd_time_t time, gbd_time_t now)
{
  msgpack_pack_int64 (packer, time ? (now - time) / GBD_MILLISECOND : NO_AGE);
}

static uint64_t
compute_tag (const uint8_t *bytes, size_t length, uint64_t key)
{
  return XXH3_64bits_withSeed (bytes, length, key);
}

static bool
read_batch (const json_t *value, gbd_time_t now, gbd_report_batch_t *batch)
{
  json_int_t origin;
  json_int_t zone;
  json_int_t number;
  const json_t *reports = json_array_get (value, BATCH_REPORTS);
  if (!read_integer (value, BATCH_ORIGIN, INT64_MIN, INT64_MAX, &origin)
      || !read_integer (value, BATCH_ZONE, 0, UINT32_MAX, &zone)
      || !read_integer (value, BATCH_NUMBER, 0, INT64_MAX, &number)
      || !json_is_array (reports)
      || json_array_size (reports) > GBD_REPORT_BATCH_MAX)
    return false;
  batch->origin = (gbd_report_origin_t){ .origin = (uint64_t)origin,
                                         .zone = (gbd_zone_id_t)zone,
                                         .number = (uint64_t)number };
  batch->count = (uint32_t)json_array_size (reports);
  for (uint32_t i = 0; i < batch->count; i++)
    if (!read_report (json_array_get (reports, i), now, &batch->reports[i]))
      return false;
  return true;
}

static bool
read_report (const json_t *value, gbd_time_t now, gbd_report_t *report)
{
  json_int_t server;
  json_int_t start_time_ms;
  json_int_t failed_requests;
  gbd_unreported_t *observed = &report->observed;
  if (!read_integer (value, REPORT_SERVER, INT64_MIN, INT64_MAX, &server)
      || !read_integer (value, REPORT_START_TIME, 0, INT64_MAX, &start_time_ms)
      || !read_time (value, REPORT_SILENT_AGE, now, &observed->silent_at)
      || !read_time (value, REPORT_UNREACHABLE_AGE, now,
                     &observed->unreachable_at)
      || !read_time (value, REPORT_HEARD_AGE, now, &observed->heard_at)
      || !read_integer (value, REPORT_FAILED_REQUESTS, 0, UINT32_MAX,
                        &failed_requests))
    return false;
  report->server = (gbd_backend_id_t)server;
  report->start_time_ms = start_time_ms;
  observed->failed_requests = (uint32_t)failed_requests;
  return true;
}

static bool
read_integer (const json_t *array, size_t position, json_int_t minimum,
              json_int_t maximum, json_int_t *number)
{
  const json_t *value = json_array_get (array, position);
  *number = json_integer_value (value);
  return json_is_integer (value) && *number >= minimum && *number <= maximum;
}

/* Reads an age.  One that reaches back before the start of the clock is
   rejected. */
static bool
read_time (const json_t *array, size_t position, gbd_time_t now,
           gbd_time_t *time)
{
  json_int_t age_ms;
  if (!read_integer (array, position, NO_AGE, now / GBD_MILLISECOND, &age_ms))
    return false;
  *time = age_ms == NO_AGE ? 0 : now - age_ms * GBD_MILLISECOND;
  return true;
}
