#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "instances_fixture.h"

/* Target for a start while the platform is unreachable. */
#define START_LIMIT (GBD_SECOND / 2)
/* Limit for configuration changes on the smallest sites. */
#define CONFIG_CHANGE_LIMIT (3 * GBD_SECOND)

/* Guards against a request rate that does not back off, found by a sweep over
   the requests of a day: during an outage of the platform, each round through
   the relays reset the backoff of the watch on routes. */
static void
outage_backs_off_route_requests (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  run_until_ready (&group, start_without_relays (&group));
  run_for (&group, GBD_SECOND);
  fixture_set_switches (&group.fixture, "{\"down\":true}");
  int before = count_calls (&group, "config");
  run_for (&group, 20 * GBD_SECOND);
  int calls = count_calls (&group, "config") - before;
  print_message ("%d calls\n", calls);
  /* Seven requests while the pause doubles from 50 ms, then one per pause.
     With jitter, a pause is at least 2 s, half of the longest one. */
  assert_true (calls <= 7 + 20 / 2);
  close_group (&group);
}

static int
count_stale_calls (group_t *group, const char *kind)
{
  json_t *stats = platform_store_get_stats (group->fixture.store);
  json_t *kinds = json_object_get (stats, "lagging");
  int count = (int)json_integer_value (json_object_get (kinds, kind));
  json_decref (stats);
  return count;
}

static const gbd_pool_server_t *
find_server (group_t *group, gbd_backend_id_t id)
{
  const gbd_pool_t *pool
      = gbd_director_peek_pool (group->instances[0].serve.director);
  gbd_pool_handle_t handle = gbd_pool_find (pool, gbd_cookie_fingerprint (id));
  return handle == GBD_POOL_NONE ? NULL : gbd_pool_peek (pool, handle);
}

/* Creates the replica for stale reads and stops its updates. */
static void
freeze_replicas (group_t *group)
{
  platform_request_t request = { .verb = PLATFORM_GET,
                                 .kind = "servers",
                                 .name = "none",
                                 .allow_stale = true };
  platform_reply_t reply;
  fixture_set_switches (&group->fixture, "{\"lag_ms\":3600000}");
  platform_store_handle (group->fixture.store, &request, group->fixture.now,
                         &reply);
}

/* The list that a starting instance reads may be seconds old, to reduce the
   load on the platform.  Changes since then must be applied at once. */
static void
start_reads_a_stale_list_and_catches_up (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  freeze_replicas (&group);
  write_server (&group, 1, false);
  write_server (&group, SERVERS + 1, true);
  run_until_ready (&group, start_without_relays (&group));
  int pages = (SERVERS + PAGE_ITEMS - 1) / PAGE_ITEMS;
  assert_int_equal (count_stale_calls (&group, "servers"), 1 + pages);
  assert_int_equal (fixture_count_calls (&group.fixture, "servers", "list"),
                    pages);
  run_for (&group, GBD_SECOND);
  assert_int_equal (find_server (&group, 1)->entry.backend.state,
                    GBD_BACKEND_DRAINING);
  assert_non_null (find_server (&group, SERVERS + 1));
  close_group (&group);
}

/* Entries expire in an outage that ends just before an instance starts, so the
   instance learns only that they are deleted.  Their backend servers write
   them again within GBD_POOL_REMOVAL_GRACE. */
static void
entries_that_expired_before_a_start_have_a_grace_period (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  freeze_replicas (&group);
  delete_server (&group, 1);
  delete_server (&group, 2);
  const gbd_address_list_t no_relays = { .count = 0 };
  run_until_ready (&group, start_instance (&group, &no_relays, NULL));
  run_for (&group, GBD_SECOND);
  assert_true (find_server (&group, 1)->is_listed);
  assert_true (find_server (&group, 2)->is_listed);
  write_server (&group, 2, true);
  run_for (&group, GBD_POOL_REMOVAL_GRACE);
  assert_false (find_server (&group, 1)->is_listed);
  assert_true (find_server (&group, 2)->is_listed);
  close_group (&group);
}

