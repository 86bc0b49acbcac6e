/** @file cookie_serve.h
 *  `gooseberrydrum serve --policy=cookie`: an instance that routes by cookie
 *  and shares state with its peers only through the platform.
 */
#ifndef PROGRAM_COOKIE_SERVE_H
#define PROGRAM_COOKIE_SERVE_H

#include "admin.h"
#include "cookie_datapath.h"
#include "cookie_room.h"
#include "event_log.h"
#include "gooseberrydrum/retry.h"
#include "gooseberrydrum/sources.h"
#include "gooseberrydrum/start.h"
#include "platform_client.h"
#include "prober.h"
#include "relay.h"
#include "settings.h"

/** Members of the group; see cookie_members.c. */
typedef struct gbd_cookie_members gbd_cookie_members_t;
/** Exchange of reports on backend servers; see cookie_reports.c. */
typedef struct gbd_cookie_reports gbd_cookie_reports_t;
/** Decimal digits of the highest position. */
#define GBD_POSITION_DIGITS_MAX 20

/** Announcements of this instance, as a holder of the list, to one relay. */
typedef struct
{
  bool is_unanswered; /**< the relay did not respond to the last request */
  bool is_requested;  /**< an announcement is in progress */
  gbd_time_t announced_at;
} gbd_announcement_t;

/** Buckets of the histogram of flow set-up times; the bounds are powers of two
 *  of a millisecond. */
#define GBD_SETUP_TIME_BUCKETS 12

/** Watch on the evacuated zones; see cookie_evacuations.c. */
typedef struct gbd_cookie_evacuations gbd_cookie_evacuations_t;

/** Services whose limits for cold backend servers are reported. */
#define GBD_COLD_SERVICES_MAX 32

/** A service whose limit for cold backend servers is in force. */
typedef struct
{
  gbd_service_id_t service;
  char name[GBD_NAME_MAX + 1];
  gbd_time_t since;
  uint32_t cold_servers;
  uint32_t own_servers; /**< cold ones to which this instance may send */
  gbd_warm_up_share_t share;
} gbd_cold_service_t;

