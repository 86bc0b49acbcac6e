/** @file report_codec.h
 *  Encoding of the reports between instances (gooseberrydrum/reports.h): UDP
 *  datagrams of an authentication tag of 8 bytes and one msgpack array.
 *
 *    [1, is_forwarded, [batch, ...]]
 *    batch: [origin, zone, number, [report, ...]]
 *    report: [server, start_time_ms, silent_age_ms, unreachable_age_ms,
 *             heard_age_ms, failed_requests]
 *
 *  An age is -1 if there is no such observation.  64-bit identifiers are sent
 *  as signed numbers.  A decoder ignores entries beyond those that it knows.
 *
 *  The tag is a keyed hash.  It keeps out datagrams of other groups and
 *  accidental ones; like the routing cookies (gooseberrydrum/cookie.h) it is
 *  not cryptographically secure.  Reports influence which backend server a new
 *  flow gets, and when a copy without a response is answered with a reset.
 */
#ifndef PROGRAM_REPORT_CODEC_H
#define PROGRAM_REPORT_CODEC_H

#include "gooseberrydrum/reports.h"

#define GBD_REPORT_SCHEMA 1
/** Bytes of the largest datagram; it fits into one packet of any path. */
#define GBD_REPORT_DATAGRAM_MAX 1200
/** Reports of a batch; at most 40 bytes each, so a batch fits into a
 *  datagram. */
#define GBD_REPORT_BATCH_MAX 28

typedef struct
{
  gbd_report_origin_t origin;
  uint32_t count;
  gbd_report_t reports[GBD_REPORT_BATCH_MAX];
} gbd_report_batch_t;

/** Encode as many batches as fit.
 *  @param count number of batches; set to the number of those encoded
 *  @param bytes GBD_REPORT_DATAGRAM_MAX bytes
 *  @return length of the datagram; 0 if memory is exhausted. */
size_t gbd_report_encode (const gbd_report_batch_t *batches, uint32_t *count,
                          bool is_forwarded, uint64_t key, gbd_time_t now,
                          uint8_t *bytes);

/** Called for each batch of a datagram.
 *  @param is_forwarded whether a relay has sent it */
typedef void (*gbd_report_callback_t) (void *data,
                                       const gbd_report_batch_t *batch,
                                       bool is_forwarded);

/** Check and decode a datagram.
 *  @return GBD_ERROR_FORMAT if the tag is wrong or the message malformed; the
 *  callback may have been called for the batches before the malformed one. */
gbd_status_t gbd_report_decode (const uint8_t *bytes, size_t length,
                                uint64_t key, gbd_time_t now,
                                gbd_report_callback_t callback, void *data);

#endif
