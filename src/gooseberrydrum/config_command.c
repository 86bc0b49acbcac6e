#include "config_command.h"

#include <string.h>

#include <glib.h>

#include "gooseberrydrum/config_check.h"
#include "platform/adapter.h"

/* A configuration that was read from a file. */
typedef struct
{
  json_t *document; /* owned */
  gbd_config_t *config;
} source_t;

static const gbd_platform_api_t *const platform_api
    = &gbd_platform_api_objects;

static void check (const gbd_config_options_t *options,
                   gbd_findings_t *findings);
static void compare (const char *against, const gbd_config_t *config,
                     gbd_findings_t *findings);
static bool source_open (source_t *source, const char *file,
                         gbd_findings_t *findings);
static json_t *read_document (const char *file, gbd_findings_t *findings);
static json_t *unwrap (json_t *document);
static void source_close (source_t *source);
static gbd_exit_t get_result (const gbd_findings_t *findings);
static void print_text (const gbd_findings_t *findings, FILE *out);
static void print_finding (const gbd_finding_t *finding, FILE *out);
static void print_json (const gbd_findings_t *findings, FILE *out);
static json_t *encode_finding (const gbd_finding_t *finding);
static void add_memory_error (gbd_findings_t *findings);

gbd_exit_t
gbd_config_command_check (const gbd_config_options_t *options, FILE *out)
{
  gbd_findings_t *findings = gbd_findings_new ();
  if (!findings)
    return GBD_EXIT_USAGE;
  check (options, findings);
  if (options->is_json)
    print_json (findings, out);
  else
    print_text (findings, out);
  gbd_exit_t result = get_result (findings);
  gbd_findings_delete (findings);
  return result;
}

static void
check (const gbd_config_options_t *options, gbd_findings_t *findings)
{
  source_t source;
  if (source_open (&source, options->file, findings))
    {
      gbd_config_check (source.config, findings);
      if (options->against)
        compare (options->against, source.config, findings);
    }
  source_close (&source);
}

/* Findings within the configuration in force are not reported, except that it
   has errors: then nothing can be said about differences. */
static void
compare (const char *against, const gbd_config_t *config,
         gbd_findings_t *findings)
{
  const gbd_finding_subject_t subject = { "file", against };
  gbd_findings_t *others = gbd_findings_new ();
  source_t source = { .config = NULL };
  if (!others)
    {
      add_memory_error (findings);
      return;
    }
  bool is_read = source_open (&source, against, others);
  if (is_read && gbd_findings_count (others, GBD_FINDING_ERROR) == 0)
    gbd_config_compare (source.config, config, findings);
  else
    gbd_findings_add (findings, GBD_FINDING_ERROR, "bad_comparison", &subject,
                      "get the configuration in force from the platform "
                      "again, or check this file alone",
                      "the configuration to compare with cannot be read or "
                      "has errors");
  source_close (&source);
  gbd_findings_delete (others);
}

/* Reads and decodes a file.  Returns false if there is nothing to check;
   source_close() is needed in any case. */
static bool
source_open (source_t *source, const char *file, gbd_findings_t *findings)
{
  source->config = NULL;
  source->document = read_document (file, findings);
  if (!source->document)
    return false;
  source->config = platform_api->read_config (source->document, findings);
  if (!source->config)
    add_memory_error (findings);
  return source->config != NULL;
}

static json_t *
read_document (const char *file, gbd_findings_t *findings)
{
  const gbd_finding_subject_t subject = { "file", file };
  char *text = NULL;
  gsize length = 0;
  GError *error = NULL;
  if (!g_file_get_contents (file, &text, &length, &error))
    {
      gbd_findings_add (findings, GBD_FINDING_ERROR, "unreadable_file",
                        &subject, "check the path and its permissions", "%s",
                        error->message);
      g_error_free (error);
      return NULL;
    }
  json_t *document = platform_api->parse (text, length);
  if (!document)
    {
      /* Parsed again for the position, which the adapter does not report. */
      json_error_t position = { .line = 0 };
      json_decref (json_loadb (text, length, 0, &position));
      gbd_findings_add (findings, GBD_FINDING_ERROR, "bad_json", &subject,
                        "correct the JSON", "line %d, column %d: %s",
                        position.line, position.column, position.text);
    }
  g_free (text);
  if (!document)
    return NULL;
  json_t *value = unwrap (document);
  if (!value)
    gbd_findings_add (findings, GBD_FINDING_ERROR, "bad_object", &subject,
                      "give the configuration or the whole object of the "
                      "platform, not a list of objects",
                      "the file contains no configuration");
  return value;
}

