/* Stand-ins of the review.

   Addresses, all on the loopback interface; X and the ports are chosen so
   that they are free:
     127.X.1.1  clients; resets of instances arrive at the datagram port
     127.X.2.K  instance K
     127.X.3.K  the store, as instance K reaches it
     127.X.4.S  endpoint S
     127.X.9.1  address of the routes, which exists in packets alone

   These stand-ins lose no datagram. */
#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define SYN 4
#define ACK 32
#define FIN 16
#define RST 2
#define HEAD 32
#define DATA_MAX 1200
#define PORTS 65536
#define FIRST_PORT 10000
#define DRAIN_MS 3000
#define WORK_MS 30

/* ---- common ---- */

static uint32_t net;  /* 127.X.0.0 */
static uint16_t port; /* datagram port; the others follow */
static FILE *record_file;
static const char *folder; /* temporary */
static const char *program;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* of the world */
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec origin;
static uint16_t next_port = FIRST_PORT; /* of clients */

double
now_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)(t.tv_sec - origin.tv_sec) * 1e3
         + (double)(t.tv_nsec - origin.tv_nsec) / 1e6;
}

void
sleep_until (double ms)
{
  double rest;
  while ((rest = ms - now_ms ()) > 0)
    usleep ((useconds_t)(rest < 50 ? rest * 1e3 : 5e4));
}

void
record (const char *format, ...)
{
  va_list arguments;
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%9.1f ", now_ms ());
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

static void
die (const char *what)
{
  fprintf (stderr, "world: %s: %s\n", what, strerror (errno));
  instances_stop ();
  exit (2);
}

static struct sockaddr_in
at (uint32_t ip, uint16_t at_port)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_port = htons (at_port) };
  a.sin_addr.s_addr = htonl (ip);
  return a;
}

static const char *
text (uint32_t ip, char *buffer)
{
  snprintf (buffer, 16, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255,
            ip & 255);
  return buffer;
}

static int
bound (int type, uint32_t ip, uint16_t at_port)
{
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  int one = 1;
  struct sockaddr_in a = at (ip, at_port);
  if (type == SOCK_STREAM)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) < 0
      || (type == SOCK_STREAM && listen (fd, 512) < 0))
    {
      close (fd);
      return -1;
    }
  return fd;
}

static uint32_t
random32 (void)
{
  uint32_t value;
  if (getrandom (&value, sizeof value, 0) != sizeof value)
    die ("getrandom");
  return value;
}

/* ---- store ---- */

typedef struct
{
  long revision;
  char kind[32];
  char name[64];
  char *spec;
  size_t length;
  bool is_deleted;
} change_t;

#define CHANGES_MAX 4096
static change_t changes[CHANGES_MAX];
static uint32_t change_count;
static long revision = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static int store_fds[INSTANCES_MAX];
static double change_times[CHANGES_MAX];
static double lag_ms;   /* of the replicas that answer stale reads */
static double lag_rate; /* growth of it */
static double lag_max_ms;
static double lag_since;                /* start of the growth */
static double cut_ends[INSTANCES_MAX];  /* end of the cut from the store */
static double cut_armed[INSTANCES_MAX]; /* its length; 0: none is due */
static double cut_began[INSTANCES_MAX];
static __thread int caller; /* instance whose call is served */

typedef struct
{
  char *bytes;
  size_t length;
  size_t room;
} buffer_t;

static void
add (buffer_t *buffer, const char *bytes, size_t length)
{
  if (buffer->length + length + 1 > buffer->room)
    {
      buffer->room = 2 * (buffer->length + length + 1);
      buffer->bytes = realloc (buffer->bytes, buffer->room);
    }
  memcpy (buffer->bytes + buffer->length, bytes, length);
  buffer->length += length;
  buffer->bytes[buffer->length] = '\0';
}

static void
add_text (buffer_t *buffer, const char *format, ...)
{
  char line[512];
  va_list arguments;
  va_start (arguments, format);
  int length = vsnprintf (line, sizeof line, format, arguments);
  va_end (arguments);
  add (buffer, line, (size_t)length);
}

static void
add_object (buffer_t *buffer, const change_t *change)
{
  add_text (
      buffer,
      "{\"meta\":{\"name\":\"%s\",\"mod_revision\":%ld,\"created_at\":%ld,"
      "\"finalizers\":[],\"deletion_pending\":false},\"spec\":",
      change->name, change->revision, change->revision);
  add (buffer, change->spec, change->length);
  add_text (buffer, ",\"status\":null}");
}

/* How far the replicas that answer stale reads are behind. */
static double
get_lag (void)
{
  double lag = lag_ms + lag_rate * (now_ms () - lag_since);
  return lag_rate > 0 && lag > lag_max_ms ? lag_max_ms : lag;
}

/* Number of the changes that a read sees.  Replicas are behind. */
static uint32_t
count_visible (bool is_stale)
{
  uint32_t count = change_count;
  while (is_stale && count > 0
         && change_times[count - 1] > now_ms () - get_lag ())
    count--;
  return count;
}

/* The latest change of an object among the first ones; NULL if there is no
   such object. */
static const change_t *
find_among (const char *kind, const char *name, uint32_t count)
{
  for (uint32_t i = count; i-- > 0;)
    if (!strcmp (changes[i].kind, kind) && !strcmp (changes[i].name, name))
      return changes[i].is_deleted ? NULL : &changes[i];
  return NULL;
}

static const change_t *
find (const char *kind, const char *name)
{
  return find_among (kind, name, change_count);
}

static void
append (const char *kind, const char *name, const char *spec, size_t length,
        bool is_deleted)
{
  if (change_count == CHANGES_MAX)
    die ("too many changes");
  const change_t *previous = find (kind, name);
  change_t *change = &changes[change_count];
  revision++;
  change->revision = is_deleted && previous ? previous->revision : revision;
  snprintf (change->kind, sizeof change->kind, "%s", kind);
  snprintf (change->name, sizeof change->name, "%s", name);
  change->spec = malloc (length + 1);
  memcpy (change->spec, spec, length);
  change->spec[length] = '\0';
  change->length = length;
  change->is_deleted = is_deleted;
  change_times[change_count] = now_ms ();
  change_count++;
}

