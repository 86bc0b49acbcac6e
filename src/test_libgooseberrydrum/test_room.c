#include <time.h>

#include "director_fixture.h"

#define MS GBD_MILLISECOND
#define FULL_BYTES 124   /* response of a full server */
#define NORMAL_BYTES 700 /* shortest successful response */

static gbd_service_id_t
web (void)
{
  return gbd_id_from_name ("web");
}

/* A room with one route of one service. */
static gbd_room_t *
make_room (void)
{
  gbd_room_t *room = gbd_room_new ();
  gbd_routes_t *routes = make_routes (1, "web");
  assert_non_null (room);
  gbd_room_set_routes (room, routes);
  gbd_routes_delete (routes);
  return room;
}

static gbd_room_route_t
find_route (const gbd_room_t *room)
{
  gbd_address_t address = parse_address ("198.18.0.1:443");
  return gbd_room_find_route (room, &address, web ());
}

/* Records responses at equal distances over a second; every n-th is short.
   Requests wait for three times their work if there are short responses.
   @return the end of this second */
static gbd_time_t
record_second (gbd_room_t *room, uint32_t count, uint32_t n, gbd_time_t now)
{
  for (uint32_t i = 0; i < count; i++)
    gbd_room_record_response (room, find_route (room),
                              n && i % n == n - 1 ? FULL_BYTES : NORMAL_BYTES,
                              (n ? 100 : 25) * MS,
                              now + GBD_SECOND * i / count);
  return now + GBD_SECOND;
}

typedef struct
{
  const char *label;
  uint32_t count; /* responses in a second */
  uint32_t n;     /* every n-th is short */
  bool is_short;
} share_case_t;

static const share_case_t share_cases[] = {
  { "no short response", 100, 0, false },
  { "1 %", 200, 100, false },
  { "2 %", 200, 50, true },
  { "one short response is no evidence", 10, 10, false },
  { "half of them", 10, 2, true },
};

/* Guards against a shortage that is seen too early or too late. */
static void
shortage_begins_at_two_percent (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof share_cases / sizeof share_cases[0]; i++)
    {
      const share_case_t *row = &share_cases[i];
      print_message ("%s\n", row->label);
      gbd_room_t *room = make_room ();
      gbd_time_t now = record_second (room, 50, 0, START);
      now = record_second (room, row->count, row->n, now + GBD_SECOND);
      assert_int_equal (gbd_room_is_short (room, web (), now), row->is_short);
      assert_false (gbd_room_is_short (room, gbd_id_from_name ("mail"), now));
      gbd_room_delete (room);
    }
}

/* A route has naturally short responses now and then.  Guards against a
   shortage at a calm service, and against one that goes on after an
   overload. */
static void
natural_short_responses_are_no_shortage (void **state)
{
  (void)state;
  gbd_room_t *room = make_room ();
  gbd_time_t now = record_second (room, 100, 0, START);
  uint64_t seed = 1;
  for (int phase = 0; phase < 2; phase++)
    {
      /* 30 responses a second for two minutes, 4 % of them short. */
      for (int i = 0; i < 3600; i++)
        {
          now += GBD_SECOND / 30;
          seed = gbd_rendezvous_weight (seed, 1);
          gbd_room_record_response (room, find_route (room),
                                    seed % 25 == 0 ? FULL_BYTES : NORMAL_BYTES,
                                    (25 + (gbd_time_t)(seed >> 8) % 6) * MS,
                                    now);
          if (phase == 0 || i > 150)
            assert_false (gbd_room_is_short (room, web (), now));
        }
      now = record_second (room, 100, 10, now);
      assert_true (gbd_room_is_short (room, web (), now));
    }
  gbd_room_delete (room);
}

/* Guards against a shortage that ends between two bursts, and against one
   that never ends. */
static void
shortage_ends_three_seconds_after_its_last_evidence (void **state)
{
  (void)state;
  gbd_room_t *room = make_room ();
  gbd_time_t now = record_second (room, 100, 10, START);
  now = record_second (room, 100, 0, now);
  assert_true (gbd_room_is_short (room, web (), now));
  now = record_second (room, 100, 0, now);
  assert_true (gbd_room_is_short (room, web (), now));
  /* A lower share is enough to stay short. */
  now = record_second (room, 100, 80, now);
  now = record_second (room, 100, 0, now);
  now = record_second (room, 100, 0, now);
  assert_true (gbd_room_is_short (room, web (), now));
  now = record_second (room, 100, 0, now);
  assert_false (gbd_room_is_short (room, web (), now));
  gbd_room_delete (room);
}

