#include "gooseberrydrum/acceptance.h"

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

struct gbd_acceptance
{
  gbd_change_t change; /* texts owned */
  char *text;
  int64_t base;
  uint32_t attempts_left;
  gbd_backoff_t backoff;
  gbd_time_t due; /* end of the wait */

  gbd_acceptance_action_t action;
  uint64_t version; /* newest seen of the accepted object */
  json_t *value;    /* to write over it */
  /* A write over this version may take effect yet. */
  bool is_in_doubt;
  uint64_t doubt_version;
  uint64_t doubt_generation;

  gbd_acceptance_result_t result;
  gbd_list_errors_t *errors;
  uint64_t generation;
  char message[MESSAGE_MAX];
};

static void take_state (gbd_acceptance_t *acceptance, uint64_t version,
                        const json_t *accepted, gbd_time_t now);
static bool settle_doubt (gbd_acceptance_t *acceptance, uint64_t version,
                          const json_t *accepted);
static bool end_if_refused (gbd_acceptance_t *acceptance,
                            const json_t *accepted);
static bool end_if_unchanged (gbd_acceptance_t *acceptance,
                              const json_t *accepted, const json_t *list);
static bool end_if_conflict (gbd_acceptance_t *acceptance,
                             const json_t *accepted, const json_t *list);
