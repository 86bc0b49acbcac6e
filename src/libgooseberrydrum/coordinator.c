#include "coordinator_private.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "table_private.h"

const char *const gbd_step_strings[GBD_STEP_COUNT] = {
  "a next version was made",
  "the table is in its desired state",
  "a member has not confirmed the current version; see its peers in `status`",
  "a member is still copying registrations or exceptions",
  "moving buckets wait for the idle limit to pass without a loss of flows",
  "half the roster or more has failed; restore links or delete dead instances",
  "no instance is live; start one",
  "memory is short; raise the memory limit",
  "buckets are announced until callers no longer retransmit opening packets",
};

static gbd_step_t make_first_version (const gbd_coordinator_input_t *input,
                                      gbd_table_t **next);
static gbd_step_t make_next_version (gbd_draft_t *draft);
static gbd_step_t run_stages (gbd_draft_t *draft, bool has_new_backends);
static bool has_announced_bucket (const gbd_table_t *next);
static bool init_draft (gbd_draft_t *draft, const gbd_table_t *table,
                        const gbd_coordinator_input_t *input);
static void clear_draft (gbd_draft_t *draft);
static void set_generation (gbd_draft_t *draft);

gbd_step_t
gbd_coordinator_step (const gbd_table_t *table,
                      const gbd_coordinator_input_t *input, gbd_table_t **next)
{
  *next = NULL;
  if (!table)
    return make_first_version (input, next);
  gbd_step_t step = gbd_draft_check (table, input);
  if (step != GBD_STEP_READY)
    return step;

  gbd_draft_t draft;
  step = GBD_STEP_NO_MEMORY;
  if (init_draft (&draft, table, input))
    step = make_next_version (&draft);
  if (step == GBD_STEP_READY)
    {
      draft.next->version = table->version + 1;
      set_generation (&draft);
      *next = draft.next;
      draft.next = NULL;
    }
  clear_draft (&draft);
  return step;
}

/* Make the first table of a service.  The service has no flows yet, so all
   buckets are STABLE at once.  */
static gbd_step_t
make_first_version (const gbd_coordinator_input_t *input, gbd_table_t **next)
{
  gbd_table_t *empty
      = gbd_table_new (input->service, input->bucket_count, NULL, 0, NULL, 0);
  gbd_draft_t draft;
  bool has_backends;
  gbd_step_t step = GBD_STEP_NO_MEMORY;
  if (!empty)
    return step;
  if (!init_draft (&draft, empty, input)
      || !gbd_draft_set_backends (&draft, &has_backends))
    goto end;
  gbd_draft_set_desired_members (&draft);
  step = GBD_STEP_NO_MEMBER;
  if (draft.desired_count == 0)
    goto end;

  gbd_table_plan (draft.next, draft.weights, 0, draft.targets);
  for (uint32_t i = 0; i < empty->bucket_count; i++)
    gbd_bucket_set (&draft.next->buckets[i], GBD_BUCKET_STABLE,
                    draft.targets[i], draft.targets[i]);
  memcpy (draft.next->roster, draft.desired, sizeof draft.desired);
  draft.next->roster_count = draft.desired_count;
  set_generation (&draft);
  *next = draft.next;
  draft.next = NULL;
  step = GBD_STEP_READY;

end:
  clear_draft (&draft);
  gbd_table_delete (empty);
  return step;
}

static gbd_step_t
make_next_version (gbd_draft_t *draft)
{
  bool has_new_backends;
  gbd_draft_set_desired_members (draft);
  if (!gbd_draft_set_backends (draft, &has_new_backends))
    return GBD_STEP_NO_MEMORY;
  return run_stages (draft, has_new_backends);
}

static gbd_step_t
run_stages (gbd_draft_t *draft, bool has_new_backends)
{
  gbd_step_t step = gbd_draft_replace_targets (draft);
  if (step != GBD_STEP_IDLE || has_new_backends)
    return GBD_STEP_READY;
  /* While a bucket is ANNOUNCED, no stage below runs: a roster change or
     another bucket step may have to wait for the failure time-out, which would
     delay the draining of the bucket's old server.  */
  if (has_announced_bucket (draft->next))
    return GBD_STEP_ANNOUNCED;
  step = gbd_draft_change_roster (draft);
  if (step != GBD_STEP_IDLE)
    return step;
  step = gbd_draft_advance_moves (draft);
  if (step == GBD_STEP_READY || step == GBD_STEP_INCOMPLETE)
    return step;
  if (gbd_draft_balance (draft) == GBD_STEP_READY)
    return GBD_STEP_READY;
  return step;
}

static bool
has_announced_bucket (const gbd_table_t *next)
{
  for (uint32_t i = 0; i < next->bucket_count; i++)
    if (next->buckets[i].phase == GBD_BUCKET_ANNOUNCED)
      return true;
  return false;
}

static bool
init_draft (gbd_draft_t *draft, const gbd_table_t *table,
            const gbd_coordinator_input_t *input)
{
  memset (draft, 0, sizeof *draft);
  draft->table = table;
  draft->input = input;
  draft->next = gbd_table_copy (table);
  draft->targets = malloc (table->bucket_count * sizeof *draft->targets);
  return draft->next && draft->targets;
}

static void
clear_draft (gbd_draft_t *draft)
{
  gbd_table_delete (draft->next);
  free (draft->weights);
  free (draft->targets);
}

static void
set_generation (gbd_draft_t *draft)
{
  if (draft->input->generation > draft->next->generation)
    draft->next->generation = draft->input->generation;
}
