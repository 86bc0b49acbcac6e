#include "lists_command.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gooseberrydrum/lists_diff.h"
#include "lists_print.h"

#define ATTEMPTS_MAX 8

/* Outcome of one call to the platform. */
typedef struct
{
  bool is_done;
  gbd_status_t status;
  uint64_t version;
  json_t *value; /* owned */
} outcome_t;

typedef gbd_exit_t (*action_t) (const gbd_lists_options_t *options,
                                const gbd_lists_environment_t *environment);

typedef struct
{
  const char *name;
  bool needs_file;
  action_t run;
} action_info_t;

static gbd_exit_t run_get (const gbd_lists_options_t *,
                           const gbd_lists_environment_t *);
static gbd_exit_t run_check (const gbd_lists_options_t *,
                             const gbd_lists_environment_t *);
static gbd_exit_t run_diff (const gbd_lists_options_t *,
                            const gbd_lists_environment_t *);
static gbd_exit_t run_apply (const gbd_lists_options_t *,
                             const gbd_lists_environment_t *);
static gbd_exit_t run_history (const gbd_lists_options_t *,
                               const gbd_lists_environment_t *);
static const action_info_t *find_action (const char *name);
static gbd_exit_t check_file (const gbd_lists_options_t *options,
                              const gbd_lists_environment_t *environment,
                              const json_t *accepted, char **text);
static char *read_file (const char *path,
                        const gbd_lists_environment_t *environment);
static gbd_exit_t read_accepted (const gbd_lists_options_t *options,
                                 const gbd_lists_environment_t *environment,
                                 json_t **accepted);
static void drive (const gbd_lists_options_t *options,
                   const gbd_lists_environment_t *environment,
                   gbd_acceptance_t *acceptance);
static gbd_time_t finish_call (const gbd_lists_environment_t *environment,
                               outcome_t *outcome);
static void note_outcome (void *data, gbd_status_t status, uint64_t version,
                          json_t *value);
static gbd_list_t get_other (gbd_list_t list);

static const action_info_t actions[] = {
  { "get", false, run_get },         { "check", true, run_check },
  { "diff", true, run_diff },        { "apply", true, run_apply },
  { "history", false, run_history },
};

static const gbd_exit_t exits[] = {
  [GBD_ACCEPTANCE_ACCEPTED] = GBD_EXIT_OK,
  [GBD_ACCEPTANCE_UNCHANGED] = GBD_EXIT_OK,
  [GBD_ACCEPTANCE_REFUSED] = GBD_EXIT_REFUSED,
  [GBD_ACCEPTANCE_CONFLICT] = GBD_EXIT_CONFLICT,
  [GBD_ACCEPTANCE_UNAVAILABLE] = GBD_EXIT_UNAVAILABLE,
  [GBD_ACCEPTANCE_UNKNOWN] = GBD_EXIT_UNKNOWN,
  [GBD_ACCEPTANCE_FAILED] = GBD_EXIT_FAILED,
};

bool
gbd_lists_find_action (const char *action, bool *needs_file)
{
  const action_info_t *info = find_action (action);
  *needs_file = info && info->needs_file;
  return info != NULL;
}

gbd_exit_t
gbd_lists_command (const gbd_lists_options_t *options,
                   const gbd_lists_environment_t *environment)
{
  return find_action (options->action)->run (options, environment);
}

static gbd_exit_t
run_get (const gbd_lists_options_t *options,
         const gbd_lists_environment_t *environment)
{
  json_t *accepted;
  gbd_exit_t result = read_accepted (options, environment, &accepted);
  if (result != GBD_EXIT_OK)
    return result;
  char *text = gbd_accepted_write_list (accepted, options->list);
  if (text)
    fprintf (environment->out, "%s\n", text);
  else
    fprintf (environment->out, "{\n  \"%s\": []\n}\n",
             gbd_list_strings[options->list]);
  free (text);
  json_decref (accepted);
  return GBD_EXIT_OK;
}

