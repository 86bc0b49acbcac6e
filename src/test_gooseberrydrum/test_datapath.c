#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <poll.h>
#include <unistd.h>

#include "../gooseberrydrum/datapath.h"
#include "share/udp.h"
#include "test_libgooseberrydrum/sample_packets.h"

#define SERVICE 3
#define SERVICE_ID 77
#define PEER_ID 5
#define NOW (42 * GBD_SECOND)
#define WAIT_MS 10000

/* Stubs replace the engine and the catalog and return what the test sets. */
static gbd_decision_t stub_decision;
static gbd_service_handle_t stub_service;
static gbd_table_t stub_table;
static bool has_stub_table;
static gbd_shim_t routed_shim;
static bool has_routed_shim;
static int route_count;
static int commit_count;

void
gbd_engine_route (const gbd_engine_t *engine, const gbd_packet_t *packet,
                  const gbd_shim_t *shim, gbd_time_t now,
                  gbd_decision_t *decision)
{
  (void)engine;
  (void)packet;
  assert_true (now == NOW);
  has_routed_shim = shim != NULL;
  if (shim)
    routed_shim = *shim;
  route_count++;
  *decision = stub_decision;
}

void
gbd_engine_prefetch (const gbd_engine_t *engine, const gbd_packet_t *packets,
                     uint32_t count)
{
  (void)engine;
  (void)packets;
  assert_true (count <= GBD_PREFETCH_MAX);
}

void
gbd_engine_commit (gbd_engine_t *engine, const gbd_packet_t *packet,
                   const gbd_decision_t *decision, gbd_time_t now)
{
  (void)engine;
  (void)packet;
  (void)decision;
  assert_true (now == NOW);
  commit_count++;
}

const gbd_catalog_t *
gbd_engine_get_catalog (const gbd_engine_t *engine)
{
  return (const gbd_catalog_t *)engine;
}

const gbd_table_t *
gbd_engine_get_table (const gbd_engine_t *engine, gbd_service_id_t service)
{
  (void)engine;
  return has_stub_table && service == SERVICE_ID ? &stub_table : NULL;
}

gbd_service_handle_t
gbd_catalog_find (const gbd_catalog_t *catalog, const gbd_address_t *address)
{
  (void)catalog;
  assert_int_equal (address->port, 80);
  return stub_service;
}

const gbd_service_info_t *
gbd_catalog_get_service (const gbd_catalog_t *catalog,
                         gbd_service_handle_t service)
{
  static const gbd_service_info_t info = { .id = SERVICE_ID };
  (void)catalog;
  assert_int_equal (service, SERVICE);
  return &info;
}

/** A data path, and sockets that act as the fabric and the backend servers. */
typedef struct
{
  gbd_datapath_t *datapath;
  gbd_address_t fabric_address;
  gbd_address_t peer_address;
  int fabric;
  int backends[2]; /* IPv4, IPv6 */
  gbd_backend_t table[2];
} fixture_t;

static gbd_time_t
fixed_clock (void *data)
{
  (void)data;
  return NOW;
}

static gbd_address_t
loopback (uint8_t family)
{
  gbd_address_t address = { .family = family };
  if (family == 4)
    memcpy (address.ip, "\x7f\0\0\x01", 4);
  else
    address.ip[15] = 1;
  return address;
}

static gbd_datapath_settings_t
make_settings (void)
{
  gbd_datapath_settings_t settings = {
    .fabric_listen = loopback (4),
    .peer_listen = loopback (4),
    .key = "a key of a group",
    .socket_buffer = 1 << 20,
    .clock = fixed_clock,
  };
  return settings;
}

static int
set_up (void **state)
{
  static fixture_t fixture;
  static int engine; /* only its address is used */
  const char *error = NULL;
  gbd_datapath_settings_t settings = make_settings ();
  fixture.datapath
      = gbd_datapath_new (&settings, (gbd_engine_t *)&engine, &error);
  assert_non_null (fixture.datapath);
  gbd_udp_get_address (gbd_datapath_get_fabric_fd (fixture.datapath),
                       &fixture.fabric_address);
  gbd_udp_get_address (gbd_datapath_get_peer_fd (fixture.datapath),
                       &fixture.peer_address);
  gbd_address_t any = loopback (4);
  fixture.fabric = gbd_udp_listen (&any, 0);
  for (int i = 0; i < 2; i++)
    {
      any = loopback (i ? 6 : 4);
      fixture.backends[i] = gbd_udp_listen (&any, 1 << 20);
      assert_true (fixture.backends[i] >= 0);
      gbd_udp_get_address (fixture.backends[i], &fixture.table[i].address);
    }
  stub_table.backend_count = 2;
  stub_table.backends = fixture.table;
  has_stub_table = true;
  stub_service = SERVICE;
  route_count = 0;
  commit_count = 0;
  memset (&stub_decision, 0, sizeof stub_decision);
  stub_decision.kind = GBD_ACTION_BACKEND;
  stub_decision.service = SERVICE;
  stub_decision.backend = fixture.table[0].address;
  *state = &fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  gbd_datapath_delete (fixture->datapath);
  close (fixture->fabric);
  close (fixture->backends[0]);
  close (fixture->backends[1]);
  return 0;
}

