/** @file placement.h
 *  Selects the backend server of a new flow.
 *
 *  While backend servers in the local zone have free slots, a new flow stays
 *  in this zone.  This avoids the delay of an opening packet and a request
 *  between zones, and lets a partitioned zone serve its own traffic.  In a
 *  burst, when flows queue for the slots of the local zone, a new flow goes to
 *  the backend server with the shortest wait, which is in another zone if the
 *  wait in the local zone exceeds the delay between zones.
 *
 *  A backend server that is slow beside its peers gets flows only when they
 *  would wait longer elsewhere (response_time.h).  While servers have free
 *  slots, flows are also spread by how many each got recently, because the
 *  flows of a server that fails at once never wait (recent_flows.h).
 *
 *  While the service is short of room, and for GBD_ROOM_SPREAD_TIME after that
 *  (room.h), an instance that sees a small part of the load prefers few
 *  servers, whose load it knows (subset.h): a zone with more demand than slots
 *  then overflows before its queues fill.  The figures
 *  come from the list and the group view; without a shortage or a view,
 *  decisions do not depend on them.
 *
 *  A server that fails many requests (failing.h), or is full while others
 *  are not, gets flows only when they would wait longer elsewhere.
 *
 *  Servers that other instances have reported as silent (peer_evidence.h) get
 *  no flows while there are others.
 *
 *  Servers may fail and return by turns, and a request that must not run twice
 *  is lost with its server.  Where a service has routes of both kinds, such a
 *  request goes to servers with an unbroken record while they have room:
 *  not suspected, not cold, and within GBD_PLACEMENT_RECORD_TIME no missing
 *  response, recovery, reset of its flows, removal, start or new listing.
 *  Other servers are tried with requests that callers may repeat.
 *
 *  Where a limit for cold backend servers is in force (warm_up.h), one without
 *  budget is no candidate.  One with budget gets a flow if no warm server has
 *  free slots.  While the service is short of room, it competes by cost with
 *  warm ones, because the flows of one instance do not show which slots are
 *  free.
 *
 *  Suspected backend servers get only trial flows, unless all backend servers
 *  of the service are suspected.  When many fail at once, a retransmitted
 *  opening packet preferably goes to a backend server that has responded
 *  recently, because a second failed attempt costs the caller another 0.4 s.
 */
#ifndef GOOSEBERRYDRUM_PLACEMENT_H
#define GOOSEBERRYDRUM_PLACEMENT_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/evacuations.h"
#include "gooseberrydrum/group_view.h"
#include "gooseberrydrum/pool.h"

GBD_BEGIN_DECLS

/** Cost, for a retransmitted opening packet, of a backend server that has not
 *  responded within GBD_PLACEMENT_RESPONSE_WINDOW, in thousandths of the
 *  processing time of one request: the caller rather waits for three requests
 *  than for its second retransmission. */
#define GBD_PLACEMENT_NO_RESPONSE_COST 3000
/** Time for which a response of a backend server counts as recent.  An
 * instance that receives few responses knows few such servers, and chooses
 * among them. */
#define GBD_PLACEMENT_RESPONSE_WINDOW GBD_SECOND
/** Cost, while windows apply (subset.h), of a backend server outside the
 *  window of this instance, in thousandths of the processing time of one
 *  request: a flow goes there when it would wait for more than two requests
 *  inside. */
#define GBD_PLACEMENT_OUTSIDE_COST 2000
/** Cost, for a request that must not run twice, of a backend server without an
 *  unbroken record, in thousandths of the processing time of one request: the
 *  caller loses the request if the server fails, and rather waits for four
 *  requests.  A server at which it would wait longer has no room. */
#define GBD_PLACEMENT_UNPROVEN_COST 4000
/** Cost of a failing server (failing.h), in thousandths of the processing time
 *  of one request: its requests fail more often than those of a server with a
 *  full queue. */
#define GBD_PLACEMENT_FAILING_COST 4000
/** Time without failure, recovery or new listing after which a record is
 *  unbroken.  A server that fails and returns by turns does so within seconds;
 *  this is about three times the longest interval between trial flows. */
#define GBD_PLACEMENT_RECORD_TIME (5 * GBD_SECOND)
/** Servers with an unbroken record are preferred only if they have at least
 *  one in this number of the slots in use: if most servers have failed within
 *  that time, the cause is rather in the network, and few servers would get
 *  the requests of all instances. */
#define GBD_PLACEMENT_PROVEN_PART_MIN 4
/** How long after its removal an entry that was not draining may still be
 *  chosen if the service has no other backend server: a running one has
 * written its entry again by then. */
#define GBD_PLACEMENT_LAST_RESORT GBD_POOL_REMOVAL_GRACE

/** Inputs of a selection besides the pool. */
typedef struct
{
  gbd_service_id_t service;
  gbd_zone_id_t zone;      /**< zone of this instance */
  gbd_flow_hash_t hash;    /**< breaks ties in the same way on all instances */
  gbd_pool_handle_t avoid; /**< backend server that did not respond to this
                                flow, or GBD_POOL_NONE */
  gbd_group_view_t group;  /**< other instances, if known */
  bool is_idempotent;      /**< callers may retry the requests of the route */
  bool has_both_kinds;     /**< the service has routes that are idempotent and
                                routes that are not */
  bool is_room_short;      /**< the service is short of room now
                                (gbd_room_is_short()) */
  bool was_room_short;     /**< it is or was short of room
                                (gbd_room_was_short()); windows apply */
  /** Zones whose backend servers are never chosen; NULL: none */
  const gbd_evacuations_t *evacuations;
  gbd_warm_up_share_t warm_up; /**< what cold backend servers may get */
} gbd_placement_t;

/** Choose a backend server; has no side effects.
 *  @return GBD_POOL_NONE if no backend server of the service can accept a
 *  flow. */
gbd_pool_handle_t gbd_placement_choose (const gbd_pool_t *pool,
                                        const gbd_placement_t *placement,
                                        gbd_time_t now);

GBD_END_DECLS
#endif
