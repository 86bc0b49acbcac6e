#include "journal.h"

#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "gooseberrydrum/retry.h"

#define BUFFER_BYTES 16384 /* about 50 lines, between two flushes */
/* Lines a second of one event: each new flow of an ordinary day has its line
   (up to 60 a second at an instance of the site sheets), at about 10 us. */
#define RATE_PER_SECOND 100
#define BURST 200
#define MS_PER_S 1000
#define NS_PER_MS 1000000

typedef struct
{
  gbd_event_t event;
  int priority;
  const char *name;
  const char *message;
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
    gbd_token_bucket_init (&journal->streams[i].bucket, RATE_PER_SECOND, BURST,
                           now);
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
  json_t *line = json_pack (
      "{s:I, s:i, s:s, s:i, s:s, s:s}", "time_ms", time_of_day_ms (), "event",
      (int)event, "name", stream->name, "priority", stream->priority,
      "instance", journal->instance, "message", stream->message);
  if (stream->suppressed)
    json_object_set_new (line, "suppressed",
                         json_integer ((json_int_t)stream->suppressed));
  if (fields)
    json_object_update (line, fields);
  json_decref (fields);
  size_t room = BUFFER_BYTES - journal->length;
  size_t length = json_dumpb (line, journal->buffer + journal->length, room,
                              JSON_COMPACT);
  json_decref (line);
  if (length == 0 || length >= room)
    {
      stream->suppressed++;
      journal->suppressed++;
      return;
    }
  stream->suppressed = 0;
  journal->length += length;
  journal->buffer[journal->length++] = '\n';
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
  if (journal->length == 0)
    return;
  ssize_t written = write (journal->fd, journal->buffer, journal->length);
  if (written <= 0)
    return;
  journal->length -= (size_t)written;
  memmove (journal->buffer, journal->buffer + written, journal->length);
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

static json_int_t
time_of_day_ms (void)
{
  struct timespec time;
  clock_gettime (CLOCK_REALTIME, &time);
  return (json_int_t)time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS;
}
