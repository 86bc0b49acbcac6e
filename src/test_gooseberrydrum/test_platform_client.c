#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "gooseberrydrum/position.h"
#include "gooseberrydrum/platform_client.h"
#include "gooseberrydrum/platform_private.h"
#include "platform/adapter.h"
#include "platform/standin/objects_form.h"
#include "platform_fixture.h"

#define KIND "accepted"
#define NAME "main"
#define NO_FAULTS                                                             \
  ("{\"down\":false,\"slow_ms\":0,\"lose_answers\":0,\"garble_answers\":0,"   \
   "\"stale_reads\":false,\"cut_watches\":false,\"replay_watches\":false}")

typedef enum
{
  OPERATION_GET,
  OPERATION_PUT,
  OPERATION_REMOVE
} operation_t;

/* One call under faults, to an object with version 1 and value 1. */
typedef struct
{
  const char *label;
  const char *switches;
  bool is_recovered; /* the faults end after the first request */
  operation_t operation;
  uint64_t version;
  gbd_status_t status;
  bool has_effect;
  int calls; /* requests that reach the platform */
} call_row_t;

static const call_row_t call_rows[] = {
  { "read", "{}", false, OPERATION_GET, 0, GBD_OK, false, 1 },
  { "write", "{}", false, OPERATION_PUT, 1, GBD_OK, true, 1 },
  { "removal", "{}", false, OPERATION_REMOVE, 1, GBD_OK, true, 1 },
  { "conflict", "{}", false, OPERATION_PUT, 9, GBD_ERROR_CONFLICT, false, 1 },
  { "read while down", "{\"down\":true}", false, OPERATION_GET, 0,
    GBD_ERROR_UNAVAILABLE, false, 4 },
  { "read while down, then up", "{\"down\":true}", true, OPERATION_GET, 0,
    GBD_OK, false, 2 },
  { "write while down", "{\"down\":true}", false, OPERATION_PUT, 1,
    GBD_ERROR_UNAVAILABLE, false, 1 },
  { "read, slow within the time-out", "{\"slow_ms\":1500}", false,
    OPERATION_GET, 0, GBD_OK, false, 1 },
  { "read, too slow", "{\"slow_ms\":90000}", false, OPERATION_GET, 0,
    GBD_ERROR_UNAVAILABLE, false, 4 },
  { "write, too slow", "{\"slow_ms\":90000}", false, OPERATION_PUT, 1,
    GBD_ERROR_UNKNOWN, true, 1 },
  { "write, response lost", "{\"lose_answers\":1}", false, OPERATION_PUT, 1,
    GBD_ERROR_UNKNOWN, true, 1 },
  { "removal, response lost", "{\"lose_answers\":1}", false, OPERATION_REMOVE,
    1, GBD_ERROR_UNKNOWN, true, 1 },
  { "write, malformed response", "{\"garble_answers\":1}", false,
    OPERATION_PUT, 1, GBD_ERROR_UNKNOWN, true, 1 },
  { "read, malformed response to one attempt", "{\"garble_answers\":1}", false,
    OPERATION_GET, 0, GBD_OK, false, 2 },
  { "read, malformed responses to all attempts", "{\"garble_answers\":9}",
    false, OPERATION_GET, 0, GBD_ERROR_FORMAT, false, 4 },
  { "conflict, malformed response", "{\"garble_answers\":1}", false,
    OPERATION_PUT, 9, GBD_ERROR_CONFLICT, false, 1 },
  /* Pairs of faults. */
  { "write, down and slow", "{\"down\":true,\"slow_ms\":500}", false,
    OPERATION_PUT, 1, GBD_ERROR_UNAVAILABLE, false, 1 },
  { "write, down and too slow", "{\"down\":true,\"slow_ms\":90000}", false,
    OPERATION_PUT, 1, GBD_ERROR_UNKNOWN, false, 1 },
  { "write, down and lost", "{\"down\":true,\"lose_answers\":1}", false,
    OPERATION_PUT, 1, GBD_ERROR_UNAVAILABLE, false, 1 },
  { "write, slow and lost", "{\"slow_ms\":500,\"lose_answers\":1}", false,
    OPERATION_PUT, 1, GBD_ERROR_UNKNOWN, true, 1 },
  { "write, slow and malformed response",
    "{\"slow_ms\":500,\"garble_answers\":1}", false, OPERATION_PUT, 1,
    GBD_ERROR_UNKNOWN, true, 1 },
  { "conflict, too slow", "{\"slow_ms\":90000}", false, OPERATION_PUT, 9,
    GBD_ERROR_UNKNOWN, false, 1 },
  { "read, slow and malformed response",
    "{\"slow_ms\":500,\"garble_answers\":1}", false, OPERATION_GET, 0, GBD_OK,
    false, 2 },
  { "read, down and malformed response",
    "{\"down\":true,\"garble_answers\":1}", true, OPERATION_GET, 0, GBD_OK,
    false, 2 },
};

