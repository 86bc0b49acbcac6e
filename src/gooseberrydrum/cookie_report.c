#include "cookie_serve.h"

#include <stdio.h>
#include <stdlib.h>

#include "counters.h"

#define FLOW_TEXT_MAX ((size_t)2 * GBD_ADDRESS_TEXT_MAX)

static void count_setup_time (gbd_cookie_serve_t *serve, gbd_time_t time);
static gbd_event_t select_event (const gbd_director_decision_t *decision);
static json_t *make_event_fields (const gbd_cookie_serve_t *serve,
                                  const gbd_packet_t *packet,
                                  const gbd_director_decision_t *decision,
                                  gbd_time_t now);
static void add_age (json_t *fields, const char *name, gbd_time_t read_at,
                     gbd_time_t now);
static json_int_t get_ms_since_response (const gbd_suspicion_t *suspicion,
                                         gbd_time_t now);
static void add_probe_result (json_t *fields, const gbd_suspicion_t *suspicion,
                              gbd_time_t now);
static void log_suspected_server (gbd_cookie_serve_t *serve,
                                  const gbd_packet_t *packet,
                                  const gbd_director_decision_t *decision,
                                  const gbd_flow_observation_t *observation,
                                  gbd_time_t now);
static void format_flow (const gbd_packet_t *packet, char *text);
static const char *get_server_name (const gbd_cookie_serve_t *serve,
                                    gbd_pool_handle_t handle);
static char *format_counters (void *data);
static void add_datapath_counters (gbd_counters_t *counters,
                                   const gbd_cookie_datapath_t *datapath);
static void add_decision_counters (gbd_counters_t *counters,
                                   const gbd_cookie_serve_t *serve);
static void add_setup_time_counters (gbd_counters_t *counters,
                                     const gbd_cookie_serve_t *serve);
static void add_state_counters (gbd_counters_t *counters,
                                const gbd_cookie_serve_t *serve);
static void add_group_counters (gbd_counters_t *counters,
                                const gbd_cookie_serve_t *serve,
                                gbd_time_t now);
static void add_report_counters (gbd_counters_t *counters,
                                 const gbd_cookie_serve_t *serve);
static json_t *make_status (void *data);
static json_t *make_dump (void *data);
static json_t *make_explanation (void *data, const gbd_flow_t *flow);
static json_t *make_decision_fields (const gbd_cookie_serve_t *serve,
                                     const gbd_packet_t *packet,
                                     const gbd_director_decision_t *decision,
                                     gbd_time_t now);
static json_t *make_server_list (const gbd_cookie_serve_t *serve,
                                 gbd_time_t now);
static bool is_ready (void *data);

const gbd_admin_callbacks_t gbd_cookie_admin_callbacks = {
  .counters = format_counters,
  .status = make_status,
  .dump = make_dump,
  .explain = make_explanation,
  .is_ready = is_ready,
};

static const char *const state_strings[] = { "ready", "draining", "gone" };
static const char *const action_strings[]
    = { "drop", "backend server", "instance", "reset" };

void
gbd_cookie_report_decision (void *data, const gbd_packet_t *packet,
                            const gbd_director_decision_t *decision,
                            const gbd_flow_observation_t *observation,
                            gbd_time_t now)
{
  gbd_cookie_serve_t *serve = data;
  if (observation->is_established)
    count_setup_time (serve, observation->setup_time);
  if (observation->is_newly_suspected)
    log_suspected_server (serve, packet, decision, observation, now);
  if (observation->is_retransmitted && packet->kind != GBD_PACKET_OPENING
      && gbd_event_log_admit (serve->event_log, GBD_EVENT_FLOW_WAITS, now))
    {
      json_t *fields = make_event_fields (serve, packet, decision, now);
      json_object_set_new (
          fields, "unanswered_ms",
          json_integer (
              (json_int_t)(observation->unanswered_time / GBD_MILLISECOND)));
      gbd_event_log_write (serve->event_log, GBD_EVENT_FLOW_WAITS, fields);
    }
  if (observation->has_recovered
      && gbd_event_log_admit (serve->event_log, GBD_EVENT_SERVER_HEARD, now))
    gbd_event_log_write (
        serve->event_log, GBD_EVENT_SERVER_HEARD,
        json_pack ("{s:s}", "server",
                   get_server_name (serve, decision->server)));
  /* Packets routed by a valid cookie and duplicates of an opening packet are
     not logged. */
  if (decision->rule == GBD_DIRECTOR_RULE_COOKIE
      || decision->rule == GBD_DIRECTOR_RULE_SAME)
    return;
  gbd_event_t event = select_event (decision);
  if (gbd_event_log_admit (serve->event_log, event, now))
    gbd_event_log_write (serve->event_log, event,
                         make_event_fields (serve, packet, decision, now));
}

