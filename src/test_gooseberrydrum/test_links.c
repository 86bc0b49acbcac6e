#include "links_fixture.h"

/* Index of a simulated instance with the lowest address; the test sends its
   messages on a plain socket. */
#define FAKE 0
#define FAKE_ID 99
#define NODE 1 /* index of the node under test */

static void
send_bytes (int fd, const void *bytes, size_t length)
{
  assert_int_equal (send (fd, bytes, length, MSG_NOSIGNAL), length);
}

static void
send_message (int fd, const gbd_message_t *message)
{
  size_t length;
  uint8_t *bytes = gbd_message_encode (message, &length);
  assert_non_null (bytes);
  send_bytes (fd, bytes, length);
  free (bytes);
}

static gbd_message_t
make_hello (void)
{
  gbd_message_t hello = { .type = GBD_MESSAGE_HELLO, .from = FAKE_ID };
  hello.body.hello.version_min = GBD_MESSAGE_VERSION;
  hello.body.hello.version_max = GBD_MESSAGE_VERSION + 1;
  hello.body.hello.zone = 7;
  hello.body.hello.listen = addresses[FAKE];
  strcpy (hello.body.hello.name, "fake");
  return hello;
}

/* Connects to the node under test as its simulated peer. */
static int
connect_as_peer (void)
{
  gbd_message_t hello = make_hello ();
  int fd = connect_socket (NODE);
  send_message (fd, &hello);
  RUN_UNTIL (nodes[NODE].up_count == 1);
  return fd;
}

static void
start_node_with_fake_peer (void)
{
  start_node (NODE, 2);
  gbd_links_set_peers (nodes[NODE].links, addresses, NODES_MAX);
}

static void
each_pair_has_one_bidirectional_link (void **state)
{
  (void)state;
  start_nodes (3);
  RUN_UNTIL (count_open_links (0) == 2 && count_open_links (1) == 2
             && count_open_links (2) == 2);
  for (int from = 0; from < 3; from++)
    {
      for (int to = 0; to < 3; to++)
        {
          if (from == to)
            continue;
          uint64_t version = (uint64_t)from * 10 + (uint64_t)to + 1;
          gbd_instance_id_t id = nodes[to].settings.self;
          assert_int_equal (send_table_request (from, id, version), GBD_OK);
          RUN_UNTIL (nodes[to].last_version == version);
        }
    }
  run_rounds (100);
  for (int i = 0; i < 3; i++)
    {
      assert_int_equal (nodes[i].up_count, 2);
      assert_int_equal (nodes[i].down_count, 0);
      assert_int_equal (nodes[i].received, 2);
    }
  assert_int_equal (send_table_request (0, 77, 1), GBD_ERROR_UNAVAILABLE);
}

static void
links_run_over_ipv6 (void **state)
{
  (void)state;
  for (int i = 0; i < NODES_MAX; i++)
    {
      addresses[i].family = 6;
      memset (addresses[i].ip, 0, sizeof addresses[i].ip);
      addresses[i].ip[15] = 1;
    }
  start_nodes (2);
  RUN_UNTIL (count_open_links (0) == 1 && count_open_links (1) == 1);
  assert_int_equal (send_table_request (0, 2, 3), GBD_OK);
  RUN_UNTIL (nodes[1].last_version == 3);
}

static void
large_and_many_messages_arrive_in_order (void **state)
{
  (void)state;
  enum
  {
    LARGE_LENGTH = (1 << 20) - 100
  };
  start_nodes (2);
  RUN_UNTIL (count_open_links (0) == 1 && count_open_links (1) == 1);
  gbd_message_t table = { .type = GBD_MESSAGE_TABLE, .from = 1 };
  table.body.table.length = LARGE_LENGTH;
  table.body.table.bytes = calloc (1, LARGE_LENGTH);
  assert_int_equal (gbd_links_send (nodes[0].links, 2, &table), GBD_OK);
  for (uint64_t version = 1; version <= 1000; version++)
    assert_int_equal (send_table_request (0, 2, version), GBD_OK);
  RUN_UNTIL (nodes[1].received == 1001);
  assert_int_equal (nodes[1].table_length, LARGE_LENGTH);
  assert_int_equal (nodes[1].last_version, 1000);
  free (table.body.table.bytes);
}

