#include "serve.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gooseberrydrum/packet.h"

static char *format_counters (void *data);
static json_t *make_status (void *data);
static json_t *make_dump (void *data);
static json_t *make_explanation (void *data, const gbd_flow_t *flow);
static void add_counter (gbd_counters_t *counters, const char *name,
                         const char *help, gbd_counter_kind_t kind,
                         const char *label, const char *value,
                         uint64_t number);
static void add_datapath_counters (gbd_counters_t *counters,
                                   const gbd_datapath_stats_t *stats);
static void add_engine_counters (gbd_counters_t *counters,
                                 const gbd_engine_stats_t *stats);
static void add_control_counters (gbd_counters_t *counters,
                                  const gbd_serve_t *serve);
static json_t *make_peers (const gbd_serve_t *serve, gbd_time_t now);
static json_t *make_services (const gbd_serve_t *serve);
static json_t *make_service (const gbd_serve_t *serve,
                             const gbd_node_service_t *service);
static json_t *make_backends (const gbd_serve_t *serve,
                              const gbd_table_t *table);
static json_t *make_moving_buckets (const gbd_table_t *table);
static json_t *make_hex_string (uint64_t number);
static const char *get_service_name (const gbd_serve_t *serve,
                                     gbd_service_id_t id);
static json_t *explain_packet (const gbd_serve_t *serve,
                               const gbd_flow_t *flow, gbd_packet_kind_t kind);
static const char *get_peer_name (const gbd_serve_t *serve,
                                  gbd_instance_id_t id);

static const char *const lease_strings[] = { "none", "zone", "full" };
static const char *const phase_strings[]
    = { "stable", "announced", "active", "settling", "inverted" };
static const char *const state_strings[] = { "ready", "draining", "gone" };
static const char *const roster_strings[]
    = { "settled", "joining", "switched" };
static const char *const action_strings[]
    = { "drop", "backend server", "instance", "reset" };

const gbd_admin_callbacks_t gbd_serve_admin_callbacks = {
  .counters = format_counters,
  .status = make_status,
  .dump = make_dump,
  .explain = make_explanation,
};

void
gbd_serve_dump (gbd_serve_t *serve)
{
  json_t *dump = make_dump (serve);
  char *text = dump ? json_dumps (dump, JSON_INDENT (1)) : NULL;
  if (text)
    fprintf (stderr, "%s\n", text);
  free (text);
  json_decref (dump);
}

static char *
format_counters (void *data)
{
  const gbd_serve_t *serve = data;
  gbd_counters_t *counters = gbd_counters_new ();
  if (!counters)
    return NULL;
  gbd_datapath_stats_t datapath;
  gbd_engine_stats_t engine;
  gbd_datapath_get_stats (serve->datapath, &datapath);
  gbd_engine_get_stats (serve->engine, &engine);
  add_datapath_counters (counters, &datapath);
  add_engine_counters (counters, &engine);
  add_control_counters (counters, serve);
  gbd_serve_add_load_counters (counters, serve);
  char *text = gbd_counters_format (counters);
  gbd_counters_delete (counters);
  return text;
}

static json_t *
make_status (void *data)
{
  const gbd_serve_t *serve = data;
  gbd_time_t now = gbd_serve_now ();
  uint32_t loss_free_ms = gbd_node_get_loss_free_ms (serve->node, now);
  return json_pack (
      "{s:s, s:s, s:s, s:o, s:s, s:b, s:b, s:b, s:I, s:o, s:o, s:o, s:o}",
      "name", serve->settings->name, "zone", serve->settings->zone, "group",
      serve->settings->group, "identity", make_hex_string (serve->self),
      "touch", lease_strings[gbd_node_get_lease (serve->node)], "joined",
      gbd_node_is_joined (serve->node), "watching",
      gbd_node_is_watching (serve->node), "coordinator",
      gbd_node_is_coordinator (serve->node, now), "generation",
      (json_int_t)serve->generation, "covered_s",
      loss_free_ms == UINT32_MAX ? json_null ()
                                 : json_integer (loss_free_ms / 1000),
      "peers", make_peers (serve, now), "customers",
      gbd_serve_describe_customers (serve), "services", make_services (serve));
}

static json_t *
make_dump (void *data)
{
  const gbd_serve_t *serve = data;
  json_t *dump = make_status (data);
  if (!dump)
    return NULL;
  json_t *tables = json_object ();
  uint32_t count = gbd_node_get_service_count (serve->node);
  for (uint32_t i = 0; i < count; i++)
    {
      gbd_node_service_t service;
      gbd_node_get_service (serve->node, i, &service);
      const gbd_table_t *table
          = gbd_engine_get_table (serve->engine, service.id);
      if (table)
        json_object_set_new (tables, get_service_name (serve, service.id),
                             make_moving_buckets (table));
    }
  json_object_set_new (dump, "tables", tables);
  if (serve->accepted)
    json_object_set (dump, "accepted", serve->accepted);
  json_object_set (dump, "instances", serve->instance_objects);
  char *counters = format_counters (data);
  if (counters)
    json_object_set_new (dump, "counters", json_string (counters));
  free (counters);
  return dump;
}

