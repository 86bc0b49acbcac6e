#include "gooseberrydrum/pool.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 32
/* Entries of a hash table per backend server; keeps the load factor at 25% or
   less. */
#define INDEX_ENTRIES_PER_SERVER 4
/* Time without failed requests after which no server is failing. */
#define FAILURES_TIME (8 * GBD_FAILING_DECAY_TIME)

struct gbd_pool
{
  gbd_pool_server_t *servers;
  uint32_t capacity;
  uint32_t listed_count;
  gbd_pool_handle_t *index;      /* hash table by fingerprint, with open
                                    addressing */
  gbd_pool_handle_t *by_address; /* hash table by address; in the second half
                                    of the memory block of `index` */
  uint32_t index_capacity;       /* entries of each hash table, a power of
                                    two */
  gbd_zone_delays_t zone_delays;
  bool are_positions_outdated;
  bool is_synced;
  bool is_platform_unreachable;
  bool has_unreported;
  gbd_time_t failures_until;    /* until then servers may be failing */
  gbd_time_t removal_grace_end; /* removals before this time are deferred
                                   until then */
};

static gbd_pool_handle_t find_backend (const gbd_pool_t *pool,
                                       gbd_backend_id_t id);
static gbd_pool_handle_t allocate_handle (gbd_pool_t *pool);
static void record_start (const gbd_pool_t *pool, gbd_pool_server_t *server,
                          const gbd_pool_entry_t *entry, gbd_time_t now);
static bool changes_positions (const gbd_pool_server_t *server,
                               const gbd_pool_entry_t *entry);
static bool build_index (gbd_pool_t *pool);
static void add_to_index (gbd_pool_t *pool, gbd_pool_handle_t handle);
static void insert_handle (const gbd_pool_t *pool, gbd_pool_handle_t *slots,
                           uint32_t slot, gbd_pool_handle_t handle);
static uint32_t hash_fingerprint (const gbd_pool_t *pool,
                                  gbd_fingerprint_t fingerprint);
static uint32_t hash_address (const gbd_pool_t *pool,
                              const gbd_address_t *address);
static gbd_pool_server_t *next_at_address (gbd_pool_t *pool,
                                           const gbd_pool_server_t *server,
                                           uint32_t *slot);
static void supersede (gbd_pool_t *pool, gbd_pool_server_t *server,
                       gbd_time_t now);
static void clear_superseded (gbd_pool_t *pool,
                              const gbd_pool_server_t *server);
static void postpone_removals (gbd_pool_t *pool);
static gbd_time_t get_removal_time (const gbd_pool_t *pool);
static void remove_entry (gbd_pool_t *pool, gbd_pool_server_t *server,
                          gbd_time_t now);
static void update_failing (gbd_pool_t *pool, gbd_time_t now);
static double find_median (const gbd_pool_t *pool, gbd_service_id_t service,
                           gbd_time_t now, double *counts);
static int compare_counts (const void *a, const void *b);
static void update_positions (gbd_pool_t *pool);

gbd_pool_t *
gbd_pool_new (void)
{
  gbd_pool_t *pool = calloc (1, sizeof *pool);
  if (!pool)
    return NULL;
  pool->removal_grace_end = GBD_TIME_NEVER;
  return pool;
}

void
gbd_pool_delete (gbd_pool_t *pool)
{
  if (!pool)
    return;
  free (pool->servers);
  free (pool->index);
  free (pool);
}

