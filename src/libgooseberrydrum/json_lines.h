/** @file json_lines.h
 *  Where in a JSON text a value stands; jansson does not keep positions.
 */
#ifndef LIB_JSON_LINES_H
#define LIB_JSON_LINES_H

#include "gooseberrydrum/types.h"

/** One step from a value to a member of it. */
typedef struct
{
  const char *key; /**< of an object; NULL for an array */
  size_t index;    /**< in an array */
} gbd_json_step_t;

/** Find the line of a member.
 *  @param text JSON that has been parsed without error
 *  @return line from 1; that of the nearest member on the way when there is
 *  no such one. */
uint32_t gbd_json_find_line (const char *text, const gbd_json_step_t *path,
                             size_t depth);

#endif
