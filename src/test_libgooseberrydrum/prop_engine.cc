/* Random sequences of packets, table versions and failures at several engines
   whose tables differ by at most one version. */
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

extern "C"
{
#include "engine_fixture.h"
}

#define CALLERS 40
#define FIRST_ROSTER 5
#define HISTORY_SIZE 600

using step_t = std::tuple<uint8_t, uint8_t, uint8_t, uint8_t>;

namespace
{

/* One history, and the backend server at which each flow was opened. */
struct history_t
{
  cluster_t c;
  gbd_table_t *newest;
  uint64_t installed[INSTANCES]; /* table version installed at each instance */
  bool has_no_lease[INSTANCES];  /* its lease has expired */
  bool has_joined;
  int failed_instance = -1;
  std::map<uint32_t, gbd_slot_t> server_of_caller;
  std::map<uint32_t, uint32_t> delivered; /* packets that reached a server */
  std::set<uint32_t> closed;
  /* Lowest table version of any instance when the flow opened. */
  std::map<uint32_t, uint64_t> opened_version;

  history_t ()
  {
    cluster_open (&c, &gbd_policy_replicas);
    newest = make_table (&c, FIRST_ROSTER);
    has_joined = false;
    for (uint32_t i = 0; i < INSTANCES; i++)
      {
        has_no_lease[i] = false;
        installed[i] = 0;
        install_newest (i);
      }
    gbd_engine_set_joined (c.engines[FIRST_ROSTER], false);
    gbd_engine_set_complete (c.engines[FIRST_ROSTER], c.service, false);
  }

  ~history_t ()
  {
    gbd_table_delete (newest);
    cluster_close (&c);
  }

  void
  install_newest (uint32_t i)
  {
    if (c.has_failed[i] || installed[i] == newest->version)
      return;
    RC_ASSERT (set_table (&c, i, newest) == GBD_OK);
    installed[i] = newest->version;
    if (gbd_table_has_member (newest, instance_id (i)))
      gbd_engine_set_joined (c.engines[i], true);
  }

  bool
  is_installed_everywhere () const
  {
    for (uint32_t i = 0; i < INSTANCES; i++)
      if (!c.has_failed[i] && installed[i] != newest->version)
        return false;
    return true;
  }

  void
  check_server (uint32_t caller, const outcome_t &outcome)
  {
    if (outcome.kind != GBD_ACTION_BACKEND)
      return;
    auto entry_of_caller
        = server_of_caller.emplace (caller, outcome.slot).first;
    RC_ASSERT (entry_of_caller->second == outcome.slot);
    delivered[caller]++;
  }

  /* Sends a packet to an instance.  If `loss` is 200 or more, the packet is
     lost after loss % 3 peers. */
  void
  send (uint32_t i, gbd_packet_kind_t kind, uint32_t caller, uint8_t loss)
  {
    if (c.has_failed[i])
      return;
    gbd_packet_t packet = make_packet (kind, caller, &c.address, caller);
    check_server (
        caller, deliver_until (&c, i, &packet, loss < 200 ? 99u : loss % 3u));
  }

  /* Merges the flows that each instance lists into every instance. */
  void
  exchange (void (*list) (const gbd_engine_t *, gbd_service_id_t, gbd_time_t,
                          gbd_flow_visit_t, void *),
            gbd_flows_kind_t kind)
  {
    for (uint32_t i = 0; i < INSTANCES; i++)
      {
        if (c.has_failed[i])
          continue;
        std::vector<gbd_flow_entry_t> entries;
        list (
            c.engines[i], c.service, c.now,
            [] (void *data, const gbd_flow_entry_t *entry) {
              static_cast<std::vector<gbd_flow_entry_t> *> (data)->push_back (
                  *entry);
            },
            &entries);
        for (uint32_t to = 0; to < INSTANCES; to++)
          if (!c.has_failed[to])
            gbd_engine_merge (c.engines[to], c.service, kind, entries.data (),
                              (uint32_t)entries.size (), c.now);
      }
  }

