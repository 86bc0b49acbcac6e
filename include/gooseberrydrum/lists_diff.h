/** @file lists_diff.h
 *  What an edit of a list changes, one line a fact.
 */
#ifndef GOOSEBERRYDRUM_LISTS_DIFF_H
#define GOOSEBERRYDRUM_LISTS_DIFF_H

#include <jansson.h>

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/lists.h"

GBD_BEGIN_DECLS

/** Compare two lists that have passed the check.
 *  A fact is a text such as "customer casa-lampiao service visitas address
 *  10.1.0.1:443" or "plan listings open_flows 400000".
 *  @param before,after NULL for an empty list
 *  @param removed,added  arrays of the facts that only one of them states,
 *  in its order; owned by the caller
 *  @return GBD_ERROR_MEMORY, with both set to NULL, when it is short. */
gbd_status_t gbd_lists_diff (gbd_list_t list, const json_t *before,
                             const json_t *after, json_t **removed,
                             json_t **added);

GBD_END_DECLS
#endif
