#include "gooseberrydrum/list_update.h"

#include <assert.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gooseberrydrum/retry.h"

#define BACKOFF_FIRST (100 * GBD_MILLISECOND)
#define BACKOFF_LONGEST (2 * GBD_SECOND)
#define MESSAGE_MAX 1024

struct gbd_list_update
{
  gbd_change_t change; /* its texts are owned by the update */
  char *text;
  int64_t base_generation;
  uint32_t attempts_left;
  gbd_backoff_t backoff;
  gbd_time_t retry_at; /* time at which the back-off ends */

  gbd_list_update_action_t action;
  uint64_t version; /* newest version of the accepted object seen so far */
  json_t *value;    /* value to write in place of this version */
  /* Whether the outcome of the write that replaces in_doubt_version is
     unknown.  It may still take effect, and then creates
     in_doubt_generation. */
  bool is_in_doubt;
  uint64_t in_doubt_version;
  uint64_t in_doubt_generation;

  gbd_list_update_result_t result;
  gbd_list_errors_t *errors;
  uint64_t generation;
  char message[MESSAGE_MAX];
};

static void evaluate_accepted (gbd_list_update_t *update, uint64_t version,
                               const json_t *accepted, gbd_time_t now);
static bool resolve_in_doubt (gbd_list_update_t *update, uint64_t version,
                              const json_t *accepted);
static bool finish_if_invalid (gbd_list_update_t *update,
                               const json_t *accepted);
static bool finish_if_unchanged (gbd_list_update_t *update,
                                 const json_t *accepted, const json_t *list);
static bool finish_if_conflict (gbd_list_update_t *update,
                                const json_t *accepted, const json_t *list);
