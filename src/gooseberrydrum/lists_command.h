/** @file lists_command.h
 *  The work of `customers` and `plans`, apart from flags and from the loop.
 */
#ifndef PROGRAM_LISTS_COMMAND_H
#define PROGRAM_LISTS_COMMAND_H

#include <stdio.h>

#include "command.h"
#include "gooseberrydrum/acceptance.h"
#include "platform_client.h"

typedef struct
{
  gbd_list_t list;
  const char *action; /**< get, check, diff, apply or history */
  const char *file;   /**< NULL where none is needed */
  const char *with;   /**< check: file of the other list, or NULL for the
                           accepted one */
  const char *group;
  const char *author;
  const char *change; /**< identifier of this change */
  const char *at;     /**< present time for people to read */
  int64_t generation; /**< or GBD_GENERATION_FROM_FILE */
  bool is_json;
} gbd_lists_options_t;

/** The loop that a command runs in. */
typedef struct
{
  gbd_platform_t *platform; /**< NULL only if `with` is given */
  /** Turn the loop once and tick the platform client.
   *  @return the present time */
  gbd_time_t (*turn) (void *data);
  void *data;
  FILE *out;
  FILE *err;
} gbd_lists_environment_t;

/** Whether an action exists, and whether it needs a file. */
bool gbd_lists_find_action (const char *action, bool *needs_file);

/** Run one command to its end. */
gbd_exit_t gbd_lists_command (const gbd_lists_options_t *options,
                              const gbd_lists_environment_t *environment);

#endif
