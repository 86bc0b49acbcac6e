/** @file settings_table.h
 *  The table of settings, and how each kind of value is read.
 */
#ifndef PROGRAM_SETTINGS_TABLE_H
#define PROGRAM_SETTINGS_TABLE_H

#include "settings.h"

#define GBD_REMEDY_LENGTH_MAX 256 /**< bytes, with the NUL */

typedef struct gbd_setting gbd_setting_t;

/** How values of one kind are read and described. */
typedef struct
{
  /** Read a text into the field.  @return NULL, or what is wrong. */
  const char *(*parse) (const gbd_setting_t *setting, const char *text,
                        void *field);
  /** Write what is allowed, as "a whole number from 1 to 9 ms". */
  void (*describe) (const gbd_setting_t *setting, char *text, size_t size);
  bool is_flag; /**< takes no value on the command line */
} gbd_setting_kind_t;

/** One setting. */
struct gbd_setting
{
  const char *name; /**< of the flag; "-" becomes "_" in the variable */
  const gbd_setting_kind_t *kind;
  size_t offset;        /**< of the field in gbd_settings_t */
  const char *standard; /**< text of the default; NULL: must be given, ""
                             leaves the field empty */
  const char *unit;     /**< of a number, with a space before it, or "" */
  uint64_t minimum;
  uint64_t maximum;
  const char *const *choices; /**< ends with NULL */
  bool is_secret;             /**< no flag, only a variable */
  const char *help;
};

extern const gbd_setting_t gbd_setting_table[];
extern const size_t gbd_setting_count;

/** Name of the variable, in a buffer of at least GBD_REMEDY_LENGTH_MAX. */
void gbd_setting_get_variable (const gbd_setting_t *setting, char *variable);

/** Setting of a name; the name must exist. */
const gbd_setting_t *gbd_setting_find (const char *name);

/** Rules between settings.  @return the number of reports. */
uint32_t gbd_settings_check (const gbd_settings_t *settings,
                             gbd_settings_report_t report, void *data);

#endif
