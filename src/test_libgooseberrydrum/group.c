#include "test_libgooseberrydrum/group.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIME_STEP (10 * GBD_MILLISECOND)
#define TICK_STEPS 5
#define LATE_DELAY (500 * GBD_MILLISECOND)
#define JOIN_TIME_MS 30000
#define TIME_AFTER_JOIN_MS 1000
/* Time within which new flows must no longer open on a draining server. */
#define DRAIN_TIME_MAX (5 * GBD_SECOND)
#define OPENING_ATTEMPTS_MAX 16

typedef struct group_message
{
  struct group_message *next;
  gbd_time_t due;
  uint32_t from;
  uint32_t to;
  size_t length;
  uint8_t *bytes;
} group_message_t;

/* Data of a node's callbacks. */
typedef struct
{
  group_t *group;
  uint32_t index;
} node_context_t;

static node_context_t node_contexts[GROUP_NODES];

static void action_send (void *data, gbd_instance_id_t to,
                         const gbd_message_t *message);
static void action_write_table (void *data, uint64_t object_version,
                                const gbd_table_t *table);
static void action_set_watching (void *data, bool is_watching);
static void action_send_config (void *data, gbd_instance_id_t to);
static void action_report_event (void *data, gbd_node_event_t event,
                                 gbd_service_id_t service, uint64_t number);
static bool can_reach (const group_t *group, uint32_t a, uint32_t b);
static void queue_message (group_t *group, uint32_t from, uint32_t to,
                           const uint8_t *bytes, size_t length,
                           gbd_time_t due);
static void deliver_messages (group_t *group);
static void deliver_platform (group_t *group, uint32_t index);
static void deliver_lists (group_t *group, uint32_t index);
static bool is_joined (const group_t *group);
static gbd_backend_id_t forward_packet (group_t *group, uint32_t node,
                                        const gbd_packet_t *packet);
static void trace_decision (const group_t *group, uint32_t index,
                            const gbd_packet_t *packet,
                            const gbd_decision_t *decision);
static gbd_packet_t make_packet (const group_flow_t *flow,
                                 gbd_packet_kind_t kind);
static int find_server (const group_t *group, gbd_backend_id_t id);
static void record_opening (group_t *group, group_flow_t *flow,
                            gbd_backend_id_t server);

static const gbd_node_actions_t actions = {
  .send = action_send,
  .write_table = action_write_table,
  .set_watching = action_set_watching,
  .send_config = action_send_config,
  .report_event = action_report_event,
};

group_t *
group_new (uint32_t nodes, uint32_t servers,
           gbd_partition_policy_t partition_policy, uint32_t seed)
{
  group_t *group = calloc (1, sizeof *group);
  group->seed = seed ? seed : 1;
  group->delay_ms = 5;
  group->partition_policy = partition_policy;
  group->now = 1000 * GBD_SECOND;
  group->service = gbd_id_from_name (GROUP_SERVICE_NAME);
  group->catalog = gbd_catalog_new (1);
  gbd_plan_t plan = {
    .name = "test",
    .open_flows = 1000000,
    .new_flows_per_second = 1000000,
    .idle_limit_s = GROUP_IDLE_LIMIT_S,
  };
  gbd_catalog_add_plan (group->catalog, &plan);
  gbd_catalog_add_customer (group->catalog, "casa-lampiao", 0);
  gbd_service_handle_t service
      = gbd_catalog_add_service (group->catalog, GROUP_SERVICE_NAME, 0);
  gbd_address_t address;
  gbd_address_parse ("10.1.0.1:443", &address);
  gbd_catalog_add_address (group->catalog, &address, service);

  for (uint32_t i = 0; i < servers; i++)
    group_add_server (group);
  for (uint32_t i = 0; i < nodes; i++)
    group_start_node (group);
  for (int waited_ms = 0; waited_ms < JOIN_TIME_MS; waited_ms += 100)
    {
      group_run (group, 100);
      if (!is_joined (group))
        continue;
      group_run (group, TIME_AFTER_JOIN_MS);
      return group;
    }
  group_delete (group);
  return NULL;
}

void
group_delete (group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    group_crash_node (group, i);
  while (group->messages)
    {
      group_message_t *message = group->messages;
      group->messages = message->next;
      free (message->bytes);
      free (message);
    }
  gbd_catalog_delete (group->catalog);
  free (group->table);
  free (group);
}

