#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#include "gooseberrydrum/catalog.h"

#define ADDRESSES 3900
#define SERVICES 1300

static gbd_address_t
make_address (uint32_t i)
{
  gbd_address_t address = { .family = i % 3 ? 4 : 6 };
  address.port = (uint16_t)(1 + i % 7);
  address.ip[0] = 10;
  address.ip[2] = (uint8_t)(i >> 8);
  address.ip[3] = (uint8_t)i;
  return address;
}

static gbd_catalog_t *
new_catalog (void)
{
  gbd_catalog_t *catalog = gbd_catalog_new (7);
  gbd_plan_t plan = { .name = "small", .idle_limit_s = 60 };
  gbd_catalog_add_plan (catalog, &plan);
  for (uint32_t i = 0; i < SERVICES; i++)
    {
      char name[GBD_NAME_MAX + 1];
      snprintf (name, sizeof name, "customer-%u", i / 4);
      if (i % 4 == 0)
        assert_int_equal (gbd_catalog_add_customer (catalog, name, 0), i / 4);
      snprintf (name, sizeof name, "service-%u", i);
      assert_int_equal (gbd_catalog_add_service (catalog, name, i / 4), i);
    }
  for (uint32_t i = 0; i < ADDRESSES; i++)
    {
      gbd_address_t address = make_address (i);
      assert_int_equal (
          gbd_catalog_add_address (catalog, &address, i % SERVICES), GBD_OK);
    }
  return catalog;
}

static void
addresses_map_to_services (void **state)
{
  (void)state;
  gbd_catalog_t *catalog = new_catalog ();
  assert_int_equal (gbd_catalog_get_address_count (catalog), ADDRESSES);
  assert_int_equal (gbd_catalog_get_generation (catalog), 7);
  for (uint32_t i = 0; i < ADDRESSES; i++)
    {
      gbd_address_t address = make_address (i);
      assert_int_equal (gbd_catalog_find (catalog, &address), i % SERVICES);
      address.port += 7;
      assert_int_equal (gbd_catalog_find (catalog, &address),
                        GBD_SERVICE_NONE);
      address = make_address (i);
      address.family = address.family == 4 ? 6 : 4;
      assert_int_equal (gbd_catalog_find (catalog, &address),
                        GBD_SERVICE_NONE);
    }
  gbd_catalog_delete (catalog);
}

static void
identifiers_map_to_services (void **state)
{
  (void)state;
  gbd_catalog_t *catalog = new_catalog ();
  for (gbd_service_handle_t i = 0; i < SERVICES; i++)
    {
      const gbd_service_info_t *info = gbd_catalog_get_service (catalog, i);
      assert_int_equal (info->id, gbd_id_from_name (info->name));
      assert_int_equal (info->customer, i / 4);
      assert_int_equal (gbd_catalog_find_service (catalog, info->id), i);
      assert_int_equal (gbd_catalog_find_service (catalog, info->id + 1),
                        GBD_SERVICE_NONE);
    }
  gbd_catalog_delete (catalog);
}

static void
duplicate_address_is_refused (void **state)
{
  (void)state;
  gbd_catalog_t *catalog = new_catalog ();
  gbd_address_t address = make_address (5);
  assert_int_equal (gbd_catalog_add_address (catalog, &address, 9),
                    GBD_ERROR_CONFLICT);
  assert_int_equal (gbd_catalog_find (catalog, &address), 5);
  assert_int_equal (gbd_catalog_get_address_count (catalog), ADDRESSES);
  gbd_catalog_delete (catalog);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (addresses_map_to_services),
    cmocka_unit_test (identifiers_map_to_services),
    cmocka_unit_test (duplicate_address_is_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
