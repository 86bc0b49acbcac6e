#include "relay.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "admin_response.h"
#include "relay_api.h"
#include "relay_members.h"
#include "relay_private.h"

/* More than any argument of a reader with its name and the NUL: an argument
   that does not fit hides those that follow it (lws_get_urlarg_by_name() ends
   there). */
#define ARGUMENT_SIZE (sizeof "evacuations=" + GBD_NAME_MAX)
#define HOLDERS_PATH GBD_RELAY_PREFIX GBD_RELAY_HOLDERS_KIND "/"
#define MEMBERS_PATH GBD_RELAY_PREFIX GBD_RELAY_MEMBERS_KIND
#define WAIT_MS_MAX 10000
#define DECIMAL_BASE 10
#define KEEPALIVE_S 5 /* time-out of an idle connection */

/** Connection of a reader. */
typedef struct
{
  gbd_admin_response_t response;
  struct lws *wsi;
  bool has_since; /* false: requests a listing */
  bool with_documents;
  uint64_t since;
  gbd_time_t deadline;
  bool is_waiting;
  gbd_address_t address; /* family 0: not known */
} reader_t;

/** User data of the vhost, which outlives the relay. */
struct gbd_relay_vhost_user
{
  gbd_relay_t *relay; /* NULL after the relay was deleted */
  char host[GBD_ADDRESS_TEXT_MAX];
};

static void publish_objects (gbd_relay_t *relay, uint64_t version,
                             gbd_time_t now);
static int handle_callback (struct lws *wsi, enum lws_callback_reasons reason,
                            void *user, void *in, size_t length);
static int handle_request (gbd_relay_t *relay, struct lws *wsi,
                           reader_t *reader, const char *path);
static int handle_document_request (const gbd_relay_t *relay, struct lws *wsi,
                                    reader_t *reader, const char *path);
static int wait_for_changes (gbd_relay_t *relay, reader_t *reader,
                             gbd_time_t time);
static int handle_announcement (gbd_relay_t *relay, struct lws *wsi,
                                reader_t *reader, const char *text);
static void record_holder (gbd_relay_t *relay, const char *text);
static void record_member (gbd_relay_t *relay, struct lws *wsi,
                           reader_t *reader, const char *from);
static int send_members (const gbd_relay_t *relay, struct lws *wsi,
                         reader_t *reader);
static int send_filled_listing (gbd_relay_t *relay, reader_t *reader);
static bool read_argument (struct lws *wsi, const char *name,
                           uint64_t *number);
static int send_response (gbd_relay_t *relay, reader_t *reader);
static void stop_waiting (gbd_relay_t *relay, reader_t *reader);
static void respond_to_waiting_readers (gbd_relay_t *relay, bool is_forced);
static void expire_deletions (gbd_relay_t *relay, gbd_time_t now);
static void free_object (gpointer data);
static void free_document (gpointer data);
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
  gbd_relay_vhost_user_t *vhost_user = calloc (1, sizeof *vhost_user);
  relay->kind = kind;
  relay->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_object);
  relay->documents
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_document);
  relay->cached_response.body = g_byte_array_new ();
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
  g_hash_table_destroy (relay->documents);
  g_byte_array_unref (relay->cached_response.body);
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
    ((gbd_relay_object_t *)object)->is_in_list = false;
}

void
gbd_relay_apply (gbd_relay_t *relay, const char *name, uint64_t version,
                 const json_t *value)
{
  gbd_relay_object_t *current = g_hash_table_lookup (relay->objects, name);
  if (current && current->value && value && current->version == version)
    {
      /* A new listing repeats an object that readers already have. */
      current->is_in_list = true;
      return;
    }
  gbd_relay_object_t *object = g_new0 (gbd_relay_object_t, 1);
  if (value)
    object->value = gbd_relay_pack_value (value);
  object->version = version;
  object->is_in_list = true;
  relay->change_count++;
  g_hash_table_replace (relay->objects, g_strdup (name), object);
}

void
gbd_relay_refresh (gbd_relay_t *relay, const char *name, const json_t *value)
{
  gbd_relay_object_t *current = g_hash_table_lookup (relay->objects, name);
  GBytes *bytes
      = current && current->value ? gbd_relay_pack_value (value) : NULL;
  if (!bytes)
    return;
  g_bytes_unref (current->value);
  current->value = bytes;
  relay->cached_response.is_valid = false;
}

