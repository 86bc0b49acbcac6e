/** @file counters.h
 *  Named counters and gauges of the process, and their text form for
 *  Prometheus (exposition format 0.0.4).
 */
#ifndef PROGRAM_COUNTERS_H
#define PROGRAM_COUNTERS_H

#include "gooseberrydrum/types.h"

#define GBD_COUNTERS_MAX 1024 /**< of one registry */

typedef enum
{
  GBD_COUNTER_SUM,  /**< only grows */
  GBD_COUNTER_GAUGE /**< may rise and fall */
} gbd_counter_kind_t;

/** What a counter is; all texts but the value are kept, not copied. */
typedef struct
{
  const char *name; /**< as gooseberrydrum_packets_total */
  const char *help;
  gbd_counter_kind_t kind;
  const char *label; /**< NULL for a counter without one */
  const char *value; /**< of the label, any text up to GBD_NAME_MAX bytes */
} gbd_counter_info_t;

/** Handle of one counter. */
typedef uint32_t gbd_counter_t;
#define GBD_COUNTER_NONE UINT32_MAX

typedef struct gbd_counters gbd_counters_t;

gbd_counters_t *gbd_counters_new (void);
void gbd_counters_delete (gbd_counters_t *counters);

/** Add a counter at 0, or find the one that has the same name and value.
 *  @return GBD_COUNTER_NONE when GBD_COUNTERS_MAX is reached; changes to that
 *  handle have no effect. */
gbd_counter_t gbd_counters_add (gbd_counters_t *counters,
                                const gbd_counter_info_t *info);

void gbd_counters_increase (gbd_counters_t *counters, gbd_counter_t counter,
                            uint64_t by);

/** Set a gauge, or a sum that is kept elsewhere. */
void gbd_counters_set (gbd_counters_t *counters, gbd_counter_t counter,
                       uint64_t value);

uint64_t gbd_counters_get (const gbd_counters_t *counters,
                           gbd_counter_t counter);

/** Text form; counters of one name stand together, in the order in which the
 *  names were added.
 *  @return malloc'd text or NULL. */
char *gbd_counters_format (const gbd_counters_t *counters);

#endif
