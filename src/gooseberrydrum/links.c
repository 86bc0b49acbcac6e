#include "links.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "link.h"

#define BACKOFF_FIRST (100 * GBD_MILLISECOND)
#define BACKOFF_LONGEST (5 * GBD_SECOND)
#define HELLO_TIMEOUT (5 * GBD_SECOND)
#define RECEIVE_TIMEOUT (5 * GBD_SECOND)
#define HANDSHAKE_TIMEOUT_S 5
/* Log lines on refused links; connections from outside the group must not be
   able to fill the log. */
#define REFUSALS_PER_SECOND 1
#define REFUSALS_BURST 10
/** A longer time between two ticks means that this process was suspended. */
#define SUSPENSION_MIN GBD_SECOND

static gbd_status_t load_tls (const gbd_links_settings_t *settings,
                              SSL_CTX **context);
static struct lws_vhost *make_vhost (gbd_links_t *links);
static void free_vhost_user (struct lws_vhost *vhost, void *vhost_user);
static void extend_timeouts (gbd_links_t *links, gbd_time_t suspension);
static void free_closed (gbd_links_t *links);
static void close_timed_out (gbd_links_t *links);
static void connect_due_peers (gbd_links_t *links);
static void init_peer (const gbd_links_t *links, gbd_link_peer_t *peer,
                       const gbd_address_t *address);
static bool contains_address (const gbd_address_t *addresses, uint32_t count,
                              const gbd_address_t *address);
static void close_removed_peers (gbd_links_t *links);
static void establish_newly_listed (gbd_links_t *links);
static int compare_addresses (const gbd_address_t *a, const gbd_address_t *b);

static const struct lws_protocols protocols[] = {
  { "gooseberrydrum-link", gbd_link_callback, 0, 0, 0, NULL, 0 },
  { NULL, NULL, 0, 0, 0, NULL, 0 },
};

gbd_links_t *
gbd_links_new (struct lws_context *context,
               const gbd_links_settings_t *settings,
               const gbd_links_callbacks_t *callbacks, void *data,
               const char **error)
{
  gbd_links_t *links = calloc (1, sizeof *links);
  if (!links)
    {
      *error = "out of memory for links; raise the memory limit";
      return NULL;
    }
  links->context = context;
  links->settings = *settings;
  links->callbacks = *callbacks;
  links->data = data;
  links->now = GBD_TIME_NEVER;
  gbd_token_bucket_init (&links->refusals, REFUSALS_PER_SECOND, REFUSALS_BURST,
                         GBD_TIME_NEVER);

  if (load_tls (settings, &links->tls) != GBD_OK)
    {
      *error = "cannot load the certificate files; check that the PEM files "
               "of --tls-certificate, --tls-key and --tls-authority belong "
               "together";
      free (links);
      return NULL;
    }
  links->vhost_user = calloc (1, sizeof *links->vhost_user);
  if (links->vhost_user)
    {
      links->vhost_user->links = links;
      links->vhost = make_vhost (links);
    }
  if (!links->vhost)
    {
      *error = "cannot listen for links; choose a free address of this "
               "instance with --link-listen";
      SSL_CTX_free (links->tls);
      free (links);
      return NULL;
    }
  return links;
}

void
gbd_links_delete (gbd_links_t *links)
{
  if (!links)
    return;
  for (gbd_link_t *link = links->first; link; link = link->next)
    {
      if (link->wsi)
        lws_set_opaque_user_data (link->wsi, NULL);
      gbd_frame_decoder_clear (&link->decoder);
      gbd_send_queue_clear (&link->send_queue);
      gbd_tls_delete (link->tls);
      link->state = GBD_LINK_CLOSED;
    }
  links->vhost_user->links = NULL;
  lws_vhost_destroy (links->vhost);
  free_closed (links);
  SSL_CTX_free (links->tls);
  free (links);
}