void
gbd_cookie_report_probe (void *data, const gbd_pool_server_t *server,
                         gbd_time_t began_at, gbd_time_t now)
{
  gbd_cookie_serve_t *serve = data;
  const gbd_suspicion_t *suspicion = &server->load.suspicion;
  if (!gbd_event_log_admit (serve->event_log, GBD_EVENT_SERVER_PROBED, now))
    return;
  gbd_event_log_write (
      serve->event_log, GBD_EVENT_SERVER_PROBED,
      json_pack ("{s:s, s:s, s:I, s:i, s:I}", "server", server->entry.name,
                 "result",
                 gbd_probe_strings[gbd_suspicion_get_probe (suspicion, now)],
                 "probe_ms", (json_int_t)((now - began_at) / GBD_MILLISECOND),
                 "unanswered", (int)suspicion->unanswered, "answered_ms_ago",
                 get_ms_since_response (suspicion, now)));
}

void
gbd_cookie_report_dump (gbd_cookie_serve_t *serve)
{
  json_t *dump = make_dump (serve);
  char *text = json_dumps (dump, JSON_COMPACT);
  if (text)
    fprintf (stderr, "%s\n", text);
  free (text);
  json_decref (dump);
}

static void
count_setup_time (gbd_cookie_serve_t *serve, gbd_time_t time)
{
  uint32_t bucket = 0;
  while (bucket + 1 < GBD_SETUP_TIME_BUCKETS
         && time > (GBD_MILLISECOND << bucket))
    bucket++;
  serve->setup_time_counts[bucket]++;
}

static gbd_event_t
select_event (const gbd_director_decision_t *decision)
{
  if (decision->kind == GBD_ACTION_DROP)
    return GBD_EVENT_FLOW_DROPPED;
  if (decision->kind == GBD_ACTION_RESET)
    return GBD_EVENT_FLOW_REFUSED;
  return decision->rule == GBD_DIRECTOR_RULE_MOVED ? GBD_EVENT_FLOW_MOVED
                                                   : GBD_EVENT_FLOW_PLACED;
}

static json_t *
make_event_fields (const gbd_cookie_serve_t *serve, const gbd_packet_t *packet,
                   const gbd_director_decision_t *decision, gbd_time_t now)
{
  char flow[FLOW_TEXT_MAX];
  format_flow (packet, flow);
  json_t *fields = json_pack ("{s:s, s:s, s:I}", "flow", flow, "rule",
                              gbd_director_rule_strings[decision->rule],
                              "version", (json_int_t)decision->version);
  add_age (fields, "version_age_ms", serve->routes_read_at, now);
  add_age (fields, "list_age_ms", serve->servers_confirmed_at, now);
  if (decision->server != GBD_POOL_NONE)
    {
      const gbd_pool_server_t *server = gbd_pool_peek (
          gbd_director_peek_pool (serve->director), decision->server);
      json_object_set_new (fields, "server", json_string (server->entry.name));
      json_object_set_new (fields, "waiting",
                           json_integer (server->load.waiting));
      json_object_set_new (fields, "unanswered",
                           json_integer (server->load.suspicion.unanswered));
      gbd_time_t response_time
          = gbd_response_time_get (&server->load.response_time, now);
      if (response_time)
        json_object_set_new (
            fields, "response_ms",
            json_integer ((json_int_t)(response_time / GBD_MILLISECOND)));
      if (decision->rule == GBD_DIRECTOR_RULE_SERVER_DOWN)
        add_probe_result (fields, &server->load.suspicion, now);
    }
  if (decision->previous != GBD_POOL_NONE)
    json_object_set_new (
        fields, "former",
        json_string (get_server_name (serve, decision->previous)));
  gbd_cookie_room_add_fields (fields, serve->director, decision, now);
  if (decision->is_to_cold)
    json_object_set_new (fields, "cold", json_true ());
  if (decision->is_limited)
    json_object_set_new (fields, "cold_limit", json_true ());
  if (decision->kind == GBD_ACTION_DROP)
    json_object_set_new (fields, "cause",
                         json_string (gbd_drop_strings[decision->drop]));
  return fields;
}

