#include "send_queue.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <libwebsockets.h>

struct gbd_send_queue_entry
{
  gbd_send_queue_entry_t *next;
  size_t length;
  size_t sent;
  uint8_t bytes[]; /* LWS_PRE reserved bytes, then the content */
};

gbd_status_t
gbd_send_queue_push (gbd_send_queue_t *send_queue, const uint8_t *bytes,
                     size_t length)
{
  if (length > send_queue->bytes_max - send_queue->bytes)
    return GBD_ERROR_MEMORY;
  gbd_send_queue_entry_t *entry = malloc (sizeof *entry + LWS_PRE + length);
  if (!entry)
    return GBD_ERROR_MEMORY;

  entry->next = NULL;
  entry->length = length;
  entry->sent = 0;
  memcpy (entry->bytes + LWS_PRE, bytes, length);
  if (send_queue->last)
    send_queue->last->next = entry;
  else
    send_queue->first = entry;
  send_queue->last = entry;
  send_queue->bytes += length;
  return GBD_OK;
}

uint8_t *
gbd_send_queue_peek (const gbd_send_queue_t *send_queue, size_t length_max,
                     size_t *length)
{
  gbd_send_queue_entry_t *entry = send_queue->first;
  if (!entry)
    return NULL;
  size_t unsent = entry->length - entry->sent;
  *length = unsent < length_max ? unsent : length_max;
  return entry->bytes + LWS_PRE + entry->sent;
}

void
gbd_send_queue_pop (gbd_send_queue_t *send_queue, size_t length)
{
  gbd_send_queue_entry_t *entry = send_queue->first;
  assert (entry && length <= entry->length - entry->sent);
  entry->sent += length;
  send_queue->bytes -= length;
  if (entry->sent < entry->length)
    return;

  send_queue->first = entry->next;
  if (!send_queue->first)
    send_queue->last = NULL;
  free (entry);
}

void
gbd_send_queue_clear (gbd_send_queue_t *send_queue)
{
  while (send_queue->first)
    {
      gbd_send_queue_entry_t *entry = send_queue->first;
      send_queue->first = entry->next;
      free (entry);
    }
  send_queue->last = NULL;
  send_queue->bytes = 0;
}
