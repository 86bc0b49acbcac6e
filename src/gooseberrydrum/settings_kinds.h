/** @file settings_kinds.h
 *  The kinds of values of settings.
 */
#ifndef PROGRAM_SETTINGS_KINDS_H
#define PROGRAM_SETTINGS_KINDS_H

#include "settings_table.h"

extern const gbd_setting_kind_t gbd_kind_name;
extern const gbd_setting_kind_t gbd_kind_address;
/** An address or "off". */
extern const gbd_setting_kind_t gbd_kind_optional_address;
/** Up to GBD_ADDRESS_LIST_MAX addresses. */
extern const gbd_setting_kind_t gbd_kind_addresses;
extern const gbd_setting_kind_t gbd_kind_number;
/** A number that may have a fraction, or nothing. */
extern const gbd_setting_kind_t gbd_kind_decimal;
extern const gbd_setting_kind_t gbd_kind_power_of_two;
extern const gbd_setting_kind_t gbd_kind_flag;
extern const gbd_setting_kind_t gbd_kind_file;
extern const gbd_setting_kind_t gbd_kind_choice;
extern const gbd_setting_kind_t gbd_kind_priority;
extern const gbd_setting_kind_t gbd_kind_key;
extern const gbd_setting_kind_t gbd_kind_token;

#endif
