#include "gooseberrydrum/lists.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "list_errors.h"

/* Largest whole number that every JSON reader keeps. */
#define GENERATION_MAX ((json_int_t)1 << 53)

/* What the lists hold so far; values are borrowed or short texts. */
typedef struct
{
  gbd_list_errors_t *errors;
  gbd_list_place_t place;
  json_t *plans;     /* name -> entry of the plans list */
  json_t *customers; /* name -> true */
  json_t *services;  /* name -> name of its customer */
  json_t *addresses; /* canonical text -> name of its service */
  const char *customer;
  const char *service;
  json_t *plan; /* of the customer; NULL if there is none */
  bool is_plans_list_read;
} check_t;

typedef struct field field_t;
struct field
{
  const char *name;
  void (*check) (check_t *, const field_t *, json_t *value);
  json_int_t least; /* of a number */
  json_int_t most;
  bool is_optional;
};

static json_t *parse (check_t *check, gbd_list_t list, const char *text);
static void check_entries (check_t *check, json_t *array,
                           const field_t *fields, size_t field_count,
                           void (*begin) (check_t *, json_t *entry));
static void check_fields (check_t *check, json_t *entry, const field_t *fields,
                          size_t field_count);
static void check_total (check_t *check, const char *customers,
                         const char *plans);
static void begin_plan (check_t *check, json_t *entry);
static void begin_customer (check_t *check, json_t *entry);
static void begin_service (check_t *check, json_t *entry);
static void check_customers (check_t *, const field_t *, json_t *value);
static void check_plans (check_t *, const field_t *, json_t *value);
static void check_customer_name (check_t *, const field_t *, json_t *value);
static void check_customer_plan (check_t *, const field_t *, json_t *value);
static void check_customer_services (check_t *, const field_t *,
                                     json_t *value);
static void check_service_name (check_t *, const field_t *, json_t *value);
static void check_addresses (check_t *, const field_t *, json_t *value);
static void check_address (check_t *check, json_t *value);
static void check_plan_name (check_t *, const field_t *, json_t *value);
static void check_plan_services (check_t *, const field_t *, json_t *value);
static void check_number (check_t *, const field_t *, json_t *value);
static const char *read_name (check_t *check, json_t *value);
static bool is_name (const char *text);
static bool is_mapped (const gbd_address_t *address);
static bool is_allowed (const json_t *plan, const char *service);
static const char *get_text (const json_t *entry, const char *key);

#define FIELD_COUNT(fields) (sizeof (fields) / sizeof (fields)[0])

static const field_t customers_fields[] = {
  { .name = "customers", .check = check_customers },
  { "generation", check_number, 0, GENERATION_MAX, true },
};
static const field_t customer_fields[] = {
  { .name = "name", .check = check_customer_name },
  { .name = "plan", .check = check_customer_plan },
  { .name = "services", .check = check_customer_services },
};
static const field_t service_fields[] = {
  { .name = "service", .check = check_service_name },
  { .name = "addresses", .check = check_addresses },
};
static const field_t plans_fields[] = {
  { .name = "plans", .check = check_plans },
  { "generation", check_number, 0, GENERATION_MAX, true },
};
static const field_t plan_fields[] = {
  { .name = "name", .check = check_plan_name },
  { .name = "services", .check = check_plan_services },
  { "open_flows", check_number, 1, 100000000, false },
  { "new_flows_per_second", check_number, 1, 10000000, false },
  { "idle_limit_s", check_number, 1, 604800, false },
  { "balance_percent", check_number, 0, 100, false },
};

