#include "standins/delay_queue.h"

#include <string.h>

#include <glib.h>

struct delay_queue
{
  GSequence *datagrams; /* delayed_datagram_t */
  uint64_t order;
};

static gint compare (gconstpointer a, gconstpointer b, gpointer data);

delay_queue_t *
delay_queue_new (void)
{
  delay_queue_t *queue = g_new0 (delay_queue_t, 1);
  queue->datagrams = g_sequence_new (g_free);
  return queue;
}

void
delay_queue_delete (delay_queue_t *queue)
{
  if (!queue)
    return;
  g_sequence_free (queue->datagrams);
  g_free (queue);
}

void
delay_queue_add (delay_queue_t *queue, gbd_time_t due, const gbd_address_t *to,
                 const uint8_t *bytes, size_t length)
{
  delayed_datagram_t *delayed = g_malloc (sizeof *delayed + length);
  delayed->due = due;
  delayed->order = queue->order++;
  delayed->to = *to;
  delayed->length = length;
  memcpy (delayed->bytes, bytes, length);
  g_sequence_insert_sorted (queue->datagrams, delayed, compare, NULL);
}

gbd_time_t
delay_queue_get_next_due (const delay_queue_t *queue)
{
  if (g_sequence_is_empty (queue->datagrams))
    return INT64_MAX;
  GSequenceIter *first = g_sequence_get_begin_iter (queue->datagrams);
  const delayed_datagram_t *delayed = g_sequence_get (first);
  return delayed->due;
}

delayed_datagram_t *
delay_queue_take (delay_queue_t *queue, gbd_time_t now)
{
  if (delay_queue_get_next_due (queue) > now)
    return NULL;
  GSequenceIter *first = g_sequence_get_begin_iter (queue->datagrams);
  const delayed_datagram_t *delayed = g_sequence_get (first);
  delayed_datagram_t *taken
      = g_memdup2 (delayed, sizeof *delayed + delayed->length);
  g_sequence_remove (first);
  return taken;
}

static gint
compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const delayed_datagram_t *left = a;
  const delayed_datagram_t *right = b;
  (void)data;
  if (left->due != right->due)
    return left->due < right->due ? -1 : 1;
  return left->order < right->order ? -1 : 1;
}
