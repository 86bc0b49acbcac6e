/** @file acceptance.h
 *  Accepting one change of one list: what to ask of the platform next, and
 *  what to tell the operator.
 *
 *  The change has an identifier of its own.  A write whose answer was lost is
 *  followed by reads, until the identifier shows in the object or its
 *  history, or another change shows that the write can no longer take effect.
 *  To write again the same change over the same version is safe, for the
 *  platform takes only one of the two.
 *
 *  A change starts from the generation that its file names.  If the same list
 *  has been changed since, it is refused as a conflict, so that it cannot
 *  undo what another operator had accepted.  A change of the other list in
 *  between is kept, and the two are checked together again.
 */
#ifndef GOOSEBERRYDRUM_ACCEPTANCE_H
#define GOOSEBERRYDRUM_ACCEPTANCE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/accepted.h"

GBD_BEGIN_DECLS

/** The file names no generation; it must be the list's first one. */
#define GBD_GENERATION_FROM_FILE (-1)

typedef struct
{
  gbd_change_t change;
  const char *text;      /**< the new list */
  int64_t generation;    /**< that it starts from, or
                              GBD_GENERATION_FROM_FILE */
  uint32_t attempts_max; /**< reads and writes that may fail */
  uint64_t random_seed;  /**< of the jitter */
} gbd_acceptance_settings_t;

/** What the caller does next. */
typedef enum
{
  GBD_ACCEPTANCE_READ,  /**< read the accepted object */
  GBD_ACCEPTANCE_WRITE, /**< put get_value over get_version */
  GBD_ACCEPTANCE_WAIT,  /**< call gbd_acceptance_tick until it changes */
  GBD_ACCEPTANCE_END    /**< tell the result */
} gbd_acceptance_action_t;

typedef enum
{
  GBD_ACCEPTANCE_ACCEPTED,
  GBD_ACCEPTANCE_UNCHANGED,   /**< the list is already in force */
  GBD_ACCEPTANCE_REFUSED,     /**< breaks a rule; see the errors */
  GBD_ACCEPTANCE_CONFLICT,    /**< another change of the list was first */
  GBD_ACCEPTANCE_UNAVAILABLE, /**< surely not accepted */
  GBD_ACCEPTANCE_UNKNOWN,     /**< perhaps accepted */
  GBD_ACCEPTANCE_FAILED       /**< the accepted object is damaged */
} gbd_acceptance_result_t;

typedef struct gbd_acceptance gbd_acceptance_t;

/** @return NULL when memory is short.  The texts are copied. */
gbd_acceptance_t *
gbd_acceptance_new (const gbd_acceptance_settings_t *settings);
void gbd_acceptance_delete (gbd_acceptance_t *acceptance);

gbd_acceptance_action_t
gbd_acceptance_get_action (const gbd_acceptance_t *acceptance);
uint64_t gbd_acceptance_get_version (const gbd_acceptance_t *acceptance);
json_t *gbd_acceptance_get_value (const gbd_acceptance_t *acceptance);

/** Outcome of the read or write that was asked for, as the platform client
 *  reports it. */
void gbd_acceptance_receive (gbd_acceptance_t *acceptance, gbd_status_t status,
                             uint64_t version, const json_t *value,
                             gbd_time_t now);
void gbd_acceptance_tick (gbd_acceptance_t *acceptance, gbd_time_t now);

/** At the end: result, a message of one or more lines that names the
 *  remedy, and the generation in force as far as it is known. */
gbd_acceptance_result_t
gbd_acceptance_get_result (const gbd_acceptance_t *acceptance);
const char *gbd_acceptance_get_message (const gbd_acceptance_t *acceptance);
const gbd_list_errors_t *
gbd_acceptance_get_errors (const gbd_acceptance_t *acceptance);
uint64_t gbd_acceptance_get_generation (const gbd_acceptance_t *acceptance);

GBD_END_DECLS
#endif
