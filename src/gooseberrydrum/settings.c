#include "settings.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "settings_kinds.h"
#include "settings_table.h"
#include "share/log.h"

#define SETTINGS_MAX 64
#define FILE_GROUP "serve"
#define SECRET_LENGTH_MAX 255 /* bytes of the first line of a secret file */

/* State while the settings are read. */
typedef struct
{
  gbd_settings_t *settings;
  gbd_settings_report_t report;
  void *data;
  uint32_t problem_count;
  /* Values of the flags; NULL for a flag that is absent. */
  gchar *flag_texts[SETTINGS_MAX];
  /* TRUE for a flag without a value that is on the command line. */
  gboolean flag_switches[SETTINGS_MAX];
  GKeyFile *file;                  /* NULL if there is none */
  gchar *file_texts[SETTINGS_MAX]; /* values from the file */
} settings_reader_t;

static bool read_flags (settings_reader_t *reader, int *argc, char ***argv);
static void fill_entries (settings_reader_t *reader, GOptionEntry *entries);
static void read_setting (settings_reader_t *reader, size_t index);
static void read_file (settings_reader_t *reader);
static const char *find_setting_text (settings_reader_t *reader, size_t index,
                                      char *source);
static void read_secret_files (settings_reader_t *reader);
static void read_secret_file (settings_reader_t *reader, const char *path,
                              const char *name, const char *file_name);
static void report_problem (settings_reader_t *reader, const char *setting,
                            const char *problem, const char *remedy);
static void log_report (void *data, const char *setting, const char *problem,
                        const char *remedy);

gbd_status_t
gbd_settings_parse (int *argc, char ***argv, gbd_settings_t *settings)
{
  gbd_status_t status
      = gbd_settings_read (argc, argv, settings, log_report, NULL);
  if (status == GBD_OK && settings->insecure_links)
    gbd_log (GBD_EVENT_INSECURE_LINKS);
  return status;
}

gbd_status_t
gbd_settings_read (int *argc, char ***argv, gbd_settings_t *settings,
                   gbd_settings_report_t report, void *data)
{
  settings_reader_t reader
      = { .settings = settings, .report = report, .data = data };
  memset (settings, 0, sizeof *settings);
  if (read_flags (&reader, argc, argv))
    {
      read_file (&reader);
      for (size_t i = 0; i < gbd_setting_count; i++)
        read_setting (&reader, i);
      read_secret_files (&reader);
    }
  /* The rules between settings are only meaningful when each setting is
     valid. */
  if (reader.problem_count == 0)
    reader.problem_count = gbd_settings_check (settings, report, data);
  for (size_t i = 0; i < gbd_setting_count; i++)
    {
      g_free (reader.flag_texts[i]);
      g_free (reader.file_texts[i]);
    }
  if (reader.file)
    g_key_file_free (reader.file);
  return reader.problem_count == 0 ? GBD_OK : GBD_ERROR_RANGE;
}

static bool
read_flags (settings_reader_t *reader, int *argc, char ***argv)
{
  GOptionEntry entries[SETTINGS_MAX + 1] = { { 0 } };
  GError *error = NULL;
  fill_entries (reader, entries);
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (
      context, "Run one load balancer.  Each flag --some-name has a variable "
               "GOOSEBERRYDRUM_SOME_NAME;\nman gooseberrydrum lists values, "
               "defaults and the settings that are only variables.");
  g_option_context_add_main_entries (context, entries, NULL);
  bool is_parsed = g_option_context_parse (context, argc, argv, &error);
  if (!is_parsed)
    {
      report_problem (reader, "command line", error->message,
                      "`gooseberrydrum serve --help` lists the flags");
      g_error_free (error);
    }
  else if (*argc > 1)
    report_problem (reader, (*argv)[1], "is not a flag",
                    "`gooseberrydrum serve --help` lists the flags");
  g_option_context_free (context);
  return reader->problem_count == 0;
}

static void
fill_entries (settings_reader_t *reader, GOptionEntry *entries)
{
  g_assert (gbd_setting_count <= SETTINGS_MAX);
  for (size_t i = 0; i < gbd_setting_count; i++)
    {
      const gbd_setting_t *setting = &gbd_setting_table[i];
      if (setting->is_secret)
        continue;
      bool is_flag = setting->kind->is_flag;
      entries->long_name = setting->name;
      entries->description = setting->help;
      entries->arg = is_flag ? G_OPTION_ARG_NONE : G_OPTION_ARG_STRING;
      entries->arg_data = is_flag ? (gpointer)&reader->flag_switches[i]
                                  : (gpointer)&reader->flag_texts[i];
      entries->arg_description = is_flag ? NULL : "VALUE";
      entries++;
    }
}

