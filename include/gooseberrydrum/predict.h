/** @file predict.h
 *  What a change would do, before it is accepted or made.
 *
 *  The predictions call the functions that `serve` decides with, on copies;
 *  nothing is changed.
 */
#ifndef GOOSEBERRYDRUM_PREDICT_H
#define GOOSEBERRYDRUM_PREDICT_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/catalog.h"
#include "gooseberrydrum/coordinator.h"

GBD_BEGIN_DECLS

/** Versions after which a change that has not come to rest is given up. */
#define GBD_PREDICT_STEPS_MAX 10000

typedef enum
{
  GBD_EFFECT_ADDRESS_ADDED,
  GBD_EFFECT_ADDRESS_REMOVED, /**< its open flows end */
  GBD_EFFECT_ADDRESS_MOVED,   /**< its open flows end, for they belong to
                                   another service */
  GBD_EFFECT_SERVICE_ADDED,
  GBD_EFFECT_SERVICE_ENDED, /**< its open flows end */
  GBD_EFFECT_SERVICE_OWNER, /**< another customer has it */
  GBD_EFFECT_LIMITS         /**< of a customer's plan */
} gbd_effect_kind_t;
#define GBD_EFFECT_COUNT 7
extern const char *const gbd_effect_strings[GBD_EFFECT_COUNT];

/** One effect of a change of the lists; the texts are the catalogs'. */
typedef struct
{
  uint8_t kind;                  /**< gbd_effect_kind_t */
  bool ends_flows;               /**< open flows of the subject are broken */
  gbd_address_t address;         /**< of ADDRESS effects */
  const char *before;            /**< service or customer; NULL where none */
  const char *after;             /**< service or customer; NULL where none */
  const char *service;           /**< of SERVICE_OWNER */
  const gbd_plan_t *plan_before; /**< of LIMITS */
  const gbd_plan_t *plan_after;  /**< of LIMITS */
} gbd_effect_t;

typedef void (*gbd_predict_visit_t) (void *data, const gbd_effect_t *effect);

/** Visit each effect of putting one catalog in the place of another.
 *  @param before NULL for none
 *  @return the number of effects */
uint32_t gbd_predict_lists (const gbd_catalog_t *before,
                            const gbd_catalog_t *after,
                            gbd_predict_visit_t visit, void *data);

/** Course of a change of a service's backend servers. */
typedef struct
{
  gbd_table_t *after;      /**< table at rest; owned */
  uint32_t steps;          /**< versions until then */
  uint32_t steps_in_force; /**< versions until new flows go where they go
                                at rest */
  uint32_t moved;          /**< buckets whose new flows go elsewhere */
  uint64_t bytes;          /**< of the versions' differences, to one peer */
  bool is_at_rest;         /**< false: the steps ran out */
} gbd_prediction_t;

/** Drive a table to rest, as if every member were heard and confirmed at
 *  once, and no flow knowledge were lost.  No planned change breaks a flow.
 *  @param table present version, or NULL for a first one
 *  @param input as for gbd_coordinator_step(); its confirmations and
 *  coverage are ignored
 *  @return GBD_ERROR_MEMORY; GBD_ERROR_UNAVAILABLE when there is no member.
 */
gbd_status_t gbd_predict_table (const gbd_table_t *table,
                                const gbd_coordinator_input_t *input,
                                gbd_prediction_t *prediction);
void gbd_prediction_clear (gbd_prediction_t *prediction);

/** Count the buckets whose new flows go to each slot.
 *  @param shares one a backend server of the table */
void gbd_predict_shares (const gbd_table_t *table, uint32_t *shares);

/** Weights that leave a table's present shares as they are: servers that
 *  drain get 0, and ready ones without a share the mean.
 *  @param weights one a backend server */
void gbd_predict_weights (const gbd_table_t *table,
                          const gbd_backend_t *backends, uint32_t count,
                          uint16_t *weights);

GBD_END_DECLS
#endif
