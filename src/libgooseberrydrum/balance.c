#include "gooseberrydrum/balance.h"

#include <stdlib.h>
#include <string.h>

#define PERMILLE 1000
#define LOAD_MAX (UINT32_C (100) * PERMILLE)
#define FACTOR_UNIT 10000 /* fixed-point value of a weight factor of 1 */
/* Smallest means per server, of open flows and of kilobytes per report
   interval.  A service below both has too little traffic to compare its
   servers. */
#define MEAN_OPEN_MIN 8
#define MEAN_KILOBYTES_MIN 64
/* Gain of the control loop.  A changed weight affects new flows only, so the
   load of a server changes only as fast as its old flows end.  The gain
   therefore grows with the mean lifetime of flows.  With a gain below 1, the
   loop cannot oscillate, however short the flows are. */
#define GAIN_LIFETIME_MS 20000
#define GAIN_MIN_PERMILLE 800
#define GAIN_MAX_PERMILLE 4000
/* Smallest change of a weight factor, in percent of FACTOR_UNIT.  A smaller
   change would move buckets for little effect. */
#define CHANGE_MIN_PERCENT 10
/* Weight factor of a server at its maximum of open flows.  The server still
   gets a few new flows, because otherwise its recovery could not be
   observed. */
#define SATURATED_FACTOR (FACTOR_UNIT / 20)

typedef struct
{
  gbd_instance_id_t from;
  uint32_t new_flows;
  uint32_t open_flows;
  uint32_t kilobytes;
} instance_load_t;

typedef struct
{
  gbd_backend_id_t id;
  gbd_time_t first_seen;
  uint32_t factor; /* of the weight, in units of 1 / FACTOR_UNIT */
  bool is_desired;
  uint32_t load_count;
  instance_load_t loads[GBD_INCARNATIONS_MAX];
} server_t;

struct gbd_balance
{
  gbd_time_t started_at;
  gbd_time_t adjusted_at;
  bool has_started;
  uint32_t count;
  uint32_t capacity;
  server_t *servers;
};

static server_t *find_server (const gbd_balance_t *balance,
                              gbd_backend_id_t id);
static server_t *find_or_add_server (gbd_balance_t *balance,
                                     gbd_backend_id_t id, gbd_time_t now);
static instance_load_t *find_or_add_load (server_t *server,
                                          gbd_instance_id_t from);
static void start_adjusting (gbd_balance_t *balance, gbd_time_t now);
static uint32_t count_new_flow_buckets (const gbd_table_t *table,
                                        gbd_backend_id_t id);
static uint32_t clamp_factor (int64_t factor);
static void sum_loads (const server_t *server, gbd_balance_info_t *info);
static void adjust_factors (gbd_balance_t *balance, uint8_t percent);
static uint32_t get_load_permille (const gbd_balance_info_t *info,
                                   uint64_t open_mean,
                                   uint64_t kilobytes_mean);
static uint32_t get_gain_permille (uint64_t open, uint64_t new_flows,
                                   uint8_t percent);
static uint32_t get_adjusted_factor (uint32_t factor, uint32_t load,
                                     uint32_t gain);
static uint32_t get_slow_start_factor (const gbd_balance_t *balance,
                                       const server_t *server, gbd_time_t now);
static uint32_t get_capacity_factor (const server_t *server);

gbd_balance_t *
gbd_balance_new (void)
{
  return calloc (1, sizeof (gbd_balance_t));
}

void
gbd_balance_delete (gbd_balance_t *balance)
{
  if (!balance)
    return;
  free (balance->servers);
  free (balance);
}

gbd_status_t
gbd_balance_receive (gbd_balance_t *balance, const gbd_table_t *table,
                     gbd_instance_id_t from, const gbd_load_entry_t *entries,
                     uint32_t count, gbd_time_t now)
{
  for (uint32_t i = 0; i < count; i++)
    {
      if (entries[i].slot >= table->backend_count)
        return GBD_ERROR_RANGE;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      gbd_backend_id_t id = table->backends[entries[i].slot].id;
      server_t *server = find_or_add_server (balance, id, now);
      instance_load_t *load = server ? find_or_add_load (server, from) : NULL;
      if (!load)
        return GBD_ERROR_MEMORY;
      load->new_flows = entries[i].new_flows;
      load->open_flows = entries[i].open_flows;
      load->kilobytes = entries[i].kilobytes;
    }
  return GBD_OK;
}

