#include "settings_table.h"

#include <string.h>

static void print_setting (const gbd_setting_t *setting, FILE *stream);
static void print_text (const char *text, FILE *stream);

static const char page_head[]
    = ".TH GOOSEBERRYDRUM 1 \"\" \"gooseberrydrum\" \"User Commands\"\n"
      ".SH NAME\n"
      "gooseberrydrum \\- layer-4 load balancer configured by two lists\n"
      ".SH SYNOPSIS\n"
      ".B gooseberrydrum\n"
      ".I command\n"
      ".RI [ option ...]\n"
      ".SH DESCRIPTION\n"
      ".B gooseberrydrum serve\n"
      "runs one load balancer on an entry instance.  It forwards each packet "
      "of the\n"
      "fabric to one backend server of the customer's service, according to "
      "the\n"
      "accepted lists of customers and plans.\n"
      ".B gooseberrydrum help\n"
      "lists the other commands.\n"
      ".SH OPTIONS OF SERVE\n"
      "Each option has a variable.  The option takes precedence over the\n"
      "variable, the variable over the settings file, and the file over the\n"
      "default.  All settings are checked before the program starts to "
      "serve;\n"
      "each invalid one is logged as event 102.\n";

static const char page_foot[]
    = ".SH SIGNALS\n"
      ".TP\n"
      ".B SIGTERM\n"
      "Planned stop: hand over, forward until the fabric sends no more "
      "packets,\n"
      "exit 0.\n"
      ".TP\n"
      ".B SIGHUP\n"
      "Reload the certificate files for new links.\n"
      ".TP\n"
      ".B SIGUSR1\n"
      "Write a dump to standard error.\n"
      ".SH EXIT STATUS\n"
      ".TP\n.B 0\nSuccess.\n"
      ".TP\n.B 1\nThe command failed; of config check: warnings.\n"
      ".TP\n.B 2\nConflict: another change was accepted first.\n"
      ".TP\n.B 3\nThe input is invalid; nothing changed.\n"
      ".TP\n.B 4\nThe effect is not known.\n"
      ".TP\n.B 5\nThe platform or the instance is unreachable; nothing "
      "changed.\n"
      ".TP\n.B 64\nInvalid flags or settings; of config check: errors.\n"
      ".SH FILES\n"
      "docs/OPERATIONS.md is the guide for operators; docs/EVENTS.md explains "
      "the\n"
      "events of the log.\n";

void
gbd_settings_print_man (FILE *stream)
{
  fputs (page_head, stream);
  for (size_t i = 0; i < gbd_setting_count; i++)
    print_setting (&gbd_setting_table[i], stream);
  fputs (page_foot, stream);
}

static void
print_setting (const gbd_setting_t *setting, FILE *stream)
{
  char variable[GBD_REMEDY_LENGTH_MAX];
  char allowed[GBD_REMEDY_LENGTH_MAX];
  gbd_setting_get_variable (setting, variable);
  setting->kind->describe (setting, allowed, sizeof allowed);

  fputs (".TP\n", stream);
  if (!setting->is_secret)
    {
      fputs (".BR \\-\\-", stream);
      print_text (setting->name, stream);
      fputs (setting->kind->is_flag ? " \", \" " : " \" \\fIVALUE\\fR, \" ",
             stream);
      fprintf (stream, "%s\n", variable);
    }
  else
    fprintf (stream, ".BR %s \" (no option)\"\n", variable);
  print_text (setting->help, stream);
  fputs ("\n.br\nValue: ", stream);
  print_text (allowed, stream);
  fputs (".\n.br\n", stream);
  if (!setting->default_text)
    fputs ("Required.\n", stream);
  else if (setting->default_text[0])
    {
      fputs ("Default: ", stream);
      print_text (setting->default_text, stream);
      fputs (".\n", stream);
    }
  else
    fputs ("Default: none.\n", stream);
}

/* Escape "-", which troff would print as a hyphen that a shell does not
   accept, and the backslash. */
static void
print_text (const char *text, FILE *stream)
{
  for (; *text; text++)
    {
      if (*text == '-' || *text == '\\')
        fputc ('\\', stream);
      fputc (*text, stream);
    }
}
