#include "gooseberrydrum/retry.h"

#include <assert.h>

#define LEVEL_PER_TOKEN ((uint64_t)1000000) /* level units of one token */

static void open_breaker (gbd_breaker_t *breaker, gbd_time_t now);

uint64_t
gbd_random_next (uint64_t *state)
{
  /* The SplitMix64 generator. */
  *state += 0x9e3779b97f4a7c15u;
  uint64_t mixed = *state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
  return mixed ^ (mixed >> 31);
}

void
gbd_token_bucket_init (gbd_token_bucket_t *bucket, uint32_t rate_per_second,
                       uint32_t capacity, gbd_time_t now)
{
  assert (capacity > 0);
  bucket->rate_per_second = rate_per_second;
  bucket->capacity = capacity;
  bucket->level = capacity * LEVEL_PER_TOKEN;
  bucket->refilled_at = now;
}

bool
gbd_token_bucket_take (gbd_token_bucket_t *bucket, gbd_time_t now)
{
  uint64_t full = bucket->capacity * LEVEL_PER_TOKEN;
  if (now > bucket->refilled_at)
    {
      uint64_t elapsed = (uint64_t)(now - bucket->refilled_at);
      uint64_t missing = full - bucket->level;
      bucket->refilled_at = now;
      /* A quotient is compared, because the product of rate and elapsed time
         could overflow. */
      if (bucket->rate_per_second
          && elapsed > missing / bucket->rate_per_second)
        bucket->level = full;
      else
        bucket->level += elapsed * bucket->rate_per_second;
    }
  if (bucket->level < LEVEL_PER_TOKEN)
    return false;
  bucket->level -= LEVEL_PER_TOKEN;
  return true;
}

void
gbd_backoff_init (gbd_backoff_t *backoff, gbd_time_t first, gbd_time_t longest,
                  uint64_t random_seed)
{
  assert (first > 0 && longest >= first);
  backoff->first = first;
  backoff->longest = longest;
  backoff->attempts = 0;
  backoff->random = random_seed;
}

gbd_time_t
gbd_backoff_next (gbd_backoff_t *backoff)
{
  gbd_time_t limit = backoff->first;
  for (uint32_t i = 0; i < backoff->attempts && limit < backoff->longest; i++)
    limit = limit > backoff->longest / 2 ? backoff->longest : limit * 2;
  if (backoff->attempts < UINT32_MAX)
    backoff->attempts++;

  gbd_time_t fixed = limit / 2;
  uint64_t span = (uint64_t)(limit - fixed) + 1;
  return fixed + (gbd_time_t)(gbd_random_next (&backoff->random) % span);
}

void
gbd_backoff_reset (gbd_backoff_t *backoff)
{
  backoff->attempts = 0;
}

void
gbd_retry_budget_init (gbd_retry_budget_t *budget, uint32_t capacity,
                       uint32_t free_retries_per_second, gbd_time_t now)
{
  budget->capacity = capacity;
  budget->level = capacity;
  gbd_token_bucket_init (&budget->refill, free_retries_per_second, 1, now);
}

void
gbd_retry_budget_earn (gbd_retry_budget_t *budget)
{
  if (budget->level < budget->capacity)
    budget->level++;
}

bool
gbd_retry_budget_spend (gbd_retry_budget_t *budget, gbd_time_t now)
{
  if (gbd_token_bucket_take (&budget->refill, now))
    return true;
  if (budget->level < GBD_RETRY_COST)
    return false;
  budget->level -= GBD_RETRY_COST;
  return true;
}

void
gbd_breaker_init (gbd_breaker_t *breaker, uint32_t failures_max,
                  gbd_time_t initial_pause, gbd_time_t max_pause,
                  gbd_time_t trial_timeout, uint64_t random_seed)
{
  assert (failures_max > 0 && trial_timeout > 0);
  *breaker = (gbd_breaker_t){
    .state = GBD_BREAKER_CLOSED,
    .failures_max = failures_max,
    .trial_timeout = trial_timeout,
  };
  gbd_backoff_init (&breaker->pause, initial_pause, max_pause, random_seed);
}

bool
gbd_breaker_allow (gbd_breaker_t *breaker, gbd_time_t now)
{
  breaker->state = gbd_breaker_get_state (breaker, now);
  if (breaker->state == GBD_BREAKER_CLOSED)
    return true;
  if (breaker->state == GBD_BREAKER_OPEN)
    return false;
  if (breaker->is_trial_running
      && now - breaker->trial_at < breaker->trial_timeout)
    return false;
  breaker->is_trial_running = true;
  breaker->trial_at = now;
  return true;
}

void
gbd_breaker_report (gbd_breaker_t *breaker, bool is_success, gbd_time_t now)
{
  if (is_success)
    {
      breaker->state = GBD_BREAKER_CLOSED;
      breaker->failures = 0;
      breaker->is_trial_running = false;
      gbd_backoff_reset (&breaker->pause);
      return;
    }
  if (breaker->failures < breaker->failures_max)
    breaker->failures++;
  bool has_reached_limit = breaker->state == GBD_BREAKER_CLOSED
                           && breaker->failures == breaker->failures_max;
  if (breaker->state == GBD_BREAKER_HALF_OPEN || has_reached_limit)
    open_breaker (breaker, now);
}

gbd_breaker_state_t
gbd_breaker_get_state (const gbd_breaker_t *breaker, gbd_time_t now)
{
  if (breaker->state == GBD_BREAKER_OPEN && now >= breaker->retry_at)
    return GBD_BREAKER_HALF_OPEN;
  return breaker->state;
}

static void
open_breaker (gbd_breaker_t *breaker, gbd_time_t now)
{
  breaker->state = GBD_BREAKER_OPEN;
  breaker->is_trial_running = false;
  breaker->retry_at = now + gbd_backoff_next (&breaker->pause);
}
