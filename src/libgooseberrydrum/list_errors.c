#include "list_errors.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct gbd_list_errors
{
  uint32_t count;
  uint32_t omitted;
  gbd_list_error_t errors[GBD_LIST_ERRORS_MAX];
};

const char *const gbd_list_strings[GBD_LIST_COUNT] = { "customers", "plans" };

static gbd_list_error_t *insert_error (gbd_list_errors_t *errors,
                                       gbd_list_t list, uint32_t line);
static bool is_not_after (const gbd_list_error_t *error, gbd_list_t list,
                          uint32_t line);
static void format_path (const gbd_list_location_t *location, char *text);
static void copy_text (char *to, const char *from);

gbd_list_errors_t *
gbd_list_errors_new (void)
{
  return calloc (1, sizeof (gbd_list_errors_t));
}

void
gbd_list_errors_delete (gbd_list_errors_t *errors)
{
  free (errors);
}

uint32_t
gbd_list_errors_get_count (const gbd_list_errors_t *errors)
{
  return errors->count;
}

const gbd_list_error_t *
gbd_list_errors_get (const gbd_list_errors_t *errors, uint32_t index)
{
  assert (index < errors->count);
  return &errors->errors[index];
}

uint32_t
gbd_list_errors_get_omitted (const gbd_list_errors_t *errors)
{
  return errors->omitted;
}

void
gbd_list_error_format (const gbd_list_error_t *error, char *text)
{
  snprintf (text, GBD_LIST_ERROR_TEXT_MAX, "%s list, line %u, %s: %s; %s",
            gbd_list_strings[error->list], error->line,
            error->field[0] ? error->field : "whole list", error->cause,
            error->remedy);
}

void
gbd_list_location_push_key (gbd_list_location_t *location, const char *key)
{
  assert (location->depth < GBD_LIST_DEPTH_MAX);
  location->path[location->depth++] = (gbd_json_path_segment_t){ .key = key };
}

void
gbd_list_location_push_index (gbd_list_location_t *location, size_t index)
{
  assert (location->depth < GBD_LIST_DEPTH_MAX);
  location->path[location->depth++]
      = (gbd_json_path_segment_t){ .index = index };
}

void
gbd_list_location_pop (gbd_list_location_t *location)
{
  assert (location->depth > 0);
  location->depth--;
}

void
gbd_list_errors_add (gbd_list_errors_t *errors,
                     const gbd_list_location_t *location, const char *remedy,
                     const char *cause, ...)
{
  if (errors->count == GBD_LIST_ERRORS_MAX)
    {
      errors->omitted++;
      return;
    }
  uint32_t line
      = gbd_json_find_line (location->text, location->path, location->depth);
  gbd_list_error_t *error = insert_error (errors, location->list, line);
  format_path (location, error->field);
  copy_text (error->remedy, remedy);
  va_list arguments;
  va_start (arguments, cause);
  vsnprintf (error->cause, sizeof error->cause, cause, arguments);
  va_end (arguments);
}

void
gbd_list_errors_add_line (gbd_list_errors_t *errors, gbd_list_t list,
                          uint32_t line, const char *remedy, const char *cause)
{
  if (errors->count == GBD_LIST_ERRORS_MAX)
    {
      errors->omitted++;
      return;
    }
  gbd_list_error_t *error = insert_error (errors, list, line);
  copy_text (error->remedy, remedy);
  copy_text (error->cause, cause);
}

/* Insert an empty error into the errors, which are sorted by list and line; it
   follows existing errors of the same line. */
static gbd_list_error_t *
insert_error (gbd_list_errors_t *errors, gbd_list_t list, uint32_t line)
{
  uint32_t index = errors->count++;
  while (index > 0 && !is_not_after (&errors->errors[index - 1], list, line))
    {
      errors->errors[index] = errors->errors[index - 1];
      index--;
    }
  gbd_list_error_t *error = &errors->errors[index];
  memset (error, 0, sizeof *error);
  error->list = list;
  error->line = line;
  return error;
}

static bool
is_not_after (const gbd_list_error_t *error, gbd_list_t list, uint32_t line)
{
  if (error->list != list)
    return error->list < list;
  return error->line <= line;
}

static void
format_path (const gbd_list_location_t *location, char *text)
{
  size_t used = 0;
  for (size_t i = 0; i < location->depth && used < GBD_LIST_TEXT_MAX; i++)
    {
      const gbd_json_path_segment_t *segment = &location->path[i];
      size_t space_left = GBD_LIST_TEXT_MAX - used;
      int length = segment->key ? snprintf (text + used, space_left, "%s%s",
                                            i ? "." : "", segment->key)
                                : snprintf (text + used, space_left, "[%zu]",
                                            segment->index);
      used += (size_t)length;
    }
}

static void
copy_text (char *to, const char *from)
{
  snprintf (to, GBD_LIST_TEXT_MAX, "%s", from);
}
