#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gooseberrydrum/types.h"

static void
address_text_round_trips (void **state)
{
  (void)state;
  static const char *const texts[]
      = { "127.0.0.1:80", "10.1.2.3:65535", "[::1]:443", "[2001:db8::7]:1" };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      gbd_address_t address;
      char text[GBD_ADDRESS_TEXT_MAX];
      assert_int_equal (gbd_address_parse (texts[i], &address), GBD_OK);
      gbd_address_format (&address, text);
      assert_string_equal (text, texts[i]);
    }
}

static void
malformed_addresses_are_refused (void **state)
{
  (void)state;
  static const char *const texts[]
      = { "",           "127.0.0.1",   "127.0.0.1:",      "127.0.0.1:0",
          "host:80",    "127.0.0.1:x", "127.0.0.1:65536", "::1:80",
          "[::1:80",    "[]:80",       "127.0.0.1:-1",    "1.2.3:80",
          "[1.2.3.4]:1" };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      gbd_address_t address;
      assert_int_equal (gbd_address_parse (texts[i], &address),
                        GBD_ERROR_FORMAT);
    }
}

static void
loopback_addresses_are_recognized (void **state)
{
  (void)state;
  static const struct
  {
    const char *text;
    bool is_loopback;
  } cases[] = { { "127.0.0.1:80", true },   { "127.255.0.9:80", true },
                { "128.0.0.1:80", false },  { "0.0.0.0:80", false },
                { "10.127.0.1:80", false }, { "[::1]:80", true },
                { "[::]:80", false },       { "[::1:1]:80", false },
                { "[1::1]:80", false } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      gbd_address_t address;
      assert_int_equal (gbd_address_parse (cases[i].text, &address), GBD_OK);
      assert_int_equal (gbd_address_is_loopback (&address),
                        cases[i].is_loopback);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (address_text_round_trips),
    cmocka_unit_test (malformed_addresses_are_refused),
    cmocka_unit_test (loopback_addresses_are_recognized),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
