#include "predict_command.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gooseberrydrum/accepted.h"
#include "gooseberrydrum/balance.h"
#include "gooseberrydrum/predict.h"

/* Change of one backend server of a service. */
typedef struct
{
  const char *service;
  const char *uid;
  uint8_t state;
} server_change_t;

static gbd_exit_t read_object (const gbd_client_t *client,
                               const gbd_predict_options_t *options,
                               const char *kind, const char *name,
                               json_t **value);
static gbd_exit_t print_errors (const gbd_client_t *client,
                                const gbd_list_errors_t *errors);
static gbd_exit_t report_list_changes (const gbd_client_t *client,
                                       const gbd_predict_options_t *options,
                                       const gbd_catalog_t *before,
                                       const gbd_catalog_t *after);
static void add_effect (void *data, const gbd_effect_t *effect);
static json_t *make_limits (const gbd_plan_t *plan);
static gbd_exit_t predict_servers (const gbd_client_t *client,
                                   const gbd_predict_options_t *options,
                                   const server_change_t *change);
static gbd_table_t *read_table (const json_t *value);
static uint32_t change_backends (const gbd_table_t *table,
                                 const server_change_t *change,
                                 gbd_backend_t *backends);
static json_t *make_report (const gbd_predict_options_t *options,
                            const server_change_t *change,
                            const gbd_table_t *table,
                            const gbd_prediction_t *prediction);
static json_t *make_shares (const gbd_table_t *before,
                            const gbd_table_t *after,
                            const server_change_t *change);
static uint32_t count_buckets_of (const gbd_table_t *table,
                                  gbd_backend_id_t id);
static void print_report (const gbd_client_t *client,
                          const gbd_predict_options_t *options,
                          const json_t *value);

gbd_exit_t
gbd_predict_command_list (const gbd_client_t *client,
                          const gbd_predict_options_t *options,
                          gbd_list_t list, const char *file)
{
  char *text = NULL;
  GError *error = NULL;
  if (!g_file_get_contents (file, &text, NULL, &error))
    {
      fprintf (client->err, "%s; specify a readable file\n", error->message);
      g_error_free (error);
      return GBD_EXIT_USAGE;
    }
  json_t *accepted = NULL;
  char *other_list = NULL;
  gbd_catalog_t *before = NULL;
  gbd_catalog_t *after = NULL;
  gbd_list_errors_t *errors = gbd_list_errors_new ();
  gbd_exit_t result = read_object (client, options, GBD_ACCEPTED_KIND,
                                   options->group, &accepted);
  if (result != GBD_EXIT_OK && result != GBD_EXIT_REFUSED)
    goto done;
  if (accepted && gbd_accepted_to_catalog (accepted, &before) != GBD_OK)
    {
      fprintf (client->err,
               "the accepted object \"%s\" is invalid; check --group\n",
               options->group);
      result = GBD_EXIT_FAILED;
      goto done;
    }
  bool is_customers = list == GBD_LIST_CUSTOMERS;
  if (accepted)
    other_list = gbd_accepted_format_list (
        accepted, is_customers ? GBD_LIST_PLANS : GBD_LIST_CUSTOMERS);
  if (gbd_lists_to_catalog (
          is_customers ? text : other_list, is_customers ? other_list : text,
          gbd_accepted_get_generation (accepted) + 1, errors, &after)
      == GBD_OK)
    result = report_list_changes (client, options, before, after);
  else
    result = print_errors (client, errors);

done:
  gbd_list_errors_delete (errors);
  gbd_catalog_delete (before);
  gbd_catalog_delete (after);
  json_decref (accepted);
  free (other_list);
  g_free (text);
  return result;
}

gbd_exit_t
gbd_predict_command_drain (const gbd_client_t *client,
                           const gbd_predict_options_t *options,
                           const char *uid)
{
  json_t *endpoint;
  gbd_exit_t result
      = read_object (client, options, "endpoints", uid, &endpoint);
  const char *service
      = json_string_value (json_object_get (endpoint, "service"));
  server_change_t change = { service, uid, GBD_BACKEND_DRAINING };
  if (result == GBD_EXIT_OK && service)
    result = predict_servers (client, options, &change);
  else if (result != GBD_EXIT_UNAVAILABLE)
    fprintf (client->err,
             "no backend server \"%s\" is listed; see "
             "`gooseberrydrum status`\n",
             uid);
  json_decref (endpoint);
  return result;
}

gbd_exit_t
gbd_predict_command_add (const gbd_client_t *client,
                         const gbd_predict_options_t *options, const char *uid,
                         const char *service)
{
  server_change_t change = { service, uid, GBD_BACKEND_READY };
  return predict_servers (client, options, &change);
}

/* Reads the value of an object of the platform.
   @param value set to the value, owned by the caller, or to NULL on failure
   @return GBD_EXIT_REFUSED when the object does not exist;
   GBD_EXIT_UNAVAILABLE when it cannot be read. */