void
gbd_links_set_peers (gbd_links_t *links, const gbd_address_t *addresses,
                     uint32_t count)
{
  gbd_link_peer_t peers[GBD_PEERS_MAX] = { 0 };
  uint32_t peer_count = 0;
  for (uint32_t i = 0; i < count && peer_count < GBD_PEERS_MAX; i++)
    {
      if (contains_address (addresses, i, &addresses[i])
          || gbd_address_is_equal (&addresses[i], &links->settings.listen))
        continue;
      const gbd_link_peer_t *existing
          = gbd_links_find_peer (links, &addresses[i]);
      if (existing)
        peers[peer_count] = *existing;
      else
        init_peer (links, &peers[peer_count], &addresses[i]);
      peer_count++;
    }
  memcpy (links->peers, peers, peer_count * sizeof peers[0]);
  links->peer_count = peer_count;
  close_removed_peers (links);
  establish_newly_listed (links);
}

gbd_status_t
gbd_links_send (gbd_links_t *links, gbd_instance_id_t to,
                const gbd_message_t *message)
{
  gbd_link_t *link = links->first;
  while (link && (link->state != GBD_LINK_UP || link->id != to))
    link = link->next;
  if (!link)
    return GBD_ERROR_UNAVAILABLE;

  size_t length;
  uint8_t *bytes = gbd_message_encode (message, &length);
  if (!bytes)
    return GBD_ERROR_RANGE;
  gbd_status_t status = gbd_link_push (link, bytes, length);
  free (bytes);
  if (status == GBD_OK)
    links->stats.messages_sent++;
  return status;
}

void
gbd_links_tick (gbd_links_t *links, gbd_time_t now)
{
  if (now - links->now > SUSPENSION_MIN)
    extend_timeouts (links, now - links->now);
  links->now = now;
  free_closed (links);
  close_timed_out (links);
  connect_due_peers (links);
}

gbd_status_t
gbd_links_reload (gbd_links_t *links)
{
  SSL_CTX *context = NULL;
  gbd_status_t status = load_tls (&links->settings, &context);
  if (status != GBD_OK)
    return status;
  /* The open links hold references to the previous context. */
  SSL_CTX_free (links->tls);
  links->tls = context;
  return GBD_OK;
}

void
gbd_links_get_stats (const gbd_links_t *links, gbd_links_stats_t *stats)
{
  *stats = links->stats;
}

gbd_link_peer_t *
gbd_links_find_peer (gbd_links_t *links, const gbd_address_t *address)
{
  for (uint32_t i = 0; i < links->peer_count; i++)
    {
      if (gbd_address_is_equal (&links->peers[i].address, address))
        return &links->peers[i];
    }
  return NULL;
}

/* Leaves *context unset if no file is configured.  It is an error if only some
   of the three files are configured. */
static gbd_status_t
load_tls (const gbd_links_settings_t *settings, SSL_CTX **context)
{
  gbd_tls_files_t files
      = { settings->certificate, settings->key, settings->authority };
  if (!files.certificate && !files.key && !files.authority)
    return GBD_OK;
  if (!files.certificate || !files.key || !files.authority)
    return GBD_ERROR_FORMAT;
  return gbd_tls_load (&files, context);
}

static struct lws_vhost *
make_vhost (gbd_links_t *links)
{
  const gbd_address_t *listen = &links->settings.listen;
  /* This module closes idle links itself; libwebsockets must not. */
  static const lws_retry_bo_t no_idle_policy;
  gbd_links_vhost_user_t *vhost_user = links->vhost_user;
  inet_ntop (listen->family == 6 ? AF_INET6 : AF_INET, listen->ip,
             vhost_user->host, sizeof vhost_user->host);
  memcpy (vhost_user->name, links->settings.name, sizeof vhost_user->name);
  struct lws_context_creation_info info = {
    .vhost_name = vhost_user->name,
    .iface = vhost_user->host,
    .port = listen->port,
    .protocols = protocols,
    .user = vhost_user,
    .finalize = free_vhost_user,
    .finalize_arg = vhost_user,
    .listen_accept_role = "raw-skt",
    .listen_accept_protocol = protocols[0].name,
    .timeout_secs = HANDSHAKE_TIMEOUT_S,
    .connect_timeout_secs = HANDSHAKE_TIMEOUT_S,
    .retry_and_idle_policy = &no_idle_policy,
    .options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG
               | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND,
  };
  if (listen->family == 4)
    info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
  return lws_create_vhost (links->context, &info);
}

