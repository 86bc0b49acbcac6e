/** @file node_private.h
 *  State of a node, shared by its source files:
 *  node.c         events and queries
 *  node_tick.c    periodic work
 *  node_tables.c  table versions and coordinator steps
 *  node_flows.c   copies of registrations and the exchange of exceptions
 */
#ifndef LIBGOOSEBERRYDRUM_NODE_PRIVATE_H
#define LIBGOOSEBERRYDRUM_NODE_PRIVATE_H

#include "gooseberrydrum/node.h"

/** Progress of one peer with one service. */
typedef struct
{
  gbd_instance_id_t id;
  uint64_t version;  /**< newest version that the peer confirmed */
  uint64_t complete; /**< version for which the peer has all registrations and
                          exceptions */
  /* Identifiers of the newest exchange of which the peer has sent its share of
     the exceptions, and of the newest one of which it has sent the
     remainder. */
  uint64_t share_ended;
  uint64_t remainder_ended;
  /* Versions of the newest copy received from the peer and of the newest copy
     request sent to it. */
  uint64_t copy_received;
  uint64_t copy_requested;
} progress_t;

/** Flows queued for one peer, sent at no more than the configured rate. */
typedef struct flow_transfer
{
  struct flow_transfer *next;
  gbd_instance_id_t to;
  gbd_service_id_t service;
  uint64_t version;
  uint64_t exchange_id;
  uint8_t kind;     /**< gbd_flows_kind_t of the entries */
  uint8_t end_kind; /**< gbd_flows_kind_t of the FLOWS_END message */
  bool has_end;     /**< a FLOWS_END message remains to be sent */
  uint32_t count;
  uint32_t sent;
  gbd_flow_entry_t entries[];
} flow_transfer_t;

typedef struct
{
  gbd_service_id_t id;
  uint64_t object_version;   /**< version of the platform's object that stores
                                  the table; 0 if none */
  uint64_t platform_version; /**< version of the table in that object */
  bool has_read_platform;    /**< the platform's table was read since this
                                  instance began to watch */
  bool has_backends;         /**< this instance knows the desired backend
                                  servers */
  bool is_write_pending;
  bool is_listed; /**< the service is in the accepted lists */
  uint8_t step;
  gbd_time_t installed_at; /**< installation of the current version */
  gbd_table_t *previous;   /**< table before the current one */
  uint32_t bucket_count;
  /* Arrays with one entry per bucket; see gbd_coordinator_input_t. */
  gbd_time_t *announced_at;
  uint8_t *is_announcement_over;
  /* Current exchange of exceptions, identified by the hash of the SETTLING
     buckets; 0 if there is none.  It is repeated for a member that becomes
     reachable. */
  uint64_t exchange_id;
  bool has_sent_share;
  bool is_exchange_repeated;
  bool has_sent_remainder;
  uint64_t copy_version;   /**< oldest version at which copies of the
                                registrations must have been made; 0 if none
                                are required */
  uint64_t complete;       /**< version for which this instance has all
                                registrations and exceptions */
  bool has_all_exceptions; /**< this instance has all exceptions that the
                                current version depends on */
  /* Until this time, this instance, as a replica, may not report "not
     registered" for a flow. */
  gbd_time_t not_authoritative_until;
  gbd_time_t requested_at; /**< time of the newest table request */
  uint32_t backend_count;
  gbd_backend_t *backends;
  uint16_t *weights;
  uint32_t progress_count;
  progress_t progress[GBD_INCARNATIONS_MAX];
} service_t;

struct gbd_node
{
  gbd_node_settings_t settings;
  gbd_engine_t *engine;
  const gbd_node_actions_t *actions;
  void *data;
  gbd_membership_t *membership;
  gbd_time_t started_at;
  gbd_time_t loss_at; /**< time of the newest loss of an open flow in the
                           group */
  /* Until this time, this instance watches the platform even if its rank is
     too low. */
  gbd_time_t fallback_watch_until;
  /* Time of the newest request for the accepted lists. */
  gbd_time_t lists_requested_at;
  /* Token bucket of the flow transfers, in bytes; negative after a large
     message. */
  gbd_time_t transfer_refilled_at;
  int64_t transfer_tokens;
  uint64_t evictions;
  uint32_t heartbeat_count;
  bool is_heartbeat_due; /**< a change is to be sent to the peers at the next
                              tick */
  bool is_watching;
  bool is_leaving;
  bool is_joined;
  bool was_joined;
  gbd_lease_t lease;
  uint64_t generation;
  uint32_t service_count;
  uint32_t service_capacity;
  service_t *services; /**< ascending by id */
  uint32_t listed_count;
  /* Names of the instances that the platform lists. */
  char (*listed_names)[GBD_NAME_MAX + 1];
  uint32_t reachable_count;
  gbd_member_t reachable[GBD_INCARNATIONS_MAX]; /**< excludes this instance */
  /* Linked list of queued transfers: its first element, and the address of the
     pointer that the next transfer is stored in. */
  flow_transfer_t *transfer_first;
  flow_transfer_t **transfer_tail;
};

/* node.c */
service_t *node_find_service (gbd_node_t *node, gbd_service_id_t id);
/* Find the progress of a peer, or add an empty entry for it. */
progress_t *node_find_progress (service_t *service, gbd_instance_id_t id);
bool node_is_reachable (const gbd_node_t *node, gbd_instance_id_t id);
void node_send (gbd_node_t *node, gbd_instance_id_t to,
                gbd_message_t *message);

/* node_tables.c */
void node_install_table (gbd_node_t *node, service_t *service,
                         gbd_table_t *table, gbd_time_t now);
void node_receive_table (gbd_node_t *node, const gbd_message_t *message,
                         gbd_time_t now);
void node_send_table (gbd_node_t *node, service_t *service,
                      gbd_instance_id_t to, const gbd_table_t *base);
void node_step_tables (gbd_node_t *node, gbd_time_t now);
bool node_is_member_failed (const gbd_node_t *node, const service_t *service,
                            gbd_instance_id_t id, gbd_time_t now);

/* node_flows.c */
/* Require copies of the registrations from all members.  Until they have
   arrived, this instance may not report "not registered" for a flow.
   @param loses_exceptions whether exceptions may be missing as well; this
   instance then relays packets of unknown flows to other members instead of
   routing them by their buckets */
void node_require_copy (gbd_node_t *node, service_t *service,
                        bool loses_exceptions);
/* Begin the exchange of exceptions for a set of SETTLING buckets, or repeat it
   for a member that became reachable later. */
void node_begin_exchange (service_t *service, uint64_t exchange_id,
                          bool is_repeated_exchange);
void node_receive_flows (gbd_node_t *node, const gbd_message_t *message,
                         gbd_time_t now);
void node_receive_flows_end (gbd_node_t *node, const gbd_message_t *message);
void node_send_copy (gbd_node_t *node, const gbd_message_t *message);
void node_advance_flows (gbd_node_t *node, service_t *service, gbd_time_t now);
void node_send_transfers (gbd_node_t *node, gbd_time_t now);
void node_send_flow_updates (gbd_node_t *node);
void node_drop_transfers (gbd_node_t *node, gbd_instance_id_t to);

#endif
