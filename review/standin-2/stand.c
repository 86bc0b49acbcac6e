#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define STORE_PORT 28169
#define DATAGRAM_PORT 28172
#define READY_PORT 28167
#define CONTROL_PORT 28166
#define FREE_PORT 27720
#define ENDPOINT_PORT 28080
#define CLIENT_IP "127.77.3.1"
#define CLIENT_PORT_FIRST 20000
#define OBJECTS_MAX 1024
#define EVENTS_MAX 20000
#define FLOWS_MAX 40000
#define PAGE_ITEMS 500
#define HEAD 32
#define DATA_MAX 1200
#define RST 2
#define SYN 4
#define FIN 16
#define ACK 32
#define SLOTS 2
#define QUEUE 8
#define EXECUTION_LIMIT_S 115

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct timespec started;
static FILE *record;
static char folder[] = "/tmp/review-2-XXXXXX";
static char repository[1024];
static int instance_count;
static int relay_count;
static instance_t instances[STAND_INSTANCES_MAX];

/* ------------------------------------------------------------- common */

void
stand_lock (void)
{
  pthread_mutex_lock (&mutex);
}

void
stand_unlock (void)
{
  pthread_mutex_unlock (&mutex);
}

int64_t
stand_now (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (now.tv_sec - started.tv_sec) * 1000
         + (now.tv_nsec - started.tv_nsec) / 1000000;
}

int64_t
stand_unix_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
stand_sleep_until (int64_t ms)
{
  while (stand_now () < ms)
    usleep (1000);
}

void
stand_record (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  flockfile (record);
  fprintf (record, "%9.3f  ", (double)stand_now () / 1000);
  vfprintf (record, format, arguments);
  fputc ('\n', record);
  fflush (record);
  funlockfile (record);
  va_end (arguments);
}

bool
stand_has_trouble (void)
{
  const char *text = getenv ("TROUBLE");
  return !text || strcmp (text, "0") != 0;
}

static void
end_processes (void)
{
  for (int i = 0; i < STAND_INSTANCES_MAX; i++)
    if (instances[i].pid > 0)
      {
        kill (instances[i].pid, SIGKILL);
        kill (instances[i].pid, SIGCONT);
        waitpid (instances[i].pid, NULL, 0);
      }
}

void
stand_finish (int status)
{
  char command[1100];
  char keep[1024];
  end_processes ();
  snprintf (keep, sizeof keep, "%s", getenv ("KEEP") ? getenv ("KEEP") : "");
  /* The folder holds only files that this program has made. */
  for (int i = 0; i < STAND_INSTANCES_MAX && !keep[0]; i++)
    {
      snprintf (command, sizeof command, "%s/%d.settings", folder, i);
      unlink (command);
      snprintf (command, sizeof command, "%s/%d.log", folder, i);
      unlink (command);
    }
  if (!keep[0])
    rmdir (folder);
  stand_record ("result: %s", status == 0   ? "the rule held"
                              : status == 1 ? "THE RULE WAS BROKEN"
                                            : "the case could not run");
  fclose (record);
  _exit (status);
}

void
stand_give_up (const char *cause)
{
  stand_record ("cannot run: %s", cause);
  stand_finish (2);
}

static void
run_out (int signal_number)
{
  (void)signal_number;
  end_processes ();
  _exit (2);
}

void
stand_init (const char *directory)
{
  char path[2048];
  clock_gettime (CLOCK_MONOTONIC, &started);
  snprintf (path, sizeof path, "%s/record.txt", directory);
  record = fopen (path, "w");
  if (!record || !getcwd (repository, sizeof repository) || !mkdtemp (folder))
    {
      fprintf (stderr, "cannot write %s\n", path);
      _exit (2);
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, run_out);
  signal (SIGTERM, run_out);
  signal (SIGINT, run_out);
  alarm (EXECUTION_LIMIT_S);
  stand_record ("%s", stand_has_trouble () ? "with the disruption"
                                           : "without the disruption");
}

static struct sockaddr_in
make_address (const char *ip, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static int
open_listener (const char *ip, int port)
{
  int yes = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = make_address (ip, port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) < 0
      || listen (fd, 128) < 0)
    stand_give_up ("a port is in use");
  return fd;
}

static int
open_datagram (const char *ip, int port)
{
  int size = 1 << 20;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = make_address (ip, port);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) < 0)
    stand_give_up ("a port is in use");
  return fd;
}

static void
start_thread (void *(*run) (void *), void *data)
{
  pthread_t thread;
  if (pthread_create (&thread, NULL, run, data) != 0)
    stand_give_up ("no thread");
  pthread_detach (thread);
}

/* -------------------------------------------------------------- store */

typedef struct
{
  char kind[STAND_NAME];
  char name[STAND_NAME];
  char *spec;
  uint64_t revision;
  bool exists;
} object_t;

typedef struct
{
  char kind[STAND_NAME];
  char *text;
  uint64_t revision;
} event_t;

typedef struct
{
  int fd;
  int instance;
} connection_t;

static object_t objects[OBJECTS_MAX];
static int object_count;
static event_t events[EVENTS_MAX];
static int event_count;
static uint64_t revision = 500;
static store_mode_t modes[STAND_INSTANCES_MAX];
static int calls[STAND_INSTANCES_MAX];
static char store_ips[STAND_INSTANCES_MAX][STAND_NAME];

const char *
stand_store_ip (int index)
{
  return store_ips[index];
}

/* Objects are kept in the order of their names. */
static object_t *
find_object (const char *kind, const char *name, bool creates)
{
  int i = 0;
  for (; i < object_count; i++)
    {
      int order = strcmp (objects[i].kind, kind);
      if (order == 0)
        order = strcmp (objects[i].name, name);
      if (order == 0)
        return &objects[i];
      if (order > 0)
        break;
    }
  if (!creates || object_count == OBJECTS_MAX)
    return NULL;
  memmove (&objects[i + 1], &objects[i],
           (size_t)(object_count - i) * sizeof objects[0]);
  object_count++;
  memset (&objects[i], 0, sizeof objects[i]);
  snprintf (objects[i].kind, STAND_NAME, "%s", kind);
  snprintf (objects[i].name, STAND_NAME, "%s", name);
  return &objects[i];
}

