#include <stddef.h>

#include "cmd_serve.h"
#include "command.h"
#include "commands.h"

static const gbd_command_t commands[] = {
  { "serve", "run one instance", gbd_command_serve },
  { "customers", "read, check and change the list of customers",
    gbd_command_customers },
  { "plans", "read, check and change the list of plans", gbd_command_plans },
  { "config",
    "check a configuration of the hosting platform before it is sent",
    gbd_command_config },
  { "predict", "print the effect that a change of lists or servers would have",
    gbd_command_predict },
  { "status", "print the status of one instance, or of each one in a group",
    gbd_command_status },
  { "dump", "print the complete state of one instance", gbd_command_dump },
  { "explain", "print where packets of a flow are sent, and why",
    gbd_command_explain },
  { NULL, NULL, NULL },
};

int
main (int argc, char **argv)
{
  return gbd_command_run (commands, argc, argv);
}
