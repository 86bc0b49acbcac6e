/* Admission by the director: callers, instances and backend servers exchange
   packets. */
#include "director_fixture.h"

#define MS GBD_MILLISECOND
#define COMMANDS 443 /* ports of the two routes */
#define STREAMS 444
#define FULL_BYTES 124
#define NORMAL_BYTES 1200

/* A director with two routes of one service, which has one server per
   zone-local slot pair. */
static gbd_director_t *
make_overloaded_director (uint32_t stream_priority)
{
  gbd_director_t *director = make_ready_director ();
  gbd_routes_t *routes = gbd_routes_new (2);
  gbd_route_t route = { .address = parse_address ("198.18.0.1:443"),
                        .priority = 1,
                        .target_count = 1,
                        .targets = { { gbd_id_from_name ("web"), 1 } } };
  assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
  route.address.port = STREAMS;
  route.priority = stream_priority;
  assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
  assert_int_equal (gbd_director_set_routes (director, routes), GBD_OK);
  return director;
}

static gbd_packet_t
make_opening (uint32_t caller, uint16_t caller_port, uint16_t port)
{
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, caller_port);
  memcpy (packet.flow.caller.ip, &caller, sizeof caller);
  packet.flow.service.port = port;
  return packet;
}

/* Runs one flow with one request, if it is admitted. */
static gbd_director_decision_t
run_flow (gbd_director_t *director, uint32_t caller, uint16_t port,
          uint32_t bytes, gbd_time_t now)
{
  gbd_packet_t packet = make_opening (caller, 1000, port);
  gbd_director_decision_t opening = route_packet (director, &packet, now);
  if (opening.kind != GBD_ACTION_BACKEND)
    return opening;
  packet.kind = GBD_PACKET_ESTABLISHED;
  packet.cookie = opening.cookie;
  packet.sequence = 7001;
  packet.acknowledgment = 90001;
  packet.payload_length = 100;
  route_packet (director, &packet, now + 2 * MS);
  packet.sequence = 7101;
  packet.acknowledgment += bytes;
  packet.payload_length = 0;
  route_packet (director, &packet, now + 30 * MS);
  packet.kind = GBD_PACKET_CLOSING;
  route_packet (director, &packet, now + 31 * MS);
  return opening;
}

typedef struct
{
  uint32_t caller;
  uint32_t commands_turned_away;
  uint32_t streams_turned_away;
  gbd_time_t now;
} traffic_t;

/* Runs 100 flows a second: one command for three streams.
   @param n every n-th request meets a full server; 0: none */
static void
run_traffic (gbd_director_t *director, traffic_t *traffic, uint32_t n,
             gbd_time_t duration)
{
  gbd_time_t end = traffic->now + duration;
  while (traffic->now < end)
    {
      uint32_t caller = ++traffic->caller;
      bool is_command = caller % 4 == 0;
      bool is_full = n && caller / 4 % n == 0;
      gbd_director_decision_t decision
          = run_flow (director, caller, is_command ? COMMANDS : STREAMS,
                      is_full ? FULL_BYTES : NORMAL_BYTES, traffic->now);
      if (decision.rule == GBD_DIRECTOR_RULE_NO_ROOM)
        {
          assert_int_equal (decision.kind, GBD_ACTION_RESET);
          assert_int_equal (decision.server, GBD_POOL_NONE);
          *(is_command ? &traffic->commands_turned_away
                       : &traffic->streams_turned_away)
              += 1;
        }
      traffic->now += 10 * MS;
      gbd_director_tick (director, traffic->now);
    }
}

/* Guards against urgent flows that are turned away, and against resets before
   and after the shortage. */
static void
less_urgent_flows_are_turned_away_while_servers_are_full (void **state)
{
  (void)state;
  gbd_director_t *director = make_overloaded_director (2);
  traffic_t traffic = { .now = START };
  run_traffic (director, &traffic, 0, 2 * GBD_SECOND);
  assert_int_equal (traffic.streams_turned_away, 0);
  run_traffic (director, &traffic, 5, 2 * GBD_SECOND);
  assert_true (traffic.streams_turned_away > 10);
  assert_int_equal (traffic.commands_turned_away, 0);

  gbd_director_stats_t stats;
  gbd_director_get_stats (director, &stats);
  assert_int_equal (stats.rules[GBD_DIRECTOR_RULE_NO_ROOM],
                    traffic.streams_turned_away);
  gbd_admission_count_t counts[GBD_ADMISSION_PRIORITIES_MAX];
  assert_int_equal (gbd_admission_get_counts (
                        gbd_director_peek_admission (director), counts),
                    1);
  assert_int_equal (counts[0].priority, 2);
  assert_int_equal (counts[0].turned_away, traffic.streams_turned_away);

  run_traffic (director, &traffic, 0, 4 * GBD_SECOND);
  uint32_t before = traffic.streams_turned_away;
  run_traffic (director, &traffic, 0, 2 * GBD_SECOND);
  assert_int_equal (traffic.streams_turned_away, before);
  gbd_director_delete (director);
}

/* Without a difference between the routes nothing is reset, and the same
   servers are chosen as by a director that sees no full server. */
