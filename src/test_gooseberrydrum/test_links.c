#include "links_fixture.h"

/* A stranger that plays the instance with the lowest address. */
#define FAKE 0
#define FAKE_ID 99
#define NODE 1 /* the one that it talks to */

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

/* One node whose peer is played by the stranger. */
static int
dial_as_peer (void)
{
  gbd_message_t hello = make_hello ();
  int fd = dial (NODE);
  send_message (fd, &hello);
  RUN_UNTIL (nodes[NODE].ups == 1);
  return fd;
}

static void
start_node_with_fake_peer (void)
{
  start_node (NODE, 2);
  gbd_links_set_peers (nodes[NODE].links, addresses, NODES_MAX);
}

static void
each_pair_has_one_link_both_ways (void **state)
{
  (void)state;
  start_nodes (3);
  RUN_UNTIL (get_open (0) == 2 && get_open (1) == 2 && get_open (2) == 2);
  for (int from = 0; from < 3; from++)
    {
      for (int to = 0; to < 3; to++)
        {
          if (from == to)
            continue;
          uint64_t version = (uint64_t)from * 10 + (uint64_t)to + 1;
          gbd_instance_id_t id = nodes[to].settings.self;
          assert_int_equal (send_want (from, id, version), GBD_OK);
          RUN_UNTIL (nodes[to].newest == version);
        }
    }
  run_rounds (100);
  for (int i = 0; i < 3; i++)
    {
      assert_int_equal (nodes[i].ups, 2);
      assert_int_equal (nodes[i].downs, 0);
      assert_int_equal (nodes[i].received, 2);
    }
  assert_int_equal (send_want (0, 77, 1), GBD_ERROR_UNAVAILABLE);
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
  RUN_UNTIL (get_open (0) == 1 && get_open (1) == 1);
  assert_int_equal (send_want (0, 2, 3), GBD_OK);
  RUN_UNTIL (nodes[1].newest == 3);
}

static void
large_and_many_messages_arrive_in_order (void **state)
{
  (void)state;
  enum
  {
    LARGE = (1 << 20) - 100
  };
  start_nodes (2);
  RUN_UNTIL (get_open (0) == 1 && get_open (1) == 1);
  gbd_message_t table = { .type = GBD_MESSAGE_TABLE, .from = 1 };
  table.body.table.length = LARGE;
  table.body.table.bytes = calloc (1, LARGE);
  assert_int_equal (gbd_links_send (nodes[0].links, 2, &table), GBD_OK);
  for (uint64_t version = 1; version <= 1000; version++)
    assert_int_equal (send_want (0, 2, version), GBD_OK);
  RUN_UNTIL (nodes[1].received == 1001);
  assert_int_equal (nodes[1].table_length, LARGE);
  assert_int_equal (nodes[1].newest, 1000);
  free (table.body.table.bytes);
}

static void
a_replaced_peer_is_linked_again (void **state)
{
  (void)state;
  start_nodes (2);
  for (gbd_instance_id_t life = 1; life <= 3; life++)
    {
      int replaced = (int)(life % 2); /* both the one that connects and not */
      int other = 1 - replaced;
      RUN_UNTIL (get_open (0) == 1 && get_open (1) == 1);
      uint32_t downs = nodes[other].downs;
      stop_node (replaced);
      RUN_UNTIL (nodes[other].downs == downs + 1);
      run_rounds (20);
      start_node (replaced, 100 + life);
      gbd_links_set_peers (nodes[replaced].links, addresses, 2);
      RUN_UNTIL (get_open (other) == 1);
      assert_true (nodes[other].up_id == 100 + life);
    }
}

static void
a_peer_no_longer_named_is_closed (void **state)
{
  (void)state;
  start_nodes (2);
  RUN_UNTIL (get_open (0) == 1 && get_open (1) == 1);
  gbd_links_set_peers (nodes[1].links, NULL, 0);
  assert_int_equal (get_open (1), 0);
  assert_int_equal (nodes[1].downs, 1);
  assert_int_equal (send_want (1, 1, 1), GBD_ERROR_UNAVAILABLE);
  RUN_UNTIL (nodes[0].downs == 1);
  run_rounds (2000);
  assert_int_equal (nodes[1].ups, 1);
  gbd_links_set_peers (nodes[1].links, addresses, 2);
  RUN_UNTIL (get_open (0) == 1 && get_open (1) == 1);
}

