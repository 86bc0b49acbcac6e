/** @file coordinator.h
 *  The next version of a service's table, decided by whichever instance
 *  coordinates its group; the platform's conditional update keeps two such
 *  instances from both extending one version.
 */
#ifndef GOOSEBERRYDRUM_COORDINATOR_H
#define GOOSEBERRYDRUM_COORDINATOR_H

#include "gooseberrydrum/table.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** What a coordinator knows of one member of the roster. */
  typedef struct
  {
    gbd_instance_id_t id;
    bool is_silent;    /**< silent to all for the silence time-out */
    uint64_t version;  /**< confirmed version of this table */
    uint64_t complete; /**< version for which its copies are complete */
  } gbd_confirmation_t;

  /** Everything that a step depends on; no hidden inputs. */
  typedef struct
  {
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
    GBD_STEP_NO_MEMBER    /**< nobody to serve */
  } gbd_step_t;
#define GBD_STEP_COUNT 7
  extern const char *const gbd_step_strings[GBD_STEP_COUNT];

  /** Decide the next version.
   *
   *  No step is made until every member of roster and next confirmed the
   *  present version or is silent.  In order of urgency a step
   *  1. replaces targets of buckets that have not been opened under them or
   * may still change (ANNOUNCED, ACTIVE, SETTLING) and announces moves away
   *     from backend servers that left or drain;
   *  2. takes ANNOUNCED buckets to ACTIVE;
   *  3. changes the roster (JOINING, SWITCHED once next keepers are complete,
   *     SETTLED), never together with a bucket step; silent members leave it;
   *  4. takes ACTIVE buckets to SETTLING when covered, SETTLING to INVERTED
   * when every member is complete, INVERTED to STABLE;
   *  5. announces moves for balance, while no bucket moves otherwise.
   *  Slots of gone backend servers are reused once no bucket names them and no
   *  flow can (all buckets STABLE and a version has passed).
   *
   *  @param table present version, or NULL to make the first one
   *  @param next  set to a new table on GBD_STEP_READY, else to NULL */
  gbd_step_t gbd_coordinator_step (const gbd_table_t *table,
                                   const gbd_coordinator_input_t *input,
                                   gbd_table_t **next);

#ifdef __cplusplus
}
#endif
#endif
