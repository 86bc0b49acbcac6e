/** @file list_errors.h
 *  Adding to a collection of errors in the lists.
 */
#ifndef LIB_LIST_ERRORS_H
#define LIB_LIST_ERRORS_H

#include "gooseberrydrum/lists.h"
#include "json_lines.h"

#define GBD_LIST_DEPTH_MAX 8

/** Place in one list, while it is checked. */
typedef struct
{
  gbd_list_t list;
  const char *text;
  gbd_json_step_t path[GBD_LIST_DEPTH_MAX];
  size_t depth;
} gbd_list_place_t;

void gbd_list_place_enter_key (gbd_list_place_t *place, const char *key);
void gbd_list_place_enter_index (gbd_list_place_t *place, size_t index);
void gbd_list_place_leave (gbd_list_place_t *place);

/** Add an error at a place.  @param cause format of the arguments */
void gbd_list_errors_add (gbd_list_errors_t *errors,
                          const gbd_list_place_t *place, const char *remedy,
                          const char *cause, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Add an error at a line that is known. */
void gbd_list_errors_add_line (gbd_list_errors_t *errors, gbd_list_t list,
                               uint32_t line, const char *remedy,
                               const char *cause);

#endif
