// Random sequences of operations on a model of a group and its coordinator.
// Instances install new versions at independent times, so that two adjacent
// versions are in use.  Instances do not route by their flow caches: packets
// are routed only by tables, registrations and exceptions, and every packet
// must reach the server of its flow.

#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "gooseberrydrum/coordinator.h"

namespace
{

constexpr uint32_t BUCKETS = 16;
constexpr size_t FLOWS_MAX = 32;

using table_ptr_t = std::shared_ptr<const gbd_table_t>;

struct flow_t
{
  uint32_t bucket;
  gbd_slot_t slot;
  gbd_backend_id_t backend;
  uint64_t opened_version; // newest version when the flow opened
};

struct node_t
{
  gbd_member_t member;
  bool is_alive = true;
  bool is_listed = true;
  table_ptr_t table;
  uint64_t complete = 0;
  std::set<int> cached; // flows in the flow cache
  std::map<int, gbd_slot_t> registered;
  std::map<int, gbd_slot_t> exceptions;
};

struct op_t
{
  unsigned kind;
  uint32_t choice;
};

void
showValue (const op_t &op, std::ostream &out)
{
  out << "{" << op.kind << "," << op.choice << "}";
}

class group_model_t
{
public:
  group_model_t ()
  {
    for (int i = 0; i < 5; i++)
      add_node ();
    for (int i = 0; i < 4; i++)
      add_backend ();
    step ();
    RC_ASSERT (current);
    for (auto &entry : nodes)
      install (entry.second);
  }

  void
  run (const op_t &op)
  {
    uint32_t choice = op.choice;
    switch (op.kind)
      {
      case 0 ... 5:
        return open (choice);
      case 6 ... 9:
        return retransmit_opening (choice);
      case 10 ... 17:
        return look_up (choice, choice);
      case 18 ... 19:
        return send_packets_of_all_flows (choice);
      case 20 ... 23:
        return install (pick (choice));
      case 24 ... 25:
        return complete (pick (choice));
      case 26:
        return step ();
      case 27 ... 28:
        install_on_all ();
        return step ();
      case 29:
        return run_round ();
      case 30 ... 33:
        return set_state (choice, GBD_BACKEND_DRAINING);
      case 34 ... 35:
        return set_state (choice, GBD_BACKEND_READY);
      case 36:
        return choice % 2 ? set_state (choice / 2, GBD_BACKEND_GONE)
                          : add_backend ();
      case 37:
        return choice % 2 ? crash (choice / 2) : add_node ();
      case 38:
        return choice % 2 ? leave (choice / 2) : add_node ();
      case 39:
        return clear_flow_caches (choice);
      case 40:
        return close_flows (choice);
      default:
        move_max = choice % 5;
        weights[choice % weights.size ()] = 1 + choice % 100;
        return;
      }
  }

  // Checks that all moves end once there are no further faults.
  void
  converge ()
  {
    flows.clear ();
    move_max = BUCKETS;
    last_step = GBD_STEP_READY;
    for (int i = 0; i < 60 && last_step != GBD_STEP_IDLE; i++)
      run_round ();
    RC_ASSERT (last_step == GBD_STEP_IDLE);
    RC_ASSERT (current->roster_phase == GBD_ROSTER_SETTLED);
    bool has_ready = false;
    for (const gbd_backend_t &backend : backends)
      has_ready = has_ready || backend.state == GBD_BACKEND_READY;
    for (uint32_t i = 0; i < BUCKETS; i++)
      {
        const gbd_bucket_t &bucket = current->buckets[i];
        if (has_ready)
          RC_ASSERT (bucket.phase == GBD_BUCKET_STABLE
                     && current->backends[bucket.to].state
                            == GBD_BACKEND_READY);
        else
          RC_ASSERT (gbd_bucket_new_flow_slot (&bucket) == GBD_SLOT_NONE);
      }
    for (const auto &entry : nodes)
      RC_ASSERT (gbd_table_has_member (current.get (), entry.first)
                 == (entry.second.is_alive && entry.second.is_listed));
  }

private:
  std::map<gbd_instance_id_t, node_t> nodes;
  std::vector<gbd_backend_t> backends;
  std::vector<uint16_t> weights;
  std::map<int, flow_t> flows; // open flows
  table_ptr_t current;
  gbd_step_t last_step = GBD_STEP_READY;
  uint32_t move_max = BUCKETS;
  int next_flow = 0;
  gbd_instance_id_t next_node = 1;
  gbd_backend_id_t next_backend = 1000;