static void
link_to_restarted_peer_is_reopened (void **state)
{
  (void)state;
  start_nodes (2);
  for (gbd_instance_id_t incarnation = 1; incarnation <= 3; incarnation++)
    {
      int replaced
          = (int)(incarnation % 2); /* the initiator and the other side */
      int other = 1 - replaced;
      RUN_UNTIL (count_open_links (0) == 1 && count_open_links (1) == 1);
      uint32_t down_count = nodes[other].down_count;
      stop_node (replaced);
      RUN_UNTIL (nodes[other].down_count == down_count + 1);
      run_rounds (20);
      start_node (replaced, 100 + incarnation);
      gbd_links_set_peers (nodes[replaced].links, addresses, 2);
      RUN_UNTIL (count_open_links (other) == 1);
      assert_true (nodes[other].up_id == 100 + incarnation);
    }
}

static void
link_to_unlisted_peer_is_closed (void **state)
{
  (void)state;
  start_nodes (2);
  RUN_UNTIL (count_open_links (0) == 1 && count_open_links (1) == 1);
  gbd_links_set_peers (nodes[1].links, NULL, 0);
  assert_int_equal (count_open_links (1), 0);
  assert_int_equal (nodes[1].down_count, 1);
  assert_int_equal (send_table_request (1, 1, 1), GBD_ERROR_UNAVAILABLE);
  RUN_UNTIL (nodes[0].down_count == 1);
  run_rounds (2000);
  assert_int_equal (nodes[1].up_count, 1);
  gbd_links_set_peers (nodes[1].links, addresses, 2);
  RUN_UNTIL (count_open_links (0) == 1 && count_open_links (1) == 1);
}

/* First bytes of an unidentified connection that must close it without any
   callback. */
static void
invalid_first_bytes_are_refused (void **state)
{
  (void)state;
  static const struct
  {
    const char *label;
    const char *bytes;
    size_t length;
  } cases[] = {
    { "text", "GET / HTTP/1.1\r\n\r\n", 18 },
    { "empty frame", "\0\0\0\0", 4 },
    { "frame of 2^32 - 1", "\xff\xff\xff\xff", 4 },
    { "frame longer than any HELLO", "\0\0\1\1", 4 },
    { "not msgpack", "\0\0\0\1\xc1", 5 },
    { "first message is not HELLO", "\0\0\0\5\x94\4\x63\1\1", 9 },
    { "first message of unknown type", "\0\0\0\3\x92\x7f\1", 7 },
  };
  start_node_with_fake_peer ();
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      int fd = connect_socket (NODE);
      send_bytes (fd, cases[i].bytes, cases[i].length);
      RUN_UNTIL (is_closed (fd));
      close (fd);
      gbd_links_stats_t stats;
      gbd_links_get_stats (nodes[NODE].links, &stats);
      if (stats.refused != i + 1)
        print_error ("case \"%s\"\n", cases[i].label);
      assert_int_equal (stats.refused, i + 1);
    }
  assert_int_equal (nodes[NODE].up_count, 0);
  assert_int_equal (nodes[NODE].received, 0);
}

static void
invalid_hello_is_refused (void **state)
{
  (void)state;
  gbd_message_t hellos[5];
  for (size_t i = 0; i < 5; i++)
    hellos[i] = make_hello ();
  hellos[0].from = 2; /* the node's own instance ID */
  hellos[1].body.hello.version_min = GBD_MESSAGE_VERSION + 1;
  hellos[2].body.hello.version_min = 0;
  hellos[2].body.hello.version_max = GBD_MESSAGE_VERSION - 1;
  hellos[3].body.hello.listen = addresses[2]; /* the node is the initiator */
  hellos[4].body.hello.listen = addresses[NODE];
  start_node_with_fake_peer ();
  for (size_t i = 0; i < 4; i++)
    {
      int fd = connect_socket (NODE);
      send_message (fd, &hellos[i]);
      RUN_UNTIL (is_closed (fd));
      close (fd);
    }
  /* A HELLO with the node's own address is not accepted. */
  int fd = connect_socket (NODE);
  send_message (fd, &hellos[4]);
  run_rounds (100);
  assert_int_equal (nodes[NODE].up_count, 0);
  close (fd);
}

