/** @file lists.h
 *  The two lists that operators edit: customers, with their services and
 *  addresses, and plans, with their allowed services and limits.
 *
 *  customers: {"customers": [{"name": NAME, "plan": NAME, "services":
 *    [{"service": NAME, "addresses": ["IP:PORT", ...]}, ...]}, ...]}
 *  plans: {"plans": [{"name": NAME, "services": [NAME, ...],
 *    "open_flows": N, "new_flows_per_second": N, "idle_limit_s": N,
 *    "balance_percent": N}, ...]}
 *
 *  Each list may also have a member "generation": N beside its array: the
 *  accepted generation that the edit is based on.  All other fields are
 *  required, and unknown fields are errors.  A NAME has 1 to GBD_NAME_MAX
 *  lower-case letters, digits or inner hyphens.  The ranges of the numbers
 *  are those of gbd_plan_t.
 */
#ifndef GOOSEBERRYDRUM_LISTS_H
#define GOOSEBERRYDRUM_LISTS_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/catalog.h"

GBD_BEGIN_DECLS

/** Identifies one of the two lists. */
typedef enum
{
  GBD_LIST_CUSTOMERS,
  GBD_LIST_PLANS
} gbd_list_t;
#define GBD_LIST_COUNT 2

/** Names of the lists: "customers" and "plans". */
extern const char *const gbd_list_strings[GBD_LIST_COUNT];

/** Maximum length in bytes of the text of one list, and of both lists
 *  together.  The platform stores values of up to 1 MiB; the rest of the value
 *  is left for the history. */
#define GBD_LISTS_BYTES_MAX 1000000
/** Maximum number of errors that a gbd_list_errors_t stores; further errors
 *  are only counted. */
#define GBD_LIST_ERRORS_MAX 200

/** Size in bytes of each text of an error (field, cause, remedy), with the
 *  NUL. */
#define GBD_LIST_TEXT_MAX 256

/** One error in a list. */
typedef struct
{
  gbd_list_t list;
  uint32_t line;                 /**< line number, counted from 1 */
  char field[GBD_LIST_TEXT_MAX]; /**< path such as customers[0].plan; empty
                                      for the list as a whole */
  char cause[GBD_LIST_TEXT_MAX];
  char remedy[GBD_LIST_TEXT_MAX];
} gbd_list_error_t;

/** Errors of both lists, sorted by list and line. */
typedef struct gbd_list_errors gbd_list_errors_t;

/** @return an empty collection, or NULL when out of memory. */
gbd_list_errors_t *gbd_list_errors_new (void);
void gbd_list_errors_delete (gbd_list_errors_t *errors);

uint32_t gbd_list_errors_get_count (const gbd_list_errors_t *errors);
const gbd_list_error_t *gbd_list_errors_get (const gbd_list_errors_t *,
                                             uint32_t index);
/** Number of errors that were not stored, beyond GBD_LIST_ERRORS_MAX. */
uint32_t gbd_list_errors_get_omitted (const gbd_list_errors_t *errors);

/** Size in bytes of the longest formatted error, with the NUL. */
#define GBD_LIST_ERROR_TEXT_MAX 1024

/** Format an error as "customers list, line 4, customers[0].plan: CAUSE;
 *  REMEDY".
 *  @param text at least GBD_LIST_ERROR_TEXT_MAX bytes */
void gbd_list_error_format (const gbd_list_error_t *error, char *text);

/** Check each list, and the references between them.
 *  @param customers,plans  JSON texts; NULL stands for an empty list
 *  @param errors  receives every error that is found
 *  @return GBD_OK; GBD_ERROR_FORMAT when there are errors, in which case
 *  neither list may be used; GBD_ERROR_MEMORY. */
gbd_status_t gbd_lists_check (const char *customers, const char *plans,
                              gbd_list_errors_t *errors);

/** Check both lists, then build a catalog from them.
 *  @param catalog set to NULL unless GBD_OK is returned
 *  @return the same as gbd_lists_check. */
gbd_status_t gbd_lists_to_catalog (const char *customers, const char *plans,
                                   uint64_t generation,
                                   gbd_list_errors_t *errors,
                                   gbd_catalog_t **catalog);

GBD_END_DECLS
#endif
