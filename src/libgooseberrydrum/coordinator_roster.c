/* Steps of the coordinator that depend on the members: the confirmations that
   a next version requires, the desired roster, and roster changes.  */
#include "coordinator_private.h"

#include <stdlib.h>
#include <string.h>

#include "table_private.h"

static bool is_failed (const gbd_coordinator_input_t *input,
                       gbd_instance_id_t id);
static bool is_confirmed (const gbd_table_t *table,
                          const gbd_coordinator_input_t *input,
                          gbd_instance_id_t id);
static bool is_listed (const gbd_coordinator_input_t *input,
                       gbd_instance_id_t id);
static bool has_majority (const gbd_table_t *table,
                          const gbd_coordinator_input_t *input);
static bool is_desired (const gbd_draft_t *draft, const gbd_member_t *member);
static int compare_members (const void *a, const void *b);
static bool is_equal_roster (const gbd_draft_t *draft,
                             const gbd_member_t *members, uint8_t count);
static bool is_next_complete (const gbd_draft_t *draft, bool ignores_failed);
static gbd_step_t step_from_settled (gbd_draft_t *draft);
static gbd_step_t step_from_joining (gbd_draft_t *draft);
static bool revert_settling (gbd_table_t *next);
static void finish_roster_change (gbd_table_t *next,
                                  const gbd_member_t *members, uint8_t count);
static void start_roster_change (gbd_draft_t *draft);

const gbd_confirmation_t *
gbd_confirmation_find (const gbd_coordinator_input_t *input,
                       gbd_instance_id_t id)
{
  for (uint8_t i = 0; i < input->confirmation_count; i++)
    if (input->confirmations[i].id == id)
      return &input->confirmations[i];
  return NULL;
}

gbd_step_t
gbd_draft_check (const gbd_table_t *table,
                 const gbd_coordinator_input_t *input)
{
  if (!has_majority (table, input))
    return GBD_STEP_NO_MAJORITY;
  for (uint8_t i = 0; i < table->roster_count; i++)
    if (!is_confirmed (table, input, table->roster[i].id))
      return GBD_STEP_UNCONFIRMED;
  for (uint8_t i = 0; i < table->next_count; i++)
    if (!is_confirmed (table, input, table->next[i].id))
      return GBD_STEP_UNCONFIRMED;
  return GBD_STEP_READY;
}

void
gbd_draft_set_desired_members (gbd_draft_t *draft)
{
  const gbd_coordinator_input_t *input = draft->input;
  /* Current members come first, in case the platform lists more members than
     fit in a roster.  */
  for (int is_new = 0; is_new < 2; is_new++)
    for (uint8_t i = 0; i < input->member_count; i++)
      {
        const gbd_member_t *member = &input->members[i];
        bool is_current = gbd_table_has_member (draft->table, member->id);
        if (is_current == (bool)is_new || !is_desired (draft, member)
            || draft->desired_count == GBD_ROSTER_MAX)
          continue;
        draft->desired[draft->desired_count++] = *member;
      }
  qsort (draft->desired, draft->desired_count, sizeof *draft->desired,
         compare_members);
}

gbd_step_t
gbd_draft_change_roster (gbd_draft_t *draft)
{
  gbd_table_t *next = draft->next;
  switch (next->roster_phase)
    {
    case GBD_ROSTER_JOINING:
      return step_from_joining (draft);
    case GBD_ROSTER_SWITCHED:
      /* The replicas of the next roster already respond to lookups, so the
         change is finished even if one of its members has failed; a later
         change removes that member.  A member that is reachable again may have
         registered flows; these are copied before it leaves the roster.  */
      if (!is_next_complete (draft, true))
        return GBD_STEP_INCOMPLETE;
      finish_roster_change (next, next->next, next->next_count);
      return GBD_STEP_READY;
    default:
      return step_from_settled (draft);
    }
}

static bool
is_failed (const gbd_coordinator_input_t *input, gbd_instance_id_t id)
{
  const gbd_confirmation_t *found = gbd_confirmation_find (input, id);
  return found && found->is_failed;
}

/* Whether a member has failed or has confirmed exactly the current version.
   If a member has a newer version, another coordinator has already written the
   next one, so this coordinator must not make a step.  */
static bool
is_confirmed (const gbd_table_t *table, const gbd_coordinator_input_t *input,
              gbd_instance_id_t id)
{
  const gbd_confirmation_t *found = gbd_confirmation_find (input, id);
  return found && (found->is_failed || found->version == table->version);
}

