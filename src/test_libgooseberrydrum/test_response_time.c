#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gooseberrydrum/response_time.h"

#define START (1000 * GBD_SECOND)
#define MS GBD_MILLISECOND
#define SERVERS 14

/* Adds samples of one duration, 50 ms apart.
   @return the time after the last one. */
static gbd_time_t
add_samples (gbd_response_time_t *estimate, uint32_t count,
             gbd_time_t duration, gbd_time_t now)
{
  for (uint32_t i = 0; i < count; i++, now += 50 * MS)
    gbd_response_time_add (estimate, duration, now);
  return now;
}

static void
estimate_needs_some_recent_samples (void **state)
{
  (void)state;
  gbd_response_time_t estimate = { 0 };
  gbd_time_t now = START;
  for (uint32_t i = 1; i < GBD_RESPONSE_TIME_SAMPLES_MIN; i++)
    {
      gbd_response_time_add (&estimate, 30 * MS, now);
      assert_int_equal (gbd_response_time_get (&estimate, now), 0);
    }
  gbd_response_time_add (&estimate, 30 * MS, now);
  assert_int_equal (gbd_response_time_get (&estimate, now), 30 * MS);
  assert_int_equal (
      gbd_response_time_get (&estimate, now + GBD_RESPONSE_TIME_VALIDITY + 1),
      0);
  /* Earlier samples do not count any more. */
  now += GBD_RESPONSE_TIME_VALIDITY + 1;
  gbd_response_time_add (&estimate, 90 * MS, now);
  assert_int_equal (gbd_response_time_get (&estimate, now), 0);
}

/* Some servers become five times slower, as on a played day, and recover. */
static void
slow_servers_are_found_and_return (void **state)
{
  (void)state;
  gbd_response_time_t estimates[SERVERS] = { 0 };
  for (int slow = 1; slow <= SERVERS / 3; slow++)
    {
      gbd_peer_response_time_t peers = { 0 };
      gbd_time_t now = START;
      for (int i = 0; i < SERVERS; i++)
        now = add_samples (&estimates[i], 8, i < slow ? 150 * MS : 30 * MS,
                           START);
      for (int i = 0; i < SERVERS; i++)
        gbd_peer_response_time_add (
            &peers, gbd_response_time_get (&estimates[i], now));
      for (int i = 0; i < SERVERS; i++)
        {
          uint64_t excess = gbd_response_time_get_excess (
              &peers, gbd_response_time_get (&estimates[i], now));
          assert_int_equal (excess > 0, i < slow);
        }
      now = add_samples (&estimates[0], 8, 30 * MS, now);
      assert_int_equal (
          gbd_response_time_get_excess (
              &peers, gbd_response_time_get (&estimates[0], now)),
          0);
    }
}

/* A burst makes requests queue at all servers. */
static void
burst_makes_no_server_slow (void **state)
{
  (void)state;
  gbd_response_time_t estimate = { 0 };
  gbd_peer_response_time_t peers = { 0 };
  gbd_time_t now = add_samples (&estimate, 8, 30 * MS, START);
  now = add_samples (&estimate, 20, 300 * MS, now);
  gbd_time_t average = gbd_response_time_get (&estimate, now);
  for (int i = 0; i < SERVERS; i++)
    gbd_peer_response_time_add (&peers, average);
  assert_int_equal (gbd_response_time_get_excess (&peers, average), 0);
}

static void
server_without_peers_is_not_slow (void **state)
{
  (void)state;
  gbd_peer_response_time_t peers = { 0 };
  assert_int_equal (gbd_response_time_get_excess (&peers, 500 * MS), 0);
  gbd_peer_response_time_add (&peers, 500 * MS);
  gbd_peer_response_time_add (&peers, 0);
  assert_int_equal (gbd_response_time_get_excess (&peers, 5 * GBD_SECOND), 0);
  assert_int_equal (gbd_response_time_get_excess (&peers, 0), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (estimate_needs_some_recent_samples),
    cmocka_unit_test (slow_servers_are_found_and_return),
    cmocka_unit_test (burst_makes_no_server_slow),
    cmocka_unit_test (server_without_peers_is_not_slow),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
