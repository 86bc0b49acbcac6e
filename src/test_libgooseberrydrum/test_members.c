#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "gooseberrydrum/members.h"

#define START (1000 * GBD_SECOND)
#define SETTLED (START + GBD_MEMBERS_SETTLING)
#define SELF 0
#define PEER 0

static gbd_address_t
make_address (uint32_t number)
{
  gbd_address_t address = { .family = 4, .port = 7000 };
  address.ip[0] = 10;
  address.ip[1] = (uint8_t)(number >> 16);
  address.ip[2] = (uint8_t)(number >> 8);
  address.ip[3] = (uint8_t)number;
  return address;
}

static gbd_members_t *
make_members (uint32_t self, const char *zone, uint32_t peer_count)
{
  gbd_address_t address = make_address (self);
  gbd_members_t *members = gbd_members_new (&address, zone, peer_count, START);
  assert_non_null (members);
  return members;
}

static gbd_status_t
record (gbd_members_t *members, uint32_t number, const char *zone,
        gbd_time_t now)
{
  gbd_address_t address = make_address (number);
  return gbd_members_record (members, &address, zone, now);
}

static gbd_status_t
merge (gbd_members_t *members, uint32_t peer, uint32_t number,
       const char *zone, gbd_time_t age, gbd_time_t now)
{
  gbd_group_member_t member = { .address = make_address (number), .age = age };
  snprintf (member.zone, sizeof member.zone, "%s", zone);
  return gbd_members_merge (members, peer, &member, now);
}

static void
assert_view (const gbd_members_t *members, uint32_t number, gbd_time_t now,
             uint32_t total, uint32_t zone_count, uint32_t zone_rank)
{
  gbd_address_t address = make_address (number);
  gbd_group_view_t view;
  assert_true (gbd_members_get_view (members, &address, &view, now));
  assert_int_equal (view.total, total);
  assert_int_equal (view.zone_count, zone_count);
  assert_int_equal (view.zone_rank, zone_rank);
}

static uint32_t
count_own (const gbd_members_t *members, gbd_time_t now)
{
  gbd_group_member_t member;
  uint32_t position = 0;
  uint32_t count = 0;
  while (gbd_members_next_own (members, &position, &member, now))
    count++;
  return count;
}

/* Ranks must be positions in the order of the addresses, whatever the order of
   the requests, and follow joins and leaves. */
static void
rank_follows_joins_and_leaves (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (5, "a", 0);
  assert_view (members, 5, START, 1, 1, 0);
  record (members, 9, "a", START);
  record (members, 2, "a", START);
  record (members, 3, "b", START);
  assert_view (members, 2, START, 4, 3, 0);
  assert_view (members, 5, START, 4, 3, 1);
  assert_view (members, 9, START, 4, 3, 2);
  assert_view (members, 3, START, 4, 1, 0);
  gbd_time_t now = START + 3 * GBD_SECOND;
  record (members, 4, "a", now);
  record (members, 9, "a", now);
  assert_view (members, 9, now, 5, 4, 3);
  /* 2 and 3 have stopped. */
  now = START + GBD_MEMBERS_VALIDITY;
  assert_view (members, 4, now, 3, 3, 0);
  assert_view (members, 5, now, 3, 3, 1);
  assert_view (members, 9, now, 3, 3, 2);
  gbd_group_view_t view;
  gbd_address_t stopped = make_address (2);
  assert_false (gbd_members_get_view (members, &stopped, &view, now));
  assert_int_equal (view.total, 0);
  gbd_members_delete (members);
}

/* A member that changes its zone must not be counted in both. */
static void
member_is_counted_in_its_last_zone (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (SELF, "a", 1);
  record (members, 1, "a", START);
  record (members, 1, "b", START);
  assert_view (members, SELF, START, 2, 1, 0);
  /* An older report of another relay does not replace it. */
  merge (members, PEER, 1, "a", GBD_SECOND, START);
  assert_view (members, 1, START, 2, 1, 0);
  gbd_members_delete (members);
}

