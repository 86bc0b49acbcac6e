#include "outbox.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <libwebsockets.h>

struct gbd_outbox_entry
{
  gbd_outbox_entry_t *next;
  size_t length;
  size_t sent;
  uint8_t bytes[]; /* LWS_PRE bytes, then the content */
};

gbd_status_t
gbd_outbox_push (gbd_outbox_t *outbox, const uint8_t *bytes, size_t length)
{
  if (length > outbox->bytes_max - outbox->bytes)
    return GBD_ERROR_MEMORY;
  gbd_outbox_entry_t *entry = malloc (sizeof *entry + LWS_PRE + length);
  if (!entry)
    return GBD_ERROR_MEMORY;

  entry->next = NULL;
  entry->length = length;
  entry->sent = 0;
  memcpy (entry->bytes + LWS_PRE, bytes, length);
  if (outbox->last)
    outbox->last->next = entry;
  else
    outbox->first = entry;
  outbox->last = entry;
  outbox->bytes += length;
  return GBD_OK;
}

uint8_t *
gbd_outbox_peek (const gbd_outbox_t *outbox, size_t length_max, size_t *length)
{
  gbd_outbox_entry_t *entry = outbox->first;
  if (!entry)
    return NULL;
  size_t waiting = entry->length - entry->sent;
  *length = waiting < length_max ? waiting : length_max;
  return entry->bytes + LWS_PRE + entry->sent;
}

void
gbd_outbox_pop (gbd_outbox_t *outbox, size_t length)
{
  gbd_outbox_entry_t *entry = outbox->first;
  assert (entry && length <= entry->length - entry->sent);
  entry->sent += length;
  outbox->bytes -= length;
  if (entry->sent < entry->length)
    return;

  outbox->first = entry->next;
  if (!outbox->first)
    outbox->last = NULL;
  free (entry);
}

void
gbd_outbox_clear (gbd_outbox_t *outbox)
{
  while (outbox->first)
    {
      gbd_outbox_entry_t *entry = outbox->first;
      outbox->first = entry->next;
      free (entry);
    }
  outbox->last = NULL;
  outbox->bytes = 0;
}