void
group_run (group_t *group, uint32_t milliseconds)
{
  for (uint32_t elapsed = 0; elapsed < milliseconds; elapsed += 10)
    {
      group->now += TIME_STEP;
      deliver_messages (group);
      bool is_tick = group->now / TIME_STEP % TICK_STEPS == 0;
      for (uint32_t i = 0; i < group->node_count; i++)
        {
          group_node_t *node = &group->nodes[i];
          if (!node->is_alive || node->is_paused)
            continue;
          deliver_platform (group, i);
          if (is_tick)
            gbd_node_tick (node->node, group->now);
          const gbd_table_t *table = group_table (group, i);
          uint64_t version = table ? table->version : 0;
          group->version_decreases += version < node->highest_version;
          node->highest_version = version;
        }
    }
}

uint32_t
group_random (group_t *group, uint32_t limit)
{
  group->seed ^= group->seed << 13;
  group->seed ^= group->seed >> 17;
  group->seed ^= group->seed << 5;
  return group->seed % limit;
}

uint32_t
group_start_node (group_t *group)
{
  uint32_t index = group->node_count++;
  group_node_t *node = &group->nodes[index];
  snprintf (node->name, sizeof node->name, "entry-%u", index);
  node->id = gbd_id_from_name (node->name);
  gbd_zone_id_t zone = index % 4 + 1;
  gbd_engine_settings_t engine = {
    .self = node->id,
    .zone = zone,
    .flow_key = 7,
    .cache_capacity = 8192,
    .registry_capacity = 8192,
    .hints_per_second = 50,
    .partition_policy = (uint8_t)group->partition_policy,
    .policy = &gbd_policy_replicas,
  };
  gbd_node_settings_t settings = {
    .membership = { .self = node->id,
                    .zone = zone,
                    .heartbeat_interval = 400 * GBD_MILLISECOND,
                    .lease_timeout = 1400 * GBD_MILLISECOND,
                    .failure_timeout = 2000 * GBD_MILLISECOND },
    .bucket_count = 256,
    .move_max = 16,
    .transfer_bytes_per_second = 4000,
    .watchers = 2,
  };
  node_contexts[index] = (node_context_t){ group, index };
  node->engine = gbd_engine_new (&engine);
  node->node = gbd_node_new (&settings, node->engine, &actions,
                             &node_contexts[index], group->now);
  node->is_alive = true;
  node->is_listed = true;
  node->reaches_platform = true;
  gbd_node_set_catalog (node->node, group->catalog, group->now);
  group_link_node (group, index);
  group->lists_version++;
  return index;
}

void
group_link_node (group_t *group, uint32_t index)
{
  group_node_t *node = &group->nodes[index];
  for (uint32_t i = 0; i < group->node_count; i++)
    {
      group_node_t *other = &group->nodes[i];
      if (i == index || !can_reach (group, index, i))
        continue;
      gbd_node_link_up (other->node, node->id, index % 4 + 1, node->name,
                        group->now);
      gbd_node_link_up (node->node, other->id, i % 4 + 1, other->name,
                        group->now);
    }
}

void
group_crash_node (group_t *group, uint32_t index)
{
  group_node_t *node = &group->nodes[index];
  if (!node->is_alive)
    return;
  node->is_alive = false;
  node->is_listed = false;
  gbd_node_delete (node->node);
  gbd_engine_delete (node->engine);
  node->node = NULL;
  node->engine = NULL;
  group->lists_version++;
}

void
group_leave_node (group_t *group, uint32_t index)
{
  gbd_node_leave (group->nodes[index].node, group->now);
  group->nodes[index].is_listed = false;
  group->lists_version++;
}

uint32_t
group_random_node (group_t *group)
{
  for (;;)
    {
      uint32_t index = group_random (group, group->node_count);
      if (group->nodes[index].is_alive && !group->nodes[index].is_paused)
        return index;
    }
}

void
group_drain_server (group_t *group, uint32_t index)
{
  group->servers[index].state = GBD_BACKEND_DRAINING;
  group->weights[index] = 0;
  group->drained_at[index] = group->now;
  group->lists_version++;
}

void
group_kill_server (group_t *group, uint32_t index)
{
  group->servers[index].state = GBD_BACKEND_GONE;
  group->weights[index] = 0;
  group->drained_at[index] = group->now;
  group->lists_version++;
}

