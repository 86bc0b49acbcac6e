/** @file events.h
 *  Catalogue of numbered log events, documented in docs/EVENTS.md.
 *
 *  Entries are EVENT (NAME, number, priority, format).  Numbers are never
 *  reused.  Ranges: 1xx start and stop, 2xx configuration, 3xx platform, 4xx
 *  peers and membership, 5xx tables, 6xx data path, 7xx administration, 8xx
 *  stand-ins.
 */
#ifndef SHARE_EVENTS_H
#define SHARE_EVENTS_H

#include <syslog.h>

/* clang-format off */
#define GBD_EVENTS(EVENT) \
  EVENT (STARTED,        101, LOG_NOTICE,  "instance %s started, version %s") \
  EVENT (BAD_SETTING,    102, LOG_ERR,     "setting %s: %s; %s") \
  EVENT (STOPPING,       103, LOG_NOTICE,  "planned stop: forwarding continues for up to %u ms") \
  EVENT (STOPPED,        104, LOG_NOTICE,  "stopped: %s") \
  EVENT (FATAL,          105, LOG_CRIT,    "fatal error: %s") \
  EVENT (INSECURE_LINKS, 106, LOG_WARNING, "links between instances run without TLS; specify --tls-certificate, --tls-key and --tls-authority outside of tests") \
  EVENT (IN_FORCE,       201, LOG_NOTICE,  "configuration %lld installed: %u services, %u addresses") \
  EVENT (BAD_ACCEPTED,   202, LOG_ERR,     "accepted configuration %lld is invalid; the previous one stays in use") \
  EVENT (ROUTES,         203, LOG_NOTICE,  "routes installed") \
  EVENT (BAD_ROUTES,     204, LOG_ERR,     "routes are invalid; the previous ones stay in use") \
  EVENT (SETTINGS_READ,  205, LOG_NOTICE,  "settings reloaded") \
  EVENT (WATCHING,       301, LOG_INFO,    "%s watching the platform") \
  EVENT (BAD_OBJECT,     302, LOG_WARNING, "object %s/%s is invalid and ignored") \
  EVENT (PLATFORM_LOST,  303, LOG_WARNING, "platform does not respond") \
  EVENT (PLATFORM_FOUND, 304, LOG_NOTICE,  "platform responds again") \
  EVENT (SERVER_LISTED,  305, LOG_INFO,    "backend server listed") \
  EVENT (SERVER_REMOVED, 306, LOG_INFO,    "backend server removed from the list") \
  EVENT (KEY_KNOWN,      307, LOG_INFO,    "key of the routing cookies loaded") \
  EVENT (READY,          308, LOG_NOTICE,  "this instance is ready for packets") \
  EVENT (RELAY_LOST,     309, LOG_NOTICE,  "relay does not respond") \
  EVENT (LIST_OUTDATED,  310, LOG_NOTICE,  "list of backend servers read from a relay that cannot reach the platform") \
  EVENT (START_LIST,     311, LOG_INFO,    "list of a relay received at a start") \
  EVENT (READER_ASKED,   312, LOG_NOTICE,  "list of backend servers requested from an instance that has it") \
  EVENT (RESTORED,       313, LOG_WARNING, "platform restored from an older copy") \
  EVENT (ZONE_EVACUATED, 314, LOG_NOTICE,  "zone evacuated: its backend servers get no new flows") \
  EVENT (ZONE_RETURNED,  315, LOG_NOTICE,  "evacuation of a zone has ended") \
  EVENT (UNKNOWN_ZONE,   316, LOG_WARNING, "evacuated zone has no backend servers") \
  EVENT (LINK_UP,        401, LOG_INFO,    "link to %s is up") \
  EVENT (LINK_DOWN,      402, LOG_NOTICE,  "link to %s is down") \
  EVENT (TOUCH,          403, LOG_NOTICE,  "%s") \
  EVENT (JOINED,         404, LOG_NOTICE,  "this instance has %s its group") \
  EVENT (PEER_SILENT,    405, LOG_WARNING, "instance %llx is unreachable: no heartbeat within the time-out") \
  EVENT (PEER_HEARD,     406, LOG_INFO,    "instance %llx is reachable") \
  EVENT (RELOAD_FAILED,  407, LOG_ERR,     "cannot load the certificates; the previous ones stay in use") \
  EVENT (RELOADED,       408, LOG_NOTICE,  "certificates reloaded for new connections") \
  EVENT (LINK_REFUSED,   409, LOG_WARNING, "link with %s refused: %s") \
  EVENT (GROUP_LOST,     410, LOG_NOTICE,  "number and rank of the instances of the group are unknown") \
  EVENT (GROUP_KNOWN,    411, LOG_NOTICE,  "number and rank of the instances of the group are known again") \
  EVENT (TABLE,          501, LOG_INFO,    "service %s: table version %llu installed") \
  EVENT (COMPLETE,       502, LOG_DEBUG,   "service %s: copies of registrations complete for version %llu") \
  EVENT (CLAIMS_BLOCKED, 503, LOG_WARNING, "service %s: several members failed at once; packets of unknown flows in moving buckets are dropped for %llu s") \
  EVENT (FLOW_PLACED,    601, LOG_INFO,    "new flow sent to a backend server") \
  EVENT (FLOW_MOVED,     602, LOG_NOTICE,  "opening packet retransmitted; sent to another backend server") \
  EVENT (FLOW_REFUSED,   603, LOG_NOTICE,  "reset sent in response to a packet") \
  EVENT (FLOW_DROPPED,   604, LOG_NOTICE,  "packet dropped") \
  EVENT (SERVER_SILENT,  605, LOG_WARNING, "backend server does not respond") \
  EVENT (SERVER_HEARD,   606, LOG_NOTICE,  "backend server responds again") \
  EVENT (FLOW_WAITS,     607, LOG_INFO,    "data retransmitted before the backend server responded") \
  EVENT (SERVER_PROBED,  608, LOG_NOTICE,  "probe of a backend server that does not respond to flows") \
  EVENT (SERVER_REPORTED, 609, LOG_NOTICE, "other instances report that a backend server does not respond") \
  EVENT (SERVER_FAILING, 610, LOG_WARNING, "backend server fails many requests") \
  EVENT (ROOM_SHORT,     611, LOG_WARNING, "service is short of room") \
  EVENT (ROOM_FOUND,     612, LOG_NOTICE,  "service has room again") \
  EVENT (COLD_LIMIT,     620, LOG_NOTICE,  "limit for cold backend servers of a service is in force") \
  EVENT (COLD_LIMIT_END, 621, LOG_NOTICE,  "limit for cold backend servers of a service has ended") \
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
