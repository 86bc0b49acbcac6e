#include "flow_cache.h"

#include <assert.h>
#include <stdlib.h>

#define WAYS 8u

struct gbd_flow_cache
{
  uint32_t capacity;
  uint32_t count;
  uint64_t evictions;
  gbd_time_t covered_since;
  uint32_t idle_ms[GBD_SERVICES_MAX];
  gbd_cached_flow_t *flows;
};

static_assert (sizeof (gbd_cached_flow_t) == 24, "24 bytes a flow");

static gbd_cached_flow_t *set_of (const gbd_flow_cache_t *cache,
                                  gbd_flow_hash_t hash, unsigned choice);
static gbd_cached_flow_t *find_free (const gbd_flow_cache_t *cache,
                                     gbd_flow_hash_t hash);
static gbd_cached_flow_t *move_one (const gbd_flow_cache_t *cache,
                                    gbd_flow_hash_t hash);
static gbd_cached_flow_t *find_least (const gbd_flow_cache_t *cache,
                                      gbd_flow_hash_t hash, gbd_time_t now);
static uint64_t worth (const gbd_flow_cache_t *cache,
                       const gbd_cached_flow_t *flow, gbd_time_t now);
static uint32_t to_ms (gbd_time_t now);

gbd_flow_cache_t *
gbd_flow_cache_new (uint32_t capacity)
{
  assert (capacity >= 2 * WAYS && (capacity & (capacity - 1)) == 0);
  gbd_flow_cache_t *cache = calloc (1, sizeof *cache);
  if (!cache)
    return NULL;

  cache->capacity = capacity;
  cache->covered_since = GBD_TIME_NEVER;
  cache->flows = calloc (capacity, sizeof *cache->flows);
  if (!cache->flows)
    {
      free (cache);
      return NULL;
    }
  for (uint32_t i = 0; i < GBD_SERVICES_MAX; i++)
    cache->idle_ms[i] = UINT32_MAX;
  return cache;
}

void
gbd_flow_cache_delete (gbd_flow_cache_t *cache)
{
  if (!cache)
    return;
  free (cache->flows);
  free (cache);
}

void
gbd_flow_cache_set_idle_limit (gbd_flow_cache_t *cache, uint16_t service,
                               uint32_t idle_ms)
{
  assert (service < GBD_SERVICES_MAX);
  cache->idle_ms[service] = idle_ms;
}

gbd_cached_flow_t *
gbd_flow_cache_find (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash,
                     uint16_t service)
{
  for (unsigned choice = 0; choice < 2; choice++)
    {
      gbd_cached_flow_t *set = set_of (cache, hash, choice);
      for (unsigned way = 0; way < WAYS; way++)
        if (set[way].hash == hash && (set[way].flags & GBD_CACHED_USED)
            && set[way].service == service)
          return &set[way];
    }
  return NULL;
}

gbd_cached_flow_t *
gbd_flow_cache_insert (gbd_flow_cache_t *cache, gbd_flow_hash_t hash,
                       uint16_t service, gbd_time_t now,
                       gbd_cached_flow_t *former)
{
  former->flags = 0;
  gbd_cached_flow_t *flow = gbd_flow_cache_find (cache, hash, service);
  if (flow)
    return flow;

  flow = find_free (cache, hash);
  if (!flow)
    flow = move_one (cache, hash);
  if (!flow)
    {
      flow = find_least (cache, hash, now);
      *former = *flow;
      if (worth (cache, flow, now) > UINT32_MAX)
        {
          cache->evictions++;
          cache->covered_since = now;
        }
      gbd_flow_cache_remove (cache, flow);
    }
  *flow = (gbd_cached_flow_t){ .hash = hash,
                               .seen_ms = to_ms (now),
                               .service = service,
                               .slot = GBD_SLOT_NONE,
                               .flags = GBD_CACHED_USED };
  cache->count++;
  return flow;
}

void
gbd_flow_cache_remove (gbd_flow_cache_t *cache, gbd_cached_flow_t *flow)
{
  assert (flow->flags & GBD_CACHED_USED);
  flow->flags = 0;
  cache->count--;
}

