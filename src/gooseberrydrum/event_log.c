#define _GNU_SOURCE /* NOLINT: reserved name, needed for memrchr */
#include "event_log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>
#include <time.h>
#include <unistd.h>

#include "gooseberrydrum/retry.h"

#define BUFFER_BYTES 16384 /* about 50 lines between two flushes */
/* Part of the buffer that is reserved for priorities from notice upwards, so
   that lines about single flows do not leave lines about a start, a stop or a
   lost dependency without space. */
#define RESERVED_BYTES 4096
/* Lines per second of one event.  A line takes about 10 us, so an event takes
   at most a thousandth of a core. */
#define RATE_PER_SECOND 100
#define BURST 200
#define LINE_END_BYTES 2 /* closing brace and newline */
#define MS_PER_S 1000
#define NS_PER_MS 1000000

typedef struct
{
  gbd_event_t event;
  int priority;
  const char *name;
  const char *message; /* NULL if the event has none */
  gbd_token_bucket_t bucket;
  uint64_t suppressed; /* lines suppressed since the last written line */
} event_state_t;

static const gbd_event_t event_numbers[] = {
#define EVENT(name, number, priority, format) GBD_EVENT_##name,
  GBD_EVENTS (EVENT)
#undef EVENT
};
static const int event_count = sizeof event_numbers / sizeof event_numbers[0];

struct gbd_event_log
{
  int fd;
  int priority;
  char instance[GBD_NAME_MAX + 1];
  uint64_t suppressed;
  size_t length;
  char buffer[BUFFER_BYTES];
  event_state_t event_states[];
};

static event_state_t *find_state (gbd_event_log_t *event_log,
                                  gbd_event_t event);
static size_t get_write_length (const char *text, size_t length);
static bool append (gbd_event_log_t *event_log, const event_state_t *state,
                    const json_t *fields);
static size_t write_common_fields (const gbd_event_log_t *event_log,
                                   const event_state_t *state, char *line,
                                   size_t capacity);
static json_int_t time_of_day_ms (void);

