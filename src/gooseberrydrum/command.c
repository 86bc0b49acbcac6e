#include "command.h"
#include "settings.h"

#include <stdio.h>
#include <string.h>

static void print_usage (const gbd_command_t *commands, FILE *stream);

int
gbd_command_run (const gbd_command_t *commands, int argc, char **argv)
{
  if (argc < 2)
    {
      print_usage (commands, stderr);
      return GBD_EXIT_USAGE;
    }
  if (argc == 3 && strcmp (argv[1], "help") == 0
      && strcmp (argv[2], "man") == 0)
    {
      gbd_settings_print_man (stdout);
      return GBD_EXIT_OK;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0)
    {
      print_usage (commands, stdout);
      return GBD_EXIT_OK;
    }
  for (const gbd_command_t *command = commands; command->name; command++)
    {
      if (strcmp (command->name, argv[1]) == 0)
        return command->run (argc - 1, argv + 1);
    }
  fprintf (stderr,
           "gooseberrydrum: unknown command \"%s\"; "
           "`gooseberrydrum help` lists the commands\n",
           argv[1]);
  return GBD_EXIT_USAGE;
}

static void
print_usage (const gbd_command_t *commands, FILE *stream)
{
  fprintf (stream, "usage: gooseberrydrum COMMAND [OPTION...]\n\n");
  for (const gbd_command_t *command = commands; command->name; command++)
    fprintf (stream, "  %-10s %s\n", command->name, command->summary);
  fprintf (stream, "\n`gooseberrydrum COMMAND --help` lists its options.\n");
}
