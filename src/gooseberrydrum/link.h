/** @file link.h
 *  One connection to another instance: HELLO, framing, queue and end.
 */
#ifndef PROGRAM_LINK_H
#define PROGRAM_LINK_H

#include "frames.h"
#include "links.h"
#include "outbox.h"
#include "tls.h"

#include "gooseberrydrum/retry.h"

#define GBD_PEERS_MAX GBD_LIVES_MAX

/** Longest HELLO; more than that is not read from a stranger. */
#define GBD_HELLO_LENGTH_MAX ((size_t)256)

typedef enum
{
  GBD_LINK_CONNECTING,
  GBD_LINK_STRANGER, /**< open, the other side has not said hello */
  GBD_LINK_WAITING,  /**< said hello from an address that is not known yet */
  GBD_LINK_UP,
  GBD_LINK_CLOSED /**< freed by the next tick */
} gbd_link_state_t;

/** One connection. */
typedef struct gbd_link
{
  struct gbd_link *next;
  gbd_links_t *links;
  struct lws *wsi; /**< NULL once its end was seen */
  gbd_link_state_t state;
  bool is_outbound;
  gbd_address_t address; /**< where the other side listens */
  gbd_instance_id_t id;
  gbd_zone_id_t zone;
  char name[GBD_NAME_MAX + 1];
  gbd_time_t opened_at;
  gbd_time_t heard_at; /**< newest bytes from the other side */
  gbd_tls_t *tls;      /**< NULL on a plain link */
  gbd_frames_t frames;
  gbd_outbox_t outbox;
} gbd_link_t;

/** Another instance that set_peers has named. */
typedef struct
{
  gbd_link_t *link; /**< connecting or open; NULL if there is none */
  gbd_time_t retry_at;
  gbd_backoff_t backoff;
  gbd_address_t address;
  bool connects; /**< this side connects to it */
} gbd_link_peer_t;

/** What the vhost refers to; outlives the links, as the library destroys a
 *  vhost later than it is told to. */
typedef struct
{
  char name[GBD_NAME_MAX + 1];
  char host[GBD_ADDRESS_TEXT_MAX];
  gbd_links_t *links; /**< NULL once deleted */
} gbd_links_owner_t;

struct gbd_links
{
  struct lws_context *context;
  struct lws_vhost *vhost;
  SSL_CTX *tls;             /**< of new links; NULL for plain ones */
  gbd_links_owner_t *owner; /**< freed with the vhost */
  gbd_links_settings_t settings;
  gbd_links_callbacks_t callbacks;
  void *data;
  gbd_time_t now; /**< of the newest tick */
  gbd_link_t *first;
  gbd_link_peer_t peers[GBD_PEERS_MAX];
  uint32_t peer_count;
  gbd_links_stats_t stats;
  gbd_token_bucket_t refusals; /**< log lines of refused links */
};

/** Callback of the protocol that listening and connecting sides use. */
int gbd_link_callback (struct lws *wsi, enum lws_callback_reasons reason,
                       void *user, void *in, size_t length);

/** Connect to a peer; the outcome is reported later. */
void gbd_link_open (gbd_links_t *links, gbd_link_peer_t *peer);

/** End a link at once, whatever its state; reports `down` if it was up. */
void gbd_link_close (gbd_link_t *link);

/** Take up a link whose HELLO was in order and whose peer is known. */
void gbd_link_admit (gbd_link_t *link, gbd_link_peer_t *peer);

/** Queue encoded bytes.  A link whose queue is full is closed.
 *  @return GBD_OK or GBD_ERROR_UNAVAILABLE. */
gbd_status_t gbd_link_push (gbd_link_t *link, const uint8_t *bytes,
                            size_t length);

/** Peer that listens on an address, or NULL. */
gbd_link_peer_t *gbd_links_find_peer (gbd_links_t *links,
                                      const gbd_address_t *address);

#endif
