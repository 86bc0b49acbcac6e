/* State of the failure detector.  */
#ifndef GBD_MEMBERSHIP_PRIVATE_H
#define GBD_MEMBERSHIP_PRIVATE_H

#include "gooseberrydrum/membership.h"

/* Sent heartbeats whose acknowledgment is still understood.  */
#define GBD_SENT_MAX 256

/* Since when a peer's word can be relied on, in this instance's clock.  */
typedef struct
{
  gbd_time_t acked_at;    /* newest heartbeat of ours that it acknowledged */
  gbd_time_t platform_at; /* the platform confirmed its tables not before */
} gbd_trust_t;

/* Progress of a peer with one service, and its trust before it took the
   present version.  */
typedef struct
{
  gbd_progress_t progress;
  uint64_t former_version;
  gbd_trust_t former_trust;
} gbd_peer_progress_t;

/* A peer's word that it heard a third instance.  */
typedef struct
{
  gbd_instance_id_t id;
  gbd_time_t heard_at;
} gbd_word_t;

typedef struct
{
  gbd_instance_id_t id;
  gbd_zone_id_t zone;
  char name[GBD_NAME_MAX + 1];
  uint64_t sequence;   /* newest heartbeat received */
  gbd_time_t heard_at; /* when */
  bool is_leaving;
  bool is_watching;
  uint64_t generation;
  uint32_t covered_ms;
  gbd_trust_t trust;
  uint16_t word_count;
  gbd_word_t words[GBD_LIVES_MAX];
  uint32_t progress_count;
  gbd_peer_progress_t *progress; /* in order of service */
} gbd_peer_t;

struct gbd_membership
{
  gbd_membership_settings_t settings;
  gbd_time_t platform_at; /* asked, by this instance itself */
  uint64_t sequence;      /* newest heartbeat sent */
  gbd_time_t sent_at[GBD_SENT_MAX];
  gbd_time_t last_sent_at;
  gbd_time_t running_since; /* without a pause */
  uint32_t peer_count;
  gbd_peer_t peers[GBD_LIVES_MAX];
};

const gbd_peer_t *gbd_membership_find (const gbd_membership_t *membership,
                                       gbd_instance_id_t id);
bool gbd_membership_is_heard (const gbd_membership_t *membership,
                              const gbd_peer_t *peer, gbd_time_t now);

/* NULL if the peer has said nothing of the service.  */
const gbd_peer_progress_t *gbd_peer_find_progress (const gbd_peer_t *peer,
                                                   gbd_service_id_t service);

#endif