static void
send_bytes (const fixture_t *fixture, const gbd_address_t *to,
            const void *bytes, size_t length)
{
  struct sockaddr_storage name;
  socklen_t name_length = gbd_udp_to_sockaddr (to, &name);
  ssize_t sent = sendto (fixture->fabric, bytes, length, 0,
                         (struct sockaddr *)&name, name_length);
  assert_int_equal (sent, length);
}

static sample_t
send_sample (const fixture_t *fixture)
{
  sample_t sample = sample_ipv4;
  sample_fix_checksum (sample.bytes, sample.length);
  send_bytes (fixture, &fixture->fabric_address, sample.bytes, sample.length);
  return sample;
}

static uint32_t
receive (const fixture_t *fixture, int fd)
{
  struct pollfd ready = { fd, POLLIN, 0 };
  assert_int_equal (poll (&ready, 1, WAIT_MS), 1);
  return gbd_datapath_receive (fixture->datapath, fd);
}

static uint32_t
receive_fabric (const fixture_t *fixture)
{
  return receive (fixture, gbd_datapath_get_fabric_fd (fixture->datapath));
}

static uint32_t
receive_peer (const fixture_t *fixture)
{
  return receive (fixture, gbd_datapath_get_peer_fd (fixture->datapath));
}

static void
expect_datagram (int fd, const void *expected, size_t length)
{
  uint8_t bytes[SAMPLE_LENGTH_MAX];
  struct pollfd ready = { fd, POLLIN, 0 };
  assert_int_equal (poll (&ready, 1, WAIT_MS), 1);
  assert_int_equal (recv (fd, bytes, sizeof bytes, 0), length);
  assert_memory_equal (bytes, expected, length);
}

static void
expect_nothing (int fd)
{
  uint8_t byte;
  assert_int_equal (recv (fd, &byte, 1, MSG_DONTWAIT), -1);
}

static gbd_datapath_stats_t
get_stats (const fixture_t *fixture)
{
  gbd_datapath_stats_t stats;
  gbd_datapath_get_stats (fixture->datapath, &stats);
  return stats;
}

static void
packets_are_forwarded_unchanged (void **state)
{
  const fixture_t *fixture = *state;
  for (int i = 0; i < 2; i++)
    {
      stub_decision.slot = (gbd_slot_t)i;
      stub_decision.backend = fixture->table[i].address;
      sample_t sample = send_sample (fixture);
      assert_int_equal (receive_fabric (fixture), 1);
      expect_datagram (fixture->backends[i], sample.bytes, sample.length);
      expect_nothing (fixture->backends[1 - i]);
      assert_false (has_routed_shim);
      assert_int_equal (commit_count, i + 1);
    }
  gbd_datapath_stats_t stats = get_stats (fixture);
  assert_true (stats.fabric_packets == 2 && stats.to_backend_packets == 2);
  assert_true (stats.to_backend_bytes == 2 * sample_ipv4.length);
  assert_true (stats.last_packet_at == NOW);
}

static void
several_batches_keep_their_order (void **state)
{
  const fixture_t *fixture = *state;
  enum
  {
    COUNT = 200
  };
  sample_t sample = sample_ipv6;
  for (int i = 0; i < COUNT; i++)
    {
      sample.bytes[71] = (uint8_t)i;
      send_bytes (fixture, &fixture->fabric_address, sample.bytes,
                  sample.length);
    }
  uint32_t handled = 0;
  while (handled < COUNT)
    handled += receive_fabric (fixture);
  assert_int_equal (commit_count, COUNT);
  for (int i = 0; i < COUNT; i++)
    {
      sample.bytes[71] = (uint8_t)i;
      expect_datagram (fixture->backends[0], sample.bytes, sample.length);
    }
}

