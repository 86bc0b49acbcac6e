/** @file predict_command.h
 *  The subcommand `predict`, without the parsing of its command line.
 */
#ifndef PROGRAM_PREDICT_COMMAND_H
#define PROGRAM_PREDICT_COMMAND_H

#include "client.h"
#include "gooseberrydrum/lists.h"

typedef struct
{
  gbd_address_t platform;
  const char *group;
  uint32_t heartbeat_ms; /**< heartbeat interval of the instances */
  bool is_json;
} gbd_predict_options_t;

/** Print what would change if a file were accepted as a list. */
gbd_exit_t gbd_predict_command_list (const gbd_client_t *client,
                                     const gbd_predict_options_t *options,
                                     gbd_list_t list, const char *file);

/** Print what would happen if a backend server that the platform lists were
 *  drained. */
gbd_exit_t gbd_predict_command_drain (const gbd_client_t *client,
                                      const gbd_predict_options_t *options,
                                      const char *uid);

/** Print what would happen if a backend server were added to a service. */
gbd_exit_t gbd_predict_command_add (const gbd_client_t *client,
                                    const gbd_predict_options_t *options,
                                    const char *uid, const char *service);

#endif