void
group_add_server (group_t *group)
{
  uint32_t index = group->server_count++;
  char name[GBD_NAME_MAX];
  snprintf (name, sizeof name, "visitas-%u", index);
  gbd_backend_t *server = &group->servers[index];
  server->id = gbd_id_from_name (name);
  server->zone = index % 4 + 1;
  gbd_address_parse ("127.0.0.1:9000", &server->address);
  server->address.port = (uint16_t)(9000 + index);
  group->weights[index] = 10000;
  group->lists_version++;
}

void
group_set_platform_down (group_t *group, bool is_down)
{
  group->is_platform_down = is_down;
  if (is_down)
    {
      group->down_at = group->now;
      return;
    }
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      if (group->drained_at[i] >= group->down_at)
        group->drained_at[i] = group->now;
    }
}

uint32_t
group_open (group_t *group)
{
  if (group->flow_count == GROUP_FLOWS)
    return GROUP_FLOWS;
  uint32_t index = group->flow_count++;
  group_flow_t *flow = &group->flows[index];
  gbd_address_parse ("10.1.0.1:443", &flow->flow.service);
  gbd_address_parse ("10.9.0.1:1024", &flow->flow.caller);
  flow->flow.caller.ip[2] = (uint8_t)(index >> 8);
  flow->flow.caller.ip[3] = (uint8_t)index;
  flow->flow.caller.port = (uint16_t)(1024 + group_random (group, 60000));
  flow->sequence = index * 1000 + 1;
  for (int i = 0; i < OPENING_ATTEMPTS_MAX; i++)
    {
      group_retransmit_opening (group, index, group_random_node (group));
      if (flow->server)
        return index;
      group_run (group, 50);
    }
  return GROUP_FLOWS;
}

void
group_retransmit_opening (group_t *group, uint32_t index, uint32_t node)
{
  group_flow_t *flow = &group->flows[index];
  gbd_packet_t packet = make_packet (flow, GBD_PACKET_OPENING);
  gbd_backend_id_t server = forward_packet (group, node, &packet);
  if (server)
    record_opening (group, flow, server);
}

bool
group_send_packet (group_t *group, uint32_t index, uint32_t node)
{
  group_flow_t *flow = &group->flows[index];
  gbd_packet_t packet = make_packet (flow, GBD_PACKET_ESTABLISHED);
  gbd_backend_id_t server = forward_packet (group, node, &packet);
  if (!server)
    return false;
  if (server == flow->server)
    {
      flow->is_answered = true;
      return true;
    }
  /* If the server was removed before a later packet reached it, the caller may
     open the flow again on another server.  Other servers refuse the packets
     of the old flow, so that these do not count as misrouted. */
  int server_index = find_server (group, flow->server);
  if (!flow->is_answered && server_index >= 0
      && group->servers[server_index].state == GBD_BACKEND_GONE)
    return false;
  group->misrouted_packets++;
  if (getenv ("GROUP_TRACE"))
    fprintf (stderr, "packet of flow %u reached another server\n", index);
  return false;
}

bool
group_send_packet_retrying (group_t *group, uint32_t flow, uint32_t tries)
{
  for (uint32_t i = 0; i < tries; i++)
    {
      if (group_send_packet (group, flow, group_random_node (group)))
        return true;
      group_run (group, 50);
    }
  return false;
}

bool
group_is_converged (const group_t *group)
{
  uint64_t version = 0;
  for (uint32_t i = 0; i < group->node_count; i++)
    {
      if (!group->nodes[i].is_alive || !group->nodes[i].is_listed)
        continue;
      const gbd_table_t *table = group_table (group, i);
      if (!table || (version && table->version != version))
        return false;
      version = table->version;
    }
  return true;
}

const gbd_table_t *
group_table (const group_t *group, uint32_t node)
{
  return gbd_engine_get_table (group->nodes[node].engine, group->service);
}

