/** @file cookie_room.h
 *  Reports which services are short of room and whose flows are turned away;
 *  see gooseberrydrum/room.h and gooseberrydrum/admission.h.
 */
#ifndef PROGRAM_COOKIE_ROOM_H
#define PROGRAM_COOKIE_ROOM_H

#include <jansson.h>

#include "counters.h"
#include "event_log.h"
#include "gooseberrydrum/director.h"

/** What was reported of one service. */
typedef struct
{
  gbd_service_id_t service;
  bool is_short;
  gbd_time_t short_since;
  double least_shares[GBD_ROOM_CLASSES_MAX]; /**< during the shortage */
} gbd_cookie_room_service_t;

/** Zero-initialized: nothing was reported. */
typedef struct
{
  gbd_cookie_room_service_t services[GBD_ROOM_SERVICES_MAX];
} gbd_cookie_room_t;

/** Write events for services that have become short of room, or have room
 *  again.  Call it about ten times a second. */
void gbd_cookie_room_tick (gbd_cookie_room_t *report,
                           const gbd_director_t *director,
                           gbd_event_log_t *event_log, gbd_time_t now);

/** Describe all services that had requests: the field `room` of the status. */
json_t *gbd_cookie_room_describe (const gbd_director_t *director,
                                  gbd_time_t now);

/** Add what admission knows about a new flow to the fields of its decision. */
void gbd_cookie_room_add_fields (json_t *fields,
                                 const gbd_director_t *director,
                                 const gbd_director_decision_t *decision,
                                 gbd_time_t now);

void gbd_cookie_room_add_counters (gbd_counters_t *counters,
                                   const gbd_director_t *director,
                                   gbd_time_t now);

#endif
