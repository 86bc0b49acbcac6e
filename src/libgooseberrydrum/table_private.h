/* What the table modules share among themselves.  */
#ifndef GBD_TABLE_PRIVATE_H
#define GBD_TABLE_PRIVATE_H

#include "gooseberrydrum/table.h"

void gbd_bucket_set (gbd_bucket_t *bucket, gbd_bucket_phase_t phase,
                     gbd_slot_t from, gbd_slot_t to);

bool gbd_roster_has (const gbd_member_t *members, uint8_t count,
                     gbd_instance_id_t id);

#endif
