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
full_listing_removes_missing_entries (void **state)
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

/* The platform is unreachable for 4 s and entries expire.  Running backend
   servers write their entries again within 2 s after the outage. */
static void
entries_that_expire_in_an_outage_have_a_grace_period (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  gbd_time_t recovery_time = START + 4 * GBD_SECOND;
  gbd_pool_set_platform_unreachable (pool, true, START);
  gbd_pool_remove (pool, 1, START + GBD_SECOND);
  gbd_pool_tick (pool, recovery_time);
  assert_true (find_by_id (pool, 1)->is_listed);
  gbd_pool_set_platform_unreachable (pool, false, recovery_time);
  gbd_pool_remove (pool, 2, recovery_time + GBD_MILLISECOND);
  gbd_pool_entry_t entry = make_entry (2, "web", "a");
  gbd_pool_put (pool, &entry, recovery_time + GBD_SECOND);
  gbd_pool_tick (pool, recovery_time + GBD_POOL_REMOVAL_GRACE - 1);
  assert_true (find_by_id (pool, 1)->is_listed);
  gbd_pool_tick (pool, recovery_time + GBD_POOL_REMOVAL_GRACE);
  assert_false (find_by_id (pool, 1)->is_listed);
  assert_true (find_by_id (pool, 2)->is_listed);
  gbd_pool_remove (pool, 3, recovery_time + GBD_POOL_REMOVAL_GRACE);
  assert_false (find_by_id (pool, 3)->is_listed);
  gbd_pool_delete (pool);
}

/* The platform is lost again in the grace period, so the entries that backend
   servers wrote again have not arrived. */
static void
outage_in_the_grace_period_defers_removals (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  gbd_time_t second_outage = START + 2 * GBD_SECOND;
  gbd_time_t recovery_time = START + 9 * GBD_SECOND;
  gbd_pool_set_platform_unreachable (pool, true, START);
  gbd_pool_remove (pool, 1, START);
  gbd_pool_set_platform_unreachable (pool, false, START + GBD_SECOND);
  gbd_pool_set_platform_unreachable (pool, true, second_outage);
  gbd_pool_tick (pool, recovery_time);
  assert_true (find_by_id (pool, 1)->is_listed);
  gbd_pool_set_platform_unreachable (pool, false, recovery_time);
  gbd_pool_tick (pool, recovery_time + GBD_POOL_REMOVAL_GRACE - 1);
  assert_true (find_by_id (pool, 1)->is_listed);
  gbd_pool_tick (pool, recovery_time + GBD_POOL_REMOVAL_GRACE);
  assert_false (find_by_id (pool, 1)->is_listed);
  gbd_pool_delete (pool);
}

/* A relay reports a grace period that ends later than that of its reader. */
static void
extended_grace_period_applies_to_pending_removals (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  gbd_pool_set_platform_unreachable (pool, true, START);
  gbd_pool_set_platform_unreachable (pool, false, START);
  gbd_pool_remove (pool, 1, START);
  gbd_time_t until = START + GBD_POOL_REMOVAL_GRACE + GBD_SECOND;
  gbd_pool_extend_removal_grace (pool, until);
  gbd_pool_tick (pool, until - 1);
  assert_true (find_by_id (pool, 1)->is_listed);
  gbd_pool_tick (pool, until);
  assert_false (find_by_id (pool, 1)->is_listed);
  gbd_pool_delete (pool);
}

static void
listing_in_the_grace_period_defers_removals (void **state)
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
removed_server_is_found_during_the_retention_time (void **state)
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
restart_clears_suspicion (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  gbd_pool_handle_t handle = gbd_pool_find (pool, gbd_cookie_fingerprint (1));
  gbd_suspicion_t *suspicion = &gbd_pool_get (pool, handle)->load.suspicion;
  gbd_suspicion_record_failure (suspicion, START, START);
  gbd_pool_entry_t entry = make_entry (1, "web", "a");
  gbd_pool_put (pool, &entry, START);
  assert_true (gbd_suspicion_is_suspected (suspicion));
  entry.start_time_ms++;
  gbd_pool_put (pool, &entry, START);
  assert_false (gbd_suspicion_is_suspected (suspicion));
  gbd_pool_delete (pool);
}

static void
fingerprint_collision_is_rejected (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  /* Identifiers over 32 bits are hashed, so one below 2^32 can be given the
     same fingerprint. */
  gbd_backend_id_t id = (gbd_backend_id_t)1 << 32;
  gbd_fingerprint_t shared_fingerprint = gbd_cookie_fingerprint (id);
  gbd_pool_entry_t small = make_entry (shared_fingerprint, "web", "a");
  gbd_pool_entry_t large = make_entry (id, "mail", "a");
  assert_int_equal (gbd_pool_put (pool, &small, START), GBD_OK);
  assert_int_equal (gbd_pool_put (pool, &large, START), GBD_ERROR_CONFLICT);
  gbd_pool_remove (pool, shared_fingerprint, START);
  assert_int_equal (gbd_pool_put (pool, &large, START), GBD_OK);
  assert_int_equal (find_by_id (pool, id)->entry.service,
                    gbd_id_from_name ("mail"));
  gbd_pool_delete (pool);
}

/* The addresses of stopped backend servers are reused. */
static void
moved_server_supersedes_earlier_servers_at_its_address (void **state)
{
  (void)state;
  gbd_pool_t *pool = make_pool ();
  gbd_pool_entry_t later = make_entry (2, "web", "a");
  later.start_time_ms = 2;
  gbd_pool_put (pool, &later, START);
  assert_true (find_by_id (pool, 1)->superseded_at == GBD_TIME_NEVER);
  /* Backend server 2 moves to the address of 1, then to that of 3. */
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
index_finds_every_server (void **state)
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
    cmocka_unit_test (full_listing_removes_missing_entries),
    cmocka_unit_test (entries_that_expire_in_an_outage_have_a_grace_period),
    cmocka_unit_test (outage_in_the_grace_period_defers_removals),
    cmocka_unit_test (extended_grace_period_applies_to_pending_removals),
    cmocka_unit_test (listing_in_the_grace_period_defers_removals),
    cmocka_unit_test (removed_server_is_found_during_the_retention_time),
    cmocka_unit_test (restart_clears_suspicion),
    cmocka_unit_test (fingerprint_collision_is_rejected),
    cmocka_unit_test (moved_server_supersedes_earlier_servers_at_its_address),
    cmocka_unit_test (index_finds_every_server),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
