/** @file loop.h
 *  What the event loop of every kind of instance has in common: its clock,
 *  signals as a descriptor, and descriptors that it polls.
 */
#ifndef PROGRAM_LOOP_H
#define PROGRAM_LOOP_H

#include <libwebsockets.h>

#include "gooseberrydrum/types.h"

/** A descriptor that the loop polls for its owner, who keeps it. */
typedef struct
{
  void *data;
  int fd;
  void (*handle) (void *data, int fd);
} gbd_descriptor_t;

/** Protocols of a context that adopts descriptors. */
extern const struct lws_protocols gbd_loop_protocols[];

/** Poll descriptors; the array must outlive the context.
 *  @return false if one cannot be polled. */
bool gbd_loop_adopt (struct lws_context *context,
                     gbd_descriptor_t *descriptors, size_t count);

/** Serve until a flag is set.  @return false if the loop fails. */
bool gbd_loop_run (struct lws_context *context, const bool *is_done);

/** Block SIGTERM, SIGINT, SIGHUP and SIGUSR1 and receive them by a
 *  descriptor; ignore SIGPIPE.
 *  @return the descriptor, or -1. */
int gbd_loop_open_signals (void);

/** Microseconds of a clock that goes on while the machine is suspended, so
 *  that time spent in a pause counts. */
gbd_time_t gbd_loop_now (void *data);

#endif