  void
  add_node ()
  {
    if (nodes.size () >= 12)
      return;
    node_t node;
    node.member
        = { next_node, static_cast<gbd_zone_id_t> (1 + next_node % 3) };
    nodes[next_node++] = node;
  }

  void
  add_backend ()
  {
    if (backends.size () >= 10)
      return;
    gbd_backend_t backend = {};
    backend.id = next_backend++;
    backend.address.family = 4;
    backend.address.port = 80;
    backends.push_back (backend);
    weights.push_back (100);
  }

  node_t &
  pick (uint32_t choice)
  {
    auto at = nodes.begin ();
    std::advance (at, choice % nodes.size ());
    return at->second;
  }

  bool
  is_member (const node_t &node) const
  {
    return gbd_table_has_member (current.get (), node.member.id);
  }

  // Whether, by its own table, an instance processes packets that the fabric
  // delivers to it.
  static bool
  is_serving (const node_t &node)
  {
    if (!node.is_alive || !node.table)
      return false;
    const gbd_table_t *table = node.table.get ();
    for (int i = 0; i < table->roster_count; i++)
      if (table->roster[i].id == node.member.id)
        return true;
    return table->roster_phase == GBD_ROSTER_SWITCHED
           && gbd_table_has_member (table, node.member.id);
  }

  node_t *
  first_alive (const gbd_instance_id_t *ids, int count)
  {
    for (int i = 0; i < count; i++)
      {
        auto found = nodes.find (ids[i]);
        if (found != nodes.end () && found->second.is_alive
            && found->second.table)
          return &found->second;
      }
    return nullptr;
  }

  // Returns the slot of the server that an opening packet reaches, and
  // registers the flow at the replicas that the packet passes.
  gbd_slot_t
  route_opening (node_t &ingress, int flow, uint32_t index, bool *is_dropped)
  {
    *is_dropped = false;
    const gbd_bucket_t &own = ingress.table->buckets[index];
    if (!gbd_bucket_is_registering (&own))
      return gbd_bucket_new_flow_slot (&own);
    gbd_replicas_t chain;
    gbd_table_get_replicas (ingress.table.get (), index, &chain);
    node_t *first = first_alive (chain.chain, chain.count);
    *is_dropped = !first;
    if (!first)
      return GBD_SLOT_NONE;
    const gbd_bucket_t &bucket = first->table->buckets[index];
    if (!gbd_bucket_is_registering (&bucket))
      return gbd_bucket_new_flow_slot (&bucket);
    gbd_slot_t slot = first->registered.count (flow)
                          ? first->registered[flow]
                          : gbd_bucket_new_flow_slot (&bucket);
    if (slot == GBD_SLOT_NONE)
      return slot;
    gbd_table_get_replicas (first->table.get (), index, &chain);
    for (int i = 0; i < chain.count; i++)
      {
        node_t *replica = first_alive (&chain.chain[i], 1);
        if (replica
            && gbd_bucket_is_registering (&replica->table->buckets[index]))
          replica->registered.emplace (flow, slot);
      }
    return slot;
  }

  gbd_slot_t
  route_unknown (node_t &ingress, int flow, uint32_t index, bool *is_dropped)
  {
    *is_dropped = false;
    const gbd_bucket_t &own = ingress.table->buckets[index];
    if (ingress.exceptions.count (flow))
      return ingress.exceptions[flow];
    if (!gbd_bucket_needs_lookup (&own))
      return gbd_bucket_default_slot (&own);
    gbd_replicas_t replicas;
    gbd_table_get_replicas (ingress.table.get (), index, &replicas);
    node_t *replica = first_alive (replicas.lookup, 2);
    *is_dropped = !replica;
    if (!replica)
      return GBD_SLOT_NONE;
    if (replica->registered.count (flow))
      return replica->registered[flow];
    if (replica->exceptions.count (flow))
      return replica->exceptions[flow];
    return gbd_bucket_default_slot (&replica->table->buckets[index]);
  }

  void
  open (uint32_t choice)
  {
    node_t &ingress = pick (choice);
    if (!is_serving (ingress))
      return;
    uint32_t bucket = choice / 16 % BUCKETS;
    bool is_dropped;
    int flow = next_flow++;
    gbd_slot_t slot = route_opening (ingress, flow, bucket, &is_dropped);
    if (is_dropped || slot == GBD_SLOT_NONE)
      return;
    gbd_backend_id_t backend = current->backends[slot].id;
    for (const gbd_backend_t &each : backends)
      if (each.id == backend && each.state != GBD_BACKEND_GONE)
        {
          flows[flow] = { bucket, slot, backend, current->version };
          ingress.cached.insert (flow);
          check_flow (flow);
        }
    if (flows.size () > FLOWS_MAX)
      flows.erase (flows.begin ());
  }

