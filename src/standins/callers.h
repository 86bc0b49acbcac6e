/** @file callers.h
 *  The flows of the callers' stand-in: open, ask, repeat what is unanswered,
 *  close; without sockets and clock.
 */
#ifndef STANDINS_CALLERS_H
#define STANDINS_CALLERS_H

#include "standins/verdict.h"

#define CALLERS_FLOWS_MAX 10000000u
#define CALLERS_SERVICES_MAX 64

typedef struct
{
  gbd_address_t address;
  double share;       /**< of the flows, beside the other shares */
  uint16_t judged_as; /**< as verdict_add_service() numbered it */
} callers_service_t;

typedef struct
{
  uint32_t flows;
  double rate;             /**< new flows a second */
  uint32_t requests;       /**< of one flow */
  uint32_t request_length; /**< bytes */
  gbd_time_t life;         /**< of a short flow */
  double long_share;       /**< of flows that live to the end of the run */
  uint32_t seed;
  uint32_t service_count;
  callers_service_t services[CALLERS_SERVICES_MAX];
  /** Send a packet to the fabric. */
  void (*send) (void *data, const uint8_t *bytes, size_t length);
  void *data;
} callers_settings_t;

typedef struct callers callers_t;

callers_t *callers_new (const callers_settings_t *settings, verdict_t *verdict,
                        gbd_time_t now);
void callers_delete (callers_t *callers);

/** Take in a packet from a backend server or the fabric. */
void callers_receive (callers_t *callers, const uint8_t *bytes, size_t length,
                      gbd_time_t now);

/** Send what is due; call every few milliseconds. */
void callers_tick (callers_t *callers, gbd_time_t now);

/** Whether every flow has ended. */
bool callers_is_done (const callers_t *callers);

#endif
