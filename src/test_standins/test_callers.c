/* The callers against endpoints in memory: what a faulty balancer does to
   them must show in the verdict. */
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

/** What the network does with a packet; @return the endpoint that gets it, or
 *  -1 to lose it. */
typedef int (*network_route_t) (network_t *network);

struct network
{
  network_route_t route;
  GQueue *packets; /* GBytes */
  uint64_t sent;
  const uint8_t *packet; /* being routed */
  endpoint_t *endpoints[3];
  bool is_answer_changed;
};

static int
route_right (network_t *network)
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
route_nowhere (network_t *network)
{
  (void)network;
  return -1;
}

/* Half of the flows, then half of all packets, go to another endpoint. */
static int
route_changing (network_t *network)
{
  return network->sent > (uint64_t)FLOWS * 3 ? 1 : 0;
}

static int
route_by_turns (network_t *network)
{
  return (int)(network->sent % 2);
}

static int
route_to_other_service (network_t *network)
{
  (void)network;
  return 2;
}

/* The opening packet reaches two endpoints; all others the first. */
static int
route_opening_twice (network_t *network)
{
  uint8_t flags = network->packet[33];
  return flags == INNER_SYN && network->sent % 2 ? 1 : 0;
}

/* After the opening, packets reach nobody. */
static int
route_opening_only (network_t *network)
{
  return network->packet[33] == INNER_SYN ? 0 : -1;
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
      uint8_t answer[INNER_LENGTH_MAX];
      network->packet = bytes;
      network->sent++;
      int to = network->route (network);
      size_t answered = 0;
      if (to >= 0)
        answered = endpoint_handle (network->endpoints[to], bytes, length, now,
                                    answer);
      bool has_payload = answered > 40;
      if (has_payload && network->is_answer_changed)
        answer[40 + 8] ^= 1; /* the checksum of the request */
      if (answered)
        callers_receive (callers, answer, answered, now);
      g_bytes_unref (packet);
    }
}

static json_t *
run (network_t *network, bool *is_good, uint64_t *unopened)
{
  verdict_t *verdict = verdict_new ();
  callers_settings_t settings = {
    .flows = FLOWS,
    .rate = 1000,
    .requests = REQUESTS,
    .request_length = 64,
    .life = GBD_SECOND,
    .long_share = 0.1,
    .seed = 20261203,
    .service_count = 1,
    .send = send_packet,
    .data = network,
  };
  gbd_address_parse ("192.0.2.1:80", &settings.services[0].address);
  settings.services[0].share = 1;
  settings.services[0].judged_as = verdict_add_service (verdict, "visitas", 0);
  network->packets = g_queue_new ();
  network->endpoints[0] = endpoint_new ("visitas", "visitas-0");
  network->endpoints[1] = endpoint_new ("visitas", "visitas-1");
  network->endpoints[2] = endpoint_new ("acervo", "acervo-0");

  gbd_time_t now = 0;
  callers_t *callers = callers_new (&settings, verdict, now);
  for (int i = 0; i < TICKS_MAX && !callers_is_done (callers); i++)
    {
      now += TICK;
      callers_tick (callers, now);
      deliver (network, callers, now);
    }
  assert_true (callers_is_done (callers));
  *is_good = verdict_is_good (verdict);
  *unopened = verdict_get_unopened (verdict);
  json_t *report = verdict_report (verdict, FLOWS, 1);

  callers_delete (callers);
  verdict_delete (verdict);
  for (int i = 0; i < 3; i++)
    endpoint_delete (network->endpoints[i]);
  g_queue_free_full (network->packets, (GDestroyNotify)g_bytes_unref);
  return report;
}

static long long
get (const json_t *report, const char *key)
{
  return json_integer_value (json_object_get (report, key));
}