/* Guards against servers that are divided among the instances for three
   seconds at a time while demand stays high, and against a service that counts
   as short without any evidence. */
static void
placement_remembers_a_shortage (void **state)
{
  (void)state;
  gbd_room_t *room = make_room ();
  assert_false (gbd_room_was_short (room, web (), START));
  gbd_time_t now = record_second (room, 100, 0, START);
  assert_false (gbd_room_was_short (room, web (), now));
  now = record_second (room, 100, 10, now);
  assert_true (gbd_room_was_short (room, web (), now));
  gbd_time_t end = now + GBD_ROOM_HOLD_TIME + GBD_ROOM_SPREAD_TIME;
  assert_true (gbd_room_was_short (room, web (), end - 2 * GBD_SECOND));
  assert_false (gbd_room_is_short (room, web (), end - 2 * GBD_SECOND));
  assert_false (gbd_room_was_short (room, web (), end));
  gbd_room_delete (room);
}

/* Guards against an instance that starts in an overload and takes the
   responses of full servers for the usual ones, and against a usual size that
   falls when nine of ten responses are short for a minute. */
static void
usual_size_holds_in_an_overload (void **state)
{
  (void)state;
  gbd_room_t *room = make_room ();
  gbd_time_t now = START;
  for (int i = 0; i < 20; i++)
    gbd_room_record_response (room, find_route (room), FULL_BYTES - 3, 60 * MS,
                              now);
  assert_false (gbd_room_is_short (room, web (), now));
  gbd_room_record_response (room, find_route (room), NORMAL_BYTES, 160 * MS,
                            now);
  for (int i = 0; i < 6000; i++)
    {
      now += 10 * MS;
      bool is_full = i % 10 != 0;
      assert_int_equal (gbd_room_record_response (
                            room, find_route (room),
                            is_full ? FULL_BYTES + 2 : NORMAL_BYTES + i % 1700,
                            100 * MS, now),
                        is_full);
    }
  assert_true (gbd_room_is_short (room, web (), now));
  gbd_room_delete (room);
}

/* An acknowledgment of many packets must not make the usual size so large that
   a response of 700 bytes counts as short. */
static void
usual_size_is_limited_to_two_packets (void **state)
{
  (void)state;
  gbd_room_t *room = make_room ();
  for (int i = 0; i < 50; i++)
    gbd_room_record_response (room, find_route (room), 60000, 25 * MS, START);
  assert_int_equal (gbd_room_get_usual_bytes (room, find_route (room)),
                    GBD_ROOM_RESPONSE_BYTES_MAX);
  assert_false (gbd_room_record_response (room, find_route (room),
                                          NORMAL_BYTES, 25 * MS, START));
  gbd_room_delete (room);
}

/* Guards against a permanent shortage after the responses of a route have
   become shorter. */
static void
usual_size_adapts_to_shorter_responses (void **state)
{
  (void)state;
  gbd_room_t *room = make_room ();
  gbd_time_t now = record_second (room, 50, 0, START);
  for (int i = 0; i < 11; i++)
    now = record_second (room, 50, 1, now);
  assert_true (gbd_room_is_short (room, web (), now));
  for (int i = 0; i < 4; i++)
    now = record_second (room, 50, 1, now);
  assert_false (gbd_room_is_short (room, web (), now));
  gbd_room_delete (room);
}

/* A newer configuration must not lose the evidence of routes that stay, and
   must not mix up routes. */
static void
evidence_survives_a_new_configuration (void **state)
{
  (void)state;
  gbd_room_t *room = make_room ();
  gbd_time_t now = record_second (room, 100, 10, START);
  gbd_room_route_t route = find_route (room);
  gbd_routes_t *routes = make_routes (2, "web");
  gbd_route_t other
      = { .address = parse_address ("198.18.0.0:443"),
          .target_count = 2,
          .targets = { { web (), 1 }, { gbd_id_from_name ("mail"), 1 } } };
  assert_int_equal (gbd_routes_add (routes, &other), GBD_OK);
  gbd_room_set_routes (room, routes);
  gbd_routes_delete (routes);
  assert_int_equal (find_route (room), route);
  assert_true (gbd_room_is_short (room, web (), now));
  assert_int_equal (gbd_room_get_service_count (room), 2);
  gbd_room_route_t mail
      = gbd_room_find_route (room, &other.address, gbd_id_from_name ("mail"));
  assert_int_not_equal (mail, GBD_ROOM_ROUTE_NONE);
  assert_int_equal (gbd_room_get_usual_bytes (room, mail), 0);

  /* The route is removed: its open flows give no evidence. */
  routes = make_routes (3, "mail");
  gbd_room_set_routes (room, routes);
  gbd_routes_delete (routes);
  assert_int_equal (find_route (room), GBD_ROOM_ROUTE_NONE);
  assert_false (gbd_room_record_response (room, route, 1, MS, now));
  gbd_room_delete (room);
}

