/** @file list_update.h
 *  State machine that updates one list of the accepted configuration by
 *  compare-and-swap.  It determines which call to the platform is made next,
 *  and in the end which result is reported to the operator.
 *
 *  Each change has a random identifier.  When the response to a write is lost,
 *  the object is read until its history contains the identifier, or until
 *  another change has been stored with the generation of the write; the lost
 *  write can then no longer take effect.  A write with the same change and the
 *  same expected version may be repeated, because the platform applies at most
 *  one of them.
 *
 *  A change is based on the generation in its file.  If the same list
 *  has been changed since that generation, the update ends with a conflict,
 *  so that it cannot undo a change of another operator.  Changes of the other
 *  list are kept, and the two lists are checked together again.
 */
#ifndef GOOSEBERRYDRUM_LIST_UPDATE_H
#define GOOSEBERRYDRUM_LIST_UPDATE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/accepted.h"

GBD_BEGIN_DECLS

/** Use the generation that the file of the list states.  A file without a
 *  generation can only create the first version of a list. */
#define GBD_GENERATION_FROM_FILE (-1)

/** The change, and the settings of its retries. */
typedef struct
{
  gbd_change_t change;
  const char *text;      /**< the new list, as JSON */
  int64_t generation;    /**< generation that the change is based on, or
                              GBD_GENERATION_FROM_FILE */
  uint32_t attempts_max; /**< failed calls after which the update ends */
  uint64_t random_seed;  /**< for the jitter of the back-off */
} gbd_list_update_settings_t;

/** Next action of the code that runs the update. */
typedef enum
{
  GBD_LIST_UPDATE_READ,  /**< read the accepted object */
  GBD_LIST_UPDATE_WRITE, /**< replace the accepted object, at the version from
                              gbd_list_update_get_version(), with the value
                              from gbd_list_update_get_value() */
  GBD_LIST_UPDATE_WAIT,  /**< back-off: call gbd_list_update_tick until the
                              action changes */
  GBD_LIST_UPDATE_DONE   /**< report the result */
} gbd_list_update_action_t;

/** Result of an update. */
typedef enum
{
  GBD_LIST_UPDATE_ACCEPTED,
  GBD_LIST_UPDATE_UNCHANGED,   /**< the accepted list equals the new list */
  GBD_LIST_UPDATE_REFUSED,     /**< invalid list, or too large */
  GBD_LIST_UPDATE_CONFLICT,    /**< the list has changed since the base
                                    generation, or the history cannot show
                                    that it has not */
  GBD_LIST_UPDATE_UNAVAILABLE, /**< not accepted: platform unreachable */
  GBD_LIST_UPDATE_UNKNOWN,     /**< may or may not have been accepted */
  GBD_LIST_UPDATE_FAILED       /**< the accepted object is damaged */
} gbd_list_update_result_t;

/** An update of one list. */
typedef struct gbd_list_update gbd_list_update_t;

/** Start an update.  The texts are copied.
 *  @return NULL when out of memory. */
gbd_list_update_t *
gbd_list_update_new (const gbd_list_update_settings_t *settings);
void gbd_list_update_delete (gbd_list_update_t *update);

gbd_list_update_action_t
gbd_list_update_get_action (const gbd_list_update_t *update);
uint64_t gbd_list_update_get_version (const gbd_list_update_t *update);
json_t *gbd_list_update_get_value (const gbd_list_update_t *update);

/** Pass in the outcome of the read or write that gbd_list_update_get_action()
 *  asked for.
 *  @param status,version,value  as gbd_platform_done_t reports them */
void gbd_list_update_receive (gbd_list_update_t *update, gbd_status_t status,
                              uint64_t version, const json_t *value,
                              gbd_time_t now);

/** Advance the time; ends a back-off that is over. */
void gbd_list_update_tick (gbd_list_update_t *update, gbd_time_t now);

/** After GBD_LIST_UPDATE_DONE: the result, a message that names the remedy,
 *  the errors of a refused list, and the newest generation that was seen. */
gbd_list_update_result_t
gbd_list_update_get_result (const gbd_list_update_t *update);
const char *gbd_list_update_get_message (const gbd_list_update_t *update);
const gbd_list_errors_t *
gbd_list_update_get_errors (const gbd_list_update_t *update);
uint64_t gbd_list_update_get_generation (const gbd_list_update_t *update);

GBD_END_DECLS
#endif
