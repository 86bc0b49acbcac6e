/** @file platform_server.h
 *  HTTP/1.1 server of the stand-in for the platform, with libwebsockets.
 */
#ifndef STANDINS_PLATFORM_SERVER_H
#define STANDINS_PLATFORM_SERVER_H

#include <libwebsockets.h>

#include "standins/platform_server_api.h"

/** Default number of objects in one page of a listing. */
#define PLATFORM_PAGE_ITEMS 500

typedef struct platform_server platform_server_t;

/** Listen on a separate vhost of the context, which must have been created
 *  with LWS_SERVER_OPTION_EXPLICIT_VHOSTS.
 *  @param listen address; port 0 selects a free port
 *  @param store  borrowed
 *  @return NULL if the address cannot be bound. */
platform_server_t *platform_server_new (struct lws_context *context,
                                        const gbd_address_t *listen,
                                        platform_store_t *store,
                                        gbd_time_t now);

/** Serve another API beside the native one.
 *  @param page_items largest number of items in a page of a listing */
void platform_server_add_api (platform_server_t *server,
                              const platform_server_api_t *api,
                              uint32_t page_items);

/** Delete a server.  The context must be destroyed first, because that closes
 *  the connections. */
void platform_server_delete (platform_server_t *server);

/** Send the responses that are due.  Calls that arrive before the next tick
 *  are handled as if they had arrived at the time now. */
void platform_server_tick (platform_server_t *server, gbd_time_t now);

/** Get the number of calls that wait for a change or for the time of their
 *  response. */
uint32_t platform_server_get_pending_count (const platform_server_t *server);

uint16_t platform_server_get_port (const platform_server_t *server);

#endif
