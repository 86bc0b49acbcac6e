/** @file sources.h
 *  Failover among several sources of the same data: the platform itself, and
 *  instances that watch the platform and relay changes.
 *
 *  Relays prevent all instances of a large fleet from reading a change from
 *  the platform at once, and supply instances that the platform rejects while
 *  it serves others.  Sources are in order of preference; a failed source is
 *  retried after an exponential backoff.
 *
 *  Three load patterns decide when a reader of relays may try the platform:
 *
 *  - Start.  The relays may have stopped together with their readers, and no
 *    packet is served before the list is read, so a reader begins at the
 *    platform.  At the first start of a group no packets arrive yet; it then
 *    begins at the relays and leaves out the platform until they have started.
 *  - Relays that return after their readers.  A reader that has the list waits
 *    GBD_SOURCES_RELAY_START_TIME for them before it uses the platform again.
 *  - Outage of the platform.  Relays that respond that they cannot reach the
 *    platform show that the reader need not look for itself.  Their readers
 *    then try the platform in turn, one for each GBD_SOURCES_PROBE_SPACING,
 *    in case it rejects only the relays.  If one of them succeeds, the relays
 *    see its newer version (gbd_newer_readers_t), and all their readers may
 *    follow.
 */
#ifndef GOOSEBERRYDRUM_SOURCES_H
#define GOOSEBERRYDRUM_SOURCES_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

#define GBD_SOURCES_MAX 4 /**< three relays and the platform */
/** Backoff after the first failure of a source.  A longer one is not needed:
 *  responses of the platform take milliseconds, and a restarted instance is
 *  available again within a second. */
#define GBD_SOURCES_INITIAL_BACKOFF GBD_SECOND
#define GBD_SOURCES_MAX_BACKOFF (2 * GBD_SECOND)
/** Time for which the platform is left out at the first start of a group: the
 *  processes of the relays may start some tenths of a second after others. */
#define GBD_SOURCES_FIRST_START_DELAY (2 * GBD_SECOND)
/** After the first list was read from the platform, time for which the relays
 *  are preferred although they do not respond.  The list is seconds old at
 *  most, and relays that were stopped together with their readers start soon;
 *  each reader would otherwise make several requests to the platform. */
#define GBD_SOURCES_RELAY_START_TIME GBD_SECOND
/** Mean time between two attempts at the platform by the readers of one relay
 *  while their relays cannot reach it. */
#define GBD_SOURCES_PROBE_SPACING (200 * GBD_MILLISECOND)
/** Time for which the response of a relay that it cannot reach the platform
 *  applies; longer than the time between two attempts at a relay. */
#define GBD_SOURCES_REJECTION_VALIDITY (3 * GBD_SECOND)

typedef struct
{
  gbd_time_t retry_at; /**< time of the next retry; 0 if it has not failed */
  gbd_time_t backoff;  /**< delay after the next failure */
} gbd_source_t;

typedef struct
{
  uint32_t count;
  uint32_t current;
  uint32_t platform;       /**< index of the platform */
  bool has_responded;      /**< a source has responded */
  bool is_paced;           /**< the relays cannot reach the platform either */
  gbd_time_t platform_due; /**< the platform is left out before this time */
  gbd_time_t probe_interval; /**< mean time between two attempts of this reader
                                  at the platform while is_paced */
  gbd_time_t rejected_at;    /**< last response of a relay that it cannot reach
                                  the platform */
  gbd_time_t platform_served_at; /**< last response of the platform; 0:
                                      none */
  uint64_t random;               /**< state of the random generator */
  gbd_source_t sources[GBD_SOURCES_MAX];
} gbd_sources_t;

/** Initialize the list and select the first source.
 *  @param platform index of the platform
 *  @param is_first_start as in gbd_start_may_ask_relays() */
void gbd_sources_init (gbd_sources_t *sources, uint32_t count,
                       uint32_t platform, bool is_first_start,
                       uint64_t random_seed, gbd_time_t now);

/** Record a response of the current source. */
void gbd_sources_record_success (gbd_sources_t *sources, gbd_time_t now);

/** Record the response of the current source, a relay, that it cannot reach
 *  the platform; call before gbd_sources_fail_over().
 *  @param reader_count number of readers of the relay
 *  @param has_newer_reader whether the relay knows a reader that has read from
 *  the platform since the relay lost it */
void gbd_sources_record_rejection (gbd_sources_t *sources,
                                   uint32_t reader_count,
                                   bool has_newer_reader, gbd_time_t now);

/** Record a failure of the current source and select the next one.
 *  @return false if no other source may be tried yet. */
bool gbd_sources_fail_over (gbd_sources_t *sources, gbd_time_t now);

/** Whether the platform is left out because the relays may be starting. */
bool gbd_sources_are_relays_starting (const gbd_sources_t *sources,
                                      gbd_time_t now);

/** Return to a more preferred source whose backoff is over; call when no
 *  request is in progress.
 *  @return whether the current source changed. */
bool gbd_sources_fail_back (gbd_sources_t *sources, gbd_time_t now);

/** Readers whose version is higher than that of their relay, which cannot
 *  reach the platform: they have read from the platform since, so it rejects
 *  the relay only.  They are reported to the other readers when their requests
 *  have lasted for GBD_NEWER_READERS_DELAY, in which a relay reaches the
 *  platform again after an outage; else all readers would follow the first one
 *  at the end of each outage. */
typedef struct
{
  gbd_time_t since; /**< first such request; 0: none */
  gbd_time_t seen_at;
} gbd_newer_readers_t;

#define GBD_NEWER_READERS_DELAY (2 * GBD_SECOND)
/** Time for which they are reported after their last request. */
#define GBD_NEWER_READERS_VALIDITY (3 * GBD_SECOND)

void gbd_newer_readers_record (gbd_newer_readers_t *readers, gbd_time_t now);
/** Call when the relay has reached the platform. */
void gbd_newer_readers_reset (gbd_newer_readers_t *readers);
bool gbd_newer_readers_are_reported (const gbd_newer_readers_t *readers,
                                     gbd_time_t now);

GBD_END_DECLS
#endif
