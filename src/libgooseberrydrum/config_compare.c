#include "gooseberrydrum/config_check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REMEDY_DIFFERENCE "send the configuration only if this is intended"
#define FIELD_BYTES_MAX 256
#define NUMBER_DIGITS 15 /* prints 0.1 as written; 17 would not */

/* A list of routes or services, without the difference in their types. */
typedef struct
{
  const char *kind;
  const char *(*get_name) (const gbd_config_t *config, uint32_t index);
  const json_t *(*get_fields) (const gbd_config_t *config, uint32_t index);
  uint32_t (*get_count) (const gbd_config_t *config);
} item_kind_t;

/* Fields under comparison. */
typedef struct
{
  gbd_findings_t *findings;
  gbd_finding_subject_t subject;
  const gbd_config_names_t *skipped; /* top level: fields that are compared
                                        separately; NULL below */
} comparison_t;

static const char *get_route_name (const gbd_config_t *config, uint32_t index);
static const json_t *get_route_fields (const gbd_config_t *config,
                                       uint32_t index);
static uint32_t get_route_count (const gbd_config_t *config);
static const char *get_service_name (const gbd_config_t *config,
                                     uint32_t index);
static const json_t *get_service_fields (const gbd_config_t *config,
                                         uint32_t index);
static uint32_t get_service_count (const gbd_config_t *config);
static void compare_items (const item_kind_t *kind, const gbd_config_t *old,
                           const gbd_config_t *config,
                           gbd_findings_t *findings);
static bool find_counterpart (const item_kind_t *kind,
                              const gbd_config_t *config, uint32_t index,
                              const gbd_config_t *other, uint32_t *found);
static void compare_fields (const comparison_t *comparison, const char *prefix,
                            const json_t *old, const json_t *fields);
static void compare_field (const comparison_t *comparison, const char *prefix,
                           const char *key, const json_t *old,
                           const json_t *value);
static bool is_skipped (const comparison_t *comparison, const char *key);
static bool is_equal (const json_t *a, const json_t *b);

static const item_kind_t item_kinds[] = {
  { "route", get_route_name, get_route_fields, get_route_count },
  { "service", get_service_name, get_service_fields, get_service_count },
};

void
gbd_config_compare (const gbd_config_t *in_force, const gbd_config_t *config,
                    gbd_findings_t *findings)
{
  const comparison_t comparison = { .findings = findings,
                                    .subject = { "configuration", "" },
                                    .skipped = config->names };
  uint32_t before = gbd_findings_count (findings, GBD_FINDING_DIFFERENCE);
  compare_fields (&comparison, "", in_force->fields, config->fields);
  for (size_t i = 0; i < sizeof item_kinds / sizeof item_kinds[0]; i++)
    compare_items (&item_kinds[i], in_force, config, findings);
  bool has_differences
      = gbd_findings_count (findings, GBD_FINDING_DIFFERENCE) > before;
  if (config->version < in_force->version
      || (config->version == in_force->version && has_differences))
    gbd_findings_add (
        findings, GBD_FINDING_ERROR, "version_not_higher", &comparison.subject,
        "raise the version above the one in force",
        "%s is %llu but %llu is in force, so that instances "
        "ignore the configuration",
        config->names->version, (unsigned long long)config->version,
        (unsigned long long)in_force->version);
}

static const char *
get_route_name (const gbd_config_t *config, uint32_t index)
{
  return config->routes[index].name;
}

static const json_t *
get_route_fields (const gbd_config_t *config, uint32_t index)
{
  return config->routes[index].fields;
}

static uint32_t
get_route_count (const gbd_config_t *config)
{
  return config->route_count;
}

static const char *
get_service_name (const gbd_config_t *config, uint32_t index)
{
  return config->services[index].name;
}

static const json_t *
get_service_fields (const gbd_config_t *config, uint32_t index)
{
  return config->services[index].fields;
}

static uint32_t
get_service_count (const gbd_config_t *config)
{
  return config->service_count;
}