/* Adds the age of a state, unless it has not arrived yet.
   @param read_at when the state arrived; 0: never */
static void
add_age (json_t *fields, const char *name, gbd_time_t read_at, gbd_time_t now)
{
  if (read_at)
    json_object_set_new (
        fields, name,
        json_integer ((json_int_t)((now - read_at) / GBD_MILLISECOND)));
}

/* Returns the time in ms since the last response of the backend server, or -1
   if this instance has received none from it. */
static json_int_t
get_ms_since_response (const gbd_suspicion_t *suspicion, gbd_time_t now)
{
  return suspicion->last_response_at ? (
             json_int_t)((now - suspicion->last_response_at) / GBD_MILLISECOND)
                                     : -1;
}

/* Adds the probe result that caused the reset of a flow. */
static void
add_probe_result (json_t *fields, const gbd_suspicion_t *suspicion,
                  gbd_time_t now)
{
  gbd_probe_result_t probe = gbd_suspicion_get_probe (suspicion, now);
  json_object_set_new (fields, "probe",
                       json_string (gbd_probe_strings[probe]));
  json_object_set_new (fields, "probe_age_ms",
                       json_integer ((json_int_t)((now - suspicion->probed_at)
                                                  / GBD_MILLISECOND)));
}

static void
log_suspected_server (gbd_cookie_serve_t *serve, const gbd_packet_t *packet,
                      const gbd_director_decision_t *decision,
                      const gbd_flow_observation_t *observation,
                      gbd_time_t now)
{
  if (!gbd_event_log_admit (serve->event_log, GBD_EVENT_SERVER_SILENT, now))
    return;
  gbd_pool_handle_t handle = decision->rule == GBD_DIRECTOR_RULE_MOVED
                                 ? decision->previous
                                 : decision->server;
  const gbd_pool_server_t *server
      = gbd_pool_peek (gbd_director_peek_pool (serve->director), handle);
  char flow[FLOW_TEXT_MAX];
  format_flow (packet, flow);
  gbd_event_log_write (
      serve->event_log, GBD_EVENT_SERVER_SILENT,
      json_pack ("{s:s, s:s, s:s, s:I, s:I, s:i}", "server",
                 server->entry.name, "flow", flow, "repeated",
                 packet->kind == GBD_PACKET_OPENING ? "opening" : "data",
                 "unanswered_ms",
                 (json_int_t)(observation->unanswered_time / GBD_MILLISECOND),
                 "answered_ms_ago",
                 get_ms_since_response (&server->load.suspicion, now),
                 "waiting", (int)server->load.waiting));
}

static void
format_flow (const gbd_packet_t *packet, char *text)
{
  char caller[GBD_ADDRESS_TEXT_MAX];
  char service[GBD_ADDRESS_TEXT_MAX];
  gbd_address_format (&packet->flow.caller, caller);
  gbd_address_format (&packet->flow.service, service);
  snprintf (text, FLOW_TEXT_MAX, "%s-%s", caller, service);
}

static const char *
get_server_name (const gbd_cookie_serve_t *serve, gbd_pool_handle_t handle)
{
  return gbd_pool_peek (gbd_director_peek_pool (serve->director), handle)
      ->entry.name;
}

static char *
format_counters (void *data)
{
  const gbd_cookie_serve_t *serve = data;
  gbd_counters_t *counters = gbd_counters_new ();
  if (!counters)
    return NULL;
  add_datapath_counters (counters, serve->datapath);
  add_decision_counters (counters, serve);
  add_setup_time_counters (counters, serve);
  add_state_counters (counters, serve);
  gbd_cookie_room_add_counters (counters, serve->director,
                                serve->clock (NULL));
  char *text = gbd_counters_format (counters);
  gbd_counters_delete (counters);
  return text;
}