gbd_status_t
gbd_pool_put (gbd_pool_t *pool, const gbd_pool_entry_t *entry, gbd_time_t now)
{
  gbd_fingerprint_t fingerprint = gbd_cookie_fingerprint (entry->backend.id);
  gbd_pool_handle_t handle = find_backend (pool, entry->backend.id);
  bool is_new = handle == GBD_POOL_NONE;
  bool has_freed_handle = false;
  if (is_new)
    {
      gbd_pool_handle_t other = gbd_pool_find (pool, fingerprint);
      if (other != GBD_POOL_NONE && pool->servers[other].is_listed)
        return GBD_ERROR_CONFLICT;
      has_freed_handle = other != GBD_POOL_NONE;
      if (has_freed_handle)
        pool->servers[other].is_used = false;
      handle = allocate_handle (pool);
      if (handle == GBD_POOL_NONE)
        return GBD_ERROR_MEMORY;
      memset (&pool->servers[handle], 0, sizeof pool->servers[handle]);
      gbd_warm_up_init (&pool->servers[handle].warm_up);
    }
  gbd_pool_server_t *server = &pool->servers[handle];
  record_start (pool, server, entry, now);
  bool has_moved = !is_new
                   && !gbd_address_is_equal (&server->entry.backend.address,
                                             &entry->backend.address);
  if (!server->is_listed)
    pool->listed_count++;
  if (changes_positions (server, entry))
    pool->are_positions_outdated = true;
  server->entry = *entry;
  server->fingerprint = fingerprint;
  server->is_used = true;
  server->is_listed = true;
  server->removed_at = GBD_TIME_NEVER;
  server->removal_due = GBD_TIME_NEVER;
  server->superseded_at = GBD_TIME_NEVER;
  gbd_suspicion_record_listing (&server->load.suspicion);
  supersede (pool, server, now);
  if (!is_new && !has_moved)
    return GBD_OK;
  if (has_freed_handle || has_moved
      || pool->index_capacity != pool->capacity * INDEX_ENTRIES_PER_SERVER)
    return build_index (pool) ? GBD_OK : GBD_ERROR_MEMORY;
  add_to_index (pool, handle);
  return GBD_OK;
}

bool
gbd_pool_correct_restored (const gbd_pool_t *pool, gbd_pool_entry_t *entry)
{
  gbd_pool_handle_t handle = find_backend (pool, entry->backend.id);
  if (handle == GBD_POOL_NONE)
    return false;
  const gbd_pool_server_t *server = &pool->servers[handle];
  if (server->entry.start_time_ms != entry->start_time_ms)
    return false;
  if (server->entry.backend.state == GBD_BACKEND_DRAINING)
    entry->backend.state = GBD_BACKEND_DRAINING;
  return !server->is_listed;
}

bool
gbd_pool_record_failure (gbd_pool_t *pool, gbd_pool_handle_t handle,
                         gbd_time_t sent_at, gbd_time_t now)
{
  gbd_pool_load_t *load = &pool->servers[handle].load;
  if (load->suspicion.last_response_at <= sent_at)
    {
      load->unreported.silent_at = sent_at;
      pool->has_unreported = true;
    }
  return gbd_suspicion_record_failure (&load->suspicion, sent_at, now);
}

void
gbd_pool_record_failed_requests (gbd_pool_t *pool, gbd_pool_handle_t handle,
                                 uint32_t count, bool is_news, gbd_time_t now)
{
  gbd_pool_load_t *load = &pool->servers[handle].load;
  bool is_known = !gbd_failing_add (&load->failing, count, now);
  pool->failures_until = now + FAILURES_TIME;
  if (!is_news || is_known)
    return;
  load->unreported.failed_requests += count;
  pool->has_unreported = true;
}

bool
gbd_pool_fails_widely (const gbd_pool_t *pool, gbd_service_id_t service,
                       gbd_time_t now)
{
  if (now >= pool->failures_until)
    return false;
  double *counts = malloc ((pool->capacity + 1) * sizeof *counts);
  bool is_wide = !counts
                 || find_median (pool, service, now, counts)
                        >= GBD_FAILING_STAY_COUNT_MIN;
  free (counts);
  return is_wide;
}

bool
gbd_pool_record_sign (gbd_pool_t *pool, gbd_pool_handle_t handle,
                      gbd_time_t now)
{
  gbd_pool_load_t *load = &pool->servers[handle].load;
  bool was_suspected = gbd_suspicion_is_suspected (&load->suspicion);
  bool was_reported = gbd_peer_evidence_end (&load->peer_evidence, now);
  if (was_suspected || was_reported)
    {
      load->unreported.heard_at = now;
      pool->has_unreported = true;
    }
  gbd_suspicion_record_response (&load->suspicion, now);
  return was_suspected;
}

void
gbd_pool_record_unreachable (gbd_pool_t *pool, gbd_pool_handle_t handle,
                             gbd_time_t began_at)
{
  pool->servers[handle].load.unreported.unreachable_at = began_at;
  pool->has_unreported = true;
}

