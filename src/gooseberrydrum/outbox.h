/** @file outbox.h
 *  Bounded queue of bytes that wait for a socket.
 */
#ifndef PROGRAM_OUTBOX_H
#define PROGRAM_OUTBOX_H

#include "gooseberrydrum/types.h"

typedef struct gbd_outbox_entry gbd_outbox_entry_t;

/** All zero but bytes_max when empty. */
typedef struct
{
  gbd_outbox_entry_t *first;
  gbd_outbox_entry_t *last;
  size_t bytes;     /**< waiting */
  size_t bytes_max; /**< bound of the above */
} gbd_outbox_t;

/** Queue a copy of the bytes.
 *  @return GBD_OK, or GBD_ERROR_MEMORY when the bound would be passed. */
gbd_status_t gbd_outbox_push (gbd_outbox_t *outbox, const uint8_t *bytes,
                              size_t length);

/** Oldest bytes that wait, with LWS_PRE writable bytes before them.
 *  @param length set to at most length_max
 *  @return NULL when nothing waits. */
uint8_t *gbd_outbox_peek (const gbd_outbox_t *outbox, size_t length_max,
                          size_t *length);

/** Remove the oldest bytes, no more than a peek has shown. */
void gbd_outbox_pop (gbd_outbox_t *outbox, size_t length);

void gbd_outbox_clear (gbd_outbox_t *outbox);

#endif
