#include "engine_state.h"

/* An entry's price; tokens grow by the rate each microsecond. */
#define TOKEN GBD_SECOND
/* Time whose tokens may be saved up. */
#define BURST_TIME (4 * GBD_SECOND)
/* Packets seen of a flow before it is worth an entry. */
#define THRESHOLD_MIN 2
#define THRESHOLD_MAX 16

/* A decision while it is recorded. */
typedef struct
{
  gbd_engine_t *engine;
  const gbd_packet_t *packet;
  const gbd_decision_t *decision;
  gbd_time_t now;
  uint16_t index;
  gbd_engine_service_t *service;
} commit_t;

static void count (gbd_engine_t *engine, const gbd_packet_t *packet,
                   const gbd_decision_t *decision);
static void register_flow (const commit_t *commit);
static void register_in_zone (const commit_t *commit);
static void correct_earlier (const commit_t *commit);
static void tell_skipped (const commit_t *commit);
static void record_opening (const commit_t *commit, gbd_cached_flow_t *flow);
static void record_passing (const commit_t *commit, gbd_cached_flow_t *flow);
static void record_closing (const commit_t *commit, gbd_cached_flow_t *flow);
static void close_facts (const commit_t *commit);
static void touch_facts (const commit_t *commit);
static void teach (const commit_t *commit, const gbd_cached_flow_t *flow);
static bool take_token (gbd_engine_t *engine, gbd_time_t now);
static void refill (gbd_engine_t *engine, gbd_time_t now);
static int64_t get_burst (const gbd_engine_t *engine);
static void adapt_threshold (gbd_engine_t *engine);

void
gbd_engine_commit (gbd_engine_t *engine, const gbd_packet_t *packet,
                   const gbd_decision_t *decision, gbd_time_t now)
{
  count (engine, packet, decision);
  if (decision->service == GBD_SERVICE_NONE)
    return;
  commit_t commit = { .engine = engine,
                      .packet = packet,
                      .decision = decision,
                      .now = now,
                      .index = engine->index_of[decision->service] };
  commit.service = &engine->services[commit.index];
  if (decision->corrects)
    correct_earlier (&commit);
  /* Refused flows count as demand; a reset for a server that is gone ends a
     flow and opens none. */
  if (decision->kind == GBD_ACTION_RESET && decision->rule == GBD_RULE_LIMIT
      && engine->admission)
    engine->admission->opened (engine->admission_data,
                               commit.service->customer, now);
  if (decision->kind == GBD_ACTION_DROP || decision->kind == GBD_ACTION_RESET)
    return;
  if (decision->kind == GBD_ACTION_BACKEND
      && decision->slot < commit.service->slot_count)
    commit.service->loads[decision->slot].bytes += packet->length;
  if (packet->kind == GBD_PACKET_ICMP || !commit.service->table)
    return;
  if (decision->registers)
    register_flow (&commit);

  if (packet->kind == GBD_PACKET_CLOSING && decision->slot != GBD_SLOT_NONE)
    close_facts (&commit);

  bool is_opening = packet->kind == GBD_PACKET_OPENING;
  /* What was passed on may not arrive: only its opening leaves an entry, and
     that without a slot, as nothing is known to be delivered. */
  bool is_passed = decision->kind == GBD_ACTION_PEER;
  gbd_cached_flow_t *flow
      = gbd_engine_find_cached (engine, commit.index, decision->hash);
  if (!flow && is_passed
      && (!is_opening || decision->rule != GBD_RULE_OPEN_KEEPER))
    return;
  bool is_cached = flow && flow->slot == decision->slot;
  if (!flow || (!is_passed && !is_cached) || (is_opening && decision->is_new))
    flow = gbd_engine_cache (engine, commit.index, decision->hash,
                             is_passed ? GBD_SLOT_NONE : decision->slot, now);
  if (is_opening)
    record_opening (&commit, flow);
  record_passing (&commit, flow);
  if (packet->kind == GBD_PACKET_CLOSING)
    record_closing (&commit, flow);
  if (decision->teaches)
    teach (&commit, flow);
}