/* Object API that the tests use. */
static const gbd_platform_api_t *platform_api = &gbd_platform_api_native;

#define PAGE_ITEMS 2

static gbd_platform_t *
make_platform (fixture_t *fixture)
{
  gbd_platform_settings_t settings = { .platform = fixture->address,
                                       .platform_api = platform_api,
                                       .call_timeout_ms = 2000,
                                       .watch_wait_ms = 1000,
                                       .random_seed = 5 };
  platform_server_add_api (fixture->server, &platform_server_api_objects,
                           PAGE_ITEMS);
  gbd_platform_t *platform = gbd_platform_new (fixture->context, &settings);
  assert_non_null (platform);
  fixture->platform = platform;
  return platform;
}

static void
start_call (gbd_platform_t *platform, operation_t operation, uint64_t version,
            json_t *value, gbd_time_t now, outcome_t *outcome)
{
  memset (outcome, 0, sizeof *outcome);
  if (operation == OPERATION_GET)
    gbd_platform_get (platform, KIND, NAME, false, now, record_outcome,
                      outcome);
  else if (operation == OPERATION_PUT)
    gbd_platform_put (platform, KIND, NAME, version, value, now,
                      record_outcome, outcome);
  else
    gbd_platform_remove (platform, KIND, NAME, version, now, record_outcome,
                         outcome);
  assert_false (outcome->is_done);
}

static void
check_call (const call_row_t *row)
{
  fixture_t fixture;
  outcome_t outcome;
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  fixture_write (&fixture, KIND, NAME, "1");
  fixture_set_switches (&fixture, row->switches);

  json_t *value = json_integer (2);
  start_call (platform, row->operation, row->version, value, fixture.now,
              &outcome);
  json_decref (value);
  static const char *const verbs[] = { "get", "put", "delete" };
  const char *verb = verbs[row->operation];
  while (row->is_recovered && fixture_count_calls (&fixture, KIND, verb) == 0)
    fixture_step (&fixture);
  if (row->is_recovered)
    fixture_set_switches (&fixture, NO_FAULTS);
  while (!outcome.is_done)
    fixture_step (&fixture);

  print_message ("%s\n", row->label);
  assert_int_equal (outcome.status, row->status);
  assert_int_equal (fixture_count_calls (&fixture, KIND, verb), row->calls);
  if (row->operation == OPERATION_GET && row->status == GBD_OK)
    assert_int_equal (json_integer_value (outcome.value), 1);
  if (outcome.status == GBD_ERROR_CONFLICT && outcome.version)
    assert_int_equal (json_integer_value (outcome.value), 1);

  fixture_set_switches (&fixture, NO_FAULTS);
  json_t *remaining = fixture_read (&fixture, KIND, NAME);
  assert_int_equal (json_integer_value (remaining) != 1, row->has_effect);
  json_decref (remaining);
  json_decref (outcome.value);
  fixture_close (&fixture);
}

static void
call_status_matches_the_effect_under_faults (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (call_rows); i++)
    check_call (&call_rows[i]);
}

static void
call_to_a_closed_port_is_unavailable (void **state)
{
  (void)state;
  fixture_t fixture;
  outcome_t outcome;
  fixture_open (&fixture, 0);
  fixture.address.port = 1; /* tcpmux; nothing listens there */
  gbd_platform_t *platform = make_platform (&fixture);
  json_t *value = json_integer (2);
  start_call (platform, OPERATION_PUT, 0, value, fixture.now, &outcome);
  while (!outcome.is_done)
    fixture_step (&fixture);
  assert_int_equal (outcome.status, GBD_ERROR_UNAVAILABLE);
  json_decref (value);
  fixture_close (&fixture);
}

static void
write_over_the_rate_is_refused (void **state)
{
  (void)state;
  fixture_t fixture;
  outcome_t outcomes[2];
  fixture_open (&fixture, 1);
  gbd_platform_t *platform = make_platform (&fixture);
  json_t *value = json_integer (2);
  for (int i = 0; i < 2; i++)
    {
      start_call (platform, OPERATION_PUT, (uint64_t)i, value, fixture.now,
                  &outcomes[i]);
      while (!outcomes[i].is_done)
        fixture_step (&fixture);
      /* One of the object APIs returns the written value. */
      json_decref (outcomes[i].value);
    }
  assert_int_equal (outcomes[0].status, GBD_OK);
  assert_int_equal (outcomes[1].status, GBD_ERROR_UNAVAILABLE);
  json_decref (value);
  fixture_close (&fixture);
}

