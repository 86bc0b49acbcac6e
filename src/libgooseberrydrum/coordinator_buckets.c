/* Steps of the coordinator that change backend servers and bucket phases in
   the next version of a table.  */
#include "coordinator_private.h"

#include <stdlib.h>
#include <string.h>

#include "table_private.h"

static bool allocate_weights (gbd_draft_t *draft);
static bool mark_gone_backends (gbd_draft_t *draft);
static bool update_backend (gbd_draft_t *draft, const gbd_backend_t *desired,
                            uint16_t weight);
static gbd_slot_t allocate_slot (gbd_draft_t *draft);
static bool is_slot_free (const gbd_table_t *table, gbd_slot_t slot);
static bool is_slot_new (const gbd_draft_t *draft, gbd_slot_t slot);
static bool replace_target (gbd_bucket_t *bucket, gbd_slot_t target,
                            bool is_new, bool is_announcement_over);
static bool is_bucket_announcement_over (const gbd_draft_t *draft,
                                         uint32_t index);
static bool requires_loss_free_caches (const gbd_bucket_t *bucket);
static bool is_roster_complete (const gbd_draft_t *draft);

bool
gbd_draft_set_backends (gbd_draft_t *draft, bool *has_changed)
{
  const gbd_coordinator_input_t *input = draft->input;
  if (!allocate_weights (draft))
    return false;
  *has_changed = mark_gone_backends (draft);
  for (uint32_t i = 0; i < input->backend_count; i++)
    if (update_backend (draft, &input->backends[i], input->weights[i]))
      *has_changed = true;
  return true;
}

gbd_step_t
gbd_draft_replace_targets (gbd_draft_t *draft)
{
  gbd_table_t *next = draft->next;
  bool has_changed = false;
  gbd_table_plan (next, draft->weights, 0, draft->targets);
  for (uint32_t i = 0; i < next->bucket_count; i++)
    {
      bool is_announcement_over = is_bucket_announcement_over (draft, i);
      bool is_new = is_slot_new (draft, draft->targets[i]);
      if (replace_target (&next->buckets[i], draft->targets[i], is_new,
                          is_announcement_over))
        has_changed = true;
    }
  return has_changed ? GBD_STEP_READY : GBD_STEP_IDLE;
}

gbd_step_t
gbd_draft_advance_moves (gbd_draft_t *draft)
{
  gbd_table_t *next = draft->next;
  bool is_complete = is_roster_complete (draft);
  gbd_step_t step = GBD_STEP_IDLE;
  bool has_changed = false;
  for (uint32_t i = 0; i < next->bucket_count; i++)
    {
      gbd_bucket_t *bucket = &next->buckets[i];
      bool is_loss_free
          = draft->input->is_loss_free || !requires_loss_free_caches (bucket);
      uint8_t phase = bucket->phase;
      if (phase == GBD_BUCKET_INVERTED)
        gbd_bucket_set (bucket, GBD_BUCKET_STABLE, bucket->to, bucket->to);
      else if (phase == GBD_BUCKET_SETTLING && !is_loss_free)
        bucket->phase = GBD_BUCKET_ACTIVE;
      else if (phase == GBD_BUCKET_SETTLING && is_complete)
        bucket->phase = GBD_BUCKET_INVERTED;
      else if (phase == GBD_BUCKET_SETTLING)
        step = GBD_STEP_INCOMPLETE;
      else if (phase == GBD_BUCKET_ACTIVE && bucket->to != GBD_SLOT_NONE)
        {
          if (is_loss_free)
            bucket->phase = GBD_BUCKET_SETTLING;
          else if (step == GBD_STEP_IDLE)
            step = GBD_STEP_FLOWS_LOST;
        }
      has_changed = has_changed || bucket->phase != phase;
    }
  return has_changed ? GBD_STEP_READY : step;
}

gbd_step_t
gbd_draft_balance (gbd_draft_t *draft)
{
  gbd_table_t *next = draft->next;
  gbd_step_t step = GBD_STEP_IDLE;
  gbd_table_plan (next, draft->weights, draft->input->move_max,
                  draft->targets);
  for (uint32_t i = 0; i < next->bucket_count; i++)
    {
      gbd_bucket_t *bucket = &next->buckets[i];
      if (bucket->phase != GBD_BUCKET_STABLE
          || bucket->to == draft->targets[i])
        continue;
      gbd_bucket_set (bucket, GBD_BUCKET_ANNOUNCED, bucket->from,
                      draft->targets[i]);
      step = GBD_STEP_READY;
    }
  return step;
}

/* Allocate one weight per slot, including the slots that new backend servers
   may need.  */
static bool
allocate_weights (gbd_draft_t *draft)
{
  size_t count
      = (size_t)draft->table->backend_count + draft->input->backend_count + 1;
  draft->weights = calloc (count, sizeof *draft->weights);
  return draft->weights != NULL;
}

/* Set the state of each backend server that the platform no longer lists to
   GONE.  Returns whether the next version changed.  */
static bool
mark_gone_backends (gbd_draft_t *draft)
{
  const gbd_coordinator_input_t *input = draft->input;
  bool has_changed = false;
  for (uint32_t i = 0; i < draft->next->backend_count; i++)
    {
      gbd_backend_t *backend = &draft->next->backends[i];
      bool is_listed = false;
      for (uint32_t j = 0; j < input->backend_count && !is_listed; j++)
        is_listed = input->backends[j].id == backend->id;
      if (is_listed || backend->state == GBD_BACKEND_GONE)
        continue;
      backend->state = GBD_BACKEND_GONE;
      has_changed = true;
    }
  return has_changed;
}

