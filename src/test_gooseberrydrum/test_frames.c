#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "gooseberrydrum/frames.h"
#include "gooseberrydrum/outbox.h"

#define LENGTH_MAX ((size_t)1 << 20)

typedef struct
{
  size_t count;
  size_t lengths[8];
  size_t stop_at; /* frame at which the visitor refuses; 0 for none */
} seen_t;

static gbd_status_t
visit (void *data, const uint8_t *content, size_t length)
{
  seen_t *seen = data;
  for (size_t i = 0; i < length; i++)
    assert_int_equal (content[i], 'a' + seen->count);
  seen->lengths[seen->count++] = length;
  return seen->count == seen->stop_at ? GBD_ERROR_CONFLICT : GBD_OK;
}

/* Three frames, cut into two feeds at every place. */
static void
frames_arrive_however_they_are_cut (void **state)
{
  (void)state;
  static const uint8_t stream[] = "\0\0\0\1a\0\0\0\3bbb\0\0\0\2cc";
  size_t length = sizeof stream - 1;
  for (size_t cut = 0; cut <= length; cut++)
    {
      gbd_frames_t frames = { .length_max = LENGTH_MAX };
      seen_t seen = { 0 };
      assert_int_equal (gbd_frames_feed (&frames, stream, cut, visit, &seen),
                        GBD_OK);
      assert_int_equal (
          gbd_frames_feed (&frames, stream + cut, length - cut, visit, &seen),
          GBD_OK);
      assert_int_equal (seen.count, 3);
      assert_int_equal (seen.lengths[0], 1);
      assert_int_equal (seen.lengths[1], 3);
      assert_int_equal (seen.lengths[2], 2);
      gbd_frames_clear (&frames);
    }
}

static void
an_announced_length_takes_no_memory (void **state)
{
  (void)state;
  gbd_frames_t frames = { .length_max = LENGTH_MAX };
  seen_t seen = { 0 };
  static const uint8_t start[] = { 0, 0x10, 0, 0, 'a' };
  static const uint8_t part[1000];
  assert_int_equal (
      gbd_frames_feed (&frames, start, sizeof start, visit, &seen), GBD_OK);
  assert_in_range (frames.capacity, 1, 1024);
  for (size_t came = sizeof start; came < 500000; came += sizeof part)
    {
      assert_int_equal (
          gbd_frames_feed (&frames, part, sizeof part, visit, &seen), GBD_OK);
      assert_in_range (frames.capacity, came, 2 * (came + sizeof part));
    }
  gbd_frames_clear (&frames);
  assert_int_equal (frames.capacity, 0);
  assert_int_equal (frames.length_max, LENGTH_MAX);
}

static void
bad_lengths_and_refusals_stop (void **state)
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
      gbd_frames_t frames = { .length_max = LENGTH_MAX };
      seen_t seen = { .stop_at = cases[i].stop_at };
      assert_int_equal (gbd_frames_feed (&frames,
                                         (const uint8_t *)cases[i].bytes,
                                         cases[i].length, visit, &seen),
                        cases[i].status);
      assert_int_equal (seen.count, cases[i].count);
      gbd_frames_clear (&frames);
    }
}

static void
the_outbox_keeps_order_and_its_bound (void **state)
{
  (void)state;
  gbd_outbox_t outbox = { .bytes_max = 10 };
  size_t length;
  assert_null (gbd_outbox_peek (&outbox, 4, &length));
  assert_int_equal (gbd_outbox_push (&outbox, (const uint8_t *)"abcdef", 6),
                    GBD_OK);
  assert_int_equal (gbd_outbox_push (&outbox, (const uint8_t *)"ghijk", 5),
                    GBD_ERROR_MEMORY);
  assert_int_equal (gbd_outbox_push (&outbox, (const uint8_t *)"ghij", 4),
                    GBD_OK);
  char taken[16] = "";
  const uint8_t *bytes;
  while ((bytes = gbd_outbox_peek (&outbox, 4, &length)))
    {
      assert_in_range (length, 1, 4);
      strncat (taken, (const char *)bytes, length);
      gbd_outbox_pop (&outbox, length);
    }
  assert_string_equal (taken, "abcdefghij");
  assert_int_equal (outbox.bytes, 0);
  assert_int_equal (gbd_outbox_push (&outbox, (const uint8_t *)"k", 1),
                    GBD_OK);
  gbd_outbox_clear (&outbox);
  assert_null (gbd_outbox_peek (&outbox, 4, &length));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (frames_arrive_however_they_are_cut),
    cmocka_unit_test (an_announced_length_takes_no_memory),
    cmocka_unit_test (bad_lengths_and_refusals_stop),
    cmocka_unit_test (the_outbox_keeps_order_and_its_bound),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
