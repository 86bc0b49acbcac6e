#include "director_fixture.h"

static gbd_pool_handle_t
choose_server (gbd_director_t *director, gbd_flow_hash_t hash, gbd_time_t now)
{
  gbd_placement_t placement = { .service = gbd_id_from_name ("web"),
                                .zone = gbd_zone_from_name ("a"),
                                .hash = hash,
                                .avoid = GBD_POOL_NONE };
  return gbd_placement_choose (gbd_director_get_pool (director), &placement,
                               now);
}

static void
mark_suspected (gbd_director_t *director, gbd_pool_handle_t handle,
                gbd_time_t now)
{
  gbd_suspicion_record_failure (
      &gbd_pool_get (gbd_director_get_pool (director), handle)->load.suspicion,
      now, now);
}

/* All backend servers have free slots. */
static void
flows_are_balanced_within_the_zone (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  uint32_t counts[5] = { 0 };
  for (gbd_flow_hash_t hash = 0; hash < 3000; hash++)
    counts[choose_server (director, hash * 0x9e3779b97f4a7c15u, START)]++;
  for (int i = 0; i < 3; i++)
    assert_in_range (counts[i], 800, 1200);
  assert_int_equal (counts[3] + counts[4], 0);
  gbd_director_delete (director);
}

/* A burst fills the slots of the local zone. */
static void
full_zone_overflows_to_another_zone (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  uint32_t steps = 0;
  while (choose_server (director, steps, START) < 3 && steps < 100)
    gbd_pool_get (pool, choose_server (director, steps++, START))
        ->load.waiting++;
  /* At least the six slots of the zone are used, and the queue of each is
     shorter than three processing times. */
  assert_in_range (steps, 6, 18);
  gbd_director_delete (director);
}

/* A server fails its requests at once, so none of its flows ever waits.  Each
   flow of the other two servers of the zone waits 50 ms; 20 arrive a second.
 */
static void
server_that_fails_at_once_attracts_no_flows (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  uint32_t counts[5] = { 0 };
  gbd_pool_handle_t previous = GBD_POOL_NONE;
  gbd_time_t now = START;
  for (gbd_flow_hash_t i = 0; i < 600; i++, now += 50 * GBD_MILLISECOND)
    {
      gbd_pool_handle_t handle
          = choose_server (director, i * 0x9e3779b97f4a7c15u, now);
      gbd_pool_load_t *load = &gbd_pool_get (pool, handle)->load;
      if (previous != GBD_POOL_NONE)
        gbd_pool_get (pool, previous)->load.waiting--;
      previous = handle == 0 ? GBD_POOL_NONE : handle;
      if (previous != GBD_POOL_NONE)
        load->waiting++;
      gbd_recent_flows_add (&load->recent_flows, now);
      counts[handle]++;
    }
  assert_in_range (counts[0], 100, 250);
  gbd_director_delete (director);
}

static void
set_response_time (gbd_director_t *director, gbd_pool_handle_t handle,
                   gbd_time_t duration, gbd_time_t now)
{
  gbd_pool_t *pool = gbd_director_get_pool (director);
  for (uint32_t i = 0; i < GBD_RESPONSE_TIME_SAMPLES_MIN; i++)
    gbd_response_time_add (&gbd_pool_get (pool, handle)->load.response_time,
                           duration, now);
}

/* One of the three servers of the zone works five times slower.  New flows
   avoid it while the others have room, and return to it when it has recovered,
   or when nothing has been heard of it for a while. */
static void
slow_server_gets_flows_only_under_load (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  set_response_time (director, 0, 150 * GBD_MILLISECOND, START);
  for (gbd_pool_handle_t i = 1; i < 3; i++)
    set_response_time (director, i, 30 * GBD_MILLISECOND, START);
  for (gbd_flow_hash_t hash = 0; hash < 100; hash++)
    assert_int_not_equal (choose_server (director, hash, START), 0);

  /* The queues of the others cost more than the slow server. */
  for (gbd_pool_handle_t i = 1; i <= 3; i++)
    gbd_pool_get (pool, i)->load.waiting = 10;
  assert_int_equal (choose_server (director, 1, START), 0);
  for (gbd_pool_handle_t i = 1; i <= 3; i++)
    gbd_pool_get (pool, i)->load.waiting = 0;

  gbd_time_t later = START + GBD_RESPONSE_TIME_VALIDITY + 1;
  uint32_t count = 0;
  for (gbd_flow_hash_t hash = 0; hash < 3000; hash++)
    count += choose_server (director, hash * 0x9e3779b97f4a7c15u, later) == 0;
  assert_in_range (count, 800, 1200);
  gbd_director_delete (director);
}

