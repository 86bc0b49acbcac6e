/** @file log.h
 *  Log on standard error.  Lines have the form
 *  "<PRIORITY>gooseberrydrum[PID]: event NUMBER: MESSAGE", with the priority
 *  prefix that syslog and the systemd journal parse.
 */
#ifndef SHARE_LOG_H
#define SHARE_LOG_H

#include "share/events.h"

/** Set the program name of the lines, "gooseberrydrum" by default.  The string
 *  is not copied. */
void gbd_log_set_program (const char *program);

/** Set the lowest priority that is written, LOG_INFO by default. */
void gbd_log_set_priority (int priority);

/** Write a line for an event; the arguments are those of its format in
 *  events.h.  Lines are truncated to 1 KB. */
void gbd_log (gbd_event_t event, ...);

#endif
