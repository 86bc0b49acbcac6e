#include "membership_private.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_INTERVAL (200 * GBD_MILLISECOND)
#define TOUCH_TIMEOUT (700 * GBD_MILLISECOND)
#define SILENCE_TIMEOUT (1000 * GBD_MILLISECOND)

static gbd_peer_t *find_peer (gbd_membership_t *membership,
                              gbd_instance_id_t id);
static gbd_peer_t *make_room (gbd_membership_t *membership, gbd_time_t now);
static void drop_peer (gbd_membership_t *membership, gbd_peer_t *peer);
static gbd_trust_t trust_after (const gbd_membership_t *membership,
                                const gbd_peer_t *peer,
                                const gbd_message_t *heartbeat,
                                gbd_time_t now);
static bool find_sent_at (const gbd_membership_t *membership,
                          uint64_t sequence, gbd_time_t *sent_at);
static void take_words (gbd_peer_t *peer, const gbd_message_t *heartbeat,
                        gbd_time_t now);
static bool take_progress (gbd_peer_t *peer, const gbd_progress_t *progress);
static uint32_t progress_index (const gbd_peer_t *peer,
                                gbd_service_id_t service);
static bool insert_progress (gbd_peer_t *peer, uint32_t index);
static gbd_time_t pause_limit (const gbd_membership_t *membership);
static bool is_silent (const gbd_membership_t *membership,
                       const gbd_peer_t *peer, gbd_time_t now);
static gbd_time_t last_word (const gbd_membership_t *membership,
                             const gbd_peer_t *peer);
static uint32_t to_ms (gbd_time_t time);

gbd_membership_t *
gbd_membership_new (const gbd_membership_settings_t *settings, gbd_time_t now)
{
  gbd_membership_t *membership = calloc (1, sizeof *membership);
  if (!membership)
    return NULL;
  membership->settings = *settings;
  gbd_membership_settings_t *set = &membership->settings;
  if (set->heartbeat_interval == 0)
    set->heartbeat_interval = HEARTBEAT_INTERVAL;
  if (set->touch_timeout == 0)
    set->touch_timeout = TOUCH_TIMEOUT;
  if (set->silence_timeout == 0)
    set->silence_timeout = SILENCE_TIMEOUT;
  assert (set->self != 0);
  assert (pause_limit (membership) > set->heartbeat_interval);
  membership->platform_at = GBD_TIME_NEVER;
  membership->last_sent_at = now;
  membership->running_since = now;
  return membership;
}

void
gbd_membership_delete (gbd_membership_t *membership)
{
  if (!membership)
    return;
  while (membership->peer_count > 0)
    drop_peer (membership, &membership->peers[0]);
  free (membership);
}

void
gbd_membership_add_peer (gbd_membership_t *membership, gbd_instance_id_t id,
                         gbd_zone_id_t zone, const char *name, gbd_time_t now)
{
  if (id == membership->settings.self)
    return;
  gbd_peer_t *peer = find_peer (membership, id);
  if (!peer)
    {
      peer = make_room (membership, now);
      if (!peer)
        return;
      memset (peer, 0, sizeof *peer);
      peer->id = id;
      peer->trust = (gbd_trust_t){ GBD_TIME_NEVER, GBD_TIME_NEVER };
    }
  peer->zone = zone;
  peer->heard_at = now;
  size_t length = strnlen (name, GBD_NAME_MAX);
  memcpy (peer->name, name, length);
  peer->name[length] = '\0';
}

void
gbd_membership_remove_peer (gbd_membership_t *membership, gbd_instance_id_t id)
{
  gbd_peer_t *peer = find_peer (membership, id);
  if (peer)
    drop_peer (membership, peer);
}

void
gbd_membership_receive (gbd_membership_t *membership,
                        const gbd_message_t *heartbeat, gbd_time_t now)
{
  assert (heartbeat->type == GBD_MESSAGE_HEARTBEAT);
  gbd_peer_t *peer = find_peer (membership, heartbeat->from);
  if (!peer || heartbeat->body.heartbeat.sequence <= peer->sequence)
    return;
  gbd_trust_t trust = trust_after (membership, peer, heartbeat, now);
  peer->sequence = heartbeat->body.heartbeat.sequence;
  peer->heard_at = now;
  peer->is_leaving = heartbeat->body.heartbeat.leaving;
  peer->is_watching = heartbeat->body.heartbeat.watching;
  peer->generation = heartbeat->body.heartbeat.generation;
  peer->covered_ms = heartbeat->body.heartbeat.covered_ms;
  take_words (peer, heartbeat, now);
  bool is_taken = true;
  for (uint16_t i = 0; i < heartbeat->body.heartbeat.progress_count; i++)
    if (!take_progress (peer, &heartbeat->body.heartbeat.progress[i]))
      is_taken = false;
  /* Without the progress the trust could be for an older version.  */
  if (is_taken)
    peer->trust = trust;
}

void
gbd_membership_confirm_platform (gbd_membership_t *membership,
                                 gbd_time_t asked_at)
{
  if (asked_at > membership->platform_at)
    membership->platform_at = asked_at;
}

