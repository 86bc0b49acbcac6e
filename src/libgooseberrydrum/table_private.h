/* Internal functions that the table sources share.  */
#ifndef GBD_TABLE_PRIVATE_H
#define GBD_TABLE_PRIVATE_H

#include "gooseberrydrum/table.h"

/* Allocate a table with zeroed buckets and backend servers.  Returns NULL when
   memory is short.  */
gbd_table_t *gbd_table_allocate (uint32_t bucket_count,
                                 uint32_t backend_count);

/* Change the number of backend servers.  The first servers, up to the new
   number, are kept; entries that are added are zeroed.  Returns false when
   memory is short.  */
bool gbd_table_resize_backends (gbd_table_t *table, uint32_t count);

void gbd_bucket_set (gbd_bucket_t *bucket, gbd_bucket_phase_t phase,
                     gbd_slot_t from, gbd_slot_t to);

bool gbd_roster_has (const gbd_member_t *members, uint8_t count,
                     gbd_instance_id_t id);

/* Whether a table may have this number of buckets.  */
bool gbd_table_is_bucket_count (size_t count);

/* Whether every field is within its bounds and the fields are consistent with
   each other.  Every decoded table is checked with this function.  */
bool gbd_table_is_valid (const gbd_table_t *table);

#endif
