#include "gooseberrydrum/peer_evidence.h"

static bool is_distrusted (const gbd_peer_evidence_t *evidence,
                           const gbd_peer_t *peer, gbd_time_t now);
static gbd_time_t get_later (gbd_time_t a, gbd_time_t b);

void
gbd_peer_evidence_add_silence (gbd_peer_evidence_t *evidence,
                               const gbd_peer_t *peer, bool is_probe,
                               gbd_time_t sent_at, gbd_time_t now)
{
  if (sent_at <= evidence->heard_at || is_distrusted (evidence, peer, now))
    return;
  if (is_probe && peer->origin_zone == peer->zone)
    evidence->unreachable_at = get_later (evidence->unreachable_at, sent_at);
  bool is_recent
      = evidence->count > 0
        && now - evidence->reported_at < GBD_PEER_EVIDENCE_PROBE_VALIDITY;
  bool is_other = is_recent && evidence->origin != peer->origin;
  evidence->is_confirmed = is_other || (is_recent && evidence->is_confirmed);
  if (evidence->is_confirmed)
    evidence->failed_at = now;
  evidence->count = is_recent ? evidence->count + 1 : 1;
  evidence->origin = peer->origin;
  evidence->origin_zone = peer->origin_zone;
  evidence->silent_at = get_later (evidence->silent_at, sent_at);
  evidence->reported_at = now;
}

void
gbd_peer_evidence_add_response (gbd_peer_evidence_t *evidence,
                                const gbd_peer_t *peer, gbd_time_t heard_at)
{
  if (heard_at <= evidence->heard_at)
    return;
  evidence->heard_at = heard_at;
  if (heard_at <= evidence->silent_at)
    return;
  bool is_contradiction
      = evidence->count > 0 && evidence->origin_zone != peer->origin_zone;
  if (is_contradiction)
    {
      evidence->distrusted_zone = evidence->origin_zone;
      evidence->distrusted_until = heard_at + GBD_PEER_EVIDENCE_DISTRUST;
    }
  evidence->count = 0;
  evidence->is_confirmed = false;
}

bool
gbd_peer_evidence_end (gbd_peer_evidence_t *evidence, gbd_time_t now)
{
  bool was_reported
      = evidence->count > 0
        && now - evidence->reported_at < GBD_PEER_EVIDENCE_PROBE_VALIDITY;
  evidence->count = 0;
  evidence->is_confirmed = false;
  if (was_reported)
    evidence->heard_at = now;
  return was_reported;
}

bool
gbd_peer_evidence_is_silent (const gbd_peer_evidence_t *evidence,
                             gbd_time_t last_response_at, gbd_time_t now)
{
  gbd_time_t validity = evidence->is_confirmed
                            ? GBD_PEER_EVIDENCE_VALIDITY
                            : GBD_PEER_EVIDENCE_SINGLE_VALIDITY;
  return evidence->count > 0 && evidence->silent_at >= last_response_at
         && now - evidence->reported_at < validity;
}

bool
gbd_peer_evidence_is_unreachable (const gbd_peer_evidence_t *evidence,
                                  gbd_time_t last_response_at, gbd_time_t now)
{
  return evidence->count > 0 && evidence->is_confirmed
         && evidence->unreachable_at > evidence->heard_at
         && evidence->unreachable_at > last_response_at
         && now - evidence->unreachable_at < GBD_PEER_EVIDENCE_PROBE_VALIDITY;
}

uint32_t
gbd_peer_evidence_count_failures (const gbd_peer_evidence_t *evidence,
                                  gbd_time_t last_response_at, gbd_time_t now)
{
  bool is_valid
      = evidence->silent_at > last_response_at
        && now - evidence->reported_at < GBD_PEER_EVIDENCE_PROBE_VALIDITY;
  return is_valid ? evidence->count : 0;
}

bool
gbd_peer_evidence_has_failed (const gbd_peer_evidence_t *evidence,
                              gbd_time_t within, gbd_time_t now)
{
  return evidence->failed_at != 0 && now - evidence->failed_at < within;
}

static bool
is_distrusted (const gbd_peer_evidence_t *evidence, const gbd_peer_t *peer,
               gbd_time_t now)
{
  return now < evidence->distrusted_until
         && peer->origin_zone == evidence->distrusted_zone
         && peer->origin_zone != peer->zone;
}

static gbd_time_t
get_later (gbd_time_t a, gbd_time_t b)
{
  return a > b ? a : b;
}