static void
add_datapath_counters (gbd_counters_t *counters,
                       const gbd_cookie_datapath_t *datapath)
{
  gbd_cookie_datapath_stats_t stats;
  gbd_cookie_datapath_get_stats (datapath, &stats);
  gbd_counters_put (counters, "gooseberrydrum_fabric_packets_total",
                    "Packets received from the fabric.", GBD_COUNTER_MONOTONIC,
                    NULL, NULL, stats.packets);
  gbd_counters_put (counters, "gooseberrydrum_fabric_bytes_total",
                    "Bytes received from the fabric.", GBD_COUNTER_MONOTONIC,
                    NULL, NULL, stats.bytes);
  gbd_counters_put (counters, "gooseberrydrum_backend_packets_total",
                    "Packets sent to backend servers.", GBD_COUNTER_MONOTONIC,
                    NULL, NULL, stats.to_backend_packets);
  gbd_counters_put (counters, "gooseberrydrum_backend_bytes_total",
                    "Bytes sent to backend servers.", GBD_COUNTER_MONOTONIC,
                    NULL, NULL, stats.to_backend_bytes);
  gbd_counters_put (counters, "gooseberrydrum_resets_total",
                    "Packets answered with a reset.", GBD_COUNTER_MONOTONIC,
                    NULL, NULL, stats.resets);
  for (int i = GBD_DROP_NONE + 1; i < GBD_DROP_COUNT; i++)
    gbd_counters_put (counters, "gooseberrydrum_drops_total",
                      "Dropped packets by cause.", GBD_COUNTER_MONOTONIC,
                      "cause", gbd_drop_strings[i], stats.drops[i]);
}

static void
add_decision_counters (gbd_counters_t *counters,
                       const gbd_cookie_serve_t *serve)
{
  gbd_director_stats_t stats;
  gbd_director_get_stats (serve->director, &stats);
  for (int i = 0; i < GBD_DIRECTOR_RULE_COUNT; i++)
    gbd_counters_put (counters, "gooseberrydrum_decisions_total",
                      "Routing decisions by rule.", GBD_COUNTER_MONOTONIC,
                      "rule", gbd_director_rule_strings[i], stats.rules[i]);
  if (serve->evacuations)
    {
      gbd_counters_put (counters, "gooseberrydrum_evacuation_resets_total",
                        "Opening packets answered with a reset because of "
                        "evacuated zones.",
                        GBD_COUNTER_MONOTONIC, NULL, NULL,
                        stats.evacuation_resets);
      gbd_counters_put (
          counters, "gooseberrydrum_evacuated_zones", "Evacuated zones.",
          GBD_COUNTER_GAUGE, NULL, NULL,
          gbd_director_peek_evacuations (serve->director)->count);
    }
  gbd_counters_put (
      counters, "gooseberrydrum_cold_packets_total",
      "Opening packets sent to cold backend servers with a limit.",
      GBD_COUNTER_MONOTONIC, NULL, NULL, stats.cold_packets);
  gbd_counters_put (
      counters, "gooseberrydrum_cold_refusals_total",
      "Opening packets without a backend server while a limit for "
      "cold ones applies, by action.",
      GBD_COUNTER_MONOTONIC, "action", "reset", stats.cold_resets);
  gbd_counters_put (
      counters, "gooseberrydrum_cold_refusals_total",
      "Opening packets without a backend server while a limit for "
      "cold ones applies, by action.",
      GBD_COUNTER_MONOTONIC, "action", "drop", stats.cold_drops);
  for (uint32_t i = 0; i < serve->cold_service_count; i++)
    gbd_counters_put (counters, "gooseberrydrum_cold_servers",
                      "Cold backend servers of a service with a limit.",
                      GBD_COUNTER_GAUGE, "service",
                      serve->cold_services[i].name,
                      serve->cold_services[i].cold_servers);
  gbd_counters_put (counters, "gooseberrydrum_watched_flows",
                    "Flows tracked for responses.", GBD_COUNTER_GAUGE, NULL,
                    NULL, stats.tracked_flows);
}

