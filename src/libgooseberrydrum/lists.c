#include "gooseberrydrum/lists.h"

#include <string.h>

#include "list_check.h"

static json_t *parse_list (gbd_list_check_t *check, gbd_list_t list,
                           const char *text);
static void check_combined_size (gbd_list_check_t *check,
                                 const char *customers, const char *plans);

gbd_status_t
gbd_lists_check (const char *customers, const char *plans,
                 gbd_list_errors_t *errors)
{
  gbd_status_t status = GBD_ERROR_MEMORY;
  uint32_t errors_before = gbd_list_errors_get_count (errors);
  gbd_list_check_t check = { .errors = errors };
  json_t *customers_root = NULL;
  json_t *plans_root = NULL;
  check.plans = json_object ();
  check.customers = json_object ();
  check.services = json_object ();
  check.addresses = json_object ();
  if (!check.plans || !check.customers || !check.services || !check.addresses)
    goto out;

  plans_root = parse_list (&check, GBD_LIST_PLANS, plans);
  check.has_plans_list = plans_root != NULL;
  if (plans_root)
    gbd_list_check_plans (&check, plans_root);
  customers_root = parse_list (&check, GBD_LIST_CUSTOMERS, customers);
  if (customers_root)
    gbd_list_check_customers (&check, customers_root);
  check_combined_size (&check, customers, plans);
  status = gbd_list_errors_get_count (errors) > errors_before
               ? GBD_ERROR_FORMAT
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

/* Parse the text of a list.
   @return its root, or NULL after adding an error. */
static json_t *
parse_list (gbd_list_check_t *check, gbd_list_t list, const char *text)
{
  static const char *const empty[GBD_LIST_COUNT]
      = { "{\"customers\":[]}", "{\"plans\":[]}" };
  check->location = (gbd_list_location_t){ .list = list,
                                           .text = text ? text : empty[list] };
  if (strlen (check->location.text) > GBD_LISTS_BYTES_MAX)
    {
      gbd_list_errors_add_line (
          check->errors, list, 1,
          "remove entries; a list has at most 1000000 bytes",
          "the list is too long for the platform");
      return NULL;
    }
  json_error_t error;
  json_t *root
      = json_loads (check->location.text, JSON_REJECT_DUPLICATES, &error);
  if (root)
    return root;
  uint32_t line = error.line > 0 ? (uint32_t)error.line : 1;
  gbd_list_errors_add_line (check->errors, list, line,
                            "correct the JSON at or before this line",
                            error.text);
  return NULL;
}

static void
check_combined_size (gbd_list_check_t *check, const char *customers,
                     const char *plans)
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
