#include "gooseberrydrum/packet.h"

#include <assert.h>
#include <string.h>

#include "gooseberrydrum/bytes.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#define IPV4_HEADER 20
#define IPV6_HEADER 40
#define TCP_HEADER 20
#define ICMP_HEADER 8
/* Minimum bytes of the TCP header that an ICMP error must quote. */
#define QUOTED_TCP_MIN 8
#define IPV6_EXTENSIONS_MAX 4
#define RESET_HOP_LIMIT 64

#define PROTOCOL_HOP_BY_HOP 0
#define PROTOCOL_ICMP 1
#define PROTOCOL_TCP 6
#define PROTOCOL_FRAGMENT 44
#define PROTOCOL_ICMPV6 58
#define PROTOCOL_DESTINATION 60

#define IPV4_MORE_FRAGMENTS 0x2000
#define IPV4_FRAGMENT_OFFSET 0x1fff
#define IPV4_OPTION_END 0
#define IPV4_OPTION_PAD 1
#define IPV4_OPTION_LOOSE_ROUTE 131
#define IPV4_OPTION_STRICT_ROUTE 137
#define TCP_OPTION_END 0
#define TCP_OPTION_PAD 1

#define TCP_FIN 0x01
#define TCP_SYN 0x02
#define TCP_RST 0x04
#define TCP_ACK 0x10

const char *const gbd_drop_strings[GBD_DROP_COUNT] = {
  "none",      "truncated", "bad_version", "bad_length", "bad_checksum",
  "fragment",  "protocol",  "bad_flags",   "no_service", "no_backend",
  "isolation", "uncertain", "hop_limit",   "limit",      "not_joined",
  "bad_shim",  "send",
};

/** A validated IP header. */
typedef struct
{
  uint8_t family;
  uint8_t protocol; /* protocol number of the transport header */
  const uint8_t *source;
  const uint8_t *destination;
  size_t header; /* bytes before the transport header */
  size_t length; /* length of the packet according to its header */
} ip_header_t;

static gbd_drop_t read_ip (const uint8_t *bytes, size_t available,
                           bool is_quote, ip_header_t *ip);
static gbd_drop_t read_ipv4 (const uint8_t *bytes, size_t available,
                             bool is_quote, ip_header_t *ip);
static gbd_drop_t read_ipv6 (const uint8_t *bytes, size_t available,
                             ip_header_t *ip);
static gbd_drop_t check_length (size_t available, bool is_quote,
                                const ip_header_t *ip);
static gbd_drop_t check_ipv4_options (const uint8_t *options, size_t length);
static bool are_tcp_options_valid (const uint8_t *options, size_t length);
static bool are_tcp_flags_valid (uint8_t flags);
static gbd_packet_kind_t get_packet_kind (uint8_t flags);
static gbd_drop_t read_tcp (const uint8_t *segment, size_t length,
                            const ip_header_t *ip, gbd_packet_t *packet);
static gbd_drop_t read_icmp (const uint8_t *message, size_t length,
                             const ip_header_t *ip, gbd_packet_t *packet);
static bool is_icmp_error (uint8_t protocol, uint8_t type);
static void set_address (gbd_address_t *address, uint8_t family,
                         const uint8_t *ip, const uint8_t *port);
static size_t address_length (uint8_t family);
static uint32_t add16 (const uint8_t *bytes, size_t length, uint32_t sum);

gbd_drop_t
gbd_packet_parse (const uint8_t *bytes, size_t length, gbd_packet_t *packet)
{
  ip_header_t ip;
  gbd_drop_t drop = read_ip (bytes, length, false, &ip);
  if (drop != GBD_DROP_NONE)
    return drop;

  const uint8_t *segment = bytes + ip.header;
  size_t segment_length = ip.length - ip.header;
  uint8_t icmp_protocol = ip.family == 4 ? PROTOCOL_ICMP : PROTOCOL_ICMPV6;
  if (ip.protocol == PROTOCOL_TCP)
    return read_tcp (segment, segment_length, &ip, packet);
  if (ip.protocol == icmp_protocol)
    return read_icmp (segment, segment_length, &ip, packet);
  return GBD_DROP_PROTOCOL;
}

