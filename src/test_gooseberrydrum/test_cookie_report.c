#include "test_libgooseberrydrum/director_fixture.h"

#include <fcntl.h>
#include <stdlib.h>
#include <syslog.h>
#include <unistd.h>

#include "gooseberrydrum/cookie_serve.h"

#define READ_BYTES 4096

/* Fields of the log event of a new flow that on-call engineers need. */
static const char *const expected_fields[]
    = { "flow",        "rule",   "version", "version_age_ms",
        "list_age_ms", "server", "waiting", "unanswered" };

static void
flow_event_contains_the_decision_inputs_and_their_ages (void **state)
{
  (void)state;
  int ends[2];
  char text[READ_BYTES] = "";
  assert_int_equal (pipe (ends), 0);
  gbd_cookie_serve_t serve
      = { .director = make_ready_director (),
          .event_log = gbd_event_log_new (ends[1], "entry-1", LOG_INFO, START),
          .routes_read_at = START - GBD_SECOND,
          .servers_confirmed_at = START - 2 * GBD_SECOND };
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 40001);
  gbd_director_decision_t decision
      = route_packet (serve.director, &packet, START);
  gbd_flow_observation_t observation = { .is_established = false };
  gbd_cookie_report_decision (&serve, &packet, &decision, &observation, START);
  gbd_event_log_flush (serve.event_log);
  assert_true (read (ends[0], text, sizeof text - 1) > 0);
  json_t *line = json_loads (text, 0, NULL);
  for (size_t i = 0; i < sizeof expected_fields / sizeof expected_fields[0];
       i++)
    {
      print_message ("%s\n", expected_fields[i]);
      assert_non_null (json_object_get (line, expected_fields[i]));
    }
  assert_string_equal (json_string_value (json_object_get (line, "flow")),
                       "100.64.0.7:40001-198.18.0.1:443");
  assert_int_equal (
      json_integer_value (json_object_get (line, "version_age_ms")), 1000);
  assert_int_equal (json_integer_value (json_object_get (line, "list_age_ms")),
                    2000);
  json_decref (line);
  gbd_event_log_delete (serve.event_log);
  gbd_director_delete (serve.director);
  close (ends[0]);
  close (ends[1]);
}

/* An instance that starts drops packets before anything has arrived. */
static void
state_that_never_arrived_has_no_age (void **state)
{
  (void)state;
  int ends[2];
  char text[READ_BYTES] = "";
  assert_int_equal (pipe (ends), 0);
  gbd_cookie_serve_t serve = { .director = make_director (),
                               .event_log = gbd_event_log_new (
                                   ends[1], "entry-1", LOG_INFO, START) };
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 40001);
  gbd_director_decision_t decision
      = route_packet (serve.director, &packet, START);
  gbd_flow_observation_t observation = { .is_established = false };
  gbd_cookie_report_decision (&serve, &packet, &decision, &observation, START);
  gbd_event_log_flush (serve.event_log);
  assert_true (read (ends[0], text, sizeof text - 1) > 0);
  json_t *line = json_loads (text, 0, NULL);
  assert_string_equal (json_string_value (json_object_get (line, "rule")),
                       "not_ready");
  assert_null (json_object_get (line, "version_age_ms"));
  assert_null (json_object_get (line, "list_age_ms"));
  json_decref (line);
  gbd_event_log_delete (serve.event_log);
  gbd_director_delete (serve.director);
  close (ends[0]);
  close (ends[1]);
}

static gbd_time_t
read_clock (void *data)
{
  (void)data;
  return START + GBD_SECOND;
}

static const char *
get_text (const json_t *object, const char *key)
{
  return json_string_value (json_object_get (object, key));
}

/* For a flow with a cookie, explain shows the destination of its next packet
   and the time since the last response. */
static void
explain_includes_a_flow_open_at_this_instance (void **state)
{
  (void)state;
  gbd_cookie_serve_t serve
      = { .director = make_ready_director (), .clock = read_clock };
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 40001);
  json_t *before = gbd_cookie_admin_callbacks.explain (&serve, &packet.flow);
  assert_null (json_object_get (before, "open_here"));
  json_decref (before);

  gbd_director_decision_t opening = open_flow (serve.director, 40001, START);
  json_t *explanation
      = gbd_cookie_admin_callbacks.explain (&serve, &packet.flow);
  json_t *open_flow_fields = json_object_get (explanation, "open_here");
  assert_non_null (open_flow_fields);
  assert_string_equal (get_text (open_flow_fields, "rule"), "cookie");
  assert_string_equal (get_text (open_flow_fields, "action"),
                       "backend server");
  const gbd_pool_server_t *server = gbd_pool_peek (
      gbd_director_peek_pool (serve.director), opening.server);
  assert_string_equal (get_text (open_flow_fields, "server"),
                       server->entry.name);
  assert_int_equal (json_integer_value (
                        json_object_get (open_flow_fields, "answered_ms_ago")),
                    990);
  json_decref (explanation);

  /* The backend server is removed and refuses connections. */
  gbd_pool_t *pool = gbd_director_get_pool (serve.director);
  gbd_time_t removed = START + 20 * GBD_MILLISECOND;
  gbd_pool_remove (pool, server->entry.backend.id, removed);
  gbd_suspicion_record_probe (
      &gbd_pool_get (pool, opening.server)->load.suspicion, GBD_PROBE_REFUSED,
      removed, removed);
  explanation = gbd_cookie_admin_callbacks.explain (&serve, &packet.flow);
  open_flow_fields = json_object_get (explanation, "open_here");
  assert_string_equal (get_text (open_flow_fields, "rule"), "server_gone");
  assert_string_equal (get_text (open_flow_fields, "action"), "reset");
  json_decref (explanation);
  gbd_director_delete (serve.director);
}

