#include "link.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "share/log.h"

#define WRITE_LENGTH_MAX ((size_t)1 << 14) /* bytes */
/* Limit of accepted connections that are unidentified or unlisted. */
#define UNIDENTIFIED_MAX 32
/* Bytes of TLS output that are sent before a refused link is closed. */
#define ALERT_LENGTH_MAX ((size_t)4096)

static gbd_link_t *make_link (gbd_links_t *links, bool is_outbound);
static int accept_link (struct lws *wsi);
static int start_hello_exchange (gbd_link_t *link);
static gbd_status_t send_hello (gbd_link_t *link);
static void close_oldest_unidentified (gbd_links_t *links);
static int receive (gbd_link_t *link, const uint8_t *bytes, size_t length);
static void refuse_link (gbd_link_t *link);
static gbd_status_t receive_plaintext (void *data, const uint8_t *bytes,
                                       size_t length);
static gbd_status_t receive_frame (void *data, const uint8_t *content,
                                   size_t length);
static gbd_status_t receive_message (gbd_link_t *link,
                                     const gbd_message_t *message);
static gbd_status_t receive_hello (gbd_link_t *link,
                                   const gbd_message_t *message);
static bool is_id_in_use (const gbd_links_t *links, gbd_instance_id_t id,
                          const gbd_address_t *listen);
static int write_pending (gbd_link_t *link);
static bool write_unencrypted (gbd_link_t *link);
static bool write_encrypted (gbd_link_t *link);
static bool write_socket (gbd_link_t *link, uint8_t *bytes, size_t length);

int
gbd_link_callback (struct lws *wsi, enum lws_callback_reasons reason,
                   void *user, void *in, size_t length)
{
  (void)user;
  gbd_link_t *link = lws_get_opaque_user_data (wsi);
  switch (reason)
    {
    case LWS_CALLBACK_RAW_ADOPT:
      return accept_link (wsi);
    case LWS_CALLBACK_RAW_CONNECTED:
      return link ? start_hello_exchange (link) : -1;
    case LWS_CALLBACK_RAW_RX:
      return link ? receive (link, in, length) : -1;
    case LWS_CALLBACK_RAW_WRITEABLE:
      return link ? write_pending (link) : -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE:
      if (link)
        {
          link->wsi = NULL;
          gbd_link_close (link);
        }
      return 0;
    default:
      return 0;
    }
}

void
gbd_link_open (gbd_links_t *links, gbd_link_peer_t *peer)
{
  gbd_link_t *link = make_link (links, true);
  if (!link)
    return;
  link->state = GBD_LINK_CONNECTING;
  link->address = peer->address;
  peer->link = link;

  char host[INET6_ADDRSTRLEN];
  int family = peer->address.family == 6 ? AF_INET6 : AF_INET;
  inet_ntop (family, peer->address.ip, host, sizeof host);
  struct lws_client_connect_info info = {
    .context = links->context,
    .vhost = links->vhost,
    .address = host,
    .host = host,
    .port = peer->address.port,
    .method = "RAW",
    .local_protocol_name = "gooseberrydrum-link",
    .opaque_user_data = link,
    .pwsi = &link->wsi,
  };
  if (!lws_client_connect_via_info (&info))
    {
      link->wsi = NULL;
      gbd_link_close (link);
    }
}

