/** @file lists_diff.h
 *  Differences between two versions of a list, one line for each attribute.
 */
#ifndef GOOSEBERRYDRUM_LISTS_DIFF_H
#define GOOSEBERRYDRUM_LISTS_DIFF_H

#include <jansson.h>

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/lists.h"

GBD_BEGIN_DECLS

/** Compare two valid lists, each flattened to a set of attributes.
 *  An attribute is a text such as "customer casa-lampiao service visitas
 *  address 10.1.0.1:443" or "plan listings open_flows 400000".
 *  @param before,after NULL for an empty list
 *  @param removed,added  arrays of the attributes that only `before` or only
 *  `after` has, in the order of the list that has them; owned by the caller
 *  @return GBD_OK; GBD_ERROR_MEMORY with both arrays set to NULL. */
gbd_status_t gbd_lists_diff (gbd_list_t list, const json_t *before,
                             const json_t *after, json_t **removed,
                             json_t **added);

GBD_END_DECLS
#endif
