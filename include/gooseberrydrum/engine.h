/** @file engine.h
 *  Where each packet goes: the decision of one instance.
 *
 *  gbd_engine_route() is a query without effects, shared by the data path and
 *  by `explain`; gbd_engine_commit() records what was decided.
 */
#ifndef GOOSEBERRYDRUM_ENGINE_H
#define GOOSEBERRYDRUM_ENGINE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/catalog.h"
#include "gooseberrydrum/message.h"
#include "gooseberrydrum/packet.h"
#include "gooseberrydrum/table.h"

GBD_BEGIN_DECLS

/** How far an instance may speak for its group. */
typedef enum
{
  GBD_TOUCH_NONE, /**< only flows it knows; nothing opens */
  GBD_TOUCH_ZONE, /**< whole zones cut off together: known flows, and new
                       ones registered with every instance of the side */
  GBD_TOUCH_FULL  /**< the versions it holds are in force */
} gbd_touch_t;

typedef enum
{
  GBD_ACTION_DROP,
  GBD_ACTION_BACKEND, /**< send the inner packet to a backend server */
  GBD_ACTION_PEER,    /**< send shim and packet to another instance */
  GBD_ACTION_RESET    /**< answer the caller; nothing was passed on */
} gbd_action_kind_t;

/** Rule that decided; `explain` prints it. */
typedef enum
{
  GBD_RULE_NONE,
  GBD_RULE_BAD_PACKET,
  GBD_RULE_NO_SERVICE,
  GBD_RULE_NOT_JOINED,
  GBD_RULE_CACHED,       /**< the flow cache knows the flow */
  GBD_RULE_REGISTERED,   /**< a registration names the backend server */
  GBD_RULE_EXCEPTION,    /**< an exception names the backend server */
  GBD_RULE_BUCKET,       /**< the bucket's only or default server */
  GBD_RULE_OPEN_KEEPER,  /**< opening packet goes along the keepers */
  GBD_RULE_ASK_KEEPER,   /**< unknown flow of a moving bucket */
  GBD_RULE_OUT_OF_TOUCH, /**< this instance may not decide now */
  GBD_RULE_INCOMPLETE,   /**< registrations are still being copied */
  GBD_RULE_LIMIT,        /**< the customer's plan is used up */
  GBD_RULE_GONE          /**< the flow's backend server is gone */
} gbd_rule_t;
#define GBD_RULE_COUNT 14
extern const char *const gbd_rule_strings[GBD_RULE_COUNT];

/** One decision. */
typedef struct
{
  uint8_t kind;    /**< gbd_action_kind_t */
  uint8_t rule;    /**< gbd_rule_t */
  uint8_t drop;    /**< gbd_drop_t of a drop */
  bool is_new;     /**< the flow was not known here before */
  bool registers;  /**< commit registers the flow here */
  bool teaches;    /**< commit tells the origin, within the budget */
  bool corrects;   /**< commit corrects the keepers before this one */
  gbd_slot_t slot; /**< backend server, or GBD_SLOT_NONE */
  gbd_service_t service;
  uint32_t bucket;
  gbd_flow_hash_t hash;
  uint64_t version;       /**< table version used */
  gbd_address_t backend;  /**< destination of GBD_ACTION_BACKEND */
  gbd_instance_id_t peer; /**< destination of GBD_ACTION_PEER */
  gbd_shim_t shim;        /**< sent before the packet to a peer; else the
                               one it came with, or only an origin */
} gbd_decision_t;

/** How a flow that counts against a plan has ended. */
typedef enum
{
  GBD_FLOW_END_CLOSED,   /**< its opener saw the caller close it */
  GBD_FLOW_END_IDLE,     /**< its opener saw no packet for the idle limit */
  GBD_FLOW_END_ELSEWHERE /**< closed here, opened at another instance */
} gbd_flow_end_t;

/** Whether the limits admit a new flow; the limiter fills it in.
 *  `opened` is called for every new flow that the fabric brought here,
 *  admitted or refused, right after `admits` at the same time. */
typedef struct
{
  bool (*admits) (const void *data, uint32_t customer, gbd_time_t now);
  void (*opened) (void *data, uint32_t customer, gbd_time_t now);
  void (*ended) (void *data, uint32_t customer, gbd_flow_end_t end,
                 gbd_time_t now);
} gbd_admission_t;

/** How a policy answers; the keepers policy and the baselines that the
 *  measurements compare are such tables. */
