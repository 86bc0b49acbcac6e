#include "standins/callers.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "standins/inner.h"
#include "standins/wheel.h"

#define RETRY_FIRST (200 * GBD_MILLISECOND) /* doubles with each try */
#define TRIES_MAX 8
#define LONG_INTERVAL_MAX GBD_SECOND /* between requests of a long flow */
#define CALLERS_HOSTS 256            /* addresses that the flows share */
#define PORT_FIRST 1024

typedef enum
{
  FLOW_CLOSED, /* not yet opened */
  FLOW_OPENING,
  FLOW_OPEN,
  FLOW_CLOSING,
  FLOW_ENDED
} flow_state_t;

typedef struct
{
  verdict_flow_t judged;
  uint16_t service; /* index in the settings */
  uint8_t state;    /* flow_state_t */
  bool is_waiting;  /* for the answer to its newest packet */
  uint8_t tries;
  uint32_t start; /* sequence number of the opening packet */
  uint32_t next_request;
  uint32_t requests;
  gbd_time_t interval; /* between requests */
  gbd_time_t asked_at; /* when its newest packet was first sent */
} flow_t;

struct callers
{
  callers_settings_t settings;
  verdict_t *verdict;
  gbd_time_t end; /* of the long flows */
  uint32_t ended;
  wheel_t *wheel;
  flow_t *flows;
};

static void plan_flow (callers_t *callers, uint32_t index, GRand *random,
                       gbd_time_t opens_at);
static uint64_t hash_of (const callers_settings_t *settings,
                         const flow_t *flow, uint32_t index);
static uint16_t choose_service (const callers_t *callers, GRand *random);
static flow_t *find_flow (callers_t *callers, const inner_segment_t *segment,
                          uint32_t *index);
static gbd_address_t caller_address (uint32_t index, uint8_t family);
static bool is_stale_refusal (const flow_t *flow,
                              const inner_segment_t *segment);
static void handle_segment (callers_t *callers, uint32_t index,
                            const inner_segment_t *segment, gbd_time_t now);
static void handle_opened (callers_t *callers, uint32_t index,
                           const inner_segment_t *segment, gbd_time_t now);
static void handle_answer (callers_t *callers, uint32_t index,
                           const inner_segment_t *segment, gbd_time_t now);
static void go_on (callers_t *callers, uint32_t index, gbd_time_t now);
static void send_newest (callers_t *callers, uint32_t index, gbd_time_t now);
static void send_segment (callers_t *callers, uint32_t index, uint8_t flags,
                          uint32_t offset, const uint8_t *payload,
                          size_t payload_length);
static void end_flow (callers_t *callers, uint32_t index);

callers_t *
callers_new (const callers_settings_t *settings, verdict_t *verdict,
             gbd_time_t now)
{
  callers_t *callers = g_new0 (callers_t, 1);
  GRand *random = g_rand_new_with_seed (settings->seed);
  callers->settings = *settings;
  callers->verdict = verdict;
  callers->wheel = wheel_new (settings->flows, now);
  callers->flows = g_new0 (flow_t, settings->flows);
  double opening = settings->flows / settings->rate;
  callers->end = now + (gbd_time_t)(opening * (double)GBD_SECOND);
  callers->end += settings->life;
  for (uint32_t i = 0; i < settings->flows; i++)
    {
      double after = i / settings->rate;
      plan_flow (callers, i, random,
                 now + (gbd_time_t)(after * (double)GBD_SECOND));
    }
  g_rand_free (random);
  return callers;
}

void
callers_delete (callers_t *callers)
{
  if (!callers)
    return;
  wheel_delete (callers->wheel);
  g_free (callers->flows);
  g_free (callers);
}

void
callers_receive (callers_t *callers, const uint8_t *bytes, size_t length,
                 gbd_time_t now)
{
  inner_segment_t segment;
  uint32_t index;
  if (!inner_read (bytes, length, &segment))
    return;
  flow_t *flow = find_flow (callers, &segment, &index);
  if (flow && flow->state != FLOW_CLOSED && flow->state != FLOW_ENDED)
    handle_segment (callers, index, &segment, now);
}

