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

/* The engine and the catalog are fakes: each answers as the test set it. */
static gbd_decision_t decision_set;
static gbd_service_t service_set;
static gbd_table_t table_set;
static bool has_table;
static gbd_shim_t shim_seen;
static bool has_shim_seen;
static int routed;
static int committed;

void
gbd_engine_route (const gbd_engine_t *engine, const gbd_packet_t *packet,
                  const gbd_shim_t *shim, gbd_time_t now,
                  gbd_decision_t *decision)
{
  (void)engine;
  (void)packet;
  assert_true (now == NOW);
  has_shim_seen = shim != NULL;
  if (shim)
    shim_seen = *shim;
  routed++;
  *decision = decision_set;
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
  committed++;
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
  return has_table && service == SERVICE_ID ? &table_set : NULL;
}

gbd_service_t
gbd_catalog_find (const gbd_catalog_t *catalog, const gbd_address_t *address)
{
  (void)catalog;
  assert_int_equal (address->port, 80);
  return service_set;
}

const gbd_service_info_t *
gbd_catalog_get_service (const gbd_catalog_t *catalog, gbd_service_t service)
{
  static const gbd_service_info_t info = { .id = SERVICE_ID };
  (void)catalog;
  assert_int_equal (service, SERVICE);
  return &info;
}

/** A data path, and sockets in the places of its neighbours. */
typedef struct
{
  gbd_datapath_t *datapath;
  gbd_address_t fabric_address;
  gbd_address_t peer_address;
  int fabric;
  int backends[2]; /* IPv4, IPv6 */
  gbd_backend_t table[2];
} bench_t;

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
  static bench_t bench;
  static int engine; /* only its address is used */
  const char *error = NULL;
  gbd_datapath_settings_t settings = make_settings ();
  bench.datapath
      = gbd_datapath_new (&settings, (gbd_engine_t *)&engine, &error);
  assert_non_null (bench.datapath);
  gbd_udp_get_address (gbd_datapath_get_fabric_fd (bench.datapath),
                       &bench.fabric_address);
  gbd_udp_get_address (gbd_datapath_get_peer_fd (bench.datapath),
                       &bench.peer_address);
  gbd_address_t any = loopback (4);
  bench.fabric = gbd_udp_listen (&any, 0);
  for (int i = 0; i < 2; i++)
    {
      any = loopback (i ? 6 : 4);
      bench.backends[i] = gbd_udp_listen (&any, 1 << 20);
      assert_true (bench.backends[i] >= 0);
      gbd_udp_get_address (bench.backends[i], &bench.table[i].address);
    }
  table_set.backend_count = 2;
  table_set.backends = bench.table;
  has_table = true;
  service_set = SERVICE;
  routed = 0;
  committed = 0;
  memset (&decision_set, 0, sizeof decision_set);
  decision_set.kind = GBD_ACTION_BACKEND;
  decision_set.service = SERVICE;
  decision_set.backend = bench.table[0].address;
  *state = &bench;
  return 0;
}

static int
tear_down (void **state)
{
  bench_t *bench = *state;
  gbd_datapath_delete (bench->datapath);
  close (bench->fabric);
  close (bench->backends[0]);
  close (bench->backends[1]);
  return 0;
}

static void
send_bytes (const bench_t *bench, const gbd_address_t *to, const void *bytes,
            size_t length)
{
  struct sockaddr_storage name;
  socklen_t name_length = gbd_udp_to_sockaddr (to, &name);
  ssize_t sent = sendto (bench->fabric, bytes, length, 0,
                         (struct sockaddr *)&name, name_length);
  assert_int_equal (sent, length);
}

static sample_t
send_sample (const bench_t *bench)
{
  sample_t sample = sample_ipv4;
  sample_fix_checksum (sample.bytes, sample.length);
  send_bytes (bench, &bench->fabric_address, sample.bytes, sample.length);
  return sample;
}

static uint32_t
receive (const bench_t *bench, int fd)
{
  struct pollfd ready = { fd, POLLIN, 0 };
  assert_int_equal (poll (&ready, 1, WAIT_MS), 1);
  return gbd_datapath_receive (bench->datapath, fd);
}

static uint32_t
receive_fabric (const bench_t *bench)
{
  return receive (bench, gbd_datapath_get_fabric_fd (bench->datapath));
}

