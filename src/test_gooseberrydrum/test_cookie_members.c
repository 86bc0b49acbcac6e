#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <syslog.h>
#include <unistd.h>

#include "gooseberrydrum/cookie_serve.h"
#include "gooseberrydrum/platform_http.h"
#include "gooseberrydrum/relay_codec.h"
#include "platform/standin/objects_form.h"
#include "free_address.h"
#include "platform_fixture.h"

#define PAGE_ITEMS 3
#define INSTANCES_MAX 12
#define RELAYS 2
#define LOOP_COUNT 12
#define READ_BYTES 65536
/* Time in which an instance learns of another one that joins. */
#define JOIN_TIME (3 * GBD_SECOND)
/* Time in which it learns of one that stops: its entry expires, and up to a
   second each passes until the next exchange and the next response. */
#define LEAVE_TIME (GBD_MEMBERS_VALIDITY + 2 * GBD_SECOND)
/* Time in which the view is complete after a start. */
#define START_TIME (GBD_MEMBERS_SETTLING + 2 * GBD_SECOND)

typedef struct
{
  gbd_settings_t settings;
  gbd_cookie_serve_t serve;
  /* Each instance has its own event loop: its sockets are closed when it
     stops, and do not respond while it is paused. */
  struct lws_context *context;
  bool is_paused;
} instance_t;

typedef struct
{
  fixture_t fixture;
  instance_t instances[INSTANCES_MAX];
  uint32_t count;
  gbd_address_list_t relays;
  bool is_off; /* the setting of instances that start */
  int log_fd;  /* of instances that start; -1: no log */
} group_t;

static fixture_t *clock_fixture;

static gbd_time_t
read_clock (void *data)
{
  (void)data;
  return clock_fixture->now;
}

static void
open_group (group_t *group)
{
  const world_object_format_t *format = &world_object_format_objects;
  world_route_description_t route = { "198.18.0.1", 80, "web" };
  world_server_description_t server = { .service = "web",
                                        .address = "10.0.0.1:80",
                                        .zone = "a",
                                        .slots = 2,
                                        .is_ready = true };
  char name[GBD_NAME_MAX + 1];
  memset (group, 0, sizeof *group);
  fixture_t *fixture = &group->fixture;
  fixture_open (fixture, 0);
  platform_server_add_api (fixture->server, &platform_server_api_objects,
                           PAGE_ITEMS);
  clock_fixture = fixture;
  group->log_fd = -1;
  format->format_server_name (1, name, sizeof name);
  platform_store_write (fixture->store, format->servers_kind, name,
                        format->describe_server (&server));
  platform_store_write (fixture->store, format->routes_kind,
                        format->routes_name,
                        format->describe_routes (1, &route, 1));
  fixture_write (fixture, "gooseberrydrum", "cookie-key", "{\"key\":\"1f\"}");
  for (int i = 0; i < RELAYS; i++)
    group->relays.addresses[group->relays.count++] = choose_free_address ();
}

static void
serve_sockets (struct lws_context *context)
{
  lws_cancel_service (context);
  lws_service (context, 0);
}

static bool
is_running (const instance_t *instance)
{
  return !instance->serve.is_done && !instance->is_paused;
}

static void
step (group_t *group)
{
  fixture_t *fixture = &group->fixture;
  for (int round = 0; round < LOOP_COUNT; round++)
    {
      serve_sockets (fixture->context);
      for (uint32_t i = 0; i < group->count; i++)
        if (is_running (&group->instances[i]))
          serve_sockets (group->instances[i].context);
    }
  fixture->now += FIXTURE_STEP;
  platform_server_tick (fixture->server, fixture->now);
  for (uint32_t i = 0; i < group->count; i++)
    {
      gbd_cookie_serve_t *serve = &group->instances[i].serve;
      if (!is_running (&group->instances[i]))
        continue;
      gbd_cookie_store_tick (serve, fixture->now);
      gbd_cookie_servers_tick (serve, fixture->now);
      gbd_director_tick (serve->director, fixture->now);
    }
}

static void
run_for (group_t *group, gbd_time_t time)
{
  gbd_time_t end = group->fixture.now + time;
  while (group->fixture.now < end)
    step (group);
}

