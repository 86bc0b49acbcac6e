#include "route.h"

/* Hops after which two incomplete keepers stop passing a packet on. */
#define LOOKUP_HOPS_MAX 3

static void route_keepers (const gbd_engine_t *engine,
                           const gbd_packet_t *packet, const gbd_shim_t *shim,
                           gbd_time_t now, gbd_decision_t *decision);
static bool is_near_version (const gbd_route_t *route);
static void route_later (gbd_route_t *route);
static bool may_be_opened_anew (const gbd_route_t *route);
static gbd_slot_t get_unregistered_slot (const gbd_route_t *route);
static gbd_slot_t get_gone_slot (const gbd_route_t *route);
static void finish_known (gbd_route_t *route, gbd_rule_t rule,
                          gbd_slot_t slot);
static bool is_passed_along (const gbd_route_t *route);
static gbd_instance_id_t find_next_keeper (const gbd_route_t *route);
static void ask_keeper (gbd_route_t *route);
static void answer_as_keeper (gbd_route_t *route, gbd_instance_id_t other);

const gbd_policy_t gbd_policy_keepers = { "keepers", route_keepers };

static void
route_keepers (const gbd_engine_t *engine, const gbd_packet_t *packet,
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
  if (!is_near_version (&route))
    gbd_route_drop (&route, GBD_RULE_OUT_OF_TOUCH, GBD_DROP_UNCERTAIN);
  else if (packet->kind == GBD_PACKET_OPENING)
    gbd_route_open (&route);
  else
    route_later (&route);
}

/* Only adjacent versions are made to work side by side. */
static bool
is_near_version (const gbd_route_t *route)
{
  if (!route->shim || route->shim->kind == GBD_SHIM_RELAY)
    return true;
  uint64_t theirs = route->shim->version;
  uint64_t ours = route->table->version;
  return theirs <= ours + 1 && ours <= theirs + 1;
}

static void
route_later (gbd_route_t *route)
{
  gbd_flow_hash_t hash = route->decision->hash;
  const gbd_registered_flow_t *known;

  if (route->cached && route->cached->slot != GBD_SLOT_NONE
      && !may_be_opened_anew (route))
    {
      finish_known (route, GBD_RULE_CACHED, route->cached->slot);
      return;
    }
  route->decision->is_new = route->packet->kind != GBD_PACKET_ICMP;
  if ((known = gbd_registry_find (route->service->exceptions, hash)))
    gbd_route_to_backend (route, GBD_RULE_EXCEPTION, known->slot);
  else if ((known = gbd_registry_find (route->service->registered, hash)))
    finish_known (route, GBD_RULE_REGISTERED, known->slot);
  else if (gbd_engine_get_touch (route->engine, route->now) != GBD_TOUCH_FULL)
    gbd_route_drop (route, GBD_RULE_OUT_OF_TOUCH, GBD_DROP_UNCERTAIN);
  else if (is_passed_along (route) && route->shim->slot != GBD_SLOT_NONE)
    finish_known (route, GBD_RULE_REGISTERED, route->shim->slot);
  else if (gbd_bucket_is_ambiguous (route->bucket))
    ask_keeper (route);
  else if (route->service->is_complete)
    gbd_route_to_backend (route, GBD_RULE_BUCKET,
                          gbd_bucket_default_slot (route->bucket));
  else if (route->shim || !gbd_route_relay (route, GBD_RULE_INCOMPLETE))
    gbd_route_drop (route, GBD_RULE_INCOMPLETE, GBD_DROP_UNCERTAIN);
}

/* An opening packet that its server never answered is sent again, and another
   instance may have opened the flow at a server that lives; the keepers
   know. */
static bool
may_be_opened_anew (const gbd_route_t *route)
{
  /* Once the bucket has moved on, nobody can be asked; a flow of which only
     opening packets came here was perhaps never answered. */
  bool may_be_elsewhere = gbd_bucket_is_ambiguous (route->bucket)
                          || !(route->cached->flags & GBD_CACHED_LATER);
  return may_be_elsewhere
         && gbd_engine_get_slot_state (route->table, route->cached->slot)
                == GBD_BACKEND_GONE
         && gbd_engine_get_touch (route->engine, route->now) == GBD_TOUCH_FULL;
}

