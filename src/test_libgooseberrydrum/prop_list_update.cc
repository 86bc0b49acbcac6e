#include <rapidcheck.h>

#include <string>

#include "list_update_fixture.h"

/* Random sequence of the given characters. */
static std::string
random_string_of (const std::string &kinds)
{
  return *rc::gen::container<std::string> (rc::gen::elementOf (kinds));
}

/* Next fault of the sequence; after the last one all calls succeed. */
static char
take_last_or_default (std::string &faults)
{
  if (faults.empty ())
    return 'k';
  const char fault = faults.back ();
  faults.pop_back ();
  return fault;
}

static bool
result_matches_store_under_random_faults ()
{
  return rc::check ("a result agrees with the store; no change is lost", [] {
    const auto list = *rc::gen::element (GBD_LIST_CUSTOMERS, GBD_LIST_PLANS);
    store_t store;
    store_open (&store);
    gbd_list_update_t *update = start_update (list, "own", 7, 2);
    gbd_time_t now = 0;
    auto faults = random_string_of (FAULTS);
    while (gbd_list_update_get_action (update) != GBD_LIST_UPDATE_DONE)
      store_step (&store, update, list, take_last_or_default (faults), &now);
    store_deliver_delayed (&store);
    RC_ASSERT (result_matches_store (&store, update, "own"));
    RC_ASSERT (!store.has_lost_change);
    gbd_list_update_delete (update);
    store_close (&store);
  });
}

static bool
concurrent_updates_lose_no_accepted_change ()
{
  return rc::check ("of two updates of one list at most one succeeds", [] {
    const auto lists = *rc::gen::element (
        std::pair (GBD_LIST_PLANS, GBD_LIST_PLANS),
        std::pair (GBD_LIST_CUSTOMERS, GBD_LIST_CUSTOMERS),
        std::pair (GBD_LIST_CUSTOMERS, GBD_LIST_PLANS));
    store_t store;
    store_open (&store);
    gbd_list_update_t *updates[2]
        = { start_update (lists.first, "ana", 7, 2),
            start_update (lists.second, "joao", 8, 2) };
    const gbd_list_t lists_to_update[2] = { lists.first, lists.second };
    gbd_time_t now = 0;
    const auto is_done = [&] (int i) {
      return gbd_list_update_get_action (updates[i]) == GBD_LIST_UPDATE_DONE;
    };
    auto faults = random_string_of ("kkkdlnts");
    auto turn_order = random_string_of ("01");
    for (int turn = 0; !is_done (0) || !is_done (1); turn = 1 - turn)
      {
        if (!turn_order.empty ())
          turn = take_last_or_default (turn_order) == '1';
        store_step (&store, updates[turn], lists_to_update[turn],
                    take_last_or_default (faults), &now);
      }
    store_deliver_delayed (&store);
    int accepted = 0;
    for (int i = 0; i < 2; i++)
      {
        RC_ASSERT (
            result_matches_store (&store, updates[i], i ? "joao" : "ana"));
        accepted += gbd_accepted_find_change (store.value, i ? "joao" : "ana")
                    != nullptr;
        gbd_list_update_delete (updates[i]);
      }
    RC_ASSERT (accepted <= 1 || lists_to_update[0] != lists_to_update[1]);
    RC_ASSERT (!store.has_lost_change);
    store_close (&store);
  });
}

int
main ()
{
  bool passed = result_matches_store_under_random_faults ();
  passed = concurrent_updates_lose_no_accepted_change () && passed;
  return passed ? 0 : 1;
}
