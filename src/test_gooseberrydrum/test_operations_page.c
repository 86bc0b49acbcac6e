/* Checks that docs/OPERATIONS.md documents exactly the metrics in the
   sources. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>

#define PREFIX "gooseberrydrum_"
#define COUNTERS_MIN 35 /* fewer means that the search itself is broken */

/* Adds the first capture group of each match of the pattern to a set. */
static void
add_matches (GHashTable *names, const char *text, const char *pattern)
{
  GMatchInfo *match;
  GRegex *regex = g_regex_new (pattern, 0, 0, NULL);
  assert_non_null (regex);
  for (g_regex_match (regex, text, 0, &match); g_match_info_matches (match);
       g_match_info_next (match, NULL))
    g_hash_table_add (names, g_match_info_fetch (match, 1));
  g_match_info_free (match);
  g_regex_unref (regex);
}

static char *
read_text (const char *path)
{
  char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    fail_msg ("%s cannot be read", path);
  return text;
}

static GHashTable *
find_source_counters (void)
{
  GHashTable *names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GDir *directory = g_dir_open (GBD_DOCS "/../src/gooseberrydrum", 0, NULL);
  assert_non_null (directory);
  const char *name;
  while ((name = g_dir_read_name (directory)))
    {
      if (!g_str_has_suffix (name, ".c"))
        continue;
      char *path
          = g_build_filename (GBD_DOCS "/../src/gooseberrydrum", name, NULL);
      char *text = read_text (path);
      add_matches (names, text, "\"(" PREFIX "[a-z_]+)\"");
      g_free (text);
      g_free (path);
    }
  g_dir_close (directory);
  return names;
}

static void
assert_subset (GHashTable *names, GHashTable *superset, const char *problem)
{
  GHashTableIter each;
  gpointer name;
  g_hash_table_iter_init (&each, names);
  while (g_hash_table_iter_next (&each, &name, NULL))
    {
      if (!g_hash_table_contains (superset, name))
        fail_msg ("%s %s", (char *)name, problem);
    }
}

static void
documentation_matches_sources (void **state)
{
  (void)state;
  GHashTable *counters = find_source_counters ();
  GHashTable *rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char *page = read_text (GBD_DOCS "/OPERATIONS.md");
  add_matches (rows, page, "\\| `(" PREFIX "[a-z_]+)` \\| [^|]{10,} \\|");
  assert_true (g_hash_table_size (counters) >= COUNTERS_MIN);
  assert_subset (counters, rows, "has no row in docs/OPERATIONS.md");
  assert_subset (rows, counters, "of docs/OPERATIONS.md is no counter");
  g_free (page);
  g_hash_table_destroy (rows);
  g_hash_table_destroy (counters);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (documentation_matches_sources) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
