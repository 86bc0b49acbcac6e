/* Each row of the table at the foot brings about one failure. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "engine_fixture.h"

#define X 0
#define Y 1

/* Tables of a move of all of X's buckets to Y. */
typedef struct
{
  cluster_t cluster;
  gbd_table_t *stable;
  gbd_table_t *announced;
  gbd_table_t *active;
  gbd_table_t *settling;
  gbd_table_t *inverted;
  gbd_table_t *final;
  uint32_t caller; /* its bucket is on X */
  gbd_keepers_t keepers;
  uint32_t k1;
  uint32_t k2;
  uint32_t stranger;
} move_t;

static int
set_up (void **state)
{
  move_t *m = calloc (1, sizeof *m);
  cluster_open (&m->cluster, &gbd_policy_keepers);
  m->stable = make_table (&m->cluster, INSTANCES);
  m->announced = next_phase (m->stable, GBD_BUCKET_ANNOUNCED, X, Y);
  m->active = next_phase (m->announced, GBD_BUCKET_ACTIVE, X, Y);
  m->settling = next_phase (m->active, GBD_BUCKET_SETTLING, X, Y);
  m->inverted = next_phase (m->settling, GBD_BUCKET_INVERTED, X, Y);
  m->final = next_phase (m->inverted, GBD_BUCKET_STABLE, X, Y);
  m->caller = caller_on (&m->cluster, m->stable, X, 0);
  m->keepers = keepers_of (&m->cluster, m->stable, m->caller);
  m->k1 = (uint32_t)instance_of (m->keepers.chain[0]);
  m->k2 = (uint32_t)instance_of (m->keepers.chain[1]);
  m->stranger = stranger_to (&m->keepers, 0);
  set_table_everywhere (&m->cluster, m->stable);
  *state = m;
  return 0;
}

static int
tear_down (void **state)
{
  move_t *m = *state;
  cluster_close (&m->cluster);
  gbd_table_delete (m->stable);
  gbd_table_delete (m->announced);
  gbd_table_delete (m->active);
  gbd_table_delete (m->settling);
  gbd_table_delete (m->inverted);
  gbd_table_delete (m->final);
  free (m);
  return 0;
}

#define assert_backend(outcome, expected)                                     \
  do                                                                          \
    {                                                                         \
      outcome_t o = (outcome);                                                \
      assert_int_equal (o.kind, GBD_ACTION_BACKEND);                          \
      assert_int_equal (o.slot, expected);                                    \
    }                                                                         \
  while (0)

#define assert_dropped(outcome, expected_rule, expected_drop)                 \
  do                                                                          \
    {                                                                         \
      outcome_t o = (outcome);                                                \
      assert_int_equal (o.kind, GBD_ACTION_DROP);                             \
      assert_int_equal (o.rule, expected_rule);                               \
      assert_int_equal (o.drop, expected_drop);                               \
    }                                                                         \
  while (0)

static outcome_t
open_at (move_t *m, uint32_t instance)
{
  return send_kind (&m->cluster, instance, GBD_PACKET_OPENING, m->caller);
}

static outcome_t
middle_at (move_t *m, uint32_t instance)
{
  return send_kind (&m->cluster, instance, GBD_PACKET_MIDDLE, m->caller);
}

/* The opening packet is repeated at an instance that has the next version
   while the first keeper has the old one, and the other way round. */
static void
repeated_opening_across_versions (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table (&m->cluster, m->stranger, m->active);
  assert_backend (open_at (m, m->stranger), X);
  set_table (&m->cluster, m->k1, m->active);
  assert_backend (open_at (m, m->stranger), X);
  assert_backend (open_at (m, m->k2), X);
  for (uint32_t i = 0; i < INSTANCES; i++)
    assert_backend (middle_at (m, i), X);
}

static void
new_flow_of_active_bucket_is_found_everywhere (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table_everywhere (&m->cluster, m->active);
  outcome_t opened = open_at (m, m->stranger);
  assert_backend (opened, Y);
  assert_int_equal (opened.last, m->k2);
  assert_int_equal (opened.peers, 2);
  for (uint32_t i = 0; i < INSTANCES; i++)
    assert_backend (middle_at (m, i), Y);
}

