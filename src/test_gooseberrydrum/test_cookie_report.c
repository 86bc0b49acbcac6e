#include "test_libgooseberrydrum/director_fixture.h"

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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (flow_event_contains_the_decision_inputs_and_their_ages),
    cmocka_unit_test (state_that_never_arrived_has_no_age),
    cmocka_unit_test (explain_includes_a_flow_open_at_this_instance)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