size_t
gbd_packet_build_reset (const gbd_packet_t *packet, uint8_t *bytes)
{
  const gbd_address_t *from = &packet->flow.service;
  const gbd_address_t *to = &packet->flow.caller;
  size_t address = address_length (from->family);
  size_t header = from->family == 6 ? IPV6_HEADER : IPV4_HEADER;
  bool is_opening = packet->kind == GBD_PACKET_OPENING;
  assert (is_opening || packet->has_ack);
  assert (from->family == to->family);

  memset (bytes, 0, header + TCP_HEADER);
  if (from->family == 6)
    {
      bytes[0] = 0x60;
      gbd_put16 (bytes + 4, TCP_HEADER);
      bytes[6] = PROTOCOL_TCP;
      bytes[7] = RESET_HOP_LIMIT;
      memcpy (bytes + 8, from->ip, address);
      memcpy (bytes + 24, to->ip, address);
    }
  else
    {
      bytes[0] = 0x45;
      gbd_put16 (bytes + 2, IPV4_HEADER + TCP_HEADER);
      bytes[8] = RESET_HOP_LIMIT;
      bytes[9] = PROTOCOL_TCP;
      memcpy (bytes + 12, from->ip, address);
      memcpy (bytes + 16, to->ip, address);
      gbd_put16 (bytes + 10, gbd_checksum (bytes, IPV4_HEADER, 0));
    }

  uint8_t *tcp = bytes + header;
  gbd_put16 (tcp, from->port);
  gbd_put16 (tcp + 2, to->port);
  if (is_opening)
    gbd_put32 (tcp + 8, packet->sequence + 1);
  else
    gbd_put32 (tcp + 4, packet->acknowledgment);
  tcp[12] = (TCP_HEADER / 4) << 4;
  tcp[13] = is_opening ? TCP_RST | TCP_ACK : TCP_RST;
  uint32_t pseudo = PROTOCOL_TCP + TCP_HEADER;
  pseudo = add16 (from->ip, address, pseudo);
  pseudo = add16 (to->ip, address, pseudo);
  gbd_put16 (tcp + 16, gbd_checksum (tcp, TCP_HEADER, pseudo));
  return header + TCP_HEADER;
}

uint16_t
gbd_checksum (const uint8_t *bytes, size_t length, uint32_t sum)
{
  sum = add16 (bytes, length, sum);
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return (uint16_t)~sum;
}

gbd_flow_hash_t
gbd_flow_hash (const gbd_flow_t *flow, uint64_t key)
{
  /* The key is stored as 64-bit words, because the hash reads 64-bit words and
     a read that spans several narrower stores stalls.  The keys of IPv4 and
     IPv6 flows differ in length, so they cannot be equal. */
  uint64_t words[5];
  uint64_t ports = (uint64_t)flow->caller.port << 16 | flow->service.port;
  if (flow->service.family == 4)
    {
      uint32_t caller;
      uint32_t service;
      memcpy (&caller, flow->caller.ip, sizeof caller);
      memcpy (&service, flow->service.ip, sizeof service);
      words[0] = (uint64_t)caller << 32 | service;
      words[1] = ports;
      return XXH3_64bits_withSeed (words, 16, key);
    }
  memcpy (words, flow->caller.ip, 16);
  memcpy (words + 2, flow->service.ip, 16);
  words[4] = ports;
  return XXH3_64bits_withSeed (words, sizeof words, key);
}

static gbd_drop_t
read_ip (const uint8_t *bytes, size_t available, bool is_quote,
         ip_header_t *ip)
{
  if (available == 0)
    return GBD_DROP_TRUNCATED;
  if (bytes[0] >> 4 != 4 && bytes[0] >> 4 != 6)
    return GBD_DROP_BAD_VERSION;

  ip->family = bytes[0] >> 4;
  size_t header = ip->family == 4 ? IPV4_HEADER : IPV6_HEADER;
  if (available < header)
    return GBD_DROP_TRUNCATED;

  ip->length = ip->family == 4 ? gbd_get16 (bytes + 2)
                               : (size_t)gbd_get16 (bytes + 4) + IPV6_HEADER;
  gbd_drop_t drop = check_length (available, is_quote, ip);
  if (drop != GBD_DROP_NONE)
    return drop;
  if (ip->family == 4)
    return read_ipv4 (bytes, available, is_quote, ip);
  return read_ipv6 (bytes, available, ip);
}

static gbd_drop_t
check_length (size_t available, bool is_quote, const ip_header_t *ip)
{
  /* The quoting router may truncate a quote at any length, and pads it to a
     multiple of 8 bytes if extensions follow it (RFC 4884). */
  if (is_quote)
    return GBD_DROP_NONE;
  if (available < ip->length)
    return GBD_DROP_TRUNCATED;
  if (available > ip->length)
    return GBD_DROP_BAD_LENGTH;
  return GBD_DROP_NONE;
}