static void
action_send (void *data, gbd_instance_id_t to, const gbd_message_t *message)
{
  node_context_t *context = data;
  group_t *group = context->group;
  uint32_t index = 0;
  while (index < group->node_count && group->nodes[index].id != to)
    index++;
  if (index == group->node_count || !can_reach (group, context->index, index))
    return;

  size_t length;
  uint8_t *bytes = gbd_message_encode (message, &length);
  if (!bytes)
    abort ();
  gbd_time_t due = group->now + group->delay_ms * GBD_MILLISECOND;
  if (group_random (group, 100) < group->delayed_percent)
    due += LATE_DELAY;
  queue_message (group, context->index, index, bytes, length, due);
  if (group_random (group, 100) < group->duplicate_percent)
    queue_message (group, context->index, index, bytes, length,
                   due + LATE_DELAY);
  free (bytes);
}

static void
action_write_table (void *data, uint64_t object_version,
                    const gbd_table_t *table)
{
  node_context_t *context = data;
  group_t *group = context->group;
  group_node_t *node = &group->nodes[context->index];
  gbd_status_t status = GBD_OK;
  if (group->is_platform_down || !node->reaches_platform)
    status = GBD_ERROR_UNAVAILABLE;
  else if (object_version != group->object_version)
    status = GBD_ERROR_CONFLICT;
  else
    {
      free (group->table);
      group->table = gbd_table_to_json (table);
      group->object_version++;
      if (group->loses_responses)
        status = GBD_ERROR_UNKNOWN;
    }
  gbd_node_table_written (node->node, table->service, status,
                          group->object_version, gbd_table_copy (table),
                          group->now);
}

static void
action_set_watching (void *data, bool is_watching)
{
  node_context_t *context = data;
  (void)is_watching;
  context->group->nodes[context->index].delivered_object_version = 0;
  context->group->nodes[context->index].delivered_lists_version = 0;
}

static void
action_send_config (void *data, gbd_instance_id_t to)
{
  (void)data;
  (void)to;
}

static void
action_report_event (void *data, gbd_node_event_t event,
                     gbd_service_id_t service, uint64_t number)
{
  (void)service;
  if (!getenv ("GROUP_TRACE"))
    return;
  node_context_t *context = data;
  fprintf (stderr, "%lld node %u event %d %llx\n",
           (long long)(context->group->now / GBD_MILLISECOND), context->index,
           event, (unsigned long long)number);
}

static bool
can_reach (const group_t *group, uint32_t a, uint32_t b)
{
  return group->nodes[a].partition == group->nodes[b].partition
         && group->nodes[a].is_alive && group->nodes[b].is_alive;
}

static void
queue_message (group_t *group, uint32_t from, uint32_t to,
               const uint8_t *bytes, size_t length, gbd_time_t due)
{
  group_message_t *message = calloc (1, sizeof *message);
  message->due = due;
  message->from = from;
  message->to = to;
  message->length = length;
  message->bytes = malloc (length);
  memcpy (message->bytes, bytes, length);
  group_message_t **at = &group->messages;
  while (*at && (*at)->due <= due)
    at = &(*at)->next;
  message->next = *at;
  *at = message;
}

static void
deliver_messages (group_t *group)
{
  group_message_t **at = &group->messages;
  while (*at && (*at)->due <= group->now)
    {
      group_message_t *queued = *at;
      group_node_t *node = &group->nodes[queued->to];
      if (node->is_alive && node->is_paused)
        {
          at = &queued->next;
          continue;
        }
      *at = queued->next;
      gbd_message_t message;
      if (can_reach (group, queued->from, queued->to)
          && gbd_message_decode (queued->bytes + 4, queued->length - 4,
                                 &message)
                 == GBD_OK)
        {
          gbd_node_receive (node->node, &message, group->now);
          gbd_message_clear (&message);
        }
      free (queued->bytes);
      free (queued);
      /* Messages that were sent during the delivery may stand earlier in the
         queue. */
      at = &group->messages;
      while (*at && (*at)->due <= group->now
             && group->nodes[(*at)->to].is_paused)
        at = &(*at)->next;
    }
}

static void
deliver_platform (group_t *group, uint32_t index)
{
  group_node_t *node = &group->nodes[index];
  if (!gbd_node_is_watching (node->node) || group->is_platform_down
      || !node->reaches_platform)
    return;
  if (node->delivered_lists_version != group->lists_version)
    deliver_lists (group, index);
  if (node->delivered_object_version != group->object_version)
    {
      gbd_table_t *table
          = gbd_table_from_json (group->table, strlen (group->table));
      node->delivered_object_version = group->object_version;
      gbd_node_set_platform_table (node->node, group->service,
                                   group->object_version, table, group->now);
    }
  gbd_node_confirm_platform (node->node, group->now - TIME_STEP, group->now);
}