/* The readers of each relay must get the same ranks as those of the others. */
static void
relays_agree_on_ranks (void **state)
{
  (void)state;
  gbd_members_t *relays[2]
      = { make_members (100, "a", 1), make_members (101, "b", 1) };
  gbd_time_t now = SETTLED;
  for (uint32_t i = 0; i < 20; i++)
    record (relays[i % 2], (i * 37) % 20, i % 3 ? "a" : "b", now);
  for (int i = 0; i < 2; i++)
    {
      gbd_group_member_t member;
      uint32_t position = 0;
      gbd_members_record_response (relays[i], PEER, now);
      while (gbd_members_next_own (relays[1 - i], &position, &member, now))
        gbd_members_merge (relays[i], PEER, &member, now);
      assert_true (gbd_members_is_complete (relays[i], now));
    }
  for (uint32_t i = 0; i < 20; i++)
    {
      gbd_group_view_t views[2];
      gbd_address_t address = make_address (i);
      for (int j = 0; j < 2; j++)
        assert_true (
            gbd_members_get_view (relays[j], &address, &views[j], now));
      assert_int_equal (views[0].total, 22);
      assert_memory_equal (&views[0], &views[1], sizeof views[0]);
    }
  gbd_members_delete (relays[0]);
  gbd_members_delete (relays[1]);
}

/* A relay dies and its readers move: each is reported by two relays for up to
   five seconds, and must be counted once. */
static void
member_at_two_relays_is_counted_once (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (SELF, "a", 2);
  merge (members, 0, 1, "a", 0, START);
  merge (members, 1, 1, "a", 2 * GBD_SECOND, START);
  record (members, 1, "a", START);
  assert_view (members, 1, START, 2, 2, 1);
  gbd_members_delete (members);
}

/* Ages must add up over relays: a member must not be counted longer because
   another relay reports it. */
static void
age_counts_from_the_last_request (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (SELF, "a", 1);
  merge (members, PEER, 1, "a", 4 * GBD_SECOND, START);
  assert_view (members, 1, START + GBD_SECOND - 1, 2, 2, 1);
  assert_view (members, SELF, START + GBD_SECOND, 1, 1, 0);
  assert_int_equal (merge (members, PEER, 2, "a", GBD_MEMBERS_VALIDITY, START),
                    GBD_ERROR_STALE);
  assert_int_equal (merge (members, PEER, 2, "a", -1, START), GBD_ERROR_STALE);
  assert_view (members, SELF, START, 2, 2, 0);
  gbd_members_delete (members);
}

/* Members heard of from a peer must not be reported to peers: an entry would
   circulate, and a stopped instance would be counted forever. */
static void
only_own_readers_are_reported (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (SELF, "a", 1);
  record (members, 1, "a", START);
  merge (members, PEER, 2, "a", 0, START);
  gbd_group_member_t member;
  uint32_t position = 0;
  gbd_time_t now = START + GBD_SECOND;
  assert_true (gbd_members_next_own (members, &position, &member, now));
  assert_int_equal (member.age, 0); /* the relay itself */
  assert_true (gbd_members_next_own (members, &position, &member, now));
  assert_int_equal (member.age, GBD_SECOND);
  assert_string_equal (member.zone, "a");
  assert_false (gbd_members_next_own (members, &position, &member, now));
  /* A reader that has moved to the peer is reported by the peer only. */
  now = START + GBD_MEMBERS_VALIDITY;
  merge (members, PEER, 1, "a", 0, now);
  assert_view (members, 1, now, 2, 2, 1);
  assert_int_equal (count_own (members, now), 1);
  gbd_members_delete (members);
}

/* The table is bounded, stale entries make room, and members that are known
   are still updated when it is full. */
static void
table_is_bounded (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (SELF, "a", 1);
  for (uint32_t i = 1; i < GBD_MEMBERS_MAX; i++)
    assert_int_equal (record (members, i, "a", START), GBD_OK);
  assert_int_equal (record (members, GBD_MEMBERS_MAX, "a", START),
                    GBD_ERROR_MEMORY);
  assert_int_equal (merge (members, PEER, GBD_MEMBERS_MAX, "a", 0, START),
                    GBD_ERROR_MEMORY);
  gbd_time_t now = START + 2 * GBD_SECOND;
  assert_int_equal (record (members, 7, "a", now), GBD_OK);
  assert_view (members, SELF, now, GBD_MEMBERS_MAX, GBD_MEMBERS_MAX, 0);
  now = START + GBD_MEMBERS_VALIDITY;
  assert_int_equal (record (members, GBD_MEMBERS_MAX, "a", now), GBD_OK);
  assert_view (members, GBD_MEMBERS_MAX, now, 3, 3, 2);
  gbd_members_delete (members);
}

