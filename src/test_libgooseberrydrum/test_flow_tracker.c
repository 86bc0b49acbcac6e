#include "director_fixture.h"

#define MS GBD_MILLISECOND

static const gbd_pool_load_t *
get_load (gbd_director_t *director, gbd_pool_handle_t handle)
{
  return &gbd_pool_get (gbd_director_get_pool (director), handle)->load;
}

/* The packets of one request on an established flow update the load. */
static void
flow_is_waiting_from_opening_to_response (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  gbd_director_decision_t opening = route_packet (director, &packet, START);
  const gbd_pool_load_t *load = get_load (director, opening.server);
  assert_int_equal (load->waiting, 1);
  assert_int_equal (load->open, 0);

  packet.kind = GBD_PACKET_ESTABLISHED;
  packet.cookie = opening.cookie;
  packet.sequence = 7001;
  packet.acknowledgment = 500;
  packet.payload_length = 100;
  route_packet (director, &packet, START + 10 * MS);
  assert_int_equal (load->waiting, 1);
  assert_int_equal (load->open, 1);

  packet.sequence = 7101;
  packet.acknowledgment = 2500;
  packet.payload_length = 0;
  route_packet (director, &packet, START + 40 * MS);
  assert_int_equal (load->waiting, 0);
  assert_int_equal (load->response_time.average, 30 * MS);

  packet.kind = GBD_PACKET_CLOSING;
  route_packet (director, &packet, START + 41 * MS);
  assert_int_equal (load->open, 0);
  gbd_director_delete (director);
}

/* A backend server stops responding on established flows; the first of them
   retransmits its request after 200 ms. */
static void
retransmitted_data_raises_suspicion (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_director_decision_t opening = open_flow (director, 1, START);
  const gbd_pool_load_t *load = get_load (director, opening.server);
  gbd_packet_t packet = make_data (&opening, 1);
  route_packet (director, &packet, START + GBD_SECOND);
  assert_false (gbd_suspicion_is_suspected (&load->suspicion));
  route_packet (director, &packet, START + GBD_SECOND + 200 * MS);
  assert_true (gbd_suspicion_is_suspected (&load->suspicion));
  gbd_director_delete (director);
}

/* An upload of many packets, whose window is retransmitted a few milliseconds
   after the first transmission, as on a path that reorders packets. */
static void
early_retransmission_is_ignored (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_director_decision_t opening = open_flow (director, 1, START);
  const gbd_pool_load_t *load = get_load (director, opening.server);
  gbd_packet_t packet = make_data (&opening, 1);
  packet.payload_length = 1200;
  route_packet (director, &packet, START + GBD_SECOND);
  route_packet (director, &packet, START + GBD_SECOND + 5 * MS);
  assert_false (gbd_suspicion_is_suspected (&load->suspicion));
  gbd_director_delete (director);
}

static uint32_t
count_flows (const gbd_director_t *director)
{
  gbd_director_stats_t stats;
  gbd_director_get_stats (director, &stats);
  return stats.tracked_flows;
}

static void
idle_flow_stops_waiting_and_is_removed (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  gbd_director_decision_t opening = route_packet (director, &packet, START);
  const gbd_pool_load_t *load = get_load (director, opening.server);
  gbd_director_tick (director, START + GBD_FLOW_TRACKER_RESPONSE_TIMEOUT_MIN);
  assert_int_equal (load->waiting, 1);
  gbd_director_tick (director,
                     START + GBD_FLOW_TRACKER_RESPONSE_TIMEOUT_MIN + 1);
  assert_int_equal (load->waiting, 0);
  assert_int_equal (count_flows (director), 1);
  gbd_director_tick (director, START + GBD_FLOW_TRACKER_IDLE_TIMEOUT_DEFAULT);
  assert_int_equal (count_flows (director), 1);
  gbd_director_tick (director,
                     START + GBD_FLOW_TRACKER_IDLE_TIMEOUT_DEFAULT + 1);
  assert_int_equal (count_flows (director), 0);
  gbd_director_delete (director);
}

/* The configuration states another idle time-out. */
static void
idle_timeout_of_the_configuration_applies (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_routes_t *routes = make_routes (2, "web");
  gbd_routes_set_idle_timeout (routes, 15 * GBD_SECOND);
  assert_int_equal (gbd_director_set_routes (director, routes), GBD_OK);
  open_flow (director, 1, START);
  gbd_director_tick (director, START + 15 * GBD_SECOND);
  assert_int_equal (count_flows (director), 1);
  gbd_director_tick (director, START + 15 * GBD_SECOND + 11 * MS);
  assert_int_equal (count_flows (director), 0);
  gbd_director_delete (director);
}

/* Requests take 0.5 s, as on a deployment with much work for each: a flow
   still waits when others of it would have been given up. */
