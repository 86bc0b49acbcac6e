/** @file types.h
 *  Identifiers, addresses and results that all modules share.
 *
 *  Times are microseconds of a monotonic clock and are always passed in.
 *  Identifiers are 64-bit hashes of names; zero is never a valid one.
 */
#ifndef GOOSEBERRYDRUM_TYPES_H
#define GOOSEBERRYDRUM_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gooseberrydrum/decls.h"

GBD_BEGIN_DECLS

/** Microseconds of a monotonic clock. */
typedef int64_t gbd_time_t;
#define GBD_MILLISECOND ((gbd_time_t)1000)
#define GBD_SECOND ((gbd_time_t)1000000)
#define GBD_TIME_NEVER (INT64_MIN / 4)

/** One life of one instance: hash of its name and start. */
typedef uint64_t gbd_instance_id_t;
/** One life of one backend server: hash of the platform's uid. */
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
#define GBD_ROSTER_MAX 16     /**< instances of a spray group */
#define GBD_BUCKETS_MAX 65536 /**< buckets of a service */
#define GBD_BACKENDS_MAX 4096 /**< backend servers of a service */

/** Outcome of a call that can fail at run time. */
typedef enum
{
  GBD_OK,
  GBD_ERROR_MEMORY,      /**< an allocation or a stated bound failed */
  GBD_ERROR_FORMAT,      /**< bytes or text that do not decode */
  GBD_ERROR_RANGE,       /**< a value outside its stated range */
  GBD_ERROR_NOT_FOUND,   /**< no such entry */
  GBD_ERROR_CONFLICT,    /**< another writer was first */
  GBD_ERROR_UNAVAILABLE, /**< the other side cannot be reached now */
  GBD_ERROR_UNKNOWN,     /**< the effect of the call is not known */
  GBD_ERROR_STALE        /**< an older version than the one in force */
} gbd_status_t;
#define GBD_STATUS_COUNT 9

/** Messages of gbd_status_t, one a value, each naming the remedy. */
extern const char *const gbd_status_strings[GBD_STATUS_COUNT];

/** An IP address with a port; IPv4 uses the first four bytes. */
typedef struct
{
  uint8_t family; /**< 4 or 6 */
  uint16_t port;  /**< host byte order */
  uint8_t ip[16]; /**< network byte order, unused bytes zero */
} gbd_address_t;

/** The five-tuple of a TCP flow, as the caller sends it. */
typedef struct
{
  gbd_address_t caller;
  gbd_address_t service;
} gbd_flow_t;

/** Hash a name into an identifier.  Never returns 0. */
uint64_t gbd_id_from_name (const char *name);

/** Hash a zone's name.  Never returns 0. */
gbd_zone_id_t gbd_zone_from_name (const char *name);

/** Rendezvous weight of a member for a key: the highest one wins. */
uint64_t gbd_rendezvous (uint64_t member, uint64_t key);

/** Whether a list of instances has one. */
bool gbd_instances_have (const gbd_instance_id_t *ids, uint32_t count,
                         gbd_instance_id_t id);

/** Compare family, address and port. */
bool gbd_address_is_equal (const gbd_address_t *a, const gbd_address_t *b);

/** Whether an address reaches only this machine: 127.0.0.0/8 or ::1. */
bool gbd_address_is_loopback (const gbd_address_t *address);

/** Parse "1.2.3.4:80" or "[::1]:80".
 *  @return GBD_OK, or GBD_ERROR_FORMAT for anything but an IP number with a
 *  port of 1 to 65535. */
gbd_status_t gbd_address_parse (const char *text, gbd_address_t *address);

/** Longest text of an address with its NUL. */
#define GBD_ADDRESS_TEXT_MAX 56

/** Write an address as gbd_address_parse reads it.
 *  @param text at least GBD_ADDRESS_TEXT_MAX bytes */
void gbd_address_format (const gbd_address_t *address, char *text);

GBD_END_DECLS
#endif
