/** @file acceptance_fixture.h
 *  An accepted object with one fault a call, and operators who change it.
 */
#ifndef TEST_ACCEPTANCE_FIXTURE_H
#define TEST_ACCEPTANCE_FIXTURE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gooseberrydrum/acceptance.h"

#define PLANS_TEXT                                                            \
  "{\"plans\":[{\"name\":\"p\",\"services\":[\"visitas\",\"acervo\"],"        \
  "\"open_flows\":10,\"new_flows_per_second\":10,\"idle_limit_s\":60,"        \
  "\"balance_percent\":%d}]}"
#define CUSTOMERS_TEXT                                                        \
  "{\"customers\":[{\"name\":\"c\",\"plan\":\"p\",\"services\":["             \
  "{\"service\":\"visitas\",\"addresses\":[\"10.1.0.%d:443\"]}]}]}"

/** What happens at one call:
 *  k  it works
 *  d  the platform is down: no effect
 *  l  the answer is lost after the effect
 *  n  the request is lost: no effect, which the caller cannot tell
 *  t  as n, but the request arrives late, after the next call
 *  s  a read shows the version before the present one
 *  g  a read is garbled
 *  o  another operator changes the same list just before; then it works
 *  p  another operator changes the other list just before; then it works
 *  q  as o, but the answer is lost as well */
#define FAULTS "kdlntsgopq"

typedef struct
{
  uint64_t version;
  json_t *value;
  json_t *before; /* the value of an older version */
  uint64_t before_version;
  json_t *late; /* a write that has not arrived yet */
  uint64_t late_version;
  int writes;
  int others;        /* changes of other operators */
  json_t *last[2];   /* newest accepted value of each list */
  bool has_reverted; /* an accepted change was lost */
} platform_t;

static inline json_t *
make_list (gbd_list_t list, int number)
{
  char text[512];
  if (list == GBD_LIST_PLANS)
    snprintf (text, sizeof text, PLANS_TEXT, number % 101);
  else
    snprintf (text, sizeof text, CUSTOMERS_TEXT, number % 250 + 1);
  return json_loads (text, 0, NULL);
}

/* A conditional update, as the platform does it. */
static inline bool
platform_put (platform_t *platform, uint64_t version, json_t *value)
{
  if (version != platform->version)
    return false;
  uint64_t generation = gbd_accepted_get_generation (value);
  if (generation != gbd_accepted_get_generation (platform->value) + 1)
    platform->has_reverted = true;
  json_decref (platform->before);
  platform->before = platform->value;
  platform->before_version = platform->version;
  platform->value = json_incref (value);
  platform->version += 3;
  platform->writes++;

  /* The other list must be as it was accepted last. */
  const json_t *entry = gbd_accepted_find_generation (value, generation);
  const char *name = json_string_value (json_object_get (entry, "list"));
  for (int i = 0; i < GBD_LIST_COUNT; i++)
    {
      json_t *list = (json_t *)gbd_accepted_get_list (value, (gbd_list_t)i);
      if (name && strcmp (name, gbd_list_strings[i]) == 0)
        {
          json_decref (platform->last[i]);
          platform->last[i] = json_incref (list);
        }
      else if (platform->last[i] && !json_equal (platform->last[i], list))
        platform->has_reverted = true;
    }
  return true;
}

static inline void
platform_change (platform_t *platform, gbd_list_t list)
{
  char id[32];
  int number = 100 + platform->others++;
  snprintf (id, sizeof id, "other-%d", number);
  gbd_change_t change = { list, id, "joao", "then" };
  json_t *value = make_list (list, number);
  json_t *next = gbd_accepted_make_next (platform->value, &change, value);
  platform_put (platform, platform->version, next);
  json_decref (next);
  json_decref (value);
}

static inline void
platform_arrive_late (platform_t *platform)
{
  json_t *late = platform->late;
  platform->late = NULL;
  if (late)
    platform_put (platform, platform->late_version, late);
  json_decref (late);
}

