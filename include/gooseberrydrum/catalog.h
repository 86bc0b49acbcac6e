/** @file catalog.h
 *  The accepted lists in the form that the data path uses: which service an
 *  address belongs to, and the limits of its customer's plan.
 */
#ifndef GOOSEBERRYDRUM_CATALOG_H
#define GOOSEBERRYDRUM_CATALOG_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Handle of a service: its index in one catalog. */
typedef uint32_t gbd_service_handle_t;
#define GBD_SERVICE_NONE UINT32_MAX

/** A plan and its limits, which apply to each customer as a whole, not to
 *  each of its services. */
typedef struct
{
  char name[GBD_NAME_MAX + 1];
  uint32_t open_flows;           /**< 1 to 100,000,000 */
  uint32_t new_flows_per_second; /**< 1 to 10,000,000 */
  uint32_t idle_limit_s;         /**< seconds without a packet after which a
                                      flow expires, 1 to 604,800 */
  uint8_t balance_percent;       /**< 0 to 100; 0 gives priority to unbroken
                                      flows, 100 moves buckets for balance as
                                      early as possible */
} gbd_plan_t;

/** A service and its customer. */
typedef struct
{
  gbd_service_id_t id;
  char name[GBD_NAME_MAX + 1];
  uint32_t customer; /**< index of the customer */
  uint32_t plan;     /**< index of the customer's plan */
} gbd_service_info_t;

typedef struct
{
  char name[GBD_NAME_MAX + 1];
  uint32_t plan; /**< index of the plan */
} gbd_customer_info_t;

typedef struct gbd_catalog gbd_catalog_t;

/** Create an empty catalog for one generation of the accepted lists.
 *  @return NULL when out of memory. */
gbd_catalog_t *gbd_catalog_new (uint64_t generation);
void gbd_catalog_delete (gbd_catalog_t *catalog);

/** Add an entry to the catalog.  Its names and references must have been
 *  checked by gbd_lists_check().
 *  @return index of the new entry, or UINT32_MAX when out of memory. */
uint32_t gbd_catalog_add_plan (gbd_catalog_t *catalog, const gbd_plan_t *plan);
uint32_t gbd_catalog_add_customer (gbd_catalog_t *catalog, const char *name,
                                   uint32_t plan);
gbd_service_handle_t gbd_catalog_add_service (gbd_catalog_t *catalog,
                                              const char *name,
                                              uint32_t customer);

/** Add an address of a service.
 *  @return GBD_OK; GBD_ERROR_CONFLICT when the address already belongs to a
 *  service; GBD_ERROR_MEMORY. */
gbd_status_t gbd_catalog_add_address (gbd_catalog_t *catalog,
                                      const gbd_address_t *address,
                                      gbd_service_handle_t service);

uint64_t gbd_catalog_get_generation (const gbd_catalog_t *catalog);
uint32_t gbd_catalog_get_service_count (const gbd_catalog_t *catalog);
uint32_t gbd_catalog_get_customer_count (const gbd_catalog_t *catalog);
uint32_t gbd_catalog_get_address_count (const gbd_catalog_t *catalog);
const gbd_service_info_t *
gbd_catalog_get_service (const gbd_catalog_t *, gbd_service_handle_t service);
const gbd_customer_info_t *gbd_catalog_get_customer (const gbd_catalog_t *,
                                                     uint32_t customer);
const gbd_plan_t *gbd_catalog_get_plan (const gbd_catalog_t *, uint32_t plan);

/** Iterate over the addresses of a catalog.  Start with an index of 0, and add
 *  one to it after each address.
 *  @param index advanced to the next entry that contains an address
 *  @return false, with `address` unset, after the last one. */
bool gbd_catalog_get_address (const gbd_catalog_t *catalog, uint32_t *index,
                              gbd_address_t *address);

/** Find the service of an address and port, in constant time.
 *  @return GBD_SERVICE_NONE when no customer has this address. */
gbd_service_handle_t gbd_catalog_find (const gbd_catalog_t *catalog,
                                       const gbd_address_t *address);

/** Find a service by its identifier.
 *  @return GBD_SERVICE_NONE when there is none. */
gbd_service_handle_t gbd_catalog_find_service (const gbd_catalog_t *catalog,
                                               gbd_service_id_t id);

GBD_END_DECLS
#endif
