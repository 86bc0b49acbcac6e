/** @file group.h
 *  Simulated group of instances for measurements.  It runs several engines in
 *  one process and does the control work of the node: table versions, copies
 *  of registrations, exceptions, flow updates.  Messages arrive without delay;
 *  their encoded sizes are counted.
 */
#ifndef BENCH_GROUP_H
#define BENCH_GROUP_H

#include "gooseberrydrum/coordinator.h"
#include "gooseberrydrum/engine.h"

#define GROUP_INSTANCES 10 /**< total number of instances in a run */
#define GROUP_SERVERS 15   /**< total number of backend servers in a run */
#define GROUP_BUCKETS 1024
#define GROUP_CONTROL_INTERVAL (200 * GBD_MILLISECOND)

typedef enum
{
  INSTANCE_ABSENT,
  INSTANCE_SERVING,
  INSTANCE_LEAVING, /**< still gets packets, but is not a member any more */
  INSTANCE_CRASHED
} instance_state_t;

typedef struct
{
  const gbd_policy_t *policy;
  bool is_replicated; /**< every new flow is sent to every instance */
  uint32_t idle_limit_s;
  uint32_t hints_per_second;
  uint32_t cache_capacity;
  uint32_t registry_capacity;
} group_settings_t;

typedef struct
{
  group_settings_t settings;
  gbd_time_t now;
  gbd_catalog_t *catalog;
  gbd_service_id_t service;
  gbd_address_t address;
  gbd_engine_t *engines[GROUP_INSTANCES];
  gbd_member_t members[GROUP_INSTANCES];
  instance_state_t instance_states[GROUP_INSTANCES];
  gbd_time_t crashed_at[GROUP_INSTANCES];
  uint64_t table_versions[GROUP_INSTANCES];
  /** Table version for which each instance last got all exceptions and
   *  registrations. */
  uint64_t copied_versions[GROUP_INSTANCES];
  /** Time at which the newest table arrives at each instance. */
  gbd_time_t table_due_at[GROUP_INSTANCES];
  gbd_backend_t servers[GROUP_SERVERS];
  uint16_t weights[GROUP_SERVERS];
  uint32_t server_count;
  gbd_table_t *newest;
  gbd_time_t written_at;
  /** Time at which an instance last left or crashed, or buckets last moved. */
  gbd_time_t flows_lost_at;
  /** All new flows if settings.is_replicated. */
  gbd_flow_entry_t *opened_flows;
  uint32_t sent_count; /**< number of entries of opened_flows sent so far */
  uint32_t opened_count;
  uint32_t opened_capacity;
  uint64_t flow_entries; /**< number of flow entries sent */
  uint64_t flow_messages;
  uint64_t table_bytes;
  uint64_t heartbeat_bytes;
  uint64_t random;
} group_t;

/** Result of one packet. */
typedef struct
{
  /** gbd_action_kind_t; GBD_ACTION_PEER if the packet was lost between
   *  instances. */
  uint8_t kind;
  uint8_t hops;            /**< number of hops between instances */
  gbd_backend_id_t server; /**< 0 unless delivered */
} delivery_t;

void group_open (group_t *group, const group_settings_t *settings,
                 uint64_t seed, uint32_t instances, uint32_t servers);
void group_close (group_t *group);

/** Route a packet from the fabric until it is delivered, dropped or lost.
 *  @param first instance to which the fabric sends it */
delivery_t group_deliver (group_t *group, uint32_t first,
                          const gbd_packet_t *packet);

/** Do the control work that is due.  Call it every GROUP_CONTROL_INTERVAL. */
void group_control (group_t *group);

/* Planned and unplanned changes of the servers and instances. */
void group_drain (group_t *group, uint32_t server);
void group_add_server (group_t *group);
void group_add_instance (group_t *group, uint32_t instance);
void group_leave (group_t *group, uint32_t instance);
void group_crash (group_t *group, uint32_t instance);

/** Get the encoded sizes in bytes of one flow entry and of a flow message
 *  without entries. */
void group_get_encoded_sizes (double *entry, double *message);

/** Get the next pseudo-random number (splitmix64). */
uint64_t group_random (uint64_t *state);

#endif
