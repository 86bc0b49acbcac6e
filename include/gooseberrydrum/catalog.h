/** @file catalog.h
 *  The accepted lists in the form that the data path reads: which service an
 *  address belongs to, and what its customer's plan allows.
 */
#ifndef GOOSEBERRYDRUM_CATALOG_H
#define GOOSEBERRYDRUM_CATALOG_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/types.h"

GBD_BEGIN_DECLS

/** Handle of a service in one catalog. */
typedef uint32_t gbd_service_t;
#define GBD_SERVICE_NONE UINT32_MAX

/** What a plan allows; the limits hold for the customer as a whole. */
typedef struct
{
  char name[GBD_NAME_MAX + 1];
  uint32_t open_flows;           /**< 1 to 100,000,000 */
  uint32_t new_flows_per_second; /**< 1 to 10,000,000 */
  uint32_t idle_limit_s;         /**< 1 to 604,800 s without a packet */
  uint8_t balance_percent;       /**< 0 keeps flows unbroken above all, 100
                                      moves buckets for balance soonest */
} gbd_plan_t;

/** One service of one customer. */
typedef struct
{
  gbd_service_id_t id;
  char name[GBD_NAME_MAX + 1];
  uint32_t customer; /**< index of the customer */
  uint32_t plan;     /**< index of the plan */
} gbd_service_info_t;

typedef struct
{
  char name[GBD_NAME_MAX + 1];
  uint32_t plan;
} gbd_customer_info_t;

typedef struct gbd_catalog gbd_catalog_t;

/** Empty catalog of a generation. */
gbd_catalog_t *gbd_catalog_new (uint64_t generation);
void gbd_catalog_delete (gbd_catalog_t *catalog);

/** Add entries; names and references have been checked by the lists.
 *  @return index of the new entry, or UINT32_MAX when memory is short. */
uint32_t gbd_catalog_add_plan (gbd_catalog_t *catalog, const gbd_plan_t *plan);
uint32_t gbd_catalog_add_customer (gbd_catalog_t *catalog, const char *name,
                                   uint32_t plan);
gbd_service_t gbd_catalog_add_service (gbd_catalog_t *catalog,
                                       const char *name, uint32_t customer);

/** @return GBD_OK; GBD_ERROR_CONFLICT when the address is taken. */
gbd_status_t gbd_catalog_add_address (gbd_catalog_t *catalog,
                                      const gbd_address_t *address,
                                      gbd_service_t service);

uint64_t gbd_catalog_get_generation (const gbd_catalog_t *catalog);
uint32_t gbd_catalog_get_service_count (const gbd_catalog_t *catalog);
uint32_t gbd_catalog_get_customer_count (const gbd_catalog_t *catalog);
uint32_t gbd_catalog_get_address_count (const gbd_catalog_t *catalog);
const gbd_service_info_t *gbd_catalog_get_service (const gbd_catalog_t *,
                                                   gbd_service_t service);
const gbd_customer_info_t *gbd_catalog_get_customer (const gbd_catalog_t *,
                                                     uint32_t customer);
const gbd_plan_t *gbd_catalog_get_plan (const gbd_catalog_t *, uint32_t plan);

/** List the addresses: start at an index of 0 and add one after each.
 *  @param index moved on to the next address
 *  @return false, and nothing set, after the last one. */
bool gbd_catalog_get_address (const gbd_catalog_t *catalog, uint32_t *index,
                              gbd_address_t *address);

/** Service behind an address and port; constant time.
 *  @return GBD_SERVICE_NONE when no customer has it. */
gbd_service_t gbd_catalog_find (const gbd_catalog_t *catalog,
                                const gbd_address_t *address);

/** Service of an identifier, or GBD_SERVICE_NONE. */
gbd_service_t gbd_catalog_find_service (const gbd_catalog_t *catalog,
                                        gbd_service_id_t id);

GBD_END_DECLS
#endif