bool
gbd_flow_cache_is_idle (const gbd_flow_cache_t *cache,
                        const gbd_cached_flow_t *flow, gbd_time_t now)
{
  return gbd_flow_cache_get_age_ms (flow, now) > cache->idle_ms[flow->service];
}

uint32_t
gbd_flow_cache_get_age_ms (const gbd_cached_flow_t *flow, gbd_time_t now)
{
  return to_ms (now) - flow->seen_ms;
}

gbd_cached_flow_t *
gbd_flow_cache_at (const gbd_flow_cache_t *cache, uint32_t index)
{
  assert (index < cache->capacity);
  return &cache->flows[index];
}

uint32_t
gbd_flow_cache_get_capacity (const gbd_flow_cache_t *cache)
{
  return cache->capacity;
}

uint32_t
gbd_flow_cache_get_count (const gbd_flow_cache_t *cache)
{
  return cache->count;
}

uint64_t
gbd_flow_cache_get_evictions (const gbd_flow_cache_t *cache)
{
  return cache->evictions;
}

gbd_time_t
gbd_flow_cache_get_covered_since (const gbd_flow_cache_t *cache)
{
  return cache->covered_since;
}

/* The low and the high half of the hash choose one set each. */
static gbd_cached_flow_t *
set_of (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash, unsigned choice)
{
  uint32_t half = (uint32_t)(choice ? hash >> 32 : hash);
  return &cache->flows[(half & (cache->capacity / WAYS - 1)) * WAYS];
}

/* A free place in the emptier set: with two choices of eight places, sets
   seldom fill before the cache as a whole is nearly full. */
static gbd_cached_flow_t *
find_free (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash)
{
  gbd_cached_flow_t *best = NULL;
  unsigned best_count = 0;
  for (unsigned choice = 0; choice < 2; choice++)
    {
      gbd_cached_flow_t *set = set_of (cache, hash, choice);
      gbd_cached_flow_t *place = NULL;
      unsigned count = 0;
      for (unsigned way = 0; way < WAYS; way++)
        if (!(set[way].flags & GBD_CACHED_USED))
          {
            place = &set[way];
            count++;
          }
      if (count > best_count)
        {
          best = place;
          best_count = count;
        }
    }
  return best;
}

/* Move one flow of the two full sets to its other set, if that has room.
   Returns the place that it leaves, or NULL. */
static gbd_cached_flow_t *
move_one (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash)
{
  for (unsigned choice = 0; choice < 2; choice++)
    {
      gbd_cached_flow_t *set = set_of (cache, hash, choice);
      for (unsigned way = 0; way < WAYS; way++)
        {
          gbd_cached_flow_t *place = find_free (cache, set[way].hash);
          if (!place)
            continue;
          *place = set[way];
          return &set[way];
        }
    }
  return NULL;
}

static gbd_cached_flow_t *
find_least (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash,
            gbd_time_t now)
{
  gbd_cached_flow_t *least = set_of (cache, hash, 0);
  uint64_t least_worth = worth (cache, least, now);
  for (unsigned choice = 0; choice < 2; choice++)
    {
      gbd_cached_flow_t *set = set_of (cache, hash, choice);
      for (unsigned way = 0; way < WAYS; way++)
        {
          uint64_t candidate = worth (cache, &set[way], now);
          if (candidate >= least_worth)
            continue;
          least = &set[way];
          least_worth = candidate;
        }
    }
  return least;
}

/* Order in which flows give way, least first; above UINT32_MAX the loss of the
   flow is an eviction. */
static uint64_t
worth (const gbd_flow_cache_t *cache, const gbd_cached_flow_t *flow,
       gbd_time_t now)
{
  uint32_t freshness = UINT32_MAX - gbd_flow_cache_get_age_ms (flow, now);
  if (flow->slot == GBD_SLOT_NONE || (flow->flags & GBD_CACHED_CLOSED))
    return freshness / 2;
  if (gbd_flow_cache_is_idle (cache, flow, now))
    return freshness / 2 + ((uint64_t)1 << 31);
  return freshness + ((uint64_t)1 << 32);
}

static uint32_t
to_ms (gbd_time_t now)
{
  return (uint32_t)(uint64_t)(now / GBD_MILLISECOND);
}