static void
value_over_the_limit_is_not_sent (void **state)
{
  (void)state;
  fixture_t fixture;
  outcome_t outcome;
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  char *text = g_strnfill (PLATFORM_VALUE_MAX, 'x');
  for (size_t extra = 0; extra < 2; extra++)
    {
      /* The encoded value includes two quotation marks. */
      text[PLATFORM_VALUE_MAX - 2 + extra] = '\0';
      json_t *value = json_string (text);
      text[PLATFORM_VALUE_MAX - 2 + extra] = 'x';
      start_call (platform, OPERATION_PUT, 0, value, fixture.now, &outcome);
      while (!outcome.is_done)
        fixture_step (&fixture);
      assert_int_equal (outcome.status, extra ? GBD_ERROR_RANGE : GBD_OK);
      json_decref (value);
    }
  assert_int_equal (fixture_count_calls (&fixture, KIND, "put"), 1);
  g_free (text);
  fixture_close (&fixture);
}

static void
stale_read_is_retried (void **state)
{
  (void)state;
  for (int is_recovered = 0; is_recovered < 2; is_recovered++)
    {
      fixture_t fixture;
      outcome_t outcome;
      fixture_open (&fixture, 0);
      gbd_platform_t *platform = make_platform (&fixture);
      fixture_write (&fixture, KIND, NAME, "1");
      fixture_set_switches (&fixture, "{\"stale_reads\":true}");
      json_t *value = json_integer (2);
      start_call (platform, OPERATION_PUT, 1, value, fixture.now, &outcome);
      json_decref (value);
      while (!outcome.is_done)
        fixture_step (&fixture);
      assert_int_equal (outcome.status, GBD_OK);
      json_decref (outcome.value);

      start_call (platform, OPERATION_GET, 0, NULL, fixture.now, &outcome);
      while (fixture_count_calls (&fixture, KIND, "get") == 0)
        fixture_step (&fixture);
      if (is_recovered)
        fixture_set_switches (&fixture, NO_FAULTS);
      while (!outcome.is_done)
        fixture_step (&fixture);
      assert_int_equal (outcome.status,
                        is_recovered ? GBD_OK : GBD_ERROR_STALE);
      assert_int_equal (json_integer_value (outcome.value),
                        is_recovered ? 2 : 0);
      json_decref (outcome.value);
      fixture_close (&fixture);
    }
}

static void
circuit_breaker_stops_calls_while_down (void **state)
{
  (void)state;
  fixture_t fixture;
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  fixture_set_switches (&fixture, "{\"down\":true}");
  outcome_t outcome;
  for (int i = 0; i < 200; i++)
    {
      start_call (platform, OPERATION_GET, 0, NULL, fixture.now, &outcome);
      while (!outcome.is_done)
        fixture_step (&fixture);
      assert_int_equal (outcome.status, GBD_ERROR_UNAVAILABLE);
    }
  gbd_platform_stats_t stats;
  gbd_platform_get_stats (platform, &stats);
  assert_true (stats.is_breaker_open);
  assert_true (fixture_count_calls (&fixture, KIND, "get") < 60);

  fixture_set_switches (&fixture, NO_FAULTS);
  fixture.now += 10 * GBD_SECOND;
  start_call (platform, OPERATION_GET, 0, NULL, fixture.now, &outcome);
  while (!outcome.is_done)
    fixture_step (&fixture);
  assert_int_equal (outcome.status, GBD_ERROR_NOT_FOUND);
  fixture_close (&fixture);
}

/* The objects that a watch has reported, and counts of its callbacks. */
typedef struct
{
  json_t *view; /* values of the objects, by name */
  uint64_t newest;
  int resets;
  int changes;
  int confirmations;
  int restores;
  gbd_time_t requested_at;
  bool refuses_relisting; /* `compacted` returns false */
  int failures;
} watch_view_t;

static void
record_reset (void *data)
{
  watch_view_t *view = data;
  view->resets++;
  json_object_clear (view->view);
}

static void
record_change (void *data, const char *name, uint64_t version, json_t *value)
{
  watch_view_t *view = data;
  view->changes++;
  view->newest = MAX (view->newest, version);
  if (value)
    json_object_set (view->view, name, value);
  else
    json_object_del (view->view, name);
}

static void
record_confirmation (void *data, gbd_time_t requested_at)
{
  watch_view_t *view = data;
  view->confirmations++;
  assert_true (requested_at >= view->requested_at);
  view->requested_at = requested_at;
}

static void
record_restore (void *data, uint64_t position, uint32_t era)
{
  watch_view_t *view = data;
  view->restores++;
  assert_int_equal (era, gbd_position_get_era (position) + 1);
}

static const gbd_platform_watch_callbacks_t view_callbacks
    = { .reset = record_reset,
        .changed = record_change,
        .confirmed = record_confirmation,
        .restored = record_restore };

static bool
allow_relisting (void *data)
{
  const watch_view_t *view = data;
  return !view->refuses_relisting;
}

static void
record_failure (void *data, gbd_time_t now)
{
  (void)now;
  watch_view_t *view = data;
  view->failures++;
}

static void
step_until_confirmed (fixture_t *fixture, const watch_view_t *view)
{
  /* Waits for a response to a request that is sent from now on. */
  gbd_time_t start = fixture->now;
  while (view->requested_at <= start)
    fixture_step (fixture);
}

