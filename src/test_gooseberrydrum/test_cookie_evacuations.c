#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "gooseberrydrum/relay_codec.h"
#include "instances_fixture.h"

#define KIND "evacuations"
/* Requirement: the longest time until an instance applies an evacuation. */
#define BOUND (5 * GBD_SECOND)
/* A change is relayed at once: a response of the store and one of the relay,
   each within a step or two of the simulated clock. */
#define RELAYED_LIMIT (200 * GBD_MILLISECOND)
#define LOG_BYTES 65536
#define FROZEN_RELAYS GBD_ADDRESS_LIST_MAX
/* Port 1 (tcpmux), on which no process listens. */
#define UNREACHABLE "127.0.0.1:1"

static void
open_evacuating_group (group_t *group)
{
  open_group (group);
  group->evacuates = true;
  write_key (group);
}

static void
evacuate (group_t *group, const char *zone)
{
  fixture_write (&group->fixture, KIND, zone, "{}");
}

static void
return_zone (group_t *group, const char *zone)
{
  fixture_write (&group->fixture, KIND, zone, NULL);
}

static bool
has_evacuated (const gbd_cookie_serve_t *serve, const char *zone)
{
  return gbd_evacuations_contain (
      gbd_director_peek_evacuations (serve->director),
      gbd_zone_from_name (zone));
}

static bool
knows_set (const gbd_cookie_serve_t *serve)
{
  return gbd_director_peek_evacuations (serve->director)->is_known;
}

/* Runs until an instance has applied a change.
   @return the time that it took. */
static gbd_time_t
run_until (group_t *group, const gbd_cookie_serve_t *serve, const char *zone,
           bool is_evacuated)
{
  gbd_time_t start = group->fixture.now;
  while (has_evacuated (serve, zone) != is_evacuated)
    {
      assert_true (group->fixture.now - start <= BOUND);
      step (group);
    }
  gbd_time_t time = group->fixture.now - start;
  print_message ("zone %s %s after %d ms\n", zone,
                 is_evacuated ? "evacuated" : "returned",
                 (int)(time / GBD_MILLISECOND));
  return time;
}

static gbd_address_list_t
list_relays (const gbd_address_t *first, const gbd_address_t *second)
{
  gbd_address_list_t relays = { .addresses = { *first, *second }, .count = 2 };
  return relays;
}

/* Guards against a reader that learns late, or that reads the kind from the
   store although a relay responds. */
static void
relay_passes_a_change_on_at_once (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  gbd_cookie_serve_t *relay = start_relay (&group);
  gbd_cookie_serve_t *reader = start_reader (&group);
  run_for (&group, GBD_POOL_REMOVAL_GRACE + GBD_SECOND);
  assert_true (knows_set (relay) && knows_set (reader));
  int before = count_calls (&group, KIND);
  for (int round = 0; round < 3; round++)
    {
      evacuate (&group, "a");
      gbd_time_t time = run_until (&group, reader, "a", true);
      assert_true (time <= RELAYED_LIMIT);
      run_for (&group, GBD_SECOND);
      return_zone (&group, "a");
      time = run_until (&group, reader, "a", false);
      assert_true (time <= RELAYED_LIMIT);
      run_for (&group, GBD_SECOND);
    }
  int calls = count_calls (&group, KIND) - before;
  print_message ("%d calls\n", calls);
  /* One for each change and one a second, of the relay alone. */
  assert_true (calls <= 6 + 7);
  close_group (&group);
}

/* Guards against a set that ends with the relay that gave it. */
static void
next_relay_sends_the_set_when_one_fails (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  gbd_address_t first = choose_free_address ();
  gbd_address_t second = choose_free_address ();
  gbd_address_list_t relays = list_relays (&first, &second);
  run_until_ready (&group, start_instance (&group, &relays, &first));
  run_until_ready (&group, start_instance (&group, &relays, &second));
  gbd_cookie_serve_t *reader = start_instance (&group, &relays, NULL);
  run_until_ready (&group, reader);
  run_for (&group, 3 * GBD_SECOND);
  assert_false (gbd_cookie_servers_use_platform (reader));
  /* The order of the relays depends on the reader's name. */
  const gbd_platform_t *client = reader->clients[reader->sources.current];
  uint32_t dead
      = gbd_address_is_equal (&client->settings.platform, &first) ? 0 : 1;
  stop_instance (&group.instances[dead].serve);
  evacuate (&group, "a");
  run_until (&group, reader, "a", true);
  run_for (&group, 3 * GBD_SECOND);
  assert_false (gbd_cookie_servers_use_platform (reader));
  int before = count_calls (&group, KIND);
  run_for (&group, 3 * GBD_SECOND);
  assert_true (count_calls (&group, KIND) - before <= 4);
  close_group (&group);
}

