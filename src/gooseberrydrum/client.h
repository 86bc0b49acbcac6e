/** @file client.h
 *  HTTP client of the operator subcommands, for the admin interface of
 *  instances and for the platform.
 */
#ifndef PROGRAM_CLIENT_H
#define PROGRAM_CLIENT_H

#include <jansson.h>
#include <libwebsockets.h>
#include <stdio.h>

#include "command.h"
#include "gooseberrydrum/types.h"

/** Time-out of a request. */
#define GBD_CLIENT_TIMEOUT (5 * GBD_SECOND)

/** Event loop and output streams of a command. */
typedef struct
{
  struct lws_context *context;
  /** Run one iteration of the event loop.
   *  @return the current time */
  gbd_time_t (*iterate) (void *data);
  void *data;
  FILE *out;
  FILE *err;
} gbd_client_t;

/** Create an event loop; output goes to the standard streams.
 *  @return false, with an error printed, if it cannot be created. */
bool gbd_client_open (gbd_client_t *client);
void gbd_client_close (gbd_client_t *client);

/** Send a GET request for a JSON object.
 *  @param token NULL or "" for none
 *  @param value set to the object in the response, also in an error response;
 *  owned by the caller; NULL if the response contains none
 *  @return GBD_OK for status 200; GBD_ERROR_NOT_FOUND for 404;
 *  GBD_ERROR_FORMAT for another status or a body that is not JSON;
 *  GBD_ERROR_UNAVAILABLE for 503 or if there is no response;
 *  GBD_ERROR_MEMORY. */
gbd_status_t gbd_client_get (const gbd_client_t *client,
                             const gbd_address_t *address, const char *token,
                             const char *path, json_t **value);

/** Parse the address that is the value of an option.
 *  @return false, with an error and its remedy printed, if it is invalid. */
bool gbd_client_parse_address (const gbd_client_t *client, const char *option,
                               const char *text, gbd_address_t *address);

/** Print JSON with indentation. */
void gbd_client_print_json (const gbd_client_t *client, const json_t *value);

#endif
