#include "relay.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "admin_response.h"

#define PATH_PREFIX "/v1/"
#define ARGUMENT_SIZE 32
#define WAIT_MS_MAX 10000
#define DECIMAL_BASE 10
#define KEEPALIVE_S 5 /* time-out of an idle connection */

/** An object, or a retained deletion. */
typedef struct
{
  char *value;                /* compact JSON; NULL: deleted */
  uint64_t version;           /* of the object */
  uint64_t published_version; /* version of the relay's list at which the
                                 change was published; a reader that has an
                                 older version is sent the object; 0: not
                                 published */
  gbd_time_t deleted_at; /* time of publication; used only for deletions */
  bool is_in_list;       /* reported since the current listing began */
} object_t;

/** Connection of a reader. */
typedef struct
{
  gbd_admin_response_t response;
  struct lws *wsi;
  uint64_t since;
  gbd_time_t deadline;
  bool is_waiting;
} reader_t;

/** User data of the vhost, which outlives the relay. */
typedef struct
{
  gbd_relay_t *relay; /* NULL after the relay was deleted */
  char host[GBD_ADDRESS_TEXT_MAX];
} vhost_user_t;

struct gbd_relay
{
  vhost_user_t *vhost_user;
  struct lws_vhost *vhost;
  const char *kind;
  GHashTable *objects;        /* name -> object_t */
  GPtrArray *waiting_readers; /* elements are reader_t */
  uint64_t version;
  uint64_t compacted_version; /* deletions up to this version were discarded */
  uint32_t removal_grace_ms;
  uint64_t hint;
  bool is_connected; /* the platform is reachable */
  bool is_listing;
  uint64_t response_count;
  uint64_t change_count;
  gbd_time_t now; /* time of the last tick */
};

static int handle_callback (struct lws *wsi, enum lws_callback_reasons reason,
                            void *user, void *in, size_t length);
static int handle_request (gbd_relay_t *relay, struct lws *wsi,
                           reader_t *reader, const char *path);
static bool read_argument (struct lws *wsi, const char *name,
                           uint64_t *number);
static int send_response (gbd_relay_t *relay, reader_t *reader,
                          const uint64_t *since);
static void stop_waiting (gbd_relay_t *relay, reader_t *reader);
static void respond_to_waiting_readers (gbd_relay_t *relay, bool is_forced);
static void append_object (GString *text, const char *name,
                           const object_t *object);
static void expire_deletions (gbd_relay_t *relay, gbd_time_t now);
static void free_object (gpointer data);
static void free_vhost_user (struct lws_vhost *vhost, void *vhost_user);

static const struct lws_protocols protocols[] = {
  { "gooseberrydrum-relay", handle_callback, sizeof (reader_t), 0, 0, NULL,
    0 },
  { NULL, NULL, 0, 0, 0, NULL, 0 },
};

gbd_relay_t *
gbd_relay_new (struct lws_context *context, const gbd_address_t *listen,
               const char *kind, const char **error)
{
  gbd_relay_t *relay = g_new0 (gbd_relay_t, 1);
  vhost_user_t *vhost_user = calloc (1, sizeof *vhost_user);
  relay->kind = kind;
  relay->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_object);
  relay->waiting_readers = g_ptr_array_new ();
  relay->vhost_user = vhost_user;
  if (!vhost_user)
    {
      *error = "out of memory for the relay; raise the memory limit";
      gbd_relay_delete (relay);
      return NULL;
    }
  vhost_user->relay = relay;
  inet_ntop (listen->family == 6 ? AF_INET6 : AF_INET, listen->ip,
             vhost_user->host, sizeof vhost_user->host);
  struct lws_context_creation_info info = {
    .vhost_name = "relay",
    .iface = vhost_user->host,
    .port = listen->port,
    .protocols = protocols,
    .user = vhost_user,
    .finalize = free_vhost_user,
    .finalize_arg = vhost_user,
    .keepalive_timeout = KEEPALIVE_S,
    .alpn = "http/1.1",
    .options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND,
  };
  if (listen->family == 4)
    info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
  relay->vhost = lws_create_vhost (context, &info);
  if (relay->vhost)
    return relay;
  /* The library has freed the user data together with the failed vhost. */
  relay->vhost_user = NULL;
  *error = "cannot listen for other instances; choose a free address of this "
           "instance with --relay-listen";
  gbd_relay_delete (relay);
  return NULL;
}

void
gbd_relay_delete (gbd_relay_t *relay)
{
  if (!relay)
    return;
  if (relay->vhost_user)
    relay->vhost_user->relay = NULL;
  if (relay->vhost)
    lws_vhost_destroy (relay->vhost);
  g_hash_table_destroy (relay->objects);
  g_ptr_array_free (relay->waiting_readers, TRUE);
  g_free (relay);
}

