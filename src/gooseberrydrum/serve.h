/** @file serve.h
 *  State of one running instance, shared by the files of `serve`:
 *  cmd_serve.c start, loop and stop; serve_platform.c objects of the
 *  platform; serve_endpoints.c backend servers; serve_peers.c links to other
 * instances; serve_load.c limits and balance; serve_report.c what the
 * administration interface shows.
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
  uint16_t weight; /**< 0 to 65535 as the platform states it, times 100 */
} gbd_endpoint_t;

/** An instance object of the platform. */
typedef struct
{
  char name[GBD_NAME_MAX + 1];
  gbd_address_t link;
  gbd_address_t peer;
  bool is_leaving;
} gbd_listed_instance_t;

/** A link's other side. */
typedef struct
{
  gbd_instance_id_t id;
  char name[GBD_NAME_MAX + 1];
} gbd_linked_t;

typedef enum
{
  GBD_WATCH_ACCEPTED,
  GBD_WATCH_ENDPOINTS,
  GBD_WATCH_INSTANCES,
  GBD_WATCH_TABLES
} gbd_watch_kind_t;
#define GBD_WATCH_COUNT 4

typedef struct
{
  const gbd_settings_t *settings;
  struct lws_context *context;
  gbd_instance_id_t self;
  gbd_zone_id_t zone;
  gbd_engine_t *engine;
  gbd_node_t *node;
  gbd_load_t *load;
  gbd_time_t weigh_due; /**< weights are decided anew */
  gbd_datapath_t *datapath;
  gbd_links_t *links;
  gbd_platform_t *platform;
  gbd_admin_t *admin;
  gbd_catalog_t *catalog;
  json_t *accepted; /**< accepted object in force; NULL before the first */
  uint64_t generation;
  gbd_platform_watch_t *watches[GBD_WATCH_COUNT];
  gbd_endpoint_t *endpoints;
  uint32_t endpoint_count;
  uint32_t endpoint_room;
  bool is_endpoints_known; /**< a full listing has been taken in */
  gbd_listed_instance_t listed[GBD_LIVES_MAX];
  uint32_t listed_count;
  gbd_linked_t linked[GBD_LIVES_MAX];
  uint32_t linked_count;
  bool has_instance_change; /**< since the list was last taken in */
  json_t *instance_values;  /**< name to value, as the platform lists them */
  const char *state;        /**< of this instance's own object */
  bool is_state_pending;
  bool is_state_written;
  gbd_time_t state_due; /**< of the next attempt to write it */
  gbd_time_t leave_at;  /**< planned stop asked for; 0 before */
  gbd_time_t stop_at;   /**< end of forwarding at the latest */
  bool is_stopping;
  bool is_done;
  lws_sorted_usec_list_t timer;
} gbd_serve_t;

/** Present time of the loop. */
gbd_time_t gbd_serve_now (void);

/* serve_platform.c */
void gbd_serve_set_watching (gbd_serve_t *serve, bool is_watching);
void gbd_serve_write_table (gbd_serve_t *serve, uint64_t object_version,
                            const gbd_table_t *table);
/** Write the state of this instance's own object until it is stored. */
void gbd_serve_set_state (gbd_serve_t *serve, const char *state);
void gbd_serve_write_state (gbd_serve_t *serve, gbd_time_t now);

/** Put accepted lists in force unless they are older than the present ones.
 *  @param value the accepted object; borrowed */
gbd_status_t gbd_serve_take_accepted (gbd_serve_t *serve, json_t *value,
                                      gbd_time_t now);
/** Take the instance list: name to value. */
void gbd_serve_take_instances (gbd_serve_t *serve, json_t *values);

/* serve_endpoints.c */
/** Reports of the watch on endpoints; data is the gbd_serve_t. */
void gbd_serve_endpoints_reset (void *data);
void gbd_serve_endpoint_changed (void *data, const char *name,
                                 uint64_t version, json_t *value);
void gbd_serve_endpoints_confirmed (void *data, gbd_time_t asked_at);
/** Hand each service its backend servers, with the weights decided now. */
void gbd_serve_apply_backends (gbd_serve_t *serve, gbd_time_t now);

/* serve_peers.c */
extern const gbd_links_callbacks_t gbd_serve_links_callbacks;
void gbd_serve_send_config (gbd_serve_t *serve, gbd_instance_id_t to);
/** Tell all linked peers the lists in force, or the instances. */
void gbd_serve_push_accepted (gbd_serve_t *serve);
void gbd_serve_push_instances (gbd_serve_t *serve);
/** Tell the data path where linked instances receive packets. */
void gbd_serve_map_peers (gbd_serve_t *serve);

/* serve_load.c */
/** Report what is due, and decide weights. */
void gbd_serve_tick_load (gbd_serve_t *serve, gbd_time_t now);
void gbd_serve_add_load_counters (gbd_counters_t *counters,
                                  const gbd_serve_t *serve);
/** Use of each customer's limits here. */
json_t *gbd_serve_make_customers (const gbd_serve_t *serve);

/* serve_report.c */
extern const gbd_admin_callbacks_t gbd_serve_admin_callbacks;
/** Write the dump to standard error. */
void gbd_serve_dump (gbd_serve_t *serve);

#endif
