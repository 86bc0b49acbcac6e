/** @file link.h
 *  One connection to another instance: HELLO exchange, framing, send queue
 *  and close.
 */
#ifndef PROGRAM_LINK_H
#define PROGRAM_LINK_H

#include "frame_decoder.h"
#include "links.h"
#include "send_queue.h"
#include "tls.h"

#include "gooseberrydrum/retry.h"

#define GBD_PEERS_MAX GBD_INCARNATIONS_MAX

/** Longest HELLO.  A longer first frame is refused, which bounds the memory
 *  that an unidentified connection can use. */
#define GBD_HELLO_LENGTH_MAX ((size_t)256)

typedef enum
{
  GBD_LINK_CONNECTING,
  GBD_LINK_UNIDENTIFIED, /**< connected, no HELLO received yet */
  GBD_LINK_UNLISTED,     /**< HELLO received, but its address is not in the
                              list of peers yet */
  GBD_LINK_UP,
  GBD_LINK_CLOSED /**< freed by the next tick */
} gbd_link_state_t;

/** One connection. */
typedef struct gbd_link
{
  struct gbd_link *next;
  gbd_links_t *links;
  struct lws *wsi; /**< NULL after the connection was closed */
  gbd_link_state_t state;
  bool is_outbound;
  gbd_address_t address; /**< listening address of the other side */
  gbd_instance_id_t id;
  gbd_zone_id_t zone;
  char name[GBD_NAME_MAX + 1];
  gbd_time_t opened_at;
  gbd_time_t received_at; /**< time of the last received bytes */
  gbd_tls_t *tls;         /**< NULL on a link without TLS */
  gbd_frame_decoder_t decoder;
  gbd_send_queue_t send_queue;
} gbd_link_t;

/** An instance in the list of peers; see gbd_links_set_peers(). */
typedef struct
{
  gbd_link_t *link; /**< connecting or open; NULL if there is none */
  gbd_time_t retry_at;
  gbd_backoff_t backoff;
  gbd_address_t address;
  bool is_initiator; /**< this side opens the connection */
} gbd_link_peer_t;

/** User data of the vhost.  It is freed with the vhost and not with the
 *  links, because lws_vhost_destroy() is asynchronous. */
typedef struct
{
  char name[GBD_NAME_MAX + 1];
  char host[GBD_ADDRESS_TEXT_MAX];
  gbd_links_t *links; /**< NULL after gbd_links_delete() */
} gbd_links_vhost_user_t;

struct gbd_links
{
  struct lws_context *context;
  struct lws_vhost *vhost;
  SSL_CTX *tls;                       /**< for new links; NULL without TLS */
  gbd_links_vhost_user_t *vhost_user; /**< freed with the vhost */
  gbd_links_settings_t settings;
  gbd_links_callbacks_t callbacks;
  void *data;
  gbd_time_t now; /**< time of the last tick */
  gbd_link_t *first;
  gbd_link_peer_t peers[GBD_PEERS_MAX];
  uint32_t peer_count;
  gbd_links_stats_t stats;
  gbd_token_bucket_t refusals; /**< rate limit of log lines on refused links */
};

/** libwebsockets callback of accepted and outgoing links. */
int gbd_link_callback (struct lws *wsi, enum lws_callback_reasons reason,
                       void *user, void *in, size_t length);

/** Start to connect to a peer.  The connection completes or fails in
 *  gbd_link_callback(). */
void gbd_link_open (gbd_links_t *links, gbd_link_peer_t *peer);

/** Close a link at once in any state.  Calls the `down` callback if the link
 *  was up. */
void gbd_link_close (gbd_link_t *link);

/** Set a link to GBD_LINK_UP after a valid HELLO from a listed peer.  Replaces
 *  an earlier link to the same peer. */
void gbd_link_establish (gbd_link_t *link, gbd_link_peer_t *peer);

/** Append an encoded message to the send queue; closes the link if the queue
 *  is full.
 *  @return GBD_OK or GBD_ERROR_UNAVAILABLE. */
gbd_status_t gbd_link_push (gbd_link_t *link, const uint8_t *bytes,
                            size_t length);

/** Find a listed peer by its listening address.
 *  @return NULL if no peer has this address. */
gbd_link_peer_t *gbd_links_find_peer (gbd_links_t *links,
                                      const gbd_address_t *address);

#endif