void
callers_tick (callers_t *callers, gbd_time_t now)
{
  uint32_t index;
  while ((index = wheel_take (callers->wheel, now)) != WHEEL_NONE)
    {
      flow_t *flow = &callers->flows[index];
      if (!flow->is_waiting)
        go_on (callers, index, now);
      else if (flow->tries >= TRIES_MAX)
        {
          verdict_gave_up (callers->verdict, &flow->judged);
          end_flow (callers, index);
        }
      else
        send_newest (callers, index, now);
    }
}

bool
callers_is_done (const callers_t *callers)
{
  return callers->ended == callers->settings.flows;
}

static void
plan_flow (callers_t *callers, uint32_t index, GRand *random,
           gbd_time_t opens_at)
{
  const callers_settings_t *settings = &callers->settings;
  flow_t *flow = &callers->flows[index];
  gbd_time_t life = settings->life;
  flow->service = choose_service (callers, random);
  flow->judged.service = settings->services[flow->service].judged_as;
  flow->judged.endpoint = VERDICT_NOBODY;
  flow->judged.number = index;
  flow->judged.hash = hash_of (settings, flow, index);
  flow->judged.request_length = settings->request_length;
  flow->start = g_rand_int (random);
  flow->requests = settings->requests;
  if (g_rand_double (random) < settings->long_share)
    {
      life = callers->end - opens_at;
      uint32_t least = (uint32_t)(life / LONG_INTERVAL_MAX) + 1;
      flow->requests = MAX (flow->requests, least);
    }
  flow->interval = life / flow->requests;
  wheel_set (callers->wheel, index, opens_at);
}

static uint64_t
hash_of (const callers_settings_t *settings, const flow_t *flow,
         uint32_t index)
{
  gbd_flow_t key;
  memset (&key, 0, sizeof key);
  key.service = settings->services[flow->service].address;
  key.caller = caller_address (index, key.service.family);
  return gbd_flow_hash (&key, 0);
}

static uint16_t
choose_service (const callers_t *callers, GRand *random)
{
  const callers_settings_t *settings = &callers->settings;
  double sum = 0;
  for (uint32_t i = 0; i < settings->service_count; i++)
    sum += settings->services[i].share;
  double at = g_rand_double (random) * sum;
  uint16_t chosen = 0;
  while (chosen + 1u < settings->service_count
         && at >= settings->services[chosen].share)
    at -= settings->services[chosen++].share;
  return chosen;
}

/* Addresses and ports are counted up, so that a packet's destination gives
   the index of its flow. */
static gbd_address_t
caller_address (uint32_t index, uint8_t family)
{
  static const uint8_t ipv4[] = { 10, 64, 0 };
  static const uint8_t ipv6[] = { 0xfd, 0, 0, 0x64 };
  gbd_address_t address;
  memset (&address, 0, sizeof address);
  address.family = family;
  address.port = (uint16_t)(PORT_FIRST + index / CALLERS_HOSTS);
  if (family == 4)
    memcpy (address.ip, ipv4, sizeof ipv4);
  else
    memcpy (address.ip, ipv6, sizeof ipv6);
  address.ip[family == 4 ? 3 : 15] = (uint8_t)(index % CALLERS_HOSTS);
  return address;
}

static flow_t *
find_flow (callers_t *callers, const inner_segment_t *segment, uint32_t *index)
{
  const gbd_address_t *to = &segment->to;
  if (to->port < PORT_FIRST)
    return NULL;
  *index = (uint32_t)(to->port - PORT_FIRST) * CALLERS_HOSTS
           + to->ip[to->family == 4 ? 3 : 15];
  if (*index >= callers->settings.flows)
    return NULL;
  flow_t *flow = &callers->flows[*index];
  const gbd_address_t *service
      = &callers->settings.services[flow->service].address;
  gbd_address_t caller = caller_address (*index, service->family);
  bool is_right = gbd_address_is_equal (to, &caller)
                  && gbd_address_is_equal (&segment->from, service);
  return is_right ? flow : NULL;
}

/* The refusal of a repeated opening packet has sequence number 0, outside the
   window of a caller that has opened its flow, and is ignored (RFC 9293,
   section 3.10.7.4). */
static bool
is_stale_refusal (const flow_t *flow, const inner_segment_t *segment)
{
  return flow->state != FLOW_OPENING && segment->sequence == 0
         && (segment->flags & INNER_RST) && (segment->flags & INNER_ACK);
}

