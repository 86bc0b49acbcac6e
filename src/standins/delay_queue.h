/** @file delay_queue.h
 *  Queue of delayed datagrams, ordered by the time at which they are sent.
 */
#ifndef STANDINS_DELAY_QUEUE_H
#define STANDINS_DELAY_QUEUE_H

#include "gooseberrydrum/types.h"

typedef struct
{
  gbd_time_t due; /**< time at which the datagram is sent */
  uint64_t order; /**< keeps datagrams with the same time in order */
  gbd_address_t to;
  size_t length;
  uint8_t bytes[]; /**< the datagram */
} delayed_datagram_t;

typedef struct delay_queue delay_queue_t;

delay_queue_t *delay_queue_new (void);
void delay_queue_delete (delay_queue_t *queue);

void delay_queue_add (delay_queue_t *queue, gbd_time_t due,
                      const gbd_address_t *to, const uint8_t *bytes,
                      size_t length);

/** Get the time at which the first datagram is due; INT64_MAX if the queue is
 *  empty. */
gbd_time_t delay_queue_get_next_due (const delay_queue_t *queue);

/** Take the first datagram if it is due.
 *  @return the datagram, to be freed with g_free(), or NULL. */
delayed_datagram_t *delay_queue_take (delay_queue_t *queue, gbd_time_t now);

#endif
