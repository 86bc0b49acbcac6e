/** @file sample_packets.h
 *  Valid sample packets for tests of the packet parser.
 */
#ifndef TEST_SAMPLE_PACKETS_H
#define TEST_SAMPLE_PACKETS_H

#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "gooseberrydrum/packet.h"

#define SAMPLE_LENGTH_MAX 256

typedef struct
{
  const char *name;
  size_t length;
  uint8_t bytes[SAMPLE_LENGTH_MAX];
} sample_t;

/* 10.0.0.9:1025 -> 192.0.2.1:80, SYN, maximum segment size 1460. */
static const sample_t sample_ipv4
    = { "ipv4", 44, { 0x45, 0,  0, 44, 0, 7,   0x40, 0, 64, 6, 0,
                      0,    10, 0, 0,  9, 192, 0,    2, 1,  4, 1,
                      0,    80, 1, 2,  3, 4,   0,    0, 0,  0, 0x60,
                      2,    1,  0, 0,  0, 0,   0,    2, 4,  5, 180 } };

/* [2001:db8::9]:1025 -> [2001:db8::1]:80, PSH and ACK, 4 bytes, after a
   destination options header. */
static const sample_t sample_ipv6
    = { "ipv6",
        72,
        { 0x60, 0,    0, 0, 0, 32, 60, 64, 0x20, 1,    0x0d, 0xb8, 0,    0, 0,
          0,    0,    0, 0, 0, 0,  0,  0,  9,    0x20, 1,    0x0d, 0xb8, 0, 0,
          0,    0,    0, 0, 0, 0,  0,  0,  0,    1,    6,    0,    1,    4, 0,
          0,    0,    0, 4, 1, 0,  80, 1,  2,    3,    4,    0,    0,    0, 1,
          0x50, 0x18, 1, 0, 0, 0,  0,  0,  1,    2,    3,    4 } };

/* 198.51.100.1 -> 192.0.2.1, fragmentation needed; quotes 8 bytes of TCP from
   192.0.2.1:80 to 10.0.0.9:1025. */
static const sample_t sample_icmp = {
  "icmp", 56, { 0x45, 0, 0,   56,  0, 7, 0,    0,  64, 1, 0, 0, 198, 51,
                100,  1, 192, 0,   2, 1, 3,    4,  0,  0, 0, 0, 5,   0,
                0x45, 0, 5,   220, 0, 7, 0x40, 0,  63, 6, 0, 0, 192, 0,
                2,    1, 10,  0,   0, 9, 0,    80, 4,  1, 9, 9, 9,   9 }
};

/* 2001:db8::ff -> 2001:db8::1, packet too big; quotes 8 bytes of TCP from
   [2001:db8::1]:80 to [2001:db8::9]:1025. */
static const sample_t sample_icmpv6
    = { "icmpv6",
        96,
        { 0x60, 0, 0, 0, 0, 56, 58, 64,   0x20, 1,  0x0d, 0xb8, 0, 0, 0, 0,
          0,    0, 0, 0, 0, 0,  0,  0xff, 0x20, 1,  0x0d, 0xb8, 0, 0, 0, 0,
          0,    0, 0, 0, 0, 0,  0,  1,    2,    0,  0,    0,    0, 0, 5, 0,
          0x60, 0, 0, 0, 5, 0,  6,  63,   0x20, 1,  0x0d, 0xb8, 0, 0, 0, 0,
          0,    0, 0, 0, 0, 0,  0,  1,    0x20, 1,  0x0d, 0xb8, 0, 0, 0, 0,
          0,    0, 0, 0, 0, 0,  0,  9,    0,    80, 4,    1,    9, 9, 9, 9 } };

#define SAMPLE_COUNT 4
static const sample_t *const samples[SAMPLE_COUNT]
    = { &sample_ipv4, &sample_ipv6, &sample_icmp, &sample_icmpv6 };

/** Set the IPv4 header checksum if the buffer contains a complete IPv4 header.
 */
static inline void
sample_fix_checksum (uint8_t *bytes, size_t length)
{
  size_t header = length ? (size_t)(bytes[0] & 15) * 4 : 0;
  if (!length || bytes[0] >> 4 != 4 || header < 20 || header > length)
    return;
  bytes[10] = 0;
  bytes[11] = 0;
  uint16_t sum = gbd_checksum (bytes, header, 0);
  bytes[10] = (uint8_t)(sum >> 8);
  bytes[11] = (uint8_t)sum;
}

#endif
