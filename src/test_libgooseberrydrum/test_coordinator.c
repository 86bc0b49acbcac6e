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

/* A service with its coordinator; tests change the input between steps.  */
typedef struct
{
  gbd_member_t members[GBD_ROSTER_MAX + 2];
  gbd_confirmation_t confirmations[GBD_ROSTER_MAX + 2];
  gbd_backend_t backends[SERVERS_MAX];
  uint16_t weights[SERVERS_MAX];
  gbd_coordinator_input_t input;
  gbd_table_t *table;
} world_t;

static void
add_member (world_t *world, gbd_instance_id_t id)
{
  uint8_t i = world->input.member_count++;
  world->members[i] = (gbd_member_t){ id, (gbd_zone_id_t)(id / 10) };
  uint8_t j = world->input.confirmation_count++;
  world->confirmations[j] = (gbd_confirmation_t){ .id = id };
}

static void
add_backend (world_t *world, gbd_backend_id_t id)
{
  uint32_t i = world->input.backend_count++;
  world->backends[i] = (gbd_backend_t){ .id = id, .zone = 1 };
  gbd_address_parse ("127.0.0.1:80", &world->backends[i].address);
  world->weights[i] = 100;
}

static gbd_confirmation_t *
confirmation_of (world_t *world, gbd_instance_id_t id)
{
  for (int i = 0; i < world->input.confirmation_count; i++)
    if (world->confirmations[i].id == id)
      return &world->confirmations[i];
  fail_msg ("no member");
  return NULL;
}

/* All members that are not silent confirm and complete.  */
static void
confirm (world_t *world)
{
  for (int i = 0; i < world->input.confirmation_count; i++)
    if (!world->confirmations[i].is_silent)
      world->confirmations[i].version = world->confirmations[i].complete
          = world->table->version;
}

/* A step without any confirmation since the last one.  */
static gbd_step_t
try_step (world_t *world)
{
  gbd_table_t *next;
  gbd_step_t step = gbd_coordinator_step (world->table, &world->input, &next);
  if (!next)
    return step;
  assert_int_equal (step, GBD_STEP_READY);
  if (world->table)
    assert_int_equal (next->version, world->table->version + 1);
  gbd_table_delete (world->table);
  world->table = next;
  return step;
}

static gbd_step_t
step (world_t *world)
{
  if (world->table)
    confirm (world);
  return try_step (world);
}

/* Steps until nothing is left to do.  */
static void
finish (world_t *world)
{
  for (int i = 0; i < 40; i++)
    if (step (world) != GBD_STEP_READY)
      return;
  fail_msg ("steps without end");
}

static uint32_t
count_phase (const world_t *world, uint8_t phase)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    count += world->table->buckets[i].phase == phase;
  return count;
}

static uint32_t
count_on (const world_t *world, gbd_slot_t from, gbd_slot_t to)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    count += world->table->buckets[i].from == from
             && world->table->buckets[i].to == to;
  return count;
}

/* Four zones with two instances each, four backend servers, first table.  */
static int
set_up (void **state)
{
  world_t *world = calloc (1, sizeof *world);
  world->input.service = 7;
  world->input.members = world->members;
  world->input.confirmations = world->confirmations;
  world->input.backends = world->backends;
  world->input.weights = world->weights;
  world->input.bucket_count = BUCKETS;
  world->input.move_max = BUCKETS;
  world->input.is_covered = true;
  world->input.generation = 5;
  for (gbd_instance_id_t zone = 1; zone <= 4; zone++)
    {
      add_member (world, 10 * zone + 1);
      add_member (world, 10 * zone + 2);
    }
  for (gbd_backend_id_t i = 0; i < 4; i++)
    add_backend (world, 100 + i);
  assert_int_equal (try_step (world), GBD_STEP_READY);
  assert_int_equal (step (world), GBD_STEP_IDLE);
  *state = world;
  return 0;
}