bool
gbd_pool_has_unreported (const gbd_pool_t *pool)
{
  return pool->has_unreported;
}

void
gbd_pool_end_reporting (gbd_pool_t *pool)
{
  pool->has_unreported = false;
}

void
gbd_pool_suspect (gbd_pool_t *pool, gbd_backend_id_t id, gbd_time_t now)
{
  gbd_pool_handle_t handle = find_backend (pool, id);
  if (handle != GBD_POOL_NONE)
    gbd_suspicion_record_failure (&pool->servers[handle].load.suspicion, now,
                                  now);
}

void
gbd_pool_remove (gbd_pool_t *pool, gbd_backend_id_t id, gbd_time_t now)
{
  gbd_pool_handle_t handle = find_backend (pool, id);
  if (handle == GBD_POOL_NONE || !pool->servers[handle].is_listed)
    return;
  gbd_pool_server_t *server = &pool->servers[handle];
  if (pool->is_platform_unreachable || now < pool->removal_grace_end)
    {
      if (server->removal_due == GBD_TIME_NEVER)
        server->removal_due = get_removal_time (pool);
      return;
    }
  remove_entry (pool, server, now);
}

void
gbd_pool_begin_listing (gbd_pool_t *pool)
{
  /* Marks all entries for removal; putting an entry again during the listing
     clears its mark. */
  for (uint32_t i = 0; i < pool->capacity; i++)
    {
      gbd_pool_server_t *server = &pool->servers[i];
      if (server->is_used && server->is_listed
          && server->removal_due == GBD_TIME_NEVER)
        server->removal_due = INT64_MAX;
    }
}

void
gbd_pool_end_listing (gbd_pool_t *pool, gbd_time_t now)
{
  pool->is_synced = true;
  for (uint32_t i = 0; i < pool->capacity; i++)
    {
      gbd_pool_server_t *server = &pool->servers[i];
      if (!server->is_used || !server->is_listed
          || server->removal_due == GBD_TIME_NEVER)
        continue;
      if (pool->is_platform_unreachable || now < pool->removal_grace_end)
        server->removal_due = get_removal_time (pool);
      else
        remove_entry (pool, server, now);
    }
}

void
gbd_pool_set_platform_unreachable (gbd_pool_t *pool,
                                   bool is_platform_unreachable,
                                   gbd_time_t now)
{
  if (pool->is_platform_unreachable == is_platform_unreachable)
    return;
  pool->is_platform_unreachable = is_platform_unreachable;
  if (!is_platform_unreachable)
    pool->removal_grace_end = now + GBD_POOL_REMOVAL_GRACE;
  postpone_removals (pool);
}

void
gbd_pool_extend_removal_grace (gbd_pool_t *pool, gbd_time_t until)
{
  if (until <= pool->removal_grace_end)
    return;
  pool->removal_grace_end = until;
  postpone_removals (pool);
}

gbd_time_t
gbd_pool_get_removal_grace (const gbd_pool_t *pool, gbd_time_t now)
{
  return pool->removal_grace_end > now ? pool->removal_grace_end - now : 0;
}

void
gbd_pool_tick (gbd_pool_t *pool, gbd_time_t now)
{
  bool has_changed = false;
  for (uint32_t i = 0; i < pool->capacity; i++)
    {
      gbd_pool_server_t *server = &pool->servers[i];
      if (!server->is_used)
        continue;
      if (server->is_listed && server->removal_due != GBD_TIME_NEVER
          && now >= server->removal_due)
        remove_entry (pool, server, now);
      if (!server->is_listed
          && now - server->removed_at > GBD_POOL_RETENTION_TIME)
        {
          server->is_used = false;
          has_changed = true;
        }
    }
  if (has_changed)
    build_index (pool);
  if (pool->are_positions_outdated)
    update_positions (pool);
  if (now < pool->failures_until)
    update_failing (pool, now);
}

bool
gbd_pool_is_synced (const gbd_pool_t *pool)
{
  return pool->is_synced;
}

bool
gbd_pool_is_platform_unreachable (const gbd_pool_t *pool)
{
  return pool->is_platform_unreachable;
}

