#include "gooseberrydrum/admission.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "gooseberrydrum/packet.h"

/* Responses at the target that are added to the measured ones, so that a few
   responses do not move the share much. */
#define PRIOR_RESPONSES 4
/* Target of an instance that turns nothing away.  It is below that of the
   others, so that instances that have started at different times come to
   similar shares. */
#define TARGET_START 0.02
/* Rise of the target with each further class that yields.  Without it, chance
   moves the levels of instances apart, and some turn urgent flows away while
   others admit flows of the last class. */
#define TARGET_RANK_STEP 0.05
/* Change of the level in a step for each unit of the error, if all flows are
   of the class that yields.  Short responses show 0.1 to 0.5 s after the
   decision that caused them, and callers that are turned away come back twice,
   so that higher gains oscillate. */
#define RISE_GAIN 0.16
#define RISE_MAX 0.2
/* Least share of the flows for which the gain is raised. */
#define FLOW_SHARE_MIN 0.3
/* Change of the level in a step without any short responses.  It is less in
   proportion to the square of the distance to the target. */
#define FALL_MAX 0.03
/* Share of the counted flows that is left after a step. */
#define FLOWS_DECAY 0.9
/* Steps in which admission opens from any level without evidence, or after an
   overload. */
#define OPENING_STEPS 20
/* Largest change of the share of a class in a step, also when the order of
   classes changes. */
#define SHARE_CHANGE_MAX 0.15
/* A class without a response for this time is not in use. */
#define USE_TIME (10 * GBD_SECOND)
/* Share of the responses that is left after a step; the sum extends over two
   seconds. */
#define RESPONSES_DECAY 0.95
/* Share of a class and the more urgent ones in the responses, above which the
   class may yield. */
#define YIELDING_LOAD_MIN 0.5
#define YIELD_MAX (1 - GBD_ADMISSION_FLOOR)
/* Flows that callers that come back may draw in advance. */
#define RETURN_CREDIT 2.0
#define CREDIT_MAX 2.0
/* A goal that cannot be met counts as met again below this share of it. */
#define GOAL_HYSTERESIS 0.8
#define WAYS 4 /* associativity of the table of callers */

typedef struct
{
  gbd_service_id_t id;
  uint64_t classes_id;
  uint32_t class_count;
  double level; /* sum of the shares turned away */
  gbd_admission_service_t public;
  /* Sums of all classes at the last step. */
  uint64_t responses;
  uint64_t short_responses;
  bool is_calm;                       /* an overload has ended */
  double flows[GBD_ROOM_CLASSES_MAX]; /* new flows, a decaying sum */
  double credits[GBD_ROOM_CLASSES_MAX];
  bool has_missed_goal[GBD_ROOM_CLASSES_MAX];
  uint32_t used_count;                            /* classes in use */
  bool is_used[GBD_ROOM_CLASSES_MAX];             /* had a response lately */
  gbd_time_t used_at[GBD_ROOM_CLASSES_MAX];       /* last response */
  uint64_t class_responses[GBD_ROOM_CLASSES_MAX]; /* at the last step */
  double recent[GBD_ROOM_CLASSES_MAX]; /* responses, a decaying sum */
  gbd_time_t admitted_at[GBD_ROOM_CLASSES_MAX];
} service_t;

typedef struct
{
  uint64_t key;
  gbd_time_t turned_away_at;
} caller_t;

struct gbd_admission_control
{
  const gbd_room_t *room;
  gbd_time_t stepped_at;
  uint32_t service_count;
  service_t services[GBD_ROOM_SERVICES_MAX];
  caller_t callers[GBD_ADMISSION_CALLERS_MAX];
  uint32_t count_count;
  gbd_admission_count_t counts[GBD_ADMISSION_PRIORITIES_MAX];
};

static bool is_subject (const gbd_admission_control_t *admission,
                        gbd_room_route_t route, gbd_time_t now);
static uint64_t get_caller_key (gbd_room_route_t route,
                                const gbd_address_t *caller);
static bool has_returned (const gbd_admission_control_t *admission,
                          uint64_t key, gbd_time_t now);
