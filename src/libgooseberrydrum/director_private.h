/* State of a director, shared by its source files. */
#ifndef LIBGOOSEBERRYDRUM_DIRECTOR_PRIVATE_H
#define LIBGOOSEBERRYDRUM_DIRECTOR_PRIVATE_H

#include "gooseberrydrum/director.h"

struct gbd_director
{
  gbd_director_settings_t settings;
  gbd_pool_t *pool;
  gbd_room_t *room;
  gbd_admission_control_t *admission;
  gbd_flow_tracker_t *tracker;
  gbd_routes_t *routes; /* NULL until routes are installed */
  gbd_group_view_t group;
  gbd_evacuations_t evacuations;
  bool detects_pauses;
  gbd_time_t ticked_at;
  gbd_time_t stale_until; /* packets may have waited in the socket */
  gbd_time_t hold_end;    /* opening packets are dropped before this time */
  uint64_t evacuation_resets;
  gbd_warm_up_group_t warm_up_group;
  gbd_time_t
      cold_sent_at; /* first decision for a cold server whose packet may
                       not have left the process; GBD_TIME_NEVER: none */
  uint64_t cold_packets;
  uint64_t cold_resets;
  uint64_t cold_drops;
  uint64_t key;
  bool has_key;
  uint64_t rules[GBD_DIRECTOR_RULE_COUNT];
};

/* Decide on an opening packet.  The director must be ready. */
void gbd_director_route_opening (const gbd_director_t *director,
                                 const gbd_packet_t *packet, gbd_time_t now,
                                 gbd_director_decision_t *decision);
/* Record what a committed decision on an opening packet means for cold backend
   servers. */
void gbd_director_record_opening (gbd_director_t *director,
                                  const gbd_director_decision_t *decision,
                                  gbd_time_t now);

void gbd_director_decide_drop (gbd_director_decision_t *decision,
                               gbd_director_rule_t rule, gbd_drop_t cause);
void gbd_director_decide_reset (gbd_director_decision_t *decision,
                                gbd_director_rule_t rule);

#endif
