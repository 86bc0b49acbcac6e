#include "director_fixture.h"

#include "gooseberrydrum/position.h"

#define ZONES 3
#define ZONE_SERVERS 10
#define STEP (5 * GBD_MILLISECOND)
#define FLOW_STEPS 10       /* steps until a flow of the simulation ends */
#define STREAM_PACKETS 2000 /* in the comparison of two directors */
/* Requirement: the longest time until an instance applies an evacuation. */
#define BOUND (5 * GBD_SECOND)
/* Requirement: largest share of a server against an even share. */
#define SPREAD_MAX 1.1

static const char *const zone_names[ZONES] = { "a", "b", "c" };

/* Applies a set of up to two zones; NULL for none. */
static gbd_status_t
update (gbd_director_t *director, uint64_t position, const char *first,
        const char *second, gbd_time_t now)
{
  const char *names[] = { first, second };
  uint32_t count = (first != NULL) + (second != NULL);
  return gbd_evacuations_update (gbd_director_get_evacuations (director),
                                 position, names, count, now);
}

static bool
is_evacuated (gbd_director_t *director, const char *zone)
{
  return gbd_evacuations_contain (gbd_director_peek_evacuations (director),
                                  gbd_zone_from_name (zone));
}

/* Guards against an evacuation that an outdated source ends or starts. */
static void
older_set_never_replaces_a_newer_one (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  assert_int_equal (
      update (director, 20, "a", NULL, START - GBD_POOL_REMOVAL_GRACE),
      GBD_OK);
  assert_int_equal (update (director, 19, NULL, NULL, START), GBD_ERROR_STALE);
  assert_int_equal (update (director, 10, "b", NULL, START), GBD_ERROR_STALE);
  assert_true (is_evacuated (director, "a"));
  assert_false (is_evacuated (director, "b"));
  /* The set arrives twice, also from another source. */
  assert_int_equal (update (director, 20, "a", "a", START), GBD_OK);
  assert_int_equal (gbd_director_peek_evacuations (director)->count, 1);
  assert_int_equal (update (director, 21, NULL, NULL, START), GBD_OK);
  assert_false (is_evacuated (director, "a"));
  assert_int_equal (update (director, 22, "a", "b", START), GBD_OK);
  assert_true (is_evacuated (director, "a") && is_evacuated (director, "b"));
  gbd_director_delete (director);
}

/* Guards against an evacuation that ends because the store lost its entry:
   the operator writes it again within two seconds. */
static void
restore_of_the_store_keeps_missing_zones_for_a_time (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  uint64_t restored = gbd_position_make (1, 5);
  gbd_time_t now = START;
  update (director, gbd_position_make (0, 90), "a", "b", now);
  update (director, restored, NULL, NULL, now);
  now += GBD_SECOND;
  gbd_director_tick (director, now);
  assert_true (is_evacuated (director, "a") && is_evacuated (director, "b"));
  /* Zone b is written again, and a set of the era before arrives late. */
  update (director, restored + 1, "b", NULL, now);
  assert_int_equal (
      update (director, gbd_position_make (0, 95), NULL, NULL, now),
      GBD_ERROR_STALE);
  gbd_director_tick (director, START + GBD_POOL_REMOVAL_GRACE - 1);
  assert_true (is_evacuated (director, "a"));
  gbd_director_tick (director, START + GBD_POOL_REMOVAL_GRACE);
  assert_false (is_evacuated (director, "a"));
  assert_true (is_evacuated (director, "b"));
  /* The grace period is over: a deletion applies at once. */
  update (director, restored + 2, NULL, NULL, START + GBD_POOL_REMOVAL_GRACE);
  assert_false (is_evacuated (director, "b"));
  gbd_director_delete (director);
}

/* An instance starts after a restore that took an entry from the store; its
   relay still has the zone.  Guards against ignoring it because the store's
   set, which may arrive before or after, is newer. */
