/** @file send_queue.h
 *  Bounded queue of bytes to send on a socket.
 */
#ifndef PROGRAM_SEND_QUEUE_H
#define PROGRAM_SEND_QUEUE_H

#include "gooseberrydrum/types.h"

typedef struct gbd_send_queue_entry gbd_send_queue_entry_t;

/** All members but bytes_max are zero if the queue is empty. */
typedef struct
{
  gbd_send_queue_entry_t *first;
  gbd_send_queue_entry_t *last;
  size_t bytes;     /**< number of bytes that are queued and not sent yet */
  size_t bytes_max; /**< limit of bytes */
} gbd_send_queue_t;

/** Append a copy of the bytes.
 *  @return GBD_OK, or GBD_ERROR_MEMORY if the queue would exceed bytes_max or
 *  memory is exhausted. */
gbd_status_t gbd_send_queue_push (gbd_send_queue_t *send_queue,
                                  const uint8_t *bytes, size_t length);

/** Get the oldest bytes, with LWS_PRE writable bytes before them as
 *  lws_write() requires.
 *  @param length set to the number of bytes, at most length_max
 *  @return NULL if the queue is empty. */
uint8_t *gbd_send_queue_peek (const gbd_send_queue_t *send_queue,
                              size_t length_max, size_t *length);

/** Remove the oldest bytes.
 *  @param length at most the length that the last peek returned */
void gbd_send_queue_pop (gbd_send_queue_t *send_queue, size_t length);

void gbd_send_queue_clear (gbd_send_queue_t *send_queue);

#endif
