#include "standins/flow_checker.h"

#include <string.h>

#include <glib.h>

typedef struct
{
  char *name;
  uint32_t expected_endpoints; /* 0 if unknown */
} checked_service_t;

typedef struct
{
  char *uid;
  uint16_t service;
  uint64_t flows;
  uint64_t broken;
} endpoint_load_t;

struct flow_checker
{
  GArray *services;     /* checked_service_t */
  GArray *endpoints;    /* endpoint_load_t */
  GHashTable *excluded; /* set of uids */
  uint64_t packets;
  uint64_t broken;
  uint64_t wrong_service;
  uint64_t wrong_responses;
  uint64_t refused;
  uint64_t unopened;
  gbd_time_t longest_wait;
  uint32_t longest_wait_flow; /* number of the flow that waited longest */
};

static uint16_t find_endpoint (flow_checker_t *checker, uint16_t service,
                               const char *uid);
static bool is_checksum_correct (const checked_flow_t *flow,
                                 const exchange_response_t *response);
static void count_broken (flow_checker_t *checker, checked_flow_t *flow);
static double compute_imbalance (const flow_checker_t *checker,
                                 uint16_t service);
static void clear_service (gpointer data);
static void clear_endpoint (gpointer data);

flow_checker_t *
flow_checker_new (void)
{
  flow_checker_t *checker = g_new0 (flow_checker_t, 1);
  checker->services = g_array_new (FALSE, TRUE, sizeof (checked_service_t));
  checker->endpoints = g_array_new (FALSE, TRUE, sizeof (endpoint_load_t));
  checker->excluded
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_array_set_clear_func (checker->services, clear_service);
  g_array_set_clear_func (checker->endpoints, clear_endpoint);
  return checker;
}

void
flow_checker_delete (flow_checker_t *checker)
{
  if (!checker)
    return;
  g_array_free (checker->services, TRUE);
  g_array_free (checker->endpoints, TRUE);
  g_hash_table_destroy (checker->excluded);
  g_free (checker);
}

uint16_t
flow_checker_add_service (flow_checker_t *checker, const char *name,
                          uint32_t endpoints)
{
  for (uint32_t i = 0; i < checker->services->len; i++)
    {
      if (strcmp (g_array_index (checker->services, checked_service_t, i).name,
                  name)
          == 0)
        return (uint16_t)i;
    }
  checked_service_t service = { g_strdup (name), endpoints };
  g_array_append_val (checker->services, service);
  return (uint16_t)(checker->services->len - 1);
}

void
flow_checker_exclude_endpoint (flow_checker_t *checker, const char *uid)
{
  g_hash_table_add (checker->excluded, g_strdup (uid));
}

void
flow_checker_count_packet (flow_checker_t *checker)
{
  checker->packets++;
}

void
flow_checker_record_open (flow_checker_t *checker, checked_flow_t *flow,
                          uint32_t server_initial_sequence)
{
  if (!flow->is_open)
    {
      flow->is_open = true;
      flow->server_initial_sequence = server_initial_sequence;
    }
  else if (flow->server_initial_sequence != server_initial_sequence)
    count_broken (checker, flow); /* two endpoints accepted the flow */
}

bool
flow_checker_check_response (flow_checker_t *checker, checked_flow_t *flow,
                             uint32_t sequence, const uint8_t *bytes,
                             size_t length)
{
  exchange_response_t response;
  if (!exchange_parse_response (bytes, length, &response)
      || response.id > flow->request_id
      || !is_checksum_correct (flow, &response))
    {
      checker->wrong_responses++;
      return false;
    }
  const checked_service_t *service
      = &g_array_index (checker->services, checked_service_t, flow->service);
  if (strcmp (service->name, response.service) != 0)
    {
      checker->wrong_service++;
      return false;
    }

  uint16_t endpoint = find_endpoint (checker, flow->service, response.uid);
  if (flow->endpoint == FLOW_CHECKER_NO_ENDPOINT)
    {
      flow->endpoint = endpoint;
      g_array_index (checker->endpoints, endpoint_load_t, endpoint).flows++;
    }
  uint32_t expected = flow->server_initial_sequence + 1
                      + response.id * EXCHANGE_RESPONSE_LENGTH;
  if (flow->endpoint != endpoint || sequence != expected)
    {
      count_broken (checker, flow);
      return false;
    }
  return response.id == flow->request_id;
}

void
flow_checker_record_reset (flow_checker_t *checker, checked_flow_t *flow)
{
  if (flow->is_open)
    count_broken (checker, flow);
  else
    checker->refused++;
}

