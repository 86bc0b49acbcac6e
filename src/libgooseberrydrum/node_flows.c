#include "libgooseberrydrum/node_private.h"

#include <stdlib.h>
#include <string.h>

/* Bytes that one flow entry takes in a message, and the message around it. */
#define ENTRY_BYTES 13
#define MESSAGE_BYTES 40
/* Entries of one message, so that one link is not held up by a copy. */
#define ENTRIES_PER_MESSAGE 64
#define TOLD_ENTRIES_MAX GBD_FLOWS_MAX

/* A growing list of flows. */
typedef struct
{
  gbd_node_t *node;
  service_t *service;
  gbd_flow_entry_t *entries;
  uint32_t count;
  uint32_t room;
  bool has_failed;
} flow_list_t;

static void collect (void *data, const gbd_flow_entry_t *entry);
static void collect_part (void *data, const gbd_flow_entry_t *entry);
static void collect_rest (void *data, const gbd_flow_entry_t *entry);
static bool is_moving (const gbd_node_t *node, const service_t *service);
static bool is_members_at (gbd_node_t *node, service_t *service,
                           const gbd_table_t *table, uint64_t version);
static void ask_copies (gbd_node_t *node, service_t *service,
                        const gbd_table_t *table);
static bool has_copies (gbd_node_t *node, service_t *service,
                        const gbd_table_t *table, gbd_time_t now);
static void exchange_exceptions (gbd_node_t *node, service_t *service,
                                 const gbd_table_t *table, gbd_time_t now);
static bool has_ended (gbd_node_t *node, service_t *service,
                       const gbd_table_t *table, bool is_rest);
static void queue_to_members (gbd_node_t *node, service_t *service,
                              const gbd_table_t *table, flow_list_t *list,
                              uint8_t kind, uint8_t end_kind);
static void queue_bulk (gbd_node_t *node, service_t *service,
                        gbd_instance_id_t to, const flow_list_t *list,
                        uint8_t kind, uint8_t end_kind, bool has_end);
static uint32_t send_bulk_message (gbd_node_t *node, bulk_t *bulk);
static void send_told (void *data, gbd_instance_id_t to,
                       gbd_service_id_t service, gbd_flows_kind_t kind,
                       const gbd_flow_entry_t *entries, uint32_t count);
static const gbd_member_t *member_at (const gbd_table_t *table,
                                      uint32_t index);
static uint32_t member_count (const gbd_table_t *table);

void
node_require_copy (gbd_node_t *node, service_t *service, bool loses_exceptions)
{
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  if (!table)
    return;
  service->copy_version = table->version;
  /* The coordinator goes by what is complete now, not by what was. */
  if (service->complete)
    node->is_heartbeat_due = true;
  service->complete = 0;
  service->has_exceptions = service->has_exceptions && !loses_exceptions;
  for (uint32_t i = 0; i < service->progress_count; i++)
    {
      service->progress[i].copy_asked = 0;
      service->progress[i].copy_ended = 0;
    }
}

void
node_begin_settling (service_t *service, uint64_t settle_id, bool is_again)
{
  service->is_exchange_again = is_again;
  service->settle_id = settle_id;
  service->has_sent_part = false;
  service->has_sent_rest = false;
}

void
node_receive_flows (gbd_node_t *node, const gbd_message_t *message,
                    gbd_time_t now)
{
  uint8_t kind = message->body.flows.kind;
  const service_t *service
      = node_find_service (node, message->body.flows.service);
  if (!service)
    return;
  /* Only the exchange under way tells all members the same. */
  bool is_exchange = service->settle_id
                     && message->body.flows.version == service->settle_id;
  if (kind == GBD_FLOWS_PART || kind == GBD_FLOWS_EXCEPTION)
    kind = is_exchange ? GBD_FLOWS_PART : GBD_FLOWS_EXCEPTION;
  gbd_engine_merge (node->engine, message->body.flows.service,
                    (gbd_flows_kind_t)kind, message->body.flows.entries,
                    message->body.flows.count, now);
}

void
node_receive_flows_end (gbd_node_t *node, const gbd_message_t *message)
{
  service_t *service
      = node_find_service (node, message->body.flows_end.service);
  if (!service)
    return;
  progress_t *progress = node_find_progress (service, message->from);
  uint64_t version = message->body.flows_end.version;
  if (message->body.flows_end.kind == GBD_FLOWS_PART)
    progress->part_ended = version;
  else if (message->body.flows_end.kind == GBD_FLOWS_EXCEPTION)
    progress->rest_ended = version;
  else if (message->body.flows_end.kind == GBD_FLOWS_REGISTERED)
    progress->copy_ended = version;
}

