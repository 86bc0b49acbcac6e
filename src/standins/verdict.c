#include "standins/verdict.h"

#include <string.h>

#include <glib.h>

typedef struct
{
  char *name;
  uint32_t expected; /* endpoints; 0 if not known */
} service_t;

typedef struct
{
  char *uid;
  uint16_t service;
  uint64_t flows;
  uint64_t broken;
} endpoint_load_t;

struct verdict
{
  GArray *services;     /* service_t */
  GArray *endpoints;    /* endpoint_load_t */
  GHashTable *excluded; /* uid */
  uint64_t packets;
  uint64_t broken;
  uint64_t wrong_service;
  uint64_t wrong_answer;
  uint64_t refused;
  uint64_t unopened;
  gbd_time_t longest_wait;
  uint32_t longest_flow; /* its number */
};

static uint16_t find_endpoint (verdict_t *verdict, uint16_t service,
                               const char *uid);
static bool is_right_checksum (const verdict_flow_t *flow,
                               const exchange_answer_t *answer);
static void count_broken (verdict_t *verdict, verdict_flow_t *flow);
static double imbalance_of (const verdict_t *verdict, uint16_t service);
static void clear_service (gpointer data);
static void clear_endpoint (gpointer data);

verdict_t *
verdict_new (void)
{
  verdict_t *verdict = g_new0 (verdict_t, 1);
  verdict->services = g_array_new (FALSE, TRUE, sizeof (service_t));
  verdict->endpoints = g_array_new (FALSE, TRUE, sizeof (endpoint_load_t));
  verdict->excluded
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_array_set_clear_func (verdict->services, clear_service);
  g_array_set_clear_func (verdict->endpoints, clear_endpoint);
  return verdict;
}

void
verdict_delete (verdict_t *verdict)
{
  if (!verdict)
    return;
  g_array_free (verdict->services, TRUE);
  g_array_free (verdict->endpoints, TRUE);
  g_hash_table_destroy (verdict->excluded);
  g_free (verdict);
}

uint16_t
verdict_add_service (verdict_t *verdict, const char *name, uint32_t endpoints)
{
  for (uint32_t i = 0; i < verdict->services->len; i++)
    {
      if (strcmp (g_array_index (verdict->services, service_t, i).name, name)
          == 0)
        return (uint16_t)i;
    }
  service_t service = { g_strdup (name), endpoints };
  g_array_append_val (verdict->services, service);
  return (uint16_t)(verdict->services->len - 1);
}

void
verdict_exclude (verdict_t *verdict, const char *uid)
{
  g_hash_table_add (verdict->excluded, g_strdup (uid));
}

void
verdict_sent (verdict_t *verdict)
{
  verdict->packets++;
}

void
verdict_opened (verdict_t *verdict, verdict_flow_t *flow,
                uint32_t server_start)
{
  if (!flow->is_open)
    {
      flow->is_open = true;
      flow->server_start = server_start;
    }
  else if (flow->server_start != server_start)
    count_broken (verdict, flow); /* opened at two backend servers */
}

bool
verdict_answered (verdict_t *verdict, verdict_flow_t *flow, uint32_t sequence,
                  const uint8_t *bytes, size_t length)
{
  exchange_answer_t answer;
  if (!exchange_read_answer (bytes, length, &answer)
      || answer.id > flow->request_id || !is_right_checksum (flow, &answer))
    {
      verdict->wrong_answer++;
      return false;
    }
  const service_t *service
      = &g_array_index (verdict->services, service_t, flow->service);
  if (strcmp (service->name, answer.service) != 0)
    {
      verdict->wrong_service++;
      return false;
    }

  uint16_t endpoint = find_endpoint (verdict, flow->service, answer.uid);
  if (flow->endpoint == VERDICT_NOBODY)
    {
      flow->endpoint = endpoint;
      g_array_index (verdict->endpoints, endpoint_load_t, endpoint).flows++;
    }
  uint32_t expected
      = flow->server_start + 1 + answer.id * EXCHANGE_ANSWER_LENGTH;
  if (flow->endpoint != endpoint || sequence != expected)
    {
      count_broken (verdict, flow);
      return false;
    }
  return answer.id == flow->request_id;
}

void
verdict_reset (verdict_t *verdict, verdict_flow_t *flow)
{
  if (flow->is_open)
    count_broken (verdict, flow);
  else
    verdict->refused++;
}

