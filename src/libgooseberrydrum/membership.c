#include "membership_private.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_INTERVAL (200 * GBD_MILLISECOND)
#define LEASE_TIMEOUT (700 * GBD_MILLISECOND)
#define FAILURE_TIMEOUT (1000 * GBD_MILLISECOND)

static gbd_peer_t *find_peer (gbd_membership_t *membership,
                              gbd_instance_id_t id);
static gbd_peer_t *allocate_peer (gbd_membership_t *membership,
                                  gbd_time_t now);
static void remove_peer (gbd_membership_t *membership, gbd_peer_t *peer);
static gbd_lease_grant_t compute_grant (const gbd_membership_t *membership,
                                        const gbd_peer_t *peer,
                                        const gbd_message_t *heartbeat,
                                        gbd_time_t now);
static bool find_sent_at (const gbd_membership_t *membership,
                          uint64_t sequence, gbd_time_t *sent_at);
static void store_reports (gbd_peer_t *peer, const gbd_message_t *heartbeat,
                           gbd_time_t now);
static bool store_progress (gbd_peer_t *peer, const gbd_progress_t *progress);
static uint32_t progress_index (const gbd_peer_t *peer,
                                gbd_service_id_t service);
static bool insert_progress (gbd_peer_t *peer, uint32_t index);
static gbd_time_t pause_limit (const gbd_membership_t *membership);
static bool is_failed (const gbd_membership_t *membership,
                       const gbd_peer_t *peer, gbd_time_t now);
static gbd_time_t last_contact (const gbd_membership_t *membership,
                                const gbd_peer_t *peer);
static uint32_t to_ms (gbd_time_t time);

gbd_membership_t *
gbd_membership_new (const gbd_membership_settings_t *settings, gbd_time_t now)
{
  gbd_membership_t *membership = calloc (1, sizeof *membership);
  if (!membership)
    return NULL;
  membership->settings = *settings;
  gbd_membership_settings_t *stored = &membership->settings;
  if (stored->heartbeat_interval == 0)
    stored->heartbeat_interval = HEARTBEAT_INTERVAL;
  if (stored->lease_timeout == 0)
    stored->lease_timeout = LEASE_TIMEOUT;
  if (stored->failure_timeout == 0)
    stored->failure_timeout = FAILURE_TIMEOUT;
  assert (stored->self != 0);
  assert (pause_limit (membership) > stored->heartbeat_interval);
  membership->platform_confirmed_at = GBD_TIME_NEVER;
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
    remove_peer (membership, &membership->peers[0]);
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
      peer = allocate_peer (membership, now);
      if (!peer)
        return;
      memset (peer, 0, sizeof *peer);
      peer->id = id;
      peer->grant = (gbd_lease_grant_t){ GBD_TIME_NEVER, GBD_TIME_NEVER };
    }
  peer->zone = zone;
  peer->last_received_at = now;
  size_t length = strnlen (name, GBD_NAME_MAX);
  memcpy (peer->name, name, length);
  peer->name[length] = '\0';
}

void
gbd_membership_remove_peer (gbd_membership_t *membership, gbd_instance_id_t id)
{
  gbd_peer_t *peer = find_peer (membership, id);
  if (peer)
    remove_peer (membership, peer);
}

void
gbd_membership_receive (gbd_membership_t *membership,
                        const gbd_message_t *heartbeat, gbd_time_t now)
{
  assert (heartbeat->type == GBD_MESSAGE_HEARTBEAT);
  gbd_peer_t *peer = find_peer (membership, heartbeat->from);
  if (!peer || heartbeat->body.heartbeat.sequence <= peer->sequence)
    return;
  gbd_lease_grant_t grant = compute_grant (membership, peer, heartbeat, now);
  peer->sequence = heartbeat->body.heartbeat.sequence;
  peer->last_received_at = now;
  peer->is_leaving = heartbeat->body.heartbeat.leaving;
  peer->is_watching = heartbeat->body.heartbeat.watching;
  peer->generation = heartbeat->body.heartbeat.generation;
  peer->loss_free_ms = heartbeat->body.heartbeat.loss_free_ms;
  store_reports (peer, heartbeat, now);
  bool is_stored = true;
  for (uint16_t i = 0; i < heartbeat->body.heartbeat.progress_count; i++)
    if (!store_progress (peer, &heartbeat->body.heartbeat.progress[i]))
      is_stored = false;
  /* Without the stored progress, the grant might be applied to an older
     version than the peer holds.  */
  if (is_stored)
    peer->grant = grant;
}