static int
tear_down (void **state)
{
  world_t *world = *state;
  gbd_table_delete (world->table);
  free (world);
  return 0;
}

static void
silence (world_t *world, gbd_instance_id_t id)
{
  confirmation_of (world, id)->is_silent = true;
}

static void
unlist (world_t *world, gbd_instance_id_t id)
{
  uint8_t kept = 0;
  for (int i = 0; i < world->input.member_count; i++)
    if (world->members[i].id != id)
      world->members[kept++] = world->members[i];
  world->input.member_count = kept;
}

static void
first_table_is_balanced (void **state)
{
  world_t *world = *state;
  assert_int_equal (world->table->version, 1);
  assert_int_equal (world->table->service, 7);
  assert_int_equal (world->table->generation, 5);
  assert_int_equal (world->table->roster_count, 8);
  assert_int_equal (count_phase (world, GBD_BUCKET_STABLE), BUCKETS);
  for (gbd_slot_t i = 0; i < 4; i++)
    assert_int_equal (count_on (world, i, i), BUCKETS / 4);
}

static void
first_table_needs_a_member (void **state)
{
  world_t *world = *state;
  for (int i = 0; i < world->input.confirmation_count; i++)
    world->confirmations[i].is_silent = true;
  gbd_table_t *next;
  assert_int_equal (gbd_coordinator_step (NULL, &world->input, &next),
                    GBD_STEP_NO_MEMBER);
  assert_null (next);
}

static void
drain_takes_two_versions_to_stop_new_flows (void **state)
{
  world_t *world = *state;
  world->backends[1].state = GBD_BACKEND_DRAINING;
  world->input.is_covered = false;
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (count_phase (world, GBD_BUCKET_ANNOUNCED), BUCKETS / 4);
  assert_int_equal (world->table->backends[1].state, GBD_BACKEND_DRAINING);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (count_phase (world, GBD_BUCKET_ACTIVE), BUCKETS / 4);
  for (uint32_t i = 0; i < BUCKETS; i++)
    assert_int_not_equal (gbd_bucket_open_slot (&world->table->buckets[i]), 1);

  assert_int_equal (step (world), GBD_STEP_FLOWS_LOST);
  world->input.is_covered = true;
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (count_phase (world, GBD_BUCKET_SETTLING), BUCKETS / 4);
  confirmation_of (world, 21)->version = world->table->version;
  confirm (world);
  confirmation_of (world, 21)->complete--;
  assert_int_equal (try_step (world), GBD_STEP_INCOMPLETE);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (count_phase (world, GBD_BUCKET_INVERTED), BUCKETS / 4);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (count_phase (world, GBD_BUCKET_STABLE), BUCKETS);
  assert_int_equal (step (world), GBD_STEP_IDLE);
}

static void
loss_of_coverage_reopens_settling (void **state)
{
  world_t *world = *state;
  world->backends[1].state = GBD_BACKEND_DRAINING;
  for (int i = 0; i < 3; i++)
    step (world);
  assert_int_equal (count_phase (world, GBD_BUCKET_SETTLING), BUCKETS / 4);
  world->input.is_covered = false;
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (count_phase (world, GBD_BUCKET_ACTIVE), BUCKETS / 4);
  assert_int_equal (step (world), GBD_STEP_FLOWS_LOST);
}