gbd_status_t
gbd_lists_check (const char *customers, const char *plans,
                 gbd_list_errors_t *errors)
{
  gbd_status_t status = GBD_ERROR_MEMORY;
  uint32_t before = gbd_list_errors_get_count (errors);
  check_t check = { .errors = errors };
  json_t *customers_root = NULL;
  json_t *plans_root = NULL;
  check.plans = json_object ();
  check.customers = json_object ();
  check.services = json_object ();
  check.addresses = json_object ();
  if (!check.plans || !check.customers || !check.services || !check.addresses)
    goto out;

  plans_root = parse (&check, GBD_LIST_PLANS, plans);
  check.is_plans_list_read = plans_root != NULL;
  if (plans_root)
    check_fields (&check, plans_root, plans_fields,
                  FIELD_COUNT (plans_fields));
  customers_root = parse (&check, GBD_LIST_CUSTOMERS, customers);
  if (customers_root)
    check_fields (&check, customers_root, customers_fields,
                  FIELD_COUNT (customers_fields));
  check_total (&check, customers, plans);
  status = gbd_list_errors_get_count (errors) > before ? GBD_ERROR_FORMAT
                                                       : GBD_OK;

out:
  json_decref (customers_root);
  json_decref (plans_root);
  json_decref (check.plans);
  json_decref (check.customers);
  json_decref (check.services);
  json_decref (check.addresses);
  return status;
}

/* Root of a list, or NULL with an error added. */
static json_t *
parse (check_t *check, gbd_list_t list, const char *text)
{
  static const char *const empty[GBD_LIST_COUNT]
      = { "{\"customers\":[]}", "{\"plans\":[]}" };
  check->place
      = (gbd_list_place_t){ .list = list, .text = text ? text : empty[list] };
  if (strlen (check->place.text) > GBD_LISTS_BYTES_MAX)
    {
      gbd_list_errors_add_line (
          check->errors, list, 1,
          "remove entries; a list has at most 1000000 bytes",
          "the list is too long for the platform");
      return NULL;
    }
  json_error_t error;
  json_t *root
      = json_loads (check->place.text, JSON_REJECT_DUPLICATES, &error);
  if (root)
    return root;
  uint32_t line = error.line > 0 ? (uint32_t)error.line : 1;
  gbd_list_errors_add_line (check->errors, list, line,
                            "mend the JSON at or before this line",
                            error.text);
  return NULL;
}

static void
check_entries (check_t *check, json_t *array, const field_t *fields,
               size_t field_count, void (*begin) (check_t *, json_t *entry))
{
  if (!json_is_array (array))
    {
      gbd_list_errors_add (check->errors, &check->place,
                           "write entries between [ and ]", "not an array");
      return;
    }
  size_t index;
  json_t *entry;
  json_array_foreach (array, index, entry)
  {
    gbd_list_place_enter_index (&check->place, index);
    begin (check, entry);
    check_fields (check, entry, fields, field_count);
    gbd_list_place_leave (&check->place);
  }
}

static void
check_fields (check_t *check, json_t *entry, const field_t *fields,
              size_t field_count)
{
  if (!json_is_object (entry))
    {
      gbd_list_errors_add (check->errors, &check->place,
                           "write fields between { and }", "not an object");
      return;
    }
  for (size_t i = 0; i < field_count; i++)
    {
      json_t *value = json_object_get (entry, fields[i].name);
      gbd_list_place_enter_key (&check->place, fields[i].name);
      if (value)
        fields[i].check (check, &fields[i], value);
      else if (!fields[i].is_optional)
        gbd_list_errors_add (check->errors, &check->place,
                             "add it; docs/OPERATIONS.md lists the fields",
                             "the field is missing");
      gbd_list_place_leave (&check->place);
    }

  const char *key;
  json_t *value;
  json_object_foreach (entry, key, value)
  {
    bool is_known = false;
    for (size_t i = 0; i < field_count; i++)
      is_known = is_known || strcmp (key, fields[i].name) == 0;
    if (is_known)
      continue;
    gbd_list_place_enter_key (&check->place, key);
    gbd_list_errors_add (check->errors, &check->place,
                         "remove it or mend its name; docs/OPERATIONS.md "
                         "lists the fields",
                         "there is no such field");
    gbd_list_place_leave (&check->place);
  }
}