static void
starting_instance_takes_zones_of_all_sets (void **state)
{
  (void)state;
  for (int is_store_first = 0; is_store_first < 2; is_store_first++)
    {
      gbd_director_t *director = make_ready_director ();
      if (is_store_first)
        update (director, 20, NULL, NULL, START);
      update (director, 19, "a", NULL, START);
      update (director, 21, NULL, NULL, START + GBD_MILLISECOND);
      gbd_time_t end = START + GBD_POOL_REMOVAL_GRACE;
      gbd_director_tick (director, end - 1);
      assert_true (is_evacuated (director, "a"));
      gbd_director_tick (director, end);
      assert_false (is_evacuated (director, "a"));
      assert_int_equal (update (director, 20, "a", NULL, end),
                        GBD_ERROR_STALE);
      assert_false (is_evacuated (director, "a"));
      gbd_director_delete (director);
    }
}

/* Guards against one bad entry that prevents the others from applying. */
static void
bad_names_are_left_out (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_evacuations_t *set = gbd_director_get_evacuations (director);
  char long_name[GBD_NAME_MAX + 2];
  memset (long_name, 'z', sizeof long_name);
  long_name[GBD_NAME_MAX + 1] = '\0';
  const char *names[] = { "", long_name, "a" };
  assert_int_equal (gbd_evacuations_update (set, 1, names, 3, START),
                    GBD_ERROR_FORMAT);
  assert_int_equal (set->count, 1);
  assert_true (is_evacuated (director, "a"));

  char texts[GBD_EVACUATIONS_MAX + 1][GBD_NAME_MAX + 1];
  const char *many[GBD_EVACUATIONS_MAX + 1];
  for (int i = 0; i <= GBD_EVACUATIONS_MAX; i++)
    {
      snprintf (texts[i], sizeof texts[i], "zone-%d", i);
      many[i] = texts[i];
    }
  assert_int_equal (
      gbd_evacuations_update (set, 2, many, GBD_EVACUATIONS_MAX + 1, START),
      GBD_ERROR_MEMORY);
  assert_int_equal (set->count, GBD_EVACUATIONS_MAX);
  gbd_director_delete (director);
}

/* A flow of the simulation; its instance is that of the caller's zone. */
typedef struct
{
  gbd_director_decision_t opening;
  gbd_director_t *instance;
  uint16_t port;
} flow_t;

typedef struct
{
  gbd_director_t *instances[ZONES];
  flow_t flows[FLOW_STEPS][ZONES]; /* the flows of the latest steps */
  uint32_t counts[ZONES][ZONE_SERVERS];
  uint32_t resets;
  uint32_t late_count; /* opening packets to zone a by an instance that knows
                          of its evacuation */
  uint16_t port;
} load_t;

static gbd_director_t *
make_instance (const char *zone)
{
  gbd_director_settings_t settings
      = { .zone = gbd_zone_from_name (zone), .flow_capacity = FLOWS };
  gbd_director_t *director = gbd_director_new (&settings);
  gbd_pool_t *pool = gbd_director_get_pool (director);
  gbd_director_set_key (director, KEY);
  gbd_director_set_routes (director, make_routes (1, "web"));
  gbd_pool_begin_listing (pool);
  for (gbd_backend_id_t i = 0; i < (gbd_backend_id_t)ZONES * ZONE_SERVERS; i++)
    {
      gbd_pool_entry_t entry
          = make_entry (i + 1, "web", zone_names[i / ZONE_SERVERS]);
      put_entry (director, &entry, START);
    }
  gbd_pool_end_listing (pool, START);
  return director;
}

static void
end_flow (const flow_t *flow, gbd_time_t now)
{
  if (!flow->instance || flow->opening.kind != GBD_ACTION_BACKEND)
    return;
  gbd_packet_t packet = make_data (&flow->opening, flow->port);
  packet.kind = GBD_PACKET_CLOSING;
  packet.sequence += 100;
  packet.acknowledgment += 700;
  packet.payload_length = 0;
  route_packet (flow->instance, &packet, now);
}

