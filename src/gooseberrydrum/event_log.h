/** @file event_log.h
 *  Structured event log: one JSON object per line, which the program writes to
 *  standard output.
 *
 *  Lines are written to a bounded buffer, which is flushed to a non-blocking
 *  descriptor.  Lines that do not fit are suppressed and counted; a part of
 *  the buffer is reserved for priorities from notice upwards.  Each event has
 *  its own rate limit.  The field "suppressed" of a line is the number of
 *  lines of the same event that were suppressed since the previous one.
 */
#ifndef PROGRAM_EVENT_LOG_H
#define PROGRAM_EVENT_LOG_H

#include <jansson.h>

#include "gooseberrydrum/types.h"
#include "share/events.h"

typedef struct gbd_event_log gbd_event_log_t;

/** Create a log.
 *  @param fd       set to non-blocking mode; remains owned by the caller
 *  @param instance name of the instance, a field of each line
 *  @param priority lowest priority that is written, as in syslog.h */
gbd_event_log_t *gbd_event_log_new (int fd, const char *instance, int priority,
                                    gbd_time_t now);
/** Flush the buffer as far as the descriptor accepts it, and free the log. */
void gbd_event_log_delete (gbd_event_log_t *event_log);

void gbd_event_log_set_priority (gbd_event_log_t *event_log, int priority);

/** Whether the priority and the rate limit of this event allow a line now;
 *  consumes a token of the rate limit.  Call it before the fields are created,
 *  so that suppressed lines cost little. */
bool gbd_event_log_admit (gbd_event_log_t *event_log, gbd_event_t event,
                          gbd_time_t now);

/** Write a line that gbd_event_log_admit() has admitted.
 *  @param fields ownership is taken; NULL for none */
void gbd_event_log_write (gbd_event_log_t *event_log, gbd_event_t event,
                          json_t *fields);

/** Write a line if it is admitted.  For rare events only, because the caller
 *  creates the fields of suppressed lines as well.
 *  @param fields ownership is taken; NULL for none */
void gbd_event_log_emit (gbd_event_log_t *event_log, gbd_event_t event,
                         gbd_time_t now, json_t *fields);

/** Write the buffer to the descriptor.  Call it about ten times a second. */
void gbd_event_log_flush (gbd_event_log_t *event_log);

/** Number of lines suppressed by the rate limit or a full buffer. */
uint64_t gbd_event_log_get_suppressed (const gbd_event_log_t *event_log);

#endif
