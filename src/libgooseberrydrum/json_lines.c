#include "json_lines.h"

#include <string.h>

static const char *skip_space (const char *cursor);
static const char *skip_string (const char *cursor);
static const char *skip_value (const char *cursor);
static const char *find_member (const char *cursor, const char *key,
                                const char **value);
static const char *find_element (const char *cursor, size_t index);

uint32_t
gbd_json_find_line (const char *text, const gbd_json_path_segment_t *path,
                    size_t depth)
{
  const char *found = skip_space (text);
  const char *value = found;
  for (size_t i = 0; i < depth && value; i++)
    {
      const char *next = NULL;
      const char *next_value = NULL;
      if (path[i].key && *value == '{')
        next = find_member (value, path[i].key, &next_value);
      else if (!path[i].key && *value == '[')
        next = next_value = find_element (value, path[i].index);
      if (next)
        found = next;
      value = next_value;
    }

  uint32_t line = 1;
  for (const char *cursor = text; cursor < found; cursor++)
    line += *cursor == '\n';
  return line;
}

static const char *
skip_space (const char *cursor)
{
  return cursor + strspn (cursor, " \t\r\n");
}

static const char *
skip_string (const char *cursor)
{
  for (cursor++; *cursor && *cursor != '"'; cursor++)
    {
      if (*cursor == '\\' && cursor[1])
        cursor++;
    }
  return *cursor ? cursor + 1 : cursor;
}

static const char *
skip_value (const char *cursor)
{
  int depth = 0;
  while (*cursor)
    {
      if (*cursor == '"')
        {
          cursor = skip_string (cursor);
          if (depth == 0)
            return cursor;
          continue;
        }
      if (*cursor == '{' || *cursor == '[')
        depth++;
      else if (*cursor == '}' || *cursor == ']' || *cursor == ',')
        {
          /* The value ends before a comma or a closing bracket of the array or
             object that contains it. */
          if (depth == 0)
            return cursor;
          if (*cursor != ',' && --depth == 0)
            return cursor + 1;
        }
      cursor++;
    }
  return cursor;
}

/* Find a key in the object at `cursor`.  Returns the position of the key and
   sets `*value` to the position of its value. */
static const char *
find_member (const char *cursor, const char *key, const char **value)
{
  size_t length = strlen (key);
  cursor = skip_space (cursor + 1);
  while (*cursor == '"')
    {
      const char *start = cursor;
      cursor = skip_string (cursor);
      bool is_key = (size_t)(cursor - start) == length + 2
                    && strncmp (start + 1, key, length) == 0;
      cursor = skip_space (cursor);
      if (*cursor == ':')
        cursor = skip_space (cursor + 1);
      if (is_key)
        {
          *value = cursor;
          return start;
        }
      cursor = skip_space (skip_value (cursor));
      if (*cursor == ',')
        cursor = skip_space (cursor + 1);
    }
  return NULL;
}

static const char *
find_element (const char *cursor, size_t index)
{
  cursor = skip_space (cursor + 1);
  while (*cursor && *cursor != ']')
    {
      if (index-- == 0)
        return cursor;
      cursor = skip_space (skip_value (cursor));
      if (*cursor == ',')
        cursor = skip_space (cursor + 1);
    }
  return NULL;
}
