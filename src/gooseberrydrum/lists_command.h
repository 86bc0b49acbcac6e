/** @file lists_command.h
 *  The subcommands `customers` and `plans`, without their flags and their
 *  event loop.
 */
#ifndef PROGRAM_LISTS_COMMAND_H
#define PROGRAM_LISTS_COMMAND_H

#include <stdio.h>

#include "command.h"
#include "gooseberrydrum/list_update.h"
#include "platform_client.h"

/** Arguments of one command. */
typedef struct
{
  gbd_list_t list;
  const char *action; /**< get, check, diff, apply or history */
  const char *file;   /**< NULL for an action that needs none */
  const char *with; /**< for the action "check": file of the list (customers or
                       plans) to check `file` with; NULL: the accepted one */
  const char *group; /**< name of the accepted object */
  const char *author;
  const char *change; /**< identifier of this change */
  const char *at;     /**< current time, as text for display */
  int64_t generation; /**< generation that the change is based on, or
                           GBD_GENERATION_FROM_FILE */
  bool is_json;
} gbd_lists_options_t;

/** Event loop and output streams of a command. */
typedef struct
{
  gbd_platform_t *platform; /**< may be NULL if the option `with` is set */
  /** Run one iteration of the event loop and tick the platform client.
   *  @return the current time */
  gbd_time_t (*iterate) (void *data);
  void *data;
  FILE *out;
  FILE *err;
} gbd_lists_environment_t;

/** Whether an action exists.
 *  @param needs_file set to whether it needs a file */
bool gbd_lists_find_action (const char *action, bool *needs_file);

/** Run one command to completion. */
gbd_exit_t gbd_lists_command (const gbd_lists_options_t *options,
                              const gbd_lists_environment_t *environment);

#endif
