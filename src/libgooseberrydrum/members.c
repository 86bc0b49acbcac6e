#include "gooseberrydrum/members.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16
/* A member that is not counted any more is kept until its last relay may be
   left out, as that depends on whether the member is seen elsewhere. */
#define RETENTION GBD_MEMBERS_PEER_SILENCE
/* A peer whose readers have moved: the divisor of the share that must have
   been seen elsewhere.  The others may have stopped: a zone that fails takes a
   third or half of them with it.  In a partition none is seen. */
#define MOVED_DIVISOR 4
#define SOURCE_OWN (-1)

typedef struct
{
  gbd_address_t address;
  char zone[GBD_NAME_MAX + 1];
  gbd_zone_id_t zone_id;
  gbd_time_t seen_at;     /* last request at any relay */
  gbd_time_t own_seen_at; /* last request at this relay */
  int source;             /* peer of the last request, or SOURCE_OWN */
  bool is_self;
} entry_t;

typedef struct
{
  gbd_time_t responded_at;
  gbd_time_t refused_at;
  uint32_t reported; /* members whose last request was there, at the last
                        response */
  uint32_t moved;    /* those that were seen elsewhere since */
} peer_t;

struct gbd_members
{
  entry_t *entries; /* in the order of the addresses */
  uint32_t count;
  uint32_t capacity;
  gbd_time_t started_at;
  uint32_t peer_count;
  peer_t peers[GBD_MEMBERS_PEERS_MAX];
};

static entry_t *find_or_add (gbd_members_t *members,
                             const gbd_address_t *address, gbd_time_t now);
static uint32_t find_position (const gbd_members_t *members,
                               const gbd_address_t *address, bool *is_found);
static bool make_room (gbd_members_t *members, gbd_time_t now);
static void discard_unseen (gbd_members_t *members, gbd_time_t time,
                            gbd_time_t now);
static bool set_zone (entry_t *entry, const char *zone);
static void set_source (gbd_members_t *members, entry_t *entry, int source);
static bool is_counted (const entry_t *entry, gbd_time_t now);
static bool is_peer_known (const gbd_members_t *members, const peer_t *peer,
                           gbd_time_t now);
static int compare_addresses (const gbd_address_t *a, const gbd_address_t *b);

gbd_members_t *
gbd_members_new (const gbd_address_t *self, const char *zone,
                 uint32_t peer_count, gbd_time_t now)
{
  if (peer_count > GBD_MEMBERS_PEERS_MAX)
    return NULL;
  gbd_members_t *members = calloc (1, sizeof *members);
  if (!members)
    return NULL;
  members->peer_count = peer_count;
  for (uint32_t i = 0; i < peer_count; i++)
    {
      members->peers[i].responded_at = GBD_TIME_NEVER;
      members->peers[i].refused_at = GBD_TIME_NEVER;
    }
  members->started_at = now;
  entry_t *entry = find_or_add (members, self, now);
  if (!entry || !set_zone (entry, zone))
    {
      gbd_members_delete (members);
      return NULL;
    }
  entry->is_self = true;
  return members;
}

void
gbd_members_delete (gbd_members_t *members)
{
  if (!members)
    return;
  free (members->entries);
  free (members);
}

void
gbd_members_resume (gbd_members_t *members, gbd_time_t now)
{
  members->started_at = now;
}

gbd_status_t
gbd_members_record (gbd_members_t *members, const gbd_address_t *address,
                    const char *zone, gbd_time_t now)
{
  if (strlen (zone) > GBD_NAME_MAX)
    return GBD_ERROR_RANGE;
  entry_t *entry = find_or_add (members, address, now);
  if (!entry)
    return GBD_ERROR_MEMORY;
  if (entry->is_self)
    return GBD_OK;
  set_zone (entry, zone);
  set_source (members, entry, SOURCE_OWN);
  entry->seen_at = now;
  entry->own_seen_at = now;
  return GBD_OK;
}

