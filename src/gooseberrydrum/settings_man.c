#include "settings_table.h"

#include <string.h>

static void print_setting (const gbd_setting_t *setting, FILE *stream);
static void print_text (const char *text, FILE *stream);

static const char page_head[]
    = ".TH GOOSEBERRYDRUM 1 \"\" \"gooseberrydrum\" \"User Commands\"\n"
      ".SH NAME\n"
      "gooseberrydrum \\- layer-4 load balancer driven by two lists\n"
      ".SH SYNOPSIS\n"
      ".B gooseberrydrum\n"
      ".I command\n"
      ".RI [ option ...]\n"
      ".SH DESCRIPTION\n"
      ".B gooseberrydrum serve\n"
      "runs one balancer on an entry instance.  It forwards each packet of "
      "the\n"
      "fabric to one backend server of the customer's service, as the "
      "accepted\n"
      "lists of customers and plans say.\n"
      ".B gooseberrydrum help\n"
      "lists the other commands.\n"
      ".SH OPTIONS OF SERVE\n"
      "Each option has a variable; the option goes before the variable, and\n"
      "the variable before the default.  All are checked before the program\n"
      "starts to serve; what is wrong is logged as event 102.\n";

static const char page_foot[]
    = ".SH SIGNALS\n"
      ".TP\n"
      ".B SIGTERM\n"
      "Planned stop: hand over, forward until the fabric is silent, exit 0.\n"
      ".TP\n"
      ".B SIGHUP\n"
      "Load the certificate files again for new links.\n"
      ".TP\n"
      ".B SIGUSR1\n"
      "Write a dump to standard error.\n"
      ".SH EXIT STATUS\n"
      ".TP\n.B 0\nThe work is done.\n"
      ".TP\n.B 1\nThe work ran and failed.\n"
      ".TP\n.B 2\nAnother change was accepted first.\n"
      ".TP\n.B 3\nThe input breaks a rule; nothing changed.\n"
      ".TP\n.B 4\nThe effect is not known.\n"
      ".TP\n.B 5\nNot reached; nothing changed.\n"
      ".TP\n.B 64\nWrong flags or settings.\n"
      ".SH FILES\n"
      "docs/OPERATIONS.md explains the work of operators, docs/EVENTS.md "
      "each\n"
      "event of the log.\n";

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
  if (!setting->standard)
    fputs ("Must be given.\n", stream);
  else if (setting->standard[0])
    {
      fputs ("Default: ", stream);
      print_text (setting->standard, stream);
      fputs (".\n", stream);
    }
  else
    fputs ("Default: none.\n", stream);
}

/* In troff a plain - is a hyphen, which cannot be copied into a shell. */
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
