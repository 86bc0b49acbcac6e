#include "route.h"

#include <assert.h>
#include <string.h>

static void reject_flow_of_gone_backend (gbd_route_t *route);
static bool belongs_to_service (const gbd_route_t *route, gbd_slot_t slot);

void
gbd_engine_prefetch (const gbd_engine_t *engine, const gbd_packet_t *packets,
                     uint32_t count)
{
  gbd_flow_hash_t hashes[GBD_PREFETCH_MAX];
  assert (count <= GBD_PREFETCH_MAX);
  for (uint32_t i = 0; i < count; i++)
    hashes[i] = gbd_flow_hash (&packets[i].flow, engine->settings.flow_key);
  gbd_flow_cache_prefetch (engine->cache, hashes, count);
}

void
gbd_engine_route (const gbd_engine_t *engine, const gbd_packet_t *packet,
                  const gbd_shim_t *shim, gbd_time_t now,
                  gbd_decision_t *decision)
{
  memset (decision, 0, sizeof *decision);
  decision->slot = GBD_SLOT_NONE;
  decision->service = GBD_SERVICE_NONE;
  decision->hash = gbd_flow_hash (&packet->flow, engine->settings.flow_key);
  if (shim)
    decision->shim = *shim;
  else
    decision->shim.origin = engine->settings.self;
  engine->settings.policy->route (engine, packet, shim, now, decision);
}

bool
gbd_route_begin (gbd_route_t *route)
{
  const gbd_engine_t *engine = route->engine;
  gbd_decision_t *decision = route->decision;
  gbd_service_handle_t handle = GBD_SERVICE_NONE;
  if (engine->catalog)
    handle = gbd_catalog_find (engine->catalog, &route->packet->flow.service);
  if (handle != GBD_SERVICE_NONE)
    {
      route->index = engine->service_indexes[handle];
      route->service = &engine->services[route->index];
      route->table = route->service->table;
      decision->service = handle;
    }

  bool is_member
      = engine->is_joined
        || (route->shim && route->shim->kind != GBD_SHIM_RELAY && route->table
            && gbd_table_has_member (route->table, engine->settings.self));
  if (!is_member && gbd_route_relay (route, GBD_RULE_NOT_JOINED))
    return false;
  if (!is_member || (route->service && !route->table))
    {
      gbd_route_drop (route, GBD_RULE_NOT_JOINED, GBD_DROP_NOT_JOINED);
      return false;
    }
  if (!route->service)
    {
      gbd_route_drop (route, GBD_RULE_NO_SERVICE, GBD_DROP_NO_SERVICE);
      return false;
    }
  decision->version = route->table->version;
  decision->bucket = gbd_table_bucket_of (route->table, decision->hash);
  route->bucket = &route->table->buckets[decision->bucket];
  route->cached
      = gbd_engine_find_cached (engine, route->index, decision->hash);
  return true;
}

void
gbd_route_drop (gbd_route_t *route, gbd_rule_t rule, gbd_drop_t drop)
{
  gbd_decision_t *decision = route->decision;
  decision->kind = GBD_ACTION_DROP;
  decision->rule = (uint8_t)rule;
  decision->drop = (uint8_t)drop;
  decision->slot = GBD_SLOT_NONE;
  decision->registers = false;
  decision->sends_hint = false;
  decision->sends_correction = false;
}

void
gbd_route_to_backend (gbd_route_t *route, gbd_rule_t rule, gbd_slot_t slot)
{
  gbd_decision_t *decision = route->decision;
  if (slot == GBD_SLOT_NONE)
    {
      gbd_route_drop (route, rule, GBD_DROP_NO_BACKEND);
      return;
    }
  if (!belongs_to_service (route, slot))
    {
      gbd_route_drop (route, rule, GBD_DROP_ISOLATION);
      return;
    }
  if (gbd_engine_get_slot_state (route->table, slot) == GBD_BACKEND_GONE)
    {
      reject_flow_of_gone_backend (route);
      return;
    }
  decision->kind = GBD_ACTION_BACKEND;
  decision->rule = (uint8_t)rule;
  decision->slot = slot;
  decision->backend = route->table->backends[slot].address;
  decision->sends_hint = route->shim && route->shim->kind == GBD_SHIM_LOOKUP
                         && route->packet->kind == GBD_PACKET_ESTABLISHED;
}

/* Responds to a packet of a flow whose backend server is GONE with a reset,
   which informs the caller at once that the flow has ended.  An opening
   packet, an ICMP message, a reset or a segment without ACK is dropped
   instead. */
static void
reject_flow_of_gone_backend (gbd_route_t *route)
{
  const gbd_packet_t *packet = route->packet;
  gbd_route_drop (route, GBD_RULE_GONE, GBD_DROP_NO_BACKEND);
  if (packet->has_ack && packet->kind != GBD_PACKET_OPENING
      && packet->kind != GBD_PACKET_ICMP && !packet->is_reset)
    route->decision->kind = GBD_ACTION_RESET;
}

