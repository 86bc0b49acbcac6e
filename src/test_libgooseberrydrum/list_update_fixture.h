/** @file list_update_fixture.h
 *  A simulated object store that contains one accepted object.  Each call is
 *  subject to one fault, or to a change by another operator just before it.
 */
#ifndef TEST_LIST_UPDATE_FIXTURE_H
#define TEST_LIST_UPDATE_FIXTURE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gooseberrydrum/list_update.h"

#define PLANS_TEXT                                                            \
  "{\"plans\":[{\"name\":\"p\",\"services\":[\"visitas\",\"acervo\"],"        \
  "\"open_flows\":10,\"new_flows_per_second\":10,\"idle_limit_s\":60,"        \
  "\"balance_percent\":%d}]}"
#define CUSTOMERS_TEXT                                                        \
  "{\"customers\":[{\"name\":\"c\",\"plan\":\"p\",\"services\":["             \
  "{\"service\":\"visitas\",\"addresses\":[\"10.1.0.%d:443\"]}]}]}"

/** Outcome of one call:
 *  k  success
 *  d  the store is down: no effect
 *  l  the response is lost after the effect
 *  n  the request is lost: no effect, but the sender cannot detect that
 *  t  as n, but the request arrives after the next call
 *  s  a stale read returns the previous version
 *  g  the response to a read does not decode
 *  o  another operator changes the same list just before; then success
 *  p  another operator changes the other list just before; then success
 *  q  as o, but the response is lost as well */
#define FAULTS "kdlntsgopq"

typedef struct
{
  uint64_t version;
  json_t *value;
  json_t *previous; /* value of previous_version */
  uint64_t previous_version;
  json_t *delayed; /* value of a write that has not arrived yet */
  uint64_t delayed_version;
  int writes;
  int other_changes;       /* made by other operators */
  json_t *newest_lists[2]; /* newest accepted value of each list */
  bool has_lost_change;    /* a write undid an accepted change */
} store_t;

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

/* Conditional update; fails unless the version is the current one. */
static inline bool
store_put (store_t *store, uint64_t version, json_t *value)
{
  if (version != store->version)
    return false;
  uint64_t generation = gbd_accepted_get_generation (value);
  if (generation != gbd_accepted_get_generation (store->value) + 1)
    store->has_lost_change = true;
  json_decref (store->previous);
  store->previous = store->value;
  store->previous_version = store->version;
  store->value = json_incref (value);
  store->version += 3;
  store->writes++;

  /* The other list must equal its newest accepted value. */
  const json_t *entry = gbd_accepted_find_generation (value, generation);
  const char *name = json_string_value (json_object_get (entry, "list"));
  for (int i = 0; i < GBD_LIST_COUNT; i++)
    {
      json_t *list = (json_t *)gbd_accepted_get_list (value, (gbd_list_t)i);
      if (name && strcmp (name, gbd_list_strings[i]) == 0)
        {
          json_decref (store->newest_lists[i]);
          store->newest_lists[i] = json_incref (list);
        }
      else if (store->newest_lists[i]
               && !json_equal (store->newest_lists[i], list))
        store->has_lost_change = true;
    }
  return true;
}

static inline void
store_change_by_other (store_t *store, gbd_list_t list)
{
  char id[32];
  int number = 100 + store->other_changes++;
  snprintf (id, sizeof id, "other-%d", number);
  gbd_change_t change = { list, id, "joao", "then" };
  json_t *value = make_list (list, number);
  json_t *next = gbd_accepted_make_next (store->value, &change, value);
  store_put (store, store->version, next);
  json_decref (next);
  json_decref (value);
}

static inline void
store_deliver_delayed (store_t *store)
{
  json_t *delayed = store->delayed;
  store->delayed = NULL;
  if (delayed)
    store_put (store, store->delayed_version, delayed);
  json_decref (delayed);
}

