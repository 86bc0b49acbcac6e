/** @file journal.h
 *  Structured log: one JSON object a line on standard output.
 *
 *  Lines wait in a bounded buffer for a descriptor that does not block; what
 *  finds no room is left out and counted, lines below a notice first.  Each
 *  event has a rate of its own;
 *  the next line of an event says how many were left out before it.
 */
#ifndef PROGRAM_JOURNAL_H
#define PROGRAM_JOURNAL_H

#include <jansson.h>

#include "gooseberrydrum/types.h"
#include "share/events.h"

typedef struct gbd_journal gbd_journal_t;

/** @param fd       made non-blocking; stays the caller's
 *  @param instance written into each line
 *  @param priority least important one that is written, as syslog.h has it */
gbd_journal_t *gbd_journal_new (int fd, const char *instance, int priority,
                                gbd_time_t now);
/** Writes what waits, as far as the descriptor takes it. */
void gbd_journal_delete (gbd_journal_t *journal);

void gbd_journal_set_priority (gbd_journal_t *journal, int priority);

/** Whether a line of this event would be written now; takes its turn.  Ask
 *  before the fields are made. */
bool gbd_journal_admits (gbd_journal_t *journal, gbd_event_t event,
                         gbd_time_t now);

/** Write a line that was admitted.
 *  @param fields taken over; NULL for none */
void gbd_journal_write (gbd_journal_t *journal, gbd_event_t event,
                        json_t *fields);

/** Ask and write in one: for events that are rare, as the fields are made
 *  whether or not the line is admitted. */
void gbd_journal_note (gbd_journal_t *journal, gbd_event_t event,
                       gbd_time_t now, json_t *fields);

/** Write what waits; call about ten times a second. */
void gbd_journal_flush (gbd_journal_t *journal);

/** Lines left out, for their rate or for want of room. */
uint64_t gbd_journal_get_suppressed (const gbd_journal_t *journal);

#endif
