/** @file command.h
 *  Subcommands of the program.
 */
#ifndef GOOSEBERRYDRUM_COMMAND_H
#define GOOSEBERRYDRUM_COMMAND_H

/** Exit statuses of the program, documented in docs/OPERATIONS.md. */
typedef enum
{
  GBD_EXIT_OK = 0,
  GBD_EXIT_FAILED = 1,   /**< the command ran and failed; `config check`:
                            warnings */
  GBD_EXIT_CONFLICT = 2, /**< a concurrent change was accepted first */
  GBD_EXIT_REFUSED = 3,  /**< the input is invalid; nothing changed */
  GBD_EXIT_UNKNOWN = 4,  /**< it is unknown whether the change took effect */
  GBD_EXIT_UNAVAILABLE = 5, /**< the server is unreachable; nothing changed */
  GBD_EXIT_USAGE = 64       /**< invalid options or settings; `config
                                 check`: errors */
} gbd_exit_t;

/** One subcommand; argv[0] is its name. */
typedef struct
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
} gbd_command_t;

/** Run the subcommand that argv[1] names.
 *  @return its exit status, or GBD_EXIT_USAGE after printing the list of
 *  commands or an error. */
int gbd_command_run (const gbd_command_t *commands, int argc, char **argv);

#endif
