#include <algorithm>
#include <map>
#include <vector>

#include <rapidcheck.h>

extern "C"
{
#include "libgooseberrydrum/registry.h"
}

using entries_t = std::vector<std::pair<uint8_t, uint8_t> >;
using flow_map_t = std::map<uint64_t, gbd_slot_t>;

static flow_map_t
get_flows (const gbd_registry_t *registry)
{
  flow_map_t content;
  for (uint32_t i = 0; i < gbd_registry_get_capacity (registry); i++)
    {
      const gbd_registered_flow_t *flow = gbd_registry_at (registry, i);
      if (flow->flags & GBD_REGISTERED_USED)
        content[flow->hash] = flow->slot;
    }
  return content;
}

static flow_map_t
merge_all (const entries_t &entries)
{
  gbd_registry_t *registry = gbd_registry_new (512);
  for (const auto &entry : entries)
    RC_ASSERT (gbd_registry_merge (registry, (uint64_t)entry.first << 32,
                                   entry.second, 0)
               == GBD_OK);
  flow_map_t content = get_flows (registry);
  gbd_registry_delete (registry);
  return content;
}

static entries_t
to_entries (const flow_map_t &content)
{
  entries_t entries;
  for (const auto &entry : content)
    entries.emplace_back ((uint8_t)(entry.first >> 32), (uint8_t)entry.second);
  return entries;
}

static entries_t
concatenate (entries_t a, const entries_t &b)
{
  a.insert (a.end (), b.begin (), b.end ());
  return a;
}

int
main ()
{
  bool passed = rc::check ("merging is commutative",
                           [] (const entries_t &a, const entries_t &b) {
                             RC_ASSERT (merge_all (concatenate (a, b))
                                        == merge_all (concatenate (b, a)));
                           });

  passed &= rc::check (
      "merging is associative",
      [] (const entries_t &a, const entries_t &b, const entries_t &c) {
        entries_t ab = to_entries (merge_all (concatenate (a, b)));
        entries_t bc = to_entries (merge_all (concatenate (b, c)));
        RC_ASSERT (merge_all (concatenate (ab, c))
                   == merge_all (concatenate (a, bc)));
      });

  passed &= rc::check ("merging is idempotent", [] (const entries_t &a) {
    RC_ASSERT (merge_all (concatenate (a, a)) == merge_all (a));
  });

  passed &= rc::check (
      "each flow keeps the lowest slot merged", [] (const entries_t &a) {
        flow_map_t expected;
        for (const auto &entry : a)
          {
            uint64_t hash = (uint64_t)entry.first << 32;
            auto position = expected.emplace (hash, entry.second).first;
            position->second
                = std::min<gbd_slot_t> (position->second, entry.second);
          }
        RC_ASSERT (merge_all (a) == expected);
      });
  return passed ? 0 : 1;
}
