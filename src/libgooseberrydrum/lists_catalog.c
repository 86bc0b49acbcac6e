#include "gooseberrydrum/lists.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

static bool add_plans (gbd_catalog_t *catalog, const json_t *plans,
                       json_t *plan_indexes);
static bool add_customers (gbd_catalog_t *catalog, const json_t *customers,
                           const json_t *plan_indexes);
static bool add_services (gbd_catalog_t *catalog, const json_t *services,
                          uint32_t customer);
static bool add_addresses (gbd_catalog_t *catalog, const json_t *addresses,
                           gbd_service_handle_t service);
static json_int_t get_number (const json_t *entry, const char *key);
static const char *get_text (const json_t *entry, const char *key);

/* Checks the lists first; after a successful check, it fails only when memory
   is short. */
gbd_status_t
gbd_lists_to_catalog (const char *customers, const char *plans,
                      uint64_t generation, gbd_list_errors_t *errors,
                      gbd_catalog_t **catalog)
{
  *catalog = NULL;
  gbd_status_t status = gbd_lists_check (customers, plans, errors);
  if (status != GBD_OK)
    return status;

  status = GBD_ERROR_MEMORY;
  json_t *plan_indexes = json_object ();
  json_t *customers_root
      = customers ? json_loads (customers, 0, NULL) : json_object ();
  json_t *plans_root = plans ? json_loads (plans, 0, NULL) : json_object ();
  gbd_catalog_t *new_catalog = gbd_catalog_new (generation);
  if (!plan_indexes || !customers_root || !plans_root || !new_catalog)
    goto out;
  if (!add_plans (new_catalog, json_object_get (plans_root, "plans"),
                  plan_indexes)
      || !add_customers (new_catalog,
                         json_object_get (customers_root, "customers"),
                         plan_indexes))
    goto out;
  *catalog = new_catalog;
  new_catalog = NULL;
  status = GBD_OK;

out:
  if (new_catalog)
    gbd_catalog_delete (new_catalog);
  json_decref (plan_indexes);
  json_decref (customers_root);
  json_decref (plans_root);
  return status;
}

static bool
add_plans (gbd_catalog_t *catalog, const json_t *plans, json_t *plan_indexes)
{
  size_t index;
  json_t *entry;
  json_array_foreach (plans, index, entry)
  {
    gbd_plan_t plan = {
      .open_flows = (uint32_t)get_number (entry, "open_flows"),
      .new_flows_per_second
      = (uint32_t)get_number (entry, "new_flows_per_second"),
      .idle_limit_s = (uint32_t)get_number (entry, "idle_limit_s"),
      .balance_percent = (uint8_t)get_number (entry, "balance_percent"),
    };
    const char *name = get_text (entry, "name");
    snprintf (plan.name, sizeof plan.name, "%s", name);
    uint32_t plan_index = gbd_catalog_add_plan (catalog, &plan);
    if (plan_index == UINT32_MAX
        || json_object_set_new (plan_indexes, name, json_integer (plan_index)))
      return false;
  }
  return true;
}

static bool
add_customers (gbd_catalog_t *catalog, const json_t *customers,
               const json_t *plan_indexes)
{
  size_t index;
  json_t *entry;
  json_array_foreach (customers, index, entry)
  {
    uint32_t plan
        = (uint32_t)get_number (plan_indexes, get_text (entry, "plan"));
    uint32_t customer
        = gbd_catalog_add_customer (catalog, get_text (entry, "name"), plan);
    if (customer == UINT32_MAX
        || !add_services (catalog, json_object_get (entry, "services"),
                          customer))
      return false;
  }
  return true;
}

static bool
add_services (gbd_catalog_t *catalog, const json_t *services,
              uint32_t customer)
{
  size_t index;
  json_t *entry;
  json_array_foreach (services, index, entry)
  {
    gbd_service_handle_t service = gbd_catalog_add_service (
        catalog, get_text (entry, "service"), customer);
    if (service == GBD_SERVICE_NONE
        || !add_addresses (catalog, json_object_get (entry, "addresses"),
                           service))
      return false;
  }
  return true;
}

static bool
add_addresses (gbd_catalog_t *catalog, const json_t *addresses,
               gbd_service_handle_t service)
{
  size_t index;
  json_t *entry;
  json_array_foreach (addresses, index, entry)
  {
    gbd_address_t address;
    if (gbd_address_parse (json_string_value (entry), &address) != GBD_OK
        || gbd_catalog_add_address (catalog, &address, service) != GBD_OK)
      return false;
  }
  return true;
}

static json_int_t
get_number (const json_t *entry, const char *key)
{
  return json_integer_value (json_object_get (entry, key));
}

static const char *
get_text (const json_t *entry, const char *key)
{
  return json_string_value (json_object_get (entry, key));
}