static void
drain_of_the_target_in_each_phase (void **state)
{
  world_t *world = *state;
  static const struct
  {
    int steps;            /* after the first drain */
    uint8_t phase;        /* before the second one */
    uint8_t phase_after;  /* of buckets between slots 1 and 2 */
    uint8_t phase_latest; /* a version later */
  } rows[] = {
    { 1, GBD_BUCKET_ANNOUNCED, GBD_BUCKET_ANNOUNCED, GBD_BUCKET_ACTIVE },
    { 2, GBD_BUCKET_ACTIVE, GBD_BUCKET_ACTIVE, GBD_BUCKET_ACTIVE },
    { 3, GBD_BUCKET_SETTLING, GBD_BUCKET_ACTIVE, GBD_BUCKET_ACTIVE },
    { 4, GBD_BUCKET_INVERTED, GBD_BUCKET_STABLE, GBD_BUCKET_ANNOUNCED },
  };
  gbd_table_t *first = gbd_table_copy (world->table);
  for (size_t row = 0; row < sizeof rows / sizeof rows[0]; row++)
    {
      gbd_table_delete (world->table);
      world->table = gbd_table_copy (first);
      world->backends[2].state = GBD_BACKEND_READY;
      world->backends[1].state = GBD_BACKEND_DRAINING;
      for (int i = 0; i < rows[row].steps; i++)
        assert_int_equal (step (world), GBD_STEP_READY);
      uint32_t watched = 0;
      while (world->table->buckets[watched].from != 1
             || world->table->buckets[watched].to != 2)
        watched++;
      const gbd_bucket_t *bucket = &world->table->buckets[watched];
      assert_int_equal (bucket->phase, rows[row].phase);

      world->backends[2].state = GBD_BACKEND_DRAINING;
      assert_int_equal (step (world), GBD_STEP_READY);
      bucket = &world->table->buckets[watched];
      assert_int_equal (bucket->phase, rows[row].phase_after);
      assert_int_equal (bucket->from,
                        rows[row].phase == GBD_BUCKET_INVERTED ? 2 : 1);
      assert_int_equal (step (world), GBD_STEP_READY);
      bucket = &world->table->buckets[watched];
      assert_int_equal (bucket->phase, rows[row].phase_latest);
      assert_true (bucket->to == 0 || bucket->to == 3);
      finish (world);
      assert_int_equal (count_on (world, 0, 0) + count_on (world, 3, 3),
                        BUCKETS);
    }
  gbd_table_delete (first);
}

static void
drain_called_off_before_new_flows_leaves_no_trace (void **state)
{
  world_t *world = *state;
  gbd_table_t *first = gbd_table_copy (world->table);
  world->backends[1].state = GBD_BACKEND_DRAINING;
  assert_int_equal (step (world), GBD_STEP_READY);
  world->backends[1].state = GBD_BACKEND_READY;
  for (int i = 0; i < 4; i++)
    if (i != 1)
      world->backends[i].state = GBD_BACKEND_DRAINING;
  assert_int_equal (step (world), GBD_STEP_READY);
  for (uint32_t i = 0; i < BUCKETS; i++)
    if (first->buckets[i].to == 1)
      {
        assert_int_equal (world->table->buckets[i].phase, GBD_BUCKET_STABLE);
        assert_int_equal (world->table->buckets[i].to, 1);
      }
  gbd_table_delete (first);
}

static void
no_server_left_stops_new_flows_and_keeps_old_ones (void **state)
{
  world_t *world = *state;
  for (int i = 0; i < 4; i++)
    world->backends[i].state = GBD_BACKEND_DRAINING;
  finish (world);
  for (uint32_t i = 0; i < BUCKETS; i++)
    {
      const gbd_bucket_t *bucket = &world->table->buckets[i];
      assert_int_equal (bucket->phase, GBD_BUCKET_ACTIVE);
      assert_int_equal (gbd_bucket_open_slot (bucket), GBD_SLOT_NONE);
      assert_true (gbd_bucket_default_slot (bucket) < 4);
    }
  add_backend (world, 104);
  finish (world);
  assert_int_equal (count_on (world, 4, 4), BUCKETS);
}

