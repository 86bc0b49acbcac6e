#include "standins/world_object_format.h"

#include <glib.h>

static uint64_t format_server_name (uint64_t number, char *name,
                                    size_t capacity);
static json_t *describe_server (const world_server_description_t *server);
static json_t *describe_routes (uint64_t version,
                                const world_route_description_t *routes,
                                uint32_t count);

const world_object_format_t world_object_format_native = {
  .name = "own",
  .servers_kind = "endpoints",
  .routes_kind = "routes",
  .routes_name = "main",
  .format_server_name = format_server_name,
  .describe_server = describe_server,
  .describe_routes = describe_routes,
};

static uint64_t
format_server_name (uint64_t number, char *name, size_t capacity)
{
  g_snprintf (name, (gulong)capacity, "server-%" G_GUINT64_FORMAT, number);
  return gbd_id_from_name (name);
}

static json_t *
describe_server (const world_server_description_t *server)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i}", "service",
                    server->service, "address", server->address, "zone",
                    server->zone, "state",
                    server->is_ready ? "ready" : "draining", "slots",
                    (int)server->slots, "warm_up_ms", (int)server->warm_up_ms);
}

static json_t *
describe_routes (uint64_t version, const world_route_description_t *routes,
                 uint32_t count)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; i < count; i++)
    {
      char address[GBD_ADDRESS_TEXT_MAX];
      g_snprintf (address, sizeof address, "%s:%u", routes[i].ip,
                  (unsigned)routes[i].port);
      json_array_append_new (
          list, json_pack ("{s:s, s:b, s:[{s:s, s:i}]}", "address", address,
                           "repeatable", routes[i].is_idempotent, "services",
                           "name", routes[i].service, "weight", 1));
    }
  return json_pack ("{s:I, s:o}", "version", (json_int_t)version, "routes",
                    list);
}
