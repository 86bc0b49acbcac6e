/* State of the failure detector.  */
#ifndef LIBGOOSEBERRYDRUM_MEMBERSHIP_PRIVATE_H
#define LIBGOOSEBERRYDRUM_MEMBERSHIP_PRIVATE_H

#include "gooseberrydrum/membership.h"

/* Number of sent heartbeats whose sending times are kept; acknowledgements of
   older ones are ignored.  */
#define GBD_SENT_HEARTBEATS_MAX 256

/* Lease grant of a peer.  It is valid for the lease time-out after these
   times, which are read from this instance's clock.  */
typedef struct
{
  /* Time at which this instance sent the newest heartbeat that the peer has
     acknowledged.  */
  gbd_time_t acked_sent_at;
  /* Earliest time at which the platform can have confirmed the tables of the
     peer.  */
  gbd_time_t platform_confirmed_at;
} gbd_lease_grant_t;

/* Progress of a peer with one service, and the lease grant that it made before
   it reported its current version.  */
typedef struct
{
  gbd_progress_t progress;
  uint64_t previous_version;
  gbd_lease_grant_t previous_grant;
} gbd_peer_progress_t;

/* A peer's report that it received a heartbeat from a third instance.  */
typedef struct
{
  gbd_instance_id_t id;
  gbd_time_t last_received_at;
} gbd_reachability_report_t;

typedef struct
{
  gbd_instance_id_t id;
  gbd_zone_id_t zone;
  char name[GBD_NAME_MAX + 1];
  uint64_t sequence;           /* of the newest heartbeat received */
  gbd_time_t last_received_at; /* arrival of that heartbeat */
  bool is_leaving;
  bool is_watching;
  uint64_t generation;
  uint32_t loss_free_ms;
  gbd_lease_grant_t grant;
  uint16_t report_count;
  gbd_reachability_report_t reports[GBD_INCARNATIONS_MAX];
  uint32_t progress_count;
  gbd_peer_progress_t *progress; /* sorted by service */
} gbd_peer_t;

struct gbd_membership
{
  gbd_membership_settings_t settings;
  /* Time at which this instance requested its own newest confirmation by the
     platform.  */
  gbd_time_t platform_confirmed_at;
  uint64_t sequence; /* of the newest heartbeat sent */
  gbd_time_t sent_at[GBD_SENT_HEARTBEATS_MAX];
  gbd_time_t last_sent_at;
  gbd_time_t running_since; /* end of the last pause of this process */
  uint32_t peer_count;
  gbd_peer_t peers[GBD_INCARNATIONS_MAX];
};

const gbd_peer_t *gbd_membership_find (const gbd_membership_t *membership,
                                       gbd_instance_id_t id);
bool gbd_membership_is_reachable (const gbd_membership_t *membership,
                                  const gbd_peer_t *peer, gbd_time_t now);

/* Find the progress of a peer with a service.  Returns NULL if the peer has
   reported none. */
const gbd_peer_progress_t *gbd_peer_find_progress (const gbd_peer_t *peer,
                                                   gbd_service_id_t service);

#endif