static void
add_setup_time_counters (gbd_counters_t *counters,
                         const gbd_cookie_serve_t *serve)
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < GBD_SETUP_TIME_BUCKETS; i++)
    {
      char bound[GBD_NAME_MAX];
      sum += serve->setup_time_counts[i];
      if (i + 1 < GBD_SETUP_TIME_BUCKETS)
        snprintf (bound, sizeof bound, "%g", (double)(1u << i) / 1000.0);
      else
        snprintf (bound, sizeof bound, "+Inf");
      gbd_counters_put (
          counters, "gooseberrydrum_opening_seconds_bucket",
          "Time from an opening packet to the caller's next packet.",
          GBD_COUNTER_MONOTONIC, "le", bound, sum);
    }
}

static void
add_state_counters (gbd_counters_t *counters, const gbd_cookie_serve_t *serve)
{
  gbd_time_t now = serve->clock (NULL);
  const gbd_routes_t *routes = gbd_director_get_routes (serve->director);
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  gbd_platform_stats_t routes_calls;
  gbd_platform_stats_t servers_calls;
  gbd_platform_stats_t evacuations_calls;
  gbd_platform_get_stats (serve->platform, &routes_calls);
  gbd_platform_get_stats (serve->servers_platform, &servers_calls);
  gbd_cookie_evacuations_get_calls (serve, &evacuations_calls);
  gbd_counters_put (counters, "gooseberrydrum_routes_version",
                    "Version of the installed routes.", GBD_COUNTER_GAUGE,
                    NULL, NULL, routes ? gbd_routes_get_version (routes) : 0);
  gbd_counters_put (
      counters, "gooseberrydrum_routes_age_seconds",
      "Time since the installed routes were read.", GBD_COUNTER_GAUGE, NULL,
      NULL,
      routes ? (uint64_t)((now - serve->routes_read_at) / GBD_SECOND) : 0);
  gbd_counters_put (counters, "gooseberrydrum_backend_servers",
                    "Backend servers that the platform lists.",
                    GBD_COUNTER_GAUGE, NULL, NULL, gbd_pool_get_count (pool));
  gbd_counters_put (counters, "gooseberrydrum_platform_away",
                    "1 while the platform is unreachable.", GBD_COUNTER_GAUGE,
                    NULL, NULL, gbd_pool_is_platform_unreachable (pool));
  gbd_counters_put (
      counters, "gooseberrydrum_platform_calls_total",
      "Calls to the platform.", GBD_COUNTER_MONOTONIC, NULL, NULL,
      routes_calls.calls + servers_calls.calls + evacuations_calls.calls);
  gbd_counters_put (counters, "gooseberrydrum_platform_failures_total",
                    "Calls to the platform that failed.",
                    GBD_COUNTER_MONOTONIC, NULL, NULL,
                    routes_calls.failures + servers_calls.failures
                        + evacuations_calls.failures);
  gbd_counters_put (counters, "gooseberrydrum_log_suppressed_total",
                    "Log events suppressed by rate limiting.",
                    GBD_COUNTER_MONOTONIC, NULL, NULL,
                    gbd_event_log_get_suppressed (serve->event_log));
  gbd_prober_stats_t probes;
  if (serve->prober)
    gbd_prober_get_stats (serve->prober, &probes);
  for (int i = 0; serve->prober && i < GBD_PROBE_COUNT; i++)
    gbd_counters_put (counters, "gooseberrydrum_probes_total",
                      "Probes of suspected backend servers by result.",
                      GBD_COUNTER_MONOTONIC, "result", gbd_probe_strings[i],
                      probes.results[i]);
  if (serve->relay)
    gbd_counters_put (counters, "gooseberrydrum_relay_answers_total",
                      "Responses to instances that read from this relay.",
                      GBD_COUNTER_MONOTONIC, NULL, NULL,
                      gbd_relay_get_response_count (serve->relay));
  if (serve->members)
    add_group_counters (counters, serve, now);
  if (serve->reports)
    add_report_counters (counters, serve);
  uint32_t capacity = gbd_pool_get_capacity (pool);
  for (uint32_t i = 0; i < capacity; i++)
    {
      const gbd_pool_server_t *server
          = gbd_pool_peek (pool, (gbd_pool_handle_t)i);
      if (server->is_used
          && gbd_suspicion_is_suspected (&server->load.suspicion))
        gbd_counters_put (
            counters, "gooseberrydrum_suspected",
            "Missing responses of a backend server since its last "
            "response.",
            GBD_COUNTER_GAUGE, "server", server->entry.name,
            server->load.suspicion.unanswered);
    }
}