static void
deliver_lists (group_t *group, uint32_t index)
{
  group_node_t *node = &group->nodes[index];
  node->delivered_lists_version = group->lists_version;
  const char *names[GROUP_NODES];
  uint32_t count = 0;
  for (uint32_t i = 0; i < group->node_count; i++)
    {
      if (group->nodes[i].is_listed)
        names[count++] = group->nodes[i].name;
    }
  gbd_node_set_listed_instances (node->node, names, count);
  gbd_node_set_backends (node->node, group->service, group->servers,
                         group->weights, group->server_count);
}

static bool
is_joined (const group_t *group)
{
  for (uint32_t i = 0; i < group->node_count; i++)
    {
      if (group->nodes[i].is_alive
          && !gbd_node_is_joined (group->nodes[i].node))
        return false;
    }
  return group_is_converged (group);
}

/* Forward a packet from instance to instance.  Returns the server that
   received it, or 0. */
static gbd_backend_id_t
forward_packet (group_t *group, uint32_t index, const gbd_packet_t *packet)
{
  gbd_shim_t shim;
  bool has_shim = false;
  for (int hop = 0; hop <= GBD_HOPS_MAX + 1; hop++)
    {
      group_node_t *node = &group->nodes[index];
      if (!node->is_alive || node->is_paused)
        return 0;
      gbd_decision_t decision;
      gbd_engine_route (node->engine, packet, has_shim ? &shim : NULL,
                        group->now, &decision);
      gbd_engine_commit (node->engine, packet, &decision, group->now);
      trace_decision (group, index, packet, &decision);
      if (decision.kind == GBD_ACTION_BACKEND)
        {
          const gbd_table_t *table = group_table (group, index);
          return table->backends[decision.slot].id;
        }
      if (decision.kind != GBD_ACTION_PEER)
        return 0;
      uint32_t to = 0;
      while (to < group->node_count && group->nodes[to].id != decision.peer)
        to++;
      if (to == group->node_count || !can_reach (group, index, to))
        return 0;
      shim = decision.shim;
      has_shim = true;
      index = to;
    }
  return 0;
}

static void
trace_decision (const group_t *group, uint32_t index,
                const gbd_packet_t *packet, const gbd_decision_t *decision)
{
  const gbd_table_t *table = group_table (group, index);
  if (!table || !getenv ("GROUP_TRACE"))
    return;
  fprintf (stderr,
           "%lld flow %d node %u kind %d rule %s action %u slot %u bucket %u "
           "phase %u version %llu\n",
           (long long)(group->now / GBD_MILLISECOND),
           packet->flow.caller.ip[2] << 8 | packet->flow.caller.ip[3], index,
           (int)packet->kind, gbd_rule_strings[decision->rule], decision->kind,
           decision->slot, decision->bucket,
           table->buckets[decision->bucket].phase,
           (unsigned long long)decision->version);
}

static gbd_packet_t
make_packet (const group_flow_t *flow, gbd_packet_kind_t kind)
{
  return (gbd_packet_t){
    .kind = kind,
    .flow = flow->flow,
    .sequence = flow->sequence,
    .length = kind == GBD_PACKET_OPENING ? 40 : 140,
    .payload_length = kind == GBD_PACKET_OPENING ? 0 : 100,
  };
}

static int
find_server (const group_t *group, gbd_backend_id_t id)
{
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      if (group->servers[i].id == id)
        return (int)i;
    }
  return -1;
}

static void
record_opening (group_t *group, group_flow_t *flow, gbd_backend_id_t server)
{
  if (flow->server && flow->server != server)
    {
      group->duplicate_servers++;
      return;
    }
  if (!flow->server)
    {
      int index = find_server (group, server);
      gbd_time_t drained_at = index >= 0 ? group->drained_at[index] : 0;
      /* During an outage of the platform the group cannot observe drains. */
      if (drained_at && !group->is_platform_down
          && group->now - drained_at > DRAIN_TIME_MAX)
        {
          group->draining_server_flows++;
          if (getenv ("GROUP_TRACE"))
            fprintf (stderr, "new flow on a draining server, after %lld ms\n",
                     (long long)((group->now - drained_at) / 1000));
        }
    }
  flow->server = server;
}
