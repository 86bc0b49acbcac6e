/** @file load_fixture.h
 *  A load in miniature: callers of several zones, instances that see only
 * their own flows, and backend servers with slots and a queue.
 */
#ifndef TEST_LOAD_FIXTURE_H
#define TEST_LOAD_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>
#include <string.h>

#include "gooseberrydrum/room.h"
#include "gooseberrydrum/placement.h"

#define START (1000 * GBD_SECOND)
#define ZONES_MAX 4
#define INSTANCES_MAX 80
#define SERVERS_MAX 128
#define SLOTS_MAX 8
#define QUEUE 8 /* requests, platform contract */
#define RUNNING_MAX (SERVERS_MAX * (SLOTS_MAX + QUEUE) + 4096)
/* Time from a response to the caller's acknowledgment. */
#define ACKNOWLEDGMENT_DELAY (4 * GBD_MILLISECOND)
/* A caller sends a packet without response again after this time. */
#define RETRANSMISSION_DELAY (200 * GBD_MILLISECOND)
/* Failing servers stop for this long, and run for as long in between. */
#define DOWN_TIME (500 * GBD_MILLISECOND)

typedef struct
{
  uint32_t zone;
  uint32_t slots;
  double service_time_ms; /* mean */
  gbd_time_t free_at[SLOTS_MAX];
  uint32_t pending;
  uint32_t accepted;
  bool is_failing; /* stops and returns by turns */
  bool is_down;
  gbd_time_t toggled_at;
} load_server_t;

typedef struct
{
  uint32_t zone;
  gbd_group_view_t group;
  gbd_pool_t *pool;
  /* Fake of the detection of a shortage. */
  uint32_t refused_count; /* in the present second */
  gbd_time_t second_began_at;
  gbd_time_t short_until;
} load_instance_t;

typedef struct
{
  gbd_time_t sent_at;
  gbd_time_t end;
  uint32_t instance;
  uint32_t server;
  bool is_accepted;
  bool is_command; /* must not run twice */
  bool is_lost;    /* the server has stopped; no response */
  bool has_ended;  /* the server has responded */
} load_request_t;

typedef struct
{
  uint32_t zone_count;
  uint32_t instance_count;
  uint32_t server_count;
  double command_share;  /* requests that must not run twice */
  bool spares_commands;  /* the placement knows which requests these are */
  bool detects_shortage; /* room counts as short after a second with two
                            refused requests */
  bool has_windows;      /* room is short and the group is known */
  double long_share; /* requests that have half of all work; 0.5: requests are
                        alike */
  double rates_per_s[ZONES_MAX]; /* new requests of callers by zone */
  load_instance_t instances[INSTANCES_MAX];
  load_server_t servers[SERVERS_MAX];
  load_request_t running[RUNNING_MAX];
  uint32_t running_count;
  uint64_t random_state;
  gbd_time_t now;
  uint64_t attempts;
  uint64_t refused;
  uint64_t commands;
  uint64_t failed_commands;
  uint64_t zone_attempts[ZONES_MAX];
  uint64_t zone_refused[ZONES_MAX];
  uint64_t sent[ZONES_MAX][ZONES_MAX]; /* by zone of caller and of server */
} load_t;

static inline double
load_random (load_t *load)
{
  load->random_state = gbd_rendezvous_weight (load->random_state, 11);
  return (double)(load->random_state >> 11) / (double)((uint64_t)1 << 53);
}

static inline double
load_random_exponential (load_t *load, double mean)
{
  return -log (1.0 - load_random (load)) * mean;
}

static inline gbd_time_t
load_draw_service_time (load_t *load, const load_server_t *server)
{
  double share = load_random (load) < load->long_share
                     ? 0.5 / load->long_share
                     : 0.5 / (1 - load->long_share);
  return (gbd_time_t)(load_random_exponential (load,
                                               share * server->service_time_ms)
                      * GBD_MILLISECOND);
}

