/** @file engine.h
 *  The routing engine of one instance: chooses the destination of each packet.
 *
 *  gbd_engine_route() is a query without side effects; the data path and the
 *  `explain` request both use it.  gbd_engine_commit() records a decision that
 *  the data path carries out.
 */
#ifndef GOOSEBERRYDRUM_ENGINE_H
#define GOOSEBERRYDRUM_ENGINE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/catalog.h"
#include "gooseberrydrum/message.h"
#include "gooseberrydrum/packet.h"
#include "gooseberrydrum/table.h"

GBD_BEGIN_DECLS

/** Lease of an instance: what it may decide on behalf of its group. */
typedef enum
{
  GBD_LEASE_NONE, /**< forwards known flows, opens no new ones */
  GBD_LEASE_ZONE, /**< network partition along zone boundaries: forwards known
                       flows; opens new ones as the partition policy allows.
                       Under GBD_PARTITION_ANY every instance on its side of
                       the partition receives their registrations */
  GBD_LEASE_FULL  /**< the instance's tables are the current ones */
} gbd_lease_t;

/** What is done with a packet. */
typedef enum
{
  GBD_ACTION_DROP,
  GBD_ACTION_BACKEND, /**< send the inner packet to a backend server */
  GBD_ACTION_PEER,    /**< send shim and packet to another instance */
  GBD_ACTION_RESET    /**< send a TCP reset to the caller and forward
                           nothing */
} gbd_action_kind_t;

/** Rule that led to a decision; `explain` prints its name. */
typedef enum
{
  GBD_RULE_NONE,
  GBD_RULE_BAD_PACKET,
  GBD_RULE_NO_SERVICE,
  GBD_RULE_NOT_JOINED,   /**< this instance is not a member of its group */
  GBD_RULE_CACHED,       /**< the flow cache has the flow */
  GBD_RULE_REGISTERED,   /**< a registration names the backend server */
  GBD_RULE_EXCEPTION,    /**< an exception names the backend server */
  GBD_RULE_BUCKET,       /**< the bucket's only or default server */
  GBD_RULE_OPEN_REPLICA, /**< the packet follows the bucket's replica chain
                              ("open-keeper") */
  GBD_RULE_LOOKUP,       /**< unknown flow of a moving bucket is looked up at a
                              replica ("ask-keeper") */
  GBD_RULE_NO_LEASE,     /**< the lease does not allow a decision, no majority
                              of the members is reachable, or the table
                              versions are too far apart ("out-of-touch") */
  GBD_RULE_INCOMPLETE,   /**< registrations are still being copied, or their
                              limit is reached */
  GBD_RULE_LIMIT,        /**< a limit of the customer's plan is reached */
  GBD_RULE_GONE          /**< the flow's backend server is gone */
} gbd_rule_t;
#define GBD_RULE_COUNT 14
extern const char *const gbd_rule_strings[GBD_RULE_COUNT];

/** Decision for one packet. */
typedef struct
{
  uint8_t kind;          /**< gbd_action_kind_t */
  uint8_t rule;          /**< gbd_rule_t */
  uint8_t drop;          /**< gbd_drop_t if kind is GBD_ACTION_DROP */
  bool is_new;           /**< this instance did not know the flow before */
  bool registers;        /**< commit stores a registration of the flow */
  bool sends_hint;       /**< commit queues a hint, if the rate limit
                              allows: the origin then caches the flow's
                              backend server */
  bool sends_correction; /**< commit queues corrections for the replicas
                              that precede this one in the chain */
  gbd_slot_t slot;       /**< backend server, or GBD_SLOT_NONE */
  gbd_service_handle_t service;
  uint32_t bucket;
  gbd_flow_hash_t hash;
  uint64_t version;       /**< table version used */
  gbd_address_t backend;  /**< destination of GBD_ACTION_BACKEND */
  gbd_instance_id_t peer; /**< destination of GBD_ACTION_PEER */
  gbd_shim_t shim;        /**< GBD_ACTION_PEER: shim to send; otherwise the
                               shim received, of which only the origin is set
                               for a packet from the fabric */
} gbd_decision_t;

/** How a flow that counts against a plan has ended. */
typedef enum
{
  GBD_FLOW_END_CLOSED,   /**< the caller closed the flow at the instance
                              that admitted it */
  GBD_FLOW_END_IDLE,     /**< the instance that admitted it received no packet
                              for the idle limit */
  GBD_FLOW_END_ELSEWHERE /**< closed at this instance, but admitted by
                              another */
} gbd_flow_end_t;

/** Admission control by the plans' limits; implemented by
 *  gbd_limits_admission.  `opened` is called for each new flow that the fabric
 *  delivered to this instance, admitted or refused, directly after `admits`
 *  and with the same time. */
typedef struct
{
  bool (*admits) (const void *data, uint32_t customer, gbd_time_t now);
  void (*opened) (void *data, uint32_t customer, gbd_time_t now);
  void (*ended) (void *data, uint32_t customer, gbd_flow_end_t end,
                 gbd_time_t now);
} gbd_admission_t;

