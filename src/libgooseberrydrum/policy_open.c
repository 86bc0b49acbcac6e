#include "route.h"

/* Where a new flow goes, and by which rule. */
typedef struct
{
  gbd_slot_t slot;
  gbd_rule_t rule;
} choice_t;

/* A backend server that leaves gets no new flow after this, although its
   buckets could not move. */
#define DRAIN_TIME_MAX (4500 * GBD_MILLISECOND)

static bool may_register (gbd_route_t *route, gbd_slot_t decided);
static bool is_ended (const gbd_route_t *route, gbd_slot_t slot);
static bool is_known (const gbd_route_t *route);
static int find_in_chain (const gbd_keepers_t *keepers, gbd_instance_id_t id);
static gbd_slot_t get_decided_slot (const gbd_route_t *route);
static void open_by_keepers (gbd_route_t *route, const gbd_keepers_t *keepers,
                             int position);
static int find_first_live (const gbd_route_t *route,
                            const gbd_keepers_t *keepers);
static void correct (gbd_route_t *route, const choice_t *choice);
static bool pass_to_first (gbd_route_t *route, const gbd_keepers_t *keepers);
static bool choose_known (const gbd_route_t *route, choice_t *choice);
static bool choose_stable (const gbd_route_t *route, choice_t *choice);
static bool make_room (gbd_route_t *route, choice_t *choice);
static void pass_on (gbd_route_t *route, const gbd_keepers_t *keepers,
                     int position, const choice_t *choice);
static void open_in_zone (gbd_route_t *route);

void
gbd_route_open (gbd_route_t *route)
{
  gbd_decision_t *decision = route->decision;
  bool is_registering = gbd_bucket_is_registering (route->bucket);
  gbd_touch_t touch = gbd_engine_get_touch (route->engine, route->now);
  gbd_keepers_t keepers = { 0 };
  int position = -1;
  if (is_registering)
    {
      gbd_table_keepers (route->table, decision->bucket, &keepers);
      position = find_in_chain (&keepers, route->engine->settings.self);
    }

  /* A known flow goes straight on, but for moving buckets: there a repeated
     opening packet goes along the chain as well, since a keeper may have
     missed the first one, or it came before the bucket moved; and what this
     instance decided as a keeper may not have been delivered. */
  choice_t known;
  bool is_direct = !is_registering || touch == GBD_TOUCH_ZONE;
  if (is_direct && choose_stable (route, &known))
    {
      gbd_route_to_backend (route, known.rule, known.slot);
      return;
    }
  if (touch == GBD_TOUCH_NONE)
    {
      gbd_route_drop (route, GBD_RULE_OUT_OF_TOUCH, GBD_DROP_UNCERTAIN);
      return;
    }

  bool is_repeated = gbd_route_is_repeated (route)
                     && !(route->cached->flags & GBD_CACHED_CLOSED);
  decision->is_new = !is_repeated && !choose_known (route, &known);
  if (decision->is_new && !gbd_route_is_admitted (route))
    return;
  if (touch == GBD_TOUCH_ZONE)
    open_in_zone (route);
  else if (is_registering)
    open_by_keepers (route, &keepers, position);
  else
    {
      gbd_slot_t decided = get_decided_slot (route);
      if (decided == GBD_SLOT_NONE)
        decided = gbd_bucket_open_slot (route->bucket);
      gbd_route_to_backend (route, GBD_RULE_BUCKET, decided);
    }
}

/* Whether an opening packet shows that the flow known on a slot is over: its
   server takes no new ones, and the packet does not repeat the first. */
static bool
is_ended (const gbd_route_t *route, gbd_slot_t slot)
{
  gbd_backend_state_t state = gbd_engine_get_slot_state (route->table, slot);
  if (state == GBD_BACKEND_GONE)
    return true;
  return state == GBD_BACKEND_DRAINING && route->cached
         && (route->cached->flags & GBD_CACHED_SEQUENCE)
         && !gbd_route_is_repeated (route);
}