/* Instances and servers are assigned to zones in turn. */
static inline void
load_init (load_t *load, uint32_t zone_count, uint32_t instance_count,
           uint32_t server_count, double service_time_ms)
{
  memset (load, 0, sizeof *load);
  load->zone_count = zone_count;
  load->instance_count = instance_count;
  load->server_count = server_count;
  load->random_state = 1;
  load->long_share = 0.5;
  load->now = START;
  for (uint32_t s = 0; s < server_count; s++)
    load->servers[s] = (load_server_t){ .zone = s % zone_count,
                                        .slots = 2,
                                        .service_time_ms = service_time_ms };
  for (uint32_t i = 0; i < instance_count; i++)
    {
      uint32_t zone = i % zone_count;
      load->instances[i] = (load_instance_t){
        .zone = zone,
        .group = { .total = instance_count,
                   .zone_count
                   = (instance_count - zone + zone_count - 1) / zone_count,
                   .zone_rank = i / zone_count },
        .pool = gbd_pool_new (),
      };
      assert_non_null (load->instances[i].pool);
    }
}

/* Lists the servers at all instances. */
static inline void
load_list (load_t *load)
{
  for (uint32_t i = 0; i < load->instance_count; i++)
    {
      gbd_pool_t *pool = load->instances[i].pool;
      for (uint32_t s = 0; s < load->server_count; s++)
        {
          gbd_pool_entry_t entry = {
            .backend = { .id = s + 1,
                         .address = { .family = 4, .port = (uint16_t)s },
                         .zone = load->servers[s].zone + 1,
                         .state = GBD_BACKEND_READY },
            .service = 1,
            .slots = load->servers[s].slots,
            .start_time_ms = 1,
          };
          assert_int_equal (gbd_pool_put (pool, &entry, START), GBD_OK);
        }
      gbd_pool_tick (pool, START);
    }
}

static inline void
load_delete (load_t *load)
{
  for (uint32_t i = 0; i < load->instance_count; i++)
    gbd_pool_delete (load->instances[i].pool);
}

/* Ends requests; an instance learns of a response by its acknowledgment. */
static inline void
load_complete (load_t *load)
{
  uint32_t remaining = 0;
  for (uint32_t i = 0; i < load->running_count; i++)
    {
      load_request_t *request = &load->running[i];
      if (!request->has_ended && request->end <= load->now)
        {
          request->has_ended = true;
          if (request->is_accepted)
            load->servers[request->server].pending--;
        }
      gbd_time_t seen_at = request->is_lost
                               ? request->sent_at + RETRANSMISSION_DELAY
                               : request->end + ACKNOWLEDGMENT_DELAY;
      if (seen_at > load->now)
        {
          load->running[remaining++] = *request;
          continue;
        }
      gbd_pool_load_t *seen
          = &gbd_pool_get (load->instances[request->instance].pool,
                           (gbd_pool_handle_t)request->server)
                 ->load;
      seen->waiting--;
      if (request->is_lost)
        {
          gbd_suspicion_record_failure (&seen->suspicion, request->sent_at,
                                        load->now);
          continue;
        }
      gbd_suspicion_record_response (&seen->suspicion, seen_at);
      gbd_response_time_add (&seen->response_time, seen_at - request->sent_at,
                             seen_at);
    }
  load->running_count = remaining;
}

/* Stops failing servers and starts them again; a server loses the requests
   that it has. */
static inline void
load_toggle_servers (load_t *load)
{
  for (uint32_t s = 0; s < load->server_count; s++)
    {
      load_server_t *server = &load->servers[s];
      if (!server->is_failing || load->now - server->toggled_at < DOWN_TIME)
        continue;
      server->toggled_at = load->now;
      server->is_down = !server->is_down;
      server->pending = 0;
      memset (server->free_at, 0, sizeof server->free_at);
      for (uint32_t i = 0; i < load->running_count; i++)
        {
          load_request_t *request = &load->running[i];
          if (request->server != s || request->has_ended)
            continue;
          request->has_ended = true;
          if (!request->is_accepted)
            continue;
          request->is_lost = true;
          load->failed_commands += request->is_command;
        }
    }
}