static char *
describe_object (const object_t *object)
{
  char *text = NULL;
  if (asprintf (&text,
                "{\"meta\":{\"name\":\"%s\",\"mod_revision\":%llu,"
                "\"created_at\":9,\"finalizers\":[],\"deletion_pending\":"
                "false},\"spec\":%s,\"status\":null}",
                object->name, (unsigned long long)object->revision,
                object->spec)
      < 0)
    abort ();
  return text;
}

static void
add_event (const object_t *object, bool is_deleted)
{
  if (event_count == EVENTS_MAX)
    return;
  event_t *event = &events[event_count++];
  char *text = describe_object (object);
  snprintf (event->kind, STAND_NAME, "%s", object->kind);
  event->revision = revision;
  if (asprintf (&event->text, "{\"deleted\":%s,\"object\":%s}",
                is_deleted ? "true" : "false", text)
      < 0)
    abort ();
  free (text);
  pthread_cond_broadcast (&changed);
}

static bool
write_object (const char *kind, const char *name, const char *spec)
{
  object_t *object = find_object (kind, name, true);
  if (!object)
    return false;
  if (object->exists && strcmp (object->spec, spec) == 0)
    return true;
  free (object->spec);
  object->spec = strdup (spec);
  object->exists = true;
  object->revision = ++revision;
  add_event (object, false);
  return true;
}

int64_t
store_put (const char *kind, const char *name, const char *spec)
{
  stand_lock ();
  write_object (kind, name, spec);
  stand_unlock ();
  return stand_now ();
}

int64_t
store_delete (const char *kind, const char *name)
{
  stand_lock ();
  object_t *object = find_object (kind, name, false);
  if (object && object->exists)
    {
      object->exists = false;
      revision++;
      add_event (object, true);
    }
  stand_unlock ();
  return stand_now ();
}

uint64_t
store_revision (void)
{
  stand_lock ();
  uint64_t value = revision;
  stand_unlock ();
  return value;
}

void
store_set_mode (int instance, store_mode_t mode)
{
  stand_lock ();
  modes[instance] = mode;
  pthread_cond_broadcast (&changed);
  stand_unlock ();
}

int
store_calls (int instance)
{
  return calls[instance];
}

static void
send_all (int fd, const char *text, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, text, length, MSG_NOSIGNAL);
      if (sent <= 0)
        return;
      text += sent;
      length -= (size_t)sent;
    }
}

static void
answer (int fd, int status, const char *body)
{
  char head[256];
  int length = snprintf (head, sizeof head,
                         "HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                         "Content-Length: %zu\r\n\r\n",
                         status, strlen (body));
  send_all (fd, head, (size_t)length);
  send_all (fd, body, strlen (body));
}

static void
append (char **text, const char *more)
{
  size_t old = *text ? strlen (*text) : 0;
  *text = realloc (*text, old + strlen (more) + 1);
  strcpy (*text + old, more);
}

static long long
get_argument (const char *query, const char *name, long long default_value)
{
  char pattern[STAND_NAME];
  snprintf (pattern, sizeof pattern, "%s=", name);
  const char *found = query ? strstr (query, pattern) : NULL;
  return found ? atoll (found + strlen (pattern)) : default_value;
}

static void
answer_list (int fd, const char *kind, const char *query)
{
  char after[STAND_NAME] = "";
  const char *found = query ? strstr (query, "after=") : NULL;
  if (found)
    snprintf (after, sizeof after, "%.*s", (int)strcspn (found + 6, "&"),
              found + 6);
  char *body = NULL;
  bool has_more = false;
  int count = 0;
  append (&body, "{\"items\":[");
  stand_lock ();
  for (int i = 0; i < object_count; i++)
    {
      if (!objects[i].exists || strcmp (objects[i].kind, kind) != 0
          || strcmp (objects[i].name, after) <= 0)
        continue;
      has_more = count == PAGE_ITEMS;
      if (has_more)
        break;
      char *text = describe_object (&objects[i]);
      if (count++ > 0)
        append (&body, ",");
      append (&body, text);
      free (text);
    }
  char tail[128];
  snprintf (tail, sizeof tail, "],\"has_more\":%s,\"at_revision\":%llu}",
            has_more ? "true" : "false", (unsigned long long)revision);
  stand_unlock ();
  append (&body, tail);
  answer (fd, 200, body);
  free (body);
}

/* Waits for changes of a kind.  Returns false if the call is turned away in
   the meantime. */
static bool
answer_watch (const connection_t *connection, const char *kind,
              const char *query)
{
  uint64_t since = (uint64_t)get_argument (query, "watch", 0);
  long long wait_ms = get_argument (query, "wait_ms", 0);
  struct timespec end;
  clock_gettime (CLOCK_REALTIME, &end);
  end.tv_sec += wait_ms / 1000;
  end.tv_nsec += wait_ms % 1000 * 1000000;
  if (end.tv_nsec >= 1000000000)
    {
      end.tv_sec++;
      end.tv_nsec -= 1000000000;
    }
  stand_lock ();
  for (;;)
    {
      bool has_event = false;
      for (int i = event_count; i-- > 0 && events[i].revision > since;)
        has_event |= strcmp (events[i].kind, kind) == 0;
      if (has_event || modes[connection->instance] != STORE_SERVES
          || pthread_cond_timedwait (&changed, &mutex, &end) != 0)
        break;
    }
  if (modes[connection->instance] != STORE_SERVES)
    {
      stand_unlock ();
      return false;
    }
  char *body = NULL;
  int count = 0;
  append (&body, "{\"events\":[");
  for (int i = 0; i < event_count; i++)
    {
      if (events[i].revision <= since || strcmp (events[i].kind, kind) != 0)
        continue;
      if (count++ > 0)
        append (&body, ",");
      append (&body, events[i].text);
    }
  char tail[128];
  snprintf (tail, sizeof tail, "],\"at_revision\":%llu}",
            (unsigned long long)revision);
  stand_unlock ();
  append (&body, tail);
  answer (connection->fd, 200, body);
  free (body);
  return true;
}

/* Copies the value of a field, an object in braces, from a request. */
static char *
copy_value (const char *body, const char *field)
{
  const char *at = strstr (body, field);
  at = at ? strchr (at, '{') : NULL;
  if (!at)
    return strdup ("{}");
  int depth = 0;
  const char *end = at;
  do
    {
      depth += *end == '{';
      depth -= *end == '}';
      end++;
    }
  while (*end && depth > 0);
  return strndup (at, (size_t)(end - at));
}

