#include "group.h"

#include <stdlib.h>
#include <string.h>

/* Time after which the failure of an instance is detected. */
#define FAILURE_TIMEOUT (2 * GBD_SECOND)
#define HEARTBEAT_INTERVAL (400 * GBD_MILLISECOND)
/* Longest time from the write of a table to its arrival at an instance. */
#define TABLE_DELAY_MAX (400 * GBD_MILLISECOND)
/* Time for which a table with ANNOUNCED buckets stays current, so that
   retransmitted opening packets reach the same backend server. */
#define ANNOUNCEMENT_PERIOD (1500 * GBD_MILLISECOND)
#define BALANCE_MOVE_MAX 80

static void add_engine (group_t *group, uint32_t instance);
static bool is_member (const group_t *group, uint32_t instance);
static bool is_reachable (const group_t *group, uint32_t instance);
static void update_reachability (group_t *group);
static void write_table (group_t *group, gbd_table_t *table);
static void install_tables (group_t *group);
static void copy_state (group_t *group);
static void exchange_exceptions (group_t *group);
static void copy_registrations (group_t *group);
static void step_coordinator (group_t *group);
static gbd_time_t get_flows_lost_at (const group_t *group);
static void rewrite_baseline_table (group_t *group);
static void send_flow_update (void *data, gbd_instance_id_t to,
                              gbd_service_id_t service, gbd_flows_kind_t kind,
                              const gbd_flow_entry_t *entries, uint32_t count);
static void replicate (group_t *group);
static void record_opened_flow (group_t *group,
                                const gbd_decision_t *decision);
static void count_heartbeats (group_t *group);
static bool has_phase (const gbd_table_t *table, gbd_bucket_phase_t phase);
static bool uses_replicas (const group_t *group);

void
group_open (group_t *group, const group_settings_t *settings, uint64_t seed,
            uint32_t instances, uint32_t servers)
{
  memset (group, 0, sizeof *group);
  group->settings = *settings;
  group->random = seed;
  group->flows_lost_at = GBD_TIME_NEVER;
  group->catalog = gbd_catalog_new (1);
  gbd_plan_t plan
      = { .name = "bench", .idle_limit_s = settings->idle_limit_s };
  gbd_catalog_add_plan (group->catalog, &plan);
  gbd_catalog_add_customer (group->catalog, "customer", 0);
  gbd_catalog_add_service (group->catalog, "service", 0);
  gbd_address_parse ("10.0.0.1:80", &group->address);
  gbd_catalog_add_address (group->catalog, &group->address, 0);
  group->service = gbd_id_from_name ("service");

  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
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
  group->now = TABLE_DELAY_MAX;
  install_tables (group);
  for (uint32_t i = 0; i < instances; i++)
    gbd_engine_set_complete (group->engines[i], group->service, true);
}

void
group_close (group_t *group)
{
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    gbd_engine_delete (group->engines[i]);
  gbd_table_delete (group->newest);
  gbd_catalog_delete (group->catalog);
  free (group->opened_flows);
}

delivery_t
group_deliver (group_t *group, uint32_t first, const gbd_packet_t *packet)
{
  delivery_t delivery = { GBD_ACTION_PEER, 0, 0 };
  gbd_shim_t shim;
  const gbd_shim_t *received_shim = NULL;
  uint32_t instance = first;
  while (group->engines[instance]
         && group->instance_states[instance] != INSTANCE_CRASHED)
    {
      gbd_decision_t decision;
      gbd_engine_route (group->engines[instance], packet, received_shim,
                        group->now, &decision);
      gbd_engine_commit (group->engines[instance], packet, &decision,
                         group->now);
      delivery.kind = decision.kind;
      if (decision.kind == GBD_ACTION_BACKEND)
        {
          const gbd_table_t *table = gbd_engine_get_table (
              group->engines[instance], group->service);
          delivery.server = table->backends[decision.slot].id;
          if (group->settings.is_replicated && decision.is_new
              && packet->kind == GBD_PACKET_OPENING)
            record_opened_flow (group, &decision);
        }
      if (decision.kind != GBD_ACTION_PEER)
        return delivery;
      delivery.hops++;
      shim = decision.shim;
      received_shim = &shim;
      instance = (uint32_t)(decision.peer - 100);
    }
  return delivery;
}

