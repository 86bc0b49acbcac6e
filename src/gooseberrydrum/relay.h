/** @file relay.h
 *  Serves the objects that this instance watches at the platform to other
 *  instances, in the format of the native API.  This reduces the load on the
 *  platform.
 *
 *    GET /v1/KIND                          all objects
 *    GET /v1/KIND?since=VERSION&wait_ms=MS changes; long poll
 *
 *  Versions are those of the platform, so a reader can switch between relays
 *  and the platform.  A reader whose version is higher than that of the relay
 *  keeps its version.  While the relay cannot reach the platform, the status
 *  is 503.  The status is 410 for a version older than the retained deletions.
 */
#ifndef PROGRAM_RELAY_H
#define PROGRAM_RELAY_H

#include <libwebsockets.h>
#include <jansson.h>

#include "gooseberrydrum/types.h"

/** How long deletions are retained: longer than a reader may be disconnected
 *  and still resume its watch. */
#define GBD_RELAY_DELETION_RETENTION (60 * GBD_SECOND)

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
/** Apply a change of an object; a NULL value deletes it. */
void gbd_relay_apply (gbd_relay_t *relay, const char *name, uint64_t version,
                      const json_t *value);
/** Make the applied changes visible to readers.  All changes up to `version`,
 *  a version of the platform, were applied.
 *  @param removal_grace_ms remaining removal grace period of the entries */
void gbd_relay_publish (gbd_relay_t *relay, uint64_t version,
                        uint32_t removal_grace_ms, gbd_time_t now);
/** Set the hint: the version of other data, which readers watch at the
 *  platform themselves.  It is sent to waiting readers at once, so that a
 *  reader whose own watch is unresponsive learns that its data is stale. */
void gbd_relay_set_hint (gbd_relay_t *relay, uint64_t hint);
/** Record that the platform is unreachable.  Waiting and new readers are
 *  rejected. */
void gbd_relay_disconnect (gbd_relay_t *relay);

/** Respond to readers whose wait has expired. */
void gbd_relay_tick (gbd_relay_t *relay, gbd_time_t now);

/** Format the body of a response.
 *  @param since version of the reader; NULL for a listing
 *  @param status set to 200, 410 or 503
 *  @return text allocated with malloc. */
char *gbd_relay_format_response (const gbd_relay_t *relay,
                                 const uint64_t *since, unsigned *status);

uint64_t gbd_relay_get_response_count (const gbd_relay_t *relay);
/** Changes applied so far. */
uint64_t gbd_relay_get_change_count (const gbd_relay_t *relay);

#endif
