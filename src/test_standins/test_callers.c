/* Runs the callers against endpoints in memory.  Each fault of a balancer must
   appear in the results of the flow checker, because system tests rely on
   these results. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>

#include "standins/callers.h"
#include "standins/endpoint.h"

#define FLOWS 200
#define REQUESTS 5
#define TICK (5 * GBD_MILLISECOND)
#define TICKS_MAX 200000

typedef struct network network_t;

/** Routes a packet.
 *  @return index of the endpoint that gets it, or -1 to lose it. */
typedef int (*network_route_t) (network_t *network);

struct network
{
  network_route_t route;
  GQueue *packets; /* GBytes */
  uint64_t sent;
  const uint8_t *packet; /* packet that is being routed */
  endpoint_t *endpoints[3];
  bool is_response_changed;
};

static int
route_correctly (network_t *network)
{
  (void)network;
  return 0;
}

static int
route_lossy (network_t *network)
{
  return network->sent % 3 ? 0 : -1;
}

static int
route_to_none (network_t *network)
{
  (void)network;
  return -1;
}

/* All packets after the first 3 * FLOWS go to another endpoint. */
static int
route_to_other_endpoint_later (network_t *network)
{
  return network->sent > (uint64_t)FLOWS * 3 ? 1 : 0;
}

static int
route_alternately (network_t *network)
{
  return (int)(network->sent % 2);
}

static int
route_to_other_service (network_t *network)
{
  (void)network;
  return 2;
}

/* Opening packets go to one of two endpoints, all other packets to the
   first. */
static int
route_opening_to_either (network_t *network)
{
  uint8_t flags = network->packet[33];
  return flags == TCP_PACKET_SYN && network->sent % 2 ? 1 : 0;
}

/* Only opening packets are delivered. */
static int
route_opening_only (network_t *network)
{
  return network->packet[33] == TCP_PACKET_SYN ? 0 : -1;
}

static void
send_packet (void *data, const uint8_t *bytes, size_t length)
{
  network_t *network = data;
  g_queue_push_tail (network->packets, g_bytes_new (bytes, length));
}

static void
deliver (network_t *network, callers_t *callers, gbd_time_t now)
{
  GBytes *packet;
  while ((packet = g_queue_pop_head (network->packets)))
    {
      gsize length;
      const uint8_t *bytes = g_bytes_get_data (packet, &length);
      uint8_t response[TCP_PACKET_LENGTH_MAX];
      network->packet = bytes;
      network->sent++;
      int to = network->route (network);
      size_t response_length = 0;
      if (to >= 0)
        response_length = endpoint_handle_packet (
            network->endpoints[to], bytes, length, now, response);
      bool has_payload = response_length > 40;
      if (has_payload && network->is_response_changed)
        response[40 + 8] ^= 1; /* checksum of the request */
      if (response_length)
        callers_receive (callers, response, response_length, now);
      g_bytes_unref (packet);
    }
}

static json_t *
run (network_t *network, bool *has_passed, uint64_t *unopened)
{
  flow_checker_t *checker = flow_checker_new ();
  callers_settings_t settings = {
    .flows = FLOWS,
    .rate = 1000,
    .requests = REQUESTS,
    .request_length = 64,
    .lifetime = GBD_SECOND,
    .long_share = 0.1,
    .seed = 20261203,
    .service_count = 1,
    .send = send_packet,
    .data = network,
  };
  gbd_address_parse ("192.0.2.1:80", &settings.services[0].address);
  settings.services[0].share = 1;
  settings.services[0].checker_service
      = flow_checker_add_service (checker, "visitas", 0);
  network->packets = g_queue_new ();
  network->endpoints[0] = endpoint_new ("visitas", "visitas-0");
  network->endpoints[1] = endpoint_new ("visitas", "visitas-1");
  network->endpoints[2] = endpoint_new ("acervo", "acervo-0");

  gbd_time_t now = 0;
  callers_t *callers = callers_new (&settings, checker, now);
  for (int i = 0; i < TICKS_MAX && !callers_is_done (callers); i++)
    {
      now += TICK;
      callers_tick (callers, now);
      deliver (network, callers, now);
    }
  assert_true (callers_is_done (callers));
  *has_passed = flow_checker_has_passed (checker);
  *unopened = flow_checker_get_unopened (checker);
  json_t *report = flow_checker_report (checker, FLOWS, 1);

  callers_delete (callers);
  flow_checker_delete (checker);
  for (int i = 0; i < 3; i++)
    endpoint_delete (network->endpoints[i]);
  g_queue_free_full (network->packets, (GDestroyNotify)g_bytes_unref);
  return report;
}

static long long
get_count (const json_t *report, const char *key)
{
  return json_integer_value (json_object_get (report, key));
}

