/** @file cmd_serve.h
 *  Subcommand `serve`: runs one instance until a planned stop.
 */
#ifndef PROGRAM_CMD_SERVE_H
#define PROGRAM_CMD_SERVE_H

/** @return 0 after a planned stop, else a gbd_exit_t. */
int gbd_command_serve (int argc, char **argv);

#endif
