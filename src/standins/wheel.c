#include "standins/wheel.h"

#include <glib.h>

#define SLOTS 16384 /* 82 s; timers further off go round again */

typedef struct
{
  gbd_time_t due;
  uint32_t slot; /* WHEEL_NONE without a timer */
  uint32_t previous;
  uint32_t next;
} timer_entry_t;

struct wheel
{
  gbd_time_t tick; /* first tick that is not over */
  timer_entry_t *timers;
  uint32_t heads[SLOTS];
};

wheel_t *
wheel_new (uint32_t count, gbd_time_t now)
{
  wheel_t *wheel = g_new (wheel_t, 1);
  wheel->tick = now / WHEEL_TICK;
  wheel->timers = g_new (timer_entry_t, count);
  for (uint32_t i = 0; i < count; i++)
    wheel->timers[i].slot = WHEEL_NONE;
  for (uint32_t i = 0; i < SLOTS; i++)
    wheel->heads[i] = WHEEL_NONE;
  return wheel;
}

void
wheel_delete (wheel_t *wheel)
{
  if (!wheel)
    return;
  g_free (wheel->timers);
  g_free (wheel);
}

void
wheel_set (wheel_t *wheel, uint32_t index, gbd_time_t due)
{
  timer_entry_t *timer = &wheel->timers[index];
  wheel_clear (wheel, index);
  gbd_time_t tick = MAX (due / WHEEL_TICK, wheel->tick);
  timer->due = due;
  timer->slot = (uint32_t)(tick % SLOTS);
  timer->previous = WHEEL_NONE;
  timer->next = wheel->heads[timer->slot];
  if (timer->next != WHEEL_NONE)
    wheel->timers[timer->next].previous = index;
  wheel->heads[timer->slot] = index;
}

void
wheel_clear (wheel_t *wheel, uint32_t index)
{
  timer_entry_t *timer = &wheel->timers[index];
  if (timer->slot == WHEEL_NONE)
    return;
  if (timer->previous != WHEEL_NONE)
    wheel->timers[timer->previous].next = timer->next;
  else
    wheel->heads[timer->slot] = timer->next;
  if (timer->next != WHEEL_NONE)
    wheel->timers[timer->next].previous = timer->previous;
  timer->slot = WHEEL_NONE;
}

uint32_t
wheel_take (wheel_t *wheel, gbd_time_t now)
{
  /* Only ticks that are over: all their timers are due. */
  for (; wheel->tick < now / WHEEL_TICK; wheel->tick++)
    {
      uint32_t index = wheel->heads[wheel->tick % SLOTS];
      for (; index != WHEEL_NONE; index = wheel->timers[index].next)
        {
          if (wheel->timers[index].due > now)
            continue; /* its turn comes another time round */
          wheel_clear (wheel, index);
          return index;
        }
    }
  return WHEEL_NONE;
}