/* Guards against readers that are left without a set when all relays are dead,
   and that go on reading from the store when one has returned. */
static void
reader_watches_the_store_while_no_relay_responds (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  gbd_address_t first = choose_free_address ();
  gbd_address_t second = choose_free_address ();
  gbd_address_list_t relays = list_relays (&first, &second);
  gbd_cookie_serve_t *relay = start_instance (&group, &relays, &first);
  run_until_ready (&group, relay);
  gbd_cookie_serve_t *reader = start_instance (&group, &relays, NULL);
  run_until_ready (&group, reader);
  run_for (&group, 2 * GBD_SECOND);
  assert_false (gbd_cookie_servers_use_platform (reader));
  stop_instance (relay);
  evacuate (&group, "a");
  run_until (&group, reader, "a", true);
  assert_true (gbd_cookie_servers_use_platform (reader));
  return_zone (&group, "a");
  run_until (&group, reader, "a", false);
  run_until_ready (&group, start_instance (&group, &relays, &second));
  /* The reader returns after its long poll at the store. */
  run_for (&group, 8 * GBD_SECOND);
  assert_false (gbd_cookie_servers_use_platform (reader));
  int before = count_calls (&group, KIND);
  run_for (&group, 5 * GBD_SECOND);
  int calls = count_calls (&group, KIND) - before;
  print_message ("%d calls\n", calls);
  assert_true (calls <= 6);
  evacuate (&group, "a");
  assert_true (run_until (&group, reader, "a", true) <= RELAYED_LIMIT);
  close_group (&group);
}

/* Faults of the store at the time of an evacuation, and how the store works
   again; the bound counts from then. */
typedef struct
{
  const char *label;
  const char *fault;
  const char *repair;
} fault_case_t;

static const fault_case_t fault_cases[] = {
  { "refuses", "{\"down\":true}", "{\"down\":false}" },
  { "silent", "{\"slow_ms\":60000}", "{\"slow_ms\":0}" },
  { "slow", "{\"slow_ms\":300}", "{\"slow_ms\":300}" },
  { "watches cut", "{\"cut_watches\":true}", "{\"cut_watches\":false}" },
  { "truncated responses", "{\"garble_answers\":6}", "{}" },
  { "history dropped", "{\"forget_history\":true}", "{}" },
  { "changes repeated", "{\"replay_watches\":true}", "{}" },
};

static void
evacuation_applies_despite_faults_of_the_store (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    {
      group_t group;
      open_evacuating_group (&group);
      start_relay (&group);
      gbd_cookie_serve_t *reader = start_reader (&group);
      evacuate (&group, "b");
      run_for (&group, 2 * GBD_SECOND);
      assert_true (has_evacuated (reader, "b"));
      fixture_set_switches (&group.fixture, fault_cases[i].fault);
      evacuate (&group, "a");
      return_zone (&group, "c");
      run_for (&group, 3 * GBD_SECOND);
      /* Until the store responds, the last known set applies. */
      assert_true (has_evacuated (reader, "b"));
      fixture_set_switches (&group.fixture, fault_cases[i].repair);
      gbd_time_t time = run_until (&group, reader, "a", true);
      print_message ("%s: %d ms\n", fault_cases[i].label,
                     (int)(time / GBD_MILLISECOND));
      assert_true (has_evacuated (reader, "b"));
      return_zone (&group, "b");
      run_until (&group, reader, "b", false);
      assert_true (has_evacuated (reader, "a"));
      close_group (&group);
    }
}

/* Guards against an evacuation that waits for the watch on the servers. */
static void
hung_watch_on_the_servers_does_not_hold_the_set_up (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  gbd_cookie_serve_t *relay = start_relay (&group);
  gbd_cookie_serve_t *reader = start_reader (&group);
  run_for (&group, 2 * GBD_SECOND);
  gbd_platform_watch_delete (relay->servers_watch);
  relay->servers_watch = NULL;
  evacuate (&group, "a");
  assert_true (run_until (&group, reader, "a", true) <= RELAYED_LIMIT);
  /* The relay rejects its readers, which may get the set all the same. */
  gbd_relay_disconnect (relay->relay);
  return_zone (&group, "a");
  run_until (&group, reader, "a", false);
  close_group (&group);
}

