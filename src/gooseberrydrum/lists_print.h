/** @file lists_print.h
 *  Output of `customers` and `plans`, as text or as JSON.
 */
#ifndef PROGRAM_LISTS_PRINT_H
#define PROGRAM_LISTS_PRINT_H

#include "lists_command.h"

/** Print the errors of the lists: as text to `err`, or as JSON to `out`. */
void gbd_lists_print_errors (const gbd_lists_options_t *options,
                             const gbd_lists_environment_t *environment,
                             const gbd_list_errors_t *errors);

/** Print the result of gbd_lists_diff to `out`. */
void gbd_lists_print_diff (const gbd_lists_options_t *options,
                           const gbd_lists_environment_t *environment,
                           const json_t *removed, const json_t *added);

/** Print the history of the accepted object to `out`. */
void gbd_lists_print_history (const gbd_lists_options_t *options,
                              const gbd_lists_environment_t *environment,
                              const json_t *accepted);

/** Print the result of an update, with the errors of a refused list. */
void gbd_lists_print_result (const gbd_lists_options_t *options,
                             const gbd_lists_environment_t *environment,
                             const gbd_list_update_t *update);

#endif