static void
old_flow_unknown_to_all_stays (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table_everywhere (&m->cluster, m->active);
  for (uint32_t i = 0; i < INSTANCES; i++)
    assert_backend (middle_at (m, i), X);
}

static void
first_keeper_dies_after_registering (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table_everywhere (&m->cluster, m->active);
  assert_backend (open_at (m, m->stranger), Y);
  set_dead (&m->cluster, m->k1);
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (i != m->k1)
      assert_backend (middle_at (m, i), Y);
}

/* The packet is lost between the keepers; its repetition reaches the second,
   which then answers alone. */
static void
opening_lost_between_keepers (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table_everywhere (&m->cluster, m->active);
  gbd_packet_t packet
      = make_packet (GBD_PACKET_OPENING, m->caller, &m->cluster.address, 9);
  outcome_t lost = deliver_until (&m->cluster, m->k1, &packet, 0);
  assert_int_equal (lost.kind, GBD_ACTION_PEER);
  outcome_t repeated = deliver (&m->cluster, m->k1, &packet);
  assert_backend (repeated, Y);
  assert_int_equal (repeated.last, m->k2);
  set_dead (&m->cluster, m->k1);
  assert_backend (middle_at (m, m->stranger), Y);
}

static void
all_keepers_dead (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_dead (&m->cluster, m->k1);
  set_dead (&m->cluster, m->k2);
  assert_dropped (open_at (m, m->stranger), GBD_RULE_OPEN_KEEPER,
                  GBD_DROP_UNCERTAIN);
  assert_dropped (middle_at (m, m->stranger), GBD_RULE_ASK_KEEPER,
                  GBD_DROP_UNCERTAIN);
}

/* A keeper that is only silent to the first is told of the flow. */
static void
skipped_keeper_is_told (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table_everywhere (&m->cluster, m->active);
  gbd_engine_set_live (m->cluster.engines[m->k1],
                       &m->cluster.members[m->stranger], 1);
  assert_backend (open_at (m, m->k1), Y);
  assert_int_equal (tell_from (&m->cluster, m->k1), 1);
  assert_backend (middle_at (m, m->k2), Y);
}

static void
incomplete_keeper_passes_on (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  gbd_engine_set_complete (c->engines[m->k1], c->service, false);
  outcome_t asked = middle_at (m, m->stranger);
  assert_backend (asked, X);
  assert_int_equal (asked.last, m->k2);
  gbd_engine_set_complete (c->engines[m->k2], c->service, false);
  m->caller = caller_on (c, m->stable, X, 1);
  m->keepers = keepers_of (c, m->stable, m->caller);
  gbd_engine_set_complete (c->engines[instance_of (m->keepers.chain[0])],
                           c->service, false);
  gbd_engine_set_complete (c->engines[instance_of (m->keepers.chain[1])],
                           c->service, false);
  assert_dropped (middle_at (m, stranger_to (&m->keepers, 0)),
                  GBD_RULE_INCOMPLETE, GBD_DROP_UNCERTAIN);
}

static void
incomplete_joiner_relays_unknown_flows (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  gbd_engine_set_complete (c->engines[m->stranger], c->service, false);
  outcome_t relayed = middle_at (m, m->stranger);
  assert_backend (relayed, X);
  assert_int_equal (relayed.peers, 1);
  for (uint32_t i = 0; i < INSTANCES; i++)
    gbd_engine_set_complete (c->engines[i], c->service, false);
  m->caller = caller_on (c, m->stable, X, 1);
  assert_dropped (middle_at (m, m->stranger), GBD_RULE_INCOMPLETE,
                  GBD_DROP_UNCERTAIN);
}

