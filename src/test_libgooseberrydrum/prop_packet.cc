#include <rapidcheck.h>

#include <cstring>
#include <vector>

#include "gooseberrydrum/packet.h"

namespace
{

struct tcp_packet
{
  gbd_flow_t flow;
  std::vector<uint8_t> bytes;
};

void
append_u16 (std::vector<uint8_t> &bytes, size_t value)
{
  bytes.push_back (static_cast<uint8_t> (value >> 8));
  bytes.push_back (static_cast<uint8_t> (value));
}

gbd_address_t
any_address (uint8_t family)
{
  gbd_address_t address;
  std::memset (&address, 0, sizeof address);
  address.family = family;
  address.port = *rc::gen::arbitrary<uint16_t> ();
  auto ip = *rc::gen::container<std::vector<uint8_t> > (
      family == 4 ? 4 : 16, rc::gen::arbitrary<uint8_t> ());
  std::memcpy (address.ip, ip.data (), ip.size ());
  return address;
}

/* Builds the packet from the layout in the standards, independently of the
   code under test. */
tcp_packet
any_packet (uint8_t flags)
{
  tcp_packet packet;
  uint8_t family = *rc::gen::element<uint8_t> (4, 6);
  size_t ip_length = family == 4 ? 4 : 16;
  size_t payload = *rc::gen::inRange<size_t> (0, 1400);
  packet.flow.caller = any_address (family);
  packet.flow.service = any_address (family);
  auto &bytes = packet.bytes;
  if (family == 4)
    {
      bytes = { 0x45, 0 };
      append_u16 (bytes, 40 + payload);
      bytes.insert (bytes.end (), { 0, 0, 0x40, 0, 64, 6, 0, 0 });
    }
  else
    {
      bytes = { 0x60, 0, 0, 0 };
      append_u16 (bytes, 20 + payload);
      bytes.insert (bytes.end (), { 6, 64 });
    }
  auto caller = packet.flow.caller.ip;
  auto service = packet.flow.service.ip;
  bytes.insert (bytes.end (), caller, caller + ip_length);
  bytes.insert (bytes.end (), service, service + ip_length);
  if (family == 4)
    {
      uint16_t sum = gbd_checksum (bytes.data (), bytes.size (), 0);
      bytes[10] = static_cast<uint8_t> (sum >> 8);
      bytes[11] = static_cast<uint8_t> (sum);
    }
  append_u16 (bytes, packet.flow.caller.port);
  append_u16 (bytes, packet.flow.service.port);
  bytes.insert (bytes.end (),
                { 0, 0, 0, 9, 0, 0, 0, 0, 0x50, flags, 1, 0, 0, 0, 0, 0 });
  bytes.resize (bytes.size () + payload);
  return packet;
}

bool
is_same_flow (const gbd_flow_t &a, const gbd_flow_t &b)
{
  return gbd_address_is_equal (&a.caller, &b.caller)
         && gbd_address_is_equal (&a.service, &b.service);
}

} // namespace

int
main ()
{
  bool ok = rc::check (
      "parsing returns the flow that the packet was built from", [] {
        auto built = any_packet (0x10);
        gbd_packet_t packet;
        RC_ASSERT (gbd_packet_parse (built.bytes.data (), built.bytes.size (),
                                     &packet)
                   == GBD_DROP_NONE);
        RC_ASSERT (is_same_flow (packet.flow, built.flow));
        RC_ASSERT (packet.sequence == 9u);
      });

  ok &= rc::check (
      "an ICMP error that quotes a response yields the same flow", [] {
        auto built = any_packet (0x10);
        gbd_packet_t packet;
        RC_ASSERT (gbd_packet_parse (built.bytes.data (), built.bytes.size (),
                                     &packet)
                   == GBD_DROP_NONE);
        packet.kind = GBD_PACKET_OPENING;
        uint8_t quote[GBD_RESET_LENGTH_MAX];
        /* The reset has the same direction and layout as a response. */
        size_t length = gbd_packet_build_reset (&packet, quote);
        bool is_ipv4 = built.flow.service.family == 4;
        size_t header = is_ipv4 ? 20 : 40;
        size_t quote_length
            = *rc::gen::inRange<size_t> (header + 8, length + 1);

        std::vector<uint8_t> bytes (built.bytes.begin (),
                                    built.bytes.begin () + header);
        bytes[is_ipv4 ? 9 : 6] = is_ipv4 ? 1 : 58;
        size_t field = (is_ipv4 ? header : 0) + 8 + quote_length;
        bytes[is_ipv4 ? 2 : 4] = 0;
        bytes[is_ipv4 ? 3 : 5] = static_cast<uint8_t> (field);
        if (is_ipv4)
          {
            bytes[10] = bytes[11] = 0;
            uint16_t sum = gbd_checksum (bytes.data (), header, 0);
            bytes[10] = static_cast<uint8_t> (sum >> 8);
            bytes[11] = static_cast<uint8_t> (sum);
          }
        bytes.insert (bytes.end (),
                      { uint8_t (is_ipv4 ? 3 : 2), 4, 0, 0, 0, 0, 5, 0 });
        bytes.insert (bytes.end (), quote, quote + quote_length);
        gbd_packet_t icmp;
        RC_ASSERT (gbd_packet_parse (bytes.data (), bytes.size (), &icmp)
                   == GBD_DROP_NONE);
        RC_ASSERT (icmp.kind == GBD_PACKET_ICMP);
        RC_ASSERT (is_same_flow (icmp.flow, built.flow));
      });

  ok &= rc::check ("a truncated packet is never accepted", [] {
    auto built = any_packet (0x18);
    size_t length = *rc::gen::inRange<size_t> (0, built.bytes.size ());
    gbd_packet_t packet;
    RC_ASSERT (gbd_packet_parse (built.bytes.data (), length, &packet)
               == GBD_DROP_TRUNCATED);
  });

  ok &= rc::check ("flow hashes depend on every part of flow and key", [] {
    auto flow = any_packet (0x10).flow;
    auto key = *rc::gen::arbitrary<uint64_t> ();
    auto hash = gbd_flow_hash (&flow, key);
    RC_ASSERT (gbd_flow_hash (&flow, key) == hash);
    RC_ASSERT (gbd_flow_hash (&flow, key + 1) != hash);
    auto other = flow;
    int last = flow.caller.family == 4 ? 4 : 16;
    int at = *rc::gen::inRange (0, last);
    switch (*rc::gen::inRange (0, 4))
      {
      case 0:
        other.caller.ip[at] ^= 1;
        break;
      case 1:
        other.service.ip[at] ^= 1;
        break;
      case 2:
        other.caller.port ^= 1;
        break;
      default:
        other.service.port ^= 1;
      }
    RC_ASSERT (gbd_flow_hash (&other, key) != hash);
  });
  return ok ? 0 : 1;
}
