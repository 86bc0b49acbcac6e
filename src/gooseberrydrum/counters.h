/** @file counters.h
 *  Metrics of the process, counters and gauges, and their output in the
 *  Prometheus text exposition format 0.0.4.
 */
#ifndef PROGRAM_COUNTERS_H
#define PROGRAM_COUNTERS_H

#include "gooseberrydrum/types.h"

#define GBD_COUNTERS_MAX 1024 /**< metrics of one registry */

typedef enum
{
  GBD_COUNTER_MONOTONIC, /**< never decreases */
  GBD_COUNTER_GAUGE      /**< may increase and decrease */
} gbd_counter_kind_t;

/** Description of a metric.  Only the label value is copied; the other strings
 *  must outlive the registry. */
typedef struct
{
  const char *name; /**< such as gooseberrydrum_fabric_packets_total */
  const char *help;
  gbd_counter_kind_t kind;
  const char *label; /**< NULL for a metric without a label */
  const char *value; /**< label's value; truncated to GBD_NAME_MAX bytes */
} gbd_counter_info_t;

/** Index of a metric in its registry. */
typedef uint32_t gbd_counter_t;
#define GBD_COUNTER_NONE UINT32_MAX

typedef struct gbd_counters gbd_counters_t;

gbd_counters_t *gbd_counters_new (void);
void gbd_counters_delete (gbd_counters_t *counters);

/** Add a metric with the initial value 0, or find the one with the same name
 *  and label value.
 *  @return its index, or GBD_COUNTER_NONE if the registry is full; operations
 *  on GBD_COUNTER_NONE have no effect. */
gbd_counter_t gbd_counters_add (gbd_counters_t *counters,
                                const gbd_counter_info_t *info);

void gbd_counters_increase (gbd_counters_t *counters, gbd_counter_t counter,
                            uint64_t by);

/** Set a gauge, or a counter that is counted outside the registry. */
void gbd_counters_set (gbd_counters_t *counters, gbd_counter_t counter,
                       uint64_t value);

/** Add a metric, or find it, and set its value.
 *  @param label NULL for a metric without a label */
void gbd_counters_put (gbd_counters_t *counters, const char *name,
                       const char *help, gbd_counter_kind_t kind,
                       const char *label, const char *value, uint64_t number);

uint64_t gbd_counters_get (const gbd_counters_t *counters,
                           gbd_counter_t counter);

/** Format all metrics, grouped by name in the order in which the names were
 *  added.
 *  @return malloc'd text, or NULL if memory is exhausted. */
char *gbd_counters_format (const gbd_counters_t *counters);

#endif
