#include "settings_kinds.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>
#include <unistd.h>

#include <glib.h>

static const char *parse_name (const gbd_setting_t *setting, const char *text,
                               void *field);
static const char *parse_address (const gbd_setting_t *setting,
                                  const char *text, void *field);
static const char *parse_optional_address (const gbd_setting_t *setting,
                                           const char *text, void *field);
static const char *parse_addresses (const gbd_setting_t *setting,
                                    const char *text, void *field);
static const char *parse_number (const gbd_setting_t *setting,
                                 const char *text, void *field);
static const char *parse_decimal (const gbd_setting_t *setting,
                                  const char *text, void *field);
static const char *parse_power_of_two (const gbd_setting_t *setting,
                                       const char *text, void *field);
static const char *parse_flag (const gbd_setting_t *setting, const char *text,
                               void *field);
static const char *parse_file (const gbd_setting_t *setting, const char *text,
                               void *field);
static const char *parse_choice (const gbd_setting_t *setting,
                                 const char *text, void *field);
static const char *parse_priority (const gbd_setting_t *setting,
                                   const char *text, void *field);
static const char *parse_key (const gbd_setting_t *setting, const char *text,
                              void *field);
static const char *parse_token (const gbd_setting_t *setting, const char *text,
                                void *field);
static void describe_name (const gbd_setting_t *setting, char *text,
                           size_t size);
static void describe_address (const gbd_setting_t *setting, char *text,
                              size_t size);
static void describe_optional_address (const gbd_setting_t *setting,
                                       char *text, size_t size);
static void describe_addresses (const gbd_setting_t *setting, char *text,
                                size_t size);
static void describe_number (const gbd_setting_t *setting, char *text,
                             size_t size);
static void describe_decimal (const gbd_setting_t *setting, char *text,
                              size_t size);
static void describe_power_of_two (const gbd_setting_t *setting, char *text,
                                   size_t size);
static void describe_flag (const gbd_setting_t *setting, char *text,
                           size_t size);
static void describe_file (const gbd_setting_t *setting, char *text,
                           size_t size);
static void describe_choice (const gbd_setting_t *setting, char *text,
                             size_t size);
static void describe_key (const gbd_setting_t *setting, char *text,
                          size_t size);
static void describe_token (const gbd_setting_t *setting, char *text,
                            size_t size);
static int find_choice (const gbd_setting_t *setting, const char *text);
static int parse_hex_digit (char digit);

const gbd_setting_kind_t gbd_kind_name = { parse_name, describe_name, false };
const gbd_setting_kind_t gbd_kind_address
    = { parse_address, describe_address, false };
const gbd_setting_kind_t gbd_kind_optional_address
    = { parse_optional_address, describe_optional_address, false };
const gbd_setting_kind_t gbd_kind_addresses
    = { parse_addresses, describe_addresses, false };
const gbd_setting_kind_t gbd_kind_number
    = { parse_number, describe_number, false };
const gbd_setting_kind_t gbd_kind_decimal
    = { parse_decimal, describe_decimal, false };
const gbd_setting_kind_t gbd_kind_power_of_two
    = { parse_power_of_two, describe_power_of_two, false };
const gbd_setting_kind_t gbd_kind_flag = { parse_flag, describe_flag, true };
const gbd_setting_kind_t gbd_kind_file = { parse_file, describe_file, false };
const gbd_setting_kind_t gbd_kind_choice
    = { parse_choice, describe_choice, false };
const gbd_setting_kind_t gbd_kind_priority
    = { parse_priority, describe_choice, false };
const gbd_setting_kind_t gbd_kind_key = { parse_key, describe_key, false };
const gbd_setting_kind_t gbd_kind_token
    = { parse_token, describe_token, false };

/* Names become parts of URL paths of the platform's API and of log lines. */
static const char *
parse_name (const gbd_setting_t *setting, const char *text, void *field)
{
  (void)setting;
  size_t length = strlen (text);
  if (length == 0)
    return "is empty";
  if (length > GBD_NAME_MAX)
    return "is too long";
  for (size_t i = 0; i < length; i++)
    {
      if (!islower ((unsigned char)text[i])
          && !isdigit ((unsigned char)text[i]) && text[i] != '-')
        return "has a character that is not allowed in names";
    }
  memcpy (field, text, length + 1);
  return NULL;
}

