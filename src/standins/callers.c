#include "standins/callers.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "standins/tcp_packet.h"
#include "standins/timer_wheel.h"

/* Interval before the first retransmission; doubles with each attempt. */
#define RETRY_INTERVAL_INITIAL (200 * GBD_MILLISECOND)
#define ATTEMPTS_MAX 8
/* Largest interval between two requests of a long flow. */
#define LONG_FLOW_INTERVAL_MAX GBD_SECOND
/* Number of IP addresses that the flows share. */
#define CALLER_HOST_COUNT 256
#define PORT_FIRST 1024

typedef enum
{
  FLOW_UNOPENED, /* not opened yet */
  FLOW_OPENING,
  FLOW_OPEN,
  FLOW_CLOSING,
  FLOW_ENDED
} flow_state_t;

typedef struct
{
  checked_flow_t checked;
  uint16_t service; /* index of the service in the settings */
  uint8_t state;    /* flow_state_t */
  bool is_waiting;  /* waits for the response to its newest packet */
  uint8_t attempts;
  uint32_t initial_sequence; /* sequence number of the opening packet */
  uint32_t next_request;
  uint32_t requests;
  gbd_time_t interval; /* interval between two requests */
  /* Time of the first transmission of the newest packet. */
  gbd_time_t first_sent_at;
} flow_t;

struct callers
{
  callers_settings_t settings;
  flow_checker_t *checker;
  gbd_time_t end; /* time at which the long flows end */
  uint32_t ended;
  timer_wheel_t *wheel;
  flow_t *flows;
};

static void init_flow (callers_t *callers, uint32_t index, GRand *random,
                       gbd_time_t opens_at);
static uint64_t hash_flow (const callers_settings_t *settings,
                           const flow_t *flow, uint32_t index);
static uint16_t choose_service (const callers_t *callers, GRand *random);
static flow_t *find_flow_of_segment (callers_t *callers,
                                     const tcp_segment_t *segment,
                                     uint32_t *index);
static gbd_address_t get_caller_address (uint32_t index, uint8_t family);
static bool is_stale_reset (const flow_t *flow, const tcp_segment_t *segment);
static void handle_segment (callers_t *callers, uint32_t index,
                            const tcp_segment_t *segment, gbd_time_t now);
static void handle_open_response (callers_t *callers, uint32_t index,
                                  const tcp_segment_t *segment,
                                  gbd_time_t now);
static void handle_response (callers_t *callers, uint32_t index,
                             const tcp_segment_t *segment, gbd_time_t now);
static void advance_flow (callers_t *callers, uint32_t index, gbd_time_t now);
static void send_pending_packet (callers_t *callers, uint32_t index,
                                 gbd_time_t now);
static void send_segment (callers_t *callers, uint32_t index, uint8_t flags,
                          uint32_t offset, const uint8_t *payload,
                          size_t payload_length);
static void end_flow (callers_t *callers, uint32_t index);

callers_t *
callers_new (const callers_settings_t *settings, flow_checker_t *checker,
             gbd_time_t now)
{
  callers_t *callers = g_new0 (callers_t, 1);
  GRand *random = g_rand_new_with_seed (settings->seed);
  callers->settings = *settings;
  callers->checker = checker;
  callers->wheel = timer_wheel_new (settings->flows, now);
  callers->flows = g_new0 (flow_t, settings->flows);
  double opening_seconds = settings->flows / settings->rate;
  callers->end = now + (gbd_time_t)(opening_seconds * (double)GBD_SECOND);
  callers->end += settings->lifetime;
  for (uint32_t i = 0; i < settings->flows; i++)
    {
      double start_seconds = i / settings->rate;
      init_flow (callers, i, random,
                 now + (gbd_time_t)(start_seconds * (double)GBD_SECOND));
    }
  g_rand_free (random);
  return callers;
}

void
callers_delete (callers_t *callers)
{
  if (!callers)
    return;
  timer_wheel_delete (callers->wheel);
  g_free (callers->flows);
  g_free (callers);
}

void
callers_receive (callers_t *callers, const uint8_t *bytes, size_t length,
                 gbd_time_t now)
{
  tcp_segment_t segment;
  uint32_t index;
  if (!tcp_packet_parse (bytes, length, &segment))
    return;
  flow_t *flow = find_flow_of_segment (callers, &segment, &index);
  if (flow && flow->state != FLOW_UNOPENED && flow->state != FLOW_ENDED)
    handle_segment (callers, index, &segment, now);
}