void
node_answer_copy (gbd_node_t *node, const gbd_message_t *message)
{
  service_t *service = node_find_service (node, message->body.copy.service);
  if (!service)
    return;
  flow_list_t held = { .node = node, .service = service };
  flow_list_t registered = { .node = node, .service = service };
  gbd_engine_visit_held_exceptions (node->engine, service->id, collect, &held);
  gbd_engine_visit_registered (node->engine, service->id, collect,
                               &registered);
  if (!held.has_failed && !registered.has_failed)
    {
      queue_bulk (node, service, message->from, &held, GBD_FLOWS_EXCEPTION,
                  GBD_FLOWS_REGISTERED, false);
      queue_bulk (node, service, message->from, &registered,
                  GBD_FLOWS_REGISTERED, GBD_FLOWS_REGISTERED, true);
    }
  free (held.entries);
  free (registered.entries);
}

void
node_advance_flows (gbd_node_t *node, service_t *service, gbd_time_t now)
{
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  if (!table)
    return;

  if (service->copy_version)
    {
      /* A flow registered before every member knew of the new keepers is in
         no copy that was made earlier. */
      if (is_members_at (node, service, table, service->copy_version))
        {
          ask_copies (node, service, table);
          if (has_copies (node, service, table, now))
            {
              service->copy_version = 0;
              service->has_exceptions = true;
            }
        }
    }
  if (service->settle_id)
    exchange_exceptions (node, service, table, now);

  bool is_settled
      = !service->settle_id || has_ended (node, service, table, true);
  bool is_complete = !service->copy_version && is_settled;
  if (is_complete && service->complete != table->version)
    {
      service->complete = table->version;
      node->is_heartbeat_due = true;
      node->actions->note (node->data, GBD_NOTE_COMPLETE, service->id,
                           table->version);
    }
  bool has_claims
      = !service->copy_version && now >= service->claims_blocked_until;
  gbd_engine_set_complete (node->engine, service->id, service->has_exceptions);
  gbd_engine_set_claims (node->engine, service->id, has_claims);
}

void
node_send_bulk (gbd_node_t *node, gbd_time_t now)
{
  gbd_time_t elapsed = now - node->bulk_at;
  node->bulk_at = now;
  if (elapsed > GBD_SECOND)
    elapsed = GBD_SECOND;
  int64_t rate = node->settings.bulk_bytes_per_second;
  node->bulk_tokens += rate * elapsed / GBD_SECOND;
  if (node->bulk_tokens > rate)
    node->bulk_tokens = rate;

  while (node->bulk_first && node->bulk_tokens > 0)
    {
      bulk_t *bulk = node->bulk_first;
      node->bulk_tokens -= send_bulk_message (node, bulk);
      if (bulk->sent < bulk->count || bulk->has_end)
        continue;
      /* In order: an end mark speaks for all entries queued before it. */
      node->bulk_first = bulk->next;
      if (!node->bulk_first)
        node->bulk_last = &node->bulk_first;
      free (bulk);
    }
}

void
node_send_told (gbd_node_t *node)
{
  gbd_engine_take_told (node->engine, send_told, node);
}

void
node_drop_bulk (gbd_node_t *node, gbd_instance_id_t to)
{
  bulk_t **at = &node->bulk_first;
  while (*at)
    {
      bulk_t *bulk = *at;
      if (bulk->to != to)
        {
          at = &bulk->next;
          continue;
        }
      *at = bulk->next;
      free (bulk);
    }
  node->bulk_last = at;
}

static void
collect (void *data, const gbd_flow_entry_t *entry)
{
  flow_list_t *list = data;
  if (list->count == list->room)
    {
      uint32_t room = list->room ? list->room * 2 : 256;
      gbd_flow_entry_t *entries
          = realloc (list->entries, room * sizeof *entries);
      if (!entries)
        {
          list->has_failed = true;
          return;
        }
      list->entries = entries;
      list->room = room;
    }
  list->entries[list->count++] = *entry;
}