void
group_control (group_t *group)
{
  update_reachability (group);
  install_tables (group);
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    if (group->engines[i] && group->instance_states[i] != INSTANCE_CRASHED)
      {
        gbd_engine_expire (group->engines[i], group->now);
        gbd_engine_take_updates (group->engines[i], send_flow_update, group);
      }
  if (group->settings.is_replicated)
    replicate (group);
  if (uses_replicas (group))
    {
      copy_state (group);
      step_coordinator (group);
    }
  if (group->now % HEARTBEAT_INTERVAL == 0)
    count_heartbeats (group);
}

void
group_drain (group_t *group, uint32_t server)
{
  group->servers[server].state = GBD_BACKEND_DRAINING;
  group->weights[server] = 0;
  rewrite_baseline_table (group);
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
    rewrite_baseline_table (group);
}

void
group_add_instance (group_t *group, uint32_t instance)
{
  group->instance_states[instance] = INSTANCE_SERVING;
  add_engine (group, instance);
  update_reachability (group);
  install_tables (group);
  /* The flow entries copied to a joining instance are not counted. */
  if (group->settings.is_replicated)
    gbd_engine_merge (group->engines[instance], group->service, GBD_FLOWS_HINT,
                      group->opened_flows, group->sent_count, group->now);
}

void
group_leave (group_t *group, uint32_t instance)
{
  group->instance_states[instance] = INSTANCE_LEAVING;
  group->flows_lost_at = group->now;
}