/** Partition policy: which new flows an instance with GBD_LEASE_ZONE opens. */
typedef enum
{
  GBD_PARTITION_KNOWN, /**< opens no new flows; forwards known flows */
  GBD_PARTITION_OWN,   /**< flows of stable buckets whose backend server is in
                            a zone on this side of the partition */
  GBD_PARTITION_ANY    /**< all flows, to backend servers on this side; only
                            for a fabric that is partitioned along the same
                            zone boundaries */
} gbd_partition_policy_t;

typedef struct gbd_engine gbd_engine_t;

/** Routing policy: the one that the product uses, or a baseline for comparison
 *  in measurements. */
typedef struct
{
  const char *name;
  void (*route) (const gbd_engine_t *engine, const gbd_packet_t *packet,
                 const gbd_shim_t *shim, gbd_time_t now,
                 gbd_decision_t *decision);
} gbd_policy_t;

/** The policy of the product: registrations are replicated. */
extern const gbd_policy_t gbd_policy_replicas;
extern const gbd_policy_t gbd_policy_modulo;     /**< hash modulo servers */
extern const gbd_policy_t gbd_policy_rendezvous; /**< rendezvous, no state */
extern const gbd_policy_t gbd_policy_cached;     /**< rendezvous and cache */

/** Find a policy by name: "keepers", "modulo", "rendezvous" or "cached".
 *  @return the policy or NULL. */
const gbd_policy_t *gbd_policy_find (const char *name);

typedef struct
{
  gbd_instance_id_t self;
  gbd_zone_id_t zone;
  uint64_t flow_key;          /**< key of the flow hash */
  uint32_t cache_capacity;    /**< flows that the flow cache holds, a power of
                                   two */
  uint32_t registry_capacity; /**< registrations a service may hold */
  uint32_t hints_per_second;  /**< rate limit of flow hints sent */
  uint8_t partition_policy;   /**< gbd_partition_policy_t */
  const gbd_policy_t *policy;
} gbd_engine_settings_t;

/** @return NULL when memory is short. */
gbd_engine_t *gbd_engine_new (const gbd_engine_settings_t *settings);
void gbd_engine_delete (gbd_engine_t *engine);

/** Install a catalog.  The engine keeps the pointer; the caller owns the
 *  catalog and may delete the previous one afterwards.  Services that both
 *  catalogs have (by identifier) keep their tables, registrations and cached
 *  flows. */
gbd_status_t gbd_engine_set_catalog (gbd_engine_t *engine,
                                     const gbd_catalog_t *catalog);

/** Install a table and take ownership of it.  Registrations of buckets that
 *  are STABLE in the new table are removed; those of flows that this instance
 *  opened during a partition stay until it holds a full lease.  Later packets
 *  of a flow whose backend server is GONE in the new table are answered with a
 *  reset.
 *  @return GBD_ERROR_STALE (and the table deleted) unless its version is above
 *  that of the installed table; GBD_ERROR_NOT_FOUND for an unknown service. */
gbd_status_t gbd_engine_set_table (gbd_engine_t *engine, gbd_table_t *table,
                                   gbd_time_t now);

const gbd_table_t *gbd_engine_get_table (const gbd_engine_t *engine,
                                         gbd_service_id_t service);
const gbd_catalog_t *gbd_engine_get_catalog (const gbd_engine_t *engine);

/** Set a lease without an expiry time. */
void gbd_engine_set_lease (gbd_engine_t *engine, gbd_lease_t lease);

/** Set a lease that expires.  A process that was paused handles the packets in
 *  its socket buffers before it examines its links again; the expiry time
 *  keeps it from deciding on a lease that has run out meanwhile. */
void gbd_engine_set_lease_until (gbd_engine_t *engine, gbd_lease_t lease,
                                 gbd_time_t until);

/** Set whether this instance is a member of its group and may decide about
 *  packets itself.  While it is not a member, it relays packets to a peer. */
void gbd_engine_set_joined (gbd_engine_t *engine, bool is_joined);

/** Set whether this instance belongs to a majority of members that reach each
 *  other, and until when.  Without a majority it neither registers flows of
 *  moving buckets nor reports that a flow is not registered.  The default is
 *  true. */
void gbd_engine_set_majority_until (gbd_engine_t *engine, bool has_majority,
                                    gbd_time_t until);

/** Set the instances that are reachable now.  Packets are passed only to
 *  them. */
void gbd_engine_set_reachable (gbd_engine_t *engine,
                               const gbd_member_t *reachable, uint32_t count);

/** Set whether this instance has all exceptions that the current table of a
 *  service depends on.  Registrations may still be missing; see
 *  gbd_engine_set_authoritative(). */
void gbd_engine_set_complete (gbd_engine_t *engine, gbd_service_id_t service,
                              bool is_complete);

/** Set whether this instance is authoritative as a replica: it may report that
 *  a flow of a moving bucket is not registered.  Its registrations must be
 *  complete as well.  The default is true. */
void gbd_engine_set_authoritative (gbd_engine_t *engine,
                                   gbd_service_id_t service,
                                   bool is_authoritative);

