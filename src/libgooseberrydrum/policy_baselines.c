#include "route.h"

#include <string.h>

static void route_modulo (const gbd_engine_t *engine,
                          const gbd_packet_t *packet, const gbd_shim_t *shim,
                          gbd_time_t now, gbd_decision_t *decision);
static void route_rendezvous (const gbd_engine_t *engine,
                              const gbd_packet_t *packet,
                              const gbd_shim_t *shim, gbd_time_t now,
                              gbd_decision_t *decision);
static void route_cached (const gbd_engine_t *engine,
                          const gbd_packet_t *packet, const gbd_shim_t *shim,
                          gbd_time_t now, gbd_decision_t *decision);
static bool begin_route (gbd_route_t *route, const gbd_engine_t *engine,
                         const gbd_packet_t *packet, const gbd_shim_t *shim,
                         gbd_time_t now, gbd_decision_t *decision);
static gbd_slot_t choose_modulo (const gbd_route_t *route);

const gbd_policy_t gbd_policy_modulo = { "modulo", route_modulo };
const gbd_policy_t gbd_policy_rendezvous = { "rendezvous", route_rendezvous };
const gbd_policy_t gbd_policy_cached = { "cached", route_cached };

const gbd_policy_t *
gbd_policy_find (const char *name)
{
  static const gbd_policy_t *const policies[]
      = { &gbd_policy_replicas, &gbd_policy_modulo, &gbd_policy_rendezvous,
          &gbd_policy_cached };
  for (size_t i = 0; i < sizeof policies / sizeof policies[0]; i++)
    if (strcmp (policies[i]->name, name) == 0)
      return policies[i];
  return NULL;
}

static void
route_modulo (const gbd_engine_t *engine, const gbd_packet_t *packet,
              const gbd_shim_t *shim, gbd_time_t now, gbd_decision_t *decision)
{
  gbd_route_t route;
  if (begin_route (&route, engine, packet, shim, now, decision))
    gbd_route_to_backend (&route, GBD_RULE_BUCKET, choose_modulo (&route));
}

static void
route_rendezvous (const gbd_engine_t *engine, const gbd_packet_t *packet,
                  const gbd_shim_t *shim, gbd_time_t now,
                  gbd_decision_t *decision)
{
  gbd_route_t route;
  if (begin_route (&route, engine, packet, shim, now, decision))
    gbd_route_to_backend (&route, GBD_RULE_BUCKET,
                          gbd_route_rendezvous (&route, false));
}

static void
route_cached (const gbd_engine_t *engine, const gbd_packet_t *packet,
              const gbd_shim_t *shim, gbd_time_t now, gbd_decision_t *decision)
{
  gbd_route_t route;
  if (!begin_route (&route, engine, packet, shim, now, decision))
    return;
  bool is_known = packet->kind == GBD_PACKET_OPENING
                      ? gbd_route_is_open (&route)
                      : route.cached && route.cached->slot != GBD_SLOT_NONE;
  decision->is_new = !is_known && packet->kind != GBD_PACKET_ICMP;
  if (is_known)
    gbd_route_to_backend (&route, GBD_RULE_CACHED, route.cached->slot);
  else
    gbd_route_to_backend (&route, GBD_RULE_BUCKET,
                          gbd_route_rendezvous (&route, false));
}

static bool
begin_route (gbd_route_t *route, const gbd_engine_t *engine,
             const gbd_packet_t *packet, const gbd_shim_t *shim,
             gbd_time_t now, gbd_decision_t *decision)
{
  *route = (gbd_route_t){ .engine = engine,
                          .packet = packet,
                          .shim = shim,
                          .now = now,
                          .decision = decision };
  decision->is_new = packet->kind == GBD_PACKET_OPENING;
  return gbd_route_begin (route);
}

static gbd_slot_t
choose_modulo (const gbd_route_t *route)
{
  const gbd_table_t *table = route->table;
  uint32_t ready_count = 0;
  for (uint32_t slot = 0; slot < table->backend_count; slot++)
    ready_count += table->backends[slot].state == GBD_BACKEND_READY;
  if (ready_count == 0)
    return GBD_SLOT_NONE;

  uint32_t rank = (uint32_t)(route->decision->hash % ready_count);
  for (uint32_t slot = 0; slot < table->backend_count; slot++)
    if (table->backends[slot].state == GBD_BACKEND_READY && rank-- == 0)
      return (gbd_slot_t)slot;
  return GBD_SLOT_NONE;
}
