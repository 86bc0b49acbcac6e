#include "director_fixture.h"

static void
routes_are_found_by_ip_address_and_port (void **state)
{
  (void)state;
  gbd_routes_t *routes = gbd_routes_new (3);
  gbd_route_t route = { .address = parse_address ("198.18.0.1:1"),
                        .target_count = 1,
                        .targets = { { 9, 1 } } };
  for (uint16_t port = 500; port > 0; port--)
    {
      route.address.port = port;
      route.targets[0].service = port;
      assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
    }
  assert_int_equal (gbd_routes_add (routes, &route), GBD_ERROR_CONFLICT);
  for (uint16_t port = 1; port <= 500; port++)
    {
      route.address.port = port;
      assert_int_equal (
          gbd_routes_find (routes, &route.address)->targets[0].service, port);
    }
  route.address.port = 501;
  assert_null (gbd_routes_find (routes, &route.address));
  route.address = parse_address ("198.18.0.2:1");
  assert_null (gbd_routes_find (routes, &route.address));
  assert_int_equal (gbd_routes_get_count (routes), 500);
  route.target_count = 0;
  assert_int_equal (gbd_routes_add (routes, &route), GBD_ERROR_RANGE);
  gbd_routes_delete (routes);
}

static void
flows_follow_the_target_weights (void **state)
{
  (void)state;
  gbd_route_t route
      = { .target_count = 3, .targets = { { 1, 90 }, { 2, 0 }, { 3, 10 } } };
  uint32_t counts[4] = { 0 };
  for (uint64_t i = 0; i < 10000; i++)
    counts[gbd_route_choose (&route, gbd_rendezvous_weight (i, 1))]++;
  assert_in_range (counts[1], 8800, 9200);
  assert_int_equal (counts[2], 0);
  gbd_route_t none = { .target_count = 1, .targets = { { 5, 0 } } };
  assert_int_equal (gbd_route_choose (&none, 7), 5);
}

/* Guards against a service whose routes count as alike because of the order in
   which they were added, or as different because of a target without flows or
   of another service. */
static void
services_with_routes_of_both_kinds_are_known (void **state)
{
  (void)state;
  gbd_routes_t *routes = gbd_routes_new (1);
  static const gbd_route_t added[] = {
    { .is_idempotent = true,
      .target_count = 3,
      .targets = { { 7, 1 }, { 3, 1 }, { 5, 0 } } },
    { .is_idempotent = false,
      .target_count = 3,
      .targets = { { 5, 1 }, { 7, 1 }, { 4, 1 } } },
    { .is_idempotent = true, .target_count = 1, .targets = { { 3, 1 } } },
  };
  gbd_warm_up_limits_t limits = { .duration = GBD_SECOND, .rate = 2 };
  assert_int_equal (gbd_routes_set_warm_up (routes, 7, &limits), GBD_OK);
  for (uint16_t i = 0; i < 3; i++)
    {
      gbd_route_t route = added[i];
      route.address = parse_address ("198.18.0.1:1");
      route.address.port = (uint16_t)(i + 1);
      assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
    }
  assert_int_equal (gbd_routes_set_warm_up (routes, 4, &limits), GBD_OK);
  assert_true (gbd_routes_has_both_kinds (routes, 7));
  for (gbd_service_id_t service = 3; service <= 6; service++)
    assert_false (gbd_routes_has_both_kinds (routes, service));
  assert_int_equal (gbd_routes_get_warm_up (routes, 7).duration, GBD_SECOND);
  assert_int_equal (gbd_routes_get_warm_up (routes, 4).duration, GBD_SECOND);
  assert_int_equal (gbd_routes_get_warm_up (routes, 3).duration, 0);
  gbd_routes_delete (routes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (routes_are_found_by_ip_address_and_port),
    cmocka_unit_test (flows_follow_the_target_weights),
    cmocka_unit_test (services_with_routes_of_both_kinds_are_known),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
