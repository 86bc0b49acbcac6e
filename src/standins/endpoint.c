#include "standins/endpoint.h"

#include <string.h>

#include <glib.h>

#include "standins/exchange.h"

/** A connection stays known after it closed, to answer repeated packets. */
typedef struct
{
  gint64 key;
  uint32_t caller_start; /* sequence number of the opening packet */
  uint32_t start;        /* sequence number of its answer */
  bool is_closed;
  bool is_served; /* a request came */
} connection_t;

struct endpoint
{
  char service[GBD_NAME_MAX + 1];
  char uid[GBD_NAME_MAX + 1];
  bool is_shedding;
  gbd_time_t cold_until;
  endpoint_counts_t counts;
  GHashTable *connections; /* gint64 -> connection_t */
};

static gint64 key_of (const inner_segment_t *segment);
static size_t open_connection (endpoint_t *endpoint, connection_t *connection,
                               const inner_segment_t *segment, gbd_time_t now,
                               uint8_t *answer);
static size_t answer_request (endpoint_t *endpoint, connection_t *connection,
                              const inner_segment_t *segment, uint8_t *answer);
static size_t reply (const inner_segment_t *segment, uint32_t sequence,
                     uint32_t consumed, uint8_t flags, uint8_t *answer);

endpoint_t *
endpoint_new (const char *service, const char *uid)
{
  endpoint_t *endpoint = g_new0 (endpoint_t, 1);
  g_strlcpy (endpoint->service, service, sizeof endpoint->service);
  g_strlcpy (endpoint->uid, uid, sizeof endpoint->uid);
  endpoint->cold_until = GBD_TIME_NEVER;
  endpoint->connections
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return endpoint;
}

void
endpoint_delete (endpoint_t *endpoint)
{
  if (!endpoint)
    return;
  g_hash_table_destroy (endpoint->connections);
  g_free (endpoint);
}

const char *
endpoint_get_uid (const endpoint_t *endpoint)
{
  return endpoint->uid;
}

const endpoint_counts_t *
endpoint_get_counts (const endpoint_t *endpoint)
{
  return &endpoint->counts;
}

void
endpoint_set_shedding (endpoint_t *endpoint, bool is_shedding)
{
  endpoint->is_shedding = is_shedding;
}

void
endpoint_set_cold_until (endpoint_t *endpoint, gbd_time_t until)
{
  endpoint->cold_until = until;
}

size_t
endpoint_handle (endpoint_t *endpoint, const uint8_t *bytes, size_t length,
                 gbd_time_t now, uint8_t *answer)
{
  inner_segment_t segment;
  endpoint->counts.bytes += length;
  if (!inner_read (bytes, length, &segment))
    return 0;

  gint64 key = key_of (&segment);
  connection_t *connection = g_hash_table_lookup (endpoint->connections, &key);
  if (segment.flags & INNER_SYN)
    return open_connection (endpoint, connection, &segment, now, answer);
  if (!connection)
    {
      endpoint->counts.unknown++;
      if (segment.flags & INNER_RST)
        return 0;
      return reply (&segment, segment.acknowledgment, 0, INNER_RST, answer);
    }
  if (segment.flags & INNER_RST)
    {
      connection->is_closed = true;
      return 0;
    }
  if (segment.flags & INNER_FIN)
    {
      connection->is_closed = true;
      return reply (&segment, segment.acknowledgment, 1, INNER_FIN | INNER_ACK,
                    answer);
    }
  return answer_request (endpoint, connection, &segment, answer);
}

static gint64
key_of (const inner_segment_t *segment)
{
  gbd_flow_t flow;
  memset (&flow, 0, sizeof flow);
  flow.caller = segment->from;
  flow.service = segment->to;
  return (gint64)gbd_flow_hash (&flow, 0);
}

static size_t
open_connection (endpoint_t *endpoint, connection_t *connection,
                 const inner_segment_t *segment, gbd_time_t now,
                 uint8_t *answer)
{
  if (now < endpoint->cold_until)
    return 0;
  bool is_repeated
      = connection && connection->caller_start == segment->sequence;
  if (is_repeated && connection->is_closed)
    return 0;
  if (!is_repeated)
    {
      if (endpoint->is_shedding)
        {
          endpoint->counts.refused++;
          return reply (segment, 0, 1, INNER_RST | INNER_ACK, answer);
        }
      connection = g_new0 (connection_t, 1);
      connection->key = key_of (segment);
      connection->caller_start = segment->sequence;
      connection->start
          = exchange_server_start (endpoint->uid, (uint64_t)connection->key);
      g_hash_table_replace (endpoint->connections, &connection->key,
                            connection);
      endpoint->counts.connections++;
    }
  return reply (segment, connection->start, 1, INNER_SYN | INNER_ACK, answer);
}

static size_t
answer_request (endpoint_t *endpoint, connection_t *connection,
                const inner_segment_t *segment, uint8_t *answer)
{
  exchange_answer_t said = { 0 };
  uint8_t payload[EXCHANGE_ANSWER_LENGTH];
  if (!exchange_read_request (segment->payload, segment->payload_length,
                              &said.id))
    return 0;
  endpoint->counts.served += !connection->is_served;
  connection->is_served = true;
  said.checksum
      = exchange_checksum (segment->payload, segment->payload_length);
  memcpy (said.service, endpoint->service, sizeof said.service);
  memcpy (said.uid, endpoint->uid, sizeof said.uid);
  exchange_build_answer (&said, payload);
  uint32_t sequence = connection->start + 1 + said.id * EXCHANGE_ANSWER_LENGTH;
  uint32_t acknowledgment
      = segment->sequence + (uint32_t)segment->payload_length;
  return inner_build (&segment->to, &segment->from, sequence, acknowledgment,
                      INNER_PSH | INNER_ACK, payload, sizeof payload, answer);
}

static size_t
reply (const inner_segment_t *segment, uint32_t sequence, uint32_t consumed,
       uint8_t flags, uint8_t *answer)
{
  return inner_build (&segment->to, &segment->from, sequence,
                      segment->sequence + consumed, flags, NULL, 0, answer);
}
