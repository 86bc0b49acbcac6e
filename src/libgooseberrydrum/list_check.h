/** @file list_check.h
 *  Checking the fields of a list by tables.
 */
#ifndef LIB_LIST_CHECK_H
#define LIB_LIST_CHECK_H

#include <jansson.h>

#include "list_errors.h"

/** Largest whole number that every JSON reader keeps. */
#define GBD_GENERATION_MAX ((json_int_t)1 << 53)

/** What the lists hold so far; values are borrowed or short texts. */
typedef struct
{
  gbd_list_errors_t *errors;
  gbd_list_place_t place;
  json_t *plans;     /**< name -> entry of the plans list */
  json_t *customers; /**< name -> true */
  json_t *services;  /**< name -> name of its customer */
  json_t *addresses; /**< canonical text -> name of its service */
  const char *customer;
  const char *service;
  json_t *plan; /**< of the customer; NULL if there is none */
  bool is_plans_list_read;
} gbd_list_check_t;

/** One field of an object. */
typedef struct gbd_list_field gbd_list_field_t;
struct gbd_list_field
{
  const char *name;
  void (*check) (gbd_list_check_t *, const gbd_list_field_t *, json_t *value);
  json_int_t least; /**< of a number */
  json_int_t most;
  bool is_optional;
};

#define GBD_LIST_FIELD_COUNT(fields) (sizeof (fields) / sizeof (fields)[0])

/** Check the whole of a list, its root being at the place of the check. */
void gbd_list_check_customers (gbd_list_check_t *check, json_t *root);
void gbd_list_check_plans (gbd_list_check_t *check, json_t *root);

/** Check an object: its fields, that none is missing and none is unknown. */
void gbd_list_check_fields (gbd_list_check_t *check, json_t *entry,
                            const gbd_list_field_t *fields,
                            size_t field_count);

/** Check each object of an array.
 *  @param begin called with each before its fields are checked */
void
gbd_list_check_entries (gbd_list_check_t *check, json_t *array,
                        const gbd_list_field_t *fields, size_t field_count,
                        void (*begin) (gbd_list_check_t *, json_t *entry));

/** Check of a field: a whole number in the field's range. */
void gbd_list_check_number (gbd_list_check_t *check,
                            const gbd_list_field_t *field, json_t *value);

/** Text of a name, or NULL with an error added. */
const char *gbd_list_read_name (gbd_list_check_t *check, json_t *value);

/** Text of a member, or NULL if it is none. */
const char *gbd_list_get_text (const json_t *entry, const char *key);

#endif