  // Checks that every instance that routes a later packet of the flow without
  // a flow cache entry sends the packet to the flow's server.
  void
  check_flow (int id)
  {
    const flow_t &flow = flows[id];
    for (auto &entry : nodes)
      {
        node_t &node = entry.second;
        bool is_dropped = true;
        gbd_slot_t slot = GBD_SLOT_NONE;
        if (is_serving (node))
          slot = route_unknown (node, id, flow.bucket, &is_dropped);
        if (is_dropped)
          continue;
        RC_ASSERT (slot == flow.slot);
        RC_ASSERT (slot < node.table->backend_count);
        RC_ASSERT (node.table->backends[slot].id == flow.backend);
      }
  }

  void
  check_all ()
  {
    for (const auto &entry : flows)
      check_flow (entry.first);
  }

  const flow_t *
  pick_flow (uint32_t choice, int *flow) const
  {
    if (flows.empty ())
      return nullptr;
    auto at = flows.begin ();
    std::advance (at, choice / 64 % flows.size ());
    *flow = at->first;
    return &at->second;
  }

  // The caller retransmits the opening packet through any instance.
  void
  retransmit_opening (uint32_t choice)
  {
    int id;
    node_t &ingress = pick (choice);
    const flow_t *flow = pick_flow (choice, &id);
    if (!flow || flow->opened_version != current->version
        || !is_serving (ingress))
      return;
    bool is_dropped;
    gbd_slot_t slot = route_opening (ingress, id, flow->bucket, &is_dropped);
    if (is_dropped)
      return;
    RC_ASSERT (slot == flow->slot);
    ingress.cached.insert (id);
  }

  void
  look_up (uint32_t flow_choice, uint32_t node_choice)
  {
    int id;
    node_t &ingress = pick (node_choice);
    const flow_t *flow = pick_flow (flow_choice, &id);
    if (!flow || !is_serving (ingress))
      return;
    bool is_dropped;
    gbd_slot_t slot = route_unknown (ingress, id, flow->bucket, &is_dropped);
    if (is_dropped)
      return;
    RC_ASSERT (slot == flow->slot);
    ingress.cached.insert (id);
  }

  void
  install (node_t &node)
  {
    if (!node.is_alive || !is_member (node))
      return;
    node.table = current;
    for (auto at = node.registered.begin (); at != node.registered.end ();)
      {
        auto flow = flows.find (at->first);
        bool is_stable = flow == flows.end ()
                         || current->buckets[flow->second.bucket].phase
                                == GBD_BUCKET_STABLE;
        at = is_stable ? node.registered.erase (at) : std::next (at);
      }
    check_all ();
  }

  bool
  is_installed_by_all () const
  {
    for (const auto &entry : nodes)
      if (entry.second.is_alive && is_member (entry.second)
          && entry.second.table != current)
        return false;
    return true;
  }

  // Receives the registrations and exceptions that make the member complete
  // for the current version.
  void
  complete (node_t &node)
  {
    if (!node.is_alive || node.table != current || !is_installed_by_all ())
      return;
    if (current->roster_phase == GBD_ROSTER_JOINING && !copy (node))
      return;
    if (current->roster_phase == GBD_ROSTER_SETTLED
        && !receive_exceptions (node))
      return;
    node.complete = current->version;
  }

  // Copies registrations and exceptions from a current replica of each bucket.
  // Returns false if no replica of a bucket is running.
  bool
  copy (node_t &node)
  {
    for (uint32_t i = 0; i < BUCKETS; i++)
      {
        gbd_replicas_t replicas;
        gbd_table_get_replicas (current.get (), i, &replicas);
        node_t *replica = first_alive (replicas.lookup, 2);
        if (!replica)
          return false;
        for (const auto &entry : replica->registered)
          if (flows.count (entry.first) && flows[entry.first].bucket == i)
            node.registered.insert (entry);
        for (const auto &entry : replica->exceptions)
          node.exceptions.insert (entry);
      }
    return true;
  }

