/** @file retry.h
 *  When to try again, and when to stop: token bucket, jittered exponential
 *  backoff, retry budget and circuit breaker.
 *
 *  All are plain values without pointers; copy them as needed.
 */
#ifndef GOOSEBERRYDRUM_RETRY_H
#define GOOSEBERRYDRUM_RETRY_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Token bucket: starts full, refills evenly. */
typedef struct
{
  uint32_t rate_per_second; /**< 0 never refills */
  uint32_t capacity;        /**< tokens, at least 1 */
  uint64_t level;           /**< millionths of a token */
  gbd_time_t refilled_at;
} gbd_token_bucket_t;

void gbd_token_bucket_init (gbd_token_bucket_t *bucket,
                            uint32_t rate_per_second, uint32_t capacity,
                            gbd_time_t now);

/** Take one token.  A clock that steps back neither adds nor removes any.
 *  @return false, with nothing taken, when less than one is left. */
bool gbd_token_bucket_take (gbd_token_bucket_t *bucket, gbd_time_t now);

/** Exponential backoff with equal jitter: the n-th delay lies between half
 *  of first * 2^n and the whole of it, and never exceeds `longest`. */
typedef struct
{
  gbd_time_t first;   /**< upper end of the first delay, over 0 */
  gbd_time_t longest; /**< upper end of every delay */
  uint32_t attempts;  /**< delays given since the last success */
  uint64_t random;    /**< state of the jitter */
} gbd_backoff_t;

void gbd_backoff_init (gbd_backoff_t *backoff, gbd_time_t first,
                       gbd_time_t longest, uint64_t random_seed);

/** Delay before the next attempt, in microseconds. */
gbd_time_t gbd_backoff_next (gbd_backoff_t *backoff);

/** Start again from the first delay after a success. */
void gbd_backoff_reset (gbd_backoff_t *backoff);

/** Tokens of a retry budget that one retry costs. */
#define GBD_RETRY_COST 10

/** Retry budget: each first attempt earns one token, each retry costs
 *  GBD_RETRY_COST, so that retries add at most a tenth to the calls.  A
 *  small refill lets a quiet client retry as well. */
typedef struct
{
  uint32_t capacity; /**< tokens */
  uint32_t level;
  gbd_token_bucket_t refill; /**< retries that need no earned token */
} gbd_retry_budget_t;

void gbd_retry_budget_init (gbd_retry_budget_t *budget, uint32_t capacity,
                            uint32_t free_retries_per_second, gbd_time_t now);
void gbd_retry_budget_earn (gbd_retry_budget_t *budget);

/** Ask for one retry.
 *  @return false, with nothing spent, when the budget is used up. */
bool gbd_retry_budget_spend (gbd_retry_budget_t *budget, gbd_time_t now);

/** States of a circuit breaker. */
typedef enum
{
  GBD_BREAKER_CLOSED,   /**< calls pass */
  GBD_BREAKER_OPEN,     /**< calls fail at once, until a pause is over */
  GBD_BREAKER_HALF_OPEN /**< one call at a time tries */
} gbd_breaker_state_t;

/** Circuit breaker: opens after a run of failures without a success between
 *  them, for a jittered pause that doubles with each failed trial. */
typedef struct
{
  gbd_breaker_state_t state;
  uint32_t failures;        /**< since the last success */
  uint32_t failures_max;    /**< that open it */
  gbd_backoff_t pause;      /**< length of the next pause */
  gbd_time_t retry_at;      /**< end of the pause while open */
  gbd_time_t trial_at;      /**< when the call under trial began */
  gbd_time_t trial_timeout; /**< after which a trial without an outcome no
                                longer keeps others from trying */
  bool is_trial_running;
} gbd_breaker_t;

void gbd_breaker_init (gbd_breaker_t *breaker, uint32_t failures_max,
                       gbd_time_t initial_pause, gbd_time_t max_pause,
                       gbd_time_t trial_timeout, uint64_t random_seed);

/** Ask whether a call may start.  In the half-open state a `true` makes it
 *  the trial, so its outcome must be reported. */
bool gbd_breaker_allow (gbd_breaker_t *breaker, gbd_time_t now);

/** Report the outcome of a call that was allowed. */
void gbd_breaker_report (gbd_breaker_t *breaker, bool is_success,
                         gbd_time_t now);

/** State at a time; an open one whose pause is over is half-open. */
gbd_breaker_state_t gbd_breaker_get_state (const gbd_breaker_t *breaker,
                                           gbd_time_t now);

GBD_END_DECLS
#endif