static void
free_vhost_user (struct lws_vhost *vhost, void *vhost_user)
{
  (void)vhost;
  free (vhost_user);
}

/* Moves the time-outs past a suspension of this process, as the bytes that
   peers sent meanwhile are still unread in the sockets. */
static void
extend_timeouts (gbd_links_t *links, gbd_time_t suspension)
{
  for (gbd_link_t *link = links->first; link; link = link->next)
    {
      link->opened_at += suspension;
      link->received_at += suspension;
    }
}

static void
free_closed (gbd_links_t *links)
{
  gbd_link_t **position = &links->first;
  while (*position)
    {
      gbd_link_t *link = *position;
      if (link->state != GBD_LINK_CLOSED)
        {
          position = &link->next;
          continue;
        }
      *position = link->next;
      free (link);
    }
}

/* Callbacks add links only at the front of the list and remove none, so that
   the iteration stays valid after any callback. */
static void
close_timed_out (gbd_links_t *links)
{
  for (gbd_link_t *link = links->first; link; link = link->next)
    {
      bool is_timed_out
          = link->state == GBD_LINK_UP
                ? links->now - link->received_at > RECEIVE_TIMEOUT
                : links->now - link->opened_at > HELLO_TIMEOUT;
      if (is_timed_out)
        gbd_link_close (link);
    }
}

static void
connect_due_peers (gbd_links_t *links)
{
  for (uint32_t i = 0; i < links->peer_count; i++)
    {
      gbd_link_peer_t *peer = &links->peers[i];
      if (peer->is_initiator && !peer->link && links->now >= peer->retry_at)
        gbd_link_open (links, peer);
    }
}

static void
init_peer (const gbd_links_t *links, gbd_link_peer_t *peer,
           const gbd_address_t *address)
{
  const gbd_links_settings_t *settings = &links->settings;
  uint64_t seed = gbd_rendezvous_weight (settings->self, address->port);
  memset (peer, 0, sizeof *peer);
  peer->address = *address;
  peer->is_initiator = compare_addresses (&settings->listen, address) < 0;
  peer->retry_at = GBD_TIME_NEVER;
  gbd_backoff_init (&peer->backoff, BACKOFF_FIRST, BACKOFF_LONGEST, seed);
}

static bool
contains_address (const gbd_address_t *addresses, uint32_t count,
                  const gbd_address_t *address)
{
  for (uint32_t i = 0; i < count; i++)
    {
      if (gbd_address_is_equal (&addresses[i], address))
        return true;
    }
  return false;
}

static void
close_removed_peers (gbd_links_t *links)
{
  for (gbd_link_t *link = links->first; link; link = link->next)
    {
      bool has_peer = link->state == GBD_LINK_UP
                      || link->state == GBD_LINK_CONNECTING
                      || link->is_outbound;
      if (has_peer && !gbd_links_find_peer (links, &link->address))
        gbd_link_close (link);
    }
}

/* Establishes the links of peers that connected before this instance listed
   them. */
static void
establish_newly_listed (gbd_links_t *links)
{
  for (gbd_link_t *link = links->first; link; link = link->next)
    {
      if (link->state != GBD_LINK_UNLISTED)
        continue;
      gbd_link_peer_t *peer = gbd_links_find_peer (links, &link->address);
      if (peer && peer->is_initiator)
        gbd_link_close (link);
      else if (peer)
        gbd_link_establish (link, peer);
    }
}

static int
compare_addresses (const gbd_address_t *a, const gbd_address_t *b)
{
  if (a->family != b->family)
    return a->family < b->family ? -1 : 1;
  int order = memcmp (a->ip, b->ip, sizeof a->ip);
  if (order != 0)
    return order;
  return (a->port > b->port) - (a->port < b->port);
}
