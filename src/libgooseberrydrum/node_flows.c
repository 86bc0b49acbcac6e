#include "libgooseberrydrum/node_private.h"

#include <stdlib.h>
#include <string.h>

/* Approximate bytes of one flow entry in a message, and of a message without
   entries. */
#define ENTRY_BYTES 13
#define MESSAGE_BYTES 40
/* Entries of one message of a transfer; small, so that a transfer does not
   delay other messages on the link. */
#define ENTRIES_PER_MESSAGE 64
#define UPDATE_ENTRIES_MAX GBD_FLOWS_MAX

/* Dynamic array of flows. */
typedef struct
{
  gbd_node_t *node;
  service_t *service;
  gbd_flow_entry_t *entries;
  uint32_t count;
  uint32_t capacity;
  bool has_failed;
} flow_list_t;

static void append_flow (void *data, const gbd_flow_entry_t *entry);
static void append_share (void *data, const gbd_flow_entry_t *entry);
static void append_remainder (void *data, const gbd_flow_entry_t *entry);
static bool has_moving_bucket (const gbd_node_t *node,
                               const service_t *service);
static bool is_version_confirmed (gbd_node_t *node, service_t *service,
                                  const gbd_table_t *table, uint64_t version);
static void request_copies (gbd_node_t *node, service_t *service,
                            const gbd_table_t *table);
static bool has_copies (gbd_node_t *node, service_t *service,
                        const gbd_table_t *table, gbd_time_t now);
static void exchange_exceptions (gbd_node_t *node, service_t *service,
                                 const gbd_table_t *table, gbd_time_t now);
static bool has_exchange_ended (gbd_node_t *node, service_t *service,
                                const gbd_table_t *table, bool is_remainder);
static void queue_transfers (gbd_node_t *node, service_t *service,
                             const gbd_table_t *table, flow_list_t *list,
                             uint8_t kind, uint8_t end_kind);
static void queue_transfer (gbd_node_t *node, service_t *service,
                            gbd_instance_id_t to, const flow_list_t *list,
                            uint8_t kind, uint8_t end_kind, bool has_end);
static uint32_t send_transfer_message (gbd_node_t *node,
                                       flow_transfer_t *transfer);
static void send_flow_update (void *data, gbd_instance_id_t to,
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
  /* The coordinator must learn at once that the copies are incomplete. */
  if (service->complete)
    node->is_heartbeat_due = true;
  service->complete = 0;
  service->has_all_exceptions
      = service->has_all_exceptions && !loses_exceptions;
  for (uint32_t i = 0; i < service->progress_count; i++)
    {
      service->progress[i].copy_requested = 0;
      service->progress[i].copy_received = 0;
    }
}

void
node_begin_exchange (service_t *service, uint64_t exchange_id,
                     bool is_repeated_exchange)
{
  service->is_exchange_repeated = is_repeated_exchange;
  service->exchange_id = exchange_id;
  service->has_sent_share = false;
  service->has_sent_remainder = false;
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
  /* Only the current exchange sends the same flows to all members.  Flows of
     another exchange or of a copy are merged as individual exceptions, which
     other members may lack. */
  bool is_current_exchange
      = service->exchange_id
        && message->body.flows.version == service->exchange_id;
  if (kind == GBD_FLOWS_SHARE || kind == GBD_FLOWS_EXCEPTION)
    kind = is_current_exchange ? GBD_FLOWS_SHARE : GBD_FLOWS_EXCEPTION;
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
  if (message->body.flows_end.kind == GBD_FLOWS_SHARE)
    progress->share_ended = version;
  else if (message->body.flows_end.kind == GBD_FLOWS_EXCEPTION)
    progress->remainder_ended = version;
  else if (message->body.flows_end.kind == GBD_FLOWS_REGISTERED)
    progress->copy_received = version;
}

void
node_send_copy (gbd_node_t *node, const gbd_message_t *message)
{
  service_t *service
      = node_find_service (node, message->body.copy_request.service);
  if (!service)
    return;
  flow_list_t exceptions = { .node = node, .service = service };
  flow_list_t registrations = { .node = node, .service = service };
  gbd_engine_visit_stored_exceptions (node->engine, service->id, append_flow,
                                      &exceptions);
  gbd_engine_visit_registrations (node->engine, service->id, append_flow,
                                  &registrations);
  if (!exceptions.has_failed && !registrations.has_failed)
    {
      queue_transfer (node, service, message->from, &exceptions,
                      GBD_FLOWS_EXCEPTION, GBD_FLOWS_REGISTERED, false);
      queue_transfer (node, service, message->from, &registrations,
                      GBD_FLOWS_REGISTERED, GBD_FLOWS_REGISTERED, true);
    }
  free (exceptions.entries);
  free (registrations.entries);
}