static void
answer_write (int fd, const char *kind, const char *body)
{
  char name[STAND_NAME] = "";
  const char *found = strstr (body, "\"name\":");
  found = found ? strchr (found + 7, '"') : NULL;
  if (found)
    snprintf (name, sizeof name, "%.*s", (int)strcspn (found + 1, "\""),
              found + 1);
  char *spec = copy_value (body, "\"spec\":");
  stand_lock ();
  object_t *object = find_object (kind, name, false);
  bool is_conflict = object && object->exists;
  if (!is_conflict)
    write_object (kind, name, spec);
  object = find_object (kind, name, false);
  char *text = describe_object (object);
  stand_unlock ();
  answer (fd, is_conflict ? 409 : 201, text);
  free (text);
  free (spec);
}

static bool
serve_call (const connection_t *connection, char *request, const char *body)
{
  char method[16] = "";
  char target[1024] = "";
  sscanf (request, "%15s %1023s", method, target);
  char *query = strchr (target, '?');
  if (query)
    *query++ = '\0';
  calls[connection->instance]++;
  if (modes[connection->instance] == STORE_SILENT)
    {
      /* Nothing is returned on this connection. */
      char byte;
      while (recv (connection->fd, &byte, 1, 0) > 0)
        continue;
      return false;
    }
  if (modes[connection->instance] == STORE_BUSY)
    {
      answer (connection->fd, 503, "{}");
      return true;
    }
  char *kind = target + strlen ("/objects/");
  if (strncmp (target, "/objects/", strlen ("/objects/")) != 0)
    {
      answer (connection->fd, 404, "{}");
      return true;
    }
  char *name = strchr (kind, '/');
  if (name)
    *name++ = '\0';
  if (strcmp (method, "POST") == 0)
    answer_write (connection->fd, kind, body);
  else if (strcmp (method, "GET") != 0)
    answer (connection->fd, 404, "{}");
  else if (name)
    {
      stand_lock ();
      object_t *object = find_object (kind, name, false);
      char *text = object && object->exists ? describe_object (object) : NULL;
      stand_unlock ();
      answer (connection->fd, text ? 200 : 404, text ? text : "{}");
      free (text);
    }
  else if (query && strstr (query, "watch="))
    {
      if (!answer_watch (connection, kind, query))
        answer (connection->fd, 503, "{}");
    }
  else
    answer_list (connection->fd, kind, query);
  return true;
}

static void *
run_connection (void *data)
{
  connection_t *connection = data;
  static const size_t size = 1 << 16;
  char *buffer = malloc (size + 1);
  size_t length = 0;
  for (;;)
    {
      buffer[length] = '\0';
      char *end = strstr (buffer, "\r\n\r\n");
      size_t body_length = 0;
      if (end)
        {
          const char *field = strcasestr (buffer, "content-length:");
          if (field && field < end)
            body_length = (size_t)atoll (field + strlen ("content-length:"));
        }
      size_t total = end ? (size_t)(end + 4 - buffer) + body_length : 0;
      if (end && length >= total)
        {
          char *body = strndup (end + 4, body_length);
          char *request = strndup (buffer, (size_t)(end - buffer));
          bool goes_on = serve_call (connection, request, body);
          free (body);
          free (request);
          memmove (buffer, buffer + total, length - total);
          length -= total;
          if (!goes_on)
            break;
          continue;
        }
      ssize_t received
          = recv (connection->fd, buffer + length, size - length, 0);
      if (received <= 0)
        break;
      length += (size_t)received;
    }
  close (connection->fd);
  free (buffer);
  free (connection);
  return NULL;
}

static void *
run_store (void *data)
{
  connection_t *listener = data;
  for (;;)
    {
      int fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      connection_t *connection = malloc (sizeof *connection);
      *connection = (connection_t){ fd, listener->instance };
      start_thread (run_connection, connection);
    }
  return NULL;
}

void
store_start (int count)
{
  for (int i = 0; i < count; i++)
    {
      snprintf (store_ips[i], STAND_NAME, "127.77.0.%d", 10 + i);
      connection_t *listener = malloc (sizeof *listener);
      *listener
          = (connection_t){ open_listener (store_ips[i], STORE_PORT), i };
      start_thread (run_store, listener);
    }
}

/* ---------------------------------------------------------- balancers */

instance_t *
instance_get (int index)
{
  return &instances[index];
}

void
instances_prepare (int count, int relays)
{
  instance_count = count;
  relay_count = relays;
  for (int i = 0; i < count; i++)
    {
      instance_t *instance = &instances[i];
      instance->index = i;
      snprintf (instance->name, STAND_NAME, "edge-%d", i + 1);
      snprintf (instance->zone, STAND_NAME, "dar-kariakoo");
      snprintf (instance->ip, STAND_NAME, "127.77.1.%d", i + 1);
      memcpy (instance->store_ip, store_ips[i], STAND_NAME);
    }
}

static const char *zone_settings = "zone-evacuation=no\nwarmup-overshoot=\n"
                                   "warmup-slack=\n";

void
instances_set_zone_bounds (void)
{
  zone_settings
      = "zone-evacuation=yes\nwarmup-overshoot=1.5\nwarmup-slack=5\n";
}

/* The file that the platform makes of platform/settings.template. */
static void
write_settings (const instance_t *instance, const char *path, bool is_first)
{
  FILE *file = fopen (path, "w");
  fprintf (file, "[serve]\nname=%s\nzone=%s\nplatform=%s:%d\n", instance->name,
           instance->zone, instance->store_ip, STORE_PORT);
  fprintf (file,
           "fabric-listen=%s:%d\nready-listen=%s:%d\nmetrics-listen=%s:9464\n"
           "relay-listen=%s:%d\nrelays=",
           instance->ip, DATAGRAM_PORT, instance->ip, READY_PORT, instance->ip,
           instance->ip, CONTROL_PORT);
  for (int i = 0; i < relay_count; i++)
    fprintf (file, "%s%s:%d", i ? "," : "", instances[i].ip, CONTROL_PORT);
  fprintf (file,
           "\nfirst-start=%s\ngroup-view=yes\nreports-listen=%s:%d\n"
           "stop-forward-ms=4500\nprobe-servers=yes\n%s"
           /* All machines share one loopback address of operators. */
           "admin-listen=off\n",
           is_first ? "yes" : "no", instance->ip, FREE_PORT, zone_settings);
  fclose (file);
}

