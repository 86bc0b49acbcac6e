/* Measures the cost of the data path on one core.  Each measurement is one
   JSON row:
   decision  parse, route and commit one packet of a known flow
   open      parse, route and commit one packet that opens a flow
   sockets   opening packets through loopback sockets
   relay     the data path through loopback sockets, compared with a bare
             relay of recvmmsg and sendmmsg; the two alternate in one run
   Only the data path or the bare relay is timed, not the work to build the
   packets, to send them and to empty the sockets of the backend servers.

   usage: bench_datapath [ROUNDS] */
#define _GNU_SOURCE /* NOLINT: the C library's name, for recvmmsg */
#include <errno.h>
#include <linux/perf_event.h>
#include <sched.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "../src/gooseberrydrum/datapath.h"
#include "share/udp.h"
#include "standins/tcp_packet.h"

#define FLOWS 400000u
#define ADDRESSES 3900u
#define SERVICES 39u
#define BACKENDS 14u
#define BUCKETS 2048u
#define CACHE_CAPACITY (1u << 20)
#define MEMBERS 8u
#define BATCH 64u
#define BURST (8 * BATCH) /* datagrams that are queued before a timed call */
#define DECISION_BATCHES 2000u
#define ROUNDS 400u
#define NEW_FLOWS (100 * BURST)
#define SAMPLES_MAX 8192u
#define SOCKET_BUFFER (4u << 20)
#define NOW (1000 * GBD_SECOND)

/* Results of one measurement: totals, and the time per packet of each sample.
   The median of the samples is reported because other load on the machine
   distorts single samples. */
typedef struct
{
  uint64_t nanoseconds;
  uint64_t instructions;
  uint64_t packets;
  uint32_t sample_count;
  float samples[SAMPLES_MAX];
} cost_t;

typedef struct
{
  gbd_catalog_t *catalog;
  gbd_engine_t *engine;
  gbd_address_t backends[BACKENDS];
  int sinks[BACKENDS];
  int counter; /* descriptor of the instruction counter, or -1 */
  uint64_t random;
  size_t payload;
} bench_t;

static bool set_up_bench (bench_t *bench, const gbd_policy_t *policy);
static void tear_down_bench (bench_t *bench);
static bool make_catalog (bench_t *bench);
static bool make_engine (bench_t *bench, const gbd_policy_t *policy);
static gbd_table_t *make_table (const bench_t *bench, uint32_t service);
static bool open_sinks (bench_t *bench);
static void drain_sinks (const bench_t *bench);
static int open_counter (void);
static void pin_to_core (void);
static gbd_address_t get_service_address (uint32_t number);
static size_t make_packet (const bench_t *bench, uint32_t flow, uint8_t flags,
                           uint8_t *bytes);
static uint32_t next_random (bench_t *bench, uint32_t below);
static void route_batch (bench_t *bench,
                         const uint8_t (*packets)[TCP_PACKET_LENGTH_MAX],
                         const size_t *lengths, cost_t *cost);
static void open_flows (bench_t *bench, cost_t *cost);
static void measure_decisions (bench_t *bench, const char *policy);
static void measure_openings (bench_t *bench);
static void measure_new_flows (bench_t *bench);
static void measure_relay (bench_t *bench, unsigned rounds);
static void send_burst (bench_t *bench, int sender_fd,
                        const gbd_address_t *to);
static void run_bare_relay (const bench_t *bench, int fd, cost_t *cost);
static gbd_time_t fixed_clock (void *data);
static uint64_t get_nanoseconds (void);
static uint64_t read_instruction_counter (const bench_t *bench);
static void add_sample (cost_t *cost, uint64_t elapsed,
                        uint64_t instruction_count, uint64_t packets);
static double quantile (cost_t *cost, double share);
static int compare (const void *a, const void *b);
static void print_row (const char *row, const char *detail, cost_t *cost);