static void
peers_receive_shim_and_packet (void **state)
{
  const fixture_t *fixture = *state;
  const gbd_shim_t shim = { GBD_SHIM_OPEN, 2, 9, 1234, 56 };
  /* The instance forwards to itself. */
  assert_int_equal (gbd_datapath_set_peer (fixture->datapath, PEER_ID,
                                           &fixture->peer_address),
                    GBD_OK);
  stub_decision.kind = GBD_ACTION_PEER;
  stub_decision.peer = PEER_ID;
  stub_decision.shim = shim;
  sample_t sample = send_sample (fixture);
  receive_fabric (fixture);

  stub_decision.kind = GBD_ACTION_BACKEND;
  assert_int_equal (receive_peer (fixture), 1);
  assert_true (has_routed_shim);
  assert_int_equal (routed_shim.kind, shim.kind);
  assert_int_equal (routed_shim.hops, shim.hops);
  assert_int_equal (routed_shim.slot, shim.slot);
  assert_true (routed_shim.origin == shim.origin);
  assert_true (routed_shim.version == shim.version);
  expect_datagram (fixture->backends[0], sample.bytes, sample.length);
  gbd_datapath_stats_t stats = get_stats (fixture);
  assert_true (stats.to_peer_packets == 1 && stats.peer_packets == 1);
  assert_true (stats.peer_bytes == sample.length + GBD_SHIM_LENGTH);
}

static void
resets_are_sent_to_the_fabric (void **state)
{
  const fixture_t *fixture = *state;
  sample_t sample = sample_ipv4;
  sample_fix_checksum (sample.bytes, sample.length);
  gbd_packet_t packet;
  uint8_t reset[GBD_RESET_LENGTH_MAX];
  gbd_packet_parse (sample.bytes, sample.length, &packet);
  size_t length = gbd_packet_build_reset (&packet, reset);

  stub_decision.kind = GBD_ACTION_RESET;
  send_sample (fixture);
  receive_fabric (fixture);
  expect_datagram (fixture->fabric, reset, length);

  /* The reset of a packet from a peer goes to the last sender of the
     fabric. */
  uint8_t bytes[GBD_SHIM_LENGTH + SAMPLE_LENGTH_MAX];
  const gbd_shim_t shim = { .kind = GBD_SHIM_RELAY };
  memcpy (bytes + GBD_SHIM_LENGTH, sample.bytes, sample.length);
  gbd_shim_encode (&shim, make_settings ().key, bytes + GBD_SHIM_LENGTH,
                   sample.length, bytes);
  send_bytes (fixture, &fixture->peer_address, bytes,
              GBD_SHIM_LENGTH + sample.length);
  receive_peer (fixture);
  expect_datagram (fixture->fabric, reset, length);
  assert_true (get_stats (fixture).resets == 2);
}

/** A fault, and the cause under which the drop must be counted. */
typedef struct
{
  const char *fault;
  gbd_drop_t expected;
  void (*inject_fault) (void);
} drop_case_t;

static void
set_drop_decision (void)
{
  stub_decision.kind = GBD_ACTION_DROP;
  stub_decision.drop = GBD_DROP_UNCERTAIN;
}

static void
set_other_service (void)
{
  stub_decision.service = SERVICE + 1;
}

static void
set_no_service (void)
{
  stub_service = GBD_SERVICE_NONE;
  stub_decision.service = GBD_SERVICE_NONE;
}

static void
set_slot_past_table (void)
{
  stub_decision.slot = 2;
}

static void
set_other_address (void)
{
  stub_decision.slot = 1;
}

static void
remove_table (void)
{
  has_stub_table = false;
}

static void
set_unknown_peer (void)
{
  stub_decision.kind = GBD_ACTION_PEER;
  stub_decision.peer = PEER_ID + 1;
}

static void
drops_are_counted_by_cause (void **state)
{
  const fixture_t *fixture = *state;
  static const drop_case_t rows[] = {
    { "engine's decision", GBD_DROP_UNCERTAIN, set_drop_decision },
    { "other service", GBD_DROP_ISOLATION, set_other_service },
    { "no service", GBD_DROP_ISOLATION, set_no_service },
    { "slot past the table", GBD_DROP_ISOLATION, set_slot_past_table },
    { "other address", GBD_DROP_ISOLATION, set_other_address },
    { "no table", GBD_DROP_ISOLATION, remove_table },
    { "unknown peer", GBD_DROP_SEND, set_unknown_peer },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const gbd_decision_t decision = stub_decision;
      uint64_t before = get_stats (fixture).drops[rows[i].expected];
      int commit_count_before = commit_count;
      rows[i].inject_fault ();
      send_sample (fixture);
      receive_fabric (fixture);
      if (get_stats (fixture).drops[rows[i].expected] != before + 1)
        fail_msg ("%s: not counted", rows[i].fault);
      expect_nothing (fixture->backends[0]);
      expect_nothing (fixture->backends[1]);
      expect_nothing (fixture->fabric);
      /* Only a drop that the engine decided is recorded. */
      assert_int_equal (commit_count - commit_count_before,
                        rows[i].inject_fault == set_drop_decision);
      stub_decision = decision;
      stub_service = SERVICE;
      has_stub_table = true;
    }
}

