/** @file world.h
 *  Everything around a group of instances with the policy cookie, in one
 *  process: routers, callers, backend servers, and a proxy between each
 *  instance and the platform.  It brings about faults by a seed and checks
 *  what callers and backend servers see.
 *
 *  Addresses, all loopback:
 *    127.0.1.C:PORT  callers, and where instances send their resets
 *    127.0.2.K:PORT  instance K for packets; PORT + 1 for /ready
 *    127.0.3.K:PORT  the platform as instance K reaches it
 *    127.0.4.S:PORT  backend server S
 */
#ifndef STANDINS_WORLD_H
#define STANDINS_WORLD_H

#include <poll.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>

#include "standins/delay_queue.h"
#include "standins/echo_wire.h"
#include "standins/world_form.h"

#define WORLD_INSTANCES_MAX 100
#define WORLD_SERVERS_MAX 64
#define WORLD_CALLERS 8
#define WORLD_FLOWS 96 /**< callers' flows at one time */
#define WORLD_ROUTES 3
#define WORLD_UNSAFE_ROUTE 1 /**< its requests must not run twice */
#define WORLD_POLLED_MAX 2048

/** Bounds of the promises, as the platform's sites state them. */
#define WORLD_DRAIN_TIME (3 * GBD_SECOND)
#define WORLD_CONFIG_TIME (3 * GBD_SECOND)
#define WORLD_TOUCH_TIME (4 * GBD_SECOND)
#define WORLD_RECOVERY_TIME (8 * GBD_SECOND)
#define WORLD_SERVED_SHARE 0.95 /**< after recovery */

typedef struct world world_t;

/** Called when a polled descriptor can be read. */
typedef void (*world_ready_t) (world_t *world, int fd, uint32_t index,
                               gbd_time_t now);

/* Instances and routers. */

typedef struct
{
  gbd_address_t packets;
  gbd_address_t ready;
  char pid_file[256];
  bool is_in_rotation;
  uint32_t misses;
  int probe_fd; /**< of a /ready call under way, or -1 */
  bool is_probe_sent;
  gbd_time_t disturbed_at; /**< end of its newest disturbance */
} world_instance_t;

/* Backend servers. */

typedef enum
{
  SERVER_FREE,
  SERVER_READY,
  SERVER_DRAINING,
  SERVER_CRASHED, /**< silent; its entry still stands */
  SERVER_GONE
} world_server_state_t;

typedef struct
{
  world_server_state_t state;
  int fd;
  int listen_fd;    /**< TCP at the same address; accepts and closes */
  uint32_t service; /**< 0 or 1 */
  uint64_t id;
  char name[GBD_NAME_MAX + 1];
  uint64_t writes;       /**< of its entry */
  gbd_time_t due;        /**< of the state's end */
  gbd_time_t drained_at; /**< its draining entry was acknowledged */
  gbd_time_t disturbed_at;
  GHashTable *flows; /**< of server_flow_t by caller's address and port */
} world_server_t;

/* Callers. */

typedef enum
{
  FLOW_FREE,
  FLOW_OPENING,
  FLOW_ASKING, /**< a request waits for its answer */
  FLOW_IDLE
} world_flow_state_t;

typedef struct
{
  world_flow_state_t state;
  uint32_t caller;
  uint32_t route;
  uint16_t port;
  bool is_long;
  uint32_t sequence;
  uint32_t acknowledgment;
  uint32_t cookie;
  uint32_t server; /**< that answered the opening; WORLD_SERVERS_MAX: none */
  uint32_t copies;
  uint64_t request; /**< 0: none yet */
  bool is_unsafe;   /**< must not run twice */
  gbd_time_t asked_at;
  gbd_time_t first_asked_at; /**< of the request's first try */
  gbd_time_t opened_at;
  gbd_time_t due;
  gbd_time_t interval;
} world_flow_t;

/* Proxies between instances and platform. */

typedef enum
{
  PROXY_PASS,
  PROXY_RESET,  /**< closes what is open and what comes */
  PROXY_SILENT, /**< takes connections, passes nothing on */
  PROXY_ONE_WAY /**< passes requests on, no answers */
} world_proxy_mode_t;

typedef struct
{
  int fd;
  uint32_t peer; /**< index of the other half */
  uint32_t instance;
  bool is_from_instance;
  bool is_silenced; /**< for good */
} world_half_t;

typedef struct
{
  int listen_fd;
  world_proxy_mode_t mode;
  gbd_time_t until;
} world_proxy_t;

/** What was promised and not kept. */
typedef enum
{
  WORLD_WRONG_SERVICE,
  WORLD_CHANGED_PACKET,
  WORLD_LIVING_FLOW_RESET,
  WORLD_OPENING_RESET,
  WORLD_RAN_TWICE,
  WORLD_NEW_WORK_AT_DRAINING,
  WORLD_OLDER_ROUTES,
  WORLD_NOT_RECOVERED,
  WORLD_PLANNED_LOSS, /**< a request failed though nothing but planned work
                           went on */
  WORLD_BREACH_COUNT
} world_breach_t;
extern const char *const world_breach_strings[WORLD_BREACH_COUNT];