static void remember_caller (gbd_admission_control_t *admission, uint64_t key,
                             gbd_time_t now);
static void forget_caller (gbd_admission_control_t *admission, uint64_t key);
static void count_priority (gbd_admission_control_t *admission,
                            uint32_t priority);
static void step (gbd_admission_control_t *admission, uint32_t index,
                  gbd_time_t now);
static double compute_change (gbd_admission_control_t *admission,
                              uint32_t index, double level_max,
                              gbd_room_rate_t rate, gbd_time_t now);
static bool update_calm (gbd_admission_control_t *admission, uint32_t index,
                         gbd_time_t now);
static gbd_room_rate_t count_responses (service_t *service,
                                        const gbd_room_service_t *observed);
static double get_flow_share (const service_t *service);
static void find_used_classes (service_t *service,
                               const gbd_room_service_t *observed,
                               gbd_time_t now);
static double get_level_max (const service_t *service);
static void compute_ranks (service_t *service,
                           const gbd_room_service_t *observed);
static bool yields_before (const service_t *service,
                           const gbd_room_service_t *observed, uint32_t a,
                           uint32_t b);
static void open_service (service_t *service);

gbd_admission_control_t *
gbd_admission_new (const gbd_room_t *room)
{
  gbd_admission_control_t *admission = calloc (1, sizeof *admission);
  if (!admission)
    return NULL;
  admission->room = room;
  for (uint32_t i = 0; i < GBD_ADMISSION_CALLERS_MAX; i++)
    admission->callers[i].turned_away_at = GBD_TIME_NEVER;
  gbd_admission_update_routes (admission);
  return admission;
}

void
gbd_admission_delete (gbd_admission_control_t *admission)
{
  free (admission);
}

void
gbd_admission_update_routes (gbd_admission_control_t *admission)
{
  /* Without memory, all services start again. */
  service_t *old = malloc (sizeof admission->services);
  if (old)
    memcpy (old, admission->services, sizeof admission->services);
  uint32_t count = gbd_room_get_service_count (admission->room);
  for (uint32_t i = 0; i < count; i++)
    {
      service_t *service = &admission->services[i];
      const gbd_room_service_t *observed
          = gbd_room_get_service (admission->room, i);
      *service = (service_t){ .id = observed->id,
                              .classes_id = observed->classes_id,
                              .class_count = observed->class_count };
      for (uint32_t j = 0; j < GBD_ROOM_CLASSES_MAX; j++)
        service->used_at[j] = GBD_TIME_NEVER;
      open_service (service);
      compute_ranks (service, observed);
      for (uint32_t j = 0; old && j < admission->service_count; j++)
        if (old[j].id == service->id
            && old[j].classes_id == service->classes_id)
          *service = old[j];
    }
  admission->service_count = count;
  free (old);
}

bool
gbd_admission_admits (const gbd_admission_control_t *admission,
                      gbd_room_route_t route, const gbd_address_t *caller,
                      gbd_time_t now)
{
  if (!is_subject (admission, route, now))
    return true;
  const service_t *service
      = &admission
             ->services[gbd_room_get_service_index (admission->room, route)];
  uint32_t class = gbd_room_get_class_index (admission->room, route);
  double share = service->public.classes[class].share;
  if (share >= 1
      || now - service->admitted_at[class] >= GBD_ADMISSION_STARVATION_TIME)
    return true;
  double credit = service->credits[class] + share;
  if (credit >= 1)
    return true;
  return credit >= 1 - RETURN_CREDIT
         && has_returned (admission, get_caller_key (route, caller), now);
}

