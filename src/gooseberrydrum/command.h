/** @file command.h
 *  Subcommands of the program.
 */
#ifndef GOOSEBERRYDRUM_COMMAND_H
#define GOOSEBERRYDRUM_COMMAND_H

/** Exit statuses, documented in docs/OPERATIONS.md. */
typedef enum
{
  GBD_EXIT_OK = 0,
  GBD_EXIT_FAILED = 1,      /**< the work ran and failed */
  GBD_EXIT_CONFLICT = 2,    /**< another change was accepted first */
  GBD_EXIT_REFUSED = 3,     /**< the input breaks a rule; nothing changed */
  GBD_EXIT_UNKNOWN = 4,     /**< the effect is not known */
  GBD_EXIT_UNAVAILABLE = 5, /**< not reached; nothing changed */
  GBD_EXIT_USAGE = 64       /**< wrong flags or settings */
} gbd_exit_t;

/** One subcommand; argv[0] is its name. */
typedef struct
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
} gbd_command_t;

/** Run the subcommand that argv[1] names.
 *  @return its exit status, or GBD_EXIT_USAGE with a list of commands. */
int gbd_command_run (const gbd_command_t *commands, int argc, char **argv);

#endif
