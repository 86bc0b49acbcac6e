/** @file bytes.h
 *  Access to unaligned integers in network byte order.
 */
#ifndef GOOSEBERRYDRUM_BYTES_H
#define GOOSEBERRYDRUM_BYTES_H

#include <stdint.h>

static inline uint16_t
gbd_get16 (const uint8_t *at)
{
  return (uint16_t)(at[0] << 8 | at[1]);
}

static inline uint32_t
gbd_get32 (const uint8_t *at)
{
  return (uint32_t)gbd_get16 (at) << 16 | gbd_get16 (at + 2);
}

static inline void
gbd_put16 (uint8_t *at, uint16_t value)
{
  at[0] = (uint8_t)(value >> 8);
  at[1] = (uint8_t)value;
}

static inline void
gbd_put32 (uint8_t *at, uint32_t value)
{
  gbd_put16 (at, (uint16_t)(value >> 16));
  gbd_put16 (at + 2, (uint16_t)value);
}

#endif
