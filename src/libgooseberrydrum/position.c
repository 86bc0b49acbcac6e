#include "gooseberrydrum/position.h"

uint64_t
gbd_position_make (uint64_t era, uint64_t revision)
{
  if (era > GBD_POSITION_ERA_MAX)
    era = GBD_POSITION_ERA_MAX;
  if (revision > GBD_POSITION_REVISION_MAX)
    revision = GBD_POSITION_REVISION_MAX;
  return era << GBD_POSITION_REVISION_BITS | revision;
}

uint32_t
gbd_position_get_era (uint64_t position)
{
  return (uint32_t)(position >> GBD_POSITION_REVISION_BITS);
}

uint64_t
gbd_position_get_revision (uint64_t position)
{
  return position & GBD_POSITION_REVISION_MAX;
}
