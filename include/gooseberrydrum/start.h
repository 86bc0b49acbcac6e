/** @file start.h
 *  Decisions of an instance that starts: which list to use, when to ask
 *  relays, who creates the group's key.
 *
 *  Load pattern: many instances of a group are stopped at once, by a loss of
 *  power or a fault, and return together, the relays perhaps last, and perhaps
 *  while the platform is unreachable.  No packet is served until an instance
 *  has key, routes and a list, so it asks all sources at once and uses the
 *  first response; and hundreds of instances must not repeat what one of them
 *  can do for all.
 *
 *  If the platform is unreachable, the only instances that hold the state may
 *  be about to stop, and the relays may restart without it.  So holders
 *  announce themselves to relays that do not respond, and an instance that
 *  starts requests everything from the first one that it hears of.
 */
#ifndef GOOSEBERRYDRUM_START_H
#define GOOSEBERRYDRUM_START_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Time for which only relays of a new group create the key.  If every
 *  instance tried, all but one of these writes would be in vain; and if the
 *  store was restored from a copy without the key, the relays that hold it
 *  write it again. */
#define GBD_START_KEY_CREATION_DELAY (2 * GBD_SECOND)
/** Time for which key and routes are left to the platform, whose responses
 *  take milliseconds unless it is slow or unreachable. */
#define GBD_START_DOCUMENT_DELAY (200 * GBD_MILLISECOND)

/** Interval of the announcements of a holder, an instance that has list, key
 *  and routes, to a relay that does not respond.  A holder may have only
 *  tenths of a second left until a planned stop ends. */
#define GBD_START_ANNOUNCE_INTERVAL (100 * GBD_MILLISECOND)
/** The same for a relay that does respond and may restart at any time: the
 *  shortest interval, and its minimum for each reader of the relay, so that
 *  the announcements of a large group do not load its relays. */
#define GBD_START_ANNOUNCE_IDLE_INTERVAL (250 * GBD_MILLISECOND)
#define GBD_START_ANNOUNCE_SPACING (5 * GBD_MILLISECOND)
/** Time for which an instance that has asked one holder ignores others: some
 *  round trips between availability zones and the transfer of the list. */
#define GBD_START_HOLDER_TIMEOUT (300 * GBD_MILLISECOND)

/** What to do with the list of a relay. */
typedef enum
{
  GBD_START_LIST_USED,        /**< in place of the platform's */
  GBD_START_LIST_PROVISIONAL, /**< until the platform's list arrives */
  GBD_START_LIST_IGNORED      /**< it may be older than what the platform has
                                   sent */
} gbd_start_list_t;
#define GBD_START_LIST_COUNT 3
extern const char *const gbd_start_list_strings[GBD_START_LIST_COUNT];

/** @param is_outdated whether the relay cannot reach the platform
 *  @param has_platform_begun whether part of the platform's list has arrived
 */
gbd_start_list_t gbd_start_choose_list (bool is_outdated,
                                        bool has_platform_begun);

/** Whether this instance may create the key if the platform has none.
 *  @param is_first_start as in gbd_start_may_ask_relays()
 *  @param has_relays whether the group has relays besides this instance
 *  @param uptime     time since this instance started */
bool gbd_start_may_create_key (bool is_relay, bool is_first_start,
                               bool has_relays, gbd_time_t uptime);

/** Whether a holder announces itself to a relay.
 *  @param is_platform_unreachable otherwise the relay reads from the platform
 *  @param has_relay_responded whether the last request to the relay got a
 *  response
 *  @param reader_count number of readers of a relay
 *  @param announced_at last announcement to the relay; GBD_TIME_NEVER: none */
bool gbd_start_may_announce (bool is_platform_unreachable,
                             bool has_relay_responded, uint32_t reader_count,
                             gbd_time_t announced_at, gbd_time_t now);

/** Whether to request everything from a holder that has announced itself.
 *  @param is_complete whether this instance has list, key and routes
 *  @param asked_at last request to another holder; GBD_TIME_NEVER: none */
bool gbd_start_may_ask_holder (bool is_complete, gbd_time_t asked_at,
                               gbd_time_t now);

/** Whether to request a missing key or missing routes from relays.
 *  @param is_first_start whether all instances of the group start for the
 *  first time, so that the platform has no key yet */
bool gbd_start_may_ask_relays (bool is_first_start, gbd_time_t uptime);

GBD_END_DECLS
#endif
