#include "standins/echo_wire.h"

#include <string.h>

#include <xxhash.h>

#include "platform/echo_header.h"

#define SUM_KEY 0x5eedu /* the instances do not know it */

static uint32_t make_sum (const uint8_t *bytes, size_t length);
static uint32_t read_number (const uint8_t *at, int count);
static void write_number (uint8_t *at, int count, uint32_t number);

size_t
echo_write (const echo_header_t *header, const uint8_t *data, uint8_t *bytes)
{
  memset (bytes, 0, GBD_ECHO_HEADER);
  write_number (bytes + GBD_ECHO_AT_LENGTH, 2, header->length);
  write_number (bytes + GBD_ECHO_AT_SEQUENCE, 4, header->sequence);
  write_number (bytes + GBD_ECHO_AT_ACKNOWLEDGMENT, 4, header->acknowledgment);
  bytes[GBD_ECHO_AT_FLAGS] = header->flags;
  write_number (bytes + GBD_ECHO_AT_DESTINATION_PORT, 2, header->to.port);
  memcpy (bytes + GBD_ECHO_AT_SOURCE, header->from.ip, 4);
  memcpy (bytes + GBD_ECHO_AT_DESTINATION, header->to.ip, 4);
  write_number (bytes + GBD_ECHO_AT_SOURCE_PORT, 2, header->from.port);
  if (header->length)
    memcpy (bytes + GBD_ECHO_HEADER, data, header->length);
  size_t length = GBD_ECHO_HEADER + header->length;
  write_number (bytes + GBD_ECHO_AT_SUM, 4, make_sum (bytes, length));
  write_number (bytes + GBD_ECHO_AT_COOKIE, 4, header->cookie);
  return length;
}

const uint8_t *
echo_read (const uint8_t *bytes, size_t length, echo_header_t *header,
           bool *is_genuine)
{
  if (length < GBD_ECHO_HEADER || length > ECHO_PACKET_MAX)
    return NULL;
  memset (header, 0, sizeof *header);
  header->length = (uint16_t)read_number (bytes + GBD_ECHO_AT_LENGTH, 2);
  if (GBD_ECHO_HEADER + (size_t)header->length != length)
    return NULL;
  header->cookie = read_number (bytes + GBD_ECHO_AT_COOKIE, 4);
  header->sequence = read_number (bytes + GBD_ECHO_AT_SEQUENCE, 4);
  header->acknowledgment = read_number (bytes + GBD_ECHO_AT_ACKNOWLEDGMENT, 4);
  header->flags = bytes[GBD_ECHO_AT_FLAGS];
  header->from.family = 4;
  header->to.family = 4;
  header->to.port
      = (uint16_t)read_number (bytes + GBD_ECHO_AT_DESTINATION_PORT, 2);
  header->from.port
      = (uint16_t)read_number (bytes + GBD_ECHO_AT_SOURCE_PORT, 2);
  memcpy (header->from.ip, bytes + GBD_ECHO_AT_SOURCE, 4);
  memcpy (header->to.ip, bytes + GBD_ECHO_AT_DESTINATION, 4);

  uint8_t copy[ECHO_PACKET_MAX];
  memcpy (copy, bytes, length);
  write_number (copy + GBD_ECHO_AT_SUM, 4, 0);
  write_number (copy + GBD_ECHO_AT_COOKIE, 4, 0);
  *is_genuine
      = make_sum (copy, length) == read_number (bytes + GBD_ECHO_AT_SUM, 4);
  return bytes + GBD_ECHO_HEADER;
}

static uint32_t
make_sum (const uint8_t *bytes, size_t length)
{
  uint32_t sum = (uint32_t)XXH3_64bits_withSeed (bytes, length, SUM_KEY);
  return sum ? sum : 1; /* 0 marks a reset by an instance */
}

static uint32_t
read_number (const uint8_t *at, int count)
{
  uint32_t number = 0;
  for (int i = 0; i < count; i++)
    number = number << 8 | at[i];
  return number;
}

static void
write_number (uint8_t *at, int count, uint32_t number)
{
  for (int i = count - 1; i >= 0; i--)
    {
      at[i] = (uint8_t)number;
      number >>= 8;
    }
}
