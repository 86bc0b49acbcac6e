/** @file position.h
 *  Position in the history of the platform's store: era and revision.
 *
 *  The store may be restored from an older copy.  Its revisions then go back
 *  and are given out again, and its era rises by one.  A position combines the
 *  two in one number that only rises, so that positions of different eras can
 *  be compared, stored and sent like revisions.  Without an era, a position is
 *  the revision.
 */
#ifndef GOOSEBERRYDRUM_POSITION_H
#define GOOSEBERRYDRUM_POSITION_H

#include <stdint.h>

#include "gooseberrydrum/decls.h"

GBD_BEGIN_DECLS

/** Bits of the revision.  JSON integers have 63 bits, which leaves 20 for the
 *  era. */
#define GBD_POSITION_REVISION_BITS 43
#define GBD_POSITION_ERA_MAX ((1u << 20) - 1)
#define GBD_POSITION_REVISION_MAX                                             \
  (((uint64_t)1 << GBD_POSITION_REVISION_BITS) - 1)

/** Combine an era and a revision; values over the limits above are reduced to
 *  them. */
uint64_t gbd_position_make (uint64_t era, uint64_t revision);
uint32_t gbd_position_get_era (uint64_t position);
uint64_t gbd_position_get_revision (uint64_t position);

GBD_END_DECLS
#endif
