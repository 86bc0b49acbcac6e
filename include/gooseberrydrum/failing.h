/** @file failing.h
 *  Whether a backend server fails many requests although it responds to
 *  others.
 *
 *  Load pattern: some servers of a service answer most requests at once with
 *  an error, or reset their flows, while their entries and health checks are
 *  good.  Their flows never wait, so a choice by load sends them more flows
 *  than any other server, and a caller's next attempt may reach another of
 *  them.
 *
 *  A failed request is one with a short response (room.h), or without a
 *  response and without a copy.  A server is failing if it fails several times
 *  as many requests as the median server of its service.  If all servers are
 *  full, or the responses of a route are short now and then, the median rises
 *  too, and none is failing.
 *
 *  Only failed requests are counted, not all of them, so the counts of several
 *  instances add up by their reports (reports.h): a server with few flows at
 *  each instance still shows.
 */
#ifndef GOOSEBERRYDRUM_FAILING_H
#define GOOSEBERRYDRUM_FAILING_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Time constant of the decay of the counts. */
#define GBD_FAILING_DECAY_TIME (5 * GBD_SECOND)
/** By how many requests the count of a failing server exceeds
 *  GBD_FAILING_MEDIAN_FACTOR times the median: a single failure is no
 *  evidence. */
#define GBD_FAILING_COUNT_MIN 1.8
#define GBD_FAILING_MEDIAN_FACTOR 3.0
/** Count below which a failing server gets flows again. */
#define GBD_FAILING_STAY_COUNT_MIN 0.5
/** Largest count.  It decays to GBD_FAILING_STAY_COUNT_MIN in 10 s, which is
 *  the longest time for which a server that has recovered is avoided. */
#define GBD_FAILING_COUNT_MAX 4.0

/** State of one server.  Zero-initialized: not failing. */
typedef struct
{
  double count; /**< failed requests, when they were last added */
  gbd_time_t added_at;
  bool is_failing;
  bool has_changed; /**< is_failing, since gbd_failing_take_change() */
} gbd_failing_t;

/** Add failed requests.
 *  @return whether other instances should know: false if the count was close
 *  to the largest one before. */
bool gbd_failing_add (gbd_failing_t *failing, uint32_t count, gbd_time_t now);

/** @return the number of failed requests as decayed until now. */
double gbd_failing_get_count (const gbd_failing_t *failing, gbd_time_t now);

/** Decide whether the server is failing.
 *  @param median of the counts of the servers of its service */
void gbd_failing_update (gbd_failing_t *failing, double median,
                         gbd_time_t now);

/** @return whether is_failing has changed since the last call. */
bool gbd_failing_take_change (gbd_failing_t *failing);

GBD_END_DECLS
#endif
