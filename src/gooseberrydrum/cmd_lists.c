/* Flags and event loop of the subcommands `customers` and `plans`. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "client.h"
#include "commands.h"
#include "lists_command.h"

#define GROUP_DEFAULT "main"

typedef struct
{
  char *platform;
  char *group;
  char *author;
  char *with;
  gint64 generation;
  gboolean is_json;
} flags_t;

typedef struct
{
  gbd_client_t client;
  gbd_platform_t *platform;
} loop_t;

static int run (gbd_list_t list, int argc, char **argv);
static bool parse_flags (flags_t *flags, gbd_list_t list, int *argc,
                         char ***argv);
static void use_environment_default (char **value, const char *name,
                                     const char *fallback);
static bool check_arguments (const flags_t *flags, int argc, char **argv);
static gbd_exit_t run_in_loop (const gbd_lists_options_t *options,
                               const char *platform);
static bool loop_open (loop_t *loop, const gbd_address_t *platform);
static gbd_time_t iterate (void *data);

int
gbd_command_customers (int argc, char **argv)
{
  return run (GBD_LIST_CUSTOMERS, argc, argv);
}

int
gbd_command_plans (int argc, char **argv)
{
  return run (GBD_LIST_PLANS, argc, argv);
}

static int
run (gbd_list_t list, int argc, char **argv)
{
  flags_t flags = { .generation = GBD_GENERATION_FROM_FILE };
  gbd_exit_t result = GBD_EXIT_USAGE;
  char *change = g_uuid_string_random ();
  GDateTime *now = g_date_time_new_now_utc ();
  char *at = g_date_time_format_iso8601 (now);
  if (parse_flags (&flags, list, &argc, &argv)
      && check_arguments (&flags, argc, argv))
    {
      gbd_lists_options_t options = {
        .list = list,
        .action = argv[1],
        .file = argc > 2 ? argv[2] : NULL,
        .with = flags.with,
        .group = flags.group,
        .author = flags.author,
        .change = change,
        .at = at,
        .generation = flags.generation,
        .is_json = flags.is_json,
      };
      result = run_in_loop (&options, flags.platform);
    }
  g_date_time_unref (now);
  g_free (at);
  g_free (change);
  g_free (flags.platform);
  g_free (flags.group);
  g_free (flags.author);
  g_free (flags.with);
  return result;
}

static bool
parse_flags (flags_t *flags, gbd_list_t list, int *argc, char ***argv)
{
  const GOptionEntry entries[] = {
    { "platform", 0, 0, G_OPTION_ARG_STRING, &flags->platform,
      "address of the platform (GOOSEBERRYDRUM_PLATFORM)", "IP:PORT" },
    { "group", 0, 0, G_OPTION_ARG_STRING, &flags->group,
      "name of the accepted object (GOOSEBERRYDRUM_GROUP, main)", "NAME" },
    { "author", 0, 0, G_OPTION_ARG_STRING, &flags->author,
      "author of the change (GOOSEBERRYDRUM_AUTHOR, your user name)", "NAME" },
    { "generation", 0, 0, G_OPTION_ARG_INT64, &flags->generation,
      "apply: generation that the edit is based on (that in the file)", "N" },
    { "with", 0, 0, G_OPTION_ARG_FILENAME, &flags->with,
      "check: the other list, instead of the accepted one", "FILE" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &flags->is_json, "print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context
      = g_option_context_new ("get|check FILE|diff FILE|apply FILE|history");
  GError *error = NULL;
  char *name = g_strdup_printf ("gooseberrydrum %s", gbd_list_strings[list]);
  g_set_prgname (name);
  g_option_context_add_main_entries (context, entries, NULL);
  bool is_parsed = g_option_context_parse (context, argc, argv, &error);
  if (!is_parsed)
    {
      fprintf (stderr, "%s; `%s --help` lists the flags\n", error->message,
               name);
      g_error_free (error);
    }
  g_option_context_free (context);
  g_free (name);
  use_environment_default (&flags->platform, "GOOSEBERRYDRUM_PLATFORM", NULL);
  use_environment_default (&flags->group, "GOOSEBERRYDRUM_GROUP",
                           GROUP_DEFAULT);
  use_environment_default (&flags->author, "GOOSEBERRYDRUM_AUTHOR",
                           g_get_user_name ());
  return is_parsed;
}

static void
use_environment_default (char **value, const char *name, const char *fallback)
{
  if (*value)
    return;
  const char *text = g_getenv (name);
  *value = g_strdup (text ? text : fallback);
}

static bool
check_arguments (const flags_t *flags, int argc, char **argv)
{
  bool needs_file;
  const char *problem = NULL;
  if (argc < 2 || !gbd_lists_find_action (argv[1], &needs_file))
    problem = "specify an action: get, check FILE, diff FILE, apply FILE or "
              "history";
  else if (argc != (needs_file ? 3 : 2))
    problem = needs_file ? "specify one file after the action"
                         : "this action takes no file";
  else if (flags->with && strcmp (argv[1], "check") != 0)
    problem = "--with is for check only";
  else if (!flags->with && !flags->platform)
    problem = "specify --platform IP:PORT or set GOOSEBERRYDRUM_PLATFORM";
  else if (flags->generation < GBD_GENERATION_FROM_FILE)
    problem = "--generation must be 0 or greater";
  else if (!flags->group[0] || !flags->author[0])
    problem = "--group and --author must not be empty";
  if (problem)
    fprintf (stderr, "%s: %s\n", g_get_prgname (), problem);
  return problem == NULL;
}

static gbd_exit_t
run_in_loop (const gbd_lists_options_t *options, const char *platform)
{
  loop_t loop = { 0 };
  gbd_lists_environment_t environment
      = { .iterate = iterate, .data = &loop, .out = stdout, .err = stderr };
  if (options->with)
    return gbd_lists_command (options, &environment);

  gbd_address_t address;
  if (gbd_address_parse (platform, &address) != GBD_OK)
    {
      fprintf (stderr,
               "--platform %s: specify an IP address and port such as "
               "127.0.0.1:8500\n",
               platform);
      return GBD_EXIT_USAGE;
    }
  gbd_exit_t result = GBD_EXIT_FAILED;
  if (loop_open (&loop, &address))
    {
      environment.platform = loop.platform;
      result = gbd_lists_command (options, &environment);
    }
  gbd_platform_delete (loop.platform);
  gbd_client_close (&loop.client);
  return result;
}

static bool
loop_open (loop_t *loop, const gbd_address_t *platform)
{
  if (!gbd_client_open (&loop->client))
    return false;
  gbd_platform_settings_t settings
      = { .platform = *platform,
          .random_seed = (uint64_t)g_get_monotonic_time () };
  loop->platform = gbd_platform_new (loop->client.context, &settings);
  if (!loop->platform)
    fprintf (stderr, "cannot open sockets; raise the limit on open files\n");
  return loop->platform != NULL;
}

static gbd_time_t
iterate (void *data)
{
  loop_t *loop = data;
  gbd_time_t now = loop->client.iterate (loop->client.data);
  gbd_platform_tick (loop->platform, now);
  return now;
}
