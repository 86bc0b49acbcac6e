/** @file sources.h
 *  Which of several sources of the same data to ask: the platform itself, or
 *  an instance that watches the platform and relays what changes.
 *
 *  Answers the load pattern of a change that every instance of a large fleet
 *  would read from the platform at once, and that of a platform that turns
 *  some instances away while it serves the others.  Sources stand in the
 *  order of preference; one that failed is asked again after a pause that
 *  doubles.
 */
#ifndef GOOSEBERRYDRUM_SOURCES_H
#define GOOSEBERRYDRUM_SOURCES_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

#define GBD_SOURCES_MAX 4 /**< three relays and the platform */
/** Pause after a failure: the platform's answers take milliseconds, and a
 *  restarted instance is back within a second. */
#define GBD_SOURCES_INITIAL_BACKOFF GBD_SECOND
#define GBD_SOURCES_MAX_BACKOFF (2 * GBD_SECOND)

typedef struct
{
  gbd_time_t retry_at; /**< not before; 0 if it has not failed */
  gbd_time_t backoff;  /**< after the next failure */
} gbd_source_t;

typedef struct
{
  uint32_t count;
  uint32_t current;
  gbd_source_t sources[GBD_SOURCES_MAX];
} gbd_sources_t;

/** Start with one that answers soonest, whatever the order: a process that
 *  starts serves nothing until it has read the data once. */
void gbd_sources_init (gbd_sources_t *sources, uint32_t count, uint32_t first);

/** The current source answered. */
void gbd_sources_record_success (gbd_sources_t *sources);

/** The current source failed: choose the next.
 *  @return false if every source has failed and waits for its pause. */
bool gbd_sources_fail_over (gbd_sources_t *sources, gbd_time_t now);

/** Go back to a source of higher preference whose pause is over; call when
 *  no question is under way.
 *  @return whether the current source changed. */
bool gbd_sources_fail_back (gbd_sources_t *sources, gbd_time_t now);

GBD_END_DECLS
#endif
