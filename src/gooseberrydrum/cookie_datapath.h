/** @file cookie_datapath.h
 *  Data path of the cookie policy: receives batches of datagrams from the
 *  fabric, routes each one with the director and sends the results in batches.
 */
#ifndef PROGRAM_COOKIE_DATAPATH_H
#define PROGRAM_COOKIE_DATAPATH_H

#include "gooseberrydrum/director.h"
#include "gooseberrydrum/packet_codec.h"

/** Called for each decision that was carried out.
 *  @param observation what the packet shows about its backend server */
typedef void (*gbd_cookie_datapath_observer_t) (
    void *data, const gbd_packet_t *packet,
    const gbd_director_decision_t *decision,
    const gbd_flow_observation_t *observation, gbd_time_t now);

typedef struct
{
  gbd_address_t listen; /**< address for datagrams of the fabric; resets are
                             sent to callers at the same port */
  const gbd_packet_codec_t *codec;
  uint32_t socket_buffer; /**< size of each socket buffer, bytes */
  gbd_time_t (*clock) (void *data);
  gbd_cookie_datapath_observer_t observe;
  void *data; /**< passed to clock and observe */
} gbd_cookie_datapath_settings_t;

typedef struct gbd_cookie_datapath gbd_cookie_datapath_t;

/** Open and bind the non-blocking socket.
 *  @param error set to a message that names the remedy if NULL is returned */
gbd_cookie_datapath_t *
gbd_cookie_datapath_new (const gbd_cookie_datapath_settings_t *settings,
                         gbd_director_t *director, const char **error);
void gbd_cookie_datapath_delete (gbd_cookie_datapath_t *datapath);

int gbd_cookie_datapath_get_fd (const gbd_cookie_datapath_t *datapath);

/** Process the datagrams in the receive queue, at most a fixed number of
 *  batches.
 *  @return number of packets processed. */
uint32_t gbd_cookie_datapath_receive (gbd_cookie_datapath_t *datapath);

typedef struct
{
  uint64_t packets;
  uint64_t bytes;
  uint64_t to_backend_packets;
  uint64_t to_backend_bytes;
  uint64_t resets;
  uint64_t drops[GBD_DROP_COUNT];
  gbd_time_t last_packet_at;
} gbd_cookie_datapath_stats_t;

void gbd_cookie_datapath_get_stats (const gbd_cookie_datapath_t *datapath,
                                    gbd_cookie_datapath_stats_t *stats);

#endif