static gbd_exit_t
read_object (const gbd_client_t *client, const gbd_predict_options_t *options,
             const char *kind, const char *name, json_t **value)
{
  json_t *object;
  char *escaped = g_uri_escape_string (name, NULL, FALSE);
  char *path = g_strdup_printf ("/v1/%s/%s", kind, escaped);
  gbd_status_t status
      = gbd_client_get (client, &options->platform, NULL, path, &object);
  *value = NULL;
  if (status == GBD_OK)
    *value = json_incref (json_object_get (object, "value"));
  json_decref (object);
  g_free (path);
  g_free (escaped);
  if (*value)
    return GBD_EXIT_OK;
  if (status == GBD_ERROR_NOT_FOUND)
    return GBD_EXIT_REFUSED;
  fprintf (client->err, "cannot read from the platform: %s; try again\n",
           gbd_status_strings[status]);
  return GBD_EXIT_UNAVAILABLE;
}

static gbd_exit_t
print_errors (const gbd_client_t *client, const gbd_list_errors_t *errors)
{
  char text[GBD_LIST_ERROR_TEXT_MAX];
  for (uint32_t i = 0; i < gbd_list_errors_get_count (errors); i++)
    {
      gbd_list_error_format (gbd_list_errors_get (errors, i), text);
      fprintf (client->err, "%s\n", text);
    }
  return GBD_EXIT_REFUSED;
}

static gbd_exit_t
report_list_changes (const gbd_client_t *client,
                     const gbd_predict_options_t *options,
                     const gbd_catalog_t *before, const gbd_catalog_t *after)
{
  json_t *effects = json_array ();
  uint32_t count = gbd_predict_lists (before, after, add_effect, effects);
  bool ends_flows = false;
  size_t index;
  json_t *effect;
  json_array_foreach (effects, index, effect)
  {
    if (json_is_true (json_object_get (effect, "open flows end")))
      ends_flows = true;
  }
  json_t *result = json_pack ("{s:i, s:b, s:i, s:o}", "changes", (int)count,
                              "open flows end", ends_flows, "buckets moved", 0,
                              "effects", effects);
  print_report (client, options, result);
  json_decref (result);
  return GBD_EXIT_OK;
}

static void
add_effect (void *data, const gbd_effect_t *effect)
{
  json_t *object
      = json_pack ("{s:s}", "effect", gbd_effect_strings[effect->kind]);
  if (effect->kind <= GBD_EFFECT_ADDRESS_MOVED)
    {
      char address[GBD_ADDRESS_TEXT_MAX];
      gbd_address_format (&effect->address, address);
      json_object_set_new (object, "address", json_string (address));
    }
  if (effect->service)
    json_object_set_new (object, "service", json_string (effect->service));
  if (effect->kind == GBD_EFFECT_LIMITS)
    {
      json_object_set_new (object, "customer", json_string (effect->after));
      json_object_set_new (object, "before",
                           make_limits (effect->plan_before));
      json_object_set_new (object, "after", make_limits (effect->plan_after));
    }
  else
    {
      if (effect->before)
        json_object_set_new (object, "before", json_string (effect->before));
      if (effect->after)
        json_object_set_new (object, "after", json_string (effect->after));
    }
  json_object_set_new (object, "open flows end",
                       json_boolean (effect->ends_flows));
  json_array_append_new (data, object);
}

static json_t *
make_limits (const gbd_plan_t *plan)
{
  if (!plan)
    return json_null ();
  return json_pack ("{s:I, s:I, s:I, s:i}", "open_flows",
                    (json_int_t)plan->open_flows, "new_flows_per_second",
                    (json_int_t)plan->new_flows_per_second, "idle_limit_s",
                    (json_int_t)plan->idle_limit_s, "balance_percent",
                    (int)plan->balance_percent);
}

static gbd_exit_t
predict_servers (const gbd_client_t *client,
                 const gbd_predict_options_t *options,
                 const server_change_t *change)
{
  json_t *value;
  char *name = g_strdup_printf ("%s.%s", options->group, change->service);
  gbd_exit_t result = read_object (client, options, "tables", name, &value);
  gbd_table_t *table = value ? read_table (value) : NULL;
  json_decref (value);
  g_free (name);
  if (result == GBD_EXIT_UNAVAILABLE)
    return result;
  if (!table)
    {
      fprintf (
          client->err,
          "service \"%s\" has no table in group \"%s\"; check both names\n",
          change->service, options->group);
      return result == GBD_EXIT_OK ? GBD_EXIT_FAILED : result;
    }

  gbd_backend_t backends[GBD_BACKENDS_MAX + 1];
  uint16_t weights[GBD_BACKENDS_MAX + 1];
  uint32_t count = change_backends (table, change, backends);
  gbd_predict_weights (table, backends, count, weights);
  gbd_coordinator_input_t input = {
    .service = table->service,
    .members = table->next_count ? table->next : table->roster,
    .member_count
    = table->next_count ? table->next_count : table->roster_count,
    .backends = backends,
    .backend_count = count,
    .weights = weights,
    .bucket_count = table->bucket_count,
    .move_max = GBD_BALANCE_MOVE_MAX,
    .generation = table->generation,
  };
  gbd_prediction_t prediction;
  gbd_status_t status = gbd_predict_table (table, &input, &prediction);
  if (status == GBD_OK)
    {
      json_t *report = make_report (options, change, table, &prediction);
      print_report (client, options, report);
      json_decref (report);
      gbd_prediction_clear (&prediction);
    }
  else
    fprintf (client->err, "cannot predict the change: %s\n",
             gbd_status_strings[status]);
  gbd_table_delete (table);
  return status == GBD_OK ? GBD_EXIT_OK : GBD_EXIT_FAILED;
}

