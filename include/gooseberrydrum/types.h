/** @file types.h
 *  Identifiers, addresses and status codes that all modules share.
 *
 *  Times are microseconds of a monotonic clock; the caller passes them in.
 *  Identifiers are hashes of names; zero is never a valid identifier.
 */
#ifndef GOOSEBERRYDRUM_TYPES_H
#define GOOSEBERRYDRUM_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gooseberrydrum/decls.h"

GBD_BEGIN_DECLS

/** Time in microseconds of a monotonic clock. */
typedef int64_t gbd_time_t;
#define GBD_MILLISECOND ((gbd_time_t)1000)
#define GBD_SECOND ((gbd_time_t)1000000)
/** Time of an event that has not happened; far enough from the limits of the
 *  type that differences do not overflow. */
#define GBD_TIME_NEVER (INT64_MIN / 4)

/** Identifies one incarnation of an instance: hash of its name and of the
 *  time at which it started. */
typedef uint64_t gbd_instance_id_t;
/** Identifies one incarnation of a backend server: hash of the uid that the
 *  platform gave it. */
typedef uint64_t gbd_backend_id_t;
/** Keyed hash of a flow's addresses and ports. */
typedef uint64_t gbd_flow_hash_t;
/** Hash of an availability zone's name. */
typedef uint32_t gbd_zone_id_t;
/** Hash of a service's name. */
typedef uint64_t gbd_service_id_t;
/** Position of a backend server in its service's table. */
typedef uint16_t gbd_slot_t;
#define GBD_SLOT_NONE ((gbd_slot_t)0xffff)

#define GBD_NAME_MAX 63       /**< bytes of a name, without the NUL */
#define GBD_ROSTER_MAX 16     /**< instances of a group */
#define GBD_BUCKETS_MAX 65536 /**< buckets of a service */
#define GBD_BACKENDS_MAX 4096 /**< backend servers of a service */

/** Status of a call that can fail at run time. */
typedef enum
{
  GBD_OK,
  GBD_ERROR_MEMORY,      /**< out of memory, or over a documented maximum */
  GBD_ERROR_FORMAT,      /**< malformed bytes or text */
  GBD_ERROR_RANGE,       /**< a value outside its documented range */
  GBD_ERROR_NOT_FOUND,   /**< no such entry */
  GBD_ERROR_CONFLICT,    /**< another writer was first */
  GBD_ERROR_UNAVAILABLE, /**< the remote side cannot be reached */
  GBD_ERROR_UNKNOWN,     /**< the call may or may not have taken effect */
  GBD_ERROR_STALE        /**< older than the version that is in use */
} gbd_status_t;
#define GBD_STATUS_COUNT 9

/** Message for each value of gbd_status_t; each names a remedy. */
extern const char *const gbd_status_strings[GBD_STATUS_COUNT];

/** An IP address with a port; IPv4 uses the first four bytes. */
typedef struct
{
  uint8_t family; /**< 4 or 6 */
  uint16_t port;  /**< host byte order */
  uint8_t ip[16]; /**< network byte order, unused bytes zero */
} gbd_address_t;

/** The addresses and ports of a TCP flow, in the direction from the caller to
 *  the service. */
typedef struct
{
  gbd_address_t caller;
  gbd_address_t service;
} gbd_flow_t;

/** Hash a name into an identifier.  Never returns 0. */
uint64_t gbd_id_from_name (const char *name);

/** Hash a zone's name.  Never returns 0. */
gbd_zone_id_t gbd_zone_from_name (const char *name);

/** Weight of a member for a key in rendezvous hashing; the member with the
 *  highest weight is chosen. */
uint64_t gbd_rendezvous_weight (uint64_t member, uint64_t key);

/** Whether a list of instances contains one instance. */
bool gbd_instances_contain (const gbd_instance_id_t *ids, uint32_t count,
                            gbd_instance_id_t id);

/** Compare family, address and port. */
bool gbd_address_is_equal (const gbd_address_t *a, const gbd_address_t *b);

/** Whether an address is a loopback address: 127.0.0.0/8 or ::1. */
bool gbd_address_is_loopback (const gbd_address_t *address);

/** Parse "1.2.3.4:80" or "[::1]:80".
 *  @return GBD_OK, or GBD_ERROR_FORMAT for anything but a numeric IP address
 *  with a port from 1 to 65535. */
gbd_status_t gbd_address_parse (const char *text, gbd_address_t *address);

/** Bytes of the longest text of an address, with the NUL. */
#define GBD_ADDRESS_TEXT_MAX 56

/** Format an address so that gbd_address_parse can read it.
 *  @param text at least GBD_ADDRESS_TEXT_MAX bytes */
void gbd_address_format (const gbd_address_t *address, char *text);

GBD_END_DECLS
#endif
