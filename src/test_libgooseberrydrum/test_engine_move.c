/* Routing while buckets move, each test in one failure or special case. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "engine_move.h"

/* The retransmitted opening packet arrives at an instance that has the next
   version while the first replica has the old one, and the other way round. */
static void
retransmitted_opening_across_versions (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table (&m->cluster, m->non_replica, m->active);
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  set_table (&m->cluster, m->first_replica, m->active);
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  assert_backend (send_opening (m, m->second_replica), SOURCE_SLOT);
  for (uint32_t i = 0; i < INSTANCES; i++)
    assert_backend (send_established (m, i), SOURCE_SLOT);
}

static void
new_flow_of_active_bucket_is_found_everywhere (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table_everywhere (&m->cluster, m->active);
  outcome_t opened = send_opening (m, m->non_replica);
  assert_backend (opened, TARGET_SLOT);
  assert_int_equal (opened.last, m->second_replica);
  assert_int_equal (opened.peers, 2);
  for (uint32_t i = 0; i < INSTANCES; i++)
    assert_backend (send_established (m, i), TARGET_SLOT);
}

static void
unregistered_old_flow_keeps_its_server (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table_everywhere (&m->cluster, m->active);
  for (uint32_t i = 0; i < INSTANCES; i++)
    assert_backend (send_established (m, i), SOURCE_SLOT);
}

static void
first_replica_fails_after_registering (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table_everywhere (&m->cluster, m->active);
  assert_backend (send_opening (m, m->non_replica), TARGET_SLOT);
  set_failed (&m->cluster, m->first_replica);
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (i != m->first_replica)
      assert_backend (send_established (m, i), TARGET_SLOT);
}

/* The packet is lost between the replicas; its retransmission reaches the
   second one, which can then respond without the first. */
static void
opening_packet_lost_between_replicas (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table_everywhere (&m->cluster, m->active);
  gbd_packet_t packet
      = make_packet (GBD_PACKET_OPENING, m->caller, &m->cluster.address, 9);
  outcome_t lost = deliver_until (&m->cluster, m->first_replica, &packet, 0);
  assert_int_equal (lost.kind, GBD_ACTION_PEER);
  outcome_t retransmitted = deliver (&m->cluster, m->first_replica, &packet);
  assert_backend (retransmitted, TARGET_SLOT);
  assert_int_equal (retransmitted.last, m->second_replica);
  set_failed (&m->cluster, m->first_replica);
  assert_backend (send_established (m, m->non_replica), TARGET_SLOT);
}

static void
packets_are_dropped_when_all_replicas_have_failed (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_failed (&m->cluster, m->first_replica);
  set_failed (&m->cluster, m->second_replica);
  assert_dropped (send_opening (m, m->non_replica), GBD_RULE_OPEN_REPLICA,
                  GBD_DROP_UNCERTAIN);
  assert_dropped (send_established (m, m->non_replica), GBD_RULE_LOOKUP,
                  GBD_DROP_UNCERTAIN);
}

/* A replica that only the first one cannot reach receives the registration
   as an update. */
static void
skipped_replica_receives_registration (void **state)
{
  move_t *m = *state;
  set_table_everywhere (&m->cluster, m->announced);
  set_table_everywhere (&m->cluster, m->active);
  gbd_engine_set_reachable (m->cluster.engines[m->first_replica],
                            &m->cluster.members[m->non_replica], 1);
  assert_backend (send_opening (m, m->first_replica), TARGET_SLOT);
  assert_int_equal (deliver_updates (&m->cluster, m->first_replica), 1);
  assert_backend (send_established (m, m->second_replica), TARGET_SLOT);
}

static void
incomplete_replica_passes_lookup_to_the_other (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  gbd_engine_set_complete (c->engines[m->first_replica], c->service, false);
  outcome_t looked_up = send_established (m, m->non_replica);
  assert_backend (looked_up, SOURCE_SLOT);
  assert_int_equal (looked_up.last, m->second_replica);
  gbd_engine_set_complete (c->engines[m->second_replica], c->service, false);
  m->caller = find_caller_on_slot (c, m->stable, SOURCE_SLOT, 1);
  m->replicas = get_replicas (c, m->stable, m->caller);
  gbd_engine_set_complete (
      c->engines[get_instance_index (m->replicas.chain[0])], c->service,
      false);
  gbd_engine_set_complete (
      c->engines[get_instance_index (m->replicas.chain[1])], c->service,
      false);
  assert_dropped (send_established (m, find_non_replica (&m->replicas, 0)),
                  GBD_RULE_INCOMPLETE, GBD_DROP_UNCERTAIN);
}

