/** @file pool.h
 *  The backend servers that the platform lists, and those that have left it
 *  a short while ago.
 *
 *  Entries may lapse while the platform is away, although their backend
 *  servers live.  So what goes missing then counts as gone only once the
 *  platform has been back for GBD_POOL_REMOVAL_GRACE.
 */
#ifndef GOOSEBERRYDRUM_POOL_H
#define GOOSEBERRYDRUM_POOL_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/cookie.h"
#include "gooseberrydrum/suspicion.h"
#include "gooseberrydrum/table.h"

GBD_BEGIN_DECLS

/** After the platform's return, living backend servers have written their
 *  entries again within this time (the platform's contract). */
#define GBD_POOL_REMOVAL_GRACE (2 * GBD_SECOND)

/** How long packets of known flows still go to a backend server whose entry
 *  is gone: the longest a flow may last (the platform's bound). */
#define GBD_POOL_RETENTION_TIME (60 * GBD_SECOND)

/** What the platform says of one backend server. */
typedef struct
{
  gbd_backend_t backend; /**< id, address, zone, state */
  gbd_service_id_t service;
  uint32_t slots;     /**< requests it works on at a time, at least 1 */
  int64_t born_ms;    /**< time of day of its start; 0 if unknown */
  gbd_time_t warm_at; /**< until then it is slower; 0 if it never was */
  char name[GBD_NAME_MAX + 1];
} gbd_pool_entry_t;

/** What this instance has seen of it. */
typedef struct
{
  gbd_suspicion_t suspicion;
  uint32_t waiting;    /**< flows that wait for an answer */
  uint32_t open;       /**< flows open through this instance */
  uint64_t placed;     /**< new flows sent there */
  uint64_t unanswered; /**< of them, those whose opening was repeated */
} gbd_pool_load_t;

typedef struct
{
  gbd_pool_entry_t entry;
  gbd_pool_load_t load;
  gbd_fingerprint_t fingerprint;
  bool is_used;
  bool is_listed;
  gbd_time_t removed_at;  /**< when its entry went; GBD_TIME_NEVER while listed
                            or within the settling time */
  gbd_time_t removal_due; /**< a removal that waits; GBD_TIME_NEVER: none */
  gbd_time_t superseded_at; /**< since then a listed one that started later has
                                 its address, so it has ended; GBD_TIME_NEVER:
                                 none has */
} gbd_pool_server_t;

typedef struct gbd_pool gbd_pool_t;
typedef uint16_t gbd_pool_handle_t;
#define GBD_POOL_NONE ((gbd_pool_handle_t)0xffff)

gbd_pool_t *gbd_pool_new (void);
void gbd_pool_delete (gbd_pool_t *pool);

/** Insert or update an entry.  One that started again under its identifier
 *  loses what was seen of it; one whose address it has taken over, and that
 *  started earlier, is superseded.
 *  @return GBD_ERROR_MEMORY at GBD_BACKENDS_MAX; GBD_ERROR_CONFLICT if
 *  another listed one has its fingerprint (the older one keeps it). */
gbd_status_t gbd_pool_put (gbd_pool_t *pool, const gbd_pool_entry_t *entry,
                           gbd_time_t now);

/** An entry was removed, or replaced by one that names no backend server. */
void gbd_pool_remove (gbd_pool_t *pool, gbd_backend_id_t id, gbd_time_t now);

/** A full listing begins, and has ended: entries that were not put between
 *  the two are removed. */
void gbd_pool_begin_listing (gbd_pool_t *pool);
void gbd_pool_end_listing (gbd_pool_t *pool, gbd_time_t now);

/** The platform cannot be reached, and can be again. */
void gbd_pool_set_platform_unreachable (gbd_pool_t *pool, bool is_away,
                                        gbd_time_t now);

/** Whoever relays the list says until when missing entries may come back. */
void gbd_pool_extend_removal_grace (gbd_pool_t *pool, gbd_time_t until);
/** For how much longer they may; 0: no longer. */
gbd_time_t gbd_pool_get_removal_grace (const gbd_pool_t *pool, gbd_time_t now);

/** Carry out removals that are due; forget what has been gone for long. */
void gbd_pool_tick (gbd_pool_t *pool, gbd_time_t now);

/** Whether a full listing has been taken in. */
bool gbd_pool_is_synced (const gbd_pool_t *pool);
/** Whether the platform can be reached. */
bool gbd_pool_is_platform_unreachable (const gbd_pool_t *pool);

/** Server of a fingerprint, listed or gone, or GBD_POOL_NONE. */
gbd_pool_handle_t gbd_pool_find (const gbd_pool_t *pool,
                                 gbd_fingerprint_t fingerprint);

/** Handles run from 0 to this; unused ones have is_used false. */
uint32_t gbd_pool_get_capacity (const gbd_pool_t *pool);
gbd_pool_server_t *gbd_pool_get (gbd_pool_t *pool, gbd_pool_handle_t handle);
const gbd_pool_server_t *gbd_pool_peek (const gbd_pool_t *pool,
                                        gbd_pool_handle_t handle);

/** Listed backend servers. */
uint32_t gbd_pool_get_count (const gbd_pool_t *pool);

GBD_END_DECLS
#endif
