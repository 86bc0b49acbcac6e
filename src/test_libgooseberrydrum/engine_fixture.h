/* Several engines that exchange packets and flow updates without delay, for
   tests in C and C++.  Each test installs the tables itself. */
#ifndef TEST_ENGINE_FIXTURE_H
#define TEST_ENGINE_FIXTURE_H

#include <stdlib.h>
#include <string.h>

#include "gooseberrydrum/engine.h"

#define INSTANCES 6
#define BACKENDS 4
#define BUCKETS 64
#define FLOW_KEY 77

/* Result of the delivery of a packet. */
typedef struct
{
  uint8_t kind; /* gbd_action_kind_t */
  uint8_t rule;
  uint8_t drop;
  uint8_t peers; /* number of instances to which it was passed */
  uint8_t last;  /* index of the instance that made the last decision */
  gbd_slot_t slot;
  gbd_decision_t decision;
} outcome_t;

typedef struct
{
  gbd_catalog_t *catalog;
  gbd_service_id_t service;
  gbd_address_t address;
  gbd_member_t members[INSTANCES];
  bool has_failed[INSTANCES];
  gbd_engine_t *engines[INSTANCES];
  gbd_time_t now;
} cluster_t;

static inline gbd_instance_id_t
instance_id (uint32_t i)
{
  return 1000 + i;
}

static inline int
get_instance_index (gbd_instance_id_t id)
{
  return (int)(id - 1000);
}

static inline gbd_address_t
service_address (uint8_t last)
{
  gbd_address_t address;
  memset (&address, 0, sizeof address);
  address.family = 4;
  address.port = 80;
  address.ip[0] = 10;
  address.ip[3] = last;
  return address;
}

static inline gbd_packet_t
make_packet (gbd_packet_kind_t kind, uint32_t caller,
             const gbd_address_t *service, uint32_t sequence)
{
  gbd_packet_t packet;
  memset (&packet, 0, sizeof packet);
  packet.kind = kind;
  packet.flow.service = *service;
  packet.flow.caller.family = 4;
  packet.flow.caller.port = (uint16_t)(1024 + caller % 60000);
  packet.flow.caller.ip[0] = 192;
  packet.flow.caller.ip[2] = (uint8_t)(caller >> 8);
  packet.flow.caller.ip[3] = (uint8_t)caller;
  packet.sequence = sequence;
  packet.length = 100;
  return packet;
}

static inline gbd_catalog_t *
make_catalog (void)
{
  gbd_catalog_t *catalog = gbd_catalog_new (1);
  gbd_plan_t plan;
  memset (&plan, 0, sizeof plan);
  plan.idle_limit_s = 60;
  gbd_catalog_add_plan (catalog, &plan);
  gbd_catalog_add_customer (catalog, "customer", 0);
  gbd_catalog_add_service (catalog, "visitas", 0);
  gbd_catalog_add_service (catalog, "acervo", 0);
  gbd_address_t visitas = service_address (1);
  gbd_address_t acervo = service_address (2);
  gbd_catalog_add_address (catalog, &visitas, 0);
  gbd_catalog_add_address (catalog, &acervo, 1);
  return catalog;
}

/* Version 1: all buckets STABLE, two instances per zone. */
static inline gbd_table_t *
make_table (const cluster_t *cluster, uint8_t roster_count)
{
  gbd_backend_t backends[BACKENDS];
  memset (backends, 0, sizeof backends);
  for (uint32_t i = 0; i < BACKENDS; i++)
    {
      backends[i].id = 500 + i;
      backends[i].address = service_address ((uint8_t)(100 + i));
      backends[i].zone = 1 + i % 3;
      backends[i].state = GBD_BACKEND_READY;
    }
  gbd_table_t *table
      = gbd_table_new (cluster->service, BUCKETS, backends, BACKENDS,
                       cluster->members, roster_count);
  table->version = 1;
  return table;
}

static inline gbd_engine_t *
make_engine (const cluster_t *cluster, uint32_t i, const gbd_policy_t *policy)
{
  gbd_engine_settings_t settings;
  memset (&settings, 0, sizeof settings);
  settings.self = instance_id (i);
  settings.zone = cluster->members[i].zone;
  settings.flow_key = FLOW_KEY;
  settings.partition_policy = GBD_PARTITION_ANY;
  settings.cache_capacity = 1024;
  settings.registry_capacity = 512;
  settings.hints_per_second = 100;
  settings.policy = policy;
  gbd_engine_t *engine = gbd_engine_new (&settings);
  gbd_engine_set_catalog (engine, cluster->catalog);
  gbd_engine_set_lease (engine, GBD_LEASE_FULL);
  gbd_engine_set_joined (engine, true);
  gbd_engine_set_complete (engine, cluster->service, true);
  gbd_engine_set_reachable (engine, cluster->members, INSTANCES);
  return engine;
}

static inline void
cluster_open (cluster_t *cluster, const gbd_policy_t *policy)
{
  memset (cluster, 0, sizeof *cluster);
  cluster->catalog = make_catalog ();
  cluster->service = gbd_id_from_name ("visitas");
  cluster->address = service_address (1);
  cluster->now = 1000 * GBD_SECOND;
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      cluster->members[i].id = instance_id (i);
      cluster->members[i].zone = 1 + i / 2;
    }
  for (uint32_t i = 0; i < INSTANCES; i++)
    cluster->engines[i] = make_engine (cluster, i, policy);
}

static inline void
cluster_close (cluster_t *cluster)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    gbd_engine_delete (cluster->engines[i]);
  gbd_catalog_delete (cluster->catalog);
}

/* Install a copy of the table at one instance. */
static inline gbd_status_t
set_table (cluster_t *cluster, uint32_t i, const gbd_table_t *table)
{
  return gbd_engine_set_table (cluster->engines[i], gbd_table_copy (table),
                               cluster->now);
}