static void
incomplete_new_member_relays_unknown_flows (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  gbd_engine_set_complete (c->engines[m->non_replica], c->service, false);
  outcome_t relayed = send_established (m, m->non_replica);
  assert_backend (relayed, SOURCE_SLOT);
  assert_int_equal (relayed.peers, 1);
  for (uint32_t i = 0; i < INSTANCES; i++)
    gbd_engine_set_complete (c->engines[i], c->service, false);
  m->caller = find_caller_on_slot (c, m->stable, SOURCE_SLOT, 1);
  assert_dropped (send_established (m, m->non_replica), GBD_RULE_INCOMPLETE,
                  GBD_DROP_UNCERTAIN);
}

/* The second replica has the flow registered at another slot than the first
   one chooses. */
static void
second_replica_corrects_the_first (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  gbd_flow_entry_t entry = { get_flow_hash (c, m->caller), SOURCE_SLOT };
  gbd_engine_merge (c->engines[m->second_replica], c->service,
                    GBD_FLOWS_REGISTERED, &entry, 1, c->now);
  set_table_everywhere (c, m->active);
  assert_dropped (send_opening (m, m->non_replica), GBD_RULE_REGISTERED,
                  GBD_DROP_UNCERTAIN);
  assert_int_equal (deliver_updates (c, m->second_replica), 1);
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  set_failed (c, m->second_replica);
  assert_backend (send_established (m, m->first_replica), SOURCE_SLOT);
  assert_backend (send_established (m, m->non_replica), SOURCE_SLOT);
}

/* Flows on the source slot become exceptions when the target slot becomes the
   default. */
static void
inversion_keeps_old_flows (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  assert_int_equal (send_established (m, m->non_replica).last,
                    m->first_replica);
  uint32_t new_caller = find_caller_on_slot (c, m->stable, SOURCE_SLOT, 1);
  assert_backend (
      send_packet_of_kind (c, m->non_replica, GBD_PACKET_OPENING, new_caller),
      TARGET_SLOT);
  set_table_everywhere (c, m->settling);
  /* Only the first replica has forwarded packets of the old flow; it sends
     the exception to the others. */
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      gbd_flow_entry_t entry = { get_flow_hash (c, m->caller), SOURCE_SLOT };
      if (i != m->first_replica)
        gbd_engine_merge (c->engines[i], c->service, GBD_FLOWS_EXCEPTION,
                          &entry, 1, c->now);
    }
  set_table_everywhere (c, m->inverted);
  set_table_everywhere (c, m->final);
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      assert_backend (send_established (m, i), SOURCE_SLOT);
      assert_backend (
          send_packet_of_kind (c, i, GBD_PACKET_ESTABLISHED, new_caller),
          TARGET_SLOT);
    }
  /* After the cache entry has expired, only the exception determines the
     server. */
  c->now += 70 * GBD_SECOND;
  gbd_engine_expire (c->engines[m->first_replica], c->now);
  outcome_t later = send_established (m, m->first_replica);
  assert_backend (later, SOURCE_SLOT);
  assert_int_equal (later.rule, GBD_RULE_EXCEPTION);
}

static void
record_entry (void *data, const gbd_flow_entry_t *entry)
{
  gbd_flow_entry_t *seen = data;
  assert_true (seen->hash == 0 || seen->hash == entry->hash);
  *seen = *entry;
}

/* The off-target flows of a SETTLING bucket are its open flows that are not
   on the target. */
static void
closed_and_moved_flows_are_not_exceptions (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  uint32_t closed = find_caller_on_slot (c, m->stable, SOURCE_SLOT, 1);
  uint32_t new_caller = find_caller_on_slot (c, m->stable, SOURCE_SLOT, 2);
  uint32_t elsewhere = find_caller_on_slot (c, m->stable, 2, 0);
  send_packet_of_kind (c, m->non_replica, GBD_PACKET_OPENING, closed);
  send_packet_of_kind (c, m->non_replica, GBD_PACKET_CLOSING, closed);
  c->now += 61 * GBD_SECOND;
  send_opening (m, m->non_replica);
  send_packet_of_kind (c, m->non_replica, GBD_PACKET_OPENING, elsewhere);
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  send_packet_of_kind (c, m->non_replica, GBD_PACKET_OPENING, new_caller);
  set_table_everywhere (c, m->settling);
  gbd_flow_entry_t seen = { 0, 0 };
  gbd_engine_visit_off_target_flows (c->engines[m->non_replica], c->service,
                                     c->now, record_entry, &seen);
  assert_true (seen.hash == get_flow_hash (c, m->caller));
  assert_int_equal (seen.slot, SOURCE_SLOT);
}

static void
count_entries (void *data, const gbd_flow_entry_t *entry)
{
  (void)entry;
  ++*(uint32_t *)data;
}

/* Two instances have cached an old flow.  The first one to broadcast it keeps
   the exception after its own cache entry has expired; the second one need not
   broadcast it again under this table version. */
