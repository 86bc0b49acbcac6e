/** @file world_object_format.h
 *  Formats in which backend servers and operators write the objects that
 *  instances read from the platform's store.
 */
#ifndef STANDINS_WORLD_OBJECT_FORMAT_H
#define STANDINS_WORLD_OBJECT_FORMAT_H

#include <jansson.h>

#include "gooseberrydrum/types.h"

typedef struct
{
  const char *service;
  const char *address; /**< IP address and port */
  const char *zone;
  uint32_t slots;
  uint32_t warm_up_ms; /**< remaining warm-up time */
  uint64_t writes;     /**< number of this write of the entry, from 1 */
  bool is_ready;       /**< false if it is draining */
} world_server_description_t;

typedef struct
{
  const char *ip;
  uint32_t port;
  const char *service;
  bool is_idempotent;
  uint32_t priority; /**< 0 if not stated */
} world_route_description_t;

/** What is stated for each service. */
typedef struct
{
  const char *const *names;
  uint32_t count; /**< number of services; 0 if nothing is stated */
  uint32_t warm_up_s;
  uint32_t warm_up_rate; /**< requests per second that a cold server bears */
} world_services_description_t;

typedef struct
{
  const char *name; /**< value of the setting platform-form */
  const char *servers_kind;
  const char *routes_kind;
  const char *routes_name;
  /** Sets the name of a new backend server.
   *  @return the identifier that precedes packets to it. */
  uint64_t (*format_server_name) (uint64_t number, char *name,
                                  size_t capacity);
  json_t *(*describe_server) (const world_server_description_t *server);
  json_t *(*describe_routes) (uint64_t version,
                              const world_route_description_t *routes,
                              uint32_t count);
  /** Adds what is stated for each service to the value of the routes; NULL if
   *  the format has nothing of it. */
  void (*add_services) (json_t *routes,
                        const world_services_description_t *services);
} world_object_format_t;

/** Format of the product's native API. */
extern const world_object_format_t world_object_format_native;

#endif
