#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <poll.h>

#include "free_address.h"
#include "gooseberrydrum/prober.h"
#include "share/udp.h"

#define START (1000 * GBD_SECOND)
#define TICK (100 * GBD_MILLISECOND)
#define ID 7

static gbd_pool_t *pool;
static gbd_prober_t *prober;
static gbd_pool_server_t *server;
static uint32_t callback_count;

static void
count_callback (void *data, const gbd_pool_server_t *reported,
                gbd_time_t began_at, gbd_time_t now)
{
  (void)data;
  assert_ptr_equal (reported, server);
  assert_true (began_at <= now);
  callback_count++;
}

/* Creates a prober with a suspected backend server at this address. */
static void
set_up (const gbd_address_t *address)
{
  gbd_pool_entry_t entry
      = { .backend = { .id = ID, .address = *address }, .slots = 1 };
  pool = gbd_pool_new ();
  assert_int_equal (gbd_pool_put (pool, &entry, START), GBD_OK);
  server = gbd_pool_get (pool, 0);
  gbd_suspicion_record_failure (&server->load.suspicion, START, START);
  prober = gbd_prober_new (pool, count_callback, NULL);
  callback_count = 0;
}

static void
tear_down (void)
{
  gbd_prober_delete (prober);
  gbd_pool_delete (pool);
}

static gbd_probe_result_t
run_prober (gbd_time_t time)
{
  gbd_time_t now = START;
  for (; now <= START + time; now += TICK)
    {
      gbd_prober_tick (prober, now);
      /* Lets the kernel establish connections, without a change of the
         simulated clock. */
      poll (NULL, 0, 1);
    }
  return gbd_suspicion_get_probe (&server->load.suspicion, now);
}

static int
listen_at (gbd_address_t *address, int backlog)
{
  struct sockaddr_storage name;
  gbd_address_parse ("127.0.0.1:1", address);
  address->port = 0;
  socklen_t length = gbd_udp_to_sockaddr (address, &name);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  assert_int_equal (bind (fd, (struct sockaddr *)&name, length), 0);
  assert_int_equal (listen (fd, backlog), 0);
  gbd_udp_get_address (fd, address);
  return fd;
}

static void
listening_server_accepts_the_probe (void **state)
{
  (void)state;
  gbd_address_t address;
  int fd = listen_at (&address, 8);
  set_up (&address);
  assert_int_equal (run_prober (2 * TICK), GBD_PROBE_ACCEPTED);
  assert_int_equal (callback_count, 1);
  tear_down ();
  close (fd);
}

static void
stopped_server_refuses_the_probe (void **state)
{
  (void)state;
  gbd_address_t address = choose_free_address ();
  set_up (&address);
  assert_int_equal (run_prober (2 * TICK), GBD_PROBE_REFUSED);
  /* The callback is called once for any number of equal results. */
  assert_int_equal (run_prober (20 * TICK), GBD_PROBE_REFUSED);
  assert_int_equal (callback_count, 1);
  tear_down ();
}

/* Connections that fill the queue of a listener.  A listener with a full queue
   does not respond, like an unreachable machine. */
#define FILLER_COUNT 4
static int fillers[FILLER_COUNT];

static int
listen_with_full_queue (gbd_address_t *address)
{
  struct sockaddr_storage name;
  int fd = listen_at (address, 0);
  socklen_t length = gbd_udp_to_sockaddr (address, &name);
  for (int i = 0; i < FILLER_COUNT; i++)
    {
      fillers[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      assert_int_equal (connect (fillers[i], (struct sockaddr *)&name, length),
                        -1);
    }
  return fd;
}

static void
close_fillers (void)
{
  for (int i = 0; i < FILLER_COUNT; i++)
    close (fillers[i]);
}

static void
unreachable_server_does_not_respond (void **state)
{
  (void)state;
  gbd_address_t address;
  int fd = listen_with_full_queue (&address);
  set_up (&address);
  assert_int_equal (run_prober (GBD_SUSPICION_PROBE_TIMEOUT - TICK),
                    GBD_PROBE_NONE);
  assert_int_equal (run_prober (GBD_SUSPICION_PROBE_TIMEOUT + TICK),
                    GBD_PROBE_NO_RESPONSE);
  tear_down ();
  close_fillers ();
  close (fd);
}

/* The process is paused while the probe is running. */
static void
process_pause_yields_no_result (void **state)
{
  (void)state;
  gbd_address_t address;
  int fd = listen_with_full_queue (&address);
  set_up (&address);
  gbd_prober_tick (prober, START);
  gbd_prober_tick (prober, START + 3 * GBD_SECOND);
  assert_int_equal (callback_count, 0);
  gbd_prober_stats_t stats;
  gbd_prober_get_stats (prober, &stats);
  assert_int_equal (stats.results[GBD_PROBE_NONE], 1);
  tear_down ();
  close_fillers ();
  close (fd);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (listening_server_accepts_the_probe),
    cmocka_unit_test (stopped_server_refuses_the_probe),
    cmocka_unit_test (unreachable_server_does_not_respond),
    cmocka_unit_test (process_pause_yields_no_result),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
