#include "engine_state.h"

/* Tokens that one flow hint costs.  Each microsecond adds `hints_per_second`
   tokens to the token bucket. */
#define TOKENS_PER_HINT GBD_SECOND
/* The token bucket holds at most the tokens that are added in this time. */
#define BURST_DURATION (4 * GBD_SECOND)
/* Limits of the number of packets after which a flow hint is sent for a
   flow. */
#define PACKET_THRESHOLD_MIN 2
#define PACKET_THRESHOLD_MAX 16

/* Context for recording the decision on a packet. */
typedef struct
{
  gbd_engine_t *engine;
  const gbd_packet_t *packet;
  const gbd_decision_t *decision;
  gbd_time_t now;
  uint16_t index;
  gbd_engine_service_t *service;
} commit_t;

static void count_decision (gbd_engine_t *engine, const gbd_packet_t *packet,
                            const gbd_decision_t *decision);
static void register_flow (const commit_t *commit);
static void register_in_partition (const commit_t *commit);
static void queue_corrections (const commit_t *commit);
static void queue_for_skipped_replicas (const commit_t *commit);
static void record_opening (const commit_t *commit, gbd_cached_flow_t *flow);
static void record_packet (const commit_t *commit, gbd_cached_flow_t *flow);
static void record_closing (const commit_t *commit, gbd_cached_flow_t *flow);
static void close_entries (const commit_t *commit);
static void refresh_entries (const commit_t *commit);
static void queue_hint (const commit_t *commit, const gbd_cached_flow_t *flow);
static bool take_token (gbd_engine_t *engine, gbd_time_t now);
static void refill (gbd_engine_t *engine, gbd_time_t now);
static int64_t get_token_limit (const gbd_engine_t *engine);
static void adapt_threshold (gbd_engine_t *engine);

void
gbd_engine_commit (gbd_engine_t *engine, const gbd_packet_t *packet,
                   const gbd_decision_t *decision, gbd_time_t now)
{
  count_decision (engine, packet, decision);
  if (decision->service == GBD_SERVICE_NONE)
    return;
  commit_t commit = { .engine = engine,
                      .packet = packet,
                      .decision = decision,
                      .now = now,
                      .index = engine->service_indexes[decision->service] };
  commit.service = &engine->services[commit.index];
  if (decision->sends_correction)
    queue_corrections (&commit);
  /* A flow that a limit rejects counts as demand of the customer.  A reset
     because the backend server is GONE ends a flow, so it does not count. */
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
    close_entries (&commit);

  bool is_opening = packet->kind == GBD_PACKET_OPENING;
  /* A packet that is sent to a peer may be lost.  So it creates a cache entry
     only if it is an opening packet sent along the replica chain.  That entry
     has no slot, because delivery to a backend server is not confirmed. */
  bool is_passed_to_peer = decision->kind == GBD_ACTION_PEER;
  gbd_cached_flow_t *flow
      = gbd_engine_find_cached (engine, commit.index, decision->hash);
  if (!flow && is_passed_to_peer
      && (!is_opening || decision->rule != GBD_RULE_OPEN_REPLICA))
    return;
  bool is_cached = flow && flow->slot == decision->slot;
  if (!flow || (!is_passed_to_peer && !is_cached)
      || (is_opening && decision->is_new))
    flow = gbd_engine_cache_flow (
        engine, commit.index, decision->hash,
        is_passed_to_peer ? GBD_SLOT_NONE : decision->slot, now);
  if (is_opening)
    record_opening (&commit, flow);
  record_packet (&commit, flow);
  if (packet->kind == GBD_PACKET_CLOSING)
    record_closing (&commit, flow);
  if (decision->sends_hint)
    queue_hint (&commit, flow);
}

