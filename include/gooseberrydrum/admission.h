/** @file admission.h
 *  Decides which new flows are turned away while a service is short of room.
 *
 *  Load pattern: callers send more requests than the backend servers of a
 *  service can process, for seconds to minutes.  Servers whose queue is full
 *  refuse requests without regard to their priority, and every refusal takes a
 *  caller's attempt.  Turned away instead are requests of the least urgent
 *  classes (room.h), before they reach a server.
 *
 *  Classes yield in this order: the one with the higher priority number; of
 *  equal priority, one whose response-time goal cannot be met any more at the
 *  present wait; then the one with the longer goal; then the one whose
 * requests need more work.  The next class yields when the one before it is at
 * its floor, if it and the more urgent ones are most of the load: requests of
 * open flows cannot be turned away, and urgent ones must not make room for
 * them. Classes without requests do not count.  A service whose routes are all
 * alike is never subject to admission.
 *
 *  The share that is turned away follows the rate of short responses (room.h)
 *  of this instance only.  Instances exchange nothing.  Shares are between 0
 *  and 1.
 */
#ifndef GOOSEBERRYDRUM_ADMISSION_H
#define GOOSEBERRYDRUM_ADMISSION_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/room.h"

GBD_BEGIN_DECLS

/** Share of short responses that the control loop aims at.  Less would leave
 *  slots idle between requests. */
#define GBD_ADMISSION_TARGET 0.03
#define GBD_ADMISSION_STEP_TIME (100 * GBD_MILLISECOND)
/** Share of each class that is always admitted. */
#define GBD_ADMISSION_FLOOR (1.0 / 16)
/** A class of which nothing was admitted for this time admits its next flow.
 *  Nothing starves for longer than 2 s; the attempts of a caller follow each
 *  other within a second. */
#define GBD_ADMISSION_STARVATION_TIME GBD_SECOND
/** How long a caller that was turned away goes before new ones of its class:
 *  a caller makes its further attempts within the time of one attempt (1.4 s,
 *  platform contract). */
#define GBD_ADMISSION_RETURN_TIME (1500 * GBD_MILLISECOND)
#define GBD_ADMISSION_CALLERS_MAX 256
/** Priorities that are counted separately; the last one stands for all
 *  others. */
#define GBD_ADMISSION_PRIORITIES_MAX 16

/** State of one class of a service. */
typedef struct
{
  uint32_t rank;     /**< 0 yields last */
  double share;      /**< share that is admitted */
  uint64_t admitted; /**< flows admitted while the service was short of
                          room */
  uint64_t turned_away;
} gbd_admission_class_t;

/** State of one service; the index is that of room.h. */
typedef struct
{
  bool is_active; /**< some class is admitted in part only */
  gbd_admission_class_t classes[GBD_ROOM_CLASSES_MAX];
} gbd_admission_service_t;

/** Flows turned away by priority. */
typedef struct
{
  uint32_t priority;
  uint64_t turned_away;
} gbd_admission_count_t;

typedef struct gbd_admission_control gbd_admission_control_t;

/** @param room evidence; must outlive the result
 *  @return NULL if memory is exhausted. */
gbd_admission_control_t *gbd_admission_new (const gbd_room_t *room);
void gbd_admission_delete (gbd_admission_control_t *admission);

/** Start again for services whose classes have changed; called after
 *  gbd_room_set_routes(). */
void gbd_admission_update_routes (gbd_admission_control_t *admission);

/** Whether the opening packet of a new flow is admitted; has no side effects.
 *  Not to be asked for copies and duplicates of an opening packet, as the
 *  first one may have been forwarded.
 *  @param route GBD_ROOM_ROUTE_NONE is admitted
 *  @param caller only the IP address is used */
bool gbd_admission_admits (const gbd_admission_control_t *admission,
                           gbd_room_route_t route, const gbd_address_t *caller,
                           gbd_time_t now);

/** Record a decision that was carried out. */
void gbd_admission_record (gbd_admission_control_t *admission,
                           gbd_room_route_t route, const gbd_address_t *caller,
                           bool is_admitted, gbd_time_t now);

/** Run the control loop; call about ten times a second. */
void gbd_admission_tick (gbd_admission_control_t *admission, gbd_time_t now);

const gbd_admission_service_t *
gbd_admission_get_service (const gbd_admission_control_t *admission,
                           uint32_t index);

/** @param counts at least GBD_ADMISSION_PRIORITIES_MAX
 *  @return number of counts. */
uint32_t gbd_admission_get_counts (const gbd_admission_control_t *admission,
                                   gbd_admission_count_t *counts);

GBD_END_DECLS
#endif
