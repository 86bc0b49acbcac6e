#include "gooseberrydrum/table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "table_private.h"

static uint64_t get_replica_key (const gbd_table_t *table, uint32_t bucket);
static uint8_t choose_replicas (const gbd_member_t *roster, uint8_t count,
                                uint64_t key, gbd_instance_id_t chosen[2]);
static int find_best_member (const gbd_member_t *roster, uint8_t count,
                             uint64_t key, int excluded, bool in_other_zone);
static void append_replica (gbd_replicas_t *replicas, gbd_instance_id_t id);
static bool is_listed (const gbd_instance_id_t *ids, uint8_t count,
                       gbd_instance_id_t id);

gbd_table_t *
gbd_table_new (gbd_service_id_t service, uint32_t bucket_count,
               const gbd_backend_t *backends, uint32_t backend_count,
               const gbd_member_t *roster, uint8_t roster_count)
{
  assert (bucket_count >= 1 && bucket_count <= GBD_BUCKETS_MAX);
  assert ((bucket_count & (bucket_count - 1)) == 0);
  assert (backend_count <= GBD_BACKENDS_MAX);
  assert (roster_count <= GBD_ROSTER_MAX);

  gbd_table_t *table = gbd_table_allocate (bucket_count, backend_count);
  if (!table)
    return NULL;
  table->service = service;
  table->version = 1;
  table->roster_count = roster_count;
  if (roster_count)
    memcpy (table->roster, roster, roster_count * sizeof *roster);
  if (backend_count)
    memcpy (table->backends, backends, backend_count * sizeof *backends);
  for (uint32_t i = 0; i < bucket_count; i++)
    gbd_bucket_set (&table->buckets[i], GBD_BUCKET_STABLE, GBD_SLOT_NONE,
                    GBD_SLOT_NONE);

  uint16_t *weights = malloc ((backend_count + 1) * sizeof *weights);
  gbd_slot_t *targets = malloc (bucket_count * sizeof *targets);
  if (!weights || !targets)
    goto failed;
  bool has_ready = false;
  for (uint32_t i = 0; i < backend_count; i++)
    {
      weights[i] = backends[i].state == GBD_BACKEND_READY;
      has_ready = has_ready || weights[i];
    }
  if (gbd_table_plan (table, weights, 0, targets) == 0 && has_ready)
    goto failed;
  for (uint32_t i = 0; i < bucket_count; i++)
    gbd_bucket_set (&table->buckets[i], GBD_BUCKET_STABLE, targets[i],
                    targets[i]);
  free (weights);
  free (targets);
  return table;

failed:
  free (weights);
  free (targets);
  gbd_table_delete (table);
  return NULL;
}

gbd_table_t *
gbd_table_copy (const gbd_table_t *table)
{
  gbd_table_t *copy
      = gbd_table_allocate (table->bucket_count, table->backend_count);
  if (!copy)
    return NULL;
  gbd_bucket_t *buckets = copy->buckets;
  gbd_backend_t *backends = copy->backends;
  *copy = *table;
  copy->buckets = buckets;
  copy->backends = backends;
  memcpy (buckets, table->buckets, table->bucket_count * sizeof *buckets);
  if (table->backend_count)
    memcpy (backends, table->backends,
            table->backend_count * sizeof *backends);
  return copy;
}

void
gbd_table_delete (gbd_table_t *table)
{
  if (!table)
    return;
  free (table->buckets);
  free (table->backends);
  free (table);
}

uint32_t
gbd_table_bucket_of (const gbd_table_t *table, gbd_flow_hash_t hash)
{
  unsigned bits = (unsigned)__builtin_ctz (table->bucket_count);
  return bits ? (uint32_t)(hash >> (64 - bits)) : 0;
}

bool
gbd_bucket_needs_lookup (const gbd_bucket_t *bucket)
{
  return bucket->phase == GBD_BUCKET_ANNOUNCED
         || bucket->phase == GBD_BUCKET_ACTIVE
         || bucket->phase == GBD_BUCKET_SETTLING;
}

bool
gbd_bucket_is_registering (const gbd_bucket_t *bucket)
{
  return bucket->phase != GBD_BUCKET_STABLE;
}

gbd_slot_t
gbd_bucket_new_flow_slot (const gbd_bucket_t *bucket)
{
  return bucket->phase == GBD_BUCKET_ANNOUNCED ? bucket->from : bucket->to;
}

gbd_slot_t
gbd_bucket_default_slot (const gbd_bucket_t *bucket)
{
  return gbd_bucket_needs_lookup (bucket) ? bucket->from : bucket->to;
}