static gbd_cookie_serve_t *
start_instance (group_t *group, const char *zone, const gbd_address_t *listen)
{
  fixture_t *fixture = &group->fixture;
  assert_true (group->count < INSTANCES_MAX);
  instance_t *instance = &group->instances[group->count++];
  gbd_settings_t *settings = &instance->settings;
  gbd_cookie_serve_t *serve = &instance->serve;
  g_snprintf (settings->name, sizeof settings->name, "entry-%u", group->count);
  g_strlcpy (settings->zone, zone, sizeof settings->zone);
  settings->platform_form = "objects";
  settings->policy = GBD_POLICY_COOKIE;
  settings->platform = fixture->address;
  settings->relays = group->relays;
  settings->relay_listen = *listen;
  settings->group_view = !group->is_off;
  gbd_director_settings_t director
      = { .zone = gbd_zone_from_name (zone), .flow_capacity = 64 };
  serve->settings = settings;
  struct lws_context_creation_info info
      = { .port = CONTEXT_PORT_NO_LISTEN,
          .options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS };
  instance->context = lws_create_context (&info);
  serve->context = instance->context;
  serve->clock = read_clock;
  serve->started_at = fixture->now;
  serve->event_log = gbd_event_log_new (group->log_fd, settings->name,
                                        LOG_NOTICE, fixture->now);
  serve->director = gbd_director_new (&director);
  const char *error = NULL;
  assert_true (gbd_cookie_store_start (serve, &error));
  return serve;
}

static gbd_cookie_serve_t *
start_relay (group_t *group, uint32_t relay, const char *zone)
{
  return start_instance (group, zone, &group->relays.addresses[relay]);
}

static gbd_cookie_serve_t *
start_reader (group_t *group, const char *zone)
{
  gbd_address_t listen = choose_free_address ();
  return start_instance (group, zone, &listen);
}

static void
stop_instance (gbd_cookie_serve_t *serve)
{
  gbd_cookie_servers_stop (serve);
  gbd_platform_watch_delete (serve->routes_watch);
  gbd_platform_delete (serve->platform);
  lws_context_destroy (serve->context);
  serve->is_done = true;
}

static void
close_group (group_t *group)
{
  for (uint32_t i = 0; i < group->count; i++)
    {
      gbd_cookie_serve_t *serve = &group->instances[i].serve;
      if (!serve->is_done)
        stop_instance (serve);
      gbd_director_delete (serve->director);
      gbd_event_log_delete (serve->event_log);
    }
  fixture_close (&group->fixture);
}

static const gbd_group_view_t *
get_view (const gbd_cookie_serve_t *serve)
{
  return gbd_director_get_group (serve->director);
}

/* Asserts that all running instances know the group, and that the ranks of
   each zone are distinct and dense. */
static void
assert_group_is_known (group_t *group)
{
  uint32_t total = 0;
  for (uint32_t i = 0; i < group->count; i++)
    total += is_running (&group->instances[i]);
  for (uint32_t i = 0; i < group->count; i++)
    {
      const instance_t *instance = &group->instances[i];
      if (!is_running (instance))
        continue;
      uint32_t zone_count = 0;
      uint32_t same_rank = 0;
      const gbd_group_view_t *view = get_view (&instance->serve);
      for (uint32_t j = 0; j < group->count; j++)
        {
          const instance_t *other = &group->instances[j];
          if (!is_running (other)
              || strcmp (other->settings.zone, instance->settings.zone) != 0)
            continue;
          zone_count++;
          same_rank += get_view (&other->serve)->zone_rank == view->zone_rank;
        }
      assert_int_equal (view->total, total);
      assert_int_equal (view->zone_count, zone_count);
      assert_true (view->zone_rank < zone_count);
      assert_int_equal (same_rank, 1);
    }
}

static void
assert_all_totals (group_t *group, uint32_t total)
{
  for (uint32_t i = 0; i < group->count; i++)
    if (!group->instances[i].serve.is_done)
      assert_int_equal (get_view (&group->instances[i].serve)->total, total);
}

/* Starts two relays and six readers of three zones; the zone names need
   percent-encoding. */
static void
start_group (group_t *group)
{
  static const char *const zones[] = { "a", "b&c=d", "e/f%" };
  open_group (group);
  for (uint32_t i = 0; i < RELAYS; i++)
    start_relay (group, i, zones[i]);
  for (uint32_t i = 0; i < 6; i++)
    start_reader (group, zones[i % 3]);
  run_for (group, START_TIME);
}

static void
readers_of_several_zones_learn_their_ranks (void **state)
{
  (void)state;
  group_t group;
  start_group (&group);
  assert_group_is_known (&group);
  /* Instances join. */
  start_reader (&group, "a");
  start_reader (&group, "new");
  run_for (&group, JOIN_TIME);
  assert_group_is_known (&group);
  close_group (&group);
}

/* The number of requests between relays must not depend on the number of
   readers, and nothing may be written to the store. */
