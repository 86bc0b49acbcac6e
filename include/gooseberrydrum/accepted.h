/** @file accepted.h
 *  The accepted configuration as the platform holds it, kind "accepted":
 *  {"generation": N, "change": ID, "author": TEXT, "at": TEXT,
 *   "customers": {...}, "plans": {...}, "history": [{"generation": N,
 *   "change": ID, "author": TEXT, "at": TEXT, "list": "customers"|"plans",
 *   "sha": HEX}, ...]}
 *
 *  The history is in ascending order, the present change last.  An object is
 *  never changed but by a conditional update to the next generation.
 */
#ifndef GOOSEBERRYDRUM_ACCEPTED_H
#define GOOSEBERRYDRUM_ACCEPTED_H

#include <jansson.h>

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/lists.h"

GBD_BEGIN_DECLS

#define GBD_ACCEPTED_KIND "accepted"
/** Changes that the history keeps. */
#define GBD_ACCEPTED_HISTORY_MAX 20

/** Who changed what. */
typedef struct
{
  gbd_list_t list;
  const char *change; /**< random identifier */
  const char *author;
  const char *at; /**< time for people to read */
} gbd_change_t;

/** Check the shape of an object, not the rules of its lists. */
bool gbd_accepted_is_valid (const json_t *accepted);

/** @return generation; 0 when `accepted` is NULL. */
uint64_t gbd_accepted_get_generation (const json_t *accepted);

/** A list, borrowed; NULL when none was accepted. */
const json_t *gbd_accepted_get_list (const json_t *accepted, gbd_list_t list);

/** Entry of the history for a change, borrowed, or NULL. */
const json_t *gbd_accepted_find_change (const json_t *accepted,
                                        const char *change);

/** Entry of the history for a generation, borrowed, or NULL. */
const json_t *gbd_accepted_find_generation (const json_t *accepted,
                                            uint64_t generation);

/** Newest change of a list after a generation.
 *  @param is_known set to false when the history does not reach back to the
 *  generation
 *  @return entry of the history, borrowed; NULL if there is none */
const json_t *gbd_accepted_find_newer (const json_t *accepted, gbd_list_t list,
                                       uint64_t generation, bool *is_known);

/** The next generation, with one list replaced.
 *  @param accepted present one, or NULL
 *  @param list     its "generation" member is left out
 *  @return owned by the caller, or NULL when memory is short */
json_t *gbd_accepted_make_next (const json_t *accepted,
                                const gbd_change_t *change,
                                const json_t *list);

/** Text of a list as `get` prints it and its lines are counted, with the
 *  generation added; owned by the caller (free).
 *  @return NULL when the list was never accepted, or memory is short */
char *gbd_accepted_write_list (const json_t *accepted, gbd_list_t list);

/** Catalog of an accepted configuration.
 *  @return GBD_ERROR_FORMAT when its shape or its lists break a rule. */
gbd_status_t gbd_accepted_to_catalog (const json_t *accepted,
                                      gbd_catalog_t **catalog);

GBD_END_DECLS
#endif