void
gbd_relay_begin_listing (gbd_relay_t *relay)
{
  GHashTableIter iterator;
  gpointer object;
  relay->is_listing = true;
  g_hash_table_iter_init (&iterator, relay->objects);
  while (g_hash_table_iter_next (&iterator, NULL, &object))
    ((object_t *)object)->is_in_list = false;
}

void
gbd_relay_apply (gbd_relay_t *relay, const char *name, uint64_t version,
                 const json_t *value)
{
  object_t *current = g_hash_table_lookup (relay->objects, name);
  if (current && current->value && value && current->version == version)
    {
      /* A new listing repeats an object that readers already have. */
      current->is_in_list = true;
      return;
    }
  object_t *object = g_new0 (object_t, 1);
  object->value
      = value ? json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
  object->version = version;
  object->is_in_list = true;
  relay->change_count++;
  g_hash_table_replace (relay->objects, g_strdup (name), object);
}

void
gbd_relay_publish (gbd_relay_t *relay, uint64_t version,
                   uint32_t removal_grace_ms, gbd_time_t now)
{
  GHashTableIter iterator;
  gpointer data;
  bool is_first = relay->version == 0;
  g_hash_table_iter_init (&iterator, relay->objects);
  while (g_hash_table_iter_next (&iterator, NULL, &data))
    {
      object_t *object = data;
      if (relay->is_listing && !object->is_in_list && object->value)
        {
          free (object->value);
          object->value = NULL;
          object->published_version = 0;
        }
      if (object->published_version)
        continue;
      object->published_version = version;
      object->deleted_at = now;
    }
  relay->is_listing = false;
  relay->version = version;
  if (is_first)
    relay->compacted_version = version;
  relay->removal_grace_ms = removal_grace_ms;
  relay->is_connected = true;
  expire_deletions (relay, now);
  respond_to_waiting_readers (relay, false);
}

void
gbd_relay_set_hint (gbd_relay_t *relay, uint64_t hint)
{
  if (hint == relay->hint)
    return;
  relay->hint = hint;
  respond_to_waiting_readers (relay, true);
}

void
gbd_relay_disconnect (gbd_relay_t *relay)
{
  relay->is_connected = false;
  respond_to_waiting_readers (relay, true);
}

void
gbd_relay_tick (gbd_relay_t *relay, gbd_time_t now)
{
  relay->now = now;
  for (guint i = relay->waiting_readers->len; i-- > 0;)
    {
      reader_t *reader = g_ptr_array_index (relay->waiting_readers, i);
      if (now < reader->deadline)
        continue;
      stop_waiting (relay, reader);
      send_response (relay, reader, &reader->since);
    }
}