static void
equal_routes_are_placed_as_before (void **state)
{
  (void)state;
  gbd_director_t *director = make_overloaded_director (1);
  gbd_director_t *other = make_overloaded_director (1);
  for (uint32_t caller = 1; caller <= 600; caller++)
    {
      gbd_time_t now = START + (gbd_time_t)caller * 10 * MS;
      gbd_director_decision_t decision
          = run_flow (director, caller, caller % 4 ? STREAMS : COMMANDS,
                      caller % 3 ? NORMAL_BYTES : FULL_BYTES, now);
      gbd_director_decision_t expected = run_flow (
          other, caller, caller % 4 ? STREAMS : COMMANDS, NORMAL_BYTES, now);
      assert_int_equal (decision.kind, GBD_ACTION_BACKEND);
      assert_int_equal (decision.server, expected.server);
      gbd_director_tick (director, now);
      gbd_director_tick (other, now);
    }
  gbd_director_delete (director);
  gbd_director_delete (other);
}

/* A copy of an opening packet may belong to a flow that is opening, as may a
   duplicate of one that was forwarded.  Guards against a reset of either. */
static void
copies_and_duplicates_are_never_turned_away (void **state)
{
  (void)state;
  gbd_director_t *director = make_overloaded_director (2);
  traffic_t traffic = { .now = START };
  run_traffic (director, &traffic, 0, GBD_SECOND);
  run_traffic (director, &traffic, 2, 4 * GBD_SECOND);
  uint32_t turned_away = 0;
  uint32_t admitted = 0;
  for (uint32_t i = 0; i < 200; i++)
    {
      uint32_t caller = 100000 + i;
      gbd_packet_t packet = make_opening (caller, 2000, STREAMS);
      gbd_director_decision_t first
          = route_packet (director, &packet, traffic.now);
      gbd_director_decision_t again;
      gbd_director_route (director, &packet, traffic.now + MS, &again);
      if (first.kind == GBD_ACTION_BACKEND)
        {
          admitted++;
          assert_int_equal (again.rule, GBD_DIRECTOR_RULE_SAME);
          assert_int_equal (again.server, first.server);
        }
      else
        turned_away++;
      packet.acknowledgment = 1;
      gbd_director_route (director, &packet, traffic.now + 200 * MS, &again);
      assert_int_equal (again.kind, GBD_ACTION_BACKEND);
    }
  assert_true (turned_away > 100);
  assert_true (admitted > 0);
  gbd_director_delete (director);
}

/* A flow that is open must not be reset by a late duplicate of its opening
   packet. */
static void
duplicate_on_an_open_flow_is_not_reset (void **state)
{
  (void)state;
  gbd_director_t *director = make_overloaded_director (2);
  traffic_t traffic = { .now = START };
  run_traffic (director, &traffic, 0, GBD_SECOND);
  for (uint32_t i = 0; i < 100; i++)
    {
      gbd_packet_t packet = make_opening (200000 + i, 2000, STREAMS);
      gbd_director_decision_t opening
          = route_packet (director, &packet, traffic.now);
      packet.kind = GBD_PACKET_ESTABLISHED;
      packet.cookie = opening.cookie;
      packet.acknowledgment = 1;
      route_packet (director, &packet, traffic.now + 2 * MS);
    }
  run_traffic (director, &traffic, 2, 4 * GBD_SECOND);
  for (uint32_t i = 0; i < 100; i++)
    {
      gbd_packet_t packet = make_opening (200000 + i, 2000, STREAMS);
      gbd_director_decision_t decision;
      gbd_director_route (director, &packet, traffic.now, &decision);
      assert_int_not_equal (decision.kind, GBD_ACTION_RESET);
    }
  gbd_director_delete (director);
}

/* Guards against the reset of a flow that is open: an opening packet waited in
   the socket of a paused instance while its copy opened the flow elsewhere. */
static void
opening_packets_from_before_a_pause_are_not_reset (void **state)
{
  (void)state;
  gbd_director_t *director = make_overloaded_director (2);
  traffic_t traffic = { .now = START };
  run_traffic (director, &traffic, 0, GBD_SECOND);
  run_traffic (director, &traffic, 2, 4 * GBD_SECOND);
  gbd_time_t resumed_at = traffic.now + 850 * MS;
  uint32_t dropped = 0;
  for (uint32_t i = 0; i < 200; i++)
    {
      /* The first half is read before the late tick. */
      if (i == 100)
        gbd_director_tick (director, resumed_at);
      gbd_packet_t packet = make_opening (200000 + i, 2000, STREAMS);
      gbd_director_decision_t decision
          = route_packet (director, &packet, resumed_at + i * MS / 2);
      assert_true (decision.kind != GBD_ACTION_RESET);
      dropped += decision.rule == GBD_DIRECTOR_RULE_NO_ROOM;
    }
  assert_true (dropped > 100);
  gbd_director_delete (director);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        less_urgent_flows_are_turned_away_while_servers_are_full),
    cmocka_unit_test (equal_routes_are_placed_as_before),
    cmocka_unit_test (copies_and_duplicates_are_never_turned_away),
    cmocka_unit_test (opening_packets_from_before_a_pause_are_not_reset),
    cmocka_unit_test (duplicate_on_an_open_flow_is_not_reset),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
