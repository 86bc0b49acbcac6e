#include "gooseberrydrum/config_check.h"

#include <stdlib.h>
#include <string.h>

static void check_route (const gbd_config_t *config,
                         const gbd_config_route_t *route,
                         gbd_findings_t *findings);
static void check_times (const gbd_config_t *config,
                         const gbd_config_route_t *route,
                         gbd_findings_t *findings);
static void check_weights (const gbd_config_route_t *route,
                           gbd_findings_t *findings);
static void check_service (const gbd_config_t *config, uint32_t index,
                           gbd_findings_t *findings);
static bool is_used (const gbd_config_t *config, const char *name);
static bool has_weight (const gbd_route_t *route);
static long long to_ms (gbd_time_t time);

gbd_config_t *
gbd_config_new (const json_t *fields, const gbd_config_names_t *names,
                size_t route_capacity, size_t service_capacity)
{
  gbd_config_t *config = calloc (1, sizeof *config);
  if (!config)
    return NULL;
  /* One entry more, as calloc() may return NULL for none. */
  config->routes = calloc (route_capacity + 1, sizeof *config->routes);
  config->services = calloc (service_capacity + 1, sizeof *config->services);
  config->fields = fields;
  config->names = names;
  if (config->routes && config->services)
    return config;
  gbd_config_delete (config);
  return NULL;
}

void
gbd_config_delete (gbd_config_t *config)
{
  if (!config)
    return;
  free (config->routes);
  free (config->services);
  free (config);
}

const gbd_config_route_t *
gbd_config_find_address (const gbd_config_t *config,
                         const gbd_address_t *address)
{
  for (uint32_t i = 0; i < config->route_count; i++)
    {
      const gbd_config_route_t *route = &config->routes[i];
      const gbd_address_t *other = &route->route.address;
      if (route->has_address && other->family == address->family
          && other->port == address->port
          && memcmp (other->ip, address->ip, sizeof other->ip) == 0)
        return route;
    }
  return NULL;
}

void
gbd_config_check (const gbd_config_t *config, gbd_findings_t *findings)
{
  for (uint32_t i = 0; i < config->route_count; i++)
    check_route (config, &config->routes[i], findings);
  for (uint32_t i = 0; i < config->service_count; i++)
    check_service (config, i, findings);
}

static void
check_route (const gbd_config_t *config, const gbd_config_route_t *route,
             gbd_findings_t *findings)
{
  check_times (config, route, findings);
  check_weights (route, findings);
}

static void
check_times (const gbd_config_t *config, const gbd_config_route_t *route,
             gbd_findings_t *findings)
{
  const gbd_config_names_t *names = config->names;
  const gbd_finding_subject_t subject = { "route", route->name };
  gbd_time_t goal = route->route.response_goal;
  gbd_time_t limit = route->route.time_limit;
  if (limit > 0 && goal > limit)
    gbd_findings_add (
        findings, GBD_FINDING_WARNING, "goal_above_limit", &subject,
        "lower the response-time goal or raise the time limit",
        "%s (%lld ms) is above %s (%lld ms), so that callers "
        "give up before the goal is missed",
        names->response_goal, to_ms (goal), names->time_limit, to_ms (limit));
  if (config->idle_timeout > 0 && config->idle_timeout < limit)
    gbd_findings_add (findings, GBD_FINDING_WARNING, "idle_timeout_too_short",
                      &subject,
                      "raise the idle time-out or lower the time limit",
                      "%s (%lld ms) is below %s (%lld ms), so that a flow may "
                      "be discarded while its caller waits for a response",
                      names->idle_timeout, to_ms (config->idle_timeout),
                      names->time_limit, to_ms (limit));
}

static void
check_weights (const gbd_config_route_t *route, gbd_findings_t *findings)
{
  const gbd_finding_subject_t subject = { "route", route->name };
  if (route->route.target_count == 0)
    return;
  if (!has_weight (&route->route))
    {
      gbd_findings_add (findings, GBD_FINDING_WARNING, "no_weight", &subject,
                        "give at least one service a weight above 0",
                        "all weights are 0, so that all flows go to the first "
                        "service, \"%s\"",
                        route->target_names[0]);
      return;
    }
  for (uint32_t i = 0; i < route->route.target_count; i++)
    {
      if (route->route.targets[i].weight == 0)
        gbd_findings_add (findings, GBD_FINDING_WARNING, "zero_weight",
                          &subject,
                          "remove the service from the route or give it a "
                          "weight above 0",
                          "service \"%s\" has weight 0 and gets no flows",
                          route->target_names[i]);
    }
}

static void
check_service (const gbd_config_t *config, uint32_t index,
               gbd_findings_t *findings)
{
  const gbd_config_service_t *service = &config->services[index];
  const gbd_finding_subject_t subject = { "service", service->name };
  for (uint32_t i = 0; i < index; i++)
    {
      if (strcmp (config->services[i].name, service->name) != 0)
        continue;
      gbd_findings_add (findings, GBD_FINDING_WARNING, "repeated_service",
                        &subject, "keep one of the entries",
                        "the service is listed more than once; only the last "
                        "entry has effect");
      break;
    }
  if (!is_used (config, service->name))
    gbd_findings_add (findings, GBD_FINDING_WARNING, "unused_service",
                      &subject,
                      "add a route to the service, or remove its entry",
                      "no route sends flows to the service");
  if (service->warm_up.rate > 0 && service->warm_up.duration == 0)
    gbd_findings_add (
        findings, GBD_FINDING_WARNING, "warm_up_rate_without_time", &subject,
        "state for how long a server is cold, or remove the "
        "rate",
        "%s is %g but %s is 0 or not stated", config->names->warm_up_rate,
        service->warm_up.rate, config->names->warm_up_time);
}

/* Mirrors gbd_route_choose(): without any weight, the first service gets all
   flows. */
static bool
is_used (const gbd_config_t *config, const char *name)
{
  gbd_service_id_t service = gbd_id_from_name (name);
  for (uint32_t i = 0; i < config->route_count; i++)
    {
      const gbd_route_t *route = &config->routes[i].route;
      for (uint32_t j = 0; j < route->target_count; j++)
        {
          bool is_chosen
              = has_weight (route) ? route->targets[j].weight > 0 : j == 0;
          if (is_chosen && route->targets[j].service == service)
            return true;
        }
    }
  return false;
}

static bool
has_weight (const gbd_route_t *route)
{
  for (uint32_t i = 0; i < route->target_count; i++)
    {
      if (route->targets[i].weight > 0)
        return true;
    }
  return false;
}

static long long
to_ms (gbd_time_t time)
{
  return (long long)(time / GBD_MILLISECOND);
}
