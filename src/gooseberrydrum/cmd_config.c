/* Command line of the subcommand `config`. */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "commands.h"
#include "config_command.h"

typedef struct
{
  char *against;
  gboolean is_json;
} flags_t;

static bool parse_flags (flags_t *flags, int *argc, char ***argv);

int
gbd_command_config (int argc, char **argv)
{
  flags_t flags = { .against = NULL };
  gbd_exit_t result = GBD_EXIT_USAGE;
  if (parse_flags (&flags, &argc, &argv))
    {
      if (argc == 3 && strcmp (argv[1], "check") == 0)
        {
          const gbd_config_options_t options = { .file = argv[2],
                                                 .against = flags.against,
                                                 .is_json = flags.is_json };
          result = gbd_config_command_check (&options, stdout);
        }
      else
        fprintf (stderr, "%s: use check FILE [--against FILE]\n",
                 g_get_prgname ());
    }
  g_free (flags.against);
  return result;
}

static bool
parse_flags (flags_t *flags, int *argc, char ***argv)
{
  const GOptionEntry entries[] = {
    { "against", 0, 0, G_OPTION_ARG_FILENAME, &flags->against,
      "file with the configuration in force, to compare with", "FILE" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &flags->is_json, "print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new ("check FILE");
  GError *error = NULL;
  g_set_prgname ("gooseberrydrum config");
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