/* Revision at which a change was made; that of a deleted object is of its last
   change. */
static long made_at[CHANGES_MAX];

double
store_put (const char *kind, const char *name, const char *spec, size_t length)
{
  pthread_mutex_lock (&store_lock);
  const change_t *old = find (kind, name);
  if (!old || old->length != length || memcmp (old->spec, spec, length) != 0)
    {
      append (kind, name, spec, length, false);
      made_at[change_count - 1] = revision;
    }
  pthread_mutex_unlock (&store_lock);
  return now_ms ();
}

void
store_remove (const char *kind, const char *name)
{
  pthread_mutex_lock (&store_lock);
  const change_t *old = find (kind, name);
  if (old)
    {
      append (kind, name, old->spec, old->length, true);
      made_at[change_count - 1] = revision;
    }
  pthread_mutex_unlock (&store_lock);
}

/* Answers, unless the instance is cut off from the store. */
static void
answer (int fd, int status, const buffer_t *body)
{
  if (now_ms () < cut_ends[caller])
    {
      sleep_until (cut_ends[caller]);
      return;
    }
  char head[256];
  int length = snprintf (head, sizeof head,
                         "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                         "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                         status, status < 300 ? "OK" : "No", body->length);
  if (send (fd, head, (size_t)length, MSG_NOSIGNAL) < 0)
    return;
  for (size_t sent = 0; sent < body->length;)
    {
      ssize_t count
          = send (fd, body->bytes + sent, body->length - sent, MSG_NOSIGNAL);
      if (count <= 0)
        return;
      sent += (size_t)count;
    }
}

static long
get_revision (uint32_t count)
{
  return count ? made_at[count - 1] : 100;
}

static void
answer_list (int fd, const char *kind, bool is_stale)
{
  buffer_t body = { 0 };
  bool is_first = true;
  add_text (&body, "{\"items\":[");
  pthread_mutex_lock (&store_lock);
  uint32_t count = count_visible (is_stale);
  for (uint32_t i = 0; i < count; i++)
    if (!strcmp (changes[i].kind, kind)
        && find_among (kind, changes[i].name, count) == &changes[i])
      {
        if (!is_first)
          add_text (&body, ",");
        is_first = false;
        add_object (&body, &changes[i]);
      }
  add_text (&body, "],\"has_more\":false,\"at_revision\":%ld}",
            get_revision (count));
  pthread_mutex_unlock (&store_lock);
  answer (fd, 200, &body);
  free (body.bytes);
}

static void
answer_watch (int fd, const char *kind, long since, long wait_ms,
              bool is_stale)
{
  double end = now_ms () + (double)wait_ms;
  buffer_t body = { 0 };
  bool has_events = false;
  add_text (&body, "{\"events\":[");
  pthread_mutex_lock (&store_lock);
  for (;;)
    {
      uint32_t count = count_visible (is_stale);
      for (uint32_t i = 0; i < count; i++)
        if (!strcmp (changes[i].kind, kind) && made_at[i] > since)
          {
            add_text (&body,
                      "%s{\"deleted\":%s,\"object\":", has_events ? "," : "",
                      changes[i].is_deleted ? "true" : "false");
            add_object (&body, &changes[i]);
            add_text (&body, "}");
            has_events = true;
          }
      if (has_events || now_ms () >= end)
        {
          add_text (&body, "],\"at_revision\":%ld}", get_revision (count));
          break;
        }
      pthread_mutex_unlock (&store_lock);
      usleep (5000);
      pthread_mutex_lock (&store_lock);
    }
  pthread_mutex_unlock (&store_lock);
  answer (fd, 200, &body);
  free (body.bytes);
}

static void
answer_object (int fd, int status, const char *kind, const char *name)
{
  buffer_t body = { 0 };
  pthread_mutex_lock (&store_lock);
  const change_t *change = find (kind, name);
  if (change)
    add_object (&body, change);
  pthread_mutex_unlock (&store_lock);
  answer (fd, change ? status : 404, &body);
  free (body.bytes);
}

/* POST creates an object. */
static void
answer_create (int fd, const char *kind, const char *body, size_t length)
{
  char name[64] = "";
  const char *at_name = strstr (body, "\"name\":\"");
  const char *spec = strstr (body, "\"spec\":");
  const char *end = body + length;
  while (end > body && *end != '}')
    end--;
  if (!at_name || !spec || sscanf (at_name + 8, "%63[^\"]", name) != 1)
    {
      buffer_t empty = { 0 };
      answer (fd, 400, &empty);
      return;
    }
  spec += 7;
  pthread_mutex_lock (&store_lock);
  bool exists = find (kind, name);
  if (!exists)
    {
      append (kind, name, spec, (size_t)(end - spec), false);
      made_at[change_count - 1] = revision;
    }
  pthread_mutex_unlock (&store_lock);
  answer_object (fd, exists ? 409 : 201, kind, name);
}

static void *
serve_store (void *data)
{
  int fd = (int)(intptr_t)data & 0xffff;
  caller = (int)((intptr_t)data >> 16);
  char head[65536];
  size_t length = 0;
  char *end = NULL;
  while (!end && length < sizeof head - 1)
    {
      ssize_t count = recv (fd, head + length, sizeof head - 1 - length, 0);
      if (count <= 0)
        goto done;
      length += (size_t)count;
      head[length] = '\0';
      end = strstr (head, "\r\n\r\n");
    }
  char method[8] = "";
  char path[512] = "";
  if (!end || sscanf (head, "%7s %511s", method, path) != 2)
    goto done;
  const char *field = strcasestr (head, "content-length:");
  size_t body_length = field ? strtoul (field + 15, NULL, 10) : 0;
  char *body = end + 4;
  while (length < (size_t)(body - head) + body_length
         && length < sizeof head - 1)
    {
      ssize_t count = recv (fd, head + length, sizeof head - 1 - length, 0);
      if (count <= 0)
        goto done;
      length += (size_t)count;
      head[length] = '\0';
    }
  char *query = strchr (path, '?');
  if (query)
    *query++ = '\0';
  char kind[64] = "";
  char name[64] = "";
  int parts = sscanf (path, "/objects/%63[^/]/%63s", kind, name);
  const char *watch = query ? strstr (query, "watch=") : NULL;
  const char *wait = query ? strstr (query, "wait_ms=") : NULL;
  bool is_stale = query && strstr (query, "stale_ok=1");
  long wait_ms = wait ? atol (wait + 8) : 0;
  if (watch && wait_ms && cut_armed[caller] && !strcmp (kind, "servers"))
    {
      cut_ends[caller] = now_ms () + cut_armed[caller];
      cut_armed[caller] = 0;
      cut_began[caller] = now_ms ();
    }
  if (parts == 2 && !strcmp (method, "GET"))
    answer_object (fd, 200, kind, name);
  else if (parts == 1 && !strcmp (method, "POST"))
    answer_create (fd, kind, body, body_length);
  else if (parts == 1 && watch)
    answer_watch (fd, kind, atol (watch + 6), wait_ms, is_stale);
  else if (parts == 1 && !strcmp (method, "GET"))
    answer_list (fd, kind, is_stale);
  else
    {
      buffer_t empty = { 0 };
      answer (fd, 400, &empty);
    }
done:
  close (fd);
  return NULL;
}