/* A zone name that does not fit must not be cut to that of another zone. */
static void
long_zone_name_is_refused (void **state)
{
  (void)state;
  char zone[GBD_NAME_MAX + 2];
  memset (zone, 'z', sizeof zone);
  zone[GBD_NAME_MAX + 1] = '\0';
  gbd_members_t *members = make_members (SELF, "a", 0);
  assert_int_equal (record (members, 1, zone, START), GBD_ERROR_RANGE);
  assert_view (members, SELF, START, 1, 1, 0);
  gbd_members_delete (members);
}

/* After a start or a pause of the process, readers have not yet made their
   requests: a view that lacks them must not be called complete. */
static void
view_is_incomplete_after_a_start_and_a_pause (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (SELF, "a", 0);
  assert_false (gbd_members_is_complete (members, SETTLED - 1));
  assert_true (gbd_members_is_complete (members, SETTLED));
  gbd_time_t now = START + 100 * GBD_SECOND;
  gbd_members_resume (members, now);
  assert_false (gbd_members_is_complete (members, now));
  assert_true (gbd_members_is_complete (members, now + GBD_MEMBERS_SETTLING));
  gbd_members_delete (members);
}

/* A relay that was paused has not heard of its peers either; it must not leave
   them out at once. */
static void
peers_are_not_left_out_after_a_pause (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (SELF, "a", 1);
  gbd_members_record_response (members, PEER, SETTLED);
  gbd_time_t now = SETTLED + 100 * GBD_SECOND;
  gbd_members_resume (members, now);
  now += GBD_MEMBERS_SETTLING;
  assert_false (gbd_members_is_complete (members, now));
  gbd_members_record_response (members, PEER, now);
  assert_true (gbd_members_is_complete (members, now));
  gbd_members_delete (members);
}

/* A relay dies: the view is incomplete until its readers have moved, and then
   complete without it. */
static void
dead_relay_is_left_out_when_its_readers_have_moved (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (SELF, "a", 1);
  gbd_time_t died_at = SETTLED;
  gbd_members_record_response (members, PEER, died_at);
  for (uint32_t i = 1; i <= 8; i++)
    merge (members, PEER, i, "a", 0, died_at);
  assert_true (gbd_members_is_complete (members, died_at));
  /* 1 is the relay; two of seven readers move, the others have stopped. */
  for (gbd_time_t now = died_at + GBD_SECOND;
       now <= died_at + GBD_MEMBERS_PEER_SILENCE; now += GBD_SECOND)
    {
      record (members, 2, "a", now);
      record (members, 3, "a", now);
      assert_int_equal (gbd_members_is_complete (members, now),
                        now - died_at < GBD_MEMBERS_SETTLING);
    }
  gbd_time_t now = died_at + GBD_MEMBERS_PEER_SILENCE + 1;
  assert_true (gbd_members_is_complete (members, now));
  assert_view (members, SELF, now, 3, 3, 0);
  gbd_members_delete (members);
}

/* Relays are partitioned: the readers stay at their relays, so a view of one
   side must not be called complete, until the limit. */
static void
partitioned_relay_is_not_left_out (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (SELF, "a", 1);
  gbd_members_record_response (members, PEER, SETTLED);
  for (uint32_t i = 1; i <= 8; i++)
    merge (members, PEER, i, "a", 0, SETTLED);
  gbd_time_t end = SETTLED + GBD_MEMBERS_PEER_SILENCE_MAX;
  for (gbd_time_t now = SETTLED + GBD_MEMBERS_SETTLING; now <= end;
       now += GBD_SECOND)
    {
      record (members, 20, "a", now); /* a reader of this relay */
      record (members, 30 + (uint32_t)(now / GBD_SECOND) % 7, "a", now);
      assert_false (gbd_members_is_complete (members, now));
    }
  assert_true (gbd_members_is_complete (members, end + 1));
  gbd_members_delete (members);
}

