/** @file route.h
 *  Steps that the policies have in common.
 */
#ifndef LIBGOOSEBERRYDRUM_ROUTE_H
#define LIBGOOSEBERRYDRUM_ROUTE_H

#include "engine_state.h"

/** One packet on its way through a policy. */
typedef struct
{
  const gbd_engine_t *engine;
  const gbd_packet_t *packet;
  const gbd_shim_t *shim; /**< NULL from the fabric */
  gbd_time_t now;
  uint16_t index; /**< of the service */
  const gbd_engine_service_t *service;
  const gbd_table_t *table;
  const gbd_bucket_t *bucket;
  const gbd_cached_flow_t *cached; /**< NULL if unknown */
  gbd_decision_t *decision;
} gbd_route_t;

/** Fill in service, table, bucket and cached flow.
 *  @return false when the packet is dropped already. */
bool gbd_route_begin (gbd_route_t *route);

/** End with a drop. */
void gbd_route_drop (gbd_route_t *route, gbd_rule_t rule, gbd_drop_t drop);

/** End at a backend server, after the last check. */
void gbd_route_to_backend (gbd_route_t *route, gbd_rule_t rule,
                           gbd_slot_t slot);

/** End at another instance, unless the packet made too many hops. */
void gbd_route_to_peer (gbd_route_t *route, gbd_rule_t rule,
                        gbd_instance_id_t peer, gbd_shim_kind_t kind,
                        gbd_slot_t slot);

/** Pass the whole packet to some live member of the roster.
 *  @return false when there is none. */
bool gbd_route_relay (gbd_route_t *route, gbd_rule_t rule);

/** Whether the cached flow is open and not idle. */
bool gbd_route_is_open (const gbd_route_t *route);

/** Whether the packet repeats the opening packet that the cache knows. */
bool gbd_route_is_repeated (const gbd_route_t *route);

/** Ask the limits for a new flow from the fabric.
 *  @return false when the packet is refused. */
bool gbd_route_is_admitted (gbd_route_t *route);

/** Slot of a new flow by rendezvous among the ready backend servers.
 *  @param in_reach only those of zones that are heard */
gbd_slot_t gbd_route_rendezvous (const gbd_route_t *route, bool in_reach);

/** Whether a zone is this instance's own or that of a live one. */
bool gbd_route_hears_zone (const gbd_route_t *route, gbd_zone_id_t zone);

/** Opening packets of the keepers policy. */
void gbd_route_open (gbd_route_t *route);

#endif