/* Guards against a reader that the store rejects and that learns nothing from
   its relay, whose watch on the servers has failed. */
static void
rejection_of_a_relay_contains_the_set (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  gbd_cookie_serve_t *relay = start_relay (&group);
  gbd_address_t platform = group.fixture.address;
  gbd_address_parse (UNREACHABLE, &group.fixture.address);
  gbd_cookie_serve_t *reader = start_reader (&group);
  group.fixture.address = platform;
  run_for (&group, 3 * GBD_SECOND);
  gbd_platform_watch_delete (relay->servers_watch);
  relay->servers_watch = NULL;
  gbd_relay_disconnect (relay->relay);
  evacuate (&group, "a");
  run_until (&group, reader, "a", true);
  return_zone (&group, "a");
  run_until (&group, reader, "a", false);
  close_group (&group);
}

/* Guards against an instance that never learns the set, because its relay is
   of an earlier release or has the setting off. */
static void
reader_of_a_relay_without_the_set_watches_the_store (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  group.evacuates = false;
  start_relay (&group);
  group.evacuates = true;
  gbd_cookie_serve_t *reader = start_reader (&group);
  run_for (&group, 2 * GBD_SECOND);
  assert_false (gbd_cookie_servers_use_platform (reader));
  evacuate (&group, "a");
  run_until (&group, reader, "a", true);
  close_group (&group);
}

/* The relay can read the servers, but its requests for the evacuations fail.
   Guards against readers that take its outdated set for the present one. */
static void
relay_whose_watch_fails_sends_no_set (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  gbd_cookie_serve_t *relay = start_relay (&group);
  gbd_cookie_serve_t *reader = start_reader (&group);
  evacuate (&group, "b");
  run_for (&group, 2 * GBD_SECOND);
  gbd_address_parse (UNREACHABLE, &relay->settings->platform);
  gbd_cookie_evacuations_stop (relay);
  const char *error = NULL;
  assert_true (gbd_cookie_evacuations_start (relay, &error));
  run_for (&group, 5 * GBD_SECOND);
  assert_true (has_evacuated (reader, "b"));
  assert_false (gbd_cookie_servers_use_platform (reader));
  evacuate (&group, "a");
  run_until (&group, reader, "a", true);
  close_group (&group);
}

/* Guards against flows to an evacuated zone because the store lost the entry
   in a restore, until the operator has written it again. */
static void
restored_store_does_not_end_an_evacuation_at_once (void **state)
{
  (void)state;
  for (int is_written_again = 0; is_written_again < 2; is_written_again++)
    {
      group_t group;
      open_evacuating_group (&group);
      fixture_set_switches (&group.fixture, "{\"save_copy\":true}");
      start_relay (&group);
      gbd_cookie_serve_t *reader = start_reader (&group);
      evacuate (&group, "a");
      run_for (&group, 2 * GBD_SECOND);
      fixture_set_switches (&group.fixture, "{\"restore\":true}");
      for (uint64_t i = 10; i < 40; i++)
        write_server (&group, i, true);
      gbd_time_t end = group.fixture.now + 1900 * GBD_MILLISECOND;
      gbd_cookie_serve_t *late = NULL;
      while (group.fixture.now < end)
        {
          step (&group);
          assert_true (has_evacuated (reader, "a"));
          /* An instance that starts now gets the set of the relay. */
          if (!late && end - group.fixture.now < GBD_SECOND)
            {
              late = start_reader (&group);
              run_for (&group, 100 * GBD_MILLISECOND);
              assert_true (has_evacuated (late, "a"));
            }
        }
      if (is_written_again)
        evacuate (&group, "a");
      for (end += 3 * GBD_SECOND; group.fixture.now < end;)
        {
          step (&group);
          assert_true (!is_written_again || has_evacuated (reader, "a"));
        }
      assert_int_equal (has_evacuated (reader, "a"), is_written_again);
      assert_int_equal (has_evacuated (late, "a"), is_written_again);
      close_group (&group);
    }
}