static void
gone_server_waits_for_coverage (void **state)
{
  world_t *world = *state;
  world->input.is_covered = false;
  world->backends[1].state = GBD_BACKEND_GONE;
  finish (world);
  /* New flows are elsewhere at once; unregistered ones still mean server 1,
     so that they are reset and reach no other server. */
  assert_int_equal (count_phase (world, GBD_BUCKET_ACTIVE), BUCKETS / 4);
  world->input.is_covered = true;
  finish (world);
  assert_int_equal (count_phase (world, GBD_BUCKET_STABLE), BUCKETS);
  assert_int_equal (count_on (world, 1, 1), 0);
  assert_int_equal (world->table->backends[1].state, GBD_BACKEND_GONE);
}

static void
server_that_is_no_longer_named_is_gone (void **state)
{
  world_t *world = *state;
  world->input.backend_count = 3;
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->backends[3].state, GBD_BACKEND_GONE);
  assert_int_equal (count_phase (world, GBD_BUCKET_ANNOUNCED), BUCKETS / 4);
}

static void
address_that_returns_is_a_new_server (void **state)
{
  world_t *world = *state;
  world->backends[1].id = 201;
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->backend_count, 5);
  assert_int_equal (world->table->backends[1].state, GBD_BACKEND_GONE);
  assert_int_equal (world->table->backends[4].id, 201);
  finish (world);
  assert_int_equal (count_on (world, 4, 4), BUCKETS / 4);

  /* The slot serves again once nothing can name it.  */
  add_backend (world, 301);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->backend_count, 5);
  assert_int_equal (world->table->backends[1].id, 301);
  assert_int_equal (world->table->backends[1].state, GBD_BACKEND_READY);
}

static void
slot_of_a_drained_server_stays_its_own (void **state)
{
  world_t *world = *state;
  world->backends[1].state = GBD_BACKEND_DRAINING;
  finish (world);
  assert_int_equal (count_on (world, 1, 1), 0);
  add_backend (world, 104);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->backends[1].id, 101);
  assert_int_equal (world->table->backends[4].id, 104);
}

static void
slot_of_a_gone_server_waits_for_its_buckets (void **state)
{
  world_t *world = *state;
  world->backends[1].state = GBD_BACKEND_DRAINING;
  while (count_phase (world, GBD_BUCKET_INVERTED) == 0)
    assert_int_equal (step (world), GBD_STEP_READY);
  world->backends[2].state = GBD_BACKEND_GONE;
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_not_equal (count_on (world, 2, 2), 0);
  for (int i = 0; i < BUCKETS; i++)
    if (world->table->buckets[i].phase != GBD_BUCKET_STABLE)
      world->table->buckets[i] = (gbd_bucket_t){ 0, 0, GBD_BUCKET_STABLE };
  add_backend (world, 104);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->backends[2].id, 102);
  assert_int_equal (world->table->backends[4].id, 104);
}

static void
bucket_without_a_server_needs_no_coverage (void **state)
{
  world_t *world = *state;
  for (int i = 0; i < BUCKETS; i++)
    world->table->buckets[i]
        = (gbd_bucket_t){ GBD_SLOT_NONE, GBD_SLOT_NONE, GBD_BUCKET_STABLE };
  world->input.is_covered = false;
  finish (world);
  assert_int_equal (count_phase (world, GBD_BUCKET_STABLE), BUCKETS);
  assert_int_equal (count_on (world, 0, 0), BUCKETS / 4);
}

/* Instances with the version before do not know the slot yet. */
static void
new_server_is_known_before_it_takes_flows (void **state)
{
  world_t *world = *state;
  for (int i = 0; i < 4; i++)
    world->backends[i].state = GBD_BACKEND_DRAINING;
  finish (world);
  add_backend (world, 104);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->backend_count, 5);
  for (int i = 0; i < BUCKETS; i++)
    assert_int_equal (gbd_bucket_open_slot (&world->table->buckets[i]),
                      GBD_SLOT_NONE);
  assert_int_equal (step (world), GBD_STEP_READY);
  for (int i = 0; i < BUCKETS; i++)
    assert_int_equal (gbd_bucket_open_slot (&world->table->buckets[i]), 4);
}