/* Splits the command of deploy/system.toml at spaces. */
static int
read_command (char *text, size_t size, char **words, int words_max)
{
  FILE *file = fopen ("deploy/system.toml", "r");
  bool is_found = false;
  while (file && !is_found && fgets (text, (int)size, file))
    is_found = strncmp (text, "run = \"", 7) == 0;
  if (file)
    fclose (file);
  if (!is_found)
    stand_give_up ("no command in deploy/system.toml");
  text[strcspn (text + 7, "\"") + 7] = '\0';
  int count = 0;
  for (char *word = strtok (text + 7, " "); word && count < words_max - 1;
       word = strtok (NULL, " "))
    words[count++] = word;
  words[count] = NULL;
  return count;
}

void
instance_start (int index)
{
  instance_t *instance = &instances[index];
  static bool has_started[STAND_INSTANCES_MAX];
  static char text[1024];
  static char settings[256];
  static char log_path[256];
  char *words[32];
  read_command (text, sizeof text, words, 32);
  if (access (words[0], X_OK) != 0)
    stand_give_up ("the program is not built");
  snprintf (settings, sizeof settings, "%s/%d.settings", folder, index);
  snprintf (log_path, sizeof log_path, "%s/%d.log", folder, index);
  write_settings (instance, settings, !has_started[index]);
  has_started[index] = true;
  static char variable[300];
  static char path_variable[4096];
  snprintf (variable, sizeof variable, "GOOSEBERRYDRUM_SETTINGS=%s", settings);
  snprintf (path_variable, sizeof path_variable, "PATH=%s",
            getenv ("PATH") ? getenv ("PATH") : "/usr/bin:/bin");
  char *environment[] = { variable, path_variable, NULL };
  pid_t pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int fd = open (log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2 (fd, 1);
      dup2 (fd, 2);
      signal (SIGPIPE, SIG_DFL);
      execve (words[0], words, environment);
      _exit (127);
    }
  instance->pid = pid;
  stand_record ("%s started", instance->name);
}

void
instance_signal (int index, int number)
{
  kill (instances[index].pid, number);
  stand_record ("%s gets signal %d", instances[index].name, number);
}

bool
instance_has_ended (int index)
{
  int status = 0;
  instance_t *instance = &instances[index];
  if (instance->pid <= 0 || waitpid (instance->pid, &status, WNOHANG) <= 0)
    return false;
  instance->pid = 0;
  stand_record ("%s has ended, status %d, signal %d", instance->name,
                WIFEXITED (status) ? WEXITSTATUS (status) : -1,
                WIFSIGNALED (status) ? WTERMSIG (status) : 0);
  return true;
}