bool
gbd_pool_is_cold (const gbd_pool_server_t *server, gbd_time_t duration,
                  gbd_time_t now)
{
  const gbd_suspicion_t *suspicion = &server->load.suspicion;
  return now < server->entry.warm_at || !server->is_listed
         || gbd_suspicion_get_probe (suspicion, now) == GBD_PROBE_REFUSED
         || now - server->warm_up.assumed_start_at < duration
         || (suspicion->refused_at && now - suspicion->refused_at < duration);
}

gbd_pool_handle_t
gbd_pool_find (const gbd_pool_t *pool, gbd_fingerprint_t fingerprint)
{
  if (!pool->index_capacity)
    return GBD_POOL_NONE;
  uint32_t slot = hash_fingerprint (pool, fingerprint);
  while (pool->index[slot] != GBD_POOL_NONE)
    {
      gbd_pool_handle_t handle = pool->index[slot];
      if (pool->servers[handle].fingerprint == fingerprint
          && pool->servers[handle].is_used)
        return handle;
      slot = (slot + 1) & (pool->index_capacity - 1);
    }
  return GBD_POOL_NONE;
}

uint32_t
gbd_pool_get_capacity (const gbd_pool_t *pool)
{
  return pool->capacity;
}

gbd_pool_server_t *
gbd_pool_get (gbd_pool_t *pool, gbd_pool_handle_t handle)
{
  return &pool->servers[handle];
}

const gbd_pool_server_t *
gbd_pool_peek (const gbd_pool_t *pool, gbd_pool_handle_t handle)
{
  return &pool->servers[handle];
}

gbd_zone_delays_t *
gbd_pool_get_zone_delays (gbd_pool_t *pool)
{
  return &pool->zone_delays;
}

const gbd_zone_delays_t *
gbd_pool_peek_zone_delays (const gbd_pool_t *pool)
{
  return &pool->zone_delays;
}

uint32_t
gbd_pool_get_count (const gbd_pool_t *pool)
{
  return pool->listed_count;
}

static gbd_pool_handle_t
find_backend (const gbd_pool_t *pool, gbd_backend_id_t id)
{
  gbd_pool_handle_t handle = gbd_pool_find (pool, gbd_cookie_fingerprint (id));
  if (handle != GBD_POOL_NONE && pool->servers[handle].entry.backend.id != id)
    return GBD_POOL_NONE;
  return handle;
}

static gbd_pool_handle_t
allocate_handle (gbd_pool_t *pool)
{
  for (uint32_t i = 0; i < pool->capacity; i++)
    {
      if (!pool->servers[i].is_used)
        return (gbd_pool_handle_t)i;
    }
  uint32_t capacity = pool->capacity ? pool->capacity * 2 : INITIAL_CAPACITY;
  if (capacity > GBD_BACKENDS_MAX)
    return GBD_POOL_NONE;
  gbd_pool_server_t *servers
      = realloc (pool->servers, capacity * sizeof *servers);
  if (!servers)
    return GBD_POOL_NONE;
  memset (servers + pool->capacity, 0,
          (capacity - pool->capacity) * sizeof *servers);
  gbd_pool_handle_t handle = (gbd_pool_handle_t)pool->capacity;
  pool->servers = servers;
  pool->capacity = capacity;
  return handle;
}

/* Records a restart or a new listing of a backend server, before its entry is
   replaced. */
static void
record_start (const gbd_pool_t *pool, gbd_pool_server_t *server,
              const gbd_pool_entry_t *entry, gbd_time_t now)
{
  bool has_restarted
      = server->is_used && server->entry.start_time_ms != entry->start_time_ms;
  /* The first list of an instance tells by its entries which servers are
     cold; servers that are listed later have just started. */
  if (has_restarted || (pool->is_synced && !server->is_listed))
    server->warm_up.assumed_start_at = now;
  /* After a restart, the backend server has none of its previous flows, and
     earlier evidence of a failure is outdated. */
  if (has_restarted)
    {
      memset (&server->load.suspicion, 0, sizeof server->load.suspicion);
      memset (&server->load.peer_evidence, 0,
              sizeof server->load.peer_evidence);
      memset (&server->load.failing, 0, sizeof server->load.failing);
      memset (&server->load.unreported, 0, sizeof server->load.unreported);
    }
  if (has_restarted || !server->is_listed)
    server->listed_at = now;
}

