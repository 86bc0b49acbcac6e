/* Periodic work of a node: reachable peers, lease, choice of the instances
   that watch the platform, and heartbeats. */
#include "libgooseberrydrum/node_private.h"

#include <stdlib.h>
#include <string.h>

/* Number of heartbeats after which the progress of all services is sent again,
   for peers that missed a change. */
#define FULL_PROGRESS_INTERVAL 10
/* Time for which packets may be routed by the lease that a tick determined.
   If ticks stop, the lease is used for up to this time after it has expired.
   It must therefore be less than a heartbeat interval, by which the failure
   time-out at least exceeds the lease time-out. */
#define LEASE_VALIDITY (300 * GBD_MILLISECOND)
/* Age of the platform's confirmation after which an instance of lower rank
   watches the platform too.  It is longer than two long polls of a watch, as
   each response to a long poll is a confirmation. */
#define FALLBACK_AFTER (30 * GBD_SECOND)
/* Time for which an instance of lower rank then watches the platform. */
#define FALLBACK_TIME (60 * GBD_SECOND)
#define WATCH_RANK_KEY UINT64_C (0x7761746368657273)

static void send_heartbeats (gbd_node_t *node, gbd_time_t now);
static uint16_t fill_progress (const gbd_node_t *node,
                               gbd_progress_t *progress);
static void update_reachable (gbd_node_t *node, gbd_time_t now);
static void update_lease (gbd_node_t *node, gbd_time_t now);
static void update_joined (gbd_node_t *node);
static void update_watching (gbd_node_t *node, gbd_time_t now);
static void detect_flow_loss (gbd_node_t *node, gbd_time_t now);
static uint32_t count_higher_ranked (const gbd_node_t *node,
                                     bool only_watching, gbd_time_t now);

void
gbd_node_tick (gbd_node_t *node, gbd_time_t now)
{
  update_reachable (node, now);
  update_lease (node, now);
  update_watching (node, now);
  detect_flow_loss (node, now);
  for (uint32_t i = 0; i < node->service_count; i++)
    node_advance_flows (node, &node->services[i], now);
  node_step_tables (node, now);
  node_send_flow_updates (node);
  node_send_transfers (node, now);
  if (node->is_heartbeat_due || gbd_membership_is_due (node->membership, now))
    send_heartbeats (node, now);
  gbd_engine_expire (node->engine, now);
}

bool
gbd_node_is_coordinator (const gbd_node_t *node, gbd_time_t now)
{
  return node->is_watching && count_higher_ranked (node, true, now) == 0;
}

static void
send_heartbeats (gbd_node_t *node, gbd_time_t now)
{
  bool is_full = node->heartbeat_count % FULL_PROGRESS_INTERVAL == 0
                 || node->is_heartbeat_due;
  gbd_progress_t *progress = NULL;
  gbd_message_t message = { .type = GBD_MESSAGE_HEARTBEAT };
  if (is_full && node->service_count)
    {
      progress = calloc (node->service_count, sizeof *progress);
      if (!progress)
        return;
    }
  message.body.heartbeat.progress = progress;
  message.body.heartbeat.progress_count
      = progress ? fill_progress (node, progress) : 0;
  message.body.heartbeat.leaving = node->is_leaving;
  message.body.heartbeat.watching = node->is_watching;
  message.body.heartbeat.generation = node->generation;
  message.body.heartbeat.loss_free_ms = gbd_node_get_loss_free_ms (node, now);
  gbd_membership_make_heartbeat (node->membership, now, &message);

  uint32_t count = gbd_membership_get_peer_count (node->membership);
  for (uint32_t i = 0; i < count; i++)
    {
      gbd_peer_info_t info;
      gbd_membership_get_peer (node->membership, i, now, &info);
      node_send (node, info.id, &message);
    }
  node->heartbeat_count++;
  node->is_heartbeat_due = false;
  free (progress);
}

static uint16_t
fill_progress (const gbd_node_t *node, gbd_progress_t *progress)
{
  uint16_t count = 0;
  for (uint32_t i = 0; i < node->service_count; i++)
    {
      const service_t *service = &node->services[i];
      const gbd_table_t *table
          = gbd_engine_get_table (node->engine, service->id);
      if (!table)
        continue;
      progress[count].service = service->id;
      progress[count].version = table->version;
      progress[count].complete = service->complete;
      count++;
    }
  return count;
}

static void
update_reachable (gbd_node_t *node, gbd_time_t now)
{
  gbd_member_t reachable[GBD_INCARNATIONS_MAX];
  uint32_t reachable_count = 0;
  uint32_t count = gbd_membership_get_peer_count (node->membership);
  for (uint32_t i = 0; i < count && reachable_count < GBD_INCARNATIONS_MAX;
       i++)
    {
      gbd_peer_info_t info;
      gbd_membership_get_peer (node->membership, i, now, &info);
      if (!info.is_reachable)
        continue;
      reachable[reachable_count].id = info.id;
      reachable[reachable_count].zone = info.zone;
      reachable_count++;
      /* While a peer was unreachable, the peer may have registered flows
         without this instance, and this instance without the peer. */
      if (!node_is_reachable (node, info.id))
        {
          for (uint32_t s = 0; s < node->service_count; s++)
            {
              service_t *service = &node->services[s];
              node_require_copy (node, service, false);
              node_begin_exchange (service, service->exchange_id, true);
            }
          node->actions->report_event (
              node->data, GBD_NODE_EVENT_PEER_REACHABLE, 0, info.id);
        }
    }
  for (uint32_t i = 0; i < node->reachable_count; i++)
    {
      bool is_reachable = false;
      for (uint32_t j = 0; j < reachable_count; j++)
        is_reachable
            = is_reachable || reachable[j].id == node->reachable[i].id;
      if (!is_reachable)
        node->actions->report_event (node->data,
                                     GBD_NODE_EVENT_PEER_UNREACHABLE, 0,
                                     node->reachable[i].id);
    }
  memcpy (node->reachable, reachable, sizeof reachable);
  node->reachable_count = reachable_count;
  gbd_engine_set_reachable (node->engine, node->reachable,
                            node->reachable_count);
}

