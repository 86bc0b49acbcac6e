/** @file evacuations.h
 *  Availability zones that the operator has evacuated: no new flow goes to
 *  their backend servers.
 *
 *  Load pattern: a zone is emptied within seconds while callers go on opening
 *  flows, and the other zones take the load.
 *
 *  The set comes as a whole, from the platform or from another instance, with
 *  the position of the store (position.h) at which it was read.  A set with a
 *  lower position than the present one is ignored.  After the store was
 *  restored from an older copy, a zone whose entry is missing stays evacuated
 *  for GBD_POOL_REMOVAL_GRACE, in which the operator's entries are written
 *  again.  An instance that starts cannot know whether the store was restored
 *  just before: for the same time after its first set, a zone that is in any
 *  set that it receives stays evacuated.
 */
#ifndef GOOSEBERRYDRUM_EVACUATIONS_H
#define GOOSEBERRYDRUM_EVACUATIONS_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

#define GBD_EVACUATIONS_MAX 64 /**< zones in a set */

/** One evacuated zone. */
typedef struct
{
  char name[GBD_NAME_MAX + 1];
  gbd_zone_id_t zone;
  gbd_time_t removal_due; /**< end of the grace period of a missing entry;
                               GBD_TIME_NEVER: the entry exists */
} gbd_evacuation_t;

/** Zero-initialized: not known, and no zone is evacuated. */
typedef struct
{
  bool is_known;        /**< a set was received */
  uint64_t position;    /**< of the last set that was applied */
  gbd_time_t grace_end; /**< end of the grace period after the first set or a
                             restore of the store */
  uint32_t count;
  gbd_evacuation_t zones[GBD_EVACUATIONS_MAX]; /**< the first `count` */
} gbd_evacuations_t;

/** Apply a whole set.
 *  @param position of the store at which the set was read
 *  @param names    zones of the set; repeated ones count once
 *  @return GBD_ERROR_STALE if the position is lower than that of the present
 *  set, to which zones are then only added, until the grace period ends;
 * GBD_ERROR_FORMAT if names that are empty or longer than GBD_NAME_MAX, or
 * GBD_ERROR_MEMORY if zones beyond GBD_EVACUATIONS_MAX, were left out; the
 * others are applied. */
gbd_status_t gbd_evacuations_update (gbd_evacuations_t *evacuations,
                                     uint64_t position,
                                     const char *const *names, uint32_t count,
                                     gbd_time_t now);

/** End the evacuation of zones whose grace period is over; call about ten
 *  times a second. */
void gbd_evacuations_tick (gbd_evacuations_t *evacuations, gbd_time_t now);

/** Whether a zone is evacuated.
 *  @param evacuations NULL: none is */
bool gbd_evacuations_contain (const gbd_evacuations_t *evacuations,
                              gbd_zone_id_t zone);

/** Whether two sets contain the same zones, regardless of their positions. */
bool gbd_evacuations_are_equal (const gbd_evacuations_t *a,
                                const gbd_evacuations_t *b);

GBD_END_DECLS
#endif
