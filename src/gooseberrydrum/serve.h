/** @file serve.h
 *  State of a running instance, shared by the source files of the subcommand
 *  `serve`:
 *
 *    cmd_serve.c         start, event loop and planned stop
 *    serve_platform.c    objects of the platform
 *    serve_endpoints.c   backend servers
 *    serve_peers.c       links to other instances
 *    serve_load.c        customer limits and load balance
 *    serve_report.c      content of the admin interface
 */
#ifndef PROGRAM_SERVE_H
#define PROGRAM_SERVE_H

#include <jansson.h>
#include <libwebsockets.h>

#include "admin.h"
#include "counters.h"
#include "datapath.h"
#include "links.h"
#include "platform_client.h"
#include "settings.h"

#include "gooseberrydrum/load.h"
#include "gooseberrydrum/node.h"

/** An endpoint object of the platform. */
typedef struct
{
  char name[GBD_NAME_MAX + 1];
  gbd_service_id_t service;
  gbd_backend_t backend;
  uint16_t weight; /**< table weight: 100 times the weight of the object, at
                      most 65500; 0 unless the server is ready */
} gbd_endpoint_t;

/** An instance object of the platform. */
typedef struct
{
  char name[GBD_NAME_MAX + 1];
  gbd_address_t link; /**< its address for links */
  gbd_address_t peer; /**< its address for packets from peers */
  bool is_leaving;    /**< planned stop is in progress */
} gbd_listed_instance_t;

/** An instance to which a link is up. */
typedef struct
{
  gbd_instance_id_t id;
  char name[GBD_NAME_MAX + 1];
} gbd_connected_peer_t;

/** Kinds of objects that are watched at the platform. */
typedef enum
{
  GBD_WATCH_ACCEPTED,
  GBD_WATCH_ENDPOINTS,
  GBD_WATCH_INSTANCES,
  GBD_WATCH_TABLES
} gbd_watch_kind_t;
#define GBD_WATCH_COUNT 4

/** State of the instance. */
typedef struct
{
  const gbd_settings_t *settings;
  struct lws_context *context;
  gbd_instance_id_t self;
  gbd_zone_id_t zone;
  gbd_engine_t *engine;
  gbd_node_t *node;
  gbd_load_t *load;
  gbd_time_t weights_due; /**< time of the next decision on weights */
  gbd_datapath_t *datapath;
  gbd_links_t *links;
  gbd_platform_t *platform;
  gbd_admin_t *admin;
  gbd_catalog_t *catalog;
  json_t *accepted;    /**< installed accepted configuration; NULL if none */
  uint64_t generation; /**< generation of `accepted`; 0 if none */
  gbd_platform_watch_t *watches[GBD_WATCH_COUNT];
  gbd_endpoint_t *endpoints;
  uint32_t endpoint_count;
  uint32_t endpoint_capacity;
  bool is_endpoint_list_synced; /**< the endpoints' full listing is complete */
  gbd_listed_instance_t listed_instances[GBD_INCARNATIONS_MAX];
  uint32_t listed_instance_count;
  gbd_connected_peer_t connected_peers[GBD_INCARNATIONS_MAX];
  uint32_t connected_peer_count;
  bool has_instance_change; /**< an instance object changed since the list of
                               instances was last applied */
  json_t *instance_objects; /**< values of the platform's instance objects by
                                name */
  const char *state;        /**< state in this instance's own object */
  bool is_state_pending;    /**< a request that writes the state is pending */
  bool is_state_written;
  gbd_time_t state_due; /**< time of the next attempt to write the state */
  gbd_time_t stop_requested_at; /**< start of the planned stop; 0 before it */
  gbd_time_t stop_deadline; /**< forwarding ends at this time at the latest */
  bool is_stopping;
  bool is_done;
  lws_sorted_usec_list_t timer;
} gbd_serve_t;

/** Current time of the event loop's clock. */
gbd_time_t gbd_serve_now (void);

/* serve_platform.c */
/** Start or stop the watches on the platform's objects. */
void gbd_serve_set_watching (gbd_serve_t *serve, bool is_watching);
/** Write a table to the platform with a conditional update on the version of
 *  its object.  The outcome is passed to gbd_node_table_written(). */
void gbd_serve_write_table (gbd_serve_t *serve, uint64_t object_version,
                            const gbd_table_t *table);
/** Set the state in this instance's own object at the platform and write the
 *  object; gbd_serve_write_state() retries until it is stored.
 *  @param state string literal; "stopped" removes the object */
void gbd_serve_set_state (gbd_serve_t *serve, const char *state);
/** Write the instance's own object if it has changed and an attempt is due. */
void gbd_serve_write_state (gbd_serve_t *serve, gbd_time_t now);

/** Install an accepted configuration.
 *  @param value the accepted object; a reference is added
 *  @return GBD_OK; GBD_ERROR_STALE unless its generation is newer than the
 *  current generation; GBD_ERROR_FORMAT if it is invalid; or an error of
 *  gbd_node_set_catalog(). */
gbd_status_t gbd_serve_apply_accepted (gbd_serve_t *serve, json_t *value,
                                       gbd_time_t now);
/** Apply the list of instances: sets the peers of links, node and data path.
 *  @param values values of the platform's instance objects by name */
void gbd_serve_apply_instances (gbd_serve_t *serve, json_t *values);

/* serve_endpoints.c */
/** Callbacks of the watch on endpoints; data is the gbd_serve_t. */
void gbd_serve_endpoints_reset (void *data);
void gbd_serve_endpoint_changed (void *data, const char *name,
                                 uint64_t version, json_t *value);
void gbd_serve_endpoints_confirmed (void *data, gbd_time_t requested_at);
/** Set the backend servers of each service in the node, with newly decided
 *  weights. */
void gbd_serve_apply_backends (gbd_serve_t *serve, gbd_time_t now);

/* serve_peers.c */
extern const gbd_links_callbacks_t gbd_serve_links_callbacks;
/** Send the accepted configuration to a peer. */
void gbd_serve_send_config (gbd_serve_t *serve, gbd_instance_id_t to);
/** Send the accepted configuration, or the list of instances, to all connected
 *  peers. */
void gbd_serve_broadcast_accepted (gbd_serve_t *serve);
void gbd_serve_broadcast_instances (gbd_serve_t *serve);
/** Set the packet addresses of connected peers in the data path. */
void gbd_serve_update_peer_addresses (gbd_serve_t *serve);

/* serve_load.c */
/** Exchange load reports, and decide weights when due. */
void gbd_serve_tick_load (gbd_serve_t *serve, gbd_time_t now);
/** Add the metrics of customers and services. */
void gbd_serve_add_load_counters (gbd_counters_t *counters,
                                  const gbd_serve_t *serve);
/** Describe each customer's use of its limits at this instance (JSON array).
 */
json_t *gbd_serve_describe_customers (const gbd_serve_t *serve);

/* serve_report.c */
extern const gbd_admin_callbacks_t gbd_serve_admin_callbacks;
/** Write the state, as of GET /dump, to standard error. */
void gbd_serve_dump (gbd_serve_t *serve);

#endif
