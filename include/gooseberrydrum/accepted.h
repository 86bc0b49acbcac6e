/** @file accepted.h
 *  The accepted configuration as the platform stores it, in objects of the
 *  kind "accepted":
 *  {"generation": N, "change": ID, "author": TEXT, "at": TEXT,
 *   "customers": {...}, "plans": {...}, "history": [{"generation": N,
 *   "change": ID, "author": TEXT, "at": TEXT, "list": "customers"|"plans",
 *   "sha": HEX}, ...]}
 *
 *  The history is in ascending order of generations; its last entry is the
 *  current generation.  The object changes only by a conditional update to the
 *  next generation.
 */
#ifndef GOOSEBERRYDRUM_ACCEPTED_H
#define GOOSEBERRYDRUM_ACCEPTED_H

#include <jansson.h>

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/lists.h"

GBD_BEGIN_DECLS

#define GBD_ACCEPTED_KIND "accepted"
/** Maximum number of changes in the history. */
#define GBD_ACCEPTED_HISTORY_MAX 20

/** Author, time and list of a change. */
typedef struct
{
  gbd_list_t list;
  const char *change; /**< random identifier */
  const char *author;
  const char *at; /**< time of the change, as text for display */
} gbd_change_t;

/** Whether an object has the structure above; its lists are not checked. */
bool gbd_accepted_is_valid (const json_t *accepted);

/** @return current generation; 0 when `accepted` is NULL. */
uint64_t gbd_accepted_get_generation (const json_t *accepted);

/** @return the list, borrowed; NULL when no such list has been accepted. */
const json_t *gbd_accepted_get_list (const json_t *accepted, gbd_list_t list);

/** Find the history entry of a change.
 *  @return the entry, borrowed; NULL if there is none. */
const json_t *gbd_accepted_find_change (const json_t *accepted,
                                        const char *change);

/** Find the history entry of a generation.
 *  @return the entry, borrowed; NULL if there is none. */
const json_t *gbd_accepted_find_generation (const json_t *accepted,
                                            uint64_t generation);

/** Find the newest change of a list after a generation.
 *  @param is_history_complete set to false when the history does not reach
 *  back to the generation
 *  @return history entry, borrowed; NULL if there is none */
const json_t *gbd_accepted_find_newest_after (const json_t *accepted,
                                              gbd_list_t list,
                                              uint64_t generation,
                                              bool *is_history_complete);

/** Create the object of the next generation, with one list replaced.
 *  @param accepted current object, or NULL if there is none
 *  @param list     the new list; its member "generation" is left out
 *  @return owned by the caller, or NULL when out of memory */
json_t *gbd_accepted_make_next (const json_t *accepted,
                                const gbd_change_t *change,
                                const json_t *list);

/** Format a list, with the current generation added, as the command `get`
 *  prints it.  Line numbers of errors in an accepted list refer to this text.
 *  @return owned by the caller (free); NULL when no such list has been
 *  accepted, or when out of memory */
char *gbd_accepted_format_list (const json_t *accepted, gbd_list_t list);

/** Build the catalog of an accepted configuration.
 *  @return GBD_OK; GBD_ERROR_FORMAT when the object or one of its lists is
 *  invalid; GBD_ERROR_MEMORY. */
gbd_status_t gbd_accepted_to_catalog (const json_t *accepted,
                                      gbd_catalog_t **catalog);

GBD_END_DECLS
#endif
