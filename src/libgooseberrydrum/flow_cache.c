#include "flow_cache.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#define WAYS 8u
#define CACHE_LINE_SIZE ((size_t)64)
#define HUGE_PAGE_SIZE ((size_t)2 << 20)

struct gbd_flow_cache
{
  uint32_t capacity;
  uint32_t count;
  uint64_t evictions;
  gbd_time_t loss_free_since;
  uint32_t idle_ms[GBD_SERVICES_MAX];
  /* One word per set with one byte, the tag, per entry: 0 while the entry is
     free, otherwise bits of the flow's hash.  The words stay in the CPU
     caches, so that a search reads only the entries that may hold the flow. */
  uint64_t *tags;
  gbd_cached_flow_t *flows;
};

static_assert (sizeof (gbd_cached_flow_t) == 24, "24 bytes per flow");

static void *allocate (size_t length);
static size_t find_set (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash,
                        unsigned choice);
static gbd_cached_flow_t *get_entries (const gbd_flow_cache_t *cache,
                                       size_t set);
static uint8_t make_tag (gbd_flow_hash_t hash);
static void set_tag (gbd_flow_cache_t *cache, const gbd_cached_flow_t *flow,
                     uint8_t tag);
static uint64_t match_tag (uint64_t tags, uint8_t tag);
static unsigned get_first_way (uint64_t matches);
static gbd_cached_flow_t *find_free_entry (const gbd_flow_cache_t *cache,
                                           gbd_flow_hash_t hash);
static gbd_cached_flow_t *relocate_entry (gbd_flow_cache_t *cache,
                                          gbd_flow_hash_t hash);
static gbd_cached_flow_t *find_victim (const gbd_flow_cache_t *cache,
                                       gbd_flow_hash_t hash, gbd_time_t now);
static uint64_t get_retention_priority (const gbd_flow_cache_t *cache,
                                        const gbd_cached_flow_t *flow,
                                        gbd_time_t now);
static uint32_t to_milliseconds (gbd_time_t now);

gbd_flow_cache_t *
gbd_flow_cache_new (uint32_t capacity)
{
  assert (capacity >= 2 * WAYS && (capacity & (capacity - 1)) == 0);
  gbd_flow_cache_t *cache = calloc (1, sizeof *cache);
  if (!cache)
    return NULL;

  cache->capacity = capacity;
  cache->loss_free_since = GBD_TIME_NEVER;
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
      size_t set = find_set (cache, hash, choice);
      uint64_t matches = match_tag (cache->tags[set], make_tag (hash));
      for (; matches; matches &= matches - 1)
        {
          gbd_cached_flow_t *flow
              = get_entries (cache, set) + get_first_way (matches);
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
      __builtin_prefetch (&cache->tags[find_set (cache, hashes[i], 0)]);
      __builtin_prefetch (&cache->tags[find_set (cache, hashes[i], 1)]);
    }
  for (uint32_t i = 0; i < 2 * count; i++)
    {
      gbd_flow_hash_t hash = hashes[i / 2];
      size_t set = find_set (cache, hash, i % 2);
      uint64_t matches = match_tag (cache->tags[set], make_tag (hash));
      for (; matches; matches &= matches - 1)
        __builtin_prefetch (get_entries (cache, set) + get_first_way (matches),
                            1);
    }
}

