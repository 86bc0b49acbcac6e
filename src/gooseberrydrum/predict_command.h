/** @file predict_command.h
 *  The work of `predict`, apart from flags and loop.
 */
#ifndef PROGRAM_PREDICT_COMMAND_H
#define PROGRAM_PREDICT_COMMAND_H

#include "client.h"
#include "gooseberrydrum/lists.h"

typedef struct
{
  gbd_address_t platform;
  const char *group;
  uint32_t heartbeat_ms; /**< of the instances */
  bool is_json;
} gbd_predict_options_t;

/** Say what a file would change if it were accepted as a list. */
gbd_exit_t gbd_predict_command_list (const gbd_client_t *client,
                                     const gbd_predict_options_t *options,
                                     gbd_list_t list, const char *file);

/** Say what happens when a backend server that the platform lists drains. */
gbd_exit_t gbd_predict_command_drain (const gbd_client_t *client,
                                      const gbd_predict_options_t *options,
                                      const char *uid);

/** Say what happens when a backend server joins a service. */
gbd_exit_t gbd_predict_command_add (const gbd_client_t *client,
                                    const gbd_predict_options_t *options,
                                    const char *uid, const char *service);

#endif
