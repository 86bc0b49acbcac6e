/* Routing decisions of single engines and of groups, each test in one failure
   or special case. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "engine_move.h"

static void
without_lease_only_known_flows_are_routed (void **state)
{
  move_t *m = *state;
  gbd_engine_t *engine = m->cluster.engines[m->non_replica];
  uint32_t known
      = find_caller_on_slot (&m->cluster, m->stable, SOURCE_SLOT, 1);
  send_packet_of_kind (&m->cluster, m->non_replica, GBD_PACKET_OPENING, known);
  gbd_engine_set_lease (engine, GBD_LEASE_NONE);
  assert_dropped (send_opening (m, m->non_replica), GBD_RULE_NO_LEASE,
                  GBD_DROP_UNCERTAIN);
  assert_dropped (send_established (m, m->non_replica), GBD_RULE_NO_LEASE,
                  GBD_DROP_UNCERTAIN);
  assert_backend (send_packet_of_kind (&m->cluster, m->non_replica,
                                       GBD_PACKET_ESTABLISHED, known),
                  SOURCE_SLOT);
  assert_backend (send_packet_of_kind (&m->cluster, m->non_replica,
                                       GBD_PACKET_OPENING, known),
                  SOURCE_SLOT);
}

static void
instance_that_has_not_joined_relays_or_drops (void **state)
{
  move_t *m = *state;
  gbd_engine_t *engine = m->cluster.engines[m->non_replica];
  gbd_engine_set_joined (engine, false);
  outcome_t relayed = send_opening (m, m->non_replica);
  assert_backend (relayed, SOURCE_SLOT);
  assert_int_equal (relayed.peers, 1);
  gbd_engine_set_reachable (engine, NULL, 0);
  assert_dropped (send_opening (m, m->non_replica), GBD_RULE_NOT_JOINED,
                  GBD_DROP_NOT_JOINED);
}

/* Packets with shims of adjacent table versions are accepted; those of more
   distant versions and those at the hop limit are dropped. */
static void
distant_versions_and_too_many_hops_are_dropped (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  gbd_packet_t packet
      = make_packet (GBD_PACKET_ESTABLISHED, m->caller, &c->address, 5);
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
                          instance_id (m->non_replica),
                          m->active->version + (uint64_t)rows[i].version };
      gbd_decision_t decision;
      gbd_engine_route (c->engines[m->first_replica], &packet, &shim, c->now,
                        &decision);
      assert_int_equal (decision.kind, rows[i].action);
      assert_int_equal (decision.drop, rows[i].drop);
    }
  gbd_shim_t shim = { GBD_SHIM_LOOKUP, GBD_HOPS_MAX, GBD_SLOT_NONE,
                      instance_id (m->first_replica), m->active->version };
  gbd_decision_t decision;
  gbd_engine_route (c->engines[m->non_replica], &packet, &shim, c->now,
                    &decision);
  assert_int_equal (decision.drop, GBD_DROP_HOP_LIMIT);
}

/* No packet may reach another service when its address belongs to a service
   without a table, or when a registration names a slot that the table does
   not have. */
static void
service_isolation_holds_with_an_invalid_table (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  gbd_address_t acervo = service_address (2);
  gbd_address_t unassigned = service_address (3);
  gbd_packet_t packet
      = make_packet (GBD_PACKET_OPENING, m->caller, &acervo, 1);
  assert_dropped (deliver (c, 0, &packet), GBD_RULE_NOT_JOINED,
                  GBD_DROP_NOT_JOINED);
  packet = make_packet (GBD_PACKET_OPENING, m->caller, &unassigned, 1);
  assert_dropped (deliver (c, 0, &packet), GBD_RULE_NO_SERVICE,
                  GBD_DROP_NO_SERVICE);

  set_table_everywhere (c, m->announced);
  gbd_flow_entry_t entry = { get_flow_hash (c, m->caller), BACKENDS + 3 };
  gbd_engine_merge (c->engines[m->first_replica], c->service,
                    GBD_FLOWS_REGISTERED, &entry, 1, c->now);
  assert_dropped (send_established (m, m->first_replica), GBD_RULE_REGISTERED,
                  GBD_DROP_ISOLATION);
  gbd_engine_stats_t stats;
  gbd_engine_get_stats (c->engines[m->first_replica], &stats);
  assert_int_equal (stats.drops[GBD_DROP_ISOLATION], 1);
}

