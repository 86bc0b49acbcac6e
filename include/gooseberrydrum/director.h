/** @file director.h
 *  The cookie policy: where each packet goes, decided by one instance alone.
 *
 *  An opening packet gets a backend server by placement, and a cookie that
 *  names it; later packets bring the cookie back to whichever instance the
 *  fabric chooses.  Instances share nothing but the key, the routes and the
 *  list of backend servers.
 *
 *  gbd_director_route() is a query without effects, shared by the packet path
 *  and by `explain`; gbd_director_commit() records what was carried out.
 */
#ifndef GOOSEBERRYDRUM_DIRECTOR_H
#define GOOSEBERRYDRUM_DIRECTOR_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/engine.h"
#include "gooseberrydrum/flow_watch.h"
#include "gooseberrydrum/placement.h"
#include "gooseberrydrum/routes.h"

GBD_BEGIN_DECLS

/** How long after its entry went a flow of a backend server is reset that had
 *  been draining, since the entry goes as the server exits, or that has left
 *  GBD_DIRECTOR_FAILURES_REMOVED signs unanswered since its last answer. */
#define GBD_DIRECTOR_CONFIRMED_RESET_DELAY (300 * GBD_MILLISECOND)
/** One packet may be lost; two signs without an answer between them, besides
 *  the entry that went, are not chance. */
#define GBD_DIRECTOR_FAILURES_REMOVED 2
/** The same while the entry stands, of flows and probes together. */
#define GBD_DIRECTOR_FAILURES_LISTED 3
/** The same for any other: it may only have been silent towards the
 *  platform, and writes its entry again within GBD_POOL_REMOVAL_GRACE. */
#define GBD_DIRECTOR_UNCONFIRMED_RESET_DELAY                                  \
  (GBD_POOL_REMOVAL_GRACE + GBD_SECOND)

/** Rule that decided; logs and `explain` print it. */
typedef enum
{
  GBD_DIRECTOR_RULE_NOT_READY, /**< no key, routes or backend servers yet */
  GBD_DIRECTOR_RULE_NO_ROUTE,  /**< the address has no route */
  GBD_DIRECTOR_RULE_NO_SERVER, /**< nothing can take a new flow */
  GBD_DIRECTOR_RULE_PLACED,    /**< first opening packet of a flow */
  GBD_DIRECTOR_RULE_SAME,      /**< opening packet of a flow placed before */
  GBD_DIRECTOR_RULE_MOVED,     /**< repeated opening packet: the backend server
                                chosen before did not answer */
  GBD_DIRECTOR_RULE_COOKIE,    /**< the cookie names the backend server */
  GBD_DIRECTOR_RULE_NO_COOKIE, /**< the cookie names none that is known */
  GBD_DIRECTOR_RULE_SERVER_REMOVED, /**< the flow's backend server has left */
  GBD_DIRECTOR_RULE_SERVER_DOWN /**< it is listed, but neither its flows nor a
                                 probe are answered */
} gbd_director_rule_t;
#define GBD_DIRECTOR_RULE_COUNT 10
extern const char *const gbd_director_rule_strings[GBD_DIRECTOR_RULE_COUNT];

/** One decision. */
typedef struct
{
  uint8_t kind;               /**< gbd_action_kind_t, but for PEER */
  uint8_t rule;               /**< gbd_director_rule_t */
  uint8_t drop;               /**< gbd_drop_t of a drop */
  gbd_pool_handle_t server;   /**< or GBD_POOL_NONE */
  gbd_pool_handle_t previous; /**< of GBD_DIRECTOR_RULE_MOVED */
  gbd_cookie_t cookie;        /**< to write into the packet */
  gbd_flow_hash_t hash;
  uint64_t version; /**< of the routes used; 0: none */
} gbd_director_decision_t;

typedef struct
{
  gbd_zone_id_t zone;     /**< of this instance */
  uint32_t flow_capacity; /**< flows watched, a power of two */
} gbd_director_settings_t;

typedef struct gbd_director gbd_director_t;

/** @return NULL when memory is short. */
gbd_director_t *gbd_director_new (const gbd_director_settings_t *settings);
void gbd_director_delete (gbd_director_t *director);

/** Secret of the group; without one every packet is dropped. */
void gbd_director_set_key (gbd_director_t *director, uint64_t key);

/** Put routes in force and take ownership of them.
 *  @return GBD_ERROR_STALE (and the routes deleted) unless their version is
 *  above the one in force. */
gbd_status_t gbd_director_set_routes (gbd_director_t *director,
                                      gbd_routes_t *routes);

gbd_pool_t *gbd_director_get_pool (gbd_director_t *director);
const gbd_pool_t *gbd_director_peek_pool (const gbd_director_t *director);
/** @return NULL before the first. */
const gbd_routes_t *gbd_director_get_routes (const gbd_director_t *director);

/** Whether packets can be decided: key, routes and a full listing of the
 *  backend servers are there. */
bool gbd_director_is_ready (const gbd_director_t *director);

void gbd_director_route (const gbd_director_t *director,
                         const gbd_packet_t *packet, gbd_time_t now,
                         gbd_director_decision_t *decision);

/** A flow that has passed here and is not forgotten, or NULL. */
const gbd_tracked_flow_t *
gbd_director_find_flow (const gbd_director_t *director,
                        const gbd_flow_t *flow);

/** Decide about the next packet that an open flow sends, as
 *  gbd_director_route. */
void gbd_director_route_next (const gbd_director_t *director,
                              const gbd_flow_t *flow,
                              const gbd_tracked_flow_t *watched,
                              gbd_time_t now,
                              gbd_director_decision_t *decision);

/** Record a decision that was carried out.
 *  @return what the packet showed; of a moved flow, is_newly_suspected is
 * about the former backend server. */
gbd_flow_observation_t
gbd_director_commit (gbd_director_t *director, const gbd_packet_t *packet,
                     const gbd_director_decision_t *decision, gbd_time_t now);

/** Call about ten times a second. */
void gbd_director_tick (gbd_director_t *director, gbd_time_t now);

typedef struct
{
  uint64_t rules[GBD_DIRECTOR_RULE_COUNT];
  uint32_t tracked_flows;
} gbd_director_stats_t;

void gbd_director_get_stats (const gbd_director_t *director,
                             gbd_director_stats_t *stats);

GBD_END_DECLS
#endif