bool
gbd_membership_is_due (const gbd_membership_t *membership, gbd_time_t now)
{
  return membership->sequence == 0
         || now - membership->last_sent_at
                >= membership->settings.heartbeat_interval;
}

void
gbd_membership_make_heartbeat (gbd_membership_t *membership, gbd_time_t now,
                               gbd_message_t *message)
{
  if (now - membership->last_sent_at > pause_limit (membership))
    membership->running_since = now;
  membership->last_sent_at = now;
  membership->sequence++;
  membership->sent_at[membership->sequence % GBD_SENT_MAX] = now;

  message->type = GBD_MESSAGE_HEARTBEAT;
  message->from = membership->settings.self;
  message->body.heartbeat.sequence = membership->sequence;
  /* Rounded up: trust may be understated.  */
  message->body.heartbeat.platform_age_ms
      = to_ms (now - membership->platform_at + GBD_MILLISECOND - 1);
  message->body.heartbeat.heard_count = (uint16_t)membership->peer_count;
  for (uint32_t i = 0; i < membership->peer_count; i++)
    {
      const gbd_peer_t *peer = &membership->peers[i];
      bool is_heard = gbd_membership_is_heard (membership, peer, now);
      message->body.heartbeat.heard[i]
          = (gbd_heard_t){ .id = peer->id,
                           .sequence = is_heard ? peer->sequence : 0,
                           .age_ms = to_ms (now - peer->heard_at) };
    }
}

uint32_t
gbd_membership_get_peer_count (const gbd_membership_t *membership)
{
  return membership->peer_count;
}

void
gbd_membership_get_peer (const gbd_membership_t *membership, uint32_t index,
                         gbd_time_t now, gbd_peer_info_t *info)
{
  assert (index < membership->peer_count);
  const gbd_peer_t *peer = &membership->peers[index];
  memset (info, 0, sizeof *info);
  info->id = peer->id;
  info->zone = peer->zone;
  memcpy (info->name, peer->name, sizeof info->name);
  info->is_heard = gbd_membership_is_heard (membership, peer, now);
  info->is_silent = is_silent (membership, peer, now);
  info->is_leaving = peer->is_leaving;
  info->is_watching = peer->is_watching;
  info->generation = peer->generation;
  info->heard_at = peer->heard_at;
  info->covered_ms = peer->covered_ms;
}

bool
gbd_membership_find_peer (const gbd_membership_t *membership,
                          gbd_instance_id_t id, gbd_time_t now,
                          gbd_peer_info_t *info)
{
  const gbd_peer_t *peer = gbd_membership_find (membership, id);
  if (!peer)
    return false;
  gbd_membership_get_peer (membership, (uint32_t)(peer - membership->peers),
                           now, info);
  return true;
}

bool
gbd_membership_get_progress (const gbd_membership_t *membership,
                             gbd_instance_id_t id, gbd_service_id_t service,
                             gbd_progress_t *progress)
{
  const gbd_peer_t *peer = gbd_membership_find (membership, id);
  const gbd_peer_progress_t *found
      = peer ? gbd_peer_find_progress (peer, service) : NULL;
  if (!found)
    return false;
  *progress = found->progress;
  return true;
}

const gbd_peer_t *
gbd_membership_find (const gbd_membership_t *membership, gbd_instance_id_t id)
{
  for (uint32_t i = 0; i < membership->peer_count; i++)
    if (membership->peers[i].id == id)
      return &membership->peers[i];
  return NULL;
}

bool
gbd_membership_is_heard (const gbd_membership_t *membership,
                         const gbd_peer_t *peer, gbd_time_t now)
{
  return now - peer->heard_at < membership->settings.silence_timeout;
}

const gbd_peer_progress_t *
gbd_peer_find_progress (const gbd_peer_t *peer, gbd_service_id_t service)
{
  uint32_t index = progress_index (peer, service);
  if (index == peer->progress_count
      || peer->progress[index].progress.service != service)
    return NULL;
  return &peer->progress[index];
}

static gbd_peer_t *
find_peer (gbd_membership_t *membership, gbd_instance_id_t id)
{
  const gbd_peer_t *peer = gbd_membership_find (membership, id);
  return peer ? &membership->peers[peer - membership->peers] : NULL;
}

static gbd_peer_t *
make_room (gbd_membership_t *membership, gbd_time_t now)
{
  if (membership->peer_count == GBD_LIVES_MAX)
    {
      gbd_peer_t *oldest = &membership->peers[0];
      for (uint32_t i = 1; i < membership->peer_count; i++)
        if (membership->peers[i].heard_at < oldest->heard_at)
          oldest = &membership->peers[i];
      if (gbd_membership_is_heard (membership, oldest, now))
        return NULL;
      drop_peer (membership, oldest);
    }
  return &membership->peers[membership->peer_count++];
}

static void
drop_peer (gbd_membership_t *membership, gbd_peer_t *peer)
{
  free (peer->progress);
  membership->peer_count--;
  gbd_peer_t *last = &membership->peers[membership->peer_count];
  if (peer != last)
    *peer = *last;
}

