#include "cookie_serve.h"

#include <string.h>

static uint32_t find_cold_services (const gbd_cookie_serve_t *serve,
                                    gbd_cold_service_t *services,
                                    gbd_time_t now);
static gbd_cold_service_t *find_service (gbd_cold_service_t *services,
                                         uint32_t count,
                                         gbd_service_id_t service);
static void log_start (gbd_cookie_serve_t *serve,
                       const gbd_cold_service_t *service, gbd_time_t now);
static void log_end (gbd_cookie_serve_t *serve,
                     const gbd_cold_service_t *service, gbd_time_t now);

void
gbd_cookie_warm_up_tick (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_cold_service_t services[GBD_COLD_SERVICES_MAX];
  uint32_t count = find_cold_services (serve, services, now);
  for (uint32_t i = 0; i < count; i++)
    {
      const gbd_cold_service_t *known
          = find_service (serve->cold_services, serve->cold_service_count,
                          services[i].service);
      services[i].since = known ? known->since : now;
      if (!known)
        log_start (serve, &services[i], now);
    }
  for (uint32_t i = 0; i < serve->cold_service_count; i++)
    if (!find_service (services, count, serve->cold_services[i].service))
      log_end (serve, &serve->cold_services[i], now);
  memcpy (serve->cold_services, services, count * sizeof services[0]);
  serve->cold_service_count = count;
}

void
gbd_cookie_warm_up_add_status (const gbd_cookie_serve_t *serve, json_t *status)
{
  if (serve->cold_service_count == 0)
    return;
  gbd_time_t now = serve->clock (NULL);
  json_t *list = json_array ();
  for (uint32_t i = 0; i < serve->cold_service_count; i++)
    {
      const gbd_cold_service_t *service = &serve->cold_services[i];
      json_array_append_new (
          list,
          json_pack ("{s:s, s:i, s:I, s:I, s:i, s:I, s:I}", "service",
                     service->name, "cold_servers", (int)service->cold_servers,
                     "since_ms",
                     (json_int_t)((now - service->since) / GBD_MILLISECOND),
                     "budget", (json_int_t)service->share.budget,
                     "own_servers", (int)service->own_servers, "interval_ms",
                     (json_int_t)(service->share.interval / GBD_MILLISECOND),
                     "group_bound", (json_int_t)service->share.group_bound));
    }
  json_object_set_new (status, "cold_services", list);
}

void
gbd_cookie_warm_up_add_server (const gbd_cookie_serve_t *serve,
                               const gbd_pool_server_t *server, json_t *fields,
                               gbd_time_t now)
{
  gbd_warm_up_share_t share
      = gbd_director_get_warm_up (serve->director, server->entry.service, now);
  if (!share.is_limited)
    return;
  json_object_set_new (
      fields, "cold_limit",
      json_boolean (gbd_pool_is_cold (server, share.duration, now)));
  json_object_set_new (fields, "takes_part",
                       json_boolean (gbd_warm_up_takes_part (
                           &share, server->entry.backend.id)));
}

/* Counts the listed cold servers of each service that has a limit.
   @param services at least GBD_COLD_SERVICES_MAX; further services are left
   out */
static uint32_t
find_cold_services (const gbd_cookie_serve_t *serve,
                    gbd_cold_service_t *services, gbd_time_t now)
{
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  uint32_t capacity = gbd_pool_get_capacity (pool);
  uint32_t count = 0;
  for (uint32_t i = 0; i < capacity; i++)
    {
      const gbd_pool_server_t *server
          = gbd_pool_peek (pool, (gbd_pool_handle_t)i);
      if (!server->is_used || !server->is_listed)
        continue;
      gbd_service_id_t id = server->entry.service;
      gbd_warm_up_share_t share
          = gbd_director_get_warm_up (serve->director, id, now);
      if (!share.is_limited || !gbd_pool_is_cold (server, share.duration, now))
        continue;
      gbd_cold_service_t *service = find_service (services, count, id);
      if (!service && count == GBD_COLD_SERVICES_MAX)
        continue;
      if (!service)
        {
          gbd_warm_up_limits_t limits = gbd_routes_get_warm_up (
              gbd_director_get_routes (serve->director), id);
          service = &services[count++];
          *service = (gbd_cold_service_t){ .service = id, .share = share };
          memcpy (service->name, limits.name, sizeof service->name);
        }
      service->cold_servers++;
      service->own_servers
          += gbd_warm_up_takes_part (&share, server->entry.backend.id);
    }
  return count;
}

static gbd_cold_service_t *
find_service (gbd_cold_service_t *services, uint32_t count,
              gbd_service_id_t service)
{
  for (uint32_t i = 0; i < count; i++)
    if (services[i].service == service)
      return &services[i];
  return NULL;
}

static void
log_start (gbd_cookie_serve_t *serve, const gbd_cold_service_t *service,
           gbd_time_t now)
{
  gbd_event_log_emit (
      serve->event_log, GBD_EVENT_COLD_LIMIT, now,
      json_pack ("{s:s, s:i, s:I, s:i, s:I}", "service", service->name,
                 "cold_servers", (int)service->cold_servers, "budget",
                 (json_int_t)service->share.budget, "own_servers",
                 (int)service->own_servers, "group_bound",
                 (json_int_t)service->share.group_bound));
}

static void
log_end (gbd_cookie_serve_t *serve, const gbd_cold_service_t *service,
         gbd_time_t now)
{
  gbd_event_log_emit (
      serve->event_log, GBD_EVENT_COLD_LIMIT_END, now,
      json_pack ("{s:s, s:I}", "service", service->name, "duration_ms",
                 (json_int_t)((now - service->since) / GBD_MILLISECOND)));
}
