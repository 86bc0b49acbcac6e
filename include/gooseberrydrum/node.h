/** @file node.h
 *  Control state of one instance of a group: connects the failure detector,
 *  the tables, the coordinator and the engine.
 *
 *  The caller passes each event together with the current time.  The node
 *  sends messages and writes tables through callbacks; it opens no sockets
 *  and reads no clock.
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
  uint32_t bucket_count; /**< buckets of a service's first table */
  uint32_t move_max;     /**< maximum number of buckets moved for balance in a
                              step */
  /** Limit for transfers of registrations and exceptions to other
   *  instances. */
  uint32_t transfer_bytes_per_second;
  /** Number of instances of the group that watch the platform. */
  uint32_t watchers;
} gbd_node_settings_t;

/** Event that is reported to the operator.  The comment of each value
 *  describes the number that is reported with the event. */
typedef enum
{
  GBD_NODE_EVENT_TABLE,            /**< installed table version */
  GBD_NODE_EVENT_LEASE,            /**< new gbd_lease_t */
  GBD_NODE_EVENT_JOINED,           /**< 1: joined the rosters, 0: left them */
  GBD_NODE_EVENT_PEER_UNREACHABLE, /**< instance that is no longer reachable */
  GBD_NODE_EVENT_PEER_REACHABLE,   /**< instance that became reachable */
  /** Table version for which this instance has all registrations and
   *  exceptions. */
  GBD_NODE_EVENT_COMPLETE,
  /** Seconds during which this instance, as a replica, may not report "not
   *  registered" for a flow. */
  GBD_NODE_EVENT_NOT_AUTHORITATIVE
} gbd_node_event_t;

/** Callbacks of a node. */
typedef struct
{
  /** Send a message to a peer.  The node keeps ownership of the message. */
  void (*send) (void *data, gbd_instance_id_t to,
                const gbd_message_t *message);
  /** Write a table to the platform by compare-and-swap on the version of its
   *  object (0: the object must not exist).  The caller reports the outcome
   *  to gbd_node_table_written(). */
  void (*write_table) (void *data, uint64_t object_version,
                       const gbd_table_t *table);
  /** Start or stop watching the platform. */
  void (*set_watching) (void *data, bool is_watching);
  /** Send the accepted lists to a peer that asked for them. */
  void (*send_config) (void *data, gbd_instance_id_t to);
  /** Report an event.  `service` is 0 for an event that concerns no particular
   *  service. */
  void (*report_event) (void *data, gbd_node_event_t event,
                        gbd_service_id_t service, uint64_t number);
} gbd_node_actions_t;

typedef struct gbd_node gbd_node_t;

/** @param engine stays owned by the caller and must outlive the node
 *  @return NULL when memory is short. */
gbd_node_t *gbd_node_new (const gbd_node_settings_t *settings,
                          gbd_engine_t *engine,
                          const gbd_node_actions_t *actions, void *data,
                          gbd_time_t now);
void gbd_node_delete (gbd_node_t *node);

/* Events. */

/** A link to a peer is open and the peer has sent its HELLO. */
void gbd_node_link_up (gbd_node_t *node, gbd_instance_id_t id,
                       gbd_zone_id_t zone, const char *name, gbd_time_t now);

/** A link to a peer has closed: discards the flow transfers queued for it. */
void gbd_node_link_down (gbd_node_t *node, gbd_instance_id_t id);

/** Process a message of any type but HELLO, CONFIG and LOAD. */
void gbd_node_receive (gbd_node_t *node, const gbd_message_t *message,
                       gbd_time_t now);

/** Install new accepted lists, which may add and remove services. */
gbd_status_t gbd_node_set_catalog (gbd_node_t *node,
                                   const gbd_catalog_t *catalog,
                                   gbd_time_t now);

/** Set the names of the instances that the platform lists as live. */
void gbd_node_set_listed_instances (gbd_node_t *node, const char *const *names,
                                    uint32_t count);

/** Set the desired backend servers of a service and their weights. */
gbd_status_t gbd_node_set_backends (gbd_node_t *node, gbd_service_id_t service,
                                    const gbd_backend_t *backends,
                                    const uint16_t *weights, uint32_t count);

/** Process a table that was read from the platform.
 *  @param table the node takes ownership; NULL when the platform has none
 *  @param object_version version of the platform's object */
void gbd_node_set_platform_table (gbd_node_t *node, gbd_service_id_t service,
                                  uint64_t object_version, gbd_table_t *table,
                                  gbd_time_t now);

/** Record that this instance has read every table that the platform held.
 *  @param requested_at time at which the request was sent */
void gbd_node_confirm_platform (gbd_node_t *node, gbd_time_t requested_at,
                                gbd_time_t now);

/** Report the outcome of a write_table() call.
 *  @param table the table that was written; the node takes ownership */
void gbd_node_table_written (gbd_node_t *node, gbd_service_id_t service,
                             gbd_status_t status, uint64_t object_version,
                             gbd_table_t *table, gbd_time_t now);

/** Begin a planned stop: the coordinator removes this instance from the
 *  rosters after the other members have copied its registrations. */
void gbd_node_leave (gbd_node_t *node, gbd_time_t now);

/** Do all work that depends on time.  To be called about ten times a
 *  second. */
void gbd_node_tick (gbd_node_t *node, gbd_time_t now);

/* Queries. */

bool gbd_node_is_joined (const gbd_node_t *node);

/** Whether this instance is leaving and is no longer in any roster.  Stays
 *  false while it is the only running member, because no other member could
 *  replace it. */
bool gbd_node_has_left (const gbd_node_t *node, gbd_time_t now);
bool gbd_node_is_coordinator (const gbd_node_t *node, gbd_time_t now);
bool gbd_node_is_watching (const gbd_node_t *node);
gbd_lease_t gbd_node_get_lease (const gbd_node_t *node);
const gbd_membership_t *gbd_node_get_membership (const gbd_node_t *node);

typedef struct
{
  gbd_service_id_t id;
  uint64_t version;  /**< version of the current table; 0 without a table */
  uint64_t complete; /**< version for which this instance has all
                          registrations and exceptions */
  uint8_t step;      /**< gbd_step_t of the coordinator's newest step */
  /** This instance has all registrations, so that, as a replica, it may
   *  answer that a flow is not registered. */
  bool is_authoritative;
  uint32_t moving;  /**< number of buckets that are not STABLE */
  uint32_t backlog; /**< number of flow entries still to be sent */
} gbd_node_service_t;

uint32_t gbd_node_get_service_count (const gbd_node_t *node);
void gbd_node_get_service (const gbd_node_t *node, uint32_t index,
                           gbd_node_service_t *service);

/** Milliseconds since the group's flow caches last lost an open flow, because
 *  a cache evicted it or a member left a roster.  UINT32_MAX if that has not
 *  happened. */
uint32_t gbd_node_get_loss_free_ms (const gbd_node_t *node, gbd_time_t now);

GBD_END_DECLS
#endif