static uint64_t
get_routes_version (const gbd_cookie_serve_t *serve)
{
  return gbd_routes_get_version (gbd_director_get_routes (serve->director));
}

/* Starts an instance that reads from the first instance's relay.
   @param relay_listen address of its own relay, or NULL */
static gbd_cookie_serve_t *
start_within_limit (group_t *group, const gbd_address_list_t *relays,
                    const gbd_address_t *relay_listen)
{
  gbd_cookie_serve_t *serve = start_instance (group, relays, relay_listen);
  gbd_time_t end = group->fixture.now + START_LIMIT;
  while (!gbd_director_is_ready (serve->director) && group->fixture.now < end)
    step (group);
  assert_true (gbd_director_is_ready (serve->director));
  assert_int_equal (
      gbd_pool_get_count (gbd_director_peek_pool (serve->director)), SERVERS);
  return serve;
}

/* Seen on a played day: the store was silent from 8 to 16 s, and processes
   that were killed at 11 s served nothing until it returned, although others
   held the key, the routes and the list. */
static void
reader_starts_while_the_platform_is_unreachable (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  write_key (&group);
  start_relay (&group);
  run_for (&group, GBD_SECOND);
  fixture_set_switches (&group.fixture, "{\"down\":true}");
  run_for (&group, 3 * GBD_SECOND);
  gbd_address_list_t relays = { .addresses = { group.relay }, .count = 1 };
  gbd_cookie_serve_t *reader = start_within_limit (&group, &relays, NULL);
  const gbd_pool_t *pool = gbd_director_peek_pool (reader->director);
  assert_true (gbd_pool_is_platform_unreachable (pool));
  assert_int_equal (get_routes_version (reader), 1);
  fixture_set_switches (&group.fixture, "{\"down\":false}");
  write_server (&group, SERVERS + 1, true);
  write_routes (&group, 2);
  run_for (&group, 5 * GBD_SECOND);
  assert_false (gbd_pool_is_platform_unreachable (pool));
  assert_int_equal (gbd_pool_get_count (pool), SERVERS + 1);
  assert_int_equal (get_routes_version (reader), 2);
  close_group (&group);
}

/* The reader's only relay has itself been restarted in the outage, and got
   everything from another relay. */
static void
restarted_relay_passes_on_an_outdated_list (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  write_key (&group);
  start_relay (&group);
  run_for (&group, GBD_SECOND);
  fixture_set_switches (&group.fixture, "{\"down\":true}");
  run_for (&group, 3 * GBD_SECOND);
  gbd_address_t second = choose_free_address ();
  gbd_address_list_t relays
      = { .addresses = { group.relay, second }, .count = 2 };
  start_within_limit (&group, &relays, &second);
  gbd_address_list_t only_second = { .addresses = { second }, .count = 1 };
  gbd_cookie_serve_t *reader = start_within_limit (&group, &only_second, NULL);
  assert_true (gbd_pool_is_platform_unreachable (
      gbd_director_peek_pool (reader->director)));
  close_group (&group);
}

/* All relays have been killed while the platform is unreachable.  A relay that
   starts must get everything from a reader that is still running. */
static void
relay_starts_from_its_reader (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  write_key (&group);
  gbd_address_t listen = choose_free_address ();
  group.relay = choose_free_address ();
  gbd_address_list_t relays = { .addresses = { group.relay }, .count = 1 };
  gbd_address_parse ("127.0.0.1:1", &relays.addresses[relays.count++]);
  run_until_ready (&group, start_instance (&group, &relays, &listen));
  run_for (&group, GBD_SECOND);
  fixture_set_switches (&group.fixture, "{\"down\":true}");
  run_for (&group, 3 * GBD_SECOND);
  gbd_cookie_serve_t *relay
      = start_within_limit (&group, &relays, &group.relay);
  const gbd_pool_t *pool = gbd_director_peek_pool (relay->director);
  assert_int_equal (gbd_pool_get_count (pool), SERVERS);
  assert_true (gbd_pool_is_platform_unreachable (pool));
  gbd_cookie_serve_t *reader = start_within_limit (&group, &relays, NULL);
  assert_int_equal (get_routes_version (reader), 1);
  fixture_set_switches (&group.fixture, "{\"down\":false}");
  write_server (&group, SERVERS + 1, true);
  run_for (&group, 5 * GBD_SECOND);
  assert_int_equal (gbd_pool_get_count (pool), SERVERS + 1);
  assert_false (gbd_pool_is_platform_unreachable (pool));
  close_group (&group);
}