static void
malformed_datagrams_are_not_routed (void **state)
{
  const fixture_t *fixture = *state;
  static uint8_t bytes[10000] = { 0x45 };
  send_bytes (fixture, &fixture->fabric_address, bytes, 10);
  send_bytes (fixture, &fixture->fabric_address, bytes, sizeof bytes);
  assert_int_equal (receive_fabric (fixture), 2);
  send_bytes (fixture, &fixture->peer_address, bytes, 10);
  send_bytes (fixture, &fixture->peer_address, bytes, sizeof bytes);
  /* A shim header that was encoded with another key. */
  const gbd_shim_t shim = { .kind = GBD_SHIM_RELAY };
  gbd_shim_encode (&shim, (const uint8_t *)"another group's!", bytes, 0,
                   bytes);
  send_bytes (fixture, &fixture->peer_address, bytes, GBD_SHIM_LENGTH);
  assert_int_equal (receive_peer (fixture), 3);
  gbd_datapath_stats_t stats = get_stats (fixture);
  assert_true (stats.drops[GBD_DROP_TRUNCATED] == 2);
  assert_true (stats.drops[GBD_DROP_BAD_SHIM] == 3);
  assert_int_equal (route_count, 0);
}

static void
failed_send_does_not_stop_the_batch (void **state)
{
  const fixture_t *fixture = *state;
  gbd_datapath_set_peer (fixture->datapath, PEER_ID,
                         &fixture->table[1].address);
  stub_decision.kind = GBD_ACTION_PEER;
  stub_decision.peer = PEER_ID;
  /* The IPv4 socket cannot send to an IPv6 peer. */
  send_sample (fixture);
  send_sample (fixture);
  receive_fabric (fixture);
  assert_true (get_stats (fixture).drops[GBD_DROP_SEND] == 2);
}

static void
peer_list_is_bounded_and_updatable (void **state)
{
  const fixture_t *fixture = *state;
  gbd_instance_id_t id = 1;
  while (
      gbd_datapath_set_peer (fixture->datapath, id, &fixture->table[0].address)
      == GBD_OK)
    id++;
  assert_int_equal (id, GBD_INCARNATIONS_MAX + 1);
  gbd_datapath_remove_peer (fixture->datapath, 1);
  assert_int_equal (gbd_datapath_set_peer (fixture->datapath, PEER_ID,
                                           &fixture->fabric_address),
                    GBD_OK);
  assert_int_equal (gbd_datapath_set_peer (fixture->datapath, id,
                                           &fixture->table[0].address),
                    GBD_OK);

  stub_decision.kind = GBD_ACTION_PEER;
  stub_decision.peer = 1;
  send_sample (fixture);
  receive_fabric (fixture);
  assert_true (get_stats (fixture).drops[GBD_DROP_SEND] == 1);
  stub_decision.peer = PEER_ID;
  send_sample (fixture);
  receive_fabric (fixture);
  assert_true (get_stats (fixture).to_peer_packets == 1);
  expect_nothing (fixture->backends[0]);
}

static void
port_in_use_is_reported (void **state)
{
  const fixture_t *fixture = *state;
  const char *error = NULL;
  gbd_datapath_settings_t settings = make_settings ();
  settings.fabric_listen = fixture->fabric_address;
  assert_null (gbd_datapath_new (&settings, NULL, &error));
  assert_non_null (strstr (error, "fabric"));
  settings = make_settings ();
  settings.peer_listen = fixture->peer_address;
  assert_null (gbd_datapath_new (&settings, NULL, &error));
  assert_non_null (strstr (error, "peers"));
}

#define CASE(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CASE (packets_are_forwarded_unchanged),
    CASE (several_batches_keep_their_order),
    CASE (peers_receive_shim_and_packet),
    CASE (resets_are_sent_to_the_fabric),
    CASE (drops_are_counted_by_cause),
    CASE (malformed_datagrams_are_not_routed),
    CASE (failed_send_does_not_stop_the_batch),
    CASE (peer_list_is_bounded_and_updatable),
    CASE (port_in_use_is_reported),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