static void
detach (void *(*function) (void *), void *data)
{
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 256 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, function, data) != 0)
    die ("pthread_create");
  pthread_attr_destroy (&attributes);
}

static void *
accept_store (void *data)
{
  intptr_t index = (intptr_t)data;
  for (;;)
    {
      int fd = accept4 (store_fds[index], NULL, NULL, SOCK_CLOEXEC);
      if (fd >= 0)
        detach (serve_store, (void *)(index << 16 | fd));
    }
  return NULL;
}

void
store_start (void)
{
  for (intptr_t i = 0; i < INSTANCES_MAX; i++)
    detach (accept_store, (void *)i);
}

void
store_set_lag (double ms)
{
  lag_ms = ms;
}

void
store_grow_lag (double rate, double max_ms)
{
  lag_since = now_ms ();
  lag_max_ms = max_ms;
  lag_rate = rate;
}

double
store_cut (uint32_t instance, double length_ms)
{
  cut_began[instance] = 0;
  cut_armed[instance] = length_ms;
  while (!cut_began[instance])
    usleep (1000);
  record ("CUT instance %u from the store for %.0f ms", instance + 1,
          length_ms);
  return cut_began[instance];
}

/* ---- packets ---- */

typedef struct
{
  uint8_t flags;
  uint32_t echo;
  uint32_t seq;
  uint32_t ack;
  uint32_t src;
  uint32_t dst;
  uint16_t sport;
  uint16_t dport;
  uint32_t sum;
  uint16_t length;
  char data[DATA_MAX + 1];
} packet_t;

static void
put (uint8_t *bytes, uint64_t value, int count)
{
  while (count-- > 0)
    {
      bytes[count] = (uint8_t)value;
      value >>= 8;
    }
}

static uint64_t
get (const uint8_t *bytes, int count)
{
  uint64_t value = 0;
  for (int i = 0; i < count; i++)
    value = value << 8 | bytes[i];
  return value;
}

static size_t
encode (const packet_t *packet, uint8_t *bytes)
{
  memset (bytes, 0, HEAD);
  put (bytes, packet->sum, 4);
  put (bytes + 4, packet->length, 2);
  put (bytes + 6, packet->echo, 4);
  put (bytes + 10, packet->seq, 4);
  put (bytes + 14, packet->ack, 4);
  bytes[18] = packet->flags;
  put (bytes + 20, packet->dport, 2);
  put (bytes + 22, packet->src, 4);
  put (bytes + 26, packet->dst, 4);
  put (bytes + 30, packet->sport, 2);
  memcpy (bytes + HEAD, packet->data, packet->length);
  return HEAD + packet->length;
}

static bool
decode (const uint8_t *bytes, size_t length, packet_t *packet)
{
  if (length < HEAD || length > HEAD + DATA_MAX
      || get (bytes + 4, 2) != length - HEAD)
    return false;
  *packet = (packet_t){ .sum = (uint32_t)get (bytes, 4),
                        .length = (uint16_t)get (bytes + 4, 2),
                        .echo = (uint32_t)get (bytes + 6, 4),
                        .seq = (uint32_t)get (bytes + 10, 4),
                        .ack = (uint32_t)get (bytes + 14, 4),
                        .flags = bytes[18],
                        .dport = (uint16_t)get (bytes + 20, 2),
                        .src = (uint32_t)get (bytes + 22, 4),
                        .dst = (uint32_t)get (bytes + 26, 4),
                        .sport = (uint16_t)get (bytes + 30, 2) };
  memcpy (packet->data, bytes + HEAD, packet->length);
  packet->data[packet->length] = '\0';
  return true;
}

/* ---- instances ---- */

typedef struct
{
  pid_t pid;
  char settings[256];
  bool is_in_rotation;
  int misses;
} instance_t;

static instance_t instances[INSTANCES_MAX];
static uint32_t instance_count;
static const char *const zones[]
    = { "dar-kariakoo", "dar-msasani", "dar-temeke", "dar-ubungo" };

static uint32_t
instance_ip (uint32_t index)
{
  return net | 2u << 8 | (index + 1);
}

/* The settings template of the project, filled in, and without the
   administration server, whose default address all instances on this host
   would share. */
