/** @file client.h
 *  What the subcommands for operators read over HTTP: instances and the
 *  platform.
 */
#ifndef PROGRAM_CLIENT_H
#define PROGRAM_CLIENT_H

#include <jansson.h>
#include <libwebsockets.h>
#include <stdio.h>

#include "command.h"
#include "gooseberrydrum/types.h"

/** An answer that takes longer is given up. */
#define GBD_CLIENT_TIMEOUT (5 * GBD_SECOND)

/** The loop that a command runs in. */
typedef struct
{
  struct lws_context *context;
  /** Turn the loop once.  @return the present time */
  gbd_time_t (*turn) (void *data);
  void *data;
  FILE *out;
  FILE *err;
} gbd_client_t;

/** Open a loop that writes to the standard streams.
 *  @return false when it cannot be opened */
bool gbd_client_open (gbd_client_t *client);
void gbd_client_close (gbd_client_t *client);

/** GET a JSON object.
 *  @param token NULL or "" for none
 *  @param value set to the object, owned by the caller, also when the server
 *  refuses; NULL if there was none
 *  @return GBD_OK for status 200; GBD_ERROR_NOT_FOUND for 404;
 *  GBD_ERROR_FORMAT for another status or what is not JSON;
 *  GBD_ERROR_UNAVAILABLE for 503, or without an answer. */
gbd_status_t gbd_client_get (const gbd_client_t *client,
                             const gbd_address_t *address, const char *token,
                             const char *path, json_t **value);

/** Parse an address that a flag gave.
 *  @return false, with an error that names the remedy printed. */
bool gbd_client_parse (const gbd_client_t *client, const char *flag,
                       const char *text, gbd_address_t *address);

/** Print JSON with indents. */
void gbd_client_print (const gbd_client_t *client, const json_t *value);

#endif
