#include "gooseberrydrum/load.h"

#include <stdlib.h>
#include <string.h>

#define KILOBYTE 1024

/* Load of one backend server, counted by this instance. */
typedef struct
{
  gbd_backend_id_t id;
  gbd_backend_load_t counted; /* the engine's counters for the server at the
                                 end of the last round */
  uint32_t kilobytes;         /* moving average per round */
  gbd_load_entry_t reported;  /* newest load report about the server */
  bool has_reported;
} server_t;

typedef struct
{
  gbd_service_id_t id;
  uint8_t balance_percent;
  gbd_balance_t *balance; /* NULL until the first report or decision */
  uint32_t server_count;  /* number of slots of the table */
  server_t *servers;
} service_t;

struct gbd_load
{
  gbd_instance_id_t self;
  gbd_engine_t *engine;
  gbd_load_send_t send;
  void *data;
  gbd_limits_t *limits;
  uint64_t round;
  gbd_time_t round_at;
  /* Sum of the identifiers of the instances that received the last load
     report; a different sum shows that the receivers have changed. */
  uint64_t receiver_ids;
  uint32_t service_count;
  service_t *services;
  uint32_t member_count;
  gbd_instance_id_t members[GBD_INCARNATIONS_MAX];
};

/* Receivers of the load reports of one round. */
typedef struct
{
  gbd_load_t *load;
  const gbd_load_peer_t *peers;
  uint32_t count;
  bool is_watching; /* whether this instance watches the platform */
} report_receivers_t;

static service_t *find_service (const gbd_load_t *load, gbd_service_id_t id);
static void clear_services (service_t *services, uint32_t count);
static void update_members (gbd_load_t *load);
static void add_member (gbd_instance_id_t *members, uint32_t *count,
                        gbd_instance_id_t id);
static void send_limits (void *data, const gbd_limits_report_t *report);
static void end_load_round (gbd_load_t *load,
                            const report_receivers_t *receivers,
                            gbd_time_t now);
static void report_service (gbd_load_t *load, service_t *service, bool is_full,
                            const report_receivers_t *receivers,
                            gbd_time_t now);
static bool update_servers (service_t *service, const gbd_table_t *table);
static bool count_server (const gbd_load_t *load, const service_t *service,
                          gbd_slot_t slot, gbd_load_entry_t *entry);
static bool is_close (uint32_t number, uint32_t reported, uint32_t change_min);

gbd_load_t *
gbd_load_new (gbd_instance_id_t self, gbd_engine_t *engine,
              gbd_load_send_t send, void *data, gbd_time_t now)
{
  gbd_load_t *load = calloc (1, sizeof *load);
  if (!load)
    return NULL;
  load->limits = gbd_limits_new (self, now);
  if (!load->limits)
    goto fail;
  load->self = self;
  load->engine = engine;
  load->send = send;
  load->data = data;
  load->round_at = now;
  gbd_engine_set_admission (engine, &gbd_limits_admission, load->limits);
  return load;

fail:
  free (load);
  return NULL;
}

void
gbd_load_delete (gbd_load_t *load)
{
  if (!load)
    return;
  gbd_engine_set_admission (load->engine, NULL, NULL);
  clear_services (load->services, load->service_count);
  gbd_limits_delete (load->limits);
  free (load);
}

gbd_status_t
gbd_load_set_catalog (gbd_load_t *load, const gbd_catalog_t *catalog)
{
  uint32_t count = gbd_catalog_get_service_count (catalog);
  service_t *services = calloc (count + 1, sizeof *services);
  if (!services)
    return GBD_ERROR_MEMORY;
  gbd_status_t status = gbd_limits_set_catalog (load->limits, catalog);
  if (status != GBD_OK)
    {
      free (services);
      return status;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      const gbd_service_info_t *info = gbd_catalog_get_service (catalog, i);
      service_t *previous = find_service (load, info->id);
      if (previous)
        {
          services[i] = *previous;
          memset (previous, 0, sizeof *previous);
        }
      services[i].id = info->id;
      services[i].balance_percent
          = gbd_catalog_get_plan (catalog, info->plan)->balance_percent;
    }
  clear_services (load->services, load->service_count);
  load->services = services;
  load->service_count = count;
  return GBD_OK;
}

void
gbd_load_tick (gbd_load_t *load, bool is_watching,
               const gbd_load_peer_t *peers, uint32_t count, gbd_time_t now)
{
  report_receivers_t receivers = { load, peers, count, is_watching };
  update_members (load);
  gbd_limits_end_round (load->limits, now, send_limits, &receivers);
  if (now - load->round_at >= GBD_BALANCE_REPORT_INTERVAL)
    end_load_round (load, &receivers, now);
}

