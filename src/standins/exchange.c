#include "standins/exchange.h"

#include <assert.h>
#include <string.h>

#include <xxhash.h>

#define AT_ID 4
#define AT_FLOW 8
#define AT_CHECKSUM 8
#define AT_SERVICE 16
#define AT_UID (AT_SERVICE + GBD_NAME_MAX + 1)

static const char request_mark[4] = "GBRQ";
static const char answer_mark[4] = "GBAN";

void
exchange_build_request (uint32_t flow, uint32_t id, uint8_t *bytes,
                        size_t length)
{
  assert (length >= EXCHANGE_REQUEST_MIN);
  memcpy (bytes, request_mark, sizeof request_mark);
  memcpy (bytes + AT_ID, &id, sizeof id);
  memcpy (bytes + AT_FLOW, &flow, sizeof flow);
  memset (bytes + EXCHANGE_REQUEST_MIN, (int)(flow + id) & 0xff,
          length - EXCHANGE_REQUEST_MIN);
}

bool
exchange_read_request (const uint8_t *bytes, size_t length, uint32_t *id)
{
  if (length < EXCHANGE_REQUEST_MIN
      || memcmp (bytes, request_mark, sizeof request_mark) != 0)
    return false;
  memcpy (id, bytes + AT_ID, sizeof *id);
  return true;
}

uint64_t
exchange_checksum (const uint8_t *bytes, size_t length)
{
  return XXH3_64bits (bytes, length);
}

void
exchange_build_answer (const exchange_answer_t *answer, uint8_t *bytes)
{
  memcpy (bytes, answer_mark, sizeof answer_mark);
  memcpy (bytes + AT_ID, &answer->id, sizeof answer->id);
  memcpy (bytes + AT_CHECKSUM, &answer->checksum, sizeof answer->checksum);
  memcpy (bytes + AT_SERVICE, answer->service, sizeof answer->service);
  memcpy (bytes + AT_UID, answer->uid, sizeof answer->uid);
}

bool
exchange_read_answer (const uint8_t *bytes, size_t length,
                      exchange_answer_t *answer)
{
  if (length != EXCHANGE_ANSWER_LENGTH
      || memcmp (bytes, answer_mark, sizeof answer_mark) != 0)
    return false;
  memcpy (&answer->id, bytes + AT_ID, sizeof answer->id);
  memcpy (&answer->checksum, bytes + AT_CHECKSUM, sizeof answer->checksum);
  memcpy (answer->service, bytes + AT_SERVICE, sizeof answer->service);
  memcpy (answer->uid, bytes + AT_UID, sizeof answer->uid);
  return answer->service[GBD_NAME_MAX] == '\0'
         && answer->uid[GBD_NAME_MAX] == '\0';
}

uint32_t
exchange_server_start (const char *uid, uint64_t flow)
{
  return (uint32_t)gbd_rendezvous (gbd_id_from_name (uid), flow);
}
