/* Command line of the subcommand `predict`. */
#include <string.h>

#include <glib.h>

#include "commands.h"
#include "predict_command.h"

#define GROUP_DEFAULT "main"
#define HEARTBEAT_MS_DEFAULT 400

typedef struct
{
  char *platform;
  char *group;
  gint heartbeat_ms;
  gboolean is_json;
} flags_t;

static bool parse_flags (flags_t *flags, int *argc, char ***argv);
static gbd_exit_t run (const flags_t *flags, int argc, char **argv);
static gbd_exit_t run_prediction (const gbd_client_t *client,
                                  const gbd_predict_options_t *options,
                                  int argc, char **argv);
static const char *get_option (const char *flag, const char *variable,
                               const char *value);

int
gbd_command_predict (int argc, char **argv)
{
  flags_t flags = { .heartbeat_ms = HEARTBEAT_MS_DEFAULT };
  gbd_exit_t result = GBD_EXIT_USAGE;
  if (parse_flags (&flags, &argc, &argv))
    result = run (&flags, argc, argv);
  g_free (flags.platform);
  g_free (flags.group);
  return result;
}

static bool
parse_flags (flags_t *flags, int *argc, char ***argv)
{
  const GOptionEntry entries[] = {
    { "platform", 0, 0, G_OPTION_ARG_STRING, &flags->platform,
      "address of the platform (GOOSEBERRYDRUM_PLATFORM)", "IP:PORT" },
    { "group", 0, 0, G_OPTION_ARG_STRING, &flags->group,
      "name of the accepted object (GOOSEBERRYDRUM_GROUP, main)", "NAME" },
    { "heartbeat-ms", 0, 0, G_OPTION_ARG_INT, &flags->heartbeat_ms,
      "heartbeat of the instances (400)", "N" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &flags->is_json, "print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new (
      "customers FILE|plans FILE|drain UID|add UID SERVICE");
  GError *error = NULL;
  g_set_prgname ("gooseberrydrum predict");
  g_option_context_add_main_entries (context, entries, NULL);
  bool is_parsed = g_option_context_parse (context, argc, argv, &error);
  if (!is_parsed)
    {
      fprintf (stderr, "%s; `%s --help` lists the flags\n", error->message,
               g_get_prgname ());
      g_error_free (error);
    }
  g_option_context_free (context);
  return is_parsed;
}

static gbd_exit_t
run (const flags_t *flags, int argc, char **argv)
{
  gbd_client_t client;
  gbd_predict_options_t options = {
    .group = get_option (flags->group, "GOOSEBERRYDRUM_GROUP", GROUP_DEFAULT),
    .heartbeat_ms = (uint32_t)flags->heartbeat_ms,
    .is_json = flags->is_json,
  };
  if (flags->heartbeat_ms < 1)
    {
      fprintf (stderr, "--heartbeat-ms must be at least 1\n");
      return GBD_EXIT_USAGE;
    }
  if (!gbd_client_open (&client))
    return GBD_EXIT_FAILED;
  gbd_exit_t result = GBD_EXIT_USAGE;
  if (gbd_client_parse_address (
          &client, "--platform",
          get_option (flags->platform, "GOOSEBERRYDRUM_PLATFORM", NULL),
          &options.platform))
    result = run_prediction (&client, &options, argc, argv);
  gbd_client_close (&client);
  return result;
}

static gbd_exit_t
run_prediction (const gbd_client_t *client,
                const gbd_predict_options_t *options, int argc, char **argv)
{
  const char *subject = argc > 1 ? argv[1] : "";
  if (argc == 3 && strcmp (subject, "customers") == 0)
    return gbd_predict_command_list (client, options, GBD_LIST_CUSTOMERS,
                                     argv[2]);
  if (argc == 3 && strcmp (subject, "plans") == 0)
    return gbd_predict_command_list (client, options, GBD_LIST_PLANS, argv[2]);
  if (argc == 3 && strcmp (subject, "drain") == 0)
    return gbd_predict_command_drain (client, options, argv[2]);
  if (argc == 4 && strcmp (subject, "add") == 0)
    return gbd_predict_command_add (client, options, argv[2], argv[3]);
  fprintf (client->err,
           "%s: missing or unknown subject; use customers FILE, plans FILE, "
           "drain UID or add UID SERVICE\n",
           g_get_prgname ());
  return GBD_EXIT_USAGE;
}

static const char *
get_option (const char *flag, const char *variable, const char *value)
{
  const char *environment_value = g_getenv (variable);
  if (flag)
    return flag;
  return environment_value ? environment_value : value;
}