void
instance_start (uint32_t index, bool is_first_start)
{
  instance_t *instance = &instances[index];
  char ip[16];
  char other[16];
  char log[300];
  snprintf (instance->settings, sizeof instance->settings, "%s/node-%u.conf",
            folder, index + 1);
  snprintf (log, sizeof log, "%s/instance-%u.log", folder, index + 1);
  FILE *file = fopen (instance->settings, "we");
  if (!file)
    die (instance->settings);
  text (instance_ip (index), ip);
  fprintf (file,
           "[serve]\nname=edge-%u\nzone=%s\nplatform=%s:%u\n"
           "fabric-listen=%s:%u\nready-listen=%s:%u\nmetrics-listen=%s:%u\n"
           "relay-listen=%s:%u\nrelays=",
           index + 1, zones[index % 4],
           text (net | 3u << 8 | (index + 1), other), port + 4, ip, port, ip,
           port + 1, ip, port + 3, ip, port + 2);
  for (uint32_t i = 0; i < 3; i++)
    fprintf (file, "%s%s:%u", i ? "," : "", text (instance_ip (i), other),
             port + 2);
  fprintf (file,
           "\nfirst-start=%s\ngroup-view=yes\nreports-listen=%s:%u\n"
           "stop-forward-ms=4500\nprobe-servers=yes\nzone-evacuation=no\n"
           "warmup-overshoot=\nwarmup-slack=\nadmin-listen=off\n",
           is_first_start ? "yes" : "no", ip, port + 10);
  fclose (file);
  pid_t pid = fork ();
  if (pid < 0)
    die ("fork");
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (fd, 1);
      dup2 (fd, 2);
      setenv ("GOOSEBERRYDRUM_SETTINGS", instance->settings, 1);
      execl (program, program, "serve", "--policy=cookie",
             "--packet-form=echo", "--platform-form=objects", NULL);
      _exit (127);
    }
  instance->pid = pid;
  record ("INSTANCE %u started, pid %d", index + 1, (int)pid);
}

void
instances_start (uint32_t count, bool is_first_start)
{
  instance_count = count;
  for (uint32_t i = 0; i < count; i++)
    instance_start (i, is_first_start);
}

void
instance_kill (uint32_t index)
{
  instance_t *instance = &instances[index];
  if (instance->pid <= 0)
    return;
  kill (instance->pid, SIGKILL);
  waitpid (instance->pid, NULL, 0);
  instance->pid = 0;
  record ("INSTANCE %u killed", index + 1);
}

void
instances_stop (void)
{
  for (uint32_t i = 0; i < instance_count; i++)
    if (instances[i].pid > 0)
      {
        kill (instances[i].pid, SIGKILL);
        waitpid (instances[i].pid, NULL, 0);
        instances[i].pid = 0;
      }
}

/* GET /ready, as the routers do. */
static bool
is_ready (uint32_t index)
{
  static const char request[] = "GET /ready HTTP/1.1\r\nHost: ready\r\n"
                                "Connection: close\r\n\r\n";
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct timeval limit = { .tv_usec = 400000 };
  struct sockaddr_in a = at (instance_ip (index), port + 1);
  char response[64] = "";
  int status = 0;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0
      && send (fd, request, sizeof request - 1, MSG_NOSIGNAL) > 0
      && recv (fd, response, sizeof response - 1, 0) > 0)
    sscanf (response, "HTTP/%*s %d", &status);
  close (fd);
  return status == 200;
}

static void *
check_instance (void *data)
{
  uint32_t index = (uint32_t)(uintptr_t)data;
  for (double due = now_ms ();; due += 500)
    {
      bool ready = is_ready (index);
      pthread_mutex_lock (&lock);
      instance_t *instance = &instances[index];
      bool was = instance->is_in_rotation;
      instance->misses = ready ? 0 : instance->misses + 1;
      if (ready)
        instance->is_in_rotation = true;
      else if (instance->misses >= 2)
        instance->is_in_rotation = false;
      bool has_changed = was != instance->is_in_rotation;
      bool is_in = instance->is_in_rotation;
      pthread_mutex_unlock (&lock);
      if (has_changed)
        record ("ROUTER instance %u %s", index + 1,
                is_in ? "in rotation" : "out of rotation");
      sleep_until (due + 500);
    }
  return NULL;
}

uint32_t
instances_in_rotation (void)
{
  uint32_t count = 0;
  pthread_mutex_lock (&lock);
  for (uint32_t i = 0; i < instance_count; i++)
    count += instances[i].is_in_rotation;
  pthread_mutex_unlock (&lock);
  return count;
}

bool
instances_wait_ready (double timeout_ms)
{
  double end = now_ms () + timeout_ms;
  while (now_ms () < end)
    {
      if (instances_in_rotation () == instance_count)
        return true;
      usleep (20000);
    }
  return false;
}

uint32_t
relay_with_most_readers (void)
{
  uint32_t sums[3] = { 0 };
  for (int i = 0; i < 20; i++)
    {
      char line[256];
      FILE *file = fopen ("/proc/net/tcp", "re");
      while (file && fgets (line, sizeof line, file))
        {
          unsigned address;
          unsigned local;
          unsigned state;
          if (sscanf (line, " %*d: %x:%x %*x:%*x %x", &address, &local, &state)
                  != 3
              || state != 1 || local != (unsigned)port + 2)
            continue;
          for (uint32_t j = 0; j < 3; j++)
            sums[j] += ntohl (address) == instance_ip (j);
        }
      if (file)
        fclose (file);
      usleep (50000);
    }
  uint32_t best = 0;
  for (uint32_t j = 1; j < 3; j++)
    if (sums[j] > sums[best])
      best = j;
  record ("READERS of the relays, sums of 20 samples: %u, %u, %u", sums[0],
          sums[1], sums[2]);
  return best;
}

/* The router's choice: a hash over the instances in rotation, or over all of
   them if fewer than half are. */
static uint32_t
choose_instance (uint16_t sport)
{
  uint32_t in = 0;
  for (uint32_t i = 0; i < instance_count; i++)
    in += instances[i].is_in_rotation;
  bool uses_all = in * 2 < instance_count;
  uint32_t count = uses_all ? instance_count : in;
  uint32_t pick = (sport * 2654435761u >> 8) % count;
  for (uint32_t i = 0; i < instance_count; i++)
    if ((uses_all || instances[i].is_in_rotation) && pick-- == 0)
      return i;
  return 0;
}

/* ---- endpoints ---- */

typedef struct
{
  uint8_t state; /* 0 none, 1 half open, 2 open, 3 closed */
  uint32_t iss;
  uint32_t rcv_next;
  uint32_t snd_next;
  uint32_t echo;
  uint32_t dst;
  uint16_t dport;
  uint64_t request;  /* at work or answered last */
  double answer_at;  /* 0: not at work */
  packet_t response; /* last one, for copies */
  double resend_at;  /* 0: acknowledged */
  double interval;
  int resends;
} server_flow_t;

endpoint_t endpoints[ENDPOINTS_MAX];
uint32_t endpoint_count;
static int udp_fds[ENDPOINTS_MAX];
static int tcp_fds[ENDPOINTS_MAX];
static server_flow_t *server_flows[ENDPOINTS_MAX][PORTS];

