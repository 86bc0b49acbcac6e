#include "platform_private.h"

#include <string.h>

#include "gooseberrydrum/position.h"

#define CALL_TIMEOUT_MS 2000
#define MAX_BACKOFF_MS 1000
/* Longest wait of a long poll; below the limit of the platform, 30 s. */
#define WATCH_WAIT_MS_MAX 25000
#define ATTEMPTS 4
#define VALUE_BYTES_MAX 1048576
#define BREAKER_FAILURES 5
#define BREAKER_INITIAL_PAUSE (250 * GBD_MILLISECOND)
#define BUDGET_TOKENS (10 * GBD_RETRY_COST)
#define BUDGET_FREE_RETRIES_PER_SECOND 4 /* one per watch of an instance */

typedef enum
{
  CALL_RUNNING,
  CALL_BACKING_OFF, /* waits for its next attempt */
  CALL_FINISHED     /* its outcome is reported at the next tick */
} call_state_t;

typedef struct
{
  gbd_platform_t *platform;
  call_state_t state;
  bool is_write;
  char *kind;
  char *name;
  gbd_platform_request_t request;
  gbd_http_call_t *http_call;
  gbd_time_t unconnected_since;
  gbd_time_t next_event_at; /* time-out or next attempt */
  gbd_backoff_t backoff;
  gbd_status_t status; /* valid in the state CALL_FINISHED */
  gbd_platform_done_t done;
  void *data;
} call_t;

/* Results of a read and of a write that got one HTTP status. */
typedef struct
{
  int http_status;
  gbd_status_t read;
  gbd_status_t write;
  bool is_failure;
} status_mapping_t;

static const status_mapping_t status_mappings[] = {
  { 200, GBD_OK, GBD_OK, false },
  { 201, GBD_OK, GBD_OK, false },
  { 400, GBD_ERROR_FORMAT, GBD_ERROR_FORMAT, false },
  { 404, GBD_ERROR_NOT_FOUND, GBD_ERROR_NOT_FOUND, false },
  { 409, GBD_ERROR_CONFLICT, GBD_ERROR_CONFLICT, false },
  { 410, GBD_ERROR_STALE, GBD_ERROR_STALE, false },
  { 413, GBD_ERROR_RANGE, GBD_ERROR_RANGE, false },
  { 429, GBD_ERROR_UNAVAILABLE, GBD_ERROR_UNAVAILABLE, true },
  { 503, GBD_ERROR_UNAVAILABLE, GBD_ERROR_UNAVAILABLE, true },
};
static const status_mapping_t unlisted_status_mapping
    = { 0, GBD_ERROR_UNAVAILABLE, GBD_ERROR_UNKNOWN, true };

static call_t *call_new (gbd_platform_t *platform, const char *kind,
                         const char *name, gbd_time_t now,
                         gbd_platform_done_t done, void *data);
static void call_free (gpointer data);
static void start_attempt (call_t *call);
static void end_attempt (call_t *call, gbd_status_t status);
static void finish_later (call_t *call, gbd_status_t status);
static void report (call_t *call, gbd_status_t status, uint64_t version,
                    json_t *value);
static void receive_response (void *data, const gbd_http_response_t *response);
static void tick_call (call_t *call);
static void decode_body (gbd_platform_t *platform,
                         const gbd_http_response_t *response, bool is_write,
                         gbd_platform_result_t *result);
static bool record_era (gbd_platform_t *platform, uint64_t number,
                        bool is_write, gbd_platform_result_t *result);
static void convert_versions (json_t *body, uint32_t era);
static void convert_version (json_t *object, uint32_t era);
static const status_mapping_t *find_status_mapping (int http_status);

gbd_platform_t *
gbd_platform_new (struct lws_context *context,
                  const gbd_platform_settings_t *settings)
{
  gbd_http_t *http = gbd_http_new (context, &settings->platform);
  if (!http)
    return NULL;
  gbd_platform_t *platform = g_new0 (gbd_platform_t, 1);
  platform->settings = *settings;
  if (!platform->settings.call_timeout_ms)
    platform->settings.call_timeout_ms = CALL_TIMEOUT_MS;
  if (!platform->settings.platform_api)
    platform->settings.platform_api = &gbd_platform_api_native;
  if (!platform->settings.attempts)
    platform->settings.attempts = ATTEMPTS;
  if (!platform->settings.list_timeout_ms)
    platform->settings.list_timeout_ms = platform->settings.call_timeout_ms;
  if (!platform->settings.max_backoff_ms)
    platform->settings.max_backoff_ms = MAX_BACKOFF_MS;
  platform->settings.watch_wait_ms
      = MIN (settings->watch_wait_ms, WATCH_WAIT_MS_MAX);
  platform->http = http;
  gbd_http_set_number_header (http,
                              platform->settings.platform_api->era_header);
  platform->next_seed = settings->random_seed;
  platform->calls = g_ptr_array_new ();
  platform->watches = g_ptr_array_new ();
  platform->newest_versions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gbd_time_t breaker_pause
      = (settings->breaker_pause_ms ? settings->breaker_pause_ms
                                    : platform->settings.max_backoff_ms)
        * GBD_MILLISECOND;
  gbd_breaker_init (&platform->breaker, BREAKER_FAILURES,
                    MIN (BREAKER_INITIAL_PAUSE, breaker_pause), breaker_pause,
                    platform->settings.call_timeout_ms * GBD_MILLISECOND,
                    platform->next_seed++);
  gbd_retry_budget_init (&platform->budget, BUDGET_TOKENS,
                         BUDGET_FREE_RETRIES_PER_SECOND, 0);
  return platform;
}