  bool
  receive_exceptions (node_t &node)
  {
    for (int i = 0; i < current->roster_count; i++)
      if (!nodes[current->roster[i].id].is_alive)
        return false;
    for (const auto &entry : flows)
      {
        const flow_t &flow = entry.second;
        const gbd_bucket_t &bucket = current->buckets[flow.bucket];
        if (bucket.phase == GBD_BUCKET_SETTLING && flow.slot != bucket.to
            && is_recorded (entry.first))
          node.exceptions[entry.first] = flow.slot;
      }
    return true;
  }

  // Whether any running instance has the flow in its flow cache or as a
  // registration.
  bool
  is_recorded (int flow) const
  {
    for (const auto &entry : nodes)
      if (entry.second.is_alive
          && (entry.second.cached.count (flow)
              || entry.second.registered.count (flow)))
        return true;
    return false;
  }

  bool
  is_loss_free () const
  {
    for (const auto &entry : flows)
      if (!is_recorded (entry.first))
        return false;
    return true;
  }

  void
  step ()
  {
    std::vector<gbd_member_t> members;
    std::vector<gbd_confirmation_t> confirmations;
    for (const auto &entry : nodes)
      {
        const node_t &node = entry.second;
        if (node.is_listed)
          members.push_back (node.member);
        confirmations.push_back ({ node.member.id, !node.is_alive,
                                   node.table ? node.table->version : 0,
                                   node.complete });
      }
    gbd_coordinator_input_t input = {};
    input.service = 7;
    input.members = members.data ();
    input.member_count = members.size ();
    input.confirmations = confirmations.data ();
    input.confirmation_count = confirmations.size ();
    input.backends = backends.data ();
    input.backend_count = backends.size ();
    input.weights = weights.data ();
    input.bucket_count = BUCKETS;
    input.move_max = move_max;
    input.is_loss_free = is_loss_free ();

    gbd_table_t *next, *again;
    last_step = gbd_coordinator_step (current.get (), &input, &next);
    RC_ASSERT (gbd_coordinator_step (current.get (), &input, &again)
               == last_step);
    RC_ASSERT (!next == !again);
    RC_ASSERT ((last_step == GBD_STEP_READY) == !!next);
    if (!next)
      return;
    RC_ASSERT (text_of (next) == text_of (again));
    gbd_table_delete (again);
    if (current)
      check_successor (current.get (), next);
    current = table_ptr_t (next, [] (const gbd_table_t *table) {
      gbd_table_delete (const_cast<gbd_table_t *> (table));
    });
    remove_departed ();
  }

  static std::string
  text_of (const gbd_table_t *table)
  {
    char *text = gbd_table_to_json (table);
    RC_ASSERT (text);
    std::string copy (text);
    free (text);
    gbd_table_t *read = gbd_table_from_json (copy.data (), copy.size ());
    RC_ASSERT (read); // satisfies all rules that the decoder checks
    gbd_table_delete (read);
    return copy;
  }

  void
  check_successor (const gbd_table_t *a, const gbd_table_t *b) const
  {
    RC_ASSERT (b->version == a->version + 1);
    bool has_bucket_step = a->backend_count != b->backend_count;
    for (uint32_t i = 0; i < a->backend_count && !has_bucket_step; i++)
      has_bucket_step = a->backends[i].id != b->backends[i].id
                        || a->backends[i].state != b->backends[i].state;
    uint32_t balance_moves = 0;
    for (uint32_t i = 0; i < BUCKETS; i++)
      {
        const gbd_bucket_t &x = a->buckets[i];
        const gbd_bucket_t &y = b->buckets[i];
        if (x.phase != y.phase || x.from != y.from || x.to != y.to)
          has_bucket_step = true;
        balance_moves += x.phase == GBD_BUCKET_STABLE && x.to != y.to
                         && accepts_flows (x.to);
        check_bucket (a, b, i);
      }
    RC_ASSERT (balance_moves <= move_max);
    RC_ASSERT (has_bucket_step != has_roster_step (a, b));
  }

  static bool
  has_roster_step (const gbd_table_t *a, const gbd_table_t *b)
  {
    return a->roster_phase != b->roster_phase
           || a->roster_count != b->roster_count
           || a->next_count != b->next_count
           || memcmp (a->roster, b->roster, sizeof a->roster) != 0
           || memcmp (a->next, b->next, sizeof a->next) != 0;
  }

  bool
  accepts_flows (gbd_slot_t slot) const
  {
    for (const gbd_backend_t &backend : backends)
      if (slot != GBD_SLOT_NONE && backend.id == current->backends[slot].id)
        return backend.state == GBD_BACKEND_READY;
    return false;
  }