static void
out_of_touch_answers_only_for_known_flows (void **state)
{
  move_t *m = *state;
  gbd_engine_t *engine = m->cluster.engines[m->stranger];
  uint32_t known = caller_on (&m->cluster, m->stable, X, 1);
  send_kind (&m->cluster, m->stranger, GBD_PACKET_OPENING, known);
  gbd_engine_set_touch (engine, GBD_TOUCH_NONE);
  assert_dropped (open_at (m, m->stranger), GBD_RULE_OUT_OF_TOUCH,
                  GBD_DROP_UNCERTAIN);
  assert_dropped (middle_at (m, m->stranger), GBD_RULE_OUT_OF_TOUCH,
                  GBD_DROP_UNCERTAIN);
  assert_backend (
      send_kind (&m->cluster, m->stranger, GBD_PACKET_MIDDLE, known), X);
  assert_backend (
      send_kind (&m->cluster, m->stranger, GBD_PACKET_OPENING, known), X);
}

static void
not_joined_relays_or_drops (void **state)
{
  move_t *m = *state;
  gbd_engine_t *engine = m->cluster.engines[m->stranger];
  gbd_engine_set_joined (engine, false);
  outcome_t relayed = open_at (m, m->stranger);
  assert_backend (relayed, X);
  assert_int_equal (relayed.peers, 1);
  gbd_engine_set_live (engine, NULL, 0);
  assert_dropped (open_at (m, m->stranger), GBD_RULE_NOT_JOINED,
                  GBD_DROP_NOT_JOINED);
}

/* Shims that are late by two versions, or have wandered too long. */
static void
late_and_lost_shims (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  gbd_packet_t packet
      = make_packet (GBD_PACKET_MIDDLE, m->caller, &c->address, 5);
  static const struct
  {
    uint8_t kind;
    uint8_t hops;
    int8_t version; /* relative to the receiver's */
    uint8_t action;
    uint8_t drop;
  } rows[] = {
    { GBD_SHIM_LOOKUP, 1, 0, GBD_ACTION_BACKEND, GBD_DROP_NONE },
    { GBD_SHIM_LOOKUP, 1, 1, GBD_ACTION_BACKEND, GBD_DROP_NONE },
    { GBD_SHIM_LOOKUP, 1, -1, GBD_ACTION_BACKEND, GBD_DROP_NONE },
    { GBD_SHIM_LOOKUP, 1, 2, GBD_ACTION_DROP, GBD_DROP_UNCERTAIN },
    { GBD_SHIM_LOOKUP, 1, -2, GBD_ACTION_DROP, GBD_DROP_UNCERTAIN },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      gbd_shim_t shim = { rows[i].kind, rows[i].hops, GBD_SLOT_NONE,
                          instance_id (m->stranger),
                          m->active->version + (uint64_t)rows[i].version };
      gbd_decision_t decision;
      gbd_engine_route (c->engines[m->k1], &packet, &shim, c->now, &decision);
      assert_int_equal (decision.kind, rows[i].action);
      assert_int_equal (decision.drop, rows[i].drop);
    }
  gbd_shim_t shim = { GBD_SHIM_LOOKUP, GBD_HOPS_MAX, GBD_SLOT_NONE,
                      instance_id (m->k1), m->active->version };
  gbd_decision_t decision;
  gbd_engine_route (c->engines[m->stranger], &packet, &shim, c->now,
                    &decision);
  assert_int_equal (decision.drop, GBD_DROP_HOP_LIMIT);
}

/* The second keeper has another slot registered than the first decides. */
static void
later_keeper_corrects_the_first (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  gbd_flow_entry_t entry = { hash_of (c, m->caller), X };
  gbd_engine_merge (c->engines[m->k2], c->service, GBD_FLOWS_REGISTERED,
                    &entry, 1, c->now);
  set_table_everywhere (c, m->active);
  assert_dropped (open_at (m, m->stranger), GBD_RULE_REGISTERED,
                  GBD_DROP_UNCERTAIN);
  assert_int_equal (tell_from (c, m->k2), 1);
  assert_backend (open_at (m, m->stranger), X);
  set_dead (c, m->k2);
  assert_backend (middle_at (m, m->k1), X);
  assert_backend (middle_at (m, m->stranger), X);
}

