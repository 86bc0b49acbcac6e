#include "list_check.h"

#include <string.h>

static void begin_customer (gbd_list_check_t *check, json_t *entry);
static void begin_service (gbd_list_check_t *check, json_t *entry);
static void check_customers (gbd_list_check_t *check,
                             const gbd_list_field_t *field, json_t *value);
static void check_customer_name (gbd_list_check_t *check,
                                 const gbd_list_field_t *field, json_t *value);
static void check_customer_plan (gbd_list_check_t *check,
                                 const gbd_list_field_t *field, json_t *value);
static void check_customer_services (gbd_list_check_t *check,
                                     const gbd_list_field_t *field,
                                     json_t *value);
static void check_service_name (gbd_list_check_t *check,
                                const gbd_list_field_t *field, json_t *value);
static void check_addresses (gbd_list_check_t *check,
                             const gbd_list_field_t *field, json_t *value);
static void check_address (gbd_list_check_t *check, json_t *value);
static bool is_ipv4_mapped (const gbd_address_t *address);
static bool is_allowed (const json_t *plan, const char *service);

static const gbd_list_field_t customers_fields[] = {
  { .name = "customers", .check = check_customers },
  { "generation", gbd_list_check_number, 0, GBD_GENERATION_MAX, true },
};
static const gbd_list_field_t customer_fields[] = {
  { .name = "name", .check = check_customer_name },
  { .name = "plan", .check = check_customer_plan },
  { .name = "services", .check = check_customer_services },
};
static const gbd_list_field_t service_fields[] = {
  { .name = "service", .check = check_service_name },
  { .name = "addresses", .check = check_addresses },
};

void
gbd_list_check_customers (gbd_list_check_t *check, json_t *root)
{
  gbd_list_check_fields (check, root, customers_fields,
                         GBD_LIST_FIELD_COUNT (customers_fields));
}

static void
begin_customer (gbd_list_check_t *check, json_t *entry)
{
  const char *name = gbd_list_get_text (entry, "name");
  const char *plan = gbd_list_get_text (entry, "plan");
  check->customer = name ? name : "";
  check->plan = plan ? json_object_get (check->plans, plan) : NULL;
}

static void
begin_service (gbd_list_check_t *check, json_t *entry)
{
  const char *name = gbd_list_get_text (entry, "service");
  check->service = name ? name : "";
}

static void
check_customers (gbd_list_check_t *check, const gbd_list_field_t *field,
                 json_t *value)
{
  (void)field;
  gbd_list_check_entries (check, value, customer_fields,
                          GBD_LIST_FIELD_COUNT (customer_fields),
                          begin_customer);
}

static void
check_customer_name (gbd_list_check_t *check, const gbd_list_field_t *field,
                     json_t *value)
{
  (void)field;
  const char *name = gbd_list_read_name (check, value);
  if (!name)
    return;
  if (json_object_get (check->customers, name))
    gbd_list_errors_add (check->errors, &check->location,
                         "rename one of them or merge their services",
                         "two customers have the name \"%s\"", name);
  json_object_set_new (check->customers, name, json_true ());
}

static void
check_customer_plan (gbd_list_check_t *check, const gbd_list_field_t *field,
                     json_t *value)
{
  (void)field;
  const char *name = gbd_list_read_name (check, value);
  if (name && !check->plan && check->has_plans_list)
    gbd_list_errors_add (check->errors, &check->location,
                         "add it to the plans list first or specify another",
                         "there is no plan \"%s\"", name);
}

static void
check_customer_services (gbd_list_check_t *check,
                         const gbd_list_field_t *field, json_t *value)
{
  (void)field;
  gbd_list_check_entries (check, value, service_fields,
                          GBD_LIST_FIELD_COUNT (service_fields),
                          begin_service);
}

static void
check_service_name (gbd_list_check_t *check, const gbd_list_field_t *field,
                    json_t *value)
{
  (void)field;
  const char *name = gbd_list_read_name (check, value);
  if (!name)
    return;
  const char *owner = gbd_list_get_text (check->services, name);
  if (owner)
    gbd_list_errors_add (check->errors, &check->location,
                         "assign each service to one customer, once",
                         "service \"%s\" already belongs to customer \"%s\"",
                         name, owner);
  else
    json_object_set_new (check->services, name, json_string (check->customer));
  if (check->plan && !is_allowed (check->plan, name))
    gbd_list_errors_add (
        check->errors, &check->location,
        "add it to the plan's services first or specify another service",
        "plan \"%s\" does not allow service \"%s\"",
        gbd_list_get_text (check->plan, "name"), name);
}

static void
check_addresses (gbd_list_check_t *check, const gbd_list_field_t *field,
                 json_t *value)
{
  (void)field;
  if (json_array_size (value) == 0)
    {
      gbd_list_errors_add (check->errors, &check->location,
                           "write at least one address between [ and ]",
                           "no addresses");
      return;
    }
  size_t index;
  json_t *address;
  json_array_foreach (value, index, address)
  {
    gbd_list_location_push_index (&check->location, index);
    check_address (check, address);
    gbd_list_location_pop (&check->location);
  }
}

static void
check_address (gbd_list_check_t *check, json_t *value)
{
  gbd_address_t address;
  const char *text = json_string_value (value);
  if (!text || gbd_address_parse (text, &address) != GBD_OK)
    {
      gbd_list_errors_add (check->errors, &check->location,
                           "write \"10.1.0.1:443\" or \"[2001:db8::1]:443\"",
                           "\"%s\" is not an IP address with a port",
                           text ? text : "");
      return;
    }
  if (is_ipv4_mapped (&address))
    {
      gbd_list_errors_add (check->errors, &check->location,
                           "write it as IPv4, such as \"10.1.0.1:443\"",
                           "\"%s\" is an IPv4 address written as IPv6", text);
      return;
    }
  char canonical[GBD_ADDRESS_TEXT_MAX];
  gbd_address_format (&address, canonical);
  const char *owner = gbd_list_get_text (check->addresses, canonical);
  if (owner)
    gbd_list_errors_add (check->errors, &check->location,
                         "assign each address and port to one service, once",
                         "\"%s\" already belongs to service \"%s\"", text,
                         owner);
  else
    json_object_set_new (check->addresses, canonical,
                         json_string (check->service));
}

static bool
is_ipv4_mapped (const gbd_address_t *address)
{
  static const uint8_t prefix[12]
      = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };
  return address->family == 6
         && memcmp (address->ip, prefix, sizeof prefix) == 0;
}

static bool
is_allowed (const json_t *plan, const char *service)
{
  size_t index;
  json_t *entry;
  json_array_foreach (json_object_get (plan, "services"), index, entry)
  {
    const char *name = json_string_value (entry);
    if (name && strcmp (name, service) == 0)
      return true;
  }
  return false;
}