static void
slot_of_a_gone_server_waits_while_buckets_move (void **state)
{
  world_t *world = *state;
  world->input.backend_count = 3; /* slot 3 is gone */
  for (gbd_backend_id_t i = 0; i < 4; i++)
    {
      assert_int_equal (step (world), GBD_STEP_READY);
      world->input.backend_count = 3;
      add_backend (world, 300 + i);
      world->input.move_max = 0;
      gbd_table_t *next;
      confirm (world);
      gbd_coordinator_step (world->table, &world->input, &next);
      assert_non_null (next);
      assert_int_equal (next->backends[3].id, 103);
      gbd_table_delete (next);
      world->input.backend_count = 3;
    }
}

static void
silent_member_leaves_in_three_versions (void **state)
{
  world_t *world = *state;
  silence (world, 21);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_JOINING);
  assert_int_equal (world->table->next_count, 7);
  confirm (world);
  confirmation_of (world, 31)->complete--;
  assert_int_equal (try_step (world), GBD_STEP_INCOMPLETE);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_SWITCHED);
  confirm (world);
  confirmation_of (world, 31)->complete = 0; /* 21 was heard again */
  assert_int_equal (try_step (world), GBD_STEP_INCOMPLETE);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_SETTLED);
  assert_int_equal (world->table->roster_count, 7);
  assert_int_equal (world->table->next_count, 0);
  assert_false (gbd_table_has_member (world->table, 21));
  assert_int_equal (step (world), GBD_STEP_IDLE);
}

static void
leaving_member_must_confirm (void **state)
{
  world_t *world = *state;
  unlist (world, 21);
  assert_int_equal (step (world), GBD_STEP_READY);
  confirm (world);
  confirmation_of (world, 21)->version--;
  assert_int_equal (try_step (world), GBD_STEP_UNCONFIRMED);
  finish (world);
  assert_false (gbd_table_has_member (world->table, 21));
}

static void
next_member_must_confirm_bucket_steps (void **state)
{
  world_t *world = *state;
  add_member (world, 51);
  assert_int_equal (step (world), GBD_STEP_READY);
  world->backends[1].state = GBD_BACKEND_DRAINING;
  confirm (world);
  confirmation_of (world, 51)->version--;
  assert_int_equal (try_step (world), GBD_STEP_UNCONFIRMED);
}

static void
late_coordinator_makes_no_step (void **state)
{
  world_t *world = *state;
  world->backends[1].state = GBD_BACKEND_DRAINING;
  confirm (world);
  confirmation_of (world, 42)->version++;
  assert_int_equal (try_step (world), GBD_STEP_UNCONFIRMED);
}

static void
silence_of_many (void **state)
{
  world_t *world = *state;
  static const struct
  {
    const char *what;
    int silent;
    bool is_listed;
    gbd_step_t step;
  } rows[] = {
    { "minority", 3, true, GBD_STEP_READY },
    { "half", 4, true, GBD_STEP_NO_MAJORITY },
    { "majority", 5, true, GBD_STEP_NO_MAJORITY },
    { "half that the platform ended", 4, false, GBD_STEP_READY },
    { "majority that the platform ended", 7, false, GBD_STEP_READY },
  };
  world_t start = *world;
  for (size_t row = 0; row < sizeof rows / sizeof rows[0]; row++)
    {
      memcpy (world->members, start.members, sizeof start.members);
      world->input = start.input;
      for (int i = 0; i < 8; i++)
        world->confirmations[i].is_silent = i < rows[row].silent;
      for (int i = 0; i < rows[row].silent && !rows[row].is_listed; i++)
        unlist (world, start.members[i].id);
      /* A bucket step and a roster step are held alike.  */
      for (int is_drain = 0; is_drain < 2; is_drain++)
        {
          gbd_table_t *next;
          world->backends[1].state
              = is_drain ? GBD_BACKEND_DRAINING : GBD_BACKEND_READY;
          confirm (world);
          if (gbd_coordinator_step (world->table, &world->input, &next)
              != rows[row].step)
            fail_msg ("%s", rows[row].what);
          assert_int_equal (next != NULL, rows[row].step == GBD_STEP_READY);
          gbd_table_delete (next);
        }
    }
}