static void
relays_ask_each_other_once_a_second (void **state)
{
  (void)state;
  group_t group;
  start_group (&group);
  gbd_cookie_members_stats_t before[RELAYS];
  gbd_cookie_members_stats_t after;
  int writes = fixture_count_calls (&group.fixture, "gooseberrydrum", "put");
  for (int i = 0; i < RELAYS; i++)
    gbd_cookie_members_get_stats (&group.instances[i].serve, &before[i],
                                  group.fixture.now);
  run_for (&group, 10 * GBD_SECOND);
  for (int i = 0; i < RELAYS; i++)
    {
      gbd_cookie_members_get_stats (&group.instances[i].serve, &after,
                                    group.fixture.now);
      assert_in_range (after.requests - before[i].requests, 9, 10);
      assert_true (after.age <= FIXTURE_STEP);
    }
  assert_int_equal (
      fixture_count_calls (&group.fixture, "gooseberrydrum", "put"), writes);
  close_group (&group);
}

/* A change of the view must not wake hundreds of waiting readers. */
static void
change_of_the_view_does_not_wake_readers (void **state)
{
  (void)state;
  group_t group;
  start_group (&group);
  uint64_t before = 0;
  uint64_t after = 0;
  for (int i = 0; i < RELAYS; i++)
    before += gbd_relay_get_response_count (group.instances[i].serve.relay);
  for (int i = 0; i < 3; i++)
    {
      start_reader (&group, "a");
      run_for (&group, GBD_SECOND);
    }
  for (int i = 0; i < RELAYS; i++)
    after += gbd_relay_get_response_count (group.instances[i].serve.relay);
  print_message ("%d responses\n", (int)(after - before));
  /* Six readers with one response a second, and the starts of three: a listing
     and its own responses each. */
  assert_true (after - before <= 6 * 4 + 3 * 5);
  close_group (&group);
}

/* Instances stop and freeze. */
static void
stopped_and_frozen_instances_are_not_counted (void **state)
{
  (void)state;
  group_t group;
  start_group (&group);
  stop_instance (&group.instances[3].serve);
  group.instances[4].is_paused = true;
  run_for (&group, LEAVE_TIME);
  assert_group_is_known (&group);
  group.instances[4].is_paused = false;
  run_for (&group, JOIN_TIME);
  assert_group_is_known (&group);
  close_group (&group);
}

/* A relay dies: its readers move, and must be counted once at each time; the
   last complete view applies until the relay is left out. */
static void
view_survives_the_death_of_a_relay (void **state)
{
  (void)state;
  group_t group;
  start_group (&group);
  stop_instance (&group.instances[1].serve);
  gbd_time_t end = group.fixture.now + GBD_MEMBERS_PEER_SILENCE + GBD_SECOND;
  while (group.fixture.now < end)
    {
      run_for (&group, 100 * GBD_MILLISECOND);
      for (uint32_t i = 0; i < group.count; i++)
        if (!group.instances[i].serve.is_done)
          assert_in_range (get_view (&group.instances[i].serve)->total, 7, 8);
    }
  run_for (&group, GBD_SECOND);
  assert_group_is_known (&group);
  /* It starts again. */
  start_relay (&group, 1, "b&c=d");
  run_for (&group, START_TIME);
  assert_group_is_known (&group);
  close_group (&group);
}

/* A relay that was frozen must not report a group without the instances whose
   requests it has missed. */
static void
frozen_relay_does_not_report_a_small_group (void **state)
{
  (void)state;
  group_t group;
  start_group (&group);
  group.instances[0].is_paused = true;
  run_for (&group, GBD_MEMBERS_PEER_SILENCE + 2 * GBD_SECOND);
  group.instances[0].is_paused = false;
  gbd_time_t end = group.fixture.now + START_TIME;
  while (group.fixture.now < end)
    {
      step (&group);
      for (uint32_t i = 0; i < group.count; i++)
        {
          uint32_t total = get_view (&group.instances[i].serve)->total;
          assert_true (total == 0 || total >= 7);
        }
    }
  assert_group_is_known (&group);
  close_group (&group);
}

/* All relays die, and the list comes from the store: the last view applies for
   ten seconds, then none.  One event each tells of the loss and the return,
   and none of other changes. */
