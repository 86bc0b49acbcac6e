#include "gooseberrydrum/evacuations.h"

#include <string.h>

#include "gooseberrydrum/pool.h"
#include "gooseberrydrum/position.h"

static void remove_missing (gbd_evacuations_t *evacuations,
                            const char *const *names, uint32_t count,
                            gbd_time_t now);
static gbd_status_t add_zone (gbd_evacuations_t *evacuations, const char *name,
                              gbd_time_t removal_due);
static void remove_zone (gbd_evacuations_t *evacuations, uint32_t index);

gbd_status_t
gbd_evacuations_update (gbd_evacuations_t *evacuations, uint64_t position,
                        const char *const *names, uint32_t count,
                        gbd_time_t now)
{
  gbd_status_t result = GBD_OK;
  if (evacuations->is_known && position < evacuations->position)
    {
      if (now < evacuations->grace_end)
        for (uint32_t i = 0; i < count; i++)
          add_zone (evacuations, names[i], evacuations->grace_end);
      return GBD_ERROR_STALE;
    }
  if (!evacuations->is_known
      || gbd_position_get_era (position)
             > gbd_position_get_era (evacuations->position))
    evacuations->grace_end = now + GBD_POOL_REMOVAL_GRACE;
  evacuations->is_known = true;
  evacuations->position = position;
  remove_missing (evacuations, names, count, now);
  for (uint32_t i = 0; i < count; i++)
    {
      gbd_status_t status = add_zone (evacuations, names[i], GBD_TIME_NEVER);
      if (status != GBD_OK)
        result = status;
    }
  return result;
}

void
gbd_evacuations_tick (gbd_evacuations_t *evacuations, gbd_time_t now)
{
  for (uint32_t i = evacuations->count; i-- > 0;)
    {
      gbd_time_t removal_due = evacuations->zones[i].removal_due;
      if (removal_due != GBD_TIME_NEVER && now >= removal_due)
        remove_zone (evacuations, i);
    }
}

bool
gbd_evacuations_contain (const gbd_evacuations_t *evacuations,
                         gbd_zone_id_t zone)
{
  uint32_t count = evacuations ? evacuations->count : 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if (evacuations->zones[i].zone == zone)
        return true;
    }
  return false;
}

bool
gbd_evacuations_are_equal (const gbd_evacuations_t *a,
                           const gbd_evacuations_t *b)
{
  if (a->count != b->count)
    return false;
  for (uint32_t i = 0; i < a->count; i++)
    {
      if (!gbd_evacuations_contain (b, a->zones[i].zone))
        return false;
    }
  return true;
}

static void
remove_missing (gbd_evacuations_t *evacuations, const char *const *names,
                uint32_t count, gbd_time_t now)
{
  for (uint32_t i = evacuations->count; i-- > 0;)
    {
      gbd_evacuation_t *evacuation = &evacuations->zones[i];
      bool is_listed = false;
      for (uint32_t j = 0; j < count && !is_listed; j++)
        is_listed = strcmp (evacuation->name, names[j]) == 0;
      if (is_listed)
        continue;
      if (now < evacuations->grace_end)
        evacuation->removal_due = evacuations->grace_end;
      else
        remove_zone (evacuations, i);
    }
}

/* Adds a zone, or ends its removal if removal_due is GBD_TIME_NEVER. */
static gbd_status_t
add_zone (gbd_evacuations_t *evacuations, const char *name,
          gbd_time_t removal_due)
{
  size_t length = strlen (name);
  if (length == 0 || length > GBD_NAME_MAX)
    return GBD_ERROR_FORMAT;
  uint32_t index = 0;
  while (index < evacuations->count
         && strcmp (evacuations->zones[index].name, name) != 0)
    index++;
  if (index == GBD_EVACUATIONS_MAX)
    return GBD_ERROR_MEMORY;
  gbd_evacuation_t *evacuation = &evacuations->zones[index];
  if (index < evacuations->count)
    {
      if (removal_due == GBD_TIME_NEVER)
        evacuation->removal_due = GBD_TIME_NEVER;
      return GBD_OK;
    }
  evacuations->count++;
  evacuation->zone = gbd_zone_from_name (name);
  evacuation->removal_due = removal_due;
  memcpy (evacuation->name, name, length + 1);
  return GBD_OK;
}

static void
remove_zone (gbd_evacuations_t *evacuations, uint32_t index)
{
  evacuations->count--;
  evacuations->zones[index] = evacuations->zones[evacuations->count];
}