static void
one_silent_member_that_is_listed_holds_a_minority (void **state)
{
  world_t *world = *state;
  for (int i = 0; i < 4; i++)
    world->confirmations[i].is_silent = true;
  for (int i = 0; i < 3; i++)
    unlist (world, world->confirmations[i].id);
  assert_int_equal (step (world), GBD_STEP_NO_MAJORITY);
}

static void
drain_waits_for_no_silent_member (void **state)
{
  world_t *world = *state;
  silence (world, 21);
  world->backends[1].state = GBD_BACKEND_DRAINING;
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (count_phase (world, GBD_BUCKET_ANNOUNCED), BUCKETS / 4);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (count_phase (world, GBD_BUCKET_ACTIVE), BUCKETS / 4);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_JOINING);
  finish (world);
  assert_int_equal (count_phase (world, GBD_BUCKET_STABLE), BUCKETS);
}

static void
drain_during_a_roster_change (void **state)
{
  world_t *world = *state;
  add_member (world, 51);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_JOINING);
  world->backends[1].state = GBD_BACKEND_DRAINING;
  for (int phase = GBD_BUCKET_ANNOUNCED; phase <= GBD_BUCKET_ACTIVE; phase++)
    {
      assert_int_equal (step (world), GBD_STEP_READY);
      assert_int_equal (world->table->roster_phase, GBD_ROSTER_JOINING);
      assert_int_equal (count_phase (world, (uint8_t)phase), BUCKETS / 4);
    }
  finish (world);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_SETTLED);
  assert_int_equal (world->table->roster_count, 9);
  assert_int_equal (count_phase (world, GBD_BUCKET_STABLE), BUCKETS);
}

static void
roster_change_while_settling_tells_flows_anew (void **state)
{
  world_t *world = *state;
  world->backends[1].state = GBD_BACKEND_DRAINING;
  for (int i = 0; i < 3; i++)
    step (world);
  assert_int_equal (count_phase (world, GBD_BUCKET_SETTLING), BUCKETS / 4);
  silence (world, 32);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (count_phase (world, GBD_BUCKET_ACTIVE), BUCKETS / 4);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_SETTLED);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_JOINING);
}

static void
joining_aims_anew_or_is_called_off (void **state)
{
  world_t *world = *state;
  add_member (world, 51);
  assert_int_equal (step (world), GBD_STEP_READY);
  add_member (world, 52);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_JOINING);
  assert_int_equal (world->table->next_count, 10);
  silence (world, 51);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->next_count, 9);
  unlist (world, 52);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_SETTLED);
  assert_int_equal (world->table->roster_count, 8);
  assert_int_equal (step (world), GBD_STEP_IDLE);
}

static void
member_lost_after_the_switch_leaves_by_another_change (void **state)
{
  world_t *world = *state;
  add_member (world, 51);
  step (world);
  step (world);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_SWITCHED);
  silence (world, 51);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->roster_phase, GBD_ROSTER_SETTLED);
  assert_true (gbd_table_has_member (world->table, 51));
  finish (world);
  assert_false (gbd_table_has_member (world->table, 51));
}

static void
replaced_member_is_another_one (void **state)
{
  world_t *world = *state;
  silence (world, 11);
  unlist (world, 11);
  add_member (world, 13);
  finish (world);
  assert_int_equal (world->table->roster_count, 8);
  assert_true (gbd_table_has_member (world->table, 13));
  assert_false (gbd_table_has_member (world->table, 11));
}

