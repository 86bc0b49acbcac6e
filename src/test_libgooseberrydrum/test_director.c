#include "director_fixture.h"

#define STEP (20 * GBD_MILLISECOND)

static void
unready_director_drops_packets_without_reset (void **state)
{
  (void)state;
  gbd_director_t *director = make_director ();
  gbd_packet_t opening = make_packet (GBD_PACKET_OPENING, 1);
  gbd_packet_t later = make_packet (GBD_PACKET_ESTABLISHED, 1);
  for (int step = 0; step < 4; step++)
    {
      bool is_ready = step == 3;
      assert_int_equal (gbd_director_is_ready (director), is_ready);
      if (!is_ready)
        {
          assert_int_equal (route_packet (director, &opening, START).kind,
                            GBD_ACTION_DROP);
          assert_int_equal (route_packet (director, &later, START).kind,
                            GBD_ACTION_DROP);
        }
      if (step == 0)
        gbd_director_set_key (director, KEY);
      else if (step == 1)
        gbd_director_set_routes (director, make_routes (1, "web"));
      else if (step == 2)
        gbd_pool_end_listing (gbd_director_get_pool (director), START);
    }
  gbd_director_delete (director);
}

static void
any_instance_routes_by_cookie (void **state)
{
  (void)state;
  gbd_director_t *first = make_ready_director ();
  gbd_director_t *second = make_ready_director ();
  for (uint16_t port = 1; port <= 200; port++)
    {
      gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, port);
      gbd_director_decision_t opening
          = route_packet (first, &packet, START + port * STEP);
      packet.kind = GBD_PACKET_ESTABLISHED;
      packet.cookie = opening.cookie;
      gbd_director_decision_t later
          = route_packet (second, &packet, START + port * STEP);
      assert_int_equal (later.rule, GBD_DIRECTOR_RULE_COOKIE);
      assert_int_equal (get_backend_id (second, &later),
                        get_backend_id (first, &opening));
    }
  gbd_director_delete (first);
  gbd_director_delete (second);
}

static void
open_flows_survive_draining_and_entry_expiry (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  gbd_packet_t packet = make_packet (GBD_PACKET_ESTABLISHED, 1);
  gbd_director_decision_t opening = open_flow (director, 1, START);
  gbd_backend_id_t id = get_backend_id (director, &opening);
  packet.cookie = opening.cookie;

  gbd_pool_entry_t entry = make_entry (id, "web", "a");
  entry.backend.state = GBD_BACKEND_DRAINING;
  put_entry (director, &entry, START + GBD_SECOND);
  gbd_director_decision_t later
      = route_packet (director, &packet, START + GBD_SECOND);
  assert_int_equal (later.kind, GBD_ACTION_BACKEND);
  assert_int_equal (get_backend_id (director, &later), id);

  /* The entry is ready again and then expires: the backend server may be
     running. */
  entry.backend.state = GBD_BACKEND_READY;
  put_entry (director, &entry, START + 2 * GBD_SECOND);
  gbd_pool_remove (pool, id, START + 3 * GBD_SECOND);
  later = route_packet (director, &packet, START + 5 * GBD_SECOND);
  assert_int_equal (later.kind, GBD_ACTION_BACKEND);
  assert_int_equal (get_backend_id (director, &later), id);
  gbd_director_delete (director);
}

/* The entry of a backend server is removed: it has ended, or its heartbeats
   were written late while it serves its flows. */
typedef struct
{
  const char *label;
  gbd_backend_state_t state;
  gbd_probe_result_t probe; /* result of a probe 0.1 s after the removal */
  bool has_response;        /* the flow gets a response after the removal */
  bool is_unanswered;       /* then a packet gets none, 0.3 s after it */
  bool is_reset_soon;       /* 0.3 s after the removal */
  bool is_reset_late;       /* 3 s after the removal */
} removal_case_t;