gbd_status_t
gbd_load_receive (gbd_load_t *load, const gbd_message_t *message,
                  gbd_time_t now)
{
  if (message->body.load.count == 0)
    {
      gbd_limits_report_t report = {
        .customer = message->body.load.service,
        .demand = message->body.load.new_flows,
        .open = (int32_t)message->body.load.open_flows,
      };
      gbd_limits_receive (load->limits, message->from, &report);
      return GBD_OK;
    }

  service_t *service = find_service (load, message->body.load.service);
  const gbd_table_t *table
      = gbd_engine_get_table (load->engine, message->body.load.service);
  if (!service || !table)
    return GBD_ERROR_NOT_FOUND;
  if (!service->balance)
    service->balance = gbd_balance_new ();
  if (!service->balance)
    return GBD_ERROR_MEMORY;
  return gbd_balance_receive (service->balance, table, message->from,
                              message->body.load.entries,
                              message->body.load.count, now);
}

void
gbd_load_compute_weights (gbd_load_t *load, gbd_service_id_t id,
                          const gbd_backend_t *backends, uint32_t count,
                          gbd_time_t now, uint16_t *weights)
{
  service_t *service = find_service (load, id);
  if (!service || count == 0)
    return;
  if (!service->balance)
    service->balance = gbd_balance_new ();
  uint16_t *decided = calloc (count, sizeof *decided);
  const gbd_table_t *table = gbd_engine_get_table (load->engine, id);
  if (service->balance && decided)
    {
      if (table)
        gbd_balance_restore (service->balance, table, backends, weights, count,
                             now);
      gbd_balance_compute_weights (service->balance, backends, weights, count,
                                   service->balance_percent, now, decided);
      memcpy (weights, decided, count * sizeof *weights);
    }
  free (decided);
}

bool
gbd_load_is_similar (const gbd_load_entry_t *entry,
                     const gbd_load_entry_t *reported)
{
  return is_close (entry->new_flows, reported->new_flows,
                   GBD_LOAD_CHANGE_FLOWS_MIN)
         && is_close (entry->open_flows, reported->open_flows,
                      GBD_LOAD_CHANGE_FLOWS_MIN)
         && is_close (entry->kilobytes, reported->kilobytes,
                      GBD_LOAD_CHANGE_KILOBYTES_MIN);
}

const gbd_limits_t *
gbd_load_get_limits (const gbd_load_t *load)
{
  return load->limits;
}

gbd_status_t
gbd_load_get_backend (const gbd_load_t *load, gbd_service_id_t id,
                      gbd_backend_id_t backend, gbd_balance_info_t *info)
{
  const service_t *service = find_service (load, id);
  if (!service || !service->balance)
    return GBD_ERROR_NOT_FOUND;
  return gbd_balance_get (service->balance, backend, info);
}

static service_t *
find_service (const gbd_load_t *load, gbd_service_id_t id)
{
  for (uint32_t i = 0; i < load->service_count; i++)
    {
      if (load->services[i].id == id)
        return &load->services[i];
    }
  return NULL;
}

static void
clear_services (service_t *services, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      gbd_balance_delete (services[i].balance);
      free (services[i].servers);
    }
  free (services);
}

/* Set the members that share limits.  Failed members are included until they
   are removed from the rosters, because shares stay reserved for the flows
   that they may still admit. */
static void
update_members (gbd_load_t *load)
{
  gbd_instance_id_t members[GBD_INCARNATIONS_MAX] = { 0 };
  uint32_t count = 0;
  add_member (members, &count, load->self);
  for (uint32_t i = 0; i < load->service_count; i++)
    {
      const gbd_table_t *table
          = gbd_engine_get_table (load->engine, load->services[i].id);
      for (uint8_t m = 0; table && m < table->roster_count; m++)
        add_member (members, &count, table->roster[m].id);
      for (uint8_t m = 0; table && m < table->next_count; m++)
        add_member (members, &count, table->next[m].id);
    }
  for (uint32_t i = 0; i < load->member_count; i++)
    {
      if (gbd_instances_contain (members, count, load->members[i]))
        continue;
      for (uint32_t s = 0; s < load->service_count; s++)
        {
          if (load->services[s].balance)
            gbd_balance_remove (load->services[s].balance, load->members[i]);
        }
    }
  memcpy (load->members, members, count * sizeof *members);
  load->member_count = count;
  gbd_limits_set_members (load->limits, members, count);
}

static void
add_member (gbd_instance_id_t *members, uint32_t *count, gbd_instance_id_t id)
{
  if (*count < GBD_INCARNATIONS_MAX
      && !gbd_instances_contain (members, *count, id))
    members[(*count)++] = id;
}