gbd_cached_flow_t *
gbd_flow_cache_insert (gbd_flow_cache_t *cache, gbd_flow_hash_t hash,
                       uint16_t service, gbd_time_t now,
                       gbd_cached_flow_t *replaced)
{
  replaced->flags = 0;
  gbd_cached_flow_t *flow = gbd_flow_cache_find (cache, hash, service);
  if (flow)
    return flow;

  flow = find_free_entry (cache, hash);
  if (!flow)
    flow = relocate_entry (cache, hash);
  if (!flow)
    {
      flow = find_victim (cache, hash, now);
      *replaced = *flow;
      if (get_retention_priority (cache, flow, now) > UINT32_MAX)
        {
          cache->evictions++;
          cache->loss_free_since = now;
        }
      gbd_flow_cache_remove (cache, flow);
    }
  *flow = (gbd_cached_flow_t){ .hash = hash,
                               .seen_ms = to_milliseconds (now),
                               .service = service,
                               .slot = GBD_SLOT_NONE,
                               .flags = GBD_CACHED_USED };
  set_tag (cache, flow, make_tag (hash));
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
  return to_milliseconds (now) - flow->seen_ms;
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
gbd_flow_cache_get_loss_free_since (const gbd_flow_cache_t *cache)
{
  return cache->loss_free_since;
}

/* Allocates zeroed memory, in huge pages where the system has them: flows
   are accessed in random order, and a TLB miss costs as much as a cache
   miss. */
static void *
allocate (size_t length)
{
  size_t alignment
      = length < HUGE_PAGE_SIZE ? CACHE_LINE_SIZE : HUGE_PAGE_SIZE;
  length = (length + alignment - 1) / alignment * alignment;
  void *bytes = aligned_alloc (alignment, length);
  if (!bytes)
    return NULL;
  if (alignment == HUGE_PAGE_SIZE)
    madvise (bytes, length, MADV_HUGEPAGE);
  memset (bytes, 0, length);
  return bytes;
}

/* Returns one of the two sets of a flow: the low half of the hash selects the
   first set (`choice` 0), the high half the second set. */
static size_t
find_set (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash, unsigned choice)
{
  uint32_t half = (uint32_t)(choice ? hash >> 32 : hash);
  return half & (cache->capacity / WAYS - 1);
}

static gbd_cached_flow_t *
get_entries (const gbd_flow_cache_t *cache, size_t set)
{
  assert (cache->flows);
  return cache->flows + set * WAYS;
}

/* Returns the tag of a flow, from hash bits that do not select a set in a
   cache of at most 2^27 flows. */
static uint8_t
make_tag (gbd_flow_hash_t hash)
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

/* Returns a word in which the highest bit of each byte that equals the tag
   is set. */
static uint64_t
match_tag (uint64_t tags, uint8_t tag)
{
  const uint64_t low_bits = 0x7f7f7f7f7f7f7f7f;
  uint64_t difference = tags ^ (tag * (uint64_t)0x0101010101010101);
  return ~(((difference & low_bits) + low_bits) | difference | low_bits);
}

static unsigned
get_first_way (uint64_t matches)
{
  return (unsigned)__builtin_ctzll (matches) / 8;
}

/* Finds a free entry in that set of the flow that has more free entries; NULL
   if both are full.  With a choice of two sets of eight entries, sets seldom
   fill up before the cache is nearly full. */
static gbd_cached_flow_t *
find_free_entry (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash)
{
  gbd_cached_flow_t *best = NULL;
  int best_count = 0;
  for (unsigned choice = 0; choice < 2; choice++)
    {
      size_t set = find_set (cache, hash, choice);
      uint64_t free_entries = match_tag (cache->tags[set], 0);
      int count = __builtin_popcountll (free_entries);
      if (count <= best_count)
        continue;
      best = get_entries (cache, set) + get_first_way (free_entries);
      best_count = count;
    }
  return best;
}

/* Makes an entry available in the two full sets of a hash by moving one of
   their flows to that flow's other set.  Returns the entry, or NULL if these
   other sets are full too. */
static gbd_cached_flow_t *
relocate_entry (gbd_flow_cache_t *cache, gbd_flow_hash_t hash)
{
  for (unsigned choice = 0; choice < 2; choice++)
    {
      gbd_cached_flow_t *set
          = get_entries (cache, find_set (cache, hash, choice));
      for (unsigned way = 0; way < WAYS; way++)
        {
          gbd_cached_flow_t *destination
              = find_free_entry (cache, set[way].hash);
          if (!destination)
            continue;
          *destination = set[way];
          set_tag (cache, destination, make_tag (destination->hash));
          return &set[way];
        }
    }
  return NULL;
}

static gbd_cached_flow_t *
find_victim (const gbd_flow_cache_t *cache, gbd_flow_hash_t hash,
             gbd_time_t now)
{
  gbd_cached_flow_t *victim = get_entries (cache, find_set (cache, hash, 0));
  uint64_t victim_priority = get_retention_priority (cache, victim, now);
  for (unsigned choice = 0; choice < 2; choice++)
    {
      gbd_cached_flow_t *set
          = get_entries (cache, find_set (cache, hash, choice));
      for (unsigned way = 0; way < WAYS; way++)
        {
          uint64_t priority = get_retention_priority (cache, &set[way], now);
          if (priority >= victim_priority)
            continue;
          victim = &set[way];
          victim_priority = priority;
        }
    }
  return victim;
}

/* Returns the retention priority of a flow.  The flow with the lowest one is
   replaced first; if its priority is above UINT32_MAX, that counts as an
   eviction. */
static uint64_t
get_retention_priority (const gbd_flow_cache_t *cache,
                        const gbd_cached_flow_t *flow, gbd_time_t now)
{
  uint32_t recency = UINT32_MAX - gbd_flow_cache_get_age_ms (flow, now);
  if (flow->slot == GBD_SLOT_NONE || (flow->flags & GBD_CACHED_CLOSED))
    return recency / 2;
  if (gbd_flow_cache_is_idle (cache, flow, now))
    return recency / 2 + ((uint64_t)1 << 31);
  return recency + ((uint64_t)1 << 32);
}

static uint32_t
to_milliseconds (gbd_time_t now)
{
  return (uint32_t)(uint64_t)(now / GBD_MILLISECOND);
}
