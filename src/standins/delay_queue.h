/** @file delay_queue.h
 *  Datagrams that are to be sent later, in the order of their times.
 */
#ifndef STANDINS_DELAY_QUEUE_H
#define STANDINS_DELAY_QUEUE_H

#include "gooseberrydrum/types.h"

typedef struct
{
  gbd_time_t due;
  uint64_t order; /**< keeps datagrams of one time in order */
  gbd_address_t to;
  size_t length;
  uint8_t bytes[]; /**< the datagram */
} delayed_t;

typedef struct delay_queue delay_queue_t;

delay_queue_t *delay_queue_new (void);
void delay_queue_delete (delay_queue_t *queue);

void delay_queue_add (delay_queue_t *queue, gbd_time_t due,
                      const gbd_address_t *to, const uint8_t *bytes,
                      size_t length);

/** Time of the first datagram, or INT64_MAX. */
gbd_time_t delay_queue_get_next (const delay_queue_t *queue);

/** Take the first datagram if its time has come.
 *  @return NULL if none; to be freed with g_free(). */
delayed_t *delay_queue_take (delay_queue_t *queue, gbd_time_t now);

#endif
