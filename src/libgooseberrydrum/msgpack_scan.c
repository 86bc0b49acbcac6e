#include "msgpack_scan.h"

/* Header of a value, as encoded in its first byte. */
typedef struct
{
  bool is_valid;
  bool is_array;
  size_t length_bytes; /**< size in bytes of the length field that follows the
                            first byte */
  size_t content;      /**< bytes of content, or entries of an array, if there
                            is no length field */
} header_t;

static header_t read_header (uint8_t first);
static header_t read_long_header (uint8_t first);
static size_t read_length (const uint8_t *bytes, size_t length_bytes);

bool
gbd_msgpack_scan (const uint8_t *bytes, size_t length, size_t values_max)
{
  /* Number of values that are still to be read at each depth. */
  size_t remaining[GBD_SCAN_DEPTH_MAX + 1] = { 1 };
  size_t depth = 0;
  size_t values = 0;
  size_t offset = 0;

  for (;;)
    {
      while (depth > 0 && remaining[depth] == 0)
        depth--;
      if (remaining[depth] == 0)
        return offset == length;
      if (offset == length || ++values > values_max)
        return false;

      remaining[depth]--;
      header_t header = read_header (bytes[offset++]);
      if (!header.is_valid || length - offset < header.length_bytes)
        return false;
      size_t content = header.content;
      if (header.length_bytes > 0)
        content = read_length (&bytes[offset], header.length_bytes);
      offset += header.length_bytes;
      /* The check is valid for arrays too, as each entry takes at least one
         byte. */
      if (content > length - offset)
        return false;
      if (!header.is_array)
        offset += content;
      else if (depth == GBD_SCAN_DEPTH_MAX)
        return false;
      else
        remaining[++depth] = content;
    }
}

static header_t
read_header (uint8_t first)
{
  header_t header = { .is_valid = true };
  if (first <= 0x7f || first >= 0xe0) /* small integers */
    return header;
  if (first >= 0x90 && first <= 0x9f) /* short arrays */
    {
      header.is_array = true;
      header.content = first & 0x0fU;
      return header;
    }
  if (first >= 0xa0 && first <= 0xbf) /* short strings */
    {
      header.content = first & 0x1fU;
      return header;
    }
  return read_long_header (first);
}

/* Maps and extension types are rejected: messages do not use them, and the
   length of an extension of 2^32 - 1 bytes overflows inside the codec. */
static header_t
read_long_header (uint8_t first)
{
  static const struct
  {
    uint8_t first;
    header_t header;
  } headers[] = {
    { 0xc0, { true, false, 0, 0 } }, /* nil */
    { 0xc2, { true, false, 0, 0 } }, /* false */
    { 0xc3, { true, false, 0, 0 } }, /* true */
    /* Binary strings. */
    { 0xc4, { true, false, 1, 0 } },
    { 0xc5, { true, false, 2, 0 } },
    { 0xc6, { true, false, 4, 0 } },
    /* Floats. */
    { 0xca, { true, false, 0, 4 } },
    { 0xcb, { true, false, 0, 8 } },
    /* Unsigned integers. */
    { 0xcc, { true, false, 0, 1 } },
    { 0xcd, { true, false, 0, 2 } },
    { 0xce, { true, false, 0, 4 } },
    { 0xcf, { true, false, 0, 8 } },
    /* Signed integers. */
    { 0xd0, { true, false, 0, 1 } },
    { 0xd1, { true, false, 0, 2 } },
    { 0xd2, { true, false, 0, 4 } },
    { 0xd3, { true, false, 0, 8 } },
    /* Text strings. */
    { 0xd9, { true, false, 1, 0 } },
    { 0xda, { true, false, 2, 0 } },
    { 0xdb, { true, false, 4, 0 } },
    /* Arrays. */
    { 0xdc, { true, true, 2, 0 } },
    { 0xdd, { true, true, 4, 0 } },
  };
  static const header_t invalid;
  for (size_t i = 0; i < sizeof headers / sizeof headers[0]; i++)
    {
      if (headers[i].first == first)
        return headers[i].header;
    }
  return invalid;
}

static size_t
read_length (const uint8_t *bytes, size_t length_bytes)
{
  size_t length = 0;
  for (size_t i = 0; i < length_bytes; i++)
    length = length << 8 | bytes[i];
  return length;
}
