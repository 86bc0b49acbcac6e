/** @file lists_print.h
 *  What `customers` and `plans` print, for people or as JSON.
 */
#ifndef PROGRAM_LISTS_PRINT_H
#define PROGRAM_LISTS_PRINT_H

#include "lists_command.h"

/** Errors of the lists: on `err` for people, on `out` as JSON. */
void gbd_lists_print_errors (const gbd_lists_options_t *options,
                             const gbd_lists_environment_t *environment,
                             const gbd_list_errors_t *errors);

void gbd_lists_print_diff (const gbd_lists_options_t *options,
                           const gbd_lists_environment_t *environment,
                           const json_t *removed, const json_t *added);

void gbd_lists_print_history (const gbd_lists_options_t *options,
                              const gbd_lists_environment_t *environment,
                              const json_t *accepted);

/** Result of an acceptance, with the errors of a refused list. */
void gbd_lists_print_result (const gbd_lists_options_t *options,
                             const gbd_lists_environment_t *environment,
                             const gbd_acceptance_t *acceptance);

#endif