static void
count (gbd_engine_t *engine, const gbd_packet_t *packet,
       const gbd_decision_t *decision)
{
  engine->stats.rules[decision->rule]++;
  if (decision->kind == GBD_ACTION_DROP)
    engine->stats.drops[decision->drop]++;
  if (decision->kind != GBD_ACTION_PEER)
    return;
  engine->stats.detoured_packets++;
  engine->stats.detoured_bytes += packet->length;
}

static void
register_flow (const commit_t *commit)
{
  gbd_engine_t *engine = commit->engine;
  const gbd_decision_t *decision = commit->decision;
  if (gbd_engine_get_touch (engine, commit->now) == GBD_TOUCH_ZONE)
    {
      register_in_zone (commit);
      return;
    }
  gbd_registry_t *registry
      = gbd_engine_need_registry (engine, &commit->service->registered);
  if (registry)
    gbd_registry_set (registry, decision->hash, decision->slot, commit->now);
  if (decision->kind == GBD_ACTION_BACKEND)
    tell_skipped (commit);
}

/* Nobody may ask a keeper now, so every instance of the side has to know. */
static void
register_in_zone (const commit_t *commit)
{
  gbd_engine_t *engine = commit->engine;
  const gbd_decision_t *decision = commit->decision;
  const gbd_bucket_t *bucket
      = &commit->service->table->buckets[decision->bucket];
  bool is_exception = !gbd_bucket_is_registering (bucket)
                      && decision->slot != gbd_bucket_default_slot (bucket);
  gbd_registry_t *registry = gbd_engine_need_registry (
      engine, is_exception ? &commit->service->exceptions
                           : &commit->service->registered);
  if (!registry
      || gbd_registry_set (registry, decision->hash, decision->slot,
                           commit->now)
             != GBD_OK)
    return;
  gbd_registry_find (registry, decision->hash)->flags |= GBD_REGISTERED_LOCAL;
  for (uint32_t i = 0; i < engine->live_count; i++)
    if (engine->live[i].id != engine->settings.self)
      gbd_engine_tell (engine, engine->live[i].id, commit->index,
                       is_exception ? GBD_FLOWS_EXCEPTION
                                    : GBD_FLOWS_REGISTERED,
                       decision->hash, decision->slot);
}

static void
correct_earlier (const commit_t *commit)
{
  const gbd_decision_t *decision = commit->decision;
  gbd_engine_t *engine = commit->engine;
  gbd_keepers_t keepers;
  gbd_table_keepers (commit->service->table, decision->bucket, &keepers);
  for (int i = 0; i < keepers.count; i++)
    {
      if (keepers.chain[i] == engine->settings.self)
        return;
      gbd_engine_tell (engine, keepers.chain[i], commit->index,
                       GBD_FLOWS_CORRECTION, decision->hash, decision->slot);
    }
}

/* A keeper that is only silent to this instance must not claim that it knows
   of no registration. */
static void
tell_skipped (const commit_t *commit)
{
  const gbd_decision_t *decision = commit->decision;
  gbd_engine_t *engine = commit->engine;
  gbd_keepers_t keepers;
  gbd_table_keepers (commit->service->table, decision->bucket, &keepers);
  for (int i = 0; i < keepers.count; i++)
    if (keepers.chain[i] != engine->settings.self
        && !gbd_engine_is_live (engine, keepers.chain[i]))
      gbd_engine_tell (engine, keepers.chain[i], commit->index,
                       GBD_FLOWS_REGISTERED, decision->hash, decision->slot);
}

static void
record_opening (const commit_t *commit, gbd_cached_flow_t *flow)
{
  gbd_engine_t *engine = commit->engine;
  const gbd_decision_t *decision = commit->decision;
  if (!decision->is_new)
    return;
  gbd_engine_end_cached (engine, flow, GBD_FLOW_END_CLOSED, commit->now);
  flow->flags = GBD_CACHED_USED | GBD_CACHED_SEQUENCE;
  flow->sequence = (uint16_t)commit->packet->sequence;
  flow->packets = 0;

  bool is_from_fabric = decision->shim.origin == engine->settings.self;
  if (is_from_fabric && engine->admission)
    {
      flow->flags |= GBD_CACHED_ADMITTED;
      engine->admission->opened (engine->admission_data,
                                 commit->service->customer, commit->now);
    }
  if (decision->kind != GBD_ACTION_BACKEND)
    return;
  flow->flags |= GBD_CACHED_OPENED;
  commit->service->loads[decision->slot].new_flows++;
  commit->service->loads[decision->slot].open_flows++;
}