/* Flows that stay on X are exceptions once unregistered means Y. */
static void
inversion_keeps_old_flows (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  assert_int_equal (middle_at (m, m->stranger).last, m->k1);
  uint32_t young = caller_on (c, m->stable, X, 1);
  assert_backend (send_kind (c, m->stranger, GBD_PACKET_OPENING, young), Y);
  set_table_everywhere (c, m->settling);
  /* Only the first keeper has seen the old flow, and tells the others. */
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      gbd_flow_entry_t entry = { hash_of (c, m->caller), X };
      if (i != m->k1)
        gbd_engine_merge (c->engines[i], c->service, GBD_FLOWS_EXCEPTION,
                          &entry, 1, c->now);
    }
  set_table_everywhere (c, m->inverted);
  set_table_everywhere (c, m->final);
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      assert_backend (middle_at (m, i), X);
      assert_backend (send_kind (c, i, GBD_PACKET_MIDDLE, young), Y);
    }
  /* Without the cache, the exception alone answers. */
  c->now += 70 * GBD_SECOND;
  gbd_engine_expire (c->engines[m->k1], c->now);
  outcome_t later = middle_at (m, m->k1);
  assert_backend (later, X);
  assert_int_equal (later.rule, GBD_RULE_EXCEPTION);
}

static void
count_entry (void *data, const gbd_flow_entry_t *entry)
{
  gbd_flow_entry_t *seen = data;
  assert_true (seen->hash == 0 || seen->hash == entry->hash);
  *seen = *entry;
}

/* What is listed while settling: open flows that are not on the target. */
static void
closed_and_moved_flows_are_no_exceptions (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  uint32_t closed = caller_on (c, m->stable, X, 1);
  uint32_t young = caller_on (c, m->stable, X, 2);
  uint32_t elsewhere = caller_on (c, m->stable, 2, 0);
  send_kind (c, m->stranger, GBD_PACKET_OPENING, closed);
  send_kind (c, m->stranger, GBD_PACKET_CLOSING, closed);
  c->now += 61 * GBD_SECOND;
  open_at (m, m->stranger);
  send_kind (c, m->stranger, GBD_PACKET_OPENING, elsewhere);
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  send_kind (c, m->stranger, GBD_PACKET_OPENING, young);
  set_table_everywhere (c, m->settling);
  gbd_flow_entry_t seen = { 0, 0 };
  gbd_engine_visit_exceptions (c->engines[m->stranger], c->service, c->now,
                               count_entry, &seen);
  assert_true (seen.hash == hash_of (c, m->caller));
  assert_int_equal (seen.slot, X);
}

static void
count_entries (void *data, const gbd_flow_entry_t *entry)
{
  (void)entry;
  ++*(uint32_t *)data;
}

/* Two instances know an old flow: the first to tell it remembers it even when
   its own cache forgets, the second needs not tell it again in this version.
 */
static void
exceptions_are_told_once_and_kept (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  uint32_t first = m->stranger;
  uint32_t second = stranger_to (&m->keepers, 1);
  open_at (m, first);
  middle_at (m, second);
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  set_table_everywhere (c, m->settling);
  uint32_t count = 0;
  gbd_engine_visit_exceptions (c->engines[first], c->service, c->now,
                               count_entries, &count);
  assert_int_equal (count, 1);
  gbd_flow_entry_t entry = { hash_of (c, m->caller), X };
  gbd_engine_merge (c->engines[first], c->service, GBD_FLOWS_EXCEPTION, &entry,
                    1, c->now);
  gbd_engine_merge (c->engines[second], c->service, GBD_FLOWS_PART, &entry, 1,
                    c->now);
  count = 0;
  gbd_engine_visit_exceptions (c->engines[second], c->service, c->now,
                               count_entries, &count);
  assert_int_equal (count, 0);

  c->now += 61 * GBD_SECOND;
  gbd_engine_expire (c->engines[first], c->now);
  set_table (c, first, m->inverted);
  assert_backend (middle_at (m, first), X);
}

