#include "json_lines.h"

#include <string.h>

static const char *skip_space (const char *at);
static const char *skip_string (const char *at);
static const char *skip_value (const char *at);
static const char *find_member (const char *at, const char *key,
                                const char **value);
static const char *find_element (const char *at, size_t index);

uint32_t
gbd_json_find_line (const char *text, const gbd_json_step_t *path,
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
  for (const char *at = text; at < found; at++)
    line += *at == '\n';
  return line;
}

static const char *
skip_space (const char *at)
{
  return at + strspn (at, " \t\r\n");
}

static const char *
skip_string (const char *at)
{
  for (at++; *at && *at != '"'; at++)
    {
      if (*at == '\\' && at[1])
        at++;
    }
  return *at ? at + 1 : at;
}

static const char *
skip_value (const char *at)
{
  int depth = 0;
  while (*at)
    {
      if (*at == '"')
        {
          at = skip_string (at);
          if (depth == 0)
            return at;
          continue;
        }
      if (*at == '{' || *at == '[')
        depth++;
      else if (*at == '}' || *at == ']' || *at == ',')
        {
          /* A comma or bracket of the enclosing value ends this value. */
          if (depth == 0)
            return at;
          if (*at != ',' && --depth == 0)
            return at + 1;
        }
      at++;
    }
  return at;
}

/* Return the position of a key, and set *value to that of its value. */
static const char *
find_member (const char *at, const char *key, const char **value)
{
  size_t length = strlen (key);
  at = skip_space (at + 1);
  while (*at == '"')
    {
      const char *start = at;
      at = skip_string (at);
      bool is_key = (size_t)(at - start) == length + 2
                    && strncmp (start + 1, key, length) == 0;
      at = skip_space (at);
      if (*at == ':')
        at = skip_space (at + 1);
      if (is_key)
        {
          *value = at;
          return start;
        }
      at = skip_space (skip_value (at));
      if (*at == ',')
        at = skip_space (at + 1);
    }
  return NULL;
}

static const char *
find_element (const char *at, size_t index)
{
  at = skip_space (at + 1);
  while (*at && *at != ']')
    {
      if (index-- == 0)
        return at;
      at = skip_space (skip_value (at));
      if (*at == ',')
        at = skip_space (at + 1);
    }
  return NULL;
}
