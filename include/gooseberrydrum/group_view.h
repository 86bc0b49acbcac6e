/** @file group_view.h
 *  What an instance knows about the other instances of its group.
 *
 *  The view is advice: it may be some seconds old, and instances may have
 *  different views.  It may improve how work is spread, but no guarantee may
 *  depend on it.
 */
#ifndef GOOSEBERRYDRUM_GROUP_VIEW_H
#define GOOSEBERRYDRUM_GROUP_VIEW_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Zero-initialized: not known. */
typedef struct
{
  uint32_t total;      /**< instances of the group, including this one; 0: not
                            known */
  uint32_t zone_count; /**< those in the availability zone of this instance */
  uint32_t zone_rank;  /**< position of this instance among these, from 0 */
} gbd_group_view_t;

GBD_END_DECLS
#endif
