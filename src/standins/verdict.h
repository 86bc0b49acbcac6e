/** @file verdict.h
 *  What the callers' stand-in holds against the balancers: flows that broke,
 *  answers from the wrong service, answers to another request.
 */
#ifndef STANDINS_VERDICT_H
#define STANDINS_VERDICT_H

#include <jansson.h>

#include "standins/exchange.h"

#define VERDICT_NOBODY UINT16_MAX
#define VERDICT_REQUEST_MAX 1400 /**< bytes of the longest request */

/** What is remembered of one flow. */
typedef struct
{
  uint16_t service;      /**< as verdict_add_service() numbered it */
  uint16_t endpoint;     /**< who answered first; VERDICT_NOBODY before */
  bool is_open;          /**< its opening packet was answered */
  bool is_broken;        /**< counted once */
  uint32_t server_start; /**< sequence number of the opening's answer */
  uint32_t number;       /**< of the flow, part of its requests */
  uint64_t hash;         /**< gbd_flow_hash() without a key */
  uint32_t request_id;   /**< newest request sent */
  uint32_t request_length;
} verdict_flow_t;

typedef struct verdict verdict_t;

verdict_t *verdict_new (void);
void verdict_delete (verdict_t *verdict);

/** Number a service; one that has several addresses keeps its number.
 *  @param endpoints ready for the whole run, or 0 for those that answer */
uint16_t verdict_add_service (verdict_t *verdict, const char *name,
                              uint32_t endpoints);

/** Leave an endpoint that was not ready for the whole run out of the
 *  imbalance. */
void verdict_exclude (verdict_t *verdict, const char *uid);

void verdict_sent (verdict_t *verdict); /**< one packet was sent */

/** The opening packet of a flow was answered. */
void verdict_opened (verdict_t *verdict, verdict_flow_t *flow,
                     uint32_t server_start);

/** Judge an answer to a request.
 *  @param sequence of its TCP segment
 *  @return whether it answers the newest request. */
bool verdict_answered (verdict_t *verdict, verdict_flow_t *flow,
                       uint32_t sequence, const uint8_t *bytes, size_t length);

/** A reset reached the flow. */
void verdict_reset (verdict_t *verdict, verdict_flow_t *flow);

/** A packet of a flow was answered.
 *  @param wait from its first sending to the answer */
void verdict_waited (verdict_t *verdict, const verdict_flow_t *flow,
                     gbd_time_t wait);

/** The last try of a packet went unanswered. */
void verdict_gave_up (verdict_t *verdict, verdict_flow_t *flow);

/** Whether a run passes: nothing broken, nothing wrong, and every flow opened
 *  or refused. */
bool verdict_is_good (const verdict_t *verdict);

/** Flows whose opening packet was never answered. */
uint64_t verdict_get_unopened (const verdict_t *verdict);

/** The figures as one object; "broken_at" counts the broken flows by the
 *  endpoint that opened each of them, "longest_wait_ms" is the longest
 *  from the first sending of a packet to its answer.
 *  @param flows   that were to be opened
 *  @param seconds that the run took */
json_t *verdict_report (const verdict_t *verdict, uint32_t flows,
                        double seconds);

#endif