/* The catalog gives the address to another service than the table's. */
static void
isolation_holds_when_a_table_is_wrong (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  gbd_address_t acervo = service_address (2);
  gbd_address_t nobody = service_address (3);
  gbd_packet_t packet
      = make_packet (GBD_PACKET_OPENING, m->caller, &acervo, 1);
  assert_dropped (deliver (c, 0, &packet), GBD_RULE_NOT_JOINED,
                  GBD_DROP_NOT_JOINED);
  packet = make_packet (GBD_PACKET_OPENING, m->caller, &nobody, 1);
  assert_dropped (deliver (c, 0, &packet), GBD_RULE_NO_SERVICE,
                  GBD_DROP_NO_SERVICE);

  /* A registration that names a slot which the table does not have. */
  set_table_everywhere (c, m->announced);
  gbd_flow_entry_t entry = { hash_of (c, m->caller), BACKENDS + 3 };
  gbd_engine_merge (c->engines[m->k1], c->service, GBD_FLOWS_REGISTERED,
                    &entry, 1, c->now);
  assert_dropped (middle_at (m, m->k1), GBD_RULE_REGISTERED,
                  GBD_DROP_ISOLATION);
  gbd_engine_stats_t stats;
  gbd_engine_get_stats (c->engines[m->k1], &stats);
  assert_int_equal (stats.drops[GBD_DROP_ISOLATION], 1);
}

/* The caller's port is used again after the flow closed, or while it did not
   close but its server drains. */
static void
port_reuse (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  assert_backend (open_at (m, m->stranger), X);
  send_kind (c, m->stranger, GBD_PACKET_CLOSING, m->caller);
  m->stable->version = 2;
  gbd_table_t *moved = next_phase (m->stable, GBD_BUCKET_STABLE, X, Y);
  set_table_everywhere (c, moved);
  assert_backend (middle_at (m, m->stranger), X);
  assert_backend (open_at (m, m->stranger), Y);
  assert_backend (middle_at (m, m->stranger), Y);

  gbd_table_t *drained = next_phase (moved, GBD_BUCKET_STABLE, Y, 2);
  drained->backends[Y].state = GBD_BACKEND_DRAINING;
  set_table_everywhere (c, drained);
  assert_backend (open_at (m, m->stranger), Y);
  gbd_packet_t other
      = make_packet (GBD_PACKET_OPENING, m->caller, &c->address, 4711);
  assert_backend (deliver (c, m->stranger, &other), 2);
  gbd_table_delete (moved);
  gbd_table_delete (drained);
}

static void
idle_flow_is_opened_anew (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  assert_backend (open_at (m, m->stranger), X);
  gbd_table_t *moved = next_phase (m->stable, GBD_BUCKET_STABLE, X, Y);
  set_table_everywhere (c, moved);
  c->now += 59 * GBD_SECOND;
  assert_backend (open_at (m, m->stranger), X);
  c->now += 61 * GBD_SECOND;
  assert_backend (open_at (m, m->stranger), Y);
  gbd_table_delete (moved);
}

static void
gone_server_gets_nothing (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  assert_backend (open_at (m, m->stranger), X);
  gbd_table_t *gone = next_phase (m->stable, GBD_BUCKET_STABLE, X, Y);
  gone->backends[X].state = GBD_BACKEND_GONE;
  set_table_everywhere (c, gone);
  assert_dropped (middle_at (m, m->stranger), GBD_RULE_GONE,
                  GBD_DROP_NO_BACKEND);
  assert_backend (open_at (m, m->stranger), Y);
  assert_backend (middle_at (m, m->stranger), Y);
  gbd_table_delete (gone);
}

