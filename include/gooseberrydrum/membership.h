/** @file membership.h
 *  Failure detection inside a spray group, and how far this instance may
 *  speak for its group.
 *
 *  Each heartbeat names the newest heartbeat heard from every other member.
 *  An instance trusts its place only from the time at which it sent a
 *  heartbeat that was acknowledged, never from its arrival, so that delay
 *  shortens trust.  The touch time-out is shorter than the silence time-out:
 *  an instance knows that it is out of touch before others go on without it.
 *
 *  What a peer says counts for a table only while the peer holds that version
 *  or an older one.  Else a peer that has gone on without this instance would
 *  give it back its trust before it learns the newer version.  So the first
 *  heartbeat of a link must list the progress of all services.
 *
 *  A peer's word about the platform is dated by the heartbeat of this instance
 *  that it acknowledges, and is not passed on to third instances, which may
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
  gbd_time_t heartbeat_interval; /**< 400 ms unless set */
  gbd_time_t touch_timeout;      /**< 1400 ms; below silence_timeout by more
                                      than a heartbeat interval */
  gbd_time_t silence_timeout;    /**< 2000 ms */
} gbd_membership_settings_t;

typedef struct gbd_membership gbd_membership_t;

/** Settings of 0 take their stated values.
 *  @return NULL when memory is short. */
gbd_membership_t *gbd_membership_new (const gbd_membership_settings_t *,
                                      gbd_time_t now);
void gbd_membership_delete (gbd_membership_t *membership);

/** A link said hello.  When GBD_LIVES_MAX identities are known, the one
 *  heard least recently makes room, or the new one is left out if all are
 *  heard. */
void gbd_membership_add_peer (gbd_membership_t *membership,
                              gbd_instance_id_t id, gbd_zone_id_t zone,
                              const char *name, gbd_time_t now);

/** A peer's identity has ended: its process exited or was replaced, or it
 *  has left the platform's list and has been silent since. */
void gbd_membership_remove_peer (gbd_membership_t *membership,
                                 gbd_instance_id_t id);

/** Take in one heartbeat; older sequences than the newest are ignored, and
 *  so are senders that were not added. */
void gbd_membership_receive (gbd_membership_t *membership,
                             const gbd_message_t *heartbeat, gbd_time_t now);

/** This instance itself saw the platform confirm the newest tables, at the
 *  time at which it had sent the request. */
void gbd_membership_confirm_platform (gbd_membership_t *membership,
                                      gbd_time_t asked_at);

/** Whether a heartbeat is due. */
bool gbd_membership_is_due (const gbd_membership_t *membership,
                            gbd_time_t now);

/** Fill in type, sender, sequence, heard[] and platform_age_ms of the next
 *  heartbeat, note when it is sent; the node adds the rest.  The age is that
 *  of this instance's own answer from the platform.
 *
 *  When the last heartbeat is further back than the time-outs lie apart,
 *  this process was paused: no peer counts as silent until the silence
 *  time-out has passed again, as their words may wait unread. */
void gbd_membership_make_heartbeat (gbd_membership_t *membership,
                                    gbd_time_t now, gbd_message_t *message);

/** What is known of one peer. */
typedef struct
{
  gbd_instance_id_t id;
  gbd_zone_id_t zone;
  char name[GBD_NAME_MAX + 1];
  bool is_heard;  /**< directly, within the silence time-out */
  bool is_silent; /**< neither directly nor by the word of any heard
                       peer within the silence time-out */
  bool is_leaving;
  bool is_watching;
  uint64_t generation; /**< accepted configuration in force there */
  gbd_time_t heard_at; /**< of the newest heartbeat */
  uint32_t covered_ms;
} gbd_peer_info_t;

uint32_t gbd_membership_get_peer_count (const gbd_membership_t *membership);
void gbd_membership_get_peer (const gbd_membership_t *membership,
                              uint32_t index, gbd_time_t now,
                              gbd_peer_info_t *info);
bool gbd_membership_find_peer (const gbd_membership_t *membership,
                               gbd_instance_id_t id, gbd_time_t now,
                               gbd_peer_info_t *info);

/** What a peer said of its progress with a service.
 *  @return false if it has said nothing. */
bool gbd_membership_get_progress (const gbd_membership_t *membership,
                                  gbd_instance_id_t id,
                                  gbd_service_id_t service,
                                  gbd_progress_t *progress);

/** Age of the newest confirmation by the platform, directly or through
 *  peers, in microseconds; a very large number when there is none. */
gbd_time_t gbd_membership_get_platform_age (const gbd_membership_t *,
                                            gbd_time_t now);

/** How far this instance may speak, given the table in force: see
 *  gbd_touch_t.  FULL when the platform's confirmation is younger than the
 *  touch time-out, or when a strict majority of the roster, and of the next
 *  roster during a change, acknowledged heartbeats that were sent within it;
 *  a member counts itself.  ZONE when not FULL, at least one other member
 *  is heard, each heard member acknowledged within the touch time-out, and
 *  every zone of a heard member, the own one included, is heard whole.
 *  @param table NULL asks for the platform's confirmation alone */
gbd_touch_t gbd_membership_get_touch (const gbd_membership_t *membership,
                                      const gbd_table_t *table,
                                      gbd_time_t now);

/** Whether a strict majority of the roster, and of the next one during a
 *  change, acknowledged heartbeats that were sent within the touch time-out.
 *  Registrations need it: two parts of a group that both reach the platform,
 *  but not each other, would not know of each other's. */
bool gbd_membership_has_majority (const gbd_membership_t *membership,
                                  const gbd_table_t *table, gbd_time_t now);

GBD_END_DECLS
#endif
