#include <stddef.h>

#include "cmd_serve.h"
#include "command.h"
#include "commands.h"

static const gbd_command_t commands[] = {
  { "serve", "run one instance", gbd_command_serve },
  { "customers", "read, check and change the list of customers",
    gbd_command_customers },
  { "plans", "read, check and change the list of plans", gbd_command_plans },
  { "predict", "say what a change of lists or servers would do",
    gbd_command_predict },
  { "status", "print what one instance runs, or which ones lag",
    gbd_command_status },
  { "dump", "print the whole state of one instance", gbd_command_dump },
  { "explain", "print where packets of a flow go, and why",
    gbd_command_explain },
  { NULL, NULL, NULL },
};

int
main (int argc, char **argv)
{
  return gbd_command_run (commands, argc, argv);
}