/* Sends a request to a server; returns false if its queue is full. */
static inline bool
load_send (load_t *load, uint32_t instance, uint32_t index, bool is_command)
{
  load_server_t *server = &load->servers[index];
  gbd_pool_load_t *seen = &gbd_pool_get (load->instances[instance].pool,
                                         (gbd_pool_handle_t)index)
                               ->load;
  load_request_t request = { .sent_at = load->now,
                             .end = load->now,
                             .instance = instance,
                             .server = index,
                             .is_command = is_command };
  /* The opening packet gets no response, so nothing has run. */
  request.is_lost = server->is_down;
  request.is_accepted
      = !server->is_down && server->pending < server->slots + QUEUE;
  if (request.is_accepted)
    {
      gbd_time_t *first = &server->free_at[0];
      for (uint32_t i = 1; i < server->slots; i++)
        {
          if (server->free_at[i] < *first)
            first = &server->free_at[i];
        }
      gbd_time_t begin = *first > load->now ? *first : load->now;
      *first = begin + load_draw_service_time (load, server);
      request.end = *first;
      server->pending++;
      server->accepted++;
    }
  seen->waiting++;
  gbd_suspicion_record_placement (&seen->suspicion, load->now);
  gbd_recent_flows_add (&seen->recent_flows, load->now);
  assert_true (load->running_count < RUNNING_MAX);
  load->running[load->running_count++] = request;
  return request.is_accepted || request.is_lost;
}

/* Advances to the next request and places it.  A refused request is not
   repeated, so the demand stays as set. */
static inline void
load_step (load_t *load)
{
  double total = 0;
  for (uint32_t i = 0; i < load->zone_count; i++)
    total += load->rates_per_s[i];
  load->now
      += (gbd_time_t)(load_random_exponential (load, 1 / total) * GBD_SECOND);
  load_complete (load);
  load_toggle_servers (load);
  double point = load_random (load) * total;
  uint32_t zone = 0;
  while (zone + 1 < load->zone_count && point >= load->rates_per_s[zone])
    point -= load->rates_per_s[zone++];
  uint32_t instances = load->instances[zone].group.zone_count;
  uint32_t index
      = zone + load->zone_count * (uint32_t)(load_random (load) * instances);
  load_instance_t *instance = &load->instances[index];
  bool is_command = load_random (load) < load->command_share;
  load->commands += is_command;
  gbd_placement_t placement
      = { .service = 1,
          .zone = zone + 1,
          .hash = gbd_rendezvous_weight (load->attempts + 1, 7),
          .avoid = GBD_POOL_NONE,
          .group = instance->group,
          .is_idempotent = !is_command,
          .has_both_kinds = load->spares_commands,
          .was_room_short
          = load->has_windows || load->now < instance->short_until };
  gbd_pool_handle_t handle
      = gbd_placement_choose (instance->pool, &placement, load->now);
  assert_int_not_equal (handle, GBD_POOL_NONE);
  bool is_accepted = load_send (load, index, handle, is_command);
  if (load->now - instance->second_began_at > GBD_SECOND)
    {
      instance->second_began_at = load->now;
      instance->refused_count = 0;
    }
  instance->refused_count += !is_accepted;
  if (load->detects_shortage && instance->refused_count >= 2)
    instance->short_until
        = load->now + GBD_ROOM_HOLD_TIME + GBD_ROOM_SPREAD_TIME;
  load->attempts++;
  load->refused += !is_accepted;
  load->zone_attempts[zone]++;
  load->zone_refused[zone] += !is_accepted;
  load->sent[zone][load->servers[handle].zone]++;
}

static inline void
load_run (load_t *load, gbd_time_t duration)
{
  gbd_time_t end = load->now + duration;
  while (load->now < end)
    load_step (load);
}

#endif