int
main (int argc, char **argv)
{
  unsigned rounds = ROUNDS;
  if (argc > 1)
    rounds = (unsigned)strtoul (argv[1], NULL, 10);
  static const char *const policies[]
      = { "keepers", "cached", "rendezvous", "modulo" };
  pin_to_core ();
  for (size_t i = 0; i < sizeof policies / sizeof policies[0]; i++)
    {
      bench_t bench = { .payload = 64, .random = 20261203 };
      bool is_ready = set_up_bench (&bench, gbd_policy_find (policies[i]));
      if (is_ready)
        {
          measure_decisions (&bench, policies[i]);
          if (i == 0)
            {
              measure_openings (&bench);
              measure_new_flows (&bench);
              measure_relay (&bench, rounds);
              bench.payload = 1200;
              measure_relay (&bench, rounds);
            }
        }
      tear_down_bench (&bench);
      if (!is_ready)
        {
          fprintf (stderr, "bench_datapath: cannot set up; check the limits "
                           "of memory and open files\n");
          return EXIT_FAILURE;
        }
    }
  return EXIT_SUCCESS;
}

static bool
set_up_bench (bench_t *bench, const gbd_policy_t *policy)
{
  for (uint32_t i = 0; i < BACKENDS; i++)
    bench->sinks[i] = -1;
  bench->counter = open_counter ();
  if (!open_sinks (bench) || !make_catalog (bench)
      || !make_engine (bench, policy))
    return false;
  static cost_t ignored;
  open_flows (bench, &ignored);
  return true;
}

static void
tear_down_bench (bench_t *bench)
{
  gbd_engine_delete (bench->engine);
  gbd_catalog_delete (bench->catalog);
  for (uint32_t i = 0; i < BACKENDS; i++)
    if (bench->sinks[i] >= 0)
      close (bench->sinks[i]);
  if (bench->counter >= 0)
    close (bench->counter);
}

static bool
make_catalog (bench_t *bench)
{
  const gbd_plan_t plan = { .name = "plan",
                            .open_flows = 2 * FLOWS,
                            .new_flows_per_second = 100000,
                            .idle_limit_s = 3600 };
  bench->catalog = gbd_catalog_new (1);
  if (!bench->catalog)
    return false;
  gbd_catalog_add_plan (bench->catalog, &plan);
  gbd_catalog_add_customer (bench->catalog, "customer", 0);
  for (uint32_t i = 0; i < SERVICES; i++)
    {
      char name[GBD_NAME_MAX + 1];
      snprintf (name, sizeof name, "service-%u", i);
      gbd_catalog_add_service (bench->catalog, name, 0);
    }
  for (uint32_t i = 0; i < ADDRESSES; i++)
    {
      gbd_address_t address = get_service_address (i);
      if (gbd_catalog_add_address (bench->catalog, &address, i % SERVICES)
          != GBD_OK)
        return false;
    }
  return true;
}

static bool
make_engine (bench_t *bench, const gbd_policy_t *policy)
{
  gbd_engine_settings_t settings = { .self = 1,
                                     .zone = 1,
                                     .flow_key = 0x5eed,
                                     .cache_capacity = CACHE_CAPACITY,
                                     .registry_capacity = 65536,
                                     .hints_per_second = 100,
                                     .policy = policy };
  bench->engine = gbd_engine_new (&settings);
  if (!bench->engine
      || gbd_engine_set_catalog (bench->engine, bench->catalog) != GBD_OK)
    return false;
  for (uint32_t i = 0; i < SERVICES; i++)
    {
      gbd_table_t *table = make_table (bench, i);
      if (!table || gbd_engine_set_table (bench->engine, table, NOW) != GBD_OK)
        return false;
      gbd_engine_set_complete (bench->engine,
                               gbd_catalog_get_service (bench->catalog, i)->id,
                               true);
    }
  gbd_engine_set_lease (bench->engine, GBD_LEASE_FULL);
  gbd_engine_set_joined (bench->engine, true);
  return true;
}