/* Data that a peer must not send after its HELLO. */
static void
peer_that_violates_the_protocol_is_closed (void **state)
{
  (void)state;
  gbd_message_t forged
      = { .type = GBD_MESSAGE_TABLE_REQUEST, .from = FAKE_ID + 1 };
  gbd_message_t second_hello = make_hello ();
  start_node_with_fake_peer ();
  for (int i = 0; i < 3; i++)
    {
      nodes[NODE].up_count = 0;
      int fd = connect_as_peer ();
      if (i == 0)
        send_message (fd, &forged);
      else if (i == 1)
        send_message (fd, &second_hello);
      else
        send_bytes (fd, "\x00\x10\x00\x01", 4); /* one byte over the limit */
      RUN_UNTIL (is_closed (fd));
      assert_int_equal (nodes[NODE].down_count, i + 1);
      close (fd);
    }
  assert_int_equal (nodes[NODE].received, 0);
}

static void
unknown_message_types_are_skipped (void **state)
{
  (void)state;
  gbd_message_t table_request
      = { .type = GBD_MESSAGE_TABLE_REQUEST, .from = FAKE_ID };
  table_request.body.table_request.version = 5;
  start_node_with_fake_peer ();
  int fd = connect_as_peer ();
  send_bytes (fd, "\0\0\0\3\x92\x7f\x63", 7);
  send_message (fd, &table_request);
  RUN_UNTIL (nodes[NODE].last_version == 5);
  assert_int_equal (nodes[NODE].down_count, 0);
  close (fd);
}

static void
instance_id_has_one_address (void **state)
{
  (void)state;
  gbd_message_t hello = make_hello ();
  start_node (2, 3);
  gbd_links_set_peers (nodes[2].links, addresses, NODES_MAX);
  int first = connect_socket (2);
  send_message (first, &hello);
  RUN_UNTIL (count_open_links (2) == 1);
  hello.body.hello.listen = addresses[1];
  int second = connect_socket (2);
  send_message (second, &hello);
  RUN_UNTIL (is_closed (second));
  assert_int_equal (count_open_links (2), 1);
  assert_int_equal (nodes[2].down_count, 0);
  close (first);
  close (second);
}

static void
peer_is_accepted_when_it_becomes_listed (void **state)
{
  (void)state;
  gbd_message_t hello = make_hello ();
  start_node (NODE, 2);
  int fd = connect_socket (NODE);
  send_message (fd, &hello);
  run_rounds (200);
  assert_int_equal (nodes[NODE].up_count, 0);
  assert_false (is_closed (fd));
  gbd_links_set_peers (nodes[NODE].links, addresses, 1);
  assert_int_equal (nodes[NODE].up_count, 1);
  close (fd);
  RUN_UNTIL (nodes[NODE].down_count == 1);

  /* A peer must not send more messages before it is listed. */
  gbd_links_set_peers (nodes[NODE].links, NULL, 0);
  fd = connect_socket (NODE);
  send_message (fd, &hello);
  run_rounds (50);
  send_bytes (fd, "\0\0\0\5\x94\4\x63\1\1", 9);
  RUN_UNTIL (is_closed (fd));
  close (fd);
}

