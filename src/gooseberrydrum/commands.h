/** @file commands.h
 *  Entry points of the subcommands; each returns a gbd_exit_t.
 */
#ifndef PROGRAM_COMMANDS_H
#define PROGRAM_COMMANDS_H

int gbd_command_customers (int argc, char **argv);
int gbd_command_plans (int argc, char **argv);
int gbd_command_config (int argc, char **argv);
int gbd_command_predict (int argc, char **argv);
int gbd_command_status (int argc, char **argv);
int gbd_command_dump (int argc, char **argv);
int gbd_command_explain (int argc, char **argv);

#endif
