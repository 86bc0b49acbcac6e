/** @file timer_wheel.h
 *  Timer wheel with one timer for each entry of an array.
 */
#ifndef STANDINS_TIMER_WHEEL_H
#define STANDINS_TIMER_WHEEL_H

#include "gooseberrydrum/types.h"

#define TIMER_WHEEL_NONE UINT32_MAX
/** Resolution of the timers. */
#define TIMER_WHEEL_TICK (5 * GBD_MILLISECOND)

typedef struct timer_wheel timer_wheel_t;

/** Create a wheel for the entries 0 to count - 1; no timer is set. */
timer_wheel_t *timer_wheel_new (uint32_t count, gbd_time_t now);
void timer_wheel_delete (timer_wheel_t *wheel);

/** Set the timer of an entry; a timer that is already set is replaced. */
void timer_wheel_set (timer_wheel_t *wheel, uint32_t index, gbd_time_t due);
void timer_wheel_clear (timer_wheel_t *wheel, uint32_t index);

/** Take one entry whose timer has expired and clear that timer.  Timers expire
 *  up to one tick late.
 *  @return the index, or TIMER_WHEEL_NONE if no timer has expired. */
uint32_t timer_wheel_take_expired (timer_wheel_t *wheel, gbd_time_t now);

#endif
