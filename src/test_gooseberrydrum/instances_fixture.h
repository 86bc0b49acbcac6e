/** @file instances_fixture.h
 *  Instances that read from the stand-in for the platform and from each other,
 *  in one event loop with a simulated clock.
 */
#ifndef TEST_INSTANCES_FIXTURE_H
#define TEST_INSTANCES_FIXTURE_H

#include <syslog.h>
#include <unistd.h>

#include "gooseberrydrum/cookie_serve.h"
#include "platform/adapter.h"
#include "platform/standin/objects_form.h"
#include "free_address.h"
#include "platform_fixture.h"

#define PAGE_ITEMS 3
#define SERVERS 7
#define INSTANCES_MAX 4
/* Iterations of the event loop in which a request over loopback completes. */
#define LOOP_COUNT 8
/* Ports 1 (tcpmux) and 2, on which no process listens. */
#define UNREACHABLE_RELAYS "127.0.0.1:1", "127.0.0.1:2"

/* The parts of an instance that read from the platform. */
typedef struct
{
  gbd_settings_t settings;
  gbd_cookie_serve_t serve;
} instance_t;

typedef struct
{
  fixture_t fixture;
  instance_t instances[INSTANCES_MAX];
  uint32_t count;
  gbd_address_t relay; /* of the first instance, set by start_relay() */
  bool evacuates;      /* setting zone-evacuation of instances that start */
  int log_fd;          /* log of instances that start; 0: none */
} group_t;

static fixture_t *clock_fixture;

static inline gbd_time_t
read_clock (void *data)
{
  (void)data;
  return clock_fixture->now;
}

static inline void
write_server_in_warm_up (group_t *group, uint64_t number, bool is_ready,
                         uint32_t warm_up_ms)
{
  char name[GBD_NAME_MAX + 1];
  const world_object_format_t *format = &world_object_format_objects;
  world_server_description_t server = { .service = "web",
                                        .address = "10.0.0.1:80",
                                        .zone = "a",
                                        .slots = 2,
                                        .warm_up_ms = warm_up_ms,
                                        .is_ready = is_ready };
  format->format_server_name (number, name, sizeof name);
  platform_store_write (group->fixture.store, format->servers_kind, name,
                        format->describe_server (&server));
  platform_server_tick (group->fixture.server, group->fixture.now);
}

static inline void
write_server (group_t *group, uint64_t number, bool is_ready)
{
  write_server_in_warm_up (group, number, is_ready, 0);
}

static inline void
delete_server (group_t *group, uint64_t number)
{
  const world_object_format_t *format = &world_object_format_objects;
  char name[GBD_NAME_MAX + 1];
  format->format_server_name (number, name, sizeof name);
  platform_store_write (group->fixture.store, format->servers_kind, name,
                        NULL);
  platform_server_tick (group->fixture.server, group->fixture.now);
}

static inline void
write_routes (group_t *group, uint64_t version)
{
  const world_object_format_t *format = &world_object_format_objects;
  world_route_description_t route = { "198.18.0.1", 80, "web" };
  platform_store_write (group->fixture.store, format->routes_kind,
                        format->routes_name,
                        format->describe_routes (version, &route, 1));
  platform_server_tick (group->fixture.server, group->fixture.now);
}

/* Without it, only relays create the key for two seconds. */
static inline void
write_key (group_t *group)
{
  fixture_write (&group->fixture, "gooseberrydrum", "cookie-key",
                 "{\"key\":\"1f\"}");
}

static inline void
open_group (group_t *group)
{
  memset (group, 0, sizeof *group);
  fixture_t *fixture = &group->fixture;
  fixture_open (fixture, 0);
  platform_server_add_api (fixture->server, &platform_server_api_objects,
                           PAGE_ITEMS);
  clock_fixture = fixture;
  for (uint64_t i = 1; i <= SERVERS; i++)
    write_server (group, i, true);
  write_routes (group, 1);
}

/* Starts another instance.
   @param relays relays of all instances
   @param relay_listen address of the instance's own relay, or NULL */