static const char *
parse_address (const gbd_setting_t *setting, const char *text, void *field)
{
  (void)setting;
  if (gbd_address_parse (text, field) != GBD_OK)
    return "is not an IP address with a port";
  return NULL;
}

static const char *
parse_optional_address (const gbd_setting_t *setting, const char *text,
                        void *field)
{
  /* A template expands to an empty text if the platform has no address. */
  if (text[0] && strcmp (text, "off") != 0)
    return parse_address (setting, text, field);
  memset (field, 0, sizeof (gbd_address_t));
  return NULL;
}

static const char *
parse_addresses (const gbd_setting_t *setting, const char *text, void *field)
{
  gbd_address_list_t *list = field;
  char address[GBD_ADDRESS_TEXT_MAX];
  list->count = 0;
  while (*text)
    {
      size_t length = strcspn (text, ",");
      if (list->count == GBD_ADDRESS_LIST_MAX)
        return "has more than three addresses";
      if (length >= sizeof address)
        return "is not a list of IP addresses with ports";
      memcpy (address, text, length);
      address[length] = '\0';
      if (parse_address (setting, address, &list->addresses[list->count]))
        return "is not a list of IP addresses with ports";
      list->count++;
      text += length;
      if (*text == ',')
        text++;
    }
  return NULL;
}

static const char *
parse_number (const gbd_setting_t *setting, const char *text, void *field)
{
  char *end;
  errno = 0;
  unsigned long long value = strtoull (text, &end, 10);
  if (!isdigit ((unsigned char)text[0]) || *end)
    return "is not a whole number";
  if (errno != 0 || value < setting->minimum || value > setting->maximum)
    return "is out of range";
  *(uint32_t *)field = (uint32_t)value;
  return NULL;
}

static const char *
parse_decimal (const gbd_setting_t *setting, const char *text, void *field)
{
  gbd_decimal_t *decimal = field;
  *decimal = (gbd_decimal_t){ .is_set = text[0] != '\0' };
  /* A template expands to an empty text if the platform has no number. */
  if (!decimal->is_set)
    return NULL;
  char *end;
  errno = 0;
  decimal->value = g_ascii_strtod (text, &end);
  if (text[strspn (text, "0123456789.")] || end == text || *end || errno != 0)
    return "is not a number";
  if (decimal->value < (double)setting->minimum
      || decimal->value > (double)setting->maximum)
    return "is out of range";
  return NULL;
}

static const char *
parse_power_of_two (const gbd_setting_t *setting, const char *text,
                    void *field)
{
  uint32_t value;
  const char *problem = parse_number (setting, text, &value);
  if (problem)
    return problem;
  if ((value & (value - 1)) != 0)
    return "is not a power of two";
  *(uint32_t *)field = value;
  return NULL;
}

static const char *
parse_flag (const gbd_setting_t *setting, const char *text, void *field)
{
  (void)setting;
  bool is_on = strcmp (text, "yes") == 0;
  if (!is_on && strcmp (text, "no") != 0)
    return "is neither yes nor no";
  *(bool *)field = is_on;
  return NULL;
}

static const char *
parse_file (const gbd_setting_t *setting, const char *text, void *field)
{
  (void)setting;
  size_t length = strlen (text);
  if (length > GBD_PATH_LENGTH_MAX)
    return "is too long";
  if (length > 0 && access (text, R_OK) != 0)
    return "names a file that cannot be read";
  memcpy (field, text, length + 1);
  return NULL;
}

static const char *
parse_choice (const gbd_setting_t *setting, const char *text, void *field)
{
  int choice = find_choice (setting, text);
  if (choice < 0)
    return "is not one of the choices";
  *(const char **)field = setting->choices[choice];
  return NULL;
}

static const char *
parse_priority (const gbd_setting_t *setting, const char *text, void *field)
{
  int choice = find_choice (setting, text);
  if (choice < 0)
    return "is not one of the choices";
  *(int *)field = LOG_ERR + choice;
  return NULL;
}

