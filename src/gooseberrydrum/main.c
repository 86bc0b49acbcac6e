#include "command.h"

#include <stddef.h>

static const gbd_command_t commands[] = {
  { NULL, NULL, NULL },
};

int
main (int argc, char **argv)
{
  return gbd_command_run (commands, argc, argv);
}