static gbd_table_t *
read_table (const json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  gbd_table_t *table = text ? gbd_table_from_json (text, strlen (text)) : NULL;
  free (text);
  return table;
}

/* Copies the backend servers of a table and applies a change to the copy.
   @return number of servers after the change */
static uint32_t
change_backends (const gbd_table_t *table, const server_change_t *change,
                 gbd_backend_t *backends)
{
  gbd_backend_id_t id = gbd_id_from_name (change->uid);
  uint32_t count = table->backend_count;
  memcpy (backends, table->backends, count * sizeof *backends);
  for (uint32_t i = 0; i < count; i++)
    {
      if (backends[i].id != id)
        continue;
      backends[i].state = change->state;
      return count;
    }
  backends[count] = (gbd_backend_t){ .id = id, .state = change->state };
  return count + 1;
}

static json_t *
make_report (const gbd_predict_options_t *options,
             const server_change_t *change, const gbd_table_t *table,
             const gbd_prediction_t *prediction)
{
  uint32_t effective_ms
      = prediction->steps_until_effective * options->heartbeat_ms;
  uint32_t converged_ms = prediction->steps * options->heartbeat_ms;
  uint64_t peers = table->roster_count ? table->roster_count - 1u : 0;
  uint64_t bytes = prediction->bytes * peers;
  return json_pack (
      "{s:s, s:s, s:I, s:I, s:f, s:i, s:I, s:I, s:I, s:I, s:I, s:b, s:o}",
      "service", change->service, "backend server", change->uid, "buckets",
      (json_int_t)table->bucket_count, "buckets moved",
      (json_int_t)prediction->moved, "new flows affected percent",
      100.0 * prediction->moved / table->bucket_count, "flows broken", 0,
      "steps until in force", (json_int_t)prediction->steps_until_effective,
      "milliseconds until in force", (json_int_t)effective_ms,
      "steps until at rest", (json_int_t)prediction->steps,
      "milliseconds until at rest", (json_int_t)converged_ms, "table bytes",
      (json_int_t)bytes, "comes to rest", prediction->is_converged, "shares",
      make_shares (table, prediction->after, change));
}

static json_t *
make_shares (const gbd_table_t *before, const gbd_table_t *after,
             const server_change_t *change)
{
  json_t *shares = json_array ();
  for (uint32_t i = 0; i < after->backend_count; i++)
    {
      const gbd_backend_t *backend = &after->backends[i];
      char address[GBD_ADDRESS_TEXT_MAX];
      gbd_address_format (&backend->address, address);
      bool is_changed = backend->id == gbd_id_from_name (change->uid);
      json_array_append_new (
          shares,
          json_pack ("{s:s, s:I, s:I}", "backend server",
                     is_changed ? change->uid : address, "buckets before",
                     (json_int_t)count_buckets_of (before, backend->id),
                     "buckets after",
                     (json_int_t)count_buckets_of (after, backend->id)));
    }
  return shares;
}

static uint32_t
count_buckets_of (const gbd_table_t *table, gbd_backend_id_t id)
{
  uint32_t shares[GBD_BACKENDS_MAX];
  gbd_slot_t slot = gbd_table_find_backend (table, id);
  gbd_predict_shares (table, shares);
  return slot == GBD_SLOT_NONE ? 0 : shares[slot];
}

/* Without --json, prints one member per line. */
static void
print_report (const gbd_client_t *client, const gbd_predict_options_t *options,
              const json_t *value)
{
  if (options->is_json)
    {
      gbd_client_print_json (client, value);
      return;
    }
  const char *key;
  json_t *member;
  json_object_foreach ((json_t *)value, key, member)
  {
    size_t index;
    json_t *entry;
    char *text = json_dumps (member, JSON_COMPACT | JSON_ENCODE_ANY);
    if (!json_is_array (member))
      fprintf (client->out, "%s: %s\n", key, text);
    free (text);
    json_array_foreach (member, index, entry)
    {
      text = json_dumps (entry, 0);
      fprintf (client->out, "  %s\n", text);
      free (text);
    }
  }
}