/* Seen on a played day: all but two instances were killed while the store was
   silent.  One that had started from a relay just before had the list, but the
   relay was killed before it sent the routes; the other one had everything,
   and was about to stop when the relays started again. */
static void
state_survives_a_chain_of_short_lived_holders (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  write_key (&group);
  start_relay (&group);
  run_for (&group, GBD_SECOND);
  fixture_set_switches (&group.fixture, "{\"down\":true}");
  run_for (&group, 3 * GBD_SECOND);
  gbd_address_t listen = choose_free_address ();
  gbd_address_t second = choose_free_address ();
  gbd_address_list_t relays
      = { .addresses = { group.relay, second }, .count = 2 };
  gbd_cookie_serve_t *reader = start_within_limit (&group, &relays, &listen);
  stop_instance (&group.instances[0].serve);
  run_for (&group, GBD_SECOND);
  gbd_cookie_serve_t *relay = start_within_limit (&group, &relays, &second);
  assert_int_equal (get_routes_version (relay), 1);
  stop_instance (reader);
  start_within_limit (&group, &relays, NULL);
  close_group (&group);
}

static const gbd_pool_server_t *
find_server_of (const gbd_cookie_serve_t *serve, gbd_backend_id_t id)
{
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  gbd_pool_handle_t handle = gbd_pool_find (pool, gbd_cookie_fingerprint (id));
  return handle == GBD_POOL_NONE ? NULL : gbd_pool_peek (pool, handle);
}

/* Broke a flow on a played day: an entry expired in an outage, and the
   instances that learned this kept it for the removal grace period.  Relays
   that started from their lists in a second outage took it for an entry of the
   list's version, and never received its earlier deletion.  When its backend
   server wrote it again, a relay considered it unchanged and did not pass it
   on to readers that had removed it. */
static void
outdated_list_is_not_the_base_of_later_changes (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  write_key (&group);
  gbd_address_t listen = choose_free_address ();
  gbd_address_t second = choose_free_address ();
  group.relay = choose_free_address ();
  gbd_address_list_t relays
      = { .addresses = { group.relay, second }, .count = 2 };
  gbd_cookie_serve_t *reader = start_instance (&group, &relays, &listen);
  run_until_ready (&group, reader);
  fixture_set_switches (&group.fixture, "{\"down\":true}");
  run_for (&group, 5 * GBD_SECOND);
  delete_server (&group, 1);
  fixture_set_switches (&group.fixture, "{\"down\":false}");
  while (find_server_of (reader, 1)->removal_due == GBD_TIME_NEVER
         || find_server_of (reader, 1)->removal_due == INT64_MAX)
    step (&group);
  assert_true (find_server_of (reader, 1)->is_listed);

  fixture_set_switches (&group.fixture, "{\"down\":true}");
  run_until_ready (&group, start_instance (&group, &relays, &group.relay));
  gbd_cookie_serve_t *relay = start_instance (&group, &relays, &second);
  run_for (&group, 4 * GBD_SECOND);
  assert_true (find_server_of (relay, 1)->is_listed);
  assert_true (find_server_of (reader, 1)->is_listed);
  fixture_set_switches (&group.fixture, "{\"down\":false}");
  run_for (&group, 3 * GBD_SECOND + GBD_POOL_REMOVAL_GRACE);
  assert_false (find_server_of (reader, 1)->is_listed);
  assert_false (find_server_of (relay, 1)->is_listed);
  write_server (&group, 1, true);
  run_for (&group, GBD_SECOND);
  assert_true (find_server_of (reader, 1)->is_listed);
  assert_true (find_server_of (relay, 1)->is_listed);
  close_group (&group);
}

