/** @file predict.h
 *  Predicts the effects of a change before it is accepted or made.
 *
 *  The predictions call the functions with which `serve` decides, on
 *  copies; they change nothing.
 */
#ifndef GOOSEBERRYDRUM_PREDICT_H
#define GOOSEBERRYDRUM_PREDICT_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/catalog.h"
#include "gooseberrydrum/coordinator.h"

GBD_BEGIN_DECLS

/** Number of table versions after which a prediction that has not converged
 *  is abandoned. */
#define GBD_PREDICT_STEPS_MAX 10000

typedef enum
{
  GBD_EFFECT_ADDRESS_ADDED,
  GBD_EFFECT_ADDRESS_REMOVED, /**< its open flows end */
  GBD_EFFECT_ADDRESS_MOVED,   /**< its open flows end, because it now belongs
                                   to another service */
  GBD_EFFECT_SERVICE_ADDED,
  GBD_EFFECT_SERVICE_REMOVED, /**< its open flows end */
  GBD_EFFECT_SERVICE_OWNER,   /**< the service belongs to another customer */
  GBD_EFFECT_LIMITS           /**< the limits of a customer's plan change */
} gbd_effect_kind_t;
#define GBD_EFFECT_COUNT 7
extern const char *const gbd_effect_strings[GBD_EFFECT_COUNT];

/** One effect of a change of the lists; the strings belong to the catalogs. */
typedef struct
{
  uint8_t kind;                  /**< gbd_effect_kind_t */
  bool ends_flows;               /**< open flows of the address or service
                                      end */
  gbd_address_t address;         /**< ADDRESS effects only */
  const char *before;            /**< service or customer; NULL where none */
  const char *after;             /**< service or customer; NULL where none */
  const char *service;           /**< SERVICE effects only */
  const gbd_plan_t *plan_before; /**< LIMITS only; NULL for a new customer */
  const gbd_plan_t *plan_after;  /**< LIMITS only */
} gbd_effect_t;

typedef void (*gbd_predict_visit_t) (void *data, const gbd_effect_t *effect);

/** Visit each effect of replacing one catalog by another.
 *  @param before NULL if there is none
 *  @return number of effects */
uint32_t gbd_predict_lists (const gbd_catalog_t *before,
                            const gbd_catalog_t *after,
                            gbd_predict_visit_t visit, void *data);

/** Predicted result of a change of a service's backend servers. */
typedef struct
{
  gbd_table_t *after;             /**< converged table; owned by the
                                       prediction */
  uint32_t steps;                 /**< number of versions until the table has
                                       converged */
  uint32_t steps_until_effective; /**< number of versions until new flows of
                                       every bucket reach their final backend
                                       server */
  uint32_t moved;                 /**< number of buckets whose new flows reach
                                       another backend server than before */
  uint64_t bytes;    /**< total length of the deltas of all versions, as sent
                          to one peer */
  bool is_converged; /**< false if GBD_PREDICT_STEPS_MAX was reached */
} gbd_prediction_t;

/** Apply steps to a table until it has converged, on the assumptions that
 *  every member is reachable and confirms at once and that no flow is evicted
 *  from a flow cache.  Broken flows are not counted, because no planned change
 *  breaks a flow.
 *  @param table current version, or NULL to create the first one
 *  @param input as for gbd_coordinator_step(); its members `confirmations` and
 *  `is_loss_free` are ignored
 *  @return GBD_ERROR_MEMORY; GBD_ERROR_UNAVAILABLE when there is no member. */
gbd_status_t gbd_predict_table (const gbd_table_t *table,
                                const gbd_coordinator_input_t *input,
                                gbd_prediction_t *prediction);
void gbd_prediction_clear (gbd_prediction_t *prediction);

/** Count the buckets whose new flows reach each slot.
 *  @param shares set to one count per backend server of the table */
void gbd_predict_shares (const gbd_table_t *table, uint32_t *shares);

/** Compute weights that leave the current shares of a table unchanged:
 *  draining servers get 0; a ready server that has no buckets yet gets the
 *  mean weight of the servers that have some.
 *  @param weights set to one weight per backend server */
void gbd_predict_weights (const gbd_table_t *table,
                          const gbd_backend_t *backends, uint32_t count,
                          uint16_t *weights);

GBD_END_DECLS
#endif