/* The caller's port is reused after the flow was closed, or while the flow
   is open and its server drains. */
static void
port_reuse (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  send_packet_of_kind (c, m->non_replica, GBD_PACKET_CLOSING, m->caller);
  m->stable->version = 2;
  gbd_table_t *moved
      = next_phase (m->stable, GBD_BUCKET_STABLE, SOURCE_SLOT, TARGET_SLOT);
  set_table_everywhere (c, moved);
  assert_backend (send_established (m, m->non_replica), SOURCE_SLOT);
  assert_backend (send_opening (m, m->non_replica), TARGET_SLOT);
  assert_backend (send_established (m, m->non_replica), TARGET_SLOT);

  gbd_table_t *drained = next_phase (moved, GBD_BUCKET_STABLE, TARGET_SLOT, 2);
  drained->backends[TARGET_SLOT].state = GBD_BACKEND_DRAINING;
  set_table_everywhere (c, drained);
  assert_backend (send_opening (m, m->non_replica), TARGET_SLOT);
  gbd_packet_t other
      = make_packet (GBD_PACKET_OPENING, m->caller, &c->address, 4711);
  assert_backend (deliver (c, m->non_replica, &other), 2);
  gbd_table_delete (moved);
  gbd_table_delete (drained);
}

static void
idle_flow_is_reopened (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  gbd_table_t *moved
      = next_phase (m->stable, GBD_BUCKET_STABLE, SOURCE_SLOT, TARGET_SLOT);
  set_table_everywhere (c, moved);
  c->now += 59 * GBD_SECOND;
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  c->now += 61 * GBD_SECOND;
  assert_backend (send_opening (m, m->non_replica), TARGET_SLOT);
  gbd_table_delete (moved);
}

static void
gone_server_receives_nothing (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  assert_backend (send_established (m, m->non_replica), SOURCE_SLOT);
  gbd_table_t *gone
      = next_phase (m->stable, GBD_BUCKET_STABLE, SOURCE_SLOT, TARGET_SLOT);
  gone->backends[SOURCE_SLOT].state = GBD_BACKEND_GONE;
  set_table_everywhere (c, gone);
  assert_dropped (send_established (m, m->non_replica), GBD_RULE_GONE,
                  GBD_DROP_NO_BACKEND);
  assert_backend (send_opening (m, m->non_replica), TARGET_SLOT);
  assert_backend (send_established (m, m->non_replica), TARGET_SLOT);
  gbd_table_delete (gone);
}

/* The server that is gone may never have answered a flow of which only the
   opening packet was forwarded here.  The flow continues at the server to
   which the retransmitted opening packet went. */
static void
unanswered_flow_continues_at_another_server (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  gbd_table_t *gone
      = next_phase (m->stable, GBD_BUCKET_STABLE, SOURCE_SLOT, TARGET_SLOT);
  gone->backends[SOURCE_SLOT].state = GBD_BACKEND_GONE;
  set_table_everywhere (c, gone);
  assert_backend (send_opening (m, m->first_replica), TARGET_SLOT);
  assert_backend (send_established (m, m->non_replica), TARGET_SLOT);
  gbd_table_delete (gone);
}

/* The first opening packet went to a server that had failed; the
   retransmission arrived at another instance, which opened the flow at
   another server. */
static void
flow_of_a_gone_server_is_reopened_elsewhere (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  uint32_t lost = find_caller_on_slot (c, m->stable, SOURCE_SLOT, 1);
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  assert_backend (
      send_packet_of_kind (c, m->non_replica, GBD_PACKET_OPENING, lost),
      SOURCE_SLOT);
  m->announced->backends[SOURCE_SLOT].state = GBD_BACKEND_GONE;
  m->active->backends[SOURCE_SLOT].state = GBD_BACKEND_GONE;
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  assert_backend (send_opening (m, m->first_replica), TARGET_SLOT);
  assert_backend (send_established (m, m->non_replica), TARGET_SLOT);
  assert_dropped (
      send_packet_of_kind (c, m->non_replica, GBD_PACKET_ESTABLISHED, lost),
      GBD_RULE_GONE, GBD_DROP_NO_BACKEND);
}

/* As in the test above, but the bucket moves back to a server that is
   available, so that the default slot is not that of the gone server. */
