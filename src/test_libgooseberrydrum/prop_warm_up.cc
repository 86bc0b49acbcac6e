#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <random>
#include <vector>

#include "gooseberrydrum/warm_up.h"

/* Whether an instance may send to a cold server now. */
typedef bool (*allow_t) (const gbd_warm_up_share_t *share,
                         const gbd_warm_up_t *warm_up, gbd_backend_id_t server,
                         gbd_time_t now);

namespace
{

constexpr gbd_time_t start = 1000 * GBD_SECOND;
constexpr gbd_time_t duration = 4 * GBD_SECOND;
constexpr uint32_t server_count = 3;

struct scenario_t
{
  gbd_warm_up_settings_t settings;
  gbd_warm_up_limits_t limits;
  uint32_t instance_count;
  bool has_equal_views;           /* all views are as small as they may be */
  int attempt_count;              /* at each instance, besides the bursts */
  std::vector<gbd_time_t> bursts; /* when many callers open flows */
  std::vector<gbd_backend_id_t> servers;
};

typedef std::vector<std::vector<gbd_time_t> > transmissions_t;

/* The fault that the property must find: windows that do not slide. */
bool
allow_by_fixed_windows (const gbd_warm_up_share_t *share,
                        const gbd_warm_up_t *warm_up, gbd_backend_id_t server,
                        gbd_time_t now)
{
  return !share->is_starting && gbd_warm_up_takes_part (share, server)
         && now / share->interval != warm_up->sent_at / share->interval;
}

/* One instance, which may die and start again under its name, be frozen
   between decision and transmission, and have any view of the group that is
   not more than half too small. */
class instance_t
{
public:
  instance_t (const scenario_t &scenario, uint64_t seed)
      : scenario (scenario), random (seed), settings (scenario.settings),
        free_at (start - pick (0, 20 * GBD_SECOND))
  {
    settings.instance = random ();
    restart ();
    update_view (free_at);
  }

  void
  run (allow_t allow, transmissions_t &transmissions)
  {
    std::vector<gbd_time_t> attempts;
    for (const auto burst : scenario.bursts)
      for (int i = 0; i < 3; i++)
        attempts.push_back (burst + pick (0, 50 * GBD_MILLISECOND));
    for (int i = 0; i < scenario.attempt_count; i++)
      attempts.push_back (start + pick (0, duration));
    std::sort (attempts.begin (), attempts.end ());
    for (const auto attempt : attempts)
      if (attempt >= free_at)
        receive (attempt, allow, transmissions);
  }

private:
  const scenario_t &scenario;
  std::mt19937_64 random;
  gbd_warm_up_settings_t settings;
  gbd_warm_up_group_t group;
  gbd_warm_up_t servers[server_count];
  gbd_time_t free_at;

  gbd_time_t
  pick (gbd_time_t low, gbd_time_t high)
  {
    return std::uniform_int_distribution<gbd_time_t> (low, high) (random);
  }

  void
  restart ()
  {
    group = gbd_warm_up_group_t ();
    gbd_warm_up_group_update (&group, 0, free_at);
    for (auto &server : servers)
      gbd_warm_up_init (&server);
  }

  void
  update_view (gbd_time_t now)
  {
    const uint32_t count = scenario.instance_count;
    const uint32_t least = (2 * count + 2) / 3;
    if (scenario.has_equal_views)
      gbd_warm_up_group_update (&group, least, now);
    else if (pick (0, 3) == 0)
      gbd_warm_up_group_update (&group, uint32_t (pick (least, 2 * count)),
                                now);
  }

  void
  receive (gbd_time_t now, allow_t allow, transmissions_t &transmissions)
  {
    update_view (now);
    const gbd_warm_up_share_t share
        = gbd_warm_up_get_share (&settings, &scenario.limits, &group, now);
    const bool is_frozen = pick (0, 19) == 0;
    const gbd_time_t sent_at
        = now + (is_frozen ? pick (0, 3 * GBD_SECOND / 2) : pick (0, 1000));
    for (uint32_t i = 0; i < server_count; i++)
      {
        if (!allow (&share, &servers[i], scenario.servers[i], now))
          continue;
        transmissions[i].push_back (sent_at);
        gbd_warm_up_record_sent (&servers[i], now);
        gbd_warm_up_record_sent (&servers[i], sent_at);
      }
    free_at = sent_at;
    if (pick (0, 29) != 0)
      return;
    free_at += pick (0, GBD_SECOND);
    restart ();
  }
};

/* The most packets that one server got in any second. */
uint32_t
find_maximum (transmissions_t &transmissions)
{
  size_t maximum = 0;
  for (auto &times : transmissions)
    {
      std::sort (times.begin (), times.end ());
      size_t first = 0;
      for (size_t last = 0; last < times.size (); last++)
        {
          while (times[last] - times[first] > GBD_SECOND)
            first++;
          maximum = std::max (maximum, last - first + 1);
        }
    }
  return uint32_t (maximum);
}

void
check_limit (allow_t allow)
{
  scenario_t scenario = {};
  /* The full ranges from the first test on, not only later. */
  scenario.instance_count = *rc::gen::resize (
      rc::kNominalSize, rc::gen::inRange<uint32_t> (1, 301));
  scenario.limits.rate
      = *rc::gen::resize (rc::kNominalSize, rc::gen::inRange<int> (1, 4000))
        / 10.0;
  scenario.limits.duration = duration;
  scenario.settings.overshoot = *rc::gen::inRange<int> (100, 300) / 100.0;
  scenario.settings.slack = *rc::gen::inRange<int> (0, 20);
  std::mt19937_64 random (*rc::gen::arbitrary<uint64_t> ());
  scenario.has_equal_views = *rc::gen::arbitrary<bool> ();
  scenario.attempt_count = *rc::gen::inRange<int> (0, 10);
  /* Pairs of bursts within a second show whether windows slide. */
  const int pair_count = *rc::gen::inRange<int> (0, 6);
  for (int i = 0; i < pair_count; i++)
    {
      scenario.bursts.push_back (start + gbd_time_t (random () % duration));
      scenario.bursts.push_back (scenario.bursts.back ()
                                 + gbd_time_t (random () % GBD_SECOND));
    }
  for (uint32_t i = 0; i < server_count; i++)
    scenario.servers.push_back (random ());
  transmissions_t transmissions (server_count);
  for (uint32_t i = 0; i < scenario.instance_count; i++)
    instance_t (scenario, random ()).run (allow, transmissions);
  const auto budget
      = uint32_t (scenario.limits.rate * scenario.settings.overshoot
                  + scenario.settings.slack);
  RC_ASSERT (find_maximum (transmissions) <= budget);
}

}

int
main ()
{
  const bool holds = rc::check (
      "no cold server gets more than the budget in any sliding second",
      [] { check_limit (gbd_warm_up_allows); });
  std::cout << "The next property has a planted fault and must fail.\n";
  const bool is_fault_missed = rc::check (
      "budget by fixed windows", [] { check_limit (allow_by_fixed_windows); });
  return holds && !is_fault_missed ? 0 : 1;
}