/* A slot gets another backend server: flows of the former are not its own. */
static void
new_life_of_a_slot (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  assert_backend (open_at (m, m->stranger), X);
  gbd_backend_load_t load;
  gbd_engine_get_load (c->engines[m->stranger], c->service, X, &load);
  assert_int_equal (load.open_flows, 1);
  gbd_table_t *reused = next_phase (m->stable, GBD_BUCKET_STABLE, X, Y);
  reused->backends[X].id = 999;
  set_table_everywhere (c, reused);
  assert_backend (middle_at (m, m->stranger), Y);
  gbd_engine_get_load (c->engines[m->stranger], c->service, X, &load);
  assert_int_equal (load.open_flows, 0);
  gbd_table_delete (reused);
}

/* Zone 1 holds instances 0 and 1 and the servers 0 and 3 of it. */
static void
zone_cut_off (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  for (uint32_t i = 0; i < 2; i++)
    {
      gbd_engine_set_live (c->engines[i], c->members, 2);
      gbd_engine_set_touch (c->engines[i], GBD_TOUCH_ZONE);
    }
  for (gbd_slot_t slot = 0; slot < BACKENDS; slot++)
    {
      uint32_t caller = caller_on (c, m->stable, slot, 0);
      assert_dropped (send_kind (c, 1, GBD_PACKET_MIDDLE, caller),
                      GBD_RULE_OUT_OF_TOUCH, GBD_DROP_UNCERTAIN);
      outcome_t opened = send_kind (c, 0, GBD_PACKET_OPENING, caller);
      assert_int_equal (opened.kind, GBD_ACTION_BACKEND);
      assert_int_equal (m->stable->backends[opened.slot].zone, 1);
      if (m->stable->backends[slot].zone == 1)
        assert_int_equal (opened.slot, slot);
      assert_true (tell_from (c, 0) > 0);
      assert_backend (send_kind (c, 1, GBD_PACKET_MIDDLE, caller),
                      opened.slot);

      /* The cut ends: the other side is told, and then answers the same. */
      gbd_engine_set_live (c->engines[0], c->members, INSTANCES);
      tell_from (c, 0);
      assert_backend (send_kind (c, 4, GBD_PACKET_MIDDLE, caller),
                      opened.slot);
      gbd_engine_set_live (c->engines[0], c->members, 2);
    }
}

static bool
admit_none (const void *data, uint32_t customer, gbd_time_t now)
{
  (void)customer;
  (void)now;
  return *(const bool *)data;
}

static void
note (void *data, uint32_t customer, gbd_time_t now)
{
  (void)data;
  (void)customer;
  (void)now;
}

static void
note_end (void *data, uint32_t customer, gbd_flow_end_t end, gbd_time_t now)
{
  (void)end;
  note (data, customer, now);
}

static const gbd_admission_t admission = { admit_none, note, note_end };

/* A reset claims that nothing was passed on, so it needs to be true. */
static void
limit_refuses_only_what_was_not_passed_on (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  bool admits = false;
  for (uint32_t i = 0; i < INSTANCES; i++)
    gbd_engine_set_admission (c->engines[i], &admission, &admits);
  set_table_everywhere (c, m->announced);
  outcome_t refused = open_at (m, m->stranger);
  assert_int_equal (refused.kind, GBD_ACTION_RESET);
  assert_int_equal (refused.rule, GBD_RULE_LIMIT);

  /* Passed to a keeper that may have delivered it: goes on. */
  admits = true;
  gbd_packet_t packet
      = make_packet (GBD_PACKET_OPENING, m->caller, &c->address, 9);
  deliver_until (c, m->stranger, &packet, 0);
  admits = false;
  assert_backend (deliver (c, m->stranger, &packet), X);

  /* Delivered and closed: neither a reset nor a second run. */
  uint32_t other = caller_on (c, m->stable, 2, 0);
  admits = true;
  assert_backend (send_kind (c, m->stranger, GBD_PACKET_OPENING, other), 2);
  send_kind (c, m->stranger, GBD_PACKET_CLOSING, other);
  admits = false;
  assert_dropped (send_kind (c, m->stranger, GBD_PACKET_OPENING, other),
                  GBD_RULE_LIMIT, GBD_DROP_LIMIT);
}