/* Guards against an instance that starts while the store is away and sends
   flows to an evacuated zone, though a relay or a holder knows the set. */
static void
instances_that_start_in_an_outage_get_the_set (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  gbd_address_t listen = choose_free_address ();
  group.relay = choose_free_address ();
  gbd_address_list_t relays = { .addresses = { group.relay }, .count = 1 };
  gbd_address_parse ("127.0.0.1:1", &relays.addresses[relays.count++]);
  evacuate (&group, "a");
  gbd_cookie_serve_t *holder = start_instance (&group, &relays, &listen);
  run_until_ready (&group, holder);
  run_for (&group, GBD_SECOND);
  assert_true (has_evacuated (holder, "a"));
  fixture_set_switches (&group.fixture, "{\"down\":true}");
  run_for (&group, 3 * GBD_SECOND);
  gbd_cookie_serve_t *relay = start_instance (&group, &relays, &group.relay);
  run_until_ready (&group, relay);
  assert_true (has_evacuated (relay, "a"));
  gbd_cookie_serve_t *reader = start_instance (&group, &relays, NULL);
  run_until_ready (&group, reader);
  assert_true (has_evacuated (reader, "a"));
  /* It ended, and another one began, in the outage. */
  return_zone (&group, "a");
  evacuate (&group, "b");
  run_for (&group, 2 * GBD_SECOND);
  assert_true (has_evacuated (reader, "a"));
  fixture_set_switches (&group.fixture, "{\"down\":false}");
  run_until (&group, reader, "b", true);
  run_until (&group, reader, "a", false);
  close_group (&group);
}

/* Guards against requests to the store in an outage that grow with the number
   of readers: these leave the store to their relay. */
static void
readers_spare_the_store_in_an_outage (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  start_relay (&group);
  gbd_cookie_serve_t *reader = start_reader (&group);
  run_for (&group, 2 * GBD_SECOND);
  fixture_set_switches (&group.fixture, "{\"down\":true}");
  run_for (&group, 2 * GBD_SECOND);
  gbd_platform_stats_t before;
  gbd_platform_stats_t after;
  gbd_cookie_evacuations_get_calls (reader, &before);
  run_for (&group, 20 * GBD_SECOND);
  gbd_cookie_evacuations_get_calls (reader, &after);
  print_message ("%d calls\n", (int)(after.calls - before.calls));
  assert_true (after.calls - before.calls <= 2);
  close_group (&group);
}

/* Guards against any effect of the setting where it is off. */
static void
nothing_is_requested_or_sent_without_the_setting (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  group.evacuates = false;
  gbd_cookie_serve_t *relay = start_relay (&group);
  gbd_cookie_serve_t *reader = start_reader (&group);
  evacuate (&group, "a");
  run_for (&group, 5 * GBD_SECOND);
  assert_int_equal (count_calls (&group, KIND), 0);
  assert_false (knows_set (relay) || knows_set (reader));
  unsigned status;
  uint64_t since = reader->list_version;
  const size_t lengths[]
      = { GBD_RELAY_LISTING_LENGTH, GBD_RELAY_CHANGES_LENGTH };
  for (int i = 0; i < 2; i++)
    {
      const GByteArray *body = gbd_relay_build_response (
          relay->relay, i ? &since : NULL, false, NULL, &status);
      json_t *message = gbd_relay_unpack (body->data, body->len);
      assert_int_equal (json_array_size (message), lengths[i]);
      json_decref (message);
    }
  json_t *fields = gbd_cookie_admin_callbacks.status (reader);
  assert_non_null (fields);
  assert_null (json_object_get (fields, "evacuated_zones"));
  json_decref (fields);
  close_group (&group);
}

/* Guards against an evacuation that is not applied because its value is not
   the documented one, and against an instance that a relay's malformed set
   misleads. */
static void
bad_values_neither_end_nor_prevent_an_evacuation (void **state)
{
  (void)state;
  static const char *const values[] = { "5", "\"x\"", "[]", "{\"a\":1}" };
  static const char *const sets[]
      = { "null",     "5",       "[]",         "[1]",
          "[1,null]", "[-1,[]]", "[\"1\",[]]", "[9223372036854775807]",
          "[99,[1]]", "[99,{}]", "[0,[]]",     "{\"a\":1}" };
  group_t group;
  open_evacuating_group (&group);
  gbd_cookie_serve_t *relay = start_relay (&group);
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      fixture_write (&group.fixture, KIND, "a", values[i]);
      run_until (&group, relay, "a", true);
      for (size_t j = 0; j < G_N_ELEMENTS (sets); j++)
        {
          json_t *set = json_loads (sets[j], JSON_DECODE_ANY, NULL);
          gbd_cookie_evacuations_receive (relay, set);
          json_decref (set);
          assert_true (has_evacuated (relay, "a"));
        }
      return_zone (&group, "a");
      run_until (&group, relay, "a", false);
    }
  close_group (&group);
}