static void
handle_segment (callers_t *callers, uint32_t index,
                const inner_segment_t *segment, gbd_time_t now)
{
  flow_t *flow = &callers->flows[index];
  if (is_stale_refusal (flow, segment))
    return;
  if (segment->flags & INNER_RST)
    {
      verdict_reset (callers->verdict, &flow->judged);
      end_flow (callers, index);
    }
  else if (segment->flags & INNER_SYN)
    handle_opened (callers, index, segment, now);
  else if (segment->flags & INNER_FIN)
    {
      if (flow->state == FLOW_CLOSING)
        {
          verdict_waited (callers->verdict, &flow->judged,
                          now - flow->asked_at);
          end_flow (callers, index);
        }
    }
  else if (segment->payload_length)
    handle_answer (callers, index, segment, now);
  if (flow->judged.is_broken && flow->state != FLOW_ENDED)
    end_flow (callers, index);
}

static void
handle_opened (callers_t *callers, uint32_t index,
               const inner_segment_t *segment, gbd_time_t now)
{
  flow_t *flow = &callers->flows[index];
  verdict_opened (callers->verdict, &flow->judged, segment->sequence);
  if (flow->state != FLOW_OPENING)
    return;
  verdict_waited (callers->verdict, &flow->judged, now - flow->asked_at);
  flow->state = FLOW_OPEN;
  send_segment (callers, index, INNER_ACK, 1, NULL, 0);
  go_on (callers, index, now);
}

static void
handle_answer (callers_t *callers, uint32_t index,
               const inner_segment_t *segment, gbd_time_t now)
{
  flow_t *flow = &callers->flows[index];
  bool is_newest
      = verdict_answered (callers->verdict, &flow->judged, segment->sequence,
                          segment->payload, segment->payload_length);
  if (!is_newest || flow->state != FLOW_OPEN || !flow->is_waiting)
    return;
  verdict_waited (callers->verdict, &flow->judged, now - flow->asked_at);
  flow->is_waiting = false;
  wheel_set (callers->wheel, index, now + flow->interval);
}

/* Take the next step of a flow that waits for nothing. */
static void
go_on (callers_t *callers, uint32_t index, gbd_time_t now)
{
  flow_t *flow = &callers->flows[index];
  if (flow->state == FLOW_CLOSED)
    flow->state = FLOW_OPENING;
  else if (flow->next_request < flow->requests)
    flow->judged.request_id = flow->next_request++;
  else
    flow->state = FLOW_CLOSING;
  flow->tries = 0;
  flow->asked_at = now;
  flow->is_waiting = true;
  send_newest (callers, index, now);
}

static void
send_newest (callers_t *callers, uint32_t index, gbd_time_t now)
{
  flow_t *flow = &callers->flows[index];
  uint32_t length = flow->judged.request_length;
  if (flow->state == FLOW_OPENING)
    send_segment (callers, index, INNER_SYN, 0, NULL, 0);
  else if (flow->state == FLOW_CLOSING)
    send_segment (callers, index, INNER_FIN | INNER_ACK,
                  1 + flow->requests * length, NULL, 0);
  else
    {
      uint8_t request[VERDICT_REQUEST_MAX];
      uint32_t id = flow->judged.request_id;
      exchange_build_request (index, id, request, length);
      send_segment (callers, index, INNER_PSH | INNER_ACK, 1 + id * length,
                    request, length);
    }
  wheel_set (callers->wheel, index, now + (RETRY_FIRST << flow->tries));
  flow->tries++;
}

static void
send_segment (callers_t *callers, uint32_t index, uint8_t flags,
              uint32_t offset, const uint8_t *payload, size_t payload_length)
{
  const flow_t *flow = &callers->flows[index];
  const gbd_address_t *service
      = &callers->settings.services[flow->service].address;
  gbd_address_t caller = caller_address (index, service->family);
  uint32_t acknowledgment = 0;
  if (flags & INNER_ACK)
    acknowledgment = flow->judged.server_start + 1
                     + flow->judged.request_id * EXCHANGE_ANSWER_LENGTH;
  uint8_t bytes[INNER_LENGTH_MAX];
  size_t length
      = inner_build (&caller, service, flow->start + offset, acknowledgment,
                     flags, payload, payload_length, bytes);
  callers->settings.send (callers->settings.data, bytes, length);
  verdict_sent (callers->verdict);
}

static void
end_flow (callers_t *callers, uint32_t index)
{
  callers->flows[index].state = FLOW_ENDED;
  callers->ended++;
  wheel_clear (callers->wheel, index);
}
