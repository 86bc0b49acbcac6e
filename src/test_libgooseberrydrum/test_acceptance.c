#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "acceptance_fixture.h"

#define BASE 2 /* generation that platform_open leaves */

/* Faults of the calls in order, the last one for all further calls. */
typedef struct
{
  const char *faults;
  gbd_acceptance_result_t result;
  uint64_t generation; /* of the platform in the end */
} row_t;

static const row_t rows[] = {
  { "k", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "kdk", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "dk", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "gk", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "d", GBD_ACCEPTANCE_UNAVAILABLE, BASE },
  { "kd", GBD_ACCEPTANCE_UNAVAILABLE, BASE },
  { "klk", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "kld", GBD_ACCEPTANCE_UNKNOWN, BASE + 1 },
  { "knk", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "knd", GBD_ACCEPTANCE_UNKNOWN, BASE },
  { "knknk", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "knklk", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "ktkk", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "ktktk", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "klsk", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "klslk", GBD_ACCEPTANCE_ACCEPTED, BASE + 1 },
  { "sk", GBD_ACCEPTANCE_CONFLICT, BASE }, /* a read from before its base */
  /* Another operator is first with the same list. */
  { "ok", GBD_ACCEPTANCE_CONFLICT, BASE + 1 },
  { "kok", GBD_ACCEPTANCE_CONFLICT, BASE + 1 },
  { "kqk", GBD_ACCEPTANCE_CONFLICT, BASE + 1 },
  { "kqd", GBD_ACCEPTANCE_UNKNOWN, BASE + 1 },
  { "knok", GBD_ACCEPTANCE_CONFLICT, BASE + 1 },
  { "ktok", GBD_ACCEPTANCE_CONFLICT, BASE + 1 },
  /* Another operator comes after the lost answer. */
  { "klok", GBD_ACCEPTANCE_ACCEPTED, BASE + 2 },
  { "kldok", GBD_ACCEPTANCE_ACCEPTED, BASE + 2 },
  /* Another operator changes the other list. */
  { "pk", GBD_ACCEPTANCE_ACCEPTED, BASE + 2 },
  { "kpk", GBD_ACCEPTANCE_ACCEPTED, BASE + 2 },
  { "knpk", GBD_ACCEPTANCE_ACCEPTED, BASE + 2 },
  { "knplk", GBD_ACCEPTANCE_ACCEPTED, BASE + 2 },
  { "klpk", GBD_ACCEPTANCE_ACCEPTED, BASE + 2 },
  { "kpok", GBD_ACCEPTANCE_CONFLICT, BASE + 2 },
};

static void
run (platform_t *platform, gbd_acceptance_t *acceptance, gbd_list_t list,
     const char *faults)
{
  gbd_time_t now = 0;
  while (gbd_acceptance_get_action (acceptance) != GBD_ACCEPTANCE_END)
    {
      if (platform_step (platform, acceptance, list, *faults, &now)
          && faults[1])
        faults++;
    }
  platform_arrive_late (platform);
}

static void
nothing_accepted_is_lost_under_faults (void **state)
{
  (void)state;
  for (size_t i = 0; i < 2 * sizeof rows / sizeof rows[0]; i++)
    {
      const row_t *row = &rows[i / 2];
      gbd_list_t list = i % 2 ? GBD_LIST_PLANS : GBD_LIST_CUSTOMERS;
      platform_t platform;
      platform_open (&platform);
      gbd_acceptance_t *acceptance = start_change (list, "own", 7, BASE);
      run (&platform, acceptance, list, row->faults);
      print_message ("%s: %s\n", row->faults,
                     gbd_acceptance_get_message (acceptance));
      assert_int_equal (gbd_acceptance_get_result (acceptance), row->result);
      assert_int_equal (gbd_accepted_get_generation (platform.value),
                        row->generation);
      assert_true (is_truthful (&platform, acceptance, "own"));
      assert_false (platform.has_reverted);
      gbd_acceptance_delete (acceptance);
      platform_close (&platform);
    }
}

static void
conflict_names_both_changes_and_the_command (void **state)
{
  (void)state;
  platform_t platform;
  platform_open (&platform);
  gbd_acceptance_t *acceptance
      = start_change (GBD_LIST_CUSTOMERS, "own", 7, BASE);
  run (&platform, acceptance, GBD_LIST_CUSTOMERS, "ok");
  assert_string_equal (
      gbd_acceptance_get_message (acceptance),
      "not accepted: your change own by ana starts from generation 2, but "
      "change other-102 by joao (generation 3) was accepted since; run "
      "`gooseberrydrum customers get`, put your change into that list and "
      "apply it");
  gbd_acceptance_delete (acceptance);
  platform_close (&platform);
}

