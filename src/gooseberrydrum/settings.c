#include "settings.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "settings_kinds.h"
#include "settings_table.h"
#include "share/log.h"

#define SETTINGS_MAX 64
#define FILE_GROUP "serve"
#define SECRET_LENGTH_MAX 255 /* bytes of a secret's line in a file */

/** What one reading of the settings passes around. */
typedef struct
{
  gbd_settings_t *settings;
  gbd_settings_report_t report;
  void *data;
  uint32_t reports;
  gchar *texts[SETTINGS_MAX]; /* of the flags; NULL where none was given */
  gboolean switches[SETTINGS_MAX]; /* flags that take no value */
  GKeyFile *file;                  /* NULL if there is none */
  gchar *filed[SETTINGS_MAX];      /* texts of the file that are in use */
} reading_t;

static bool read_flags (reading_t *reading, int *argc, char ***argv);
static void fill_entries (reading_t *reading, GOptionEntry *entries);
static void read_setting (reading_t *reading, size_t index);
static void read_file (reading_t *reading);
static const char *find_text (reading_t *reading, size_t index, char *source);
static void read_secret_files (reading_t *reading);
static void read_secret_file (reading_t *reading, const char *path,
                              const char *name, const char *file_name);
static void tell (reading_t *reading, const char *setting, const char *wrong,
                  const char *remedy);
static void log_report (void *data, const char *setting, const char *wrong,
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
  reading_t reading = { .settings = settings, .report = report, .data = data };
  memset (settings, 0, sizeof *settings);
  if (read_flags (&reading, argc, argv))
    {
      read_file (&reading);
      for (size_t i = 0; i < gbd_setting_count; i++)
        read_setting (&reading, i);
      read_secret_files (&reading);
    }
  /* Rules between settings say nothing of use while one is missing. */
  if (reading.reports == 0)
    reading.reports = gbd_settings_check (settings, report, data);
  for (size_t i = 0; i < gbd_setting_count; i++)
    {
      g_free (reading.texts[i]);
      g_free (reading.filed[i]);
    }
  if (reading.file)
    g_key_file_free (reading.file);
  return reading.reports == 0 ? GBD_OK : GBD_ERROR_RANGE;
}

static bool
read_flags (reading_t *reading, int *argc, char ***argv)
{
  GOptionEntry entries[SETTINGS_MAX + 1] = { { 0 } };
  GError *error = NULL;
  fill_entries (reading, entries);
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (
      context, "Run one balancer.  Each flag --some-name has a variable "
               "GOOSEBERRYDRUM_SOME_NAME;\nman gooseberrydrum lists values, "
               "defaults and the settings that are only variables.");
  g_option_context_add_main_entries (context, entries, NULL);
  bool is_understood = g_option_context_parse (context, argc, argv, &error);
  if (!is_understood)
    {
      tell (reading, "command line", error->message,
            "`gooseberrydrum serve --help` lists the flags");
      g_error_free (error);
    }
  else if (*argc > 1)
    tell (reading, (*argv)[1], "is not a flag",
          "`gooseberrydrum serve --help` lists the flags");
  g_option_context_free (context);
  return reading->reports == 0;
}

static void
fill_entries (reading_t *reading, GOptionEntry *entries)
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
      entries->arg_data = is_flag ? (gpointer)&reading->switches[i]
                                  : (gpointer)&reading->texts[i];
      entries->arg_description = is_flag ? NULL : "VALUE";
      entries++;
    }
}

static void
read_setting (reading_t *reading, size_t index)
{
  const gbd_setting_t *setting = &gbd_setting_table[index];
  char source[GBD_REMEDY_LENGTH_MAX];
  char allowed[GBD_REMEDY_LENGTH_MAX];
  char remedy[GBD_REMEDY_LENGTH_MAX + 8];
  setting->kind->describe (setting, allowed, sizeof allowed);
  snprintf (remedy, sizeof remedy, "give %s", allowed);

  const char *text = find_text (reading, index, source);
  if (!text)
    {
      tell (reading, setting->name, "is missing", remedy);
      return;
    }
  /* An empty default means that there is no value. */
  if (text == setting->standard && !text[0])
    return;
  void *field = (char *)reading->settings + setting->offset;
  const char *wrong = setting->kind->parse (setting, text, field);
  if (wrong)
    tell (reading, source, wrong, remedy);
  else if (setting->kind == &gbd_kind_key)
    reading->settings->has_group_key = true;
}

