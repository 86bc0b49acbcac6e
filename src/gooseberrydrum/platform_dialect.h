/** @file platform_dialect.h
 *  The two forms of object store that the platform client speaks: the
 *  product's own API, and whatever an adapter adds.
 */
#ifndef PROGRAM_PLATFORM_DIALECT_H
#define PROGRAM_PLATFORM_DIALECT_H

#include <jansson.h>

#include "gooseberrydrum/pool.h"
#include "gooseberrydrum/routes.h"

/** One request; path and body are allocated by GLib and the caller's. */
typedef struct
{
  const char *method;
  char *path;
  char *body; /**< NULL for none */
} gbd_platform_request_t;

typedef struct
{
  const char *name;
  /** List a kind.
   *  @param after   continue after this name; NULL: from the first
   *  @param may_lag a copy that is seconds behind may answer, where that
   *                 spares the platform work; so for get() */
  void (*list) (const char *kind, const char *after, bool may_lag,
                gbd_platform_request_t *request);
  /** Wait for changes after a version.
   *  @param may_lag as of list() */
  void (*watch) (const char *kind, uint64_t version, uint32_t wait_ms,
                 bool may_lag, gbd_platform_request_t *request);
  void (*get) (const char *kind, const char *name, bool may_lag,
               gbd_platform_request_t *request);
  /** @param version the version that is replaced; 0: must not exist */
  void (*put) (const char *kind, const char *name, uint64_t version,
               json_t *value, gbd_platform_request_t *request);
  void (*remove) (const char *kind, const char *name, uint64_t version,
                  gbd_platform_request_t *request);
  /** Turn an answer into the form of the own API: {version, value}, or
   *  {version, items | changes: [{name, version, value}], more}, with the
   *  value null for what is deleted.
   *  @param body owned by this function
   *  @return NULL for an answer that is none of these. */
  json_t *(*translate) (json_t *body);

  const char *servers_kind; /**< kind of the backend servers */
  const char *routes_kind;  /**< kind of the object that holds all routes */
  const char *routes_name;
  /** Read one backend server.
   *  @param wrong set to what is wrong on GBD_ERROR_FORMAT */
  gbd_status_t (*read_server) (const char *name, const json_t *value,
                               gbd_time_t now, gbd_pool_entry_t *entry,
                               const char **wrong);
  /** Read all routes.  @return NULL with `wrong` set. */
  gbd_routes_t *(*read_routes) (const json_t *value, const char **wrong);
} gbd_platform_dialect_t;

/** The product's own API: /v1/KIND[/NAME]. */
extern const gbd_platform_dialect_t gbd_platform_dialect_own;

/** Set method and path of a request: "/PREFIX/KIND" or "/PREFIX/KIND/NAME",
 *  escaped, then a query.
 *  @param name  or NULL
 *  @param query with its question mark, allocated by GLib and taken over; or
 *               NULL */
void gbd_platform_set_request (gbd_platform_request_t *request,
                               const char *method, const char *prefix,
                               const char *kind, const char *name,
                               char *query);

#endif