void
callers_tick (callers_t *callers, gbd_time_t now)
{
  uint32_t index;
  while ((index = timer_wheel_take_expired (callers->wheel, now))
         != TIMER_WHEEL_NONE)
    {
      flow_t *flow = &callers->flows[index];
      if (!flow->is_waiting)
        advance_flow (callers, index, now);
      else if (flow->attempts >= ATTEMPTS_MAX)
        {
          flow_checker_record_timeout (callers->checker, &flow->checked);
          end_flow (callers, index);
        }
      else
        send_pending_packet (callers, index, now);
    }
}

bool
callers_is_done (const callers_t *callers)
{
  return callers->ended == callers->settings.flows;
}

static void
init_flow (callers_t *callers, uint32_t index, GRand *random,
           gbd_time_t opens_at)
{
  const callers_settings_t *settings = &callers->settings;
  flow_t *flow = &callers->flows[index];
  gbd_time_t lifetime = settings->lifetime;
  flow->service = choose_service (callers, random);
  flow->checked.service = settings->services[flow->service].checker_service;
  flow->checked.endpoint = FLOW_CHECKER_NO_ENDPOINT;
  flow->checked.number = index;
  flow->checked.hash = hash_flow (settings, flow, index);
  flow->checked.request_length = settings->request_length;
  flow->initial_sequence = g_rand_int (random);
  flow->requests = settings->requests;
  if (g_rand_double (random) < settings->long_share)
    {
      lifetime = callers->end - opens_at;
      uint32_t request_min = (uint32_t)(lifetime / LONG_FLOW_INTERVAL_MAX) + 1;
      flow->requests = MAX (flow->requests, request_min);
    }
  flow->interval = lifetime / flow->requests;
  timer_wheel_set (callers->wheel, index, opens_at);
}

static uint64_t
hash_flow (const callers_settings_t *settings, const flow_t *flow,
           uint32_t index)
{
  gbd_flow_t key;
  memset (&key, 0, sizeof key);
  key.service = settings->services[flow->service].address;
  key.caller = get_caller_address (index, key.service.family);
  return gbd_flow_hash (&key, 0);
}

static uint16_t
choose_service (const callers_t *callers, GRand *random)
{
  const callers_settings_t *settings = &callers->settings;
  double sum = 0;
  for (uint32_t i = 0; i < settings->service_count; i++)
    sum += settings->services[i].share;
  double draw = g_rand_double (random) * sum;
  uint16_t chosen = 0;
  while (chosen + 1u < settings->service_count
         && draw >= settings->services[chosen].share)
    draw -= settings->services[chosen++].share;
  return chosen;
}

/* Addresses and ports are assigned in sequence, so that the index of a flow
   follows from the destination of a packet. */
static gbd_address_t
get_caller_address (uint32_t index, uint8_t family)
{
  static const uint8_t ipv4[] = { 10, 64, 0 };
  static const uint8_t ipv6[] = { 0xfd, 0, 0, 0x64 };
  gbd_address_t address;
  memset (&address, 0, sizeof address);
  address.family = family;
  address.port = (uint16_t)(PORT_FIRST + index / CALLER_HOST_COUNT);
  if (family == 4)
    memcpy (address.ip, ipv4, sizeof ipv4);
  else
    memcpy (address.ip, ipv6, sizeof ipv6);
  address.ip[family == 4 ? 3 : 15] = (uint8_t)(index % CALLER_HOST_COUNT);
  return address;
}

static flow_t *
find_flow_of_segment (callers_t *callers, const tcp_segment_t *segment,
                      uint32_t *index)
{
  const gbd_address_t *to = &segment->to;
  if (to->port < PORT_FIRST)
    return NULL;
  *index = (uint32_t)(to->port - PORT_FIRST) * CALLER_HOST_COUNT
           + to->ip[to->family == 4 ? 3 : 15];
  if (*index >= callers->settings.flows)
    return NULL;
  flow_t *flow = &callers->flows[*index];
  const gbd_address_t *service
      = &callers->settings.services[flow->service].address;
  gbd_address_t caller = get_caller_address (*index, service->family);
  bool is_same_flow = gbd_address_is_equal (to, &caller)
                      && gbd_address_is_equal (&segment->from, service);
  return is_same_flow ? flow : NULL;
}

/* The reset that refuses a retransmitted opening packet has sequence number 0.
   That is outside the window of a caller whose flow is open, which ignores it
   (RFC 9293, section 3.10.7.4). */
static bool
is_stale_reset (const flow_t *flow, const tcp_segment_t *segment)
{
  return flow->state != FLOW_OPENING && segment->sequence == 0
         && (segment->flags & TCP_PACKET_RST)
         && (segment->flags & TCP_PACKET_ACK);
}

