#include "standins/exchange.h"

#include <assert.h>
#include <string.h>

#include <xxhash.h>

#define ID_OFFSET 4
#define FLOW_OFFSET 8
#define CHECKSUM_OFFSET 8
#define SERVICE_OFFSET 16
#define UID_OFFSET (SERVICE_OFFSET + GBD_NAME_MAX + 1)

static const char request_magic[4] = "GBRQ";
static const char response_magic[4] = "GBAN";

void
exchange_build_request (uint32_t flow, uint32_t id, uint8_t *bytes,
                        size_t length)
{
  assert (length >= EXCHANGE_REQUEST_MIN);
  memcpy (bytes, request_magic, sizeof request_magic);
  memcpy (bytes + ID_OFFSET, &id, sizeof id);
  memcpy (bytes + FLOW_OFFSET, &flow, sizeof flow);
  memset (bytes + EXCHANGE_REQUEST_MIN, (int)(flow + id) & 0xff,
          length - EXCHANGE_REQUEST_MIN);
}

bool
exchange_parse_request (const uint8_t *bytes, size_t length, uint32_t *id)
{
  if (length < EXCHANGE_REQUEST_MIN
      || memcmp (bytes, request_magic, sizeof request_magic) != 0)
    return false;
  memcpy (id, bytes + ID_OFFSET, sizeof *id);
  return true;
}

uint64_t
exchange_checksum (const uint8_t *bytes, size_t length)
{
  return XXH3_64bits (bytes, length);
}

void
exchange_build_response (const exchange_response_t *response, uint8_t *bytes)
{
  memcpy (bytes, response_magic, sizeof response_magic);
  memcpy (bytes + ID_OFFSET, &response->id, sizeof response->id);
  memcpy (bytes + CHECKSUM_OFFSET, &response->checksum,
          sizeof response->checksum);
  memcpy (bytes + SERVICE_OFFSET, response->service, sizeof response->service);
  memcpy (bytes + UID_OFFSET, response->uid, sizeof response->uid);
}

bool
exchange_parse_response (const uint8_t *bytes, size_t length,
                         exchange_response_t *response)
{
  if (length != EXCHANGE_RESPONSE_LENGTH
      || memcmp (bytes, response_magic, sizeof response_magic) != 0)
    return false;
  memcpy (&response->id, bytes + ID_OFFSET, sizeof response->id);
  memcpy (&response->checksum, bytes + CHECKSUM_OFFSET,
          sizeof response->checksum);
  memcpy (response->service, bytes + SERVICE_OFFSET, sizeof response->service);
  memcpy (response->uid, bytes + UID_OFFSET, sizeof response->uid);
  return response->service[GBD_NAME_MAX] == '\0'
         && response->uid[GBD_NAME_MAX] == '\0';
}

uint32_t
exchange_get_initial_sequence (const char *uid, uint64_t flow)
{
  return (uint32_t)gbd_rendezvous_weight (gbd_id_from_name (uid), flow);
}