/** What callers saw in each second, for measurements. */
typedef struct
{
  FILE *file; /**< NULL: none is written */
  uint32_t second;
  uint32_t failed;
  GArray *times;   /**< of uint32_t, ms from a request's first try */
  GString *faults; /**< that began in this second */
} world_series_t;

struct world
{
  uint16_t port;
  gbd_address_t platform;
  const world_form_t *form; /**< of what is written there */
  GRand *random;
  gbd_time_t started_at;
  gbd_time_t faults_end_at;
  gbd_time_t ends_at;
  bool has_faults;
  bool is_planned; /**< only planned work, no faults */
  char **only;     /**< names of the faults that come; NULL: all */
  world_series_t series;
  uint32_t instance_count;
  world_instance_t instances[WORLD_INSTANCES_MAX];
  world_proxy_t proxies[WORLD_INSTANCES_MAX];
  GArray *halves; /**< of world_half_t; fd -1: free */
  uint32_t server_count;
  world_server_t servers[WORLD_SERVERS_MAX];
  int caller_fds[WORLD_CALLERS];
  world_flow_t flows[WORLD_FLOWS];
  uint16_t next_port;
  uint64_t next_request;
  uint64_t next_server;
  GHashTable *runs;   /**< request -> number of runs */
  GHashTable *unsafe; /**< requests that must not run twice */
  delay_queue_t *delayed;
  double loss; /**< share of packets lost */
  gbd_time_t loss_until;
  gbd_time_t store_until; /**< end of the platform's disturbance */
  gbd_time_t store_disturbed_at;
  uint64_t routes_version;
  int32_t third_service; /**< of the third route; -1: no route */
  int32_t former_service;
  gbd_time_t routes_at; /**< the routes in force were acknowledged */
  gbd_time_t next_fault_at;
  gbd_time_t next_probe_at;
  struct pollfd polled[WORLD_POLLED_MAX];
  world_ready_t handlers[WORLD_POLLED_MAX];
  uint32_t indexes[WORLD_POLLED_MAX];
  uint32_t polled_count;
  uint64_t breaches[WORLD_BREACH_COUNT];
  uint64_t asked;
  uint64_t served;
  uint64_t failed;
  uint64_t late_asked; /**< after recovery */
  uint64_t late_served;
};

/** Add a descriptor to the next poll. */
void world_poll (world_t *world, int fd, uint32_t index,
                 world_ready_t handler);
/** Count a broken promise and say on standard error what was seen. */
void world_breach (world_t *world, world_breach_t breach, gbd_time_t now,
                   const char *format, ...) G_GNUC_PRINTF (4, 5);
gbd_address_t world_address (uint32_t network, uint32_t host, uint16_t port);
double world_chance (world_t *world);
/** Send through the network: lost or late as the faults have it. */
void world_send (world_t *world, const gbd_address_t *to, const uint8_t *bytes,
                 size_t length, gbd_time_t now);

/* world_fabric.c */
bool world_fabric_start (world_t *world, const char *pid_folder);
void world_fabric_poll (world_t *world, gbd_time_t now);
/** Instance that the routers choose for a flow, or NULL. */
const world_instance_t *world_fabric_choose (const world_t *world,
                                             uint32_t hash);
/** Whether an instance is undisturbed for as long as the bounds need. */
bool world_is_in_touch (const world_t *world, uint32_t instance,
                        gbd_time_t now);

/* world_servers.c */
bool world_server_add (world_t *world, uint32_t service, gbd_time_t now);
bool world_server_write (world_t *world, world_server_t *server);
/** End it without a word; its entry lapses later. */
void world_server_crash (world_server_t *server, gbd_time_t now);
void world_servers_poll (world_t *world);
void world_servers_tick (world_t *world, gbd_time_t now);
bool world_routes_write (world_t *world, gbd_time_t now);

/* world_callers.c */
bool world_callers_start (world_t *world);
void world_callers_poll (world_t *world);
void world_callers_tick (world_t *world, gbd_time_t now);

/* world_proxy.c */
bool world_proxies_start (world_t *world);
void world_proxies_poll (world_t *world);
void world_proxy_set (world_t *world, uint32_t instance,
                      world_proxy_mode_t mode, gbd_time_t until);
void world_proxies_tick (world_t *world, gbd_time_t now);

/* world_series.c */
/** @param path NULL for none */
bool world_series_open (world_t *world, const char *path);
void world_series_close (world_t *world);
void world_series_note_request (world_t *world, bool is_served,
                                gbd_time_t time);
void world_series_note_fault (world_t *world, const char *name);
void world_series_tick (world_t *world, gbd_time_t now);

/* world_faults.c */
/** Whether every name is that of a fault. */
bool world_faults_are_known (char *const *names);
void world_faults_tick (world_t *world, gbd_time_t now);

#endif
