/** @file instance_list.h
 *  Instances over which the fabric's stand-in spreads packets, as ECMP does.
 */
#ifndef STANDINS_INSTANCE_LIST_H
#define STANDINS_INSTANCE_LIST_H

#include <jansson.h>

#include "gooseberrydrum/types.h"

typedef struct instance_list instance_list_t;

/** Create an empty list.
 *  @param group name of the group of instances
 *  @param lag   time for which an instance that left the platform's list still
 *               gets packets */
instance_list_t *instance_list_new (const char *group, gbd_time_t lag);
void instance_list_delete (instance_list_t *list);

/** Add an instance that updates do not remove. */
void instance_list_add_static (instance_list_t *list,
                               const gbd_address_t *address);

/** Apply the platform's response to GET /v1/instances: live instances of the
 *  group get packets from now on, instances that are no longer listed get
 *  packets only until the lag has passed.
 *  @return false, with nothing changed, if it is not a list of instances. */
bool instance_list_update (instance_list_t *list, const json_t *response,
                           gbd_time_t now);

/** Remove the instances whose lag has passed and count the remaining ones. */
uint32_t instance_list_count (instance_list_t *list, gbd_time_t now);

const gbd_address_t *instance_list_get (const instance_list_t *list,
                                        uint32_t index);

#endif