static gbd_drop_t
read_ipv4 (const uint8_t *bytes, size_t available, bool is_quote,
           ip_header_t *ip)
{
  ip->header = (size_t)(bytes[0] & 0x0f) * 4;
  if (ip->header < IPV4_HEADER || ip->length < ip->header)
    return GBD_DROP_BAD_LENGTH;
  if (available < ip->header)
    return GBD_DROP_TRUNCATED;
  /* The header of a quoted packet was modified by routers on its way, so its
     checksum need not match. */
  if (!is_quote && gbd_checksum (bytes, ip->header, 0) != 0)
    return GBD_DROP_BAD_CHECKSUM;

  uint16_t fragment = gbd_get16 (bytes + 6);
  uint16_t rejected_bits = IPV4_FRAGMENT_OFFSET;
  if (!is_quote)
    rejected_bits |= IPV4_MORE_FRAGMENTS;
  if (fragment & rejected_bits)
    return GBD_DROP_FRAGMENT;

  ip->protocol = bytes[9];
  ip->source = bytes + 12;
  ip->destination = bytes + 16;
  return check_ipv4_options (bytes + IPV4_HEADER, ip->header - IPV4_HEADER);
}

static gbd_drop_t
check_ipv4_options (const uint8_t *options, size_t length)
{
  size_t at = 0;
  while (at < length && options[at] != IPV4_OPTION_END)
    {
      if (options[at] == IPV4_OPTION_PAD)
        {
          at++;
          continue;
        }
      if (at + 1 >= length || options[at + 1] < 2
          || options[at + 1] > length - at)
        return GBD_DROP_BAD_LENGTH;
      /* A source-routed packet has another final destination. */
      if (options[at] == IPV4_OPTION_LOOSE_ROUTE
          || options[at] == IPV4_OPTION_STRICT_ROUTE)
        return GBD_DROP_PROTOCOL;
      at += options[at + 1];
    }
  return GBD_DROP_NONE;
}

static gbd_drop_t
read_ipv6 (const uint8_t *bytes, size_t available, ip_header_t *ip)
{
  ip->source = bytes + 8;
  ip->destination = bytes + 24;
  ip->header = IPV6_HEADER;
  ip->protocol = bytes[6];

  for (int i = 0; i < IPV6_EXTENSIONS_MAX; i++)
    {
      if (ip->protocol == PROTOCOL_FRAGMENT)
        return GBD_DROP_FRAGMENT;
      bool is_skippable = ip->protocol == PROTOCOL_DESTINATION
                          || (ip->protocol == PROTOCOL_HOP_BY_HOP && i == 0);
      if (!is_skippable)
        return GBD_DROP_NONE;
      size_t end = available < ip->length ? available : ip->length;
      if (end - ip->header < 8)
        return GBD_DROP_TRUNCATED;

      const uint8_t *extension = bytes + ip->header;
      size_t extension_length = ((size_t)extension[1] + 1) * 8;
      if (extension_length > ip->length - ip->header)
        return GBD_DROP_BAD_LENGTH;
      if (extension_length > available - ip->header)
        return GBD_DROP_TRUNCATED;
      ip->protocol = extension[0];
      ip->header += extension_length;
    }
  return GBD_DROP_PROTOCOL;
}

/* Read a TCP header.  The checksum is not verified, because the backend server
   verifies it. */
static gbd_drop_t
read_tcp (const uint8_t *segment, size_t length, const ip_header_t *ip,
          gbd_packet_t *packet)
{
  if (length < TCP_HEADER)
    return GBD_DROP_TRUNCATED;
  size_t header = (size_t)(segment[12] >> 4) * 4;
  if (header < TCP_HEADER || header > length)
    return GBD_DROP_BAD_LENGTH;
  if (!are_tcp_options_valid (segment + TCP_HEADER, header - TCP_HEADER))
    return GBD_DROP_BAD_LENGTH;
  if (!are_tcp_flags_valid (segment[13]))
    return GBD_DROP_BAD_FLAGS;

  packet->kind = get_packet_kind (segment[13]);
  set_address (&packet->flow.caller, ip->family, ip->source, segment);
  set_address (&packet->flow.service, ip->family, ip->destination,
               segment + 2);
  packet->sequence = gbd_get32 (segment + 4);
  packet->acknowledgment = gbd_get32 (segment + 8);
  packet->has_ack = segment[13] & TCP_ACK;
  packet->is_reset = segment[13] & TCP_RST;
  packet->payload_length = (uint16_t)(length - header);
  packet->length = (uint16_t)ip->length;
  packet->cookie = 0;
  return GBD_DROP_NONE;
}