static const removal_case_t removal_cases[] = {
  { "drained, process ended", GBD_BACKEND_DRAINING, GBD_PROBE_REFUSED, false,
    false, true, true },
  { "drained, instance ended", GBD_BACKEND_DRAINING, GBD_PROBE_NO_RESPONSE,
    false, false, true, true },
  { "drained, not probed", GBD_BACKEND_DRAINING, GBD_PROBE_NONE, false, false,
    false, true },
  { "drained, not probed, does not respond", GBD_BACKEND_DRAINING,
    GBD_PROBE_NONE, false, true, true, true },
  { "draining, accepts", GBD_BACKEND_DRAINING, GBD_PROBE_ACCEPTED, false,
    false, false, false },
  { "draining, accepts, does not respond", GBD_BACKEND_DRAINING,
    GBD_PROBE_ACCEPTED, false, true, true, true },
  { "draining, responds", GBD_BACKEND_DRAINING, GBD_PROBE_NONE, true, false,
    false, false },
  { "ready, process ended", GBD_BACKEND_READY, GBD_PROBE_REFUSED, false, false,
    true, true },
  { "ready, behind a partition", GBD_BACKEND_READY, GBD_PROBE_NO_RESPONSE,
    false, false, false, true },
  { "ready, accepts", GBD_BACKEND_READY, GBD_PROBE_ACCEPTED, false, false,
    false, false },
  { "ready, responds", GBD_BACKEND_READY, GBD_PROBE_NONE, true, false, false,
    false },
  { "ready, no evidence", GBD_BACKEND_READY, GBD_PROBE_NONE, false, false,
    false, true },
};

static void
only_flows_of_a_removed_server_that_has_stopped_are_reset (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof removal_cases / sizeof removal_cases[0]; i++)
    {
      const removal_case_t *removal = &removal_cases[i];
      gbd_director_t *director = make_ready_director ();
      gbd_pool_t *pool = gbd_director_get_pool (director);
      gbd_director_decision_t opening = open_flow (director, 1, START);
      gbd_packet_t packet = make_data (&opening, 1);
      gbd_pool_entry_t entry
          = make_entry (get_backend_id (director, &opening), "web", "a");
      entry.backend.state = removal->state;
      put_entry (director, &entry, START);
      gbd_time_t removed = START + GBD_SECOND;
      gbd_pool_remove (pool, entry.backend.id, removed);

      gbd_suspicion_t *suspicion
          = &gbd_pool_get (pool, opening.server)->load.suspicion;
      gbd_time_t probed = removed + 100 * GBD_MILLISECOND;
      assert_true (gbd_suspicion_is_probe_due (suspicion, removed));
      if (removal->probe != GBD_PROBE_NONE)
        gbd_suspicion_record_probe (suspicion, removal->probe, removed,
                                    probed);
      if (removal->has_response)
        gbd_suspicion_record_response (suspicion, probed);
      gbd_time_t soon = removed + GBD_DIRECTOR_CONFIRMED_RESET_DELAY;
      if (removal->is_unanswered)
        gbd_suspicion_record_failure (suspicion, probed, soon);

      bool is_reset
          = route_packet (director, &packet, soon).kind == GBD_ACTION_RESET;
      if (is_reset != removal->is_reset_soon)
        fail_msg ("%s: reset after 0.3 s: %d", removal->label, is_reset);
      gbd_director_decision_t later;
      gbd_director_route (director, &packet,
                          removed + GBD_DIRECTOR_UNCONFIRMED_RESET_DELAY,
                          &later);
      is_reset = later.kind == GBD_ACTION_RESET;
      if (is_reset != removal->is_reset_late)
        fail_msg ("%s: reset after 3 s: %d", removal->label, is_reset);
      if (is_reset)
        assert_int_equal (later.rule, GBD_DIRECTOR_RULE_SERVER_REMOVED);

      /* While the platform is unreachable, no backend server is considered
         stopped. */
      gbd_pool_set_platform_unreachable (pool, true, soon);
      assert_int_equal (route_packet (director, &packet, soon).kind,
                        GBD_ACTION_BACKEND);
      gbd_director_delete (director);
    }
}

/* A backend server crashes and its entry expires three heartbeats later, while
   callers keep sending on its flows. */
