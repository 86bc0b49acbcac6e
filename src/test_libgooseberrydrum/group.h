/** @file group.h
 *  Several instances' decision state in one process, for tests: messages
 *  pass through the codec with a delay, packets follow decisions from
 *  instance to instance, and every backend server remembers its flows.
 */
#ifndef TEST_GROUP_H
#define TEST_GROUP_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/node.h"

GBD_BEGIN_DECLS

#define GROUP_NODES 10
#define GROUP_SERVERS 16
#define GROUP_FLOWS 4096
#define GROUP_SERVICE_NAME "visitas"
#define GROUP_IDLE_LIMIT_S 300

typedef struct
{
  bool is_alive;
  bool is_paused;
  bool has_platform;
  bool is_listed;
  uint8_t side; /**< instances of different sides cannot hear each other */
  gbd_instance_id_t id;
  char name[GBD_NAME_MAX + 1];
  gbd_engine_t *engine;
  gbd_node_t *node;
  gbd_time_t paused_at;
  uint64_t seen_version; /**< object version given to this node */
  uint32_t seen_lists;   /**< version of the lists given to this node */
  uint64_t top_version;  /**< highest table version it had */
} group_node_t;

/** One flow as its caller and the backend servers know it. */
typedef struct
{
  gbd_flow_t flow;
  gbd_backend_id_t server; /**< that accepted it; 0 before */
  uint32_t sequence;
  bool is_answered; /**< a later packet reached its server */
} group_flow_t;

typedef struct
{
  uint32_t delay_ms;
  uint32_t repeat_percent;
  uint32_t late_percent; /**< arrive 500 ms later, out of order */
  bool is_platform_down;
  bool loses_answers; /**< writes take effect, answers get lost */
  uint32_t seed;
  uint32_t node_count;
  group_node_t nodes[GROUP_NODES];
  gbd_backend_t servers[GROUP_SERVERS];
  uint16_t weights[GROUP_SERVERS];
  uint32_t server_count;
  group_flow_t flows[GROUP_FLOWS];
  uint32_t flow_count;
  gbd_catalog_t *catalog;
  gbd_service_id_t service;
  gbd_time_t now;
  char *table; /**< JSON text of the platform's object */
  uint64_t object_version;
  uint32_t lists_version; /**< of instances and servers */
  gbd_cut_off_t cut_off;  /**< of instances started from now on */
  struct group_message *messages;
  uint32_t second_server; /**< opening packets that reached a second one */
  uint32_t wrong_server;  /**< later packets that reached another one */
  uint32_t fallen_version;
  uint32_t work_while_draining; /**< new flows after the allowed time */
  gbd_time_t down_at;           /**< begin of the platform's outage */
  gbd_time_t drained_at[GROUP_SERVERS];
} group_t;

/** Start a group of instances over four zones, and servers; run until all
 *  have joined.  @return NULL when they have not after 30 s. */
group_t *group_new (uint32_t nodes, uint32_t servers, gbd_cut_off_t cut_off,
                    uint32_t seed);
void group_delete (group_t *group);

/** Let time pass in steps of 10 ms. */
void group_run (group_t *group, uint32_t milliseconds);

uint32_t group_random (group_t *group, uint32_t limit);

/** Start one more instance, on the side that its place has already.
 *  @return its index. */
uint32_t group_start_node (group_t *group);

/** Open links between an instance and all that it can hear. */
void group_link_node (group_t *group, uint32_t index);
void group_crash_node (group_t *group, uint32_t index);
void group_leave_node (group_t *group, uint32_t index);
/** Index of a live instance, at random. */
uint32_t group_any_node (group_t *group);

void group_drain_server (group_t *group, uint32_t index);
void group_kill_server (group_t *group, uint32_t index);
void group_add_server (group_t *group);

/** Start or end an outage of the platform; drains that began in it count
 * from its end. */
void group_set_platform_down (group_t *group, bool is_down);

/** Open a flow; the opening packet is repeated at other instances until one
 *  passes it on.  @return its index, or GROUP_FLOWS when nobody would. */
uint32_t group_open (group_t *group);

/** Send the opening packet of a flow again at one instance. */
void group_open_again (group_t *group, uint32_t flow, uint32_t node);

/** Send a later packet through one instance.
 *  @return whether the flow's own server got it. */
bool group_send (group_t *group, uint32_t flow, uint32_t node);

/** Send a later packet, again at other instances, at most `tries` times. */
bool group_send_retrying (group_t *group, uint32_t flow, uint32_t tries);

/** Whether all live, listed instances hold the same version. */
bool group_is_converged (const group_t *group);

const gbd_table_t *group_table (const group_t *group, uint32_t node);

GBD_END_DECLS
#endif
