#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "gooseberrydrum/coordinator.h"

#define BUCKETS 64
#define SERVERS_MAX 8

/* Input of the coordinator and the current table of a service.  Tests change
   the input between steps.  */
typedef struct
{
  gbd_member_t members[GBD_ROSTER_MAX + 2];
  gbd_confirmation_t confirmations[GBD_ROSTER_MAX + 2];
  gbd_backend_t backends[SERVERS_MAX];
  uint16_t weights[SERVERS_MAX];
  gbd_coordinator_input_t input;
  gbd_table_t *table;
} fixture_t;

static void
add_member (fixture_t *fixture, gbd_instance_id_t id)
{
  uint8_t i = fixture->input.member_count++;
  fixture->members[i] = (gbd_member_t){ id, (gbd_zone_id_t)(id / 10) };
  uint8_t j = fixture->input.confirmation_count++;
  fixture->confirmations[j] = (gbd_confirmation_t){ .id = id };
}

static void
add_backend (fixture_t *fixture, gbd_backend_id_t id)
{
  uint32_t i = fixture->input.backend_count++;
  fixture->backends[i] = (gbd_backend_t){ .id = id, .zone = 1 };
  gbd_address_parse ("127.0.0.1:80", &fixture->backends[i].address);
  fixture->weights[i] = 100;
}

static gbd_confirmation_t *
find_confirmation (fixture_t *fixture, gbd_instance_id_t id)
{
  for (int i = 0; i < fixture->input.confirmation_count; i++)
    if (fixture->confirmations[i].id == id)
      return &fixture->confirmations[i];
  fail_msg ("no confirmation of the member");
  return NULL;
}

/* Record that all members that have not failed have installed the current
   table version and received the registrations and exceptions it requires. */
static void
confirm (fixture_t *fixture)
{
  for (int i = 0; i < fixture->input.confirmation_count; i++)
    if (!fixture->confirmations[i].is_failed)
      fixture->confirmations[i].version = fixture->confirmations[i].complete
          = fixture->table->version;
}

/* Make a step without new confirmations.  */
static gbd_step_t
try_step (fixture_t *fixture)
{
  gbd_table_t *next;
  gbd_step_t step
      = gbd_coordinator_step (fixture->table, &fixture->input, &next);
  if (!next)
    return step;
  assert_int_equal (step, GBD_STEP_READY);
  if (fixture->table)
    assert_int_equal (next->version, fixture->table->version + 1);
  gbd_table_delete (fixture->table);
  fixture->table = next;
  return step;
}

static gbd_step_t
step (fixture_t *fixture)
{
  if (fixture->table)
    confirm (fixture);
  return try_step (fixture);
}

/* Make steps until there is no next version.  */
static void
run_until_idle (fixture_t *fixture)
{
  for (int i = 0; i < 40; i++)
    if (step (fixture) != GBD_STEP_READY)
      return;
  fail_msg ("the table has not converged after 40 steps");
}

static uint32_t
count_phase (const fixture_t *fixture, uint8_t phase)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    count += fixture->table->buckets[i].phase == phase;
  return count;
}

static uint32_t
count_buckets_with (const fixture_t *fixture, gbd_slot_t from, gbd_slot_t to)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    count += fixture->table->buckets[i].from == from
             && fixture->table->buckets[i].to == to;
  return count;
}

/* Four zones with two instances each, four backend servers and the first
   table.  */
static int
set_up (void **state)
{
  fixture_t *fixture = calloc (1, sizeof *fixture);
  fixture->input.service = 7;
  fixture->input.members = fixture->members;
  fixture->input.confirmations = fixture->confirmations;
  fixture->input.backends = fixture->backends;
  fixture->input.weights = fixture->weights;
  fixture->input.bucket_count = BUCKETS;
  fixture->input.move_max = BUCKETS;
  fixture->input.is_loss_free = true;
  fixture->input.generation = 5;
  for (gbd_instance_id_t zone = 1; zone <= 4; zone++)
    {
      add_member (fixture, 10 * zone + 1);
      add_member (fixture, 10 * zone + 2);
    }
  for (gbd_backend_id_t i = 0; i < 4; i++)
    add_backend (fixture, 100 + i);
  assert_int_equal (try_step (fixture), GBD_STEP_READY);
  assert_int_equal (step (fixture), GBD_STEP_IDLE);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  gbd_table_delete (fixture->table);
  free (fixture);
  return 0;
}

