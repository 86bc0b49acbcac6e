/** @file group.h
 *  Simulation of a group in one process, for tests.  Messages between the
 *  instances pass through the codec and are delayed, packets are forwarded
 *  from instance to instance as decided, and every flow records the backend
 *  server that accepted it.
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
  bool reaches_platform;
  bool is_listed;
  /** Instances of different partitions cannot reach each other. */
  uint8_t partition;
  gbd_instance_id_t id;
  char name[GBD_NAME_MAX + 1];
  gbd_engine_t *engine;
  gbd_node_t *node;
  gbd_time_t paused_at;
  /** Versions of the platform's object and lists delivered to this node. */
  uint64_t delivered_object_version;
  uint32_t delivered_lists_version;
  uint64_t highest_version; /**< highest table version that it has installed */
} group_node_t;

/** One flow as seen by its caller and the backend servers. */
typedef struct
{
  gbd_flow_t flow;
  gbd_backend_id_t server; /**< server that accepted it; 0 before */
  uint32_t sequence;
  bool is_answered; /**< a later packet reached its server */
} group_flow_t;

typedef struct
{
  uint32_t delay_ms; /**< of every message */
  /** Messages that are delivered a second time 500 ms later. */
  uint32_t duplicate_percent;
  /** Messages that are delivered 500 ms late, out of order. */
  uint32_t delayed_percent;
  bool is_platform_down;
  /** Writes take effect, but their responses are lost. */
  bool loses_responses;
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
  uint32_t lists_version; /**< of the lists of instances and servers */
  /** Setting of the instances that are started. */
  gbd_partition_policy_t partition_policy;
  struct group_message *messages;
  /** Opening packets of accepted flows that reached another server. */
  uint32_t duplicate_servers;
  /** Later packets that reached another server than the one that accepted the
   *  flow. */
  uint32_t misrouted_packets;
  uint32_t version_decreases; /**< decreases of an instance's table version */
  /** Flows that opened on a draining server after the allowed time. */
  uint32_t draining_server_flows;
  gbd_time_t down_at; /**< start of the platform's outage */
  gbd_time_t drained_at[GROUP_SERVERS];
} group_t;

/** Start servers and a group of instances in four zones, and run until all
 *  instances have joined.
 *  @return NULL if they have not joined after 30 s. */
group_t *group_new (uint32_t nodes, uint32_t servers,
                    gbd_partition_policy_t partition_policy, uint32_t seed);
void group_delete (group_t *group);

/** Advance the time in steps of 10 ms. */
void group_run (group_t *group, uint32_t milliseconds);

uint32_t group_random (group_t *group, uint32_t limit);

/** Start one more instance, in the partition that its entry in nodes already
 *  has.
 *  @return its index. */
uint32_t group_start_node (group_t *group);

/** Open links between an instance and all others that it can reach. */
void group_link_node (group_t *group, uint32_t index);
void group_crash_node (group_t *group, uint32_t index);
void group_leave_node (group_t *group, uint32_t index);
/** @return the index of a random instance that runs. */
uint32_t group_random_node (group_t *group);

void group_drain_server (group_t *group, uint32_t index);
void group_kill_server (group_t *group, uint32_t index);
void group_add_server (group_t *group);

/** Start or end an outage of the platform.  Drains that began during the
 *  outage count from its end. */
void group_set_platform_down (group_t *group, bool is_down);

/** Open a flow.  The opening packet is sent to random instances until it
 *  reaches a server.
 *  @return the index of the flow, or GROUP_FLOWS if no instance forwarded the
 *  packet. */
uint32_t group_open (group_t *group);

/** Retransmit the opening packet of a flow through one instance. */
void group_retransmit_opening (group_t *group, uint32_t flow, uint32_t node);

/** Send a later packet through one instance.
 *  @return whether the server that accepted the flow received it. */
bool group_send_packet (group_t *group, uint32_t flow, uint32_t node);

/** Send a later packet through random instances, at most `tries` times, until
 *  the server that accepted the flow receives it. */
bool group_send_packet_retrying (group_t *group, uint32_t flow,
                                 uint32_t tries);

/** Whether all instances that run and are listed hold the same version. */
bool group_is_converged (const group_t *group);

const gbd_table_t *group_table (const group_t *group, uint32_t node);

GBD_END_DECLS
#endif
