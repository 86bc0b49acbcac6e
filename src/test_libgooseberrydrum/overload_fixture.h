/** @file overload_fixture.h
 *  Replays an overload in miniature: callers with retries, instances with
 *  room and admission, and backend servers with slots and a queue.  Time
 *  advances in milliseconds.
 */
#ifndef TEST_OVERLOAD_FIXTURE_H
#define TEST_OVERLOAD_FIXTURE_H

#include "director_fixture.h"

#include <math.h>
#include <stdlib.h>

#include "gooseberrydrum/admission.h"

#define KINDS_MAX 3
#define INSTANCES_MAX 12
#define SERVERS_MAX 24
#define SLOTS 2
#define QUEUE 8
#define ATTEMPTS_MAX 3
#define DURATION_MAX_MS 40000
#define HEAD_MS 3 /* from the caller to the server */
/* Until the acknowledgment of a full server's response arrives. */
#define FULL_RESPONSE_MIN_MS 60
#define FULL_RESPONSE_MAX_MS 170
/* Until a caller knows that its attempt has failed, and makes the next one. */
#define RETRY_MS 5

/* Requests of one route. */
typedef struct
{
  uint32_t priority;
  uint32_t goal_ms;
  bool is_idempotent;
  uint32_t work_ms;
  uint32_t share; /* of the requests */
  double worth;
} kind_t;

typedef struct
{
  kind_t kinds[KINDS_MAX];
  uint32_t kind_count;
  double demand; /* in multiples of the slots */
  uint32_t duration_ms;
  uint32_t calm_ms; /* after the overload: demand of half the slots */
  uint32_t instances;
  uint32_t servers;
  uint32_t tick_ms;    /* after each 0.1 s, when the control loops step */
  uint32_t restart_ms; /* when the first instance restarts; 0: never */
  bool has_admission;
  uint64_t seed;
} overload_t;

typedef struct
{
  uint32_t requests;
  uint32_t served;
  uint32_t attempts;
  uint32_t refused; /* attempts, by full servers */
  uint32_t turned_away;
  uint32_t turned_away_calm; /* later than 3 s after the overload */
  uint32_t longest_gap_ms;   /* without an admitted attempt at an instance */
} kind_result_t;

typedef struct
{
  kind_result_t kinds[KINDS_MAX];
  double goodput; /* worth of the requests served */
  uint32_t attempts;
  uint32_t refused;
  uint32_t turned_away;
  /* Admitted share of the last class at the first instance, over the second
     half of the overload. */
  double share_min;
  double share_max;
  double share_after_restart; /* the same, 1 s after a restart */
  bool is_short_after_restart;
  uint32_t swings; /* changes of direction by more than 0.3 */
} overload_result_t;

typedef enum
{
  EVENT_ATTEMPT,
  EVENT_ARRIVAL, /* at a server */
  EVENT_DONE,    /* a server has completed a request */
  EVENT_RESPONSE /* its acknowledgment passes the instance */
} event_kind_t;

typedef struct event
{
  struct event *next;
  event_kind_t event;
  uint8_t kind;
  uint8_t attempt;
  uint16_t instance;
  uint16_t server;
  uint32_t caller;
  uint32_t sent_ms;
  uint32_t bytes;
} event_t;

typedef struct
{
  gbd_room_t *room;
  gbd_admission_control_t *admission;
  uint32_t waiting[SERVERS_MAX];
  uint32_t admitted_ms[KINDS_MAX];
} fake_instance_t;

typedef struct
{
  uint32_t busy;
  event_t *head; /* queue */
  event_t *tail;
  uint32_t queued;
} fake_server_t;

typedef struct
{
  const overload_t *load;
  overload_result_t *result;
  gbd_routes_t *routes;
  uint64_t random;
  fake_instance_t instances[INSTANCES_MAX];
  fake_server_t servers[SERVERS_MAX];
  event_t *events[DURATION_MAX_MS];
  gbd_room_route_t handles[KINDS_MAX];
  uint32_t now_ms;
  double last_extreme;
  int direction;
} replay_t;