static void
compare_items (const item_kind_t *kind, const gbd_config_t *old,
               const gbd_config_t *config, gbd_findings_t *findings)
{
  uint32_t found;
  for (uint32_t i = 0; i < kind->get_count (old); i++)
    {
      const gbd_finding_subject_t subject
          = { kind->kind, kind->get_name (old, i) };
      if (!find_counterpart (kind, old, i, config, &found))
        gbd_findings_add (findings, GBD_FINDING_DIFFERENCE, "removed",
                          &subject, REMEDY_DIFFERENCE, "removed");
    }
  for (uint32_t i = 0; i < kind->get_count (config); i++)
    {
      const comparison_t comparison
          = { .findings = findings,
              .subject = { kind->kind, kind->get_name (config, i) } };
      if (find_counterpart (kind, config, i, old, &found))
        compare_fields (&comparison, "", kind->get_fields (old, found),
                        kind->get_fields (config, i));
      else
        gbd_findings_add (findings, GBD_FINDING_DIFFERENCE, "added",
                          &comparison.subject, REMEDY_DIFFERENCE, "added");
    }
}

/* Finds the entry of the same name in the other configuration.  Among entries
   that share a name, the first corresponds to the first, and so on. */
static bool
find_counterpart (const item_kind_t *kind, const gbd_config_t *config,
                  uint32_t index, const gbd_config_t *other, uint32_t *found)
{
  const char *name = kind->get_name (config, index);
  uint32_t preceding = 0;
  for (uint32_t i = 0; i < index; i++)
    preceding += strcmp (kind->get_name (config, i), name) == 0;
  for (uint32_t i = 0; i < kind->get_count (other); i++)
    {
      if (strcmp (kind->get_name (other, i), name) != 0)
        continue;
      *found = i;
      if (preceding-- == 0)
        return true;
    }
  return false;
}

static void
compare_fields (const comparison_t *comparison, const char *prefix,
                const json_t *old, const json_t *fields)
{
  const char *key;
  json_t *value;
  /* jansson iterates over objects that are not const only. */
  json_object_foreach ((json_t *)old, key, value)
  {
    if (!is_skipped (comparison, key) && !json_object_get (fields, key))
      compare_field (comparison, prefix, key, value, NULL);
  }
  json_object_foreach ((json_t *)fields, key, value)
  {
    if (!is_skipped (comparison, key))
      compare_field (comparison, prefix, key, json_object_get (old, key),
                     value);
  }
}

/* Descends into objects, so that the innermost field that differs is named. */
static void
compare_field (const comparison_t *comparison, const char *prefix,
               const char *key, const json_t *old, const json_t *value)
{
  char field[FIELD_BYTES_MAX];
  if (is_equal (old, value))
    return;
  snprintf (field, sizeof field, "%s%s%s", prefix, prefix[0] ? "." : "", key);
  if (json_is_object (old) && json_is_object (value))
    {
      comparison_t below = *comparison;
      below.skipped = NULL;
      compare_fields (&below, field, old, value);
      return;
    }
  const size_t flags = JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY
                       | JSON_REAL_PRECISION (NUMBER_DIGITS);
  char *old_text = old ? json_dumps (old, flags) : NULL;
  char *text = value ? json_dumps (value, flags) : NULL;
  gbd_findings_add (
      comparison->findings, GBD_FINDING_DIFFERENCE, "changed",
      &comparison->subject, REMEDY_DIFFERENCE, "%s: %s before, %s now", field,
      old_text ? old_text : "not stated", text ? text : "not stated");
  free (old_text);
  free (text);
}

static bool
is_skipped (const comparison_t *comparison, const char *key)
{
  const gbd_config_names_t *names = comparison->skipped;
  return names
         && (strcmp (key, names->version) == 0
             || strcmp (key, names->routes) == 0
             || strcmp (key, names->services) == 0);
}

/* 2 and 2.0 are equal here, unlike in json_equal(). */
static bool
is_equal (const json_t *a, const json_t *b)
{
  if (json_is_number (a) && json_is_number (b)
      && json_is_integer (a) != json_is_integer (b))
    return json_number_value (a) == json_number_value (b);
  return json_equal (a, b);
}