/* The store is restored from a copy in which server 1 is still ready, server 2
   has not ended yet, server SERVERS + 1 has not registered, the routes are old
   and the key does not exist. */
static void
restored_store_takes_nothing_back (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  fixture_set_switches (&group.fixture, "{\"save_copy\":true}");
  write_key (&group);
  gbd_cookie_serve_t *relay = start_relay (&group);
  gbd_cookie_serve_t *reader = start_reader (&group);
  write_server (&group, 1, false);
  delete_server (&group, 2);
  write_server (&group, SERVERS + 1, true);
  write_routes (&group, 2);
  run_for (&group, 3 * GBD_SECOND);
  uint64_t key = relay->key;
  fixture_set_switches (&group.fixture, "{\"restore\":true}");
  /* Revisions are given out again, beyond those before the restore. */
  for (uint64_t i = 10; i < 40; i++)
    write_server (&group, i, true);
  run_for (&group, GBD_SECOND);

  const gbd_cookie_serve_t *instances[] = { relay, reader };
  for (size_t i = 0; i < G_N_ELEMENTS (instances); i++)
    {
      const gbd_cookie_serve_t *serve = instances[i];
      assert_int_equal (get_routes_version (serve), 2);
      assert_int_equal (find_server_of (serve, 1)->entry.backend.state,
                        GBD_BACKEND_DRAINING);
      assert_true (gbd_suspicion_is_suspected (
          &find_server_of (serve, 2)->load.suspicion));
      /* It may still write its entry again. */
      assert_true (find_server_of (serve, SERVERS + 1)->is_listed);
      assert_non_null (find_server_of (serve, 39));
    }
  json_t *stored
      = fixture_read (&group.fixture, "gooseberrydrum", "cookie-key");
  assert_non_null (stored);
  assert_true (
      strtoull (json_string_value (json_object_get (stored, "key")), NULL, 16)
      == key);
  json_decref (stored);

  /* The operator writes the routes again; the server that does not is gone. */
  write_routes (&group, 3);
  run_for (&group, CONFIG_CHANGE_LIMIT);
  for (size_t i = 0; i < G_N_ELEMENTS (instances); i++)
    {
      assert_int_equal (get_routes_version (instances[i]), 3);
      assert_false (find_server_of (instances[i], SERVERS + 1)->is_listed);
      assert_true (find_server_of (instances[i], 39)->is_listed);
    }
  close_group (&group);
}

/* After a restore without the key, an instance that had started with another
   one has written that. */
static void
key_in_use_wins_after_a_restore (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  fixture_set_switches (&group.fixture, "{\"save_copy\":true}");
  write_key (&group);
  gbd_cookie_serve_t *relay = start_relay (&group);
  uint64_t key = relay->key;
  fixture_set_switches (&group.fixture, "{\"restore\":true}");
  fixture_write (&group.fixture, "gooseberrydrum", "cookie-key",
                 "{\"key\":\"2e\"}");
  run_for (&group, 2 * GBD_SECOND);
  json_t *stored
      = fixture_read (&group.fixture, "gooseberrydrum", "cookie-key");
  assert_true (
      strtoull (json_string_value (json_object_get (stored, "key")), NULL, 16)
      == key);
  json_decref (stored);
  close_group (&group);
}

/* The relay cannot reach the platform and has an old list, but the starting
   instance can: its list must be the platform's. */
