#include "libgooseberrydrum/node_private.h"

#include <stdlib.h>
#include <string.h>

static bool note_announced (service_t *service, const gbd_table_t *former,
                            const gbd_table_t *table, gbd_time_t now);
static const uint8_t *find_ripe (service_t *service, gbd_time_t now);
static uint64_t settling_set (const gbd_table_t *table);
static void note_roster_change (gbd_node_t *node, service_t *service,
                                const gbd_table_t *former,
                                const gbd_table_t *table, gbd_time_t now);
static uint32_t count_missing (const gbd_table_t *former,
                               const gbd_table_t *table);
static void step_service (gbd_node_t *node, service_t *service,
                          gbd_time_t now);
static uint8_t fill_members (const gbd_node_t *node, gbd_member_t *members,
                             const service_t *service,
                             const gbd_table_t *table, gbd_time_t now);
static bool is_listed (const gbd_node_t *node, const char *name);
static bool has_unheard_name (const gbd_node_t *node, gbd_time_t now);
static uint8_t add_strangers (const gbd_node_t *node, gbd_member_t *members,
                              uint8_t count, const gbd_table_t *table,
                              gbd_time_t now);
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
static bool is_covered (const gbd_node_t *node, const service_t *service,
                        gbd_time_t now);

void
gbd_node_read_table (gbd_node_t *node, gbd_service_id_t id,
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
    node_adopt_table (node, service, table, now);
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
      /* The watch brings whatever was written instead, or this very table
         when only the answer was lost. */
      gbd_table_delete (table);
      return;
    }
  service->object_version = object_version;
  service->platform_version = table->version;
  /* The watch may have brought it before this answer. */
  node_adopt_table (node, service, table, now);
  push_table (node, service);
}

void
node_adopt_table (gbd_node_t *node, service_t *service, gbd_table_t *table,
                  gbd_time_t now)
{
  const gbd_table_t *former = gbd_engine_get_table (node->engine, service->id);
  uint64_t former_version = former ? former->version : 0;
  if (table->version <= former_version)
    {
      gbd_table_delete (table);
      return;
    }

  bool is_skipping = former_version && table->version > former_version + 1;
  uint64_t former_settling = former ? settling_set (former) : 0;
  uint64_t settling = settling_set (table);
  if (former)
    note_roster_change (node, service, former, table, now);
  bool is_roster_moving = table->roster_phase == GBD_ROSTER_JOINING;
  uint64_t version = table->version;
  gbd_table_delete (service->previous);
  service->previous = former ? gbd_table_copy (former) : NULL;
  if (!note_announced (service, former, table, now))
    {
      gbd_table_delete (table);
      return;
    }
  if (gbd_engine_set_table (node->engine, table, now) != GBD_OK)
    return;

  service->adopted_at = now;
  if (!former_version || is_skipping || is_roster_moving)
    node_require_copy (node, service, !former_version || is_skipping);
  if (settling != former_settling)
    node_begin_settling (service, settling, false);
  node->is_heartbeat_due = true;
  node->actions->note (node->data, GBD_NOTE_TABLE, service->id, version);
  node_advance_flows (node, service, now);
}