static json_t *
make_explanation (void *data, const gbd_flow_t *flow)
{
  const gbd_serve_t *serve = data;
  if (!serve->catalog
      || gbd_catalog_find (serve->catalog, &flow->service) == GBD_SERVICE_NONE)
    return NULL;
  return json_pack (
      "{s:s, s:o, s:o}", "instance", serve->settings->name, "opening packet",
      explain_packet (serve, flow, GBD_PACKET_OPENING), "later packet",
      explain_packet (serve, flow, GBD_PACKET_ESTABLISHED));
}

static void
add_counter (gbd_counters_t *counters, const char *name, const char *help,
             gbd_counter_kind_t kind, const char *label, const char *value,
             uint64_t number)
{
  gbd_counter_info_t info = { name, help, kind, label, value };
  gbd_counter_t counter = gbd_counters_add (counters, &info);
  if (counter != GBD_COUNTER_NONE)
    gbd_counters_set (counters, counter, number);
}

static void
add_datapath_counters (gbd_counters_t *counters,
                       const gbd_datapath_stats_t *stats)
{
  const struct
  {
    const char *name;
    const char *help;
    uint64_t number;
  } rows[] = {
    { "gooseberrydrum_fabric_packets_total", "Packets from the fabric.",
      stats->fabric_packets },
    { "gooseberrydrum_fabric_bytes_total", "Bytes from the fabric.",
      stats->fabric_bytes },
    { "gooseberrydrum_peer_packets_total", "Packets from other instances.",
      stats->peer_packets },
    { "gooseberrydrum_peer_bytes_total", "Bytes from other instances.",
      stats->peer_bytes },
    { "gooseberrydrum_backend_packets_total", "Packets to backend servers.",
      stats->to_backend_packets },
    { "gooseberrydrum_backend_bytes_total", "Bytes to backend servers.",
      stats->to_backend_bytes },
    { "gooseberrydrum_detour_packets_total", "Packets to other instances.",
      stats->to_peer_packets },
    { "gooseberrydrum_detour_bytes_total", "Bytes to other instances.",
      stats->to_peer_bytes },
    { "gooseberrydrum_resets_total", "Refused opening packets.",
      stats->resets },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    add_counter (counters, rows[i].name, rows[i].help, GBD_COUNTER_MONOTONIC,
                 NULL, NULL, rows[i].number);
  for (int i = 1; i < GBD_DROP_COUNT; i++)
    add_counter (counters, "gooseberrydrum_drops_total",
                 "Packets dropped, by cause.", GBD_COUNTER_MONOTONIC, "cause",
                 gbd_drop_strings[i], stats->drops[i]);
}

static void
add_engine_counters (gbd_counters_t *counters, const gbd_engine_stats_t *stats)
{
  add_counter (counters, "gooseberrydrum_cached_flows",
               "Flows in the flow cache.", GBD_COUNTER_GAUGE, NULL, NULL,
               stats->cached_flows);
  add_counter (counters, "gooseberrydrum_registrations",
               "Registrations stored.", GBD_COUNTER_GAUGE, NULL, NULL,
               stats->registrations);
  add_counter (counters, "gooseberrydrum_exceptions", "Exceptions stored.",
               GBD_COUNTER_GAUGE, NULL, NULL, stats->exceptions);
  add_counter (counters, "gooseberrydrum_evictions_total",
               "Open flows evicted from the full flow cache.",
               GBD_COUNTER_MONOTONIC, NULL, NULL, stats->evictions);
  add_counter (counters, "gooseberrydrum_state_bytes",
               "Memory of flow cache and registries.", GBD_COUNTER_GAUGE, NULL,
               NULL, stats->bytes);
  for (int i = 0; i < GBD_RULE_COUNT; i++)
    add_counter (counters, "gooseberrydrum_rules_total", "Decisions, by rule.",
                 GBD_COUNTER_MONOTONIC, "rule", gbd_rule_strings[i],
                 stats->rules[i]);
}

static void
add_control_counters (gbd_counters_t *counters, const gbd_serve_t *serve)
{
  gbd_links_stats_t links;
  gbd_platform_stats_t platform;
  gbd_links_get_stats (serve->links, &links);
  gbd_platform_get_stats (serve->platform, &platform);
  const struct
  {
    const char *name;
    const char *help;
    uint64_t number;
  } rows[] = {
    { "gooseberrydrum_messages_sent_total", "Messages to other instances.",
      links.messages_sent },
    { "gooseberrydrum_messages_received_total",
      "Messages from other instances.", links.messages_received },
    { "gooseberrydrum_control_sent_bytes_total",
      "Bytes of messages to other instances.", links.bytes_sent },
    { "gooseberrydrum_control_received_bytes_total",
      "Bytes of messages from other instances.", links.bytes_received },
    { "gooseberrydrum_links_refused_total",
      "Links closed because of invalid data or a failed handshake.",
      links.refused },
    { "gooseberrydrum_platform_calls_total", "Requests to the platform.",
      platform.calls },
    { "gooseberrydrum_platform_failures_total", "Requests that failed.",
      platform.failures },
    { "gooseberrydrum_platform_retries_total", "Requests that were retried.",
      platform.retries },
    { "gooseberrydrum_platform_sent_bytes_total", "Bytes to the platform.",
      platform.bytes_sent },
    { "gooseberrydrum_platform_received_bytes_total",
      "Bytes from the platform.", platform.bytes_received },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    add_counter (counters, rows[i].name, rows[i].help, GBD_COUNTER_MONOTONIC,
                 NULL, NULL, rows[i].number);
  add_counter (counters, "gooseberrydrum_links", "Links that are up.",
               GBD_COUNTER_GAUGE, NULL, NULL, links.open);
  add_counter (counters, "gooseberrydrum_generation",
               "Accepted configuration in force.", GBD_COUNTER_GAUGE, NULL,
               NULL, serve->generation);
}

static json_t *
make_peers (const gbd_serve_t *serve, gbd_time_t now)
{
  json_t *peers = json_array ();
  const gbd_membership_t *membership = gbd_node_get_membership (serve->node);
  uint32_t count = gbd_membership_get_peer_count (membership);
  for (uint32_t i = 0; i < count; i++)
    {
      gbd_peer_info_t info;
      gbd_membership_get_peer (membership, i, now, &info);
      json_int_t age_ms
          = (json_int_t)((now - info.last_received_at) / GBD_MILLISECOND);
      json_array_append_new (
          peers,
          json_pack ("{s:s, s:o, s:b, s:b, s:b, s:b, s:I, s:b, s:I}", "name",
                     info.name, "identity", make_hex_string (info.id), "heard",
                     info.is_reachable, "silent", info.is_failed, "leaving",
                     info.is_leaving, "watching", info.is_watching,
                     "generation", (json_int_t)info.generation, "lags",
                     info.generation < serve->generation, "heard_ms_ago",
                     age_ms));
    }
  return peers;
}

static json_t *
make_services (const gbd_serve_t *serve)
{
  json_t *services = json_array ();
  uint32_t count = gbd_node_get_service_count (serve->node);
  for (uint32_t i = 0; i < count; i++)
    {
      gbd_node_service_t service;
      gbd_node_get_service (serve->node, i, &service);
      json_array_append_new (services, make_service (serve, &service));
    }
  return services;
}

static json_t *
make_service (const gbd_serve_t *serve, const gbd_node_service_t *service)
{
  const gbd_table_t *table = gbd_engine_get_table (serve->engine, service->id);
  json_t *result = json_pack (
      "{s:s, s:I, s:I, s:s, s:b, s:I, s:I}", "name",
      get_service_name (serve, service->id), "version",
      (json_int_t)service->version, "complete", (json_int_t)service->complete,
      "step", gbd_step_strings[service->step], "claims",
      service->is_authoritative, "moving", (json_int_t)service->moving,
      "backlog", (json_int_t)service->backlog);
  if (!table || !result)
    return result;
  json_object_set_new (result, "generation",
                       json_integer ((json_int_t)table->generation));
  json_object_set_new (result, "roster_phase",
                       json_string (roster_strings[table->roster_phase]));
  json_t *roster = json_array ();
  for (uint8_t i = 0; i < table->roster_count; i++)
    json_array_append_new (
        roster, json_string (get_peer_name (serve, table->roster[i].id)));
  json_object_set_new (result, "roster", roster);
  json_object_set_new (result, "backend_servers",
                       make_backends (serve, table));
  return result;
}

static json_t *
make_backends (const gbd_serve_t *serve, const gbd_table_t *table)
{
  json_t *backends = json_array ();
  uint32_t *bucket_counts
      = calloc (table->backend_count + 1, sizeof *bucket_counts);
  for (uint32_t i = 0; bucket_counts && i < table->bucket_count; i++)
    {
      if (table->buckets[i].to < table->backend_count)
        bucket_counts[table->buckets[i].to]++;
    }
  for (uint32_t i = 0; bucket_counts && i < table->backend_count; i++)
    {
      const gbd_backend_t *backend = &table->backends[i];
      char address[GBD_ADDRESS_TEXT_MAX];
      gbd_backend_load_t load = { 0 };
      gbd_address_format (&backend->address, address);
      gbd_engine_get_load (serve->engine, table->service, (gbd_slot_t)i,
                           &load);
      json_t *object = json_pack (
          "{s:i, s:s, s:s, s:I, s:I, s:I, s:I}", "slot", (int)i, "address",
          address, "state", state_strings[backend->state], "buckets",
          (json_int_t)bucket_counts[i], "new_flows",
          (json_int_t)load.new_flows, "open_flows_here",
          (json_int_t)load.open_flows, "bytes", (json_int_t)load.bytes);
      gbd_balance_info_t group_load;
      if (gbd_load_get_backend (serve->load, table->service, backend->id,
                                &group_load)
          == GBD_OK)
        json_object_set_new (
            object, "group",
            json_pack ("{s:I, s:I, s:I, s:i}", "open_flows",
                       (json_int_t)group_load.open_flows, "new_flows",
                       (json_int_t)group_load.new_flows, "kilobytes",
                       (json_int_t)group_load.kilobytes, "factor_percent",
                       (int)group_load.factor_percent));
      json_array_append_new (backends, object);
    }
  free (bucket_counts);
  return backends;
}

/* Lists the moving buckets.  Stable ones are only counted, in "buckets" of
   each backend server. */
static json_t *
make_moving_buckets (const gbd_table_t *table)
{
  json_t *moving_buckets = json_array ();
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      const gbd_bucket_t *bucket = &table->buckets[i];
      if (bucket->phase == GBD_BUCKET_STABLE)
        continue;
      json_array_append_new (
          moving_buckets,
          json_pack ("{s:i, s:s, s:i, s:i}", "bucket", (int)i, "phase",
                     phase_strings[bucket->phase], "from", (int)bucket->from,
                     "to", (int)bucket->to));
    }
  return moving_buckets;
}

static json_t *
make_hex_string (uint64_t number)
{
  char text[17];
  snprintf (text, sizeof text, "%016" PRIx64, number);
  return json_string (text);
}

static const char *
get_service_name (const gbd_serve_t *serve, gbd_service_id_t id)
{
  gbd_service_handle_t service_index = GBD_SERVICE_NONE;
  if (serve->catalog)
    service_index = gbd_catalog_find_service (serve->catalog, id);
  if (service_index == GBD_SERVICE_NONE)
    return "(no longer listed)";
  return gbd_catalog_get_service (serve->catalog, service_index)->name;
}

static json_t *
explain_packet (const gbd_serve_t *serve, const gbd_flow_t *flow,
                gbd_packet_kind_t kind)
{
  gbd_packet_t packet = {
    .kind = kind,
    .flow = *flow,
    .length = 60,
    .has_ack = kind != GBD_PACKET_OPENING,
  };
  gbd_decision_t decision;
  gbd_engine_route (serve->engine, &packet, NULL, gbd_serve_now (), &decision);

  json_t *result = json_pack (
      "{s:s, s:s, s:o, s:i, s:I}", "goes to", action_strings[decision.kind],
      "because", gbd_rule_strings[decision.rule], "hash",
      make_hex_string (decision.hash), "bucket", (int)decision.bucket,
      "table version", (json_int_t)decision.version);
  if (!result)
    return NULL;
  if (decision.service != GBD_SERVICE_NONE)
    {
      const gbd_service_info_t *service
          = gbd_catalog_get_service (serve->catalog, decision.service);
      const gbd_plan_t *plan
          = gbd_catalog_get_plan (serve->catalog, service->plan);
      json_object_set_new (result, "service", json_string (service->name));
      json_object_set_new (result, "customer",
                           json_string (gbd_catalog_get_customer (
                                            serve->catalog, service->customer)
                                            ->name));
      json_object_set_new (result, "plan", json_string (plan->name));
    }
  if (decision.kind == GBD_ACTION_BACKEND)
    {
      char address[GBD_ADDRESS_TEXT_MAX];
      gbd_address_format (&decision.backend, address);
      json_object_set_new (result, "backend server", json_string (address));
    }
  if (decision.kind == GBD_ACTION_PEER)
    json_object_set_new (result, "instance",
                         json_string (get_peer_name (serve, decision.peer)));
  if (decision.kind == GBD_ACTION_DROP)
    json_object_set_new (result, "drop",
                         json_string (gbd_drop_strings[decision.drop]));
  return result;
}

static const char *
get_peer_name (const gbd_serve_t *serve, gbd_instance_id_t id)
{
  if (id == serve->self)
    return serve->settings->name;
  for (uint32_t i = 0; i < serve->connected_peer_count; i++)
    {
      if (serve->connected_peers[i].id == id)
        return serve->connected_peers[i].name;
    }
  return "(not linked)";
}
