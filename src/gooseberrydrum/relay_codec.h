/** @file relay_codec.h
 *  Encoding of the messages between a relay and its readers: msgpack arrays.
 *
 *  A message is [schema, type, ...].  A decoder ignores entries beyond those
 *  that it knows, so a later schema may append entries to any array.
 *
 *    [1, LISTING, version, removal_grace_ms, hint, is_connected, objects,
 *     documents, evacuations]
 *    [1, CHANGES, version, removal_grace_ms, hint, is_connected, objects,
 *     evacuations]
 *    [1, DOCUMENT, version, text]         text: the JSON value of one object
 *    [1, REJECTION, reader_count, has_newer_reader, evacuations]
 *
 *  objects is an array of [name, version, value]; value is nil for a deletion.
 *  documents is an array of [KIND/NAME, version, text], empty unless the
 *  reader has requested it.  evacuations is [position, [zone name, ...]], nil
 *  if the sender does not know the evacuated zones, and absent if it does not
 *  watch them.
 *
 *  A relay with the setting group-view sends one more message, and appends the
 *  view of the reader to LISTING, CHANGES and REJECTION, after evacuations:
 *
 *    [1, MEMBERS, [[address, zone, age_ms], ...]]
 *    view: [total, zone_count, zone_rank, is_complete], or nil if unknown
 */
#ifndef PROGRAM_RELAY_CODEC_H
#define PROGRAM_RELAY_CODEC_H

#include <jansson.h>
#include <msgpack.h>

#define GBD_RELAY_SCHEMA 1

/* Numbers of entries of the arrays of this schema, without optional
   entries. */
#define GBD_RELAY_LISTING_LENGTH 8
#define GBD_RELAY_CHANGES_LENGTH 7
#define GBD_RELAY_OBJECT_LENGTH 3
#define GBD_RELAY_DOCUMENT_LENGTH 4
#define GBD_RELAY_REJECTION_LENGTH 4
#define GBD_RELAY_MEMBERS_LENGTH 3
#define GBD_RELAY_MEMBER_LENGTH 3
#define GBD_RELAY_VIEW_LENGTH 4

/* Positions of optional entries.  An entry before them that the relay does not
   have is nil. */
#define GBD_RELAY_LISTING_EVACUATIONS 8
#define GBD_RELAY_LISTING_VIEW 9
#define GBD_RELAY_CHANGES_EVACUATIONS 7
#define GBD_RELAY_CHANGES_VIEW 8
#define GBD_RELAY_REJECTION_EVACUATIONS 4
#define GBD_RELAY_REJECTION_VIEW 5

typedef enum
{
  GBD_RELAY_LISTING,
  GBD_RELAY_CHANGES,
  GBD_RELAY_DOCUMENT,
  GBD_RELAY_REJECTION,
  GBD_RELAY_MEMBERS
} gbd_relay_message_type_t;

/** Append a value.
 *  @param value array, string, integer, boolean or null; NULL is null
 *  @return false if it contains anything else; the output is then
 *  incomplete. */
bool gbd_relay_pack (msgpack_packer *packer, const json_t *value);

/** Decode one value.
 *  @return owned by the caller; NULL if the bytes are not exactly one value of
 *  the kinds above, or exceed the limits on depth and number of values. */
json_t *gbd_relay_unpack (const void *bytes, size_t length);

#endif
