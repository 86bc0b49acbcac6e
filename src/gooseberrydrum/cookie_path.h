/** @file cookie_path.h
 *  Socket of the packet path under the cookie policy: batches of datagrams
 *  in, decisions of the director, batches out.
 */
#ifndef PROGRAM_COOKIE_PATH_H
#define PROGRAM_COOKIE_PATH_H

#include "gooseberrydrum/director.h"
#include "gooseberrydrum/packet_codec.h"

/** Told of each decision that was carried out, and what its packet showed.
 */
typedef void (*gbd_cookie_datapath_observer_t) (
    void *data, const gbd_packet_t *packet,
    const gbd_director_decision_t *decision,
    const gbd_flow_observation_t *observation, gbd_time_t now);

typedef struct
{
  gbd_address_t listen; /**< datagrams of the fabric; resets go to callers at
                             the same port */
  const gbd_packet_codec_t *codec;
  uint32_t socket_buffer; /**< bytes, each direction */
  gbd_time_t (*clock) (void *data);
  gbd_cookie_datapath_observer_t observe;
  void *data; /**< of clock and observe */
} gbd_cookie_datapath_settings_t;

typedef struct gbd_cookie_datapath gbd_cookie_datapath_t;

/** Open and bind the socket, non-blocking.
 *  @param error set to a text that names the remedy when NULL is returned */
gbd_cookie_datapath_t *
gbd_cookie_datapath_new (const gbd_cookie_datapath_settings_t *settings,
                         gbd_director_t *director, const char **error);
void gbd_cookie_datapath_delete (gbd_cookie_datapath_t *path);

int gbd_cookie_datapath_get_fd (const gbd_cookie_datapath_t *path);

/** Handle what waits, a bounded number of batches.
 *  @return packets handled. */
uint32_t gbd_cookie_datapath_receive (gbd_cookie_datapath_t *path);

typedef struct
{
  uint64_t packets;
  uint64_t bytes;
  uint64_t to_backend_packets;
  uint64_t to_backend_bytes;
  uint64_t resets;
  uint64_t drops[GBD_DROP_COUNT];
  gbd_time_t newest_packet_at;
} gbd_cookie_datapath_stats_t;

void gbd_cookie_datapath_get_stats (const gbd_cookie_datapath_t *path,
                                    gbd_cookie_datapath_stats_t *stats);

#endif
