/** @file config_command.h
 *  The subcommand `config`, without its flags.
 */
#ifndef PROGRAM_CONFIG_COMMAND_H
#define PROGRAM_CONFIG_COMMAND_H

#include <stdbool.h>
#include <stdio.h>

#include "command.h"

/** Arguments of `config check`. */
typedef struct
{
  const char *file;    /**< configuration to check */
  const char *against; /**< file of the one in force; NULL: do not compare */
  bool is_json;
} gbd_config_options_t;

/** Check a configuration and print the findings.  A file contains either the
 *  configuration itself or the whole object of the platform.
 *  @param out for the findings
 *  @return GBD_EXIT_OK if there are no errors and no warnings, GBD_EXIT_FAILED
 *  if there are warnings only, GBD_EXIT_USAGE if there are errors. */
gbd_exit_t gbd_config_command_check (const gbd_config_options_t *options,
                                     FILE *out);

#endif