#define REQUESTS_MAX 100000
static uint8_t runs[REQUESTS_MAX];

static void *
serve_health (void *data)
{
  uint32_t index = (uint32_t)((uintptr_t)data >> 32);
  int fd = (int)(uintptr_t)data;
  char request[1024];
  struct timeval limit = { .tv_sec = 2 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (recv (fd, request, sizeof request, 0) > 0)
    {
      char head[128];
      int length
          = snprintf (head, sizeof head,
                      "HTTP/1.1 %s\r\nInstance-Id: %s\r\n"
                      "Content-Length: 0\r\n\r\n",
                      endpoints[index].is_draining ? "503 No" : "200 OK",
                      endpoints[index].name);
      send (fd, head, (size_t)length, MSG_NOSIGNAL);
    }
  close (fd);
  return NULL;
}

static void *
accept_health (void *data)
{
  uintptr_t index = (uintptr_t)data;
  int listener = tcp_fds[index];
  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        return NULL;
      detach (serve_health, (void *)(index << 32 | (unsigned)fd));
    }
}

void
endpoint_write (endpoint_t *endpoint, const char *state)
{
  char spec[512];
  char ip[16];
  int length
      = snprintf (spec, sizeof spec,
                  "{\"backend\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
                  "\"version\":\"v1\",\"max_concurrency\":2,\"state\":\"%s\","
                  "\"warmup_left_ms\":0,\"sequence\":1,\"born\":%lld}",
                  endpoint->service, text (endpoint->ip, ip), port,
                  endpoint->zone, state, (long long)(time (NULL) - 60) * 1000);
  pthread_mutex_lock (&lock);
  endpoint->is_draining = strcmp (state, "draining") == 0;
  pthread_mutex_unlock (&lock);
  double acknowledged
      = store_put ("servers", endpoint->name, spec, (size_t)length);
  pthread_mutex_lock (&lock);
  if (endpoint->is_draining)
    endpoint->draining_at = acknowledged;
  pthread_mutex_unlock (&lock);
  record ("STORE acknowledged servers/%s %s", endpoint->name, state);
}

endpoint_t *
endpoint_start (const char *service, const char *zone)
{
  uint32_t index = endpoint_count;
  endpoint_t *endpoint = &endpoints[index];
  *endpoint = (endpoint_t){ .service = service,
                            .zone = zone,
                            .ip = net | 4u << 8 | (index + 1),
                            .is_running = true };
  endpoint->id = random32 () | 0x10000000u;
  snprintf (endpoint->name, sizeof endpoint->name, "i-%08llx",
            (unsigned long long)endpoint->id);
  udp_fds[index] = bound (SOCK_DGRAM, endpoint->ip, port);
  tcp_fds[index] = bound (SOCK_STREAM, endpoint->ip, port);
  if (udp_fds[index] < 0 || tcp_fds[index] < 0)
    die ("bind of an endpoint");
  fcntl (udp_fds[index], F_SETFL, O_NONBLOCK);
  detach (accept_health, (void *)(uintptr_t)index);
  endpoint_count++;
  endpoint_write (endpoint, "ready");
  return endpoint;
}

void
endpoint_stop (endpoint_t *endpoint)
{
  uint32_t index = (uint32_t)(endpoint - endpoints);
  pthread_mutex_lock (&lock);
  endpoint->is_running = false;
  shutdown (tcp_fds[index], SHUT_RDWR);
  close (tcp_fds[index]);
  pthread_mutex_unlock (&lock);
  store_remove ("servers", endpoint->name);
  record ("ENDPOINT %s ended", endpoint->name);
}

uint16_t
endpoint_get_port (void)
{
  return port;
}

/* Endpoints answer clients directly. */
static void
send_to_client (uint32_t index, uint16_t sport, const server_flow_t *flow,
                packet_t *packet)
{
  uint8_t bytes[HEAD + DATA_MAX];
  packet->src = flow->dst;
  packet->sport = flow->dport;
  packet->dst = net | 1u << 8 | 1;
  packet->dport = sport;
  packet->sum = 1; /* written by an end */
  packet->echo = flow->echo;
  size_t length = encode (packet, bytes);
  struct sockaddr_in to = at (packet->dst, port);
  sendto (udp_fds[index], bytes, length, 0, (struct sockaddr *)&to, sizeof to);
}

static void
send_server_reset (uint32_t index, const packet_t *packet)
{
  server_flow_t flow
      = { .dst = packet->dst, .dport = packet->dport, .echo = packet->echo };
  packet_t reset = { .flags = RST, .seq = packet->ack };
  send_to_client (index, packet->sport, &flow, &reset);
}

static void
receive_opening (uint32_t index, const packet_t *packet, double now)
{
  endpoint_t *endpoint = &endpoints[index];
  server_flow_t **slot = &server_flows[index][packet->sport];
  bool is_late
      = endpoint->draining_at && now > endpoint->draining_at + DRAIN_MS;
  endpoint->last_opening_at = now;
  endpoint->openings_late += is_late;
  record ("ENDPOINT %s opening packet of port %u%s", endpoint->name,
          packet->sport, is_late ? " AFTER THE BOUND ON DRAINING" : "");
  if (!*slot)
    {
      *slot = calloc (1, sizeof **slot);
      (*slot)->state = 1;
      (*slot)->iss = random32 ();
      (*slot)->rcv_next = packet->seq + 1;
      (*slot)->snd_next = (*slot)->iss + 1;
      (*slot)->dst = packet->dst;
      (*slot)->dport = packet->dport;
    }
  server_flow_t *flow = *slot;
  flow->echo = packet->echo;
  packet_t response
      = { .flags = SYN | ACK, .seq = flow->iss, .ack = flow->rcv_next };
  send_to_client (index, packet->sport, flow, &response);
}