static void
view_ends_ten_seconds_after_the_last_relay (void **state)
{
  (void)state;
  group_t group;
  int ends[2];
  char text[READ_BYTES] = "";
  assert_int_equal (pipe (ends), 0);
  open_group (&group);
  start_relay (&group, 0, "a");
  start_relay (&group, 1, "b");
  group.log_fd = ends[1];
  gbd_cookie_serve_t *reader = start_reader (&group, "a");
  group.log_fd = -1;
  run_for (&group, START_TIME);
  start_reader (&group, "a");
  run_for (&group, JOIN_TIME);
  assert_group_is_known (&group);
  for (int i = 0; i < RELAYS; i++)
    stop_instance (&group.instances[i].serve);
  run_for (&group, GBD_MEMBERS_VIEW_RETENTION - 2 * GBD_SECOND);
  assert_true (gbd_cookie_servers_use_platform (reader));
  assert_int_equal (get_view (reader)->total, 4);
  run_for (&group, 2 * GBD_SECOND + FIXTURE_STEP);
  assert_int_equal (get_view (reader)->total, 0);
  run_for (&group, 5 * GBD_SECOND);
  start_relay (&group, 0, "a");
  start_relay (&group, 1, "b");
  run_for (&group, START_TIME + GBD_SECOND);
  assert_group_is_known (&group);
  gbd_event_log_flush (reader->event_log);
  assert_true (read (ends[0], text, sizeof text - 1) > 0);
  const char *lost = strstr (text, "\"event\":410");
  assert_non_null (lost);
  assert_null (strstr (lost + 1, "\"event\":410"));
  const char *known = strstr (text, "\"event\":411");
  assert_non_null (known);
  assert_true (known > lost);
  assert_null (strstr (known + 1, "\"event\":411"));
  assert_non_null (strstr (lost, "\"instances_before\":4"));
  assert_non_null (strstr (known, "\"instances\":4"));
  close_group (&group);
  close (ends[0]);
  close (ends[1]);
}

/* A relay of an earlier release responds with 404: its readers are unknown, so
   nobody may take the rest for the group. */
static void
view_stays_incomplete_beside_a_relay_of_an_earlier_release (void **state)
{
  (void)state;
  group_t group;
  int ends[2];
  char text[READ_BYTES] = "";
  assert_int_equal (pipe (ends), 0);
  open_group (&group);
  start_relay (&group, 0, "a");
  group.is_off = true;
  start_relay (&group, 1, "b");
  group.is_off = false;
  for (int i = 0; i < 3; i++)
    start_reader (&group, "a");
  group.log_fd = ends[1];
  const gbd_cookie_serve_t *reader = start_reader (&group, "a");
  run_for (&group, GBD_MEMBERS_PEER_SILENCE + 10 * GBD_SECOND);
  assert_all_totals (&group, 0);
  /* The operator is told, once. */
  gbd_event_log_flush (reader->event_log);
  assert_true (read (ends[0], text, sizeof text - 1) > 0);
  const char *lost = strstr (text, "\"event\":410");
  assert_non_null (lost);
  assert_non_null (strstr (lost, "\"instances_before\":0"));
  assert_null (strstr (lost + 1, "\"event\":410"));
  close_group (&group);
  close (ends[0]);
  close (ends[1]);
}

/* Relays are partitioned from each other, but not from their readers: the old
   view applies, then none, rather than that of one side.  The far side is a
   relay that this test makes to end, while its readers stay away. */
static void
view_of_one_side_of_a_partition_is_not_used (void **state)
{
  (void)state;
  group_t group;
  const char *error = NULL;
  open_group (&group);
  const gbd_address_t *far_address = &group.relays.addresses[1];
  gbd_members_t *far_members
      = gbd_members_new (far_address, "b", 0, group.fixture.now);
  gbd_relay_t *far_relay
      = gbd_relay_new (group.fixture.context, far_address, "unused", &error);
  gbd_relay_set_members (far_relay, far_members);
  gbd_cookie_serve_t *relay = start_relay (&group, 0, "a");
  gbd_time_t end = group.fixture.now + START_TIME;
  while (group.fixture.now < end)
    {
      for (uint16_t port = 1; port <= 6; port++)
        {
          gbd_address_t address = *far_address;
          address.port = port;
          gbd_members_record (far_members, &address, "b", group.fixture.now);
        }
      gbd_relay_tick (far_relay, group.fixture.now);
      step (&group);
    }
  assert_int_equal (get_view (relay)->total, 8);
  gbd_relay_delete (far_relay);
  gbd_members_delete (far_members);
  run_for (&group, GBD_MEMBERS_VIEW_RETENTION);
  assert_int_equal (get_view (relay)->total, 8);
  run_for (&group, 5 * GBD_SECOND);
  assert_int_equal (get_view (relay)->total, 0);
  run_for (&group, 20 * GBD_SECOND);
  assert_int_equal (get_view (relay)->total, 0);
  close_group (&group);
}

/* In an outage of the store, readers get rejections only, but the group goes
   on. */
