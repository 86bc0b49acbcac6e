/** @file world.h
 *  Simulated environment ("world") of a group of instances that run with the
 *  policy cookie.  One process contains the routers, the callers, the backend
 *  servers, and a proxy between each instance and the platform.  It injects
 *  faults, chosen by a seeded random number generator, and checks what callers
 *  and backend servers observe.
 *
 *  Addresses, all on the loopback interface:
 *    127.0.1.C:PORT  caller C; instances send their resets there too
 *    127.0.2.K:PORT  packets to instance K; /ready is at PORT + 1
 *    127.0.3.K:PORT  proxy through which instance K reaches the platform
 *    127.0.4.S:PORT  backend server S
 */
#ifndef STANDINS_WORLD_H
#define STANDINS_WORLD_H

#include <poll.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>

#include "standins/delay_queue.h"
#include "standins/echo_packet.h"
#include "standins/world_object_format.h"

#define WORLD_INSTANCES_MAX 100
#define WORLD_SERVERS_MAX 64
#define WORLD_CALLERS 8
#define WORLD_FLOWS 96        /**< concurrent flows of all callers */
#define WORLD_BURST_FLOWS 192 /**< further ones during a burst */
#define WORLD_ROUTES 4
#define WORLD_PRIORITIES 2 /**< of the overloaded service: 1 and 2 */
#define WORLD_ZONES 3
/** Routes whose requests are not idempotent and must not run twice. */
#define WORLD_NON_IDEMPOTENT_ROUTE 1
/** Further route of service 0, only with bursts.  It has priority 1; the other
 *  routes have priority 2 then. */
#define WORLD_URGENT_ROUTE 3
/** Number of requests that a server processes at once or holds in its queue;
 *  it answers others that it has not run them. */
#define WORLD_SERVER_ROOM 10
/** Time for which a started server is cold, the requests per second that it
 *  bears then, and the opening packets in one second that it may get: 1.5
 * times as many, and 5; see scripts/soak. */
#define WORLD_WARM_UP (5 * GBD_SECOND)
#define WORLD_WARM_UP_RATE 8
#define WORLD_WARM_UP_BUDGET 17
#define WORLD_RESPONSE_LENGTH 700
#define WORLD_FULL_RESPONSE_LENGTH 121
#define WORLD_RETRIES 2       /**< further attempts after a refused flow */
#define WORLD_POLLED_MAX 2048 /**< descriptors in one poll */

/* Limits that are checked, from the platform contract. */

/** Longest time from the draining entry of a backend server to its last new
 *  flow. */
#define WORLD_DRAIN_LIMIT (3 * GBD_SECOND)
/** Longest time from a change of the routes to the last flow of an older
 *  route. */
#define WORLD_ROUTES_LIMIT (3 * GBD_SECOND)
/** Longest time from the end of a fault until an instance is up to date with
 *  the platform again. */
#define WORLD_RESYNC_LIMIT (4 * GBD_SECOND)
/** Longest time from the last response of a full server until its service's
 *  opening packets are no longer refused: a second of evidence, 3 s of
 *  hysteresis, 3 s until all are admitted, and a second as margin. */
#define WORLD_ROOM_LIMIT (8 * GBD_SECOND)
/** Longest time from an order to evacuate a zone to the last opening packet at
 *  its servers.  It counts from the time at which the store acknowledged the
 *  order.  Where a fault kept an instance, a relay or all from the store, it
 *  counts from the time at which they reach it again; for relays at most 15 s
 *  are added.  A process that starts later counts from its start.  Once the
 *  bound has passed for a process, later faults do not suspend it. */
#define WORLD_EVACUATION_LIMIT (5 * GBD_SECOND)
/** Longest time from the last fault until requests are served again. */
#define WORLD_RECOVERY_LIMIT (8 * GBD_SECOND)
/** Least share of the requests after recovery that are served. */
#define WORLD_SERVED_SHARE_MIN 0.95

typedef struct world world_t;

/** Called when a polled descriptor is readable. */
typedef void (*world_poll_handler_t) (world_t *world, int fd, uint32_t index,
                                      gbd_time_t now);

/* Instances and routers. */

typedef struct
{
  gbd_address_t packets;
  gbd_address_t ready;
  char pid_file[256];
  bool is_in_rotation;
  uint32_t failed_probes;
  int probe_fd; /**< socket of the current readiness probe, or -1 */
  bool is_probe_sent;
  gbd_time_t disturbed_at; /**< end of the newest fault of the instance */
} world_instance_t;

/* Backend servers. */

typedef enum
{
  SERVER_FREE,
  SERVER_READY,
  SERVER_DRAINING,
  SERVER_CRASHED, /**< does not respond; its entry still exists */
  SERVER_REMOVED
} world_server_state_t;

