#include "group.h"

#include <stdlib.h>
#include <string.h>

/* A silent instance is noticed after this time. */
#define SILENCE (2 * GBD_SECOND)
#define HEARTBEAT_INTERVAL (400 * GBD_MILLISECOND)
/* How unevenly a table reaches the instances. */
#define SPREAD (400 * GBD_MILLISECOND)
/* Time that a table with ANNOUNCED buckets stays, for repeated openings. */
#define ANNOUNCED_TIME (1500 * GBD_MILLISECOND)
#define BALANCE_MOVE_MAX 80

static void add_engine (group_t *group, uint32_t life);
static bool is_member (const group_t *group, uint32_t life);
static bool is_heard (const group_t *group, uint32_t life);
static void set_live (group_t *group);
static void write_table (group_t *group, gbd_table_t *table);
static void adopt_tables (group_t *group);
static void copy_state (group_t *group);
static void exchange_exceptions (group_t *group);
static void copy_registrations (group_t *group);
static void extend_table (group_t *group);
static gbd_time_t get_uncovered_at (const group_t *group);
static void rewrite_plain_table (group_t *group);
static void tell (void *data, gbd_instance_id_t to, gbd_service_id_t service,
                  gbd_flows_kind_t kind, const gbd_flow_entry_t *entries,
                  uint32_t count);
static void replicate (group_t *group);
static void note_fresh (group_t *group, const gbd_decision_t *decision);
static void count_heartbeats (group_t *group);
static bool has_phase (const gbd_table_t *table, gbd_bucket_phase_t phase);
static bool is_keepers (const group_t *group);

void
group_open (group_t *group, const group_settings_t *settings, uint64_t seed,
            uint32_t instances, uint32_t servers)
{
  memset (group, 0, sizeof *group);
  group->settings = *settings;
  group->random = seed;
  group->uncovered_at = GBD_TIME_NEVER;
  group->catalog = gbd_catalog_new (1);
  gbd_plan_t plan
      = { .name = "bench", .idle_limit_s = settings->idle_limit_s };
  gbd_catalog_add_plan (group->catalog, &plan);
  gbd_catalog_add_customer (group->catalog, "customer", 0);
  gbd_catalog_add_service (group->catalog, "service", 0);
  gbd_address_parse ("10.0.0.1:80", &group->address);
  gbd_catalog_add_address (group->catalog, &group->address, 0);
  group->service = gbd_id_from_name ("service");

  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    {
      group->members[i].id = 100 + i;
      group->members[i].zone = 1 + i % 4;
    }
  for (uint32_t i = 0; i < servers; i++)
    group_add_server (group);
  write_table (group,
               gbd_table_new (group->service, GROUP_BUCKETS, group->servers,
                              servers, group->members, (uint8_t)instances));
  for (uint32_t i = 0; i < instances; i++)
    group_add_instance (group, i);
  group->now = SPREAD;
  adopt_tables (group);
  for (uint32_t i = 0; i < instances; i++)
    gbd_engine_set_complete (group->engines[i], group->service, true);
}

void
group_close (group_t *group)
{
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    gbd_engine_delete (group->engines[i]);
  gbd_table_delete (group->newest);
  gbd_catalog_delete (group->catalog);
  free (group->fresh);
}

delivery_t
group_deliver (group_t *group, uint32_t first, const gbd_packet_t *packet)
{
  delivery_t delivery = { GBD_ACTION_PEER, 0, 0 };
  gbd_shim_t shim;
  const gbd_shim_t *arrived = NULL;
  uint32_t at = first;
  while (group->engines[at] && group->lives[at] != LIFE_DEAD)
    {
      gbd_decision_t decision;
      gbd_engine_route (group->engines[at], packet, arrived, group->now,
                        &decision);
      gbd_engine_commit (group->engines[at], packet, &decision, group->now);
      delivery.kind = decision.kind;
      if (decision.kind == GBD_ACTION_BACKEND)
        {
          const gbd_table_t *table
              = gbd_engine_get_table (group->engines[at], group->service);
          delivery.server = table->backends[decision.slot].id;
          if (group->settings.is_replicated && decision.is_new
              && packet->kind == GBD_PACKET_OPENING)
            note_fresh (group, &decision);
        }
      if (decision.kind != GBD_ACTION_PEER)
        return delivery;
      delivery.peers++;
      shim = decision.shim;
      arrived = &shim;
      at = (uint32_t)(decision.peer - 100);
    }
  return delivery;
}

