#include "libgooseberrydrum/node_private.h"

#include <stdlib.h>
#include <string.h>

static bool record_announcements (service_t *service,
                                  const gbd_table_t *previous,
                                  const gbd_table_t *table, gbd_time_t now);
static const uint8_t *update_announcements (service_t *service,
                                            gbd_time_t now);
static uint64_t hash_settling_buckets (const gbd_table_t *table);
static void record_removed_members (gbd_node_t *node, service_t *service,
                                    const gbd_table_t *previous,
                                    const gbd_table_t *table, gbd_time_t now);
static uint32_t count_removed (const gbd_table_t *previous,
                               const gbd_table_t *table);
static void step_service (gbd_node_t *node, service_t *service,
                          gbd_time_t now);
static uint8_t fill_desired_members (const gbd_node_t *node,
                                     gbd_member_t *members,
                                     const service_t *service,
                                     const gbd_table_t *table, gbd_time_t now);
static bool is_listed (const gbd_node_t *node, const char *name);
static bool has_unreachable_instance (const gbd_node_t *node, gbd_time_t now);
static uint8_t add_unknown_members (const gbd_node_t *node,
                                    gbd_member_t *members, uint8_t count,
                                    const gbd_table_t *table, gbd_time_t now);
static bool may_join (gbd_node_t *node, service_t *service,
                      const gbd_table_t *table, const gbd_peer_info_t *info);
static uint8_t fill_confirmations (gbd_node_t *node, service_t *service,
                                   const gbd_table_t *table,
                                   const gbd_coordinator_input_t *input,
                                   gbd_confirmation_t *confirmations,
                                   gbd_time_t now);
static uint8_t add_confirmation (gbd_node_t *node, service_t *service,
                                 gbd_instance_id_t id,
                                 gbd_confirmation_t *confirmations,
                                 uint8_t count, gbd_time_t now);
static void push_table (gbd_node_t *node, service_t *service);
static bool is_loss_free (const gbd_node_t *node, const service_t *service,
                          gbd_time_t now);

void
gbd_node_set_platform_table (gbd_node_t *node, gbd_service_id_t id,
                             uint64_t object_version, gbd_table_t *table,
                             gbd_time_t now)
{
  service_t *service = node_find_service (node, id);
  if (!service || object_version < service->object_version)
    {
      gbd_table_delete (table);
      return;
    }
  service->object_version = object_version;
  service->platform_version = table ? table->version : 0;
  if (table)
    node_install_table (node, service, table, now);
}

void
gbd_node_table_written (gbd_node_t *node, gbd_service_id_t id,
                        gbd_status_t status, uint64_t object_version,
                        gbd_table_t *table, gbd_time_t now)
{
  service_t *service = node_find_service (node, id);
  if (!service)
    {
      gbd_table_delete (table);
      return;
    }
  service->is_write_pending = false;
  if (status != GBD_OK)
    {
      /* The watch delivers the table that another writer stored or, if only
         the response was lost, the table that this instance wrote. */
      gbd_table_delete (table);
      return;
    }
  service->object_version = object_version;
  service->platform_version = table->version;
  /* The watch may have delivered the table before this response arrived. */
  node_install_table (node, service, table, now);
  push_table (node, service);
}

void
node_install_table (gbd_node_t *node, service_t *service, gbd_table_t *table,
                    gbd_time_t now)
{
  const gbd_table_t *previous
      = gbd_engine_get_table (node->engine, service->id);
  uint64_t previous_version = previous ? previous->version : 0;
  if (table->version <= previous_version)
    {
      gbd_table_delete (table);
      return;
    }

  bool skips_versions
      = previous_version && table->version > previous_version + 1;
  uint64_t previous_exchange_id
      = previous ? hash_settling_buckets (previous) : 0;
  uint64_t exchange_id = hash_settling_buckets (table);
  if (previous)
    record_removed_members (node, service, previous, table, now);
  bool is_joining = table->roster_phase == GBD_ROSTER_JOINING;
  uint64_t version = table->version;
  gbd_table_delete (service->previous);
  service->previous = previous ? gbd_table_copy (previous) : NULL;
  if (!record_announcements (service, previous, table, now))
    {
      gbd_table_delete (table);
      return;
    }
  if (gbd_engine_set_table (node->engine, table, now) != GBD_OK)
    return;

  service->installed_at = now;
  if (!previous_version || skips_versions || is_joining)
    node_require_copy (node, service, !previous_version || skips_versions);
  if (exchange_id != previous_exchange_id)
    node_begin_exchange (service, exchange_id, false);
  node->is_heartbeat_due = true;
  node->actions->report_event (node->data, GBD_NODE_EVENT_TABLE, service->id,
                               version);
  node_advance_flows (node, service, now);
}

