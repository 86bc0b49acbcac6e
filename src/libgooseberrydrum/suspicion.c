#include "gooseberrydrum/suspicion.h"

const char *const gbd_probe_strings[GBD_PROBE_COUNT]
    = { "none", "accepted", "refused", "silent" };

static bool needs_probe (const gbd_suspicion_t *suspicion);
static gbd_time_t get_earlier (gbd_time_t a, gbd_time_t b);

void
gbd_suspicion_record_response (gbd_suspicion_t *suspicion, gbd_time_t now)
{
  if (suspicion->probe == GBD_PROBE_REFUSED)
    suspicion->refused_at = now;
  suspicion->last_response_at = now;
  if (suspicion->unanswered > 0)
    suspicion->failed_at = now;
  suspicion->unanswered = 0;
  suspicion->probe = GBD_PROBE_NONE;
}

bool
gbd_suspicion_record_failure (gbd_suspicion_t *suspicion, gbd_time_t sent_at,
                              gbd_time_t now)
{
  if (suspicion->last_response_at > sent_at)
    return false;
  bool is_first = suspicion->unanswered == 0;
  suspicion->unanswered++;
  suspicion->failed_at = now;
  if (is_first)
    {
      suspicion->trial_due = now + GBD_SUSPICION_FIRST_TRIAL;
      suspicion->trial_interval = 2 * GBD_SUSPICION_FIRST_TRIAL;
      suspicion->probe_due = now;
      suspicion->probe_interval = GBD_SUSPICION_FIRST_TRIAL;
    }
  return is_first;
}

void
gbd_suspicion_record_removal (gbd_suspicion_t *suspicion, gbd_time_t now)
{
  suspicion->is_removed = true;
  suspicion->probe_due = now;
  suspicion->probe_interval = GBD_SUSPICION_FIRST_TRIAL;
}

void
gbd_suspicion_record_listing (gbd_suspicion_t *suspicion)
{
  suspicion->is_removed = false;
}

void
gbd_suspicion_record_reset (gbd_suspicion_t *suspicion, gbd_time_t now)
{
  suspicion->failed_at = now;
}

bool
gbd_suspicion_is_suspected (const gbd_suspicion_t *suspicion)
{
  return suspicion->unanswered > 0;
}

bool
gbd_suspicion_has_failed (const gbd_suspicion_t *suspicion, gbd_time_t within,
                          gbd_time_t now)
{
  return suspicion->unanswered > 0
         || (suspicion->failed_at != 0 && now - suspicion->failed_at < within);
}

void
gbd_suspicion_record_silence (gbd_suspicion_t *suspicion, gbd_time_t now)
{
  suspicion->failed_at = now;
}

bool
gbd_suspicion_is_probe_due (const gbd_suspicion_t *suspicion, gbd_time_t now)
{
  return needs_probe (suspicion) && now >= suspicion->probe_due;
}

void
gbd_suspicion_begin_probe (gbd_suspicion_t *suspicion, gbd_time_t now)
{
  suspicion->probe_due = now + suspicion->probe_interval;
  suspicion->probe_interval = get_earlier (2 * suspicion->probe_interval,
                                           GBD_SUSPICION_LONGEST_TRIAL);
}

bool
gbd_suspicion_record_probe (gbd_suspicion_t *suspicion,
                            gbd_probe_result_t result, gbd_time_t began_at,
                            gbd_time_t now)
{
  if (!needs_probe (suspicion) || suspicion->last_response_at >= began_at)
    return false;
  bool has_changed = gbd_suspicion_get_probe (suspicion, now) != result;
  if (suspicion->probe == GBD_PROBE_REFUSED || result == GBD_PROBE_REFUSED)
    suspicion->refused_at = now;
  suspicion->probe_count = has_changed ? 1 : suspicion->probe_count + 1;
  suspicion->probe = (uint8_t)result;
  suspicion->probed_at = began_at;
  /* The backend server has recovered, so the next flow is a trial.  While it
     was down, none was possible, so none is overdue. */
  if (result == GBD_PROBE_ACCEPTED && has_changed)
    suspicion->trial_due = now;
  return has_changed;
}

gbd_probe_result_t
gbd_suspicion_get_probe (const gbd_suspicion_t *suspicion, gbd_time_t now)
{
  if (!needs_probe (suspicion)
      || now - suspicion->probed_at > GBD_SUSPICION_PROBE_VALIDITY)
    return GBD_PROBE_NONE;
  return (gbd_probe_result_t)suspicion->probe;
}

uint32_t
gbd_suspicion_count_failures (const gbd_suspicion_t *suspicion, gbd_time_t now)
{
  bool is_failed
      = gbd_suspicion_get_probe (suspicion, now) == GBD_PROBE_NO_RESPONSE;
  return suspicion->unanswered + (is_failed ? suspicion->probe_count : 0);
}

bool
gbd_suspicion_accepts_flow (const gbd_suspicion_t *suspicion, gbd_time_t now)
{
  if (suspicion->unanswered == 0)
    return true;
  gbd_probe_result_t probe = gbd_suspicion_get_probe (suspicion, now);
  return now >= suspicion->trial_due && probe != GBD_PROBE_REFUSED
         && probe != GBD_PROBE_NO_RESPONSE;
}

bool
gbd_suspicion_is_trial_overdue (const gbd_suspicion_t *suspicion,
                                gbd_time_t now)
{
  /* The last result counts even when it is outdated, which it is after a pause
     of the process: no trial was possible until then. */
  return suspicion->unanswered > 0 && suspicion->probe != GBD_PROBE_REFUSED
         && suspicion->probe != GBD_PROBE_NO_RESPONSE
         && now - suspicion->trial_due >= GBD_SUSPICION_LONGEST_TRIAL;
}

void
gbd_suspicion_record_placement (gbd_suspicion_t *suspicion, gbd_time_t now)
{
  if (suspicion->unanswered == 0)
    return;
  suspicion->trial_due = now + suspicion->trial_interval;
  suspicion->trial_interval = get_earlier (2 * suspicion->trial_interval,
                                           GBD_SUSPICION_LONGEST_TRIAL);
}

static bool
needs_probe (const gbd_suspicion_t *suspicion)
{
  return suspicion->unanswered > 0 || suspicion->is_removed;
}

static gbd_time_t
get_earlier (gbd_time_t a, gbd_time_t b)
{
  return a < b ? a : b;
}
