#include "platform_api.h"

#include <string.h>

#include <glib.h>

#define PREFIX "/v1/"
#define VERSION_FORMAT "%" G_GUINT64_FORMAT

static void make_list (const char *kind, const char *after, bool allow_stale,
                       gbd_platform_request_t *request);
static void make_watch (const char *kind, uint64_t version, uint32_t wait_ms,
                        bool allow_stale, gbd_platform_request_t *request);
static void make_get (const char *kind, const char *name, bool allow_stale,
                      gbd_platform_request_t *request);
static void make_put (const char *kind, const char *name, uint64_t version,
                      json_t *value, gbd_platform_request_t *request);
static void make_remove (const char *kind, const char *name, uint64_t version,
                         gbd_platform_request_t *request);
static json_t *return_body (json_t *body);
static gbd_status_t read_server (const char *name, const json_t *value,
                                 gbd_time_t now, gbd_pool_entry_t *entry,
                                 const char **problem);
static gbd_routes_t *read_routes (const json_t *value, const char **problem);
static bool read_route (const json_t *item, gbd_route_t *route);

const gbd_platform_api_t gbd_platform_api_native = {
  .name = "own",
  .list = make_list,
  .watch = make_watch,
  .get = make_get,
  .put = make_put,
  .remove = make_remove,
  .parse = gbd_platform_parse_json,
  .translate = return_body,
  .servers_kind = "endpoints",
  .routes_kind = "routes",
  .routes_name = "main",
  .evacuations_kind = "evacuations",
  .read_server = read_server,
  .read_routes = read_routes,
};

json_t *
gbd_platform_parse_json (const char *body, size_t length)
{
  return json_loadb (body, length, 0, NULL);
}

void
gbd_platform_set_request (gbd_platform_request_t *request, const char *method,
                          const char *prefix, const char *kind,
                          const char *name, char *query)
{
  char *kind_text = g_uri_escape_string (kind, NULL, FALSE);
  char *name_text = name ? g_uri_escape_string (name, NULL, FALSE) : NULL;
  request->method = method;
  request->path = g_strconcat (prefix, kind_text, name ? "/" : "",
                               name ? name_text : "", query, NULL);
  g_free (kind_text);
  g_free (name_text);
  g_free (query);
}

void
gbd_platform_set_watch_request (gbd_platform_request_t *request,
                                const char *prefix, const char *kind,
                                uint64_t version, uint32_t wait_ms)
{
  gbd_platform_set_request (request, "GET", prefix, kind, NULL,
                            g_strdup_printf ("?since=" VERSION_FORMAT
                                             "&wait_ms=%u",
                                             version, wait_ms));
}

static void
make_list (const char *kind, const char *after, bool allow_stale,
           gbd_platform_request_t *request)
{
  /* The native API lists all objects in one response and has no stale
     reads. */
  (void)after;
  (void)allow_stale;
  gbd_platform_set_request (request, "GET", PREFIX, kind, NULL, NULL);
}

static void
make_watch (const char *kind, uint64_t version, uint32_t wait_ms,
            bool allow_stale, gbd_platform_request_t *request)
{
  (void)allow_stale;
  gbd_platform_set_watch_request (request, PREFIX, kind, version, wait_ms);
}

static void
make_get (const char *kind, const char *name, bool allow_stale,
          gbd_platform_request_t *request)
{
  (void)allow_stale;
  gbd_platform_set_request (request, "GET", PREFIX, kind, name, NULL);
}

static void
make_put (const char *kind, const char *name, uint64_t version, json_t *value,
          gbd_platform_request_t *request)
{
  gbd_platform_set_request (
      request, "PUT", PREFIX, kind, name,
      g_strdup_printf ("?version=" VERSION_FORMAT, version));
  request->body = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
}

