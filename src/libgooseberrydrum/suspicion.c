#include "gooseberrydrum/suspicion.h"

static gbd_time_t shorter (gbd_time_t a, gbd_time_t b);

void
gbd_suspicion_answered (gbd_suspicion_t *suspicion, gbd_time_t now)
{
  suspicion->answered_at = now;
  suspicion->unanswered = 0;
}

bool
gbd_suspicion_unanswered (gbd_suspicion_t *suspicion, gbd_time_t sent_at,
                          gbd_time_t now)
{
  if (suspicion->answered_at > sent_at)
    return false;
  bool is_first = suspicion->unanswered == 0;
  suspicion->unanswered++;
  if (is_first)
    {
      suspicion->trial_due = now + GBD_SUSPICION_FIRST_TRIAL;
      suspicion->trial_interval = 2 * GBD_SUSPICION_FIRST_TRIAL;
    }
  return is_first;
}

bool
gbd_suspicion_is_suspected (const gbd_suspicion_t *suspicion)
{
  return suspicion->unanswered > 0;
}

bool
gbd_suspicion_admits (const gbd_suspicion_t *suspicion, gbd_time_t now)
{
  return suspicion->unanswered == 0 || now >= suspicion->trial_due;
}

void
gbd_suspicion_placed (gbd_suspicion_t *suspicion, gbd_time_t now)
{
  if (suspicion->unanswered == 0)
    return;
  suspicion->trial_due = now + suspicion->trial_interval;
  suspicion->trial_interval
      = shorter (2 * suspicion->trial_interval, GBD_SUSPICION_LONGEST_TRIAL);
}

static gbd_time_t
shorter (gbd_time_t a, gbd_time_t b)
{
  return a < b ? a : b;
}
