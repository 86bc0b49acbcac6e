#define _GNU_SOURCE /* NOLINT: the C library's name, for memrchr */
#include "journal.h"

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

#define BUFFER_BYTES 16384 /* about 50 lines, between two flushes */
/* Of them, for notices and what is more important: a start, a stop or a lost
   dependency must not be left out for lines of single flows. */
#define RESERVED_BYTES 4096
/* Lines a second of one event: each new flow of an ordinary day has its line
   (up to 60 a second at an instance of the site sheets), at about 10 us. */
#define RATE_PER_SECOND 100
#define BURST 200
#define MAX_TAIL 2 /* brace and end of line */
#define MS_PER_S 1000
#define NS_PER_MS 1000000

typedef struct
{
  gbd_event_t event;
  int priority;
  const char *name;
  const char *message; /* NULL: none */
  gbd_token_bucket_t bucket;
  uint64_t suppressed; /* since the last line */
} stream_t;

static const gbd_event_t known_events[] = {
#define EVENT(name, number, priority, format) GBD_EVENT_##name,
  GBD_EVENTS (EVENT)
#undef EVENT
};
static const int event_count = sizeof known_events / sizeof known_events[0];

struct gbd_journal
{
  int fd;
  int priority;
  char instance[GBD_NAME_MAX + 1];
  uint64_t suppressed;
  size_t length;
  char buffer[BUFFER_BYTES];
  stream_t streams[];
};

static stream_t *find_stream (gbd_journal_t *journal, gbd_event_t event);
static size_t find_chunk (const char *text, size_t length);
static bool append (gbd_journal_t *journal, const stream_t *stream,
                    const json_t *fields);
static size_t write_head (const gbd_journal_t *journal, const stream_t *stream,
                          char *line, size_t room);
static json_int_t time_of_day_ms (void);

gbd_journal_t *
gbd_journal_new (int fd, const char *instance, int priority, gbd_time_t now)
{
  const stream_t infos[] = {
#define EVENT(name, number, priority, format)                                 \
  { GBD_EVENT_##name, priority, #name, format, { 0 }, 0 },
    GBD_EVENTS (EVENT)
#undef EVENT
  };
  gbd_journal_t *journal = calloc (1, sizeof *journal + sizeof infos);
  if (!journal)
    return NULL;
  journal->fd = fd;
  journal->priority = priority;
  strncpy (journal->instance, instance, GBD_NAME_MAX);
  memcpy (journal->streams, infos, sizeof infos);
  for (int i = 0; i < event_count; i++)
    {
      stream_t *stream = &journal->streams[i];
      gbd_token_bucket_init (&stream->bucket, RATE_PER_SECOND, BURST, now);
      /* A format; the line's fields say what its arguments would. */
      if (strchr (stream->message, '%'))
        stream->message = NULL;
    }
  int flags = fcntl (fd, F_GETFL);
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  return journal;
}

void
gbd_journal_delete (gbd_journal_t *journal)
{
  if (!journal)
    return;
  gbd_journal_flush (journal);
  free (journal);
}

void
gbd_journal_set_priority (gbd_journal_t *journal, int priority)
{
  journal->priority = priority;
}

bool
gbd_journal_admits (gbd_journal_t *journal, gbd_event_t event, gbd_time_t now)
{
  stream_t *stream = find_stream (journal, event);
  if (!stream || stream->priority > journal->priority)
    return false;
  if (gbd_token_bucket_take (&stream->bucket, now))
    return true;
  stream->suppressed++;
  journal->suppressed++;
  return false;
}

void
gbd_journal_write (gbd_journal_t *journal, gbd_event_t event, json_t *fields)
{
  stream_t *stream = find_stream (journal, event);
  bool is_written = append (journal, stream, fields);
  if (!is_written)
    {
      gbd_journal_flush (journal);
      is_written = append (journal, stream, fields);
    }
  json_decref (fields);
  if (is_written)
    {
      stream->suppressed = 0;
      return;
    }
  stream->suppressed++;
  journal->suppressed++;
}

void
gbd_journal_note (gbd_journal_t *journal, gbd_event_t event, gbd_time_t now,
                  json_t *fields)
{
  if (gbd_journal_admits (journal, event, now))
    gbd_journal_write (journal, event, fields);
  else
    json_decref (fields);
}

void
gbd_journal_flush (gbd_journal_t *journal)
{
  size_t done = 0;
  while (done < journal->length)
    {
      const char *text = journal->buffer + done;
      size_t length = find_chunk (text, journal->length - done);
      ssize_t written = write (journal->fd, text, length);
      if (written <= 0)
        break;
      done += (size_t)written;
      if ((size_t)written < length)
        break;
    }
  journal->length -= done;
  memmove (journal->buffer, journal->buffer + done, journal->length);
}

uint64_t
gbd_journal_get_suppressed (const gbd_journal_t *journal)
{
  return journal->suppressed;
}

static stream_t *
find_stream (gbd_journal_t *journal, gbd_event_t event)
{
  for (int i = 0; i < event_count; i++)
    {
      if (journal->streams[i].event == event)
        return &journal->streams[i];
    }
  return NULL;
}

/* Bytes of the next write: whole lines, as many as a pipe takes in one piece.
   A collector that reads one write at a time then sees no line that is cut. */
static size_t
find_chunk (const char *text, size_t length)
{
  if (length <= PIPE_BUF)
    return length;
  const char *end = memrchr (text, '\n', PIPE_BUF);
  return end ? (size_t)(end - text) + 1 : PIPE_BUF;
}

/* Append a line to what waits.  @return false if it finds no room. */
static bool
append (gbd_journal_t *journal, const stream_t *stream, const json_t *fields)
{
  char *line = journal->buffer + journal->length;
  size_t room = BUFFER_BYTES - journal->length;
  size_t reserved = stream->priority > LOG_NOTICE ? RESERVED_BYTES : 0;
  if (room <= reserved)
    return false;
  room -= reserved;
  size_t length = write_head (journal, stream, line, room);
  /* The fields' opening brace becomes the comma after the head. */
  size_t more = length < room ? json_dumpb (fields, line + length,
                                            room - length, JSON_COMPACT)
                              : 0;
  if (length + MAX_TAIL > room || more > room - length - MAX_TAIL)
    return false;
  if (json_object_size (fields) > 0)
    line[length] = ',';
  else
    {
      line[length] = '}';
      more = 1;
    }
  line[length + more] = '\n';
  journal->length += length + more + 1;
  return true;
}

/* Names and messages hold nothing that JSON would escape. */
static size_t
write_head (const gbd_journal_t *journal, const stream_t *stream, char *line,
            size_t room)
{
  int length = snprintf (
      line, room,
      "{\"time_ms\":%" JSON_INTEGER_FORMAT
      ",\"event\":%d,\"name\":\"%s\",\"priority\":%d,\"instance\":\"%s\"",
      time_of_day_ms (), (int)stream->event, stream->name, stream->priority,
      journal->instance);
  if (stream->message && (size_t)length < room)
    length += snprintf (line + length, room - (size_t)length,
                        ",\"message\":\"%s\"", stream->message);
  if (stream->suppressed && (size_t)length < room)
    length += snprintf (line + length, room - (size_t)length,
                        ",\"suppressed\":%" PRIu64, stream->suppressed);
  return (size_t)length;
}

static json_int_t
time_of_day_ms (void)
{
  struct timespec time;
  clock_gettime (CLOCK_REALTIME, &time);
  return (json_int_t)time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS;
}