  /* Create the next version if all instances have installed the newest one. */
  void
  extend (uint8_t choice, uint8_t from, uint8_t to)
  {
    if (!is_installed_everywhere ())
      return;
    gbd_table_t *next = gbd_table_copy (newest);
    next->version++;
    if (next->roster_phase != GBD_ROSTER_SETTLED || choice % 4 == 0)
      extend_roster (next);
    else
      extend_buckets (next, (gbd_slot_t)(from % BACKENDS),
                      (gbd_slot_t)(to % BACKENDS), choice);
    gbd_table_delete (newest);
    newest = next;
  }

  void
  extend_roster (gbd_table_t *next)
  {
    if (next->roster_phase == GBD_ROSTER_JOINING)
      {
        exchange (
            [] (const gbd_engine_t *engine, gbd_service_id_t service,
                gbd_time_t, gbd_flow_visit_t visit, void *data) {
              gbd_engine_visit_registrations (engine, service, visit, data);
            },
            GBD_FLOWS_REGISTERED);
        exchange (
            [] (const gbd_engine_t *engine, gbd_service_id_t service,
                gbd_time_t, gbd_flow_visit_t visit, void *data) {
              gbd_engine_visit_stored_exceptions (engine, service, visit,
                                                  data);
            },
            GBD_FLOWS_EXCEPTION);
        for (uint32_t i = 0; i < INSTANCES; i++)
          gbd_engine_set_complete (c.engines[i], c.service, true);
        next->roster_phase = GBD_ROSTER_SWITCHED;
        return;
      }
    if (next->roster_phase == GBD_ROSTER_SWITCHED)
      {
        memcpy (next->roster, next->next, sizeof next->roster);
        next->roster_count = next->next_count;
        next->next_count = 0;
        next->roster_phase = GBD_ROSTER_SETTLED;
        return;
      }
    next->roster_phase = GBD_ROSTER_JOINING;
    next->next_count = 0;
    for (uint32_t i = 0; i < INSTANCES; i++)
      if (!c.has_failed[i])
        next->next[next->next_count++] = c.members[i];
  }

  void
  extend_buckets (gbd_table_t *next, gbd_slot_t x, gbd_slot_t y,
                  uint8_t choice)
  {
    bool is_settling = false;
    for (uint32_t i = 0; i < next->bucket_count; i++)
      is_settling |= next->buckets[i].phase == GBD_BUCKET_SETTLING;
    if (is_settling)
      exchange (gbd_engine_visit_off_target_flows, GBD_FLOWS_SHARE);
    for (uint32_t i = 0; i < next->bucket_count; i++)
      extend_bucket (&next->buckets[i], x, y, choice);
  }

  void
  extend_bucket (gbd_bucket_t *bucket, gbd_slot_t x, gbd_slot_t y,
                 uint8_t choice)
  {
    bool is_retargeted = choice % 7 == 0 && y != bucket->from;
    switch (bucket->phase)
      {
      case GBD_BUCKET_STABLE:
        if (bucket->from != x || x == y)
          return;
        bucket->to = y;
        bucket->phase = GBD_BUCKET_ANNOUNCED;
        return;
      case GBD_BUCKET_ANNOUNCED:
        bucket->phase = GBD_BUCKET_ACTIVE;
        return;
      case GBD_BUCKET_ACTIVE:
      case GBD_BUCKET_SETTLING:
        if (is_retargeted)
          {
            bucket->to = y;
            bucket->phase
                = choice & 1 ? GBD_BUCKET_ANNOUNCED : GBD_BUCKET_ACTIVE;
          }
        else if (failed_instance < 0 && (choice & 2))
          /* After a failure the flow caches are not loss-free, so no bucket
             becomes INVERTED. */
          bucket->phase++;
        return;
      case GBD_BUCKET_INVERTED:
        bucket->phase = GBD_BUCKET_STABLE;
        bucket->from = bucket->to;
        return;
      }
  }

  void
  fail (uint32_t i)
  {
    if (failed_instance >= 0 || newest->roster_phase != GBD_ROSTER_SETTLED
        || newest->roster_count != INSTANCES)
      return;
    failed_instance = (int)i;
    set_failed (&c, i);
  }