void
gbd_balance_remove (gbd_balance_t *balance, gbd_instance_id_t from)
{
  for (uint32_t i = 0; i < balance->count; i++)
    {
      server_t *server = &balance->servers[i];
      for (uint32_t p = 0; p < server->load_count; p++)
        {
          if (server->loads[p].from != from)
            continue;
          server->loads[p] = server->loads[--server->load_count];
          break;
        }
    }
}

void
gbd_balance_restore (gbd_balance_t *balance, const gbd_table_t *table,
                     const gbd_backend_t *backends, const uint16_t *configured,
                     uint32_t count, gbd_time_t now)
{
  if (balance->has_started)
    return;
  start_adjusting (balance, now);
  uint64_t configured_sum = 0;
  uint64_t share_sum = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      configured_sum += configured[i];
      share_sum += configured[i]
                       ? count_new_flow_buckets (table, backends[i].id)
                       : 0;
    }
  for (uint32_t i = 0; i < count && share_sum; i++)
    {
      uint64_t share = count_new_flow_buckets (table, backends[i].id);
      server_t *server = find_or_add_server (balance, backends[i].id, now);
      if (!server || !configured[i] || !share)
        continue;
      uint64_t factor
          = share * configured_sum * FACTOR_UNIT / (share_sum * configured[i]);
      uint64_t change
          = factor > FACTOR_UNIT ? factor - FACTOR_UNIT : FACTOR_UNIT - factor;
      if (change >= FACTOR_UNIT * CHANGE_MIN_PERCENT / 100)
        server->factor = clamp_factor ((int64_t)factor);
    }
}

void
gbd_balance_compute_weights (gbd_balance_t *balance,
                             const gbd_backend_t *backends,
                             const uint16_t *configured, uint32_t count,
                             uint8_t percent, gbd_time_t now,
                             uint16_t *weights)
{
  start_adjusting (balance, now);
  for (uint32_t i = 0; i < balance->count; i++)
    balance->servers[i].is_desired = false;
  for (uint32_t i = 0; i < count; i++)
    {
      server_t *server = find_or_add_server (balance, backends[i].id, now);
      if (server)
        server->is_desired = configured[i] > 0;
    }
  if (now - balance->adjusted_at >= GBD_BALANCE_ADJUST_INTERVAL)
    {
      balance->adjusted_at = now;
      adjust_factors (balance, percent);
    }

  for (uint32_t i = 0; i < count; i++)
    {
      weights[i] = configured[i];
      const server_t *server = find_server (balance, backends[i].id);
      if (!server || configured[i] == 0)
        continue;
      uint64_t weight = configured[i];
      weight = weight * server->factor / FACTOR_UNIT;
      weight = weight * get_slow_start_factor (balance, server, now)
               / FACTOR_UNIT;
      weight = weight * get_capacity_factor (server) / FACTOR_UNIT;
      if (weight < 1)
        weight = 1;
      weights[i] = weight < UINT16_MAX ? (uint16_t)weight : UINT16_MAX;
    }
}

gbd_status_t
gbd_balance_get (const gbd_balance_t *balance, gbd_backend_id_t id,
                 gbd_balance_info_t *info)
{
  const server_t *server = find_server (balance, id);
  if (!server)
    return GBD_ERROR_NOT_FOUND;
  sum_loads (server, info);
  return GBD_OK;
}

/* Begin to adjust weights, unless already begun.  Servers known at this time
   get no slow start. */
static void
start_adjusting (gbd_balance_t *balance, gbd_time_t now)
{
  if (balance->has_started)
    return;
  balance->has_started = true;
  balance->started_at = now;
  balance->adjusted_at = now;
  for (uint32_t i = 0; i < balance->count; i++)
    balance->servers[i].first_seen = now;
}

/* Return the number of buckets whose new flows go to a server. */
static uint32_t
count_new_flow_buckets (const gbd_table_t *table, gbd_backend_id_t id)
{
  gbd_slot_t slot = gbd_table_find_backend (table, id);
  uint32_t share = 0;
  for (uint32_t i = 0; slot != GBD_SLOT_NONE && i < table->bucket_count; i++)
    share += gbd_bucket_new_flow_slot (&table->buckets[i]) == slot;
  return share;
}