void
gbd_platform_delete (gbd_platform_t *platform)
{
  if (!platform)
    return;
  for (guint i = 0; i < platform->calls->len; i++)
    call_free (g_ptr_array_index (platform->calls, i));
  while (platform->watches->len > 0)
    gbd_platform_watch_delete (g_ptr_array_index (platform->watches, 0));
  g_ptr_array_free (platform->calls, TRUE);
  g_ptr_array_free (platform->watches, TRUE);
  g_hash_table_destroy (platform->newest_versions);
  gbd_http_delete (platform->http);
  g_free (platform);
}

void
gbd_platform_get (gbd_platform_t *platform, const char *kind, const char *name,
                  bool allow_stale, gbd_time_t now, gbd_platform_done_t done,
                  void *data)
{
  call_t *call = call_new (platform, kind, name, now, done, data);
  platform->settings.platform_api->get (kind, name, allow_stale,
                                        &call->request);
  start_attempt (call);
}

void
gbd_platform_put (gbd_platform_t *platform, const char *kind, const char *name,
                  uint64_t version, json_t *value, gbd_time_t now,
                  gbd_platform_done_t done, void *data)
{
  call_t *call = call_new (platform, kind, name, now, done, data);
  gbd_platform_request_t *request = &call->request;
  call->is_write = true;
  platform->settings.platform_api->put (
      kind, name, gbd_platform_get_request_version (platform, version), value,
      request);
  if (!request->body)
    finish_later (call, GBD_ERROR_FORMAT);
  else if (strlen (request->body) > VALUE_BYTES_MAX)
    finish_later (call, GBD_ERROR_RANGE);
  else
    start_attempt (call);
}

void
gbd_platform_remove (gbd_platform_t *platform, const char *kind,
                     const char *name, uint64_t version, gbd_time_t now,
                     gbd_platform_done_t done, void *data)
{
  call_t *call = call_new (platform, kind, name, now, done, data);
  call->is_write = true;
  platform->settings.platform_api->remove (
      kind, name, gbd_platform_get_request_version (platform, version),
      &call->request);
  start_attempt (call);
}

void
gbd_platform_tick (gbd_platform_t *platform, gbd_time_t now)
{
  platform->now = now;
  /* Only the callback of a call frees it, so the copied array stays valid.
     Calls that a callback starts wait for the next tick. */
  GPtrArray *calls = g_ptr_array_copy (platform->calls, NULL, NULL);
  for (guint i = 0; i < calls->len; i++)
    tick_call (g_ptr_array_index (calls, i));
  g_ptr_array_free (calls, TRUE);
  for (guint i = 0; i < platform->watches->len; i++)
    gbd_platform_watch_tick (g_ptr_array_index (platform->watches, i));
}

void
gbd_platform_get_stats (const gbd_platform_t *platform,
                        gbd_platform_stats_t *stats)
{
  *stats = platform->stats;
  stats->bytes_sent = gbd_http_get_bytes_sent (platform->http);
  stats->bytes_received = gbd_http_get_bytes_received (platform->http);
  stats->is_breaker_open
      = gbd_breaker_get_state (&platform->breaker, platform->now)
        == GBD_BREAKER_OPEN;
}

void
gbd_platform_evaluate_response (gbd_platform_t *platform,
                                const gbd_http_response_t *response,
                                bool is_write, gbd_platform_result_t *result)
{
  memset (result, 0, sizeof *result);
  if (response->outcome == GBD_HTTP_COMPLETED)
    decode_body (platform, response, is_write, result);
  else
    {
      bool is_unknown = is_write && response->outcome == GBD_HTTP_INTERRUPTED;
      result->status = is_unknown ? GBD_ERROR_UNKNOWN : GBD_ERROR_UNAVAILABLE;
      result->is_failure = true;
    }
  if (result->is_failure)
    platform->stats.failures++;
  gbd_breaker_report (&platform->breaker, !result->is_failure, platform->now);
}