typedef struct
{
  gbd_settings_t *settings;
  char **flags; /**< command-line flags, needed to reload settings */
  gbd_time_t (*clock) (void *data); /**< called with NULL as data */
  struct lws_context *context;
  gbd_event_log_t *event_log;
  gbd_director_t *director;
  gbd_cookie_datapath_t *datapath;
  gbd_cookie_room_t room;   /**< reported shortages */
  gbd_prober_t *prober;     /**< NULL if probes are disabled */
  gbd_platform_t *platform; /**< client for the routes and the group's key */
  gbd_platform_t *servers_platform; /**< client for the backend servers */
  gbd_relay_t *relay; /**< NULL if this instance is not a relay */
  /** Serves key, routes and list to a relay that starts while the platform is
   *  unreachable; NULL if this instance is a relay or listens for no others */
  gbd_relay_t *peer_server;
  gbd_cookie_reports_t *reports; /**< NULL if the setting reports-listen is
                                      off */
  gbd_cookie_members_t *members; /**< NULL if the setting group-view is off */
  /** Argument of requests to relays: "documents=1" until this instance has key
   *  and routes; "from=" and the address of peer_server, if there is one;
   *  "zone=" and the percent-encoded zone, with the setting group-view;
   *  "evacuations=" and the position of the set, if they are watched */
  char relay_argument[GBD_ADDRESS_TEXT_MAX + 3 * GBD_NAME_MAX
                      + GBD_POSITION_DIGITS_MAX
                      + sizeof "documents=1&from=&zone=&evacuations="];
  gbd_announcement_t announcements[GBD_SOURCES_MAX]; /**< one for each source;
                                                 not used for the platform */
  /** Client of a holder of the list; NULL: none */
  gbd_platform_t *holder_client;
  gbd_address_t holder; /**< last holder that was seen */
  bool is_holder_due;   /**< start_watch should try that holder */
  gbd_time_t holder_asked_at;
  gbd_sources_t sources; /**< sources of the list of backend servers */
  gbd_platform_t *clients[GBD_SOURCES_MAX]; /**< one client for each source */
  gbd_time_t last_tick_at;
  const gbd_platform_api_t *platform_api;
  gbd_platform_watch_t *servers_watch;
  /** Requests the first list from a relay while servers_watch requests it from
   *  the platform; the first response is used.  NULL at other times. */
  gbd_platform_watch_t *start_watch;
  gbd_platform_watch_t *routes_watch;
  /** NULL if the setting zone-evacuation is no */
  gbd_cookie_evacuations_t *evacuations;
  gbd_admin_t *admin;
  gbd_admin_t *ready_server;
  gbd_admin_t *metrics_server;
  uint64_t random_value; /**< seed of the jitter, and proposed key if the
                              platform has none */
  gbd_backoff_t key_backoff;
  gbd_time_t key_retry_at; /**< earliest time of the next request for the key
                                from the platform */
  /** Client of the last request for a document, that is key or routes of a
   *  relay */
  const gbd_platform_t *document_client;
  gbd_backoff_t document_backoff;
  gbd_time_t document_due;     /**< earliest time of the next such request */
  uint32_t start_source;       /**< relay that start_watch uses */
  gbd_start_list_t start_list; /**< what to do with its list */
  uint32_t document_source; /**< source of the next request for a document */
  bool is_next_holder_due;  /**< start_watch should try the next holder
                              that this relay knows */
  bool is_relay_rejecting;  /**< the last response of a relay said that it
                                 cannot reach the platform */
  bool is_key_requested;    /**< a request for the key is in progress at the
                                 platform */
  bool has_key;
  uint64_t key;
  bool is_key_restored;       /**< the key was written again in this era */
  bool is_document_requested; /**< a request for a document is in progress */
  bool was_ready;
  bool is_listing;       /**< a listing of backend servers is in progress */
  bool is_list_outdated; /**< the relay that sent the last list could not reach
                              the platform */
  uint64_t list_version; /**< version of the list in the pool; 0: none */
  bool is_restoring;     /**< the entries that arrive are those of a restored
                              store, until the list is confirmed */
  bool is_base_outdated; /**< the listing that servers_watch continues was
                              outdated */
  bool is_routes_watch_failing; /**< the last request of the watch on routes
                                     failed */
  uint64_t listing_count;       /**< listings of backend servers started */
  gbd_time_t started_at;
  gbd_time_t unreachable_since;    /**< start of the current outage of the
                                        platform */
  gbd_time_t routes_read_at;       /**< when the installed routes were read */
  uint64_t routes_object_version;  /**< version of the object that holds the
                                        routes */
  gbd_time_t routes_stale_since;   /**< time since which a relay has reported
                                      newer routes; 0: no relay does */
  gbd_time_t servers_confirmed_at; /**< last time the list of backend servers
                                        was confirmed */
  gbd_time_t settings_check_due;
  int64_t settings_mtime; /**< modification time of the settings file, in ns */
  bool is_stopping;
  bool is_done;
  gbd_time_t shutdown_started_at;
  gbd_time_t shutdown_deadline; /**< latest end of forwarding */
  uint64_t setup_time_counts[GBD_SETUP_TIME_BUCKETS]; /**< flows by time from
                                                         the opening packet to
                                                         the next packet */
  uint32_t cold_service_count;
  gbd_cold_service_t cold_services[GBD_COLD_SERVICES_MAX]; /**< at the last
                                                                tick */
  lws_sorted_usec_list_t timer;
} gbd_cookie_serve_t;

/** Run until a planned shutdown.
 *  @param flags command-line flags, terminated by NULL
 *  @return a gbd_exit_t. */
int gbd_serve_cookie (gbd_settings_t *settings, char **flags);

/* cookie_store.c */

/** Create a client of the platform.  Each watch has its own client, so that a
 *  watch with an unresponsive connection does not delay the retries of
 *  another.
 *  @return NULL if memory is exhausted. */
gbd_platform_t *gbd_cookie_store_open (gbd_cookie_serve_t *serve,
                                       uint32_t max_backoff_ms,
                                       bool allow_stale_first_list);

/** Start reading from the platform.
 *  @return false with `error` set. */
bool gbd_cookie_store_start (gbd_cookie_serve_t *serve, const char **error);
/** Send the requests to the platform that are due. */
void gbd_cookie_store_tick (gbd_cookie_serve_t *serve, gbd_time_t now);

/** Write the group's key again if the platform has lost it, or has another one
 *  that an instance created since. */
