/** @file admin.h
 *  HTTP server for operators: what this instance runs, and why.
 *
 *    GET /counters             counters, in the text form of Prometheus
 *    GET /status               versions, peers and backend servers (JSON)
 *    GET /dump                 the whole state of the process (JSON)
 *    GET /explain?flow=FLOW    where packets of a flow go, and why (JSON);
 *                              FLOW is CALLER-SERVICE, as
 *                              10.0.0.1:1234-10.1.0.1:443
 *
 *    GET /ready                whether this instance takes packets (200, 503)
 *    GET /metrics              the same as /counters
 *
 *  A public server has only the last two, for the platform; it needs no token
 *  on any address.
 *
 *  Nothing can be changed here.  Without a token the server listens only on
 *  a loopback address; with one every request must carry it as
 *  "Authorization: Bearer TOKEN".  Errors are JSON with "error" and "remedy".
 */
#ifndef PROGRAM_ADMIN_H
#define PROGRAM_ADMIN_H

#include <libwebsockets.h>
#include <jansson.h>

#include "gooseberrydrum/types.h"

/** Responses under way at one time; more requests get status 503. */
#define GBD_ADMIN_RESPONSES_MAX 8

/** A response that is not read within this time is cut off. */
#define GBD_ADMIN_RESPONSE_TIMEOUT_S 10

typedef struct
{
  gbd_address_t listen;
  const char *token; /**< NULL or "" for none */
  bool is_public;    /**< only /ready and /metrics, without a token */
  /** PEM files; both NULL for plain HTTP.  The texts are kept, not copied;
   *  the context needs LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT for them. */
  const char *certificate;
  const char *key;
} gbd_admin_settings_t;

/** Where the answers come from; queries without effects, called from the
 *  loop.  NULL means that memory is short, but for a flow. */
typedef struct
{
  char *(*counters) (void *data); /**< malloc'd text */
  json_t *(*status) (void *data);
  json_t *(*dump) (void *data);
  /** @return NULL when no service has the flow's address. */
  json_t *(*explain) (void *data, const gbd_flow_t *flow);
  /** Whether this instance takes packets; NULL: always. */
  bool (*is_ready) (void *data);
} gbd_admin_callbacks_t;

typedef struct gbd_admin gbd_admin_t;

/** Listen on a vhost of its own in the context.
 *  @param error set to a text that names the remedy when NULL is returned */
gbd_admin_t *gbd_admin_new (struct lws_context *context,
                            const gbd_admin_settings_t *settings,
                            const gbd_admin_callbacks_t *callbacks, void *data,
                            const char **error);

/** Before the context is destroyed. */
void gbd_admin_delete (gbd_admin_t *admin);

/** Load the certificate files again for later connections.
 *  @return GBD_ERROR_FORMAT, the former ones staying in use, if they do not
 *  load. */
gbd_status_t gbd_admin_reload (gbd_admin_t *admin);

/** Parse CALLER-SERVICE.
 *  @return GBD_OK, or GBD_ERROR_FORMAT unless both are addresses of one
 *  family. */
gbd_status_t gbd_flow_parse (const char *text, gbd_flow_t *flow);

#endif
