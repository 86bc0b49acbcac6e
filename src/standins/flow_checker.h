/** @file flow_checker.h
 *  Checks what the callers' stand-in receives: counts broken flows,
 *  responses of the wrong service and responses to another request.
 */
#ifndef STANDINS_FLOW_CHECKER_H
#define STANDINS_FLOW_CHECKER_H

#include <jansson.h>

#include "standins/exchange.h"

#define FLOW_CHECKER_NO_ENDPOINT UINT16_MAX
#define FLOW_CHECKER_REQUEST_MAX 1400 /**< bytes of the longest request */

/** State of one flow that is checked. */
typedef struct
{
  uint16_t service; /**< number from flow_checker_add_service() */
  /** Endpoint that sent the first response to a request;
   *  FLOW_CHECKER_NO_ENDPOINT before that response. */
  uint16_t endpoint;
  bool is_open;   /**< its opening packet was acknowledged */
  bool is_broken; /**< it was counted as broken; a flow is counted once */
  uint32_t server_initial_sequence;
  uint32_t number; /**< number of the flow; part of each request */
  uint64_t hash;   /**< hash of the flow from gbd_flow_hash() without a key */
  uint32_t request_id; /**< id of the newest request sent */
  uint32_t request_length;
} checked_flow_t;

typedef struct flow_checker flow_checker_t;

flow_checker_t *flow_checker_new (void);
void flow_checker_delete (flow_checker_t *checker);

/** Add a service.  A service with several addresses is added once for each
 *  of them and gets the same number.
 *  @param endpoints number of endpoints that are ready for the entire run; 0
 *                   to use the number of endpoints that respond
 *  @return the number of the service. */
uint16_t flow_checker_add_service (flow_checker_t *checker, const char *name,
                                   uint32_t endpoints);

/** Exclude an endpoint that is not ready for the entire run from the
 *  imbalance of flows over the endpoints. */
void flow_checker_exclude_endpoint (flow_checker_t *checker, const char *uid);

/** Count a packet that was sent. */
void flow_checker_count_packet (flow_checker_t *checker);

/** Record that a backend server acknowledged an opening packet.
 *  @param server_initial_sequence sequence number of its SYN-ACK */
void flow_checker_record_open (flow_checker_t *checker, checked_flow_t *flow,
                               uint32_t server_initial_sequence);

/** Check a response to a request.
 *  @param sequence sequence number of its TCP segment
 *  @return whether it is the correct response to the newest request. */
bool flow_checker_check_response (flow_checker_t *checker,
                                  checked_flow_t *flow, uint32_t sequence,
                                  const uint8_t *bytes, size_t length);

/** Record a reset: a flow that is not open yet counts as refused, an open
 *  flow as broken. */
void flow_checker_record_reset (flow_checker_t *checker, checked_flow_t *flow);

/** Record that a packet of a flow got a response.
 *  @param wait time from the first transmission of the packet to the
 *              response */
void flow_checker_record_wait (flow_checker_t *checker,
                               const checked_flow_t *flow, gbd_time_t wait);

/** Record that a packet got no response to its last transmission. */
void flow_checker_record_timeout (flow_checker_t *checker,
                                  checked_flow_t *flow);

/** Whether the run passes: no flow broke, no response was wrong, and every
 *  flow was opened or refused. */
bool flow_checker_has_passed (const flow_checker_t *checker);

/** Number of flows whose opening packet got no response. */
uint64_t flow_checker_get_unopened (const flow_checker_t *checker);

/** Get the results as a JSON object.  "broken_at" counts the broken flows by
 *  the endpoint that opened them; "longest_wait_ms" is the longest time from
 *  the first transmission of a packet to its response.
 *  @param flows   number of flows that the run was to open
 *  @param seconds duration of the run
 *  @return a new reference. */
json_t *flow_checker_report (const flow_checker_t *checker, uint32_t flows,
                             double seconds);

#endif