static void
start_flow (load_t *load, flow_t *flow, gbd_director_t *instance,
            gbd_time_t now)
{
  flow->instance = instance;
  flow->port = ++load->port;
  flow->opening = open_flow (instance, flow->port, now);
  if (flow->opening.kind != GBD_ACTION_BACKEND)
    {
      load->resets++;
      return;
    }
  gbd_packet_t data = make_data (&flow->opening, flow->port);
  route_packet (instance, &data, now);
  uint32_t id = (uint32_t)get_backend_id (instance, &flow->opening) - 1;
  load->counts[id / ZONE_SERVERS][id % ZONE_SERVERS]++;
  if (id / ZONE_SERVERS == 0 && is_evacuated (instance, "a"))
    load->late_count++;
}

/* One opening packet of each zone's callers each 5 ms; a request takes 50 ms,
   so that 30 of 60 slots are busy, and 30 of 40 without one zone. */
static gbd_time_t
run_load (load_t *load, gbd_time_t from, gbd_time_t time)
{
  gbd_time_t now = from;
  for (; now < from + time; now += STEP)
    {
      flow_t *flows = load->flows[(now / STEP) % FLOW_STEPS];
      for (int i = 0; i < ZONES; i++)
        {
          end_flow (&flows[i], now);
          start_flow (load, &flows[i], load->instances[i], now);
          if ((now / STEP) % 20 == 0)
            gbd_director_tick (load->instances[i], now);
        }
    }
  return now;
}

/* A zone emptied under load: the instances learn of the evacuation at
   different times.  Guards against opening packets that still reach it after
   the bound, and against a zone or server that gets more than its share. */
static void
zone_emptied_under_load (void **state)
{
  (void)state;
  static load_t load;
  memset (&load, 0, sizeof load);
  for (int i = 0; i < ZONES; i++)
    load.instances[i] = make_instance (zone_names[i]);
  gbd_time_t now = run_load (&load, START, 5 * GBD_SECOND);
  for (int i = 0; i < ZONES; i++)
    {
      update (load.instances[i], 1, "a", NULL, now);
      now = run_load (&load, now, BOUND / ZONES);
    }
  assert_int_equal (load.late_count, 0);
  memset (load.counts, 0, sizeof load.counts);
  gbd_time_t time = 20 * GBD_SECOND;
  now = run_load (&load, now, time);
  uint32_t highest = 0;
  uint32_t lowest = UINT32_MAX;
  for (int i = 0; i < ZONE_SERVERS; i++)
    {
      assert_int_equal (load.counts[0][i], 0);
      for (int zone = 1; zone < ZONES; zone++)
        {
          uint32_t count = load.counts[zone][i];
          highest = count > highest ? count : highest;
          lowest = count < lowest ? count : lowest;
        }
    }
  double even = (double)ZONES * (double)time
                / ((double)STEP * (ZONES - 1) * ZONE_SERVERS);
  print_message ("%u to %u flows, even %g\n", lowest, highest, even);
  assert_true (highest <= even * SPREAD_MAX);
  assert_true (lowest >= even / SPREAD_MAX);
  assert_int_equal (load.resets, 0);

  /* The zone returns. */
  for (int i = 0; i < ZONES; i++)
    update (load.instances[i], 2, NULL, NULL, now);
  memset (load.counts, 0, sizeof load.counts);
  run_load (&load, now, time);
  for (int i = 0; i < ZONE_SERVERS; i++)
    assert_true (load.counts[0][i] > 0);
  for (int i = 0; i < ZONES; i++)
    gbd_director_delete (load.instances[i]);
}

/* Servers 1 to 3 are in zone a, 4 in zone b.  Guards against the classes of
   servers that get a flow only exceptionally: suspected, with a trial flow
   due, and as the last resort. */
