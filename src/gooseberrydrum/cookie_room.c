#include "cookie_room.h"

#include <math.h>
#include <stdio.h>

#define PERCENT 100

static void format_name (const gbd_director_t *director, gbd_service_id_t id,
                         char *name);
static void update_services (gbd_cookie_room_t *report,
                             const gbd_room_t *room);
static json_t *make_classes (const gbd_director_t *director, uint32_t index,
                             const double *least_shares);
static void log_change (gbd_cookie_room_service_t *reported, uint32_t index,
                        const gbd_director_t *director,
                        gbd_event_log_t *event_log, gbd_time_t now);
static json_int_t to_ms (gbd_time_t time);
static json_int_t to_percent (double share);

void
gbd_cookie_room_tick (gbd_cookie_room_t *report,
                      const gbd_director_t *director,
                      gbd_event_log_t *event_log, gbd_time_t now)
{
  const gbd_room_t *room = gbd_director_peek_room (director);
  const gbd_admission_control_t *admission
      = gbd_director_peek_admission (director);
  uint32_t count = gbd_room_get_service_count (room);
  update_services (report, room);
  for (uint32_t i = 0; i < count; i++)
    {
      const gbd_room_service_t *service = gbd_room_get_service (room, i);
      gbd_cookie_room_service_t *reported = &report->services[i];
      bool is_short = gbd_room_is_short (room, service->id, now);
      if (is_short != reported->is_short)
        log_change (reported, i, director, event_log, now);
      for (uint32_t j = 0; is_short && j < service->class_count; j++)
        reported->least_shares[j] = fmin (
            reported->least_shares[j],
            gbd_admission_get_service (admission, i)->classes[j].share);
    }
}

json_t *
gbd_cookie_room_describe (const gbd_director_t *director, gbd_time_t now)
{
  const gbd_room_t *room = gbd_director_peek_room (director);
  json_t *services = json_array ();
  uint32_t count = gbd_room_get_service_count (room);
  for (uint32_t i = 0; i < count; i++)
    {
      const gbd_room_service_t *service = gbd_room_get_service (room, i);
      if (service->last_response_at == GBD_TIME_NEVER)
        continue;
      gbd_room_rate_t rate = gbd_room_get_rate (room, i, GBD_ROOM_WINDOW, now);
      char name[GBD_NAME_MAX + 1];
      format_name (director, service->id, name);
      json_array_append_new (
          services,
          json_pack ("{s:s, s:b, s:i, s:i, s:I, s:I, s:I, s:o}", "service",
                     name, "short", gbd_room_is_short (room, service->id, now),
                     "responses", (int)rate.total, "short_responses",
                     (int)rate.short_count, "limited_flows",
                     (json_int_t)service->limited_flows, "wait_ms",
                     to_ms (service->wait), "evidence_age_ms",
                     to_ms (now - service->last_response_at), "classes",
                     make_classes (director, i, NULL)));
    }
  return services;
}

void
gbd_cookie_room_add_fields (json_t *fields, const gbd_director_t *director,
                            const gbd_director_decision_t *decision,
                            gbd_time_t now)
{
  if (decision->route == GBD_ROOM_ROUTE_NONE)
    return;
  const gbd_room_t *room = gbd_director_peek_room (director);
  uint32_t index = gbd_room_get_service_index (room, decision->route);
  uint32_t class = gbd_room_get_class_index (room, decision->route);
  const gbd_room_service_t *service = gbd_room_get_service (room, index);
  if (!gbd_room_is_short (room, service->id, now))
    return;
  const gbd_admission_service_t *admission = gbd_admission_get_service (
      gbd_director_peek_admission (director), index);
  json_object_set_new (fields, "priority",
                       json_integer (service->classes[class].priority));
  json_object_set_new (
      fields, "admitted_percent",
      json_integer (to_percent (admission->classes[class].share)));
}

void
gbd_cookie_room_add_counters (gbd_counters_t *counters,
                              const gbd_director_t *director, gbd_time_t now)
{
  const gbd_room_t *room = gbd_director_peek_room (director);
  const gbd_admission_control_t *admission
      = gbd_director_peek_admission (director);
  char value[GBD_NAME_MAX + 1];
  uint32_t count = gbd_room_get_service_count (room);
  for (uint32_t i = 0; i < count; i++)
    {
      const gbd_room_service_t *service = gbd_room_get_service (room, i);
      uint64_t responses = 0;
      uint64_t short_responses = 0;
      for (uint32_t j = 0; j < service->class_count; j++)
        {
          responses += service->classes[j].responses;
          short_responses += service->classes[j].short_responses;
        }
      format_name (director, service->id, value);
      gbd_counters_put (counters, "gooseberrydrum_responses_total",
                        "Responses seen of backend servers.",
                        GBD_COUNTER_MONOTONIC, "service", value, responses);
      gbd_counters_put (counters, "gooseberrydrum_short_responses_total",
                        "Responses seen of backend servers that were full.",
                        GBD_COUNTER_MONOTONIC, "service", value,
                        short_responses);
      gbd_counters_put (counters, "gooseberrydrum_room_short",
                        "1 while a service is short of room.",
                        GBD_COUNTER_GAUGE, "service", value,
                        gbd_room_is_short (room, service->id, now));
      double least = 1;
      for (uint32_t j = 0; j < service->class_count; j++)
        least = fmin (
            least, gbd_admission_get_service (admission, i)->classes[j].share);
      gbd_counters_put (counters, "gooseberrydrum_admitted_percent",
                        "Admitted share of the least urgent new flows.",
                        GBD_COUNTER_GAUGE, "service", value,
                        (uint64_t)to_percent (least));
    }
  gbd_admission_count_t counts[GBD_ADMISSION_PRIORITIES_MAX];
  uint32_t count_count = gbd_admission_get_counts (admission, counts);
  for (uint32_t i = 0; i < count_count; i++)
    {
      snprintf (value, sizeof value, "%u", counts[i].priority);
      gbd_counters_put (
          counters, "gooseberrydrum_turned_away_total",
          "New flows turned away because their service was short of "
          "room, by priority.",
          GBD_COUNTER_MONOTONIC, "priority", value, counts[i].turned_away);
    }
}

