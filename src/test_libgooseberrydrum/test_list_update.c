#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "list_update_fixture.h"

#define BASE_GENERATION 2 /* generation after store_open */

/* One list update.  `faults` has one letter per call to the store (see
   FAULTS); the last letter applies to all further calls. */
typedef struct
{
  const char *faults;
  gbd_list_update_result_t result;
  uint64_t generation; /* generation in the store at the end */
} row_t;

static const row_t rows[] = {
  { "k", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  { "kdk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  { "dk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  { "gk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  { "d", GBD_LIST_UPDATE_UNAVAILABLE, BASE_GENERATION },
  { "kd", GBD_LIST_UPDATE_UNAVAILABLE, BASE_GENERATION },
  { "klk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  { "kld", GBD_LIST_UPDATE_UNKNOWN, BASE_GENERATION + 1 },
  { "knk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  { "knd", GBD_LIST_UPDATE_UNKNOWN, BASE_GENERATION },
  { "knknk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  { "knklk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  { "ktkk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  { "ktktk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  { "klsk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  { "klslk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 1 },
  /* A stale read returns a version older than the base. */
  { "sk", GBD_LIST_UPDATE_CONFLICT, BASE_GENERATION },
  /* Another operator changes the same list first. */
  { "ok", GBD_LIST_UPDATE_CONFLICT, BASE_GENERATION + 1 },
  { "kok", GBD_LIST_UPDATE_CONFLICT, BASE_GENERATION + 1 },
  { "kqk", GBD_LIST_UPDATE_CONFLICT, BASE_GENERATION + 1 },
  { "kqd", GBD_LIST_UPDATE_UNKNOWN, BASE_GENERATION + 1 },
  { "knok", GBD_LIST_UPDATE_CONFLICT, BASE_GENERATION + 1 },
  { "ktok", GBD_LIST_UPDATE_CONFLICT, BASE_GENERATION + 1 },
  /* Another operator changes the same list after the lost response. */
  { "klok", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 2 },
  { "kldok", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 2 },
  /* Another operator changes the other list. */
  { "pk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 2 },
  { "kpk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 2 },
  { "knpk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 2 },
  { "knplk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 2 },
  { "klpk", GBD_LIST_UPDATE_ACCEPTED, BASE_GENERATION + 2 },
  { "kpok", GBD_LIST_UPDATE_CONFLICT, BASE_GENERATION + 2 },
};

static void
run_to_end (store_t *store, gbd_list_update_t *update, gbd_list_t list,
            const char *faults)
{
  gbd_time_t now = 0;
  while (gbd_list_update_get_action (update) != GBD_LIST_UPDATE_DONE)
    {
      if (store_step (store, update, list, *faults, &now) && faults[1])
        faults++;
    }
  store_deliver_delayed (store);
}

static void
no_accepted_change_is_lost_under_faults (void **state)
{
  (void)state;
  for (size_t i = 0; i < 2 * sizeof rows / sizeof rows[0]; i++)
    {
      const row_t *row = &rows[i / 2];
      gbd_list_t list = i % 2 ? GBD_LIST_PLANS : GBD_LIST_CUSTOMERS;
      store_t store;
      store_open (&store);
      gbd_list_update_t *update
          = start_update (list, "own", 7, BASE_GENERATION);
      run_to_end (&store, update, list, row->faults);
      print_message ("%s: %s\n", row->faults,
                     gbd_list_update_get_message (update));
      assert_int_equal (gbd_list_update_get_result (update), row->result);
      assert_int_equal (gbd_accepted_get_generation (store.value),
                        row->generation);
      assert_true (result_matches_store (&store, update, "own"));
      assert_false (store.has_lost_change);
      gbd_list_update_delete (update);
      store_close (&store);
    }
}

static void
conflict_names_both_changes_and_the_command (void **state)
{
  (void)state;
  store_t store;
  store_open (&store);
  gbd_list_update_t *update
      = start_update (GBD_LIST_CUSTOMERS, "own", 7, BASE_GENERATION);
  run_to_end (&store, update, GBD_LIST_CUSTOMERS, "ok");
  assert_string_equal (
      gbd_list_update_get_message (update),
      "not accepted: your change own by ana is based on generation 2, but "
      "change other-102 by joao (generation 3) was accepted since; run "
      "`gooseberrydrum customers get`, make your change in that list and "
      "apply it");
  gbd_list_update_delete (update);
  store_close (&store);
}

static void
file_without_generation_creates_the_first_list_only (void **state)
{
  (void)state;
  store_t store;
  memset (&store, 0, sizeof store);
  gbd_list_update_t *update
      = start_update (GBD_LIST_PLANS, "first", 7, GBD_GENERATION_FROM_FILE);
  run_to_end (&store, update, GBD_LIST_PLANS, "k");
  assert_int_equal (gbd_list_update_get_result (update),
                    GBD_LIST_UPDATE_ACCEPTED);
  gbd_list_update_delete (update);

  update
      = start_update (GBD_LIST_PLANS, "second", 8, GBD_GENERATION_FROM_FILE);
  run_to_end (&store, update, GBD_LIST_PLANS, "k");
  assert_int_equal (gbd_list_update_get_result (update),
                    GBD_LIST_UPDATE_CONFLICT);
  gbd_list_update_delete (update);

  /* Applying the accepted list again is never a conflict. */
  update = start_update (GBD_LIST_PLANS, "third", 7, GBD_GENERATION_FROM_FILE);
  run_to_end (&store, update, GBD_LIST_PLANS, "k");
  assert_int_equal (gbd_list_update_get_result (update),
                    GBD_LIST_UPDATE_UNCHANGED);
  assert_int_equal (store.writes, 1);
  gbd_list_update_delete (update);
  store_close (&store);
}

static void
list_is_checked_against_the_other_accepted_list (void **state)
{
  (void)state;
  store_t store;
  memset (&store, 0, sizeof store);
  gbd_list_update_t *update = start_update (GBD_LIST_CUSTOMERS, "own", 7, 0);
  run_to_end (&store, update, GBD_LIST_CUSTOMERS, "k");
  assert_int_equal (gbd_list_update_get_result (update),
                    GBD_LIST_UPDATE_REFUSED);
  assert_int_equal (
      gbd_list_errors_get_count (gbd_list_update_get_errors (update)), 1);
  assert_int_equal (store.writes, 0);
  gbd_list_update_delete (update);
  store_close (&store);
}

static void
base_generation_beyond_the_history_is_a_conflict (void **state)
{
  (void)state;
  store_t store;
  store_open (&store);
  for (int i = 0; i < GBD_ACCEPTED_HISTORY_MAX + 1; i++)
    store_change_by_other (&store, GBD_LIST_PLANS);
  gbd_list_update_t *update
      = start_update (GBD_LIST_CUSTOMERS, "own", 7, BASE_GENERATION);
  run_to_end (&store, update, GBD_LIST_CUSTOMERS, "k");
  assert_int_equal (gbd_list_update_get_result (update),
                    GBD_LIST_UPDATE_CONFLICT);
  gbd_list_update_delete (update);

  /* A lost response stays unknown when the history no longer contains the
     generation of the write. */
  update = start_update (GBD_LIST_CUSTOMERS, "lost", 7,
                         (int64_t)gbd_accepted_get_generation (store.value));
  gbd_time_t now = 0;
  store_step (&store, update, GBD_LIST_CUSTOMERS, 'k', &now);
  store_step (&store, update, GBD_LIST_CUSTOMERS, 'l', &now);
  for (int i = 0; i < GBD_ACCEPTED_HISTORY_MAX; i++)
    store_change_by_other (&store, GBD_LIST_PLANS);
  run_to_end (&store, update, GBD_LIST_CUSTOMERS, "k");
  assert_int_equal (gbd_list_update_get_result (update),
                    GBD_LIST_UPDATE_UNKNOWN);
  gbd_list_update_delete (update);
  store_close (&store);
}

static void
damaged_object_is_not_overwritten (void **state)
{
  (void)state;
  static const char *const texts[] = {
    "[]",
    "{\"generation\":1,\"change\":\"a\",\"author\":\"b\",\"at\":\"c\"}",
    "{\"generation\":2,\"change\":\"a\",\"author\":\"b\",\"at\":\"c\","
    "\"history\":[{\"generation\":1,\"change\":\"a\",\"author\":\"b\","
    "\"at\":\"c\",\"list\":\"plans\"}]}",
  };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      json_t *value = json_loads (texts[i], 0, NULL);
      gbd_catalog_t *catalog;
      gbd_list_update_t *update = start_update (GBD_LIST_PLANS, "own", 7, 0);
      gbd_list_update_receive (update, GBD_OK, 1, value, 0);
      assert_int_equal (gbd_list_update_get_result (update),
                        GBD_LIST_UPDATE_FAILED);
      assert_int_equal (gbd_accepted_to_catalog (value, &catalog),
                        GBD_ERROR_FORMAT);
      gbd_list_update_delete (update);
      json_decref (value);
    }
}

static void
accepted_object_converts_to_a_catalog (void **state)
{
  (void)state;
  store_t store;
  store_open (&store);
  gbd_catalog_t *catalog;
  assert_int_equal (gbd_accepted_to_catalog (store.value, &catalog), GBD_OK);
  assert_int_equal (gbd_catalog_get_generation (catalog), BASE_GENERATION);
  assert_int_equal (gbd_catalog_get_service_count (catalog), 1);
  gbd_catalog_delete (catalog);
  store_close (&store);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (no_accepted_change_is_lost_under_faults),
    cmocka_unit_test (conflict_names_both_changes_and_the_command),
    cmocka_unit_test (file_without_generation_creates_the_first_list_only),
    cmocka_unit_test (list_is_checked_against_the_other_accepted_list),
    cmocka_unit_test (base_generation_beyond_the_history_is_a_conflict),
    cmocka_unit_test (damaged_object_is_not_overwritten),
    cmocka_unit_test (accepted_object_converts_to_a_catalog),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