void
group_control (group_t *group)
{
  set_live (group);
  adopt_tables (group);
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    if (group->engines[i] && group->lives[i] != LIFE_DEAD)
      {
        gbd_engine_expire (group->engines[i], group->now);
        gbd_engine_take_told (group->engines[i], tell, group);
      }
  if (group->settings.is_replicated)
    replicate (group);
  if (is_keepers (group))
    {
      copy_state (group);
      extend_table (group);
    }
  if (group->now % HEARTBEAT_INTERVAL == 0)
    count_heartbeats (group);
}

void
group_drain (group_t *group, uint32_t server)
{
  group->servers[server].state = GBD_BACKEND_DRAINING;
  group->weights[server] = 0;
  rewrite_plain_table (group);
}

void
group_add_server (group_t *group)
{
  uint32_t i = group->server_count++;
  group->servers[i].id = 1000 + i;
  group->servers[i].zone = 1 + i % 4;
  group->servers[i].state = GBD_BACKEND_READY;
  gbd_address_parse ("10.1.0.1:80", &group->servers[i].address);
  group->servers[i].address.ip[3] = (uint8_t)(1 + i);
  group->weights[i] = 100;
  if (group->newest)
    rewrite_plain_table (group);
}

void
group_add_instance (group_t *group, uint32_t life)
{
  group->lives[life] = LIFE_SERVING;
  add_engine (group, life);
  set_live (group);
  adopt_tables (group);
  /* The copy that an instance takes when it joins is not counted. */
  if (group->settings.is_replicated)
    gbd_engine_merge (group->engines[life], group->service, GBD_FLOWS_LEARNED,
                      group->fresh, group->told_count, group->now);
}

void
group_leave (group_t *group, uint32_t life)
{
  group->lives[life] = LIFE_LEAVING;
  group->uncovered_at = group->now;
}

void
group_crash (group_t *group, uint32_t life)
{
  group->lives[life] = LIFE_DEAD;
  group->dead_since[life] = group->now;
  group->uncovered_at = group->now;
}

void
group_get_encoded_sizes (double *entry, double *message)
{
  static gbd_flow_entry_t entries[GBD_FLOWS_MAX];
  uint64_t random = 1;
  for (uint32_t i = 0; i < GBD_FLOWS_MAX; i++)
    {
      entries[i].hash = group_random (&random);
      entries[i].slot = (gbd_slot_t)(i % GROUP_SERVERS);
    }
  gbd_message_t told
      = { .type = GBD_MESSAGE_FLOWS, .from = group_random (&random) };
  told.body.flows.service = group_random (&random);
  told.body.flows.version = 1000;
  told.body.flows.kind = GBD_FLOWS_LEARNED;
  told.body.flows.entries = entries;
  size_t lengths[2] = { 0, 0 };
  for (int i = 0; i < 2; i++)
    {
      told.body.flows.count = i ? GBD_FLOWS_MAX : 1;
      free (gbd_message_encode (&told, &lengths[i]));
    }
  *entry = (double)(lengths[1] - lengths[0]) / (GBD_FLOWS_MAX - 1);
  *message = (double)lengths[0] - *entry;
}

