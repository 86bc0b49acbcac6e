/** @file director.h
 *  The cookie policy: each instance chooses the destination of a packet
 *  without asking another instance.
 *
 *  An opening packet is placed on a backend server and gets a routing cookie
 *  that identifies this server.  Later packets of the flow carry the cookie,
 *  so any instance that receives them can forward them.  Instances share only
 *  the group's key, the routes and the list of backend servers.
 *
 *  gbd_director_route() makes a decision without side effects; the data path
 *  and the `explain` command both use it.  gbd_director_commit() records a
 *  decision that was carried out.
 */
#ifndef GOOSEBERRYDRUM_DIRECTOR_H
#define GOOSEBERRYDRUM_DIRECTOR_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/admission.h"
#include "gooseberrydrum/engine.h"
#include "gooseberrydrum/evacuations.h"
#include "gooseberrydrum/flow_tracker.h"
#include "gooseberrydrum/group_view.h"
#include "gooseberrydrum/placement.h"
#include "gooseberrydrum/room.h"
#include "gooseberrydrum/routes.h"

GBD_BEGIN_DECLS

/** Delay between the removal of a backend server's entry and the reset of its
 *  flows, if other evidence confirms that it has stopped: a refused probe, or
 *  missing responses since its last one.  The entry alone proves nothing: it
 *  also expires when heartbeats are lost or written late. */
#define GBD_DIRECTOR_CONFIRMED_RESET_DELAY (300 * GBD_MILLISECOND)
/** One missing response may be packet loss.  Two in a row, together with the
 *  removed entry, indicate a failure. */
#define GBD_DIRECTOR_FAILURES_REMOVED 2
/** The same for a backend server that was draining, which was about to exit;
 *  a probe without a response counts too. */
#define GBD_DIRECTOR_FAILURES_DRAINED 1
/** Missing responses to packets and probes, counted together, after which a
 *  listed backend server is considered down for callers that may retry.  Those
 *  of other instances count for the flows that have a missing response here
 *  too: a request ends after about a second (platform contract), which is
 *  sooner than one instance alone observes as many. */
#define GBD_DIRECTOR_FAILURES_LISTED 3
/** Delay between the removal of a backend server's entry and the reset of its
 *  flows without such evidence.  It may only have lost its connection to the
 *  platform; it then writes its entry again within GBD_POOL_REMOVAL_GRACE.
 *  Never reset are flows of a backend server that has responded since the
 *  removal, or has accepted a probe, without a missing response after that. */
#define GBD_DIRECTOR_UNCONFIRMED_RESET_DELAY                                  \
  (GBD_POOL_REMOVAL_GRACE + GBD_SECOND)

/** A longer time between two calls of gbd_director_tick() means that the
 *  process was paused. */
#define GBD_DIRECTOR_PAUSE_MIN GBD_SECOND

/** Delay of a tick after which opening packets may have waited in the socket
 *  for longer than callers wait for their first copy (platform contract).  The
 *  copy may have opened the flow at another instance, so such a packet is
 *  dropped instead of reset; also for this time after the late tick, in which
 *  the socket is emptied. */
#define GBD_DIRECTOR_STALE_DELAY (200 * GBD_MILLISECOND)

/** Rule that led to a decision; shown in log events and by `explain`. */
typedef enum
{
  GBD_DIRECTOR_RULE_NOT_READY, /**< key, routes or backend servers are
                                    missing */
  GBD_DIRECTOR_RULE_NO_ROUTE,  /**< the destination address has no route */
  GBD_DIRECTOR_RULE_NO_SERVER, /**< no backend server can accept the flow */
  GBD_DIRECTOR_RULE_PLACED,    /**< first opening packet of a flow */
  GBD_DIRECTOR_RULE_SAME,      /**< duplicate of an opening packet; same
                                    backend server */
  GBD_DIRECTOR_RULE_MOVED,     /**< copy of an opening packet; the backend
                                    server chosen before did not respond, or
                                    its zone was evacuated since */
  GBD_DIRECTOR_RULE_COOKIE,    /**< the cookie identifies the backend server */
  GBD_DIRECTOR_RULE_NO_COOKIE, /**< the cookie matches no known backend
                                    server */
  GBD_DIRECTOR_RULE_SERVER_REMOVED, /**< the flow's backend server was
                                         removed */
  GBD_DIRECTOR_RULE_SERVER_DOWN, /**< the flow's backend server, usually still
                                      listed, has stopped or does not
                                      respond */
  GBD_DIRECTOR_RULE_EVACUATED,   /**< only backend servers of evacuated zones
                                      could accept the flow */
  GBD_DIRECTOR_RULE_NO_ROOM      /**< the service is short of room, and more
                                      urgent flows go first (admission.h) */
} gbd_director_rule_t;
#define GBD_DIRECTOR_RULE_COUNT 12
extern const char *const gbd_director_rule_strings[GBD_DIRECTOR_RULE_COUNT];

/** Decision on one packet. */
typedef struct
{
  uint8_t kind;               /**< gbd_action_kind_t, except PEER */
  uint8_t rule;               /**< gbd_director_rule_t */
  uint8_t drop;               /**< gbd_drop_t if kind is DROP */
  gbd_pool_handle_t server;   /**< chosen backend server, or GBD_POOL_NONE */
  gbd_pool_handle_t previous; /**< previously chosen backend server of a copy
                                   of an opening packet that is placed again,
                                   else GBD_POOL_NONE */
  gbd_room_route_t route;     /**< route of a new flow that is subject to
                                   admission, else GBD_ROOM_ROUTE_NONE */
  gbd_cookie_t cookie;        /**< cookie to write into the packet */
  gbd_flow_hash_t hash;
  bool is_to_cold;  /**< an opening packet to a backend server that is
                         cold, where a limit for it is in force */
  bool is_limited;  /**< reset or dropped; a limit for cold backend servers
                         is in force for the service */
  uint64_t version; /**< version of the routes used; 0 if no routes are
                         installed */
} gbd_director_decision_t;

