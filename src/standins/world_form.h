/** @file world_form.h
 *  How backend servers and operators write what instances read from the
 *  platform's store.
 */
#ifndef STANDINS_WORLD_FORM_H
#define STANDINS_WORLD_FORM_H

#include <jansson.h>

#include "gooseberrydrum/types.h"

typedef struct
{
  const char *service;
  const char *address; /**< IP number and port */
  const char *zone;
  uint32_t slots;
  uint32_t warm_up_ms; /**< for how much longer it is slow */
  uint64_t writes;     /**< of its entry, counted from 1 */
  bool is_ready;       /**< else it drains */
} world_server_text_t;

typedef struct
{
  const char *ip;
  uint16_t port;
  const char *service;
  bool is_repeatable;
} world_route_text_t;

typedef struct
{
  const char *name; /**< as --platform-form of the program has it */
  const char *servers_kind;
  const char *routes_kind;
  const char *routes_name;
  /** Name a new backend server.
   *  @return the identifier that packets to it start with. */
  uint64_t (*name_server) (uint64_t number, char *name, size_t room);
  json_t *(*describe_server) (const world_server_text_t *server);
  json_t *(*describe_routes) (uint64_t version,
                              const world_route_text_t *routes,
                              uint32_t count);
} world_form_t;

/** The product's own API. */
extern const world_form_t world_form_own;

#endif