typedef struct
{
  world_server_state_t state;
  int fd;
  int listen_fd;    /**< TCP socket at the same address, for connect probes */
  uint32_t service; /**< index of the service, 0 or 1 */
  uint64_t id;
  char name[GBD_NAME_MAX + 1];
  uint64_t writes; /**< number of writes of its entry */
  gbd_time_t due;  /**< time at which the state ends; 0 if it has no end */
  /** Time at which the platform acknowledged the draining entry. */
  gbd_time_t drained_at;
  gbd_time_t disturbed_at;
  /** Ends of the newest requests, only with bursts. */
  gbd_time_t busy_until[WORLD_SERVER_ROOM];
  gbd_time_t warm_at; /**< 0 if it is not cold at its start */
  /** Arrivals of the newest opening packets while it is cold. */
  gbd_time_t openings[WORLD_WARM_UP_BUDGET];
  uint64_t opening_count;
  GHashTable *flows; /**< server_flow_t by address and port of the caller */
} world_server_t;

/* Callers. */

typedef enum
{
  FLOW_FREE,
  FLOW_OPENING,
  FLOW_REQUESTING, /**< a request waits for its response */
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
  /** Index of the server that accepted the flow's opening packet;
   *  WORLD_SERVERS_MAX before that. */
  uint32_t server;
  uint32_t retransmissions;
  uint32_t refusals; /**< resets by instances of openings of its request */
  uint64_t request;  /**< number of the newest request; 0 before the first */
  bool is_in_burst;  /**< whether its request began during a burst */
  bool is_non_idempotent; /**< its requests must not run twice */
  gbd_time_t opening_sent_at;
  gbd_time_t request_started_at; /**< first attempt of the newest request */
  gbd_time_t opened_at;
  gbd_time_t due;
  gbd_time_t interval;
} world_flow_t;

/* Proxies between the instances and the platform. */

typedef enum
{
  PROXY_FORWARD,
  PROXY_RESET,        /**< resets open and new connections */
  PROXY_BLACKHOLE,    /**< accepts connections, forwards nothing */
  PROXY_REQUESTS_ONLY /**< forwards requests, but no responses */
} world_proxy_mode_t;

typedef struct
{
  int fd;
  uint32_t peer; /**< index of the other socket of the connection */
  uint32_t instance;
  bool is_from_instance;
  bool is_blocked; /**< nothing more is forwarded, even after the fault */
} world_proxy_socket_t;

typedef struct
{
  int listen_fd;
  world_proxy_mode_t mode;
  gbd_time_t until;
} world_proxy_t;

/** Guarantees of the product that can be violated. */
typedef enum
{
  WORLD_WRONG_SERVICE,    /**< a server of another service got a flow */
  WORLD_CHANGED_PACKET,   /**< a packet was changed on its way */
  WORLD_OPEN_FLOW_RESET,  /**< an instance reset a flow of a running server */
  WORLD_OPENING_RESET,    /**< an instance refused a flow that has a route */
  WORLD_REPEATED_REQUEST, /**< a non-idempotent request was executed twice */
  WORLD_FLOW_AT_DRAINING, /**< new flow at a server after WORLD_DRAIN_LIMIT */
  WORLD_OLDER_ROUTES,     /**< old routes used after WORLD_ROUTES_LIMIT */
  WORLD_NOT_RECOVERED,    /**< less than WORLD_SERVED_SHARE_MIN was served */
  /** A request failed although there were only planned operations. */
  WORLD_PLANNED_LOSS,
  /** Opening packet at a zone after WORLD_EVACUATION_LIMIT. */
  WORLD_OPENING_AT_EVACUATED,
  /** More opening packets in a second than a cold server may get. */
  WORLD_COLD_BUDGET,
  WORLD_VIOLATION_COUNT
} world_violation_t;
extern const char *const world_violation_strings[WORLD_VIOLATION_COUNT];

/* Evacuations. */

/** Order to evacuate one zone. */
typedef struct
{
  bool is_wanted;
  bool is_present; /**< whether the store may have the object */
  gbd_time_t due;  /**< time of the next change */
  gbd_time_t retry_at;
  gbd_time_t acknowledged_at; /**< 0 if no write is acknowledged */
  gbd_time_t ended_at;        /**< acknowledgment of the last deletion */
  /** Time from which an instance must not send opening packets to the zone;
   *  0 before that. */
  gbd_time_t bound_at[WORLD_INSTANCES_MAX];
} world_evacuation_t;

typedef struct
{
  GRand *random; /**< NULL if no zone is evacuated */
  world_evacuation_t orders[WORLD_ZONES];
  uint64_t checked;  /**< how often the bound began for an instance */
  gbd_time_t latest; /**< latest opening packet, from the start of the bound */
} world_evacuations_t;

