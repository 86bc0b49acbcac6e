/** @file message_private.h
 *  Layout that the encoder and the decoder of messages share.
 *
 *  Every message is one flat msgpack array: type, sender, then the entries of
 *  its body.  Identifiers of lists travel as one binary string of 8-byte
 *  big-endian values, the numbers that belong to them as one array of
 *  integers in the same order.  Maps and extension types never occur.
 */
#ifndef LIBGOOSEBERRYDRUM_MESSAGE_PRIVATE_H
#define LIBGOOSEBERRYDRUM_MESSAGE_PRIVATE_H

#include "gooseberrydrum/message.h"

#define LENGTH_PREFIX 4 /* bytes */
#define ID_LENGTH 8     /* bytes of one identifier in a list */

#define HEARTBEAT_LEAVING 1U
#define HEARTBEAT_WATCHING 2U

/* Numbers beside each identifier of a list. */
#define HEARD_NUMBERS 2    /* sequence, age */
#define PROGRESS_NUMBERS 2 /* version, version - complete (modulo 2^64) */
#define LOAD_NUMBERS 4     /* slot, new, open, kilobytes */

/* Entries of each message, type and sender included. */
#define HELLO_ENTRIES 7
#define HEARTBEAT_ENTRIES 11
#define TABLE_ENTRIES 6
#define WANT_ENTRIES 4
#define FLOWS_ENTRIES 7
#define FLOWS_END_ENTRIES 5
#define COPY_ENTRIES 4
#define CONFIG_ENTRIES 4
#define LOAD_ENTRIES 7

#endif
