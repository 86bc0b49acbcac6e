/** @file platform_api.h
 *  Interface to an object API: request builders and decoders.  The native API
 *  is built in; an adapter may add another.
 */
#ifndef PROGRAM_PLATFORM_API_H
#define PROGRAM_PLATFORM_API_H

#include <jansson.h>

#include "gooseberrydrum/config_check.h"
#include "gooseberrydrum/pool.h"
#include "gooseberrydrum/routes.h"

/** One request.  Path and body are owned by the caller (g_free). */
typedef struct
{
  const char *method;
  char *path;
  char *body; /**< NULL for none */
} gbd_platform_request_t;

/** Functions and names of one object API. */
typedef struct
{
  const char *name;
  /** Build a request that lists the objects of a kind.
   *  @param after   continue after this name; NULL: start at the first name
   *  @param allow_stale allow a stale read, which reduces the load on the
   *  platform, if the API supports it */
  void (*list) (const char *kind, const char *after, bool allow_stale,
                gbd_platform_request_t *request);
  /** Build a request that waits for changes after a version (long poll).
   *  @param allow_stale as for list() */
  void (*watch) (const char *kind, uint64_t version, uint32_t wait_ms,
                 bool allow_stale, gbd_platform_request_t *request);
  /** Build a request that reads an object.
   *  @param allow_stale as for list() */
  void (*get) (const char *kind, const char *name, bool allow_stale,
               gbd_platform_request_t *request);
  /** Build a conditional update; leaves the body NULL if the value cannot be
   *  encoded.
   *  @param version expected current version; 0: the object must not exist */
  void (*put) (const char *kind, const char *name, uint64_t version,
               json_t *value, gbd_platform_request_t *request);
  /** Build a conditional deletion. */
  void (*remove) (const char *kind, const char *name, uint64_t version,
                  gbd_platform_request_t *request);
  /** Parse the body of a response.
   *  @return owned by the caller; NULL if it is malformed. */
  json_t *(*parse) (const char *body, size_t length);
  /** Convert the body of a response to the form of the native API: {version,
   *  value}, or {version, items | changes: [{name, version, value}], more},
   *  where a null value means that the object was deleted.
   *  @param body result of parse(); owned by this function
   *  @return owned by the caller; NULL if the body has another form. */
  json_t *(*translate) (json_t *body);

  /** Header of every response with the era of the store, in lower case and
   * with its colon.  The era rises by one each time the store is restored from
   * an older copy, and revisions then go back.  Versions are positions
   *  (gooseberrydrum/position.h) outside the functions above.  NULL: the store
   *  has no eras, and versions only rise */
  const char *era_header;
  const char *servers_kind; /**< kind of the backend server objects */
  const char *routes_kind;  /**< kind of the object that contains all
                                routes */
  const char *routes_name;
  const char *evacuations_kind; /**< kind of the objects that are named by
                                     the evacuated zones */
  /** Decode the object of one backend server.
   *  @param problem set to the cause of GBD_ERROR_FORMAT */
  gbd_status_t (*read_server) (const char *name, const json_t *value,
                               gbd_time_t now, gbd_pool_entry_t *entry,
                               const char **problem);
  /** Decode the object that contains all routes.
   *  @return NULL, with `problem` set to the cause, if it is malformed. */
  gbd_routes_t *(*read_routes) (const json_t *value, const char **problem);
  /** Decode the same object for a check of its content: adds all errors to
   *  the findings instead of stopping at the first one, and warnings about
   *  values that read_routes() ignores.  There are errors exactly if
   *  read_routes() returns NULL.  NULL: the API has no such check.
   *  @param value borrowed by the result
   *  @return what could be decoded; NULL if memory is exhausted. */
  gbd_config_t *(*read_config) (const json_t *value, gbd_findings_t *findings);
} gbd_platform_api_t;

/** Parse a body that is JSON. */
json_t *gbd_platform_parse_json (const char *body, size_t length);

/** The native API: /v1/KIND[/NAME]. */
extern const gbd_platform_api_t gbd_platform_api_native;

/** Set the method and the path of a request.  The path is PREFIX, KIND,
 *  optionally "/" and NAME, both percent-encoded, and the query.
 *  @param prefix such as "/v1/"
 *  @param name   NULL for none
 *  @param query  with its question mark, owned by this function (g_free);
 *                NULL for none */
void gbd_platform_set_request (gbd_platform_request_t *request,
                               const char *method, const char *prefix,
                               const char *kind, const char *name,
                               char *query);

/** Set a request for the changes since a version, in the form that the native
 *  API and the relays share. */
void gbd_platform_set_watch_request (gbd_platform_request_t *request,
                                     const char *prefix, const char *kind,
                                     uint64_t version, uint32_t wait_ms);

#endif