static bool
is_known (const gbd_route_t *route)
{
  return gbd_route_is_open (route) && !is_ended (route, route->cached->slot);
}

static int
find_in_chain (const gbd_keepers_t *keepers, gbd_instance_id_t id)
{
  for (int i = 0; i < keepers->count; i++)
    if (keepers->chain[i] == id)
      return i;
  return -1;
}

/* The slot that an earlier keeper chose, or GBD_SLOT_NONE. */
static gbd_slot_t
get_decided_slot (const gbd_route_t *route)
{
  bool is_passed = route->shim && route->shim->kind == GBD_SHIM_OPEN;
  return is_passed ? route->shim->slot : GBD_SLOT_NONE;
}

/* The first keeper chooses the slot, unless a later one knows better. */
static void
open_by_keepers (gbd_route_t *route, const gbd_keepers_t *keepers,
                 int position)
{
  gbd_slot_t decided = get_decided_slot (route);
  if (decided == GBD_SLOT_NONE && pass_to_first (route, keepers))
    return;
  if (position < 0)
    {
      /* Another roster counts this instance as a keeper; which keepers come
         after it is not known here. */
      gbd_route_drop (route, GBD_RULE_OPEN_KEEPER, GBD_DROP_UNCERTAIN);
      return;
    }

  choice_t choice;
  if (!choose_known (route, &choice))
    {
      if (!may_register (route, decided))
        return;
      choice.rule = GBD_RULE_BUCKET;
      choice.slot = decided != GBD_SLOT_NONE
                        ? decided
                        : gbd_bucket_open_slot (route->bucket);
    }
  if (decided != GBD_SLOT_NONE && decided != choice.slot)
    correct (route, &choice);
  else if (make_room (route, &choice))
    pass_on (route, keepers, position, &choice);
}

/* The earlier keepers have to know first: the caller sends again. */
static void
correct (gbd_route_t *route, const choice_t *choice)
{
  gbd_route_drop (route, choice->rule, GBD_DROP_UNCERTAIN);
  route->decision->slot = choice->slot;
  route->decision->corrects = true;
}

/* Whether a new flow may be registered here; drops the packet if not. */
static bool
may_register (gbd_route_t *route, gbd_slot_t decided)
{
  if (!gbd_engine_has_majority (route->engine, route->now))
    {
      gbd_route_drop (route, GBD_RULE_OUT_OF_TOUCH, GBD_DROP_UNCERTAIN);
      return false;
    }
  /* The platform may be down before the bucket could be taken to its next
     server. */
  gbd_slot_t slot = gbd_bucket_open_slot (route->bucket);
  if (decided == GBD_SLOT_NONE
      && gbd_engine_get_slot_state (route->table, slot) == GBD_BACKEND_DRAINING
      && route->now - route->service->draining_at[slot] > DRAIN_TIME_MAX)
    {
      gbd_route_drop (route, GBD_RULE_OPEN_KEEPER, GBD_DROP_NO_BACKEND);
      return false;
    }
  return true;
}

/* Send an undecided packet to the first keeper, unless that is this one. */
static bool
pass_to_first (gbd_route_t *route, const gbd_keepers_t *keepers)
{
  int first = find_first_live (route, keepers);
  if (first < 0)
    {
      gbd_route_drop (route, GBD_RULE_OPEN_KEEPER, GBD_DROP_UNCERTAIN);
      return true;
    }
  if (keepers->chain[first] == route->engine->settings.self)
    return false;
  choice_t known = { GBD_SLOT_NONE, GBD_RULE_NONE };
  choose_known (route, &known);
  gbd_route_to_peer (route, GBD_RULE_OPEN_KEEPER, keepers->chain[first],
                     GBD_SHIM_OPEN, known.slot);
  return true;
}