static void
flows_of_a_failed_server_are_reset_after_entry_removal (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  gbd_director_decision_t opening = open_flow (director, 1, START);
  gbd_packet_t packet = make_data (&opening, 1);
  gbd_time_t now = START + GBD_SECOND;
  route_packet (director, &packet, now);
  route_packet (director, &packet, now + 200 * GBD_MILLISECOND);
  route_packet (director, &packet, now + 600 * GBD_MILLISECOND);
  gbd_time_t removed = now + GBD_SECOND;
  /* The backend server does not respond but is listed, so it may be running.
   */
  assert_int_equal (route_packet (director, &packet, removed).kind,
                    GBD_ACTION_BACKEND);
  gbd_pool_remove (pool, get_backend_id (director, &opening), removed);
  gbd_time_t reset_at = removed + GBD_DIRECTOR_CONFIRMED_RESET_DELAY;
  assert_int_equal (route_packet (director, &packet, reset_at - 1).kind,
                    GBD_ACTION_BACKEND);
  assert_int_equal (route_packet (director, &packet, reset_at).kind,
                    GBD_ACTION_RESET);
  gbd_director_delete (director);
}

/* A backend server stops responding 1 s after flows were established; 0.3 s
   later a probe has a result. */
typedef struct
{
  const char *label;
  gbd_probe_result_t probe;
  int probes;     /* consecutive probes with this result */
  int unanswered; /* missing responses */
  bool is_idempotent;
  bool others_respond; /* flows of other backend servers get responses after
                          the probe */
  bool has_response;   /* this flow gets a response after the probe */
  bool is_tracked;     /* this instance has tracked the flow before */
  bool is_reset;
} down_case_t;

static const down_case_t down_cases[] = {
  { "stopped", GBD_PROBE_REFUSED, 1, 1, false, false, false, true, true },
  { "stopped, flow not tracked", GBD_PROBE_REFUSED, 1, 1, true, true, false,
    false, false },
  { "stopped and restarted", GBD_PROBE_REFUSED, 1, 1, true, true, true, true,
    false },
  { "slow", GBD_PROBE_ACCEPTED, 1, 5, true, true, false, true, false },
  { "not probed", GBD_PROBE_NONE, 0, 5, true, true, false, true, false },
  { "no response", GBD_PROBE_NO_RESPONSE, 1, 2, true, true, false, true,
    true },
  { "no response, not idempotent", GBD_PROBE_NO_RESPONSE, 1, 2, false, true,
    false, true, false },
  { "no response, one unanswered packet", GBD_PROBE_NO_RESPONSE, 1, 1, true,
    true, false, true, false },
  { "no response from any server", GBD_PROBE_NO_RESPONSE, 1, 9, true, false,
    false, true, false },
  { "no response, flow not tracked", GBD_PROBE_NO_RESPONSE, 1, 2, true, true,
    false, false, false },
  { "two probes without response, one unanswered packet",
    GBD_PROBE_NO_RESPONSE, 2, 1, true, true, false, true, true },
};

static void
check_down_case (const down_case_t *row)
{
  gbd_director_t *director = make_ready_director ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  gbd_routes_t *routes = gbd_routes_new (2);
  gbd_route_t route = { .address = parse_address ("198.18.0.1:443"),
                        .is_idempotent = row->is_idempotent,
                        .target_count = 1,
                        .targets = { { gbd_id_from_name ("web"), 1 } } };
  gbd_routes_add (routes, &route);
  gbd_director_set_routes (director, routes);
  gbd_director_decision_t opening = open_flow (director, 1, START);
  gbd_packet_t packet = make_data (&opening, 1);
  gbd_time_t now = START + GBD_SECOND;
  gbd_suspicion_t *suspicion
      = &gbd_pool_get (pool, opening.server)->load.suspicion;
  for (int i = 0; i < row->unanswered; i++)
    gbd_suspicion_record_failure (suspicion, now, now);
  now += 300 * GBD_MILLISECOND;
  gbd_suspicion_begin_probe (suspicion, now);
  for (int i = 0; i < row->probes; i++)
    gbd_suspicion_record_probe (suspicion, row->probe, now, now);
  now += 10 * GBD_MILLISECOND;
  for (uint16_t port = 100; row->others_respond && port < 110; port++)
    open_flow (director, port, now);
  now += 20 * GBD_MILLISECOND;
  if (row->has_response)
    {
      packet.acknowledgment += 10;
      route_packet (director, &packet, now);
    }
  if (!row->is_tracked)
    {
      gbd_director_decision_t closing;
      gbd_packet_t reset = packet;
      reset.kind = GBD_PACKET_CLOSING;
      reset.is_reset = true;
      reset.payload_length = 0;
      gbd_director_route (director, &reset, now, &closing);
      gbd_director_commit (director, &reset, &closing, now);
    }
  gbd_director_decision_t decision = route_packet (director, &packet, now);
  print_message ("%s\n", row->label);
  assert_int_equal (decision.kind,
                    row->is_reset ? GBD_ACTION_RESET : GBD_ACTION_BACKEND);
  if (row->is_reset)
    assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_SERVER_DOWN);
  gbd_director_delete (director);
}