void
node_receive_table (gbd_node_t *node, const gbd_message_t *message,
                    gbd_time_t now)
{
  service_t *service = node_find_service (node, message->body.table.service);
  if (!service)
    return;
  const gbd_table_t *current
      = gbd_engine_get_table (node->engine, service->id);
  uint64_t version = current ? current->version : 0;
  if (message->body.table.version <= version)
    return;

  gbd_table_t *table = NULL;
  if (message->body.table.base == 0 || message->body.table.base == version)
    table = gbd_table_unpack (message->body.table.bytes,
                              message->body.table.length, current);
  if (!table)
    {
      gbd_message_t request = { .type = GBD_MESSAGE_TABLE_REQUEST };
      request.body.table_request.service = service->id;
      request.body.table_request.version = version;
      node_send (node, message->from, &request);
      return;
    }
  if (table->service != service->id)
    {
      gbd_table_delete (table);
      return;
    }
  node_install_table (node, service, table, now);
}

void
node_send_table (gbd_node_t *node, service_t *service, gbd_instance_id_t to,
                 const gbd_table_t *base)
{
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  if (!table)
    return;
  size_t length;
  uint8_t *bytes = gbd_table_pack (table, base, &length);
  if (!bytes)
    return;
  gbd_message_t message = { .type = GBD_MESSAGE_TABLE };
  message.body.table.service = service->id;
  message.body.table.version = table->version;
  message.body.table.base = base ? base->version : 0;
  message.body.table.length = (uint32_t)length;
  message.body.table.bytes = bytes;
  node_send (node, to, &message);
  free (bytes);
}

void
node_step_tables (gbd_node_t *node, gbd_time_t now)
{
  if (!gbd_node_is_coordinator (node, now) || node->is_leaving)
    return;
  for (uint32_t i = 0; i < node->service_count; i++)
    step_service (node, &node->services[i], now);
}

bool
node_is_member_failed (const gbd_node_t *node, const service_t *service,
                       gbd_instance_id_t id, gbd_time_t now)
{
  if (id == node->settings.membership.self)
    return false;
  gbd_time_t timeout = node->settings.membership.failure_timeout;
  /* A member that this instance cannot reach may hold a lease on the previous
     version, if the platform confirmed its tables shortly before the current
     version was written. */
  if (now - service->installed_at < timeout
      || now - node->started_at < timeout)
    return false;
  gbd_peer_info_t info;
  if (!gbd_membership_find_peer (node->membership, id, now, &info))
    return true;
  return info.is_failed;
}

/* Record the times at which buckets were announced.  Returns false when memory
   is short. */
static bool
record_announcements (service_t *service, const gbd_table_t *previous,
                      const gbd_table_t *table, gbd_time_t now)
{
  if (service->bucket_count != table->bucket_count)
    {
      gbd_time_t *announced_at
          = calloc (table->bucket_count, sizeof *announced_at);
      uint8_t *is_announcement_over
          = calloc (table->bucket_count, sizeof *is_announcement_over);
      if (!announced_at || !is_announcement_over)
        {
          free (announced_at);
          free (is_announcement_over);
          return false;
        }
      free (service->announced_at);
      free (service->is_announcement_over);
      service->announced_at = announced_at;
      service->is_announcement_over = is_announcement_over;
      service->bucket_count = table->bucket_count;
    }
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      bool was_announced
          = previous && i < previous->bucket_count
            && previous->buckets[i].phase == GBD_BUCKET_ANNOUNCED;
      if (!was_announced)
        service->announced_at[i] = now;
    }
  return true;
}

static const uint8_t *
update_announcements (service_t *service, gbd_time_t now)
{
  for (uint32_t i = 0; i < service->bucket_count; i++)
    service->is_announcement_over[i]
        = now - service->announced_at[i] >= GBD_ANNOUNCE_TIME;
  return service->bucket_count ? service->is_announcement_over : NULL;
}

/* Hash of the SETTLING buckets and their backend servers; 0 if there are no
   such buckets. */
static uint64_t
hash_settling_buckets (const gbd_table_t *table)
{
  uint64_t hash = 0;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      const gbd_bucket_t *bucket = &table->buckets[i];
      if (bucket->phase == GBD_BUCKET_SETTLING)
        hash ^= gbd_rendezvous_weight (i + 1, (uint64_t)bucket->from << 16
                                                  | bucket->to);
    }
  return hash;
}

