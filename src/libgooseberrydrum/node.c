#include "libgooseberrydrum/node_private.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

static service_t *add_service (gbd_node_t *node, gbd_service_id_t id);
static void remove_previous_incarnation (gbd_node_t *node,
                                         gbd_instance_id_t id,
                                         const char *name, gbd_time_t now);
static void receive_heartbeat (gbd_node_t *node, const gbd_message_t *message,
                               gbd_time_t now);
static void receive_progress (gbd_node_t *node, gbd_instance_id_t from,
                              const gbd_progress_t *progress, gbd_time_t now);
static void merge_loss_time (gbd_node_t *node, uint32_t loss_free_ms,
                             gbd_time_t now);

gbd_node_t *
gbd_node_new (const gbd_node_settings_t *settings, gbd_engine_t *engine,
              const gbd_node_actions_t *actions, void *data, gbd_time_t now)
{
  gbd_node_t *node = calloc (1, sizeof *node);
  if (!node)
    return NULL;
  node->membership = gbd_membership_new (&settings->membership, now);
  if (!node->membership)
    goto fail;

  node->settings = *settings;
  node->engine = engine;
  node->actions = actions;
  node->data = data;
  node->started_at = now;
  node->loss_at = GBD_TIME_NEVER;
  node->transfer_refilled_at = now;
  node->fallback_watch_until = GBD_TIME_NEVER;
  node->lists_requested_at = GBD_TIME_NEVER;
  node->transfer_tail = &node->transfer_first;
  return node;

fail:
  free (node);
  return NULL;
}

void
gbd_node_delete (gbd_node_t *node)
{
  if (!node)
    return;
  for (uint32_t i = 0; i < node->service_count; i++)
    {
      free (node->services[i].backends);
      free (node->services[i].weights);
      free (node->services[i].announced_at);
      gbd_table_delete (node->services[i].previous);
      free (node->services[i].is_announcement_over);
    }
  while (node->transfer_first)
    {
      flow_transfer_t *transfer = node->transfer_first;
      node->transfer_first = transfer->next;
      free (transfer);
    }
  free (node->services);
  free (node->listed_names);
  gbd_membership_delete (node->membership);
  free (node);
}

void
gbd_node_link_up (gbd_node_t *node, gbd_instance_id_t id, gbd_zone_id_t zone,
                  const char *name, gbd_time_t now)
{
  remove_previous_incarnation (node, id, name, now);
  gbd_membership_add_peer (node->membership, id, zone, name, now);
  /* Send the acknowledgements and the progress of all services to the new
     peer at the next tick. */
  node->heartbeat_count = 0;
  node->is_heartbeat_due = true;
}

void
gbd_node_link_down (gbd_node_t *node, gbd_instance_id_t id)
{
  node_drop_transfers (node, id);
}

void
gbd_node_receive (gbd_node_t *node, const gbd_message_t *message,
                  gbd_time_t now)
{
  switch (message->type)
    {
    case GBD_MESSAGE_HEARTBEAT:
      receive_heartbeat (node, message, now);
      break;
    case GBD_MESSAGE_TABLE:
      node_receive_table (node, message, now);
      break;
    case GBD_MESSAGE_TABLE_REQUEST:
      if (message->body.table_request.service == 0)
        node->actions->send_config (node->data, message->from);
      else
        {
          service_t *service
              = node_find_service (node, message->body.table_request.service);
          if (service)
            node_send_table (node, service, message->from, NULL);
        }
      break;
    case GBD_MESSAGE_FLOWS:
      node_receive_flows (node, message, now);
      break;
    case GBD_MESSAGE_FLOWS_END:
      node_receive_flows_end (node, message);
      break;
    case GBD_MESSAGE_COPY_REQUEST:
      node_send_copy (node, message);
      break;
    default:
      break;
    }
}

gbd_status_t
gbd_node_set_catalog (gbd_node_t *node, const gbd_catalog_t *catalog,
                      gbd_time_t now)
{
  (void)now;
  gbd_status_t status = gbd_engine_set_catalog (node->engine, catalog);
  if (status != GBD_OK)
    return status;

  for (uint32_t i = 0; i < node->service_count; i++)
    node->services[i].is_listed = false;
  uint32_t count = gbd_catalog_get_service_count (catalog);
  for (uint32_t i = 0; i < count; i++)
    {
      gbd_service_id_t id = gbd_catalog_get_service (catalog, i)->id;
      service_t *service = node_find_service (node, id);
      if (!service)
        service = add_service (node, id);
      if (!service)
        return GBD_ERROR_MEMORY;
      service->is_listed = true;
    }
  node->generation = gbd_catalog_get_generation (catalog);
  node->heartbeat_count = 0;
  node->is_heartbeat_due = true;
  return GBD_OK;
}

