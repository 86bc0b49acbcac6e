/** @file log.h
 *  Log lines on standard error: "<priority>gooseberrydrum[pid]: event 101:
 * ...", with the priority as syslog and the journal read it.
 */
#ifndef SHARE_LOG_H
#define SHARE_LOG_H

#include "share/events.h"

/** Name before the process number; "gooseberrydrum" unless set.
 *  The string is kept, not copied. */
void gbd_log_set_program (const char *program);

/** Least important priority that is written (LOG_INFO unless set). */
void gbd_log_set_priority (int priority);

/** Write one event; the arguments are those of its format in events.h.
 *  Lines over 1 KB are cut. */
void gbd_log (gbd_event_t event, ...);

#endif
