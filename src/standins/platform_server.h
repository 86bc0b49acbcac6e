/** @file platform_server.h
 *  The stand-in of the platform over HTTP/1.1, by libwebsockets.
 */
#ifndef STANDINS_PLATFORM_SERVER_H
#define STANDINS_PLATFORM_SERVER_H

#include <libwebsockets.h>

#include "standins/platform_form.h"

/** Objects of one page of a listing, unless set. */
#define PLATFORM_PAGE_ITEMS 500

typedef struct platform_server platform_server_t;

/** Listen on a vhost of its own in the context, which was made with
 *  LWS_SERVER_OPTION_EXPLICIT_VHOSTS.
 *  @param listen port 0 takes a free one
 *  @param store  borrowed
 *  @return NULL when the address cannot be bound. */
platform_server_t *platform_server_new (struct lws_context *context,
                                        const gbd_address_t *listen,
                                        platform_store_t *store,
                                        gbd_time_t now);

/** Serve another form beside the own one.
 *  @param page_items most items of a page of a listing */
void platform_server_add_form (platform_server_t *server,
                               const platform_form_t *form,
                               uint32_t page_items);

/** The context is destroyed first, for it closes the connections. */
void platform_server_delete (platform_server_t *server);

/** Answer what is due; calls that arrive until the next tick count as of this
 *  time. */
void platform_server_tick (platform_server_t *server, gbd_time_t now);

/** Calls that are held back until a later time or change. */
uint32_t platform_server_get_held_count (const platform_server_t *server);

uint16_t platform_server_get_port (const platform_server_t *server);

#endif
