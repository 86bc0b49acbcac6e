/** @file callers.h
 *  Flows of the callers' stand-in.  Each flow opens, sends its requests,
 *  retransmits packets that get no response, and closes.  The module has no
 *  sockets and no clock; the program that uses it passes packets and the
 *  time in.
 */
#ifndef STANDINS_CALLERS_H
#define STANDINS_CALLERS_H

#include "standins/flow_checker.h"

#define CALLERS_FLOWS_MAX 10000000u
#define CALLERS_SERVICES_MAX 64

typedef struct
{
  gbd_address_t address;
  double share;             /**< weight among the shares of all services */
  uint16_t checker_service; /**< number from flow_checker_add_service() */
} callers_service_t;

typedef struct
{
  uint32_t flows;
  double rate;             /**< new flows per second */
  uint32_t requests;       /**< number of requests per flow */
  uint32_t request_length; /**< in bytes */
  gbd_time_t lifetime;     /**< lifetime of a short flow */
  double long_share;       /**< share of flows that stay open to the end of
                                the run */
  uint32_t seed;
  uint32_t service_count;
  callers_service_t services[CALLERS_SERVICES_MAX];
  /** Sends a packet to the fabric. */
  void (*send) (void *data, const uint8_t *bytes, size_t length);
  void *data; /**< passed to send */
} callers_settings_t;

typedef struct callers callers_t;

callers_t *callers_new (const callers_settings_t *settings,
                        flow_checker_t *checker, gbd_time_t now);
void callers_delete (callers_t *callers);

/** Handle a packet from a backend server or from an instance. */
void callers_receive (callers_t *callers, const uint8_t *bytes, size_t length,
                      gbd_time_t now);

/** Send the packets that are due.  Call it every few milliseconds. */
void callers_tick (callers_t *callers, gbd_time_t now);

/** Whether every flow has ended. */
bool callers_is_done (const callers_t *callers);

#endif
