/** @file group.h
 *  Several engines of one spray group in one process, with the control that
 *  the node gives them: table versions, copies, exceptions, told flows.
 *  Messages arrive at once; their bytes are counted as encoded.
 */
#ifndef BENCH_GROUP_H
#define BENCH_GROUP_H

#include "gooseberrydrum/coordinator.h"
#include "gooseberrydrum/engine.h"

#define GROUP_LIVES 10   /**< instances over the whole run */
#define GROUP_SERVERS 15 /**< backend servers over the whole run */
#define GROUP_BUCKETS 1024
#define GROUP_CONTROL_INTERVAL (200 * GBD_MILLISECOND)

typedef enum
{
  LIFE_ABSENT,
  LIFE_SERVING,
  LIFE_LEAVING, /**< still gets packets, no member any more */
  LIFE_DEAD
} life_t;

typedef struct
{
  const gbd_policy_t *policy;
  bool is_replicated; /**< every new flow is told to every instance */
  uint32_t idle_limit_s;
  uint32_t teach_per_second;
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
  gbd_engine_t *engines[GROUP_LIVES];
  gbd_member_t members[GROUP_LIVES];
  life_t lives[GROUP_LIVES];
  gbd_time_t dead_since[GROUP_LIVES];
  uint64_t held[GROUP_LIVES];       /**< table version */
  uint64_t complete[GROUP_LIVES];   /**< version copied for */
  gbd_time_t adopt_at[GROUP_LIVES]; /**< when the newest table arrives */
  gbd_backend_t servers[GROUP_SERVERS];
  uint16_t weights[GROUP_SERVERS];
  uint32_t server_count;
  gbd_table_t *newest;
  gbd_time_t written_at;
  gbd_time_t uncovered_at; /**< flow knowledge was lost or buckets moved */
  gbd_flow_entry_t *fresh; /**< every new flow, if replicated */
  uint32_t told_count;     /**< entries of fresh told already */
  uint32_t fresh_count;
  uint32_t fresh_capacity;
  uint64_t flow_entries; /**< told in all */
  uint64_t flow_messages;
  uint64_t table_bytes;
  uint64_t heartbeat_bytes;
  uint64_t random;
} group_t;

/** What became of one packet. */
typedef struct
{
  uint8_t kind; /**< gbd_action_kind_t; PEER if lost on the way */
  uint8_t peers;
  gbd_backend_id_t server; /**< 0 unless delivered */
} delivery_t;

void group_open (group_t *group, const group_settings_t *settings,
                 uint64_t seed, uint32_t instances, uint32_t servers);
void group_close (group_t *group);

/** Carry a packet from the fabric to its end. */
delivery_t group_deliver (group_t *group, uint32_t first,
                          const gbd_packet_t *packet);

/** Control work that is due; call every GROUP_CONTROL_INTERVAL. */
void group_control (group_t *group);

/** Planned and unplanned changes. */
void group_drain (group_t *group, uint32_t server);
void group_add_server (group_t *group);
void group_add_instance (group_t *group, uint32_t life);
void group_leave (group_t *group, uint32_t life);
void group_crash (group_t *group, uint32_t life);

/** Bytes of flow messages as encoded: of an entry and of a message. */
void group_get_encoded_sizes (double *entry, double *message);

/** Next of a sequence of pseudo-random numbers. */
uint64_t group_random (uint64_t *state);

#endif