void
gbd_members_record_response (gbd_members_t *members, uint32_t peer,
                             gbd_time_t now)
{
  members->peers[peer]
      = (peer_t){ .responded_at = now, .refused_at = GBD_TIME_NEVER };
}

void
gbd_members_record_refusal (gbd_members_t *members, uint32_t peer,
                            gbd_time_t now)
{
  members->peers[peer].refused_at = now;
}

gbd_status_t
gbd_members_merge (gbd_members_t *members, uint32_t peer,
                   const gbd_group_member_t *member, gbd_time_t now)
{
  if (memchr (member->zone, '\0', sizeof member->zone) == NULL)
    return GBD_ERROR_RANGE;
  if (member->age < 0 || member->age >= GBD_MEMBERS_VALIDITY)
    return GBD_ERROR_STALE;
  entry_t *entry = find_or_add (members, &member->address, now);
  if (!entry)
    return GBD_ERROR_MEMORY;
  if (entry->is_self)
    return GBD_OK;
  if (now - member->age >= entry->seen_at)
    {
      set_zone (entry, member->zone);
      set_source (members, entry, (int)peer);
      entry->seen_at = now - member->age;
    }
  if (entry->source == (int)peer)
    members->peers[peer].reported++;
  return GBD_OK;
}

bool
gbd_members_next_own (const gbd_members_t *members, uint32_t *position,
                      gbd_group_member_t *member, gbd_time_t now)
{
  while (*position < members->count)
    {
      const entry_t *entry = &members->entries[(*position)++];
      gbd_time_t age = entry->is_self ? 0 : now - entry->own_seen_at;
      if (age >= GBD_MEMBERS_VALIDITY)
        continue;
      member->address = entry->address;
      memcpy (member->zone, entry->zone, sizeof member->zone);
      member->age = age;
      return true;
    }
  return false;
}

bool
gbd_members_get_view (const gbd_members_t *members,
                      const gbd_address_t *address, gbd_group_view_t *view,
                      gbd_time_t now)
{
  bool is_found;
  uint32_t position = find_position (members, address, &is_found);
  *view = (gbd_group_view_t){ 0 };
  if (!is_found || !is_counted (&members->entries[position], now))
    return false;
  gbd_zone_id_t zone_id = members->entries[position].zone_id;
  for (uint32_t i = 0; i < members->count; i++)
    {
      const entry_t *entry = &members->entries[i];
      if (!is_counted (entry, now))
        continue;
      view->total++;
      view->zone_count += entry->zone_id == zone_id;
      view->zone_rank += entry->zone_id == zone_id && i < position;
    }
  return true;
}

bool
gbd_members_is_complete (const gbd_members_t *members, gbd_time_t now)
{
  if (now - members->started_at < GBD_MEMBERS_SETTLING)
    return false;
  for (uint32_t i = 0; i < members->peer_count; i++)
    {
      if (!is_peer_known (members, &members->peers[i], now))
        return false;
    }
  return true;
}

void
gbd_kept_view_update (gbd_kept_view_t *kept, const gbd_group_view_t *view,
                      bool is_complete, gbd_time_t now)
{
  if (!is_complete || view->zone_rank >= view->zone_count
      || view->zone_count > view->total)
    return;
  kept->view = *view;
  kept->received_at = now;
}

gbd_group_view_t
gbd_kept_view_get (const gbd_kept_view_t *kept, gbd_time_t now)
{
  if (now - kept->received_at >= GBD_MEMBERS_VIEW_RETENTION)
    return (gbd_group_view_t){ 0 };
  return kept->view;
}