#define MANY_ROUTES 2000

/* Routes at the ports from first_port on, two services and eight classes. */
static gbd_routes_t *
make_many_routes (uint32_t first_port, uint32_t count)
{
  gbd_routes_t *routes = gbd_routes_new (1);
  gbd_route_t route
      = { .address = parse_address ("198.18.0.1:443"), .target_count = 1 };
  for (uint32_t i = 0; i < count; i++)
    {
      route.address.port = (uint16_t)(first_port + i);
      route.priority = i % 4;
      route.targets[0] = (gbd_route_target_t){ i % 2 ? web () : 1, 1 };
      assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
    }
  return routes;
}

static gbd_room_route_t
find_port (const gbd_room_t *room, uint32_t port)
{
  gbd_address_t address = parse_address ("198.18.0.1:443");
  address.port = (uint16_t)port;
  gbd_room_route_t route = gbd_room_find_route (room, &address, web ());
  return route != GBD_ROOM_ROUTE_NONE
             ? route
             : gbd_room_find_route (room, &address, 1);
}

/* Guards against routes that get no entry: of 2,000 routes only the last one
   has traffic, at a new instance. */
static void
last_of_many_routes_gives_evidence (void **state)
{
  (void)state;
  gbd_room_t *room = NULL;
  gbd_routes_t *routes = make_many_routes (1, MANY_ROUTES);
  /* The least of some runs, as other processes may interrupt one. */
  gbd_time_t least = INT64_MAX;
  for (int i = 0; i < 5; i++)
    {
      gbd_room_delete (room);
      room = gbd_room_new ();
      clock_t start = clock ();
      gbd_room_set_routes (room, routes);
      gbd_time_t time = (clock () - start) * GBD_SECOND / CLOCKS_PER_SEC;
      least = time < least ? time : least;
    }
  print_message ("%d routes set in %lld us\n", MANY_ROUTES, (long long)least);
  assert_true (least < 2 * GBD_MILLISECOND);
  gbd_room_route_t route = find_port (room, MANY_ROUTES);
  assert_int_not_equal (route, GBD_ROOM_ROUTE_NONE);
  gbd_time_t now = START;
  for (uint32_t i = 0; i < 100; i++)
    gbd_room_record_response (room, route,
                              i > 50 && i % 4 == 0 ? FULL_BYTES : NORMAL_BYTES,
                              (i > 50 ? 100 : 25) * MS, now += 10 * MS);
  assert_true (gbd_room_is_short (room, web (), now));
  assert_int_equal (find_port (room, MANY_ROUTES + 1), GBD_ROOM_ROUTE_NONE);
  gbd_routes_delete (routes);
  gbd_room_delete (room);
}

/* Guards against open flows whose route's handle is given to another route,
   and against a table that grows with each change of the configuration. */
static void
handles_are_not_reused_at_once (void **state)
{
  (void)state;
  gbd_room_t *room = gbd_room_new ();
  for (uint32_t i = 0; i < 20; i++)
    {
      /* Three quarters of the routes stay. */
      uint32_t first = 1 + i * MANY_ROUTES / 4;
      uint32_t stay = MANY_ROUTES * 3 / 4;
      gbd_room_route_t before[MANY_ROUTES];
      for (uint32_t j = 0; j < MANY_ROUTES; j++)
        before[j] = find_port (room, first - MANY_ROUTES / 4 + j);
      gbd_routes_t *routes = make_many_routes (first, MANY_ROUTES);
      gbd_room_set_routes (room, routes);
      gbd_routes_delete (routes);
      for (uint32_t j = 0; j < MANY_ROUTES; j++)
        {
          gbd_room_route_t route = find_port (room, first + j);
          assert_true (gbd_room_is_configured (room, route));
          assert_true (route < MANY_ROUTES * 3 / 2);
          if (i > 0 && j < stay)
            assert_int_equal (route, before[j + MANY_ROUTES / 4]);
        }
      for (uint32_t j = 0; i > 0 && j < MANY_ROUTES / 4; j++)
        assert_false (gbd_room_is_configured (room, before[j]));
    }
  gbd_room_delete (room);
}

