#include "gooseberrydrum/message.h"

#include <assert.h>
#include <string.h>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

/* Layout: format, kind, hops, zero, slot (2), packet length (2), origin (8),
   version (8), tag (8); numbers are big-endian. */
#define SHIM_FORMAT 1
#define AT_KIND 1
#define AT_HOPS 2
#define AT_ZERO 3
#define AT_SLOT 4
#define AT_LENGTH 6
#define AT_ORIGIN 8
#define AT_VERSION 16
#define AT_TAG 24
#define TAG_LENGTH ((size_t)8)

/** Bytes of the packet that the tag covers: all headers, and what an ICMP
 *  error over IPv6 quotes. */
#define AUTHENTICATED_MAX ((size_t)96)

static bool make_tag (const uint8_t key[16], const uint8_t *shim,
                      const uint8_t *packet, size_t packet_length,
                      uint8_t *tag);
static EVP_MAC_CTX *get_context (void);
static void put (uint8_t *at, size_t count, uint64_t value);
static uint64_t get (const uint8_t *at, size_t count);

void
gbd_shim_encode (const gbd_shim_t *shim, const uint8_t key[16],
                 const uint8_t *packet, size_t packet_length, uint8_t *bytes)
{
  assert (packet_length <= UINT16_MAX);
  bytes[0] = SHIM_FORMAT;
  bytes[AT_KIND] = shim->kind;
  bytes[AT_HOPS] = shim->hops;
  bytes[AT_ZERO] = 0;
  put (bytes + AT_SLOT, 2, shim->slot);
  put (bytes + AT_LENGTH, 2, packet_length);
  put (bytes + AT_ORIGIN, 8, shim->origin);
  put (bytes + AT_VERSION, 8, shim->version);
  /* Without a tag the receiver must refuse it, so it gets no valid format. */
  if (!make_tag (key, bytes, packet, packet_length, bytes + AT_TAG))
    memset (bytes, 0, GBD_SHIM_LENGTH);
}

gbd_status_t
gbd_shim_decode (const uint8_t *bytes, size_t length, const uint8_t key[16],
                 gbd_shim_t *shim)
{
  if (length < GBD_SHIM_LENGTH)
    return GBD_ERROR_FORMAT;
  if (bytes[0] != SHIM_FORMAT || bytes[AT_ZERO] != 0)
    return GBD_ERROR_FORMAT;
  if (bytes[AT_KIND] < GBD_SHIM_OPEN || bytes[AT_KIND] > GBD_SHIM_RELAY)
    return GBD_ERROR_FORMAT;
  size_t packet_length = length - GBD_SHIM_LENGTH;
  if (get (bytes + AT_LENGTH, 2) != packet_length)
    return GBD_ERROR_FORMAT;

  uint8_t tag[TAG_LENGTH];
  if (!make_tag (key, bytes, bytes + GBD_SHIM_LENGTH, packet_length, tag))
    return GBD_ERROR_FORMAT;
  if (CRYPTO_memcmp (tag, bytes + AT_TAG, TAG_LENGTH) != 0)
    return GBD_ERROR_FORMAT;

  shim->kind = bytes[AT_KIND];
  shim->hops = bytes[AT_HOPS];
  shim->slot = (gbd_slot_t)get (bytes + AT_SLOT, 2);
  shim->origin = get (bytes + AT_ORIGIN, 8);
  shim->version = get (bytes + AT_VERSION, 8);
  return GBD_OK;
}

static bool
make_tag (const uint8_t key[16], const uint8_t *shim, const uint8_t *packet,
          size_t packet_length, uint8_t *tag)
{
  EVP_MAC_CTX *context = get_context ();
  if (!context)
    return false;
  size_t covered
      = packet_length < AUTHENTICATED_MAX ? packet_length : AUTHENTICATED_MAX;
  size_t length = 0;
  return EVP_MAC_init (context, key, 16, NULL)
         && EVP_MAC_update (context, shim, AT_TAG)
         && EVP_MAC_update (context, packet, covered)
         && EVP_MAC_final (context, tag, &length, TAG_LENGTH)
         && length == TAG_LENGTH;
}

/* Fetching the algorithm costs far more than a tag, so one context is kept
   for the life of the process. */
static EVP_MAC_CTX *
get_context (void)
{
  static EVP_MAC_CTX *context = NULL;
  if (context)
    return context;

  EVP_MAC *mac = EVP_MAC_fetch (NULL, "SIPHASH", NULL);
  if (!mac)
    return NULL;
  EVP_MAC_CTX *made = EVP_MAC_CTX_new (mac);
  EVP_MAC_free (mac); /* the context holds a reference */

  size_t tag_length = TAG_LENGTH;
  OSSL_PARAM parameters[] = {
    OSSL_PARAM_construct_size_t (OSSL_MAC_PARAM_SIZE, &tag_length),
    OSSL_PARAM_construct_end (),
  };
  if (!made || !EVP_MAC_CTX_set_params (made, parameters))
    {
      EVP_MAC_CTX_free (made);
      return NULL;
    }
  context = made;
  return context;
}

static void
put (uint8_t *at, size_t count, uint64_t value)
{
  for (size_t i = 0; i < count; i++)
    at[i] = (uint8_t)(value >> 8 * (count - 1 - i));
}

static uint64_t
get (const uint8_t *at, size_t count)
{
  uint64_t value = 0;
  for (size_t i = 0; i < count; i++)
    value = value << 8 | at[i];
  return value;
}