static inline uint32_t
draw (replay_t *replay, uint32_t limit)
{
  replay->random
      = replay->random * 6364136223846793005u + 1442695040888963407u;
  return limit ? (uint32_t)((replay->random >> 33) % limit) : 0;
}

static inline gbd_time_t
get_now (const replay_t *replay)
{
  return START + replay->now_ms * GBD_MILLISECOND;
}

static inline void
schedule (replay_t *replay, event_t event, uint32_t delay_ms)
{
  uint32_t at = replay->now_ms + delay_ms;
  if (at >= DURATION_MAX_MS)
    return;
  event_t *copy = malloc (sizeof *copy);
  assert_non_null (copy);
  *copy = event;
  copy->next = replay->events[at];
  replay->events[at] = copy;
}

static inline gbd_address_t
get_caller (uint32_t caller)
{
  gbd_address_t address = { .family = 4, .port = 1 };
  memcpy (address.ip, &caller, sizeof caller);
  return address;
}

static inline void
fail_attempt (replay_t *replay, const event_t *event, uint32_t delay_ms)
{
  event_t next = *event;
  next.event = EVENT_ATTEMPT;
  next.attempt++;
  if (next.attempt < ATTEMPTS_MAX)
    schedule (replay, next, delay_ms);
}

static inline void
attempt (replay_t *replay, const event_t *event)
{
  event_t sent = *event;
  kind_result_t *result = &replay->result->kinds[event->kind];
  sent.instance = (uint16_t)draw (replay, replay->load->instances);
  fake_instance_t *instance = &replay->instances[sent.instance];
  gbd_room_route_t route = replay->handles[event->kind];
  gbd_address_t caller = get_caller (event->caller);
  gbd_time_t now = get_now (replay);
  result->attempts++;
  if (replay->load->has_admission)
    {
      bool is_admitted
          = gbd_admission_admits (instance->admission, route, &caller, now);
      gbd_admission_record (instance->admission, route, &caller, is_admitted,
                            now);
      uint32_t gap = replay->now_ms - instance->admitted_ms[event->kind];
      if (gap > result->longest_gap_ms)
        result->longest_gap_ms = gap;
      if (!is_admitted)
        {
          result->turned_away++;
          if (replay->now_ms > replay->load->duration_ms + 3000)
            result->turned_away_calm++;
          fail_attempt (replay, event, RETRY_MS);
          return;
        }
      instance->admitted_ms[event->kind] = replay->now_ms;
    }
  uint32_t first = draw (replay, replay->load->servers);
  uint32_t best = first;
  for (uint32_t i = 0; i < replay->load->servers; i++)
    {
      uint32_t server = (first + i) % replay->load->servers;
      if (instance->waiting[server] < instance->waiting[best])
        best = server;
    }
  sent.server = (uint16_t)best;
  sent.sent_ms = replay->now_ms;
  sent.event = EVENT_ARRIVAL;
  instance->waiting[best]++;
  schedule (replay, sent, HEAD_MS);
}

static inline void
start_work (replay_t *replay, const event_t *event)
{
  event_t done = *event;
  done.event = EVENT_DONE;
  replay->servers[event->server].busy++;
  uint32_t work = replay->load->kinds[event->kind].work_ms;
  schedule (replay, done, work / 2 + draw (replay, work + 1));
}

static inline void
arrive (replay_t *replay, const event_t *event)
{
  fake_server_t *server = &replay->servers[event->server];
  if (server->busy < SLOTS)
    {
      start_work (replay, event);
      return;
    }
  if (server->queued == QUEUE)
    {
      event_t response = *event;
      response.event = EVENT_RESPONSE;
      response.bytes = 121 + draw (replay, 6);
      replay->result->kinds[event->kind].refused++;
      schedule (
          replay, response,
          FULL_RESPONSE_MIN_MS
              + draw (replay, FULL_RESPONSE_MAX_MS - FULL_RESPONSE_MIN_MS));
      fail_attempt (replay, event, RETRY_MS);
      return;
    }
  event_t *waiting = malloc (sizeof *waiting);
  assert_non_null (waiting);
  *waiting = *event;
  waiting->next = NULL;
  if (server->tail)
    server->tail->next = waiting;
  else
    server->head = waiting;
  server->tail = waiting;
  server->queued++;
}

