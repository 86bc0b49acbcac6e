#include "route.h"

/* Two replicas with incomplete registrations pass a packet to each other only
   until it has made this many hops. */
#define LOOKUP_HOPS_MAX 3

static void route_replicas (const gbd_engine_t *engine,
                            const gbd_packet_t *packet, const gbd_shim_t *shim,
                            gbd_time_t now, gbd_decision_t *decision);
static bool is_adjacent_version (const gbd_route_t *route);
static void route_established (gbd_route_t *route);
static bool may_be_reopened (const gbd_route_t *route);
static gbd_slot_t get_unregistered_slot (const gbd_route_t *route);
static gbd_slot_t get_gone_slot (const gbd_route_t *route);
static void route_known_flow (gbd_route_t *route, gbd_rule_t rule,
                              gbd_slot_t slot);
static bool is_closing_along_chain (const gbd_route_t *route);
static gbd_instance_id_t find_next_replica (const gbd_route_t *route);
static void look_up_flow (gbd_route_t *route);
static void respond_as_replica (gbd_route_t *route,
                                gbd_instance_id_t other_replica);

const gbd_policy_t gbd_policy_replicas = { "keepers", route_replicas };

static void
route_replicas (const gbd_engine_t *engine, const gbd_packet_t *packet,
                const gbd_shim_t *shim, gbd_time_t now,
                gbd_decision_t *decision)
{
  gbd_route_t route = { .engine = engine,
                        .packet = packet,
                        .shim = shim,
                        .now = now,
                        .decision = decision };
  if (!gbd_route_begin (&route))
    return;
  if (!is_adjacent_version (&route))
    gbd_route_drop (&route, GBD_RULE_NO_LEASE, GBD_DROP_UNCERTAIN);
  else if (packet->kind == GBD_PACKET_OPENING)
    gbd_route_open (&route);
  else
    route_established (&route);
}

/* Whether the table versions of the sender and of this instance are the same
   or adjacent: decisions made under versions further apart are not compatible.
   A packet from the fabric and a relayed packet carry no decision and need no
   such check. */
static bool
is_adjacent_version (const gbd_route_t *route)
{
  if (!route->shim || route->shim->kind == GBD_SHIM_RELAY)
    return true;
  uint64_t sender_version = route->shim->version;
  uint64_t own_version = route->table->version;
  return sender_version <= own_version + 1
         && own_version <= sender_version + 1;
}

static void
route_established (gbd_route_t *route)
{
  gbd_flow_hash_t hash = route->decision->hash;
  const gbd_registered_flow_t *known;

  if (route->cached && route->cached->slot != GBD_SLOT_NONE
      && !may_be_reopened (route))
    {
      route_known_flow (route, GBD_RULE_CACHED, route->cached->slot);
      return;
    }
  route->decision->is_new = route->packet->kind != GBD_PACKET_ICMP;
  if ((known = gbd_registry_find (route->service->exceptions, hash)))
    gbd_route_to_backend (route, GBD_RULE_EXCEPTION, known->slot);
  else if ((known = gbd_registry_find (route->service->registered, hash)))
    route_known_flow (route, GBD_RULE_REGISTERED, known->slot);
  else if (gbd_engine_get_lease (route->engine, route->now) != GBD_LEASE_FULL)
    gbd_route_drop (route, GBD_RULE_NO_LEASE, GBD_DROP_UNCERTAIN);
  else if (is_closing_along_chain (route)
           && route->shim->slot != GBD_SLOT_NONE)
    route_known_flow (route, GBD_RULE_REGISTERED, route->shim->slot);
  else if (gbd_bucket_needs_lookup (route->bucket))
    look_up_flow (route);
  else if (route->service->is_complete)
    gbd_route_to_backend (route, GBD_RULE_BUCKET,
                          gbd_bucket_default_slot (route->bucket));
  else if (route->shim || !gbd_route_relay (route, GBD_RULE_INCOMPLETE))
    gbd_route_drop (route, GBD_RULE_INCOMPLETE, GBD_DROP_UNCERTAIN);
}

/* Whether a cached flow of a gone server may have been reopened: the caller
   retransmits an opening packet that its server never answered, and another
   instance may have opened the flow at a server that is not gone.  The
   replicas have its registration. */
static bool
may_be_reopened (const gbd_route_t *route)
{
  /* Once the bucket has moved, no replica has registrations to look up.  The
     flow may then have been reopened only if its server never answered, that
     is, if this instance has forwarded only opening packets of the flow. */
  bool may_be_elsewhere = gbd_bucket_needs_lookup (route->bucket)
                          || !(route->cached->flags & GBD_CACHED_ESTABLISHED);
  return may_be_elsewhere
         && gbd_engine_get_slot_state (route->table, route->cached->slot)
                == GBD_BACKEND_GONE
         && gbd_engine_get_lease (route->engine, route->now) == GBD_LEASE_FULL;
}