void
group_crash (group_t *group, uint32_t instance)
{
  group->instance_states[instance] = INSTANCE_CRASHED;
  group->crashed_at[instance] = group->now;
  group->flows_lost_at = group->now;
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
  gbd_message_t flow_message
      = { .type = GBD_MESSAGE_FLOWS, .from = group_random (&random) };
  flow_message.body.flows.service = group_random (&random);
  flow_message.body.flows.version = 1000;
  flow_message.body.flows.kind = GBD_FLOWS_HINT;
  flow_message.body.flows.entries = entries;
  size_t lengths[2] = { 0, 0 };
  for (int i = 0; i < 2; i++)
    {
      flow_message.body.flows.count = i ? GBD_FLOWS_MAX : 1;
      free (gbd_message_encode (&flow_message, &lengths[i]));
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
add_engine (group_t *group, uint32_t instance)
{
  gbd_engine_settings_t settings
      = { .self = group->members[instance].id,
          .zone = group->members[instance].zone,
          .flow_key = 5,
          .cache_capacity = group->settings.cache_capacity,
          .registry_capacity = group->settings.registry_capacity,
          .hints_per_second = group->settings.hints_per_second,
          .policy = group->settings.policy };
  gbd_engine_t *engine = gbd_engine_new (&settings);
  gbd_engine_set_catalog (engine, group->catalog);
  gbd_engine_set_lease (engine, GBD_LEASE_FULL);
  gbd_engine_set_joined (engine, !uses_replicas (group));
  group->engines[instance] = engine;
  group->table_due_at[instance] = group->now;
}

/* Whether an instance is in the roster or the next roster of the newest
   table. */
static bool
is_member (const group_t *group, uint32_t instance)
{
  return gbd_table_has_member (group->newest, group->members[instance].id);
}

static bool
is_reachable (const group_t *group, uint32_t instance)
{
  return group->engines[instance]
         && (group->instance_states[instance] != INSTANCE_CRASHED
             || group->now - group->crashed_at[instance] < FAILURE_TIMEOUT);
}

static void
update_reachability (group_t *group)
{
  gbd_member_t reachable_members[GROUP_INSTANCES];
  uint32_t count = 0;
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    if (is_reachable (group, i))
      reachable_members[count++] = group->members[i];
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    if (group->engines[i])
      gbd_engine_set_reachable (group->engines[i], reachable_members, count);
}

/* Replaces the newest table.  Every reachable instance gets it after a random
   delay; the delta is sent to all of them except the writer. */
static void
write_table (group_t *group, gbd_table_t *table)
{
  size_t length = 0;
  free (gbd_table_pack (table, group->newest, &length));
  uint32_t receivers = 0;
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    if (is_reachable (group, i))
      {
        receivers++;
        group->table_due_at[i]
            = group->now
              + (gbd_time_t)(group_random (&group->random) % TABLE_DELAY_MAX);
      }
  if (group->newest && receivers)
    group->table_bytes += length * (receivers - 1);
  gbd_table_delete (group->newest);
  group->newest = table;
  group->written_at = group->now;
}

static void
install_tables (group_t *group)
{
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    {
      if (!group->engines[i] || group->instance_states[i] == INSTANCE_CRASHED
          || group->table_versions[i] == group->newest->version
          || group->now < group->table_due_at[i])
        continue;
      gbd_engine_set_table (group->engines[i], gbd_table_copy (group->newest),
                            group->now);
      group->table_versions[i] = group->newest->version;
      if (uses_replicas (group))
        gbd_engine_set_joined (group->engines[i], is_member (group, i));
    }
}

/* Copies exceptions and registrations once every reachable member has the
   newest table. */
static void
copy_state (group_t *group)
{
  uint64_t version = group->newest->version;
  bool is_done = true;
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    {
      if (!is_reachable (group, i) || !is_member (group, i))
        continue;
      if (group->table_versions[i] != version)
        return;
      is_done &= group->copied_versions[i] == version;
    }
  if (is_done)
    return;
  if (has_phase (group->newest, GBD_BUCKET_SETTLING))
    exchange_exceptions (group);
  if (group->newest->roster_phase == GBD_ROSTER_JOINING)
    copy_registrations (group);
  /* Only members now have the complete state; an instance outside both
     rosters was not sent the registrations. */
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    if (is_reachable (group, i) && is_member (group, i))
      {
        group->copied_versions[i] = version;
        gbd_engine_set_complete (group->engines[i], group->service, true);
      }
}

/* Transfer of flow entries from one instance to others. */
typedef struct
{
  group_t *group;
  uint32_t from;
  gbd_flows_kind_t kind;
} transfer_t;

static void
send_to_all (void *data, const gbd_flow_entry_t *entry)
{
  const transfer_t *transfer = data;
  /* The sender stores the entry as well, as a node does. */
  gbd_engine_merge (transfer->group->engines[transfer->from],
                    transfer->group->service, transfer->kind, entry, 1,
                    transfer->group->now);
  for (uint32_t to = 0; to < GROUP_INSTANCES; to++)
    if (to != transfer->from && is_reachable (transfer->group, to))
      send_flow_update (transfer->group, transfer->group->members[to].id,
                        transfer->group->service, transfer->kind, entry, 1);
}

/* Sends an entry to the replicas that are added to its bucket.  Only the first
 * reachable one of the bucket's current replicas sends it. */
static void
send_to_added_replicas (void *data, const gbd_flow_entry_t *entry)
{
  const transfer_t *transfer = data;
  const gbd_table_t *table = transfer->group->newest;
  gbd_replicas_t replicas;
  gbd_table_get_replicas (table, gbd_table_bucket_of (table, entry->hash),
                          &replicas);
  uint32_t first = (uint32_t)(replicas.lookup[0] - 100);
  if (!is_reachable (transfer->group, first))
    first = (uint32_t)(replicas.lookup[1] - 100);
  if (first != transfer->from)
    return;
  for (uint8_t i = 0; i < replicas.count; i++)
    if (replicas.chain[i] != replicas.lookup[0]
        && replicas.chain[i] != replicas.lookup[1])
      send_flow_update (transfer->group, replicas.chain[i],
                        transfer->group->service, transfer->kind, entry, 1);
}

/* Sends an entry to the instances that join.  Only one current member sends
 * it. */
static void
send_to_joining_members (void *data, const gbd_flow_entry_t *entry)
{
  const transfer_t *transfer = data;
  const gbd_table_t *table = transfer->group->newest;
  for (uint8_t i = 0; i < table->next_count; i++)
    {
      bool is_current_member = false;
      for (uint8_t j = 0; j < table->roster_count; j++)
        is_current_member |= table->roster[j].id == table->next[i].id;
      if (!is_current_member)
        send_flow_update (transfer->group, table->next[i].id,
                          transfer->group->service, transfer->kind, entry, 1);
    }
}

static void
exchange_exceptions (group_t *group)
{
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    {
      if (!is_reachable (group, i)
          || group->instance_states[i] == INSTANCE_CRASHED)
        continue;
      transfer_t transfer = { group, i, GBD_FLOWS_SHARE };
      gbd_engine_visit_off_target_flows (group->engines[i], group->service,
                                         group->now, send_to_all, &transfer);
    }
}

static void
copy_registrations (group_t *group)
{
  bool has_exceptions = false;
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    {
      if (!is_reachable (group, i)
          || group->instance_states[i] == INSTANCE_CRASHED)
        continue;
      transfer_t registered = { group, i, GBD_FLOWS_REGISTERED };
      gbd_engine_visit_registrations (group->engines[i], group->service,
                                      send_to_added_replicas, &registered);
      if (has_exceptions)
        continue;
      has_exceptions = true;
      transfer_t exceptions = { group, i, GBD_FLOWS_EXCEPTION };
      gbd_engine_visit_stored_exceptions (group->engines[i], group->service,
                                          send_to_joining_members,
                                          &exceptions);
    }
}

static void
step_coordinator (group_t *group)
{
  bool is_announced = has_phase (group->newest, GBD_BUCKET_ANNOUNCED);
  if (is_announced && group->now - group->written_at < ANNOUNCEMENT_PERIOD)
    return;
  gbd_member_t members[GROUP_INSTANCES];
  gbd_confirmation_t confirmations[GROUP_INSTANCES];
  gbd_coordinator_input_t input = { .service = group->service,
                                    .members = members,
                                    .confirmations = confirmations,
                                    .backends = group->servers,
                                    .backend_count = group->server_count,
                                    .weights = group->weights,
                                    .bucket_count = GROUP_BUCKETS,
                                    .move_max = BALANCE_MOVE_MAX,
                                    .generation = 1 };
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    {
      if (!group->engines[i])
        continue;
      if (group->instance_states[i] == INSTANCE_SERVING
          || (group->instance_states[i] == INSTANCE_CRASHED
              && is_reachable (group, i)))
        members[input.member_count++] = group->members[i];
      confirmations[input.confirmation_count++] = (gbd_confirmation_t){
        group->members[i].id, !is_reachable (group, i),
        group->table_versions[i], group->copied_versions[i]
      };
    }
  gbd_time_t idle = group->settings.idle_limit_s * GBD_SECOND;
  input.is_loss_free = group->now - get_flows_lost_at (group) >= idle;
  gbd_table_t *next;
  if (gbd_coordinator_step (group->newest, &input, &next) != GBD_STEP_READY)
    return;
  /* A bucket move restarts the loss-free time.  This keeps the moved buckets
     ACTIVE for the idle limit: flows that end within it need no exception. */
  if (is_announced && !has_phase (next, GBD_BUCKET_ANNOUNCED))
    group->flows_lost_at = group->now;
  write_table (group, next);
}

/* Returns the newest time at which an instance lost an open flow, left or
   crashed, or buckets moved. */
static gbd_time_t
get_flows_lost_at (const group_t *group)
{
  gbd_time_t newest = group->flows_lost_at;
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    {
      if (!group->engines[i] || group->instance_states[i] == INSTANCE_CRASHED)
        continue;
      gbd_engine_stats_t stats;
      gbd_engine_get_stats (group->engines[i], &stats);
      if (stats.loss_free_since > newest)
        newest = stats.loss_free_since;
    }
  return newest;
}

/* Baseline policies have no bucket phases; only the list of backend servers
   changes. */
static void
rewrite_baseline_table (group_t *group)
{
  if (uses_replicas (group))
    return;
  gbd_table_t *next = gbd_table_new (
      group->service, GROUP_BUCKETS, group->servers, group->server_count,
      group->newest->roster, group->newest->roster_count);
  next->version = group->newest->version + 1;
  write_table (group, next);
}

static void
send_flow_update (void *data, gbd_instance_id_t to, gbd_service_id_t service,
                  gbd_flows_kind_t kind, const gbd_flow_entry_t *entries,
                  uint32_t count)
{
  group_t *group = data;
  uint32_t instance = (uint32_t)(to - 100);
  if (!is_reachable (group, instance))
    return;
  group->flow_entries += count;
  bool is_transfer = kind == GBD_FLOWS_REGISTERED
                     || kind == GBD_FLOWS_EXCEPTION || kind == GBD_FLOWS_SHARE;
  group->flow_messages += is_transfer ? 0 : 1;
  if (group->instance_states[instance] != INSTANCE_CRASHED)
    gbd_engine_merge (group->engines[instance], service, kind, entries, count,
                      group->now);
}

static void
replicate (group_t *group)
{
  uint32_t count = group->opened_count - group->sent_count;
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    if (is_reachable (group, i))
      send_flow_update (group, group->members[i].id, group->service,
                        GBD_FLOWS_HINT,
                        group->opened_flows + group->sent_count, count);
  /* The instance that opened a flow gets no message about it. */
  group->flow_entries -= count;
  group->sent_count = group->opened_count;
}

static void
record_opened_flow (group_t *group, const gbd_decision_t *decision)
{
  if (group->opened_count == group->opened_capacity)
    {
      group->opened_capacity = group->opened_capacity * 2 + 1024;
      group->opened_flows
          = realloc (group->opened_flows,
                     group->opened_capacity * sizeof *group->opened_flows);
    }
  group->opened_flows[group->opened_count++]
      = (gbd_flow_entry_t){ decision->hash, decision->slot };
}

static void
count_heartbeats (group_t *group)
{
  if (!uses_replicas (group))
    return;
  gbd_message_t heartbeat_message
      = { .type = GBD_MESSAGE_HEARTBEAT, .from = UINT64_MAX };
  heartbeat_message.body.heartbeat.sequence = 1000000;
  heartbeat_message.body.heartbeat.loss_free_ms = 1000000;
  heartbeat_message.body.heartbeat.generation = 1000;
  uint32_t reachable_count = 0;
  for (uint32_t i = 0; i < GROUP_INSTANCES; i++)
    reachable_count += is_reachable (group, i);
  heartbeat_message.body.heartbeat.ack_count = (uint16_t)(reachable_count - 1);
  for (uint32_t i = 0; i + 1 < reachable_count; i++)
    heartbeat_message.body.heartbeat.acks[i]
        = (gbd_heartbeat_ack_t){ UINT64_MAX - i, 1000000, 150 };
  size_t length = 0;
  free (gbd_message_encode (&heartbeat_message, &length));
  group->heartbeat_bytes
      += (uint64_t)length * reachable_count * (reachable_count - 1);
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
uses_replicas (const group_t *group)
{
  return group->settings.policy == &gbd_policy_replicas;
}