/* Where a flow that the keepers do not know was opened: at the slot that is
   gone, if an instance has it there, and else by default. */
static gbd_slot_t
get_unregistered_slot (const gbd_route_t *route)
{
  gbd_slot_t slot = get_gone_slot (route);
  return slot == GBD_SLOT_NONE ? gbd_bucket_default_slot (route->bucket)
                               : slot;
}

static gbd_slot_t
get_gone_slot (const gbd_route_t *route)
{
  if (route->cached && route->cached->slot != GBD_SLOT_NONE)
    return route->cached->slot;
  bool is_asked = route->shim && route->shim->kind == GBD_SHIM_LOOKUP;
  return is_asked ? route->shim->slot : GBD_SLOT_NONE;
}

/* A packet that closes a registered flow goes along the chain like the one
   that opened it, so that each keeper may forget the flow. */
static void
finish_known (gbd_route_t *route, gbd_rule_t rule, gbd_slot_t slot)
{
  bool is_told
      = route->packet->kind == GBD_PACKET_CLOSING
        && route->engine->touch == GBD_TOUCH_FULL
        && gbd_bucket_is_registering (route->bucket)
        && slot != gbd_bucket_default_slot (route->bucket)
        && gbd_engine_get_slot_state (route->table, slot) != GBD_BACKEND_GONE;
  gbd_instance_id_t next = is_told ? find_next_keeper (route) : 0;
  if (next)
    gbd_route_to_peer (route, GBD_RULE_OPEN_KEEPER, next, GBD_SHIM_OPEN, slot);
  else
    gbd_route_to_backend (route, rule, slot);
}

static bool
is_passed_along (const gbd_route_t *route)
{
  return route->shim && route->shim->kind == GBD_SHIM_OPEN
         && route->packet->kind == GBD_PACKET_CLOSING;
}

/* The next keeper that a closing packet visits, 0 if there is none. */
static gbd_instance_id_t
find_next_keeper (const gbd_route_t *route)
{
  gbd_keepers_t keepers;
  gbd_table_keepers (route->table, route->decision->bucket, &keepers);
  bool is_past_self = !is_passed_along (route);
  for (uint8_t i = 0; i < keepers.count; i++)
    {
      gbd_instance_id_t id = keepers.chain[i];
      bool is_self = id == route->engine->settings.self;
      if (!is_self && is_past_self && gbd_engine_is_live (route->engine, id))
        return id;
      is_past_self |= is_self;
    }
  return 0;
}

static void
ask_keeper (gbd_route_t *route)
{
  gbd_keepers_t keepers;
  gbd_table_keepers (route->table, route->decision->bucket, &keepers);
  gbd_instance_id_t self = route->engine->settings.self;
  for (int i = 0; i < 2; i++)
    if (keepers.lookup[i] == self)
      {
        answer_as_keeper (route, keepers.lookup[1 - i]);
        return;
      }

  for (int i = 0; i < 2; i++)
    if (keepers.lookup[i]
        && gbd_engine_is_live (route->engine, keepers.lookup[i]))
      {
        gbd_route_to_peer (route, GBD_RULE_ASK_KEEPER, keepers.lookup[i],
                           GBD_SHIM_LOOKUP, get_gone_slot (route));
        return;
      }
  gbd_route_drop (route, GBD_RULE_ASK_KEEPER, GBD_DROP_UNCERTAIN);
}

/* Not registered is a claim that needs a complete copy. */
static void
answer_as_keeper (gbd_route_t *route, gbd_instance_id_t other)
{
  if (route->service->is_complete && !route->service->is_claimless
      && gbd_engine_has_majority (route->engine, route->now))
    {
      gbd_route_to_backend (route, GBD_RULE_BUCKET,
                            get_unregistered_slot (route));
      return;
    }
  uint8_t hops = route->shim ? route->shim->hops : 0;
  if (other && hops < LOOKUP_HOPS_MAX
      && gbd_engine_is_live (route->engine, other))
    gbd_route_to_peer (route, GBD_RULE_INCOMPLETE, other, GBD_SHIM_LOOKUP,
                       get_gone_slot (route));
  else
    gbd_route_drop (route, GBD_RULE_INCOMPLETE, GBD_DROP_UNCERTAIN);
}
