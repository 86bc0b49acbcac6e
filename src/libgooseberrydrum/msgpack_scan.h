/** @file msgpack_scan.h
 *  Validation of msgpack bytes before they are passed to the codec.
 *
 *  The codec allocates memory for the number of entries in an array header
 *  before it has read the entries.  The scan walks the bytes without
 *  allocation, and accepts only those whose structure is complete and
 *  bounded.
 */
#ifndef LIBGOOSEBERRYDRUM_MSGPACK_SCAN_H
#define LIBGOOSEBERRYDRUM_MSGPACK_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GBD_SCAN_DEPTH_MAX 8 /**< levels of nested arrays */

/** Whether the bytes are exactly one msgpack value that consists of integers,
 *  floats, booleans, nil, strings and arrays only.
 *  @param values_max largest number of values in it; an array and each of its
 *  entries count as one value each */
bool gbd_msgpack_scan (const uint8_t *bytes, size_t length, size_t values_max);

#endif