static inline void
store_read (store_t *store, gbd_list_update_t *update, char fault,
            gbd_time_t now)
{
  if (fault == 'g')
    gbd_list_update_receive (update, GBD_ERROR_FORMAT, 0, NULL, now);
  else if (strchr ("dlnt", fault))
    gbd_list_update_receive (update, GBD_ERROR_UNAVAILABLE, 0, NULL, now);
  else
    {
      bool is_stale = fault == 's' && store->previous;
      json_t *value = is_stale ? store->previous : store->value;
      uint64_t version = is_stale ? store->previous_version : store->version;
      gbd_list_update_receive (update, value ? GBD_OK : GBD_ERROR_NOT_FOUND,
                               version, value, now);
    }
}

static inline void
store_write (store_t *store, gbd_list_update_t *update, char fault,
             gbd_time_t now)
{
  uint64_t version = gbd_list_update_get_version (update);
  json_t *value = gbd_list_update_get_value (update);
  gbd_status_t status = GBD_ERROR_UNKNOWN;
  if (fault == 'd')
    status = GBD_ERROR_UNAVAILABLE;
  else if (fault == 't')
    {
      json_decref (store->delayed);
      store->delayed = json_incref (value);
      store->delayed_version = version;
    }
  else if (fault != 'n')
    {
      bool is_written = store_put (store, version, value);
      if (!strchr ("lqg", fault))
        status = is_written ? GBD_OK : GBD_ERROR_CONFLICT;
    }
  gbd_list_update_receive (update, status, store->version,
                           status == GBD_ERROR_CONFLICT ? store->value : NULL,
                           now);
}

/* Carry out one action of the update under a fault.
   @return whether it was a call */
static inline bool
store_step (store_t *store, gbd_list_update_t *update, gbd_list_t list,
            char fault, gbd_time_t *now)
{
  gbd_list_update_action_t action = gbd_list_update_get_action (update);
  if (action == GBD_LIST_UPDATE_DONE)
    return false;
  if (action == GBD_LIST_UPDATE_WAIT)
    {
      *now += 10 * GBD_SECOND;
      gbd_list_update_tick (update, *now);
      return false;
    }
  bool had_delayed = store->delayed != NULL;
  if (fault == 'o' || fault == 'q')
    store_change_by_other (store, list);
  if (fault == 'p')
    store_change_by_other (store, list == GBD_LIST_PLANS ? GBD_LIST_CUSTOMERS
                                                         : GBD_LIST_PLANS);
  if (action == GBD_LIST_UPDATE_READ)
    store_read (store, update, fault, *now);
  else
    store_write (store, update, fault, *now);
  if (had_delayed)
    store_deliver_delayed (store);
  return true;
}

static inline gbd_list_update_t *
start_update (gbd_list_t list, const char *id, int number, int64_t generation)
{
  json_t *value = make_list (list, number);
  char *text = json_dumps (value, 0);
  gbd_list_update_settings_t settings;
  memset (&settings, 0, sizeof settings);
  settings.change.list = list;
  settings.change.change = id;
  settings.change.author = "ana";
  settings.change.at = "now";
  settings.text = text;
  settings.generation = generation;
  settings.attempts_max = 4;
  settings.random_seed = 3;
  gbd_list_update_t *update = gbd_list_update_new (&settings);
  free (text);
  json_decref (value);
  return update;
}

static inline void
store_open (store_t *store)
{
  memset (store, 0, sizeof *store);
  store_change_by_other (store, GBD_LIST_PLANS);
  store_change_by_other (store, GBD_LIST_CUSTOMERS);
}

static inline void
store_close (store_t *store)
{
  json_decref (store->value);
  json_decref (store->previous);
  json_decref (store->delayed);
  json_decref (store->newest_lists[0]);
  json_decref (store->newest_lists[1]);
}

/* Whether the result agrees with the final content of the store. */
static inline bool
result_matches_store (const store_t *store, const gbd_list_update_t *update,
                      const char *id)
{
  bool is_stored = gbd_accepted_find_change (store->value, id) != NULL;
  switch (gbd_list_update_get_result (update))
    {
    case GBD_LIST_UPDATE_ACCEPTED:
      return is_stored;
    case GBD_LIST_UPDATE_UNKNOWN:
      return true;
    default:
      return !is_stored;
    }
}

#endif
