/* Stand-ins of the review: the platform's store, its routers, endpoints and
   clients, in one process beside real instances of the project.  They do what
   PROTOCOL.md says; see world.c. */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define INSTANCES_MAX 9
#define ENDPOINTS_MAX 64
#define ROUTES_MAX 32

/* Milliseconds since the start of the process. */
double now_ms (void);
void sleep_until (double ms);
/* Writes a line to record.txt, with the time. */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* Store.  A specification is JSON text and is kept byte for byte. */
void store_start (void);
/* Returns the time of the acknowledgment. */
double store_put (const char *kind, const char *name, const char *spec,
                  size_t length);
void store_remove (const char *kind, const char *name);
/* Sets how far replicas are behind, which answer reads with stale_ok. */
void store_set_lag (double ms);
/* Lets them fall behind further, by a time for each unit of time. */
void store_grow_lag (double rate, double max_ms);
/* Partitions an instance from the store, silently, from its next long poll for
   `servers` on.  Returns when that begins. */
double store_cut (uint32_t instance, double length_ms);

/* Endpoints. */
typedef struct
{
  char name[32];
  uint64_t id;
  const char *service;
  const char *zone;
  uint32_t ip;
  bool is_running;
  bool is_draining;
  double draining_at;     /* when the store acknowledged it */
  uint32_t work_ms;       /* of each request; 0: 30 */
  uint64_t openings_late; /* opening packets after the bound on draining */
  double last_opening_at;
} endpoint_t;
extern endpoint_t endpoints[ENDPOINTS_MAX];
extern uint32_t endpoint_count;
endpoint_t *endpoint_start (const char *service, const char *zone);
void endpoint_write (endpoint_t *endpoint, const char *state);
void endpoint_stop (endpoint_t *endpoint);
/* The port of all endpoints. */
uint16_t endpoint_get_port (void);

/* Routes. */
typedef struct
{
  const char *name;
  const char *type; /* route_type */
  const char *service;
  uint16_t port;
  uint32_t timeout_ms;
} route_t;
void routes_write (const route_t *routes, uint32_t count, uint64_t version);

/* Instances of the project. */
void instances_start (uint32_t count, bool is_first_start);
void instance_kill (uint32_t index);
void instance_start (uint32_t index, bool is_first_start);
bool instances_wait_ready (double timeout_ms);
uint32_t instances_in_rotation (void);
/* Which of the three relays has the most connections of others. */
uint32_t relay_with_most_readers (void);
/* Ends all processes that were started. */
void instances_stop (void);

/* Clients. */
typedef struct
{
  uint64_t sent;
  uint64_t answered;
  uint64_t refused;        /* reset before the flow was open */
  uint64_t timed_out;      /* no flow, or no answer in time */
  uint64_t reset_open;     /* open flows reset by an instance */
  uint64_t reset_endpoint; /* open flows reset by an endpoint */
  uint64_t foreign;        /* answers that belong to another request */
  uint64_t run_twice;
  uint64_t reset_at_work; /* of reset_open: the endpoint was at work */
} results_t;
void world_start (void);
/* Sends requests at a rate, each on a flow of its own. */
void traffic_set (double per_second);
results_t results_get (void);
void results_clear (void);
/* Opens a flow that is kept open, and sends one request on it.
   Returns its port, which names it. */
uint16_t flow_open (const route_t *route);
/* The same, sent directly to one instance. */
uint16_t flow_open_at (const route_t *route, uint32_t instance);
/* Sends the next request on it. */
void flow_request (uint16_t port);
/* The endpoint of a flow, or NULL while it is not open. */
endpoint_t *flow_endpoint (uint16_t port);
/* The index of the instance that gets the packets of a flow. */
uint32_t flow_instance (uint16_t port);
typedef enum
{
  FLOW_OPENING,
  FLOW_WAITING,
  FLOW_IDLE,
  FLOW_RESET_BY_INSTANCE,
  FLOW_RESET_BY_ENDPOINT,
  FLOW_REFUSED, /* reset by an instance before it was open */
  FLOW_ENDED
} flow_state_t;
flow_state_t flow_state (uint16_t port);

#endif
