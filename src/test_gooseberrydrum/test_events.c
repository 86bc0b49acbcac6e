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
read_page (void **state)
{
  (void)state;
  FILE *page = fopen (GBD_DOCS "/EVENTS.md", "r");
  if (!page)
    return -1;
  while (row_count < ROWS_MAX
         && fgets (rows[row_count], LINE_LENGTH_MAX, page))
    {
      const char *row = rows[row_count];
      if (strncmp (row, "| ", 2) == 0 && row[2] >= '0' && row[2] <= '9')
        row_count++;
    }
  fclose (page);
  return 0;
}

static void
page_and_catalogue_agree (void **state)
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
      /* What to do is a sentence of its own. */
      assert_true (strlen (rows[i]) > (size_t)length + strlen (" |\n") + 10);
      assert_non_null (strstr (rows[i] + length, ". |\n"));
    }
  if (row_count < EVENT_COUNT)
    fail_msg ("docs/EVENTS.md lacks event %s", events[row_count].name);
  assert_int_equal (row_count, EVENT_COUNT);
}

static void
numbers_rise_within_known_hundreds (void **state)
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
    cmocka_unit_test (page_and_catalogue_agree),
    cmocka_unit_test (numbers_rise_within_known_hundreds),
  };
  return cmocka_run_group_tests (tests, read_page, NULL);
}
