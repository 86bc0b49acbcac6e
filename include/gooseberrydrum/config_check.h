/** @file config_check.h
 *  Findings about a configuration of routes before it is sent: limits that
 *  contradict each other, entries without effect, and what differs from the
 *  version in force.
 *
 *  Errors come from the decoder of the platform's format, which instances use
 *  too.  It fills a gbd_config_t with what it could decode, also where other
 *  parts have errors.
 */
#ifndef GOOSEBERRYDRUM_CONFIG_CHECK_H
#define GOOSEBERRYDRUM_CONFIG_CHECK_H

#include <jansson.h>

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/routes.h"

GBD_BEGIN_DECLS

typedef enum
{
  GBD_FINDING_DIFFERENCE,
  GBD_FINDING_WARNING,
  GBD_FINDING_ERROR
} gbd_finding_severity_t;
#define GBD_FINDING_SEVERITY_COUNT 3

/** Names of the severities, such as "error". */
extern const char *const gbd_finding_strings[GBD_FINDING_SEVERITY_COUNT];

/** What a finding is about.  The texts are borrowed by gbd_findings_add(). */
typedef struct
{
  const char *kind; /**< "route", "service", "configuration" or "file" */
  const char *name; /**< empty for the configuration */
} gbd_finding_subject_t;

typedef struct
{
  gbd_finding_severity_t severity;
  const char *rule; /**< identifier for tools, a string literal */
  gbd_finding_subject_t subject;
  char *cause;
  const char *remedy; /**< a string literal */
} gbd_finding_t;

/** Findings in the order in which they were added. */
typedef struct gbd_findings gbd_findings_t;

/** @return NULL if memory is exhausted. */
gbd_findings_t *gbd_findings_new (void);
void gbd_findings_delete (gbd_findings_t *findings);

/** Add a finding.  If memory is exhausted, it is lost and
 *  gbd_findings_is_complete() returns false.
 *  @param subject its kind is a string literal; its name is copied
 *  @param cause   printf format; its arguments follow */
void gbd_findings_add (gbd_findings_t *findings,
                       gbd_finding_severity_t severity, const char *rule,
                       const gbd_finding_subject_t *subject,
                       const char *remedy, const char *cause, ...)
    __attribute__ ((format (printf, 6, 7)));

uint32_t gbd_findings_get_count (const gbd_findings_t *findings);
/** Number of findings of one severity. */
uint32_t gbd_findings_count (const gbd_findings_t *findings,
                             gbd_finding_severity_t severity);
/** @param index below gbd_findings_get_count() */
const gbd_finding_t *gbd_findings_get (const gbd_findings_t *findings,
                                       uint32_t index);
bool gbd_findings_is_complete (const gbd_findings_t *findings);

/** Bytes of the name of a route or service, with the NUL; longer ones are
 *  truncated. */
#define GBD_CONFIG_NAME_BYTES 256

typedef struct
{
  char name[GBD_CONFIG_NAME_BYTES]; /**< its address if it has no name */
  const json_t *fields;             /**< as written */
  bool has_address;                 /**< the address could be decoded */
  gbd_route_t route;                /**< zeros for what is not stated or could
                                         not be decoded */
  const char *target_names[GBD_ROUTE_TARGETS_MAX];
} gbd_config_route_t;

typedef struct
{
  char name[GBD_CONFIG_NAME_BYTES];
  const json_t *fields; /**< as written */
  gbd_warm_up_limits_t warm_up;
} gbd_config_service_t;

/** Names of fields in the format of the platform, for causes. */
typedef struct
{
  const char *version;
  const char *routes;
  const char *services;
  const char *response_goal;
  const char *time_limit;
  const char *idle_timeout;
  const char *warm_up_time;
  const char *warm_up_rate;
} gbd_config_names_t;

/** A decoded configuration.  Texts and fields are borrowed from the JSON
 *  document, which must outlive it. */
typedef struct
{
  const gbd_config_names_t *names;
  const json_t *fields; /**< the whole document */
  uint64_t version;
  gbd_time_t idle_timeout; /**< 0: not stated */
  uint32_t route_count;
  uint32_t service_count;
  gbd_config_route_t *routes;
  gbd_config_service_t *services;
} gbd_config_t;

/** Allocate room for routes and services; their counts start at 0.
 *  @return NULL if memory is exhausted. */
gbd_config_t *gbd_config_new (const json_t *fields,
                              const gbd_config_names_t *names,
                              size_t route_capacity, size_t service_capacity);
void gbd_config_delete (gbd_config_t *config);

/** Find the first route with an address.
 *  @return NULL if there is none. */
const gbd_config_route_t *
gbd_config_find_address (const gbd_config_t *config,
                         const gbd_address_t *address);

/** Add a warning for each entry without effect and for limits that contradict
 *  each other. */
void gbd_config_check (const gbd_config_t *config, gbd_findings_t *findings);

/** Add the differences between a configuration and the one in force: routes
 *  and services by name, each field as written.  Instances ignore a
 *  configuration whose version is not higher, which is an error if anything
 *  else differs. */
void gbd_config_compare (const gbd_config_t *in_force,
                         const gbd_config_t *config, gbd_findings_t *findings);

GBD_END_DECLS
#endif