static bool
are_tcp_options_valid (const uint8_t *options, size_t length)
{
  size_t at = 0;
  while (at < length && options[at] != TCP_OPTION_END)
    {
      if (options[at] == TCP_OPTION_PAD)
        {
          at++;
          continue;
        }
      if (at + 1 >= length || options[at + 1] < 2
          || options[at + 1] > length - at)
        return false;
      at += options[at + 1];
    }
  return true;
}

static bool
are_tcp_flags_valid (uint8_t flags)
{
  bool is_syn = flags & TCP_SYN;
  bool is_fin = flags & TCP_FIN;
  bool is_rst = flags & TCP_RST;
  if (is_syn + is_fin + is_rst > 1)
    return false;
  /* Every packet except a SYN or RST must have ACK set. */
  return is_syn || is_rst || (flags & TCP_ACK);
}

static gbd_packet_kind_t
get_packet_kind (uint8_t flags)
{
  if ((flags & (TCP_SYN | TCP_ACK)) == TCP_SYN)
    return GBD_PACKET_OPENING;
  if (flags & (TCP_FIN | TCP_RST))
    return GBD_PACKET_CLOSING;
  return GBD_PACKET_ESTABLISHED;
}

static gbd_drop_t
read_icmp (const uint8_t *message, size_t length, const ip_header_t *ip,
           gbd_packet_t *packet)
{
  if (length < ICMP_HEADER)
    return GBD_DROP_TRUNCATED;
  if (!is_icmp_error (ip->protocol, message[0]))
    return GBD_DROP_PROTOCOL;

  ip_header_t quoted;
  const uint8_t *quote = message + ICMP_HEADER;
  size_t quote_length = length - ICMP_HEADER;
  gbd_drop_t drop = read_ip (quote, quote_length, true, &quoted);
  if (drop != GBD_DROP_NONE)
    return drop;
  if (quoted.family != ip->family || quoted.protocol != PROTOCOL_TCP)
    return GBD_DROP_PROTOCOL;
  if (quoted.length - quoted.header < TCP_HEADER)
    return GBD_DROP_BAD_LENGTH;
  if (quote_length - quoted.header < QUOTED_TCP_MIN)
    return GBD_DROP_TRUNCATED;
  size_t address_size = address_length (ip->family);
  /* An ICMP error is sent to the source of the packet that it quotes.  An
     error with another destination is forged, to reach the backend servers of
     another service. */
  if (memcmp (ip->destination, quoted.source, address_size) != 0)
    return GBD_DROP_PROTOCOL;

  const uint8_t *tcp = quote + quoted.header;
  packet->kind = GBD_PACKET_ICMP;
  set_address (&packet->flow.caller, ip->family, quoted.destination, tcp + 2);
  set_address (&packet->flow.service, ip->family, quoted.source, tcp);
  packet->sequence = gbd_get32 (tcp + 4);
  packet->acknowledgment = 0;
  packet->cookie = 0;
  packet->has_ack = false;
  packet->is_reset = false;
  packet->payload_length = 0;
  packet->length = (uint16_t)ip->length;
  packet->cookie = 0;
  return GBD_DROP_NONE;
}

static bool
is_icmp_error (uint8_t protocol, uint8_t type)
{
  if (protocol == PROTOCOL_ICMP)
    return type == 3 || type == 11 || type == 12;
  return type >= 1 && type <= 4;
}

static void
set_address (gbd_address_t *address, uint8_t family, const uint8_t *ip,
             const uint8_t *port)
{
  memset (address, 0, sizeof *address);
  address->family = family;
  address->port = gbd_get16 (port);
  if (family == 4)
    memcpy (address->ip, ip, 4);
  else
    memcpy (address->ip, ip, 16);
}

static size_t
address_length (uint8_t family)
{
  return family == 6 ? 16 : 4;
}

static uint32_t
add16 (const uint8_t *bytes, size_t length, uint32_t sum)
{
  for (size_t i = 0; i + 1 < length; i += 2)
    sum += gbd_get16 (bytes + i);
  if (length & 1)
    sum += (uint32_t)bytes[length - 1] << 8;
  return sum;
}