/* The local servers are busy: how many flows wait there before one goes to
   another zone depends on how far that is, in processing times. */
static uint32_t
count_flows_before_another_zone (gbd_time_t setup_time_elsewhere,
                                 gbd_time_t response_time)
{
  gbd_director_t *director = make_ready_director ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  gbd_zone_delays_t *delays = gbd_pool_get_zone_delays (pool);
  gbd_zone_delays_add (delays, gbd_zone_from_name ("a"), GBD_MILLISECOND);
  gbd_zone_delays_add (delays, gbd_zone_from_name ("b"), setup_time_elsewhere);
  for (gbd_pool_handle_t i = 0; i < 3; i++)
    set_response_time (director, i, response_time, START);
  uint32_t flows = 0;
  while (choose_server (director, flows, START) < 3 && flows < 100)
    gbd_pool_get (pool, choose_server (director, flows++, START))
        ->load.waiting++;
  gbd_director_delete (director);
  return flows;
}

static void
near_zones_share_a_burst_and_far_zones_queue_it (void **state)
{
  (void)state;
  uint32_t near = count_flows_before_another_zone (2 * GBD_MILLISECOND,
                                                   500 * GBD_MILLISECOND);
  uint32_t far = count_flows_before_another_zone (121 * GBD_MILLISECOND,
                                                  61 * GBD_MILLISECOND);
  /* The six slots, and at most one waiting request for each. */
  assert_in_range (near, 6, 6 + 6);
  /* Two round trips of 120 ms are four requests of 60 ms for each of the six
     slots. */
  assert_in_range (far, 6 + 6 * 3, 6 + 6 * 5);
}

static void
suspected_servers_get_trial_flows_only (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  mark_suspected (director, 0, START);
  mark_suspected (director, 1, START);
  for (gbd_flow_hash_t hash = 0; hash < 100; hash++)
    assert_int_equal (choose_server (director, hash, START), 2);
  gbd_time_t due = START + GBD_SUSPICION_FIRST_TRIAL;
  uint32_t trials = 0;
  for (gbd_flow_hash_t hash = 0; hash < 100; hash++)
    {
      gbd_pool_handle_t handle = choose_server (director, hash, due);
      gbd_pool_t *pool = gbd_director_get_pool (director);
      gbd_suspicion_record_placement (
          &gbd_pool_get (pool, handle)->load.suspicion, due);
      trials += handle != 2;
    }
  assert_int_equal (trials, 2);
  gbd_director_delete (director);
}

/* A fifth of the backend servers fail at once, and an opening packet without a
   response is retransmitted. */
static void
retransmission_prefers_a_recently_responsive_server (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  gbd_time_t now = START + 10 * GBD_SECOND;
  for (gbd_pool_handle_t handle = 0; handle < 4; handle++)
    gbd_suspicion_record_response (
        &gbd_pool_get (pool, handle)->load.suspicion,
        handle == 2 ? now - GBD_SECOND / 2 : START);
  gbd_placement_t placement = { .service = gbd_id_from_name ("web"),
                                .zone = gbd_zone_from_name ("a"),
                                .avoid = 0 };
  for (gbd_flow_hash_t hash = 0; hash < 100; hash++)
    {
      placement.hash = hash * 0x9e3779b97f4a7c15u;
      assert_int_equal (gbd_placement_choose (pool, &placement, now), 2);
    }
  /* A long queue outweighs the recent response. */
  gbd_pool_get (pool, 2)->load.waiting = 20;
  assert_int_not_equal (gbd_placement_choose (pool, &placement, now), 2);
  /* New flows are spread over all backend servers as before. */
  gbd_pool_get (pool, 2)->load.waiting = 0;
  uint32_t others = 0;
  for (gbd_flow_hash_t hash = 0; hash < 100; hash++)
    others += choose_server (director, hash * 0x9e3779b97f4a7c15u, now) != 2;
  assert_true (others > 30);
  gbd_director_delete (director);
}