static void
each_fault_appears_in_the_results (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    network_route_t route;
    bool is_response_changed;
    bool has_passed;
    const char *fault; /* key of the only result above 0 */
  } rows[] = {
    { "correct", route_correctly, false, true, NULL },
    { "a third lost", route_lossy, false, true, NULL },
    { "later packets to another endpoint", route_to_other_endpoint_later,
      false, false, "broken" },
    { "packets to alternating endpoints", route_alternately, false, false,
      "broken" },
    { "opened twice", route_opening_to_either, false, false, "broken" },
    { "no response after opening", route_opening_only, false, false,
      "broken" },
    { "other service", route_to_other_service, false, false, "wrong_service" },
    { "changed response", route_correctly, true, false, "wrong_answer" },
    { "no response", route_to_none, false, false, "unopened" },
  };
  static const char *const counts[]
      = { "broken", "wrong_service", "wrong_answer", "refused" };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      network_t network
          = { .route = rows[i].route,
              .is_response_changed = rows[i].is_response_changed };
      bool has_passed;
      uint64_t unopened;
      json_t *report = run (&network, &has_passed, &unopened);
      if (has_passed != rows[i].has_passed)
        fail_msg ("%s: passed %d", rows[i].name, has_passed);
      for (size_t j = 0; j < sizeof counts / sizeof counts[0]; j++)
        {
          bool is_expected
              = rows[i].fault && strcmp (rows[i].fault, counts[j]) == 0;
          /* A flow that gets no valid response breaks as well. */
          bool may_be_broken
              = strcmp (counts[j], "broken") == 0 && rows[i].fault;
          if (!may_be_broken
              && (get_count (report, counts[j]) > 0) != is_expected)
            fail_msg ("%s: %s %lld", rows[i].name, counts[j],
                      get_count (report, counts[j]));
          if (is_expected && get_count (report, counts[j]) == 0)
            fail_msg ("%s: %s 0", rows[i].name, counts[j]);
        }
      bool is_unopened
          = rows[i].fault && strcmp (rows[i].fault, "unopened") == 0;
      assert_int_equal (unopened, is_unopened ? FLOWS : 0);
      assert_true (get_count (report, "packets") > 0);
      json_decref (report);
    }
}

static checked_flow_t
open_flow (flow_checker_t *checker, uint32_t number)
{
  checked_flow_t flow = { .endpoint = FLOW_CHECKER_NO_ENDPOINT,
                          .number = number,
                          .request_length = 64 };
  flow_checker_record_open (checker, &flow, 1000);
  return flow;
}

static bool
respond_to_flow (flow_checker_t *checker, checked_flow_t *flow,
                 const char *uid)
{
  exchange_response_t response
      = { .id = flow->request_id, .service = "visitas" };
  uint8_t request[64];
  uint8_t bytes[EXCHANGE_RESPONSE_LENGTH];
  exchange_build_request (flow->number, response.id, request, sizeof request);
  response.checksum = exchange_checksum (request, sizeof request);
  g_strlcpy (response.uid, uid, sizeof response.uid);
  exchange_build_response (&response, bytes);
  return flow_checker_check_response (
      checker, flow, 1001 + response.id * EXCHANGE_RESPONSE_LENGTH, bytes,
      sizeof bytes);
}

static void
resets_refuse_or_break_a_flow (void **state)
{
  (void)state;
  flow_checker_t *checker = flow_checker_new ();
  checked_flow_t closed = { .endpoint = FLOW_CHECKER_NO_ENDPOINT };
  flow_checker_record_reset (checker, &closed);
  assert_true (flow_checker_has_passed (checker));
  checked_flow_t open = open_flow (checker, 1);
  flow_checker_record_reset (checker, &open);
  flow_checker_record_timeout (checker, &open);
  json_t *report = flow_checker_report (checker, 2, 1);
  assert_int_equal (get_count (report, "refused"), 1);
  assert_int_equal (get_count (report, "broken"),
                    1); /* a flow is counted as broken once */
  json_decref (report);
  flow_checker_delete (checker);
}

static void
imbalance_is_busiest_over_mean (void **state)
{
  (void)state;
  static const struct
  {
    uint32_t endpoints;
    const char *excluded;
    double imbalance;
  } rows[] = { { 0, NULL, 1.8 }, { 0, "c", 4.0 / 3 }, { 6, NULL, 3.6 } };
  static const char *const uids[]
      = { "a", "a", "a", "a", "b", "b", "c", "a", "a", "b" };
  /* Six flows to a, three to b, one to c. */
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      flow_checker_t *checker = flow_checker_new ();
      flow_checker_add_service (checker, "visitas", rows[i].endpoints);
      assert_int_equal (flow_checker_add_service (checker, "visitas", 0), 0);
      if (rows[i].excluded)
        flow_checker_exclude_endpoint (checker, rows[i].excluded);
      for (uint32_t j = 0; j < sizeof uids / sizeof uids[0]; j++)
        {
          checked_flow_t flow = open_flow (checker, j);
          assert_true (respond_to_flow (checker, &flow, uids[j]));
          assert_true (respond_to_flow (checker, &flow, uids[j]));
        }
      json_t *report = flow_checker_report (checker, 10, 1);
      double imbalance = json_real_value (
          json_object_get (json_object_get (report, "imbalance"), "visitas"));
      assert_float_equal (imbalance, rows[i].imbalance, 0.001);
      json_decref (report);
      flow_checker_delete (checker);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (each_fault_appears_in_the_results),
    cmocka_unit_test (resets_refuse_or_break_a_flow),
    cmocka_unit_test (imbalance_is_busiest_over_mean),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