static void
receive_at_endpoint (uint32_t index, const uint8_t *bytes, size_t length,
                     double now)
{
  endpoint_t *endpoint = &endpoints[index];
  packet_t packet;
  if (length < 8 || !decode (bytes + 8, length - 8, &packet))
    return;
  uint64_t id = get (bytes, 8);
  if (!endpoint->is_running || (id && id != endpoint->id))
    return;
  if (packet.flags & SYN)
    {
      receive_opening (index, &packet, now);
      return;
    }
  server_flow_t *flow = server_flows[index][packet.sport];
  if (!flow || flow->state == 3)
    {
      if (packet.flags & RST)
        return;
      if (flow && !packet.length)
        return;
      send_server_reset (index, &packet);
      return;
    }
  flow->echo = packet.echo;
  if (flow->state == 1 && packet.ack == flow->iss + 1)
    flow->state = 2;
  if (flow->state != 2)
    return;
  if (packet.ack == flow->snd_next)
    flow->resend_at = 0;
  if (packet.length && packet.seq == flow->rcv_next)
    {
      flow->rcv_next += packet.length;
      flow->request = strtoull (packet.data + 4, NULL, 10);
      flow->answer_at
          = now + (endpoint->work_ms ? endpoint->work_ms : WORK_MS);
      bool again = flow->request < REQUESTS_MAX && runs[flow->request]++;
      record ("RUN request %llu at %s%s", (unsigned long long)flow->request,
              endpoint->name, again ? " AGAIN" : "");
    }
  else if (packet.length && !flow->answer_at)
    send_to_client (index, packet.sport, flow, &flow->response);
  if (packet.flags & FIN)
    {
      packet_t response = { .flags = FIN | ACK,
                            .seq = flow->snd_next,
                            .ack = packet.seq + packet.length + 1 };
      flow->state = 3;
      flow->resend_at = 0;
      send_to_client (index, packet.sport, flow, &response);
    }
}

static void
tick_endpoint (uint32_t index, double now)
{
  for (uint32_t i = FIRST_PORT; i < next_port; i++)
    {
      server_flow_t *flow = server_flows[index][i];
      if (!flow || flow->state != 2 || !endpoints[index].is_running)
        continue;
      if (flow->answer_at && now >= flow->answer_at)
        {
          packet_t *response = &flow->response;
          *response = (packet_t){ .flags = ACK,
                                  .seq = flow->snd_next,
                                  .ack = flow->rcv_next };
          response->length = (uint16_t)snprintf (
              response->data, sizeof response->data, "OK %llu %0600d",
              (unsigned long long)flow->request, 0);
          flow->snd_next += response->length;
          flow->answer_at = 0;
          flow->interval = 200;
          flow->resends = 0;
          flow->resend_at = now + flow->interval;
          send_to_client (index, (uint16_t)i, flow, response);
        }
      else if (flow->resend_at && now >= flow->resend_at && flow->resends < 8)
        {
          flow->resends++;
          flow->interval
              = flow->interval * 2 > 1600 ? 1600 : flow->interval * 2;
          flow->resend_at = now + flow->interval;
          send_to_client (index, (uint16_t)i, flow, &flow->response);
        }
    }
}

/* ---- clients ---- */

typedef struct
{
  flow_state_t state;
  bool is_kept;
  int pinned; /* instance that gets its packets; -1: the router's choice */
  const route_t *route;
  uint32_t iss;
  uint32_t snd_next;
  uint32_t rcv_next;
  uint32_t echo;
  uint64_t request;
  double opened_at; /* first SYN */
  uint32_t copies;  /* of the SYN */
  double resend_at;
  double interval;
  double deadline; /* of the request */
  packet_t last;   /* packet with data that is not acknowledged */
} client_flow_t;

static client_flow_t *client_flows[PORTS];
static int client_fd;
static uint64_t next_request = 1;
static double rate;
static route_t routes[ROUTES_MAX];
static uint32_t route_count;
static results_t results;

void
routes_write (const route_t *list, uint32_t count, uint64_t version)
{
  buffer_t spec = { 0 };
  char ip[16];
  text (net | 9u << 8 | 1, ip);
  add_text (&spec, "{\"version\":%llu,\"routes\":[",
            (unsigned long long)version);
  for (uint32_t i = 0; i < count; i++)
    add_text (&spec,
              "%s{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"/%u/\","
              "\"route_type\":\"%s\",\"timeout_ms\":%u,"
              "\"target_latency_ms\":250,\"priority\":1,\"backend\":\"%s\","
              "\"max_attempts\":2}",
              i ? "," : "", list[i].name, ip, list[i].port, list[i].type,
              list[i].timeout_ms, list[i].service);
  add_text (&spec, "],\"backends\":[");
  for (uint32_t i = 0; i < count; i++)
    {
      bool is_known = false;
      for (uint32_t j = 0; j < i; j++)
        is_known |= strcmp (list[j].service, list[i].service) == 0;
      if (!is_known)
        add_text (&spec,
                  "%s{\"name\":\"%s\",\"health_path\":\"/health\","
                  "\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}",
                  i ? "," : "", list[i].service);
    }
  add_text (&spec, "],\"limits\":{\"max_header_bytes\":16384,"
                   "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
                   "\"idle_timeout_ms\":15000}}");
  pthread_mutex_lock (&lock);
  memcpy (routes, list, count * sizeof *list);
  route_count = count;
  pthread_mutex_unlock (&lock);
  store_put ("config", "main", spec.bytes, spec.length);
  record ("STORE acknowledged config/main version %llu",
          (unsigned long long)version);
  free (spec.bytes);
}

static void
send_client (uint16_t sport, client_flow_t *flow, packet_t *packet)
{
  uint8_t bytes[HEAD + DATA_MAX];
  packet->src = net | 1u << 8 | 1;
  packet->sport = sport;
  packet->dst = net | 9u << 8 | 1;
  packet->dport = flow->route->port;
  packet->sum = 1;
  packet->echo = flow->echo;
  size_t length = encode (packet, bytes);
  uint32_t index
      = flow->pinned >= 0 ? (uint32_t)flow->pinned : choose_instance (sport);
  struct sockaddr_in to = at (instance_ip (index), port);
  sendto (client_fd, bytes, length, 0, (struct sockaddr *)&to, sizeof to);
}

static void
send_syn (uint16_t sport, client_flow_t *flow)
{
  packet_t packet = { .flags = SYN, .seq = flow->iss, .ack = flow->copies };
  send_client (sport, flow, &packet);
}

