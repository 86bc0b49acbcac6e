#include "flow_cache.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#define WAYS 8u
#define LINE_BYTES ((size_t)64)
#define HUGE_PAGE_BYTES ((size_t)2 << 20)

struct gbd_flow_cache
{
  uint32_t capacity;
  uint32_t count;
  uint64_t evictions;
  gbd_time_t covered_since;
  uint32_t idle_ms[GBD_SERVICES_MAX];
  /* One word a set, one byte a place: 0 while it is free, else some bits of
     the flow's hash.  The words stay in the processor's caches, so that a
     search touches only the places that may hold the flow. */
  uint64_t *tags;
  gbd_cached_flow_t *flows;
};

static_assert (sizeof (gbd_cached_flow_t) == 24, "24 bytes a flow");

static void *allocate (size_t length);
static size_t set_of (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash,
                      unsigned choice);
static gbd_cached_flow_t *places_of (const gbd_flow_cache_t *cache,
                                     size_t set);
static uint8_t tag_of (gbd_flow_hash_t hash);
static void set_tag (gbd_flow_cache_t *cache, const gbd_cached_flow_t *flow,
                     uint8_t tag);
static uint64_t match_tag (uint64_t tags, uint8_t tag);
static unsigned first_way (uint64_t matches);
static gbd_cached_flow_t *find_free (const gbd_flow_cache_t *cache,
                                     gbd_flow_hash_t hash);
static gbd_cached_flow_t *move_one (gbd_flow_cache_t *cache,
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
  cache->flows = allocate (capacity * sizeof *cache->flows);
  cache->tags = allocate (capacity / WAYS * sizeof *cache->tags);
  if (!cache->flows || !cache->tags)
    {
      gbd_flow_cache_delete (cache);
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
  free (cache->tags);
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
      size_t set = set_of (cache, hash, choice);
      uint64_t matches = match_tag (cache->tags[set], tag_of (hash));
      for (; matches; matches &= matches - 1)
        {
          gbd_cached_flow_t *flow
              = places_of (cache, set) + first_way (matches);
          if (flow->hash == hash && flow->service == service)
            return flow;
        }
    }
  return NULL;
}

void
gbd_flow_cache_prefetch (const gbd_flow_cache_t *cache,
                         const gbd_flow_hash_t *hashes, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      __builtin_prefetch (&cache->tags[set_of (cache, hashes[i], 0)]);
      __builtin_prefetch (&cache->tags[set_of (cache, hashes[i], 1)]);
    }
  for (uint32_t i = 0; i < 2 * count; i++)
    {
      gbd_flow_hash_t hash = hashes[i / 2];
      size_t set = set_of (cache, hash, i % 2);
      uint64_t matches = match_tag (cache->tags[set], tag_of (hash));
      for (; matches; matches &= matches - 1)
        __builtin_prefetch (places_of (cache, set) + first_way (matches), 1);
    }
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
  set_tag (cache, flow, tag_of (hash));
  cache->count++;
  return flow;
}

void
gbd_flow_cache_remove (gbd_flow_cache_t *cache, gbd_cached_flow_t *flow)
{
  assert (flow->flags & GBD_CACHED_USED);
  flow->flags = 0;
  set_tag (cache, flow, 0);
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

/* Zeroed, and in huge pages where the system has them: flows are read in no
   order, and a miss of the page tables costs as much as one of the cache. */
static void *
allocate (size_t length)
{
  size_t unit = length < HUGE_PAGE_BYTES ? LINE_BYTES : HUGE_PAGE_BYTES;
  length = (length + unit - 1) / unit * unit;
  void *bytes = aligned_alloc (unit, length);
  if (!bytes)
    return NULL;
  if (unit == HUGE_PAGE_BYTES)
    madvise (bytes, length, MADV_HUGEPAGE);
  memset (bytes, 0, length);
  return bytes;
}

/* The low and the high half of the hash choose one set each. */
static size_t
set_of (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash, unsigned choice)
{
  uint32_t half = (uint32_t)(choice ? hash >> 32 : hash);
  return half & (cache->capacity / WAYS - 1);
}

static gbd_cached_flow_t *
places_of (const gbd_flow_cache_t *cache, size_t set)
{
  assert (cache->flows);
  return cache->flows + set * WAYS;
}

/* From the bits that do not choose a set. */
static uint8_t
tag_of (gbd_flow_hash_t hash)
{
  uint8_t tag = (uint8_t)(hash >> 56);
  return tag ? tag : 1;
}

static void
set_tag (gbd_flow_cache_t *cache, const gbd_cached_flow_t *flow, uint8_t tag)
{
  size_t index = (size_t)(flow - cache->flows);
  unsigned shift = (unsigned)(index % WAYS) * 8;
  uint64_t *tags = &cache->tags[index / WAYS];
  *tags = (*tags & ~((uint64_t)0xff << shift)) | (uint64_t)tag << shift;
}

/* One bit in each byte that equals the tag. */
static uint64_t
match_tag (uint64_t tags, uint8_t tag)
{
  const uint64_t low_bits = 0x7f7f7f7f7f7f7f7f;
  uint64_t other = tags ^ (tag * (uint64_t)0x0101010101010101);
  return ~(((other & low_bits) + low_bits) | other | low_bits);
}

static unsigned
first_way (uint64_t matches)
{
  return (unsigned)__builtin_ctzll (matches) / 8;
}

/* A free place in the emptier set: with two choices of eight places, sets
   seldom fill before the cache as a whole is nearly full. */
static gbd_cached_flow_t *
find_free (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash)
{
  gbd_cached_flow_t *best = NULL;
  int best_count = 0;
  for (unsigned choice = 0; choice < 2; choice++)
    {
      size_t set = set_of (cache, hash, choice);
      uint64_t vacant = match_tag (cache->tags[set], 0);
      int count = __builtin_popcountll (vacant);
      if (count <= best_count)
        continue;
      best = places_of (cache, set) + first_way (vacant);
      best_count = count;
    }
  return best;
}

/* Move one flow of the two full sets to its other set, if that has room.
   Returns the place that it leaves, or NULL. */
static gbd_cached_flow_t *
move_one (gbd_flow_cache_t *cache, gbd_flow_hash_t hash)
{
  for (unsigned choice = 0; choice < 2; choice++)
    {
      gbd_cached_flow_t *set = places_of (cache, set_of (cache, hash, choice));
      for (unsigned way = 0; way < WAYS; way++)
        {
          gbd_cached_flow_t *place = find_free (cache, set[way].hash);
          if (!place)
            continue;
          *place = set[way];
          set_tag (cache, place, tag_of (place->hash));
          return &set[way];
        }
    }
  return NULL;
}

static gbd_cached_flow_t *
find_least (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash,
            gbd_time_t now)
{
  gbd_cached_flow_t *least = places_of (cache, set_of (cache, hash, 0));
  uint64_t least_worth = worth (cache, least, now);
  for (unsigned choice = 0; choice < 2; choice++)
    {
      gbd_cached_flow_t *set = places_of (cache, set_of (cache, hash, choice));
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
