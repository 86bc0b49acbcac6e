/** @file instance_list.h
 *  The instances that the fabric's stand-in sprays packets over.
 */
#ifndef STANDINS_INSTANCE_LIST_H
#define STANDINS_INSTANCE_LIST_H

#include <jansson.h>

#include "gooseberrydrum/types.h"

typedef struct instance_list instance_list_t;

/** @param group name of the spray group
 *  @param lag   time for which an instance that left the list is still used
 */
instance_list_t *instance_list_new (const char *group, gbd_time_t lag);
void instance_list_delete (instance_list_t *list);

/** Add an instance that no update removes. */
void instance_list_add_static (instance_list_t *list,
                               const gbd_address_t *address);

/** Take in the platform's answer to GET /v1/instances: live instances of the
 *  group are used from now on, all others only until the lag is over.
 *  @return false, with nothing changed, if it is not such an answer. */
bool instance_list_update (instance_list_t *list, const json_t *answer,
                           gbd_time_t now);

/** Number of instances in use; what the lag ends for is forgotten first. */
uint32_t instance_list_count (instance_list_t *list, gbd_time_t now);

const gbd_address_t *instance_list_get (const instance_list_t *list,
                                        uint32_t index);

#endif