static void
mark_failed (fixture_t *fixture, gbd_instance_id_t id)
{
  find_confirmation (fixture, id)->is_failed = true;
}

static void
remove_member (fixture_t *fixture, gbd_instance_id_t id)
{
  uint8_t kept = 0;
  for (int i = 0; i < fixture->input.member_count; i++)
    if (fixture->members[i].id != id)
      fixture->members[kept++] = fixture->members[i];
  fixture->input.member_count = kept;
}

static void
first_table_is_balanced (void **state)
{
  fixture_t *fixture = *state;
  assert_int_equal (fixture->table->version, 1);
  assert_int_equal (fixture->table->service, 7);
  assert_int_equal (fixture->table->generation, 5);
  assert_int_equal (fixture->table->roster_count, 8);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_STABLE), BUCKETS);
  for (gbd_slot_t i = 0; i < 4; i++)
    assert_int_equal (count_buckets_with (fixture, i, i), BUCKETS / 4);
}

static void
first_table_needs_a_member (void **state)
{
  fixture_t *fixture = *state;
  for (int i = 0; i < fixture->input.confirmation_count; i++)
    fixture->confirmations[i].is_failed = true;
  gbd_table_t *next;
  assert_int_equal (gbd_coordinator_step (NULL, &fixture->input, &next),
                    GBD_STEP_NO_MEMBER);
  assert_null (next);
}

static void
drain_takes_two_versions_to_stop_new_flows (void **state)
{
  fixture_t *fixture = *state;
  fixture->backends[1].state = GBD_BACKEND_DRAINING;
  fixture->input.is_loss_free = false;
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_ANNOUNCED), BUCKETS / 4);
  assert_int_equal (fixture->table->backends[1].state, GBD_BACKEND_DRAINING);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_ACTIVE), BUCKETS / 4);
  for (uint32_t i = 0; i < BUCKETS; i++)
    assert_int_not_equal (
        gbd_bucket_new_flow_slot (&fixture->table->buckets[i]), 1);

  assert_int_equal (step (fixture), GBD_STEP_FLOWS_LOST);
  fixture->input.is_loss_free = true;
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_SETTLING), BUCKETS / 4);
  find_confirmation (fixture, 21)->version = fixture->table->version;
  confirm (fixture);
  find_confirmation (fixture, 21)->complete--;
  assert_int_equal (try_step (fixture), GBD_STEP_INCOMPLETE);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_INVERTED), BUCKETS / 4);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_STABLE), BUCKETS);
  assert_int_equal (step (fixture), GBD_STEP_IDLE);
}

static void
lost_flows_revert_settling (void **state)
{
  fixture_t *fixture = *state;
  fixture->backends[1].state = GBD_BACKEND_DRAINING;
  for (int i = 0; i < 3; i++)
    step (fixture);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_SETTLING), BUCKETS / 4);
  fixture->input.is_loss_free = false;
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_ACTIVE), BUCKETS / 4);
  assert_int_equal (step (fixture), GBD_STEP_FLOWS_LOST);
}