/* Callers send on flows of a listed backend server that does not respond.
   Callers that may retry are reset at once. */
static void
flows_of_a_listed_server_that_is_down_are_reset (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof down_cases / sizeof down_cases[0]; i++)
    check_down_case (&down_cases[i]);
}

/* Backend servers fail, and 2 s later new ones have taken over their addresses
   while the previous entries are still listed. */
static void
reused_address_supersedes_the_previous_server (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_director_decision_t opening = open_flow (director, 1, START);
  gbd_packet_t packet = make_data (&opening, 1);
  gbd_time_t now = START + GBD_SECOND;
  route_packet (director, &packet, now);
  now += 200 * GBD_MILLISECOND;
  route_packet (director, &packet, now);

  gbd_pool_entry_t previous
      = make_entry (get_backend_id (director, &opening), "web", "a");
  gbd_pool_entry_t newer = make_entry (9, "mail", "a");
  newer.backend.address = previous.backend.address;
  newer.start_time_ms = previous.start_time_ms + 1;
  put_entry (director, &newer, now);
  now += 10 * GBD_MILLISECOND;
  gbd_director_decision_t decision = route_packet (director, &packet, now);
  assert_int_equal (decision.kind, GBD_ACTION_RESET);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_SERVER_DOWN);
  for (uint16_t port = 2; port < 300; port++)
    assert_int_not_equal (open_flow (director, port, now).server,
                          opening.server);

  /* The newer entry is removed: the previous server gets trial flows. */
  gbd_pool_remove (gbd_director_get_pool (director), 9, now);
  now += GBD_SUSPICION_FIRST_TRIAL;
  uint32_t placed = 0;
  for (uint16_t port = 300; port < 600; port++)
    placed += open_flow (director, port, now).server == opening.server;
  assert_true (placed > 0);
  gbd_director_delete (director);
}

static void
unknown_route_is_reset_only_while_the_platform_is_reachable (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  packet.flow.service.port = 444;
  gbd_director_decision_t decision = route_packet (director, &packet, START);
  assert_int_equal (decision.kind, GBD_ACTION_RESET);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_NO_ROUTE);
  gbd_pool_set_platform_unreachable (gbd_director_get_pool (director), true,
                                     START);
  assert_int_equal (route_packet (director, &packet, START).kind,
                    GBD_ACTION_DROP);
  gbd_director_delete (director);
}

/* All instances have lost power and read the list together, in two pages.
   Flows are placed from the first page on, but a service whose backend servers
   are on the second page must not be refused. */