/* A relay of an earlier release responds, but does not report its readers,
   who stay with it: the view must stay incomplete. */
static void
relay_of_an_earlier_release_keeps_the_view_incomplete (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (SELF, "a", 2);
  for (gbd_time_t now = START; now < START + 120 * GBD_SECOND;
       now += GBD_SECOND)
    {
      gbd_members_record_response (members, 0, now);
      gbd_members_record_refusal (members, 1, now);
      assert_false (gbd_members_is_complete (members, now));
    }
  gbd_members_delete (members);
}

/* A configured relay that never runs must not withhold the view for ever. */
static void
relay_that_never_responds_is_left_out (void **state)
{
  (void)state;
  gbd_members_t *members = make_members (SELF, "a", 1);
  gbd_time_t limit = START + GBD_MEMBERS_PEER_SILENCE;
  assert_false (gbd_members_is_complete (members, limit));
  assert_true (gbd_members_is_complete (members, limit + 1));
  gbd_members_delete (members);
}

/* An incomplete view must not replace a complete one, which lasts for ten
   seconds. */
static void
last_complete_view_is_kept_for_ten_seconds (void **state)
{
  (void)state;
  gbd_kept_view_t kept = { .received_at = 0 };
  gbd_group_view_t view = { .total = 9, .zone_count = 3, .zone_rank = 2 };
  gbd_group_view_t other = { .total = 4, .zone_count = 2, .zone_rank = 0 };
  assert_int_equal (gbd_kept_view_get (&kept, START).total, 0);
  gbd_kept_view_update (&kept, &other, false, START);
  assert_int_equal (gbd_kept_view_get (&kept, START).total, 0);
  gbd_kept_view_update (&kept, &view, true, START);
  gbd_time_t end = START + GBD_MEMBERS_VIEW_RETENTION;
  gbd_kept_view_update (&kept, &other, false, end - 1);
  gbd_group_view_t result = gbd_kept_view_get (&kept, end - 1);
  assert_memory_equal (&result, &view, sizeof view);
  assert_int_equal (gbd_kept_view_get (&kept, end).total, 0);
  gbd_kept_view_update (&kept, &other, true, end);
  assert_int_equal (gbd_kept_view_get (&kept, end).total, 4);
}

/* A figure that contradicts itself would make an instance compute a window
   outside of the list of servers. */
static void
inconsistent_view_is_ignored (void **state)
{
  (void)state;
  static const gbd_group_view_t views[] = {
    { 0, 0, 0 },
    { 3, 3, 3 },
    { 3, 4, 1 },
    { 3, 0, 0 },
  };
  gbd_kept_view_t kept = { .received_at = 0 };
  for (size_t i = 0; i < sizeof views / sizeof views[0]; i++)
    gbd_kept_view_update (&kept, &views[i], true, START);
  assert_int_equal (gbd_kept_view_get (&kept, START).total, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (rank_follows_joins_and_leaves),
    cmocka_unit_test (member_is_counted_in_its_last_zone),
    cmocka_unit_test (relays_agree_on_ranks),
    cmocka_unit_test (member_at_two_relays_is_counted_once),
    cmocka_unit_test (age_counts_from_the_last_request),
    cmocka_unit_test (only_own_readers_are_reported),
    cmocka_unit_test (table_is_bounded),
    cmocka_unit_test (long_zone_name_is_refused),
    cmocka_unit_test (view_is_incomplete_after_a_start_and_a_pause),
    cmocka_unit_test (peers_are_not_left_out_after_a_pause),
    cmocka_unit_test (dead_relay_is_left_out_when_its_readers_have_moved),
    cmocka_unit_test (partitioned_relay_is_not_left_out),
    cmocka_unit_test (relay_of_an_earlier_release_keeps_the_view_incomplete),
    cmocka_unit_test (relay_that_never_responds_is_left_out),
    cmocka_unit_test (last_complete_view_is_kept_for_ten_seconds),
    cmocka_unit_test (inconsistent_view_is_ignored),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