void gbd_cookie_store_restore_key (gbd_cookie_serve_t *serve, gbd_time_t now);

/** Take key and routes from the documents of a relay's listing.
 *  @param documents as in gbd_platform_watch_callbacks_t */
void gbd_cookie_store_add_documents (gbd_cookie_serve_t *serve,
                                     const json_t *documents);

/** Record the object version of the routes that a relay has.  If they are
 *  newer than those of this instance and do not arrive within
 *  STALE_ROUTES_TIMEOUT, they are requested. */
void gbd_cookie_routes_check_version (gbd_cookie_serve_t *serve,
                                      uint64_t version, gbd_time_t now);

/* cookie_servers.c */

/** Start watching the backend servers, at the platform or at relays.
 *  @return false with `error` set. */
bool gbd_cookie_servers_start (gbd_cookie_serve_t *serve, const char **error);
void gbd_cookie_servers_tick (gbd_cookie_serve_t *serve, gbd_time_t now);
void gbd_cookie_servers_stop (gbd_cookie_serve_t *serve);
/** Whether the current source of the list is the platform, not a relay. */
bool gbd_cookie_servers_use_platform (const gbd_cookie_serve_t *serve);
/** Whether this instance is one of the configured relays. */
bool gbd_cookie_servers_is_relay (const gbd_cookie_serve_t *serve);
/** Whether there are relays besides this instance. */
bool gbd_cookie_servers_have_relays (const gbd_cookie_serve_t *serve);

/** Log an object of the platform that is invalid. */
void gbd_cookie_log_bad_object (gbd_cookie_serve_t *serve, const char *kind,
                                const char *name, uint64_t version,
                                const char *problem, gbd_time_t now);

/* cookie_evacuations.c: the zones that the operator has evacuated, from the
   platform or from relays; see docs/design/evacuation.md.  Without the setting
   zone-evacuation these functions do nothing. */

/** @return false with `error` set. */
bool gbd_cookie_evacuations_start (gbd_cookie_serve_t *serve,
                                   const char **error);
void gbd_cookie_evacuations_tick (gbd_cookie_serve_t *serve, gbd_time_t now);
void gbd_cookie_evacuations_stop (gbd_cookie_serve_t *serve);
/** Apply the set of another instance.
 *  @param set as in gbd_platform_watch_callbacks_t */
void gbd_cookie_evacuations_receive (gbd_cookie_serve_t *serve,
                                     const json_t *set);
/** A relay that can reach the platform has responded with its set.
 *  @param requested_at time of the request
 *  @return false if the process was paused since; the response may be older
 *  than the pause */
bool gbd_cookie_evacuations_confirm (gbd_cookie_serve_t *serve,
                                     gbd_time_t requested_at);
void gbd_cookie_evacuations_add_status (gbd_cookie_serve_t *serve,
                                        json_t *status);
/** Add the evacuated zones, if there are any, to a decision. */
void gbd_cookie_evacuations_explain (const gbd_cookie_serve_t *serve,
                                     json_t *fields);
/** Get the counters of the client of the watch; zero if there is none. */
void gbd_cookie_evacuations_get_calls (const gbd_cookie_serve_t *serve,
                                       gbd_platform_stats_t *stats);

/* cookie_holders.c: list, key and routes from other instances while the
   platform is unreachable; see start.h */

void gbd_cookie_holders_init (gbd_cookie_serve_t *serve);
/** Update the argument of requests to relays. */
void gbd_cookie_set_relay_argument (gbd_cookie_serve_t *serve);
/** Announce this instance to relays if it is a holder and it is time. */
void gbd_cookie_holders_tick (gbd_cookie_serve_t *serve, gbd_time_t now);
/** Another instance has announced itself; a gbd_relay_holder_callback_t. */
void gbd_cookie_holder_seen (void *data, const gbd_address_t *holder);

/* cookie_members.c: number and rank of the instances of the group */

/** Start counting readers and asking other relays, if this instance is a
 *  relay and the setting group-view is on.
 *  @return false with `error` set. */