static void
handle_segment (callers_t *callers, uint32_t index,
                const tcp_segment_t *segment, gbd_time_t now)
{
  flow_t *flow = &callers->flows[index];
  if (is_stale_reset (flow, segment))
    return;
  if (segment->flags & TCP_PACKET_RST)
    {
      flow_checker_record_reset (callers->checker, &flow->checked);
      end_flow (callers, index);
    }
  else if (segment->flags & TCP_PACKET_SYN)
    handle_open_response (callers, index, segment, now);
  else if (segment->flags & TCP_PACKET_FIN)
    {
      if (flow->state == FLOW_CLOSING)
        {
          flow_checker_record_wait (callers->checker, &flow->checked,
                                    now - flow->first_sent_at);
          end_flow (callers, index);
        }
    }
  else if (segment->payload_length)
    handle_response (callers, index, segment, now);
  if (flow->checked.is_broken && flow->state != FLOW_ENDED)
    end_flow (callers, index);
}

static void
handle_open_response (callers_t *callers, uint32_t index,
                      const tcp_segment_t *segment, gbd_time_t now)
{
  flow_t *flow = &callers->flows[index];
  flow_checker_record_open (callers->checker, &flow->checked,
                            segment->sequence);
  if (flow->state != FLOW_OPENING)
    return;
  flow_checker_record_wait (callers->checker, &flow->checked,
                            now - flow->first_sent_at);
  flow->state = FLOW_OPEN;
  send_segment (callers, index, TCP_PACKET_ACK, 1, NULL, 0);
  advance_flow (callers, index, now);
}

static void
handle_response (callers_t *callers, uint32_t index,
                 const tcp_segment_t *segment, gbd_time_t now)
{
  flow_t *flow = &callers->flows[index];
  bool is_newest = flow_checker_check_response (
      callers->checker, &flow->checked, segment->sequence, segment->payload,
      segment->payload_length);
  if (!is_newest || flow->state != FLOW_OPEN || !flow->is_waiting)
    return;
  flow_checker_record_wait (callers->checker, &flow->checked,
                            now - flow->first_sent_at);
  flow->is_waiting = false;
  timer_wheel_set (callers->wheel, index, now + flow->interval);
}

/* Sends the next packet of a flow that is not waiting for a response. */
static void
advance_flow (callers_t *callers, uint32_t index, gbd_time_t now)
{
  flow_t *flow = &callers->flows[index];
  if (flow->state == FLOW_UNOPENED)
    flow->state = FLOW_OPENING;
  else if (flow->next_request < flow->requests)
    flow->checked.request_id = flow->next_request++;
  else
    flow->state = FLOW_CLOSING;
  flow->attempts = 0;
  flow->first_sent_at = now;
  flow->is_waiting = true;
  send_pending_packet (callers, index, now);
}

static void
send_pending_packet (callers_t *callers, uint32_t index, gbd_time_t now)
{
  flow_t *flow = &callers->flows[index];
  uint32_t length = flow->checked.request_length;
  if (flow->state == FLOW_OPENING)
    send_segment (callers, index, TCP_PACKET_SYN, 0, NULL, 0);
  else if (flow->state == FLOW_CLOSING)
    send_segment (callers, index, TCP_PACKET_FIN | TCP_PACKET_ACK,
                  1 + flow->requests * length, NULL, 0);
  else
    {
      uint8_t request[FLOW_CHECKER_REQUEST_MAX];
      uint32_t id = flow->checked.request_id;
      exchange_build_request (index, id, request, length);
      send_segment (callers, index, TCP_PACKET_PSH | TCP_PACKET_ACK,
                    1 + id * length, request, length);
    }
  timer_wheel_set (callers->wheel, index,
                   now + (RETRY_INTERVAL_INITIAL << flow->attempts));
  flow->attempts++;
}

static void
send_segment (callers_t *callers, uint32_t index, uint8_t flags,
              uint32_t offset, const uint8_t *payload, size_t payload_length)
{
  const flow_t *flow = &callers->flows[index];
  const gbd_address_t *service
      = &callers->settings.services[flow->service].address;
  gbd_address_t caller = get_caller_address (index, service->family);
  uint32_t acknowledgment = 0;
  if (flags & TCP_PACKET_ACK)
    acknowledgment = flow->checked.server_initial_sequence + 1
                     + flow->checked.request_id * EXCHANGE_RESPONSE_LENGTH;
  uint8_t bytes[TCP_PACKET_LENGTH_MAX];
  size_t length = tcp_packet_build (
      &caller, service, flow->initial_sequence + offset, acknowledgment, flags,
      payload, payload_length, bytes);
  callers->settings.send (callers->settings.data, bytes, length);
  flow_checker_count_packet (callers->checker);
}

static void
end_flow (callers_t *callers, uint32_t index)
{
  callers->flows[index].state = FLOW_ENDED;
  callers->ended++;
  timer_wheel_clear (callers->wheel, index);
}
