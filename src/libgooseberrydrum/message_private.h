/** @file message_private.h
 *  Layout of messages, shared by the encoder and the decoder.
 *
 *  Every message is one flat msgpack array: type, sender, then the entries of
 *  its body.  A list is encoded as two entries: the identifiers as one binary
 *  string of 8-byte big-endian values, and the numbers that belong to them as
 *  one array of integers in the same order.  Maps and extension types are not
 *  used.
 */
#ifndef LIBGOOSEBERRYDRUM_MESSAGE_PRIVATE_H
#define LIBGOOSEBERRYDRUM_MESSAGE_PRIVATE_H

#include "gooseberrydrum/message.h"

#define LENGTH_PREFIX 4 /* bytes of the length before a message */
#define ID_LENGTH 8     /* bytes of one identifier in a list */

#define HEARTBEAT_LEAVING 1U
#define HEARTBEAT_WATCHING 2U

/* Count of numbers per entry in the lists of heartbeats and load reports. */
#define ACK_NUMBERS 2 /* sequence, age in ms */
/* `version`, and `version` minus `complete` (modulo 2^64) */
#define PROGRESS_NUMBERS 2
#define LOAD_NUMBERS 4 /* slot, new flows, open flows, kilobytes */

/* Number of entries in each type of message, including type and sender. */
#define HELLO_ENTRIES 7
#define HEARTBEAT_ENTRIES 11
#define TABLE_ENTRIES 6
#define TABLE_REQUEST_ENTRIES 4
#define FLOWS_ENTRIES 7
#define FLOWS_END_ENTRIES 5
#define COPY_REQUEST_ENTRIES 4
#define CONFIG_ENTRIES 4
#define LOAD_ENTRIES 7

#endif