void
gbd_route_to_peer (gbd_route_t *route, gbd_rule_t rule, gbd_instance_id_t peer,
                   gbd_shim_kind_t kind, gbd_slot_t slot)
{
  gbd_decision_t *decision = route->decision;
  uint8_t hops = route->shim ? route->shim->hops : 0;
  if (hops >= GBD_HOPS_MAX)
    {
      gbd_route_drop (route, rule, GBD_DROP_HOP_LIMIT);
      return;
    }
  decision->kind = GBD_ACTION_PEER;
  decision->rule = (uint8_t)rule;
  decision->slot = slot;
  decision->peer = peer;
  decision->shim.kind = (uint8_t)kind;
  decision->shim.hops = (uint8_t)(hops + 1);
  decision->shim.slot = slot;
  decision->shim.version = decision->version;
}

bool
gbd_route_relay (gbd_route_t *route, gbd_rule_t rule)
{
  const gbd_engine_t *engine = route->engine;
  gbd_instance_id_t best = 0;
  uint64_t best_weight = 0;
  for (uint32_t i = 0; i < engine->reachable_count; i++)
    {
      gbd_instance_id_t id = engine->reachable[i].id;
      if (id == engine->settings.self
          || (route->shim && id == route->shim->origin)
          || (route->table && !gbd_table_has_member (route->table, id)))
        continue;
      uint64_t weight = gbd_rendezvous_weight (id, route->decision->hash);
      if (best && weight <= best_weight)
        continue;
      best = id;
      best_weight = weight;
    }
  if (!best)
    return false;
  gbd_route_to_peer (route, rule, best, GBD_SHIM_RELAY, GBD_SLOT_NONE);
  return true;
}

bool
gbd_route_is_open (const gbd_route_t *route)
{
  const gbd_cached_flow_t *flow = route->cached;
  return flow && flow->slot != GBD_SLOT_NONE
         && !(flow->flags & GBD_CACHED_CLOSED)
         && !gbd_flow_cache_is_idle (route->engine->cache, flow, route->now);
}

bool
gbd_route_is_retransmission (const gbd_route_t *route)
{
  const gbd_cached_flow_t *flow = route->cached;
  return flow && (flow->flags & GBD_CACHED_SEQUENCE)
         && flow->sequence == (uint16_t)route->packet->sequence;
}

bool
gbd_route_is_admitted (gbd_route_t *route)
{
  const gbd_engine_t *engine = route->engine;
  if (route->shim || !engine->admission)
    return true;
  bool was_forwarded = gbd_route_is_retransmission (route);
  if (was_forwarded && !(route->cached->flags & GBD_CACHED_CLOSED))
    return true;
  if (engine->admission->admits (engine->admission_data,
                                 route->service->customer, route->now))
    return true;

  gbd_route_drop (route, GBD_RULE_LIMIT, GBD_DROP_LIMIT);
  /* A reset tells the caller that no backend server got its opening packet.
     If that packet was forwarded before, its retransmission is dropped
     instead. */
  if (!was_forwarded)
    route->decision->kind = GBD_ACTION_RESET;
  return false;
}

gbd_slot_t
gbd_route_rendezvous (const gbd_route_t *route, bool only_reachable)
{
  const gbd_table_t *table = route->table;
  gbd_slot_t best = GBD_SLOT_NONE;
  uint64_t best_weight = 0;
  for (uint32_t slot = 0; slot < table->backend_count; slot++)
    {
      const gbd_backend_t *backend = &table->backends[slot];
      if (backend->state != GBD_BACKEND_READY
          || (only_reachable
              && !gbd_route_is_zone_reachable (route, backend->zone)))
        continue;
      uint64_t weight
          = gbd_rendezvous_weight (backend->id, route->decision->hash);
      if (best != GBD_SLOT_NONE && weight <= best_weight)
        continue;
      best = (gbd_slot_t)slot;
      best_weight = weight;
    }
  return best;
}

bool
gbd_route_is_zone_reachable (const gbd_route_t *route, gbd_zone_id_t zone)
{
  const gbd_engine_t *engine = route->engine;
  if (zone == engine->settings.zone)
    return true;
  for (uint32_t i = 0; i < engine->reachable_count; i++)
    if (engine->reachable[i].zone == zone)
      return true;
  return false;
}

/* Isolation check, independent of the lookup that chose the table: the service
   address of the packet must belong to the service of the table, and the table
   must have the slot. */
static bool
belongs_to_service (const gbd_route_t *route, gbd_slot_t slot)
{
  const gbd_catalog_t *catalog = route->engine->catalog;
  gbd_service_handle_t handle
      = gbd_catalog_find (catalog, &route->packet->flow.service);
  return handle != GBD_SERVICE_NONE
         && gbd_catalog_get_service (catalog, handle)->id
                == route->table->service
         && slot < route->table->backend_count;
}
