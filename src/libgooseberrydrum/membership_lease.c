/* Determination of the lease that this instance has on a table.  */
#include "membership_private.h"

#include "table_private.h"

static gbd_lease_grant_t grant_for_table (const gbd_peer_t *peer,
                                          const gbd_table_t *table);
static bool is_platform_confirmed (const gbd_membership_t *membership,
                                   const gbd_table_t *table, gbd_time_t now);
static bool has_majority (const gbd_membership_t *membership,
                          const gbd_table_t *table,
                          const gbd_member_t *members, uint8_t count,
                          gbd_time_t now);
static bool has_complete_zones (const gbd_membership_t *membership,
                                const gbd_table_t *table, gbd_time_t now);
static uint8_t list_members (const gbd_table_t *table,
                             gbd_member_t members[2 * GBD_ROSTER_MAX]);
static bool is_recent (const gbd_membership_t *membership, gbd_time_t time,
                       gbd_time_t now);

gbd_time_t
gbd_membership_get_platform_age (const gbd_membership_t *membership,
                                 gbd_time_t now)
{
  gbd_time_t latest = membership->platform_confirmed_at;
  for (uint32_t i = 0; i < membership->peer_count; i++)
    if (membership->peers[i].grant.platform_confirmed_at > latest)
      latest = membership->peers[i].grant.platform_confirmed_at;
  return now - latest;
}

gbd_lease_t
gbd_membership_get_lease (const gbd_membership_t *membership,
                          const gbd_table_t *table, gbd_time_t now)
{
  if (is_platform_confirmed (membership, table, now))
    return GBD_LEASE_FULL;
  if (!table)
    return GBD_LEASE_NONE;
  if (gbd_membership_has_majority (membership, table, now))
    return GBD_LEASE_FULL;
  if (has_complete_zones (membership, table, now))
    return GBD_LEASE_ZONE;
  return GBD_LEASE_NONE;
}

bool
gbd_membership_has_majority (const gbd_membership_t *membership,
                             const gbd_table_t *table, gbd_time_t now)
{
  if (!has_majority (membership, table, table->roster, table->roster_count,
                     now))
    return false;
  return table->roster_phase == GBD_ROSTER_SETTLED
         || has_majority (membership, table, table->next, table->next_count,
                          now);
}

/* Lease grant of a peer for a table: the newest grant that the peer made while
   it held the version of the table or an older one.  */
static gbd_lease_grant_t
grant_for_table (const gbd_peer_t *peer, const gbd_table_t *table)
{
  const gbd_lease_grant_t none = { GBD_TIME_NEVER, GBD_TIME_NEVER };
  const gbd_peer_progress_t *found
      = gbd_peer_find_progress (peer, table->service);
  if (!found || found->progress.version == 0)
    return none;
  if (found->progress.version <= table->version)
    return peer->grant;
  if (found->previous_version > 0 && found->previous_version <= table->version)
    return found->previous_grant;
  return none;
}

/* Whether the platform recently confirmed the tables to this instance, or to a
   peer that then held the version of the given table or an older one.  */
static bool
is_platform_confirmed (const gbd_membership_t *membership,
                       const gbd_table_t *table, gbd_time_t now)
{
  if (is_recent (membership, membership->platform_confirmed_at, now))
    return true;
  for (uint32_t i = 0; table && i < membership->peer_count; i++)
    {
      gbd_lease_grant_t grant = grant_for_table (&membership->peers[i], table);
      if (is_recent (membership, grant.platform_confirmed_at, now))
        return true;
    }
  return false;
}

static bool
has_majority (const gbd_membership_t *membership, const gbd_table_t *table,
              const gbd_member_t *members, uint8_t count, gbd_time_t now)
{
  unsigned granted_count = 0;
  for (uint8_t i = 0; i < count; i++)
    {
      const gbd_peer_t *peer = gbd_membership_find (membership, members[i].id);
      bool is_self = members[i].id == membership->settings.self;
      if (is_self
          || (peer
              && is_recent (membership,
                            grant_for_table (peer, table).acked_sent_at, now)))
        granted_count++;
    }
  return 2 * granted_count > count;
}

/* Whether this instance reaches at least one other member, and the network
   partition runs between zones: every zone with a member on this side of the
   partition has all its members on this side.  False if a reachable member
   does not acknowledge the heartbeats of this instance: then the partition
   divides a zone or is still changing.  */
static bool
has_complete_zones (const gbd_membership_t *membership,
                    const gbd_table_t *table, gbd_time_t now)
{
  gbd_member_t members[2 * GBD_ROSTER_MAX];
  bool is_reachable[2 * GBD_ROSTER_MAX] = { false };
  uint8_t count = list_members (table, members);
  unsigned others = 0;
  bool has_self = false;
  for (uint8_t i = 0; i < count; i++)
    {
      if (members[i].id == membership->settings.self)
        {
          is_reachable[i] = has_self = true;
          continue;
        }
      const gbd_peer_t *peer = gbd_membership_find (membership, members[i].id);
      if (!peer || !gbd_membership_is_reachable (membership, peer, now))
        continue;
      if (!is_recent (membership, peer->grant.acked_sent_at, now))
        return false;
      is_reachable[i] = true;
      others++;
    }
  if (!has_self || others == 0)
    return false;

  for (uint8_t i = 0; i < count; i++)
    for (uint8_t j = 0; j < count; j++)
      if (is_reachable[i] && !is_reachable[j]
          && members[i].zone == members[j].zone)
        return false;
  return true;
}

/* List the members of the current and the next roster of a table, each
   once.  */
static uint8_t
list_members (const gbd_table_t *table,
              gbd_member_t members[2 * GBD_ROSTER_MAX])
{
  uint8_t count = 0;
  for (uint8_t i = 0; i < table->roster_count; i++)
    members[count++] = table->roster[i];
  for (uint8_t i = 0; i < table->next_count; i++)
    if (!gbd_roster_has (members, count, table->next[i].id))
      members[count++] = table->next[i];
  return count;
}

static bool
is_recent (const gbd_membership_t *membership, gbd_time_t time, gbd_time_t now)
{
  return now - time < membership->settings.lease_timeout;
}
