/** @file sources.h
 *  Failover among several sources of the same data: the platform itself, and
 *  instances that watch the platform and relay changes.
 *
 *  Relays prevent all instances of a large fleet from reading a change from
 *  the platform at once, and supply instances that the platform rejects while
 *  it serves others.  Sources are in order of preference; a failed source is
 *  retried after an exponential backoff.
 */
#ifndef GOOSEBERRYDRUM_SOURCES_H
#define GOOSEBERRYDRUM_SOURCES_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

#define GBD_SOURCES_MAX 4 /**< three relays and the platform */
/** Backoff after the first failure of a source.  A longer one is not needed:
 *  responses of the platform take milliseconds, and a restarted instance is
 *  available again within a second. */
#define GBD_SOURCES_INITIAL_BACKOFF GBD_SECOND
#define GBD_SOURCES_MAX_BACKOFF (2 * GBD_SECOND)

typedef struct
{
  gbd_time_t retry_at; /**< time of the next retry; 0 if it has not failed */
  gbd_time_t backoff;  /**< delay after the next failure */
} gbd_source_t;

typedef struct
{
  uint32_t count;
  uint32_t current;
  gbd_source_t sources[GBD_SOURCES_MAX];
} gbd_sources_t;

/** Initialize the list and select a source.
 *  @param first the source expected to respond soonest, regardless of
 *  preference, because a starting process serves no packets until it has read
 *  the data once */
void gbd_sources_init (gbd_sources_t *sources, uint32_t count, uint32_t first);

/** Record a response of the current source. */
void gbd_sources_record_success (gbd_sources_t *sources);

/** Record a failure of the current source and select the next one.
 *  @return false if all sources are in their backoff. */
bool gbd_sources_fail_over (gbd_sources_t *sources, gbd_time_t now);

/** Return to a more preferred source whose backoff is over; call when no
 *  request is in progress.
 *  @return whether the current source changed. */
bool gbd_sources_fail_back (gbd_sources_t *sources, gbd_time_t now);

GBD_END_DECLS
#endif
