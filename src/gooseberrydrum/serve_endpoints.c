#include "serve.h"

#include <stdlib.h>
#include <string.h>

#include "share/log.h"

/* Table weight per unit of an endpoint object's weight; also the weight that
   an endpoint object without a weight is taken to have. */
#define WEIGHT_UNIT 100
/* Largest weight of an endpoint object, as table weights have 16 bits. */
#define WEIGHT_MAX 655

static bool parse_endpoint (const char *name, json_t *value,
                            gbd_endpoint_t *endpoint);
static void remove_endpoint (gbd_serve_t *serve, const char *name);
static bool add_endpoint (gbd_serve_t *serve, const gbd_endpoint_t *endpoint);

void
gbd_serve_endpoints_reset (void *data)
{
  gbd_serve_t *serve = data;
  serve->endpoint_count = 0;
  serve->is_endpoint_list_synced = false;
}

void
gbd_serve_endpoint_changed (void *data, const char *name, uint64_t version,
                            json_t *value)
{
  (void)version;
  gbd_serve_t *serve = data;
  gbd_endpoint_t endpoint;
  remove_endpoint (serve, name);
  if (!value)
    return;
  if (!parse_endpoint (name, value, &endpoint))
    {
      gbd_log (GBD_EVENT_BAD_OBJECT, "endpoints", name);
      return;
    }
  if (!add_endpoint (serve, &endpoint))
    gbd_log (GBD_EVENT_FATAL, gbd_status_strings[GBD_ERROR_MEMORY]);
}

void
gbd_serve_endpoints_confirmed (void *data, gbd_time_t requested_at)
{
  (void)requested_at;
  gbd_serve_t *serve = data;
  serve->is_endpoint_list_synced = true;
  gbd_serve_apply_backends (serve, gbd_serve_now ());
}

void
gbd_serve_apply_backends (gbd_serve_t *serve, gbd_time_t now)
{
  /* An incomplete list is ignored, and so is an empty one, because it does
     not reliably mean that all backend servers were removed. */
  if (!serve->catalog || !serve->is_endpoint_list_synced
      || !serve->endpoint_count)
    return;
  gbd_backend_t *backends = calloc (serve->endpoint_count, sizeof *backends);
  uint16_t *weights = calloc (serve->endpoint_count, sizeof *weights);
  uint32_t services = gbd_catalog_get_service_count (serve->catalog);
  for (uint32_t s = 0; backends && weights && s < services; s++)
    {
      gbd_service_id_t id = gbd_catalog_get_service (serve->catalog, s)->id;
      uint32_t count = 0;
      for (uint32_t i = 0; i < serve->endpoint_count; i++)
        {
          if (serve->endpoints[i].service != id)
            continue;
          backends[count] = serve->endpoints[i].backend;
          weights[count] = serve->endpoints[i].weight;
          count++;
        }
      gbd_load_compute_weights (serve->load, id, backends, count, now,
                                weights);
      gbd_node_set_backends (serve->node, id, backends, weights, count);
    }
  free (backends);
  free (weights);
}

static bool
parse_endpoint (const char *name, json_t *value, gbd_endpoint_t *endpoint)
{
  const char *service = json_string_value (json_object_get (value, "service"));
  const char *address = json_string_value (json_object_get (value, "address"));
  const char *zone = json_string_value (json_object_get (value, "zone"));
  const char *state = json_string_value (json_object_get (value, "state"));
  json_t *weight = json_object_get (value, "weight");
  if (!service || !address || !zone || !state || strlen (name) > GBD_NAME_MAX)
    return false;

  memset (endpoint, 0, sizeof *endpoint);
  snprintf (endpoint->name, sizeof endpoint->name, "%s", name);
  endpoint->service = gbd_id_from_name (service);
  endpoint->backend.id = gbd_id_from_name (name);
  endpoint->backend.zone = gbd_zone_from_name (zone);
  if (gbd_address_parse (address, &endpoint->backend.address) != GBD_OK)
    return false;

  json_int_t object_weight
      = json_is_integer (weight) ? json_integer_value (weight) : WEIGHT_UNIT;
  if (object_weight < 0 || object_weight > WEIGHT_MAX)
    return false;
  if (strcmp (state, "ready") == 0)
    endpoint->backend.state = GBD_BACKEND_READY;
  else if (strcmp (state, "draining") == 0)
    endpoint->backend.state = GBD_BACKEND_DRAINING;
  else
    endpoint->backend.state = GBD_BACKEND_GONE;
  if (endpoint->backend.state == GBD_BACKEND_READY)
    endpoint->weight = (uint16_t)(object_weight * WEIGHT_UNIT);
  return true;
}

static void
remove_endpoint (gbd_serve_t *serve, const char *name)
{
  for (uint32_t i = 0; i < serve->endpoint_count; i++)
    {
      if (strcmp (serve->endpoints[i].name, name) != 0)
        continue;
      serve->endpoint_count--;
      memmove (&serve->endpoints[i], &serve->endpoints[i + 1],
               (serve->endpoint_count - i) * sizeof *serve->endpoints);
      return;
    }
}

static bool
add_endpoint (gbd_serve_t *serve, const gbd_endpoint_t *endpoint)
{
  if (serve->endpoint_count == serve->endpoint_capacity)
    {
      uint32_t capacity
          = serve->endpoint_capacity ? serve->endpoint_capacity * 2 : 64;
      gbd_endpoint_t *endpoints
          = realloc (serve->endpoints, capacity * sizeof *endpoints);
      if (!endpoints)
        return false;
      serve->endpoints = endpoints;
      serve->endpoint_capacity = capacity;
    }
  serve->endpoints[serve->endpoint_count++] = *endpoint;
  return true;
}