void
gbd_node_set_listed_instances (gbd_node_t *node, const char *const *names,
                               uint32_t count)
{
  if (count > GBD_INCARNATIONS_MAX)
    count = GBD_INCARNATIONS_MAX;
  char (*listed)[GBD_NAME_MAX + 1]
      = calloc (count ? count : 1, sizeof *listed);
  if (!listed)
    return;
  for (uint32_t i = 0; i < count; i++)
    strncpy (listed[i], names[i], GBD_NAME_MAX);
  free (node->listed_names);
  node->listed_names = listed;
  node->listed_count = count;
}

gbd_status_t
gbd_node_set_backends (gbd_node_t *node, gbd_service_id_t id,
                       const gbd_backend_t *backends, const uint16_t *weights,
                       uint32_t count)
{
  service_t *service = node_find_service (node, id);
  if (!service)
    return GBD_ERROR_NOT_FOUND;
  if (count > GBD_BACKENDS_MAX)
    return GBD_ERROR_RANGE;

  gbd_backend_t *new_backends = malloc ((count + 1) * sizeof *new_backends);
  uint16_t *new_weights = malloc ((count + 1) * sizeof *new_weights);
  if (!new_backends || !new_weights)
    {
      free (new_backends);
      free (new_weights);
      return GBD_ERROR_MEMORY;
    }
  memcpy (new_backends, backends, count * sizeof *backends);
  memcpy (new_weights, weights, count * sizeof *weights);
  free (service->backends);
  free (service->weights);
  service->backends = new_backends;
  service->weights = new_weights;
  service->backend_count = count;
  service->has_backends = true;
  return GBD_OK;
}

void
gbd_node_confirm_platform (gbd_node_t *node, gbd_time_t requested_at,
                           gbd_time_t now)
{
  (void)now;
  gbd_membership_confirm_platform (node->membership, requested_at);
  for (uint32_t i = 0; i < node->service_count; i++)
    node->services[i].has_read_platform = true;
}

void
gbd_node_leave (gbd_node_t *node, gbd_time_t now)
{
  (void)now;
  node->is_leaving = true;
  node->is_heartbeat_due = true;
}

bool
gbd_node_is_joined (const gbd_node_t *node)
{
  return node->is_joined;
}

bool
gbd_node_has_left (const gbd_node_t *node, gbd_time_t now)
{
  (void)now;
  if (!node->is_leaving)
    return false;
  gbd_instance_id_t self = node->settings.membership.self;
  for (uint32_t i = 0; i < node->service_count; i++)
    {
      const gbd_table_t *table
          = gbd_engine_get_table (node->engine, node->services[i].id);
      if (table && gbd_table_has_member (table, self))
        return false;
    }
  return true;
}

bool
gbd_node_is_watching (const gbd_node_t *node)
{
  return node->is_watching;
}

gbd_lease_t
gbd_node_get_lease (const gbd_node_t *node)
{
  return node->lease;
}

const gbd_membership_t *
gbd_node_get_membership (const gbd_node_t *node)
{
  return node->membership;
}

uint32_t
gbd_node_get_service_count (const gbd_node_t *node)
{
  return node->service_count;
}

void
gbd_node_get_service (const gbd_node_t *node, uint32_t index,
                      gbd_node_service_t *info)
{
  assert (index < node->service_count);
  const service_t *service = &node->services[index];
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  memset (info, 0, sizeof *info);
  info->id = service->id;
  info->version = table ? table->version : 0;
  info->complete = service->complete;
  info->step = service->step;
  info->is_authoritative = service->copy_version == 0;
  for (uint32_t i = 0; table && i < table->bucket_count; i++)
    info->moving += table->buckets[i].phase != GBD_BUCKET_STABLE;
  for (const flow_transfer_t *transfer = node->transfer_first; transfer;
       transfer = transfer->next)
    {
      if (transfer->service == service->id)
        info->backlog += transfer->count - transfer->sent;
    }
}

uint32_t
gbd_node_get_loss_free_ms (const gbd_node_t *node, gbd_time_t now)
{
  if (node->loss_at == GBD_TIME_NEVER)
    return UINT32_MAX;
  gbd_time_t loss_free_ms = (now - node->loss_at) / GBD_MILLISECOND;
  if (loss_free_ms < 0)
    return 0;
  return loss_free_ms < UINT32_MAX ? (uint32_t)loss_free_ms : UINT32_MAX - 1;
}

