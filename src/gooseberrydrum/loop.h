/** @file loop.h
 *  Parts of the event loop that all policies share: the clock, signals as a
 *  file descriptor, and polling of file descriptors.
 */
#ifndef PROGRAM_LOOP_H
#define PROGRAM_LOOP_H

#include <libwebsockets.h>

#include "gooseberrydrum/types.h"

/** A file descriptor that the loop polls.  It remains owned by the caller. */
typedef struct
{
  void *data;
  int fd;
  void (*handle) (void *data, int fd);
} gbd_descriptor_t;

/** Protocols of the libwebsockets context that polls the descriptors. */
extern const struct lws_protocols gbd_loop_protocols[];

/** Start to poll descriptors.  The array must outlive the context.
 *  @return false if a descriptor cannot be polled. */
bool gbd_loop_poll_descriptors (struct lws_context *context,
                                gbd_descriptor_t *descriptors, size_t count);

/** Run the event loop until a flag is set.
 *  @return false if the loop fails. */
bool gbd_loop_run (struct lws_context *context, const bool *is_done);

/** Block SIGTERM, SIGINT, SIGHUP and SIGUSR1 and open a signalfd for them;
 *  ignore SIGPIPE.
 *  @return the descriptor, or -1. */
int gbd_loop_open_signals (void);

/** Time in microseconds of a monotonic clock that includes the time during
 *  which the machine was suspended. */
gbd_time_t gbd_loop_now (void *data);

#endif
