#include "lists_command.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gooseberrydrum/lists_diff.h"
#include "lists_print.h"

#define ATTEMPTS_MAX 8

/* Outcome of one call to the platform, as record_outcome stores it. */
typedef struct
{
  bool is_done;
  gbd_status_t status;
  uint64_t version;
  json_t *value; /* owned by this structure */
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
static void run_update (const gbd_lists_options_t *options,
                        const gbd_lists_environment_t *environment,
                        gbd_list_update_t *update);
static gbd_time_t wait_for_call (const gbd_lists_environment_t *environment,
                                 outcome_t *outcome);
static void record_outcome (void *data, gbd_status_t status, uint64_t version,
                            json_t *value);
static gbd_list_t get_other_list (gbd_list_t list);

static const action_info_t actions[] = {
  { "get", false, run_get },         { "check", true, run_check },
  { "diff", true, run_diff },        { "apply", true, run_apply },
  { "history", false, run_history },
};

static const gbd_exit_t exit_statuses[] = {
  [GBD_LIST_UPDATE_ACCEPTED] = GBD_EXIT_OK,
  [GBD_LIST_UPDATE_UNCHANGED] = GBD_EXIT_OK,
  [GBD_LIST_UPDATE_REFUSED] = GBD_EXIT_REFUSED,
  [GBD_LIST_UPDATE_CONFLICT] = GBD_EXIT_CONFLICT,
  [GBD_LIST_UPDATE_UNAVAILABLE] = GBD_EXIT_UNAVAILABLE,
  [GBD_LIST_UPDATE_UNKNOWN] = GBD_EXIT_UNKNOWN,
  [GBD_LIST_UPDATE_FAILED] = GBD_EXIT_FAILED,
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
  char *text = gbd_accepted_format_list (accepted, options->list);
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
    fprintf (environment->out, "the list is valid\n");
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
  gbd_list_update_settings_t settings = {
    .change = { options->list, options->change, options->author, options->at },
    .text = text,
    .generation = options->generation,
    .attempts_max = ATTEMPTS_MAX,
    .random_seed = gbd_id_from_name (options->change),
  };
  gbd_exit_t result = GBD_EXIT_FAILED;
  gbd_list_update_t *update = gbd_list_update_new (&settings);
  if (update)
    {
      run_update (options, environment, update);
      gbd_lists_print_result (options, environment, update);
      result = exit_statuses[gbd_list_update_get_result (update)];
    }
  gbd_list_update_delete (update);
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

/* Check the list in the file (customers or plans) together with the other of
   these two lists, which is read from a file or taken from the accepted
   configuration.
   @param text set to the text of the file, owned by the caller (g_free) */
static gbd_exit_t
check_file (const gbd_lists_options_t *options,
            const gbd_lists_environment_t *environment, const json_t *accepted,
            char **text)
{
  *text = read_file (options->file, environment);
  if (!*text)
    return GBD_EXIT_USAGE;
  char *other = options->with ? read_file (options->with, environment)
                              : gbd_accepted_format_list (
                                  accepted, get_other_list (options->list));
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
      fprintf (environment->err, "%s; specify a readable file\n",
               error->message);
      g_error_free (error);
      return NULL;
    }
  if (strlen (text) == length)
    return text;
  fprintf (environment->err, "%s: not a text file; specify a JSON file\n",
           path);
  g_free (text);
  return NULL;
}

/* Read the accepted object from the platform.
   @param accepted set to NULL if there is none; owned by the caller */
static gbd_exit_t
read_accepted (const gbd_lists_options_t *options,
               const gbd_lists_environment_t *environment, json_t **accepted)
{
  outcome_t outcome = { 0 };
  *accepted = NULL;
  gbd_platform_get (environment->platform, GBD_ACCEPTED_KIND, options->group,
                    false, environment->iterate (environment->data),
                    record_outcome, &outcome);
  wait_for_call (environment, &outcome);
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
               "the accepted object \"%s\" is damaged; check --group, or "
               "restore the object from a backup\n",
               options->group);
      json_decref (outcome.value);
      return GBD_EXIT_FAILED;
    }
  *accepted = outcome.value;
  return GBD_EXIT_OK;
}

/* Carry out the actions of the update until it is done. */
static void
run_update (const gbd_lists_options_t *options,
            const gbd_lists_environment_t *environment,
            gbd_list_update_t *update)
{
  gbd_time_t now = environment->iterate (environment->data);
  while (gbd_list_update_get_action (update) != GBD_LIST_UPDATE_DONE)
    {
      outcome_t outcome = { 0 };
      switch (gbd_list_update_get_action (update))
        {
        case GBD_LIST_UPDATE_READ:
          gbd_platform_get (environment->platform, GBD_ACCEPTED_KIND,
                            options->group, false, now, record_outcome,
                            &outcome);
          break;
        case GBD_LIST_UPDATE_WRITE:
          gbd_platform_put (environment->platform, GBD_ACCEPTED_KIND,
                            options->group,
                            gbd_list_update_get_version (update),
                            gbd_list_update_get_value (update), now,
                            record_outcome, &outcome);
          break;
        default:
          now = environment->iterate (environment->data);
          gbd_list_update_tick (update, now);
          continue;
        }
      now = wait_for_call (environment, &outcome);
      gbd_list_update_receive (update, outcome.status, outcome.version,
                               outcome.value, now);
      json_decref (outcome.value);
    }
}

static gbd_time_t
wait_for_call (const gbd_lists_environment_t *environment, outcome_t *outcome)
{
  gbd_time_t now;
  do
    now = environment->iterate (environment->data);
  while (!outcome->is_done);
  return now;
}

static void
record_outcome (void *data, gbd_status_t status, uint64_t version,
                json_t *value)
{
  outcome_t *outcome = data;
  outcome->is_done = true;
  outcome->status = status;
  outcome->version = version;
  outcome->value = json_incref (value);
}

static gbd_list_t
get_other_list (gbd_list_t list)
{
  return list == GBD_LIST_CUSTOMERS ? GBD_LIST_PLANS : GBD_LIST_CUSTOMERS;
}
