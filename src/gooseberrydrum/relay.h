/** @file relay.h
 *  Serves what this instance watches at the platform to other instances, in
 *  the form of the own API, so that not each of them has to ask the platform:
 *
 *    GET /v1/KIND                          all objects
 *    GET /v1/KIND?since=VERSION&wait_ms=MS changes; waits for one
 *
 *  Versions are those of the platform, so a reader goes from one relay to
 *  another, or to the platform, and back; one that is ahead keeps its version.
 *  An answer is given only while this instance itself is in touch with the
 *  platform; else status 503, or 410 for a version whose later deletions are
 * no longer known.
 */
#ifndef PROGRAM_RELAY_H
#define PROGRAM_RELAY_H

#include <libwebsockets.h>
#include <jansson.h>

#include "gooseberrydrum/types.h"

/** How long deletions are remembered: beyond the longest time that a reader
 *  stays away and still resumes. */
#define GBD_RELAY_DELETION_RETENTION (60 * GBD_SECOND)

typedef struct gbd_relay gbd_relay_t;

/** @param kind  of the objects; kept, not copied
 *  @param error set to a text that names the remedy when NULL is returned */
gbd_relay_t *gbd_relay_new (struct lws_context *context,
                            const gbd_address_t *listen, const char *kind,
                            const char **error);
/** Before the context is destroyed. */
void gbd_relay_delete (gbd_relay_t *relay);

/** A full listing begins. */
void gbd_relay_begin_list (gbd_relay_t *relay);
/** An object changed; a NULL value deletes it. */
void gbd_relay_apply (gbd_relay_t *relay, const char *name, uint64_t version,
                      const json_t *value);
/** All changes up to a version of the platform have been passed in.
 *  @param settling_ms for how much longer missing entries may come back */
void gbd_relay_publish (gbd_relay_t *relay, uint64_t version,
                        uint32_t settling_ms, gbd_time_t now);
/** Version of something else that readers watch at the platform themselves,
 *  to be told at once, so that a reader whose own watch has gone silent learns
 *  that it is behind. */
void gbd_relay_set_hint (gbd_relay_t *relay, uint64_t hint);
/** This instance is out of touch with the platform: waiting readers are
 *  turned away. */
void gbd_relay_disconnect (gbd_relay_t *relay);

/** Answer readers that have waited long enough. */
void gbd_relay_tick (gbd_relay_t *relay, gbd_time_t now);

/** Answer to a reader, as the server sends it.
 *  @param since   NULL for a listing
 *  @param status  set to 200, 410 or 503
 *  @return malloc'd text; NULL if there is nothing to say yet. */
char *gbd_relay_format_response (const gbd_relay_t *relay,
                                 const uint64_t *since, unsigned *status);

uint64_t gbd_relay_get_response_count (const gbd_relay_t *relay);
/** Changes passed in so far. */
uint64_t gbd_relay_get_change_count (const gbd_relay_t *relay);

#endif