static void
outdated_list_does_not_replace_that_of_the_platform (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  write_key (&group);
  gbd_cookie_serve_t *relay = start_relay (&group);
  run_for (&group, GBD_SECOND);
  gbd_platform_watch_delete (relay->servers_watch);
  relay->servers_watch = NULL;
  gbd_relay_disconnect (relay->relay);
  write_server (&group, 1, false);
  write_server (&group, SERVERS + 1, true);
  gbd_cookie_serve_t *reader = start_reader (&group);
  run_for (&group, 3 * GBD_SECOND);
  const gbd_pool_t *pool = gbd_director_peek_pool (reader->director);
  gbd_pool_handle_t handle = gbd_pool_find (pool, gbd_cookie_fingerprint (1));
  assert_int_equal (gbd_pool_get_count (pool), SERVERS + 1);
  assert_int_equal (gbd_pool_peek (pool, handle)->entry.backend.state,
                    GBD_BACKEND_DRAINING);
  assert_false (gbd_pool_is_platform_unreachable (pool));
  close_group (&group);
}

/* At the first start of a group of hundreds, each instance read routes and
   list from the platform and tried to create the key. */
static void
first_start_reads_little_from_the_platform (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  group.relay = choose_free_address ();
  gbd_address_list_t relays = { .addresses = { group.relay }, .count = 1 };
  group.instances[0].settings.first_start = true;
  gbd_cookie_serve_t *reader = start_instance (&group, &relays, NULL);
  run_for (&group, START_LIMIT);
  assert_false (gbd_director_is_ready (reader->director));
  assert_int_equal (count_calls (&group, "servers"), 0);
  assert_int_equal (count_calls (&group, "config"),
                    count_stale_calls (&group, "config"));
  assert_int_equal (
      fixture_count_calls (&group.fixture, "gooseberrydrum", "get"), 0);
  start_relay (&group);
  int calls = count_calls (&group, "servers");
  run_until_ready (&group, reader);
  assert_int_equal (reader->listing_count, 1);
  assert_true (count_calls (&group, "servers") - calls <= 1);
  assert_int_equal (
      fixture_count_calls (&group.fixture, "gooseberrydrum", "put"), 1);
  close_group (&group);
}

/* A change of the routes wakes every instance.  To limit the load on the
   store, readers of a relay watch the routes at a replica.  If the replica is
   stale, the relay's hint that newer routes exist must make the readers
   request them from the store within CONFIG_CHANGE_LIMIT. */
static void
routes_arrive_in_time_despite_a_stale_replica (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  gbd_cookie_serve_t *relay = start_relay (&group);
  gbd_cookie_serve_t *reader = start_reader (&group);
  run_for (&group, 5 * GBD_SECOND);
  for (int is_stale = 0; is_stale < 2; is_stale++)
    {
      if (is_stale)
        fixture_set_switches (&group.fixture, "{\"lag_ms\":3600000}");
      step (&group); /* creates the replica */
      int calls = count_calls (&group, "config");
      int stale_calls = count_stale_calls (&group, "config");
      uint64_t version = 2 + (uint64_t)is_stale;
      write_routes (&group, version);
      gbd_time_t end = group.fixture.now + CONFIG_CHANGE_LIMIT;
      while (get_routes_version (reader) < version && group.fixture.now < end)
        step (&group);
      assert_int_equal (get_routes_version (reader), version);
      assert_int_equal (get_routes_version (relay), version);
      run_for (&group, 2 * GBD_SECOND);
      calls = count_calls (&group, "config") - calls;
      stale_calls = count_stale_calls (&group, "config") - stale_calls;
      print_message ("%d calls, %d of them stale reads\n", calls, stale_calls);
      /* While the replica is up to date, only the relay makes requests at full
         cost. */
      assert_true (stale_calls > 0);
      assert_true (calls - stale_calls <= 2 + is_stale);
    }
  close_group (&group);
}

static int
count_full_calls (group_t *group, const char *kind)
{
  return count_calls (group, kind) - count_stale_calls (group, kind);
}

/* A relay that starts shortly after its reader does not know earlier changes.
   The reader must get these from the relay, in one listing, and make no more
   requests to the platform.  Hundreds of readers did so after a loss of
   power. */