/* Keys that are no settings are ignored: a newer platform may add some. */
static void
read_file (reading_t *reading)
{
  const char *path = getenv (GBD_SETTINGS_FILE_VARIABLE);
  if (!path)
    return;
  GError *error = NULL;
  reading->file = g_key_file_new ();
  if (g_key_file_load_from_file (reading->file, path, G_KEY_FILE_NONE, &error))
    return;
  tell (reading, GBD_SETTINGS_FILE_VARIABLE, error->message,
        "name a file with a group [serve] and lines NAME=VALUE");
  g_error_free (error);
}

static const char *
find_text (reading_t *reading, size_t index, char *source)
{
  const gbd_setting_t *setting = &gbd_setting_table[index];
  snprintf (source, GBD_REMEDY_LENGTH_MAX, "--%s", setting->name);
  if (reading->switches[index])
    return "yes";
  if (reading->texts[index])
    return reading->texts[index];

  gbd_setting_get_variable (setting, source);
  const char *text = getenv (source);
  if (text)
    return text;
  if (!reading->file || setting->is_secret)
    return setting->standard;
  g_free (reading->filed[index]);
  reading->filed[index]
      = g_key_file_get_string (reading->file, FILE_GROUP, setting->name, NULL);
  if (!reading->filed[index])
    return setting->standard;
  snprintf (source, GBD_REMEDY_LENGTH_MAX, "%s in the settings file",
            setting->name);
  return reading->filed[index];
}

static void
read_secret_files (reading_t *reading)
{
  const gbd_settings_t *settings = reading->settings;
  if (settings->group_key_file[0] && settings->has_group_key)
    tell (reading, "group-key-file", "contradicts GOOSEBERRYDRUM_GROUP_KEY",
          "remove one of the two");
  else if (settings->group_key_file[0])
    read_secret_file (reading, settings->group_key_file, "group-key",
                      "group-key-file");
  if (settings->admin_token_file[0] && settings->admin_token[0])
    tell (reading, "admin-token-file",
          "contradicts GOOSEBERRYDRUM_ADMIN_TOKEN", "remove one of the two");
  else if (settings->admin_token_file[0])
    read_secret_file (reading, settings->admin_token_file, "admin-token",
                      "admin-token-file");
}

static void
read_secret_file (reading_t *reading, const char *path, const char *name,
                  const char *file_name)
{
  const gbd_setting_t *setting = gbd_setting_find (name);
  char allowed[GBD_REMEDY_LENGTH_MAX];
  char remedy[GBD_REMEDY_LENGTH_MAX + 40];
  char line[SECRET_LENGTH_MAX + 1] = "";
  setting->kind->describe (setting, allowed, sizeof allowed);
  snprintf (remedy, sizeof remedy, "let its first line be %s", allowed);

  FILE *file = fopen (path, "re");
  bool is_read = file && fgets (line, sizeof line, file);
  if (file)
    fclose (file);
  line[strcspn (line, "\r\n")] = '\0';
  void *field = (char *)reading->settings + setting->offset;
  const char *wrong = "has no first line";
  if (is_read && line[0])
    wrong = setting->kind->parse (setting, line, field);
  if (wrong)
    tell (reading, file_name, wrong, remedy);
  else if (setting->kind == &gbd_kind_key)
    reading->settings->has_group_key = true;
}

static void
tell (reading_t *reading, const char *setting, const char *wrong,
      const char *remedy)
{
  reading->reports++;
  reading->report (reading->data, setting, wrong, remedy);
}

static void
log_report (void *data, const char *setting, const char *wrong,
            const char *remedy)
{
  (void)data;
  gbd_log (GBD_EVENT_BAD_SETTING, setting, wrong, remedy);
}