static void
record_removed_members (gbd_node_t *node, service_t *service,
                        const gbd_table_t *previous, const gbd_table_t *table,
                        gbd_time_t now)
{
  uint32_t removed = count_removed (previous, table);
  if (removed == 0)
    return;
  /* Flows that only a removed member had in its cache are lost. */
  node->loss_at = now;
  bool is_copying = service->copy_version != 0;
  if (removed == 1 && !is_copying)
    return;
  /* Registrations may be lost if both replicas of a bucket were removed, or if
     one was removed before this instance had received all copies. */
  const gbd_catalog_t *catalog = gbd_engine_get_catalog (node->engine);
  gbd_service_handle_t handle
      = gbd_catalog_find_service (catalog, service->id);
  if (handle == GBD_SERVICE_NONE)
    return;
  uint32_t plan = gbd_catalog_get_service (catalog, handle)->plan;
  uint32_t idle_s = gbd_catalog_get_plan (catalog, plan)->idle_limit_s;
  service->not_authoritative_until = now + (gbd_time_t)idle_s * GBD_SECOND;
  node->actions->report_event (node->data, GBD_NODE_EVENT_NOT_AUTHORITATIVE,
                               service->id, idle_s);
}

/* Number of members of the previous roster that are in no roster of the new
   table. */
static uint32_t
count_removed (const gbd_table_t *previous, const gbd_table_t *table)
{
  uint32_t removed = 0;
  for (uint8_t i = 0; i < previous->roster_count; i++)
    removed += !gbd_table_has_member (table, previous->roster[i].id);
  return removed;
}

static void
step_service (gbd_node_t *node, service_t *service, gbd_time_t now)
{
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  uint64_t version = table ? table->version : 0;
  if (!service->has_read_platform || !service->has_backends
      || !service->is_listed)
    return;
  if (service->platform_version != version)
    return;
  if (service->is_write_pending)
    return;

  gbd_member_t members[GBD_ROSTER_MAX];
  gbd_confirmation_t confirmations[GBD_INCARNATIONS_MAX];
  gbd_coordinator_input_t input = {
    .service = service->id,
    .members = members,
    .member_count = fill_desired_members (node, members, service, table, now),
    .confirmations = confirmations,
    .backends = service->backends,
    .backend_count = service->backend_count,
    .weights = service->weights,
    .bucket_count = node->settings.bucket_count,
    .move_max = node->settings.move_max,
    .is_loss_free = is_loss_free (node, service, now),
    .is_announcement_over = update_announcements (service, now),
    .generation = node->generation,
  };
  input.confirmation_count
      = fill_confirmations (node, service, table, &input, confirmations, now);

  gbd_table_t *next = NULL;
  service->step = (uint8_t)gbd_coordinator_step (table, &input, &next);
  if (!next)
    return;
  service->is_write_pending = true;
  node->actions->write_table (node->data, service->object_version, next);
  gbd_table_delete (next);
}

static uint8_t
fill_desired_members (const gbd_node_t *node, gbd_member_t *members,
                      const service_t *service, const gbd_table_t *table,
                      gbd_time_t now)
{
  uint8_t count = 0;
  members[count].id = node->settings.membership.self;
  members[count].zone = node->settings.membership.zone;
  count++;
  uint32_t peers = gbd_membership_get_peer_count (node->membership);
  for (uint32_t i = 0; i < peers && count < GBD_ROSTER_MAX; i++)
    {
      gbd_peer_info_t info;
      gbd_membership_get_peer (node->membership, i, now, &info);
      if (info.is_leaving)
        continue;
      if (!info.is_reachable && !is_listed (node, info.name))
        continue;
      if (!may_join ((gbd_node_t *)node, (service_t *)service, table, &info))
        continue;
      members[count].id = info.id;
      members[count].zone = info.zone;
      count++;
    }
  if (table && has_unreachable_instance (node, now))
    count = add_unknown_members (node, members, count, table, now);
  return count;
}

/* Whether the platform lists an instance that this instance cannot reach. */
static bool
has_unreachable_instance (const gbd_node_t *node, gbd_time_t now)
{
  uint32_t reachable_count = 0;
  uint32_t peers = gbd_membership_get_peer_count (node->membership);
  for (uint32_t i = 0; i < peers; i++)
    {
      gbd_peer_info_t info;
      gbd_membership_get_peer (node->membership, i, now, &info);
      reachable_count += info.is_reachable && is_listed (node, info.name);
    }
  /* 1 is added for this instance: the platform lists it, or soon will. */
  return node->listed_count > reachable_count + 1;
}

