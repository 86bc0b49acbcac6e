/** @file links.h
 *  TCP links between the instances of a group, over libwebsockets.
 *
 *  Each pair of instances has one link; the instance with the lower listening
 *  address opens the connection.  Both sides first send a HELLO message.  A
 *  link is closed when the other side sends nothing within the time-out, sends
 *  malformed data, or reads so slowly that the send queue fills up.  It is
 *  opened again with jittered exponential back-off.
 */
#ifndef PROGRAM_LINKS_H
#define PROGRAM_LINKS_H

#include <libwebsockets.h>

#include "gooseberrydrum/message.h"

typedef struct
{
  gbd_instance_id_t self;
  gbd_zone_id_t zone;
  char name[GBD_NAME_MAX + 1];
  gbd_address_t listen;
  /** PEM files; all NULL to run without TLS.  The strings are not copied. */
  const char *certificate;
  const char *key;
  const char *authority;
  uint32_t queue_bytes_max; /**< bound of the send queue of each link; a link
                                 that would exceed it is closed */
} gbd_links_settings_t;

/** Callbacks of the links; all are called from the event loop. */
typedef struct
{
  /** A link is up: both sides have sent HELLO.  Any of the callbacks may send
   *  messages and set the list of peers, which may close links, but must not
   *  call gbd_links_tick() or gbd_links_delete(). */
  void (*up) (void *data, gbd_instance_id_t id, gbd_zone_id_t zone,
              const char *name);
  void (*down) (void *data, gbd_instance_id_t id);
  void (*received) (void *data, const gbd_message_t *message);
} gbd_links_callbacks_t;

typedef struct gbd_links gbd_links_t;

/** Start to listen on a new vhost of the context.
 *  @param error set to a message that includes the remedy if NULL is returned
 */
gbd_links_t *gbd_links_new (struct lws_context *context,
                            const gbd_links_settings_t *settings,
                            const gbd_links_callbacks_t *callbacks, void *data,
                            const char **error);

/** Close all links without calling `down`.  Call it before the context is
 *  destroyed. */
void gbd_links_delete (gbd_links_t *links);

/** Set the listening addresses of the other instances.  Links to any other
 *  address are closed at once; missing links are opened by the next ticks.
 *  This instance's own address is skipped; at most GBD_INCARNATIONS_MAX peers
 *  are kept. */
void gbd_links_set_peers (gbd_links_t *links, const gbd_address_t *addresses,
                          uint32_t count);

/** Encode a message and append it to the send queue of a peer.
 *  @return GBD_OK; GBD_ERROR_UNAVAILABLE if the link is not up, or if its send
 *  queue is full, in which case the link is closed; GBD_ERROR_RANGE if the
 *  message exceeds a limit of the encoding. */
gbd_status_t gbd_links_send (gbd_links_t *links, gbd_instance_id_t to,
                             const gbd_message_t *message);

/** Open links whose back-off has ended and close links that timed out.  Call
 *  it about ten times a second. */
void gbd_links_tick (gbd_links_t *links, gbd_time_t now);

/** Reload the certificate files for links that are opened from now on.
 *  @return GBD_OK, or GBD_ERROR_FORMAT if a file cannot be loaded, in which
 *  case the previous certificates stay in use. */
gbd_status_t gbd_links_reload (gbd_links_t *links);

typedef struct
{
  uint64_t messages_sent;
  uint64_t messages_received;
  uint64_t bytes_sent;
  uint64_t bytes_received;
  uint64_t refused;    /**< links closed because of invalid data, a failed TLS
                            handshake or an invalid HELLO */
  uint32_t open;       /**< links that are up */
  const char *refusal; /**< reason of the last refusal, or NULL */
} gbd_links_stats_t;

void gbd_links_get_stats (const gbd_links_t *links, gbd_links_stats_t *stats);

#endif
