/** @file membership.h
 *  Failure detection inside a group, and the lease under which this instance
 *  decides for its group.
 *
 *  Each heartbeat acknowledges the newest heartbeat received from every other
 *  member.  An acknowledgement extends the lease from the time at which the
 *  acknowledged heartbeat was sent, not from the time at which the
 *  acknowledgement arrived, so that delay shortens the lease.  The lease
 *  time-out is shorter than the failure time-out: the lease of an instance
 *  expires before the others consider it failed.
 *
 *  An acknowledgement extends the lease on a table only if the peer held the
 *  same version of the table as this instance, or an older one.  Otherwise a
 *  peer that has moved to a newer version without this instance would renew
 *  the lease on the old version before this instance learns of the newer one.
 *  For this reason the first heartbeat of a link must list the progress of all
 *  services.
 *
 *  A peer also reports the age of its own confirmation by the platform.  The
 *  confirmation is dated by the heartbeat of this instance that the peer
 *  acknowledges.  It is not forwarded to third instances, because they may
 *  hold other versions.
 */
#ifndef GOOSEBERRYDRUM_MEMBERSHIP_H
#define GOOSEBERRYDRUM_MEMBERSHIP_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/engine.h"

GBD_BEGIN_DECLS

typedef struct
{
  gbd_instance_id_t self;
  gbd_zone_id_t zone;
  gbd_time_t heartbeat_interval; /**< 0 stands for 200 ms */
  gbd_time_t lease_timeout;      /**< 0 stands for 700 ms; must be below
                                      failure_timeout by more than
                                      heartbeat_interval */
  gbd_time_t failure_timeout;    /**< 0 stands for 1000 ms */
} gbd_membership_settings_t;

typedef struct gbd_membership gbd_membership_t;

/** @return NULL when memory is short. */
gbd_membership_t *gbd_membership_new (const gbd_membership_settings_t *,
                                      gbd_time_t now);
void gbd_membership_delete (gbd_membership_t *membership);

/** Add a peer whose HELLO was received.
 *
 *  When GBD_INCARNATIONS_MAX peers are known, the unreachable peer with the
 *  oldest heartbeat is removed.  If all peers are reachable, the new one is
 *  not added. */
void gbd_membership_add_peer (gbd_membership_t *membership,
                              gbd_instance_id_t id, gbd_zone_id_t zone,
                              const char *name, gbd_time_t now);

/** Remove a peer whose incarnation has ended: its process exited or was
 *  replaced, or the platform no longer lists it and it has failed. */
void gbd_membership_remove_peer (gbd_membership_t *membership,
                                 gbd_instance_id_t id);

/** Process a heartbeat.  Ignores heartbeats whose sequence is not above the
 *  newest one of the sender, and senders that were not added. */
void gbd_membership_receive (gbd_membership_t *membership,
                             const gbd_message_t *heartbeat, gbd_time_t now);

/** Record that this instance itself has read the newest tables from the
 *  platform.
 *  @param requested_at time at which the request was sent */
void gbd_membership_confirm_platform (gbd_membership_t *membership,
                                      gbd_time_t requested_at);

/** Whether a heartbeat is due. */
bool gbd_membership_is_due (const gbd_membership_t *membership,
                            gbd_time_t now);

/** Fill in type, sender, sequence, acknowledgements and platform_age_ms of
 *  the next heartbeat and record when it is sent; the node sets the other
 *  fields.  platform_age_ms is the age of this instance's own confirmation by
 *  the platform.
 *
 *  If the time since the last heartbeat exceeds the difference between failure
 *  time-out and lease time-out, this process was paused.  In that case
 *  heartbeats of the peers may have arrived without being read yet, so no peer
 *  counts as failed until the failure time-out has passed again. */
void gbd_membership_make_heartbeat (gbd_membership_t *membership,
                                    gbd_time_t now, gbd_message_t *message);

/** State of one peer. */
typedef struct
{
  gbd_instance_id_t id;
  gbd_zone_id_t zone;
  char name[GBD_NAME_MAX + 1];
  bool is_reachable; /**< a heartbeat arrived within the failure time-out */
  bool is_failed;    /**< neither this instance nor, by its heartbeats, any
                          other peer received a heartbeat from it within the
                          failure time-out */
  bool is_leaving;
  bool is_watching;
  uint64_t generation; /**< current accepted configuration at the peer */
  gbd_time_t last_received_at; /**< arrival of the newest heartbeat */
  uint32_t loss_free_ms;       /**< time since the group last lost an open
                                    flow, as reported in the peer's newest
                                    heartbeat */
} gbd_peer_info_t;

uint32_t gbd_membership_get_peer_count (const gbd_membership_t *membership);
void gbd_membership_get_peer (const gbd_membership_t *membership,
                              uint32_t index, gbd_time_t now,
                              gbd_peer_info_t *info);
bool gbd_membership_find_peer (const gbd_membership_t *membership,
                               gbd_instance_id_t id, gbd_time_t now,
                               gbd_peer_info_t *info);

/** Newest progress with a service that a peer has reported.
 *  @return false if it has reported none. */
bool gbd_membership_get_progress (const gbd_membership_t *membership,
                                  gbd_instance_id_t id,
                                  gbd_service_id_t service,
                                  gbd_progress_t *progress);

/** Age in microseconds of the newest confirmation by the platform, of this
 *  instance itself or reported by a peer; a very large number when there is
 *  none. */
gbd_time_t gbd_membership_get_platform_age (const gbd_membership_t *,
                                            gbd_time_t now);

/** Lease of this instance on the current table: see gbd_lease_t.
 *
 *  FULL when the platform's confirmation is younger than the lease time-out,
 *  or when a strict majority of the roster, and of the next roster during a
 *  change, acknowledged heartbeats that were sent within the lease time-out;
 *  a member counts itself.
 *
 *  ZONE when not FULL, at least one other member is reachable, each reachable
 *  member acknowledged a heartbeat that was sent within the lease time-out,
 *  and in every zone with a reachable member, and in this instance's own, all
 *  members are reachable.
 *  @param table NULL checks only the platform's confirmation */
gbd_lease_t gbd_membership_get_lease (const gbd_membership_t *membership,
                                      const gbd_table_t *table,
                                      gbd_time_t now);

/** Whether a strict majority of the roster, and of the next one during a
 *  change, acknowledged heartbeats that were sent within the lease time-out.
 *  Registering flows requires it: two partitions of a group that both reach
 *  the platform, but not each other, would not see each other's
 *  registrations. */
bool gbd_membership_has_majority (const gbd_membership_t *membership,
                                  const gbd_table_t *table, gbd_time_t now);

GBD_END_DECLS
#endif
