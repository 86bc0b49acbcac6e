#include "route.h"

/* Slot of a flow, and the rule that chose it. */
typedef struct
{
  gbd_slot_t slot;
  gbd_rule_t rule;
} choice_t;

/* Time after which a draining backend server receives no new flow, even if
   its buckets could not be moved. */
#define DRAIN_TIME_MAX (4500 * GBD_MILLISECOND)

static bool may_register (gbd_route_t *route, gbd_slot_t chosen);
static bool has_flow_ended (const gbd_route_t *route, gbd_slot_t slot);
static bool is_cached_flow_open (const gbd_route_t *route);
static int find_in_chain (const gbd_replicas_t *replicas,
                          gbd_instance_id_t id);
static gbd_slot_t get_chosen_slot (const gbd_route_t *route);
static void open_through_replicas (gbd_route_t *route,
                                   const gbd_replicas_t *replicas,
                                   int position);
static int find_first_reachable (const gbd_route_t *route,
                                 const gbd_replicas_t *replicas);
static void drop_with_correction (gbd_route_t *route, const choice_t *choice);
static bool pass_to_first_replica (gbd_route_t *route,
                                   const gbd_replicas_t *replicas);
static bool find_open_flow (const gbd_route_t *route, choice_t *choice);
static bool find_unregistered_open_flow (const gbd_route_t *route,
                                         choice_t *choice);
static bool reserve_registration (gbd_route_t *route, choice_t *choice);
static void pass_along_chain (gbd_route_t *route,
                              const gbd_replicas_t *replicas, int position,
                              const choice_t *choice);
static void open_in_partition (gbd_route_t *route);

void
gbd_route_open (gbd_route_t *route)
{
  gbd_decision_t *decision = route->decision;
  bool is_registering = gbd_bucket_is_registering (route->bucket);
  gbd_lease_t lease = gbd_engine_get_lease (route->engine, route->now);
  gbd_replicas_t replicas = { 0 };
  int position = -1;
  if (is_registering)
    {
      gbd_table_get_replicas (route->table, decision->bucket, &replicas);
      position = find_in_chain (&replicas, route->engine->settings.self);
    }

  /* An opening packet of a known flow is sent directly to the flow's server,
     except in a moving bucket.  There a retransmitted opening packet passes
     along the replica chain again: a replica may have missed the first one,
     the first one may have come before the bucket moved, or the packet that
     carried this instance's choice along the chain may have been lost. */
  choice_t known;
  bool is_direct = !is_registering || lease == GBD_LEASE_ZONE;
  if (is_direct && find_unregistered_open_flow (route, &known))
    {
      gbd_route_to_backend (route, known.rule, known.slot);
      return;
    }
  if (lease == GBD_LEASE_NONE)
    {
      gbd_route_drop (route, GBD_RULE_NO_LEASE, GBD_DROP_UNCERTAIN);
      return;
    }

  bool is_retransmission = gbd_route_is_retransmission (route)
                           && !(route->cached->flags & GBD_CACHED_CLOSED);
  decision->is_new = !is_retransmission && !find_open_flow (route, &known);
  if (decision->is_new && !gbd_route_is_admitted (route))
    return;
  if (lease == GBD_LEASE_ZONE)
    open_in_partition (route);
  else if (is_registering)
    open_through_replicas (route, &replicas, position);
  else
    {
      gbd_slot_t chosen = get_chosen_slot (route);
      if (chosen == GBD_SLOT_NONE)
        chosen = gbd_bucket_new_flow_slot (route->bucket);
      gbd_route_to_backend (route, GBD_RULE_BUCKET, chosen);
    }
}

/* Whether an opening packet implies that the flow known at a slot has ended:
   its server is GONE, or is DRAINING and the packet is not a retransmission of
   the flow's recorded opening packet. */
static bool
has_flow_ended (const gbd_route_t *route, gbd_slot_t slot)
{
  gbd_backend_state_t state = gbd_engine_get_slot_state (route->table, slot);
  if (state == GBD_BACKEND_GONE)
    return true;
  return state == GBD_BACKEND_DRAINING && route->cached
         && (route->cached->flags & GBD_CACHED_SEQUENCE)
         && !gbd_route_is_retransmission (route);
}

static bool
is_cached_flow_open (const gbd_route_t *route)
{
  return gbd_route_is_open (route)
         && !has_flow_ended (route, route->cached->slot);
}