/* One event during a watch, and the callbacks that it causes. */
typedef struct
{
  const char *label;
  const char *switches;
  const char *name; /* written to, if not NULL */
  const char *value;
  const char *later_switches; /* set after 300 steps */
  int changes;
  int resets;
} watch_row_t;

static const watch_row_t watch_rows[] = {
  { "write", NULL, "a", "1", NULL, 1, 0 },
  { "other prefix", NULL, "b", "1", NULL, 0, 0 },
  { "deletion", NULL, "a", NULL, NULL, 1, 0 },
  { "creation after deletion", NULL, "a", "2", NULL, 1, 0 },
  { "interrupted", "{\"cut_watches\":true}", "a", "3", NO_FAULTS, 1, 0 },
  { "down", "{\"down\":true}", "a", "4", NO_FAULTS, 1, 0 },
  { "replayed", "{\"replay_watches\":true}", "a", "5", NO_FAULTS, 1, 0 },
  { "replayed deletion", "{\"replay_watches\":true}", "a", NULL, NO_FAULTS, 1,
    0 },
  { "deletion replayed later", "{\"replay_watches\":true}", "ab", "1",
    NO_FAULTS, 1, 0 },
  { "stale", "{\"stale_reads\":true}", "a", "6", NO_FAULTS, 1, 0 },
  { "too slow", "{\"slow_ms\":90000}", "a", "7", NO_FAULTS, 1, 0 },
  { "three malformed responses", "{\"garble_answers\":3}", "a", "8", NULL, 1,
    0 },
  { "interrupted and replayed",
    "{\"cut_watches\":true,\"replay_watches\":true}", "a", "9",
    "{\"cut_watches\":false}", 1, 0 },
  { "no change", NO_FAULTS, NULL, NULL, NULL, 0, 0 },
};

static void
watch_reports_each_change_once (void **state)
{
  (void)state;
  fixture_t fixture;
  watch_view_t view = { .view = json_object () };
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  gbd_platform_watch_t *watch = gbd_platform_watch_new (
      platform, KIND, "a", fixture.now, &view_callbacks, &view);
  step_until_confirmed (&fixture, &view);
  assert_int_equal (view.resets, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (watch_rows); i++)
    {
      const watch_row_t *row = &watch_rows[i];
      int changes = view.changes;
      int resets = view.resets;
      print_message ("%s\n", row->label);
      if (row->switches)
        fixture_set_switches (&fixture, row->switches);
      if (row->name)
        fixture_write (&fixture, KIND, row->name, row->value);
      for (int step = 0; row->later_switches && step < 300; step++)
        fixture_step (&fixture);
      if (row->later_switches)
        fixture_set_switches (&fixture, row->later_switches);
      step_until_confirmed (&fixture, &view);
      assert_int_equal (view.changes - changes, row->changes);
      assert_int_equal (view.resets - resets, row->resets);
    }
  gbd_platform_watch_delete (watch);
  json_decref (view.view);
  fixture_close (&fixture);
}

/* An instance that had been partitioned from the platform received new routes
   up to 6 s after the partition ended, because the retries of its watch did
   not coincide with the half-open state of the circuit breaker. */
static void
refresh_sends_a_request_during_any_pause (void **state)
{
  (void)state;
  fixture_t fixture;
  watch_view_t view = { .view = json_object () };
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  gbd_platform_watch_t *watch = gbd_platform_watch_new (
      platform, KIND, "", fixture.now, &view_callbacks, &view);
  step_until_confirmed (&fixture, &view);
  for (int round = 0; round < 5; round++)
    {
      fixture_set_switches (&fixture, "{\"down\":true}");
      for (int step = 0; step < 600 + 17 * round; step++)
        fixture_step (&fixture);
      fixture_set_switches (&fixture, NO_FAULTS);
      gbd_time_t recovered_at = fixture.now;
      gbd_platform_watch_refresh (watch);
      step_until_confirmed (&fixture, &view);
      assert_true (fixture.now - recovered_at <= 5 * FIXTURE_STEP);
    }
  json_decref (view.view);
  fixture_close (&fixture);
}

static void
watch_relists_after_compaction (void **state)
{
  (void)state;
  fixture_t fixture;
  watch_view_t view = { .view = json_object () };
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  fixture_write (&fixture, KIND, "gone", "1");
  fixture_write (&fixture, KIND, "kept", "1");
  gbd_platform_watch_new (platform, KIND, "", fixture.now, &view_callbacks,
                          &view);
  step_until_confirmed (&fixture, &view);
  fixture_set_switches (&fixture, "{\"cut_watches\":true}");
  fixture_step (&fixture);
  fixture_write (&fixture, KIND, "gone", NULL);
  for (int i = 0; i <= PLATFORM_DELETED_MAX; i++)
    {
      fixture_write (&fixture, KIND, "passing", "1");
      fixture_write (&fixture, KIND, "passing", NULL);
    }
  fixture_set_switches (&fixture, NO_FAULTS);
  step_until_confirmed (&fixture, &view);
  assert_int_equal (view.resets, 2);
  assert_null (json_object_get (view.view, "gone"));
  assert_non_null (json_object_get (view.view, "kept"));
  json_decref (view.view);
  fixture_close (&fixture);
}