/** What instances may open while GBD_TOUCH_ZONE. */
typedef enum
{
  GBD_CUT_OFF_KNOWN, /**< nothing: only known flows go on */
  GBD_CUT_OFF_OWN,   /**< flows of stable buckets whose backend server is in
                          a zone of this side */
  GBD_CUT_OFF_ANY    /**< all flows, to backend servers of this side; only
                          for a fabric that is cut where the zones are */
} gbd_cut_off_t;

typedef struct gbd_engine gbd_engine_t;
typedef struct
{
  const char *name;
  void (*route) (const gbd_engine_t *engine, const gbd_packet_t *packet,
                 const gbd_shim_t *shim, gbd_time_t now,
                 gbd_decision_t *decision);
} gbd_policy_t;

extern const gbd_policy_t gbd_policy_keepers;    /**< the product */
extern const gbd_policy_t gbd_policy_modulo;     /**< hash modulo servers */
extern const gbd_policy_t gbd_policy_rendezvous; /**< rendezvous, no state */
extern const gbd_policy_t gbd_policy_cached;     /**< rendezvous and cache */

/** Policy of a name ("keepers", "modulo", "rendezvous", "cached") or NULL.
 */
const gbd_policy_t *gbd_policy_find (const char *name);

typedef struct
{
  gbd_instance_id_t self;
  gbd_zone_id_t zone;
  uint64_t flow_key;          /**< keys the flow hash */
  uint32_t cache_capacity;    /**< flows, a power of two */
  uint32_t registry_capacity; /**< registrations a service may hold */
  uint32_t teach_per_second;  /**< LEARNED entries sent in a second */
  uint8_t cut_off;            /**< gbd_cut_off_t */
  const gbd_policy_t *policy;
} gbd_engine_settings_t;

/** @return NULL when memory is short. */
gbd_engine_t *gbd_engine_new (const gbd_engine_settings_t *settings);
void gbd_engine_delete (gbd_engine_t *engine);

/** Put a catalog in force; the engine keeps the pointer, the caller owns it
 *  and may delete the former one afterwards.  Services keep their tables,
 *  registrations and cached flows by identifier. */
gbd_status_t gbd_engine_set_catalog (gbd_engine_t *engine,
                                     const gbd_catalog_t *catalog);

/** Put a table in force and take ownership of it.
 *  Registrations are dropped for buckets that are STABLE in it; later
 *  packets of flows whose backend server it calls gone are answered with a
 *  reset.
 *  @return GBD_ERROR_STALE (and the table deleted) unless its version is
 *  above the one in force; GBD_ERROR_NOT_FOUND for an unknown service. */
gbd_status_t gbd_engine_set_table (gbd_engine_t *engine, gbd_table_t *table,
                                   gbd_time_t now);

const gbd_table_t *gbd_engine_get_table (const gbd_engine_t *engine,
                                         gbd_service_id_t service);
const gbd_catalog_t *gbd_engine_get_catalog (const gbd_engine_t *engine);

void gbd_engine_set_touch (gbd_engine_t *engine, gbd_touch_t touch);

/** As gbd_engine_set_touch, but for packets after a time GBD_TOUCH_NONE: a
 *  process that was paused handles what waited for it before it looks at its
 *  links again. */
void gbd_engine_set_touch_until (gbd_engine_t *engine, gbd_touch_t touch,
                                 gbd_time_t until);

/** Whether this instance is counted by its group, and may handle packets
 *  itself; before, packets are relayed to a peer. */
void gbd_engine_set_joined (gbd_engine_t *engine, bool is_joined);

/** Whether this instance is one of a majority that hear each other, until a
 *  time.  Without it, it neither registers flows of moving buckets nor says
 *  that they are not registered.  True unless set. */
void gbd_engine_set_majority_until (gbd_engine_t *engine, bool has_majority,
                                    gbd_time_t until);

/** Say which instances are heard now; packets avoid the others. */
void gbd_engine_set_live (gbd_engine_t *engine, const gbd_member_t *live,
                          uint32_t count);

/** Whether the registrations and exceptions of a service here are known to
 * be complete. */
void gbd_engine_set_complete (gbd_engine_t *engine, gbd_service_id_t service,
                              bool is_complete);

/** Whether this instance, as a keeper, may say that a flow of a moving
 * bucket is not registered; the registrations must be complete as well. True
 *  unless set. */
void gbd_engine_set_claims (gbd_engine_t *engine, gbd_service_id_t service,
                            bool has_claims);