/* Enter one desired backend server and its weight into the next version.
   Returns whether the next version changed.  */
static bool
update_backend (gbd_draft_t *draft, const gbd_backend_t *desired,
                uint16_t weight)
{
  gbd_slot_t slot = gbd_table_find_backend (draft->next, desired->id);
  bool is_new = slot == GBD_SLOT_NONE;
  if (is_new && desired->state == GBD_BACKEND_GONE)
    return false;
  if (is_new)
    slot = allocate_slot (draft);
  if (slot == GBD_SLOT_NONE)
    return false;

  gbd_backend_t *backend = &draft->next->backends[slot];
  bool has_changed = is_new || backend->state != desired->state;
  if (is_new)
    *backend = *desired;
  backend->state = desired->state;
  draft->weights[slot] = desired->state == GBD_BACKEND_READY ? weight : 0;
  return has_changed;
}

/* Allocate a slot for a new backend server.  Returns GBD_SLOT_NONE if no slot
   is free or memory is short; a later step tries again.  */
static gbd_slot_t
allocate_slot (gbd_draft_t *draft)
{
  const gbd_table_t *table = draft->table;
  for (uint32_t i = 0; i < table->backend_count; i++)
    if (draft->next->backends[i].id == table->backends[i].id
        && is_slot_free (table, (gbd_slot_t)i))
      return (gbd_slot_t)i;
  uint32_t count = draft->next->backend_count;
  if (count == GBD_BACKENDS_MAX
      || !gbd_table_resize_backends (draft->next, count + 1))
    return GBD_SLOT_NONE;
  return (gbd_slot_t)count;
}

/* Whether a slot can be reused: its backend server is GONE, every bucket is
   STABLE, and no bucket is on the slot.  Registrations can refer to a slot
   only while buckets move.  All members have confirmed the version in which
   the backend server is GONE, and drop the flows and exceptions that refer to
   the slot once it has another backend server.  */
static bool
is_slot_free (const gbd_table_t *table, gbd_slot_t slot)
{
  if (table->backends[slot].state != GBD_BACKEND_GONE)
    return false;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    if (table->buckets[i].phase != GBD_BUCKET_STABLE
        || table->buckets[i].to == slot)
      return false;
  return true;
}

/* Whether a slot has another backend server in the next version than in the
   current one, so that instances cannot send flows to that server yet.  */
static bool
is_slot_new (const gbd_draft_t *draft, gbd_slot_t slot)
{
  const gbd_table_t *table = draft->table;
  if (slot == GBD_SLOT_NONE)
    return false;
  return slot >= table->backend_count
         || table->backends[slot].id != draft->next->backends[slot].id;
}

/* Whether the announcement period of a bucket is over.  If the bucket's old
   server is GONE, no time needs to pass, because retransmitted opening packets
   cannot reach that server.  */
static bool
is_bucket_announcement_over (const gbd_draft_t *draft, uint32_t index)
{
  const gbd_bucket_t *bucket = &draft->next->buckets[index];
  bool is_gone
      = bucket->from == GBD_SLOT_NONE
        || draft->next->backends[bucket->from].state == GBD_BACKEND_GONE;
  return is_gone || !draft->input->is_announcement_over
         || draft->input->is_announcement_over[index];
}

/* Make one step of a bucket towards its target.  New flows open on a new slot
   only once every instance has the version that adds the slot.  Returns
   whether the bucket changed.  */
static bool
replace_target (gbd_bucket_t *bucket, gbd_slot_t target, bool is_new,
                bool is_announcement_over)
{
  bool is_unchanged = target == bucket->to;
  switch (bucket->phase)
    {
    case GBD_BUCKET_STABLE:
      if (is_unchanged)
        return false;
      gbd_bucket_set (bucket, GBD_BUCKET_ANNOUNCED, bucket->from, target);
      return true;
    case GBD_BUCKET_ANNOUNCED:
      if (is_unchanged && !is_announcement_over)
        return false;
      /* No flow has opened on the target of a bucket that is still ANNOUNCED,
         so the target can be replaced or withdrawn.  */
      if (is_unchanged)
        bucket->phase = GBD_BUCKET_ACTIVE;
      else if (target == bucket->from)
        gbd_bucket_set (bucket, GBD_BUCKET_STABLE, target, target);
      else
        bucket->to = target;
      return true;
    case GBD_BUCKET_INVERTED:
      if (is_unchanged)
        return false;
      gbd_bucket_set (bucket, GBD_BUCKET_STABLE, bucket->to, bucket->to);
      return true;
    default:
      if (is_unchanged || is_new)
        return false;
      gbd_bucket_set (bucket, GBD_BUCKET_ACTIVE, bucket->from, target);
      return true;
    }
}

/* Whether a bucket may become SETTLING only when the flow caches hold all its
   open flows.  This includes a bucket whose old server is GONE: the flows of
   that server must be known, to be reset and not sent to another server.  */
static bool
requires_loss_free_caches (const gbd_bucket_t *bucket)
{
  return bucket->from != GBD_SLOT_NONE;
}

static bool
is_roster_complete (const gbd_draft_t *draft)
{
  const gbd_table_t *next = draft->next;
  for (uint8_t i = 0; i < next->roster_count; i++)
    {
      const gbd_confirmation_t *found
          = gbd_confirmation_find (draft->input, next->roster[i].id);
      if (!found || found->is_failed || found->complete < next->version)
        return false;
    }
  return true;
}