static void
watch_converges_to_the_state_of_the_platform (void **state)
{
  (void)state;
  static const char *const faults[] = { NO_FAULTS,
                                        "{\"down\":true}",
                                        "{\"cut_watches\":true}",
                                        "{\"stale_reads\":true}",
                                        "{\"stale_reads\":false}",
                                        "{\"slow_ms\":900}",
                                        "{\"replay_watches\":true}",
                                        "{\"garble_answers\":2}" };
  static const char *const names[] = { "a", "b", "c" };
  fixture_t fixture;
  watch_view_t view = { .view = json_object () };
  GRand *random = g_rand_new_with_seed (20261203);
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  gbd_platform_watch_new (platform, KIND, "", fixture.now, &view_callbacks,
                          &view);
  for (int i = 0; i < 400; i++)
    {
      fixture_set_switches (&fixture, faults[g_rand_int_range (random, 0, 8)]);
      char value[16];
      g_snprintf (value, sizeof value, "%d", i);
      bool is_kept = g_rand_int_range (random, 0, 3) > 0;
      fixture_write (&fixture, KIND, names[g_rand_int_range (random, 0, 3)],
                     is_kept ? value : NULL);
      for (int step = g_rand_int_range (random, 0, 60); step > 0; step--)
        fixture_step (&fixture);
    }
  fixture_set_switches (&fixture, NO_FAULTS);
  step_until_confirmed (&fixture, &view);
  json_t *expected = json_object ();
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      json_t *value = fixture_read (&fixture, KIND, names[i]);
      if (value)
        json_object_set_new (expected, names[i], value);
    }
  assert_true (json_equal (expected, view.view));
  json_decref (expected);
  json_decref (view.view);
  g_rand_free (random);
  fixture_close (&fixture);
}

static void
listing_spans_several_pages (void **state)
{
  (void)state;
  static const char *const names[] = { "d", "b", "e", "a", "c" };
  fixture_t fixture;
  watch_view_t view = { .view = json_object () };
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    fixture_write (&fixture, KIND, names[i], "1");
  gbd_platform_watch_t *watch = gbd_platform_watch_new (
      platform, KIND, "", fixture.now, &view_callbacks, &view);
  /* Between two pages, one object that has been listed changes, and one that
     has not been listed is created. */
  while (view.changes == 0)
    fixture_step (&fixture);
  fixture_write (&fixture, KIND, "a", "2");
  fixture_write (&fixture, KIND, "f", "2");
  step_until_confirmed (&fixture, &view);
  assert_int_equal (view.resets, 1);
  assert_int_equal (json_object_size (view.view), 6);
  assert_int_equal (json_integer_value (json_object_get (view.view, "a")), 2);
  assert_int_equal (json_integer_value (json_object_get (view.view, "f")), 2);
  assert_true (fixture_count_calls (&fixture, KIND, "list") >= 3);
  assert_true (gbd_platform_watch_get_version (watch)
               == gbd_position_make (1, 7));
  json_decref (view.view);
  fixture_close (&fixture);
}

/* The store is restored from an older copy and revisions are given out again,
   beyond the one that the watch had reached: the changes since that one are
   not those since the copy. */
static void
watch_lists_again_after_a_restore (void **state)
{
  (void)state;
  fixture_t fixture;
  watch_view_t view = { .view = json_object () };
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  fixture_write (&fixture, KIND, "a", "1");
  fixture_set_switches (&fixture, "{\"save_copy\":true}");
  fixture_write (&fixture, KIND, "b", "1");
  fixture_write (&fixture, KIND, "c", "1");
  gbd_platform_watch_t *watch = gbd_platform_watch_new (
      platform, KIND, "", fixture.now, &view_callbacks, &view);
  step_until_confirmed (&fixture, &view);
  uint64_t before = gbd_platform_watch_get_version (watch);
  fixture_set_switches (&fixture, "{\"restore\":true}");
  for (const char *name = "defghi"; *name; name++)
    fixture_write (&fixture, KIND, (const char[]){ *name, '\0' }, "2");
  while (view.resets < 2)
    fixture_step (&fixture);
  while (!json_object_get (view.view, "i"))
    fixture_step (&fixture);
  /* "b" and "c" are lost, and "d" has a revision that "b" had. */
  assert_int_equal (json_object_size (view.view), 7);
  assert_non_null (json_object_get (view.view, "d"));
  assert_null (json_object_get (view.view, "b"));
  assert_int_equal (view.restores, 1);
  assert_true (gbd_platform_watch_get_version (watch) > before);
  json_decref (view.view);
  fixture_close (&fixture);
}