static void
drain_of_the_target_in_each_phase (void **state)
{
  fixture_t *fixture = *state;
  static const struct
  {
    int steps;            /* number of steps between the two drains */
    uint8_t phase;        /* of buckets from slot 1 to slot 2 before the
                             second drain */
    uint8_t phase_after;  /* one version after the second drain */
    uint8_t phase_latest; /* two versions after the second drain */
  } rows[] = {
    { 1, GBD_BUCKET_ANNOUNCED, GBD_BUCKET_ANNOUNCED, GBD_BUCKET_ACTIVE },
    { 2, GBD_BUCKET_ACTIVE, GBD_BUCKET_ACTIVE, GBD_BUCKET_ACTIVE },
    { 3, GBD_BUCKET_SETTLING, GBD_BUCKET_ACTIVE, GBD_BUCKET_ACTIVE },
    { 4, GBD_BUCKET_INVERTED, GBD_BUCKET_STABLE, GBD_BUCKET_ANNOUNCED },
  };
  gbd_table_t *first = gbd_table_copy (fixture->table);
  for (size_t row = 0; row < sizeof rows / sizeof rows[0]; row++)
    {
      gbd_table_delete (fixture->table);
      fixture->table = gbd_table_copy (first);
      fixture->backends[2].state = GBD_BACKEND_READY;
      fixture->backends[1].state = GBD_BACKEND_DRAINING;
      for (int i = 0; i < rows[row].steps; i++)
        assert_int_equal (step (fixture), GBD_STEP_READY);
      uint32_t index = 0;
      while (fixture->table->buckets[index].from != 1
             || fixture->table->buckets[index].to != 2)
        index++;
      const gbd_bucket_t *bucket = &fixture->table->buckets[index];
      assert_int_equal (bucket->phase, rows[row].phase);

      fixture->backends[2].state = GBD_BACKEND_DRAINING;
      assert_int_equal (step (fixture), GBD_STEP_READY);
      bucket = &fixture->table->buckets[index];
      assert_int_equal (bucket->phase, rows[row].phase_after);
      assert_int_equal (bucket->from,
                        rows[row].phase == GBD_BUCKET_INVERTED ? 2 : 1);
      assert_int_equal (step (fixture), GBD_STEP_READY);
      bucket = &fixture->table->buckets[index];
      assert_int_equal (bucket->phase, rows[row].phase_latest);
      assert_true (bucket->to == 0 || bucket->to == 3);
      run_until_idle (fixture);
      assert_int_equal (count_buckets_with (fixture, 0, 0)
                            + count_buckets_with (fixture, 3, 3),
                        BUCKETS);
    }
  gbd_table_delete (first);
}

static void
drain_cancelled_while_announced_has_no_effect (void **state)
{
  fixture_t *fixture = *state;
  gbd_table_t *first = gbd_table_copy (fixture->table);
  fixture->backends[1].state = GBD_BACKEND_DRAINING;
  assert_int_equal (step (fixture), GBD_STEP_READY);
  fixture->backends[1].state = GBD_BACKEND_READY;
  for (int i = 0; i < 4; i++)
    if (i != 1)
      fixture->backends[i].state = GBD_BACKEND_DRAINING;
  assert_int_equal (step (fixture), GBD_STEP_READY);
  for (uint32_t i = 0; i < BUCKETS; i++)
    if (first->buckets[i].to == 1)
      {
        assert_int_equal (fixture->table->buckets[i].phase, GBD_BUCKET_STABLE);
        assert_int_equal (fixture->table->buckets[i].to, 1);
      }
  gbd_table_delete (first);
}

static void
draining_all_servers_stops_new_flows_only (void **state)
{
  fixture_t *fixture = *state;
  for (int i = 0; i < 4; i++)
    fixture->backends[i].state = GBD_BACKEND_DRAINING;
  run_until_idle (fixture);
  for (uint32_t i = 0; i < BUCKETS; i++)
    {
      const gbd_bucket_t *bucket = &fixture->table->buckets[i];
      assert_int_equal (bucket->phase, GBD_BUCKET_ACTIVE);
      assert_int_equal (gbd_bucket_new_flow_slot (bucket), GBD_SLOT_NONE);
      assert_true (gbd_bucket_default_slot (bucket) < 4);
    }
  add_backend (fixture, 104);
  run_until_idle (fixture);
  assert_int_equal (count_buckets_with (fixture, 4, 4), BUCKETS);
}