static inline void
finish_work (replay_t *replay, const event_t *event)
{
  fake_server_t *server = &replay->servers[event->server];
  event_t response = *event;
  response.event = EVENT_RESPONSE;
  response.bytes = 700 + draw (replay, 1701);
  schedule (replay, response, HEAD_MS);
  server->busy--;
  event_t *next = server->head;
  if (!next)
    return;
  server->head = next->next;
  if (!server->head)
    server->tail = NULL;
  server->queued--;
  start_work (replay, next);
  free (next);
}

static inline void
respond (replay_t *replay, const event_t *event)
{
  fake_instance_t *instance = &replay->instances[event->instance];
  gbd_time_t duration = (replay->now_ms - event->sent_ms) * GBD_MILLISECOND;
  instance->waiting[event->server]--;
  gbd_room_record_response (instance->room, replay->handles[event->kind],
                            event->bytes, duration, get_now (replay));
  if (event->bytes < 700)
    return;
  replay->result->kinds[event->kind].served++;
  replay->result->goodput += replay->load->kinds[event->kind].worth;
}

/* Starts the requests of one millisecond. */
static inline void
start_requests (replay_t *replay, double *due, uint32_t *caller)
{
  const overload_t *load = replay->load;
  uint32_t shares = 0;
  double work = 0;
  for (uint32_t i = 0; i < load->kind_count; i++)
    {
      shares += load->kinds[i].share;
      work += load->kinds[i].share * load->kinds[i].work_ms;
    }
  double demand = replay->now_ms < load->duration_ms ? load->demand : 0.5;
  *due += demand * load->servers * SLOTS / (work / shares);
  while (*due >= 1)
    {
      *due -= 0.5 + draw (replay, 1000) / 1000.0;
      uint32_t choice = draw (replay, shares);
      event_t event = { .event = EVENT_ATTEMPT, .caller = ++*caller };
      while (choice >= load->kinds[event.kind].share)
        choice -= load->kinds[event.kind++].share;
      replay->result->kinds[event.kind].requests++;
      schedule (replay, event, 0);
    }
}

static inline void
observe_share (replay_t *replay)
{
  const gbd_admission_service_t *service
      = gbd_admission_get_service (replay->instances[0].admission, 0);
  overload_result_t *result = replay->result;
  double share = service->classes[replay->load->kind_count - 1].share;
  if (replay->now_ms == replay->load->restart_ms + 1000)
    {
      result->share_after_restart = share;
      result->is_short_after_restart
          = gbd_room_is_short (replay->instances[0].room,
                               gbd_id_from_name ("web"), get_now (replay));
    }
  if (replay->now_ms < replay->load->duration_ms / 2
      || replay->now_ms >= replay->load->duration_ms)
    {
      replay->last_extreme = share;
      return;
    }
  result->share_min = fmin (result->share_min, share);
  result->share_max = fmax (result->share_max, share);
  int direction = share > replay->last_extreme ? 1 : -1;
  if (direction == replay->direction)
    replay->last_extreme = share;
  else if (fabs (share - replay->last_extreme) > 0.3)
    {
      result->swings++;
      replay->direction = direction;
      replay->last_extreme = share;
    }
}

static inline void
start_instance (const replay_t *replay, fake_instance_t *instance)
{
  instance->room = gbd_room_new ();
  assert_non_null (instance->room);
  gbd_room_set_routes (instance->room, replay->routes);
  instance->admission = gbd_admission_new (instance->room);
  assert_non_null (instance->admission);
}

static inline void
stop_instance (fake_instance_t *instance)
{
  gbd_admission_delete (instance->admission);
  gbd_room_delete (instance->room);
}