static void
idle_connections_time_out (void **state)
{
  (void)state;
  gbd_message_t hello = make_hello ();
  start_node_with_fake_peer ();
  int idle = connect_socket (NODE);
  int partial = connect_socket (NODE);
  send_bytes (partial, "\0\0\0\x20\x97", 5);
  int peer = connect_as_peer ();
  run_rounds (50);
  /* A suspension of this process does not cause a time-out of the
     connections. */
  now += 100 * GBD_SECOND;
  run_rounds (50);
  assert_false (is_closed (idle));
  assert_false (is_closed (partial));
  assert_int_equal (nodes[NODE].down_count, 0);
  advance_time (6 * GBD_SECOND);
  RUN_UNTIL (is_closed (idle) && is_closed (partial) && is_closed (peer));
  assert_int_equal (nodes[NODE].down_count, 1);
  close (idle);
  close (partial);
  close (peer);

  /* A connection whose HELLO names an unlisted address times out as well. */
  gbd_links_set_peers (nodes[NODE].links, NULL, 0);
  int unlisted = connect_socket (NODE);
  send_message (unlisted, &hello);
  run_rounds (50);
  assert_false (is_closed (unlisted));
  advance_time (6 * GBD_SECOND);
  RUN_UNTIL (is_closed (unlisted));
  close (unlisted);
}

static void
unidentified_connections_are_bounded (void **state)
{
  (void)state;
  enum
  {
    CONNECTIONS = 48,
    KEPT_MAX = 32
  };
  int sockets[CONNECTIONS];
  start_node_with_fake_peer ();
  for (int i = 0; i < CONNECTIONS; i++)
    {
      sockets[i] = connect_socket (NODE);
      run_rounds (5);
    }
  int peer = connect_as_peer ();
  run_rounds (50);
  int open = 0;
  for (int i = 0; i < CONNECTIONS; i++)
    {
      open += !is_closed (sockets[i]);
      close (sockets[i]);
    }
  assert_in_range (open, 1, KEPT_MAX);
  assert_int_equal (count_open_links (NODE), 1);
  close (peer);
}

static void
link_to_slow_reader_is_closed (void **state)
{
  (void)state;
  static uint8_t content[100000];
  gbd_message_t table = { .type = GBD_MESSAGE_TABLE, .from = 2 };
  table.body.table.length = sizeof content;
  table.body.table.bytes = content;
  start_node_with_fake_peer ();
  int fd = connect_as_peer ();
  gbd_status_t status = GBD_OK;
  uint32_t sent = 0;
  for (; sent < 1000 && status == GBD_OK; sent++)
    {
      status = gbd_links_send (nodes[NODE].links, FAKE_ID, &table);
      run_round ();
    }
  assert_int_equal (status, GBD_ERROR_UNAVAILABLE);
  assert_true (sent > QUEUE_BYTES_MAX / sizeof content);
  assert_int_equal (nodes[NODE].down_count, 1);
  RUN_UNTIL (is_closed (fd));
  close (fd);
}

static void
address_in_use_is_reported (void **state)
{
  (void)state;
  static const gbd_links_callbacks_t callbacks
      = { on_up, on_down, on_received };
  start_node (0, 1);
  struct lws_context *context = make_context ();
  const char *error = NULL;
  assert_null (
      gbd_links_new (context, &nodes[0].settings, &callbacks, NULL, &error));
  assert_non_null (strstr (error, "--link-listen"));
  lws_context_destroy (context);
}

int
main (void)
{
#define LINKS_TEST(test)                                                      \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)
  const struct CMUnitTest tests[] = {
    LINKS_TEST (each_pair_has_one_bidirectional_link),
    LINKS_TEST (links_run_over_ipv6),
    LINKS_TEST (large_and_many_messages_arrive_in_order),
    LINKS_TEST (link_to_restarted_peer_is_reopened),
    LINKS_TEST (link_to_unlisted_peer_is_closed),
    LINKS_TEST (invalid_first_bytes_are_refused),
    LINKS_TEST (invalid_hello_is_refused),
    LINKS_TEST (peer_that_violates_the_protocol_is_closed),
    LINKS_TEST (unknown_message_types_are_skipped),
    LINKS_TEST (instance_id_has_one_address),
    LINKS_TEST (peer_is_accepted_when_it_becomes_listed),
    LINKS_TEST (idle_connections_time_out),
    LINKS_TEST (unidentified_connections_are_bounded),
    LINKS_TEST (link_to_slow_reader_is_closed),
    LINKS_TEST (address_in_use_is_reported),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