static gbd_table_t *
make_table (const bench_t *bench, uint32_t service)
{
  gbd_backend_t backends[BACKENDS] = { 0 };
  gbd_member_t roster[MEMBERS];
  for (uint32_t i = 0; i < BACKENDS; i++)
    {
      backends[i].id = service * BACKENDS + i + 1;
      backends[i].address = bench->backends[i];
      backends[i].zone = 1 + i % 4;
    }
  for (uint32_t i = 0; i < MEMBERS; i++)
    roster[i] = (gbd_member_t){ 1 + i, 1 + i % 4 };
  gbd_table_t *table
      = gbd_table_new (gbd_catalog_get_service (bench->catalog, service)->id,
                       BUCKETS, backends, BACKENDS, roster, MEMBERS);
  if (table)
    table->version = 1;
  return table;
}

static bool
open_sinks (bench_t *bench)
{
  for (uint32_t i = 0; i < BACKENDS; i++)
    {
      gbd_address_t any = { .family = 4, .ip = { 127, 0, 0, 1 } };
      bench->sinks[i] = gbd_udp_listen (&any, SOCKET_BUFFER);
      if (bench->sinks[i] < 0)
        return false;
      gbd_udp_get_address (bench->sinks[i], &bench->backends[i]);
    }
  return true;
}

static void
drain_sinks (const bench_t *bench)
{
  uint8_t byte;
  for (uint32_t i = 0; i < BACKENDS; i++)
    while (recv (bench->sinks[i], &byte, 1, MSG_DONTWAIT) >= 0)
      ;
}

static gbd_address_t
get_service_address (uint32_t number)
{
  gbd_address_t address
      = { .family = 4,
          .port = 443,
          .ip = { 10, 200, (uint8_t)(number >> 8), (uint8_t)number } };
  return address;
}

static size_t
make_packet (const bench_t *bench, uint32_t flow, uint8_t flags,
             uint8_t *bytes)
{
  static const uint8_t payload[TCP_PACKET_LENGTH_MAX] = { 0 };
  gbd_address_t service = get_service_address (flow % ADDRESSES);
  gbd_address_t caller = { .family = 4,
                           .port = (uint16_t)(1024 + flow % 50000),
                           .ip = { 100, (uint8_t)(flow >> 16),
                                   (uint8_t)(flow >> 8), (uint8_t)flow } };
  size_t length = flags & TCP_PACKET_SYN ? 0 : bench->payload;
  return tcp_packet_build (&caller, &service, flow, 1, flags, payload, length,
                           bytes);
}

/* Marsaglia's xorshift; every run has the same flows. */
static uint32_t
next_random (bench_t *bench, uint32_t below)
{
  bench->random ^= bench->random << 13;
  bench->random ^= bench->random >> 7;
  bench->random ^= bench->random << 17;
  return (uint32_t)(bench->random >> 32) % below;
}

static void
route_batch (bench_t *bench, const uint8_t (*packets)[TCP_PACKET_LENGTH_MAX],
             const size_t *lengths, cost_t *cost)
{
  static gbd_packet_t parsed[BATCH];
  uint64_t instruction_count = read_instruction_counter (bench);
  uint64_t started = get_nanoseconds ();
  for (uint32_t i = 0; i < BATCH; i++)
    {
      if (gbd_packet_parse (packets[i], lengths[i], &parsed[i])
          != GBD_DROP_NONE)
        abort ();
    }
  gbd_engine_prefetch (bench->engine, parsed, BATCH);
  for (uint32_t i = 0; i < BATCH; i++)
    {
      gbd_decision_t decision;
      gbd_engine_route (bench->engine, &parsed[i], NULL, NOW, &decision);
      gbd_engine_commit (bench->engine, &parsed[i], &decision, NOW);
      if (decision.kind != GBD_ACTION_BACKEND)
        abort ();
    }
  uint64_t elapsed = get_nanoseconds () - started;
  add_sample (cost, elapsed,
              read_instruction_counter (bench) - instruction_count, BATCH);
}

static void
open_flows (bench_t *bench, cost_t *cost)
{
  static uint8_t packets[BATCH][TCP_PACKET_LENGTH_MAX];
  size_t lengths[BATCH];
  for (uint32_t flow = 0; flow + BATCH <= FLOWS; flow += BATCH)
    {
      for (uint32_t i = 0; i < BATCH; i++)
        lengths[i] = make_packet (bench, flow + i, TCP_PACKET_SYN, packets[i]);
      route_batch (bench, (const uint8_t (*)[TCP_PACKET_LENGTH_MAX])packets,
                   lengths, cost);
    }
}