/* Guards against an object without spec that counts as deleted. */
static void
object_without_spec_exists (void **state)
{
  (void)state;
  json_t *body = json_loads ("{\"at_revision\":7,\"items\":["
                             "{\"meta\":{\"name\":\"a\",\"mod_revision\":5}},"
                             "{\"meta\":{\"name\":\"b\",\"mod_revision\":6},"
                             "\"spec\":null}]}",
                             0, NULL);
  json_t *native = gbd_platform_api_objects.translate (body);
  json_t *items = json_object_get (native, "items");
  assert_int_equal (json_array_size (items), 2);
  for (size_t i = 0; i < 2; i++)
    assert_true (
        json_is_object (json_object_get (json_array_get (items, i), "value")));
  json_decref (native);
}

/* Counts the lines of the log that contain both texts. */
static int
count_lines (const char *log, const char *event, const char *text)
{
  int count = 0;
  char **lines = g_strsplit (log, "\n", -1);
  for (char **line = lines; *line; line++)
    count += strstr (*line, event) && strstr (*line, text);
  g_strfreev (lines);
  return count;
}

/* Guards against an operator who misspells a zone and is not told. */
static void
events_tell_what_is_evacuated (void **state)
{
  (void)state;
  group_t group;
  int ends[2];
  static char log[LOG_BYTES];
  memset (log, 0, sizeof log);
  assert_int_equal (pipe (ends), 0);
  open_evacuating_group (&group);
  group.log_fd = ends[1];
  gbd_cookie_serve_t *relay = start_relay (&group);
  evacuate (&group, "a");
  evacuate (&group, "nowhere");
  run_for (&group, 3 * GBD_SECOND);
  json_t *status = gbd_cookie_admin_callbacks.status (relay);
  assert_int_equal (
      json_array_size (json_object_get (status, "evacuated_zones")), 2);
  json_decref (status);
  return_zone (&group, "a");
  run_for (&group, GBD_SECOND);
  gbd_event_log_flush (relay->event_log);
  assert_true (read (ends[0], log, sizeof log - 1) > 0);
  print_message ("%s", log);
  assert_int_equal (count_lines (log, "\"ZONE_EVACUATED\"", "\"a\""), 1);
  assert_int_equal (count_lines (log, "\"ZONE_EVACUATED\"", "\"nowhere\""), 1);
  assert_int_equal (count_lines (log, "\"ZONE_RETURNED\"", "\"a\""), 1);
  assert_int_equal (
      count_lines (log, "\"UNKNOWN_ZONE\"", "\"server_zones\":[\"a\"]"), 1);
  assert_int_equal (count_lines (log, "\"UNKNOWN_ZONE\"", "name"), 1);
  close_group (&group);
  close (ends[0]);
  close (ends[1]);
}

/* Guards against a log that is filled by the tries of the watch, or by the
   responses that repeat a set with too many zones. */
static void
lasting_troubles_are_logged_once (void **state)
{
  (void)state;
  group_t group;
  int ends[2];
  static char log[LOG_BYTES];
  memset (log, 0, sizeof log);
  assert_int_equal (pipe (ends), 0);
  open_evacuating_group (&group);
  group.log_fd = ends[1];
  gbd_cookie_serve_t *relay = start_relay (&group);
  for (int i = 0; i <= GBD_EVACUATIONS_MAX; i++)
    {
      char zone[GBD_NAME_MAX + 1];
      g_snprintf (zone, sizeof zone, "zone-%d", i);
      evacuate (&group, zone);
    }
  run_for (&group, 5 * GBD_SECOND);
  gbd_event_log_flush (relay->event_log);
  for (int outage = 0; outage < 2; outage++)
    {
      fixture_set_switches (&group.fixture, "{\"down\":true}");
      run_for (&group, 10 * GBD_SECOND);
      fixture_set_switches (&group.fixture, "{\"down\":false}");
      run_for (&group, 5 * GBD_SECOND);
    }
  gbd_event_log_flush (relay->event_log);
  assert_true (read (ends[0], log, sizeof log - 1) > 0);
  int lost = count_lines (log, "\"PLATFORM_LOST\"", "\"" KIND "\"");
  int too_many = count_lines (log, "\"BAD_OBJECT\"", "\"" KIND "\"");
  print_message ("%d losses, %d times too many zones\n", lost, too_many);
  assert_int_equal (lost, 2);
  assert_int_equal (too_many, 1);
  close_group (&group);
  close (ends[0]);
  close (ends[1]);
}