gbd_event_log_t *
gbd_event_log_new (int fd, const char *instance, int priority, gbd_time_t now)
{
  const event_state_t initial_states[] = {
#define EVENT(name, number, priority, format)                                 \
  { GBD_EVENT_##name, priority, #name, format, { 0 }, 0 },
    GBD_EVENTS (EVENT)
#undef EVENT
  };
  gbd_event_log_t *event_log
      = calloc (1, sizeof *event_log + sizeof initial_states);
  if (!event_log)
    return NULL;
  event_log->fd = fd;
  event_log->priority = priority;
  strncpy (event_log->instance, instance, GBD_NAME_MAX);
  memcpy (event_log->event_states, initial_states, sizeof initial_states);
  for (int i = 0; i < event_count; i++)
    {
      event_state_t *state = &event_log->event_states[i];
      gbd_token_bucket_init (&state->bucket, RATE_PER_SECOND, BURST, now);
      /* A message with placeholders is omitted; the fields of the line contain
         the values. */
      if (strchr (state->message, '%'))
        state->message = NULL;
    }
  int flags = fcntl (fd, F_GETFL);
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  return event_log;
}

void
gbd_event_log_delete (gbd_event_log_t *event_log)
{
  if (!event_log)
    return;
  gbd_event_log_flush (event_log);
  free (event_log);
}

void
gbd_event_log_set_priority (gbd_event_log_t *event_log, int priority)
{
  event_log->priority = priority;
}

bool
gbd_event_log_admit (gbd_event_log_t *event_log, gbd_event_t event,
                     gbd_time_t now)
{
  event_state_t *state = find_state (event_log, event);
  if (!state || state->priority > event_log->priority)
    return false;
  if (gbd_token_bucket_take (&state->bucket, now))
    return true;
  state->suppressed++;
  event_log->suppressed++;
  return false;
}

void
gbd_event_log_write (gbd_event_log_t *event_log, gbd_event_t event,
                     json_t *fields)
{
  event_state_t *state = find_state (event_log, event);
  bool is_written = append (event_log, state, fields);
  if (!is_written)
    {
      gbd_event_log_flush (event_log);
      is_written = append (event_log, state, fields);
    }
  json_decref (fields);
  if (is_written)
    {
      state->suppressed = 0;
      return;
    }
  state->suppressed++;
  event_log->suppressed++;
}

void
gbd_event_log_emit (gbd_event_log_t *event_log, gbd_event_t event,
                    gbd_time_t now, json_t *fields)
{
  if (gbd_event_log_admit (event_log, event, now))
    gbd_event_log_write (event_log, event, fields);
  else
    json_decref (fields);
}

void
gbd_event_log_flush (gbd_event_log_t *event_log)
{
  size_t flushed = 0;
  while (flushed < event_log->length)
    {
      const char *text = event_log->buffer + flushed;
      size_t length = get_write_length (text, event_log->length - flushed);
      ssize_t written = write (event_log->fd, text, length);
      if (written <= 0)
        break;
      flushed += (size_t)written;
      if ((size_t)written < length)
        break;
    }
  event_log->length -= flushed;
  memmove (event_log->buffer, event_log->buffer + flushed, event_log->length);
}

uint64_t
gbd_event_log_get_suppressed (const gbd_event_log_t *event_log)
{
  return event_log->suppressed;
}

static event_state_t *
find_state (gbd_event_log_t *event_log, gbd_event_t event)
{
  for (int i = 0; i < event_count; i++)
    {
      if (event_log->event_states[i].event == event)
        return &event_log->event_states[i];
    }
  return NULL;
}

/* Returns the number of bytes to write next: as many complete lines as fit
   into PIPE_BUF, the limit of an atomic write.  A collector that reads one
   write at a time then receives no partial lines. */
static size_t
get_write_length (const char *text, size_t length)
{
  if (length <= PIPE_BUF)
    return length;
  const char *end = memrchr (text, '\n', PIPE_BUF);
  return end ? (size_t)(end - text) + 1 : PIPE_BUF;
}

/* Appends a line to the buffer.  @return false if it does not fit. */
static bool
append (gbd_event_log_t *event_log, const event_state_t *state,
        const json_t *fields)
{
  char *line = event_log->buffer + event_log->length;
  size_t capacity = BUFFER_BYTES - event_log->length;
  size_t reserved = state->priority > LOG_NOTICE ? RESERVED_BYTES : 0;
  if (capacity <= reserved)
    return false;
  capacity -= reserved;
  size_t length = write_common_fields (event_log, state, line, capacity);
  /* The opening brace of the fields is replaced by a comma. */
  size_t fields_length = length < capacity
                             ? json_dumpb (fields, line + length,
                                           capacity - length, JSON_COMPACT)
                             : 0;
  if (length + LINE_END_BYTES > capacity
      || fields_length > capacity - length - LINE_END_BYTES)
    return false;
  if (json_object_size (fields) > 0)
    line[length] = ',';
  else
    {
      line[length] = '}';
      fields_length = 1;
    }
  line[length + fields_length] = '\n';
  event_log->length += length + fields_length + 1;
  return true;
}

/* Writes the common fields of a line.  Names and messages contain no
   characters that JSON must escape. */
static size_t
write_common_fields (const gbd_event_log_t *event_log,
                     const event_state_t *state, char *line, size_t capacity)
{
  int length = snprintf (
      line, capacity,
      "{\"time_ms\":%" JSON_INTEGER_FORMAT
      ",\"event\":%d,\"name\":\"%s\",\"priority\":%d,\"instance\":\"%s\"",
      time_of_day_ms (), (int)state->event, state->name, state->priority,
      event_log->instance);
  if (state->message && (size_t)length < capacity)
    length += snprintf (line + length, capacity - (size_t)length,
                        ",\"message\":\"%s\"", state->message);
  if (state->suppressed && (size_t)length < capacity)
    length += snprintf (line + length, capacity - (size_t)length,
                        ",\"suppressed\":%" PRIu64, state->suppressed);
  return (size_t)length;
}

static json_int_t
time_of_day_ms (void)
{
  struct timespec time;
  clock_gettime (CLOCK_REALTIME, &time);
  return (json_int_t)time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS;
}
