/** @file relay.h
 *  Serves what this instance reads from the platform to other instances, in
 *  the messages of relay_codec.h.  This reduces the load on the platform, and
 *  lets an instance start while the platform is unreachable.
 *
 *    GET /v3/KIND                          all objects
 *    GET /v3/KIND?since=VERSION&wait_ms=MS changes; long poll
 *    GET /v3/KIND/NAME                     one document
 *
 *    GET /v3/holders/ADDRESS               announces a holder; a document that
 *                                          is true if the relay has a list
 *
 *    GET /v3/members                       this relay and its readers, for
 *                                          other relays; see
 *                                          gbd_relay_set_members()
 *
 *  The first two accept the arguments "from=ADDRESS": where the reader itself
 *  serves listings, and "zone=NAME": the availability zone of the reader.  A
 * listing with the argument "documents=1" contains the documents too while the
 * relay cannot reach the platform, so that an instance that starts gets
 * everything in one response.  At other times readers get the documents from
 * the platform, which spares the relay's link.
 *
 *  A request for changes with the argument "evacuations=POSITION", that of the
 *  reader's set of evacuated zones, is answered at once if the relay's set has
 *  changed since: the change may be made between two requests of the reader.
 *
 *  A holder is an instance that has a list, and so can serve one: a reader
 *  that waits for changes, or one that announces itself because it got no
 *  response from this relay, which may have restarted.
 *
 *  Versions are those of the platform (positions), so a reader can switch
 *  between relays and the platform.  A reader whose version is higher than
 *  that of the relay keeps its version.  The status is 410 for a version older
 *  than the retained deletions.
 *
 *  While the relay cannot reach the platform, changes get the status 503 with
 *  a rejection that tells readers whether it is worth trying the platform
 *  themselves, and a listing or a document may be outdated.  A listing that is
 *  requested before the relay has one waits for it.
 */
#ifndef PROGRAM_RELAY_H
#define PROGRAM_RELAY_H

#include <libwebsockets.h>
#include <glib.h>
#include <jansson.h>

#include "gooseberrydrum/members.h"
#include "gooseberrydrum/evacuations.h"
#include "gooseberrydrum/types.h"

/** How long deletions are retained: longer than a reader may be disconnected
 *  and still resume its watch. */
#define GBD_RELAY_DELETION_RETENTION (60 * GBD_SECOND)

/** Longest wait of a request for a listing until the relay has one, which
 *  takes a relay some tenths of a second with 600 backend servers. */
#define GBD_RELAY_LISTING_WAIT GBD_SECOND
/** Time after its last request in which a holder is expected to be running. */
#define GBD_RELAY_HOLDER_VALIDITY (5 * GBD_SECOND)

/** Path below the prefix of the announcement of a holder. */
#define GBD_RELAY_HOLDERS_KIND "holders"
/** Path below the prefix of the members that a relay reports to others. */
#define GBD_RELAY_MEMBERS_KIND "members"

typedef struct gbd_relay gbd_relay_t;

/** @param kind kind of the objects; not copied, must outlive the relay
 *  @param error set to a message that names the remedy if NULL is returned */
gbd_relay_t *gbd_relay_new (struct lws_context *context,
                            const gbd_address_t *listen, const char *kind,
                            const char **error);
/** Must be called before the context is destroyed. */
void gbd_relay_delete (gbd_relay_t *relay);

/** Record that the watch starts a full listing. */
void gbd_relay_begin_listing (gbd_relay_t *relay);
/** Apply a change of an object; a NULL value deletes it.
 *  @param value of a type that gbd_relay_pack() accepts */
void gbd_relay_apply (gbd_relay_t *relay, const char *name, uint64_t version,
                      const json_t *value);
/** Replace the value of an object for later listings only; readers that have
 * the object are not sent the new value. */
void gbd_relay_refresh (gbd_relay_t *relay, const char *name,
                        const json_t *value);
/** Make the applied changes visible to readers.  All changes up to `version`,
 *  a version of the platform, were applied.
 *  @param removal_grace_ms remaining removal grace period of the entries */
void gbd_relay_publish (gbd_relay_t *relay, uint64_t version,
                        uint32_t removal_grace_ms, gbd_time_t now);
/** Make the applied objects, a list of another relay that may be outdated,
 *  visible to readers while the platform is unreachable. */
void gbd_relay_publish_outdated (gbd_relay_t *relay, uint64_t version,
                                 gbd_time_t now);
/** Set the hint: the version of other data, which readers watch at the
 *  platform themselves.  It is sent to waiting readers at once, so that a
 *  reader whose own watch is unresponsive learns that its data is stale. */
void gbd_relay_set_hint (gbd_relay_t *relay, uint64_t hint);
/** Set the evacuated zones, which each response contains from then on.  A
 *  change of the zones is sent to waiting readers at once.
 *  @param evacuations NULL: not known */
void gbd_relay_set_evacuations (gbd_relay_t *relay,
                                const gbd_evacuations_t *evacuations);
/** Set a document, which is independent of the objects.
 *  @param value any JSON value */
void gbd_relay_set_document (gbd_relay_t *relay, const char *kind,
                             const char *name, uint64_t version,
                             const json_t *value);
/** Applies all objects and publishes them; called before a listing is sent. */
typedef void (*gbd_relay_fill_t) (void *data);
/** Serve listings that are made for each request and not stored, for an
 *  instance that has readers in exceptional cases only. */
void gbd_relay_set_fill (gbd_relay_t *relay, gbd_relay_fill_t fill,
                         void *data);
/** Return the next of the holders that were seen in the last
 *  GBD_RELAY_HOLDER_VALIDITY.  A relay that has restarted while the platform
 *  is unreachable can get the list from these instances.
 *  @return false if there are none. */
bool gbd_relay_next_holder (gbd_relay_t *relay, gbd_address_t *holder,
                            gbd_time_t now);
/** A holder was seen. */
typedef void (*gbd_relay_holder_callback_t) (void *data,
                                             const gbd_address_t *holder);
void gbd_relay_set_holder_callback (gbd_relay_t *relay,
                                    gbd_relay_holder_callback_t callback,
                                    void *data);
/** Count the readers as members of the group, send each reader its view of the
 *  group, and serve the members to other relays.
 *  @param members not owned, must outlive the relay */
void gbd_relay_set_members (gbd_relay_t *relay, gbd_members_t *members);
/** Record that the platform is unreachable.  Waiting and new readers are
 *  rejected. */
void gbd_relay_disconnect (gbd_relay_t *relay);

/** Respond to readers whose wait has expired. */
void gbd_relay_tick (gbd_relay_t *relay, gbd_time_t now);

/** Build the body of a response.
 *  @param since version of the reader; NULL for a listing
 *  @param with_documents whether the reader requests the documents
 *  @param address of the reader; NULL if it has not named itself
 *  @param status set to 200, 410 or 503
 *  @return owned by the relay, valid until its next change. */
const GByteArray *gbd_relay_build_response (gbd_relay_t *relay,
                                            const uint64_t *since,
                                            bool with_documents,
                                            const gbd_address_t *address,
                                            unsigned *status);

uint64_t gbd_relay_get_response_count (const gbd_relay_t *relay);
/** Changes applied so far. */
uint64_t gbd_relay_get_change_count (const gbd_relay_t *relay);

#endif