/* A process that was paused for 10 s applies what changed meanwhile before it
   sends an opening packet.  Guards against the old set after the pause, and
   against openings that stay held back when the sources respond. */
static void
paused_instance_asks_before_it_places_flows (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  start_relay (&group);
  gbd_cookie_serve_t *reader = start_reader (&group);
  run_for (&group, 2 * GBD_SECOND);
  gbd_packet_t packet = { .kind = GBD_PACKET_OPENING };
  gbd_address_parse ("100.64.0.7:40001", &packet.flow.caller);
  gbd_address_parse ("198.18.0.1:80", &packet.flow.service);
  gbd_director_decision_t decision;
  gbd_director_route (reader->director, &packet, group.fixture.now, &decision);
  assert_int_equal (decision.kind, GBD_ACTION_BACKEND);
  reader->is_done = true; /* no ticks */
  evacuate (&group, "a");
  gbd_time_t end = group.fixture.now + 10 * GBD_SECOND;
  while (group.fixture.now < end)
    {
      group.fixture.now += FIXTURE_STEP;
      platform_server_tick (group.fixture.server, group.fixture.now);
      gbd_cookie_serve_t *relay = &group.instances[0].serve;
      gbd_cookie_store_tick (relay, group.fixture.now);
      gbd_cookie_servers_tick (relay, group.fixture.now);
      gbd_director_tick (relay->director, group.fixture.now);
    }
  reader->is_done = false;
  gbd_time_t resumed = group.fixture.now;
  do
    {
      gbd_director_route (reader->director, &packet, group.fixture.now,
                          &decision);
      assert_int_not_equal (decision.kind, GBD_ACTION_BACKEND);
      step (&group);
    }
  while (decision.kind == GBD_ACTION_DROP);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_EVACUATED);
  assert_true (group.fixture.now - resumed <= GBD_SECOND);
  close_group (&group);
}

/* A response that was sent before the pause, to a request that the pause does
   not renew, tells nothing of the time since.  Guards against flows to a zone
   that was evacuated during the pause. */
static void
response_from_before_a_pause_confirms_nothing (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  start_relay (&group);
  gbd_cookie_serve_t *reader = start_reader (&group);
  run_for (&group, 2 * GBD_SECOND);
  gbd_packet_t packet = { .kind = GBD_PACKET_OPENING };
  gbd_address_parse ("100.64.0.7:40001", &packet.flow.caller);
  gbd_address_parse ("198.18.0.1:80", &packet.flow.service);
  uint64_t position
      = gbd_director_peek_evacuations (reader->director)->position;
  gbd_time_t requested_at = group.fixture.now;
  gbd_time_t resumed_at = requested_at + 10 * GBD_SECOND;
  gbd_director_tick (reader->director, resumed_at);
  gbd_cookie_evacuations_tick (reader, resumed_at);
  gbd_director_decision_t decision;
  json_t *set = json_pack ("[I, []]", (json_int_t)position);
  gbd_cookie_evacuations_receive (reader, set);
  json_decref (set);
  assert_false (gbd_cookie_evacuations_confirm (reader, requested_at));
  gbd_director_route (reader->director, &packet, resumed_at, &decision);
  assert_int_equal (decision.kind, GBD_ACTION_DROP);
  assert_true (gbd_cookie_evacuations_confirm (reader, resumed_at));
  gbd_director_route (reader->director, &packet, resumed_at, &decision);
  assert_int_equal (decision.kind, GBD_ACTION_BACKEND);
  close_group (&group);
}