/* Add to the list of members those that this instance has never had a link to,
   as they may be the listed instances that it cannot reach.  Otherwise an
   instance that has been partitioned from its group since its start would
   remove all other members from the roster as failed. */
static uint8_t
add_unknown_members (const gbd_node_t *node, gbd_member_t *members,
                     uint8_t count, const gbd_table_t *table, gbd_time_t now)
{
  for (uint8_t i = 0; i < table->roster_count && count < GBD_ROSTER_MAX; i++)
    {
      gbd_peer_info_t info;
      gbd_instance_id_t id = table->roster[i].id;
      if (id == node->settings.membership.self
          || gbd_membership_find_peer (node->membership, id, now, &info))
        continue;
      members[count++] = table->roster[i];
    }
  return count;
}

static bool
is_listed (const gbd_node_t *node, const char *name)
{
  for (uint32_t i = 0; i < node->listed_count; i++)
    {
      if (strcmp (node->listed_names[i], name) == 0)
        return true;
    }
  return false;
}

/* Whether a peer may be in the roster.  A peer that is not a member yet must
   be reachable and hold the table, the exceptions and the current accepted
   lists of this instance. */
static bool
may_join (gbd_node_t *node, service_t *service, const gbd_table_t *table,
          const gbd_peer_info_t *info)
{
  if (!table || gbd_table_has_member (table, info->id))
    return true;
  if (!info->is_reachable || info->generation < node->generation)
    return false;
  const progress_t *progress = node_find_progress (service, info->id);
  return progress->version == table->version
         && progress->complete == table->version;
}

static uint8_t
fill_confirmations (gbd_node_t *node, service_t *service,
                    const gbd_table_t *table,
                    const gbd_coordinator_input_t *input,
                    gbd_confirmation_t *confirmations, gbd_time_t now)
{
  uint8_t count = 0;
  for (uint8_t i = 0; i < input->member_count; i++)
    count = add_confirmation (node, service, input->members[i].id,
                              confirmations, count, now);
  for (uint8_t i = 0; table && i < table->roster_count; i++)
    count = add_confirmation (node, service, table->roster[i].id,
                              confirmations, count, now);
  for (uint8_t i = 0; table && i < table->next_count; i++)
    count = add_confirmation (node, service, table->next[i].id, confirmations,
                              count, now);
  return count;
}

/* Add the confirmation of one member to the list unless the list already
   contains it.  Returns the new count. */
static uint8_t
add_confirmation (gbd_node_t *node, service_t *service, gbd_instance_id_t id,
                  gbd_confirmation_t *confirmations, uint8_t count,
                  gbd_time_t now)
{
  for (uint8_t i = 0; i < count; i++)
    {
      if (confirmations[i].id == id)
        return count;
    }
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  uint64_t version = table ? table->version : 0;
  uint64_t complete = service->complete;
  if (id != node->settings.membership.self)
    {
      const progress_t *progress = node_find_progress (service, id);
      version = progress->version;
      complete = progress->complete;
    }
  confirmations[count] = (gbd_confirmation_t){
    .id = id,
    .is_failed = node_is_member_failed (node, service, id, now),
    .version = version,
    .complete = complete,
  };
  return (uint8_t)(count + 1);
}

/* Send the current version to all reachable peers, as a delta to those that
   confirmed the previous version and as a full table to the others. */
static void
push_table (gbd_node_t *node, service_t *service)
{
  const gbd_table_t *base = service->previous;
  for (uint32_t i = 0; i < node->reachable_count; i++)
    {
      gbd_instance_id_t to = node->reachable[i].id;
      const progress_t *progress = node_find_progress (service, to);
      bool has_base = base && progress->version == base->version;
      node_send_table (node, service, to, has_base ? base : NULL);
    }
}

static bool
is_loss_free (const gbd_node_t *node, const service_t *service, gbd_time_t now)
{
  const gbd_catalog_t *catalog = gbd_engine_get_catalog (node->engine);
  gbd_service_handle_t handle
      = gbd_catalog_find_service (catalog, service->id);
  if (handle == GBD_SERVICE_NONE)
    return false;
  uint32_t plan = gbd_catalog_get_service (catalog, handle)->plan;
  uint32_t idle_s = gbd_catalog_get_plan (catalog, plan)->idle_limit_s;
  return gbd_node_get_loss_free_ms (node, now) / 1000 >= idle_s;
}