/* A response of an earlier era that arrives late has no effect. */
static void
response_of_an_earlier_era_is_ignored (void **state)
{
  (void)state;
  fixture_t fixture;
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  static const char body[]
      = "{\"meta\":{\"name\":\"a\",\"mod_revision\":9},\"spec\":1}";
  gbd_http_response_t response = { .outcome = GBD_HTTP_COMPLETED,
                                   .status = 200,
                                   .body = body,
                                   .length = strlen (body),
                                   .number = 5 };
  gbd_platform_result_t result;
  gbd_platform_evaluate_response (platform, &response, false, &result);
  assert_int_equal (result.status, GBD_OK);
  assert_true (result.version == gbd_position_make (5, 9));
  json_decref (result.body);
  response.number = 0;
  gbd_platform_evaluate_response (platform, &response, false, &result);
  assert_true (result.version == gbd_position_make (5, 9));
  json_decref (result.body);
  response.number = 4;
  gbd_platform_evaluate_response (platform, &response, false, &result);
  assert_int_equal (result.status, GBD_ERROR_UNAVAILABLE);
  assert_null (result.body);
  /* The write may have been done, and lost by the restore. */
  gbd_platform_evaluate_response (platform, &response, true, &result);
  assert_int_equal (result.status, GBD_ERROR_UNKNOWN);
  fixture_close (&fixture);
}

/* Create or update the replica that serves stale reads. */
static void
refresh_stale_replica (fixture_t *fixture)
{
  platform_request_t request = {
    .verb = PLATFORM_GET, .kind = KIND, .name = "none", .allow_stale = true
  };
  platform_reply_t reply;
  fixture_set_switches (fixture, "{\"lag_ms\":3600000}");
  platform_store_handle (fixture->store, &request, fixture->now, &reply);
  json_decref (reply.body);
}

/* The first page is current, and the second comes from a replica that is
   behind.  A change between the two versions must not be missed. */
static void
pages_of_different_versions_miss_no_change (void **state)
{
  (void)state;
  fixture_t fixture;
  watch_view_t view = { .view = json_object () };
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  platform->settings.allow_stale_first_list = true;
  for (const char *name = "abcd"; *name; name++)
    fixture_write (&fixture, KIND, (const char[]){ *name, '\0' }, "1");
  refresh_stale_replica (&fixture);
  fixture_set_switches (&fixture, "{\"lag_ms\":0}");
  fixture_write (&fixture, KIND, "d", "2");
  gbd_platform_watch_new (platform, KIND, "", fixture.now, &view_callbacks,
                          &view);
  while (view.changes == 0)
    fixture_step (&fixture);
  assert_int_equal (view.changes, PAGE_ITEMS);
  fixture_set_switches (&fixture, "{\"lag_ms\":3600000}");
  step_until_confirmed (&fixture, &view);
  assert_int_equal (view.resets, 1);
  assert_int_equal (json_integer_value (json_object_get (view.view, "d")), 2);
  json_decref (view.view);
  fixture_close (&fixture);
}

static void
watch_relists_when_its_version_was_compacted (void **state)
{
  (void)state;
  fixture_t fixture;
  watch_view_t view = { .view = json_object () };
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  fixture_write (&fixture, KIND, "a", "1");
  fixture_write (&fixture, KIND, "b", "1");
  gbd_platform_watch_new (platform, KIND, "", fixture.now, &view_callbacks,
                          &view);
  step_until_confirmed (&fixture, &view);
  fixture_set_switches (&fixture, "{\"cut_watches\":true}");
  fixture_step (&fixture);
  fixture_write (&fixture, KIND, "a", NULL);
  fixture_set_switches (&fixture,
                        "{\"cut_watches\":false,\"forget_history\":true}");
  step_until_confirmed (&fixture, &view);
  assert_int_equal (view.resets, 2);
  assert_null (json_object_get (view.view, "a"));
  assert_non_null (json_object_get (view.view, "b"));
  json_decref (view.view);
  fixture_close (&fixture);
}

static void
user_may_refuse_to_relist_after_compaction (void **state)
{
  (void)state;
  gbd_platform_watch_callbacks_t callbacks = view_callbacks;
  callbacks.failed = record_failure;
  callbacks.compacted = allow_relisting;
  fixture_t fixture;
  watch_view_t view = { .view = json_object (), .refuses_relisting = true };
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  fixture_write (&fixture, KIND, "a", "1");
  gbd_platform_watch_new (platform, KIND, "", fixture.now, &callbacks, &view);
  step_until_confirmed (&fixture, &view);
  fixture_set_switches (&fixture, "{\"cut_watches\":true}");
  fixture_step (&fixture);
  fixture_write (&fixture, KIND, "b", "1");
  fixture_set_switches (&fixture,
                        "{\"cut_watches\":false,\"forget_history\":true}");
  view.failures = 0;
  while (view.failures < 3)
    fixture_step (&fixture);
  assert_int_equal (view.resets, 1);
  view.refuses_relisting = false;
  step_until_confirmed (&fixture, &view);
  assert_int_equal (view.resets, 2);
  assert_non_null (json_object_get (view.view, "b"));
  json_decref (view.view);
  fixture_close (&fixture);
}