void
node_advance_flows (gbd_node_t *node, service_t *service, gbd_time_t now)
{
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  if (!table)
    return;

  if (service->copy_version)
    {
      /* Request copies only once every member holds the version with the new
         replicas: an earlier copy lacks the flows that members registered with
         the old replicas afterwards. */
      if (is_version_confirmed (node, service, table, service->copy_version))
        {
          request_copies (node, service, table);
          if (has_copies (node, service, table, now))
            {
              service->copy_version = 0;
              service->has_all_exceptions = true;
            }
        }
    }
  if (service->exchange_id)
    exchange_exceptions (node, service, table, now);

  bool has_exceptions = !service->exchange_id
                        || has_exchange_ended (node, service, table, true);
  bool is_complete = !service->copy_version && has_exceptions;
  if (is_complete && service->complete != table->version)
    {
      service->complete = table->version;
      node->is_heartbeat_due = true;
      node->actions->report_event (node->data, GBD_NODE_EVENT_COMPLETE,
                                   service->id, table->version);
    }
  bool is_authoritative
      = !service->copy_version && now >= service->not_authoritative_until;
  gbd_engine_set_complete (node->engine, service->id,
                           service->has_all_exceptions);
  gbd_engine_set_authoritative (node->engine, service->id, is_authoritative);
}

void
node_send_transfers (gbd_node_t *node, gbd_time_t now)
{
  gbd_time_t elapsed = now - node->transfer_refilled_at;
  node->transfer_refilled_at = now;
  if (elapsed > GBD_SECOND)
    elapsed = GBD_SECOND;
  int64_t rate = node->settings.transfer_bytes_per_second;
  node->transfer_tokens += rate * elapsed / GBD_SECOND;
  if (node->transfer_tokens > rate)
    node->transfer_tokens = rate;

  while (node->transfer_first && node->transfer_tokens > 0)
    {
      flow_transfer_t *transfer = node->transfer_first;
      node->transfer_tokens -= send_transfer_message (node, transfer);
      if (transfer->sent < transfer->count || transfer->has_end)
        continue;
      /* Transfers are sent in order, because a FLOWS_END message covers all
         entries that were queued before it. */
      node->transfer_first = transfer->next;
      if (!node->transfer_first)
        node->transfer_tail = &node->transfer_first;
      free (transfer);
    }
}

void
node_send_flow_updates (gbd_node_t *node)
{
  gbd_engine_take_updates (node->engine, send_flow_update, node);
}

void
node_drop_transfers (gbd_node_t *node, gbd_instance_id_t to)
{
  flow_transfer_t **link = &node->transfer_first;
  while (*link)
    {
      flow_transfer_t *transfer = *link;
      if (transfer->to != to)
        {
          link = &transfer->next;
          continue;
        }
      *link = transfer->next;
      free (transfer);
    }
  node->transfer_tail = link;
}

static void
append_flow (void *data, const gbd_flow_entry_t *entry)
{
  flow_list_t *list = data;
  if (list->count == list->capacity)
    {
      uint32_t capacity = list->capacity ? list->capacity * 2 : 256;
      gbd_flow_entry_t *entries
          = realloc (list->entries, capacity * sizeof *entries);
      if (!entries)
        {
          list->has_failed = true;
          return;
        }
      list->entries = entries;
      list->capacity = capacity;
    }
  list->entries[list->count++] = *entry;
}

/* Append a flow if this instance has the highest rendezvous weight for the
   flow among the members that can send it. */
static void
append_share (void *data, const gbd_flow_entry_t *entry)
{
  flow_list_t *list = data;
  gbd_node_t *node = list->node;
  const gbd_table_t *table
      = gbd_engine_get_table (node->engine, list->service->id);
  gbd_instance_id_t self = node->settings.membership.self;
  uint64_t own_weight = gbd_rendezvous_weight (self, entry->hash);
  for (uint32_t i = 0; i < member_count (table); i++)
    {
      gbd_instance_id_t id = member_at (table, i)->id;
      bool can_send = id == self || node_is_reachable (node, id);
      if (can_send && gbd_rendezvous_weight (id, entry->hash) > own_weight)
        return;
    }
  append_flow (data, entry);
}

