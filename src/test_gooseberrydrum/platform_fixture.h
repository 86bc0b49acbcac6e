/** @file platform_fixture.h
 *  The stand-in for the platform and a client in one event loop.  The
 *  simulated clock advances only while the stand-in delays every open call.
 */
#ifndef TEST_PLATFORM_FIXTURE_H
#define TEST_PLATFORM_FIXTURE_H

#include "gooseberrydrum/platform_client.h"
#include "gooseberrydrum/platform_private.h"
#include "standins/platform_server.h"

#define FIXTURE_STEP (10 * GBD_MILLISECOND)

typedef struct
{
  struct lws_context *context;
  platform_store_t *store;
  platform_server_t *server;
  gbd_platform_t *platform; /* set by the test */
  gbd_address_t address;
  gbd_time_t now;
  bool is_down_after_write; /* the platform goes down after its first write */
} fixture_t;

/* Outcome of a call; record_outcome fills it in. */
typedef struct
{
  bool is_done;
  gbd_status_t status;
  uint64_t version;
  json_t *value; /* owned */
} outcome_t;

static inline void
fixture_open (fixture_t *fixture, uint32_t writes_per_second)
{
  struct lws_context_creation_info info = { 0 };
  memset (fixture, 0, sizeof *fixture);
  lws_set_log_level (LLL_ERR, NULL);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  fixture->now = 1000 * GBD_SECOND;
  fixture->context = lws_create_context (&info);
  fixture->store = platform_store_new (writes_per_second, 0, fixture->now);
  gbd_address_parse ("127.0.0.1:1", &fixture->address);
  fixture->address.port = 0;
  fixture->server = platform_server_new (fixture->context, &fixture->address,
                                         fixture->store, fixture->now);
  assert_non_null (fixture->server);
  fixture->address.port = platform_server_get_port (fixture->server);
}

static inline void
fixture_close (fixture_t *fixture)
{
  gbd_platform_delete (fixture->platform);
  lws_context_destroy (fixture->context);
  platform_server_delete (fixture->server);
  platform_store_delete (fixture->store);
}

/* Set the switches of the stand-in that inject faults.
   @param text JSON object with the switches to change */
static inline void
fixture_set_switches (fixture_t *fixture, const char *text)
{
  json_t *switches = json_loads (text, 0, NULL);
  assert_int_equal (platform_store_set_switches (fixture->store, switches),
                    GBD_OK);
  json_decref (switches);
}

static inline void
fixture_step (fixture_t *fixture)
{
  lws_cancel_service (fixture->context);
  lws_service (fixture->context, 0);
  uint32_t open = gbd_http_get_open_count (fixture->platform->http);
  if (platform_server_get_pending_count (fixture->server) >= open)
    fixture->now += FIXTURE_STEP;
  platform_server_tick (fixture->server, fixture->now);
  if (fixture->is_down_after_write
      && platform_store_find (fixture->store, "accepted", "main"))
    fixture_set_switches (fixture, "{\"down\":true}");
  gbd_platform_tick (fixture->platform, fixture->now);
}

/* The two functions below access the store directly, without its faults. */
static inline void
fixture_write (fixture_t *fixture, const char *kind, const char *name,
               const char *value)
{
  platform_store_write (fixture->store, kind, name,
                        value ? json_loads (value, JSON_DECODE_ANY, NULL)
                              : NULL);
  platform_server_tick (fixture->server, fixture->now);
}

static inline json_t *
fixture_read (fixture_t *fixture, const char *kind, const char *name)
{
  return json_incref (
      (json_t *)platform_store_find (fixture->store, kind, name));
}

static inline int
fixture_count_calls (fixture_t *fixture, const char *kind, const char *verb)
{
  json_t *stats = platform_store_get_stats (fixture->store);
  json_t *verbs = json_object_get (json_object_get (stats, "calls"), kind);
  int count = (int)json_integer_value (json_object_get (verbs, verb));
  json_decref (stats);
  return count;
}

static inline void
record_outcome (void *data, gbd_status_t status, uint64_t version,
                json_t *value)
{
  outcome_t *outcome = data;
  assert_false (outcome->is_done);
  outcome->is_done = true;
  outcome->status = status;
  outcome->version = version;
  outcome->value = json_incref (value);
}

#endif
