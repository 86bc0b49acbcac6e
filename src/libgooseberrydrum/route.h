/** @file route.h
 *  Functions that the routing policies share.
 */
#ifndef LIBGOOSEBERRYDRUM_ROUTE_H
#define LIBGOOSEBERRYDRUM_ROUTE_H

#include "engine_state.h"

/** Routing of one packet by a policy. */
typedef struct
{
  const gbd_engine_t *engine;
  const gbd_packet_t *packet;
  const gbd_shim_t *shim; /**< NULL for a packet from the fabric */
  gbd_time_t now;
  uint16_t index; /**< index of the service */
  const gbd_engine_service_t *service;
  const gbd_table_t *table;
  const gbd_bucket_t *bucket;
  const gbd_cached_flow_t *cached; /**< NULL if the flow is not cached */
  gbd_decision_t *decision;
} gbd_route_t;

/** Find the service, the table, the bucket and the cached flow of a packet.
 *  @return false if the function has decided to drop or relay the packet. */
bool gbd_route_begin (gbd_route_t *route);

/** Decide to drop the packet. */
void gbd_route_drop (gbd_route_t *route, gbd_rule_t rule, gbd_drop_t drop);

/** Decide to send the packet to a backend server; drops it if the isolation
 *  check fails, and drops or resets it if the server is gone. */
void gbd_route_to_backend (gbd_route_t *route, gbd_rule_t rule,
                           gbd_slot_t slot);

/** Decide to pass the packet to another instance, or to drop it if it has
 *  reached the hop limit. */
void gbd_route_to_peer (gbd_route_t *route, gbd_rule_t rule,
                        gbd_instance_id_t peer, gbd_shim_kind_t kind,
                        gbd_slot_t slot);

/** Relay the packet to a reachable member of the roster, which decides where
 *  it goes.
 *  @return false if no member is reachable. */
bool gbd_route_relay (gbd_route_t *route, gbd_rule_t rule);

/** Whether the cached flow is open and not idle. */
bool gbd_route_is_open (const gbd_route_t *route);

/** Whether the packet is a retransmission of the opening packet that is
 *  recorded in the flow cache. */
bool gbd_route_is_retransmission (const gbd_route_t *route);

/** Apply admission control to a new flow from the fabric.
 *  @return false when the flow is refused. */
bool gbd_route_is_admitted (gbd_route_t *route);

/** Choose the slot of a new flow by rendezvous hash among the ready backend
 *  servers.
 *  @param only_reachable choose only among the servers in reachable zones */
gbd_slot_t gbd_route_rendezvous (const gbd_route_t *route,
                                 bool only_reachable);

/** Whether this instance or a reachable instance is in a zone. */
bool gbd_route_is_zone_reachable (const gbd_route_t *route,
                                  gbd_zone_id_t zone);

/** Route an opening packet by gbd_policy_replicas. */
void gbd_route_open (gbd_route_t *route);

#endif