/* Returns NULL if there is no room for another one. */
static entry_t *
find_or_add (gbd_members_t *members, const gbd_address_t *address,
             gbd_time_t now)
{
  bool is_found;
  uint32_t position = find_position (members, address, &is_found);
  if (is_found)
    return &members->entries[position];
  if (!make_room (members, now))
    return NULL;
  /* Entries before it may have been discarded. */
  position = find_position (members, address, &is_found);
  entry_t *entry = &members->entries[position];
  memmove (entry + 1, entry, (members->count - position) * sizeof *entry);
  members->count++;
  *entry = (entry_t){ .address = *address,
                      .zone_id = gbd_zone_from_name (""),
                      .seen_at = GBD_TIME_NEVER,
                      .own_seen_at = GBD_TIME_NEVER,
                      .source = SOURCE_OWN };
  return entry;
}

/* Returns the position of an address, or the one at which to insert it. */
static uint32_t
find_position (const gbd_members_t *members, const gbd_address_t *address,
               bool *is_found)
{
  uint32_t low = 0;
  uint32_t high = members->count;
  *is_found = false;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      int order
          = compare_addresses (&members->entries[middle].address, address);
      *is_found = *is_found || order == 0;
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
make_room (gbd_members_t *members, gbd_time_t now)
{
  discard_unseen (members, RETENTION, now);
  if (members->count == GBD_MEMBERS_MAX)
    discard_unseen (members, GBD_MEMBERS_VALIDITY, now);
  if (members->count == GBD_MEMBERS_MAX)
    return false;
  if (members->count < members->capacity)
    return true;
  uint32_t capacity
      = members->capacity ? 2 * members->capacity : INITIAL_CAPACITY;
  entry_t *entries
      = realloc (members->entries, capacity * sizeof *members->entries);
  if (!entries)
    return false;
  members->entries = entries;
  members->capacity = capacity;
  return true;
}

/* Discards the members that were not seen for some time. */
static void
discard_unseen (gbd_members_t *members, gbd_time_t time, gbd_time_t now)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < members->count; i++)
    {
      const entry_t *entry = &members->entries[i];
      if (entry->is_self || now - entry->seen_at < time)
        members->entries[count++] = *entry;
    }
  members->count = count;
}

static bool
set_zone (entry_t *entry, const char *zone)
{
  size_t length = strlen (zone);
  if (length > GBD_NAME_MAX)
    return false;
  if (strcmp (entry->zone, zone) == 0)
    return true;
  memcpy (entry->zone, zone, length + 1);
  entry->zone_id = gbd_zone_from_name (zone);
  return true;
}

/* Sets the relay of the last request of a member. */
static void
set_source (gbd_members_t *members, entry_t *entry, int source)
{
  if (entry->source != SOURCE_OWN && entry->source != source)
    members->peers[entry->source].moved++;
  entry->source = source;
}

static bool
is_counted (const entry_t *entry, gbd_time_t now)
{
  return entry->is_self || now - entry->seen_at < GBD_MEMBERS_VALIDITY;
}

/* Whether the readers of a peer are known: it has responded, or they have
   moved to other relays. */
static bool
is_peer_known (const gbd_members_t *members, const peer_t *peer,
               gbd_time_t now)
{
  gbd_time_t heard_at = members->started_at;
  if (now - peer->responded_at < GBD_MEMBERS_SETTLING)
    return true;
  if (peer->responded_at > heard_at)
    heard_at = peer->responded_at;
  if (peer->refused_at > heard_at)
    heard_at = peer->refused_at;
  gbd_time_t silence = now - heard_at;
  /* The peer itself is one of those that it reported, and does not move. */
  bool have_readers_moved
      = peer->reported < 2
        || peer->moved * MOVED_DIVISOR >= peer->reported - 1;
  return silence > GBD_MEMBERS_PEER_SILENCE_MAX
         || (silence > GBD_MEMBERS_PEER_SILENCE && have_readers_moved);
}

static int
compare_addresses (const gbd_address_t *a, const gbd_address_t *b)
{
  if (a->family != b->family)
    return a->family < b->family ? -1 : 1;
  int order = memcmp (a->ip, b->ip, sizeof a->ip);
  if (order == 0)
    order = (a->port > b->port) - (a->port < b->port);
  return order;
}