uint64_t
group_random (uint64_t *state)
{
  uint64_t z = (*state += 0x9e3779b97f4a7c15u);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

static void
add_engine (group_t *group, uint32_t life)
{
  gbd_engine_settings_t settings
      = { .self = group->members[life].id,
          .zone = group->members[life].zone,
          .flow_key = 5,
          .cache_capacity = group->settings.cache_capacity,
          .registry_capacity = group->settings.registry_capacity,
          .teach_per_second = group->settings.teach_per_second,
          .policy = group->settings.policy };
  gbd_engine_t *engine = gbd_engine_new (&settings);
  gbd_engine_set_catalog (engine, group->catalog);
  gbd_engine_set_touch (engine, GBD_TOUCH_FULL);
  gbd_engine_set_joined (engine, !is_keepers (group));
  group->engines[life] = engine;
  group->adopt_at[life] = group->now;
}

/* Whether an instance is counted by the table that it holds. */
static bool
is_member (const group_t *group, uint32_t life)
{
  return gbd_table_has_member (group->newest, group->members[life].id);
}

static bool
is_heard (const group_t *group, uint32_t life)
{
  return group->engines[life]
         && (group->lives[life] != LIFE_DEAD
             || group->now - group->dead_since[life] < SILENCE);
}

static void
set_live (group_t *group)
{
  gbd_member_t live[GROUP_LIVES];
  uint32_t count = 0;
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    if (is_heard (group, i))
      live[count++] = group->members[i];
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    if (group->engines[i])
      gbd_engine_set_live (group->engines[i], live, count);
}

/* The differences go to each other instance. */
static void
write_table (group_t *group, gbd_table_t *table)
{
  size_t length = 0;
  free (gbd_table_pack (table, group->newest, &length));
  uint32_t receivers = 0;
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    if (is_heard (group, i))
      {
        receivers++;
        group->adopt_at[i]
            = group->now
              + (gbd_time_t)(group_random (&group->random) % SPREAD);
      }
  if (group->newest && receivers)
    group->table_bytes += length * (receivers - 1);
  gbd_table_delete (group->newest);
  group->newest = table;
  group->written_at = group->now;
}

static void
adopt_tables (group_t *group)
{
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    {
      if (!group->engines[i] || group->lives[i] == LIFE_DEAD
          || group->held[i] == group->newest->version
          || group->now < group->adopt_at[i])
        continue;
      gbd_engine_set_table (group->engines[i], gbd_table_copy (group->newest),
                            group->now);
      group->held[i] = group->newest->version;
      if (is_keepers (group))
        gbd_engine_set_joined (group->engines[i], is_member (group, i));
    }
}

/* Copies are taken once every member that is heard has confirmed. */
static void
copy_state (group_t *group)
{
  uint64_t version = group->newest->version;
  bool is_done = true;
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    {
      if (!is_heard (group, i) || !is_member (group, i))
        continue;
      if (group->held[i] != version)
        return;
      is_done &= group->complete[i] == version;
    }
  if (is_done)
    return;
  if (has_phase (group->newest, GBD_BUCKET_SETTLING))
    exchange_exceptions (group);
  if (group->newest->roster_phase == GBD_ROSTER_JOINING)
    copy_registrations (group);
  /* An instance that is no member has copied nothing. */
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    if (is_heard (group, i) && is_member (group, i))
      {
        group->complete[i] = version;
        gbd_engine_set_complete (group->engines[i], group->service, true);
      }
}

/* One listing on its way from one instance to others. */
typedef struct
{
  group_t *group;
  uint32_t from;
  gbd_flows_kind_t kind;
} listing_t;

static void
send_to_all (void *data, const gbd_flow_entry_t *entry)
{
  const listing_t *listing = data;
  /* Held by the teller as well, as a node does. */
  gbd_engine_merge (listing->group->engines[listing->from],
                    listing->group->service, listing->kind, entry, 1,
                    listing->group->now);
  for (uint32_t to = 0; to < GROUP_LIVES; to++)
    if (to != listing->from && is_heard (listing->group, to))
      tell (listing->group, listing->group->members[to].id,
            listing->group->service, listing->kind, entry, 1);
}

/* To the keepers that come; from the first present one only. */
static void
send_to_next_keepers (void *data, const gbd_flow_entry_t *entry)
{
  const listing_t *listing = data;
  const gbd_table_t *table = listing->group->newest;
  gbd_keepers_t keepers;
  gbd_table_keepers (table, gbd_table_bucket_of (table, entry->hash),
                     &keepers);
  uint32_t first = (uint32_t)(keepers.lookup[0] - 100);
  if (!is_heard (listing->group, first))
    first = (uint32_t)(keepers.lookup[1] - 100);
  if (first != listing->from)
    return;
  for (uint8_t i = 0; i < keepers.count; i++)
    if (keepers.chain[i] != keepers.lookup[0]
        && keepers.chain[i] != keepers.lookup[1])
      tell (listing->group, keepers.chain[i], listing->group->service,
            listing->kind, entry, 1);
}

/* To the instances that join; from one present member only. */
static void
send_to_joiners (void *data, const gbd_flow_entry_t *entry)
{
  const listing_t *listing = data;
  const gbd_table_t *table = listing->group->newest;
  for (uint8_t i = 0; i < table->next_count; i++)
    {
      bool is_present = false;
      for (uint8_t j = 0; j < table->roster_count; j++)
        is_present |= table->roster[j].id == table->next[i].id;
      if (!is_present)
        tell (listing->group, table->next[i].id, listing->group->service,
              listing->kind, entry, 1);
    }
}

static void
exchange_exceptions (group_t *group)
{
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    {
      if (!is_heard (group, i) || group->lives[i] == LIFE_DEAD)
        continue;
      listing_t listing = { group, i, GBD_FLOWS_PART };
      gbd_engine_visit_exceptions (group->engines[i], group->service,
                                   group->now, send_to_all, &listing);
    }
}

static void
copy_registrations (group_t *group)
{
  bool has_exceptions = false;
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    {
      if (!is_heard (group, i) || group->lives[i] == LIFE_DEAD)
        continue;
      listing_t registered = { group, i, GBD_FLOWS_REGISTERED };
      gbd_engine_visit_registered (group->engines[i], group->service,
                                   send_to_next_keepers, &registered);
      if (has_exceptions)
        continue;
      has_exceptions = true;
      listing_t exceptions = { group, i, GBD_FLOWS_EXCEPTION };
      gbd_engine_visit_held_exceptions (group->engines[i], group->service,
                                        send_to_joiners, &exceptions);
    }
}

static void
extend_table (group_t *group)
{
  bool is_announced = has_phase (group->newest, GBD_BUCKET_ANNOUNCED);
  if (is_announced && group->now - group->written_at < ANNOUNCED_TIME)
    return;
  gbd_member_t members[GROUP_LIVES];
  gbd_confirmation_t confirmations[GROUP_LIVES];
  gbd_coordinator_input_t input = { .service = group->service,
                                    .members = members,
                                    .confirmations = confirmations,
                                    .backends = group->servers,
                                    .backend_count = group->server_count,
                                    .weights = group->weights,
                                    .bucket_count = GROUP_BUCKETS,
                                    .move_max = BALANCE_MOVE_MAX,
                                    .generation = 1 };
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    {
      if (!group->engines[i])
        continue;
      if (group->lives[i] == LIFE_SERVING
          || (group->lives[i] == LIFE_DEAD && is_heard (group, i)))
        members[input.member_count++] = group->members[i];
      confirmations[input.confirmation_count++]
          = (gbd_confirmation_t){ group->members[i].id, !is_heard (group, i),
                                  group->held[i], group->complete[i] };
    }
  gbd_time_t idle = group->settings.idle_limit_s * GBD_SECOND;
  input.is_covered = group->now - get_uncovered_at (group) >= idle;
  gbd_table_t *next;
  if (gbd_coordinator_step (group->newest, &input, &next) != GBD_STEP_READY)
    return;
  /* Flows that end within the idle limit need no exception. */
  if (is_announced && !has_phase (next, GBD_BUCKET_ANNOUNCED))
    group->uncovered_at = group->now;
  write_table (group, next);
}

/* The newest time at which any instance lost an open flow. */
static gbd_time_t
get_uncovered_at (const group_t *group)
{
  gbd_time_t newest = group->uncovered_at;
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    {
      if (!group->engines[i] || group->lives[i] == LIFE_DEAD)
        continue;
      gbd_engine_stats_t stats;
      gbd_engine_get_stats (group->engines[i], &stats);
      if (stats.covered_since > newest)
        newest = stats.covered_since;
    }
  return newest;
}

/* Baselines have no phases: the list of backend servers just changes. */
static void
rewrite_plain_table (group_t *group)
{
  if (is_keepers (group))
    return;
  gbd_table_t *next = gbd_table_new (
      group->service, GROUP_BUCKETS, group->servers, group->server_count,
      group->newest->roster, group->newest->roster_count);
  next->version = group->newest->version + 1;
  write_table (group, next);
}

static void
tell (void *data, gbd_instance_id_t to, gbd_service_id_t service,
      gbd_flows_kind_t kind, const gbd_flow_entry_t *entries, uint32_t count)
{
  group_t *group = data;
  uint32_t life = (uint32_t)(to - 100);
  if (!is_heard (group, life))
    return;
  group->flow_entries += count;
  bool is_listed = kind == GBD_FLOWS_REGISTERED || kind == GBD_FLOWS_EXCEPTION
                   || kind == GBD_FLOWS_PART;
  group->flow_messages += is_listed ? 0 : 1;
  if (group->lives[life] != LIFE_DEAD)
    gbd_engine_merge (group->engines[life], service, kind, entries, count,
                      group->now);
}

static void
replicate (group_t *group)
{
  uint32_t count = group->fresh_count - group->told_count;
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    if (is_heard (group, i))
      tell (group, group->members[i].id, group->service, GBD_FLOWS_LEARNED,
            group->fresh + group->told_count, count);
  /* The instance that opened a flow is not told of it. */
  group->flow_entries -= count;
  group->told_count = group->fresh_count;
}

static void
note_fresh (group_t *group, const gbd_decision_t *decision)
{
  if (group->fresh_count == group->fresh_capacity)
    {
      group->fresh_capacity = group->fresh_capacity * 2 + 1024;
      group->fresh = realloc (group->fresh,
                              group->fresh_capacity * sizeof *group->fresh);
    }
  group->fresh[group->fresh_count++]
      = (gbd_flow_entry_t){ decision->hash, decision->slot };
}

static void
count_heartbeats (group_t *group)
{
  if (!is_keepers (group))
    return;
  gbd_message_t beat = { .type = GBD_MESSAGE_HEARTBEAT, .from = UINT64_MAX };
  beat.body.heartbeat.sequence = 1000000;
  beat.body.heartbeat.covered_ms = 1000000;
  beat.body.heartbeat.generation = 1000;
  uint32_t lives = 0;
  for (uint32_t i = 0; i < GROUP_LIVES; i++)
    lives += is_heard (group, i);
  beat.body.heartbeat.heard_count = (uint16_t)(lives - 1);
  for (uint32_t i = 0; i + 1 < lives; i++)
    beat.body.heartbeat.heard[i]
        = (gbd_heard_t){ UINT64_MAX - i, 1000000, 150 };
  size_t length = 0;
  free (gbd_message_encode (&beat, &length));
  group->heartbeat_bytes += (uint64_t)length * lives * (lives - 1);
}

static bool
has_phase (const gbd_table_t *table, gbd_bucket_phase_t phase)
{
  for (uint32_t i = 0; i < table->bucket_count; i++)
    if (table->buckets[i].phase == phase)
      return true;
  return false;
}

static bool
is_keepers (const group_t *group)
{
  return group->settings.policy == &gbd_policy_keepers;
}
