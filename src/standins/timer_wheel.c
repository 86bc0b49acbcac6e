#include "standins/timer_wheel.h"

#include <glib.h>

/* One turn of the wheel takes 82 s; a timer that is due later stays in its
   slot for another turn. */
#define SLOTS 16384

typedef struct
{
  gbd_time_t due;
  uint32_t slot; /* TIMER_WHEEL_NONE without a timer */
  uint32_t previous;
  uint32_t next;
} timer_entry_t;

struct timer_wheel
{
  gbd_time_t tick; /* first tick that has not ended */
  timer_entry_t *timers;
  uint32_t heads[SLOTS];
};

timer_wheel_t *
timer_wheel_new (uint32_t count, gbd_time_t now)
{
  timer_wheel_t *wheel = g_new (timer_wheel_t, 1);
  wheel->tick = now / TIMER_WHEEL_TICK;
  wheel->timers = g_new (timer_entry_t, count);
  for (uint32_t i = 0; i < count; i++)
    wheel->timers[i].slot = TIMER_WHEEL_NONE;
  for (uint32_t i = 0; i < SLOTS; i++)
    wheel->heads[i] = TIMER_WHEEL_NONE;
  return wheel;
}

void
timer_wheel_delete (timer_wheel_t *wheel)
{
  if (!wheel)
    return;
  g_free (wheel->timers);
  g_free (wheel);
}

void
timer_wheel_set (timer_wheel_t *wheel, uint32_t index, gbd_time_t due)
{
  timer_entry_t *timer = &wheel->timers[index];
  timer_wheel_clear (wheel, index);
  gbd_time_t tick = MAX (due / TIMER_WHEEL_TICK, wheel->tick);
  timer->due = due;
  timer->slot = (uint32_t)(tick % SLOTS);
  timer->previous = TIMER_WHEEL_NONE;
  timer->next = wheel->heads[timer->slot];
  if (timer->next != TIMER_WHEEL_NONE)
    wheel->timers[timer->next].previous = index;
  wheel->heads[timer->slot] = index;
}

void
timer_wheel_clear (timer_wheel_t *wheel, uint32_t index)
{
  timer_entry_t *timer = &wheel->timers[index];
  if (timer->slot == TIMER_WHEEL_NONE)
    return;
  if (timer->previous != TIMER_WHEEL_NONE)
    wheel->timers[timer->previous].next = timer->next;
  else
    wheel->heads[timer->slot] = timer->next;
  if (timer->next != TIMER_WHEEL_NONE)
    wheel->timers[timer->next].previous = timer->previous;
  timer->slot = TIMER_WHEEL_NONE;
}

uint32_t
timer_wheel_take_expired (timer_wheel_t *wheel, gbd_time_t now)
{
  /* When a tick has ended, the timers in its slot are due, except those of a
     later turn. */
  for (; wheel->tick < now / TIMER_WHEEL_TICK; wheel->tick++)
    {
      uint32_t index = wheel->heads[wheel->tick % SLOTS];
      for (; index != TIMER_WHEEL_NONE; index = wheel->timers[index].next)
        {
          if (wheel->timers[index].due > now)
            continue; /* due in a later turn of the wheel */
          timer_wheel_clear (wheel, index);
          return index;
        }
    }
  return TIMER_WHEEL_NONE;
}
