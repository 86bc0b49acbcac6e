#include "share/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024

typedef struct
{
  gbd_event_t event;
  int priority;
  const char *format;
} event_info_t;

static const event_info_t event_infos[] = {
#define EVENT(name, number, priority, format)                                 \
  { GBD_EVENT_##name, priority, format },
  GBD_EVENTS (EVENT)
#undef EVENT
};

static const char *program_name = "gooseberrydrum";
static int priority_max = LOG_INFO;

static const event_info_t *find_event (gbd_event_t event);

void
gbd_log_set_program (const char *program)
{
  program_name = program;
}

void
gbd_log_set_priority (int priority)
{
  priority_max = priority;
}

void
gbd_log (gbd_event_t event, ...)
{
  const event_info_t *info = find_event (event);
  if (!info || info->priority > priority_max)
    return;

  char line[LINE_MAX_BYTES];
  int used
      = snprintf (line, sizeof line, "<%d>%s[%d]: event %d: ", info->priority,
                  program_name, (int)getpid (), (int)event);
  va_list arguments;
  va_start (arguments, event);
  vsnprintf (line + used, sizeof line - (size_t)used - 1, info->format,
             arguments);
  va_end (arguments);

  size_t length = strlen (line);
  line[length] = '\n';
  /* Each line is a single write, so that lines of several processes are not
     mixed. */
  ssize_t written = write (STDERR_FILENO, line, length + 1);
  (void)written;
}

static const event_info_t *
find_event (gbd_event_t event)
{
  size_t count = sizeof event_infos / sizeof event_infos[0];
  for (size_t i = 0; i < count; i++)
    {
      if (event_infos[i].event == event)
        return &event_infos[i];
    }
  return NULL;
}