static void
each_fault_shows_in_the_verdict (void **state)
{
  (void)state;
  static const struct
  {
    const char *what;
    network_route_t route;
    bool is_answer_changed;
    bool is_good;
    const char *fault; /* the only figure above 0 */
  } rows[] = {
    { "right", route_right, false, true, NULL },
    { "a third lost", route_lossy, false, true, NULL },
    { "later packets elsewhere", route_changing, false, false, "broken" },
    { "packets by turns", route_by_turns, false, false, "broken" },
    { "opened twice", route_opening_twice, false, false, "broken" },
    { "silent after opening", route_opening_only, false, false, "broken" },
    { "other service", route_to_other_service, false, false, "wrong_service" },
    { "other answer", route_right, true, false, "wrong_answer" },
    { "no answer", route_nowhere, false, false, "unopened" },
  };
  static const char *const figures[]
      = { "broken", "wrong_service", "wrong_answer", "refused" };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      network_t network = { .route = rows[i].route,
                            .is_answer_changed = rows[i].is_answer_changed };
      bool is_good;
      uint64_t unopened;
      json_t *report = run (&network, &is_good, &unopened);
      if (is_good != rows[i].is_good)
        fail_msg ("%s: verdict %d", rows[i].what, is_good);
      for (size_t j = 0; j < sizeof figures / sizeof figures[0]; j++)
        {
          bool is_expected
              = rows[i].fault && strcmp (rows[i].fault, figures[j]) == 0;
          /* A flow whose answers are all refused cannot go on either. */
          bool follows = strcmp (figures[j], "broken") == 0 && rows[i].fault;
          if (!follows && (get (report, figures[j]) > 0) != is_expected)
            fail_msg ("%s: %s %lld", rows[i].what, figures[j],
                      get (report, figures[j]));
          if (is_expected && get (report, figures[j]) == 0)
            fail_msg ("%s: %s 0", rows[i].what, figures[j]);
        }
      bool is_unopened
          = rows[i].fault && strcmp (rows[i].fault, "unopened") == 0;
      assert_int_equal (unopened, is_unopened ? FLOWS : 0);
      assert_true (get (report, "packets") > 0);
      json_decref (report);
    }
}

static verdict_flow_t
open_flow (verdict_t *verdict, uint32_t number)
{
  verdict_flow_t flow
      = { .endpoint = VERDICT_NOBODY, .number = number, .request_length = 64 };
  verdict_opened (verdict, &flow, 1000);
  return flow;
}

static bool
answer_flow (verdict_t *verdict, verdict_flow_t *flow, const char *uid)
{
  exchange_answer_t answer = { .id = flow->request_id, .service = "visitas" };
  uint8_t request[64];
  uint8_t bytes[EXCHANGE_ANSWER_LENGTH];
  exchange_build_request (flow->number, answer.id, request, sizeof request);
  answer.checksum = exchange_checksum (request, sizeof request);
  g_strlcpy (answer.uid, uid, sizeof answer.uid);
  exchange_build_answer (&answer, bytes);
  return verdict_answered (verdict, flow,
                           1001 + answer.id * EXCHANGE_ANSWER_LENGTH, bytes,
                           sizeof bytes);
}

static void
resets_refuse_or_break (void **state)
{
  (void)state;
  verdict_t *verdict = verdict_new ();
  verdict_flow_t closed = { .endpoint = VERDICT_NOBODY };
  verdict_reset (verdict, &closed);
  assert_true (verdict_is_good (verdict));
  verdict_flow_t open = open_flow (verdict, 1);
  verdict_reset (verdict, &open);
  verdict_gave_up (verdict, &open);
  json_t *report = verdict_report (verdict, 2, 1);
  assert_int_equal (get (report, "refused"), 1);
  assert_int_equal (get (report, "broken"), 1); /* a flow breaks once */
  json_decref (report);
  verdict_delete (verdict);
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
  /* Six flows at a, three at b, one at c. */
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      verdict_t *verdict = verdict_new ();
      verdict_add_service (verdict, "visitas", rows[i].endpoints);
      assert_int_equal (verdict_add_service (verdict, "visitas", 0), 0);
      if (rows[i].excluded)
        verdict_exclude (verdict, rows[i].excluded);
      for (uint32_t j = 0; j < sizeof uids / sizeof uids[0]; j++)
        {
          verdict_flow_t flow = open_flow (verdict, j);
          assert_true (answer_flow (verdict, &flow, uids[j]));
          assert_true (answer_flow (verdict, &flow, uids[j]));
        }
      json_t *report = verdict_report (verdict, 10, 1);
      double imbalance = json_real_value (
          json_object_get (json_object_get (report, "imbalance"), "visitas"));
      assert_float_equal (imbalance, rows[i].imbalance, 0.001);
      json_decref (report);
      verdict_delete (verdict);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (each_fault_shows_in_the_verdict),
    cmocka_unit_test (resets_refuse_or_break),
    cmocka_unit_test (imbalance_is_busiest_over_mean),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