#define SLOW_PIECES 20
#define SLOW_TIMEOUT_MS 200
#define SLOW_PIECE_INTERVAL (100 * GBD_MILLISECOND)
#define SLOW_STEPS_MAX 1000

/* A server that sends one response in pieces. */
typedef struct
{
  int listen_fd;
  int fd;
  int sent_pieces;
  int pieces_max; /* the connection stalls after so many pieces */
  gbd_time_t next_piece_at;
} slow_server_t;

static gbd_address_t
open_slow_server (slow_server_t *server, int pieces_max)
{
  struct sockaddr_in name = { .sin_family = AF_INET };
  socklen_t length = sizeof name;
  gbd_address_t address;
  *server = (slow_server_t){ .fd = -1, .pieces_max = pieces_max };
  name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  assert_int_equal (
      bind (server->listen_fd, (struct sockaddr *)&name, sizeof name), 0);
  assert_int_equal (listen (server->listen_fd, 1), 0);
  getsockname (server->listen_fd, (struct sockaddr *)&name, &length);
  gbd_address_parse ("127.0.0.1:1", &address);
  address.port = ntohs (name.sin_port);
  return address;
}

/* Sends the next piece if it is due: {"version":1,"items":[...]}, padded. */
static void
serve_slowly (slow_server_t *server, gbd_time_t now)
{
  static const char body[] = "{\"version\":1,\"items\":[]}";
  char text[128];
  if (server->fd < 0)
    {
      server->fd = accept (server->listen_fd, NULL, NULL);
      if (server->fd < 0)
        return;
      int length = g_snprintf (text, sizeof text,
                               "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
                               SLOW_PIECES + (int)strlen (body));
      assert_int_equal (send (server->fd, text, (size_t)length, 0), length);
      server->next_piece_at = now + SLOW_PIECE_INTERVAL;
    }
  if (now < server->next_piece_at || server->sent_pieces >= server->pieces_max)
    return;
  server->next_piece_at = now + SLOW_PIECE_INTERVAL;
  bool is_last = ++server->sent_pieces == SLOW_PIECES;
  g_snprintf (text, sizeof text, " %s", is_last ? body : "");
  send (server->fd, text, strlen (text), MSG_NOSIGNAL);
}

/* Seen on a played day: after a loss of power all instances read the routes
   (330 kB) at once.  The store's link needed 1.5 s for them, but each request
   was abandoned after 1 s and sent again, so the return took 4 s. */
static void
listing_is_not_abandoned_while_it_arrives (void **state)
{
  (void)state;
  static const struct
  {
    int pieces;
    bool is_complete;
  } rows[] = { { SLOW_PIECES, true }, { SLOW_PIECES / 2, false } };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fixture_t fixture;
      slow_server_t server;
      watch_view_t view = { .view = json_object () };
      gbd_platform_watch_callbacks_t callbacks = view_callbacks;
      callbacks.failed = record_failure;
      fixture_open (&fixture, 0);
      gbd_platform_settings_t settings
          = { .platform = open_slow_server (&server, rows[i].pieces),
              .call_timeout_ms = SLOW_TIMEOUT_MS };
      fixture.platform = gbd_platform_new (fixture.context, &settings);
      gbd_platform_watch_new (fixture.platform, KIND, "", fixture.now,
                              &callbacks, &view);
      for (int step = 0; step < SLOW_STEPS_MAX && view.confirmations == 0
                         && view.failures == 0;
           step++)
        {
          lws_cancel_service (fixture.context);
          lws_service (fixture.context, 0);
          serve_slowly (&server, fixture.now);
          fixture.now += FIXTURE_STEP;
          gbd_platform_tick (fixture.platform, fixture.now);
        }
      assert_int_equal (view.confirmations, rows[i].is_complete);
      assert_int_equal (view.failures, !rows[i].is_complete);
      json_decref (view.view);
      close (server.fd);
      close (server.listen_fd);
      fixture_close (&fixture);
    }
}

/* Seen on a played day: when no relay responded, the routes were requested
   again, which abandoned the listing of 287 kB that was arriving and doubled
   the time of the start. */
static void
refresh_does_not_abandon_a_listing (void **state)
{
  (void)state;
  fixture_t fixture;
  slow_server_t server;
  watch_view_t view = { .view = json_object () };
  gbd_platform_watch_callbacks_t callbacks = view_callbacks;
  callbacks.failed = record_failure;
  fixture_open (&fixture, 0);
  gbd_platform_settings_t settings
      = { .platform = open_slow_server (&server, SLOW_PIECES),
          .call_timeout_ms = SLOW_TIMEOUT_MS };
  fixture.platform = gbd_platform_new (fixture.context, &settings);
  gbd_platform_watch_t *watch = gbd_platform_watch_new (
      fixture.platform, KIND, "", fixture.now, &callbacks, &view);
  bool is_refreshed = false;
  for (int step = 0; step < SLOW_STEPS_MAX && view.confirmations == 0; step++)
    {
      lws_cancel_service (fixture.context);
      lws_service (fixture.context, 0);
      serve_slowly (&server, fixture.now);
      if (server.sent_pieces == SLOW_PIECES / 2 && !is_refreshed)
        {
          gbd_platform_watch_refresh (watch);
          is_refreshed = true;
        }
      fixture.now += FIXTURE_STEP;
      gbd_platform_tick (fixture.platform, fixture.now);
    }
  assert_true (is_refreshed);
  assert_int_equal (view.confirmations, 1);
  assert_int_equal (view.failures, 0);
  json_decref (view.view);
  close (server.fd);
  close (server.listen_fd);
  fixture_close (&fixture);
}

