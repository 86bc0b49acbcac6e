#ifndef LIBGOOSEBERRYDRUM_ROOM_ROUTES_H
#define LIBGOOSEBERRYDRUM_ROOM_ROUTES_H

#include "gooseberrydrum/room.h"

/* Table of the routes of a room (room.h).  Handles are indices of entries. */

typedef enum
{
  GBD_ROOM_ROUTE_FREE,
  GBD_ROOM_ROUTE_FORMER, /* no longer configured; flows may still refer to
                            it */
  GBD_ROOM_ROUTE_CONFIGURED
} gbd_room_route_state_t;

typedef struct
{
  uint64_t key;
  uint32_t usual_bytes;
  uint8_t service;
  uint8_t class;
  uint8_t state;            /* gbd_room_route_state_t */
  gbd_time_t last_usual_at; /* last response that was not short */
} gbd_room_route_entry_t;

typedef struct
{
  uint32_t count; /* entries in use, and free ones between them */
  uint32_t capacity;
  uint32_t free_from; /* entries below it are in use */
  gbd_room_route_entry_t *entries;
  /* Handles by key, open addressing with linear probing; at most half of it is
     used. */
  uint32_t index_size; /* a power of two; 0 without memory */
  gbd_room_route_t *index;
} gbd_room_routes_t;

/* Frees the memory of a table. */
void gbd_room_routes_clear (gbd_room_routes_t *table);

/* Marks all routes as former ones until they are added again, frees the
   entries of those that were former ones before, and makes space for new
   routes.  If memory is exhausted, the table does not grow. */
void gbd_room_routes_prepare (gbd_room_routes_t *table,
                              const gbd_routes_t *routes);

/* Adds a route or finds its entry, and marks it as configured.  Returns NULL
   if the table is full. */
gbd_room_route_entry_t *gbd_room_routes_add (gbd_room_routes_t *table,
                                             const gbd_address_t *address,
                                             gbd_service_id_t service);

/* Returns the handle of a route or former route, or GBD_ROOM_ROUTE_NONE. */
gbd_room_route_t gbd_room_routes_find (const gbd_room_routes_t *table,
                                       const gbd_address_t *address,
                                       gbd_service_id_t service);

bool gbd_room_routes_is_configured (const gbd_room_routes_t *table,
                                    gbd_room_route_t route);

#endif
