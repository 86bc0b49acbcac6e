#include "gooseberrydrum/message.h"

#include <assert.h>
#include <string.h>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

/* Layout with sizes in bytes: format version (1), kind (1), hops (1), reserved
   (1), slot (2), packet length (2), origin (8), table version (8),
   authentication tag (8).  Numbers are big-endian. */
#define SHIM_FORMAT_VERSION 1
#define OFFSET_KIND 1
#define OFFSET_HOPS 2
#define OFFSET_RESERVED 3
#define OFFSET_SLOT 4
#define OFFSET_LENGTH 6
#define OFFSET_ORIGIN 8
#define OFFSET_VERSION 16
#define OFFSET_TAG 24
#define TAG_LENGTH ((size_t)8)

/** Maximum number of packet bytes that the tag authenticates: all headers, and
 *  the quote of an ICMP error over IPv6. */
#define AUTHENTICATED_MAX ((size_t)96)

static bool compute_tag (const uint8_t key[16], const uint8_t *shim,
                         const uint8_t *packet, size_t packet_length,
                         uint8_t *tag);
static EVP_MAC_CTX *get_context (void);
static void put_number (uint8_t *bytes, size_t count, uint64_t value);
static uint64_t get_number (const uint8_t *bytes, size_t count);

void
gbd_shim_encode (const gbd_shim_t *shim, const uint8_t key[16],
                 const uint8_t *packet, size_t packet_length, uint8_t *bytes)
{
  assert (packet_length <= UINT16_MAX);
  bytes[0] = SHIM_FORMAT_VERSION;
  bytes[OFFSET_KIND] = shim->kind;
  bytes[OFFSET_HOPS] = shim->hops;
  bytes[OFFSET_RESERVED] = 0;
  put_number (bytes + OFFSET_SLOT, 2, shim->slot);
  put_number (bytes + OFFSET_LENGTH, 2, packet_length);
  put_number (bytes + OFFSET_ORIGIN, 8, shim->origin);
  put_number (bytes + OFFSET_VERSION, 8, shim->version);
  /* If no tag can be computed, the format version is cleared too, so that the
     receiver rejects the datagram. */
  if (!compute_tag (key, bytes, packet, packet_length, bytes + OFFSET_TAG))
    memset (bytes, 0, GBD_SHIM_LENGTH);
}

gbd_status_t
gbd_shim_decode (const uint8_t *bytes, size_t length, const uint8_t key[16],
                 gbd_shim_t *shim)
{
  if (length < GBD_SHIM_LENGTH)
    return GBD_ERROR_FORMAT;
  if (bytes[0] != SHIM_FORMAT_VERSION || bytes[OFFSET_RESERVED] != 0)
    return GBD_ERROR_FORMAT;
  if (bytes[OFFSET_KIND] < GBD_SHIM_OPEN
      || bytes[OFFSET_KIND] > GBD_SHIM_RELAY)
    return GBD_ERROR_FORMAT;
  size_t packet_length = length - GBD_SHIM_LENGTH;
  if (get_number (bytes + OFFSET_LENGTH, 2) != packet_length)
    return GBD_ERROR_FORMAT;

  uint8_t tag[TAG_LENGTH];
  if (!compute_tag (key, bytes, bytes + GBD_SHIM_LENGTH, packet_length, tag))
    return GBD_ERROR_FORMAT;
  if (CRYPTO_memcmp (tag, bytes + OFFSET_TAG, TAG_LENGTH) != 0)
    return GBD_ERROR_FORMAT;

  shim->kind = bytes[OFFSET_KIND];
  shim->hops = bytes[OFFSET_HOPS];
  shim->slot = (gbd_slot_t)get_number (bytes + OFFSET_SLOT, 2);
  shim->origin = get_number (bytes + OFFSET_ORIGIN, 8);
  shim->version = get_number (bytes + OFFSET_VERSION, 8);
  return GBD_OK;
}

static bool
compute_tag (const uint8_t key[16], const uint8_t *shim, const uint8_t *packet,
             size_t packet_length, uint8_t *tag)
{
  EVP_MAC_CTX *context = get_context ();
  if (!context)
    return false;
  size_t authenticated_length
      = packet_length < AUTHENTICATED_MAX ? packet_length : AUTHENTICATED_MAX;
  size_t length = 0;
  return EVP_MAC_init (context, key, 16, NULL)
         && EVP_MAC_update (context, shim, OFFSET_TAG)
         && EVP_MAC_update (context, packet, authenticated_length)
         && EVP_MAC_final (context, tag, &length, TAG_LENGTH)
         && length == TAG_LENGTH;
}

/* Returns the context for computing tags.  It is kept for the lifetime of the
   process, because fetching the algorithm takes much longer than computing a
   tag. */
static EVP_MAC_CTX *
get_context (void)
{
  static EVP_MAC_CTX *context = NULL;
  if (context)
    return context;

  EVP_MAC *mac = EVP_MAC_fetch (NULL, "SIPHASH", NULL);
  if (!mac)
    return NULL;
  EVP_MAC_CTX *new_context = EVP_MAC_CTX_new (mac);
  EVP_MAC_free (mac); /* the context holds its own reference */

  size_t tag_length = TAG_LENGTH;
  OSSL_PARAM parameters[] = {
    OSSL_PARAM_construct_size_t (OSSL_MAC_PARAM_SIZE, &tag_length),
    OSSL_PARAM_construct_end (),
  };
  if (!new_context || !EVP_MAC_CTX_set_params (new_context, parameters))
    {
      EVP_MAC_CTX_free (new_context);
      return NULL;
    }
  context = new_context;
  return context;
}

static void
put_number (uint8_t *bytes, size_t count, uint64_t value)
{
  for (size_t i = 0; i < count; i++)
    bytes[i] = (uint8_t)(value >> 8 * (count - 1 - i));
}

static uint64_t
get_number (const uint8_t *bytes, size_t count)
{
  uint64_t value = 0;
  for (size_t i = 0; i < count; i++)
    value = value << 8 | bytes[i];
  return value;
}
