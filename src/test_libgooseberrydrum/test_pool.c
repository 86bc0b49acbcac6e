#include "director_fixture.h"

static gbd_pool_t *
make_pool (void)
{
  gbd_pool_t *pool = gbd_pool_new ();
  gbd_pool_begin_listing (pool);
  for (gbd_backend_id_t id = 1; id <= 3; id++)
    {
      gbd_pool_entry_t entry = make_entry (id, "web", "a");
      assert_int_equal (gbd_pool_put (pool, &entry, START), GBD_OK);
    }
  gbd_pool_end_listing (pool, START);
  return pool;
}

static const gbd_pool_server_t *
find_by_id (gbd_pool_t *pool, gbd_backend_id_t id)
{
  gbd_pool_handle_t handle = gbd_pool_find (pool, gbd_cookie_fingerprint (id));
  return handle == GBD_POOL_NONE ? NULL : gbd_pool_get (pool, handle);
}

static void
a_listing_removes_what_it_lacks (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  gbd_pool_entry_t entry = make_entry (2, "web", "a");
  gbd_pool_begin_listing (pool);
  assert_true (find_by_id (pool, 1)->is_listed);
  gbd_pool_put (pool, &entry, START);
  gbd_pool_end_listing (pool, START);
  assert_false (find_by_id (pool, 1)->is_listed);
  assert_true (find_by_id (pool, 2)->is_listed);
  assert_int_equal (gbd_pool_get_count (pool), 1);
  gbd_pool_delete (pool);
}

/* Load: the platform is down for 4 s, entries lapse meanwhile, and living
   backend servers write theirs again within 2 s of its return. */
static void
entries_that_lapse_during_an_outage_have_two_seconds (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  gbd_time_t back = START + 4 * GBD_SECOND;
  gbd_pool_set_platform_unreachable (pool, true, START);
  gbd_pool_remove (pool, 1, START + GBD_SECOND);
  gbd_pool_tick (pool, back);
  assert_true (find_by_id (pool, 1)->is_listed);
  gbd_pool_set_platform_unreachable (pool, false, back);
  gbd_pool_remove (pool, 2, back + GBD_MILLISECOND);
  gbd_pool_entry_t entry = make_entry (2, "web", "a");
  gbd_pool_put (pool, &entry, back + GBD_SECOND);
  gbd_pool_tick (pool, back + GBD_POOL_REMOVAL_GRACE - 1);
  assert_true (find_by_id (pool, 1)->is_listed);
  gbd_pool_tick (pool, back + GBD_POOL_REMOVAL_GRACE);
  assert_false (find_by_id (pool, 1)->is_listed);
  assert_true (find_by_id (pool, 2)->is_listed);
  gbd_pool_remove (pool, 3, back + GBD_POOL_REMOVAL_GRACE);
  assert_false (find_by_id (pool, 3)->is_listed);
  gbd_pool_delete (pool);
}

static void
a_listing_during_the_settling_time_removes_later (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  gbd_pool_set_platform_unreachable (pool, true, START);
  gbd_pool_set_platform_unreachable (pool, false, START);
  gbd_pool_begin_listing (pool);
  gbd_pool_end_listing (pool, START);
  assert_int_equal (gbd_pool_get_count (pool), 3);
  gbd_pool_tick (pool, START + GBD_POOL_REMOVAL_GRACE);
  assert_int_equal (gbd_pool_get_count (pool), 0);
  gbd_pool_delete (pool);
}

static void
a_gone_server_is_found_until_its_flows_have_ended (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  gbd_pool_remove (pool, 1, START);
  gbd_pool_tick (pool, START + GBD_POOL_RETENTION_TIME);
  assert_non_null (find_by_id (pool, 1));
  gbd_pool_tick (pool, START + GBD_POOL_RETENTION_TIME + 1);
  assert_null (find_by_id (pool, 1));
  gbd_pool_delete (pool);
}