gbd_http_call_t *
gbd_platform_start (gbd_platform_t *platform, const char *method,
                    const char *path, char *body, gbd_http_done_t done,
                    void *data)
{
  if (!gbd_breaker_allow (&platform->breaker, platform->now))
    {
      g_free (body);
      return NULL;
    }
  platform->stats.calls++;
  gbd_http_call_t *http_call
      = gbd_http_start (platform->http, method, path, body, done, data);
  if (http_call)
    return http_call;
  platform->stats.failures++;
  gbd_breaker_report (&platform->breaker, false, platform->now);
  return NULL;
}

bool
gbd_platform_is_connect_late (const gbd_platform_t *platform,
                              const gbd_http_call_t *http_call,
                              gbd_time_t *unconnected_since)
{
  gbd_time_t timeout = platform->settings.connect_timeout_ms * GBD_MILLISECOND;
  if (!timeout || gbd_http_is_sent (http_call))
    return false;
  if (!*unconnected_since)
    *unconnected_since = platform->now;
  return platform->now - *unconnected_since >= timeout;
}

bool
gbd_platform_spend_retry (gbd_platform_t *platform)
{
  if (!gbd_retry_budget_spend (&platform->budget, platform->now))
    {
      platform->stats.retries_refused++;
      return false;
    }
  platform->stats.retries++;
  return true;
}

gbd_status_t
gbd_platform_cancel_timed_out (gbd_platform_t *platform,
                               gbd_http_call_t *http_call, bool is_write)
{
  gbd_http_outcome_t outcome = gbd_http_cancel (http_call);
  platform->stats.failures++;
  gbd_breaker_report (&platform->breaker, false, platform->now);
  return is_write && outcome == GBD_HTTP_INTERRUPTED ? GBD_ERROR_UNKNOWN
                                                     : GBD_ERROR_UNAVAILABLE;
}

uint64_t
gbd_platform_get_request_version (const gbd_platform_t *platform,
                                  uint64_t position)
{
  return platform->settings.platform_api->era_header
             ? gbd_position_get_revision (position)
             : position;
}

bool
gbd_platform_record_version (gbd_platform_t *platform, const char *kind,
                             const char *name, uint64_t version)
{
  char *key = g_strconcat (kind, "/", name, NULL);
  const uint64_t *newest
      = g_hash_table_lookup (platform->newest_versions, key);
  if (newest && *newest > version)
    {
      g_free (key);
      return false;
    }
  uint64_t *copy = g_new (uint64_t, 1);
  *copy = version;
  g_hash_table_replace (platform->newest_versions, key, copy);
  return true;
}

static call_t *
call_new (gbd_platform_t *platform, const char *kind, const char *name,
          gbd_time_t now, gbd_platform_done_t done, void *data)
{
  call_t *call = g_new0 (call_t, 1);
  platform->now = MAX (platform->now, now);
  call->platform = platform;
  call->kind = g_strdup (kind);
  call->name = g_strdup (name);
  call->done = done;
  call->data = data;
  gbd_backoff_init (&call->backoff, GBD_PLATFORM_BACKOFF_FIRST,
                    GBD_PLATFORM_BACKOFF_LONGEST, platform->next_seed++);
  gbd_retry_budget_earn (&platform->budget);
  g_ptr_array_add (platform->calls, call);
  return call;
}

static void
call_free (gpointer data)
{
  call_t *call = data;
  if (call->http_call)
    gbd_http_cancel (call->http_call);
  g_free (call->kind);
  g_free (call->name);
  g_free (call->request.path);
  g_free (call->request.body);
  g_free (call);
}

static void
start_attempt (call_t *call)
{
  gbd_platform_t *platform = call->platform;
  /* The HTTP call frees the body.  Only reads are retried, and they have no
     body. */
  char *body = call->request.body;
  call->request.body = NULL;
  call->http_call
      = gbd_platform_start (platform, call->request.method, call->request.path,
                            body, receive_response, call);
  if (!call->http_call)
    {
      end_attempt (call, GBD_ERROR_UNAVAILABLE);
      return;
    }
  call->state = CALL_RUNNING;
  call->unconnected_since = 0;
  call->next_event_at
      = platform->now + platform->settings.call_timeout_ms * GBD_MILLISECOND;
}

/* Schedule another attempt at a read, or finish the call. */
static void
end_attempt (call_t *call, gbd_status_t status)
{
  gbd_platform_t *platform = call->platform;
  call->http_call = NULL;
  if (call->is_write
      || call->backoff.attempts + 1 >= platform->settings.attempts
      || !gbd_platform_spend_retry (platform))
    {
      finish_later (call, status);
      return;
    }
  call->state = CALL_BACKING_OFF;
  call->next_event_at = platform->now + gbd_backoff_next (&call->backoff);
}

