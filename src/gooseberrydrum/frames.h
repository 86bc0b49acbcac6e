/** @file frames.h
 *  Reassembly of length-prefixed frames from the bytes of a stream.
 */
#ifndef PROGRAM_FRAMES_H
#define PROGRAM_FRAMES_H

#include "gooseberrydrum/types.h"

#define GBD_FRAME_PREFIX 4 /**< bytes of the big-endian length */

/** The frame under way; all zero but length_max when there is none. */
typedef struct
{
  size_t length_max; /**< longest content that is accepted; a visitor may
                          change it for the frames that follow */
  uint8_t *bytes;    /**< prefix and content */
  size_t used;
  size_t capacity;
} gbd_frames_t;

/** Called once for each frame; anything but GBD_OK stops the feed. */
typedef gbd_status_t (*gbd_frame_visit_t) (void *data, const uint8_t *content,
                                           size_t length);

/** Take in bytes of the stream.  Memory grows with the bytes that came, never
 *  with a length that was only announced.  After anything but GBD_OK the
 *  frames are not touched again, so that the visitor may clear them.
 *  @return GBD_OK; GBD_ERROR_FORMAT for an empty or oversized frame;
 *  GBD_ERROR_MEMORY; or what the visitor returned. */
gbd_status_t gbd_frames_feed (gbd_frames_t *frames, const uint8_t *bytes,
                              size_t length, gbd_frame_visit_t visit,
                              void *data);

/** Free the frame under way. */
void gbd_frames_clear (gbd_frames_t *frames);

#endif