static void
a_new_start_under_the_same_identifier_is_trusted (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  gbd_pool_handle_t handle = gbd_pool_find (pool, gbd_cookie_fingerprint (1));
  gbd_suspicion_t *suspicion = &gbd_pool_get (pool, handle)->load.suspicion;
  gbd_suspicion_record_failure (suspicion, START, START);
  gbd_pool_entry_t entry = make_entry (1, "web", "a");
  gbd_pool_put (pool, &entry, START);
  assert_true (gbd_suspicion_is_suspected (suspicion));
  entry.born_ms++;
  gbd_pool_put (pool, &entry, START);
  assert_false (gbd_suspicion_is_suspected (suspicion));
  gbd_pool_delete (pool);
}

static void
no_two_servers_share_a_fingerprint (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  /* Identifiers over 32 bits are hashed; search one that meets server 1. */
  gbd_backend_id_t id = (gbd_backend_id_t)1 << 32;
  gbd_fingerprint_t taken = gbd_cookie_fingerprint (id);
  gbd_pool_entry_t small = make_entry (taken, "web", "a");
  gbd_pool_entry_t large = make_entry (id, "mail", "a");
  assert_int_equal (gbd_pool_put (pool, &small, START), GBD_OK);
  assert_int_equal (gbd_pool_put (pool, &large, START), GBD_ERROR_CONFLICT);
  gbd_pool_remove (pool, taken, START);
  assert_int_equal (gbd_pool_put (pool, &large, START), GBD_OK);
  assert_int_equal (find_by_id (pool, id)->entry.service,
                    gbd_id_from_name ("mail"));
  gbd_pool_delete (pool);
}

/* Load: addresses of backend servers that have ended are taken over. */
static void
servers_at_one_address_are_known_wherever_they_came_from (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  gbd_pool_entry_t later = make_entry (2, "web", "a");
  later.born_ms = 2;
  gbd_pool_put (pool, &later, START);
  assert_true (find_by_id (pool, 1)->superseded_at == GBD_TIME_NEVER);
  /* Moves, to the address of the first and on to that of the third. */
  later.backend.address = make_entry (1, "web", "a").backend.address;
  gbd_pool_put (pool, &later, START + 1);
  assert_int_equal (find_by_id (pool, 1)->superseded_at, START + 1);
  assert_true (find_by_id (pool, 2)->superseded_at == GBD_TIME_NEVER);
  later.backend.address = make_entry (3, "web", "a").backend.address;
  gbd_pool_put (pool, &later, START + 2);
  assert_int_equal (find_by_id (pool, 3)->superseded_at, START + 2);
  gbd_pool_remove (pool, 2, START + 3);
  assert_true (find_by_id (pool, 3)->superseded_at == GBD_TIME_NEVER);
  gbd_pool_delete (pool);
}

static void
hundreds_of_servers_are_found (void **state)
{
  (void)state;
  gbd_pool_t *pool = gbd_pool_new ();
  for (gbd_backend_id_t id = 1; id <= 600; id++)
    {
      gbd_pool_entry_t entry = make_entry (id << 20, "web", "a");
      assert_int_equal (gbd_pool_put (pool, &entry, START), GBD_OK);
    }
  for (gbd_backend_id_t id = 1; id <= 600; id++)
    assert_int_equal (find_by_id (pool, id << 20)->entry.backend.id, id << 20);
  assert_null (find_by_id (pool, 601u << 20));
  gbd_pool_delete (pool);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_listing_removes_what_it_lacks),
    cmocka_unit_test (entries_that_lapse_during_an_outage_have_two_seconds),
    cmocka_unit_test (a_listing_during_the_settling_time_removes_later),
    cmocka_unit_test (a_gone_server_is_found_until_its_flows_have_ended),
    cmocka_unit_test (a_new_start_under_the_same_identifier_is_trusted),
    cmocka_unit_test (no_two_servers_share_a_fingerprint),
    cmocka_unit_test (
        servers_at_one_address_are_known_wherever_they_came_from),
    cmocka_unit_test (hundreds_of_servers_are_found),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