/* Append a flow that no member has sent in the first round of the exchange. */
static void
append_remainder (void *data, const gbd_flow_entry_t *entry)
{
  flow_list_t *list = data;
  if (gbd_engine_has_broadcast_exception (list->node->engine,
                                          list->service->id, entry->hash))
    return;
  append_flow (data, entry);
}

static bool
has_moving_bucket (const gbd_node_t *node, const service_t *service)
{
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      if (table->buckets[i].phase != GBD_BUCKET_STABLE)
        return true;
    }
  return false;
}

/* Whether all reachable members have confirmed the given version or a later
   one. */
static bool
is_version_confirmed (gbd_node_t *node, service_t *service,
                      const gbd_table_t *table, uint64_t version)
{
  for (uint32_t i = 0; i < member_count (table); i++)
    {
      gbd_instance_id_t id = member_at (table, i)->id;
      if (!node_is_reachable (node, id))
        continue;
      if (node_find_progress (service, id)->version < version)
        return false;
    }
  return true;
}

static void
request_copies (gbd_node_t *node, service_t *service, const gbd_table_t *table)
{
  for (uint32_t i = 0; i < member_count (table); i++)
    {
      gbd_instance_id_t id = member_at (table, i)->id;
      if (!node_is_reachable (node, id))
        continue;
      progress_t *progress = node_find_progress (service, id);
      if (progress->copy_requested >= service->copy_version)
        continue;
      progress->copy_requested = table->version;
      gbd_message_t request = { .type = GBD_MESSAGE_COPY_REQUEST };
      request.body.copy_request.service = service->id;
      request.body.copy_request.version = table->version;
      node_send (node, id, &request);
    }
}

/* Whether a copy has arrived from every other member that has not failed. */
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
      if (node_is_member_failed (node, service, id, now))
        continue;
      if (node_find_progress (service, id)->copy_received
          < service->copy_version)
        return false;
    }
  if (!has_others)
    return true;
  /* If no peer is reachable, this instance may lack registrations that only
     failed members store.  It must not report "not registered" until no bucket
     is moving, when registrations are no longer needed. */
  return node->reachable_count > 0 || !has_moving_bucket (node, service);
}

/* Exchange exceptions in two rounds.  In the first, each flow is sent by the
   member that rendezvous hashing assigns it to; in the second, members send
   the flows that no member has sent. */
static void
exchange_exceptions (gbd_node_t *node, service_t *service,
                     const gbd_table_t *table, gbd_time_t now)
{
  if (!service->has_sent_share)
    {
      flow_list_t list = { .node = node, .service = service };
      gbd_engine_visit_off_target_flows (node->engine, service->id, now,
                                         append_share, &list);
      if (!list.has_failed)
        {
          queue_transfers (node, service, table, &list, GBD_FLOWS_SHARE,
                           GBD_FLOWS_SHARE);
          gbd_engine_merge (node->engine, service->id, GBD_FLOWS_SHARE,
                            list.entries, list.count, now);
          service->has_sent_share = true;
        }
      free (list.entries);
    }
  if (!service->has_sent_remainder
      && has_exchange_ended (node, service, table, false))
    {
      flow_list_t list = { .node = node, .service = service };
      gbd_engine_visit_off_target_flows (node->engine, service->id, now,
                                         append_remainder, &list);
      /* A member that became reachable later may lack exceptions that the
         other members received earlier. */
      if (service->is_exchange_repeated)
        gbd_engine_visit_stored_exceptions (node->engine, service->id,
                                            append_flow, &list);
      if (!list.has_failed)
        {
          queue_transfers (node, service, table, &list, GBD_FLOWS_EXCEPTION,
                           GBD_FLOWS_EXCEPTION);
          gbd_engine_merge (node->engine, service->id, GBD_FLOWS_SHARE,
                            list.entries, list.count, now);
          service->has_sent_remainder = true;
        }
      free (list.entries);
    }
}

/* Whether all other members have sent their part of the current round of the
   exchange: the share in the first round, the remainder in the second. */