void
gbd_admission_record (gbd_admission_control_t *admission,
                      gbd_room_route_t route, const gbd_address_t *caller,
                      bool is_admitted, gbd_time_t now)
{
  if (route == GBD_ROOM_ROUTE_NONE)
    return;
  uint32_t index = gbd_room_get_service_index (admission->room, route);
  uint32_t class = gbd_room_get_class_index (admission->room, route);
  service_t *service = &admission->services[index];
  service->flows[class]++;
  if (!is_subject (admission, route, now))
    return;
  gbd_admission_class_t *state = &service->public.classes[class];
  uint64_t key = get_caller_key (route, caller);
  service->credits[class] += state->share - is_admitted;
  if (service->credits[class] > CREDIT_MAX)
    service->credits[class] = CREDIT_MAX;
  if (service->credits[class] < -RETURN_CREDIT)
    service->credits[class] = -RETURN_CREDIT;
  if (is_admitted)
    {
      state->admitted++;
      service->admitted_at[class] = now;
      forget_caller (admission, key);
      return;
    }
  state->turned_away++;
  count_priority (
      admission,
      gbd_room_get_service (admission->room, index)->classes[class].priority);
  remember_caller (admission, key, now);
}

void
gbd_admission_tick (gbd_admission_control_t *admission, gbd_time_t now)
{
  if (now - admission->stepped_at < GBD_ADMISSION_STEP_TIME)
    return;
  /* Ticks are late by some milliseconds; steps keep their mean distance. */
  admission->stepped_at += GBD_ADMISSION_STEP_TIME;
  if (now - admission->stepped_at >= GBD_ADMISSION_STEP_TIME)
    admission->stepped_at = now;
  uint32_t count = gbd_room_get_service_count (admission->room);
  for (uint32_t i = 0; i < count; i++)
    {
      step (admission, i, now);
      for (uint32_t j = 0; j < GBD_ROOM_CLASSES_MAX; j++)
        admission->services[i].flows[j] *= FLOWS_DECAY;
    }
}

const gbd_admission_service_t *
gbd_admission_get_service (const gbd_admission_control_t *admission,
                           uint32_t index)
{
  return &admission->services[index].public;
}

uint32_t
gbd_admission_get_counts (const gbd_admission_control_t *admission,
                          gbd_admission_count_t *counts)
{
  for (uint32_t i = 0; i < admission->count_count; i++)
    counts[i] = admission->counts[i];
  return admission->count_count;
}

/* Whether flows of a route may be turned away. */
static bool
is_subject (const gbd_admission_control_t *admission, gbd_room_route_t route,
            gbd_time_t now)
{
  if (route == GBD_ROOM_ROUTE_NONE)
    return false;
  const service_t *service
      = &admission
             ->services[gbd_room_get_service_index (admission->room, route)];
  return service->public.is_active
         && gbd_room_is_short (admission->room, service->id, now);
}

static uint64_t
get_caller_key (gbd_room_route_t route, const gbd_address_t *caller)
{
  gbd_flow_t flow = { .caller = *caller };
  flow.caller.port = 0;
  return gbd_flow_hash (&flow, route);
}

static bool
has_returned (const gbd_admission_control_t *admission, uint64_t key,
              gbd_time_t now)
{
  const caller_t *set
      = &admission->callers[key % GBD_ADMISSION_CALLERS_MAX / WAYS * WAYS];
  for (uint32_t i = 0; i < WAYS; i++)
    if (set[i].key == key
        && now - set[i].turned_away_at <= GBD_ADMISSION_RETURN_TIME)
      return true;
  return false;
}

static void
remember_caller (gbd_admission_control_t *admission, uint64_t key,
                 gbd_time_t now)
{
  caller_t *set
      = &admission->callers[key % GBD_ADMISSION_CALLERS_MAX / WAYS * WAYS];
  caller_t *oldest = set;
  for (uint32_t i = 0; i < WAYS; i++)
    {
      if (set[i].key == key)
        {
          oldest = &set[i];
          break;
        }
      if (set[i].turned_away_at < oldest->turned_away_at)
        oldest = &set[i];
    }
  *oldest = (caller_t){ .key = key, .turned_away_at = now };
}

static void
forget_caller (gbd_admission_control_t *admission, uint64_t key)
{
  caller_t *set
      = &admission->callers[key % GBD_ADMISSION_CALLERS_MAX / WAYS * WAYS];
  for (uint32_t i = 0; i < WAYS; i++)
    if (set[i].key == key)
      set[i].turned_away_at = GBD_TIME_NEVER;
}