void
node_receive_table (gbd_node_t *node, const gbd_message_t *message,
                    gbd_time_t now)
{
  service_t *service = node_find_service (node, message->body.table.service);
  if (!service)
    return;
  const gbd_table_t *present
      = gbd_engine_get_table (node->engine, service->id);
  uint64_t version = present ? present->version : 0;
  if (message->body.table.version <= version)
    return;

  gbd_table_t *table = NULL;
  if (message->body.table.base == 0 || message->body.table.base == version)
    table = gbd_table_unpack (message->body.table.bytes,
                              message->body.table.length, present);
  if (!table)
    {
      gbd_message_t want = { .type = GBD_MESSAGE_WANT };
      want.body.want.service = service->id;
      want.body.want.version = version;
      node_send (node, message->from, &want);
      return;
    }
  if (table->service != service->id)
    {
      gbd_table_delete (table);
      return;
    }
  node_adopt_table (node, service, table, now);
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
node_is_silent (const gbd_node_t *node, const service_t *service,
                gbd_instance_id_t id, gbd_time_t now)
{
  if (id == node->settings.membership.self)
    return false;
  gbd_time_t timeout = node->settings.membership.silence_timeout;
  /* A silent instance may still trust a confirmation by the platform that is
     older than the present version. */
  if (now - service->adopted_at < timeout || now - node->started_at < timeout)
    return false;
  gbd_peer_info_t info;
  if (!gbd_membership_find_peer (node->membership, id, now, &info))
    return true;
  return info.is_silent;
}

/* Note when buckets were announced; false when memory is short. */
static bool
note_announced (service_t *service, const gbd_table_t *former,
                const gbd_table_t *table, gbd_time_t now)
{
  if (service->bucket_count != table->bucket_count)
    {
      gbd_time_t *announced_at
          = calloc (table->bucket_count, sizeof *announced_at);
      uint8_t *is_ripe = calloc (table->bucket_count, sizeof *is_ripe);
      if (!announced_at || !is_ripe)
        {
          free (announced_at);
          free (is_ripe);
          return false;
        }
      free (service->announced_at);
      free (service->is_ripe);
      service->announced_at = announced_at;
      service->is_ripe = is_ripe;
      service->bucket_count = table->bucket_count;
    }
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      bool was_announced = former && i < former->bucket_count
                           && former->buckets[i].phase == GBD_BUCKET_ANNOUNCED;
      if (!was_announced)
        service->announced_at[i] = now;
    }
  return true;
}

static const uint8_t *
find_ripe (service_t *service, gbd_time_t now)
{
  for (uint32_t i = 0; i < service->bucket_count; i++)
    service->is_ripe[i] = now - service->announced_at[i] >= GBD_ANNOUNCE_TIME;
  return service->bucket_count ? service->is_ripe : NULL;
}

/* Hash of the set of SETTLING buckets and their servers; 0 if empty. */
static uint64_t
settling_set (const gbd_table_t *table)
{
  uint64_t set = 0;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      const gbd_bucket_t *bucket = &table->buckets[i];
      if (bucket->phase == GBD_BUCKET_SETTLING)
        set ^= gbd_rendezvous (i + 1,
                               (uint64_t)bucket->from << 16 | bucket->to);
    }
  return set;
}

static void
note_roster_change (gbd_node_t *node, service_t *service,
                    const gbd_table_t *former, const gbd_table_t *table,
                    gbd_time_t now)
{
  uint32_t missing = count_missing (former, table);
  if (missing == 0)
    return;
  /* Flows that only the former member saw are known to nobody. */
  node->loss_at = now;
  bool is_copying = service->copy_version != 0;
  if (missing == 1 && !is_copying)
    return;
  /* Both keepers of some buckets may be among the missing. */
  const gbd_catalog_t *catalog = gbd_engine_get_catalog (node->engine);
  gbd_service_t handle = gbd_catalog_find_service (catalog, service->id);
  if (handle == GBD_SERVICE_NONE)
    return;
  uint32_t plan = gbd_catalog_get_service (catalog, handle)->plan;
  uint32_t idle_s = gbd_catalog_get_plan (catalog, plan)->idle_limit_s;
  service->claims_blocked_until = now + (gbd_time_t)idle_s * GBD_SECOND;
  node->actions->note (node->data, GBD_NOTE_CLAIMS_BLOCKED, service->id,
                       idle_s);
}

/* Members of the former rosters that the new ones lack. */
static uint32_t
count_missing (const gbd_table_t *former, const gbd_table_t *table)
{
  uint32_t missing = 0;
  for (uint8_t i = 0; i < former->roster_count; i++)
    missing += !gbd_table_has_member (table, former->roster[i].id);
  return missing;
}

