/** @file coordinator.h
 *  The next version of a service's table, decided by whichever instance
 *  coordinates its group; the platform's conditional update keeps two such
 *  instances from both extending one version.
 */
#ifndef GOOSEBERRYDRUM_COORDINATOR_H
#define GOOSEBERRYDRUM_COORDINATOR_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/table.h"

GBD_BEGIN_DECLS

/** What a coordinator knows of one member of the roster.
 *
 *  Silence counts from the time at which the coordinator first held the
 *  present version at the earliest: a member that only the platform reaches
 *  may trust the version before it for the touch time-out.
 *
 *  A copy for a next keeper is complete when it was taken from a present
 *  keeper after every member that is not silent had confirmed JOINING.  In a
 *  version with SETTLING buckets, copies are complete when the flows that
 *  are not on their targets came from every member of the roster, silent or
 *  not, each told while the teller's own flow cache was covered. */
typedef struct
{
  gbd_instance_id_t id;
  bool is_silent;    /**< silent to all for the silence time-out */
  uint64_t version;  /**< confirmed version of this table */
  uint64_t complete; /**< version for which its copies are complete */
} gbd_confirmation_t;

/** How long buckets stay ANNOUNCED.  A caller repeats its opening packet
 * after one and after three seconds (RFC 6298); until then it must be
 * registered for the server that the first one may have reached
 * unregistered. */
#define GBD_ANNOUNCE_TIME (3200 * GBD_MILLISECOND)

/** Everything that a step depends on; no hidden inputs. */
typedef struct
{
  gbd_service_id_t service;    /**< of a first table */
  const gbd_member_t *members; /**< wanted roster: live, not leaving */
  uint8_t member_count;
  const gbd_confirmation_t *confirmations; /**< of all roster and next
                                                members, and wanted ones */
  uint8_t confirmation_count;
  const gbd_backend_t *backends; /**< wanted backend servers with states */
  uint32_t backend_count;
  const uint16_t *weights; /**< one a wanted backend server */
  uint32_t bucket_count;   /**< of a first table */
  uint32_t move_max;       /**< buckets to move for balance in a step */
  bool is_covered;         /**< no flow knowledge lost in the group for
                                the service's idle limit */
  const uint8_t *is_ripe;  /**< one a bucket of the present table: whether an
                                ANNOUNCED one may go on; NULL if all may */
  uint64_t generation;
} gbd_coordinator_input_t;

/** Why there is no next version now; `status` prints it. */
typedef enum
{
  GBD_STEP_READY,       /**< a next version was made */
  GBD_STEP_IDLE,        /**< the table is as wanted */
  GBD_STEP_UNCONFIRMED, /**< a member has not confirmed the present one */
  GBD_STEP_INCOMPLETE,  /**< a member is still copying */
  GBD_STEP_UNCOVERED,   /**< moving buckets wait for the idle limit */
  GBD_STEP_NO_MAJORITY, /**< most of the roster is silent and the platform
                             still lists it */
  GBD_STEP_NO_MEMBER,   /**< nobody to serve */
  GBD_STEP_NO_MEMORY,   /**< try again later */
  GBD_STEP_ANNOUNCED    /**< buckets have not been announced long enough */
} gbd_step_t;
#define GBD_STEP_COUNT 9
extern const char *const gbd_step_strings[GBD_STEP_COUNT];

/** Decide the next version.
 *
 *  No step is made until every member of roster and next confirmed the
 *  present version or is silent.  A strict majority of the roster must have
 *  confirmed it, unless no silent member is wanted any more.  In order of
 *  urgency a step
 *  1. takes over the wanted backend servers, replaces targets that take no
 *     new flows (ANNOUNCED stays so, ACTIVE and SETTLING become ACTIVE,
 *     INVERTED becomes STABLE and moves in the next version), announces
 *     moves away from such backend servers, and takes ANNOUNCED buckets to
 *     ACTIVE.  New flows open on a new slot from the next version on;
 *  2. changes the roster (JOINING, SWITCHED once next keepers are complete,
 *     SETTLED), never together with a bucket step; silent members leave it.
 *     SETTLING buckets first go back to ACTIVE, as flows must then be told
 *     anew;
 *  3. takes ACTIVE buckets to SETTLING when covered, SETTLING to INVERTED
 *     when every member of the roster is heard and complete, INVERTED to
 *     STABLE.  Buckets whose unregistered flows have no backend server any
 *     more need no coverage;
 *  4. announces moves of STABLE buckets for balance while no bucket is
 *     SETTLING or INVERTED; a move_max of 0 holds them.
 *  The slot of a gone backend server is used again once the present version
 *  calls it gone, no bucket names it and all buckets are STABLE.
 *
 *  @param table present version, or NULL to make the first one
 *  @param next  set to a new table on GBD_STEP_READY, else to NULL */
gbd_step_t gbd_coordinator_step (const gbd_table_t *table,
                                 const gbd_coordinator_input_t *input,
                                 gbd_table_t **next);

GBD_END_DECLS
#endif
