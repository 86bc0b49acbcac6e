/** @file recent_flows.h
 *  Number of new flows that were sent to a backend server recently.
 *
 *  Load pattern: a backend server fails requests at once while its entry and
 *  its health check are good.  Its flows never wait, so a choice by pending
 *  flows alone sends it more flows than any other server.
 */
#ifndef GOOSEBERRYDRUM_RECENT_FLOWS_H
#define GOOSEBERRYDRUM_RECENT_FLOWS_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Time without new flows after which the number is 0; within it, the number
 *  falls linearly. */
#define GBD_RECENT_FLOWS_TIME GBD_SECOND

/** Zero-initialized: none. */
typedef struct
{
  double count; /**< when the last flow was added */
  gbd_time_t added_at;
} gbd_recent_flows_t;

void gbd_recent_flows_add (gbd_recent_flows_t *recent, gbd_time_t now);
double gbd_recent_flows_get (const gbd_recent_flows_t *recent, gbd_time_t now);

GBD_END_DECLS
#endif
