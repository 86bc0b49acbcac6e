#include <rapidcheck.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "gooseberrydrum/message.h"

namespace
{

using bytes_t = std::vector<uint8_t>;

constexpr size_t prefix_length = 4;

/** A message and the memory that its pointers refer to. */
struct sample_t
{
  gbd_message_t message;
  bytes_t bytes;
  std::vector<gbd_progress_t> progress;
  std::vector<gbd_flow_entry_t> flows;
  std::vector<gbd_load_entry_t> loads;
};

template <typename value_t>
value_t
any_integer ()
{
  /* Values of every bit width, because the codec encodes them in different
     formats. */
  auto value = *rc::gen::arbitrary<uint64_t> ();
  return static_cast<value_t> (value >> *rc::gen::inRange (0, 64));
}

size_t
any_count (size_t maximum)
{
  return *rc::gen::inRange<size_t> (0, maximum + 1);
}

bytes_t
any_bytes ()
{
  return *rc::gen::nonEmpty (rc::gen::arbitrary<bytes_t> ());
}

void
fill_hello (sample_t &sample)
{
  auto &hello = sample.message.body.hello;
  hello.version_min = 1;
  hello.version_max = *rc::gen::inRange<uint8_t> (1, 255);
  hello.zone = any_integer<uint32_t> ();
  auto name = *rc::gen::nonEmpty (
      rc::gen::container<std::string> (rc::gen::inRange<char> ('!', '~')));
  std::strncpy (hello.name, name.c_str (), GBD_NAME_MAX);
  auto listen = *rc::gen::element ("127.0.0.1:1", "10.200.30.4:65535",
                                   "[2001:db8::1]:443", "[::1]:7000");
  RC_ASSERT (gbd_address_parse (listen, &hello.listen) == GBD_OK);
}

void
fill_heartbeat (sample_t &sample)
{
  auto &heartbeat = sample.message.body.heartbeat;
  heartbeat.sequence = any_integer<uint64_t> ();
  heartbeat.leaving = *rc::gen::arbitrary<bool> ();
  heartbeat.watching = *rc::gen::arbitrary<bool> ();
  heartbeat.platform_age_ms = any_integer<uint32_t> ();
  heartbeat.loss_free_ms = any_integer<uint32_t> ();
  heartbeat.generation = any_integer<uint64_t> ();
  heartbeat.ack_count = any_count (GBD_INCARNATIONS_MAX);
  for (size_t i = 0; i < heartbeat.ack_count; i++)
    {
      heartbeat.acks[i].id = any_integer<uint64_t> ();
      heartbeat.acks[i].sequence = any_integer<uint64_t> ();
      heartbeat.acks[i].age_ms = any_integer<uint32_t> ();
    }
  sample.progress.resize (any_count (40));
  for (auto &progress : sample.progress)
    progress = { any_integer<uint64_t> (), any_integer<uint64_t> (),
                 any_integer<uint64_t> () };
  heartbeat.progress_count = sample.progress.size ();
  heartbeat.progress = sample.progress.data ();
}

void
fill_flows (sample_t &sample)
{
  auto &flows = sample.message.body.flows;
  flows.service = any_integer<uint64_t> ();
  flows.version = any_integer<uint64_t> ();
  flows.kind = *rc::gen::inRange<uint8_t> (0, GBD_FLOWS_SHARE + 1);
  sample.flows.resize (any_count (GBD_FLOWS_MAX));
  for (auto &flow : sample.flows)
    flow = { any_integer<uint64_t> (), any_integer<uint16_t> () };
  flows.count = sample.flows.size ();
  flows.entries = sample.flows.data ();
}

void
fill_load (sample_t &sample)
{
  auto &load = sample.message.body.load;
  load.service = any_integer<uint64_t> ();
  load.round = any_integer<uint64_t> ();
  load.new_flows = any_integer<uint32_t> ();
  load.open_flows = any_integer<uint32_t> ();
  sample.loads.resize (any_count (60));
  for (auto &entry : sample.loads)
    entry = { any_integer<uint16_t> (), any_integer<uint32_t> (),
              any_integer<uint32_t> (), any_integer<uint32_t> () };
  load.count = sample.loads.size ();
  load.entries = sample.loads.data ();
}

void
fill_content (sample_t &sample)
{
  sample.bytes = any_bytes ();
  auto length = static_cast<uint32_t> (sample.bytes.size ());
  if (sample.message.type == GBD_MESSAGE_CONFIG)
    {
      auto &config = sample.message.body.config;
      config.generation = any_integer<uint64_t> ();
      config.length = length;
      config.bytes = sample.bytes.data ();
      return;
    }
  auto &table = sample.message.body.table;
  table.service = any_integer<uint64_t> ();
  table.version = any_integer<uint64_t> ();
  table.base = any_integer<uint64_t> ();
  table.length = length;
  table.bytes = sample.bytes.data ();
}

void
fill_sample (sample_t &sample)
{
  auto &message = sample.message;
  std::memset (&message, 0, sizeof message);
  message.type = *rc::gen::inRange<uint8_t> (1, GBD_MESSAGE_TYPE_COUNT);
  message.from = any_integer<uint64_t> () | 1;
  switch (message.type)
    {
    case GBD_MESSAGE_HELLO:
      return fill_hello (sample);
    case GBD_MESSAGE_HEARTBEAT:
      return fill_heartbeat (sample);
    case GBD_MESSAGE_FLOWS:
      return fill_flows (sample);
    case GBD_MESSAGE_LOAD:
      return fill_load (sample);
    case GBD_MESSAGE_TABLE:
    case GBD_MESSAGE_CONFIG:
      return fill_content (sample);
    case GBD_MESSAGE_TABLE_REQUEST:
      message.body.table_request
          = { any_integer<uint64_t> (), any_integer<uint64_t> () };
      return;
    case GBD_MESSAGE_COPY_REQUEST:
      message.body.copy_request
          = { any_integer<uint64_t> (), any_integer<uint64_t> () };
      return;
    default:
      message.body.flows_end.service = any_integer<uint64_t> ();
      message.body.flows_end.version = any_integer<uint64_t> ();
      message.body.flows_end.kind = GBD_FLOWS_EXCEPTION;
      return;
    }
}

bytes_t
encode (const gbd_message_t &message)
{
  size_t length = 0;
  uint8_t *encoded = gbd_message_encode (&message, &length);
  RC_ASSERT (encoded != nullptr);
  bytes_t bytes (encoded, encoded + length);
  std::free (encoded);
  return bytes;
}

void
assert_same_bytes (const void *a, const void *b, size_t length)
{
  if (length > 0)
    RC_ASSERT (std::memcmp (a, b, length) == 0);
}

/** Compare the lists field by field, because their elements have padding, and
 *  the rest of the messages byte by byte.  Both messages were zeroed before
 *  their fields were set. */
void
assert_equal_messages (const sample_t &sample, gbd_message_t read)
{
  gbd_message_t sent = sample.message;
  if (sent.type == GBD_MESSAGE_HEARTBEAT)
    {
      size_t size = sample.progress.size () * sizeof (gbd_progress_t);
      assert_same_bytes (read.body.heartbeat.progress, sample.progress.data (),
                         size);
      read.body.heartbeat.progress = sent.body.heartbeat.progress = nullptr;
    }
  if (sent.type == GBD_MESSAGE_FLOWS)
    {
      RC_ASSERT (read.body.flows.count == sample.flows.size ());
      for (size_t i = 0; i < sample.flows.size (); i++)
        {
          RC_ASSERT (read.body.flows.entries[i].hash == sample.flows[i].hash);
          RC_ASSERT (read.body.flows.entries[i].slot == sample.flows[i].slot);
        }
      read.body.flows.entries = sent.body.flows.entries = nullptr;
    }
  if (sent.type == GBD_MESSAGE_LOAD)
    {
      RC_ASSERT (read.body.load.count == sample.loads.size ());
      for (size_t i = 0; i < sample.loads.size (); i++)
        {
          const auto &a = read.body.load.entries[i];
          const auto &b = sample.loads[i];
          RC_ASSERT (a.slot == b.slot && a.new_flows == b.new_flows);
          RC_ASSERT (a.open_flows == b.open_flows);
          RC_ASSERT (a.kilobytes == b.kilobytes);
        }
      read.body.load.entries = sent.body.load.entries = nullptr;
    }
  if (sent.type == GBD_MESSAGE_TABLE)
    {
      assert_same_bytes (read.body.table.bytes, sample.bytes.data (),
                         sample.bytes.size ());
      read.body.table.bytes = sent.body.table.bytes = nullptr;
    }
  if (sent.type == GBD_MESSAGE_CONFIG)
    {
      assert_same_bytes (read.body.config.bytes, sample.bytes.data (),
                         sample.bytes.size ());
      read.body.config.bytes = sent.body.config.bytes = nullptr;
    }
  assert_same_bytes (&read, &sent, sizeof read);
}

}