static void
send_request (uint16_t sport, client_flow_t *flow, double now)
{
  packet_t *packet = &flow->last;
  *packet = (packet_t){ .flags = ACK,
                        .seq = flow->snd_next,
                        .ack = flow->rcv_next };
  packet->length = (uint16_t)snprintf (packet->data, sizeof packet->data,
                                       "REQ %llu %0300d",
                                       (unsigned long long)flow->request, 0);
  flow->snd_next += packet->length;
  flow->interval = 200;
  flow->resend_at = now + flow->interval;
  flow->state = FLOW_WAITING;
  send_client (sport, flow, packet);
}

static uint16_t
open_flow (const route_t *route, bool is_kept, int pinned, double now)
{
  uint16_t sport = next_port++;
  if (next_port == PORTS - 1)
    die ("no more ports");
  client_flow_t *flow = calloc (1, sizeof *flow);
  flow->is_kept = is_kept;
  flow->pinned = pinned;
  flow->route = route;
  flow->iss = random32 ();
  flow->snd_next = flow->iss + 1;
  flow->request = next_request++;
  flow->opened_at = now;
  flow->deadline = now + route->timeout_ms;
  client_flows[sport] = flow;
  results.sent++;
  record ("SENT request %llu, route %s, flow of port %u, instance %u",
          (unsigned long long)flow->request, route->name, sport,
          (pinned >= 0 ? (uint32_t)pinned : choose_instance (sport)) + 1);
  send_syn (sport, flow);
  return sport;
}

static void
end_flow (uint16_t sport)
{
  client_flow_t *flow = client_flows[sport];
  if (flow->is_kept)
    {
      flow->state = FLOW_ENDED;
      return;
    }
  free (flow);
  client_flows[sport] = NULL;
}

static void
receive_at_client (const uint8_t *bytes, size_t length, double now)
{
  packet_t packet;
  if (!decode (bytes, length, &packet))
    return;
  uint16_t sport = packet.dport;
  client_flow_t *flow = client_flows[sport];
  if (!flow || flow->state >= FLOW_RESET_BY_INSTANCE)
    return;
  if (packet.flags & RST)
    {
      bool is_instance = packet.sum == 0;
      unsigned long long request = flow->request;
      if (flow->state == FLOW_OPENING)
        {
          results.refused++;
          if (is_instance && flow->is_kept)
            {
              record ("REFUSED request %llu by an instance", request);
              flow->state = FLOW_REFUSED;
              return;
            }
          record ("REFUSED request %llu by %s", request,
                  is_instance ? "an instance" : "an endpoint");
          end_flow (sport);
          return;
        }
      bool is_at_work = false;
      for (uint32_t i = 0; i < endpoint_count; i++)
        if (server_flows[i][sport] && server_flows[i][sport]->state == 2)
          is_at_work |= server_flows[i][sport]->answer_at > 0;
      record ("RESET of the open flow of port %u by %s; request %llu %s",
              sport, is_instance ? "an instance" : "an endpoint", request,
              flow->state == FLOW_IDLE ? "was answered before"
              : is_at_work             ? "is at work"
                                       : "is not answered");
      if (is_instance)
        {
          results.reset_open++;
          results.reset_at_work += is_at_work;
        }
      else
        results.reset_endpoint++;
      if (flow->is_kept)
        flow->state
            = is_instance ? FLOW_RESET_BY_INSTANCE : FLOW_RESET_BY_ENDPOINT;
      else
        end_flow (sport);
      return;
    }
  if (packet.flags & SYN)
    {
      if (flow->state != FLOW_OPENING)
        return;
      flow->rcv_next = packet.seq + 1;
      flow->echo = packet.echo;
      send_request (sport, flow, now);
      return;
    }
  flow->echo = packet.echo;
  if (!packet.length || flow->state == FLOW_OPENING)
    return;
  packet_t response = { .flags = ACK, .seq = flow->snd_next };
  if (packet.seq == flow->rcv_next)
    {
      flow->rcv_next += packet.length;
      unsigned long long request = strtoull (packet.data + 3, NULL, 10);
      results.answered++;
      results.foreign += request != flow->request;
      record ("ANSWERED request %llu%s", request,
              request != flow->request ? " ON A FLOW OF ANOTHER" : "");
      flow->state = FLOW_IDLE;
      flow->resend_at = 0;
    }
  response.ack = flow->rcv_next;
  if (!flow->is_kept && flow->state == FLOW_IDLE)
    response.flags |= FIN;
  send_client (sport, flow, &response);
  if (!flow->is_kept && flow->state == FLOW_IDLE)
    end_flow (sport);
}

static void
tick_clients (double now)
{
  for (uint32_t i = FIRST_PORT; i < next_port; i++)
    {
      client_flow_t *flow = client_flows[i];
      if (!flow || flow->state > FLOW_WAITING)
        continue;
      double age = now - flow->opened_at;
      bool is_opening = flow->state == FLOW_OPENING;
      if (is_opening && age >= 1400)
        {
          results.timed_out++;
          record ("GIVEN UP request %llu, no flow",
                  (unsigned long long)flow->request);
          end_flow ((uint16_t)i);
        }
      else if (is_opening && flow->copies < (age >= 600 ? 2 : age >= 200))
        {
          flow->copies++;
          send_syn ((uint16_t)i, flow);
        }
      else if (!is_opening && now >= flow->deadline)
        {
          results.timed_out++;
          record ("GIVEN UP request %llu, no answer",
                  (unsigned long long)flow->request);
          end_flow ((uint16_t)i);
        }
      else if (!is_opening && flow->resend_at && now >= flow->resend_at)
        {
          flow->interval
              = flow->interval * 2 > 1600 ? 1600 : flow->interval * 2;
          flow->resend_at = now + flow->interval;
          send_client ((uint16_t)i, flow, &flow->last);
        }
    }
}

uint16_t
flow_open (const route_t *route)
{
  pthread_mutex_lock (&lock);
  uint16_t sport = open_flow (route, true, -1, now_ms ());
  pthread_mutex_unlock (&lock);
  return sport;
}

uint16_t
flow_open_at (const route_t *route, uint32_t instance)
{
  pthread_mutex_lock (&lock);
  uint16_t sport = open_flow (route, true, (int)instance, now_ms ());
  pthread_mutex_unlock (&lock);
  return sport;
}

