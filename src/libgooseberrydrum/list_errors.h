/** @file list_errors.h
 *  Errors in the lists, and the locations that they refer to.
 */
#ifndef LIB_LIST_ERRORS_H
#define LIB_LIST_ERRORS_H

#include "gooseberrydrum/lists.h"
#include "json_lines.h"

/** Deepest nesting of keys and indexes in a list. */
#define GBD_LIST_DEPTH_MAX 8

/** Location in a list: the path of keys and indexes from its root. */
typedef struct
{
  gbd_list_t list;
  const char *text; /**< JSON of the list */
  gbd_json_path_segment_t path[GBD_LIST_DEPTH_MAX];
  size_t depth;
} gbd_list_location_t;

void gbd_list_location_push_key (gbd_list_location_t *location,
                                 const char *key);
void gbd_list_location_push_index (gbd_list_location_t *location,
                                   size_t index);
void gbd_list_location_pop (gbd_list_location_t *location);

/** Add an error at a location.
 *  @param cause printf format of the cause; its arguments follow */
void gbd_list_errors_add (gbd_list_errors_t *errors,
                          const gbd_list_location_t *location,
                          const char *remedy, const char *cause, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Add an error for a line of a list, without a path. */
void gbd_list_errors_add_line (gbd_list_errors_t *errors, gbd_list_t list,
                               uint32_t line, const char *remedy,
                               const char *cause);

#endif
