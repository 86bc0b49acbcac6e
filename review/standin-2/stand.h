/* Stand-ins for the platform's store, routers, endpoints and clients, and the
   start of balancers as separate processes.  All addresses are loopback
   addresses.  Used by the cases 6 to 10. */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define STAND_INSTANCES_MAX 8
#define STAND_NAME 64

typedef struct instance instance_t;
typedef struct endpoint endpoint_t;
typedef struct flow flow_t;

/* How the store treats the calls of one machine. */
typedef enum
{
  STORE_SERVES,
  STORE_BUSY, /* 503 */
  STORE_SILENT
} store_mode_t;

struct instance
{
  int index;
  char name[STAND_NAME];
  char zone[STAND_NAME];
  char ip[STAND_NAME];       /* of the machine */
  char store_ip[STAND_NAME]; /* address at which this machine sees the store */
  pid_t pid;                 /* 0: not running */
  bool in_rotation;
  int misses;
};

/* A row of an endpoint's log. */
typedef struct
{
  int64_t at_ms;
  bool is_opening; /* else a request that has begun to run */
  uint64_t id;     /* of the request; 0 for an opening packet */
  uint32_t client_port;
  char via[STAND_NAME]; /* machine that sent the packet */
} receipt_t;

struct endpoint
{
  char name[STAND_NAME];
  uint64_t id;
  char service[STAND_NAME];
  char zone[STAND_NAME];
  char ip[STAND_NAME];
  int port;
  int64_t born_ms;
  int64_t started_ms; /* latest start */
  volatile int work_ms;
  int warm_up_left_ms;
  volatile bool is_draining;
  volatile bool is_stopping;
  volatile bool is_running;
  void *state;
  receipt_t *receipts; /* guarded by stand_lock () */
  size_t receipt_count;
  size_t receipt_capacity;
  int resets_sent;
};

typedef enum
{
  FLOW_OPENING,
  FLOW_OPEN,
  FLOW_CLOSED
} flow_phase_t;

typedef enum
{
  END_NONE,
  END_SYSTEM_RESET,   /* reset of the balancer's own */
  END_ENDPOINT_RESET, /* reset sent by the endpoint */
  END_TIMEOUT,        /* never opened */
  END_DEADLINE,       /* no response within the time budget */
  END_DONE
} flow_end_t;

/* A client's flow.  Fields are guarded by stand_lock (). */
struct flow
{
  uint16_t port;
  char dst[STAND_NAME];
  uint16_t dport;
  flow_phase_t phase;
  flow_end_t end;
  int64_t started_ms;
  int64_t opened_ms;
  int64_t ended_ms;
  int64_t request_ms; /* latest request; 0: none is waiting */
  uint64_t request_id;
  int responses;  /* complete ones */
  int wrong;      /* responses that are not those of the request */
  bool is_single; /* closes after the first response */
  int deadline_ms;
  /* transport */
  uint32_t isn, snd_next, snd_una, rcv_next, echo, last_ack;
  int copies;
  int64_t retry_at;
  int retry_ms;
  uint8_t data[1200];
  size_t data_length;
  uint8_t answer[4096];
  size_t answer_length;
  int unacked_packets;
};

void stand_init (const char *directory); /* where record.txt is written */
void stand_lock (void);
void stand_unlock (void);
int64_t stand_now (void); /* ms since stand_init () */
int64_t stand_unix_ms (void);
void stand_sleep_until (int64_t ms);
void stand_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* Ends all processes, removes the temporary folder and exits. */
void stand_finish (int status) __attribute__ ((noreturn));
/* Exits with status 2 after ending all processes. */
void stand_give_up (const char *cause) __attribute__ ((noreturn));
bool stand_has_trouble (void); /* TROUBLE is not 0 */
const char *stand_store_ip (int index);

/* Store.  Calls return the time of the acknowledgment. */
void store_start (int instance_count);
int64_t store_put (const char *kind, const char *name, const char *spec);
int64_t store_delete (const char *kind, const char *name);
uint64_t store_revision (void);
void store_set_mode (int instance, store_mode_t mode);
int store_calls (int instance);

/* Balancers. */
void instances_prepare (int count, int relay_count);
/* The settings of a deployment with bounds for evacuations and cold endpoints;
   before the first start. */
void instances_set_zone_bounds (void);
instance_t *instance_get (int index);
void instance_start (int index);
void instance_signal (int index, int signal);
bool instance_is_ready (int index);
void instances_wait_ready (int count, int timeout_ms);
/* Whether a machine has ended by itself since its start. */
bool instance_has_ended (int index);
/* Copies lines of an instance's log that contain a text to the record. */
void instance_record_log (int index, const char *text, int lines_max);
/* Starts the routers' health probes. */
void router_start (int count);

endpoint_t *endpoint_start (const char *name, const char *service,
                            const char *zone, const char *ip, int work_ms);
void endpoint_write_entry (endpoint_t *endpoint); /* returns after the ack */
int64_t endpoint_drain (endpoint_t *endpoint);    /* returns the ack */
void endpoint_stop (endpoint_t *endpoint, bool removes_entry);
/* Starts again under its id; its entry stays as it is. */
void endpoint_restart (endpoint_t *endpoint);
const char *endpoint_spec (const endpoint_t *endpoint, char *text,
                           size_t size);

void clients_start (void);
/* Opens a flow to an address of the platform; sends a request when it is
   open if is_single. */
flow_t *flow_open (const char *dst, uint16_t dport, bool is_single,
                   int deadline_ms);
/* Sends all packets of a flow through one instance; -1: by hash. */
void clients_use (int instance);
bool flow_request (flow_t *flow, int deadline_ms);
void flow_close (flow_t *flow);
const char *flow_end_text (flow_end_t end);
size_t flows_count (void);
flow_t *flows_get (size_t index);

#endif