void
gbd_membership_confirm_platform (gbd_membership_t *membership,
                                 gbd_time_t requested_at)
{
  if (requested_at > membership->platform_confirmed_at)
    membership->platform_confirmed_at = requested_at;
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
  membership->sent_at[membership->sequence % GBD_SENT_HEARTBEATS_MAX] = now;

  message->type = GBD_MESSAGE_HEARTBEAT;
  message->from = membership->settings.self;
  message->body.heartbeat.sequence = membership->sequence;
  /* The age is rounded up, as the lease that a peer computes from it may be
     too short but not too long.  */
  message->body.heartbeat.platform_age_ms
      = to_ms (now - membership->platform_confirmed_at + GBD_MILLISECOND - 1);
  message->body.heartbeat.ack_count = (uint16_t)membership->peer_count;
  for (uint32_t i = 0; i < membership->peer_count; i++)
    {
      const gbd_peer_t *peer = &membership->peers[i];
      bool is_reachable = gbd_membership_is_reachable (membership, peer, now);
      message->body.heartbeat.acks[i] = (gbd_heartbeat_ack_t){
        .id = peer->id,
        .sequence = is_reachable ? peer->sequence : 0,
        .age_ms = to_ms (now - peer->last_received_at)
      };
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
  info->is_reachable = gbd_membership_is_reachable (membership, peer, now);
  info->is_failed = is_failed (membership, peer, now);
  info->is_leaving = peer->is_leaving;
  info->is_watching = peer->is_watching;
  info->generation = peer->generation;
  info->last_received_at = peer->last_received_at;
  info->loss_free_ms = peer->loss_free_ms;
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
gbd_membership_is_reachable (const gbd_membership_t *membership,
                             const gbd_peer_t *peer, gbd_time_t now)
{
  return now - peer->last_received_at < membership->settings.failure_timeout;
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
allocate_peer (gbd_membership_t *membership, gbd_time_t now)
{
  if (membership->peer_count == GBD_INCARNATIONS_MAX)
    {
      gbd_peer_t *oldest = &membership->peers[0];
      for (uint32_t i = 1; i < membership->peer_count; i++)
        if (membership->peers[i].last_received_at < oldest->last_received_at)
          oldest = &membership->peers[i];
      if (gbd_membership_is_reachable (membership, oldest, now))
        return NULL;
      remove_peer (membership, oldest);
    }
  return &membership->peers[membership->peer_count++];
}

static void
remove_peer (gbd_membership_t *membership, gbd_peer_t *peer)
{
  free (peer->progress);
  membership->peer_count--;
  gbd_peer_t *last = &membership->peers[membership->peer_count];
  if (peer != last)
    *peer = *last;
}

/* Compute the lease grant of a peer after one of its heartbeats.  The peer
   cannot have received the acknowledged heartbeat before this instance sent
   it, and the peer sent its own heartbeat the reported age after it received
   that one.  These earliest possible times are used, so that the lease is
   never too long.  */
static gbd_lease_grant_t
compute_grant (const gbd_membership_t *membership, const gbd_peer_t *peer,
               const gbd_message_t *heartbeat, gbd_time_t now)
{
  gbd_lease_grant_t grant = peer->grant;
  for (uint16_t i = 0; i < heartbeat->body.heartbeat.ack_count; i++)
    {
      const gbd_heartbeat_ack_t *ack = &heartbeat->body.heartbeat.acks[i];
      gbd_time_t sent_at;
      if (ack->id != membership->settings.self
          || !find_sent_at (membership, ack->sequence, &sent_at))
        continue;
      if (sent_at > grant.acked_sent_at)
        grant.acked_sent_at = sent_at;
      uint32_t age_ms = heartbeat->body.heartbeat.platform_age_ms;
      if (age_ms == UINT32_MAX)
        continue;
      gbd_time_t peer_sent_at = sent_at + ack->age_ms * GBD_MILLISECOND;
      if (peer_sent_at > now)
        peer_sent_at = now;
      gbd_time_t platform_confirmed_at
          = peer_sent_at - age_ms * GBD_MILLISECOND;
      if (platform_confirmed_at > grant.platform_confirmed_at)
        grant.platform_confirmed_at = platform_confirmed_at;
    }
  return grant;
}

static bool
find_sent_at (const gbd_membership_t *membership, uint64_t sequence,
              gbd_time_t *sent_at)
{
  if (sequence == 0 || sequence > membership->sequence
      || membership->sequence - sequence >= GBD_SENT_HEARTBEATS_MAX)
    return false;
  *sent_at = membership->sent_at[sequence % GBD_SENT_HEARTBEATS_MAX];
  return true;
}

static void
store_reports (gbd_peer_t *peer, const gbd_message_t *heartbeat,
               gbd_time_t now)
{
  peer->report_count = 0;
  for (uint16_t i = 0; i < heartbeat->body.heartbeat.ack_count; i++)
    {
      const gbd_heartbeat_ack_t *ack = &heartbeat->body.heartbeat.acks[i];
      if (ack->sequence == 0 || peer->report_count == GBD_INCARNATIONS_MAX)
        continue;
      peer->reports[peer->report_count++] = (gbd_reachability_report_t){
        .id = ack->id, .last_received_at = now - ack->age_ms * GBD_MILLISECOND
      };
    }
}

/* Store the progress of a peer with one service.  Returns false when memory is
   short.  */
static bool
store_progress (gbd_peer_t *peer, const gbd_progress_t *progress)
{
  uint32_t index = progress_index (peer, progress->service);
  bool is_known
      = index < peer->progress_count
        && peer->progress[index].progress.service == progress->service;
  if (!is_known && !insert_progress (peer, index))
    return false;
  gbd_peer_progress_t *entry = &peer->progress[index];
  if (progress->version > entry->progress.version)
    {
      entry->previous_version = entry->progress.version;
      entry->previous_grant = peer->grant;
    }
  entry->progress = *progress;
  return true;
}

/* Index of a service in the peer's progress, or the index at which to insert
   it.  */
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

/* Longest time between two heartbeats of this instance after which it may
   still consider peers failed; a longer time means that this process was
   paused.  */
static gbd_time_t
pause_limit (const gbd_membership_t *membership)
{
  return membership->settings.failure_timeout
         - membership->settings.lease_timeout;
}

static bool
is_failed (const gbd_membership_t *membership, const gbd_peer_t *peer,
           gbd_time_t now)
{
  if (now - membership->last_sent_at > pause_limit (membership))
    return false;
  gbd_time_t since = last_contact (membership, peer);
  if (since < membership->running_since)
    since = membership->running_since;
  return now - since >= membership->settings.failure_timeout;
}

/* Time at which the newest heartbeat of a peer arrived, either at this
   instance or, according to its reports, at another peer.  */
static gbd_time_t
last_contact (const gbd_membership_t *membership, const gbd_peer_t *peer)
{
  gbd_time_t latest = peer->last_received_at;
  for (uint32_t i = 0; i < membership->peer_count; i++)
    {
      const gbd_peer_t *reporter = &membership->peers[i];
      for (uint16_t j = 0; j < reporter->report_count; j++)
        if (reporter->reports[j].id == peer->id
            && reporter->reports[j].last_received_at > latest)
          latest = reporter->reports[j].last_received_at;
    }
  return latest;
}

/* Convert a time to milliseconds, limited to the range of the 32-bit message
   field.  */
static uint32_t
to_ms (gbd_time_t time)
{
  if (time < 0)
    return 0;
  gbd_time_t ms = time / GBD_MILLISECOND;
  return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}
