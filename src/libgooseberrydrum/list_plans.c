#include "list_check.h"

/* Upper limits of the numbers in gbd_plan_t. */
#define OPEN_FLOWS_MAX 100000000
#define NEW_FLOWS_PER_SECOND_MAX 10000000
#define IDLE_LIMIT_S_MAX 604800 /* a week */
#define BALANCE_PERCENT_MAX 100

static void begin_plan (gbd_list_check_t *check, json_t *entry);
static void check_plans (gbd_list_check_t *check,
                         const gbd_list_field_t *field, json_t *value);
static void check_plan_name (gbd_list_check_t *check,
                             const gbd_list_field_t *field, json_t *value);
static void check_plan_services (gbd_list_check_t *check,
                                 const gbd_list_field_t *field, json_t *value);

static const gbd_list_field_t plans_fields[] = {
  { .name = "plans", .check = check_plans },
  { "generation", gbd_list_check_number, 0, GBD_GENERATION_MAX, true },
};
static const gbd_list_field_t plan_fields[] = {
  { .name = "name", .check = check_plan_name },
  { .name = "services", .check = check_plan_services },
  { "open_flows", gbd_list_check_number, 1, OPEN_FLOWS_MAX, false },
  { "new_flows_per_second", gbd_list_check_number, 1, NEW_FLOWS_PER_SECOND_MAX,
    false },
  { "idle_limit_s", gbd_list_check_number, 1, IDLE_LIMIT_S_MAX, false },
  { "balance_percent", gbd_list_check_number, 0, BALANCE_PERCENT_MAX, false },
};

void
gbd_list_check_plans (gbd_list_check_t *check, json_t *root)
{
  gbd_list_check_fields (check, root, plans_fields,
                         GBD_LIST_FIELD_COUNT (plans_fields));
}

static void
begin_plan (gbd_list_check_t *check, json_t *entry)
{
  const char *name = gbd_list_get_text (entry, "name");
  if (name && !json_object_get (check->plans, name))
    json_object_set (check->plans, name, entry);
}

static void
check_plans (gbd_list_check_t *check, const gbd_list_field_t *field,
             json_t *value)
{
  (void)field;
  json_t *names = json_object ();
  size_t index;
  json_t *entry;
  json_array_foreach (value, index, entry)
  {
    const char *name = gbd_list_get_text (entry, "name");
    if (!name)
      continue;
    if (json_object_get (names, name))
      {
        gbd_list_location_push_index (&check->location, index);
        gbd_list_location_push_key (&check->location, "name");
        gbd_list_errors_add (check->errors, &check->location,
                             "rename one of them or remove it",
                             "two plans have the name \"%s\"", name);
        gbd_list_location_pop (&check->location);
        gbd_list_location_pop (&check->location);
      }
    json_object_set_new (names, name, json_true ());
  }
  json_decref (names);
  gbd_list_check_entries (check, value, plan_fields,
                          GBD_LIST_FIELD_COUNT (plan_fields), begin_plan);
}

static void
check_plan_name (gbd_list_check_t *check, const gbd_list_field_t *field,
                 json_t *value)
{
  (void)field;
  gbd_list_read_name (check, value);
}

static void
check_plan_services (gbd_list_check_t *check, const gbd_list_field_t *field,
                     json_t *value)
{
  (void)field;
  if (!json_is_array (value))
    {
      gbd_list_errors_add (check->errors, &check->location,
                           "write names of services between [ and ]",
                           "not an array");
      return;
    }
  json_t *names = json_object ();
  size_t index;
  json_t *entry;
  json_array_foreach (value, index, entry)
  {
    gbd_list_location_push_index (&check->location, index);
    const char *name = gbd_list_read_name (check, entry);
    if (name && json_object_get (names, name))
      gbd_list_errors_add (check->errors, &check->location,
                           "remove one of them",
                           "the plan lists service \"%s\" twice", name);
    if (name)
      json_object_set_new (names, name, json_true ());
    gbd_list_location_pop (&check->location);
  }
  json_decref (names);
}
