#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libgooseberrydrum/registry.h"

static void
capacity_is_not_exceeded (void **state)
{
  (void)state;
  gbd_registry_t *registry = gbd_registry_new (100);
  for (uint64_t i = 1; i <= 100; i++)
    assert_int_equal (gbd_registry_merge (registry, i << 32, 1, 0), GBD_OK);
  assert_int_equal (gbd_registry_merge (registry, 101ull << 32, 1, 0),
                    GBD_ERROR_MEMORY);
  assert_int_equal (gbd_registry_set (registry, 101ull << 32, 1, 0),
                    GBD_ERROR_MEMORY);
  assert_int_equal (gbd_registry_merge (registry, 7ull << 32, 1, 0), GBD_OK);
  assert_int_equal (gbd_registry_get_count (registry), 100);
  gbd_registry_delete (registry);
}

static void
merge_keeps_the_lower_slot_and_set_replaces (void **state)
{
  (void)state;
  gbd_registry_t *registry = gbd_registry_new (8);
  gbd_registry_merge (registry, 5, 4, 0);
  gbd_registry_merge (registry, 5, 6, 0);
  assert_int_equal (gbd_registry_find (registry, 5)->slot, 4);
  gbd_registry_merge (registry, 5, 2, 0);
  assert_int_equal (gbd_registry_find (registry, 5)->slot, 2);
  gbd_registry_set (registry, 5, 6, 0);
  assert_int_equal (gbd_registry_find (registry, 5)->slot, 6);
  assert_null (gbd_registry_find (registry, 6));
  assert_null (gbd_registry_find (NULL, 5));
  gbd_registry_delete (registry);
}

static bool
is_odd (void *data, const gbd_registered_flow_t *flow)
{
  (void)data;
  return flow->hash & 1;
}

static void
removal_keeps_other_flows_findable (void **state)
{
  (void)state;
  gbd_registry_t *registry = gbd_registry_new (1000);
  /* Few distinct home indices, so that the probe sequences are long. */
  for (uint64_t i = 0; i < 1000; i++)
    gbd_registry_merge (registry, (i % 13) << 40 | i, (gbd_slot_t)i, 0);
  uint32_t cursor = 77;
  gbd_registry_sweep (registry, &cursor, UINT32_MAX, is_odd, NULL);
  assert_int_equal (gbd_registry_get_count (registry), 500);
  for (uint64_t i = 0; i < 1000; i++)
    {
      gbd_registered_flow_t *flow
          = gbd_registry_find (registry, (i % 13) << 40 | i);
      if (i & 1)
        assert_null (flow);
      else
        assert_int_equal (flow->slot, i);
    }
  gbd_registry_delete (registry);
}

static void
closed_flow_expires_after_the_linger_time (void **state)
{
  (void)state;
  gbd_registry_t *registry = gbd_registry_new (8);
  gbd_registry_merge (registry, 5, 4, 0);
  gbd_registered_flow_t *flow = gbd_registry_find (registry, 5);
  assert_false (gbd_registry_is_expired (flow, 1000 * GBD_SECOND));
  gbd_registry_close (registry, 5, GBD_SECOND);
  assert_false (gbd_registry_is_expired (flow, 60 * GBD_SECOND));
  assert_true (gbd_registry_is_expired (flow, 62 * GBD_SECOND));
  gbd_registry_refresh (flow, 50 * GBD_SECOND);
  assert_false (gbd_registry_is_expired (flow, 62 * GBD_SECOND));
  gbd_registry_set (registry, 5, 6, 50 * GBD_SECOND);
  assert_false (gbd_registry_is_expired (flow, 500 * GBD_SECOND));
  gbd_registry_delete (registry);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (capacity_is_not_exceeded),
    cmocka_unit_test (merge_keeps_the_lower_slot_and_set_replaces),
    cmocka_unit_test (removal_keeps_other_flows_findable),
    cmocka_unit_test (closed_flow_expires_after_the_linger_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