void gbd_engine_set_admission (gbd_engine_t *engine,
                               const gbd_admission_t *admission, void *data);

/** Packets of one announcement. */
#define GBD_PREFETCH_MAX 64

/** Announce packets that gbd_engine_route() will get next: what it reads is
 *  loaded from memory side by side.
 *  @param count at most GBD_PREFETCH_MAX */
void gbd_engine_prefetch (const gbd_engine_t *engine,
                          const gbd_packet_t *packets, uint32_t count);

/** Decide where a packet goes.  No effects, no allocation.
 *  @param shim NULL for a packet from the fabric */
void gbd_engine_route (const gbd_engine_t *engine, const gbd_packet_t *packet,
                       const gbd_shim_t *shim, gbd_time_t now,
                       gbd_decision_t *decision);

/** Record a decision that is being carried out. */
void gbd_engine_commit (gbd_engine_t *engine, const gbd_packet_t *packet,
                        const gbd_decision_t *decision, gbd_time_t now);

/** Merge flows that another instance told.  Merging is commutative,
 *  associative and idempotent, but for a correction, which replaces.
 *  @return GBD_ERROR_MEMORY when the registry's bound is reached. */
gbd_status_t gbd_engine_merge (gbd_engine_t *engine, gbd_service_id_t service,
                               gbd_flows_kind_t kind,
                               const gbd_flow_entry_t *entries, uint32_t count,
                               gbd_time_t now);

/** Called once for each flow of a listing. */
typedef void (*gbd_flow_visit_t) (void *data, const gbd_flow_entry_t *entry);

/** List registrations of a service (to copy them to a new keeper). */
void gbd_engine_visit_registered (const gbd_engine_t *engine,
                                  gbd_service_id_t service,
                                  gbd_flow_visit_t visit, void *data);

/** List exceptions of a service (to copy them to an instance that joins). */
void gbd_engine_visit_held_exceptions (const gbd_engine_t *engine,
                                       gbd_service_id_t service,
                                       gbd_flow_visit_t visit, void *data);

/** List open flows known here, cached or registered, of the SETTLING buckets
 *  of a service that are not on their bucket's target. */
void gbd_engine_visit_exceptions (const gbd_engine_t *engine,
                                  gbd_service_id_t service, gbd_time_t now,
                                  gbd_flow_visit_t visit, void *data);

/** Whether an exception for this flow is held here that was told to all
 *  while its bucket settles under the table in force. */
bool gbd_engine_holds_exception (const gbd_engine_t *engine,
                                 gbd_service_id_t service,
                                 gbd_flow_hash_t hash);

/** Called once for each message that commits have queued: LEARNED,
 *  CORRECTION and CLOSED flows for one instance; REGISTERED and EXCEPTION
 *  ones for what was opened out of full touch or past a silent keeper. */
typedef void (*gbd_told_visit_t) (void *data, gbd_instance_id_t to,
                                  gbd_service_id_t service,
                                  gbd_flows_kind_t kind,
                                  const gbd_flow_entry_t *entries,
                                  uint32_t count);

/** Take what commits have queued since the last call. */
void gbd_engine_take_told (gbd_engine_t *engine, gbd_told_visit_t visit,
                           void *data);

/** Forget idle and closed flows, a bounded number a call. */
void gbd_engine_expire (gbd_engine_t *engine, gbd_time_t now);

/** Load of one backend server as this instance saw it. */
typedef struct
{
  uint64_t new_flows;  /**< opening packets passed on, first time */
  uint64_t bytes;      /**< bytes of inner packets passed on */
  uint32_t open_flows; /**< cached flows that this instance opened */
} gbd_backend_load_t;

void gbd_engine_get_load (const gbd_engine_t *engine, gbd_service_id_t service,
                          gbd_slot_t slot, gbd_backend_load_t *load);

/** Sizes for dumps and measurements. */
typedef struct
{
  uint64_t cached_flows;
  uint64_t registrations;
  uint64_t exceptions;
  uint64_t evictions;       /**< open flows lost to the cache's bound */
  gbd_time_t covered_since; /**< no open flow was lost after this */
  uint64_t bytes;           /**< memory held */
  uint64_t rules[GBD_RULE_COUNT];
  uint64_t drops[GBD_DROP_COUNT];
  uint64_t detoured_packets;
  uint64_t detoured_bytes;
} gbd_engine_stats_t;

void gbd_engine_get_stats (const gbd_engine_t *engine,
                           gbd_engine_stats_t *stats);

GBD_END_DECLS
#endif
