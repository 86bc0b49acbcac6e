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
servers_of (size_t count)
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

/* A table after a random history of plans.  */
gbd_table_t *
some_table (const servers_t &servers)
{
  gbd_member_t roster[] = { { 1, 1 }, { 2, 2 }, { 3, 3 } };
  uint32_t buckets = 1u << *rc::gen::inRange (0, 10);
  gbd_table_t *table = gbd_table_new (7, buckets, servers.data (),
                                      servers.size (), roster, 3);
  auto seeds = *rc::gen::container<std::vector<unsigned> > (
      buckets, rc::gen::inRange<unsigned> (0, servers.size ()));
  if (*rc::gen::arbitrary<bool> ())
    for (uint32_t i = 0; i < buckets; i++)
      table->buckets[i].from = table->buckets[i].to
          = static_cast<gbd_slot_t> (seeds[i]);
  return table;
}

std::vector<uint32_t>
counts_of (const std::vector<gbd_slot_t> &targets, size_t servers)
{
  std::vector<uint32_t> counts (servers);
  for (gbd_slot_t slot : targets)
    if (slot != GBD_SLOT_NONE)
      counts[slot]++;
  return counts;
}

std::vector<gbd_slot_t>
present_of (const gbd_table_t *table)
{
  std::vector<gbd_slot_t> present (table->bucket_count);
  for (uint32_t i = 0; i < table->bucket_count; i++)
    present[i] = table->buckets[i].to;
  return present;
}

void
plan_is_least_movement ()
{
  servers_t servers = servers_of (*rc::gen::inRange (1, 24));
  gbd_table_t *table = some_table (servers);
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
  auto before = present_of (table);
  auto held = counts_of (before, servers.size ());
  auto given = counts_of (targets, servers.size ());
  uint32_t forced = 0, free_moves = 0;
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
      bool is_forced = weights[before[i]] == 0;
      (is_forced ? forced : free_moves)++;
      double share = static_cast<double> (table->bucket_count);
      /* Whoever gives a bucket up for balance had more than its share, and
         whoever takes one ends with no more than its share.  */
      if (!is_forced)
        RC_ASSERT (held[before[i]] > share * weights[before[i]] / total);
      RC_ASSERT (given[targets[i]] < share * weights[targets[i]] / total + 1);
    }
  if (total)
    {
      RC_ASSERT (free_moves <= move_max);
      RC_ASSERT (moves == forced + free_moves);
    }
  gbd_table_delete (table);
}

void
plan_balances ()
{
  servers_t servers = servers_of (*rc::gen::inRange (1, 24));
  gbd_table_t *table = some_table (servers);
  std::vector<uint16_t> weights (servers.size (), 100);
  weights[0] = *rc::gen::element<uint16_t> (0, 100);
  if (servers.size () == 1)
    weights[0] = 100;
  double takers = static_cast<double> (servers.size () - (weights[0] == 0));
  double mean = table->bucket_count / takers;
  std::vector<gbd_slot_t> targets (table->bucket_count);
  gbd_table_plan (table, weights.data (), table->bucket_count,
                  targets.data ());
  for (uint32_t count : counts_of (targets, servers.size ()))
    if (mean >= 20)
      RC_ASSERT (count <= mean * 1.05);
    else
      RC_ASSERT (count < mean + 1);
  gbd_table_delete (table);
}

} // namespace

int
main ()
{
  bool is_good = true;
  is_good &= rc::check ("a plan moves no more than it must",
                        plan_is_least_movement);
  is_good &= rc::check ("a plan without a bound balances", plan_balances);
  return is_good ? EXIT_SUCCESS : EXIT_FAILURE;
}
