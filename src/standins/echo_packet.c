#include "standins/echo_packet.h"

#include <string.h>

#include <xxhash.h>

#include "gooseberrydrum/bytes.h"
#include "platform/echo_header.h"

/* The instances do not have this seed.  A valid checksum therefore shows that
   no instance changed the packet, apart from the cookie, which the checksum
   does not cover. */
#define CHECKSUM_SEED 0x5eedu

static uint32_t compute_checksum (const uint8_t *bytes, size_t length);

size_t
echo_packet_build (const echo_header_t *header, const uint8_t *data,
                   uint8_t *bytes)
{
  memset (bytes, 0, GBD_ECHO_HEADER);
  gbd_put16 (bytes + GBD_ECHO_AT_LENGTH, header->length);
  gbd_put32 (bytes + GBD_ECHO_AT_SEQUENCE, header->sequence);
  gbd_put32 (bytes + GBD_ECHO_AT_ACKNOWLEDGMENT, header->acknowledgment);
  bytes[GBD_ECHO_AT_FLAGS] = header->flags;
  gbd_put16 (bytes + GBD_ECHO_AT_DESTINATION_PORT, header->to.port);
  memcpy (bytes + GBD_ECHO_AT_SOURCE, header->from.ip, 4);
  memcpy (bytes + GBD_ECHO_AT_DESTINATION, header->to.ip, 4);
  gbd_put16 (bytes + GBD_ECHO_AT_SOURCE_PORT, header->from.port);
  if (header->length)
    memcpy (bytes + GBD_ECHO_HEADER, data, header->length);
  size_t length = GBD_ECHO_HEADER + header->length;
  gbd_put32 (bytes + GBD_ECHO_AT_SUM, compute_checksum (bytes, length));
  gbd_put32 (bytes + GBD_ECHO_AT_COOKIE, header->cookie);
  return length;
}

const uint8_t *
echo_packet_parse (const uint8_t *bytes, size_t length, echo_header_t *header,
                   bool *is_checksum_valid)
{
  if (length < GBD_ECHO_HEADER || length > ECHO_PACKET_MAX)
    return NULL;
  memset (header, 0, sizeof *header);
  header->length = gbd_get16 (bytes + GBD_ECHO_AT_LENGTH);
  if (GBD_ECHO_HEADER + (size_t)header->length != length)
    return NULL;
  header->cookie = gbd_get32 (bytes + GBD_ECHO_AT_COOKIE);
  header->sequence = gbd_get32 (bytes + GBD_ECHO_AT_SEQUENCE);
  header->acknowledgment = gbd_get32 (bytes + GBD_ECHO_AT_ACKNOWLEDGMENT);
  header->flags = bytes[GBD_ECHO_AT_FLAGS];
  header->from.family = 4;
  header->to.family = 4;
  header->to.port = gbd_get16 (bytes + GBD_ECHO_AT_DESTINATION_PORT);
  header->from.port = gbd_get16 (bytes + GBD_ECHO_AT_SOURCE_PORT);
  memcpy (header->from.ip, bytes + GBD_ECHO_AT_SOURCE, 4);
  memcpy (header->to.ip, bytes + GBD_ECHO_AT_DESTINATION, 4);

  uint8_t copy[ECHO_PACKET_MAX];
  memcpy (copy, bytes, length);
  gbd_put32 (copy + GBD_ECHO_AT_SUM, 0);
  gbd_put32 (copy + GBD_ECHO_AT_COOKIE, 0);
  *is_checksum_valid
      = compute_checksum (copy, length) == gbd_get32 (bytes + GBD_ECHO_AT_SUM);
  return bytes + GBD_ECHO_HEADER;
}

static uint32_t
compute_checksum (const uint8_t *bytes, size_t length)
{
  uint32_t checksum
      = (uint32_t)XXH3_64bits_withSeed (bytes, length, CHECKSUM_SEED);
  return checksum ? checksum : 1; /* 0 marks a reset that an instance sends */
}