/* Reads the event lines that were written since the last call.
   @return the number of lines of an event */
static uint32_t
count_events (gbd_event_log_t *log, int fd, int event)
{
  char text[READ_BYTES] = "";
  char pattern[32];
  uint32_t count = 0;
  gbd_event_log_flush (log);
  if (read (fd, text, sizeof text - 1) <= 0)
    return 0;
  snprintf (pattern, sizeof pattern, "\"event\":%d,", event);
  for (const char *at = strstr (text, pattern); at;
       at = strstr (at + 1, pattern))
    count++;
  return count;
}

/* Guards against an event for each flow or each tick while a limit for cold
   servers is in force, and against reports that do not show it. */
static void
limit_for_cold_servers_is_reported_once (void **state)
{
  (void)state;
  int ends[2];
  assert_int_equal (pipe (ends), 0);
  assert_int_equal (fcntl (ends[0], F_SETFL, O_NONBLOCK), 0);
  gbd_settings_t settings = { .name = "entry-1", .zone = "a", .policy = "" };
  gbd_director_settings_t director_settings
      = { .zone = gbd_zone_from_name ("a"),
          .flow_capacity = FLOWS,
          .warm_up = { .instance = 1, .overshoot = 1.5, .slack = 5 } };
  gbd_cookie_serve_t serve
      = { .settings = &settings,
          .director = gbd_director_new (&director_settings),
          .event_log = gbd_event_log_new (ends[1], "entry-1", LOG_INFO, START),
          .clock = read_clock };
  gbd_warm_up_limits_t limits
      = { .duration = 2 * GBD_SECOND, .rate = 10, .name = "web" };
  gbd_routes_t *routes = make_routes (1, "web");
  gbd_routes_set_warm_up (routes, gbd_id_from_name ("web"), &limits);
  gbd_director_set_key (serve.director, KEY);
  gbd_director_set_routes (serve.director, routes);
  gbd_pool_t *pool = gbd_director_get_pool (serve.director);
  gbd_pool_begin_listing (pool);
  gbd_pool_entry_t entry = make_entry (1, "web", "a");
  entry.warm_at = START + 2 * GBD_SECOND;
  put_entry (serve.director, &entry, START);
  entry = make_entry (2, "web", "a");
  put_entry (serve.director, &entry, START);
  gbd_pool_end_listing (pool, START);

  gbd_cookie_warm_up_tick (&serve, START);
  assert_int_equal (count_events (serve.event_log, ends[0], 620), 1);
  gbd_cookie_warm_up_tick (&serve, START + GBD_SECOND);
  assert_int_equal (count_events (serve.event_log, ends[0], 620), 0);
  json_t *status = json_object ();
  gbd_cookie_warm_up_add_status (&serve, status);
  const json_t *service
      = json_array_get (json_object_get (status, "cold_services"), 0);
  assert_string_equal (get_text (service, "service"), "web");
  assert_int_equal (
      json_integer_value (json_object_get (service, "cold_servers")), 1);
  assert_int_equal (json_integer_value (json_object_get (service, "budget")),
                    20);
  assert_int_equal (json_integer_value (json_object_get (service, "since_ms")),
                    1000);
  json_decref (status);
  json_t *fields = json_object ();
  gbd_cookie_warm_up_add_server (&serve, gbd_pool_peek (pool, 0), fields,
                                 START);
  assert_true (json_is_true (json_object_get (fields, "cold_limit")));
  json_decref (fields);

  /* Only the cold server is left, and the instance has just started. */
  gbd_pool_get (pool, 1)->entry.backend.state = GBD_BACKEND_DRAINING;
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 40001);
  json_t *explanation
      = gbd_cookie_admin_callbacks.explain (&serve, &packet.flow);
  assert_string_equal (get_text (explanation, "rule"), "no_server");
  assert_string_equal (get_text (explanation, "action"), "reset");
  assert_true (json_is_true (json_object_get (explanation, "cold_limit")));
  json_decref (explanation);

  gbd_cookie_warm_up_tick (&serve, START + 2 * GBD_SECOND);
  assert_int_equal (count_events (serve.event_log, ends[0], 621), 1);
  gbd_cookie_warm_up_tick (&serve, START + 3 * GBD_SECOND);
  assert_int_equal (count_events (serve.event_log, ends[0], 621), 0);
  status = json_object ();
  gbd_cookie_warm_up_add_status (&serve, status);
  assert_null (json_object_get (status, "cold_services"));
  json_decref (status);
  gbd_event_log_delete (serve.event_log);
  gbd_director_delete (serve.director);
  close (ends[0]);
  close (ends[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (flow_event_contains_the_decision_inputs_and_their_ages),
    cmocka_unit_test (state_that_never_arrived_has_no_age),
    cmocka_unit_test (explain_includes_a_flow_open_at_this_instance),
    cmocka_unit_test (limit_for_cold_servers_is_reported_once),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
