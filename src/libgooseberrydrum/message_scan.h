/** @file message_scan.h
 *  Check of msgpack bytes before the codec sees them.
 *
 *  The codec allocates what an array header announces, before it has seen the
 *  entries.  The scan walks the bytes without allocation and admits only
 *  those whose whole structure is present and bounded.
 */
#ifndef LIBGOOSEBERRYDRUM_MESSAGE_SCAN_H
#define LIBGOOSEBERRYDRUM_MESSAGE_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GBD_SCAN_DEPTH_MAX 8      /**< arrays inside each other */
#define GBD_SCAN_VALUES_MAX 32768 /**< values of one message */

/** Whether the bytes are exactly one msgpack value of integers, floats,
 *  booleans, nil, strings and arrays, within the bounds above. */
bool gbd_message_scan (const uint8_t *bytes, size_t length);

#endif