static void
flow_of_a_gone_target_is_reopened_elsewhere (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  uint32_t lost = find_caller_on_slot (c, m->stable, SOURCE_SLOT, 1);
  gbd_flow_entry_t entries[] = { { get_flow_hash (c, m->caller), TARGET_SLOT },
                                 { get_flow_hash (c, lost), TARGET_SLOT } };
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  gbd_engine_merge (c->engines[m->non_replica], c->service, GBD_FLOWS_HINT,
                    entries, 2, c->now);
  assert_backend (send_established (m, m->non_replica), TARGET_SLOT);
  gbd_table_t *back
      = next_phase (m->active, GBD_BUCKET_ACTIVE, SOURCE_SLOT, SOURCE_SLOT);
  back->backends[TARGET_SLOT].state = GBD_BACKEND_GONE;
  set_table_everywhere (c, back);
  assert_backend (send_opening (m, m->first_replica), SOURCE_SLOT);
  assert_backend (send_established (m, m->non_replica), SOURCE_SLOT);
  assert_dropped (
      send_packet_of_kind (c, m->non_replica, GBD_PACKET_ESTABLISHED, lost),
      GBD_RULE_GONE, GBD_DROP_NO_BACKEND);
  gbd_table_delete (back);
}

/* A slot gets another backend server, which must not receive the flows of
   the previous one. */
static void
slot_reused_by_another_server (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  gbd_backend_load_t load;
  gbd_engine_get_load (c->engines[m->non_replica], c->service, SOURCE_SLOT,
                       &load);
  assert_int_equal (load.open_flows, 1);
  gbd_table_t *reused
      = next_phase (m->stable, GBD_BUCKET_STABLE, SOURCE_SLOT, TARGET_SLOT);
  reused->backends[SOURCE_SLOT].id = 999;
  set_table_everywhere (c, reused);
  assert_backend (send_established (m, m->non_replica), TARGET_SLOT);
  gbd_engine_get_load (c->engines[m->non_replica], c->service, SOURCE_SLOT,
                       &load);
  assert_int_equal (load.open_flows, 0);
  gbd_table_delete (reused);
}

/* Zone 1 has instances 0 and 1 and backend servers 0 and 3. */
static void
partitioned_zone (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  for (uint32_t i = 0; i < 2; i++)
    {
      gbd_engine_set_reachable (c->engines[i], c->members, 2);
      gbd_engine_set_lease (c->engines[i], GBD_LEASE_ZONE);
    }
  for (gbd_slot_t slot = 0; slot < BACKENDS; slot++)
    {
      uint32_t caller = find_caller_on_slot (c, m->stable, slot, 0);
      assert_dropped (
          send_packet_of_kind (c, 1, GBD_PACKET_ESTABLISHED, caller),
          GBD_RULE_NO_LEASE, GBD_DROP_UNCERTAIN);
      outcome_t opened
          = send_packet_of_kind (c, 0, GBD_PACKET_OPENING, caller);
      assert_int_equal (opened.kind, GBD_ACTION_BACKEND);
      assert_int_equal (m->stable->backends[opened.slot].zone, 1);
      if (m->stable->backends[slot].zone == 1)
        assert_int_equal (opened.slot, slot);
      assert_true (deliver_updates (c, 0) > 0);
      assert_backend (
          send_packet_of_kind (c, 1, GBD_PACKET_ESTABLISHED, caller),
          opened.slot);

      /* The partition ends: the other side receives the updates and then
         makes the same decisions. */
      gbd_engine_set_reachable (c->engines[0], c->members, INSTANCES);
      deliver_updates (c, 0);
      assert_backend (
          send_packet_of_kind (c, 4, GBD_PACKET_ESTABLISHED, caller),
          opened.slot);
      gbd_engine_set_reachable (c->engines[0], c->members, 2);
    }
}

static bool
admit_by_flag (const void *data, uint32_t customer, gbd_time_t now)
{
  (void)customer;
  (void)now;
  return *(const bool *)data;
}

static void
ignore_opened (void *data, uint32_t customer, gbd_time_t now)
{
  (void)data;
  (void)customer;
  (void)now;
}

static void
ignore_ended (void *data, uint32_t customer, gbd_flow_end_t end,
              gbd_time_t now)
{
  (void)end;
  ignore_opened (data, customer, now);
}