void
gbd_relay_publish (gbd_relay_t *relay, uint64_t version,
                   uint32_t removal_grace_ms, gbd_time_t now)
{
  publish_objects (relay, version, now);
  relay->removal_grace_ms = removal_grace_ms;
  relay->is_connected = true;
  gbd_newer_readers_reset (&relay->newer_readers);
  relay->reader_count = MAX (relay->reader_count, relay->waiting_readers->len);
  expire_deletions (relay, now);
  respond_to_waiting_readers (relay, false);
}

void
gbd_relay_publish_outdated (gbd_relay_t *relay, uint64_t version,
                            gbd_time_t now)
{
  publish_objects (relay, version, now);
  relay->is_connected = false;
  relay->has_failed = true;
  respond_to_waiting_readers (relay, true);
}

void
gbd_relay_set_hint (gbd_relay_t *relay, uint64_t hint)
{
  if (hint == relay->hint)
    return;
  relay->hint = hint;
  relay->cached_response.is_valid = false;
  respond_to_waiting_readers (relay, true);
}

void
gbd_relay_set_evacuations (gbd_relay_t *relay,
                           const gbd_evacuations_t *evacuations)
{
  static const gbd_evacuations_t unknown;
  const gbd_evacuations_t *next = evacuations ? evacuations : &unknown;
  const gbd_evacuations_t *current = &relay->evacuations;
  bool has_changed = !relay->sends_evacuations
                     || current->is_known != next->is_known
                     || !gbd_evacuations_are_equal (current, next);
  if (!has_changed && current->position == next->position)
    return;
  relay->evacuations = *next;
  relay->sends_evacuations = true;
  if (has_changed)
    relay->evacuations_change = next->position;
  relay->cached_response.is_valid = false;
  if (has_changed)
    respond_to_waiting_readers (relay, true);
}

void
gbd_relay_set_document (gbd_relay_t *relay, const char *kind, const char *name,
                        uint64_t version, const json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  if (!text)
    return;
  char *path = g_strconcat (kind, "/", name, NULL);
  gbd_relay_document_t *document
      = gbd_relay_pack_document (path, version, text);
  free (text);
  g_hash_table_replace (relay->documents, path, document);
  relay->cached_response.is_valid = false;
}

void
gbd_relay_set_fill (gbd_relay_t *relay, gbd_relay_fill_t fill, void *data)
{
  relay->fill = fill;
  relay->fill_data = data;
}

void
gbd_relay_set_holder_callback (gbd_relay_t *relay,
                               gbd_relay_holder_callback_t callback,
                               void *data)
{
  relay->holder_callback = callback;
  relay->holder_data = data;
}

bool
gbd_relay_next_holder (gbd_relay_t *relay, gbd_address_t *holder,
                       gbd_time_t now)
{
  for (uint32_t i = 0; i < GBD_RELAY_HOLDERS_MAX; i++)
    {
      relay->next_holder = (relay->next_holder + 1) % GBD_RELAY_HOLDERS_MAX;
      const gbd_relay_holder_t *candidate
          = &relay->holders[relay->next_holder];
      if (!candidate->address.family
          || now - candidate->seen_at > GBD_RELAY_HOLDER_VALIDITY)
        continue;
      *holder = candidate->address;
      return true;
    }
  return false;
}

void
gbd_relay_set_members (gbd_relay_t *relay, gbd_members_t *members)
{
  relay->members = members;
  relay->cached_response.is_valid = false;
}

void
gbd_relay_disconnect (gbd_relay_t *relay)
{
  relay->is_connected = false;
  relay->has_failed = true;
  relay->cached_response.is_valid = false;
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
      send_response (relay, reader);
    }
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

/* Makes the applied changes part of the list with a version of the platform.
 */