static void
check_total (check_t *check, const char *customers, const char *plans)
{
  size_t customers_length = customers ? strlen (customers) : 0;
  size_t plans_length = plans ? strlen (plans) : 0;
  if (customers_length > GBD_LISTS_BYTES_MAX
      || plans_length > GBD_LISTS_BYTES_MAX
      || customers_length + plans_length <= GBD_LISTS_BYTES_MAX)
    return;
  gbd_list_errors_add_line (check->errors, GBD_LIST_CUSTOMERS, 1,
                            "remove entries; both lists together have at most "
                            "1000000 bytes",
                            "both lists together are too long for the "
                            "platform");
}

static void
begin_plan (check_t *check, json_t *entry)
{
  const char *name = get_text (entry, "name");
  if (name && !json_object_get (check->plans, name))
    json_object_set (check->plans, name, entry);
}

static void
begin_customer (check_t *check, json_t *entry)
{
  const char *name = get_text (entry, "name");
  const char *plan = get_text (entry, "plan");
  check->customer = name ? name : "";
  check->plan = plan ? json_object_get (check->plans, plan) : NULL;
}

static void
begin_service (check_t *check, json_t *entry)
{
  const char *name = get_text (entry, "service");
  check->service = name ? name : "";
}

static void
check_customers (check_t *check, const field_t *field, json_t *value)
{
  (void)field;
  check_entries (check, value, customer_fields, FIELD_COUNT (customer_fields),
                 begin_customer);
}

static void
check_plans (check_t *check, const field_t *field, json_t *value)
{
  (void)field;
  json_t *names = json_object ();
  size_t index;
  json_t *entry;
  json_array_foreach (value, index, entry)
  {
    const char *name = get_text (entry, "name");
    if (!name)
      continue;
    if (json_object_get (names, name))
      {
        gbd_list_place_enter_index (&check->place, index);
        gbd_list_place_enter_key (&check->place, "name");
        gbd_list_errors_add (check->errors, &check->place,
                             "rename one of them or remove it",
                             "two plans have the name \"%s\"", name);
        gbd_list_place_leave (&check->place);
        gbd_list_place_leave (&check->place);
      }
    json_object_set_new (names, name, json_true ());
  }
  json_decref (names);
  check_entries (check, value, plan_fields, FIELD_COUNT (plan_fields),
                 begin_plan);
}

static void
check_customer_name (check_t *check, const field_t *field, json_t *value)
{
  (void)field;
  const char *name = read_name (check, value);
  if (!name)
    return;
  if (json_object_get (check->customers, name))
    gbd_list_errors_add (check->errors, &check->place,
                         "rename one of them or merge their services",
                         "two customers have the name \"%s\"", name);
  json_object_set_new (check->customers, name, json_true ());
}

static void
check_customer_plan (check_t *check, const field_t *field, json_t *value)
{
  (void)field;
  const char *name = read_name (check, value);
  if (name && !check->plan && check->is_plans_list_read)
    gbd_list_errors_add (check->errors, &check->place,
                         "add it to the plans list first or name another",
                         "there is no plan \"%s\"", name);
}

static void
check_customer_services (check_t *check, const field_t *field, json_t *value)
{
  (void)field;
  check_entries (check, value, service_fields, FIELD_COUNT (service_fields),
                 begin_service);
}

static void
check_service_name (check_t *check, const field_t *field, json_t *value)
{
  (void)field;
  const char *name = read_name (check, value);
  if (!name)
    return;
  const char *owner = get_text (check->services, name);
  if (owner)
    gbd_list_errors_add (check->errors, &check->place,
                         "give each service to one customer, once",
                         "service \"%s\" already belongs to customer \"%s\"",
                         name, owner);
  else
    json_object_set_new (check->services, name, json_string (check->customer));
  if (check->plan && !is_allowed (check->plan, name))
    gbd_list_errors_add (
        check->errors, &check->place,
        "add it to the plan's services first or name another service",
        "plan \"%s\" does not allow service \"%s\"",
        get_text (check->plan, "name"), name);
}

