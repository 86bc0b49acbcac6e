#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gooseberrydrum/cookie_datapath.h"
#include "platform/adapter.h"
#include "share/udp.h"

#define NOW (1000 * GBD_SECOND)
#define WAIT_MS 5000
#define HEADER 32
#define ID 0x9fa5c0467dull

static gbd_director_t *director;
static gbd_cookie_datapath_t *datapath;
static int fabric;  /* sends datagrams to the data path */
static int backend; /* socket of a backend server */
static int caller;  /* receives resets */
static uint32_t observed_count;
static gbd_director_decision_t last_decision;

static gbd_time_t clock_step; /* time between two reads of the clock */
static uint32_t read_count;

static gbd_time_t
read_clock (void *data)
{
  (void)data;
  return NOW + clock_step * read_count++;
}

static void
observe (void *data, const gbd_packet_t *packet,
         const gbd_director_decision_t *decision,
         const gbd_flow_observation_t *observation, gbd_time_t now)
{
  (void)data;
  (void)packet;
  (void)observation;
  assert_true (now == NOW);
  observed_count++;
  last_decision = *decision;
}

static int
set_up (void **state)
{
  (void)state;
  const char *error = NULL;
  gbd_address_t listen;
  gbd_address_t address;
  gbd_address_parse ("127.0.0.1:1", &listen);
  /* Resets go to the caller's address at the port of the data path. */
  listen.port = 0;
  backend = gbd_udp_listen (&listen, 0);
  gbd_udp_get_address (backend, &address);
  caller = gbd_udp_listen (&listen, 0);
  fabric = gbd_udp_open (4, 0);
  gbd_address_t caller_address;
  gbd_udp_get_address (caller, &caller_address);
  if (backend < 0 || caller < 0)
    return -1;

  gbd_director_settings_t settings
      = { .zone = gbd_zone_from_name ("a"),
          .flow_capacity = 64,
          .warm_up = { .instance = 1, .overshoot = 1.5, .slack = 5 } };
  director = gbd_director_new (&settings);
  gbd_cookie_datapath_settings_t datapath_settings
      = { .listen = caller_address,
          .codec = &gbd_packet_codec_echo,
          .clock = read_clock,
          .observe = observe };
  gbd_address_parse ("127.0.0.2:1", &datapath_settings.listen);
  datapath_settings.listen.port = caller_address.port;
  datapath = gbd_cookie_datapath_new (&datapath_settings, director, &error);

  gbd_routes_t *routes = gbd_routes_new (1);
  gbd_route_t route
      = { .target_count = 1, .targets = { { gbd_id_from_name ("web"), 1 } } };
  gbd_address_parse ("198.18.0.1:443", &route.address);
  gbd_routes_add (routes, &route);
  gbd_director_set_routes (director, routes);
  gbd_director_set_key (director, 77);
  gbd_pool_entry_t entry = { .service = gbd_id_from_name ("web"),
                             .slots = 2,
                             .backend = { .id = ID,
                                          .address = address,
                                          .zone = gbd_zone_from_name ("a"),
                                          .state = GBD_BACKEND_READY } };
  gbd_pool_t *pool = gbd_director_get_pool (director);
  gbd_pool_put (pool, &entry, NOW);
  gbd_pool_end_listing (pool, NOW);
  observed_count = 0;
  clock_step = 0;
  read_count = 0;
  return datapath ? 0 : -1;
}

static int
tear_down (void **state)
{
  (void)state;
  gbd_cookie_datapath_delete (datapath);
  gbd_director_delete (director);
  close (fabric);
  close (backend);
  close (caller);
  return 0;
}

/* Builds a packet of the caller 127.0.0.1:40001. */
static void
make_packet (uint8_t *bytes, uint8_t flags, uint16_t port, uint32_t cookie)
{
  memset (bytes, 0, HEADER);
  bytes[0] = 0xa1;
  bytes[13] = 9;
  bytes[18] = flags;
  bytes[20] = (uint8_t)(port >> 8);
  bytes[21] = (uint8_t)port;
  memcpy (bytes + 22, "\x7f\0\0\1", 4);
  memcpy (bytes + 26, "\xc6\x12\0\1", 4);
  bytes[30] = 0x9c;
  bytes[31] = 0x41;
  gbd_packet_codec_echo.set_cookie (bytes, cookie);
}

static void
send_packet (const uint8_t *bytes, size_t length)
{
  struct sockaddr_storage name = { .ss_family = AF_INET };
  socklen_t name_length = sizeof name;
  struct pollfd poll_fd
      = { .fd = gbd_cookie_datapath_get_fd (datapath), .events = POLLIN };
  getsockname (poll_fd.fd, (struct sockaddr *)&name, &name_length);
  assert_int_equal (sendto (fabric, bytes, length, 0,
                            (const struct sockaddr *)&name, name_length),
                    (ssize_t)length);
  assert_int_equal (poll (&poll_fd, 1, WAIT_MS), 1);
  assert_int_equal (gbd_cookie_datapath_receive (datapath), 1);
}