static uint32_t
receive_peer (const bench_t *bench)
{
  return receive (bench, gbd_datapath_get_peer_fd (bench->datapath));
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
get_stats (const bench_t *bench)
{
  gbd_datapath_stats_t stats;
  gbd_datapath_get_stats (bench->datapath, &stats);
  return stats;
}

static void
packets_reach_the_backend_server_unchanged (void **state)
{
  const bench_t *bench = *state;
  for (int i = 0; i < 2; i++)
    {
      decision_set.slot = (gbd_slot_t)i;
      decision_set.backend = bench->table[i].address;
      sample_t sample = send_sample (bench);
      assert_int_equal (receive_fabric (bench), 1);
      expect_datagram (bench->backends[i], sample.bytes, sample.length);
      expect_nothing (bench->backends[1 - i]);
      assert_false (has_shim_seen);
      assert_int_equal (committed, i + 1);
    }
  gbd_datapath_stats_t stats = get_stats (bench);
  assert_true (stats.fabric_packets == 2 && stats.to_backend_packets == 2);
  assert_true (stats.to_backend_bytes == 2 * sample_ipv4.length);
  assert_true (stats.newest_packet_at == NOW);
}

static void
more_than_a_batch_keeps_its_order (void **state)
{
  const bench_t *bench = *state;
  enum
  {
    COUNT = 200
  };
  sample_t sample = sample_ipv6;
  for (int i = 0; i < COUNT; i++)
    {
      sample.bytes[71] = (uint8_t)i;
      send_bytes (bench, &bench->fabric_address, sample.bytes, sample.length);
    }
  uint32_t handled = 0;
  while (handled < COUNT)
    handled += receive_fabric (bench);
  assert_int_equal (committed, COUNT);
  for (int i = 0; i < COUNT; i++)
    {
      sample.bytes[71] = (uint8_t)i;
      expect_datagram (bench->backends[0], sample.bytes, sample.length);
    }
}

static void
peers_get_the_packet_behind_its_shim (void **state)
{
  const bench_t *bench = *state;
  const gbd_shim_t shim = { GBD_SHIM_OPEN, 2, 9, 1234, 56 };
  /* The instance is its own peer here. */
  assert_int_equal (
      gbd_datapath_set_peer (bench->datapath, PEER_ID, &bench->peer_address),
      GBD_OK);
  decision_set.kind = GBD_ACTION_PEER;
  decision_set.peer = PEER_ID;
  decision_set.shim = shim;
  sample_t sample = send_sample (bench);
  receive_fabric (bench);

  decision_set.kind = GBD_ACTION_BACKEND;
  assert_int_equal (receive_peer (bench), 1);
  assert_true (has_shim_seen);
  assert_int_equal (shim_seen.kind, shim.kind);
  assert_int_equal (shim_seen.hops, shim.hops);
  assert_int_equal (shim_seen.slot, shim.slot);
  assert_true (shim_seen.origin == shim.origin);
  assert_true (shim_seen.version == shim.version);
  expect_datagram (bench->backends[0], sample.bytes, sample.length);
  gbd_datapath_stats_t stats = get_stats (bench);
  assert_true (stats.to_peer_packets == 1 && stats.peer_packets == 1);
  assert_true (stats.peer_bytes == sample.length + GBD_SHIM_LENGTH);
}

static void
resets_go_back_to_the_fabric (void **state)
{
  const bench_t *bench = *state;
  sample_t sample = sample_ipv4;
  sample_fix_checksum (sample.bytes, sample.length);
  gbd_packet_t packet;
  uint8_t reset[GBD_RESET_LENGTH_MAX];
  gbd_packet_parse (sample.bytes, sample.length, &packet);
  size_t length = gbd_packet_build_reset (&packet, reset);

  decision_set.kind = GBD_ACTION_RESET;
  send_sample (bench);
  receive_fabric (bench);
  expect_datagram (bench->fabric, reset, length);

  /* One that came through a peer goes to the newest sender of the fabric. */
  uint8_t bytes[GBD_SHIM_LENGTH + SAMPLE_LENGTH_MAX];
  const gbd_shim_t shim = { .kind = GBD_SHIM_RELAY };
  memcpy (bytes + GBD_SHIM_LENGTH, sample.bytes, sample.length);
  gbd_shim_encode (&shim, make_settings ().key, bytes + GBD_SHIM_LENGTH,
                   sample.length, bytes);
  send_bytes (bench, &bench->peer_address, bytes,
              GBD_SHIM_LENGTH + sample.length);
  receive_peer (bench);
  expect_datagram (bench->fabric, reset, length);
  assert_true (get_stats (bench).resets == 2);
}

/** What is wrong, and the cause that must be counted. */
typedef struct
{
  const char *what;
  gbd_drop_t expected;
  void (*break_it) (void);
} dropped_t;

static void
decide_drop (void)
{
  decision_set.kind = GBD_ACTION_DROP;
  decision_set.drop = GBD_DROP_UNCERTAIN;
}

static void
decide_other_service (void)
{
  decision_set.service = SERVICE + 1;
}

static void
find_no_service (void)
{
  service_set = GBD_SERVICE_NONE;
  decision_set.service = GBD_SERVICE_NONE;
}

static void
decide_slot_past_table (void)
{
  decision_set.slot = 2;
}

static void
decide_other_address (void)
{
  decision_set.slot = 1;
}

static void
lose_table (void)
{
  has_table = false;
}

static void
decide_unknown_peer (void)
{
  decision_set.kind = GBD_ACTION_PEER;
  decision_set.peer = PEER_ID + 1;
}

static void
drops_are_counted_by_cause (void **state)
{
  const bench_t *bench = *state;
  static const dropped_t rows[] = {
    { "engine's decision", GBD_DROP_UNCERTAIN, decide_drop },
    { "other service", GBD_DROP_ISOLATION, decide_other_service },
    { "no service", GBD_DROP_ISOLATION, find_no_service },
    { "slot past the table", GBD_DROP_ISOLATION, decide_slot_past_table },
    { "other address", GBD_DROP_ISOLATION, decide_other_address },
    { "no table", GBD_DROP_ISOLATION, lose_table },
    { "unknown peer", GBD_DROP_SEND, decide_unknown_peer },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const gbd_decision_t decision = decision_set;
      uint64_t before = get_stats (bench).drops[rows[i].expected];
      int committed_before = committed;
      rows[i].break_it ();
      send_sample (bench);
      receive_fabric (bench);
      if (get_stats (bench).drops[rows[i].expected] != before + 1)
        fail_msg ("%s: not counted", rows[i].what);
      expect_nothing (bench->backends[0]);
      expect_nothing (bench->backends[1]);
      expect_nothing (bench->fabric);
      /* Only what the engine itself decided is recorded. */
      assert_int_equal (committed - committed_before,
                        rows[i].break_it == decide_drop);
      decision_set = decision;
      service_set = SERVICE;
      has_table = true;
    }
}

static void
malformed_datagrams_are_not_routed (void **state)
{
  const bench_t *bench = *state;
  static uint8_t bytes[10000] = { 0x45 };
  send_bytes (bench, &bench->fabric_address, bytes, 10);
  send_bytes (bench, &bench->fabric_address, bytes, sizeof bytes);
  assert_int_equal (receive_fabric (bench), 2);
  send_bytes (bench, &bench->peer_address, bytes, 10);
  send_bytes (bench, &bench->peer_address, bytes, sizeof bytes);
  /* A shim made with another key. */
  const gbd_shim_t shim = { .kind = GBD_SHIM_RELAY };
  gbd_shim_encode (&shim, (const uint8_t *)"another group's!", bytes, 0,
                   bytes);
  send_bytes (bench, &bench->peer_address, bytes, GBD_SHIM_LENGTH);
  assert_int_equal (receive_peer (bench), 3);
  gbd_datapath_stats_t stats = get_stats (bench);
  assert_true (stats.drops[GBD_DROP_TRUNCATED] == 2);
  assert_true (stats.drops[GBD_DROP_BAD_SHIM] == 3);
  assert_int_equal (routed, 0);
}

static void
refused_sends_do_not_stop_the_others (void **state)
{
  const bench_t *bench = *state;
  gbd_datapath_set_peer (bench->datapath, PEER_ID, &bench->table[1].address);
  decision_set.kind = GBD_ACTION_PEER;
  decision_set.peer = PEER_ID;
  /* An IPv6 peer cannot be reached from the IPv4 socket. */
  send_sample (bench);
  send_sample (bench);
  receive_fabric (bench);
  assert_true (get_stats (bench).drops[GBD_DROP_SEND] == 2);
}

static void
peers_are_bounded_and_replaced (void **state)
{
  const bench_t *bench = *state;
  gbd_instance_id_t id = 1;
  while (gbd_datapath_set_peer (bench->datapath, id, &bench->table[0].address)
         == GBD_OK)
    id++;
  assert_int_equal (id, GBD_LIVES_MAX + 1);
  gbd_datapath_remove_peer (bench->datapath, 1);
  assert_int_equal (
      gbd_datapath_set_peer (bench->datapath, PEER_ID, &bench->fabric_address),
      GBD_OK);
  assert_int_equal (
      gbd_datapath_set_peer (bench->datapath, id, &bench->table[0].address),
      GBD_OK);

  decision_set.kind = GBD_ACTION_PEER;
  decision_set.peer = 1;
  send_sample (bench);
  receive_fabric (bench);
  assert_true (get_stats (bench).drops[GBD_DROP_SEND] == 1);
  decision_set.peer = PEER_ID;
  send_sample (bench);
  receive_fabric (bench);
  assert_true (get_stats (bench).to_peer_packets == 1);
  expect_nothing (bench->backends[0]);
}

static void
a_taken_port_is_reported (void **state)
{
  const bench_t *bench = *state;
  const char *error = NULL;
  gbd_datapath_settings_t settings = make_settings ();
  settings.fabric_listen = bench->fabric_address;
  assert_null (gbd_datapath_new (&settings, NULL, &error));
  assert_non_null (strstr (error, "fabric"));
  settings = make_settings ();
  settings.peer_listen = bench->peer_address;
  assert_null (gbd_datapath_new (&settings, NULL, &error));
  assert_non_null (strstr (error, "peers"));
}

#define CASE(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CASE (packets_reach_the_backend_server_unchanged),
    CASE (more_than_a_batch_keeps_its_order),
    CASE (peers_get_the_packet_behind_its_shim),
    CASE (resets_go_back_to_the_fabric),
    CASE (drops_are_counted_by_cause),
    CASE (malformed_datagrams_are_not_routed),
    CASE (refused_sends_do_not_stop_the_others),
    CASE (peers_are_bounded_and_replaced),
    CASE (a_taken_port_is_reported),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