static void
incomplete_list_is_used_but_resets_nothing (void **state)
{
  (void)state;
  gbd_director_t *director = make_director ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  gbd_director_set_key (director, KEY);
  gbd_director_set_routes (director, make_routes (1, "web"));
  gbd_pool_begin_listing (pool);
  assert_false (gbd_director_is_ready (director));
  gbd_pool_entry_t entry = make_entry (5, "mail", "a");
  put_entry (director, &entry, START);
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  gbd_director_decision_t decision = route_packet (director, &packet, START);
  assert_int_equal (decision.kind, GBD_ACTION_DROP);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_NOT_READY);
  /* A flow of a backend server that is not listed yet. */
  packet.kind = GBD_PACKET_ESTABLISHED;
  packet.cookie = 7;
  assert_int_equal (route_packet (director, &packet, START).kind,
                    GBD_ACTION_DROP);
  packet.kind = GBD_PACKET_OPENING;
  entry = make_entry (1, "web", "a");
  put_entry (director, &entry, START);
  assert_true (gbd_director_is_ready (director));
  decision = route_packet (director, &packet, START);
  assert_int_equal (get_backend_id (director, &decision), 1);
  gbd_pool_remove (pool, 1, START);
  gbd_pool_end_listing (pool, START);
  gbd_director_set_routes (director, make_routes (2, "nobody"));
  packet = make_packet (GBD_PACKET_OPENING, 2);
  assert_int_equal (route_packet (director, &packet, START).kind,
                    GBD_ACTION_RESET);
  gbd_director_delete (director);
}

static void
opening_packet_of_a_service_without_servers_is_reset (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_director_set_routes (director, make_routes (2, "nobody"));
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  gbd_director_decision_t decision = route_packet (director, &packet, START);
  assert_int_equal (decision.kind, GBD_ACTION_RESET);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_NO_SERVER);
  gbd_director_delete (director);
}

static void
older_routes_are_rejected (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  assert_int_equal (gbd_director_set_routes (director, make_routes (7, "web")),
                    GBD_OK);
  assert_int_equal (
      gbd_director_set_routes (director, make_routes (6, "mail")),
      GBD_ERROR_STALE);
  assert_int_equal (
      gbd_director_set_routes (director, make_routes (7, "mail")),
      GBD_ERROR_STALE);
  assert_int_equal (
      gbd_routes_get_version (gbd_director_get_routes (director)), 7);
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  gbd_director_decision_t decision = route_packet (director, &packet, START);
  assert_int_not_equal (get_backend_id (director, &decision), 5);
  gbd_director_delete (director);
}

/* A caller retransmits an opening packet after 200 ms because its backend
   server has crashed. */
static void
retransmitted_opening_packet_moves_to_another_server (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  gbd_director_decision_t first = route_packet (director, &packet, START);
  gbd_director_decision_t same
      = route_packet (director, &packet, START + GBD_MILLISECOND);
  assert_int_equal (same.rule, GBD_DIRECTOR_RULE_SAME);
  assert_int_equal (same.server, first.server);
  packet.acknowledgment = 1;
  gbd_director_decision_t moved
      = route_packet (director, &packet, START + 200 * GBD_MILLISECOND);
  assert_int_equal (moved.rule, GBD_DIRECTOR_RULE_MOVED);
  assert_int_equal (moved.previous, first.server);
  assert_int_not_equal (moved.server, first.server);

  /* The next flows avoid this backend server as well. */
  for (uint16_t port = 2; port < 40; port++)
    {
      packet = make_packet (GBD_PACKET_OPENING, port);
      gbd_director_decision_t decision
          = route_packet (director, &packet, START + 300 * GBD_MILLISECOND);
      assert_int_not_equal (decision.server, first.server);
    }
  gbd_director_delete (director);
}

/* A link loses one of twenty packets. */
static void
packet_loss_does_not_exclude_servers (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  uint32_t lost = 0;
  for (uint16_t port = 1; port <= 2000; port++)
    {
      gbd_time_t now = START + (gbd_time_t)port * 10 * GBD_MILLISECOND;
      if (port % 20 != 0)
        {
          open_flow (director, port, now);
          continue;
        }
      gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, port);
      route_packet (director, &packet, now);
      packet.acknowledgment = 1;
      route_packet (director, &packet, now + 200 * GBD_MILLISECOND);
      lost++;
    }
  gbd_pool_t *pool = gbd_director_get_pool (director);
  assert_int_equal (lost, 100);
  /* All three backend servers of the local zone keep getting flows. */
  for (gbd_pool_handle_t handle = 0; handle < 3; handle++)
    assert_true (gbd_pool_get (pool, handle)->load.placed > 200);
  gbd_director_delete (director);
}