/* Trust in a peer after its heartbeat.  The heartbeat left it no earlier than
   the time at which it had received the one of ours that it acknowledges, and
   no earlier than that one was sent.  */
static gbd_trust_t
trust_after (const gbd_membership_t *membership, const gbd_peer_t *peer,
             const gbd_message_t *heartbeat, gbd_time_t now)
{
  gbd_trust_t trust = peer->trust;
  for (uint16_t i = 0; i < heartbeat->body.heartbeat.heard_count; i++)
    {
      const gbd_heard_t *heard = &heartbeat->body.heartbeat.heard[i];
      gbd_time_t sent_at;
      if (heard->id != membership->settings.self
          || !find_sent_at (membership, heard->sequence, &sent_at))
        continue;
      if (sent_at > trust.acked_at)
        trust.acked_at = sent_at;
      uint32_t age_ms = heartbeat->body.heartbeat.platform_age_ms;
      if (age_ms == UINT32_MAX)
        continue;
      gbd_time_t left_at = sent_at + heard->age_ms * GBD_MILLISECOND;
      if (left_at > now)
        left_at = now;
      gbd_time_t platform_at = left_at - age_ms * GBD_MILLISECOND;
      if (platform_at > trust.platform_at)
        trust.platform_at = platform_at;
    }
  return trust;
}

static bool
find_sent_at (const gbd_membership_t *membership, uint64_t sequence,
              gbd_time_t *sent_at)
{
  if (sequence == 0 || sequence > membership->sequence
      || membership->sequence - sequence >= GBD_SENT_MAX)
    return false;
  *sent_at = membership->sent_at[sequence % GBD_SENT_MAX];
  return true;
}

static void
take_words (gbd_peer_t *peer, const gbd_message_t *heartbeat, gbd_time_t now)
{
  peer->word_count = 0;
  for (uint16_t i = 0; i < heartbeat->body.heartbeat.heard_count; i++)
    {
      const gbd_heard_t *heard = &heartbeat->body.heartbeat.heard[i];
      if (heard->sequence == 0 || peer->word_count == GBD_LIVES_MAX)
        continue;
      peer->words[peer->word_count++]
          = (gbd_word_t){ .id = heard->id,
                          .heard_at = now - heard->age_ms * GBD_MILLISECOND };
    }
}

/* False when memory is short.  */
static bool
take_progress (gbd_peer_t *peer, const gbd_progress_t *progress)
{
  uint32_t index = progress_index (peer, progress->service);
  bool is_known
      = index < peer->progress_count
        && peer->progress[index].progress.service == progress->service;
  if (!is_known && !insert_progress (peer, index))
    return false;
  gbd_peer_progress_t *own = &peer->progress[index];
  if (progress->version > own->progress.version)
    {
      own->former_version = own->progress.version;
      own->former_trust = peer->trust;
    }
  own->progress = *progress;
  return true;
}

/* Position of a service, or where it would be inserted.  */
static uint32_t
progress_index (const gbd_peer_t *peer, gbd_service_id_t service)
{
  uint32_t low = 0;
  uint32_t high = peer->progress_count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (peer->progress[middle].progress.service < service)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
insert_progress (gbd_peer_t *peer, uint32_t index)
{
  if (peer->progress_count == GBD_SERVICES_MAX)
    return false;
  size_t count = peer->progress_count + (size_t)1;
  gbd_peer_progress_t *grown = realloc (peer->progress, count * sizeof *grown);
  if (!grown)
    return false;
  memmove (grown + index + 1, grown + index,
           (peer->progress_count - index) * sizeof *grown);
  memset (grown + index, 0, sizeof *grown);
  peer->progress = grown;
  peer->progress_count++;
  return true;
}

/* A gap between heartbeats that silence must not be concluded across.  */
static gbd_time_t
pause_limit (const gbd_membership_t *membership)
{
  return membership->settings.silence_timeout
         - membership->settings.touch_timeout;
}

static bool
is_silent (const gbd_membership_t *membership, const gbd_peer_t *peer,
           gbd_time_t now)
{
  if (now - membership->last_sent_at > pause_limit (membership))
    return false;
  gbd_time_t since = last_word (membership, peer);
  if (since < membership->running_since)
    since = membership->running_since;
  return now - since >= membership->settings.silence_timeout;
}

/* When the peer was last heard, by itself or by a witness.  */
static gbd_time_t
last_word (const gbd_membership_t *membership, const gbd_peer_t *peer)
{
  gbd_time_t latest = peer->heard_at;
  for (uint32_t i = 0; i < membership->peer_count; i++)
    {
      const gbd_peer_t *witness = &membership->peers[i];
      for (uint16_t j = 0; j < witness->word_count; j++)
        if (witness->words[j].id == peer->id
            && witness->words[j].heard_at > latest)
          latest = witness->words[j].heard_at;
    }
  return latest;
}

/* Whole milliseconds, within what the message holds.  */
static uint32_t
to_ms (gbd_time_t time)
{
  if (time < 0)
    return 0;
  gbd_time_t ms = time / GBD_MILLISECOND;
  return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}
