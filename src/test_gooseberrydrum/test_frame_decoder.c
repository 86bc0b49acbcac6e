#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "gooseberrydrum/frame_decoder.h"
#include "gooseberrydrum/send_queue.h"

#define LENGTH_MAX ((size_t)1 << 20)

typedef struct
{
  size_t count;
  size_t lengths[8];
  /* Number of the frame at which the callback returns an error; 0 for none. */
  size_t stop_at;
} received_frames_t;

static gbd_status_t
on_frame (void *data, const uint8_t *content, size_t length)
{
  received_frames_t *received = data;
  for (size_t i = 0; i < length; i++)
    assert_int_equal (content[i], 'a' + received->count);
  received->lengths[received->count++] = length;
  return received->count == received->stop_at ? GBD_ERROR_CONFLICT : GBD_OK;
}

/* Feeds three frames in two parts, split at every position. */
static void
frames_are_decoded_at_any_split (void **state)
{
  (void)state;
  static const uint8_t stream[] = "\0\0\0\1a\0\0\0\3bbb\0\0\0\2cc";
  size_t length = sizeof stream - 1;
  for (size_t split = 0; split <= length; split++)
    {
      gbd_frame_decoder_t decoder = { .length_max = LENGTH_MAX };
      received_frames_t received = { 0 };
      assert_int_equal (gbd_frame_decoder_feed (&decoder, stream, split,
                                                on_frame, &received),
                        GBD_OK);
      assert_int_equal (gbd_frame_decoder_feed (&decoder, stream + split,
                                                length - split, on_frame,
                                                &received),
                        GBD_OK);
      assert_int_equal (received.count, 3);
      assert_int_equal (received.lengths[0], 1);
      assert_int_equal (received.lengths[1], 3);
      assert_int_equal (received.lengths[2], 2);
      gbd_frame_decoder_clear (&decoder);
    }
}

static void
announced_length_allocates_no_memory (void **state)
{
  (void)state;
  gbd_frame_decoder_t decoder = { .length_max = LENGTH_MAX };
  received_frames_t received = { 0 };
  static const uint8_t first_bytes[] = { 0, 0x10, 0, 0, 'a' };
  static const uint8_t part[1000];
  assert_int_equal (gbd_frame_decoder_feed (&decoder, first_bytes,
                                            sizeof first_bytes, on_frame,
                                            &received),
                    GBD_OK);
  assert_in_range (decoder.capacity, 1, 1024);
  for (size_t fed = sizeof first_bytes; fed < 500000; fed += sizeof part)
    {
      assert_int_equal (gbd_frame_decoder_feed (&decoder, part, sizeof part,
                                                on_frame, &received),
                        GBD_OK);
      assert_in_range (decoder.capacity, fed, 2 * (fed + sizeof part));
    }
  gbd_frame_decoder_clear (&decoder);
  assert_int_equal (decoder.capacity, 0);
  assert_int_equal (decoder.length_max, LENGTH_MAX);
}

static void
invalid_lengths_and_callback_errors_stop_decoding (void **state)
{
  (void)state;
  static const struct
  {
    const char *bytes;
    size_t length;
    size_t stop_at;
    gbd_status_t status;
    size_t count;
  } cases[] = {
    { "\0\0\0\0", 4, 0, GBD_ERROR_FORMAT, 0 },
    { "\0\x10\0\1", 4, 0, GBD_ERROR_FORMAT, 0 },
    { "\xff\xff\xff\xff", 4, 0, GBD_ERROR_FORMAT, 0 },
    { "\0\0\0\1a\0\0\0\0", 9, 0, GBD_ERROR_FORMAT, 1 },
    { "\0\0\0\1a\0\0\0\1b\0\0\0\1c", 15, 2, GBD_ERROR_CONFLICT, 2 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      gbd_frame_decoder_t decoder = { .length_max = LENGTH_MAX };
      received_frames_t received = { .stop_at = cases[i].stop_at };
      assert_int_equal (
          gbd_frame_decoder_feed (&decoder, (const uint8_t *)cases[i].bytes,
                                  cases[i].length, on_frame, &received),
          cases[i].status);
      assert_int_equal (received.count, cases[i].count);
      gbd_frame_decoder_clear (&decoder);
    }
}

static void
send_queue_keeps_order_and_limit (void **state)
{
  (void)state;
  gbd_send_queue_t send_queue = { .bytes_max = 10 };
  size_t length;
  assert_null (gbd_send_queue_peek (&send_queue, 4, &length));
  assert_int_equal (
      gbd_send_queue_push (&send_queue, (const uint8_t *)"abcdef", 6), GBD_OK);
  assert_int_equal (
      gbd_send_queue_push (&send_queue, (const uint8_t *)"ghijk", 5),
      GBD_ERROR_MEMORY);
  assert_int_equal (
      gbd_send_queue_push (&send_queue, (const uint8_t *)"ghij", 4), GBD_OK);
  char sent[16] = "";
  const uint8_t *bytes;
  while ((bytes = gbd_send_queue_peek (&send_queue, 4, &length)))
    {
      assert_in_range (length, 1, 4);
      strncat (sent, (const char *)bytes, length);
      gbd_send_queue_pop (&send_queue, length);
    }
  assert_string_equal (sent, "abcdefghij");
  assert_int_equal (send_queue.bytes, 0);
  assert_int_equal (gbd_send_queue_push (&send_queue, (const uint8_t *)"k", 1),
                    GBD_OK);
  gbd_send_queue_clear (&send_queue);
  assert_null (gbd_send_queue_peek (&send_queue, 4, &length));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (frames_are_decoded_at_any_split),
    cmocka_unit_test (announced_length_allocates_no_memory),
    cmocka_unit_test (invalid_lengths_and_callback_errors_stop_decoding),
    cmocka_unit_test (send_queue_keeps_order_and_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
