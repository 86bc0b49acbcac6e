/** @file members.h
 *  Instances of a group, as a relay counts them by the requests of its readers
 *  and by what the other relays (its peers) report about theirs.
 *
 *  A member is identified by its address, so one that moves from one relay to
 *  another is counted once.  Its rank is its position in the order of the
 *  addresses: relays with the same members give the same ranks, and the ranks
 *  of a zone are distinct and dense.
 *
 *  Load pattern: groups of 6 to 300 instances; each makes about one request a
 *  second to one of up to three relays.  A view takes time linear in the
 * number of members, and there is one view for each response.
 *
 *  Times are microseconds of the caller's monotonic clock.
 */
#ifndef GOOSEBERRYDRUM_MEMBERS_H
#define GOOSEBERRYDRUM_MEMBERS_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/group_view.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Largest number of members; bounds the memory to about half a megabyte.
 *  Further instances are not counted. */
#define GBD_MEMBERS_MAX 4096
#define GBD_MEMBERS_PEERS_MAX 8
/** Time for which a member is counted after its last request; readers make a
 *  request at least every 1.5 s, and every 2 s while they back off. */
#define GBD_MEMBERS_VALIDITY (5 * GBD_SECOND)
/** Time after a start in which the members may not all be known, and longest
 *  time since the last response of a peer in a complete view. */
#define GBD_MEMBERS_SETTLING (3 * GBD_SECOND)
/** Silence of a peer after which its readers have moved to other relays. */
#define GBD_MEMBERS_PEER_SILENCE (10 * GBD_SECOND)
/** Silence of a peer after which it is left out even if none of its readers
 *  was seen elsewhere: they may have been stopped together with it. */
#define GBD_MEMBERS_PEER_SILENCE_MAX (60 * GBD_SECOND)
/** Time for which the last complete view is kept. */
#define GBD_MEMBERS_VIEW_RETENTION (10 * GBD_SECOND)

/** A member, as relays report it to each other. */
typedef struct
{
  gbd_address_t address;
  char zone[GBD_NAME_MAX + 1]; /**< "" if it has not named its zone */
  gbd_time_t age;              /**< time since its last request */
} gbd_group_member_t;

/** Table of the members that one relay knows. */
typedef struct gbd_members gbd_members_t;

/** @param self        address of this relay, which is a member itself
 *  @param zone        its zone
 *  @param peer_count  number of other configured relays, at most
 *                     GBD_MEMBERS_PEERS_MAX
 *  @return NULL if memory is exhausted or there are too many peers */
gbd_members_t *gbd_members_new (const gbd_address_t *self, const char *zone,
                                uint32_t peer_count, gbd_time_t now);
void gbd_members_delete (gbd_members_t *members);

/** Record that the process runs again after a pause, in which it has missed
 *  requests and responses.  The view is incomplete as after a start. */
void gbd_members_resume (gbd_members_t *members, gbd_time_t now);

/** Record a request of a reader of this relay.
 *  @return GBD_ERROR_MEMORY if the table is full or memory is exhausted;
 *  GBD_ERROR_RANGE for a zone name that is too long. */
gbd_status_t gbd_members_record (gbd_members_t *members,
                                 const gbd_address_t *address,
                                 const char *zone, gbd_time_t now);

/** Record a response of a peer, before its members are merged. */
void gbd_members_record_response (gbd_members_t *members, uint32_t peer,
                                  gbd_time_t now);
/** Record that a peer runs but does not report members, as an earlier release
 *  does.  It is not left out, so the view stays incomplete. */
void gbd_members_record_refusal (gbd_members_t *members, uint32_t peer,
                                 gbd_time_t now);
/** Merge one member of the last response of a peer.  An older report does not
 *  replace a newer one.
 *  @return GBD_ERROR_STALE if it is too old to be counted; else as
 *  gbd_members_record(). */
gbd_status_t gbd_members_merge (gbd_members_t *members, uint32_t peer,
                                const gbd_group_member_t *member,
                                gbd_time_t now);

/** Get the next of the members to report to peers: this relay and its own
 *  readers.
 *  @param position 0 for the first one; advanced by this function
 *  @return false if there are no more. */
bool gbd_members_next_own (const gbd_members_t *members, uint32_t *position,
                           gbd_group_member_t *member, gbd_time_t now);

/** Count the members as seen by one of them.
 *  @return false if the address is not a member; `view` is zero then. */
bool gbd_members_get_view (const gbd_members_t *members,
                           const gbd_address_t *address,
                           gbd_group_view_t *view, gbd_time_t now);
/** Whether all members are known: this relay has run for GBD_MEMBERS_SETTLING,
 *  and each peer has responded within that time or is left out. */
bool gbd_members_is_complete (const gbd_members_t *members, gbd_time_t now);

/** The last complete view of an instance.  Zero-initialized: none. */
typedef struct
{
  gbd_group_view_t view;
  gbd_time_t received_at;
} gbd_kept_view_t;

/** Keep a view if it is complete and consistent: the rank is below the count
 * of the zone, which is at most the total. */
void gbd_kept_view_update (gbd_kept_view_t *kept, const gbd_group_view_t *view,
                           bool is_complete, gbd_time_t now);
/** @return the last complete view; one that is all zero if it is older than
 *  GBD_MEMBERS_VIEW_RETENTION. */
gbd_group_view_t gbd_kept_view_get (const gbd_kept_view_t *kept,
                                    gbd_time_t now);

GBD_END_DECLS
#endif