/** Bursts of callers of service 0. */
typedef struct
{
  GRand *random; /**< NULL if there are none */
  bool is_active;
  gbd_time_t due;          /**< time of the next begin or end */
  gbd_time_t last_full_at; /**< last response of a full server */
  uint64_t full_responses;
  uint64_t refused; /**< opening packets that instances reset */
  uint64_t ended[WORLD_PRIORITIES]; /**< requests that began in a burst */
  uint64_t served[WORLD_PRIORITIES];
} world_bursts_t;

/** Starts of cold servers. */
typedef struct
{
  GRand *random;          /**< NULL if no server is cold */
  gbd_time_t due;         /**< time of the next start */
  gbd_time_t restored_at; /**< last restore of the store */
  uint64_t starts;
  uint64_t openings; /**< opening packets at cold servers */
} world_cold_t;

/** Results of the requests in each second, for measurements. */
typedef struct
{
  FILE *file; /**< NULL if none is written */
  uint32_t second;
  uint32_t failed;
  /** uint32_t in ms: from the first attempt of a request to its end. */
  GArray *times;
  GString *faults; /**< names of the faults that began in this second */
} world_series_t;

struct world
{
  uint16_t port;
  gbd_address_t platform;
  /** Format of the objects in the platform's store. */
  const world_object_format_t *object_format;
  GRand *random;
  gbd_time_t started_at;
  gbd_time_t faults_end_at;
  gbd_time_t ends_at;
  bool has_faults;
  /** Whether instances may refuse flows, which callers then retry
   *  WORLD_RETRIES times. */
  bool has_refusals;
  bool is_planned; /**< whether there are only planned operations, no faults */
  char **fault_names; /**< faults to inject; NULL for all */
  world_series_t series;
  world_evacuations_t evacuations;
  world_bursts_t bursts;
  world_cold_t cold;
  uint32_t instance_count;
  world_instance_t instances[WORLD_INSTANCES_MAX];
  world_proxy_t proxies[WORLD_INSTANCES_MAX];
  GArray *proxy_sockets; /**< world_proxy_socket_t; fd -1 if unused */
  uint32_t server_count;
  world_server_t servers[WORLD_SERVERS_MAX];
  int caller_fds[WORLD_CALLERS];
  world_flow_t flows[WORLD_FLOWS + WORLD_BURST_FLOWS];
  uint16_t next_port;
  uint64_t next_request;
  uint64_t next_server;
  GHashTable *execution_counts;        /**< request -> number of executions */
  GHashTable *non_idempotent_requests; /**< set of request numbers */
  delay_queue_t *delayed;
  double loss; /**< share of packets that are lost */
  gbd_time_t loss_until;
  gbd_time_t platform_fault_until; /**< end of the platform's current fault */
  gbd_time_t platform_disturbed_at;
  /** End of the last fault that kept all instances from the store, or
   *  G_MAXINT64 during one. */
  gbd_time_t platform_away_until;
  uint64_t routes_version;
  /** Index of the service of the third route; -1 if there is no such route. */
  int32_t third_service;
  int32_t previous_service;
  /** Time at which the platform acknowledged the current routes. */
  gbd_time_t routes_written_at;
  gbd_time_t next_fault_at;
  gbd_time_t next_probe_at;
  struct pollfd polled[WORLD_POLLED_MAX];
  world_poll_handler_t handlers[WORLD_POLLED_MAX];
  uint32_t indexes[WORLD_POLLED_MAX];
  uint32_t polled_count;
  uint64_t violations[WORLD_VIOLATION_COUNT];
  uint64_t requests_ended;
  uint64_t served;
  uint64_t failed;
  uint64_t failed_refused; /**< of these, refused at each attempt */
  uint64_t requests_after_recovery;
  uint64_t served_after_recovery;
};

/** Add a descriptor to the next poll. */
void world_poll (world_t *world, int fd, uint32_t index,
                 world_poll_handler_t handler);
/** Count a violation and print a description on standard error. */
void world_report_violation (world_t *world, world_violation_t violation,
                             gbd_time_t now, const char *format, ...)
    G_GNUC_PRINTF (4, 5);
gbd_address_t world_address (uint32_t network, uint32_t host, uint16_t port);
/** Get a random number in [0, 1). */
double world_draw_random (world_t *world);
/** Send a packet through the simulated network, which delays it and may lose
 *  it. */
void world_send (world_t *world, const gbd_address_t *to, const uint8_t *bytes,
                 size_t length, gbd_time_t now);

/* world_fabric.c */
bool world_fabric_start (world_t *world, const char *pid_folder);
void world_fabric_poll (world_t *world, gbd_time_t now);
/** Get the instance that the routers choose for a flow.  They choose among the
 *  instances in rotation, or among all instances if fewer than half of them
 *  are in rotation. */