static gbd_exit_t
run_check (const gbd_lists_options_t *options,
           const gbd_lists_environment_t *environment)
{
  json_t *accepted = NULL;
  if (!options->with)
    {
      gbd_exit_t result = read_accepted (options, environment, &accepted);
      if (result != GBD_EXIT_OK)
        return result;
    }
  char *text;
  gbd_exit_t result = check_file (options, environment, accepted, &text);
  if (result == GBD_EXIT_OK && !options->is_json)
    fprintf (environment->out, "the list breaks no rule\n");
  g_free (text);
  json_decref (accepted);
  return result;
}

static gbd_exit_t
run_diff (const gbd_lists_options_t *options,
          const gbd_lists_environment_t *environment)
{
  json_t *accepted;
  gbd_exit_t result = read_accepted (options, environment, &accepted);
  if (result != GBD_EXIT_OK)
    return result;
  char *text;
  result = check_file (options, environment, accepted, &text);
  if (result == GBD_EXIT_OK)
    {
      json_t *removed;
      json_t *added;
      json_t *list = json_loads (text, 0, NULL);
      gbd_lists_diff (options->list,
                      gbd_accepted_get_list (accepted, options->list), list,
                      &removed, &added);
      gbd_lists_print_diff (options, environment, removed, added);
      json_decref (list);
      json_decref (removed);
      json_decref (added);
    }
  g_free (text);
  json_decref (accepted);
  return result;
}

static gbd_exit_t
run_apply (const gbd_lists_options_t *options,
           const gbd_lists_environment_t *environment)
{
  char *text = read_file (options->file, environment);
  if (!text)
    return GBD_EXIT_USAGE;
  gbd_acceptance_settings_t settings = {
    .change = { options->list, options->change, options->author, options->at },
    .text = text,
    .generation = options->generation,
    .attempts_max = ATTEMPTS_MAX,
    .random_seed = gbd_id_from_name (options->change),
  };
  gbd_exit_t result = GBD_EXIT_FAILED;
  gbd_acceptance_t *acceptance = gbd_acceptance_new (&settings);
  if (acceptance)
    {
      drive (options, environment, acceptance);
      gbd_lists_print_result (options, environment, acceptance);
      result = exits[gbd_acceptance_get_result (acceptance)];
    }
  gbd_acceptance_delete (acceptance);
  g_free (text);
  return result;
}

static gbd_exit_t
run_history (const gbd_lists_options_t *options,
             const gbd_lists_environment_t *environment)
{
  json_t *accepted;
  gbd_exit_t result = read_accepted (options, environment, &accepted);
  if (result != GBD_EXIT_OK)
    return result;
  gbd_lists_print_history (options, environment, accepted);
  json_decref (accepted);
  return GBD_EXIT_OK;
}

static const action_info_t *
find_action (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (actions); i++)
    {
      if (strcmp (actions[i].name, name) == 0)
        return &actions[i];
    }
  return NULL;
}

/* Check the file with the other list, accepted or from a file.
   @param text set to that of the file, owned by the caller (g_free) */
static gbd_exit_t
check_file (const gbd_lists_options_t *options,
            const gbd_lists_environment_t *environment, const json_t *accepted,
            char **text)
{
  *text = read_file (options->file, environment);
  if (!*text)
    return GBD_EXIT_USAGE;
  char *other
      = options->with
            ? read_file (options->with, environment)
            : gbd_accepted_write_list (accepted, get_other (options->list));
  if (options->with && !other)
    return GBD_EXIT_USAGE;

  gbd_list_errors_t *errors = gbd_list_errors_new ();
  bool is_customers = options->list == GBD_LIST_CUSTOMERS;
  gbd_status_t status = gbd_lists_check (is_customers ? *text : other,
                                         is_customers ? other : *text, errors);
  if (status != GBD_OK
      || (options->is_json && !strcmp (options->action, "check")))
    gbd_lists_print_errors (options, environment, errors);
  gbd_list_errors_delete (errors);
  free (other);
  return status == GBD_OK ? GBD_EXIT_OK : GBD_EXIT_REFUSED;
}

