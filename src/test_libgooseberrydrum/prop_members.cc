#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "gooseberrydrum/members.h"

static const gbd_time_t start_time = 1000 * GBD_SECOND;
static const uint32_t relay_count_max = 3;

struct instance_t
{
  gbd_address_t address;
  std::string zone;
  uint32_t relay; /* that it reads from */
};

static gbd_address_t
make_address (uint32_t number)
{
  gbd_address_t address = {};
  address.family = number % 5 == 0 ? 6 : 4;
  address.port = static_cast<uint16_t> (1 + number % 3);
  address.ip[1] = static_cast<uint8_t> (number >> 8);
  address.ip[2] = static_cast<uint8_t> (number);
  return address;
}

/* Relays with random readers, some of which move to another relay, stop or
   join.  When all relays have reported to each other, each zone's ranks are
   0, 1, ..., without gaps, whichever relay an instance reads from. */
static bool
check_ranks ()
{
  return rc::check ("ranks of a zone are distinct and dense", [] {
    const auto relay_count
        = *rc::gen::inRange<uint32_t> (1, relay_count_max + 1);
    const auto count = *rc::gen::inRange<uint32_t> (0, 120);
    const auto zone_count = *rc::gen::inRange<uint32_t> (1, 5);
    const auto zone_of = [&] {
      return "zone-"
             + std::to_string (*rc::gen::inRange<uint32_t> (0, zone_count));
    };
    std::vector<instance_t> relays;
    std::vector<gbd_members_t *> tables;
    for (uint32_t i = 0; i < relay_count; i++)
      {
        relays.push_back ({ make_address (10000 + i), zone_of (), i });
        tables.push_back (gbd_members_new (&relays[i].address,
                                           relays[i].zone.c_str (),
                                           relay_count - 1, start_time));
      }
    std::vector<instance_t> readers;
    for (uint32_t i = 0; i < count; i++)
      readers.push_back ({ make_address (i), zone_of (),
                           *rc::gen::inRange<uint32_t> (0, relay_count) });
    gbd_time_t now = start_time;
    const auto is_later = *rc::gen::container<std::vector<bool> > (
        count, rc::gen::arbitrary<bool> ());
    for (int second = 0; second < 12; second++)
      {
        now += GBD_SECOND;
        for (uint32_t i = 0; i < count; i++)
          {
            /* Some stop, some move and some join in the fourth second. */
            const bool is_stopped = is_later[i] && i % 3 == 0 && second > 3;
            const bool is_absent = is_later[i] && i % 3 == 1 && second <= 3;
            if (is_later[i] && i % 3 == 2 && second == 4)
              readers[i].relay = (readers[i].relay + 1) % relay_count;
            if (!is_stopped && !is_absent)
              gbd_members_record (tables[readers[i].relay],
                                  &readers[i].address,
                                  readers[i].zone.c_str (), now);
          }
        for (uint32_t i = 0; i < relay_count; i++)
          for (uint32_t j = 0; j < relay_count; j++)
            {
              if (i == j)
                continue;
              const uint32_t peer = j < i ? j : j - 1;
              gbd_group_member_t member;
              uint32_t position = 0;
              gbd_members_record_response (tables[i], peer, now);
              while (gbd_members_next_own (tables[j], &position, &member, now))
                gbd_members_merge (tables[i], peer, &member, now);
            }
      }
    std::vector<instance_t> running = relays;
    for (uint32_t i = 0; i < count; i++)
      if (!(is_later[i] && i % 3 == 0))
        running.push_back (readers[i]);
    std::map<std::string, std::vector<uint32_t> > ranks;
    for (const auto &instance : running)
      {
        gbd_group_view_t view;
        RC_ASSERT (gbd_members_is_complete (tables[instance.relay], now));
        RC_ASSERT (gbd_members_get_view (tables[instance.relay],
                                         &instance.address, &view, now));
        RC_ASSERT (view.total == running.size ());
        ranks[instance.zone].push_back (view.zone_rank);
        RC_ASSERT (
            view.zone_count
            == static_cast<uint32_t> (std::count_if (
                running.begin (), running.end (), [&] (const instance_t &it) {
                  return it.zone == instance.zone;
                })));
      }
    for (auto &zone : ranks)
      {
        std::sort (zone.second.begin (), zone.second.end ());
        for (uint32_t i = 0; i < zone.second.size (); i++)
          RC_ASSERT (zone.second[i] == i);
      }
    for (auto *table : tables)
      gbd_members_delete (table);
  });
}

int
main ()
{
  return check_ranks () ? 0 : 1;
}