/* Slot of a flow that the replicas have not registered: the slot of a gone
   server if this instance, or the one that sent the lookup, has cached the
   flow there; otherwise the default slot. */
static gbd_slot_t
get_unregistered_slot (const gbd_route_t *route)
{
  gbd_slot_t slot = get_gone_slot (route);
  return slot == GBD_SLOT_NONE ? gbd_bucket_default_slot (route->bucket)
                               : slot;
}

/* Slot of a gone server where this instance, or the one that sent the lookup,
   has cached the flow; otherwise GBD_SLOT_NONE. */
static gbd_slot_t
get_gone_slot (const gbd_route_t *route)
{
  if (route->cached && route->cached->slot != GBD_SLOT_NONE)
    return route->cached->slot;
  bool is_lookup = route->shim && route->shim->kind == GBD_SHIM_LOOKUP;
  return is_lookup ? route->shim->slot : GBD_SLOT_NONE;
}

/* Routes a packet of a flow whose slot is known.  The closing packet of a
   registered flow passes along the replica chain like its opening packet, so
   that each replica can remove the flow. */
static void
route_known_flow (gbd_route_t *route, gbd_rule_t rule, gbd_slot_t slot)
{
  bool must_follow_chain
      = route->packet->kind == GBD_PACKET_CLOSING
        && route->engine->lease == GBD_LEASE_FULL
        && gbd_bucket_is_registering (route->bucket)
        && slot != gbd_bucket_default_slot (route->bucket)
        && gbd_engine_get_slot_state (route->table, slot) != GBD_BACKEND_GONE;
  gbd_instance_id_t next = must_follow_chain ? find_next_replica (route) : 0;
  if (next)
    gbd_route_to_peer (route, GBD_RULE_OPEN_REPLICA, next, GBD_SHIM_OPEN,
                       slot);
  else
    gbd_route_to_backend (route, rule, slot);
}

static bool
is_closing_along_chain (const gbd_route_t *route)
{
  return route->shim && route->shim->kind == GBD_SHIM_OPEN
         && route->packet->kind == GBD_PACKET_CLOSING;
}

/* The next replica of the chain for a closing packet, 0 if there is none. */
static gbd_instance_id_t
find_next_replica (const gbd_route_t *route)
{
  gbd_replicas_t replicas;
  gbd_table_get_replicas (route->table, route->decision->bucket, &replicas);
  bool is_past_self = !is_closing_along_chain (route);
  for (uint8_t i = 0; i < replicas.count; i++)
    {
      gbd_instance_id_t id = replicas.chain[i];
      bool is_self = id == route->engine->settings.self;
      if (!is_self && is_past_self
          && gbd_engine_is_reachable (route->engine, id))
        return id;
      is_past_self |= is_self;
    }
  return 0;
}

static void
look_up_flow (gbd_route_t *route)
{
  gbd_replicas_t replicas;
  gbd_table_get_replicas (route->table, route->decision->bucket, &replicas);
  gbd_instance_id_t self = route->engine->settings.self;
  for (int i = 0; i < 2; i++)
    if (replicas.lookup[i] == self)
      {
        respond_as_replica (route, replicas.lookup[1 - i]);
        return;
      }

  for (int i = 0; i < 2; i++)
    if (replicas.lookup[i]
        && gbd_engine_is_reachable (route->engine, replicas.lookup[i]))
      {
        gbd_route_to_peer (route, GBD_RULE_LOOKUP, replicas.lookup[i],
                           GBD_SHIM_LOOKUP, get_gone_slot (route));
        return;
      }
  gbd_route_drop (route, GBD_RULE_LOOKUP, GBD_DROP_UNCERTAIN);
}

/* Routes a packet of an unknown flow as a replica of its bucket.  Only a
   complete copy of the registrations proves that a flow is not registered. */
static void
respond_as_replica (gbd_route_t *route, gbd_instance_id_t other_replica)
{
  if (route->service->is_complete && !route->service->is_not_authoritative
      && gbd_engine_has_majority (route->engine, route->now))
    {
      gbd_route_to_backend (route, GBD_RULE_BUCKET,
                            get_unregistered_slot (route));
      return;
    }
  uint8_t hops = route->shim ? route->shim->hops : 0;
  if (other_replica && hops < LOOKUP_HOPS_MAX
      && gbd_engine_is_reachable (route->engine, other_replica))
    gbd_route_to_peer (route, GBD_RULE_INCOMPLETE, other_replica,
                       GBD_SHIM_LOOKUP, get_gone_slot (route));
  else
    gbd_route_drop (route, GBD_RULE_INCOMPLETE, GBD_DROP_UNCERTAIN);
}