static bool
is_listed (const gbd_coordinator_input_t *input, gbd_instance_id_t id)
{
  for (uint8_t i = 0; i < input->member_count; i++)
    if (input->members[i].id == id)
      return true;
  return false;
}

/* Whether more than half of the roster's members have not failed, or the
   platform no longer lists any of the failed ones.  Otherwise the failed
   members may still route packets on the other side of a partition.  */
static bool
has_majority (const gbd_table_t *table, const gbd_coordinator_input_t *input)
{
  unsigned alive_count = 0;
  bool has_listed_failure = false;
  for (uint8_t i = 0; i < table->roster_count; i++)
    {
      gbd_instance_id_t id = table->roster[i].id;
      if (!is_failed (input, id))
        alive_count++;
      else if (is_listed (input, id))
        has_listed_failure = true;
    }
  return 2 * alive_count > table->roster_count || !has_listed_failure;
}

static bool
is_desired (const gbd_draft_t *draft, const gbd_member_t *member)
{
  const gbd_confirmation_t *found
      = gbd_confirmation_find (draft->input, member->id);
  return found && !found->is_failed
         && !gbd_roster_has (draft->desired, draft->desired_count, member->id);
}

static int
compare_members (const void *a, const void *b)
{
  const gbd_member_t *x = a;
  const gbd_member_t *y = b;
  return (x->id > y->id) - (x->id < y->id);
}

static bool
is_equal_roster (const gbd_draft_t *draft, const gbd_member_t *members,
                 uint8_t count)
{
  if (count != draft->desired_count)
    return false;
  for (uint8_t i = 0; i < count; i++)
    if (!gbd_roster_has (draft->desired, draft->desired_count, members[i].id))
      return false;
  return true;
}

static bool
is_next_complete (const gbd_draft_t *draft, bool ignores_failed)
{
  const gbd_table_t *next = draft->next;
  for (uint8_t i = 0; i < next->next_count; i++)
    {
      const gbd_confirmation_t *found
          = gbd_confirmation_find (draft->input, next->next[i].id);
      if (ignores_failed && found && found->is_failed)
        continue;
      if (!found || found->complete < next->version)
        return false;
    }
  return true;
}

static gbd_step_t
step_from_settled (gbd_draft_t *draft)
{
  gbd_table_t *next = draft->next;
  if (draft->desired_count == 0)
    return GBD_STEP_NO_MEMBER;
  if (is_equal_roster (draft, next->roster, next->roster_count))
    return GBD_STEP_IDLE;
  if (!revert_settling (next))
    start_roster_change (draft);
  return GBD_STEP_READY;
}

/* Make one step of a roster change that is JOINING.  Lookups still go to the
   replicas of the current roster, so the change can be cancelled, or another
   next roster chosen.  */
static gbd_step_t
step_from_joining (gbd_draft_t *draft)
{
  gbd_table_t *next = draft->next;
  if (draft->desired_count == 0)
    return GBD_STEP_NO_MEMBER;
  if (is_equal_roster (draft, next->roster, next->roster_count))
    finish_roster_change (next, next->roster, next->roster_count);
  else if (!is_equal_roster (draft, next->next, next->next_count))
    start_roster_change (draft);
  else if (is_next_complete (draft, false))
    next->roster_phase = GBD_ROSTER_SWITCHED;
  else
    return GBD_STEP_INCOMPLETE;
  return GBD_STEP_READY;
}

/* Set SETTLING buckets back to ACTIVE before a roster change.  The off-target
   flows of these buckets were sent to the current roster only; they are sent
   again after the change.  Returns whether a bucket was set back.  */
static bool
revert_settling (gbd_table_t *next)
{
  bool has_changed = false;
  for (uint32_t i = 0; i < next->bucket_count; i++)
    if (next->buckets[i].phase == GBD_BUCKET_SETTLING)
      {
        next->buckets[i].phase = GBD_BUCKET_ACTIVE;
        has_changed = true;
      }
  return has_changed;
}

static void
finish_roster_change (gbd_table_t *next, const gbd_member_t *members,
                      uint8_t count)
{
  gbd_member_t roster[GBD_ROSTER_MAX] = { 0 };
  memcpy (roster, members, count * sizeof *members);
  memcpy (next->roster, roster, sizeof roster);
  memset (next->next, 0, sizeof next->next);
  next->roster_count = count;
  next->next_count = 0;
  next->roster_phase = GBD_ROSTER_SETTLED;
}

static void
start_roster_change (gbd_draft_t *draft)
{
  gbd_table_t *next = draft->next;
  memcpy (next->next, draft->desired, sizeof next->next);
  next->next_count = draft->desired_count;
  next->roster_phase = GBD_ROSTER_JOINING;
}