static void
read_setting (settings_reader_t *reader, size_t index)
{
  const gbd_setting_t *setting = &gbd_setting_table[index];
  char source[GBD_REMEDY_LENGTH_MAX];
  char allowed[GBD_REMEDY_LENGTH_MAX];
  char remedy[GBD_REMEDY_LENGTH_MAX + 8];
  setting->kind->describe (setting, allowed, sizeof allowed);
  snprintf (remedy, sizeof remedy, "specify %s", allowed);

  const char *text = find_setting_text (reader, index, source);
  if (!text)
    {
      report_problem (reader, setting->name, "is missing", remedy);
      return;
    }
  /* An empty default leaves the field unset. */
  if (text == setting->default_text && !text[0])
    return;
  void *field = (char *)reader->settings + setting->offset;
  const char *problem = setting->kind->parse (setting, text, field);
  if (problem)
    report_problem (reader, source, problem, remedy);
  else if (setting->kind == &gbd_kind_key)
    reader->settings->has_group_key = true;
}

/* Unknown keys are ignored, as a newer platform may add some. */
static void
read_file (settings_reader_t *reader)
{
  const char *path = getenv (GBD_SETTINGS_FILE_VARIABLE);
  if (!path)
    return;
  GError *error = NULL;
  reader->file = g_key_file_new ();
  if (g_key_file_load_from_file (reader->file, path, G_KEY_FILE_NONE, &error))
    return;
  report_problem (reader, GBD_SETTINGS_FILE_VARIABLE, error->message,
                  "specify a file with a group [serve] and lines NAME=VALUE");
  g_error_free (error);
}

static const char *
find_setting_text (settings_reader_t *reader, size_t index, char *source)
{
  const gbd_setting_t *setting = &gbd_setting_table[index];
  snprintf (source, GBD_REMEDY_LENGTH_MAX, "--%s", setting->name);
  if (reader->flag_switches[index])
    return "yes";
  if (reader->flag_texts[index])
    return reader->flag_texts[index];

  gbd_setting_get_variable (setting, source);
  const char *text = getenv (source);
  if (text)
    return text;
  if (!reader->file || setting->is_secret)
    return setting->default_text;
  g_free (reader->file_texts[index]);
  reader->file_texts[index]
      = g_key_file_get_string (reader->file, FILE_GROUP, setting->name, NULL);
  if (!reader->file_texts[index])
    return setting->default_text;
  snprintf (source, GBD_REMEDY_LENGTH_MAX, "%s in the settings file",
            setting->name);
  return reader->file_texts[index];
}

static void
read_secret_files (settings_reader_t *reader)
{
  const gbd_settings_t *settings = reader->settings;
  if (settings->group_key_file[0] && settings->has_group_key)
    report_problem (reader, "group-key-file",
                    "conflicts with GOOSEBERRYDRUM_GROUP_KEY",
                    "remove one of the two");
  else if (settings->group_key_file[0])
    read_secret_file (reader, settings->group_key_file, "group-key",
                      "group-key-file");
  if (settings->admin_token_file[0] && settings->admin_token[0])
    report_problem (reader, "admin-token-file",
                    "conflicts with GOOSEBERRYDRUM_ADMIN_TOKEN",
                    "remove one of the two");
  else if (settings->admin_token_file[0])
    read_secret_file (reader, settings->admin_token_file, "admin-token",
                      "admin-token-file");
}

static void
read_secret_file (settings_reader_t *reader, const char *path,
                  const char *name, const char *file_name)
{
  const gbd_setting_t *setting = gbd_setting_find (name);
  char allowed[GBD_REMEDY_LENGTH_MAX];
  char remedy[GBD_REMEDY_LENGTH_MAX + 40];
  char line[SECRET_LENGTH_MAX + 1] = "";
  setting->kind->describe (setting, allowed, sizeof allowed);
  snprintf (remedy, sizeof remedy, "its first line must be %s", allowed);

  FILE *file = fopen (path, "re");
  bool is_read = file && fgets (line, sizeof line, file);
  if (file)
    fclose (file);
  line[strcspn (line, "\r\n")] = '\0';
  void *field = (char *)reader->settings + setting->offset;
  const char *problem = "is empty or cannot be read";
  if (is_read && line[0])
    problem = setting->kind->parse (setting, line, field);
  if (problem)
    report_problem (reader, file_name, problem, remedy);
  else if (setting->kind == &gbd_kind_key)
    reader->settings->has_group_key = true;
}

static void
report_problem (settings_reader_t *reader, const char *setting,
                const char *problem, const char *remedy)
{
  reader->problem_count++;
  reader->report (reader->data, setting, problem, remedy);
}

static void
log_report (void *data, const char *setting, const char *problem,
            const char *remedy)
{
  (void)data;
  gbd_log (GBD_EVENT_BAD_SETTING, setting, problem, remedy);
}
