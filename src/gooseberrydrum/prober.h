/** @file prober.h
 *  Connects to suspected backend servers, to tell one that has ended from one
 *  that is slow.  Nothing is sent on the connections.
 */
#ifndef PROGRAM_PROBER_H
#define PROGRAM_PROBER_H

#include "gooseberrydrum/pool.h"

/** Probes at one time: bounds descriptors and packets when many backend
 *  servers fall silent at once; each lasts GBD_SUSPICION_PROBE_TIMEOUT at
 * most.
 */
#define GBD_PROBER_CONCURRENCY_MAX 16

/** A probe told something else than the one before.
 *  @param began_at when it was sent */
typedef void (*gbd_probe_callback_t) (void *data,
                                      const gbd_pool_server_t *server,
                                      gbd_time_t began_at, gbd_time_t now);

typedef struct gbd_prober gbd_prober_t;

/** @param news called for what the suspicion of a backend server took in
 *  @return NULL when memory is short. */
gbd_prober_t *gbd_prober_new (gbd_pool_t *pool, gbd_probe_callback_t callback,
                              void *data);
void gbd_prober_delete (gbd_prober_t *prober);

/** Take in what probes have shown, and start those that are due. */
void gbd_prober_tick (gbd_prober_t *prober, gbd_time_t now);

typedef struct
{
  uint64_t results[GBD_PROBE_COUNT]; /**< none: given up, see below */
} gbd_prober_stats_t;

/** A probe is given up without a result when its time passed unseen: this
 *  process was paused, or could not open a socket. */
void gbd_prober_get_stats (const gbd_prober_t *prober,
                           gbd_prober_stats_t *stats);

#endif