static void
check_addresses (check_t *check, const field_t *field, json_t *value)
{
  (void)field;
  if (json_array_size (value) == 0)
    {
      gbd_list_errors_add (check->errors, &check->place,
                           "write at least one address between [ and ]",
                           "no addresses");
      return;
    }
  size_t index;
  json_t *address;
  json_array_foreach (value, index, address)
  {
    gbd_list_place_enter_index (&check->place, index);
    check_address (check, address);
    gbd_list_place_leave (&check->place);
  }
}

static void
check_address (check_t *check, json_t *value)
{
  gbd_address_t address;
  const char *text = json_string_value (value);
  if (!text || gbd_address_parse (text, &address) != GBD_OK)
    {
      gbd_list_errors_add (check->errors, &check->place,
                           "write \"10.1.0.1:443\" or \"[2001:db8::1]:443\"",
                           "\"%s\" is not an IP number with a port",
                           text ? text : "");
      return;
    }
  if (is_mapped (&address))
    {
      gbd_list_errors_add (check->errors, &check->place,
                           "write it as IPv4, such as \"10.1.0.1:443\"",
                           "\"%s\" is an IPv4 number written as IPv6", text);
      return;
    }
  char canonical[GBD_ADDRESS_TEXT_MAX];
  gbd_address_format (&address, canonical);
  const char *owner = get_text (check->addresses, canonical);
  if (owner)
    gbd_list_errors_add (check->errors, &check->place,
                         "give each address and port to one service, once",
                         "\"%s\" already belongs to service \"%s\"", text,
                         owner);
  else
    json_object_set_new (check->addresses, canonical,
                         json_string (check->service));
}

static void
check_plan_name (check_t *check, const field_t *field, json_t *value)
{
  (void)field;
  read_name (check, value);
}

static void
check_plan_services (check_t *check, const field_t *field, json_t *value)
{
  (void)field;
  if (!json_is_array (value))
    {
      gbd_list_errors_add (check->errors, &check->place,
                           "write names of services between [ and ]",
                           "not an array");
      return;
    }
  json_t *names = json_object ();
  size_t index;
  json_t *entry;
  json_array_foreach (value, index, entry)
  {
    gbd_list_place_enter_index (&check->place, index);
    const char *name = read_name (check, entry);
    if (name && json_object_get (names, name))
      gbd_list_errors_add (check->errors, &check->place, "remove one of them",
                           "the plan names service \"%s\" twice", name);
    if (name)
      json_object_set_new (names, name, json_true ());
    gbd_list_place_leave (&check->place);
  }
  json_decref (names);
}

static void
check_number (check_t *check, const field_t *field, json_t *value)
{
  json_int_t number = json_integer_value (value);
  if (json_is_integer (value) && number >= field->least
      && number <= field->most)
    return;
  char remedy[GBD_LIST_TEXT_MAX];
  snprintf (remedy, sizeof remedy,
            "write a whole number from %" JSON_INTEGER_FORMAT
            " to %" JSON_INTEGER_FORMAT,
            field->least, field->most);
  gbd_list_errors_add (check->errors, &check->place, remedy, "%s",
                       json_is_integer (value) ? "out of range"
                                               : "not a whole number");
}

/* The text of a name, or NULL with an error added. */
static const char *
read_name (check_t *check, json_t *value)
{
  const char *text = json_string_value (value);
  if (text && is_name (text))
    return text;
  gbd_list_errors_add (check->errors, &check->place,
                       "use 1 to 63 lower-case letters, digits or inner "
                       "hyphens",
                       "\"%s\" is not a name", text ? text : "");
  return NULL;
}

static bool
is_name (const char *text)
{
  size_t length = strlen (text);
  if (length == 0 || length > GBD_NAME_MAX)
    return false;
  if (text[0] == '-' || text[length - 1] == '-')
    return false;
  return strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-") == length;
}

static bool
is_mapped (const gbd_address_t *address)
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

static const char *
get_text (const json_t *entry, const char *key)
{
  return json_string_value (json_object_get (entry, key));
}