static void
make_remove (const char *kind, const char *name, uint64_t version,
             gbd_platform_request_t *request)
{
  gbd_platform_set_request (
      request, "DELETE", PREFIX, kind, name,
      g_strdup_printf ("?version=" VERSION_FORMAT, version));
}

static json_t *
return_body (json_t *body)
{
  return body;
}

static gbd_status_t
read_server (const char *name, const json_t *value, gbd_time_t now,
             gbd_pool_entry_t *entry, const char **problem)
{
  const char *service = json_string_value (json_object_get (value, "service"));
  const char *address = json_string_value (json_object_get (value, "address"));
  const char *zone = json_string_value (json_object_get (value, "zone"));
  const char *state = json_string_value (json_object_get (value, "state"));
  json_int_t slots = json_integer_value (json_object_get (value, "slots"));
  json_int_t warm_up_ms
      = json_integer_value (json_object_get (value, "warm_up_ms"));
  memset (entry, 0, sizeof *entry);
  *problem = "service, address, zone or state is missing";
  if (!service || !address || !zone || !state)
    return GBD_ERROR_FORMAT;
  *problem = "the address is not an IP address with a port";
  if (gbd_address_parse (address, &entry->backend.address) != GBD_OK)
    return GBD_ERROR_FORMAT;
  *problem = "the state is neither ready nor draining";
  bool is_draining = strcmp (state, "draining") == 0;
  if (!is_draining && strcmp (state, "ready") != 0)
    return GBD_ERROR_FORMAT;
  entry->backend.id = gbd_id_from_name (name);
  entry->backend.zone = gbd_zone_from_name (zone);
  g_strlcpy (entry->zone_name, zone, sizeof entry->zone_name);
  entry->backend.state
      = is_draining ? GBD_BACKEND_DRAINING : GBD_BACKEND_READY;
  entry->service = gbd_id_from_name (service);
  entry->slots = slots > 0 ? (uint32_t)slots : 1;
  entry->start_time_ms
      = json_integer_value (json_object_get (value, "born_ms"));
  entry->warm_at = warm_up_ms > 0 ? now + warm_up_ms * GBD_MILLISECOND : 0;
  g_strlcpy (entry->name, name, sizeof entry->name);
  return GBD_OK;
}

static gbd_routes_t *
read_routes (const json_t *value, const char **problem)
{
  json_t *items = json_object_get (value, "routes");
  json_int_t version = json_integer_value (json_object_get (value, "version"));
  *problem = "version or routes are missing";
  if (version <= 0 || !json_is_array (items))
    return NULL;
  gbd_routes_t *routes = gbd_routes_new ((uint64_t)version);
  size_t index;
  json_t *item;
  json_array_foreach (items, index, item)
  {
    gbd_route_t route = { .target_count = 0 };
    *problem = "a route has no address or no service, or its address is a "
               "duplicate";
    if (!routes || !read_route (item, &route)
        || gbd_routes_add (routes, &route) != GBD_OK)
      {
        gbd_routes_delete (routes);
        return NULL;
      }
  }
  return routes;
}

static bool
read_route (const json_t *item, gbd_route_t *route)
{
  const char *address = json_string_value (json_object_get (item, "address"));
  json_t *services = json_object_get (item, "services");
  route->is_idempotent = json_is_true (json_object_get (item, "repeatable"));
  if (!address || gbd_address_parse (address, &route->address) != GBD_OK)
    return false;
  size_t index;
  json_t *service;
  json_array_foreach (services, index, service)
  {
    const char *name = json_string_value (json_object_get (service, "name"));
    json_int_t weight
        = json_integer_value (json_object_get (service, "weight"));
    if (!name || weight < 0 || weight > UINT32_MAX
        || route->target_count == GBD_ROUTE_TARGETS_MAX)
      return false;
    route->targets[route->target_count++]
        = (gbd_route_target_t){ .service = gbd_id_from_name (name),
                                .weight = (uint32_t)weight };
  }
  return route->target_count > 0;
}
