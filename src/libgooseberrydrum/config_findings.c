#include "gooseberrydrum/config_check.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16

struct gbd_findings
{
  uint32_t count;
  uint32_t capacity;
  bool is_incomplete;
  gbd_finding_t *findings;
};

const char *const gbd_finding_strings[GBD_FINDING_SEVERITY_COUNT]
    = { "difference", "warning", "error" };

static bool reserve (gbd_findings_t *findings);

gbd_findings_t *
gbd_findings_new (void)
{
  return calloc (1, sizeof (gbd_findings_t));
}

void
gbd_findings_delete (gbd_findings_t *findings)
{
  if (!findings)
    return;
  for (uint32_t i = 0; i < findings->count; i++)
    {
      free ((char *)findings->findings[i].subject.name);
      free (findings->findings[i].cause);
    }
  free (findings->findings);
  free (findings);
}

void
gbd_findings_add (gbd_findings_t *findings, gbd_finding_severity_t severity,
                  const char *rule, const gbd_finding_subject_t *subject,
                  const char *remedy, const char *cause, ...)
{
  va_list arguments;
  va_start (arguments, cause);
  int length = vsnprintf (NULL, 0, cause, arguments);
  va_end (arguments);
  char *text = length < 0 ? NULL : malloc ((size_t)length + 1);
  va_start (arguments, cause);
  if (text)
    vsnprintf (text, (size_t)length + 1, cause, arguments);
  va_end (arguments);
  char *name = strdup (subject->name);
  if (!text || !name || !reserve (findings))
    {
      findings->is_incomplete = true;
      free (text);
      free (name);
      return;
    }
  gbd_finding_t *finding = &findings->findings[findings->count++];
  finding->severity = severity;
  finding->rule = rule;
  finding->subject.kind = subject->kind;
  finding->subject.name = name;
  finding->cause = text;
  finding->remedy = remedy;
}

uint32_t
gbd_findings_get_count (const gbd_findings_t *findings)
{
  return findings->count;
}

uint32_t
gbd_findings_count (const gbd_findings_t *findings,
                    gbd_finding_severity_t severity)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < findings->count; i++)
    count += findings->findings[i].severity == severity;
  return count;
}

const gbd_finding_t *
gbd_findings_get (const gbd_findings_t *findings, uint32_t index)
{
  assert (index < findings->count);
  return &findings->findings[index];
}

bool
gbd_findings_is_complete (const gbd_findings_t *findings)
{
  return !findings->is_incomplete;
}

static bool
reserve (gbd_findings_t *findings)
{
  if (findings->count < findings->capacity)
    return true;
  uint32_t capacity
      = findings->capacity ? findings->capacity * 2 : INITIAL_CAPACITY;
  gbd_finding_t *resized
      = realloc (findings->findings, capacity * sizeof *resized);
  if (!resized)
    return false;
  findings->findings = resized;
  findings->capacity = capacity;
  return true;
}
