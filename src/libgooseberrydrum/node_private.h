/** @file node_private.h
 *  State of a node, shared by its source files:
 *  node.c events and queries, node_tick.c what time brings,
 *  node_tables.c versions and steps,
 *  node_flows.c copies of registrations and exchange of exceptions.
 */
#ifndef LIB_NODE_PRIVATE_H
#define LIB_NODE_PRIVATE_H

#include "gooseberrydrum/node.h"

/** What one peer reported for one service. */
typedef struct
{
  gbd_instance_id_t id;
  uint64_t version; /**< confirmed */
  uint64_t complete;
  uint64_t part_ended; /**< settle_id of its share of the exceptions */
  uint64_t rest_ended; /**< settle_id of its remaining exceptions */
  uint64_t copy_ended; /**< version of its answer to a copy request */
  uint64_t copy_asked; /**< version at which it was asked */
} progress_t;

/** Flows on their way to one peer; sent within the byte budget. */
typedef struct bulk
{
  struct bulk *next;
  gbd_instance_id_t to;
  gbd_service_id_t service;
  uint64_t version;
  uint64_t settle_id;
  uint8_t kind;     /**< gbd_flows_kind_t of the entries */
  uint8_t end_kind; /**< of the end mark */
  bool has_end;
  uint32_t count;
  uint32_t sent;
  gbd_flow_entry_t entries[];
} bulk_t;

typedef struct
{
  gbd_service_id_t id;
  uint64_t object_version;   /**< of the platform's object; 0 if none */
  uint64_t platform_version; /**< of the table in it */
  bool is_platform_known;
  bool has_backends; /**< wanted servers are known here */
  bool is_write_pending;
  bool is_listed; /**< in the accepted lists */
  uint8_t step;
  gbd_time_t adopted_at; /**< of the version in force */
  gbd_table_t *previous; /**< version before the one in force */
  uint32_t bucket_count;
  gbd_time_t *announced_at; /**< of each ANNOUNCED bucket */
  uint8_t *is_ripe;         /**< whether it was announced long enough */
  uint64_t settle_id;       /**< hash of the SETTLING buckets; 0: none */
  bool has_sent_part;
  bool is_exchange_again;
  bool has_sent_rest;
  uint64_t copy_version; /**< copies from this version on are needed; 0:
                              none */
  uint64_t complete;
  bool has_exceptions; /**< all that the version in force relies on */
  gbd_time_t claims_blocked_until;
  gbd_time_t wanted_at; /**< of the newest request for the table */
  uint32_t backend_count;
  gbd_backend_t *backends;
  uint16_t *weights;
  uint32_t progress_count;
  progress_t progress[GBD_LIVES_MAX];
} service_t;

struct gbd_node
{
  gbd_node_settings_t settings;
  gbd_engine_t *engine;
  const gbd_node_actions_t *actions;
  void *data;
  gbd_membership_t *membership;
  gbd_time_t started_at;
  gbd_time_t loss_at;        /**< newest loss of flow knowledge in the group */
  gbd_time_t fallback_until; /**< watches though others rank higher */
  gbd_time_t lists_wanted_at; /**< of the newest request for the lists */
  gbd_time_t bulk_at;
  int64_t bulk_tokens; /**< bytes; negative after a large message */
  uint64_t evictions;
  uint32_t heartbeat_count;
  bool is_heartbeat_due; /**< something changed that peers wait for */
  bool is_watching;
  bool is_leaving;
  bool is_joined;
  bool was_joined;
  gbd_touch_t touch;
  uint64_t generation;
  uint32_t service_count;
  uint32_t service_room;
  service_t *services; /**< ascending by id */
  uint32_t listed_count;
  char (*listed)[GBD_NAME_MAX + 1];
  uint32_t live_count;
  gbd_member_t live[GBD_LIVES_MAX]; /**< heard peers, without self */
  bulk_t *bulk_first;
  bulk_t **bulk_last;
};

/* node.c */
service_t *node_find_service (gbd_node_t *node, gbd_service_id_t id);
progress_t *node_find_progress (service_t *service, gbd_instance_id_t id);
bool node_is_live (const gbd_node_t *node, gbd_instance_id_t id);
void node_send (gbd_node_t *node, gbd_instance_id_t to,
                gbd_message_t *message);

/* node_tables.c */
void node_adopt_table (gbd_node_t *node, service_t *service,
                       gbd_table_t *table, gbd_time_t now);
void node_receive_table (gbd_node_t *node, const gbd_message_t *message,
                         gbd_time_t now);
void node_send_table (gbd_node_t *node, service_t *service,
                      gbd_instance_id_t to, const gbd_table_t *base);
void node_step_tables (gbd_node_t *node, gbd_time_t now);
bool node_is_silent (const gbd_node_t *node, const service_t *service,
                     gbd_instance_id_t id, gbd_time_t now);

/* node_flows.c */
/* Claims wait until registrations have been copied from all members; so do
   decisions for stable buckets if exceptions may be missing too. */
void node_require_copy (gbd_node_t *node, service_t *service,
                        bool loses_exceptions);
/* Exchange exceptions for a set of SETTLING buckets, from the start or again
   for a member that came late. */
void node_begin_settling (service_t *service, uint64_t settle_id,
                          bool is_again);
void node_receive_flows (gbd_node_t *node, const gbd_message_t *message,
                         gbd_time_t now);
void node_receive_flows_end (gbd_node_t *node, const gbd_message_t *message);
void node_answer_copy (gbd_node_t *node, const gbd_message_t *message);
void node_advance_flows (gbd_node_t *node, service_t *service, gbd_time_t now);
void node_send_bulk (gbd_node_t *node, gbd_time_t now);
void node_send_told (gbd_node_t *node);
void node_drop_bulk (gbd_node_t *node, gbd_instance_id_t to);

#endif
