#include <rapidcheck.h>

#include <string>

#include "acceptance_fixture.h"

/* Faults of calls in order; afterwards all calls work. */
static std::string
any_faults (const std::string &kinds)
{
  return *rc::gen::container<std::string> (rc::gen::elementOf (kinds));
}

static char
take (std::string &faults)
{
  if (faults.empty ())
    return 'k';
  const char fault = faults.back ();
  faults.pop_back ();
  return fault;
}

static bool
result_is_truthful_whatever_happens ()
{
  return rc::check ("a result agrees with the platform; nothing reverts", [] {
    const auto list = *rc::gen::element (GBD_LIST_CUSTOMERS, GBD_LIST_PLANS);
    platform_t platform;
    platform_open (&platform);
    gbd_acceptance_t *acceptance = start_change (list, "own", 7, 2);
    gbd_time_t now = 0;
    auto faults = any_faults (FAULTS);
    while (gbd_acceptance_get_action (acceptance) != GBD_ACCEPTANCE_END)
      platform_step (&platform, acceptance, list, take (faults), &now);
    platform_arrive_late (&platform);
    RC_ASSERT (is_truthful (&platform, acceptance, "own"));
    RC_ASSERT (!platform.has_reverted);
    gbd_acceptance_delete (acceptance);
    platform_close (&platform);
  });
}

static bool
racing_operators_never_undo_each_other ()
{
  return rc::check ("of two changes of one list at most one wins", [] {
    const auto lists = *rc::gen::element (
        std::pair (GBD_LIST_PLANS, GBD_LIST_PLANS),
        std::pair (GBD_LIST_CUSTOMERS, GBD_LIST_CUSTOMERS),
        std::pair (GBD_LIST_CUSTOMERS, GBD_LIST_PLANS));
    platform_t platform;
    platform_open (&platform);
    gbd_acceptance_t *operators[2]
        = { start_change (lists.first, "ana", 7, 2),
            start_change (lists.second, "joao", 8, 2) };
    const gbd_list_t own[2] = { lists.first, lists.second };
    gbd_time_t now = 0;
    const auto is_over = [&] (int i) {
      return gbd_acceptance_get_action (operators[i]) == GBD_ACCEPTANCE_END;
    };
    auto faults = any_faults ("kkkdlnts");
    auto turns = any_faults ("01");
    for (int turn = 0; !is_over (0) || !is_over (1); turn = 1 - turn)
      {
        if (!turns.empty ())
          turn = take (turns) == '1';
        platform_step (&platform, operators[turn], own[turn], take (faults),
                       &now);
      }
    platform_arrive_late (&platform);
    int accepted = 0;
    for (int i = 0; i < 2; i++)
      {
        RC_ASSERT (is_truthful (&platform, operators[i], i ? "joao" : "ana"));
        accepted
            += gbd_accepted_find_change (platform.value, i ? "joao" : "ana")
               != nullptr;
        gbd_acceptance_delete (operators[i]);
      }
    RC_ASSERT (accepted <= 1 || own[0] != own[1]);
    RC_ASSERT (!platform.has_reverted);
    platform_close (&platform);
  });
}

int
main ()
{
  bool passed = result_is_truthful_whatever_happens ();
  passed = racing_operators_never_undo_each_other () && passed;
  return passed ? 0 : 1;
}