const world_instance_t *world_fabric_choose (const world_t *world,
                                             uint32_t hash);
/** Whether no fault has affected an instance for WORLD_RESYNC_LIMIT, so that
 *  the other limits apply to it. */
bool world_is_undisturbed (const world_t *world, uint32_t instance,
                           gbd_time_t now);

/* world_servers.c */
bool world_server_add (world_t *world, uint32_t service, gbd_time_t now);
/** After a restore of the platform: running backend servers write their
 *  entries again. */
void world_servers_write_again (world_t *world);
/** Delete the entries of backend servers that have ended. */
void world_servers_expire_entries (world_t *world);
bool world_server_write (world_t *world, world_server_t *server);
/** Stop a server without a change of its entry, which expires later. */
void world_server_crash (world_server_t *server, gbd_time_t now);
void world_servers_poll (world_t *world);
void world_servers_tick (world_t *world, gbd_time_t now);
bool world_routes_write (world_t *world, gbd_time_t now);
/** Get the service of a route; -1 if the route does not exist. */
int32_t world_route_service (const world_t *world, uint32_t route);
/** Write an object of the store regardless of its version.
 *  @param value NULL deletes the object
 *  @return HTTP status; 0 without a response. */
int world_object_write (world_t *world, const char *kind, const char *name,
                        const json_t *value);

/* world_callers.c */
bool world_callers_start (world_t *world);
void world_callers_poll (world_t *world);
void world_callers_tick (world_t *world, gbd_time_t now);

/* world_bursts.c */
void world_bursts_start (world_t *world, uint32_t seed, gbd_time_t now);
void world_bursts_tick (world_t *world, gbd_time_t now);
/** Take a request at a server.
 *  @return time at which it ends, or 0 if the server is full. */
gbd_time_t world_bursts_take_request (world_t *world, world_server_t *server,
                                      gbd_time_t now);
void world_bursts_record_request (world_t *world, const world_flow_t *flow,
                                  bool is_served);
/** Whether a lack of room may be the reason why a flow was refused. */
bool world_bursts_may_refuse (const world_t *world, uint32_t service,
                              gbd_time_t now);
/** Print the results as members of a JSON object. */
void world_bursts_print (const world_t *world);

/* world_proxy.c */
bool world_proxies_start (world_t *world);
void world_proxies_poll (world_t *world);
void world_proxy_set (world_t *world, uint32_t instance,
                      world_proxy_mode_t mode, gbd_time_t until);
void world_proxies_tick (world_t *world, gbd_time_t now);

/* world_evacuations.c */
void world_evacuations_start (world_t *world, uint32_t seed, gbd_time_t now);
void world_evacuations_tick (world_t *world, gbd_time_t now);
/** After a restore of the platform: the operator gives the orders again. */
void world_evacuations_write_again (world_t *world);
void world_evacuations_check_opening (world_t *world, uint32_t server,
                                      uint32_t instance, gbd_time_t now);
/** Print the results as members of a JSON object. */
void world_evacuations_print (const world_t *world);
/** Whether evacuations and cold servers may leave a service without servers,
 *  as an instance knows it. */
bool world_evacuations_may_refuse (const world_t *world, uint32_t service,
                                   uint32_t instance, gbd_time_t now);
const char *world_server_zone (const world_t *world, uint32_t index);

/* world_cold.c */
void world_cold_start (world_t *world, uint32_t seed, gbd_time_t now);
void world_cold_tick (world_t *world, gbd_time_t now);
/** A new server becomes cold if it starts after the world. */
void world_cold_start_server (world_t *world, world_server_t *server,
                              gbd_time_t now);
uint32_t world_cold_get_remaining_ms (const world_server_t *server);
/** @param arrived_at in any clock */
void world_cold_check_opening (world_t *world, world_server_t *server,
                               uint32_t instance, gbd_time_t arrived_at,
                               gbd_time_t now);
/** Whether instances may still treat a server as cold. */
bool world_cold_may_be_cold (const world_t *world,
                             const world_server_t *server, gbd_time_t now);
/** Print the results as members of a JSON object. */
void world_cold_print (const world_t *world);

/* world_series.c */
/** Open the file to which the results of each second are written.
 *  @param path NULL for none */
bool world_series_open (world_t *world, const char *path);
void world_series_close (world_t *world);
void world_series_record_request (world_t *world, bool is_served,
                                  gbd_time_t time);
void world_series_record_fault (world_t *world, const char *name);
void world_series_tick (world_t *world, gbd_time_t now);

/* world_faults.c */
/** Whether there is at least one name and all of them are names of faults. */
bool world_faults_are_known (char *const *names);
void world_faults_tick (world_t *world, gbd_time_t now);

#endif