void
flow_checker_record_wait (flow_checker_t *checker, const checked_flow_t *flow,
                          gbd_time_t wait)
{
  if (wait <= checker->longest_wait)
    return;
  checker->longest_wait = wait;
  checker->longest_wait_flow = flow->number;
}

void
flow_checker_record_timeout (flow_checker_t *checker, checked_flow_t *flow)
{
  if (flow->is_open)
    count_broken (checker, flow);
  else
    checker->unopened++;
}

bool
flow_checker_has_passed (const flow_checker_t *checker)
{
  return !checker->broken && !checker->wrong_service
         && !checker->wrong_responses && !checker->unopened;
}

uint64_t
flow_checker_get_unopened (const flow_checker_t *checker)
{
  return checker->unopened;
}

json_t *
flow_checker_report (const flow_checker_t *checker, uint32_t flows,
                     double seconds)
{
  json_t *imbalance = json_object ();
  for (uint32_t i = 0; i < checker->services->len; i++)
    {
      const checked_service_t *service
          = &g_array_index (checker->services, checked_service_t, i);
      json_object_set_new (
          imbalance, service->name,
          json_real (compute_imbalance (checker, (uint16_t)i)));
    }
  json_t *broken_at = json_object ();
  for (uint32_t i = 0; i < checker->endpoints->len; i++)
    {
      const endpoint_load_t *load
          = &g_array_index (checker->endpoints, endpoint_load_t, i);
      if (load->broken)
        json_object_set_new (broken_at, load->uid,
                             json_integer ((json_int_t)load->broken));
    }
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:f}", "flows",
      (json_int_t)flows, "packets", (json_int_t)checker->packets, "broken",
      (json_int_t)checker->broken, "wrong_service",
      (json_int_t)checker->wrong_service, "wrong_answer",
      (json_int_t)checker->wrong_responses, "refused",
      (json_int_t)checker->refused, "unopened", (json_int_t)checker->unopened,
      "longest_wait_ms", (json_int_t)(checker->longest_wait / GBD_MILLISECOND),
      "longest_wait_flow", (json_int_t)checker->longest_wait_flow, "broken_at",
      broken_at, "imbalance", imbalance, "seconds", seconds);
}

static uint16_t
find_endpoint (flow_checker_t *checker, uint16_t service, const char *uid)
{
  for (uint32_t i = 0; i < checker->endpoints->len; i++)
    {
      const endpoint_load_t *load
          = &g_array_index (checker->endpoints, endpoint_load_t, i);
      if (load->service == service && strcmp (load->uid, uid) == 0)
        return (uint16_t)i;
    }
  endpoint_load_t load = { g_strdup (uid), service, 0, 0 };
  g_array_append_val (checker->endpoints, load);
  return (uint16_t)(checker->endpoints->len - 1);
}

static bool
is_checksum_correct (const checked_flow_t *flow,
                     const exchange_response_t *response)
{
  uint8_t request[FLOW_CHECKER_REQUEST_MAX];
  size_t length = MIN (flow->request_length, sizeof request);
  exchange_build_request (flow->number, response->id, request, length);
  return exchange_checksum (request, length) == response->checksum;
}

static void
count_broken (flow_checker_t *checker, checked_flow_t *flow)
{
  if (flow->is_broken)
    return;
  flow->is_broken = true;
  checker->broken++;
  for (uint32_t i = 0; i < checker->endpoints->len; i++)
    {
      endpoint_load_t *load
          = &g_array_index (checker->endpoints, endpoint_load_t, i);
      if (load->service == flow->service
          && exchange_get_initial_sequence (load->uid, flow->hash)
                 == flow->server_initial_sequence)
        load->broken++;
    }
}

static double
compute_imbalance (const flow_checker_t *checker, uint16_t service)
{
  uint64_t sum = 0;
  uint64_t busiest = 0;
  uint32_t endpoint_count = 0;
  for (uint32_t i = 0; i < checker->endpoints->len; i++)
    {
      const endpoint_load_t *load
          = &g_array_index (checker->endpoints, endpoint_load_t, i);
      if (load->service != service
          || g_hash_table_contains (checker->excluded, load->uid))
        continue;
      endpoint_count++;
      sum += load->flows;
      busiest = MAX (busiest, load->flows);
    }
  uint32_t expected_endpoints
      = g_array_index (checker->services, checked_service_t, service)
            .expected_endpoints;
  uint32_t count = MAX (endpoint_count, expected_endpoints);
  return sum ? (double)busiest * count / (double)sum : 0;
}

static void
clear_service (gpointer data)
{
  checked_service_t *service = data;
  g_free (service->name);
}

static void
clear_endpoint (gpointer data)
{
  endpoint_load_t *load = data;
  g_free (load->uid);
}