int
main ()
{
  bool is_passed = true;

  is_passed &= rc::check ("a decoded message equals the encoded one", [] {
    sample_t sample;
    fill_sample (sample);
    bytes_t bytes = encode (sample.message);
    size_t length = bytes.size () - prefix_length;
    RC_ASSERT (length
               == (size_t (bytes[0]) << 24 | size_t (bytes[1]) << 16
                   | size_t (bytes[2]) << 8 | bytes[3]));
    gbd_message_t read;
    gbd_status_t status
        = gbd_message_decode (bytes.data () + prefix_length, length, &read);
    RC_ASSERT (status == GBD_OK);
    assert_equal_messages (sample, read);
    gbd_message_clear (&read);
  });

  is_passed &= rc::check ("a truncated message is refused", [] {
    sample_t sample;
    fill_sample (sample);
    bytes_t bytes = encode (sample.message);
    for (size_t length = 0; length < bytes.size () - prefix_length; length++)
      {
        /* An allocation of the exact length lets AddressSanitizer detect any
           read past the end. */
        bytes_t truncated (bytes.begin () + prefix_length,
                           bytes.begin () + prefix_length + length);
        gbd_message_t read;
        gbd_status_t status
            = gbd_message_decode (truncated.data (), truncated.size (), &read);
        RC_ASSERT (status == GBD_ERROR_FORMAT);
      }
  });

  is_passed
      &= rc::check ("random and modified bytes are decoded or refused", [] {
           sample_t sample;
           fill_sample (sample);
           bytes_t bytes = encode (sample.message);
           bytes.erase (bytes.begin (), bytes.begin () + prefix_length);
           if (*rc::gen::arbitrary<bool> ())
             bytes = *rc::gen::arbitrary<bytes_t> ();
           for (int i = 0; i < 200 && !bytes.empty (); i++)
             {
               bytes[*rc::gen::inRange<size_t> (0, bytes.size ())]
                   = *rc::gen::arbitrary<uint8_t> ();
               gbd_message_t read;
               gbd_status_t status
                   = gbd_message_decode (bytes.data (), bytes.size (), &read);
               if (status == GBD_OK)
                 gbd_message_clear (&read);
               else
                 RC_ASSERT (status == GBD_ERROR_FORMAT
                            || status == GBD_ERROR_NOT_FOUND);
             }
         });

  return is_passed ? 0 : 1;
}