/* No backend server of the local zone responds. */
static void
flows_leave_a_zone_whose_servers_are_suspected (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  for (gbd_pool_handle_t handle = 0; handle < 3; handle++)
    mark_suspected (director, handle, START);
  assert_int_equal (choose_server (director, 1, START), 3);
  mark_suspected (director, 3, START);
  /* If all are suspected, one of them is chosen, because it may be running. */
  assert_int_not_equal (choose_server (director, 1, START), GBD_POOL_NONE);
  gbd_director_delete (director);
}

static void
draining_servers_get_no_new_flows (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  for (gbd_backend_id_t id = 1; id <= 4; id++)
    {
      gbd_pool_entry_t entry = make_entry (id, "web", id == 4 ? "b" : "a");
      entry.backend.state = GBD_BACKEND_DRAINING;
      put_entry (director, &entry, START);
    }
  assert_int_equal (choose_server (director, 1, START), GBD_POOL_NONE);
  gbd_pool_remove (gbd_director_get_pool (director), 1, START);
  assert_int_equal (choose_server (director, 1, START), GBD_POOL_NONE);
  gbd_director_delete (director);
}

static void
recently_removed_server_is_the_last_resort (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  for (gbd_backend_id_t id = 1; id <= 4; id++)
    gbd_pool_remove (gbd_director_get_pool (director), id, START);
  gbd_time_t end = START + GBD_PLACEMENT_LAST_RESORT;
  assert_int_not_equal (choose_server (director, 1, end - 1), GBD_POOL_NONE);
  assert_int_equal (choose_server (director, 1, end), GBD_POOL_NONE);
  gbd_director_delete (director);
}

static gbd_pool_handle_t
choose_in_group (gbd_director_t *director, const gbd_group_view_t *group,
                 bool was_room_short, gbd_flow_hash_t hash)
{
  gbd_placement_t placement = { .service = gbd_id_from_name ("web"),
                                .zone = gbd_zone_from_name ("a"),
                                .hash = hash * 0x9e3779b97f4a7c15u,
                                .avoid = GBD_POOL_NONE,
                                .group = *group,
                                .was_room_short = was_room_short };
  return gbd_placement_choose (gbd_director_get_pool (director), &placement,
                               START);
}

/* A director with twelve servers in zone a and two in zone b. */
static gbd_director_t *
make_director_for_windows (void)
{
  gbd_director_t *director = make_ready_director ();
  for (gbd_backend_id_t id = 6; id <= 15; id++)
    {
      gbd_pool_entry_t entry = make_entry (id, "web", id == 15 ? "b" : "a");
      put_entry (director, &entry, START);
    }
  gbd_pool_tick (gbd_director_get_pool (director), START);
  return director;
}

/* Guards against another distribution where room is not short, or where the
   other instances are not known. */
static void
decisions_without_shortage_or_view_are_unchanged (void **state)
{
  (void)state;
  gbd_director_t *director = make_director_for_windows ();
  gbd_group_view_t unknown = { .total = 0 };
  gbd_group_view_t alone = { .total = 3, .zone_count = 1 };
  gbd_group_view_t group = { .total = 12, .zone_count = 6, .zone_rank = 3 };
  for (gbd_flow_hash_t hash = 0; hash < 200; hash++)
    {
      gbd_pool_handle_t expected
          = choose_in_group (director, &unknown, false, hash);
      assert_int_equal (choose_in_group (director, &group, false, hash),
                        expected);
      assert_int_equal (choose_in_group (director, &unknown, true, hash),
                        expected);
      assert_int_equal (choose_in_group (director, &alone, true, hash),
                        expected);
      gbd_pool_get (gbd_director_get_pool (director), expected)
          ->load.waiting++;
    }
  gbd_director_delete (director);
}

/* Counts the flows of new callers that leave the window of the instance. */
static uint32_t
count_outside (const gbd_director_t *director, gbd_time_t now)
{
  uint32_t count = 0;
  for (uint16_t port = 1; port <= 100; port++)
    {
      gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, port);
      gbd_director_decision_t decision;
      gbd_director_route (director, &packet, now, &decision);
      assert_int_equal (decision.kind, GBD_ACTION_BACKEND);
      const gbd_pool_server_t *server
          = gbd_pool_peek (gbd_director_peek_pool (director), decision.server);
      count += !gbd_subset_contains (gbd_director_get_group (director),
                                     &server->position);
    }
  return count;
}

/* Guards against windows that go on and off with the evidence of a shortage,
   and against windows that stay. */