static void
finish_later (call_t *call, gbd_status_t status)
{
  call->state = CALL_FINISHED;
  call->status = status;
}

static void
report (call_t *call, gbd_status_t status, uint64_t version, json_t *value)
{
  g_ptr_array_remove (call->platform->calls, call);
  call->done (call->data, status, version, value);
  call_free (call);
}

static void
receive_response (void *data, const gbd_http_response_t *response)
{
  call_t *call = data;
  gbd_platform_t *platform = call->platform;
  gbd_platform_result_t result;
  call->http_call = NULL;
  gbd_platform_evaluate_response (platform, response, call->is_write, &result);
  if (result.status == GBD_OK
      && !gbd_platform_record_version (platform, call->kind, call->name,
                                       result.version))
    {
      result.status = GBD_ERROR_STALE;
      result.is_failure = true;
    }
  if (result.is_failure)
    end_attempt (call, result.status);
  else
    {
      json_t *value = json_object_get (result.body, "value");
      report (call, result.status, result.version,
              json_is_null (value) ? NULL : value);
    }
  json_decref (result.body);
}

static void
tick_call (call_t *call)
{
  gbd_platform_t *platform = call->platform;
  if (call->state == CALL_FINISHED)
    {
      report (call, call->status, 0, NULL);
      return;
    }
  bool is_running = call->state == CALL_RUNNING;
  if (platform->now < call->next_event_at
      && !(is_running
           && gbd_platform_is_connect_late (platform, call->http_call,
                                            &call->unconnected_since)))
    return;
  if (call->state == CALL_BACKING_OFF)
    {
      start_attempt (call);
      return;
    }
  gbd_http_call_t *http_call = call->http_call;
  call->http_call = NULL;
  end_attempt (call, gbd_platform_cancel_timed_out (platform, http_call,
                                                    call->is_write));
}

static void
decode_body (gbd_platform_t *platform, const gbd_http_response_t *response,
             bool is_write, gbd_platform_result_t *result)
{
  const status_mapping_t *mapping = find_status_mapping (response->status);
  result->status = is_write ? mapping->write : mapping->read;
  result->is_failure = mapping->is_failure;
  const gbd_platform_api_t *platform_api = platform->settings.platform_api;
  if (platform_api->era_header
      && !record_era (platform, response->number, is_write, result))
    return;
  if (response->length > 0)
    result->body = platform_api->translate (
        platform_api->parse (response->body, response->length));
  convert_versions (result->body, result->era);
  json_t *version = json_object_get (result->body, "version");
  bool has_version
      = json_is_integer (version) && json_integer_value (version) >= 0;
  if (has_version)
    result->version = (uint64_t)json_integer_value (version);
  if (mapping->read != GBD_OK || has_version)
    return;
  /* After a malformed response, a write may or may not have taken effect. */
  result->status = is_write ? GBD_ERROR_UNKNOWN : GBD_ERROR_FORMAT;
  result->is_failure = true;
}

/* Records the era of a response.  One without the header is taken for one of
   the current era.
   @return false, with the result set, if the response is from an earlier era:
   it arrived late, or a replica has not been restored yet. */
static bool
record_era (gbd_platform_t *platform, uint64_t number, bool is_write,
            gbd_platform_result_t *result)
{
  result->era
      = number ? (uint32_t)MIN (number, GBD_POSITION_ERA_MAX) : platform->era;
  if (result->era >= platform->era)
    {
      platform->era = result->era;
      return true;
    }
  result->status = is_write ? GBD_ERROR_UNKNOWN : GBD_ERROR_UNAVAILABLE;
  result->is_failure = true;
  return false;
}

/* Converts the versions of a response to positions. */
static void
convert_versions (json_t *body, uint32_t era)
{
  static const char *const lists[] = { "items", "changes" };
  if (era == 0)
    return;
  convert_version (body, era);
  for (size_t i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      size_t index;
      json_t *object;
      json_array_foreach (json_object_get (body, lists[i]), index, object)
      {
        convert_version (object, era);
      }
    }
}

static void
convert_version (json_t *object, uint32_t era)
{
  const json_t *version = json_object_get (object, "version");
  json_int_t revision = json_integer_value (version);
  if (json_is_integer (version) && revision >= 0)
    json_object_set_new (object, "version",
                         json_integer ((json_int_t)gbd_position_make (
                             era, (uint64_t)revision)));
}

static const status_mapping_t *
find_status_mapping (int http_status)
{
  for (size_t i = 0; i < G_N_ELEMENTS (status_mappings); i++)
    {
      if (status_mappings[i].http_status == http_status)
        return &status_mappings[i];
    }
  return &unlisted_status_mapping;
}