static int
find_in_chain (const gbd_replicas_t *replicas, gbd_instance_id_t id)
{
  for (int i = 0; i < replicas->count; i++)
    if (replicas->chain[i] == id)
      return i;
  return -1;
}

/* The slot that an earlier replica of the chain chose, or GBD_SLOT_NONE. */
static gbd_slot_t
get_chosen_slot (const gbd_route_t *route)
{
  bool is_from_chain = route->shim && route->shim->kind == GBD_SHIM_OPEN;
  return is_from_chain ? route->shim->slot : GBD_SLOT_NONE;
}

/* The first replica chooses the slot, unless a later replica has registered
   the flow at another slot. */
static void
open_through_replicas (gbd_route_t *route, const gbd_replicas_t *replicas,
                       int position)
{
  gbd_slot_t chosen = get_chosen_slot (route);
  if (chosen == GBD_SLOT_NONE && pass_to_first_replica (route, replicas))
    return;
  if (position < 0)
    {
      /* This instance is a replica in another version of the roster, and does
         not know the replicas that follow it in that version. */
      gbd_route_drop (route, GBD_RULE_OPEN_REPLICA, GBD_DROP_UNCERTAIN);
      return;
    }

  choice_t choice;
  if (!find_open_flow (route, &choice))
    {
      if (!may_register (route, chosen))
        return;
      choice.rule = GBD_RULE_BUCKET;
      choice.slot = chosen != GBD_SLOT_NONE
                        ? chosen
                        : gbd_bucket_new_flow_slot (route->bucket);
    }
  if (chosen != GBD_SLOT_NONE && chosen != choice.slot)
    drop_with_correction (route, &choice);
  else if (reserve_registration (route, &choice))
    pass_along_chain (route, replicas, position, &choice);
}

/* Sends a correction to the earlier replicas.  The packet is dropped, because
   they must receive the correction first; the caller retransmits the
   packet. */
static void
drop_with_correction (gbd_route_t *route, const choice_t *choice)
{
  gbd_route_drop (route, choice->rule, GBD_DROP_UNCERTAIN);
  route->decision->slot = choice->slot;
  route->decision->sends_correction = true;
}

/* Whether this instance may register a new flow; drops the packet if not. */
static bool
may_register (gbd_route_t *route, gbd_slot_t chosen)
{
  if (!gbd_engine_has_majority (route->engine, route->now))
    {
      gbd_route_drop (route, GBD_RULE_NO_LEASE, GBD_DROP_UNCERTAIN);
      return false;
    }
  /* The bucket may still point to a draining server, because no new table
     can be written while the platform is unavailable. */
  gbd_slot_t slot = gbd_bucket_new_flow_slot (route->bucket);
  if (chosen == GBD_SLOT_NONE
      && gbd_engine_get_slot_state (route->table, slot) == GBD_BACKEND_DRAINING
      && route->now - route->service->draining_at[slot] > DRAIN_TIME_MAX)
    {
      gbd_route_drop (route, GBD_RULE_OPEN_REPLICA, GBD_DROP_NO_BACKEND);
      return false;
    }
  return true;
}

/* Passes a packet without a chosen slot to the first reachable replica.
   Returns false if this instance is that replica. */
static bool
pass_to_first_replica (gbd_route_t *route, const gbd_replicas_t *replicas)
{
  int first = find_first_reachable (route, replicas);
  if (first < 0)
    {
      gbd_route_drop (route, GBD_RULE_OPEN_REPLICA, GBD_DROP_UNCERTAIN);
      return true;
    }
  if (replicas->chain[first] == route->engine->settings.self)
    return false;
  choice_t known = { GBD_SLOT_NONE, GBD_RULE_NONE };
  find_open_flow (route, &known);
  gbd_route_to_peer (route, GBD_RULE_OPEN_REPLICA, replicas->chain[first],
                     GBD_SHIM_OPEN, known.slot);
  return true;
}

/* Position in the chain of the first replica that is reachable or is this
   instance; -1 if there is none. */
static int
find_first_reachable (const gbd_route_t *route, const gbd_replicas_t *replicas)
{
  for (int i = 0; i < replicas->count; i++)
    if (replicas->chain[i] == route->engine->settings.self
        || gbd_engine_is_reachable (route->engine, replicas->chain[i]))
      return i;
  return -1;
}

/* Finds the slot of a flow that is registered or cached as open, or that is an
   exception. */