static void
add_group_counters (gbd_counters_t *counters, const gbd_cookie_serve_t *serve,
                    gbd_time_t now)
{
  gbd_cookie_members_stats_t stats;
  gbd_cookie_members_get_stats (serve, &stats, now);
  gbd_counters_put (counters, "gooseberrydrum_group_instances",
                    "Instances of the group; 0 if unknown.", GBD_COUNTER_GAUGE,
                    NULL, NULL, stats.view.total);
  gbd_counters_put (
      counters, "gooseberrydrum_group_zone_instances",
      "Instances of the group in the zone of this instance; 0 if "
      "unknown.",
      GBD_COUNTER_GAUGE, NULL, NULL, stats.view.zone_count);
  gbd_counters_put (counters, "gooseberrydrum_group_zone_rank",
                    "Position of this instance among those of its zone.",
                    GBD_COUNTER_GAUGE, NULL, NULL, stats.view.zone_rank);
  gbd_counters_put (counters, "gooseberrydrum_group_age_seconds",
                    "Time since the view of the group was received.",
                    GBD_COUNTER_GAUGE, NULL, NULL,
                    (uint64_t)(stats.age / GBD_SECOND));
  gbd_counters_put (counters, "gooseberrydrum_group_requests_total",
                    "Requests of this relay for the members at other relays.",
                    GBD_COUNTER_MONOTONIC, NULL, NULL, stats.requests);
}

