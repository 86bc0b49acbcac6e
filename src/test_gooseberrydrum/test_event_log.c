#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <limits.h>
#include <string.h>
#include <sys/socket.h>
#include <syslog.h>
#include <unistd.h>

#include "gooseberrydrum/event_log.h"

#define NOW (1000 * GBD_SECOND)
#define READ_BYTES 65536

static int pipe_fds[2];
static gbd_event_log_t *event_log;

static int
set_up (void **state)
{
  (void)state;
  if (pipe (pipe_fds) < 0)
    return -1;
  event_log = gbd_event_log_new (pipe_fds[1], "entry-1", LOG_INFO, NOW);
  return event_log ? 0 : -1;
}

static int
tear_down (void **state)
{
  (void)state;
  gbd_event_log_delete (event_log);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
  return 0;
}

static bool
write_line (gbd_event_t event, gbd_time_t now, json_t *fields)
{
  bool is_admitted = gbd_event_log_admit (event_log, event, now);
  if (is_admitted)
    gbd_event_log_write (event_log, event, fields);
  else
    json_decref (fields);
  return is_admitted;
}

static void
line_is_one_object_with_its_fields (void **state)
{
  (void)state;
  char output[READ_BYTES] = "";
  assert_true (
      write_line (GBD_EVENT_ROUTES, NOW, json_pack ("{s:i}", "version", 7)));
  gbd_event_log_flush (event_log);
  ssize_t length = read (pipe_fds[0], output, sizeof output - 1);
  assert_true (length > 0 && output[length - 1] == '\n');
  json_t *line = json_loads (output, 0, NULL);
  assert_int_equal (json_integer_value (json_object_get (line, "event")), 203);
  assert_string_equal (json_string_value (json_object_get (line, "name")),
                       "ROUTES");
  assert_string_equal (json_string_value (json_object_get (line, "instance")),
                       "entry-1");
  assert_int_equal (json_integer_value (json_object_get (line, "version")), 7);
  json_decref (line);
}

/* Messages with placeholders are omitted from the lines; the fields contain
   the values. */
static void
messages_with_placeholders_are_omitted (void **state)
{
  (void)state;
  static const gbd_event_t events[]
      = { GBD_EVENT_STARTED, GBD_EVENT_STOPPING, GBD_EVENT_STOPPED,
          GBD_EVENT_FATAL, GBD_EVENT_BAD_SETTING };
  char output[READ_BYTES] = "";
  for (size_t i = 0; i < sizeof events / sizeof events[0]; i++)
    gbd_event_log_emit (event_log, events[i], NOW,
                        json_pack ("{s:s}", "cause", "planned"));
  gbd_event_log_flush (event_log);
  assert_true (read (pipe_fds[0], output, sizeof output - 1) > 0);
  assert_null (strchr (output, '%'));
  assert_non_null (strstr (output, "\"STOPPING\""));
}

static void
events_are_rate_limited_and_suppressed_lines_counted (void **state)
{
  (void)state;
  char output[READ_BYTES] = "";
  uint32_t written = 0;
  for (int i = 0; i < 1000; i++)
    {
      written += write_line (GBD_EVENT_FLOW_PLACED, NOW, NULL);
      gbd_event_log_flush (event_log);
    }
  assert_true (written > 0 && written < 300);
  assert_int_equal (gbd_event_log_get_suppressed (event_log), 1000 - written);
  /* Another event has its own rate limit. */
  assert_true (write_line (GBD_EVENT_FLOW_DROPPED, NOW, NULL));
  gbd_event_log_flush (event_log);
  assert_true (read (pipe_fds[0], output, sizeof output - 1) > 0);
  assert_true (write_line (GBD_EVENT_FLOW_PLACED, NOW + GBD_SECOND, NULL));
  gbd_event_log_flush (event_log);
  ssize_t length = read (pipe_fds[0], output, sizeof output - 1);
  assert_true (length > 0);
  output[length] = '\0';
  json_t *line = json_loads (output, 0, NULL);
  assert_int_equal (json_integer_value (json_object_get (line, "suppressed")),
                    1000 - written);
  json_decref (line);
}