typedef struct
{
  gbd_zone_id_t zone;     /**< zone of this instance */
  uint32_t flow_capacity; /**< capacity of the flow tracker, a power of two */
  gbd_warm_up_settings_t warm_up; /**< limit for cold backend servers */
} gbd_director_settings_t;

typedef struct gbd_director gbd_director_t;

/** @return NULL if memory is exhausted. */
gbd_director_t *gbd_director_new (const gbd_director_settings_t *settings);
void gbd_director_delete (gbd_director_t *director);

/** Set the group's secret key.  All packets are dropped until it is set. */
void gbd_director_set_key (gbd_director_t *director, uint64_t key);

/** Install routes and take ownership of them.
 *  @return GBD_ERROR_STALE, with the routes deleted, unless their version is
 *  higher than that of the installed routes. */
gbd_status_t gbd_director_set_routes (gbd_director_t *director,
                                      gbd_routes_t *routes);

/** Set what is known of the other instances. */
void gbd_director_set_group (gbd_director_t *director,
                             const gbd_group_view_t *group);
const gbd_group_view_t *
gbd_director_get_group (const gbd_director_t *director);

/** The evacuated zones.  While they are not known, none counts as
 *  evacuated. */
gbd_evacuations_t *gbd_director_get_evacuations (gbd_director_t *director);
const gbd_evacuations_t *
gbd_director_peek_evacuations (const gbd_director_t *director);

/** Drop opening packets until a time, because the evacuated zones may have
 *  changed unnoticed; a time that has passed ends this. */
void gbd_director_hold_openings (gbd_director_t *director, gbd_time_t until);

/** Hold opening packets back as well when gbd_director_tick() was not called
 *  for GBD_DIRECTOR_PAUSE_MIN, until its next call. */
void gbd_director_detect_pauses (gbd_director_t *director);

gbd_pool_t *gbd_director_get_pool (gbd_director_t *director);
const gbd_pool_t *gbd_director_peek_pool (const gbd_director_t *director);
/** What was observed of full backend servers. */
const gbd_room_t *gbd_director_peek_room (const gbd_director_t *director);
/** Which flows are turned away. */
const gbd_admission_control_t *
gbd_director_peek_admission (const gbd_director_t *director);
/** @return NULL if no routes are installed. */
const gbd_routes_t *gbd_director_get_routes (const gbd_director_t *director);

/** Whether packets can be routed: key, routes and at least part of the list of
 *  backend servers are installed.  When all instances start together, the
 *  pages of the list arrive some tenths of a second apart; until it is
 *  complete, nothing is reset because a backend server is missing. */
bool gbd_director_is_ready (const gbd_director_t *director);

void gbd_director_route (const gbd_director_t *director,
                         const gbd_packet_t *packet, gbd_time_t now,
                         gbd_director_decision_t *decision);

/** @return the tracked state of a flow, or NULL if it is not tracked. */
const gbd_tracked_flow_t *
gbd_director_find_flow (const gbd_director_t *director,
                        const gbd_flow_t *flow);

/** Make the decision that gbd_director_route() would make for the next packet
 *  of an established flow. */
void gbd_director_route_next (const gbd_director_t *director,
                              const gbd_flow_t *flow,
                              const gbd_tracked_flow_t *tracked,
                              gbd_time_t now,
                              gbd_director_decision_t *decision);

/** Record a decision that was carried out.
 *  @return what the packet shows about the backend server; for a moved flow,
 *  is_newly_suspected refers to the previous backend server. */
gbd_flow_observation_t
gbd_director_commit (gbd_director_t *director, const gbd_packet_t *packet,
                     const gbd_director_decision_t *decision, gbd_time_t now);

/** Record that the packets of committed decisions have left the process.  Must
 *  be called after they are sent if gbd_director_has_sent_to_cold() returns
 *  true: a pause of the process between decision and transmission would
 *  otherwise shorten the interval between packets to a cold backend server. */
void gbd_director_record_transmission (gbd_director_t *director,
                                       gbd_time_t now);
bool gbd_director_has_sent_to_cold (const gbd_director_t *director);

/** What this instance may send to cold backend servers of a service. */
gbd_warm_up_share_t gbd_director_get_warm_up (const gbd_director_t *director,
                                              gbd_service_id_t service,
                                              gbd_time_t now);

/** Run periodic work; call about ten times a second. */
void gbd_director_tick (gbd_director_t *director, gbd_time_t now);

typedef struct
{
  uint64_t rules[GBD_DIRECTOR_RULE_COUNT];
  uint64_t evacuation_resets; /**< resets because of an evacuation */
  uint32_t tracked_flows;
  uint64_t cold_packets; /**< opening packets sent to backend servers for which
                              the limit for cold ones was in force */
  uint64_t cold_resets;  /**< opening packets reset while that limit was in
                              force for their service */
  uint64_t cold_drops;   /**< the same for dropped copies */
} gbd_director_stats_t;

void gbd_director_get_stats (const gbd_director_t *director,
                             gbd_director_stats_t *stats);

GBD_END_DECLS
#endif
