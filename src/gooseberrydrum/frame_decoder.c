#include "frame_decoder.h"

#include <stdlib.h>
#include <string.h>

#define CAPACITY_INITIAL ((size_t)512) /* bytes */
/* Size in bytes; a buffer that grew larger for a frame is freed after it. */
#define CAPACITY_RETAINED ((size_t)1 << 16)

static size_t get_content_length (const gbd_frame_decoder_t *decoder);
static bool append (gbd_frame_decoder_t *decoder, const uint8_t *bytes,
                    size_t length);

gbd_status_t
gbd_frame_decoder_feed (gbd_frame_decoder_t *decoder, const uint8_t *bytes,
                        size_t length, gbd_frame_callback_t callback,
                        void *data)
{
  while (length > 0)
    {
      bool has_prefix = decoder->used >= GBD_FRAME_PREFIX;
      size_t content = has_prefix ? get_content_length (decoder) : 0;
      size_t missing = GBD_FRAME_PREFIX + content - decoder->used;
      size_t consumed = length < missing ? length : missing;
      if (!append (decoder, bytes, consumed))
        return GBD_ERROR_MEMORY;
      bytes += consumed;
      length -= consumed;
      if (consumed < missing)
        continue;

      if (!has_prefix)
        {
          content = get_content_length (decoder);
          if (content == 0 || content > decoder->length_max)
            return GBD_ERROR_FORMAT;
          continue;
        }
      gbd_status_t status
          = callback (data, decoder->bytes + GBD_FRAME_PREFIX, content);
      if (status != GBD_OK)
        return status;
      decoder->used = 0;
      if (decoder->capacity > CAPACITY_RETAINED)
        gbd_frame_decoder_clear (decoder);
    }
  return GBD_OK;
}

void
gbd_frame_decoder_clear (gbd_frame_decoder_t *decoder)
{
  free (decoder->bytes);
  decoder->bytes = NULL;
  decoder->used = 0;
  decoder->capacity = 0;
}

static size_t
get_content_length (const gbd_frame_decoder_t *decoder)
{
  size_t length = 0;
  for (size_t i = 0; i < GBD_FRAME_PREFIX; i++)
    length = length << 8 | decoder->bytes[i];
  return length;
}

static bool
append (gbd_frame_decoder_t *decoder, const uint8_t *bytes, size_t length)
{
  size_t needed = decoder->used + length;
  if (needed > decoder->capacity)
    {
      size_t capacity
          = decoder->capacity ? decoder->capacity * 2 : CAPACITY_INITIAL;
      if (capacity < needed)
        capacity = needed;
      uint8_t *grown = realloc (decoder->bytes, capacity);
      if (!grown)
        return false;
      decoder->bytes = grown;
      decoder->capacity = capacity;
    }
  memcpy (decoder->bytes + decoder->used, bytes, length);
  decoder->used = needed;
  return true;
}