static void
stalled_reader_does_not_block (void **state)
{
  (void)state;
  char output[READ_BYTES];
  gbd_time_t now = NOW;
  for (int i = 0; i < 20000; i++)
    {
      now += GBD_SECOND;
      write_line (GBD_EVENT_ROUTES, now, json_pack ("{s:i}", "version", i));
      gbd_event_log_flush (event_log);
    }
  assert_true (gbd_event_log_get_suppressed (event_log) > 0);
  /* The output consists of complete lines. */
  ssize_t length = read (pipe_fds[0], output, sizeof output);
  assert_true (length > 0);
  const char *end = memchr (output, '\n', (size_t)length);
  assert_non_null (end);
  json_t *line = json_loadb (output, (size_t)(end - output), 0, NULL);
  assert_non_null (line);
  json_decref (line);
}

/* The first list of 200 backend servers is logged in one iteration of the
   event loop, without a flush in between. */
static void
notice_is_written_after_a_burst_of_lines (void **state)
{
  (void)state;
  static char output[4 * READ_BYTES];
  for (int i = 0; i < 200; i++)
    write_line (GBD_EVENT_SERVER_LISTED, NOW,
                json_pack ("{s:s, s:i, s:s, s:b}", "server", "i-0123456789",
                           "version", i, "state", "ready", "cold", 0));
  write_line (GBD_EVENT_READY, NOW, json_pack ("{s:i}", "start_ms", 70));
  gbd_event_log_flush (event_log);
  assert_true (read (pipe_fds[0], output, sizeof output - 1) > 0);
  assert_non_null (strstr (output, "\"READY\""));
  assert_int_equal (gbd_event_log_get_suppressed (event_log), 0);
}

/* The descriptor is not read, and the buffer is full of lines of low
   priority. */
static void
notice_fits_into_the_buffer_of_a_stalled_reader (void **state)
{
  (void)state;
  gbd_time_t now = NOW;
  uint64_t suppressed;
  do
    {
      suppressed = gbd_event_log_get_suppressed (event_log);
      now += GBD_SECOND;
      write_line (GBD_EVENT_SERVER_LISTED, now, NULL);
    }
  while (gbd_event_log_get_suppressed (event_log) == suppressed);
  suppressed = gbd_event_log_get_suppressed (event_log);
  write_line (GBD_EVENT_READY, now, json_pack ("{s:i}", "start_ms", 70));
  assert_int_equal (gbd_event_log_get_suppressed (event_log), suppressed);
}

/* A collector that reads one write of at most PIPE_BUF bytes at a time
   receives only complete lines. */
static void
each_write_is_atomic_and_has_complete_lines (void **state)
{
  (void)state;
  static char output[READ_BYTES];
  int pair[2];
  assert_int_equal (socketpair (AF_UNIX, SOCK_DGRAM, 0, pair), 0);
  gbd_event_log_t *other
      = gbd_event_log_new (pair[1], "entry-1", LOG_INFO, NOW);
  uint32_t lines = 0;
  for (int i = 0; i < 60; i++)
    gbd_event_log_emit (
        other, GBD_EVENT_SERVER_LISTED, NOW,
        json_pack ("{s:s, s:i}", "server", "i-0123456789", "version", i));
  gbd_event_log_flush (other);
  ssize_t length;
  while ((length = recv (pair[0], output, sizeof output, MSG_DONTWAIT)) > 0)
    {
      assert_true (length <= PIPE_BUF);
      assert_int_equal (output[length - 1], '\n');
      for (ssize_t i = 0; i < length; i++)
        lines += output[i] == '\n';
    }
  assert_int_equal (lines, 60);
  gbd_event_log_delete (other);
  close (pair[0]);
  close (pair[1]);
}

static void
lower_priorities_are_omitted (void **state)
{
  (void)state;
  gbd_event_log_set_priority (event_log, LOG_WARNING);
  assert_false (gbd_event_log_admit (event_log, GBD_EVENT_FLOW_PLACED, NOW));
  assert_true (gbd_event_log_admit (event_log, GBD_EVENT_SERVER_SILENT, NOW));
  assert_int_equal (gbd_event_log_get_suppressed (event_log), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (line_is_one_object_with_its_fields,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (messages_with_placeholders_are_omitted,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        events_are_rate_limited_and_suppressed_lines_counted, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (stalled_reader_does_not_block, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (notice_is_written_after_a_burst_of_lines,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        notice_fits_into_the_buffer_of_a_stalled_reader, set_up, tear_down),
    cmocka_unit_test (each_write_is_atomic_and_has_complete_lines),
    cmocka_unit_test_setup_teardown (lower_priorities_are_omitted, set_up,
                                     tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
