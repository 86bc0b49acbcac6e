/** @file relay_private.h
 *  Shared internals of a relay and of the packing of its messages.
 */
#ifndef PROGRAM_RELAY_PRIVATE_H
#define PROGRAM_RELAY_PRIVATE_H

#include "gooseberrydrum/sources.h"
#include "relay.h"
#include "relay_codec.h"

#define GBD_RELAY_HOLDERS_MAX 8 /* the latest; a few of them suffice */

typedef struct gbd_relay_vhost_user gbd_relay_vhost_user_t;

/** An object, or a retained deletion. */
typedef struct
{
  GBytes *value;              /* as msgpack; NULL: deleted */
  uint64_t version;           /* of the object */
  uint64_t published_version; /* version of the relay's list at which the
                                 change was published; a reader that has an
                                 older version is sent the object; 0: not
                                 published */
  gbd_time_t deleted_at; /* time of publication; used only for deletions */
  bool is_in_list;       /* reported since the current listing began */
} gbd_relay_object_t;

/** Body of the latest response.  Many readers have the same version, so most
    responses are the same. */
typedef struct
{
  GByteArray *body;
  unsigned status;
  bool is_valid; /* nothing that it contains has changed */
  bool has_since;
  bool with_documents;
  uint64_t since;
  guint shared_length; /* bytes before the view of the reader */
} gbd_relay_cached_response_t;

/** A document, encoded both as a response of its own and as a part of a
    listing. */
typedef struct
{
  GBytes *message;
  GBytes *entry;
} gbd_relay_document_t;

/** An instance that serves listings. */
typedef struct
{
  gbd_address_t address;
  gbd_time_t seen_at;
} gbd_relay_holder_t;

struct gbd_relay
{
  gbd_relay_vhost_user_t *vhost_user;
  struct lws_vhost *vhost;
  const char *kind;
  GHashTable *objects;        /* name -> gbd_relay_object_t */
  GHashTable *documents;      /* "KIND/NAME" -> gbd_relay_document_t */
  GPtrArray *waiting_readers; /* elements are reader_t */
  uint64_t version;
  uint64_t compacted_version; /* deletions up to this version were discarded */
  uint32_t removal_grace_ms;
  uint64_t hint;
  bool is_connected; /* the platform is reachable */
  bool has_failed;   /* the platform was unreachable at least once */
  bool is_listing;
  uint32_t reader_count; /* waiting readers at the last publication */
  gbd_newer_readers_t newer_readers;
  bool sends_evacuations; /* responses contain the evacuated zones */
  gbd_evacuations_t evacuations;
  uint64_t evacuations_change; /* position at the last change of the zones */
  gbd_relay_cached_response_t cached_response;
  gbd_relay_fill_t fill; /* NULL: the objects are stored */
  void *fill_data;
  gbd_relay_holder_callback_t holder_callback; /* may be NULL */
  void *holder_data;
  gbd_members_t *members; /* NULL: not counted */
  gbd_relay_holder_t holders[GBD_RELAY_HOLDERS_MAX];
  uint32_t next_holder;
  uint64_t response_count;
  uint64_t change_count;
  gbd_time_t now; /* time of the last tick */
};

/** @return NULL if the value cannot be packed. */
GBytes *gbd_relay_pack_value (const json_t *value);
/** @param path KIND/NAME
 *  @param text the JSON value */
gbd_relay_document_t *
gbd_relay_pack_document (const char *path, uint64_t version, const char *text);
/** Append the message DOCUMENT. */
void gbd_relay_pack_document_message (uint64_t version, const char *text,
                                      msgpack_sbuffer *buffer);

#endif
