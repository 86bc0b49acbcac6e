/** @file admin_command.h
 *  The work of `status`, `dump` and `explain`, apart from flags and loop.
 */
#ifndef PROGRAM_ADMIN_COMMAND_H
#define PROGRAM_ADMIN_COMMAND_H

#include "client.h"

/** Print what one instance answers.
 *  @param path as "/status" */
gbd_exit_t gbd_admin_command_show (const gbd_client_t *client,
                                   const gbd_address_t *admin,
                                   const char *token, const char *path);

/** Print the generation in force at each instance that the platform lists in
 *  a group, and which ones lag behind the accepted one.
 *  @return GBD_EXIT_OK when the accepted generation is in force everywhere;
 *  GBD_EXIT_FAILED when an instance lags or does not answer;
 *  GBD_EXIT_UNAVAILABLE when the platform does not answer. */
gbd_exit_t gbd_admin_command_group (const gbd_client_t *client,
                                    const gbd_address_t *platform,
                                    const char *token, const char *group);

#endif
