/** @file list_check.h
 *  Validation of lists, driven by tables of their fields.
 */
#ifndef LIB_LIST_CHECK_H
#define LIB_LIST_CHECK_H

#include <jansson.h>

#include "list_errors.h"

/** Largest generation: up to 2^53, JSON readers that use doubles represent
 *  integers exactly. */
#define GBD_GENERATION_MAX ((json_int_t)1 << 53)

/** State of a check: the current location, and the names that have been read
 *  so far.  The check does not own the entries in `plans`. */
typedef struct
{
  gbd_list_errors_t *errors;
  gbd_list_location_t location;
  json_t *plans;        /**< name -> entry of the plans list */
  json_t *customers;    /**< name -> true */
  json_t *services;     /**< name -> name of its customer */
  json_t *addresses;    /**< canonical text -> name of its service */
  const char *customer; /**< name of the customer that is being checked */
  const char *service;  /**< name of the service that is being checked */
  json_t *plan;         /**< plan of the customer that is being checked; NULL
                             if there is none */
  bool has_plans_list;  /**< the plans list is JSON, so that references to its
                             plans can be checked */
} gbd_list_check_t;

/** One field of an object, with the function that checks its value. */
typedef struct gbd_list_field gbd_list_field_t;
struct gbd_list_field
{
  const char *name;
  void (*check) (gbd_list_check_t *, const gbd_list_field_t *, json_t *value);
  json_int_t minimum; /**< smallest value of a number */
  json_int_t maximum;
  bool is_optional;
};

#define GBD_LIST_FIELD_COUNT(fields) (sizeof (fields) / sizeof (fields)[0])

/** Check a list, and add its errors.
 *  @param root root of the list, at the current location of the check */
void gbd_list_check_customers (gbd_list_check_t *check, json_t *root);
void gbd_list_check_plans (gbd_list_check_t *check, json_t *root);

/** Check the fields of an object, and report missing and unknown fields. */
void gbd_list_check_fields (gbd_list_check_t *check, json_t *entry,
                            const gbd_list_field_t *fields,
                            size_t field_count);

/** Check each object of an array.
 *  @param begin called with each object before its fields are checked */
void
gbd_list_check_entries (gbd_list_check_t *check, json_t *array,
                        const gbd_list_field_t *fields, size_t field_count,
                        void (*begin) (gbd_list_check_t *, json_t *entry));

/** Check that a value is an integer in the range of its field. */
void gbd_list_check_number (gbd_list_check_t *check,
                            const gbd_list_field_t *field, json_t *value);

/** @return the text of a value that must be a name, or NULL after adding an
 *  error. */
const char *gbd_list_read_name (gbd_list_check_t *check, json_t *value);

/** @return the text of a member of an object, or NULL if the member is not a
 *  string. */
const char *gbd_list_get_text (const json_t *entry, const char *key);

#endif