static void
buckets_of_a_gone_server_wait_for_the_idle_limit (void **state)
{
  fixture_t *fixture = *state;
  fixture->input.is_loss_free = false;
  fixture->backends[1].state = GBD_BACKEND_GONE;
  run_until_idle (fixture);
  /* New flows open on other servers at once.  Unregistered flows still belong
     to server 1, so that they are reset and do not reach another server. */
  assert_int_equal (count_phase (fixture, GBD_BUCKET_ACTIVE), BUCKETS / 4);
  fixture->input.is_loss_free = true;
  run_until_idle (fixture);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_STABLE), BUCKETS);
  assert_int_equal (count_buckets_with (fixture, 1, 1), 0);
  assert_int_equal (fixture->table->backends[1].state, GBD_BACKEND_GONE);
}

static void
unlisted_server_becomes_gone (void **state)
{
  fixture_t *fixture = *state;
  fixture->input.backend_count = 3;
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->backends[3].state, GBD_BACKEND_GONE);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_ANNOUNCED), BUCKETS / 4);
}

static void
reused_address_is_a_new_server (void **state)
{
  fixture_t *fixture = *state;
  fixture->backends[1].id = 201;
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->backend_count, 5);
  assert_int_equal (fixture->table->backends[1].state, GBD_BACKEND_GONE);
  assert_int_equal (fixture->table->backends[4].id, 201);
  run_until_idle (fixture);
  assert_int_equal (count_buckets_with (fixture, 4, 4), BUCKETS / 4);

  /* The slot is reused once nothing can refer to it.  */
  add_backend (fixture, 301);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->backend_count, 5);
  assert_int_equal (fixture->table->backends[1].id, 301);
  assert_int_equal (fixture->table->backends[1].state, GBD_BACKEND_READY);
}

static void
slot_of_a_drained_server_is_not_reused (void **state)
{
  fixture_t *fixture = *state;
  fixture->backends[1].state = GBD_BACKEND_DRAINING;
  run_until_idle (fixture);
  assert_int_equal (count_buckets_with (fixture, 1, 1), 0);
  add_backend (fixture, 104);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->backends[1].id, 101);
  assert_int_equal (fixture->table->backends[4].id, 104);
}

static void
slot_of_a_gone_server_is_not_reused_while_a_bucket_names_it (void **state)
{
  fixture_t *fixture = *state;
  fixture->backends[1].state = GBD_BACKEND_DRAINING;
  while (count_phase (fixture, GBD_BUCKET_INVERTED) == 0)
    assert_int_equal (step (fixture), GBD_STEP_READY);
  fixture->backends[2].state = GBD_BACKEND_GONE;
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_not_equal (count_buckets_with (fixture, 2, 2), 0);
  for (int i = 0; i < BUCKETS; i++)
    if (fixture->table->buckets[i].phase != GBD_BUCKET_STABLE)
      fixture->table->buckets[i] = (gbd_bucket_t){ 0, 0, GBD_BUCKET_STABLE };
  add_backend (fixture, 104);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->backends[2].id, 102);
  assert_int_equal (fixture->table->backends[4].id, 104);
}

static void
bucket_without_a_server_does_not_wait_for_the_idle_limit (void **state)
{
  fixture_t *fixture = *state;
  for (int i = 0; i < BUCKETS; i++)
    fixture->table->buckets[i]
        = (gbd_bucket_t){ GBD_SLOT_NONE, GBD_SLOT_NONE, GBD_BUCKET_STABLE };
  fixture->input.is_loss_free = false;
  run_until_idle (fixture);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_STABLE), BUCKETS);
  assert_int_equal (count_buckets_with (fixture, 0, 0), BUCKETS / 4);
}

/* Instances that hold the previous version do not have the slot yet. */
static void
new_server_receives_flows_one_version_later (void **state)
{
  fixture_t *fixture = *state;
  for (int i = 0; i < 4; i++)
    fixture->backends[i].state = GBD_BACKEND_DRAINING;
  run_until_idle (fixture);
  add_backend (fixture, 104);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->backend_count, 5);
  for (int i = 0; i < BUCKETS; i++)
    assert_int_equal (gbd_bucket_new_flow_slot (&fixture->table->buckets[i]),
                      GBD_SLOT_NONE);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  for (int i = 0; i < BUCKETS; i++)
    assert_int_equal (gbd_bucket_new_flow_slot (&fixture->table->buckets[i]),
                      4);
}

