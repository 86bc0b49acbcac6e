#include "gooseberrydrum/start.h"

const char *const gbd_start_list_strings[GBD_START_LIST_COUNT]
    = { "used", "provisional", "ignored" };

gbd_start_list_t
gbd_start_choose_list (bool is_outdated, bool has_platform_begun)
{
  if (!is_outdated)
    return GBD_START_LIST_USED;
  return has_platform_begun ? GBD_START_LIST_IGNORED
                            : GBD_START_LIST_PROVISIONAL;
}

bool
gbd_start_may_create_key (bool is_relay, bool is_first_start, bool has_relays,
                          gbd_time_t uptime)
{
  return (is_relay && is_first_start) || !has_relays
         || uptime >= GBD_START_KEY_CREATION_DELAY;
}

bool
gbd_start_may_announce (bool is_platform_unreachable, bool has_relay_responded,
                        uint32_t reader_count, gbd_time_t announced_at,
                        gbd_time_t now)
{
  gbd_time_t interval = GBD_START_ANNOUNCE_INTERVAL;
  if (has_relay_responded)
    interval = reader_count * GBD_START_ANNOUNCE_SPACING;
  if (has_relay_responded && interval < GBD_START_ANNOUNCE_IDLE_INTERVAL)
    interval = GBD_START_ANNOUNCE_IDLE_INTERVAL;
  return is_platform_unreachable && now - announced_at >= interval;
}

bool
gbd_start_may_ask_holder (bool is_complete, gbd_time_t asked_at,
                          gbd_time_t now)
{
  return !is_complete && now - asked_at >= GBD_START_HOLDER_TIMEOUT;
}

bool
gbd_start_may_ask_relays (bool is_first_start, gbd_time_t uptime)
{
  return is_first_start || uptime >= GBD_START_DOCUMENT_DELAY;
}