static void finish_accepted (gbd_list_update_t *update, uint64_t generation);
static void retry_later (gbd_list_update_t *update, gbd_time_t now);
static void finish (gbd_list_update_t *update, gbd_list_update_result_t result,
                    const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
static const char *get_text (const json_t *entry, const char *key);
static uint64_t get_base_generation (const gbd_list_update_t *update,
                                     const json_t *list);

gbd_list_update_t *
gbd_list_update_new (const gbd_list_update_settings_t *settings)
{
  gbd_list_update_t *update = calloc (1, sizeof *update);
  if (!update)
    return NULL;
  update->change = (gbd_change_t){
    .list = settings->change.list,
    .change = strdup (settings->change.change),
    .author = strdup (settings->change.author),
    .at = strdup (settings->change.at),
  };
  update->text = strdup (settings->text);
  update->base_generation = settings->generation;
  update->attempts_left = settings->attempts_max;
  update->errors = gbd_list_errors_new ();
  update->action = GBD_LIST_UPDATE_READ;
  gbd_backoff_init (&update->backoff, BACKOFF_FIRST, BACKOFF_LONGEST,
                    settings->random_seed);
  if (update->change.change && update->change.author && update->change.at
      && update->text && update->errors)
    return update;
  gbd_list_update_delete (update);
  return NULL;
}

void
gbd_list_update_delete (gbd_list_update_t *update)
{
  if (!update)
    return;
  free ((char *)update->change.change);
  free ((char *)update->change.author);
  free ((char *)update->change.at);
  free (update->text);
  json_decref (update->value);
  gbd_list_errors_delete (update->errors);
  free (update);
}

gbd_list_update_action_t
gbd_list_update_get_action (const gbd_list_update_t *update)
{
  return update->action;
}

uint64_t
gbd_list_update_get_version (const gbd_list_update_t *update)
{
  return update->version;
}

json_t *
gbd_list_update_get_value (const gbd_list_update_t *update)
{
  return update->value;
}

gbd_list_update_result_t
gbd_list_update_get_result (const gbd_list_update_t *update)
{
  return update->result;
}

const char *
gbd_list_update_get_message (const gbd_list_update_t *update)
{
  return update->message;
}

const gbd_list_errors_t *
gbd_list_update_get_errors (const gbd_list_update_t *update)
{
  return update->errors;
}

uint64_t
gbd_list_update_get_generation (const gbd_list_update_t *update)
{
  return update->generation;
}

void
gbd_list_update_receive (gbd_list_update_t *update, gbd_status_t status,
                         uint64_t version, const json_t *value, gbd_time_t now)
{
  bool is_write = update->action == GBD_LIST_UPDATE_WRITE;
  assert (is_write || update->action == GBD_LIST_UPDATE_READ);
  if (status == GBD_OK && is_write)
    finish_accepted (update, update->generation + 1);
  else if (is_write && status == GBD_ERROR_RANGE)
    finish (update, GBD_LIST_UPDATE_REFUSED,
            "not accepted: both lists and their history exceed the platform's "
            "limit of one megabyte; remove entries and apply again");
  else if (status == GBD_OK || (status == GBD_ERROR_CONFLICT && value))
    evaluate_accepted (update, version, value, now);
  else if (status == GBD_ERROR_NOT_FOUND && update->version == 0)
    evaluate_accepted (update, 0, NULL, now);
  else
    {
      if (is_write && status == GBD_ERROR_UNKNOWN)
        {
          update->is_in_doubt = true;
          update->in_doubt_version = update->version;
          update->in_doubt_generation = update->generation + 1;
        }
      retry_later (update, now);
    }
}

void
gbd_list_update_tick (gbd_list_update_t *update, gbd_time_t now)
{
  if (update->action == GBD_LIST_UPDATE_WAIT && now >= update->retry_at)
    update->action = GBD_LIST_UPDATE_READ;
}

/* Choose the next action from the current accepted object.
   @param accepted the accepted object; NULL if there is none */
static void
evaluate_accepted (gbd_list_update_t *update, uint64_t version,
                   const json_t *accepted, gbd_time_t now)
{
  if (version < update->version)
    {
      /* The object was read from a replica of the store that is behind. */
      retry_later (update, now);
      return;
    }
  if (accepted && !gbd_accepted_is_valid (accepted))
    {
      finish (
          update, GBD_LIST_UPDATE_FAILED,
          "not accepted: the accepted object (version %" PRIu64
          ") is damaged; restore it from a backup and raise its generation",
          version);
      return;
    }
  update->version = version;
  update->generation = gbd_accepted_get_generation (accepted);
  if (resolve_in_doubt (update, version, accepted)
      || finish_if_invalid (update, accepted))
    return;

  json_t *list = json_loads (update->text, 0, NULL);
  if (!finish_if_unchanged (update, accepted, list)
      && !finish_if_conflict (update, accepted, list))
    {
      json_decref (update->value);
      update->value = gbd_accepted_make_next (accepted, &update->change, list);
      update->action = GBD_LIST_UPDATE_WRITE;
    }
  json_decref (list);
}

/* Find out whether a write without a response took effect.
   @return whether the update is done */
static bool
resolve_in_doubt (gbd_list_update_t *update, uint64_t version,
                  const json_t *accepted)
{
  const json_t *own_entry
      = gbd_accepted_find_change (accepted, update->change.change);
  if (own_entry)
    {
      finish_accepted (update, gbd_accepted_get_generation (own_entry));
      return true;
    }
  if (!update->is_in_doubt || version == update->in_doubt_version)
    return false;
  if (!gbd_accepted_find_generation (accepted, update->in_doubt_generation))
    {
      finish (update, GBD_LIST_UPDATE_UNKNOWN,
              "not known: the history no longer contains generation %" PRIu64
              "; compare `gooseberrydrum %s get` with your file",
              update->in_doubt_generation,
              gbd_list_strings[update->change.list]);
      return true;
    }
  /* Another change has this generation, so the write cannot take effect. */
  update->is_in_doubt = false;
  return false;
}

static bool
finish_if_invalid (gbd_list_update_t *update, const json_t *accepted)
{
  bool is_customers = update->change.list == GBD_LIST_CUSTOMERS;
  gbd_list_t other = is_customers ? GBD_LIST_PLANS : GBD_LIST_CUSTOMERS;
  char *other_text = gbd_accepted_format_list (accepted, other);
  gbd_status_t status
      = is_customers
            ? gbd_lists_check (update->text, other_text, update->errors)
            : gbd_lists_check (other_text, update->text, update->errors);
  free (other_text);
  if (status == GBD_OK)
    return false;
  if (update->is_in_doubt)
    finish (update, GBD_LIST_UPDATE_UNKNOWN,
            "not known whether an earlier attempt took effect; run "
            "`gooseberrydrum %s history` to find out",
            gbd_list_strings[update->change.list]);
  else
    finish (update, GBD_LIST_UPDATE_REFUSED,
            "not accepted: the list is invalid, alone or together with the "
            "accepted %s list; correct it and apply again",
            gbd_list_strings[other]);
  return true;
}

static bool
finish_if_unchanged (gbd_list_update_t *update, const json_t *accepted,
                     const json_t *list)
{
  json_t *without_generation = json_copy ((json_t *)list);
  json_object_del (without_generation, "generation");
  const json_t *current
      = gbd_accepted_get_list (accepted, update->change.list);
  bool is_same = current && json_equal (current, without_generation);
  json_decref (without_generation);
  if (is_same)
    finish (update, GBD_LIST_UPDATE_UNCHANGED,
            "nothing to change: generation %" PRIu64 " already has this list",
            update->generation);
  return is_same;
}

static bool
finish_if_conflict (gbd_list_update_t *update, const json_t *accepted,
                    const json_t *list)
{
  const char *name = gbd_list_strings[update->change.list];
  uint64_t base_generation = get_base_generation (update, list);
  if (base_generation > update->generation)
    {
      finish (update, GBD_LIST_UPDATE_CONFLICT,
              "not accepted: your file is based on generation %" PRIu64
              ", but the platform has %" PRIu64
              " or returned a stale read; check --platform and --group, then "
              "start from `gooseberrydrum %s get`",
              base_generation, update->generation, name);
      return true;
    }
  bool is_history_complete;
  const json_t *newer = gbd_accepted_find_newest_after (
      accepted, update->change.list, base_generation, &is_history_complete);
  if (newer)
    finish (
        update, GBD_LIST_UPDATE_CONFLICT,
        "not accepted: your change %s by %s is based on generation %" PRIu64
        ", but change %s by %s (generation %" PRIu64
        ") was accepted since; run `gooseberrydrum %s get`, make your change "
        "in that list and apply it",
        update->change.change, update->change.author, base_generation,
        get_text (newer, "change"), get_text (newer, "author"),
        gbd_accepted_get_generation (newer), name);
  else if (!is_history_complete
           && gbd_accepted_get_list (accepted, update->change.list))
    finish (
        update, GBD_LIST_UPDATE_CONFLICT,
        "not accepted: your change %s by %s is based on generation %" PRIu64
        ", which the history no longer contains; run `gooseberrydrum %s get`, "
        "make your change in that list and apply it",
        update->change.change, update->change.author, base_generation, name);
  return update->action == GBD_LIST_UPDATE_DONE;
}

static void
finish_accepted (gbd_list_update_t *update, uint64_t generation)
{
  update->generation = generation;
  finish (update, GBD_LIST_UPDATE_ACCEPTED,
          "accepted: generation %" PRIu64 ", change %s", generation,
          update->change.change);
}

static void
retry_later (gbd_list_update_t *update, gbd_time_t now)
{
  if (update->attempts_left > 1)
    {
      update->attempts_left--;
      update->action = GBD_LIST_UPDATE_WAIT;
      update->retry_at = now + gbd_backoff_next (&update->backoff);
      return;
    }
  const char *name = gbd_list_strings[update->change.list];
  if (update->is_in_doubt)
    finish (update, GBD_LIST_UPDATE_UNKNOWN,
            "not known: the platform did not report whether change %s took "
            "effect; run `gooseberrydrum %s history` to find out",
            update->change.change, name);
  else
    finish (
        update, GBD_LIST_UPDATE_UNAVAILABLE,
        "not accepted: the platform is unreachable; nothing changed; check "
        "that it is running and apply again");
}

static void
finish (gbd_list_update_t *update, gbd_list_update_result_t result,
        const char *format, ...)
{
  update->action = GBD_LIST_UPDATE_DONE;
  update->result = result;
  va_list arguments;
  va_start (arguments, format);
  vsnprintf (update->message, sizeof update->message, format, arguments);
  va_end (arguments);
}

static const char *
get_text (const json_t *entry, const char *key)
{
  return json_string_value (json_object_get (entry, key));
}

/* Generation that the change is based on; 0 if the file of the change contains
   no generation. */
static uint64_t
get_base_generation (const gbd_list_update_t *update, const json_t *list)
{
  if (update->base_generation != GBD_GENERATION_FROM_FILE)
    return (uint64_t)update->base_generation;
  json_t *generation = json_object_get (list, "generation");
  return (uint64_t)json_integer_value (generation);
}