bool gbd_cookie_members_start (gbd_cookie_serve_t *serve, const char **error);
/** Must be called before the relay is deleted. */
void gbd_cookie_members_stop (gbd_cookie_serve_t *serve);
/** Send the requests that are due, and pass the view to the director. */
void gbd_cookie_members_tick (gbd_cookie_serve_t *serve, gbd_time_t now);
/** A relay has sent its view; the callback group_view of a watch. */
void gbd_cookie_members_receive (void *data, const json_t *value);
/** Return the next of the readers of this relay that were seen in the last
 *  GBD_MEMBERS_VALIDITY.
 *  @param position 0 for the first one; advanced by this function
 *  @return false if there are no more, or this instance is not a relay. */
bool gbd_cookie_members_next_reader (const gbd_cookie_serve_t *serve,
                                     uint32_t *position, gbd_address_t *reader,
                                     gbd_time_t now);
/** Describe the view for `status`.  The setting must be on. */
json_t *gbd_cookie_members_describe (const gbd_cookie_serve_t *serve,
                                     gbd_time_t now);

typedef struct
{
  gbd_group_view_t view; /**< all zero if unknown */
  gbd_time_t age;        /**< of the view */
  uint64_t requests;     /**< to other relays */
} gbd_cookie_members_stats_t;

/** The setting must be on. */
void gbd_cookie_members_get_stats (const gbd_cookie_serve_t *serve,
                                   gbd_cookie_members_stats_t *stats,
                                   gbd_time_t now);

/* cookie_reports.c: what instances tell each other of backend servers.
   Without the setting reports-listen these functions do nothing, but
   gbd_cookie_reports_receive() and gbd_cookie_reports_get_stats() must not be
   called. */

void gbd_cookie_reports_start (gbd_cookie_serve_t *serve);
void gbd_cookie_reports_stop (gbd_cookie_serve_t *serve);
/** @return the descriptor that receives reports, or -1. */
int gbd_cookie_reports_get_fd (const gbd_cookie_serve_t *serve);
/** Process the datagrams that are ready, up to a limit. */
void gbd_cookie_reports_receive (gbd_cookie_serve_t *serve);
/** Schedule a transmission if there is something to report. */
void gbd_cookie_reports_check (gbd_cookie_serve_t *serve, gbd_time_t now);
/** The same, and log which servers are failing; also without the setting. */
void gbd_cookie_reports_tick (gbd_cookie_serve_t *serve, gbd_time_t now);

typedef struct
{
  uint64_t reports_sent; /**< of this instance, whatever the number of
                              relays */
  uint64_t reports_applied;
  uint64_t reports_outdated;   /**< about unknown servers, too old, or with
                                    values out of range */
  uint64_t reports_distrusted; /**< of an instance for which most servers are
                                    silent */
  uint64_t reports_dropped;    /**< not forwarded for lack of budget */
  uint64_t datagrams_received;
  uint64_t malformed;  /**< datagrams */
  uint64_t bytes_sent; /**< without IP and UDP headers */
  uint64_t send_errors;
} gbd_cookie_reports_stats_t;

void gbd_cookie_reports_get_stats (const gbd_cookie_serve_t *serve,
                                   gbd_cookie_reports_stats_t *stats);

/* cookie_warm_up.c: reports on the limit for cold backend servers */

/** Log where the limit has come into force or ended. */
void gbd_cookie_warm_up_tick (gbd_cookie_serve_t *serve, gbd_time_t now);
/** Add the services where it is in force; nothing if there are none. */
void gbd_cookie_warm_up_add_status (const gbd_cookie_serve_t *serve,
                                    json_t *status);
/** Add to the description of a backend server whether the limit applies. */
void gbd_cookie_warm_up_add_server (const gbd_cookie_serve_t *serve,
                                    const gbd_pool_server_t *server,
                                    json_t *fields, gbd_time_t now);

/* cookie_report.c */

extern const gbd_admin_callbacks_t gbd_cookie_admin_callbacks;
/** Log a decision; the observer of the data path. */
void gbd_cookie_report_decision (void *data, const gbd_packet_t *packet,
                                 const gbd_director_decision_t *decision,
                                 const gbd_flow_observation_t *observation,
                                 gbd_time_t now);
/** Log a probe result; the callback of the prober. */
void gbd_cookie_report_probe (void *data, const gbd_pool_server_t *server,
                              gbd_time_t began_at, gbd_time_t now);
/** Write the dump to standard error, on one line. */
void gbd_cookie_report_dump (gbd_cookie_serve_t *serve);

#endif