static void end_accepted (gbd_acceptance_t *acceptance, uint64_t generation);
static void try_again (gbd_acceptance_t *acceptance, gbd_time_t now);
static void end (gbd_acceptance_t *acceptance, gbd_acceptance_result_t result,
                 const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
static const char *get_text (const json_t *entry, const char *key);
static uint64_t get_base (const gbd_acceptance_t *acceptance,
                          const json_t *list);

gbd_acceptance_t *
gbd_acceptance_new (const gbd_acceptance_settings_t *settings)
{
  gbd_acceptance_t *acceptance = calloc (1, sizeof *acceptance);
  if (!acceptance)
    return NULL;
  acceptance->change = (gbd_change_t){
    .list = settings->change.list,
    .change = strdup (settings->change.change),
    .author = strdup (settings->change.author),
    .at = strdup (settings->change.at),
  };
  acceptance->text = strdup (settings->text);
  acceptance->base = settings->generation;
  acceptance->attempts_left = settings->attempts_max;
  acceptance->errors = gbd_list_errors_new ();
  acceptance->action = GBD_ACCEPTANCE_READ;
  gbd_backoff_init (&acceptance->backoff, BACKOFF_FIRST, BACKOFF_LONGEST,
                    settings->random_seed);
  if (acceptance->change.change && acceptance->change.author
      && acceptance->change.at && acceptance->text && acceptance->errors)
    return acceptance;
  gbd_acceptance_delete (acceptance);
  return NULL;
}

void
gbd_acceptance_delete (gbd_acceptance_t *acceptance)
{
  if (!acceptance)
    return;
  free ((char *)acceptance->change.change);
  free ((char *)acceptance->change.author);
  free ((char *)acceptance->change.at);
  free (acceptance->text);
  json_decref (acceptance->value);
  gbd_list_errors_delete (acceptance->errors);
  free (acceptance);
}

gbd_acceptance_action_t
gbd_acceptance_get_action (const gbd_acceptance_t *acceptance)
{
  return acceptance->action;
}

uint64_t
gbd_acceptance_get_version (const gbd_acceptance_t *acceptance)
{
  return acceptance->version;
}

json_t *
gbd_acceptance_get_value (const gbd_acceptance_t *acceptance)
{
  return acceptance->value;
}

gbd_acceptance_result_t
gbd_acceptance_get_result (const gbd_acceptance_t *acceptance)
{
  return acceptance->result;
}

const char *
gbd_acceptance_get_message (const gbd_acceptance_t *acceptance)
{
  return acceptance->message;
}

const gbd_list_errors_t *
gbd_acceptance_get_errors (const gbd_acceptance_t *acceptance)
{
  return acceptance->errors;
}

uint64_t
gbd_acceptance_get_generation (const gbd_acceptance_t *acceptance)
{
  return acceptance->generation;
}

void
gbd_acceptance_receive (gbd_acceptance_t *acceptance, gbd_status_t status,
                        uint64_t version, const json_t *value, gbd_time_t now)
{
  bool is_write = acceptance->action == GBD_ACCEPTANCE_WRITE;
  assert (is_write || acceptance->action == GBD_ACCEPTANCE_READ);
  if (status == GBD_OK && is_write)
    end_accepted (acceptance, acceptance->generation + 1);
  else if (is_write && status == GBD_ERROR_RANGE)
    end (acceptance, GBD_ACCEPTANCE_REFUSED,
         "not accepted: both lists and their history are over the platform's "
         "megabyte; remove entries and apply again");
  else if (status == GBD_OK || (status == GBD_ERROR_CONFLICT && value))
    take_state (acceptance, version, value, now);
  else if (status == GBD_ERROR_NOT_FOUND && acceptance->version == 0)
    take_state (acceptance, 0, NULL, now);
  else
    {
      if (is_write && status == GBD_ERROR_UNKNOWN)
        {
          acceptance->is_in_doubt = true;
          acceptance->doubt_version = acceptance->version;
          acceptance->doubt_generation = acceptance->generation + 1;
        }
      try_again (acceptance, now);
    }
}

void
gbd_acceptance_tick (gbd_acceptance_t *acceptance, gbd_time_t now)
{
  if (acceptance->action == GBD_ACCEPTANCE_WAIT && now >= acceptance->due)
    acceptance->action = GBD_ACCEPTANCE_READ;
}

/* The platform showed the accepted object, or that there is none. */
static void
take_state (gbd_acceptance_t *acceptance, uint64_t version,
            const json_t *accepted, gbd_time_t now)
{
  if (version < acceptance->version)
    {
      /* A copy that lags. */
      try_again (acceptance, now);
      return;
    }
  if (accepted && !gbd_accepted_is_valid (accepted))
    {
      end (acceptance, GBD_ACCEPTANCE_FAILED,
           "not accepted: the accepted object (version %" PRIu64
           ") is damaged; restore it from a copy, with its generation raised",
           version);
      return;
    }
  acceptance->version = version;
  acceptance->generation = gbd_accepted_get_generation (accepted);
  if (settle_doubt (acceptance, version, accepted)
      || end_if_refused (acceptance, accepted))
    return;

  json_t *list = json_loads (acceptance->text, 0, NULL);
  if (!end_if_unchanged (acceptance, accepted, list)
      && !end_if_conflict (acceptance, accepted, list))
    {
      json_decref (acceptance->value);
      acceptance->value
          = gbd_accepted_make_next (accepted, &acceptance->change, list);
      acceptance->action = GBD_ACCEPTANCE_WRITE;
    }
  json_decref (list);
}

/* Decide what a write without an answer did.
   @return whether that ends the acceptance */
static bool
settle_doubt (gbd_acceptance_t *acceptance, uint64_t version,
              const json_t *accepted)
{
  const json_t *own
      = gbd_accepted_find_change (accepted, acceptance->change.change);
  if (own)
    {
      end_accepted (acceptance, gbd_accepted_get_generation (own));
      return true;
    }
  if (!acceptance->is_in_doubt || version == acceptance->doubt_version)
    return false;
  if (!gbd_accepted_find_generation (accepted, acceptance->doubt_generation))
    {
      end (acceptance, GBD_ACCEPTANCE_UNKNOWN,
           "not known: the history no longer shows generation %" PRIu64
           "; compare `gooseberrydrum %s get` with your file",
           acceptance->doubt_generation,
           gbd_list_strings[acceptance->change.list]);
      return true;
    }
  /* Another change took that generation, so the write came too late. */
  acceptance->is_in_doubt = false;
  return false;
}

static bool
end_if_refused (gbd_acceptance_t *acceptance, const json_t *accepted)
{
  bool is_customers = acceptance->change.list == GBD_LIST_CUSTOMERS;
  gbd_list_t other = is_customers ? GBD_LIST_PLANS : GBD_LIST_CUSTOMERS;
  char *other_text = gbd_accepted_write_list (accepted, other);
  gbd_status_t status = is_customers
                            ? gbd_lists_check (acceptance->text, other_text,
                                               acceptance->errors)
                            : gbd_lists_check (other_text, acceptance->text,
                                               acceptance->errors);
  free (other_text);
  if (status == GBD_OK)
    return false;
  if (acceptance->is_in_doubt)
    end (acceptance, GBD_ACCEPTANCE_UNKNOWN,
         "not known whether an earlier attempt took effect; run "
         "`gooseberrydrum %s history` to find out",
         gbd_list_strings[acceptance->change.list]);
  else
    end (acceptance, GBD_ACCEPTANCE_REFUSED,
         "not accepted: the list breaks a rule together with the accepted %s "
         "list; mend it and apply again",
         gbd_list_strings[other]);
  return true;
}

static bool
end_if_unchanged (gbd_acceptance_t *acceptance, const json_t *accepted,
                  const json_t *list)
{
  json_t *bare = json_copy ((json_t *)list);
  json_object_del (bare, "generation");
  const json_t *present
      = gbd_accepted_get_list (accepted, acceptance->change.list);
  bool is_same = present && json_equal (present, bare);
  json_decref (bare);
  if (is_same)
    end (acceptance, GBD_ACCEPTANCE_UNCHANGED,
         "nothing to change: generation %" PRIu64 " has this list already",
         acceptance->generation);
  return is_same;
}

static bool
end_if_conflict (gbd_acceptance_t *acceptance, const json_t *accepted,
                 const json_t *list)
{
  const char *name = gbd_list_strings[acceptance->change.list];
  uint64_t base = get_base (acceptance, list);
  if (base > acceptance->generation)
    {
      end (acceptance, GBD_ACCEPTANCE_CONFLICT,
           "not accepted: your file starts from generation %" PRIu64
           ", but the platform has %" PRIu64
           " or shows a copy that lags; see that --platform and --group are "
           "right, then start from `gooseberrydrum %s get`",
           base, acceptance->generation, name);
      return true;
    }
  bool is_known;
  const json_t *newer = gbd_accepted_find_newer (
      accepted, acceptance->change.list, base, &is_known);
  if (newer)
    end (acceptance, GBD_ACCEPTANCE_CONFLICT,
         "not accepted: your change %s by %s starts from generation %" PRIu64
         ", but change %s by %s (generation %" PRIu64
         ") was accepted since; run `gooseberrydrum %s get`, put your change "
         "into that list and apply it",
         acceptance->change.change, acceptance->change.author, base,
         get_text (newer, "change"), get_text (newer, "author"),
         gbd_accepted_get_generation (newer), name);
  else if (!is_known
           && gbd_accepted_get_list (accepted, acceptance->change.list))
    end (acceptance, GBD_ACCEPTANCE_CONFLICT,
         "not accepted: your change %s by %s starts from generation %" PRIu64
         ", which the history no longer shows; run `gooseberrydrum %s get`, "
         "put your change into that list and apply it",
         acceptance->change.change, acceptance->change.author, base, name);
  return acceptance->action == GBD_ACCEPTANCE_END;
}

static void
end_accepted (gbd_acceptance_t *acceptance, uint64_t generation)
{
  acceptance->generation = generation;
  end (acceptance, GBD_ACCEPTANCE_ACCEPTED,
       "accepted: generation %" PRIu64 ", change %s", generation,
       acceptance->change.change);
}

static void
try_again (gbd_acceptance_t *acceptance, gbd_time_t now)
{
  if (acceptance->attempts_left > 1)
    {
      acceptance->attempts_left--;
      acceptance->action = GBD_ACCEPTANCE_WAIT;
      acceptance->due = now + gbd_backoff_next (&acceptance->backoff);
      return;
    }
  const char *name = gbd_list_strings[acceptance->change.list];
  if (acceptance->is_in_doubt)
    end (acceptance, GBD_ACCEPTANCE_UNKNOWN,
         "not known: the platform did not answer whether change %s took "
         "effect; run `gooseberrydrum %s history` to find out",
         acceptance->change.change, name);
  else
    end (acceptance, GBD_ACCEPTANCE_UNAVAILABLE,
         "not accepted: the platform cannot be reached; nothing changed; see "
         "whether it is up and apply again");
}

static void
end (gbd_acceptance_t *acceptance, gbd_acceptance_result_t result,
     const char *format, ...)
{
  acceptance->action = GBD_ACCEPTANCE_END;
  acceptance->result = result;
  va_list arguments;
  va_start (arguments, format);
  vsnprintf (acceptance->message, sizeof acceptance->message, format,
             arguments);
  va_end (arguments);
}

static const char *
get_text (const json_t *entry, const char *key)
{
  return json_string_value (json_object_get (entry, key));
}

/* Generation that the change starts from; 0 if its file names none. */
static uint64_t
get_base (const gbd_acceptance_t *acceptance, const json_t *list)
{
  if (acceptance->base != GBD_GENERATION_FROM_FILE)
    return (uint64_t)acceptance->base;
  json_t *generation = json_object_get (list, "generation");
  return (uint64_t)json_integer_value (generation);
}
