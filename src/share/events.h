/** @file events.h
 *  Catalogue of numbered log events; docs/EVENTS.md explains each.
 *
 *  A number is never reused.  EVENT (NAME, number, priority, format).
 *  Hundreds: 1 start and stop, 2 configuration, 3 platform, 4 peers and
 *  membership, 5 tables, 6 data path, 7 administration, 8 stand-ins.
 */
#ifndef SHARE_EVENTS_H
#define SHARE_EVENTS_H

#include <syslog.h>

/* clang-format off */
#define GBD_EVENTS(EVENT) \
  EVENT (STARTED,        101, LOG_NOTICE,  "instance %s started, version %s") \
  EVENT (BAD_SETTING,    102, LOG_ERR,     "setting %s: %s; %s") \
  EVENT (STOPPING,       103, LOG_NOTICE,  "planned stop: forwarding for up to %u ms more") \
  EVENT (STOPPED,        104, LOG_NOTICE,  "stopped: %s") \
  EVENT (FATAL,          105, LOG_CRIT,    "cannot go on: %s") \
  EVENT (INSECURE_LINKS, 106, LOG_WARNING, "links between instances run without TLS; give --tls-certificate, --tls-key and --tls-authority outside of tests") \
  EVENT (STANDIN_READY,  801, LOG_INFO,    "stand-in %s listens on %s") \
  EVENT (STANDIN_FAILED, 802, LOG_ERR,     "stand-in %s: %s")
/* clang-format on */

typedef enum
{
#define EVENT(name, number, priority, format) GBD_EVENT_##name = (number),
  GBD_EVENTS (EVENT)
#undef EVENT
} gbd_event_t;

#endif