static void
slot_of_a_gone_server_is_not_reused_while_buckets_move (void **state)
{
  fixture_t *fixture = *state;
  fixture->input.backend_count = 3; /* slot 3 is gone */
  for (gbd_backend_id_t i = 0; i < 4; i++)
    {
      assert_int_equal (step (fixture), GBD_STEP_READY);
      fixture->input.backend_count = 3;
      add_backend (fixture, 300 + i);
      fixture->input.move_max = 0;
      gbd_table_t *next;
      confirm (fixture);
      gbd_coordinator_step (fixture->table, &fixture->input, &next);
      assert_non_null (next);
      assert_int_equal (next->backends[3].id, 103);
      gbd_table_delete (next);
      fixture->input.backend_count = 3;
    }
}

static void
failed_member_is_removed_in_three_versions (void **state)
{
  fixture_t *fixture = *state;
  mark_failed (fixture, 21);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_JOINING);
  assert_int_equal (fixture->table->next_count, 7);
  confirm (fixture);
  find_confirmation (fixture, 31)->complete--;
  assert_int_equal (try_step (fixture), GBD_STEP_INCOMPLETE);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_SWITCHED);
  confirm (fixture);
  find_confirmation (fixture, 31)->complete
      = 0; /* 21 became reachable again */
  assert_int_equal (try_step (fixture), GBD_STEP_INCOMPLETE);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_SETTLED);
  assert_int_equal (fixture->table->roster_count, 7);
  assert_int_equal (fixture->table->next_count, 0);
  assert_false (gbd_table_has_member (fixture->table, 21));
  assert_int_equal (step (fixture), GBD_STEP_IDLE);
}

static void
leaving_member_must_confirm (void **state)
{
  fixture_t *fixture = *state;
  remove_member (fixture, 21);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  confirm (fixture);
  find_confirmation (fixture, 21)->version--;
  assert_int_equal (try_step (fixture), GBD_STEP_UNCONFIRMED);
  run_until_idle (fixture);
  assert_false (gbd_table_has_member (fixture->table, 21));
}

static void
next_member_must_confirm_bucket_steps (void **state)
{
  fixture_t *fixture = *state;
  add_member (fixture, 51);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  fixture->backends[1].state = GBD_BACKEND_DRAINING;
  confirm (fixture);
  find_confirmation (fixture, 51)->version--;
  assert_int_equal (try_step (fixture), GBD_STEP_UNCONFIRMED);
}

static void
outdated_coordinator_makes_no_step (void **state)
{
  fixture_t *fixture = *state;
  fixture->backends[1].state = GBD_BACKEND_DRAINING;
  confirm (fixture);
  find_confirmation (fixture, 42)->version++;
  assert_int_equal (try_step (fixture), GBD_STEP_UNCONFIRMED);
}

static void
failure_of_many_members (void **state)
{
  fixture_t *fixture = *state;
  static const struct
  {
    const char *label;
    int failed_count;
    bool is_listed;
    gbd_step_t step;
  } rows[] = {
    { "minority", 3, true, GBD_STEP_READY },
    { "half", 4, true, GBD_STEP_NO_MAJORITY },
    { "majority", 5, true, GBD_STEP_NO_MAJORITY },
    { "half, not listed", 4, false, GBD_STEP_READY },
    { "majority, not listed", 7, false, GBD_STEP_READY },
  };
  fixture_t start = *fixture;
  for (size_t row = 0; row < sizeof rows / sizeof rows[0]; row++)
    {
      memcpy (fixture->members, start.members, sizeof start.members);
      fixture->input = start.input;
      for (int i = 0; i < 8; i++)
        fixture->confirmations[i].is_failed = i < rows[row].failed_count;
      for (int i = 0; i < rows[row].failed_count && !rows[row].is_listed; i++)
        remove_member (fixture, start.members[i].id);
      /* Bucket steps and roster steps are blocked by the same rule.  */
      for (int is_drain = 0; is_drain < 2; is_drain++)
        {
          gbd_table_t *next;
          fixture->backends[1].state
              = is_drain ? GBD_BACKEND_DRAINING : GBD_BACKEND_READY;
          confirm (fixture);
          if (gbd_coordinator_step (fixture->table, &fixture->input, &next)
              != rows[row].step)
            fail_msg ("%s", rows[row].label);
          assert_int_equal (next != NULL, rows[row].step == GBD_STEP_READY);
          gbd_table_delete (next);
        }
    }
}