/* Runs two event loops, one of which can stop, as in a frozen process. */
static void
run_with (group_t *group, struct lws_context *other, gbd_time_t time)
{
  gbd_time_t end = group->fixture.now + time;
  while (group->fixture.now < end)
    {
      for (int i = 0; i < LOOP_COUNT; i++)
        {
          lws_cancel_service (other);
          lws_service (other, 0);
          lws_cancel_service (group->fixture.context);
          lws_service (group->fixture.context, 0);
        }
      step (group);
    }
}

/* An instance was paused, and its three relays are frozen.  Guards against
   flows to a zone that was evacuated meanwhile, until the instance has given
   up all relays and asks the store. */
static void
paused_instance_with_frozen_relays_asks_the_store (void **state)
{
  (void)state;
  group_t group;
  open_evacuating_group (&group);
  struct lws_context_creation_info info
      = { .port = CONTEXT_PORT_NO_LISTEN,
          .options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS };
  struct lws_context *other = lws_create_context (&info);
  struct lws_context *own = group.fixture.context;
  gbd_address_list_t relays = { .count = FROZEN_RELAYS };
  for (uint32_t i = 0; i < FROZEN_RELAYS; i++)
    relays.addresses[i] = choose_free_address ();
  group.fixture.context = other;
  for (uint32_t i = 0; i < FROZEN_RELAYS; i++)
    start_instance (&group, &relays, &relays.addresses[i]);
  group.fixture.context = own;
  run_with (&group, other, 2 * GBD_SECOND);
  gbd_cookie_serve_t *reader = start_instance (&group, &relays, NULL);
  run_with (&group, other, 3 * GBD_SECOND);
  gbd_packet_t packet = { .kind = GBD_PACKET_OPENING };
  gbd_address_parse ("100.64.0.7:40001", &packet.flow.caller);
  gbd_address_parse ("198.18.0.1:80", &packet.flow.service);
  gbd_director_decision_t decision;
  gbd_director_route (reader->director, &packet, group.fixture.now, &decision);
  assert_int_equal (decision.kind, GBD_ACTION_BACKEND);
  assert_false (gbd_cookie_servers_use_platform (reader));
  for (uint32_t i = 0; i < FROZEN_RELAYS; i++)
    group.instances[i].serve.is_done = true;
  evacuate (&group, "a");
  group.fixture.now += 10 * GBD_SECOND;
  gbd_time_t resumed = group.fixture.now;
  do
    {
      gbd_director_route (reader->director, &packet, group.fixture.now,
                          &decision);
      assert_int_not_equal (decision.kind, GBD_ACTION_BACKEND);
      step (&group);
    }
  while (decision.kind == GBD_ACTION_DROP);
  print_message ("zone known after %d ms\n",
                 (int)((group.fixture.now - resumed) / GBD_MILLISECOND));
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_EVACUATED);
  for (uint32_t i = 0; i < FROZEN_RELAYS; i++)
    group.instances[i].serve.is_done = false;
  close_group (&group);
  lws_context_destroy (other);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (relay_passes_a_change_on_at_once),
    cmocka_unit_test (next_relay_sends_the_set_when_one_fails),
    cmocka_unit_test (reader_watches_the_store_while_no_relay_responds),
    cmocka_unit_test (evacuation_applies_despite_faults_of_the_store),
    cmocka_unit_test (hung_watch_on_the_servers_does_not_hold_the_set_up),
    cmocka_unit_test (rejection_of_a_relay_contains_the_set),
    cmocka_unit_test (reader_of_a_relay_without_the_set_watches_the_store),
    cmocka_unit_test (relay_whose_watch_fails_sends_no_set),
    cmocka_unit_test (restored_store_does_not_end_an_evacuation_at_once),
    cmocka_unit_test (instances_that_start_in_an_outage_get_the_set),
    cmocka_unit_test (readers_spare_the_store_in_an_outage),
    cmocka_unit_test (nothing_is_requested_or_sent_without_the_setting),
    cmocka_unit_test (bad_values_neither_end_nor_prevent_an_evacuation),
    cmocka_unit_test (object_without_spec_exists),
    cmocka_unit_test (events_tell_what_is_evacuated),
    cmocka_unit_test (lasting_troubles_are_logged_once),
    cmocka_unit_test (paused_instance_asks_before_it_places_flows),
    cmocka_unit_test (paused_instance_with_frozen_relays_asks_the_store),
    cmocka_unit_test (response_from_before_a_pause_confirms_nothing)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
