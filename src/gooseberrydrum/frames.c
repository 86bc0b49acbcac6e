#include "frames.h"

#include <stdlib.h>
#include <string.h>

#define CAPACITY_FIRST ((size_t)512)    /* bytes */
#define CAPACITY_KEPT ((size_t)1 << 16) /* bytes; more is freed after use */

static size_t get_content_length (const gbd_frames_t *frames);
static bool append (gbd_frames_t *frames, const uint8_t *bytes, size_t length);

gbd_status_t
gbd_frames_feed (gbd_frames_t *frames, const uint8_t *bytes, size_t length,
                 gbd_frame_visit_t visit, void *data)
{
  while (length > 0)
    {
      bool has_prefix = frames->used >= GBD_FRAME_PREFIX;
      size_t content = has_prefix ? get_content_length (frames) : 0;
      size_t missing = GBD_FRAME_PREFIX + content - frames->used;
      size_t taken = length < missing ? length : missing;
      if (!append (frames, bytes, taken))
        return GBD_ERROR_MEMORY;
      bytes += taken;
      length -= taken;
      if (taken < missing)
        continue;

      if (!has_prefix)
        {
          content = get_content_length (frames);
          if (content == 0 || content > frames->length_max)
            return GBD_ERROR_FORMAT;
          continue;
        }
      gbd_status_t status
          = visit (data, frames->bytes + GBD_FRAME_PREFIX, content);
      if (status != GBD_OK)
        return status;
      frames->used = 0;
      if (frames->capacity > CAPACITY_KEPT)
        gbd_frames_clear (frames);
    }
  return GBD_OK;
}

void
gbd_frames_clear (gbd_frames_t *frames)
{
  free (frames->bytes);
  frames->bytes = NULL;
  frames->used = 0;
  frames->capacity = 0;
}

static size_t
get_content_length (const gbd_frames_t *frames)
{
  size_t length = 0;
  for (size_t i = 0; i < GBD_FRAME_PREFIX; i++)
    length = length << 8 | frames->bytes[i];
  return length;
}

static bool
append (gbd_frames_t *frames, const uint8_t *bytes, size_t length)
{
  size_t needed = frames->used + length;
  if (needed > frames->capacity)
    {
      size_t capacity
          = frames->capacity ? frames->capacity * 2 : CAPACITY_FIRST;
      if (capacity < needed)
        capacity = needed;
      uint8_t *grown = realloc (frames->bytes, capacity);
      if (!grown)
        return false;
      frames->bytes = grown;
      frames->capacity = capacity;
    }
  memcpy (frames->bytes + frames->used, bytes, length);
  frames->used = needed;
  return true;
}
