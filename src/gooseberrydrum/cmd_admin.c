/* Options of the subcommands `status`, `dump` and `explain`. */
#include <string.h>

#include <glib.h>

#include "admin_command.h"
#include "commands.h"

#define ADMIN_DEFAULT "127.0.0.1:7480"
#define GROUP_DEFAULT "main"

typedef struct
{
  char *admin;
  char *platform;
  char *group;
  gboolean is_all;
} options_t;

static int run (const char *name, const char *arguments, bool has_flow,
                int argc, char **argv);
static bool parse_options (options_t *options, const char *name,
                           const char *arguments, int *argc, char ***argv);
static gbd_exit_t query (const options_t *options, const char *name,
                         const char *flow);
static const char *get_option (const char *option, const char *variable,
                               const char *fallback);

int
gbd_command_status (int argc, char **argv)
{
  return run ("status", "", false, argc, argv);
}

int
gbd_command_dump (int argc, char **argv)
{
  return run ("dump", "", false, argc, argv);
}

int
gbd_command_explain (int argc, char **argv)
{
  return run ("explain", "CALLER-SERVICE", true, argc, argv);
}

static int
run (const char *name, const char *arguments, bool has_flow, int argc,
     char **argv)
{
  options_t options = { 0 };
  gbd_exit_t result = GBD_EXIT_USAGE;
  bool is_parsed = parse_options (&options, name, arguments, &argc, &argv);
  if (is_parsed && argc != (has_flow ? 2 : 1))
    fprintf (stderr, "gooseberrydrum %s: %s\n", name,
             has_flow ? "specify one flow, such as 10.0.0.1:1234-10.1.0.1:443"
                      : "takes no arguments");
  else if (is_parsed)
    result = query (&options, name, has_flow ? argv[1] : NULL);
  g_free (options.admin);
  g_free (options.platform);
  g_free (options.group);
  return result;
}

static bool
parse_options (options_t *options, const char *name, const char *arguments,
               int *argc, char ***argv)
{
  const GOptionEntry common_entries[] = {
    { "admin", 0, 0, G_OPTION_ARG_STRING, &options->admin,
      "admin address of the instance (GOOSEBERRYDRUM_ADMIN, " ADMIN_DEFAULT
      ")",
      "IP:PORT" },
    G_OPTION_ENTRY_NULL,
  };
  const GOptionEntry status_entries[] = {
    { "all", 0, 0, G_OPTION_ARG_NONE, &options->is_all,
      "query every instance of the group that the platform lists", NULL },
    { "platform", 0, 0, G_OPTION_ARG_STRING, &options->platform,
      "address of the platform (GOOSEBERRYDRUM_PLATFORM)", "IP:PORT" },
    { "group", 0, 0, G_OPTION_ARG_STRING, &options->group,
      "query every instance of this group (GOOSEBERRYDRUM_GROUP, main)",
      "NAME" },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new (arguments);
  GError *error = NULL;
  char *program = g_strdup_printf ("gooseberrydrum %s", name);
  g_set_prgname (program);
  g_option_context_add_main_entries (context, common_entries, NULL);
  if (strcmp (name, "status") == 0)
    g_option_context_add_main_entries (context, status_entries, NULL);
  bool is_parsed = g_option_context_parse (context, argc, argv, &error);
  if (!is_parsed)
    {
      fprintf (stderr, "%s; `%s --help` lists the options\n", error->message,
               program);
      g_error_free (error);
    }
  g_option_context_free (context);
  g_free (program);
  return is_parsed;
}

static gbd_exit_t
query (const options_t *options, const char *name, const char *flow)
{
  gbd_client_t client;
  gbd_address_t address;
  gbd_exit_t result = GBD_EXIT_USAGE;
  const char *token = g_getenv ("GOOSEBERRYDRUM_ADMIN_TOKEN");
  if (!gbd_client_open (&client))
    return GBD_EXIT_FAILED;
  if (options->is_all || options->group)
    {
      const char *platform
          = get_option (options->platform, "GOOSEBERRYDRUM_PLATFORM", NULL);
      if (gbd_client_parse_address (&client, "--platform", platform, &address))
        result = gbd_admin_command_group (&client, &address, token,
                                          get_option (options->group,
                                                      "GOOSEBERRYDRUM_GROUP",
                                                      GROUP_DEFAULT));
    }
  else if (gbd_client_parse_address (&client, "--admin",
                                     get_option (options->admin,
                                                 "GOOSEBERRYDRUM_ADMIN",
                                                 ADMIN_DEFAULT),
                                     &address))
    {
      char *escaped = g_uri_escape_string (flow ? flow : "", ":[]", FALSE);
      char *path = flow ? g_strdup_printf ("/explain?flow=%s", escaped)
                        : g_strdup_printf ("/%s", name);
      g_free (escaped);
      result = gbd_admin_command_show (&client, &address, token, path);
      g_free (path);
    }
  gbd_client_close (&client);
  return result;
}

static const char *
get_option (const char *option, const char *variable, const char *fallback)
{
  const char *variable_value = g_getenv (variable);
  if (option)
    return option;
  return variable_value ? variable_value : fallback;
}