static void
reader_that_predates_its_relay_lists_once_more (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  write_key (&group);
  freeze_replicas (&group);
  write_server (&group, 1, false);
  write_server (&group, SERVERS + 1, true);
  group.relay = choose_free_address ();
  gbd_cookie_serve_t *reader = start_reader (&group);
  int before = count_full_calls (&group, "servers");
  gbd_cookie_serve_t *relay = start_relay (&group);
  /* The relay's calls: pages of the list, and one watch a second. */
  gbd_time_t time = 5 * GBD_SECOND;
  run_for (&group, time);
  int calls = count_full_calls (&group, "servers") - before;
  print_message ("%d calls\n", calls);
  assert_true (calls <= (SERVERS + PAGE_ITEMS) / PAGE_ITEMS + 1
                            + (int)(time / GBD_SECOND));
  assert_int_equal (relay->listing_count, 1);
  assert_int_equal (reader->listing_count, 2);
  assert_ptr_not_equal (reader->clients[reader->sources.current],
                        reader->servers_platform);
  const gbd_pool_t *pool = gbd_director_peek_pool (reader->director);
  gbd_pool_handle_t handle = gbd_pool_find (pool, gbd_cookie_fingerprint (1));
  assert_int_equal (gbd_pool_get_count (pool), SERVERS + 1);
  assert_int_equal (gbd_pool_peek (pool, handle)->entry.backend.state,
                    GBD_BACKEND_DRAINING);
  close_group (&group);
}

/* A relay that gets its first list from another relay must detect within about
   a second that it has lost the platform, as any relay. */
static void
relay_that_starts_beside_another_polls_each_second (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  write_key (&group);
  start_relay (&group);
  run_for (&group, GBD_SECOND);
  gbd_address_t second = choose_free_address ();
  gbd_address_list_t relays
      = { .addresses = { group.relay, second }, .count = 2 };
  run_until_ready (&group, start_instance (&group, &relays, &second));
  run_for (&group, GBD_SECOND);
  int before = count_full_calls (&group, "servers");
  run_for (&group, 10 * GBD_SECOND);
  int calls = count_full_calls (&group, "servers") - before;
  print_message ("%d calls\n", calls);
  assert_true (calls >= 2 * 9);
  close_group (&group);
}

/* The requests of one instance to the platform time out for 20 s, while a
   relay keeps reporting that the routes of this instance are stale. */
static void
instance_with_timeouts_limits_its_requests (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  start_relay (&group);
  gbd_cookie_serve_t *reader = start_reader (&group);
  /* The first watch request is not a stale read. */
  write_routes (&group, 2);
  run_for (&group, 3 * GBD_SECOND);
  /* The replica is stale, and responses take longer than the reader's
     time-out. */
  fixture_set_switches (&group.fixture, "{\"lag_ms\":3600000,\"slow_ms\":50}");
  step (&group);
  reader->platform->settings.call_timeout_ms = 1;
  write_routes (&group, 3);
  gbd_platform_stats_t before;
  gbd_platform_stats_t after;
  gbd_platform_get_stats (reader->platform, &before);
  run_for (&group, 20 * GBD_SECOND);
  gbd_platform_get_stats (reader->platform, &after);
  print_message ("%d calls\n", (int)(after.calls - before.calls));
  assert_int_equal (get_routes_version (reader), 2);
  /* Seven requests while the pause doubles, and one each time the routes have
     been stale for 1.2 s, so that the instance gets them soon after the
     outage. */
  assert_true (after.calls - before.calls <= 7 + 20 * 10 / 12);
  reader->platform->settings.call_timeout_ms = 1000;
  run_for (&group, CONFIG_CHANGE_LIMIT);
  assert_int_equal (get_routes_version (reader), 3);
  close_group (&group);
}

/* A reader starts after a backend server has become warm.  Guards against a
   relay whose list still states the warm-up, so that the limit for cold
   servers would apply at each start of an instance. */
