/** @file admin.h
 *  Read-only HTTP server for operators.
 *
 *    GET /counters             metrics in the Prometheus text format
 *    GET /status               versions, peers and backend servers (JSON)
 *    GET /dump                 complete state of the process (JSON)
 *    GET /explain?flow=FLOW    where packets of a flow are sent and which rule
 *                              decides that (JSON); FLOW is CALLER-SERVICE,
 *                              such as 10.0.0.1:1234-10.1.0.1:443
 *    GET /ready                readiness: status 200 if this instance accepts
 *                              packets, else 503
 *    GET /metrics              same as /counters
 *
 *  A public server, for the platform, has only /ready and /metrics and
 *  requires no token on any address.
 *
 *  Any other server without a token may listen only on a loopback address.
 *  With a token every request must carry it as "Authorization: Bearer TOKEN".
 *  Error responses are JSON objects with "error" and "remedy".
 */
#ifndef PROGRAM_ADMIN_H
#define PROGRAM_ADMIN_H

#include <libwebsockets.h>
#include <jansson.h>

#include "gooseberrydrum/types.h"

/** Concurrent responses; further requests get status 503. */
#define GBD_ADMIN_RESPONSES_MAX 8

/** A connection is closed if its response is not read within this time. */
#define GBD_ADMIN_RESPONSE_TIMEOUT_S 10

typedef struct
{
  gbd_address_t listen;
  const char *token; /**< NULL or "" for none */
  bool is_public;    /**< only /ready and /metrics, without a token */
  /** PEM files; both NULL for plain HTTP.  The strings are not copied.  TLS
   *  requires a context with LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT. */
  const char *certificate;
  const char *key;
} gbd_admin_settings_t;

/** Callbacks that create the content of the responses.  They have no side
 *  effects and are called from the event loop.  Each except explain returns
 *  NULL if memory is exhausted. */
typedef struct
{
  char *(*counters) (void *data); /**< @return malloc'd text */
  json_t *(*status) (void *data);
  json_t *(*dump) (void *data);
  /** @return NULL if no service has the flow's destination address. */
  json_t *(*explain) (void *data, const gbd_flow_t *flow);
  /** Whether this instance accepts packets.  If the callback is NULL, the
   *  instance always counts as ready. */
  bool (*is_ready) (void *data);
} gbd_admin_callbacks_t;

typedef struct gbd_admin gbd_admin_t;

/** Start to listen on a new vhost of the context.
 *  @param error set to a message that includes the remedy if NULL is returned
 */
gbd_admin_t *gbd_admin_new (struct lws_context *context,
                            const gbd_admin_settings_t *settings,
                            const gbd_admin_callbacks_t *callbacks, void *data,
                            const char **error);

/** Stop listening and free the server.  Call it before the context is
 *  destroyed. */
void gbd_admin_delete (gbd_admin_t *admin);

/** Reload the certificate files for new connections.
 *  @return GBD_OK, or GBD_ERROR_FORMAT if a file cannot be loaded, in which
 *  case the previous certificate stays in use. */
gbd_status_t gbd_admin_reload (gbd_admin_t *admin);

/** Parse a flow of the form CALLER-SERVICE.
 *  @return GBD_OK, or GBD_ERROR_FORMAT unless both are valid addresses of the
 *  same family. */
gbd_status_t gbd_flow_parse (const char *text, gbd_flow_t *flow);

#endif