static size_t
receive (int fd, uint8_t *bytes, size_t capacity)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  if (poll (&poll_fd, 1, WAIT_MS) != 1)
    return 0;
  ssize_t length = recv (fd, bytes, capacity, 0);
  return length < 0 ? 0 : (size_t)length;
}

static void
packet_is_forwarded_with_only_its_cookie_changed (void **state)
{
  (void)state;
  uint8_t sent[HEADER];
  uint8_t received[256];
  uint8_t prefix[8];
  make_packet (sent, 4, 443, 0);
  send_packet (sent, sizeof sent);
  assert_int_equal (receive (backend, received, sizeof received), 8 + HEADER);
  gbd_packet_codec_echo.write_prefix (ID, prefix);
  assert_memory_equal (received, prefix, sizeof prefix);
  gbd_packet_codec_echo.set_cookie (sent, last_decision.cookie);
  assert_memory_equal (received + 8, sent, HEADER);

  /* The next packet is routed by the cookie. */
  make_packet (sent, 32, 443, last_decision.cookie);
  send_packet (sent, sizeof sent);
  assert_int_equal (receive (backend, received, sizeof received), 8 + HEADER);
  assert_memory_equal (received + 8, sent, HEADER);
  assert_int_equal (last_decision.rule, GBD_DIRECTOR_RULE_COOKIE);
}

static void
packet_to_an_unknown_address_is_reset (void **state)
{
  (void)state;
  uint8_t sent[HEADER];
  uint8_t received[256] = { 0 };
  make_packet (sent, 4, 444, 0);
  send_packet (sent, sizeof sent);
  assert_int_equal (receive (caller, received, sizeof received), HEADER);
  assert_int_equal (received[18], 2);
  gbd_cookie_datapath_stats_t stats;
  gbd_cookie_datapath_get_stats (datapath, &stats);
  assert_int_equal (stats.resets, 1);
  assert_int_equal (stats.to_backend_packets, 0);
}

static void
undecodable_packets_are_counted_and_dropped (void **state)
{
  (void)state;
  uint8_t sent[HEADER];
  make_packet (sent, 4, 443, 0);
  send_packet (sent, HEADER - 1);
  make_packet (sent, 32, 443, 12345);
  send_packet (sent, HEADER);
  gbd_cookie_datapath_stats_t stats;
  gbd_cookie_datapath_get_stats (datapath, &stats);
  assert_int_equal (stats.drops[GBD_DROP_TRUNCATED], 1);
  assert_int_equal (stats.drops[GBD_DROP_UNCERTAIN], 1);
  assert_int_equal (stats.to_backend_packets + stats.resets, 0);
  assert_int_equal (observed_count, 1);
}

/* The process is frozen after it has decided on an opening packet to a cold
   server.  Guards against an interval that starts at the decision. */
static void
interval_to_a_cold_server_starts_after_transmission (void **state)
{
  (void)state;
  gbd_routes_t *routes = gbd_routes_new (2);
  gbd_route_t route
      = { .target_count = 1, .targets = { { gbd_id_from_name ("web"), 1 } } };
  gbd_address_parse ("198.18.0.1:443", &route.address);
  assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
  /* With this rate every instance takes part. */
  gbd_warm_up_limits_t limits
      = { .duration = GBD_SECOND, .rate = 1e5, .name = "web" };
  assert_int_equal (
      gbd_routes_set_warm_up (routes, gbd_id_from_name ("web"), &limits),
      GBD_OK);
  assert_int_equal (gbd_director_set_routes (director, routes), GBD_OK);
  gbd_director_tick (director, NOW - 2 * GBD_SECOND);
  gbd_pool_server_t *server
      = gbd_pool_get (gbd_director_get_pool (director), 0);
  server->entry.warm_at = NOW + 10 * GBD_SECOND;
  clock_step = 900 * GBD_MILLISECOND;
  uint8_t bytes[HEADER];
  make_packet (bytes, 4, 443, 0);
  send_packet (bytes, sizeof bytes);
  assert_true (last_decision.is_to_cold);
  assert_int_equal (server->warm_up.sent_at, NOW + clock_step);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        packet_is_forwarded_with_only_its_cookie_changed, set_up, tear_down),
    cmocka_unit_test_setup_teardown (packet_to_an_unknown_address_is_reset,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        undecodable_packets_are_counted_and_dropped, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        interval_to_a_cold_server_starts_after_transmission, set_up,
        tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