static void
count_priority (gbd_admission_control_t *admission, uint32_t priority)
{
  uint32_t i = 0;
  while (i < admission->count_count
         && admission->counts[i].priority != priority)
    i++;
  if (i == GBD_ADMISSION_PRIORITIES_MAX)
    i--;
  if (i == admission->count_count)
    admission->counts[admission->count_count++].priority = priority;
  admission->counts[i].turned_away++;
}

/* Runs one step of the control loop of a service. */
static void
step (gbd_admission_control_t *admission, uint32_t index, gbd_time_t now)
{
  service_t *service = &admission->services[index];
  const gbd_room_service_t *observed
      = gbd_room_get_service (admission->room, index);
  gbd_room_rate_t rate = count_responses (service, observed);
  find_used_classes (service, observed, now);
  if (service->class_count < 2
      || !gbd_room_is_short (admission->room, service->id, now))
    {
      open_service (service);
      return;
    }
  compute_ranks (service, observed);
  double level_max = get_level_max (service);
  service->level += compute_change (admission, index, level_max, rate, now);
  if (service->level < 0)
    service->level = 0;
  if (service->level > level_max)
    service->level = level_max;
  service->public.is_active = false;
  for (uint32_t i = 0; i < service->class_count; i++)
    {
      gbd_admission_class_t *class = &service->public.classes[i];
      double before
          = ((double)service->used_count - 1 - class->rank) * YIELD_MAX;
      double yield = service->is_used[i] ? service->level - before : 0;
      yield = yield < 0 ? 0 : yield > YIELD_MAX ? YIELD_MAX : yield;
      double change = 1 - yield - class->share;
      if (change > SHARE_CHANGE_MAX)
        change = SHARE_CHANGE_MAX;
      if (change < -SHARE_CHANGE_MAX)
        change = -SHARE_CHANGE_MAX;
      class->share += change;
      if (class->share < 1)
        service->public.is_active = true;
    }
}

/* Counts the responses since the last step. */
static gbd_room_rate_t
count_responses (service_t *service, const gbd_room_service_t *observed)
{
  uint64_t responses = 0;
  uint64_t short_responses = 0;
  for (uint32_t i = 0; i < observed->class_count; i++)
    {
      responses += observed->classes[i].responses;
      short_responses += observed->classes[i].short_responses;
    }
  const gbd_room_rate_t rate = {
    .total = (uint32_t)(responses - service->responses),
    .short_count = (uint32_t)(short_responses - service->short_responses),
  };
  service->responses = responses;
  service->short_responses = short_responses;
  return rate;
}

/* Whether an overload has ended: requests hardly wait for slots, and there has
   been no short response for a second.  It stays so until the next short
   response, as the wait at half of the load varies. */
static bool
update_calm (gbd_admission_control_t *admission, uint32_t index,
             gbd_time_t now)
{
  service_t *service = &admission->services[index];
  if (gbd_room_get_rate (admission->room, index, GBD_ROOM_WINDOW, now)
          .short_count
      > 0)
    service->is_calm = false;
  else if (!gbd_room_has_wait (admission->room, index))
    service->is_calm = true;
  return service->is_calm;
}

/* Returns the change of the level in this step.
   @param rate of the responses since the last step.  Those of a longer time
   would make the control loop slower and less stable. */
static double
compute_change (gbd_admission_control_t *admission, uint32_t index,
                double level_max, gbd_room_rate_t rate, gbd_time_t now)
{
  const service_t *service = &admission->services[index];
  bool is_calm = update_calm (admission, index, now);
  if (is_calm
      || gbd_room_get_rate (admission->room, index, GBD_ROOM_WINDOW, now).total
             == 0)
    return -level_max / OPENING_STEPS;
  double full = floor (service->level / YIELD_MAX);
  double progress = service->level / YIELD_MAX - full;
  double target = TARGET_START + full * TARGET_RANK_STEP
                  + progress * (GBD_ADMISSION_TARGET - TARGET_START);
  double share = (rate.short_count + PRIOR_RESPONSES * target)
                 / (rate.total + PRIOR_RESPONSES);
  double error = share - target;
  if (error >= 0)
    return fmin (error * RISE_GAIN / get_flow_share (service), RISE_MAX);
  double distance = error / target;
  return -FALL_MAX * distance * distance;
}

