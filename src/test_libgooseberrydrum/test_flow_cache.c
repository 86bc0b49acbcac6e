#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libgooseberrydrum/flow_cache.h"

#define SERVICE 3
#define IDLE_MS 60000u

static uint64_t
make_hash (uint64_t i)
{
  return gbd_rendezvous_weight (i, 1);
}

static gbd_cached_flow_t *
insert (gbd_flow_cache_t *cache, uint64_t hash, gbd_time_t now, uint8_t flags)
{
  gbd_cached_flow_t replaced;
  gbd_cached_flow_t *flow
      = gbd_flow_cache_insert (cache, hash, SERVICE, now, &replaced);
  flow->slot = 1;
  flow->flags |= flags;
  return flow;
}

static void
holds_400000_flows_without_eviction (void **state)
{
  (void)state;
  gbd_flow_cache_t *cache = gbd_flow_cache_new (1u << 19);
  for (uint32_t i = 0; i < 400000; i++)
    insert (cache, make_hash (i), GBD_SECOND, 0)->packets = (uint16_t)i;
  assert_int_equal (gbd_flow_cache_get_count (cache), 400000);
  assert_int_equal (gbd_flow_cache_get_evictions (cache), 0);
  assert_true (gbd_flow_cache_get_loss_free_since (cache) == GBD_TIME_NEVER);
  for (uint32_t i = 0; i < 400000; i++)
    {
      gbd_cached_flow_t *flow
          = gbd_flow_cache_find (cache, make_hash (i), SERVICE);
      assert_non_null (flow);
      assert_int_equal (flow->packets, (uint16_t)i);
      assert_null (gbd_flow_cache_find (cache, make_hash (i), SERVICE + 1));
    }
  gbd_flow_cache_delete (cache);
}

/* Sixteen flows fill the only two sets, and one more is inserted. */
static void
victim_is_closed_then_idle_then_oldest (void **state)
{
  (void)state;
  static const struct
  {
    uint8_t closed;   /* index of the closed flow, 99 for none */
    uint8_t idle;     /* index of the idle flow, 99 for none */
    uint8_t expected; /* index of the flow that is replaced */
    uint8_t evictions;
  } rows[] = {
    { 7, 4, 7, 0 },
    { 99, 4, 4, 0 },
    { 99, 99, 0, 1 },
    { 12, 99, 12, 0 },
  };
  for (size_t r = 0; r < sizeof rows / sizeof rows[0]; r++)
    {
      gbd_flow_cache_t *cache = gbd_flow_cache_new (16);
      gbd_flow_cache_set_idle_limit (cache, SERVICE, IDLE_MS);
      gbd_time_t start = 200 * GBD_SECOND;
      for (uint64_t i = 0; i < 16; i++)
        {
          gbd_time_t seen = start + (gbd_time_t)i * GBD_SECOND;
          if (i == rows[r].idle)
            seen = 0;
          /* Both halves of each hash select the same set; each set gets 8
             flows. */
          uint64_t hash = i < 8 ? (i + 1) << 8 : ((i << 8) | 1 | 1ull << 32);
          insert (cache, hash, seen,
                  i == rows[r].closed ? GBD_CACHED_CLOSED : 0);
        }
      assert_int_equal (gbd_flow_cache_get_count (cache), 16);

      gbd_cached_flow_t replaced;
      gbd_time_t now = start + 20 * GBD_SECOND;
      gbd_flow_cache_insert (cache, 1ull << 32, SERVICE, now, &replaced);
      uint8_t e = rows[r].expected;
      uint64_t expected = e < 8 ? (uint64_t)(e + 1) << 8
                                : (((uint64_t)e << 8) | 1 | 1ull << 32);
      assert_true (replaced.flags & GBD_CACHED_USED);
      assert_true (replaced.hash == expected);
      assert_int_equal (gbd_flow_cache_get_evictions (cache),
                        rows[r].evictions);
      assert_true (gbd_flow_cache_get_loss_free_since (cache)
                   == (rows[r].evictions ? now : GBD_TIME_NEVER));
      assert_int_equal (gbd_flow_cache_get_count (cache), 16);
      gbd_flow_cache_delete (cache);
    }
}

static void
flow_is_idle_after_the_limit (void **state)
{
  (void)state;
  gbd_flow_cache_t *cache = gbd_flow_cache_new (16);
  gbd_flow_cache_set_idle_limit (cache, SERVICE, IDLE_MS);
  gbd_cached_flow_t *flow = insert (cache, 5, GBD_SECOND, 0);
  assert_false (gbd_flow_cache_is_idle (cache, flow, 61 * GBD_SECOND));
  assert_true (gbd_flow_cache_is_idle (cache, flow,
                                       61 * GBD_SECOND + 2 * GBD_MILLISECOND));
  gbd_flow_cache_remove (cache, flow);
  assert_null (gbd_flow_cache_find (cache, 5, SERVICE));
  assert_int_equal (gbd_flow_cache_get_count (cache), 0);
  gbd_flow_cache_delete (cache);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (holds_400000_flows_without_eviction),
    cmocka_unit_test (victim_is_closed_then_idle_then_oldest),
    cmocka_unit_test (flow_is_idle_after_the_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
