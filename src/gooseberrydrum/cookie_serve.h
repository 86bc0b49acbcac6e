/** @file cookie_serve.h
 *  `gooseberrydrum serve --policy=cookie`: one instance that routes by cookie
 *  and shares nothing with its peers but what the platform holds.
 */
#ifndef PROGRAM_COOKIE_SERVE_H
#define PROGRAM_COOKIE_SERVE_H

#include "admin.h"
#include "cookie_path.h"
#include "journal.h"
#include "gooseberrydrum/sources.h"
#include "platform_client.h"
#include "prober.h"
#include "relay.h"
#include "settings.h"

/** Latency histogram, in powers of two of milliseconds. */
#define GBD_SETUP_TIME_BUCKETS 12

typedef struct
{
  gbd_settings_t *settings;
  char **flags; /**< of the command line, to read settings again */
  gbd_time_t (*clock) (void *data); /**< called with NULL */
  struct lws_context *context;
  gbd_journal_t *journal;
  gbd_director_t *director;
  gbd_cookie_datapath_t *path;
  gbd_prober_t *prober;                 /**< NULL: none */
  gbd_platform_t *platform;             /**< for routes and key */
  gbd_platform_t *servers_platform;     /**< for the backend servers */
  gbd_platform_dialect_t relay_dialect; /**< own API, entries as the platform
                                             has them */
  gbd_relay_t *relay;                   /**< NULL: this instance is none */
  gbd_sources_t sources;                /**< of the backend servers */
  gbd_platform_t *clients[GBD_SOURCES_MAX]; /**< one a source */
  gbd_time_t last_tick_at;
  const gbd_platform_dialect_t *dialect;
  gbd_platform_watch_t *servers_watch;
  gbd_platform_watch_t *routes_watch;
  gbd_admin_t *admin;
  gbd_admin_t *ready_server;
  gbd_admin_t *metrics_server;
  uint64_t random_value; /**< proposes a key */
  bool is_key_requested; /**< a call for the key is under way */
  bool has_key;
  bool was_ready;
  bool is_listing;          /**< a listing of backend servers is under way */
  uint64_t listing_count;   /**< begun so far */
  bool is_platform_failing; /**< the platform failed since the last answer
                            about backend servers */
  bool is_routes_watch_failing; /**< the watch on routes fails */
  gbd_time_t started_at;
  gbd_time_t unreachable_since;   /**< while the platform is away */
  gbd_time_t routes_read_at;      /**< the routes in force were read */
  uint64_t routes_object_version; /**< version of their object */
  gbd_time_t routes_stale_since;  /**< since then a relay has newer ones; 0:
                                  none  has */
  gbd_time_t
      servers_confirmed_at; /**< the list of backend servers was confirmed */
  gbd_time_t settings_check_due; /**< of the next look at the settings file */
  int64_t settings_mtime; /**< time of change of the settings file, in ns */
  bool is_stopping;
  bool is_done;
  gbd_time_t shutdown_started_at;
  gbd_time_t shutdown_deadline; /**< end of forwarding at the latest */
  uint64_t setup_time_counts[GBD_SETUP_TIME_BUCKETS]; /**< answered, by time */
  lws_sorted_usec_list_t timer;
} gbd_cookie_serve_t;

/** Run until a planned stop.
 *  @param flags of the command line, ends with NULL
 *  @return a gbd_exit_t. */
int gbd_serve_cookie (gbd_settings_t *settings, char **flags);

/* cookie_store.c */

/** A client of the platform.  Each watch has its own, so that one which waits
 *  for a silent connection does not hold up the other's tries.
 *  @return NULL when memory is short. */
gbd_platform_t *gbd_cookie_store_open (gbd_cookie_serve_t *serve,
                                       uint32_t longest_pause_ms,
                                       bool first_list_may_lag);

/** Start to read what the platform holds.  @return false with `error` set. */
bool gbd_cookie_store_start (gbd_cookie_serve_t *serve, const char **error);
/** Ask again for what is missing. */
void gbd_cookie_store_tick (gbd_cookie_serve_t *serve, gbd_time_t now);

/** A relay has routes of this object version: if they are newer, and do not
 *  come soon, ask for them. */
void gbd_cookie_routes_check_version (gbd_cookie_serve_t *serve,
                                      uint64_t version, gbd_time_t now);

/* cookie_servers.c */

/** Start to watch the backend servers, at the platform or at relays. */
bool gbd_cookie_servers_start (gbd_cookie_serve_t *serve, const char **error);
void gbd_cookie_servers_tick (gbd_cookie_serve_t *serve, gbd_time_t now);
void gbd_cookie_servers_stop (gbd_cookie_serve_t *serve);
/** Whether the list is read at the platform itself, not at a relay. */
bool gbd_cookie_servers_use_platform (const gbd_cookie_serve_t *serve);

/** Log an object of the platform that does not decode. */
void gbd_cookie_log_bad_object (gbd_cookie_serve_t *serve, const char *kind,
                                const char *name, uint64_t version,
                                const char *problem, gbd_time_t now);

/* cookie_report.c */

extern const gbd_admin_callbacks_t gbd_cookie_admin_callbacks;
/** Log a decision; an observer of the packet path. */
void gbd_cookie_report_decision (void *data, const gbd_packet_t *packet,
                                 const gbd_director_decision_t *decision,
                                 const gbd_flow_observation_t *observation,
                                 gbd_time_t now);
/** Log what a probe showed; told by the prober. */
void gbd_cookie_report_probe (void *data, const gbd_pool_server_t *server,
                              gbd_time_t began_at, gbd_time_t now);
/** Write the dump to standard error, in one line. */
void gbd_cookie_report_dump (gbd_cookie_serve_t *serve);

#endif
