/** @file json_lines.h
 *  Line numbers of values in a JSON text, which jansson does not record.
 */
#ifndef LIB_JSON_LINES_H
#define LIB_JSON_LINES_H

#include "gooseberrydrum/types.h"

/** One segment of a path: a key of an object or an index of an array. */
typedef struct
{
  const char *key; /**< NULL for an index of an array */
  size_t index;
} gbd_json_path_segment_t;

/** Find the line of the value at a path.
 *  @param text JSON that has been parsed without error
 *  @return the line number, from 1; if the path does not exist, the line of
 *  the last of its segments that exists. */
uint32_t gbd_json_find_line (const char *text,
                             const gbd_json_path_segment_t *path,
                             size_t depth);

#endif