/* First bytes of a stranger that must close the link and reach nobody. */
static void
hostile_strangers_are_refused (void **state)
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
    { "longer than any hello", "\0\0\1\1", 4 },
    { "not msgpack", "\0\0\0\1\xc1", 5 },
    { "no hello first", "\0\0\0\5\x94\4\x63\1\1", 9 },
    { "unknown type first", "\0\0\0\3\x92\x7f\1", 7 },
  };
  start_node_with_fake_peer ();
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      int fd = dial (NODE);
      send_bytes (fd, cases[i].bytes, cases[i].length);
      RUN_UNTIL (is_closed (fd));
      close (fd);
      gbd_links_stats_t stats;
      gbd_links_get_stats (nodes[NODE].links, &stats);
      if (stats.refused != i + 1)
        print_error ("case \"%s\"\n", cases[i].label);
      assert_int_equal (stats.refused, i + 1);
    }
  assert_int_equal (nodes[NODE].ups, 0);
  assert_int_equal (nodes[NODE].received, 0);
}

static void
a_hello_out_of_order_is_refused (void **state)
{
  (void)state;
  gbd_message_t hellos[5];
  for (size_t i = 0; i < 5; i++)
    hellos[i] = make_hello ();
  hellos[0].from = 2; /* the node's own identity */
  hellos[1].body.hello.version_min = GBD_MESSAGE_VERSION + 1;
  hellos[2].body.hello.version_min = 0;
  hellos[2].body.hello.version_max = GBD_MESSAGE_VERSION - 1;
  hellos[3].body.hello.listen = addresses[2]; /* must be connected to */
  hellos[4].body.hello.listen = addresses[NODE];
  start_node_with_fake_peer ();
  for (size_t i = 0; i < 4; i++)
    {
      int fd = dial (NODE);
      send_message (fd, &hellos[i]);
      RUN_UNTIL (is_closed (fd));
      close (fd);
    }
  /* Nobody can claim the node's own address. */
  int fd = dial (NODE);
  send_message (fd, &hellos[4]);
  run_rounds (100);
  assert_int_equal (nodes[NODE].ups, 0);
  close (fd);
}

/* What a peer may not send once it has said hello. */
static void
a_peer_out_of_order_is_closed (void **state)
{
  (void)state;
  gbd_message_t forged = { .type = GBD_MESSAGE_WANT, .from = FAKE_ID + 1 };
  gbd_message_t again = make_hello ();
  start_node_with_fake_peer ();
  for (int i = 0; i < 3; i++)
    {
      nodes[NODE].ups = 0;
      int fd = dial_as_peer ();
      if (i == 0)
        send_message (fd, &forged);
      else if (i == 1)
        send_message (fd, &again);
      else
        send_bytes (fd, "\x00\x10\x00\x01", 4); /* a byte over the bound */
      RUN_UNTIL (is_closed (fd));
      assert_int_equal (nodes[NODE].downs, i + 1);
      close (fd);
    }
  assert_int_equal (nodes[NODE].received, 0);
}

static void
unknown_types_are_skipped (void **state)
{
  (void)state;
  gbd_message_t want = { .type = GBD_MESSAGE_WANT, .from = FAKE_ID };
  want.body.want.version = 5;
  start_node_with_fake_peer ();
  int fd = dial_as_peer ();
  send_bytes (fd, "\0\0\0\3\x92\x7f\x63", 7);
  send_message (fd, &want);
  RUN_UNTIL (nodes[NODE].newest == 5);
  assert_int_equal (nodes[NODE].downs, 0);
  close (fd);
}

static void
one_identity_has_one_address (void **state)
{
  (void)state;
  gbd_message_t hello = make_hello ();
  start_node (2, 3);
  gbd_links_set_peers (nodes[2].links, addresses, NODES_MAX);
  int first = dial (2);
  send_message (first, &hello);
  RUN_UNTIL (get_open (2) == 1);
  hello.body.hello.listen = addresses[1];
  int second = dial (2);
  send_message (second, &hello);
  RUN_UNTIL (is_closed (second));
  assert_int_equal (get_open (2), 1);
  assert_int_equal (nodes[2].downs, 0);
  close (first);
  close (second);
}