/* Takes ownership of the document.  Returns the configuration in it, as
   instances get it from the object of the platform; NULL if it has none. */
static json_t *
unwrap (json_t *document)
{
  if (!json_is_object (json_object_get (document, "meta"))
      || json_object_get (document, "routes"))
    return document;
  json_t *object = platform_api->translate (document);
  json_t *value = json_incref (json_object_get (object, "value"));
  json_decref (object);
  return value;
}

static void
source_close (source_t *source)
{
  gbd_config_delete (source->config);
  json_decref (source->document);
}

static gbd_exit_t
get_result (const gbd_findings_t *findings)
{
  if (gbd_findings_count (findings, GBD_FINDING_ERROR) > 0
      || !gbd_findings_is_complete (findings))
    return GBD_EXIT_USAGE;
  return gbd_findings_count (findings, GBD_FINDING_WARNING) > 0
             ? GBD_EXIT_FAILED
             : GBD_EXIT_OK;
}

static void
print_text (const gbd_findings_t *findings, FILE *out)
{
  for (uint32_t i = 0; i < gbd_findings_get_count (findings); i++)
    print_finding (gbd_findings_get (findings, i), out);
  if (!gbd_findings_is_complete (findings))
    fprintf (out, "error: memory is exhausted; findings are missing\n");
  fprintf (out, "errors: %u, warnings: %u, differences: %u\n",
           gbd_findings_count (findings, GBD_FINDING_ERROR),
           gbd_findings_count (findings, GBD_FINDING_WARNING),
           gbd_findings_count (findings, GBD_FINDING_DIFFERENCE));
}

/* One line for each finding: control characters in names do not reach the
   terminal. */
static void
print_finding (const gbd_finding_t *finding, FILE *out)
{
  const char *name = finding->subject.name;
  char *line = g_strdup_printf ("%s: %s%s%s: %s; %s",
                                gbd_finding_strings[finding->severity],
                                finding->subject.kind, name[0] ? " " : "",
                                name, finding->cause, finding->remedy);
  for (char *at = line; *at; at++)
    *at = g_ascii_iscntrl (*at) ? '?' : *at;
  fprintf (out, "%s\n", line);
  g_free (line);
}

static void
print_json (const gbd_findings_t *findings, FILE *out)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; i < gbd_findings_get_count (findings); i++)
    {
      const gbd_finding_t *finding = gbd_findings_get (findings, i);
      json_array_append_new (list, encode_finding (finding));
    }
  json_t *report = json_pack (
      "{s:i, s:i, s:i, s:b, s:o}", "errors",
      (int)gbd_findings_count (findings, GBD_FINDING_ERROR), "warnings",
      (int)gbd_findings_count (findings, GBD_FINDING_WARNING), "differences",
      (int)gbd_findings_count (findings, GBD_FINDING_DIFFERENCE), "complete",
      gbd_findings_is_complete (findings), "findings", list);
  json_dumpf (report, out, JSON_INDENT (2));
  fprintf (out, "\n");
  json_decref (report);
}

/* Names of files may be no UTF-8, and long names are truncated within a
   character; JSON needs valid UTF-8. */
static json_t *
encode_finding (const gbd_finding_t *finding)
{
  char *name = g_utf8_make_valid (finding->subject.name, -1);
  char *cause = g_utf8_make_valid (finding->cause, -1);
  json_t *object
      = json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s}", "severity",
                   gbd_finding_strings[finding->severity], "rule",
                   finding->rule, "kind", finding->subject.kind, "name", name,
                   "cause", cause, "remedy", finding->remedy);
  g_free (name);
  g_free (cause);
  return object;
}

static void
add_memory_error (gbd_findings_t *findings)
{
  const gbd_finding_subject_t subject = { "configuration", "" };
  gbd_findings_add (findings, GBD_FINDING_ERROR, "out_of_memory", &subject,
                    "free memory and check again", "memory is exhausted");
}
