/** @file lists.h
 *  The two lists that operators edit: customers, with their services and
 *  addresses, and plans, with what each allows.
 *
 *  customers: {"customers": [{"name": NAME, "plan": NAME, "services":
 *    [{"service": NAME, "addresses": ["IP:PORT", ...]}, ...]}, ...]}
 *  plans: {"plans": [{"name": NAME, "services": [NAME, ...],
 *    "open_flows": N, "new_flows_per_second": N, "idle_limit_s": N,
 *    "balance_percent": N}, ...]}
 *
 *  Each list may also have "generation": N beside its array, the accepted
 *  generation that the edit started from.  All other fields are required and
 *  there are no others.  A NAME has 1 to
 *  GBD_NAME_MAX lower-case letters, digits or inner hyphens.  The ranges of
 *  the numbers are those of gbd_plan_t.
 */
#ifndef GOOSEBERRYDRUM_LISTS_H
#define GOOSEBERRYDRUM_LISTS_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/catalog.h"

GBD_BEGIN_DECLS

typedef enum
{
  GBD_LIST_CUSTOMERS,
  GBD_LIST_PLANS
} gbd_list_t;
#define GBD_LIST_COUNT 2

/** "customers" and "plans". */
extern const char *const gbd_list_strings[GBD_LIST_COUNT];

/** Largest text of a list, and of both together, in bytes; the rest of the
 *  platform's megabyte is for the history. */
#define GBD_LISTS_BYTES_MAX 1000000
/** Errors that are kept; further ones are only counted. */
#define GBD_LIST_ERRORS_MAX 200

#define GBD_LIST_TEXT_MAX 256

/** One broken rule. */
typedef struct
{
  gbd_list_t list;
  uint32_t line;                 /**< from 1 */
  char field[GBD_LIST_TEXT_MAX]; /**< such as customers[0].plan */
  char cause[GBD_LIST_TEXT_MAX];
  char remedy[GBD_LIST_TEXT_MAX];
} gbd_list_error_t;

typedef struct gbd_list_errors gbd_list_errors_t;

/** @return an empty collection, or NULL when memory is short. */
gbd_list_errors_t *gbd_list_errors_new (void);
void gbd_list_errors_delete (gbd_list_errors_t *errors);

uint32_t gbd_list_errors_get_count (const gbd_list_errors_t *errors);
const gbd_list_error_t *gbd_list_errors_get (const gbd_list_errors_t *,
                                             uint32_t index);
/** Errors beyond GBD_LIST_ERRORS_MAX. */
uint32_t gbd_list_errors_get_omitted (const gbd_list_errors_t *errors);

/** Longest text of one error with its NUL. */
#define GBD_LIST_ERROR_TEXT_MAX 1024

/** "customers list, line 4, customers[0].plan: CAUSE; REMEDY"
 *  @param text at least GBD_LIST_ERROR_TEXT_MAX bytes */
void gbd_list_error_format (const gbd_list_error_t *error, char *text);

/** Check both lists, each alone and against the other.
 *  @param customers,plans  JSON texts; NULL stands for an empty list
 *  @param errors  every broken rule is added, in order of the lists' lines
 *  @return GBD_OK; GBD_ERROR_FORMAT when a rule is broken, in which case
 *  neither list may be used; GBD_ERROR_MEMORY. */
gbd_status_t gbd_lists_check (const char *customers, const char *plans,
                              gbd_list_errors_t *errors);

/** Check both lists, then make their catalog.
 *  @param catalog set to NULL unless GBD_OK is returned
 *  @return as gbd_lists_check. */
gbd_status_t gbd_lists_to_catalog (const char *customers, const char *plans,
                                   uint64_t generation,
                                   gbd_list_errors_t *errors,
                                   gbd_catalog_t **catalog);

GBD_END_DECLS
#endif
