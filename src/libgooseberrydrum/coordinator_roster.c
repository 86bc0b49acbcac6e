/* Members: who must confirm, who is wanted, and the steps from one roster to
   the next.  */
#include "coordinator_private.h"

#include <stdlib.h>
#include <string.h>

#include "table_private.h"

static bool is_silent (const gbd_coordinator_input_t *input,
                       gbd_instance_id_t id);
static bool is_confirmed (const gbd_table_t *table,
                          const gbd_coordinator_input_t *input,
                          gbd_instance_id_t id);
static bool is_listed (const gbd_coordinator_input_t *input,
                       gbd_instance_id_t id);
static bool has_majority (const gbd_table_t *table,
                          const gbd_coordinator_input_t *input);
static bool is_wanted (const gbd_draft_t *draft, const gbd_member_t *member);
static int compare_members (const void *a, const void *b);
static bool is_equal_roster (const gbd_draft_t *draft,
                             const gbd_member_t *members, uint8_t count);
static bool is_next_complete (const gbd_draft_t *draft, bool without_silent);
static gbd_step_t leave_settled (gbd_draft_t *draft);
static gbd_step_t leave_joining (gbd_draft_t *draft);
static bool reopen_settling (gbd_table_t *next);
static void settle (gbd_table_t *next, const gbd_member_t *members,
                    uint8_t count);
static void join (gbd_draft_t *draft);

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
gbd_draft_set_wanted (gbd_draft_t *draft)
{
  const gbd_coordinator_input_t *input = draft->input;
  /* Present members first, in case more are listed than a roster holds.  */
  for (int is_new = 0; is_new < 2; is_new++)
    for (uint8_t i = 0; i < input->member_count; i++)
      {
        const gbd_member_t *member = &input->members[i];
        bool is_present = gbd_table_has_member (draft->table, member->id);
        if (is_present == (bool)is_new || !is_wanted (draft, member)
            || draft->wanted_count == GBD_ROSTER_MAX)
          continue;
        draft->wanted[draft->wanted_count++] = *member;
      }
  qsort (draft->wanted, draft->wanted_count, sizeof *draft->wanted,
         compare_members);
}

gbd_step_t
gbd_draft_change_roster (gbd_draft_t *draft)
{
  gbd_table_t *next = draft->next;
  switch (next->roster_phase)
    {
    case GBD_ROSTER_JOINING:
      return leave_joining (draft);
    case GBD_ROSTER_SWITCHED:
      /* The next keepers answer already; a member lost since is removed by
         another change.  One that is heard again may have registered flows,
         which are copied before the roster drops it.  */
      if (!is_next_complete (draft, true))
        return GBD_STEP_INCOMPLETE;
      settle (next, next->next, next->next_count);
      return GBD_STEP_READY;
    default:
      return leave_settled (draft);
    }
}

static bool
is_silent (const gbd_coordinator_input_t *input, gbd_instance_id_t id)
{
  const gbd_confirmation_t *found = gbd_confirmation_find (input, id);
  return found && found->is_silent;
}

/* A version above the present one shows that another coordinator was first.
 */
static bool
is_confirmed (const gbd_table_t *table, const gbd_coordinator_input_t *input,
              gbd_instance_id_t id)
{
  const gbd_confirmation_t *found = gbd_confirmation_find (input, id);
  return found && (found->is_silent || found->version == table->version);
}

static bool
is_listed (const gbd_coordinator_input_t *input, gbd_instance_id_t id)
{
  for (uint8_t i = 0; i < input->member_count; i++)
    if (input->members[i].id == id)
      return true;
  return false;
}

/* A majority of silent members may be serving among themselves, unless the
   platform has ended them.  */
static bool
has_majority (const gbd_table_t *table, const gbd_coordinator_input_t *input)
{
  unsigned heard = 0;
  bool is_silent_listed = false;
  for (uint8_t i = 0; i < table->roster_count; i++)
    {
      gbd_instance_id_t id = table->roster[i].id;
      if (!is_silent (input, id))
        heard++;
      else if (is_listed (input, id))
        is_silent_listed = true;
    }
  return 2 * heard > table->roster_count || !is_silent_listed;
}

static bool
is_wanted (const gbd_draft_t *draft, const gbd_member_t *member)
{
  const gbd_confirmation_t *found
      = gbd_confirmation_find (draft->input, member->id);
  return found && !found->is_silent
         && !gbd_roster_has (draft->wanted, draft->wanted_count, member->id);
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
  if (count != draft->wanted_count)
    return false;
  for (uint8_t i = 0; i < count; i++)
    if (!gbd_roster_has (draft->wanted, draft->wanted_count, members[i].id))
      return false;
  return true;
}

static bool
is_next_complete (const gbd_draft_t *draft, bool without_silent)
{
  const gbd_table_t *next = draft->next;
  for (uint8_t i = 0; i < next->next_count; i++)
    {
      const gbd_confirmation_t *found
          = gbd_confirmation_find (draft->input, next->next[i].id);
      if (without_silent && found && found->is_silent)
        continue;
      if (!found || found->complete < next->version)
        return false;
    }
  return true;
}

static gbd_step_t
leave_settled (gbd_draft_t *draft)
{
  gbd_table_t *next = draft->next;
  if (draft->wanted_count == 0)
    return GBD_STEP_NO_MEMBER;
  if (is_equal_roster (draft, next->roster, next->roster_count))
    return GBD_STEP_IDLE;
  if (!reopen_settling (next))
    join (draft);
  return GBD_STEP_READY;
}

/* While the old keepers are asked, the change may still be called off or aim
   at other members.  */
static gbd_step_t
leave_joining (gbd_draft_t *draft)
{
  gbd_table_t *next = draft->next;
  if (draft->wanted_count == 0)
    return GBD_STEP_NO_MEMBER;
  if (is_equal_roster (draft, next->roster, next->roster_count))
    settle (next, next->roster, next->roster_count);
  else if (!is_equal_roster (draft, next->next, next->next_count))
    join (draft);
  else if (is_next_complete (draft, false))
    next->roster_phase = GBD_ROSTER_SWITCHED;
  else
    return GBD_STEP_INCOMPLETE;
  return GBD_STEP_READY;
}

/* Flows were told to the present roster only: tell them anew after the
   change.  */
static bool
reopen_settling (gbd_table_t *next)
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
settle (gbd_table_t *next, const gbd_member_t *members, uint8_t count)
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
join (gbd_draft_t *draft)
{
  gbd_table_t *next = draft->next;
  memcpy (next->next, draft->wanted, sizeof next->next);
  next->next_count = draft->wanted_count;
  next->roster_phase = GBD_ROSTER_JOINING;
}
