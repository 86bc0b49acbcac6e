#include "test_libgooseberrydrum/director_fixture.h"

#include <syslog.h>
#include <unistd.h>

#include "gooseberrydrum/cookie_serve.h"

#define MS GBD_MILLISECOND
#define READ_BYTES 65536
#define FULL_BYTES 124
#define NORMAL_BYTES 1200

static gbd_time_t now;

static gbd_time_t
read_clock (void *data)
{
  (void)data;
  return now;
}

/* Installs two routes of one service with the priorities 1 and 2, and one of
   another service whose address comes first. */
static void
install_routes (gbd_director_t *director, uint64_t version, bool has_first)
{
  gbd_routes_t *routes = gbd_routes_new (version);
  gbd_route_t first = { .address = parse_address ("198.18.0.0:443"),
                        .target_count = 1,
                        .targets = { { gbd_id_from_name ("mail"), 1 } } };
  if (has_first)
    assert_int_equal (gbd_routes_add (routes, &first), GBD_OK);
  gbd_route_t route = { .address = parse_address ("198.18.0.1:443"),
                        .priority = 1,
                        .target_count = 1,
                        .targets = { { gbd_id_from_name ("web"), 1 } } };
  assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
  route.address.port++;
  route.priority++;
  assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
  assert_int_equal (gbd_routes_set_service_name (routes, "web"), GBD_OK);
  assert_int_equal (gbd_director_set_routes (director, routes), GBD_OK);
}

static gbd_director_t *
make_prioritized_director (void)
{
  gbd_director_t *director = make_ready_director ();
  install_routes (director, 2, false);
  return director;
}

/* Runs 100 flows a second over both routes.
   @param n every n-th meets a full server; 0: none */
static void
run_flows (gbd_cookie_serve_t *serve, uint32_t n, gbd_time_t duration)
{
  static uint32_t caller;
  for (gbd_time_t end = now + duration; now < end; now += 10 * MS)
    {
      gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1000);
      caller++;
      memcpy (packet.flow.caller.ip, &caller, sizeof caller);
      packet.flow.service.port += caller % 2;
      gbd_director_decision_t opening
          = route_packet (serve->director, &packet, now);
      if (opening.kind == GBD_ACTION_BACKEND)
        {
          packet.kind = GBD_PACKET_ESTABLISHED;
          packet.cookie = opening.cookie;
          packet.acknowledgment = 90001;
          packet.payload_length = 100;
          packet.sequence = 7001;
          route_packet (serve->director, &packet, now + MS);
          packet.payload_length = 0;
          packet.sequence = 7101;
          packet.acknowledgment
              += n && caller % n == 0 ? FULL_BYTES : NORMAL_BYTES;
          route_packet (serve->director, &packet, now + 5 * MS);
        }
      gbd_director_tick (serve->director, now);
      gbd_cookie_room_tick (&serve->room, serve->director, serve->event_log,
                            now);
    }
}

/* On-call engineers see a shortage in the log, the status, the metrics and in
   explain; the log has one line for its start and one for its end. */