static void
waiting_follows_the_response_times (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_time_t now = START;
  for (uint16_t port = 1; port <= GBD_RESPONSE_TIME_SAMPLES_MIN; port++)
    {
      gbd_director_decision_t opening = open_flow (director, port, START);
      gbd_packet_t packet = make_data (&opening, port);
      route_packet (director, &packet, START + 20 * MS);
      now = START + 520 * MS;
      packet.acknowledgment += 1000;
      packet.payload_length = 0;
      route_packet (director, &packet, now);
    }
  gbd_director_decision_t opening = open_flow (director, 9, now);
  const gbd_pool_load_t *load = get_load (director, opening.server);
  gbd_packet_t packet = make_data (&opening, 9);
  route_packet (director, &packet, now);
  gbd_director_tick (director,
                     now + GBD_FLOW_TRACKER_RESPONSE_TIMEOUT_MIN + 1);
  assert_int_equal (load->waiting, 1);
  gbd_director_delete (director);
}

/* More flows than the table has entries. */
static void
eviction_keeps_load_counters_consistent (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  for (uint16_t port = 1; port <= 5 * FLOWS; port++)
    open_flow (director, port, START + port * MS);
  gbd_director_stats_t stats;
  gbd_director_get_stats (director, &stats);
  assert_true (stats.tracked_flows <= FLOWS);
  uint32_t open = 0;
  for (gbd_pool_handle_t handle = 0; handle < 5; handle++)
    open += get_load (director, handle)->open;
  assert_int_equal (open, stats.tracked_flows);
  gbd_director_tick (director, START + (5 * FLOWS + 11) * MS
                                   + GBD_FLOW_TRACKER_IDLE_TIMEOUT_DEFAULT);
  for (gbd_pool_handle_t handle = 0; handle < 5; handle++)
    assert_int_equal (get_load (director, handle)->open
                          + get_load (director, handle)->waiting,
                      0);
  gbd_director_delete (director);
}

/* A caller opens a flow again while its earlier one is tracked as open, and
   another server is chosen.  Guards against an open flow that stays counted at
   the first server, and is missing at another one. */
static void
reopened_flow_is_no_longer_open_at_its_first_server (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_director_decision_t first = open_flow (director, 1, START);
  gbd_pool_get (gbd_director_get_pool (director), first.server)->load.waiting
      = 20;
  assert_int_equal (get_load (director, first.server)->open, 1);
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  packet.sequence = 50000;
  gbd_director_decision_t second
      = route_packet (director, &packet, START + GBD_SECOND);
  assert_int_not_equal (second.server, first.server);
  assert_int_equal (get_load (director, first.server)->open, 0);
  gbd_director_delete (director);
}

/* A server accepts flows and resets them before it responds: the callers of
   requests that must not run twice send nothing further, and no packet shows
   the failure.  Without this evidence such a server gets the next one too. */
static void
request_without_response_breaks_the_record (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_director_decision_t opening = open_flow (director, 1, START);
  const gbd_suspicion_t *suspicion
      = &get_load (director, opening.server)->suspicion;
  gbd_packet_t packet = make_data (&opening, 1);
  gbd_time_t sent_at = START + GBD_SECOND;
  route_packet (director, &packet, sent_at);
  gbd_time_t end = sent_at + GBD_FLOW_TRACKER_RESPONSE_TIMEOUT_MIN;
  for (gbd_time_t now = sent_at; now <= end; now += 100 * MS)
    gbd_director_tick (director, now);
  assert_false (
      gbd_suspicion_has_failed (suspicion, GBD_PLACEMENT_RECORD_TIME, end));
  gbd_director_tick (director, end + 100 * MS);
  assert_true (gbd_suspicion_has_failed (suspicion, GBD_PLACEMENT_RECORD_TIME,
                                         end + 100 * MS));
  assert_false (gbd_suspicion_is_suspected (suspicion));
  gbd_director_delete (director);
}

/* A caller opens a flow before it has a request.  Guards against a server
   whose record breaks because nobody asked for a response. */
static void
flow_without_request_does_not_break_the_record (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_director_decision_t opening = open_flow (director, 1, START);
  gbd_time_t end = START + 2 * GBD_FLOW_TRACKER_RESPONSE_TIMEOUT_MIN;
  for (gbd_time_t now = START; now <= end; now += 100 * MS)
    {
      gbd_director_tick (director, now);
      assert_false (gbd_suspicion_has_failed (
          &get_load (director, opening.server)->suspicion,
          GBD_PLACEMENT_RECORD_TIME, now));
    }
  assert_int_equal (get_load (director, opening.server)->waiting, 0);
  gbd_director_delete (director);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (flow_is_waiting_from_opening_to_response),
    cmocka_unit_test (retransmitted_data_raises_suspicion),
    cmocka_unit_test (early_retransmission_is_ignored),
    cmocka_unit_test (idle_flow_stops_waiting_and_is_removed),
    cmocka_unit_test (idle_timeout_of_the_configuration_applies),
    cmocka_unit_test (waiting_follows_the_response_times),
    cmocka_unit_test (request_without_response_breaks_the_record),
    cmocka_unit_test (flow_without_request_does_not_break_the_record),
    cmocka_unit_test (eviction_keeps_load_counters_consistent),
    cmocka_unit_test (reopened_flow_is_no_longer_open_at_its_first_server),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