static void
no_class_reaches_an_evacuated_zone (void **state)
{
  (void)state;
  for (int variant = 0; variant < 3; variant++)
    {
      gbd_director_t *director = make_ready_director ();
      gbd_pool_t *pool = gbd_director_get_pool (director);
      update (director, 1, "a", NULL, START);
      if (variant == 1)
        for (gbd_backend_id_t id = 1; id <= 4; id++)
          gbd_pool_suspect (pool, id, START);
      if (variant == 2)
        for (gbd_backend_id_t id = 1; id <= 4; id++)
          gbd_pool_remove (pool, id, START);
      for (uint16_t port = 1; port <= 200; port++)
        {
          gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, port);
          gbd_time_t now = START + port * STEP;
          gbd_director_decision_t decision
              = route_packet (director, &packet, now);
          assert_int_equal (get_backend_id (director, &decision), 4);
          /* Its retransmission has no other server. */
          packet.acknowledgment = 1;
          decision = route_packet (director, &packet, now + GBD_MILLISECOND);
          assert_int_equal (get_backend_id (director, &decision), 4);
        }
      gbd_director_delete (director);
    }
}

/* Guards against a reset that hits a flow that is opening: a copy, or a packet
   of a flow that is tracked, is dropped. */
static void
opening_packet_is_reset_only_if_nothing_was_forwarded (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_packet_t first = make_packet (GBD_PACKET_OPENING, 1);
  gbd_director_decision_t decision = route_packet (director, &first, START);
  assert_int_equal (decision.kind, GBD_ACTION_BACKEND);
  gbd_director_decision_t open = open_flow (director, 2, START);
  update (director, 1, "a", "b", START);

  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 3);
  decision = route_packet (director, &packet, START);
  assert_int_equal (decision.kind, GBD_ACTION_RESET);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_EVACUATED);
  assert_string_equal (gbd_director_rule_strings[decision.rule], "evacuated");

  packet.acknowledgment = 1; /* the first transmission went elsewhere */
  decision = route_packet (director, &packet, START);
  assert_int_equal (decision.kind, GBD_ACTION_DROP);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_EVACUATED);

  assert_int_equal (route_packet (director, &first, START).kind,
                    GBD_ACTION_DROP);
  first.acknowledgment = 1;
  assert_int_equal (route_packet (director, &first, START).kind,
                    GBD_ACTION_DROP);
  packet = make_packet (GBD_PACKET_OPENING, 2);
  assert_int_equal (route_packet (director, &packet, START).kind,
                    GBD_ACTION_DROP);

  /* The open flow stays where it is. */
  packet = make_data (&open, 2);
  gbd_director_decision_t later = route_packet (director, &packet, START);
  assert_int_equal (later.kind, GBD_ACTION_BACKEND);
  assert_int_equal (later.server, open.server);
  gbd_director_stats_t stats;
  gbd_director_get_stats (director, &stats);
  assert_int_equal (stats.evacuation_resets, 1);

  /* Without any server of the service, the evacuation is not the reason. */
  for (gbd_backend_id_t id = 1; id <= 4; id++)
    gbd_pool_remove (gbd_director_get_pool (director), id, START);
  packet = make_packet (GBD_PACKET_OPENING, 4);
  decision = route_packet (director, &packet, START + GBD_SECOND * 4);
  assert_int_equal (decision.rule, GBD_DIRECTOR_RULE_NO_SERVER);
  gbd_director_delete (director);
}

/* Guards against a duplicate that follows the first packet into a zone that
   was evacuated since. */
