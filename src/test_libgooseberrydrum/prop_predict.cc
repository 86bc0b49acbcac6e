// Compares predictions of gooseberrydrum/predict.h with the actual changes.  A
// change of the backend servers is carried out by a simulated group whose
// messages are delayed.  A change of the lists is checked by looking up each
// address, service and limit in the catalogs before and after it.

#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "gooseberrydrum/predict.h"
#include "group.h"

namespace
{

constexpr uint32_t ADDRESSES = 12;
constexpr uint32_t MOVE_MAX = 16; // as in the group's settings
constexpr int GROUP_RUNS = 25;    // each run takes a few tenths of a second
constexpr uint32_t CONVERGENCE_MS = 60000;

// One service per customer.  Each address is mapped to the number of its
// service.
struct lists_t
{
  std::vector<uint32_t> limits;
  std::map<uint32_t, uint32_t> addresses;
};

gbd_address_t
make_address (uint32_t number)
{
  gbd_address_t address = {};
  address.family = 4;
  address.port = 443;
  address.ip[0] = 10;
  address.ip[3] = static_cast<uint8_t> (number);
  return address;
}

gbd_catalog_t *
make_catalog (const lists_t &lists)
{
  gbd_catalog_t *catalog = gbd_catalog_new (1);
  for (size_t i = 0; i < lists.limits.size (); i++)
    {
      gbd_plan_t plan = {};
      plan.open_flows = lists.limits[i];
      gbd_catalog_add_plan (catalog, &plan);
      std::string name = "name-" + std::to_string (i);
      gbd_catalog_add_customer (catalog, name.c_str (),
                                static_cast<uint32_t> (i));
      gbd_catalog_add_service (catalog, name.c_str (),
                               static_cast<uint32_t> (i));
    }
  for (const auto &entry : lists.addresses)
    {
      gbd_address_t address = make_address (entry.first);
      gbd_catalog_add_address (catalog, &address, entry.second);
    }
  return catalog;
}

lists_t
make_random_lists ()
{
  lists_t lists;
  lists.limits = *rc::gen::container<std::vector<uint32_t> > (
      *rc::gen::inRange<size_t> (1, 4), rc::gen::inRange<uint32_t> (1, 4));
  auto count = static_cast<uint32_t> (lists.limits.size ());
  for (uint32_t i = 0; i < ADDRESSES; i++)
    {
      uint32_t service = *rc::gen::inRange<uint32_t> (0, count + 1);
      if (service < count)
        lists.addresses[i] = service;
    }
  return lists;
}

struct effects_t
{
  std::map<uint32_t, gbd_effect_t> addresses;
  std::map<std::string, gbd_effect_t> services;
  std::map<std::string, gbd_effect_t> limits;
};

void
record_effect (void *data, const gbd_effect_t *effect)
{
  auto *effects = static_cast<effects_t *> (data);
  if (effect->kind <= GBD_EFFECT_ADDRESS_MOVED)
    effects->addresses[effect->address.ip[3]] = *effect;
  else if (effect->kind == GBD_EFFECT_LIMITS)
    effects->limits[effect->after] = *effect;
  else
    effects->services[effect->service] = *effect;
}

const char *
find_service_name (const gbd_catalog_t *catalog, uint32_t number)
{
  gbd_address_t address = make_address (number);
  gbd_service_handle_t service = gbd_catalog_find (catalog, &address);
  return service == GBD_SERVICE_NONE
             ? nullptr
             : gbd_catalog_get_service (catalog, service)->name;
}

void
check_list_change ()
{
  lists_t first = make_random_lists ();
  lists_t second = make_random_lists ();
  gbd_catalog_t *before = make_catalog (first);
  gbd_catalog_t *after = make_catalog (second);
  effects_t effects;
  uint32_t count = gbd_predict_lists (before, after, record_effect, &effects);
  RC_ASSERT (count
             == effects.addresses.size () + effects.services.size ()
                    + effects.limits.size ());
  for (uint32_t i = 0; i < ADDRESSES; i++)
    {
      const char *from = find_service_name (before, i);
      const char *to = find_service_name (after, i);
      std::string from_name = from ? from : "";
      std::string to_name = to ? to : "";
      RC_ASSERT ((from_name != to_name) == (effects.addresses.count (i) == 1));
      if (from_name == to_name)
        continue;
      const gbd_effect_t &effect = effects.addresses[i];
      RC_ASSERT (effect.ends_flows == (from != nullptr));
      RC_ASSERT (from_name == (effect.before ? effect.before : ""));
      RC_ASSERT (to_name == (effect.after ? effect.after : ""));
    }
  size_t service_count
      = std::max (first.limits.size (), second.limits.size ());
  for (size_t i = 0; i < service_count; i++)
    {
      std::string name = "name-" + std::to_string (i);
      bool exists_before = i < first.limits.size ();
      bool exists_after = i < second.limits.size ();
      RC_ASSERT ((exists_before != exists_after)
                 == (effects.services.count (name) == 1));
      if (exists_before != exists_after)
        RC_ASSERT (effects.services[name].ends_flows == exists_before);
      bool has_limit_effect
          = exists_after
            && (!exists_before || first.limits[i] != second.limits[i]);
      RC_ASSERT (has_limit_effect == (effects.limits.count (name) == 1));
    }
  gbd_catalog_delete (before);
  gbd_catalog_delete (after);
}

std::map<gbd_backend_id_t, uint32_t>
get_shares (const gbd_table_t *table)
{
  std::vector<uint32_t> shares (table->backend_count);
  gbd_predict_shares (table, shares.data ());
  std::map<gbd_backend_id_t, uint32_t> shares_by_id;
  for (uint32_t i = 0; i < table->backend_count; i++)
    {
      if (shares[i])
        shares_by_id[table->backends[i].id] = shares[i];
    }
  return shares_by_id;
}

void
check_server_change ()
{
  static int runs;
  if (runs++ >= GROUP_RUNS)
    return;
  uint32_t seed = *rc::gen::inRange<uint32_t> (1, 1000000);
  uint32_t servers = *rc::gen::inRange<uint32_t> (2, 6);
  bool drains = *rc::gen::arbitrary<bool> ();
  group_t *group = group_new (4, servers, GBD_PARTITION_OWN, seed);
  RC_ASSERT (group != nullptr);
  group_run (group, CONVERGENCE_MS);
  gbd_table_t *before = gbd_table_copy (group_table (group, 0));
  std::vector<uint32_t> flows;
  for (int i = 0; i < 20; i++)
    flows.push_back (group_open (group));

  if (drains)
    group_drain_server (group, group_random (group, servers));
  else
    group_add_server (group);
  gbd_coordinator_input_t input = {};
  input.members = before->roster;
  input.member_count = before->roster_count;
  input.backends = group->servers;
  input.backend_count = group->server_count;
  input.weights = group->weights;
  input.move_max = MOVE_MAX;
  input.generation = before->generation;
  gbd_prediction_t prediction;
  RC_ASSERT (gbd_predict_table (before, &input, &prediction) == GBD_OK);
  RC_ASSERT (prediction.is_converged);
  RC_ASSERT (prediction.steps_until_effective <= prediction.steps);

  group_run (group, 2 * CONVERGENCE_MS);
  for (uint32_t flow : flows)
    RC_ASSERT (group_send_packet_retrying (group, flow, 20));
  const gbd_table_t *after = group_table (group, 0);
  RC_ASSERT (get_shares (after) == get_shares (prediction.after));
  RC_ASSERT (after->version - before->version == prediction.steps);
  uint32_t moved = 0;
  for (uint32_t i = 0; i < after->bucket_count; i++)
    moved
        += after->backends[gbd_bucket_new_flow_slot (&after->buckets[i])].id
           != before->backends[gbd_bucket_new_flow_slot (&before->buckets[i])]
                  .id;
  RC_ASSERT (moved == prediction.moved);
  RC_ASSERT (group->misrouted_packets == 0U);
  gbd_prediction_clear (&prediction);
  gbd_table_delete (before);
  group_delete (group);
}

} // namespace

int
main ()
{
  bool passed
      = rc::check ("effects of a change of the lists", check_list_change);
  passed = rc::check ("prediction of a change of servers", check_server_change)
           && passed;
  return passed ? 0 : 1;
}
