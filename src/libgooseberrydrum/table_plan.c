/* Chooses a target for each bucket with the fewest moves.

   Each backend server has a quota of buckets in proportion to its weight.
   Buckets without a usable target are assigned to servers below their
   quota.  For balance, buckets move from servers above their quota to
   servers below it.  The rendezvous hash breaks ties, so that every
   instance computes the same plan.  */
#include "gooseberrydrum/table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* A table is balanced when each server is within this fraction of its
   quota.  */
#define QUOTA_TOLERANCE_DIVISOR 64

typedef struct
{
  uint32_t quota;
  uint32_t count;     /* buckets whose target is the slot */
  uint64_t remainder; /* remainder of the division that yields the quota */
  uint32_t cursor;    /* next bucket to examine for a move */
} bucket_share_t;

typedef struct
{
  const gbd_table_t *table;
  const uint16_t *weights;
  gbd_slot_t *targets;
  bucket_share_t *shares;
} plan_t;

static void copy_current_targets (plan_t *plan);
static bool set_quotas (plan_t *plan);
static gbd_slot_t find_largest_remainder (const plan_t *plan);
static void assign_unplaced_buckets (plan_t *plan);
static bool is_balanced (const plan_t *plan);
static bool move_bucket (plan_t *plan);
static gbd_slot_t find_most_overloaded (const plan_t *plan);
static uint32_t find_next_movable (plan_t *plan, gbd_slot_t source);
static gbd_slot_t find_best_receiver (const plan_t *plan, uint32_t bucket);
static uint32_t count_changes (const plan_t *plan);

uint32_t
gbd_table_plan (const gbd_table_t *table, const uint16_t *weights,
                uint32_t move_max, gbd_slot_t *targets)
{
  plan_t plan = { .table = table, .weights = weights, .targets = targets };
  plan.shares = calloc (table->backend_count + 1, sizeof *plan.shares);
  copy_current_targets (&plan);
  if (!plan.shares)
    return 0; /* The current targets are a safe plan.  */
  if (set_quotas (&plan))
    {
      assign_unplaced_buckets (&plan);
      uint32_t budget = is_balanced (&plan) ? 0 : move_max;
      while (budget > 0 && move_bucket (&plan))
        budget--;
    }
  else
    for (uint32_t i = 0; i < table->bucket_count; i++)
      targets[i] = GBD_SLOT_NONE;
  free (plan.shares);
  return count_changes (&plan);
}

static void
copy_current_targets (plan_t *plan)
{
  for (uint32_t i = 0; i < plan->table->bucket_count; i++)
    plan->targets[i] = plan->table->buckets[i].to;
}

/* Divides the buckets in proportion to the weights.  Buckets that remain
   after rounding down go to the servers with the largest remainders.  Returns
   false when all weights are 0.  */
static bool
set_quotas (plan_t *plan)
{
  const gbd_table_t *table = plan->table;
  uint64_t total = 0;
  for (uint32_t i = 0; i < table->backend_count; i++)
    total += plan->weights[i];
  if (total == 0)
    return false;

  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      gbd_slot_t slot = plan->targets[i];
      if (slot != GBD_SLOT_NONE && plan->weights[slot] > 0)
        plan->shares[slot].count++;
    }
  uint32_t unassigned = table->bucket_count;
  for (uint32_t i = 0; i < table->backend_count; i++)
    {
      uint64_t part = (uint64_t)table->bucket_count * plan->weights[i];
      plan->shares[i].quota = (uint32_t)(part / total);
      plan->shares[i].remainder = part % total;
      unassigned -= plan->shares[i].quota;
    }
  for (; unassigned > 0; unassigned--)
    {
      gbd_slot_t slot = find_largest_remainder (plan);
      plan->shares[slot].quota++;
      plan->shares[slot].remainder = 0;
    }
  return true;
}

/* Finds the server with the largest remainder; among servers with equal
   remainders, the one that has more buckets, which avoids a move.  */
static gbd_slot_t
find_largest_remainder (const plan_t *plan)
{
  gbd_slot_t best = GBD_SLOT_NONE;
  for (uint32_t i = 0; i < plan->table->backend_count; i++)
    {
      const bucket_share_t *share = &plan->shares[i];
      if (share->remainder == 0)
        continue;
      if (best != GBD_SLOT_NONE)
        {
          const bucket_share_t *other = &plan->shares[best];
          if (share->remainder < other->remainder)
            continue;
          if (share->remainder == other->remainder
              && share->count <= other->count)
            continue;
        }
      best = (gbd_slot_t)i;
    }
  assert (best != GBD_SLOT_NONE);
  return best;
}

