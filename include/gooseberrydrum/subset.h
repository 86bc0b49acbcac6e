/** @file subset.h
 *  Deterministic subsetting: which backend servers an instance prefers, so
 * that the instances of a group use all servers evenly without messages.
 *
 *  Load pattern: many instances each see a small part of the flows.  Each
 *  server has free slots as far as an instance knows, so chance fills the
 *  queues of some servers while others have free slots.  An instance that
 * sends most of its flows to few servers knows the load of these.
 *
 *  The ready servers of one service and availability zone are numbered in the
 *  order of their identifiers.  An instance prefers a window of these numbers,
 *  which depends on its rank among the instances of its own zone.  The windows
 *  of a zone's instances start at equal distances, so each server is in nearly
 *  the same number of them.  This applies to the servers of each zone, so
 *  overflow into other zones is spread evenly too.
 *
 *  Instances whose lists or views differ have windows that overlap unevenly
 *  until these agree.
 */
#ifndef GOOSEBERRYDRUM_SUBSET_H
#define GOOSEBERRYDRUM_SUBSET_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/group_view.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Share of the servers in a window, in shares of one instance: each server is
 *  in the windows of two instances, so one that fails or stops leaves no
 * server unused. */
#define GBD_SUBSET_SHARES 2
/** Least size of a window: a flow whose server failed has another one. */
#define GBD_SUBSET_SIZE_MIN 2

/** Position of a backend server among the ready ones of its service and zone.
 *  Zero-initialized: not numbered. */
typedef struct
{
  uint16_t number; /**< from 0, in the order of identifiers */
  uint16_t count;  /**< ready servers of this service and zone; 0: not
                        numbered */
} gbd_subset_position_t;

/** A ready backend server to be numbered. */
typedef struct
{
  gbd_service_id_t service;
  gbd_backend_id_t id;
  gbd_zone_id_t zone;
  uint16_t handle;                /**< of the caller; not used here */
  gbd_subset_position_t position; /**< result */
} gbd_subset_member_t;

/** Number members; sorts them by service, zone and identifier.  Takes
 *  O(count * log (count)) comparisons. */
void gbd_subset_number (gbd_subset_member_t *members, uint32_t count);

/** @return size of a window, at most `count`.
 *  @param count          ready servers of the service in one zone
 *  @param instance_count instances in the zone of this instance, at least 1 */
uint32_t gbd_subset_get_size (uint32_t count, uint32_t instance_count);

/** Whether a view determines windows: this instance is one of several in its
 *  zone, and its rank is valid. */
bool gbd_subset_has_windows (const gbd_group_view_t *group);

/** Whether a backend server is in the window of this instance.  A server that
 *  is not numbered is in none.
 *  @param group a view for which gbd_subset_has_windows() is true */
bool gbd_subset_contains (const gbd_group_view_t *group,
                          const gbd_subset_position_t *position);

/** Estimate the flows that wait at a backend server in the window of this
 *  instance, from those that this instance knows: the other instances whose
 *  windows have the server send it as many.
 *  @param group    a view for which gbd_subset_has_windows() is true
 *  @param position of a server that gbd_subset_contains() */
uint64_t gbd_subset_estimate_pending (const gbd_group_view_t *group,
                                      const gbd_subset_position_t *position,
                                      uint32_t pending_count);

GBD_END_DECLS
#endif