  static void
  check_bucket (const gbd_table_t *a, const gbd_table_t *b, uint32_t index)
  {
    const gbd_bucket_t &x = a->buckets[index];
    const gbd_bucket_t &y = b->buckets[index];
    if (gbd_bucket_new_flow_slot (&x) != gbd_bucket_new_flow_slot (&y))
      {
        gbd_replicas_t before, after;
        gbd_table_get_replicas (a, index, &before);
        gbd_table_get_replicas (b, index, &after);
        RC_ASSERT (gbd_bucket_is_registering (&x));
        RC_ASSERT (gbd_bucket_is_registering (&y));
        RC_ASSERT (before.chain[0] == after.chain[0]);
      }
    // The server of unregistered flows may change only after the exceptions
    // were exchanged.
    if (gbd_bucket_default_slot (&x) != gbd_bucket_default_slot (&y))
      RC_ASSERT (x.phase == GBD_BUCKET_SETTLING
                 && y.phase == GBD_BUCKET_INVERTED && x.to == y.to
                 && x.from == y.from);
  }

  void
  install_on_all ()
  {
    for (auto &entry : nodes)
      install (entry.second);
  }

  // Sends a packet of every flow through half of the instances.
  void
  send_packets_of_all_flows (uint32_t choice)
  {
    for (uint32_t flow = 0; flow < flows.size (); flow++)
      for (uint32_t node = 0; node < nodes.size (); node++)
        if ((choice + node) % 2)
          look_up (64 * flow, node);
  }

  // Clears one flow cache or all of them.
  void
  clear_flow_caches (uint32_t choice)
  {
    if (choice % 2)
      pick (choice / 2).cached.clear ();
    else
      for (auto &entry : nodes)
        entry.second.cached.clear ();
  }

  void
  run_round ()
  {
    install_on_all ();
    for (auto &entry : nodes)
      complete (entry.second);
    step ();
  }

  void
  set_state (uint32_t choice, gbd_backend_state_t state)
  {
    gbd_backend_t &backend = backends[choice % backends.size ()];
    if (backend.state == GBD_BACKEND_GONE)
      return;
    backend.state = state;
    for (auto at = flows.begin (); at != flows.end ();)
      at = state == GBD_BACKEND_GONE && at->second.backend == backend.id
               ? flows.erase (at)
               : std::next (at);
  }

  // Crashes one instance at a time, because the registrations of a bucket are
  // lost when both of its replicas crash.
  void
  crash (uint32_t choice)
  {
    unsigned alive = 0;
    for (const auto &entry : nodes)
      {
        const node_t &node = entry.second;
        if (!node.is_alive && is_member (node))
          return;
        alive += node.is_alive && node.is_listed;
      }
    node_t &node = pick (choice);
    if (alive > 3 && is_member (node))
      node.is_alive = false;
  }

  void
  leave (uint32_t choice)
  {
    unsigned listed = 0;
    for (const auto &entry : nodes)
      listed += entry.second.is_alive && entry.second.is_listed;
    node_t &node = pick (choice);
    if (listed > 3)
      node.is_listed = false;
  }

  // Removes the instances that have left or crashed and are in no roster of
  // the current table.
  void
  remove_departed ()
  {
    for (auto at = nodes.begin (); at != nodes.end ();)
      {
        const node_t &node = at->second;
        bool has_departed
            = !is_member (node) && (!node.is_alive || !node.is_listed);
        at = has_departed ? nodes.erase (at) : std::next (at);
      }
  }

  void
  close_flows (uint32_t choice)
  {
    for (auto at = flows.begin (); at != flows.end ();)
      at = static_cast<uint32_t> (at->first) % 2 == choice % 2
               ? flows.erase (at)
               : std::next (at);
  }
};

void
flows_keep_their_servers ()
{
  // RapidCheck grows the size of its values from case to case.  A fixed size
  // lets the first cases use the full ranges too.
  auto op = rc::gen::resize (
      rc::kNominalSize,
      rc::gen::construct<op_t> (rc::gen::inRange (0u, 42u),
                                rc::gen::inRange (0u, 1u << 20)));
  size_t count = *rc::gen::inRange (200, 800);
  auto ops = *rc::gen::container<std::vector<op_t> > (count, op);
  group_model_t model;
  for (const op_t &each : ops)
    model.run (each);
  model.converge ();
}

} // namespace

int
main ()
{
  return rc::check ("flows keep their servers through any history",
                    flows_keep_their_servers)
             ? EXIT_SUCCESS
             : EXIT_FAILURE;
}