service_t *
node_find_service (gbd_node_t *node, gbd_service_id_t id)
{
  uint32_t low = 0;
  uint32_t high = node->service_count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (node->services[middle].id == id)
        return &node->services[middle];
      if (node->services[middle].id < id)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

progress_t *
node_find_progress (service_t *service, gbd_instance_id_t id)
{
  for (uint32_t i = 0; i < service->progress_count; i++)
    {
      if (service->progress[i].id == id)
        return &service->progress[i];
    }
  /* The array is full: replace the entry with the oldest confirmed version, as
     its incarnation ended long ago. */
  uint32_t index = service->progress_count;
  if (index == GBD_INCARNATIONS_MAX)
    {
      index = 0;
      for (uint32_t i = 1; i < GBD_INCARNATIONS_MAX; i++)
        {
          if (service->progress[i].version < service->progress[index].version)
            index = i;
        }
    }
  else
    service->progress_count++;
  service->progress[index] = (progress_t){ .id = id };
  return &service->progress[index];
}

bool
node_is_reachable (const gbd_node_t *node, gbd_instance_id_t id)
{
  for (uint32_t i = 0; i < node->reachable_count; i++)
    {
      if (node->reachable[i].id == id)
        return true;
    }
  return false;
}

void
node_send (gbd_node_t *node, gbd_instance_id_t to, gbd_message_t *message)
{
  message->from = node->settings.membership.self;
  node->actions->send (node->data, to, message);
}

static service_t *
add_service (gbd_node_t *node, gbd_service_id_t id)
{
  if (node->service_count == GBD_SERVICES_MAX)
    return NULL;
  if (node->service_count == node->service_capacity)
    {
      uint32_t capacity
          = node->service_capacity ? node->service_capacity * 2 : 8;
      service_t *services
          = realloc (node->services, capacity * sizeof *services);
      if (!services)
        return NULL;
      node->services = services;
      node->service_capacity = capacity;
    }
  uint32_t index = 0;
  while (index < node->service_count && node->services[index].id < id)
    index++;
  memmove (&node->services[index + 1], &node->services[index],
           (node->service_count - index) * sizeof *node->services);
  node->service_count++;
  node->services[index] = (service_t){
    .id = id,
    .installed_at = GBD_TIME_NEVER,
    .not_authoritative_until = GBD_TIME_NEVER,
    .requested_at = GBD_TIME_NEVER,
  };
  return &node->services[index];
}

/* Remove the previous incarnation of an instance that was restarted under the
   same name. */
static void
remove_previous_incarnation (gbd_node_t *node, gbd_instance_id_t id,
                             const char *name, gbd_time_t now)
{
  uint32_t count = gbd_membership_get_peer_count (node->membership);
  for (uint32_t i = 0; i < count; i++)
    {
      gbd_peer_info_t info;
      gbd_membership_get_peer (node->membership, i, now, &info);
      if (info.id == id || strcmp (info.name, name) != 0)
        continue;
      gbd_membership_remove_peer (node->membership, info.id);
      return;
    }
}

static void
receive_heartbeat (gbd_node_t *node, const gbd_message_t *message,
                   gbd_time_t now)
{
  gbd_membership_receive (node->membership, message, now);
  merge_loss_time (node, message->body.heartbeat.loss_free_ms, now);
  gbd_time_t interval = node->settings.membership.heartbeat_interval;
  if (message->body.heartbeat.generation > node->generation
      && now - node->lists_requested_at >= interval)
    {
      node->lists_requested_at = now;
      gbd_message_t request = { .type = GBD_MESSAGE_TABLE_REQUEST };
      request.body.table_request.version = node->generation;
      node_send (node, message->from, &request);
    }
  for (uint16_t i = 0; i < message->body.heartbeat.progress_count; i++)
    receive_progress (node, message->from,
                      &message->body.heartbeat.progress[i], now);
}

static void
receive_progress (gbd_node_t *node, gbd_instance_id_t from,
                  const gbd_progress_t *reported, gbd_time_t now)
{
  service_t *service = node_find_service (node, reported->service);
  if (!service)
    return;
  progress_t *progress = node_find_progress (service, from);
  if (reported->version >= progress->version)
    {
      progress->version = reported->version;
      progress->complete = reported->complete;
    }
  const gbd_table_t *table = gbd_engine_get_table (node->engine, service->id);
  uint64_t version = table ? table->version : 0;
  bool is_recently_requested = now - service->requested_at
                               < node->settings.membership.heartbeat_interval;
  if (reported->version > version && !is_recently_requested)
    {
      gbd_message_t request = { .type = GBD_MESSAGE_TABLE_REQUEST };
      request.body.table_request.service = service->id;
      request.body.table_request.version = version;
      node_send (node, from, &request);
      service->requested_at = now;
    }
}

static void
merge_loss_time (gbd_node_t *node, uint32_t loss_free_ms, gbd_time_t now)
{
  if (loss_free_ms == UINT32_MAX)
    return;
  gbd_time_t loss_at = now - (gbd_time_t)loss_free_ms * GBD_MILLISECOND;
  if (loss_at > node->loss_at)
    node->loss_at = loss_at;
}
