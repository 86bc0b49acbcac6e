#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <syslog.h>
#include <unistd.h>

#include "gooseberrydrum/cookie_serve.h"
#include "platform/adapter.h"
#include "platform/standin/objects_form.h"
#include "platform_fixture.h"

#define PAGE_ITEMS 3
#define SERVERS 7
/* Nobody listens on these: tcpmux and its neighbour. */
#define DEAD_RELAYS "127.0.0.1:1", "127.0.0.1:2"

/* An instance as far as it reads from the platform, beside a stand-in of it.
 */
typedef struct
{
  fixture_t fixture;
  gbd_settings_t settings;
  gbd_cookie_serve_t serve;
} reader_t;

static fixture_t *clocked;

static gbd_time_t
read_clock (void *data)
{
  (void)data;
  return clocked->now;
}

static void
write_server (reader_t *reader, uint64_t number, bool is_ready)
{
  char name[GBD_NAME_MAX + 1];
  const world_form_t *form = &world_form_objects;
  world_server_text_t text = { .service = "web",
                               .address = "10.0.0.1:80",
                               .zone = "a",
                               .slots = 2,
                               .is_ready = is_ready };
  form->name_server (number, name, sizeof name);
  platform_store_write (reader->fixture.store, form->servers_kind, name,
                        form->describe_server (&text));
  platform_server_tick (reader->fixture.server, reader->fixture.now);
}

static void
write_routes (reader_t *reader, uint64_t version)
{
  const world_form_t *form = &world_form_objects;
  world_route_text_t route = { "198.18.0.1", 80, "web" };
  platform_store_write (reader->fixture.store, form->routes_kind,
                        form->routes_name,
                        form->describe_routes (version, &route, 1));
  platform_server_tick (reader->fixture.server, reader->fixture.now);
}

static void
open_reader (reader_t *reader)
{
  memset (reader, 0, sizeof *reader);
  fixture_t *fixture = &reader->fixture;
  fixture_open (fixture, 0);
  platform_server_add_form (fixture->server, &platform_form_objects,
                            PAGE_ITEMS);
  clocked = fixture;
  for (uint64_t i = 1; i <= SERVERS; i++)
    write_server (reader, i, true);
  write_routes (reader, 1);
}

static void
start_reader (reader_t *reader)
{
  static const char *const relays[] = { DEAD_RELAYS };
  fixture_t *fixture = &reader->fixture;
  gbd_settings_t *settings = &reader->settings;
  gbd_cookie_serve_t *serve = &reader->serve;
  g_strlcpy (settings->name, "entry-1", sizeof settings->name);
  settings->platform_form = "objects";
  settings->platform = fixture->address;
  for (size_t i = 0; i < G_N_ELEMENTS (relays); i++)
    gbd_address_parse (relays[i],
                       &settings->relays.addresses[settings->relays.count++]);
  gbd_director_settings_t director
      = { .zone = gbd_zone_from_name ("a"), .flow_capacity = 64 };
  serve->settings = settings;
  serve->context = fixture->context;
  serve->clock = read_clock;
  serve->started_at = fixture->now;
  serve->journal = gbd_journal_new (-1, "entry-1", LOG_ERR, fixture->now);
  serve->director = gbd_director_new (&director);
  const char *error = NULL;
  assert_true (gbd_cookie_store_start (serve, &error));
}

static void
step (reader_t *reader)
{
  fixture_t *fixture = &reader->fixture;
  gbd_cookie_serve_t *serve = &reader->serve;
  uint32_t open = gbd_http_get_open_count (serve->platform->http);
  for (uint32_t i = 0; i < serve->sources.count; i++)
    open += gbd_http_get_open_count (serve->clients[i]->http);
  lws_cancel_service (fixture->context);
  lws_service (fixture->context, 0);
  if (platform_server_get_held_count (fixture->server) >= open)
    fixture->now += FIXTURE_STEP;
  platform_server_tick (fixture->server, fixture->now);
  gbd_cookie_store_tick (serve, fixture->now);
  gbd_cookie_servers_tick (serve, fixture->now);
  gbd_director_tick (serve->director, fixture->now);
}