static void
count_decision (gbd_engine_t *engine, const gbd_packet_t *packet,
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
  if (gbd_engine_get_lease (engine, commit->now) == GBD_LEASE_ZONE)
    {
      register_in_partition (commit);
      return;
    }
  gbd_registry_t *registry
      = gbd_engine_ensure_registry (engine, &commit->service->registered);
  if (registry)
    gbd_registry_set (registry, decision->hash, decision->slot, commit->now);
  if (decision->kind == GBD_ACTION_BACKEND)
    queue_for_skipped_replicas (commit);
}

/* Registers a flow during a partition.  Lookups at replicas are not allowed
   then, so every reachable instance receives the registration. */
static void
register_in_partition (const commit_t *commit)
{
  gbd_engine_t *engine = commit->engine;
  const gbd_decision_t *decision = commit->decision;
  const gbd_bucket_t *bucket
      = &commit->service->table->buckets[decision->bucket];
  bool is_exception = !gbd_bucket_is_registering (bucket)
                      && decision->slot != gbd_bucket_default_slot (bucket);
  gbd_registry_t *registry = gbd_engine_ensure_registry (
      engine, is_exception ? &commit->service->exceptions
                           : &commit->service->registered);
  if (!registry
      || gbd_registry_set (registry, decision->hash, decision->slot,
                           commit->now)
             != GBD_OK)
    return;
  gbd_registry_find (registry, decision->hash)->flags |= GBD_REGISTERED_LOCAL;
  for (uint32_t i = 0; i < engine->reachable_count; i++)
    if (engine->reachable[i].id != engine->settings.self)
      gbd_engine_queue_update (engine, engine->reachable[i].id, commit->index,
                               is_exception ? GBD_FLOWS_EXCEPTION
                                            : GBD_FLOWS_REGISTERED,
                               decision->hash, decision->slot);
}

static void
queue_corrections (const commit_t *commit)
{
  const gbd_decision_t *decision = commit->decision;
  gbd_engine_t *engine = commit->engine;
  gbd_replicas_t replicas;
  gbd_table_get_replicas (commit->service->table, decision->bucket, &replicas);
  for (int i = 0; i < replicas.count; i++)
    {
      if (replicas.chain[i] == engine->settings.self)
        return;
      gbd_engine_queue_update (engine, replicas.chain[i], commit->index,
                               GBD_FLOWS_CORRECTION, decision->hash,
                               decision->slot);
    }
}

/* Queues the registration of a flow for its bucket's replicas that are
   unreachable from this instance.  Other instances may reach such a replica,
   and it must not report to them that the flow is not registered. */
static void
queue_for_skipped_replicas (const commit_t *commit)
{
  const gbd_decision_t *decision = commit->decision;
  gbd_engine_t *engine = commit->engine;
  gbd_replicas_t replicas;
  gbd_table_get_replicas (commit->service->table, decision->bucket, &replicas);
  for (int i = 0; i < replicas.count; i++)
    if (replicas.chain[i] != engine->settings.self
        && !gbd_engine_is_reachable (engine, replicas.chain[i]))
      gbd_engine_queue_update (engine, replicas.chain[i], commit->index,
                               GBD_FLOWS_REGISTERED, decision->hash,
                               decision->slot);
}

