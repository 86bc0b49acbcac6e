/* Sends one HTTP request to a balancer's admin address or to the stand-in for
   the platform, and prints the response:
   standin-get [--method METHOD] [--body JSON] [--member KEY] IP:PORT PATH */
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>
#include <jansson.h>

#include "share/log.h"
#include "standins/http.h"

#define TIMEOUT_MS 2000
#define STATUS_OK 200

typedef struct
{
  char *method;
  char *body;
  char *member;
  gbd_address_t server;
  const char *path;
} options_t;

static bool parse_options (options_t *options, int argc, char **argv);
static bool print_response (const options_t *options, const char *response);

int
main (int argc, char **argv)
{
  options_t options = { g_strdup ("GET"), NULL, NULL, { 0 }, NULL };
  char *response = NULL;
  int result = EXIT_FAILURE;

  gbd_log_set_program ("standin-get");
  if (!parse_options (&options, argc, argv))
    goto out;
  int status = http_call (&options.server, options.method, options.path,
                          options.body, TIMEOUT_MS, &response);
  if (status == STATUS_OK && print_response (&options, response))
    result = EXIT_SUCCESS;

out:
  g_free (response);
  g_free (options.method);
  g_free (options.body);
  g_free (options.member);
  return result;
}

static bool
parse_options (options_t *options, int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "method", 0, 0, G_OPTION_ARG_STRING, &options->method,
      "method of the request", "METHOD" },
    { "body", 0, 0, G_OPTION_ARG_STRING, &options->body, "body of the request",
      "JSON" },
    { "member", 0, 0, G_OPTION_ARG_STRING, &options->member,
      "print only this member of the response", "KEY" },
    G_OPTION_ENTRY_NULL,
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("IP:PORT PATH");
  g_option_context_add_main_entries (context, entries, NULL);
  bool is_parsed = g_option_context_parse (context, &argc, &argv, &error)
                   && argc == 3
                   && gbd_address_parse (argv[1], &options->server) == GBD_OK;
  if (is_parsed)
    options->path = argv[2];
  else
    gbd_log (GBD_EVENT_STANDIN_FAILED, "get",
             error ? error->message : "see --help for the arguments");
  g_clear_error (&error);
  g_option_context_free (context);
  return is_parsed;
}

static bool
print_response (const options_t *options, const char *response)
{
  if (!options->member)
    {
      puts (response ? response : "");
      return true;
    }
  json_t *object = response ? json_loads (response, 0, NULL) : NULL;
  const json_t *member = json_object_get (object, options->member);
  if (json_is_string (member))
    puts (json_string_value (member));
  else if (member)
    {
      json_dumpf (member, stdout, JSON_COMPACT | JSON_ENCODE_ANY);
      putchar ('\n');
    }
  json_decref (object);
  return member != NULL;
}