static void
measure_decisions (bench_t *bench, const char *policy)
{
  static uint8_t packets[BATCH][TCP_PACKET_LENGTH_MAX];
  size_t lengths[BATCH];
  static cost_t cost;
  memset (&cost, 0, sizeof cost);
  for (uint32_t batch = 0; batch < DECISION_BATCHES; batch++)
    {
      for (uint32_t i = 0; i < BATCH; i++)
        lengths[i] = make_packet (bench, next_random (bench, FLOWS),
                                  TCP_PACKET_ACK, packets[i]);
      route_batch (bench, (const uint8_t (*)[TCP_PACKET_LENGTH_MAX])packets,
                   lengths, &cost);
    }
  print_row ("decision", policy, &cost);
}

/* Uses an empty engine, so that every flow is new. */
static void
measure_openings (bench_t *bench)
{
  bench_t fresh = *bench;
  static cost_t cost;
  memset (&cost, 0, sizeof cost);
  fresh.engine = NULL;
  if (make_engine (&fresh, &gbd_policy_replicas))
    {
      open_flows (&fresh, &cost);
      print_row ("open", "keepers", &cost);
    }
  gbd_engine_delete (fresh.engine);
}

/* Sends packets of flows that the engine does not know, so that each packet
   opens a flow through the sockets. */
static void
measure_new_flows (bench_t *bench)
{
  static cost_t cost;
  gbd_datapath_settings_t settings
      = { .fabric_listen = { .family = 4, .ip = { 127, 0, 0, 1 } },
          .peer_listen = { .family = 4, .ip = { 127, 0, 0, 1 } },
          .socket_buffer = SOCKET_BUFFER,
          .clock = fixed_clock };
  const char *error = NULL;
  gbd_datapath_t *datapath
      = gbd_datapath_new (&settings, bench->engine, &error);
  int sender_fd = gbd_udp_open (4, SOCKET_BUFFER);
  if (!datapath || sender_fd < 0)
    {
      fprintf (stderr, "bench_datapath: %s\n",
               error ? error : "cannot open a socket");
      goto out;
    }

  gbd_address_t to;
  struct sockaddr_storage name;
  int fabric_fd = gbd_datapath_get_fabric_fd (datapath);
  gbd_udp_get_address (fabric_fd, &to);
  socklen_t name_length = gbd_udp_to_sockaddr (&to, &name);
  memset (&cost, 0, sizeof cost);
  for (uint32_t flow = FLOWS; flow < FLOWS + NEW_FLOWS; flow += BURST)
    {
      for (uint32_t i = 0; i < BURST; i++)
        {
          uint8_t bytes[TCP_PACKET_LENGTH_MAX];
          size_t length = make_packet (bench, flow + i, TCP_PACKET_SYN, bytes);
          sendto (sender_fd, bytes, length, 0, (const struct sockaddr *)&name,
                  name_length);
        }
      uint64_t instruction_count = read_instruction_counter (bench);
      uint64_t started = get_nanoseconds ();
      uint32_t handled = gbd_datapath_receive (datapath, fabric_fd);
      uint64_t elapsed = get_nanoseconds () - started;
      add_sample (&cost, elapsed,
                  read_instruction_counter (bench) - instruction_count,
                  handled);
      drain_sinks (bench);
    }
  print_row ("sockets", "open", &cost);

out:
  gbd_datapath_delete (datapath);
  if (sender_fd >= 0)
    close (sender_fd);
}