static bool
has_exchange_ended (gbd_node_t *node, service_t *service,
                    const gbd_table_t *table, bool is_remainder)
{
  if (is_remainder && !service->has_sent_remainder)
    return false;
  for (uint32_t i = 0; i < member_count (table); i++)
    {
      gbd_instance_id_t id = member_at (table, i)->id;
      /* The exchange waits for failed members as well, until the coordinator
         removes them from the roster. */
      if (id == node->settings.membership.self)
        continue;
      const progress_t *progress = node_find_progress (service, id);
      uint64_t ended
          = is_remainder ? progress->remainder_ended : progress->share_ended;
      if (ended != service->exchange_id)
        return false;
    }
  return true;
}

static void
queue_transfers (gbd_node_t *node, service_t *service,
                 const gbd_table_t *table, flow_list_t *list, uint8_t kind,
                 uint8_t end_kind)
{
  for (uint32_t i = 0; i < member_count (table); i++)
    {
      gbd_instance_id_t id = member_at (table, i)->id;
      bool is_duplicate = false;
      for (uint32_t j = 0; j < i; j++)
        is_duplicate = is_duplicate || member_at (table, j)->id == id;
      if (!is_duplicate && node_is_reachable (node, id))
        queue_transfer (node, service, id, list, kind, end_kind, true);
    }
}

static void
queue_transfer (gbd_node_t *node, service_t *service, gbd_instance_id_t to,
                const flow_list_t *list, uint8_t kind, uint8_t end_kind,
                bool has_end)
{
  if (list->count == 0 && !has_end)
    return;
  size_t bytes = list->count * sizeof *list->entries;
  flow_transfer_t *transfer = malloc (sizeof *transfer + bytes);
  if (!transfer)
    return;
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  *transfer = (flow_transfer_t){
    .to = to,
    .service = service->id,
    .version = table ? table->version : 0,
    .exchange_id = service->exchange_id,
    .kind = kind,
    .end_kind = end_kind,
    .has_end = has_end,
    .count = list->count,
  };
  if (list->count)
    memcpy (transfer->entries, list->entries, bytes);
  *node->transfer_tail = transfer;
  node->transfer_tail = &transfer->next;
}

/* Send the next message of a transfer.  Returns its approximate size in
   bytes. */
static uint32_t
send_transfer_message (gbd_node_t *node, flow_transfer_t *transfer)
{
  uint32_t left = transfer->count - transfer->sent;
  if (left == 0)
    {
      gbd_message_t end = { .type = GBD_MESSAGE_FLOWS_END };
      end.body.flows_end.service = transfer->service;
      end.body.flows_end.kind = transfer->end_kind;
      end.body.flows_end.version = transfer->end_kind == GBD_FLOWS_REGISTERED
                                       ? transfer->version
                                       : transfer->exchange_id;
      node_send (node, transfer->to, &end);
      transfer->has_end = false;
      return MESSAGE_BYTES;
    }
  uint32_t count = left < ENTRIES_PER_MESSAGE ? left : ENTRIES_PER_MESSAGE;
  gbd_message_t message = { .type = GBD_MESSAGE_FLOWS };
  message.body.flows.service = transfer->service;
  message.body.flows.version = transfer->end_kind == GBD_FLOWS_REGISTERED
                                   ? transfer->version
                                   : transfer->exchange_id;
  message.body.flows.kind = transfer->kind;
  message.body.flows.count = (uint16_t)count;
  message.body.flows.entries = transfer->entries + transfer->sent;
  node_send (node, transfer->to, &message);
  transfer->sent += count;
  return MESSAGE_BYTES + count * ENTRY_BYTES;
}

static void
send_flow_update (void *data, gbd_instance_id_t to, gbd_service_id_t service,
                  gbd_flows_kind_t kind, const gbd_flow_entry_t *entries,
                  uint32_t count)
{
  gbd_node_t *node = data;
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service);
  while (count)
    {
      uint32_t chunk = count < UPDATE_ENTRIES_MAX ? count : UPDATE_ENTRIES_MAX;
      gbd_message_t message = { .type = GBD_MESSAGE_FLOWS };
      message.body.flows.service = service;
      message.body.flows.version = table ? table->version : 0;
      message.body.flows.kind = (uint8_t)kind;
      message.body.flows.count = (uint16_t)chunk;
      message.body.flows.entries = (gbd_flow_entry_t *)entries;
      node_send (node, to, &message);
      entries += chunk;
      count -= chunk;
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
