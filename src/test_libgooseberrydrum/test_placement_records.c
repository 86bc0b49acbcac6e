#include "director_fixture.h"

/* Places a request of a service that has routes of both kinds. */
static gbd_pool_handle_t
choose_by_kind (gbd_director_t *director, bool is_idempotent,
                gbd_flow_hash_t hash, gbd_time_t now)
{
  gbd_placement_t placement = { .service = gbd_id_from_name ("web"),
                                .zone = gbd_zone_from_name ("a"),
                                .hash = hash * 0x9e3779b97f4a7c15u,
                                .avoid = GBD_POOL_NONE,
                                .is_idempotent = is_idempotent,
                                .has_both_kinds = true };
  return gbd_placement_choose (gbd_director_get_pool (director), &placement,
                               now);
}

static void
break_by_missing_response (gbd_pool_t *pool, gbd_time_t now)
{
  gbd_suspicion_t *suspicion = &gbd_pool_get (pool, 0)->load.suspicion;
  gbd_suspicion_record_failure (suspicion, now, now);
  gbd_suspicion_record_response (suspicion, now);
}

static void
break_by_reset (gbd_pool_t *pool, gbd_time_t now)
{
  gbd_suspicion_record_reset (&gbd_pool_get (pool, 0)->load.suspicion, now);
}

static void
break_by_removal (gbd_pool_t *pool, gbd_time_t now)
{
  gbd_pool_remove (pool, 1, now);
  gbd_pool_entry_t entry = make_entry (1, "web", "a");
  assert_int_equal (gbd_pool_put (pool, &entry, now), GBD_OK);
}

static void
break_by_restart (gbd_pool_t *pool, gbd_time_t now)
{
  gbd_pool_entry_t entry = make_entry (1, "web", "a");
  entry.start_time_ms = 2;
  assert_int_equal (gbd_pool_put (pool, &entry, now), GBD_OK);
}

static void
break_by_warm_up (gbd_pool_t *pool, gbd_time_t now)
{
  gbd_pool_entry_t entry = make_entry (1, "web", "a");
  entry.warm_at = now + GBD_PLACEMENT_RECORD_TIME;
  assert_int_equal (gbd_pool_put (pool, &entry, now), GBD_OK);
}

/* Guards against requests that must not run twice at a server that may fail
   again, while others have room; each kind of evidence alone keeps them away.
 */
static void
requests_that_run_once_prefer_an_unbroken_record (void **state)
{
  (void)state;
  static void (*const breaks[]) (gbd_pool_t *, gbd_time_t)
      = { break_by_missing_response, break_by_reset, break_by_removal,
          break_by_restart, break_by_warm_up };
  for (size_t i = 0; i < sizeof breaks / sizeof breaks[0]; i++)
    {
      gbd_director_t *director = make_ready_director ();
      gbd_pool_t *pool = gbd_director_get_pool (director);
      gbd_time_t now = START + 10 * GBD_SECOND;
      breaks[i](pool, now);
      uint32_t repeatable = 0;
      for (gbd_flow_hash_t hash = 0; hash < 300; hash++)
        {
          assert_int_not_equal (choose_by_kind (director, false, hash, now),
                                0);
          repeatable += choose_by_kind (director, true, hash, now) == 0;
        }
      assert_in_range (repeatable, 60, 140);
      /* The others have queues longer than four requests. */
      for (gbd_pool_handle_t handle = 1; handle <= 3; handle++)
        gbd_pool_get (pool, handle)->load.waiting = 12;
      assert_int_equal (choose_by_kind (director, false, 1, now), 0);
      for (gbd_pool_handle_t handle = 1; handle <= 3; handle++)
        gbd_pool_get (pool, handle)->load.waiting = 0;
      now += GBD_PLACEMENT_RECORD_TIME;
      uint32_t later = 0;
      for (gbd_flow_hash_t hash = 0; hash < 300; hash++)
        later += choose_by_kind (director, false, hash, now) == 0;
      assert_in_range (later, 60, 140);
      gbd_director_delete (director);
    }
}

/* Guards against a change where the routes of a service are alike, and where
   hardly any server has an unbroken record: one server would get the requests
   of all instances. */
static void
records_are_ignored_without_a_choice_of_requests_or_servers (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  gbd_time_t now = START + 10 * GBD_SECOND;
  break_by_missing_response (pool, now);
  gbd_placement_t placement = { .service = gbd_id_from_name ("web"),
                                .zone = gbd_zone_from_name ("a"),
                                .avoid = GBD_POOL_NONE };
  uint32_t count = 0;
  for (gbd_flow_hash_t hash = 0; hash < 300; hash++)
    {
      placement.hash = hash * 0x9e3779b97f4a7c15u;
      count += gbd_placement_choose (pool, &placement, now) == 0;
    }
  assert_in_range (count, 60, 140);
  /* Four servers of the zone and one of zone b; only server 3 has an unbroken
     record, a fifth of the slots. */
  gbd_pool_entry_t entry = make_entry (6, "web", "a");
  put_entry (director, &entry, now);
  break_by_reset (pool, now);
  gbd_suspicion_record_reset (&gbd_pool_get (pool, 1)->load.suspicion, now);
  gbd_suspicion_record_reset (&gbd_pool_get (pool, 3)->load.suspicion, now);
  for (gbd_flow_hash_t hash = 0; hash < 300; hash++)
    assert_int_equal (choose_by_kind (director, false, hash, now),
                      choose_by_kind (director, true, hash, now));
  /* With one more it is two fifths. */
  gbd_pool_get (pool, 3)->load.suspicion.failed_at = 0;
  for (gbd_flow_hash_t hash = 0; hash < 300; hash++)
    assert_int_equal (choose_by_kind (director, false, hash, now), 2);
  gbd_director_delete (director);
}

/* Guards against trial flows with requests that must not run twice, and
   against a server that gets no trial flow because there are only such
   requests. */
static void
trial_flows_are_repeatable_requests_if_there_are_any (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_suspicion_record_failure (
      &gbd_pool_get (gbd_director_get_pool (director), 0)->load.suspicion,
      START, START);
  gbd_time_t due = START + GBD_SUSPICION_FIRST_TRIAL;
  gbd_time_t overdue = due + GBD_SUSPICION_LONGEST_TRIAL;
  uint32_t repeatable = 0;
  uint32_t others = 0;
  for (gbd_flow_hash_t hash = 0; hash < 100; hash++)
    {
      assert_int_not_equal (
          choose_by_kind (director, false, hash, overdue - 1), 0);
      repeatable += choose_by_kind (director, true, hash, due) == 0;
      others += choose_by_kind (director, false, hash, overdue) == 0;
    }
  assert_true (repeatable > 15);
  assert_true (others > 15);
  gbd_director_delete (director);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (requests_that_run_once_prefer_an_unbroken_record),
    cmocka_unit_test (
        records_are_ignored_without_a_choice_of_requests_or_servers),
    cmocka_unit_test (trial_flows_are_repeatable_requests_if_there_are_any),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