/* Guards against a table that overflows with more services and classes than
   it holds. */
static void
too_many_services_are_left_out (void **state)
{
  (void)state;
  gbd_room_t *room = gbd_room_new ();
  gbd_routes_t *routes = gbd_routes_new (1);
  gbd_route_t route
      = { .address = parse_address ("198.18.0.1:443"), .target_count = 1 };
  for (uint32_t i = 0; i < 1024; i++)
    {
      route.address.port = (uint16_t)(i + 1);
      route.priority = i;
      route.targets[0] = (gbd_route_target_t){ 1 + i % 40, 1 };
      assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
    }
  gbd_room_set_routes (room, routes);
  assert_int_equal (gbd_room_get_service_count (room), GBD_ROOM_SERVICES_MAX);
  for (uint32_t i = 0; i < GBD_ROOM_SERVICES_MAX; i++)
    assert_int_equal (gbd_room_get_service (room, i)->class_count,
                      GBD_ROOM_CLASSES_MAX);
  /* 1023 % 40 is above the last of 32 services. */
  route.targets[0].service = 1 + 39;
  assert_int_equal (
      gbd_room_find_route (room, &route.address, route.targets[0].service),
      GBD_ROOM_ROUTE_NONE);
  gbd_routes_delete (routes);
  gbd_room_delete (room);
}

/* Completes a request on a flow opened by open_flow(). */
static void
complete_request (gbd_director_t *director, gbd_packet_t *packet,
                  uint32_t bytes, gbd_time_t now)
{
  route_packet (director, packet, now);
  packet->sequence += packet->payload_length;
  packet->acknowledgment += bytes;
  gbd_packet_t response = *packet;
  response.payload_length = 0;
  route_packet (director, &response, now + 5 * MS);
}

/* The flow tracker sees full servers on fresh and on long flows. */
static void
flow_tracker_reports_full_servers (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_time_t now = START;
  gbd_director_decision_t opening = open_flow (director, 1, now);
  gbd_packet_t packet = make_data (&opening, 1);
  for (int i = 0; i < 5; i++)
    complete_request (director, &packet, NORMAL_BYTES, now += 100 * MS);
  const gbd_room_t *room = gbd_director_peek_room (director);
  assert_false (gbd_room_is_short (room, web (), now));
  complete_request (director, &packet, FULL_BYTES, now += 100 * MS);
  opening = open_flow (director, 2, now);
  packet = make_data (&opening, 2);
  complete_request (director, &packet, FULL_BYTES, now += 100 * MS);
  assert_true (gbd_room_is_short (room, web (), now + 5 * MS));
  const gbd_room_service_t *service = gbd_room_get_service (room, 0);
  assert_int_equal (service->classes[0].responses, 7);
  assert_int_equal (service->classes[0].short_responses, 2);
  gbd_director_delete (director);
}

/* Requests of a flow pass through another instance for a time; the next
   acknowledgment that this instance sees covers all their responses.  Guards
   against this sum as the usual size, by which later responses are short. */
static void
returning_flow_gives_no_size (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_time_t now = START;
  gbd_director_decision_t opening = open_flow (director, 1, now);
  gbd_packet_t packet = make_data (&opening, 1);
  for (int i = 0; i < 3; i++)
    complete_request (director, &packet, 100, now += 100 * MS);
  const gbd_room_t *room = gbd_director_peek_room (director);
  assert_int_equal (gbd_room_get_usual_bytes (room, find_route (room)), 100);
  route_packet (director, &packet, now += 100 * MS);
  packet.sequence += 10 * packet.payload_length;
  packet.acknowledgment += 10 * 100;
  gbd_packet_t response = packet;
  response.payload_length = 0;
  route_packet (director, &response, now += 20 * MS);
  assert_int_equal (gbd_room_get_usual_bytes (room, find_route (room)), 100);
  for (int i = 0; i < 3; i++)
    complete_request (director, &packet, 100, now += 100 * MS);
  const gbd_room_service_t *service = gbd_room_get_service (room, 0);
  assert_int_equal (service->classes[0].responses, 6);
  assert_int_equal (service->classes[0].short_responses, 0);
  gbd_director_delete (director);
}

/* Installs a route of "web", at another address than that of the fixture's
   flows, or at theirs. */
