#include <stdio.h>
#include <string.h>

#include "standins/world.h"

#define MEDIAN_PERCENTILE 50
#define TAIL_PERCENTILE 99
#define PERCENT 100

static void write_second (world_t *world);
static uint32_t percentile (const GArray *sorted, uint32_t percent);
static gint compare (gconstpointer a, gconstpointer b);

bool
world_series_open (world_t *world, const char *path)
{
  world_series_t *series = &world->series;
  if (!path)
    return true;
  series->file = fopen (path, "we");
  if (!series->file)
    return false;
  series->times = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  series->faults = g_string_new (NULL);
  fputs ("second served failed p50_ms p99_ms faults\n", series->file);
  return true;
}

void
world_series_close (world_t *world)
{
  world_series_t *series = &world->series;
  if (!series->file)
    return;
  fclose (series->file);
  g_array_free (series->times, TRUE);
  g_string_free (series->faults, TRUE);
}

void
world_series_record_request (world_t *world, bool is_served, gbd_time_t time)
{
  world_series_t *series = &world->series;
  if (!series->file)
    return;
  uint32_t time_ms = (uint32_t)(time / GBD_MILLISECOND);
  if (is_served)
    g_array_append_val (series->times, time_ms);
  series->failed += !is_served;
}

void
world_series_record_fault (world_t *world, const char *name)
{
  GString *faults = world->series.faults;
  if (!world->series.file)
    return;
  if (faults->len > 0)
    g_string_append_c (faults, ',');
  g_string_append (faults, name);
  g_strdelimit (faults->str, " ", '_');
}

void
world_series_tick (world_t *world, gbd_time_t now)
{
  world_series_t *series = &world->series;
  while (series->file
         && now - world->started_at >= (series->second + 1) * GBD_SECOND)
    write_second (world);
}

static void
write_second (world_t *world)
{
  world_series_t *series = &world->series;
  g_array_sort (series->times, compare);
  fprintf (series->file, "%u %u %u %u %u %s\n", (unsigned)series->second,
           series->times->len, series->failed,
           percentile (series->times, MEDIAN_PERCENTILE),
           percentile (series->times, TAIL_PERCENTILE),
           series->faults->len > 0 ? series->faults->str : "-");
  series->second++;
  series->failed = 0;
  g_array_set_size (series->times, 0);
  g_string_truncate (series->faults, 0);
}

static uint32_t
percentile (const GArray *sorted, uint32_t percent)
{
  if (sorted->len == 0)
    return 0;
  guint position = (guint)((uint64_t)(sorted->len - 1) * percent / PERCENT);
  return g_array_index (sorted, uint32_t, position);
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  uint32_t first;
  uint32_t second;
  memcpy (&first, a, sizeof first);
  memcpy (&second, b, sizeof second);
  return first < second ? -1 : first > second;
}