/* Flows whose first sender among the members is this instance. */
static void
collect_part (void *data, const gbd_flow_entry_t *entry)
{
  flow_list_t *list = data;
  gbd_node_t *node = list->node;
  const gbd_table_t *table
      = gbd_engine_get_table (node->engine, list->service->id);
  gbd_instance_id_t self = node->settings.membership.self;
  uint64_t own = gbd_rendezvous (self, entry->hash);
  for (uint32_t i = 0; i < member_count (table); i++)
    {
      gbd_instance_id_t id = member_at (table, i)->id;
      bool can_send = id == self || node_is_live (node, id);
      if (can_send && gbd_rendezvous (id, entry->hash) > own)
        return;
    }
  collect (data, entry);
}

/* Flows that nobody has sent. */
static void
collect_rest (void *data, const gbd_flow_entry_t *entry)
{
  flow_list_t *list = data;
  if (gbd_engine_holds_exception (list->node->engine, list->service->id,
                                  entry->hash))
    return;
  collect (data, entry);
}

static bool
is_moving (const gbd_node_t *node, const service_t *service)
{
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      if (table->buckets[i].phase != GBD_BUCKET_STABLE)
        return true;
    }
  return false;
}

/* Whether all members that can be heard hold a version or a later one. */
static bool
is_members_at (gbd_node_t *node, service_t *service, const gbd_table_t *table,
               uint64_t version)
{
  for (uint32_t i = 0; i < member_count (table); i++)
    {
      gbd_instance_id_t id = member_at (table, i)->id;
      if (!node_is_live (node, id))
        continue;
      if (node_find_progress (service, id)->version < version)
        return false;
    }
  return true;
}

static void
ask_copies (gbd_node_t *node, service_t *service, const gbd_table_t *table)
{
  for (uint32_t i = 0; i < member_count (table); i++)
    {
      gbd_instance_id_t id = member_at (table, i)->id;
      if (!node_is_live (node, id))
        continue;
      progress_t *progress = node_find_progress (service, id);
      if (progress->copy_asked >= service->copy_version)
        continue;
      progress->copy_asked = table->version;
      gbd_message_t copy = { .type = GBD_MESSAGE_COPY };
      copy.body.copy.service = service->id;
      copy.body.copy.version = table->version;
      node_send (node, id, &copy);
    }
}

static bool
has_copies (gbd_node_t *node, service_t *service, const gbd_table_t *table,
            gbd_time_t now)
{
  bool has_others = false;
  for (uint32_t i = 0; i < member_count (table); i++)
    {
      gbd_instance_id_t id = member_at (table, i)->id;
      if (id == node->settings.membership.self)
        continue;
      has_others = true;
      if (node_is_silent (node, service, id, now))
        continue;
      if (node_find_progress (service, id)->copy_ended < service->copy_version)
        return false;
    }
  if (!has_others)
    return true;
  /* Alone among members that are silent: nothing can be claimed while
     registrations decide for some bucket. */
  return node->live_count > 0 || !is_moving (node, service);
}

/* Two rounds: every flow from one member, then what nobody has sent. */
static void
exchange_exceptions (gbd_node_t *node, service_t *service,
                     const gbd_table_t *table, gbd_time_t now)
{
  if (!service->has_sent_part)
    {
      flow_list_t list = { .node = node, .service = service };
      gbd_engine_visit_exceptions (node->engine, service->id, now,
                                   collect_part, &list);
      if (!list.has_failed)
        {
          queue_to_members (node, service, table, &list, GBD_FLOWS_PART,
                            GBD_FLOWS_PART);
          gbd_engine_merge (node->engine, service->id, GBD_FLOWS_PART,
                            list.entries, list.count, now);
          service->has_sent_part = true;
        }
      free (list.entries);
    }
  if (!service->has_sent_rest && has_ended (node, service, table, false))
    {
      flow_list_t list = { .node = node, .service = service };
      gbd_engine_visit_exceptions (node->engine, service->id, now,
                                   collect_rest, &list);
      /* A member came late, and may lack what the others had before. */
      if (service->is_exchange_again)
        gbd_engine_visit_held_exceptions (node->engine, service->id, collect,
                                          &list);
      if (!list.has_failed)
        {
          queue_to_members (node, service, table, &list, GBD_FLOWS_EXCEPTION,
                            GBD_FLOWS_EXCEPTION);
          gbd_engine_merge (node->engine, service->id, GBD_FLOWS_PART,
                            list.entries, list.count, now);
          service->has_sent_rest = true;
        }
      free (list.entries);
    }
}