bool
instance_is_ready (int index)
{
  static const char request[]
      = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  char response[512] = "";
  struct timeval timeout = { .tv_usec = 400000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = make_address (instances[index].ip, READY_PORT);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  bool is_ready = false;
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    {
      send (fd, request, strlen (request), MSG_NOSIGNAL);
      ssize_t length = recv (fd, response, sizeof response - 1, 0);
      is_ready = length > 12 && strncmp (response + 9, "200", 3) == 0;
    }
  close (fd);
  return is_ready;
}

void
instances_wait_ready (int count, int timeout_ms)
{
  int64_t end = stand_now () + timeout_ms;
  for (int i = 0; i < count; i++)
    while (!instance_is_ready (i))
      {
        if (stand_now () > end)
          stand_give_up ("an instance does not become ready");
        usleep (20000);
      }
  stand_record ("%d instances are ready", count);
}

void
instance_record_log (int index, const char *text, int lines_max)
{
  char path[256];
  char line[4096];
  snprintf (path, sizeof path, "%s/%d.log", folder, index);
  FILE *file = fopen (path, "r");
  while (file && lines_max > 0 && fgets (line, sizeof line, file))
    if (strstr (line, text))
      {
        line[strcspn (line, "\n")] = '\0';
        stand_record ("log of %s: %.600s", instances[index].name, line);
        lines_max--;
      }
  if (file)
    fclose (file);
}

static void *
run_router (void *data)
{
  int count = (int)(intptr_t)data;
  for (;;)
    {
      for (int i = 0; i < count; i++)
        {
          bool is_ready = instance_is_ready (i);
          stand_lock ();
          instances[i].misses = is_ready ? 0 : instances[i].misses + 1;
          bool was_in = instances[i].in_rotation;
          if (is_ready)
            instances[i].in_rotation = true;
          else if (instances[i].misses >= 2)
            instances[i].in_rotation = false;
          bool is_in = instances[i].in_rotation;
          stand_unlock ();
          if (was_in != is_in)
            stand_record ("router: %s is %s rotation", instances[i].name,
                          is_in ? "in" : "out of");
        }
      usleep (500000);
    }
  return NULL;
}

void
router_start (int count)
{
  start_thread (run_router, (void *)(intptr_t)count);
}

/* ------------------------------------------------------------ packets */

typedef struct
{
  uint32_t sum, echo, seq, ack;
  uint16_t length;
  uint8_t flags;
  uint16_t dport, sport;
  uint32_t src, dst;
  const uint8_t *data;
} packet_t;

static uint32_t
get32 (const uint8_t *at)
{
  return (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 | (uint32_t)at[2] << 8
         | at[3];
}

static uint16_t
get16 (const uint8_t *at)
{
  return (uint16_t)(at[0] << 8 | at[1]);
}

static void
put32 (uint8_t *at, uint32_t value)
{
  at[0] = (uint8_t)(value >> 24);
  at[1] = (uint8_t)(value >> 16);
  at[2] = (uint8_t)(value >> 8);
  at[3] = (uint8_t)value;
}

static void
put16 (uint8_t *at, uint16_t value)
{
  at[0] = (uint8_t)(value >> 8);
  at[1] = (uint8_t)value;
}

/* A keyed sum over all fields but echo, pad and BOUNCED. */
static uint32_t
compute_sum (const uint8_t *bytes, size_t length)
{
  uint32_t sum = 0x9e3779b9;
  for (size_t i = 4; i < length; i++)
    {
      uint8_t byte = bytes[i];
      if ((i >= 6 && i < 10) || i == 19)
        continue;
      if (i == 18)
        byte &= 0xfe;
      sum = (sum ^ byte) * 16777619u;
    }
  return sum ? sum : 1;
}

static size_t
build_packet (uint8_t *bytes, const packet_t *packet)
{
  memset (bytes, 0, HEAD);
  put16 (bytes + 4, packet->length);
  put32 (bytes + 6, packet->echo);
  put32 (bytes + 10, packet->seq);
  put32 (bytes + 14, packet->ack);
  bytes[18] = packet->flags;
  put16 (bytes + 20, packet->dport);
  put32 (bytes + 22, packet->src);
  put32 (bytes + 26, packet->dst);
  put16 (bytes + 30, packet->sport);
  if (packet->length)
    memcpy (bytes + HEAD, packet->data, packet->length);
  put32 (bytes, compute_sum (bytes, HEAD + (size_t)packet->length));
  return HEAD + (size_t)packet->length;
}

static bool
parse_packet (const uint8_t *bytes, size_t length, packet_t *packet)
{
  if (length < HEAD)
    return false;
  packet->sum = get32 (bytes);
  packet->length = get16 (bytes + 4);
  packet->echo = get32 (bytes + 6);
  packet->seq = get32 (bytes + 10);
  packet->ack = get32 (bytes + 14);
  packet->flags = bytes[18];
  packet->dport = get16 (bytes + 20);
  packet->src = get32 (bytes + 22);
  packet->dst = get32 (bytes + 26);
  packet->sport = get16 (bytes + 30);
  packet->data = bytes + HEAD;
  return HEAD + (size_t)packet->length == length;
}

static uint32_t
random32 (void)
{
  static uint64_t state;
  if (!state)
    state = (uint64_t)stand_unix_ms () * 2654435761u + (uint64_t)getpid ();
  state = state * 6364136223846793005u + 1442695040888963407u;
  return (uint32_t)(state >> 32);
}

/* ---------------------------------------------------------- endpoints */

typedef struct
{
  bool is_used;
  bool is_open;
  uint32_t src;
  uint16_t sport;
  uint32_t dst;
  uint16_t dport;
  uint32_t isn, snd_next, snd_una, rcv_next, echo;
  bool is_waiting; /* a request is queued or running */
  int64_t done_at; /* 0: queued */
  int64_t queued_at;
  uint64_t id;
  int unacked_packets;
  uint8_t answer[2400];
  size_t answer_length;
  uint32_t answer_seq;
  int64_t retry_at;
  int retry_ms;
  int retries;
  bool has_fin;
} held_t;

typedef struct
{
  int fd;
  int listener;
  held_t *flows;
  int flow_count;
} endpoint_state_t;

#define HELD_MAX 2000

static void
add_receipt (endpoint_t *endpoint, bool is_opening, uint64_t id, uint16_t port,
             const struct sockaddr_in *from)
{
  stand_lock ();
  if (endpoint->receipt_count == endpoint->receipt_capacity)
    {
      endpoint->receipt_capacity = endpoint->receipt_capacity * 2 + 256;
      endpoint->receipts
          = realloc (endpoint->receipts,
                     endpoint->receipt_capacity * sizeof *endpoint->receipts);
    }
  receipt_t *receipt = &endpoint->receipts[endpoint->receipt_count++];
  *receipt = (receipt_t){ .at_ms = stand_now (),
                          .is_opening = is_opening,
                          .id = id,
                          .client_port = port };
  if (from)
    inet_ntop (AF_INET, &from->sin_addr, receipt->via, sizeof receipt->via);
  stand_unlock ();
}

static void
send_to_client (const endpoint_state_t *state, const held_t *flow,
                uint8_t flags, uint32_t seq, uint32_t ack, const uint8_t *data,
                size_t length)
{
  uint8_t bytes[HEAD + DATA_MAX];
  packet_t packet = { .echo = flow->echo,
                      .seq = seq,
                      .ack = ack,
                      .length = (uint16_t)length,
                      .flags = flags,
                      .dport = flow->sport,
                      .sport = flow->dport,
                      .src = flow->dst,
                      .dst = flow->src,
                      .data = data };
  size_t total = build_packet (bytes, &packet);
  struct sockaddr_in to = { .sin_family = AF_INET };
  to.sin_addr.s_addr = htonl (flow->src);
  to.sin_port = htons (DATAGRAM_PORT);
  sendto (state->fd, bytes, total, 0, (struct sockaddr *)&to, sizeof to);
}

static held_t *
find_held (endpoint_state_t *state, const packet_t *packet)
{
  for (int i = 0; i < state->flow_count; i++)
    {
      held_t *flow = &state->flows[i];
      if (flow->is_used && flow->src == packet->src
          && flow->sport == packet->sport && flow->dst == packet->dst
          && flow->dport == packet->dport)
        return flow;
    }
  return NULL;
}

static held_t *
add_held (endpoint_state_t *state)
{
  for (int i = 0; i < state->flow_count; i++)
    if (!state->flows[i].is_used)
      return &state->flows[i];
  return state->flow_count < HELD_MAX ? &state->flows[state->flow_count++]
                                      : NULL;
}

static void
send_answer (const endpoint_t *endpoint, endpoint_state_t *state, held_t *flow)
{
  size_t sent = 0;
  while (sent < flow->answer_length)
    {
      size_t length = flow->answer_length - sent;
      length = length > DATA_MAX ? DATA_MAX : length;
      bool is_last = sent + length == flow->answer_length;
      uint8_t flags = ACK;
      if (is_last && (endpoint->is_draining || flow->has_fin))
        flags |= FIN;
      send_to_client (state, flow, flags, flow->answer_seq + (uint32_t)sent,
                      flow->rcv_next, flow->answer + sent, length);
      sent += length;
    }
  flow->unacked_packets = 0;
}

/* A response: its length, the request's identifier, the endpoint's, bytes. */
static void
complete_request (const endpoint_t *endpoint, endpoint_state_t *state,
                  held_t *flow, int64_t now)
{
  flow->answer_length = 1800;
  memset (flow->answer, (int)(flow->id & 0x7f), flow->answer_length);
  put32 (flow->answer, (uint32_t)flow->answer_length);
  put32 (flow->answer + 4, (uint32_t)(flow->id >> 32));
  put32 (flow->answer + 8, (uint32_t)flow->id);
  put32 (flow->answer + 12, (uint32_t)(endpoint->id >> 32));
  put32 (flow->answer + 16, (uint32_t)endpoint->id);
  flow->answer_seq = flow->snd_next;
  flow->snd_next += (uint32_t)flow->answer_length;
  flow->is_waiting = false;
  flow->retry_ms = 200;
  flow->retries = 0;
  flow->retry_at = now + flow->retry_ms;
  send_answer (endpoint, state, flow);
}

static void
run_queue (endpoint_t *endpoint, endpoint_state_t *state, int64_t now)
{
  int running = 0;
  for (int i = 0; i < state->flow_count; i++)
    {
      held_t *flow = &state->flows[i];
      if (!flow->is_used || !flow->is_waiting || !flow->done_at)
        continue;
      if (now >= flow->done_at)
        complete_request (endpoint, state, flow, now);
      else
        running++;
    }
  while (running < SLOTS)
    {
      held_t *first = NULL;
      for (int i = 0; i < state->flow_count; i++)
        {
          held_t *flow = &state->flows[i];
          if (flow->is_used && flow->is_waiting && !flow->done_at
              && (!first || flow->queued_at < first->queued_at))
            first = flow;
        }
      if (!first)
        break;
      first->done_at = now + endpoint->work_ms;
      add_receipt (endpoint, false, first->id, first->sport, NULL);
      running++;
    }
}

static void
handle_endpoint_packet (endpoint_t *endpoint, endpoint_state_t *state,
                        const packet_t *packet, const struct sockaddr_in *from,
                        int64_t now)
{
  held_t *flow = find_held (state, packet);
  if (packet->flags & SYN)
    {
      add_receipt (endpoint, true, 0, packet->sport, from);
      if (!flow || flow->rcv_next != packet->seq + 1)
        {
          flow = flow ? flow : add_held (state);
          if (!flow)
            return;
          *flow = (held_t){ .is_used = true,
                            .src = packet->src,
                            .sport = packet->sport,
                            .dst = packet->dst,
                            .dport = packet->dport,
                            .isn = random32 (),
                            .rcv_next = packet->seq + 1 };
          flow->snd_next = flow->isn + 1;
          flow->snd_una = flow->isn + 1;
        }
      flow->echo = packet->echo;
      send_to_client (state, flow, SYN | ACK, flow->isn, flow->rcv_next, NULL,
                      0);
      return;
    }
  if (packet->flags & RST)
    {
      if (flow)
        flow->is_used = false;
      return;
    }
  if (!flow || (!flow->is_open && packet->ack != flow->isn + 1))
    {
      held_t unknown = { .src = packet->src,
                         .sport = packet->sport,
                         .dst = packet->dst,
                         .dport = packet->dport,
                         .echo = packet->echo };
      endpoint->resets_sent++;
      send_to_client (state, &unknown, RST, packet->ack, 0, NULL, 0);
      return;
    }
  flow->is_open = true;
  flow->echo = packet->echo;
  if ((int32_t)(packet->ack - flow->snd_una) > 0
      && (int32_t)(packet->ack - flow->snd_next) <= 0)
    flow->snd_una = packet->ack;
  if (packet->length > 0)
    {
      flow->unacked_packets++;
      if (packet->seq == flow->rcv_next && packet->length >= 12)
        {
          flow->rcv_next += packet->length;
          flow->is_waiting = true;
          flow->queued_at = now;
          flow->done_at = 0;
          flow->id = (uint64_t)get32 (packet->data + 4) << 32
                     | get32 (packet->data + 8);
        }
      if (flow->unacked_packets >= 2)
        {
          flow->unacked_packets = 0;
          send_to_client (state, flow, ACK, flow->snd_next, flow->rcv_next,
                          NULL, 0);
        }
    }
  if (packet->flags & FIN)
    {
      send_to_client (state, flow, FIN | ACK, flow->snd_next,
                      packet->seq + packet->length + 1, NULL, 0);
      flow->is_used = false;
    }
}

static void
resend (endpoint_t *endpoint, endpoint_state_t *state, int64_t now)
{
  for (int i = 0; i < state->flow_count; i++)
    {
      held_t *flow = &state->flows[i];
      if (!flow->is_used || flow->is_waiting || flow->answer_length == 0
          || flow->snd_una == flow->snd_next || now < flow->retry_at)
        continue;
      if (++flow->retries > 8)
        {
          flow->is_used = false;
          continue;
        }
      flow->retry_ms = flow->retry_ms * 2 > 1600 ? 1600 : flow->retry_ms * 2;
      flow->retry_at = now + flow->retry_ms;
      send_answer (endpoint, state, flow);
    }
}

/* Answers a health probe; a connection without a request is closed. */
static void
answer_health (const endpoint_t *endpoint, int listener)
{
  int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (fd < 0)
    return;
  char buffer[512];
  struct pollfd polled = { .fd = fd, .events = POLLIN };
  if (poll (&polled, 1, 2) > 0 && recv (fd, buffer, sizeof buffer, 0) > 0)
    answer (fd, endpoint->is_draining ? 503 : 200, "{}");
  close (fd);
}

static void *
run_endpoint (void *data)
{
  endpoint_t *endpoint = data;
  endpoint_state_t *state = endpoint->state;
  while (!endpoint->is_stopping)
    {
      struct pollfd polled[] = { { .fd = state->fd, .events = POLLIN },
                                 { .fd = state->listener, .events = POLLIN } };
      poll (polled, 2, 1);
      if (polled[1].revents)
        answer_health (endpoint, state->listener);
      for (int i = 0; i < 64; i++)
        {
          uint8_t bytes[2048];
          struct sockaddr_in from;
          socklen_t length = sizeof from;
          ssize_t received
              = recvfrom (state->fd, bytes, sizeof bytes, MSG_DONTWAIT,
                          (struct sockaddr *)&from, &length);
          if (received < 8)
            break;
          uint64_t id = (uint64_t)get32 (bytes) << 32 | get32 (bytes + 4);
          packet_t packet;
          if (id != 0 && id != endpoint->id)
            continue;
          if (!parse_packet (bytes + 8, (size_t)received - 8, &packet)
              || packet.sum != compute_sum (bytes + 8, (size_t)received - 8))
            {
              stand_record ("%s got a packet that nobody wrote so",
                            endpoint->name);
              continue;
            }
          handle_endpoint_packet (endpoint, state, &packet, &from,
                                  stand_now ());
        }
      run_queue (endpoint, state, stand_now ());
      resend (endpoint, state, stand_now ());
    }
  close (state->fd);
  close (state->listener);
  endpoint->is_running = false;
  return NULL;
}

const char *
endpoint_spec (const endpoint_t *endpoint, char *text, size_t size)
{
  snprintf (text, size,
            "{\"backend\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"max_concurrency\":%d,\"state\":\"%s\","
            "\"warmup_left_ms\":%d,\"sequence\":1,\"born\":%lld}",
            endpoint->service, endpoint->ip, endpoint->port, endpoint->zone,
            SLOTS, endpoint->is_draining ? "draining" : "ready",
            endpoint->warm_up_left_ms, (long long)endpoint->born_ms);
  return text;
}

void
endpoint_write_entry (endpoint_t *endpoint)
{
  char text[512];
  store_put ("servers", endpoint->name,
             endpoint_spec (endpoint, text, sizeof text));
}

/* Starts to listen; nothing of before is known. */
static void
run (endpoint_t *endpoint)
{
  endpoint_state_t *state = calloc (1, sizeof *state);
  endpoint->born_ms = stand_unix_ms ();
  endpoint->started_ms = stand_now ();
  endpoint->state = state;
  state->fd = open_datagram (endpoint->ip, ENDPOINT_PORT);
  state->listener = open_listener (endpoint->ip, ENDPOINT_PORT);
  state->flows = calloc (HELD_MAX, sizeof *state->flows);
  endpoint->is_stopping = false;
  endpoint->is_running = true;
  start_thread (run_endpoint, endpoint);
}

endpoint_t *
endpoint_start (const char *name, const char *service, const char *zone,
                const char *ip, int work_ms)
{
  endpoint_t *endpoint = calloc (1, sizeof *endpoint);
  snprintf (endpoint->name, STAND_NAME, "%s", name);
  snprintf (endpoint->service, STAND_NAME, "%s", service);
  snprintf (endpoint->zone, STAND_NAME, "%s", zone);
  snprintf (endpoint->ip, STAND_NAME, "%s", ip);
  endpoint->id = strtoull (strchr (name, '-') + 1, NULL, 16);
  endpoint->port = ENDPOINT_PORT;
  endpoint->work_ms = work_ms;
  run (endpoint);
  endpoint_write_entry (endpoint);
  stand_record ("endpoint %s of %s runs at %s:%d", name, service, ip,
                ENDPOINT_PORT);
  return endpoint;
}

void
endpoint_restart (endpoint_t *endpoint)
{
  endpoint_stop (endpoint, false);
  run (endpoint);
  stand_record ("endpoint %s has started again", endpoint->name);
}

int64_t
endpoint_drain (endpoint_t *endpoint)
{
  endpoint->is_draining = true;
  endpoint_write_entry (endpoint);
  int64_t now = stand_now ();
  stand_record ("endpoint %s reports draining; the store has acknowledged it",
                endpoint->name);
  return now;
}

void
endpoint_stop (endpoint_t *endpoint, bool removes_entry)
{
  endpoint->is_stopping = true;
  while (endpoint->is_running)
    usleep (500);
  if (removes_entry)
    store_delete ("servers", endpoint->name);
  stand_record ("endpoint %s has ended", endpoint->name);
}

/* ------------------------------------------------------------ clients */

static flow_t flows[FLOWS_MAX];
static size_t flow_total;
static int client_fd;
static int forced_instance = -1;

const char *
flow_end_text (flow_end_t end)
{
  static const char *const texts[]
      = { "none",     "reset by the system", "reset by the endpoint",
          "not open", "no answer",           "done" };
  return texts[end];
}

size_t
flows_count (void)
{
  return flow_total;
}

flow_t *
flows_get (size_t index)
{
  return &flows[index];
}

void
clients_use (int instance)
{
  forced_instance = instance;
}

/* Chooses a machine by a hash over those in rotation. */
static const instance_t *
choose_instance (const flow_t *flow)
{
  if (forced_instance >= 0)
    return &instances[forced_instance];
  int in[STAND_INSTANCES_MAX];
  int count = 0;
  for (int i = 0; i < instance_count; i++)
    if (instances[i].in_rotation)
      in[count++] = i;
  if (count * 2 < instance_count)
    for (count = 0; count < instance_count; count++)
      in[count] = count;
  uint32_t hash = ((uint32_t)flow->port * 2654435761u) ^ flow->dport;
  hash = (hash ^ hash >> 15) * 2246822519u;
  return &instances[in[(hash >> 8) % (uint32_t)count]];
}

static void
send_packet (flow_t *flow, uint8_t flags, uint32_t seq, uint32_t ack,
             const uint8_t *data, size_t length)
{
  uint8_t bytes[HEAD + DATA_MAX];
  struct in_addr dst;
  struct in_addr src;
  inet_pton (AF_INET, flow->dst, &dst);
  inet_pton (AF_INET, CLIENT_IP, &src);
  packet_t packet = { .echo = flow->echo,
                      .seq = seq,
                      .ack = ack,
                      .length = (uint16_t)length,
                      .flags = flags,
                      .dport = flow->dport,
                      .sport = flow->port,
                      .src = ntohl (src.s_addr),
                      .dst = ntohl (dst.s_addr),
                      .data = data };
  size_t total = build_packet (bytes, &packet);
  if (!(flags & SYN))
    flow->last_ack = ack;
  struct sockaddr_in to
      = make_address (choose_instance (flow)->ip, DATAGRAM_PORT);
  sendto (client_fd, bytes, total, 0, (struct sockaddr *)&to, sizeof to);
}

static void
end_flow (flow_t *flow, flow_end_t end)
{
  if (flow->end == END_NONE)
    {
      flow->end = end;
      flow->ended_ms = stand_now ();
    }
  flow->phase = FLOW_CLOSED;
}

static void
send_request (flow_t *flow, int64_t now)
{
  static uint64_t last;
  flow->request_id = ((uint64_t)random32 () << 32) | (uint32_t)++last;
  flow->request_ms = now;
  flow->data_length = 900;
  memset (flow->data, (int)(flow->request_id & 0x7f), flow->data_length);
  put32 (flow->data, (uint32_t)flow->data_length);
  put32 (flow->data + 4, (uint32_t)(flow->request_id >> 32));
  put32 (flow->data + 8, (uint32_t)flow->request_id);
  flow->answer_length = 0;
  flow->snd_una = flow->snd_next;
  flow->snd_next += (uint32_t)flow->data_length;
  flow->retry_ms = 200;
  flow->retry_at = now + flow->retry_ms;
  send_packet (flow, ACK, flow->snd_una, flow->rcv_next, flow->data,
               flow->data_length);
}

static void
close_flow (flow_t *flow, flow_end_t end)
{
  if (flow->phase == FLOW_OPEN)
    send_packet (flow, FIN | ACK, flow->snd_next, flow->rcv_next, NULL, 0);
  end_flow (flow, end);
}

static void
receive_data (flow_t *flow, const packet_t *packet, int64_t now)
{
  if ((int32_t)(packet->ack - flow->snd_una) > 0)
    flow->snd_una = packet->ack;
  if (packet->length > 0 && packet->seq == flow->rcv_next
      && flow->answer_length + packet->length <= sizeof flow->answer)
    {
      memcpy (flow->answer + flow->answer_length, packet->data,
              packet->length);
      flow->answer_length += packet->length;
      flow->rcv_next += packet->length;
    }
  if (packet->length > 0 && ++flow->unacked_packets >= 2)
    {
      flow->unacked_packets = 0;
      send_packet (flow, ACK, flow->snd_next, flow->rcv_next, NULL, 0);
    }
  if (flow->request_ms && flow->answer_length >= 12
      && flow->answer_length >= get32 (flow->answer))
    {
      uint64_t id = (uint64_t)get32 (flow->answer + 4) << 32
                    | get32 (flow->answer + 8);
      flow->responses++;
      if (id != flow->request_id)
        flow->wrong++;
      flow->request_ms = 0;
      if (flow->is_single)
        close_flow (flow, END_DONE);
    }
  if ((packet->flags & FIN) && flow->phase == FLOW_OPEN)
    close_flow (flow, END_DONE);
  (void)now;
}

static void
handle_client_packet (const uint8_t *bytes, size_t length)
{
  packet_t packet;
  if (!parse_packet (bytes, length, &packet))
    return;
  size_t index = (size_t)(packet.dport - CLIENT_PORT_FIRST);
  int64_t now = stand_now ();
  stand_lock ();
  flow_t *flow = packet.dport >= CLIENT_PORT_FIRST && index < flow_total
                     ? &flows[index]
                     : NULL;
  if (!flow || flow->phase == FLOW_CLOSED)
    {
      stand_unlock ();
      return;
    }
  if (packet.flags & RST)
    {
      bool is_own = packet.sum != 0;
      uint32_t distance = packet.seq - flow->last_ack;
      bool is_near = distance <= 76800 || -distance <= 76800;
      if (flow->phase == FLOW_OPENING || is_near)
        end_flow (flow, is_own ? END_ENDPOINT_RESET : END_SYSTEM_RESET);
    }
  else if (packet.sum != compute_sum (bytes, length))
    stand_record ("a client got a packet that nobody wrote so");
  else if ((packet.flags & (SYN | ACK)) == (SYN | ACK))
    {
      if (flow->phase == FLOW_OPENING && packet.ack == flow->isn + 1)
        {
          flow->phase = FLOW_OPEN;
          flow->opened_ms = now;
          flow->echo = packet.echo;
          flow->rcv_next = packet.seq + 1;
          flow->snd_next = flow->isn + 1;
          flow->snd_una = flow->snd_next;
          send_packet (flow, ACK, flow->snd_next, flow->rcv_next, NULL, 0);
          if (flow->is_single)
            send_request (flow, now);
        }
    }
  else if (flow->phase == FLOW_OPEN)
    {
      flow->echo = packet.echo;
      receive_data (flow, &packet, now);
    }
  stand_unlock ();
}

static void
tick_flow (flow_t *flow, int64_t now)
{
  if (flow->phase == FLOW_OPENING)
    {
      int64_t age = now - flow->started_ms;
      if (age >= 1400)
        end_flow (flow, END_TIMEOUT);
      else if ((flow->copies == 0 && age >= 200)
               || (flow->copies == 1 && age >= 600))
        {
          flow->copies++;
          send_packet (flow, SYN, flow->isn, (uint32_t)flow->copies, NULL, 0);
        }
      return;
    }
  if (flow->phase != FLOW_OPEN || !flow->request_ms)
    return;
  if (now - flow->request_ms >= flow->deadline_ms)
    {
      close_flow (flow, END_DEADLINE);
      return;
    }
  if (flow->snd_una != flow->snd_next && now >= flow->retry_at)
    {
      flow->retry_ms = flow->retry_ms * 2 > 1600 ? 1600 : flow->retry_ms * 2;
      flow->retry_at = now + flow->retry_ms;
      send_packet (flow, ACK, flow->snd_next - (uint32_t)flow->data_length,
                   flow->rcv_next, flow->data, flow->data_length);
    }
}

static void *
run_clients (void *data)
{
  (void)data;
  int64_t ticked = 0;
  size_t first = 0;
  for (;;)
    {
      struct pollfd polled = { .fd = client_fd, .events = POLLIN };
      poll (&polled, 1, 1);
      for (int i = 0; i < 256; i++)
        {
          uint8_t bytes[2048];
          ssize_t received
              = recv (client_fd, bytes, sizeof bytes, MSG_DONTWAIT);
          if (received <= 0)
            break;
          handle_client_packet (bytes, (size_t)received);
        }
      int64_t now = stand_now ();
      if (now - ticked < 5)
        continue;
      ticked = now;
      stand_lock ();
      while (first < flow_total && flows[first].phase == FLOW_CLOSED)
        first++;
      for (size_t i = first; i < flow_total; i++)
        tick_flow (&flows[i], now);
      stand_unlock ();
    }
  return NULL;
}

void
clients_start (void)
{
  client_fd = open_datagram (CLIENT_IP, DATAGRAM_PORT);
  start_thread (run_clients, NULL);
}

flow_t *
flow_open (const char *dst, uint16_t dport, bool is_single, int deadline_ms)
{
  stand_lock ();
  if (flow_total == FLOWS_MAX)
    {
      stand_unlock ();
      return NULL;
    }
  flow_t *flow = &flows[flow_total];
  flow->port = (uint16_t)(CLIENT_PORT_FIRST + flow_total);
  snprintf (flow->dst, sizeof flow->dst, "%s", dst);
  flow->dport = dport;
  flow->is_single = is_single;
  flow->deadline_ms = deadline_ms;
  flow->isn = random32 ();
  flow->started_ms = stand_now ();
  flow_total++;
  send_packet (flow, SYN, flow->isn, 0, NULL, 0);
  stand_unlock ();
  return flow;
}

bool
flow_request (flow_t *flow, int deadline_ms)
{
  stand_lock ();
  bool is_open = flow->phase == FLOW_OPEN && !flow->request_ms;
  if (is_open)
    {
      flow->deadline_ms = deadline_ms;
      send_request (flow, stand_now ());
    }
  stand_unlock ();
  return is_open;
}

void
flow_close (flow_t *flow)
{
  stand_lock ();
  close_flow (flow, END_DONE);
  stand_unlock ();
}