static void
measure_relay (bench_t *bench, unsigned rounds)
{
  gbd_datapath_settings_t settings
      = { .fabric_listen = { .family = 4, .ip = { 127, 0, 0, 1 } },
          .peer_listen = { .family = 4, .ip = { 127, 0, 0, 1 } },
          .socket_buffer = SOCKET_BUFFER,
          .clock = fixed_clock };
  const char *error = NULL;
  gbd_datapath_t *datapath
      = gbd_datapath_new (&settings, bench->engine, &error);
  int relay_fd = gbd_udp_listen (&settings.fabric_listen, SOCKET_BUFFER);
  int sender_fd = gbd_udp_open (4, SOCKET_BUFFER);
  if (!datapath || relay_fd < 0 || sender_fd < 0)
    {
      fprintf (stderr, "bench_datapath: %s\n",
               error ? error : "cannot open a socket");
      goto out;
    }

  gbd_address_t to_datapath;
  gbd_address_t to_relay;
  int fabric_fd = gbd_datapath_get_fabric_fd (datapath);
  gbd_udp_get_address (fabric_fd, &to_datapath);
  gbd_udp_get_address (relay_fd, &to_relay);
  static cost_t datapath_cost;
  static cost_t relay_cost;
  memset (&datapath_cost, 0, sizeof datapath_cost);
  memset (&relay_cost, 0, sizeof relay_cost);
  for (unsigned round = 0; round < rounds; round++)
    {
      send_burst (bench, sender_fd, &to_datapath);
      uint64_t instruction_count = read_instruction_counter (bench);
      uint64_t started = get_nanoseconds ();
      uint32_t handled = gbd_datapath_receive (datapath, fabric_fd);
      uint64_t elapsed = get_nanoseconds () - started;
      add_sample (&datapath_cost, elapsed,
                  read_instruction_counter (bench) - instruction_count,
                  handled);
      drain_sinks (bench);

      send_burst (bench, sender_fd, &to_relay);
      run_bare_relay (bench, relay_fd, &relay_cost);
      drain_sinks (bench);
    }
  gbd_datapath_stats_t stats;
  gbd_datapath_get_stats (datapath, &stats);
  if (stats.to_backend_packets != datapath_cost.packets)
    fprintf (stderr, "bench_datapath: packets were dropped\n");
  print_row ("relay", bench->payload > 64 ? "datapath-1200" : "datapath-64",
             &datapath_cost);
  print_row ("relay", bench->payload > 64 ? "bare-1200" : "bare-64",
             &relay_cost);
  printf ("{\"bench\":\"datapath\",\"row\":\"share\",\"payload\":%zu,"
          "\"of_bare\":%.3f}\n",
          bench->payload,
          quantile (&relay_cost, 0.5) / quantile (&datapath_cost, 0.5));

out:
  gbd_datapath_delete (datapath);
  if (relay_fd >= 0)
    close (relay_fd);
  if (sender_fd >= 0)
    close (sender_fd);
}

static void
send_burst (bench_t *bench, int sender_fd, const gbd_address_t *to)
{
  struct sockaddr_storage name;
  socklen_t name_length = gbd_udp_to_sockaddr (to, &name);
  for (uint32_t i = 0; i < BURST; i++)
    {
      uint8_t bytes[TCP_PACKET_LENGTH_MAX];
      size_t length = make_packet (bench, next_random (bench, FLOWS),
                                   TCP_PACKET_ACK, bytes);
      sendto (sender_fd, bytes, length, 0, (const struct sockaddr *)&name,
              name_length);
    }
}

/* Lower bound for a relay through sockets: receives and sends packets in
   batches and does nothing else. */