/* At the bound a new flow goes to the server that needs no registration. */
static void
full_registry (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  gbd_flow_entry_t entry = { 0, Y };
  for (uint64_t i = 1; i <= 512; i++)
    {
      entry.hash = i << 32 | 1;
      gbd_engine_merge (c->engines[m->k1], c->service, GBD_FLOWS_REGISTERED,
                        &entry, 1, c->now);
    }
  entry.hash = 513ull << 32;
  assert_int_equal (gbd_engine_merge (c->engines[m->k1], c->service,
                                      GBD_FLOWS_REGISTERED, &entry, 1, c->now),
                    GBD_ERROR_MEMORY);
  assert_backend (open_at (m, m->stranger), X);
  for (uint32_t i = 0; i < INSTANCES; i++)
    assert_backend (middle_at (m, i), X);
}

/* A flow that keeps detouring is taught to where the fabric delivers it. */
static void
detours_end (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  assert_backend (open_at (m, m->stranger), Y);
  uint32_t detours = 0;
  while (detours < 20 && middle_at (m, m->stranger).peers > 0)
    {
      detours++;
      tell_from (c, m->k1);
    }
  assert_in_range (detours, 1, 10);
}

/* The closing packet of a registered flow reaches both keepers, which forget
   the flow, wherever the packet arrives. */
static void
both_keepers_forget_a_closed_flow (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      m->caller = caller_on (c, m->stable, X, i);
      m->keepers = keepers_of (c, m->stable, m->caller);
      assert_backend (open_at (m, i), Y);
      assert_backend (send_kind (c, i, GBD_PACKET_CLOSING, m->caller), Y);
      assert_backend (middle_at (m, i), Y);
    }
  c->now += 61 * GBD_SECOND;
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      gbd_engine_expire (c->engines[i], c->now);
      uint32_t count = 0;
      gbd_engine_visit_registered (c->engines[i], c->service, count_entries,
                                   &count);
      assert_int_equal (count, 0);
    }
}

/* An ICMP error follows its flow and leaves no trace. */
static void
icmp_leaves_no_state (void **state)
{
  move_t *m = *state;
  assert_backend (
      send_kind (&m->cluster, m->stranger, GBD_PACKET_ICMP, m->caller), X);
  gbd_engine_stats_t stats;
  gbd_engine_get_stats (m->cluster.engines[m->stranger], &stats);
  assert_int_equal (stats.cached_flows, 0);
}

static void
stale_table_is_refused (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  assert_int_equal (set_table (&m->cluster, 0, m->stable), GBD_ERROR_STALE);
  assert_int_equal (set_table (&m->cluster, 0, m->announced), GBD_ERROR_STALE);
}

#define ROW(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    ROW (repeated_opening_across_versions),
    ROW (new_flow_of_active_bucket_is_found_everywhere),
    ROW (old_flow_unknown_to_all_stays),
    ROW (first_keeper_dies_after_registering),
    ROW (opening_lost_between_keepers),
    ROW (all_keepers_dead),
    ROW (skipped_keeper_is_told),
    ROW (incomplete_keeper_passes_on),
    ROW (incomplete_joiner_relays_unknown_flows),
    ROW (out_of_touch_answers_only_for_known_flows),
    ROW (not_joined_relays_or_drops),
    ROW (late_and_lost_shims),
    ROW (later_keeper_corrects_the_first),
    ROW (inversion_keeps_old_flows),
    ROW (closed_and_moved_flows_are_no_exceptions),
    ROW (exceptions_are_told_once_and_kept),
    ROW (isolation_holds_when_a_table_is_wrong),
    ROW (port_reuse),
    ROW (idle_flow_is_opened_anew),
    ROW (gone_server_gets_nothing),
    ROW (new_life_of_a_slot),
    ROW (zone_cut_off),
    ROW (limit_refuses_only_what_was_not_passed_on),
    ROW (full_registry),
    ROW (detours_end),
    ROW (both_keepers_forget_a_closed_flow),
    ROW (icmp_leaves_no_state),
    ROW (stale_table_is_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