static inline gbd_cookie_serve_t *
start_instance (group_t *group, const gbd_address_list_t *relays,
                const gbd_address_t *relay_listen)
{
  fixture_t *fixture = &group->fixture;
  instance_t *instance = &group->instances[group->count++];
  gbd_settings_t *settings = &instance->settings;
  gbd_cookie_serve_t *serve = &instance->serve;
  g_snprintf (settings->name, sizeof settings->name, "entry-%u", group->count);
  settings->platform_form = "objects";
  settings->policy = GBD_POLICY_COOKIE;
  settings->platform = fixture->address;
  settings->relays = *relays;
  settings->zone_evacuation = group->evacuates;
  if (relay_listen)
    settings->relay_listen = *relay_listen;
  gbd_director_settings_t director
      = { .zone = gbd_zone_from_name ("a"), .flow_capacity = 64 };
  serve->settings = settings;
  serve->context = fixture->context;
  serve->clock = read_clock;
  serve->started_at = fixture->now;
  serve->event_log
      = gbd_event_log_new (group->log_fd ? group->log_fd : -1, settings->name,
                           group->log_fd ? LOG_NOTICE : LOG_ERR, fixture->now);
  serve->director = gbd_director_new (&director);
  const char *error = NULL;
  assert_true (gbd_cookie_store_start (serve, &error));
  return serve;
}

static inline gbd_cookie_serve_t *
start_without_relays (group_t *group)
{
  static const char *const addresses[] = { UNREACHABLE_RELAYS };
  gbd_address_list_t relays = { .count = 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    gbd_address_parse (addresses[i], &relays.addresses[relays.count++]);
  return start_instance (group, &relays, NULL);
}

static inline void
step (group_t *group)
{
  fixture_t *fixture = &group->fixture;
  for (int round = 0; round < LOOP_COUNT; round++)
    {
      lws_cancel_service (fixture->context);
      lws_service (fixture->context, 0);
    }
  fixture->now += FIXTURE_STEP;
  platform_server_tick (fixture->server, fixture->now);
  for (uint32_t i = 0; i < group->count; i++)
    {
      gbd_cookie_serve_t *serve = &group->instances[i].serve;
      if (serve->is_done)
        continue;
      gbd_cookie_store_tick (serve, fixture->now);
      gbd_cookie_servers_tick (serve, fixture->now);
      gbd_director_tick (serve->director, fixture->now);
    }
}

static inline void
run_for (group_t *group, gbd_time_t time)
{
  gbd_time_t end = group->fixture.now + time;
  while (group->fixture.now < end)
    step (group);
}

static inline void
run_until_ready (group_t *group, const gbd_cookie_serve_t *serve)
{
  gbd_time_t end = group->fixture.now + 5 * GBD_SECOND;
  while (!gbd_director_is_ready (serve->director)
         || !gbd_pool_is_synced (gbd_director_peek_pool (serve->director)))
    {
      assert_true (group->fixture.now < end);
      step (group);
    }
}

/* Starts the first instance, which is a relay for the following ones. */
static inline gbd_cookie_serve_t *
start_relay (group_t *group)
{
  if (!group->relay.family)
    group->relay = choose_free_address ();
  gbd_address_list_t relays = { .addresses = { group->relay }, .count = 1 };
  gbd_cookie_serve_t *serve = start_instance (group, &relays, &group->relay);
  run_until_ready (group, serve);
  return serve;
}

static inline gbd_cookie_serve_t *
start_reader (group_t *group)
{
  gbd_address_list_t relays = { .addresses = { group->relay }, .count = 1 };
  gbd_cookie_serve_t *serve = start_instance (group, &relays, NULL);
  run_until_ready (group, serve);
  return serve;
}

static inline int
count_calls (group_t *group, const char *kind)
{
  return fixture_count_calls (&group->fixture, kind, "list")
         + fixture_count_calls (&group->fixture, kind, "watch");
}

/* Stops the parts of an instance, as at the end of its process. */
static inline void
stop_instance (gbd_cookie_serve_t *serve)
{
  gbd_cookie_servers_stop (serve);
  gbd_platform_watch_delete (serve->routes_watch);
  gbd_platform_delete (serve->platform);
  serve->is_done = true;
}

static inline void
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

#endif