static void
assign_unplaced_buckets (plan_t *plan)
{
  const gbd_table_t *table = plan->table;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      gbd_slot_t slot = plan->targets[i];
      if (slot != GBD_SLOT_NONE && plan->weights[slot] > 0)
        continue;
      /* Moving the bucket back to the server of its unregistered flows
         leaves the fewest off-target flows.  */
      gbd_slot_t from = table->buckets[i].from;
      if (from != GBD_SLOT_NONE && plan->weights[from] > 0
          && plan->shares[from].count < plan->shares[from].quota)
        slot = from;
      else
        slot = find_best_receiver (plan, i);
      plan->targets[i] = slot;
      plan->shares[slot].count++;
    }
}

static bool
is_balanced (const plan_t *plan)
{
  for (uint32_t i = 0; i < plan->table->backend_count; i++)
    {
      const bucket_share_t *share = &plan->shares[i];
      uint32_t tolerance = share->quota / QUOTA_TOLERANCE_DIVISOR;
      if (share->count > share->quota + tolerance
          || share->count + tolerance < share->quota)
        return false;
    }
  return true;
}

/* Moves one STABLE bucket for balance.  Returns false when none can be
   moved.  */
static bool
move_bucket (plan_t *plan)
{
  for (;;)
    {
      gbd_slot_t source = find_most_overloaded (plan);
      if (source == GBD_SLOT_NONE)
        return false;
      uint32_t bucket = find_next_movable (plan, source);
      if (bucket == plan->table->bucket_count)
        {
          /* None of the remaining buckets of the source is STABLE, so none can
             be moved.  With its count as quota it is not chosen again.  */
          plan->shares[source].quota = plan->shares[source].count;
          continue;
        }
      gbd_slot_t receiver = find_best_receiver (plan, bucket);
      if (receiver == GBD_SLOT_NONE)
        return false;
      plan->targets[bucket] = receiver;
      plan->shares[source].count--;
      plan->shares[receiver].count++;
      return true;
    }
}

static gbd_slot_t
find_most_overloaded (const plan_t *plan)
{
  gbd_slot_t best = GBD_SLOT_NONE;
  uint32_t best_surplus = 0;
  for (uint32_t i = 0; i < plan->table->backend_count; i++)
    {
      const bucket_share_t *share = &plan->shares[i];
      if (share->count <= share->quota + best_surplus)
        continue;
      best = (gbd_slot_t)i;
      best_surplus = share->count - share->quota;
    }
  return best;
}

static uint32_t
find_next_movable (plan_t *plan, gbd_slot_t source)
{
  const gbd_table_t *table = plan->table;
  bucket_share_t *share = &plan->shares[source];
  for (; share->cursor < table->bucket_count; share->cursor++)
    {
      const gbd_bucket_t *bucket = &table->buckets[share->cursor];
      if (bucket->phase == GBD_BUCKET_STABLE && bucket->to == source
          && plan->targets[share->cursor] == source)
        return share->cursor++;
    }
  return table->bucket_count;
}

/* Finds the server with the highest rendezvous weight among those below their
   quota.  */
static gbd_slot_t
find_best_receiver (const plan_t *plan, uint32_t bucket)
{
  const gbd_table_t *table = plan->table;
  gbd_slot_t best = GBD_SLOT_NONE;
  uint64_t best_rank = 0;
  uint64_t key = gbd_rendezvous_weight (table->service, bucket);
  for (uint32_t i = 0; i < table->backend_count; i++)
    {
      if (plan->shares[i].count >= plan->shares[i].quota)
        continue;
      uint64_t rank = gbd_rendezvous_weight (table->backends[i].id, key);
      if (best != GBD_SLOT_NONE && rank <= best_rank)
        continue;
      best = (gbd_slot_t)i;
      best_rank = rank;
    }
  return best;
}

static uint32_t
count_changes (const plan_t *plan)
{
  uint32_t changes = 0;
  for (uint32_t i = 0; i < plan->table->bucket_count; i++)
    changes += plan->targets[i] != plan->table->buckets[i].to;
  return changes;
}
