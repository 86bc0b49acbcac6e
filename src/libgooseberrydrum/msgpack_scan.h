/** @file msgpack_scan.h
 *  Check of msgpack bytes before the codec sees them.
 *
 *  The codec allocates what an array header announces, before it has seen the
 *  entries.  The scan walks the bytes without allocation and admits only
 *  those whose whole structure is present and bounded.
 */
#ifndef LIBGOOSEBERRYDRUM_MSGPACK_SCAN_H
#define LIBGOOSEBERRYDRUM_MSGPACK_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GBD_SCAN_DEPTH_MAX 8 /**< arrays inside each other */

/** Whether the bytes are exactly one msgpack value of integers, floats,
 *  booleans, nil, strings and arrays.
 *  @param values_max most values in it, arrays and their entries alike */
bool gbd_msgpack_scan (const uint8_t *bytes, size_t length, size_t values_max);

#endif