static void
record_passing (const commit_t *commit, gbd_cached_flow_t *flow)
{
  flow->seen_ms = (uint32_t)(uint64_t)(commit->now / GBD_MILLISECOND);
  if (flow->packets < UINT16_MAX)
    flow->packets++;
  if (commit->packet->kind != GBD_PACKET_OPENING)
    flow->flags |= GBD_CACHED_LATER;
  touch_facts (commit);
}

static void
record_closing (const commit_t *commit, gbd_cached_flow_t *flow)
{
  gbd_engine_t *engine = commit->engine;
  if (flow->flags & GBD_CACHED_CLOSED)
    return;
  bool is_admitted = flow->flags & GBD_CACHED_ADMITTED;
  bool is_last = commit->decision->kind == GBD_ACTION_BACKEND;
  if (!is_admitted && is_last && engine->admission)
    engine->admission->ended (engine->admission_data,
                              commit->service->customer,
                              GBD_FLOW_END_ELSEWHERE, commit->now);
  gbd_engine_end_cached (engine, flow, GBD_FLOW_END_CLOSED, commit->now);
  flow->flags |= GBD_CACHED_CLOSED;
}

static void
close_facts (const commit_t *commit)
{
  gbd_flow_hash_t hash = commit->decision->hash;
  gbd_registry_close (commit->service->registered, hash, commit->now);
  gbd_engine_close_exception (commit->engine, commit->index, hash,
                              commit->now);
}

static void
touch_facts (const commit_t *commit)
{
  gbd_flow_hash_t hash = commit->decision->hash;
  gbd_registered_flow_t *flow
      = gbd_registry_find (commit->service->registered, hash);
  if (flow)
    gbd_registry_touch (flow, commit->now);
  flow = gbd_registry_find (commit->service->exceptions, hash);
  if (flow)
    gbd_registry_touch (flow, commit->now);
}

/* Flows seen often here are the ones that detour most. */
static void
teach (const commit_t *commit, const gbd_cached_flow_t *flow)
{
  gbd_engine_t *engine = commit->engine;
  gbd_instance_id_t origin = commit->decision->shim.origin;
  if (origin == engine->settings.self)
    return;
  refill (engine, commit->now);
  adapt_threshold (engine);
  if (flow->packets >= engine->teaching.threshold
      && take_token (engine, commit->now))
    gbd_engine_tell (engine, origin, commit->index, GBD_FLOWS_LEARNED,
                     commit->decision->hash, commit->decision->slot);
}

static bool
take_token (gbd_engine_t *engine, gbd_time_t now)
{
  refill (engine, now);
  if (engine->teaching.tokens < TOKEN)
    return false;
  engine->teaching.tokens -= TOKEN;
  return true;
}

static void
refill (gbd_engine_t *engine, gbd_time_t now)
{
  gbd_teaching_t *teaching = &engine->teaching;
  int64_t rate = engine->settings.teach_per_second;
  gbd_time_t elapsed = now - teaching->refilled_at;
  if (elapsed > BURST_TIME)
    elapsed = BURST_TIME;
  if (elapsed > 0)
    teaching->tokens += elapsed * rate;
  if (teaching->tokens > get_burst (engine))
    teaching->tokens = get_burst (engine);
  teaching->refilled_at = now;
}

static int64_t
get_burst (const gbd_engine_t *engine)
{
  return (int64_t)engine->settings.teach_per_second * BURST_TIME;
}

/* Fewer flows are worth an entry while tokens are short. */
static void
adapt_threshold (gbd_engine_t *engine)
{
  gbd_teaching_t *teaching = &engine->teaching;
  if (teaching->tokens < get_burst (engine) / 4
      && teaching->threshold < THRESHOLD_MAX)
    teaching->threshold++;
  else if (teaching->tokens > get_burst (engine) / 2
           && teaching->threshold > THRESHOLD_MIN)
    teaching->threshold--;
}