static void
one_listed_failed_member_blocks_a_minority (void **state)
{
  fixture_t *fixture = *state;
  for (int i = 0; i < 4; i++)
    fixture->confirmations[i].is_failed = true;
  for (int i = 0; i < 3; i++)
    remove_member (fixture, fixture->confirmations[i].id);
  assert_int_equal (step (fixture), GBD_STEP_NO_MAJORITY);
}

static void
drain_does_not_wait_for_a_failed_member (void **state)
{
  fixture_t *fixture = *state;
  mark_failed (fixture, 21);
  fixture->backends[1].state = GBD_BACKEND_DRAINING;
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_ANNOUNCED), BUCKETS / 4);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_ACTIVE), BUCKETS / 4);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_JOINING);
  run_until_idle (fixture);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_STABLE), BUCKETS);
}

static void
drain_during_a_roster_change (void **state)
{
  fixture_t *fixture = *state;
  add_member (fixture, 51);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_JOINING);
  fixture->backends[1].state = GBD_BACKEND_DRAINING;
  for (int phase = GBD_BUCKET_ANNOUNCED; phase <= GBD_BUCKET_ACTIVE; phase++)
    {
      assert_int_equal (step (fixture), GBD_STEP_READY);
      assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_JOINING);
      assert_int_equal (count_phase (fixture, (uint8_t)phase), BUCKETS / 4);
    }
  run_until_idle (fixture);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_SETTLED);
  assert_int_equal (fixture->table->roster_count, 9);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_STABLE), BUCKETS);
}

static void
roster_change_restarts_the_exchange_of_exceptions (void **state)
{
  fixture_t *fixture = *state;
  fixture->backends[1].state = GBD_BACKEND_DRAINING;
  for (int i = 0; i < 3; i++)
    step (fixture);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_SETTLING), BUCKETS / 4);
  mark_failed (fixture, 32);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_ACTIVE), BUCKETS / 4);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_SETTLED);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_JOINING);
}

static void
joining_change_is_retargeted_or_cancelled (void **state)
{
  fixture_t *fixture = *state;
  add_member (fixture, 51);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  add_member (fixture, 52);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_JOINING);
  assert_int_equal (fixture->table->next_count, 10);
  mark_failed (fixture, 51);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->next_count, 9);
  remove_member (fixture, 52);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_SETTLED);
  assert_int_equal (fixture->table->roster_count, 8);
  assert_int_equal (step (fixture), GBD_STEP_IDLE);
}

static void
member_that_fails_after_the_switch_is_removed_by_the_next_change (void **state)
{
  fixture_t *fixture = *state;
  add_member (fixture, 51);
  step (fixture);
  step (fixture);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_SWITCHED);
  mark_failed (fixture, 51);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->roster_phase, GBD_ROSTER_SETTLED);
  assert_true (gbd_table_has_member (fixture->table, 51));
  run_until_idle (fixture);
  assert_false (gbd_table_has_member (fixture->table, 51));
}

static void
restarted_member_is_a_new_member (void **state)
{
  fixture_t *fixture = *state;
  mark_failed (fixture, 11);
  remove_member (fixture, 11);
  add_member (fixture, 13);
  run_until_idle (fixture);
  assert_int_equal (fixture->table->roster_count, 8);
  assert_true (gbd_table_has_member (fixture->table, 13));
  assert_false (gbd_table_has_member (fixture->table, 11));
}

