#include "gooseberrydrum/balance.h"

#include <stdlib.h>
#include <string.h>

#define PERMILLE 1000
#define LOAD_MAX (UINT32_C (100) * PERMILLE)
#define FACTOR_UNIT 10000 /* a factor of one */
/* Below these means a service carries too little to compare its servers. */
#define MEAN_OPEN_MIN 8
#define MEAN_KILOBYTES_MIN 64
/* New flows correct a server's load at the pace at which flows end.  The gain
   grows with the mean lifetime of flows; under 1 it cannot oscillate however
   short they are. */
#define GAIN_LIFETIME_MS 20000
#define GAIN_MIN_PERMILLE 800
#define GAIN_MAX_PERMILLE 4000
/* Smaller changes of a factor are not worth the buckets that they move. */
#define CHANGE_MIN_PERCENT 10
/* A server that reports itself full keeps a small part, or it could never be
   seen to have recovered. */
#define FULL_FACTOR (FACTOR_UNIT / 20)

typedef struct
{
  gbd_instance_id_t from;
  uint32_t new_flows;
  uint32_t open_flows;
  uint32_t kilobytes;
} part_t;

typedef struct
{
  gbd_backend_id_t id;
  gbd_time_t first_seen;
  uint32_t factor; /* of FACTOR_UNIT */
  bool is_wanted;
  uint32_t part_count;
  part_t parts[GBD_LIVES_MAX];
} server_t;

struct gbd_balance
{
  gbd_time_t started_at;
  gbd_time_t adjusted_at;
  bool has_started;
  uint32_t count;
  uint32_t room;
  server_t *servers;
};

static server_t *find_server (const gbd_balance_t *balance,
                              gbd_backend_id_t id);
static server_t *need_server (gbd_balance_t *balance, gbd_backend_id_t id,
                              gbd_time_t now);
static part_t *need_part (server_t *server, gbd_instance_id_t from);
static void start (gbd_balance_t *balance, gbd_time_t now);
static uint32_t share_of (const gbd_table_t *table, gbd_backend_id_t id);
static uint32_t bounded_factor (int64_t factor);
static void sum_server (const server_t *server, gbd_balance_info_t *info);
static void adjust (gbd_balance_t *balance, uint8_t percent);
static uint32_t load_permille (const gbd_balance_info_t *info,
                               uint64_t open_mean, uint64_t kilobytes_mean);
static uint32_t gain_permille (uint64_t open, uint64_t new_flows,
                               uint8_t percent);
static uint32_t adjusted_factor (uint32_t factor, uint32_t load,
                                 uint32_t gain);
static uint32_t ramp_factor (const gbd_balance_t *balance,
                             const server_t *server, gbd_time_t now);
static uint32_t room_factor (const server_t *server);

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
      server_t *server = need_server (balance, id, now);
      part_t *part = server ? need_part (server, from) : NULL;
      if (!part)
        return GBD_ERROR_MEMORY;
      part->new_flows = entries[i].new_flows;
      part->open_flows = entries[i].open_flows;
      part->kilobytes = entries[i].kilobytes;
    }
  return GBD_OK;
}

void
gbd_balance_remove (gbd_balance_t *balance, gbd_instance_id_t from)
{
  for (uint32_t i = 0; i < balance->count; i++)
    {
      server_t *server = &balance->servers[i];
      for (uint32_t p = 0; p < server->part_count; p++)
        {
          if (server->parts[p].from != from)
            continue;
          server->parts[p] = server->parts[--server->part_count];
          break;
        }
    }
}

void
gbd_balance_adopt (gbd_balance_t *balance, const gbd_table_t *table,
                   const gbd_backend_t *backends, const uint16_t *base,
                   uint32_t count, gbd_time_t now)
{
  if (balance->has_started)
    return;
  start (balance, now);
  uint64_t base_sum = 0;
  uint64_t share_sum = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      base_sum += base[i];
      share_sum += base[i] ? share_of (table, backends[i].id) : 0;
    }
  for (uint32_t i = 0; i < count && share_sum; i++)
    {
      uint64_t share = share_of (table, backends[i].id);
      server_t *server = need_server (balance, backends[i].id, now);
      if (!server || !base[i] || !share)
        continue;
      uint64_t factor = share * base_sum * FACTOR_UNIT / (share_sum * base[i]);
      uint64_t change
          = factor > FACTOR_UNIT ? factor - FACTOR_UNIT : FACTOR_UNIT - factor;
      if (change >= FACTOR_UNIT * CHANGE_MIN_PERCENT / 100)
        server->factor = bounded_factor ((int64_t)factor);
    }
}