static void
install_route (gbd_director_t *director, uint64_t version, const char *address)
{
  gbd_routes_t *routes = gbd_routes_new (version);
  gbd_route_t route = { .address = parse_address (address),
                        .target_count = 1,
                        .targets = { { web (), 1 } } };
  assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
  assert_int_equal (gbd_director_set_routes (director, routes), GBD_OK);
}

/* Guards against open flows of a former route that give evidence for the route
   that got its handle, and against flows that give none when their route is
   installed again. */
static void
flow_follows_its_route (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  const gbd_room_t *room = gbd_director_peek_room (director);
  gbd_room_route_t handle = find_route (room);
  gbd_time_t now = START;
  gbd_director_decision_t opening = open_flow (director, 1, now);
  gbd_packet_t packet = make_data (&opening, 1);
  install_route (director, 11, "198.18.0.2:443");
  assert_false (gbd_room_is_configured (room, handle));
  install_route (director, 12, "198.18.0.3:443");
  assert_true (gbd_room_is_configured (room, handle));
  complete_request (director, &packet, NORMAL_BYTES, now += 100 * MS);
  const gbd_room_service_t *service = gbd_room_get_service (room, 0);
  assert_int_equal (service->classes[0].responses, 0);
  install_route (director, 13, "198.18.0.1:443");
  complete_request (director, &packet, NORMAL_BYTES, now + 100 * MS);
  assert_int_equal (service->classes[0].responses, 1);
  gbd_director_delete (director);
}

/* Opens 20 flows that end after their opening packet, while the same servers
   respond to 30 others.  Ticks follow at the given distance. */
static gbd_director_t *
run_ended_flows (bool has_copies, gbd_time_t tick_time)
{
  gbd_director_t *director = make_ready_director ();
  for (uint16_t port = 1; port <= 20; port++)
    {
      gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, port);
      route_packet (director, &packet, START);
      packet.acknowledgment = 1;
      if (has_copies)
        route_packet (director, &packet, START + 200 * MS);
    }
  for (uint16_t port = 101; port <= 130; port++)
    open_flow (director, port, START + 220 * MS);
  for (gbd_time_t time = 0; time < 2 * GBD_SECOND; time += tick_time)
    gbd_director_tick (director, START + time);
  return director;
}

typedef struct
{
  const char *label;
  bool has_copies;
  gbd_time_t tick_time;
  uint32_t limited_flows;
} ended_case_t;

/* Servers at their connection limit reset flows, which end after the opening
   packet.  A server that is down must not look like it: callers then send a
   copy.  Nor must an instance that was paused and has packets to read. */
static const ended_case_t ended_cases[] = {
  { "reset by the server", false, 100 * MS, 20 },
  { "no response", true, 100 * MS, 0 },
  { "paused instance", false, 700 * MS, 0 },
};

static void
flows_reset_at_the_connection_limit_show_a_shortage (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof ended_cases / sizeof ended_cases[0]; i++)
    {
      const ended_case_t *row = &ended_cases[i];
      print_message ("%s\n", row->label);
      gbd_director_t *director
          = run_ended_flows (row->has_copies, row->tick_time);
      const gbd_room_t *room = gbd_director_peek_room (director);
      assert_false (gbd_room_is_short (room, web (), START + 10 * GBD_SECOND));
      assert_int_equal (
          gbd_room_is_short (room, web (), START + 2 * GBD_SECOND),
          row->limited_flows > 0);
      assert_int_equal (gbd_room_get_service (room, 0)->limited_flows,
                        row->limited_flows);
      gbd_director_delete (director);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (shortage_begins_at_two_percent),
    cmocka_unit_test (natural_short_responses_are_no_shortage),
    cmocka_unit_test (shortage_ends_three_seconds_after_its_last_evidence),
    cmocka_unit_test (placement_remembers_a_shortage),
    cmocka_unit_test (usual_size_holds_in_an_overload),
    cmocka_unit_test (usual_size_is_limited_to_two_packets),
    cmocka_unit_test (usual_size_adapts_to_shorter_responses),
    cmocka_unit_test (evidence_survives_a_new_configuration),
    cmocka_unit_test (last_of_many_routes_gives_evidence),
    cmocka_unit_test (handles_are_not_reused_at_once),
    cmocka_unit_test (too_many_services_are_left_out),
    cmocka_unit_test (flow_tracker_reports_full_servers),
    cmocka_unit_test (returning_flow_gives_no_size),
    cmocka_unit_test (flow_follows_its_route),
    cmocka_unit_test (flows_reset_at_the_connection_limit_show_a_shortage),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
