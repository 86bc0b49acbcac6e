/** @file links_fixture.h
 *  Links of several instances on the loopback address, run by one loop.  Each
 *  has its own libwebsockets context, as if it ran in its own process.  Plain
 *  sockets act as unidentified connections.  Each test program includes this
 *  file once.
 */
#ifndef TEST_LINKS_FIXTURE_H
#define TEST_LINKS_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gooseberrydrum/links.h"
#include "share/log.h"

#define NODES_MAX 3
#define ROUNDS_MAX 20000
#define ROUND_LENGTH GBD_MILLISECOND
#define QUEUE_BYTES_MAX (3U << 20)

typedef struct
{
  struct lws_context *context;
  gbd_links_settings_t settings;
  gbd_links_t *links;
  uint32_t up_count;
  uint32_t down_count;
  uint32_t received;
  gbd_instance_id_t up_id;
  uint64_t last_version; /* version in the last table request */
  size_t table_length;
} node_t;

static gbd_time_t now;
static node_t nodes[NODES_MAX];
static gbd_address_t addresses[NODES_MAX]; /* in ascending order */

static void
on_up (void *data, gbd_instance_id_t id, gbd_zone_id_t zone, const char *name)
{
  node_t *node = data;
  assert_int_equal (zone, 7);
  assert_true (strlen (name) > 0);
  node->up_count++;
  node->up_id = id;
}

static void
on_down (void *data, gbd_instance_id_t id)
{
  (void)id;
  node_t *node = data;
  node->down_count++;
}

static void
on_received (void *data, const gbd_message_t *message)
{
  node_t *node = data;
  node->received++;
  if (message->type == GBD_MESSAGE_TABLE_REQUEST)
    node->last_version = message->body.table_request.version;
  if (message->type == GBD_MESSAGE_TABLE)
    node->table_length = message->body.table.length;
}

/* Chooses free ports.  All sockets stay bound until the last port is known,
   so that no port is chosen twice. */
static void
choose_free_addresses (void)
{
  int sockets[NODES_MAX];
  uint16_t ports[NODES_MAX];
  for (int i = 0; i < NODES_MAX; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      socklen_t length = sizeof address;
      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      sockets[i] = socket (AF_INET, SOCK_STREAM, 0);
      assert_int_equal (
          bind (sockets[i], (struct sockaddr *)&address, sizeof address), 0);
      getsockname (sockets[i], (struct sockaddr *)&address, &length);
      ports[i] = ntohs (address.sin_port);
    }
  for (int i = 0; i < NODES_MAX; i++)
    {
      int rank = 0;
      for (int j = 0; j < NODES_MAX; j++)
        rank += ports[j] < ports[i];
      memset (&addresses[rank], 0, sizeof addresses[rank]);
      addresses[rank].family = 4;
      addresses[rank].port = ports[i];
      memcpy (addresses[rank].ip, "\x7f\0\0\1", 4);
      close (sockets[i]);
    }
}

static struct lws_context *
make_context (void)
{
  struct lws_context_creation_info info
      = { .port = CONTEXT_PORT_NO_LISTEN,
          .options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS };
  struct lws_context *context = lws_create_context (&info);
  assert_non_null (context);
  return context;
}

static int
set_up (void **state)
{
  (void)state;
  lws_set_log_level (0, NULL);
  gbd_log_set_priority (LOG_CRIT);
  memset (nodes, 0, sizeof nodes);
  now = GBD_SECOND;
  choose_free_addresses ();
  return 0;
}

static void
stop_node (int index)
{
  if (!nodes[index].links)
    return;
  gbd_links_delete (nodes[index].links);
  lws_context_destroy (nodes[index].context);
  nodes[index].links = NULL;
  nodes[index].context = NULL;
}

static int
tear_down (void **state)
{
  (void)state;
  for (int i = 0; i < NODES_MAX; i++)
    stop_node (i);
  return 0;
}

/* Starts the links of a node with the TLS settings that the test has set. */
static void
start_node (int index, gbd_instance_id_t id)
{
  static const gbd_links_callbacks_t callbacks
      = { on_up, on_down, on_received };
  node_t *node = &nodes[index];
  const char *error = NULL;
  node->settings.self = id;
  node->settings.zone = 7;
  node->settings.listen = addresses[index];
  node->settings.queue_bytes_max = QUEUE_BYTES_MAX;
  snprintf (node->settings.name, sizeof node->settings.name, "node-%d", index);
  node->context = make_context ();
  node->links = gbd_links_new (node->context, &node->settings, &callbacks,
                               node, &error);
  assert_non_null (node->links);
}

static void
start_nodes (int count)
{
  for (int i = 0; i < count; i++)
    start_node (i, (gbd_instance_id_t)i + 1);
  for (int i = 0; i < count; i++)
    gbd_links_set_peers (nodes[i].links, addresses, (uint32_t)count);
}

static void
run_round (void)
{
  now += ROUND_LENGTH;
  for (int i = 0; i < NODES_MAX; i++)
    {
      if (!nodes[i].links)
        continue;
      gbd_links_tick (nodes[i].links, now);
      lws_service (nodes[i].context, -1);
    }
}

static void
run_rounds (int count)
{
  for (int i = 0; i < count; i++)
    run_round ();
}

/* Advances the time in steps that do not count as a suspension of the
   process. */
static void
advance_time (gbd_time_t length)
{
  for (gbd_time_t passed = 0; passed < length; passed += GBD_SECOND / 2)
    {
      now += GBD_SECOND / 2 - ROUND_LENGTH;
      run_round ();
    }
}

static uint32_t
count_open_links (int index)
{
  gbd_links_stats_t stats;
  gbd_links_get_stats (nodes[index].links, &stats);
  return stats.open;
}

/* Runs until a condition holds; fails the test after ROUNDS_MAX rounds. */
#define RUN_UNTIL(condition)                                                  \
  do                                                                          \
    {                                                                         \
      int rounds = 0;                                                         \
      while (!(condition) && rounds++ < ROUNDS_MAX)                           \
        {                                                                     \
          run_round ();                                                       \
          usleep (rounds > 100 ? 200 : 0);                                    \
        }                                                                     \
      assert_true (condition);                                                \
    }                                                                         \
  while (0)

static gbd_status_t
send_table_request (int from, gbd_instance_id_t to, uint64_t version)
{
  gbd_message_t message = { .type = GBD_MESSAGE_TABLE_REQUEST,
                            .from = nodes[from].settings.self };
  message.body.table_request.service = 1;
  message.body.table_request.version = version;
  return gbd_links_send (nodes[from].links, to, &message);
}

/* Connects a plain socket to a node's listening address. */
static int
connect_socket (int index)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_port = htons (addresses[index].port);
  memcpy (&address.sin_addr, addresses[index].ip, 4);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

/* Whether the other side has closed the socket. */
static bool
is_closed (int fd)
{
  char bytes[4096];
  ssize_t count;
  do
    count = recv (fd, bytes, sizeof bytes, 0);
  while (count > 0);
  return count == 0 || errno != EAGAIN;
}

#endif