static bool
has_ended (gbd_node_t *node, service_t *service, const gbd_table_t *table,
           bool is_rest)
{
  if (is_rest && !service->has_sent_rest)
    return false;
  for (uint32_t i = 0; i < member_count (table); i++)
    {
      gbd_instance_id_t id = member_at (table, i)->id;
      /* Also of members that are silent: the coordinator takes them out of
         the roster first. */
      if (id == node->settings.membership.self)
        continue;
      const progress_t *progress = node_find_progress (service, id);
      uint64_t ended = is_rest ? progress->rest_ended : progress->part_ended;
      if (ended != service->settle_id)
        return false;
    }
  return true;
}

static void
queue_to_members (gbd_node_t *node, service_t *service,
                  const gbd_table_t *table, flow_list_t *list, uint8_t kind,
                  uint8_t end_kind)
{
  for (uint32_t i = 0; i < member_count (table); i++)
    {
      gbd_instance_id_t id = member_at (table, i)->id;
      bool is_repeated = false;
      for (uint32_t j = 0; j < i; j++)
        is_repeated = is_repeated || member_at (table, j)->id == id;
      if (!is_repeated && node_is_live (node, id))
        queue_bulk (node, service, id, list, kind, end_kind, true);
    }
}

static void
queue_bulk (gbd_node_t *node, service_t *service, gbd_instance_id_t to,
            const flow_list_t *list, uint8_t kind, uint8_t end_kind,
            bool has_end)
{
  if (list->count == 0 && !has_end)
    return;
  size_t bytes = list->count * sizeof *list->entries;
  bulk_t *bulk = malloc (sizeof *bulk + bytes);
  if (!bulk)
    return;
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  *bulk = (bulk_t){
    .to = to,
    .service = service->id,
    .version = table ? table->version : 0,
    .settle_id = service->settle_id,
    .kind = kind,
    .end_kind = end_kind,
    .has_end = has_end,
    .count = list->count,
  };
  if (list->count)
    memcpy (bulk->entries, list->entries, bytes);
  *node->bulk_last = bulk;
  node->bulk_last = &bulk->next;
}

/* Send one message of a bulk; its bytes, about. */
static uint32_t
send_bulk_message (gbd_node_t *node, bulk_t *bulk)
{
  uint32_t left = bulk->count - bulk->sent;
  if (left == 0)
    {
      gbd_message_t end = { .type = GBD_MESSAGE_FLOWS_END };
      end.body.flows_end.service = bulk->service;
      end.body.flows_end.kind = bulk->end_kind;
      end.body.flows_end.version = bulk->end_kind == GBD_FLOWS_REGISTERED
                                       ? bulk->version
                                       : bulk->settle_id;
      node_send (node, bulk->to, &end);
      bulk->has_end = false;
      return MESSAGE_BYTES;
    }
  uint32_t count = left < ENTRIES_PER_MESSAGE ? left : ENTRIES_PER_MESSAGE;
  gbd_message_t message = { .type = GBD_MESSAGE_FLOWS };
  message.body.flows.service = bulk->service;
  message.body.flows.version = bulk->end_kind == GBD_FLOWS_REGISTERED
                                   ? bulk->version
                                   : bulk->settle_id;
  message.body.flows.kind = bulk->kind;
  message.body.flows.count = (uint16_t)count;
  message.body.flows.entries = bulk->entries + bulk->sent;
  node_send (node, bulk->to, &message);
  bulk->sent += count;
  return MESSAGE_BYTES + count * ENTRY_BYTES;
}

static void
send_told (void *data, gbd_instance_id_t to, gbd_service_id_t service,
           gbd_flows_kind_t kind, const gbd_flow_entry_t *entries,
           uint32_t count)
{
  gbd_node_t *node = data;
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service);
  while (count)
    {
      uint32_t part = count < TOLD_ENTRIES_MAX ? count : TOLD_ENTRIES_MAX;
      gbd_message_t message = { .type = GBD_MESSAGE_FLOWS };
      message.body.flows.service = service;
      message.body.flows.version = table ? table->version : 0;
      message.body.flows.kind = (uint8_t)kind;
      message.body.flows.count = (uint16_t)part;
      message.body.flows.entries = (gbd_flow_entry_t *)entries;
      node_send (node, to, &message);
      entries += part;
      count -= part;
    }
}

static uint32_t
member_count (const gbd_table_t *table)
{
  return table->roster_count + (uint32_t)table->next_count;
}

static const gbd_member_t *
member_at (const gbd_table_t *table, uint32_t index)
{
  if (index < table->roster_count)
    return &table->roster[index];
  return &table->next[index - table->roster_count];
}
