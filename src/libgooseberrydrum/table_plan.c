/* Targets of all buckets with the fewest moves.

   Each backend server has a quota of whole buckets in proportion to its
   weight.  Buckets without a usable target go to servers below their quota;
   for balance alone, buckets go from servers above their quota to servers
   below it.  Ties fall by rendezvous hash, so that every instance comes to the
   same plan.  */
#include "gooseberrydrum/table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* A table is balanced when each server is within this part of its quota.  */
#define TOLERANCE_DIVISOR 64

typedef struct
{
  uint32_t quota;
  uint32_t count;     /* buckets that aim at the slot */
  uint64_t remainder; /* of the quota's division */
  uint32_t cursor;    /* next bucket looked at for balance */
} share_t;

typedef struct
{
  const gbd_table_t *table;
  const uint16_t *weights;
  gbd_slot_t *targets;
  share_t *shares;
} plan_t;

static void keep_present_targets (plan_t *plan);
static bool set_quotas (plan_t *plan);
static gbd_slot_t next_remainder (const plan_t *plan);
static void place_homeless (plan_t *plan);
static bool is_balanced (const plan_t *plan);
static bool move_one (plan_t *plan);
static gbd_slot_t fullest (const plan_t *plan);
static uint32_t next_movable (plan_t *plan, gbd_slot_t giver);
static gbd_slot_t best_taker (const plan_t *plan, uint32_t bucket);
static uint32_t count_changes (const plan_t *plan);

uint32_t
gbd_table_plan (const gbd_table_t *table, const uint16_t *weights,
                uint32_t move_max, gbd_slot_t *targets)
{
  plan_t plan = { .table = table, .weights = weights, .targets = targets };
  plan.shares = calloc (table->backend_count + 1, sizeof *plan.shares);
  keep_present_targets (&plan);
  if (!plan.shares)
    return 0; /* The present targets are a safe plan.  */
  if (set_quotas (&plan))
    {
      place_homeless (&plan);
      uint32_t budget = is_balanced (&plan) ? 0 : move_max;
      while (budget > 0 && move_one (&plan))
        budget--;
    }
  else
    for (uint32_t i = 0; i < table->bucket_count; i++)
      targets[i] = GBD_SLOT_NONE;
  free (plan.shares);
  return count_changes (&plan);
}

static void
keep_present_targets (plan_t *plan)
{
  for (uint32_t i = 0; i < plan->table->bucket_count; i++)
    plan->targets[i] = plan->table->buckets[i].to;
}

/* Divide the buckets by weight; buckets that are left over after rounding down
   go to the largest remainders.  False when no server has a weight.  */
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
  uint32_t left = table->bucket_count;
  for (uint32_t i = 0; i < table->backend_count; i++)
    {
      uint64_t part = (uint64_t)table->bucket_count * plan->weights[i];
      plan->shares[i].quota = (uint32_t)(part / total);
      plan->shares[i].remainder = part % total;
      left -= plan->shares[i].quota;
    }
  for (; left > 0; left--)
    {
      gbd_slot_t slot = next_remainder (plan);
      plan->shares[slot].quota++;
      plan->shares[slot].remainder = 0;
    }
  return true;
}

/* Largest remainder; among equal ones a server that already holds more, as
   this spares a move.  */
static gbd_slot_t
next_remainder (const plan_t *plan)
{
  gbd_slot_t best = GBD_SLOT_NONE;
  for (uint32_t i = 0; i < plan->table->backend_count; i++)
    {
      const share_t *share = &plan->shares[i];
      if (share->remainder == 0)
        continue;
      if (best != GBD_SLOT_NONE)
        {
          const share_t *other = &plan->shares[best];
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
place_homeless (plan_t *plan)
{
  const gbd_table_t *table = plan->table;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      gbd_slot_t slot = plan->targets[i];
      if (slot != GBD_SLOT_NONE && plan->weights[slot] > 0)
        continue;
      /* Going back to the server of its unregistered flows leaves the fewest
         flows behind.  */
      gbd_slot_t from = table->buckets[i].from;
      if (from != GBD_SLOT_NONE && plan->weights[from] > 0
          && plan->shares[from].count < plan->shares[from].quota)
        slot = from;
      else
        slot = best_taker (plan, i);
      plan->targets[i] = slot;
      plan->shares[slot].count++;
    }
}

static bool
is_balanced (const plan_t *plan)
{
  for (uint32_t i = 0; i < plan->table->backend_count; i++)
    {
      const share_t *share = &plan->shares[i];
      uint32_t tolerance = share->quota / TOLERANCE_DIVISOR;
      if (share->count > share->quota + tolerance
          || share->count + tolerance < share->quota)
        return false;
    }
  return true;
}

/* Move one stable bucket for balance; false when none is left to move.  */
static bool
move_one (plan_t *plan)
{
  for (;;)
    {
      gbd_slot_t giver = fullest (plan);
      if (giver == GBD_SLOT_NONE)
        return false;
      uint32_t bucket = next_movable (plan, giver);
      if (bucket == plan->table->bucket_count)
        {
          /* All that it has is moving already: leave it as it is.  */
          plan->shares[giver].quota = plan->shares[giver].count;
          continue;
        }
      gbd_slot_t taker = best_taker (plan, bucket);
      if (taker == GBD_SLOT_NONE)
        return false;
      plan->targets[bucket] = taker;
      plan->shares[giver].count--;
      plan->shares[taker].count++;
      return true;
    }
}

static gbd_slot_t
fullest (const plan_t *plan)
{
  gbd_slot_t best = GBD_SLOT_NONE;
  uint32_t best_surplus = 0;
  for (uint32_t i = 0; i < plan->table->backend_count; i++)
    {
      const share_t *share = &plan->shares[i];
      if (share->count <= share->quota + best_surplus)
        continue;
      best = (gbd_slot_t)i;
      best_surplus = share->count - share->quota;
    }
  return best;
}

static uint32_t
next_movable (plan_t *plan, gbd_slot_t giver)
{
  const gbd_table_t *table = plan->table;
  share_t *share = &plan->shares[giver];
  for (; share->cursor < table->bucket_count; share->cursor++)
    {
      const gbd_bucket_t *bucket = &table->buckets[share->cursor];
      if (bucket->phase == GBD_BUCKET_STABLE && bucket->to == giver
          && plan->targets[share->cursor] == giver)
        return share->cursor++;
    }
  return table->bucket_count;
}

/* Highest server by rendezvous hash among those below their quota.  */
static gbd_slot_t
best_taker (const plan_t *plan, uint32_t bucket)
{
  const gbd_table_t *table = plan->table;
  gbd_slot_t best = GBD_SLOT_NONE;
  uint64_t best_rank = 0;
  uint64_t key = gbd_rendezvous (table->service, bucket);
  for (uint32_t i = 0; i < table->backend_count; i++)
    {
      if (plan->shares[i].count >= plan->shares[i].quota)
        continue;
      uint64_t rank = gbd_rendezvous (table->backends[i].id, key);
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
