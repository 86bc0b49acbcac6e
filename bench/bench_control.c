/* Measures the control cost of running instances.  Reads the counters and the
   processor time of each process before and after an interval and prints the
   differences as one row of JSON.

   bench_control --label TEXT --seconds N PID@IP:PORT...

   The PIDs and admin addresses are arguments; this program neither starts
   nor ends a process. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "gooseberrydrum/types.h"
#include "standins/http.h"

#define CALL_TIMEOUT_MS 2000
#define INSTANCES_MAX 512

/* Totals of one instance since its start, and its current resident memory. */
typedef struct
{
  double sent_bytes;
  double received_bytes;
  double messages;
  double platform_bytes;
  double platform_calls;
  double cpu_seconds;
  double resident_kb;
} sample_t;

typedef struct
{
  long pid;
  gbd_address_t admin;
} instance_t;

static bool read_instance (const char *text, instance_t *instance);
static bool take_sample (const instance_t *instance, sample_t *sample);
static double get_counter (const char *counters, const char *name);
static bool read_processor_time (long pid, double *seconds);
static bool read_resident_memory (long pid, double *kilobytes);
static void print_row (const char *label, const sample_t *before,
                       const sample_t *after, const bool *is_valid, int count,
                       double seconds);

int
main (int argc, char **argv)
{
  static instance_t instances[INSTANCES_MAX];
  static sample_t before[INSTANCES_MAX];
  static sample_t after[INSTANCES_MAX];
  static bool is_valid[INSTANCES_MAX];
  char *label = NULL;
  int seconds = 10;
  const GOptionEntry entries[] = {
    { "label", 0, 0, G_OPTION_ARG_STRING, &label, "label of the row", "TEXT" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
      "seconds between the two samples", "N" },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new ("PID@IP:PORT...");
  g_option_context_add_main_entries (context, entries, NULL);
  bool is_parsed = g_option_context_parse (context, &argc, &argv, NULL);
  g_option_context_free (context);
  int count = argc - 1;
  if (!is_parsed || !label || count < 1 || count > INSTANCES_MAX)
    {
      fprintf (stderr, "bench_control: see --help for the arguments\n");
      return 64;
    }

  for (int i = 0; i < count; i++)
    is_valid[i] = read_instance (argv[i + 1], &instances[i])
                  && take_sample (&instances[i], &before[i]);
  sleep ((unsigned)seconds);
  for (int i = 0; i < count; i++)
    is_valid[i] = is_valid[i] && take_sample (&instances[i], &after[i]);
  print_row (label, before, after, is_valid, count, seconds);
  g_free (label);
  return 0;
}

static bool
read_instance (const char *text, instance_t *instance)
{
  const char *separator = strchr (text, '@');
  if (!separator)
    return false;
  instance->pid = strtol (text, NULL, 10);
  return instance->pid > 0
         && gbd_address_parse (separator + 1, &instance->admin) == GBD_OK;
}

static bool
take_sample (const instance_t *instance, sample_t *sample)
{
  char *counters = NULL;
  if (http_call (&instance->admin, "GET", "/counters", NULL, CALL_TIMEOUT_MS,
                 &counters)
      != 200)
    {
      g_free (counters);
      return false;
    }
  sample->sent_bytes
      = get_counter (counters, "gooseberrydrum_control_sent_bytes_total");
  sample->received_bytes
      = get_counter (counters, "gooseberrydrum_control_received_bytes_total");
  sample->messages
      = get_counter (counters, "gooseberrydrum_messages_sent_total");
  sample->platform_bytes
      = get_counter (counters, "gooseberrydrum_platform_sent_bytes_total")
        + get_counter (counters,
                       "gooseberrydrum_platform_received_bytes_total");
  sample->platform_calls
      = get_counter (counters, "gooseberrydrum_platform_calls_total");
  g_free (counters);
  return read_processor_time (instance->pid, &sample->cpu_seconds)
         && read_resident_memory (instance->pid, &sample->resident_kb);
}

static double
get_counter (const char *counters, const char *name)
{
  size_t length = strlen (name);
  for (const char *line = counters; line; line = strchr (line, '\n'))
    {
      line += *line == '\n';
      if (strncmp (line, name, length) == 0 && line[length] == ' ')
        return strtod (line + length, NULL);
    }
  return 0;
}

static bool
read_processor_time (long pid, double *seconds)
{
  char path[64];
  char text[1024];
  snprintf (path, sizeof path, "/proc/%ld/stat", pid);
  FILE *file = fopen (path, "r");
  if (!file)
    return false;
  bool is_read = fgets (text, sizeof text, file) != NULL;
  fclose (file);
  const char *fields = is_read ? strrchr (text, ')') : NULL;
  unsigned long user;
  unsigned long system;
  if (!fields
      || sscanf (fields + 1,
                 " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
                 &system)
             != 2)
    return false;
  *seconds = (double)(user + system) / (double)sysconf (_SC_CLK_TCK);
  return true;
}

static bool
read_resident_memory (long pid, double *kilobytes)
{
  char path[64];
  char line[256];
  snprintf (path, sizeof path, "/proc/%ld/status", pid);
  FILE *file = fopen (path, "r");
  if (!file)
    return false;
  bool is_found = false;
  while (!is_found && fgets (line, sizeof line, file))
    is_found = sscanf (line, "VmRSS: %lf", kilobytes) == 1;
  fclose (file);
  return is_found;
}

static void
print_row (const char *label, const sample_t *before, const sample_t *after,
           const bool *is_valid, int count, double seconds)
{
  double sent = 0;
  double sent_max = 0;
  double received = 0;
  double messages = 0;
  double platform_bytes = 0;
  double platform_calls = 0;
  double cpu = 0;
  double cpu_max = 0;
  double resident_max = 0;
  int valid = 0;
  for (int i = 0; i < count; i++)
    {
      if (!is_valid[i])
        continue;
      double own_sent = after[i].sent_bytes - before[i].sent_bytes;
      double own_cpu = after[i].cpu_seconds - before[i].cpu_seconds;
      sent += own_sent;
      sent_max = own_sent > sent_max ? own_sent : sent_max;
      received += after[i].received_bytes - before[i].received_bytes;
      messages += after[i].messages - before[i].messages;
      platform_bytes += after[i].platform_bytes - before[i].platform_bytes;
      platform_calls += after[i].platform_calls - before[i].platform_calls;
      cpu += own_cpu;
      cpu_max = own_cpu > cpu_max ? own_cpu : cpu_max;
      if (after[i].resident_kb > resident_max)
        resident_max = after[i].resident_kb;
      valid++;
    }
  double divisor = valid ? valid * seconds : 1;
  printf ("{\"bench\":\"control\",\"label\":\"%s\",\"instances\":%d,"
          "\"measured\":%d,\"seconds\":%.0f,\"sent_bytes_per_s\":%.0f,"
          "\"sent_bytes_per_s_max\":%.0f,\"received_bytes_per_s\":%.0f,"
          "\"messages_per_s\":%.2f,\"platform_bytes_per_s\":%.0f,"
          "\"platform_calls_per_s\":%.3f,\"cpu_percent\":%.3f,"
          "\"cpu_percent_max\":%.3f,\"resident_mb_max\":%.1f}\n",
          label, count, valid, seconds, sent / divisor, sent_max / seconds,
          received / divisor, messages / divisor, platform_bytes / divisor,
          platform_calls / divisor, 100 * cpu / divisor,
          100 * cpu_max / seconds, resident_max / 1024);
}
