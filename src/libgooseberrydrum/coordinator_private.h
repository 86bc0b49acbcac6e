/* What the parts of the coordinator share: one step under way.  */
#ifndef GBD_COORDINATOR_PRIVATE_H
#define GBD_COORDINATOR_PRIVATE_H

#include "gooseberrydrum/coordinator.h"

typedef struct
{
  const gbd_table_t *table; /* present version */
  const gbd_coordinator_input_t *input;
  gbd_table_t *next;   /* copy that the step changes */
  uint16_t *weights;   /* one a slot of next */
  gbd_slot_t *targets; /* one a bucket */
  gbd_member_t wanted[GBD_ROSTER_MAX];
  uint8_t wanted_count;
} gbd_draft_t;

/* Confirmation of a member, or NULL.  */
const gbd_confirmation_t *
gbd_confirmation_find (const gbd_coordinator_input_t *input,
                       gbd_instance_id_t id);

/* Whether the roster may be extended at all: GBD_STEP_READY,
   GBD_STEP_UNCONFIRMED or GBD_STEP_NO_MAJORITY.  */
gbd_step_t gbd_draft_check (const gbd_table_t *table,
                            const gbd_coordinator_input_t *input);

/* Set the wanted roster: listed by the platform and heard, in order of id.  */
void gbd_draft_set_wanted (gbd_draft_t *draft);

/* Put the wanted backend servers and their weights into the next version.
   @param has_changed set to whether that changed it
   @return false when memory is short.  */
bool gbd_draft_set_backends (gbd_draft_t *draft, bool *has_changed);

/* Parts of a step, in order.  Each returns GBD_STEP_READY when it changed
   the next version, GBD_STEP_IDLE when it has nothing to do, else what it
   waits for.  */
gbd_step_t gbd_draft_replace_targets (gbd_draft_t *draft);
gbd_step_t gbd_draft_change_roster (gbd_draft_t *draft);
gbd_step_t gbd_draft_finish_moves (gbd_draft_t *draft);
gbd_step_t gbd_draft_balance (gbd_draft_t *draft);

#endif
