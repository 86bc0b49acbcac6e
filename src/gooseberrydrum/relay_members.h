/** @file relay_members.h
 *  The members of the group in the messages of relay_codec.h.
 */
#ifndef PROGRAM_RELAY_MEMBERS_H
#define PROGRAM_RELAY_MEMBERS_H

#include "gooseberrydrum/members.h"
#include "relay_codec.h"

/** Append the view of one reader, nil if it is not a member.
 *  @param reader family 0: the reader has not named itself */
void gbd_relay_pack_view (const gbd_members_t *members,
                          const gbd_address_t *reader, gbd_time_t now,
                          msgpack_sbuffer *buffer);

/** Decode a view.
 *  @param value NULL or null for an unknown view
 *  @return false if it is unknown or malformed. */
bool gbd_relay_read_view (const json_t *value, gbd_group_view_t *view,
                          bool *is_complete);

/** Append the message MEMBERS: this relay and its own readers. */
void gbd_relay_pack_members (const gbd_members_t *members, gbd_time_t now,
                             msgpack_sbuffer *buffer);

/** Merge the message MEMBERS of a peer.  Malformed members are left out, as
 *  are those over the maximum.
 *  @return false if it is not such a message; nothing is merged then. */
bool gbd_relay_merge_members (gbd_members_t *members, uint32_t peer,
                              const void *bytes, size_t length,
                              gbd_time_t now);

#endif
