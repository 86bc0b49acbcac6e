#include "msgpack_check.h"

/* Header of one object: bytes of payload that follow it, and objects.  */
typedef struct
{
  size_t size;      /* bytes of the header */
  uint64_t payload; /* bytes after it */
  uint64_t objects; /* objects after it */
  bool is_container;
} header_t;

static bool read_header (const uint8_t *bytes, size_t length,
                         header_t *header);
static bool read_short_header (uint8_t first, header_t *header);
static uint64_t read_number (const uint8_t *bytes, size_t size);
static bool walk (const uint8_t *bytes, size_t length, size_t *offset,
                  unsigned depth);

bool
gbd_msgpack_is_whole (const uint8_t *bytes, size_t length, unsigned depth_max)
{
  size_t offset = 0;
  return walk (bytes, length, &offset, depth_max) && offset == length;
}

static bool
walk (const uint8_t *bytes, size_t length, size_t *offset, unsigned depth)
{
  header_t header;
  if (!read_header (bytes + *offset, length - *offset, &header))
    return false;
  *offset += header.size;
  if (header.payload > length - *offset)
    return false;
  *offset += (size_t)header.payload;
  if (header.is_container && depth == 0)
    return false;
  /* Each object takes at least one byte, which ends the loop in time.  */
  for (uint64_t i = 0; i < header.objects; i++)
    if (!walk (bytes, length, offset, depth - 1))
      return false;
  return true;
}

static bool
read_header (const uint8_t *bytes, size_t length, header_t *header)
{
  /* Formats 0xc0 to 0xdf: bytes of the length field, bytes of payload, and
     objects per unit of the length field.  */
  static const struct
  {
    uint8_t field;
    uint8_t payload;
    uint8_t objects;
    bool is_valid;
  } formats[32] = {
    [0x00] = { 0, 0, 0, true }, [0x02] = { 0, 0, 0, true },
    [0x03] = { 0, 0, 0, true }, [0x04] = { 1, 0, 0, true },
    [0x05] = { 2, 0, 0, true }, [0x06] = { 4, 0, 0, true },
    [0x07] = { 1, 1, 0, true }, [0x08] = { 2, 1, 0, true },
    [0x09] = { 4, 1, 0, true }, [0x0a] = { 0, 4, 0, true },
    [0x0b] = { 0, 8, 0, true }, [0x0c] = { 0, 1, 0, true },
    [0x0d] = { 0, 2, 0, true }, [0x0e] = { 0, 4, 0, true },
    [0x0f] = { 0, 8, 0, true }, [0x10] = { 0, 1, 0, true },
    [0x11] = { 0, 2, 0, true }, [0x12] = { 0, 4, 0, true },
    [0x13] = { 0, 8, 0, true }, [0x14] = { 0, 2, 0, true },
    [0x15] = { 0, 3, 0, true }, [0x16] = { 0, 5, 0, true },
    [0x17] = { 0, 9, 0, true }, [0x18] = { 0, 17, 0, true },
    [0x19] = { 1, 0, 0, true }, [0x1a] = { 2, 0, 0, true },
    [0x1b] = { 4, 0, 0, true }, [0x1c] = { 2, 0, 1, true },
    [0x1d] = { 4, 0, 1, true }, [0x1e] = { 2, 0, 2, true },
    [0x1f] = { 4, 0, 2, true },
  };
  if (length == 0)
    return false;
  *header = (header_t){ .size = 1 };
  if (read_short_header (bytes[0], header))
    return true;

  unsigned format = bytes[0] - 0xc0U;
  size_t field = formats[format].field;
  if (!formats[format].is_valid || length < 1 + field)
    return false;
  header->size = 1 + field;
  header->payload = formats[format].payload;
  uint64_t number = read_number (bytes + 1, field);
  header->is_container = formats[format].objects > 0;
  if (header->is_container)
    header->objects = number * formats[format].objects;
  else
    header->payload += number;
  return true;
}

/* Formats whose first byte says all: small numbers, strings, containers.  */
static bool
read_short_header (uint8_t first, header_t *header)
{
  if (first <= 0x7f || first >= 0xe0)
    return true;
  if (first >= 0xc0)
    return false;
  if (first >= 0xa0)
    {
      header->payload = first & 0x1fU;
      return true;
    }
  header->is_container = true;
  header->objects = first & 0x0fU;
  if (first <= 0x8f)
    header->objects *= 2;
  return true;
}

static uint64_t
read_number (const uint8_t *bytes, size_t size)
{
  uint64_t number = 0;
  for (size_t i = 0; i < size; i++)
    number = number << 8 | bytes[i];
  return number;
}