  void
  set_lease_lost (uint32_t i, bool is_lost)
  {
    has_no_lease[i] = is_lost;
    gbd_engine_set_lease (c.engines[i],
                          is_lost ? GBD_LEASE_NONE : GBD_LEASE_FULL);
  }

  /* A caller stops retransmitting an opening packet before the announcement
     period of an ANNOUNCED bucket is over.  So the packet is sent again only
     under the version under which the flow opened or the next one. */
  void
  open (uint32_t i, uint32_t caller, uint8_t loss)
  {
    auto last = opened_version.find (caller);
    if (closed.count (caller)
        || (last != opened_version.end ()
            && newest->version > last->second + 1))
      return;
    uint32_t before = delivered[caller];
    send (i, GBD_PACKET_OPENING, caller, loss);
    if (delivered[caller] > before)
      opened_version[caller]
          = newest->version - (is_installed_everywhere () ? 0 : 1);
  }

  void
  apply (const step_t &step)
  {
    uint8_t kind, a, b, loss;
    std::tie (kind, a, b, loss) = step;
    uint32_t i = a % INSTANCES;
    uint32_t caller = b % CALLERS;
    c.now += loss * GBD_MILLISECOND / 4;
    if (kind < 70)
      {
        open (i, caller, loss);
      }
    else if (kind < 150)
      {
        if (server_of_caller.count (caller))
          send (i, GBD_PACKET_ESTABLISHED, caller, loss);
      }
    else if (kind < 160)
      {
        if (server_of_caller.count (caller) && closed.insert (caller).second)
          send (i, GBD_PACKET_CLOSING, caller, loss);
      }
    else if (kind < 190)
      install_newest (i);
    else if (kind < 200)
      for (uint32_t each = 0; each < INSTANCES; each++)
        install_newest (each);
    else if (kind < 225)
      extend (loss, a, b);
    else if (kind < 240)
      deliver_updates (&c, i);
    else if (kind < 250)
      set_lease_lost (i, b & 1);
    else if (kind < 252)
      fail (i);
  }

