#include "standins/endpoint.h"

#include <string.h>

#include <glib.h>

#include "standins/exchange.h"

/* TCP connection.  The structure is kept after the connection has closed, to
   respond to retransmitted packets. */
typedef struct
{
  gint64 key;
  uint32_t caller_initial_sequence;
  uint32_t initial_sequence; /* initial sequence number of the server */
  bool is_closed;
  bool is_served; /* whether it carried a request */
} connection_t;

struct endpoint
{
  char service[GBD_NAME_MAX + 1];
  char uid[GBD_NAME_MAX + 1];
  bool is_shedding;
  gbd_time_t unresponsive_until;
  endpoint_counts_t counts;
  GHashTable *connections; /* flow hash -> connection_t */
};

static gint64 get_connection_key (const tcp_segment_t *segment);
static size_t open_connection (endpoint_t *endpoint, connection_t *connection,
                               const tcp_segment_t *segment, gbd_time_t now,
                               uint8_t *response);
static size_t handle_request (endpoint_t *endpoint, connection_t *connection,
                              const tcp_segment_t *segment, uint8_t *response);
static size_t build_reply (const tcp_segment_t *segment, uint32_t sequence,
                           uint32_t consumed, uint8_t flags,
                           uint8_t *response);

endpoint_t *
endpoint_new (const char *service, const char *uid)
{
  endpoint_t *endpoint = g_new0 (endpoint_t, 1);
  g_strlcpy (endpoint->service, service, sizeof endpoint->service);
  g_strlcpy (endpoint->uid, uid, sizeof endpoint->uid);
  endpoint->unresponsive_until = GBD_TIME_NEVER;
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
endpoint_set_unresponsive_until (endpoint_t *endpoint, gbd_time_t until)
{
  endpoint->unresponsive_until = until;
}

size_t
endpoint_handle_packet (endpoint_t *endpoint, const uint8_t *bytes,
                        size_t length, gbd_time_t now, uint8_t *response)
{
  tcp_segment_t segment;
  endpoint->counts.bytes += length;
  if (!tcp_packet_parse (bytes, length, &segment))
    return 0;

  gint64 key = get_connection_key (&segment);
  connection_t *connection = g_hash_table_lookup (endpoint->connections, &key);
  if (segment.flags & TCP_PACKET_SYN)
    return open_connection (endpoint, connection, &segment, now, response);
  if (!connection)
    {
      endpoint->counts.unknown++;
      if (segment.flags & TCP_PACKET_RST)
        return 0;
      return build_reply (&segment, segment.acknowledgment, 0, TCP_PACKET_RST,
                          response);
    }
  if (segment.flags & TCP_PACKET_RST)
    {
      connection->is_closed = true;
      return 0;
    }
  if (segment.flags & TCP_PACKET_FIN)
    {
      connection->is_closed = true;
      return build_reply (&segment, segment.acknowledgment, 1,
                          TCP_PACKET_FIN | TCP_PACKET_ACK, response);
    }
  return handle_request (endpoint, connection, &segment, response);
}

static gint64
get_connection_key (const tcp_segment_t *segment)
{
  gbd_flow_t flow;
  memset (&flow, 0, sizeof flow);
  flow.caller = segment->from;
  flow.service = segment->to;
  return (gint64)gbd_flow_hash (&flow, 0);
}

static size_t
open_connection (endpoint_t *endpoint, connection_t *connection,
                 const tcp_segment_t *segment, gbd_time_t now,
                 uint8_t *response)
{
  if (now < endpoint->unresponsive_until)
    return 0;
  bool is_retransmitted
      = connection && connection->caller_initial_sequence == segment->sequence;
  if (is_retransmitted && connection->is_closed)
    return 0;
  if (!is_retransmitted)
    {
      if (endpoint->is_shedding)
        {
          endpoint->counts.refused++;
          return build_reply (segment, 0, 1, TCP_PACKET_RST | TCP_PACKET_ACK,
                              response);
        }
      connection = g_new0 (connection_t, 1);
      connection->key = get_connection_key (segment);
      connection->caller_initial_sequence = segment->sequence;
      connection->initial_sequence = exchange_get_initial_sequence (
          endpoint->uid, (uint64_t)connection->key);
      g_hash_table_replace (endpoint->connections, &connection->key,
                            connection);
      endpoint->counts.connections++;
    }
  return build_reply (segment, connection->initial_sequence, 1,
                      TCP_PACKET_SYN | TCP_PACKET_ACK, response);
}

static size_t
handle_request (endpoint_t *endpoint, connection_t *connection,
                const tcp_segment_t *segment, uint8_t *response)
{
  exchange_response_t exchange_response = { 0 };
  uint8_t payload[EXCHANGE_RESPONSE_LENGTH];
  if (!exchange_parse_request (segment->payload, segment->payload_length,
                               &exchange_response.id))
    return 0;
  endpoint->counts.served += !connection->is_served;
  connection->is_served = true;
  exchange_response.checksum
      = exchange_checksum (segment->payload, segment->payload_length);
  memcpy (exchange_response.service, endpoint->service,
          sizeof exchange_response.service);
  memcpy (exchange_response.uid, endpoint->uid, sizeof exchange_response.uid);
  exchange_build_response (&exchange_response, payload);
  uint32_t sequence = connection->initial_sequence + 1
                      + exchange_response.id * EXCHANGE_RESPONSE_LENGTH;
  uint32_t acknowledgment
      = segment->sequence + (uint32_t)segment->payload_length;
  return tcp_packet_build (&segment->to, &segment->from, sequence,
                           acknowledgment, TCP_PACKET_PSH | TCP_PACKET_ACK,
                           payload, sizeof payload, response);
}

static size_t
build_reply (const tcp_segment_t *segment, uint32_t sequence,
             uint32_t consumed, uint8_t flags, uint8_t *response)
{
  return tcp_packet_build (&segment->to, &segment->from, sequence,
                           segment->sequence + consumed, flags, NULL, 0,
                           response);
}