static void
an_early_peer_waits_until_it_is_named (void **state)
{
  (void)state;
  gbd_message_t hello = make_hello ();
  start_node (NODE, 2);
  int fd = dial (NODE);
  send_message (fd, &hello);
  run_rounds (200);
  assert_int_equal (nodes[NODE].ups, 0);
  assert_false (is_closed (fd));
  gbd_links_set_peers (nodes[NODE].links, addresses, 1);
  assert_int_equal (nodes[NODE].ups, 1);
  close (fd);
  RUN_UNTIL (nodes[NODE].downs == 1);

  /* Nor may it say more before it is let in. */
  gbd_links_set_peers (nodes[NODE].links, NULL, 0);
  fd = dial (NODE);
  send_message (fd, &hello);
  run_rounds (50);
  send_bytes (fd, "\0\0\0\5\x94\4\x63\1\1", 9);
  RUN_UNTIL (is_closed (fd));
  close (fd);
}

static void
silence_closes_strangers_and_peers (void **state)
{
  (void)state;
  gbd_message_t hello = make_hello ();
  start_node_with_fake_peer ();
  int silent = dial (NODE);
  int cut = dial (NODE);
  send_bytes (cut, "\0\0\0\x20\x97", 5);
  int peer = dial_as_peer ();
  run_rounds (50);
  /* A pause of this process is not held against them. */
  now += 100 * GBD_SECOND;
  run_rounds (50);
  assert_false (is_closed (silent));
  assert_false (is_closed (cut));
  assert_int_equal (nodes[NODE].downs, 0);
  pass_time (6 * GBD_SECOND);
  RUN_UNTIL (is_closed (silent) && is_closed (cut) && is_closed (peer));
  assert_int_equal (nodes[NODE].downs, 1);
  close (silent);
  close (cut);
  close (peer);

  /* A hello from an address that stays unknown is not kept for ever. */
  gbd_links_set_peers (nodes[NODE].links, NULL, 0);
  int waiting = dial (NODE);
  send_message (waiting, &hello);
  run_rounds (50);
  assert_false (is_closed (waiting));
  pass_time (6 * GBD_SECOND);
  RUN_UNTIL (is_closed (waiting));
  close (waiting);
}

static void
strangers_are_bounded_and_peers_get_in (void **state)
{
  (void)state;
  enum
  {
    STRANGERS = 48,
    KEPT = 32
  };
  int sockets[STRANGERS];
  start_node_with_fake_peer ();
  for (int i = 0; i < STRANGERS; i++)
    {
      sockets[i] = dial (NODE);
      run_rounds (5);
    }
  int peer = dial_as_peer ();
  run_rounds (50);
  int open = 0;
  for (int i = 0; i < STRANGERS; i++)
    {
      open += !is_closed (sockets[i]);
      close (sockets[i]);
    }
  assert_in_range (open, 1, KEPT);
  assert_int_equal (get_open (NODE), 1);
  close (peer);
}

static void
a_slow_reader_is_closed (void **state)
{
  (void)state;
  static uint8_t content[100000];
  gbd_message_t table = { .type = GBD_MESSAGE_TABLE, .from = 2 };
  table.body.table.length = sizeof content;
  table.body.table.bytes = content;
  start_node_with_fake_peer ();
  int fd = dial_as_peer ();
  gbd_status_t status = GBD_OK;
  uint32_t sent = 0;
  for (; sent < 1000 && status == GBD_OK; sent++)
    {
      status = gbd_links_send (nodes[NODE].links, FAKE_ID, &table);
      run_round ();
    }
  assert_int_equal (status, GBD_ERROR_UNAVAILABLE);
  assert_true (sent > QUEUE_BYTES_MAX / sizeof content);
  assert_int_equal (nodes[NODE].downs, 1);
  RUN_UNTIL (is_closed (fd));
  close (fd);
}

static void
a_taken_address_is_reported (void **state)
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
    LINKS_TEST (each_pair_has_one_link_both_ways),
    LINKS_TEST (links_run_over_ipv6),
    LINKS_TEST (large_and_many_messages_arrive_in_order),
    LINKS_TEST (a_replaced_peer_is_linked_again),
    LINKS_TEST (a_peer_no_longer_named_is_closed),
    LINKS_TEST (hostile_strangers_are_refused),
    LINKS_TEST (a_hello_out_of_order_is_refused),
    LINKS_TEST (a_peer_out_of_order_is_closed),
    LINKS_TEST (unknown_types_are_skipped),
    LINKS_TEST (one_identity_has_one_address),
    LINKS_TEST (an_early_peer_waits_until_it_is_named),
    LINKS_TEST (silence_closes_strangers_and_peers),
    LINKS_TEST (strangers_are_bounded_and_peers_get_in),
    LINKS_TEST (a_slow_reader_is_closed),
    LINKS_TEST (a_taken_address_is_reported),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
