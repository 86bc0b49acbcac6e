/** @file prober.h
 *  Active health checks: connects to suspected backend servers, to distinguish
 *  one that has stopped from one that is slow.  No data is sent on the
 *  connections.
 */
#ifndef PROGRAM_PROBER_H
#define PROGRAM_PROBER_H

#include "gooseberrydrum/pool.h"

/** Limit of concurrent probes; bounds descriptors and packets when many
 *  backend servers fail at once.  Each probe takes at most
 *  GBD_SUSPICION_PROBE_TIMEOUT. */
#define GBD_PROBER_CONCURRENCY_MAX 16

/** Called when the result of a probe differs from the previous one.
 *  @param began_at start of the probe */
typedef void (*gbd_probe_callback_t) (void *data,
                                      const gbd_pool_server_t *server,
                                      gbd_time_t began_at, gbd_time_t now);

typedef struct gbd_prober gbd_prober_t;

/** @param callback called after the suspicion of the backend server was
 *  updated
 *  @return NULL if memory is exhausted. */
gbd_prober_t *gbd_prober_new (gbd_pool_t *pool, gbd_probe_callback_t callback,
                              void *data);
void gbd_prober_delete (gbd_prober_t *prober);

/** Collect results of probes and start the probes that are due. */
void gbd_prober_tick (gbd_prober_t *prober, gbd_time_t now);

typedef struct
{
  uint64_t results[GBD_PROBE_COUNT]; /**< GBD_PROBE_NONE: aborted, see
                                          gbd_prober_get_stats() */
} gbd_prober_stats_t;

/** A probe counts as aborted if the process was paused during the probe, or if
 *  socket() or connect() failed immediately with an error other than
 *  ECONNREFUSED. */
void gbd_prober_get_stats (const gbd_prober_t *prober,
                           gbd_prober_stats_t *stats);

#endif