static void
list_for_a_later_reader_has_no_warm_up (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  const gbd_cookie_serve_t *relay = start_relay (&group);
  run_for (&group, 3 * GBD_SECOND);
  for (uint32_t left_ms = 4000; left_ms > 0; left_ms -= 1000)
    {
      write_server_in_warm_up (&group, SERVERS + 1, true, left_ms);
      run_for (&group, GBD_SECOND);
    }
  write_server (&group, SERVERS + 1, true);
  run_for (&group, GBD_SECOND);
  uint64_t changes = gbd_relay_get_change_count (relay->relay);
  const gbd_cookie_serve_t *reader = start_reader (&group);
  run_for (&group, 2 * GBD_SECOND);
  const gbd_pool_t *pool = gbd_director_peek_pool (reader->director);
  gbd_pool_handle_t handle
      = gbd_pool_find (pool, gbd_cookie_fingerprint (SERVERS + 1));
  assert_int_not_equal (handle, GBD_POOL_NONE);
  assert_int_equal (gbd_pool_peek (pool, handle)->entry.warm_at, 0);
  assert_int_equal (gbd_relay_get_change_count (relay->relay), changes);
  close_group (&group);
}

/* A new backend server updates its remaining warm-up time every second.
   Readers compute it themselves, so these updates need not be relayed. */
static void
unchanged_entries_are_not_relayed (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  gbd_cookie_serve_t *relay = start_relay (&group);
  gbd_cookie_serve_t *reader = start_reader (&group);
  run_for (&group, 3 * GBD_SECOND);
  write_server_in_warm_up (&group, SERVERS + 1, true, 4000);
  run_for (&group, GBD_SECOND);
  uint64_t changes = gbd_relay_get_change_count (relay->relay);
  for (uint32_t left_ms = 3000; left_ms > 0; left_ms -= 1000)
    {
      write_server_in_warm_up (&group, SERVERS + 1, true, left_ms);
      run_for (&group, GBD_SECOND);
    }
  assert_int_equal (gbd_relay_get_change_count (relay->relay), changes);
  const gbd_pool_server_t *server = find_server (&group, SERVERS + 1);
  assert_in_range (group.fixture.now - server->entry.warm_at, 0, GBD_SECOND);
  write_server (&group, SERVERS + 1, false);
  run_for (&group, GBD_SECOND);
  assert_int_equal (gbd_relay_get_change_count (relay->relay), changes + 1);
  const gbd_pool_t *pool = gbd_director_peek_pool (reader->director);
  gbd_pool_handle_t handle
      = gbd_pool_find (pool, gbd_cookie_fingerprint (SERVERS + 1));
  assert_int_equal (gbd_pool_peek (pool, handle)->entry.backend.state,
                    GBD_BACKEND_DRAINING);
  close_group (&group);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (outage_backs_off_route_requests),
    cmocka_unit_test (start_reads_a_stale_list_and_catches_up),
    cmocka_unit_test (entries_that_expired_before_a_start_have_a_grace_period),
    cmocka_unit_test (reader_starts_while_the_platform_is_unreachable),
    cmocka_unit_test (restarted_relay_passes_on_an_outdated_list),
    cmocka_unit_test (relay_starts_from_its_reader),
    cmocka_unit_test (state_survives_a_chain_of_short_lived_holders),
    cmocka_unit_test (outdated_list_is_not_the_base_of_later_changes),
    cmocka_unit_test (restored_store_takes_nothing_back),
    cmocka_unit_test (key_in_use_wins_after_a_restore),
    cmocka_unit_test (outdated_list_does_not_replace_that_of_the_platform),
    cmocka_unit_test (first_start_reads_little_from_the_platform),
    cmocka_unit_test (routes_arrive_in_time_despite_a_stale_replica),
    cmocka_unit_test (reader_that_predates_its_relay_lists_once_more),
    cmocka_unit_test (relay_that_starts_beside_another_polls_each_second),
    cmocka_unit_test (instance_with_timeouts_limits_its_requests),
    cmocka_unit_test (unchanged_entries_are_not_relayed),
    cmocka_unit_test (list_for_a_later_reader_has_no_warm_up),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