static void
roster_is_bounded_and_keeps_current_members (void **state)
{
  fixture_t *fixture = *state;
  remove_member (fixture, 42);
  for (int i = 1; i <= 9; i++)
    add_member (fixture, (gbd_instance_id_t)i);
  add_member (fixture, 42);
  fixture->input.confirmation_count--; /* 42 has one already */
  run_until_idle (fixture);
  assert_int_equal (fixture->table->roster_count, GBD_ROSTER_MAX);
  assert_true (gbd_table_has_member (fixture->table, 42));
}

static void
empty_member_list_keeps_the_roster (void **state)
{
  fixture_t *fixture = *state;
  fixture->input.member_count = 0;
  assert_int_equal (step (fixture), GBD_STEP_NO_MEMBER);
}

static void
unknown_instance_does_not_join (void **state)
{
  fixture_t *fixture = *state;
  add_member (fixture, 51);
  fixture->input.confirmation_count--;
  assert_int_equal (step (fixture), GBD_STEP_IDLE);
}

static void
balance_moves_at_most_move_max_buckets (void **state)
{
  fixture_t *fixture = *state;
  add_backend (fixture, 104);
  fixture->input.move_max = 3;
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (fixture->table->backend_count, 5);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_STABLE), BUCKETS);
  assert_int_equal (step (fixture), GBD_STEP_READY);
  assert_int_equal (count_phase (fixture, GBD_BUCKET_ANNOUNCED), 3);
  run_until_idle (fixture);
  assert_in_range (count_buckets_with (fixture, 4, 4), 12, 13);
  fixture->weights[4] = 50;
  fixture->input.move_max = 0;
  assert_int_equal (step (fixture), GBD_STEP_IDLE);
}

static void
balance_continues_while_moves_wait_for_the_idle_limit (void **state)
{
  fixture_t *fixture = *state;
  fixture->input.is_loss_free = false;
  fixture->backends[1].state = GBD_BACKEND_DRAINING;
  run_until_idle (fixture);
  add_backend (fixture, 104);
  run_until_idle (fixture);
  uint32_t count = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    count += gbd_bucket_new_flow_slot (&fixture->table->buckets[i]) == 4;
  /* Only buckets that are not moving yet may be moved.  */
  assert_in_range (count, 8, BUCKETS / 4);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (first_table_is_balanced),
    TEST (first_table_needs_a_member),
    TEST (drain_takes_two_versions_to_stop_new_flows),
    TEST (lost_flows_revert_settling),
    TEST (drain_of_the_target_in_each_phase),
    TEST (drain_cancelled_while_announced_has_no_effect),
    TEST (draining_all_servers_stops_new_flows_only),
    TEST (buckets_of_a_gone_server_wait_for_the_idle_limit),
    TEST (unlisted_server_becomes_gone),
    TEST (reused_address_is_a_new_server),
    TEST (slot_of_a_drained_server_is_not_reused),
    TEST (slot_of_a_gone_server_is_not_reused_while_a_bucket_names_it),
    TEST (slot_of_a_gone_server_is_not_reused_while_buckets_move),
    TEST (bucket_without_a_server_does_not_wait_for_the_idle_limit),
    TEST (new_server_receives_flows_one_version_later),
    TEST (next_member_must_confirm_bucket_steps),
    TEST (failed_member_is_removed_in_three_versions),
    TEST (leaving_member_must_confirm),
    TEST (outdated_coordinator_makes_no_step),
    TEST (failure_of_many_members),
    TEST (one_listed_failed_member_blocks_a_minority),
    TEST (drain_does_not_wait_for_a_failed_member),
    TEST (drain_during_a_roster_change),
    TEST (roster_change_restarts_the_exchange_of_exceptions),
    TEST (joining_change_is_retargeted_or_cancelled),
    TEST (member_that_fails_after_the_switch_is_removed_by_the_next_change),
    TEST (restarted_member_is_a_new_member),
    TEST (roster_is_bounded_and_keeps_current_members),
    TEST (empty_member_list_keeps_the_roster),
    TEST (unknown_instance_does_not_join),
    TEST (balance_moves_at_most_move_max_buckets),
    TEST (balance_continues_while_moves_wait_for_the_idle_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