static int
count_full_calls (fixture_t *fixture)
{
  json_t *stats = platform_store_get_stats (fixture->store);
  json_t *stale = json_object_get (json_object_get (stats, "lagging"), KIND);
  int count = fixture_count_calls (fixture, KIND, "list")
              + fixture_count_calls (fixture, KIND, "watch")
              - (int)json_integer_value (stale);
  json_decref (stats);
  return count;
}

/* Hundreds of instances retry when the platform fails.  A retry of a watch
   that allows stale reads must be a stale read, which replicas answer; only a
   refresh must not. */
static void
retries_of_a_stale_watch_are_stale_reads (void **state)
{
  (void)state;
  fixture_t fixture;
  watch_view_t view = { .view = json_object () };
  gbd_platform_watch_callbacks_t callbacks = view_callbacks;
  callbacks.failed = record_failure;
  fixture_open (&fixture, 0);
  gbd_platform_t *platform = make_platform (&fixture);
  fixture_write (&fixture, KIND, "a", "1");
  gbd_platform_watch_t *watch = gbd_platform_watch_new (
      platform, KIND, "", fixture.now, &callbacks, &view);
  gbd_platform_watch_set_allow_stale (watch, true);
  step_until_confirmed (&fixture, &view);
  fixture_set_switches (&fixture, "{\"cut_watches\":true}");
  int before = count_full_calls (&fixture);
  while (view.failures < 3)
    fixture_step (&fixture);
  fixture_set_switches (&fixture, "{\"cut_watches\":false}");
  step_until_confirmed (&fixture, &view);
  assert_int_equal (count_full_calls (&fixture), before);
  gbd_platform_watch_refresh (watch);
  step_until_confirmed (&fixture, &view);
  assert_int_equal (count_full_calls (&fixture), before + 1);
  json_decref (view.view);
  fixture_close (&fixture);
}

static int
use_objects_api (void **state)
{
  (void)state;
  platform_api = &gbd_platform_api_objects;
  return 0;
}

int
main (void)
{
  const struct CMUnitTest objects_tests[] = {
    cmocka_unit_test (call_status_matches_the_effect_under_faults),
    cmocka_unit_test (write_over_the_rate_is_refused),
    cmocka_unit_test (stale_read_is_retried),
    cmocka_unit_test (circuit_breaker_stops_calls_while_down),
    cmocka_unit_test (watch_reports_each_change_once),
    cmocka_unit_test (refresh_sends_a_request_during_any_pause),
    cmocka_unit_test (watch_relists_after_compaction),
    cmocka_unit_test (watch_converges_to_the_state_of_the_platform),
    cmocka_unit_test (listing_spans_several_pages),
    cmocka_unit_test (watch_lists_again_after_a_restore),
    cmocka_unit_test (response_of_an_earlier_era_is_ignored),
    cmocka_unit_test (pages_of_different_versions_miss_no_change),
    cmocka_unit_test (watch_relists_when_its_version_was_compacted),
    cmocka_unit_test (retries_of_a_stale_watch_are_stale_reads),
  };
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (call_status_matches_the_effect_under_faults),
    cmocka_unit_test (call_to_a_closed_port_is_unavailable),
    cmocka_unit_test (write_over_the_rate_is_refused),
    cmocka_unit_test (value_over_the_limit_is_not_sent),
    cmocka_unit_test (stale_read_is_retried),
    cmocka_unit_test (circuit_breaker_stops_calls_while_down),
    cmocka_unit_test (watch_reports_each_change_once),
    cmocka_unit_test (refresh_sends_a_request_during_any_pause),
    cmocka_unit_test (watch_relists_after_compaction),
    cmocka_unit_test (watch_converges_to_the_state_of_the_platform),
    cmocka_unit_test (watch_relists_when_its_version_was_compacted),
    cmocka_unit_test (user_may_refuse_to_relist_after_compaction),
    cmocka_unit_test (listing_is_not_abandoned_while_it_arrives),
    cmocka_unit_test (refresh_does_not_abandon_a_listing),
  };
  int failed = cmocka_run_group_tests (tests, NULL, NULL);
  return failed
         + cmocka_run_group_tests (objects_tests, use_objects_api, NULL);
}