static const gbd_admission_t admission
    = { admit_by_flag, ignore_opened, ignore_ended };

/* A reset tells the caller that no packet reached a server, so it may only be
   sent when that is true. */
static void
limit_resets_only_flows_that_were_not_forwarded (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  bool admits = false;
  for (uint32_t i = 0; i < INSTANCES; i++)
    gbd_engine_set_admission (c->engines[i], &admission, &admits);
  set_table_everywhere (c, m->announced);
  outcome_t refused = send_opening (m, m->non_replica);
  assert_int_equal (refused.kind, GBD_ACTION_RESET);
  assert_int_equal (refused.rule, GBD_RULE_LIMIT);

  /* A replica may have delivered the opening packet that it received, so the
     flow is not reset when the opening packet is retransmitted. */
  admits = true;
  gbd_packet_t packet
      = make_packet (GBD_PACKET_OPENING, m->caller, &c->address, 9);
  deliver_until (c, m->non_replica, &packet, 0);
  admits = false;
  assert_backend (deliver (c, m->non_replica, &packet), SOURCE_SLOT);

  /* A retransmitted opening packet of a flow that was delivered and closed
     causes neither a reset nor a second delivery. */
  uint32_t other = find_caller_on_slot (c, m->stable, 2, 0);
  admits = true;
  assert_backend (
      send_packet_of_kind (c, m->non_replica, GBD_PACKET_OPENING, other), 2);
  send_packet_of_kind (c, m->non_replica, GBD_PACKET_CLOSING, other);
  admits = false;
  assert_dropped (
      send_packet_of_kind (c, m->non_replica, GBD_PACKET_OPENING, other),
      GBD_RULE_LIMIT, GBD_DROP_LIMIT);
}

static bool
admit_all (const void *data, uint32_t customer, gbd_time_t now)
{
  (void)data;
  (void)customer;
  (void)now;
  return true;
}

static void
count_opened (void *data, uint32_t customer, gbd_time_t now)
{
  (void)customer;
  (void)now;
  ++*(int *)data;
}

static const gbd_admission_t counting_admission
    = { admit_all, count_opened, ignore_ended };

static void
reset_for_a_gone_server_is_not_counted_as_a_new_flow (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  int opened = 0;
  gbd_engine_set_admission (c->engines[m->non_replica], &counting_admission,
                            &opened);
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  assert_int_equal (opened, 1);
  m->announced->backends[SOURCE_SLOT].state = GBD_BACKEND_GONE;
  set_table_everywhere (c, m->announced);
  gbd_packet_t packet
      = make_packet (GBD_PACKET_ESTABLISHED, m->caller, &c->address, 5);
  packet.has_ack = true;
  outcome_t outcome = deliver (c, m->non_replica, &packet);
  assert_int_equal (outcome.kind, GBD_ACTION_RESET);
  assert_int_equal (outcome.rule, GBD_RULE_GONE);
  assert_int_equal (opened, 1);
}

/* An ICMP error is forwarded to the server of its flow and creates no
   state. */
static void
icmp_leaves_no_state (void **state)
{
  move_t *m = *state;
  assert_backend (send_packet_of_kind (&m->cluster, m->non_replica,
                                       GBD_PACKET_ICMP, m->caller),
                  SOURCE_SLOT);
  gbd_engine_stats_t stats;
  gbd_engine_get_stats (m->cluster.engines[m->non_replica], &stats);
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
    ROW (without_lease_only_known_flows_are_routed),
    ROW (instance_that_has_not_joined_relays_or_drops),
    ROW (distant_versions_and_too_many_hops_are_dropped),
    ROW (service_isolation_holds_with_an_invalid_table),
    ROW (port_reuse),
    ROW (idle_flow_is_reopened),
    ROW (gone_server_receives_nothing),
    ROW (unanswered_flow_continues_at_another_server),
    ROW (flow_of_a_gone_server_is_reopened_elsewhere),
    ROW (flow_of_a_gone_target_is_reopened_elsewhere),
    ROW (slot_reused_by_another_server),
    ROW (partitioned_zone),
    ROW (limit_resets_only_flows_that_were_not_forwarded),
    ROW (reset_for_a_gone_server_is_not_counted_as_a_new_flow),
    ROW (icmp_leaves_no_state),
    ROW (stale_table_is_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
