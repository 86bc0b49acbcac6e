/* Entry point for libFuzzer; test_fuzz_message.c runs it over a generated
   corpus.  To build a fuzzer from it: clang
   -fsanitize=fuzzer,address,undefined -Iinclude -Isrc fuzz_message.c message.c
   message_decode.c msgpack_scan.c types.c -lmsgpackc -lxxhash */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "gooseberrydrum/message.h"

/* NOLINTBEGIN(readability-identifier-naming): libFuzzer requires the name. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
/* NOLINTEND(readability-identifier-naming) */
{
  /* An allocation of the exact size lets AddressSanitizer detect any read past
     the end. */
  uint8_t *bytes = malloc (size ? size : 1);
  assert (bytes);
  if (size)
    memcpy (bytes, data, size);

  gbd_message_t message;
  gbd_status_t status = gbd_message_decode (bytes, size, &message);
  free (bytes);
  assert (status == GBD_OK || status == GBD_ERROR_FORMAT
          || status == GBD_ERROR_NOT_FOUND);
  if (status != GBD_OK)
    return 0;

  /* An accepted message is within the bounds that the encoder checks, and is
     encoded to the same bytes again after another decoding. */
  size_t length;
  size_t again_length;
  gbd_message_t again;
  uint8_t *encoded = gbd_message_encode (&message, &length);
  assert (encoded);
  status = gbd_message_decode (encoded + 4, length - 4, &again);
  assert (status == GBD_OK);
  uint8_t *encoded_again = gbd_message_encode (&again, &again_length);
  assert (encoded_again && again_length == length);
  assert (memcmp (encoded, encoded_again, length) == 0);
  free (encoded_again);
  free (encoded);
  gbd_message_clear (&again);
  gbd_message_clear (&message);
  return 0;
}
