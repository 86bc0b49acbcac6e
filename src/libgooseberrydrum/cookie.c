#include "gooseberrydrum/cookie.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Four rounds make a Feistel network a strong pseudorandom permutation if
   the round function is pseudorandom (Luby and Rackoff, 1988). */
#define ROUNDS 4

static uint16_t round_function (uint64_t tweak, unsigned round, uint16_t half);

gbd_fingerprint_t
gbd_cookie_fingerprint (gbd_backend_id_t id)
{
  if (id <= UINT32_MAX)
    return (gbd_fingerprint_t)id;
  return (gbd_fingerprint_t)XXH3_64bits (&id, sizeof id);
}

gbd_cookie_t
gbd_cookie_encode (uint64_t key, const gbd_flow_t *flow,
                   gbd_fingerprint_t fingerprint)
{
  uint64_t tweak = gbd_flow_hash (flow, key);
  uint16_t left = (uint16_t)(fingerprint >> 16);
  uint16_t right = (uint16_t)fingerprint;
  for (unsigned round = 0; round < ROUNDS; round++)
    {
      uint16_t next = left ^ round_function (tweak, round, right);
      left = right;
      right = next;
    }
  return (gbd_cookie_t)left << 16 | right;
}

gbd_fingerprint_t
gbd_cookie_decode (uint64_t key, const gbd_flow_t *flow, gbd_cookie_t cookie)
{
  uint64_t tweak = gbd_flow_hash (flow, key);
  uint16_t left = (uint16_t)(cookie >> 16);
  uint16_t right = (uint16_t)cookie;
  for (unsigned round = ROUNDS; round-- > 0;)
    {
      uint16_t previous = right ^ round_function (tweak, round, left);
      right = left;
      left = previous;
    }
  return (gbd_fingerprint_t)left << 16 | right;
}

static uint16_t
round_function (uint64_t tweak, unsigned round, uint16_t half)
{
  uint32_t input = (uint32_t)round << 16 | half;
  return (uint16_t)XXH3_64bits_withSeed (&input, sizeof input, tweak);
}
