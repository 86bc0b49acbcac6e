#include "test_libgooseberrydrum/director_fixture.h"

#include <syslog.h>
#include <unistd.h>

#include "gooseberrydrum/cookie_serve.h"

#define READ_BYTES 4096

/* What on-call looks for in the line of a new flow. */
static const char *const wanted[]
    = { "flow",        "rule",   "version", "version_age_ms",
        "list_age_ms", "server", "waiting", "unanswered" };

static void
a_new_flow_has_its_inputs_and_their_ages (void **state)
{
  (void)state;
  int ends[2];
  char text[READ_BYTES] = "";
  assert_int_equal (pipe (ends), 0);
  gbd_cookie_serve_t serve
      = { .director = make_ready_director (),
          .journal = gbd_journal_new (ends[1], "entry-1", LOG_INFO, START),
          .routes_at = START - GBD_SECOND,
          .servers_at = START - 2 * GBD_SECOND };
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 40001);
  gbd_direction_t direction = pass (serve.director, &packet, START);
  gbd_flow_signs_t signs = { .is_opened = false };
  gbd_cookie_report_decision (&serve, &packet, &direction, &signs, START);
  gbd_journal_flush (serve.journal);
  assert_true (read (ends[0], text, sizeof text - 1) > 0);
  json_t *line = json_loads (text, 0, NULL);
  for (size_t i = 0; i < sizeof wanted / sizeof wanted[0]; i++)
    {
      print_message ("%s\n", wanted[i]);
      assert_non_null (json_object_get (line, wanted[i]));
    }
  assert_string_equal (json_string_value (json_object_get (line, "flow")),
                       "100.64.0.7:40001-198.18.0.1:443");
  assert_int_equal (
      json_integer_value (json_object_get (line, "version_age_ms")), 1000);
  assert_int_equal (json_integer_value (json_object_get (line, "list_age_ms")),
                    2000);
  json_decref (line);
  gbd_journal_delete (serve.journal);
  gbd_director_delete (serve.director);
  close (ends[0]);
  close (ends[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (a_new_flow_has_its_inputs_and_their_ages) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