static void
duplicate_leaves_the_evacuated_zone (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  gbd_director_decision_t first = route_packet (director, &packet, START);
  assert_true (get_backend_id (director, &first) < 4);
  assert_int_equal (route_packet (director, &packet, START).rule,
                    GBD_DIRECTOR_RULE_SAME);
  update (director, 1, "a", NULL, START);
  gbd_director_decision_t second = route_packet (director, &packet, START);
  assert_int_equal (second.rule, GBD_DIRECTOR_RULE_MOVED);
  assert_int_equal (second.previous, first.server);
  assert_int_equal (get_backend_id (director, &second), 4);
  assert_int_equal (route_packet (director, &packet, START).rule,
                    GBD_DIRECTOR_RULE_SAME);
  gbd_director_delete (director);
}

/* Guards against a change of decisions where no zone is evacuated: the set is
   not known, empty, or names a zone without servers. */
static void
decisions_without_an_evacuation_are_unchanged (void **state)
{
  (void)state;
  gbd_director_t *plain = make_instance ("a");
  gbd_director_t *empty = make_instance ("a");
  gbd_director_t *unknown = make_instance ("a");
  update (empty, 1, NULL, NULL, START);
  update (unknown, 1, "nowhere", NULL, START);
  gbd_director_detect_pauses (empty);
  gbd_director_t *const directors[] = { plain, empty, unknown };
  for (uint16_t i = 0; i < STREAM_PACKETS; i++)
    {
      gbd_time_t now = START + i * STEP;
      gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, i / 2 + 1);
      packet.acknowledgment = i % 4 == 1 ? 1 : 0;
      gbd_director_decision_t decisions[3];
      for (int j = 0; j < 3; j++)
        {
          decisions[j] = route_packet (directors[j], &packet, now);
          gbd_director_tick (directors[j], now);
        }
      for (int j = 1; j < 3; j++)
        {
          assert_int_equal (decisions[j].kind, decisions[0].kind);
          assert_int_equal (decisions[j].rule, decisions[0].rule);
          assert_int_equal (decisions[j].server, decisions[0].server);
          assert_int_equal (decisions[j].cookie, decisions[0].cookie);
        }
    }
  for (int j = 0; j < 3; j++)
    gbd_director_delete (directors[j]);
}

/* A process that was paused finds opening packets in its socket.  Guards
   against placing them by a set that is older than the bound, and against
   holding them back for longer than asked. */
static void
paused_instance_holds_opening_packets_back (void **state)
{
  (void)state;
  gbd_director_t *director = make_ready_director ();
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, 1);
  gbd_director_decision_t open = open_flow (director, 2, START);
  gbd_director_detect_pauses (director);
  gbd_director_tick (director, START);
  gbd_time_t now = START + 10 * GBD_SECOND;
  assert_int_equal (route_packet (director, &packet, now).kind,
                    GBD_ACTION_DROP);
  gbd_packet_t data = make_data (&open, 2);
  assert_int_equal (route_packet (director, &data, now).kind,
                    GBD_ACTION_BACKEND);
  gbd_director_hold_openings (director, now + GBD_SECOND);
  gbd_director_tick (director, now);
  assert_int_equal (route_packet (director, &packet, now).kind,
                    GBD_ACTION_DROP);
  gbd_director_hold_openings (director, 0);
  assert_int_equal (route_packet (director, &packet, now).kind,
                    GBD_ACTION_BACKEND);
  gbd_director_delete (director);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (older_set_never_replaces_a_newer_one),
    cmocka_unit_test (restore_of_the_store_keeps_missing_zones_for_a_time),
    cmocka_unit_test (starting_instance_takes_zones_of_all_sets),
    cmocka_unit_test (bad_names_are_left_out),
    cmocka_unit_test (zone_emptied_under_load),
    cmocka_unit_test (no_class_reaches_an_evacuated_zone),
    cmocka_unit_test (opening_packet_is_reset_only_if_nothing_was_forwarded),
    cmocka_unit_test (duplicate_leaves_the_evacuated_zone),
    cmocka_unit_test (decisions_without_an_evacuation_are_unchanged),
    cmocka_unit_test (paused_instance_holds_opening_packets_back)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