  /* When all instances have the same table, each of them routes every open
     flow to its backend server. */
  void
  check_all_flows ()
  {
    for (uint32_t i = 0; i < INSTANCES; i++)
      {
        install_newest (i);
        set_lease_lost (i, false);
      }
    for (const auto &entry : server_of_caller)
      for (uint32_t i = 0; i < INSTANCES; i++)
        {
          if (c.has_failed[i] || closed.count (entry.first))
            continue;
          gbd_packet_t packet = make_packet (
              GBD_PACKET_ESTABLISHED, entry.first, &c.address, entry.first);
          outcome_t outcome = deliver (&c, i, &packet);
          RC_ASSERT (outcome.kind == GBD_ACTION_BACKEND);
          check_server (entry.first, outcome);
        }
  }
};

void
flow_keeps_its_server ()
{
  auto steps = *rc::gen::resize (HISTORY_SIZE,
                                 rc::gen::arbitrary<std::vector<step_t> > ());
  history_t history;
  for (const auto &step : steps)
    history.apply (step);
  history.check_all_flows ();
  RC_CLASSIFY (history.newest->version > 10, "more than ten versions");
  RC_CLASSIFY (history.server_of_caller.size () > CALLERS / 2,
               "most flows opened");
  RC_CLASSIFY (history.failed_instance >= 0, "an instance failed");
}

/* Table of one of the services 0 to 5, with backend servers
   10.SERVICE.0.SLOT and random phases and slots. */
gbd_table_t *
random_table (gbd_service_id_t id, uint8_t service, const cluster_t *c,
              const std::vector<uint8_t> &bytes)
{
  gbd_backend_t backends[BACKENDS];
  memset (backends, 0, sizeof backends);
  for (uint32_t i = 0; i < BACKENDS; i++)
    {
      backends[i].id = 100u * service + i + 1;
      backends[i].address = service_address ((uint8_t)i);
      backends[i].address.ip[1] = service;
      backends[i].state = GBD_BACKEND_READY;
    }
  gbd_table_t *table
      = gbd_table_new (id, 8, backends, BACKENDS, c->members, INSTANCES);
  table->version = 1;
  for (uint32_t i = 0; i < table->bucket_count && i < bytes.size (); i++)
    {
      table->buckets[i].phase = bytes[i] % 5;
      /* An invalid table may name any slot. */
      table->buckets[i].from = bytes[i] % 6;
      table->buckets[i].to = bytes[i] / 8 % 6;
    }
  return table;
}

void
packets_stay_within_their_service ()
{
  cluster_t c;
  cluster_open (&c, &gbd_policy_replicas);
  gbd_catalog_t *catalog = gbd_catalog_new (1);
  gbd_plan_t plan;
  memset (&plan, 0, sizeof plan);
  plan.idle_limit_s = 60;
  gbd_catalog_add_plan (catalog, &plan);
  gbd_catalog_add_customer (catalog, "customer", 0);
  std::map<uint8_t, uint8_t> owners;
  for (uint8_t service = 0; service < 6; service++)
    {
      std::string name = "service-" + std::to_string (service);
      gbd_catalog_add_service (catalog, name.c_str (), 0);
    }
  for (uint8_t last : *rc::gen::arbitrary<std::vector<uint8_t> > ())
    {
      gbd_address_t address = service_address (last);
      uint8_t service = *rc::gen::inRange<uint8_t> (0, 6);
      if (gbd_catalog_add_address (catalog, &address, service) == GBD_OK)
        owners[last] = service;
    }
  gbd_engine_t *engine = c.engines[0];
  gbd_engine_set_catalog (engine, catalog);
  for (uint8_t service = 0; service < 6; service++)
    {
      gbd_service_id_t id = gbd_catalog_get_service (catalog, service)->id;
      gbd_engine_set_complete (engine, id, true);
      gbd_engine_set_table (
          engine,
          random_table (id, service, &c,
                        *rc::gen::arbitrary<std::vector<uint8_t> > ()),
          c.now);
    }

  auto steps = *rc::gen::resize (HISTORY_SIZE,
                                 rc::gen::arbitrary<std::vector<step_t> > ());
  for (const auto &step : steps)
    {
      uint8_t last, kind, caller, random_bits;
      std::tie (last, kind, caller, random_bits) = step;
      gbd_address_t address = service_address (last);
      gbd_packet_t packet = make_packet ((gbd_packet_kind_t)(kind % 4),
                                         caller % 8u, &address, random_bits);
      gbd_shim_t shim;
      memset (&shim, 0, sizeof shim);
      shim.kind = (uint8_t)(1 + random_bits % 3);
      shim.hops = random_bits % 7;
      shim.slot = random_bits % 9 < 8 ? random_bits % 9 : GBD_SLOT_NONE;
      shim.origin = instance_id (1);
      shim.version = 1 + random_bits % 2;

      gbd_decision_t decision, repeated;
      gbd_engine_stats_t before, after;
      const gbd_shim_t *received_shim = random_bits & 1 ? &shim : nullptr;
      gbd_engine_get_stats (engine, &before);
      gbd_engine_route (engine, &packet, received_shim, c.now, &decision);
      gbd_engine_route (engine, &packet, received_shim, c.now, &repeated);
      gbd_engine_get_stats (engine, &after);
      RC_ASSERT (memcmp (&decision, &repeated, sizeof decision) == 0);
      RC_ASSERT (memcmp (&before, &after, sizeof before) == 0);
      gbd_engine_commit (engine, &packet, &decision, c.now);
      auto owner = owners.find (last);
      if (owner == owners.end ())
        RC_ASSERT (decision.drop == GBD_DROP_NO_SERVICE);
      if (decision.kind != GBD_ACTION_BACKEND)
        continue;
      RC_ASSERT (decision.backend.ip[1] == owner->second);
      RC_ASSERT (decision.backend.ip[3] == decision.slot);
    }
  cluster_close (&c);
  gbd_catalog_delete (catalog);
}

} // namespace

int
main ()
{
  bool passed = rc::check ("a flow opened at one backend server is never "
                           "sent to a second one, and is always found",
                           flow_keeps_its_server);
  passed
      &= rc::check ("no packet reaches a backend server of another service, "
                    "and routing has no side effects",
                    packets_stay_within_their_service);
  return passed ? 0 : 1;
}
