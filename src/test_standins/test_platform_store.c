#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "standins/platform_store.h"

#define NOW (100 * GBD_SECOND)

/* One call: switches to set before it, the request and the expected reply. */
typedef struct
{
  const char *switches;
  platform_verb_t verb;
  const char *name;
  uint64_t version;
  const char *body;
  int status; /* 0 if the call waits */
  int flags;
  uint64_t reply_version;
} row_t;

static const row_t rows[] = {
  { NULL, PLATFORM_GET, "a", 0, NULL, 404, 0, 0 },
  { NULL, PLATFORM_PUT, "a", 7, "1", 409, 0, 0 },
  { NULL, PLATFORM_PUT, "a", 0, "{", 400, 0, 0 },
  { NULL, PLATFORM_PUT, "a", 0, "1", 200, 0, 1 },
  { NULL, PLATFORM_PUT, "a", 0, "2", 409, 0, 1 },
  { NULL, PLATFORM_GET, "a", 0, NULL, 200, 0, 1 },
  { NULL, PLATFORM_LIST, "", 0, NULL, 200, 0, 1 },
  { NULL, PLATFORM_WATCH, "", 1, NULL, 0, PLATFORM_REPLY_WAIT, 0 },
  { "{\"lose_answers\":1}", PLATFORM_PUT, "a", 1, "2", 200,
    PLATFORM_REPLY_DROPPED, 2 },
  { NULL, PLATFORM_GET, "a", 0, NULL, 200, 0, 2 },
  { "{\"stale_reads\":true}", PLATFORM_PUT, "a", 2, "3", 200, 0, 3 },
  { NULL, PLATFORM_GET, "a", 0, NULL, 200, 0, 2 },
  { NULL, PLATFORM_WATCH, "", 2, NULL, 0, PLATFORM_REPLY_WAIT, 0 },
  { "{\"stale_reads\":false}", PLATFORM_GET, "a", 0, NULL, 200, 0, 3 },
  { NULL, PLATFORM_WATCH, "", 2, NULL, 200, 0, 3 },
  { "{\"down\":true}", PLATFORM_PUT, "a", 3, "4", 503, 0, 0 },
  { NULL, PLATFORM_WATCH, "", 3, NULL, 503, 0, 0 },
  { "{\"down\":false,\"cut_watches\":true}", PLATFORM_WATCH, "", 3, NULL, 0,
    PLATFORM_REPLY_DROPPED, 0 },
  { "{\"cut_watches\":false}", PLATFORM_DELETE, "a", 2, NULL, 409, 0, 3 },
  { NULL, PLATFORM_DELETE, "a", 3, NULL, 200, 0, 4 },
  { NULL, PLATFORM_DELETE, "a", 0, NULL, 404, 0, 0 },
  { NULL, PLATFORM_GET, "a", 0, NULL, 404, 0, 0 },
  { NULL, PLATFORM_WATCH, "", 3, NULL, 200, 0, 4 },
  { NULL, PLATFORM_PUT, "a", 4, "5", 409, 0, 0 },
  { NULL, PLATFORM_PUT, "a", 0, "5", 200, 0, 5 },
};

static void
call (platform_store_t *store, const row_t *row, gbd_time_t now,
      platform_reply_t *reply)
{
  platform_request_t request = { .verb = row->verb,
                                 .kind = "tables",
                                 .version = row->version,
                                 .body = row->body };
  strcpy (request.name, row->name);
  request.body_length = row->body ? strlen (row->body) : 0;
  platform_store_handle (store, &request, now, reply);
}

static void
each_call_gets_the_expected_reply (void **state)
{
  (void)state;
  platform_store_t *store = platform_store_new (0, 0, NOW);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const row_t *row = &rows[i];
      platform_reply_t reply;
      if (row->switches)
        {
          json_t *switches = json_loads (row->switches, 0, NULL);
          assert_int_equal (platform_store_set_switches (store, switches),
                            GBD_OK);
          json_decref (switches);
        }
      call (store, row, NOW, &reply);
      print_message ("row %zu\n", i);
      assert_int_equal (reply.status, row->status);
      assert_int_equal (reply.flags, row->flags);
      json_t *version = json_object_get (reply.body, "version");
      assert_int_equal (json_integer_value (version), row->reply_version);
      json_decref (reply.body);
    }
  platform_store_delete (store);
}

static void
reads_and_writes_have_separate_rate_limits (void **state)
{
  (void)state;
  platform_store_t *store = platform_store_new (2, 3, NOW);
  static const row_t watch = { .verb = PLATFORM_WATCH, .name = "" };
  static const row_t put = { .verb = PLATFORM_PUT, .name = "a", .body = "{" };
  int refused[2] = { 0, 0 };
  for (int i = 0; i < 10; i++)
    {
      platform_reply_t reply;
      call (store, &watch, NOW, &reply);
      refused[0] += reply.status == 429;
      call (store, &put, NOW, &reply);
      refused[1] += reply.status == 429;
    }
  assert_int_equal (refused[0], 7);
  assert_int_equal (refused[1], 8);
  platform_reply_t reply;
  call (store, &put, NOW + GBD_SECOND, &reply);
  assert_int_equal (reply.status, 400);
  platform_store_delete (store);
}

static void
old_deletions_are_compacted (void **state)
{
  (void)state;
  platform_store_t *store = platform_store_new (0, 0, NOW);
  uint64_t version = 0;
  platform_reply_t reply;
  for (int i = 0; i <= PLATFORM_DELETED_MAX; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "n%d", i);
      row_t put = { .verb = PLATFORM_PUT, .name = name, .body = "1" };
      call (store, &put, NOW, &reply);
      json_decref (reply.body);
      version++;
      row_t remove
          = { .verb = PLATFORM_DELETE, .name = name, .version = version };
      call (store, &remove, NOW, &reply);
      assert_int_equal (reply.status, 200);
      json_decref (reply.body);
      version++;
    }
  row_t watch = { .verb = PLATFORM_WATCH, .name = "", .version = 1 };
  call (store, &watch, NOW, &reply);
  assert_int_equal (reply.status, 410);
  watch.version = 2;
  call (store, &watch, NOW, &reply);
  assert_int_equal (reply.status, 200);
  json_decref (reply.body);
  platform_store_delete (store);
}

static void
oversized_values_are_rejected (void **state)
{
  (void)state;
  platform_store_t *store = platform_store_new (0, 0, NOW);
  char *text = malloc (PLATFORM_VALUE_MAX + 2);
  for (size_t extra = 0; extra < 2; extra++)
    {
      size_t length = PLATFORM_VALUE_MAX + extra;
      memset (text, 'x', length);
      text[0] = text[length - 1] = '"';
      text[length] = '\0';
      row_t put = { .verb = PLATFORM_PUT, .name = "a", .body = text };
      platform_reply_t reply;
      call (store, &put, NOW, &reply);
      assert_int_equal (reply.status, extra ? 413 : 200);
      json_decref (reply.body);
    }
  free (text);
  platform_store_delete (store);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (each_call_gets_the_expected_reply),
    cmocka_unit_test (reads_and_writes_have_separate_rate_limits),
    cmocka_unit_test (old_deletions_are_compacted),
    cmocka_unit_test (oversized_values_are_rejected),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