void
verdict_waited (verdict_t *verdict, const verdict_flow_t *flow,
                gbd_time_t wait)
{
  if (wait <= verdict->longest_wait)
    return;
  verdict->longest_wait = wait;
  verdict->longest_flow = flow->number;
}

void
verdict_gave_up (verdict_t *verdict, verdict_flow_t *flow)
{
  if (flow->is_open)
    count_broken (verdict, flow);
  else
    verdict->unopened++;
}

bool
verdict_is_good (const verdict_t *verdict)
{
  return !verdict->broken && !verdict->wrong_service && !verdict->wrong_answer
         && !verdict->unopened;
}

uint64_t
verdict_get_unopened (const verdict_t *verdict)
{
  return verdict->unopened;
}

json_t *
verdict_report (const verdict_t *verdict, uint32_t flows, double seconds)
{
  json_t *imbalance = json_object ();
  for (uint32_t i = 0; i < verdict->services->len; i++)
    {
      const service_t *service
          = &g_array_index (verdict->services, service_t, i);
      json_object_set_new (imbalance, service->name,
                           json_real (imbalance_of (verdict, (uint16_t)i)));
    }
  json_t *broken_at = json_object ();
  for (uint32_t i = 0; i < verdict->endpoints->len; i++)
    {
      const endpoint_load_t *load
          = &g_array_index (verdict->endpoints, endpoint_load_t, i);
      if (load->broken)
        json_object_set_new (broken_at, load->uid,
                             json_integer ((json_int_t)load->broken));
    }
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:f}", "flows",
      (json_int_t)flows, "packets", (json_int_t)verdict->packets, "broken",
      (json_int_t)verdict->broken, "wrong_service",
      (json_int_t)verdict->wrong_service, "wrong_answer",
      (json_int_t)verdict->wrong_answer, "refused",
      (json_int_t)verdict->refused, "unopened", (json_int_t)verdict->unopened,
      "longest_wait_ms", (json_int_t)(verdict->longest_wait / GBD_MILLISECOND),
      "longest_wait_flow", (json_int_t)verdict->longest_flow, "broken_at",
      broken_at, "imbalance", imbalance, "seconds", seconds);
}

static uint16_t
find_endpoint (verdict_t *verdict, uint16_t service, const char *uid)
{
  for (uint32_t i = 0; i < verdict->endpoints->len; i++)
    {
      const endpoint_load_t *load
          = &g_array_index (verdict->endpoints, endpoint_load_t, i);
      if (load->service == service && strcmp (load->uid, uid) == 0)
        return (uint16_t)i;
    }
  endpoint_load_t load = { g_strdup (uid), service, 0, 0 };
  g_array_append_val (verdict->endpoints, load);
  return (uint16_t)(verdict->endpoints->len - 1);
}

static bool
is_right_checksum (const verdict_flow_t *flow, const exchange_answer_t *answer)
{
  uint8_t request[VERDICT_REQUEST_MAX];
  size_t length = MIN (flow->request_length, sizeof request);
  exchange_build_request (flow->number, answer->id, request, length);
  return exchange_checksum (request, length) == answer->checksum;
}

static void
count_broken (verdict_t *verdict, verdict_flow_t *flow)
{
  if (flow->is_broken)
    return;
  flow->is_broken = true;
  verdict->broken++;
  for (uint32_t i = 0; i < verdict->endpoints->len; i++)
    {
      endpoint_load_t *load
          = &g_array_index (verdict->endpoints, endpoint_load_t, i);
      if (load->service == flow->service
          && exchange_server_start (load->uid, flow->hash)
                 == flow->server_start)
        load->broken++;
    }
}

static double
imbalance_of (const verdict_t *verdict, uint16_t service)
{
  uint64_t sum = 0;
  uint64_t busiest = 0;
  uint32_t seen = 0;
  for (uint32_t i = 0; i < verdict->endpoints->len; i++)
    {
      const endpoint_load_t *load
          = &g_array_index (verdict->endpoints, endpoint_load_t, i);
      if (load->service != service
          || g_hash_table_contains (verdict->excluded, load->uid))
        continue;
      seen++;
      sum += load->flows;
      busiest = MAX (busiest, load->flows);
    }
  uint32_t expected
      = g_array_index (verdict->services, service_t, service).expected;
  uint32_t count = MAX (seen, expected);
  return sum ? (double)busiest * count / (double)sum : 0;
}

static void
clear_service (gpointer data)
{
  service_t *service = data;
  g_free (service->name);
}

static void
clear_endpoint (gpointer data)
{
  endpoint_load_t *load = data;
  g_free (load->uid);
}