static void
record_opening (const commit_t *commit, gbd_cached_flow_t *flow)
{
  gbd_engine_t *engine = commit->engine;
  const gbd_decision_t *decision = commit->decision;
  if (!decision->is_new)
    return;
  gbd_engine_end_cached_flow (engine, flow, GBD_FLOW_END_CLOSED, commit->now);
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
record_packet (const commit_t *commit, gbd_cached_flow_t *flow)
{
  flow->seen_ms = (uint32_t)(uint64_t)(commit->now / GBD_MILLISECOND);
  if (flow->packets < UINT16_MAX)
    flow->packets++;
  if (commit->packet->kind != GBD_PACKET_OPENING)
    flow->flags |= GBD_CACHED_ESTABLISHED;
  refresh_entries (commit);
}

static void
record_closing (const commit_t *commit, gbd_cached_flow_t *flow)
{
  gbd_engine_t *engine = commit->engine;
  if (flow->flags & GBD_CACHED_CLOSED)
    return;
  bool is_admitted = flow->flags & GBD_CACHED_ADMITTED;
  bool is_sent_to_backend = commit->decision->kind == GBD_ACTION_BACKEND;
  if (!is_admitted && is_sent_to_backend && engine->admission)
    engine->admission->ended (engine->admission_data,
                              commit->service->customer,
                              GBD_FLOW_END_ELSEWHERE, commit->now);
  gbd_engine_end_cached_flow (engine, flow, GBD_FLOW_END_CLOSED, commit->now);
  flow->flags |= GBD_CACHED_CLOSED;
}

static void
close_entries (const commit_t *commit)
{
  gbd_flow_hash_t hash = commit->decision->hash;
  gbd_registry_close (commit->service->registered, hash, commit->now);
  gbd_engine_close_exception (commit->engine, commit->index, hash,
                              commit->now);
}

static void
refresh_entries (const commit_t *commit)
{
  gbd_flow_hash_t hash = commit->decision->hash;
  gbd_registered_flow_t *flow
      = gbd_registry_find (commit->service->registered, hash);
  if (flow)
    gbd_registry_refresh (flow, commit->now);
  flow = gbd_registry_find (commit->service->exceptions, hash);
  if (flow)
    gbd_registry_refresh (flow, commit->now);
}

/* Queues a flow hint for the instance that got the packet from the fabric, if
   this instance has forwarded enough packets of the flow.  Flows with many
   packets cause the most detours. */
static void
queue_hint (const commit_t *commit, const gbd_cached_flow_t *flow)
{
  gbd_engine_t *engine = commit->engine;
  gbd_instance_id_t origin = commit->decision->shim.origin;
  if (origin == engine->settings.self)
    return;
  refill (engine, commit->now);
  adapt_threshold (engine);
  if (flow->packets >= engine->hint_limiter.threshold
      && take_token (engine, commit->now))
    gbd_engine_queue_update (engine, origin, commit->index, GBD_FLOWS_HINT,
                             commit->decision->hash, commit->decision->slot);
}

static bool
take_token (gbd_engine_t *engine, gbd_time_t now)
{
  refill (engine, now);
  if (engine->hint_limiter.tokens < TOKENS_PER_HINT)
    return false;
  engine->hint_limiter.tokens -= TOKENS_PER_HINT;
  return true;
}

static void
refill (gbd_engine_t *engine, gbd_time_t now)
{
  gbd_hint_limiter_t *hint_limiter = &engine->hint_limiter;
  int64_t rate = engine->settings.hints_per_second;
  gbd_time_t elapsed = now - hint_limiter->refilled_at;
  if (elapsed > BURST_DURATION)
    elapsed = BURST_DURATION;
  if (elapsed > 0)
    hint_limiter->tokens += elapsed * rate;
  if (hint_limiter->tokens > get_token_limit (engine))
    hint_limiter->tokens = get_token_limit (engine);
  hint_limiter->refilled_at = now;
}

static int64_t
get_token_limit (const gbd_engine_t *engine)
{
  return (int64_t)engine->settings.hints_per_second * BURST_DURATION;
}

/* Raises the packet threshold while tokens are short, so that hints are sent
   only for the flows with the most packets, and lowers it again when more than
   half of the tokens are left. */
static void
adapt_threshold (gbd_engine_t *engine)
{
  gbd_hint_limiter_t *hint_limiter = &engine->hint_limiter;
  if (hint_limiter->tokens < get_token_limit (engine) / 4
      && hint_limiter->threshold < PACKET_THRESHOLD_MAX)
    hint_limiter->threshold++;
  else if (hint_limiter->tokens > get_token_limit (engine) / 2
           && hint_limiter->threshold > PACKET_THRESHOLD_MIN)
    hint_limiter->threshold--;
}