static void
step_service (gbd_node_t *node, service_t *service, gbd_time_t now)
{
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  uint64_t version = table ? table->version : 0;
  if (!service->is_platform_known || !service->has_backends
      || !service->is_listed)
    return;
  if (service->platform_version != version)
    return;
  if (service->is_write_pending)
    return;

  gbd_member_t members[GBD_ROSTER_MAX];
  gbd_confirmation_t confirmations[GBD_LIVES_MAX];
  gbd_coordinator_input_t input = {
    .service = service->id,
    .members = members,
    .member_count = fill_members (node, members, service, table, now),
    .confirmations = confirmations,
    .backends = service->backends,
    .backend_count = service->backend_count,
    .weights = service->weights,
    .bucket_count = node->settings.bucket_count,
    .move_max = node->settings.move_max,
    .is_covered = is_covered (node, service, now),
    .is_ripe = find_ripe (service, now),
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
fill_members (const gbd_node_t *node, gbd_member_t *members,
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
      if (!info.is_heard && !is_listed (node, info.name))
        continue;
      if (!may_join ((gbd_node_t *)node, (service_t *)service, table, &info))
        continue;
      members[count].id = info.id;
      members[count].zone = info.zone;
      count++;
    }
  if (table && has_unheard_name (node, now))
    count = add_strangers (node, members, count, table, now);
  return count;
}

/* Whether the platform lists an instance that this one does not hear. */
static bool
has_unheard_name (const gbd_node_t *node, gbd_time_t now)
{
  uint32_t heard = 0;
  uint32_t peers = gbd_membership_get_peer_count (node->membership);
  for (uint32_t i = 0; i < peers; i++)
    {
      gbd_peer_info_t info;
      gbd_membership_get_peer (node->membership, i, now, &info);
      heard += info.is_heard && is_listed (node, info.name);
    }
  /* This instance itself is listed as well, or will be. */
  return node->listed_count > heard + 1;
}

/* Members that this instance has never heard may be the ones that are listed:
   they count as there, so that one that is cut off since its start cannot
   take their silence for their end. */
static uint8_t
add_strangers (const gbd_node_t *node, gbd_member_t *members, uint8_t count,
               const gbd_table_t *table, gbd_time_t now)
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
      if (strcmp (node->listed[i], name) == 0)
        return true;
    }
  return false;
}

/* A new member enters once it has the tables, the exceptions and the accepted
   lists that are in force here. */
static bool
may_join (gbd_node_t *node, service_t *service, const gbd_table_t *table,
          const gbd_peer_info_t *info)
{
  if (!table || gbd_table_has_member (table, info->id))
    return true;
  if (!info->is_heard || info->generation < node->generation)
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

/* Add what is known of one member, once; the new count. */
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
    .is_silent = node_is_silent (node, service, id, now),
    .version = version,
    .complete = complete,
  };
  return (uint8_t)(count + 1);
}

/* Tell everyone the version in force; those that lack the base ask for the
   whole. */
static void
push_table (gbd_node_t *node, service_t *service)
{
  const gbd_table_t *base = service->previous;
  for (uint32_t i = 0; i < node->live_count; i++)
    {
      gbd_instance_id_t to = node->live[i].id;
      const progress_t *progress = node_find_progress (service, to);
      bool has_base = base && progress->version == base->version;
      node_send_table (node, service, to, has_base ? base : NULL);
    }
}

static bool
is_covered (const gbd_node_t *node, const service_t *service, gbd_time_t now)
{
  const gbd_catalog_t *catalog = gbd_engine_get_catalog (node->engine);
  gbd_service_t handle = gbd_catalog_find_service (catalog, service->id);
  if (handle == GBD_SERVICE_NONE)
    return false;
  uint32_t plan = gbd_catalog_get_service (catalog, handle)->plan;
  uint32_t idle_s = gbd_catalog_get_plan (catalog, plan)->idle_limit_s;
  return gbd_node_get_covered_ms (node, now) / 1000 >= idle_s;
}
