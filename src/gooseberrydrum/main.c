#include "command.h"
#include "commands.h"

#include <stddef.h>

static const gbd_command_t commands[] = {
  { "customers", "read, check and change the list of customers",
    gbd_command_customers },
  { "plans", "read, check and change the list of plans", gbd_command_plans },
  { NULL, NULL, NULL },
};

int
main (int argc, char **argv)
{
  return gbd_command_run (commands, argc, argv);
}