static void
windows_apply_for_a_time_after_a_shortage (void **state)
{
  (void)state;
  gbd_director_t *director = make_director_for_windows ();
  gbd_group_view_t group = { .total = 12, .zone_count = 6, .zone_rank = 3 };
  gbd_director_set_group (director, &group);
  assert_in_range (count_outside (director, START), 40, 90);
  gbd_time_t end = make_room_short (director, START) + GBD_ROOM_HOLD_TIME;
  assert_int_equal (count_outside (director, end - GBD_SECOND), 0);
  assert_false (gbd_room_is_short (gbd_director_peek_room (director),
                                   gbd_id_from_name ("web"), end));
  assert_int_equal (count_outside (director, end), 0);
  end += GBD_ROOM_SPREAD_TIME;
  assert_int_equal (count_outside (director, end - GBD_SECOND), 0);
  assert_in_range (count_outside (director, end), 40, 90);
  gbd_director_delete (director);
}

/* Guards against a window that has no effect, or that holds flows although
   they would wait for more than two requests in it. */
static void
short_room_keeps_flows_in_the_window (void **state)
{
  (void)state;
  gbd_director_t *director = make_director_for_windows ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  /* Four of the twelve servers: numbers 6 to 9. */
  gbd_group_view_t group = { .total = 12, .zone_count = 6, .zone_rank = 3 };
  uint32_t count = 0;
  gbd_pool_handle_t handle;
  while (
      (handle = choose_in_group (director, &group, true, count))
          != GBD_POOL_NONE
      && gbd_subset_contains (&group, &gbd_pool_peek (pool, handle)->position)
      && count < 100)
    {
      gbd_pool_get (pool, handle)->load.waiting++;
      count++;
    }
  /* The windows have four servers in zone a and two in zone b, twelve slots;
     beyond these, at most two requests wait for each slot. */
  assert_in_range (count, 12, 12 + 2 * 12);
  gbd_director_delete (director);
}

/* Guards against numbers that instances disagree on: draining, superseded and
   removed servers take part in no window, and a new list is used after the
   next tick. */
static void
positions_follow_the_list (void **state)
{
  (void)state;
  gbd_director_t *director = make_director_for_windows ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  assert_int_equal (gbd_pool_peek (pool, 0)->position.count, 12);
  assert_int_equal (gbd_pool_peek (pool, 0)->position.number, 0);
  assert_int_equal (gbd_pool_peek (pool, 3)->position.count, 2);
  assert_int_equal (gbd_pool_peek (pool, 4)->position.count, 1);
  gbd_pool_remove (pool, 1, START);
  gbd_pool_entry_t entry = make_entry (2, "web", "a");
  entry.backend.state = GBD_BACKEND_DRAINING;
  put_entry (director, &entry, START);
  entry = make_entry (16, "web", "a");
  entry.backend.address = parse_address ("10.1.64.3:8000");
  entry.start_time_ms = 2;
  put_entry (director, &entry, START);
  assert_int_equal (gbd_pool_peek (pool, 5)->position.number, 3);
  gbd_pool_tick (pool, START);
  for (gbd_pool_handle_t i = 0; i < 3; i++)
    assert_int_equal (gbd_pool_peek (pool, i)->position.count, 0);
  assert_int_equal (gbd_pool_peek (pool, 5)->position.number, 0);
  assert_int_equal (gbd_pool_peek (pool, 5)->position.count, 10);
  gbd_director_delete (director);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (flows_are_balanced_within_the_zone),
    cmocka_unit_test (full_zone_overflows_to_another_zone),
    cmocka_unit_test (server_that_fails_at_once_attracts_no_flows),
    cmocka_unit_test (slow_server_gets_flows_only_under_load),
    cmocka_unit_test (near_zones_share_a_burst_and_far_zones_queue_it),
    cmocka_unit_test (suspected_servers_get_trial_flows_only),
    cmocka_unit_test (retransmission_prefers_a_recently_responsive_server),
    cmocka_unit_test (flows_leave_a_zone_whose_servers_are_suspected),
    cmocka_unit_test (draining_servers_get_no_new_flows),
    cmocka_unit_test (recently_removed_server_is_the_last_resort),
    cmocka_unit_test (decisions_without_shortage_or_view_are_unchanged),
    cmocka_unit_test (windows_apply_for_a_time_after_a_shortage),
    cmocka_unit_test (short_room_keeps_flows_in_the_window),
    cmocka_unit_test (positions_follow_the_list),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