static bool
find_open_flow (const gbd_route_t *route, choice_t *choice)
{
  const gbd_registered_flow_t *flow
      = gbd_registry_find (route->service->registered, route->decision->hash);
  if (flow && !(flow->flags & GBD_REGISTERED_CLOSED)
      && !has_flow_ended (route, flow->slot))
    {
      choice->slot = flow->slot;
      choice->rule = GBD_RULE_REGISTERED;
      return true;
    }
  return find_unregistered_open_flow (route, choice);
}

/* Finds the slot of a flow that is cached as open or is an exception. */
static bool
find_unregistered_open_flow (const gbd_route_t *route, choice_t *choice)
{
  if (is_cached_flow_open (route))
    {
      choice->slot = route->cached->slot;
      choice->rule = GBD_RULE_CACHED;
      return true;
    }
  const gbd_registered_flow_t *flow
      = gbd_registry_find (route->service->exceptions, route->decision->hash);
  if (!flow
      || gbd_engine_get_slot_state (route->table, flow->slot)
             == GBD_BACKEND_GONE)
    return false;
  choice->slot = flow->slot;
  choice->rule = GBD_RULE_EXCEPTION;
  return true;
}

/* Decides whether the flow is registered.  When the registry is full, only the
   default slot can be used, as it needs no registration; if the flow needs
   another slot, the packet is dropped and false is returned. */
static bool
reserve_registration (gbd_route_t *route, choice_t *choice)
{
  route->decision->registers = true;
  if (gbd_registry_has_capacity (route->service->registered,
                                 route->decision->hash))
    return true;

  gbd_slot_t default_slot = gbd_bucket_default_slot (route->bucket);
  bool may_choose_default
      = choice->rule == GBD_RULE_BUCKET
        && get_chosen_slot (route) == GBD_SLOT_NONE
        && gbd_engine_get_slot_state (route->table, default_slot)
               == GBD_BACKEND_READY;
  if (may_choose_default)
    choice->slot = default_slot;
  if (choice->slot == default_slot)
    {
      route->decision->registers = false;
      return true;
    }
  gbd_route_drop (route, GBD_RULE_INCOMPLETE, GBD_DROP_UNCERTAIN);
  return false;
}

static void
pass_along_chain (gbd_route_t *route, const gbd_replicas_t *replicas,
                  int position, const choice_t *choice)
{
  if (gbd_engine_get_slot_state (route->table, choice->slot)
      == GBD_BACKEND_GONE)
    {
      gbd_route_drop (route, GBD_RULE_GONE, GBD_DROP_NO_BACKEND);
      return;
    }
  for (int i = position + 1; i < replicas->count; i++)
    if (gbd_engine_is_reachable (route->engine, replicas->chain[i]))
      {
        gbd_route_to_peer (route, GBD_RULE_OPEN_REPLICA, replicas->chain[i],
                           GBD_SHIM_OPEN, choice->slot);
        return;
      }
  gbd_route_to_backend (route, choice->rule, choice->slot);
}

/* During a partition new flows go to backend servers that are reachable on
   this side, as the partition policy allows.  Under GBD_PARTITION_ANY every
   instance on this side receives the registration; GBD_PARTITION_OWN opens
   flows only at their bucket's server, which needs no registration. */
static void
open_in_partition (gbd_route_t *route)
{
  choice_t choice;
  if (find_open_flow (route, &choice))
    {
      gbd_route_to_backend (route, choice.rule, choice.slot);
      return;
    }
  gbd_partition_policy_t partition_policy
      = (gbd_partition_policy_t)route->engine->settings.partition_policy;
  gbd_slot_t slot = gbd_bucket_new_flow_slot (route->bucket);
  bool is_slot_reachable
      = gbd_engine_get_slot_state (route->table, slot) == GBD_BACKEND_READY
        && gbd_route_is_zone_reachable (route,
                                        route->table->backends[slot].zone);
  if (partition_policy == GBD_PARTITION_ANY)
    {
      if (!is_slot_reachable)
        slot = gbd_route_rendezvous (route, true);
      route->decision->registers = true;
      gbd_route_to_backend (route, GBD_RULE_BUCKET, slot);
    }
  else if (partition_policy == GBD_PARTITION_OWN && is_slot_reachable
           && route->bucket->phase == GBD_BUCKET_STABLE)
    gbd_route_to_backend (route, GBD_RULE_BUCKET, slot);
  else
    gbd_route_drop (route, GBD_RULE_NO_LEASE, GBD_DROP_UNCERTAIN);
}