static void
view_survives_an_outage_of_the_store (void **state)
{
  (void)state;
  group_t group;
  start_group (&group);
  fixture_set_switches (&group.fixture, "{\"down\":true}");
  gbd_time_t end = group.fixture.now + 20 * GBD_SECOND;
  while (group.fixture.now < end)
    {
      run_for (&group, GBD_SECOND);
      assert_all_totals (&group, 8);
    }
  close_group (&group);
}

typedef struct
{
  bool is_done;
  int status;
} http_outcome_t;

static void
record_response (void *data, const gbd_http_response_t *response)
{
  http_outcome_t *outcome = data;
  outcome->is_done = true;
  outcome->status = response->status;
}

static int
request_members (group_t *group)
{
  http_outcome_t outcome = { .is_done = false };
  gbd_http_t *http
      = gbd_http_new (group->fixture.context, &group->relays.addresses[0]);
  assert_non_null (gbd_http_start (http, "GET", "/v3/members", NULL,
                                   record_response, &outcome));
  for (int i = 0; i < 100 && !outcome.is_done; i++)
    step (group);
  assert_true (outcome.is_done);
  gbd_http_delete (http);
  return outcome.status;
}

/* Deployments without the setting must see no new request, argument or
   state. */
static void
nothing_is_sent_or_stored_without_the_setting (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  group.is_off = true;
  start_relay (&group, 0, "a");
  start_relay (&group, 1, "b");
  gbd_cookie_serve_t *reader = start_reader (&group, "a");
  run_for (&group, START_TIME);
  for (uint32_t i = 0; i < group.count; i++)
    {
      gbd_cookie_serve_t *serve = &group.instances[i].serve;
      assert_null (serve->members);
      assert_null (strstr (serve->relay_argument, "zone="));
    }
  assert_non_null (strstr (reader->relay_argument, "from="));
  assert_all_totals (&group, 0);
  assert_int_equal (request_members (&group), HTTP_STATUS_NOT_FOUND);
  close_group (&group);
}

/* A reader with the setting at relays without it, and the reverse, as while
   the setting is changed instance by instance. */
static void
settings_may_differ_for_a_time (void **state)
{
  (void)state;
  group_t group;
  open_group (&group);
  start_relay (&group, 0, "a");
  start_relay (&group, 1, "b");
  group.is_off = true;
  gbd_cookie_serve_t *reader = start_reader (&group, "a");
  run_for (&group, START_TIME);
  assert_int_equal (request_members (&group), HTTP_STATUS_OK);
  assert_int_equal (get_view (&group.instances[0].serve)->total, 3);
  assert_int_equal (get_view (reader)->total, 0);
  assert_true (gbd_director_is_ready (reader->director));
  close_group (&group);
}

static const char *const group_fields[]
    = { "instances", "zone_instances", "zone_rank", "age_ms" };

/* Operators must see the view that decisions use, and how old it is. */
static void
status_shows_the_view_and_its_age (void **state)
{
  (void)state;
  group_t group;
  start_group (&group);
  gbd_cookie_serve_t *serve = &group.instances[3].serve;
  json_t *status = gbd_cookie_admin_callbacks.status (serve);
  const json_t *fields = json_object_get (status, "group");
  assert_true (json_is_true (json_object_get (fields, "known")));
  for (size_t i = 0; i < G_N_ELEMENTS (group_fields); i++)
    assert_true (json_is_integer (json_object_get (fields, group_fields[i])));
  assert_int_equal (json_integer_value (json_object_get (fields, "instances")),
                    8);
  assert_in_range (json_integer_value (json_object_get (fields, "age_ms")), 0,
                   1500);
  json_decref (status);
  close_group (&group);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (readers_of_several_zones_learn_their_ranks),
    cmocka_unit_test (relays_ask_each_other_once_a_second),
    cmocka_unit_test (change_of_the_view_does_not_wake_readers),
    cmocka_unit_test (stopped_and_frozen_instances_are_not_counted),
    cmocka_unit_test (view_survives_the_death_of_a_relay),
    cmocka_unit_test (frozen_relay_does_not_report_a_small_group),
    cmocka_unit_test (view_ends_ten_seconds_after_the_last_relay),
    cmocka_unit_test (
        view_stays_incomplete_beside_a_relay_of_an_earlier_release),
    cmocka_unit_test (view_of_one_side_of_a_partition_is_not_used),
    cmocka_unit_test (view_survives_an_outage_of_the_store),
    cmocka_unit_test (nothing_is_sent_or_stored_without_the_setting),
    cmocka_unit_test (settings_may_differ_for_a_time),
    cmocka_unit_test (status_shows_the_view_and_its_age),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
