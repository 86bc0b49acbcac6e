#include <algorithm>
#include <map>
#include <vector>

#include <rapidcheck.h>

extern "C"
{
#include "libgooseberrydrum/registry.h"
}

using facts_t = std::vector<std::pair<uint8_t, uint8_t> >;
using content_t = std::map<uint64_t, gbd_slot_t>;

static content_t
content_of (const gbd_registry_t *registry)
{
  content_t content;
  for (uint32_t i = 0; i < gbd_registry_get_capacity (registry); i++)
    {
      const gbd_registered_flow_t *flow = gbd_registry_at (registry, i);
      if (flow->flags & GBD_REGISTERED_USED)
        content[flow->hash] = flow->slot;
    }
  return content;
}

static content_t
merged (const facts_t &facts)
{
  gbd_registry_t *registry = gbd_registry_new (512);
  for (const auto &fact : facts)
    RC_ASSERT (gbd_registry_merge (registry, (uint64_t)fact.first << 32,
                                   fact.second, 0)
               == GBD_OK);
  content_t content = content_of (registry);
  gbd_registry_delete (registry);
  return content;
}

static facts_t
to_facts (const content_t &content)
{
  facts_t facts;
  for (const auto &entry : content)
    facts.emplace_back ((uint8_t)(entry.first >> 32), (uint8_t)entry.second);
  return facts;
}

static facts_t
joined (facts_t a, const facts_t &b)
{
  a.insert (a.end (), b.begin (), b.end ());
  return a;
}

int
main ()
{
  bool passed = rc::check (
      "merging is commutative", [] (const facts_t &a, const facts_t &b) {
        RC_ASSERT (merged (joined (a, b)) == merged (joined (b, a)));
      });

  passed &= rc::check (
      "merging is associative",
      [] (const facts_t &a, const facts_t &b, const facts_t &c) {
        facts_t ab = to_facts (merged (joined (a, b)));
        facts_t bc = to_facts (merged (joined (b, c)));
        RC_ASSERT (merged (joined (ab, c)) == merged (joined (a, bc)));
      });

  passed &= rc::check ("merging is idempotent", [] (const facts_t &a) {
    RC_ASSERT (merged (joined (a, a)) == merged (a));
  });

  passed &= rc::check (
      "each flow keeps the lowest slot told", [] (const facts_t &a) {
        content_t expected;
        for (const auto &fact : a)
          {
            uint64_t hash = (uint64_t)fact.first << 32;
            auto place = expected.emplace (hash, fact.second).first;
            place->second = std::min<gbd_slot_t> (place->second, fact.second);
          }
        RC_ASSERT (merged (a) == expected);
      });
  return passed ? 0 : 1;
}