static inline void
restart_instance (const replay_t *replay, fake_instance_t *instance)
{
  stop_instance (instance);
  start_instance (replay, instance);
}

static inline void
set_up (replay_t *replay)
{
  const overload_t *load = replay->load;
  replay->routes = gbd_routes_new (1);
  gbd_route_t route = { .address = parse_address ("198.18.0.1:443"),
                        .target_count = 1,
                        .targets = { { gbd_id_from_name ("web"), 1 } } };
  for (uint32_t i = 0; i < load->kind_count; i++)
    {
      route.address.port = (uint16_t)(443 + i);
      route.priority = load->kinds[i].priority;
      route.is_idempotent = load->kinds[i].is_idempotent;
      route.response_goal = load->kinds[i].goal_ms * GBD_MILLISECOND;
      assert_int_equal (gbd_routes_add (replay->routes, &route), GBD_OK);
    }
  for (uint32_t i = 0; i < load->instances; i++)
    start_instance (replay, &replay->instances[i]);
  for (uint32_t i = 0; i < load->kind_count; i++)
    {
      route.address.port = (uint16_t)(443 + i);
      replay->handles[i] = gbd_room_find_route (
          replay->instances[0].room, &route.address, gbd_id_from_name ("web"));
      assert_int_not_equal (replay->handles[i], GBD_ROOM_ROUTE_NONE);
    }
}

static inline void
clean_up (replay_t *replay)
{
  for (uint32_t i = 0; i < replay->load->instances; i++)
    stop_instance (&replay->instances[i]);
  gbd_routes_delete (replay->routes);
}

static inline void
print_result (const overload_t *load, const overload_result_t *result)
{
  print_message ("admission %d: goodput %.0f, attempts %u, refused %u, turned "
                 "away %u, share %.2f to %.2f, swings %u\n",
                 load->has_admission, result->goodput, result->attempts,
                 result->refused, result->turned_away, result->share_min,
                 result->share_max, result->swings);
  for (uint32_t i = 0; i < load->kind_count; i++)
    print_message ("  priority %u: served %.3f of %u, longest gap %u ms\n",
                   load->kinds[i].priority,
                   result->kinds[i].served / (double)result->kinds[i].requests,
                   result->kinds[i].requests, result->kinds[i].longest_gap_ms);
}

static inline overload_result_t
replay_overload (const overload_t *load)
{
  static replay_t replay;
  overload_result_t result = { .share_min = 1 };
  double due = 0;
  uint32_t caller = 0;
  uint32_t end_ms = load->duration_ms + load->calm_ms;
  memset (&replay, 0, sizeof replay);
  replay.load = load;
  replay.result = &result;
  replay.random = 20261203 + load->seed;
  set_up (&replay);
  /* Requests in progress at the end are completed. */
  for (; replay.now_ms < end_ms + 1000; replay.now_ms++)
    {
      if (replay.now_ms < end_ms)
        start_requests (&replay, &due, &caller);
      event_t *event;
      while ((event = replay.events[replay.now_ms]))
        {
          replay.events[replay.now_ms] = event->next;
          if (event->event == EVENT_ATTEMPT)
            attempt (&replay, event);
          else if (event->event == EVENT_ARRIVAL)
            arrive (&replay, event);
          else if (event->event == EVENT_DONE)
            finish_work (&replay, event);
          else
            respond (&replay, event);
          free (event);
        }
      if (replay.now_ms % 100 != load->tick_ms)
        continue;
      if (load->restart_ms && replay.now_ms == load->restart_ms)
        restart_instance (&replay, &replay.instances[0]);
      for (uint32_t i = 0; i < load->instances; i++)
        gbd_admission_tick (replay.instances[i].admission, get_now (&replay));
      observe_share (&replay);
    }
  clean_up (&replay);
  for (uint32_t i = 0; i < load->kind_count; i++)
    {
      result.attempts += result.kinds[i].attempts;
      result.refused += result.kinds[i].refused;
      result.turned_away += result.kinds[i].turned_away;
    }
  print_result (load, &result);
  return result;
}

#endif