void
gbd_table_get_replicas (const gbd_table_t *table, uint32_t bucket,
                        gbd_replicas_t *replicas)
{
  assert (bucket < table->bucket_count);
  gbd_instance_id_t current[2] = { 0, 0 };
  gbd_instance_id_t next[2] = { 0, 0 };
  uint64_t key = get_replica_key (table, bucket);
  uint8_t current_count
      = choose_replicas (table->roster, table->roster_count, key, current);
  uint8_t next_count = 0;
  if (table->roster_phase != GBD_ROSTER_SETTLED)
    next_count = choose_replicas (table->next, table->next_count, key, next);

  memset (replicas, 0, sizeof *replicas);
  for (uint8_t i = 0; i < current_count; i++)
    if (is_listed (next, next_count, current[i]))
      append_replica (replicas, current[i]);
  for (uint8_t i = 0; i < current_count; i++)
    append_replica (replicas, current[i]);
  for (uint8_t i = 0; i < next_count; i++)
    append_replica (replicas, next[i]);

  bool is_switched = table->roster_phase == GBD_ROSTER_SWITCHED;
  memcpy (replicas->lookup, is_switched ? next : current,
          sizeof replicas->lookup);
}

bool
gbd_table_has_member (const gbd_table_t *table, gbd_instance_id_t id)
{
  return gbd_roster_has (table->roster, table->roster_count, id)
         || gbd_roster_has (table->next, table->next_count, id);
}

gbd_slot_t
gbd_table_find_backend (const gbd_table_t *table, gbd_backend_id_t id)
{
  for (uint32_t i = 0; i < table->backend_count; i++)
    if (table->backends[i].id == id)
      return (gbd_slot_t)i;
  return GBD_SLOT_NONE;
}

gbd_table_t *
gbd_table_allocate (uint32_t bucket_count, uint32_t backend_count)
{
  gbd_table_t *table = calloc (1, sizeof *table);
  if (!table)
    return NULL;
  table->bucket_count = bucket_count;
  table->buckets = calloc (bucket_count, sizeof *table->buckets);
  if (table->buckets && gbd_table_resize_backends (table, backend_count))
    return table;
  gbd_table_delete (table);
  return NULL;
}

bool
gbd_table_resize_backends (gbd_table_t *table, uint32_t count)
{
  /* One extra entry avoids a request for zero bytes.  */
  gbd_backend_t *backends
      = realloc (table->backends, (count + 1) * sizeof *backends);
  if (!backends)
    return false;
  if (count > table->backend_count)
    memset (backends + table->backend_count, 0,
            (count - table->backend_count) * sizeof *backends);
  table->backends = backends;
  table->backend_count = count;
  return true;
}

void
gbd_bucket_set (gbd_bucket_t *bucket, gbd_bucket_phase_t phase,
                gbd_slot_t from, gbd_slot_t to)
{
  bucket->phase = (uint8_t)phase;
  bucket->from = from;
  bucket->to = to;
}

bool
gbd_roster_has (const gbd_member_t *members, uint8_t count,
                gbd_instance_id_t id)
{
  for (uint8_t i = 0; i < count; i++)
    if (members[i].id == id)
      return true;
  return false;
}

static uint64_t
get_replica_key (const gbd_table_t *table, uint32_t bucket)
{
  return gbd_rendezvous_weight (table->service, bucket);
}

/* Chooses the two members of a roster with the highest rendezvous weights,
   the second in another zone than the first if possible.  */
static uint8_t
choose_replicas (const gbd_member_t *roster, uint8_t count, uint64_t key,
                 gbd_instance_id_t chosen[2])
{
  int first = find_best_member (roster, count, key, -1, false);
  if (first < 0)
    return 0;
  chosen[0] = roster[first].id;
  int second = find_best_member (roster, count, key, first, true);
  if (second < 0)
    second = find_best_member (roster, count, key, first, false);
  if (second < 0)
    return 1;
  chosen[1] = roster[second].id;
  return 2;
}

static int
find_best_member (const gbd_member_t *roster, uint8_t count, uint64_t key,
                  int excluded, bool in_other_zone)
{
  int best = -1;
  uint64_t best_rank = 0;
  for (int i = 0; i < count; i++)
    {
      if (i == excluded)
        continue;
      if (in_other_zone && roster[i].zone == roster[excluded].zone)
        continue;
      uint64_t rank = gbd_rendezvous_weight (roster[i].id, key);
      bool wins_tie
          = best >= 0 && rank == best_rank && roster[i].id > roster[best].id;
      if (best >= 0 && rank <= best_rank && !wins_tie)
        continue;
      best = i;
      best_rank = rank;
    }
  return best;
}

static void
append_replica (gbd_replicas_t *replicas, gbd_instance_id_t id)
{
  if (!is_listed (replicas->chain, replicas->count, id))
    replicas->chain[replicas->count++] = id;
}

static bool
is_listed (const gbd_instance_id_t *ids, uint8_t count, gbd_instance_id_t id)
{
  for (uint8_t i = 0; i < count; i++)
    if (ids[i] == id)
      return true;
  return false;
}
