/** @file wheel.h
 *  Timer wheel over the indexes of an array: one timer an entry.
 */
#ifndef STANDINS_WHEEL_H
#define STANDINS_WHEEL_H

#include "gooseberrydrum/types.h"

#define WHEEL_NONE UINT32_MAX
#define WHEEL_TICK (5 * GBD_MILLISECOND)

typedef struct wheel wheel_t;

/** @param count entries 0 to count - 1, all without a timer */
wheel_t *wheel_new (uint32_t count, gbd_time_t now);
void wheel_delete (wheel_t *wheel);

/** Set an entry's timer, in place of a former one. */
void wheel_set (wheel_t *wheel, uint32_t index, gbd_time_t due);
void wheel_clear (wheel_t *wheel, uint32_t index);

/** Take one entry whose time has come, at most a tick late.
 *  @return WHEEL_NONE when there is none. */
uint32_t wheel_take (wheel_t *wheel, gbd_time_t now);

#endif
