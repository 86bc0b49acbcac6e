/* Reads or writes one object of the platform:
   standin-put [--platform IP:PORT] KIND NAME [JSON]
   Without JSON it prints the value of the object.  With JSON it replaces the
   value, regardless of its current version.  --member KEY=TEXT sets one
   member of the value to a string. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "share/log.h"
#include "standins/object.h"

int
main (int argc, char **argv)
{
  char *platform = g_strdup ("127.0.0.1:8500");
  char *member = NULL;
  const GOptionEntry entries[] = {
    { "platform", 0, 0, G_OPTION_ARG_STRING, &platform,
      "address of the platform", "IP:PORT" },
    { "member", 0, 0, G_OPTION_ARG_STRING, &member,
      "change one member of the current value", "KEY=TEXT" },
    G_OPTION_ENTRY_NULL,
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("KIND NAME [JSON]");
  gbd_address_t address;
  json_t *value = NULL;
  int result = EXIT_FAILURE;

  gbd_log_set_program ("standin-put");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || argc < 3
      || argc > 4 || gbd_address_parse (platform, &address) != GBD_OK)
    {
      gbd_log (GBD_EVENT_STANDIN_FAILED, "put",
               error ? error->message : "see --help for the arguments");
      goto out;
    }
  if (argc == 4)
    value = json_loads (argv[3], 0, NULL);
  else
    value = object_get (&address, argv[1], argv[2], NULL);
  if (!value)
    {
      gbd_log (GBD_EVENT_STANDIN_FAILED, "put",
               "no such object, or the value is not JSON");
      goto out;
    }

  if (member)
    {
      char *separator = strchr (member, '=');
      if (!separator)
        goto out;
      *separator = '\0';
      json_object_set_new (value, member, json_string (separator + 1));
    }
  if (argc == 3 && !member)
    {
      json_dumpf (value, stdout, JSON_COMPACT);
      putchar ('\n');
      result = EXIT_SUCCESS;
    }
  else if (object_put (&address, argv[1], argv[2], value))
    result = EXIT_SUCCESS;
  else
    gbd_log (GBD_EVENT_STANDIN_FAILED, "put",
             "the platform did not accept the object");

out:
  json_decref (value);
  g_clear_error (&error);
  g_option_context_free (context);
  g_free (platform);
  g_free (member);
  return result;
}