/* Writes the name of a service, or its identifier if the name is not known. */
static void
format_name (const gbd_director_t *director, gbd_service_id_t id, char *name)
{
  const gbd_routes_t *routes = gbd_director_get_routes (director);
  const char *known = routes ? gbd_routes_get_service_name (routes, id) : NULL;
  if (known)
    snprintf (name, GBD_NAME_MAX + 1, "%s", known);
  else
    snprintf (name, GBD_NAME_MAX + 1, "%llx", (unsigned long long)id);
}

/* Brings the reported services into the order of the room, which a new
   configuration may have changed. */
static void
update_services (gbd_cookie_room_t *report, const gbd_room_t *room)
{
  uint32_t count = gbd_room_get_service_count (room);
  uint32_t same = 0;
  while (same < count
         && report->services[same].service
                == gbd_room_get_service (room, same)->id)
    same++;
  if (same == count)
    return;
  const gbd_cookie_room_t old = *report;
  for (uint32_t i = same; i < count; i++)
    {
      gbd_service_id_t id = gbd_room_get_service (room, i)->id;
      report->services[i] = (gbd_cookie_room_service_t){ .service = id };
      for (uint32_t j = same; j < GBD_ROOM_SERVICES_MAX; j++)
        if (old.services[j].service == id)
          report->services[i] = old.services[j];
    }
  /* Services that are no longer configured are forgotten. */
  for (uint32_t i = count; i < GBD_ROOM_SERVICES_MAX; i++)
    report->services[i] = (gbd_cookie_room_service_t){ .service = 0 };
}

/* Describes the classes of a service.
   @param least_shares of each class, or NULL */
static json_t *
make_classes (const gbd_director_t *director, uint32_t index,
              const double *least_shares)
{
  const gbd_room_service_t *service
      = gbd_room_get_service (gbd_director_peek_room (director), index);
  const gbd_admission_service_t *admission = gbd_admission_get_service (
      gbd_director_peek_admission (director), index);
  json_t *classes = json_array ();
  for (uint32_t i = 0; i < service->class_count; i++)
    {
      const gbd_room_class_t *observed = &service->classes[i];
      const gbd_admission_class_t *class = &admission->classes[i];
      json_t *fields = json_pack (
          "{s:I, s:I, s:b, s:i, s:I, s:I, s:I, s:I}", "priority",
          (json_int_t)observed->priority, "goal_ms",
          to_ms (observed->response_goal), "idempotent",
          observed->is_idempotent, "rank", (int)class->rank, "work_ms",
          to_ms (observed->work), "admitted_percent",
          to_percent (class->share), "admitted", (json_int_t) class->admitted,
          "turned_away", (json_int_t) class->turned_away);
      if (least_shares)
        json_object_set_new (fields, "least_admitted_percent",
                             json_integer (to_percent (least_shares[i])));
      json_array_append_new (classes, fields);
    }
  return classes;
}

static void
log_change (gbd_cookie_room_service_t *reported, uint32_t index,
            const gbd_director_t *director, gbd_event_log_t *event_log,
            gbd_time_t now)
{
  const gbd_room_t *room = gbd_director_peek_room (director);
  char name[GBD_NAME_MAX + 1];
  format_name (director, reported->service, name);
  reported->is_short = !reported->is_short;
  if (reported->is_short)
    {
      gbd_room_rate_t rate
          = gbd_room_get_rate (room, index, GBD_ROOM_WINDOW, now);
      reported->short_since = now;
      for (uint32_t i = 0; i < GBD_ROOM_CLASSES_MAX; i++)
        reported->least_shares[i] = 1;
      gbd_event_log_emit (
          event_log, GBD_EVENT_ROOM_SHORT, now,
          json_pack ("{s:s, s:i, s:i, s:o}", "service", name, "responses",
                     (int)rate.total, "short_responses", (int)rate.short_count,
                     "classes", make_classes (director, index, NULL)));
      return;
    }
  gbd_event_log_emit (
      event_log, GBD_EVENT_ROOM_FOUND, now,
      json_pack ("{s:s, s:I, s:o}", "service", name, "short_ms",
                 to_ms (now - reported->short_since), "classes",
                 make_classes (director, index, reported->least_shares)));
}

static json_int_t
to_ms (gbd_time_t time)
{
  return (json_int_t)(time / GBD_MILLISECOND);
}

static json_int_t
to_percent (double share)
{
  return (json_int_t)lround (share * PERCENT);
}