/* Whether an entry changes which servers have positions, or their order. */
static bool
changes_positions (const gbd_pool_server_t *server,
                   const gbd_pool_entry_t *entry)
{
  return !server->is_listed || server->superseded_at != GBD_TIME_NEVER
         || server->entry.service != entry->service
         || server->entry.backend.zone != entry->backend.zone
         || server->entry.backend.state != entry->backend.state;
}

static bool
build_index (gbd_pool_t *pool)
{
  uint32_t capacity = pool->capacity * INDEX_ENTRIES_PER_SERVER;
  if (capacity != pool->index_capacity)
    {
      gbd_pool_handle_t *index
          = realloc (pool->index, (size_t)2 * capacity * sizeof *index);
      if (!index)
        return false;
      pool->index = index;
      pool->by_address = index + capacity;
      pool->index_capacity = capacity;
    }
  memset (pool->index, 0xff, (size_t)2 * capacity * sizeof *pool->index);
  for (uint32_t i = 0; i < pool->capacity; i++)
    {
      if (pool->servers[i].is_used)
        add_to_index (pool, (gbd_pool_handle_t)i);
    }
  return true;
}

static void
add_to_index (gbd_pool_t *pool, gbd_pool_handle_t handle)
{
  const gbd_pool_server_t *server = &pool->servers[handle];
  insert_handle (pool, pool->index,
                 hash_fingerprint (pool, server->fingerprint), handle);
  insert_handle (pool, pool->by_address,
                 hash_address (pool, &server->entry.backend.address), handle);
}

static void
insert_handle (const gbd_pool_t *pool, gbd_pool_handle_t *slots, uint32_t slot,
               gbd_pool_handle_t handle)
{
  while (slots[slot] != GBD_POOL_NONE)
    slot = (slot + 1) & (pool->index_capacity - 1);
  slots[slot] = handle;
}

static uint32_t
hash_fingerprint (const gbd_pool_t *pool, gbd_fingerprint_t fingerprint)
{
  return (uint32_t)gbd_rendezvous_weight (fingerprint, 0)
         & (pool->index_capacity - 1);
}

static uint32_t
hash_address (const gbd_pool_t *pool, const gbd_address_t *address)
{
  uint64_t parts[sizeof address->ip / sizeof (uint64_t)];
  memcpy (parts, address->ip, sizeof parts);
  return (uint32_t)gbd_rendezvous_weight (parts[0], parts[1] ^ address->port)
         & (pool->index_capacity - 1);
}

/* Finds the next backend server that has the same address as a given one.
   @param slot initially the result of hash_address(); advanced past the
   result */
static gbd_pool_server_t *
next_at_address (gbd_pool_t *pool, const gbd_pool_server_t *server,
                 uint32_t *slot)
{
  while (pool->index_capacity && pool->by_address[*slot] != GBD_POOL_NONE)
    {
      gbd_pool_server_t *other = &pool->servers[pool->by_address[*slot]];
      *slot = (*slot + 1) & (pool->index_capacity - 1);
      if (other != server && other->is_used
          && gbd_address_is_equal (&other->entry.backend.address,
                                   &server->entry.backend.address))
        return other;
    }
  return NULL;
}

/* Marks backend servers as superseded: of two listed servers with the same
   address, the one that started earlier has stopped. */
static void
supersede (gbd_pool_t *pool, gbd_pool_server_t *server, gbd_time_t now)
{
  int64_t start_time_ms = server->entry.start_time_ms;
  uint32_t slot = hash_address (pool, &server->entry.backend.address);
  gbd_pool_server_t *other;
  while ((other = next_at_address (pool, server, &slot)))
    {
      int64_t other_ms = other->entry.start_time_ms;
      if (!other->is_listed || !start_time_ms || !other_ms)
        continue;
      gbd_pool_server_t *earlier = other_ms < start_time_ms ? other : server;
      if (other_ms != start_time_ms
          && earlier->superseded_at == GBD_TIME_NEVER)
        {
          earlier->superseded_at = now;
          pool->are_positions_outdated = true;
        }
    }
}

