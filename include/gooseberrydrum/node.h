/** @file node.h
 *  One instance of a spray group: joins membership, tables, coordinator and
 *  engine.  Events come in with the time; messages and writes go out through
 *  a table of function pointers.  No sockets, no clock.
 */
#ifndef GOOSEBERRYDRUM_NODE_H
#define GOOSEBERRYDRUM_NODE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/coordinator.h"
#include "gooseberrydrum/engine.h"
#include "gooseberrydrum/membership.h"

GBD_BEGIN_DECLS

typedef struct
{
  gbd_membership_settings_t membership;
  uint32_t bucket_count;          /**< of a service's first table */
  uint32_t move_max;              /**< buckets moved for balance in a step */
  uint32_t bulk_bytes_per_second; /**< for copies and exceptions */
  uint32_t watchers;              /**< instances of a group that watch */
} gbd_node_settings_t;

/** What has happened that an operator may want to know. */
typedef enum
{
  GBD_NOTE_TABLE,         /**< number: version in force */
  GBD_NOTE_TOUCH,         /**< number: gbd_touch_t */
  GBD_NOTE_JOINED,        /**< number: 1 joined, 0 left the rosters */
  GBD_NOTE_PEER_SILENT,   /**< number: instance */
  GBD_NOTE_PEER_HEARD,    /**< number: instance */
  GBD_NOTE_COMPLETE,      /**< number: version its copies are complete for */
  GBD_NOTE_CLAIMS_BLOCKED /**< number: seconds until keepers claim again */
} gbd_note_t;

/** What a node asks for. */
typedef struct
{
  /** Send to a peer; the message stays the node's. */
  void (*send) (void *data, gbd_instance_id_t to,
                const gbd_message_t *message);
  /** Write a table with a conditional update on the object's version (0:
   * must not exist); gbd_node_table_written() reports the outcome. */
  void (*write_table) (void *data, uint64_t object_version,
                       const gbd_table_t *table);
  /** Start or stop watching the platform. */
  void (*set_watching) (void *data, bool is_watching);
  /** A peer asked for the accepted lists; 0 for the instance list as well.
   */
  void (*send_config) (void *data, gbd_instance_id_t to);
  void (*note) (void *data, gbd_note_t note, gbd_service_id_t service,
                uint64_t number);
} gbd_node_actions_t;

typedef struct gbd_node gbd_node_t;

/** The engine stays the caller's and outlives the node. */
gbd_node_t *gbd_node_new (const gbd_node_settings_t *settings,
                          gbd_engine_t *engine,
                          const gbd_node_actions_t *actions, void *data,
                          gbd_time_t now);
void gbd_node_delete (gbd_node_t *node);

/* Events. */

void gbd_node_link_up (gbd_node_t *node, gbd_instance_id_t id,
                       gbd_zone_id_t zone, const char *name, gbd_time_t now);
void gbd_node_link_down (gbd_node_t *node, gbd_instance_id_t id);

/** A message other than HELLO, CONFIG and LOAD. */
void gbd_node_receive (gbd_node_t *node, const gbd_message_t *message,
                       gbd_time_t now);

/** Accepted lists came into force: services appear or end. */
gbd_status_t gbd_node_set_catalog (gbd_node_t *node,
                                   const gbd_catalog_t *catalog,
                                   gbd_time_t now);

/** Names of the instances that the platform lists as live. */
void gbd_node_set_listed (gbd_node_t *node, const char *const *names,
                          uint32_t count);

/** Wanted backend servers of a service and their weights. */
gbd_status_t gbd_node_set_backends (gbd_node_t *node, gbd_service_id_t service,
                                    const gbd_backend_t *backends,
                                    const uint16_t *weights, uint32_t count);

/** A table read from the platform.
 *  @param table the node takes ownership; NULL when there is none
 *  @param object_version version of the platform's object */
void gbd_node_read_table (gbd_node_t *node, gbd_service_id_t service,
                          uint64_t object_version, gbd_table_t *table,
                          gbd_time_t now);

/** All tables that the platform holds have been read, as of a request that
 *  was sent at asked_at. */
void gbd_node_confirm_platform (gbd_node_t *node, gbd_time_t asked_at,
                                gbd_time_t now);

/** Outcome of a write; the table is the one that was written. */
void gbd_node_table_written (gbd_node_t *node, gbd_service_id_t service,
                             gbd_status_t status, uint64_t object_version,
                             gbd_table_t *table, gbd_time_t now);

/** Planned stop: hand over and leave the rosters. */
void gbd_node_leave (gbd_node_t *node, gbd_time_t now);

/** Call about ten times a second. */
void gbd_node_tick (gbd_node_t *node, gbd_time_t now);

/* Queries. */

bool gbd_node_is_joined (const gbd_node_t *node);

/** Whether a leaving node is out of every roster that others could take
 * over. False while it is the only live member. */
bool gbd_node_has_left (const gbd_node_t *node, gbd_time_t now);
bool gbd_node_is_coordinator (const gbd_node_t *node, gbd_time_t now);
bool gbd_node_is_watching (const gbd_node_t *node);
gbd_touch_t gbd_node_get_touch (const gbd_node_t *node);
const gbd_membership_t *gbd_node_get_membership (const gbd_node_t *node);

typedef struct
{
  gbd_service_id_t id;
  uint64_t version;
  uint64_t complete;
  uint8_t step;     /**< gbd_step_t of the newest decision */
  bool has_claims;  /**< a keeper here may say "not registered" */
  uint32_t moving;  /**< buckets that are not STABLE */
  uint32_t backlog; /**< flow entries still to be sent */
} gbd_node_service_t;

uint32_t gbd_node_get_service_count (const gbd_node_t *node);
void gbd_node_get_service (const gbd_node_t *node, uint32_t index,
                           gbd_node_service_t *service);

/** Milliseconds for which no flow knowledge was lost in the group;
 *  UINT32_MAX if never. */
uint32_t gbd_node_get_covered_ms (const gbd_node_t *node, gbd_time_t now);

GBD_END_DECLS
#endif