static void
run_bare_relay (const bench_t *bench, int fd, cost_t *cost)
{
  static uint8_t buffers[BATCH][9216 + 64];
  static struct sockaddr_storage names[BACKENDS];
  struct mmsghdr messages[BATCH];
  struct iovec parts[BATCH];
  socklen_t name_length = 0;
  for (uint32_t i = 0; i < BACKENDS; i++)
    name_length = gbd_udp_to_sockaddr (&bench->backends[i], &names[i]);

  uint64_t packets = 0;
  uint64_t instruction_count = read_instruction_counter (bench);
  uint64_t started = get_nanoseconds ();
  for (uint32_t batch = 0; batch < BURST / BATCH; batch++)
    {
      memset (messages, 0, sizeof messages);
      for (uint32_t i = 0; i < BATCH; i++)
        {
          parts[i] = (struct iovec){ buffers[i], sizeof buffers[i] };
          messages[i].msg_hdr.msg_iov = &parts[i];
          messages[i].msg_hdr.msg_iovlen = 1;
        }
      int count = recvmmsg (fd, messages, BATCH, MSG_DONTWAIT, NULL);
      if (count <= 0)
        break;
      for (int i = 0; i < count; i++)
        {
          parts[i].iov_len = messages[i].msg_len;
          messages[i].msg_hdr.msg_name
              = &names[((uint32_t)i + batch) % BACKENDS];
          messages[i].msg_hdr.msg_namelen = name_length;
        }
      int sent = sendmmsg (fd, messages, (unsigned)count, MSG_DONTWAIT);
      packets += sent > 0 ? (uint64_t)sent : 0;
    }
  uint64_t elapsed = get_nanoseconds () - started;
  add_sample (cost, elapsed,
              read_instruction_counter (bench) - instruction_count, packets);
}

static gbd_time_t
fixed_clock (void *data)
{
  (void)data;
  return NOW;
}

static void
pin_to_core (void)
{
  cpu_set_t set;
  CPU_ZERO (&set);
  CPU_SET ((unsigned)sched_getcpu (), &set);
  if (sched_setaffinity (0, sizeof set, &set) < 0)
    fprintf (stderr, "bench_datapath: cannot pin the process to a core\n");
}

/* Opens a counter of the instructions in user mode; -1 if the kernel does not
   allow it. */
static int
open_counter (void)
{
  struct perf_event_attr attributes = { .type = PERF_TYPE_HARDWARE,
                                        .size = sizeof attributes,
                                        .config = PERF_COUNT_HW_INSTRUCTIONS,
                                        .exclude_kernel = 1,
                                        .exclude_hv = 1 };
  return (int)syscall (SYS_perf_event_open, &attributes, 0, -1, -1, 0);
}

static uint64_t
get_nanoseconds (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000000000u + (uint64_t)now.tv_nsec;
}

static uint64_t
read_instruction_counter (const bench_t *bench)
{
  uint64_t count = 0;
  if (bench->counter >= 0
      && read (bench->counter, &count, sizeof count) != sizeof count)
    count = 0;
  return count;
}

static void
add_sample (cost_t *cost, uint64_t elapsed, uint64_t instruction_count,
            uint64_t packets)
{
  if (!packets)
    return;
  cost->nanoseconds += elapsed;
  cost->instructions += instruction_count;
  cost->packets += packets;
  if (cost->sample_count < SAMPLES_MAX)
    cost->samples[cost->sample_count++] = (float)elapsed / (float)packets;
}

static double
quantile (cost_t *cost, double share)
{
  if (!cost->sample_count)
    return 0;
  qsort (cost->samples, cost->sample_count, sizeof *cost->samples, compare);
  return (double)cost->samples[(uint32_t)(cost->sample_count * share)];
}

static int
compare (const void *a, const void *b)
{
  const float *left = a;
  const float *right = b;
  return (*left > *right) - (*left < *right);
}

static void
print_row (const char *row, const char *detail, cost_t *cost)
{
  double packets = cost->packets ? (double)cost->packets : 1;
  double mean = (double)cost->nanoseconds / packets;
  double median = quantile (cost, 0.5);
  printf ("{\"bench\":\"datapath\",\"row\":\"%s\",\"of\":\"%s\","
          "\"flows\":%u,\"addresses\":%u,\"packets\":%.0f,"
          "\"ns_p5\":%.1f,\"ns_median\":%.1f,\"ns_mean\":%.1f,"
          "\"per_second\":%.0f,"
          "\"instructions\":",
          row, detail, FLOWS, ADDRESSES, packets, quantile (cost, 0.05),
          median, mean, 1e9 / median);
  if (cost->instructions)
    printf ("%.0f}\n", (double)cost->instructions / packets);
  else
    printf ("null}\n");
  fflush (stdout);
}