void
gbd_balance_decide (gbd_balance_t *balance, const gbd_backend_t *backends,
                    const uint16_t *base, uint32_t count, uint8_t percent,
                    gbd_time_t now, uint16_t *weights)
{
  start (balance, now);
  for (uint32_t i = 0; i < balance->count; i++)
    balance->servers[i].is_wanted = false;
  for (uint32_t i = 0; i < count; i++)
    {
      server_t *server = need_server (balance, backends[i].id, now);
      if (server)
        server->is_wanted = base[i] > 0;
    }
  if (now - balance->adjusted_at >= GBD_BALANCE_ADJUST)
    {
      balance->adjusted_at = now;
      adjust (balance, percent);
    }

  for (uint32_t i = 0; i < count; i++)
    {
      weights[i] = base[i];
      const server_t *server = find_server (balance, backends[i].id);
      if (!server || base[i] == 0)
        continue;
      uint64_t weight = base[i];
      weight = weight * server->factor / FACTOR_UNIT;
      weight = weight * ramp_factor (balance, server, now) / FACTOR_UNIT;
      weight = weight * room_factor (server) / FACTOR_UNIT;
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
  sum_server (server, info);
  return GBD_OK;
}

/* Servers that are there from the start need no way up. */
static void
start (gbd_balance_t *balance, gbd_time_t now)
{
  if (balance->has_started)
    return;
  balance->has_started = true;
  balance->started_at = now;
  balance->adjusted_at = now;
  for (uint32_t i = 0; i < balance->count; i++)
    balance->servers[i].first_seen = now;
}

static uint32_t
share_of (const gbd_table_t *table, gbd_backend_id_t id)
{
  gbd_slot_t slot = gbd_table_find_backend (table, id);
  uint32_t share = 0;
  for (uint32_t i = 0; slot != GBD_SLOT_NONE && i < table->bucket_count; i++)
    share += gbd_bucket_open_slot (&table->buckets[i]) == slot;
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
need_server (gbd_balance_t *balance, gbd_backend_id_t id, gbd_time_t now)
{
  server_t *server = find_server (balance, id);
  if (server)
    return server;
  /* One that is no longer wanted makes room. */
  for (uint32_t i = 0; !server && i < balance->count; i++)
    {
      const server_t *former = &balance->servers[i];
      if (!former->is_wanted && now - former->first_seen > GBD_BALANCE_RAMP)
        server = &balance->servers[i];
    }
  if (!server && balance->count == balance->room)
    {
      uint32_t room = balance->room ? balance->room * 2 : 16;
      server_t *servers = realloc (balance->servers, room * sizeof *servers);
      if (!servers)
        return NULL;
      balance->servers = servers;
      balance->room = room;
    }
  if (!server)
    server = &balance->servers[balance->count++];
  memset (server, 0, sizeof *server);
  server->id = id;
  server->first_seen = now;
  server->factor = FACTOR_UNIT;
  server->is_wanted = true;
  return server;
}

static part_t *
need_part (server_t *server, gbd_instance_id_t from)
{
  for (uint32_t i = 0; i < server->part_count; i++)
    {
      if (server->parts[i].from == from)
        return &server->parts[i];
    }
  if (server->part_count == GBD_LIVES_MAX)
    return NULL;
  part_t *part = &server->parts[server->part_count++];
  *part = (part_t){ .from = from };
  return part;
}

static void
sum_server (const server_t *server, gbd_balance_info_t *info)
{
  *info = (gbd_balance_info_t){
    .factor_percent = (uint16_t)(server->factor * 100 / FACTOR_UNIT),
  };
  for (uint32_t i = 0; i < server->part_count; i++)
    {
      info->new_flows += server->parts[i].new_flows;
      info->open_flows += server->parts[i].open_flows;
      info->kilobytes += server->parts[i].kilobytes;
    }
}

static void
adjust (gbd_balance_t *balance, uint8_t percent)
{
  uint64_t open = 0;
  uint64_t new_flows = 0;
  uint64_t kilobytes = 0;
  uint32_t wanted = 0;
  gbd_balance_info_t info;
  for (uint32_t i = 0; i < balance->count; i++)
    {
      if (!balance->servers[i].is_wanted)
        continue;
      sum_server (&balance->servers[i], &info);
      open += info.open_flows;
      new_flows += info.new_flows;
      kilobytes += info.kilobytes;
      wanted++;
    }
  if (wanted < 2)
    return;
  uint32_t gain = gain_permille (open, new_flows, percent);
  for (uint32_t i = 0; i < balance->count; i++)
    {
      server_t *server = &balance->servers[i];
      if (!server->is_wanted)
        continue;
      sum_server (server, &info);
      uint32_t load = load_permille (&info, open / wanted, kilobytes / wanted);
      server->factor = adjusted_factor (server->factor, load, gain);
    }
}

/* The worse of open flows and bytes, against the mean. */
static uint32_t
load_permille (const gbd_balance_info_t *info, uint64_t open_mean,
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

/* By Little's law, the mean lifetime of flows is the number of open ones over
   the rate of new ones. */
static uint32_t
gain_permille (uint64_t open, uint64_t new_flows, uint8_t percent)
{
  uint64_t lifetime_ms = open * (uint64_t)(GBD_BALANCE_ROUND / GBD_MILLISECOND)
                         / (new_flows + 1);
  uint64_t gain = lifetime_ms * PERMILLE / GAIN_LIFETIME_MS;
  if (gain < GAIN_MIN_PERMILLE)
    gain = GAIN_MIN_PERMILLE;
  if (gain > GAIN_MAX_PERMILLE)
    gain = GAIN_MAX_PERMILLE;
  return (uint32_t)(gain * percent / 100);
}

/* In proportion to the present error: a factor that summed errors up would
   answer loads that have passed. */
static uint32_t
adjusted_factor (uint32_t factor, uint32_t load, uint32_t gain)
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
  return bounded_factor (result);
}

static uint32_t
bounded_factor (int64_t factor)
{
  int64_t least = (int64_t)FACTOR_UNIT * GBD_BALANCE_FACTOR_MIN_PERCENT / 100;
  int64_t most = (int64_t)FACTOR_UNIT * GBD_BALANCE_FACTOR_MAX_PERCENT / 100;
  if (factor < least)
    factor = least;
  if (factor > most)
    factor = most;
  return (uint32_t)factor;
}

/* Servers that were there from the start are warm. */
static uint32_t
ramp_factor (const gbd_balance_t *balance, const server_t *server,
             gbd_time_t now)
{
  if (server->first_seen == balance->started_at)
    return FACTOR_UNIT;
  gbd_time_t age = now - server->first_seen;
  if (age >= GBD_BALANCE_RAMP)
    return FACTOR_UNIT;
  gbd_time_t step = GBD_BALANCE_RAMP / GBD_BALANCE_RAMP_STEPS;
  uint32_t steps = (uint32_t)(age / step) + 1;
  return FACTOR_UNIT * steps / GBD_BALANCE_RAMP_STEPS;
}

/* The last fifth of a server's room is given out ever more slowly. */
static uint32_t
room_factor (const server_t *server)
{
  gbd_balance_info_t info;
  sum_server (server, &info);
  uint32_t scarce = GBD_BALANCE_FULL_FLOWS * 4 / 5;
  if (info.open_flows <= scarce)
    return FACTOR_UNIT;
  if (info.open_flows >= GBD_BALANCE_FULL_FLOWS)
    return FULL_FACTOR;
  uint32_t room = GBD_BALANCE_FULL_FLOWS - info.open_flows;
  uint32_t factor = FACTOR_UNIT * room / (GBD_BALANCE_FULL_FLOWS - scarce);
  return factor > FULL_FACTOR ? factor : FULL_FACTOR;
}
