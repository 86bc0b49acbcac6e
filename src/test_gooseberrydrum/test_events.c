#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "share/events.h"

#define LINE_LENGTH_MAX 2048
#define ROWS_MAX 512

typedef struct
{
  const char *name;
  int number;
  int priority;
  const char *format;
} event_t;

static const event_t events[] = {
#define EVENT(name, number, priority, format)                                 \
  { #name, number, priority, format },
  GBD_EVENTS (EVENT)
#undef EVENT
};
#define EVENT_COUNT (sizeof events / sizeof events[0])

static const char *const priorities[]
    = { "emergency", "alert",  "critical", "error",
        "warning",   "notice", "info",     "debug" };

static char rows[ROWS_MAX][LINE_LENGTH_MAX];
static size_t row_count;

static int
read_documentation (void **state)
{
  (void)state;
  FILE *file = fopen (GBD_DOCS "/EVENTS.md", "r");
  if (!file)
    return -1;
  while (row_count < ROWS_MAX
         && fgets (rows[row_count], LINE_LENGTH_MAX, file))
    {
      const char *row = rows[row_count];
      if (strncmp (row, "| ", 2) == 0 && row[2] >= '0' && row[2] <= '9')
        row_count++;
    }
  fclose (file);
  return 0;
}

static void
documentation_matches_catalogue (void **state)
{
  (void)state;
  for (size_t i = 0; i < EVENT_COUNT && i < row_count; i++)
    {
      char expected[LINE_LENGTH_MAX];
      const event_t *event = &events[i];
      int length = snprintf (
          expected, sizeof expected, "| %d | %s | %s | `%s` | ", event->number,
          event->name, priorities[event->priority], event->format);
      if (strncmp (rows[i], expected, (size_t)length) != 0)
        fail_msg ("docs/EVENTS.md has \"%s\"; expected \"%s\" and what to do",
                  rows[i], expected);
      /* The last column contains at least one sentence. */
      assert_true (strlen (rows[i]) > (size_t)length + strlen (" |\n") + 10);
      assert_non_null (strstr (rows[i] + length, ". |\n"));
    }
  if (row_count < EVENT_COUNT)
    fail_msg ("docs/EVENTS.md lacks event %s", events[row_count].name);
  assert_int_equal (row_count, EVENT_COUNT);
}

static void
numbers_ascend_within_defined_ranges (void **state)
{
  (void)state;
  for (size_t i = 0; i < EVENT_COUNT; i++)
    {
      assert_in_range (events[i].number, 101, 899);
      if (i > 0)
        assert_true (events[i].number > events[i - 1].number);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (documentation_matches_catalogue),
    cmocka_unit_test (numbers_ascend_within_defined_ranges),
  };
  return cmocka_run_group_tests (tests, read_documentation, NULL);
}