static void
update_lease (gbd_node_t *node, gbd_time_t now)
{
  /* Lease of this instance: the weakest of its leases for all services.  The
     coordinator does not wait for the confirmation of an instance outside the
     roster, so such an instance cannot hold a FULL lease. */
  gbd_lease_t lease = GBD_LEASE_FULL;
  bool has_majority = true;
  gbd_instance_id_t self = node->settings.membership.self;
  for (uint32_t i = 0; i < node->service_count; i++)
    {
      const gbd_table_t *table
          = gbd_engine_get_table (node->engine, node->services[i].id);
      if (!table)
        continue;
      gbd_lease_t service_lease
          = gbd_membership_get_lease (node->membership, table, now);
      if (!gbd_table_has_member (table, self)
          && service_lease == GBD_LEASE_FULL)
        service_lease = GBD_LEASE_NONE;
      if (service_lease < lease)
        lease = service_lease;
      has_majority
          = has_majority
            && gbd_membership_has_majority (node->membership, table, now);
    }
  if (lease != node->lease)
    {
      if (node->lease == GBD_LEASE_FULL)
        for (uint32_t i = 0; i < node->service_count; i++)
          node_require_copy (node, &node->services[i], true);
      node->lease = lease;
      node->actions->report_event (node->data, GBD_NODE_EVENT_LEASE, 0, lease);
    }
  gbd_engine_set_lease_until (node->engine, lease, now + LEASE_VALIDITY);
  gbd_engine_set_majority_until (node->engine, has_majority,
                                 now + LEASE_VALIDITY);
  update_joined (node);
}

static void
update_joined (gbd_node_t *node)
{
  gbd_instance_id_t self = node->settings.membership.self;
  uint32_t table_count = 0;
  uint32_t roster_count = 0;
  for (uint32_t i = 0; i < node->service_count; i++)
    {
      const gbd_table_t *table
          = gbd_engine_get_table (node->engine, node->services[i].id);
      if (!table)
        continue;
      table_count++;
      for (uint8_t m = 0; m < table->roster_count; m++)
        roster_count += table->roster[m].id == self;
    }
  bool is_joined = node->was_joined;
  if (table_count && roster_count == table_count)
    is_joined = true;
  /* This instance has left all rosters: it relays the packets that it receives
     to the members. */
  if (node->is_leaving && roster_count == 0)
    is_joined = false;
  if (is_joined != node->is_joined)
    node->actions->report_event (node->data, GBD_NODE_EVENT_JOINED, 0,
                                 is_joined);
  node->is_joined = is_joined;
  node->was_joined = node->was_joined || is_joined;
  gbd_engine_set_joined (node->engine, is_joined);
}

static void
update_watching (gbd_node_t *node, gbd_time_t now)
{
  bool is_ranked
      = count_higher_ranked (node, false, now) < node->settings.watchers;
  gbd_time_t age = gbd_membership_get_platform_age (node->membership, now);
  if (age > FALLBACK_AFTER && now - node->started_at > FALLBACK_AFTER)
    node->fallback_watch_until = now + FALLBACK_TIME;
  /* If the watchers of highest rank cannot reach the platform, another
     instance may be able to. */
  bool is_fallback = now < node->fallback_watch_until;
  bool is_watching = !node->is_leaving && (is_ranked || is_fallback);
  if (is_watching == node->is_watching)
    return;
  node->is_watching = is_watching;
  node->is_heartbeat_due = true;
  for (uint32_t i = 0; i < node->service_count; i++)
    {
      node->services[i].has_read_platform = false;
      node->services[i].has_backends = false;
    }
  node->actions->set_watching (node->data, is_watching);
}

static void
detect_flow_loss (gbd_node_t *node, gbd_time_t now)
{
  gbd_engine_stats_t stats;
  gbd_engine_get_stats (node->engine, &stats);
  if (stats.evictions != node->evictions)
    node->loss_at = now;
  node->evictions = stats.evictions;
}

/* Number of reachable peers with a higher rendezvous weight than this
   instance; if only_watching, only peers that watch the platform are counted.
   Peers that are leaving do not count. */
static uint32_t
count_higher_ranked (const gbd_node_t *node, bool only_watching,
                     gbd_time_t now)
{
  gbd_instance_id_t self = node->settings.membership.self;
  uint64_t own_weight = gbd_rendezvous_weight (self, WATCH_RANK_KEY);
  uint32_t higher_count = 0;
  uint32_t count = gbd_membership_get_peer_count (node->membership);
  for (uint32_t i = 0; i < count; i++)
    {
      gbd_peer_info_t info;
      gbd_membership_get_peer (node->membership, i, now, &info);
      if (!info.is_reachable || info.is_leaving)
        continue;
      if (only_watching && !info.is_watching)
        continue;
      higher_count
          += gbd_rendezvous_weight (info.id, WATCH_RANK_KEY) > own_weight;
    }
  return higher_count;
}