static server_t *
find_server (const gbd_balance_t *balance, gbd_backend_id_t id)
{
  for (uint32_t i = 0; i < balance->count; i++)
    {
      if (balance->servers[i].id == id)
        return &balance->servers[i];
    }
  return NULL;
}

static server_t *
find_or_add_server (gbd_balance_t *balance, gbd_backend_id_t id,
                    gbd_time_t now)
{
  server_t *server = find_server (balance, id);
  if (server)
    return server;
  /* Reuse the entry of a server that is no longer desired and was first seen
     longer ago than the slow start lasts. */
  for (uint32_t i = 0; !server && i < balance->count; i++)
    {
      const server_t *candidate = &balance->servers[i];
      if (!candidate->is_desired
          && now - candidate->first_seen > GBD_BALANCE_SLOW_START_TIME)
        server = &balance->servers[i];
    }
  if (!server && balance->count == balance->capacity)
    {
      uint32_t capacity = balance->capacity ? balance->capacity * 2 : 16;
      server_t *servers
          = realloc (balance->servers, capacity * sizeof *servers);
      if (!servers)
        return NULL;
      balance->servers = servers;
      balance->capacity = capacity;
    }
  if (!server)
    server = &balance->servers[balance->count++];
  memset (server, 0, sizeof *server);
  server->id = id;
  server->first_seen = now;
  server->factor = FACTOR_UNIT;
  server->is_desired = true;
  return server;
}

static instance_load_t *
find_or_add_load (server_t *server, gbd_instance_id_t from)
{
  for (uint32_t i = 0; i < server->load_count; i++)
    {
      if (server->loads[i].from == from)
        return &server->loads[i];
    }
  if (server->load_count == GBD_INCARNATIONS_MAX)
    return NULL;
  instance_load_t *load = &server->loads[server->load_count++];
  *load = (instance_load_t){ .from = from };
  return load;
}

static void
sum_loads (const server_t *server, gbd_balance_info_t *info)
{
  *info = (gbd_balance_info_t){
    .factor_percent = (uint16_t)(server->factor * 100 / FACTOR_UNIT),
  };
  for (uint32_t i = 0; i < server->load_count; i++)
    {
      info->new_flows += server->loads[i].new_flows;
      info->open_flows += server->loads[i].open_flows;
      info->kilobytes += server->loads[i].kilobytes;
    }
}

static void
adjust_factors (gbd_balance_t *balance, uint8_t percent)
{
  uint64_t open = 0;
  uint64_t new_flows = 0;
  uint64_t kilobytes = 0;
  uint32_t desired = 0;
  gbd_balance_info_t info;
  for (uint32_t i = 0; i < balance->count; i++)
    {
      if (!balance->servers[i].is_desired)
        continue;
      sum_loads (&balance->servers[i], &info);
      open += info.open_flows;
      new_flows += info.new_flows;
      kilobytes += info.kilobytes;
      desired++;
    }
  if (desired < 2)
    return;
  uint32_t gain = get_gain_permille (open, new_flows, percent);
  for (uint32_t i = 0; i < balance->count; i++)
    {
      server_t *server = &balance->servers[i];
      if (!server->is_desired)
        continue;
      sum_loads (server, &info);
      uint32_t load
          = get_load_permille (&info, open / desired, kilobytes / desired);
      server->factor = get_adjusted_factor (server->factor, load, gain);
    }
}

/* Return the load of a server in permille of the mean of its service's
   servers: of its open flows or of its kilobytes, whichever is higher.  A mean
   that is too small is ignored; if both are, the result is PERMILLE. */
static uint32_t
get_load_permille (const gbd_balance_info_t *info, uint64_t open_mean,
                   uint64_t kilobytes_mean)
{
  uint64_t load = 0;
  bool is_known = false;
  if (open_mean >= MEAN_OPEN_MIN)
    {
      load = (uint64_t)info->open_flows * PERMILLE / open_mean;
      is_known = true;
    }
  if (kilobytes_mean >= MEAN_KILOBYTES_MIN)
    {
      uint64_t bytes = (uint64_t)info->kilobytes * PERMILLE / kilobytes_mean;
      load = bytes > load ? bytes : load;
      is_known = true;
    }
  if (!is_known)
    return PERMILLE;
  return load < LOAD_MAX ? (uint32_t)load : LOAD_MAX;
}