void
gbd_link_close (gbd_link_t *link)
{
  if (link->state == GBD_LINK_CLOSED)
    return;
  gbd_links_t *links = link->links;
  bool was_up = link->state == GBD_LINK_UP;
  link->state = GBD_LINK_CLOSED;
  gbd_frame_decoder_clear (&link->decoder);
  gbd_send_queue_clear (&link->send_queue);
  gbd_tls_delete (link->tls);
  link->tls = NULL;
  if (link->wsi)
    {
      /* Later callbacks of this connection find no link and do nothing. */
      lws_set_opaque_user_data (link->wsi, NULL);
      lws_set_timeout (link->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
      link->wsi = NULL;
    }

  gbd_link_peer_t *peer = gbd_links_find_peer (links, &link->address);
  if (peer && peer->link == link)
    {
      peer->link = NULL;
      peer->retry_at = links->now + gbd_backoff_next (&peer->backoff);
    }
  if (was_up)
    {
      links->stats.open--;
      links->callbacks.down (links->data, link->id);
    }
}

void
gbd_link_establish (gbd_link_t *link, gbd_link_peer_t *peer)
{
  gbd_links_t *links = link->links;
  if (peer->link && peer->link != link)
    {
      gbd_link_close (peer->link);
      /* The `down` callback of the previous link may have changed the peers.
       */
      peer = gbd_links_find_peer (links, &link->address);
      if (!peer || link->state == GBD_LINK_CLOSED)
        return;
    }
  /* The initiator has already sent its HELLO. */
  if (!link->is_outbound && send_hello (link) != GBD_OK)
    return;
  peer->link = link;
  gbd_backoff_reset (&peer->backoff);
  link->state = GBD_LINK_UP;
  link->decoder.length_max = GBD_MESSAGE_LENGTH_MAX;
  links->stats.open++;
  links->callbacks.up (links->data, link->id, link->zone, link->name);
}

gbd_status_t
gbd_link_push (gbd_link_t *link, const uint8_t *bytes, size_t length)
{
  if (gbd_send_queue_push (&link->send_queue, bytes, length) != GBD_OK)
    {
      gbd_link_close (link);
      return GBD_ERROR_UNAVAILABLE;
    }
  lws_callback_on_writable (link->wsi);
  return GBD_OK;
}

static gbd_link_t *
make_link (gbd_links_t *links, bool is_outbound)
{
  gbd_link_t *link = calloc (1, sizeof *link);
  if (!link)
    return NULL;
  if (links->tls)
    {
      link->tls = gbd_tls_new (links->tls, is_outbound);
      if (!link->tls)
        {
          free (link);
          return NULL;
        }
    }
  link->links = links;
  link->is_outbound = is_outbound;
  link->opened_at = links->now;
  link->received_at = links->now;
  link->decoder.length_max = GBD_HELLO_LENGTH_MAX;
  link->send_queue.bytes_max = links->settings.queue_bytes_max;
  link->next = links->first;
  links->first = link;
  return link;
}

static int
accept_link (struct lws *wsi)
{
  const gbd_links_vhost_user_t *vhost_user
      = lws_vhost_user (lws_get_vhost (wsi));
  gbd_links_t *links = vhost_user->links;
  if (!links)
    return -1;
  close_oldest_unidentified (links);
  gbd_link_t *link = make_link (links, false);
  if (!link)
    return -1;
  link->wsi = wsi;
  link->state = GBD_LINK_UNIDENTIFIED;
  lws_set_opaque_user_data (wsi, link);
  lws_set_timeout (wsi, NO_PENDING_TIMEOUT, 0);
  return 0;
}

/* The initiator sends the first HELLO.  With TLS it stays in the send queue
   until the handshake is done. */
static int
start_hello_exchange (gbd_link_t *link)
{
  link->state = GBD_LINK_UNIDENTIFIED;
  lws_set_timeout (link->wsi, NO_PENDING_TIMEOUT, 0);
  return send_hello (link) == GBD_OK ? 0 : -1;
}

static gbd_status_t
send_hello (gbd_link_t *link)
{
  const gbd_links_settings_t *settings = &link->links->settings;
  gbd_message_t hello = { .type = GBD_MESSAGE_HELLO, .from = settings->self };
  hello.body.hello.version_min = GBD_MESSAGE_VERSION;
  hello.body.hello.version_max = GBD_MESSAGE_VERSION;
  hello.body.hello.zone = settings->zone;
  hello.body.hello.listen = settings->listen;
  memcpy (hello.body.hello.name, settings->name, sizeof settings->name);

  size_t length;
  uint8_t *bytes = gbd_message_encode (&hello, &length);
  if (!bytes)
    {
      gbd_link_close (link);
      return GBD_ERROR_MEMORY;
    }
  gbd_status_t status = gbd_link_push (link, bytes, length);
  free (bytes);
  return status;
}

/* Peers send HELLO within one round trip, so the oldest unidentified
   connection is the least likely one to be a peer. */
static void
close_oldest_unidentified (gbd_links_t *links)
{
  uint32_t count = 0;
  gbd_link_t *oldest = NULL;
  for (gbd_link_t *link = links->first; link; link = link->next)
    {
      bool is_unidentified = link->state == GBD_LINK_UNIDENTIFIED
                             || link->state == GBD_LINK_UNLISTED;
      if (!is_unidentified || link->is_outbound)
        continue;
      count++;
      oldest = link; /* the list is newest first */
    }
  if (count >= UNIDENTIFIED_MAX)
    gbd_link_close (oldest);
}

static int
receive (gbd_link_t *link, const uint8_t *bytes, size_t length)
{
  gbd_links_t *links = link->links;
  links->stats.bytes_received += length;
  link->received_at = links->now;
  gbd_status_t status = link->tls ? gbd_tls_receive (link->tls, bytes, length,
                                                     receive_plaintext, link)
                                  : receive_plaintext (link, bytes, length);
  if (status == GBD_OK)
    {
      /* The handshake may have produced output, or may be done, so that the
         send queue can be written. */
      if (link->tls)
        lws_callback_on_writable (link->wsi);
      return 0;
    }
  if (status == GBD_ERROR_FORMAT)
    refuse_link (link);
  gbd_link_close (link);
  return -1;
}

/* Counts and logs a refused link, and sends the TLS alert if there is one. */
static void
refuse_link (gbd_link_t *link)
{
  gbd_links_t *links = link->links;
  uint8_t alert[LWS_PRE + ALERT_LENGTH_MAX];
  char other[GBD_ADDRESS_TEXT_MAX] = "";
  const char *reason
      = link->state == GBD_LINK_UP
            ? "a message is malformed or not allowed in this state"
            : "the first message is not a valid HELLO of this group";
  if (link->tls)
    {
      size_t length
          = gbd_tls_read_output (link->tls, alert + LWS_PRE, ALERT_LENGTH_MAX);
      if (length > 0)
        write_socket (link, alert + LWS_PRE, length);
      if (gbd_tls_get_error (link->tls))
        reason = gbd_tls_get_error (link->tls);
    }
  links->stats.refused++;
  links->stats.refusal = reason;
  if (!gbd_token_bucket_take (&links->refusals, links->now))
    return;
  lws_get_peer_simple (link->wsi, other, sizeof other);
  gbd_log (GBD_EVENT_LINK_REFUSED, other, reason);
}

static gbd_status_t
receive_plaintext (void *data, const uint8_t *bytes, size_t length)
{
  gbd_link_t *link = data;
  return gbd_frame_decoder_feed (&link->decoder, bytes, length, receive_frame,
                                 link);
}

static gbd_status_t
receive_frame (void *data, const uint8_t *content, size_t length)
{
  gbd_link_t *link = data;
  gbd_message_t message;
  gbd_status_t status = gbd_message_decode (content, length, &message);
  /* A newer release may send message types that this release does not
     support. */
  if (status == GBD_ERROR_NOT_FOUND && link->state == GBD_LINK_UP)
    return GBD_OK;
  if (status != GBD_OK)
    return GBD_ERROR_FORMAT;
  status = receive_message (link, &message);
  gbd_message_clear (&message);
  return status;
}

static gbd_status_t
receive_message (gbd_link_t *link, const gbd_message_t *message)
{
  gbd_links_t *links = link->links;
  if (link->state == GBD_LINK_UNIDENTIFIED)
    return receive_hello (link, message);
  bool is_allowed = link->state == GBD_LINK_UP && message->from == link->id
                    && message->type != GBD_MESSAGE_HELLO;
  if (!is_allowed)
    return GBD_ERROR_FORMAT;

  links->stats.messages_received++;
  links->callbacks.received (links->data, message);
  return link->state == GBD_LINK_UP ? GBD_OK : GBD_ERROR_UNAVAILABLE;
}

static gbd_status_t
receive_hello (gbd_link_t *link, const gbd_message_t *message)
{
  gbd_links_t *links = link->links;
  const gbd_address_t *listen = &message->body.hello.listen;
  bool is_valid = message->type == GBD_MESSAGE_HELLO
                  && message->body.hello.version_min <= GBD_MESSAGE_VERSION
                  && message->body.hello.version_max >= GBD_MESSAGE_VERSION
                  && message->from != links->settings.self;
  if (link->is_outbound && !gbd_address_is_equal (listen, &link->address))
    is_valid = false;
  if (!is_valid || is_id_in_use (links, message->from, listen))
    return GBD_ERROR_FORMAT;

  link->id = message->from;
  link->address = *listen;
  link->zone = message->body.hello.zone;
  memcpy (link->name, message->body.hello.name, sizeof link->name);
  link->state = GBD_LINK_UNLISTED;
  gbd_link_peer_t *peer = gbd_links_find_peer (links, listen);
  if (peer && peer->is_initiator != link->is_outbound)
    return GBD_ERROR_FORMAT;
  if (peer)
    gbd_link_establish (link, peer);
  return link->state == GBD_LINK_CLOSED ? GBD_ERROR_UNAVAILABLE : GBD_OK;
}

/* Whether a link to another address is up with the same instance ID. */
static bool
is_id_in_use (const gbd_links_t *links, gbd_instance_id_t id,
              const gbd_address_t *listen)
{
  for (const gbd_link_t *link = links->first; link; link = link->next)
    {
      if (link->state == GBD_LINK_UP && link->id == id
          && !gbd_address_is_equal (&link->address, listen))
        return true;
    }
  return false;
}

static int
write_pending (gbd_link_t *link)
{
  bool is_written
      = link->tls ? write_encrypted (link) : write_unencrypted (link);
  if (!is_written)
    {
      gbd_link_close (link);
      return -1;
    }
  bool is_waiting = link->tls ? gbd_tls_has_output (link->tls)
                                    || (link->send_queue.first
                                        && gbd_tls_is_ready (link->tls))
                              : link->send_queue.first != NULL;
  if (is_waiting)
    lws_callback_on_writable (link->wsi);
  return 0;
}

static bool
write_unencrypted (gbd_link_t *link)
{
  size_t length;
  uint8_t *bytes
      = gbd_send_queue_peek (&link->send_queue, WRITE_LENGTH_MAX, &length);
  if (!bytes)
    return true;
  if (!write_socket (link, bytes, length))
    return false;
  gbd_send_queue_pop (&link->send_queue, length);
  return true;
}

/* Encrypts at most one write at a time, so that the bound of the send queue
   also bounds the encrypted bytes that wait to be sent. */
static bool
write_encrypted (gbd_link_t *link)
{
  uint8_t buffer[LWS_PRE + WRITE_LENGTH_MAX];
  size_t length;
  uint8_t *bytes
      = gbd_send_queue_peek (&link->send_queue, WRITE_LENGTH_MAX, &length);
  bool can_encrypt = bytes && gbd_tls_is_ready (link->tls)
                     && !gbd_tls_has_output (link->tls);
  if (can_encrypt)
    {
      if (gbd_tls_send (link->tls, bytes, length) != GBD_OK)
        return false;
      gbd_send_queue_pop (&link->send_queue, length);
    }
  length = gbd_tls_read_output (link->tls, buffer + LWS_PRE, WRITE_LENGTH_MAX);
  return length == 0 || write_socket (link, buffer + LWS_PRE, length);
}

static bool
write_socket (gbd_link_t *link, uint8_t *bytes, size_t length)
{
  if (lws_write (link->wsi, bytes, length, LWS_WRITE_RAW) < (int)length)
    return false;
  link->links->stats.bytes_sent += length;
  return true;
}