/** Set the admission control, whose functions are called with `data`.  NULL
 *  admits all flows. */
void gbd_engine_set_admission (gbd_engine_t *engine,
                               const gbd_admission_t *admission, void *data);

/** Largest batch of gbd_engine_prefetch(), in packets. */
#define GBD_PREFETCH_MAX 64

/** Prefetch the flow cache entries of packets that gbd_engine_route() will get
 *  next, so that the memory accesses of a batch overlap.
 *  @param count at most GBD_PREFETCH_MAX */
void gbd_engine_prefetch (const gbd_engine_t *engine,
                          const gbd_packet_t *packets, uint32_t count);

/** Decide where a packet goes.  No side effects, no allocation.
 *  @param shim NULL for a packet from the fabric */
void gbd_engine_route (const gbd_engine_t *engine, const gbd_packet_t *packet,
                       const gbd_shim_t *shim, gbd_time_t now,
                       gbd_decision_t *decision);

/** Record a decision that is being carried out. */
void gbd_engine_commit (gbd_engine_t *engine, const gbd_packet_t *packet,
                        const gbd_decision_t *decision, gbd_time_t now);

/** Merge flow entries received from another instance.  Merging is
 *  commutative, associative and idempotent, except for corrections, which
 *  replace an entry.
 *  @return GBD_ERROR_MEMORY when the registry's capacity is reached. */
gbd_status_t gbd_engine_merge (gbd_engine_t *engine, gbd_service_id_t service,
                               gbd_flows_kind_t kind,
                               const gbd_flow_entry_t *entries, uint32_t count,
                               gbd_time_t now);

/** Called once for each flow of a listing. */
typedef void (*gbd_flow_visit_t) (void *data, const gbd_flow_entry_t *entry);

/** List the registrations of a service, to copy them to a new replica. */
void gbd_engine_visit_registrations (const gbd_engine_t *engine,
                                     gbd_service_id_t service,
                                     gbd_flow_visit_t visit, void *data);

/** List the exceptions of a service, to copy them to a joining instance. */
void gbd_engine_visit_stored_exceptions (const gbd_engine_t *engine,
                                         gbd_service_id_t service,
                                         gbd_flow_visit_t visit, void *data);

/** List the off-target flows of a service: open flows of SETTLING buckets that
 *  this instance knows and that are not on their bucket's target.  Exceptions
 *  that were already broadcast under the current table are left out. */
void gbd_engine_visit_off_target_flows (const gbd_engine_t *engine,
                                        gbd_service_id_t service,
                                        gbd_time_t now, gbd_flow_visit_t visit,
                                        void *data);

/** Whether this instance stores an exception for the flow that was broadcast
 *  to all members under the current table, in which the flow's bucket is
 *  SETTLING. */
bool gbd_engine_has_broadcast_exception (const gbd_engine_t *engine,
                                         gbd_service_id_t service,
                                         gbd_flow_hash_t hash);

/** Called for each batch of queued flow updates that have the same
 *  destination, service and kind: HINT, CORRECTION and CLOSED flows;
 *  REGISTERED and EXCEPTION flows that were opened without a full lease or
 *  while a replica was unreachable.
 *  @param count at most GBD_FLOWS_MAX */
typedef void (*gbd_flow_update_visit_t) (void *data, gbd_instance_id_t to,
                                         gbd_service_id_t service,
                                         gbd_flows_kind_t kind,
                                         const gbd_flow_entry_t *entries,
                                         uint32_t count);

/** Take the flow updates queued since the last call. */
void gbd_engine_take_updates (gbd_engine_t *engine,
                              gbd_flow_update_visit_t visit, void *data);

/** Remove idle and closed flows, a bounded number per call. */
void gbd_engine_expire (gbd_engine_t *engine, gbd_time_t now);

/** Load of one backend server as measured by this instance. */
typedef struct
{
  uint64_t new_flows;  /**< opening packets forwarded, without
                            retransmissions */
  uint64_t bytes;      /**< bytes of inner packets forwarded */
  uint32_t open_flows; /**< cached flows that this instance opened */
} gbd_backend_load_t;

void gbd_engine_get_load (const gbd_engine_t *engine, gbd_service_id_t service,
                          gbd_slot_t slot, gbd_backend_load_t *load);

/** Sizes and counters for dumps and measurements. */
typedef struct
{
  uint64_t cached_flows;
  uint64_t registrations;
  uint64_t exceptions;
  uint64_t evictions;         /**< open flows evicted because the flow cache
                                   was full */
  gbd_time_t loss_free_since; /**< time of the last eviction of an open flow,
                                   GBD_TIME_NEVER if there was none */
  uint64_t bytes;             /**< memory allocated */
  uint64_t rules[GBD_RULE_COUNT];
  uint64_t drops[GBD_DROP_COUNT];
  uint64_t detoured_packets; /**< packets passed to another instance */
  uint64_t detoured_bytes;
} gbd_engine_stats_t;

void gbd_engine_get_stats (const gbd_engine_t *engine,
                           gbd_engine_stats_t *stats);

GBD_END_DECLS
#endif