static void
file_without_generation_is_for_a_first_list_only (void **state)
{
  (void)state;
  platform_t platform;
  memset (&platform, 0, sizeof platform);
  gbd_acceptance_t *acceptance
      = start_change (GBD_LIST_PLANS, "first", 7, GBD_GENERATION_FROM_FILE);
  run (&platform, acceptance, GBD_LIST_PLANS, "k");
  assert_int_equal (gbd_acceptance_get_result (acceptance),
                    GBD_ACCEPTANCE_ACCEPTED);
  gbd_acceptance_delete (acceptance);

  acceptance
      = start_change (GBD_LIST_PLANS, "second", 8, GBD_GENERATION_FROM_FILE);
  run (&platform, acceptance, GBD_LIST_PLANS, "k");
  assert_int_equal (gbd_acceptance_get_result (acceptance),
                    GBD_ACCEPTANCE_CONFLICT);
  gbd_acceptance_delete (acceptance);

  /* The list in force may be applied again at any time. */
  acceptance
      = start_change (GBD_LIST_PLANS, "third", 7, GBD_GENERATION_FROM_FILE);
  run (&platform, acceptance, GBD_LIST_PLANS, "k");
  assert_int_equal (gbd_acceptance_get_result (acceptance),
                    GBD_ACCEPTANCE_UNCHANGED);
  assert_int_equal (platform.writes, 1);
  gbd_acceptance_delete (acceptance);
  platform_close (&platform);
}

static void
list_is_checked_with_the_accepted_other_one (void **state)
{
  (void)state;
  platform_t platform;
  memset (&platform, 0, sizeof platform);
  gbd_acceptance_t *acceptance
      = start_change (GBD_LIST_CUSTOMERS, "own", 7, 0);
  run (&platform, acceptance, GBD_LIST_CUSTOMERS, "k");
  assert_int_equal (gbd_acceptance_get_result (acceptance),
                    GBD_ACCEPTANCE_REFUSED);
  assert_int_equal (
      gbd_list_errors_get_count (gbd_acceptance_get_errors (acceptance)), 1);
  assert_int_equal (platform.writes, 0);
  gbd_acceptance_delete (acceptance);
  platform_close (&platform);
}

static void
base_that_the_history_forgot_is_a_conflict (void **state)
{
  (void)state;
  platform_t platform;
  platform_open (&platform);
  for (int i = 0; i < GBD_ACCEPTED_HISTORY_MAX + 1; i++)
    platform_change (&platform, GBD_LIST_PLANS);
  gbd_acceptance_t *acceptance
      = start_change (GBD_LIST_CUSTOMERS, "own", 7, BASE);
  run (&platform, acceptance, GBD_LIST_CUSTOMERS, "k");
  assert_int_equal (gbd_acceptance_get_result (acceptance),
                    GBD_ACCEPTANCE_CONFLICT);
  gbd_acceptance_delete (acceptance);

  /* A lost answer that the history no longer explains stays unknown. */
  acceptance
      = start_change (GBD_LIST_CUSTOMERS, "lost", 7,
                      (int64_t)gbd_accepted_get_generation (platform.value));
  gbd_time_t now = 0;
  platform_step (&platform, acceptance, GBD_LIST_CUSTOMERS, 'k', &now);
  platform_step (&platform, acceptance, GBD_LIST_CUSTOMERS, 'l', &now);
  for (int i = 0; i < GBD_ACCEPTED_HISTORY_MAX; i++)
    platform_change (&platform, GBD_LIST_PLANS);
  run (&platform, acceptance, GBD_LIST_CUSTOMERS, "k");
  assert_int_equal (gbd_acceptance_get_result (acceptance),
                    GBD_ACCEPTANCE_UNKNOWN);
  gbd_acceptance_delete (acceptance);
  platform_close (&platform);
}

static void
damaged_object_is_left_alone (void **state)
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
      gbd_acceptance_t *acceptance
          = start_change (GBD_LIST_PLANS, "own", 7, 0);
      gbd_acceptance_receive (acceptance, GBD_OK, 1, value, 0);
      assert_int_equal (gbd_acceptance_get_result (acceptance),
                        GBD_ACCEPTANCE_FAILED);
      assert_int_equal (gbd_accepted_to_catalog (value, &catalog),
                        GBD_ERROR_FORMAT);
      gbd_acceptance_delete (acceptance);
      json_decref (value);
    }
}

static void
accepted_object_makes_a_catalog (void **state)
{
  (void)state;
  platform_t platform;
  platform_open (&platform);
  gbd_catalog_t *catalog;
  assert_int_equal (gbd_accepted_to_catalog (platform.value, &catalog),
                    GBD_OK);
  assert_int_equal (gbd_catalog_get_generation (catalog), BASE);
  assert_int_equal (gbd_catalog_get_service_count (catalog), 1);
  gbd_catalog_delete (catalog);
  platform_close (&platform);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (nothing_accepted_is_lost_under_faults),
    cmocka_unit_test (conflict_names_both_changes_and_the_command),
    cmocka_unit_test (file_without_generation_is_for_a_first_list_only),
    cmocka_unit_test (list_is_checked_with_the_accepted_other_one),
    cmocka_unit_test (base_that_the_history_forgot_is_a_conflict),
    cmocka_unit_test (damaged_object_is_left_alone),
    cmocka_unit_test (accepted_object_makes_a_catalog),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
