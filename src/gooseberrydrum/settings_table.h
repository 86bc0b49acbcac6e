/** @file settings_table.h
 *  The table of settings, and the parser of each kind of value.
 */
#ifndef PROGRAM_SETTINGS_TABLE_H
#define PROGRAM_SETTINGS_TABLE_H

#include "settings.h"

#define GBD_REMEDY_LENGTH_MAX 256 /**< bytes, with the NUL */

typedef struct gbd_setting gbd_setting_t;

/** One kind of values: its parser and its description. */
typedef struct
{
  /** Parse a text into a field of gbd_settings_t.
   *  @return NULL, or what is wrong with the text. */
  const char *(*parse) (const gbd_setting_t *setting, const char *text,
                        void *field);
  /** Describe the allowed values, such as "a whole number from 1 to 9 ms". */
  void (*describe) (const gbd_setting_t *setting, char *text, size_t size);
  bool is_flag; /**< flags of this kind take no value on the command line */
} gbd_setting_kind_t;

/** One setting. */
struct gbd_setting
{
  /** Name of the flag, without "--".  The name of the variable has "_" in
   *  place of "-". */
  const char *name;
  const gbd_setting_kind_t *kind;
  size_t offset;            /**< offset of the field in gbd_settings_t */
  const char *default_text; /**< default; NULL: the setting is required; "":
                                 the field stays unset */
  const char *unit; /**< unit of a number, with a leading space, or "" */
  uint64_t minimum;
  uint64_t maximum;
  const char *const *choices; /**< allowed texts, terminated by NULL */
  bool is_secret;             /**< has a variable but no flag */
  const char *help;           /**< description for --help and manual page */
};

extern const gbd_setting_t gbd_setting_table[];
extern const size_t gbd_setting_count;

/** Get the name of the environment variable of a setting.
 *  @param variable at least GBD_REMEDY_LENGTH_MAX bytes */
void gbd_setting_get_variable (const gbd_setting_t *setting, char *variable);

/** Find a setting by its name, which must exist. */
const gbd_setting_t *gbd_setting_find (const char *name);

/** Check the rules between settings.
 *  @return the number of reports. */
uint32_t gbd_settings_check (const gbd_settings_t *settings,
                             gbd_settings_report_t report, void *data);

#endif