static inline void
platform_read (platform_t *platform, gbd_acceptance_t *acceptance, char fault,
               gbd_time_t now)
{
  if (fault == 'g')
    gbd_acceptance_receive (acceptance, GBD_ERROR_FORMAT, 0, NULL, now);
  else if (strchr ("dlnt", fault))
    gbd_acceptance_receive (acceptance, GBD_ERROR_UNAVAILABLE, 0, NULL, now);
  else
    {
      bool is_stale = fault == 's' && platform->before;
      json_t *value = is_stale ? platform->before : platform->value;
      uint64_t version
          = is_stale ? platform->before_version : platform->version;
      gbd_acceptance_receive (acceptance, value ? GBD_OK : GBD_ERROR_NOT_FOUND,
                              version, value, now);
    }
}

static inline void
platform_write (platform_t *platform, gbd_acceptance_t *acceptance, char fault,
                gbd_time_t now)
{
  uint64_t version = gbd_acceptance_get_version (acceptance);
  json_t *value = gbd_acceptance_get_value (acceptance);
  gbd_status_t status = GBD_ERROR_UNKNOWN;
  if (fault == 'd')
    status = GBD_ERROR_UNAVAILABLE;
  else if (fault == 't')
    {
      json_decref (platform->late);
      platform->late = json_incref (value);
      platform->late_version = version;
    }
  else if (fault != 'n')
    {
      bool is_written = platform_put (platform, version, value);
      if (!strchr ("lqg", fault))
        status = is_written ? GBD_OK : GBD_ERROR_CONFLICT;
    }
  gbd_acceptance_receive (
      acceptance, status, platform->version,
      status == GBD_ERROR_CONFLICT ? platform->value : NULL, now);
}

/* One action of the acceptance under a fault.
   @return whether it was a call */
static inline bool
platform_step (platform_t *platform, gbd_acceptance_t *acceptance,
               gbd_list_t list, char fault, gbd_time_t *now)
{
  gbd_acceptance_action_t action = gbd_acceptance_get_action (acceptance);
  if (action == GBD_ACCEPTANCE_END)
    return false;
  if (action == GBD_ACCEPTANCE_WAIT)
    {
      *now += 10 * GBD_SECOND;
      gbd_acceptance_tick (acceptance, *now);
      return false;
    }
  bool had_late = platform->late != NULL;
  if (fault == 'o' || fault == 'q')
    platform_change (platform, list);
  if (fault == 'p')
    platform_change (platform, list == GBD_LIST_PLANS ? GBD_LIST_CUSTOMERS
                                                      : GBD_LIST_PLANS);
  if (action == GBD_ACCEPTANCE_READ)
    platform_read (platform, acceptance, fault, *now);
  else
    platform_write (platform, acceptance, fault, *now);
  if (had_late)
    platform_arrive_late (platform);
  return true;
}

static inline gbd_acceptance_t *
start_change (gbd_list_t list, const char *id, int number, int64_t generation)
{
  json_t *value = make_list (list, number);
  char *text = json_dumps (value, 0);
  gbd_acceptance_settings_t settings;
  memset (&settings, 0, sizeof settings);
  settings.change.list = list;
  settings.change.change = id;
  settings.change.author = "ana";
  settings.change.at = "now";
  settings.text = text;
  settings.generation = generation;
  settings.attempts_max = 4;
  settings.random_seed = 3;
  gbd_acceptance_t *acceptance = gbd_acceptance_new (&settings);
  free (text);
  json_decref (value);
  return acceptance;
}

static inline void
platform_open (platform_t *platform)
{
  memset (platform, 0, sizeof *platform);
  platform_change (platform, GBD_LIST_PLANS);
  platform_change (platform, GBD_LIST_CUSTOMERS);
}

static inline void
platform_close (platform_t *platform)
{
  json_decref (platform->value);
  json_decref (platform->before);
  json_decref (platform->late);
  json_decref (platform->last[0]);
  json_decref (platform->last[1]);
}

/* Whether the result agrees with what the platform holds in the end. */
static inline bool
is_truthful (const platform_t *platform, const gbd_acceptance_t *acceptance,
             const char *id)
{
  bool is_there = gbd_accepted_find_change (platform->value, id) != NULL;
  switch (gbd_acceptance_get_result (acceptance))
    {
    case GBD_ACCEPTANCE_ACCEPTED:
      return is_there;
    case GBD_ACCEPTANCE_UNKNOWN:
      return true;
    default:
      return !is_there;
    }
}

#endif