/* Return the gain of the control loop, scaled by `percent`.  By Little's law,
   the mean lifetime of flows is the number of open flows divided by the rate
   of new flows. */
static uint32_t
get_gain_permille (uint64_t open, uint64_t new_flows, uint8_t percent)
{
  uint64_t lifetime_ms
      = open * (uint64_t)(GBD_BALANCE_REPORT_INTERVAL / GBD_MILLISECOND)
        / (new_flows + 1);
  uint64_t gain = lifetime_ms * PERMILLE / GAIN_LIFETIME_MS;
  if (gain < GAIN_MIN_PERMILLE)
    gain = GAIN_MIN_PERMILLE;
  if (gain > GAIN_MAX_PERMILLE)
    gain = GAIN_MAX_PERMILLE;
  return (uint32_t)(gain * percent / 100);
}

/* Return the next weight factor of a server by proportional control.  An
   integral term would react to load errors that no longer exist. */
static uint32_t
get_adjusted_factor (uint32_t factor, uint32_t load, uint32_t gain)
{
  int64_t error = (int64_t)load - PERMILLE;
  int64_t band = GBD_BALANCE_DEAD_BAND_PERCENT * PERMILLE / 100;
  if (error > -band && error < band)
    error = 0;
  int64_t result
      = FACTOR_UNIT - error * gain / PERMILLE * FACTOR_UNIT / PERMILLE;
  int64_t change = result > factor ? result - factor : factor - result;
  if (change < FACTOR_UNIT * CHANGE_MIN_PERCENT / 100)
    return factor;
  int64_t step = (int64_t)factor * GBD_BALANCE_STEP_MAX_PERCENT / 100;
  if (result > factor + step)
    result = factor + step;
  if (result < factor - step)
    result = factor - step;
  return clamp_factor (result);
}

static uint32_t
clamp_factor (int64_t factor)
{
  int64_t minimum
      = (int64_t)FACTOR_UNIT * GBD_BALANCE_FACTOR_MIN_PERCENT / 100;
  int64_t maximum
      = (int64_t)FACTOR_UNIT * GBD_BALANCE_FACTOR_MAX_PERCENT / 100;
  if (factor < minimum)
    factor = minimum;
  if (factor > maximum)
    factor = maximum;
  return (uint32_t)factor;
}

/* Return the weight factor for the slow start of a server.  It is FACTOR_UNIT
   for a server that was known when adjustments began. */
static uint32_t
get_slow_start_factor (const gbd_balance_t *balance, const server_t *server,
                       gbd_time_t now)
{
  if (server->first_seen == balance->started_at)
    return FACTOR_UNIT;
  gbd_time_t age = now - server->first_seen;
  if (age >= GBD_BALANCE_SLOW_START_TIME)
    return FACTOR_UNIT;
  gbd_time_t step = GBD_BALANCE_SLOW_START_TIME / GBD_BALANCE_SLOW_START_STEPS;
  uint32_t steps = (uint32_t)(age / step) + 1;
  return FACTOR_UNIT * steps / GBD_BALANCE_SLOW_START_STEPS;
}

/* Return the weight factor for the number of open flows of a server.  It falls
   linearly from FACTOR_UNIT at four fifths of GBD_BALANCE_SERVER_FLOWS_MAX to
   SATURATED_FACTOR. */
static uint32_t
get_capacity_factor (const server_t *server)
{
  gbd_balance_info_t info;
  sum_loads (server, &info);
  uint32_t threshold = GBD_BALANCE_SERVER_FLOWS_MAX * 4 / 5;
  if (info.open_flows <= threshold)
    return FACTOR_UNIT;
  if (info.open_flows >= GBD_BALANCE_SERVER_FLOWS_MAX)
    return SATURATED_FACTOR;
  uint32_t remaining = GBD_BALANCE_SERVER_FLOWS_MAX - info.open_flows;
  uint32_t factor
      = FACTOR_UNIT * remaining / (GBD_BALANCE_SERVER_FLOWS_MAX - threshold);
  return factor > SATURATED_FACTOR ? factor : SATURATED_FACTOR;
}
