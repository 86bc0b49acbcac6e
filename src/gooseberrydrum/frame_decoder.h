/** @file frame_decoder.h
 *  Decoder that splits a byte stream into length-prefixed frames.
 */
#ifndef PROGRAM_FRAME_DECODER_H
#define PROGRAM_FRAME_DECODER_H

#include "gooseberrydrum/types.h"

#define GBD_FRAME_PREFIX 4 /**< bytes of the big-endian length field */

/** State of a decoder.  Initialise it with zeros and set length_max. */
typedef struct
{
  size_t length_max; /**< longest accepted content, in bytes; the callback may
                          change it for the following frames */
  uint8_t *bytes;    /**< received part of a frame: length field and content */
  size_t used;
  size_t capacity;
} gbd_frame_decoder_t;

/** Called once for each frame; any other return value than GBD_OK stops the
 *  decoder. */
typedef gbd_status_t (*gbd_frame_callback_t) (void *data,
                                              const uint8_t *content,
                                              size_t length);

/** Decode received bytes of the stream.  Memory grows with the bytes received
 *  so far, not with the length that a frame announces.  After a callback that
 *  does not return GBD_OK the decoder is not accessed again, so that the
 *  callback may clear it.
 *  @return GBD_OK; GBD_ERROR_FORMAT for an empty or oversized frame;
 *  GBD_ERROR_MEMORY; or the status that the callback returned. */
gbd_status_t gbd_frame_decoder_feed (gbd_frame_decoder_t *decoder,
                                     const uint8_t *bytes, size_t length,
                                     gbd_frame_callback_t callback,
                                     void *data);

/** Free the partially received frame. */
void gbd_frame_decoder_clear (gbd_frame_decoder_t *decoder);

#endif