static inline void
set_table_everywhere (cluster_t *cluster, const gbd_table_t *table)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (!cluster->has_failed[i])
      set_table (cluster, i, table);
}

/* Mark an instance as failed; the others detect it at once. */
static inline void
set_failed (cluster_t *cluster, uint32_t failed)
{
  cluster->has_failed[failed] = true;
  gbd_member_t reachable[INSTANCES];
  uint32_t count = 0;
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (!cluster->has_failed[i])
      reachable[count++] = cluster->members[i];
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (!cluster->has_failed[i])
      gbd_engine_set_reachable (cluster->engines[i], reachable, count);
}

/* Deliver a packet from the fabric and follow it between instances.  A packet
   to a failed instance is lost.
   @param stop_after number of peers after which the packet is lost; UINT32_MAX
   for none */
static inline outcome_t
deliver_until (cluster_t *cluster, uint32_t ingress,
               const gbd_packet_t *packet, uint32_t stop_after)
{
  outcome_t outcome;
  memset (&outcome, 0, sizeof outcome);
  gbd_shim_t shim;
  const gbd_shim_t *received_shim = NULL;
  uint32_t instance = ingress;
  for (;;)
    {
      outcome.last = (uint8_t)instance;
      gbd_decision_t *decision = &outcome.decision;
      gbd_engine_route (cluster->engines[instance], packet, received_shim,
                        cluster->now, decision);
      gbd_engine_commit (cluster->engines[instance], packet, decision,
                         cluster->now);
      outcome.kind = decision->kind;
      outcome.rule = decision->rule;
      outcome.drop = decision->drop;
      outcome.slot = decision->slot;
      if (decision->kind != GBD_ACTION_PEER)
        return outcome;
      shim = decision->shim;
      received_shim = &shim;
      instance = (uint32_t)get_instance_index (decision->peer);
      if (outcome.peers++ == stop_after || cluster->has_failed[instance])
        return outcome;
    }
}

static inline outcome_t
deliver (cluster_t *cluster, uint32_t ingress, const gbd_packet_t *packet)
{
  return deliver_until (cluster, ingress, packet, UINT32_MAX);
}

static inline outcome_t
send_packet_of_kind (cluster_t *cluster, uint32_t ingress,
                     gbd_packet_kind_t kind, uint32_t caller)
{
  gbd_packet_t packet
      = make_packet (kind, caller, &cluster->address, caller * 7 + 1);
  return deliver (cluster, ingress, &packet);
}

typedef struct
{
  cluster_t *cluster;
  uint32_t entries;
} update_context_t;

static inline void
deliver_update (void *data, gbd_instance_id_t to, gbd_service_id_t service,
                gbd_flows_kind_t kind, const gbd_flow_entry_t *entries,
                uint32_t count)
{
  update_context_t *context = (update_context_t *)data;
  int i = get_instance_index (to);
  context->entries += count;
  if (!context->cluster->has_failed[i])
    gbd_engine_merge (context->cluster->engines[i], service, kind, entries,
                      count, context->cluster->now);
}

/* Deliver the flow updates that one engine has queued; returns the number
   of entries. */
static inline uint32_t
deliver_updates (cluster_t *cluster, uint32_t from)
{
  update_context_t context = { cluster, 0 };
  gbd_engine_take_updates (cluster->engines[from], deliver_update, &context);
  return context.entries;
}

static inline gbd_flow_hash_t
get_flow_hash (const cluster_t *cluster, uint32_t caller)
{
  gbd_packet_t packet
      = make_packet (GBD_PACKET_OPENING, caller, &cluster->address, 0);
  return gbd_flow_hash (&packet.flow, FLOW_KEY);
}

/* Replicas of the bucket of a caller's flow. */
static inline gbd_replicas_t
get_replicas (const cluster_t *cluster, const gbd_table_t *table,
              uint32_t caller)
{
  gbd_replicas_t replicas;
  gbd_table_get_replicas (
      table, gbd_table_bucket_of (table, get_flow_hash (cluster, caller)),
      &replicas);
  return replicas;
}

/* Index of the nth instance that is not a replica. */
static inline uint32_t
find_non_replica (const gbd_replicas_t *replicas, uint32_t nth)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      bool is_replica = false;
      for (uint32_t k = 0; k < replicas->count; k++)
        is_replica |= get_instance_index (replicas->chain[k]) == (int)i;
      if (!is_replica && nth-- == 0)
        return i;
    }
  abort ();
}

/* Create the next table version, in which all buckets of slot x are in a phase
   of their move to slot y. */
static inline gbd_table_t *
next_phase (const gbd_table_t *table, gbd_bucket_phase_t phase, gbd_slot_t x,
            gbd_slot_t y)
{
  gbd_table_t *next = gbd_table_copy (table);
  next->version++;
  for (uint32_t i = 0; i < next->bucket_count; i++)
    {
      gbd_bucket_t *bucket = &next->buckets[i];
      if (bucket->from != x)
        continue;
      bucket->phase = (uint8_t)phase;
      bucket->to = y;
      if (phase == GBD_BUCKET_STABLE)
        bucket->from = y;
    }
  return next;
}

/* The nth caller whose bucket is on a slot in a table. */
static inline uint32_t
find_caller_on_slot (const cluster_t *cluster, const gbd_table_t *table,
                     gbd_slot_t slot, uint32_t nth)
{
  for (uint32_t caller = 1;; caller++)
    {
      uint32_t bucket
          = gbd_table_bucket_of (table, get_flow_hash (cluster, caller));
      if (table->buckets[bucket].from == slot && nth-- == 0)
        return caller;
    }
}

#endif
