#include "admin_command.h"

#include <string.h>

#include <glib.h>

static gbd_exit_t print_failure (const gbd_client_t *client,
                                 const gbd_address_t *address,
                                 gbd_status_t status, const json_t *value);
static json_int_t get_accepted_generation (const gbd_client_t *client,
                                           const gbd_address_t *platform,
                                           const char *group);
static json_t *query_instance (const gbd_client_t *client, const json_t *item,
                               const char *token, json_int_t accepted);

gbd_exit_t
gbd_admin_command_show (const gbd_client_t *client, const gbd_address_t *admin,
                        const char *token, const char *path)
{
  json_t *value;
  gbd_exit_t result = GBD_EXIT_OK;
  gbd_status_t status = gbd_client_get (client, admin, token, path, &value);
  if (status == GBD_OK)
    gbd_client_print_json (client, value);
  else
    result = print_failure (client, admin, status, value);
  json_decref (value);
  return result;
}

gbd_exit_t
gbd_admin_command_group (const gbd_client_t *client,
                         const gbd_address_t *platform, const char *token,
                         const char *group)
{
  json_t *listing;
  gbd_status_t status
      = gbd_client_get (client, platform, NULL, "/v1/instances", &listing);
  if (status != GBD_OK)
    {
      gbd_exit_t failure = print_failure (client, platform, status, listing);
      json_decref (listing);
      return failure;
    }
  json_int_t accepted = get_accepted_generation (client, platform, group);
  json_t *instances = json_array ();
  bool is_installed_everywhere = accepted >= 0;
  size_t index;
  json_t *item;
  json_array_foreach (json_object_get (listing, "items"), index, item)
  {
    const char *item_group = json_string_value (
        json_object_get (json_object_get (item, "value"), "group"));
    if (!item_group || strcmp (item_group, group) != 0)
      continue;
    json_t *instance = query_instance (client, item, token, accepted);
    if (!json_is_false (json_object_get (instance, "lags")))
      is_installed_everywhere = false;
    json_array_append_new (instances, instance);
  }
  json_t *result = json_pack (
      "{s:s, s:o, s:b, s:o}", "group", group, "accepted_generation",
      accepted < 0 ? json_null () : json_integer (accepted),
      "in_force_everywhere", is_installed_everywhere, "instances", instances);
  gbd_client_print_json (client, result);
  json_decref (result);
  json_decref (listing);
  return is_installed_everywhere ? GBD_EXIT_OK : GBD_EXIT_FAILED;
}

static gbd_exit_t
print_failure (const gbd_client_t *client, const gbd_address_t *address,
               gbd_status_t status, const json_t *value)
{
  char text[GBD_ADDRESS_TEXT_MAX];
  gbd_address_format (address, text);
  if (status == GBD_ERROR_UNAVAILABLE || status == GBD_ERROR_MEMORY)
    {
      fprintf (client->err,
               "%s does not respond; check that it is running, and that the "
               "address is correct\n",
               text);
      return GBD_EXIT_UNAVAILABLE;
    }
  const char *error = json_string_value (json_object_get (value, "error"));
  const char *remedy = json_string_value (json_object_get (value, "remedy"));
  fprintf (client->err, "%s: %s; %s\n", text,
           error ? error : "the response is not a known error",
           remedy ? remedy : "check that the address is correct");
  return error ? GBD_EXIT_REFUSED : GBD_EXIT_FAILED;
}

/* @return generation of the accepted configuration; -1 if it cannot be read; 0
   if no configuration was accepted yet */
static json_int_t
get_accepted_generation (const gbd_client_t *client,
                         const gbd_address_t *platform, const char *group)
{
  json_t *object;
  char *path = g_strdup_printf ("/v1/accepted/%s", group);
  gbd_status_t status = gbd_client_get (client, platform, NULL, path, &object);
  json_int_t generation = -1;
  if (status == GBD_ERROR_NOT_FOUND)
    generation = 0;
  if (status == GBD_OK)
    generation = json_integer_value (
        json_object_get (json_object_get (object, "value"), "generation"));
  g_free (path);
  json_decref (object);
  return generation;
}

static json_t *
query_instance (const gbd_client_t *client, const json_t *item,
                const char *token, json_int_t accepted)
{
  const json_t *object = json_object_get (item, "value");
  const char *name = json_string_value (json_object_get (item, "name"));
  const char *state = json_string_value (json_object_get (object, "state"));
  const char *admin = json_string_value (json_object_get (object, "admin"));
  json_t *result = json_pack ("{s:s, s:s}", "name", name ? name : "", "state",
                              state ? state : "");
  gbd_address_t address;
  if (!admin || !admin[0] || gbd_address_parse (admin, &address) != GBD_OK)
    {
      json_object_set_new (result, "error",
                           json_string ("no admin address is listed; start it "
                                        "with --admin-listen"));
      json_object_set_new (result, "lags", json_null ());
      return result;
    }
  json_t *status;
  gbd_status_t query_status
      = gbd_client_get (client, &address, token, "/status", &status);
  json_object_set_new (result, "admin", json_string (admin));
  if (query_status != GBD_OK)
    {
      json_object_set_new (result, "error",
                           json_string (gbd_status_strings[query_status]));
      json_object_set_new (result, "lags", json_null ());
    }
  else
    {
      json_t *generation = json_object_get (status, "generation");
      json_object_set (result, "generation", generation);
      json_object_set (result, "touch", json_object_get (status, "touch"));
      json_object_set (result, "joined", json_object_get (status, "joined"));
      bool lags = json_integer_value (generation) < accepted;
      json_object_set_new (result, "lags", json_boolean (lags));
    }
  json_decref (status);
  return result;
}