char *
gbd_relay_format_response (const gbd_relay_t *relay, const uint64_t *since,
                           unsigned *status)
{
  *status = HTTP_STATUS_SERVICE_UNAVAILABLE;
  if (!relay->is_connected)
    return strdup ("{}");
  *status = HTTP_STATUS_GONE;
  if (since && *since < relay->compacted_version)
    return strdup ("{}");
  *status = HTTP_STATUS_OK;
  GString *text = g_string_new (NULL);
  g_string_printf (
      text,
      "{\"version\":%" G_GUINT64_FORMAT
      ",\"settling_ms\":%u,\"hint\":%" G_GUINT64_FORMAT ",\"%s\":[",
      since ? MAX (*since, relay->version) : relay->version,
      relay->removal_grace_ms, relay->hint, since ? "changes" : "items");
  size_t empty_length = text->len;
  GHashTableIter iterator;
  gpointer name;
  gpointer data;
  g_hash_table_iter_init (&iterator, relay->objects);
  while (g_hash_table_iter_next (&iterator, &name, &data))
    {
      const object_t *object = data;
      bool is_included
          = since ? object->published_version > *since
                  : object->value != NULL && object->published_version;
      if (is_included)
        append_object (text, name, object);
    }
  if (text->len > empty_length)
    g_string_truncate (text, text->len - 1);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

uint64_t
gbd_relay_get_response_count (const gbd_relay_t *relay)
{
  return relay->response_count;
}

uint64_t
gbd_relay_get_change_count (const gbd_relay_t *relay)
{
  return relay->change_count;
}

static int
handle_callback (struct lws *wsi, enum lws_callback_reasons reason, void *user,
                 void *in, size_t length)
{
  (void)length;
  reader_t *reader = user;
  struct lws_vhost *vhost = lws_get_vhost (wsi);
  const vhost_user_t *vhost_user = vhost ? lws_vhost_user (vhost) : NULL;
  gbd_relay_t *relay = vhost_user ? vhost_user->relay : NULL;
  switch (reason)
    {
    case LWS_CALLBACK_HTTP:
      return relay ? handle_request (relay, wsi, reader, in) : -1;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return reader->is_waiting
                 ? 0
                 : gbd_admin_response_write (&reader->response, wsi);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
      if (relay && reader)
        stop_waiting (relay, reader);
      if (reader)
        gbd_admin_response_clear (&reader->response);
      return 0;
    default:
      return 0;
    }
}

static int
handle_request (gbd_relay_t *relay, struct lws *wsi, reader_t *reader,
                const char *path)
{
  gbd_admin_response_clear (&reader->response);
  stop_waiting (relay, reader);
  reader->wsi = wsi;
  size_t prefix = strlen (PATH_PREFIX);
  if (strncmp (path, PATH_PREFIX, prefix) != 0
      || strcmp (path + prefix, relay->kind) != 0)
    {
      gbd_admin_response_fail (&reader->response, HTTP_STATUS_NOT_FOUND,
                               "unknown kind", "request it from the platform");
      return gbd_admin_response_start (&reader->response, wsi);
    }
  uint64_t wait_ms = 0;
  if (!read_argument (wsi, "since=", &reader->since))
    return send_response (relay, reader, NULL);
  read_argument (wsi, "wait_ms=", &wait_ms);
  /* A reader with a higher version has read from another source.  It has
     everything that this relay has, so it waits until the relay publishes a
     higher version. */
  bool is_response_due
      = !relay->is_connected || reader->since < relay->version || wait_ms == 0;
  if (is_response_due)
    return send_response (relay, reader, &reader->since);
  wait_ms = MIN (wait_ms, WAIT_MS_MAX);
  reader->deadline = relay->now + (gbd_time_t)wait_ms * GBD_MILLISECOND;
  reader->is_waiting = true;
  g_ptr_array_add (relay->waiting_readers, reader);
  /* The library would close a connection on which nothing is sent. */
  lws_set_timeout (wsi, NO_PENDING_TIMEOUT, 0);
  return 0;
}

static bool
read_argument (struct lws *wsi, const char *name, uint64_t *number)
{
  char text[ARGUMENT_SIZE] = "";
  const char *found = lws_get_urlarg_by_name (wsi, name, text, sizeof text);
  char *end = NULL;
  if (!found || !found[0])
    return false;
  *number = strtoull (found, &end, DECIMAL_BASE);
  return *end == '\0';
}

static int
send_response (gbd_relay_t *relay, reader_t *reader, const uint64_t *since)
{
  unsigned status;
  char *text = gbd_relay_format_response (relay, since, &status);
  gbd_admin_response_set_text (&reader->response, text);
  reader->response.status = status;
  reader->response.content_type = "application/json";
  relay->response_count++;
  return gbd_admin_response_start (&reader->response, reader->wsi);
}

static void
stop_waiting (gbd_relay_t *relay, reader_t *reader)
{
  if (reader->is_waiting)
    g_ptr_array_remove (relay->waiting_readers, reader);
  reader->is_waiting = false;
}

static void
respond_to_waiting_readers (gbd_relay_t *relay, bool is_forced)
{
  for (guint i = relay->waiting_readers->len; i-- > 0;)
    {
      reader_t *reader = g_ptr_array_index (relay->waiting_readers, i);
      if (!is_forced && reader->since >= relay->version)
        continue;
      stop_waiting (relay, reader);
      if (send_response (relay, reader, &reader->since) != 0)
        lws_set_timeout (reader->wsi, PENDING_TIMEOUT_USER_OK,
                         LWS_TO_KILL_ASYNC);
    }
}

static void
append_object (GString *text, const char *name, const object_t *object)
{
  json_t *quoted = json_string (name);
  char *name_text = json_dumps (quoted, JSON_ENCODE_ANY);
  g_string_append_printf (
      text, "{\"name\":%s,\"version\":%" G_GUINT64_FORMAT ",\"value\":%s},",
      name_text ? name_text : "\"\"", object->version,
      object->value ? object->value : "null");
  free (name_text);
  json_decref (quoted);
}

static void
expire_deletions (gbd_relay_t *relay, gbd_time_t now)
{
  GHashTableIter iterator;
  gpointer data;
  g_hash_table_iter_init (&iterator, relay->objects);
  while (g_hash_table_iter_next (&iterator, NULL, &data))
    {
      const object_t *object = data;
      if (object->value
          || now - object->deleted_at < GBD_RELAY_DELETION_RETENTION)
        continue;
      relay->compacted_version
          = MAX (relay->compacted_version, object->published_version);
      g_hash_table_iter_remove (&iterator);
    }
}

static void
free_object (gpointer data)
{
  object_t *object = data;
  free (object->value);
  g_free (object);
}

static void
free_vhost_user (struct lws_vhost *vhost, void *vhost_user)
{
  (void)vhost;
  free (vhost_user);
}