static void
shortage_is_reported (void **state)
{
  (void)state;
  int ends[2];
  static char text[READ_BYTES];
  assert_int_equal (pipe (ends), 0);
  now = START;
  gbd_cookie_serve_t serve
      = { .director = make_prioritized_director (),
          .event_log = gbd_event_log_new (ends[1], "entry-1", LOG_INFO, now),
          .clock = read_clock };
  run_flows (&serve, 0, GBD_SECOND);
  run_flows (&serve, 5, 3 * GBD_SECOND);

  json_t *services = gbd_cookie_room_describe (serve.director, now);
  assert_int_equal (json_array_size (services), 1);
  const json_t *service = json_array_get (services, 0);
  assert_string_equal (
      json_string_value (json_object_get (service, "service")), "web");
  assert_true (json_is_true (json_object_get (service, "short")));
  assert_true (
      json_integer_value (json_object_get (service, "short_responses")) > 0);
  const json_t *classes = json_object_get (service, "classes");
  assert_int_equal (json_array_size (classes), 2);
  const json_t *last = json_array_get (classes, 1);
  json_int_t turned_away
      = json_integer_value (json_object_get (last, "turned_away"));
  assert_true (turned_away > 0);
  assert_true (json_integer_value (json_object_get (last, "admitted_percent"))
               < 50);
  json_decref (services);

  gbd_counters_t *counters = gbd_counters_new ();
  gbd_cookie_room_add_counters (counters, serve.director, now);
  char *metrics = gbd_counters_format (counters);
  char expected[READ_BYTES];
  snprintf (expected, sizeof expected,
            "gooseberrydrum_turned_away_total{priority=\"2\"} %lld\n",
            (long long)turned_away);
  assert_non_null (strstr (metrics, expected));
  assert_non_null (
      strstr (metrics, "gooseberrydrum_room_short{service=\"web\"} 1\n"));
  free (metrics);
  gbd_counters_delete (counters);

  /* Some of these new callers are turned away. */
  bool has_rule = false;
  for (uint16_t port = 1; port < 50; port++)
    {
      gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, port);
      packet.flow.service.port++;
      json_t *explanation
          = gbd_cookie_admin_callbacks.explain (&serve, &packet.flow);
      const char *rule
          = json_string_value (json_object_get (explanation, "rule"));
      assert_int_equal (
          json_integer_value (json_object_get (explanation, "priority")), 2);
      has_rule = has_rule || strcmp (rule, "no_room") == 0;
      json_decref (explanation);
    }
  assert_true (has_rule);

  /* A new configuration changes the order of the services. */
  install_routes (serve.director, 3, true);
  run_flows (&serve, 0, 6 * GBD_SECOND);
  gbd_event_log_flush (serve.event_log);
  assert_true (read (ends[0], text, sizeof text - 1) > 0);
  char *end = NULL;
  json_t *begun = json_loads (strtok_r (text, "\n", &end), 0, NULL);
  json_t *ended = json_loads (strtok_r (NULL, "\n", &end), 0, NULL);
  assert_null (strtok_r (NULL, "\n", &end));
  assert_int_equal (json_integer_value (json_object_get (begun, "event")),
                    GBD_EVENT_ROOM_SHORT);
  assert_int_equal (json_integer_value (json_object_get (ended, "event")),
                    GBD_EVENT_ROOM_FOUND);
  assert_true (json_integer_value (json_object_get (ended, "short_ms"))
               >= 5000);
  last = json_array_get (json_object_get (ended, "classes"), 1);
  assert_true (
      json_integer_value (json_object_get (last, "least_admitted_percent"))
      < 50);
  json_decref (begun);
  json_decref (ended);
  gbd_event_log_delete (serve.event_log);
  gbd_director_delete (serve.director);
  close (ends[0]);
  close (ends[1]);
}

/* Where the configuration calls for nothing, no field and no event appears. */
static void
nothing_is_reported_while_there_is_room (void **state)
{
  (void)state;
  int ends[2];
  assert_int_equal (pipe (ends), 0);
  now = START;
  gbd_cookie_serve_t serve
      = { .director = make_prioritized_director (),
          .event_log = gbd_event_log_new (ends[1], "entry-1", LOG_INFO, now),
          .clock = read_clock };
  run_flows (&serve, 0, 5 * GBD_SECOND);
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  json_t *explanation
      = gbd_cookie_admin_callbacks.explain (&serve, &packet.flow);
  assert_null (json_object_get (explanation, "admitted_percent"));
  json_decref (explanation);
  gbd_event_log_delete (serve.event_log);
  close (ends[1]);
  char byte;
  assert_int_equal (read (ends[0], &byte, 1), 0);
  gbd_director_delete (serve.director);
  close (ends[0]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (shortage_is_reported),
    cmocka_unit_test (nothing_is_reported_while_there_is_room),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
