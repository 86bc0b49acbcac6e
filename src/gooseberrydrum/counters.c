#include "counters.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  gbd_counter_info_t info;
  char value[GBD_NAME_MAX + 1]; /* label value */
  uint64_t count;
} entry_t;

struct gbd_counters
{
  uint32_t count;
  entry_t entries[GBD_COUNTERS_MAX];
};

static bool is_same_metric (const entry_t *entry,
                            const gbd_counter_info_t *info);
static bool is_first_of_name (const gbd_counters_t *counters, uint32_t index);
static void print_name (const gbd_counters_t *counters, uint32_t first,
                        FILE *stream);
static void print_entry (const entry_t *entry, FILE *stream);
static void print_escaped (const char *text, FILE *stream);

gbd_counters_t *
gbd_counters_new (void)
{
  return calloc (1, sizeof (gbd_counters_t));
}

void
gbd_counters_delete (gbd_counters_t *counters)
{
  free (counters);
}

gbd_counter_t
gbd_counters_add (gbd_counters_t *counters, const gbd_counter_info_t *info)
{
  for (uint32_t i = 0; i < counters->count; i++)
    {
      if (is_same_metric (&counters->entries[i], info))
        return i;
    }
  if (counters->count == GBD_COUNTERS_MAX)
    return GBD_COUNTER_NONE;

  entry_t *entry = &counters->entries[counters->count];
  entry->info = *info;
  if (info->label)
    snprintf (entry->value, sizeof entry->value, "%s", info->value);
  return counters->count++;
}

void
gbd_counters_increase (gbd_counters_t *counters, gbd_counter_t counter,
                       uint64_t by)
{
  if (counter < counters->count)
    counters->entries[counter].count += by;
}

void
gbd_counters_set (gbd_counters_t *counters, gbd_counter_t counter,
                  uint64_t value)
{
  if (counter < counters->count)
    counters->entries[counter].count = value;
}

void
gbd_counters_put (gbd_counters_t *counters, const char *name, const char *help,
                  gbd_counter_kind_t kind, const char *label,
                  const char *value, uint64_t number)
{
  const gbd_counter_info_t info = { name, help, kind, label, value };
  gbd_counters_set (counters, gbd_counters_add (counters, &info), number);
}

uint64_t
gbd_counters_get (const gbd_counters_t *counters, gbd_counter_t counter)
{
  return counter < counters->count ? counters->entries[counter].count : 0;
}

char *
gbd_counters_format (const gbd_counters_t *counters)
{
  char *text = NULL;
  size_t length = 0;
  FILE *stream = open_memstream (&text, &length);
  if (!stream)
    return NULL;
  for (uint32_t i = 0; i < counters->count; i++)
    {
      if (is_first_of_name (counters, i))
        print_name (counters, i, stream);
    }
  if (fclose (stream) != 0)
    {
      free (text);
      return NULL;
    }
  return text;
}

static bool
is_same_metric (const entry_t *entry, const gbd_counter_info_t *info)
{
  if (strcmp (entry->info.name, info->name) != 0)
    return false;
  return !info->label
         || strncmp (entry->value, info->value, GBD_NAME_MAX) == 0;
}

static bool
is_first_of_name (const gbd_counters_t *counters, uint32_t index)
{
  const char *name = counters->entries[index].info.name;
  for (uint32_t i = 0; i < index; i++)
    {
      if (strcmp (counters->entries[i].info.name, name) == 0)
        return false;
    }
  return true;
}

static void
print_name (const gbd_counters_t *counters, uint32_t first, FILE *stream)
{
  const gbd_counter_info_t *info = &counters->entries[first].info;
  const char *kind = info->kind == GBD_COUNTER_MONOTONIC ? "counter" : "gauge";
  fprintf (stream, "# HELP %s %s\n# TYPE %s %s\n", info->name, info->help,
           info->name, kind);
  for (uint32_t i = first; i < counters->count; i++)
    {
      if (strcmp (counters->entries[i].info.name, info->name) == 0)
        print_entry (&counters->entries[i], stream);
    }
}

static void
print_entry (const entry_t *entry, FILE *stream)
{
  fputs (entry->info.name, stream);
  if (entry->info.label)
    {
      fprintf (stream, "{%s=\"", entry->info.label);
      print_escaped (entry->value, stream);
      fputs ("\"}", stream);
    }
  fprintf (stream, " %llu\n", (unsigned long long)entry->count);
}

static void
print_escaped (const char *text, FILE *stream)
{
  for (; *text; text++)
    {
      if (*text == '\\' || *text == '"')
        fputc ('\\', stream);
      if (*text == '\n')
        fputs ("\\n", stream);
      else
        fputc (*text, stream);
    }
}
