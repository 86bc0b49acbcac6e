#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "gooseberrydrum/table.h"

namespace
{

using servers_t = std::vector<gbd_backend_t>;

servers_t
make_servers (size_t count)
{
  servers_t servers (count);
  for (size_t i = 0; i < count; i++)
    {
      servers[i].id = 1000 + i;
      servers[i].zone = 1 + i % 4;
      servers[i].state = GBD_BACKEND_READY;
    }
  return servers;
}

/* Makes a new table, or one whose STABLE buckets have random targets.  */
gbd_table_t *
make_stable_table (const servers_t &servers)
{
  gbd_member_t roster[] = { { 1, 1 }, { 2, 2 }, { 3, 3 } };
  uint32_t buckets = 1u << *rc::gen::inRange (0, 10);
  gbd_table_t *table = gbd_table_new (7, buckets, servers.data (),
                                      servers.size (), roster, 3);
  auto random_slots = *rc::gen::container<std::vector<unsigned> > (
      buckets, rc::gen::inRange<unsigned> (0, servers.size ()));
  if (*rc::gen::arbitrary<bool> ())
    for (uint32_t i = 0; i < buckets; i++)
      table->buckets[i].from = table->buckets[i].to
          = static_cast<gbd_slot_t> (random_slots[i]);
  return table;
}

std::vector<uint32_t>
count_buckets (const std::vector<gbd_slot_t> &targets, size_t servers)
{
  std::vector<uint32_t> counts (servers);
  for (gbd_slot_t slot : targets)
    if (slot != GBD_SLOT_NONE)
      counts[slot]++;
  return counts;
}

std::vector<gbd_slot_t>
get_targets (const gbd_table_t *table)
{
  std::vector<gbd_slot_t> current_targets (table->bucket_count);
  for (uint32_t i = 0; i < table->bucket_count; i++)
    current_targets[i] = table->buckets[i].to;
  return current_targets;
}

void
plan_moves_as_few_buckets_as_possible ()
{
  servers_t servers = make_servers (*rc::gen::inRange (1, 24));
  gbd_table_t *table = make_stable_table (servers);
  auto weights = *rc::gen::container<std::vector<uint16_t> > (
      servers.size (), rc::gen::element<uint16_t> (0, 1, 50, 100, 65535));
  uint32_t move_max = *rc::gen::inRange<uint32_t> (0, 2048);
  std::vector<gbd_slot_t> targets (table->bucket_count);
  std::vector<gbd_slot_t> again (table->bucket_count);
  uint32_t moves
      = gbd_table_plan (table, weights.data (), move_max, targets.data ());
  gbd_table_plan (table, weights.data (), move_max, again.data ());
  RC_ASSERT (targets == again);

  uint64_t total = 0;
  for (uint16_t weight : weights)
    total += weight;
  auto before = get_targets (table);
  auto before_counts = count_buckets (before, servers.size ());
  auto after_counts = count_buckets (targets, servers.size ());
  uint32_t required = 0, balance_moves = 0;
  for (uint32_t i = 0; i < table->bucket_count; i++)
    {
      if (total == 0)
        {
          RC_ASSERT (targets[i] == GBD_SLOT_NONE);
          continue;
        }
      RC_ASSERT (weights[targets[i]] > 0);
      if (targets[i] == before[i])
        continue;
      bool is_required = weights[before[i]] == 0;
      (is_required ? required : balance_moves)++;
      double share = static_cast<double> (table->bucket_count);
      /* A server that loses a bucket for balance had more than its share,
         and one that receives a bucket ends with less than one bucket
         above its share.  */
      if (!is_required)
        RC_ASSERT (before_counts[before[i]]
                   > share * weights[before[i]] / total);
      RC_ASSERT (after_counts[targets[i]]
                 < share * weights[targets[i]] / total + 1);
    }
  if (total)
    {
      RC_ASSERT (balance_moves <= move_max);
      RC_ASSERT (moves == required + balance_moves);
    }
  gbd_table_delete (table);
}

void
unlimited_plan_balances_shares ()
{
  servers_t servers = make_servers (*rc::gen::inRange (1, 24));
  gbd_table_t *table = make_stable_table (servers);
  std::vector<uint16_t> weights (servers.size (), 100);
  weights[0] = *rc::gen::element<uint16_t> (0, 100);
  if (servers.size () == 1)
    weights[0] = 100;
  double receivers = static_cast<double> (servers.size () - (weights[0] == 0));
  double mean = table->bucket_count / receivers;
  std::vector<gbd_slot_t> targets (table->bucket_count);
  gbd_table_plan (table, weights.data (), table->bucket_count,
                  targets.data ());
  for (uint32_t count : count_buckets (targets, servers.size ()))
    if (mean >= 20)
      RC_ASSERT (count <= mean * 1.05);
    else
      RC_ASSERT (count < mean + 1);
  gbd_table_delete (table);
}

/* Makes a random valid table.  */
gbd_table_t *
make_random_table (uint32_t buckets)
{
  servers_t servers = make_servers (*rc::gen::inRange (0, 6));
  for (gbd_backend_t &server : servers)
    {
      server.state = *rc::gen::inRange (0, 3);
      server.address.family = *rc::gen::element (4, 6);
      server.address.port = *rc::gen::inRange (1, 65536);
      int bytes = server.address.family == 4 ? 4 : 16;
      for (int i = 0; i < bytes; i++)
        server.address.ip[i] = *rc::gen::arbitrary<uint8_t> ();
    }
  gbd_member_t members[GBD_ROSTER_MAX];
  for (int i = 0; i < GBD_ROSTER_MAX; i++)
    members[i] = { *rc::gen::arbitrary<uint64_t> () | 1, 3 };
  for (int i = 0; i < GBD_ROSTER_MAX; i++)
    members[i].id = members[i].id << 4 | static_cast<uint64_t> (i);
  gbd_table_t *table
      = gbd_table_new (7, buckets, servers.data (), servers.size (), members,
                       *rc::gen::inRange (1, GBD_ROSTER_MAX + 1));
  table->version = *rc::gen::inRange<uint64_t> (1, INT64_MAX);
  table->generation = *rc::gen::inRange<uint64_t> (0, INT64_MAX);
  table->roster_phase = *rc::gen::inRange (0, 3);
  if (table->roster_phase != GBD_ROSTER_SETTLED)
    {
      table->next_count = *rc::gen::inRange (1, GBD_ROSTER_MAX + 1);
      memcpy (table->next, members, table->next_count * sizeof *members);
    }
  auto slots = rc::gen::map (
      rc::gen::inRange<int> (-1, servers.size ()),
      [] (int slot) { return static_cast<gbd_slot_t> (slot); });
  for (uint32_t i = 0; i < buckets; i++)
    {
      gbd_bucket_t &bucket = table->buckets[i];
      bucket.phase = *rc::gen::inRange (0, 5);
      bucket.from = *slots;
      bucket.to = bucket.phase == GBD_BUCKET_STABLE ? bucket.from : *slots;
    }
  return table;
}

std::string
to_text (const gbd_table_t *table)
{
  char *text = gbd_table_to_json (table);
  RC_ASSERT (text);
  std::string copy (text);
  free (text);
  return copy;
}

std::vector<uint8_t>
to_bytes (const gbd_table_t *table, const gbd_table_t *base)
{
  size_t length;
  uint8_t *bytes = gbd_table_pack (table, base, &length);
  RC_ASSERT (bytes);
  std::vector<uint8_t> copy (bytes, bytes + length);
  free (bytes);
  return copy;
}

void
codecs_round_trip ()
{
  uint32_t buckets = 1u << *rc::gen::inRange (0, 6);
  gbd_table_t *table = make_random_table (buckets);
  gbd_table_t *base = make_random_table (buckets);
  std::string text = to_text (table);
  gbd_table_t *from_text = gbd_table_from_json (text.data (), text.size ());
  RC_ASSERT (from_text);
  RC_ASSERT (to_text (from_text) == text);

  auto full = to_bytes (table, nullptr);
  gbd_table_t *from_full = gbd_table_unpack (full.data (), full.size (), base);
  RC_ASSERT (from_full);
  RC_ASSERT (to_text (from_full) == text);

  auto delta = to_bytes (table, base);
  gbd_table_t *from_delta
      = gbd_table_unpack (delta.data (), delta.size (), base);
  RC_ASSERT (from_delta);
  RC_ASSERT (to_text (from_delta) == text);
  if (to_text (base) != text)
    RC_ASSERT (!gbd_table_unpack (delta.data (), delta.size (), table));

  for (gbd_table_t *each : { table, base, from_text, from_full, from_delta })
    gbd_table_delete (each);
}

/* Corrupted bytes are rejected or decode to a valid table, whose JSON form can
   be decoded again.  */
void
corrupted_bytes_never_decode_to_an_invalid_table ()
{
  gbd_table_t *table = make_random_table (4);
  gbd_table_t *base = make_random_table (4);
  auto bytes
      = to_bytes (table, *rc::gen::element<gbd_table_t *> (nullptr, base));
  size_t changes = *rc::gen::inRange (1, 4);
  for (size_t i = 0; i < changes; i++)
    bytes[*rc::gen::inRange<size_t> (0, bytes.size ())]
        = *rc::gen::arbitrary<uint8_t> ();
  gbd_table_t *decoded = gbd_table_unpack (bytes.data (), bytes.size (), base);
  if (decoded)
    {
      std::string text = to_text (decoded);
      gbd_table_t *again = gbd_table_from_json (text.data (), text.size ());
      RC_ASSERT (again);
      gbd_table_delete (again);
    }
  gbd_table_delete (decoded);
  gbd_table_delete (table);
  gbd_table_delete (base);
}

} // namespace

int
main ()
{
  bool passed = true;
  passed &= rc::check ("a plan moves as few buckets as possible",
                       plan_moves_as_few_buckets_as_possible);
  passed &= rc::check ("a plan without a limit on moves balances the shares",
                       unlimited_plan_balances_shares);
  passed &= rc::check ("encoding and decoding preserve a table",
                       codecs_round_trip);
  passed &= rc::check ("corrupted bytes give a valid table or none",
                       corrupted_bytes_never_decode_to_an_invalid_table);
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
