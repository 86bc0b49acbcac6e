#include "lists_print.h"

#include <inttypes.h>
#include <stdlib.h>

static const char *const result_strings[]
    = { "accepted",    "unchanged", "refused", "conflict",
        "unavailable", "unknown",   "failed" };

static json_t *make_errors (const gbd_list_errors_t *errors);
static void print_json (FILE *out, json_t *value);
static void print_attributes (FILE *out, const char *sign,
                              const json_t *attributes);
static const char *get_text (const json_t *entry, const char *key);

void
gbd_lists_print_errors (const gbd_lists_options_t *options,
                        const gbd_lists_environment_t *environment,
                        const gbd_list_errors_t *errors)
{
  if (options->is_json)
    {
      print_json (
          environment->out,
          json_pack ("{s:o, s:I}", "errors", make_errors (errors), "omitted",
                     (json_int_t)gbd_list_errors_get_omitted (errors)));
      return;
    }
  for (uint32_t i = 0; i < gbd_list_errors_get_count (errors); i++)
    {
      char text[GBD_LIST_ERROR_TEXT_MAX];
      gbd_list_error_format (gbd_list_errors_get (errors, i), text);
      fprintf (environment->err, "%s\n", text);
    }
  uint32_t omitted = gbd_list_errors_get_omitted (errors);
  if (omitted > 0)
    fprintf (environment->err, "and %u more; correct these first\n", omitted);
}

void
gbd_lists_print_diff (const gbd_lists_options_t *options,
                      const gbd_lists_environment_t *environment,
                      const json_t *removed, const json_t *added)
{
  if (options->is_json)
    {
      print_json (environment->out, json_pack ("{s:O, s:O}", "removed",
                                               removed, "added", added));
      return;
    }
  print_attributes (environment->out, "-", removed);
  print_attributes (environment->out, "+", added);
}

void
gbd_lists_print_history (const gbd_lists_options_t *options,
                         const gbd_lists_environment_t *environment,
                         const json_t *accepted)
{
  json_t *history = json_object_get (accepted, "history");
  if (options->is_json)
    {
      print_json (environment->out, json_pack ("{s:O?}", "history", history));
      return;
    }
  size_t index;
  json_t *entry;
  json_array_foreach (history, index, entry)
  {
    fprintf (environment->out,
             "%" JSON_INTEGER_FORMAT "  %s  %-9s  %s  %s  sha256 %.12s\n",
             json_integer_value (json_object_get (entry, "generation")),
             get_text (entry, "at"), get_text (entry, "list"),
             get_text (entry, "change"), get_text (entry, "author"),
             get_text (entry, "sha"));
  }
}

void
gbd_lists_print_result (const gbd_lists_options_t *options,
                        const gbd_lists_environment_t *environment,
                        const gbd_list_update_t *update)
{
  gbd_list_update_result_t result = gbd_list_update_get_result (update);
  const gbd_list_errors_t *errors = gbd_list_update_get_errors (update);
  const char *message = gbd_list_update_get_message (update);
  if (options->is_json)
    {
      print_json (
          environment->out,
          json_pack ("{s:s, s:s, s:I, s:s, s:o}", "result",
                     result_strings[result], "change", options->change,
                     "generation",
                     (json_int_t)gbd_list_update_get_generation (update),
                     "message", message, "errors", make_errors (errors)));
      return;
    }
  bool is_success = result == GBD_LIST_UPDATE_ACCEPTED
                    || result == GBD_LIST_UPDATE_UNCHANGED;
  gbd_lists_print_errors (options, environment, errors);
  fprintf (is_success ? environment->out : environment->err, "%s\n", message);
}

static json_t *
make_errors (const gbd_list_errors_t *errors)
{
  json_t *array = json_array ();
  for (uint32_t i = 0; i < gbd_list_errors_get_count (errors); i++)
    {
      const gbd_list_error_t *error = gbd_list_errors_get (errors, i);
      json_array_append_new (
          array, json_pack ("{s:s, s:i, s:s, s:s, s:s}", "list",
                            gbd_list_strings[error->list], "line",
                            (int)error->line, "field", error->field, "cause",
                            error->cause, "remedy", error->remedy));
    }
  return array;
}

static void
print_json (FILE *out, json_t *value)
{
  json_dumpf (value, out, JSON_INDENT (2));
  fputc ('\n', out);
  json_decref (value);
}

static void
print_attributes (FILE *out, const char *sign, const json_t *attributes)
{
  size_t index;
  json_t *attribute;
  json_array_foreach (attributes, index, attribute)
  {
    fprintf (out, "%s %s\n", sign, json_string_value (attribute));
  }
}

static const char *
get_text (const json_t *entry, const char *key)
{
  const char *text = json_string_value (json_object_get (entry, key));
  return text ? text : "";
}