void
flow_request (uint16_t sport)
{
  pthread_mutex_lock (&lock);
  client_flow_t *flow = client_flows[sport];
  double now = now_ms ();
  flow->request = next_request++;
  flow->deadline = now + flow->route->timeout_ms;
  results.sent++;
  record ("SENT request %llu, route %s, flow of port %u, instance %u",
          (unsigned long long)flow->request, flow->route->name, sport,
          choose_instance (sport) + 1);
  send_request (sport, flow, now);
  pthread_mutex_unlock (&lock);
}

endpoint_t *
flow_endpoint (uint16_t sport)
{
  endpoint_t *found = NULL;
  pthread_mutex_lock (&lock);
  for (uint32_t i = 0; i < endpoint_count; i++)
    if (server_flows[i][sport] && server_flows[i][sport]->state == 2)
      found = &endpoints[i];
  pthread_mutex_unlock (&lock);
  return found;
}

uint32_t
flow_instance (uint16_t sport)
{
  pthread_mutex_lock (&lock);
  const client_flow_t *flow = client_flows[sport];
  uint32_t index = flow && flow->pinned >= 0 ? (uint32_t)flow->pinned
                                             : choose_instance (sport);
  pthread_mutex_unlock (&lock);
  return index;
}

flow_state_t
flow_state (uint16_t sport)
{
  pthread_mutex_lock (&lock);
  flow_state_t state = client_flows[sport]->state;
  pthread_mutex_unlock (&lock);
  return state;
}

void
traffic_set (double per_second)
{
  pthread_mutex_lock (&lock);
  rate = per_second;
  pthread_mutex_unlock (&lock);
}

results_t
results_get (void)
{
  pthread_mutex_lock (&lock);
  results_t copy = results;
  copy.run_twice = 0;
  for (uint32_t i = 0; i < REQUESTS_MAX; i++)
    copy.run_twice += runs[i] > 1;
  pthread_mutex_unlock (&lock);
  return copy;
}

void
results_clear (void)
{
  pthread_mutex_lock (&lock);
  results = (results_t){ 0 };
  pthread_mutex_unlock (&lock);
}

/* ---- loop of clients and endpoints ---- */

static void *
run_world (void *data)
{
  (void)data;
  double ticked_at = 0;
  double owed = 0;
  uint32_t turn = 0;
  for (;;)
    {
      struct pollfd polled[ENDPOINTS_MAX + 1];
      pthread_mutex_lock (&lock);
      uint32_t count = endpoint_count;
      pthread_mutex_unlock (&lock);
      for (uint32_t i = 0; i < count; i++)
        polled[i] = (struct pollfd){ .fd = udp_fds[i], .events = POLLIN };
      polled[count] = (struct pollfd){ .fd = client_fd, .events = POLLIN };
      poll (polled, count + 1, 5);
      double now = now_ms ();
      pthread_mutex_lock (&lock);
      for (uint32_t i = 0; i <= count; i++)
        {
          uint8_t bytes[2048];
          ssize_t length;
          if (!(polled[i].revents & POLLIN))
            continue;
          while (
              (length = recv (polled[i].fd, bytes, sizeof bytes, MSG_DONTWAIT))
              >= 0)
            if (i < count)
              receive_at_endpoint (i, bytes, (size_t)length, now);
            else
              receive_at_client (bytes, (size_t)length, now);
        }
      if (now - ticked_at >= 5)
        {
          owed += ticked_at ? rate * (now - ticked_at) / 1e3 : 0;
          ticked_at = now;
          for (; owed >= 1 && route_count; owed--)
            open_flow (&routes[turn++ % route_count], false, -1, now);
          for (uint32_t i = 0; i < count; i++)
            tick_endpoint (i, now);
          tick_clients (now);
        }
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

void
world_start (void)
{
  detach (run_world, NULL);
  for (uint32_t i = 0; i < instance_count; i++)
    detach (check_instance, (void *)(uintptr_t)i);
}

static void
stop (int number)
{
  instances_stop ();
  _exit (number == SIGALRM ? 2 : 128 + number);
}

/* Chooses addresses and ports that are free. */
static void
choose_addresses (void)
{
  for (int tries = 0; tries < 200; tries++)
    {
      net = 127u << 24 | (10 + random32 () % 200) << 16;
      port = (uint16_t)(12000 + random32 () % 10000);
      client_fd = bound (SOCK_DGRAM, net | 1u << 8 | 1, port);
      bool is_free = client_fd >= 0;
      for (uint32_t i = 0; i < INSTANCES_MAX; i++)
        {
          store_fds[i]
              = bound (SOCK_STREAM, net | 3u << 8 | (i + 1), port + 4);
          is_free = is_free && store_fds[i] >= 0;
        }
      for (uint32_t i = 0; is_free && i < INSTANCES_MAX; i++)
        for (int j = 0; is_free && j < 11; j++)
          {
            int tcp
                = bound (SOCK_STREAM, instance_ip (i), (uint16_t)(port + j));
            int udp
                = bound (SOCK_DGRAM, instance_ip (i), (uint16_t)(port + j));
            is_free = tcp >= 0 && udp >= 0;
            if (tcp >= 0)
              close (tcp);
            if (udp >= 0)
              close (udp);
          }
      if (is_free)
        return;
      if (client_fd >= 0)
        close (client_fd);
      for (uint32_t i = 0; i < INSTANCES_MAX; i++)
        if (store_fds[i] >= 0)
          close (store_fds[i]);
    }
  die ("no free addresses");
}

int play (int argc, char **argv);

/* usage: CASE PROGRAM RECORD FOLDER [ARGUMENT...] */
int
main (int argc, char **argv)
{
  if (argc < 4)
    return 2;
  clock_gettime (CLOCK_MONOTONIC, &origin);
  program = argv[1];
  record_file = fopen (argv[2], "ae");
  folder = argv[3];
  if (!record_file || access (program, X_OK) != 0)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, stop);
  signal (SIGINT, stop);
  signal (SIGALRM, stop);
  alarm (115);
  choose_addresses ();
  fcntl (client_fd, F_SETFL, O_NONBLOCK);
  int status = play (argc - 4, argv + 4);
  instances_stop ();
  return status;
}
