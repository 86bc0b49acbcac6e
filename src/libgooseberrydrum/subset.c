#include "gooseberrydrum/subset.h"

#include <stdlib.h>

static int compare_members (const void *a, const void *b);

void
gbd_subset_number (gbd_subset_member_t *members, uint32_t count)
{
  if (count == 0)
    return;
  qsort (members, count, sizeof *members, compare_members);
  uint32_t end = 0;
  for (uint32_t begin = 0; begin < count; begin = end)
    {
      while (end < count && members[end].service == members[begin].service
             && members[end].zone == members[begin].zone)
        end++;
      for (uint32_t i = begin; i < end; i++)
        members[i].position
            = (gbd_subset_position_t){ .number = (uint16_t)(i - begin),
                                       .count = (uint16_t)(end - begin) };
    }
}

uint32_t
gbd_subset_get_size (uint32_t count, uint32_t instance_count)
{
  uint64_t shares = (uint64_t)GBD_SUBSET_SHARES * count;
  uint64_t size = (shares + instance_count - 1) / instance_count;
  if (size < GBD_SUBSET_SIZE_MIN)
    size = GBD_SUBSET_SIZE_MIN;
  return size < count ? (uint32_t)size : count;
}

bool
gbd_subset_has_windows (const gbd_group_view_t *group)
{
  return group->zone_count > 1 && group->zone_rank < group->zone_count;
}

bool
gbd_subset_contains (const gbd_group_view_t *group,
                     const gbd_subset_position_t *position)
{
  if (position->count == 0)
    return false;
  uint32_t start = (uint32_t)((uint64_t)group->zone_rank * position->count
                              / group->zone_count);
  /* Distance from the start, wrapping around the end. */
  uint32_t distance
      = (position->number + position->count - start) % position->count;
  return distance < gbd_subset_get_size (position->count, group->zone_count);
}

uint64_t
gbd_subset_estimate_pending (const gbd_group_view_t *group,
                             const gbd_subset_position_t *position,
                             uint32_t pending_count)
{
  uint32_t size = gbd_subset_get_size (position->count, group->zone_count);
  return (uint64_t)pending_count * group->zone_count * size / position->count;
}

static int
compare_members (const void *a, const void *b)
{
  const gbd_subset_member_t *first = a;
  const gbd_subset_member_t *second = b;
  if (first->service != second->service)
    return first->service < second->service ? -1 : 1;
  if (first->zone != second->zone)
    return first->zone < second->zone ? -1 : 1;
  return (first->id > second->id) - (first->id < second->id);
}
