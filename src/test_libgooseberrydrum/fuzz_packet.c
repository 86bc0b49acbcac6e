/* Entry point of libFuzzer; test_fuzz_packet.c runs it on a generated corpus.
   Stand-alone build:
   clang -fsanitize=fuzzer,address,undefined -Iinclude -Isrc
     fuzz_packet.c packet.c shim.c types.c -lxxhash -lcrypto */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "gooseberrydrum/message.h"
#include "gooseberrydrum/packet.h"

#define SENTINEL 0xeeee

/* NOLINTBEGIN(readability-identifier-naming): the name is libFuzzer's. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
/* NOLINTEND(readability-identifier-naming) */
{
  static const uint8_t key[16] = { 1 };
  /* An allocation of the exact size lets AddressSanitizer detect any access
     past the end. */
  uint8_t *bytes = malloc (size ? size : 1);
  assert (bytes);
  if (size)
    memcpy (bytes, data, size);

  gbd_packet_t packet = { .length = SENTINEL };
  packet.flow.service.port = SENTINEL;
  gbd_drop_t drop = gbd_packet_parse (bytes, size, &packet);
  assert (drop <= GBD_DROP_BAD_FLAGS);
  if (drop != GBD_DROP_NONE)
    assert (packet.length == SENTINEL && packet.flow.service.port == SENTINEL);
  else
    {
      const gbd_flow_t *flow = &packet.flow;
      assert (packet.length == size);
      assert (packet.payload_length < size);
      assert (packet.kind <= GBD_PACKET_ICMP);
      assert (flow->caller.family == flow->service.family);
      assert (flow->caller.family == bytes[0] >> 4);
      /* A packet must never be assigned to an address other than its
         destination. */
      size_t at = flow->service.family == 4 ? 16 : 24;
      size_t length = flow->service.family == 4 ? 4 : 16;
      assert (memcmp (bytes + at, flow->service.ip, length) == 0);
    }

  gbd_shim_t shim;
  if (gbd_shim_decode (bytes, size, key, &shim) == GBD_OK)
    assert (shim.kind >= GBD_SHIM_OPEN && shim.kind <= GBD_SHIM_RELAY);
  free (bytes);
  return 0;
}
