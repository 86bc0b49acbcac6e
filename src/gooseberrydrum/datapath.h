/** @file datapath.h
 *  Data path over UDP sockets: receives datagrams in batches, lets the engine
 *  decide on each packet and sends the results in batches.
 */
#ifndef PROGRAM_DATAPATH_H
#define PROGRAM_DATAPATH_H

#include "gooseberrydrum/engine.h"

/** Clock in microseconds; a callback so that tests can set the time. */
typedef gbd_time_t (*gbd_clock_t) (void *data);

typedef struct
{
  gbd_address_t fabric_listen; /**< receives packets from the fabric */
  gbd_address_t peer_listen;   /**< receives packets with a shim header from
                                    other instances */
  uint8_t key[16];             /**< group key, authenticates shim headers */
  uint32_t socket_buffer;      /**< bytes in each direction */
  gbd_clock_t clock;
  void *clock_data;
} gbd_datapath_settings_t;

typedef struct gbd_datapath gbd_datapath_t;

/** Open and bind both sockets in non-blocking mode.
 *  @param error set to a message that includes the remedy if NULL is returned
 */
gbd_datapath_t *gbd_datapath_new (const gbd_datapath_settings_t *settings,
                                  gbd_engine_t *engine, const char **error);
void gbd_datapath_delete (gbd_datapath_t *datapath);

int gbd_datapath_get_fabric_fd (const gbd_datapath_t *datapath);
int gbd_datapath_get_peer_fd (const gbd_datapath_t *datapath);

/** Set the address at which an instance receives packets from peers; replaces
 *  a previous address.
 *  @return GBD_OK, or GBD_ERROR_MEMORY if the list of peers is full. */
gbd_status_t gbd_datapath_set_peer (gbd_datapath_t *datapath,
                                    gbd_instance_id_t id,
                                    const gbd_address_t *address);
void gbd_datapath_remove_peer (gbd_datapath_t *datapath, gbd_instance_id_t id);

/** Process the datagrams that are ready on one of the two descriptors, up to a
 *  limit.  The clock is read once per batch, after receiving and before the
 *  first decision.
 *  @return number of datagrams processed */
uint32_t gbd_datapath_receive (gbd_datapath_t *datapath, int fd);

typedef struct
{
  uint64_t fabric_packets;
  uint64_t fabric_bytes;
  uint64_t peer_packets;
  uint64_t peer_bytes;
  uint64_t to_backend_packets;
  uint64_t to_backend_bytes;
  uint64_t to_peer_packets;
  uint64_t to_peer_bytes;
  uint64_t resets;
  uint64_t drops[GBD_DROP_COUNT];
  gbd_time_t last_packet_at; /**< arrival of the last packet from the
                                    fabric */
} gbd_datapath_stats_t;

void gbd_datapath_get_stats (const gbd_datapath_t *datapath,
                             gbd_datapath_stats_t *stats);

#endif
