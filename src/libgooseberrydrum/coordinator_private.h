/* Draft of the next version of a table, shared by the source files of the
   coordinator.  */
#ifndef LIBGOOSEBERRYDRUM_COORDINATOR_PRIVATE_H
#define LIBGOOSEBERRYDRUM_COORDINATOR_PRIVATE_H

#include "gooseberrydrum/coordinator.h"

typedef struct
{
  const gbd_table_t *table; /* current version */
  const gbd_coordinator_input_t *input;
  gbd_table_t *next;   /* copy that the step changes */
  uint16_t *weights;   /* one per slot of `next` */
  gbd_slot_t *targets; /* desired slot of each bucket */
  gbd_member_t desired[GBD_ROSTER_MAX];
  uint8_t desired_count;
} gbd_draft_t;

/* Find the confirmation of a member.  Returns NULL if the coordinator has
   none from that member.  */
const gbd_confirmation_t *
gbd_confirmation_find (const gbd_coordinator_input_t *input,
                       gbd_instance_id_t id);

/* Check whether a next version may be made now.  Returns
   GBD_STEP_READY, GBD_STEP_UNCONFIRMED or GBD_STEP_NO_MAJORITY.  */
gbd_step_t gbd_draft_check (const gbd_table_t *table,
                            const gbd_coordinator_input_t *input);

/* Set the desired roster: the members that the platform lists and that are
   known not to have failed, sorted by identifier.  */
void gbd_draft_set_desired_members (gbd_draft_t *draft);

/* Enter the desired backend servers and their weights into the next version.
   @param has_changed set to whether the next version changed
   @return false when memory is short.  */
bool gbd_draft_set_backends (gbd_draft_t *draft, bool *has_changed);

/* Stages of a coordinator step, in the order in which they run.  Each returns
   GBD_STEP_READY if it changed the next version, GBD_STEP_IDLE if it has
   nothing to do, or the condition that it waits for.  */
gbd_step_t gbd_draft_replace_targets (gbd_draft_t *draft);
gbd_step_t gbd_draft_change_roster (gbd_draft_t *draft);
gbd_step_t gbd_draft_advance_moves (gbd_draft_t *draft);
gbd_step_t gbd_draft_balance (gbd_draft_t *draft);

#endif
