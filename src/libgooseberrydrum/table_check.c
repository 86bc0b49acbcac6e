#include "table_private.h"

#include <stdlib.h>
#include <string.h>

static bool is_roster_valid (const gbd_member_t *members, uint8_t count);
static bool are_backends_valid (const gbd_table_t *table);
static bool is_address_valid (const gbd_address_t *address);
static bool has_duplicate_backend (const gbd_table_t *table);
static int compare_ids (const void *a, const void *b);
static bool is_bucket_valid (const gbd_bucket_t *bucket,
                             uint32_t backend_count);
static bool is_slot_valid (gbd_slot_t slot, uint32_t backend_count);

bool
gbd_table_is_bucket_count (size_t count)
{
  return count >= 1 && count <= GBD_BUCKETS_MAX && (count & (count - 1)) == 0;
}

bool
gbd_table_is_valid (const gbd_table_t *table)
{
  if (table->service == 0 || table->version == 0 || table->version > INT64_MAX
      || table->generation > INT64_MAX)
    return false;
  if (table->roster_phase > GBD_ROSTER_SWITCHED || table->roster_count < 1)
    return false;
  bool is_changing = table->roster_phase != GBD_ROSTER_SETTLED;
  if (is_changing != (table->next_count > 0))
    return false;
  if (!is_roster_valid (table->roster, table->roster_count)
      || !is_roster_valid (table->next, table->next_count))
    return false;
  if (!are_backends_valid (table)
      || !gbd_table_is_bucket_count (table->bucket_count))
    return false;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    if (!is_bucket_valid (&table->buckets[i], table->backend_count))
      return false;
  return true;
}

static bool
is_roster_valid (const gbd_member_t *members, uint8_t count)
{
  if (count > GBD_ROSTER_MAX)
    return false;
  for (uint8_t i = 0; i < count; i++)
    if (members[i].id == 0 || gbd_roster_has (members, i, members[i].id))
      return false;
  return true;
}

static bool
are_backends_valid (const gbd_table_t *table)
{
  if (table->backend_count > GBD_BACKENDS_MAX)
    return false;
  for (uint32_t i = 0; i < table->backend_count; i++)
    {
      const gbd_backend_t *backend = &table->backends[i];
      if (backend->id == 0 || backend->state > GBD_BACKEND_GONE
          || !is_address_valid (&backend->address))
        return false;
    }
  return !has_duplicate_backend (table);
}

static bool
is_address_valid (const gbd_address_t *address)
{
  static const uint8_t zeros[12];
  if (address->port == 0)
    return false;
  if (address->family == 4)
    return memcmp (address->ip + 4, zeros, sizeof zeros) == 0;
  return address->family == 6;
}

static bool
has_duplicate_backend (const gbd_table_t *table)
{
  gbd_backend_id_t *ids = malloc ((table->backend_count + 1) * sizeof *ids);
  if (!ids)
    return true;
  for (uint32_t i = 0; i < table->backend_count; i++)
    ids[i] = table->backends[i].id;
  qsort (ids, table->backend_count, sizeof *ids, compare_ids);
  bool has_duplicate = false;
  for (uint32_t i = 1; i < table->backend_count; i++)
    has_duplicate = has_duplicate || ids[i] == ids[i - 1];
  free (ids);
  return has_duplicate;
}

static int
compare_ids (const void *a, const void *b)
{
  gbd_backend_id_t x = *(const gbd_backend_id_t *)a;
  gbd_backend_id_t y = *(const gbd_backend_id_t *)b;
  return (x > y) - (x < y);
}

static bool
is_bucket_valid (const gbd_bucket_t *bucket, uint32_t backend_count)
{
  if (bucket->phase > GBD_BUCKET_INVERTED)
    return false;
  if (bucket->phase == GBD_BUCKET_STABLE && bucket->from != bucket->to)
    return false;
  return is_slot_valid (bucket->from, backend_count)
         && is_slot_valid (bucket->to, backend_count);
}

static bool
is_slot_valid (gbd_slot_t slot, uint32_t backend_count)
{
  return slot == GBD_SLOT_NONE || slot < backend_count;
}