static void
send_limits (void *data, const gbd_limits_report_t *report)
{
  const report_receivers_t *receivers = data;
  gbd_load_t *load = receivers->load;
  gbd_message_t message = { .type = GBD_MESSAGE_LOAD, .from = load->self };
  message.body.load.service = report->customer;
  message.body.load.new_flows = report->demand;
  message.body.load.open_flows = (uint32_t)report->open;
  for (uint32_t i = 0; i < receivers->count; i++)
    load->send (load->data, receivers->peers[i].id, &message);
}

static void
end_load_round (gbd_load_t *load, const report_receivers_t *receivers,
                gbd_time_t now)
{
  uint64_t receiver_ids = receivers->is_watching ? load->self : 0;
  for (uint32_t i = 0; i < receivers->count; i++)
    {
      if (receivers->peers[i].is_watching)
        receiver_ids += receivers->peers[i].id;
    }
  bool is_full = receiver_ids != load->receiver_ids
                 || load->round % GBD_LOAD_FULL_ROUNDS == 0;
  load->receiver_ids = receiver_ids;
  load->round_at = now;
  load->round++;
  for (uint32_t i = 0; i < load->service_count; i++)
    report_service (load, &load->services[i], is_full, receivers, now);
}

static void
report_service (gbd_load_t *load, service_t *service, bool is_full,
                const report_receivers_t *receivers, gbd_time_t now)
{
  const gbd_table_t *table = gbd_engine_get_table (load->engine, service->id);
  if (!table || !update_servers (service, table))
    return;
  gbd_load_entry_t *entries = calloc (table->backend_count, sizeof *entries);
  uint16_t count = 0;
  for (uint32_t slot = 0; entries && slot < table->backend_count; slot++)
    {
      server_t *server = &service->servers[slot];
      gbd_load_entry_t entry;
      if (!count_server (load, service, (gbd_slot_t)slot, &entry)
          || (!is_full && server->has_reported
              && gbd_load_is_similar (&entry, &server->reported)))
        continue;
      server->reported = entry;
      server->has_reported = true;
      entries[count++] = entry;
    }
  if (count == 0)
    goto done;

  gbd_message_t message = { .type = GBD_MESSAGE_LOAD, .from = load->self };
  message.body.load.service = service->id;
  message.body.load.round = load->round;
  message.body.load.count = count;
  message.body.load.entries = entries;
  if (receivers->is_watching)
    gbd_load_receive (load, &message, now);
  for (uint32_t i = 0; i < receivers->count; i++)
    {
      if (receivers->peers[i].is_watching)
        load->send (load->data, receivers->peers[i].id, &message);
    }

done:
  free (entries);
}

/* Make an entry in `servers` for each slot of the table.  The entry of a slot
   is cleared when the slot is assigned to another backend server.  Returns
   false when memory is short. */
static bool
update_servers (service_t *service, const gbd_table_t *table)
{
  uint32_t count = table->backend_count;
  if (count > service->server_count)
    {
      server_t *servers = realloc (service->servers, count * sizeof *servers);
      if (!servers)
        return false;
      memset (servers + service->server_count, 0,
              (count - service->server_count) * sizeof *servers);
      service->servers = servers;
      service->server_count = count;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      if (service->servers[i].id != table->backends[i].id)
        service->servers[i] = (server_t){ .id = table->backends[i].id };
    }
  return true;
}

/* Count the load of one server since the last round.  Returns whether its load
   must be reported. */
static bool
count_server (const gbd_load_t *load, const service_t *service,
              gbd_slot_t slot, gbd_load_entry_t *entry)
{
  server_t *server = &service->servers[slot];
  gbd_backend_load_t total;
  gbd_engine_get_load (load->engine, service->id, slot, &total);
  /* The engine's counters restart when the slot is assigned to another
     server. */
  if (total.bytes < server->counted.bytes
      || total.new_flows < server->counted.new_flows)
    memset (&server->counted, 0, sizeof server->counted);
  uint64_t kilobytes = (total.bytes - server->counted.bytes) / KILOBYTE;
  if (kilobytes > UINT32_MAX / 2)
    kilobytes = UINT32_MAX / 2;
  server->kilobytes = (server->kilobytes + (uint32_t)kilobytes + 1) / 2;
  *entry = (gbd_load_entry_t){
    .slot = slot,
    .new_flows = (uint32_t)(total.new_flows - server->counted.new_flows),
    .open_flows = total.open_flows,
    .kilobytes = server->kilobytes,
  };
  server->counted = total;
  return entry->new_flows || entry->open_flows || entry->kilobytes
         || server->has_reported;
}

static bool
is_close (uint32_t number, uint32_t reported, uint32_t change_min)
{
  uint64_t change = number > reported ? number - reported : reported - number;
  return change < change_min
         || change * 100 < (uint64_t)reported * GBD_LOAD_CHANGE_PERCENT;
}