static const char *
parse_key (const gbd_setting_t *setting, const char *text, void *field)
{
  (void)setting;
  uint8_t *key = field;
  if (strlen (text) != (size_t)2 * GBD_GROUP_KEY_LENGTH)
    return "does not have 32 digits";
  for (size_t i = 0; i < GBD_GROUP_KEY_LENGTH; i++)
    {
      int high = parse_hex_digit (text[2 * i]);
      int low = parse_hex_digit (text[2 * i + 1]);
      if (high < 0 || low < 0)
        return "has a character that is not a hexadecimal digit";
      key[i] = (uint8_t)(high << 4 | low);
    }
  return NULL;
}

static const char *
parse_token (const gbd_setting_t *setting, const char *text, void *field)
{
  (void)setting;
  size_t length = strlen (text);
  if (length > 0 && length < GBD_TOKEN_LENGTH_MIN)
    return "is too short";
  if (length > GBD_TOKEN_LENGTH_MAX)
    return "is too long";
  for (size_t i = 0; i < length; i++)
    {
      if (!isgraph ((unsigned char)text[i]))
        return "has a space or a character that is not printable";
    }
  memcpy (field, text, length + 1);
  return NULL;
}

static void
describe_name (const gbd_setting_t *setting, char *text, size_t size)
{
  (void)setting;
  snprintf (text, size, "1 to %d characters from a-z, 0-9 and -",
            GBD_NAME_MAX);
}

static void
describe_address (const gbd_setting_t *setting, char *text, size_t size)
{
  (void)setting;
  snprintf (text, size, "an address such as 10.0.0.1:7000 or [fd00::1]:7000");
}

static void
describe_optional_address (const gbd_setting_t *setting, char *text,
                           size_t size)
{
  (void)setting;
  snprintf (text, size, "an address such as 127.0.0.1:7480, or off");
}

static void
describe_addresses (const gbd_setting_t *setting, char *text, size_t size)
{
  (void)setting;
  snprintf (text, size,
            "up to three IP addresses with ports, separated by commas");
}

static void
describe_number (const gbd_setting_t *setting, char *text, size_t size)
{
  snprintf (text, size, "a whole number from %llu to %llu%s",
            (unsigned long long)setting->minimum,
            (unsigned long long)setting->maximum, setting->unit);
}

static void
describe_decimal (const gbd_setting_t *setting, char *text, size_t size)
{
  snprintf (text, size,
            "a number from %llu to %llu%s, such as 1.5, or nothing",
            (unsigned long long)setting->minimum,
            (unsigned long long)setting->maximum, setting->unit);
}

static void
describe_power_of_two (const gbd_setting_t *setting, char *text, size_t size)
{
  snprintf (text, size, "a power of two from %llu to %llu%s",
            (unsigned long long)setting->minimum,
            (unsigned long long)setting->maximum, setting->unit);
}

static void
describe_flag (const gbd_setting_t *setting, char *text, size_t size)
{
  (void)setting;
  snprintf (text, size, "yes or no in the variable; the flag alone means yes");
}

static void
describe_file (const gbd_setting_t *setting, char *text, size_t size)
{
  (void)setting;
  snprintf (text, size, "the path of a readable file");
}

static void
describe_choice (const gbd_setting_t *setting, char *text, size_t size)
{
  size_t used = (size_t)snprintf (text, size, "one of");
  for (size_t i = 0; setting->choices[i] && used < size; i++)
    used += (size_t)snprintf (text + used, size - used, "%s %s",
                              i > 0 ? "," : "", setting->choices[i]);
}

static void
describe_key (const gbd_setting_t *setting, char *text, size_t size)
{
  (void)setting;
  snprintf (text, size,
            "32 hexadecimal digits, the same for all instances of the group, "
            "such as the output of `openssl rand -hex 16`");
}

static void
describe_token (const gbd_setting_t *setting, char *text, size_t size)
{
  (void)setting;
  snprintf (text, size, "%d to %d printable characters without spaces",
            GBD_TOKEN_LENGTH_MIN, GBD_TOKEN_LENGTH_MAX);
}

static int
find_choice (const gbd_setting_t *setting, const char *text)
{
  for (int i = 0; setting->choices[i]; i++)
    {
      if (strcmp (setting->choices[i], text) == 0)
        return i;
    }
  return -1;
}

static int
parse_hex_digit (char digit)
{
  static const char digits[] = "0123456789abcdef";
  const char *at
      = digit ? strchr (digits, tolower ((unsigned char)digit)) : NULL;
  return at ? (int)(at - digits) : -1;
}