static void
run_for (reader_t *reader, gbd_time_t time)
{
  gbd_time_t end = reader->fixture.now + time;
  while (reader->fixture.now < end)
    step (reader);
}

static void
run_until_ready (reader_t *reader)
{
  gbd_time_t end = reader->fixture.now + 5 * GBD_SECOND;
  while (!gbd_director_is_ready (reader->serve.director))
    {
      assert_true (reader->fixture.now < end);
      step (reader);
    }
}

static int
count_all (reader_t *reader, const char *kind)
{
  return fixture_count_calls (&reader->fixture, kind, "list")
         + fixture_count_calls (&reader->fixture, kind, "watch");
}

static void
close_reader (reader_t *reader)
{
  gbd_cookie_serve_t *serve = &reader->serve;
  gbd_cookie_servers_stop (serve);
  gbd_platform_watch_delete (serve->routes_watch);
  gbd_platform_delete (serve->platform);
  gbd_director_delete (serve->director);
  gbd_journal_delete (serve->journal);
  fixture_close (&reader->fixture);
}

/* Found by a sweep over the calls of a day: while the platform is down, each
   round through the relays set the routes' pause back to its first. */
static void
an_outage_costs_few_calls_for_routes (void **state)
{
  (void)state;
  reader_t reader;
  open_reader (&reader);
  start_reader (&reader);
  run_until_ready (&reader);
  run_for (&reader, GBD_SECOND);
  fixture_switch (&reader.fixture, "{\"down\":true}");
  int before = count_all (&reader, "config");
  run_for (&reader, 20 * GBD_SECOND);
  int calls = count_all (&reader, "config") - before;
  print_message ("%d calls\n", calls);
  /* Seven while the pause doubles from 50 ms, then one in 4 s, a pause being
     at least half of that. */
  assert_true (calls <= 7 + 20 / 2);
  close_reader (&reader);
}

static int
count_lagging (reader_t *reader, const char *kind)
{
  json_t *stats = platform_store_get_stats (reader->fixture.store);
  json_t *kinds = json_object_get (stats, "lagging");
  int count = (int)json_integer_value (json_object_get (kinds, kind));
  json_decref (stats);
  return count;
}

static const gbd_pool_server_t *
find_server (reader_t *reader, gbd_backend_id_t id)
{
  const gbd_pool_t *pool = gbd_director_peek_pool (reader->serve.director);
  gbd_pool_handle_t handle = gbd_pool_find (pool, gbd_cookie_fingerprint (id));
  return handle == GBD_POOL_NONE ? NULL : gbd_pool_peek (pool, handle);
}

/* The list that a start reads may be seconds old; what has changed since must
   be known at once, and the list must cost the platform little. */
static void
a_start_reads_a_list_that_lags_and_catches_up (void **state)
{
  (void)state;
  reader_t reader;
  open_reader (&reader);
  fixture_switch (&reader.fixture, "{\"lag_ms\":3600000}");
  platform_request_t request = {
    .verb = PLATFORM_GET, .kind = "servers", .name = "none", .may_lag = true
  };
  platform_reply_t reply;
  platform_store_handle (reader.fixture.store, &request, reader.fixture.now,
                         &reply);
  write_server (&reader, 1, false);
  write_server (&reader, SERVERS + 1, true);
  start_reader (&reader);
  run_until_ready (&reader);
  int pages = (SERVERS + PAGE_ITEMS - 1) / PAGE_ITEMS;
  assert_int_equal (count_lagging (&reader, "servers"), 1 + pages);
  assert_int_equal (fixture_count_calls (&reader.fixture, "servers", "list"),
                    pages);
  run_for (&reader, GBD_SECOND);
  assert_int_equal (find_server (&reader, 1)->entry.backend.state,
                    GBD_BACKEND_DRAINING);
  assert_non_null (find_server (&reader, SERVERS + 1));
  close_reader (&reader);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (an_outage_costs_few_calls_for_routes),
          cmocka_unit_test (a_start_reads_a_list_that_lags_and_catches_up) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
