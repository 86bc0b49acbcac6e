/* A group whose tables move all buckets of one backend server to another,
   for tests with cmocka. */
#ifndef TEST_ENGINE_MOVE_H
#define TEST_ENGINE_MOVE_H

#include "engine_fixture.h"

/* Slots of the backend servers that the buckets move from and to. */
#define SOURCE_SLOT 0
#define TARGET_SLOT 1

/* Tables of a move of all buckets of SOURCE_SLOT to TARGET_SLOT. */
typedef struct
{
  cluster_t cluster;
  gbd_table_t *stable;
  gbd_table_t *announced;
  gbd_table_t *active;
  gbd_table_t *settling;
  gbd_table_t *inverted;
  gbd_table_t *final;
  uint32_t caller; /* its bucket is on SOURCE_SLOT */
  gbd_replicas_t replicas;
  uint32_t first_replica;
  uint32_t second_replica;
  uint32_t non_replica;
} move_t;

static inline int
set_up (void **state)
{
  move_t *m = calloc (1, sizeof *m);
  cluster_open (&m->cluster, &gbd_policy_replicas);
  m->stable = make_table (&m->cluster, INSTANCES);
  m->announced
      = next_phase (m->stable, GBD_BUCKET_ANNOUNCED, SOURCE_SLOT, TARGET_SLOT);
  m->active
      = next_phase (m->announced, GBD_BUCKET_ACTIVE, SOURCE_SLOT, TARGET_SLOT);
  m->settling
      = next_phase (m->active, GBD_BUCKET_SETTLING, SOURCE_SLOT, TARGET_SLOT);
  m->inverted = next_phase (m->settling, GBD_BUCKET_INVERTED, SOURCE_SLOT,
                            TARGET_SLOT);
  m->final
      = next_phase (m->inverted, GBD_BUCKET_STABLE, SOURCE_SLOT, TARGET_SLOT);
  m->caller = find_caller_on_slot (&m->cluster, m->stable, SOURCE_SLOT, 0);
  m->replicas = get_replicas (&m->cluster, m->stable, m->caller);
  m->first_replica = (uint32_t)get_instance_index (m->replicas.chain[0]);
  m->second_replica = (uint32_t)get_instance_index (m->replicas.chain[1]);
  m->non_replica = find_non_replica (&m->replicas, 0);
  set_table_everywhere (&m->cluster, m->stable);
  *state = m;
  return 0;
}

static inline int
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

/* Send an opening packet of the caller's flow to an instance. */
static inline outcome_t
send_opening (move_t *m, uint32_t instance)
{
  return send_packet_of_kind (&m->cluster, instance, GBD_PACKET_OPENING,
                              m->caller);
}

/* Send a later packet of the caller's flow to an instance. */
static inline outcome_t
send_established (move_t *m, uint32_t instance)
{
  return send_packet_of_kind (&m->cluster, instance, GBD_PACKET_ESTABLISHED,
                              m->caller);
}

#endif