/* Called when an entry is removed, because its backend server no longer
   supersedes other servers at its address. */
static void
clear_superseded (gbd_pool_t *pool, const gbd_pool_server_t *server)
{
  uint32_t slot = hash_address (pool, &server->entry.backend.address);
  gbd_pool_server_t *other;
  while ((other = next_at_address (pool, server, &slot)))
    other->superseded_at = GBD_TIME_NEVER;
}

/* Postpones pending removals to the end of the removal grace period, or until
   the platform is reachable again. */
static void
postpone_removals (gbd_pool_t *pool)
{
  for (uint32_t i = 0; i < pool->capacity; i++)
    {
      gbd_pool_server_t *server = &pool->servers[i];
      if (server->is_used && server->removal_due != GBD_TIME_NEVER)
        server->removal_due = get_removal_time (pool);
    }
}

/* Returns when an entry whose removal is deferred will be removed. */
static gbd_time_t
get_removal_time (const gbd_pool_t *pool)
{
  return pool->is_platform_unreachable ? INT64_MAX : pool->removal_grace_end;
}

static void
remove_entry (gbd_pool_t *pool, gbd_pool_server_t *server, gbd_time_t now)
{
  clear_superseded (pool, server);
  server->superseded_at = GBD_TIME_NEVER;
  server->is_listed = false;
  server->removal_due = GBD_TIME_NEVER;
  server->removed_at = now;
  gbd_suspicion_record_removal (&server->load.suspicion, now);
  pool->listed_count--;
  pool->are_positions_outdated = true;
}

/* Decides which servers are failing.  Without memory, this stays as it is
   until the next tick. */
static void
update_failing (gbd_pool_t *pool, gbd_time_t now)
{
  double *counts = malloc ((pool->capacity + 1) * sizeof *counts);
  gbd_service_id_t service = 0;
  double median = 0;
  for (uint32_t i = 0; counts && i < pool->capacity; i++)
    {
      gbd_pool_server_t *server = &pool->servers[i];
      if (!server->is_used || server->load.failing.count == 0)
        continue;
      if (server->entry.service != service)
        {
          service = server->entry.service;
          median = find_median (pool, service, now, counts);
        }
      gbd_failing_update (&server->load.failing, median, now);
    }
  free (counts);
}

/* Returns the median of the failed requests of the servers of a service.
   @param counts memory for the counts of all servers */
static double
find_median (const gbd_pool_t *pool, gbd_service_id_t service, gbd_time_t now,
             double *counts)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < pool->capacity; i++)
    {
      const gbd_pool_server_t *server = &pool->servers[i];
      if (server->is_used && server->is_listed
          && server->entry.service == service)
        counts[count++] = gbd_failing_get_count (&server->load.failing, now);
    }
  qsort (counts, count, sizeof *counts, compare_counts);
  return count ? counts[count / 2] : 0;
}

static int
compare_counts (const void *a, const void *b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;
  return (first > second) - (first < second);
}

/* Without memory, the previous positions stay until the next tick. */
static void
update_positions (gbd_pool_t *pool)
{
  gbd_subset_member_t *members
      = malloc ((pool->listed_count + 1) * sizeof *members);
  if (!members)
    return;
  uint32_t count = 0;
  for (uint32_t i = 0; i < pool->capacity; i++)
    {
      gbd_pool_server_t *server = &pool->servers[i];
      server->position = (gbd_subset_position_t){ .count = 0 };
      if (server->is_used && server->is_listed
          && server->superseded_at == GBD_TIME_NEVER
          && server->entry.backend.state == GBD_BACKEND_READY)
        members[count++]
            = (gbd_subset_member_t){ .service = server->entry.service,
                                     .id = server->entry.backend.id,
                                     .zone = server->entry.backend.zone,
                                     .handle = (uint16_t)i };
    }
  gbd_subset_number (members, count);
  for (uint32_t i = 0; i < count; i++)
    pool->servers[members[i].handle].position = members[i].position;
  free (members);
  pool->are_positions_outdated = false;
}
