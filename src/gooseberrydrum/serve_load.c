#include "serve.h"

static void add_customer_counters (gbd_counters_t *counters,
                                   const gbd_serve_t *serve,
                                   uint32_t customer);
static void add_service_counters (gbd_counters_t *counters,
                                  const gbd_serve_t *serve,
                                  const gbd_service_info_t *info);
static void add_counter (gbd_counters_t *counters,
                         const gbd_counter_info_t *info, uint64_t number);

void
gbd_serve_tick_load (gbd_serve_t *serve, gbd_time_t now)
{
  gbd_load_peer_t peers[GBD_INCARNATIONS_MAX];
  uint32_t count = 0;
  const gbd_membership_t *membership = gbd_node_get_membership (serve->node);
  uint32_t peer_count = gbd_membership_get_peer_count (membership);
  for (uint32_t i = 0; i < peer_count && count < GBD_INCARNATIONS_MAX; i++)
    {
      gbd_peer_info_t info;
      gbd_membership_get_peer (membership, i, now, &info);
      if (info.is_reachable)
        peers[count++] = (gbd_load_peer_t){ info.id, info.is_watching };
    }
  bool is_watching = gbd_node_is_watching (serve->node);
  gbd_load_tick (serve->load, is_watching, peers, count, now);
  if (is_watching && now >= serve->weights_due)
    {
      serve->weights_due = now + GBD_BALANCE_REPORT_INTERVAL;
      gbd_serve_apply_backends (serve, now);
    }
}

void
gbd_serve_add_load_counters (gbd_counters_t *counters,
                             const gbd_serve_t *serve)
{
  if (!serve->catalog)
    return;
  uint32_t customers = gbd_catalog_get_customer_count (serve->catalog);
  for (uint32_t i = 0; i < customers; i++)
    add_customer_counters (counters, serve, i);
  uint32_t services = gbd_catalog_get_service_count (serve->catalog);
  for (uint32_t i = 0; i < services; i++)
    add_service_counters (counters, serve,
                          gbd_catalog_get_service (serve->catalog, i));
}

json_t *
gbd_serve_describe_customers (const gbd_serve_t *serve)
{
  json_t *customers = json_array ();
  const gbd_limits_t *limits = gbd_load_get_limits (serve->load);
  gbd_limits_info_t info;
  for (uint32_t i = 0;
       serve->catalog && gbd_limits_get (limits, i, &info) == GBD_OK; i++)
    {
      const gbd_customer_info_t *customer
          = gbd_catalog_get_customer (serve->catalog, i);
      const gbd_plan_t *plan
          = gbd_catalog_get_plan (serve->catalog, customer->plan);
      json_array_append_new (
          customers,
          json_pack ("{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "name",
                     customer->name, "plan", plan->name, "open_flows",
                     (json_int_t)info.open_flows, "open_flows_limit",
                     (json_int_t)plan->open_flows, "new_flows_limit",
                     (json_int_t)plan->new_flows_per_second, "share_here",
                     (json_int_t)info.share_per_second, "open_left_here",
                     (json_int_t)info.open_flows_left, "admitted_here",
                     (json_int_t)info.admitted, "refused_here",
                     (json_int_t)info.refused));
    }
  return customers;
}

static void
add_customer_counters (gbd_counters_t *counters, const gbd_serve_t *serve,
                       uint32_t customer)
{
  const char *name = gbd_catalog_get_customer (serve->catalog, customer)->name;
  gbd_limits_info_t info;
  if (gbd_limits_get (gbd_load_get_limits (serve->load), customer, &info)
      != GBD_OK)
    return;
  const struct
  {
    gbd_counter_info_t info;
    uint64_t number;
  } rows[] = {
    { { "gooseberrydrum_customer_admitted_total",
        "New flows admitted by this instance.", GBD_COUNTER_MONOTONIC,
        "customer", name },
      info.admitted },
    { { "gooseberrydrum_customer_refused_total",
        "New flows refused by this instance because of the plan's limits.",
        GBD_COUNTER_MONOTONIC, "customer", name },
      info.refused },
    { { "gooseberrydrum_customer_share_per_second",
        "New flows per second that this instance may admit.",
        GBD_COUNTER_GAUGE, "customer", name },
      info.share_per_second },
    { { "gooseberrydrum_customer_open_flows",
        "Open flows of the group, as known to this instance.",
        GBD_COUNTER_GAUGE, "customer", name },
      info.open_flows },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    add_counter (counters, &rows[i].info, rows[i].number);
}

static void
add_service_counters (gbd_counters_t *counters, const gbd_serve_t *serve,
                      const gbd_service_info_t *service)
{
  const gbd_table_t *table = gbd_engine_get_table (serve->engine, service->id);
  gbd_backend_load_t sum = { 0 };
  for (uint32_t i = 0; table && i < table->backend_count; i++)
    {
      gbd_backend_load_t load;
      gbd_engine_get_load (serve->engine, service->id, (gbd_slot_t)i, &load);
      sum.new_flows += load.new_flows;
      sum.open_flows += load.open_flows;
      sum.bytes += load.bytes;
    }
  const struct
  {
    gbd_counter_info_t info;
    uint64_t number;
  } rows[] = {
    { { "gooseberrydrum_service_new_flows",
        "New flows sent to the current backend servers.", GBD_COUNTER_GAUGE,
        "service", service->name },
      sum.new_flows },
    { { "gooseberrydrum_service_open_flows",
        "Open flows that this instance saw first.", GBD_COUNTER_GAUGE,
        "service", service->name },
      sum.open_flows },
    { { "gooseberrydrum_service_bytes",
        "Bytes sent to the current backend servers.", GBD_COUNTER_GAUGE,
        "service", service->name },
      sum.bytes },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    add_counter (counters, &rows[i].info, rows[i].number);
}

static void
add_counter (gbd_counters_t *counters, const gbd_counter_info_t *info,
             uint64_t number)
{
  gbd_counter_t counter = gbd_counters_add (counters, info);
  if (counter != GBD_COUNTER_NONE)
    gbd_counters_set (counters, counter, number);
}
