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
gbd_start_may_create_key (bool is_relay, bool has_relays, gbd_time_t uptime)
{
  return is_relay || !has_relays || uptime >= GBD_START_KEY_CREATION_DELAY;
}

bool
gbd_start_may_ask_relays (bool is_first_start, gbd_time_t uptime)
{
  return is_first_start || uptime >= GBD_START_DOCUMENT_DELAY;
}
