/** @file admin_command.h
 *  Implementation of the subcommands `status`, `dump` and `explain`, without
 *  option parsing and event loop.
 */
#ifndef PROGRAM_ADMIN_COMMAND_H
#define PROGRAM_ADMIN_COMMAND_H

#include "client.h"

/** Print the response of one instance to a GET request.
 *  @param path path at the admin interface, such as "/status" */
gbd_exit_t gbd_admin_command_show (const gbd_client_t *client,
                                   const gbd_address_t *admin,
                                   const char *token, const char *path);

/** Print the installed generation of each instance that the platform lists in
 *  a group, and whether it is older than the accepted generation.
 *  @return GBD_EXIT_OK if the accepted generation is installed everywhere;
 *  GBD_EXIT_FAILED if an instance has an older one or does not respond;
 *  GBD_EXIT_UNAVAILABLE if the platform does not respond. */
gbd_exit_t gbd_admin_command_group (const gbd_client_t *client,
                                    const gbd_address_t *platform,
                                    const char *token, const char *group);

#endif