static char *
read_file (const char *path, const gbd_lists_environment_t *environment)
{
  char *text = NULL;
  gsize length;
  GError *error = NULL;
  if (!g_file_get_contents (path, &text, &length, &error))
    {
      fprintf (environment->err, "%s; name a file that can be read\n",
               error->message);
      g_error_free (error);
      return NULL;
    }
  if (strlen (text) == length)
    return text;
  fprintf (environment->err, "%s: not a text; name a JSON file\n", path);
  g_free (text);
  return NULL;
}

/* @param accepted set to NULL when there is none; owned by the caller */
static gbd_exit_t
read_accepted (const gbd_lists_options_t *options,
               const gbd_lists_environment_t *environment, json_t **accepted)
{
  outcome_t outcome = { 0 };
  *accepted = NULL;
  gbd_platform_get (environment->platform, GBD_ACCEPTED_KIND, options->group,
                    false, environment->turn (environment->data), note_outcome,
                    &outcome);
  finish_call (environment, &outcome);
  if (outcome.status == GBD_ERROR_NOT_FOUND)
    return GBD_EXIT_OK;
  if (outcome.status != GBD_OK)
    {
      fprintf (environment->err, "the accepted lists cannot be read: %s\n",
               gbd_status_strings[outcome.status]);
      return GBD_EXIT_UNAVAILABLE;
    }
  if (!gbd_accepted_is_valid (outcome.value))
    {
      fprintf (environment->err,
               "the accepted object \"%s\" is damaged; see that --group is "
               "right, or restore it from a copy\n",
               options->group);
      json_decref (outcome.value);
      return GBD_EXIT_FAILED;
    }
  *accepted = outcome.value;
  return GBD_EXIT_OK;
}

/* Do what the acceptance asks for, until it ends. */
static void
drive (const gbd_lists_options_t *options,
       const gbd_lists_environment_t *environment,
       gbd_acceptance_t *acceptance)
{
  gbd_time_t now = environment->turn (environment->data);
  while (gbd_acceptance_get_action (acceptance) != GBD_ACCEPTANCE_END)
    {
      outcome_t outcome = { 0 };
      switch (gbd_acceptance_get_action (acceptance))
        {
        case GBD_ACCEPTANCE_READ:
          gbd_platform_get (environment->platform, GBD_ACCEPTED_KIND,
                            options->group, false, now, note_outcome,
                            &outcome);
          break;
        case GBD_ACCEPTANCE_WRITE:
          gbd_platform_put (environment->platform, GBD_ACCEPTED_KIND,
                            options->group,
                            gbd_acceptance_get_version (acceptance),
                            gbd_acceptance_get_value (acceptance), now,
                            note_outcome, &outcome);
          break;
        default:
          now = environment->turn (environment->data);
          gbd_acceptance_tick (acceptance, now);
          continue;
        }
      now = finish_call (environment, &outcome);
      gbd_acceptance_receive (acceptance, outcome.status, outcome.version,
                              outcome.value, now);
      json_decref (outcome.value);
    }
}

static gbd_time_t
finish_call (const gbd_lists_environment_t *environment, outcome_t *outcome)
{
  gbd_time_t now;
  do
    now = environment->turn (environment->data);
  while (!outcome->is_done);
  return now;
}

static void
note_outcome (void *data, gbd_status_t status, uint64_t version, json_t *value)
{
  outcome_t *outcome = data;
  outcome->is_done = true;
  outcome->status = status;
  outcome->version = version;
  outcome->value = json_incref (value);
}

static gbd_list_t
get_other (gbd_list_t list)
{
  return list == GBD_LIST_CUSTOMERS ? GBD_LIST_PLANS : GBD_LIST_CUSTOMERS;
}
