/** @file coordinator.h
 *  Computes the next version of a service's table.  The instance that
 *  coordinates its group writes it to the platform; the platform's
 *  compare-and-swap prevents two coordinators from both extending one
 *  version.
 */
#ifndef GOOSEBERRYDRUM_COORDINATOR_H
#define GOOSEBERRYDRUM_COORDINATOR_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/table.h"

GBD_BEGIN_DECLS

/** Progress of one member of the roster, as known to the coordinator.
 *
 *  A member counts as failed no earlier than one failure time-out after the
 *  coordinator installed the current version, because a member that can
 *  reach only the platform may hold a lease on the previous version for the
 *  lease time-out.
 *
 *  The registrations of a replica in the next roster are complete when they
 *  were copied from a current replica after every member that has not failed
 *  had confirmed JOINING.  In a version with SETTLING buckets, the exceptions
 *  are complete when every member of the roster, failed or not, has sent its
 *  flows that are not on the target of their bucket.  Each member must send
 *  them while its flow cache has not evicted an open flow for the idle
 *  limit. */
typedef struct
{
  gbd_instance_id_t id;
  bool is_failed;    /**< the failure detector considers the member failed */
  uint64_t version;  /**< newest version that it has confirmed */
  uint64_t complete; /**< version for which its registrations and exceptions
                          are complete */
} gbd_confirmation_t;

/** Time for which buckets stay ANNOUNCED.  A caller retransmits its opening
 *  packet after one and after three seconds (RFC 6298).  The first packet may
 *  have reached the old server without a registration, so its retransmissions
 *  must be registered for the old server during this time. */
#define GBD_ANNOUNCE_TIME (3200 * GBD_MILLISECOND)

/** Input of a step.  The outcome depends only on this input and the current
 *  table. */
typedef struct
{
  gbd_service_id_t service; /**< used for a first table */
  /** Desired roster: listed or reachable instances that are not leaving. */
  const gbd_member_t *members;
  uint8_t member_count;
  const gbd_confirmation_t *confirmations; /**< of all members of the
                                                current, next and desired
                                                rosters */
  uint8_t confirmation_count;
  const gbd_backend_t *backends; /**< desired backend servers with states */
  uint32_t backend_count;
  const uint16_t *weights; /**< one per desired backend server */
  uint32_t bucket_count;   /**< used for a first table */
  uint32_t move_max;       /**< maximum number of buckets to move for balance
                                in a step */
  /** Whether the flow caches of the group hold every open flow, because no
   *  open flow was lost from them for as long as the service's idle limit. */
  bool is_loss_free;
  /** One per bucket of the current table: whether its GBD_ANNOUNCE_TIME is
   *  over.  NULL if it is over for all buckets. */
  const uint8_t *is_announcement_over;
  uint64_t generation; /**< current accepted configuration */
} gbd_coordinator_input_t;

/** Outcome of a step: a next version, or the reason why there is none.  The
 *  `status` command prints it. */
typedef enum
{
  GBD_STEP_READY,       /**< a next version was made */
  GBD_STEP_IDLE,        /**< the table has converged */
  GBD_STEP_UNCONFIRMED, /**< a member has not confirmed the current version */
  GBD_STEP_INCOMPLETE,  /**< a member is still copying registrations or
                             exceptions */
  GBD_STEP_FLOWS_LOST,  /**< moving buckets wait until no open flow has been
                             lost for as long as the service's idle limit */
  GBD_STEP_NO_MAJORITY, /**< half of the roster or more has failed and the
                             platform still lists some of these members */
  GBD_STEP_NO_MEMBER,   /**< the desired roster is empty */
  GBD_STEP_NO_MEMORY,   /**< memory is short; try again later */
  GBD_STEP_ANNOUNCED    /**< the GBD_ANNOUNCE_TIME of some buckets is not
                             over */
} gbd_step_t;
#define GBD_STEP_COUNT 9
extern const char *const gbd_step_strings[GBD_STEP_COUNT];

/** Compute the next version.
 *
 *  There is no next version until every member of the current and the next
 *  roster has confirmed the current version or failed.  A strict majority of
 *  the roster must have confirmed it, unless no failed member is in the
 *  desired roster.  A step does the first of these that applies:
 *  1. It enters the desired backend servers into the table.  It replaces
 *     targets that accept no new flows (ANNOUNCED stays ANNOUNCED, ACTIVE and
 *     SETTLING become ACTIVE, INVERTED becomes STABLE and moves in the next
 *     version), announces moves away from such backend servers, and makes
 *     ANNOUNCED buckets ACTIVE.  New flows open on a new slot only in the
 *     version after the one that adds it.
 *  2. It changes the roster (JOINING, SWITCHED once the next replicas are
 *     complete, SETTLED), never in the same version as a bucket step.  Failed
 *     members are removed from the roster.  SETTLING buckets first revert to
 *     ACTIVE, because their flows must be sent again to the new roster.
 *  3. It makes ACTIVE buckets SETTLING when no open flow was lost for the
 *     idle limit, SETTLING buckets INVERTED when no member of the roster has
 *     failed and all members are complete, and INVERTED buckets STABLE.
 *     Buckets without a backend server for unregistered flows do not wait for
 *     the idle limit.
 *  4. It announces moves of STABLE buckets for balance while no bucket is
 *     SETTLING or INVERTED; a move_max of 0 disables these moves.
 *
 *  A slot is reused once its backend server is GONE in the current version, no
 *  bucket refers to the slot and all buckets are STABLE.
 *
 *  @param table current version, or NULL to make the first version
 *  @param next  set to a new table on GBD_STEP_READY, else to NULL */
gbd_step_t gbd_coordinator_step (const gbd_table_t *table,
                                 const gbd_coordinator_input_t *input,
                                 gbd_table_t **next);

GBD_END_DECLS
#endif