/* Returns the share of the class that yields at present in the new flows. */
static double
get_flow_share (const service_t *service)
{
  double total = 0;
  double yielding = 0;
  uint32_t full = (uint32_t)(service->level / YIELD_MAX);
  for (uint32_t i = 0; i < service->class_count; i++)
    {
      total += service->flows[i];
      if (service->is_used[i]
          && service->public.classes[i].rank + full + 1 == service->used_count)
        yielding = service->flows[i];
    }
  return total > 0 ? fmax (yielding / total, FLOW_SHARE_MIN) : 1;
}

/* Determines which classes are in use.  A configuration may have many routes
   without requests, whose classes must not stand between those that have
   some. */
static void
find_used_classes (service_t *service, const gbd_room_service_t *observed,
                   gbd_time_t now)
{
  service->used_count = 0;
  for (uint32_t i = 0; i < service->class_count; i++)
    {
      uint64_t responses = observed->classes[i].responses;
      uint64_t added = responses - service->class_responses[i];
      service->class_responses[i] = responses;
      service->recent[i]
          = service->recent[i] * RESPONSES_DECAY + (double)added;
      if (added > 0)
        service->used_at[i] = now;
      service->is_used[i] = now - service->used_at[i] < USE_TIME;
      service->used_count += service->is_used[i];
    }
}

/* Returns the highest level.  A class yields only if it and the more urgent
   ones are most of the load.  Otherwise the requests of open flows, which
   cannot be turned away, would keep the servers full and push the urgent ones
   out. */
static double
get_level_max (const service_t *service)
{
  double total = 0;
  for (uint32_t i = 0; i < service->class_count; i++)
    total += service->recent[i];
  uint32_t yielding_count = 0;
  for (uint32_t i = 0; i < service->class_count; i++)
    {
      double urgent = 0;
      for (uint32_t j = 0; j < service->class_count; j++)
        if (service->public.classes[j].rank <= service->public.classes[i].rank)
          urgent += service->recent[j];
      yielding_count
          += service->is_used[i] && urgent > total * YIELDING_LOAD_MIN;
    }
  return YIELD_MAX * yielding_count;
}

/* Orders the classes in use; rank 0 yields last. */
static void
compute_ranks (service_t *service, const gbd_room_service_t *observed)
{
  for (uint32_t i = 0; i < service->class_count; i++)
    {
      const gbd_room_class_t *class = &observed->classes[i];
      double time = (double)(class->work + observed->wait);
      double limit = (double)class->response_goal
                     * (service->has_missed_goal[i] ? GOAL_HYSTERESIS : 1);
      service->has_missed_goal[i] = class->response_goal && time > limit;
    }
  for (uint32_t i = 0; i < service->class_count; i++)
    {
      uint32_t rank = 0;
      for (uint32_t j = 0; j < service->class_count; j++)
        rank += j != i && service->is_used[j]
                && yields_before (service, observed, i, j);
      service->public.classes[i].rank = rank;
    }
}

/* Whether class a yields before class b. */
static bool
yields_before (const service_t *service, const gbd_room_service_t *observed,
               uint32_t a, uint32_t b)
{
  const gbd_room_class_t *class_a = &observed->classes[a];
  const gbd_room_class_t *class_b = &observed->classes[b];
  if (class_a->priority != class_b->priority)
    return class_a->priority > class_b->priority;
  if (service->has_missed_goal[a] != service->has_missed_goal[b])
    return service->has_missed_goal[a];
  if (class_a->response_goal != class_b->response_goal)
    return !class_a->response_goal
           || (class_b->response_goal
               && class_a->response_goal > class_b->response_goal);
  if (class_a->work != class_b->work)
    return class_a->work > class_b->work;
  return a > b;
}

/* Admits all flows of a service. */
static void
open_service (service_t *service)
{
  service->level = 0;
  service->public.is_active = false;
  for (uint32_t i = 0; i < GBD_ROOM_CLASSES_MAX; i++)
    {
      service->public.classes[i].share = 1;
      service->credits[i] = 0;
      service->admitted_at[i] = GBD_TIME_NEVER;
    }
}