static void
cookie_of_another_flow_is_not_accepted (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_director_decision_t opening = open_flow (director, 1, START);
  uint32_t reached = 0;
  for (uint16_t port = 2; port < 60000; port++)
    {
      /* The cookie of one flow is used on all other flows. */
      gbd_packet_t packet = make_packet (GBD_PACKET_ESTABLISHED, port);
      packet.cookie = opening.cookie;
      gbd_director_decision_t decision;
      gbd_director_route (director, &packet, START, &decision);
      reached += decision.kind == GBD_ACTION_BACKEND;
      assert_int_not_equal (decision.kind, GBD_ACTION_RESET);
    }
  /* The probability of one valid cookie is 5 in 2^32. */
  assert_int_equal (reached, 0);
  gbd_director_delete (director);
}

/* Adds a route at port 444 for requests that callers may retry. */
static void
add_idempotent_route (gbd_director_t *director, const char *service)
{
  gbd_routes_t *routes = make_routes (2, "web");
  gbd_route_t route = { .address = parse_address ("198.18.0.1:444"),
                        .is_idempotent = true,
                        .target_count = 1,
                        .targets = { { gbd_id_from_name (service), 1 } } };
  assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
  assert_int_equal (gbd_director_set_routes (director, routes), GBD_OK);
}

static uint32_t
count_placed_at_first_server (gbd_director_t *director, uint16_t service_port,
                              gbd_time_t now)
{
  uint32_t count = 0;
  for (uint16_t port = 1; port <= 300; port++)
    {
      gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, port);
      packet.flow.service.port = service_port;
      gbd_director_decision_t decision;
      gbd_director_route (director, &packet, now, &decision);
      count += get_backend_id (director, &decision) == 1;
    }
  return count;
}

/* Guards against a director that does not tell the placement which requests
   must not run twice, or does so for a service whose routes are alike. */
static void
only_routes_of_both_kinds_change_the_placement (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_time_t now = START + 10 * GBD_SECOND;
  gbd_suspicion_record_reset (
      &gbd_pool_get (gbd_director_get_pool (director), 0)->load.suspicion,
      now);
  assert_in_range (count_placed_at_first_server (director, 443, now), 60, 140);
  add_idempotent_route (director, "web");
  assert_int_equal (count_placed_at_first_server (director, 443, now), 0);
  assert_in_range (count_placed_at_first_server (director, 444, now), 60, 140);
  gbd_director_delete (director);

  director = make_ready_director ();
  gbd_suspicion_record_reset (
      &gbd_pool_get (gbd_director_get_pool (director), 0)->load.suspicion,
      now);
  add_idempotent_route (director, "mail");
  assert_in_range (count_placed_at_first_server (director, 443, now), 60, 140);
  gbd_director_delete (director);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (unready_director_drops_packets_without_reset),
    cmocka_unit_test (any_instance_routes_by_cookie),
    cmocka_unit_test (open_flows_survive_draining_and_entry_expiry),
    cmocka_unit_test (
        only_flows_of_a_removed_server_that_has_stopped_are_reset),
    cmocka_unit_test (flows_of_a_failed_server_are_reset_after_entry_removal),
    cmocka_unit_test (flows_of_a_listed_server_that_is_down_are_reset),
    cmocka_unit_test (reused_address_supersedes_the_previous_server),
    cmocka_unit_test (
        unknown_route_is_reset_only_while_the_platform_is_reachable),
    cmocka_unit_test (opening_packet_of_a_service_without_servers_is_reset),
    cmocka_unit_test (incomplete_list_is_used_but_resets_nothing),
    cmocka_unit_test (older_routes_are_rejected),
    cmocka_unit_test (retransmitted_opening_packet_moves_to_another_server),
    cmocka_unit_test (packet_loss_does_not_exclude_servers),
    cmocka_unit_test (cookie_of_another_flow_is_not_accepted),
    cmocka_unit_test (only_routes_of_both_kinds_change_the_placement),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
