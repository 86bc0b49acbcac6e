/** @file links.h
 *  TCP links between the instances of a group, over libwebsockets.
 *
 *  One link a pair: the instance with the lower listening address connects.
 *  Every link starts with HELLO both ways; a link that stays silent, sends
 *  what does not decode, or does not read its queue, is closed and opened
 *  again with jittered exponential backoff.
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
  /** PEM files; all NULL for plain links.  The texts are kept, not copied. */
  const char *certificate;
  const char *key;
  const char *authority;
  uint32_t queue_bytes_max; /**< of one link; over it the link is closed */
} gbd_links_settings_t;

/** What links report; all called from the loop. */
typedef struct
{
  /** A link is open both ways.  One of the callbacks may send, set the peers
   *  and so close links, but not tick or delete. */
  void (*up) (void *data, gbd_instance_id_t id, gbd_zone_id_t zone,
              const char *name);
  void (*down) (void *data, gbd_instance_id_t id);
  void (*received) (void *data, const gbd_message_t *message);
} gbd_links_callbacks_t;

typedef struct gbd_links gbd_links_t;

/** Listen on a vhost of its own in the context.
 *  @param error set to a text that names the remedy when NULL is returned */
gbd_links_t *gbd_links_new (struct lws_context *context,
                            const gbd_links_settings_t *settings,
                            const gbd_links_callbacks_t *callbacks, void *data,
                            const char **error);

/** Close all links without reports.  Before the context is destroyed. */
void gbd_links_delete (gbd_links_t *links);

/** Say which addresses the other instances listen on; links to others are
 *  closed at once, missing ones opened by the next ticks.  The own address is
 *  skipped; addresses past GBD_LIVES_MAX are ignored. */
void gbd_links_set_peers (gbd_links_t *links, const gbd_address_t *addresses,
                          uint32_t count);

/** Queue a message for a peer; it is encoded at once.
 *  @return GBD_OK; GBD_ERROR_UNAVAILABLE when there is no link to it or its
 *  queue is full, which closes it; GBD_ERROR_RANGE for a message that passes
 *  a bound. */
gbd_status_t gbd_links_send (gbd_links_t *links, gbd_instance_id_t to,
                             const gbd_message_t *message);

/** Open links that are due; call about ten times a second. */
void gbd_links_tick (gbd_links_t *links, gbd_time_t now);

/** Load the certificate files again for links opened from now on.
 *  @return GBD_ERROR_FORMAT, the former ones staying in use, if they do not
 *  load. */
gbd_status_t gbd_links_reload (gbd_links_t *links);

typedef struct
{
  uint64_t messages_sent;
  uint64_t messages_received;
  uint64_t bytes_sent;
  uint64_t bytes_received;
  uint64_t refused; /**< links closed for what the other side sent */
  uint32_t open;
  const char *refusal; /**< reason of the newest refused one, or NULL */
} gbd_links_stats_t;

void gbd_links_get_stats (const gbd_links_t *links, gbd_links_stats_t *stats);

#endif
