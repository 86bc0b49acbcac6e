#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "gooseberrydrum/retry.h"

static bool
check_backoff_delays ()
{
  return rc::check ("backoff delays double up to the limit", [] {
    const auto first = *rc::gen::inRange<gbd_time_t> (1, 10 * GBD_SECOND);
    const auto longest
        = first + *rc::gen::inRange<gbd_time_t> (0, 1000 * GBD_SECOND);
    gbd_backoff_t backoff;
    gbd_backoff_init (&backoff, first, longest,
                      *rc::gen::arbitrary<uint64_t> ());
    gbd_time_t limit = first;
    for (int i = 0; i < 40; i++)
      {
        const gbd_time_t delay = gbd_backoff_next (&backoff);
        RC_ASSERT (delay >= limit / 2);
        RC_ASSERT (delay <= limit);
        limit = std::min (limit * 2, longest);
      }
    gbd_backoff_reset (&backoff);
    RC_ASSERT (gbd_backoff_next (&backoff) <= first);
  });
}

static bool
check_bucket_rate ()
{
  return rc::check (
      "tokens taken never exceed capacity plus rate times time", [] {
        const auto rate = *rc::gen::inRange<uint32_t> (0, 5000);
        const auto capacity = *rc::gen::inRange<uint32_t> (1, 100);
        const auto steps = *rc::gen::container<std::vector<int64_t> > (
            rc::gen::inRange<int64_t> (-1000, 100000));
        gbd_token_bucket_t bucket;
        gbd_time_t now = 0;
        gbd_time_t newest = 0;
        uint64_t taken = 0;
        gbd_token_bucket_init (&bucket, rate, capacity, now);
        for (const auto step : steps)
          {
            now += step;
            newest = std::max (newest, now);
            for (int i = 0; i < 3; i++)
              taken += gbd_token_bucket_take (&bucket, now);
            RC_ASSERT (taken
                       <= capacity + rate * (uint64_t)newest / GBD_SECOND);
          }
      });
}

static bool
check_breaker_trials ()
{
  return rc::check ("an open breaker allows one trial call per pause", [] {
    const auto steps = *rc::gen::container<std::vector<int64_t> > (
        rc::gen::inRange<int64_t> (0, 2 * GBD_SECOND));
    gbd_breaker_t breaker;
    gbd_breaker_init (&breaker, 1, GBD_SECOND, 4 * GBD_SECOND, GBD_SECOND, 7);
    gbd_time_t now = 0;
    gbd_time_t last = 0;
    gbd_breaker_report (&breaker, false, now);
    for (const auto step : steps)
      {
        now += step;
        if (!gbd_breaker_allow (&breaker, now))
          continue;
        RC_ASSERT (now - last >= GBD_SECOND / 2);
        RC_ASSERT (!gbd_breaker_allow (&breaker, now));
        gbd_breaker_report (&breaker, false, now);
        last = now;
      }
  });
}

int
main ()
{
  bool passed = check_backoff_delays ();
  passed = check_bucket_rate () && passed;
  passed = check_breaker_trials () && passed;
  return passed ? 0 : 1;
}