static void
publish_objects (gbd_relay_t *relay, uint64_t version, gbd_time_t now)
{
  GHashTableIter iterator;
  gpointer data;
  bool is_first = relay->version == 0;
  g_hash_table_iter_init (&iterator, relay->objects);
  while (g_hash_table_iter_next (&iterator, NULL, &data))
    {
      gbd_relay_object_t *object = data;
      if (relay->is_listing && !object->is_in_list && object->value)
        {
          g_bytes_unref (object->value);
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
  relay->cached_response.is_valid = false;
}

static int
handle_callback (struct lws *wsi, enum lws_callback_reasons reason, void *user,
                 void *in, size_t length)
{
  (void)length;
  reader_t *reader = user;
  struct lws_vhost *vhost = lws_get_vhost (wsi);
  const gbd_relay_vhost_user_t *vhost_user
      = vhost ? lws_vhost_user (vhost) : NULL;
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
  size_t prefix = strlen (GBD_RELAY_PREFIX);
  if (g_str_has_prefix (path, HOLDERS_PATH))
    return handle_announcement (relay, wsi, reader,
                                path + strlen (HOLDERS_PATH));
  if (relay->members && strcmp (path, MEMBERS_PATH) == 0)
    return send_members (relay, wsi, reader);
  if (strncmp (path, GBD_RELAY_PREFIX, prefix) != 0
      || strcmp (path + prefix, relay->kind) != 0)
    return handle_document_request (relay, wsi, reader, path);
  uint64_t wait_ms = 0;
  uint64_t with_documents = 0;
  uint64_t evacuations = 0;
  reader->has_since = read_argument (wsi, "since=", &reader->since);
  read_argument (wsi, "documents=", &with_documents);
  reader->with_documents = with_documents != 0 && !reader->has_since;
  char buffer[ARGUMENT_SIZE];
  const char *from
      = lws_get_urlarg_by_name (wsi, "from=", buffer, sizeof buffer);
  if (reader->has_since && from)
    record_holder (relay, from);
  record_member (relay, wsi, reader, from);
  if (!reader->has_since && relay->fill)
    return send_filled_listing (relay, reader);
  if (!reader->has_since)
    return relay->version || relay->has_failed
               ? send_response (relay, reader)
               : wait_for_changes (relay, reader, GBD_RELAY_LISTING_WAIT);
  read_argument (wsi, "wait_ms=", &wait_ms);
  if (!relay->is_connected && reader->since > relay->version)
    gbd_newer_readers_record (&relay->newer_readers, relay->now);
  /* A reader with a higher version has read from another source.  It has
     everything that this relay has, so it waits until the relay publishes a
     higher version. */
  bool lacks_evacuations = relay->evacuations.is_known
                           && read_argument (wsi, "evacuations=", &evacuations)
                           && evacuations < relay->evacuations_change;
  bool is_response_due = !relay->is_connected || reader->since < relay->version
                         || wait_ms == 0 || lacks_evacuations;
  if (is_response_due)
    return send_response (relay, reader);
  wait_ms = MIN (wait_ms, WAIT_MS_MAX);
  return wait_for_changes (relay, reader,
                           (gbd_time_t)wait_ms * GBD_MILLISECOND);
}

static int
handle_document_request (const gbd_relay_t *relay, struct lws *wsi,
                         reader_t *reader, const char *path)
{
  size_t prefix = strlen (GBD_RELAY_PREFIX);
  const gbd_relay_document_t *document = NULL;
  if (strncmp (path, GBD_RELAY_PREFIX, prefix) == 0)
    document = g_hash_table_lookup (relay->documents, path + prefix);
  if (document)
    {
      gsize length;
      const void *bytes = g_bytes_get_data (document->message, &length);
      gbd_admin_response_set_bytes (&reader->response, bytes, length);
    }
  else
    gbd_admin_response_fail (&reader->response, HTTP_STATUS_NOT_FOUND,
                             "unknown object", "request it from the platform");
  return gbd_admin_response_start (&reader->response, wsi);
}

static int
wait_for_changes (gbd_relay_t *relay, reader_t *reader, gbd_time_t time)
{
  reader->deadline = relay->now + time;
  reader->is_waiting = true;
  g_ptr_array_add (relay->waiting_readers, reader);
  /* The library would close a connection on which nothing is sent. */
  lws_set_timeout (reader->wsi, NO_PENDING_TIMEOUT, 0);
  return 0;
}

static int
handle_announcement (gbd_relay_t *relay, struct lws *wsi, reader_t *reader,
                     const char *text)
{
  record_holder (relay, text);
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  gbd_relay_pack_document_message (relay->version,
                                   relay->version ? "true" : "false", &buffer);
  gbd_admin_response_set_bytes (&reader->response, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return gbd_admin_response_start (&reader->response, wsi);
}

/* Replaces the entry of the same address, or the oldest one.
   @param text address of the holder */
static void
record_holder (gbd_relay_t *relay, const char *text)
{
  gbd_address_t address;
  if (gbd_address_parse (text, &address) != GBD_OK)
    return;
  if (relay->holder_callback)
    relay->holder_callback (relay->holder_data, &address);
  gbd_relay_holder_t *oldest = &relay->holders[0];
  for (uint32_t i = 0; i < GBD_RELAY_HOLDERS_MAX; i++)
    {
      gbd_relay_holder_t *holder = &relay->holders[i];
      if (gbd_address_is_equal (&holder->address, &address))
        {
          holder->seen_at = relay->now;
          return;
        }
      if (holder->seen_at < oldest->seen_at)
        oldest = holder;
    }
  *oldest = (gbd_relay_holder_t){ .address = address, .seen_at = relay->now };
}

/* @param from address by which the reader names itself; NULL: none */
static void
record_member (gbd_relay_t *relay, struct lws *wsi, reader_t *reader,
               const char *from)
{
  char zone[ARGUMENT_SIZE];
  reader->address = (gbd_address_t){ 0 };
  if (!relay->members || !from
      || gbd_address_parse (from, &reader->address) != GBD_OK)
    return;
  const char *zone_name
      = lws_get_urlarg_by_name (wsi, "zone=", zone, sizeof zone);
  /* A reader that is not counted is served all the same. */
  gbd_members_record (relay->members, &reader->address,
                      zone_name ? zone_name : "", relay->now);
}

static int
send_members (const gbd_relay_t *relay, struct lws *wsi, reader_t *reader)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  gbd_relay_pack_members (relay->members, relay->now, &buffer);
  gbd_admin_response_set_bytes (&reader->response, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return gbd_admin_response_start (&reader->response, wsi);
}

static int
send_filled_listing (gbd_relay_t *relay, reader_t *reader)
{
  relay->has_failed = true;
  relay->fill (relay->fill_data);
  int result = send_response (relay, reader);
  g_hash_table_remove_all (relay->objects);
  relay->version = 0;
  relay->cached_response.is_valid = false;
  g_byte_array_set_size (relay->cached_response.body, 0);
  return result;
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
send_response (gbd_relay_t *relay, reader_t *reader)
{
  unsigned status;
  const GByteArray *body = gbd_relay_build_response (
      relay, reader->has_since ? &reader->since : NULL, reader->with_documents,
      &reader->address, &status);
  gbd_admin_response_set_bytes (&reader->response, body->data, body->len);
  reader->response.status = status;
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
      bool is_due = reader->has_since
                        ? is_forced || reader->since < relay->version
                        : relay->version || relay->has_failed;
      if (!is_due)
        continue;
      stop_waiting (relay, reader);
      if (send_response (relay, reader) != 0)
        lws_set_timeout (reader->wsi, PENDING_TIMEOUT_USER_OK,
                         LWS_TO_KILL_ASYNC);
    }
}

static void
expire_deletions (gbd_relay_t *relay, gbd_time_t now)
{
  GHashTableIter iterator;
  gpointer data;
  g_hash_table_iter_init (&iterator, relay->objects);
  while (g_hash_table_iter_next (&iterator, NULL, &data))
    {
      const gbd_relay_object_t *object = data;
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
  gbd_relay_object_t *object = data;
  if (object->value)
    g_bytes_unref (object->value);
  g_free (object);
}

static void
free_document (gpointer data)
{
  gbd_relay_document_t *document = data;
  g_bytes_unref (document->message);
  g_bytes_unref (document->entry);
  g_free (document);
}

static void
free_vhost_user (struct lws_vhost *vhost, void *vhost_user)
{
  (void)vhost;
  free (vhost_user);
}