/* Position of the first keeper that is heard or this instance itself. */
static int
find_first_live (const gbd_route_t *route, const gbd_keepers_t *keepers)
{
  for (int i = 0; i < keepers->count; i++)
    if (keepers->chain[i] == route->engine->settings.self
        || gbd_engine_is_live (route->engine, keepers->chain[i]))
      return i;
  return -1;
}

/* The slot of a flow that is open as far as this instance knows. */
static bool
choose_known (const gbd_route_t *route, choice_t *choice)
{
  const gbd_registered_flow_t *flow
      = gbd_registry_find (route->service->registered, route->decision->hash);
  if (flow && !(flow->flags & GBD_REGISTERED_CLOSED)
      && !is_ended (route, flow->slot))
    {
      choice->slot = flow->slot;
      choice->rule = GBD_RULE_REGISTERED;
      return true;
    }
  return choose_stable (route, choice);
}

/* The slot of a flow that is cached or an exception. */
static bool
choose_stable (const gbd_route_t *route, choice_t *choice)
{
  if (is_known (route))
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

/* At the registry's bound only the default slot needs no registration. */
static bool
make_room (gbd_route_t *route, choice_t *choice)
{
  route->decision->registers = true;
  if (gbd_registry_has_room (route->service->registered,
                             route->decision->hash))
    return true;

  gbd_slot_t unregistered = gbd_bucket_default_slot (route->bucket);
  bool is_free = choice->rule == GBD_RULE_BUCKET
                 && get_decided_slot (route) == GBD_SLOT_NONE
                 && gbd_engine_get_slot_state (route->table, unregistered)
                        == GBD_BACKEND_READY;
  if (is_free)
    choice->slot = unregistered;
  if (choice->slot == unregistered)
    {
      route->decision->registers = false;
      return true;
    }
  gbd_route_drop (route, GBD_RULE_INCOMPLETE, GBD_DROP_UNCERTAIN);
  return false;
}

static void
pass_on (gbd_route_t *route, const gbd_keepers_t *keepers, int position,
         const choice_t *choice)
{
  if (gbd_engine_get_slot_state (route->table, choice->slot)
      == GBD_BACKEND_GONE)
    {
      gbd_route_drop (route, GBD_RULE_GONE, GBD_DROP_NO_BACKEND);
      return;
    }
  for (int i = position + 1; i < keepers->count; i++)
    if (gbd_engine_is_live (route->engine, keepers->chain[i]))
      {
        gbd_route_to_peer (route, GBD_RULE_OPEN_KEEPER, keepers->chain[i],
                           GBD_SHIM_OPEN, choice->slot);
        return;
      }
  gbd_route_to_backend (route, choice->rule, choice->slot);
}

/* Zones that are cut off go on with the backend servers that they reach; every
   instance of the side is told. */
static void
open_in_zone (gbd_route_t *route)
{
  choice_t choice;
  if (choose_known (route, &choice))
    {
      gbd_route_to_backend (route, choice.rule, choice.slot);
      return;
    }
  gbd_cut_off_t cut_off = (gbd_cut_off_t)route->engine->settings.cut_off;
  gbd_slot_t slot = gbd_bucket_open_slot (route->bucket);
  bool is_in_reach
      = gbd_engine_get_slot_state (route->table, slot) == GBD_BACKEND_READY
        && gbd_route_hears_zone (route, route->table->backends[slot].zone);
  if (cut_off == GBD_CUT_OFF_ANY)
    {
      if (!is_in_reach)
        slot = gbd_route_rendezvous (route, true);
      route->decision->registers = true;
      gbd_route_to_backend (route, GBD_RULE_BUCKET, slot);
    }
  else if (cut_off == GBD_CUT_OFF_OWN && is_in_reach
           && route->bucket->phase == GBD_BUCKET_STABLE)
    gbd_route_to_backend (route, GBD_RULE_BUCKET, slot);
  else
    gbd_route_drop (route, GBD_RULE_OUT_OF_TOUCH, GBD_DROP_UNCERTAIN);
}
