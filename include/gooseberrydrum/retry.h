/** @file retry.h
 *  Retry policies: token bucket, exponential backoff with jitter, retry budget
 *  and circuit breaker.
 *
 *  All types are plain values without pointers and may be copied.
 */
#ifndef GOOSEBERRYDRUM_RETRY_H
#define GOOSEBERRYDRUM_RETRY_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** @return the next number of a random generator (SplitMix64). */
uint64_t gbd_random_next (uint64_t *state);

/** Token bucket: starts full and refills at a constant rate. */
typedef struct
{
  uint32_t rate_per_second; /**< 0: never refills */
  uint32_t capacity;        /**< tokens, at least 1 */
  uint64_t level;           /**< millionths of a token */
  gbd_time_t refilled_at;
} gbd_token_bucket_t;

void gbd_token_bucket_init (gbd_token_bucket_t *bucket,
                            uint32_t rate_per_second, uint32_t capacity,
                            gbd_time_t now);

/** Take one token.  A clock that steps back neither adds nor removes tokens.
 *  @return false, with nothing taken, if less than one token is left. */
bool gbd_token_bucket_take (gbd_token_bucket_t *bucket, gbd_time_t now);

/** Exponential backoff with equal jitter: the n-th delay, counted from 0, lies
 *  between half of first * 2^n and first * 2^n, and never exceeds `longest`.
 */
typedef struct
{
  gbd_time_t first;   /**< upper bound of the first delay, greater than 0 */
  gbd_time_t longest; /**< upper bound of every delay */
  uint32_t attempts;  /**< delays since the last success */
  uint64_t random;    /**< state of the random generator of the jitter */
} gbd_backoff_t;

void gbd_backoff_init (gbd_backoff_t *backoff, gbd_time_t first,
                       gbd_time_t longest, uint64_t random_seed);

/** @return the delay before the next attempt, in microseconds. */
gbd_time_t gbd_backoff_next (gbd_backoff_t *backoff);

/** Return to the first delay, after a success. */
void gbd_backoff_reset (gbd_backoff_t *backoff);

/** Number of tokens that one retry takes from a retry budget. */
#define GBD_RETRY_COST 10

/** Retry budget: each first attempt earns one token and each retry costs
 *  GBD_RETRY_COST, so retries add at most a tenth to the number of calls.  A
 *  slow refill lets a client with few calls retry as well. */
typedef struct
{
  uint32_t capacity; /**< tokens */
  uint32_t level;
  gbd_token_bucket_t refill; /**< retries that need no earned tokens */
} gbd_retry_budget_t;

void gbd_retry_budget_init (gbd_retry_budget_t *budget, uint32_t capacity,
                            uint32_t free_retries_per_second, gbd_time_t now);
void gbd_retry_budget_earn (gbd_retry_budget_t *budget);

/** Request one retry.
 *  @return false, with nothing spent, if the budget is exhausted. */
bool gbd_retry_budget_spend (gbd_retry_budget_t *budget, gbd_time_t now);

/** States of a circuit breaker. */
typedef enum
{
  GBD_BREAKER_CLOSED,   /**< calls are allowed */
  GBD_BREAKER_OPEN,     /**< calls fail at once until the pause is over */
  GBD_BREAKER_HALF_OPEN /**< one trial call at a time is allowed */
} gbd_breaker_state_t;

/** Circuit breaker: opens after a number of consecutive failures, for a pause
 *  with jitter that doubles with each failed trial. */
typedef struct
{
  gbd_breaker_state_t state;
  uint32_t failures;        /**< consecutive failures */
  uint32_t failures_max;    /**< number that opens the breaker */
  gbd_backoff_t pause;      /**< yields the length of each pause */
  gbd_time_t retry_at;      /**< end of the pause while open */
  gbd_time_t trial_at;      /**< start of the running trial */
  gbd_time_t trial_timeout; /**< time after which a trial without a result no
                                 longer blocks the next one */
  bool is_trial_running;
} gbd_breaker_t;

void gbd_breaker_init (gbd_breaker_t *breaker, uint32_t failures_max,
                       gbd_time_t initial_pause, gbd_time_t max_pause,
                       gbd_time_t trial_timeout, uint64_t random_seed);

/** Request permission to start a call.  In the half-open state, an
 *  allowed call is the trial, and its result must be reported. */
bool gbd_breaker_allow (gbd_breaker_t *breaker, gbd_time_t now);

/** Report the result of a call that was allowed. */
void gbd_breaker_report (gbd_breaker_t *breaker, bool is_success,
                         gbd_time_t now);

/** @return the state at a time; an open breaker whose pause is over is
 *  half-open. */
gbd_breaker_state_t gbd_breaker_get_state (const gbd_breaker_t *breaker,
                                           gbd_time_t now);

GBD_END_DECLS
#endif