static void
exceptions_are_broadcast_once_and_kept (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  uint32_t first = m->non_replica;
  uint32_t second = find_non_replica (&m->replicas, 1);
  send_opening (m, first);
  send_established (m, second);
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  set_table_everywhere (c, m->settling);
  uint32_t count = 0;
  gbd_engine_visit_off_target_flows (c->engines[first], c->service, c->now,
                                     count_entries, &count);
  assert_int_equal (count, 1);
  gbd_flow_entry_t entry = { get_flow_hash (c, m->caller), SOURCE_SLOT };
  gbd_engine_merge (c->engines[first], c->service, GBD_FLOWS_SHARE, &entry, 1,
                    c->now);
  /* GBD_FLOWS_EXCEPTION stands for an exception that arrives in response to a
     copy request or after the exchange has ended.  It was not broadcast to all
     members, so the second instance must still broadcast it. */
  gbd_engine_merge (c->engines[second], c->service, GBD_FLOWS_EXCEPTION,
                    &entry, 1, c->now);
  count = 0;
  gbd_engine_visit_off_target_flows (c->engines[second], c->service, c->now,
                                     count_entries, &count);
  assert_int_equal (count, 1);
  gbd_engine_merge (c->engines[second], c->service, GBD_FLOWS_SHARE, &entry, 1,
                    c->now);
  count = 0;
  gbd_engine_visit_off_target_flows (c->engines[second], c->service, c->now,
                                     count_entries, &count);
  assert_int_equal (count, 0);

  c->now += 61 * GBD_SECOND;
  gbd_engine_expire (c->engines[first], c->now);
  set_table (c, first, m->inverted);
  assert_backend (send_established (m, first), SOURCE_SLOT);
}

/* When the registry is full, a new flow is assigned to the default server of
   its bucket, which needs no registration. */
static void
full_registry_assigns_the_default_server (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  gbd_flow_entry_t entry = { 0, TARGET_SLOT };
  for (uint64_t i = 1; i <= 512; i++)
    {
      entry.hash = i << 32 | 1;
      gbd_engine_merge (c->engines[m->first_replica], c->service,
                        GBD_FLOWS_REGISTERED, &entry, 1, c->now);
    }
  entry.hash = 513ull << 32;
  assert_int_equal (gbd_engine_merge (c->engines[m->first_replica], c->service,
                                      GBD_FLOWS_REGISTERED, &entry, 1, c->now),
                    GBD_ERROR_MEMORY);
  assert_backend (send_opening (m, m->non_replica), SOURCE_SLOT);
  for (uint32_t i = 0; i < INSTANCES; i++)
    assert_backend (send_established (m, i), SOURCE_SLOT);
}

/* After a few detours of a flow, the instance to which the fabric delivers
   it receives a hint. */
static void
repeated_detours_end_with_a_hint (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  assert_backend (send_opening (m, m->non_replica), TARGET_SLOT);
  uint32_t detours = 0;
  while (detours < 20 && send_established (m, m->non_replica).peers > 0)
    {
      detours++;
      deliver_updates (c, m->first_replica);
    }
  assert_in_range (detours, 1, 10);
}

/* The closing packet of a registered flow reaches both replicas, which
   remove the flow, whichever instance receives the packet. */
static void
both_replicas_remove_a_closed_flow (void **state)
{
  move_t *m = *state;
  cluster_t *c = &m->cluster;
  set_table_everywhere (c, m->announced);
  set_table_everywhere (c, m->active);
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      m->caller = find_caller_on_slot (c, m->stable, SOURCE_SLOT, i);
      m->replicas = get_replicas (c, m->stable, m->caller);
      assert_backend (send_opening (m, i), TARGET_SLOT);
      assert_backend (
          send_packet_of_kind (c, i, GBD_PACKET_CLOSING, m->caller),
          TARGET_SLOT);
      assert_backend (send_established (m, i), TARGET_SLOT);
    }
  c->now += 61 * GBD_SECOND;
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      gbd_engine_expire (c->engines[i], c->now);
      uint32_t count = 0;
      gbd_engine_visit_registrations (c->engines[i], c->service, count_entries,
                                      &count);
      assert_int_equal (count, 0);
    }
}

#define ROW(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    ROW (retransmitted_opening_across_versions),
    ROW (new_flow_of_active_bucket_is_found_everywhere),
    ROW (unregistered_old_flow_keeps_its_server),
    ROW (first_replica_fails_after_registering),
    ROW (opening_packet_lost_between_replicas),
    ROW (packets_are_dropped_when_all_replicas_have_failed),
    ROW (skipped_replica_receives_registration),
    ROW (incomplete_replica_passes_lookup_to_the_other),
    ROW (incomplete_new_member_relays_unknown_flows),
    ROW (second_replica_corrects_the_first),
    ROW (inversion_keeps_old_flows),
    ROW (closed_and_moved_flows_are_not_exceptions),
    ROW (exceptions_are_broadcast_once_and_kept),
    ROW (full_registry_assigns_the_default_server),
    ROW (repeated_detours_end_with_a_hint),
    ROW (both_replicas_remove_a_closed_flow),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