static void
roster_is_bounded_and_keeps_present_members (void **state)
{
  world_t *world = *state;
  unlist (world, 42);
  for (int i = 1; i <= 9; i++)
    add_member (world, (gbd_instance_id_t)i);
  add_member (world, 42);
  world->input.confirmation_count--; /* 42 is there already */
  finish (world);
  assert_int_equal (world->table->roster_count, GBD_ROSTER_MAX);
  assert_true (gbd_table_has_member (world->table, 42));
}

static void
nobody_left_keeps_the_roster (void **state)
{
  world_t *world = *state;
  world->input.member_count = 0;
  assert_int_equal (step (world), GBD_STEP_NO_MEMBER);
}

static void
unknown_instance_does_not_join (void **state)
{
  world_t *world = *state;
  add_member (world, 51);
  world->input.confirmation_count--;
  assert_int_equal (step (world), GBD_STEP_IDLE);
}

static void
balance_moves_few_buckets_at_a_time (void **state)
{
  world_t *world = *state;
  add_backend (world, 104);
  world->input.move_max = 3;
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (world->table->backend_count, 5);
  assert_int_equal (count_phase (world, GBD_BUCKET_STABLE), BUCKETS);
  assert_int_equal (step (world), GBD_STEP_READY);
  assert_int_equal (count_phase (world, GBD_BUCKET_ANNOUNCED), 3);
  finish (world);
  assert_in_range (count_on (world, 4, 4), 12, 13);
  world->weights[4] = 50;
  world->input.move_max = 0;
  assert_int_equal (step (world), GBD_STEP_IDLE);
}

static void
balance_goes_on_while_moves_wait_for_coverage (void **state)
{
  world_t *world = *state;
  world->input.is_covered = false;
  world->backends[1].state = GBD_BACKEND_DRAINING;
  finish (world);
  add_backend (world, 104);
  finish (world);
  uint32_t opened = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    opened += gbd_bucket_open_slot (&world->table->buckets[i]) == 4;
  /* Only buckets that do not move already may go.  */
  assert_in_range (opened, 8, BUCKETS / 4);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (first_table_is_balanced),
    TEST (first_table_needs_a_member),
    TEST (drain_takes_two_versions_to_stop_new_flows),
    TEST (loss_of_coverage_reopens_settling),
    TEST (drain_of_the_target_in_each_phase),
    TEST (drain_called_off_before_new_flows_leaves_no_trace),
    TEST (no_server_left_stops_new_flows_and_keeps_old_ones),
    TEST (gone_server_waits_for_coverage),
    TEST (server_that_is_no_longer_named_is_gone),
    TEST (address_that_returns_is_a_new_server),
    TEST (slot_of_a_drained_server_stays_its_own),
    TEST (slot_of_a_gone_server_waits_for_its_buckets),
    TEST (slot_of_a_gone_server_waits_while_buckets_move),
    TEST (bucket_without_a_server_needs_no_coverage),
    TEST (new_server_is_known_before_it_takes_flows),
    TEST (next_member_must_confirm_bucket_steps),
    TEST (silent_member_leaves_in_three_versions),
    TEST (leaving_member_must_confirm),
    TEST (late_coordinator_makes_no_step),
    TEST (silence_of_many),
    TEST (one_silent_member_that_is_listed_holds_a_minority),
    TEST (drain_waits_for_no_silent_member),
    TEST (drain_during_a_roster_change),
    TEST (roster_change_while_settling_tells_flows_anew),
    TEST (joining_aims_anew_or_is_called_off),
    TEST (member_lost_after_the_switch_leaves_by_another_change),
    TEST (replaced_member_is_another_one),
    TEST (roster_is_bounded_and_keeps_present_members),
    TEST (nobody_left_keeps_the_roster),
    TEST (unknown_instance_does_not_join),
    TEST (balance_moves_few_buckets_at_a_time),
    TEST (balance_goes_on_while_moves_wait_for_coverage),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