static void
add_report_counters (gbd_counters_t *counters, const gbd_cookie_serve_t *serve)
{
  gbd_cookie_reports_stats_t stats;
  gbd_cookie_reports_get_stats (serve, &stats);
  const struct
  {
    const char *result;
    uint64_t number;
  } rows[] = {
    { "sent", stats.reports_sent },
    { "applied", stats.reports_applied },
    { "outdated", stats.reports_outdated },
    { "distrusted", stats.reports_distrusted },
    { "dropped", stats.reports_dropped },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    gbd_counters_put (counters, "gooseberrydrum_reports_total",
                      "Reports on backend servers by what became of them.",
                      GBD_COUNTER_MONOTONIC, "result", rows[i].result,
                      rows[i].number);
  gbd_counters_put (counters, "gooseberrydrum_report_bytes_total",
                    "Bytes of the datagrams with reports that were sent.",
                    GBD_COUNTER_MONOTONIC, NULL, NULL, stats.bytes_sent);
  gbd_counters_put (counters, "gooseberrydrum_report_errors_total",
                    "Datagrams with reports that were malformed or could not "
                    "be sent.",
                    GBD_COUNTER_MONOTONIC, NULL, NULL,
                    stats.malformed + stats.send_errors);
}

static json_t *
make_status (void *data)
{
  gbd_cookie_serve_t *serve = data;
  const gbd_routes_t *routes = gbd_director_get_routes (serve->director);
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  gbd_time_t now = serve->clock (NULL);
  json_t *status = json_pack (
      "{s:s, s:s, s:s, s:b, s:b, s:b, s:I, s:i, s:i, s:s}", "name",
      serve->settings->name, "zone", serve->settings->zone, "policy",
      serve->settings->policy, "ready", is_ready (serve), "stopping",
      serve->is_stopping, "platform_away",
      gbd_pool_is_platform_unreachable (pool), "routes_version",
      routes ? (json_int_t)gbd_routes_get_version (routes) : (json_int_t)0,
      "routes", routes ? (int)gbd_routes_get_count (routes) : 0,
      "backend_servers", (int)gbd_pool_get_count (pool), "list_from",
      gbd_cookie_servers_use_platform (serve) ? "platform" : "relay");
  add_age (status, "routes_age_ms", serve->routes_read_at, now);
  add_age (status, "list_age_ms", serve->servers_confirmed_at, now);
  json_object_set_new (status, "room",
                       gbd_cookie_room_describe (serve->director, now));
  if (serve->members)
    json_object_set_new (status, "group",
                         gbd_cookie_members_describe (serve, now));
  gbd_cookie_evacuations_add_status (serve, status);
  gbd_cookie_warm_up_add_status (serve, status);
  return status;
}

static json_t *
make_dump (void *data)
{
  gbd_cookie_serve_t *serve = data;
  json_t *dump = make_status (serve);
  json_object_set_new (dump, "servers",
                       make_server_list (serve, serve->clock (NULL)));
  return dump;
}

/* Describes the decision on an opening packet of the flow.  The destination of
   later packets depends on their cookie, which this function does not know;
   for a flow that this instance tracks, the decision on its next packet is
   added. */
static json_t *
make_explanation (void *data, const gbd_flow_t *flow)
{
  gbd_cookie_serve_t *serve = data;
  gbd_time_t now = serve->clock (NULL);
  gbd_packet_t packet = { .kind = GBD_PACKET_OPENING, .flow = *flow };
  gbd_director_decision_t decision;
  gbd_director_route (serve->director, &packet, now, &decision);
  json_t *fields = make_decision_fields (serve, &packet, &decision, now);
  const gbd_tracked_flow_t *tracked
      = gbd_director_find_flow (serve->director, flow);
  if (!tracked || tracked->phase != GBD_FLOW_ESTABLISHED)
    return fields;
  packet.kind = GBD_PACKET_ESTABLISHED;
  gbd_director_route_next (serve->director, flow, tracked, now, &decision);
  json_t *open_fields = make_decision_fields (serve, &packet, &decision, now);
  json_object_set_new (
      open_fields, "answered_ms_ago",
      json_integer (
          (json_int_t)((now - tracked->last_response_at) / GBD_MILLISECOND)));
  json_object_set_new (open_fields, "waits",
                       json_boolean (tracked->is_waiting));
  json_object_set_new (fields, "open_here", open_fields);
  return fields;
}

/* Describes a decision in the form that `explain` prints. */
static json_t *
make_decision_fields (const gbd_cookie_serve_t *serve,
                      const gbd_packet_t *packet,
                      const gbd_director_decision_t *decision, gbd_time_t now)
{
  json_t *fields = make_event_fields (serve, packet, decision, now);
  json_object_set_new (fields, "action",
                       json_string (action_strings[decision->kind]));
  gbd_cookie_evacuations_explain (serve, fields);
  return fields;
}

static json_t *
make_server_list (const gbd_cookie_serve_t *serve, gbd_time_t now)
{
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  json_t *servers = json_array ();
  uint32_t capacity = gbd_pool_get_capacity (pool);
  for (uint32_t i = 0; i < capacity; i++)
    {
      const gbd_pool_server_t *server
          = gbd_pool_peek (pool, (gbd_pool_handle_t)i);
      if (!server->is_used)
        continue;
      char address[GBD_ADDRESS_TEXT_MAX];
      gbd_address_format (&server->entry.backend.address, address);
      json_t *fields = json_pack (
          "{s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:i, s:I, s:I, s:s}", "name",
          server->entry.name, "address", address, "state",
          state_strings[server->entry.backend.state], "listed",
          server->is_listed, "cold", now < server->entry.warm_at, "waiting",
          (int)server->load.waiting, "open", (int)server->load.open,
          "suspected", (int)server->load.suspicion.unanswered, "placed",
          (json_int_t)server->load.placed, "unanswered",
          (json_int_t)server->load.unanswered, "probe",
          gbd_probe_strings[gbd_suspicion_get_probe (&server->load.suspicion,
                                                     now)]);
      gbd_cookie_warm_up_add_server (serve, server, fields, now);
      json_array_append_new (servers, fields);
    }
  return servers;
}

static bool
is_ready (void *data)
{
  gbd_cookie_serve_t *serve = data;
  return gbd_director_is_ready (serve->director) && !serve->is_stopping;
}
